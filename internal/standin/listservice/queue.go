// Package listservice is a stand-in for the one list service of all dispatchers: it works through calls in turn,
// has a capacity and a patience, goes down and comes back, and keeps a ledger of who called and what became of it.
// queue.go is its model, without I/O; the rest puts it on sockets.
package listservice

import "time"

// Queue is the model: one worker, calls in turn. A call that waits for longer than the patience fails, and costs its
// work all the same: the service finds out when it writes. It is not safe for more than one goroutine.
type Queue struct {
	Work     time.Duration // that one call costs
	Patience time.Duration // 0: calls wait for as long as it takes
	free     time.Time     // when all that has come is worked through
	Ledger   Ledger
}

// Ledger is what the service saw.
type Ledger struct {
	Calls, Failed, Refused int           // Failed waited too long; Refused came while the service was down
	Wasted                 time.Duration // work for calls that failed
	Longest                time.Duration // wait of one that was answered
	Busiest                int           // calls in one second
	second                 time.Time
	inSecond               int
}

// Arrive takes a call: when it is answered, and whether well.
func (q *Queue) Arrive(now time.Time) (answered time.Time, ok bool) {
	l := &q.Ledger
	l.Calls++
	if s := now.Truncate(time.Second); !s.Equal(l.second) {
		l.second, l.inSecond = s, 0
	}
	l.inSecond++
	l.Busiest = max(l.Busiest, l.inSecond)
	if q.free.Before(now) {
		q.free = now
	}
	wait := q.free.Sub(now)
	q.free = q.free.Add(q.Work)
	if q.Patience > 0 && wait > q.Patience {
		l.Failed++
		l.Wasted += q.Work
		return now.Add(q.Patience), false
	}
	l.Longest = max(l.Longest, wait)
	return q.free, true
}

// Refuse takes a call while the service is down.
func (q *Queue) Refuse() { q.Ledger.Calls++; q.Ledger.Refused++ }

// Forget drops what waits, as the end of the process does.
func (q *Queue) Forget(now time.Time) { q.free = now }
