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
	Workers       []WorkerMemory
	Classes       []ClassMemory // one for each class
	Kinds         map[int]kindStat
	Zones         map[int]tally // reservableSlots attempts that fared badly
	Keys          map[uint64]demand
	Tenants       []demand
	Requests      []RequestMemory
	Taken, Extras []time.Duration // inside the budget's window

	Admitted, Tokens float64
	Fresh, Bad       tally
	MostIdle, IdleAt time.Duration
	Silent           time.Duration
	Ages             [8]tally
	Setups           [4]time.Duration
	Served, Confirms bool
}

// WorkerMemory is what is known of a worker's process.
type WorkerMemory struct {
	Worker
	Ceiling, Slots, Ghost          float64
	Dev, N                         float64
	Strikes, Probes                int
	Owed                           bool
	RetryAt, Lived, ColdNext, Lead time.Duration
	Late, Bad                      tally
	Wary                           time.Duration
	Errs                           []tally // reservableSlots each class
	Refusals                       []refusal
}

// ClassMemory is what was learned of a class.
type ClassMemory struct {
	Run, LogRun, Jobs float64
	Budget            time.Duration
	Errs              tally
}

// RequestMemory is a request that is owed its answer.
type RequestMemory struct {
	Request
	Arrived, Due, Limit time.Duration
	Late, Over          bool
	Errs, Unsent        int
	Attempts            []AttemptMemory
}

// AttemptMemory is one attempt of it.
type AttemptMemory struct {
	Worker                                                           Worker
	Sent, Note, Begun, Idle                                          time.Duration
	Ended, NeverRan, Erred, Started, Queued, Taken, Lost, Fared, New bool
}

// maxSnapshotKeys is of how many keys the demand is handed over: it is learned anew within seconds.
const maxSnapshotKeys = 4096

