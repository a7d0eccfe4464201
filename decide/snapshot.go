package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Snapshot is a dispatcher's state for the process that takes over from it: what it has learned, and the open
// requests with their attempts. The worker list is not part of it, since the new process gets it from
// discovery.
type Snapshot struct {
	Workers       []WorkerSnapshot  `json:"Workers"`
	Classes       []ClassSnapshot   `json:"Classes"` // by index of the class
	Kinds         map[int]kindStat  `json:"Kinds"`
	Zones         map[int]tally     `json:"Zones"` // share of attempts that failed or started late
	Keys          map[uint64]demand `json:"Keys"`
	Tenants       []demand          `json:"Tenants"`
	Requests      []RequestSnapshot `json:"Requests"`
	Arrivals      []time.Duration   `json:"Taken"`
	ExtraAttempts []time.Duration   `json:"Extras"` // inside the budget's window

	Admitted         float64          `json:"Admitted"`
	Tokens           float64          `json:"Tokens"`
	FirstJobs        tally            `json:"Fresh"`
	Errors           tally            `json:"Bad"`
	MaxIdle          time.Duration    `json:"MostIdle"`
	MaxIdleSetAt     time.Duration    `json:"IdleAt"`
	SilentUntil      time.Duration    `json:"Silent"`
	IdleFailures     [8]tally         `json:"Ages"`
	ConnSetups       [4]time.Duration `json:"Setups"`
	SawLife          bool             `json:"Served"`
	ConfirmsAttempts bool             `json:"Confirms"`
}

// WorkerSnapshot is what is known of a worker's process.
type WorkerSnapshot struct {
	Worker
	Ceiling           float64       `json:"Ceiling"`
	Slots             float64       `json:"Slots"`
	Abandoned         float64       `json:"Ghost"`
	LogDeviation      float64       `json:"Dev"`
	DeviationWeight   float64       `json:"N"`
	Failures          int           `json:"Strikes"`
	Probes            int           `json:"Probes"`
	FirstJobDue       bool          `json:"Owed"`
	RetryAt           time.Duration `json:"RetryAt"`
	LastAlive         time.Duration `json:"Lived"`
	NextColdSend      time.Duration `json:"ColdNext"`
	MinStartDelay     time.Duration `json:"Lead"`
	LateStarts        tally         `json:"Late"`
	Errors            tally         `json:"Bad"`
	UnsafeBarredUntil time.Duration `json:"Wary"`
	ClassErrors       []tally       `json:"Errs"` // by class
	ClassBars         []classBar    `json:"Refusals"`
}

// ClassSnapshot is what was learned of a class.
type ClassSnapshot struct {
	MeanRun    float64       `json:"Run"`
	MeanLogRun float64       `json:"LogRun"`
	Jobs       float64       `json:"Jobs"`
	MaxBudget  time.Duration `json:"Budget"`
	Errors     tally         `json:"Errs"`
}

// RequestSnapshot is a request that needs its final answer.
type RequestSnapshot struct {
	Request
	Arrived   time.Duration     `json:"Arrived"`
	Deadline  time.Duration     `json:"Due"`
	AimEnd    time.Duration     `json:"Limit"`
	Late      bool              `json:"Late"`
	OverShare bool              `json:"Over"`
	Errors    int               `json:"Errs"`
	Unsent    int               `json:"Unsent"`
	Attempts  []AttemptSnapshot `json:"Attempts"`
}

// AttemptSnapshot is an attempt of a request.
type AttemptSnapshot struct {
	Worker      Worker        `json:"Worker"`
	SentAt      time.Duration `json:"Sent"`
	LastReport  time.Duration `json:"Note"`
	StartedAt   time.Duration `json:"Begun"`
	ConnIdle    time.Duration `json:"Idle"`
	Ended       bool          `json:"Ended"`
	NeverRan    bool          `json:"NeverRan"`
	Errored     bool          `json:"Erred"`
	Started     bool          `json:"Started"`
	Queued      bool          `json:"Queued"`
	Accepted    bool          `json:"Taken"`
	ConnLost    bool          `json:"Lost"`
	ZoneCounted bool          `json:"Fared"`
	NewConn     bool          `json:"New"`
}

