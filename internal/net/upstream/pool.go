// Package upstream speaks to the encoders: it keeps a pool of connections to each and
// sends attempts, give-ups and probes over them.
package upstream

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/loadreport"
)

// graceTime is how long a give-up or a probe may take before it is dropped. A connection with
// an attempt waits on for as long after its deadline: the loop ends what is silent then, and
// a read that ended here at the same moment would make a reset of a time-out.
const graceTime = time.Second

// How a give-up is made sure of.
const (
	cancelTries = 2                     // on connections, each within courtesy
	cancelRetryDelay  = 10 * time.Millisecond // before the next look for a connection to spare
)

// A spoilt answer may be followed by a second one some milliseconds later, which would be read as the answer to the next
// request on that connection: as taken where it was turned away, or the other way round.
const (
	defaultSettle  = 50 * time.Millisecond // that a connection rests before it is used again, where others do as well,
	unsolicitedWindow = 30 * time.Second      // for so long after some encoder was seen to do so, and at that one no other is used
)

// maxEndpoints is how many are remembered before those gone are forgotten.
const maxEndpoints = 4096

// Observer takes what comes of what was sent.
type Observer interface {
	AttemptEnded(_ *dispatch.Attempt, _ decide.Outcome, kept time.Duration)
	AttemptSent(*dispatch.Attempt)
	AttemptAccepted(*dispatch.Attempt)
	AttemptUnusable(*dispatch.Attempt)
	ProbeEnded(encoder string, o decide.Outcome, report *decide.Report)
	LoadReported(*dispatch.Attempt, decide.Report)
}

// Limits bounds the pool.
type Limits struct {
	Connections int           // in all
	Connect     time.Duration // for a connection to come up
	Idle        time.Duration // after which encoders close a connection
}

// maxIdle is how long a connection is kept idle: well below the limit, since a request written to one that the encoder's machine
// has just closed would end as a reset.
func (l Limits) maxIdle() time.Duration { return l.Idle * 3 / 5 }

// Pool is the way to all encoders.
type Pool struct {
	limits  Limits
	observer Observer
	settle  time.Duration
	loadReader   *loadreport.Reader // nil: encoders report none

	mu        sync.Mutex
	endpoints map[string]*endpoint
	cordoned  map[string]bool                 // left out by hand
	unaccepted       map[*dispatch.Attempt]*exchange // sent and not yet taken by the encoder
	connCount     int
	pendingRetries    int       // give-ups that wait for a connection to spare
	lastUnsolicited      time.Time // when an encoder last said something that nobody had asked for
}

// endpoint is one encoder as discovery lists it.
type endpoint struct {
	id, address string
	state       decide.WorkerState
	started     time.Time // its process, as listed
	epoch       int       // counts removals and moves: connections of an earlier one lead nowhere that is wanted
	idle        []*conn   // the longest idle first
	lastUnsolicited      time.Time // when it last said something that nobody had asked for
}

// NewPool returns a pool that knows no encoder yet.
func NewPool(l Limits) *Pool {
	return &Pool{limits: l, endpoints: map[string]*endpoint{}, cordoned: map[string]bool{}, unaccepted: map[*dispatch.Attempt]*exchange{}, settle: defaultSettle}
}

// ReportTo says who takes reports. It must come before anything is sent.
func (p *Pool) ReportTo(r Observer) { p.observer = r }

// ReadBy says who reads encoders' load reports. It must come before anything is sent.
func (p *Pool) ReadBy(r *loadreport.Reader) { p.loadReader = r }

// Listed takes discovery's news as soon as it has been read: what drains or is gone
// gets nothing new, whatever has been decided by then.
func (p *Pool) Listed(l dispatch.InstanceUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Complete {
		for _, in := range p.endpoints {
			in.state = decide.Gone
		}
	}
	now := time.Now()
	for _, m := range l.Instances {
		in := p.endpoints[m.ID]
		if in == nil {
			in = &endpoint{id: m.ID}
			p.endpoints[m.ID] = in
		}
		if in.state = m.State; m.Address != "" && m.Address != in.address {
			in.address = m.Address
			p.invalidateConns(in)
		}
		if m.Started.After(in.started) && !m.Started.After(now) {
			in.started = m.Started
			p.closeStaleConns(in)
		}
	}
	for id, in := range p.endpoints {
		if in.state == decide.Gone {
			p.invalidateConns(in)
			if len(p.endpoints) > maxEndpoints {
				delete(p.endpoints, id)
			}
		}
	}
}

