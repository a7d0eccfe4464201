package promise

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// LeaseMargin is how long before the end of its lease an owner stops: sends that it has started by then are out before the end.
	LeaseMargin = 20 * time.Millisecond
	// MaxSubmitted is the maximum number of a group's jobs that are submitted to the dispatcher at once.
	MaxSubmitted = 512
	// callbackGrace is how long after an attempt's deadline the owner still waits for its callback before it gives up a job that may
	// have run.
	callbackGrace      = time.Second
	minResubmitDelay   = 100 * time.Millisecond // before a rejected job is submitted again
	maxResubmitDelay   = 5 * time.Second
	recordTimeout      = 10 * time.Second
	scanInterval       = 250 * time.Millisecond // of scans of the whole table; new jobs are seen at once
	proposalRetryDelay = 50 * time.Millisecond  // before a proposal with an unknown outcome is repeated
)

// MayHaveRun is the stored reason when a job that must not run twice ends as failed because its outcome is unknown.
const MayHaveRun = "may have run: whoever sent it is gone, and nothing was heard of it"

// Clocks holds the readings of a dispatcher's two clocks.
type Clocks struct {
	Mono time.Duration // since the start of the process; for leases
	Unix time.Duration // for the times of jobs
}

// Verdict is the dispatcher's answer to a submission.
type Verdict int

// Verdicts.
const (
	Served        Verdict = iota
	Rejected              // a retry is safe
	MayHaveFailed         // it may have run
	Impossible            // no instance can run it
)

// Action is something that the owner's caller must do.
type Action interface{ action() }

// Actions.
type (
	// Propose proposes a command, whose outcome the owner must receive.
	Propose struct {
		Seq uint64
		Command
	}
	// Submit submits a job to the dispatcher, with the time in which it must start.
	Submit struct {
		ID         string
		Index      uint64
		Submission int
		Job        Job
		TimeLeft   time.Duration
		Retry      bool
	}
	// AllowSend sends an attempt that waited for its intent, unless the lease clock has passed Until.
	AllowSend struct {
		ID                  string
		Submission, Attempt int
		Until               time.Duration
	}
	// DenySend ends an attempt that waited for its intent without sending it.
	DenySend struct {
		ID                  string
		Submission, Attempt int
	}
	// Abandon makes the dispatcher forget a submission. No message is sent because of it, and no cancellation.
	Abandon struct {
		ID         string
		Submission int
	}
	// Record commits that an instance has done a job. Unlike Propose it is continued after the lease has ended.
	Record struct{ Command }
	// EndReported gives the dispatcher an end that was reported to another dispatcher.
	EndReported struct {
		ID         string
		Submission int
		End        End
	}
)

func (Propose) action()     {}
func (Submit) action()      {}
func (AllowSend) action()   {}
func (DenySend) action()    {}
func (Abandon) action()     {}
func (Record) action()      {}
func (EndReported) action() {}

// Owner is the logic of the dispatcher that holds a group's lease and so acts for its promises. It is not safe for
// concurrent use.
type Owner struct {
	mayRetry func(class string) bool

	term        uint64 // 0: no lease
	leaseEnd    time.Duration
	lastTerm    uint64 // the term of the last lease
	losses      uint64 // how often the lease of that term was lost; proposals from before a loss are not accepted
	ownProposal uint64 // the pending proposal to take ownership; 0: none

	baseSubmission int // the highest submission number under earlier leases, which the dispatcher may still have
	submitted      map[string]*submission
	resubmits      map[string]resubmitState
	seq            uint64
	proposals      map[uint64]proposal
	actions        []Action
	scanInterval   time.Duration // between scans of the whole table
	nextScan       time.Duration // time of the next scan, by the lease clock
	lastSeen       uint64        // index of the newest receipt that was examined

	faults OwnerFaults
}

// OwnerFaults disables rules, so that tests can check that each is needed.
type OwnerFaults struct{ SendFirst, NoLease bool }

// submission is a job that has been submitted to the dispatcher.
type submission struct {
	number       int
	index        uint64 // of the receipt
	class        string
	mayHaveRun   bool                // an earlier submission may have run
	pendingSends map[int]pendingSend // attempts that wait for their intents
	instances    map[string]bool     // instances for which an attempt was requested; true: the job must not run twice
	endCommand   *Command            // the command that ends the job, if any
	endProposal  uint64              // the pending proposal of that; 0: none
	retryAt      time.Duration
}

type pendingSend struct {
	Command
	seq     uint64 // 0: to be proposed again
	retryAt time.Duration
}

