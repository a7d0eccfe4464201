// Package accord has the decisions about what all dispatchers of an installation go by alike: versions of the settings
// and the instances that people leave out. [Machine] is the replicated table, [Member] what one dispatcher does by it,
// [Driver] who puts out of the table those that are not heard any more. It does no I/O and asks no clock. What a version
// says is nothing to it: a text with a number. docs/accord.md tells the protocol.
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

// Bounds of the table. They are the same at all replicas, or these would differ in what they refuse.
const (
	MaxText    = 48 << 10 // bytes of a version's text
	MaxMembers = 1024     // processes that are heard
	MaxCordons = 1024
	MaxName    = 96 // bytes of an id or a name
	MaxReason  = 512
	MaxPast    = 16 // outcomes that are told
)

// format of commands and snapshots.
const format = 1

// Acts is what a dispatcher goes by: what the versions Low and High both allow; of one alone they are the same. With
// Floor it is less than that, so little that no version contradicts it: nobody is sure which one counts.
type Acts struct {
	Low   uint64 `json:"low"`
	High  uint64 `json:"high"`
	Floor bool   `json:"floor,omitempty"`
}

// Contradict tells whether two dispatchers' rules do: there is no version by which both may do what they do.
func Contradict(a, b Acts) bool {
	return !a.Floor && !b.Floor && a.Low != b.Low && a.Low != b.High && a.High != b.Low && a.High != b.High
}

// Version is one of the settings. They are numbered from 1 in the order in which they were proposed; a number is never
// another's again.
type Version struct {
	N    uint64          `json:"n"`
	By   string          `json:"by,omitempty"` // who proposed it
	Text json.RawMessage `json:"text,omitempty"`
}

// Phase of a version that is not agreed yet.
type Phase string

// The phases.
const (
	Checking Phase = "checking" // each says whether it can take it
	Both     Phase = "both"     // all go by the stricter of it and the agreed one
)

// Past is what became of a version.
type Past struct {
	N   uint64 `json:"n"`
	By  string `json:"by"`
	Why string `json:"why,omitempty"` // it was refused; empty: agreed
}

// Who is a process of a dispatcher.
type Who struct {
	Name string `json:"name"`
	Boot uint64 `json:"boot"`
}

// Beat says that a dispatcher is there, and how far it is. Its answer renews its lease, which counts from when it sent it.
type Beat struct {
	Seq     uint64    `json:"seq"` // an older one that is committed late counts for nothing
	Acts    Acts      `json:"acts"`
	Checked uint64    `json:"checked"`           // the last version that it has looked at
	Refuses string    `json:"refuses,omitempty"` // why it cannot take that
	Has     [2]uint64 `json:"has"`               // versions whose texts it need not be sent
	Cordons uint64    `json:"cordons"`           // the revision that it has
}

// Cordon leaves an instance out, or uses it again.
type Cordon struct {
	ID  string `json:"id"`
	Out bool   `json:"out"`
}

// Proposal is a new version, made from the one that was agreed.
type Proposal struct {
	Base uint64          `json:"base"`
	Text json.RawMessage `json:"text"`
}

// Pass puts a process out whose lease has run out since the beat at Index, by the clock of whoever says so. It counts
// for nothing if the process has been heard since.
type Pass struct {
	Who   Who    `json:"who"`
	Index uint64 `json:"index"`
}

// Drop gives a version up that is not agreed.
type Drop struct {
	N   uint64 `json:"n"`
	Why string `json:"why"`
}

// Command is one of its parts.
type Command struct {
	Format   int       `json:"format"`
	From     Who       `json:"from"`
	Op       uint64    `json:"op,omitempty"` // of cordons and proposals: one that is committed twice counts once
	Beat     *Beat     `json:"beat,omitempty"`
	Cordon   *Cordon   `json:"cordon,omitempty"`
	Proposal *Proposal `json:"proposal,omitempty"`
	Pass     *Pass     `json:"pass,omitempty"`
	Drop     *Drop     `json:"drop,omitempty"`
}

// Text is the command as the group takes it.
func (c Command) Text() []byte {
	c.Format = format
	return encode(c)
}

// Answer is what a command's result says: how things stood once it was taken.
type Answer struct {
	Index   uint64    `json:"index"`
	Refused string    `json:"refused,omitempty"` // the command, and why
	Agreed  Version   `json:"agreed"`            // without the text where the asker has it
	Pending *Version  `json:"pending,omitempty"` // likewise
	Phase   Phase     `json:"phase,omitempty"`
	Members int       `json:"members"`
	Past    []Past    `json:"past,omitempty"`
	Rev     uint64    `json:"rev"`               // of the cordons
	Cordons *[]string `json:"cordons,omitempty"` // nil: the asker has them
}

