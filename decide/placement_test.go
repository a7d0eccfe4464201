package decide

import (
	"fmt"
	"testing"
	"time"
)

// heldRequestKinds are ways to make requests that find no room.
var heldRequestKinds = map[string]func(r *Request, n int){
	"without keys":      func(*Request, int) {},
	"with many keys":    func(r *Request, n int) { r.Key = uint64(n) + 1 },
	"with one key":      func(r *Request, _ int) { r.Key = 1 },
	"with candidates":   func(r *Request, n int) { r.Candidates = []uint32{uint32(n%50) + 1} },
	"over their share":  func(r *Request, _ int) { r.Tenant = 0 },
	"of unequal demand": func(r *Request, n int) { r.Key, r.Slots = 1, 1+float64(n)/1000 },
}

// newFullDispatcher returns a dispatcher of many whose workers are all full, and a number of held requests.
func newFullDispatcher(tb testing.TB, workers, held int, kind string) (*Dispatcher, time.Duration) {
	s := testSettings(1, true, false, false)
	s.DispatcherCount, s.Limits.MaxOpen, s.ProgressInterval = 330, 100000, 0
	for i := range s.Classes {
		s.Classes[i].Aim, s.Classes[i].Deadline = 3*time.Second, 30*time.Second
	}
	if kind == "over their share" {
		s.Tenants = []Tenant{{QuotaPerSecond: 1}, {QuotaPerSecond: 1000}, {QuotaPerSecond: 1000}}
	}
	d, err := New(s)
	if err != nil {
		tb.Fatal(err)
	}
	now := time.Hour
	d.Handle(now, []Event{ListFull{Workers: readyWorkers(workers)}})
	var events []Event
	for n := range workers + held {
		r := Request{ID: uint32(n) + 1, Budget: 30 * time.Second, Slots: 1, Tenant: 2}
		if n >= workers {
			heldRequestKinds[kind](&r, n)
		}
		events = append(events, r)
	}
	d.Handle(now, events)
	for id := range d.requests {
		d.Handle(now, []Event{JobStarted{Request: id}})
	}
	if got := d.heldCount(); got < held/2 {
		tb.Fatalf("got %d requests held, want at least half of %d", got, held)
	}
	return d, now
}

// TestHeldRequestsCostLittleWithoutEvents guards against scanning all workers for each held request with a key at
// every step of the timer: a dispatcher with many held requests fell behind until answers were lost.
func TestHeldRequestsCostLittleWithoutEvents(t *testing.T) {
	const steps, held, most = 60, 160, 500 // workers checked in a batch
	for kind := range heldRequestKinds {
		for _, workers := range []int{50, 200, 800} {
			d, now := newFullDispatcher(t, workers, held, kind)
			before := d.scans
			for range steps {
				now += d.sweepInterval()
				d.Handle(now, []Event{TimerFired{}})
			}
			if mean := (d.scans - before) / steps; mean > most {
				t.Errorf("%d requests %s, %d workers: got %d checks of a worker per batch without events, want at most %d", held, kind, workers, mean, most)
			} else {
				t.Logf("%s, %d: %d", kind, workers, mean)
			}
		}
	}
}

// BenchmarkHeld lets the timer fire without other events while requests are held and all workers are full.
func BenchmarkHeld(b *testing.B) {
	for _, size := range [][2]int{{50, 160}, {200, 160}, {800, 160}, {5000, 1000}} {
		for kind := range heldRequestKinds {
			b.Run(fmt.Sprintf("%d workers, %d held %s", size[0], size[1], kind), func(b *testing.B) {
				d, now := newFullDispatcher(b, size[0], size[1], kind)
				for n := 0; b.Loop(); n++ {
					if n%100 == 0 {
						b.StopTimer()
						d, now = newFullDispatcher(b, size[0], size[1], kind)
						b.StartTimer()
					}
					now += d.sweepInterval()
					d.Handle(now, []Event{TimerFired{}})
				}
			})
		}
	}
}

// TestHeldRequestsAreSentOnceThereIsRoom guards against leaving out requests without a valid worker until the next
// placement round although there is room.
func TestHeldRequestsAreSentOnceThereIsRoom(t *testing.T) {
	for kind := range heldRequestKinds {
		d, now := newFullDispatcher(t, 50, 20, kind)
		for range 20 { // rounds without other events
			now += d.sweepInterval()
			d.Handle(now, []Event{TimerFired{}})
		}
		held := d.heldCount()
		for id, r := range d.requests {
			if r.outstanding == 1 {
				d.Handle(now, []Event{AttemptEnded{Request: id, RequestEnded: true}})
			}
		}
		if left := d.heldCount(); left > held/2 {
			t.Errorf("got %d of %d requests %s still held while the workers are idle, want at most half", left, held, kind)
		}
	}
}

// TestNewRequestsDoNotDelayPlacementRounds guards against work for new requests that postpones the next placement
// round of held ones without end.
func TestNewRequestsDoNotDelayPlacementRounds(t *testing.T) {
	d, now := newFullDispatcher(t, 200, 20, "with many keys")
	rounds := d.rounds
	for n := range 2 * maxPauseSteps {
		now += d.sweepInterval()
		events := []Event{TimerFired{}}
		for i := range 100 {
			id := 10000 + 100*n + i
			events = append(events, Request{ID: uint32(id), Budget: 30 * time.Second, Slots: 1, Key: uint64(id)})
		}
		d.Handle(now, events)
	}
	if d.rounds < rounds+2 {
		t.Errorf("got %d placement rounds in %d steps, want at least 2", d.rounds-rounds, 2*maxPauseSteps)
	}
}
