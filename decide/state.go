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
	run, logRun, jobs float64 // mean and mean log of run seconds, and their weight
	usual             time.Duration
	usualOf           float64 // the logRun that usual is of
	blocks            []*block
	deflt             *block // the default tag: all ready workers of the kind, platform
	followup          Followup
	budget            time.Duration // of a first try: the longest seen
	stuck             bool          // no worker is valid for its requests
	errs              tally         // jobs that ended in an error, at all workers
}

type block struct {
	Block
	members []*worker // in the order of the strategy
	ring    []uint64  // of a block by key: the places of its members on the hash ring
}

type worker struct {
	Worker
	own, mem float64 // slots and memory of this dispatcher's attempts out
	running  float64 // of those, the slots of attempts known to run
	ghost    float64 // slots of attempts given up on; occupied until the worker shows life
	ceiling  float64 // learned max_concurrent_invocations of this dispatcher
	foreign  float64 // load of dispatchers that tell nothing here, when seen in a report
	seen     time.Duration
	news     bool    // a report that the peers have not been told of
	slots    float64 // learned size, 0 when not known
	strikes  int     // health: 0 is trusted
	retryAt  time.Duration
	lived    time.Duration // last sign of life
	probes   int           // while in doubt
	lead     time.Duration // least send-to-start delay seen, 0 when none
	dev, n   float64       // sum and weight of log run time against the class
	coldNext time.Duration // while cold: no send before,
	leases   []Lease       // but by these,
	asked    time.Duration // last asked for then
	suspect  condition
	refusals []refusal     // of each class
	late     tally         // starts that came late
	errs     []tally       // jobs of each class that ended in an error,
	bad      tally         // and of all
	wary     time.Duration // nothing that must not run twice before
	zone     *zoneStat
	told     [2]uint8 // load last told to the peers
	peers    *loadSum // load that the peers tell of
	listed   int      // number of the last list that named it
	unlisted bool     // the last list left it out or called it gone
	cordoned bool     // left out by hand
	owed     bool     // put back by hand and not used since
	rank     float64  // place in the blocks
	full     bool     // no request finds room here,
	fullIn   int      // as of this batch
	held     []Span   // by gangs,
	of       float64  // of so many slots
	// Connections as foreseen here: attempts out, connections open, when one was last freed.
	open, conns int
	freed       time.Duration
}

// refusal is a worker's word that it takes no more of a class.
type refusal struct {
	N     int           `json:"N"` // doublings of the backoff
	Until time.Duration `json:"Until"`
}

type attempt struct {
	w               *worker
	sent, note      time.Duration // note: the last word of it
	begun           time.Duration
	over, neverRan  bool
	erred           bool
	broke           time.Duration // could not connect, or lost it
	started, queued bool
	stays           bool          // it queues and is not moved
	gated           bool          // it waits for leave to go out: no worker has it
	extra           bool          // it counts for the budget of further attempts
	taken, lost     bool          // the worker has it; its connection carries nothing
	fared           bool          // counted for its zone
	fresh           bool          // on a new connection
	idle            time.Duration // for how long its connection was not in use
}

type request struct {
	Request
	c                   *class
	arrived, due, limit time.Duration // due: the deadline; limit: held in time until then
	attempts            []*attempt
	out                 int
	done, streaming     bool
	late                bool // held past its limit
	errs                int  // attempts that ended in an error
	over                bool // beyond its tenant's share
	held                bool
	queue               int           // where it is held
	looked              int           // the round of looks in which no worker was valid for it
	unsent              int           // attempts that were never sent,
	retryAt             time.Duration // and when the next may be made
}

// likeness is what requests that have not been sent yet share if the same workers may be valid for them.
type likeness struct {
	queue int
	key   uint64
	held  bool
}

func (r *request) likeness() likeness { return likeness{r.queue, r.Key, r.Held} }

// unplaced is a request that found no valid worker in this round.
type unplaced struct {
	slots, memory      float64
	work, arrived, due time.Duration
}

// condition is a state that the people on call are told of.
type condition struct {
	on bool
	at time.Duration // of the last line
}

// zoneStat is the share of attempts in a zone that fared badly, fading.
type zoneStat struct {
	id      int
	bad     tally
	lived   time.Duration // last sign of life of any worker there
	shunned bool          // in the pick at hand
}

type peer struct {
	heard time.Duration
	load  map[uint32][2]uint8
}

// loadSum is the slots and memory that all peers together tell of at a worker, in eighths.
type loadSum [2]int

