package gang

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// MessageKind is what a coordinator tells a dispatcher of members.
type MessageKind string

// The kinds.
const (
	Arm MessageKind = "arm" // be ready to start them
	Go  MessageKind = "go"  // the start is committed
	Run MessageKind = "run" // all have started
	CallOff  MessageKind = "no"  // call them off
	// CancelElsewhere is told to another dispatcher than the one that may have sent them, which is silent: have the encoders drop them.
	CancelElsewhere MessageKind = "back"
)

// StarterActionKind is what a starter wants done with a member.
type StarterActionKind int

// The doings.
const (
	Launch   StarterActionKind = iota // send it
	CancelSent                // end what was sent from here
	CancelJob              // have its encoder drop what another process may have sent
)

// Message is what a coordinator tells a dispatcher. It is answered by a [Said], and repeated until that says what is wanted.
type Message struct {
	Kind  MessageKind          `json:"kind"`
	Gang  string        `json:"gang"`
	Round uint64        `json:"round"`
	At    time.Duration `json:"at"`            // of the start, by the clock of whoever is told
	ClockError   time.Duration `json:"err,omitempty"` // by how much that may be wrong
	Skew  time.Duration `json:"skew"`
	Assignments []Assignment        `json:"parts"`

	offset time.Duration // of the clock, as At was reckoned
}

// Assignment is one member that a dispatcher is to send.
type Assignment struct {
	Member  int    `json:"member"`
	Encoder string `json:"encoder"`
	Spec    Member `json:"spec"` // in a word to arm only
}

// Reply is what a dispatcher says of the members that it was told of.
type Reply struct {
	Now   time.Duration `json:"now"`             // by its clock
	Clock string        `json:"clock,omitempty"` // which that is: each process has one of its own
	Site  string        `json:"site"`
	Reservations  []Reservation       `json:"held,omitempty"` // of the groups that it leads, where it was asked nothing else
	Members []MemberReply    `json:"parts"`
}

// MemberReply is of one member.
type MemberReply struct {
	Member  int    `json:"member"`
	Armed   bool   `json:"armed,omitempty"`   // ready to start
	AllRunning bool   `json:"running,omitempty"` // it knows that all have started
	Status    MemberStatus   `json:"fate,omitempty"`
	Reason     string `json:"why,omitempty"`
	Late    int64  `json:"late,omitempty"` // microseconds after the start at which it was sent
}

// StarterAction is something that a starter wants done.
type StarterAction struct {
	Key     string // of the member in this round: its job's correlation id
	Kind      StarterActionKind
	Encoder string
	Member  Member
}

// A member that is given up is dropped by its encoder, which is told some times more: word of it may be lost, or overtake
// the job.
const (
	dropRepeats = 3
	dropInterval = 40 * time.Millisecond
)

// maxStarterMembers bounds the members in a starter's hand.
const maxStarterMembers = 4096

// Starter starts the members that a dispatcher sends. Its time is Unix time by the dispatcher's clock, which must go on
// steadily. It is not safe for more than one goroutine.
type Starter struct {
	members map[string]*starterMember
	actions   []StarterAction
	Stats StarterStats
}

// StarterStats counts what it did.
type StarterStats struct{ Armed, Launched, Late, CalledOff, Unconfirmed, ClockJumps uint64 }

type starterMember struct {
	Assignment
	gang    string
	round   uint64
	start, clockError time.Duration
	skew    time.Duration
	goReceived   bool
	sent    bool
	sentAt  time.Duration
	allRunning bool
	status    MemberStatus
	reason     string
	changedAt time.Duration
	dropsLeft   int // that its encoder is still to be told to drop it
}

// ended tells whether nothing more can become of a member.
func (p *starterMember) ended() bool { return p.status != Unknown && p.status != Began }

// NewStarter returns one that has nothing in hand.
func NewStarter() *Starter { return &Starter{members: map[string]*starterMember{}} }

// Key is a member's in a round.
func Key(gang string, round uint64, member int) string {
	return fmt.Sprintf("gang-%s-%d-%d", gang, round, member)
}

// TakeActions takes the acts that have come up.
func (s *Starter) TakeActions() []StarterAction {
	out := s.actions
	s.actions = nil
	return out
}

