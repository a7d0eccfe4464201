// Most decisions are made in this file, placement.go and retry.go; lease.go, reservations.go, peers.go, subscribe.go and
// gated.go have those of their subject. Settings, events and actions are in api.go, the state is in state.go, and what
// is learned from events in estimate.go.

package decide

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters. The times at the end are fixed; other times in this file are derived from the settings or learned.
const (
	initialCeiling         = 1.0     // slots a worker gets before it has shown anything
	minCeiling             = 1.0 / 4 // a worker below one slot still gets one job; a lower ceiling would only take longer to recover
	ceilingStep            = 0.5     // ceiling gained by a prompt start at the ceiling
	endCeilingStep         = 0.05    // ceiling gained by an end in time, where starts are not reported: it comes a run later and is less certain
	promptAimShare         = 0.1     // a start later than this share of the aim is taken as queueing
	progressSlackIntervals = 1.5     // progress intervals without a report after which a job counts as stalled
	maxFailures            = 6       // bound on consecutive failures, and so on doublings of the readmission backoff
	coldBudgetShare        = 0.5     // share of the cold workers' budget that is used
	coldJobStretch         = 1.25    // how long a job at a cold worker may run, in units of the work of one turn
	speedSamples           = 64.0    // jobs that a worker's speed is judged by
	speedPriorJobs         = 8.0     // bound on the weight, in jobs, of the kind's speed in a worker's own
	sizePriorJobs          = 2.0     // jobs of run time 0 added before a worker's size or its kind's speed is estimated from runs
	unknownKindSlowness    = 0.5     // assumed log slowness of an unknown kind, where there are several
	speedPriorPerWorker    = 2.5     // the weight of the kind's speed for each worker per dispatcher: many dispatchers see few jobs of each worker
	extraPerRequest        = 0.5     // further attempts for each request, where no rule sets the budget
	extraBase              = 5.0     // further attempts besides, in the time that a client waits
	resortDivisor          = 16      // the fleet is sorted again after one job per 16 workers, at intervals of an aim per 64 workers
	scansPerStep           = 256     // workers examined for held requests in each sweep interval while nothing happens
	lateStartSamples       = 8.0     // starts at a worker that its share of late ones is taken over
	admitFactor            = 0.95    // factor on the admitted share for each request that was started late
	admitStep              = 0.04    // share regained by each request that was started in time
	highWorthFactor        = 1.2     // a request worth more than this times the mean worth of the classes does not wait for a token
	maxTokens              = 4.0     // tokens saved up, so that a rarely used dispatcher need not wait for the next
	minAdmitted            = 0.25    // share of first attempts that is always admitted
	unresponsiveRuns       = 4       // typical runs without a sign of life (see recordLife) from the worker after which a job counts as unresponsive
	unresponsiveStarts     = 2       // mean start delays added to those runs, since a queue is no failure
	firstJobSamples        = 4.0     // first jobs at unknown workers that later ones are judged by
	firstJobProbes         = 4       // probes that an unproven worker may leave unanswered before it gets a trial
	firstJobFailShare      = 0.5     // failed share of first jobs above which unknown workers count as unproven
	tenantShareSlack       = 4.0 / 3 // a tenant may use its share by this factor more than the median tenant
	errorSamples           = 8.0     // jobs at a worker that its share of errors is taken over
	errorMargin            = 0.3     // excess over the share of errors at all workers that bars a class from a worker
	unsafeErrorMargin      = 0.1     // excess over that share that bars jobs that must not run twice
	zoneSamples            = 16.0    // attempts that a zone is judged by
	zoneMargin             = 0.1     // excess of bad attempts over the best zone from which on a zone is avoided
	answerMarginDivisor    = 16      // a request is answered its budget divided by this early, so that a stall does not make it miss its deadline
	peerGroupSize          = 32      // dispatchers that report their load to each other
	unsafeFailShare        = 0.3     // share of failures at an idle time that bars it for unsafe jobs
	idleTimeSamples        = 6.0     // sends that an idle time is judged by
	fewHeldDivisor         = 3       // keyed requests may go to further workers while at most one request per three workers is held
	widenPerAim            = 4.0     // further workers that a held keyed request may go to for each aim that it has waited
	longRunFactor          = 1.5     // a job longer than this times the usual one goes anywhere, whatever its key
	slotsPerKeyWorker      = 2.0     // slots that the jobs of a key fill on each of its workers
	confirmAimDivisor      = 2       // a job's worker must confirm it within the aim divided by this
	confirmDeadlineFactor  = 5       // factor on that time for a request that is kept until its deadline
	idleDoubleWindows      = 4       // fall windows in which the usable idle time doubles
	idleRecheck            = 8       // one in this many repeatable jobs still uses an old connection
	maxMovedShare          = 0.01    // share of the requests that is moved from a worker's queue, since moved jobs may run twice
	ringPointsPerWorker    = 8       // points of a worker on the hash ring
	sweepSteps             = 4       // steps of the timer granularity between sweeps
	minSweepInterval       = 5 * time.Millisecond

	uncordonedWithin = 4 * time.Second // an uncordoned worker gets a turn within this time: operators watch for it
	tenantWindow     = 4 * time.Second // decay time of a tenant's request count; a key's count decays over the time to warm up
)

// defaultPolicies makes a policy for each class where none are given. Requests with a key go first to the
// workers of their key in the own zone, then to those of all zones; other requests go to the own zone, then to
// any. Each block is best_first, and the default block follows. Workers for a key in each zone cost one more
// fetch, per zone, of the data that the key names; with only one worker, each request from another zone would pay the
// price of crossing.
func defaultPolicies(s Settings) []Policy {
	rule := Invalidate{Rule: MaxConcurrentInvocations, Threshold: math.MaxInt32}
	if s.ReportsFreeSlots {
		rule = Invalidate{Rule: Overload}
	}
	var policies []Policy
	for _, c := range s.Classes {
		all := Block{Workers: []Label{{Zone: Any, Kind: c.Kind}}, Strategy: BestFirst, Invalidate: rule}
		own, keyed, near := all, all, all
		own.ByKey, keyed.ByKey = true, true
		own.Workers, near.Workers = []Label{{Zone: s.Zone, Kind: c.Kind}}, []Label{{Zone: s.Zone, Kind: c.Kind}}
		policies = append(policies, Policy{Blocks: []Block{own, keyed, near, all}, Followup: Default})
	}
	return policies
}

// beginBatch begins a batch of events. If it comes later than its timer, this dispatcher itself was stalled,
// and the batch holds all that came in the meantime.
func (d *Dispatcher) beginBatch(now time.Duration) {
	d.now, d.batchDelay, d.batch = max(d.now, now), 0, d.batch+1
	if late := d.now - d.timerDue; d.timerSet && late > d.sweepInterval() {
		d.batchDelay, d.maxBatchDelay = late, min(max(late, d.maxBatchDelay), d.settings.Rules.FallWindow)
	}
}

