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
type deployment struct {
	rng         *rand.Rand
	now         time.Duration
	events      eventQueue
	seq         int
	dispatchers []*simDispatcher
	encoders    map[uint32]*simEncoder
	allEncoders []*simEncoder // in the order that they came, so that sums are the same every time
	list        []Worker
	settings    Settings
	fetchTime   time.Duration
	site        siteModel
	// Worth asked for and served in time, jobs begun and those that fetched, by class; first tries, sends, crossings.
	worthAsked, worthServed      []float64
	jobsStarted, jobsFetched     []int
	firstTries, sends, crossings int
}

type simDispatcher struct {
	d         *Dispatcher
	zone      int
	alive     bool
	requests  map[uint32]*simRequest
	next      uint32
	lastTimer int // the wake that counts
}

type simRequest struct {
	dispatcher                 *simDispatcher
	id                         uint32
	class, tenant              int
	key                        uint64
	work                       float64 // seconds at speed 1
	arrived, due, firstArrived time.Duration
	tries                      int
	done                       bool
	attempts                   []*simAttempt
}

type simAttempt struct {
	request      *simRequest
	number       int
	encoder      *simEncoder
	queued, over bool
	started      time.Duration
	cancelled    bool
	reported     bool
}

type simEncoder struct {
	Worker
	slots      int
	speed      float64
	coldFrom   float64
	warmUp     time.Duration
	queue      []*simAttempt
	running    int
	cachedKeys []uint64
	gone       bool
	received   []receivedJob
}

// massWork is a job that an encoder was sent, and by whom. A dispatcher knows of no encoder but from the list.
type receivedJob struct {
	at         time.Duration
	work       float64
	class      int
	dispatcher *simDispatcher
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []simEvent

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventQueue) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (m *deployment) after(t time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, simEvent{m.now + t, m.seq, do})
}

const networkDelay = time.Millisecond

// massKind is a kind of encoder.
type encoderKind struct {
	slots int
	speed float64
}

// massClass is a class of request, its share of all and the log-normal work of its jobs.
type requestClass struct {
	Class
	share float64
	work  float64 // mean seconds at speed 1
	sigma float64 // of the logarithm
}

// massTerms is a deployment's traffic, kinds of encoder and settings.
type siteModel struct {
	classes    []requestClass
	quotas     []float64 // each one's share of what all encoders can do
	cumulative []float64 // cumulative shares of the traffic
	keyed      bool      // encoders fetch what a request's key needs
	kinds      []encoderKind
	kindDraw   []int // kinds by number, each as often as it is common
	adjust     func(*Settings)
}

// massKinds are those of the site.
var lectureKinds = []encoderKind{{4, 1.6}, {3, 0.97}, {5, 0.6}}

// lectureTerms are the terms of a site with short previews and long publishes.
func lectureSite(kinds []encoderKind) siteModel {
	return siteModel{
		classes: []requestClass{
			{Class{Aim: 500 * ms, Stretch: 2.5, Deadline: 5 * time.Second, Worth: 1, Effect: Safe, Kind: Any}, 0.72, 0.335, 0.6},
			{Class{Aim: 2 * time.Second, Stretch: 2, Deadline: 25 * time.Second, Worth: 5, Effect: Unsafe, Kind: Any}, 0.28, 2.0, 0.5},
		},
		quotas:     []float64{.23, .19, .15, .11, .10, .08, .08, .06},
		cumulative: []float64{.23, .42, .57, .68, .78, .86, .94, 1},
		keyed:      true,
		kinds:      kinds,
		kindDraw:   []int{0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2},
		adjust: func(s *Settings) {
			s.Prices = Prices{CrossZone: 0.1, Waste: 0.3, LateFail: 0.031, Probe: 0.0013}
			s.Rules.Cold, s.Rules.ColdFrom, s.Rules.DrainGrace = 24*time.Second, 0.14, 750*ms
			s.Limits.ConnIdle, s.Limits.ConnectTimeout = 30*time.Second, 120*ms
		},
	}
}