// Cordon has an encoder get nothing new from now on, whatever the list says, or again.
func (p *Pool) Cordon(id string, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !out {
		delete(p.cordoned, id)
		return
	}
	p.cordoned[id] = true
	if in := p.endpoints[id]; in != nil {
		p.invalidateConns(in)
	}
}

// Knows tells whether the list has ever told of an encoder, or it is left out.
func (p *Pool) Knows(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id] != nil || p.cordoned[id]
}

// closeIdleConns closes an encoder's idle connections.
func (p *Pool) closeIdleConns(in *endpoint) {
	for _, c := range in.idle {
		p.closeConn(c)
	}
	in.idle = nil
}

// closeConn closes a connection that rests and is taken out of the idle ones. It is closed on return: another may take its place
// under the limit on connections.
func (p *Pool) closeConn(c *conn) {
	c.nc.Close()
	close(c.exchanges)
	c.closedByPool = true
	p.connCount--
}

// invalidateConns closes an encoder's idle connections at once and each busy one as soon as it rests. One that still comes up is
// not written to.
func (p *Pool) invalidateConns(in *endpoint) {
	in.epoch++
	p.closeIdleConns(in)
}

// closeStaleConns closes the idle connections that the encoder's process cannot know, since it started later.
func (p *Pool) closeStaleConns(in *endpoint) {
	in.idle = slices.DeleteFunc(in.idle, func(c *conn) bool {
		stale := !c.current()
		if stale {
			p.closeConn(c)
		}
		return stale
	})
}

// current tells whether a connection, or one that is coming up, leads to the encoder as it is listed. The pool's mutex is held.
func (c *conn) current() bool { return c.epoch == c.endpoint.epoch && !c.dialStarted.Before(c.endpoint.started) }

// isCurrent is the same for those who do not hold the mutex.
func (p *Pool) isCurrent(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.current()
}

// allowsNewWork tells whether a connection may carry new work at this moment.
func (p *Pool) allowsNewWork(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.endpoint.state == decide.Ready && !p.cordoned[c.endpoint.id] && c.current()
}

// CloseIdle closes the idle connections to an encoder.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if in := p.endpoints[id]; in != nil {
		p.closeIdleConns(in)
	}
}

// Send starts an attempt.
func (p *Pool) Send(a *dispatch.Attempt) {
	q := a.Command.Payload.(*http1.Request)
	x := &exchange{method: q.Method, target: q.Target, body: q.Body, correlationID: a.Command.ID, passedHeader: passThrough(q.Header), deadline: a.Deadline, maxIdle: a.MaxIdle, newConn: a.NewConn, newWork: true, begin: a.Begin, expired: a.Expired}
	x.onSent = func() { p.observer.AttemptSent(a) }
	x.onDone = func(e result) {
		p.mu.Lock()
		delete(p.unaccepted, a)
		p.mu.Unlock()
		if e.unusable() {
			p.observer.AttemptUnusable(a)
		} else if o, over := e.outcome(); over {
			if e.malformed { // the encoder may take it for taken
				a.CancelPending()
				p.cancelJob(a)
			}
			if r := p.loadReport(e); r != nil {
				p.observer.LoadReported(a, *r)
			}
			p.observer.AttemptEnded(a, o, e.connIdle)
		} else {
			p.observer.AttemptAccepted(a)
		}
	}
	p.mu.Lock()
	p.unaccepted[a] = x
	p.mu.Unlock()
	p.start(a.Instance, x)
}

// Cancel ends an attempt. One that the encoder may have is taken back by DELETE; before
// its 202 the connection is closed too. Not instead: the 202 may be on its way. It stays unconfirmed
// where no DELETE is answered: the encoder may still have it.
func (p *Pool) Cancel(a *dispatch.Attempt) {
	p.mu.Lock()
	x := p.unaccepted[a]
	p.mu.Unlock()
	if x != nil && !x.abort() {
		a.CancelConfirmed()
		return
	}
	p.cancelJob(a)
}

// Unsend ends all attempts of which nothing is written yet, as never sent: another process has them from now on, and may
// give one up and send it elsewhere while it still waits here for its connection.
func (p *Pool) Unsend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.unaccepted {
		x.abortUnsent()
	}
}

