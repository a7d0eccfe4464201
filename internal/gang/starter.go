package gang

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// MessageKind is the kind of a message from a coordinator to a dispatcher.
type MessageKind string

// The kinds of messages.
const (
	Arm     MessageKind = "arm" // prepare to start the members
	Go      MessageKind = "go"  // the start is committed
	Run     MessageKind = "run" // all members have started
	CallOff MessageKind = "no"  // cancel the members
	// CancelElsewhere is sent to another dispatcher when the one that may have sent the members does not reply: it has
	// the encoders cancel them.
	CancelElsewhere MessageKind = "back"
)

// StarterActionKind is the kind of a starter's action on a member.
type StarterActionKind int

// The kinds of actions.
const (
	Launch     StarterActionKind = iota // send the member
	CancelSent                          // cancel a member that this dispatcher has sent
	CancelJob                           // have the encoder cancel a member that another process may have sent
)

// Message is a coordinator's message to a dispatcher. It is answered by a [Reply], and repeated until the reply
// confirms it.
type Message struct {
	Kind        MessageKind   `json:"kind"`
	Gang        string        `json:"gang"`
	Round       uint64        `json:"round"`
	At          time.Duration `json:"at"`            // the start, by the receiver's clock
	ClockError  time.Duration `json:"err,omitempty"` // maximum error of At
	Skew        time.Duration `json:"skew"`
	Assignments []Assignment  `json:"parts"`

	offset time.Duration // of the receiver's clock that At was computed with
}

// Assignment is a member that a dispatcher is to send.
type Assignment struct {
	Member  int    `json:"member"`
	Encoder string `json:"encoder"`
	Spec    Member `json:"spec"` // only in arm messages
}

// Reply is a dispatcher's reply to a message, with the status of the members in it.
type Reply struct {
	Now          time.Duration `json:"now"`             // by its clock
	Clock        string        `json:"clock,omitempty"` // name of its clock, unique to the process
	Site         string        `json:"site"`
	Reservations []Reservation `json:"held,omitempty"` // in the groups that it leads; only in replies to messages without a kind
	Members      []MemberReply `json:"parts"`
}

// MemberReply is the status of one member.
type MemberReply struct {
	Member     int          `json:"member"`
	Armed      bool         `json:"armed,omitempty"`   // ready to start
	AllRunning bool         `json:"running,omitempty"` // the dispatcher knows that all members have started
	Status     MemberStatus `json:"fate,omitempty"`
	Reason     string       `json:"why,omitempty"`
	Late       int64        `json:"late,omitempty"` // microseconds from the planned start until it was sent; meaningless unless sent
}

// StarterAction is an action that a starter requests.
type StarterAction struct {
	Key     string // the job's correlation ID, unique to member and round
	Kind    StarterActionKind
	Encoder string
	Member  Member
}

// The encoder of a cancelled member is told several times to drop it: a message may be lost or overtake the job.
const (
	dropRepeats  = 3
	dropInterval = 40 * time.Millisecond
)

// maxStarterMembers is the maximum number of members that a starter keeps.
const maxStarterMembers = 4096

// Starter starts the members that one dispatcher sends. Its times are Unix times by the dispatcher's clock, which must
// be monotonic. It must not be used concurrently.
type Starter struct {
	members map[string]*starterMember
	actions []StarterAction
	Stats   StarterStats
}

// StarterStats counts a starter's events.
type StarterStats struct{ Armed, Launched, Late, CalledOff, Unconfirmed, ClockJumps uint64 }

type starterMember struct {
	Assignment
	gang              string
	round             uint64
	start, clockError time.Duration
	skew              time.Duration
	goReceived        bool
	sent              bool
	sentAt            time.Duration
	allRunning        bool
	status            MemberStatus
	reason            string
	changedAt         time.Duration
	dropsLeft         int // how often its encoder is still to be told to drop it
}

// ended reports whether the member's status is final.
func (m *starterMember) ended() bool { return m.status != Unknown && m.status != Began }

// NewStarter returns a starter without members.
func NewStarter() *Starter { return &Starter{members: map[string]*starterMember{}} }

// JobID returns the ID of a member's job in a round.
func JobID(gang string, round uint64, member int) string {
	return fmt.Sprintf("gang-%s-%d-%d", gang, round, member)
}

// TakeActions returns the pending actions and clears them.
func (s *Starter) TakeActions() []StarterAction {
	out := s.actions
	s.actions = nil
	return out
}

