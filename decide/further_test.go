package decide

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGivenUpAtOnce: each way of giving up a request is answered in the turn in which it is
// given up; a keyed one past its window and a moved unsafe one were once held to the aim.
func TestRequestWithoutAttemptsLeftIsAnsweredAtOnce(t *testing.T) {
	tests := []struct {
		name     string
		class    int
		attempts int // the cap
		outcomes []Outcome
		wait     time.Duration
		refused  bool
	}{
		{"unsafe that may have run", 2, 6, []Outcome{Reset}, 0, false},
		{"unsafe, called off in a queue", 2, 6, []Outcome{Cancelled}, 50 * ms, false},
		{"keyed past its window", 1, 6, []Outcome{Reset}, 310 * ms, false},
		{"keyed at the cap", 1, 1, []Outcome{Reset}, 0, false},
		{"safe at the cap", 0, 2, []Outcome{Full, Full}, 0, true},
		{"failed at two workers", 0, 6, []Outcome{Errored, Errored}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings(1, false, false, false)
			s.Limits.Attempts, s.Progress = tt.attempts, 0
			w := newReadyHarness(t, s, 4)
			_, j := w.sendRequest(tt.class)
			w.now += tt.wait
			var last []Action
			for n, o := range tt.outcomes {
				if n >= len(j.attempts) {
					t.Fatalf("no attempt %d", n)
				}
				last = w.handle(w.endAttempt(j, n, o, nil))
			}
			if !j.answered {
				t.Fatal("held though no attempt is left to it")
			}
			for _, a := range last {
				if r, ok := a.(Refuse); ok != tt.refused && !ok {
					continue
				} else if ok && (r.RetryAfter > 0) != (tt.outcomes[0] == Errored) {
					t.Errorf("refused with a time to come back of %v", r.RetryAfter)
				}
			}
		})
	}
}

// TestKeyedWindowEndsWhileHeld: the window may end while a request is held; then it is
// answered at the next sweep.
func TestKeyedWindowEndsWhileHeld(t *testing.T) {
	s := testSettings(1, false, false, false)
	s.Progress, s.Classes[1].Aim = 0, 900*ms
	w := newReadyHarness(t, s, 1)
	_, j := w.sendRequest(1)
	w.handle(w.endAttempt(j, 0, Reset, nil)) // its only worker is struck: held
	for w.now < j.due-600*ms {
		w.now += 10 * ms
		w.d.workers[1].retryAt = w.now + time.Second
		w.handle(Wake{})
	}
	if !j.answered {
		t.Error("still held, though its window is over")
	}
}

// TestOverShare: a tenant far beyond its share is told from the others, also where one
// dispatcher gets more of everybody's traffic; where none is, nobody's requests go last.
func TestTenantOverItsShareIsRecognized(t *testing.T) {
	tests := []struct {
		name   string
		rates  []int // requests in a tenth of a second
		lo, hi float64
	}{
		{"all inside", []int{2, 2, 2}, 0, 0},
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
						if d.overShare(tenant) {
							over[tenant] += 1 / float64(200*n)
						}
					}
				}
			}
			if over[0] < tt.lo || over[0] > tt.hi {
				t.Errorf("%.2f of the first tenant's are over its share, want %v to %v", over[0], tt.lo, tt.hi)
			}
			if over[1]+over[2] > 0.02 {
				t.Errorf("%.2f and %.2f of the others' are over", over[1], over[2])
			}
		})
	}
	if newHarness(t, testSettings(1, true, false, false)).d.overShare(3) {
		t.Error("a tenant where there are none is over its share")
	}
}

// TestOverShareLeavesRoom: what is over its tenant's share gets half of a worker's room.
func TestOverShareRequestsGetHalfOfAWorker(t *testing.T) {
	w := newReadyHarness(t, testSettings(1, true, false, false), 1)
	wk := w.d.workers[1]
	wk.ceiling = 4
	for i := range 4 {
		r := &request{Request: Request{Slots: 1}, c: w.d.classes[0], due: w.now + time.Second, over: true}
		if got := w.d.valid(r, wk, Invalidate{MaxConcurrentInvocations, 100}); got != (i < 2) {
			t.Errorf("with %d at work: room %v", i, got)
		}
		wk.own++
	}
}

