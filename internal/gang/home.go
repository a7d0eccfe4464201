package gang

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// State is the state of a gang.
type State string

// The states.
const (
	Waiting     State = "waiting"   // for a plan
	Preparing   State = "preparing" // holds are being requested; with a Previous plan that is still in force, a move
	Held        State = "held"      // all holds are committed
	Starting    State = "going"     // the start is committed
	StartFailed State = "off"       // members are being called off
	Running     State = "running"   // all members have started
	Ended       State = "ended"
)

// MemberStatus is what is known about a member.
type MemberStatus string

// The statuses. All but Unknown and Began are final within a round.
const (
	Unknown    MemberStatus = ""
	Began      MemberStatus = "began"
	NeverRan   MemberStatus = "never_ran" // refused, or not sent
	MayHaveRun MemberStatus = "may_have_run"
	Done       MemberStatus = "done"
	Died       MemberStatus = "died"
)

// Notice is a decision that a group has not confirmed yet.
type Notice struct {
	Group uint32 `json:"group"`
	Round uint64 `json:"round"`
	Op    string `json:"op"` // commit, undo, end or lapse
}

// Entry is a gang as its home stores it.
type Entry struct {
	Spec           Spec           `json:"spec"`
	SubmittedAt    time.Duration  `json:"age"` // older gangs take precedence
	State          State          `json:"state"`
	Round          uint64         `json:"round"` // the last planning round
	Plan           *Plan          `json:"plan,omitempty"`
	Previous       *Plan          `json:"old,omitempty"`
	Votes          []uint32       `json:"votes,omitempty"`
	MemberStatuses []MemberStatus `json:"fates,omitempty"`
	Unconfirmed    []Notice       `json:"due,omitempty"`
	Retry          time.Duration  `json:"retry,omitempty"` // time before which it is not planned again
	Reason         string         `json:"why,omitempty"`   // for the last setback
	Verdict        string         `json:"verdict,omitempty"`
	MayHaveRun     []int          `json:"may_have_run,omitempty"` // members of a gang that did not start
	Dead           []int          `json:"dead,omitempty"`         // members that died after all had started
	HeldAt         time.Duration  `json:"decided,omitempty"`      // when all its holds were first committed
	Moves          int            `json:"moves,omitempty"`
	Plans          int            `json:"plans,omitempty"` // planning rounds begun
	EndedAt        time.Duration  `json:"over,omitempty"`
}

// The verdicts.
const (
	Completed      = "done"
	NotStarted     = "not_started"
	DiedAfterStart = "dead_after_start" // all started, and some died
	Cancelled      = "cancelled"
)

// home is the part of the state machine with the gangs whose home the group is.
type home struct {
	Gangs map[string]*Entry `json:"gangs"`
}

func (m *home) submit(at time.Duration, spec Spec) Result {
	if e := m.Gangs[spec.ID]; e != nil { // submitted again
		return Result{OK: true, Entry: e}
	}
	spec, err := spec.Validate(at)
	if err != nil {
		return Result{Err: err.Error()}
	}
	if len(m.Gangs) >= maxGangs {
		maps.DeleteFunc(m.Gangs, func(_ string, e *Entry) bool {
			return e.State == Ended && len(e.Unconfirmed) == 0 && e.EndedAt < at-endedRetention
		})
		if len(m.Gangs) >= maxGangs {
			return Result{Full: true, Err: "too many gangs"}
		}
	}
	e := &Entry{Spec: spec, SubmittedAt: at, State: Waiting}
	m.Gangs[spec.ID] = e
	return Result{OK: true, Entry: e}
}

// applyToGang applies a command to its gang. A command of another round, or one that the state does not allow, changes
// nothing.
func (m *home) applyToGang(at time.Duration, c Command) Result {
	e := m.Gangs[c.Gang]
	if e == nil {
		return Result{Err: "no such gang", NotFound: true}
	}
	refusal := e.apply(at, c)
	if refusal != "" {
		return Result{Err: refusal, Entry: e}
	}
	return Result{OK: true, Entry: e}
}

