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
	firstCeiling  = 1.0     // slots a worker gets before it has shown anything
	leastCeiling  = 1.0 / 4 // a ceiling below one slot only has more to earn back
	ceilingStep   = 0.5     // ceiling gained by a prompt start at the ceiling
	endStep       = 0.05    // by an end in time, where starts are not told: a run later, and less sure
	promptShare   = 0.1     // a start later than this share of the aim came out of a queue
	progressSlack = 1.5     // progress intervals without a note that mean standing still
	maxStrikes    = 6       // doublings of the readmission backoff
	coldShare     = 0.5     // part of the cold budget that is used at all
	coldLength    = 1.25    // of what a dispatcher's turn there is for, that a job may last
	speedMemory   = 64.0    // jobs that a worker's speed is judged on
	speedPrior    = 8.0     // jobs of its kind that a worker's own speed must outweigh at most,
	sizePrior     = 2.0     // jobs that must be outweighed before a worker's size is reckoned from their runs,
	slowPrior     = 0.5     // or a kind, one of several, to take so much longer in the log than the mean
	speedSeen     = 2.5     // and times as many as there are workers to a dispatcher: many see few jobs of each
	extraShare    = 0.5     // further attempts for a request, where no rule says how many,
	extraSpare    = 5.0     // and so many on top, in the time that a client waits
	sortPace      = 16      // workers for which one job may have the fleet sorted; four times as many an aim
	looksPerStep  = 256     // workers looked at for held requests in each step between sweeps, while nothing happens
	lateMemory    = 8.0     // starts at a worker that its share of late ones is judged on
	admitCut      = 0.95    // of the share let out, for a request that was not started soon
	admitStep     = 0.04    // regained by one that was
	muchWorth     = 1.2     // times the mean class's, above which a request does not wait for a token
	mostTokens    = 4.0     // saved up, so that a seldom used dispatcher need not wait for the next
	leastAdmitted = 0.25    // always let out
	hungRuns      = 4       // typical runs without a sign of life from its worker that a job may take,
	hungStarts    = 2       // on top of so many times what attempts lately took to start: a queue is no hang
	freshMemory   = 4.0     // first jobs at workers not known that those to come are judged by
	freshProbes   = 4       // probes that such a one may leave unanswered before it gets a trial
	freshDoubt    = 0.5     // and the share that came to nothing from which on they are in doubt
	shareSlack    = 4.0 / 3 // of the usual tenant's use of its share, that another may have
	errMemory     = 8.0     // jobs at a worker that its share of errors is judged on,
	errMargin     = 0.3     // and by how much it must be above that of all,
	waryMargin    = 0.1     // or for jobs that must not run twice
	zoneMemory    = 16.0    // attempts over which a zone is judged
	zoneMargin    = 0.1     // by which it must do worse than the best
	answerMargin  = 16      // part of its budget by which a request is answered early: a stall must not miss it
	partySize     = 32      // dispatchers that tell each other of their load
	unsafeShare   = 0.3     // of the failures at an idle age that bar it for unsafe jobs
	ageMemory     = 6.0     // sends at an idle age that it is judged on
	fewHeld       = 3       // workers to a request held, up to which keyed ones may go further
	widen         = 4.0     // by so many keepers for each aim that they have waited
	longRun       = 1.5     // of the usual job's, from which on a job goes anywhere
	keptSlots     = 2.0     // of each of its keepers that the jobs of a key fill
	confirmPart   = 2       // part of its aim for which a job may lack its worker's confirmation,
	confirmTimes  = 5       // times as long where it is waited for until its deadline
	idleDouble    = 4       // windows of the rule on cold workers in which trust in idle connections doubles
	recheck       = 8       // one in so many repeatable jobs still tries an old connection
	moveShare     = 0.01    // of the requests, that are moved from where they queue: they may run twice
	ringPoints    = 8       // places of a worker on the ring of keys
	sweepTicks    = 4       // granularity steps between sweeps
	minSweep      = 5 * time.Millisecond

	owedWithin = 4 * time.Second // a worker put back by hand has had a turn: people watch for it
	keyMemory  = 4 * time.Second // over which a tenant's requests are counted; a key's over the time to warm up
)

