package decide

import (
	"testing"
	"time"
)

// TestOrderOfARequest: a request that brings its own order goes to the first of it that is valid, moves on
// along it, and nowhere else, however free others are.
func TestRequestFollowsItsOwnOrder(t *testing.T) {
	s := testSettings(1, false, true, false)
	h := newReadyHarness(t, s, 4)
	send := func(order ...uint32) (got uint32) {
		req := h.newRequest(0, time.Second)
		req.Order = order
		for _, a := range h.d.Handle(h.now, []Event{req.Request}) {
			if a, ok := a.(Send); ok {
				got = a.Worker
			}
		}
		return got
	}
	if got := send(3, 1); got != 3 {
		t.Errorf("the first of the order is 3, it went to %d", got)
	}
	if got := send(3, 1); got != 1 {
		t.Errorf("3 is full and 1 next, it went to %d", got)
	}
	if got := send(3, 1); got != 0 {
		t.Errorf("both are full, it went to %d, which is none of them", got)
	}
	h.d.Handle(h.now, []Event{ListDelta{Workers: []Worker{{ID: 2, State: Draining}}}})
	if got := send(2, 4); got != 4 {
		t.Errorf("2 drains, it went to %d", got)
	}
}

// TestOrderGoesBeforeFirstJobs: a worker put back by hand is owed a job, but not one that may not go there: a rerun that was
// narrowed to other sites could come to the worker that had spoilt it.
func TestOrderOverridesFirstJobs(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Dispatchers, s.Rules.Cold, s.Rules.ColdFrom = 3, 20*time.Second, 0.14
	h := newReadyHarness(t, s, 4)
	h.handle(Cordon{Worker: 2, Out: true})
	h.now += time.Second
	h.handle(Cordon{Worker: 2})
	for end := h.now + owedWithin; h.now < end; {
		h.now += 20 * ms
		req := h.newRequest(0, time.Second)
		req.Order = []uint32{3}
		for _, a := range h.handle(Wake{}, req.Request) {
			if a, ok := a.(Send); ok && a.Worker != 3 {
				t.Fatalf("it may go to 3 alone, it went to %d", a.Worker)
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

// TestOrderHoldsPastTheAim guards against a request that brings its own order and, once it has waited for its aim, is sent
// to any worker.
func TestOrderStillAppliesPastTheAim(t *testing.T) {
	for seed := range uint64(20) {
		h := newReadyHarness(t, testSettings(seed, true, false, false), 4)
		h.d.Handle(h.now, []Event{ListDelta{Workers: []Worker{{ID: 3, State: Draining}}}})
		req := h.newRequest(0, time.Second)
		req.Order = []uint32{3}
		h.handle(req.Request)
		for range 100 {
			h.now += 10 * ms
			for _, a := range h.handle(Wake{}) {
				if a, ok := a.(Send); ok {
					t.Fatalf("seed %d: it may go to 3 alone, it went to %d at %v", seed, a.Worker, h.now)
				}
			}
		}
	}
}
