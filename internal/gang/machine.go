package gang

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const version = 1

// Command is a command to a group's state machine.
type Command struct {
	V    int    `json:"v"`
	Op   string `json:"op"`
	Gang string `json:"gang,omitempty"`

	Round        uint64        `json:"round,omitempty"`
	Group        uint32        `json:"group,omitempty"`
	Spec         *Spec         `json:"spec,omitempty"`
	Plan         *Plan         `json:"plan,omitempty"`
	RoundHolds   *RoundHolds   `json:"standing,omitempty"`
	Resource     *Resource     `json:"resource,omitempty"`
	Confirmed    *Notice       `json:"told,omitempty"`
	Member       int           `json:"member,omitempty"`
	MemberStatus MemberStatus  `json:"fate,omitempty"`
	Armed        []string      `json:"armed,omitempty"` // dispatchers, by member
	By           string        `json:"by,omitempty"`
	SubmittedAt  time.Duration `json:"age,omitempty"`
	At           time.Duration `json:"at,omitempty"` // by the clock of the gang's plan; 0: the log entry's time is used
	RetryAfter   time.Duration `json:"for,omitempty"`
	Reason       string        `json:"why,omitempty"`
}

// Encode returns the command's encoding for the log.
func (c Command) Encode() []byte {
	c.V = version
	text, _ := json.Marshal(c) // cannot fail for plain data
	return text
}

// Rival is an undecided gang whose holds are in the way of others.
type Rival struct {
	Gang        string        `json:"gang"`
	Round       uint64        `json:"round"`
	Home        uint32        `json:"home"`
	SubmittedAt time.Duration `json:"age"`
}

// Result is the result of a command.
type Result struct {
	OK         bool         `json:"ok"`
	Err        string       `json:"err,omitempty"`
	Full       bool         `json:"full,omitempty"`
	Stale      bool         `json:"stale,omitempty"`
	NotFound   bool         `json:"gone,omitempty"` // no such gang
	Gen        uint64       `json:"gen,omitempty"`
	Rivals     []Rival      `json:"with,omitempty"` // undecided gangs in the way
	Entry      *Entry       `json:"entry,omitempty"`
	Resources  []Resource   `json:"resources,omitempty"`
	RoundHolds []RoundHolds `json:"standing,omitempty"`
}

// Decode decodes a result.
func Decode(text []byte) (r Result, err error) {
	err = json.Unmarshal(text, &r)
	return r, err
}

// Machine is a group's state machine for gangs, one of the machines that a replica runs.
type Machine struct {
	home
	accounts
	At time.Duration
}

// New returns a machine without gangs and accounts.
func New() *Machine {
	return &Machine{home: home{map[string]*Entry{}}, accounts: accounts{map[string]Resource{}, nil, map[string]endedRound{}}}
}

// Apply applies an encoded command. Unknown commands are refused.
func (m *Machine) Apply(_ uint64, at time.Duration, text []byte) []byte {
	var c Command
	r := Result{Err: "not a command"}
	if d := json.NewDecoder(bytes.NewReader(text)); d.Decode(&c) == nil && c.V == version {
		m.At = max(m.At, at)
		r = m.apply(m.At, c)
	}
	out, _ := json.Marshal(r)
	return out
}

// ApplyCommand applies a command that is not encoded.
func (m *Machine) ApplyCommand(at time.Duration, c Command) Result { return m.apply(at, c) }

func (m *Machine) apply(at time.Duration, c Command) Result {
	m.expire(at)
	switch c.Op {
	case "submit":
		if c.Spec == nil {
			return Result{Err: "no gang"}
		}
		return m.submit(at, *c.Spec)
	case "set":
		if c.Resource == nil {
			return Result{Err: "no resource"}
		}
		return m.set(*c.Resource)
	case "prepare":
		if c.RoundHolds == nil {
			return Result{Err: "no holds"}
		}
		return m.prepare(at, *c.RoundHolds)
	case "ready":
		return m.ready(c.Gang, c.Round)
	case "commit":
		return m.commit(at, c.Gang, c.Round)
	case "undo":
		return m.accounts.abort(at, c.Gang, c.Round)
	case "end":
		return m.accounts.end(at, c.Gang, c.Round)
	case "lapse":
		return m.keepUntilExpiry(at, c.Gang, c.Round)
	case "look":
		return m.Query()
	case "told":
		if c.Confirmed == nil {
			return Result{Err: "nothing"}
		}
	}
	return m.applyToGang(at, c)
}

// state is the content of a snapshot.
type state struct {
	V        int           `json:"v"`
	Home     home          `json:"home"`
	Accounts accounts      `json:"keeper"`
	At       time.Duration `json:"at"`
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	return json.Marshal(state{version, m.home, m.accounts, m.At})
}

// Restore replaces the machine's state with a snapshot's.
func (m *Machine) Restore(text []byte) error {
	s := state{Home: home{map[string]*Entry{}}, Accounts: accounts{map[string]Resource{}, nil, map[string]endedRound{}}}
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("gangs: %w", err)
	}
	if s.V != version {
		return fmt.Errorf("gangs: unsupported snapshot version %d", s.V)
	}
	m.home, m.accounts, m.At = s.Home, s.Accounts, s.At
	return nil
}

// Query returns the group's accounts and holds for a planner.
func (m *Machine) Query() Result {
	r := Result{OK: true, RoundHolds: slices.Clone(m.RoundHolds)}
	for _, id := range slices.Sorted(maps.Keys(m.Resources)) {
		r.Resources = append(r.Resources, m.Resources[id])
	}
	return r
}

// OpenGangs returns a copy with the gangs that have not ended or have unconfirmed notices, and with the group's holds.
// A coordinator can use it while the machine continues.
func (m *Machine) OpenGangs() *Machine {
	c := &Machine{home: home{map[string]*Entry{}}, accounts: accounts{nil, slices.Clone(m.RoundHolds), nil}, At: m.At}
	for id, e := range m.Gangs {
		if e.State == Ended && len(e.Unconfirmed) == 0 {
			continue
		}
		o := *e
		o.Votes, o.MemberStatuses, o.Unconfirmed = slices.Clone(e.Votes), slices.Clone(e.MemberStatuses), slices.Clone(e.Unconfirmed)
		c.Gangs[id] = &o
	}
	return c
}

// Reservation is a hold of an encoder's slots together with its gang.
type Reservation struct {
	Gang string `json:"gang"`
	Hold
}

// Reservations returns up to limit holds of encoders that begin before until. Dispatchers keep other jobs off these
// slots.
func (m *Machine) Reservations(until time.Duration, limit int) (all []Reservation) {
	for _, s := range m.RoundHolds {
		for _, h := range s.Holds {
			if h.From < until && len(all) < limit && strings.HasPrefix(h.Resource, Encoder{}.Account()) {
				all = append(all, Reservation{s.Gang, h})
			}
		}
	}
	return all
}

// UsedSlots returns the slots of a resource that are held at a time. Only one of a gang's rounds will take effect, so
// its largest counts.
func (m *Machine) UsedSlots(resource string, at time.Duration) int {
	return int(sumUsed(m.RoundHolds, resource, func(h Hold) float64 {
		if h.From <= at && at < h.Until {
			return float64(h.Slots)
		}
		return 0
	}))
}

// Entries returns the gangs whose home this group is. Callers must not modify them.
func (m *Machine) Entries() map[string]*Entry { return m.Gangs }

// Holding returns the holds in this group. Callers must not modify them.
func (m *Machine) Holding() []RoundHolds { return m.RoundHolds }
