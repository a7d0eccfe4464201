// The policy: the decisions of the module are in this file and look.go. Its settings, events and actions are in api.go;
// what it remembers is in state.go, and what it learns from events in estimate.go.

package decide

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Dimensionless tuning; every time below is derived from the settings or learned.
const (
	initialCeiling         = 1.0     // learnedSize a worker gets before it has shown anything
	minCeiling             = 1.0 / 4 // a ceiling below one slot only has more to earn back
	ceilingStep            = 0.5     // ceiling gained by a prompt start at the ceiling
	endCeilingStep         = 0.05    // by an end in time, where starts are not told: a run later, and less sure
	promptAimShare         = 0.1     // a start later than this share of the aim came out of a queue
	progressSlackIntervals = 1.5     // progress intervals without a note that mean standing still
	maxFailures            = 6       // doublings of the readmission backoff
	coldBudgetShare        = 0.5     // coldTurnShare of the cold budget that is used at all
	coldJobStretch         = 1.25    // reservableSlots what a dispatcher's turn there is for, that a job may last
	speedSamples           = 64.0    // jobs that a worker's speed is judged on
	speedPriorJobs         = 8.0     // jobs of its kind that a worker's own speed must outweigh at most,
	sizePriorJobs          = 2.0     // jobs that must be outweighed before a worker's size is reckoned from their runs,
	unknownKindSlowness    = 0.5     // or a kind, one of several, to take so much longer in the log than the mean
	speedPriorPerWorker    = 2.5     // and times as many as there are workers to a dispatcher: many see few jobs of each
	extraPerRequest        = 0.5     // further attempts for a request, where no rule says how many,
	extraBase              = 5.0     // and so many on top, in the time that a client waits
	resortDivisor          = 16      // workers for which one job may have the fleet sorted; four times as many an aim
	scansPerStep           = 256     // workers looked at for held requests in each step between sweeps, while nothing happens
	lateStartSamples       = 8.0     // startDelays at a worker that its share of late ones is judged on
	admitFactor            = 0.95    // reservableSlots the share let out, for a request that was not started soon
	admitStep              = 0.04    // regained by one that was
	highWorthFactor        = 1.2     // times the mean class's, above which a request does not wait for a token
	maxTokens              = 4.0     // saved up, so that a seldom used dispatcher need not wait for the next
	minAdmitted            = 0.25    // always let out
	unresponsiveRuns       = 4       // typical runs without a sign of life from its worker that a job may take,
	unresponsiveStarts     = 2       // active top of so many times what attempts lately took to start: a queue is no hang
	firstJobSamples        = 4.0     // first jobs at workers not known that those to come are judged by
	firstJobProbes         = 4       // probes that such a one may leave unanswered before it gets a trial
	firstJobFailShare      = 0.5     // and the share that came to nothing from which on they are in doubt
	tenantShareSlack       = 4.0 / 3 // reservableSlots the usual tenant's use of its share, that another may have
	errorSamples           = 8.0     // jobs at a worker that its share of errors is judged on,
	errorMargin            = 0.3     // and by how much it must be above that of all,
	unsafeErrorMargin      = 0.1     // or for jobs that must not run twice
	zoneSamples            = 16.0    // attempts over which a zone is judged
	zoneMargin             = 0.1     // by which it must do worse than the best
	answerMarginParts      = 16      // coldTurnShare of its budget by which a request is answered early: a stall must not miss it
	peerGroupSize          = 32      // dispatchers that tell each other of their load
	unsafeFailShare        = 0.3     // reservableSlots the failures at an idle age that bar it for unsafe jobs
	idleAgeSamples         = 6.0     // sends at an idle age that it is judged on
	fewHeldDivisor         = 3       // workers to a request held, up to which keyed ones may go further
	widenPerAim            = 4.0     // by so many keepers for each aim that they have waited
	longRunFactor          = 1.5     // reservableSlots the usual job's, from which on a job goes anywhere
	slotsPerKeyWorker      = 2.0     // reservableSlots each of its keepers that the jobs of a key fill
	confirmAimParts        = 2       // coldTurnShare of its aim for which a job may lack its worker's confirmation,
	confirmDeadlineFactor  = 5       // times as long where it is waited for until its deadline
	idleDoubleWindows      = 4       // windows of the rule on cold workers in which trust in idle connections doubles
	idleRecheck            = 8       // one in so many repeatable jobs still tries an old connection
	maxMovedShare          = 0.01    // reservableSlots the requests, that are moved from where they queue: they may run twice
	ringPointsPerWorker    = 8       // places of a worker on the ring of keys
	sweepSteps             = 4       // granularity steps between sweeps
	minSweepInterval       = 5 * time.Millisecond

	uncordonedWithin = 4 * time.Second // a worker put back by hand has had a turn: people watch for it
	tenantWindow     = 4 * time.Second // overShare which a tenant's requests are counted; a key's over the time to warm up
)

// defaultPolicies makes the policies that are not given: for requests with a key the workers that keep what it
// needs, those of the own zone before all, then own zone, then the others, each best_first, ending in the
// default tag. A keeper in each zone costs one more fetch of a key, crossing to the only one a price each time.
func defaultPolicies(s Settings) []Policy {
	rule := Invalidate{Rule: MaxConcurrentInvocations, Threshold: math.MaxInt32}
	if s.ReportsFree {
		rule = Invalidate{Rule: Overload}
	}
	var ps []Policy
	for _, c := range s.Classes {
		all := Block{Workers: []Label{{Zone: Any, Kind: c.Kind}}, Strategy: BestFirst, Invalidate: rule}
		own, keyed, near := all, all, all
		own.ByKey, keyed.ByKey = true, true
		own.Workers, near.Workers = []Label{{Zone: s.Zone, Kind: c.Kind}}, []Label{{Zone: s.Zone, Kind: c.Kind}}
		ps = append(ps, Policy{Blocks: []Block{own, keyed, near, all}, Followup: Default})
	}
	return ps
}

