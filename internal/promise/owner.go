package promise

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// Margin is how long before its lease ends an owner stops: what it has begun by then is on its way before the end.
	Margin = 20 * time.Millisecond
	// MostHands is how many of a group's jobs are in the dispatcher's hands at once.
	MostHands = 512
	// afterWord is how long past an attempt's deadline its call-back is waited for before a job that may have run is
	// given up.
	afterWord  = time.Second
	againFirst = 100 * time.Millisecond // before a job that was turned away is handed in again
	againMost  = 5 * time.Second
	bookWithin = 10 * time.Second
	scanEach   = 250 * time.Millisecond // all of a table; what is new in it is seen at once
	again      = 50 * time.Millisecond  // before a proposal of which nothing is known is made again
)

// MayHaveRun is why a job that must not run twice is ended failed though nobody knows.
const MayHaveRun = "may have run: whoever sent it is gone, and nothing was heard of it"

// Clock is both clocks of a dispatcher.
type Clock struct {
	Mono time.Duration // since the process started: leases
	Unix time.Duration // jobs' times
}

// Verdict is what the dispatcher says of a hand-in.
type Verdict int

// The verdicts.
const (
	Served     Verdict = iota
	TurnedAway         // trying again is harmless
	Broken             // it may have run
	NoUse              // no instance can do it
)

// Action is something that an owner wants done.
type Action interface{ action() }

// The actions.
type (
	// Propose a command; [Owner.Proposed] takes what it came to.
	Propose struct {
		Seq uint64
		Command
	}
	// Start hands a job to the dispatcher. Left is the time for it.
	Start struct {
		ID     string
		Index  uint64
		Hand   int
		Job    Job
		Left   time.Duration
		Repeat bool
	}
	// Go sends an attempt that waited for its intent, but not after Until by the clock of leases.
	Go struct {
		ID      string
		Hand, N int
		Until   time.Duration
	}
	// Deny ends an attempt that waited: it is not sent.
	Deny struct {
		ID      string
		Hand, N int
	}
	// Leave has the dispatcher forget a hand-in. Nothing is sent of that, no give-up either.
	Leave struct {
		ID   string
		Hand int
	}
	// Book has it committed that an instance has done a job. Unlike a proposal it outlives the owner.
	Book struct{ Command }
	// Heard has the dispatcher take an end that another was told.
	Heard struct {
		ID   string
		Hand int
		End  End
	}
)

func (Propose) action() {}
func (Start) action()   {}
func (Go) action()      {}
func (Deny) action()    {}
func (Leave) action()   {}
func (Book) action()    {}
func (Heard) action()   {}

// Owner is what a dispatcher does for a group's promises while it holds the lease. It is not safe for more than one
// goroutine.
type Owner struct {
	repeats func(class string) bool

	term  uint64 // 0: it has no lease
	until time.Duration
	last  uint64 // the term of the last lease,
	times uint64 // and how often it was held before: what was proposed in those times counts no more
	own   uint64 // the proposal to act, 0: none is out

	base  int // the highest number of a hand-in under earlier leases, which the dispatcher may still have
	hands map[string]*hand
	later map[string]later
	seq   uint64
	out   map[uint64]proposal
	do    []Action
	every time.Duration // between looks at all of the table
	whole time.Duration // when the next is, by the clock of leases
	seen  uint64        // the newest receipt that was looked at

	faulty OwnerFaults
}

// OwnerFaults switches a rule off, for the tests that must notice.
type OwnerFaults struct{ SendFirst, NoLease bool }

// hand is a job in the dispatcher's hands.
type hand struct {
	n      int
	index  uint64 // of the receipt
	class  string
	ran    bool            // it may have, in an earlier hand
	asks   map[int]ask     // attempts that wait for their intents
	went   map[string]bool // instances that an attempt was asked for at; true: when it must not run twice
	ending *Command        // it is to have this end
	sent   uint64          // the proposal of that, 0: none is out
	retry  time.Duration
}

type ask struct {
	Command
	seq   uint64 // 0: to be proposed again
	retry time.Duration
}

// later is when a job is handed in again.
type later struct {
	at    time.Duration // of the clock of leases
	hand  int
	pause time.Duration
}

