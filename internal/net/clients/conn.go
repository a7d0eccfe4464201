package clients

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/sock"
)

// past as a deadline wakes whoever reads from a connection.
var past = time.Unix(1, 0)

// state is what a connection is doing.
type state int

const (
	waiting   state = iota // for a request's first byte
	reading                // from that byte to the request's last
	handling               // a request, to its answer's last byte
	lingering              // after this side's end, until the other's
)

// conn is one connection that was accepted and, through run, its goroutine.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	out    []byte      // room for answers
	rest   []byte      // of a connection that was passed here: to be read first
	first  func() bool // and to be done first; false: it is to end

	gone    bool // the peer has ended it, or does not take its answer
	more    int  // requests answered since its end was due
	dropped int  // bytes that came behind a request and were not kept
	parts   bool // a request has come, whole or not, and has no answer

	// Under the server's lock.
	state    state
	since    time.Time // of the state; before the first answer since it was accepted
	evicted  bool
	answered bool // it has asked for something before
	instance bool // its last request was a call-back
	passed   bool // to another process
	flood    bool // so much has come behind a request that some is dropped: no other is read
}

// use is how much a connection is needed while others want its place, the least first.
type use int

const (
	done    use = iota // has its answer and is only kept from being reset
	mute               // connected and said nothing: whoever has a request sends it at once
	halting            // began a request and does not end it
	spare              // a client's, stands between two requests
	kept               // an encoder's, does so too: word of jobs comes on it, which ends what clients wait for
	inUse
)

func (c *conn) use(now time.Time) use {
	p := c.server.patience
	switch age := now.Sub(c.since); {
	case c.state == lingering && age >= p.lingerer:
		return done
	case c.state == waiting && !c.answered && age >= p.mute:
		return mute
	case c.state == reading && age >= p.halting:
		return halting
	case c.state == waiting && c.answered && c.instance:
		return kept
	case c.state == waiting && c.answered:
		return spare
	}
	return inUse
}

// evict has a connection that can be spared end, by its own goroutine.
func (c *conn) evict() {
	c.evicted = true
	c.nc.SetReadDeadline(past)
}

func (c *conn) run() {
	defer c.server.ended(c)
	c.serve()
	if c.passed {
		return
	}
	if !c.gone {
		c.linger()
	}
	c.nc.Close()
}

// serve answers what is asked until the connection is to end. Whatever has come by then has its answer, unless the
// peer itself has ended the connection.
func (c *conn) serve() {
	c.buffer(c.rest, http1.MaxLine)
	if c.first != nil && !c.first() {
		return
	}
	for {
		q, err := c.next()
		var m *http1.Malformed
		switch {
		case errors.Is(err, errPassed):
			return
		case errors.As(err, &m):
			c.reply(m.Status, nil, m.Text+"\n", true)
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.tooSlow()
			return
		case errors.Is(err, errIdle):
			return
		case err != nil:
			c.gone = true
			return
		case !c.handle(q):
			return
		}
	}
}

// buffer has the connection read by way of so much room at least, which holds what has come of it already.
func (c *conn) buffer(come []byte, size int) {
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(come), c.nc), max(size, len(come)))
	c.br.Peek(len(come)) // lest it is passed on without them
}

