package decide

import (
	"testing"
	"time"
)

// manyDispatchers returns settings of a site with so many dispatchers that each meets a worker seldom.
func manyDispatchers(starts, reports, peers bool) Settings {
	s := testSettings(1, starts, reports, peers)
	s.DispatcherCount = 100
	return s
}

// TestReportsRevealOthersLoad guards against sending jobs to full workers that look empty: with hundreds of
// dispatchers, what a few peers report of a worker is a small part of its load.
func TestReportsRevealOthersLoad(t *testing.T) {
	for _, active := range []float64{4, 1} {
		h := newReadyHarness(t, manyDispatchers(false, true, true), 2)
		for _, wk := range h.d.workers {
			wk.learnedSize = 4
		}
		first, req := h.sendRequest(0)
		h.now += 100 * ms
		h.handle(h.endAttempt(req, 0, OK, &Report{Active: active, FreeSlots: 0, FreeMemory: -1}))
		at := h.d.workers[first]
		at.ownSlots = 1 // another job of this dispatcher
		if got, _ := h.sendRequest(0); (got == first) != (active == 1) {
			t.Errorf("with %v jobs reported, the next job went to worker %d, the first to %d", active, got, first)
		}
	}
}

// TestLoadIsSentToTheOwnGroupOnly checks that a dispatcher sends a change of its load only to the peers of its own
// group, and passes on what workers reported of other dispatchers' load.
func TestLoadIsSentToTheOwnGroupOnly(t *testing.T) {
	s := manyDispatchers(false, true, true)
	s.DispatcherIndex = 3
	h := newReadyHarness(t, s, 2)
	_, req := h.sendRequest(0)
	h.now += 100 * ms
	messages := map[int][]byte{}
	for _, a := range h.handle(h.endAttempt(req, 0, OK, &Report{Active: 4, FreeSlots: 1, FreeMemory: -1})) {
		if m, ok := a.(SendToPeers); ok {
			messages[m.To] = m.Body
		}
	}
	if len(messages) == 0 || len(messages) > peerGroupSize {
		t.Fatalf("got messages to %d peers, want 1 to the size of a group", len(messages))
	}
	for n, body := range messages {
		peer := newReadyHarness(t, s, 2)
		if n%h.d.peerGroups() != h.d.peerGroup() || n == s.DispatcherIndex {
			t.Errorf("got a message to dispatcher %d, which is not of the group", n)
		}
		peer.handle(PeerMessage{Peer: 3, Body: body})
		if got := peer.d.workers[req.attempts[0].worker.ID].foreignSlots; got != 3 {
			t.Errorf("the peer counts a load of %v by others, want 3", got)
		}
	}
}

// TestFailingZoneIsAvoided guards against sending most jobs into a lost zone: a dispatcher meets the workers of a zone
// too seldom to find each of them bad.
func TestFailingZoneIsAvoided(t *testing.T) {
	s := manyDispatchers(true, false, false)
	s.Limits.MaxAttempts = 1
	h := newHarness(t, s)
	var lines []Worker
	for id := range uint32(200) {
		l := Worker{ID: id + 1, Zone: int(id % 2), State: Ready}
		h.list[l.ID] = l
		lines = append(lines, l)
	}
	h.handle(ListFull{Workers: lines})
	lost := 0
	for i := range 80 {
		h.now += 200 * ms
		at, req := h.sendRequest(2)
		if h.now += 10 * ms; h.list[at].Zone == 0 {
			h.handle(h.endAttempt(req, 0, ConnectFailed, nil))
			if i >= 40 {
				lost++
			}
		} else {
			h.handle(JobStarted{req.ID, 0})
			h.handle(h.endAttempt(req, 0, OK, nil))
		}
	}
	if lost == 0 || lost > 25 {
		t.Errorf("%d of the last 40 jobs went first to the lost zone, want 1 to 25", lost)
	}
}

// TestSlowRefusalBarsOneClassOnly checks that a worker that refuses a class after a while still gets the other
// classes, and one that refuses at once gets none.
func TestSlowRefusalBarsOneClassOnly(t *testing.T) {
	for _, slow := range []bool{true, false} {
		h := newReadyHarness(t, testSettings(1, true, false, false), 1)
		_, req := h.sendRequest(0)
		h.d.now += 5 * ms
		if slow {
			h.d.now += 50 * ms
		}
		r := h.d.requests[req.ID]
		h.d.workerRefused(r, r.attempts[0])
		same := &request{Request: Request{Class: 0, Slots: 1}, class: h.d.classes[0], deadline: h.now + time.Second}
		other := &request{Request: Request{Class: 2, Slots: 1}, class: h.d.classes[2], deadline: h.now + time.Second}
		h.d.workers[1].ceiling, h.d.trustedWorkers = 5, max(h.d.trustedWorkers, 1)
		if h.d.valid(same, h.d.workers[1], Invalidate{Rule: Overload}) {
			t.Errorf("slow refusal %v: got the worker valid for the class that it refused", slow)
		}
		if shedding := h.d.admitted < 1; shedding == slow {
			t.Errorf("slow refusal %v: taken for overload: got %v, want %v", slow, shedding, !slow)
		}
		if got := h.d.valid(other, h.d.workers[1], Invalidate{Rule: Overload}); got != slow {
			t.Errorf("slow refusal %v: valid for another class: got %v, want %v", slow, got, slow)
		}
	}
}

