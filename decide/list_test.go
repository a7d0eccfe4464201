package decide

import (
	"slices"
	"testing"
	"time"
)

// TestListBelieved: what a line of the list may end and what it may not. A draining state
// once seen stays for its process, through an old list that comes back.
func TestEffectOfListEntries(t *testing.T) {
	ready := Worker{ID: 1, State: Ready, Started: time.Minute}
	line := func(s WorkerState, started time.Duration) ListDelta {
		return ListDelta{Workers: []Worker{{ID: 1, State: s, Started: started}}}
	}
	tests := []struct {
		name   string
		advice bool
		events []Event
		want   bool // work still goes to it
	}{
		{"ready", true, nil, true},
		{"gone binds", false, []Event{line(Gone, time.Minute)}, false},
		{"left out binds", false, []Event{ListFull{}}, false},
		{"gone is advice", true, []Event{line(Gone, time.Minute)}, true},
		{"left out is advice", true, []Event{ListFull{}}, true},
		{"draining binds", true, []Event{line(Draining, time.Minute)}, false},
		{"draining, then gone", true, []Event{line(Draining, time.Minute), line(Gone, time.Minute)}, false},
		{"draining, then left out", true, []Event{line(Draining, time.Minute), ListFull{}}, false},
		{"draining, then an old list", true, []Event{line(Draining, time.Minute), ListFull{Workers: []Worker{ready}}}, false},
		{"draining and gone, then an old list", true,
			[]Event{line(Draining, time.Minute), line(Gone, 0), ListFull{}, ListFull{Workers: []Worker{ready}}}, false},
		{"draining, then a new process", true, []Event{line(Draining, time.Minute), line(Ready, time.Minute+1)}, true},
		{"a list of an earlier process", true, []Event{line(Ready, 1)}, true},
		{"named twice, draining first", true,
			[]Event{ListFull{Workers: []Worker{{ID: 1, State: Draining, Started: time.Minute}, ready}}}, false},
		{"gone, never listed", true, []Event{ListDelta{Workers: []Worker{{ID: 9, State: Gone}}}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings(1, true, false, false)
			s.Rules.GoneIsAdvice = tt.advice
			w := newHarness(t, s)
			w.list[1] = ready
			w.handle(ListFull{Workers: []Worker{ready}})
			w.d.workers[1].lived = w.now // it has served
			w.handle(tt.events...)
			w.now += time.Second // past the next sort
			if got, _ := w.sendRequest(0); (got == 1) != tt.want {
				t.Errorf("sent to %d", got)
			}
		})
	}
}

// TestUnlistedLeavesWithItsFirstStrike: an unlisted worker is used while it does well, and no
// longer once an attempt there fails, unless no other is left; the list brings it back.
func TestUnlistedWorkerIsDroppedAfterItsFirstFailure(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Rules.GoneIsAdvice = true
	w := newReadyHarness(t, s, 2)
	first, j := w.sendRequest(0)
	w.handle(w.endAttempt(j, 0, OK, nil))
	w.handle(ListDelta{Workers: []Worker{{ID: first, State: Gone}}})
	again, j := w.sendRequest(0)
	if again != first {
		t.Fatalf("an unlisted worker that serves was left for %d", again)
	}
	w.handle(w.endAttempt(j, 0, ConnectFailed, nil))
	for range 40 {
		w.now += 500 * ms
		got, j := w.sendRequest(0)
		if got == first {
			t.Fatal("tried again though unlisted and struck")
		}
		if got != 0 {
			w.handle(JobStarted{j.ID, 0}, w.endAttempt(j, 0, OK, nil))
		}
	}
	w.handle(ListFull{Workers: readyWorkers(2)})
	w.now += 500 * ms
	if w.sendRequest(0); len(w.d.fleet) != 2 {
		t.Error("not taken back when listed again")
	}
}

// TestUnlistedAreBounded: lists that name ever new workers leave no more behind than one list holds.
func TestUnlistedWorkersAreBounded(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Rules.GoneIsAdvice = true
	w := newHarness(t, s)
	for i := range uint32(50) {
		lines := []Worker{{ID: 3 * i, State: Ready}, {ID: 3*i + 1, State: Ready}, {ID: 3*i + 2, State: Draining}}
		w.handle(ListFull{Workers: lines})
	}
	if n := len(w.d.workers); n > 6 {
		t.Errorf("%d workers are remembered", n)
	}
}

