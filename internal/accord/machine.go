// Package accord implements what all dispatchers of an installation agree on: versions of the settings and the cordons. [Machine]
// is the replicated table, [Member] is one dispatcher's side, and a monitor evicts processes from the table whose leases have
// expired. It does no I/O and reads no clock. It does not interpret a version: that is a text with a number. docs/accord.md
// describes the protocol.
package accord

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Limits of the table. They must be the same on all replicas: otherwise these would refuse different commands.
const (
	MaxText      = 48 << 10 // bytes of a version's text
	MaxProcesses = 1024     // processes in the table
	MaxCordons   = 1024
	MaxName      = 96 // bytes of an ID or a name
	MaxReason    = 512
	MaxOutcomes  = 16 // outcomes that answers report
)

// format is the format version of commands and snapshots.
const format = 1

// EffectiveVersions is what a dispatcher applies: what both versions Low and High allow, which are equal if there is only one. With
// Floor it applies still less, so little that it conflicts with no version, because it does not know which one is in force.
type EffectiveVersions struct {
	Low   uint64 `json:"low"`
	High  uint64 `json:"high"`
	Floor bool   `json:"floor,omitempty"`
}

// Conflict reports whether two dispatchers conflict: no version allows what both of them apply.
func Conflict(a, b EffectiveVersions) bool {
	return !a.Floor && !b.Floor && a.Low != b.Low && a.Low != b.High && a.High != b.Low && a.High != b.High
}

// Version is one version of the settings. Versions are numbered from 1 in the order of their proposals; a number is never
// used again.
type Version struct {
	Number uint64          `json:"n"`
	By     string          `json:"by,omitempty"` // the dispatcher that proposed it
	Text   json.RawMessage `json:"text,omitempty"`
}

// Phase is the state of a version that is not agreed yet.
type Phase string

// Phases.
const (
	Checking Phase = "checking" // every dispatcher checks whether it can apply the version
	Joint    Phase = "both"     // all apply the stricter of it and the agreed one
)

// Outcome is the outcome of a proposed version.
type Outcome struct {
	Number uint64 `json:"n"`
	By     string `json:"by"`
	Why    string `json:"why,omitempty"` // the reason for its refusal; empty: it was agreed
}

// Process identifies a process of a dispatcher.
type Process struct {
	Name string `json:"name"`
	Boot uint64 `json:"boot"`
}

// Heartbeat reports that a dispatcher is alive, and its state. The answer renews its lease, counted from when the heartbeat was sent.
type Heartbeat struct {
	Seq            uint64            `json:"seq"` // one that is committed after a later one is ignored
	Effective      EffectiveVersions `json:"acts"`
	Checked        uint64            `json:"checked"`           // the last version that it has checked
	Refuses        string            `json:"refuses,omitempty"` // why it cannot apply that version
	KnownVersions  [2]uint64         `json:"has"`               // versions whose texts it has
	CordonRevision uint64            `json:"cordons"`           // the revision that it has
}

// Cordon cordons an instance, or lifts its cordon.
type Cordon struct {
	ID       string `json:"id"`
	Cordoned bool   `json:"out"`
}

// Proposal is a new version, derived from the agreed one.
type Proposal struct {
	Base uint64          `json:"base"`
	Text json.RawMessage `json:"text"`
}

// Eviction evicts a process whose lease has expired since its heartbeat at Index, by the proposer's clock. It has no effect
// if another heartbeat of the process was committed since.
type Eviction struct {
	Process Process `json:"who"`
	Index   uint64  `json:"index"`
}

// Abandonment abandons a version that is not agreed.
type Abandonment struct {
	Number uint64 `json:"n"`
	Why    string `json:"why"`
}

// Command is an entry of the replicated log; one of its parts is set.
type Command struct {
	Format    int          `json:"format"`
	From      Process      `json:"from"`
	OpNumber  uint64       `json:"op,omitempty"` // of cordons and proposals: a duplicate has no effect
	Heartbeat *Heartbeat   `json:"beat,omitempty"`
	Cordon    *Cordon      `json:"cordon,omitempty"`
	Proposal  *Proposal    `json:"proposal,omitempty"`
	Evict     *Eviction    `json:"pass,omitempty"`
	Abandon   *Abandonment `json:"drop,omitempty"`
}

// Encode encodes the command.
func (c Command) Encode() []byte {
	c.Format = format
	return encode(c)
}

// Answer is the result of a command: the state after it.
type Answer struct {
	Index          uint64    `json:"index"`
	Refused        string    `json:"refused,omitempty"` // why the command was refused; empty: it was not
	Agreed         Version   `json:"agreed"`            // without the text if the sender has it
	Pending        *Version  `json:"pending,omitempty"` // without the text if the sender has it
	Phase          Phase     `json:"phase,omitempty"`
	Members        int       `json:"members"`
	Outcomes       []Outcome `json:"past,omitempty"`
	CordonRevision uint64    `json:"rev"`               // revision of the cordons
	Cordons        *[]string `json:"cordons,omitempty"` // nil: the sender has them
}

