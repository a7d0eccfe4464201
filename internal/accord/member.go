package accord

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Times. A dispatcher goes by what it heard for Lease from when it asked, by its own clock; others take it that it does
// for LeaseOver by theirs, whose rates differ from its by less than one part in MostDrift. The lease outlasts what the
// root group needs to have another leader, or all would be on the floor each time that one is lost.
const (
	Stated      = 1500 * time.Millisecond // no two act on contradicting rules for longer
	Lease       = 1200 * time.Millisecond
	MostDrift   = 20
	LeaseOver   = Lease + Lease/MostDrift
	MostLate    = Stated - LeaseOver // of a loop that acts on what is due
	BeatEach    = 200 * time.Millisecond
	BeatSoon    = 50 * time.Millisecond // while a version is under way, or nothing was heard
	ChangeMost  = 10 * time.Second      // then a version that is not agreed on is given up
	beatsBudget = 3 * time.Millisecond  // of the group's time, for each process: many beat more rarely
	beatMost    = 400 * time.Millisecond
)

// untold is no revision of the cordons: the whole list is to be told.
const untold = ^uint64(0)

// Kept is what outlives a process, on its own disk.
type Kept struct {
	Agreed  Version  `json:"agreed"`
	Pending *Version `json:"pending,omitempty"` // that it may have acted on too
	Cordons []string `json:"cordons,omitempty"` // as agreed
	Mine    []string `json:"mine,omitempty"`    // left out here, and not yet agreed
}

// Order is what a dispatcher is to go by.
type Order struct {
	Acts      Acts
	Low, High json.RawMessage // the texts of those versions; nil: there is none yet
	Cordons   []string        // to leave out, in order
	Check     *Version        // to look at; nil: nothing
}

// Member is one process of a dispatcher among all. Times are of a clock that goes on while the machine is suspended.
type Member struct {
	who   Who
	lease time.Duration

	seq     uint64
	out     bool // a beat is on its way
	sent    time.Duration
	said    Beat
	until   time.Duration // of the lease; 0: there was none
	heard   uint64        // index of the last answer that counts
	bound   bool          // the last beat said that it is on the floor: so it must stay, until it or a later one is answered
	members int

	agreed  Version
	pending *Version
	phase   Phase
	checked uint64
	refuses string
	unable  map[Acts]string // what could not be acted on
	did     Acts            // what is acted on

	rev     uint64
	cordons []string
	mine    map[string]uint64 // left out here: index at which that was agreed, 0: not yet
	op      uint64
}

// NewMember returns one that has heard nothing: it is on the floor of what it kept.
func NewMember(who Who, kept Kept) *Member {
	m := &Member{who: who, lease: Lease, agreed: kept.Agreed, pending: kept.Pending, cordons: slices.Clone(kept.Cordons), rev: untold, mine: map[string]uint64{}, unable: map[Acts]string{}}
	for _, id := range kept.Mine {
		m.mine[id] = 0
	}
	m.did = m.known()
	return m
}

// Keep is what the next process is to know.
func (m *Member) Keep() Kept {
	k := Kept{Agreed: m.agreed, Pending: m.pending, Cordons: m.cordons}
	k.Mine = slices.Sorted(maps.Keys(m.mine))
	return k
}

// known is the floor of all that it knows.
func (m *Member) known() Acts {
	a := Acts{Low: m.agreed.N, High: m.agreed.N, Floor: true}
	if m.pending != nil {
		a.High = m.pending.N
	}
	return a
}

// Leased tells whether what it heard counts.
func (m *Member) Leased(now time.Duration) bool { return now < m.until }

// Until is when its lease is over.
func (m *Member) Until() time.Duration { return m.until }

// Acts is what it is known to act on.
func (m *Member) Acts() Acts { return m.did }

