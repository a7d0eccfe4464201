package decide

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// deployment simulates a whole deployment in virtual time, event by event: hundreds of dispatchers, each with this
// package's decisions alone, share encoders that queue jobs in order, cache what a few keys need, fetch the rest, and
// warm up after a start. Deployments are drawn from a site model; connections, memory and lost messages are not
// simulated.
type deployment struct {
	rng         *rand.Rand
	now         time.Duration
	events      eventQueue
	seq         int
	dispatchers []*simDispatcher
	encoders    map[uint32]*simEncoder
	allEncoders []*simEncoder // by arrival, so that sums are the same in each run
	list        []Worker
	settings    Settings
	fetchTime   time.Duration
	site        siteModel
	// By class: worth asked for and served in time, jobs started and those that fetched their input. In all: first
	// tries, attempts sent, and those of them that crossed zones.
	worthAsked, worthServed      []float64
	jobsStarted, jobsFetched     []int
	firstTries, sends, crossings int
}

// simDispatcher is one dispatcher process and its open requests.
type simDispatcher struct {
	d         *Dispatcher
	zone      int
	alive     bool
	requests  map[uint32]*simRequest
	next      uint32
	lastTimer int // number of the timer that is valid
}

// simRequest is one try of a client's request; a retry is a copy with a new ID.
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

// simAttempt is one attempt of a request at an encoder.
type simAttempt struct {
	request      *simRequest
	number       int
	encoder      *simEncoder
	queued, over bool
	started      time.Duration
	cancelled    bool
	reported     bool
}

// simEncoder is one encoder and the jobs that it holds.
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

// receivedJob is a job that an encoder was sent, and the dispatcher that sent it. Dispatchers learn of encoders from
// the list alone.
type receivedJob struct {
	at         time.Duration
	work       float64
	class      int
	dispatcher *simDispatcher
}

// simEvent is a function to be called at a time; events of the same time keep their order.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue is a heap of events, the soonest first.
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

// after schedules a function.
func (sim *deployment) after(delay time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, simEvent{sim.now + delay, sim.seq, do})
}

const networkDelay = time.Millisecond

// encoderKind is the size and speed of a kind of encoder.
type encoderKind struct {
	slots int
	speed float64
}

// requestClass is a class of requests, its share of all requests and the log-normal distribution of its work.
type requestClass struct {
	Class
	share float64
	work  float64 // mean seconds at speed 1
	sigma float64 // of the logarithm
}

// siteModel describes a deployment's traffic, kinds of encoder and settings.
type siteModel struct {
	classes    []requestClass
	quotas     []float64 // of each tenant, as shares of the capacity
	cumulative []float64 // shares of the traffic by tenant, summed up
	keyed      bool      // encoders fetch and cache what a key needs
	kinds      []encoderKind
	kindDraw   []int // kinds by number, repeated by frequency
	adjust     func(*Settings)
}

// shortAndLongJobsKinds are the encoder kinds of shortAndLongJobsSite.
var shortAndLongJobsKinds = []encoderKind{{4, 1.6}, {3, 0.97}, {5, 0.6}}

