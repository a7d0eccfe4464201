// Package decide makes the decisions of a job dispatcher that pushes jobs to workers by Allocation Priority
// Policies. It does no input or output and reads no clock: the caller passes events and the time to
// [Dispatcher.Handle] and carries out the actions that it returns.
//
// This file has the package's interface; most decisions are in decide.go, placement.go and retry.go.
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

// Rule is what makes a reachable worker of a block invalid.
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

// Invalidate is a rule and its threshold: a percentage for CapacityUsed, a count for MaxConcurrentInvocations,
// unused for Overload.
type Invalidate struct {
	Rule      Rule
	Threshold float64
}

// Label selects workers by zone and kind (Any for all), and by ID where IDs are given.
type Label struct {
	Zone, Kind int
	IDs        []uint32
}

// Block is one step of a policy.
type Block struct {
	Workers    []Label
	Strategy   Strategy
	Invalidate Invalidate
	// ByKey: best_first orders the workers by each request's key, the same in all dispatchers;
	// requests without a key skip the block.
	ByKey bool
}

// Policy is a class's blocks, in order, and its followup.
type Policy struct {
	Blocks   []Block
	Followup Followup
}

// Effect is how far a request may be repeated.
type Effect int

// The effects.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // a group of workers drops repeats for a while
	Unsafe               // must never run twice
)

// Scope is the group of workers that drops repeats of a keyed request.
type Scope int

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	Aim         time.Duration `json:"Aim"` // an answer within Aim + Stretch times the job's own run time is in time
	Stretch     float64       `json:"Stretch"`
	Deadline    time.Duration `json:"Deadline"`
	Worth       float64       `json:"Worth"`     // of an answer in time
	LateWorth   float64       `json:"LateWorth"` // share of Worth that a later answer has
	Effect      Effect        `json:"Effect"`
	Scope       Scope         `json:"Scope"`
	DedupWindow time.Duration `json:"Window"` // how long repeats of a Keyed request are dropped
	Kind        int           `json:"Kind"`   // the kind of worker it needs, or Any
	Stream      bool          `json:"Stream"`
	Removed     bool          `json:"Left"` // removed from the settings; open requests may still have it
}

// Tenant is a customer with an agreed rate across all dispatchers.
type Tenant struct {
	QuotaPerSecond float64
	Removed        bool // removed from the settings
}

// Limits is what the site allows.
type Limits struct {
	MaxAttempts      int  // for one request
	MaxOpen          int  // open requests; 0: no limit
	Cancel           bool // attempts can be cancelled
	ParallelAttempts bool // a request may have several attempts at a time
	Probes           bool
	PeerMessages     bool
	RetryAfter       bool // refusals may have one
	MaxRetryAfter    time.Duration
	// ConnectTimeout is the time after which connecting fails.
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // idle connections are closed after this long
}

// Rules holds the parameters of the rules.
type Rules struct {
	AnswerSlack     time.Duration // no decision depends on it
	DrainGrace      time.Duration // time in which a draining worker finishes what it has
	ColdFrom        float64       // share of its capacity that a worker has at its start
	Cold            time.Duration // time in which it warms up to all of it
	FallMultiple    float64       // times its capacity that a cold worker may get in a FallWindow
	FallWindow      time.Duration
	SubscribeWithin time.Duration  // time in which the worker list must be subscribed to
	Budget          *AttemptBudget // nil: the rules set none
	GoneIsAdvisory  bool           // the list's state Gone is only advisory; Draining binds
}

// AttemptBudget bounds attempts beyond each request's first: in any Window, Spare of them plus PerRequest for
// each request that arrived in it.
type AttemptBudget struct {
	Spare, PerRequest float64
	Window            time.Duration
}

// Prices is the deduction from the result for one unit of each. Only CrossZone affects decisions.
type Prices struct{ CrossZone, Waste, LateFail, Probe, Peer float64 }

// Goal weighs the parts of the result. It is validated, but no decision depends on it. The parts are the
// served share of all work, of the worst window, of the worst class and of the worst tenant, and the punctual
// share by class and five seconds, which counts in full only while at most MissAllowed of the requests that are
// not refused in time miss their aim.
type Goal struct{ Whole, WorstWindow, WorstClass, WorstTenant, Punctual, MissAllowed float64 }