type proposal struct {
	id   string
	hand int
	n    int
	op   Op
}

// NewOwner returns one without a lease. repeats tells whether jobs of a class may run again after one that may have run.
func NewOwner(repeats func(class string) bool) *Owner {
	return &Owner{repeats: repeats, every: scanEach, hands: map[string]*hand{}, later: map[string]later{}, out: map[uint64]proposal{}}
}

// Actions takes what is to be done since the last call, in order.
func (o *Owner) Actions() []Action {
	all := o.do
	o.do = nil
	return all
}

// Hands is how many jobs are in the dispatcher's hands.
func (o *Owner) Hands() int { return len(o.hands) }

// Acts tells whether it holds the lease, at a time.
func (o *Owner) Acts(c Clock) bool {
	return o.term > 0 && (c.Mono < o.until-Margin || o.faulty.NoLease)
}

// Lead takes the lease as it is now; ok false: there is none.
func (o *Owner) Lead(c Clock, term uint64, until time.Duration, ok bool) {
	if !ok || term != o.term {
		o.leave()
	}
	if ok && c.Mono < until-Margin {
		if term != o.last {
			o.last, o.times = term, 0
		}
		o.term, o.until = term, until
	}
}

// leave forgets all that is in hand: another may act by now.
func (o *Owner) leave() {
	for _, id := range slices.Sorted(maps.Keys(o.hands)) {
		h := o.hands[id]
		for _, n := range slices.Sorted(maps.Keys(h.asks)) {
			o.act(Deny{id, h.n, n})
		}
		o.act(Leave{id, h.n})
		o.base = max(o.base, h.n)
	}
	for _, l := range o.later {
		o.base = max(o.base, l.hand)
	}
	clear(o.hands)
	clear(o.later)
	clear(o.out)
	if o.term > 0 {
		o.times++
	}
	o.term, o.own, o.whole, o.seen = 0, 0, 0, 0
}

// gen is the generation that commands bear: the term, and in it the time that the lease is held.
func (o *Owner) gen() uint64 { return o.term<<genShift + o.times }

const genShift = 24

func (o *Owner) act(a Action) { o.do = append(o.do, a) }

func (o *Owner) propose(c Command, p proposal) uint64 {
	o.seq++
	c.Gen, p.op = o.gen(), c.Op
	o.out[o.seq] = p
	o.act(Propose{o.seq, c})
	return o.seq
}

// Look takes the table as it is here, at each change and every 50 ms or so: what is decided by it is not sent before
// the group has agreed.
func (o *Owner) Look(c Clock, m *Machine) {
	if !o.Acts(c) {
		if o.term > 0 {
			o.leave()
		}
		return
	}
	if gen := o.gen(); m.Owner() != gen {
		if m.Owner() < gen && o.own == 0 { // what an earlier owner has proposed counts up to here, and no further
			o.own = o.propose(Command{Op: OpOwn}, proposal{})
		} else if m.Owner() > gen {
			o.leave()
		}
		return
	}
	o.again(c, m)
	for _, id := range slices.Sorted(maps.Keys(o.hands)) {
		h, e := o.hands[id], m.Entry(id)
		if e != nil && e.Index != h.index {
			e = nil // it was forgotten, and the id is another's
		}
		if e != nil && e.End == nil {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(h.asks)) {
			o.act(Deny{id, h.n, n})
		}
		if e != nil && e.End.Kind == Done && h.ending == nil {
			o.act(Heard{id, h.n, *e.End})
		} else {
			o.act(Leave{id, h.n})
		}
		o.forget(id)
	}
	if len(o.hands) >= MostHands {
		return
	}
	from := o.seen + 1
	if c.Mono >= o.whole {
		from, o.whole = 0, c.Mono+o.every
	}
	m.Open(from, func(e *Entry) bool {
		if o.seen = max(o.seen, e.Index); o.hands[e.ID] == nil {
			o.consider(c, e)
		}
		return len(o.hands) < MostHands
	})
}

func (o *Owner) forget(id string) {
	delete(o.hands, id)
	delete(o.later, id)
}

