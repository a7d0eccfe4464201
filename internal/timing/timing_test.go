package timing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The queue fires the same timers, in the same order, as a sorted list of those that are still set.
func TestFiresSetTimersInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		var q Queue
		timers := make([]Timer, 20)
		due := map[int]time.Time{}
		var fired []int
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				i := rapid.IntRange(0, len(timers)-1).Draw(t, "timer")
				at := now.Add(time.Duration(rapid.IntRange(-5, 50).Draw(t, "after")))
				due[i] = at
				q.Start(&timers[i], at, func() { fired = append(fired, i) })
			},
			"stop": func(t *rapid.T) {
				i := rapid.IntRange(0, len(timers)-1).Draw(t, "timer")
				delete(due, i)
				q.Stop(&timers[i])
			},
			"fire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "step")))
				fired = nil
				q.Fire(now)
				var want []int
				for i, at := range due {
					if !at.After(now) {
						want = append(want, i)
					}
				}
				if !slices.IsSortedFunc(fired, func(a, b int) int { return due[a].Compare(due[b]) }) {
					t.Fatalf("out of order: %v", fired)
				}
				slices.Sort(want)
				slices.Sort(fired)
				if !slices.Equal(want, fired) {
					t.Fatalf("fired %v, want %v", fired, want)
				}
				for _, i := range fired {
					delete(due, i)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(due) {
					t.Fatalf("%d timers in the queue, want %d", q.Len(), len(due))
				}
				for i := range timers {
					if _, set := due[i]; set != timers[i].IsSet() {
						t.Fatalf("timer %d: IsSet() = %v", i, timers[i].IsSet())
					}
				}
			},
		})
	})
}

// Memory taken by a burst is released.
func TestQueueShrinks(t *testing.T) {
	var q Queue
	timers := make([]Timer, 10_000)
	for i := range timers {
		q.Start(&timers[i], time.Unix(int64(i), 0), func() {})
	}
	for i := range timers {
		q.Stop(&timers[i])
	}
	if q.Len() != 0 || cap(q.heap) > 4*minCapacity {
		t.Errorf("%d timers, capacity %d", q.Len(), cap(q.heap))
	}
}

// A timer is set for each of many concurrent commands and stopped long before it is due, as the loop does with
// attempts' deadlines.
func BenchmarkStartStop(b *testing.B) {
	const out = 1024
	var q Queue
	timers := make([]Timer, out)
	r := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	b.ReportAllocs()
	for i := range b.N {
		t := &timers[r.IntN(out)]
		q.Start(t, start.Add(time.Duration(i)*time.Microsecond+25*time.Second), func() {})
	}
}
