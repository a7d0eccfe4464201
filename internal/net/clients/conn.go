package clients

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/readahead"
	"caperrelay/internal/net/sock"
)

// pastDeadline, set as a deadline, interrupts a pending read.
var pastDeadline = time.Unix(1, 0)

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
	server    *Server
	id        uint64 // unique in this process, from 1
	nc        net.Conn
	reader    *readahead.Reader
	outBuf    []byte      // buffer for answers
	firstTask func() bool // if set, run before reading requests; returns false if the connection is to be closed

	peerGone      bool // the peer has closed it, or does not read its answer
	extraRequests int  // requests answered since it should have been closed
	unanswered    bool // a request has been received, at least in part, and is not answered yet

	// Guarded by the server's lock.
	state        state
	stateSince   time.Time // when the state began; until the first answer, when it was accepted
	evicted      bool
	answered     bool // a request on it has been answered
	fromInstance bool // its last request was a callback
	passed       bool // to another process
	flooded      bool // bytes after a request were dropped, so no further request can be read
}

// retention orders connections by how much they are needed while others wait for a slot, the most expendable first.
type retention int

const (
	lingered    retention = iota // it is answered, and open only to avoid a reset
	silent                       // it has sent nothing: a client that has a request sends it at once
	stalled                      // it has sent a part of a request
	idleClient                   // a client's connection between two requests
	idleEncoder                  // an encoder's connection between two callbacks: callbacks complete clients' commands
	inUse
)

func (c *conn) retention(now time.Time) retention {
	t := c.server.timeouts
	switch age := now.Sub(c.stateSince); {
	case c.state == lingering && age >= t.linger:
		return lingered
	case c.state == waiting && !c.answered && age >= t.firstByte:
		return silent
	case c.state == reading && age >= t.remainder:
		return stalled
	case c.state == waiting && c.answered && c.fromInstance:
		return idleEncoder
	case c.state == waiting && c.answered:
		return idleClient
	}
	return inUse
}

// evict has the connection's goroutine close it.
func (c *conn) evict() {
	c.evicted = true
	c.nc.SetReadDeadline(pastDeadline)
}

func (c *conn) run() {
	defer c.server.connEnded(c)
	c.serve()
	if c.passed {
		return
	}
	if !c.peerGone {
		c.linger()
	}
	c.nc.Close()
}

// serve answers requests until the connection is to be closed. Every request received by then is answered, unless the
// peer has closed the connection.
func (c *conn) serve() {
	defer c.reader.Release()
	if c.firstTask != nil && !c.firstTask() {
		return
	}
	for {
		q, err := c.readRequest()
		var m *http1.MalformedError
		switch {
		case errors.Is(err, errPassed):
			return
		case errors.As(err, &m):
			c.reply(m.Status, nil, m.Text+"\n", true)
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.replyTimeout()
			return
		case errors.Is(err, errIdle):
			return
		case err != nil:
			c.peerGone = true
			return
		case !c.handle(q):
			return
		}
		c.reader.Yield()
	}
}

// setReader sets the reader, which begins with the bytes that another process has received on the connection.
func (c *conn) setReader(received []byte) {
	c.reader = readahead.New(c.nc, received, c.server.readAhead, func() {
		c.server.mu.Lock()
		c.flooded = true
		c.server.mu.Unlock()
	})
}

