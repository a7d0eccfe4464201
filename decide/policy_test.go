package decide

import (
	"math"
	"strings"
	"testing"
	"time"
)

// fleet starts a dispatcher with policies of its own and ready workers 1 to n.
func newReadyHarness(t *testing.T, s Settings, n int) *harness {
	t.Helper()
	h := newHarness(t, s)
	var lines []Worker
	for id := range uint32(n) {
		l := Worker{ID: id + 1, State: Ready}
		h.list[l.ID] = l
		lines = append(lines, l)
	}
	h.handle(ListFull{Workers: lines})
	return h
}

// place sends one request of a class in and returns the worker it went to, 0 for none.
func (h *harness) sendRequest(class int) (uint32, *testRequest) {
	h.t.Helper()
	req := h.newRequest(class, time.Second)
	for _, a := range h.handle(req.Request) {
		if s, ok := a.(Send); ok && s.Request == req.ID {
			return s.Worker, req
		}
	}
	return 0, req
}

func labelsFor(ids ...uint32) []Label { return []Label{{Zone: Any, Kind: Any, IDs: ids}} }

func withPolicy(s Settings, blocks []Block, f Followup) Settings {
	s.Policies = nil
	for range s.Classes {
		s.Policies = append(s.Policies, Policy{Blocks: blocks, Followup: f})
	}
	return s
}

func TestBlocksAreTriedInOrder(t *testing.T) {
	max2 := Invalidate{MaxConcurrentInvocations, 2}
	s := withPolicy(testSettings(1, false, false, false),
		[]Block{{Workers: labelsFor(3), Strategy: BestFirst, Invalidate: max2}, {Workers: labelsFor(1), Strategy: BestFirst, Invalidate: max2}}, Fail)
	h := newReadyHarness(t, s, 3)
	for _, id := range []uint32{1, 3} {
		h.d.workers[id].ceiling = 5
	}
	for i, want := range []uint32{3, 3, 1, 1, 0} {
		got, req := h.sendRequest(0)
		if got != want {
			t.Errorf("request %d went to %d, want %d", i, got, want)
		}
		if want == 0 && !req.answered {
			t.Error("followup fail left the request open")
		}
	}
}

func TestFollowupDefault(t *testing.T) {
	s := withPolicy(testSettings(1, false, false, false), []Block{{Workers: labelsFor(1), Strategy: BestFirst, Invalidate: Invalidate{Rule: Overload}}}, Default)
	h := newReadyHarness(t, s, 4)
	if got, _ := h.sendRequest(0); got != 1 {
		t.Fatalf("block one was passed over for %d", got)
	}
	if got, req := h.sendRequest(0); got < 2 || req.answered {
		t.Errorf("the default tag gave %d", got)
	}
}

func TestStrategies(t *testing.T) {
	rule := Invalidate{MaxConcurrentInvocations, 1}
	for _, strategy := range []Strategy{Random, BestFirst, Platform} {
		t.Run(string(strategy), func(t *testing.T) {
			firsts := map[uint32]bool{}
			for seed := range uint64(20) {
				h := newReadyHarness(t, withPolicy(testSettings(seed, false, false, false), []Block{{Workers: labelsFor(1, 2, 3, 4, 5), Strategy: strategy, Invalidate: rule}}, Fail), 5)
				seen := map[uint32]bool{}
				for i := range 5 {
					got, _ := h.sendRequest(0)
					if i == 0 {
						firsts[got] = true
					}
					if got == 0 || seen[got] {
						t.Fatalf("seed %d: request %d went to %d", seed, i, got)
					}
					seen[got] = true
				}
			}
			if fair := len(firsts) == 5; fair != (strategy == Random) {
				t.Errorf("over 20 seeds the first choice was one of %d workers", len(firsts))
			}
		})
	}
}

