package decide

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetSim simulates many dispatchers that share one fleet of workers, in virtual time. Each worker runs as many jobs
// at once as it has slots and queues the rest in order of arrival.
type fleetSim struct {
	dispatchers []*harness
	rng         *rand.Rand
	now         time.Duration
	slots       int
	runTime     func(class int, worker uint32) time.Duration
	queues      map[uint32][]*fleetJob // running jobs, then queued ones
	sent        []*fleetJob
	refused     int // number of requests
}

// fleetJob is one attempt at a worker of the simulation.
type fleetJob struct {
	dispatcher          *harness
	request             *testRequest
	attempt             int
	worker              uint32
	sent, started, ends time.Duration
}

// warmWorkers returns n workers of one zone and kind that started long ago.
func warmWorkers(n int) (ws []Worker) {
	for i := range n {
		ws = append(ws, Worker{ID: uint32(i)*77 + 1, State: Ready})
	}
	return ws
}

// newFleetSim starts n dispatchers with settings like those of a site with a large fleet. All know the same workers.
func newFleetSim(t *testing.T, n int, workers []Worker) *fleetSim {
	sim := &fleetSim{rng: rand.New(rand.NewPCG(1, 1)), now: time.Hour, slots: 4, queues: map[uint32][]*fleetJob{}}
	sim.runTime = func(class int, _ uint32) time.Duration { return []time.Duration{400 * ms, 2400 * ms}[class] }
	for i := range n {
		s := testSettings(uint64(i), true, false, false)
		s.DispatcherIndex, s.DispatcherCount, s.ProgressInterval = i, n, 0
		s.Classes = []Class{
			{Aim: 500 * ms, Stretch: 2.5, Deadline: 5 * time.Second, Worth: 1, Effect: Safe, Kind: Any},
			{Aim: 2 * time.Second, Stretch: 2, Deadline: 25 * time.Second, Worth: 5, Effect: Unsafe, Kind: Any},
		}
		s.Tenants = []Tenant{{QuotaPerSecond: 3.5 * float64(len(workers))}}
		s.Rules.Cold, s.Rules.ColdFrom = 24*time.Second, 0.14
		h := newHarness(t, s)
		h.now = sim.now
		for _, l := range workers {
			h.list[l.ID] = l
		}
		h.handle(ListFull{Workers: workers})
		sim.dispatchers = append(sim.dispatchers, h)
	}
	return sim
}

// apply carries out a dispatcher's actions: it queues what was sent and removes what was cancelled.
func (sim *fleetSim) apply(h *harness, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			req := h.requests[a.Request]
			job := &fleetJob{dispatcher: h, request: req, attempt: len(req.attempts) - 1, worker: a.Worker, sent: sim.now}
			sim.sent = append(sim.sent, job)
			sim.queues[a.Worker] = append(sim.queues[a.Worker], job)
		case Refuse:
			sim.refused++
		case Cancel:
			req := h.requests[a.Request]
			id := req.attempts[a.Attempt].worker.ID
			sim.queues[id] = slices.DeleteFunc(sim.queues[id], func(job *fleetJob) bool {
				return job.dispatcher == h && job.request == req && job.attempt == a.Attempt
			})
			h.now = sim.now
			sim.apply(h, h.handle(h.endAttempt(req, a.Attempt, Cancelled, nil)))
		}
	}
}

// simulate plays requests that arrive at a common rate, each at a random dispatcher, with classes and keys as drawn.
func (sim *fleetSim) simulate(duration time.Duration, rate float64, draw func() (class int, key uint64)) {
	for end, step := sim.now+duration, 5*ms; sim.now < end; {
		sim.now += step
		ids := []uint32{}
		for id := range sim.queues {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			for _, job := range slices.Clone(sim.queues[id]) {
				if job.ends > 0 && sim.now >= job.ends {
					sim.queues[id] = slices.DeleteFunc(sim.queues[id], func(other *fleetJob) bool { return other == job })
					job.dispatcher.now = sim.now
					sim.apply(job.dispatcher, job.dispatcher.handle(job.dispatcher.endAttempt(job.request, job.attempt, OK, nil)))
				}
			}
			for i, job := range sim.queues[id] {
				if i < sim.slots && job.ends == 0 {
					job.started, job.ends = sim.now, sim.now+sim.runTime(job.request.Class, id)
					job.dispatcher.now = sim.now
					sim.apply(job.dispatcher, job.dispatcher.handle(JobStarted{Request: job.request.ID, Attempt: job.attempt}))
				}
			}
		}
		for _, h := range sim.dispatchers {
			if h.now = sim.now; len(h.timers) > 0 && h.timers[0] <= sim.now {
				h.timers = h.timers[1:]
				sim.apply(h, h.handle(TimerFired{}))
			}
		}
		for n := rate * step.Seconds(); sim.rng.Float64() < n; n-- {
			h := sim.dispatchers[sim.rng.IntN(len(sim.dispatchers))]
			class, key := draw()
			h.now = sim.now
			req := h.newRequest(class, h.s.Classes[class].Deadline)
			req.Key = key
			sim.apply(h, h.handle(req.Request))
		}
	}
}

