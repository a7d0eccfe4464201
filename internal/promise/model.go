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

// This file explores all orders of events around a change of owner: two dispatchers and one job, with all schedules of
// dispatchers, proposals, sends and callbacks. A dispatcher that is not scheduled is paused. Times are a few ticks.

const (
	tick     = 400 * time.Millisecond
	lease    = 2        // in ticks
	drift    = tick / 4 // of a clock within a lease, and offset of the second dispatcher's clock
	jobTicks = 4
	jobID    = "j"
)

type model struct {
	now             int
	table           *Machine // as committed by the group
	log             []logEntry
	grants          int
	holder          int
	leaseEnd        int // tick at which the lease ends
	dispatchers     [2]dispatcher
	messages        []message
	unknownOutcomes int // number of proposals whose outcome has become unknown
	crashes         int
	runs            []attempt
	callbackAcked   map[attempt]bool // whether a run's callback has been acknowledged
	reportedUnsent  []SendRecord     // attempts that were reported to the group as never sent
	firstEnd        *End
	ignoreLease     bool // senders ignore the lease
	violation       string
}

type logEntry struct {
	at  time.Duration
	cmd string
}

type dispatcher struct {
	table        *Machine
	applied      int // number of log entries that are applied
	term         uint64
	leaseEnd     time.Duration
	trueLeaseEnd int // the true end of the lease, in ticks
	owner        *Owner
	submission   int    // submitted to the loop; 0: none
	attempts     int    // of this submission so far
	instance     string // instance of the last attempt; state and sendUntil are of that, too
	state        int
	sendUntil    time.Duration

	records   *SendRecords      // survive a restart of the process
	record    *SendRecord       // of the last attempt
	abandoned *abandonedAttempt // an abandoned attempt that still waits for its connection
}

type abandonedAttempt struct {
	attempt
	sendUntil time.Duration
	record    *SendRecord
}

const (
	none = iota
	requested
	allowed
	started // the first byte is sent next
	sent
)

type attempt struct {
	dispatcher, submission, n int
	instance                  string
}

type message struct {
	dispatcher int
	seq        uint64      // 0: a report, of an instance's callback or of an attempt that was never sent
	answer     *attempt    // the attempt whose callback is acknowledged once this is committed
	unsent     *SendRecord // the attempt that this reports as never sent
	cmd        string
}

func (w *model) clock(d int) Clocks {
	behind := time.Duration(d) * drift
	return Clocks{Mono: time.Duration(w.now)*tick + tick - behind, Unix: time.Duration(w.now) * tick}
}

func (m *Machine) clone() *Machine {
	c := *m
	c.jobs, c.openJobs, c.ended = map[string]*Entry{}, nil, nil
	for id, e := range m.jobs {
		f := *e
		f.Intents = slices.Clone(e.Intents)
		if c.jobs[id] = &f; f.End == nil {
			c.openJobs = append(c.openJobs, &f)
		} else {
			c.ended = append(c.ended, &f)
		}
	}
	c.endedInOpen = 0
	return &c
}

func (o *Owner) clone() *Owner {
	c := *o
	c.submitted, c.resubmits, c.proposals, c.actions = map[string]*submission{}, maps.Clone(o.resubmits), maps.Clone(o.proposals), nil
	for id, h := range o.submitted {
		g := *h
		g.pendingSends, g.instances = maps.Clone(h.pendingSends), maps.Clone(h.instances)
		c.submitted[id] = &g
	}
	return &c
}

