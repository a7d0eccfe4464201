package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Memory is what a dispatcher knows, for the process that takes over from it: what it has learned,
// and the requests in hand with their attempts. What the list tells is told anew.
type Memory struct {
	Workers  []WorkerMemory    `json:"Workers"`
	Classes  []ClassMemory     `json:"Classes"` // one for each class
	Kinds    map[int]kindStat  `json:"Kinds"`
	Zones    map[int]tally     `json:"Zones"` // of attempts that fared badly
	Keys     map[uint64]demand `json:"Keys"`
	Tenants  []demand          `json:"Tenants"`
	Requests []RequestMemory   `json:"Requests"`
	// Taken and Extras are those inside the budget's window.
	Taken  []time.Duration `json:"Taken"`
	Extras []time.Duration `json:"Extras"`

	Admitted float64          `json:"Admitted"`
	Tokens   float64          `json:"Tokens"`
	Fresh    tally            `json:"Fresh"`
	Bad      tally            `json:"Bad"`
	MostIdle time.Duration    `json:"MostIdle"`
	IdleAt   time.Duration    `json:"IdleAt"`
	Silent   time.Duration    `json:"Silent"`
	Ages     [8]tally         `json:"Ages"`
	Setups   [4]time.Duration `json:"Setups"`
	Served   bool             `json:"Served"`
	Confirms bool             `json:"Confirms"`
}

// WorkerMemory is what is known of a worker's process.
type WorkerMemory struct {
	Worker
	Ceiling  float64       `json:"Ceiling"`
	Slots    float64       `json:"Slots"`
	Ghost    float64       `json:"Ghost"`
	Dev      float64       `json:"Dev"`
	N        float64       `json:"N"`
	Strikes  int           `json:"Strikes"`
	Probes   int           `json:"Probes"`
	Owed     bool          `json:"Owed"`
	RetryAt  time.Duration `json:"RetryAt"`
	Lived    time.Duration `json:"Lived"`
	ColdNext time.Duration `json:"ColdNext"`
	Lead     time.Duration `json:"Lead"`
	Late     tally         `json:"Late"`
	Bad      tally         `json:"Bad"`
	Wary     time.Duration `json:"Wary"`
	Errs     []tally       `json:"Errs"` // of each class
	Refusals []refusal     `json:"Refusals"`
}

// ClassMemory is what was learned of a class.
type ClassMemory struct {
	Run    float64       `json:"Run"`
	LogRun float64       `json:"LogRun"`
	Jobs   float64       `json:"Jobs"`
	Budget time.Duration `json:"Budget"`
	Errs   tally         `json:"Errs"`
}

// RequestMemory is a request that is owed its answer.
type RequestMemory struct {
	Request
	Arrived  time.Duration   `json:"Arrived"`
	Due      time.Duration   `json:"Due"`
	Limit    time.Duration   `json:"Limit"`
	Late     bool            `json:"Late"`
	Over     bool            `json:"Over"`
	Errs     int             `json:"Errs"`
	Unsent   int             `json:"Unsent"`
	Attempts []AttemptMemory `json:"Attempts"`
}

// AttemptMemory is one attempt of it.
type AttemptMemory struct {
	Worker   Worker        `json:"Worker"`
	Sent     time.Duration `json:"Sent"`
	Note     time.Duration `json:"Note"`
	Begun    time.Duration `json:"Begun"`
	Idle     time.Duration `json:"Idle"`
	Ended    bool          `json:"Ended"`
	NeverRan bool          `json:"NeverRan"`
	Erred    bool          `json:"Erred"`
	Started  bool          `json:"Started"`
	Queued   bool          `json:"Queued"`
	Taken    bool          `json:"Taken"`
	Lost     bool          `json:"Lost"`
	Fared    bool          `json:"Fared"`
	New      bool          `json:"New"`
}

// mostKeys is of how many keys the demand is handed over: it is learned anew within seconds.
const mostKeys = 4096