// Handle processes a message and returns the reply.
func (s *Starter) Handle(now time.Duration, msg Message) Reply {
	s.Tick(now)
	reply := Reply{Now: now}
	for _, t := range msg.Assignments[:min(len(msg.Assignments), MaxMembers)] {
		key := JobID(msg.Gang, msg.Round, t.Member)
		if msg.Kind == CancelElsewhere {
			s.actions = append(s.actions, StarterAction{Key: key, Kind: CancelJob, Encoder: t.Encoder})
			reply.Members = append(reply.Members, MemberReply{Member: t.Member})
			continue
		}
		m := s.members[key]
		if m == nil {
			if m = cmp.Or(s.arm(now, msg, t), s.adopt(now, msg, t)); m == nil {
				if msg.Kind != Arm { // an earlier process may have sent it
					s.actions = append(s.actions, StarterAction{Key: key, Kind: CancelJob, Encoder: t.Encoder})
				}
				reply.Members = append(reply.Members, MemberReply{Member: t.Member, Status: s.unknownStatus(msg), Reason: "not known here"})
				continue
			}
			s.members[key] = m
		}
		switch {
		case m.ended():
		case msg.Kind == Arm && !m.goReceived:
			m.start, m.clockError = msg.At, msg.ClockError // by the current coordinator's measurement of the clock
		case msg.Kind == Go && !m.sent && msg.At > 0 && (msg.At-m.start).Abs() > msg.ClockError+m.clockError:
			s.Stats.ClockJumps++
			m.status, m.reason, m.changedAt = NeverRan, "its dispatcher's clock was put to another time", now
		case msg.Kind == Go && !m.goReceived && now < m.start:
			m.goReceived = true
		case msg.Kind == Run && m.sent:
			m.allRunning = true
		case msg.Kind == CallOff:
			s.callOff(now, m)
		}
		reply.Members = append(reply.Members, MemberReply{t.Member, !m.ended() && !m.sent, m.allRunning, m.status, m.reason, (m.sentAt - m.start).Microseconds()})
	}
	s.Tick(now)
	return reply
}

// arm returns a new member to be started, or nil if it is too late or there are too many.
func (s *Starter) arm(now time.Duration, msg Message, t Assignment) *starterMember {
	if msg.Kind != Arm || msg.At <= now || msg.Skew <= 0 {
		return nil
	}
	if len(s.members) >= maxStarterMembers {
		maps.DeleteFunc(s.members, func(_ string, m *starterMember) bool { return m.ended() && now-m.changedAt > endedRetention })
		if len(s.members) >= maxStarterMembers {
			return nil
		}
	}
	s.Stats.Armed++
	return &starterMember{Assignment: t, gang: msg.Gang, round: msg.Round, start: msg.At, clockError: msg.ClockError, skew: msg.Skew, changedAt: now}
}

// adopt returns a running member that an earlier process has sent, or nil if it is not known to run or there are too
// many.
func (s *Starter) adopt(now time.Duration, msg Message, t Assignment) *starterMember {
	if msg.Kind != Run || len(s.members) >= maxStarterMembers {
		return nil
	}
	return &starterMember{Assignment: t, gang: msg.Gang, round: msg.Round, start: now, sentAt: now, sent: true, allRunning: true, status: Began, changedAt: now}
}

// unknownStatus returns the status of a member that the starter does not have. Unless it was just to be armed, an
// earlier process may have sent it.
func (s *Starter) unknownStatus(msg Message) MemberStatus {
	if msg.Kind == Arm {
		return NeverRan
	}
	return MayHaveRun
}

// callOff cancels a member.
func (s *Starter) callOff(now time.Duration, m *starterMember) {
	if m.ended() {
		return
	}
	if m.changedAt = now; !m.sent {
		m.status = NeverRan
		return
	}
	s.Stats.CalledOff++
	m.status, m.dropsLeft = MayHaveRun, dropRepeats
	s.actions = append(s.actions, StarterAction{Key: JobID(m.gang, m.round, m.Member), Kind: CancelSent, Encoder: m.Encoder, Member: m.Spec})
}