// clone also returns the copy's record of the same attempt.
func (s *SendRecords) clone(of *SendRecord) (*SendRecords, *SendRecord) {
	c := NewSendRecords()
	c.faults = s.faults
	for _, record := range s.All() {
		c.add(record)
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

func (w *model) clone() *model {
	c := *w
	c.table = w.table.clone()
	for i := range c.dispatchers {
		d := &c.dispatchers[i]
		d.table, d.owner = w.dispatchers[i].table.clone(), w.dispatchers[i].owner.clone()
		d.records, d.record = d.records.clone(d.record)
		if d.abandoned != nil {
			abandoned, record := *d.abandoned, *d.abandoned.record
			abandoned.record = &record
			d.abandoned = &abandoned
		}
	}
	c.reportedUnsent = slices.Clone(w.reportedUnsent)
	c.log, c.messages, c.runs, c.callbackAcked = slices.Clip(w.log), slices.Clone(w.messages), slices.Clone(w.runs), maps.Clone(w.callbackAcked)
	return &c
}

// key identifies a state by what matters for its future, not by its history.
func (w *model) key() uint64 {
	b := make([]byte, 0, 512)
	num := func(all ...int) {
		for _, n := range all {
			b = binary.AppendVarint(b, int64(n))
		}
	}
	yes := func(y bool) int { return map[bool]int{true: 1}[y] }
	table := func(m *Machine) {
		e := m.Entry(jobID)
		if e == nil {
			return
		}
		num(int(m.owner), e.LastSubmission, len(e.Intents))
		for _, in := range e.Intents {
			num(int(in.Gen), in.Submission, in.Attempt, int(in.Deadline))
			b = append(b, in.Instance...)
		}
		if e.End != nil {
			b = append(append(b, e.End.Kind...), e.End.Reason...)
		}
	}
	num(w.now, w.grants, w.holder, w.leaseEnd, w.unknownOutcomes, w.crashes, len(w.runs))
	for _, a := range w.runs {
		num(a.dispatcher, a.submission, a.n, yes(w.callbackAcked[a]))
		b = append(b, a.instance...)
	}
	for _, s := range w.reportedUnsent {
		b = append(append(b, s.Job...), s.Instance...)
	}
	table(w.table)
	for i := range w.dispatchers {
		d := &w.dispatchers[i]
		table(d.table)
		for _, l := range w.log[d.applied:] {
			num(int(l.at))
			b = append(b, l.cmd...)
		}
		o := d.owner
		num(int(d.term), int(d.leaseEnd), d.submission, d.attempts, d.state, int(d.sendUntil), int(o.term), int(o.leaseEnd), int(o.lastTerm), int(o.losses), o.baseSubmission, yes(o.ownProposal > 0))
		b = append(b, d.instance...)
		if num(yes(d.abandoned != nil)); d.abandoned != nil {
			num(d.abandoned.submission, d.abandoned.n, int(d.abandoned.sendUntil))
		}
		known := d.records.All()
		slices.SortFunc(known, func(a, b SendRecord) int {
			return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Gen, b.Gen))
		})
		for _, k := range known {
			num(int(k.State), int(k.nextReport), int(k.Gen))
			b = append(append(b, k.Job...), k.Instance...)
		}
		if num(yes(d.record != nil)); d.record != nil {
			num(int(d.record.State))
		}
		l, waits := o.resubmits[jobID]
		num(yes(waits), int(l.at), l.number, int(l.backoff))
		if h := o.submitted[jobID]; h != nil {
			num(h.number, yes(h.mayHaveRun), yes(h.endCommand != nil), yes(h.endProposal > 0), int(h.retryAt), len(h.pendingSends))
			for _, n := range slices.Sorted(maps.Keys(h.pendingSends)) {
				num(n, yes(h.pendingSends[n].seq > 0), int(h.pendingSends[n].retryAt))
			}
			b = fmt.Append(b, h.instances)
			if h.endCommand != nil { // it may wait to be proposed
				b = append(b, h.endCommand.Kind...)
			}
		}
	}
	messages := make([]string, len(w.messages)) // any may be delivered next: their order does not matter
	for i, msg := range w.messages {
		_, pending := w.dispatchers[msg.dispatcher].owner.proposals[msg.seq]
		messages[i] = fmt.Sprint(msg.dispatcher, pending, msg.answer != nil, msg.cmd)
	}
	slices.Sort(messages)
	for _, msg := range messages {
		b = append(b, msg...)
	}
	return maphash.Bytes(seed, b)
}

var seed = maphash.MakeSeed()

func (w *model) violate(rule string) {
	if w.violation == "" {
		w.violation = rule
	}
}