func (e *Entry) apply(at time.Duration, c Command) string {
	current := e.Plan != nil && e.Plan.Round == c.Round
	when := cmp.Or(c.At, at) // the log's time may come from any dispatcher's clock; a start goes by one clock only
	switch c.Op {
	case "plan":
		return e.setPlan(when, c.Plan)
	case "vote":
		if e.State != Preparing || !current {
			return "another round"
		}
		return e.addVote(at, when, c.Group)
	case "abort":
		if e.State != Preparing || !current {
			return "another round"
		}
		e.abortRound(at, c.Reason)
	case "wound": // wound-wait: an older gang needs slots for which this one is still preparing
		if e.State != Preparing || !current {
			return "too late"
		} else if !older(c.SubmittedAt, c.By, e.SubmittedAt, e.Spec.ID) {
			return "it is not older"
		}
		e.abortRound(at, "gave way to "+c.By)
	case "drop":
		if e.State != Held || !current {
			return "too late"
		}
		e.releaseHolds(at, c.Reason)
	case "go":
		switch {
		case e.State != Held || !current:
			return "too late"
		case when > e.Plan.Start-GoMargin:
			e.releaseHolds(at, "the word to go came too late")
			return "too late"
		case len(c.Armed) != len(e.Spec.Members):
			return "not all are armed"
		}
		e.State, e.MemberStatuses = Starting, make([]MemberStatus, len(e.Spec.Members))
	case "report":
		if !current || c.Member < 0 || c.Member >= len(e.MemberStatuses) {
			return "another round"
		}
		return e.report(at, when, c.Member, c.MemberStatus, c.Reason)
	case "off":
		if e.State != Starting || !current || when <= e.Plan.Start+StartTimeout {
			return "not yet, or too late"
		}
		e.failStart("not all had started in time")
	case "settle":
		if e.State != StartFailed || !current || when < e.Plan.Start+SettleDelay {
			return "not yet"
		}
		e.settle(at)
	case "cancel":
		return e.cancel(at)
	case "ask":
	case "told":
		e.Unconfirmed = slices.DeleteFunc(e.Unconfirmed, func(d Notice) bool { return d == *c.Confirmed })
	case "refuse":
		if e.State != Waiting || at <= e.Spec.LatestStart-MinLead {
			return "its window is open"
		}
		e.end(at, NotStarted, cmp.Or(e.Reason, "no room in its window"))
	case "wait":
		if e.State == Waiting {
			e.Retry, e.Reason = at+min(c.RetryAfter, time.Second), c.Reason
		}
	default:
		return "unknown: " + c.Op
	}
	return ""
}

// older reports whether a gang was submitted before another one.
func older(submittedAt time.Duration, id string, otherSubmittedAt time.Duration, other string) bool {
	return submittedAt < otherSubmittedAt || submittedAt == otherSubmittedAt && id < other
}

func (e *Entry) setPlan(at time.Duration, p *Plan) string {
	n := len(e.Spec.Members)
	switch move := e.State == Held; {
	case p == nil || p.Round != e.Round+1 || e.State != Waiting && !move:
		return "another round"
	case len(p.Encoders) != n || len(p.Dispatchers) != n || len(p.Holds) > 2*n || !p.coversMembers(e.Spec.Members):
		return "not a plan"
	case move && (p.Start > e.Plan.Start || p.Clock != e.Plan.Clock):
		return "a move keeps the start, or comes sooner"
	case p.Start < e.Spec.NotBefore || p.Start > e.Spec.LatestStart || at > p.Start-voteMargin:
		return "out of its window"
	case move:
		e.Previous = e.Plan
	}
	e.State, e.Round, e.Plan, e.Votes, e.MemberStatuses = Preparing, p.Round, p, nil, nil
	e.Plans++
	return ""
}

// addVote records that a group has prepared the holds. The last vote commits the round; this is the only place where
// that is decided.
func (e *Entry) addVote(at, when time.Duration, group uint32) string {
	all := e.Plan.groups()
	if _, asked := search(all, group); !asked {
		return "it was not asked"
	}
	if when > e.Plan.Start-voteMargin {
		e.abortRound(at, "its holds came too late")
		return "too late"
	}
	if i, found := search(e.Votes, group); !found {
		e.Votes = insert(e.Votes, i, group)
	}
	if len(e.Votes) < len(all) {
		return ""
	}
	e.State, e.HeldAt = Held, cmp.Or(e.HeldAt, at)
	for _, g := range all {
		e.addNotice(g, e.Plan.Round, "commit")
	}
	for _, g := range e.Previous.groups() {
		if _, again := search(all, g); !again {
			e.addNotice(g, e.Previous.Round, "end")
		}
	}
	if e.Previous != nil && e.Previous.Start == e.Plan.Start {
		e.Moves++
	}
	e.Previous = nil
	return ""
}

// addNotice queues a notice for a group and drops queued notices that it supersedes.
func (e *Entry) addNotice(group uint32, round uint64, op string) {
	e.Unconfirmed = slices.DeleteFunc(e.Unconfirmed, func(d Notice) bool {
		return d.Group == group && d.Op != "lapse" && (op != "commit" && op != "undo" && d.Round <= round || d.Round == round)
	})
	e.Unconfirmed = append(e.Unconfirmed, Notice{group, round, op})
}

// retryTime returns when a gang may be planned again after a failed round.
func (e *Entry) retryTime(at time.Duration) time.Duration {
	return at + min(20*time.Millisecond<<min(e.Plans, 5), 500*time.Millisecond)
}

// abortRound abandons a round whose holds were not all prepared.
func (e *Entry) abortRound(at time.Duration, reason string) {
	for _, g := range e.Plan.groups() {
		e.addNotice(g, e.Plan.Round, "undo")
	}
	e.Reason, e.Retry = reason, e.retryTime(at)
	if e.Plan, e.Previous, e.Votes = e.Previous, nil, nil; e.Plan != nil {
		e.State = Held
		return
	}
	e.State = Waiting
}

