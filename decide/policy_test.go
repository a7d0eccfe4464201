package decide

import (
	"math"
	"strings"
	"testing"
	"time"
)

// newReadyHarness starts a dispatcher that knows ready workers 1 to n.
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

// sendRequest passes the event of a request of a class and returns the worker that it was sent to, or 0.
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

// labelsFor returns labels that select workers by ID.
func labelsFor(ids ...uint32) []Label { return []Label{{Zone: Any, Kind: Any, IDs: ids}} }

// withPolicy returns the settings with the same policy for each class.
func withPolicy(s Settings, blocks []Block, f Followup) Settings {
	s.Policies = nil
	for range s.Classes {
		s.Policies = append(s.Policies, Policy{Blocks: blocks, Followup: f})
	}
	return s
}

// TestBlocksAreTriedInOrder checks that a block is used only when all blocks before it are invalid, and that the
// followup fail ends the request.
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
			t.Errorf("request %d: got worker %d, want %d", i, got, want)
		}
		if want == 0 && !req.answered {
			t.Error("request still open after the followup fail")
		}
	}
}

// TestFollowupDefault checks that the followup default uses all workers once the blocks are invalid.
func TestFollowupDefault(t *testing.T) {
	s := withPolicy(testSettings(1, false, false, false), []Block{{Workers: labelsFor(1), Strategy: BestFirst, Invalidate: Invalidate{Rule: Overload}}}, Default)
	h := newReadyHarness(t, s, 4)
	if got, _ := h.sendRequest(0); got != 1 {
		t.Fatalf("got worker %d, want 1 of the first block", got)
	}
	if got, req := h.sendRequest(0); got < 2 || req.answered {
		t.Errorf("got worker %d, want another than 1, by the default block", got)
	}
}

// TestStrategies checks that each strategy uses each worker once, and that only the random one varies its first choice
// with the seed.
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
						t.Fatalf("seed %d: request %d: got worker %d, want one not used yet", seed, i, got)
					}
					seen[got] = true
				}
			}
			if fair := len(firsts) == 5; fair != (strategy == Random) {
				t.Errorf("over 20 seeds: got %d different first choices", len(firsts))
			}
		})
	}
}

// TestInvalidateRules checks how many jobs each rule lets one worker have.
func TestInvalidateRules(t *testing.T) {
	tests := []struct {
		name  string
		inv   Invalidate
		slots float64
		want  int // jobs that the worker gets
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
			h.d.workers[1].learnedSize, h.d.workers[1].ceiling = tt.slots, 3
			taken := 0
			for range 6 {
				if got, _ := h.sendRequest(0); got == 1 {
					taken++
				}
			}
			if taken != tt.want {
				t.Errorf("got %d jobs, want %d", taken, tt.want)
			}
		})
	}
}

// TestCoprimeStepVisitsAll checks that the step between workers of a platform block visits each of them.
func TestCoprimeStepVisitsAll(t *testing.T) {
	for n := 1; n <= 30; n++ {
		for want := range n {
			step, seen := coprime(want, n), map[int]bool{}
			for i := range n {
				seen[i*step%n] = true
			}
			if len(seen) != n {
				t.Errorf("step %d: visited %d of %d", step, len(seen), n)
			}
		}
	}
}

// TestInvalidSettingsAreRejected checks that New rejects invalid policies with an error that says why.
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
				t.Errorf("got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
	if _, err := New(Settings{}); err == nil {
		t.Error("settings without a class: got no error")
	}
}