// commit makes the group commit a message.
func (w *model) commit(msg message) Answer {
	w.log = append(w.log, logEntry{time.Duration(w.now) * tick, msg.cmd})
	a, _ := ReadAnswer(w.table.Apply(uint64(len(w.log)), time.Duration(w.now)*tick, []byte(msg.cmd)))
	if e := w.table.Entry(jobID); e != nil && e.End != nil {
		if w.firstEnd != nil && (e.End.Kind != w.firstEnd.Kind || e.End.Reason != w.firstEnd.Reason || e.End.At != w.firstEnd.At) {
			w.violate("more than one end")
		}
		if w.firstEnd == nil && e.End.Kind == Failed && slices.Contains(slices.Collect(maps.Values(w.callbackAcked)), true) {
			w.violate("callback acknowledged, but its result lost")
		}
		end := *e.End
		if w.firstEnd = &end; e.End.Kind == Refused && len(w.runs) > 0 {
			w.violate("refused, but it ran")
		}
	}
	if msg.unsent != nil && a.OK {
		w.reportedUnsent = append(w.reportedUnsent, *msg.unsent)
		w.checkReports()
	}
	if msg.answer != nil {
		w.callbackAcked[*msg.answer] = a.OK || a.Code == AlreadyEnded
	}
	return a
}

// checkReports checks that no attempt ran that was reported as never sent.
func (w *model) checkReports() {
	for _, a := range w.runs {
		if slices.ContainsFunc(w.reportedUnsent, func(s SendRecord) bool { return s.Job == WireID(jobID, 1, a.submission) && s.Instance == a.instance }) {
			w.violate("reported as never sent, but it ran")
		}
	}
}

// grant gives a dispatcher the lease or extends it.
func (w *model) grant(i int) {
	d := &w.dispatchers[i]
	if w.grants++; w.holder != i || d.term == 0 {
		d.term = uint64(w.grants)
	}
	w.holder, w.leaseEnd = i, w.now+lease
	d.trueLeaseEnd = w.leaseEnd
	d.leaseEnd = time.Duration(w.leaseEnd)*tick + tick - drift
	w.update(i, true)
}

func (w *model) commitAll() {
	for _, msg := range w.messages {
		w.dispatchers[msg.dispatcher].owner.ProposalDone(w.clock(msg.dispatcher), msg.seq, w.commit(msg), false)
	}
	w.messages = nil
}

// update lets a dispatcher process the log, or, if readsLog is false, only its present copy of the table.
func (w *model) update(i int, readsLog bool) {
	d := &w.dispatchers[i]
	for ; readsLog && d.applied < len(w.log); d.applied++ {
		d.table.Apply(uint64(d.applied+1), w.log[d.applied].at, []byte(w.log[d.applied].cmd))
	}
	c := w.clock(i)
	d.owner.SetLease(c, d.term, d.leaseEnd, d.term > 0 && (c.Mono < d.leaseEnd || w.ignoreLease))
	d.owner.Update(c, d.table)
	w.perform(i)
}

// perform performs an owner's actions.
func (w *model) perform(i int) {
	d := &w.dispatchers[i]
	for _, a := range d.owner.Actions() {
		switch a := a.(type) {
		case Propose:
			if a.Op == OpIntent && !d.owner.mayRetry("") {
				d.record, _ = d.records.Request(d.wireID(), a.Instance, a.Gen, a.Deadline)
			}
			w.messages = append(w.messages, message{dispatcher: i, seq: a.Seq, cmd: string(a.Command.Bytes())})
		case Record:
			w.messages = append(w.messages, message{dispatcher: i, cmd: string(a.Command.Bytes())})
		case Submit:
			d.submission, d.attempts, d.state, d.record = a.Submission, 0, none, nil
		case AllowSend:
			if d.submission == a.Submission && d.state == requested && d.attempts == a.Attempt {
				d.state, d.sendUntil = allowed, a.Until
			}
		case DenySend:
			if d.submission == a.Submission && d.state == requested && d.attempts == a.Attempt {
				d.neverRan(w.clock(i))
			}
		case Abandon, EndReported:
			d.abandon(w.clock(i))
		}
	}
}

func (d *dispatcher) wireID() string { return WireID(jobID, 1, d.submission) }