// maxSnapshotKeys bounds the keys whose demand is handed over; it is learned again within seconds.
const maxSnapshotKeys = 4096

// Snapshot returns the dispatcher's state.
func (d *Dispatcher) Snapshot() Snapshot {
	m := Snapshot{
		Kinds: map[int]kindStat{}, Zones: map[int]tally{}, Keys: map[uint64]demand{}, Tenants: d.tenantDemand,
		Arrivals: d.arrivals, ExtraAttempts: d.extraAttempts,
		Admitted: d.admitted, Tokens: d.tokens, FirstJobs: d.firstJobs, Errors: d.errors,
		MaxIdle: d.maxIdle, MaxIdleSetAt: d.maxIdleSetAt, SilentUntil: d.silentUntil, IdleFailures: d.idleFailures,
		ConnSetups: d.connSetups, SawLife: d.sawLife, ConfirmsAttempts: d.confirmsAttempts,
	}
	for _, w := range d.workers {
		saved := WorkerSnapshot{
			Worker: w.Worker, Ceiling: w.ceiling, Slots: w.learnedSize, Abandoned: w.abandoned, LogDeviation: w.logDeviation, DeviationWeight: w.deviationWeight,
			Failures: w.failures, Probes: w.probes, RetryAt: w.retryAt, LastAlive: w.lastAlive, NextColdSend: w.nextColdSend, MinStartDelay: w.minStartDelay,
			LateStarts: w.lateStarts, Errors: w.errors, UnsafeBarredUntil: w.unsafeBarredUntil, FirstJobDue: w.firstJobDue, ClassErrors: w.classErrors, ClassBars: w.classBars,
		}
		m.Workers = append(m.Workers, saved)
	}
	for _, c := range d.classes {
		m.Classes = append(m.Classes, ClassSnapshot{c.meanRun, c.meanLogRun, c.jobs, c.maxBudget, c.errors})
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
		saved := RequestSnapshot{
			Request: r.Request, Arrived: r.arrived, Deadline: r.deadline, AimEnd: r.aimEnd, Late: r.late,
			OverShare: r.overShare, Errors: r.errors, Unsent: r.unsent,
		}
		for _, a := range r.attempts {
			saved.Attempts = append(saved.Attempts, AttemptSnapshot{
				a.worker.Worker, a.sentAt, a.lastReport, a.startedAt, a.connIdle,
				a.ended, a.neverRan, a.errored, a.started, a.queued, a.accepted, a.connLost, a.zoneCounted, a.newConn,
			})
		}
		m.Requests = append(m.Requests, saved)
	}
	return m
}

// LongLived returns the part of a snapshot that stays valid after the process has ended: the run times of classes,
// the sizes of kinds of worker, and which workers' processes were draining. Ceilings, failures and cold turns
// are only of the moment.
func (m Snapshot) LongLived() Snapshot {
	a := Snapshot{Classes: m.Classes, Kinds: m.Kinds}
	for _, w := range m.Workers {
		if w.State == Draining {
			a.Workers = append(a.Workers, WorkerSnapshot{Worker: w.Worker})
		}
	}
	return a
}