// Memory is what this dispatcher knows by now.
func (d *Dispatcher) Memory() Memory {
	m := Memory{
		Kinds: map[int]kindStat{}, Zones: map[int]tally{}, Keys: map[uint64]demand{}, Tenants: d.tenantDemand, Taken: d.arrivals, Extras: d.extraAttempts,
		Admitted: d.admitted, Tokens: d.tokens, Fresh: d.firstJobs, Bad: d.errors, MostIdle: d.maxIdle, IdleAt: d.maxIdleSetAt, Silent: d.silentUntil, Ages: d.idleFailures,
		Setups: d.connSetups, Served: d.sawLife, Confirms: d.confirmsAttempts,
	}
	for _, w := range d.workers {
		l := WorkerMemory{
			Worker: w.Worker, Ceiling: w.ceiling, Slots: w.learnedSize, Ghost: w.abandoned, Dev: w.logDeviation, N: w.deviationWeight,
			Strikes: w.failures, Probes: w.probes, RetryAt: w.retryAt, Lived: w.lastAlive, ColdNext: w.nextColdSend, Lead: w.minStartDelay,
			Late: w.lateStarts, Bad: w.errors, Wary: w.unsafeBarredUntil, Owed: w.firstJobDue, Errs: w.classErrors, Refusals: w.refusals,
		}
		m.Workers = append(m.Workers, l)
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
		l := RequestMemory{
			Request: r.Request, Arrived: r.arrived, Due: r.deadline, Limit: r.aimEnd, Late: r.late, Over: r.overShare, Errs: r.errors, Unsent: r.unsent,
		}
		for _, a := range r.attempts {
			l.Attempts = append(l.Attempts, AttemptMemory{
				a.worker.Worker, a.sentAt, a.lastReport, a.startedAt, a.connIdle,
				a.ended, a.neverRan, a.errored, a.started, a.queued, a.accepted, a.connLost, a.zoneCounted, a.newConn,
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

// warmStart takes advice: only of what is not known better by now. It never says that a worker is warm or fit.
func (d *Dispatcher) warmStart(m Memory) {
	sane := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	for i, l := range m.Classes[:min(len(m.Classes), len(d.classes))] {
		if c := d.classes[i]; c.jobs == 0 && l.Jobs > 0 && sane(l.Run) && sane(l.Jobs) && !math.IsNaN(l.LogRun) && !math.IsInf(l.LogRun, 0) {
			c.meanRun, c.meanLogRun, c.jobs = l.Run, l.LogRun, min(l.Jobs, speedPriorJobs) // soon outweighed
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
	d.blocksStale, d.mayHaveRoom, d.sortAfter = true, true, 0
}

// restore takes over what another process of this dispatcher knew.
func (d *Dispatcher) restore(m Memory) {
	d.arrivals, d.extraAttempts, d.admitted, d.tokens, d.firstJobs, d.errors = m.Taken, m.Extras, m.Admitted, m.Tokens, m.Fresh, m.Bad
	d.silentUntil, d.maxIdle, d.maxIdleSetAt, d.idleFailures, d.connSetups, d.sawLife, d.confirmsAttempts = m.Silent, m.MostIdle, m.IdleAt, m.Ages, m.Setups, m.Served, m.Confirms
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
			w.ceiling, w.learnedSize, w.abandoned, w.logDeviation, w.deviationWeight, w.minStartDelay = l.Ceiling, l.Slots, l.Ghost, l.Dev, l.N, l.Lead
			w.probes, w.retryAt, w.lastAlive, w.nextColdSend, w.lateStarts = l.Probes, l.RetryAt, l.Lived, l.ColdNext, l.Late
			w.errors, w.unsafeBarredUntil = l.Bad, l.Wary
			copy(w.classErrors, l.Errs)
			copy(w.refusals, l.Refusals)
			if l.State == Draining { // for its process, whatever an older list says
				w.State = Draining
			}
			w.failures = l.Strikes
			if w.firstJobDue = l.Owed; w.firstJobDue {
				d.queueFirstJob(w)
			}
		}
	}
	d.recount()
	for i, l := range m.Classes[:min(len(m.Classes), len(d.classes))] {
		if c := d.classes[i]; l != (ClassMemory{}) { // else nothing is told of it
			c.meanRun, c.meanLogRun, c.jobs, c.maxBudget, c.errors = l.Run, l.LogRun, l.Jobs, l.Budget, l.Errs
		}
	}
	for id, k := range m.Kinds {
		*d.kind(id) = k
	}
	for id, bad := range m.Zones {
		d.zone(id).poorAttempts = bad
	}
	d.keyedDemand = demand{Last: d.now} // against their sum keys are hot or not
	for k, n := range m.Keys {
		d.keyDemand[k] = n
		d.keyedDemand.N += n.at(d.now, d.settings.Rules.Cold)
	}
	copy(d.tenantDemand, m.Tenants)
	slices.SortFunc(m.Requests, func(a, b RequestMemory) int {
		return cmp.Or(cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	for _, l := range m.Requests {
		d.restoreRequest(l)
	}
	d.blocksStale, d.mayHaveRoom, d.sortAfter = true, true, 0
}

// restoreRequest goes on with a request that another process of this dispatcher had in hand.
func (d *Dispatcher) restoreRequest(l RequestMemory) {
	if l.Class < 0 || l.Class >= len(d.classes) || d.requests[l.ID] != nil {
		return
	}
	r := &request{
		Request: l.Request, class: d.classes[l.Class], arrived: l.Arrived, deadline: l.Due, aimEnd: l.Limit,
		late: l.Late, overShare: l.Over, errors: l.Errs, unsent: min(max(l.Unsent, 0), len(l.Attempts)),
	}
	for _, t := range l.Attempts {
		w := d.workers[t.Worker.ID]
		if w == nil || w.Started != t.Worker.Started { // that process of it has gone
			t.Worker.State = Gone
			w = &worker{Worker: t.Worker, zone: d.zone(t.Worker.Zone), peerLoad: &loadSum{},
				classErrors: make([]tally, len(d.classes)), refusals: make([]refusal, len(d.classes))}
		}
		a := &attempt{
			worker: w, sentAt: t.Sent, lastReport: t.Note, startedAt: t.Begun, connIdle: t.Idle, ended: t.Ended, neverRan: t.NeverRan,
			errored: t.Erred, started: t.Started, queued: t.Queued, accepted: t.Taken, connLost: t.Lost, zoneCounted: t.Fared, newConn: t.New,
		}
		r.attempts = append(r.attempts, a)
		if a.ended {
			continue
		}
		r.outstanding++
		w.ownSlots, w.ownMemory, w.connsInUse = w.ownSlots+r.Slots, w.ownMemory+r.Memory, w.connsInUse+1
		w.conns = w.connsInUse // none idle: the connections stayed there
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
