package decide

import (
	"math"
	"testing"
	"time"
)

// TestAllDispatchersTogetherKeepTheColdBudget guards against overloading a restarted worker: ten dispatchers learn of
// a start at different times, under more work than the worker can do, and each sent its first job at once, together 22
// times what the worker could do.
func TestAllDispatchersTogetherKeepTheColdBudget(t *testing.T) {
	const dispatchers, run = 10, 400 * time.Millisecond
	started := time.Hour
	sent := []time.Duration{}
	for place := range dispatchers {
		s := testSettings(uint64(place), false, true, false)
		s.DispatcherCount, s.DispatcherIndex = dispatchers, place
		h := newHarness(t, s)
		h.now = started + time.Duration(place)*100*ms
		h.list[1] = Worker{ID: 1, State: Ready, Started: started}
		for _, c := range h.d.classes {
			c.meanRun, c.meanLogRun, c.jobs = run.Seconds(), math.Log(run.Seconds()), 1
		}
		h.handle(ListDelta{Workers: []Worker{h.list[1]}})
		for h.now < started+3*time.Second {
			h.now += 10 * ms
			req := h.newRequest(0, time.Second)
			h.handle(TimerFired{}, req.Request)
			for _, req := range h.requests {
				for i, att := range req.attempts {
					if !att.over && h.now-att.sent >= run {
						h.handle(h.endAttempt(req, i, OK, nil))
						sent = append(sent, att.sent)
					}
				}
			}
		}
	}
	s := testSettings(0, false, true, false)
	budget := s.Rules.FallMultiple * s.Rules.ColdFrom * s.Rules.FallWindow.Seconds()
	if len(sent) == 0 {
		t.Error("the cold worker got no job")
	}
	for _, from := range sent {
		work := 0.0
		for _, at := range sent {
			if at >= from && at < from+s.Rules.FallWindow {
				work += run.Seconds()
			}
		}
		// The capacity grows while the worker warms up, so up to 1.5 times the first budget is allowed.
		if work > 1.5*budget {
			t.Errorf("window %v after the start: got %.1f s of work, want at most 1.5 times the budget of %.1f s", from-started, work, budget)
		}
	}
}

// TestUnusedColdTurnsExpire guards against unused turns that stay open: hundreds of dispatchers could then use theirs
// at a cold worker at the same time.
func TestUnusedColdTurnsExpire(t *testing.T) {
	started, after := time.Hour, 4*time.Second
	open, rate := 0, 0.0
	for n := range 200 {
		s := testSettings(uint64(n), true, false, false)
		s.DispatcherCount, s.DispatcherIndex = 200, n
		h := newHarness(t, s)
		h.now = started
		h.list[1] = Worker{ID: 1, State: Ready, Started: started}
		h.handle(ListDelta{Workers: []Worker{h.list[1]}})
		wk := h.d.workers[1]
		r := &request{Request: Request{Slots: 1}, class: h.d.classes[0]}
		h.d.coldTurn(wk, r)
		h.d.now = started + after
		rate += s.Rules.FallWindow.Seconds() / (h.d.coldBudgetAt(wk, h.d.now, h.d.pace().Seconds()) - h.d.now).Seconds()
		if h.d.coldTurn(wk, r) {
			open++
		}
	}
	if float64(open) > rate {
		t.Errorf("got %d open turns, want at most the %.0f that fit into a window", open, rate)
	}
}

// TestFewJobsDoNotDecideColdTurns guards against conclusions from a single job. One of 300 dispatchers, just started,
// took one short job for the run time of its class and gave long ones turns in a worker's first seconds; one long job
// made it overestimate the size of all workers.
func TestFewJobsDoNotDecideColdTurns(t *testing.T) {
	learn := func(h *harness, class int, run time.Duration) {
		a := &attempt{worker: h.d.workers[1], sentAt: h.d.now - run, startedAt: h.d.now - run, started: true}
		h.d.learnRun(&request{Request: Request{Slots: 1}, class: h.d.classes[class], arrived: a.sentAt}, a)
	}
	sim := newFleetSim(t, 300, append(warmWorkers(170), Worker{ID: 5000, State: Ready, Started: time.Hour}))
	for i, h := range sim.dispatchers[2:] {
		for range 10 {
			learn(h, 0, 400*ms)
		}
		learn(h, 1, 200*ms)
		for d := h.d; d.now < time.Hour+8*time.Second; d.now += 100 * ms {
			if d.coldTurn(d.workers[5000], &request{Request: Request{Slots: 1}, class: d.classes[1]}) {
				t.Fatalf("dispatcher %d: got a turn for a long job %v after the start, from the run time of one job", i, d.now-time.Hour)
			}
		}
	}
	few, many := sim.dispatchers[0], sim.dispatchers[1]
	learn(few, 1, 2400*ms)
	for range 10 {
		learn(many, 1, 2400*ms)
		for range 3 {
			learn(many, 0, 400*ms)
		}
	}
	if one, all := few.d.size(few.d.workers[5000]), many.d.size(many.d.workers[5000]); one > all {
		t.Errorf("got a worker's size of %.1f from one long job, want at most the %.1f from forty mixed ones", one, all)
	}
}

// TestLateStartsWhileColdAreNotCounted guards against late starts at a cold worker that keep it last in the order long
// after it is warm: nobody sends it anything, so nothing corrects the order.
func TestLateStartsWhileColdAreNotCounted(t *testing.T) {
	for _, cold := range []bool{true, false} {
		h := newReadyHarness(t, testSettings(1, true, false, false), 1)
		_, req := h.sendRequest(2)
		if cold {
			h.d.workers[1].Started = h.now // it has just restarted
		}
		for range 60 {
			h.now += 8 * ms
			h.handle(TimerFired{})
		}
		h.handle(JobStarted{req.ID, 0})
		if late := h.d.workers[1].lateStarts.Share > 0; late == cold {
			t.Errorf("cold %v: late start counted: got %v, want %v", cold, late, !cold)
		}
	}
}
