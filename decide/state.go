package decide

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// class is a class of requests with its policy and what was learned of its jobs.
type class struct {
	Class
	meanRun, meanLogRun, jobs float64       // mean run and mean log run, in seconds, and their weight
	typicalRun                time.Duration // cached result of typical
	typicalOf                 float64       // the meanLogRun that typicalRun was computed from
	blocks                    []*block
	defaultBlock              *block // for the followup Default: all ready workers of the kind, strategy platform
	followup                  Followup
	maxBudget                 time.Duration // the longest budget seen, assumed to be that of a first attempt by the client
	stuck                     bool          // no worker is valid for its requests in this round
	errors                    tally         // share of jobs, at all workers, that ended in an error
}

// block is a block of a policy with the workers it selects.
type block struct {
	Block
	members []*worker // in the order of the strategy
	ring    []uint64  // hash ring positions of the members; only for a block by key
}

// worker is one process of a worker, as this dispatcher sees it.
type worker struct {
	Worker
	ownSlots, ownMemory           float64       // slots and memory of this dispatcher's outstanding attempts
	runningSlots                  float64       // slots of the outstanding attempts known to run
	abandoned                     float64       // slots of attempts given up on; they count as used until its next sign of life
	ceiling                       float64       // learned max_concurrent_invocations for this dispatcher
	foreignSlots                  float64       // load of dispatchers that share no load with this one, by the last report
	foreignAt                     time.Duration // when foreignSlots was set
	foreignUnsent                 bool          // the peers have not received foreignSlots yet
	learnedSize                   float64       // slots, 0 when not known
	failures                      int           // consecutive failures, halved by a sign of life; 0: trusted, else untrusted, above maxFailures/2 also suspect
	retryAt                       time.Duration // when an untrusted worker may get the next trial
	lastAlive                     time.Duration // last sign of life (see recordLife), or the first answered probe
	probes                        int           // sent while the worker is unproven (see unproven)
	minStartDelay                 time.Duration // least delay from sending to start, 0 when none is known
	logDeviation, deviationWeight float64       // sum and weight of the log run times' deviation from the class's mean
	nextColdSend                  time.Duration // while cold: this dispatcher's next turn
	leases                        []Lease       // while cold: they allow sends out of turn
	leaseAskedAt                  time.Duration // when a lease was last asked for
	suspect                       condition
	classBars                     []classBar    // by class
	lateStarts                    tally         // share of starts that came late
	classErrors                   []tally       // by class: share of jobs that ended in an error
	errors                        tally         // the same of all classes together
	unsafeBarredUntil             time.Duration // no unsafe jobs before
	zone                          *zoneStat
	sentLoad                      [2]uint8 // load last sent to the peers
	peerLoad                      *loadSum // load that the peers report
	lastListed                    int      // number of the last list that named it
	unlisted                      bool     // the last list left it out or called it gone
	cordoned                      bool
	firstJobDue                   bool    // uncordoned and not used since
	rank                          float64 // sort key in blocks; the lowest goes first
	isFull                        bool    // no request finds room here, as of batch fullInBatch
	fullInBatch                   int
	reservations                  []Reservation // as of the last WorkerReservations
	reservableSlots               float64       // the worker's slots, as given with the reservations
	// Connections as predicted here: in use by attempts, open, and when one was last freed.
	connsInUse, conns int
	connFreedAt       time.Duration
}

// classBar bars a class from a worker after refusals or errors.
type classBar struct {
	Doublings int           `json:"N"` // doublings of the backoff
	Until     time.Duration `json:"Until"`
}

// attempt is one sending of a request to a worker.
type attempt struct {
	worker             *worker
	sentAt, lastReport time.Duration // lastReport: when the worker last reported on it, at first sentAt
	startedAt          time.Duration
	ended, neverRan    bool
	errored            bool
	brokeAt            time.Duration // when connecting failed or the connection broke
	started, queued    bool          // queued: taken to wait in its worker's queue
	stays              bool          // queued, and not to be moved to another worker
	gated              bool          // it waits for permission to go out: no worker has it
	extra              bool          // it counts for the budget of further attempts
	accepted, connLost bool          // confirmed by the worker; cancelled because its connection carries nothing
	zoneCounted        bool          // its result is counted for its zone
	newConn            bool          // sent on a new connection
	connIdle           time.Duration // how long its connection had been idle
}

