package decide

import (
	"math"
	"time"
)

// Placement rounds. A held request for which no worker was valid is tried again only in the next round, which begins
// once something has happened that may have made a worker valid, or after a pause, since time alone may have.

// scanCost is what a search for one request costs besides the workers examined, in workers examined.
const scanCost = 8

// maxPauseSteps is the longest time between two rounds, in sweep intervals.
const maxPauseSteps = 64

// covers reports whether a request with the same placement key can have no valid worker either: it asks for as
// much, its known work is as long, and it came no sooner and is due no sooner.
func (u unplaced) covers(r *request) bool {
	work := u.work == r.Work || u.work > 0 && u.work < r.Work // 0: not known
	return work && r.Slots >= u.slots && r.Memory >= u.memory && r.arrived >= u.arrived && r.deadline >= u.deadline
}

// beginRound begins a placement round over all held requests if one is due: once something has happened that
// may have made a worker valid, else after a pause of one sweep interval for each perStep workers examined in
// the last round.
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

// findWorker picks a worker for a held request, unless none can have become valid since the last round. It
// doesn't try for a request that waits for a token or, after an attempt that was never sent, for its next
// attempt.
func (d *Dispatcher) findWorker(r *request, waits bool) *worker {
	if waits || r.failedRound == d.rounds || d.now < r.retryAt {
		return nil
	}
	unsent := len(r.attempts)+len(r.Candidates) == 0
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

// noRoom reports whether a worker has no room for any request: its slots are in use, or it is untrusted and its
// next trial is not due.
func (d *Dispatcher) noRoom(w *worker) bool {
	d.scans++
	if w.fullInBatch != d.batch {
		used, _, size := d.load(w)
		full := used > 0 && used >= max(size, math.Floor(*d.ceiling(w)))
		full = full && (!d.settings.Leasing.Enabled || d.warmth(w) >= 1) // a lease is requested before there is room
		w.fullInBatch, w.isFull = d.batch, w.failures == 0 && full || w.failures > 0 && d.now < w.retryAt
	}
	return w.isFull
}