func (s *loadSum) move(from, to [2]uint8) {
	for i := range s {
		s[i] += int(to[i]) - int(from[i])
	}
}

// Dispatcher decides for one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	s                     Settings
	now                   time.Duration
	rng                   *rand.Rand
	classes               []*class
	current               []*class // those that the settings have
	workers               map[uint32]*worker
	fleet                 []*worker // by ID
	kinds                 map[int]*kindStat
	zones                 []*zoneStat
	requests              map[uint32]*request
	keys                  map[uint64]demand
	keyed                 demand // requests with a key
	tenants               []demand
	bad                   tally        // jobs that ended in an error
	served                bool         // a worker has shown life
	fresh                 tally        // first jobs at workers not yet known to live that came to nothing
	live                  []*request   // by arrival; swept
	queues                [][]*request // held requests: two for each class, in time and late
	order                 []int        // queues by worth per run time
	ordered               time.Duration
	stale                 bool // blocks must be rebuilt
	armed                 bool
	asked, called         time.Duration // when to ask for the list (0: not wanted), and when that last was
	failures              int
	peers                 map[int]*peer
	listLost, crowd, dark condition
	shedding              condition
	admitted, tokens      float64 // share of first attempts that is let out, and those saved up
	waiting, running      int     // attempts out in a worker's queue, and at work, at the last sweep
	toldAll, peersAt      time.Duration
	setups                [4]time.Duration // what the last new connections added to a job's start
	starts                average          // seconds from attempts' sending to their start
	openOnly              bool             // in the pick at hand: only workers with an idle connection
	confirms              bool             // workers tell at once that they have an attempt
	silent                time.Duration    // kept connections may carry nothing until then
	mostIdle              time.Duration    // a kept connection broke after twice that, at idleAt
	idleAt                time.Duration
	ages                  [8]tally              // sends that failed, by how long their connection was idle
	wakeAt                time.Duration         // when the timer was asked for
	late, stall           time.Duration         // by how much this batch came too late, and the longest such
	budget                AttemptBudget         // the rule's or, without one, our own
	taken, extras         []time.Duration       // requests and further attempts inside the budget's window
	sums                  map[uint32]*loadSum   // of what the peers tell, by worker
	lists, learned        int                   // worker lists taken; jobs learned from since the last sort
	most, mostReady       int                   // workers listed at a time, so far, and of those ready
	freed                 bool                  // something happened that may have made a worker valid
	rounds                int                   // of looks at held requests, since the beginning
	roundAt               time.Duration         // when the last of them began,
	roundLooks            int                   // and how many workers had been looked at by then
	unplaced              map[likeness]unplaced // in this round
	batch                 int                   // number of the batch at hand
	examined              int                   // how often a worker was looked at for a request
	moved                 bool                  // this dispatcher's load at a worker since the last message
	cordons               map[uint32]bool       // left out by hand
	owed                  []*worker             // to be used before others: put back by hand and owed a first job, or cold
	trusted               int                   // ready workers without a strike
	manyKinds             bool                  // the workers known are of more than one kind
	out                   []Action
}

// sent is how many of a request's attempts went out, or may have.
func (r *request) sent() int { return len(r.attempts) - r.unsent }

// any tells whether an attempt of the request is as f says.
func (r *request) any(f func(*attempt) bool) bool { return slices.ContainsFunc(r.attempts, f) }

// zone is what is known of a zone.
func (d *Dispatcher) zone(id int) *zoneStat {
	i := slices.IndexFunc(d.zones, func(z *zoneStat) bool { return z.id == id })
	if i < 0 {
		i = len(d.zones)
		d.zones = append(d.zones, &zoneStat{id: id, bad: tally{N: zoneMemory}})
	}
	return d.zones[i]
}

// note logs a change of a condition for the people on call, each seldom enough to read.
func (d *Dispatcher) note(c *condition, on bool, begins, ends string, args ...any) {
	if on == c.on || c.at > 0 && d.now-c.at < d.s.Rules.FallWindow {
		return
	}
	c.on, c.at = on, d.now
	if !on {
		begins = ends
	}
	d.do(Log{Text: fmt.Sprintf(begins, args...)})
}

func (b *block) labels(w *worker) bool {
	return slices.ContainsFunc(b.Workers, func(l Label) bool {
		return (l.Zone == Any || l.Zone == w.Zone) && (l.Kind == Any || l.Kind == w.Kind) &&
			(l.IDs == nil || slices.Contains(l.IDs, w.ID))
	})
}

