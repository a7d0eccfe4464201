package promise

import (
	"slices"
	"time"
)

// IntentState is the state of an attempt in the process that requested its intent.
type IntentState int

// States of an attempt. The last one is final.
const (
	Requested IntentState = iota + 1 // its intent is proposed or committed; no byte has been sent
	Started                          // its first byte may have been sent
	NeverSent                        // it has not run and will never run
)

// Delays between reports to a group that an attempt never ran. The first report waits for minReportDelay, since the owner's
// own command is usually under way.
const (
	minReportDelay = 250 * time.Millisecond
	maxReportDelay = 4 * time.Second
)

// SendRecord is one attempt of a promised job. A submission goes to an instance only once, so the first three fields identify it.
type SendRecord struct {
	Job      string // the wire ID of a submission; another owner's may be equal while none of its intents is committed
	Instance string
	Gen      uint64        // of the owner that requested the intent
	Deadline time.Duration // Unix time of the attempt's deadline
	State    IntentState

	committed, proposedTwice bool // its intent is committed; it was proposed more than once and may be committed as often

	nextReport, reportBackoff time.Duration // time of the next report that it was never sent, by the lease clock; delay before the one after it
}

// SendRecords records the attempts whose intents a process has requested. An intent alone says only that its attempt may have run:
// a process that knows that it was never sent reports that, so that the job can be started again. It is not safe for
// concurrent use.
type SendRecords struct {
	byJob map[string][]*SendRecord

	faults SendRecordFaults
}

// SendRecordFaults disables rules, so that tests can check that each is needed.
type SendRecordFaults struct{ SendUnrecorded, SendAbandoned bool }

// NewSendRecords returns an empty set.
func NewSendRecords() *SendRecords { return &SendRecords{byJob: map[string][]*SendRecord{}} }

// Request records that an intent is about to be proposed. fresh is false if the attempt is known already.
func (s *SendRecords) Request(job, instance string, gen uint64, until time.Duration) (record *SendRecord, fresh bool) {
	request := SendRecord{Job: job, Instance: instance, Gen: gen, Deadline: until, State: Requested}
	if known := s.find(&request); known != nil {
		known.proposedTwice = true
		return known, false
	}
	return s.add(request), true
}

// Restore adds an attempt of the previous process, which has ended: what that had not begun will never be sent.
func (s *SendRecords) Restore(record SendRecord) {
	if record.State == Requested {
		record.State = NeverSent
	}
	if s.find(&record) == nil {
		s.add(record)
	}
}

func (s *SendRecords) add(record SendRecord) *SendRecord {
	s.byJob[record.Job] = append(s.byJob[record.Job], &record)
	return &record
}

func (s *SendRecords) find(like *SendRecord) *SendRecord {
	for _, known := range s.byJob[like.Job] {
		if known.sameAttempt(like) {
			return known
		}
	}
	return nil
}

// sameAttempt reports whether two records are of the same attempt.
func (s *SendRecord) sameAttempt(other *SendRecord) bool {
	return s.Job == other.Job && s.Instance == other.Instance && s.Gen == other.Gen
}

// Begin must be called before an attempt's first byte is sent; false: it must not be sent.
func (s *SendRecords) Begin(record *SendRecord) bool {
	if record.State == NeverSent {
		return s.faults.SendAbandoned
	}
	if !s.faults.SendUnrecorded {
		record.State = Started
	}
	return true
}

// NeverRan records that an attempt ended without having run, whether it was begun or not. An attempt that was dropped as begun,
// when its submission was abandoned, is added again.
func (s *SendRecords) NeverRan(record *SendRecord, mono time.Duration) {
	if record.State == NeverSent {
		return
	}
	record.State, record.nextReport = NeverSent, mono+minReportDelay
	if s.find(record) == nil {
		s.byJob[record.Job] = append(s.byJob[record.Job], record)
	}
}

// Committed records that an attempt's intent is committed.
func (s *SendRecords) Committed(record *SendRecord) { record.committed = true }

// Confirmed removes an attempt that the group knows never ran, unless its intent may still be committed.
func (s *SendRecords) Confirmed(record *SendRecord) {
	if record.State == NeverSent && record.committed && !record.proposedTwice {
		s.Drop(record)
	}
}

// Abandon stops a submission: no more attempts of it begin. Those that have begun are left to their callbacks.
func (s *SendRecords) Abandon(job string, mono time.Duration) {
	for _, record := range slices.Clone(s.byJob[job]) {
		switch record.State {
		case Started:
			s.Drop(record)
		case Requested:
			s.NeverRan(record, mono)
		}
	}
}

// DueReports returns the attempts that are to be reported as never sent now. Each is returned again until it is dropped.
func (s *SendRecords) DueReports(mono time.Duration) (due []*SendRecord) {
	for _, all := range s.byJob {
		for _, record := range all {
			if record.State == NeverSent && mono >= record.nextReport {
				record.reportBackoff = min(max(minReportDelay, 2*record.reportBackoff), maxReportDelay)
				record.nextReport = mono + record.reportBackoff
				due = append(due, record)
			}
		}
	}
	return due
}

// Drop removes an attempt.
func (s *SendRecords) Drop(record *SendRecord) {
	s.retain(record.Job, func(known *SendRecord) bool { return !known.sameAttempt(record) })
}

// retain removes the attempts of a submission that do not match.
func (s *SendRecords) retain(job string, match func(*SendRecord) bool) {
	s.byJob[job] = slices.DeleteFunc(s.byJob[job], func(known *SendRecord) bool { return !match(known) })
	if len(s.byJob[job]) == 0 {
		delete(s.byJob, job)
	}
}

// Expire removes attempts for which their owners do not wait any more.
func (s *SendRecords) Expire(unix time.Duration) {
	for job := range s.byJob {
		s.retain(job, func(known *SendRecord) bool { return unix <= known.Deadline+2*callbackGrace })
	}
}

// All returns all attempts, to be stored for the next process.
func (s *SendRecords) All() (all []SendRecord) {
	for _, known := range s.byJob {
		for _, record := range known {
			all = append(all, *record)
		}
	}
	return all
}

// NeverRanCommand returns the command that reports to the group that an attempt never ran, as if its instance had returned it
// unstarted. It must be proposed only if the table has the intent. ok is false if the wire ID is no promised job's.
func (s *SendRecord) NeverRanCommand() (c Command, ok bool) {
	id, index, submission, ok := ReadWireID(s.Job)
	return Command{Op: OpReport, ID: id, Index: index, Submission: submission, Instance: s.Instance, Kind: Refused}, ok
}

// HasIntent reports whether the table has the intent of an attempt, and whether its job is settled, so that reports on the attempt
// do not count. Once an intent is in a table later submissions have higher numbers, so a report cannot match another attempt.
func (m *Machine) HasIntent(s *SendRecord) (intended, settled bool) {
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
		return (in.Gen == s.Gen || m.faults.IgnoreIntentOwner) && in.Submission == submission && in.Instance == s.Instance
	}), false
}
