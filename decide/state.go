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

type class struct {
	Class
	meanRun, meanLogRun, jobs float64 // mean and mean log of run seconds, and their weight
	typicalRun                time.Duration
	typicalOf                 float64 // the meanLogRun that usual is of
	blocks                    []*block
	defaultBlock              *block // the default tag: all ready workers of the kind, platform
	followup                  Followup
	maxBudget                 time.Duration // reservableSlots a first try: the longest seen
	stuck                     bool          // no worker is valid for its requests
	errors                    tally         // jobs that ended in an error, at all workers
}

type block struct {
	Block
	members []*worker // in the order of the strategy
	ring    []uint64  // reservableSlots a block by key: the places of its members on the hash ring
}

type worker struct {
	Worker
	ownSlots, ownMemory           float64 // learnedSize and memory of this dispatcher's attempts out
	runningSlots                  float64 // reservableSlots those, the slots of attempts known to run
	abandoned                     float64 // learnedSize of attempts given up on; occupied until the worker shows life
	ceiling                       float64 // learnedSinceSort max_concurrent_invocations of this dispatcher
	foreignSlots                  float64 // load of dispatchers that tell nothing here, when seen in a report
	foreignAt                     time.Duration
	foreignUnsent                 bool    // a report that the peers have not been told of
	learnedSize                   float64 // learnedSinceSort size, 0 when not known
	failures                      int     // health: 0 is trusted
	retryAt                       time.Duration
	lastAlive                     time.Duration // last sign of life
	probes                        int           // while in doubt
	minStartDelay                 time.Duration // least send-to-start delay seen, 0 when none
	logDeviation, deviationWeight float64       // sum and weight of log run time against the class
	nextColdSend                  time.Duration // while cold: no send before,
	leases                        []Lease       // but by these,
	leaseAskedAt                  time.Duration // last asked for then
	suspect                       condition
	refusals                      []refusal     // reservableSlots each class
	lateStarts                    tally         // startDelays that came late
	classErrors                   []tally       // jobs of each class that ended in an error,
	errors                        tally         // and of all
	unsafeBarredUntil             time.Duration // nothing that must not run twice before
	zone                          *zoneStat
	sentLoad                      [2]uint8 // load last told to the peers
	peerLoad                      *loadSum // load that the peers tell of
	lastListed                    int      // number of the last list that named it
	unlisted                      bool     // the last list left it out or called it gone
	cordoned                      bool     // left out by hand
	firstJobDue                   bool     // put back by hand and not used since
	rank                          float64  // moveWorker in the blocks
	isFull                        bool     // no request finds room here,
	fullInBatch                   int      // as of this batch
	reservations                  []Span   // by gangs,
	reservableSlots               float64  // reservableSlots so many slots
	// Connections as foreseen here: attempts out, connections open, when one was last freed.
	connsInUse, conns int
	connFreedAt       time.Duration
}

// refusal is a worker's word that it takes no more of a class.
type refusal struct {
	N     int // doublings of the backoff
	Until time.Duration
}

type attempt struct {
	worker             *worker
	sentAt, lastReport time.Duration // note: the last word of it
	startedAt          time.Duration
	ended, neverRan    bool
	errored            bool
	brokeAt            time.Duration // could not connect, or lost it
	started, queued    bool
	stays              bool          // it queues and is not moved
	gated              bool          // it waits for leave to go out: no worker has it
	extra              bool          // it counts for the budget of further attempts
	accepted, connLost bool          // the worker has it; its connection carries nothing
	zoneCounted        bool          // counted for its zone
	newConn            bool          // active a new connection
	connIdle           time.Duration // for how long its connection was not in use
}

type request struct {
	Request
	class                     *class
	arrived, deadline, aimEnd time.Duration // due: the deadline; limit: held in time until then
	attempts                  []*attempt
	outstanding               int
	done, streaming           bool
	late                      bool // heldCount past its limit
	errors                    int  // attempts that ended in an error
	overShare                 bool // beyond its tenant's share
	held                      bool
	queue                     int           // where it is held
	failedRound               int           // the round of looks in which no worker was valid for it
	unsent                    int           // attempts that were never sent,
	retryAt                   time.Duration // and when the next may be made
}

// placementKey is what requests that have not been sent yet share if the same workers may be valid for them.
type placementKey struct {
	queue int
	key   uint64
	held  bool
}

func (r *request) placementKey() placementKey { return placementKey{r.queue, r.Key, r.Held} }

