package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// site returns small settings of each kind of information.
func testSettings(seed uint64, starts, reports, peers bool) Settings {
	return Settings{
		Dispatchers: 2, Seed: seed, Granularity: 2 * ms,
		Classes: []Class{
			{Aim: 100 * ms, Stretch: 1.5, Deadline: time.Second, Worth: 5, Effect: Safe, Kind: Any, LateWorth: 0.2},
			{Aim: 100 * ms, Stretch: 2, Deadline: time.Second, Worth: 9, Effect: Keyed, Scope: ScopeZone,
				Window: 300 * ms, Kind: Any},
			{Aim: 150 * ms, Stretch: 2, Deadline: time.Second, Worth: 10, Effect: Unsafe, Window: time.Minute,
				Kind: Any},
		},
		Limits: Limits{Attempts: 3, Open: 1000, Cancel: true, SecondCopies: true, RetryAfter: true,
			PeerMessages: peers, MaxRetryAfter: time.Second},
		Rules: Rules{AnswerSlack: 8 * ms, DrainGrace: 100 * ms, ColdFrom: 0.3, Cold: 5 * time.Second,
			FallMultiple: 3, FallWindow: time.Second, MustAskIn: 10 * time.Second},
		Subscribe: true, TellsStart: starts, ReportsFree: reports, Progress: 500 * ms,
	}
}

// budgeted adds the rule on further attempts to every second seed, and to every fourth that
// gone is advice.
func varyRules(s Settings) Settings {
	s.Rules.GoneIsAdvice = s.Seed/4%2 == 1
	if s.Seed%3 == 0 { // a small cap on attempts
		s.Limits.Attempts = 2
	}
	if s.Seed/8%2 == 1 {
		s.Rules.Budget = &AttemptBudget{Spare: 1, PerRequest: 0.3, Span: 500 * ms}
	}
	return s
}

// try is an attempt as the world of a test sees it.
type testAttempt struct {
	worker   Worker
	sent     time.Duration
	over     bool
	neverRan bool
	unsent   bool
}

type testRequest struct {
	Request
	due      time.Duration
	attempts []*testAttempt
	answered bool
}

// world plays random events to one dispatcher and checks the rules on every action.
type harness struct {
	t         *testing.T
	s         Settings
	d         *Dispatcher
	rng       *rand.Rand
	now       time.Duration
	list      map[uint32]Worker
	requests  map[uint32]*testRequest
	active    []uint32
	timers    []time.Duration
	coldSends map[uint32][]time.Duration
	// drained has when the process last listed as draining started, and one more.
	drained       map[uint32]time.Duration
	cordoned      map[uint32]bool // left out by hand
	arrivals      []time.Duration // arrivals
	extraAttempts []*testAttempt  // attempts beyond a request's first
}

func newHarness(t *testing.T, s Settings) *harness {
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, s: s, d: d, rng: rand.New(rand.NewPCG(s.Seed, 1)), now: time.Hour,
		list: map[uint32]Worker{}, requests: map[uint32]*testRequest{}, coldSends: map[uint32][]time.Duration{},
		drained: map[uint32]time.Duration{}, cordoned: map[uint32]bool{}}
}

func (w *harness) handle(events ...Event) []Action {
	w.t.Helper()
	actions := w.d.Handle(w.now, events)
	for _, a := range actions {
		w.checkAction(a)
	}
	return actions
}

func (w *harness) checkAction(a Action) {
	w.t.Helper()
	switch a := a.(type) {
	case WakeMe:
		w.timers = append(w.timers, w.now+max(a.After, w.s.Granularity))
	case Send:
		w.checkSend(a)
	case Refuse:
		j := w.requests[a.Request]
		c := w.s.Classes[j.Class]
		for i, tr := range j.attempts {
			if c.Effect != Safe && !(tr.over && tr.neverRan) {
				w.t.Fatalf("rule 2: request %d refused though attempt %d may have run", a.Request, i)
			}
		}
		w.recordAnswer(a.Request)
	case FailRequest:
		w.recordAnswer(a.Request)
	case Cancel:
		if j := w.requests[a.Request]; a.Attempt >= len(j.attempts) {
			w.t.Fatalf("cancel of attempt %d that was never made", a.Attempt)
		}
	}
}

