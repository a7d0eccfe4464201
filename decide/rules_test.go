package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings of a small site: whether workers report job starts, whether load reports carry free
// slots, and whether dispatchers exchange messages.
func testSettings(seed uint64, starts, reports, peers bool) Settings {
	return Settings{
		DispatcherCount: 2, Seed: seed, Granularity: 2 * ms,
		Classes: []Class{
			{Aim: 100 * ms, Stretch: 1.5, Deadline: time.Second, Worth: 5, Effect: Safe, Kind: Any, LateWorth: 0.2},
			{Aim: 100 * ms, Stretch: 2, Deadline: time.Second, Worth: 9, Effect: Keyed, Scope: ScopeZone,
				DedupWindow: 300 * ms, Kind: Any},
			{Aim: 150 * ms, Stretch: 2, Deadline: time.Second, Worth: 10, Effect: Unsafe, DedupWindow: time.Minute,
				Kind: Any},
		},
		Limits: Limits{MaxAttempts: 3, MaxOpen: 1000, Cancel: true, ParallelAttempts: true, RetryAfter: true,
			PeerMessages: peers, MaxRetryAfter: time.Second},
		Rules: Rules{AnswerSlack: 8 * ms, DrainGrace: 100 * ms, ColdFrom: 0.3, Cold: 5 * time.Second,
			FallMultiple: 3, FallWindow: time.Second, SubscribeWithin: 10 * time.Second},
		Subscribe: true, ReportsStart: starts, ReportsFreeSlots: reports, ProgressInterval: 500 * ms,
	}
}

// varyRules varies the rules by seed: in every second group of four seeds a worker's absence from the list is
// advisory, every third seed allows two attempts, and every second group of eight bounds further attempts.
func varyRules(s Settings) Settings {
	s.Rules.GoneIsAdvisory = s.Seed/4%2 == 1
	if s.Seed%3 == 0 { // a low limit on attempts
		s.Limits.MaxAttempts = 2
	}
	if s.Seed/8%2 == 1 {
		s.Rules.Budget = &AttemptBudget{Spare: 1, PerRequest: 0.3, Window: 500 * ms}
	}
	return s
}

// testAttempt is one attempt as the harness records it.
type testAttempt struct {
	worker   Worker
	sent     time.Duration
	over     bool
	neverRan bool
	unsent   bool
}

// testRequest is a request, its attempts and whether it has been answered.
type testRequest struct {
	Request
	due      time.Duration
	attempts []*testAttempt
	answered bool
}

// harness feeds events to one dispatcher and checks the rules on every action that it returns.
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
	// drained holds, by worker, the start time plus one of the process that was last listed as draining.
	drained       map[uint32]time.Duration
	cordoned      map[uint32]bool // cordoned by an operator
	arrivals      []time.Duration // of requests
	extraAttempts []*testAttempt  // beyond each request's first
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

func (h *harness) handle(events ...Event) []Action {
	h.t.Helper()
	actions := h.d.Handle(h.now, events)
	for _, a := range actions {
		h.checkAction(a)
	}
	return actions
}

// checkAction records an action and checks it against the rules.
func (h *harness) checkAction(a Action) {
	h.t.Helper()
	switch a := a.(type) {
	case SetTimer:
		h.timers = append(h.timers, h.now+max(a.After, h.s.Granularity))
	case Send:
		h.checkSend(a)
	case Refuse:
		req := h.requests[a.Request]
		c := h.s.Classes[req.Class]
		for i, att := range req.attempts {
			if c.Effect != Safe && !(att.over && att.neverRan) {
				h.t.Fatalf("repeat rule: request %d refused though attempt %d may have run", a.Request, i)
			}
		}
		h.recordAnswer(a.Request)
	case FailRequest:
		h.recordAnswer(a.Request)
	case Cancel:
		if req := h.requests[a.Request]; a.Attempt >= len(req.attempts) {
			h.t.Fatalf("cancel of attempt %d, which does not exist", a.Attempt)
		}
	}
}

