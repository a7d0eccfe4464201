package fleetmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"caperrelay/decide"
)

// Result is what a policy made of a deployment's day.
type Result struct {
	Share   float64   // of the worth asked for, served
	Net     float64   // less what crossings and wasted work cost
	Classes []float64 // Share by class
	Jobs    int       // asked for
	Tries   int       // requests that their clients made of them,
	Answers int       // and those that got a final answer

	Sends, Refused, Failed, Full, Cancels, Moved, Doubled int
	Runs                                                  int     // jobs begun at encoders
	Wasted                                                float64 // part of the encoders' work whose answer nobody had
	Fallen                                                int     // cold encoders that fell over
	Broken                                                []string
	faults                                                int
}

const mostBroken = 8 // broken rules that are told

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	(*h)[n] = event{}
	*h = (*h)[:n]
	return x
}

// world is one play of a deployment.
type world struct {
	d        *Deployment
	now      time.Duration
	due      events
	seq      int
	rng      *rand.Rand // noise of reports, and when the list's changes are told
	luck     *rand.Rand // of jobs at failing encoders
	nodes    []*node
	encoders map[uint32]*encoder
	result   Result
	spent    float64 // slot seconds of encoders
	useful   float64
	crossed  int
	probes   int
	trace    func(string, ...any)
}

// node is a dispatcher and its host: it tells the policy what happens, in batches, and plays its actions.
type node struct {
	w          *world
	i, zone    int
	p          handler
	reqs       map[uint32]*request
	next       uint32
	pending    []decide.Event
	batch      bool // one is due
	subscribed bool
	missed     []decide.Worker          // changes of the list before it subscribed
	ended      map[uint32]time.Duration // when it was told that an encoder drains or is gone
}

// request is one try of a client, as a dispatcher has it.
type request struct {
	j        *job
	n        *node
	id       uint32
	try      int
	due      time.Duration
	done     bool // answered
	attempts []*attempt
}

type attempt struct {
	r          *request
	n          int
	e          *encoder
	sent       time.Duration
	told       bool // its outcome is under way to the policy, or known to it
	queued     bool
	begun      bool
	over       bool // at the encoder
	off        bool // called off before it came there
	neverRan   bool
	from, ends time.Duration
}

type encoder struct {
	Encoder
	w        *world
	used     float64
	memory   float64 // in use
	queue    []*attempt
	run      []*attempt
	kept     []uint64
	draining bool
	down     bool
	got      []work
	waking   bool
}

type work struct {
	at   time.Duration
	work float64
}

func (w *world) after(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.due, event{w.now + max(t, 0), w.seq, do})
}

// broke counts a rule broken by a policy.
func (w *world) broke(format string, args ...any) {
	if w.result.faults++; len(w.result.Broken) < mostBroken {
		w.result.Broken = append(w.result.Broken, fmt.Sprintf("%.3fs ", (w.now-dayStart).Seconds())+fmt.Sprintf(format, args...))
	}
}

// Play plays the day with all dispatchers going by a policy.
func (d *Deployment) Play(p Policy) Result { return d.play(p, nil) }

// Trace is Play with what happens told line by line.
func (d *Deployment) Trace(p Policy, say func(format string, args ...any)) Result {
	return d.play(p, say)
}

