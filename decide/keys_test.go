package decide

import (
	"math"
	"slices"
	"testing"
	"time"
)

// sendKeyed passes the event of a request with a key and returns the worker that it was sent to, or 0.
func (h *harness) sendKeyed(key uint64) (uint32, *testRequest) {
	h.t.Helper()
	req := h.newRequest(0, time.Second)
	req.Key = key
	h.handle(req.Request)
	if len(req.attempts) == 0 {
		return 0, req
	}
	return req.attempts[0].worker.ID, req
}

// TestAllDispatchersSendAKeyToOneWorker checks that all dispatchers send a key's jobs to the same worker, and hold
// them while it is full: elsewhere the data they need is fetched again and displaces what other keys need. When that
// worker leaves, only its keys move.
func TestAllDispatchersSendAKeyToOneWorker(t *testing.T) {
	workerOf := map[uint64]uint32{}
	for n := range 3 {
		s := testSettings(uint64(n), true, false, false)
		s.DispatcherIndex, s.DispatcherCount = n, 3
		for key := range uint64(20) {
			h := newReadyHarness(t, s, 8)
			got, _ := h.sendKeyed(key + 1)
			if want, ok := workerOf[key]; ok && got != want {
				t.Errorf("dispatcher %d sent key %d to worker %d, another to %d", n, key, got, want)
			}
			workerOf[key] = got
			if next, _ := h.sendKeyed(key + 1); next != 0 {
				t.Errorf("key %d: sent to worker %d while its worker %d was full, want it held", key, next, got)
			}
			h = newReadyHarness(t, s, 7)
			if left, _ := h.sendKeyed(key + 1); got != 8 && left != got {
				t.Errorf("key %d moved from worker %d, which is still there, to %d", key, got, left)
			}
		}
	}
}

// TestKeyedRequestsPreferTheirOwnZone checks that a keyed request goes to a worker of its own zone while that has
// room.
func TestKeyedRequestsPreferTheirOwnZone(t *testing.T) {
	for key := range uint64(20) {
		s := testSettings(1, true, false, false)
		s.Zone = 1
		h := newHarness(t, s)
		var lines []Worker
		for id := uint32(1); id <= 8; id++ {
			l := Worker{ID: id, Zone: int(id % 2), State: Ready}
			h.list[id], lines = l, append(lines, l)
		}
		h.handle(ListFull{Workers: lines})
		if first, _ := h.sendKeyed(key + 1); first%2 != 1 {
			t.Errorf("key %d: got worker %d of another zone though its own had room", key, first)
		}
	}
}

// TestWaitingKeyedRequestMayGoToMoreWorkers guards against holding a keyed request until it is refused, beside workers
// that nobody else waits for. Where many requests wait, a fetch elsewhere would take their place.
func TestWaitingKeyedRequestMayGoToMoreWorkers(t *testing.T) {
	for _, manyWait := range []bool{false, true} {
		h := newReadyHarness(t, testSettings(1, true, false, false), 8)
		h.sendKeyed(5)
		at, req := h.sendKeyed(5)
		if at != 0 {
			t.Fatal("the worker of the key is not full")
		}
		if manyWait {
			for range 8 {
				h.sendKeyed(5)
			}
		}
		r := h.d.requests[req.ID]
		before := h.d.keyWorkers(r)
		h.d.now += r.class.Aim
		if further := h.d.keyWorkers(r) > before; further == manyWait {
			t.Errorf("many wait %v: may go to more workers: got %v, want %v", manyWait, further, !manyWait)
		}
	}
}

// TestHotKeyUsesSeveralWorkers checks that a key whose jobs fill more than one worker is sent to several.
func TestHotKeyUsesSeveralWorkers(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 8)
	h.sendKeyed(5)
	h.d.keyedDemand = demand{Count: 400, Last: h.now}
	h.d.keyDemand[5] = h.d.keyedDemand
	var at []uint32
	for range 3 {
		if got, _ := h.sendKeyed(5); got != 0 && !slices.Contains(at, got) {
			at = append(at, got)
		}
	}
	if len(at) != 3 {
		t.Errorf("three more jobs of a hot key: got workers %v, want three different ones", at)
	}
}

// TestQueuedKeyedRequestStaysAtALiveWorker checks that a keyed request that queues at the worker of its key stays
// while that shows signs of life, since its data would have to be fetched elsewhere, and moves after an aim without
// any.
func TestQueuedKeyedRequestStaysAtALiveWorker(t *testing.T) {
	for _, alive := range []bool{true, false} {
		s := testSettings(1, true, false, false)
		h := newReadyHarness(t, s, 8)
		first, req := h.sendKeyed(5)
		h.d.keyDemand[5] = demand{Count: 50, Last: h.now}
		for range 50 {
			h.now += 10 * ms
			if alive {
				h.d.recordLife(h.d.workers[first])
			}
			h.handle(TimerFired{})
		}
		if moved := len(req.attempts) > 1; moved == alive {
			t.Errorf("worker alive %v: moved: got %v, want %v", alive, moved, !alive)
		}
	}
}

// TestLateRequestIsQueuedOnce guards against a queue that grows with each sweep: each added another entry for a late
// request.
func TestLateRequestIsQueuedOnce(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 1)
	_, running := h.sendRequest(0)
	h.handle(JobStarted{running.ID, 0})
	h.sendRequest(0)
	_, late := h.sendRequest(0)
	for h.now < late.due-200*ms {
		h.now += 10 * ms
		h.handle(TimerFired{})
	}
	if n := len(h.d.queues[1]); n > 2 {
		t.Errorf("got %d entries for two late requests", n)
	}
}

