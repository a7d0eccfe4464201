// Package decide makes the decisions of a dispatcher that pushes jobs to
// workers by Allocation Priority Policies. The policy itself is in decide.go and look.go;
// this file holds only the seam: the types that cross it, New and Handle.
package decide

import (
	"errors"
	"fmt"
	"time"
)

// Any in a [Label] matches every zone or every kind.
const Any = -1

// Strategy is how a block chooses among its valid workers.
type Strategy string

// The strategies of a block.
const (
	Random    Strategy = "random"
	BestFirst Strategy = "best_first"
	Platform  Strategy = "platform"
)

// Rule is what makes a worker of a block invalid, besides being unreachable.
type Rule string

// The invalidate rules.
const (
	CapacityUsed             Rule = "capacity_used"
	MaxConcurrentInvocations Rule = "max_concurrent_invocations"
	Overload                 Rule = "overload"
)

// Followup is what a policy does once all its blocks are invalid.
type Followup string

// The followups.
const (
	Fail    Followup = "fail"
	Default Followup = "default"
)

// Invalidate is a rule and its threshold: a percentage for CapacityUsed, a
// count for MaxConcurrentInvocations, nothing for Overload.
type Invalidate struct {
	Rule      Rule
	Threshold float64
}

// Label selects workers: by zone and kind (Any for all), and by ID where given.
type Label struct {
	Zone, Kind int
	IDs        []uint32
}

// Block is one step of a policy.
type Block struct {
	Workers    []Label
	Strategy   Strategy
	Invalidate Invalidate
	// ByKey: best_first goes by each request's key, in an order that all dispatchers share;
	// requests without a key pass the block over.
	ByKey bool
}

// Policy is the ordered blocks of one class and its followup.
type Policy struct {
	Blocks   []Block
	Followup Followup
}

// Effect says how far a request may be repeated.
type Effect int

// The effects.
const (
	Safe   Effect = iota // repeat at will
	Keyed                // a group of workers drops repeats for a while
	Unsafe               // never run twice
)

// Scope is the group of workers that drops the repeats of a keyed request.
type Scope int

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	Aim       time.Duration // isFull worth inside Aim + Stretch x own work
	Stretch   float64
	Deadline  time.Duration
	Worth     float64
	LateWorth float64
	Effect    Effect
	Scope     Scope
	Window    time.Duration // how long repeats of a Keyed request are dropped
	Kind      int           // the kind of worker it needs, or Any
	Stream    bool
	Left      bool // the settings have it no more; requests under way may be of it
}

// Tenant is a customer with an agreed rate across all dispatchers.
type Tenant struct {
	QuotaPerSecond float64
	Left           bool // the settings have it no more
}

// Limits is what the site allows.
type Limits struct {
	Attempts      int
	Open          int
	Cancel        bool
	SecondCopies  bool
	Probes        bool
	PeerMessages  bool
	RetryAfter    bool
	MaxRetryAfter time.Duration
	// ConnectTimeout: a connection not made by then fails.
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // connIdle connections are closed after this long
}

// Rules holds the figures behind the rules.
type Rules struct {
	AnswerSlack  time.Duration
	DrainGrace   time.Duration
	ColdFrom     float64
	Cold         time.Duration
	FallMultiple float64
	FallWindow   time.Duration
	MustAskIn    time.Duration
	Budget       *AttemptBudget // nil: no such rule
	GoneIsAdvice bool           // reservableSlots the list's states only draining binds
}

// AttemptBudget bounds attempts beyond each request's first: in any Span, Spare and
// PerRequest for each request that arrived in it.
type AttemptBudget struct {
	Spare, PerRequest float64
	Span              time.Duration
}

// Prices is what is taken off for one unit of each.
type Prices struct{ CrossZone, Waste, LateFail, Probe, Peer float64 }

// Goal weighs the parts of the result; it is checked, and no decision goes by it now. The parts: what is served of the whole, of the worst window,
// class and tenant, and punctually: by class and five seconds in full only while at most
// MissAllowed of the requests that are not refused in time miss their aim.
type Goal struct{ Whole, WorstWindow, WorstClass, WorstTenant, Punctual, MissAllowed float64 }

