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

// courtesy is how long a give-up or a probe may take before it is dropped. A connection with
// an attempt waits on for as long after its deadline: the loop ends what is silent then, and
// a read that ended here at the same moment would make a reset of a time-out.
const courtesy = time.Second

// How a give-up is made sure of.
const (
	giveUpTries = 2                     // on connections, each within courtesy
	placePause  = 10 * time.Millisecond // before the next look for a connection to spare
)

// A spoilt answer may be followed by a second one some milliseconds later, which would be read as the answer to the next
// request on that connection: as taken where it was turned away, or the other way round.
const (
	settles  = 50 * time.Millisecond // that a connection rests before it is used again, where others do as well,
	talksFor = 30 * time.Second      // for so long after some encoder was seen to do so, and at that one no other is used
)

// mostEndpoints is how many are remembered before those gone are forgotten.
const mostEndpoints = 4096

// Reports takes what comes of what was sent.
type Reports interface {
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

// rest is how long a connection is kept idle: well below the limit, since a request written to one that the encoder's machine
// has just closed would end as a reset.
func (l Limits) rest() time.Duration { return l.Idle * 3 / 5 }

// Pool is the way to all encoders.
type Pool struct {
	limits  Limits
	reports Reports
	settle  time.Duration
	loads   *loadreport.Reader // nil: encoders report none

	mu        sync.Mutex
	endpoints map[string]*endpoint
	cordoned  map[string]bool                 // left out by hand
	out       map[*dispatch.Attempt]*exchange // sent and not yet taken by the encoder
	conns     int
	pauses    int       // give-ups that wait for a connection to spare
	talk      time.Time // when an encoder last said something that nobody had asked for
}

// endpoint is one encoder as discovery lists it.
type endpoint struct {
	id, address string
	state       decide.WorkerState
	started     time.Time // its process, as listed
	epoch       int       // counts removals and moves: connections of an earlier one lead nowhere that is wanted
	idle        []*conn   // the longest idle first
	talked      time.Time // when it last said something that nobody had asked for
}

// NewPool returns a pool that knows no encoder yet.
func NewPool(l Limits) *Pool {
	return &Pool{limits: l, endpoints: map[string]*endpoint{}, cordoned: map[string]bool{}, out: map[*dispatch.Attempt]*exchange{}, settle: settles}
}

// ReportTo says who takes reports. It must come before anything is sent.
func (p *Pool) ReportTo(r Reports) { p.reports = r }

// ReadBy says who reads encoders' load reports. It must come before anything is sent.
func (p *Pool) ReadBy(r *loadreport.Reader) { p.loads = r }

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
			p.disown(in)
		}
		if m.Started.After(in.started) && !m.Started.After(now) {
			in.started = m.Started
			p.dropStale(in)
		}
	}
	for id, in := range p.endpoints {
		if in.state == decide.Gone {
			p.disown(in)
			if len(p.endpoints) > mostEndpoints {
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
		p.disown(in)
	}
}

// Knows tells whether the list has ever told of an encoder, or it is left out.
func (p *Pool) Knows(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id] != nil || p.cordoned[id]
}

// drop closes an encoder's idle connections.
func (p *Pool) drop(in *endpoint) {
	for _, c := range in.idle {
		p.shut(c)
	}
	in.idle = nil
}

// shut closes a connection that rests and is taken out of the idle ones. It is closed on return: another may take its place
// under the limit on connections.
func (p *Pool) shut(c *conn) {
	c.nc.Close()
	close(c.work)
	c.shut = true
	p.conns--
}

// disown closes an encoder's idle connections at once and each busy one as soon as it rests. One that still comes up is
// not written to.
func (p *Pool) disown(in *endpoint) {
	in.epoch++
	p.drop(in)
}

// dropStale closes the idle connections that the encoder's process cannot know, since it started later.
func (p *Pool) dropStale(in *endpoint) {
	in.idle = slices.DeleteFunc(in.idle, func(c *conn) bool {
		stale := !c.leads()
		if stale {
			p.shut(c)
		}
		return stale
	})
}

// leads tells whether a connection, or one that is coming up, leads to the encoder as it is listed. The pool's mutex is held.
func (c *conn) leads() bool { return c.epoch == c.in.epoch && !c.dialed.Before(c.in.started) }

// leads is the same for those who do not hold the mutex.
func (p *Pool) leads(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.leads()
}

// takes tells whether a connection may carry new work at this moment.
func (p *Pool) takes(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.in.state == decide.Ready && !p.cordoned[c.in.id] && c.leads()
}

// CloseIdle closes the idle connections to an encoder.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if in := p.endpoints[id]; in != nil {
		p.drop(in)
	}
}