func (d *Deployment) play(p Policy, say func(string, ...any)) Result {
	w := &world{d: d, now: dayStart, encoders: map[uint32]*encoder{}, rng: rand.New(rand.NewPCG(d.Seed, 77)), luck: rand.New(rand.NewPCG(d.Seed, 78)), trace: say}
	if say == nil {
		w.trace = func(string, ...any) {}
	}
	var list []decide.Worker
	for _, e := range d.Encoders {
		w.encoders[e.ID] = &encoder{Encoder: e, w: w}
		list = append(list, e.Worker)
	}
	for i := range d.Settings.DispatcherCount {
		s := d.Settings
		s.DispatcherIndex, s.Zone, s.Seed = i, i%d.Zones, d.Seed+uint64(i)*1_000_003
		n := &node{w: w, i: i, zone: s.Zone, reqs: map[uint32]*request{}, subscribed: s.ListPushed, ended: map[uint32]time.Duration{}}
		if p == Module {
			m, err := decide.New(s)
			if err != nil {
				panic(fmt.Sprintf("drawn settings are refused: %v", err)) // a fault of Draw
			}
			n.p = m
		} else {
			n.p = newPlain(p, s)
		}
		w.nodes = append(w.nodes, n)
		n.tell(decide.ListFull{Workers: slices.Clone(list), Cached: true})
	}
	for _, x := range d.Renewals {
		w.after(x.At, func() { w.renew(w.encoders[d.Encoders[x.Old].ID], x.With) })
	}
	jobs, end := d.jobs(), dayStart+d.Long
	for i, j := range jobs {
		w.seq++
		w.due = append(w.due, event{j.at, w.seq, func() { w.arrive(jobs[i], 0) }}) // sorted, and so a heap with what came before
		end = max(end, j.due+d.Settings.Rules.AnswerSlack+time.Second)
	}
	heap.Init(&w.due)
	w.run(end)
	return w.sum(jobs)
}