// TestManyDispatchersWarmUpAColdWorker guards against a cold worker that never gets warm. Each of eighty dispatchers
// computed its first turn from its own long jobs and the one slot that it had seen in use, which put the turn beyond
// the whole warm-up time, and nobody sent anything. Together the dispatchers must use a good part of the cold worker's
// budget without exceeding it in any window.
func TestManyDispatchersWarmUpAColdWorker(t *testing.T) {
	workers := warmWorkers(20)
	sim := newFleetSim(t, 80, workers)
	preview := func() (int, uint64) { return 0, 0 }
	sim.simulate(10*time.Second, 80, preview)
	cold := Worker{ID: 5000, State: Ready, Started: sim.now}
	for _, h := range sim.dispatchers {
		h.now, h.list[cold.ID] = sim.now, cold
		h.handle(ListDelta{Workers: []Worker{cold}})
	}
	sim.sent = nil
	sim.simulate(12*time.Second, 80, preview)
	at := []time.Duration{}
	for _, job := range sim.sent {
		if job.worker == cold.ID {
			at = append(at, job.sent-cold.Started)
		}
	}
	s := sim.dispatchers[0].s
	capacity := func(age time.Duration) float64 { // the least possible, in slot seconds per second
		return float64(sim.slots) * (s.Rules.ColdFrom + (1-s.Rules.ColdFrom)*age.Seconds()/s.Rules.Cold.Seconds())
	}
	if whole := 12 * capacity(6*time.Second); float64(len(at))*0.4 < whole/4 {
		t.Errorf("got %d jobs of 0.4 s in 12 s, want at least a quarter of the %.0f s of work that the cold worker can do", len(at), whole)
	}
	for i, from := range at {
		work := 0.0
		for _, a := range at[i:] {
			if a < from+s.Rules.FallWindow {
				work += 0.4
			}
		}
		if most := s.Rules.FallMultiple * capacity(from); work > most {
			t.Errorf("got %.1f s of work in the window %v after the start, want at most the budget of %.1f s", work, from, most)
		}
	}
}

// TestManyDispatchersSpreadHotKeys guards against jobs that wait while three in four workers are idle: each dispatcher
// sent its first job of a key to the one worker that all dispatchers choose for the key.
func TestManyDispatchersSpreadHotKeys(t *testing.T) {
	workers := warmWorkers(20)
	sim := newFleetSim(t, 80, workers)
	keys := func() (int, uint64) { return 0, 1 + uint64(sim.rng.ExpFloat64()*2) }
	sim.simulate(10*time.Second, 60, keys)
	sim.sent = nil // hot keys are known only after some requests
	sim.simulate(10*time.Second, 60, keys)
	waited := 0
	for _, job := range sim.sent {
		if job.started == 0 || job.started-job.sent > 100*ms {
			waited++
		}
	}
	if waited*4 > len(sim.sent) {
		t.Errorf("%d of %d jobs waited at the workers of their keys, at 0.3 of the fleet's capacity; want at most a quarter", waited, len(sim.sent))
	}
}

// TestQueuedUnsafeJobIsKeptPastItsAim guards against giving up a job that still queues at its aim although its own
// length lets it wait twice as long. An unsafe request is then lost for good, after waiting for nothing.
func TestQueuedUnsafeJobIsKeptPastItsAim(t *testing.T) {
	s := newFleetSim(t, 1, nil).dispatchers[0].s
	h := newReadyHarness(t, s, 1)
	req := h.newRequest(1, 25*time.Second)
	h.handle(req.Request)
	for h.now < time.Hour+3*time.Second { // its aim is 2 s, or 6 s with its own length
		h.now += 20 * ms
		h.handle(TimerFired{})
	}
	if req.answered {
		t.Error("request given up although its job may still end in time")
	}
}