// Settings configures a dispatcher.
type Settings struct {
	DispatcherIndex, DispatcherCount int // index of this dispatcher, and their number
	Seed                             uint64
	Zone                             int
	Granularity                      time.Duration
	Classes                          []Class
	TimingClass                      int // index of the class whose times apply where no rule sets one
	Tenants                          []Tenant
	OverShareWorth                   float64 // no decision depends on it
	Limits                           Limits
	Rules                            Rules
	Prices                           Prices
	Goal                             Goal
	Subscribe                        bool          // the worker list must be subscribed to
	ListPushed                       bool          // a local agent pushes the list; subscribing loads no service
	ReportsFreeSlots                 bool          // load reports include free slots
	ReportsStart                     bool          // the start of jobs is reported
	RetriesMarked                    bool          // clients mark their retries
	ProgressInterval                 time.Duration // interval of progress reports; 0: there are none
	Rated                            bool          // worker ratings are meaningful
	Leasing                          Leasing       // of the budget for cold workers
	// Policies has one policy for each class; nil: they are derived.
	Policies []Policy
}

// WorkerState is a worker's state as discovery lists it.
type WorkerState int

// The states.
const (
	Gone WorkerState = iota
	Draining
	Ready
)

// Worker is one entry of the worker list.
type Worker struct {
	ID      uint32        `json:"ID"`
	Zone    int           `json:"Zone"`
	Kind    int           `json:"Kind"`
	Cell    int           `json:"Cell"`
	Rating  float64       `json:"Rating"`
	Started time.Duration `json:"Started"` // 0: not recent
	State   WorkerState   `json:"State"`
}

// Report is a worker's own load figures; a negative value is not reported.
type Report struct {
	Active     float64 `json:"Active"`
	Waiting    float64 `json:"Waiting"` // no decision depends on it
	FreeSlots  float64 `json:"FreeSlots"`
	FreeMemory float64 `json:"FreeMemory"`
}

// Reservation is a number of slots that is reserved for a time.
type Reservation struct {
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
	NotSent
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NotSent }

// Event is an input of the dispatcher.
type Event interface{ event() }

// The events.
type (
	// ListFull replaces the worker list; Cached marks one that may be out of date.
	ListFull struct {
		Workers []Worker
		Cached  bool
	}
	// ListDelta replaces the entries that it holds and keeps the others.
	ListDelta struct{ Workers []Worker }
	// ListFailed: a subscription or a fetch failed; the list stays. Unreachable: the call did not reach the service. Elapsed:
	// how long ago the call was made, whether for a Subscribe or not; 0: not known.
	ListFailed struct {
		Unreachable bool
		Elapsed     time.Duration
	}
	// Request has arrived and must get one final answer.
	Request struct {
		ID     uint32        `json:"ID"`
		Class  int           `json:"Class"`
		Tenant int           `json:"Tenant"`
		Key    uint64        `json:"Key"`
		Budget time.Duration `json:"Budget"`
		Work   time.Duration `json:"Work"` // expected work, 0 when not known
		Slots  float64       `json:"Slots"`
		Memory float64       `json:"Memory"`
		Retry  bool          `json:"Repeat"` // a client's retry, where clients mark them
		// Candidates, if not empty, lists the only workers that it may go to, in order of preference: a route's rotation or
		// hash. It replaces the class's blocks.
		Candidates []uint32 `json:"Order"`
		// Reserved: slots are reserved for it, by WorkerReservations.
		Reserved bool `json:"Held"`
		// UntilDeadline: its client waits until the deadline, so it is not given up for being late.
		UntilDeadline bool `json:"Patient"`
		// Gated: each of its attempts waits for permission after its Send, and is sent at its AttemptSent event.
		Gated bool `json:"Gated"`
	}
	// StreamStarted: the attempt's answer has begun and is passed on to the client.
	StreamStarted struct {
		Request uint32
		Attempt int
	}
	// AttemptSent: an attempt of a gated request is sent now.
	AttemptSent struct {
		Request uint32
		Attempt int
	}
	// AttemptAccepted: the worker has confirmed that it has the attempt. Workers that confirm attempts do so at once.
	AttemptAccepted struct {
		Request uint32
		Attempt int
	}
	// JobStarted: the worker has begun to run the attempt.
	JobStarted struct {
		Request uint32
		Attempt int
	}
	// JobProgress reports the share of the job that is done. Decisions depend on the report, not on the share.
	JobProgress struct {
		Request uint32
		Attempt int
		Share   float64
	}
	// AttemptEnded is the only outcome of an attempt. RequestEnded: the request has ended with it.
	AttemptEnded struct {
		Request      uint32
		Attempt      int
		Outcome      Outcome
		RequestEnded bool
		Report       *Report
		ConnIdle     time.Duration // how long its connection had been idle; 0: new, or not known
	}
	// MaybeReturned: the worker has returned the attempt without having started it, or has repeated that it returned an
	// earlier attempt of the request; the two cannot be told apart.
	MaybeReturned struct {
		Request uint32
		Attempt int
	}
	// RequestCancelled: the client has left, and expects no answer.
	RequestCancelled struct{ Request uint32 }
	// TimerFired: a timer set by a SetTimer has fired. Its Token is ignored.
	TimerFired struct{ Token uint64 }
	// Probed is the result of a probe.
	Probed struct {
		Worker  uint32
		Outcome Outcome
		Report  *Report
	}
	// Cordon: an operator cordons a worker, or removes its cordon.
	Cordon struct {
		Worker   uint32
		Cordoned bool
	}
	// WorkerReservations replaces a worker's reservations, for requests of any dispatcher. From its start on a reservation counts as
	// used; until then its slots may be used by requests that end in time: of known work, or with an earlier deadline.
	WorkerReservations struct {
		Worker       uint32
		Slots        float64 // of the worker
		Reservations []Reservation
	}
	// Restore: this process takes over from an earlier one with this state. No request may have arrived before.
	Restore struct{ Snapshot Snapshot }
	// WarmStart: an earlier process, which ended some time ago, had learned this. It is only advisory.
	WarmStart struct{ Snapshot Snapshot }
	// PeerMessage is a message from another dispatcher.
	PeerMessage struct {
		Peer int
		Body []byte
	}
)

