// Package timing is a timer queue, an indexed binary heap: a stopped timer is removed at once, with everything
// it references. Nothing here reads a clock or is safe for concurrent use.
//
// A hierarchical timing wheel (Varghese and Lauck, SOSP 1987) was measured for comparison; docs/timers.md has
// the figures.
package timing

import "time"

// Timer is a due time and a function to call then. The zero value is a stopped timer. A Timer must not be copied
// while it is set.
type Timer struct {
	due time.Time
	do  func()
	pos int // index in the heap plus 1; 0: stopped
}

// IsSet reports whether the timer is in a queue.
func (t *Timer) IsSet() bool { return t.pos > 0 }

// Queue holds timers by due time. The zero value is empty. Adding and stopping take O(log n).
type Queue struct{ heap []*Timer }

// Len returns the number of timers that are set.
func (q *Queue) Len() int { return len(q.heap) }

// Start sets a timer, or resets it if it is set: the first Fire at or after due calls do.
func (q *Queue) Start(t *Timer, due time.Time, do func()) {
	q.Stop(t)
	t.due, t.do, t.pos = due, do, len(q.heap)+1
	q.heap = append(q.heap, t)
	q.up(t.pos - 1)
}

// At sets a timer that is never stopped.
func (q *Queue) At(due time.Time, do func()) { q.Start(new(Timer), due, do) }

// Stop removes a timer and its function. It does nothing if the timer is not set.
func (q *Queue) Stop(t *Timer) {
	if t.pos == 0 {
		return
	}
	i, last := t.pos-1, len(q.heap)-1
	q.swap(i, last)
	q.heap[last] = nil
	q.heap = q.heap[:last]
	if t.pos, t.do = 0, nil; i < last {
		q.down(i)
		q.up(i)
	}
	q.shrink()
}

// Wait returns the time until the first timer is due, or an hour if there is none.
func (q *Queue) Wait(now time.Time) time.Duration {
	if len(q.heap) == 0 {
		return time.Hour
	}
	return max(0, q.heap[0].due.Sub(now))
}

// Fire calls the functions that are due, earliest first, including those that these calls add and that are
// already due.
func (q *Queue) Fire(now time.Time) {
	for len(q.heap) > 0 && !q.heap[0].due.After(now) {
		t := q.heap[0]
		do := t.do
		q.Stop(t)
		do()
	}
}

// Clear stops all timers.
func (q *Queue) Clear() {
	for _, t := range q.heap {
		t.pos, t.do = 0, nil
	}
	q.heap = nil
}

// minCapacity is the capacity that the heap never shrinks below.
const minCapacity = 64

// shrink releases memory after a burst.
func (q *Queue) shrink() {
	if c := cap(q.heap); c > minCapacity && len(q.heap) < c/4 {
		q.heap = append(make([]*Timer, 0, c/2), q.heap...)
	}
}

func (q *Queue) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].pos, q.heap[j].pos = i+1, j+1
}

func (q *Queue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.heap[i].due.Before(q.heap[parent].due) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *Queue) down(i int) {
	for {
		first := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(q.heap); c++ {
			if q.heap[c].due.Before(q.heap[first].due) {
				first = c
			}
		}
		if first == i {
			return
		}
		q.swap(i, first)
		i = first
	}
}