// Tick performs all actions that are due.
func (s *Starter) Tick(now time.Duration) {
	var due []string
	for key, m := range s.members {
		if m.dropsLeft > 0 && now >= m.changedAt+dropInterval {
			m.dropsLeft, m.changedAt = m.dropsLeft-1, now
			s.actions = append(s.actions, StarterAction{Key: key, Kind: CancelJob, Encoder: m.Encoder})
		}
		if !m.ended() && !m.allRunning && now >= m.start {
			due = append(due, key)
		}
	}
	slices.Sort(due)
	for _, key := range due {
		switch m := s.members[key]; {
		case !m.sent && (!m.goReceived || now > m.start+m.skew/4): // the go message did not arrive, or this process was suspended during the start
			if m.goReceived {
				s.Stats.Late++
			}
			m.status, m.reason, m.changedAt = NeverRan, "it was not sent in time", now
		case !m.sent:
			m.sent, m.sentAt, m.changedAt = true, now, now
			s.Stats.Launched++
			s.actions = append(s.actions, StarterAction{Key: key, Kind: Launch, Encoder: m.Encoder, Member: m.Spec})
		case now >= m.start+ConfirmTimeout: // no confirmation that all run: the coordinator may be unreachable
			s.Stats.Unconfirmed++
			m.reason = "no word that all run"
			s.callOff(now, m)
		}
	}
}

// NextDue returns when the next action is due, and false if there is none.
func (s *Starter) NextDue() (at time.Duration, found bool) {
	for _, m := range s.members {
		due := m.start
		switch {
		case m.dropsLeft > 0:
			due = m.changedAt + dropInterval
		case m.ended() || m.allRunning:
			continue
		}
		if m.sent && m.dropsLeft == 0 {
			due += ConfirmTimeout
		}
		if !found || due < at {
			at, found = due, true
		}
	}
	return at, found
}

// MemberStarted records that a member's encoder has begun to run it. A member that began too late is cancelled. Half
// of the skew is reserved for the two clocks involved, each of which may be wrong by a quarter of it.
func (s *Starter) MemberStarted(now time.Duration, key string) {
	switch m := s.members[key]; {
	case m == nil || !m.sent || m.status != Unknown:
	case now > m.start+m.skew/2:
		s.Stats.Late++
		m.reason = "its encoder began too late"
		s.callOff(now, m)
	default:
		m.status, m.changedAt = Began, now
	}
}

// GangOf returns the gang of a member that the starter has.
func (s *Starter) GangOf(key string) (gang string, ok bool) {
	m := s.members[key]
	if m == nil {
		return "", false
	}
	return m.gang, true
}

// MemberEnded records how a member that was sent has ended: Done, NeverRan, or MayHaveRun if neither is known.
func (s *Starter) MemberEnded(now time.Duration, key string, status MemberStatus, reason string) {
	m := s.members[key]
	if m == nil || !m.sent || m.ended() {
		return
	}
	if m.status == Began && status != Done {
		status = Died
	}
	m.status, m.reason, m.changedAt = status, reason, now
}

// Clock estimates how far another process's clock is ahead of the local one, from the times of messages and replies.
// The maximum error is half of the shortest round trip, and grows with the measurement's age, since clocks drift.
type Clock struct {
	offset, maxErr time.Duration
	measuredAt     time.Duration
	measured       bool
}

const (
	maxDrift       = 200.0 / 1e6 // maximum between two clocks
	clockRetention = time.Minute
)

// Measure takes the local times at which a message was sent and its reply arrived, and the other clock's time in the
// reply. It reports whether one of the clocks was stepped since the last measurement, which is then discarded.
func (c *Clock) Measure(sent, remote, received time.Duration) (stepped bool) {
	offset, err := remote-sent-(received-sent)/2, (received-sent)/2+time.Microsecond
	before, beforeErr, ok := c.Offset(received)
	if stepped = ok && (offset-before).Abs() > err+beforeErr; ok && !stepped && beforeErr < err {
		return false
	}
	*c = Clock{offset, err, received, true}
	return stepped
}

// Offset returns how far the other clock is ahead and the maximum error, and false if there is no recent measurement.
func (c *Clock) Offset(now time.Duration) (offset, err time.Duration, ok bool) {
	if !c.measured || now-c.measuredAt > clockRetention {
		return 0, 0, false
	}
	return c.offset, c.maxErr + time.Duration(maxDrift*float64(now-c.measuredAt)), true
}

// sameStart reports whether the message's start time is still correct by the current measurement of the clock.
func (c *Clock) sameStart(now time.Duration, msg Message) bool {
	offset, err, ok := c.Offset(now)
	return ok && (offset-msg.offset).Abs() <= err+msg.ClockError
}
