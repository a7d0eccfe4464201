package decide

import (
	"slices"
	"time"
)

// Leasing says how dispatchers that are many, and not all busy, share the budget for cold workers:
// a part of it in fixed turns, the rest leased out piece by piece by whoever keeps the budget. The
// zero value: all of it in turns, one for each dispatcher.
type Leasing struct {
	On bool
	// Turn is this dispatcher's, from 0; negative: it has none, and sends nothing without a lease.
	Turn, Turns int
	// Share of the budget that all turns have together, above 0 and at most 1.
	Share float64
}

// Lease lets this dispatcher send one job of so much work to a cold worker.
type Lease struct {
	ID     uint64 // not 0
	Worker uint32
	// Started is the worker's, as the list tells it: a process that was started since has no use of it.
	Started time.Duration
	Work    float64       // seconds of a slot
	Until   time.Duration // by the module's clock
}

const (
	maxLeasesPerWorker   = 16                    // kept for one worker; further ones are not needed
	leaseRequestInterval = 20 * time.Millisecond // between asking for two
)

// coldTurns is this dispatcher's turn for cold workers, and of how many.
func (d *Dispatcher) coldTurns() (turn, n int) {
	if l := d.settings.Leasing; l.On {
		return l.Turn, max(1, l.Turns)
	}
	return d.settings.Dispatcher, d.settings.Dispatchers
}

// coldTurnShare of the budget for cold workers that each turn has.
func (d *Dispatcher) coldTurnShare() float64 {
	if l := d.settings.Leasing; l.On {
		return l.Share / float64(max(1, l.Turns))
	}
	return 1 / float64(d.settings.Dispatchers)
}

// leaseWork is what a request counts as under a lease: what it presses with in one window.
func (d *Dispatcher) leaseWork(r *request) float64 {
	work := max(r.class.mean(), r.Work.Seconds())
	if w := d.settings.Rules.FallWindow.Seconds(); w > 0 {
		work = min(work, w)
	}
	return work * r.Slots
}

// findLease finds what lets a request go to a cold worker out of turn. Where there is nothing it is asked for.
func (d *Dispatcher) findLease(r *request, w *worker) (id uint64) {
	if !d.settings.Leasing.On {
		return 0
	}
	work := d.leaseWork(r)
	w.leases = slices.DeleteFunc(w.leases, func(l Lease) bool { return l.Until <= d.now || l.Started != w.Started })
	for _, l := range w.leases {
		if l.Work >= work {
			return l.ID
		}
	}
	if d.now-w.leaseAskedAt >= leaseRequestInterval || w.leaseAskedAt == 0 {
		w.leaseAskedAt = d.now
		d.emit(WantLease{Worker: w.ID, Started: w.Started, Work: work})
	}
	return 0
}

// preferWhileCold tells whether a cold worker is to be used from here before others, whenever it may be: else, with room
// elsewhere, turns would lapse unused and it would not get warm. Where the budget is leased that is one job, which a
// lease may be asked for, else one at a time.
func (d *Dispatcher) preferWhileCold(w *worker) bool {
	return d.warmth(w) < 1 && (!d.settings.Leasing.On || w.lastAlive == 0)
}

// takeLease takes the lease, if any, that a request goes to a worker by; else its turn is taken.
func (d *Dispatcher) takeLease(r *request, w *worker) (id uint64) {
	if d.warmth(w) >= 1 || d.coldTurn(w, r) {
		return 0
	}
	id = d.findLease(r, w)
	w.leases = slices.DeleteFunc(w.leases, func(l Lease) bool { return l.ID == id })
	return id
}

// addLease takes a lease.
func (d *Dispatcher) addLease(l Lease) {
	if w := d.workers[l.Worker]; w != nil && l.ID != 0 && len(w.leases) < maxLeasesPerWorker {
		w.leases = append(w.leases, l)
		d.mayHaveRoom = true
	}
}
