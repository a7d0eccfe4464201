package decide

import (
	"encoding/json"
	"testing"
	"time"
)

// relieve has another dispatcher take over, by way of what one process tells the other.
func (w *harness) handOver() {
	w.t.Helper()
	text, err := json.Marshal(w.d.Memory())
	if err != nil {
		w.t.Fatal(err)
	}
	var m Memory
	if err := json.Unmarshal(text, &m); err != nil {
		w.t.Fatal(err)
	}
	w.s.Seed++
	if w.d, err = New(w.s); err != nil {
		w.t.Fatal(err)
	}
	var lines []Worker
	for _, l := range w.list {
		if l.State != Gone {
			lines = append(lines, l)
		}
	}
	w.timers = nil
	for id, out := range w.cordoned { // the program tells of these first
		w.handle(Cordon{Worker: id, Out: out})
	}
	w.handle(ListFull{Workers: lines, Cached: true})
	w.handle(Relieve{Memory: m})
}

// One process after the other decides for one dispatcher: all rules bind them as one, and nothing
// of a request is lost or kept for good.
func TestRulesHoldAcrossHandovers(t *testing.T) {
	for seed := range uint64(24) {
		s := varyRules(testSettings(seed, seed&1 != 0, seed&2 != 0, false))
		s.Rules.GoneIsAdvice = false
		playRandomEventsWith(t, s, 1500, func(w *harness, i int) {
			if i%97 == 96 {
				w.handOver()
			}
		})
	}
}

// A process that took over knew how often each key had been asked for, but not of how many requests, and took all for hot.
func TestKeysAreNotHotAfterHandover(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Tenants = []Tenant{{QuotaPerSecond: 80}}
	w := newReadyHarness(t, s, 8)
	for key := range uint64(200) {
		w.sendKeyed(1 + key%20)
	}
	r := &request{Request: Request{Key: 5, Slots: 1}, c: w.d.classes[0], arrived: w.now}
	before := w.d.keepers(r)
	w.handOver()
	if after := w.d.keepers(r); after > before+1 {
		t.Errorf("%d keepers of one key, %d once another process has taken over", before, after)
	}
}

// A process that took over began with ceilings of one slot and stacked its jobs on those of the
// one before.
func TestLearnedStateIsHandedOver(t *testing.T) {
	s := testSettings(1, true, false, false)
	s.Policies = nil
	w := newReadyHarness(t, s, 1)
	w.d.workers[1].ceiling = 3
	var sent []*testRequest
	for range 2 {
		if got, j := w.sendRequest(2); got == 1 {
			sent = append(sent, j)
		}
	}
	if len(sent) != 2 {
		t.Fatalf("%d jobs sent", len(sent))
	}
	w.handle(JobStarted{sent[0].ID, 0})
	w.handOver()
	k := w.d.workers[1]
	if k.own != 2 || k.running != 1 || k.ceiling != 3 || k.lived != w.now {
		t.Errorf("own %v, running %v, ceiling %v, lived %v", k.own, k.running, k.ceiling, k.lived)
	}
	w.now += 10 * time.Millisecond
	if got, _ := w.sendRequest(2); got != 1 {
		t.Error("no room for a third job")
	}
	if got, _ := w.sendRequest(2); got != 0 {
		t.Error("a fourth job was stacked on those of before")
	}
	w.handle(w.endAttempt(sent[0], 0, OK, nil), w.endAttempt(sent[1], 0, Reset, nil))
	if !sent[1].answered {
		t.Error("an unsafe job that may have run is not failed")
	}
}