// releaseOp returns how holds are released: at once ("end") if every member is known not to run or has been called
// off, else at their expiry ("lapse").
func (e *Entry) releaseOp() string {
	if slices.ContainsFunc(e.MemberStatuses, func(f MemberStatus) bool { return f == Unknown || f == Began || f == Died }) {
		return "lapse"
	}
	return "end"
}

// releaseHolds gives up committed holds of a gang of which, as far as known, nothing runs.
func (e *Entry) releaseHolds(at time.Duration, reason string) {
	for _, g := range e.Plan.groups() {
		e.addNotice(g, e.Plan.Round, e.releaseOp())
	}
	e.State, e.Plan, e.Votes, e.Reason, e.Retry = Waiting, nil, nil, reason, at
}

func (e *Entry) report(at, when time.Duration, member int, status MemberStatus, reason string) string {
	before := e.MemberStatuses[member]
	if before == status {
		return ""
	}
	if before != Unknown && before != Began {
		return "it has ended"
	}
	switch e.State {
	case Starting:
		switch status {
		case Began, Done: // a short member may be done before the last one begins
			if when > e.Plan.Start+StartTimeout {
				e.failStart("not all had started in time")
				return "too late"
			}
			e.MemberStatuses[member] = status
			if !slices.Contains(e.MemberStatuses, Unknown) {
				e.State = Running
				e.endIfAllEnded(at)
			}
		case NeverRan, MayHaveRun, Died:
			if e.MemberStatuses[member] = status; status == Died {
				e.MemberStatuses[member] = MayHaveRun
			}
			e.failStart(fmt.Sprintf("member %d at %s did not start: %s", member, e.Plan.Encoders[member], reason[:min(len(reason), maxNameLen)]))
		}
	case StartFailed:
		if status == Died {
			status = MayHaveRun
		}
		e.MemberStatuses[member] = status
		if !slices.ContainsFunc(e.MemberStatuses, func(status MemberStatus) bool { return status == Unknown || status == Began }) && when >= e.Plan.Start {
			e.settle(at)
		}
	case Running:
		switch status {
		case Died, MayHaveRun, NeverRan:
			e.MemberStatuses[member] = Died
			e.Dead = append(e.Dead, member)
		case Done:
			e.MemberStatuses[member] = Done
		}
		e.endIfAllEnded(at)
	default:
		return "too late"
	}
	return ""
}

func (e *Entry) failStart(reason string) { e.State, e.Reason = StartFailed, reason }

// settle finishes a failed start. The gang is planned again unless a member may have run that must not run twice.
func (e *Entry) settle(at time.Duration) {
	for i, f := range e.MemberStatuses {
		if f != NeverRan {
			e.MayHaveRun = append(e.MayHaveRun, i)
		}
	}
	for _, i := range e.MayHaveRun {
		if e.Spec.Members[i].Once {
			e.end(at, NotStarted, e.Reason)
			return
		}
	}
	e.MayHaveRun = nil
	e.releaseHolds(at, e.Reason)
	e.MemberStatuses = nil
	if e.Verdict == Cancelled {
		e.end(at, Cancelled, "")
	}
}

// endIfAllEnded ends a gang of which no member runs any more.
func (e *Entry) endIfAllEnded(at time.Duration) {
	running := slices.ContainsFunc(e.MemberStatuses, func(f MemberStatus) bool { return f == Began })
	if running {
		return
	}
	verdict := Completed
	if len(e.Dead) > 0 {
		verdict = DiedAfterStart
	}
	e.end(at, cmp.Or(e.Verdict, verdict), "")
}

// ShouldStop reports whether the running members are to be cancelled.
func (e *Entry) ShouldStop() bool {
	return e.State == Running && (e.Verdict == Cancelled || len(e.Dead) > 0 && e.Spec.OnDeath == StopAll)
}

func (e *Entry) end(at time.Duration, verdict, reason string) {
	for _, p := range []*Plan{e.Previous, e.Plan} {
		for _, g := range p.groups() {
			e.addNotice(g, p.Round, e.releaseOp())
		}
	}
	e.State, e.Verdict, e.EndedAt, e.Previous, e.Votes = Ended, verdict, at, nil, nil
	if e.Reason = cmp.Or(reason, e.Reason); verdict == Completed {
		e.Reason = ""
	}
	for i := range e.Spec.Members {
		e.Spec.Members[i].Payload = nil // no longer needed
	}
}

func (e *Entry) cancel(at time.Duration) string {
	switch e.State {
	case Preparing:
		previous := e.Previous
		if e.abortRound(at, "cancelled"); previous != nil {
			e.releaseHolds(at, "cancelled")
		}
		e.end(at, Cancelled, "")
	case Waiting, Held:
		e.end(at, Cancelled, "")
	case Starting:
		e.Verdict = Cancelled
		e.failStart("cancelled")
	case Running:
		e.Verdict = Cancelled
	case StartFailed:
		e.Verdict = Cancelled
	}
	return ""
}
