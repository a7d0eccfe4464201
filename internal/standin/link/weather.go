// Package link is a network between processes on loopback: relays for TCP and UDP, one for each pair of parties,
// whose two directions are cut, slowed, made to lose and reset on their own while everything runs. What is done
// is written down in a timeline. weather.go decides without I/O what happens to what passes.
package link

import (
	"math"
	"math/rand/v2"
	"time"
)

// Weather is what one direction does to what passes. The zero value lets all pass at once.
type Weather struct {
	Cut   bool          // nothing passes; a stream waits, in silence, until it heals or its connection is reset
	Delay time.Duration // of everything,
	Tail  time.Duration // and the scale of a long tail on top (Pareto, shape 1.5, 100 times at most)
	Rate  int           // bytes a second; 0: as many as come
	// Of datagrams only, as shares: streams are kept whole and in order by TCP.
	Loss, Duplicate, Reorder float64
}

const (
	tailShape = 1.5
	tailMost  = 100.0
	held      = 4 // times its delay that a datagram is held back which others are to overtake
)

// direction applies weather to one direction of one connection, or to all datagrams of a way. Its random numbers
// are its own, so that a story plays the same whatever else passes.
type direction struct {
	rng  *rand.Rand
	last time.Time // when what came before leaves: a stream keeps its order
	free time.Time // when a slow link has passed on what came before
}

func (d *direction) delay(w Weather, now time.Time, size int) time.Time {
	at := now
	if w.Rate > 0 {
		if d.free.Before(now) {
			d.free = now
		}
		d.free = d.free.Add(time.Duration(float64(size) / float64(w.Rate) * float64(time.Second)))
		at = d.free
	}
	at = at.Add(w.Delay)
	if w.Tail > 0 {
		long := math.Pow(1-d.rng.Float64(), -1/tailShape) - 1
		at = at.Add(time.Duration(min(long, tailMost) * float64(w.Tail)))
	}
	return at
}

// piece is when a piece of a stream leaves.
func (d *direction) piece(w Weather, now time.Time, size int) time.Time {
	at := d.delay(w, now, size)
	if at.Before(d.last) {
		at = d.last
	}
	d.last = at
	return at
}

// datagram is when each copy of a datagram leaves: none, one or two.
func (d *direction) datagram(w Weather, now time.Time, size int) (copies []time.Time) {
	if w.Cut || d.rng.Float64() < w.Loss {
		return nil
	}
	n := 1
	if d.rng.Float64() < w.Duplicate {
		n = 2
	}
	for range n {
		at := d.delay(w, now, size)
		if d.rng.Float64() < w.Reorder {
			at = at.Add(held * max(at.Sub(now), time.Millisecond))
		}
		copies = append(copies, at)
	}
	return copies
}