// ReadAnswer reads a result.
func ReadAnswer(text []byte) (a Answer, err error) {
	err = json.Unmarshal(text, &a)
	return a, err
}

// Line is what the table has of a process.
type Line struct {
	Who     Who    `json:"who"`
	Seq     uint64 `json:"seq"`
	Index   uint64 `json:"index"` // of its last beat
	Acts    Acts   `json:"acts"`
	Checked uint64 `json:"checked"`
	Op      uint64 `json:"op"`
}

// Machine is the table, in the root group.
type Machine struct {
	s state
}

type state struct {
	Format  int              `json:"format"`
	Last    uint64           `json:"last"` // number given
	Agreed  Version          `json:"agreed"`
	Pending *Version         `json:"pending,omitempty"`
	Phase   Phase            `json:"phase,omitempty"`
	Since   uint64           `json:"since,omitempty"` // index from which on answers say that both count
	Lines   map[string]*Line `json:"lines"`
	Past    []Past           `json:"past,omitempty"`
	Cordons []string         `json:"cordons,omitempty"` // in order
	Rev     uint64           `json:"rev"`
}

// New returns an empty table.
func New() *Machine { return &Machine{state{Format: format, Lines: map[string]*Line{}}} }

func (w Who) key() string { return fmt.Sprintf("%s/%016x", w.Name, w.Boot) }

// CheckID tells what is wrong with an instance's id or a dispatcher's name.
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

// encode has no word for an error: what is given to it is plain data whose texts were JSON before.
func encode(v any) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // or a text could be six times as long
	if e.Encode(v) != nil {
		return nil
	}
	return bytes.TrimSpace(b.Bytes())
}

// Apply takes a command.
func (m *Machine) Apply(index uint64, _ time.Duration, text []byte) []byte {
	var c Command
	if err := json.Unmarshal(text, &c); err != nil || c.Format != format {
		return encode(Answer{Index: index, Refused: "the command cannot be read"})
	}
	a := Answer{Index: index}
	has, rev := [2]uint64{}, m.s.Rev
	switch {
	case CheckID(c.From.Name) != nil:
		a.Refused = "the dispatcher's name cannot be kept"
	case c.Beat != nil:
		a.Refused = m.beat(index, c.From, c.Beat)
		has, rev = c.Beat.Has, c.Beat.Cordons
	case c.Cordon != nil:
		a.Refused = m.once(c, func() string { return m.cordon(index, c.Cordon) })
	case c.Proposal != nil:
		a.Refused = m.once(c, func() string { return m.propose(c.From.Name, c.Proposal) })
	case c.Pass != nil:
		if l := m.s.Lines[c.Pass.Who.key()]; l != nil && l.Index == c.Pass.Index {
			delete(m.s.Lines, c.Pass.Who.key())
		}
	case c.Drop != nil:
		if m.s.Pending != nil && m.s.Pending.N == c.Drop.N {
			m.drop(c.Drop.Why)
		}
	}
	m.advance(index)
	a.Agreed, a.Phase, a.Members, a.Rev, a.Past = m.s.Agreed, m.s.Phase, len(m.s.Lines), m.s.Rev, m.s.Past
	if slices.Contains(has[:], a.Agreed.N) || c.Beat == nil {
		a.Agreed.Text = nil
	}
	if p := m.s.Pending; p != nil {
		v := *p
		if slices.Contains(has[:], v.N) || c.Beat == nil {
			v.Text = nil
		}
		a.Pending = &v
	}
	if c.Beat != nil && rev != m.s.Rev {
		all := append([]string{}, m.s.Cordons...)
		a.Cordons = &all
	}
	return encode(a)
}

func (m *Machine) beat(index uint64, who Who, b *Beat) string {
	l := m.s.Lines[who.key()]
	if l == nil {
		if len(m.s.Lines) >= MaxMembers {
			return fmt.Sprintf("the table has %d processes already", MaxMembers)
		}
		l = &Line{Who: who}
		m.s.Lines[who.key()] = l
	}
	if b.Seq <= l.Seq {
		return "a later beat has been taken"
	}
	l.Seq, l.Index, l.Acts, l.Checked = b.Seq, index, b.Acts, b.Checked
	if p := m.s.Pending; p != nil && b.Checked == p.N && b.Refuses != "" {
		m.drop(who.Name + ": " + b.Refuses)
	}
	return ""
}