// TestCeilingFromEnds: where no start is told, jobs that end in time raise the ceiling; it
// stayed at one job, and what was let out after refusals never rose again.
func TestCeilingIsLearnedFromJobEnds(t *testing.T) {
	for _, run := range []time.Duration{50 * ms, 800 * ms} {
		s := testSettings(1, false, false, false)
		s.Progress = 0
		w := newReadyHarness(t, s, 1)
		w.d.admitted, w.d.tokens = 0.5, mostTokens
		w.d.classes[0].jobs, w.d.classes[0].logRun = 50, -3 // 50 ms is usual
		for range 6 {
			w.sendRequest(0)
			w.now += run
			for _, id := range w.active {
				if j := w.requests[id]; len(j.attempts) > 0 && !j.attempts[0].over {
					w.handle(w.endAttempt(j, 0, OK, nil))
				}
			}
		}
		if up := w.d.workers[1].ceiling > 1; up != (run < 100*ms) {
			t.Errorf("runs of %v: ceiling %v", run, w.d.workers[1].ceiling)
		}
		if w.d.admitted <= 0.5 {
			t.Errorf("runs of %v: let out %v", run, w.d.admitted)
		}
	}
}

// TestGhostsAreProbed: once first jobs at workers that the list alone knows come to nothing,
// the others like them are probed first and get no unsafe job; an answer makes one usual.
// Without probes, or before any worker has served, nothing is held against newcomers.
func TestUnprovenWorkersAreProbed(t *testing.T) {
	for _, probes := range []bool{true, false} {
		s := testSettings(1, false, false, false)
		s.Limits.Probes, s.Progress = probes, 0
		w := newReadyHarness(t, s, 2)
		for range 2 { // the first two serve
			_, j := w.sendRequest(0)
			_, k := w.sendRequest(0)
			w.now += 20 * ms
			w.handle(w.endAttempt(j, 0, OK, nil), w.endAttempt(k, 0, OK, nil))
		}
		lines := readyWorkers(10)
		for _, l := range lines {
			w.list[l.ID] = l
		}
		w.handle(ListFull{Workers: lines})
		for range 4 {
			w.d.fresh.add(true, freshMemory)
		}
		w.now += 500 * ms
		w.d.stale, w.d.ordered = true, 0
		asked := map[uint32]bool{}
		for _, a := range w.handle(Wake{}) {
			if p, ok := a.(Probe); ok {
				asked[p.Worker] = true
			}
		}
		if want := 0; probes && len(asked) != 8 || !probes && len(asked) != want {
			t.Errorf("probes allowed %v: %d were probed", probes, len(asked))
		}
		if trusted := w.d.workers[5].strikes == 0; trusted == probes {
			t.Errorf("probes allowed %v: a newcomer is trusted %v", probes, trusted)
		}
		try := &request{Request: Request{Slots: 1}, c: w.d.classes[0], due: w.now + time.Minute}
		for n := range freshProbes + 1 {
			wk := w.d.workers[7]
			wk.probes, wk.retryAt = n, w.now
			if ok := w.d.valid(try, wk, Invalidate{MaxConcurrentInvocations, 9}); probes && ok != (n == freshProbes) {
				t.Errorf("after %d unanswered probes a trial: %v", n, ok)
			}
		}
		w.handle(Probed{Worker: 5, Outcome: OK}, Probed{Worker: 6, Outcome: TimedOut}, Probed{Worker: 99, Outcome: OK})
		if w.d.workers[5].strikes != 0 || probes && w.d.workers[6].strikes == 0 {
			t.Error("an answered probe did not clear its worker, or a lost one did")
		}
	}
}