// resubmitState holds when a job is to be submitted again.
type resubmitState struct {
	at      time.Duration // by the lease clock
	number  int
	backoff time.Duration
}

type proposal struct {
	id         string
	submission int
	attempt    int
	op         Op
}

// NewOwner returns an owner without a lease. mayRetry reports whether a job of a class may be retried after it may have run.
func NewOwner(mayRetry func(class string) bool) *Owner {
	return &Owner{mayRetry: mayRetry, scanInterval: scanInterval, submitted: map[string]*submission{}, resubmits: map[string]resubmitState{}, proposals: map[uint64]proposal{}}
}

// Actions returns the actions since the last call, in order.
func (o *Owner) Actions() []Action {
	all := o.actions
	o.actions = nil
	return all
}

// Submitted returns the number of jobs that are submitted to the dispatcher.
func (o *Owner) Submitted() int { return len(o.submitted) }

// HasLease reports whether the owner may still act under its lease: from LeaseMargin before its end it may not.
func (o *Owner) HasLease(c Clocks) bool {
	return o.term > 0 && (c.Mono < o.leaseEnd-LeaseMargin || o.faults.NoLease)
}

// SetLease sets the present state of the lease; ok is false if there is none.
func (o *Owner) SetLease(c Clocks, term uint64, until time.Duration, ok bool) {
	if !ok || term != o.term {
		o.resign()
	}
	if ok && c.Mono < until-LeaseMargin {
		if term != o.lastTerm {
			o.lastTerm, o.losses = term, 0
		}
		o.term, o.leaseEnd = term, until
	}
}

// resign abandons all submissions, since another dispatcher may be the owner now.
func (o *Owner) resign() {
	for _, id := range slices.Sorted(maps.Keys(o.submitted)) {
		s := o.submitted[id]
		for _, n := range slices.Sorted(maps.Keys(s.pendingSends)) {
			o.emit(DenySend{id, s.number, n})
		}
		o.emit(Abandon{id, s.number})
		o.baseSubmission = max(o.baseSubmission, s.number)
	}
	for _, l := range o.resubmits {
		o.baseSubmission = max(o.baseSubmission, l.number)
	}
	clear(o.submitted)
	clear(o.resubmits)
	clear(o.proposals)
	if o.term > 0 {
		o.losses++
	}
	o.term, o.ownProposal, o.nextScan, o.lastSeen = 0, 0, 0, 0
}

// generation is the generation of commands: the term, and how often the lease was lost in it.
func (o *Owner) generation() uint64 { return o.term<<generationShift + o.losses }

const generationShift = 24

func (o *Owner) emit(a Action) { o.actions = append(o.actions, a) }

func (o *Owner) propose(c Command, p proposal) uint64 {
	o.seq++
	c.Gen, p.op = o.generation(), c.Op
	o.proposals[o.seq] = p
	o.emit(Propose{o.seq, c})
	return o.seq
}

// Update examines the local copy of the table. It must be called after each change and about every 50 ms. The copy may be behind:
// nothing that is decided by it is sent before the group has committed it.
func (o *Owner) Update(c Clocks, m *Machine) {
	if !o.HasLease(c) {
		if o.term > 0 {
			o.resign()
		}
		return
	}
	if gen := o.generation(); m.Owner() != gen {
		if m.Owner() < gen && o.ownProposal == 0 { // proposals of an earlier owner count up to this command
			o.ownProposal = o.propose(Command{Op: OpTakeOwnership}, proposal{})
		} else if m.Owner() > gen {
			o.resign()
		}
		return
	}
	o.retryProposals(c, m)
	for _, id := range slices.Sorted(maps.Keys(o.submitted)) {
		s, e := o.submitted[id], m.Entry(id)
		if e != nil && e.Index != s.index {
			e = nil // the job was removed, and another one has its ID
		}
		if e != nil && e.End == nil {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(s.pendingSends)) {
			o.emit(DenySend{id, s.number, n})
		}
		if e != nil && e.End.Kind == Done && s.endCommand == nil {
			o.emit(EndReported{id, s.number, *e.End})
		} else {
			o.emit(Abandon{id, s.number})
		}
		o.forget(id)
	}
	if len(o.submitted) >= MaxSubmitted {
		return
	}
	from := o.lastSeen + 1
	if c.Mono >= o.nextScan {
		from, o.nextScan = 0, c.Mono+o.scanInterval
	}
	m.EachOpen(from, func(e *Entry) bool {
		if o.lastSeen = max(o.lastSeen, e.Index); o.submitted[e.ID] == nil {
			o.consider(c, e)
		}
		return len(o.submitted) < MaxSubmitted
	})
}