// Handle takes a word and answers it.
func (s *Starter) Handle(now time.Duration, w Message) Reply {
	s.Tick(now)
	said := Reply{Now: now}
	for _, t := range w.Assignments[:min(len(w.Assignments), MaxMembers)] {
		key := Key(w.Gang, w.Round, t.Member)
		if w.Kind == CancelElsewhere {
			s.actions = append(s.actions, StarterAction{Key: key, Kind: CancelJob, Encoder: t.Encoder})
			said.Members = append(said.Members, MemberReply{Member: t.Member})
			continue
		}
		p := s.members[key]
		if p == nil {
			if p = cmp.Or(s.arm(now, w, t), s.adopt(now, w, t)); p == nil {
				if w.Kind != Arm { // a process before this one may have sent it
					s.actions = append(s.actions, StarterAction{Key: key, Kind: CancelJob, Encoder: t.Encoder})
				}
				said.Members = append(said.Members, MemberReply{Member: t.Member, Status: s.unknownStatus(w), Reason: "not known here"})
				continue
			}
			s.members[key] = p
		}
		switch {
		case p.ended():
		case w.Kind == Arm && !p.goReceived:
			p.start, p.clockError = w.At, w.ClockError // whoever coordinates now measures by its own clock
		case w.Kind == Go && !p.sent && w.At > 0 && (w.At-p.start).Abs() > w.ClockError+p.clockError:
			s.Stats.ClockJumps++
			p.status, p.reason, p.changedAt = NeverRan, "its dispatcher's clock was put to another time", now
		case w.Kind == Go && !p.goReceived && now < p.start:
			p.goReceived = true
		case w.Kind == Run && p.sent:
			p.allRunning = true
		case w.Kind == CallOff:
			s.callOff(now, p)
		}
		said.Members = append(said.Members, MemberReply{t.Member, !p.ended() && !p.sent, p.allRunning, p.status, p.reason, (p.sentAt - p.start).Microseconds()})
	}
	s.Tick(now)
	return said
}

// arm is a member that is told of for the first time; nil: it is too late, or there are too many.
func (s *Starter) arm(now time.Duration, w Message, t Assignment) *starterMember {
	if w.Kind != Arm || w.At <= now || w.Skew <= 0 {
		return nil
	}
	if len(s.members) >= maxStarterMembers {
		maps.DeleteFunc(s.members, func(_ string, p *starterMember) bool { return p.ended() && now-p.changedAt > endedRetention })
		if len(s.members) >= maxStarterMembers {
			return nil
		}
	}
	s.Stats.Armed++
	return &starterMember{Assignment: t, gang: w.Gang, round: w.Round, start: w.At, clockError: w.ClockError, skew: w.Skew, changedAt: now}
}

// adopt is a member that runs, and was sent by a process before this one; nil: it is not known to run, or there are too many.
func (s *Starter) adopt(now time.Duration, w Message, t Assignment) *starterMember {
	if w.Kind != Run || len(s.members) >= maxStarterMembers {
		return nil
	}
	return &starterMember{Assignment: t, gang: w.Gang, round: w.Round, start: now, sentAt: now, sent: true, allRunning: true, status: Began, changedAt: now}
}

// unknownStatus is what is to be thought of a member that is not in hand: one that was to go may have been sent by a process
// before this one.
func (s *Starter) unknownStatus(w Message) MemberStatus {
	if w.Kind == Arm {
		return NeverRan
	}
	return MayHaveRun
}

// callOff calls a member off.
func (s *Starter) callOff(now time.Duration, p *starterMember) {
	if p.ended() {
		return
	}
	if p.changedAt = now; !p.sent {
		p.status = NeverRan
		return
	}
	s.Stats.CalledOff++
	p.status, p.dropsLeft = MayHaveRun, dropRepeats
	s.actions = append(s.actions, StarterAction{Key: Key(p.gang, p.round, p.Member), Kind: CancelSent, Encoder: p.Encoder, Member: p.Spec})
}

