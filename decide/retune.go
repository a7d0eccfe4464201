package decide

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// What of the settings of before a dispatcher may keep when others come: nothing but what it knows of workers.

// newRand is the source of all that is drawn.
func (s *Settings) newRand() *rand.Rand { return rand.New(rand.NewPCG(s.Seed, uint64(s.Dispatcher))) }

// dropOutdated drops what was reckoned by settings that other ones replace.
func (d *Dispatcher) dropOutdated(s Settings) {
	if len(d.classes) == 0 { // it has just been made
		return
	}
	slices.Sort(d.queueOrder) // equals stay as they were
	if s.Seed != d.settings.Seed || s.Dispatcher != d.settings.Dispatcher {
		d.rng = s.newRand()
	}
	if s.Limits.ConnIdle != d.settings.Limits.ConnIdle { // by parts of which ages of connections are told apart
		d.idleFailures, d.maxIdle, d.maxIdleSetAt = [8]tally{}, s.Limits.ConnIdle*3/5, 0
	}
	for i := range d.connSetups {
		d.connSetups[i] = min(d.connSetups[i], s.Limits.ConnectTimeout)
	}
	d.maxBatchDelay = min(d.maxBatchDelay, s.Rules.FallWindow)
	if s.coldSettings() != d.settings.coldSettings() {
		d.settings = s
		d.resetColdTurns()
	}
}

// resetColdTurns reckons turns of cold workers as after a start.
func (d *Dispatcher) resetColdTurns() {
	d.firstJobQueue = d.firstJobQueue[:0]
	for _, id := range slices.Sorted(maps.Keys(d.workers)) {
		w := d.workers[id]
		if w.nextColdSend = 0; w.firstJobDue || d.preferWhileCold(w) {
			d.queueFirstJob(w)
		}
	}
}

// coldSettings is what the turns of cold workers are reckoned by.
type coldSettings struct {
	from, multiple          float64
	cold, window            time.Duration
	dispatcher, dispatchers int
	leasing                 Leasing
}

func (s *Settings) coldSettings() coldSettings {
	return coldSettings{s.Rules.ColdFrom, s.Rules.FallMultiple, s.Rules.Cold, s.Rules.FallWindow, s.Dispatcher, s.Dispatchers, s.Leasing}
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
		c.meanRun, c.meanLogRun, c.jobs, c.maxBudget, c.errors = 0, 0, 0, 0, tally{N: errorSamples}
		d.startDelays = average{} // reservableSlots queues of those jobs
		for _, w := range d.workers {
			w.classErrors[i], w.refusals[i] = tally{N: 3}, refusal{}
		}
	}
	return c
}

// updateActiveClasses notes which classes the settings have.
func (d *Dispatcher) updateActiveClasses() {
	d.activeClasses = d.activeClasses[:0]
	for _, c := range d.classes {
		if !c.Left {
			d.activeClasses = append(d.activeClasses, c)
		}
	}
}

// allClasses is all classes: as they are, and as they were when requests in hand came.
func (d *Dispatcher) allClasses() []*class {
	all := append([]*class(nil), d.classes...)
	known := map[*class]bool{}
	for _, r := range d.liveRequests {
		if !r.done && r.class != d.classes[r.Class] && !known[r.class] {
			known[r.class] = true
			all = append(all, r.class)
		}
	}
	return all
}

// moveWorker has a worker where a line of the list says, and tells whether the line has another number for that than before: no process
// moves, so other settings name zones and kinds otherwise.
func (d *Dispatcher) moveWorker(w *worker, l Worker) (renumbered bool) {
	renumbered = w.Zone != l.Zone || w.Kind != l.Kind
	if w.zone.id != l.Zone {
		w.zone = d.zone(l.Zone)
	}
	return renumbered
}

// dropEmptyZones forgets the zones that no worker is in: they are of other settings, and none would do as well as one that is not used.
func (d *Dispatcher) dropEmptyZones() {
	d.zones = d.zones[:0]
	for _, id := range slices.Sorted(maps.Keys(d.workers)) {
		if z := d.workers[id].zone; !slices.Contains(d.zones, z) {
			d.zones = append(d.zones, z)
		}
	}
}