// cancellation is word on its way to an encoder that an attempt is given up.
type cancellation struct {
	encoder, id string    // the request's
	retryUntil       time.Time // when it is dropped that finds no connection to spare
	triesLeft       int       // left on connections
	newConn       bool      // the next takes a new one
	confirm     func()    // called once the encoder knows, if it ever does
}

// cancelJob tells an encoder that an attempt is given up. A DELETE may be repeated, unlike a request: the second goes over a
// new connection, since a kept one may be dead. The attempt counts as given up only once the encoder has answered.
func (p *Pool) cancelJob(a *dispatch.Attempt) {
	p.sendCancellation(&cancellation{encoder: a.Instance, id: a.Command.ID, retryUntil: time.Now().Add(graceTime), triesLeft: cancelTries, confirm: a.CancelConfirmed})
}

func (p *Pool) sendCancellation(g *cancellation) {
	p.start(g.encoder, &exchange{
		method: "DELETE", target: "/jobs/" + g.id, deadline: time.Now().Add(graceTime), newConn: g.newConn, connectUntilDeadline: true,
		onDone: func(e result) { p.cancellationEnded(g, e) },
	})
}

// cancellationEnded takes the end of a give-up's exchange.
func (p *Pool) cancellationEnded(g *cancellation, e result) {
	switch {
	case e.progress == answered || e.unknownInstance:
		g.confirm()
	case e.progress == notSent && time.Now().Before(g.retryUntil):
		p.retryLater(func() { p.sendCancellation(g) })
	case e.progress != notSent && g.triesLeft > 1:
		g.triesLeft--
		g.newConn = true
		p.sendCancellation(g)
	}
}

// retryLater calls f in a moment. The pool counts as busy until then.
func (p *Pool) retryLater(f func()) {
	p.mu.Lock()
	p.pendingRetries++
	p.mu.Unlock()
	time.AfterFunc(cancelRetryDelay, func() {
		f()
		p.mu.Lock()
		p.pendingRetries--
		p.mu.Unlock()
	})
}

// loadReport is the report that came with an answer, nil where none did.
func (p *Pool) loadReport(e result) *decide.Report {
	if e.progress != answered {
		return nil
	}
	return p.loadReader.Line(e.response.Header.Get(loadreport.HeaderField))
}

// Probe checks an encoder, by the way that brings a load report where there are any.
func (p *Pool) Probe(id string) {
	target := "/ping"
	if p.loadReader.Any() {
		target = "/_load"
	}
	p.start(id, &exchange{
		method: "GET", target: target, deadline: time.Now().Add(graceTime),
		onDone: func(e result) {
			report := p.loadReport(e)
			if report == nil && e.progress == answered {
				report = p.loadReader.Object(e.response.Body)
			}
			p.observer.ProbeEnded(id, e.probeOutcome(), report)
		},
	})
}

// start hands an exchange to an idle connection, the one used last, or to a new one.
func (p *Pool) start(id string, x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.endpoints[id]
	if in == nil || in.address == "" {
		go x.onDone(result{progress: notSent, unknownInstance: true})
		return
	}
	now := time.Now()
	for len(in.idle) > 0 && now.Sub(in.idle[0].idleSince) >= p.limits.maxIdle() { // its own timer is late, or the limit is new
		p.closeOldest(in)
	}
	for x.maxIdle > 0 && len(in.idle) > 0 && now.Sub(in.idle[0].idleSince) > 2*x.maxIdle { // nobody will use it
		p.closeOldest(in)
	}
	if x.newConn && len(in.idle) > 0 { // it takes the place of the oldest, which may be silent
		p.closeOldest(in)
	}
	if c := in.takeIdle(x, p.settle, now.Sub(p.lastUnsolicited) < unsolicitedWindow, now); c != nil {
		c.exchanges <- x // holds one; an idle connection has none
		return
	}
	if p.connCount >= p.limits.Connections && !p.evictOldest() {
		go x.onDone(result{progress: notSent})
		return
	}
	p.connCount++
	go p.serveConn(&conn{pool: p, endpoint: in, exchanges: make(chan *exchange, 1)}, x)
}

