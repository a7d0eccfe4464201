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

// progress is how far an exchange has come when it ends.
type progress int

const (
	notSent   progress = iota // not begun: no connection to spare, or the encoder wants nothing new
	connectFailed                // the connection never came up, or broke before the last byte was written
	noResponse                // it broke after that, before the answer
	answered              // the encoder answered
)

// result is how an exchange ended.
type result struct {
	progress    progress
	response *http1.Response // where it was answered
	connIdle     time.Duration   // how long its connection had been idle; 0: it was new
	unknownInstance  bool            // where it was unsent: no such encoder was ever listed
	malformed   bool            // where it broke: not before something of an answer had come
}

// unusable tells whether the encoder says that no encoder could do the request as it stands.
func (e result) unusable() bool { return e.progress == answered && e.response.Status == 400 }

// outcome is what the end says of an attempt; over is false where the encoder has taken it.
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

// exchange is one request to an encoder and what came back.
type exchange struct {
	method, target string
	correlationID             string       // correlation id, of requests only
	passedHeader         http1.Header // of the client's
	body           []byte
	deadline       time.Time
	maxIdle       time.Duration        // of the connection; 0: any
	newConn          bool                 // only a new connection will do
	newWork          bool                 // new work: only for an encoder that is ready
	connectUntilDeadline        bool                 // its connection may take until the deadline to come up
	expired        func(time.Time) bool // nil: never; it is too late to send it
	begin          func() bool          // nil: always; told that it is about to be sent, it may say no
	onSent           func()               // called once it is written whole, if at all; may be nil
	onDone           func(result)            // called once, from the connection's goroutine

	mu      sync.Mutex
	conn    net.Conn // while it is on one
	aborted bool
	written bool
}

// abort ends the exchange by closing its connection. It tells whether the encoder may have
// got the request whole.
func (x *exchange) abort() (mayHave bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = true
	if x.conn != nil {
		x.conn.Close()
	}
	return x.written
}

// abortUnsent aborts the exchange unless the encoder may have got something of it.
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

// tooLate tells whether nobody waits any more for new work that has not been begun.
func (x *exchange) tooLate() bool { return x.newWork && !time.Now().Before(x.deadline) }

// attach puts the exchange on a connection unless it was aborted before.
func (x *exchange) attach(c net.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.aborted {
		x.conn = c
	}
	return !x.aborted
}

// detach takes it off, so that an abort that comes too late can't close another's connection.
func (x *exchange) detach() (aborted bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return x.aborted
}

// conn is one connection to an encoder and, through run, its goroutine.
type conn struct {
	pool  *Pool
	endpoint    *endpoint
	exchanges  chan *exchange // closed: the connection is to end
	idleSince time.Time      // idle since
	closedByPool  bool           // by the pool, which counts it no more

	epoch  int       // of the encoder, when it was dialled
	dialStarted time.Time // when that began

	nc  net.Conn
	br  *bufio.Reader
	buf []byte // room for requests
}

// serveConn opens a connection for a first exchange and serves further ones until it ends.
func (p *Pool) serveConn(c *conn, x *exchange) {
	defer p.connEnded(c)
	defer func() {
		if c.nc != nil {
			c.nc.Close()
		}
	}()
	retire := time.NewTimer(time.Hour)
	defer retire.Stop()
	for {
		e, alive := c.serve(x)
		x.onDone(e)
		if !alive {
			return
		}
		p.putIdle(c)
		retire.Reset(p.currentLimits().maxIdle())
		var ok bool
		if x, ok = c.next(retire.C); !ok {
			return
		}
	}
}

// next waits for a resting connection's next exchange; false: there is none, the connection is to end.
func (c *conn) next(retire <-chan time.Time) (x *exchange, ok bool) {
	select {
	case x, ok = <-c.exchanges:
		return x, ok
	case <-retire:
	}
	if c.pool.removeIdle(c) {
		return nil, false
	}
	x, ok = <-c.exchanges // it was given work, or shut, in that moment
	return x, ok
}