// request is a request that has not had its final answer, or has attempts outstanding.
type request struct {
	Request
	class                     *class
	arrived, deadline, aimEnd time.Duration // aimEnd: held as in time until then
	attempts                  []*attempt
	outstanding               int // attempts that have not ended
	done, streaming           bool
	late                      bool          // held past aimEnd
	errors                    int           // attempts that ended in an error
	overShare                 bool          // beyond its tenant's share
	held                      bool          // waits in a queue of this dispatcher
	queue                     int           // index of that queue
	failedRound               int           // the round in which no worker was valid for it
	unsent                    int           // attempts that were never sent
	retryAt                   time.Duration // earliest time of the next attempt after one that was never sent
}

// placementKey groups requests without attempts for which the same workers may be valid.
type placementKey struct {
	queue    int
	key      uint64
	reserved bool
}

func (r *request) placementKey() placementKey { return placementKey{r.queue, r.Key, r.Reserved} }

// unplaced describes a request for which no worker was valid in this round.
type unplaced struct {
	slots, memory           float64
	work, arrived, deadline time.Duration
}

// condition is a state whose changes are logged.
type condition struct {
	active   bool
	loggedAt time.Duration // when the last change was logged
}

// zoneStat is what was learned of a zone.
type zoneStat struct {
	id           int
	poorAttempts tally         // share of attempts that failed or started late
	lastAlive    time.Duration // last sign of life of any worker there
	avoided      bool          // its workers are invalid for the current pick
}

// peer is another dispatcher and the load that it reported.
type peer struct {
	lastMessage time.Duration
	load        map[uint32][2]uint8
}

// loadSum is the slots and memory in use at a worker by all peers together, in eighths.
type loadSum [2]int

// replace replaces one peer's part of the sum.
func (s *loadSum) replace(from, to [2]uint8) {
	for i := range s {
		s[i] += int(to[i]) - int(from[i])
	}
}

// Dispatcher is the state of one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	settings                         Settings
	now                              time.Duration
	rng                              *rand.Rand
	classes                          []*class
	activeClasses                    []*class // classes that the settings still have
	workers                          map[uint32]*worker
	fleet                            []*worker // usable workers by ID
	kinds                            map[int]*kindStat
	zones                            []*zoneStat
	requests                         map[uint32]*request
	keyDemand                        map[uint64]demand
	keyedDemand                      demand // all requests with a key
	tenantDemand                     []demand
	errors                           tally        // share of jobs that ended in an error
	sawLife                          bool         // some worker has given a sign of life
	firstJobs                        tally        // failed share of the jobs at workers that have given no sign of life yet
	liveRequests                     []*request   // by arrival; those that are done are removed at each sweep
	queues                           [][]*request // held requests: two queues for each class, in time and late
	queueOrder                       []int        // indexes of queues, by worth per run time
	sortAfter                        time.Duration
	blocksStale                      bool // blocks must be rebuilt
	timerSet                         bool
	subscribeAt, subscribedAt        time.Duration // next call for the worker list (0: none is due), and the last one
	subscribeFailures                int
	peers                            map[int]*peer
	listLost, jobsQueue, noneTrusted condition
	shedding                         condition
	admitted, tokens                 float64 // share of first attempts that is admitted, and tokens saved up for them
	waitingJobs, runningJobs         int     // outstanding attempts queued at workers, and running, at the last sweep
	fullLoadSentAt, peersCheckedAt   time.Duration
	connSetups                       [4]time.Duration // delay that the latest new connections added to a job's start
	startDelays                      average          // seconds from an attempt's sending to its start
	openOnly                         bool             // the current pick is for workers with an idle connection only
	confirmsAttempts                 bool             // workers confirm attempts at once
	silentUntil                      time.Duration    // until then kept connections may carry nothing
	maxIdle                          time.Duration    // a kept connection broke after twice that, at maxIdleSetAt
	maxIdleSetAt                     time.Duration
	idleFailures                     [8]tally                  // share of failed sends, by how long the connection was idle
	timerDue                         time.Duration             // when the timer should fire
	batchDelay, maxBatchDelay        time.Duration             // delay of this batch after its timer, and the longest so far
	budget                           AttemptBudget             // the rule's, or the package's own
	arrivals, extraAttempts          []time.Duration           // times of requests and of further attempts in the budget's window
	peerSums                         map[uint32]*loadSum       // reported load of all peers, by worker
	listCount, learnedSinceSort      int                       // worker lists processed; jobs learned from since the last sort
	maxListed, maxReady              int                       // most workers listed, and ready, at a time so far
	mayHaveRoom                      bool                      // something happened that may have made a worker valid
	rounds                           int                       // placement rounds since the beginning
	roundStartedAt                   time.Duration             // start of the last round
	roundStartScans                  int                       // scans at that time
	unplaced                         map[placementKey]unplaced // in this round
	batch                            int                       // number of the current batch
	scans                            int                       // workers examined for requests so far
	loadChanged                      bool                      // own load at some worker has changed since the last message
	cordons                          map[uint32]bool           // workers cordoned
	firstJobQueue                    []*worker                 // uncordoned or cold workers, to be used before others
	trustedWorkers                   int                       // ready workers without failures
	severalKinds                     bool                      // the known workers are of more than one kind
	actions                          []Action
}

