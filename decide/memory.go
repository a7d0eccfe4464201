package decide

import "time"

// Memory is what a dispatcher has learned, for the process that takes over from it.
type Memory struct {
	Workers  []WorkerMemory
	Classes  []ClassMemory // one for each class
	Kinds    map[int]KindMemory
	Admitted float64
	MostIdle time.Duration
	IdleAt   time.Duration
	Confirms bool
	Setups   [4]time.Duration
}

// WorkerMemory is what was learned of a worker's process.
type WorkerMemory struct {
	ID                       uint32
	Started                  time.Duration
	Ceiling, Slots           float64
	Ghost                    float64
	Dev, N                   float64
	Strikes, Probes          int
	RetryAt, Lived, ColdNext time.Duration
	Lead                     time.Duration
	Late, LateN              float64
}

// ClassMemory is what was learned of a class.
type ClassMemory struct {
	Run, LogRun, Jobs, Offered, Served float64
	Budget                             time.Duration
}

// KindMemory is what was learned of a kind of worker.
type KindMemory struct{ Dev, N, Slots, Ceiling float64 }

// Memory is what has been learned so far.
func (d *Dispatcher) Memory() Memory {
	m := Memory{
		Kinds: map[int]KindMemory{}, Admitted: d.admitted, MostIdle: d.mostIdle, IdleAt: d.idleAt,
		Confirms: d.confirms, Setups: d.setups,
	}
	for _, w := range d.workers {
		m.Workers = append(m.Workers, WorkerMemory{
			ID: w.ID, Started: w.Started, Ceiling: w.ceiling, Slots: w.slots, Ghost: w.ghost, Dev: w.dev, N: w.n,
			Strikes: w.strikes, Probes: w.probes, RetryAt: w.retryAt, Lived: w.lived, ColdNext: w.coldNext, Lead: w.lead,
			Late: w.late.share, LateN: w.late.n,
		})
	}
	for _, c := range d.classes {
		m.Classes = append(m.Classes, ClassMemory{c.run, c.logRun, c.jobs, c.offered, c.served, c.budget})
	}
	for id, k := range d.kinds {
		m.Kinds[id] = KindMemory{k.dev, k.n, k.slots, k.ceiling}
	}
	return m
}

// remember takes what an earlier process of this dispatcher has learned. It holds for the same
// processes of workers only.
func (d *Dispatcher) remember(m Memory) {
	d.admitted, d.mostIdle, d.idleAt, d.confirms, d.setups = m.Admitted, m.MostIdle, m.IdleAt, m.Confirms, m.Setups
	for _, l := range m.Workers {
		w := d.workers[l.ID]
		if w == nil || w.Started != l.Started {
			continue
		}
		w.ceiling, w.slots, w.ghost, w.dev, w.n, w.lead = l.Ceiling, l.Slots, l.Ghost, l.Dev, l.N, l.Lead
		w.probes, w.retryAt, w.lived, w.coldNext, w.late = l.Probes, l.RetryAt, l.Lived, l.ColdNext, tally{l.LateN, l.Late}
		d.judge(w, l.Strikes)
		d.served = d.served || w.lived > 0
	}
	for i, l := range m.Classes {
		if i < len(d.classes) && l.Jobs > 0 {
			c := d.classes[i]
			c.run, c.logRun, c.jobs, c.offered, c.served, c.budget = l.Run, l.LogRun, l.Jobs, l.Offered, l.Served, l.Budget
		}
	}
	for id, l := range m.Kinds {
		*d.kind(id) = kindStat{l.Dev, l.N, l.Slots, l.Ceiling}
	}
	d.stale, d.freed, d.ordered = true, true, 0
}
