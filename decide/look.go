package decide

import (
	"math"
	"time"
)

// A held request for which no worker was valid is looked at again only in the next round: once something has
// happened that may have made a worker valid, or time alone may have.

// scanCost is what a look at a request costs beside the workers that are looked at for it, in such.
const scanCost = 8

// maxPauseSteps is the longest time between two rounds of looks, in steps of the timer.
const maxPauseSteps = 64

// covers tells whether a request like it that asks for as much, and came no sooner, finds none either.
func (u unplaced) covers(r *request) bool {
	work := u.work == r.Work || u.work > 0 && u.work < r.Work // 0 is not known
	return work && r.Slots >= u.slots && r.Memory >= u.memory && r.arrived >= u.arrived && r.deadline >= u.deadline
}

// beginRound begins a round of looks at all held requests if one is due: once something has happened that may have made
// a worker valid, else as long after the last as that looked at so many workers a step of the timer.
func (d *Dispatcher) beginRound(perStep int) {
	pause := d.sweepInterval() * time.Duration(min(maxPauseSteps, 1+(d.scans-d.roundStartScans)/perStep))
	if !d.mayHaveRoom && d.rounds > 0 && d.now < d.roundStartedAt+pause {
		return
	}
	d.mayHaveRoom, d.roundStartedAt, d.roundStartScans = false, d.now, d.scans
	d.rounds++
	clear(d.unplaced)
	for _, c := range d.classes {
		c.stuck = false
	}
}

// findWorker picks a worker for a held request, unless none can have become valid since the last look. One that has to wait
// for its turn to be let out, or after an attempt that was never sent, is not looked at.
func (d *Dispatcher) findWorker(r *request, waits bool) *worker {
	if waits || r.failedRound == d.rounds || d.now < r.retryAt {
		return nil
	}
	unsent := len(r.attempts)+len(r.Order) == 0
	if earlier, ok := d.unplaced[r.placementKey()]; ok && unsent && earlier.covers(r) {
		return nil
	}
	d.scans += scanCost
	w := d.pick(r)
	if w != nil {
		return w
	}
	r.failedRound = d.rounds
	if unsent && !r.overShare {
		d.unplaced[r.placementKey()] = unplaced{r.Slots, r.Memory, r.Work, r.arrived, r.deadline}
	}
	return nil
}

// isFull tells whether a worker has room for no request, by what it holds or because it rests after a failure.
func (d *Dispatcher) noRoom(w *worker) bool {
	d.scans++
	if w.fullInBatch != d.batch {
		used, _, size := d.load(w)
		noRoom := used > 0 && used >= max(size, math.Floor(*d.ceiling(w)))
		noRoom = noRoom && (!d.settings.Leasing.On || d.warmth(w) >= 1) // a lease is asked for ahead of room
		w.fullInBatch, w.isFull = d.batch, w.failures == 0 && noRoom || w.failures > 0 && d.now < w.retryAt
	}
	return w.isFull
}
