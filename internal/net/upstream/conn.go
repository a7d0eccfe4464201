package upstream

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/sock"
)

// progress is how far an exchange got before it ended.
type progress int

const (
	notSent       progress = iota // nothing was sent: no free connection, too late, cancelled, or the encoder takes no new work
	connectFailed                 // the connection could not be opened, or broke before the last byte was written
	noResponse                    // the connection broke after that, without a complete response
	answered                      // a response was received
)

// result is the result of an exchange.
type result struct {
	progress        progress
	response        *http1.Response // if answered
	connIdle        time.Duration   // how long the connection had been idle before; 0: it was new
	unknownInstance bool            // if notSent: the encoder is not listed or has no address
	malformed       bool            // if noResponse: the response was truncated or invalid
}

// unusable reports whether the encoder answered that no encoder can execute the request as submitted.
func (e result) unusable() bool { return e.progress == answered && e.response.Status == 400 }

// outcome returns the outcome of the attempt. over is false if the encoder has accepted it and still works on it.
func (e result) outcome() (o decide.Outcome, over bool) {
	switch e.progress {
	case notSent:
		return decide.NotSent, true
	case connectFailed:
		return decide.ConnectFailed, true
	case noResponse:
		return decide.Reset, true
	}
	switch status := e.response.Status; {
	case status == 202:
		return decide.OK, false
	case (status == 503 || status == 504) && e.response.Header.Get("X-Unprocessed") == "1":
		return decide.Full, true
	}
	return decide.Errored, true
}

func (e result) probeOutcome() decide.Outcome {
	switch {
	case e.progress == connectFailed || e.progress == notSent:
		return decide.ConnectFailed
	case e.progress == noResponse:
		return decide.TimedOut
	case e.response.Status == 200:
		return decide.OK
	case e.response.Status == 503:
		return decide.Full
	}
	return decide.Errored
}

// exchange is one request to an encoder and its response.
type exchange struct {
	method, target       string
	correlationID        string       // empty for cancellations and probes
	passedHeader         http1.Header // fields of the client's header that are passed on
	body                 []byte
	deadline             time.Time
	maxIdle              time.Duration        // longest permitted idle time of the connection; 0: no limit
	newConn              bool                 // must use a new connection
	settled              bool                 // must not use a connection that has been idle for less than the settle time
	newWork              bool                 // new work: sent only to an encoder that is ready
	connectUntilDeadline bool                 // the connect timeout does not apply, only the deadline
	expired              func(time.Time) bool // reports whether it must no longer be sent; nil: never
	sendBefore           func() time.Time     // returns the time before which it must be sent completely, zero if there is none; may be nil
	begin                func() bool          // called right before sending, which it permits by returning true; nil: always permitted
	onSent               func()               // called after the last byte has been written; may be nil
	onDone               func(result)         // called exactly once, from the connection's goroutine

	mu      sync.Mutex
	conn    net.Conn // the connection that carries it, nil if none does
	aborted bool
	written bool
}

// abort ends the exchange by closing its connection. It reports whether the encoder may have received the request.
func (x *exchange) abort() (mayHaveReceived bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = true
	if x.conn != nil {
		x.conn.Close()
	}
	return x.written
}

// abortUnsent aborts the exchange unless the encoder may have received some of it.
func (x *exchange) abortUnsent() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.written {
		return
	}
	if x.aborted = true; x.conn != nil {
		x.conn.Close()
	}
}

// tooLate reports whether the deadline has passed for new work that has not been sent.
func (x *exchange) tooLate() bool { return x.newWork && !time.Now().Before(x.deadline) }

// sendLimit returns the time before which the exchange must be sent completely, or another time if that is earlier.
func (x *exchange) sendLimit(other time.Time) time.Time {
	if x.sendBefore == nil {
		return other
	}
	if limit := x.sendBefore(); !limit.IsZero() && limit.Before(other) {
		return limit
	}
	return other
}

// sendTimeOver reports whether the time is over in which the exchange must be sent.
func (x *exchange) sendTimeOver() bool {
	now := time.Now()
	return !x.sendLimit(now.Add(1)).After(now)
}

// attach assigns the exchange to a connection. It returns false if the exchange has been aborted.
func (x *exchange) attach(c net.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.aborted {
		x.conn = c
	}
	return !x.aborted
}

// detach releases the connection, so that a late abort cannot close it while it carries another exchange.
func (x *exchange) detach() (aborted bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return x.aborted
}

// conn is one connection to an encoder. [Pool.serveConn] is its goroutine.
type conn struct {
	pool         *Pool
	endpoint     *endpoint
	exchanges    chan *exchange // closed when the connection is to end
	idleSince    time.Time
	closedByPool bool // and no longer counted by it

	epoch       int // the endpoint's epoch when the dial started
	dialStarted time.Time

	nc  net.Conn
	br  *bufio.Reader
	buf []byte // reused for encoding requests
}

// serveConn opens a connection for its first exchange and serves further ones until the connection ends.
func (p *Pool) serveConn(c *conn, x *exchange) {
	defer p.connEnded(c)
	defer func() {
		if c.nc != nil {
			c.nc.Close()
		}
	}()
	idleTimer := time.NewTimer(time.Hour)
	defer idleTimer.Stop()
	for {
		e, alive := c.serve(x)
		x.onDone(e)
		if !alive {
			return
		}
		p.putIdle(c)
		idleTimer.Reset(p.currentLimits().maxIdle())
		var ok bool
		if x, ok = c.next(idleTimer.C); !ok {
			return
		}
	}
}