// next reads the next request.
func (c *conn) next() (*http1.Request, error) {
	if err := c.await(); err != nil {
		return nil, err
	}
	c.parts = true
	return http1.ReadRequest(c.br, func() error {
		err := c.nc.SetWriteDeadline(time.Now().Add(writePatience)) // that of the last answer may have passed
		if err == nil {
			_, err = c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return err
	})
}

// tooSlow tells a peer whose request has not come why its connection ends. One that had to
// make room may try again.
func (c *conn) tooSlow() {
	c.server.mu.Lock()
	evicted := c.evicted
	c.server.mu.Unlock()
	if evicted {
		c.reply(503, nil, "no room to wait for the request\n", true)
		return
	}
	c.reply(408, nil, "the request did not come in time\n", true)
}

// errIdle says that a connection is ended by this side between two requests.
var errIdle = errors.New("idle")

// errPassed says that a connection is another process's now.
var errPassed = errors.New("passed on")

// pass hands the connection to the process that takes over, if there is one. What has come
// unread goes with it, behind p.Rest. The server's lock is held.
func (c *conn) pass(p Passed) bool {
	tcp, ok := c.nc.(*net.TCPConn)
	if c.server.heir == nil || !ok {
		return false
	}
	p.Answered, p.Instance, p.Flood = c.answered, c.instance, c.flood
	unread, _ := c.br.Peek(c.br.Buffered())
	p.Rest = append(p.Rest, unread...)
	c.passed = true
	c.server.heir.Pass(tcp, p)
	return true
}

// await waits for a request's first byte. The end of a connection between two requests is io.EOF, or errIdle where it
// is this side that ends it.
func (c *conn) await() error {
	s := c.server
	s.mu.Lock()
	if c.pass(Passed{}) {
		s.mu.Unlock()
		return errPassed
	}
	first, now := !c.answered, time.Now()
	until := c.since.Add(s.patience.first)
	if c.state = waiting; !first {
		c.since, until = now, now.Add(idlePatience)
	}
	err := c.nc.SetReadDeadline(until)
	if c.evicted || !first && s.crowded && !c.instance { // before it was here, or since its last answer was under way
		c.evict()
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = c.br.Peek(1)
	late := errors.Is(err, os.ErrDeadlineExceeded)
	s.mu.Lock()
	defer s.mu.Unlock()
	if late && c.pass(Passed{}) {
		return errPassed
	}
	// A request may cross the end of the connection: one that has come is taken.
	if err != nil && (!late || c.nc.SetReadDeadline(time.Time{}) != nil || sock.Look(c.nc) != sock.Data) {
		switch {
		case !first && late:
			return errIdle
		case !first:
			return io.EOF
		}
		return err
	}
	c.state, now = reading, time.Now()
	if !first {
		c.since, until = now, now.Add(readPatience)
	}
	if late || c.evicted {
		until = now.Add(s.patience.halting)
	}
	if s.over {
		until = now.Add(s.patience.last)
	}
	return c.nc.SetReadDeadline(until)
}

// handle serves one request; false: the connection is to end.
func (c *conn) handle(q *http1.Request) bool {
	path, _, _ := strings.Cut(q.Target, "?")
	c.server.mu.Lock()
	c.state, c.instance = handling, path == newsPath
	c.server.mu.Unlock()
	want := "GET"
	if path == newsPath || path == commandPath {
		want = "POST"
	}
	switch {
	case path != newsPath && path != commandPath && path != readyPath && path != countersPath:
		return c.reply(404, nil, "no such path\n", q.Close)
	case q.Method != want:
		return c.reply(405, http1.Header{{Name: "Allow", Value: want}}, "only "+want+"\n", q.Close)
	case path == readyPath && c.server.leaving():
		return c.reply(503, nil, "departing\n", q.Close)
	case path == readyPath:
		return c.reply(200, nil, "ok\n", q.Close)
	case path == countersPath:
		return c.reply(200, nil, c.server.counters(), q.Close)
	case path == newsPath:
		return c.news(q)
	}
	return c.command(q, time.Time{})
}

// reply writes an answer; false: the connection is to end.
func (c *conn) reply(status int, h http1.Header, body string, end bool) bool {
	c.server.mu.Lock()
	c.answered = true
	end = end || c.flood
	due := c.evicted || !c.instance && (c.server.crowded || c.server.draining && c.server.heir == nil)
	c.server.mu.Unlock()
	if due && !end {
		end = c.more >= mostMore || !c.another()
		c.more++
	}
	if end {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	if c.nc.SetWriteDeadline(time.Now().Add(writePatience)) != nil {
		return false
	}
	text := http1.AppendResponse(c.out[:0], status, h, []byte(body))
	_, err := c.nc.Write(text)
	if c.out = text; cap(text) > http1.MaxLine { // kept for the next answer, but for a large one
		c.out = nil
	}
	if err != nil { // a peer that has gone owes nothing; one that only did not read in time is cut
		c.gone = true
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.server.count(dispatch.Truncated)
		}
	}
	c.parts = false
	return err == nil && !end
}

// another tells whether the next request has come, at least in part: it gets its answer before the connection ends.
func (c *conn) another() bool {
	return c.br.Buffered() > 0 || c.nc.SetReadDeadline(time.Time{}) == nil && sock.Look(c.nc) == sock.Data
}

// linger ends this side's half and reads on until the peer ends the other, for a moment: closing over bytes unread would
// reset the connection, and an answer could be lost with it. Where others want the place and nothing has come, it is
// theirs at once.
func (c *conn) linger() {
	s := c.server
	s.mu.Lock()
	crowded := s.crowded
	s.mu.Unlock()
	tcp, ok := c.nc.(*net.TCPConn)
	if !ok || crowded && !c.another() || tcp.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	between := c.answered && c.state == waiting
	c.state, c.since, c.evicted = lingering, time.Now(), false
	err := c.nc.SetReadDeadline(c.since.Add(lingerPatience))
	s.mu.Unlock()
	if err != nil {
		return
	}
	var rest [512]byte // most say nothing more
	for left := 4 * http1.MaxBody; left > 0; {
		n, err := c.nc.Read(rest[:])
		if n > 0 && between {
			s.count(dispatch.RequestInFlight)
			between = false
		}
		if err != nil {
			return
		}
		left -= n
	}
}

// waiter is the service client of one command.
type waiter struct {
	cmd     *dispatch.Command
	end     bool      // the connection is to end with the answer
	repeats bool      // it may be tried again even when it may have run
	answer  chan word // holds one

	mu sync.Mutex
	nc net.Conn // nil: on its way from an older process
}

// word is what the loop says: the answer, or that another process will give it.
type word struct {
	dispatch.Answer
	passed, handed bool
}

// Answer wakes the connection's goroutine, which watches for the client's leaving.
func (w *waiter) Answer(a dispatch.Answer) { w.say(word{Answer: a}) }

// MayRetry tells whether its command may be tried again even when it may have run.
func (w *waiter) MayRetry() bool { return w.repeats }

// Disconnected looks at the connection: the goroutine that watches it may not have come to run since its end.
func (w *waiter) Disconnected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nc != nil && closed(w.nc)
}

// closed tells whether the other side has closed a connection, or it is broken, as far as no bytes stand before that. Unlike
// sock.Look it does not wait for a goroutine that reads.
func closed(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return ended || err != nil
}

// HandOver wakes it likewise.
func (w *waiter) HandOver(handed bool) { w.say(word{passed: true, handed: handed}) }

// say wakes first: set after the goroutine has the word the deadline would cut its next read.
func (w *waiter) say(what word) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nc != nil {
		w.nc.SetReadDeadline(past)
	}
	w.answer <- what
}