func (ListFull) event()           {}
func (ListDelta) event()          {}
func (ListFailed) event()         {}
func (Request) event()            {}
func (StreamStarted) event()      {}
func (AttemptSent) event()        {}
func (AttemptAccepted) event()    {}
func (JobStarted) event()         {}
func (JobProgress) event()        {}
func (AttemptEnded) event()       {}
func (MaybeReturned) event()      {}
func (RequestCancelled) event()   {}
func (TimerFired) event()         {}
func (Probed) event()             {}
func (PeerMessage) event()        {}
func (Restore) event()            {}
func (WarmStart) event()          {}
func (Cordon) event()             {}
func (Lease) event()              {}
func (WorkerReservations) event() {}

// Action is something that the caller is to do.
type Action interface{ action() }

// The actions.
type (
	// Send starts an attempt; attempts of a request are numbered from 0 in order.
	Send struct {
		Request, Worker uint32
		Timeout         time.Duration // always 0: none; the attempt may last until the client gives up
		MaxIdle         time.Duration // a connection idle for longer must not be used; 0: no limit
		NewConn         bool          // only a new connection may be used
		SettledConn     bool          // no connection may be used on which a late response to its last request may still come
		Lease           uint64        // the lease that it uses; 0: none
		// SendWithin is the time in which it, and all open attempts of the request, must have been sent completely:
		// until the end of the deduplication window of a Keyed request of which an attempt may have run. 0: no limit.
		SendWithin time.Duration
	}
	// Cancel cancels an attempt.
	Cancel struct {
		Request uint32
		Attempt int
	}
	// Refuse is a final answer after which a retry does no harm.
	Refuse struct {
		Request    uint32
		RetryAfter time.Duration
	}
	// FailRequest is a final answer after which the job may have run.
	FailRequest struct{ Request uint32 }
	// SetTimer sets a timer, whose TimerFired comes after this time. Its Token is always 0.
	SetTimer struct {
		Token uint64
		After time.Duration
	}
	// Probe checks whether a worker answers.
	Probe struct{ Worker uint32 }
	// CloseIdle closes the idle connections to a worker.
	CloseIdle struct{ Worker uint32 }
	// Subscribe subscribes to the worker list at discovery.
	Subscribe struct{}
	// SendToPeers sends a message to another dispatcher, or to all (Any).
	SendToPeers struct {
		To   int
		Body []byte
	}
	// RequestLease asks for a lease of a cold worker's budget.
	RequestLease struct {
		Worker  uint32
		Started time.Duration
		Work    float64 // slot seconds
	}
	// Log is a log line for the operators.
	Log struct{ Text string }
)