// finishBatch acts on a batch once all its events are processed: an answer in the same batch as the timer must
// prevent a refusal.
func (d *Dispatcher) finishBatch() {
	if !d.timerSet {
		d.sweep()
	}
	d.placeHeld()
	d.sendLoad()
	if !d.timerSet && (len(d.liveRequests) > 0 || d.subscribeAt > 0) {
		d.timerSet, d.timerDue = true, d.now+d.sweepInterval()
		d.emit(SetTimer{After: d.sweepInterval()})
	}
}

// setCordon cordons a worker, whatever the list says, or removes the cordon. The worker may have been restarted
// in the meantime, so an uncordoned one counts as new and cold, and gets a first job soon so that its use
// shows.
func (d *Dispatcher) setCordon(id uint32, cordoned bool) {
	w, was := d.workers[id], d.cordons[id]
	if d.cordons[id] = cordoned; !cordoned {
		delete(d.cordons, id)
	}
	if w != nil && was && !cordoned {
		l, listed, unlisted := w.Worker, w.lastListed, w.unlisted
		l.Started, w.State = d.now, Gone // so that outstanding attempts find the old process gone
		w = d.addWorker(l)
		w.State, w.lastListed, w.unlisted, w.firstJobDue = l.State, listed, unlisted, true
		d.queueFirstJob(w)
	} else if w != nil {
		w.cordoned = cordoned
	}
	d.recount()
	d.blocksStale, d.mayHaveRoom, d.sortAfter = true, true, 0
}

// firstJobWorker returns a worker to be used before others: one just uncordoned, for one repeatable job, or a
// cold one.
func (d *Dispatcher) firstJobWorker(r *request) *worker {
	d.firstJobQueue = slices.DeleteFunc(d.firstJobQueue, func(w *worker) bool {
		return !w.firstJobDue && !d.preferWhileCold(w) || d.workers[w.ID] != w
	})
	for _, w := range d.firstJobQueue {
		first := r.class.Effect == Safe && w.ownSlots == 0 || !w.firstJobDue && !d.settings.Leasing.Enabled
		if first && len(r.attempts)+len(r.Candidates) == 0 && (r.class.Kind == Any || r.class.Kind == w.Kind) &&
			d.valid(r, w, Invalidate{Rule: Overload}) {
			return w
		}
	}
	return nil
}

// updateList applies entries of the worker list; whole: they are all of it.
func (d *Dispatcher) updateList(entries []Worker, whole bool) {
	d.logCondition(&d.listLost, false, "", "worker list is updated again")
	d.upsert(entries, whole)
	d.subscribeFailures, d.subscribeAt, d.blocksStale, d.mayHaveRoom = 0, 0, true, true
}

// applyState applies the state in a worker's entry, or Gone where a whole list has no entry for it. Draining
// holds for the worker's process even if an older list says otherwise. Gone removes the worker, unless the
// rules make it advisory: then a worker that has served leaves the fleet with its first failure. This protects
// against lists that are old or lack live workers, at the cost of one attempt at a worker that is really gone.
func (d *Dispatcher) applyState(w *worker, listed WorkerState) {
	w.unlisted = listed == Gone
	switch {
	case listed == Draining:
		w.State = Draining
	case listed == Gone && w.State == Ready && !d.settings.Rules.GoneIsAdvisory:
		d.dropWorker(w)
	}
}