// TestProbesAreNoVerdict: lost probes cost a worker that serves nothing.
func TestLostProbesDoNotBarAServingWorker(t *testing.T) {
	w := newReadyHarness(t, testSettings(1, false, false, false), 1)
	_, j := w.sendRequest(0)
	w.handle(w.endAttempt(j, 0, OK, nil))
	for range 20 {
		w.handle(Probed{Worker: 1, Outcome: TimedOut}, Probed{Worker: 1, Outcome: Errored})
	}
	if got, _ := w.sendRequest(2); got != 1 {
		t.Error("a worker that serves is left for its probes")
	}
}

// TestSilentWorkerIsLeft: where neither starts nor progress are told, a worker that shows no
// life for some typical runs is struck, and a repeatable job gets a second copy elsewhere.
func TestSilentWorkerIsSuspected(t *testing.T) {
	s := testSettings(1, false, false, false)
	s.Progress = 0
	w := newReadyHarness(t, s, 2)
	first, j := w.sendRequest(0)
	for range 60 {
		w.now += 10 * ms
		w.handle(Wake{})
	}
	if w.d.workers[first].strikes == 0 || len(j.attempts) != 2 || j.attempts[1].worker.ID == first {
		t.Errorf("strikes %d, attempts %d", w.d.workers[first].strikes, len(j.attempts))
	}
}

// TestUnconfirmedJobMoves: on a connection that has gone silent a job was waited for until its
// deadline, since its worker went on showing life elsewhere. What must not run twice stays.
func TestUnconfirmedJobMoves(t *testing.T) {
	for class, confirmed := range []bool{false, true, false} {
		class = map[int]int{0: 0, 1: 0, 2: 2}[class]
		w := newReadyHarness(t, testSettings(1, true, false, false), 2)
		_, first := w.sendRequest(0)
		w.handle(Taken{first.ID, 0}, JobStarted{first.ID, 0})
		_, j := w.sendRequest(class)
		if confirmed {
			w.handle(Taken{j.ID, 0})
		}
		cancelled := false
		for range 40 {
			w.now += 10 * ms
			w.d.wakeAt = w.now
			for _, a := range w.handle(Wake{}, JobProgress{first.ID, 0, 0.5}) {
				c, ok := a.(Cancel)
				cancelled = cancelled || ok && c.Request == j.ID
			}
		}
		if lost := w.d.requests[j.ID] != nil && w.d.requests[j.ID].attempts[0].lost; lost != (!confirmed && class == 0) || lost && !cancelled {
			t.Errorf("class %d, confirmed %v: given up %v", class, confirmed, lost)
		}
	}
}

// TestWhatWasNeverSentIsNoAttempt: while the pool of connections was full, or a request's only encoder had not confirmed
// that an earlier attempt was given up, each attempt came back as never sent at once and counted: a request had used up
// its three in one moment, and its client was refused long before its deadline.
func TestUnsentAttemptsAreNotCounted(t *testing.T) {
	w := newReadyHarness(t, testSettings(1, true, false, false), 1)
	j := w.newRequest(0, time.Second)
	w.handle(j.Request)
	begun, room := w.now, w.now+80*ms
	for w.now < room {
		if n := len(j.attempts) - 1; !j.attempts[n].over {
			w.handle(w.endAttempt(j, n, Moot, nil))
		}
		w.now += ms
		w.handle(Wake{})
	}
	if j.answered {
		t.Fatalf("answered after %d attempts that were never sent", len(j.attempts))
	}
	if len(j.attempts) > 20 {
		t.Errorf("%d attempts in %v that could not be sent: no pause between them", len(j.attempts), w.now-begun)
	}
	for w.now < room+100*ms && j.attempts[len(j.attempts)-1].over {
		w.now += ms
		w.handle(Wake{})
	}
	n := len(j.attempts) - 1
	if j.attempts[n].over {
		t.Fatalf("not sent again within %v of room", w.now-room)
	}
	w.handle(w.endAttempt(j, n, OK, nil))
	if !j.answered {
		t.Error("no answer")
	}
}

