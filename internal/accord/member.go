package accord

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Times. A dispatcher relies on an answer for Lease from when it asked, by its own clock; others assume that it does so
// for LeaseExpiry by theirs. Clock rates differ by less than one part in DriftDivisor. The lease is longer than the election of a
// new leader of the root group takes: otherwise all dispatchers would fall to the floor whenever the leader is lost.
const (
	ConflictBound         = 1500 * time.Millisecond // the maximum time for which two dispatchers apply conflicting rules
	Lease                 = 1200 * time.Millisecond
	DriftDivisor          = 20
	LeaseExpiry           = Lease + Lease/DriftDivisor
	MaxLateness           = ConflictBound - LeaseExpiry // of the loop that acts when a lease expires
	HeartbeatInterval     = 200 * time.Millisecond
	FastHeartbeatInterval = 50 * time.Millisecond // while a version is pending or there is no lease
	ChangeTimeout         = 10 * time.Second      // then a version that is not agreed is abandoned
	heartbeatBudget       = 3 * time.Millisecond  // of the group's time per process: many processes send less often
	maxHeartbeatInterval  = 400 * time.Millisecond
)

// unknownRevision is no valid revision of the cordons: it makes the next answer contain the whole list.
const unknownRevision = ^uint64(0)

// Saved is what a process stores on its own disk for the next one.
type Saved struct {
	Agreed       Version  `json:"agreed"`
	Pending      *Version `json:"pending,omitempty"` // which it may have applied, too
	Cordons      []string `json:"cordons,omitempty"` // as agreed
	LocalCordons []string `json:"mine,omitempty"`    // cordoned here and not agreed yet
}

// Directive is what a dispatcher must apply.
type Directive struct {
	Effective EffectiveVersions
	Low, High json.RawMessage // texts of those versions; nil: there is none yet
	Cordons   []string        // cordoned instances, sorted
	ToCheck   *Version        // the version to check; nil: none
}

// Member is one process of a dispatcher. Times are of a clock that goes on while the machine is suspended.
type Member struct {
	process Process
	lease   time.Duration

	seq           uint64
	waiting       bool // a heartbeat has no answer yet
	sentAt        time.Duration
	lastSent      Heartbeat
	leaseEnd      time.Duration // end of the lease; 0: there was none
	lastIndex     uint64        // index of the last answer that was used
	floorReported bool          // the last heartbeat reported the floor: it must stay there until that or a later one is answered
	members       int

	agreed      Version
	pending     *Version
	phase       Phase
	checked     uint64
	refusal     string
	applyErrors map[EffectiveVersions]string // rules that could not be applied, with the reason
	effective   EffectiveVersions            // what is applied

	cordonRevision uint64
	cordons        []string
	localCordons   map[string]uint64 // cordoned here: index at which that was agreed, 0: not yet
	lastOp         uint64
}

// NewMember returns a member without a lease: it is on the floor of what the previous process stored.
func NewMember(who Process, kept Saved) *Member {
	m := &Member{process: who, lease: Lease, agreed: kept.Agreed, pending: kept.Pending, cordons: slices.Clone(kept.Cordons), cordonRevision: unknownRevision, localCordons: map[string]uint64{}, applyErrors: map[EffectiveVersions]string{}}
	for _, id := range kept.LocalCordons {
		m.localCordons[id] = 0
	}
	m.effective = m.floor()
	return m
}

// Save returns what is to be stored for the next process.
func (m *Member) Save() Saved {
	k := Saved{Agreed: m.agreed, Pending: m.pending, Cordons: m.cordons}
	k.LocalCordons = slices.Sorted(maps.Keys(m.localCordons))
	return k
}

// floor returns the floor of the versions that it knows: the strictest rules, which conflict with no version.
func (m *Member) floor() EffectiveVersions {
	a := EffectiveVersions{Low: m.agreed.Number, High: m.agreed.Number, Floor: true}
	if m.pending != nil {
		a.High = m.pending.Number
	}
	return a
}

// HasLease reports whether it holds a lease.
func (m *Member) HasLease(now time.Duration) bool { return now < m.leaseEnd }

// LeaseEnd returns the end of the lease.
func (m *Member) LeaseEnd() time.Duration { return m.leaseEnd }

// Effective returns what the dispatcher is known to apply.
func (m *Member) Effective() EffectiveVersions { return m.effective }