// derive makes the policies that are not given: for requests with a key the workers that keep what it
// needs, those of the own zone before all, then own zone, then the others, each best_first, ending in the
// default tag. A keeper in each zone costs one more fetch of a key, crossing to the only one a price each time.
func derive(s Settings) []Policy {
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

// turn begins a batch. One later than its timer follows a stall of this dispatcher itself, and finds all that came since.
func (d *Dispatcher) turn(now time.Duration) {
	d.now, d.late, d.batch = max(d.now, now), 0, d.batch+1
	if late := d.now - d.wakeAt; d.armed && late > d.step() {
		d.late, d.stall = late, min(max(late, d.stall), d.s.Rules.FallWindow)
	}
}

// settle acts on a batch, after all its news: an answer that came with the timer must not be refused.
func (d *Dispatcher) settle() {
	if !d.armed {
		d.sweep()
	}
	d.drain()
	d.tell()
	if !d.armed && (len(d.live) > 0 || d.asked > 0) {
		d.armed, d.wakeAt = true, d.now+d.step()
		d.do(WakeMe{After: d.step()})
	}
}

// cordon leaves a worker out by hand, whatever the list says, or puts it back. By then it may have been started
// anew: nothing is known of it, it counts as cold, and it is owed a first job so that it is seen to be used.
func (d *Dispatcher) cordon(id uint32, out bool) {
	w, was := d.workers[id], d.cordons[id]
	if d.cordons[id] = out; !out {
		delete(d.cordons, id)
	}
	if w != nil && was && !out {
		l, listed, unlisted := w.Worker, w.listed, w.unlisted
		l.Started, w.State = d.now, Gone // for what is out there
		w = d.begin(l)
		w.State, w.listed, w.unlisted, w.owed = l.State, listed, unlisted, true
		d.owe(w)
	} else if w != nil {
		w.cordoned = out
	}
	d.recount()
	d.stale, d.freed, d.ordered = true, true, 0
}

// firstJob is a worker to be used before others: put back by hand, for one job that can be repeated, or cold.
func (d *Dispatcher) firstJob(r *request) *worker {
	d.owed = slices.DeleteFunc(d.owed, func(w *worker) bool { return !w.owed && !d.untried(w) || d.workers[w.ID] != w })
	for _, w := range d.owed {
		first := r.c.Effect == Safe && w.own == 0 || !w.owed && !d.s.Leasing.On
		if first && len(r.attempts)+len(r.Order) == 0 && (r.c.Kind == Any || r.c.Kind == w.Kind) && d.valid(r, w, Invalidate{Rule: Overload}) {
			return w
		}
	}
	return nil
}

// list takes lines of the worker list.
func (d *Dispatcher) list(lines []Worker, whole bool) {
	d.note(&d.listLost, false, "", "worker list back")
	d.upsert(lines, whole)
	d.failures, d.asked, d.stale, d.freed = 0, 0, true, true
}

// believe takes what a line of the list, or its absence from a whole one, says of a worker. Draining stays for its
// process, whatever an older list says. Gone ends it, unless that is advice: then one that has served leaves with its
// first strike. Guards against lists that are old or short of live workers, for one attempt at one truly gone.
func (d *Dispatcher) believe(w *worker, said WorkerState) {
	w.unlisted = said == Gone
	switch {
	case said == Draining:
		w.State = Draining
	case said == Gone && w.State == Ready && !d.s.Rules.GoneIsAdvice:
		d.drop(w)
	}
}

// reorder sorts the fleet and fills the blocks once the list has changed or a job was learned
// from. Its cost grows with the fleet, so it may not act for each request.
func (d *Dispatcher) reorder() {
	if !d.stale && d.learned <= len(d.fleet)/sortPace || d.now < d.ordered && len(d.fleet) > 0 {
		return
	}
	d.ordered, d.learned = d.now+d.s.Classes[d.s.First].Aim*time.Duration(1+len(d.fleet)/(4*sortPace)), 0
	changed := d.stale
	if d.stale, d.freed = false, d.freed || changed; changed {
		d.fleet = slices.AppendSeq(d.fleet[:0], maps.Values(d.workers))
		d.fleet = slices.DeleteFunc(d.fleet, func(w *worker) bool {
			return !w.ready() || w.unlisted && (w.strikes > 0 || w.lived == 0) && !d.outage()
		})
		slices.SortFunc(d.fleet, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	maps.DeleteFunc(d.keys, func(_ uint64, k demand) bool { return d.now-k.Last > 2*d.s.Rules.Cold })
	best := slices.Clone(d.fleet)
	// Weighted rendezvous hashing: each dispatcher (or party) has its own order, heads spread by capacity.
	// With few dispatchers speed decides; of those who chose a worker alike, late starts make some leave.
	sharp := float64(len(d.fleet)) / float64(d.s.Dispatchers)
	for _, w := range best {
		if d.doubted(w) && d.now >= w.retryAt {
			w.probes++
			d.judge(w, maxStrikes)
			w.retryAt = d.now + d.backoff(d.s.Rules.FallWindow, min(w.probes, maxStrikes))
			d.do(Probe{Worker: w.ID})
		}
		own, slow, size := uniform(uint64(w.ID), uint64(d.party())+1), d.slowness(w), 1.0
		if d.s.Rated && w.Rating > 0 {
			size = w.Rating
		} else {
			slow *= 1 + 1/sharp
		}
		w.rank = -math.Log(own) * math.Exp(sharp*slow+w.late.Share) / size
	}
	slices.SortStableFunc(best, func(a, b *worker) int { return cmp.Compare(a.rank, b.rank) })
	d.fill(best, changed)
	density := func(q int) float64 { // of an odd queue, whose requests are late, what that leaves
		c := d.classes[q/2]
		return c.Worth * math.Pow(c.LateWorth, float64(q%2)) / c.mean()
	}
	slices.SortStableFunc(d.order, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
}

func (d *Dispatcher) arrive(q Request) {
	if d.requests[q.ID] != nil || q.Class < 0 || q.Class >= len(d.classes) {
		return
	}
	c := d.classes[q.Class]
	q.Slots = cmp.Or(max(q.Slots, 0), 1)
	r := &request{Request: q, c: c, arrived: d.now, due: d.now + q.Budget}
	// A client's later try has less time left: its aim began with the first. Unmarked, one with
	// most of the time gone is rather a client in a hurry, who would be taken for late at once.
	c.budget = max(c.budget, q.Budget)
	if gone := c.budget - q.Budget; q.Repeat || !d.s.MarksRetries && gone <= c.budget/2 {
		r.arrived -= gone
	}
	r.limit = min(r.arrived+c.Aim, r.due)
	d.requests[q.ID], r.over = r, d.overShare(q.Tenant)
	d.taken = append(d.taken, d.now)
	d.live = append(d.live, r)
	if k := d.keys[q.Key]; q.Key != 0 {
		if len(d.keys) == 0 {
			d.stale, d.ordered = true, 0
		}
		k.bump(d.now, d.s.Rules.Cold)
		d.keyed.bump(d.now, d.s.Rules.Cold)
		d.keys[q.Key] = k
	}
	d.tokens = min(mostTokens, d.tokens+d.admitted)
	d.freed = d.freed || q.Held // what it finds others of its class do not
	d.hold(r, false)
	if d.s.Limits.Open <= 0 || len(d.requests) <= d.s.Limits.Open {
		return
	}
	for _, q := range slices.Backward(d.order) { // bounded: of what was never sent, the least worth makes room
		for i, o := range slices.Backward(d.queues[q]) {
			if o.held && o.queue == q && len(o.attempts) == 0 {
				d.queues[q] = slices.Delete(d.queues[q], i, i+1) // or it would wait there behind all that is held
				d.answer(o)
				return
			}
		}
	}
}

// overShare tells whether a request is beyond its tenant's share, by chance as often as the
// tenant's traffic here is. More traffic of all tenants is this dispatcher's own larger part.
func (d *Dispatcher) overShare(tenant int) bool {
	if tenant >= len(d.tenants) || d.s.Tenants[tenant].Left {
		return false
	}
	d.tenants[tenant].bump(d.now, keyMemory)
	used := func(i int) float64 {
		part := d.s.Tenants[i].QuotaPerSecond / float64(d.s.Dispatchers) * keyMemory.Seconds()
		return certain(d.tenants[i].at(d.now, keyMemory)) / max(part, 1e-9)
	}
	var usage []float64
	for i := range d.tenants {
		if !d.s.Tenants[i].Left {
			usage = append(usage, used(i))
		}
	}
	slices.Sort(usage)
	return d.rng.Float64()*used(tenant) > max(1, shareSlack*usage[len(usage)/2])
}

// crowded takes whether a request was not started soon. While many are not, wherever, only a part of the
// first attempts is let out, the most worth first: ceilings of a job or two cannot show overload.
func (d *Dispatcher) crowded(yes bool) {
	if yes {
		d.admitted = max(leastAdmitted, d.admitted*admitCut)
	} else {
		d.admitted = min(1, d.admitted+admitStep)
	}
	d.note(&d.shedding, d.admitted < 0.5, "workers are crowded: under half of the requests are let out",
		"workers are no longer crowded")
}

// hold queues a request here: it can still move, which it cannot at a worker.
func (d *Dispatcher) hold(r *request, front bool) {
	if r.held || r.done {
		return
	}
	r.held, r.queue, r.looked = true, 2*r.Class, 0
	if d.now >= r.limit || r.over {
		r.queue++
	}
	if q := &d.queues[r.queue]; front {
		*q = slices.Insert(*q, 0, r)
	} else {
		*q = append(*q, r)
	}
}

// drain places held requests, the most worth per run time first.
func (d *Dispatcher) drain() {
	d.reorder()
	d.lookAgain(looksPerStep)
	for _, q := range d.order {
		if d.classes[q/2].stuck {
			continue // the last of its requests found no valid worker, and nothing has changed
		}
		n := 0
		for i, r := range d.queues[q] {
			if !r.held || r.queue != q {
				continue // answered or moved to the late queue
			}
			first := len(r.attempts) == 0 && d.admitted < 1
			waits := first && d.tokens < 1 && r.c.Worth <= muchWorth*d.worth() // else the others pay
			if w := d.look(r, waits); w != nil && d.send(r, w) {
				if r.held = false; first {
					d.tokens = max(-mostTokens, d.tokens-1)
				}
				continue
			}
			if r.c.followup == Fail && r.out == 0 && d.now >= r.retryAt {
				d.answer(r)
				continue
			}
			d.queues[q][n] = r
			n++
			if d.byKey(r) || len(r.Order) > 0 || d.now < r.retryAt {
				continue // the next has another key or order and so other workers
			}
			r.c.stuck = len(r.attempts) == 0
			if r.c.stuck || n >= d.s.Limits.Attempts { // the rest would find the same workers invalid
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
	if d.closed(r) {
		return nil
	}
	d.shun()
	// While connecting takes long, a move costs more than a queue, but to an open connection.
	d.openOnly = r.out > 0 && d.setup() > d.grace(r, nil)
	for _, id := range r.Order { // of whoever routed it; the rules hold all the same
		if w := d.workers[id]; w != nil && d.valid(r, w, Invalidate{Rule: Overload}) {
			return w
		}
	}
	if w := d.firstJob(r); w != nil || len(r.Order) > 0 {
		return w
	}
	keyed := d.byKey(r)
	for i, b := range r.c.blocks {
		if b.ByKey && !keyed {
			continue
		}
		if b.ByKey && i > 0 && !d.crosses(r, r.c.blocks[i-1], b) {
			return nil
		}
		if w := d.walk(b, r); w != nil {
			return w
		}
		if last := i+1 == len(r.c.blocks) || !r.c.blocks[i+1].ByKey; b.ByKey && last {
			return nil // held for those that keep what it needs
		}
	}
	if r.c.followup == Fail {
		return nil
	}
	return d.walk(r.c.deflt, r)
}

// byKey tells whether a request goes to the keepers of its key. To a job that runs for longer than the usual a fetch
// is little, and an even load more.
func (d *Dispatcher) byKey(r *request) bool {
	return r.Key > 0 && r.c.typical().Seconds() <= longRun*cmp.Or(d.usual(0), math.Inf(1))
}

// crosses tells whether a request may go on from the keepers of its own zone to those of all: where it finds the zone
// lost, or crossing has no price. Else a move there costs more than it brings on.
func (d *Dispatcher) crosses(r *request, from, to *block) bool {
	return d.s.Prices.CrossZone == 0 || !from.within(d.s.Zone) || to.within(d.s.Zone) || len(from.members) == 0 ||
		d.zone(d.s.Zone).shunned || r.any(func(a *attempt) bool { return a.neverRan || a.broke > 0 })
}

// walk returns the block's first valid worker in the order of its strategy.
func (d *Dispatcher) walk(b *block, r *request) *worker {
	n := len(b.members)
	if n == 0 {
		return nil
	}
	start, step, reach, crowd := 0, 1, n, 1
	var best *worker
	switch {
	case b.ByKey:
		start, _ = slices.BinarySearch(b.ring, hash(r.Key, 0))
		reach = d.keepers(r)
		crowd = min(reach, 1+(d.s.Dispatchers-1)/int(d.size(b.members[0]))) // more would overrun one
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
		if 2*w.strikes <= maxStrikes && !w.zone.shunned { // no more than full
			reach--
		}
	}
	return best
}

// keepers is how many workers along the ring a request may go to: one, and more the more of a worker its key's jobs
// fill. What a job needs is fetched where it lacks, which takes longer than a wait and pushes out what others need. Of a
// key's share the request itself tells nothing: among many dispatchers, each would call its keys hot.
func (d *Dispatcher) keepers(r *request) int {
	share := certain(d.keys[r.Key].at(d.now, d.s.Rules.Cold)-1) / max(1, d.keyed.at(d.now, d.s.Rules.Cold))
	wider := 0
	if d.held() <= len(d.fleet)/fewHeld { // others have room: a fetch there costs nobody his place
		wider = int(widen * float64(d.now-r.arrived) / float64(max(r.c.Aim, 1)))
	}
	rate := cmp.Or(d.agreed(), d.keyed.N/d.s.Rules.Cold.Seconds()*float64(d.s.Dispatchers))
	return 1 + wider + int(share*rate*cmp.Or(d.usual(0), r.c.mean())/keptSlots)
}

// lastResort ends the default tag's hold with its pick of a random healthy worker, full as it may be. It
// acts only while nothing else waits, and room is not told: then ceilings may be wrong, else it would only add to a queue.
func (d *Dispatcher) lastResort(r *request) *worker {
	if d.s.ReportsFree && !d.s.TellsStart || r.c.followup == Fail || len(r.attempts) > 0 || d.held() > 1 || d.waiting > 0 {
		return nil
	}
	return d.random(r.c.deflt, func(w *worker) bool {
		named := len(r.Order) == 0 || slices.Contains(r.Order, w.ID)
		return named && w.strikes == 0 && !d.forbidden(r, w)
	})
}

// valid applies a block's invalidate rule after its precondition.
func (d *Dispatcher) valid(r *request, w *worker, inv Invalidate) bool {
	refused := (d.now < w.refusals[r.Class].Until || r.c.Effect == Unsafe && d.now < w.wary) && !d.outage()
	if inv.Rule != CapacityUsed && !r.Held && d.full(w) || !w.ready() || refused || w.zone.shunned || d.openOnly && w.conns <= w.open {
		return false
	}
	// Unreachable, but for one trial at a time, of a job that can be repeated and has not been
	// one: where a whole zone is cut off, trials must not eat up its attempts.
	asked := d.doubted(w) && w.probes < freshProbes // and not yet tried
	trial := d.now >= w.retryAt && !asked && (len(r.attempts) == 0 && r.c.Effect != Unsafe || d.outage())
	if w.strikes > 0 && !trial {
		return false
	}
	if d.forbidden(r, w) || r.any(func(a *attempt) bool { // nor in a zone where it broke off, without life since
		return a.w == w && (!a.over || a.erred) || a.broke > w.zone.lived && a.w.zone == w.zone && len(d.zones) > 1
	}) {
		return false
	}
	if w.strikes > 0 || r.Held {
		return true // a trial, whatever ghosts are held against the worker, or its slots are kept for it
	}
	used, mem, size := d.load(w)
	switch inv.Rule {
	case CapacityUsed:
		return used*100 < inv.Threshold*size
	case MaxConcurrentInvocations:
		ceiling := math.Floor(*d.ceiling(w))
		if r.late && d.allTell() {
			ceiling-- // a late job leaves room for one in time
		} else if r.over {
			return used+r.Slots <= ceiling/2 // and one over its tenant's share more of it
		}
		return w.own+w.ghost+r.Slots <= inv.Threshold && used+r.Slots <= max(r.Slots, ceiling)
	}
	return used+r.Slots <= max(size, r.Slots) && (!d.s.ReportsFree || mem+r.Memory <= max(size, r.Memory))
}

// doubted tells whether a worker may be a ghost, of a list that is not ours: it never showed life, and first jobs
// at such came to nothing. It is probed, and gets trials once some probes went unanswered.
func (d *Dispatcher) doubted(w *worker) bool {
	return w.lived == 0 && d.served && d.s.Limits.Probes && d.fresh.Share > freshDoubt
}

// probed takes the answer. It proves a worker in doubt; it is no verdict on one whose jobs tell more.
func (d *Dispatcher) probed(e Probed) {
	if w := d.workers[e.Worker]; w != nil {
		d.report(w, e.Report)
		if e.Outcome == OK && w.lived == 0 {
			d.judge(w, 0)
			w.lived, d.freed = d.now, true
		}
	}
}

// shun draws the zones whose workers are invalid for one pick: the more often the more of the
// attempts there fare worse than in the best zone, by more than four prices of crossing.
func (d *Dispatcher) shun() {
	best := math.Inf(1)
	for _, z := range d.zones {
		best = min(best, z.bad.Share)
	}
	for _, z := range d.zones {
		excess := z.bad.Share - best - max(zoneMargin, 4*d.s.Prices.CrossZone)
		z.shunned = excess > 0 && d.rng.Float64() < 2*excess
	}
}

// outage tells whether no worker is trusted: then the least bad must do.
func (d *Dispatcher) outage() bool { return d.trusted <= 0 }

// load is a worker's slots and memory in use, as far as known here, and its size for this dispatcher.
func (d *Dispatcher) load(w *worker) (used, mem, size float64) {
	used, mem = d.inUse(w)
	size = cmp.Or(w.slots, d.kind(w.Kind).Slots) // one not heard of yet is as large as its kind
	if size == 0 || d.s.TellsStart {
		return used, mem, math.Floor(*d.ceiling(w))
	}
	return used, mem, max(1, math.Floor(size*d.warmth(w)))
}

// unseen tells whether jobs of others may fill a worker unseen: no start notes, and not all tell.
func (d *Dispatcher) unseen() bool { return !d.s.TellsStart && d.parties() > 1 }

// closed tells whether a request may not be sent to any worker.
func (d *Dispatcher) closed(r *request) bool {
	return r.done || r.streaming || r.sent() >= d.s.Limits.Attempts || d.now >= r.due || // rule 1
		r.out > 0 && !d.s.Limits.SecondCopies || r.sent() > 0 && !d.affordable() // rule 5
}

// forbidden is the gate of the rules on sending: every attempt passes it.
func (d *Dispatcher) forbidden(r *request, w *worker) bool {
	if d.closed(r) || !w.ready() || d.withheld(r, w) { // rule 3: nothing new once told that it drains or is gone, or left out by hand
		return true
	}
	for _, a := range r.attempts { // rule 2: an earlier attempt that may have run binds the next
		if a.neverRan || r.c.Effect == Safe {
			continue
		}
		if r.c.Effect == Unsafe || d.now-a.sent >= r.c.Window ||
			r.c.Scope == ScopeZone && a.w.Zone != w.Zone || r.c.Scope == ScopeCell && a.w.Cell != w.Cell {
			return true
		}
	}
	return d.warmth(w) < 1 && (d.now < w.coldNext || !d.coldTurn(w, r)) && d.lease(r, w) == 0 // rule 4; most are not due: first, it is cheap
}

// affordable tells whether the budget allows one more attempt beyond a first (move, retry or copy), in any
// window that ends now. Where no rule sets it, it keeps retries from becoming most of the load.
func (d *Dispatcher) affordable() bool {
	d.extras, d.taken = since(d.extras, d.now-d.budget.Span), since(d.taken, d.now-d.budget.Span+1)
	return float64(len(d.extras)+1) <= d.budget.Spare+d.budget.PerRequest*float64(len(d.taken))
}

// coldAt is when this dispatcher's share of a cold worker's budget, from a time on, has come to so many slot
// seconds: it grows at the worker's size by its warmth.
func (d *Dispatcher) coldAt(w *worker, from time.Duration, work float64) time.Duration {
	rate, least := d.plan(w)*d.part(), d.s.Rules.ColdFrom
	grows, now := (1-least)/d.s.Rules.Cold.Seconds(), d.s.Rules.warmth(from-w.Started)
	return from + max(d.step(), time.Duration((math.Sqrt(now*now+2*grows*work/rate)-now)/grows*float64(time.Second)))
}

// coldTurn tells whether a cold worker may have a job from here: in turns from the start that the list tells, lest all
// send when they hear of it. Unused they lapse, lest they burst. A job longer than a turn is for waits until two fit the
// plan, and has a turn as much more seldom: among many dispatchers, no later turn of the same one makes up for it.
func (d *Dispatcher) coldTurn(w *worker, r *request) bool {
	place, n := d.turns()
	half, window := d.s.Rules.Cold/2, d.s.Rules.FallWindow // by half the time to warm up each has had a turn:
	two := d.plan(w) * d.warmth(w) * window.Seconds() / 2
	used := min(1, float64(d.takenSince(d.now-2*window)-1)) // part of the turns: where requests are few, most lapse
	unit := min(d.longest(), max(d.pace().Seconds(), used*d.usualUpTo(two), d.plan(w)*d.part()*half.Seconds()*d.s.Rules.warmth(half/2)))
	if w.coldNext == 0 {
		turn := float64((hash(uint64(w.ID), uint64(w.Started))+uint64(place))%uint64(n)) + 0.5
		w.coldNext = d.coldAt(w, w.Started, unit*turn/float64(n))
		if w.owed {
			w.coldNext = min(w.coldNext, w.Started+time.Duration(float64(owedWithin)*turn/float64(n)))
		}
	}
	for d.now-w.coldNext > window && !w.owed {
		w.coldNext = d.coldAt(w, w.coldNext, unit)
	}
	work, luck := r.Slots*r.c.wary(), uniform(hash(uint64(w.ID), uint64(w.coldNext)), uint64(place))
	fits := work <= max(two, coldLength*unit) && (w.owed || work*used*luck <= coldLength*unit)
	return d.now >= w.coldNext && place >= 0 && fits
}

// send starts an attempt if the gate lets it.
func (d *Dispatcher) send(r *request, w *worker) bool {
	if d.forbidden(r, w) {
		return false
	}
	a := &attempt{w: w, sent: d.now, note: d.now, gated: r.Gated}
	fresh := r.c.Effect == Unsafe && d.now < d.silent // on a silent connection it would be lost
	d.connect(r, a, fresh)
	lease := d.spend(r, w)
	d.do(Send{Request: r.ID, Worker: w.ID, MostIdle: d.idleLimit(r.c.Effect), Fresh: fresh, Lease: lease})
	if a.extra = r.sent() > 0; a.extra {
		d.extras = append(d.extras, d.now)
	}
	r.attempts = append(r.attempts, a)
	r.out++
	w.own, w.mem = w.own+r.Slots, w.mem+r.Memory
	d.moved, w.owed = true, false
	if w.strikes > 0 {
		w.retryAt = d.now + d.backoff(d.pace(), w.strikes)
	}
	if d.warmth(w) < 1 && lease == 0 {
		w.coldNext = d.coldAt(w, max(w.coldNext, d.now-d.s.Rules.FallWindow), r.Slots*r.c.wary())
	}
	return true
}

// connect foresees which connection an attempt will go out on. Idle ones may be dropped unseen: one idle for
// an age at which sends fail is closed first, but now and then a repeatable job shows if they still do.
func (d *Dispatcher) connect(r *request, a *attempt, fresh bool) {
	w := a.w
	a.idle = d.now - w.freed
	if idle := w.conns > w.open; idle && d.s.Limits.ConnIdle > 0 && a.idle >= d.s.Limits.ConnIdle {
		w.conns = w.open
	} else if idle && d.dropped(a.idle, r.c.Effect) && (r.c.Effect == Unsafe || d.rng.IntN(recheck) > 0) {
		d.do(Release{Worker: w.ID})
		w.conns = w.open
	}
	w.open++
	if a.fresh = fresh || w.open > w.conns; a.fresh {
		w.conns, a.idle = max(w.conns, w.open), 0
	}
}

// idleLimit is how long a connection that is used may have been idle. Some drop idle ones unseen, long before the time
// in the settings: what broke halves the limit for all, it grows back, and repeatable jobs try first how far.
func (d *Dispatcher) idleLimit(effect Effect) time.Duration {
	grown := float64(d.mostIdle) * math.Exp2((d.now-d.idleAt).Seconds()/(idleDouble*max(d.s.Rules.FallWindow, 1).Seconds()))
	if effect == Unsafe {
		grown /= 2
	}
	return max(1, time.Duration(min(grown, float64(d.s.Limits.ConnIdle*3/5))))
}

// broke takes that a kept connection broke under a request: of what is dropped unseen, not of its worker.
func (d *Dispatcher) broke(idle time.Duration) {
	d.mostIdle, d.idleAt = min(d.idleLimit(Safe), idle)/2, d.now
}

// dropped tells whether sends on connections idle for so long, or for less, fail more often than on young
// ones (other troubles strike at any age). For an unsafe job an unknown age counts as one that fails.
func (d *Dispatcher) dropped(idle time.Duration, effect Effect) bool {
	k, young, most := d.ageOf(idle), d.ages[0].Share, 0.5
	if effect == Unsafe {
		most = unsafeShare
	}
	return k > 0 && effect == Unsafe && d.ages[k].N == 0 || slices.ContainsFunc(d.ages[1:k+1],
		func(t tally) bool { return t.Share > young+(1-young)*most })
}

// answer is the gate of final answers: a refusal where it is harmless, else a failure, only once.
func (d *Dispatcher) answer(r *request) {
	if r.done || r.streaming {
		return
	}
	if !r.any(func(a *attempt) bool { // harmless
		again := r.c.Effect == Safe || r.c.Effect == Keyed && r.c.Scope == ScopeAll && d.now-a.sent < r.c.Window
		return !a.neverRan && !again
	}) {
		after := time.Duration(0)
		if d.s.Limits.RetryAfter && (r.errs > 1 || len(r.attempts) == 0) { // else another try may fare better
			after = min(d.s.Limits.MaxRetryAfter, d.backoff(r.c.Aim, 1))
		}
		d.do(Refuse{Request: r.ID, RetryAfter: after})
	} else {
		d.do(FailRequest{Request: r.ID})
	}
	d.close(r)
}

// close ends a request here and calls off what is still out.
func (d *Dispatcher) close(r *request) {
	r.done, r.held = true, false
	for i, a := range r.attempts {
		if !a.over && d.s.Limits.Cancel && !r.streaming {
			d.do(Cancel{Request: r.ID, Attempt: i})
		}
	}
	if r.out == 0 {
		delete(d.requests, r.ID)
	}
}

// grace is how long an attempt may take to start before it is taken to queue.
func (d *Dispatcher) grace(r *request, a *attempt) time.Duration {
	g := d.s.Granularity + time.Duration(promptShare*float64(r.c.Aim))
	if a != nil {
		if g += a.w.lead; a.fresh {
			g += d.setup()
		}
	}
	return g
}

// begun takes word that an attempt runs: the best sign of whether it queued.
func (d *Dispatcher) begun(r *request, a *attempt) {
	if a.started {
		return
	}
	a.started, a.note, a.begun = true, d.now, d.now
	w := a.w
	w.running += r.Slots
	if !d.s.TellsStart {
		return
	}
	// After a stall of our own the delay is an upper bound and no sign of queueing.
	delay := d.now - a.sent
	d.fared(a, delay-d.late > r.c.Aim/2)
	d.crowded(d.now-r.attempts[0].sent-d.late > r.c.Aim)
	prompt := delay-d.late <= d.grace(r, a)
	if d.s.Rules.warmth(a.sent-w.Started) >= 1 { // what was late at a cold one says nothing of it warm: few would go back
		w.late.add(!prompt, lateMemory)
	}
	d.sawStart(a, delay-d.late)
	if prompt {
		if !a.fresh && (w.lead == 0 || delay < w.lead) {
			w.lead = delay
		}
		if used, mem, size := d.load(w); used+r.Slots > size || d.s.ReportsFree && mem+r.Memory > size { // another such would not fit
			*d.ceiling(w) += ceilingStep
		}
	} else if !a.queued || d.allTell() { // lowered when it was seen to queue
		d.lower(w)
	}
	d.kind(w.Kind).Slots = max(d.kind(w.Kind).Slots, w.running)
	d.alive(w)
}

// ceiling is what a worker may hold. Where all dispatchers tell each other of their load it is
// one for all workers of a kind, of all their jobs; else each worker's, of our own jobs.
func (d *Dispatcher) ceiling(w *worker) *float64 {
	if d.allTell() {
		return &d.kind(w.Kind).Ceiling
	}
	return &w.ceiling
}

// allTell is whether all dispatchers hear of each other's load.
func (d *Dispatcher) allTell() bool { return d.tells() && d.parties() == 1 }

// lower cuts a worker's ceiling to what it runs for this dispatcher; if that is nothing, below one slot, to earn back.
func (d *Dispatcher) lower(w *worker) {
	if d.allTell() {
		k := d.kind(w.Kind)
		k.Ceiling = max(firstCeiling, k.Slots, k.Ceiling-ceilingStep)
	} else if w.running > 0 {
		w.ceiling = min(w.ceiling, w.running)
	} else {
		w.ceiling = max(leastCeiling, min(w.ceiling, 1)/2)
	}
}

// strike lowers a worker's health, by silence, refusals, failed connections, resets and queueing alike.
func (d *Dispatcher) strike(w *worker) {
	d.lower(w)
	if d.now < w.retryAt {
		return // one episode
	}
	d.judge(w, min(w.strikes+1, maxStrikes))
	w.retryAt = d.now + d.backoff(d.pace(), w.strikes)
}

// judge sets a worker's strikes and keeps the count of those that are trusted.
func (d *Dispatcher) judge(w *worker, strikes int) {
	if listed := d.workers[w.ID] == w && w.ready(); listed && (w.strikes > 0) != (strikes > 0) {
		if d.trusted++; strikes > 0 {
			d.trusted -= 2
		}
	}
	w.strikes = strikes
	d.stale = d.stale || w.unlisted
	d.note(&w.suspect, 2*strikes > maxStrikes, "worker %d suspected", "worker %d readmitted", w.ID)
}

// refused takes a worker's word that it is full: no more of that class for a while. Said at once it speaks
// of the whole worker, slowly perhaps of the class: guards against throttles, quotas, false refusals.
func (d *Dispatcher) refused(r *request, a *attempt) {
	f := &a.w.refusals[r.Class]
	f.N = min(f.N+1, maxStrikes)
	f.Until = d.now + d.backoff(r.c.Aim, f.N)
	if d.now-a.sent-d.late <= d.grace(r, a) {
		d.crowded(true)
		d.strike(a.w)
	}
}

// erred takes whether a job ended in an error, which bars its class there for a while where errors of the class come
// more often than elsewhere: not for requests that fail wherever they go, and whatever else the worker starts well.
// What may fail but once waits, from the first error on, until jobs have fared well there again.
func (d *Dispatcher) erred(w *worker, c int, yes bool) {
	w.errs[c].add(yes, errMemory)
	w.bad.add(yes, errMemory)
	d.classes[c].errs.add(yes, 8*errMemory)
	d.bad.add(yes, 8*errMemory)
	if yes && w.errs[c].Share > d.classes[c].errs.Share+errMargin {
		f := &w.refusals[c]
		f.N = min(f.N+1, maxStrikes)
		f.Until = d.now + d.backoff(d.classes[c].Aim, f.N)
	}
	if w.bad.Share <= d.bad.Share+waryMargin {
		w.wary = 0
	} else if yes {
		w.wary = d.now + d.longestDeadline()
	}
}

// alive takes a sign of life.
func (d *Dispatcher) alive(w *worker) {
	d.moved = d.moved || w.ghost > 0
	w.ghost, w.lived, w.zone.lived, d.served = 0, d.now, d.now, true
	w.retryAt, d.freed = d.now, true
	if w.strikes > 0 {
		d.judge(w, w.strikes/2)
	}
}

// ended takes an attempt's outcome.
func (d *Dispatcher) ended(e AttemptEnded) {
	r, a := d.attempt(e.Request, e.Attempt)
	if a == nil {
		return
	}
	w := a.w
	if w.lived == 0 && e.Outcome != Moot && e.Outcome != Cancelled {
		d.fresh.add(e.Outcome != OK, freshMemory)
	}
	a.over, a.neverRan, a.erred = true, e.Outcome.NeverRan(), e.Outcome == Errored
	d.report(w, e.Report) // which still counts this attempt
	r.out--
	w.own, w.mem = w.own-r.Slots, w.mem-r.Memory
	d.freed, d.moved = d.freed || e.Outcome != Moot || r.done, true
	if a.started {
		w.running -= r.Slots
	}
	kept := e.Kept > 0 && e.Outcome == Reset && !a.started && a.note == a.sent
	if a.idle = cmp.Or(e.Kept, a.idle); kept {
		d.broke(e.Kept)
	}
	d.judgeConn(r, a, e.Outcome)
	if e.Outcome != Cancelled && e.Outcome != Moot {
		d.fared(a, e.Outcome != OK && !a.started && !kept)
	}
	switch e.Outcome {
	case OK:
		w.refusals[r.Class].N /= 2
		d.erred(w, r.Class, false)
		d.learn(r, a)
		d.alive(w)
	case TimedOut, Cancelled:
		// At a worker that is not trusted it goes on occupying its slots: a hung one must not earn room by
		// failing. The next sign of life frees them; without a strike no trial would follow.
		if e.Outcome == TimedOut {
			d.strike(w)
		}
		if w.strikes > 0 {
			w.ghost += r.Slots
		}
	case Full:
		d.refused(r, a)
	case Errored:
		r.errs++
		d.erred(w, r.Class, true)
	case ConnectFailed, Reset:
		if !kept {
			a.broke = d.now
			d.strike(w)
		}
	case Moot: // never sent: it does not count, and the next waits for longer than the last
		if i := slices.Index(d.extras, a.sent); i >= 0 && a.extra {
			d.extras = slices.Delete(d.extras, i, i+1)
		}
		r.unsent++
		r.retryAt = d.now + d.step()*time.Duration(min(mostPause, 1<<min(r.unsent-1, maxStrikes)))
	}
	switch {
	case r.done:
		if r.out == 0 {
			delete(d.requests, r.ID)
		}
	case e.Over:
		r.streaming = false
		d.close(r)
	case r.out == 0:
		d.again(r)
	}
}

// spent tells whether a request has no permitted attempt left: it is given up at once, not held. One
// that failed at two workers fails wherever it goes, and is not to use up the budget of others.
func (d *Dispatcher) spent(r *request) bool {
	return r.sent() >= d.s.Limits.Attempts || r.errs > 1 || r.any(func(a *attempt) bool {
		return !a.neverRan && (r.c.Effect == Unsafe || r.c.Effect == Keyed && d.now-a.sent >= r.c.Window)
	})
}

// again holds a request whose attempts have all ended, if it may go out once more.
func (d *Dispatcher) again(r *request) {
	if d.spent(r) || r.sent() > 0 && !d.affordable() {
		d.answer(r)
		return
	}
	d.hold(r, true)
}

// learn takes the run time of an attempt that was served.
func (d *Dispatcher) learn(r *request, a *attempt) {
	from := a.sent
	if a.started && d.s.TellsStart {
		from = a.begun
	}
	run := max((d.now - from).Seconds(), 1e-4)
	c, w := r.c, a.w
	d.learned++
	c.took(run)
	if !d.s.TellsStart { // the end must say what the start would have
		if d.crowded(false); run > c.Aim.Seconds()+c.Stretch*c.typical().Seconds() {
			*d.ceiling(w) = max(firstCeiling, *d.ceiling(w)-ceilingStep)
		} else if w.own+2*r.Slots > math.Floor(*d.ceiling(w)) {
			*d.ceiling(w) += endStep
		}
	}
	d.deviates(c, w, run)
}

// sweep looks at everything that time alone changes.
func (d *Dispatcher) sweep() {
	if d.asked > 0 && d.now >= d.asked {
		d.asked, d.called = 0, d.now
		d.do(Subscribe{})
	}
	if d.s.Limits.PeerMessages && d.now-d.peersAt >= d.tellEvery() {
		d.peersAt = d.now
		for _, p := range d.peers {
			if d.now-p.heard >= 3*d.tellEvery() {
				d.forget(p)
			}
		}
	}
	n, waiting, running, jam := 0, 0, 0, d.s.TellsStart && d.s.Limits.Cancel && d.waiting > d.running
	for _, r := range d.live {
		if r.done {
			continue
		}
		for _, a := range r.attempts {
			if !a.over && a.queued && !a.started {
				waiting++
			} else if !a.over && a.started {
				running++
			}
		}
		d.live[n] = r
		n++
		due := d.now+max(2*d.step(), min(d.stall, r.Budget/4), r.Budget/answerMargin) >= r.due // rule 1: in time
		if !r.streaming && (due || r.held && r.out == 0 && len(r.attempts) > 0 && d.spent(r)) {
			d.answer(r)
			continue
		}
		d.watch(r)
		waits := jam && !r.any(func(a *attempt) bool { return !a.over && (a.started || !a.queued) })
		if !r.held && waits && !r.Patient && d.now >= r.limit+r.lasts() && r.c.LateWorth == 0 {
			// Queued and too late to be worth anything: guards against queues that only make late
			// answers. What cannot be called off would run all the same, and again for the next try.
			d.answer(r)
			continue
		}
		if r.held && d.now >= r.limit && !r.late { // once: it is not held anew at each sweep
			r.held, r.late = false, true
			switch w := d.lastResort(r); {
			case w != nil && d.send(r, w):
			case r.c.LateWorth > 0 || r.Patient:
				d.hold(r, false)
			default:
				d.answer(r)
			}
		}
	}
	clear(d.live[n:])
	d.live, d.waiting, d.running = d.live[:n], waiting, running
	d.note(&d.crowd, waiting > running, "jobs queue at the workers: late ones are called off",
		"jobs no longer queue at the workers")
	d.note(&d.dark, len(d.fleet) > 0 && d.outage(), "no worker is trusted: the least bad are tried",
		"some workers are trusted again")
}

// watch looks for attempts that queue or stand still, and moves what may be moved.
func (d *Dispatcher) watch(r *request) {
	for i, a := range r.attempts {
		if a.over || a.gated || r.streaming {
			continue
		}
		// Confirmations come at once or never: then the connection has gone silent, whatever else its worker
		// does. What can be repeated goes elsewhere; this says nothing of the worker.
		unconfirmed := d.confirms && !a.taken && !a.started && d.now-a.sent-d.late > r.confirmWithin()+d.setup()
		if unconfirmed && !a.fresh && a.w.lived > a.sent {
			d.silent = d.now + d.s.Limits.ConnIdle // others of its time may be silent too
		}
		if unconfirmed && !a.lost && r.c.Effect == Safe && d.s.Limits.Cancel && !d.spent(r) {
			a.lost = true
			d.do(Cancel{Request: r.ID, Attempt: i})
			continue
		}
		hung := d.now-a.sent-d.late > max(r.c.Aim, hungRuns*r.c.typical()+hungStarts*d.usualStart()) && a.w.lived < a.sent // no life since
		if d.s.TellsStart && !a.started && d.now-a.sent > d.grace(r, a) {
			first := !a.queued
			if a.queued = true; first {
				d.sawSetup(a, 2*(d.now-a.sent)) // at least so long
				// What a job with a key needs is fetched elsewhere; among many, who meet it seldom, its queue is others'.
				a.stays = !d.movable(r) || r.Key > 0 && (r.c.Effect != Safe || d.s.Dispatchers <= len(d.fleet))
			}
			if full := first && !d.allTell(); hung || full && !a.stays {
				d.strike(a.w)
			} else if full {
				d.lower(a.w) // at once: it may stand still, and would be sent more until one has run
			}
			if a.stays && !hung {
				continue // a queue is no ill health
			}
			if w := d.pick(r); w != nil && d.s.Limits.Cancel && d.send(r, w) {
				d.do(Cancel{Request: r.ID, Attempt: i})
			}
			return
		}
		standing := d.s.Progress > 0 && (a.started || !d.s.TellsStart) && float64(d.now-a.note) > progressSlack*float64(d.s.Progress)
		// It may queue behind jobs of others unseen: a copy that starts at its aim still ends in time.
		unheard := d.unseen() && a.note == a.sent && r.c.Effect == Safe && d.now-a.sent > r.c.Aim
		if hung && !a.queued && !d.s.TellsStart && a.w.lived == 0 {
			d.fresh.add(true, freshMemory)
		}
		a.queued = a.queued || hung
		if standing || hung {
			d.strike(a.w)
		}
		if (standing || unheard || hung) && r.out == 1 {
			if w := d.pick(r); w != nil {
				d.send(r, w)
			}
			return
		}
	}
}

// movable tells whether one more job that queues is to be moved. Nobody tells whether its worker then drops it: where it does
// not, both run and more queue. So few are, of those that late are of use or waited for where they are; else it is that or nothing.
func (d *Dispatcher) movable(r *request) bool {
	return d.affordable() && (r.c.LateWorth == 0 && !r.Patient || float64(len(d.extras)+1) <= moveShare*float64(len(d.taken)))
}

// tells is whether load is told at all: where starts are told, a part of the others' would say
// less than ceilings do, and would cost more messages than there are jobs.
func (d *Dispatcher) tells() bool {
	return d.s.Limits.PeerMessages && d.s.Dispatchers > 1 && (!d.s.TellsStart || d.parties() == 1)
}

// tell sends the peers this dispatcher's load on each worker: what has changed, all of it now and then.
// With more dispatchers than a few, only its party, which uses the same workers first.
func (d *Dispatcher) tell() {
	if !d.tells() {
		return
	}
	whole := d.toldAll == 0 || d.now-d.toldAll >= d.tellEvery()
	if !whole && !d.moved {
		return
	}
	body := d.loads(whole)
	if !whole && len(body) == 1 {
		return
	}
	if d.s.Dispatchers <= partySize {
		d.do(TellPeers{To: Any, Body: body})
		return
	}
	for n := d.party(); n < d.s.Dispatchers; n += d.parties() {
		if n != d.s.Dispatcher {
			d.do(TellPeers{To: n, Body: body})
		}
	}
}
