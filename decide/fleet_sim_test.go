package decide

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// throng plays many dispatchers against one fleet of workers, in virtual time: each worker runs so many jobs
// at once, the rest in a queue, in order.
type fleetSim struct {
	dispatchers []*harness
	rng         *rand.Rand
	now         time.Duration
	slots       int
	runTime     func(class int, worker uint32) time.Duration
	queues      map[uint32][]*fleetJob // at work, then queued
	sent        []*fleetJob
	refused     int // requests refused
}

type fleetJob struct {
	dispatcher          *harness
	request             *testRequest
	attempt             int
	worker              uint32
	sent, started, ends time.Duration
}

// warmWorkers is a fleet of one zone and kind.
func warmWorkers(n int) (ws []Worker) {
	for i := range n {
		ws = append(ws, Worker{ID: uint32(i)*77 + 1, State: Ready})
	}
	return ws
}

// newThrong makes n dispatchers with the settings of the large fleet's site, which all know the workers.
func newFleetSim(t *testing.T, n int, workers []Worker) *fleetSim {
	sim := &fleetSim{rng: rand.New(rand.NewPCG(1, 1)), now: time.Hour, slots: 4, queues: map[uint32][]*fleetJob{}}
	sim.runTime = func(class int, _ uint32) time.Duration { return []time.Duration{400 * ms, 2400 * ms}[class] }
	for i := range n {
		s := testSettings(uint64(i), true, false, false)
		s.Dispatcher, s.Dispatchers, s.Progress = i, n, 0
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

// take adds what the last events had a dispatcher send, and drops what it called off in a queue.
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

// play has requests come at a rate to all together, each of a class and key as drawn.
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
				sim.apply(h, h.handle(Wake{}))
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

// TestManyWarmAColdWorkerUp: each dispatcher's first turn at a cold worker lay by its own long jobs and the one
// slot it had seen there, beyond the whole time to warm up with eighty of them: nobody sent, and the worker
// never got warm. All together use a good part of the budget, and no window's is passed.
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
	capacity := func(age time.Duration) float64 { // slot seconds a second, at its least
		return float64(sim.slots) * (s.Rules.ColdFrom + (1-s.Rules.ColdFrom)*age.Seconds()/s.Rules.Cold.Seconds())
	}
	if whole := 12 * capacity(6*time.Second); float64(len(at))*0.4 < whole/4 {
		t.Errorf("%d jobs in 12 s: a cold worker could do %.0f s of work meanwhile", len(at), whole)
	}
	for i, from := range at {
		work := 0.0
		for _, a := range at[i:] {
			if a < from+s.Rules.FallWindow {
				work += 0.4
			}
		}
		if most := s.Rules.FallMultiple * capacity(from); work > most {
			t.Errorf("%.1f s of work in a window %v after the start, budget %.1f", work, from, most)
		}
	}
}

// TestManyDoNotMeetAtOneKeeper: each dispatcher sent its first job of a key to the one keeper that all agree on,
// and waited there, while three in four workers were idle.
func TestManyDispatchersSpreadHotKeys(t *testing.T) {
	workers := warmWorkers(20)
	sim := newFleetSim(t, 80, workers)
	keys := func() (int, uint64) { return 0, 1 + uint64(sim.rng.ExpFloat64()*2) }
	sim.simulate(10*time.Second, 60, keys)
	sim.sent = nil // of a few requests none can tell which keys are hot
	sim.simulate(10*time.Second, 60, keys)
	waited := 0
	for _, job := range sim.sent {
		if job.started == 0 || job.started-job.sent > 100*ms {
			waited++
		}
	}
	if waited*4 > len(sim.sent) {
		t.Errorf("%d of %d jobs waited at their keepers, at 0.3 of what the workers can do", waited, len(sim.sent))
	}
}

// TestQueuedJobMayStillBeInTime: a job that was queued at its aim was given up, though its own length gave it
// twice that: what may not be repeated was lost for good, and what it had waited for in vain.
func TestQueuedUnsafeJobIsKeptPastItsAim(t *testing.T) {
	s := newFleetSim(t, 1, nil).dispatchers[0].s
	h := newReadyHarness(t, s, 1)
	req := h.newRequest(1, 25*time.Second)
	h.handle(req.Request)
	for h.now < time.Hour+3*time.Second { // its aim is 2 s, with its length 6 s
		h.now += 20 * ms
		h.handle(Wake{})
	}
	if req.answered {
		t.Error("given up though it may still end in time")
	}
}

// TestManyAskForTheListInTurn: discovery works through calls in turn and fails those that waited too long. All
// dispatchers that lost their watch together asked again within two seconds or so, which is more than it can
// answer: every call waited too long, for good.
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
	for end := sim.now + 5*80*callTime; sim.now < end; sim.now += 10 * ms { // five times the work of one call each
		for _, h := range sim.dispatchers {
			if len(h.timers) > 0 && h.timers[0] <= sim.now {
				h.timers = h.timers[1:]
				deliver(h, Wake{})
			}
		}
		for len(queue) > 0 && sim.now >= next {
			q := queue[0]
			queue = queue[1:]
			if next = max(next, q.since) + callTime; sim.now-q.since > timeout {
				deliver(q.h, ListFailed{}) // its time was spent on it all the same
			} else {
				answered[q.h] = true
				deliver(q.h, ListDelta{})
			}
		}
	}
	if len(answered) < 80 {
		t.Errorf("%d of 80 dispatchers hear from discovery again after %v", len(answered), 5*80*callTime)
	}
}

