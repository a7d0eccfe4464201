// Package upstream keeps a pool of connections to each encoder and sends attempts, cancellations and probes over
// them.
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

// graceTime is how long a cancellation or a probe may take before it is dropped. A connection that carries an attempt
// waits this much longer than the attempt's deadline: the loop ends silent attempts at the deadline, and a read that
// ended at the same moment would turn a time-out into a reset.
const graceTime = time.Second

// Retries of cancellations.
const (
	cancelTries      = 2                     // sent at most, each within graceTime
	cancelRetryDelay = 10 * time.Millisecond // before trying again to get a free connection
)

// A malformed response may be followed by a second one some milliseconds later, which would be read as the response
// to the next request on that connection: a refused request would count as accepted, or the reverse.
const (
	defaultSettle     = 50 * time.Millisecond // idle time after which a connection is preferred for reuse
	unsolicitedWindow = 30 * time.Second      // how long after unsolicited data from any encoder settled connections are preferred; for the sender they are required
)

// maxEndpoints is the number of encoders above which those that are gone are removed.
const maxEndpoints = 4096

// Observer is notified of the results of what was sent.
type Observer interface {
	AttemptEnded(_ *dispatch.Attempt, _ decide.Outcome, connIdle time.Duration)
	AttemptSent(*dispatch.Attempt)
	AttemptAccepted(*dispatch.Attempt)
	AttemptUnusable(*dispatch.Attempt)
	ProbeEnded(encoder string, o decide.Outcome, report *decide.Report)
	LoadReported(*dispatch.Attempt, decide.Report)
}

// Limits are the limits of a pool.
type Limits struct {
	MaxConns       int           // total
	ConnectTimeout time.Duration // connect timeout
	IdleTimeout    time.Duration // idle time after which encoders close a connection
}

// maxIdle is how long an idle connection is kept. It is well below IdleTimeout, since a request written to a connection
// that the encoder's machine has just closed would end as a reset.
func (l Limits) maxIdle() time.Duration { return l.IdleTimeout * 3 / 5 }

// Pool holds the connections to all encoders.
type Pool struct {
	limits     Limits
	observer   Observer
	settle     time.Duration
	loadReader *loadreport.Reader // nil: encoders send no load reports

	mu              sync.Mutex
	endpoints       map[string]*endpoint
	cordoned        map[string]bool                 // by operators
	unaccepted      map[*dispatch.Attempt]*exchange // sent, and neither accepted by the encoder nor ended
	connCount       int
	pendingRetries  int       // cancellations waiting for a free connection
	lastUnsolicited time.Time // when any encoder last sent unsolicited data
}

// endpoint is one encoder as listed by discovery.
type endpoint struct {
	id, address     string
	state           decide.WorkerState
	started         time.Time // start of its process, as listed
	epoch           int       // incremented on removal and on a new address: connections of an earlier epoch must not be used
	idle            []*conn   // longest idle first
	lastUnsolicited time.Time // when it last sent unsolicited data
}

// NewPool returns a pool without any encoders.
func NewPool(l Limits) *Pool {
	return &Pool{limits: l, endpoints: map[string]*endpoint{}, cordoned: map[string]bool{}, unaccepted: map[*dispatch.Attempt]*exchange{}, settle: defaultSettle}
}

// SetObserver sets the observer. It must be called before anything is sent.
func (p *Pool) SetObserver(r Observer) { p.observer = r }

// SetLoadReader sets the reader of load reports. It must be called before anything is sent.
func (p *Pool) SetLoadReader(r *loadreport.Reader) { p.loadReader = r }

// UpdateInstances applies an update of the instance list as soon as it has been read: encoders that drain or are gone get
// nothing new, even if an attempt has already been decided.
func (p *Pool) UpdateInstances(l dispatch.InstanceUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Complete {
		for _, ep := range p.endpoints {
			ep.state = decide.Gone
		}
	}
	now := time.Now()
	for _, inst := range l.Instances {
		ep := p.endpoints[inst.ID]
		if ep == nil {
			ep = &endpoint{id: inst.ID}
			p.endpoints[inst.ID] = ep
		}
		if ep.state = inst.State; inst.Address != "" && inst.Address != ep.address {
			ep.address = inst.Address
			p.invalidateConns(ep)
		}
		if inst.Started.After(ep.started) && !inst.Started.After(now) {
			ep.started = inst.Started
			p.closeStaleConns(ep)
		}
	}
	for id, ep := range p.endpoints {
		if ep.state == decide.Gone {
			p.invalidateConns(ep)
			if len(p.endpoints) > maxEndpoints {
				delete(p.endpoints, id)
			}
		}
	}
}