func (Send) action()         {}
func (Cancel) action()       {}
func (Refuse) action()       {}
func (FailRequest) action()  {}
func (SetTimer) action()     {}
func (Probe) action()        {}
func (CloseIdle) action()    {}
func (Subscribe) action()    {}
func (SendToPeers) action()  {}
func (Log) action()          {}
func (RequestLease) action() {}

// New returns a dispatcher that has just started and knows no workers or requests.
func New(s Settings) (*Dispatcher, error) {
	d := &Dispatcher{
		rng: s.newRand(), admitted: 1, maxIdle: s.Limits.ConnIdle * 3 / 5,
		workers: map[uint32]*worker{}, kinds: map[int]*kindStat{}, cordons: map[uint32]bool{},
		requests: map[uint32]*request{}, keyDemand: map[uint64]demand{}, peers: map[int]*peer{},
		unplaced: map[placementKey]unplaced{}, peerSums: map[uint32]*loadSum{}, errors: tally{Count: errorSamples},
	}
	if err := d.Reconfigure(s); err != nil {
		return nil, err
	}
	return d, nil
}

// Reconfigure changes the settings and keeps what was learned of workers. On an error the old settings stay. Classes
// and tenants must keep their indexes: those removed from the settings stay in them, marked Removed. Open requests
// keep the class that they arrived with.
func (d *Dispatcher) Reconfigure(s Settings) error {
	if s.Policies == nil && len(s.Classes) > 0 {
		s.Policies = defaultPolicies(s)
	}
	if err := s.check(); err != nil {
		return fmt.Errorf("decide: %w", err)
	}
	if len(s.Classes) < len(d.classes) || len(s.Tenants) < len(d.tenantDemand) {
		return errors.New("decide: new settings have fewer classes or tenants than the old ones")
	}
	d.dropOutdated(s)
	d.settings = s
	d.budget = AttemptBudget{Spare: extraBase, PerRequest: extraPerRequest, Window: max(s.Classes[s.TimingClass].Deadline, time.Second)}
	if s.Rules.Budget != nil {
		d.budget = *s.Rules.Budget
	}
	d.tenantDemand = append(d.tenantDemand, make([]demand, len(s.Tenants)-len(d.tenantDemand))...)
	for i, p := range s.Policies {
		c := &class{errors: tally{Count: errorSamples}}
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
			w.classErrors, w.classBars = append(w.classErrors, tally{Count: 3}), append(w.classBars, classBar{})
		}
	}
	d.blocksStale, d.mayHaveRoom, d.sortAfter = true, true, 0
	return nil
}

// Handle processes the events up to now and returns the actions to carry out, in order.
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
			d.logCondition(&d.listLost, true, "worker list cannot be updated", "")
			d.scheduleSubscribe(e)
		case Request:
			d.arrive(e)
		case StreamStarted:
			d.attemptReported(e.Request, e.Attempt, e)
		case AttemptSent:
			d.gatedAttemptSent(e)
		case AttemptAccepted:
			if _, a := d.openAttempt(e.Request, e.Attempt); a != nil {
				a.accepted, d.confirmsAttempts = true, true
			}
		case JobStarted:
			d.attemptReported(e.Request, e.Attempt, e)
		case JobProgress:
			d.attemptReported(e.Request, e.Attempt, e)
		case AttemptEnded:
			d.attemptEnded(e)
		case MaybeReturned:
			d.maybeReturned(e.Request, e.Attempt)
		case RequestCancelled:
			if r := d.requests[e.Request]; r != nil {
				d.closeRequest(r)
			}
		case TimerFired:
			d.timerSet = false
		case Probed:
			d.probeEnded(e)
		case PeerMessage:
			d.peerMessage(e)
		case Cordon:
			d.setCordon(e.Worker, e.Cordoned)
		case Lease:
			d.addLease(e)
		case WorkerReservations:
			d.setReservations(e)
		case WarmStart:
			d.warmStart(e.Snapshot)
		case Restore:
			d.restore(e.Snapshot)
		}
	}
	d.finishBatch()
	return d.actions
}