// abandon stops all further sends of the current submission.
func (d *dispatcher) abandon(c Clocks) {
	if d.submission > 0 {
		d.records.Abandon(d.wireID(), c.Mono)
	}
	if d.state == allowed && d.records.faults.SendAbandoned { // without the fault it never starts
		d.abandoned = &abandonedAttempt{attempt{submission: d.submission, n: d.attempts, instance: d.instance}, d.sendUntil, d.record}
	}
	d.submission, d.attempts, d.state, d.record = 0, 0, none, nil
}

// neverRan records that the last attempt did not run.
func (d *dispatcher) neverRan(c Clocks) {
	d.state = none
	if d.record != nil {
		d.records.NeverRan(d.record, c.Mono)
		d.record = nil
	}
}

func (w *model) send(i int) {
	d := &w.dispatchers[i]
	if d.state = sent; d.owner.clone().mayRetry("") {
		if w.now >= d.trueLeaseEnd {
			w.violate("sent after the end of its lease")
		}
	} else {
		switch {
		case len(w.runs) > 0:
			w.violate("ran twice")
		case w.firstEnd != nil:
			w.violate("ran after its end")
		case w.now >= d.trueLeaseEnd:
			w.violate("sent after the end of its lease")
		}
	}
	w.runs = append(w.runs, attempt{i, d.submission, d.attempts, d.instance})
	w.checkReports()
	if w.firstEnd != nil && w.firstEnd.Kind == Refused {
		w.violate("refused, but it ran")
	}
}

// next returns all possible successor states.
func (w *model) next(limit limits) (all []*model) {
	try := func(f func(*model)) {
		c := w.clone()
		f(c)
		all = append(all, c)
	}
	beginning := slices.ContainsFunc(w.dispatchers[:], func(d dispatcher) bool { return d.state == started }) // sending the first byte takes less time than the lease's margin
	if w.now < limit.ticks && !beginning {
		try(func(w *model) { w.now++ })
	}
	for i := range w.dispatchers {
		if w.grants < limit.grants && (w.now >= w.leaseEnd || w.holder == i) {
			try(func(w *model) { w.grant(i) })
		}
		d := &w.dispatchers[i]
		try(func(w *model) { w.update(i, true) })
		if d.applied < len(w.log) {
			try(func(w *model) { w.update(i, false) })
		}
		if w.crashes < limit.crashes {
			try(func(w *model) {
				w.crashes++
				mayRetry := w.dispatchers[i].owner.mayRetry
				faults := w.dispatchers[i].owner.faults
				records := NewSendRecords()
				records.faults = w.dispatchers[i].records.faults
				for _, record := range w.dispatchers[i].records.All() {
					records.Restore(record)
				}
				w.dispatchers[i] = dispatcher{table: w.dispatchers[i].table, applied: w.dispatchers[i].applied, owner: NewOwner(mayRetry), records: records}
				w.dispatchers[i].owner.faults, w.dispatchers[i].owner.scanInterval = faults, 0
				w.messages = slices.DeleteFunc(w.messages, func(msg message) bool { return msg.dispatcher == i && msg.seq == 0 })
				if w.holder == i {
					w.holder = -1
				}
			})
		}
		for _, record := range d.records.All() {
			if c, ok := record.NeverRanCommand(); ok && record.State == NeverSent && !w.inFlight(c) {
				if intended, _ := d.table.HasIntent(&record); intended {
					try(func(w *model) {
						w.messages = append(w.messages, message{dispatcher: i, unsent: &record, cmd: string(c.Bytes())})
					})
				}
			}
		}
		if b := d.abandoned; b != nil && w.clock(i).Mono < b.sendUntil && d.records.Begin(b.record) {
			try(func(w *model) {
				w.dispatchers[i].abandoned = nil
				w.runs = append(w.runs, attempt{i, b.submission, b.n, b.instance})
				w.checkReports()
			})
		}
		if d.submission == 0 {
			continue
		}
		left := time.Duration(jobTicks-w.now) * tick
		switch d.state {
		case none:
			for instance := range min(limit.attempts-d.attempts, d.attempts+1) { // the same instance again or another one
				try(func(w *model) {
					d := &w.dispatchers[i]
					d.attempts, d.state, d.instance = d.attempts+1, requested, fmt.Sprint("s-", instance)
					d.owner.RequestSend(w.clock(i), jobID, d.submission, d.attempts, d.instance, w.clock(i).Unix+tick)
					w.perform(i)
				})
			}
			try(func(w *model) { w.answer(i, Rejected, left) })
			try(func(w *model) { w.answer(i, Impossible, left) })
		case allowed:
			if w.clock(i).Mono < d.sendUntil || w.ignoreLease {
				try(func(w *model) { w.begin(i) })
			}
			try(func(w *model) { w.neverRan(i) }) // the instance is full, or it is too late
			try(func(w *model) { w.answer(i, MayHaveFailed, left) })
		case started:
			try(func(w *model) { w.send(i) })
			try(func(w *model) { w.neverRan(i) }) // its connection has broken
		case sent:
			try(func(w *model) { w.answer(i, Served, left) })
			try(func(w *model) { w.answer(i, MayHaveFailed, left) })
		}
	}
	for _, a := range w.runs { // callbacks may reach any dispatcher, also one that has nothing to do with the job
		if !w.callbackAcked[a] && !slices.ContainsFunc(w.messages, func(msg message) bool { return msg.answer != nil && *msg.answer == a }) {
			try(func(w *model) {
				report := Command{Op: OpReport, ID: jobID, Index: 1, Submission: a.submission, Instance: a.instance, Kind: Done}
				callback := message{dispatcher: 1 - a.dispatcher, answer: &a, cmd: string(report.Bytes())}
				if limit.ackFirst {
					w.callbackAcked[a], callback.answer = true, nil
				}
				w.messages = append(w.messages, callback)
			})
		}
	}
	for k, msg := range w.messages {
		out := func(w *model) { w.messages = slices.Delete(w.messages, k, k+1) }
		try(func(w *model) {
			out(w)
			a := w.commit(msg)
			if msg.seq > 0 {
				w.dispatchers[msg.dispatcher].owner.ProposalDone(w.clock(msg.dispatcher), msg.seq, a, false)
				w.perform(msg.dispatcher)
			}
		})
		if w.unknownOutcomes < limit.unknownOutcomes && msg.seq > 0 {
			for _, counts := range []bool{true, false} {
				try(func(w *model) {
					if w.unknownOutcomes++; counts {
						w.commit(msg)
					}
					out(w)
					w.dispatchers[msg.dispatcher].owner.ProposalDone(w.clock(msg.dispatcher), msg.seq, Answer{}, true)
					w.perform(msg.dispatcher)
				})
			}
		}
	}
	return all
}