// sentAttempts returns how many attempts of the request were sent, or may have been.
func (r *request) sentAttempts() int { return len(r.attempts) - r.unsent }

// anyAttempt reports whether f holds for an attempt of the request.
func (r *request) anyAttempt(f func(*attempt) bool) bool { return slices.ContainsFunc(r.attempts, f) }

// zone returns the state of a zone, a new one where the zone is not known.
func (d *Dispatcher) zone(id int) *zoneStat {
	i := slices.IndexFunc(d.zones, func(z *zoneStat) bool { return z.id == id })
	if i < 0 {
		i = len(d.zones)
		d.zones = append(d.zones, &zoneStat{id: id, poorAttempts: tally{Count: zoneSamples}})
	}
	return d.zones[i]
}

// logCondition logs a change of a condition, at most one in each fall window.
func (d *Dispatcher) logCondition(c *condition, on bool, begins, ends string, args ...any) {
	if on == c.active || c.loggedAt > 0 && d.now-c.loggedAt < d.settings.Rules.FallWindow {
		return
	}
	c.active, c.loggedAt = on, d.now
	if !on {
		begins = ends
	}
	d.emit(Log{Text: fmt.Sprintf(begins, args...)})
}

// selects reports whether a label of the block matches the worker.
func (b *block) selects(w *worker) bool {
	return slices.ContainsFunc(b.Workers, func(l Label) bool {
		return (l.Zone == Any || l.Zone == w.Zone) && (l.Kind == Any || l.Kind == w.Kind) &&
			(l.IDs == nil || slices.Contains(l.IDs, w.ID))
	})
}

// allInZone reports whether the block's labels name no other zone.
func (b *block) allInZone(zone int) bool {
	return !slices.ContainsFunc(b.Workers, func(l Label) bool { return l.Zone != zone })
}

// openAttempt returns a request and its n-th attempt, or nil where the attempt is not known or has ended.
func (d *Dispatcher) openAttempt(id uint32, n int) (*request, *attempt) {
	r := d.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || r.attempts[n].ended {
		return nil, nil
	}
	return r, r.attempts[n]
}

func (d *Dispatcher) kind(k int) *kindStat {
	if d.kinds[k] == nil {
		d.kinds[k] = &kindStat{Ceiling: initialCeiling}
	}
	return d.kinds[k]
}

// pace returns the time scale of the jobs: the typical run of the class with the shortest one.
func (d *Dispatcher) pace() time.Duration {
	shorter := func(a, b *class) int { return cmp.Compare(a.typical(), b.typical()) }
	return slices.MinFunc(d.activeClasses, shorter).typical()
}

// longestDeadline returns the longest deadline of all classes.
func (d *Dispatcher) longestDeadline() (most time.Duration) {
	for _, c := range d.activeClasses {
		most = max(most, c.Deadline)
	}
	return most
}

// upsert applies entries of the worker list; whole: they are all of it. An entry with a later start is of a new
// process, of which nothing is known.
func (d *Dispatcher) upsert(entries []Worker, whole bool) {
	d.listCount++
	renumbered := false
	for _, l := range entries {
		w := d.workers[l.ID]
		if w != nil && l.State == Ready && l.Started < w.Started { // an old list that names an earlier process
			w.lastListed, w.unlisted = d.listCount, false
			continue
		}
		if w == nil || l.Started > w.Started {
			if w != nil {
				w.State = Gone
			} else if l.State == Gone {
				continue
			}
			w = d.addWorker(l)
		}
		renumbered = d.moveWorker(w, l) || renumbered
		listed, current, started := l.State, w.State, max(w.Started, l.Started)
		w.Worker, w.lastListed = l, d.listCount
		w.Started, w.State = started, current
		d.applyState(w, listed)
	}
	var unlisted []*worker
	for _, w := range d.workers {
		if whole && w.lastListed != d.listCount {
			d.applyState(w, Gone)
		}
		if w.unlisted {
			unlisted = append(unlisted, w)
		}
	}
	d.recount()
	if renumbered {
		d.dropEmptyZones()
	}
	listed := len(d.workers) - len(unlisted)
	if d.maxListed = max(d.maxListed, listed); len(unlisted) > d.maxListed { // keep those listed last, to bound the number
		slices.SortFunc(unlisted, func(a, b *worker) int {
			return cmp.Or(cmp.Compare(b.lastListed, a.lastListed), cmp.Compare(a.ID, b.ID))
		})
		for _, w := range unlisted[d.maxListed:] {
			d.dropWorker(w)
		}
	}
}

