package decide

import (
	"slices"
	"time"
)

// Of known work a job is reckoned to take so much longer, and so long at least, before a hold: work is an estimate.
const (
	reservedWorkStretch = 1.25
	reservedWorkMargin  = 50 * time.Millisecond
	maxReservations     = 256
)

// setReservations takes what is held of a worker. Beyond the bound the soonest count.
func (d *Dispatcher) setReservations(e Holds) {
	w := d.workers[e.Worker]
	if w == nil {
		return // it is told again, like all of the list
	}
	w.reservations, w.reservableSlots = slices.Clone(e.Spans), e.Slots
	slices.SortFunc(w.reservations, func(a, b Span) int { return int(a.From - b.From) })
	w.reservations = w.reservations[:min(len(w.reservations), maxReservations)]
	d.mayHaveRoom = true
}

// blockedByReservations tells whether a request may not have a worker's slots, because they are held while it might run.
func (d *Dispatcher) blockedByReservations(r *request, w *worker) bool {
	if len(w.reservations) == 0 || r.Held {
		return false
	}
	end := r.deadline
	if r.Work > 0 {
		end = min(end, d.now+time.Duration(reservedWorkStretch*float64(r.Work)*max(1, d.slowness(w))/max(d.warmth(w), 0.01))+reservedWorkMargin)
	}
	most := 0.0
	for _, at := range w.reservations {
		from, sum := max(at.From, d.now), 0.0
		if from >= end || from >= at.Until {
			continue
		}
		for _, o := range w.reservations {
			if o.From <= from && from < o.Until {
				sum += o.Slots
			}
		}
		most = max(most, sum)
	}
	used, _, _ := d.load(w)
	return most > 0 && used+most+r.Slots > w.reservableSlots
}