func (o *Owner) forget(id string) {
	delete(o.submitted, id)
	delete(o.resubmits, id)
}

// retryProposals repeats proposals with an unknown outcome and makes those that were postponed.
func (o *Owner) retryProposals(c Clocks, m *Machine) {
	for _, id := range slices.Sorted(maps.Keys(o.submitted)) {
		s := o.submitted[id]
		if s.endCommand != nil && s.endCommand.Op == OpRead && c.Mono >= s.retryAt { // the result could not be recorded
			o.forget(id)
			continue
		}
		if s.endCommand != nil && s.endProposal == 0 && c.Mono >= s.retryAt && !o.refusalTooEarly(c, s, m.Entry(id)) {
			s.endProposal = o.propose(*s.endCommand, proposal{id: id, submission: s.number})
		}
		for _, n := range slices.Sorted(maps.Keys(s.pendingSends)) {
			if a := s.pendingSends[n]; a.seq == 0 && c.Mono >= a.retryAt {
				a.seq = o.propose(a.Command, proposal{id: id, submission: s.number, attempt: n})
				s.pendingSends[n] = a
			}
		}
	}
}

// consider decides what to do with a job that is not submitted.
func (o *Owner) consider(c Clocks, e *Entry) {
	due := func(at time.Duration) bool { return c.Unix >= at }
	mayRetry := o.mayRetry(e.Job.Class)
	var deadline time.Duration
	failure := ""
	for _, in := range e.Intents {
		if in.Failure == "" {
			deadline = max(deadline, in.Deadline+callbackGrace)
		} else {
			failure = in.Failure
		}
	}
	switch next := o.resubmits[e.ID]; {
	case len(e.Intents) > 0 && !mayRetry:
		if deadline == 0 { // every attempt is known to have failed
			o.end(e, Failed, failure)
		} else if due(deadline) {
			o.end(e, Failed, MayHaveRun)
		}
	case due(e.StartBy):
		if len(e.Intents) > 0 {
			o.end(e, Failed, cmp.Or(failure, MayHaveRun))
		} else {
			o.end(e, Refused, "its time was over before it could be done")
		}
	case c.Mono < next.at:
	default:
		n := max(e.LastSubmission, next.number, o.baseSubmission) + 1
		o.resubmits[e.ID] = resubmitState{number: n, backoff: next.backoff}
		o.submitted[e.ID] = &submission{number: n, index: e.Index, class: e.Job.Class, mayHaveRun: len(e.Intents) > 0, pendingSends: map[int]pendingSend{}, instances: map[string]bool{}}
		o.emit(Submit{ID: e.ID, Index: e.Index, Submission: n, Job: e.Job, TimeLeft: e.StartBy - c.Unix, Retry: len(e.Intents) > 0})
	}
}

func (o *Owner) end(e *Entry, kind Kind, reason string) {
	o.finish(e.ID, &submission{number: max(e.LastSubmission, 1), index: e.Index, class: e.Job.Class, pendingSends: map[int]pendingSend{}}, kind, reason)
}

func (o *Owner) finish(id string, s *submission, kind Kind, reason string) {
	o.submitted[id] = s
	s.endCommand = &Command{Op: OpEnd, ID: id, Index: s.index, Kind: kind, Reason: reason}
	if kind == Refused && len(s.instances) > 0 && !o.mayRetry(s.class) { // the next update checks whether that is too early
		return
	}
	s.endProposal = o.propose(*s.endCommand, proposal{id: id, submission: s.number})
}

// refusalTooEarly reports whether a job that must not run twice would be refused before the table knows that its attempts never ran:
// it would then end as one that may have run. The owner waits for that as long as for a callback.
func (o *Owner) refusalTooEarly(c Clocks, s *submission, e *Entry) bool {
	return s.endCommand.Kind == Refused && e != nil && !o.mayRetry(s.class) &&
		slices.ContainsFunc(e.Intents, func(in Intent) bool { return c.Unix < in.Deadline+callbackGrace })
}

// RequestSend requests permission to send an attempt. until is the attempt's deadline in Unix time.
func (o *Owner) RequestSend(c Clocks, id string, n, attempt int, instance string, until time.Duration) {
	s := o.submitted[id]
	if s == nil || s.number != n || s.endCommand != nil || !o.HasLease(c) {
		o.emit(DenySend{id, n, attempt})
		return
	}
	once := !o.mayRetry(s.class)
	if mustNotRepeat, requested := s.instances[instance]; mustNotRepeat || requested && once { // reports on two attempts at one instance could not be told apart
		o.emit(DenySend{id, n, attempt})
		o.emit(Abandon{id, n})
		o.resubmit(c, id, n, 0)
		return
	}
	s.instances[instance] = once
	a := pendingSend{Command: Command{Op: OpIntent, ID: id, Index: s.index, Submission: n, Attempt: attempt, Instance: instance, Deadline: until}}
	if o.faults.SendFirst {
		o.emit(AllowSend{id, n, attempt, o.leaseEnd - LeaseMargin})
	}
	a.seq = o.propose(a.Command, proposal{id: id, submission: n, attempt: attempt})
	s.pendingSends[attempt] = a
}

