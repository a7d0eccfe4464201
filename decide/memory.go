package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Memory is a dispatcher's state for the process that takes over from it: what it has learned, and the open
// requests with their attempts. The worker list is not part of it, since the new process gets it from
// discovery.
type Memory struct {
	Workers  []WorkerMemory    `json:"Workers"`
	Classes  []ClassMemory     `json:"Classes"` // by index of the class
	Kinds    map[int]kindStat  `json:"Kinds"`
	Zones    map[int]tally     `json:"Zones"` // share of attempts that failed or started late
	Keys     map[uint64]demand `json:"Keys"`
	Tenants  []demand          `json:"Tenants"`
	Requests []RequestMemory   `json:"Requests"`
	Taken    []time.Duration   `json:"Taken"`
	Extras   []time.Duration   `json:"Extras"` // inside the budget's window

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
	Errs     []tally       `json:"Errs"` // by class
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

// RequestMemory is a request that needs its final answer.
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

// AttemptMemory is an attempt of a request.
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

// maxSnapshotKeys bounds the keys whose demand is handed over; it is learned again within seconds.
const maxSnapshotKeys = 4096

// Memory returns the dispatcher's state.
func (d *Dispatcher) Memory() Memory {
	m := Memory{
		Kinds: map[int]kindStat{}, Zones: map[int]tally{}, Keys: map[uint64]demand{}, Tenants: d.tenantDemand,
		Taken: d.arrivals, Extras: d.extraAttempts,
		Admitted: d.admitted, Tokens: d.tokens, Fresh: d.firstJobs, Bad: d.errors,
		MostIdle: d.maxIdle, IdleAt: d.maxIdleSetAt, Silent: d.silentUntil, Ages: d.idleFailures,
		Setups: d.connSetups, Served: d.sawLife, Confirms: d.confirmsAttempts,
	}
	for _, w := range d.workers {
		saved := WorkerMemory{
			Worker: w.Worker, Ceiling: w.ceiling, Slots: w.learnedSize, Ghost: w.abandoned, Dev: w.logDeviation, N: w.deviationWeight,
			Strikes: w.failures, Probes: w.probes, RetryAt: w.retryAt, Lived: w.lastAlive, ColdNext: w.nextColdSend, Lead: w.minStartDelay,
			Late: w.lateStarts, Bad: w.errors, Wary: w.unsafeBarredUntil, Owed: w.firstJobDue, Errs: w.classErrors, Refusals: w.refusals,
		}
		m.Workers = append(m.Workers, saved)
	}
	for _, c := range d.classes {
		m.Classes = append(m.Classes, ClassMemory{c.meanRun, c.meanLogRun, c.jobs, c.maxBudget, c.errors})
	}
	for id, k := range d.kinds {
		m.Kinds[id] = *k
	}
	for _, z := range d.zones {
		m.Zones[z.id] = z.poorAttempts
	}
	for k, n := range d.keyDemand {
		if len(m.Keys) < maxSnapshotKeys {
			m.Keys[k] = n
		}
	}
	for _, r := range d.liveRequests {
		if r.done {
			continue
		}
		saved := RequestMemory{
			Request: r.Request, Arrived: r.arrived, Due: r.deadline, Limit: r.aimEnd, Late: r.late,
			Over: r.overShare, Errs: r.errors, Unsent: r.unsent,
		}
		for _, a := range r.attempts {
			saved.Attempts = append(saved.Attempts, AttemptMemory{
				a.worker.Worker, a.sentAt, a.lastReport, a.startedAt, a.connIdle,
				a.ended, a.neverRan, a.errored, a.started, a.queued, a.accepted, a.connLost, a.zoneCounted, a.newConn,
			})
		}
		m.Requests = append(m.Requests, saved)
	}
	return m
}

// Advice returns the part of a memory that stays valid after the process has ended: the run times of classes,
// the sizes of kinds of worker, and which workers' processes were draining. Ceilings, failures and cold turns
// are only of the moment.
func (m Memory) Advice() Memory {
	a := Memory{Classes: m.Classes, Kinds: m.Kinds}
	for _, w := range m.Workers {
		if w.State == Draining {
			a.Workers = append(a.Workers, WorkerMemory{Worker: w.Worker})
		}
	}
	return a
}

// warmStart uses advice where nothing better is known yet. It never makes a worker count as warm or healthy.
func (d *Dispatcher) warmStart(m Memory) {
	sane := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	for i, saved := range m.Classes[:min(len(m.Classes), len(d.classes))] {
		if c := d.classes[i]; c.jobs == 0 && saved.Jobs > 0 && sane(saved.Run) && sane(saved.Jobs) &&
			!math.IsNaN(saved.LogRun) && !math.IsInf(saved.LogRun, 0) {
			c.meanRun, c.meanLogRun, c.jobs = saved.Run, saved.LogRun, min(saved.Jobs, speedPriorJobs) // bounded, so that new runs outweigh it soon
		}
	}
	for id, k := range m.Kinds {
		if own := d.kind(id); own.Slots == 0 && sane(k.Slots) {
			own.Slots = k.Slots
		}
	}
	for _, saved := range m.Workers { // draining holds for the process, whatever an older list says
		if w := d.workers[saved.ID]; w != nil && saved.State == Draining && w.Started == saved.Started {
			w.State = Draining
		}
	}
	d.recount()
	d.blocksStale, d.mayHaveRoom, d.sortAfter = true, true, 0
}

// restore takes over the state of another process of this dispatcher.
func (d *Dispatcher) restore(m Memory) {
	d.arrivals, d.extraAttempts, d.admitted, d.tokens, d.firstJobs, d.errors = m.Taken, m.Extras, m.Admitted, m.Tokens, m.Fresh, m.Bad
	d.silentUntil, d.maxIdle, d.maxIdleSetAt, d.idleFailures, d.connSetups, d.sawLife, d.confirmsAttempts =
		m.Silent, m.MostIdle, m.IdleAt, m.Ages, m.Setups, m.Served, m.Confirms
	for _, saved := range m.Workers {
		if d.workers[saved.ID] == nil && saved.State == Draining { // a later list may have it again
			if d.upsert([]Worker{saved.Worker}, false); d.workers[saved.ID] != nil {
				d.workers[saved.ID].unlisted = true
			}
		}
		w := d.workers[saved.ID]
		if w != nil && w.Started < saved.Started { // an old list that names an earlier process
			w.Started = saved.Started
		}
		if w != nil && w.Started == saved.Started { // otherwise it has been restarted
			w.ceiling, w.learnedSize, w.abandoned, w.logDeviation, w.deviationWeight, w.minStartDelay =
				saved.Ceiling, saved.Slots, saved.Ghost, saved.Dev, saved.N, saved.Lead
			w.probes, w.retryAt, w.lastAlive, w.nextColdSend, w.lateStarts = saved.Probes, saved.RetryAt, saved.Lived, saved.ColdNext, saved.Late
			w.errors, w.unsafeBarredUntil = saved.Bad, saved.Wary
			copy(w.classErrors, saved.Errs)
			copy(w.refusals, saved.Refusals)
			if saved.State == Draining { // it holds for the process, whatever an older list says
				w.State = Draining
			}
			w.failures = saved.Strikes
			if w.firstJobDue = saved.Owed; w.firstJobDue {
				d.queueFirstJob(w)
			}
		}
	}
	d.recount()
	for i, saved := range m.Classes[:min(len(m.Classes), len(d.classes))] {
		if c := d.classes[i]; saved != (ClassMemory{}) { // zero: nothing was learned of it
			c.meanRun, c.meanLogRun, c.jobs, c.maxBudget, c.errors = saved.Run, saved.LogRun, saved.Jobs, saved.Budget, saved.Errs
		}
	}
	for id, k := range m.Kinds {
		*d.kind(id) = k
	}
	for id, bad := range m.Zones {
		d.zone(id).poorAttempts = bad
	}
	d.keyedDemand = demand{Last: d.now} // the total that a key's demand is compared with
	for k, n := range m.Keys {
		d.keyDemand[k] = n
		d.keyedDemand.N += n.at(d.now, d.settings.Rules.Cold)
	}
	copy(d.tenantDemand, m.Tenants)
	slices.SortFunc(m.Requests, func(a, b RequestMemory) int {
		return cmp.Or(cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	for _, saved := range m.Requests {
		d.restoreRequest(saved)
	}
	d.blocksStale, d.mayHaveRoom, d.sortAfter = true, true, 0
}

// restoreRequest takes over an open request from another process of this dispatcher.
func (d *Dispatcher) restoreRequest(saved RequestMemory) {
	if saved.Class < 0 || saved.Class >= len(d.classes) || d.requests[saved.ID] != nil {
		return
	}
	r := &request{
		Request: saved.Request, class: d.classes[saved.Class], arrived: saved.Arrived, deadline: saved.Due, aimEnd: saved.Limit,
		late: saved.Late, overShare: saved.Over, errors: saved.Errs, unsent: min(max(saved.Unsent, 0), len(saved.Attempts)),
	}
	for _, savedAttempt := range saved.Attempts {
		w := d.workers[savedAttempt.Worker.ID]
		if w == nil || w.Started != savedAttempt.Worker.Started { // that process has ended
			savedAttempt.Worker.State = Gone
			w = &worker{Worker: savedAttempt.Worker, zone: d.zone(savedAttempt.Worker.Zone), peerLoad: &loadSum{},
				classErrors: make([]tally, len(d.classes)), refusals: make([]refusal, len(d.classes))}
		}
		a := &attempt{
			worker: w, sentAt: savedAttempt.Sent, lastReport: savedAttempt.Note, startedAt: savedAttempt.Begun,
			connIdle: savedAttempt.Idle, ended: savedAttempt.Ended, neverRan: savedAttempt.NeverRan,
			errored: savedAttempt.Erred, started: savedAttempt.Started, queued: savedAttempt.Queued, accepted: savedAttempt.Taken,
			connLost: savedAttempt.Lost, zoneCounted: savedAttempt.Fared, newConn: savedAttempt.New,
		}
		r.attempts = append(r.attempts, a)
		if a.ended {
			continue
		}
		r.outstanding++
		w.ownSlots, w.ownMemory, w.connsInUse = w.ownSlots+r.Slots, w.ownMemory+r.Memory, w.connsInUse+1
		w.conns = w.connsInUse // no idle ones: connections are not handed over
		if a.started {
			w.runningSlots += r.Slots
		}
	}
	d.requests[r.ID] = r
	d.liveRequests = append(d.liveRequests, r)
	if r.outstanding == 0 {
		d.enqueue(r, false)
	}
}
