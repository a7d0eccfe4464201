package decide

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// A change of settings: a dispatcher keeps what it has learned, and drops what depends on the earlier settings.

// newRand returns the source of random numbers for the settings.
func (s *Settings) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, uint64(s.DispatcherIndex)))
}

// dropOutdated drops what was computed from settings that the new ones change.
func (d *Dispatcher) dropOutdated(s Settings) {
	if len(d.classes) == 0 { // called by New
		return
	}
	slices.Sort(d.queueOrder) // the order in which equal queues were added
	if s.Seed != d.settings.Seed || s.DispatcherIndex != d.settings.DispatcherIndex {
		d.rng = s.newRand()
	}
	if s.Limits.ConnIdle != d.settings.Limits.ConnIdle { // the buckets of idle times depend on it
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

// resetColdTurns computes the turns of cold workers as after a start.
func (d *Dispatcher) resetColdTurns() {
	d.firstJobQueue = d.firstJobQueue[:0]
	for _, id := range slices.Sorted(maps.Keys(d.workers)) {
		w := d.workers[id]
		if w.nextColdSend = 0; w.firstJobDue || d.preferWhileCold(w) {
			d.queueFirstJob(w)
		}
	}
}

// coldSettings is the settings that the turns of cold workers depend on.
type coldSettings struct {
	from, multiple          float64
	cold, window            time.Duration
	dispatcher, dispatchers int
	leasing                 Leasing
}

// coldSettings returns the settings that the turns of cold workers depend on.
func (s *Settings) coldSettings() coldSettings {
	return coldSettings{s.Rules.ColdFrom, s.Rules.FallMultiple, s.Rules.Cold, s.Rules.FallWindow, s.DispatcherIndex, s.DispatcherCount, s.Leasing}
}

// SameWorkload reports whether what was learned of the class's jobs holds for another definition of it. Worth,
// effect and window say nothing about the jobs.
func (c Class) SameWorkload(other Class) bool {
	return c.Aim == other.Aim && c.Stretch == other.Stretch && c.Deadline == other.Deadline && c.Kind == other.Kind && c.Stream == other.Stream
}

// redefine returns a class with what was learned of it, for another definition; earlier requests keep the old
// one. If the jobs differ, what was learned is dropped.
func (d *Dispatcher) redefine(i int, to Class) *class {
	c := &class{}
	*c = *d.classes[i]
	if !c.SameWorkload(to) {
		c.meanRun, c.meanLogRun, c.jobs, c.maxBudget, c.errors = 0, 0, 0, 0, tally{Count: errorSamples}
		d.startDelays = average{} // start delays include the queueing behind those jobs
		for _, w := range d.workers {
			w.classErrors[i], w.classBars[i] = tally{Count: 3}, classBar{}
		}
	}
	return c
}

// updateActiveClasses sets the classes that the settings still have.
func (d *Dispatcher) updateActiveClasses() {
	d.activeClasses = d.activeClasses[:0]
	for _, c := range d.classes {
		if !c.Removed {
			d.activeClasses = append(d.activeClasses, c)
		}
	}
}

// allClasses returns the classes, and the earlier definitions that open requests still have.
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

// moveWorker sets a worker's zone from its entry in the list, and reports whether the entry has another zone or kind
// than before. A process keeps its zone and kind, so a difference means that new settings number them differently.
func (d *Dispatcher) moveWorker(w *worker, l Worker) (renumbered bool) {
	renumbered = w.Zone != l.Zone || w.Kind != l.Kind
	if w.zone.id != l.Zone {
		w.zone = d.zone(l.Zone)
	}
	return renumbered
}

// dropEmptyZones drops zones without workers: they come from earlier settings, and an unused zone would count
// as the best.
func (d *Dispatcher) dropEmptyZones() {
	d.zones = d.zones[:0]
	for _, id := range slices.Sorted(maps.Keys(d.workers)) {
		if z := d.workers[id].zone; !slices.Contains(d.zones, z) {
			d.zones = append(d.zones, z)
		}
	}
}
