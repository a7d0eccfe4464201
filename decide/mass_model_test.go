package decide

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// mass plays a whole deployment in virtual time, event by event: hundreds of dispatchers, each the module alone, that
// share encoders which queue in order, keep what a few keys need and fetch the rest, and warm up after their start.
// It is drawn from the site's ranges; connections, memory and lost messages are left out.
type mass struct {
	rng      *rand.Rand
	now      time.Duration
	due      massHeap
	seq      int
	nodes    []*massNode
	encoders map[uint32]*massEncoder
	all      []*massEncoder // in the order that they came, so that sums are the same every time
	list     []Worker
	settings Settings
	fetch    time.Duration
	terms    massTerms
	// Worth asked for and served in time, jobs begun and those that fetched, by class; first tries, sends, crossings.
	asked, served          []float64
	begun, fetched         []int
	firsts, sends, crossed int
}

type massNode struct {
	d     *Dispatcher
	zone  int
	alive bool
	reqs  map[uint32]*massRequest
	next  uint32
	armed int // the wake that counts
}

type massRequest struct {
	node                *massNode
	id                  uint32
	class, tenant       int
	key                 uint64
	work                float64 // seconds at speed 1
	arrived, due, first time.Duration
	try                 int
	done                bool
	attempts            []*massTry
}

type massTry struct {
	r            *massRequest
	n            int
	e            *massEncoder
	queued, over bool
	begun        time.Duration
	cancelled    bool
	told         bool
}

type massEncoder struct {
	Worker
	slots    int
	speed    float64
	coldFrom float64
	warm     time.Duration
	queue    []*massTry
	running  int
	kept     []uint64
	gone     bool
	got      []massWork
}

// massWork is a job that an encoder was sent, and by whom. A dispatcher knows of no encoder but from the list.
type massWork struct {
	at    time.Duration
	work  float64
	class int
	by    *massNode
}

type massEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type massHeap []massEvent