func (w *harness) checkSend(a Send) {
	j, to := w.requests[a.Request], w.list[a.Worker]
	c := w.s.Classes[j.Class]
	if j.answered || w.now >= j.due {
		w.t.Fatalf("rule 1: request %d sent after its end", a.Request)
	}
	if to.State == Draining || w.drained[a.Worker] == to.Started+1 || to.State == Gone && !w.s.Rules.GoneIsAdvice {
		w.t.Fatalf("rule 3: request %d sent to worker %d in state %d", a.Request, a.Worker, to.State)
	}
	if w.cordoned[a.Worker] {
		w.t.Fatalf("request %d sent to worker %d, which is left out by hand", a.Request, a.Worker)
	}
	if j.sent() >= w.s.Limits.Attempts {
		w.t.Fatalf("request %d: more attempts than allowed", a.Request)
	}
	for i, tr := range j.attempts {
		if !tr.over && !w.s.Limits.SecondCopies {
			w.t.Fatalf("request %d: second copy though not allowed", a.Request)
		}
		risky := !(tr.over && tr.neverRan)
		if risky && c.Effect == Unsafe ||
			risky && c.Effect == Keyed && (w.now-tr.sent >= c.Window || tr.worker.Zone != to.Zone) {
			w.t.Fatalf("rule 2: request %d repeated though attempt %d may have run", a.Request, i)
		}
	}
	if to.Started > 0 && w.now-to.Started < w.s.Rules.Cold {
		// Rule 4, loosely: this dispatcher's half of the budget for a worker of 4 slots at
		// its coldest, in jobs of the shortest run time that this world has.
		w.coldSends[a.Worker] = append(w.coldSends[a.Worker], w.now)
		recent := 0
		for _, at := range w.coldSends[a.Worker] {
			if w.now-at < w.s.Rules.FallWindow {
				recent++
			}
		}
		budget := w.s.Rules.FallMultiple * 4 * w.s.Rules.FallWindow.Seconds() / float64(w.s.Dispatchers) / 0.05
		if float64(recent) > budget {
			w.t.Fatalf("rule 4: %d jobs to cold worker %d in one window", recent, a.Worker)
		}
	}
	further := j.sent() > 0
	j.attempts = append(j.attempts, &testAttempt{worker: to, sent: w.now})
	if further {
		w.extraAttempts = append(w.extraAttempts, j.attempts[len(j.attempts)-1])
		w.checkAttemptBudget()
	}
}

// sent is how many attempts of a job went out, or may have.
func (j *testRequest) sent() (n int) {
	for _, tr := range j.attempts {
		if !tr.unsent {
			n++
		}
	}
	return n
}

// checkBudget holds the attempts beyond a first of the window that ends now against rule 5.
func (w *harness) checkAttemptBudget() {
	b := w.s.Rules.Budget
	if b == nil {
		return
	}
	further, requests := 0, 0
	for _, tr := range w.extraAttempts {
		if w.now-tr.sent <= b.Span && !tr.unsent {
			further++
		}
	}
	for _, at := range w.arrivals {
		if w.now-at < b.Span {
			requests++
		}
	}
	if allowed := b.Spare + b.PerRequest*float64(requests); float64(further) > allowed {
		w.t.Fatalf("rule 5: %d further attempts where %v are allowed", further, allowed)
	}
}

func (w *harness) recordAnswer(id uint32) {
	if j := w.requests[id]; j.answered {
		w.t.Fatalf("rule 1: request %d answered twice", id)
	} else {
		j.answered = true
	}
}

func (w *harness) newRequest(class int, budget time.Duration) *testRequest {
	id := uint32(len(w.requests) + 1)
	j := &testRequest{Request: Request{ID: id, Class: class, Budget: budget, Slots: 1}, due: w.now + budget}
	w.requests[id] = j
	w.active = append(w.active, id)
	w.arrivals = append(w.arrivals, w.now)
	return j
}

// end gives attempt n of a job its outcome.
func (w *harness) endAttempt(j *testRequest, n int, o Outcome, r *Report) AttemptEnded {
	tr := j.attempts[n]
	tr.over, tr.neverRan, tr.unsent = true, o.NeverRan(), o == Moot
	if o == OK && !j.answered {
		j.answered = true
		return AttemptEnded{j.ID, n, o, true, r, 0}
	}
	return AttemptEnded{j.ID, n, o, j.answered, r, 0}
}