// TestManyDispatchersSpreadListCalls guards against dispatchers that lose their watch together and overload discovery.
// It serves calls one at a time and fails those that waited too long; calls that were all repeated within about two
// seconds were more than it can serve, and each timed out, for good.
func TestManyDispatchersSpreadListCalls(t *testing.T) {
	const callTime, timeout = 100 * ms, 2 * time.Second
	sim := newFleetSim(t, 80, nil)
	type call struct {
		h     *harness
		since time.Duration
	}
	var queue []call
	answered := map[*harness]bool{}
	deliver := func(h *harness, events ...Event) {
		h.now = sim.now
		for _, a := range h.handle(events...) {
			if _, ok := a.(Subscribe); ok {
				queue = append(queue, call{h, sim.now})
			}
		}
	}
	for _, h := range sim.dispatchers {
		deliver(h, ListFailed{})
	}
	next := sim.now
	for end := sim.now + 5*80*callTime; sim.now < end; sim.now += 10 * ms { // five times what one call from each takes
		for _, h := range sim.dispatchers {
			if len(h.timers) > 0 && h.timers[0] <= sim.now {
				h.timers = h.timers[1:]
				deliver(h, TimerFired{})
			}
		}
		for len(queue) > 0 && sim.now >= next {
			q := queue[0]
			queue = queue[1:]
			if next = max(next, q.since) + callTime; sim.now-q.since > timeout {
				deliver(q.h, ListFailed{}) // discovery has spent its time on the call nevertheless
			} else {
				answered[q.h] = true
				deliver(q.h, ListDelta{})
			}
		}
	}
	if len(answered) < 80 {
		t.Errorf("discovery answered %d of 80 dispatchers within %v, want all", len(answered), 5*80*callTime)
	}
}

// TestSingleRequestIsNotOverItsTenantsShare guards against holding a tenant's only request. One of many dispatchers
// sees a tenant once in many seconds, and in the short time over which requests were counted, one was more than the
// dispatcher's part of the tenant's share.
func TestSingleRequestIsNotOverItsTenantsShare(t *testing.T) {
	sim := newFleetSim(t, 80, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Ready}})
	for i, h := range sim.dispatchers {
		h.d.settings.Tenants = []Tenant{{QuotaPerSecond: 80}, {QuotaPerSecond: 12}, {QuotaPerSecond: 12}}
		h.d.tenantDemand = make([]demand, 3)
		req := h.newRequest(1, 25*time.Second)
		req.Tenant, req.Key = 1, 5
		h.handle(req.Request)
		if len(req.attempts) == 0 {
			t.Errorf("dispatcher %d held a tenant's first request, want it sent", i)
		}
	}
}

// TestLongJobsReachWarmingWorkers guards against restarted workers that get short jobs only until they are almost
// warm, while the long jobs, which carry most of the worth, queue at the workers that were not replaced.
func TestLongJobsReachWarmingWorkers(t *testing.T) {
	workers := warmWorkers(8)
	sim := newFleetSim(t, 80, workers)
	for _, h := range sim.dispatchers { // agreed rates that just fit workers of five slots
		h.d.settings.Tenants[0].QuotaPerSecond *= 1.6
	}
	mixed := func() (int, uint64) { return int(sim.rng.Uint32() % 4 / 3), 0 }
	sim.simulate(40*time.Second, 20, mixed) // ten jobs for each dispatcher to learn the run times from
	cold := []Worker{}
	for id := range uint32(6) {
		cold = append(cold, Worker{ID: 5000 + id, State: Ready, Started: sim.now})
	}
	for _, h := range sim.dispatchers {
		h.now = sim.now
		for i, l := range cold {
			h.list[l.ID], h.list[workers[i].ID] = l, Worker{ID: workers[i].ID, State: Gone}
			h.handle(ListDelta{Workers: []Worker{l, {ID: workers[i].ID, State: Draining}}})
		}
	}
	sim.sent = nil
	sim.simulate(21*time.Second, 20, mixed)
	longJobs := map[bool]int{}
	for _, job := range sim.sent {
		if age := job.sent - cold[0].Started; age > 14*time.Second && job.request.Class == 1 {
			longJobs[job.worker >= 5000]++
		}
	}
	if 2*longJobs[true] <= longJobs[false] {
		t.Errorf("got %d long jobs at the six half-warm workers and %d at the other two, want more than half as many", longJobs[true], longJobs[false])
	}
}