// beginBatch begins a batch. One later than its timer follows a stall of this dispatcher itself, and finds all that came since.
func (d *Dispatcher) beginBatch(now time.Duration) {
	d.now, d.batchDelay, d.batch = max(d.now, now), 0, d.batch+1
	if late := d.now - d.timerDue; d.timerSet && late > d.sweepInterval() {
		d.batchDelay, d.maxBatchDelay = late, min(max(late, d.maxBatchDelay), d.settings.Rules.FallWindow)
	}
}

// finishBatch acts on a batch, after all its news: an answer that came with the timer must not be refused.
func (d *Dispatcher) finishBatch() {
	if !d.timerSet {
		d.sweep()
	}
	d.placeHeld()
	d.sendLoad()
	if !d.timerSet && (len(d.liveRequests) > 0 || d.subscribeAt > 0) {
		d.timerSet, d.timerDue = true, d.now+d.sweepInterval()
		d.emit(WakeMe{After: d.sweepInterval()})
	}
}

// setCordon leaves a worker out by hand, whatever the list says, or puts it back. By then it may have been started
// anew: nothing is known of it, it counts as cold, and it is owed a first job so that it is seen to be used.
func (d *Dispatcher) setCordon(id uint32, out bool) {
	w, was := d.workers[id], d.cordons[id]
	if d.cordons[id] = out; !out {
		delete(d.cordons, id)
	}
	if w != nil && was && !out {
		l, listed, unlisted := w.Worker, w.lastListed, w.unlisted
		l.Started, w.State = d.now, Gone // for what is out there
		w = d.addWorker(l)
		w.State, w.lastListed, w.unlisted, w.firstJobDue = l.State, listed, unlisted, true
		d.queueFirstJob(w)
	} else if w != nil {
		w.cordoned = out
	}
	d.recount()
	d.blocksStale, d.mayHaveRoom, d.sortAfter = true, true, 0
}

// firstJobWorker is a worker to be used before others: put back by hand, for one job that can be repeated, or cold.
func (d *Dispatcher) firstJobWorker(r *request) *worker {
	d.firstJobQueue = slices.DeleteFunc(d.firstJobQueue, func(w *worker) bool { return !w.firstJobDue && !d.preferWhileCold(w) || d.workers[w.ID] != w })
	for _, w := range d.firstJobQueue {
		first := r.class.Effect == Safe && w.ownSlots == 0 || !w.firstJobDue && !d.settings.Leasing.On
		if first && len(r.attempts)+len(r.Order) == 0 && (r.class.Kind == Any || r.class.Kind == w.Kind) && d.valid(r, w, Invalidate{Rule: Overload}) {
			return w
		}
	}
	return nil
}

// updateList takes lines of the worker list.
func (d *Dispatcher) updateList(lines []Worker, whole bool) {
	d.logCondition(&d.listLost, false, "", "worker list back")
	d.upsert(lines, whole)
	d.subscribeFailures, d.subscribeAt, d.blocksStale, d.mayHaveRoom = 0, 0, true, true
}

// applyState takes what a line of the list, or its absence from a whole one, says of a worker. Draining stays for its
// process, whatever an older list says. Gone ends it, unless that is advice: then one that has served leaves with its
// first strike. Guards against lists that are old or short of live workers, for one attempt at one truly gone.
func (d *Dispatcher) applyState(w *worker, said WorkerState) {
	w.unlisted = said == Gone
	switch {
	case said == Draining:
		w.State = Draining
	case said == Gone && w.State == Ready && !d.settings.Rules.GoneIsAdvice:
		d.dropWorker(w)
	}
}