// TestWorkerErrorsAreComparedWithAllWorkers checks that requests that fail at any worker cost no worker its trust and
// are given up after a second one, while a worker that fails what others serve is found.
func TestWorkerErrorsAreComparedWithAllWorkers(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 6)
	suspected, before := 0, h.d.trustedWorkers
	for range 300 {
		h.now += 20 * ms
		suspected, before = suspected+max(0, before-h.d.trustedWorkers), h.d.trustedWorkers
		h.sendRequest(0)
		for _, id := range h.active {
			req := h.requests[id]
			for n := 0; n < len(req.attempts); n++ { // one in three fails at any worker, and all fail at worker 4
				if att := req.attempts[n]; !att.over {
					o := OK
					if id%3 == 0 || att.worker.ID == 4 {
						o = Errored
					}
					h.handle(JobStarted{id, n}, h.endAttempt(req, n, o, nil))
				}
				if n > 0 && req.attempts[n].worker.ID == req.attempts[n-1].worker.ID {
					t.Fatalf("repeated at worker %d, where it had failed", req.attempts[n].worker.ID)
				}
			}
			if len(req.attempts) > 2 || len(req.attempts) == 2 && !req.answered {
				t.Fatalf("got %d attempts, answered %v, want an answer after two errors", len(req.attempts), req.answered)
			}
		}
	}
	if suspected > 20 { // a few by chance, as a hundred requests failed
		t.Errorf("workers lost their trust %d times, want at most 20", suspected)
	}
	if h.d.workers[4].classBars[0].Doublings < 2 {
		t.Error("the worker that fails all requests is not barred")
	}
}

// TestErrorsBarOneClassAtAWorker guards against a worker that starts each job, which restores its trust, and fails
// those of one class, yet is sent more of them. Unsafe requests avoid it from the first error on until others have
// succeeded there.
func TestErrorsBarOneClassAtAWorker(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 2)
	for range 20 {
		h.d.recordJobEnd(h.d.workers[2], 0, false)
	}
	bad := h.d.workers[1]
	unsafe := &request{Request: Request{Class: 2, Slots: 1}, class: h.d.classes[2], deadline: h.now + time.Hour}
	valid := func() bool { return h.d.valid(unsafe, bad, Invalidate{Rule: Overload}) }
	h.d.now = h.now
	if !valid() {
		t.Fatal("unsafe request: worker not valid before any error")
	}
	for range 3 {
		h.d.recordJobEnd(bad, 0, true)
		h.d.recordLife(bad)
		if valid() {
			t.Error("unsafe request: worker valid right after an error")
		}
	}
	if f := bad.classBars; f[0].Until <= h.now || f[1].Until != 0 {
		t.Errorf("got classes 0 and 1 barred until %v and %v, want only the first barred", f[0].Until, f[1].Until)
	}
	h.d.now += 900 * ms
	if valid() {
		t.Error("unsafe request: worker valid before other jobs succeeded there")
	}
	for range 16 {
		h.d.recordJobEnd(bad, 0, false)
	}
	if !valid() {
		t.Error("unsafe request: worker not valid though other jobs succeed there")
	}
}

// TestLongKeyedJobsGoToAnyWorker guards against holding a job that runs many times as long as a fetch for the workers
// of its key, and refusing it at its aim while other workers are idle.
func TestLongKeyedJobsGoToAnyWorker(t *testing.T) {
	for class, want := range map[int]bool{0: false, 2: true} {
		h := newReadyHarness(t, testSettings(1, true, false, false), 8)
		for i, run := range []time.Duration{50 * ms, 50 * ms, 400 * ms} {
			c := h.d.classes[i]
			c.jobs, c.meanRun, c.meanLogRun = 100/float64(1+i), run.Seconds(), math.Log(run.Seconds())
		}
		h.sendKeyed(5)
		req := h.newRequest(class, time.Second)
		req.Key = 5
		if h.handle(req.Request); (len(req.attempts) > 0) != want {
			t.Errorf("class %d, the worker of its key full: got %d attempts", class, len(req.attempts))
		}
	}
}

// TestFullWorkerOfAKeyIsNoReasonToCrossZones guards against crossings that cost more than they gain. Where crossings
// have a price, a full worker of their key sends no jobs to another zone; they may cross when their zone fails.
func TestFullWorkerOfAKeyIsNoReasonToCrossZones(t *testing.T) {
	for _, price := range []float64{0, 0.1} {
		s := testSettings(1, true, false, false)
		s.Prices.CrossZone = price
		h := newHarness(t, s)
		var lines []Worker
		for id := uint32(1); id <= 8; id++ {
			l := Worker{ID: id, Zone: int(id % 2), State: Ready}
			h.list[id], lines = l, append(lines, l)
		}
		h.handle(ListFull{Workers: lines})
		crossed := 0
		var last *testRequest
		for key := range uint64(20) { // of workers with one slot each
			var at uint32
			if at, last = h.sendKeyed(key + 1); at%2 == 1 {
				crossed++
			}
		}
		if (crossed > 0) != (price == 0) {
			t.Errorf("price %v: got %d of 20 requests in the other zone", price, crossed)
		}
		r := h.d.requests[last.ID]
		h.d.zone(0).avoided = true
		if !h.d.mayCrossZones(r, r.class.blocks[0], r.class.blocks[1]) {
			t.Error("request stays in a zone that is avoided")
		}
	}
}