// Settings is all that a dispatcher is told at its start.
type Settings struct {
	Dispatcher, Dispatchers int
	Seed                    uint64
	Zone                    int
	Granularity             time.Duration
	Classes                 []Class
	First                   int // the class whose times pace what no rule does: the first that the settings name
	Tenants                 []Tenant
	OverShareWorth          float64
	Limits                  Limits
	Rules                   Rules
	Prices                  Prices
	Goal                    Goal
	Subscribe               bool // the worker list must be asked for
	Pushed                  bool // it is pushed; asking for it, where that must be, costs nobody anything
	ReportsFree             bool // load reports carry free slots
	TellsStart              bool
	MarksRetries            bool          // clients mark their later tries
	Progress                time.Duration // gap between progress notes; 0: none
	Rated                   bool          // worker ratings mean something
	Leasing                 Leasing       // reservableSlots the budget for cold workers
	// Policies has one policy for each class; nil derives them.
	Policies []Policy
}

// WorkerState is what discovery says of a worker.
type WorkerState int

// The states.
const (
	Gone WorkerState = iota
	Draining
	Ready
)

// Worker is one line of the worker list.
type Worker struct {
	ID               uint32
	Zone, Kind, Cell int
	Rating           float64
	Started          time.Duration // 0: long ago
	State            WorkerState
}

// Report is a worker's own load figures; a negative value was not told.
type Report struct{ Active, Waiting, FreeSlots, FreeMemory float64 }

// Span is slots that are held for a while.
type Span struct {
	From, Until time.Duration
	Slots       float64
}

// Outcome is how an attempt or probe ended.
type Outcome int

