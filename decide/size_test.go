package decide

import (
	"testing"
	"time"
)

// crowd is a site with so many dispatchers that one meets a worker seldom.
func manyDispatchers(starts, reports, peers bool) Settings {
	s := testSettings(1, starts, reports, peers)
	s.Dispatchers = 100
	return s
}

// TestReportsTellOfOthers: with hundreds of dispatchers, what a few peers tell of a worker is a
// small part of its load; jobs went to full workers that looked empty.
func TestReportsRevealOthersLoad(t *testing.T) {
	for _, active := range []float64{4, 1} {
		w := newReadyHarness(t, manyDispatchers(false, true, true), 2)
		for _, wk := range w.d.workers {
			wk.slots = 4
		}
		first, j := w.sendRequest(0)
		w.now += 100 * ms
		w.handle(w.endAttempt(j, 0, OK, &Report{Active: active, FreeSlots: 0, FreeMemory: -1}))
		at := w.d.workers[first]
		at.own = 1 // and another job of ours
		if got, _ := w.sendRequest(0); (got == first) != (active == 1) {
			t.Errorf("with %v reported held, the next job went to %d, the first to %d", active, got, first)
		}
	}
}

// TestPartyHears: a change is told to the dispatcher's party alone, and what it was told
// of others' load goes on to the peers.
func TestLoadIsSentToTheOwnGroupOnly(t *testing.T) {
	s := manyDispatchers(false, true, true)
	s.Dispatcher = 3
	w := newReadyHarness(t, s, 2)
	_, j := w.sendRequest(0)
	w.now += 100 * ms
	told := map[int][]byte{}
	for _, a := range w.handle(w.endAttempt(j, 0, OK, &Report{Active: 4, FreeSlots: 1, FreeMemory: -1})) {
		if m, ok := a.(TellPeers); ok {
			told[m.To] = m.Body
		}
	}
	if len(told) == 0 || len(told) > partySize {
		t.Fatalf("told %d peers", len(told))
	}
	for n, body := range told {
		peer := newReadyHarness(t, s, 2)
		if n%w.d.parties() != w.d.party() || n == s.Dispatcher {
			t.Errorf("told dispatcher %d", n)
		}
		peer.handle(PeerSaid{Peer: 3, Body: body})
		if got := peer.d.workers[j.attempts[0].worker.ID].foreign; got != 3 {
			t.Errorf("the peer takes others to hold %v, want 3", got)
		}
	}
}

// TestZoneShunned: a dispatcher meets the workers of a zone too seldom to find them bad
// one by one; most of its jobs went on into a lost zone.
func TestFailingZoneIsAvoided(t *testing.T) {
	s := manyDispatchers(true, false, false)
	s.Limits.Attempts = 1
	w := newHarness(t, s)
	var lines []Worker
	for id := range uint32(200) {
		l := Worker{ID: id + 1, Zone: int(id % 2), State: Ready}
		w.list[l.ID] = l
		lines = append(lines, l)
	}
	w.handle(ListFull{Workers: lines})
	lost := 0
	for i := range 80 {
		w.now += 200 * ms
		at, j := w.sendRequest(2)
		if w.now += 10 * ms; w.list[at].Zone == 0 {
			w.handle(w.endAttempt(j, 0, ConnectFailed, nil))
			if i >= 40 {
				lost++
			}
		} else {
			w.handle(JobStarted{j.ID, 0})
			w.handle(w.endAttempt(j, 0, OK, nil))
		}
	}
	if lost == 0 || lost > 25 {
		t.Errorf("%d of the last 40 jobs went first to the lost zone, want a few", lost)
	}
}

// TestFullOfOneClass: a worker that says slowly that it is full of one class still gets
// the others; one that says so at once gets none.
func TestSlowRefusalBarsOneClassOnly(t *testing.T) {
	for _, slow := range []bool{true, false} {
		w := newReadyHarness(t, testSettings(1, true, false, false), 1)
		_, j := w.sendRequest(0)
		w.d.now += 5 * ms
		if slow {
			w.d.now += 50 * ms
		}
		r := w.d.requests[j.ID]
		w.d.refused(r, r.attempts[0])
		same := &request{Request: Request{Class: 0, Slots: 1}, c: w.d.classes[0], due: w.now + time.Second}
		other := &request{Request: Request{Class: 2, Slots: 1}, c: w.d.classes[2], due: w.now + time.Second}
		w.d.workers[1].ceiling, w.d.trusted = 5, max(w.d.trusted, 1)
		if w.d.valid(same, w.d.workers[1], Invalidate{Rule: Overload}) {
			t.Errorf("slow %v: valid for the class that was refused", slow)
		}
		if shed := w.d.admitted < 1; shed == slow {
			t.Errorf("slow %v: taken for overload %v", slow, shed)
		}
		if got := w.d.valid(other, w.d.workers[1], Invalidate{Rule: Overload}); got != slow {
			t.Errorf("slow %v: valid for another class %v", slow, got)
		}
	}
}