// TestInvalidAttemptBudgetIsRejected checks that New rejects budgets that are negative, infinite or without a window.
func TestInvalidAttemptBudgetIsRejected(t *testing.T) {
	tests := []struct {
		name   string
		budget AttemptBudget
		ok     bool
	}{
		{"valid", AttemptBudget{1, 0.15, time.Second}, true},
		{"no further attempts", AttemptBudget{0, 0, time.Second}, true},
		{"negative spare", AttemptBudget{-1, 0.15, time.Second}, false},
		{"negative share", AttemptBudget{1, -0.15, time.Second}, false},
		{"share is not a number", AttemptBudget{1, math.NaN(), time.Second}, false},
		{"infinite spare", AttemptBudget{math.Inf(1), 0, time.Second}, false},
		{"no window", AttemptBudget{1, 0.15, 0}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings(1, true, false, false)
			s.Rules.Budget = &tt.budget
			if _, err := New(s); (err == nil) != tt.ok {
				t.Errorf("got error %v, want a valid budget: %v", err, tt.ok)
			}
		})
	}
}

// TestAttemptBudget guards against more further attempts than the rule allows for the requests of the window: retries
// once had a saved-up budget of their own.
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
					t.Error("a request beyond the budget is still open")
				}
			}
			if further != tt.want {
				t.Errorf("got %d further attempts, want %d", further, tt.want)
			}
		})
	}
}

// TestOwnStallIsNotTakenForQueueing guards against suspecting a worker after a stall of the dispatcher itself: the
// notice of a prompt start then arrives late.
func TestOwnStallIsNotTakenForQueueing(t *testing.T) {
	for _, stalled := range []bool{true, false} {
		h := newReadyHarness(t, testSettings(1, true, false, false), 1)
		_, req := h.sendRequest(2)
		if !stalled {
			for range 24 {
				h.now += 8 * ms
				h.handle(TimerFired{})
			}
		}
		h.now += 200 * ms
		h.handle(TimerFired{}, JobStarted{req.ID, 0})
		h.now += 8 * ms
		h.handle(TimerFired{}, h.endAttempt(req, 0, OK, nil))
		if raised := h.d.workers[1].ceiling > initialCeiling; raised != stalled {
			t.Errorf("own stall %v: ceiling raised: got %v, want %v", stalled, raised, stalled)
		}
	}
}

// TestAnswerIsEarlyByAKnownStall guards against missing a deadline: an answer that is put off to the last moment is
// late when the dispatcher stalls then.
func TestAnswerIsEarlyByAKnownStall(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 1)
	_, req := h.sendRequest(2)
	h.handle(JobStarted{req.ID, 0})
	for range 94 {
		h.now += 8 * ms
		h.handle(TimerFired{})
	}
	h.now += 100 * ms // a stall; 148 ms are left
	h.handle(TimerFired{})
	for range 8 {
		h.now += 8 * ms
		h.handle(TimerFired{})
	}
	if !req.answered {
		t.Error("not answered earlier than the deadline by the length of a known stall")
	}
}

// TestShortBudgetIsNotTakenForARetry guards against taking a first try with little time for a retry that has used up
// its time, and refusing it at once.
func TestShortBudgetIsNotTakenForARetry(t *testing.T) {
	tests := []struct {
		name          string
		marks, repeat bool
		budget        time.Duration
		late          bool
	}{
		{"little time", false, false, 300 * ms, false},
		{"most of the budget left, as of a retry", false, false, 800 * ms, true},
		{"marked", true, true, 300 * ms, true},
		{"not marked", true, false, 800 * ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings(1, false, false, false)
			s.RetriesMarked = tt.marks
			h := newReadyHarness(t, s, 1)
			h.sendRequest(2)
			h.sendRequest(0)
			req := h.newRequest(2, tt.budget)
			req.Retry = tt.repeat
			h.handle(req.Request)
			h.now += 10 * ms
			h.handle(TimerFired{})
			if req.answered != tt.late {
				t.Errorf("taken for late: got %v, want %v", req.answered, tt.late)
			}
		})
	}
}

