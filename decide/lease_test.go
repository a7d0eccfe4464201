package decide

import (
	"testing"
	"time"
)

// TestColdWorkersByLease: a dispatcher that has no turn sends a cold worker exactly the jobs that it was
// granted leases for, not after they end, and none meant for the process before.
func TestColdWorkerGetsOneJobPerLease(t *testing.T) {
	s := testSettings(1, false, true, false)
	s.Leasing = Leasing{On: true, Turn: -1, Turns: 64, Share: 0.25}
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
			case WantLease:
				if asked++; a.Worker != 1 || a.Started != started || a.Work <= 0 {
					t.Errorf("asked for %+v", a)
				}
			case Send:
				if a.Lease != 7 {
					t.Errorf("sent by lease %d", a.Lease)
				}
				before--
			}
		}
		return sent() - before
	}
	if n := sendWith(); n != 0 || asked != 1 {
		t.Errorf("%d jobs sent without a lease, %d asked for", n, asked)
	}
	lease := Lease{ID: 7, Worker: 1, Started: started, Work: 1, Until: h.now + 400*ms}
	stale := lease
	stale.Started -= time.Second
	small := lease
	small.Work = 1e-6
	if n := sendWith(stale, small); n != 0 {
		t.Errorf("%d jobs sent by the leases of another process and of less work", n)
	}
	if n := sendWith(lease); n != 1 {
		t.Errorf("%d jobs sent by one lease", n)
	}
	h.now += 100 * ms
	if n := sendWith(); n != 0 {
		t.Errorf("%d jobs sent by a spent lease", n)
	}
	lease.Until = h.now + 100*ms
	h.now += 100 * ms
	if n := sendWith(lease); n != 0 {
		t.Errorf("%d jobs sent by a lease that has ended", n)
	}
	if asked < 2 {
		t.Errorf("asked %d times", asked)
	}
}

// TestTurnsBesideLeases: the fixed turns of all places together keep to their share of the budget.
func TestFixedTurnsKeepToTheirShare(t *testing.T) {
	for _, turn := range []int{0, 63, -1} {
		s := testSettings(1, false, true, false)
		s.Leasing = Leasing{On: true, Turn: turn, Turns: 64, Share: 0.25}
		h := newHarness(t, s)
		h.now = time.Hour
		h.list[1] = Worker{ID: 1, State: Ready, Started: h.now}
		h.handle(ListDelta{Workers: []Worker{h.list[1]}})
		wk := h.d.workers[1]
		warmth := s.Rules.ColdFrom
		gap := (h.d.coldAt(wk, h.d.now, 0.01) - h.d.now).Seconds()
		if warmth += (1 - warmth) * gap / s.Rules.Cold.Seconds(); gap*0.25/64*coldShare*s.Rules.FallMultiple*warmth < 0.0099 {
			t.Errorf("10 ms of work each %v s is more than a place's part", gap)
		}
		if h.d.coldTurn(wk, &request{Request: Request{Slots: 1}, c: h.d.classes[0]}) && turn < 0 {
			t.Error("a dispatcher without a place has a turn")
		}
	}
	s := testSettings(1, false, true, false)
	s.Leasing = Leasing{On: true, Turn: 64, Turns: 64, Share: 0.25}
	if _, err := New(s); err == nil {
		t.Error("a turn beyond all turns is taken")
	}
}
