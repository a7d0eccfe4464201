package decide

import (
	"testing"
	"time"
)

// TestHolds: slots that are held from a moment on are filled until then by jobs that end in time and by no others, and
// by what they are held for; then by nothing else until the hold ends.
func TestReservedSlotsStayFree(t *testing.T) {
	s := testSettings(1, false, true, false)
	h := newReadyHarness(t, s, 1)
	send := func(work time.Duration, held bool) bool {
		req := h.newRequest(0, 10*time.Second)
		req.Work, req.Held = work, held
		sent := false
		for _, a := range h.d.Handle(h.now, []Event{req.Request}) {
			if a, ok := a.(Send); ok && a.Request == req.ID {
				sent = true
				h.d.Handle(h.now, []Event{AttemptEnded{Request: req.ID, Outcome: OK, Over: true}})
			}
		}
		h.d.Handle(h.now, []Event{RequestLapsed{req.ID}})
		return sent
	}
	if !send(time.Second, false) {
		t.Fatal("nothing is held, and nothing is sent")
	}
	h.now += time.Second
	h.d.Handle(h.now, []Event{Holds{Worker: 1, Slots: 8, Spans: []Span{{From: h.now + 500*time.Millisecond, Until: h.now + 3*time.Second, Slots: 8}}}})
	if !send(100*time.Millisecond, false) {
		t.Error("a job that ends before the hold is not sent")
	}
	if send(450*time.Millisecond, false) || send(0, false) {
		t.Error("a job that may not end before the hold is sent")
	}
	h.now += time.Second
	if send(time.Millisecond, false) {
		t.Error("a job is sent into a hold")
	}
	if !send(time.Second, true) {
		t.Error("what the slots are held for is not sent")
	}
	h.now += 2 * time.Second
	if !send(time.Second, false) {
		t.Error("the hold is over, and nothing is sent")
	}
	h.d.Handle(h.now, []Event{Holds{Worker: 1, Slots: 8, Spans: []Span{{From: h.now, Until: h.now + time.Hour, Slots: 8}}}, Holds{Worker: 1}})
	if !send(time.Second, false) {
		t.Error("the hold was taken back, and nothing is sent")
	}
}

// TestHeldSlotsAreNotRefusedByTheCeiling guards against a gang's member that waits, though its slots are held, because its
// dispatcher has sent that worker a job before and knows of no second slot there.
func TestCeilingDoesNotBlockReservedSlots(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 1)
	for n := range 3 {
		req := h.newRequest(0, 10*time.Second)
		req.Held, req.Order = true, []uint32{1}
		sent := false
		for _, a := range h.d.Handle(h.now, []Event{req.Request}) {
			_, send := a.(Send)
			sent = sent || send
		}
		if !sent {
			t.Errorf("member %d of a gang is not sent at once", n)
		}
	}
}