// target is what the dispatcher should apply.
func (m *Member) target(now time.Duration) EffectiveVersions {
	a := EffectiveVersions{Low: m.agreed.Number, High: m.agreed.Number}
	if m.pending != nil && m.phase == Joint {
		a.High = m.pending.Number
	}
	if !m.HasLease(now) || m.agreed.Number == 0 || m.floorReported {
		a = m.floor()
	}
	if _, cannot := m.applyErrors[a]; cannot { // it stays with what it can apply, on the floor, and so conflicts with nobody
		a = EffectiveVersions{Low: m.effective.Low, High: m.effective.High, Floor: true}
	}
	return a
}

// Directive returns what must be applied at a time.
func (m *Member) Directive(now time.Duration) Directive {
	o := Directive{Effective: m.target(now)}
	o.Low, o.High = m.text(o.Effective.Low), m.text(o.Effective.High)
	if m.pending != nil && m.pending.Number > m.checked {
		o.ToCheck = m.pending
	}
	o.Cordons = slices.Clone(m.cordons)
	for id := range m.localCordons {
		if at, found := slices.BinarySearch(o.Cordons, id); !found {
			o.Cordons = slices.Insert(o.Cordons, at, id)
		}
	}
	return o
}

func (m *Member) text(n uint64) json.RawMessage {
	switch {
	case n == m.agreed.Number:
		return m.agreed.Text
	case m.pending != nil && n == m.pending.Number:
		return m.pending.Text
	}
	return nil
}

// Applied reports that the dispatcher applies a from now on.
func (m *Member) Applied(a EffectiveVersions) { m.effective = a }

// ApplyFailed reports that the dispatcher could not apply a.
func (m *Member) ApplyFailed(a EffectiveVersions, why string) {
	if len(m.applyErrors) > 8 { // old versions
		clear(m.applyErrors)
	}
	m.applyErrors[a] = why
	if m.pending != nil && a.High == m.pending.Number {
		m.checked, m.refusal = m.pending.Number, why
	}
}

// Fault returns why it cannot apply the agreed version; empty: it can.
func (m *Member) Fault() string {
	return m.applyErrors[EffectiveVersions{Low: m.agreed.Number, High: m.agreed.Number}]
}

// VersionChecked reports that it has checked a version. why is the reason why it cannot apply that; empty: it can.
func (m *Member) VersionChecked(n uint64, why string) {
	if n >= m.checked {
		m.checked, m.refusal = n, why
	}
}

// NextHeartbeat returns a heartbeat to send, if one is due. Its answer or loss must be reported afterwards.
func (m *Member) NextHeartbeat(now time.Duration) (Command, bool) {
	b := Heartbeat{Effective: m.effective, Checked: m.checked, Refuses: m.refusal, CordonRevision: m.cordonRevision}
	b.KnownVersions[0] = m.agreed.Number
	if m.pending != nil {
		b.KnownVersions[1] = m.pending.Number
	}
	interval := min(max(HeartbeatInterval, time.Duration(m.members)*heartbeatBudget), maxHeartbeatInterval)
	if m.pending != nil || !m.HasLease(now) {
		interval = FastHeartbeatInterval
	}
	changed := b.Effective != m.lastSent.Effective || b.Checked != m.lastSent.Checked || b.Refuses != m.lastSent.Refuses
	if m.waiting || m.seq > 0 && now < m.sentAt+interval && !changed {
		return Command{}, false
	}
	m.seq++
	b.Seq = m.seq
	m.waiting, m.sentAt, m.lastSent, m.floorReported = true, now, b, b.Effective.Floor
	return Command{From: m.process, Heartbeat: &b}, true
}

// HeartbeatLost reports that the heartbeat has no answer.
func (m *Member) HeartbeatLost() {
	m.waiting, m.lastSent = false, Heartbeat{Effective: EffectiveVersions{Floor: true, Low: ^uint64(0)}}
}

// HandleAnswer handles the answer to a heartbeat. It reports whether the state to be stored has changed.
func (m *Member) HandleAnswer(a Answer) (changed bool) {
	if !m.waiting {
		return false
	}
	m.waiting = false
	if a.Index <= m.lastIndex || a.Refused != "" { // from an earlier state of the table, or no lease was granted
		return false
	}
	agreed, pending := m.withText(a.Agreed), (*Version)(nil)
	if a.Pending != nil {
		p := m.withText(*a.Pending)
		pending = &p
	}
	if agreed.Number > 0 && agreed.Text == nil || pending != nil && pending.Text == nil {
		return false // it lacks a text that is needed
	}
	changed = agreed.Number != m.agreed.Number || (pending == nil) != (m.pending == nil) || pending != nil && pending.Number != m.pending.Number
	m.lastIndex, m.leaseEnd, m.members, m.floorReported = a.Index, m.sentAt+m.lease, a.Members, false
	m.agreed, m.pending, m.phase = agreed, pending, a.Phase
	for id, at := range m.localCordons {
		if at > 0 && at < a.Index {
			delete(m.localCordons, id)
			changed = true
		}
	}
	if a.Cordons != nil {
		m.cordonRevision, m.cordons, changed = a.CordonRevision, *a.Cordons, true
	}
	return changed
}

