package decide

import (
	"slices"
	"testing"
	"time"
)

// TestRulesWithCordons checks the rules while workers are cordoned and uncordoned at any moment, whatever the list
// says meanwhile, also across handovers.
func TestRulesWithCordons(t *testing.T) {
	for seed := range uint64(24) {
		s := varyRules(testSettings(seed, seed&1 != 0, seed&2 != 0, false))
		s.Rules.GoneIsAdvisory = false
		playRandomEventsWith(t, s, 1500, func(h *harness, i int) {
			if id := uint32(h.rng.IntN(6) + 1); i%31 == 30 {
				h.cordoned[id] = !h.cordoned[id]
				h.handle(Cordon{Worker: id, Cordoned: h.cordoned[id]})
			}
			if i%97 == 96 {
				h.handOver()
			}
		})
	}
}

// TestUncordonedWorkerIsColdAndUsedSoon guards against treating an uncordoned worker as warm, or not using it for
// long: it was restarted meanwhile, though the list may not say so. It counts as cold and gets a first job soon.
func TestUncordonedWorkerIsColdAndUsedSoon(t *testing.T) {
	for n := range 3 {
		s := testSettings(uint64(n), true, false, false)
		s.DispatcherCount, s.DispatcherIndex = 3, n
		s.Rules.Cold, s.Rules.ColdFrom = 20*time.Second, 0.14
		h := newReadyHarness(t, s, 4)
		h.handle(Cordon{Worker: 2, Cordoned: true}, Cordon{Worker: 2, Cordoned: true})
		if listed, avoided := h.d.WorkerCounts(); listed != 4 || avoided != 1 {
			t.Errorf("got %d workers listed and %d avoided, want 4 and 1", listed, avoided)
		}
		h.handle(ListDelta{Workers: []Worker{{ID: 2, State: Ready, Started: h.now}}}) // restarted
		h.now += time.Second
		h.handle(Cordon{Worker: 2})
		start := h.now
		if warmth := h.d.warmth(h.d.workers[2]); warmth >= 0.2 {
			t.Errorf("got a warmth of %v, want under 0.2", warmth)
		}
		var at []time.Duration
		for h.now < start+uncordonedWithin {
			h.now += 20 * ms
			req := h.newRequest(0, time.Second)
			for _, a := range h.handle(TimerFired{}, req.Request) {
				if s, ok := a.(Send); ok && s.Worker == 2 {
					at = append(at, h.now-start)
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
		if len(at) == 0 {
			t.Errorf("dispatcher %d: got no job at the uncordoned worker", n)
		}
		if slices.Contains(at, 0) || len(at) > 8 {
			t.Errorf("dispatcher %d: got jobs at %v, want 1 to 8, none at the moment of uncordoning", n, at)
		}
	}
}

// TestUncordonedWorkerIsQueuedOnce guards against two entries among the workers that are to be used first: an
// uncordoned worker counts as cold as well.
func TestUncordonedWorkerIsQueuedOnce(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 2)
	h.handle(Cordon{Worker: 1, Cordoned: true})
	h.handle(Cordon{Worker: 1})
	if n := len(h.d.firstJobQueue); n != 1 {
		t.Errorf("got %d entries for one worker, want 1", n)
	}
}