// again proposes anew what nothing is known of, and what was to wait.
func (o *Owner) again(c Clock, m *Machine) {
	for _, id := range slices.Sorted(maps.Keys(o.hands)) {
		h := o.hands[id]
		if h.ending != nil && h.ending.Op == OpLook && c.Mono >= h.retry { // its result could not be booked
			o.forget(id)
			continue
		}
		if h.ending != nil && h.sent == 0 && c.Mono >= h.retry && !o.early(c, h, m.Entry(id)) {
			h.sent = o.propose(*h.ending, proposal{id: id, hand: h.n})
		}
		for _, n := range slices.Sorted(maps.Keys(h.asks)) {
			if a := h.asks[n]; a.seq == 0 && c.Mono >= a.retry {
				a.seq = o.propose(a.Command, proposal{id: id, hand: h.n, n: n})
				h.asks[n] = a
			}
		}
	}
}

// consider decides what becomes of a job that is in nobody's hands here.
func (o *Owner) consider(c Clock, e *Entry) {
	due := func(at time.Duration) bool { return c.Unix >= at }
	repeats := o.repeats(e.Job.Class)
	var until time.Duration
	lost := ""
	for _, in := range e.Intents {
		if in.Lost == "" {
			until = max(until, in.Until+afterWord)
		} else {
			lost = in.Lost
		}
	}
	switch wait := o.later[e.ID]; {
	case len(e.Intents) > 0 && !repeats:
		if until == 0 { // each is known to have come to nothing
			o.end(e, Failed, lost)
		} else if due(until) {
			o.end(e, Failed, MayHaveRun)
		}
	case due(e.Until):
		if len(e.Intents) > 0 {
			o.end(e, Failed, cmp.Or(lost, MayHaveRun))
		} else {
			o.end(e, Refused, "its time was over before it could be done")
		}
	case c.Mono < wait.at:
	default:
		n := max(e.Hands, wait.hand, o.base) + 1
		o.later[e.ID] = later{hand: n, pause: wait.pause}
		o.hands[e.ID] = &hand{n: n, index: e.Index, class: e.Job.Class, ran: len(e.Intents) > 0, asks: map[int]ask{}, went: map[string]bool{}}
		o.act(Start{ID: e.ID, Index: e.Index, Hand: n, Job: e.Job, Left: e.Until - c.Unix, Repeat: len(e.Intents) > 0})
	}
}

func (o *Owner) end(e *Entry, kind Kind, reason string) {
	o.finish(e.ID, &hand{n: max(e.Hands, 1), index: e.Index, class: e.Job.Class, asks: map[int]ask{}}, kind, reason)
}

func (o *Owner) finish(id string, h *hand, kind Kind, reason string) {
	o.hands[id] = h
	h.ending = &Command{Op: OpEnd, ID: id, Index: h.index, Kind: kind, Reason: reason}
	if kind == Refused && len(h.went) > 0 && !o.repeats(h.class) { // Look sees whether it is early
		return
	}
	h.sent = o.propose(*h.ending, proposal{id: id, hand: h.n})
}

// early tells whether a job that must not run twice would be refused before the table has it that its attempts never ran,
// which makes it one that may have run. That word is awaited for as long as a call-back is.
func (o *Owner) early(c Clock, h *hand, e *Entry) bool {
	return h.ending.Kind == Refused && e != nil && !o.repeats(h.class) &&
		slices.ContainsFunc(e.Intents, func(in Intent) bool { return c.Unix < in.Until+afterWord })
}

// Ask says that the dispatcher wants to send an attempt. until is the attempt's deadline in Unix time.
func (o *Owner) Ask(c Clock, id string, n, attempt int, instance string, until time.Duration) {
	h := o.hands[id]
	if h == nil || h.n != n || h.ending != nil || !o.Acts(c) {
		o.act(Deny{id, n, attempt})
		return
	}
	once := !o.repeats(h.class)
	if before, went := h.went[instance]; before || went && once { // word of its attempts there could not be told apart
		o.act(Deny{id, n, attempt})
		o.act(Leave{id, n})
		o.handAgain(c, id, n, 0)
		return
	}
	h.went[instance] = once
	a := ask{Command: Command{Op: OpIntent, ID: id, Index: h.index, Hand: n, N: attempt, Instance: instance, Until: until}}
	if o.faulty.SendFirst {
		o.act(Go{id, n, attempt, o.until - Margin})
	}
	a.seq = o.propose(a.Command, proposal{id: id, hand: n, n: attempt})
	h.asks[attempt] = a
}