// unplaced is a request that found no valid worker in this round.
type unplaced struct {
	slots, memory           float64
	work, arrived, deadline time.Duration
}

// condition is a state that the people on call are told of.
type condition struct {
	active   bool
	loggedAt time.Duration // reservableSlots the last line
}

// zoneStat is the share of attempts in a zone that fared badly, fading.
type zoneStat struct {
	id           int
	poorAttempts tally
	lastAlive    time.Duration // last sign of life of any worker there
	avoided      bool          // in the pick at hand
}

type peer struct {
	lastMessage time.Duration
	load        map[uint32][2]uint8
}

// loadSum is the slots and memory that all peers together tell of at a worker, in eighths.
type loadSum [2]int

func (s *loadSum) replace(from, to [2]uint8) {
	for i := range s {
		s[i] += int(to[i]) - int(from[i])
	}
}

// Dispatcher decides for one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	settings                         Settings
	now                              time.Duration
	rng                              *rand.Rand
	classes                          []*class
	activeClasses                    []*class // those that the settings have
	workers                          map[uint32]*worker
	fleet                            []*worker // by ID
	kinds                            map[int]*kindStat
	zones                            []*zoneStat
	requests                         map[uint32]*request
	keyDemand                        map[uint64]demand
	keyedDemand                      demand // requests with a key
	tenantDemand                     []demand
	errors                           tally        // jobs that ended in an error
	sawLife                          bool         // a worker has shown life
	firstJobs                        tally        // first jobs at workers not yet known to live that came to nothing
	liveRequests                     []*request   // by arrival; swept
	queues                           [][]*request // heldCount requests: two for each class, in time and late
	queueOrder                       []int        // queues by worth per run time
	sortAfter                        time.Duration
	blocksStale                      bool // blocks must be rebuilt
	timerSet                         bool
	subscribeAt, subscribedAt        time.Duration // when to ask for the list (0: not wanted), and when that last was
	subscribeFailures                int
	peers                            map[int]*peer
	listLost, jobsQueue, noneTrusted condition
	shedding                         condition
	admitted, tokens                 float64 // share of first attempts that is let out, and those saved up
	waitingJobs, runningJobs         int     // attempts out in a worker's queue, and at work, at the last sweep
	fullLoadSentAt, peersCheckedAt   time.Duration
	connSetups                       [4]time.Duration // what the last new connections added to a job's start
	startDelays                      average          // seconds from attempts' sending to their start
	openOnly                         bool             // in the pick at hand: only workers with an idle connection
	confirmsAttempts                 bool             // workers tell at once that they have an attempt
	silentUntil                      time.Duration    // kept connections may carry nothing until then
	maxIdle                          time.Duration    // a kept connection broke after twice that, at maxIdleSetAt
	maxIdleSetAt                     time.Duration
	idleFailures                     [8]tally                  // sends that failed, by how long their connection was idle
	timerDue                         time.Duration             // when the timer was asked for
	batchDelay, maxBatchDelay        time.Duration             // by how much this batch came too late, and the longest such
	budget                           AttemptBudget             // the rule's or, without one, our own
	arrivals, extraAttempts          []time.Duration           // requests and further attempts inside the budget's window
	peerSums                         map[uint32]*loadSum       // reservableSlots what the peers tell, by worker
	listCount, learnedSinceSort      int                       // worker lists taken; jobs learned from since the last sort
	maxListed, maxReady              int                       // workers listed at a time, so far, and of those ready
	mayHaveRoom                      bool                      // something happened that may have made a worker valid
	rounds                           int                       // reservableSlots looks at held requests, since the beginning
	roundStartedAt                   time.Duration             // when the last of them began,
	roundStartScans                  int                       // and how many workers had been looked at by then
	unplaced                         map[placementKey]unplaced // in this round
	batch                            int                       // number of the batch at hand
	scans                            int                       // how often a worker was looked at for a request
	loadChanged                      bool                      // this dispatcher's load at a worker since the last message
	cordons                          map[uint32]bool           // left out by hand
	firstJobQueue                    []*worker                 // to be used before others: put back by hand and owed a first job, or cold
	trustedWorkers                   int                       // ready workers without a strike
	severalKinds                     bool                      // the workers known are of more than one kind
	actions                          []Action
}

// sentAttempts is how many of a request's attempts went out, or may have.
func (r *request) sentAttempts() int { return len(r.attempts) - r.unsent }

// anyAttempt tells whether an attempt of the request is as f says.
func (r *request) anyAttempt(f func(*attempt) bool) bool { return slices.ContainsFunc(r.attempts, f) }