// join gives the waiter its connection, whose reads end with what is said.
func (w *waiter) join(nc net.Conn) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nc = nc
	if len(w.answer) > 0 {
		return nc.SetReadDeadline(past)
	}
	return nc.SetReadDeadline(time.Time{})
}

// command hands a command in and waits for its answer; false: the connection is to end. The
// deadline is given where another process has read it.
func (c *conn) command(q *http1.Request, deadline time.Time) bool {
	cmd, repeats, err := c.server.parse(q, time.Now())
	if err != nil {
		return c.reply(400, nil, err.Error()+"\n", q.Close)
	}
	if !deadline.IsZero() {
		cmd.Deadline = deadline
	}
	last, over := c.server.last()
	if over {
		c.server.books.CountShutdownRefusal(cmd.Class)
		return c.relay(dispatch.Answer{Verdict: dispatch.Refused}, q.Close)
	}
	if !last.IsZero() && cmd.Deadline.After(last) {
		cmd.Deadline = last
	}
	if err := c.present(); err != nil { // it may have stood in a backlog for long
		return c.leave(err)
	}
	w := &waiter{cmd: cmd, end: q.Close, repeats: repeats, answer: make(chan word, 1), nc: c.nc}
	cmd.Client = w
	c.server.core.Submit(cmd)
	return c.wait(w)
}