// meanWork is that of all requests, in seconds at speed 1.
func (t siteModel) meanWork() (mean float64) {
	for _, c := range t.classes {
		mean += c.share * c.work
	}
	return mean
}

// newMass draws a deployment of so many dispatchers and encoders in so many zones.
func newLectureDeployment(seed uint64, dispatchers, encoders, zones int) *deployment {
	return newDeployment(lectureSite(lectureKinds), seed, dispatchers, encoders, zones)
}

// newMassOf draws one on other terms.
func newDeployment(terms siteModel, seed uint64, dispatchers, encoders, zones int) *deployment {
	m := &deployment{
		rng: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, encoders: map[uint32]*simEncoder{}, site: terms,
		worthAsked: make([]float64, len(terms.classes)), worthServed: make([]float64, len(terms.classes)),
		jobsStarted: make([]int, len(terms.classes)), jobsFetched: make([]int, len(terms.classes)),
	}
	s := testSettings(seed, true, false, false)
	s.Dispatchers, s.Granularity, s.Progress = dispatchers, 2*ms, time.Second
	s.Classes = nil
	for _, c := range terms.classes {
		s.Classes = append(s.Classes, c.Class)
	}
	s.Limits.Probes, s.Limits.Open, s.Limits.MaxRetryAfter = true, 20000, 2*time.Second
	terms.adjust(&s)
	m.settings = s
	for i := range encoders {
		m.addEncoder(uint32(i)*7919+11, i%zones, 0)
	}
	capacity := 0.0
	for _, e := range m.allEncoders {
		capacity += float64(e.slots) * e.speed
	}
	for _, share := range terms.quotas { // 0.8 of what all can do
		m.settings.Tenants = append(m.settings.Tenants, Tenant{QuotaPerSecond: share * 0.8 * capacity / terms.meanWork()})
	}
	if terms.keyed {
		m.fetchTime = time.Duration(0.45 * terms.meanWork() * float64(time.Second))
	}
	for i := range dispatchers {
		n := &simDispatcher{zone: i % zones}
		m.dispatchers = append(m.dispatchers, n)
		m.startDispatcher(n, i)
	}
	return m
}

// add has an encoder start, long ago for 0.
func (m *deployment) addEncoder(id uint32, zone int, started time.Duration) *simEncoder {
	kind := m.site.kindDraw[m.rng.IntN(len(m.site.kindDraw))]
	e := &simEncoder{Worker: Worker{ID: id, Zone: zone, Kind: kind, Started: started, State: Ready}}
	e.slots = m.site.kinds[kind].slots
	e.speed = m.site.kinds[kind].speed * math.Exp(0.15*m.rng.NormFloat64())
	e.coldFrom, e.warmUp = 0.14+0.2*m.rng.Float64(), time.Duration(10+14*m.rng.Float64())*time.Second
	m.encoders[id] = e
	m.allEncoders = append(m.allEncoders, e)
	m.list = append(m.list, e.Worker)
	return e
}

// start has a dispatcher begin from nothing, with the list as it is now.
func (m *deployment) startDispatcher(n *simDispatcher, i int) {
	s := m.settings
	s.Dispatcher, s.Zone, s.Seed = i, n.zone, uint64(m.rng.Uint32())
	d, err := New(s)
	if err != nil {
		panic(err)
	}
	n.d, n.alive, n.requests = d, true, map[uint32]*simRequest{}
	n.lastTimer++
	m.deliver(n, ListFull{Workers: slices.Clone(m.list)})
}

// kill has a dispatcher forget all; its requests are lost, what it sent runs on.
func (m *deployment) killDispatcher(n *simDispatcher) {
	n.alive = false
	for _, r := range n.requests {
		r.done = true
	}
}

