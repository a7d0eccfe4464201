package decide

import (
	"encoding/json"
	"testing"
	"time"
)

// relieve has another dispatcher take over, by way of what one process tells the other.
func (h *harness) handOver() {
	h.t.Helper()
	text, err := json.Marshal(h.d.Memory())
	if err != nil {
		h.t.Fatal(err)
	}
	var m Memory
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
	for id, out := range h.cordoned { // the program tells of these first
		h.handle(Cordon{Worker: id, Out: out})
	}
	h.handle(ListFull{Workers: lines, Cached: true})
	h.handle(Relieve{Memory: m})
}

// One process after the other decides for one dispatcher: all rules bind them as one, and nothing
// of a request is lost or kept for good.
func TestRulesHoldAcrossHandovers(t *testing.T) {
	for seed := range uint64(24) {
		s := varyRules(testSettings(seed, seed&1 != 0, seed&2 != 0, false))
		s.Rules.GoneIsAdvice = false
		playRandomEventsWith(t, s, 1500, func(h *harness, i int) {
			if i%97 == 96 {
				h.handOver()
			}
		})
	}
}

// A process that took over knew how often each key had been asked for, but not of how many requests, and took all for hot.
func TestKeysAreNotHotAfterHandover(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Tenants = []Tenant{{QuotaPerSecond: 80}}
	h := newReadyHarness(t, s, 8)
	for key := range uint64(200) {
		h.sendKeyed(1 + key%20)
	}
	r := &request{Request: Request{Key: 5, Slots: 1}, c: h.d.classes[0], arrived: h.now}
	before := h.d.keepers(r)
	h.handOver()
	if after := h.d.keepers(r); after > before+1 {
		t.Errorf("%d keepers of one key, %d once another process has taken over", before, after)
	}
}

// A process that took over began with ceilings of one slot and stacked its jobs on those of the
// one before.
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
		t.Fatalf("%d jobs sent", len(sent))
	}
	h.handle(JobStarted{sent[0].ID, 0})
	h.handOver()
	wk := h.d.workers[1]
	if wk.own != 2 || wk.running != 1 || wk.ceiling != 3 || wk.lived != h.now {
		t.Errorf("own %v, running %v, ceiling %v, lived %v", wk.own, wk.running, wk.ceiling, wk.lived)
	}
	h.now += 10 * time.Millisecond
	if got, _ := h.sendRequest(2); got != 1 {
		t.Error("no room for a third job")
	}
	if got, _ := h.sendRequest(2); got != 0 {
		t.Error("a fourth job was stacked on those of before")
	}
	h.handle(h.endAttempt(sent[0], 0, OK, nil), h.endAttempt(sent[1], 0, Reset, nil))
	if !sent[1].answered {
		t.Error("an unsafe job that may have run is not failed")
	}
}
