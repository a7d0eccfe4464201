package decide

import (
	"slices"
	"testing"
	"time"
)

// Workers are left out and put back at any moment, whatever the list says of them meanwhile, and
// whichever process decides.
func TestRulesWithCordons(t *testing.T) {
	for seed := range uint64(24) {
		s := varyRules(testSettings(seed, seed&1 != 0, seed&2 != 0, false))
		s.Rules.GoneIsAdvice = false
		playRandomEventsWith(t, s, 1500, func(w *harness, i int) {
			if id := uint32(w.rng.IntN(6) + 1); i%31 == 30 {
				w.cordoned[id] = !w.cordoned[id]
				w.handle(Cordon{Worker: id, Out: w.cordoned[id]})
			}
			if i%97 == 96 {
				w.handOver()
			}
		})
	}
}

// One that comes back was restarted meanwhile, though the list may not have said so: it was sent
// work as if it were warm, or nothing for long. It counts as cold and has a first job soon.
func TestUncordonedWorkerIsColdAndUsedSoon(t *testing.T) {
	for n := range 3 {
		s := testSettings(uint64(n), true, false, false)
		s.Dispatchers, s.Dispatcher = 3, n
		s.Rules.Cold, s.Rules.ColdFrom = 20*time.Second, 0.14
		w := newReadyHarness(t, s, 4)
		w.handle(Cordon{Worker: 2, Out: true}, Cordon{Worker: 2, Out: true})
		if listed, avoided := w.d.Fleet(); listed != 4 || avoided != 1 {
			t.Errorf("%d listed, %d avoided", listed, avoided)
		}
		w.handle(ListDelta{Workers: []Worker{{ID: 2, State: Ready, Started: w.now}}}) // restarted
		w.now += time.Second
		w.handle(Cordon{Worker: 2})
		began := w.now
		if d := w.d.warmth(w.d.workers[2]); d >= 0.2 {
			t.Errorf("it counts as warm: %v", d)
		}
		var at []time.Duration
		for w.now < began+owedWithin {
			w.now += 20 * ms
			j := w.newRequest(0, time.Second)
			for _, a := range w.handle(Wake{}, j.Request) {
				if s, ok := a.(Send); ok && s.Worker == 2 {
					at = append(at, w.now-began)
				}
			}
			for _, j := range w.requests {
				for i, tr := range j.attempts {
					if !tr.over && w.now-tr.sent >= 60*ms {
						w.handle(w.endAttempt(j, i, OK, nil))
					}
				}
			}
		}
		if len(at) == 0 {
			t.Errorf("dispatcher %d did not use it", n)
		}
		if slices.Contains(at, 0) || len(at) > 8 {
			t.Errorf("dispatcher %d flooded it: %v", n, at)
		}
	}
}

// TestOwedOnce: a worker put back by hand counts as cold, too, and was listed twice among those to be used first.
func TestUncordonedWorkerIsQueuedOnce(t *testing.T) {
	w := newReadyHarness(t, testSettings(1, true, false, false), 2)
	w.handle(Cordon{Worker: 1, Out: true})
	w.handle(Cordon{Worker: 1})
	if n := len(w.d.owed); n != 1 {
		t.Errorf("%d entries for one worker", n)
	}
}
