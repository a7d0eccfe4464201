package decide

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFewQueuedJobsMove: nobody tells whether a worker drops what is called off. Where none does, moving each job that
// queued had a third of the load run twice, more queued, and for their queues healthy workers were shut out: nearly all
// was refused while workers had room. So few move; the others stay, and their workers stay trusted.
func TestFewQueuedRequestsMove(t *testing.T) {
	moves, suspected, windows := countMoves(t, 0.5, false)
	require.LessOrEqual(t, suspected, moves, "workers struck for a queue")
	require.LessOrEqual(t, moves, int(moveShare*200)+1, "two in each of %d windows were too many for a fleet of hundreds", windows)
}

// TestWhatIsWorthNothingLateMoves: a job whose class earns nothing late is lost if it stays in its queue, and its client asks
// anew. On the fleet's days few moves for such cost 0.04 to 0.06 of the day.
func TestRequestsWithoutLateWorthMove(t *testing.T) {
	late, _, _ := countMoves(t, 0, false)
	few, _, _ := countMoves(t, 0.5, false)
	require.Greater(t, late, 2*few+2)
}

// Guards against a job that is waited for however late being moved out of its queue as if it were lost there: both ran.
func TestPatientRequestsMoveAsSeldom(t *testing.T) {
	moves, suspected, _ := countMoves(t, 0, true)
	few, _, _ := countMoves(t, 0.5, false)
	require.Equal(t, few, moves)
	require.LessOrEqual(t, suspected, moves, "workers struck for a queue")
}

// moved has 200 jobs queue at first and tells how many moved, and in how many windows of the rule on attempts.
func countMoves(t *testing.T, lateWorth float64, patient bool) (moves, suspected, windows int) {
	s := testSettings(1, true, false, false)
	s.Classes[0].LateWorth = lateWorth
	h := newReadyHarness(t, s, 40)
	start := h.now
	for range 200 {
		h.now += 10 * ms
		req := h.newRequest(0, time.Second)
		req.Patient = patient
		first := h.handle(req.Request)[0].(Send).Worker
		h.now += 60 * ms
		h.handle(Wake{})
		if len(req.attempts) == 2 {
			moves++
		} else if h.d.workers[first].strikes > 0 {
			suspected++
		}
		h.handle(JobStarted{req.ID, len(req.attempts) - 1})
		h.now += 20 * ms
		h.handle(h.endAttempt(req, len(req.attempts)-1, OK, nil))
	}
	return moves, suspected, int((h.now-start)/h.d.budget.Span) + 1
}

// TestHungJobMovesAllTheSame: without a sign of life from its worker it does not stand in a queue, and no share holds it.
func TestHungJobIgnoresTheLimitOnMoves(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes[0].LateWorth = 1
	h := newReadyHarness(t, s, 40)
	h.now += 10 * ms
	for range 3 { // they take the moves that there are
		h.sendRequest(0)
		h.now += 60 * ms
		h.handle(Wake{})
	}
	first, req := h.sendRequest(0)
	for range 50 {
		h.now += 10 * ms
		h.handle(Wake{})
	}
	require.Greater(t, len(req.attempts), 1)
	require.Positive(t, h.d.workers[first].strikes)
}

// TestQueueOfOthersIsNoHang: among many dispatchers one has a job or two at a worker, and hears nothing of it while those of
// others run. Where jobs queued for longer than four runs each counted as hung and was moved, so that it ran twice.
func TestQueueBehindOthersJobsIsNotAHang(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes[0].LateWorth = 0.5
	h := newReadyHarness(t, s, 40)
	moves := 0
	for n := range 60 {
		h.now += 10 * ms
		_, req := h.sendRequest(0)
		for range 40 { // its worker is at work for others
			h.now += 10 * ms
			h.handle(Wake{})
		}
		if n >= 20 && len(req.attempts) > 1 {
			moves++
		}
		for try := range req.attempts { // what is called off runs all the same
			h.handle(JobStarted{req.ID, try})
		}
		h.now += 20 * ms
		h.handle(h.endAttempt(req, len(req.attempts)-1, OK, nil))
	}
	require.LessOrEqual(t, moves, 2)
}

// TestCeilingGrowsForLargeJobs: a job of two slots at a ceiling of three leaves no room for another. Its prompt start, or
// end where starts are not told, once said nothing: such jobs went one at a time for ever.
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
			require.GreaterOrEqual(t, v.ceiling, 4.0, "starts told: %v", starts)
		}
	}
}

// TestCeilingGrowsForJobsOfMuchMemory: at a ceiling of two, one job of a unit and a tenth of memory leaves a slot free and no
// room for another. It never was at its ceiling, which never grew: a worker of eight slots had one such job at a time.
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

// TestSilentWorkerGetsNoMore: a worker that had shown room for many and then stood still was sent as many until the first of
// them counted as hung, four runs later: on the days of planned restarts each new process lost a ceiling of jobs to each.
func TestStalledWorkerGetsNoMoreJobs(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes[0].LateWorth = 0.5
	h := newReadyHarness(t, s, 1)
	for _, v := range h.d.workers {
		v.ceiling = 6
	}
	h.d.extras = []time.Duration{h.now, h.now, h.now} // no more moves
	sent := 0
	for range 6 {
		if _, req := h.sendRequest(0); len(req.attempts) > 0 {
			sent++
		}
		h.now += 60 * ms
		h.handle(Wake{})
	}
	require.LessOrEqual(t, sent, 2, "to a worker that has started nothing since")
}