// sortFleet sorts the fleet and fills the blocks once the list has changed or enough jobs were learned from.
// Its cost grows with the fleet, so it must not run for each request.
func (d *Dispatcher) sortFleet() {
	if !d.blocksStale && d.learnedSinceSort <= len(d.fleet)/resortDivisor || d.now < d.sortAfter && len(d.fleet) > 0 {
		return
	}
	d.sortAfter, d.learnedSinceSort = d.now+d.settings.Classes[d.settings.TimingClass].Aim*time.Duration(1+len(d.fleet)/(4*resortDivisor)), 0
	changed := d.blocksStale
	if d.blocksStale, d.mayHaveRoom = false, d.mayHaveRoom || changed; changed {
		d.fleet = slices.AppendSeq(d.fleet[:0], maps.Values(d.workers))
		d.fleet = slices.DeleteFunc(d.fleet, func(w *worker) bool {
			return !w.ready() || w.unlisted && (w.failures > 0 || w.lastAlive == 0) && !d.outage()
		})
		slices.SortFunc(d.fleet, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	maps.DeleteFunc(d.keyDemand, func(_ uint64, k demand) bool { return d.now-k.Last > 2*d.settings.Rules.Cold })
	best := slices.Clone(d.fleet)
	// Weighted rendezvous hashing: each dispatcher or group of them has its own order, with first places spread by
	// capacity. With few dispatchers speed decides; late starts make some of the dispatchers that chose the same worker
	// leave it.
	perDispatcher := float64(len(d.fleet)) / float64(d.settings.DispatcherCount)
	for _, w := range best {
		if d.unproven(w) && d.now >= w.retryAt {
			w.probes++
			d.setFailures(w, maxFailures)
			w.retryAt = d.now + d.backoff(d.settings.Rules.FallWindow, min(w.probes, maxFailures))
			d.emit(Probe{Worker: w.ID})
		}
		draw, slowness, size := uniform(uint64(w.ID), uint64(d.peerGroup())+1), d.slowness(w), 1.0
		if d.settings.Rated && w.Rating > 0 {
			size = w.Rating
		} else {
			slowness *= 1 + 1/perDispatcher
		}
		w.rank = -math.Log(draw) * math.Exp(perDispatcher*slowness+w.lateStarts.Share) / size
	}
	slices.SortStableFunc(best, func(a, b *worker) int { return cmp.Compare(a.rank, b.rank) })
	d.fillBlocks(best, changed)
	density := func(q int) float64 { // odd queues hold late requests, which have their late worth
		c := d.classes[q/2]
		return c.Worth * math.Pow(c.LateWorth, float64(q%2)) / c.mean()
	}
	slices.SortStableFunc(d.queueOrder, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
}

// arrive queues a new request.
func (d *Dispatcher) arrive(q Request) {
	if d.requests[q.ID] != nil || q.Class < 0 || q.Class >= len(d.classes) {
		return
	}
	c := d.classes[q.Class]
	q.Slots = cmp.Or(max(q.Slots, 0), 1)
	r := &request{Request: q, class: c, arrived: d.now, deadline: d.now + q.Budget}
	// A client's retry has less time left, since its aim began with the first try. Where retries are not marked, a
	// request with less than half of the budget is taken as one with a short time limit; as a retry it would be late
	// at once.
	c.maxBudget = max(c.maxBudget, q.Budget)
	if elapsed := c.maxBudget - q.Budget; q.Retry || !d.settings.RetriesMarked && elapsed <= c.maxBudget/2 {
		r.arrived -= elapsed
	}
	r.aimEnd = min(r.arrived+c.Aim, r.deadline)
	d.requests[q.ID], r.overShare = r, d.exceedsShare(q.Tenant)
	d.arrivals = append(d.arrivals, d.now)
	d.liveRequests = append(d.liveRequests, r)
	if k := d.keyDemand[q.Key]; q.Key != 0 {
		if len(d.keyDemand) == 0 {
			d.blocksStale, d.sortAfter = true, 0
		}
		k.increment(d.now, d.settings.Rules.Cold)
		d.keyedDemand.increment(d.now, d.settings.Rules.Cold)
		d.keyDemand[q.Key] = k
	}
	d.tokens = min(maxTokens, d.tokens+d.admitted)
	d.mayHaveRoom = d.mayHaveRoom || q.Reserved // it can use slots that others of its class cannot
	d.enqueue(r, false)
	if d.settings.Limits.MaxOpen <= 0 || len(d.requests) <= d.settings.Limits.MaxOpen {
		return
	}
	for _, q := range slices.Backward(d.queueOrder) { // over the bound: drop the unsent request of the least worth
		for i, o := range slices.Backward(d.queues[q]) {
			if o.held && o.queue == q && len(o.attempts) == 0 {
				d.queues[q] = slices.Delete(d.queues[q], i, i+1) // at once, it would stay there behind the other held ones
				d.answerFinal(o)
				return
			}
		}
	}
}

// exceedsShare reports whether a request counts as beyond its tenant's share, at random and the more often the
// more the tenant uses here. Where all tenants send more here, this dispatcher only has a larger part of the
// traffic.
func (d *Dispatcher) exceedsShare(tenant int) bool {
	if tenant >= len(d.tenantDemand) || d.settings.Tenants[tenant].Removed {
		return false
	}
	d.tenantDemand[tenant].increment(d.now, tenantWindow)
	used := func(i int) float64 {
		share := d.settings.Tenants[i].QuotaPerSecond / float64(d.settings.DispatcherCount) * tenantWindow.Seconds()
		return aboveNoise(d.tenantDemand[i].at(d.now, tenantWindow)) / max(share, 1e-9)
	}
	var usage []float64
	for i := range d.tenantDemand {
		if !d.settings.Tenants[i].Removed {
			usage = append(usage, used(i))
		}
	}
	slices.Sort(usage)
	return d.rng.Float64()*used(tenant) > max(1, tenantShareSlack*usage[len(usage)/2])
}

// adjustAdmission adjusts the admitted share by whether a request was started late. While many are, at whatever
// worker, only a part of the first attempts is admitted, those of the highest worth first: a worker's ceiling
// of one or two jobs cannot show overload.
func (d *Dispatcher) adjustAdmission(late bool) {
	if late {
		d.admitted = max(minAdmitted, d.admitted*admitFactor)
	} else {
		d.admitted = min(1, d.admitted+admitStep)
	}
	d.logCondition(&d.shedding, d.admitted < 0.5, "workers are overloaded: admitting fewer than half of the first attempts",
		"workers are no longer overloaded")
}

// enqueue holds a request in this dispatcher, where it can go to any worker that becomes valid; moving it from a
// worker's queue would cost a further attempt.
func (d *Dispatcher) enqueue(r *request, front bool) {
	if r.held || r.done {
		return
	}
	r.held, r.queue, r.failedRound = true, 2*r.Class, 0
	if d.now >= r.aimEnd || r.overShare {
		r.queue++
	}
	if q := &d.queues[r.queue]; front {
		*q = slices.Insert(*q, 0, r)
	} else {
		*q = append(*q, r)
	}
}

// placeHeld places held requests, those of the highest worth per run time first.
func (d *Dispatcher) placeHeld() {
	d.sortFleet()
	d.beginRound(scansPerStep)
	for _, q := range d.queueOrder {
		if d.classes[q/2].stuck {
			continue // no worker was valid for its last request, and nothing has changed
		}
		n := 0
		for i, r := range d.queues[q] {
			if !r.held || r.queue != q {
				continue // answered or moved to the late queue
			}
			first := len(r.attempts) == 0 && d.admitted < 1
			waits := first && d.tokens < 1 && r.class.Worth <= highWorthFactor*d.meanWorth() // requests of high worth go ahead, on others' tokens
			if w := d.findWorker(r, waits); w != nil && d.send(r, w) {
				if r.held = false; first {
					d.tokens = max(-maxTokens, d.tokens-1)
				}
				continue
			}
			if r.class.followup == Fail && r.outstanding == 0 && d.now >= r.retryAt {
				d.answerFinal(r)
				continue
			}
			d.queues[q][n] = r
			n++
			if d.routesByKey(r) || len(r.Candidates) > 0 || d.now < r.retryAt {
				continue // the next request may go to other workers
			}
			r.class.stuck = len(r.attempts) == 0
			if r.class.stuck || n >= d.settings.Limits.MaxAttempts { // the same workers are invalid for the rest, or enough of them were tried
				n += copy(d.queues[q][n:], d.queues[q][i+1:])
				break
			}
		}
		clear(d.queues[q][n:])
		d.queues[q] = d.queues[q][:n]
	}
}

// pick returns a valid worker by the class's policy: the blocks from the top, then the default block.
func (d *Dispatcher) pick(r *request) *worker {
	if d.sendForbidden(r) {
		return nil
	}
	d.drawAvoidedZones()
	// While connecting takes long, moving costs more than queueing, unless the move uses an open connection.
	d.openOnly = r.outstanding > 0 && d.connSetup() > d.startGrace(r, nil)
	for _, id := range r.Candidates { // given by the request's route; the rules apply nevertheless
		if w := d.workers[id]; w != nil && d.valid(r, w, Invalidate{Rule: Overload}) {
			return w
		}
	}
	if w := d.firstJobWorker(r); w != nil || len(r.Candidates) > 0 {
		return w
	}
	keyed := d.routesByKey(r)
	for i, b := range r.class.blocks {
		if b.ByKey && !keyed {
			continue
		}
		if b.ByKey && i > 0 && !d.mayCrossZones(r, r.class.blocks[i-1], b) {
			return nil
		}
		if w := d.firstValid(b, r); w != nil {
			return w
		}
		if last := i+1 == len(r.class.blocks) || !r.class.blocks[i+1].ByKey; b.ByKey && last {
			return nil // held for the workers of its key
		}
	}
	if r.class.followup == Fail {
		return nil
	}
	return d.firstValid(r.class.defaultBlock, r)
}

// routesByKey reports whether a request goes to the workers of its key. For a job longer than usual, fetching
// the data that the key names costs relatively little and an even load matters more.
func (d *Dispatcher) routesByKey(r *request) bool {
	return r.Key > 0 && r.class.typical().Seconds() <= longRunFactor*cmp.Or(d.meanTypicalRun(0), math.Inf(1))
}

// mayCrossZones reports whether a request may go on from the own zone's workers for its key to those of all
// zones: if the own zone seems lost to it, or crossing costs nothing. Otherwise crossing costs more than it
// gains.
func (d *Dispatcher) mayCrossZones(r *request, from, to *block) bool {
	return d.settings.Prices.CrossZone == 0 || !from.allInZone(d.settings.Zone) || to.allInZone(d.settings.Zone) || len(from.members) == 0 ||
		d.zone(d.settings.Zone).avoided || r.anyAttempt(func(a *attempt) bool { return a.neverRan || a.brokeAt > 0 })
}

// firstValid returns the block's first valid worker in the order of its strategy.
func (d *Dispatcher) firstValid(b *block, r *request) *worker {
	n := len(b.members)
	if n == 0 {
		return nil
	}
	start, step, reach, atLeast := 0, 1, n, 1
	var best *worker
	switch {
	case b.ByKey:
		start, _ = slices.BinarySearch(b.ring, hash(r.Key, 0))
		reach = d.keyWorkers(r)
		// With a larger choice, all dispatchers could pick the same worker and overload it.
		atLeast = min(reach, 1+(d.settings.DispatcherCount-1)/int(d.size(b.members[0])))
	case b.Strategy == Platform:
		h := hash(cmp.Or(r.Key, uint64(r.Class)+1), 0)
		start, step = int(h%uint64(n)), coprime(int(h>>32%uint64(n)), n)
	case b.Strategy == Random:
		return d.random(b, func(w *worker) bool { return d.valid(r, w, b.Invalidate) })
	}
	for i := 0; i < n && reach > 0; i++ {
		w := b.members[(start+i*step)%n]
		if d.valid(r, w, b.Invalidate) && (best == nil || w.rank < best.rank) {
			best = w
		}
		if atLeast--; atLeast <= 0 && best != nil {
			break
		}
		if 2*w.failures <= maxFailures && !w.zone.avoided { // a full worker counts, a suspect one does not
			reach--
		}
	}
	return best
}

// keyWorkers returns how many workers along the ring a request may go to: one, and more the more slots its
// key's jobs fill. A worker that lacks the key's data must fetch it, which takes longer than a wait and evicts
// data that others need. The request itself does not count for its key's share: with many dispatchers, each
// would take all its keys for hot ones.
func (d *Dispatcher) keyWorkers(r *request) int {
	share := aboveNoise(d.keyDemand[r.Key].at(d.now, d.settings.Rules.Cold)-1) / max(1, d.keyedDemand.at(d.now, d.settings.Rules.Cold))
	further := 0
	if d.heldCount() <= len(d.fleet)/fewHeldDivisor { // other workers have room for the extra fetch
		further = int(widenPerAim * float64(d.now-r.arrived) / float64(max(r.class.Aim, 1)))
	}
	rate := cmp.Or(d.agreedRate(), d.keyedDemand.Count/d.settings.Rules.Cold.Seconds()*float64(d.settings.DispatcherCount))
	return 1 + further + int(share*rate*cmp.Or(d.meanTypicalRun(0), r.class.mean())/slotsPerKeyWorker)
}

// lastResortWorker returns a random healthy worker, even a full one, for a request with the followup Default that is
// held past its aim. It applies only while no other request waits and free slots are not reported: then the ceilings
// may be wrong, otherwise the request would only lengthen a queue.
func (d *Dispatcher) lastResortWorker(r *request) *worker {
	if d.settings.ReportsFreeSlots && !d.settings.ReportsStart || r.class.followup == Fail || len(r.attempts) > 0 ||
		d.heldCount() > 1 || d.waitingJobs > 0 {
		return nil
	}
	return d.random(r.class.defaultBlock, func(w *worker) bool {
		named := len(r.Candidates) == 0 || slices.Contains(r.Candidates, w.ID)
		return named && w.failures == 0 && !d.forbidden(r, w)
	})
}

// valid reports whether a worker is reachable and valid for a request by a block's invalidate rule.
func (d *Dispatcher) valid(r *request, w *worker, inv Invalidate) bool {
	refused := (d.now < w.classBars[r.Class].Until || r.class.Effect == Unsafe && d.now < w.unsafeBarredUntil) && !d.outage()
	if inv.Rule != CapacityUsed && !r.Reserved && d.noRoom(w) || !w.ready() || refused || w.zone.avoided || d.openOnly && w.conns <= w.connsInUse {
		return false
	}
	// An untrusted worker gets one trial at a time, a repeatable request's first attempt: where a whole zone is
	// unreachable, trials must not use up a request's attempts.
	awaitsProbes := d.unproven(w) && w.probes < firstJobProbes
	trial := d.now >= w.retryAt && !awaitsProbes && (len(r.attempts) == 0 && r.class.Effect != Unsafe || d.outage())
	if w.failures > 0 && !trial {
		return false
	}
	// Neither at a worker that has the request or ended it in an error, nor in a zone where its connection broke
	// without a sign of life since.
	if d.forbidden(r, w) || r.anyAttempt(func(a *attempt) bool {
		return a.worker == w && (!a.ended || a.errored) || a.brokeAt > w.zone.lastAlive && a.worker.zone == w.zone && len(d.zones) > 1
	}) {
		return false
	}
	if w.failures > 0 || r.Reserved {
		return true // a trial, whatever slots count as abandoned, or slots are reserved for the request
	}
	used, mem, size := d.load(w)
	switch inv.Rule {
	case CapacityUsed:
		return used*100 < inv.Threshold*size
	case MaxConcurrentInvocations:
		ceiling := math.Floor(*d.ceiling(w))
		if r.late && d.allShareLoad() {
			ceiling-- // a late job leaves room for one in time
		} else if r.overShare {
			return used+r.Slots <= ceiling/2 // a request over its tenant's share leaves more room
		}
		return w.ownSlots+w.abandoned+r.Slots <= inv.Threshold && used+r.Slots <= max(r.Slots, ceiling)
	}
	return used+r.Slots <= max(size, r.Slots) && (!d.settings.ReportsFreeSlots || mem+r.Memory <= max(size, r.Memory))
}

// unproven reports whether a worker may not exist, as from a list of another deployment: it has never given a sign of
// life, and most first jobs at such workers failed. It is probed, and gets trials only after some probes went
// unanswered.
func (d *Dispatcher) unproven(w *worker) bool {
	return w.lastAlive == 0 && d.sawLife && d.settings.Limits.Probes && d.firstJobs.Share > firstJobFailShare
}

// probeEnded records the result of a probe. Success proves an unproven worker; for others a probe decides
// nothing, since their jobs say more.
func (d *Dispatcher) probeEnded(e Probed) {
	if w := d.workers[e.Worker]; w != nil {
		d.recordReport(w, e.Report)
		if e.Outcome == OK && w.lastAlive == 0 {
			d.setFailures(w, 0)
			w.lastAlive, d.mayHaveRoom = d.now, true
		}
	}
}

// drawAvoidedZones draws the zones that are avoided in one pick: a zone whose share of bad attempts exceeds that of
// the best zone by more than zoneMargin and four times Prices.CrossZone, the more likely the larger the excess.
func (d *Dispatcher) drawAvoidedZones() {
	best := math.Inf(1)
	for _, z := range d.zones {
		best = min(best, z.poorAttempts.Share)
	}
	for _, z := range d.zones {
		excess := z.poorAttempts.Share - best - max(zoneMargin, 4*d.settings.Prices.CrossZone)
		z.avoided = excess > 0 && d.rng.Float64() < 2*excess
	}
}

// outage reports whether no worker is trusted; the least bad ones are then used.
func (d *Dispatcher) outage() bool { return d.trustedWorkers <= 0 }

// load returns a worker's slots and memory in use, as far as known here, and its size for this dispatcher.
func (d *Dispatcher) load(w *worker) (used, mem, size float64) {
	used, mem = d.inUse(w)
	size = cmp.Or(w.learnedSize, d.kind(w.Kind).Slots) // until learned, the size of its kind
	if size == 0 || d.settings.ReportsStart {
		return used, mem, math.Floor(*d.ceiling(w))
	}
	return used, mem, max(1, math.Floor(size*d.warmth(w)))
}

// hasUnseenLoad reports whether jobs of others may fill a worker unseen: starts are not reported, and not all
// dispatchers share their load.
func (d *Dispatcher) hasUnseenLoad() bool { return !d.settings.ReportsStart && d.peerGroups() > 1 }

// forbidden reports whether the rules on sending forbid an attempt. Every attempt is checked by it.
func (d *Dispatcher) forbidden(r *request, w *worker) bool {
	if d.sendForbidden(r) || !w.ready() || d.blockedByReservations(r, w) { // no new job at a draining, gone or cordoned worker
		return true
	}
	if !d.repeatable(r) || r.anyAttempt(func(a *attempt) bool { return !a.neverRan && outsideDedupGroup(r.class, a.worker, w) }) {
		return true
	}
	// A cold worker needs a turn or a lease; nextColdSend is a cheap first check, since most turns are not due.
	return d.warmth(w) < 1 && (d.now < w.nextColdSend || !d.coldTurn(w, r)) && d.findLease(r, w) == 0
}

// coldBudgetAt returns when this dispatcher's share of a cold worker's budget, counted from a time on, reaches
// the work, in slot seconds. It grows in proportion to the worker's size and warmth.
func (d *Dispatcher) coldBudgetAt(w *worker, from time.Duration, work float64) time.Duration {
	rate, coldest := d.coldBudget(w)*d.coldTurnShare(), d.settings.Rules.ColdFrom
	growth, warmth := (1-coldest)/d.settings.Rules.Cold.Seconds(), d.settings.Rules.warmth(from-w.Started)
	return from + max(d.sweepInterval(), time.Duration((math.Sqrt(warmth*warmth+2*growth*work/rate)-warmth)/growth*float64(time.Second)))
}

// coldTurn reports whether a cold worker may have a job from this dispatcher. Dispatchers take turns, counted
// from the start time in the list, so that they don't all send when they learn of the worker. Unused turns
// expire, so that they don't add up to a burst. A job longer than the work of one turn waits until two of its
// size fit the budget, and then is let in with a proportionally lower probability: with many dispatchers, a
// later turn of the same one would come too late to balance it.
func (d *Dispatcher) coldTurn(w *worker, r *request) bool {
	turn, n := d.coldTurns()
	halfWarmUp, window := d.settings.Rules.Cold/2, d.settings.Rules.FallWindow // each turn comes within half of the time to warm up
	halfWindow := d.coldBudget(w) * d.warmth(w) * window.Seconds() / 2
	used := min(1, float64(d.arrivalsSince(d.now-2*window)-1)) // share of the turns that is used: with few requests, most expire
	unit := min(d.longestMeanRun(), max(d.pace().Seconds(), used*d.meanRunUpTo(halfWindow),
		d.coldBudget(w)*d.coldTurnShare()*halfWarmUp.Seconds()*d.settings.Rules.warmth(halfWarmUp/2)))
	if w.nextColdSend == 0 {
		offset := float64((hash(uint64(w.ID), uint64(w.Started))+uint64(turn))%uint64(n)) + 0.5
		w.nextColdSend = d.coldBudgetAt(w, w.Started, unit*offset/float64(n))
		if w.firstJobDue {
			w.nextColdSend = min(w.nextColdSend, w.Started+time.Duration(float64(uncordonedWithin)*offset/float64(n)))
		}
	}
	for d.now-w.nextColdSend > window && !w.firstJobDue {
		w.nextColdSend = d.coldBudgetAt(w, w.nextColdSend, unit)
	}
	work, draw := r.Slots*r.class.cautiousMean(), uniform(hash(uint64(w.ID), uint64(w.nextColdSend)), uint64(turn))
	fits := work <= max(halfWindow, coldJobStretch*unit) && (w.firstJobDue || work*used*draw <= coldJobStretch*unit)
	return d.now >= w.nextColdSend && turn >= 0 && fits
}

// send starts an attempt unless the rules forbid it.
func (d *Dispatcher) send(r *request, w *worker) bool {
	if d.forbidden(r, w) {
		return false
	}
	a := &attempt{worker: w, sentAt: d.now, lastReport: d.now, gated: r.Gated}
	newConn := r.class.Effect == Unsafe && d.now < d.silentUntil // on a connection that has gone silent it would be lost
	d.predictConn(r, a, newConn)
	lease := d.takeLease(r, w)
	d.emit(Send{
		Request: r.ID, Worker: w.ID, MaxIdle: d.idleLimit(r.class.Effect), NewConn: newConn, SettledConn: r.class.Effect != Safe,
		Lease: lease, SendWithin: d.dedupTimeLeft(r),
	})
	if a.extra = r.sentAttempts() > 0; a.extra {
		d.extraAttempts = append(d.extraAttempts, d.now)
	}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	w.ownSlots, w.ownMemory = w.ownSlots+r.Slots, w.ownMemory+r.Memory
	d.loadChanged, w.firstJobDue = true, false
	if w.failures > 0 {
		w.retryAt = d.now + d.backoff(d.pace(), w.failures)
	}
	if d.warmth(w) < 1 && lease == 0 {
		w.nextColdSend = d.coldBudgetAt(w, max(w.nextColdSend, d.now-d.settings.Rules.FallWindow), r.Slots*r.class.cautiousMean())
	}
	return true
}

// predictConn predicts which connection an attempt will use. Idle connections may be dropped unnoticed, so
// those idle for a time at which sends fail are closed first; now and then a repeatable job tries whether they
// still fail.
func (d *Dispatcher) predictConn(r *request, a *attempt, newConn bool) {
	w := a.worker
	a.connIdle = d.now - w.connFreedAt
	if idle := w.conns > w.connsInUse; idle && d.settings.Limits.ConnIdle > 0 && a.connIdle >= d.settings.Limits.ConnIdle {
		w.conns = w.connsInUse
	} else if idle && d.idleSendsFail(a.connIdle, r.class.Effect) && (r.class.Effect == Unsafe || d.rng.IntN(idleRecheck) > 0) {
		d.emit(CloseIdle{Worker: w.ID})
		w.conns = w.connsInUse
	}
	w.connsInUse++
	if a.newConn = newConn || w.connsInUse > w.conns; a.newConn {
		w.conns, a.connIdle = max(w.conns, w.connsInUse), 0
	}
}

// idleLimit returns the longest idle time of a connection that is still used. Some networks drop idle
// connections unnoticed, long before the configured idle time: a broken connection halves the limit for all, it
// grows back over time, and repeatable jobs try a longer idle time first.
func (d *Dispatcher) idleLimit(effect Effect) time.Duration {
	grown := float64(d.maxIdle) * math.Exp2((d.now-d.maxIdleSetAt).Seconds()/(idleDoubleWindows*max(d.settings.Rules.FallWindow, 1).Seconds()))
	if effect == Unsafe {
		grown /= 2
	}
	return max(1, time.Duration(min(grown, float64(d.settings.Limits.ConnIdle*3/5))))
}

// idleConnBroke lowers the idle limit after a kept connection broke under a request. That is no failure of the
// worker.
func (d *Dispatcher) idleConnBroke(idle time.Duration) {
	d.maxIdle, d.maxIdleSetAt = min(d.idleLimit(Safe), idle)/2, d.now
}

// idleSendsFail reports whether sends on connections idle for this long, or less, fail more often than on
// recently used ones; other faults occur at any idle time. For an unsafe job an idle time without samples
// counts as failing.
func (d *Dispatcher) idleSendsFail(idle time.Duration, effect Effect) bool {
	k, recent, limit := d.idleBucket(idle), d.idleFailures[0].Share, 0.5
	if effect == Unsafe {
		limit = unsafeFailShare
	}
	return k > 0 && effect == Unsafe && d.idleFailures[k].Count == 0 || slices.ContainsFunc(d.idleFailures[1:k+1],
		func(t tally) bool { return t.Share > recent+(1-recent)*limit })
}

// answerFinal gives a request its only final answer: a refusal where a retry does no harm, else a failure.
func (d *Dispatcher) answerFinal(r *request) {
	if r.done || r.streaming {
		return
	}
	if !r.anyAttempt(func(a *attempt) bool { // a retry does no harm
		repeatable := r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Scope == ScopeAll && d.now-a.sentAt < r.class.DedupWindow
		return !a.neverRan && !repeatable
	}) {
		retryAfter := time.Duration(0)
		if d.settings.Limits.RetryAfter && (r.errors > 1 || len(r.attempts) == 0) { // otherwise a retry at once may succeed
			retryAfter = min(d.settings.Limits.MaxRetryAfter, d.backoff(r.class.Aim, 1))
		}
		d.emit(Refuse{Request: r.ID, RetryAfter: retryAfter})
	} else {
		d.emit(FailRequest{Request: r.ID})
	}
	d.closeRequest(r)
}

// closeRequest ends a request and cancels its outstanding attempts.
func (d *Dispatcher) closeRequest(r *request) {
	r.done, r.held = true, false
	for i, a := range r.attempts {
		if !a.ended && d.settings.Limits.Cancel && !r.streaming {
			d.emit(Cancel{Request: r.ID, Attempt: i})
		}
	}
	if r.outstanding == 0 {
		delete(d.requests, r.ID)
	}
}

// startGrace returns how long an attempt may take to start before it counts as queued.
func (d *Dispatcher) startGrace(r *request, a *attempt) time.Duration {
	grace := d.settings.Granularity + time.Duration(promptAimShare*float64(r.class.Aim))
	if a != nil {
		if grace += a.worker.minStartDelay; a.newConn {
			grace += d.connSetup()
		}
	}
	return grace
}

// attemptStarted records that an attempt runs. Its start delay is the best sign of whether it was queued.
func (d *Dispatcher) attemptStarted(r *request, a *attempt) {
	if a.started {
		return
	}
	a.started, a.lastReport, a.startedAt = true, d.now, d.now
	w := a.worker
	w.runningSlots += r.Slots
	if !d.settings.ReportsStart {
		return
	}
	// Following a stall of this process the delay is only an upper bound and no sign of queueing.
	delay := d.now - a.sentAt
	d.countForZone(a, delay-d.batchDelay > r.class.Aim/2)
	d.adjustAdmission(d.now-r.attempts[0].sentAt-d.batchDelay > r.class.Aim)
	prompt := delay-d.batchDelay <= d.startGrace(r, a)
	if d.settings.Rules.warmth(a.sentAt-w.Started) >= 1 { // a late start while cold says nothing about a warm worker
		w.lateStarts.add(!prompt, lateStartSamples)
	}
	d.recordStart(a, delay-d.batchDelay)
	if prompt {
		if !a.newConn && (w.minStartDelay == 0 || delay < w.minStartDelay) {
			w.minStartDelay = delay
		}
		if used, mem, size := d.load(w); used+r.Slots > size || d.settings.ReportsFreeSlots && mem+r.Memory > size { // a further one would not fit
			*d.ceiling(w) += ceilingStep
		}
	} else if !a.queued || d.allShareLoad() { // otherwise lowered when it was taken as queued
		d.lowerCeiling(w)
	}
	d.kind(w.Kind).Slots = max(d.kind(w.Kind).Slots, w.runningSlots)
	d.recordLife(w)
}

// ceiling returns the limit on a worker's used slots. Where all dispatchers share their load, workers of a kind
// have one limit, on the jobs of all; otherwise each worker has its own, on the jobs of this dispatcher.
func (d *Dispatcher) ceiling(w *worker) *float64 {
	if d.allShareLoad() {
		return &d.kind(w.Kind).Ceiling
	}
	return &w.ceiling
}

// allShareLoad reports whether all dispatchers report their load to each other.
func (d *Dispatcher) allShareLoad() bool { return d.sharesLoad() && d.peerGroups() == 1 }

// lowerCeiling lowers a worker's ceiling to the slots that it runs for this dispatcher, or below one slot if it
// runs none. Where all dispatchers share their load, it lowers the kind's ceiling by one step, at most to the slots
// that a worker of the kind has run.
func (d *Dispatcher) lowerCeiling(w *worker) {
	if d.allShareLoad() {
		k := d.kind(w.Kind)
		k.Ceiling = max(initialCeiling, k.Slots, k.Ceiling-ceilingStep)
	} else if w.runningSlots > 0 {
		w.ceiling = min(w.ceiling, w.runningSlots)
	} else {
		w.ceiling = max(minCeiling, min(w.ceiling, 1)/2)
	}
}

// recordFailure counts a failure of a worker: silence, a refusal, a failed or reset connection, or queueing.
func (d *Dispatcher) recordFailure(w *worker) {
	d.lowerCeiling(w)
	if d.now < w.retryAt {
		return // one failure for each backoff
	}
	d.setFailures(w, min(w.failures+1, maxFailures))
	w.retryAt = d.now + d.backoff(d.pace(), w.failures)
}

// setFailures sets a worker's consecutive failures and keeps the count of trusted workers.
func (d *Dispatcher) setFailures(w *worker, failures int) {
	if listed := d.workers[w.ID] == w && w.ready(); listed && (w.failures > 0) != (failures > 0) {
		if d.trustedWorkers++; failures > 0 {
			d.trustedWorkers -= 2
		}
	}
	w.failures = failures
	d.blocksStale = d.blocksStale || w.unlisted
	d.logCondition(&w.suspect, 2*failures > maxFailures, "worker %d suspected", "worker %d readmitted", w.ID)
}

// workerRefused records that a worker refused an attempt as full, which bars the class there for a while. A
// prompt refusal counts against the whole worker, a slow one may concern the class only. This covers
// throttling, quotas and wrong refusals.
func (d *Dispatcher) workerRefused(r *request, a *attempt) {
	d.barClass(a.worker, r.Class, r.class.Aim)
	if d.now-a.sentAt-d.batchDelay <= d.startGrace(r, a) {
		d.adjustAdmission(true)
		d.recordFailure(a.worker)
	}
}

// barClass bars a class from a worker for a time in proportion to its aim, each time for longer.
func (d *Dispatcher) barClass(w *worker, class int, aim time.Duration) {
	bar := &w.classBars[class]
	bar.Doublings = min(bar.Doublings+1, maxFailures)
	bar.Until = d.now + d.backoff(aim, bar.Doublings)
}

// recordJobEnd records whether a job ended in an error. A class is barred from a worker for a while where its
// errors come more often than at the others; requests that fail everywhere bar nothing, and other classes are
// not affected. Once an error puts the worker's share of errors above the margin, unsafe jobs are barred from it
// until that share has dropped, or for the longest deadline after the last such error.
func (d *Dispatcher) recordJobEnd(w *worker, class int, failed bool) {
	w.classErrors[class].add(failed, errorSamples)
	w.errors.add(failed, errorSamples)
	d.classes[class].errors.add(failed, 8*errorSamples)
	d.errors.add(failed, 8*errorSamples)
	if failed && w.classErrors[class].Share > d.classes[class].errors.Share+errorMargin {
		d.barClass(w, class, d.classes[class].Aim)
	}
	if w.errors.Share <= d.errors.Share+unsafeErrorMargin {
		w.unsafeBarredUntil = 0
	} else if failed {
		w.unsafeBarredUntil = d.now + d.longestDeadline()
	}
}

// recordLife records a worker's sign of life: a reported start, progress or a success.
func (d *Dispatcher) recordLife(w *worker) {
	d.loadChanged = d.loadChanged || w.abandoned > 0
	w.abandoned, w.lastAlive, w.zone.lastAlive, d.sawLife = 0, d.now, d.now, true
	w.retryAt, d.mayHaveRoom = d.now, true
	if w.failures > 0 {
		d.setFailures(w, w.failures/2)
	}
}

// attemptEnded processes an attempt's outcome.
func (d *Dispatcher) attemptEnded(e AttemptEnded) {
	r, a := d.openAttempt(e.Request, e.Attempt)
	if a == nil {
		return
	}
	w := a.worker
	if w.lastAlive == 0 && e.Outcome != NotSent && e.Outcome != Cancelled {
		d.firstJobs.add(e.Outcome != OK, firstJobSamples)
	}
	a.ended, a.neverRan, a.errored = true, e.Outcome.NeverRan(), e.Outcome == Errored
	d.recordReport(w, e.Report) // the report still counts this attempt
	r.outstanding--
	w.ownSlots, w.ownMemory = w.ownSlots-r.Slots, w.ownMemory-r.Memory
	d.mayHaveRoom, d.loadChanged = d.mayHaveRoom || e.Outcome != NotSent || r.done, true
	if a.started {
		w.runningSlots -= r.Slots
	}
	idleBroke := e.ConnIdle > 0 && e.Outcome == Reset && !a.started && a.lastReport == a.sentAt
	if a.connIdle = cmp.Or(e.ConnIdle, a.connIdle); idleBroke {
		d.idleConnBroke(e.ConnIdle)
	}
	d.recordConnEnd(r, a, e.Outcome)
	if e.Outcome != Cancelled && e.Outcome != NotSent {
		d.countForZone(a, e.Outcome != OK && !a.started && !idleBroke)
	}
	switch e.Outcome {
	case OK:
		w.classBars[r.Class].Doublings /= 2
		d.recordJobEnd(w, r.Class, false)
		d.learnRun(r, a)
		d.recordLife(w)
	case TimedOut, Cancelled:
		// At an untrusted worker its slots stay in use, since an unresponsive worker must not gain room by time-outs.
		// The next sign of life frees them; at a trusted worker no trial would follow to bring one.
		if e.Outcome == TimedOut {
			d.recordFailure(w)
		}
		if w.failures > 0 {
			w.abandoned += r.Slots
		}
	case Full:
		d.workerRefused(r, a)
	case Errored:
		r.errors++
		d.recordJobEnd(w, r.Class, true)
	case ConnectFailed, Reset:
		if !idleBroke {
			a.brokeAt = d.now
			d.recordFailure(w)
		}
	case NotSent: // never sent: it does not count as an attempt, and the next one waits for longer
		if i := slices.Index(d.extraAttempts, a.sentAt); i >= 0 && a.extra {
			d.extraAttempts = slices.Delete(d.extraAttempts, i, i+1)
		}
		r.unsent++
		r.retryAt = d.now + d.sweepInterval()*time.Duration(min(maxPauseSteps, 1<<min(r.unsent-1, maxFailures)))
	}
	switch {
	case r.done:
		if r.outstanding == 0 {
			delete(d.requests, r.ID)
		}
	case e.RequestEnded:
		r.streaming = false
		d.closeRequest(r)
	case r.outstanding == 0:
		d.retryOrAnswer(r)
	}
}

// learnRun learns from the run time of a successful attempt.
func (d *Dispatcher) learnRun(r *request, a *attempt) {
	from := a.sentAt
	if a.started && d.settings.ReportsStart {
		from = a.startedAt
	}
	run := max((d.now - from).Seconds(), 1e-4)
	c, w := r.class, a.worker
	d.learnedSinceSort++
	c.addRun(run)
	if !d.settings.ReportsStart { // the end stands in for the start
		if d.adjustAdmission(false); run > c.Aim.Seconds()+c.Stretch*c.typical().Seconds() {
			*d.ceiling(w) = max(initialCeiling, *d.ceiling(w)-ceilingStep)
		} else if w.ownSlots+2*r.Slots > math.Floor(*d.ceiling(w)) {
			*d.ceiling(w) += endCeilingStep
		}
	}
	d.addDeviation(c, w, run)
}

// sweep handles what depends on time alone.
func (d *Dispatcher) sweep() {
	if d.subscribeAt > 0 && d.now >= d.subscribeAt {
		d.subscribeAt, d.subscribedAt = 0, d.now
		d.emit(Subscribe{})
	}
	if d.settings.Limits.PeerMessages && d.now-d.peersCheckedAt >= d.peerInterval() {
		d.peersCheckedAt = d.now
		for _, p := range d.peers {
			if d.now-p.lastMessage >= 3*d.peerInterval() {
				d.forgetPeer(p)
			}
		}
	}
	n, waiting, running, congested := 0, 0, 0, d.settings.ReportsStart && d.settings.Limits.Cancel && d.waitingJobs > d.runningJobs
	for _, r := range d.liveRequests {
		if r.done {
			continue
		}
		for _, a := range r.attempts {
			if !a.ended && a.queued && !a.started {
				waiting++
			} else if !a.ended && a.started {
				running++
			}
		}
		d.liveRequests[n] = r
		n++
		due := d.now+max(2*d.sweepInterval(), min(d.maxBatchDelay, r.Budget/4), r.Budget/answerMarginDivisor) >= r.deadline // before the deadline
		if !r.streaming && (due || r.held && r.outstanding == 0 && len(r.attempts) > 0 && d.exhausted(r)) {
			d.answerFinal(r)
			continue
		}
		d.checkAttempts(r)
		queued := congested && !r.anyAttempt(func(a *attempt) bool { return !a.ended && (a.started || !a.queued) })
		if !r.held && queued && !r.UntilDeadline && d.now >= r.aimEnd+r.lateStartAllowance() && r.class.LateWorth == 0 {
			// Queued at a worker and too late to be worth anything: without this, queues would produce only late
			// answers. A job that cannot be cancelled would run anyway, and once more for the client's retry.
			d.answerFinal(r)
			continue
		}
		if r.held && d.now >= r.aimEnd && !r.late { // once for each request, not at each sweep
			r.held, r.late = false, true
			switch w := d.lastResortWorker(r); {
			case w != nil && d.send(r, w):
			case r.class.LateWorth > 0 || r.UntilDeadline:
				d.enqueue(r, false)
			default:
				d.answerFinal(r)
			}
		}
	}
	clear(d.liveRequests[n:])
	d.liveRequests, d.waitingJobs, d.runningJobs = d.liveRequests[:n], waiting, running
	d.logCondition(&d.jobsQueue, waiting > running, "more jobs are queued than running at workers: cancelling late ones",
		"no more jobs queued than running at workers")
	d.logCondition(&d.noneTrusted, len(d.fleet) > 0 && d.outage(), "no worker is trusted: trying those with the fewest failures",
		"at least one worker is trusted again")
}

// checkAttempts finds attempts that are queued or stalled, and moves those that may be moved.
func (d *Dispatcher) checkAttempts(r *request) {
	for i, a := range r.attempts {
		if a.ended || a.gated || r.streaming {
			continue
		}
		// Confirmations come at once or never. Without one the connection has gone silent, which says nothing about
		// the worker. A repeatable request is sent elsewhere.
		unconfirmed := d.confirmsAttempts && !a.accepted && !a.started && d.now-a.sentAt-d.batchDelay > r.confirmWithin()+d.connSetup()
		if unconfirmed && !a.newConn && a.worker.lastAlive > a.sentAt {
			d.silentUntil = d.now + d.settings.Limits.ConnIdle // other connections kept open may be silent too
		}
		if unconfirmed && !a.connLost && r.class.Effect == Safe && d.settings.Limits.Cancel && !d.exhausted(r) {
			a.connLost = true
			d.emit(Cancel{Request: r.ID, Attempt: i})
			continue
		}
		unresponsive := d.now-a.sentAt-d.batchDelay > max(r.class.Aim, unresponsiveRuns*r.class.typical()+unresponsiveStarts*d.meanStartDelay()) &&
			a.worker.lastAlive < a.sentAt
		if d.settings.ReportsStart && !a.started && d.now-a.sentAt > d.startGrace(r, a) {
			first := !a.queued
			if a.queued = true; first {
				d.recordConnSetup(a, 2*(d.now-a.sentAt)) // a lower bound, since it has not started yet
				// For a keyed job the data that its key names would have to be fetched elsewhere. With more dispatchers than workers it may move, since
				// the queue then consists of other dispatchers' jobs.
				a.stays = !d.mayMove(r) || r.Key > 0 && (r.class.Effect != Safe || d.settings.DispatcherCount <= len(d.fleet))
			}
			if lower := first && !d.allShareLoad(); unresponsive || lower && !a.stays {
				d.recordFailure(a.worker)
			} else if lower {
				d.lowerCeiling(a.worker) // at once: a stalled worker would get further jobs until one has run
			}
			if a.stays && !unresponsive {
				continue // queueing is no failure
			}
			if w := d.pick(r); w != nil && d.settings.Limits.Cancel && d.send(r, w) {
				d.emit(Cancel{Request: r.ID, Attempt: i})
			}
			return
		}
		stalled := d.settings.ProgressInterval > 0 && (a.started || !d.settings.ReportsStart) &&
			float64(d.now-a.lastReport) > progressSlackIntervals*float64(d.settings.ProgressInterval)
		// The job may be queued behind others that are not seen here: a copy that starts at its aim still ends in time.
		unreported := d.hasUnseenLoad() && a.lastReport == a.sentAt && r.class.Effect == Safe && d.now-a.sentAt > r.class.Aim
		if unresponsive && !a.queued && !d.settings.ReportsStart && a.worker.lastAlive == 0 {
			d.firstJobs.add(true, firstJobSamples)
		}
		a.queued = a.queued || unresponsive
		if stalled || unresponsive {
			d.recordFailure(a.worker)
		}
		if (stalled || unreported || unresponsive) && r.outstanding == 1 {
			if w := d.pick(r); w != nil {
				d.send(r, w)
			}
			return
		}
	}
}

// mayMove reports whether one more queued job may be moved. The old worker may not drop the cancelled job; then
// both run and the queues grow. So few are moved of those that are of use when late or are kept until their
// deadline; others would otherwise be of no use at all.
func (d *Dispatcher) mayMove(r *request) bool {
	return d.withinBudget() &&
		(r.class.LateWorth == 0 && !r.UntilDeadline || float64(len(d.extraAttempts)+1) <= maxMovedShare*float64(len(d.arrivals)))
}

// sharesLoad reports whether load is reported to peers. Where starts are reported, the load of only some
// dispatchers would say less than the ceilings do, and would cost more messages than there are jobs.
func (d *Dispatcher) sharesLoad() bool {
	return d.settings.Limits.PeerMessages && d.settings.DispatcherCount > 1 && (!d.settings.ReportsStart || d.peerGroups() == 1)
}

// sendLoad sends the peers this dispatcher's load at each worker: the changes, and now and then all of it. With
// more than a few dispatchers, only those of its group get it, which prefer the same workers.
func (d *Dispatcher) sendLoad() {
	if !d.sharesLoad() {
		return
	}
	whole := d.fullLoadSentAt == 0 || d.now-d.fullLoadSentAt >= d.peerInterval()
	if !whole && !d.loadChanged {
		return
	}
	body := d.loadMessage(whole)
	if !whole && len(body) == 1 {
		return
	}
	if d.settings.DispatcherCount <= peerGroupSize {
		d.emit(SendToPeers{To: Any, Body: body})
		return
	}
	for n := d.peerGroup(); n < d.settings.DispatcherCount; n += d.peerGroups() {
		if n != d.settings.DispatcherIndex {
			d.emit(SendToPeers{To: n, Body: body})
		}
	}
}
