package decide

import (
	"testing"
	"time"
)

// TestConnectionsOfFailingIdleTimesAreClosed guards against connections that are dropped without notice after some
// idle time: each costs a request, an unsafe one for good. The idle time at which sends fail, by a reset or by
// silence, is learned, and connections idle for that long are closed first. A worker that fails at any idle time is
// not affected.
func TestConnectionsOfFailingIdleTimesAreClosed(t *testing.T) {
	tests := []struct {
		name       string
		starts     bool
		old, young Outcome
		want       bool
	}{
		{"resets when old", false, Reset, OK, true},
		{"silence when old", true, TimedOut, OK, true},
		{"moved, which is no evidence", true, Cancelled, OK, true},
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
				if i%4 == 1 { // a safe request is the first to try an idle time
					class = 0
				}
				r := &request{Request: Request{Class: class, Slots: 1}, class: h.d.classes[class]}
				wk.conns, wk.connFreedAt = 1, h.d.now
				h.d.now += idle
				h.d.actions = nil
				a := &attempt{worker: wk, sentAt: h.d.now, lastReport: h.d.now}
				h.d.predictConn(r, a, false)
				if i%2 == 1 {
					if released = len(h.d.actions) > 0; released {
						outcome = OK
					}
				} else if len(h.d.actions) > 0 {
					t.Fatal("a connection idle for a short time was closed first")
				}
				h.d.now += 10 * ms
				h.d.recordConnEnd(r, a, outcome)
			}
			if released != tt.want {
				t.Errorf("connection idle for long closed first: got %v, want %v", released, tt.want)
			}
			if wk.connsInUse != 0 {
				t.Errorf("got %d connections in use after the last end, want 0", wk.connsInUse)
			}
		})
	}
}

// TestBrokenIdleConnectionIsNotHeldAgainstItsWorker checks that a break on a kept idle connection does not count
// against its worker, since it is caused by whatever drops idle connections. The next requests use connections that
// were idle for less time, unsafe ones for still less; over time older ones are tried again.
func TestBrokenIdleConnectionIsNotHeldAgainstItsWorker(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Limits.ConnIdle = 16 * time.Second
	h := newReadyHarness(t, s, 1)
	wk := h.d.workers[1]
	r := &request{Request: Request{ID: 7, Slots: 1}, class: h.d.classes[0], arrived: h.d.now, deadline: h.d.now + time.Hour}
	h.d.requests[7] = r
	if !h.d.send(r, wk) {
		t.Fatal("request not sent")
	}
	h.d.attemptEnded(AttemptEnded{Request: 7, Outcome: Reset, ConnIdle: time.Second})
	if wk.failures != 0 {
		t.Error("the worker is suspected")
	}
	if got := h.d.idleLimit(Safe); got != time.Second/2 {
		t.Errorf("got an idle limit of %v, want half the age of the broken connection", got)
	}
	if got := h.d.idleLimit(Unsafe); got != time.Second/4 {
		t.Errorf("unsafe requests: got an idle limit of %v, want half of that", got)
	}
	h.d.now += time.Hour
	if got := h.d.idleLimit(Unsafe); got != s.Limits.ConnIdle*3/5 {
		t.Errorf("an hour later: got an idle limit of %v, want the initial one", got)
	}
}

// TestUnsafeRequestsAvoidSilentConnections guards against losing unsafe requests on kept connections that carry
// nothing. Once one is known, because its worker shows signs of life and confirms attempts on other connections,
// unsafe requests use new connections.
func TestUnsafeRequestsAvoidSilentConnections(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Limits.ConnIdle = 16 * time.Second
	h := newReadyHarness(t, s, 1)
	send := func(class int) (*testRequest, bool) {
		h.d.workers[1].ceiling = 9
		req := h.newRequest(class, 10*time.Second)
		for _, a := range h.handle(TimerFired{}, req.Request) {
			if s, ok := a.(Send); ok && s.Request == req.ID {
				return req, s.NewConn
			}
		}
		t.Fatalf("class %d not sent, worker with %d consecutive failures", class, h.d.workers[1].failures)
		return nil, false
	}
	firstKept, _ := send(2)
	secondKept, _ := send(2)
	h.handle(AttemptAccepted{firstKept.ID, 0}, h.endAttempt(firstKept, 0, OK, nil), AttemptAccepted{secondKept.ID, 0}, h.endAttempt(secondKept, 0, OK, nil)) // leaves two idle connections
	first, _ := send(2)
	h.handle(AttemptAccepted{first.ID, 0}, JobStarted{first.ID, 0})
	lost, _ := send(2) // its connection is silent; it is taken for queued
	h.now += 500 * ms
	h.handle(TimerFired{})
	if h.d.silentUntil > 0 {
		t.Error("connection counts as silent although its worker may be the silent one")
	}
	reportProgress := func() { // the worker reports on another job
		h.now += 10 * ms
		for range 9 {
			h.handle(TimerFired{}, JobProgress{first.ID, 0, 0.5})
		}
	}
	reportProgress()
	if _, fresh := send(2); !fresh {
		t.Error("unsafe request sent on a kept connection")
	}
	reportProgress()
	if _, fresh := send(0); fresh {
		t.Error("repeatable request sent on a new connection, want a kept one")
	}
	h.handle(h.endAttempt(lost, 0, TimedOut, nil))
	h.now += s.Limits.ConnIdle
	reportProgress()
	if h.now < h.d.silentUntil {
		t.Error("kept connections are still distrusted after the idle time")
	}
}