// change tells every dispatcher of a line of the list, each up to a second later.
func (m *deployment) updateList(l Worker) {
	m.list = append(slices.DeleteFunc(m.list, func(x Worker) bool { return x.ID == l.ID }), l)
	for _, n := range m.dispatchers {
		d := n.d
		m.after(time.Duration(m.rng.Float64()*float64(time.Second)), func() {
			if n.alive && n.d == d {
				m.deliver(n, ListDelta{Workers: []Worker{l}})
			}
		})
	}
}

func (e *simEncoder) warmth(now time.Duration) float64 {
	if e.Started == 0 || now-e.Started >= e.warmUp {
		return 1
	}
	return e.coldFrom + (1-e.coldFrom)*float64(now-e.Started)/float64(e.warmUp)
}

func (m *deployment) deliver(n *simDispatcher, events ...Event) {
	if !n.alive {
		return
	}
	for _, a := range n.d.Handle(m.now, events) {
		switch a := a.(type) {
		case Send:
			m.send(n, a)
		case Cancel:
			if r := n.requests[a.Request]; r != nil {
				t := r.attempts[a.Attempt]
				m.after(networkDelay, func() { m.cancel(t) })
			}
		case Refuse:
			m.endUnserved(n.requests[a.Request], a.RetryAfter)
		case FailRequest:
			m.endUnserved(n.requests[a.Request], 0)
		case WakeMe:
			n.lastTimer++
			mine, d := n.lastTimer, n.d
			m.after(a.After, func() {
				if n.lastTimer == mine && n.d == d {
					m.deliver(n, Wake{})
				}
			})
		case Subscribe:
			d := n.d
			m.after(networkDelay, func() {
				if n.d == d {
					m.deliver(n, ListDelta{})
				}
			})
		case Probe:
			w := a.Worker
			m.after(2*networkDelay, func() { m.deliver(n, Probed{Worker: w, Outcome: OK}) })
		}
	}
}

// finish takes a final answer that served nothing; the client of what may be repeated comes again.
func (m *deployment) endUnserved(r *simRequest, wait time.Duration) {
	if r == nil || r.done {
		return
	}
	r.done = true
	wait += time.Duration((0.5 + m.rng.Float64()) * float64(100*ms) * float64(int(1)<<r.tries))
	if r.tries < 2 && m.now+wait < r.due {
		again := *r
		again.tries, again.done, again.attempts = r.tries+1, false, nil
		m.after(wait, func() { m.arrive(&again) })
	}
}

func (m *deployment) arrive(r *simRequest) {
	n := r.dispatcher
	if !n.alive {
		return
	}
	n.next++
	r.id, r.arrived = n.next, m.now
	n.requests[r.id] = r
	m.deliver(n, Request{ID: r.id, Class: r.class, Tenant: r.tenant, Key: r.key, Budget: r.due - m.now, Slots: 1})
	id := r.id
	m.after(r.due-m.now, func() {
		if n.requests[id] == r && !r.done {
			r.done = true
			m.deliver(n, RequestLapsed{id})
		}
	})
}

func (m *deployment) send(n *simDispatcher, a Send) {
	r := n.requests[a.Request]
	t := &simAttempt{request: r, number: len(r.attempts), encoder: m.encoders[a.Worker], queued: true}
	r.attempts = append(r.attempts, t)
	m.sends++
	if t.encoder.Zone != n.zone {
		m.crossings++
	}
	m.after(networkDelay, func() {
		e := t.encoder
		e.received = append(e.received, receivedJob{m.now, r.work, r.class, n})
		if e.gone {
			m.attemptEnded(t, ConnectFailed)
			return
		}
		if t.cancelled {
			return
		}
		e.queue = append(e.queue, t)
		m.startJobs(e)
	})
}

