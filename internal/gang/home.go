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
	Going     State = "going"     // the start is committed
	Off       State = "off"       // the start has failed: members are called off
	Running   State = "running"   // all have started
	Ended     State = "ended"
)

// Fate is what is known of a member.
type Fate string

// The fates. All but "" and Began are a member's last in a round.
const (
	Unknown  Fate = ""
	Began    Fate = "began"
	NeverRan Fate = "never_ran" // refused, or not sent
	MayRun   Fate = "may_have_run"
	Done     Fate = "done"
	Died     Fate = "died"
)

// Due is word that a group has not confirmed.
type Due struct {
	Group uint32 `json:"group"`
	Round uint64 `json:"round"`
	Op    string `json:"op"` // commit, undo, end or lapse
}

// Entry is a gang at its home.
type Entry struct {
	Spec    Spec          `json:"spec"`
	Age     time.Duration `json:"age"` // when it was submitted; whoever is older goes first
	State   State         `json:"state"`
	Round   uint64        `json:"round"` // of planning, the last one
	Plan    *Plan         `json:"plan,omitempty"`
	Old     *Plan         `json:"old,omitempty"`
	Votes   []uint32      `json:"votes,omitempty"`
	Fates   []Fate        `json:"fates,omitempty"`
	Due     []Due         `json:"due,omitempty"`
	Retry   time.Duration `json:"retry,omitempty"` // not to be planned before
	Why     string        `json:"why,omitempty"`   // of the last turn for the worse
	Verdict string        `json:"verdict,omitempty"`
	MayRun  []int         `json:"may_have_run,omitempty"` // members of a gang that did not start
	Dead    []int         `json:"dead,omitempty"`         // members that died after the start was committed
	Decided time.Duration `json:"decided,omitempty"`      // when its holds first stood
	Moves   int           `json:"moves,omitempty"`
	Plans   int           `json:"plans,omitempty"` // begun
	Over    time.Duration `json:"over,omitempty"`
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
	spec, err := spec.Check(at)
	if err != nil {
		return Result{Err: err.Error()}
	}
	if len(m.Gangs) >= mostGangs {
		maps.DeleteFunc(m.Gangs, func(_ string, e *Entry) bool { return e.State == Ended && len(e.Due) == 0 && e.Over < at-keepOver })
		if len(m.Gangs) >= mostGangs {
			return Result{Full: true, Err: "too many gangs"}
		}
	}
	e := &Entry{Spec: spec, Age: at, State: Waiting}
	m.Gangs[spec.ID] = e
	return Result{OK: true, Entry: e}
}

// step has a gang take a command; a command for another round, or out of its time, changes nothing.
func (m *home) step(at time.Duration, c Command) Result {
	e := m.Gangs[c.Gang]
	if e == nil {
		return Result{Err: "no such gang", Gone: true}
	}
	said := e.take(at, c)
	if said != "" {
		return Result{Err: said, Entry: e}
	}
	return Result{OK: true, Entry: e}
}

func (e *Entry) take(at time.Duration, c Command) string {
	now := e.Plan != nil && e.Plan.Round == c.Round
	when := cmp.Or(c.At, at) // the log's time may be any dispatcher's, a start's is one's alone
	switch c.Op {
	case "plan":
		return e.planned(when, c.Plan)
	case "vote":
		if e.State != Preparing || !now {
			return "another round"
		}
		return e.vote(at, when, c.Group)
	case "abort":
		if e.State != Preparing || !now {
			return "another round"
		}
		e.abort(at, c.Why)
	case "wound": // an older gang wants what this one has not got yet
		if e.State != Preparing || !now {
			return "too late"
		} else if !older(c.Age, c.By, e.Age, e.Spec.ID) {
			return "it is not older"
		}
		e.abort(at, "gave way to "+c.By)
	case "drop":
		if e.State != Held || !now {
			return "too late"
		}
		e.release(at, c.Why)
	case "go":
		switch {
		case e.State != Held || !now:
			return "too late"
		case when > e.Plan.Start-GoBy:
			e.release(at, "the word to go came too late")
			return "too late"
		case len(c.Armed) != len(e.Spec.Members):
			return "not all are armed"
		}
		e.State, e.Fates = Going, make([]Fate, len(e.Spec.Members))
	case "report":
		if !now || c.Member < 0 || c.Member >= len(e.Fates) {
			return "another round"
		}
		return e.report(at, when, c.Member, c.Fate, c.Why)
	case "off":
		if e.State != Going || !now || when <= e.Plan.Start+Within {
			return "not yet, or too late"
		}
		e.off("not all had started in time")
	case "settle":
		if e.State != Off || !now || when < e.Plan.Start+SettleAt {
			return "not yet"
		}
		e.settle(at)
	case "cancel":
		return e.cancel(at)
	case "ask":
	case "told":
		e.Due = slices.DeleteFunc(e.Due, func(d Due) bool { return d == *c.Told })
	case "refuse":
		if e.State != Waiting || at <= e.Spec.LatestStart-Lead {
			return "its window is open"
		}
		e.end(at, NotStarted, cmp.Or(e.Why, "no room in its window"))
	case "wait":
		if e.State == Waiting {
			e.Retry, e.Why = at+min(c.For, time.Second), c.Why
		}
	default:
		return "unknown: " + c.Op
	}
	return ""
}