// sortFleet sorts the fleet and fills the blocks once the list has changed or a job was learned
// from. Its cost grows with the fleet, so it may not act for each request.
func (d *Dispatcher) sortFleet() {
	if !d.blocksStale && d.learnedSinceSort <= len(d.fleet)/resortDivisor || d.now < d.sortAfter && len(d.fleet) > 0 {
		return
	}
	d.sortAfter, d.learnedSinceSort = d.now+d.settings.Classes[d.settings.First].Aim*time.Duration(1+len(d.fleet)/(4*resortDivisor)), 0
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
	// Weighted rendezvous hashing: each dispatcher (or party) has its own order, heads spread by capacity.
	// With few dispatchers speed decides; of those who chose a worker alike, late starts make some leave.
	sharp := float64(len(d.fleet)) / float64(d.settings.Dispatchers)
	for _, w := range best {
		if d.unproven(w) && d.now >= w.retryAt {
			w.probes++
			d.setFailures(w, maxFailures)
			w.retryAt = d.now + d.backoff(d.settings.Rules.FallWindow, min(w.probes, maxFailures))
			d.emit(Probe{Worker: w.ID})
		}
		own, slow, size := uniform(uint64(w.ID), uint64(d.peerGroup())+1), d.slowness(w), 1.0
		if d.settings.Rated && w.Rating > 0 {
			size = w.Rating
		} else {
			slow *= 1 + 1/sharp
		}
		w.rank = -math.Log(own) * math.Exp(sharp*slow+w.lateStarts.Share) / size
	}
	slices.SortStableFunc(best, func(a, b *worker) int { return cmp.Compare(a.rank, b.rank) })
	d.fillBlocks(best, changed)
	density := func(q int) float64 { // reservableSlots an odd queue, whose requests are late, what that leaves
		c := d.classes[q/2]
		return c.Worth * math.Pow(c.LateWorth, float64(q%2)) / c.mean()
	}
	slices.SortStableFunc(d.queueOrder, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
}

func (d *Dispatcher) arrive(q Request) {
	if d.requests[q.ID] != nil || q.Class < 0 || q.Class >= len(d.classes) {
		return
	}
	c := d.classes[q.Class]
	q.Slots = cmp.Or(max(q.Slots, 0), 1)
	r := &request{Request: q, class: c, arrived: d.now, deadline: d.now + q.Budget}
	// A client's later try has less time left: its aim began with the first. Unmarked, one with
	// most of the time gone is rather a client in a hurry, who would be taken for late at once.
	c.maxBudget = max(c.maxBudget, q.Budget)
	if gone := c.maxBudget - q.Budget; q.Repeat || !d.settings.MarksRetries && gone <= c.maxBudget/2 {
		r.arrived -= gone
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
	d.mayHaveRoom = d.mayHaveRoom || q.Held // what it finds others of its class do not
	d.enqueue(r, false)
	if d.settings.Limits.Open <= 0 || len(d.requests) <= d.settings.Limits.Open {
		return
	}
	for _, q := range slices.Backward(d.queueOrder) { // bounded: of what was never sent, the least worth makes room
		for i, o := range slices.Backward(d.queues[q]) {
			if o.held && o.queue == q && len(o.attempts) == 0 {
				d.queues[q] = slices.Delete(d.queues[q], i, i+1) // or it would wait there behind all that is held
				d.answerFinal(o)
				return
			}
		}
	}
}

// exceedsShare tells whether a request is beyond its tenant's share, by chance as often as the
// tenant's traffic here is. More traffic of all tenants is this dispatcher's own larger part.
func (d *Dispatcher) exceedsShare(tenant int) bool {
	if tenant >= len(d.tenantDemand) || d.settings.Tenants[tenant].Left {
		return false
	}
	d.tenantDemand[tenant].increment(d.now, tenantWindow)
	used := func(i int) float64 {
		part := d.settings.Tenants[i].QuotaPerSecond / float64(d.settings.Dispatchers) * tenantWindow.Seconds()
		return aboveNoise(d.tenantDemand[i].at(d.now, tenantWindow)) / max(part, 1e-9)
	}
	var usage []float64
	for i := range d.tenantDemand {
		if !d.settings.Tenants[i].Left {
			usage = append(usage, used(i))
		}
	}
	slices.Sort(usage)
	return d.rng.Float64()*used(tenant) > max(1, tenantShareSlack*usage[len(usage)/2])
}

// adjustAdmission takes whether a request was not started soon. While many are not, wherever, only a part of the
// first attempts is let out, the most worth first: ceilings of a job or two cannot show overload.
func (d *Dispatcher) adjustAdmission(yes bool) {
	if yes {
		d.admitted = max(minAdmitted, d.admitted*admitFactor)
	} else {
		d.admitted = min(1, d.admitted+admitStep)
	}
	d.logCondition(&d.shedding, d.admitted < 0.5, "workers are crowded: under half of the requests are let out",
		"workers are no longer crowded")
}

// enqueue queues a request here: it can still move, which it cannot at a worker.
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

// placeHeld places held requests, the most worth per run time first.
func (d *Dispatcher) placeHeld() {
	d.sortFleet()
	d.beginRound(scansPerStep)
	for _, q := range d.queueOrder {
		if d.classes[q/2].stuck {
			continue // the last of its requests found no valid worker, and nothing has changed
		}
		n := 0
		for i, r := range d.queues[q] {
			if !r.held || r.queue != q {
				continue // answered or moved to the late queue
			}
			first := len(r.attempts) == 0 && d.admitted < 1
			waits := first && d.tokens < 1 && r.class.Worth <= highWorthFactor*d.meanWorth() // else the others pay
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
			if d.routesByKey(r) || len(r.Order) > 0 || d.now < r.retryAt {
				continue // the next has another key or order and so other workers
			}
			r.class.stuck = len(r.attempts) == 0
			if r.class.stuck || n >= d.settings.Limits.Attempts { // the rest would find the same workers invalid
				n += copy(d.queues[q][n:], d.queues[q][i+1:])
				break
			}
		}
		clear(d.queues[q][n:])
		d.queues[q] = d.queues[q][:n]
	}
}

// pick walks the class's policy from the top, then the default tag.
func (d *Dispatcher) pick(r *request) *worker {
	if d.sendForbidden(r) {
		return nil
	}
	d.drawAvoidedZones()
	// While connecting takes long, a move costs more than a queue, but to an open connection.
	d.openOnly = r.outstanding > 0 && d.connSetup() > d.startGrace(r, nil)
	for _, id := range r.Order { // reservableSlots whoever routed it; the rules hold all the same
		if w := d.workers[id]; w != nil && d.valid(r, w, Invalidate{Rule: Overload}) {
			return w
		}
	}
	if w := d.firstJobWorker(r); w != nil || len(r.Order) > 0 {
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
			return nil // heldCount for those that keep what it needs
		}
	}
	if r.class.followup == Fail {
		return nil
	}
	return d.firstValid(r.class.defaultBlock, r)
}

// routesByKey tells whether a request goes to the keepers of its key. To a job that runs for longer than the usual a fetch
// is little, and an even load more.
func (d *Dispatcher) routesByKey(r *request) bool {
	return r.Key > 0 && r.class.typical().Seconds() <= longRunFactor*cmp.Or(d.meanTypicalRun(0), math.Inf(1))
}

// mayCrossZones tells whether a request may go on from the keepers of its own zone to those of all: where it finds the zone
// lost, or crossing has no price. Else a move there costs more than it brings on.
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
	start, step, reach, crowd := 0, 1, n, 1
	var best *worker
	switch {
	case b.ByKey:
		start, _ = slices.BinarySearch(b.ring, hash(r.Key, 0))
		reach = d.keyWorkers(r)
		crowd = min(reach, 1+(d.settings.Dispatchers-1)/int(d.size(b.members[0]))) // more would overrun one
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
		if crowd--; crowd <= 0 && best != nil {
			break
		}
		if 2*w.failures <= maxFailures && !w.zone.avoided { // no more than full
			reach--
		}
	}
	return best
}