// Cordon sets or lifts the cordon on an encoder. A cordoned encoder gets nothing new, whatever the list says.
func (p *Pool) Cordon(id string, cordon bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !cordon {
		delete(p.cordoned, id)
		return
	}
	p.cordoned[id] = true
	if ep := p.endpoints[id]; ep != nil {
		p.invalidateConns(ep)
	}
}

// Knows reports whether an encoder has been listed or is cordoned.
func (p *Pool) Knows(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id] != nil || p.cordoned[id]
}

func (p *Pool) closeIdleConns(ep *endpoint) {
	for _, c := range ep.idle {
		p.closeConn(c)
	}
	ep.idle = nil
}

// closeConn closes a connection that has been removed from the idle ones. It is closed on return, so another one may
// be opened under the connection limit.
func (p *Pool) closeConn(c *conn) {
	c.nc.Close()
	close(c.exchanges)
	c.closedByPool = true
	p.connCount--
}

// invalidateConns closes an encoder's idle connections at once and each busy one when it becomes idle. New work is
// not written to one that is still being opened.
func (p *Pool) invalidateConns(ep *endpoint) {
	ep.epoch++
	p.closeIdleConns(ep)
}

// closeStaleConns closes the idle connections that were opened before the encoder's process started.
func (p *Pool) closeStaleConns(ep *endpoint) {
	ep.idle = slices.DeleteFunc(ep.idle, func(c *conn) bool {
		stale := !c.current()
		if stale {
			p.closeConn(c)
		}
		return stale
	})
}

// current reports whether a connection, or one that is being opened, leads to the encoder as it is listed now. The
// pool's mutex must be held.
func (c *conn) current() bool {
	return c.epoch == c.endpoint.epoch && !c.dialStarted.Before(c.endpoint.started)
}

// isCurrent is current for callers that do not hold the mutex.
func (p *Pool) isCurrent(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.current()
}

// allowsNewWork reports whether a connection may carry new work now.
func (p *Pool) allowsNewWork(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.endpoint.state == decide.Ready && !p.cordoned[c.endpoint.id] && c.current()
}

// CloseIdle closes the idle connections to an encoder.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ep := p.endpoints[id]; ep != nil {
		p.closeIdleConns(ep)
	}
}