// TestOneRequestIsNoShare: a dispatcher of many sees a tenant once in many seconds, which was more than its part of
// the tenant's share over the short time that was counted, and then nothing had room for it.
func TestSingleRequestIsNotOverItsTenantsShare(t *testing.T) {
	sim := newFleetSim(t, 80, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Ready}})
	for i, h := range sim.dispatchers {
		h.d.s.Tenants = []Tenant{{QuotaPerSecond: 80}, {QuotaPerSecond: 12}, {QuotaPerSecond: 12}}
		h.d.tenants = make([]demand, 3)
		req := h.newRequest(1, 25*time.Second)
		req.Tenant, req.Key = 1, 5
		h.handle(req.Request)
		if len(req.attempts) == 0 {
			t.Errorf("dispatcher %d held a tenant's first request", i)
		}
	}
}

// TestLongJobsReachWarmingWorkers: a worker that warms up was given short jobs only until it could almost do all it
// ever can, and the long ones, most of the worth, queued at those that had not been replaced.
func TestLongJobsReachWarmingWorkers(t *testing.T) {
	workers := warmWorkers(8)
	sim := newFleetSim(t, 80, workers)
	for _, h := range sim.dispatchers { // agreed rates that a worker of five slots could just do
		h.d.s.Tenants[0].QuotaPerSecond *= 1.6
	}
	mixed := func() (int, uint64) { return int(sim.rng.Uint32() % 4 / 3), 0 }
	sim.simulate(40*time.Second, 20, mixed) // ten jobs each, by which their runs are known
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
		t.Errorf("%d long jobs at six workers that are half warm, %d at the other two", longJobs[true], longJobs[false])
	}
}

// TestQueuedAmongMany: a repeatable job with a key that found its keeper full of others' jobs stayed in the queue
// until its aim and was refused, where most workers were idle.
func TestQueuedKeyedRequestMovesAmongManyDispatchers(t *testing.T) {
	workers := warmWorkers(20)
	sim := newFleetSim(t, 80, workers)
	sim.runTime = func(_ int, worker uint32) time.Duration { // two in five are slow
		return []time.Duration{300 * ms, 300 * ms, 300 * ms, 2 * time.Second, 2 * time.Second}[worker/77%5]
	}
	sim.simulate(15*time.Second, 60, func() (int, uint64) { return 0, 1 + uint64(sim.rng.ExpFloat64()*20) })
	if sim.refused > 60 { // one in fifteen
		t.Errorf("%d of some 900 jobs given up, while three in five workers had room", sim.refused)
	}
}

// TestBrokenOffGoesToAnotherZone: with a whole zone lost, a request spent all its attempts there, one refused
// connection after the other, before its dispatcher had met enough of them to shun the zone.
func TestRetryAfterConnectFailureGoesToAnotherZone(t *testing.T) {
	workers := warmWorkers(20)
	for i := range workers {
		workers[i].Zone = i % 2
	}
	h := newFleetSim(t, 1, workers).dispatchers[0]
	h.sendKeyed(8)
	req := h.newRequest(0, 5*time.Second)
	req.Key, h.d.keys[7] = 7, demand{N: 100, Last: h.now} // with several keepers in either zone
	h.handle(req.Request)
	h.handle(h.endAttempt(req, 0, ConnectFailed, nil))
	if len(req.attempts) != 2 || req.attempts[0].worker.Zone != 0 || req.attempts[1].worker.Zone != 1 {
		t.Fatalf("after a broken connection in zone 0, without life there, it went to %+v", req.attempts[len(req.attempts)-1].worker)
	}
}

// TestFewJobsTellASlowWorker: a dispatcher of many sees one or two jobs at a worker in the time that one is slow; its
// own speed counted for little before eight.
func TestFewJobsRevealASlowWorker(t *testing.T) {
	h := newFleetSim(t, 80, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Ready}}).dispatchers[0]
	for n := range 20 {
		id, run := uint32(2), 300*ms
		if n == 10 || n == 15 {
			id, run = 1, 1800*ms
		}
		a := &attempt{w: h.d.workers[id], sent: h.d.now - run, begun: h.d.now - run, started: true}
		h.d.learn(&request{Request: Request{Slots: 1}, c: h.d.classes[0], arrived: a.sent}, a)
	}
	if one, two := h.d.slowness(h.d.workers[1]), h.d.slowness(h.d.workers[2]); one-two < 0.5 {
		t.Errorf("six times slower, which counts as %.2f and %.2f in logs", one, two)
	}
}

// TestFewGiveLongJobsTheirTurns: three dispatchers reach a turn for a job of any length soon after a worker's start; the
// wait for room for two, which is for turns as close as those of many, kept long jobs from restarted workers.
func TestFewDispatchersHaveColdTurnsForLongJobs(t *testing.T) {
	for n, want := range map[int]bool{3: true, 80: false} {
		sim := newFleetSim(t, n, append(warmWorkers(14), Worker{ID: 5000, State: Ready, Started: time.Hour}))
		got := false
		for _, h := range sim.dispatchers {
			for d := h.d; d.now < time.Hour+11*time.Second; d.now += 100 * ms {
				got = got || d.coldTurn(d.workers[5000], &request{Request: Request{Slots: 1}, c: d.classes[1]})
			}
		}
		if got != want {
			t.Errorf("%d dispatchers: a turn for a long job in the first 11 s: %v", n, got)
		}
	}
}
