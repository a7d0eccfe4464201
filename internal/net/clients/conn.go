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

// pastDeadline, set as a deadline, interrupts a pending read.
var past = time.Unix(1, 0)

// state is the phase that a connection is in.
type state int

const (
	waiting   state = iota // for the first byte of a request
	reading                // from that byte to the last of the request
	handling               // a request, until its answer is written
	lingering              // this side's half is closed, the peer's is still open
)

// conn is an accepted connection; run is its goroutine.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	out    []byte      // buffer for answers
	rest   []byte      // received by the process that passed the connection here; read first
	first  func() bool // if set, run before reading requests; returns false if the connection is to be closed

	gone    bool // the peer has closed it, or does not read its answer
	more    int  // requests answered since it should have been closed
	dropped int  // bytes received after a request and discarded
	parts   bool // a request has been received, at least in part, and is not answered yet

	// Guarded by the server's lock.
	state    state
	since    time.Time // when the state began; until the first answer, when it was accepted
	evicted  bool
	answered bool // a request on it has been answered
	instance bool // its last request was a callback
	passed   bool // to another process
	flood    bool // bytes after a request were dropped, so no further request can be read
}

// retention orders connections by how much they are needed while others wait for a slot, the most expendable first.
type use int

const (
	done    use = iota // it is answered, and open only to avoid a reset
	mute               // it has sent nothing: a client that has a request sends it at once
	halting            // it has sent a part of a request
	spare              // a client's connection between two requests
	kept               // an encoder's connection between two callbacks: those end the waits of clients
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

// evict has the connection's goroutine close it.
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

// serve answers requests until the connection is to be closed. Every request received by then is answered, unless the
// peer has closed the connection.
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

// setBuffer sets a read buffer of at least the given size that starts with the received bytes.
func (c *conn) buffer(come []byte, size int) {
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(come), c.nc), max(size, len(come)))
	c.br.Peek(len(come)) // fills the buffer, so that they are passed on with the connection
}

// readRequest reads the next request.
func (c *conn) next() (*http1.Request, error) {
	if err := c.await(); err != nil {
		return nil, err
	}
	c.parts = true
	return http1.ReadRequest(c.br, func() error {
		err := c.nc.SetWriteDeadline(time.Now().Add(writePatience)) // the deadline of the last answer may have passed
		if err == nil {
			_, err = c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return err
	})
}

// replyTimeout tells a peer whose request has not arrived in time why its connection is closed. If it was evicted, it
// may try again.
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

// errIdle reports that this side closes a connection between two requests.
var errIdle = errors.New("idle")

// errPassed reports that another process has taken over the connection.
var errPassed = errors.New("passed on")

// passOn passes the connection to the process that takes over, if there is one. Bytes received but not read go with
// it, after p.Rest. The server's lock must be held.
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

// awaitRequest waits for the first byte of a request. If the connection ends between two requests it returns io.EOF,
// or errIdle if this side closes it.
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
	if c.evicted || !first && s.crowded && !c.instance { // evicted before this call, or the server has become crowded since the last answer was written
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
	// A request may arrive just as the connection is to be closed; it is accepted.
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

// handle processes one request. It returns false if the connection is to be closed.
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

// reply writes an answer. It returns false if the connection is to be closed.
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
	if c.out = text; cap(text) > http1.MaxLine { // reuse the buffer for the next answer unless it is large
		c.out = nil
	}
	if err != nil { // a peer that has closed the connection is not counted, one that did not read in time is
		c.gone = true
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.server.count(dispatch.Truncated)
		}
	}
	c.parts = false
	return err == nil && !end
}

// hasInput reports whether the next request has arrived, at least in part. It is answered before the connection is
// closed.
func (c *conn) another() bool {
	return c.br.Buffered() > 0 || c.nc.SetReadDeadline(time.Time{}) == nil && sock.Look(c.nc) == sock.Data
}

// linger closes this side's half of the connection and reads until the peer closes the other or the timeout expires:
// closing with unread bytes would reset the connection, and an answer could be lost. If others wait for the slot and
// nothing has arrived, it returns at once.
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
	var rest [512]byte // small, since most peers send nothing more
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