// TestColdThroughAnOldList: an old list that comes back tells an earlier start of a worker that
// has restarted since; it stays as cold as it is.
func TestStaleListDoesNotMakeAWorkerWarm(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Rules.GoneIsAdvice = true
	w := newHarness(t, s)
	old := Worker{ID: 1, State: Ready}
	w.handle(ListFull{Workers: []Worker{old}})
	fresh := old
	fresh.Started = w.now
	for _, list := range [][]Worker{{fresh}, {old}, {}, {old}} {
		w.now += 200 * ms
		w.handle(ListFull{Workers: list})
		if warm := w.d.warmth(w.d.workers[1]); warm >= 0.5 {
			t.Errorf("after the list %v it is taken for %.0f%% warm", list, 100*warm)
		}
	}
}

// TestLostListIsAskedForAgain: a pushed list is asked of an agent here, always well within the grace of a drain. Of a
// service it is asked for soon, first calls at 5 ms a dispatcher and within 3 s, later ones within 2.5 s: what the service
// has had for 6 s counts as known, and a call may fail 3 s after the service was back. Only after three calls that waited
// and failed, which is longer than it is down, does the time between them grow threefold with each; where calls reach nobody it never does.
func TestListIsRequestedAgainAfterAFailure(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Dispatchers, s.Rules.DrainGrace, s.Rules.MustAskIn = 300, time.Second, 10*time.Second
	asks := func(w *harness, failed ListFailed, waits time.Duration) (after time.Duration) {
		w.now += waits
		lost := w.now
		for acts := w.d.Handle(w.now, []Event{failed}); ; acts = w.d.Handle(w.now, []Event{Wake{}}) {
			if slices.ContainsFunc(acts, func(a Action) bool { _, yes := a.(Subscribe); return yes }) {
				return w.now - lost
			}
			w.now += ms
		}
	}
	for seed := range uint64(20) {
		s.Seed, s.Pushed = seed, true
		w := newHarness(t, s)
		for range 12 {
			if after := asks(w, ListFailed{}, ms); after > s.Rules.DrainGrace/4 {
				t.Errorf("pushed: asked for after %v", after)
			}
		}
		s.Pushed = false
		for dispatchers, spread := range map[int]time.Duration{300: 1500 * ms, 3000: 3 * time.Second} {
			s.Dispatchers = dispatchers
			w = newHarness(t, s)
			if after := asks(w, ListFailed{}, 0); after > spread+10*ms {
				t.Errorf("%d dispatchers: asked for after %v", dispatchers, after)
			}
			again := func(failed ListFailed, waits time.Duration, from, to time.Duration) {
				t.Helper()
				if after := asks(w, failed, waits); after < from || after > to+10*ms {
					t.Errorf("%d dispatchers: asked for again after %v, want %v to %v", dispatchers, after, from, to)
				}
			}
			for range evenTurns {
				again(ListFailed{}, 3*time.Second, nextSpread/2, nextSpread)
			}
			again(ListFailed{}, 3*time.Second, growth*nextSpread/2, growth*nextSpread)
			again(ListFailed{}, 3*time.Second, growth*growth*nextSpread/2, growth*growth*nextSpread)
			for range 12 {
				again(ListFailed{Nobody: true}, 3*time.Second, nextSpread/2, nextSpread)
			}
			again(ListFailed{}, 3*time.Second, nextSpread/2, nextSpread)
			var soonest, latest time.Duration = time.Hour, 0
			for range 20 { // watches that had no news, each long after its call: all over the spread, from its beginning on
				after := asks(w, ListFailed{}, time.Minute)
				soonest, latest = min(soonest, after), max(latest, after)
			}
			if soonest > spread/4 || latest < spread*3/4 || latest > spread+10*ms {
				t.Errorf("%d dispatchers: after watches that ended asked for after %v to %v, of %v", dispatchers, soonest, latest, spread)
			}
		}
		s.Dispatchers = 300
		w = newHarness(t, s)
		asks(w, ListFailed{}, 0)
		for range 20 { // calls that the list's clock makes, long after the last of the module's own
			w.now += time.Minute
			if after := asks(w, ListFailed{After: time.Second}, 0); after < nextSpread/2 {
				t.Errorf("a call that failed after a second was taken for a watch, and repeated after %v", after)
			}
		}
		few := s
		few.Dispatchers = 12
		w = newHarness(t, few)
		for range 12 {
			if after := asks(w, ListFailed{}, time.Second); after > time.Second {
				t.Errorf("few: asked for again after %v", after)
			}
		}
	}
}