func (m *deployment) attemptEnded(t *simAttempt, o Outcome) {
	if t.reported {
		return
	}
	t.reported = true
	m.after(networkDelay, func() {
		r := t.request
		over := r.done
		if o == OK && !r.done {
			r.done, over = true, true
			if m.now-r.firstArrived <= m.settings.Classes[r.class].Aim+time.Duration(m.settings.Classes[r.class].Stretch*r.work*float64(time.Second)) {
				m.worthServed[r.class] += r.work * m.settings.Classes[r.class].Worth
			}
		}
		m.deliver(r.dispatcher, AttemptEnded{Request: r.id, Attempt: t.number, Outcome: o, Over: over})
	})
}

func (m *deployment) cancel(t *simAttempt) {
	t.cancelled = true
	if t.queued {
		t.queued = false
		t.encoder.queue = slices.DeleteFunc(t.encoder.queue, func(x *simAttempt) bool { return x == t })
	} else if t.started > 0 && !t.over { // what runs stops
		t.over = true
		t.encoder.running--
		m.startJobs(t.encoder)
	}
	m.attemptEnded(t, Cancelled)
}

// work starts what fits, in order.
func (m *deployment) startJobs(e *simEncoder) {
	for e.running < e.slots && len(e.queue) > 0 {
		t := e.queue[0]
		e.queue = e.queue[1:]
		t.queued, t.started = false, m.now
		e.running++
		m.jobsStarted[t.request.class]++
		long := time.Duration(t.request.work / e.speed / e.warmth(m.now) * float64(time.Second))
		if i := slices.Index(e.cachedKeys, t.request.key); i >= 0 {
			e.cachedKeys = slices.Delete(e.cachedKeys, i, i+1)
		} else {
			m.jobsFetched[t.request.class]++
			long += m.fetchTime
			if len(e.cachedKeys) >= e.slots {
				e.cachedKeys = e.cachedKeys[1:]
			}
		}
		e.cachedKeys = append(e.cachedKeys, t.request.key)
		m.after(networkDelay, func() {
			if !t.over && !t.reported {
				m.deliver(t.request.dispatcher, JobStarted{t.request.id, t.number})
			}
		})
		m.after(long, func() {
			if t.over {
				return
			}
			t.over = true
			e.running--
			m.attemptEnded(t, OK)
			m.startJobs(e)
		})
	}
}

// drawClass draws a request's class, the last first.
func (m *deployment) drawClass() int {
	x := m.rng.Float64()
	for i := len(m.site.classes) - 1; i > 0; i-- {
		if x -= m.site.classes[i].share; x < 0 {
			return i
		}
	}
	return 0
}

// play has traffic come for so long, at a part of what all encoders can do once warm.
func (m *deployment) playTraffic(long time.Duration, load func(at time.Duration) float64) {
	capacity := 0.0
	for _, e := range m.allEncoders {
		if !e.gone {
			capacity += float64(e.slots) * e.speed
		}
	}
	begun := m.now
	weights, sum := []float64{}, 0.0
	for range m.dispatchers {
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
		r := &simRequest{dispatcher: m.dispatchers[draw(weights)], firstArrived: m.now}
		if m.site.keyed {
			r.key = hash(uint64(draw(keys)), 7) | 1
		}
		r.tenant = draw(m.site.cumulative)
		r.class = m.drawClass()
		c := m.site.classes[r.class]
		r.work = c.work * math.Exp(c.sigma*m.rng.NormFloat64()-c.sigma*c.sigma/2)
		r.due = m.now + m.settings.Classes[r.class].Deadline
		m.worthAsked[r.class] += r.work * m.settings.Classes[r.class].Worth
		m.firstTries++
		m.arrive(r)
		rate := load(m.now-begun) * capacity / m.site.meanWork()
		m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.after(0, next)
	m.runUntil(begun + long)
}

func (m *deployment) runUntil(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		e := heap.Pop(&m.events).(simEvent)
		m.now = e.at
		e.do()
	}
	m.now = until
}
