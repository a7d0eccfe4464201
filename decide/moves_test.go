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
	moves, struck, windows := countMoves(t, 0.5, false)
	require.LessOrEqual(t, struck, moves, "workers struck for a queue")
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
	moves, struck, _ := countMoves(t, 0, true)
	few, _, _ := countMoves(t, 0.5, false)
	require.Equal(t, few, moves)
	require.LessOrEqual(t, struck, moves, "workers struck for a queue")
}

// moved has 200 jobs queue at first and tells how many moved, and in how many windows of the rule on attempts.
func countMoves(t *testing.T, lateWorth float64, patient bool) (moves, struck, windows int) {
	s := testSettings(1, true, false, false)
	s.Classes[0].LateWorth = lateWorth
	w := newReadyHarness(t, s, 40)
	start := w.now
	for range 200 {
		w.now += 10 * ms
		j := w.newRequest(0, time.Second)
		j.Patient = patient
		first := w.handle(j.Request)[0].(Send).Worker
		w.now += 60 * ms
		w.handle(Wake{})
		if len(j.attempts) == 2 {
			moves++
		} else if w.d.workers[first].strikes > 0 {
			struck++
		}
		w.handle(JobStarted{j.ID, len(j.attempts) - 1})
		w.now += 20 * ms
		w.handle(w.endAttempt(j, len(j.attempts)-1, OK, nil))
	}
	return moves, struck, int((w.now-start)/w.d.budget.Span) + 1
}

// TestHungJobMovesAllTheSame: without a sign of life from its worker it does not stand in a queue, and no share holds it.
func TestHungJobIgnoresTheLimitOnMoves(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes[0].LateWorth = 1
	w := newReadyHarness(t, s, 40)
	w.now += 10 * ms
	for range 3 { // they take the moves that there are
		w.sendRequest(0)
		w.now += 60 * ms
		w.handle(Wake{})
	}
	first, j := w.sendRequest(0)
	for range 50 {
		w.now += 10 * ms
		w.handle(Wake{})
	}
	require.Greater(t, len(j.attempts), 1)
	require.Positive(t, w.d.workers[first].strikes)
}

// TestQueueOfOthersIsNoHang: among many dispatchers one has a job or two at a worker, and hears nothing of it while those of
// others run. Where jobs queued for longer than four runs each counted as hung and was moved, so that it ran twice.
func TestQueueBehindOthersJobsIsNotAHang(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Classes[0].LateWorth = 0.5
	w := newReadyHarness(t, s, 40)
	moves := 0
	for n := range 60 {
		w.now += 10 * ms
		_, j := w.sendRequest(0)
		for range 40 { // its worker is at work for others
			w.now += 10 * ms
			w.handle(Wake{})
		}
		if n >= 20 && len(j.attempts) > 1 {
			moves++
		}
		for try := range j.attempts { // what is called off runs all the same
			w.handle(JobStarted{j.ID, try})
		}
		w.now += 20 * ms
		w.handle(w.endAttempt(j, len(j.attempts)-1, OK, nil))
	}
	require.LessOrEqual(t, moves, 2)
}

// TestCeilingGrowsForLargeJobs: a job of two slots at a ceiling of three leaves no room for another. Its prompt start, or
// end where starts are not told, once said nothing: such jobs went one at a time for ever.
func TestCeilingGrowsForLargeJobs(t *testing.T) {
	for _, starts := range []bool{true, false} {
		w := newReadyHarness(t, testSettings(1, starts, false, false), 1)
		for _, v := range w.d.workers {
			v.ceiling = 3
		}
		for range 40 {
			w.now += 10 * ms
			q := w.newRequest(0, time.Second)
			q.Request.Slots = 2
			w.handle(q.Request)
			require.Len(t, q.attempts, 1)
			if starts {
				w.handle(JobStarted{q.ID, 0})
			}
			w.now += 20 * ms
			w.handle(w.endAttempt(q, 0, OK, nil))
		}
		for _, v := range w.d.workers {
			require.GreaterOrEqual(t, v.ceiling, 4.0, "starts told: %v", starts)
		}
	}
}

// TestCeilingGrowsForJobsOfMuchMemory: at a ceiling of two, one job of a unit and a tenth of memory leaves a slot free and no
// room for another. It never was at its ceiling, which never grew: a worker of eight slots had one such job at a time.
func TestCeilingGrowsForMemoryHeavyJobs(t *testing.T) {
	w := newReadyHarness(t, testSettings(1, true, true, false), 1)
	most := 0
	for range 40 {
		w.now += 10 * ms
		for range 4 {
			q := w.newRequest(0, time.Second)
			q.Request.Memory = 1.1
			w.handle(q.Request)
		}
		running := 0
		for _, id := range w.active {
			if j := w.requests[id]; len(j.attempts) == 1 && !j.attempts[0].over {
				running++
				w.handle(JobStarted{id, 0})
			}
		}
		most = max(most, running)
		w.now += 20 * ms
		for _, id := range w.active {
			if j := w.requests[id]; len(j.attempts) == 1 && !j.attempts[0].over {
				w.handle(w.endAttempt(j, 0, OK, nil))
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
	w := newReadyHarness(t, s, 1)
	for _, v := range w.d.workers {
		v.ceiling = 6
	}
	w.d.extras = []time.Duration{w.now, w.now, w.now} // no more moves
	sent := 0
	for range 6 {
		if _, j := w.sendRequest(0); len(j.attempts) > 0 {
			sent++
		}
		w.now += 60 * ms
		w.handle(Wake{})
	}
	require.LessOrEqual(t, sent, 2, "to a worker that has started nothing since")
}
