package decide

import (
	"math"
	"slices"
	"testing"
	"time"
)

// TestSettingsChangeWithRequestsInProgress checks a change of settings with requests in progress: those keep the
// definition of their class, later ones follow the new one, and the new limit on attempts applies to both.
func TestSettingsChangeWithRequestsInProgress(t *testing.T) {
	s := testSettings(1, true, false, false)
	h := newReadyHarness(t, s, 4)
	_, earlier := h.sendRequest(0)
	s.Classes = slices.Clone(s.Classes)
	s.Classes[0].Effect = Unsafe // stricter than before
	s.Classes[1].Removed = true
	s.Classes = append(s.Classes, Class{Aim: 50 * ms, Deadline: time.Second, Worth: 1, Effect: Safe, Kind: Any})
	if err := h.d.Reconfigure(s); err != nil {
		t.Fatal(err)
	}
	h.s = s
	_, later := h.sendRequest(0)
	to, fresh := h.sendRequest(3)
	if to == 0 {
		t.Fatal("request of the new class not sent")
	}
	h.handle(h.endAttempt(later, 0, Reset, nil))
	if !later.answered || len(later.attempts) != 1 {
		t.Error("later request repeated although its class is unsafe now")
	}
	h.s.Classes = slices.Clone(s.Classes)
	h.s.Classes[0].Effect = Safe // the definition that the earlier request keeps
	h.handle(h.endAttempt(earlier, 0, Reset, nil))
	if earlier.answered || len(earlier.attempts) != 2 {
		t.Error("earlier request not repeated, want its class's old definition kept")
	}
	h.s = s
	s.Limits.MaxAttempts = 1
	if err := h.d.Reconfigure(s); err != nil {
		t.Fatal(err)
	}
	h.handle(h.endAttempt(fresh, 0, Reset, nil))
	if !fresh.answered || len(fresh.attempts) != 1 {
		t.Error("got more attempts than the new limit")
	}
	s.Classes = s.Classes[:3]
	if h.d.Reconfigure(s) == nil {
		t.Error("settings with a class missing: got no error")
	}
	if s.Limits.MaxAttempts = 0; h.d.Reconfigure(s) == nil || h.d.settings.Limits.MaxAttempts != 1 {
		t.Error("invalid settings are in effect or gave no error")
	}
}

// withRemoved returns the settings with the first classes and tenants marked as removed.
func withRemoved(s Settings, classes, tenants int) Settings {
	s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
	for i := range classes {
		s.Classes[i].Removed = true
	}
	for i := range tenants {
		s.Tenants[i].Removed = true
	}
	s.TimingClass = classes
	return s
}

// TestRemovedClassesAndTenantsDoNotCount guards against removed classes and tenants that still determine backoffs, the
// turns of cold workers, the estimated size of workers, how often the fleet is sorted, and the number of attempts
// where no rule sets it.
func TestRemovedClassesAndTenantsDoNotCount(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes = []Class{
		{Aim: 5 * ms, Deadline: time.Minute, Worth: 1, Kind: Any}, {Aim: time.Minute, Deadline: time.Minute, Worth: 9, Kind: Any},
		{Aim: 200 * ms, Deadline: 4 * time.Second, Worth: 2, Kind: Any}, {Aim: 300 * ms, Deadline: 3 * time.Second, Worth: 3, Kind: Any},
	}
	s.Tenants = []Tenant{{QuotaPerSecond: 500}, {QuotaPerSecond: 7}}
	h := newReadyHarness(t, s, 3)
	for _, c := range h.d.classes {
		c.meanRun, c.meanLogRun, c.jobs = c.Aim.Seconds(), math.Log(c.Aim.Seconds()), 40
	}
	for _, wk := range h.d.workers {
		wk.classBars[2].Until, wk.classBars[3].Until = h.now+time.Minute, h.now+time.Minute
	}
	if err := h.d.Reconfigure(withRemoved(s, 2, 1)); err != nil {
		t.Fatal(err)
	}
	removedFirst := withRemoved(s, 2, 1)
	if removedFirst.TimingClass = 1; h.d.Reconfigure(removedFirst) == nil {
		t.Error("removed class as TimingClass: got no error")
	}
	d := h.d
	_, avoided := d.WorkerCounts()
	for name, gotWant := range map[string][2]any{
		"pace": {d.pace(), 200 * ms}, "longest deadline": {d.longestDeadline(), 4 * time.Second}, "longestMeanRun": {math.Round(1000 * d.longestMeanRun()), 300.0},
		"agreed rate": {d.agreedRate(), 7.0}, "meanTypicalRun": {d.meanTypicalRun(0) < 0.31, true}, "mean worth": {d.meanWorth(), 2.5}, "avoided": {avoided, 3},
		"budget.Window": {d.budget.Window, 4 * time.Second},
	} {
		if gotWant[0] != gotWant[1] {
			t.Errorf("%s: got %v, want %v", name, gotWant[0], gotWant[1])
		}
	}
	h.handle(TimerFired{})
	if at := h.d.sortAfter - h.now; at != 200*ms {
		t.Errorf("fleet sorted again after %v, want 200 ms", at)
	}
}

