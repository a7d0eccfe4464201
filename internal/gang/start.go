package gang

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Kind is what a coordinator tells a dispatcher of members.
type Kind string

// The kinds.
const (
	Arm Kind = "arm" // be ready to start them
	Go  Kind = "go"  // the start is committed
	Run Kind = "run" // all have started
	No  Kind = "no"  // call them off
	// Back is told to another dispatcher than the one that may have sent them, which is silent: have the encoders drop them.
	Back Kind = "back"
)

// Doing is what a starter wants done with a member.
type Doing int

// The doings.
const (
	Launch   Doing = iota // send it
	GiveUp                // end what was sent from here
	TakeBack              // have its encoder drop what another process may have sent
)

// Word is what a coordinator tells a dispatcher. It is answered by a [Said], and repeated until that says what is wanted.
type Word struct {
	Kind  Kind          `json:"kind"`
	Gang  string        `json:"gang"`
	Round uint64        `json:"round"`
	At    time.Duration `json:"at"`            // of the start, by the clock of whoever is told
	Err   time.Duration `json:"err,omitempty"` // by how much that may be wrong
	Skew  time.Duration `json:"skew"`
	Parts []Part        `json:"parts"`

	offset time.Duration // of the clock, as At was reckoned
}

// Part is one member that a dispatcher is to send.
type Part struct {
	Member  int    `json:"member"`
	Encoder string `json:"encoder"`
	Spec    Member `json:"spec"` // in a word to arm only
}

// Said is what a dispatcher says of the members that it was told of.
type Said struct {
	Now   time.Duration `json:"now"`             // by its clock
	Clock string        `json:"clock,omitempty"` // which that is: each process has one of its own
	Site  string        `json:"site"`
	Held  []Taken       `json:"held,omitempty"` // of the groups that it leads, where it was asked nothing else
	Parts []PartSaid    `json:"parts"`
}

// PartSaid is of one member.
type PartSaid struct {
	Member  int    `json:"member"`
	Armed   bool   `json:"armed,omitempty"`   // ready to start
	Running bool   `json:"running,omitempty"` // it knows that all have started
	Fate    Fate   `json:"fate,omitempty"`
	Why     string `json:"why,omitempty"`
	Late    int64  `json:"late,omitempty"` // microseconds after the start at which it was sent
}

// Act is something that a starter wants done.
type Act struct {
	Key     string // of the member in this round: its job's correlation id
	Do      Doing
	Encoder string
	Member  Member
}

// A member that is given up is dropped by its encoder, which is told some times more: word of it may be lost, or overtake
// the job.
const (
	dropAgain = 3
	dropEvery = 40 * time.Millisecond
)

// mostParts bounds the members in a starter's hand.
const mostParts = 4096

// Starter starts the members that a dispatcher sends. Its time is Unix time by the dispatcher's clock, which must go on
// steadily. It is not safe for more than one goroutine.
type Starter struct {
	parts map[string]*part
	out   []Act
	Stats StarterStats
}

// StarterStats counts what it did.
type StarterStats struct{ Armed, Launched, Late, GivenUp, Alone, Jumps uint64 }

type part struct {
	Part
	gang    string
	round   uint64
	at, err time.Duration
	skew    time.Duration
	going   bool
	sent    bool
	sentAt  time.Duration
	running bool
	fate    Fate
	why     string
	changed time.Duration
	again   int // that its encoder is still to be told to drop it
}

// over tells whether nothing more can become of a member.
func (p *part) over() bool { return p.fate != Unknown && p.fate != Began }

// NewStarter returns one that has nothing in hand.
func NewStarter() *Starter { return &Starter{parts: map[string]*part{}} }

// Key is a member's in a round.
func Key(gang string, round uint64, member int) string {
	return fmt.Sprintf("gang-%s-%d-%d", gang, round, member)
}

// Did takes the acts that have come up.
func (s *Starter) Did() []Act {
	out := s.out
	s.out = nil
	return out
}

// Word takes a word and answers it.
func (s *Starter) Word(now time.Duration, w Word) Said {
	s.Tick(now)
	said := Said{Now: now}
	for _, t := range w.Parts[:min(len(w.Parts), MostMembers)] {
		key := Key(w.Gang, w.Round, t.Member)
		if w.Kind == Back {
			s.out = append(s.out, Act{Key: key, Do: TakeBack, Encoder: t.Encoder})
			said.Parts = append(said.Parts, PartSaid{Member: t.Member})
			continue
		}
		p := s.parts[key]
		if p == nil {
			if p = cmp.Or(s.arm(now, w, t), s.adopt(now, w, t)); p == nil {
				if w.Kind != Arm { // a process before this one may have sent it
					s.out = append(s.out, Act{Key: key, Do: TakeBack, Encoder: t.Encoder})
				}
				said.Parts = append(said.Parts, PartSaid{Member: t.Member, Fate: s.unknown(w), Why: "not known here"})
				continue
			}
			s.parts[key] = p
		}
		switch {
		case p.over():
		case w.Kind == Arm && !p.going:
			p.at, p.err = w.At, w.Err // whoever coordinates now measures by its own clock
		case w.Kind == Go && !p.sent && w.At > 0 && (w.At-p.at).Abs() > w.Err+p.err:
			s.Stats.Jumps++
			p.fate, p.why, p.changed = NeverRan, "its dispatcher's clock was put to another time", now
		case w.Kind == Go && !p.going && now < p.at:
			p.going = true
		case w.Kind == Run && p.sent:
			p.running = true
		case w.Kind == No:
			s.off(now, p)
		}
		said.Parts = append(said.Parts, PartSaid{t.Member, !p.over() && !p.sent, p.running, p.fate, p.why, (p.sentAt - p.at).Microseconds()})
	}
	s.Tick(now)
	return said
}