// withText adds a version's text if that is known.
func (m *Member) withText(v Version) Version {
	if v.Text == nil {
		v.Text = m.text(v.Number)
	}
	return v
}

// Cordon returns the command that cordons an instance or lifts its cordon. A cordon takes effect here at once, being the
// stricter rule; it is lifted only once that is agreed.
func (m *Member) Cordon(id string, cordoned bool) (Command, error) {
	if err := CheckID(id); err != nil {
		return Command{}, err
	}
	if _, found := m.localCordons[id]; cordoned && !found && len(m.localCordons) >= MaxCordons {
		return Command{}, fmt.Errorf("%d are left out here already", MaxCordons)
	}
	if cordoned {
		m.localCordons[id] = 0
	}
	return m.command(Command{Cordon: &Cordon{id, cordoned}}), nil
}

func (m *Member) command(c Command) Command {
	m.lastOp++
	c.From, c.OpNumber = m.process, m.lastOp
	return c
}

// HandleCordonAnswer handles the answer to a cordon command.
func (m *Member) HandleCordonAnswer(c Cordon, a Answer) {
	if a.Refused != "" {
		return
	}
	_, waiting := m.localCordons[c.ID]
	switch {
	case c.Cordoned && waiting:
		m.localCordons[c.ID] = a.Index
	case !c.Cordoned:
		delete(m.localCordons, c.ID)
		if at, found := slices.BinarySearch(m.cordons, c.ID); found && m.lastIndex < a.Index {
			m.cordons = slices.Delete(slices.Clone(m.cordons), at, at+1)
			m.cordonRevision = unknownRevision
		}
	}
}

// UnconfirmedCordon returns an instance that is cordoned here and not agreed yet; empty: none.
func (m *Member) UnconfirmedCordon() string {
	for _, id := range slices.Sorted(maps.Keys(m.localCordons)) {
		if m.localCordons[id] == 0 {
			return id
		}
	}
	return ""
}

// Propose returns the command that proposes a text as the next version.
func (m *Member) Propose(text json.RawMessage) Command {
	return m.command(Command{Proposal: &Proposal{Base: m.agreed.Number, Text: text}})
}

// Agreed returns the last agreed version that it knows.
func (m *Member) Agreed() Version { return m.agreed }

// Pending returns the pending version that it knows, and its phase; nil: none.
func (m *Member) Pending() (*Version, Phase) { return m.pending, m.phase }

// Monitor evicts dead processes, so that no version waits for them. Any dispatcher may run it, also several at once: an eviction
// has an effect only if the heartbeat that it names is still the process's last.
type Monitor struct {
	leaseExpiry  time.Duration // time after which a lease that was not renewed has expired for others
	seen         map[Process]sighting
	pending      uint64
	pendingSince time.Duration
}

type sighting struct {
	index     uint64
	firstSeen time.Duration
}

// NewMonitor returns a monitor that has seen no process: each of them has a whole lease from now on.
func NewMonitor() *Monitor { return &Monitor{leaseExpiry: LeaseExpiry, seen: map[Process]sighting{}} }

// Check examines the table; now must have been read after the table. It returns the commands to propose.
func (d *Monitor) Check(now time.Duration, from Process, processes []ProcessEntry, pending uint64) (all []Command) {
	next := make(map[Process]sighting, len(processes))
	for _, l := range processes {
		s, ok := d.seen[l.Process]
		if !ok || s.index != l.Index {
			s = sighting{l.Index, now}
		}
		next[l.Process] = s
		if now-s.firstSeen > d.leaseExpiry {
			all = append(all, Command{From: from, Evict: &Eviction{l.Process, l.Index}})
		}
	}
	d.seen = next
	if pending != d.pending {
		d.pending, d.pendingSince = pending, now
	}
	if pending > 0 && now-d.pendingSince > ChangeTimeout {
		slowest := ""
		for _, l := range processes {
			if l.Checked < pending || !l.Effective.Floor && l.Effective.High != pending {
				slowest = l.Process.Name
			}
		}
		all = append(all, Command{From: from, Abandon: &Abandonment{pending, fmt.Sprintf("not agreed within %v: %s has not come to it", ChangeTimeout, slowest)}})
	}
	return all
}