// Send starts an attempt.
func (p *Pool) Send(a *dispatch.Attempt) {
	q := a.Command.Payload.(*http1.Request)
	x := &exchange{method: q.Method, target: q.Target, body: q.Body, id: a.Command.ID, passed: passedOn(q.Header), deadline: a.Deadline, mostIdle: a.MaxIdle, fresh: a.NewConn, gated: true, begin: a.Begin, expired: a.Expired}
	x.sent = func() { p.reports.AttemptSent(a) }
	x.done = func(e end) {
		p.mu.Lock()
		delete(p.out, a)
		p.mu.Unlock()
		if e.unusable() {
			p.reports.AttemptUnusable(a)
		} else if o, over := e.outcome(); over {
			if e.spoilt { // the encoder may take it for taken
				a.CancelPending()
				p.takeBack(a)
			}
			if r := p.load(e); r != nil {
				p.reports.LoadReported(a, *r)
			}
			p.reports.AttemptEnded(a, o, e.kept)
		} else {
			p.reports.AttemptAccepted(a)
		}
	}
	p.mu.Lock()
	p.out[a] = x
	p.mu.Unlock()
	p.start(a.Instance, x)
}

// Cancel ends an attempt. One that the encoder may have is taken back by DELETE; before
// its 202 the connection is closed too. Not instead: the 202 may be on its way. It stays unconfirmed
// where no DELETE is answered: the encoder may still have it.
func (p *Pool) Cancel(a *dispatch.Attempt) {
	p.mu.Lock()
	x := p.out[a]
	p.mu.Unlock()
	if x != nil && !x.abort() {
		a.CancelConfirmed()
		return
	}
	p.takeBack(a)
}

// Unsend ends all attempts of which nothing is written yet, as never sent: another process has them from now on, and may
// give one up and send it elsewhere while it still waits here for its connection.
func (p *Pool) Unsend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.out {
		x.unsend()
	}
}

// giveUp is word on its way to an encoder that an attempt is given up.
type giveUp struct {
	encoder, id string    // the request's
	until       time.Time // when it is dropped that finds no connection to spare
	tries       int       // left on connections
	fresh       bool      // the next takes a new one
	confirm     func()    // called once the encoder knows, if it ever does
}

// takeBack tells an encoder that an attempt is given up. A DELETE may be repeated, unlike a request: the second goes over a
// new connection, since a kept one may be dead. The attempt counts as given up only once the encoder has answered.
func (p *Pool) takeBack(a *dispatch.Attempt) {
	p.tell(&giveUp{encoder: a.Instance, id: a.Command.ID, until: time.Now().Add(courtesy), tries: giveUpTries, confirm: a.CancelConfirmed})
}

func (p *Pool) tell(g *giveUp) {
	p.start(g.encoder, &exchange{
		method: "DELETE", target: "/jobs/" + g.id, deadline: time.Now().Add(courtesy), fresh: g.fresh, patient: true,
		done: func(e end) { p.told(g, e) },
	})
}

// told takes the end of a give-up's exchange.
func (p *Pool) told(g *giveUp, e end) {
	switch {
	case e.stage == answered || e.unknown:
		g.confirm()
	case e.stage == unsent && time.Now().Before(g.until):
		p.pause(func() { p.tell(g) })
	case e.stage != unsent && g.tries > 1:
		g.tries--
		g.fresh = true
		p.tell(g)
	}
}

// pause calls f in a moment. The pool counts as busy until then.
func (p *Pool) pause(f func()) {
	p.mu.Lock()
	p.pauses++
	p.mu.Unlock()
	time.AfterFunc(placePause, func() {
		f()
		p.mu.Lock()
		p.pauses--
		p.mu.Unlock()
	})
}

// load is the report that came with an answer, nil where none did.
func (p *Pool) load(e end) *decide.Report {
	if e.stage != answered {
		return nil
	}
	return p.loads.Line(e.response.Header.Get(loadreport.HeaderField))
}

// Probe checks an encoder, by the way that brings a load report where there are any.
func (p *Pool) Probe(id string) {
	target := "/ping"
	if p.loads.Any() {
		target = "/_load"
	}
	p.start(id, &exchange{
		method: "GET", target: target, deadline: time.Now().Add(courtesy),
		done: func(e end) {
			report := p.load(e)
			if report == nil && e.stage == answered {
				report = p.loads.Object(e.response.Body)
			}
			p.reports.ProbeEnded(id, e.probeOutcome(), report)
		},
	})
}

