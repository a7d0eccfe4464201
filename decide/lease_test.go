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
	w := newHarness(t, s)
	w.now = time.Hour
	started := w.now - time.Second
	w.list[1] = Worker{ID: 1, State: Ready, Started: started}
	w.handle(ListDelta{Workers: []Worker{w.list[1]}})
	asked := 0
	sent := func() (n int) {
		for _, j := range w.requests {
			n += len(j.attempts)
		}
		return n
	}
	try := func(l ...Event) int {
		before := sent()
		j := w.newRequest(0, 10*time.Second)
		for _, a := range w.d.Handle(w.now, append(l, j.Request)) {
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
	if n := try(); n != 0 || asked != 1 {
		t.Errorf("%d jobs sent without a lease, %d asked for", n, asked)
	}
	lease := Lease{ID: 7, Worker: 1, Started: started, Work: 1, Until: w.now + 400*ms}
	stale := lease
	stale.Started -= time.Second
	small := lease
	small.Work = 1e-6
	if n := try(stale, small); n != 0 {
		t.Errorf("%d jobs sent by the leases of another process and of less work", n)
	}
	if n := try(lease); n != 1 {
		t.Errorf("%d jobs sent by one lease", n)
	}
	w.now += 100 * ms
	if n := try(); n != 0 {
		t.Errorf("%d jobs sent by a spent lease", n)
	}
	lease.Until = w.now + 100*ms
	w.now += 100 * ms
	if n := try(lease); n != 0 {
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
		w := newHarness(t, s)
		w.now = time.Hour
		w.list[1] = Worker{ID: 1, State: Ready, Started: w.now}
		w.handle(ListDelta{Workers: []Worker{w.list[1]}})
		wk := w.d.workers[1]
		warm := s.Rules.ColdFrom
		gap := (w.d.coldAt(wk, w.d.now, 0.01) - w.d.now).Seconds()
		if warm += (1 - warm) * gap / s.Rules.Cold.Seconds(); gap*0.25/64*coldShare*s.Rules.FallMultiple*warm < 0.0099 {
			t.Errorf("10 ms of work each %v s is more than a place's part", gap)
		}
		if w.d.coldTurn(wk, &request{Request: Request{Slots: 1}, c: w.d.classes[0]}) && turn < 0 {
			t.Error("a dispatcher without a place has a turn")
		}
	}
	s := testSettings(1, false, true, false)
	s.Leasing = Leasing{On: true, Turn: 64, Turns: 64, Share: 0.25}
	if _, err := New(s); err == nil {
		t.Error("a turn beyond all turns is taken")
	}
}
