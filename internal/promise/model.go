package promise

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"time"
)

// The change of owner, explored: two dispatchers, one job, and whoever schedules them, their proposals, their sends and
// the call-backs as badly as can be. A dispatcher that is not scheduled is paused. Times are of a few ticks.

const (
	tick     = 400 * time.Millisecond
	lease    = 2        // ticks
	drift    = tick / 4 // of a clock within a lease; the second dispatcher's is as late as that
	jobTicks = 4
	theJob   = "j"
)

type world struct {
	t       int
	table   *Machine // as the group has agreed
	log     []logged
	grants  int
	holder  int
	end     int // tick at which the lease is over
	d       [2]peer
	flights []flight
	left    int // how often nothing may become known of a proposal
	crashes int
	runs    []attempt
	rung    map[attempt]bool // whose call-back has been answered and counts
	denied  []Sending        // that the group was told were never sent
	told    *End
	faulty  bool // a sender does not look at the lease
	broken  string
}

type logged struct {
	at  time.Duration
	cmd string
}

type peer struct {
	table *Machine
	have  int // of the log
	term  uint64
	until time.Duration
	ends  int // the tick, really
	owner *Owner
	hand  int    // in the loop; 0: none
	n     int    // its attempts so far
	to    string // of the last, as are the next two
	state int
	goes  time.Duration

	sends   *Sendings // outlive the process
	sending *Sending  // the last's
	behind  *left     // one that was left, and waits for its connection yet
}

type left struct {
	attempt
	goes    time.Duration
	sending *Sending
}

const (
	none = iota
	asked
	goes
	begun // about to be sent: the first byte is next
	sent
)

type attempt struct {
	d, hand, n int
	to         string // the instance
}

type flight struct {
	d      int
	seq    uint64   // 0: a fact, of an instance's call or of an attempt never sent
	answer *attempt // whose call-back is answered once it is committed
	never  *Sending // of which the group is told that it was never sent
	cmd    string
}

func (w *world) clock(d int) Clock {
	late := time.Duration(d) * drift
	return Clock{Mono: time.Duration(w.t)*tick + tick - late, Unix: time.Duration(w.t) * tick}
}

func (m *Machine) clone() *Machine {
	c := *m
	c.jobs, c.open, c.ended = map[string]*Entry{}, nil, nil
	for id, e := range m.jobs {
		f := *e
		f.Intents = slices.Clone(e.Intents)
		if c.jobs[id] = &f; f.End == nil {
			c.open = append(c.open, &f)
		} else {
			c.ended = append(c.ended, &f)
		}
	}
	c.dead = 0
	return &c
}

func (o *Owner) clone() *Owner {
	c := *o
	c.hands, c.later, c.out, c.do = map[string]*hand{}, maps.Clone(o.later), maps.Clone(o.out), nil
	for id, h := range o.hands {
		g := *h
		g.asks, g.went = maps.Clone(h.asks), maps.Clone(h.went)
		c.hands[id] = &g
	}
	return &c
}

// clone also gives the copy's attempt of the same name.
func (s *Sendings) clone(of *Sending) (*Sendings, *Sending) {
	c := NewSendings()
	c.faulty = s.faulty
	for _, sending := range s.All() {
		c.add(sending)
	}
	if of == nil {
		return c, nil
	}
	if same := c.find(of); same != nil {
		return c, same
	}
	dropped := *of
	return c, &dropped
}

func (w *world) clone() *world {
	c := *w
	c.table = w.table.clone()
	for i := range c.d {
		d := &c.d[i]
		d.table, d.owner = w.d[i].table.clone(), w.d[i].owner.clone()
		d.sends, d.sending = d.sends.clone(d.sending)
		if d.behind != nil {
			behind, sending := *d.behind, *d.behind.sending
			behind.sending = &sending
			d.behind = &behind
		}
	}
	c.denied = slices.Clone(w.denied)
	c.log, c.flights, c.runs, c.rung = slices.Clip(w.log), slices.Clone(w.flights), slices.Clone(w.runs), maps.Clone(w.rung)
	return &c
}

