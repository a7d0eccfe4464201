package decide

import (
	"testing"
	"time"
)

// TestReservedSlotsStayFree checks that slots reserved from a moment on are used until then only by jobs that end in
// time and by what they are reserved for, and from then on by nothing else until the reservation ends.
func TestReservedSlotsStayFree(t *testing.T) {
	s := testSettings(1, false, true, false)
	h := newReadyHarness(t, s, 1)
	send := func(work time.Duration, reserved bool) bool {
		req := h.newRequest(0, 10*time.Second)
		req.Work, req.Reserved = work, reserved
		sent := false
		for _, a := range h.d.Handle(h.now, []Event{req.Request}) {
			if a, ok := a.(Send); ok && a.Request == req.ID {
				sent = true
				h.d.Handle(h.now, []Event{AttemptEnded{Request: req.ID, Outcome: OK, RequestEnded: true}})
			}
		}
		h.d.Handle(h.now, []Event{RequestCancelled{req.ID}})
		return sent
	}
	if !send(time.Second, false) {
		t.Fatal("request not sent without a reservation")
	}
	h.now += time.Second
	h.d.Handle(h.now, []Event{WorkerReservations{Worker: 1, Slots: 8, Reservations: []Reservation{{From: h.now + 500*time.Millisecond, Until: h.now + 3*time.Second, Slots: 8}}}})
	if !send(100*time.Millisecond, false) {
		t.Error("job that ends before the reservation starts: not sent")
	}
	if send(450*time.Millisecond, false) || send(0, false) {
		t.Error("job that may not end before the reservation starts: sent")
	}
	h.now += time.Second
	if send(time.Millisecond, false) {
		t.Error("job sent to reserved slots")
	}
	if !send(time.Second, true) {
		t.Error("request with the reservation not sent")
	}
	h.now += 2 * time.Second
	if !send(time.Second, false) {
		t.Error("request not sent after the reservation ended")
	}
	h.d.Handle(h.now, []Event{WorkerReservations{Worker: 1, Slots: 8, Reservations: []Reservation{{From: h.now, Until: h.now + time.Hour, Slots: 8}}}, WorkerReservations{Worker: 1}})
	if !send(time.Second, false) {
		t.Error("request not sent after the reservation was removed")
	}
}

// TestCeilingDoesNotBlockReservedSlots guards against a request that waits although slots are reserved for it: its
// dispatcher has sent that worker one job before and does not know of a second slot.
func TestCeilingDoesNotBlockReservedSlots(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 1)
	for n := range 3 {
		req := h.newRequest(0, 10*time.Second)
		req.Reserved, req.Candidates = true, []uint32{1}
		sent := false
		for _, a := range h.d.Handle(h.now, []Event{req.Request}) {
			_, send := a.(Send)
			sent = sent || send
		}
		if !sent {
			t.Errorf("request %d with a reservation not sent at once", n)
		}
	}
}