// want is what it is to act on.
func (m *Member) want(now time.Duration) Acts {
	a := Acts{Low: m.agreed.N, High: m.agreed.N}
	if m.pending != nil && m.phase == Both {
		a.High = m.pending.N
	}
	if !m.Leased(now) || m.agreed.N == 0 || m.bound {
		a = m.known()
	}
	if _, cannot := m.unable[a]; cannot { // it stays with what it can, so that it contradicts nobody
		a = Acts{Low: m.did.Low, High: m.did.High, Floor: true}
	}
	return a
}

// Order is what to go by at a time.
func (m *Member) Order(now time.Duration) Order {
	o := Order{Acts: m.want(now)}
	o.Low, o.High = m.text(o.Acts.Low), m.text(o.Acts.High)
	if m.pending != nil && m.pending.N > m.checked {
		o.Check = m.pending
	}
	o.Cordons = slices.Clone(m.cordons)
	for id := range m.mine {
		if at, there := slices.BinarySearch(o.Cordons, id); !there {
			o.Cordons = slices.Insert(o.Cordons, at, id)
		}
	}
	return o
}

func (m *Member) text(n uint64) json.RawMessage {
	switch {
	case n == m.agreed.N:
		return m.agreed.Text
	case m.pending != nil && n == m.pending.N:
		return m.pending.Text
	}
	return nil
}

// Did says that the dispatcher goes by it from now on.
func (m *Member) Did(a Acts) { m.did = a }

// Cannot says that the dispatcher could not go by it.
func (m *Member) Cannot(a Acts, why string) {
	if len(m.unable) > 8 { // of versions long gone
		clear(m.unable)
	}
	m.unable[a] = why
	if m.pending != nil && a.High == m.pending.N {
		m.checked, m.refuses = m.pending.N, why
	}
}

// Fault is why it cannot go by what is agreed; empty: it can.
func (m *Member) Fault() string { return m.unable[Acts{Low: m.agreed.N, High: m.agreed.N}] }

// Checked says that it has looked at a version. why is why it cannot take it; empty: it can.
func (m *Member) Checked(n uint64, why string) {
	if n >= m.checked {
		m.checked, m.refuses = n, why
	}
}

// Beat is one to be sent, if one is due. Heard or Lost must follow.
func (m *Member) Beat(now time.Duration) (Command, bool) {
	b := Beat{Acts: m.did, Checked: m.checked, Refuses: m.refuses, Cordons: m.rev}
	b.Has[0] = m.agreed.N
	if m.pending != nil {
		b.Has[1] = m.pending.N
	}
	every := min(max(BeatEach, time.Duration(m.members)*beatsBudget), beatMost)
	if m.pending != nil || !m.Leased(now) {
		every = BeatSoon
	}
	news := b.Acts != m.said.Acts || b.Checked != m.said.Checked || b.Refuses != m.said.Refuses
	if m.out || m.seq > 0 && now < m.sent+every && !news {
		return Command{}, false
	}
	m.seq++
	b.Seq = m.seq
	m.out, m.sent, m.said, m.bound = true, now, b, b.Acts.Floor
	return Command{From: m.who, Beat: &b}, true
}

// Lost says that nothing was heard of the beat.
func (m *Member) Lost() { m.out, m.said = false, Beat{Acts: Acts{Floor: true, Low: ^uint64(0)}} }

// Heard takes the answer of the beat. It tells whether what is to be kept has changed.
func (m *Member) Heard(a Answer) (changed bool) {
	if !m.out {
		return false
	}
	m.out = false
	if a.Index <= m.heard || a.Refused != "" { // of an older look at the table, or no word of a lease
		return false
	}
	agreed, pending := m.full(a.Agreed), (*Version)(nil)
	if a.Pending != nil {
		p := m.full(*a.Pending)
		pending = &p
	}
	if agreed.N > 0 && agreed.Text == nil || pending != nil && pending.Text == nil {
		return false // it has been told less than it needs
	}
	changed = agreed.N != m.agreed.N || (pending == nil) != (m.pending == nil) || pending != nil && pending.N != m.pending.N
	m.heard, m.until, m.members, m.bound = a.Index, m.sent+m.lease, a.Members, false
	m.agreed, m.pending, m.phase = agreed, pending, a.Phase
	for id, at := range m.mine {
		if at > 0 && at < a.Index {
			delete(m.mine, id)
			changed = true
		}
	}
	if a.Cordons != nil {
		m.rev, m.cordons, changed = a.Rev, *a.Cordons, true
	}
	return changed
}