// checkSend checks the rules on sending and records the attempt.
func (h *harness) checkSend(a Send) {
	req, to := h.requests[a.Request], h.list[a.Worker]
	c := h.s.Classes[req.Class]
	if req.answered || h.now >= req.due {
		h.t.Fatalf("answer rule: request %d sent after its answer or deadline", a.Request)
	}
	if to.State == Draining || h.drained[a.Worker] == to.Started+1 || to.State == Gone && !h.s.Rules.GoneIsAdvisory {
		h.t.Fatalf("list rule: request %d sent to worker %d in state %d", a.Request, a.Worker, to.State)
	}
	if h.cordoned[a.Worker] {
		h.t.Fatalf("request %d sent to worker %d, which is cordoned", a.Request, a.Worker)
	}
	if req.sent() >= h.s.Limits.MaxAttempts {
		h.t.Fatalf("request %d: more attempts than allowed", a.Request)
	}
	sendWithin := time.Duration(0)
	for i, att := range req.attempts {
		if !att.over && !h.s.Limits.ParallelAttempts {
			h.t.Fatalf("request %d: second copy, which the settings do not allow", a.Request)
		}
		risky := !(att.over && att.neverRan)
		if risky && c.Effect == Unsafe ||
			risky && c.Effect == Keyed && (h.now-att.sent >= c.DedupWindow || att.worker.Zone != to.Zone) {
			h.t.Fatalf("repeat rule: request %d repeated though attempt %d may have run", a.Request, i)
		}
		if left := att.sent + c.DedupWindow - h.now; risky && c.Effect == Keyed && (sendWithin == 0 || left < sendWithin) {
			sendWithin = left
		}
	}
	if a.SendWithin != sendWithin {
		h.t.Fatalf("repeat rule: request %d may be sent within %v, want %v", a.Request, a.SendWithin, sendWithin)
	}
	if to.Started > 0 && h.now-to.Started < h.s.Rules.Cold {
		// A loose bound: this dispatcher's half of the budget of a cold worker with 4 slots, in jobs of the
		// shortest run time that the harness plays.
		h.coldSends[a.Worker] = append(h.coldSends[a.Worker], h.now)
		recent := 0
		for _, at := range h.coldSends[a.Worker] {
			if h.now-at < h.s.Rules.FallWindow {
				recent++
			}
		}
		budget := h.s.Rules.FallMultiple * 4 * h.s.Rules.FallWindow.Seconds() / float64(h.s.DispatcherCount) / 0.05
		if float64(recent) > budget {
			h.t.Fatalf("cold worker rule: %d jobs sent to cold worker %d in one window", recent, a.Worker)
		}
	}
	further := req.sent() > 0
	req.attempts = append(req.attempts, &testAttempt{worker: to, sent: h.now})
	if further {
		h.extraAttempts = append(h.extraAttempts, req.attempts[len(req.attempts)-1])
		h.checkAttemptBudget()
	}
}

// sent counts the attempts that went out or may have gone out.
func (req *testRequest) sent() (n int) {
	for _, att := range req.attempts {
		if !att.unsent {
			n++
		}
	}
	return n
}

// checkAttemptBudget checks the attempt budget for the window that ends now: the bound on attempts beyond each
// request's first.
func (h *harness) checkAttemptBudget() {
	b := h.s.Rules.Budget
	if b == nil {
		return
	}
	further, requests := 0, 0
	for _, att := range h.extraAttempts {
		if h.now-att.sent <= b.Window && !att.unsent {
			further++
		}
	}
	for _, at := range h.arrivals {
		if h.now-at < b.Window {
			requests++
		}
	}
	if allowed := b.Spare + b.PerRequest*float64(requests); float64(further) > allowed {
		h.t.Fatalf("attempt budget: got %d further attempts in a window, want at most %v", further, allowed)
	}
}

// recordAnswer records the final answer to a request, which must be the only one.
func (h *harness) recordAnswer(id uint32) {
	if req := h.requests[id]; req.answered {
		h.t.Fatalf("answer rule: request %d answered twice", id)
	} else {
		req.answered = true
	}
}

// newRequest records the arrival of a request; the caller passes its event to the dispatcher.
func (h *harness) newRequest(class int, budget time.Duration) *testRequest {
	id := uint32(len(h.requests) + 1)
	req := &testRequest{Request: Request{ID: id, Class: class, Budget: budget, Slots: 1}, due: h.now + budget}
	h.requests[id] = req
	h.active = append(h.active, id)
	h.arrivals = append(h.arrivals, h.now)
	return req
}

// endAttempt records the outcome of attempt n and returns its event.
func (h *harness) endAttempt(req *testRequest, n int, o Outcome, r *Report) AttemptEnded {
	att := req.attempts[n]
	att.over, att.neverRan, att.unsent = true, o.NeverRan(), o == NotSent
	if o == OK && !req.answered {
		req.answered = true
		return AttemptEnded{req.ID, n, o, true, r, 0}
	}
	return AttemptEnded{req.ID, n, o, req.answered, r, 0}
}

