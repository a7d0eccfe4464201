package gang

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// State is how far a gang is.
type State string

// The states.
const (
	Waiting   State = "waiting"   // for a plan
	Preparing State = "preparing" // holds are asked for; with an Old plan, in which one stands, a move
	Held      State = "held"      // all holds stand
	Starting     State = "going"     // the start is committed
	StartFailed       State = "off"       // the start has failed: members are called off
	Running   State = "running"   // all have started
	Ended     State = "ended"
)

// MemberStatus is what is known of a member.
type MemberStatus string

// The fates. All but "" and Began are a member's last in a round.
const (
	Unknown  MemberStatus = ""
	Began    MemberStatus = "began"
	NeverRan MemberStatus = "never_ran" // refused, or not sent
	MayHaveRun   MemberStatus = "may_have_run"
	Done     MemberStatus = "done"
	Died     MemberStatus = "died"
)

// Notice is word that a group has not confirmed.
type Notice struct {
	Group uint32 `json:"group"`
	Round uint64 `json:"round"`
	Op    string `json:"op"` // commit, undo, end or lapse
}

// Entry is a gang at its home.
type Entry struct {
	Spec    Spec          `json:"spec"`
	SubmittedAt     time.Duration `json:"age"` // when it was submitted; whoever is older goes first
	State   State         `json:"state"`
	Round   uint64        `json:"round"` // of planning, the last one
	Plan    *Plan         `json:"plan,omitempty"`
	Previous     *Plan         `json:"old,omitempty"`
	Votes   []uint32      `json:"votes,omitempty"`
	MemberStatuses   []MemberStatus        `json:"fates,omitempty"`
	Unconfirmed     []Notice         `json:"due,omitempty"`
	Retry   time.Duration `json:"retry,omitempty"` // not to be planned before
	Reason     string        `json:"why,omitempty"`   // of the last turn for the worse
	Verdict string        `json:"verdict,omitempty"`
	MayHaveRun  []int         `json:"may_have_run,omitempty"` // members of a gang that did not start
	Dead    []int         `json:"dead,omitempty"`         // members that died after the start was committed
	HeldAt time.Duration `json:"decided,omitempty"`      // when its holds first stood
	Moves   int           `json:"moves,omitempty"`
	Plans   int           `json:"plans,omitempty"` // begun
	EndedAt    time.Duration `json:"over,omitempty"`
}

// The verdicts.
const (
	Completed  = "done"
	NotStarted = "not_started"
	DeadAfter  = "dead_after_start" // all started, and some died
	Cancelled  = "cancelled"
)

// home is the gangs whose home a group is.
type home struct {
	Gangs map[string]*Entry `json:"gangs"`
}

func (m *home) submit(at time.Duration, spec Spec) Result {
	if e := m.Gangs[spec.ID]; e != nil { // it is asked again
		return Result{OK: true, Entry: e}
	}
	spec, err := spec.Validate(at)
	if err != nil {
		return Result{Err: err.Error()}
	}
	if len(m.Gangs) >= maxGangs {
		maps.DeleteFunc(m.Gangs, func(_ string, e *Entry) bool { return e.State == Ended && len(e.Unconfirmed) == 0 && e.EndedAt < at-endedRetention })
		if len(m.Gangs) >= maxGangs {
			return Result{Full: true, Err: "too many gangs"}
		}
	}
	e := &Entry{Spec: spec, SubmittedAt: at, State: Waiting}
	m.Gangs[spec.ID] = e
	return Result{OK: true, Entry: e}
}

// applyToGang has a gang take a command; a command for another round, or out of its time, changes nothing.
func (m *home) applyToGang(at time.Duration, c Command) Result {
	e := m.Gangs[c.Gang]
	if e == nil {
		return Result{Err: "no such gang", NotFound: true}
	}
	said := e.apply(at, c)
	if said != "" {
		return Result{Err: said, Entry: e}
	}
	return Result{OK: true, Entry: e}
}