// full is a version with its text, which may be known.
func (m *Member) full(v Version) Version {
	if v.Text == nil {
		v.Text = m.text(v.N)
	}
	return v
}

// Cordon is what to propose so that an instance is left out, or used again. Out counts here at once: that is the
// stricter act. One that is used again is so once that is agreed.
func (m *Member) Cordon(id string, out bool) (Command, error) {
	if err := CheckID(id); err != nil {
		return Command{}, err
	}
	if _, there := m.mine[id]; out && !there && len(m.mine) >= MaxCordons {
		return Command{}, fmt.Errorf("%d are left out here already", MaxCordons)
	}
	if out {
		m.mine[id] = 0
	}
	return m.command(Command{Cordon: &Cordon{id, out}}), nil
}

func (m *Member) command(c Command) Command {
	m.op++
	c.From, c.Op = m.who, m.op
	return c
}

// Cordoned takes the answer to what was proposed of an instance.
func (m *Member) Cordoned(c Cordon, a Answer) {
	if a.Refused != "" {
		return
	}
	_, waits := m.mine[c.ID]
	switch {
	case c.Out && waits:
		m.mine[c.ID] = a.Index
	case !c.Out:
		delete(m.mine, c.ID)
		if at, there := slices.BinarySearch(m.cordons, c.ID); there && m.heard < a.Index {
			m.cordons = slices.Delete(slices.Clone(m.cordons), at, at+1)
			m.rev = untold
		}
	}
}

// Unagreed is one that is left out here and not yet agreed; empty: none.
func (m *Member) Unagreed() string {
	for _, id := range slices.Sorted(maps.Keys(m.mine)) {
		if m.mine[id] == 0 {
			return id
		}
	}
	return ""
}

// Propose is what to propose so that a text becomes the next version.
func (m *Member) Propose(text json.RawMessage) Command {
	return m.command(Command{Proposal: &Proposal{Base: m.agreed.N, Text: text}})
}

// Agreed is the version that it knows as agreed on.
func (m *Member) Agreed() Version { return m.agreed }

// Pending is the version that it knows as under way, and how far it is; nil: none.
func (m *Member) Pending() (*Version, Phase) { return m.pending, m.phase }

// Driver sees that nobody who is gone is waited for. Any dispatcher may be it, and several at once: what they propose
// counts only for the beat that they saw last.
type Driver struct {
	over  time.Duration // of a lease that nobody has renewed
	seen  map[Who]sight
	n     uint64
	since time.Duration
}

type sight struct {
	index uint64
	at    time.Duration
}

// NewDriver returns one that has seen nobody: everybody has a whole lease from now on.
func NewDriver() *Driver { return &Driver{over: LeaseOver, seen: map[Who]sight{}} }

// Look takes the table as it is seen; now must have been read after that. It returns what to propose.
func (d *Driver) Look(now time.Duration, from Who, lines []Line, pending uint64) (all []Command) {
	next := make(map[Who]sight, len(lines))
	for _, l := range lines {
		s, ok := d.seen[l.Who]
		if !ok || s.index != l.Index {
			s = sight{l.Index, now}
		}
		next[l.Who] = s
		if now-s.at > d.over {
			all = append(all, Command{From: from, Pass: &Pass{l.Who, l.Index}})
		}
	}
	d.seen = next
	if pending != d.n {
		d.n, d.since = pending, now
	}
	if pending > 0 && now-d.since > ChangeMost {
		late := ""
		for _, l := range lines {
			if l.Checked < pending || !l.Acts.Floor && l.Acts.High != pending {
				late = l.Who.Name
			}
		}
		all = append(all, Command{From: from, Drop: &Drop{pending, fmt.Sprintf("not agreed within %v: %s has not come to it", ChangeMost, late)}})
	}
	return all
}