// run lets happen what is due until then.
func (w *world) run(until time.Duration) {
	for len(w.due) > 0 && w.due[0].at <= until {
		e := heap.Pop(&w.due).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) sum(jobs []*job) Result {
	r := &w.result
	asked, got := make([]float64, len(w.d.Classes)), make([]float64, len(w.d.Classes))
	all, have := 0.0, 0.0
	for _, j := range jobs {
		asked[j.class] += j.worth
		got[j.class] += j.got
		all, have = all+j.worth, have+j.got
		if r.Runs += j.begun; j.begun > 1 {
			r.Doubled += j.begun - 1
			if w.d.Settings.Classes[j.class].Effect == decide.Unsafe {
				w.broke("an unsafe job ran %d times", j.begun)
			}
		}
	}
	r.Jobs = len(jobs)
	r.Share = have / max(all, 1e-9)
	for i := range asked {
		r.Classes = append(r.Classes, got[i]/max(asked[i], 1e-9))
	}
	r.Wasted = (w.spent - w.useful) / max(w.spent, 1e-9)
	prices := w.d.Settings.Prices
	offered := 0.0
	for _, j := range jobs {
		offered += j.work
	}
	first := float64(max(len(jobs), 1))
	r.Net = r.Share - prices.CrossZone*float64(w.crossed)/first - prices.Waste*(w.spent-w.useful)/max(offered, 1e-9) - prices.Probe*float64(w.probes)/first
	return *r
}

// change tells a dispatcher of lines of the list.
func (n *node) change(lines ...decide.Worker) {
	for _, l := range lines {
		if _, told := n.ended[l.ID]; l.State != decide.Ready && !told {
			n.ended[l.ID] = n.w.now
		}
	}
	n.tell(decide.ListDelta{Workers: lines})
}

// leaves is how long an encoder that drains is still there, to end what it has.
const leaves = 20 * time.Second

// renew has an encoder drain and a cold one start; dispatchers hear of it within a second.
func (w *world) renew(old *encoder, with Encoder) {
	fresh := &encoder{Encoder: with, w: w}
	w.encoders[with.ID] = fresh
	gone := old.Worker
	gone.State = decide.Draining
	for _, n := range w.nodes {
		w.after(seconds(w.rng.Float64()), func() {
			if lines := []decide.Worker{gone, with.Worker}; n.subscribed {
				n.change(lines...)
			} else {
				n.missed = append(n.missed, lines...)
			}
		})
	}
	w.after(time.Second+w.d.Settings.Rules.DrainGrace, func() { old.draining = true })
	w.after(leaves, func() { old.fall() })
}

// arrive has a client's try come to its dispatcher.
func (w *world) arrive(j *job, try int) {
	n := w.nodes[j.node]
	w.result.Tries++
	n.next++
	r := &request{j: j, n: n, id: n.next, try: try, due: j.due}
	n.reqs[r.id] = r
	s := w.d.Settings
	n.tell(decide.Request{
		ID: r.id, Class: j.class, Tenant: j.tenant, Key: j.key, Budget: j.due - w.now, Work: seconds(j.hint),
		Slots: w.d.Classes[j.class].Slots, Memory: w.d.Classes[j.class].Memory, Retry: try > 0 && s.RetriesMarked,
	})
	w.after(j.due-w.now, func() { // what is out times out
		for _, a := range r.attempts {
			a.ended(decide.TimedOut, nil)
		}
	})
	w.after(j.due-w.now+s.Rules.AnswerSlack+2*s.Granularity, func() {
		if !r.done {
			r.done = true
			w.broke("request %d of dispatcher %d has no final answer in time", r.id, n.i)
			n.tell(decide.RequestCancelled{Request: r.id})
		}
	})
}

// again has the client of a request that was not served come once more, where it may.
func (w *world) again(r *request, wait time.Duration) {
	if r.try+1 >= w.d.Tries {
		return
	}
	wait += seconds((0.5 + r.j.rng.Float64()) * w.d.Pause.Seconds() * float64(int(1)<<r.try))
	if w.now+wait < r.due {
		w.after(wait, func() { w.arrive(r.j, r.try+1) })
	}
}

// tell has a dispatcher told at the next batch.
func (n *node) tell(e decide.Event) {
	n.pending = append(n.pending, e)
	if n.batch {
		return
	}
	n.batch = true
	g := n.w.d.Settings.Granularity
	n.w.after(g-n.w.now%g, func() {
		events := n.pending
		n.pending, n.batch = nil, false
		for _, a := range n.p.Handle(n.w.now, events) {
			n.act(a)
		}
	})
}

func (n *node) act(a decide.Action) {
	w, s := n.w, &n.w.d.Settings
	switch a := a.(type) {
	case decide.Send:
		n.send(a)
	case decide.Cancel:
		r := n.reqs[a.Request]
		if r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) || !s.Limits.Cancel {
			w.broke("a call-off that is not allowed, or of nothing")
			return
		}
		w.result.Cancels++
		t := r.attempts[a.Attempt]
		if t.told {
			return
		}
		w.after(n.hop(t.e), func() { t.e.soon(func() { t.e.off(t) }) })
		t.ended(decide.Cancelled, nil)
	case decide.Refuse:
		if r := n.final(a.Request); r != nil {
			w.result.Refused++
			if !r.harmless() {
				w.broke("a refusal of request %d, which may have run", r.id)
			}
			wait := time.Duration(0)
			if s.Limits.RetryAfter {
				wait = min(a.RetryAfter, s.Limits.MaxRetryAfter)
			}
			w.again(r, wait)
		}
	case decide.FailRequest:
		if r := n.final(a.Request); r != nil {
			w.result.Failed++
			if k := s.Classes[r.j.class]; k.Effect == decide.Safe || k.Effect == decide.Keyed && k.Scope == decide.ScopeAll && w.now-r.j.at < k.DedupWindow {
				w.again(r, 0)
			}
		}
	case decide.SetTimer:
		w.after(a.After, func() { n.tell(decide.TimerFired{Token: a.Token}) })
	case decide.Subscribe:
		w.after(2*w.d.Hop, func() {
			n.subscribed = true
			n.change(n.missed...)
			n.missed = nil
		})
	case decide.Probe:
		w.probe(n, a.Worker)
	case decide.SendToPeers:
		for _, o := range w.nodes {
			if o != n && (a.To == decide.Any || a.To == o.i) {
				w.after(w.d.Hop+w.far(n.zone, o.zone), func() { o.tell(decide.PeerMessage{Peer: n.i, Body: a.Body}) })
			}
		}
	case decide.Log:
		w.trace("%.3f dispatcher %d: %s", (w.now - dayStart).Seconds(), n.i, a.Text)
	}
}

// final ends a request, which is nil if it has ended.
func (n *node) final(id uint32) *request {
	r := n.reqs[id]
	if r == nil || r.done {
		return nil
	}
	r.done = true
	n.w.result.Answers++
	return r
}