// start hands an exchange to an idle connection, the one used last, or to a new one.
func (p *Pool) start(id string, x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.endpoints[id]
	if in == nil || in.address == "" {
		go x.done(end{stage: unsent, unknown: true})
		return
	}
	now := time.Now()
	for len(in.idle) > 0 && now.Sub(in.idle[0].since) >= p.limits.rest() { // its own timer is late, or the limit is new
		p.shutOldest(in)
	}
	for x.mostIdle > 0 && len(in.idle) > 0 && now.Sub(in.idle[0].since) > 2*x.mostIdle { // nobody will use it
		p.shutOldest(in)
	}
	if x.fresh && len(in.idle) > 0 { // it takes the place of the oldest, which may be silent
		p.shutOldest(in)
	}
	if c := in.take(x, p.settle, now.Sub(p.talk) < talksFor, now); c != nil {
		c.work <- x // holds one; an idle connection has none
		return
	}
	if p.conns >= p.limits.Connections && !p.evict() {
		go x.done(end{stage: unsent})
		return
	}
	p.conns++
	go p.run(&conn{pool: p, in: in, work: make(chan *exchange, 1)}, x)
}

// take takes the idle connection that an exchange is to use, nil: a new one. It is the one used last. Where some encoder talks
// unasked, it is the one used last that has settled; where none has, the one that has rested longest, unless it is this one's.
func (in *endpoint) take(x *exchange, settle time.Duration, talk bool, now time.Time) *conn {
	last := len(in.idle) - 1
	if last < 0 || x.fresh {
		return nil
	}
	rested := func(at int) time.Duration { return now.Sub(in.idle[at].since) }
	fits := func(at int) bool {
		return (x.mostIdle == 0 || rested(at) <= x.mostIdle) && (rested(at) >= settle || !in.talks(now))
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

func (in *endpoint) talks(now time.Time) bool { return now.Sub(in.talked) < talksFor }

// talked notes that an encoder has said something that nobody had asked for.
func (p *Pool) talked(in *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in.talked = time.Now()
	p.talk = in.talked
}

// Retune has connections come up and be kept by other limits from now on.
func (p *Pool) Retune(connect, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.Connect, p.limits.Idle = connect, idle
}

func (p *Pool) bounds() Limits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits
}

// Bound says how many connections there may be from now on. Idle ones beyond that are closed, busy ones once they rest.
func (p *Pool) Bound(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.Connections = connections
	for p.conns > connections && p.evict() {
	}
}

// evict closes the connection that has been idle longest. It guards the limit on
// descriptors, which call-backs and the list need too.
func (p *Pool) evict() bool {
	var oldest *endpoint
	for _, in := range p.endpoints {
		if len(in.idle) > 0 && (oldest == nil || in.idle[0].since.Before(oldest.idle[0].since)) {
			oldest = in
		}
	}
	if oldest == nil {
		return false
	}
	p.shutOldest(oldest)
	return true
}

// shutOldest closes the connection to an encoder that has been idle longest.
func (p *Pool) shutOldest(in *endpoint) {
	p.shut(in.idle[0])
	in.idle = in.idle[1:]
}

// rest puts a connection among the idle ones, or closes it where it is of no more use.
func (p *Pool) rest(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.since = time.Now()
	if c.in.state == decide.Gone || !c.leads() || p.conns > p.limits.Connections {
		p.shut(c)
		return
	}
	c.in.idle = append(c.in.idle, c)
}

// retire takes a connection out of the idle ones; false: it has been given work, or closed.
func (p *Pool) retire(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range c.in.idle {
		if other == c {
			c.in.idle = append(c.in.idle[:i:i], c.in.idle[i+1:]...)
			return true
		}
	}
	return false
}

// closed notes that a connection has ended, unless the pool shut it itself.
func (p *Pool) closed(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.shut {
		p.conns--
	}
}

// header is what goes with an exchange.
func (x *exchange) header(address string, now time.Time) http1.Header {
	h := http1.Header{{Name: "Host", Value: address}}
	if x.id != "" {
		left := max(1, x.deadline.Sub(now).Milliseconds())
		h = append(h, http1.Field{Name: "X-Correlation-Id", Value: x.id},
			http1.Field{Name: "X-Time-Left", Value: strconv.FormatInt(left, 10) + "m"})
	}
	return append(h, x.passed...)
}

// keyField is what encoders know a repeat by: without it one sent again would run twice.
const keyField = "Idempotency-Key"

// passedOn is what of a client's header goes to encoders as it came, beside the id.
func passedOn(from http1.Header) (h http1.Header) {
	if from.Given(keyField) {
		h = http1.Header{{Name: keyField, Value: from.Get(keyField)}}
	}
	return h
}

var _ dispatch.Fleet = (*Pool)(nil)

// Idle is how many connections stand idle.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle()
}

// Busy tells whether anything is under way: an attempt not yet taken, or a give-up.
func (p *Pool) Busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns > p.idle() || p.pauses > 0
}

func (p *Pool) idle() (n int) {
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