func TestInvalidateRules(t *testing.T) {
	tests := []struct {
		name  string
		inv   Invalidate
		slots float64
		want  int // jobs taken by the one worker
	}{
		{"half of four slots", Invalidate{CapacityUsed, 50}, 4, 2},
		{"all of four slots", Invalidate{CapacityUsed, 100}, 4, 4},
		{"two invocations", Invalidate{MaxConcurrentInvocations, 2}, 4, 2},
		{"the learned ceiling below it", Invalidate{MaxConcurrentInvocations, 9}, 4, 3},
		{"free slots", Invalidate{Rule: Overload}, 4, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := withPolicy(testSettings(1, false, true, false), []Block{{Workers: labelsFor(1), Strategy: BestFirst, Invalidate: tt.inv}}, Fail)
			h := newReadyHarness(t, s, 1)
			h.d.workers[1].slots, h.d.workers[1].ceiling = tt.slots, 3
			taken := 0
			for range 6 {
				if got, _ := h.sendRequest(0); got == 1 {
					taken++
				}
			}
			if taken != tt.want {
				t.Errorf("took %d jobs, want %d", taken, tt.want)
			}
		})
	}
}

func TestCoprimeStepVisitsAll(t *testing.T) {
	for n := 1; n <= 30; n++ {
		for want := range n {
			step, seen := coprime(want, n), map[int]bool{}
			for i := range n {
				seen[i*step%n] = true
			}
			if len(seen) != n {
				t.Errorf("step %d visits %d of %d", step, len(seen), n)
			}
		}
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	valid := Block{Workers: labelsFor(1), Strategy: BestFirst, Invalidate: Invalidate{Rule: Overload}}
	with := func(f func(b *Block)) []Block { b := valid; f(&b); return []Block{b} }
	tests := []struct {
		name, want string
		blocks     []Block
		followup   Followup
	}{
		{"empty block", "empty", with(func(b *Block) { b.Workers = nil }), Fail},
		{"strategy", "unknown strategy", with(func(b *Block) { b.Strategy = "best" }), Fail},
		{"rule", "unknown invalidate rule", with(func(b *Block) { b.Invalidate.Rule = "full" }), Fail},
		{"percentage", "out of range", with(func(b *Block) { b.Invalidate = Invalidate{CapacityUsed, 101} }), Fail},
		{"count", "out of range", with(func(b *Block) { b.Invalidate = Invalidate{MaxConcurrentInvocations, 0} }), Fail},
		{"followup", "unknown followup", []Block{valid}, "retry"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := New(withPolicy(testSettings(1, false, false, false), tt.blocks, tt.followup))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
		})
	}
	if _, err := New(Settings{}); err == nil {
		t.Error("settings without a class were taken")
	}
}

func TestInvalidAttemptBudgetIsRejected(t *testing.T) {
	tests := []struct {
		name   string
		budget AttemptBudget
		ok     bool
	}{
		{"plain", AttemptBudget{1, 0.15, time.Second}, true},
		{"no further attempts", AttemptBudget{0, 0, time.Second}, true},
		{"negative spare", AttemptBudget{-1, 0.15, time.Second}, false},
		{"negative share", AttemptBudget{1, -0.15, time.Second}, false},
		{"share is no number", AttemptBudget{1, math.NaN(), time.Second}, false},
		{"endless spare", AttemptBudget{math.Inf(1), 0, time.Second}, false},
		{"no window", AttemptBudget{1, 0.15, 0}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings(1, true, false, false)
			s.Rules.Budget = &tt.budget
			if _, err := New(s); (err == nil) != tt.ok {
				t.Errorf("error %v, want none: %v", err, tt.ok)
			}
		})
	}
}

