package decide

import (
	"encoding/json"
	"testing"
	"time"
)

// handOver replaces the dispatcher by a new process that receives the old one's state as JSON.
func (h *harness) handOver() {
	h.t.Helper()
	text, err := json.Marshal(h.d.Snapshot())
	if err != nil {
		h.t.Fatal(err)
	}
	var m Snapshot
	if err := json.Unmarshal(text, &m); err != nil {
		h.t.Fatal(err)
	}
	h.s.Seed++
	if h.d, err = New(h.s); err != nil {
		h.t.Fatal(err)
	}
	var lines []Worker
	for _, l := range h.list {
		if l.State != Gone {
			lines = append(lines, l)
		}
	}
	h.timers = nil
	for id, out := range h.cordoned { // the caller of a new process passes the cordons first
		h.handle(Cordon{Worker: id, Cordoned: out})
	}
	h.handle(ListFull{Workers: lines, Cached: true})
	h.handle(Restore{Snapshot: m})
}

// TestRulesHoldAcrossHandovers checks that all rules hold for a sequence of processes as for one, and that no request
// is lost or kept forever.
func TestRulesHoldAcrossHandovers(t *testing.T) {
	for seed := range uint64(24) {
		s := varyRules(testSettings(seed, seed&1 != 0, seed&2 != 0, false))
		s.Rules.GoneIsAdvisory = false
		playRandomEventsWith(t, s, 1500, func(h *harness, i int) {
			if i%97 == 96 {
				h.handOver()
			}
		})
	}
}

// TestKeysAreNotHotAfterHandover guards against treating all keys as hot after a handover: the new process knew how
// often each key had been requested, but not the number of all requests.
func TestKeysAreNotHotAfterHandover(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Tenants = []Tenant{{QuotaPerSecond: 80}}
	h := newReadyHarness(t, s, 8)
	for key := range uint64(200) {
		h.sendKeyed(1 + key%20)
	}
	r := &request{Request: Request{Key: 5, Slots: 1}, class: h.d.classes[0], arrived: h.now}
	before := h.d.keyWorkers(r)
	h.handOver()
	if after := h.d.keyWorkers(r); after > before+1 {
		t.Errorf("got %d workers for one key before the handover and %d after, want at most one more", before, after)
	}
}

// TestLearnedStateIsHandedOver guards against a new process that starts with ceilings of one slot and sends jobs on
// top of those of the old process.
func TestLearnedStateIsHandedOver(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Policies = nil
	h := newReadyHarness(t, s, 1)
	h.d.workers[1].ceiling = 3
	var sent []*testRequest
	for range 2 {
		if got, req := h.sendRequest(2); got == 1 {
			sent = append(sent, req)
		}
	}
	if len(sent) != 2 {
		t.Fatalf("got %d jobs sent, want 2", len(sent))
	}
	h.handle(JobStarted{sent[0].ID, 0})
	h.handOver()
	wk := h.d.workers[1]
	if wk.ownSlots != 2 || wk.runningSlots != 1 || wk.ceiling != 3 || wk.lastAlive != h.now {
		t.Errorf("got %v slots in use, %v running, ceiling %v, last sign of life %v; want 2, 1, 3, now", wk.ownSlots, wk.runningSlots, wk.ceiling, wk.lastAlive)
	}
	h.now += 10 * time.Millisecond
	if got, _ := h.sendRequest(2); got != 1 {
		t.Error("third job not sent")
	}
	if got, _ := h.sendRequest(2); got != 0 {
		t.Error("fourth job sent beyond the ceiling")
	}
	h.handle(h.endAttempt(sent[0], 0, OK, nil), h.endAttempt(sent[1], 0, Reset, nil))
	if !sent[1].answered {
		t.Error("unsafe request that may have run not answered")
	}
}
