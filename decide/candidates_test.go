package decide

import (
	"testing"
	"time"
)

// TestRequestGoesToItsCandidates checks that a request with Candidates goes to the first valid one of them, and to no
// others, however free these are.
func TestRequestGoesToItsCandidates(t *testing.T) {
	s := testSettings(1, false, true, false)
	h := newReadyHarness(t, s, 4)
	send := func(order ...uint32) (got uint32) {
		req := h.newRequest(0, time.Second)
		req.Candidates = order
		for _, a := range h.d.Handle(h.now, []Event{req.Request}) {
			if a, ok := a.(Send); ok {
				got = a.Worker
			}
		}
		return got
	}
	if got := send(3, 1); got != 3 {
		t.Errorf("got worker %d, want 3, the first candidate", got)
	}
	if got := send(3, 1); got != 1 {
		t.Errorf("got worker %d, want 1, as 3 is full", got)
	}
	if got := send(3, 1); got != 0 {
		t.Errorf("got worker %d, want none, as both are full", got)
	}
	h.d.Handle(h.now, []Event{ListDelta{Workers: []Worker{{ID: 2, State: Draining}}}})
	if got := send(2, 4); got != 4 {
		t.Errorf("got worker %d, want 4, as 2 drains", got)
	}
}

// TestCandidatesOverrideFirstJobs guards against sending a request to a worker outside its Candidates because that has
// been uncordoned and is due a first job.
func TestCandidatesOverrideFirstJobs(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.DispatcherCount, s.Rules.Cold, s.Rules.ColdFrom = 3, 20*time.Second, 0.14
	h := newReadyHarness(t, s, 4)
	h.handle(Cordon{Worker: 2, Cordoned: true})
	h.now += time.Second
	h.handle(Cordon{Worker: 2})
	for end := h.now + uncordonedWithin; h.now < end; {
		h.now += 20 * ms
		req := h.newRequest(0, time.Second)
		req.Candidates = []uint32{3}
		for _, a := range h.handle(TimerFired{}, req.Request) {
			if a, ok := a.(Send); ok && a.Worker != 3 {
				t.Fatalf("got worker %d, want only 3", a.Worker)
			}
		}
		for _, req := range h.requests {
			for i, att := range req.attempts {
				if !att.over && h.now-att.sent >= 60*ms {
					h.handle(h.endAttempt(req, i, OK, nil))
				}
			}
		}
	}
}

// TestCandidatesStillApplyPastTheAim guards against sending a request with Candidates to any other worker once it has
// waited until its aim.
func TestCandidatesStillApplyPastTheAim(t *testing.T) {
	for seed := range uint64(20) {
		h := newReadyHarness(t, testSettings(seed, true, false, false), 4)
		h.d.Handle(h.now, []Event{ListDelta{Workers: []Worker{{ID: 3, State: Draining}}}})
		req := h.newRequest(0, time.Second)
		req.Candidates = []uint32{3}
		h.handle(req.Request)
		for range 100 {
			h.now += 10 * ms
			for _, a := range h.handle(TimerFired{}) {
				if a, ok := a.(Send); ok {
					t.Fatalf("seed %d: got worker %d at %v, want only 3", seed, a.Worker, h.now)
				}
			}
		}
	}
}