// Tick does what is due.
func (s *Starter) Tick(now time.Duration) {
	var due []string
	for key, p := range s.members {
		if p.dropsLeft > 0 && now >= p.changedAt+dropInterval {
			p.dropsLeft, p.changedAt = p.dropsLeft-1, now
			s.actions = append(s.actions, StarterAction{Key: key, Kind: CancelJob, Encoder: p.Encoder})
		}
		if !p.ended() && !p.allRunning && now >= p.start {
			due = append(due, key)
		}
	}
	slices.Sort(due)
	for _, key := range due {
		switch p := s.members[key]; {
		case !p.sent && (!p.goReceived || now > p.start+p.skew/4): // never told to go, or it slept over its start
			if p.goReceived {
				s.Stats.Late++
			}
			p.status, p.reason, p.changedAt = NeverRan, "it was not sent in time", now
		case !p.sent:
			p.sent, p.sentAt, p.changedAt = true, now, now
			s.Stats.Launched++
			s.actions = append(s.actions, StarterAction{Key: key, Kind: Launch, Encoder: p.Encoder, Member: p.Spec})
		case now >= p.start+ConfirmTimeout: // not a word that all run: whoever could tell it may be cut off
			s.Stats.Unconfirmed++
			p.reason = "no word that all run"
			s.callOff(now, p)
		}
	}
}

// NextDue is when something is due; false: nothing is.
func (s *Starter) NextDue() (at time.Duration, some bool) {
	for _, p := range s.members {
		due := p.start
		switch {
		case p.dropsLeft > 0:
			due = p.changedAt + dropInterval
		case p.ended() || p.allRunning:
			continue
		}
		if p.sent && p.dropsLeft == 0 {
			due += ConfirmTimeout
		}
		if !some || due < at {
			at, some = due, true
		}
	}
	return at, some
}

// MemberStarted says that a member's encoder runs it. One that began late is given up: half of the skew is for clocks, whose
// error is a quarter of it at most, two of them apart.
func (s *Starter) MemberStarted(now time.Duration, key string) {
	switch p := s.members[key]; {
	case p == nil || !p.sent || p.status != Unknown:
	case now > p.start+p.skew/2:
		s.Stats.Late++
		p.reason = "its encoder began too late"
		s.callOff(now, p)
	default:
		p.status, p.changedAt = Began, now
	}
}

// GangOf is the gang of a member in hand.
func (s *Starter) GangOf(key string) (gang string, ok bool) {
	p := s.members[key]
	if p == nil {
		return "", false
	}
	return p.gang, true
}

// MemberEnded says how a member that was sent has ended: done, never run, or neither is known.
func (s *Starter) MemberEnded(now time.Duration, key string, f MemberStatus, why string) {
	p := s.members[key]
	if p == nil || !p.sent || p.ended() {
		return
	}
	if p.status == Began && f != Done {
		f = Died
	}
	p.status, p.reason, p.changedAt = f, why, now
}

// Clock measures how far another's clock is ahead of the own one, from questions and answers: half of the quickest
// one's time is the error. An old measure counts for less: clocks run apart.
type Clock struct {
	offset, maxErr time.Duration
	measuredAt          time.Duration
	measured        bool
}

const (
	maxDrift    = 200.0 / 1e6 // of two clocks, at most
	clockRetention = time.Minute
)

// Measure takes a question that was sent, answered by the other's clock, and whose answer has come. It tells whether
// one of the clocks was put to another time since the last one: then the old measure is worth nothing, however good it was.
func (c *Clock) Measure(sent, theirs, came time.Duration) (jumped bool) {
	offset, err := theirs-sent-(came-sent)/2, (came-sent)/2+time.Microsecond
	had, was, ok := c.Offset(came)
	if jumped = ok && (offset-had).Abs() > err+was; ok && !jumped && was < err {
		return false
	}
	*c = Clock{offset, err, came, true}
	return jumped
}

// Offset is how far the other's clock is ahead, and by how much that may be wrong; false: it was never measured.
func (c *Clock) Offset(now time.Duration) (offset, err time.Duration, ok bool) {
	if !c.measured || now-c.measuredAt > clockRetention {
		return 0, 0, false
	}
	return c.offset, c.maxErr + time.Duration(maxDrift*float64(now-c.measuredAt)), true
}

// sameStart tells whether the start that a word named is the same by what is known of the clock now.
func (c *Clock) sameStart(now time.Duration, w Message) bool {
	offset, err, ok := c.Offset(now)
	return ok && (offset-w.offset).Abs() <= err+w.ClockError
}