// The outcomes.
const (
	OK Outcome = iota
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// NeverRan tells whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == Moot }

// Event is something the dispatcher is told.
type Event interface{ event() }

// The events.
type (
	// ListFull replaces the worker list; Cached marks one that may be out of date.
	ListFull struct {
		Workers []Worker
		Cached  bool
	}
	// ListDelta changes the lines it holds.
	ListDelta struct{ Workers []Worker }
	// ListFailed: a subscription or a fetch failed; the list stays. Nobody: the call reached nobody, and cost
	// nobody anything. After: how long before that the call was made, also where it was not this module that asked; 0:
	// not told.
	ListFailed struct {
		Nobody bool
		After  time.Duration
	}
	// Request has arrived and is owed one final answer.
	Request struct {
		ID            uint32
		Class, Tenant int
		Key           uint64
		Budget        time.Duration
		Work          time.Duration // expected work, 0 when not told
		Slots, Memory float64
		Repeat        bool // a client's later try, where clients mark them
		// Order, where there is one, is the only workers that it may go to, the first before the next: a route's
		// rotation or hash. It takes the place of the class's blocks.
		Order []uint32
		// Held: it is what slots are held for, by Holds.
		Held bool
		// Patient: whoever sent it waits for its end until the deadline, so it is not called off for being late.
		Patient bool
		// Gated: each of its attempts waits for leave before it goes out, and Passed tells of that.
		Gated bool
	}
	// StreamStarted: the attempt's answer has begun and belongs to the client.
	StreamStarted struct {
		Request uint32
		Attempt int
	}
	// Passed: an attempt of a gated request goes out now.
	Passed struct {
		Request uint32
		Attempt int
	}
	// Taken: the worker has confirmed that it has the attempt. Where this is told at all, it is
	// told at once.
	Taken struct {
		Request uint32
		Attempt int
	}
	// JobStarted: the worker has begun to run the attempt.
	JobStarted struct {
		Request uint32
		Attempt int
	}
	// JobProgress: the share of the attempt that is done.
	JobProgress struct {
		Request uint32
		Attempt int
		Share   float64
	}
	// AttemptEnded is the one outcome of an attempt. Over: the request has ended.
	AttemptEnded struct {
		Request uint32
		Attempt int
		Outcome Outcome
		Over    bool
		Report  *Report
		Kept    time.Duration // how long its connection had been idle; 0: new, or not told
	}
	// RequestLapsed: the client has left; nothing more is owed.
	RequestLapsed struct{ Request uint32 }
	// Wake is a timer set by a WakeMe.
	Wake struct{ Token uint64 }
	// Probed is the result of a probe.
	Probed struct {
		Worker  uint32
		Outcome Outcome
		Report  *Report
	}
	// Cordon: people leave a worker out, or put it back.
	Cordon struct {
		Worker uint32
		Out    bool
	}
	// Holds replaces what is held of a worker, whoever sends what it is held for. From its start on it counts as used;
	// until then only what ends in time may fill it: a request of known work, or one whose deadline comes first.
	Holds struct {
		Worker uint32
		Slots  float64 // that the worker has
		Spans  []Span
	}
	// Relieve: this process takes over from one that has what is here in its memory. Nothing may
	// have arrived yet.
	Relieve struct{ Memory Memory }
	// Advise: an earlier process, which ended some time ago, had learned what is here. It is advice.
	Advise struct{ Memory Memory }
	// PeerSaid is a message of another dispatcher.
	PeerSaid struct {
		Peer int
		Body []byte
	}
)

func (ListFull) event()      {}
func (ListDelta) event()     {}
func (ListFailed) event()    {}
func (Request) event()       {}
func (StreamStarted) event() {}
func (Passed) event()        {}
func (Taken) event()         {}
func (JobStarted) event()    {}
func (JobProgress) event()   {}
func (AttemptEnded) event()  {}
func (RequestLapsed) event() {}
func (Wake) event()          {}
func (Probed) event()        {}
func (PeerSaid) event()      {}
func (Relieve) event()       {}
func (Advise) event()        {}
func (Cordon) event()        {}
func (Lease) event()         {}
func (Holds) event()         {}

// Action is something the dispatcher wants done.
type Action interface{ action() }

// The actions.
type (
	// Send starts an attempt; attempts of a request are numbered from 0 in order.
	Send struct {
		Request, Worker uint32
		Timeout         time.Duration // 0: until the client gives up
		MostIdle        time.Duration // a connection idle for longer is not to be used; 0: any may be
		Fresh           bool          // only a new connection is to be used
		Lease           uint64        // that it goes by; 0: none
	}
	// Cancel stops waiting for an attempt.
	Cancel struct {
		Request uint32
		Attempt int
	}
	// Refuse is a final answer: trying again is harmless.
	Refuse struct {
		Request    uint32
		RetryAfter time.Duration
	}
	// FailRequest is a final answer that promises nothing.
	FailRequest struct{ Request uint32 }
	// WakeMe asks for a Wake after a while.
	WakeMe struct {
		Token uint64
		After time.Duration
	}
	// Probe checks a worker.
	Probe struct{ Worker uint32 }
	// Release closes the idle connections to a worker.
	Release struct{ Worker uint32 }
	// Subscribe asks discovery for the list's changes from now on.
	Subscribe struct{}
	// TellPeers sends a message to one other dispatcher, or to all (Any).
	TellPeers struct {
		To   int
		Body []byte
	}
	// WantLease asks for a lease of a cold worker's budget.
	WantLease struct {
		Worker  uint32
		Started time.Duration
		Work    float64 // seconds of a slot
	}
	// Log is a line for the people on call.
	Log struct{ Text string }
)

func (Send) action()        {}
func (Cancel) action()      {}
func (Refuse) action()      {}
func (FailRequest) action() {}
func (WakeMe) action()      {}
func (Probe) action()       {}
func (Release) action()     {}
func (Subscribe) action()   {}
func (TellPeers) action()   {}
func (Log) action()         {}
func (WantLease) action()   {}

// New returns a dispatcher that has just started and holds nothing.
func New(s Settings) (*Dispatcher, error) {
	d := &Dispatcher{
		rng: s.newRand(), admitted: 1, maxIdle: s.Limits.ConnIdle * 3 / 5,
		workers: map[uint32]*worker{}, kinds: map[int]*kindStat{}, cordons: map[uint32]bool{},
		requests: map[uint32]*request{}, keyDemand: map[uint64]demand{}, peers: map[int]*peer{}, unplaced: map[placementKey]unplaced{}, peerSums: map[uint32]*loadSum{}, errors: tally{N: errorSamples},
	}
	if err := d.Retune(s); err != nil {
		return nil, err
	}
	return d, nil
}

// Retune has the dispatcher go by other settings from now on, with all that it knows of workers; an error says
// that it cannot, and goes by the old ones. Classes and tenants must keep their numbers: those that
// are no more stay, marked so. Requests in hand keep the class that they came with.
func (d *Dispatcher) Retune(s Settings) error {
	if s.Policies == nil && len(s.Classes) > 0 {
		s.Policies = defaultPolicies(s)
	}
	if err := s.check(); err != nil {
		return fmt.Errorf("decide: %w", err)
	}
	if len(s.Classes) < len(d.classes) || len(s.Tenants) < len(d.tenantDemand) {
		return errors.New("decide: a class or tenant has lost its number")
	}
	d.dropOutdated(s)
	d.settings = s
	d.budget = AttemptBudget{Spare: extraBase, PerRequest: extraPerRequest, Span: max(s.Classes[s.First].Deadline, time.Second)}
	if s.Rules.Budget != nil {
		d.budget = *s.Rules.Budget
	}
	d.tenantDemand = append(d.tenantDemand, make([]demand, len(s.Tenants)-len(d.tenantDemand))...)
	for i, p := range s.Policies {
		c := &class{errors: tally{N: errorSamples}}
		if i < len(d.classes) {
			if c = d.classes[i]; c.Class != s.Classes[i] {
				c = d.redefine(i, s.Classes[i])
			}
			d.classes[i] = c
		} else {
			d.classes = append(d.classes, c)
			d.queueOrder = append(d.queueOrder, 2*i, 2*i+1)
			d.queues = append(d.queues, nil, nil)
		}
		c.Class, c.followup, c.blocks = s.Classes[i], p.Followup, nil
		for _, b := range p.Blocks {
			c.blocks = append(c.blocks, &block{Block: b})
		}
		all := []Label{{Zone: Any, Kind: c.Kind}}
		c.defaultBlock = &block{Block: Block{Workers: all, Strategy: Platform, Invalidate: Invalidate{Rule: Overload}}}
	}
	d.updateActiveClasses()
	for _, w := range d.workers {
		for range len(d.classes) - len(w.classErrors) {
			w.classErrors, w.refusals = append(w.classErrors, tally{N: 3}), append(w.refusals, refusal{})
		}
	}
	d.blocksStale, d.mayHaveRoom, d.sortAfter = true, true, 0
	return nil
}

// Handle takes what has happened by now and returns what to do, in order.
func (d *Dispatcher) Handle(now time.Duration, events []Event) []Action {
	d.actions = nil
	d.beginBatch(now)
	for _, e := range events {
		switch e := e.(type) {
		case ListFull:
			d.updateList(e.Workers, true)
			if e.Cached && d.settings.Subscribe {
				d.scheduleSubscribe(ListFailed{})
			}
		case ListDelta:
			d.updateList(e.Workers, false)
		case ListFailed:
			d.logCondition(&d.listLost, true, "worker list lost", "")
			d.scheduleSubscribe(e)
		case Request:
			d.arrive(e)
		case StreamStarted:
			d.attemptReported(e.Request, e.Attempt, e)
		case Passed:
			d.gatedAttemptSent(e)
		case Taken:
			if _, a := d.openAttempt(e.Request, e.Attempt); a != nil {
				a.accepted, d.confirmsAttempts = true, true
			}
		case JobStarted:
			d.attemptReported(e.Request, e.Attempt, e)
		case JobProgress:
			d.attemptReported(e.Request, e.Attempt, e)
		case AttemptEnded:
			d.attemptEnded(e)
		case RequestLapsed:
			if r := d.requests[e.Request]; r != nil {
				d.closeRequest(r)
			}
		case Wake:
			d.timerSet = false
		case Probed:
			d.probeEnded(e)
		case PeerSaid:
			d.peerMessage(e)
		case Cordon:
			d.setCordon(e.Worker, e.Out)
		case Lease:
			d.addLease(e)
		case Holds:
			d.setReservations(e)
		case Advise:
			d.warmStart(e.Memory)
		case Relieve:
			d.restore(e.Memory)
		}
	}
	d.finishBatch()
	return d.actions
}
