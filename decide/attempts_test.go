package decide

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestWithoutAttemptsLeftIsAnsweredAtOnce checks that a request is answered in the batch in which its last
// permitted attempt ends. This includes a keyed one past its window and an unsafe one cancelled in a queue.
func TestRequestWithoutAttemptsLeftIsAnsweredAtOnce(t *testing.T) {
	tests := []struct {
		name     string
		class    int
		limit    int // on attempts
		outcomes []Outcome
		wait     time.Duration
		refused  bool
	}{
		{"unsafe that may have run", 2, 6, []Outcome{Reset}, 0, false},
		{"unsafe, cancelled in a queue", 2, 6, []Outcome{Cancelled}, 50 * ms, false},
		{"keyed past its window", 1, 6, []Outcome{Reset}, 310 * ms, false},
		{"keyed at the limit", 1, 1, []Outcome{Reset}, 0, false},
		{"safe at the limit", 0, 2, []Outcome{Full, Full}, 0, true},
		{"failed at two workers", 0, 6, []Outcome{Errored, Errored}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings(1, false, false, false)
			s.Limits.MaxAttempts, s.ProgressInterval = tt.limit, 0
			h := newReadyHarness(t, s, 4)
			_, req := h.sendRequest(tt.class)
			h.now += tt.wait
			var last []Action
			for n, o := range tt.outcomes {
				if n >= len(req.attempts) {
					t.Fatalf("attempt %d was not sent", n)
				}
				last = h.handle(h.endAttempt(req, n, o, nil))
			}
			if !req.answered {
				t.Fatal("still open without an attempt left")
			}
			for _, a := range last {
				if r, ok := a.(Refuse); ok != tt.refused && !ok {
					continue
				} else if ok && (r.RetryAfter > 0) != (tt.outcomes[0] == Errored) {
					t.Errorf("refused with a retry-after of %v, want one only after errors", r.RetryAfter)
				}
			}
		})
	}
}

// TestKeyedWindowEndsWhileHeld checks that a held request whose repeat window ends is answered at the next sweep.
func TestKeyedWindowEndsWhileHeld(t *testing.T) {
	s := testSettings(1, false, false, false)
	s.ProgressInterval, s.Classes[1].Aim = 0, 900*ms
	h := newReadyHarness(t, s, 1)
	_, req := h.sendRequest(1)
	h.handle(h.endAttempt(req, 0, Reset, nil)) // its only worker is suspected, so it is held
	for h.now < req.due-600*ms {
		h.now += 10 * ms
		h.d.workers[1].retryAt = h.now + time.Second
		h.handle(TimerFired{})
	}
	if !req.answered {
		t.Error("still open after the end of its window")
	}
}

// TestTenantOverItsShareIsRecognized checks that requests of a tenant far beyond its share are told from those of
// others, also where this dispatcher gets more traffic of all tenants; where no tenant is beyond its share, no request
// counts as over it.
func TestTenantOverItsShareIsRecognized(t *testing.T) {
	tests := []struct {
		name   string
		rates  []int // requests in a tenth of a second
		lo, hi float64
	}{
		{"all within their shares", []int{2, 2, 2}, 0, 0},
		{"all three times as much here", []int{6, 6, 6}, 0, 0},
		{"one at three times the others", []int{9, 3, 3}, 0.3, 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings(1, true, false, false)
			for range tt.rates {
				s.Tenants = append(s.Tenants, Tenant{QuotaPerSecond: 60}) // two dispatchers
			}
			d := newHarness(t, s).d
			over := make([]float64, len(tt.rates))
			for range 200 {
				d.now += 100 * ms
				for tenant, n := range tt.rates {
					for range n {
						if d.exceedsShare(tenant) {
							over[tenant] += 1 / float64(200*n)
						}
					}
				}
			}
			if over[0] < tt.lo || over[0] > tt.hi {
				t.Errorf("got %.2f of the first tenant's requests over its share, want %v to %v", over[0], tt.lo, tt.hi)
			}
			if over[1]+over[2] > 0.02 {
				t.Errorf("got %.2f and %.2f of the others' requests over their share, want at most 0.02 together", over[1], over[2])
			}
		})
	}
	if newHarness(t, testSettings(1, true, false, false)).d.exceedsShare(3) {
		t.Error("an unknown tenant is over its share")
	}
}