// harmless tells whether a request's client may be told to try again.
func (r *request) harmless() bool {
	k, now := r.n.w.d.Settings.Classes[r.j.class], r.n.w.now
	for _, a := range r.attempts {
		again := k.Effect == decide.Safe || k.Effect == decide.Keyed && k.Scope == decide.ScopeAll && now-a.sent < k.DedupWindow
		if !a.neverRan && !again {
			return false
		}
	}
	return true
}

func (w *world) far(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return w.d.Far
}

func (n *node) hop(e *encoder) time.Duration { return n.w.d.Hop + n.w.far(n.zone, e.Zone) }

func (n *node) send(a decide.Send) {
	w, s := n.w, &n.w.d.Settings
	r, e := n.reqs[a.Request], n.w.encoders[a.Worker]
	if r == nil || e == nil {
		w.broke("a send of a request or to an encoder never told of")
		return
	}
	t := &attempt{r: r, n: len(r.attempts), e: e, sent: w.now}
	r.attempts = append(r.attempts, t)
	if r.done || len(r.attempts) > s.Limits.MaxAttempts || w.now >= r.due {
		t.ended(decide.NotSent, nil)
		return
	}
	k := s.Classes[r.j.class]
	for _, o := range r.attempts[:t.n] {
		if !o.told && !s.Limits.ParallelAttempts {
			w.broke("a second copy of request %d, which is not allowed", r.id)
		}
		if o.neverRan || k.Effect == decide.Safe {
			continue
		}
		if k.Effect == decide.Unsafe || w.now-o.sent >= k.DedupWindow || k.Scope == decide.ScopeZone && o.e.Zone != e.Zone || k.Scope == decide.ScopeCell && o.e.Cell != e.Cell {
			w.broke("request %d is repeated against its class", r.id)
		}
	}
	if at, told := n.ended[e.ID]; told && w.now > at+s.Rules.DrainGrace {
		w.broke("a send to encoder %d, %v after it was told that it drains", e.ID, w.now-at)
	}
	w.result.Sends++
	if t.n > 0 {
		w.result.Moved++
	}
	if e.Zone != n.zone {
		w.crossed++
	}
	w.after(n.hop(e), func() { e.soon(func() { e.take(t) }) })
}

// ended has the policy told of an attempt's one outcome; an answer reaches the client.
func (a *attempt) ended(o decide.Outcome, report *decide.Report) {
	if a.told {
		return
	}
	a.told, a.neverRan = true, o.NeverRan()
	r, w := a.r, a.r.n.w
	if o == decide.OK && !r.done {
		r.done = true
		w.result.Answers++
		j := r.j
		k := w.d.Settings.Classes[j.class]
		w.useful += (a.ends - a.from).Seconds() * w.d.Classes[j.class].Slots
		switch {
		case w.now <= j.last:
			j.got = j.worth
		case w.now <= j.due:
			j.got = j.worth * k.LateWorth
		}
	}
	r.n.tell(decide.AttemptEnded{Request: r.id, Attempt: a.n, Outcome: o, RequestEnded: r.done, Report: report})
}

// outcome sends an outcome on its way back.
func (a *attempt) outcome(o decide.Outcome) {
	report := a.e.report(false)
	a.r.n.w.after(a.r.n.hop(a.e), func() { a.ended(o, report) })
}

func (w *world) probe(n *node, id uint32) {
	e := w.encoders[id]
	if e == nil || !w.d.Settings.Limits.Probes {
		w.broke("a probe that is not allowed")
		return
	}
	w.probes++
	answered := false
	tell := func(o decide.Outcome, r *decide.Report) {
		if !answered {
			answered = true
			n.tell(decide.Probed{Worker: id, Outcome: o, Report: r})
		}
	}
	w.after(time.Second, func() { tell(decide.TimedOut, nil) })
	w.after(n.hop(e), func() {
		e.soon(func() {
			o, r := decide.OK, e.report(true)
			if e.down {
				o, r = decide.ConnectFailed, nil
			}
			w.after(n.hop(e), func() { tell(o, r) })
		})
	})
}
