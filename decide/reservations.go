package decide

import (
	"slices"
	"time"
)

const (
	reservedWorkStretch = 1.25                  // factor on a job's known work before a reservation, since work is an estimate
	reservedWorkMargin  = 50 * time.Millisecond // added to that
	maxReservations     = 256                   // kept for one worker
)

// setReservations replaces the reservations at a worker. Beyond the bound the earliest ones are kept.
func (d *Dispatcher) setReservations(e WorkerReservations) {
	w := d.workers[e.Worker]
	if w == nil {
		return // reservations are sent again once it is listed
	}
	w.reservations, w.reservableSlots = slices.Clone(e.Reservations), e.Slots
	slices.SortFunc(w.reservations, func(a, b Reservation) int { return int(a.From - b.From) })
	w.reservations = w.reservations[:min(len(w.reservations), maxReservations)]
	d.mayHaveRoom = true
}

// blockedByReservations reports whether a request must not use a worker's slots, because they are reserved for
// a time in which it might run.
func (d *Dispatcher) blockedByReservations(r *request, w *worker) bool {
	if len(w.reservations) == 0 || r.Reserved {
		return false
	}
	end := r.deadline
	if r.Work > 0 {
		end = min(end, d.now+time.Duration(reservedWorkStretch*float64(r.Work)*max(1, d.slowness(w))/max(d.warmth(w), 0.01))+reservedWorkMargin)
	}
	most := 0.0
	for _, span := range w.reservations {
		from, sum := max(span.From, d.now), 0.0
		if from >= end || from >= span.Until {
			continue
		}
		for _, other := range w.reservations {
			if other.From <= from && from < other.Until {
				sum += other.Slots
			}
		}
		most = max(most, sum)
	}
	used, _, _ := d.load(w)
	return most > 0 && used+most+r.Slots > w.reservableSlots
}
