package decide

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// What of the settings of before a dispatcher may keep when others come: nothing but what it knows of workers.

// random is the source of all that is drawn.
func (s *Settings) random() *rand.Rand { return rand.New(rand.NewPCG(s.Seed, uint64(s.Dispatcher))) }

// unlearn drops what was reckoned by settings that other ones replace.
func (d *Dispatcher) unlearn(s Settings) {
	if len(d.classes) == 0 { // it has just been made
		return
	}
	slices.Sort(d.order) // equals stay as they were
	if s.Seed != d.s.Seed || s.Dispatcher != d.s.Dispatcher {
		d.rng = s.random()
	}
	if s.Limits.ConnIdle != d.s.Limits.ConnIdle { // by parts of which ages of connections are told apart
		d.ages, d.mostIdle, d.idleAt = [8]tally{}, s.Limits.ConnIdle*3/5, 0
	}
	for i := range d.setups {
		d.setups[i] = min(d.setups[i], s.Limits.ConnectTimeout)
	}
	d.stall = min(d.stall, s.Rules.FallWindow)
	if s.coldTerms() != d.s.coldTerms() {
		d.s = s
		d.coldAnew()
	}
}

// coldAnew reckons turns of cold workers as after a start.
func (d *Dispatcher) coldAnew() {
	d.owed = d.owed[:0]
	for _, id := range slices.Sorted(maps.Keys(d.workers)) {
		w := d.workers[id]
		if w.coldNext = 0; w.owed || d.untried(w) {
			d.owe(w)
		}
	}
}

// coldTerms is what the turns of cold workers are reckoned by.
type coldTerms struct {
	from, multiple          float64
	cold, window            time.Duration
	dispatcher, dispatchers int
	leasing                 Leasing
}

func (s *Settings) coldTerms() coldTerms {
	return coldTerms{s.Rules.ColdFrom, s.Rules.FallMultiple, s.Rules.Cold, s.Rules.FallWindow, s.Dispatcher, s.Dispatchers, s.Leasing}
}

// SameJobs tells whether what was learned of a class's jobs holds for another definition of it. Worth, effect and window say
// nothing of the jobs themselves.
func (c Class) SameJobs(other Class) bool {
	return c.Aim == other.Aim && c.Stretch == other.Stretch && c.Deadline == other.Deadline && c.Kind == other.Kind && c.Stream == other.Stream
}

// redefine is a class under another definition; what came before keeps the old one. Where its jobs are others, nothing is known of them.
func (d *Dispatcher) redefine(i int, to Class) *class {
	c := &class{}
	*c = *d.classes[i]
	if !c.SameJobs(to) {
		c.run, c.logRun, c.jobs, c.budget, c.errs = 0, 0, 0, 0, tally{N: errMemory}
		d.starts = average{} // of queues of those jobs
		for _, w := range d.workers {
			w.errs[i], w.refusals[i] = tally{N: 3}, refusal{}
		}
	}
	return c
}

// count notes which classes the settings have.
func (d *Dispatcher) count() {
	d.current = d.current[:0]
	for _, c := range d.classes {
		if !c.Left {
			d.current = append(d.current, c)
		}
	}
}

// defined is all classes: as they are, and as they were when requests in hand came.
func (d *Dispatcher) defined() []*class {
	all := append([]*class(nil), d.classes...)
	known := map[*class]bool{}
	for _, r := range d.live {
		if !r.done && r.c != d.classes[r.Class] && !known[r.c] {
			known[r.c] = true
			all = append(all, r.c)
		}
	}
	return all
}

// place has a worker where a line of the list says, and tells whether the line has another number for that than before: no process
// moves, so other settings name zones and kinds otherwise.
func (d *Dispatcher) place(w *worker, l Worker) (renumbered bool) {
	renumbered = w.Zone != l.Zone || w.Kind != l.Kind
	if w.zone.id != l.Zone {
		w.zone = d.zone(l.Zone)
	}
	return renumbered
}

// leaveZones forgets the zones that no worker is in: they are of other settings, and none would do as well as one that is not used.
func (d *Dispatcher) leaveZones() {
	d.zones = d.zones[:0]
	for _, id := range slices.Sorted(maps.Keys(d.workers)) {
		if z := d.workers[id].zone; !slices.Contains(d.zones, z) {
			d.zones = append(d.zones, z)
		}
	}
}