// TestOverShareRequestsGetHalfOfAWorker checks that requests over their tenant's share use at most half of a worker's
// room.
func TestOverShareRequestsGetHalfOfAWorker(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 1)
	wk := h.d.workers[1]
	wk.ceiling = 4
	for i := range 4 {
		r := &request{Request: Request{Slots: 1}, class: h.d.classes[0], deadline: h.now + time.Second, overShare: true}
		if got := h.d.valid(r, wk, Invalidate{MaxConcurrentInvocations, 100}); got != (i < 2) {
			t.Errorf("with %d jobs running: got room %v", i, got)
		}
		wk.ownSlots++
	}
}

// TestCeilingIsLearnedFromJobEnds guards against a ceiling that stays at one job, and an admitted share that never
// recovers after refusals, where workers do not report starts: then jobs that end in time raise both.
func TestCeilingIsLearnedFromJobEnds(t *testing.T) {
	for _, run := range []time.Duration{50 * ms, 800 * ms} {
		s := testSettings(1, false, false, false)
		s.ProgressInterval = 0
		h := newReadyHarness(t, s, 1)
		h.d.admitted, h.d.tokens = 0.5, maxTokens
		h.d.classes[0].jobs, h.d.classes[0].meanLogRun = 50, -3 // the typical run is 50 ms
		for range 6 {
			h.sendRequest(0)
			h.now += run
			for _, id := range h.active {
				if req := h.requests[id]; len(req.attempts) > 0 && !req.attempts[0].over {
					h.handle(h.endAttempt(req, 0, OK, nil))
				}
			}
		}
		if up := h.d.workers[1].ceiling > 1; up != (run < 100*ms) {
			t.Errorf("runs of %v: got a ceiling of %v", run, h.d.workers[1].ceiling)
		}
		if h.d.admitted <= 0.5 {
			t.Errorf("runs of %v: got an admitted share of %v, want more than 0.5", run, h.d.admitted)
		}
	}
}

// TestUnprovenWorkersAreProbed checks that, once first jobs at workers known only from the list have failed, others
// like them are probed first and get no unsafe job until they answer. Without probes, or before any worker has served,
// new workers are trusted.
func TestUnprovenWorkersAreProbed(t *testing.T) {
	for _, probes := range []bool{true, false} {
		s := testSettings(1, false, false, false)
		s.Limits.Probes, s.ProgressInterval = probes, 0
		h := newReadyHarness(t, s, 2)
		for range 2 { // the first two serve
			_, req := h.sendRequest(0)
			_, second := h.sendRequest(0)
			h.now += 20 * ms
			h.handle(h.endAttempt(req, 0, OK, nil), h.endAttempt(second, 0, OK, nil))
		}
		lines := readyWorkers(10)
		for _, l := range lines {
			h.list[l.ID] = l
		}
		h.handle(ListFull{Workers: lines})
		for range 4 {
			h.d.firstJobs.add(true, firstJobSamples)
		}
		h.now += 500 * ms
		h.d.blocksStale, h.d.sortAfter = true, 0
		probed := map[uint32]bool{}
		for _, a := range h.handle(TimerFired{}) {
			if p, ok := a.(Probe); ok {
				probed[p.Worker] = true
			}
		}
		if want := 0; probes && len(probed) != 8 || !probes && len(probed) != want {
			t.Errorf("probes allowed %v: got %d workers probed", probes, len(probed))
		}
		if trusted := h.d.workers[5].failures == 0; trusted == probes {
			t.Errorf("probes allowed %v: new worker trusted: got %v", probes, trusted)
		}
		trial := &request{Request: Request{Slots: 1}, class: h.d.classes[0], deadline: h.now + time.Minute}
		for n := range firstJobProbes + 1 {
			wk := h.d.workers[7]
			wk.probes, wk.retryAt = n, h.now
			if ok := h.d.valid(trial, wk, Invalidate{MaxConcurrentInvocations, 9}); probes && ok != (n == firstJobProbes) {
				t.Errorf("trial after %d unanswered probes: got %v", n, ok)
			}
		}
		h.handle(Probed{Worker: 5, Outcome: OK}, Probed{Worker: 6, Outcome: TimedOut}, Probed{Worker: 99, Outcome: OK})
		if h.d.workers[5].failures != 0 || probes && h.d.workers[6].failures == 0 {
			t.Error("want the worker that answered its probe trusted, and the other one suspected")
		}
	}
}