// ReadAnswer decodes a result of Apply.
func ReadAnswer(text []byte) (a Answer, err error) {
	err = json.Unmarshal(text, &a)
	return a, err
}

// ProcessEntry is the table's record of a process.
type ProcessEntry struct {
	Process   Process           `json:"who"`
	Seq       uint64            `json:"seq"`
	Index     uint64            `json:"index"` // of its last heartbeat
	Effective EffectiveVersions `json:"acts"`
	Checked   uint64            `json:"checked"`
	LastOp    uint64            `json:"op"`
}

// Machine is the table. It is kept in the root group.
type Machine struct {
	s state
}

type state struct {
	Format         int                      `json:"format"`
	LastNumber     uint64                   `json:"last"` // the highest number that was assigned
	Agreed         Version                  `json:"agreed"`
	Pending        *Version                 `json:"pending,omitempty"`
	Phase          Phase                    `json:"phase,omitempty"`
	JointSince     uint64                   `json:"since,omitempty"` // index from which on answers report the phase in which both versions count
	Processes      map[string]*ProcessEntry `json:"lines"`
	Outcomes       []Outcome                `json:"past,omitempty"`
	Cordons        []string                 `json:"cordons,omitempty"` // sorted
	CordonRevision uint64                   `json:"rev"`
}

// New returns an empty table.
func New() *Machine { return &Machine{state{Format: format, Processes: map[string]*ProcessEntry{}}} }

func (w Process) key() string { return fmt.Sprintf("%s/%016x", w.Name, w.Boot) }

// CheckID reports what is invalid in an instance's ID or a dispatcher's name.
func CheckID(id string) error {
	if id == "" || len(id) > MaxName {
		return fmt.Errorf("an id has 1 to %d bytes", MaxName)
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' {
			return fmt.Errorf("an id is of visible ASCII without quotes")
		}
	}
	return nil
}

// encode cannot fail: its arguments are plain data whose texts were valid JSON before.
func encode(v any) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // escaping could make a text six times as long
	if e.Encode(v) != nil {
		return nil
	}
	return bytes.TrimSpace(b.Bytes())
}

// Apply executes a committed command.
func (m *Machine) Apply(index uint64, _ time.Duration, text []byte) []byte {
	var c Command
	if err := json.Unmarshal(text, &c); err != nil || c.Format != format {
		return encode(Answer{Index: index, Refused: "the command cannot be read"})
	}
	a := Answer{Index: index}
	known, revision := [2]uint64{}, m.s.CordonRevision
	switch {
	case CheckID(c.From.Name) != nil:
		a.Refused = "the dispatcher's name cannot be kept"
	case c.Heartbeat != nil:
		a.Refused = m.heartbeat(index, c.From, c.Heartbeat)
		known, revision = c.Heartbeat.KnownVersions, c.Heartbeat.CordonRevision
	case c.Cordon != nil:
		a.Refused = m.applyOnce(c, func() string { return m.cordon(index, c.Cordon) })
	case c.Proposal != nil:
		a.Refused = m.applyOnce(c, func() string { return m.propose(c.From.Name, c.Proposal) })
	case c.Evict != nil:
		if l := m.s.Processes[c.Evict.Process.key()]; l != nil && l.Index == c.Evict.Index {
			delete(m.s.Processes, c.Evict.Process.key())
		}
	case c.Abandon != nil:
		if m.s.Pending != nil && m.s.Pending.Number == c.Abandon.Number {
			m.abandon(c.Abandon.Why)
		}
	}
	m.advance(index)
	a.Agreed, a.Phase, a.Members, a.CordonRevision, a.Outcomes = m.s.Agreed, m.s.Phase, len(m.s.Processes), m.s.CordonRevision, m.s.Outcomes
	if slices.Contains(known[:], a.Agreed.Number) || c.Heartbeat == nil {
		a.Agreed.Text = nil
	}
	if p := m.s.Pending; p != nil {
		v := *p
		if slices.Contains(known[:], v.Number) || c.Heartbeat == nil {
			v.Text = nil
		}
		a.Pending = &v
	}
	if c.Heartbeat != nil && revision != m.s.CordonRevision {
		all := append([]string{}, m.s.Cordons...)
		a.Cordons = &all
	}
	return encode(a)
}

func (m *Machine) heartbeat(index uint64, who Process, b *Heartbeat) string {
	l := m.s.Processes[who.key()]
	if l == nil {
		if len(m.s.Processes) >= MaxProcesses {
			return fmt.Sprintf("the table has %d processes already", MaxProcesses)
		}
		l = &ProcessEntry{Process: who}
		m.s.Processes[who.key()] = l
	}
	if b.Seq <= l.Seq {
		return "a later beat has been taken"
	}
	l.Seq, l.Index, l.Effective, l.Checked = b.Seq, index, b.Effective, b.Checked
	if p := m.s.Pending; p != nil && b.Checked == p.Number && b.Refuses != "" {
		m.abandon(who.Name + ": " + b.Refuses)
	}
	return ""
}