// TestRedefinedClassForgetsItsJobs guards against keeping what was learned of a class whose name now stands for other
// jobs: its first requests were taken for retries of clients that had used up most of their time, and counted as late
// from the start.
func TestRedefinedClassForgetsItsJobs(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes[0].Deadline = 10 * time.Second
	h := newReadyHarness(t, s, 1)
	h.d.classes[0].meanRun, h.d.classes[0].jobs = 60, 200
	h.handle(h.newRequest(0, 10*time.Second).Request)
	sameJobs := s
	sameJobs.Classes = slices.Clone(s.Classes)
	sameJobs.Classes[0].Worth, sameJobs.Classes[0].Effect = 77, Unsafe
	if err := h.d.Reconfigure(sameJobs); err != nil || h.d.classes[0].jobs != 200 || h.d.classes[0].maxBudget != 10*time.Second {
		t.Errorf("change of worth and effect: got learned run times reset or error %v", err)
	}
	h.d.workers[1].classBars[0], h.d.workers[1].classErrors[0] = classBar{3, h.now + time.Minute}, tally{8, 1}
	otherJobs := s
	otherJobs.Classes = slices.Clone(s.Classes)
	otherJobs.Classes[0].Aim, otherJobs.Classes[0].Deadline = 300*ms, 6*time.Second
	if err := h.d.Reconfigure(otherJobs); err != nil {
		t.Fatal(err)
	}
	h.s = otherJobs
	if c := h.d.classes[0]; c.meanRun != 0 || c.jobs != 0 || h.d.workers[1].classBars[0].Doublings != 0 || h.d.workers[1].classErrors[0].Share != 0 {
		t.Error("got what was learned of the old jobs, want it reset")
	}
	req := h.newRequest(0, 6*time.Second)
	h.handle(req.Request)
	if r := h.d.requests[req.ID]; r.aimEnd != h.now+300*ms {
		t.Errorf("got %v until the aim, want 300 ms", r.aimEnd-h.now)
	}
}

// TestWaitingRequestSeesNewWorkers guards against a request that waits while its class changes and never goes to
// workers that the list adds later.
func TestWaitingRequestSeesNewWorkers(t *testing.T) {
	h := newHarness(t, testSettings(1, true, false, false))
	h.handle(ListFull{})
	req := h.newRequest(0, time.Second)
	h.handle(req.Request)
	if err := h.d.Reconfigure(withRemoved(h.s, 1, 0)); err != nil {
		t.Fatal(err)
	}
	h.now += time.Millisecond
	h.list[1] = Worker{ID: 1, State: Ready}
	for _, a := range h.handle(ListDelta{Workers: []Worker{{ID: 1, State: Ready}}}) {
		if s, ok := a.(Send); ok && s.Request == req.ID {
			return
		}
	}
	t.Error("waiting request not sent to the new worker")
}

// TestStateDerivedFromOldSettingsIsReset guards against state computed from old settings: turns of cold workers
// planned for hundreds of dispatchers when there is one, or for workers that are cold only by the new rules, and
// failures at idle times measured in parts of the old limit.
func TestStateDerivedFromOldSettingsIsReset(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.DispatcherCount, s.Limits.ConnIdle, s.Limits.ConnectTimeout = 400, 64*time.Second, 2*time.Second
	h := newHarness(t, s)
	h.list[1] = Worker{ID: 1, State: Ready, Started: h.now - time.Second}
	h.handle(ListFull{Workers: []Worker{h.list[1]}})
	h.d.workers[1].nextColdSend = h.now + time.Minute
	h.d.idleFailures[4], h.d.connSetups, h.d.maxBatchDelay = tally{6, 1}, [4]time.Duration{time.Second, time.Second, time.Second, time.Second}, time.Minute
	otherPrice := s
	otherPrice.Prices.Waste = 0.5
	if err := h.d.Reconfigure(otherPrice); err != nil || h.d.workers[1].nextColdSend == 0 || h.d.idleFailures[4].Count == 0 {
		t.Errorf("change of a price: got state reset or error %v", err)
	}
	h.d.queueOrder[0], h.d.queueOrder[3] = h.d.queueOrder[3], h.d.queueOrder[0]
	next := s
	next.DispatcherCount, next.Limits.ConnIdle, next.Limits.ConnectTimeout, next.Rules.FallWindow = 1, 4*time.Second, 50*ms, 500*ms
	if err := h.d.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	if d := h.d; d.workers[1].nextColdSend != 0 || d.idleFailures[4].Count != 0 || d.connSetup() != 50*ms || d.maxBatchDelay != 500*ms || !slices.IsSorted(d.queueOrder) {
		t.Errorf("got turn %v, failures by idle time %v, set-up time %v, stall %v; want them reset or bounded", d.workers[1].nextColdSend, d.idleFailures, d.connSetup(), d.maxBatchDelay)
	}
	warm := next
	warm.Rules.Cold = 0
	if err := h.d.Reconfigure(warm); err != nil || len(h.d.firstJobQueue) != 0 {
		t.Errorf("got %d workers due a first job where none is cold, error %v", len(h.d.firstJobQueue), err)
	}
	if err := h.d.Reconfigure(next); err != nil || len(h.d.firstJobQueue) != 1 {
		t.Errorf("got %d workers due a first job, want 1, error %v", len(h.d.firstJobQueue), err)
	}
}
