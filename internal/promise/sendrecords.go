package promise

import (
	"slices"
	"time"
)

// SendState is the state of an attempt in the process that requested its intent.
type SendState int

// States of an attempt. The last one is final.
const (
	Asked  SendState = iota + 1 // its intent is proposed or committed; no byte has been sent
	Begun                       // its first byte may have been sent
	Unsent                      // it has not run and will never run
)

// Delays between reports to a group that an attempt never ran. The first report waits for minReportDelay, since the owner's
// own command is usually under way.
const (
	minReportDelay = 250 * time.Millisecond
	maxReportDelay = 4 * time.Second
)

// Sending is one attempt of a promised job. A submission goes to an instance only once, so the first three fields identify it.
type Sending struct {
	Job      string // the wire ID of a submission; another owner's may be equal while none of its intents is committed
	Instance string
	Gen      uint64        // of the owner that requested the intent
	Until    time.Duration // Unix time of the attempt's deadline
	State    SendState

	committed, proposedTwice bool // its intent is committed; it was proposed more than once and may be committed as often

	nextReport, reportBackoff time.Duration // time of the next report that it was never sent, by the lease clock; delay before the one after it
}

// Sendings records the attempts whose intents a process has requested. An intent alone says only that its attempt may have run:
// a process that knows that it was never sent reports that, so that the job can be started again. It is not safe for
// concurrent use.
type Sendings struct {
	byJob map[string][]*Sending

	faults SendRecordFaults
}

// SendRecordFaults disables rules, so that tests can check that each is needed.
type SendRecordFaults struct{ SendUnrecorded, SendAbandoned bool }

// NewSendings returns an empty set.
func NewSendings() *Sendings { return &Sendings{byJob: map[string][]*Sending{}} }

// Ask records that an intent is about to be proposed. fresh is false if the attempt is known already.
func (s *Sendings) Ask(job, instance string, gen uint64, until time.Duration) (record *Sending, fresh bool) {
	request := Sending{Job: job, Instance: instance, Gen: gen, Until: until, State: Asked}
	if known := s.find(&request); known != nil {
		known.proposedTwice = true
		return known, false
	}
	return s.add(request), true
}

// Restore adds an attempt of the previous process, which has ended: what that had not begun will never be sent.
func (s *Sendings) Restore(record Sending) {
	if record.State == Asked {
		record.State = Unsent
	}
	if s.find(&record) == nil {
		s.add(record)
	}
}

func (s *Sendings) add(record Sending) *Sending {
	s.byJob[record.Job] = append(s.byJob[record.Job], &record)
	return &record
}

func (s *Sendings) find(like *Sending) *Sending {
	for _, known := range s.byJob[like.Job] {
		if known.sameAttempt(like) {
			return known
		}
	}
	return nil
}

// sameAttempt reports whether two records are of the same attempt.
func (s *Sending) sameAttempt(other *Sending) bool {
	return s.Job == other.Job && s.Instance == other.Instance && s.Gen == other.Gen
}

// Begin must be called before an attempt's first byte is sent; false: it must not be sent.
func (s *Sendings) Begin(record *Sending) bool {
	if record.State == Unsent {
		return s.faults.SendAbandoned
	}
	if !s.faults.SendUnrecorded {
		record.State = Begun
	}
	return true
}

// NeverRan records that an attempt ended without having run, whether it was begun or not. An attempt that was dropped as begun,
// when its submission was abandoned, is added again.
func (s *Sendings) NeverRan(record *Sending, mono time.Duration) {
	if record.State == Unsent {
		return
	}
	record.State, record.nextReport = Unsent, mono+minReportDelay
	if s.find(record) == nil {
		s.byJob[record.Job] = append(s.byJob[record.Job], record)
	}
}

// Committed records that an attempt's intent is committed.
func (s *Sendings) Committed(record *Sending) { record.committed = true }

// Over removes an attempt that the group knows never ran, unless its intent may still be committed.
func (s *Sendings) Over(record *Sending) {
	if record.State == Unsent && record.committed && !record.proposedTwice {
		s.Drop(record)
	}
}

// Leave stops a submission: no more attempts of it begin. Those that have begun are left to their callbacks.
func (s *Sendings) Leave(job string, mono time.Duration) {
	for _, record := range slices.Clone(s.byJob[job]) {
		switch record.State {
		case Begun:
			s.Drop(record)
		case Asked:
			s.NeverRan(record, mono)
		}
	}
}

// Untold returns the attempts that are to be reported as never sent now. Each is returned again until it is dropped.
func (s *Sendings) Untold(mono time.Duration) (due []*Sending) {
	for _, all := range s.byJob {
		for _, record := range all {
			if record.State == Unsent && mono >= record.nextReport {
				record.reportBackoff = min(max(minReportDelay, 2*record.reportBackoff), maxReportDelay)
				record.nextReport = mono + record.reportBackoff
				due = append(due, record)
			}
		}
	}
	return due
}

// Drop removes an attempt.
func (s *Sendings) Drop(record *Sending) {
	s.retain(record.Job, func(known *Sending) bool { return !known.sameAttempt(record) })
}

// retain removes the attempts of a submission that do not match.
func (s *Sendings) retain(job string, match func(*Sending) bool) {
	s.byJob[job] = slices.DeleteFunc(s.byJob[job], func(known *Sending) bool { return !match(known) })
	if len(s.byJob[job]) == 0 {
		delete(s.byJob, job)
	}
}

// Expire removes attempts for which their owners do not wait any more.
func (s *Sendings) Expire(unix time.Duration) {
	for job := range s.byJob {
		s.retain(job, func(known *Sending) bool { return unix <= known.Until+2*callbackGrace })
	}
}

// All returns all attempts, to be stored for the next process.
func (s *Sendings) All() (all []Sending) {
	for _, known := range s.byJob {
		for _, record := range known {
			all = append(all, *record)
		}
	}
	return all
}

// NeverSent returns the command that reports to the group that an attempt never ran, as if its instance had returned it
// unstarted. It must be proposed only if the table has the intent. ok is false if the wire ID is no promised job's.
func (s *Sending) NeverSent() (c Command, ok bool) {
	id, index, submission, ok := ReadWireID(s.Job)
	return Command{Op: OpWord, ID: id, Index: index, Hand: submission, Instance: s.Instance, Kind: Refused}, ok
}

// Intended reports whether the table has the intent of an attempt, and whether its job is settled, so that reports on the attempt
// do not count. Once an intent is in a table later submissions have higher numbers, so a report cannot match another attempt.
func (m *Machine) Intended(s *Sending) (intended, settled bool) {
	id, index, submission, ok := ReadWireID(s.Job)
	if !ok {
		return false, true
	}
	e := m.Entry(id)
	if e == nil || e.Index != index { // this replica may be behind
		return false, false
	}
	if e.End != nil {
		return false, true
	}
	return slices.ContainsFunc(e.Intents, func(in Intent) bool {
		return (in.Gen == s.Gen || m.faults.IgnoreIntentOwner) && in.Hand == submission && in.Instance == s.Instance
	}), false
}