// once does what a process has not had done yet.
func (m *Machine) once(c Command, do func() string) string {
	l := m.s.Lines[c.From.key()]
	if l == nil {
		return "the dispatcher has not been heard yet"
	}
	if c.Op <= l.Op {
		return ""
	}
	l.Op = c.Op
	return do()
}

func (m *Machine) cordon(index uint64, c *Cordon) string {
	if err := CheckID(c.ID); err != nil {
		return err.Error()
	}
	at, there := slices.BinarySearch(m.s.Cordons, c.ID)
	switch {
	case c.Out == there:
		return ""
	case c.Out && len(m.s.Cordons) >= MaxCordons:
		return fmt.Sprintf("%d are left out already", MaxCordons)
	case c.Out:
		m.s.Cordons = slices.Insert(m.s.Cordons, at, c.ID)
	default:
		m.s.Cordons = slices.Delete(m.s.Cordons, at, at+1)
	}
	m.s.Rev = index
	return ""
}

func (m *Machine) propose(by string, p *Proposal) string {
	switch {
	case len(p.Text) > MaxText:
		return fmt.Sprintf("its text has over %d bytes", MaxText)
	case !json.Valid(p.Text):
		return "its text cannot be read"
	case m.s.Pending != nil:
		return fmt.Sprintf("version %d of %s is under way: once that has ended, ask again", m.s.Pending.N, m.s.Pending.By)
	case p.Base != m.s.Agreed.N:
		return fmt.Sprintf("version %d is agreed meanwhile: ask again", m.s.Agreed.N)
	}
	m.s.Last++
	m.s.Pending, m.s.Phase = &Version{N: m.s.Last, By: by, Text: p.Text}, Checking
	return ""
}

func (m *Machine) drop(why string) {
	m.ended(why[:min(len(why), MaxReason)])
}

func (m *Machine) ended(why string) {
	p := m.s.Pending
	m.s.Past = append(m.s.Past, Past{p.N, p.By, why})
	m.s.Past = m.s.Past[max(0, len(m.s.Past)-MaxPast):]
	m.s.Pending, m.s.Phase, m.s.Since = nil, "", 0
}

// advance takes a version on, once all that are heard have said what that needs.
func (m *Machine) advance(index uint64) {
	p := m.s.Pending
	if p != nil && m.s.Phase == Checking && m.all(func(l *Line) bool { return l.Checked >= p.N }) {
		m.s.Phase, m.s.Since = Both, index
	}
	// One that was on the floor when it asked contradicts nobody, if the answer was that both count: after an earlier
	// answer it goes by the agreed one alone, and what it has said is no longer so.
	said := func(l *Line) bool {
		return l.Checked >= p.N && (l.Acts.Floor && l.Index >= m.s.Since || l.Acts == Acts{Low: m.s.Agreed.N, High: p.N})
	}
	if p != nil && m.s.Phase == Both && m.all(said) {
		m.s.Agreed = *p
		m.ended("")
	}
}

func (m *Machine) all(is func(*Line) bool) bool {
	for _, l := range m.s.Lines {
		if !is(l) {
			return false
		}
	}
	return true
}

// Lines is who is heard, in order.
func (m *Machine) Lines() []Line {
	var all []Line
	for _, l := range m.s.Lines {
		all = append(all, *l)
	}
	slices.SortFunc(all, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Who.Name, b.Who.Name), cmp.Compare(a.Who.Boot, b.Who.Boot))
	})
	return all
}

// Pending is the version under way; 0: none.
func (m *Machine) Pending() uint64 {
	if m.s.Pending == nil {
		return 0
	}
	return m.s.Pending.N
}

// Snapshot is the table as text.
func (m *Machine) Snapshot() ([]byte, error) { return encode(m.s), nil }

// Restore takes a snapshot.
func (m *Machine) Restore(text []byte) error {
	s := state{Lines: map[string]*Line{}}
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("accord: %w", err)
	}
	if s.Format != format {
		return fmt.Errorf("accord: a snapshot of format %d, and %d is known here", s.Format, format)
	}
	m.s = s
	return nil
}

// Clone is a copy that shares nothing that changes.
func (m *Machine) clone() *Machine {
	c := New()
	c.s = m.s
	c.s.Lines = maps.Clone(m.s.Lines)
	for k, l := range c.s.Lines {
		line := *l
		c.s.Lines[k] = &line
	}
	c.s.Past, c.s.Cordons = slices.Clone(m.s.Past), slices.Clone(m.s.Cordons)
	return c
}
