package decide

import (
	"math"
	"testing"
	"time"
)

// TestInvalidEventsAreIgnored checks that the dispatcher ignores invalid events: it answers and sends nothing, and can
// serve the next request.
func TestInvalidEventsAreIgnored(t *testing.T) {
	tests := []struct {
		name   string
		events []Event
	}{
		{"unknown request started", []Event{JobStarted{99, 0}, JobProgress{99, 0, 0.5}, StreamStarted{99, 0}}},
		{"unknown request ended", []Event{AttemptEnded{Request: 99, Outcome: OK, RequestEnded: true}, RequestCancelled{99}}},
		{"unknown attempt", []Event{JobStarted{1, 7}, JobProgress{1, -1, 0}, AttemptEnded{Request: 1, Attempt: 7}}},
		{"request twice", []Event{Request{ID: 1, Budget: time.Second, Slots: 1}}},
		{"class out of range", []Event{Request{ID: 50, Class: 9, Budget: time.Second}, Request{ID: 51, Class: -1}}},
		{"unknown worker probed", []Event{Probed{Worker: 77, Outcome: OK, Report: &Report{Active: 1}}}},
		{"empty message", []Event{PeerMessage{Peer: 1}}},
		{"truncated message", []Event{PeerMessage{1, appendLoad(newLoads(true), 1, [2]uint8{8, 8}, 8)[:5]}}},
		{"message of an unknown format", []Event{PeerMessage{1, []byte("what is this?")}}},
		{"message about an unknown worker", []Event{PeerMessage{-5, appendLoad(newLoads(false), 400, [2]uint8{8, 8}, 8)}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newReadyHarness(t, manyDispatchers(true, true, true), 3)
			_, req := h.sendRequest(0)
			for _, a := range h.d.Handle(h.now, tt.events) {
				switch a.(type) {
				case Send, Refuse, FailRequest, Cancel:
					t.Errorf("got action %T %+v, want none", a, a)
				}
			}
			h.handle(JobStarted{req.ID, 0}, h.endAttempt(req, 0, OK, nil))
			if got, _ := h.sendRequest(2); got == 0 {
				t.Error("next request not sent")
			}
		})
	}
}

// TestUnusualBudgetsAndClockSteps checks that a request without time is not sent, and that a clock that stands still,
// steps back or jumps by seconds breaks no rule (the harness checks the rules on every action).
func TestUnusualBudgetsAndClockSteps(t *testing.T) {
	for _, budget := range []time.Duration{0, -time.Second, math.MaxInt64 / 4} {
		h := newReadyHarness(t, testSettings(1, true, false, false), 2)
		req := h.newRequest(0, budget)
		h.handle(req.Request)
		if sent := len(req.attempts) > 0; sent != (budget > 0) {
			t.Errorf("budget %v: sent: got %v", budget, sent)
		}
	}
	h := newReadyHarness(t, testSettings(1, true, false, false), 2)
	var requests []*testRequest
	for _, step := range []time.Duration{0, 0, -time.Minute, time.Minute, 8 * ms, 3 * time.Second, 0, time.Hour} {
		h.now += step
		requests = append(requests, h.newRequest(len(requests)%3, time.Second))
		h.handle(TimerFired{}, requests[len(requests)-1].Request)
	}
	h.now += time.Second
	h.handle(TimerFired{})
	for i, req := range requests {
		if !req.answered {
			t.Errorf("request %d not answered", i)
		}
	}
}
