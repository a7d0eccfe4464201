package decide

import (
	"slices"
	"testing"
	"time"
)

// TestEffectOfListEntries checks which entries of the list end a worker's use. A process once listed as draining stays
// so, even when a stale list returns.
func TestEffectOfListEntries(t *testing.T) {
	ready := Worker{ID: 1, State: Ready, Started: time.Minute}
	change := func(s WorkerState, started time.Duration) ListDelta {
		return ListDelta{Workers: []Worker{{ID: 1, State: s, Started: started}}}
	}
	tests := []struct {
		name   string
		advice bool
		events []Event
		want   bool // the worker still gets requests
	}{
		{"ready", true, nil, true},
		{"gone is binding", false, []Event{change(Gone, time.Minute)}, false},
		{"omitted is binding", false, []Event{ListFull{}}, false},
		{"gone is advice", true, []Event{change(Gone, time.Minute)}, true},
		{"omitted is advice", true, []Event{ListFull{}}, true},
		{"draining is binding", true, []Event{change(Draining, time.Minute)}, false},
		{"draining, then gone", true, []Event{change(Draining, time.Minute), change(Gone, time.Minute)}, false},
		{"draining, then omitted", true, []Event{change(Draining, time.Minute), ListFull{}}, false},
		{"draining, then a stale list", true, []Event{change(Draining, time.Minute), ListFull{Workers: []Worker{ready}}}, false},
		{"draining and gone, then a stale list", true,
			[]Event{change(Draining, time.Minute), change(Gone, 0), ListFull{}, ListFull{Workers: []Worker{ready}}}, false},
		{"draining, then a new process", true, []Event{change(Draining, time.Minute), change(Ready, time.Minute+1)}, true},
		{"a list of an earlier process", true, []Event{change(Ready, 1)}, true},
		{"named twice, draining first", true,
			[]Event{ListFull{Workers: []Worker{{ID: 1, State: Draining, Started: time.Minute}, ready}}}, false},
		{"gone, never listed", true, []Event{ListDelta{Workers: []Worker{{ID: 9, State: Gone}}}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings(1, true, false, false)
			s.Rules.GoneIsAdvisory = tt.advice
			h := newHarness(t, s)
			h.list[1] = ready
			h.handle(ListFull{Workers: []Worker{ready}})
			h.d.workers[1].lastAlive = h.now // it has shown a sign of life
			h.handle(tt.events...)
			h.now += time.Second // the fleet has been sorted again by then
			if got, _ := h.sendRequest(0); (got == 1) != tt.want {
				t.Errorf("worker used: got %v, want %v", got == 1, tt.want)
			}
		})
	}
}

// TestUnlistedWorkerIsDroppedAfterItsFirstFailure checks that an unlisted worker is used while it serves, and not
// after an attempt there fails, unless no other worker is left. The list can bring it back.
func TestUnlistedWorkerIsDroppedAfterItsFirstFailure(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Rules.GoneIsAdvisory = true
	h := newReadyHarness(t, s, 2)
	first, req := h.sendRequest(0)
	h.handle(h.endAttempt(req, 0, OK, nil))
	h.handle(ListDelta{Workers: []Worker{{ID: first, State: Gone}}})
	again, req := h.sendRequest(0)
	if again != first {
		t.Fatalf("got worker %d instead of the unlisted one that serves", again)
	}
	h.handle(h.endAttempt(req, 0, ConnectFailed, nil))
	for range 40 {
		h.now += 500 * ms
		got, req := h.sendRequest(0)
		if got == first {
			t.Fatal("unlisted worker used again after a failure")
		}
		if got != 0 {
			h.handle(JobStarted{req.ID, 0}, h.endAttempt(req, 0, OK, nil))
		}
	}
	h.handle(ListFull{Workers: readyWorkers(2)})
	h.now += 500 * ms
	if h.sendRequest(0); len(h.d.fleet) != 2 {
		t.Error("worker not used after it was listed again")
	}
}

// TestUnlistedWorkersAreBounded checks that lists that always name new workers leave no more old ones behind than one
// list holds.
func TestUnlistedWorkersAreBounded(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Rules.GoneIsAdvisory = true
	h := newHarness(t, s)
	for i := range uint32(50) {
		lines := []Worker{{ID: 3 * i, State: Ready}, {ID: 3*i + 1, State: Ready}, {ID: 3*i + 2, State: Draining}}
		h.handle(ListFull{Workers: lines})
	}
	if n := len(h.d.workers); n > 6 {
		t.Errorf("got %d workers in memory, want at most 6", n)
	}
}