// Send starts an attempt.
func (p *Pool) Send(a *dispatch.Attempt) {
	q := a.Command.Payload.(*http1.Request)
	x := &exchange{method: q.Method, target: q.Target, body: q.Body, correlationID: a.Command.ID, passedHeader: passThrough(q.Header), deadline: a.Deadline, maxIdle: a.MaxIdle, newConn: a.NewConn, settled: a.Settled, newWork: true, begin: a.Begin, expired: a.Expired, sendBefore: a.SendBefore}
	x.onSent = func() { p.observer.AttemptSent(a) }
	x.onDone = func(e result) {
		p.mu.Lock()
		delete(p.unaccepted, a)
		p.mu.Unlock()
		if e.unusable() {
			p.observer.AttemptUnusable(a)
		} else if o, over := e.outcome(); over {
			if e.malformed { // the encoder may have accepted it
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

// Cancel cancels an attempt. If the encoder may have it, a DELETE is sent; before the 202, the connection is closed
// as well, but not instead, since the 202 may be on its way. If no DELETE is answered, the cancellation remains
// unconfirmed: the encoder may still have the job.
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

// CancelUnsent ends all attempts of which nothing has been written, with outcome NotSent. Another process owns them from
// now on, and could cancel one and send it elsewhere while it still waits here for its connection.
func (p *Pool) CancelUnsent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.unaccepted {
		x.abortUnsent()
	}
}

// cancellation is the notification of an encoder that an attempt is cancelled.
type cancellation struct {
	encoder, id string    // id is the request's correlation ID
	retryUntil  time.Time // dropped after this time if there is no free connection
	triesLeft   int       // including the current one
	newConn     bool      // the next try must use a new connection
	confirm     func()    // called once the encoder has answered, or if it is not listed or has no address
}

// cancelJob notifies an encoder that an attempt is cancelled. Unlike a request, a DELETE may be repeated; the second
// one uses a new connection, since an idle one may be dead. The attempt counts as cancelled only when the encoder has
// answered.
func (p *Pool) cancelJob(a *dispatch.Attempt) {
	p.sendCancellation(&cancellation{encoder: a.Instance, id: a.Command.ID, retryUntil: time.Now().Add(graceTime), triesLeft: cancelTries, confirm: a.CancelConfirmed})
}

func (p *Pool) sendCancellation(g *cancellation) {
	p.start(g.encoder, &exchange{
		method: "DELETE", target: "/jobs/" + g.id, deadline: time.Now().Add(graceTime), newConn: g.newConn, connectUntilDeadline: true,
		onDone: func(e result) { p.cancellationEnded(g, e) },
	})
}

// cancellationEnded handles the result of a cancellation's exchange.
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

// retryLater calls f after cancelRetryDelay. The pool counts as busy until then.
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

// loadReport returns the load report in a response's header, or nil.
func (p *Pool) loadReport(e result) *decide.Report {
	if e.progress != answered {
		return nil
	}
	return p.loadReader.ParseLine(e.response.Header.Get(loadreport.HeaderField))
}

// Probe checks an encoder's health, at the path that returns a load report if load reports are in use.
func (p *Pool) Probe(id string) {
	target := "/ping"
	if p.loadReader.Enabled() {
		target = "/_load"
	}
	p.start(id, &exchange{
		method: "GET", target: target, deadline: time.Now().Add(graceTime),
		onDone: func(e result) {
			report := p.loadReport(e)
			if report == nil && e.progress == answered {
				report = p.loadReader.ParseObject(e.response.Body)
			}
			p.observer.ProbeEnded(id, e.probeOutcome(), report)
		},
	})
}

// start assigns an exchange to an idle connection or to a new one.
func (p *Pool) start(id string, x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.endpoints[id]
	if ep == nil || ep.address == "" {
		go x.onDone(result{progress: notSent, unknownInstance: true})
		return
	}
	now := time.Now()
	for len(ep.idle) > 0 && now.Sub(ep.idle[0].idleSince) >= p.limits.maxIdle() { // its own timer is late, or the limit has changed
		p.closeOldest(ep)
	}
	for x.maxIdle > 0 && len(ep.idle) > 0 && now.Sub(ep.idle[0].idleSince) > 2*x.maxIdle { // unlikely to be reused
		p.closeOldest(ep)
	}
	if x.newConn && len(ep.idle) > 0 { // replaces the longest idle one, which may be dead
		p.closeOldest(ep)
	}
	if c := ep.takeIdle(x, p.settle, now.Sub(p.lastUnsolicited) < unsolicitedWindow, now); c != nil {
		c.exchanges <- x // does not block: the buffer holds one, and an idle connection has none queued
		return
	}
	if p.connCount >= p.limits.MaxConns && !p.evictOldest() {
		go x.onDone(result{progress: notSent})
		return
	}
	p.connCount++
	go p.serveConn(&conn{pool: p, endpoint: ep, exchanges: make(chan *exchange, 1)}, x)
}

// takeIdle removes and returns the idle connection to be used for an exchange, or nil if a new one is needed. It is
// the most recently used one. If some encoder sends unsolicited data, or the exchange asks for a settled connection, it
// is the most recently used one that has been idle for at least the settle time; if none has, the longest idle one, or nil
// if this encoder sent the data or the exchange asks for it.
func (ep *endpoint) takeIdle(x *exchange, settle time.Duration, unsolicited bool, now time.Time) *conn {
	last := len(ep.idle) - 1
	if last < 0 || x.newConn {
		return nil
	}
	idleTime := func(i int) time.Duration { return now.Sub(ep.idle[i].idleSince) }
	usable := func(i int) bool {
		return (x.maxIdle == 0 || idleTime(i) <= x.maxIdle) && (idleTime(i) >= settle || !x.settled && !ep.sendsUnsolicited(now))
	}
	i := last
	for (unsolicited || x.settled) && i > 0 && idleTime(i) < settle {
		i--
	}
	if !usable(i) { // it may have been idle for longer than maxIdle
		i = last
	}
	if !usable(i) {
		return nil
	}
	c := ep.idle[i]
	ep.idle = slices.Delete(ep.idle, i, i+1)
	return c
}

func (ep *endpoint) sendsUnsolicited(now time.Time) bool {
	return now.Sub(ep.lastUnsolicited) < unsolicitedWindow
}

// noteUnsolicited records that an encoder has sent unsolicited data.
func (p *Pool) noteUnsolicited(ep *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep.lastUnsolicited = time.Now()
	p.lastUnsolicited = ep.lastUnsolicited
}

// SetTimeouts sets the connect timeout and the idle limit.
func (p *Pool) SetTimeouts(connect, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.ConnectTimeout, p.limits.IdleTimeout = connect, idle
}

func (p *Pool) currentLimits() Limits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits
}

// SetMaxConns sets the maximum number of connections. Idle ones above it are closed at once, busy ones when they become
// idle.
func (p *Pool) SetMaxConns(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.MaxConns = connections
	for p.connCount > connections && p.evictOldest() {
	}
}

// evictOldest closes the longest idle connection of all and reports whether there was one. It protects the limit on
// descriptors, which callbacks and the instance list need too.
func (p *Pool) evictOldest() bool {
	var oldest *endpoint
	for _, ep := range p.endpoints {
		if len(ep.idle) > 0 && (oldest == nil || ep.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = ep
		}
	}
	if oldest == nil {
		return false
	}
	p.closeOldest(oldest)
	return true
}

// closeOldest closes the longest idle connection to an encoder.
func (p *Pool) closeOldest(ep *endpoint) {
	p.closeConn(ep.idle[0])
	ep.idle = ep.idle[1:]
}

// putIdle adds a connection to the idle ones, or closes it if it must not be reused.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	if c.endpoint.state == decide.Gone || !c.current() || p.connCount > p.limits.MaxConns {
		p.closeConn(c)
		return
	}
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// removeIdle removes a connection from the idle ones. It returns false if the connection has been given an exchange
// or been closed.
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

// connEnded counts a connection as ended, unless the pool has closed it itself.
func (p *Pool) connEnded(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.closedByPool {
		p.connCount--
	}
}

// header returns the header of an exchange's request.
func (x *exchange) header(address string, now time.Time) http1.Header {
	h := http1.Header{{Name: "Host", Value: address}}
	if x.correlationID != "" {
		left := max(1, x.deadline.Sub(now).Milliseconds())
		h = append(h, http1.Field{Name: "X-Correlation-Id", Value: x.correlationID},
			http1.Field{Name: "X-Time-Left", Value: strconv.FormatInt(left, 10) + "m"})
	}
	return append(h, x.passedHeader...)
}

// idempotencyField lets encoders recognize a retry, which would otherwise run twice.
const idempotencyField = "Idempotency-Key"

// passThrough returns the fields of a client's header that are sent to encoders unchanged.
func passThrough(from http1.Header) (h http1.Header) {
	if from.Present(idempotencyField) {
		h = http1.Header{{Name: idempotencyField, Value: from.Get(idempotencyField)}}
	}
	return h
}

var _ dispatch.Fleet = (*Pool)(nil)

// IdleConns returns the number of idle connections.
func (p *Pool) IdleConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleConns()
}

// Busy reports whether an exchange is in progress or a cancellation waits.
func (p *Pool) Busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount > p.idleConns() || p.pendingRetries > 0
}

func (p *Pool) idleConns() (n int) {
	for _, ep := range p.endpoints {
		n += len(ep.idle)
	}
	return n
}

// Available reports whether an encoder may be sent new work now.
func (p *Pool) Available(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.endpoints[id]
	return ep != nil && ep.state == decide.Ready && !p.cordoned[id]
}