// Proposed takes what a proposal came to; failed: nothing is known of it.
func (o *Owner) Proposed(c Clock, seq uint64, a Answer, failed bool) {
	p, ok := o.out[seq]
	if !ok {
		return // of an earlier lease
	}
	delete(o.out, seq)
	if p.op == OpOwn {
		o.own = 0 // Look sees whether it counts
		return
	}
	h := o.hands[p.id]
	if h == nil || h.n != p.hand {
		return
	}
	switch p.op {
	case OpEnd: // a refusal says that there is an end, or another owner: Look sees to both
		if h.sent = 0; failed {
			h.retry = c.Mono + again
		} else {
			h.retry = c.Mono + time.Second
		}
	case OpIntent:
		q, waits := h.asks[p.n]
		switch {
		case !waits:
		case failed && o.Acts(c): // it may be committed, and that does no harm: nothing goes out
			q.seq, q.retry = 0, c.Mono+again
			h.asks[p.n] = q
		case failed || !a.OK || !o.Acts(c):
			delete(h.asks, p.n)
			o.act(Deny{p.id, p.hand, p.n})
		default:
			delete(h.asks, p.n)
			if !o.faulty.SendFirst {
				o.act(Go{p.id, p.hand, p.n, o.until - Margin})
			}
		}
	}
}

// Over says that an attempt has ended without having run. It counts also where the lease as known here is about to end:
// that may be renewed already, and where it is lost, commands of its generation are not taken.
func (o *Owner) Over(id string, n, attempt int) {
	h := o.hands[id]
	if h == nil || h.n != n {
		return
	}
	delete(h.asks, attempt)
	o.propose(Command{Op: OpOver, ID: id, Index: h.index, Hand: n, N: attempt}, proposal{id: id, hand: n, n: attempt})
}

// Answered takes the dispatcher's one answer to a hand-in, which comes only once: like [Owner.Over] it counts also where the
// lease as known here is about to end. left is how long the job still may be begun.
func (o *Owner) Answered(c Clock, id string, index uint64, n int, v Verdict, by string, result []byte, after, left time.Duration) {
	if v == Served { // true whoever acts
		o.act(Book{Command{Op: OpWord, ID: id, Index: index, Hand: n, Instance: by, Kind: Done, Result: result}})
	}
	h := o.hands[id]
	if h == nil || h.n != n || h.ending != nil {
		return
	}
	switch {
	case v == Served:
		h.ending, h.sent = &Command{Op: OpLook}, 1 // nothing else may end it here
		h.retry = c.Mono + bookWithin
	case v == NoUse && h.ran:
		o.finish(id, h, Failed, "no encoder can do it as it stands, though one may have")
	case v == NoUse:
		o.finish(id, h, Refused, "no encoder can do it as it stands")
	case v == Broken && !o.repeats(h.class):
		o.finish(id, h, Failed, "it failed, or may have run")
	case left <= 0 && (v == Broken || h.ran):
		o.finish(id, h, Failed, "it failed until its time was over")
	case left <= 0:
		o.finish(id, h, Refused, "turned away until its time was over")
	default:
		o.handAgain(c, id, n, after)
	}
}

// handAgain has a job handed in anew after a pause, at least so long.
func (o *Owner) handAgain(c Clock, id string, n int, after time.Duration) {
	wait := o.later[id]
	wait.pause = min(max(againFirst, 2*wait.pause), againMost)
	wait.at, wait.hand = c.Mono+max(after, wait.pause), n
	delete(o.hands, id)
	o.later[id] = wait
}

// String tells of an owner for people on call.
func (o *Owner) String() string {
	return fmt.Sprintf("term %d, %d in hand, %d wait", o.term, len(o.hands), len(o.later))
}