// keyWorkers is how many workers along the ring a request may go to: one, and more the more of a worker its key's jobs
// fill. What a job needs is fetched where it lacks, which takes longer than a wait and pushes out what others need. Of a
// key's share the request itself tells nothing: among many dispatchers, each would call its keys hot.
func (d *Dispatcher) keyWorkers(r *request) int {
	share := aboveNoise(d.keyDemand[r.Key].at(d.now, d.settings.Rules.Cold)-1) / max(1, d.keyedDemand.at(d.now, d.settings.Rules.Cold))
	wider := 0
	if d.heldCount() <= len(d.fleet)/fewHeldDivisor { // others have room: a fetch there costs nobody his place
		wider = int(widenPerAim * float64(d.now-r.arrived) / float64(max(r.class.Aim, 1)))
	}
	rate := cmp.Or(d.agreedRate(), d.keyedDemand.N/d.settings.Rules.Cold.Seconds()*float64(d.settings.Dispatchers))
	return 1 + wider + int(share*rate*cmp.Or(d.meanTypicalRun(0), r.class.mean())/slotsPerKeyWorker)
}

// lastResortWorker ends the default tag's hold with its pick of a random healthy worker, full as it may be. It
// acts only while nothing else waits, and room is not told: then ceilings may be wrong, else it would only add to a queue.
func (d *Dispatcher) lastResortWorker(r *request) *worker {
	if d.settings.ReportsFree && !d.settings.TellsStart || r.class.followup == Fail || len(r.attempts) > 0 || d.heldCount() > 1 || d.waitingJobs > 0 {
		return nil
	}
	return d.random(r.class.defaultBlock, func(w *worker) bool {
		named := len(r.Order) == 0 || slices.Contains(r.Order, w.ID)
		return named && w.failures == 0 && !d.forbidden(r, w)
	})
}

// valid applies a block's invalidate rule after its precondition.
func (d *Dispatcher) valid(r *request, w *worker, inv Invalidate) bool {
	refused := (d.now < w.refusals[r.Class].Until || r.class.Effect == Unsafe && d.now < w.unsafeBarredUntil) && !d.outage()
	if inv.Rule != CapacityUsed && !r.Held && d.noRoom(w) || !w.ready() || refused || w.zone.avoided || d.openOnly && w.conns <= w.connsInUse {
		return false
	}
	// Unreachable, but for one trial at a time, of a job that can be repeated and has not been
	// one: where a whole zone is cut off, trials must not eat up its attempts.
	asked := d.unproven(w) && w.probes < firstJobProbes // and not yet tried
	trial := d.now >= w.retryAt && !asked && (len(r.attempts) == 0 && r.class.Effect != Unsafe || d.outage())
	if w.failures > 0 && !trial {
		return false
	}
	if d.forbidden(r, w) || r.anyAttempt(func(a *attempt) bool { // nor in a zone where it broke off, without life since
		return a.worker == w && (!a.ended || a.errored) || a.brokeAt > w.zone.lastAlive && a.worker.zone == w.zone && len(d.zones) > 1
	}) {
		return false
	}
	if w.failures > 0 || r.Held {
		return true // a trial, whatever ghosts are held against the worker, or its slots are kept for it
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
			return used+r.Slots <= ceiling/2 // and one over its tenant's share more of it
		}
		return w.ownSlots+w.abandoned+r.Slots <= inv.Threshold && used+r.Slots <= max(r.Slots, ceiling)
	}
	return used+r.Slots <= max(size, r.Slots) && (!d.settings.ReportsFree || mem+r.Memory <= max(size, r.Memory))
}

// unproven tells whether a worker may be a ghost, of a list that is not ours: it never showed life, and first jobs
// at such came to nothing. It is probed, and gets trials once some probes went unanswered.
func (d *Dispatcher) unproven(w *worker) bool {
	return w.lastAlive == 0 && d.sawLife && d.settings.Limits.Probes && d.firstJobs.Share > firstJobFailShare
}

// probeEnded takes the answer. It proves a worker in doubt; it is no verdict on one whose jobs tell more.
func (d *Dispatcher) probeEnded(e Probed) {
	if w := d.workers[e.Worker]; w != nil {
		d.recordReport(w, e.Report)
		if e.Outcome == OK && w.lastAlive == 0 {
			d.setFailures(w, 0)
			w.lastAlive, d.mayHaveRoom = d.now, true
		}
	}
}

// drawAvoidedZones draws the zones whose workers are invalid for one pick: the more often the more of the
// attempts there fare worse than in the best zone, by more than four prices of crossing.
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

// outage tells whether no worker is trusted: then the least bad must do.
func (d *Dispatcher) outage() bool { return d.trustedWorkers <= 0 }

// load is a worker's slots and memory in use, as far as known here, and its size for this dispatcher.
func (d *Dispatcher) load(w *worker) (used, mem, size float64) {
	used, mem = d.inUse(w)
	size = cmp.Or(w.learnedSize, d.kind(w.Kind).Slots) // one not heard of yet is as large as its kind
	if size == 0 || d.settings.TellsStart {
		return used, mem, math.Floor(*d.ceiling(w))
	}
	return used, mem, max(1, math.Floor(size*d.warmth(w)))
}

// hasUnseenLoad tells whether jobs of others may fill a worker unseen: no start notes, and not all tell.
func (d *Dispatcher) hasUnseenLoad() bool { return !d.settings.TellsStart && d.peerGroups() > 1 }

// sendForbidden tells whether a request may not be sent to any worker.
func (d *Dispatcher) sendForbidden(r *request) bool {
	return r.done || r.streaming || r.sentAttempts() >= d.settings.Limits.Attempts || d.now >= r.deadline || // rule 1
		r.outstanding > 0 && !d.settings.Limits.SecondCopies || r.sentAttempts() > 0 && !d.withinBudget() // rule 5
}