// warmStart uses the state of an earlier process where nothing better is known yet. It never makes a worker count as
// warm or healthy.
func (d *Dispatcher) warmStart(m Snapshot) {
	sane := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	for i, saved := range m.Classes[:min(len(m.Classes), len(d.classes))] {
		if c := d.classes[i]; c.jobs == 0 && saved.Jobs > 0 && sane(saved.MeanRun) && sane(saved.Jobs) &&
			!math.IsNaN(saved.MeanLogRun) && !math.IsInf(saved.MeanLogRun, 0) {
			c.meanRun, c.meanLogRun, c.jobs = saved.MeanRun, saved.MeanLogRun, min(saved.Jobs, speedPriorJobs) // bounded, so that new runs outweigh it soon
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
func (d *Dispatcher) restore(m Snapshot) {
	d.arrivals, d.extraAttempts, d.admitted, d.tokens, d.firstJobs, d.errors = m.Arrivals, m.ExtraAttempts, m.Admitted, m.Tokens, m.FirstJobs, m.Errors
	d.silentUntil, d.maxIdle, d.maxIdleSetAt, d.idleFailures, d.connSetups, d.sawLife, d.confirmsAttempts =
		m.SilentUntil, m.MaxIdle, m.MaxIdleSetAt, m.IdleFailures, m.ConnSetups, m.SawLife, m.ConfirmsAttempts
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
				saved.Ceiling, saved.Slots, saved.Abandoned, saved.LogDeviation, saved.DeviationWeight, saved.MinStartDelay
			w.probes, w.retryAt, w.lastAlive, w.nextColdSend, w.lateStarts = saved.Probes, saved.RetryAt, saved.LastAlive, saved.NextColdSend, saved.LateStarts
			w.errors, w.unsafeBarredUntil = saved.Errors, saved.UnsafeBarredUntil
			for i, errors := range saved.ClassErrors[:min(len(saved.ClassErrors), len(w.classErrors))] {
				if errors != (tally{}) { // zero: nothing was learned of the class
					w.classErrors[i] = errors
				}
			}
			copy(w.classBars, saved.ClassBars)
			if saved.State == Draining { // it holds for the process, whatever an older list says
				w.State = Draining
			}
			w.failures = saved.Failures
			if w.firstJobDue = saved.FirstJobDue; w.firstJobDue {
				d.queueFirstJob(w)
			}
		}
	}
	d.recount()
	for i, saved := range m.Classes[:min(len(m.Classes), len(d.classes))] {
		if c := d.classes[i]; saved != (ClassSnapshot{}) { // zero: nothing was learned of it
			c.meanRun, c.meanLogRun, c.jobs, c.maxBudget, c.errors = saved.MeanRun, saved.MeanLogRun, saved.Jobs, saved.MaxBudget, saved.Errors
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
		d.keyedDemand.Count += n.at(d.now, d.settings.Rules.Cold)
	}
	copy(d.tenantDemand, m.Tenants)
	slices.SortFunc(m.Requests, func(a, b RequestSnapshot) int {
		return cmp.Or(cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	for _, saved := range m.Requests {
		d.restoreRequest(saved)
	}
	d.blocksStale, d.mayHaveRoom, d.sortAfter = true, true, 0
}

// restoreRequest takes over an open request from another process of this dispatcher.
func (d *Dispatcher) restoreRequest(saved RequestSnapshot) {
	if saved.Class < 0 || saved.Class >= len(d.classes) || d.requests[saved.ID] != nil {
		return
	}
	r := &request{
		Request: saved.Request, class: d.classes[saved.Class], arrived: saved.Arrived, deadline: saved.Deadline, aimEnd: saved.AimEnd,
		late: saved.Late, overShare: saved.OverShare, errors: saved.Errors, unsent: min(max(saved.Unsent, 0), len(saved.Attempts)),
	}
	for _, savedAttempt := range saved.Attempts {
		w := d.workers[savedAttempt.Worker.ID]
		if w == nil || w.Started != savedAttempt.Worker.Started { // that process has ended
			savedAttempt.Worker.State = Gone
			w = &worker{Worker: savedAttempt.Worker, zone: d.zone(savedAttempt.Worker.Zone), peerLoad: &loadSum{},
				classErrors: make([]tally, len(d.classes)), classBars: make([]classBar, len(d.classes))}
		}
		a := &attempt{
			worker: w, sentAt: savedAttempt.SentAt, lastReport: savedAttempt.LastReport, startedAt: savedAttempt.StartedAt,
			connIdle: savedAttempt.ConnIdle, ended: savedAttempt.Ended, neverRan: savedAttempt.NeverRan,
			errored: savedAttempt.Errored, started: savedAttempt.Started, queued: savedAttempt.Queued, accepted: savedAttempt.Accepted,
			connLost: savedAttempt.ConnLost, zoneCounted: savedAttempt.ZoneCounted, newConn: savedAttempt.NewConn,
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
