package promise

import (
	"slices"
	"time"
)

// SendState is how far the process that asked for an attempt's intent has come with it.
type SendState int

// The states of an attempt. From Unsent there is no way back.
const (
	Asked  SendState = iota + 1 // its intent is proposed or committed; no byte of it has gone out
	Begun                       // its first byte may have gone out
	Unsent                      // it has not run, and never will
)

// Between two times that a group is told that an attempt never ran. The first comes as late as tellFirst, since the owner's
// own word of it is usually on its way.
const (
	tellFirst = 250 * time.Millisecond
	tellMost  = 4 * time.Second
)

// Sending is one attempt of a promised job. A hand-in goes to an instance once only, so the first three name it.
type Sending struct {
	Job      string // the wire id, of one hand-in; another owner's may have the same, as long as no intent of it is committed
	Instance string
	Gen      uint64        // of the owner that asked for the intent
	Until    time.Duration // Unix time of the attempt's deadline
	State    SendState

	committed, doubled bool // its intent is; that was proposed more than once, and may be committed as often

	next, pause time.Duration // when the group is told that it is unsent, by the clock of leases, and before the time after
}

// Sendings is what one process knows of the attempts whose intents it has asked for. An intent alone says only that its
// attempt may have run; a process that can say that it was never sent has the job begun again. It is not safe for more than
// one goroutine.
type Sendings struct {
	byJob map[string][]*Sending

	faulty SendingFaults
}

// SendingFaults switches a rule off, for the tests that must notice.
type SendingFaults struct{ BeginUnmarked, BeginUnsent bool }

// NewSendings returns one that knows of none.
func NewSendings() *Sendings { return &Sendings{byJob: map[string][]*Sending{}} }

// Ask notes that an intent is about to be proposed. Asked for again, it is the same attempt; fresh tells whether it is not.
func (s *Sendings) Ask(job, instance string, gen uint64, until time.Duration) (sending *Sending, fresh bool) {
	asked := Sending{Job: job, Instance: instance, Gen: gen, Until: until, State: Asked}
	if known := s.find(&asked); known != nil {
		known.doubled = true
		return known, false
	}
	return s.add(asked), true
}

// Restore takes an attempt of the process before, which has ended: what it had not begun, it never will.
func (s *Sendings) Restore(sending Sending) {
	if sending.State == Asked {
		sending.State = Unsent
	}
	if s.find(&sending) == nil {
		s.add(sending)
	}
}

func (s *Sendings) add(sending Sending) *Sending {
	s.byJob[sending.Job] = append(s.byJob[sending.Job], &sending)
	return &sending
}

func (s *Sendings) find(like *Sending) *Sending {
	for _, known := range s.byJob[like.Job] {
		if known.same(like) {
			return known
		}
	}
	return nil
}

// same tells whether two are of one attempt.
func (s *Sending) same(as *Sending) bool {
	return s.Job == as.Job && s.Instance == as.Instance && s.Gen == as.Gen
}

// Begin must be called before an attempt's first byte goes out; false: it must not be sent any more.
func (s *Sendings) Begin(sending *Sending) bool {
	if sending.State == Unsent {
		return s.faulty.BeginUnsent
	}
	if !s.faulty.BeginUnmarked {
		sending.State = Begun
	}
	return true
}

// NeverRan notes that an attempt has ended without having run, whether it was begun or not, or was forgotten as begun when
// its hand-in was left.
func (s *Sendings) NeverRan(sending *Sending, mono time.Duration) {
	if sending.State == Unsent {
		return
	}
	sending.State, sending.next = Unsent, mono+tellFirst
	if s.find(sending) == nil {
		s.byJob[sending.Job] = append(s.byJob[sending.Job], sending)
	}
}

// Committed notes that the group has an attempt's intent.
func (s *Sendings) Committed(sending *Sending) { sending.committed = true }

// Over forgets an attempt of which the group has it that it never ran, where its intent cannot come any more.
func (s *Sendings) Over(sending *Sending) {
	if sending.State == Unsent && sending.committed && !sending.doubled {
		s.Drop(sending)
	}
}

// Leave has nothing more of a hand-in begun. What was begun is for others to hear of.
func (s *Sendings) Leave(job string, mono time.Duration) {
	for _, sending := range slices.Clone(s.byJob[job]) {
		switch sending.State {
		case Begun:
			s.Drop(sending)
		case Asked:
			s.NeverRan(sending, mono)
		}
	}
}

// Untold is the attempts of which groups are to be told now that they never ran. Each comes again until it is dropped.
func (s *Sendings) Untold(mono time.Duration) (due []*Sending) {
	for _, all := range s.byJob {
		for _, sending := range all {
			if sending.State == Unsent && mono >= sending.next {
				sending.pause = min(max(tellFirst, 2*sending.pause), tellMost)
				sending.next = mono + sending.pause
				due = append(due, sending)
			}
		}
	}
	return due
}

// Drop forgets an attempt.
func (s *Sendings) Drop(sending *Sending) {
	s.keep(sending.Job, func(known *Sending) bool { return !known.same(sending) })
}

// keep forgets those attempts of a hand-in that are not such.
func (s *Sendings) keep(job string, such func(*Sending) bool) {
	s.byJob[job] = slices.DeleteFunc(s.byJob[job], func(known *Sending) bool { return !such(known) })
	if len(s.byJob[job]) == 0 {
		delete(s.byJob, job)
	}
}

// Expire forgets attempts whose owners wait for them no longer.
func (s *Sendings) Expire(unix time.Duration) {
	for job := range s.byJob {
		s.keep(job, func(known *Sending) bool { return unix <= known.Until+2*afterWord })
	}
}

// All is every attempt that is known, for what outlives the process.
func (s *Sendings) All() (all []Sending) {
	for _, known := range s.byJob {
		for _, sending := range known {
			all = append(all, *sending)
		}
	}
	return all
}

// NeverSent is the fact for the group that a sending's attempt never ran: as though its instance had handed it back
// unstarted. It must be told only where the intent is [Machine.Intended]. ok is false where the wire id is no promised job's.
func (s *Sending) NeverSent() (c Command, ok bool) {
	id, index, hand, ok := ReadWireID(s.Job)
	return Command{Op: OpWord, ID: id, Index: index, Hand: hand, Instance: s.Instance, Kind: Refused}, ok
}

// Intended tells whether the table has the intent of a sending, and whether its job is settled: what is said of the attempt
// counts no more. Once an intent is in a table later hand-ins have higher numbers, so that word of it can meet no other's.
func (m *Machine) Intended(s *Sending) (intended, settled bool) {
	id, index, hand, ok := ReadWireID(s.Job)
	if !ok {
		return false, true
	}
	e := m.Entry(id)
	if e == nil || e.Index != index { // this copy may be behind
		return false, false
	}
	if e.End != nil {
		return false, true
	}
	return slices.ContainsFunc(e.Intents, func(in Intent) bool {
		return (in.Gen == s.Gen || m.faulty.AnyIntent) && in.Hand == hand && in.Instance == s.Instance
	}), false
}