// forbidden is the gate of the rules on sending: every attempt passes it.
func (d *Dispatcher) forbidden(r *request, w *worker) bool {
	if d.sendForbidden(r) || !w.ready() || d.blockedByReservations(r, w) { // rule 3: nothing new once told that it drains or is gone, or left out by hand
		return true
	}
	for _, a := range r.attempts { // rule 2: an earlier attempt that may have run binds the next
		if a.neverRan || r.class.Effect == Safe {
			continue
		}
		if r.class.Effect == Unsafe || d.now-a.sentAt >= r.class.Window ||
			r.class.Scope == ScopeZone && a.worker.Zone != w.Zone || r.class.Scope == ScopeCell && a.worker.Cell != w.Cell {
			return true
		}
	}
	return d.warmth(w) < 1 && (d.now < w.nextColdSend || !d.coldTurn(w, r)) && d.findLease(r, w) == 0 // rule 4; most are not due: first, it is cheap
}

// withinBudget tells whether the budget allows one more attempt beyond a first (move, retry or copy), in any
// window that ends now. Where no rule sets it, it keeps retries from becoming most of the load.
func (d *Dispatcher) withinBudget() bool {
	d.extraAttempts, d.arrivals = dropBefore(d.extraAttempts, d.now-d.budget.Span), dropBefore(d.arrivals, d.now-d.budget.Span+1)
	return float64(len(d.extraAttempts)+1) <= d.budget.Spare+d.budget.PerRequest*float64(len(d.arrivals))
}

// coldBudgetAt is when this dispatcher's share of a cold worker's budget, from a time on, has come to so many slot
// seconds: it grows at the worker's size by its warmth.
func (d *Dispatcher) coldBudgetAt(w *worker, from time.Duration, work float64) time.Duration {
	rate, least := d.coldBudget(w)*d.coldTurnShare(), d.settings.Rules.ColdFrom
	grows, now := (1-least)/d.settings.Rules.Cold.Seconds(), d.settings.Rules.warmth(from-w.Started)
	return from + max(d.sweepInterval(), time.Duration((math.Sqrt(now*now+2*grows*work/rate)-now)/grows*float64(time.Second)))
}

// coldTurn tells whether a cold worker may have a job from here: in turns from the start that the list tells, lest all
// send when they hear of it. Unused they lapse, lest they burst. A job longer than a turn is for waits until two fit the
// plan, and has a turn as much more seldom: among many dispatchers, no later turn of the same one makes up for it.
func (d *Dispatcher) coldTurn(w *worker, r *request) bool {
	place, n := d.coldTurns()
	half, window := d.settings.Rules.Cold/2, d.settings.Rules.FallWindow // by half the time to warm up each has had a turn:
	two := d.coldBudget(w) * d.warmth(w) * window.Seconds() / 2
	used := min(1, float64(d.arrivalsSince(d.now-2*window)-1)) // coldTurnShare of the turns: where requests are few, most lapse
	unit := min(d.longestMeanRun(), max(d.pace().Seconds(), used*d.meanRunUpTo(two), d.coldBudget(w)*d.coldTurnShare()*half.Seconds()*d.settings.Rules.warmth(half/2)))
	if w.nextColdSend == 0 {
		turn := float64((hash(uint64(w.ID), uint64(w.Started))+uint64(place))%uint64(n)) + 0.5
		w.nextColdSend = d.coldBudgetAt(w, w.Started, unit*turn/float64(n))
		if w.firstJobDue {
			w.nextColdSend = min(w.nextColdSend, w.Started+time.Duration(float64(uncordonedWithin)*turn/float64(n)))
		}
	}
	for d.now-w.nextColdSend > window && !w.firstJobDue {
		w.nextColdSend = d.coldBudgetAt(w, w.nextColdSend, unit)
	}
	work, luck := r.Slots*r.class.cautiousMean(), uniform(hash(uint64(w.ID), uint64(w.nextColdSend)), uint64(place))
	fits := work <= max(two, coldJobStretch*unit) && (w.firstJobDue || work*used*luck <= coldJobStretch*unit)
	return d.now >= w.nextColdSend && place >= 0 && fits
}