// TestLateRequestLeavesTheInTimeQueue guards against a request past its aim that stays in the in-time queue as well,
// and is sent before requests that can still be in time.
func TestLateRequestLeavesTheInTimeQueue(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, false, false, false), 1)
	if got, _ := h.sendRequest(0); got != 1 { // fills the only worker
		t.Fatal("first request not sent")
	}
	h.sendRequest(0) // becomes late
	h.sendRequest(0) // a second one: no last resort while others wait
	h.now += 200 * ms
	h.handle(TimerFired{})
	fresh := h.newRequest(0, time.Second)
	h.handle(fresh.Request)
	for _, a := range h.handle(h.endAttempt(h.requests[1], 0, OK, nil)) {
		if s, ok := a.(Send); ok && s.Request != fresh.ID {
			t.Errorf("request %d was sent before the new request %d", s.Request, fresh.ID)
		}
	}
	if len(fresh.attempts) != 1 {
		t.Error("new request not sent")
	}
}

// TestRunTimeCountsFromStart guards against measuring a run time from the last progress report instead of the start.
func TestRunTimeCountsFromStart(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 1)
	_, req := h.sendRequest(0)
	h.now += 10 * ms
	h.handle(JobStarted{req.ID, 0})
	h.now += 500 * ms
	h.handle(JobProgress{req.ID, 0, 0.9})
	h.now += 20 * ms
	h.handle(h.endAttempt(req, 0, OK, nil))
	if run := h.d.classes[0].meanRun; run < 0.51 || run > 0.53 {
		t.Errorf("got a run time of %v s, want 0.52", run)
	}
}

// TestQueuedJobMoves checks that a job that its worker does not start moves to another worker where its class allows
// that, and that the first worker gets nothing new until it shows a sign of life.
func TestQueuedJobMoves(t *testing.T) {
	for class, wantMove := range []bool{true, true, false} {
		s := testSettings(1, true, false, false)
		s.Classes[0].LateWorth = 0 // otherwise it stays: few with late worth move
		h := newReadyHarness(t, s, 2)
		first, req := h.sendRequest(class)
		h.now += 60 * ms
		h.handle(TimerFired{})
		if moved := len(req.attempts) == 2 && req.attempts[1].worker.ID != first; moved != wantMove {
			t.Errorf("class %d: moved: got %v, want %v", class, moved, wantMove)
		}
		if got, _ := h.sendRequest(2); got == first {
			t.Errorf("class %d: worker %d got another job without a sign of life", class, first)
		}
	}
}

// TestQueuedJobIsCancelledOnlyWhenCongested checks that a job that still queues at its aim is cancelled only while
// more of this dispatcher's jobs queue at workers than run: each of many dispatchers finds room for its few jobs
// everywhere and holds none back.
func TestQueuedJobIsCancelledOnlyWhenCongested(t *testing.T) {
	for i, congested := range []bool{false, true, true} {
		s := testSettings(1, true, false, false)
		s.Classes[2].Stretch = 1
		s.Limits.Cancel = i < 2 // what cannot be cancelled is waited for: it would run anyway, and again for the client's retry
		h := newReadyHarness(t, s, 3)
		_, req := h.sendRequest(2)
		for range 2 {
			if _, other := h.sendRequest(2); !congested {
				h.handle(JobStarted{other.ID, 0})
			}
		}
		for range 10 { // it counts as queued from 20 ms on; its aim is 150 ms
			h.now += 20 * ms
			h.handle(TimerFired{})
		}
		if want := congested && s.Limits.Cancel; req.answered != want {
			t.Errorf("congested %v: answered: got %v, want %v", congested, req.answered, want)
		}
	}
}

// TestQueuedJobThatStartedIsNotCancelled guards against a job that counts as queued even after its start: it was
// cancelled at its aim while it ran, mostly in time, and with hundreds of dispatchers a fifth of the encoders' work
// was wasted.
func TestQueuedJobThatStartedIsNotCancelled(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes[2].Stretch = 1
	h := newReadyHarness(t, s, 3)
	_, req := h.sendRequest(2)
	h.sendRequest(2)
	h.sendRequest(2)
	for n := range 10 { // queued from 20 ms on, started at 100 ms, aim 150 ms; the other two stay queued
		h.now += 20 * ms
		if h.handle(TimerFired{}); n == 4 {
			h.handle(JobStarted{req.ID, 0})
		}
	}
	if req.answered {
		t.Error("a running job was cancelled at its aim")
	}
}