// TestPatientJobsAreNotCalledOffWhileTheyQueue guards against a promised job that must not run twice and is given up, perhaps
// run, only because it queues at its worker past its class's aim.
func TestPatientRequestsAreNotCancelledWhileQueued(t *testing.T) {
	for _, patient := range []bool{false, true} {
		w := newReadyHarness(t, testSettings(1, true, false, false), 1)
		w.d.workers[1].ceiling = 8
		var jobs []*testRequest
		for range 4 {
			j := w.newRequest(2, time.Second)
			j.Patient = patient
			w.handle(j.Request)
			jobs = append(jobs, j)
		}
		for range 50 { // past the aim of 150 ms and what still ends in time, short of the deadline
			w.now += 10 * ms
			w.handle(Wake{})
		}
		for i, j := range jobs {
			if len(j.attempts) != 1 || j.answered == patient {
				t.Errorf("patient %v: job %d has %d attempts, called off %v", patient, i, len(j.attempts), j.answered)
			}
		}
	}
}

// TestPatientJobsAreNotRefusedAtTheirAim guards against a promised job that finds no room, is refused at its class's aim, and
// comes again after ever longer pauses, so that it may miss all the room that there is.
func TestPatientRequestsAreNotRefusedAtTheirAim(t *testing.T) {
	for _, patient := range []bool{false, true} {
		w := newReadyHarness(t, testSettings(1, true, false, false), 1)
		w.d.workers[1].ceiling = 1
		_, running := w.sendRequest(2)
		w.handle(JobStarted{running.ID, 0})
		w.d.workers[1].ceiling = 1
		var jobs []*testRequest
		for range 3 { // more than are sent as a last resort
			j := w.newRequest(2, time.Second)
			j.Patient = patient
			w.handle(j.Request)
			jobs = append(jobs, j)
		}
		for range 30 { // past the aim of 150 ms, short of the deadline
			w.now += 10 * ms
			w.handle(Wake{})
		}
		for i, j := range jobs {
			if len(j.attempts) != 0 || j.answered == patient {
				t.Errorf("patient %v: job %d has %d attempts, answered %v", patient, i, len(j.attempts), j.answered)
			}
		}
		w.handle(w.endAttempt(running, 0, OK, nil))
		if patient && len(jobs[0].attempts) != 1 {
			t.Errorf("not sent once there was room")
		}
	}
}

// TestPatientJobsAreConfirmedLater guards against a promised job that is sent to a second worker, and so runs twice, only because
// the first took over half of its class's aim to confirm it.
func TestPatientRequestsWaitLongerForConfirmation(t *testing.T) {
	for patient, within := range map[bool]time.Duration{false: 60 * ms, true: 260 * ms} { // past half of the aim of 100 ms, and five times that
		w := newReadyHarness(t, testSettings(1, false, false, false), 3)
		w.d.confirms = true
		j := w.newRequest(0, time.Second)
		j.Patient = patient
		w.handle(j.Request)
		began := w.now
		for takenBack := false; !takenBack; {
			w.now += 10 * ms
			for _, a := range w.handle(Wake{}) {
				_, is := a.(Cancel)
				takenBack = takenBack || is
			}
			require.LessOrEqual(t, w.now-began, within, "patient %v", patient)
		}
		require.Equal(t, within, w.now-began, "patient %v", patient)
	}
}

// TestUnsentFirstAttemptsLeaveTheBudgetOfOthers guards against a first attempt that was never sent and takes another request's
// further attempt out of the budget, so that one more than allowed could go out.
func TestUnsentFirstAttemptRefundsNoFurtherAttempt(t *testing.T) {
	w := newReadyHarness(t, testSettings(1, true, false, false), 2)
	j := w.newRequest(0, time.Second)
	w.handle(j.Request)
	r := w.d.requests[j.ID]
	r.attempts = append(r.attempts, &attempt{w: r.attempts[0].w, sent: w.now, note: w.now})
	r.out++
	w.d.extras = []time.Duration{w.now} // another request's, of the same moment
	w.d.Handle(w.now, []Event{AttemptEnded{Request: j.ID, Outcome: Moot}})
	if len(w.d.extras) != 1 {
		t.Errorf("%d further attempts are counted, one was sent", len(w.d.extras))
	}
}