// shortAndLongJobsSite models a site with short jobs (class 0, previews) and long ones (class 1, publishes).
func shortAndLongJobsSite(kinds []encoderKind) siteModel {
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

// meanWork is the mean work of all requests, in seconds at speed 1.
func (t siteModel) meanWork() (mean float64) {
	for _, c := range t.classes {
		mean += c.share * c.work
	}
	return mean
}

// newShortAndLongJobsDeployment draws a deployment of shortAndLongJobsSite.
func newShortAndLongJobsDeployment(seed uint64, dispatchers, encoders, zones int) *deployment {
	return newDeployment(shortAndLongJobsSite(shortAndLongJobsKinds), seed, dispatchers, encoders, zones)
}

// newDeployment draws a deployment of a site with the given numbers of dispatchers, encoders and zones.
func newDeployment(model siteModel, seed uint64, dispatchers, encoders, zones int) *deployment {
	sim := &deployment{
		rng: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, encoders: map[uint32]*simEncoder{}, site: model,
		worthAsked: make([]float64, len(model.classes)), worthServed: make([]float64, len(model.classes)),
		jobsStarted: make([]int, len(model.classes)), jobsFetched: make([]int, len(model.classes)),
	}
	s := testSettings(seed, true, false, false)
	s.DispatcherCount, s.Granularity, s.ProgressInterval = dispatchers, 2*ms, time.Second
	s.Classes = nil
	for _, c := range model.classes {
		s.Classes = append(s.Classes, c.Class)
	}
	s.Limits.Probes, s.Limits.MaxOpen, s.Limits.MaxRetryAfter = true, 20000, 2*time.Second
	model.adjust(&s)
	sim.settings = s
	for i := range encoders {
		sim.addEncoder(uint32(i)*7919+11, i%zones, 0)
	}
	capacity := 0.0
	for _, e := range sim.allEncoders {
		capacity += float64(e.slots) * e.speed
	}
	for _, share := range model.quotas { // quotas add up to 0.8 of the capacity
		sim.settings.Tenants = append(sim.settings.Tenants, Tenant{QuotaPerSecond: share * 0.8 * capacity / model.meanWork()})
	}
	if model.keyed {
		sim.fetchTime = time.Duration(0.45 * model.meanWork() * float64(time.Second))
	}
	for i := range dispatchers {
		disp := &simDispatcher{zone: i % zones}
		sim.dispatchers = append(sim.dispatchers, disp)
		sim.startDispatcher(disp, i)
	}
	return sim
}

// addEncoder adds an encoder that started at the given time; 0 means long ago.
func (sim *deployment) addEncoder(id uint32, zone int, started time.Duration) *simEncoder {
	kind := sim.site.kindDraw[sim.rng.IntN(len(sim.site.kindDraw))]
	e := &simEncoder{Worker: Worker{ID: id, Zone: zone, Kind: kind, Started: started, State: Ready}}
	e.slots = sim.site.kinds[kind].slots
	e.speed = sim.site.kinds[kind].speed * math.Exp(0.15*sim.rng.NormFloat64())
	e.coldFrom, e.warmUp = 0.14+0.2*sim.rng.Float64(), time.Duration(10+14*sim.rng.Float64())*time.Second
	sim.encoders[id] = e
	sim.allEncoders = append(sim.allEncoders, e)
	sim.list = append(sim.list, e.Worker)
	return e
}

// startDispatcher starts a dispatcher without a snapshot and gives it the current list.
func (sim *deployment) startDispatcher(disp *simDispatcher, i int) {
	s := sim.settings
	s.DispatcherIndex, s.Zone, s.Seed = i, disp.zone, uint64(sim.rng.Uint32())
	d, err := New(s)
	if err != nil {
		panic(err)
	}
	disp.d, disp.alive, disp.requests = d, true, map[uint32]*simRequest{}
	disp.lastTimer++
	sim.deliver(disp, ListFull{Workers: slices.Clone(sim.list)})
}

// killDispatcher kills a dispatcher: its requests are lost, and what it sent runs on.
func (sim *deployment) killDispatcher(disp *simDispatcher) {
	disp.alive = false
	for _, r := range disp.requests {
		r.done = true
	}
}

// updateList changes an entry of the list and notifies every dispatcher within a second.
func (sim *deployment) updateList(l Worker) {
	sim.list = append(slices.DeleteFunc(sim.list, func(x Worker) bool { return x.ID == l.ID }), l)
	for _, disp := range sim.dispatchers {
		dispatcher := disp.d
		sim.after(time.Duration(sim.rng.Float64()*float64(time.Second)), func() {
			if disp.alive && disp.d == dispatcher {
				sim.deliver(disp, ListDelta{Workers: []Worker{l}})
			}
		})
	}
}

// warmth is the share of its speed that an encoder has while it warms up.
func (e *simEncoder) warmth(now time.Duration) float64 {
	if e.Started == 0 || now-e.Started >= e.warmUp {
		return 1
	}
	return e.coldFrom + (1-e.coldFrom)*float64(now-e.Started)/float64(e.warmUp)
}

// deliver passes events to a dispatcher and carries out its actions.
func (sim *deployment) deliver(disp *simDispatcher, events ...Event) {
	if !disp.alive {
		return
	}
	for _, a := range disp.d.Handle(sim.now, events) {
		switch a := a.(type) {
		case Send:
			sim.send(disp, a)
		case Cancel:
			if r := disp.requests[a.Request]; r != nil {
				att := r.attempts[a.Attempt]
				sim.after(networkDelay, func() { sim.cancel(att) })
			}
		case Refuse:
			sim.endUnserved(disp.requests[a.Request], a.RetryAfter)
		case FailRequest:
			sim.endUnserved(disp.requests[a.Request], 0)
		case SetTimer:
			disp.lastTimer++
			timer, dispatcher := disp.lastTimer, disp.d
			sim.after(a.After, func() {
				if disp.lastTimer == timer && disp.d == dispatcher {
					sim.deliver(disp, TimerFired{})
				}
			})
		case Subscribe:
			dispatcher := disp.d
			sim.after(networkDelay, func() {
				if disp.d == dispatcher {
					sim.deliver(disp, ListDelta{})
				}
			})
		case Probe:
			worker := a.Worker
			sim.after(2*networkDelay, func() { sim.deliver(disp, Probed{Worker: worker, Outcome: OK}) })
		}
	}
}

// endUnserved ends a request that was answered without a result. Its client retries up to twice before the deadline.
func (sim *deployment) endUnserved(r *simRequest, wait time.Duration) {
	if r == nil || r.done {
		return
	}
	r.done = true
	wait += time.Duration((0.5 + sim.rng.Float64()) * float64(100*ms) * float64(int(1)<<r.tries))
	if r.tries < 2 && sim.now+wait < r.due {
		again := *r
		again.tries, again.done, again.attempts = r.tries+1, false, nil
		sim.after(wait, func() { sim.arrive(&again) })
	}
}

// arrive hands a request to its dispatcher and cancels it at its deadline.
func (sim *deployment) arrive(r *simRequest) {
	disp := r.dispatcher
	if !disp.alive {
		return
	}
	disp.next++
	r.id, r.arrived = disp.next, sim.now
	disp.requests[r.id] = r
	sim.deliver(disp, Request{ID: r.id, Class: r.class, Tenant: r.tenant, Key: r.key, Budget: r.due - sim.now, Slots: 1})
	id := r.id
	sim.after(r.due-sim.now, func() {
		if disp.requests[id] == r && !r.done {
			r.done = true
			sim.deliver(disp, RequestCancelled{id})
		}
	})
}

// send sends an attempt to an encoder.
func (sim *deployment) send(disp *simDispatcher, a Send) {
	r := disp.requests[a.Request]
	att := &simAttempt{request: r, number: len(r.attempts), encoder: sim.encoders[a.Worker], queued: true}
	r.attempts = append(r.attempts, att)
	sim.sends++
	if att.encoder.Zone != disp.zone {
		sim.crossings++
	}
	sim.after(networkDelay, func() {
		e := att.encoder
		e.received = append(e.received, receivedJob{sim.now, r.work, r.class, disp})
		if e.gone {
			sim.attemptEnded(att, ConnectFailed)
			return
		}
		if att.cancelled {
			return
		}
		e.queue = append(e.queue, att)
		sim.startJobs(e)
	})
}

// attemptEnded reports an attempt's outcome to its dispatcher, once, and counts worth that was served in time.
func (sim *deployment) attemptEnded(att *simAttempt, o Outcome) {
	if att.reported {
		return
	}
	att.reported = true
	sim.after(networkDelay, func() {
		r := att.request
		over := r.done
		if o == OK && !r.done {
			r.done, over = true, true
			if sim.now-r.firstArrived <= sim.settings.Classes[r.class].Aim+time.Duration(sim.settings.Classes[r.class].Stretch*r.work*float64(time.Second)) {
				sim.worthServed[r.class] += r.work * sim.settings.Classes[r.class].Worth
			}
		}
		sim.deliver(r.dispatcher, AttemptEnded{Request: r.id, Attempt: att.number, Outcome: o, RequestEnded: over})
	})
}

// cancel removes an attempt from its encoder, whether it queues or runs.
func (sim *deployment) cancel(att *simAttempt) {
	att.cancelled = true
	if att.queued {
		att.queued = false
		att.encoder.queue = slices.DeleteFunc(att.encoder.queue, func(x *simAttempt) bool { return x == att })
	} else if att.started > 0 && !att.over { // a running job stops
		att.over = true
		att.encoder.running--
		sim.startJobs(att.encoder)
	}
	sim.attemptEnded(att, Cancelled)
}

// startJobs starts queued jobs, in order, while the encoder has free slots.
func (sim *deployment) startJobs(e *simEncoder) {
	for e.running < e.slots && len(e.queue) > 0 {
		att := e.queue[0]
		e.queue = e.queue[1:]
		att.queued, att.started = false, sim.now
		e.running++
		sim.jobsStarted[att.request.class]++
		runTime := time.Duration(att.request.work / e.speed / e.warmth(sim.now) * float64(time.Second))
		if i := slices.Index(e.cachedKeys, att.request.key); i >= 0 {
			e.cachedKeys = slices.Delete(e.cachedKeys, i, i+1)
		} else {
			sim.jobsFetched[att.request.class]++
			runTime += sim.fetchTime
			if len(e.cachedKeys) >= e.slots {
				e.cachedKeys = e.cachedKeys[1:]
			}
		}
		e.cachedKeys = append(e.cachedKeys, att.request.key)
		sim.after(networkDelay, func() {
			if !att.over && !att.reported {
				sim.deliver(att.request.dispatcher, JobStarted{att.request.id, att.number})
			}
		})
		sim.after(runTime, func() {
			if att.over {
				return
			}
			att.over = true
			e.running--
			sim.attemptEnded(att, OK)
			sim.startJobs(e)
		})
	}
}

// drawClass draws a request's class, checking the last class first.
func (sim *deployment) drawClass() int {
	x := sim.rng.Float64()
	for i := len(sim.site.classes) - 1; i > 0; i-- {
		if x -= sim.site.classes[i].share; x < 0 {
			return i
		}
	}
	return 0
}

// playTraffic plays random traffic for a duration; load is the share of the capacity of all warm encoders that is
// asked for.
func (sim *deployment) playTraffic(duration time.Duration, load func(at time.Duration) float64) {
	capacity := 0.0
	for _, e := range sim.allEncoders {
		if !e.gone {
			capacity += float64(e.slots) * e.speed
		}
	}
	start := sim.now
	weights, sum := []float64{}, 0.0
	for range sim.dispatchers {
		sum += math.Exp(0.7 * sim.rng.NormFloat64())
		weights = append(weights, sum)
	}
	keys, total := []float64{}, 0.0
	for i := range int(3.6 * float64(len(sim.encoders))) {
		total += math.Pow(float64(i+1), -0.95)
		keys = append(keys, total)
	}
	draw := func(cumulative []float64) int {
		i, _ := slices.BinarySearch(cumulative, sim.rng.Float64()*cumulative[len(cumulative)-1])
		return i
	}
	var next func()
	next = func() {
		if sim.now-start > duration {
			return
		}
		r := &simRequest{dispatcher: sim.dispatchers[draw(weights)], firstArrived: sim.now}
		if sim.site.keyed {
			r.key = hash(uint64(draw(keys)), 7) | 1
		}
		r.tenant = draw(sim.site.cumulative)
		r.class = sim.drawClass()
		c := sim.site.classes[r.class]
		r.work = c.work * math.Exp(c.sigma*sim.rng.NormFloat64()-c.sigma*c.sigma/2)
		r.due = sim.now + sim.settings.Classes[r.class].Deadline
		sim.worthAsked[r.class] += r.work * sim.settings.Classes[r.class].Worth
		sim.firstTries++
		sim.arrive(r)
		rate := load(sim.now-start) * capacity / sim.site.meanWork()
		sim.after(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	sim.after(0, next)
	sim.runUntil(start + duration)
}

// runUntil plays scheduled events up to a time.
func (sim *deployment) runUntil(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		e := heap.Pop(&sim.events).(simEvent)
		sim.now = e.at
		e.do()
	}
	sim.now = until
}