// key tells states apart by what counts from here on: not by how they came about.
func (w *world) key() uint64 {
	b := make([]byte, 0, 512)
	num := func(all ...int) {
		for _, n := range all {
			b = binary.AppendVarint(b, int64(n))
		}
	}
	yes := func(y bool) int { return map[bool]int{true: 1}[y] }
	table := func(m *Machine) {
		e := m.Entry(theJob)
		if e == nil {
			return
		}
		num(int(m.owner), e.Hands, len(e.Intents))
		for _, in := range e.Intents {
			num(int(in.Gen), in.Hand, in.N, int(in.Until))
			b = append(b, in.Instance...)
		}
		if e.End != nil {
			b = append(append(b, e.End.Kind...), e.End.Reason...)
		}
	}
	num(w.t, w.grants, w.holder, w.end, w.left, w.crashes, len(w.runs))
	for _, a := range w.runs {
		num(a.d, a.hand, a.n, yes(w.rung[a]))
		b = append(b, a.to...)
	}
	for _, s := range w.denied {
		b = append(append(b, s.Job...), s.Instance...)
	}
	table(w.table)
	for i := range w.d {
		d := &w.d[i]
		table(d.table)
		for _, l := range w.log[d.have:] {
			num(int(l.at))
			b = append(b, l.cmd...)
		}
		o := d.owner
		num(int(d.term), int(d.until), d.hand, d.n, d.state, int(d.goes), int(o.term), int(o.until), int(o.last), int(o.times), o.base, yes(o.own > 0))
		b = append(b, d.to...)
		if num(yes(d.behind != nil)); d.behind != nil {
			num(d.behind.hand, d.behind.n, int(d.behind.goes))
		}
		known := d.sends.All()
		slices.SortFunc(known, func(a, b Sending) int {
			return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Gen, b.Gen))
		})
		for _, k := range known {
			num(int(k.State), int(k.next), int(k.Gen))
			b = append(append(b, k.Job...), k.Instance...)
		}
		if num(yes(d.sending != nil)); d.sending != nil {
			num(int(d.sending.State))
		}
		l, waits := o.later[theJob]
		num(yes(waits), int(l.at), l.hand, int(l.pause))
		if h := o.hands[theJob]; h != nil {
			num(h.n, yes(h.ran), yes(h.ending != nil), yes(h.sent > 0), int(h.retry), len(h.asks))
			for _, n := range slices.Sorted(maps.Keys(h.asks)) {
				num(n, yes(h.asks[n].seq > 0), int(h.asks[n].retry))
			}
			b = fmt.Append(b, h.went)
			if h.ending != nil { // it may wait to be proposed
				b = append(b, h.ending.Kind...)
			}
		}
	}
	flights := make([]string, len(w.flights)) // any may be the next: their order does not count
	for i, f := range w.flights {
		_, heard := w.d[f.d].owner.out[f.seq]
		flights[i] = fmt.Sprint(f.d, heard, f.answer != nil, f.cmd)
	}
	slices.Sort(flights)
	for _, f := range flights {
		b = append(b, f...)
	}
	return maphash.Bytes(seed, b)
}

var seed = maphash.MakeSeed()

func (w *world) breaks(rule string) {
	if w.broken == "" {
		w.broken = rule
	}
}

// commit has the group agree on a flight.
func (w *world) commit(f flight) Answer {
	w.log = append(w.log, logged{time.Duration(w.t) * tick, f.cmd})
	a, _ := ReadAnswer(w.table.Apply(uint64(len(w.log)), time.Duration(w.t)*tick, []byte(f.cmd)))
	if e := w.table.Entry(theJob); e != nil && e.End != nil {
		if w.told != nil && (e.End.Kind != w.told.Kind || e.End.Reason != w.told.Reason || e.End.At != w.told.At) {
			w.breaks("end not once")
		}
		if w.told == nil && e.End.Kind == Failed && slices.Contains(slices.Collect(maps.Values(w.rung)), true) {
			w.breaks("answered, and lost")
		}
		end := *e.End
		if w.told = &end; e.End.Kind == Refused && len(w.runs) > 0 {
			w.breaks("refused, and it ran")
		}
	}
	if f.never != nil && a.OK {
		w.denied = append(w.denied, *f.never)
		w.consistent()
	}
	if f.answer != nil {
		w.rung[*f.answer] = a.OK || a.Why == Ended
	}
	return a
}

// consistent looks whether any attempt ran of which the group was told that it never did.
func (w *world) consistent() {
	for _, a := range w.runs {
		if slices.ContainsFunc(w.denied, func(s Sending) bool { return s.Job == WireID(theJob, 1, a.hand) && s.Instance == a.to }) {
			w.breaks("told as never sent, and it ran")
		}
	}
}

// grant gives a dispatcher the lease, or more of it.
func (w *world) grant(i int) {
	d := &w.d[i]
	if w.grants++; w.holder != i || d.term == 0 {
		d.term = uint64(w.grants)
	}
	w.holder, w.end = i, w.t+lease
	d.ends = w.end
	d.until = time.Duration(w.end)*tick + tick - drift
	w.step(i, true)
}