// TestStaleListDoesNotMakeAWorkerWarm checks that a stale list, with an earlier start of a worker that has restarted
// since, does not make the worker count as warm.
func TestStaleListDoesNotMakeAWorkerWarm(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Rules.GoneIsAdvisory = true
	h := newHarness(t, s)
	old := Worker{ID: 1, State: Ready}
	h.handle(ListFull{Workers: []Worker{old}})
	restarted := old
	restarted.Started = h.now
	for _, list := range [][]Worker{{restarted}, {old}, {}, {old}} {
		h.now += 200 * ms
		h.handle(ListFull{Workers: list})
		if warm := h.d.warmth(h.d.workers[1]); warm >= 0.5 {
			t.Errorf("after the list %v: got a warmth of %.0f%%, want under 50%%", list, 100*warm)
		}
	}
}

// TestListIsRequestedAgainAfterAFailure checks when a lost list is requested again. A pushed list comes from an agent
// on the same machine and is requested well within the grace period of a drain. A service gets first calls spread by 5
// ms for each dispatcher, over at most 3 s. Later calls are spread over 2.5 s: a worker that has been in the list for
// 6 s must be known, and a call may still fail 3 s after the service is back. After three calls that waited and
// failed, longer than the service is usually down, the spread grows threefold with each call. It does not grow where
// calls fail to reach the service.
func TestListIsRequestedAgainAfterAFailure(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.DispatcherCount, s.Rules.DrainGrace, s.Rules.SubscribeWithin = 300, time.Second, 10*time.Second
	delayUntilCall := func(h *harness, failed ListFailed, waits time.Duration) (after time.Duration) {
		h.now += waits
		failedAt := h.now
		for actions := h.d.Handle(h.now, []Event{failed}); ; actions = h.d.Handle(h.now, []Event{TimerFired{}}) {
			if slices.ContainsFunc(actions, func(a Action) bool { _, yes := a.(Subscribe); return yes }) {
				return h.now - failedAt
			}
			h.now += ms
		}
	}
	for seed := range uint64(20) {
		s.Seed, s.ListPushed = seed, true
		h := newHarness(t, s)
		for range 12 {
			if after := delayUntilCall(h, ListFailed{}, ms); after > s.Rules.DrainGrace/4 {
				t.Errorf("pushed: list requested after %v", after)
			}
		}
		s.ListPushed = false
		for dispatchers, spread := range map[int]time.Duration{300: 1500 * ms, 3000: 3 * time.Second} {
			s.DispatcherCount = dispatchers
			h = newHarness(t, s)
			if after := delayUntilCall(h, ListFailed{}, 0); after > spread+10*ms {
				t.Errorf("%d dispatchers: list requested after %v", dispatchers, after)
			}
			expectCall := func(failed ListFailed, waits time.Duration, from, to time.Duration) {
				t.Helper()
				if after := delayUntilCall(h, failed, waits); after < from || after > to+10*ms {
					t.Errorf("%d dispatchers: list requested again after %v, want %v to %v", dispatchers, after, from, to)
				}
			}
			for range evenRetries {
				expectCall(ListFailed{}, 3*time.Second, retrySpread/2, retrySpread)
			}
			expectCall(ListFailed{}, 3*time.Second, retryGrowth*retrySpread/2, retryGrowth*retrySpread)
			expectCall(ListFailed{}, 3*time.Second, retryGrowth*retryGrowth*retrySpread/2, retryGrowth*retryGrowth*retrySpread)
			for range 12 {
				expectCall(ListFailed{Unreachable: true}, 3*time.Second, retrySpread/2, retrySpread)
			}
			expectCall(ListFailed{}, 3*time.Second, retrySpread/2, retrySpread)
			var soonest, latest time.Duration = time.Hour, 0
			for range 20 { // watches that ended without an update, long after their call: calls use the whole spread
				after := delayUntilCall(h, ListFailed{}, time.Minute)
				soonest, latest = min(soonest, after), max(latest, after)
			}
			if soonest > spread/4 || latest < spread*3/4 || latest > spread+10*ms {
				t.Errorf("%d dispatchers: after watches that ended, got calls after %v to %v, want them spread over %v", dispatchers, soonest, latest, spread)
			}
		}
		s.DispatcherCount = 300
		h = newHarness(t, s)
		delayUntilCall(h, ListFailed{}, 0)
		for range 20 { // calls made by the list's own timer, long after the dispatcher's last one
			h.now += time.Minute
			if after := delayUntilCall(h, ListFailed{Elapsed: time.Second}, 0); after < retrySpread/2 {
				t.Errorf("a call that failed after a second was repeated after %v, as if it had been a watch", after)
			}
		}
		few := s
		few.DispatcherCount = 12
		h = newHarness(t, few)
		for range 12 {
			if after := delayUntilCall(h, ListFailed{}, time.Second); after > time.Second {
				t.Errorf("few dispatchers: list requested again after %v, want at most 1 s", after)
			}
		}
	}
}
