package decide

import (
	"slices"
	"time"
)

// Of known work a job is reckoned to take so much longer, and so long at least, before a hold: work is an estimate.
const (
	holdStretch = 1.25
	holdMargin  = 50 * time.Millisecond
	mostSpans   = 256
)

// holds takes what is held of a worker. Beyond the bound the soonest count.
func (d *Dispatcher) holds(e Holds) {
	w := d.workers[e.Worker]
	if w == nil {
		return // it is told again, like all of the list
	}
	w.held, w.of = slices.Clone(e.Spans), e.Slots
	slices.SortFunc(w.held, func(a, b Span) int { return int(a.From - b.From) })
	w.held = w.held[:min(len(w.held), mostSpans)]
	d.freed = true
}

// withheld tells whether a request may not have a worker's slots, because they are held while it might run.
func (d *Dispatcher) withheld(r *request, w *worker) bool {
	if len(w.held) == 0 || r.Held {
		return false
	}
	end := r.due
	if r.Work > 0 {
		end = min(end, d.now+time.Duration(holdStretch*float64(r.Work)*max(1, d.slowness(w))/max(d.warmth(w), 0.01))+holdMargin)
	}
	most := 0.0
	for _, at := range w.held {
		from, sum := max(at.From, d.now), 0.0
		if from >= end || from >= at.Until {
			continue
		}
		for _, o := range w.held {
			if o.From <= from && from < o.Until {
				sum += o.Slots
			}
		}
		most = max(most, sum)
	}
	used, _, _ := d.load(w)
	return most > 0 && used+most+r.Slots > w.of
}
