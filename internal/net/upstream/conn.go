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

// stage is how far an exchange has come when it ends.
type stage int

const (
	unsent   stage = iota // not begun: no connection to spare, or the encoder wants nothing new
	unmade                // the connection never came up, or broke before the last byte was written
	broken                // it broke after that, before the answer
	answered              // the encoder answered
)

// end is how an exchange ended.
type end struct {
	stage    stage
	response *http1.Response // where it was answered
	kept     time.Duration   // how long its connection had been idle; 0: it was new
	unknown  bool            // where it was unsent: no such encoder was ever listed
	spoilt   bool            // where it broke: not before something of an answer had come
}

// unusable tells whether the encoder says that no encoder could do the request as it stands.
func (e end) unusable() bool { return e.stage == answered && e.response.Status == 400 }

// outcome is what the end says of an attempt; over is false where the encoder has taken it.
func (e end) outcome() (o decide.Outcome, over bool) {
	switch e.stage {
	case unsent:
		return decide.NotSent, true
	case unmade:
		return decide.ConnectFailed, true
	case broken:
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

func (e end) probeOutcome() decide.Outcome {
	switch {
	case e.stage == unmade || e.stage == unsent:
		return decide.ConnectFailed
	case e.stage == broken:
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
	id             string       // correlation id, of requests only
	passed         http1.Header // of the client's
	body           []byte
	deadline       time.Time
	mostIdle       time.Duration        // of the connection; 0: any
	fresh          bool                 // only a new connection will do
	gated          bool                 // new work: only for an encoder that is ready
	patient        bool                 // its connection may take until the deadline to come up
	expired        func(time.Time) bool // nil: never; it is too late to send it
	begin          func() bool          // nil: always; told that it is about to be sent, it may say no
	sent           func()               // called once it is written whole, if at all; may be nil
	done           func(end)            // called once, from the connection's goroutine

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

// unsend aborts the exchange unless the encoder may have got something of it.
func (x *exchange) unsend() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.written {
		return
	}
	if x.aborted = true; x.conn != nil {
		x.conn.Close()
	}
}

// late tells whether nobody waits any more for new work that has not been begun.
func (x *exchange) late() bool { return x.gated && !time.Now().Before(x.deadline) }

// enter puts the exchange on a connection unless it was aborted before.
func (x *exchange) enter(c net.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.aborted {
		x.conn = c
	}
	return !x.aborted
}

// leave takes it off, so that an abort that comes too late can't close another's connection.
func (x *exchange) leave() (aborted bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return x.aborted
}

// conn is one connection to an encoder and, through run, its goroutine.
type conn struct {
	pool  *Pool
	in    *endpoint
	work  chan *exchange // closed: the connection is to end
	since time.Time      // idle since
	shut  bool           // by the pool, which counts it no more

	epoch  int       // of the encoder, when it was dialled
	dialed time.Time // when that began

	nc  net.Conn
	br  *bufio.Reader
	out []byte // room for requests
}

// run opens a connection for a first exchange and serves further ones until it ends.
func (p *Pool) run(c *conn, x *exchange) {
	defer p.closed(c)
	defer func() {
		if c.nc != nil {
			c.nc.Close()
		}
	}()
	retire := time.NewTimer(time.Hour)
	defer retire.Stop()
	for {
		e, alive := c.serve(x)
		x.done(e)
		if !alive {
			return
		}
		p.rest(c)
		retire.Reset(p.bounds().rest())
		var ok bool
		if x, ok = c.next(retire.C); !ok {
			return
		}
	}
}

// next waits for a resting connection's next exchange; false: there is none, the connection is to end.
func (c *conn) next(retire <-chan time.Time) (x *exchange, ok bool) {
	select {
	case x, ok = <-c.work:
		return x, ok
	case <-retire:
	}
	if c.pool.retire(c) {
		return nil, false
	}
	x, ok = <-c.work // it was given work, or shut, in that moment
	return x, ok
}

// serve carries out one exchange. alive: the connection may carry another.
func (c *conn) serve(x *exchange) (e end, alive bool) {
	if c.nc != nil && (!c.pool.leads(c) || c.stale()) { // nothing is written yet, so another connection does no harm
		c.nc.Close()
		c.nc = nil
	}
	kept := time.Duration(0)
	if c.nc != nil {
		kept = max(time.Since(c.since), 1)
	} else if e, up := c.open(x); !up {
		return e, false
	}
	if !x.enter(c.nc) {
		return end{stage: unsent}, true
	}
	e = c.exchange(x)
	e.kept = kept
	aborted, talks := x.leave(), e.stage == answered && c.br.Buffered() > 0
	if talks {
		c.pool.talked(c.in)
	}
	e.spoilt = e.spoilt && !aborted // else who aborted it takes it back
	return e, !aborted && !talks && (e.stage == unsent || e.stage == answered && !e.response.Close)
}

// open opens a connection for an exchange; up is false where there is none, and e says why.
func (c *conn) open(x *exchange) (e end, up bool) {
	if x.late() { // a dial would fail at once, which speaks against no encoder
		return end{stage: unsent}, false
	}
	err := c.dial(x)
	switch {
	case err == nil:
		return end{}, true
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		return end{stage: unsent}, false // our own want speaks against no encoder
	}
	return end{stage: unmade}, false
}

// dial opens a connection. For what is no new work it does so again if the encoder has moved meanwhile.
func (c *conn) dial(x *exchange) error {
	up := time.Now().Add(c.pool.bounds().Connect)
	if x.patient || x.deadline.Before(up) {
		up = x.deadline
	}
	dialer := net.Dialer{Deadline: up, KeepAlive: -1}
	for {
		nc, err := dialer.Dial("tcp", c.pool.aim(c))
		if err != nil {
			return err
		}
		if x.gated || c.pool.leads(c) {
			c.nc, c.br = nc, bufio.NewReaderSize(nc, http1.MaxLine)
			return nil
		}
		nc.Close()
	}
}

// aim returns the address at which a connection is to be dialled now.
func (p *Pool) aim(c *conn) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.epoch, c.dialed = c.in.epoch, time.Now()
	return c.in.address
}

func (c *conn) exchange(x *exchange) end {
	now := time.Now()
	text := http1.AppendRequest(c.out[:0], x.method, x.target, x.header(c.nc.RemoteAddr().String(), now), x.body)
	last := x.deadline
	if x.gated {
		last = last.Add(courtesy)
	}
	if c.out = text; cap(text) > http1.MaxLine { // kept for the next request, but for a large one
		c.out = nil
	}
	if c.nc.SetDeadline(last) != nil {
		return end{stage: unmade}
	}
	// The list may have told of a drain or a move since this was decided, and while the connection
	// came up. From the first byte on it counts as sent.
	if x.begin != nil && !x.begin() || x.expired != nil && x.expired(time.Now()) || x.late() || x.gated && !c.pool.takes(c) {
		return end{stage: unsent}
	}
	x.mu.Lock()
	if x.aborted {
		x.mu.Unlock()
		return end{stage: unsent}
	}
	x.written = true // it may be whole before Write returns
	x.mu.Unlock()
	if n, err := c.nc.Write(text); err != nil && n < len(text) {
		return end{stage: unmade}
	}
	if x.sent != nil {
		x.sent()
	}
	if _, err := c.br.Peek(1); err != nil {
		return end{stage: broken}
	}
	p, err := http1.ReadResponse(c.br, x.method)
	if err != nil {
		return end{stage: broken, spoilt: true}
	}
	return end{stage: answered, response: p}
}

// stale tells whether an idle connection has been closed by the other side, or carries
// bytes that nobody asked for, by a look that takes nothing from it.
func (c *conn) stale() bool {
	if c.nc.SetDeadline(time.Time{}) != nil {
		return true
	}
	state := sock.Look(c.nc)
	if state == sock.Data {
		c.pool.talked(c.in)
	}
	return state != sock.Empty
}