// addWorker adds a worker's process, of which nothing is known yet.
func (d *Dispatcher) addWorker(l Worker) *worker {
	l.State = Ready
	w := &worker{
		Worker: l, ceiling: initialCeiling, zone: d.zone(l.Zone), peerLoad: d.peerSum(l.ID), lateStarts: tally{Count: 2}, errors: tally{Count: 3},
		cordoned:    d.cordons[l.ID],
		classErrors: slices.Repeat([]tally{{Count: 3}}, len(d.classes)), classBars: make([]classBar, len(d.classes)),
	}
	if d.workers[l.ID] = w; d.preferWhileCold(w) {
		d.queueFirstJob(w)
	}
	return w
}

// queueFirstJob adds a worker to those that are used before others.
func (d *Dispatcher) queueFirstJob(w *worker) {
	if !slices.Contains(d.firstJobQueue, w) {
		d.firstJobQueue = append(d.firstJobQueue, w)
	}
}

// heldCount returns the number of requests held here.
func (d *Dispatcher) heldCount() (n int) {
	for _, q := range d.queues {
		n += len(q)
	}
	return n
}

// ready reports whether the list and the cordons allow the worker's use.
func (w *worker) ready() bool { return w.State == Ready && !w.cordoned }

// recount counts the trusted workers, and notes whether the workers are of several kinds.
func (d *Dispatcher) recount() {
	ready, kind := 0, Any
	d.trustedWorkers, d.severalKinds = 0, false
	for _, w := range d.workers {
		d.severalKinds = d.severalKinds || kind != Any && kind != w.Kind
		kind = w.Kind
		if w.ready() {
			if ready++; w.failures == 0 {
				d.trustedWorkers++
			}
		}
	}
	d.maxReady = max(d.maxReady, ready)
}

// dropWorker removes a worker; attempts that still refer to it find it gone.
func (d *Dispatcher) dropWorker(w *worker) {
	w.State = Gone
	delete(d.workers, w.ID)
}

// fillBlocks sets the members of all blocks in the order given; platform blocks are ordered by ID, and blocks
// by key, which are rebuilt only if the fleet has changed, by hash ring.
func (d *Dispatcher) fillBlocks(best []*worker, changed bool) {
	var rings []placedRing
	for _, c := range d.allClasses() {
		for _, b := range append(c.blocks, c.defaultBlock) {
			from := best
			if b.ByKey {
				if changed && len(d.keyDemand) > 0 { // without keyed requests a ring is not needed
					rings = b.shareRing(c, d.fleet, rings)
				}
				continue
			}
			if b.Strategy == Platform {
				from = d.fleet
			}
			b.members = b.members[:0]
			for _, w := range from {
				if (c.Kind == Any || c.Kind == w.Kind) && b.selects(w) {
					b.members = append(b.members, w)
				}
			}
		}
	}
}

// placedRing is a block whose hash ring is built for the current list, and its class's kind of worker.
type placedRing struct {
	block *block
	kind  int
}

// shareRing takes the ring of a block that selects the same workers, or builds one.
func (b *block) shareRing(c *class, fleet []*worker, rings []placedRing) []placedRing {
	for _, p := range rings {
		if p.kind == c.Kind && slices.EqualFunc(p.block.Workers, b.Workers, Label.equal) {
			b.ring, b.members = p.block.ring, p.block.members
			return rings
		}
	}
	b.ring, b.members = nil, nil // the old slices may be shared with another block
	b.buildRing(c, fleet)
	return append(rings, placedRing{b, c.Kind})
}

func (l Label) equal(o Label) bool {
	return l.Zone == o.Zone && l.Kind == o.Kind && slices.Equal(l.IDs, o.IDs) && (l.IDs == nil) == (o.IDs == nil)
}