// TestRetryCountsFromTheFirstTry guards against holding a client's retry, recognized by its shorter budget, for a
// whole aim of its own, and then serving it too late.
func TestRetryCountsFromTheFirstTry(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, false, false, false), 1)
	h.sendRequest(2) // fills the worker and shows the budget of first tries
	h.sendRequest(0) // waits as well: no last resort
	second := h.newRequest(2, 800*ms)
	h.handle(second.Request)
	h.now += 10 * ms
	h.handle(TimerFired{})
	if !second.answered {
		t.Error("a request whose first try was 200 ms ago, past its aim of 150 ms, is still held")
	}
}

// TestCancelledJobDoesNotBarItsWorker guards against never trying a worker again: a job cancelled at a trusted worker
// kept its slot occupied there although nothing spoke against the worker.
func TestCancelledJobDoesNotBarItsWorker(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 1)
	_, req := h.sendRequest(0)
	h.now += 5 * ms
	h.handle(JobStarted{req.ID, 0})
	h.now += 2 * time.Second
	h.handle(h.endAttempt(req, 0, Cancelled, nil))
	if got, _ := h.sendRequest(2); got != 1 {
		t.Error("the worker gets no job although it is trusted")
	}
}

// TestPeersReceiveTheLoadOfEveryWorker guards against messages that leave out workers: a message holds some forty
// workers, and the others of a larger fleet must follow in the next ones.
func TestPeersReceiveTheLoadOfEveryWorker(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, false, true, true), 100)
	receiver := newHarness(t, testSettings(2, false, true, true))
	now := h.now + 20*time.Second
	for i := range 100 {
		h.d.workers[uint32(i+1)].ownSlots, h.d.loadChanged = 1, true
	}
	for range 4 {
		for _, a := range h.d.Handle(now, nil) {
			if m, ok := a.(SendToPeers); ok {
				if len(m.Body) > 256 {
					t.Fatalf("got a message of %d bytes, want at most 256", len(m.Body))
				}
				receiver.handle(PeerMessage{Peer: 1, Body: m.Body})
			}
		}
	}
	if n := len(receiver.d.peers[1].load); n != 100 {
		t.Errorf("peer received the load of %d workers, want 100", n)
	}
}

// TestPeerLoadCountsAtWorkersOfUnknownSize guards against taking a worker for empty while its size is unknown,
// whatever load the peers report there.
func TestPeerLoadCountsAtWorkersOfUnknownSize(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, false, true, true), 2)
	busy := appendLoad(newLoads(true), 1, [2]uint8{8, 0}, unknownLoad)
	h.handle(PeerMessage{Peer: 1, Body: busy})
	if got, _ := h.sendRequest(0); got != 2 {
		t.Errorf("got worker %d, want 2, which no peer uses", got)
	}
	if got, _ := h.sendRequest(0); got != 0 {
		t.Errorf("second job: got worker %d, want none, both are full", got)
	}
}

// TestTrialsOfSuspectedWorkers checks that a suspected worker gets a trial only from a repeatable request without
// attempts, unless no worker is trusted.
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
			h.d.setFailures(suspected, 3)
			if tt.outage {
				h.d.setFailures(other, 3)
			}
			r := &request{Request: Request{Class: tt.class, Slots: 1}, class: h.d.classes[tt.class], deadline: h.now + time.Second}
			for range tt.attempts {
				r.attempts = append(r.attempts, &attempt{worker: other, ended: true, neverRan: true})
			}
			if got := h.d.valid(r, suspected, Invalidate{Rule: Overload}); got != tt.want {
				t.Errorf("valid: got %v, want %v", got, tt.want)
			}
			suspected.abandoned = 2 // slots of abandoned attempts must not bar the trial that would free them
			if got := h.d.valid(r, suspected, Invalidate{Rule: Overload}); got != tt.want {
				t.Errorf("valid with slots of abandoned attempts: got %v, want %v", got, tt.want)
			}
			suspected.retryAt = h.now + time.Second
			if h.d.valid(r, suspected, Invalidate{Rule: Overload}) {
				t.Error("valid before the end of its backoff")
			}
		})
	}
}