// TestLostProbesDoNotBarAServingWorker checks that unanswered probes do not count against a worker that serves.
func TestLostProbesDoNotBarAServingWorker(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, false, false, false), 1)
	_, req := h.sendRequest(0)
	h.handle(h.endAttempt(req, 0, OK, nil))
	for range 20 {
		h.handle(Probed{Worker: 1, Outcome: TimedOut}, Probed{Worker: 1, Outcome: Errored})
	}
	if got, _ := h.sendRequest(2); got != 1 {
		t.Error("a worker that serves is not used because of lost probes")
	}
}

// TestSilentWorkerIsSuspected checks that, where workers report neither starts nor progress, one without a sign of
// life for some typical run times is suspected, and a repeatable job gets a second copy elsewhere.
func TestSilentWorkerIsSuspected(t *testing.T) {
	s := testSettings(1, false, false, false)
	s.ProgressInterval = 0
	h := newReadyHarness(t, s, 2)
	first, req := h.sendRequest(0)
	for range 60 {
		h.now += 10 * ms
		h.handle(TimerFired{})
	}
	if h.d.workers[first].failures == 0 || len(req.attempts) != 2 || req.attempts[1].worker.ID == first {
		t.Errorf("got %d consecutive failures and %d attempts, want the worker suspected and a copy elsewhere", h.d.workers[first].failures, len(req.attempts))
	}
}

// TestUnconfirmedJobMoves guards against waiting until the deadline for a job on a silent connection because its
// worker shows signs of life on others. An unsafe request stays.
func TestUnconfirmedJobMoves(t *testing.T) {
	for class, confirmed := range []bool{false, true, false} {
		class = map[int]int{0: 0, 1: 0, 2: 2}[class]
		h := newReadyHarness(t, testSettings(1, true, false, false), 2)
		_, first := h.sendRequest(0)
		h.handle(AttemptAccepted{first.ID, 0}, JobStarted{first.ID, 0})
		_, req := h.sendRequest(class)
		if confirmed {
			h.handle(AttemptAccepted{req.ID, 0})
		}
		cancelled := false
		for range 40 {
			h.now += 10 * ms
			h.d.timerDue = h.now
			for _, a := range h.handle(TimerFired{}, JobProgress{first.ID, 0, 0.5}) {
				c, ok := a.(Cancel)
				cancelled = cancelled || ok && c.Request == req.ID
			}
		}
		if lost := h.d.requests[req.ID] != nil && h.d.requests[req.ID].attempts[0].connLost; lost != (!confirmed && class == 0) || lost && !cancelled {
			t.Errorf("class %d, confirmed %v: attempt abandoned: got %v", class, confirmed, lost)
		}
	}
}

// TestUnsentAttemptsAreNotCounted guards against a request that uses up its three attempts at once, and is refused
// long before its deadline, while nothing can be sent: the pool of connections is full, or its only worker has not
// confirmed that an earlier attempt was cancelled.
func TestUnsentAttemptsAreNotCounted(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 1)
	req := h.newRequest(0, time.Second)
	h.handle(req.Request)
	start, roomAt := h.now, h.now+80*ms
	for h.now < roomAt {
		if n := len(req.attempts) - 1; !req.attempts[n].over {
			h.handle(h.endAttempt(req, n, NotSent, nil))
		}
		h.now += ms
		h.handle(TimerFired{})
	}
	if req.answered {
		t.Fatalf("answered after %d unsent attempts", len(req.attempts))
	}
	if len(req.attempts) > 20 {
		t.Errorf("got %d unsent attempts in %v, want at most 20 with pauses between them", len(req.attempts), h.now-start)
	}
	for h.now < roomAt+100*ms && req.attempts[len(req.attempts)-1].over {
		h.now += ms
		h.handle(TimerFired{})
	}
	n := len(req.attempts) - 1
	if req.attempts[n].over {
		t.Fatalf("not sent again within %v after there was room", h.now-roomAt)
	}
	h.handle(h.endAttempt(req, n, OK, nil))
	if !req.answered {
		t.Error("request not answered")
	}
}