// TestAttemptBudget: retries went out as long as their own saved-up budget lasted, past
// what the rule allows for the requests of the window.
func TestAttemptBudget(t *testing.T) {
	tests := []struct {
		name     string
		outcome  Outcome
		budget   AttemptBudget
		requests int
		want     int // further attempts
	}{
		{"no budget at all", ConnectFailed, AttemptBudget{0, 0, time.Second}, 10, 0},
		{"spare alone", ConnectFailed, AttemptBudget{2, 0, time.Second}, 10, 2},
		{"spare and share", Errored, AttemptBudget{1, 0.2, time.Second}, 10, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings(1, false, false, false)
			s.Rules.Budget = &tt.budget
			h := newReadyHarness(t, s, 40)
			further := 0
			for range tt.requests {
				_, req := h.sendRequest(0)
				for i := 0; i < len(req.attempts) && !req.answered; i++ {
					h.now += ms
					h.handle(h.endAttempt(req, i, tt.outcome, nil))
				}
				further += len(req.attempts) - 1
				if !req.answered {
					t.Error("a request beyond the budget is kept waiting")
				}
			}
			if further != tt.want {
				t.Errorf("%d further attempts, want %d", further, tt.want)
			}
		})
	}
}

// TestStallIsNoQueueing: after a stall of the dispatcher itself, the note of a prompt
// start came late and its worker was struck.
func TestOwnStallIsNotTakenForQueueing(t *testing.T) {
	for _, stalled := range []bool{true, false} {
		h := newReadyHarness(t, testSettings(1, true, false, false), 1)
		_, req := h.sendRequest(2)
		if !stalled {
			for range 24 {
				h.now += 8 * ms
				h.handle(Wake{})
			}
		}
		h.now += 200 * ms
		h.handle(Wake{}, JobStarted{req.ID, 0})
		h.now += 8 * ms
		h.handle(Wake{}, h.endAttempt(req, 0, OK, nil))
		if trusted := h.d.workers[1].ceiling > firstCeiling; trusted != stalled {
			t.Errorf("stalled %v: ceiling raised %v", stalled, trusted)
		}
	}
}

// TestAnsweredBeforeAStall: an answer put off to the last moment missed the deadline when
// the dispatcher had no turn then.
func TestAnswerIsEarlyByAKnownStall(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 1)
	_, req := h.sendRequest(2)
	h.handle(JobStarted{req.ID, 0})
	for range 94 {
		h.now += 8 * ms
		h.handle(Wake{})
	}
	h.now += 100 * ms // the stall: 148 ms are left
	h.handle(Wake{})
	for range 8 {
		h.now += 8 * ms
		h.handle(Wake{})
	}
	if !req.answered {
		t.Error("not answered a known stall's length before the deadline")
	}
}

// TestClientInAHurry: a first try with little time was taken for a later one that had
// used up its time, and refused at once.
func TestShortBudgetIsNotTakenForARetry(t *testing.T) {
	tests := []struct {
		name          string
		marks, repeat bool
		budget        time.Duration
		late          bool
	}{
		{"little time", false, false, 300 * ms, false},
		{"a second try's time", false, false, 800 * ms, true},
		{"marked", true, true, 300 * ms, true},
		{"not marked", true, false, 800 * ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings(1, false, false, false)
			s.MarksRetries = tt.marks
			h := newReadyHarness(t, s, 1)
			h.sendRequest(2)
			h.sendRequest(0)
			req := h.newRequest(2, tt.budget)
			req.Repeat = tt.repeat
			h.handle(req.Request)
			h.now += 10 * ms
			h.handle(Wake{})
			if req.answered != tt.late {
				t.Errorf("taken for late: %v, want %v", req.answered, tt.late)
			}
		})
	}
}

// TestLateLeavesInTimeQueue: a request past its aim once stayed in the in-time
// queue too, and went before fresh ones.
func TestLateRequestLeavesTheInTimeQueue(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, false, false, false), 1)
	if got, _ := h.sendRequest(0); got != 1 { // fills the one worker
		t.Fatal("not placed")
	}
	h.sendRequest(0) // will be late
	h.sendRequest(0) // and another: no random pick while others wait
	h.now += 200 * ms
	h.handle(Wake{})
	fresh := h.newRequest(0, time.Second)
	h.handle(fresh.Request)
	for _, a := range h.handle(h.endAttempt(h.requests[1], 0, OK, nil)) {
		if s, ok := a.(Send); ok && s.Request != fresh.ID {
			t.Errorf("request %d went before the fresh %d", s.Request, fresh.ID)
		}
	}
	if len(fresh.attempts) != 1 {
		t.Error("the fresh request was not sent")
	}
}