// arm is a member that is told of for the first time; nil: it is too late, or there are too many.
func (s *Starter) arm(now time.Duration, w Word, t Part) *part {
	if w.Kind != Arm || w.At <= now || w.Skew <= 0 {
		return nil
	}
	if len(s.parts) >= mostParts {
		maps.DeleteFunc(s.parts, func(_ string, p *part) bool { return p.over() && now-p.changed > keepOver })
		if len(s.parts) >= mostParts {
			return nil
		}
	}
	s.Stats.Armed++
	return &part{Part: t, gang: w.Gang, round: w.Round, at: w.At, err: w.Err, skew: w.Skew, changed: now}
}

// adopt is a member that runs, and was sent by a process before this one; nil: it is not known to run, or there are too many.
func (s *Starter) adopt(now time.Duration, w Word, t Part) *part {
	if w.Kind != Run || len(s.parts) >= mostParts {
		return nil
	}
	return &part{Part: t, gang: w.Gang, round: w.Round, at: now, sentAt: now, sent: true, running: true, fate: Began, changed: now}
}

// unknown is what is to be thought of a member that is not in hand: one that was to go may have been sent by a process
// before this one.
func (s *Starter) unknown(w Word) Fate {
	if w.Kind == Arm {
		return NeverRan
	}
	return MayRun
}

// off calls a member off.
func (s *Starter) off(now time.Duration, p *part) {
	if p.over() {
		return
	}
	if p.changed = now; !p.sent {
		p.fate = NeverRan
		return
	}
	s.Stats.GivenUp++
	p.fate, p.again = MayRun, dropAgain
	s.out = append(s.out, Act{Key: Key(p.gang, p.round, p.Member), Do: GiveUp, Encoder: p.Encoder, Member: p.Spec})
}

// Tick does what is due.
func (s *Starter) Tick(now time.Duration) {
	var due []string
	for key, p := range s.parts {
		if p.again > 0 && now >= p.changed+dropEvery {
			p.again, p.changed = p.again-1, now
			s.out = append(s.out, Act{Key: key, Do: TakeBack, Encoder: p.Encoder})
		}
		if !p.over() && !p.running && now >= p.at {
			due = append(due, key)
		}
	}
	slices.Sort(due)
	for _, key := range due {
		switch p := s.parts[key]; {
		case !p.sent && (!p.going || now > p.at+p.skew/4): // never told to go, or it slept over its start
			if p.going {
				s.Stats.Late++
			}
			p.fate, p.why, p.changed = NeverRan, "it was not sent in time", now
		case !p.sent:
			p.sent, p.sentAt, p.changed = true, now, now
			s.Stats.Launched++
			s.out = append(s.out, Act{Key: key, Do: Launch, Encoder: p.Encoder, Member: p.Spec})
		case now >= p.at+OffAt: // not a word that all run: whoever could tell it may be cut off
			s.Stats.Alone++
			p.why = "no word that all run"
			s.off(now, p)
		}
	}
}

// Next is when something is due; false: nothing is.
func (s *Starter) Next() (at time.Duration, some bool) {
	for _, p := range s.parts {
		due := p.at
		switch {
		case p.again > 0:
			due = p.changed + dropEvery
		case p.over() || p.running:
			continue
		}
		if p.sent && p.again == 0 {
			due += OffAt
		}
		if !some || due < at {
			at, some = due, true
		}
	}
	return at, some
}

// Began says that a member's encoder runs it. One that began late is given up: half of the skew is for clocks, whose
// error is a quarter of it at most, two of them apart.
func (s *Starter) Began(now time.Duration, key string) {
	switch p := s.parts[key]; {
	case p == nil || !p.sent || p.fate != Unknown:
	case now > p.at+p.skew/2:
		s.Stats.Late++
		p.why = "its encoder began too late"
		s.off(now, p)
	default:
		p.fate, p.changed = Began, now
	}
}

// Of is the gang of a member in hand.
func (s *Starter) Of(key string) (gang string, ok bool) {
	p := s.parts[key]
	if p == nil {
		return "", false
	}
	return p.gang, true
}

// Over says how a member that was sent has ended: done, never run, or neither is known.
func (s *Starter) Over(now time.Duration, key string, f Fate, why string) {
	p := s.parts[key]
	if p == nil || !p.sent || p.over() {
		return
	}
	if p.fate == Began && f != Done {
		f = Died
	}
	p.fate, p.why, p.changed = f, why, now
}

// Clock measures how far another's clock is ahead of the own one, from questions and answers: half of the quickest
// one's time is the error. An old measure counts for less: clocks run apart.
type Clock struct {
	offset, err time.Duration
	at          time.Duration
	have        bool
}

const (
	drift    = 200.0 / 1e6 // of two clocks, at most
	forgetIn = time.Minute
)

// Measured takes a question that was sent, answered by the other's clock, and whose answer has come. It tells whether
// one of the clocks was put to another time since the last one: then the old measure is worth nothing, however good it was.
func (c *Clock) Measured(sent, theirs, came time.Duration) (jumped bool) {
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
	if !c.have || now-c.at > forgetIn {
		return 0, 0, false
	}
	return c.offset, c.err + time.Duration(drift*float64(now-c.at)), true
}

// still tells whether the start that a word named is the same by what is known of the clock now.
func (c *Clock) still(now time.Duration, w Word) bool {
	offset, err, ok := c.Offset(now)
	return ok && (offset-w.offset).Abs() <= err+w.Err
}