// readRequest reads the next request.
func (c *conn) readRequest() (*http1.Request, error) {
	if err := c.awaitRequest(); err != nil {
		return nil, err
	}
	c.unanswered = true
	return http1.ReadRequest(c.reader.Reader, func() error {
		err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // the deadline of the last answer may have passed
		if err == nil {
			_, err = c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return err
	})
}

// replyTimeout tells a peer whose request has not arrived in time why its connection is closed. If it was evicted, it
// may try again.
func (c *conn) replyTimeout() {
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
var errPassed = errors.New("connection passed to another process")

// passOn passes the connection to the process that takes over, if there is one. Bytes received but not read go with
// it, in p.Received. The server's lock must be held.
func (c *conn) passOn(p PassedConn) bool {
	tcp, ok := c.nc.(*net.TCPConn)
	if c.server.newer == nil || !ok {
		return false
	}
	p.Answered, p.FromInstance, p.Flooded = c.answered, c.fromInstance, c.flooded
	p.Received = append(p.Received, c.reader.Unread()...)
	c.passed = true
	c.server.newer.Pass(tcp, p)
	return true
}

// awaitRequest waits for the first byte of a request. If the connection ends between two requests it returns io.EOF,
// or errIdle if this side closes it.
func (c *conn) awaitRequest() error {
	s := c.server
	s.mu.Lock()
	if c.passOn(PassedConn{}) {
		s.mu.Unlock()
		return errPassed
	}
	c.reader.Shrink()
	isFirst, now := !c.answered, time.Now()
	deadline := c.stateSince.Add(s.timeouts.firstRequest)
	if c.state = waiting; !isFirst {
		c.stateSince, deadline = now, now.Add(idleTimeout)
	}
	err := c.nc.SetReadDeadline(deadline)
	if c.evicted || !isFirst && s.crowded && !c.fromInstance { // evicted before, or crowded since the last answer
		c.evict()
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = c.reader.Peek(1)
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	s.mu.Lock()
	defer s.mu.Unlock()
	if timedOut && c.passOn(PassedConn{}) {
		return errPassed
	}
	// A request may arrive just as the connection is to be closed; it is accepted.
	if err != nil && (!timedOut || c.nc.SetReadDeadline(time.Time{}) != nil || sock.Peek(c.nc) != sock.Data) {
		switch {
		case !isFirst && timedOut:
			return errIdle
		case !isFirst:
			return io.EOF
		}
		return err
	}
	c.state, now = reading, time.Now()
	if !isFirst {
		c.stateSince, deadline = now, now.Add(readTimeout)
	}
	if timedOut || c.evicted {
		deadline = now.Add(s.timeouts.remainder)
	}
	if s.pastAnswerBy {
		deadline = now.Add(s.timeouts.shutdown)
	}
	return c.nc.SetReadDeadline(deadline)
}

// handle processes one request. It returns false if the connection is to be closed.
func (c *conn) handle(q *http1.Request) bool {
	path, _, _ := strings.Cut(q.Target, "?")
	c.server.mu.Lock()
	c.state, c.fromInstance = handling, path == callbackPath
	c.server.mu.Unlock()
	method := "GET"
	if path == callbackPath || path == commandPath {
		method = "POST"
	}
	switch {
	case path != callbackPath && path != commandPath && path != readyPath && path != countersPath:
		return c.reply(404, nil, "no such path\n", q.Close)
	case q.Method != method:
		return c.reply(405, http1.Header{{Name: "Allow", Value: method}}, "only "+method+"\n", q.Close)
	case path == readyPath && c.server.isDraining():
		return c.reply(503, nil, "departing\n", q.Close)
	case path == readyPath:
		return c.reply(200, nil, "ok\n", q.Close)
	case path == countersPath:
		return c.reply(200, nil, c.server.countersText(), q.Close)
	case path == callbackPath:
		return c.handleCallback(q)
	}
	return c.handleCommand(q, time.Time{})
}

// reply writes an answer. It returns false if the connection is to be closed.
func (c *conn) reply(status int, h http1.Header, body string, closeConn bool) bool {
	c.server.mu.Lock()
	c.answered = true
	closeConn = closeConn || c.flooded
	closeDue := c.evicted || !c.fromInstance && (c.server.crowded || c.server.draining && c.server.newer == nil)
	c.server.mu.Unlock()
	if closeDue && !closeConn {
		closeConn = c.extraRequests >= maxExtraRequests || !c.hasInput()
		c.extraRequests++
	}
	if closeConn {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	if c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	message := http1.AppendResponse(c.outBuf[:0], status, h, []byte(body))
	_, err := c.nc.Write(message)
	if c.outBuf = message; cap(message) > http1.MaxLine { // reuse the buffer for the next answer unless it is large
		c.outBuf = nil
	}
	if err != nil { // a peer that has closed the connection is not counted, one that did not read in time is
		c.peerGone = true
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.server.countEnd(dispatch.Truncated)
		}
	}
	c.unanswered = false
	return err == nil && !closeConn
}

// hasInput reports whether the next request has arrived, at least in part. It is answered before the connection is
// closed.
func (c *conn) hasInput() bool {
	return c.reader.Buffered() > 0 || c.nc.SetReadDeadline(time.Time{}) == nil && sock.Peek(c.nc) == sock.Data
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
	if !ok || crowded && !c.hasInput() || tcp.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	wasIdle := c.answered && c.state == waiting
	c.state, c.stateSince, c.evicted = lingering, time.Now(), false
	err := c.nc.SetReadDeadline(c.stateSince.Add(lingerTimeout))
	s.mu.Unlock()
	if err != nil {
		return
	}
	for left := 4 * http1.MaxBody; left > 0; {
		n, err := readahead.DiscardSome(c.nc, left)
		if n > 0 && wasIdle {
			s.countEnd(dispatch.RequestInFlight)
			wasIdle = false
		}
		if err != nil {
			return
		}
		left -= n
	}
}

// commandClient is the client of one command.
type commandClient struct {
	cmd        *dispatch.Command
	closeAfter bool         // the connection is to be closed after the answer
	mayRetry   bool         // the command may be retried even if it may have run
	answer     chan outcome // has room for one

	mu sync.Mutex
	nc net.Conn // nil: not yet received from an older process
}

// outcome is the loop's message for a client: the answer, or that another process will give it.
type outcome struct {
	dispatch.Answer
	handedOver, transferred bool
}

// Answer sends the answer to the connection's goroutine and interrupts its watch for a disconnect.
func (w *commandClient) Answer(a dispatch.Answer) { w.send(outcome{Answer: a}) }

// MayRetry reports whether the command may be retried even if it may have run.
func (w *commandClient) MayRetry() bool { return w.mayRetry }

// Disconnected checks the connection itself, because the goroutine that watches it may not have run since the
// disconnect.
func (w *commandClient) Disconnected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nc != nil && sock.PeerClosed(w.nc)
}

// HandOver tells the connection's goroutine that another process answers the command.
func (w *commandClient) HandOver(transferred bool) {
	w.send(outcome{handedOver: true, transferred: transferred})
}

// send interrupts the read before it sends the message: a deadline set after the goroutine has received the message
// would interrupt its next read.
func (w *commandClient) send(o outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nc != nil {
		w.nc.SetReadDeadline(pastDeadline)
	}
	w.answer <- o
}

// setConn sets the client's connection, whose reads are interrupted when a message is sent.
func (w *commandClient) setConn(nc net.Conn) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nc = nc
	if len(w.answer) > 0 {
		return nc.SetReadDeadline(pastDeadline)
	}
	return nc.SetReadDeadline(time.Time{})
}

// handleCommand submits a command and waits for its answer. It returns false if the connection is to be closed.
// deadline is set if another process has read the request.
func (c *conn) handleCommand(q *http1.Request, deadline time.Time) bool {
	cmd, mayRetry, err := c.server.parse(q, time.Now())
	if err != nil {
		return c.reply(400, nil, err.Error()+"\n", q.Close)
	}
	if !deadline.IsZero() {
		cmd.Deadline = deadline
	}
	answerBy, pastAnswerBy := c.server.answerDeadline()
	if pastAnswerBy {
		c.server.connCounters.CountShutdownRefusal(cmd.Class)
		return c.writeAnswer(dispatch.Answer{Verdict: dispatch.Refused}, q.Close)
	}
	if !answerBy.IsZero() && cmd.Deadline.After(answerBy) {
		cmd.Deadline = answerBy
	}
	err = c.nc.SetReadDeadline(time.Time{})
	if err == nil {
		err = c.reader.CheckPeer()
	}
	if err != nil { // the request may have been in a backlog for long
		return c.endGone(err)
	}
	w := &commandClient{cmd: cmd, closeAfter: q.Close, mayRetry: mayRetry, answer: make(chan outcome, 1), nc: c.nc}
	cmd.Client = w
	c.server.core.Submit(cmd)
	return c.awaitAnswer(w)
}

// endGone closes a connection after CheckPeer or WatchPeer has failed: the client has disconnected, or it has
// sent so much that a disconnect could go unnoticed. In the second case the command may have run, so the status must
// not be one after which the client may simply retry.
func (c *conn) endGone(err error) bool {
	if errors.Is(err, readahead.ErrFlood) {
		return c.reply(413, nil, "too much behind the request\n", true)
	}
	c.peerGone = true
	return false
}

// awaitAnswer waits for a command's answer and writes it. It returns false if the connection is to be closed.
func (c *conn) awaitAnswer(w *commandClient) bool {
	err := w.setConn(c.nc)
	if err == nil {
		err = c.reader.WatchPeer()
	}
	if answered := len(w.answer) > 0; err != nil && !(answered && errors.Is(err, readahead.ErrFlood)) {
		c.server.core.ClientGone(w.cmd)
		return c.endGone(err)
	}
	o := <-w.answer
	if !o.handedOver {
		return c.writeAnswer(o.Answer, w.closeAfter)
	}
	p := PassedConn{CommandID: w.cmd.ID}
	if !o.transferred {
		p.Request, p.Deadline = w.cmd.Payload.(*http1.Request), w.cmd.Deadline
	}
	c.server.mu.Lock()
	passed := c.passOn(p)
	c.server.mu.Unlock()
	if passed {
		return false
	}
	// The other process has died, and the command with it.
	return c.writeAnswer(dispatch.Answer{Verdict: dispatch.Failed}, true)
}

// writeAnswer writes a command's final answer.
func (c *conn) writeAnswer(a dispatch.Answer, closeConn bool) bool {
	switch a.Verdict {
	case dispatch.Served:
		return c.reply(200, nil, string(a.Result), closeConn)
	case dispatch.Refused:
		var h http1.Header
		if a.RetryAfter > 0 {
			h = http1.Header{{Name: "Retry-After", Value: formatSeconds(a.RetryAfter)}}
		}
		return c.reply(503, h, "refused: trying again is harmless\n", closeConn)
	}
	if a.Verdict == dispatch.Unusable {
		return c.reply(400, nil, "no instance can use the command, or its id is in hand\n", closeConn)
	}
	return c.reply(502, nil, "failed\n", closeConn)
}