// TestRunTimeCountsFromStart: the run time once counted from the last progress note.
func TestRunTimeCountsFromStart(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 1)
	_, req := h.sendRequest(0)
	h.now += 10 * ms
	h.handle(JobStarted{req.ID, 0})
	h.now += 500 * ms
	h.handle(JobProgress{req.ID, 0, 0.9})
	h.now += 20 * ms
	h.handle(h.endAttempt(req, 0, OK, nil))
	if run := h.d.classes[0].run; run < 0.51 || run > 0.53 {
		t.Errorf("run time %v, want 0.52", run)
	}
}

// TestQueuedJobMoves: a job that a worker does not start goes elsewhere, and the
// worker gets nothing new until it has shown life.
func TestQueuedJobMoves(t *testing.T) {
	for class, wantMove := range []bool{true, true, false} {
		s := testSettings(1, true, false, false)
		s.Classes[0].LateWorth = 0 // else it stays: few of those move
		h := newReadyHarness(t, s, 2)
		first, req := h.sendRequest(class)
		h.now += 60 * ms
		h.handle(Wake{})
		if moved := len(req.attempts) == 2 && req.attempts[1].worker.ID != first; moved != wantMove {
			t.Errorf("class %d: moved %v, want %v", class, moved, wantMove)
		}
		if got, _ := h.sendRequest(2); got == first {
			t.Errorf("class %d: the silent worker %d got more", class, first)
		}
	}
}

// TestCalledOffWhenCrowded: a job that still queues at its aim is given up only
// while more of this dispatcher's jobs queue at workers than run. With many
// dispatchers each finds room for its few jobs everywhere and holds none.
func TestQueuedJobIsCancelledOnlyWhenCrowded(t *testing.T) {
	for i, crowded := range []bool{false, true, true} {
		s := testSettings(1, true, false, false)
		s.Classes[2].Stretch = 1
		s.Limits.Cancel = i < 2 // what cannot be called off is waited for: once it ran for nothing, and its client came back
		h := newReadyHarness(t, s, 3)
		_, req := h.sendRequest(2)
		for range 2 {
			if _, other := h.sendRequest(2); !crowded {
				h.handle(JobStarted{other.ID, 0})
			}
		}
		for range 10 { // it queues from 20 ms on, its aim is 150 ms
			h.now += 20 * ms
			h.handle(Wake{})
		}
		if want := crowded && s.Limits.Cancel; req.answered != want {
			t.Errorf("crowded %v: answered %v, want %v", crowded, req.answered, want)
		}
	}
}

// TestQueuedJobThatStartedIsNotCalledOff: a job that had queued counted as queued for good. At its aim it was called
// off while it ran, in time as most: with hundreds of dispatchers a fifth of what the encoders did came to nothing.
func TestQueuedJobThatStartedIsNotCancelled(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes[2].Stretch = 1
	h := newReadyHarness(t, s, 3)
	_, req := h.sendRequest(2)
	h.sendRequest(2)
	h.sendRequest(2)
	for n := range 10 { // it queues from 20 ms on and starts at 100 ms; two go on queueing; its aim is 150 ms
		h.now += 20 * ms
		if h.handle(Wake{}); n == 4 {
			h.handle(JobStarted{req.ID, 0})
		}
	}
	if req.answered {
		t.Error("a running job was called off at its aim")
	}
}