// send starts an attempt if the gate lets it.
func (d *Dispatcher) send(r *request, w *worker) bool {
	if d.forbidden(r, w) {
		return false
	}
	a := &attempt{worker: w, sentAt: d.now, lastReport: d.now, gated: r.Gated}
	fresh := r.class.Effect == Unsafe && d.now < d.silentUntil // active a silent connection it would be lost
	d.predictConn(r, a, fresh)
	lease := d.takeLease(r, w)
	d.emit(Send{Request: r.ID, Worker: w.ID, MostIdle: d.idleLimit(r.class.Effect), Fresh: fresh, Lease: lease})
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

// predictConn foresees which connection an attempt will go out on. Idle ones may be dropped unseen: one idle for
// an age at which sends fail is closed first, but now and then a repeatable job shows if they still do.
func (d *Dispatcher) predictConn(r *request, a *attempt, fresh bool) {
	w := a.worker
	a.connIdle = d.now - w.connFreedAt
	if idle := w.conns > w.connsInUse; idle && d.settings.Limits.ConnIdle > 0 && a.connIdle >= d.settings.Limits.ConnIdle {
		w.conns = w.connsInUse
	} else if idle && d.idleSendsFail(a.connIdle, r.class.Effect) && (r.class.Effect == Unsafe || d.rng.IntN(idleRecheck) > 0) {
		d.emit(Release{Worker: w.ID})
		w.conns = w.connsInUse
	}
	w.connsInUse++
	if a.newConn = fresh || w.connsInUse > w.conns; a.newConn {
		w.conns, a.connIdle = max(w.conns, w.connsInUse), 0
	}
}

// idleLimit is how long a connection that is used may have been idle. Some drop idle ones unseen, long before the time
// in the settings: what broke halves the limit for all, it grows back, and repeatable jobs try first how far.
func (d *Dispatcher) idleLimit(effect Effect) time.Duration {
	grown := float64(d.maxIdle) * math.Exp2((d.now-d.maxIdleSetAt).Seconds()/(idleDoubleWindows*max(d.settings.Rules.FallWindow, 1).Seconds()))
	if effect == Unsafe {
		grown /= 2
	}
	return max(1, time.Duration(min(grown, float64(d.settings.Limits.ConnIdle*3/5))))
}

// brokeAt takes that a kept connection broke under a request: of what is dropped unseen, not of its worker.
func (d *Dispatcher) idleConnBroke(idle time.Duration) {
	d.maxIdle, d.maxIdleSetAt = min(d.idleLimit(Safe), idle)/2, d.now
}

// idleSendsFail tells whether sends on connections idle for so long, or for less, fail more often than on young
// ones (other troubles strike at any age). For an unsafe job an unknown age counts as one that fails.
func (d *Dispatcher) idleSendsFail(idle time.Duration, effect Effect) bool {
	k, young, most := d.idleBucket(idle), d.idleFailures[0].Share, 0.5
	if effect == Unsafe {
		most = unsafeFailShare
	}
	return k > 0 && effect == Unsafe && d.idleFailures[k].N == 0 || slices.ContainsFunc(d.idleFailures[1:k+1],
		func(t tally) bool { return t.Share > young+(1-young)*most })
}

// answerFinal is the gate of final answers: a refusal where it is harmless, else a failure, only once.
func (d *Dispatcher) answerFinal(r *request) {
	if r.done || r.streaming {
		return
	}
	if !r.anyAttempt(func(a *attempt) bool { // harmless
		again := r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Scope == ScopeAll && d.now-a.sentAt < r.class.Window
		return !a.neverRan && !again
	}) {
		after := time.Duration(0)
		if d.settings.Limits.RetryAfter && (r.errors > 1 || len(r.attempts) == 0) { // else another try may fare better
			after = min(d.settings.Limits.MaxRetryAfter, d.backoff(r.class.Aim, 1))
		}
		d.emit(Refuse{Request: r.ID, RetryAfter: after})
	} else {
		d.emit(FailRequest{Request: r.ID})
	}
	d.closeRequest(r)
}

// closeRequest ends a request here and calls off what is still out.
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

// startGrace is how long an attempt may take to start before it is taken to queue.
func (d *Dispatcher) startGrace(r *request, a *attempt) time.Duration {
	g := d.settings.Granularity + time.Duration(promptAimShare*float64(r.class.Aim))
	if a != nil {
		if g += a.worker.minStartDelay; a.newConn {
			g += d.connSetup()
		}
	}
	return g
}

// startedAt takes word that an attempt runs: the best sign of whether it queued.
func (d *Dispatcher) attemptStarted(r *request, a *attempt) {
	if a.started {
		return
	}
	a.started, a.lastReport, a.startedAt = true, d.now, d.now
	w := a.worker
	w.runningSlots += r.Slots
	if !d.settings.TellsStart {
		return
	}
	// After a stall of our own the delay is an upper bound and no sign of queueing.
	delay := d.now - a.sentAt
	d.countForZone(a, delay-d.batchDelay > r.class.Aim/2)
	d.adjustAdmission(d.now-r.attempts[0].sentAt-d.batchDelay > r.class.Aim)
	prompt := delay-d.batchDelay <= d.startGrace(r, a)
	if d.settings.Rules.warmth(a.sentAt-w.Started) >= 1 { // what was late at a cold one says nothing of it warm: few would go back
		w.lateStarts.add(!prompt, lateStartSamples)
	}
	d.recordStart(a, delay-d.batchDelay)
	if prompt {
		if !a.newConn && (w.minStartDelay == 0 || delay < w.minStartDelay) {
			w.minStartDelay = delay
		}
		if used, mem, size := d.load(w); used+r.Slots > size || d.settings.ReportsFree && mem+r.Memory > size { // another such would not fit
			*d.ceiling(w) += ceilingStep
		}
	} else if !a.queued || d.allShareLoad() { // lowered when it was seen to queue
		d.lowerCeiling(w)
	}
	d.kind(w.Kind).Slots = max(d.kind(w.Kind).Slots, w.runningSlots)
	d.recordLife(w)
}

// ceiling is what a worker may hold. Where all dispatchers tell each other of their load it is
// one for all workers of a kind, of all their jobs; else each worker's, of our own jobs.
func (d *Dispatcher) ceiling(w *worker) *float64 {
	if d.allShareLoad() {
		return &d.kind(w.Kind).Ceiling
	}
	return &w.ceiling
}

// allShareLoad is whether all dispatchers hear of each other's load.
func (d *Dispatcher) allShareLoad() bool { return d.sharesLoad() && d.peerGroups() == 1 }

// lowerCeiling cuts a worker's ceiling to what it runs for this dispatcher; if that is nothing, below one slot, to earn back.
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

// recordFailure lowers a worker's health, by silence, refusals, failed connections, resets and queueing alike.
func (d *Dispatcher) recordFailure(w *worker) {
	d.lowerCeiling(w)
	if d.now < w.retryAt {
		return // one episode
	}
	d.setFailures(w, min(w.failures+1, maxFailures))
	w.retryAt = d.now + d.backoff(d.pace(), w.failures)
}

// setFailures sets a worker's strikes and keeps the count of those that are trusted.
func (d *Dispatcher) setFailures(w *worker, strikes int) {
	if listed := d.workers[w.ID] == w && w.ready(); listed && (w.failures > 0) != (strikes > 0) {
		if d.trustedWorkers++; strikes > 0 {
			d.trustedWorkers -= 2
		}
	}
	w.failures = strikes
	d.blocksStale = d.blocksStale || w.unlisted
	d.logCondition(&w.suspect, 2*strikes > maxFailures, "worker %d suspected", "worker %d readmitted", w.ID)
}

// workerRefused takes a worker's word that it is full: no more of that class for a while. Said at once it speaks
// of the whole worker, slowly perhaps of the class: guards against throttles, quotas, false refusals.
func (d *Dispatcher) workerRefused(r *request, a *attempt) {
	f := &a.worker.refusals[r.Class]
	f.N = min(f.N+1, maxFailures)
	f.Until = d.now + d.backoff(r.class.Aim, f.N)
	if d.now-a.sentAt-d.batchDelay <= d.startGrace(r, a) {
		d.adjustAdmission(true)
		d.recordFailure(a.worker)
	}
}

// errored takes whether a job ended in an error, which bars its class there for a while where errors of the class come
// more often than elsewhere: not for requests that fail wherever they go, and whatever else the worker starts well.
// What may fail but once waits, from the first error on, until jobs have fared well there again.
func (d *Dispatcher) recordJobEnd(w *worker, c int, yes bool) {
	w.classErrors[c].add(yes, errorSamples)
	w.errors.add(yes, errorSamples)
	d.classes[c].errors.add(yes, 8*errorSamples)
	d.errors.add(yes, 8*errorSamples)
	if yes && w.classErrors[c].Share > d.classes[c].errors.Share+errorMargin {
		f := &w.refusals[c]
		f.N = min(f.N+1, maxFailures)
		f.Until = d.now + d.backoff(d.classes[c].Aim, f.N)
	}
	if w.errors.Share <= d.errors.Share+unsafeErrorMargin {
		w.unsafeBarredUntil = 0
	} else if yes {
		w.unsafeBarredUntil = d.now + d.longestDeadline()
	}
}

// recordLife takes a sign of life.
func (d *Dispatcher) recordLife(w *worker) {
	d.loadChanged = d.loadChanged || w.abandoned > 0
	w.abandoned, w.lastAlive, w.zone.lastAlive, d.sawLife = 0, d.now, d.now, true
	w.retryAt, d.mayHaveRoom = d.now, true
	if w.failures > 0 {
		d.setFailures(w, w.failures/2)
	}
}

// attemptEnded takes an attempt's outcome.
func (d *Dispatcher) attemptEnded(e AttemptEnded) {
	r, a := d.openAttempt(e.Request, e.Attempt)
	if a == nil {
		return
	}
	w := a.worker
	if w.lastAlive == 0 && e.Outcome != Moot && e.Outcome != Cancelled {
		d.firstJobs.add(e.Outcome != OK, firstJobSamples)
	}
	a.ended, a.neverRan, a.errored = true, e.Outcome.NeverRan(), e.Outcome == Errored
	d.recordReport(w, e.Report) // which still counts this attempt
	r.outstanding--
	w.ownSlots, w.ownMemory = w.ownSlots-r.Slots, w.ownMemory-r.Memory
	d.mayHaveRoom, d.loadChanged = d.mayHaveRoom || e.Outcome != Moot || r.done, true
	if a.started {
		w.runningSlots -= r.Slots
	}
	kept := e.Kept > 0 && e.Outcome == Reset && !a.started && a.lastReport == a.sentAt
	if a.connIdle = cmp.Or(e.Kept, a.connIdle); kept {
		d.idleConnBroke(e.Kept)
	}
	d.recordConnEnd(r, a, e.Outcome)
	if e.Outcome != Cancelled && e.Outcome != Moot {
		d.countForZone(a, e.Outcome != OK && !a.started && !kept)
	}
	switch e.Outcome {
	case OK:
		w.refusals[r.Class].N /= 2
		d.recordJobEnd(w, r.Class, false)
		d.learnRun(r, a)
		d.recordLife(w)
	case TimedOut, Cancelled:
		// At a worker that is not trusted it goes on occupying its slots: a hung one must not earn room by
		// failing. The next sign of life frees them; without a strike no trial would follow.
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
		if !kept {
			a.brokeAt = d.now
			d.recordFailure(w)
		}
	case Moot: // never sent: it does not count, and the next waits for longer than the last
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
	case e.Over:
		r.streaming = false
		d.closeRequest(r)
	case r.outstanding == 0:
		d.retryOrAnswer(r)
	}
}

// exhausted tells whether a request has no permitted attempt left: it is given up at once, not held. One
// that failed at two workers fails wherever it goes, and is not to use up the budget of others.
func (d *Dispatcher) exhausted(r *request) bool {
	return r.sentAttempts() >= d.settings.Limits.Attempts || r.errors > 1 || r.anyAttempt(func(a *attempt) bool {
		return !a.neverRan && (r.class.Effect == Unsafe || r.class.Effect == Keyed && d.now-a.sentAt >= r.class.Window)
	})
}

// retryOrAnswer holds a request whose attempts have all ended, if it may go out once more.
func (d *Dispatcher) retryOrAnswer(r *request) {
	if d.exhausted(r) || r.sentAttempts() > 0 && !d.withinBudget() {
		d.answerFinal(r)
		return
	}
	d.enqueue(r, true)
}

// learnRun takes the run time of an attempt that was served.
func (d *Dispatcher) learnRun(r *request, a *attempt) {
	from := a.sentAt
	if a.started && d.settings.TellsStart {
		from = a.startedAt
	}
	run := max((d.now - from).Seconds(), 1e-4)
	c, w := r.class, a.worker
	d.learnedSinceSort++
	c.addRun(run)
	if !d.settings.TellsStart { // the end must say what the start would have
		if d.adjustAdmission(false); run > c.Aim.Seconds()+c.Stretch*c.typical().Seconds() {
			*d.ceiling(w) = max(initialCeiling, *d.ceiling(w)-ceilingStep)
		} else if w.ownSlots+2*r.Slots > math.Floor(*d.ceiling(w)) {
			*d.ceiling(w) += endCeilingStep
		}
	}
	d.addDeviation(c, w, run)
}

// sweep looks at everything that time alone changes.
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
	n, waiting, running, jam := 0, 0, 0, d.settings.TellsStart && d.settings.Limits.Cancel && d.waitingJobs > d.runningJobs
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
		due := d.now+max(2*d.sweepInterval(), min(d.maxBatchDelay, r.Budget/4), r.Budget/answerMarginParts) >= r.deadline // rule 1: in time
		if !r.streaming && (due || r.held && r.outstanding == 0 && len(r.attempts) > 0 && d.exhausted(r)) {
			d.answerFinal(r)
			continue
		}
		d.checkAttempts(r)
		waits := jam && !r.anyAttempt(func(a *attempt) bool { return !a.ended && (a.started || !a.queued) })
		if !r.held && waits && !r.Patient && d.now >= r.aimEnd+r.lateStartAllowance() && r.class.LateWorth == 0 {
			// Queued and too late to be worth anything: guards against queues that only make late
			// answers. What cannot be called off would run all the same, and again for the next try.
			d.answerFinal(r)
			continue
		}
		if r.held && d.now >= r.aimEnd && !r.late { // once: it is not held anew at each sweep
			r.held, r.late = false, true
			switch w := d.lastResortWorker(r); {
			case w != nil && d.send(r, w):
			case r.class.LateWorth > 0 || r.Patient:
				d.enqueue(r, false)
			default:
				d.answerFinal(r)
			}
		}
	}
	clear(d.liveRequests[n:])
	d.liveRequests, d.waitingJobs, d.runningJobs = d.liveRequests[:n], waiting, running
	d.logCondition(&d.jobsQueue, waiting > running, "jobs queue at the workers: late ones are called off",
		"jobs no longer queue at the workers")
	d.logCondition(&d.noneTrusted, len(d.fleet) > 0 && d.outage(), "no worker is trusted: the least bad are tried",
		"some workers are trusted again")
}