// within tells whether all of a block's workers are of one zone.
func (b *block) within(zone int) bool {
	return !slices.ContainsFunc(b.Workers, func(l Label) bool { return l.Zone != zone })
}

func (d *Dispatcher) attempt(id uint32, n int) (*request, *attempt) {
	r := d.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || r.attempts[n].over {
		return nil, nil
	}
	return r, r.attempts[n]
}

func (d *Dispatcher) kind(k int) *kindStat {
	if d.kinds[k] == nil {
		d.kinds[k] = &kindStat{Ceiling: firstCeiling}
	}
	return d.kinds[k]
}

// pace is the time scale of this deployment's jobs: the shortest class's typical run.
func (d *Dispatcher) pace() time.Duration {
	shorter := func(a, b *class) int { return cmp.Compare(a.typical(), b.typical()) }
	return slices.MinFunc(d.current, shorter).typical()
}

// longestDeadline is of all classes.
func (d *Dispatcher) longestDeadline() (most time.Duration) {
	for _, c := range d.current {
		most = max(most, c.Deadline)
	}
	return most
}

// upsert takes lines of the worker list: of a new process nothing is known.
func (d *Dispatcher) upsert(lines []Worker, whole bool) {
	d.lists++
	renumbered := false
	for _, l := range lines {
		w := d.workers[l.ID]
		if w != nil && l.State == Ready && l.Started < w.Started { // an old list, of an earlier process
			w.listed, w.unlisted = d.lists, false
			continue
		}
		if w == nil || l.Started > w.Started {
			if w != nil {
				w.State = Gone
			} else if l.State == Gone {
				continue
			}
			w = d.begin(l)
		}
		renumbered = d.place(w, l) || renumbered
		said, held, started := l.State, w.State, max(w.Started, l.Started)
		w.Worker, w.listed = l, d.lists
		w.Started, w.State = started, held
		d.believe(w, said)
	}
	var unlisted []*worker
	for _, w := range d.workers {
		if whole && w.listed != d.lists {
			d.believe(w, Gone)
		}
		if w.unlisted {
			unlisted = append(unlisted, w)
		}
	}
	d.recount()
	if renumbered {
		d.leaveZones()
	}
	listed := len(d.workers) - len(unlisted)
	if d.most = max(d.most, listed); len(unlisted) > d.most { // bounded: those named last stay
		slices.SortFunc(unlisted, func(a, b *worker) int {
			return cmp.Or(cmp.Compare(b.listed, a.listed), cmp.Compare(a.ID, b.ID))
		})
		for _, w := range unlisted[d.most:] {
			d.drop(w)
		}
	}
}

// begin begins to know a worker's process: nothing is known of it.
func (d *Dispatcher) begin(l Worker) *worker {
	l.State = Ready
	w := &worker{
		Worker: l, ceiling: firstCeiling, zone: d.zone(l.Zone), peers: d.shared(l.ID), late: tally{N: 2}, bad: tally{N: 3}, cordoned: d.cordons[l.ID],
		errs: slices.Repeat([]tally{{N: 3}}, len(d.classes)), refusals: make([]refusal, len(d.classes)),
	}
	if d.workers[l.ID] = w; d.untried(w) {
		d.owe(w)
	}
	return w
}

// owe has a worker used before others, once.
func (d *Dispatcher) owe(w *worker) {
	if !slices.Contains(d.owed, w) {
		d.owed = append(d.owed, w)
	}
}

// held is how many requests wait here.
func (d *Dispatcher) held() (n int) {
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
	d.trusted, d.manyKinds = 0, false
	for _, w := range d.workers {
		d.manyKinds = d.manyKinds || kind != Any && kind != w.Kind
		kind = w.Kind
		if w.ready() {
			if ready++; w.strikes == 0 {
				d.trusted++
			}
		}
	}
	d.mostReady = max(d.mostReady, ready)
}

// drop forgets a worker; what still refers to it sees that it is gone.
func (d *Dispatcher) drop(w *worker) {
	w.State = Gone
	delete(d.workers, w.ID)
}