// commandClient is the client of one command.
type waiter struct {
	cmd     *dispatch.Command
	end     bool      // the connection is to be closed after the answer
	repeats bool      // the command may be retried even if it may have run
	answer  chan word // has room for one

	mu sync.Mutex
	nc net.Conn // nil: not yet received from an older process
}

// outcome is the loop's message for a client: the answer, or that another process will give it.
type word struct {
	dispatch.Answer
	passed, handed bool
}

// Answer sends the answer to the connection's goroutine and interrupts its watch for a disconnect.
func (w *waiter) Answer(a dispatch.Answer) { w.say(word{Answer: a}) }

// MayRetry reports whether the command may be retried even if it may have run.
func (w *waiter) MayRetry() bool { return w.repeats }

// Disconnected checks the connection itself, because the goroutine that watches it may not have run since the
// disconnect.
func (w *waiter) Disconnected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nc != nil && closed(w.nc)
}

// peerClosed reports whether the peer has closed the connection, or it is broken, provided that no unread bytes
// precede that. Unlike sock.Look it does not wait for a goroutine that is reading.
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

// HandOver tells the connection's goroutine that another process answers the command.
func (w *waiter) HandOver(handed bool) { w.say(word{passed: true, handed: handed}) }

// send interrupts the read before it sends the message: a deadline set after the goroutine has received the message
// would interrupt its next read.
func (w *waiter) say(what word) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nc != nil {
		w.nc.SetReadDeadline(past)
	}
	w.answer <- what
}

// setConn sets the client's connection, whose reads are interrupted when a message is sent.
func (w *waiter) join(nc net.Conn) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nc = nc
	if len(w.answer) > 0 {
		return nc.SetReadDeadline(past)
	}
	return nc.SetReadDeadline(time.Time{})
}

// handleCommand submits a command and waits for its answer. It returns false if the connection is to be closed.
// deadline is set if another process has read the request.
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
	if err := c.present(); err != nil { // the request may have been in a backlog for long
		return c.leave(err)
	}
	w := &waiter{cmd: cmd, end: q.Close, repeats: repeats, answer: make(chan word, 1), nc: c.nc}
	cmd.Client = w
	c.server.core.Submit(cmd)
	return c.wait(w)
}

// endGone closes a connection after checkClient or watchClient has failed: the client has disconnected, or it has
// sent so much that a disconnect could go unnoticed. In the second case the command may have run, so the status must
// not be one after which the client may simply retry.
func (c *conn) leave(err error) bool {
	if errors.Is(err, errFlood) {
		return c.reply(413, nil, "too much behind the request\n", true)
	}
	c.gone = true
	return false
}

// awaitAnswer waits for a command's answer and writes it. It returns false if the connection is to be closed.
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
	// The other process has died, and the command with it.
	return c.relay(dispatch.Answer{Verdict: dispatch.Failed}, true)
}

// Bounds of what a client may send after a request that is not answered yet.
const (
	mostAhead   = http1.MaxBody // bytes that are buffered
	mostDropped = 1 << 20       // bytes that are read and discarded beyond that, to notice a disconnect
)

// errGone reports that the client has disconnected.
var errGone = errors.New("the client has gone")

// errFlood reports that a client has sent more after its request than is read to notice a disconnect.
var errFlood = errors.New("too much behind a request")

// checkClient checks, without waiting, that the client is still connected before its request is submitted. It returns
// errGone or errFlood otherwise. Bytes sent after the request precede the end of the connection, so they are read
// first.
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

// watchClient waits until a message interrupts the read, which is nil, or the client disconnects, which is errGone or
// errFlood. Bytes sent after the request precede the end of the connection, so they are read: a client that sends
// much and disconnects must be noticed, too.
func (c *conn) watch() error {
	for {
		if err := c.readAhead(); errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// readAhead waits for more bytes after the current request. It buffers them as long as there is room, and discards
// further ones.
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

// discardInput does the same when the buffer is full. The amount is bounded, since a client could otherwise cause any
// amount of work.
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

// writeAnswer writes a command's final answer.
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