// checkAttempts looks for attempts that queue or stand still, and moves what may be moved.
func (d *Dispatcher) checkAttempts(r *request) {
	for i, a := range r.attempts {
		if a.ended || a.gated || r.streaming {
			continue
		}
		// Confirmations come at once or never: then the connection has gone silent, whatever else its worker
		// does. What can be repeated goes elsewhere; this says nothing of the worker.
		unconfirmed := d.confirmsAttempts && !a.accepted && !a.started && d.now-a.sentAt-d.batchDelay > r.confirmWithin()+d.connSetup()
		if unconfirmed && !a.newConn && a.worker.lastAlive > a.sentAt {
			d.silentUntil = d.now + d.settings.Limits.ConnIdle // others of its time may be silent too
		}
		if unconfirmed && !a.connLost && r.class.Effect == Safe && d.settings.Limits.Cancel && !d.exhausted(r) {
			a.connLost = true
			d.emit(Cancel{Request: r.ID, Attempt: i})
			continue
		}
		hung := d.now-a.sentAt-d.batchDelay > max(r.class.Aim, unresponsiveRuns*r.class.typical()+unresponsiveStarts*d.meanStartDelay()) && a.worker.lastAlive < a.sentAt // no life since
		if d.settings.TellsStart && !a.started && d.now-a.sentAt > d.startGrace(r, a) {
			first := !a.queued
			if a.queued = true; first {
				d.recordConnSetup(a, 2*(d.now-a.sentAt)) // loggedAt least so long
				// What a job with a key needs is fetched elsewhere; among many, who meet it seldom, its queue is others'.
				a.stays = !d.mayMove(r) || r.Key > 0 && (r.class.Effect != Safe || d.settings.Dispatchers <= len(d.fleet))
			}
			if full := first && !d.allShareLoad(); hung || full && !a.stays {
				d.recordFailure(a.worker)
			} else if full {
				d.lowerCeiling(a.worker) // loggedAt once: it may stand still, and would be sent more until one has run
			}
			if a.stays && !hung {
				continue // a queue is no ill health
			}
			if w := d.pick(r); w != nil && d.settings.Limits.Cancel && d.send(r, w) {
				d.emit(Cancel{Request: r.ID, Attempt: i})
			}
			return
		}
		standing := d.settings.Progress > 0 && (a.started || !d.settings.TellsStart) && float64(d.now-a.lastReport) > progressSlackIntervals*float64(d.settings.Progress)
		// It may queue behind jobs of others unseen: a copy that starts at its aim still ends in time.
		unheard := d.hasUnseenLoad() && a.lastReport == a.sentAt && r.class.Effect == Safe && d.now-a.sentAt > r.class.Aim
		if hung && !a.queued && !d.settings.TellsStart && a.worker.lastAlive == 0 {
			d.firstJobs.add(true, firstJobSamples)
		}
		a.queued = a.queued || hung
		if standing || hung {
			d.recordFailure(a.worker)
		}
		if (standing || unheard || hung) && r.outstanding == 1 {
			if w := d.pick(r); w != nil {
				d.send(r, w)
			}
			return
		}
	}
}