// takeIdle takes the idle connection that an exchange is to use, nil: a new one. It is the one used last. Where some encoder talks
// unasked, it is the one used last that has settled; where none has, the one that has rested longest, unless it is this one's.
func (in *endpoint) takeIdle(x *exchange, settle time.Duration, talk bool, now time.Time) *conn {
	last := len(in.idle) - 1
	if last < 0 || x.newConn {
		return nil
	}
	rested := func(at int) time.Duration { return now.Sub(in.idle[at].idleSince) }
	fits := func(at int) bool {
		return (x.maxIdle == 0 || rested(at) <= x.maxIdle) && (rested(at) >= settle || !in.sendsUnsolicited(now))
	}
	at := last
	for talk && at > 0 && rested(at) < settle {
		at--
	}
	if !fits(at) { // settled for too long, perhaps
		at = last
	}
	if !fits(at) {
		return nil
	}
	c := in.idle[at]
	in.idle = slices.Delete(in.idle, at, at+1)
	return c
}

func (in *endpoint) sendsUnsolicited(now time.Time) bool { return now.Sub(in.lastUnsolicited) < unsolicitedWindow }

// noteUnsolicited notes that an encoder has said something that nobody had asked for.
func (p *Pool) noteUnsolicited(in *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in.lastUnsolicited = time.Now()
	p.lastUnsolicited = in.lastUnsolicited
}

// Retune has connections come up and be kept by other limits from now on.
func (p *Pool) Retune(connect, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.Connect, p.limits.Idle = connect, idle
}

func (p *Pool) currentLimits() Limits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits
}

// Bound says how many connections there may be from now on. Idle ones beyond that are closed, busy ones once they rest.
func (p *Pool) Bound(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.Connections = connections
	for p.connCount > connections && p.evictOldest() {
	}
}

// evictOldest closes the connection that has been idle longest. It guards the limit on
// descriptors, which call-backs and the list need too.
func (p *Pool) evictOldest() bool {
	var oldest *endpoint
	for _, in := range p.endpoints {
		if len(in.idle) > 0 && (oldest == nil || in.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = in
		}
	}
	if oldest == nil {
		return false
	}
	p.closeOldest(oldest)
	return true
}

// closeOldest closes the connection to an encoder that has been idle longest.
func (p *Pool) closeOldest(in *endpoint) {
	p.closeConn(in.idle[0])
	in.idle = in.idle[1:]
}

// putIdle puts a connection among the idle ones, or closes it where it is of no more use.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	if c.endpoint.state == decide.Gone || !c.current() || p.connCount > p.limits.Connections {
		p.closeConn(c)
		return
	}
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// removeIdle takes a connection out of the idle ones; false: it has been given work, or closed.
func (p *Pool) removeIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range c.endpoint.idle {
		if other == c {
			c.endpoint.idle = append(c.endpoint.idle[:i:i], c.endpoint.idle[i+1:]...)
			return true
		}
	}
	return false
}

// connEnded notes that a connection has ended, unless the pool shut it itself.
func (p *Pool) connEnded(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.closedByPool {
		p.connCount--
	}
}

// header is what goes with an exchange.
func (x *exchange) header(address string, now time.Time) http1.Header {
	h := http1.Header{{Name: "Host", Value: address}}
	if x.correlationID != "" {
		left := max(1, x.deadline.Sub(now).Milliseconds())
		h = append(h, http1.Field{Name: "X-Correlation-Id", Value: x.correlationID},
			http1.Field{Name: "X-Time-Left", Value: strconv.FormatInt(left, 10) + "m"})
	}
	return append(h, x.passedHeader...)
}

// idempotencyField is what encoders know a repeat by: without it one sent again would run twice.
const idempotencyField = "Idempotency-Key"

// passThrough is what of a client's header goes to encoders as it came, beside the id.
func passThrough(from http1.Header) (h http1.Header) {
	if from.Given(idempotencyField) {
		h = http1.Header{{Name: idempotencyField, Value: from.Get(idempotencyField)}}
	}
	return h
}

var _ dispatch.Fleet = (*Pool)(nil)

// Idle is how many connections stand idle.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleConns()
}

// Busy tells whether anything is under way: an attempt not yet taken, or a give-up.
func (p *Pool) Busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount > p.idleConns() || p.pendingRetries > 0
}

func (p *Pool) idleConns() (n int) {
	for _, in := range p.endpoints {
		n += len(in.idle)
	}
	return n
}

// Takes tells whether an encoder may be sent new work at this moment.
func (p *Pool) Takes(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.endpoints[id]
	return in != nil && in.state == decide.Ready && !p.cordoned[id]
}