func (h massHeap) Len() int { return len(h) }
func (h massHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h massHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *massHeap) Push(x any)   { *h = append(*h, x.(massEvent)) }
func (h *massHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (m *mass) after(t time.Duration, do func()) {
	m.seq++
	heap.Push(&m.due, massEvent{m.now + t, m.seq, do})
}

const massHop = time.Millisecond

// massKind is a kind of encoder.
type massKind struct {
	slots int
	speed float64
}

// massClass is a class of request, its share of all and the log-normal work of its jobs.
type massClass struct {
	Class
	share float64
	work  float64 // mean seconds at speed 1
	sigma float64 // of the logarithm
}

// massTerms is a deployment's traffic, kinds of encoder and settings.
type massTerms struct {
	classes []massClass
	tenants []float64 // each one's share of what all encoders can do
	drawn   []float64 // cumulative shares of the traffic
	keyed   bool      // encoders fetch what a request's key needs
	kinds   []massKind
	common  []int // kinds by number, each as often as it is common
	adjust  func(*Settings)
}

// massKinds are those of the site.
var massKinds = []massKind{{4, 1.6}, {3, 0.97}, {5, 0.6}}

// lectureTerms are the terms of a site with short previews and long publishes.
func lectureTerms(kinds []massKind) massTerms {
	return massTerms{
		classes: []massClass{
			{Class{Aim: 500 * ms, Stretch: 2.5, Deadline: 5 * time.Second, Worth: 1, Effect: Safe, Kind: Any}, 0.72, 0.335, 0.6},
			{Class{Aim: 2 * time.Second, Stretch: 2, Deadline: 25 * time.Second, Worth: 5, Effect: Unsafe, Kind: Any}, 0.28, 2.0, 0.5},
		},
		tenants: []float64{.23, .19, .15, .11, .10, .08, .08, .06},
		drawn:   []float64{.23, .42, .57, .68, .78, .86, .94, 1},
		keyed:   true,
		kinds:   kinds,
		common:  []int{0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2},
		adjust: func(s *Settings) {
			s.Prices = Prices{CrossZone: 0.1, Waste: 0.3, LateFail: 0.031, Probe: 0.0013}
			s.Rules.Cold, s.Rules.ColdFrom, s.Rules.DrainGrace = 24*time.Second, 0.14, 750*ms
			s.Limits.ConnIdle, s.Limits.ConnectTimeout = 30*time.Second, 120*ms
		},
	}
}

// meanWork is that of all requests, in seconds at speed 1.
func (t massTerms) meanWork() (mean float64) {
	for _, c := range t.classes {
		mean += c.share * c.work
	}
	return mean
}

// newMass draws a deployment of so many dispatchers and encoders in so many zones.
func newMass(seed uint64, dispatchers, encoders, zones int) *mass {
	return newMassOf(lectureTerms(massKinds), seed, dispatchers, encoders, zones)
}

// newMassOf draws one on other terms.
func newMassOf(terms massTerms, seed uint64, dispatchers, encoders, zones int) *mass {
	m := &mass{
		rng: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, encoders: map[uint32]*massEncoder{}, terms: terms,
		asked: make([]float64, len(terms.classes)), served: make([]float64, len(terms.classes)),
		begun: make([]int, len(terms.classes)), fetched: make([]int, len(terms.classes)),
	}
	s := site(seed, true, false, false)
	s.Dispatchers, s.Granularity, s.Progress = dispatchers, 2*ms, time.Second
	s.Classes = nil
	for _, c := range terms.classes {
		s.Classes = append(s.Classes, c.Class)
	}
	s.Limits.Probes, s.Limits.Open, s.Limits.MaxRetryAfter = true, 20000, 2*time.Second
	terms.adjust(&s)
	m.settings = s
	for i := range encoders {
		m.add(uint32(i)*7919+11, i%zones, 0)
	}
	capacity := 0.0
	for _, e := range m.all {
		capacity += float64(e.slots) * e.speed
	}
	for _, share := range terms.tenants { // 0.8 of what all can do
		m.settings.Tenants = append(m.settings.Tenants, Tenant{QuotaPerSecond: share * 0.8 * capacity / terms.meanWork()})
	}
	if terms.keyed {
		m.fetch = time.Duration(0.45 * terms.meanWork() * float64(time.Second))
	}
	for i := range dispatchers {
		n := &massNode{zone: i % zones}
		m.nodes = append(m.nodes, n)
		m.start(n, i)
	}
	return m
}

// add has an encoder start, long ago for 0.
func (m *mass) add(id uint32, zone int, started time.Duration) *massEncoder {
	kind := m.terms.common[m.rng.IntN(len(m.terms.common))]
	e := &massEncoder{Worker: Worker{ID: id, Zone: zone, Kind: kind, Started: started, State: Ready}}
	e.slots = m.terms.kinds[kind].slots
	e.speed = m.terms.kinds[kind].speed * math.Exp(0.15*m.rng.NormFloat64())
	e.coldFrom, e.warm = 0.14+0.2*m.rng.Float64(), time.Duration(10+14*m.rng.Float64())*time.Second
	m.encoders[id] = e
	m.all = append(m.all, e)
	m.list = append(m.list, e.Worker)
	return e
}

// start has a dispatcher begin from nothing, with the list as it is now.
func (m *mass) start(n *massNode, i int) {
	s := m.settings
	s.Dispatcher, s.Zone, s.Seed = i, n.zone, uint64(m.rng.Uint32())
	d, err := New(s)
	if err != nil {
		panic(err)
	}
	n.d, n.alive, n.reqs = d, true, map[uint32]*massRequest{}
	n.armed++
	m.tell(n, ListFull{Workers: slices.Clone(m.list)})
}

// kill has a dispatcher forget all; its requests are lost, what it sent runs on.
func (m *mass) kill(n *massNode) {
	n.alive = false
	for _, r := range n.reqs {
		r.done = true
	}
}

// change tells every dispatcher of a line of the list, each up to a second later.
func (m *mass) change(l Worker) {
	m.list = append(slices.DeleteFunc(m.list, func(x Worker) bool { return x.ID == l.ID }), l)
	for _, n := range m.nodes {
		d := n.d
		m.after(time.Duration(m.rng.Float64()*float64(time.Second)), func() {
			if n.alive && n.d == d {
				m.tell(n, ListDelta{Workers: []Worker{l}})
			}
		})
	}
}

func (e *massEncoder) warmth(now time.Duration) float64 {
	if e.Started == 0 || now-e.Started >= e.warm {
		return 1
	}
	return e.coldFrom + (1-e.coldFrom)*float64(now-e.Started)/float64(e.warm)
}

func (m *mass) tell(n *massNode, events ...Event) {
	if !n.alive {
		return
	}
	for _, a := range n.d.Handle(m.now, events) {
		switch a := a.(type) {
		case Send:
			m.send(n, a)
		case Cancel:
			if r := n.reqs[a.Request]; r != nil {
				t := r.attempts[a.Attempt]
				m.after(massHop, func() { m.cancel(t) })
			}
		case Refuse:
			m.finish(n.reqs[a.Request], a.RetryAfter)
		case FailRequest:
			m.finish(n.reqs[a.Request], 0)
		case WakeMe:
			n.armed++
			mine, d := n.armed, n.d
			m.after(a.After, func() {
				if n.armed == mine && n.d == d {
					m.tell(n, Wake{})
				}
			})
		case Subscribe:
			d := n.d
			m.after(massHop, func() {
				if n.d == d {
					m.tell(n, ListDelta{})
				}
			})
		case Probe:
			w := a.Worker
			m.after(2*massHop, func() { m.tell(n, Probed{Worker: w, Outcome: OK}) })
		}
	}
}

// finish takes a final answer that served nothing; the client of what may be repeated comes again.
func (m *mass) finish(r *massRequest, wait time.Duration) {
	if r == nil || r.done {
		return
	}
	r.done = true
	wait += time.Duration((0.5 + m.rng.Float64()) * float64(100*ms) * float64(int(1)<<r.try))
	if r.try < 2 && m.now+wait < r.due {
		again := *r
		again.try, again.done, again.attempts = r.try+1, false, nil
		m.after(wait, func() { m.arrive(&again) })
	}
}

func (m *mass) arrive(r *massRequest) {
	n := r.node
	if !n.alive {
		return
	}
	n.next++
	r.id, r.arrived = n.next, m.now
	n.reqs[r.id] = r
	m.tell(n, Request{ID: r.id, Class: r.class, Tenant: r.tenant, Key: r.key, Budget: r.due - m.now, Slots: 1})
	id := r.id
	m.after(r.due-m.now, func() {
		if n.reqs[id] == r && !r.done {
			r.done = true
			m.tell(n, RequestLapsed{id})
		}
	})
}

func (m *mass) send(n *massNode, a Send) {
	r := n.reqs[a.Request]
	t := &massTry{r: r, n: len(r.attempts), e: m.encoders[a.Worker], queued: true}
	r.attempts = append(r.attempts, t)
	m.sends++
	if t.e.Zone != n.zone {
		m.crossed++
	}
	m.after(massHop, func() {
		e := t.e
		e.got = append(e.got, massWork{m.now, r.work, r.class, n})
		if e.gone {
			m.ended(t, ConnectFailed)
			return
		}
		if t.cancelled {
			return
		}
		e.queue = append(e.queue, t)
		m.work(e)
	})
}

func (m *mass) ended(t *massTry, o Outcome) {
	if t.told {
		return
	}
	t.told = true
	m.after(massHop, func() {
		r := t.r
		over := r.done
		if o == OK && !r.done {
			r.done, over = true, true
			if m.now-r.first <= m.settings.Classes[r.class].Aim+time.Duration(m.settings.Classes[r.class].Stretch*r.work*float64(time.Second)) {
				m.served[r.class] += r.work * m.settings.Classes[r.class].Worth
			}
		}
		m.tell(r.node, AttemptEnded{Request: r.id, Attempt: t.n, Outcome: o, Over: over})
	})
}

func (m *mass) cancel(t *massTry) {
	t.cancelled = true
	if t.queued {
		t.queued = false
		t.e.queue = slices.DeleteFunc(t.e.queue, func(x *massTry) bool { return x == t })
	} else if t.begun > 0 && !t.over { // what runs stops
		t.over = true
		t.e.running--
		m.work(t.e)
	}
	m.ended(t, Cancelled)
}

// work starts what fits, in order.
func (m *mass) work(e *massEncoder) {
	for e.running < e.slots && len(e.queue) > 0 {
		t := e.queue[0]
		e.queue = e.queue[1:]
		t.queued, t.begun = false, m.now
		e.running++
		m.begun[t.r.class]++
		long := time.Duration(t.r.work / e.speed / e.warmth(m.now) * float64(time.Second))
		if i := slices.Index(e.kept, t.r.key); i >= 0 {
			e.kept = slices.Delete(e.kept, i, i+1)
		} else {
			m.fetched[t.r.class]++
			long += m.fetch
			if len(e.kept) >= e.slots {
				e.kept = e.kept[1:]
			}
		}
		e.kept = append(e.kept, t.r.key)
		m.after(massHop, func() {
			if !t.over && !t.told {
				m.tell(t.r.node, JobStarted{t.r.id, t.n})
			}
		})
		m.after(long, func() {
			if t.over {
				return
			}
			t.over = true
			e.running--
			m.ended(t, OK)
			m.work(e)
		})
	}
}

// drawClass draws a request's class, the last first.
func (m *mass) drawClass() int {
	x := m.rng.Float64()
	for i := len(m.terms.classes) - 1; i > 0; i-- {
		if x -= m.terms.classes[i].share; x < 0 {
			return i
		}
	}
	return 0
}

// play has traffic come for so long, at a part of what all encoders can do once warm.
func (m *mass) play(long time.Duration, load func(at time.Duration) float64) {
	capacity := 0.0
	for _, e := range m.all {
		if !e.gone {
			capacity += float64(e.slots) * e.speed
		}
	}
	begun := m.now
	weights, sum := []float64{}, 0.0
	for range m.nodes {
		sum += math.Exp(0.7 * m.rng.NormFloat64())
		weights = append(weights, sum)
	}
	keys, total := []float64{}, 0.0
	for i := range int(3.6 * float64(len(m.encoders))) {
		total += math.Pow(float64(i+1), -0.95)
		keys = append(keys, total)
	}
	draw := func(cum []float64) int {
		i, _ := slices.BinarySearch(cum, m.rng.Float64()*cum[len(cum)-1])
		return i
	}
	var next func()
	next = func() {
		if m.now-begun > long {
			return
		}
		r := &massRequest{node: m.nodes[draw(weights)], first: m.now}
		if m.terms.keyed {
			r.key = hash(uint64(draw(keys)), 7) | 1
		}
		r.tenant = draw(m.terms.drawn)
		r.class = m.drawClass()
		c := m.terms.classes[r.class]
		r.work = c.work * math.Exp(c.sigma*m.rng.NormFloat64()-c.sigma*c.sigma/2)
		r.due = m.now + m.settings.Classes[r.class].Deadline
		m.asked[r.class] += r.work * m.settings.Classes[r.class].Worth
		m.firsts++
		m.arrive(r)
		rate := load(m.now-begun) * capacity / m.terms.meanWork()
		m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.after(0, next)
	m.run(begun + long)
}

func (m *mass) run(until time.Duration) {
	for len(m.due) > 0 && m.due[0].at <= until {
		e := heap.Pop(&m.due).(massEvent)
		m.now = e.at
		e.do()
	}
	m.now = until
}
