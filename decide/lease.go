package decide

import (
	"slices"
	"time"
)

// Leasing configures how many dispatchers, not all of them busy, share the budget for cold workers: a part in fixed
// turns, the rest leased out piece by piece by the budget's owner. The zero value gives all of it out in turns,
// one for each dispatcher.
type Leasing struct {
	Enabled bool
	// Turn is the index of this dispatcher's turn; negative: it has none, and sends nothing to cold workers without a lease.
	Turn, Turns int
	// Share is the part of the budget that all turns have together, above 0 and at most 1.
	Share float64
}

// Lease allows this dispatcher to send one job of a certain work to a cold worker.
type Lease struct {
	ID     uint64 // not 0
	Worker uint32
	// Started is the worker's start as in the list: the lease does not hold for a process started later.
	Started time.Duration
	Work    float64       // slot seconds
	Until   time.Duration // on the time scale of Handle
}

const (
	maxLeasesPerWorker   = 16                    // kept for one worker; further ones are dropped
	leaseRequestInterval = 20 * time.Millisecond // least time between two requests for a worker's lease
)

// coldTurns returns the index of this dispatcher's turn for cold workers, negative if it has none, and the
// number of turns.
func (d *Dispatcher) coldTurns() (turn, n int) {
	if l := d.settings.Leasing; l.Enabled {
		return l.Turn, max(1, l.Turns)
	}
	return d.settings.DispatcherIndex, d.settings.DispatcherCount
}

// coldTurnShare returns the share of the budget for cold workers that each turn has.
func (d *Dispatcher) coldTurnShare() float64 {
	if l := d.settings.Leasing; l.Enabled {
		return l.Share / float64(max(1, l.Turns))
	}
	return 1 / float64(d.settings.DispatcherCount)
}

// leaseWork returns the work that a request counts as under a lease, in slot seconds: at most what fits into
// one fall window.
func (d *Dispatcher) leaseWork(r *request) float64 {
	work := max(r.class.mean(), r.Work.Seconds())
	if w := d.settings.Rules.FallWindow.Seconds(); w > 0 {
		work = min(work, w)
	}
	return work * r.Slots
}

// findLease returns a lease that lets a request go to a cold worker out of turn. If there is none, it asks for
// one and returns 0.
func (d *Dispatcher) findLease(r *request, w *worker) (id uint64) {
	if !d.settings.Leasing.Enabled {
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
		d.emit(RequestLease{Worker: w.ID, Started: w.Started, Work: work})
	}
	return 0
}

// preferWhileCold reports whether a cold worker is used before others whenever that is allowed: otherwise,
// while others have room, turns would expire unused and the worker would not warm up. Where the budget is
// leased, this holds for its first job only, for which a lease may be asked.
func (d *Dispatcher) preferWhileCold(w *worker) bool {
	return d.warmth(w) < 1 && (!d.settings.Leasing.Enabled || w.lastAlive == 0)
}

// takeLease returns the lease that a request to a worker uses up, or 0 if the worker is warm or the request
// uses a turn.
func (d *Dispatcher) takeLease(r *request, w *worker) (id uint64) {
	if d.warmth(w) >= 1 || d.coldTurn(w, r) {
		return 0
	}
	id = d.findLease(r, w)
	w.leases = slices.DeleteFunc(w.leases, func(l Lease) bool { return l.ID == id })
	return id
}

// addLease stores a lease.
func (d *Dispatcher) addLease(l Lease) {
	if w := d.workers[l.Worker]; w != nil && l.ID != 0 && len(w.leases) < maxLeasesPerWorker {
		w.leases = append(w.leases, l)
		d.mayHaveRoom = true
	}
}
