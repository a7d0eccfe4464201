package decide

import (
	"testing"
	"time"
)

// TestOldConnectionsAreClosed: connections dropped unseen after some idle time cost a
// request each, an unsafe one for good. The age at which sends fail is learned, whether they
// fail by a reset or by silence, and older ones are closed first; a fleet that fails at
// any age is left alone.
func TestConnectionsOfFailingIdleAgesAreClosed(t *testing.T) {
	tests := []struct {
		name       string
		starts     bool
		old, young Outcome
		want       bool
	}{
		{"resets when old", false, Reset, OK, true},
		{"silence when old", true, TimedOut, OK, true},
		{"moved: no evidence", true, Cancelled, OK, true},
		{"resets at any age", false, Reset, Reset, false},
		{"no trouble", false, OK, OK, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings(1, tt.starts, false, false)
			s.Limits.ConnIdle = 16 * time.Second
			h := newReadyHarness(t, s, 1)
			wk := h.d.workers[1]
			released := false
			for i := range 40 {
				idle, outcome := 100*ms, tt.young
				if i%2 == 1 {
					idle, outcome = 2*time.Second, tt.old
				}
				class := 2
				if i%4 == 1 { // the safe class is the first to try an age
					class = 0
				}
				r := &request{Request: Request{Class: class, Slots: 1}, c: h.d.classes[class]}
				wk.conns, wk.freed = 1, h.d.now
				h.d.now += idle
				h.d.out = nil
				a := &attempt{w: wk, sent: h.d.now, note: h.d.now}
				h.d.connect(r, a, false)
				if i%2 == 1 {
					if released = len(h.d.out) > 0; released {
						outcome = OK
					}
				} else if len(h.d.out) > 0 {
					t.Fatal("a young connection was closed")
				}
				h.d.now += 10 * ms
				h.d.judgeConn(r, a, outcome)
			}
			if released != tt.want {
				t.Errorf("an old connection is closed first: %v, want %v", released, tt.want)
			}
			if wk.open != 0 {
				t.Errorf("%d connections in use after the last end", wk.open)
			}
		})
	}
}

// What breaks on a connection kept idle tells of whoever drops idle ones, not of the worker:
// that keeps its trust, and what goes out next goes on younger connections, an unsafe job on
// still younger ones. With time older ones are tried again.
func TestBrokenIdleConnectionIsNotHeldAgainstItsWorker(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Limits.ConnIdle = 16 * time.Second
	h := newReadyHarness(t, s, 1)
	wk := h.d.workers[1]
	r := &request{Request: Request{ID: 7, Slots: 1}, c: h.d.classes[0], arrived: h.d.now, due: h.d.now + time.Hour}
	h.d.requests[7] = r
	if !h.d.send(r, wk) {
		t.Fatal("not sent")
	}
	h.d.ended(AttemptEnded{Request: 7, Outcome: Reset, Kept: time.Second})
	if wk.strikes != 0 {
		t.Error("the worker lost its trust")
	}
	if got := h.d.idleLimit(Safe); got != time.Second/2 {
		t.Errorf("connections idle for %v are used, want half of what broke", got)
	}
	if got := h.d.idleLimit(Unsafe); got != time.Second/4 {
		t.Errorf("unsafe jobs use connections idle for %v, want half of that", got)
	}
	h.d.now += time.Hour
	if got := h.d.idleLimit(Unsafe); got != s.Limits.ConnIdle*3/5 {
		t.Errorf("an hour later: %v", got)
	}
}

// A kept connection that carries nothing lost a job that must not run twice, again and again. Once
// one is known (its worker lives, and confirms what comes on others), such jobs go out on new ones.
func TestUnsafeRequestsAvoidSilentConnections(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Limits.ConnIdle = 16 * time.Second
	h := newReadyHarness(t, s, 1)
	send := func(class int) (*testRequest, bool) {
		h.d.workers[1].ceiling = 9
		req := h.newRequest(class, 10*time.Second)
		for _, a := range h.handle(Wake{}, req.Request) {
			if s, ok := a.(Send); ok && s.Request == req.ID {
				return req, s.Fresh
			}
		}
		t.Fatalf("class %d was not sent: strikes %d", class, h.d.workers[1].strikes)
		return nil, false
	}
	firstKept, _ := send(2)
	secondKept, _ := send(2)
	h.handle(Taken{firstKept.ID, 0}, h.endAttempt(firstKept, 0, OK, nil), Taken{secondKept.ID, 0}, h.endAttempt(secondKept, 0, OK, nil)) // two are kept
	first, _ := send(2)
	h.handle(Taken{first.ID, 0}, JobStarted{first.ID, 0})
	lost, _ := send(2) // its connection carries nothing, and it is taken to queue
	h.now += 500 * ms
	h.handle(Wake{})
	if h.d.silent > 0 {
		t.Error("its worker may be silent, not the connection")
	}
	reportProgress := func() { // the worker tells of another job
		h.now += 10 * ms
		for range 9 {
			h.handle(Wake{}, JobProgress{first.ID, 0, 0.5})
		}
	}
	reportProgress()
	if _, fresh := send(2); !fresh {
		t.Error("an unsafe job on a kept connection")
	}
	reportProgress()
	if _, fresh := send(0); fresh {
		t.Error("a repeatable job needs no new one")
	}
	h.handle(h.endAttempt(lost, 0, TimedOut, nil))
	h.now += s.Limits.ConnIdle
	reportProgress()
	if h.now < h.d.silent {
		t.Error("connections are never trusted again")
	}
}