// Memory is what this dispatcher knows by now.
func (d *Dispatcher) Memory() Memory {
	m := Memory{
		Kinds: map[int]kindStat{}, Zones: map[int]tally{}, Keys: map[uint64]demand{}, Tenants: d.tenants, Taken: d.taken, Extras: d.extras,
		Admitted: d.admitted, Tokens: d.tokens, Fresh: d.fresh, Bad: d.bad, MostIdle: d.mostIdle, IdleAt: d.idleAt, Silent: d.silent, Ages: d.ages,
		Setups: d.setups, Served: d.served, Confirms: d.confirms,
	}
	for _, w := range d.workers {
		l := WorkerMemory{
			Worker: w.Worker, Ceiling: w.ceiling, Slots: w.slots, Ghost: w.ghost, Dev: w.dev, N: w.n,
			Strikes: w.strikes, Probes: w.probes, RetryAt: w.retryAt, Lived: w.lived, ColdNext: w.coldNext, Lead: w.lead,
			Late: w.late, Bad: w.bad, Wary: w.wary, Owed: w.owed, Errs: w.errs, Refusals: w.refusals,
		}
		m.Workers = append(m.Workers, l)
	}
	for _, c := range d.classes {
		m.Classes = append(m.Classes, ClassMemory{c.run, c.logRun, c.jobs, c.budget, c.errs})
	}
	for id, k := range d.kinds {
		m.Kinds[id] = *k
	}
	for _, z := range d.zones {
		m.Zones[z.id] = z.bad
	}
	for k, n := range d.keys {
		if len(m.Keys) < mostKeys {
			m.Keys[k] = n
		}
	}
	for _, r := range d.live {
		if r.done {
			continue
		}
		l := RequestMemory{
			Request: r.Request, Arrived: r.arrived, Due: r.due, Limit: r.limit, Late: r.late, Over: r.over, Errs: r.errs, Unsent: r.unsent,
		}
		for _, a := range r.attempts {
			l.Attempts = append(l.Attempts, AttemptMemory{
				a.w.Worker, a.sent, a.note, a.begun, a.idle,
				a.over, a.neverRan, a.erred, a.started, a.queued, a.taken, a.lost, a.fared, a.fresh,
			})
		}
		m.Requests = append(m.Requests, l)
	}
	return m
}

// Advice is the part of a memory that is true for longer than a process: how long classes run, how large kinds of
// worker are, and which processes of them had been told to drain. Ceilings, strikes and cold turns are of the moment.
func (m Memory) Advice() Memory {
	a := Memory{Classes: m.Classes, Kinds: m.Kinds}
	for _, w := range m.Workers {
		if w.State == Draining {
			a.Workers = append(a.Workers, WorkerMemory{Worker: w.Worker})
		}
	}
	return a
}

// advise takes advice: only of what is not known better by now. It never says that a worker is warm or fit.
func (d *Dispatcher) advise(m Memory) {
	sane := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	for i, l := range m.Classes[:min(len(m.Classes), len(d.classes))] {
		if c := d.classes[i]; c.jobs == 0 && l.Jobs > 0 && sane(l.Run) && sane(l.Jobs) && !math.IsNaN(l.LogRun) && !math.IsInf(l.LogRun, 0) {
			c.run, c.logRun, c.jobs = l.Run, l.LogRun, min(l.Jobs, speedPrior) // soon outweighed
		}
	}
	for id, k := range m.Kinds {
		if own := d.kind(id); own.Slots == 0 && sane(k.Slots) {
			own.Slots = k.Slots
		}
	}
	for _, l := range m.Workers { // for its process, whatever an older list says
		if w := d.workers[l.ID]; w != nil && l.State == Draining && w.Started == l.Started {
			w.State = Draining
		}
	}
	d.recount()
	d.stale, d.freed, d.ordered = true, true, 0
}