// TestUntilDeadlineRequestsAreNotCancelledWhileQueued guards against cancelling an unsafe job with UntilDeadline,
// which may have run, only because it queues at its worker past its class's aim.
func TestUntilDeadlineRequestsAreNotCancelledWhileQueued(t *testing.T) {
	for _, untilDeadline := range []bool{false, true} {
		h := newReadyHarness(t, testSettings(1, true, false, false), 1)
		h.d.workers[1].ceiling = 8
		var requests []*testRequest
		for range 4 {
			req := h.newRequest(2, time.Second)
			req.UntilDeadline = untilDeadline
			h.handle(req.Request)
			requests = append(requests, req)
		}
		for range 50 { // past the aim of 150 ms and the time in which it could still end in time, before the deadline
			h.now += 10 * ms
			h.handle(TimerFired{})
		}
		for i, req := range requests {
			if len(req.attempts) != 1 || req.answered == untilDeadline {
				t.Errorf("until deadline %v: request %d: got %d attempts, cancelled %v", untilDeadline, i, len(req.attempts), req.answered)
			}
		}
	}
}

// TestUntilDeadlineRequestsAreNotRefusedAtTheirAim guards against refusing a job with UntilDeadline that finds no room
// until its class's aim: it comes again after ever longer pauses and may miss the moments when there is room.
func TestUntilDeadlineRequestsAreNotRefusedAtTheirAim(t *testing.T) {
	for _, untilDeadline := range []bool{false, true} {
		h := newReadyHarness(t, testSettings(1, true, false, false), 1)
		h.d.workers[1].ceiling = 1
		_, running := h.sendRequest(2)
		h.handle(JobStarted{running.ID, 0})
		h.d.workers[1].ceiling = 1
		var requests []*testRequest
		for range 3 { // more than the last resort sends
			req := h.newRequest(2, time.Second)
			req.UntilDeadline = untilDeadline
			h.handle(req.Request)
			requests = append(requests, req)
		}
		for range 30 { // past the aim of 150 ms, before the deadline
			h.now += 10 * ms
			h.handle(TimerFired{})
		}
		for i, req := range requests {
			if len(req.attempts) != 0 || req.answered == untilDeadline {
				t.Errorf("until deadline %v: request %d: got %d attempts, answered %v", untilDeadline, i, len(req.attempts), req.answered)
			}
		}
		h.handle(h.endAttempt(running, 0, OK, nil))
		if untilDeadline && len(requests[0].attempts) != 1 {
			t.Errorf("request with UntilDeadline not sent once there was room")
		}
	}
}

// TestUntilDeadlineRequestsWaitLongerForConfirmation guards against a job with UntilDeadline that is sent to a second
// worker, and so runs twice, only because the first took longer than half of its class's aim to confirm it.
func TestUntilDeadlineRequestsWaitLongerForConfirmation(t *testing.T) {
	for untilDeadline, within := range map[bool]time.Duration{false: 60 * ms, true: 260 * ms} { // just past half of the aim of 100 ms, and five times that
		h := newReadyHarness(t, testSettings(1, false, false, false), 3)
		h.d.confirmsAttempts = true
		req := h.newRequest(0, time.Second)
		req.UntilDeadline = untilDeadline
		h.handle(req.Request)
		start := h.now
		for cancelled := false; !cancelled; {
			h.now += 10 * ms
			for _, a := range h.handle(TimerFired{}) {
				_, ok := a.(Cancel)
				cancelled = cancelled || ok
			}
			require.LessOrEqual(t, h.now-start, within, "until deadline %v", untilDeadline)
		}
		require.Equal(t, within, h.now-start, "until deadline %v", untilDeadline)
	}
}

// TestUnsentFirstAttemptRefundsNoFurtherAttempt guards against an unsent first attempt that removes another request's
// further attempt from the budget, so that one more than allowed goes out.
func TestUnsentFirstAttemptRefundsNoFurtherAttempt(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 2)
	req := h.newRequest(0, time.Second)
	h.handle(req.Request)
	r := h.d.requests[req.ID]
	r.attempts = append(r.attempts, &attempt{worker: r.attempts[0].worker, sentAt: h.now, lastReport: h.now})
	r.outstanding++
	h.d.extraAttempts = []time.Duration{h.now} // another request's, at the same time
	h.d.Handle(h.now, []Event{AttemptEnded{Request: req.ID, Outcome: NotSent}})
	if len(h.d.extraAttempts) != 1 {
		t.Errorf("got %d further attempts in the budget, want the one that was sent", len(h.d.extraAttempts))
	}
}