// leave ends a connection whose client has gone, or floods it and could go unseen, by what present or watch says. What a
// flood's request asked for may have run: its answer is none after which the client could simply try again.
func (c *conn) leave(err error) bool {
	if errors.Is(err, errFlood) {
		return c.reply(413, nil, "too much behind the request\n", true)
	}
	c.gone = true
	return false
}

// wait waits for a command's answer and writes it; false: the connection is to end.
func (c *conn) wait(w *waiter) bool {
	err := w.join(c.nc)
	if err == nil {
		err = c.watch()
	}
	if answered := len(w.answer) > 0; err != nil && !(answered && errors.Is(err, errFlood)) {
		c.server.core.ClientGone(w.cmd)
		return c.leave(err)
	}
	a := <-w.answer
	if !a.passed {
		return c.relay(a.Answer, w.end)
	}
	p := Passed{ID: w.cmd.ID}
	if !a.handed {
		p.Request, p.Deadline = w.cmd.Payload.(*http1.Request), w.cmd.Deadline
	}
	c.server.mu.Lock()
	passed := c.pass(p)
	c.server.mu.Unlock()
	if passed {
		return false
	}
	// The other process has died with it.
	return c.relay(dispatch.Answer{Verdict: dispatch.Failed}, true)
}

// What a client may have behind the request that waits.
const (
	mostAhead   = http1.MaxBody // bytes that are kept
	mostDropped = 1 << 20       // and read beyond that, to see whether it goes
)

// errGone says that the client has closed its connection.
var errGone = errors.New("the client has gone")

// errFlood says that a client has sent more behind its request than is read to see whether it goes.
var errFlood = errors.New("too much behind a request")

// present looks, without waiting, whether the client is there before its request is handed in: errGone or errFlood if it is
// not. What it has sent behind the request stands before its end and is read for that.
func (c *conn) present() error {
	if c.nc.SetReadDeadline(time.Time{}) != nil {
		return errGone
	}
	for sock.Look(c.nc) == sock.Data {
		if err := c.readAhead(); err != nil {
			return err
		}
	}
	if sock.Look(c.nc) == sock.Closed {
		return errGone
	}
	return nil
}

// watch waits until a read is ended from here, or until the client has gone before, errGone or errFlood. Whatever it has sent
// behind its request stands before its end and is read for that: one that sends much at once and goes is gone all the same.
func (c *conn) watch() error {
	for {
		if err := c.readAhead(); errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// readAhead waits for more behind the request in hand. It keeps that as long as there is room, and drops what comes then.
func (c *conn) readAhead() error {
	_, err := c.br.Peek(c.br.Buffered() + 1)
	switch size := c.br.Size(); {
	case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case !errors.Is(err, bufio.ErrBufferFull):
		return errGone
	case size < mostAhead:
		come, _ := c.br.Peek(c.br.Buffered())
		c.buffer(bytes.Clone(come), 2*size)
		return nil
	}
	return c.drop()
}

// drop is the same where there is no room. Nobody is watched for ever through what it sends: it would cost what it likes.
func (c *conn) drop() error {
	if c.dropped >= mostDropped {
		return errFlood
	}
	c.server.mu.Lock()
	c.flood = true
	c.server.mu.Unlock()
	var some [4 << 10]byte
	n, err := c.nc.Read(some[:])
	c.dropped += n
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errGone
	}
	return err
}

// relay writes a command's final answer.
func (c *conn) relay(a dispatch.Answer, end bool) bool {
	switch a.Verdict {
	case dispatch.Served:
		return c.reply(200, nil, string(a.Result), end)
	case dispatch.Refused:
		var h http1.Header
		if a.RetryAfter > 0 {
			h = http1.Header{{Name: "Retry-After", Value: seconds(a.RetryAfter)}}
		}
		return c.reply(503, h, "refused: trying again is harmless\n", end)
	}
	if a.Verdict == dispatch.Unusable {
		return c.reply(400, nil, "no instance can use the command, or its id is in hand\n", end)
	}
	return c.reply(502, nil, "failed\n", end)
}