func (w *world) commitAll() {
	for _, f := range w.flights {
		w.d[f.d].owner.Proposed(w.clock(f.d), f.seq, w.commit(f), false)
	}
	w.flights = nil
}

// step has a dispatcher look at what has been committed, as far as it has heard of it.
func (w *world) step(i int, hears bool) {
	d := &w.d[i]
	for ; hears && d.have < len(w.log); d.have++ {
		d.table.Apply(uint64(d.have+1), w.log[d.have].at, []byte(w.log[d.have].cmd))
	}
	c := w.clock(i)
	d.owner.Lead(c, d.term, d.until, d.term > 0 && (c.Mono < d.until || w.faulty))
	d.owner.Look(c, d.table)
	w.carry(i)
}

// carry does what an owner wants.
func (w *world) carry(i int) {
	d := &w.d[i]
	for _, a := range d.owner.Actions() {
		switch a := a.(type) {
		case Propose:
			if a.Op == OpIntent && !d.owner.repeats("") {
				d.sending, _ = d.sends.Ask(d.job(), a.Instance, a.Gen, a.Until)
			}
			w.flights = append(w.flights, flight{d: i, seq: a.Seq, cmd: string(a.Command.Bytes())})
		case Book:
			w.flights = append(w.flights, flight{d: i, cmd: string(a.Command.Bytes())})
		case Start:
			d.hand, d.n, d.state, d.sending = a.Hand, 0, none, nil
		case Go:
			if d.hand == a.Hand && d.state == asked && d.n == a.N {
				d.state, d.goes = goes, a.Until
			}
		case Deny:
			if d.hand == a.Hand && d.state == asked && d.n == a.N {
				d.neverRan(w.clock(i))
			}
		case Leave, Heard:
			d.leave(w.clock(i))
		}
	}
}

// job is the wire id of what is in the loop's hands.
func (d *peer) job() string { return WireID(theJob, 1, d.hand) }

// leave has nothing more of a hand-in sent.
func (d *peer) leave(c Clock) {
	if d.hand > 0 {
		d.sends.Leave(d.job(), c.Mono)
	}
	if d.state == goes && d.sends.faulty.BeginUnsent { // elsewhere it never begins
		d.behind = &left{attempt{hand: d.hand, n: d.n, to: d.to}, d.goes, d.sending}
	}
	d.hand, d.n, d.state, d.sending = 0, 0, none, nil
}

// neverRan ends the last attempt as one that has not run.
func (d *peer) neverRan(c Clock) {
	d.state = none
	if d.sending != nil {
		d.sends.NeverRan(d.sending, c.Mono)
		d.sending = nil
	}
}

func (w *world) send(i int) {
	d := &w.d[i]
	if d.state = sent; d.owner.clone().repeats("") {
		if w.t >= d.ends {
			w.breaks("sent after its lease")
		}
	} else {
		switch {
		case len(w.runs) > 0:
			w.breaks("ran twice")
		case w.told != nil:
			w.breaks("ran after its end")
		case w.t >= d.ends:
			w.breaks("sent after its lease")
		}
	}
	w.runs = append(w.runs, attempt{i, d.hand, d.n, d.to})
	w.consistent()
	if w.told != nil && w.told.Kind == Refused {
		w.breaks("refused, and it ran")
	}
}