func (e *Entry) apply(at time.Duration, c Command) string {
	now := e.Plan != nil && e.Plan.Round == c.Round
	when := cmp.Or(c.At, at) // the log's time may be any dispatcher's, a start's is one's alone
	switch c.Op {
	case "plan":
		return e.setPlan(when, c.Plan)
	case "vote":
		if e.State != Preparing || !now {
			return "another round"
		}
		return e.addVote(at, when, c.Group)
	case "abort":
		if e.State != Preparing || !now {
			return "another round"
		}
		e.abortRound(at, c.Reason)
	case "wound": // an older gang wants what this one has not got yet
		if e.State != Preparing || !now {
			return "too late"
		} else if !older(c.SubmittedAt, c.By, e.SubmittedAt, e.Spec.ID) {
			return "it is not older"
		}
		e.abortRound(at, "gave way to "+c.By)
	case "drop":
		if e.State != Held || !now {
			return "too late"
		}
		e.releaseHolds(at, c.Reason)
	case "go":
		switch {
		case e.State != Held || !now:
			return "too late"
		case when > e.Plan.Start-GoMargin:
			e.releaseHolds(at, "the word to go came too late")
			return "too late"
		case len(c.Armed) != len(e.Spec.Members):
			return "not all are armed"
		}
		e.State, e.MemberStatuses = Starting, make([]MemberStatus, len(e.Spec.Members))
	case "report":
		if !now || c.Member < 0 || c.Member >= len(e.MemberStatuses) {
			return "another round"
		}
		return e.report(at, when, c.Member, c.MemberStatus, c.Reason)
	case "off":
		if e.State != Starting || !now || when <= e.Plan.Start+StartTimeout {
			return "not yet, or too late"
		}
		e.failStart("not all had started in time")
	case "settle":
		if e.State != StartFailed || !now || when < e.Plan.Start+SettleDelay {
			return "not yet"
		}
		e.settle(at)
	case "cancel":
		return e.cancel(at)
	case "ask":
	case "told":
		e.Unconfirmed = slices.DeleteFunc(e.Unconfirmed, func(d Notice) bool { return d == *c.Confirmed })
	case "refuse":
		if e.State != Waiting || at <= e.Spec.LatestStart-Lead {
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

func older(age time.Duration, id string, than time.Duration, other string) bool {
	return age < than || age == than && id < other
}

func (e *Entry) setPlan(at time.Duration, p *Plan) string {
	n := len(e.Spec.Members)
	switch move := e.State == Held; {
	case p == nil || p.Round != e.Round+1 || e.State != Waiting && !move:
		return "another round"
	case len(p.Encoders) != n || len(p.Starters) != n || len(p.Holds) > 2*n || !p.coversMembers(e.Spec.Members):
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

// addVote takes a group's yes. The last one decides, here and at no other place, that the holds stand.
func (e *Entry) addVote(at, when time.Duration, group uint32) string {
	all := e.Plan.groups()
	if _, asked := search(all, group); !asked {
		return "it was not asked"
	}
	if when > e.Plan.Start-voteMargin {
		e.abortRound(at, "its holds came too late")
		return "too late"
	}
	if i, have := search(e.Votes, group); !have {
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

// addNotice has a group be told; word that it overtakes need not be.
func (e *Entry) addNotice(group uint32, round uint64, op string) {
	e.Unconfirmed = slices.DeleteFunc(e.Unconfirmed, func(d Notice) bool {
		return d.Group == group && d.Op != "lapse" && (op != "commit" && op != "undo" && d.Round <= round || d.Round == round)
	})
	e.Unconfirmed = append(e.Unconfirmed, Notice{group, round, op})
}

// retryTime is for how long a gang waits after a round in vain.
func (e *Entry) retryTime(at time.Duration) time.Duration {
	return at + min(20*time.Millisecond<<min(e.Plans, 5), 500*time.Millisecond)
}

// abortRound gives a round up whose holds never stood.
func (e *Entry) abortRound(at time.Duration, why string) {
	for _, g := range e.Plan.groups() {
		e.addNotice(g, e.Plan.Round, "undo")
	}
	e.Reason, e.Retry = why, e.retryTime(at)
	if e.Plan, e.Previous, e.Votes = e.Previous, nil, nil; e.Plan != nil {
		e.State = Held
		return
	}
	e.State = Waiting
}

// releaseOp is how holds are given up: at once where it is known of all members that they do not run, or have been called off.
func (e *Entry) releaseOp() string {
	if slices.ContainsFunc(e.MemberStatuses, func(f MemberStatus) bool { return f == Unknown || f == Began || f == Died }) {
		return "lapse"
	}
	return "end"
}

// releaseHolds gives up holds that stood; nothing runs, as far as it is known.
func (e *Entry) releaseHolds(at time.Duration, why string) {
	for _, g := range e.Plan.groups() {
		e.addNotice(g, e.Plan.Round, e.releaseOp())
	}
	e.State, e.Plan, e.Votes, e.Reason, e.Retry = Waiting, nil, nil, why, at
}

func (e *Entry) report(at, when time.Duration, member int, f MemberStatus, why string) string {
	had := e.MemberStatuses[member]
	if had == f {
		return ""
	}
	if had != Unknown && had != Began {
		return "it has ended"
	}
	switch e.State {
	case Starting:
		switch f {
		case Began, Done: // a short one may be done before the last has begun
			if when > e.Plan.Start+StartTimeout {
				e.failStart("not all had started in time")
				return "too late"
			}
			e.MemberStatuses[member] = f
			if !slices.Contains(e.MemberStatuses, Unknown) {
				e.State = Running
				e.endIfAllEnded(at)
			}
		case NeverRan, MayHaveRun, Died:
			if e.MemberStatuses[member] = f; f == Died {
				e.MemberStatuses[member] = MayHaveRun
			}
			e.failStart(fmt.Sprintf("member %d at %s did not start: %s", member, e.Plan.Encoders[member], why[:min(len(why), maxNameLen)]))
		}
	case StartFailed:
		if f == Died {
			f = MayHaveRun
		}
		e.MemberStatuses[member] = f
		if !slices.ContainsFunc(e.MemberStatuses, func(f MemberStatus) bool { return f == Unknown || f == Began }) && when >= e.Plan.Start {
			e.settle(at)
		}
	case Running:
		switch f {
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

func (e *Entry) failStart(why string) { e.State, e.Reason = StartFailed, why }

// settle ends a start that has failed: the gang is planned anew unless a member may have run that must not run twice.
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

// endIfAllEnded ends a gang whose members all have, or which ends with the first death.
func (e *Entry) endIfAllEnded(at time.Duration) {
	open := slices.ContainsFunc(e.MemberStatuses, func(f MemberStatus) bool { return f == Began })
	if open {
		return
	}
	verdict := Completed
	if len(e.Dead) > 0 {
		verdict = DeadAfter
	}
	e.end(at, cmp.Or(e.Verdict, verdict), "")
}

// ShouldStop tells whether what runs is to be called off.
func (e *Entry) ShouldStop() bool {
	return e.State == Running && (e.Verdict == Cancelled || len(e.Dead) > 0 && e.Spec.OnDeath == StopAll)
}

func (e *Entry) end(at time.Duration, verdict, why string) {
	for _, p := range []*Plan{e.Previous, e.Plan} {
		for _, g := range p.groups() {
			e.addNotice(g, p.Round, e.releaseOp())
		}
	}
	e.State, e.Verdict, e.EndedAt, e.Previous, e.Votes = Ended, verdict, at, nil, nil
	if e.Reason = cmp.Or(why, e.Reason); verdict == Completed {
		e.Reason = ""
	}
	for i := range e.Spec.Members {
		e.Spec.Members[i].Payload = nil // nobody needs it any more
	}
}

func (e *Entry) cancel(at time.Duration) string {
	switch e.State {
	case Preparing:
		old := e.Previous
		if e.abortRound(at, "cancelled"); old != nil {
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