// zone is what is known of a zone.
func (d *Dispatcher) zone(id int) *zoneStat {
	i := slices.IndexFunc(d.zones, func(z *zoneStat) bool { return z.id == id })
	if i < 0 {
		i = len(d.zones)
		d.zones = append(d.zones, &zoneStat{id: id, poorAttempts: tally{N: zoneSamples}})
	}
	return d.zones[i]
}

// logCondition logs a change of a condition for the people on call, each seldom enough to read.
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

func (b *block) selects(w *worker) bool {
	return slices.ContainsFunc(b.Workers, func(l Label) bool {
		return (l.Zone == Any || l.Zone == w.Zone) && (l.Kind == Any || l.Kind == w.Kind) &&
			(l.IDs == nil || slices.Contains(l.IDs, w.ID))
	})
}

// allInZone tells whether all of a block's workers are of one zone.
func (b *block) allInZone(zone int) bool {
	return !slices.ContainsFunc(b.Workers, func(l Label) bool { return l.Zone != zone })
}

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

// pace is the time scale of this deployment's jobs: the shortest class's typical run.
func (d *Dispatcher) pace() time.Duration {
	shorter := func(a, b *class) int { return cmp.Compare(a.typical(), b.typical()) }
	return slices.MinFunc(d.activeClasses, shorter).typical()
}

// longestDeadline is of all classes.
func (d *Dispatcher) longestDeadline() (most time.Duration) {
	for _, c := range d.activeClasses {
		most = max(most, c.Deadline)
	}
	return most
}