// TestLaterTryIsOlder: a client's later try, told by its shorter budget, was once
// held for a whole aim of its own and then served too late.
func TestRetryCountsFromTheFirstTry(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, false, false, false), 1)
	h.sendRequest(2) // fills the worker and shows a first try's budget
	h.sendRequest(0) // waits too: no random pick
	second := h.newRequest(2, 800*ms)
	h.handle(second.Request)
	h.now += 10 * ms
	h.handle(Wake{})
	if !second.answered {
		t.Error("a try that began 200 ms ago, past its aim of 150 ms, is still held")
	}
}

// TestCalledOffJobDoesNotBar: a job called off at a trusted worker once left a
// ghost slot without a strike, and the worker was never tried again.
func TestCancelledJobDoesNotBarItsWorker(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 1)
	_, req := h.sendRequest(0)
	h.now += 5 * ms
	h.handle(JobStarted{req.ID, 0})
	h.now += 2 * time.Second
	h.handle(h.endAttempt(req, 0, Cancelled, nil))
	if got, _ := h.sendRequest(2); got != 1 {
		t.Error("the worker is barred though nothing speaks against it")
	}
}

// TestPeersHearOfEveryWorker: a message holds some forty workers; the rest of a
// larger fleet was once never told.
func TestPeersReceiveTheLoadOfEveryWorker(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, false, true, true), 100)
	receiver := newHarness(t, testSettings(2, false, true, true))
	now := h.now + 20*time.Second
	for i := range 100 {
		h.d.workers[uint32(i+1)].own, h.d.moved = 1, true
	}
	for range 4 {
		for _, a := range h.d.Handle(now, nil) {
			if m, ok := a.(TellPeers); ok {
				if len(m.Body) > 256 {
					t.Fatalf("message of %d bytes", len(m.Body))
				}
				receiver.handle(PeerSaid{Peer: 1, Body: m.Body})
			}
		}
	}
	if n := len(receiver.d.peers[1].load); n != 100 {
		t.Errorf("the peer knows the load of %d workers, want 100", n)
	}
}

// TestPeersCountAtUnknownWorkers: the load that peers tell once did not count at a
// worker whose size was not known, so each dispatcher took it for empty.
func TestPeerLoadCountsAtWorkersOfUnknownSize(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, false, true, true), 2)
	busy := appendLoad(newLoads(true), 1, [2]uint8{8, 0}, unknownLoad)
	h.handle(PeerSaid{Peer: 1, Body: busy})
	if got, _ := h.sendRequest(0); got != 2 {
		t.Errorf("went to %d, want the worker that no peer uses", got)
	}
	if got, _ := h.sendRequest(0); got != 0 {
		t.Errorf("a second job went to %d, though both are full", got)
	}
}

// TestTrials: a struck worker gets a trial only from a request that may be
// repeated and has had no attempt yet, unless no worker is trusted at all.
func TestTrialsOfSuspectedWorkers(t *testing.T) {
	tests := []struct {
		name            string
		class, attempts int
		outage, want    bool
	}{
		{"safe, first attempt", 0, 0, false, true},
		{"safe, later attempt", 0, 1, false, false},
		{"unsafe", 2, 0, false, false},
		{"unsafe in an outage", 2, 0, true, true},
		{"later attempt in an outage", 0, 1, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newReadyHarness(t, testSettings(1, true, false, false), 2)
			suspected, other := h.d.workers[1], h.d.workers[2]
			h.d.judge(suspected, 3)
			if tt.outage {
				h.d.judge(other, 3)
			}
			r := &request{Request: Request{Class: tt.class, Slots: 1}, c: h.d.classes[tt.class], due: h.now + time.Second}
			for range tt.attempts {
				r.attempts = append(r.attempts, &attempt{w: other, over: true, neverRan: true})
			}
			if got := h.d.valid(r, suspected, Invalidate{Rule: Overload}); got != tt.want {
				t.Errorf("valid %v, want %v", got, tt.want)
			}
			suspected.ghost = 2 // once, ghosts barred a worker from the trial that would free them
			if got := h.d.valid(r, suspected, Invalidate{Rule: Overload}); got != tt.want {
				t.Errorf("valid %v with ghost slots, want %v", got, tt.want)
			}
			suspected.retryAt = h.now + time.Second
			if h.d.valid(r, suspected, Invalidate{Rule: Overload}) {
				t.Error("valid before its backoff is over")
			}
		})
	}
}