func (w *model) answer(i int, v Verdict, left time.Duration) {
	d := &w.dispatchers[i]
	submission, record := d.submission, d.record
	d.abandon(w.clock(i))
	if v == MayHaveFailed && record != nil && record.State == NeverSent { // cancelled before its first byte
		v = Rejected
	}
	d.owner.Answered(w.clock(i), jobID, 1, submission, v, d.instance, nil, 0, left)
	w.perform(i)
}

// begin records that the first byte is sent next.
func (w *model) begin(i int) {
	d := &w.dispatchers[i]
	if d.record != nil && !d.records.Begin(d.record) {
		w.neverRan(i)
		return
	}
	d.state = started
}

// neverRan records that the last attempt did not run.
func (w *model) neverRan(i int) {
	d := &w.dispatchers[i]
	d.neverRan(w.clock(i))
	d.owner.NeverRan(jobID, d.submission, d.attempts)
	w.perform(i)
}

// inFlight reports whether a report is proposed and not committed yet.
func (w *model) inFlight(c Command) bool {
	text := string(c.Bytes())
	return slices.ContainsFunc(w.messages, func(msg message) bool { return msg.seq == 0 && msg.cmd == text })
}

type limits struct {
	depth, ticks, grants, attempts, unknownOutcomes, crashes, states int
	ackFirst                                                         bool // callbacks are acknowledged before their reports are committed
}

