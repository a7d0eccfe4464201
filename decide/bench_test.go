package decide

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest plays a request from arrival to end, with the sweeps between, in fleets of growing size: the cost
// of one must not grow with the number of workers.
func BenchmarkRequest(b *testing.B) {
	for _, workers := range []int{10, 100, 400} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			s := testSettings(1, true, false, false)
			s.DispatcherCount = 2 * workers
			d, err := New(s)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Hour
			d.Handle(now, []Event{ListFull{Workers: readyWorkers(workers)}})
			for i := range b.N {
				id := uint32(i)
				now += 200 * ms
				d.Handle(now, []Event{Request{ID: id, Budget: time.Second, Slots: 1}})
				now += ms
				d.Handle(now, []Event{JobStarted{Request: id}})
				for range 12 {
					now += 8 * ms
					d.Handle(now, []Event{TimerFired{}})
				}
				d.Handle(now, []Event{AttemptEnded{Request: id, RequestEnded: true}})
			}
		})
	}
}

// readyWorkers returns n ready workers of three kinds.
func readyWorkers(n int) []Worker {
	var lines []Worker
	for id := range uint32(n) {
		lines = append(lines, Worker{ID: id + 1, Kind: int(id % 3), State: Ready})
	}
	return lines
}

// BenchmarkList changes one entry of the list, with the sorting that this requires.
func BenchmarkList(b *testing.B) {
	for _, workers := range []int{10, 100, 400} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			d, err := New(testSettings(1, true, false, false))
			if err != nil {
				b.Fatal(err)
			}
			lines := readyWorkers(workers)
			d.Handle(time.Hour, []Event{ListFull{Workers: lines}})
			for i := range b.N {
				l := lines[i%workers]
				l.Started = time.Hour + time.Duration(i)
				d.Handle(time.Hour+time.Duration(i)*ms, []Event{ListDelta{Workers: []Worker{l}}})
			}
		})
	}
}