// mayMove tells whether one more job that queues is to be moved. Nobody tells whether its worker then drops it: where it does
// not, both run and more queue. So few are, of those that late are of use or waited for where they are; else it is that or nothing.
func (d *Dispatcher) mayMove(r *request) bool {
	return d.withinBudget() && (r.class.LateWorth == 0 && !r.Patient || float64(len(d.extraAttempts)+1) <= maxMovedShare*float64(len(d.arrivals)))
}

// sharesLoad is whether load is told at all: where starts are told, a part of the others' would say
// less than ceilings do, and would cost more messages than there are jobs.
func (d *Dispatcher) sharesLoad() bool {
	return d.settings.Limits.PeerMessages && d.settings.Dispatchers > 1 && (!d.settings.TellsStart || d.peerGroups() == 1)
}

// sendLoad sends the peers this dispatcher's load on each worker: what has changed, all of it now and then.
// With more dispatchers than a few, only its party, which uses the same workers first.
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
	if d.settings.Dispatchers <= peerGroupSize {
		d.emit(TellPeers{To: Any, Body: body})
		return
	}
	for n := d.peerGroup(); n < d.settings.Dispatchers; n += d.peerGroups() {
		if n != d.settings.Dispatcher {
			d.emit(TellPeers{To: n, Body: body})
		}
	}
}