// buildRing puts the block's workers on the hash ring, each at several points: what one worker cannot take is
// then spread over many others, and few keys move when the fleet changes.
func (b *block) buildRing(c *class, fleet []*worker) {
	at := map[uint64]*worker{}
	for _, w := range fleet {
		if (c.Kind == Any || c.Kind == w.Kind) && b.selects(w) {
			for i := range ringPointsPerWorker {
				at[hash(uint64(w.ID), uint64(i)+1)] = w
			}
		}
	}
	b.ring, b.members = b.ring[:0], b.members[:0]
	for _, p := range slices.Sorted(maps.Keys(at)) {
		if n := len(b.members); n == 0 || b.members[n-1] != at[p] { // merge neighbouring points of one worker
			b.ring, b.members = append(b.ring, p), append(b.members, at[p])
		}
	}
}

// warmth returns the least share of its full capacity that a worker has now.
func (d *Dispatcher) warmth(w *worker) float64 {
	if w.Started == 0 || d.now-w.Started >= d.settings.Rules.Cold {
		return 1
	}
	return d.settings.Rules.warmth(d.now - w.Started)
}

// warmth returns that share for a cold worker of this age.
func (r *Rules) warmth(age time.Duration) float64 {
	return r.ColdFrom + (1-r.ColdFrom)*float64(age)/float64(r.Cold)
}

// coldBudget returns the part of the rule's budget that is used for a worker once it is warm, in slot seconds
// per second.
func (d *Dispatcher) coldBudget(w *worker) float64 {
	return coldBudgetShare * d.settings.Rules.FallMultiple * d.size(w) * min(1, math.Exp(-d.kindSlowness(w)))
}

// lateStartAllowance returns how long after its aim a request's job may still start and end in time. It is 0 unless
// the request is unsafe: one that can be sent again, or has not been sent yet, gives up its place in a queue sooner.
func (r *request) lateStartAllowance() time.Duration {
	if r.class.Effect != Unsafe {
		return 0
	}
	return time.Duration(max(0, r.class.Stretch-1) * float64(r.class.typical()))
}

// confirmWithin returns how long an attempt of the request may go without its worker's confirmation.
func (r *request) confirmWithin() time.Duration {
	if r.UntilDeadline {
		return confirmDeadlineFactor * r.class.Aim / confirmAimDivisor
	}
	return r.class.Aim / confirmAimDivisor
}

// size returns how many slots a worker has: the learned size, or what it must be for the fleet to serve the
// rate that the tenants have agreed. With many dispatchers, each sees too few jobs of a worker to learn its
// size; and a single long job among few would count for too much.
func (d *Dispatcher) size(w *worker) float64 {
	return max(1, w.learnedSize, d.kind(w.Kind).Slots, d.agreedRate()*d.meanTypicalRun(sizePriorJobs)/float64(max(1, d.maxReady)))
}

// WorkerCounts returns how many workers are listed, and how many of those are avoided now: not ready, not trusted, or
// barred for every class.
func (d *Dispatcher) WorkerCounts() (listed, avoided int) {
	for _, w := range d.workers {
		if w.unlisted || w.State == Gone {
			continue
		}
		listed++
		barred := true
		for i, c := range d.classes {
			barred = barred && (c.Removed || w.classBars[i].Until > d.now)
		}
		if !w.ready() || w.failures > 0 || barred {
			avoided++
		}
	}
	return listed, avoided
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// backoff returns base doubled n-1 times, times a random factor from 0.5 to 1.5, so that dispatchers don't act at the
// same time.
func (d *Dispatcher) backoff(base time.Duration, n int) time.Duration {
	return time.Duration(float64(base) * math.Exp2(float64(n-1)) * (0.5 + d.rng.Float64()))
}

// sweepInterval returns the time between two sweeps.
func (d *Dispatcher) sweepInterval() time.Duration {
	return max(minSweepInterval, sweepSteps*d.settings.Granularity)
}

// random returns a random one of those members of a block for which ok holds.
func (d *Dispatcher) random(b *block, ok func(*worker) bool) *worker {
	var found *worker
	n := 0
	for _, w := range b.members {
		if ok(w) {
			if n++; d.rng.IntN(n) == 0 {
				found = w
			}
		}
	}
	return found
}

// meanWorth returns the mean worth of a request over the classes.
func (d *Dispatcher) meanWorth() float64 {
	mean, n := 0.0, 0.0
	for _, c := range d.activeClasses {
		mean += c.Worth
		n++
	}
	return mean / max(n, 1)
}

// attemptReported records a worker's report that an attempt has started or makes progress.
func (d *Dispatcher) attemptReported(id uint32, n int, e Event) {
	r, a := d.openAttempt(id, n)
	if a == nil {
		return
	}
	d.attemptStarted(r, a)
	switch e.(type) {
	case StreamStarted:
		r.streaming = true
	case JobProgress:
		a.lastReport = d.now
		d.recordLife(a.worker)
	}
}