// remember takes over what another process of this dispatcher knew.
func (d *Dispatcher) remember(m Memory) {
	d.taken, d.extras, d.admitted, d.tokens, d.fresh, d.bad = m.Taken, m.Extras, m.Admitted, m.Tokens, m.Fresh, m.Bad
	d.silent, d.mostIdle, d.idleAt, d.ages, d.setups, d.served, d.confirms = m.Silent, m.MostIdle, m.IdleAt, m.Ages, m.Setups, m.Served, m.Confirms
	for _, l := range m.Workers {
		if d.workers[l.ID] == nil && l.State == Draining { // a later list may name it again
			if d.upsert([]Worker{l.Worker}, false); d.workers[l.ID] != nil {
				d.workers[l.ID].unlisted = true
			}
		}
		w := d.workers[l.ID]
		if w != nil && w.Started < l.Started { // an old list, of an earlier process
			w.Started = l.Started
		}
		if w != nil && w.Started == l.Started { // else it has been started anew
			w.ceiling, w.slots, w.ghost, w.dev, w.n, w.lead = l.Ceiling, l.Slots, l.Ghost, l.Dev, l.N, l.Lead
			w.probes, w.retryAt, w.lived, w.coldNext, w.late = l.Probes, l.RetryAt, l.Lived, l.ColdNext, l.Late
			w.bad, w.wary = l.Bad, l.Wary
			copy(w.errs, l.Errs)
			copy(w.refusals, l.Refusals)
			if l.State == Draining { // for its process, whatever an older list says
				w.State = Draining
			}
			w.strikes = l.Strikes
			if w.owed = l.Owed; w.owed {
				d.owe(w)
			}
		}
	}
	d.recount()
	for i, l := range m.Classes[:min(len(m.Classes), len(d.classes))] {
		if c := d.classes[i]; l != (ClassMemory{}) { // else nothing is told of it
			c.run, c.logRun, c.jobs, c.budget, c.errs = l.Run, l.LogRun, l.Jobs, l.Budget, l.Errs
		}
	}
	for id, k := range m.Kinds {
		*d.kind(id) = k
	}
	for id, bad := range m.Zones {
		d.zone(id).bad = bad
	}
	d.keyed = demand{Last: d.now} // against their sum keys are hot or not
	for k, n := range m.Keys {
		d.keys[k] = n
		d.keyed.N += n.at(d.now, d.s.Rules.Cold)
	}
	copy(d.tenants, m.Tenants)
	slices.SortFunc(m.Requests, func(a, b RequestMemory) int {
		return cmp.Or(cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	for _, l := range m.Requests {
		d.resume(l)
	}
	d.stale, d.freed, d.ordered = true, true, 0
}

// resume goes on with a request that another process of this dispatcher had in hand.
func (d *Dispatcher) resume(l RequestMemory) {
	if l.Class < 0 || l.Class >= len(d.classes) || d.requests[l.ID] != nil {
		return
	}
	r := &request{
		Request: l.Request, c: d.classes[l.Class], arrived: l.Arrived, due: l.Due, limit: l.Limit,
		late: l.Late, over: l.Over, errs: l.Errs, unsent: min(max(l.Unsent, 0), len(l.Attempts)),
	}
	for _, t := range l.Attempts {
		w := d.workers[t.Worker.ID]
		if w == nil || w.Started != t.Worker.Started { // that process of it has gone
			t.Worker.State = Gone
			w = &worker{Worker: t.Worker, zone: d.zone(t.Worker.Zone), peers: &loadSum{},
				errs: make([]tally, len(d.classes)), refusals: make([]refusal, len(d.classes))}
		}
		a := &attempt{
			w: w, sent: t.Sent, note: t.Note, begun: t.Begun, idle: t.Idle, over: t.Ended, neverRan: t.NeverRan,
			erred: t.Erred, started: t.Started, queued: t.Queued, taken: t.Taken, lost: t.Lost, fared: t.Fared, fresh: t.New,
		}
		r.attempts = append(r.attempts, a)
		if a.over {
			continue
		}
		r.out++
		w.own, w.mem, w.open = w.own+r.Slots, w.mem+r.Memory, w.open+1
		w.conns = w.open // none idle: the connections stayed there
		if a.started {
			w.running += r.Slots
		}
	}
	d.requests[r.ID] = r
	d.live = append(d.live, r)
	if r.out == 0 {
		d.hold(r, false)
	}
}