// TestLastResort checks that a request that finds no room until its aim goes to a random healthy worker, but only
// while nothing else waits.
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
		h.handle(TimerFired{})
		if sent := len(req.attempts) == 1; sent != alone || req.answered == alone {
			t.Errorf("nothing else waits %v: sent %v, answered %v", alone, sent, req.answered)
		}
	}
}

// TestLeastValuableRequestMakesRoom checks which request is refused at the limit of open requests: a late one, or one
// of a class with less worth per run time, and the new one only if it is worth least. What was sent stays.
func TestLeastValuableRequestMakesRoom(t *testing.T) {
	s := testSettings(1, false, false, false)
	s.Limits.MaxOpen = 4
	h := newReadyHarness(t, s, 1)
	var reqs []*testRequest
	answered := func(class int, want ...bool) {
		_, req := h.sendRequest(class)
		reqs = append(reqs, req)
		for i, req := range reqs {
			if req.answered != want[i] {
				t.Errorf("with %d requests: request %d answered: got %v, want %v", len(reqs), i, req.answered, want[i])
			}
		}
	}
	answered(0, false) // sent
	answered(0, false, false)
	answered(0, false, false, false)
	h.now += 150 * ms // the two held ones become late
	h.handle(TimerFired{})
	answered(0, false, false, false, false)
	answered(1, false, false, true, false, false)
	answered(1, false, true, true, false, false, false)
	answered(1, false, true, true, true, false, false, false) // the requests of its own class are worth more
	answered(0, false, true, true, true, false, false, false, true)
}

// TestRefusedRequestsLeaveTheQueue guards against refused requests that stay in their queue behind all held ones:
// under overload each new request scanned all of them.
func TestRefusedRequestsLeaveTheQueue(t *testing.T) {
	s := testSettings(1, false, false, false)
	s.Limits.MaxOpen = 9
	h := newReadyHarness(t, s, 1)
	for i := range 300 {
		h.sendRequest(i % 2)
		if held := h.d.heldCount(); held > s.Limits.MaxOpen {
			t.Fatalf("got %d held after %d requests", held, i+1)
		}
	}
}

// TestOpenRequestsAreBounded checks that requests beyond the limit of open ones are refused at once.
func TestOpenRequestsAreBounded(t *testing.T) {
	s := testSettings(1, false, false, false)
	s.Limits.MaxOpen = 2
	h := newReadyHarness(t, s, 1)
	for i, want := range []bool{false, false, true} {
		if _, req := h.sendRequest(0); req.answered != want {
			t.Errorf("request %d answered: got %v, want %v", i, req.answered, want)
		}
	}
}

// TestStalledJobIsCopied checks that a running job without progress gets a second copy at another worker where its
// class allows a repeat, and that the stalled worker gets nothing new.
func TestStalledJobIsCopied(t *testing.T) {
	for class, want := range []int{2, 1, 1} { // the keyed request's window is over by then
		h := newReadyHarness(t, testSettings(1, true, false, false), 2)
		at, req := h.sendRequest(class)
		h.handle(JobStarted{req.ID, 0})
		for range 95 {
			h.now += 8 * ms
			h.handle(TimerFired{})
		}
		if len(req.attempts) != want {
			t.Errorf("class %d: got %d attempts, want %d", class, len(req.attempts), want)
		}
		if got, _ := h.sendRequest(2); got == at {
			t.Errorf("class %d: the stalled worker got an unsafe job", class)
		}
	}
}