// TestAdmission: with hundreds of dispatchers each has a job or two out and no ceiling shows
// overload; all was sent into full queues. A part is held back while starts are late, but of what is worth more than
// most: among many no two meet at one dispatcher, and as much of it was held back as of the rest.
func TestAdmissionUnderOverload(t *testing.T) {
	for i, late := range []bool{true, false, true} {
		class := 2 * (i / 2) // worth 5, 9 and 10
		w := newReadyHarness(t, manyDispatchers(true, false, false), 100)
		sent := 0
		for i := range 120 {
			w.now += 20 * ms
			at, j := w.sendRequest(class)
			if at == 0 {
				continue
			}
			w.d.crowded(late)
			if i >= 60 {
				sent++
			}
			w.handle(JobStarted{j.ID, 0}, w.endAttempt(j, 0, OK, nil))
			w.d.admitted = min(w.d.admitted, 1)
			if late {
				w.d.crowded(late)
			}
		}
		if (sent < 60) != (late && class == 0) {
			t.Errorf("class %d, late %v: %d of 60 sent at once", class, late, sent)
		}
	}
}

// TestEqualClassesAllWait: the mean of ten equal worths came to a hair under each, and none waited for a token.
func TestEqualClassesAllWaitForTokens(t *testing.T) {
	s := manyDispatchers(true, false, false)
	for len(s.Classes) < 10 {
		s.Classes = append(s.Classes, s.Classes[0])
	}
	for i := range s.Classes {
		s.Classes[i].Worth = 0.7
	}
	s.Policies = nil
	w := newReadyHarness(t, s, 100)
	w.d.admitted, w.d.tokens = leastAdmitted, 0
	if at, _ := w.sendRequest(3); at != 0 {
		t.Error("sent without a token")
	}
}

// TestSlowSetup: where new connections take long, a job that waits for one is not taken for
// queued, and it moves only to a worker with an open connection.
func TestSlowConnectingIsNotTakenForQueueing(t *testing.T) {
	for _, slow := range []bool{true, false} {
		s := testSettings(1, true, false, false)
		s.Classes[0].LateWorth = 0 // else it stays: few of those move
		w := newReadyHarness(t, s, 2)
		for i := range w.d.setups {
			if slow {
				w.d.setups[i] = 80 * ms
			}
		}
		_, j := w.sendRequest(0)
		for range 5 {
			w.now += 8 * ms
			w.handle(Wake{})
		}
		if moved := len(j.attempts) > 1; moved == slow {
			t.Errorf("slow set-up %v: moved %v", slow, moved)
		}
	}
}

// TestCopyAtTheAim: where starts are not told, a job may queue unseen behind long ones; a
// safe one gets a second copy while that can still end in time.
func TestSecondCopyAtTheAim(t *testing.T) {
	for class, want := range []int{2, 1, 1, 1} {
		s := manyDispatchers(false, true, true)
		if class == 3 { // a safe one where all tell their load
			class, s.Dispatchers = 0, 4
		}
		w := newReadyHarness(t, s, 2)
		_, j := w.sendRequest(class)
		for range 14 { // 112 ms, the aim is 100 ms
			w.now += 8 * ms
			w.handle(Wake{})
		}
		if len(j.attempts) != want {
			t.Errorf("class %d: %d attempts, want %d", class, len(j.attempts), want)
		}
	}
}

// TestLateHeadIsLeft: many dispatchers choose alike by chance, and each stayed with a head
// that started its jobs late while others stood idle.
func TestWorkerWithLateStartsLosesItsRank(t *testing.T) {
	for _, late := range []bool{true, false} {
		w := newReadyHarness(t, manyDispatchers(true, false, false), 30)
		first := uint32(0)
		for i := range 60 {
			at, j := w.sendRequest(0)
			if i == 0 {
				first = at
			}
			if at == 0 {
				continue
			}
			w.now += ms
			if late && at == first {
				w.now += 50 * ms // and no timer in between
				w.d.wakeAt = w.now
			}
			w.handle(JobStarted{j.ID, 0})
			w.now += 100 * ms
			w.d.wakeAt = w.now
			w.handle(w.endAttempt(j, 0, OK, nil))
		}
		w.d.ordered = 0
		w.handle()
		if left := w.d.classes[0].blocks[2].members[0].ID != first; left != late {
			t.Errorf("late %v: the head was left %v", late, left)
		}
	}
}