// step advances the clock by Settings.Granularity and plays random events; load is the chance that a request arrives.
func (h *harness) step(load float64) {
	h.now += h.s.Granularity
	var events []Event
	for len(h.timers) > 0 && h.timers[0] <= h.now {
		h.timers = h.timers[1:]
		events = append(events, TimerFired{})
	}
	if h.rng.Float64() < 0.01 {
		events = append(events, h.randomListChange())
	}
	if h.rng.Float64() < load {
		events = append(events, h.newRequest(h.rng.IntN(len(h.s.Classes)), time.Second).Request)
	}
	for _, id := range h.active {
		req := h.requests[id]
		for n, att := range req.attempts {
			if att.over {
				continue
			}
			if h.now >= req.due {
				events = append(events, h.endAttempt(req, n, TimedOut, nil))
			} else if p := h.rng.Float64(); p < 0.03 {
				o := []Outcome{OK, OK, OK, Errored, Full, ConnectFailed, Reset, Cancelled, NotSent}[h.rng.IntN(9)]
				var r *Report
				if h.s.ReportsFreeSlots {
					r = &Report{Active: -1, Waiting: 0, FreeSlots: float64(h.rng.IntN(3)), FreeMemory: -1}
				}
				events = append(events, h.endAttempt(req, n, o, r))
			} else if p < 0.06 {
				events = append(events, JobStarted{id, n})
			} else if p < 0.07 {
				events = append(events, JobProgress{id, n, 0.5})
			}
		}
	}
	h.handle(events...)
	for _, id := range h.active {
		if req := h.requests[id]; !req.answered && h.now > req.due+h.s.Rules.AnswerSlack {
			h.t.Fatalf("answer rule: request %d not answered by its deadline", id)
		}
	}
	h.active = slices.DeleteFunc(h.active, func(id uint32) bool {
		req := h.requests[id]
		return req.answered && !slices.ContainsFunc(req.attempts, func(att *testAttempt) bool { return !att.over })
	})
	h.active = slices.Clip(h.active)
}

// randomListChange makes one worker drain, leave, appear or restart.
func (h *harness) randomListChange() Event {
	id := uint32(h.rng.IntN(6) + 1)
	l := Worker{ID: id, Zone: int(id % 2), State: WorkerState(h.rng.IntN(3)), Started: h.list[id].Started}
	if old := h.rng.Float64() < 0.2; l.State == Ready && !old {
		l.Started = h.now
	}
	if l.State == Draining {
		h.drained[id] = l.Started + 1
	}
	h.list[id] = l
	if h.s.Rules.GoneIsAdvisory && h.rng.Float64() < 0.2 {
		return ListFull{Workers: []Worker{l}} // omits the other workers
	}
	return ListDelta{Workers: []Worker{l}}
}

// TestRulesUnderRandomEvents checks the rules on every action under random events, for each combination of job starts,
// load reports and peer messages.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(24) {
		starts, reports, peers := seed&1 != 0, seed&2 != 0, seed&4 != 0
		name := fmt.Sprintf("seed %d starts %v reports %v peers %v", seed, starts, reports, peers)
		t.Run(name, func(t *testing.T) { playRandomEvents(t, varyRules(testSettings(seed, starts, reports, peers)), 1500) })
	}
}

// playRandomEvents plays random events for a number of steps, then lets all requests end.
func playRandomEvents(t *testing.T, s Settings, steps int) {
	t.Helper()
	playRandomEventsWith(t, s, steps, func(*harness, int) {})
}

// playRandomEventsWith is playRandomEvents with a callback before each step.
func playRandomEventsWith(t *testing.T, s Settings, steps int, before func(h *harness, step int)) {
	t.Helper()
	h := newHarness(t, s)
	var lines []Worker
	for id := range uint32(6) {
		l := Worker{ID: id + 1, Zone: int(id+1) % 2, State: Ready}
		h.list[l.ID] = l
		lines = append(lines, l)
	}
	h.handle(ListFull{Workers: lines, Cached: true})
	for i := range steps {
		before(h, i)
		h.step(0.3)
	}
	for range 2000 { // without arrivals, all requests must end
		h.step(0)
	}
	if n := len(h.d.requests); n != 0 {
		t.Errorf("got %d requests in memory after the last answer, want 0", n)
	}
	for _, q := range h.d.queues {
		if len(q) != 0 {
			t.Errorf("got %d requests in a queue after the last answer, want 0", len(q))
		}
	}
	for _, wk := range h.d.fleet {
		if wk.ownSlots != 0 || wk.runningSlots != 0 {
			t.Errorf("worker %d: got %v slots in use and %v running after the last answer, want 0", wk.ID, wk.ownSlots, wk.runningSlots)
		}
	}
}

// FuzzDispatcher checks the rules under random events drawn from fuzzed seeds.
func FuzzDispatcher(f *testing.F) {
	f.Add(uint64(1), uint8(0))
	f.Add(uint64(99), uint8(7))
	f.Add(uint64(8), uint8(1))
	f.Fuzz(func(t *testing.T, seed uint64, kind uint8) {
		playRandomEvents(t, varyRules(testSettings(seed, kind&1 != 0, kind&2 != 0, kind&4 != 0)), 200)
	})
}

// TestSameEventsSameActions checks that a dispatcher is deterministic for a given seed.
func TestSameEventsSameActions(t *testing.T) {
	run := func() string {
		h := newHarness(t, testSettings(5, true, false, true))
		out := ""
		h.list[1], h.list[2] = Worker{ID: 1, State: Ready}, Worker{ID: 2, State: Ready}
		out += fmt.Sprint(h.handle(ListFull{Workers: []Worker{h.list[1], h.list[2]}, Cached: true}))
		for i := range 40 {
			h.now += 5 * ms
			out += fmt.Sprint(h.handle(TimerFired{}, h.newRequest(i%3, time.Second).Request))
		}
		return out
	}
	if a, b := run(), run(); a != b {
		t.Error("the same events and seed gave different actions")
	}
}
