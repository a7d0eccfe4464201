package decide

import (
	"testing"
	"time"
)

// TestColdWorkerGetsOneJobPerLease checks that a dispatcher without turns sends a cold worker exactly the jobs that it
// has leases for: none after a lease ends, and none by a lease for the worker's previous process.
func TestColdWorkerGetsOneJobPerLease(t *testing.T) {
	s := testSettings(1, false, true, false)
	s.Leasing = Leasing{Enabled: true, Turn: -1, Turns: 64, Share: 0.25}
	h := newHarness(t, s)
	h.now = time.Hour
	started := h.now - time.Second
	h.list[1] = Worker{ID: 1, State: Ready, Started: started}
	h.handle(ListDelta{Workers: []Worker{h.list[1]}})
	asked := 0
	sent := func() (n int) {
		for _, req := range h.requests {
			n += len(req.attempts)
		}
		return n
	}
	sendWith := func(leases ...Event) int {
		before := sent()
		req := h.newRequest(0, 10*time.Second)
		for _, a := range h.d.Handle(h.now, append(leases, req.Request)) {
			switch a := a.(type) {
			case RequestLease:
				if asked++; a.Worker != 1 || a.Started != started || a.Work <= 0 {
					t.Errorf("got lease request %+v, want one for the worker's process with some work", a)
				}
			case Send:
				if a.Lease != 7 {
					t.Errorf("sent by lease %d, want 7", a.Lease)
				}
				before--
			}
		}
		return sent() - before
	}
	if n := sendWith(); n != 0 || asked != 1 {
		t.Errorf("got %d jobs sent without a lease and %d leases requested, want 0 and 1", n, asked)
	}
	lease := Lease{ID: 7, Worker: 1, Started: started, Work: 1, Until: h.now + 400*ms}
	stale := lease
	stale.Started -= time.Second
	small := lease
	small.Work = 1e-6
	if n := sendWith(stale, small); n != 0 {
		t.Errorf("got %d jobs sent by leases of another process or for less work, want 0", n)
	}
	if n := sendWith(lease); n != 1 {
		t.Errorf("got %d jobs sent by one lease, want 1", n)
	}
	h.now += 100 * ms
	if n := sendWith(); n != 0 {
		t.Errorf("got %d jobs sent by a spent lease, want 0", n)
	}
	lease.Until = h.now + 100*ms
	h.now += 100 * ms
	if n := sendWith(lease); n != 0 {
		t.Errorf("got %d jobs sent by an expired lease, want 0", n)
	}
	if asked < 2 {
		t.Errorf("got %d lease requests, want at least 2", asked)
	}
}

// TestFixedTurnsKeepToTheirShare checks that all fixed turns together stay within their share of the
// budget.
func TestFixedTurnsKeepToTheirShare(t *testing.T) {
	for _, turn := range []int{0, 63, -1} {
		s := testSettings(1, false, true, false)
		s.Leasing = Leasing{Enabled: true, Turn: turn, Turns: 64, Share: 0.25}
		h := newHarness(t, s)
		h.now = time.Hour
		h.list[1] = Worker{ID: 1, State: Ready, Started: h.now}
		h.handle(ListDelta{Workers: []Worker{h.list[1]}})
		wk := h.d.workers[1]
		warmth := s.Rules.ColdFrom
		gap := (h.d.coldBudgetAt(wk, h.d.now, 0.01) - h.d.now).Seconds()
		if warmth += (1 - warmth) * gap / s.Rules.Cold.Seconds(); gap*0.25/64*coldBudgetShare*s.Rules.FallMultiple*warmth < 0.0099 {
			t.Errorf("got a turn for 10 ms of work every %v s, more than the share of one turn", gap)
		}
		if h.d.coldTurn(wk, &request{Request: Request{Slots: 1}, class: h.d.classes[0]}) && turn < 0 {
			t.Error("a dispatcher without a fixed turn got one")
		}
	}
	s := testSettings(1, false, true, false)
	s.Leasing = Leasing{Enabled: true, Turn: 64, Turns: 64, Share: 0.25}
	if _, err := New(s); err == nil {
		t.Error("turn out of range: got no error")
	}
}