// applyOnce executes a command that the process has not had executed before.
func (m *Machine) applyOnce(c Command, do func() string) string {
	l := m.s.Processes[c.From.key()]
	if l == nil {
		return "the dispatcher has not been heard yet"
	}
	if c.OpNumber <= l.LastOp {
		return ""
	}
	l.LastOp = c.OpNumber
	return do()
}

func (m *Machine) cordon(index uint64, c *Cordon) string {
	if err := CheckID(c.ID); err != nil {
		return err.Error()
	}
	at, found := slices.BinarySearch(m.s.Cordons, c.ID)
	switch {
	case c.Cordoned == found:
		return ""
	case c.Cordoned && len(m.s.Cordons) >= MaxCordons:
		return fmt.Sprintf("%d are left out already", MaxCordons)
	case c.Cordoned:
		m.s.Cordons = slices.Insert(m.s.Cordons, at, c.ID)
	default:
		m.s.Cordons = slices.Delete(m.s.Cordons, at, at+1)
	}
	m.s.CordonRevision = index
	return ""
}

func (m *Machine) propose(by string, p *Proposal) string {
	switch {
	case len(p.Text) > MaxText:
		return fmt.Sprintf("its text has over %d bytes", MaxText)
	case !json.Valid(p.Text):
		return "its text cannot be read"
	case m.s.Pending != nil:
		return fmt.Sprintf("version %d of %s is under way: once that has ended, ask again", m.s.Pending.Number, m.s.Pending.By)
	case p.Base != m.s.Agreed.Number:
		return fmt.Sprintf("version %d is agreed meanwhile: ask again", m.s.Agreed.Number)
	}
	m.s.LastNumber++
	m.s.Pending, m.s.Phase = &Version{Number: m.s.LastNumber, By: by, Text: p.Text}, Checking
	return ""
}

func (m *Machine) abandon(why string) {
	m.finish(why[:min(len(why), MaxReason)])
}

func (m *Machine) finish(why string) {
	p := m.s.Pending
	m.s.Outcomes = append(m.s.Outcomes, Outcome{p.Number, p.By, why})
	m.s.Outcomes = m.s.Outcomes[max(0, len(m.s.Outcomes)-MaxOutcomes):]
	m.s.Pending, m.s.Phase, m.s.JointSince = nil, "", 0
}

// advance moves the pending version to its next phase once all processes have reported what that requires.
func (m *Machine) advance(index uint64) {
	p := m.s.Pending
	if p != nil && m.s.Phase == Checking && m.all(func(l *ProcessEntry) bool { return l.Checked >= p.Number }) {
		m.s.Phase, m.s.JointSince = Joint, index
	}
	// A process that was on the floor when it sent its heartbeat conflicts with nobody if the answer reported that both versions
	// count. After an earlier answer it applies the agreed version alone, and its report is outdated.
	reported := func(l *ProcessEntry) bool {
		return l.Checked >= p.Number && (l.Effective.Floor && l.Index >= m.s.JointSince || l.Effective == EffectiveVersions{Low: m.s.Agreed.Number, High: p.Number})
	}
	if p != nil && m.s.Phase == Joint && m.all(reported) {
		m.s.Agreed = *p
		m.finish("")
	}
}

func (m *Machine) all(match func(*ProcessEntry) bool) bool {
	for _, l := range m.s.Processes {
		if !match(l) {
			return false
		}
	}
	return true
}

// Processes returns the processes in the table, sorted.
func (m *Machine) Processes() []ProcessEntry {
	var all []ProcessEntry
	for _, l := range m.s.Processes {
		all = append(all, *l)
	}
	slices.SortFunc(all, func(a, b ProcessEntry) int {
		return cmp.Or(cmp.Compare(a.Process.Name, b.Process.Name), cmp.Compare(a.Process.Boot, b.Process.Boot))
	})
	return all
}

// Pending returns the number of the pending version; 0: none.
func (m *Machine) Pending() uint64 {
	if m.s.Pending == nil {
		return 0
	}
	return m.s.Pending.Number
}

// Snapshot encodes the table.
func (m *Machine) Snapshot() ([]byte, error) { return encode(m.s), nil }

// Restore replaces the table by that of a snapshot.
func (m *Machine) Restore(text []byte) error {
	s := state{Processes: map[string]*ProcessEntry{}}
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("accord: %w", err)
	}
	if s.Format != format {
		return fmt.Errorf("accord: a snapshot of format %d, and %d is known here", s.Format, format)
	}
	m.s = s
	return nil
}

// clone returns a copy that shares no mutable data.
func (m *Machine) clone() *Machine {
	c := New()
	c.s = m.s
	c.s.Processes = maps.Clone(m.s.Processes)
	for k, l := range c.s.Processes {
		line := *l
		c.s.Processes[k] = &line
	}
	c.s.Outcomes, c.s.Cordons = slices.Clone(m.s.Outcomes), slices.Clone(m.s.Cordons)
	return c
}