// upsert takes lines of the worker list: of a new process nothing is known.
func (d *Dispatcher) upsert(lines []Worker, whole bool) {
	d.listCount++
	renumbered := false
	for _, l := range lines {
		w := d.workers[l.ID]
		if w != nil && l.State == Ready && l.Started < w.Started { // an old list, of an earlier process
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
		said, held, started := l.State, w.State, max(w.Started, l.Started)
		w.Worker, w.lastListed = l, d.listCount
		w.Started, w.State = started, held
		d.applyState(w, said)
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
	if d.maxListed = max(d.maxListed, listed); len(unlisted) > d.maxListed { // bounded: those named last stay
		slices.SortFunc(unlisted, func(a, b *worker) int {
			return cmp.Or(cmp.Compare(b.lastListed, a.lastListed), cmp.Compare(a.ID, b.ID))
		})
		for _, w := range unlisted[d.maxListed:] {
			d.dropWorker(w)
		}
	}
}

// addWorker begins to know a worker's process: nothing is known of it.
func (d *Dispatcher) addWorker(l Worker) *worker {
	l.State = Ready
	w := &worker{
		Worker: l, ceiling: initialCeiling, zone: d.zone(l.Zone), peerLoad: d.peerSum(l.ID), lateStarts: tally{N: 2}, errors: tally{N: 3}, cordoned: d.cordons[l.ID],
		classErrors: slices.Repeat([]tally{{N: 3}}, len(d.classes)), refusals: make([]refusal, len(d.classes)),
	}
	if d.workers[l.ID] = w; d.preferWhileCold(w) {
		d.queueFirstJob(w)
	}
	return w
}

// queueFirstJob has a worker used before others, once.
func (d *Dispatcher) queueFirstJob(w *worker) {
	if !slices.Contains(d.firstJobQueue, w) {
		d.firstJobQueue = append(d.firstJobQueue, w)
	}
}

// heldCount is how many requests wait here.
func (d *Dispatcher) heldCount() (n int) {
	for _, q := range d.queues {
		n += len(q)
	}
	return n
}

// ready tells whether a worker may be used, as far as the list and people say.
func (w *worker) ready() bool { return w.State == Ready && !w.cordoned }

// recount counts the workers that are trusted, and sees whether all are of one kind.
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

// dropWorker forgets a worker; what still refers to it sees that it is gone.
func (d *Dispatcher) dropWorker(w *worker) {
	w.State = Gone
	delete(d.workers, w.ID)
}

// fillBlocks puts the workers into the blocks in the order given, those of platform blocks by ID
// and those of blocks by key, if the fleet has changed, on a hash ring.
func (d *Dispatcher) fillBlocks(best []*worker, changed bool) {
	var rings []placedRing
	for _, c := range d.allClasses() {
		for _, b := range append(c.blocks, c.defaultBlock) {
			from := best
			if b.ByKey {
				if changed && len(d.keyDemand) > 0 { // where none are sent it would be work for nothing
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

// placedRing is a block whose workers are on the hash ring as of this list, and its class's kind of worker.
type placedRing struct {
	block *block
	kind  int
}

// shareRing places the block, or takes over the ring of one that has the same workers.
func (b *block) shareRing(c *class, fleet []*worker, rings []placedRing) []placedRing {
	for _, p := range rings {
		if p.kind == c.Kind && slices.EqualFunc(p.block.Workers, b.Workers, Label.equal) {
			b.ring, b.members = p.block.ring, p.block.members
			return rings
		}
	}
	b.ring, b.members = nil, nil // the old ones may be another block's too
	b.buildRing(c, fleet)
	return append(rings, placedRing{b, c.Kind})
}

func (l Label) equal(o Label) bool {
	return l.Zone == o.Zone && l.Kind == o.Kind && slices.Equal(l.IDs, o.IDs) && (l.IDs == nil) == (o.IDs == nil)
}

// moveWorker puts the block's workers on the hash ring, each at several points: so what one cannot
// take is spread over many others, and little moves when the fleet changes.
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
		if n := len(b.members); n == 0 || b.members[n-1] != at[p] { // neighbours differ
			b.ring, b.members = append(b.ring, p), append(b.members, at[p])
		}
	}
}

// warmth is the least share of its capacity that a worker can have by now.
func (d *Dispatcher) warmth(w *worker) float64 {
	if w.Started == 0 || d.now-w.Started >= d.settings.Rules.Cold {
		return 1
	}
	return d.settings.Rules.warmth(d.now - w.Started)
}

// warmth is that of a worker while it is cold, so long after its start.
func (r *Rules) warmth(age time.Duration) float64 {
	return r.ColdFrom + (1-r.ColdFrom)*float64(age)/float64(r.Cold)
}

// coldBudget is the part of the rule's budget for a worker that is planned, once it is warm: slot seconds a second.
func (d *Dispatcher) coldBudget(w *worker) float64 {
	return coldBudgetShare * d.settings.Rules.FallMultiple * d.size(w) * min(1, math.Exp(-d.kindSlowness(w)))
}

// lateStartAllowance is how long after its aim a request's job may still start and end in time. It counts only for what
// has its one attempt out: what can go out again, or has not yet, gives its place up sooner.
func (r *request) lateStartAllowance() time.Duration {
	if r.class.Effect != Unsafe {
		return 0
	}
	return time.Duration(max(0, r.class.Stretch-1) * float64(r.class.typical()))
}

// confirmWithin is how long a request's attempt may lack its worker's confirmation.
func (r *request) confirmWithin() time.Duration {
	if r.Patient {
		return confirmDeadlineFactor * r.class.Aim / confirmAimParts
	}
	return r.class.Aim / confirmAimParts
}

// size is what a worker runs at once: as learned, or as large as the fleet must be for what the tenants have agreed.
// A dispatcher of many sees too little of any worker to learn it; of a few jobs, one long one says too much.
func (d *Dispatcher) size(w *worker) float64 {
	return max(1, w.learnedSize, d.kind(w.Kind).Slots, d.agreedRate()*d.meanTypicalRun(sizePriorJobs)/float64(max(1, d.maxReady)))
}

// Fleet tells how many workers are listed, and how many of those are avoided now: not ready, not
// trusted, or barred for every class.
func (d *Dispatcher) Fleet() (listed, avoided int) {
	for _, w := range d.workers {
		if w.unlisted || w.State == Gone {
			continue
		}
		listed++
		barred := true
		for i, c := range d.classes {
			barred = barred && (c.Left || w.refusals[i].Until > d.now)
		}
		if !w.ready() || w.failures > 0 || barred {
			avoided++
		}
	}
	return listed, avoided
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// backoff doubles base with n and jitters it, so that dispatchers spread out.
func (d *Dispatcher) backoff(base time.Duration, n int) time.Duration {
	return time.Duration(float64(base) * math.Exp2(float64(n-1)) * (0.5 + d.rng.Float64()))
}

func (d *Dispatcher) sweepInterval() time.Duration {
	return max(minSweepInterval, sweepSteps*d.settings.Granularity)
} // reservableSlots sweeps

// newRand picks fairly among those of a block's workers that will do.
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

// meanWorth is the mean of what a request of each class is worth.
func (d *Dispatcher) meanWorth() float64 {
	mean, n := 0.0, 0.0
	for _, c := range d.activeClasses {
		mean += c.Worth
		n++
	}
	return mean / max(n, 1)
}

// attemptReported takes word from a worker that an attempt runs or goes on.
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