// next is all that may happen.
func (w *world) next(most bounds) (all []*world) {
	try := func(f func(*world)) {
		c := w.clone()
		f(c)
		all = append(all, c)
	}
	beginning := slices.ContainsFunc(w.d[:], func(d peer) bool { return d.state == begun }) // for less than the lease's margin
	if w.t < most.ticks && !beginning {
		try(func(w *world) { w.t++ })
	}
	for i := range w.d {
		if w.grants < most.grants && (w.t >= w.end || w.holder == i) {
			try(func(w *world) { w.grant(i) })
		}
		d := &w.d[i]
		try(func(w *world) { w.step(i, true) })
		if d.have < len(w.log) {
			try(func(w *world) { w.step(i, false) })
		}
		if w.crashes < most.crashes {
			try(func(w *world) {
				w.crashes++
				repeats := w.d[i].owner.repeats
				faulty := w.d[i].owner.faulty
				sends := NewSendings()
				sends.faulty = w.d[i].sends.faulty
				for _, sending := range w.d[i].sends.All() {
					sends.Restore(sending)
				}
				w.d[i] = peer{table: w.d[i].table, have: w.d[i].have, owner: NewOwner(repeats), sends: sends}
				w.d[i].owner.faulty, w.d[i].owner.every = faulty, 0
				w.flights = slices.DeleteFunc(w.flights, func(f flight) bool { return f.d == i && f.seq == 0 })
				if w.holder == i {
					w.holder = -1
				}
			})
		}
		for _, sending := range d.sends.All() {
			if c, ok := sending.NeverSent(); ok && sending.State == Unsent && !w.underWay(c) {
				if intended, _ := d.table.Intended(&sending); intended {
					try(func(w *world) { w.flights = append(w.flights, flight{d: i, never: &sending, cmd: string(c.Bytes())}) })
				}
			}
		}
		if b := d.behind; b != nil && w.clock(i).Mono < b.goes && d.sends.Begin(b.sending) {
			try(func(w *world) {
				w.d[i].behind = nil
				w.runs = append(w.runs, attempt{i, b.hand, b.n, b.to})
				w.consistent()
			})
		}
		if d.hand == 0 {
			continue
		}
		left := time.Duration(jobTicks-w.t) * tick
		switch d.state {
		case none:
			for instance := range min(most.attempts-d.n, d.n+1) { // the same again, or another
				try(func(w *world) {
					d := &w.d[i]
					d.n, d.state, d.to = d.n+1, asked, fmt.Sprint("s-", instance)
					d.owner.Ask(w.clock(i), theJob, d.hand, d.n, d.to, w.clock(i).Unix+tick)
					w.carry(i)
				})
			}
			try(func(w *world) { w.answered(i, TurnedAway, left) })
			try(func(w *world) { w.answered(i, NoUse, left) })
		case goes:
			if w.clock(i).Mono < d.goes || w.faulty {
				try(func(w *world) { w.begin(i) })
			}
			try(func(w *world) { w.over(i) }) // full, or too late by now
			try(func(w *world) { w.answered(i, Broken, left) })
		case begun:
			try(func(w *world) { w.send(i) })
			try(func(w *world) { w.over(i) }) // its connection has broken
		case sent:
			try(func(w *world) { w.answered(i, Served, left) })
			try(func(w *world) { w.answered(i, Broken, left) })
		}
	}
	for _, a := range w.runs { // call-backs reach any dispatcher, also such as has nothing to do with it
		if !w.rung[a] && !slices.ContainsFunc(w.flights, func(f flight) bool { return f.answer != nil && *f.answer == a }) {
			try(func(w *world) {
				word := Command{Op: OpWord, ID: theJob, Index: 1, Hand: a.hand, Instance: a.to, Kind: Done}
				call := flight{d: 1 - a.d, answer: &a, cmd: string(word.Bytes())}
				if most.answerFirst {
					w.rung[a], call.answer = true, nil
				}
				w.flights = append(w.flights, call)
			})
		}
	}
	for k, f := range w.flights {
		out := func(w *world) { w.flights = slices.Delete(w.flights, k, k+1) }
		try(func(w *world) {
			out(w)
			a := w.commit(f)
			if f.seq > 0 {
				w.d[f.d].owner.Proposed(w.clock(f.d), f.seq, a, false)
				w.carry(f.d)
			}
		})
		if w.left < most.unknown && f.seq > 0 {
			for _, counts := range []bool{true, false} {
				try(func(w *world) {
					if w.left++; counts {
						w.commit(f)
					}
					out(w)
					w.d[f.d].owner.Proposed(w.clock(f.d), f.seq, Answer{}, true)
					w.carry(f.d)
				})
			}
		}
	}
	return all
}

func (w *world) answered(i int, v Verdict, left time.Duration) {
	d := &w.d[i]
	hand, sending := d.hand, d.sending
	d.leave(w.clock(i))
	if v == Broken && sending != nil && sending.State == Unsent { // given up before its first byte
		v = TurnedAway
	}
	d.owner.Answered(w.clock(i), theJob, 1, hand, v, d.to, nil, 0, left)
	w.carry(i)
}

// begin notes that the first byte is next.
func (w *world) begin(i int) {
	d := &w.d[i]
	if d.sending != nil && !d.sends.Begin(d.sending) {
		w.over(i)
		return
	}
	d.state = begun
}

// over ends the last attempt as one that has not run.
func (w *world) over(i int) {
	d := &w.d[i]
	d.neverRan(w.clock(i))
	d.owner.Over(theJob, d.hand, d.n)
	w.carry(i)
}