func (w *harness) step(load float64) {
	w.now += w.s.Granularity
	var events []Event
	for len(w.timers) > 0 && w.timers[0] <= w.now {
		w.timers = w.timers[1:]
		events = append(events, Wake{})
	}
	if w.rng.Float64() < 0.01 {
		events = append(events, w.randomListChange())
	}
	if w.rng.Float64() < load {
		events = append(events, w.newRequest(w.rng.IntN(len(w.s.Classes)), time.Second).Request)
	}
	for _, id := range w.active {
		j := w.requests[id]
		for n, tr := range j.attempts {
			if tr.over {
				continue
			}
			if w.now >= j.due {
				events = append(events, w.endAttempt(j, n, TimedOut, nil))
			} else if p := w.rng.Float64(); p < 0.03 {
				o := []Outcome{OK, OK, OK, Errored, Full, ConnectFailed, Reset, Cancelled, Moot}[w.rng.IntN(9)]
				var r *Report
				if w.s.ReportsFree {
					r = &Report{Active: -1, Waiting: 0, FreeSlots: float64(w.rng.IntN(3)), FreeMemory: -1}
				}
				events = append(events, w.endAttempt(j, n, o, r))
			} else if p < 0.06 {
				events = append(events, JobStarted{id, n})
			} else if p < 0.07 {
				events = append(events, JobProgress{id, n, 0.5})
			}
		}
	}
	w.handle(events...)
	for _, id := range w.active {
		if j := w.requests[id]; !j.answered && w.now > j.due+w.s.Rules.AnswerSlack {
			w.t.Fatalf("rule 1: request %d has no answer in time", id)
		}
	}
	w.active = slices.DeleteFunc(w.active, func(id uint32) bool {
		j := w.requests[id]
		return j.answered && !slices.ContainsFunc(j.attempts, func(tr *testAttempt) bool { return !tr.over })
	})
	w.active = slices.Clip(w.active)
}

// change makes one worker drain, go, come or start anew.
func (w *harness) randomListChange() Event {
	id := uint32(w.rng.IntN(6) + 1)
	l := Worker{ID: id, Zone: int(id % 2), State: WorkerState(w.rng.IntN(3)), Started: w.list[id].Started}
	if old := w.rng.Float64() < 0.2; l.State == Ready && !old {
		l.Started = w.now
	}
	if l.State == Draining {
		w.drained[id] = l.Started + 1
	}
	w.list[id] = l
	if w.s.Rules.GoneIsAdvice && w.rng.Float64() < 0.2 {
		return ListFull{Workers: []Worker{l}} // the others are left out
	}
	return ListDelta{Workers: []Worker{l}}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(24) {
		starts, reports, peers := seed&1 != 0, seed&2 != 0, seed&4 != 0
		name := fmt.Sprintf("seed %d starts %v reports %v peers %v", seed, starts, reports, peers)
		t.Run(name, func(t *testing.T) { playRandomEvents(t, varyRules(testSettings(seed, starts, reports, peers)), 1500) })
	}
}

func playRandomEvents(t *testing.T, s Settings, steps int) {
	t.Helper()
	playRandomEventsWith(t, s, steps, func(*harness, int) {})
}

// randomDayWith does something before each step.
func playRandomEventsWith(t *testing.T, s Settings, steps int, before func(w *harness, step int)) {
	t.Helper()
	w := newHarness(t, s)
	var lines []Worker
	for id := range uint32(6) {
		l := Worker{ID: id + 1, Zone: int(id+1) % 2, State: Ready}
		w.list[l.ID] = l
		lines = append(lines, l)
	}
	w.handle(ListFull{Workers: lines, Cached: true})
	for i := range steps {
		before(w, i)
		w.step(0.3)
	}
	for range 2000 { // no more arrivals: everything must drain
		w.step(0)
	}
	if n := len(w.d.requests); n != 0 {
		t.Errorf("%d requests are kept after the last answer", n)
	}
	for _, q := range w.d.queues {
		if len(q) != 0 {
			t.Errorf("a queue still holds %d", len(q))
		}
	}
	for _, wk := range w.d.fleet {
		if wk.own != 0 || wk.running != 0 {
			t.Errorf("worker %d keeps %v slots and %v running", wk.ID, wk.own, wk.running)
		}
	}
}

func FuzzDispatcher(f *testing.F) {
	f.Add(uint64(1), uint8(0))
	f.Add(uint64(99), uint8(7))
	f.Add(uint64(8), uint8(1))
	f.Fuzz(func(t *testing.T, seed uint64, kind uint8) {
		playRandomEvents(t, varyRules(testSettings(seed, kind&1 != 0, kind&2 != 0, kind&4 != 0)), 200)
	})
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() string {
		w := newHarness(t, testSettings(5, true, false, true))
		out := ""
		w.list[1], w.list[2] = Worker{ID: 1, State: Ready}, Worker{ID: 2, State: Ready}
		out += fmt.Sprint(w.handle(ListFull{Workers: []Worker{w.list[1], w.list[2]}, Cached: true}))
		for i := range 40 {
			w.now += 5 * ms
			out += fmt.Sprint(w.handle(Wake{}, w.newRequest(i%3, time.Second).Request))
		}
		return out
	}
	if a, b := run(), run(); a != b {
		t.Error("the same events gave different actions")
	}
}