// fill puts the workers into the blocks in the order given, those of platform blocks by ID
// and those of blocks by key, if the fleet has changed, on a hash ring.
func (d *Dispatcher) fill(best []*worker, changed bool) {
	var rings []placedRing
	for _, c := range d.defined() {
		for _, b := range append(c.blocks, c.deflt) {
			from := best
			if b.ByKey {
				if changed && len(d.keys) > 0 { // where none are sent it would be work for nothing
					rings = b.placeOnce(c, d.fleet, rings)
				}
				continue
			}
			if b.Strategy == Platform {
				from = d.fleet
			}
			b.members = b.members[:0]
			for _, w := range from {
				if (c.Kind == Any || c.Kind == w.Kind) && b.labels(w) {
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

// placeOnce places the block, or takes over the ring of one that has the same workers.
func (b *block) placeOnce(c *class, fleet []*worker, rings []placedRing) []placedRing {
	for _, p := range rings {
		if p.kind == c.Kind && slices.EqualFunc(p.block.Workers, b.Workers, Label.equal) {
			b.ring, b.members = p.block.ring, p.block.members
			return rings
		}
	}
	b.ring, b.members = nil, nil // the old ones may be another block's too
	b.place(c, fleet)
	return append(rings, placedRing{b, c.Kind})
}

func (l Label) equal(o Label) bool {
	return l.Zone == o.Zone && l.Kind == o.Kind && slices.Equal(l.IDs, o.IDs) && (l.IDs == nil) == (o.IDs == nil)
}

// place puts the block's workers on the hash ring, each at several points: so what one cannot
// take is spread over many others, and little moves when the fleet changes.
func (b *block) place(c *class, fleet []*worker) {
	at := map[uint64]*worker{}
	for _, w := range fleet {
		if (c.Kind == Any || c.Kind == w.Kind) && b.labels(w) {
			for i := range ringPoints {
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
	if w.Started == 0 || d.now-w.Started >= d.s.Rules.Cold {
		return 1
	}
	return d.s.Rules.warmth(d.now - w.Started)
}

// warmth is that of a worker while it is cold, so long after its start.
func (r *Rules) warmth(age time.Duration) float64 {
	return r.ColdFrom + (1-r.ColdFrom)*float64(age)/float64(r.Cold)
}

// plan is the part of the rule's budget for a worker that is planned, once it is warm: slot seconds a second.
func (d *Dispatcher) plan(w *worker) float64 {
	return coldShare * d.s.Rules.FallMultiple * d.size(w) * min(1, math.Exp(-d.kindSlowness(w)))
}

// lasts is how long after its aim a request's job may still start and end in time. It counts only for what
// has its one attempt out: what can go out again, or has not yet, gives its place up sooner.
func (r *request) lasts() time.Duration {
	if r.c.Effect != Unsafe {
		return 0
	}
	return time.Duration(max(0, r.c.Stretch-1) * float64(r.c.typical()))
}

// confirmWithin is how long a request's attempt may lack its worker's confirmation.
func (r *request) confirmWithin() time.Duration {
	if r.Patient {
		return confirmTimes * r.c.Aim / confirmPart
	}
	return r.c.Aim / confirmPart
}

// size is what a worker runs at once: as learned, or as large as the fleet must be for what the tenants have agreed.
// A dispatcher of many sees too little of any worker to learn it; of a few jobs, one long one says too much.
func (d *Dispatcher) size(w *worker) float64 {
	return max(1, w.slots, d.kind(w.Kind).Slots, d.agreed()*d.usual(sizePrior)/float64(max(1, d.mostReady)))
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
		if !w.ready() || w.strikes > 0 || barred {
			avoided++
		}
	}
	return listed, avoided
}

func (d *Dispatcher) do(a Action) { d.out = append(d.out, a) }

// backoff doubles base with n and jitters it, so that dispatchers spread out.
func (d *Dispatcher) backoff(base time.Duration, n int) time.Duration {
	return time.Duration(float64(base) * math.Exp2(float64(n-1)) * (0.5 + d.rng.Float64()))
}

func (d *Dispatcher) step() time.Duration { return max(minSweep, sweepTicks*d.s.Granularity) } // of sweeps

// random picks fairly among those of a block's workers that will do.
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

// worth is the mean of what a request of each class is worth.
func (d *Dispatcher) worth() float64 {
	mean, n := 0.0, 0.0
	for _, c := range d.current {
		mean += c.Worth
		n++
	}
	return mean / max(n, 1)
}

// noted takes word from a worker that an attempt runs or goes on.
func (d *Dispatcher) noted(id uint32, n int, e Event) {
	r, a := d.attempt(id, n)
	if a == nil {
		return
	}
	d.begun(r, a)
	switch e.(type) {
	case StreamStarted:
		r.streaming = true
	case JobProgress:
		a.note = d.now
		d.alive(a.w)
	}
}