// serve carries out one exchange. alive: the connection may carry another.
func (c *conn) serve(x *exchange) (e result, alive bool) {
	if c.nc != nil && (!c.pool.isCurrent(c) || c.stale()) { // nothing is written yet, so another connection does no harm
		c.nc.Close()
		c.nc = nil
	}
	kept := time.Duration(0)
	if c.nc != nil {
		kept = max(time.Since(c.idleSince), 1)
	} else if e, up := c.open(x); !up {
		return e, false
	}
	if !x.attach(c.nc) {
		return result{progress: notSent}, true
	}
	e = c.roundTrip(x)
	e.connIdle = kept
	aborted, talks := x.detach(), e.progress == answered && c.br.Buffered() > 0
	if talks {
		c.pool.noteUnsolicited(c.endpoint)
	}
	e.malformed = e.malformed && !aborted // else who aborted it takes it back
	return e, !aborted && !talks && (e.progress == notSent || e.progress == answered && !e.response.Close)
}

// open opens a connection for an exchange; up is false where there is none, and e says why.
func (c *conn) open(x *exchange) (e result, up bool) {
	if x.tooLate() { // a dial would fail at once, which speaks against no encoder
		return result{progress: notSent}, false
	}
	err := c.dial(x)
	switch {
	case err == nil:
		return result{}, true
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		return result{progress: notSent}, false // our own want speaks against no encoder
	}
	return result{progress: connectFailed}, false
}

// dial opens a connection. For what is no new work it does so again if the encoder has moved meanwhile.
func (c *conn) dial(x *exchange) error {
	up := time.Now().Add(c.pool.currentLimits().Connect)
	if x.connectUntilDeadline || x.deadline.Before(up) {
		up = x.deadline
	}
	dialer := net.Dialer{Deadline: up, KeepAlive: -1}
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

// dialAddress returns the address at which a connection is to be dialled now.
func (p *Pool) dialAddress(c *conn) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.epoch, c.dialStarted = c.endpoint.epoch, time.Now()
	return c.endpoint.address
}

func (c *conn) roundTrip(x *exchange) result {
	now := time.Now()
	text := http1.AppendRequest(c.buf[:0], x.method, x.target, x.header(c.nc.RemoteAddr().String(), now), x.body)
	last := x.deadline
	if x.newWork {
		last = last.Add(graceTime)
	}
	if c.buf = text; cap(text) > http1.MaxLine { // kept for the next request, but for a large one
		c.buf = nil
	}
	if c.nc.SetDeadline(last) != nil {
		return result{progress: connectFailed}
	}
	// The list may have told of a drain or a move since this was decided, and while the connection
	// came up. From the first byte on it counts as sent.
	if x.begin != nil && !x.begin() || x.expired != nil && x.expired(time.Now()) || x.tooLate() || x.newWork && !c.pool.allowsNewWork(c) {
		return result{progress: notSent}
	}
	x.mu.Lock()
	if x.aborted {
		x.mu.Unlock()
		return result{progress: notSent}
	}
	x.written = true // it may be whole before Write returns
	x.mu.Unlock()
	if n, err := c.nc.Write(text); err != nil && n < len(text) {
		return result{progress: connectFailed}
	}
	if x.onSent != nil {
		x.onSent()
	}
	if _, err := c.br.Peek(1); err != nil {
		return result{progress: noResponse}
	}
	p, err := http1.ReadResponse(c.br, x.method)
	if err != nil {
		return result{progress: noResponse, malformed: true}
	}
	return result{progress: answered, response: p}
}

// stale tells whether an idle connection has been closed by the other side, or carries
// bytes that nobody asked for, by a look that takes nothing from it.
func (c *conn) stale() bool {
	if c.nc.SetDeadline(time.Time{}) != nil {
		return true
	}
	state := sock.Look(c.nc)
	if state == sock.Data {
		c.pool.noteUnsolicited(c.endpoint)
	}
	return state != sock.Empty
}