// explore searches all states up to a depth and returns the first violated rule.
func explore(mayRetry bool, f Faults, o OwnerFaults, s SendRecordFaults, limit limits) (states, depth int, violation string) {
	class := func(string) bool { return mayRetry }
	w := &model{ignoreLease: o.NoLease, holder: -1, callbackAcked: map[attempt]bool{}}
	w.table = New()
	w.table.faults = f
	for i := range w.dispatchers {
		w.dispatchers[i].table, w.dispatchers[i].owner = w.table.clone(), NewOwner(class)
		w.dispatchers[i].owner.faults, w.dispatchers[i].owner.scanInterval = o, 0
		w.dispatchers[i].records = NewSendRecords()
		w.dispatchers[i].records.faults = s
	}
	w.commit(message{cmd: string(Command{Op: OpPromise, ID: jobID, Job: &Job{Class: "c", StartWithin: jobTicks * tick, Retention: time.Hour}}.Bytes())})
	w.grant(0) // the first dispatcher holds the job; the change of owner follows
	w.commitAll()
	w.update(0, true)
	seen, front := map[uint64]bool{w.key(): true}, []*model{w}
	for depth = 0; depth < limit.depth && len(front) > 0; depth++ {
		var further []*model
		for _, w := range front {
			for _, n := range w.next(limit) {
				if n.violation != "" {
					return len(seen), depth + 1, n.violation
				}
				if k := n.key(); !seen[k] {
					if seen[k] = true; len(seen) >= limit.states {
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

// Exploration is the result of a search.
type Exploration struct {
	Name          string // of the rule that is disabled; empty: none
	States, Depth int
	Violation     string // the first violated rule; empty: none
	Expected      string // the rule whose violation is expected
}

// Explore searches all states within depth steps of one in which a dispatcher has the lease and holds a job. The job's class
// allows retries of jobs that may have run, or does not.
func Explore(mayRetry bool, depth int) Exploration {
	states, reached, violation := explore(mayRetry, Faults{}, OwnerFaults{}, SendRecordFaults{}, limits{depth: depth, ticks: 9, grants: 3, attempts: 2, unknownOutcomes: 1, crashes: 1, states: 1 << 30})
	return Exploration{States: states, Depth: reached, Violation: violation}
}

// Mutants disables one rule after another, each of which must lead to the expected violation.
func Mutants() (all []Exploration) {
	for _, m := range []struct {
		name     string
		f        Faults
		o        OwnerFaults
		s        SendRecordFaults
		limit    limits
		expected string
	}{
		{"intent not committed before send", Faults{}, OwnerFaults{SendFirst: true}, SendRecordFaults{}, limits{ticks: 3, crashes: 1}, "refused, but it ran"},
		{"lease ignored", Faults{}, OwnerFaults{NoLease: true}, SendRecordFaults{}, limits{ticks: 3}, "sent after the end of its lease"},
		{"generation not compared", Faults{IgnoreGeneration: true}, OwnerFaults{}, SendRecordFaults{}, limits{ticks: 4}, "ran after its end"},
		{"more than one end", Faults{AllowSecondEnd: true}, OwnerFaults{}, SendRecordFaults{}, limits{ticks: 3}, "more than one end"},
		{"first byte sent before it is recorded", Faults{}, OwnerFaults{}, SendRecordFaults{SendUnrecorded: true}, limits{ticks: 3, crashes: 1}, "reported as never sent, but it ran"},
		{"started after it was abandoned", Faults{}, OwnerFaults{}, SendRecordFaults{SendAbandoned: true}, limits{ticks: 3}, "reported as never sent, but it ran"},
		{"reported for another owner's intent", Faults{IgnoreIntentOwner: true}, OwnerFaults{}, SendRecordFaults{}, limits{ticks: 2}, "reported as never sent, but it ran"},
		{"callback acknowledged before its report is committed", Faults{}, OwnerFaults{}, SendRecordFaults{}, limits{ticks: 6, crashes: 1, ackFirst: true}, "callback acknowledged, but its result lost"},
	} {
		m.limit.depth, m.limit.grants, m.limit.attempts, m.limit.states = 14, 2, 1, 1<<30
		states, depth, violation := explore(false, m.f, m.o, m.s, m.limit)
		all = append(all, Exploration{m.name, states, depth, violation, m.expected})
	}
	return all
}
