package decide

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFewQueuedRequestsMove guards against moving each queued job: workers may ignore cancellations, and where none
// drops a job, a third of the load ran twice, more jobs queued, and healthy workers were suspected for their queues,
// so that nearly everything was refused while workers had room. Few requests move; the others stay, and their workers
// stay trusted.
func TestFewQueuedRequestsMove(t *testing.T) {
	moves, suspected, windows := countMoves(t, 0.5, false)
	require.LessOrEqual(t, suspected, moves, "workers suspected because of a queue")
	require.LessOrEqual(t, moves, int(maxMovedShare*200)+1, "in %d windows: two moves in each are too many with hundreds of dispatchers", windows)
}

// TestRequestsWithoutLateWorthMove checks that a job whose class earns nothing late does move: otherwise it is lost in
// its queue, and its client retries.
func TestRequestsWithoutLateWorthMove(t *testing.T) {
	late, _, _ := countMoves(t, 0, false)
	few, _, _ := countMoves(t, 0.5, false)
	require.Greater(t, late, 2*few+2)
}

// TestUntilDeadlineRequestsSeldomMove guards against moving a job with UntilDeadline as if it were lost in its queue:
// both copies ran.
func TestUntilDeadlineRequestsSeldomMove(t *testing.T) {
	moves, suspected, _ := countMoves(t, 0, true)
	few, _, _ := countMoves(t, 0.5, false)
	require.Equal(t, few, moves)
	require.LessOrEqual(t, suspected, moves, "workers suspected because of a queue")
}

// countMoves lets 200 jobs queue at first and counts those that moved, the workers suspected otherwise, and the
// windows of the rule on attempts.
func countMoves(t *testing.T, lateWorth float64, untilDeadline bool) (moves, suspected, windows int) {
	s := testSettings(1, true, false, false)
	s.Classes[0].LateWorth = lateWorth
	h := newReadyHarness(t, s, 40)
	start := h.now
	for range 200 {
		h.now += 10 * ms
		req := h.newRequest(0, time.Second)
		req.UntilDeadline = untilDeadline
		first := h.handle(req.Request)[0].(Send).Worker
		h.now += 60 * ms
		h.handle(TimerFired{})
		if len(req.attempts) == 2 {
			moves++
		} else if h.d.workers[first].failures > 0 {
			suspected++
		}
		h.handle(JobStarted{req.ID, len(req.attempts) - 1})
		h.now += 20 * ms
		h.handle(h.endAttempt(req, len(req.attempts)-1, OK, nil))
	}
	return moves, suspected, int((h.now-start)/h.d.budget.Window) + 1
}

// TestUnresponsiveWorkersJobIgnoresTheLimitOnMoves checks that a job whose worker shows no sign of life does not count
// as queued, and is repeated beyond the limit on moves.
func TestUnresponsiveWorkersJobIgnoresTheLimitOnMoves(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes[0].LateWorth = 1
	h := newReadyHarness(t, s, 40)
	h.now += 10 * ms
	for range 3 { // these use up the allowed moves
		h.sendRequest(0)
		h.now += 60 * ms
		h.handle(TimerFired{})
	}
	first, req := h.sendRequest(0)
	for range 50 {
		h.now += 10 * ms
		h.handle(TimerFired{})
	}
	require.Greater(t, len(req.attempts), 1)
	require.Positive(t, h.d.workers[first].failures)
}

// TestQueueBehindOthersJobsIsNotUnresponsive guards against running jobs twice: one of many dispatchers has a job or
// two at a worker and hears nothing while jobs of others run there, so where jobs queued for longer than four run
// times, each counted as unresponsive and was moved.
func TestQueueBehindOthersJobsIsNotUnresponsive(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes[0].LateWorth = 0.5
	h := newReadyHarness(t, s, 40)
	moves := 0
	for n := range 60 {
		h.now += 10 * ms
		_, req := h.sendRequest(0)
		for range 40 { // its worker runs jobs of others
			h.now += 10 * ms
			h.handle(TimerFired{})
		}
		if n >= 20 && len(req.attempts) > 1 {
			moves++
		}
		for try := range req.attempts { // cancelled attempts run nevertheless
			h.handle(JobStarted{req.ID, try})
		}
		h.now += 20 * ms
		h.handle(h.endAttempt(req, len(req.attempts)-1, OK, nil))
	}
	require.LessOrEqual(t, moves, 2)
}

// TestCeilingGrowsForLargeJobs guards against sending jobs of two slots one at a time forever: at a ceiling of three
// there is no room for a second one, so a prompt start, or an end in time where starts are not reported, must raise
// the ceiling although it is not reached.
func TestCeilingGrowsForLargeJobs(t *testing.T) {
	for _, starts := range []bool{true, false} {
		h := newReadyHarness(t, testSettings(1, starts, false, false), 1)
		for _, v := range h.d.workers {
			v.ceiling = 3
		}
		for range 40 {
			h.now += 10 * ms
			req := h.newRequest(0, time.Second)
			req.Request.Slots = 2
			h.handle(req.Request)
			require.Len(t, req.attempts, 1)
			if starts {
				h.handle(JobStarted{req.ID, 0})
			}
			h.now += 20 * ms
			h.handle(h.endAttempt(req, 0, OK, nil))
		}
		for _, v := range h.d.workers {
			require.GreaterOrEqual(t, v.ceiling, 4.0, "starts reported: %v", starts)
		}
	}
}

// TestCeilingGrowsForMemoryHeavyJobs guards against sending memory-heavy jobs one at a time to a worker of eight
// slots: at a ceiling of two, one job with 1.1 units of memory leaves a slot free but no room for another, so the
// ceiling was never reached and never grew.
func TestCeilingGrowsForMemoryHeavyJobs(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, true, false), 1)
	most := 0
	for range 40 {
		h.now += 10 * ms
		for range 4 {
			req := h.newRequest(0, time.Second)
			req.Request.Memory = 1.1
			h.handle(req.Request)
		}
		running := 0
		for _, id := range h.active {
			if req := h.requests[id]; len(req.attempts) == 1 && !req.attempts[0].over {
				running++
				h.handle(JobStarted{id, 0})
			}
		}
		most = max(most, running)
		h.now += 20 * ms
		for _, id := range h.active {
			if req := h.requests[id]; len(req.attempts) == 1 && !req.attempts[0].over {
				h.handle(h.endAttempt(req, 0, OK, nil))
			}
		}
	}
	require.Greater(t, most, 1)
}

// TestStalledWorkerGetsNoMoreJobs guards against filling a worker that has stopped: one that had shown room for many
// jobs was sent as many until the first of them counted as unresponsive, four run times later.
func TestStalledWorkerGetsNoMoreJobs(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes[0].LateWorth = 0.5
	h := newReadyHarness(t, s, 1)
	for _, v := range h.d.workers {
		v.ceiling = 6
	}
	h.d.extraAttempts = []time.Duration{h.now, h.now, h.now} // no moves left
	sent := 0
	for range 6 {
		if _, req := h.sendRequest(0); len(req.attempts) > 0 {
			sent++
		}
		h.now += 60 * ms
		h.handle(TimerFired{})
	}
	require.LessOrEqual(t, sent, 2, "jobs sent to a worker that has started none of them")
}