func older(age time.Duration, id string, than time.Duration, other string) bool {
	return age < than || age == than && id < other
}

func (e *Entry) planned(at time.Duration, p *Plan) string {
	n := len(e.Spec.Members)
	switch move := e.State == Held; {
	case p == nil || p.Round != e.Round+1 || e.State != Waiting && !move:
		return "another round"
	case len(p.Encoders) != n || len(p.Starters) != n || len(p.Holds) > 2*n || !p.holds(e.Spec.Members):
		return "not a plan"
	case move && (p.Start > e.Plan.Start || p.Clock != e.Plan.Clock):
		return "a move keeps the start, or comes sooner"
	case p.Start < e.Spec.NotBefore || p.Start > e.Spec.LatestStart || at > p.Start-voteBy:
		return "out of its window"
	case move:
		e.Old = e.Plan
	}
	e.State, e.Round, e.Plan, e.Votes, e.Fates = Preparing, p.Round, p, nil, nil
	e.Plans++
	return ""
}

// vote takes a group's yes. The last one decides, here and at no other place, that the holds stand.
func (e *Entry) vote(at, when time.Duration, group uint32) string {
	all := e.Plan.groups()
	if _, asked := search(all, group); !asked {
		return "it was not asked"
	}
	if when > e.Plan.Start-voteBy {
		e.abort(at, "its holds came too late")
		return "too late"
	}
	if i, have := search(e.Votes, group); !have {
		e.Votes = insert(e.Votes, i, group)
	}
	if len(e.Votes) < len(all) {
		return ""
	}
	e.State, e.Decided = Held, cmp.Or(e.Decided, at)
	for _, g := range all {
		e.due(g, e.Plan.Round, "commit")
	}
	for _, g := range e.Old.groups() {
		if _, again := search(all, g); !again {
			e.due(g, e.Old.Round, "end")
		}
	}
	if e.Old != nil && e.Old.Start == e.Plan.Start {
		e.Moves++
	}
	e.Old = nil
	return ""
}

// due has a group be told; word that it overtakes need not be.
func (e *Entry) due(group uint32, round uint64, op string) {
	e.Due = slices.DeleteFunc(e.Due, func(d Due) bool {
		return d.Group == group && d.Op != "lapse" && (op != "commit" && op != "undo" && d.Round <= round || d.Round == round)
	})
	e.Due = append(e.Due, Due{group, round, op})
}

// backoff is for how long a gang waits after a round in vain.
func (e *Entry) backoff(at time.Duration) time.Duration {
	return at + min(20*time.Millisecond<<min(e.Plans, 5), 500*time.Millisecond)
}

// abort gives a round up whose holds never stood.
func (e *Entry) abort(at time.Duration, why string) {
	for _, g := range e.Plan.groups() {
		e.due(g, e.Plan.Round, "undo")
	}
	e.Why, e.Retry = why, e.backoff(at)
	if e.Plan, e.Old, e.Votes = e.Old, nil, nil; e.Plan != nil {
		e.State = Held
		return
	}
	e.State = Waiting
}

// over is how holds are given up: at once where it is known of all members that they do not run, or have been called off.
func (e *Entry) over() string {
	if slices.ContainsFunc(e.Fates, func(f Fate) bool { return f == Unknown || f == Began || f == Died }) {
		return "lapse"
	}
	return "end"
}