// next waits for an idle connection's next exchange. It returns false if there is none and the connection must end.
func (c *conn) next(idleTimeout <-chan time.Time) (x *exchange, ok bool) {
	select {
	case x, ok = <-c.exchanges:
		return x, ok
	case <-idleTimeout:
	}
	if c.pool.removeIdle(c) {
		return nil, false
	}
	x, ok = <-c.exchanges // it has just been given an exchange or been closed by the pool
	return x, ok
}

// serve carries out one exchange. alive reports whether the connection can carry another.
func (c *conn) serve(x *exchange) (e result, alive bool) {
	if c.nc != nil && (!c.pool.isCurrent(c) || c.stale()) { // nothing has been written yet, so replacing the connection is harmless
		c.nc.Close()
		c.nc = nil
	}
	connIdle := time.Duration(0)
	if c.nc != nil {
		connIdle = max(time.Since(c.idleSince), 1)
	} else if e, up := c.open(x); !up {
		return e, false
	}
	if !x.attach(c.nc) {
		return result{progress: notSent}, true
	}
	e = c.roundTrip(x)
	e.connIdle = connIdle
	aborted, unsolicited := x.detach(), e.progress == answered && c.br.Buffered() > 0
	if unsolicited {
		c.pool.noteUnsolicited(c.endpoint)
	}
	e.malformed = e.malformed && !aborted // an aborted exchange is cancelled by the caller of abort
	return e, !aborted && !unsolicited && (e.progress == notSent || e.progress == answered && !e.response.Close)
}

// open opens a connection for an exchange. If up is false, e holds the reason.
func (c *conn) open(x *exchange) (e result, up bool) {
	if x.tooLate() { // a dial would fail at once, which says nothing about the encoder
		return result{progress: notSent}, false
	}
	err := c.dial(x)
	switch {
	case err == nil:
		return result{}, true
	case x.sendTimeOver(): // it cut the dial short, which says nothing about the encoder
		return result{progress: notSent}, false
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		return result{progress: notSent}, false // a shortage of descriptors in this process says nothing about the encoder
	}
	return result{progress: connectFailed}, false
}

// dial opens a connection. For anything but new work, it dials again if the encoder's address has changed meanwhile.
func (c *conn) dial(x *exchange) error {
	dialBy := time.Now().Add(c.pool.currentLimits().ConnectTimeout)
	if x.connectUntilDeadline || x.deadline.Before(dialBy) {
		dialBy = x.deadline
	}
	dialer := net.Dialer{Deadline: x.sendLimit(dialBy), KeepAlive: -1}
	for {
		nc, err := dialer.Dial("tcp", c.pool.dialAddress(c))
		if err != nil {
			return err
		}
		if x.newWork || c.pool.isCurrent(c) {
			c.nc, c.br = nc, bufio.NewReaderSize(nc, http1.MaxLine)
			return nil
		}
		nc.Close()
	}
}

// dialAddress returns the address to dial now, and records the epoch and the time.
func (p *Pool) dialAddress(c *conn) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.epoch, c.dialStarted = c.endpoint.epoch, time.Now()
	return c.endpoint.address
}

func (c *conn) roundTrip(x *exchange) result {
	if x.begin != nil && !x.begin() { // first, since it may take long
		return result{progress: notSent}
	}
	request := http1.AppendRequest(c.buf[:0], x.method, x.target, x.header(c.nc.RemoteAddr().String(), time.Now()), x.body)
	deadline := x.deadline
	if x.newWork {
		deadline = deadline.Add(graceTime)
	}
	if c.buf = request; cap(request) > http1.MaxLine { // reuse the buffer unless a large request made it grow
		c.buf = nil
	}
	if c.nc.SetDeadline(deadline) != nil || c.nc.SetWriteDeadline(x.sendLimit(deadline)) != nil {
		return result{progress: connectFailed}
	}
	// The list may have reported a drain or a new address since the attempt was decided, or while the connection was
	// being opened. From the first byte on, the request counts as sent.
	if x.expired != nil && x.expired(time.Now()) || x.tooLate() || x.newWork && !c.pool.allowsNewWork(c) {
		return result{progress: notSent}
	}
	x.mu.Lock()
	if x.aborted {
		x.mu.Unlock()
		return result{progress: notSent}
	}
	x.written = true // the encoder may have all of it before Write returns
	x.mu.Unlock()
	if n, err := c.nc.Write(request); err != nil && n < len(request) {
		return result{progress: connectFailed}
	}
	if x.onSent != nil {
		x.onSent()
	}
	if _, err := c.br.Peek(1); err != nil {
		return result{progress: noResponse}
	}
	response, err := http1.ReadResponse(c.br, x.method)
	if err != nil {
		return result{progress: noResponse, malformed: true}
	}
	return result{progress: answered, response: response}
}

// stale reports whether the peer has closed an idle connection or sent unsolicited bytes on it, without consuming
// any.
func (c *conn) stale() bool {
	if c.nc.SetDeadline(time.Time{}) != nil {
		return true
	}
	state := sock.Peek(c.nc)
	if state == sock.Data {
		c.pool.noteUnsolicited(c.endpoint)
	}
	return state != sock.Empty
}