// TestAdmissionUnderOverload guards against sending everything into full queues: with hundreds of dispatchers each has
// a job or two in progress, and no ceiling shows overload. While starts are late, a part of the requests is held back,
// except those worth more than most: among many dispatchers such requests seldom meet, and as many of them were held
// back as of the others.
func TestAdmissionUnderOverload(t *testing.T) {
	for i, late := range []bool{true, false, true} {
		class := 2 * (i / 2) // class 0 (worth 5) twice, then class 2 (worth 10)
		h := newReadyHarness(t, manyDispatchers(true, false, false), 100)
		sent := 0
		for i := range 120 {
			h.now += 20 * ms
			at, req := h.sendRequest(class)
			if at == 0 {
				continue
			}
			h.d.adjustAdmission(late)
			if i >= 60 {
				sent++
			}
			h.handle(JobStarted{req.ID, 0}, h.endAttempt(req, 0, OK, nil))
			h.d.admitted = min(h.d.admitted, 1)
			if late {
				h.d.adjustAdmission(late)
			}
		}
		if (sent < 60) != (late && class == 0) {
			t.Errorf("class %d, late starts %v: got %d of 60 sent at once", class, late, sent)
		}
	}
}

// TestEqualClassesAllWaitForTokens guards against a rounding error: the mean of ten equal worths was slightly below
// each of them, so that no class waited for a token.
func TestEqualClassesAllWaitForTokens(t *testing.T) {
	s := manyDispatchers(true, false, false)
	for len(s.Classes) < 10 {
		s.Classes = append(s.Classes, s.Classes[0])
	}
	for i := range s.Classes {
		s.Classes[i].Worth = 0.7
	}
	s.Policies = nil
	h := newReadyHarness(t, s, 100)
	h.d.admitted, h.d.tokens = minAdmitted, 0
	if at, _ := h.sendRequest(3); at != 0 {
		t.Error("request sent without a token")
	}
}

// TestSlowConnectingIsNotTakenForQueueing checks that, where new connections take long, a job that waits for one is
// not taken for queued. It moves only to a worker with an open connection.
func TestSlowConnectingIsNotTakenForQueueing(t *testing.T) {
	for _, slow := range []bool{true, false} {
		s := testSettings(1, true, false, false)
		s.Classes[0].LateWorth = 0 // otherwise it stays: few with late worth move
		h := newReadyHarness(t, s, 2)
		for i := range h.d.connSetups {
			if slow {
				h.d.connSetups[i] = 80 * ms
			}
		}
		_, req := h.sendRequest(0)
		for range 5 {
			h.now += 8 * ms
			h.handle(TimerFired{})
		}
		if moved := len(req.attempts) > 1; moved == slow {
			t.Errorf("slow connecting %v: moved %v", slow, moved)
		}
	}
}

// TestSecondCopyAtTheAim checks that, where workers do not report starts, a safe job gets a second copy at its aim: it
// may queue unseen behind long jobs, and the copy can still end in time.
func TestSecondCopyAtTheAim(t *testing.T) {
	for class, want := range []int{2, 1, 1, 1} {
		s := manyDispatchers(false, true, true)
		if class == 3 { // a safe one where all dispatchers exchange their load
			class, s.DispatcherCount = 0, 4
		}
		h := newReadyHarness(t, s, 2)
		_, req := h.sendRequest(class)
		for range 14 { // 112 ms, the aim is 100 ms
			h.now += 8 * ms
			h.handle(TimerFired{})
		}
		if len(req.attempts) != want {
			t.Errorf("class %d: got %d attempts, want %d", class, len(req.attempts), want)
		}
	}
}

// TestWorkerWithLateStartsLosesItsRank guards against staying with a first choice that starts jobs late while others
// are idle: by chance, many dispatchers rank the same worker first.
func TestWorkerWithLateStartsLosesItsRank(t *testing.T) {
	for _, late := range []bool{true, false} {
		h := newReadyHarness(t, manyDispatchers(true, false, false), 30)
		first := uint32(0)
		for i := range 60 {
			at, req := h.sendRequest(0)
			if i == 0 {
				first = at
			}
			if at == 0 {
				continue
			}
			h.now += ms
			if late && at == first {
				h.now += 50 * ms // without a timer in between
				h.d.timerDue = h.now
			}
			h.handle(JobStarted{req.ID, 0})
			h.now += 100 * ms
			h.d.timerDue = h.now
			h.handle(h.endAttempt(req, 0, OK, nil))
		}
		h.d.sortAfter = 0
		h.handle()
		if left := h.d.classes[0].blocks[2].members[0].ID != first; left != late {
			t.Errorf("late starts %v: the first choice changed: got %v, want %v", late, left, late)
		}
	}
}