// release gives up holds that stood; nothing runs, as far as it is known.
func (e *Entry) release(at time.Duration, why string) {
	for _, g := range e.Plan.groups() {
		e.due(g, e.Plan.Round, e.over())
	}
	e.State, e.Plan, e.Votes, e.Why, e.Retry = Waiting, nil, nil, why, at
}

func (e *Entry) report(at, when time.Duration, member int, f Fate, why string) string {
	had := e.Fates[member]
	if had == f {
		return ""
	}
	if had != Unknown && had != Began {
		return "it has ended"
	}
	switch e.State {
	case Going:
		switch f {
		case Began, Done: // a short one may be done before the last has begun
			if when > e.Plan.Start+Within {
				e.off("not all had started in time")
				return "too late"
			}
			e.Fates[member] = f
			if !slices.Contains(e.Fates, Unknown) {
				e.State = Running
				e.finish(at)
			}
		case NeverRan, MayRun, Died:
			if e.Fates[member] = f; f == Died {
				e.Fates[member] = MayRun
			}
			e.off(fmt.Sprintf("member %d at %s did not start: %s", member, e.Plan.Encoders[member], why[:min(len(why), mostName)]))
		}
	case Off:
		if f == Died {
			f = MayRun
		}
		e.Fates[member] = f
		if !slices.ContainsFunc(e.Fates, func(f Fate) bool { return f == Unknown || f == Began }) && when >= e.Plan.Start {
			e.settle(at)
		}
	case Running:
		switch f {
		case Died, MayRun, NeverRan:
			e.Fates[member] = Died
			e.Dead = append(e.Dead, member)
		case Done:
			e.Fates[member] = Done
		}
		e.finish(at)
	default:
		return "too late"
	}
	return ""
}

func (e *Entry) off(why string) { e.State, e.Why = Off, why }

// settle ends a start that has failed: the gang is planned anew unless a member may have run that must not run twice.
func (e *Entry) settle(at time.Duration) {
	for i, f := range e.Fates {
		if f != NeverRan {
			e.MayRun = append(e.MayRun, i)
		}
	}
	for _, i := range e.MayRun {
		if e.Spec.Members[i].Once {
			e.end(at, NotStarted, e.Why)
			return
		}
	}
	e.MayRun = nil
	e.release(at, e.Why)
	e.Fates = nil
	if e.Verdict == Cancelled {
		e.end(at, Cancelled, "")
	}
}

// finish ends a gang whose members all have, or which ends with the first death.
func (e *Entry) finish(at time.Duration) {
	open := slices.ContainsFunc(e.Fates, func(f Fate) bool { return f == Began })
	if open {
		return
	}
	verdict := Completed
	if len(e.Dead) > 0 {
		verdict = DeadAfter
	}
	e.end(at, cmp.Or(e.Verdict, verdict), "")
}

// Stops tells whether what runs is to be called off.
func (e *Entry) Stops() bool {
	return e.State == Running && (e.Verdict == Cancelled || len(e.Dead) > 0 && e.Spec.After == StopAll)
}

func (e *Entry) end(at time.Duration, verdict, why string) {
	for _, p := range []*Plan{e.Old, e.Plan} {
		for _, g := range p.groups() {
			e.due(g, p.Round, e.over())
		}
	}
	e.State, e.Verdict, e.Over, e.Old, e.Votes = Ended, verdict, at, nil, nil
	if e.Why = cmp.Or(why, e.Why); verdict == Completed {
		e.Why = ""
	}
	for i := range e.Spec.Members {
		e.Spec.Members[i].Payload = nil // nobody needs it any more
	}
}

func (e *Entry) cancel(at time.Duration) string {
	switch e.State {
	case Preparing:
		old := e.Old
		if e.abort(at, "cancelled"); old != nil {
			e.release(at, "cancelled")
		}
		e.end(at, Cancelled, "")
	case Waiting, Held:
		e.end(at, Cancelled, "")
	case Going:
		e.Verdict = Cancelled
		e.off("cancelled")
	case Running:
		e.Verdict = Cancelled
	case Off:
		e.Verdict = Cancelled
	}
	return ""
}