// TestLastResort: a request that finds no room at all goes to a random healthy
// worker at the end of its hold, but only while nothing else waits.
func TestLastResort(t *testing.T) {
	for _, alone := range []bool{true, false} {
		h := newReadyHarness(t, testSettings(1, false, false, false), 2)
		h.sendRequest(0)
		h.sendRequest(0)
		_, req := h.sendRequest(2)
		if !alone {
			h.sendRequest(2)
		}
		h.now += 150 * ms
		h.handle(Wake{})
		if sent := len(req.attempts) == 1; sent != alone || req.answered == alone {
			t.Errorf("alone %v: sent %v, answered %v", alone, sent, req.answered)
		}
	}
}

// TestLeastWorthMakesRoom: past the limit of open requests the newcomer is refused only where it is worth least for
// its run; else one that is late, or of a class worth less, makes room. What was sent stays.
func TestLeastValuableRequestMakesRoom(t *testing.T) {
	s := testSettings(1, false, false, false)
	s.Limits.Open = 4
	h := newReadyHarness(t, s, 1)
	var reqs []*testRequest
	answered := func(class int, want ...bool) {
		_, req := h.sendRequest(class)
		reqs = append(reqs, req)
		for i, req := range reqs {
			if req.answered != want[i] {
				t.Errorf("with %d requests: request %d answered %v, want %v", len(reqs), i, req.answered, want[i])
			}
		}
	}
	answered(0, false) // sent
	answered(0, false, false)
	answered(0, false, false, false)
	h.now += 150 * ms // the two that wait are late
	h.handle(Wake{})
	answered(0, false, false, false, false)
	answered(1, false, false, true, false, false)
	answered(1, false, true, true, false, false, false)
	answered(1, false, true, true, true, false, false, false) // all of its own class are worth more
	answered(0, false, true, true, true, false, false, false, true)
}

// TestRefusedLeaveTheQueue: what made room waited in its queue behind all that was held, thousands in a rush, and each
// newcomer looked through them.
func TestRefusedRequestsLeaveTheQueue(t *testing.T) {
	s := testSettings(1, false, false, false)
	s.Limits.Open = 9
	h := newReadyHarness(t, s, 1)
	for i := range 300 {
		h.sendRequest(i % 2)
		if held := h.d.held(); held > s.Limits.Open {
			t.Fatalf("%d wait after %d requests", held, i+1)
		}
	}
}

// TestOpenIsBounded: what comes past the limit of open requests is refused at once.
func TestOpenRequestsAreBounded(t *testing.T) {
	s := testSettings(1, false, false, false)
	s.Limits.Open = 2
	h := newReadyHarness(t, s, 1)
	for i, want := range []bool{false, false, true} {
		if _, req := h.sendRequest(0); req.answered != want {
			t.Errorf("request %d answered %v, want %v", i, req.answered, want)
		}
	}
}

// TestStandingWorker: a running job without progress gets a second copy elsewhere
// where its class allows a repeat, and the worker that stands still gets nothing new.
func TestStalledJobIsCopied(t *testing.T) {
	for class, want := range []int{2, 1, 1} { // the keyed one is past its window by then
		h := newReadyHarness(t, testSettings(1, true, false, false), 2)
		at, req := h.sendRequest(class)
		h.handle(JobStarted{req.ID, 0})
		for range 95 {
			h.now += 8 * ms
			h.handle(Wake{})
		}
		if len(req.attempts) != want {
			t.Errorf("class %d: %d attempts, want %d", class, len(req.attempts), want)
		}
		if got, _ := h.sendRequest(2); got == at {
			t.Errorf("class %d: the standing worker got an unsafe job", class)
		}
	}
}