// TestQueuedKeyedRequestMovesAmongManyDispatchers guards against a repeatable request with a key that stays behind
// other dispatchers' jobs at the worker of its key until its aim, and is refused while most workers are idle.
func TestQueuedKeyedRequestMovesAmongManyDispatchers(t *testing.T) {
	workers := warmWorkers(20)
	sim := newFleetSim(t, 80, workers)
	sim.runTime = func(_ int, worker uint32) time.Duration { // two in five are slow
		return []time.Duration{300 * ms, 300 * ms, 300 * ms, 2 * time.Second, 2 * time.Second}[worker/77%5]
	}
	sim.simulate(15*time.Second, 60, func() (int, uint64) { return 0, 1 + uint64(sim.rng.ExpFloat64()*20) })
	if sim.refused > 60 { // one in fifteen
		t.Errorf("%d of some 900 requests refused while three in five workers had room, want at most 60", sim.refused)
	}
}

// TestRetryAfterConnectFailureGoesToAnotherZone guards against a request that spends all its attempts in a lost zone,
// one refused connection after another, because its dispatcher has not seen enough failures yet to avoid the zone.
func TestRetryAfterConnectFailureGoesToAnotherZone(t *testing.T) {
	workers := warmWorkers(20)
	for i := range workers {
		workers[i].Zone = i % 2
	}
	h := newFleetSim(t, 1, workers).dispatchers[0]
	h.sendKeyed(8)
	req := h.newRequest(0, 5*time.Second)
	req.Key, h.d.keyDemand[7] = 7, demand{Count: 100, Last: h.now} // demand for several workers in either zone
	h.handle(req.Request)
	h.handle(h.endAttempt(req, 0, ConnectFailed, nil))
	if len(req.attempts) != 2 || req.attempts[0].worker.Zone != 0 || req.attempts[1].worker.Zone != 1 {
		t.Fatalf("after a refused connection in zone 0, got a retry at %+v, want one in zone 1", req.attempts[len(req.attempts)-1].worker)
	}
}

// TestFewJobsRevealASlowWorker guards against an unnoticed slow worker: a dispatcher of many sees one or two jobs
// there while it is slow, but a worker's own speed hardly counted before eight jobs.
func TestFewJobsRevealASlowWorker(t *testing.T) {
	h := newFleetSim(t, 80, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Ready}}).dispatchers[0]
	for n := range 20 {
		id, run := uint32(2), 300*ms
		if n == 10 || n == 15 {
			id, run = 1, 1800*ms
		}
		a := &attempt{worker: h.d.workers[id], sentAt: h.d.now - run, startedAt: h.d.now - run, started: true}
		h.d.learnRun(&request{Request: Request{Slots: 1}, class: h.d.classes[0], arrived: a.sentAt}, a)
	}
	if one, two := h.d.slowness(h.d.workers[1]), h.d.slowness(h.d.workers[2]); one-two < 0.5 {
		t.Errorf("got log run times of %.2f and %.2f for a worker six times as slow as the other, want a difference of 0.5", one, two)
	}
}

// TestFewDispatchersHaveColdTurnsForLongJobs guards against restarted workers that get no long jobs. With three
// dispatchers a job of any length has a turn soon after the start; waiting until two such jobs fit the budget is
// needed only among many dispatchers, whose turns are close together.
func TestFewDispatchersHaveColdTurnsForLongJobs(t *testing.T) {
	for n, want := range map[int]bool{3: true, 80: false} {
		sim := newFleetSim(t, n, append(warmWorkers(14), Worker{ID: 5000, State: Ready, Started: time.Hour}))
		got := false
		for _, h := range sim.dispatchers {
			for d := h.d; d.now < time.Hour+11*time.Second; d.now += 100 * ms {
				got = got || d.coldTurn(d.workers[5000], &request{Request: Request{Slots: 1}, class: d.classes[1]})
			}
		}
		if got != want {
			t.Errorf("%d dispatchers: got a turn for a long job in the first 11 s: %v, want %v", n, got, want)
		}
	}
}