// underWay tells whether a fact is proposed and not committed yet.
func (w *world) underWay(c Command) bool {
	text := string(c.Bytes())
	return slices.ContainsFunc(w.flights, func(f flight) bool { return f.seq == 0 && f.cmd == text })
}

type bounds struct {
	depth, ticks, grants, attempts, unknown, crashes, states int
	answerFirst                                              bool // calls are answered before their word is committed
}

// explore goes through all that may happen, to a depth, and tells the first broken rule.
func explore(repeats bool, f Faults, o OwnerFaults, sends SendingFaults, most bounds) (states, depth int, broken string) {
	class := func(string) bool { return repeats }
	w := &world{faulty: o.NoLease, holder: -1, rung: map[attempt]bool{}}
	w.table = New()
	w.table.faulty = f
	for i := range w.d {
		w.d[i].table, w.d[i].owner = w.table.clone(), NewOwner(class)
		w.d[i].owner.faulty, w.d[i].owner.every = o, 0
		w.d[i].sends = NewSendings()
		w.d[i].sends.faulty = sends
	}
	w.commit(flight{cmd: string(Command{Op: OpPromise, ID: theJob, Job: &Job{Class: "c", Within: jobTicks * tick, Keep: time.Hour}}.Bytes())})
	w.grant(0) // the first has the job in hand: what follows is the change
	w.commitAll()
	w.step(0, true)
	seen, front := map[uint64]bool{w.key(): true}, []*world{w}
	for depth = 0; depth < most.depth && len(front) > 0; depth++ {
		var further []*world
		for _, w := range front {
			for _, n := range w.next(most) {
				if n.broken != "" {
					return len(seen), depth + 1, n.broken
				}
				if k := n.key(); !seen[k] {
					if seen[k] = true; len(seen) >= most.states {
						return len(seen), depth, ""
					}
					further = append(further, n)
				}
			}
		}
		front = further
	}
	return len(seen), depth, ""
}

// Explored is what came of looking at all that may happen.
type Explored struct {
	Name          string // of the rule that is left out; empty: none is
	States, Depth int
	Broken        string // the first rule of the promise that did not hold; empty: all did
	Missed        string // the one that had to be missed
}

// Explore goes, from a dispatcher that has the lease and a job in hand, through all that may happen within so many
// steps: of a class that repeats at will, or of one that must not.
func Explore(repeats bool, depth int) Explored {
	states, reached, broken := explore(repeats, Faults{}, OwnerFaults{}, SendingFaults{}, bounds{depth: depth, ticks: 9, grants: 3, attempts: 2, unknown: 1, crashes: 1, states: 1 << 30})
	return Explored{States: states, Depth: reached, Broken: broken}
}

// Mutants leaves out one rule after another, each of which must be missed by name.
func Mutants() (all []Explored) {
	for _, m := range []struct {
		name   string
		f      Faults
		o      OwnerFaults
		s      SendingFaults
		most   bounds
		breaks string
	}{
		{"intent not committed before send", Faults{}, OwnerFaults{SendFirst: true}, SendingFaults{}, bounds{ticks: 3, crashes: 1}, "refused, and it ran"},
		{"lease ignored", Faults{}, OwnerFaults{NoLease: true}, SendingFaults{}, bounds{ticks: 3}, "sent after its lease"},
		{"generation not compared", Faults{AnyGen: true}, OwnerFaults{}, SendingFaults{}, bounds{ticks: 4}, "ran after its end"},
		{"end not once", Faults{EndTwice: true}, OwnerFaults{}, SendingFaults{}, bounds{ticks: 3}, "end not once"},
		{"first byte before it is noted", Faults{}, OwnerFaults{}, SendingFaults{BeginUnmarked: true}, bounds{ticks: 3, crashes: 1}, "told as never sent, and it ran"},
		{"begun after it was left", Faults{}, OwnerFaults{}, SendingFaults{BeginUnsent: true}, bounds{ticks: 3}, "told as never sent, and it ran"},
		{"told of another owner's intent", Faults{AnyIntent: true}, OwnerFaults{}, SendingFaults{}, bounds{ticks: 2}, "told as never sent, and it ran"},
		{"call answered before it is kept", Faults{}, OwnerFaults{}, SendingFaults{}, bounds{ticks: 6, crashes: 1, answerFirst: true}, "answered, and lost"},
	} {
		m.most.depth, m.most.grants, m.most.attempts, m.most.states = 14, 2, 1, 1<<30
		states, depth, broken := explore(false, m.f, m.o, m.s, m.most)
		all = append(all, Explored{m.name, states, depth, broken, m.breaks})
	}
	return all
}