// ProposalDone handles the outcome of a proposal; failed: the outcome is unknown.
func (o *Owner) ProposalDone(c Clocks, seq uint64, a Answer, failed bool) {
	p, ok := o.proposals[seq]
	if !ok {
		return // from an earlier lease
	}
	delete(o.proposals, seq)
	if p.op == OpTakeOwnership {
		o.ownProposal = 0 // the next update checks whether it succeeded
		return
	}
	s := o.submitted[p.id]
	if s == nil || s.number != p.submission {
		return
	}
	switch p.op {
	case OpEnd: // on a refusal the job has an end already or there is another owner: the next update handles both
		if s.endProposal = 0; failed {
			s.retryAt = c.Mono + proposalRetryDelay
		} else {
			s.retryAt = c.Mono + time.Second
		}
	case OpIntent:
		send, waiting := s.pendingSends[p.attempt]
		switch {
		case !waiting:
		case failed && o.HasLease(c): // it may be committed, which is harmless as nothing is sent
			send.seq, send.retryAt = 0, c.Mono+proposalRetryDelay
			s.pendingSends[p.attempt] = send
		case failed || !a.OK || !o.HasLease(c):
			delete(s.pendingSends, p.attempt)
			o.emit(DenySend{p.id, p.submission, p.attempt})
		default:
			delete(s.pendingSends, p.attempt)
			if !o.faults.SendFirst {
				o.emit(AllowSend{p.id, p.submission, p.attempt, o.leaseEnd - LeaseMargin})
			}
		}
	}
}

// NeverRan reports that an attempt ended without having run. It is accepted also close to the known end of the lease: the lease may
// have been renewed, and if it is lost, commands of its generation are refused.
func (o *Owner) NeverRan(id string, n, attempt int) {
	s := o.submitted[id]
	if s == nil || s.number != n {
		return
	}
	delete(s.pendingSends, attempt)
	o.propose(Command{Op: OpNeverRan, ID: id, Index: s.index, Submission: n, Attempt: attempt}, proposal{id: id, submission: n, attempt: attempt})
}

// Answered handles the dispatcher's only answer to a submission. It is accepted also close to the known end of the lease, like a
// report that an attempt never ran. left is the time in which the job may still start.
func (o *Owner) Answered(c Clocks, id string, index uint64, n int, v Verdict, by string, result []byte, after, left time.Duration) {
	if v == Served { // valid whoever the owner is
		o.emit(Record{Command{Op: OpReport, ID: id, Index: index, Submission: n, Instance: by, Kind: Done, Result: result}})
	}
	s := o.submitted[id]
	if s == nil || s.number != n || s.endCommand != nil {
		return
	}
	switch {
	case v == Served:
		s.endCommand, s.endProposal = &Command{Op: OpRead}, 1 // nothing else may end it here
		s.retryAt = c.Mono + recordTimeout
	case v == Impossible && s.mayHaveRun:
		o.finish(id, s, Failed, "no encoder can do it as it stands, though one may have")
	case v == Impossible:
		o.finish(id, s, Refused, "no encoder can do it as it stands")
	case v == MayHaveFailed && !o.mayRetry(s.class):
		o.finish(id, s, Failed, "it failed, or may have run")
	case left <= 0 && (v == MayHaveFailed || s.mayHaveRun):
		o.finish(id, s, Failed, "it failed until its time was over")
	case left <= 0:
		o.finish(id, s, Refused, "turned away until its time was over")
	default:
		o.resubmit(c, id, n, after)
	}
}

// resubmit schedules another submission of a job after a delay of at least after.
func (o *Owner) resubmit(c Clocks, id string, n int, after time.Duration) {
	next := o.resubmits[id]
	next.backoff = min(max(minResubmitDelay, 2*next.backoff), maxResubmitDelay)
	next.at, next.number = c.Mono+max(after, next.backoff), n
	delete(o.submitted, id)
	o.resubmits[id] = next
}

// String describes the owner for operators.
func (o *Owner) String() string {
	return fmt.Sprintf("term %d, %d in hand, %d wait", o.term, len(o.submitted), len(o.resubmits))
}
