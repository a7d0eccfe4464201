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

// Command is what a group is asked to apply.
type Command struct {
	V    int    `json:"v"`
	Op   string `json:"op"`
	Gang string `json:"gang,omitempty"`

	Round    uint64        `json:"round,omitempty"`
	Group    uint32        `json:"group,omitempty"`
	Spec     *Spec         `json:"spec,omitempty"`
	Plan     *Plan         `json:"plan,omitempty"`
	Standing *Standing     `json:"standing,omitempty"`
	Resource *Resource     `json:"resource,omitempty"`
	Told     *Due          `json:"told,omitempty"`
	Member   int           `json:"member,omitempty"`
	Fate     Fate          `json:"fate,omitempty"`
	Armed    []string      `json:"armed,omitempty"` // dispatchers, by member
	By       string        `json:"by,omitempty"`
	Age      time.Duration `json:"age,omitempty"`
	At       time.Duration `json:"at,omitempty"` // by the clock that the gang's plan goes by; 0: the log's time is taken
	For      time.Duration `json:"for,omitempty"`
	Why      string        `json:"why,omitempty"`
}

// Encode is the command as it is proposed.
func (c Command) Encode() []byte {
	c.V = version
	text, _ := json.Marshal(c) // plain data: it cannot fail
	return text
}

// Rival is an undecided gang that is in the way.
type Rival struct {
	Gang  string        `json:"gang"`
	Round uint64        `json:"round"`
	Home  uint32        `json:"home"`
	Age   time.Duration `json:"age"`
}

// Result is what became of a command.
type Result struct {
	OK        bool       `json:"ok"`
	Err       string     `json:"err,omitempty"`
	Full      bool       `json:"full,omitempty"`
	Stale     bool       `json:"stale,omitempty"`
	Gone      bool       `json:"gone,omitempty"` // there is no such gang
	Gen       uint64     `json:"gen,omitempty"`
	With      []Rival    `json:"with,omitempty"` // who is in the way and undecided
	Entry     *Entry     `json:"entry,omitempty"`
	Resources []Resource `json:"resources,omitempty"`
	Standing  []Standing `json:"standing,omitempty"`
}

// Decode reads a result.
func Decode(text []byte) (r Result, err error) {
	err = json.Unmarshal(text, &r)
	return r, err
}

// Machine is a group's part of gangs: it is a replica's machine.
type Machine struct {
	home
	keeper
	At time.Duration
}

// New returns a group that has nothing.
func New() *Machine {
	return &Machine{home: home{map[string]*Entry{}}, keeper: keeper{map[string]Resource{}, nil, map[string]over{}}}
}

// Apply takes a command. What it does not know it refuses.
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

// Do takes a command as it stands: it is Apply without the text.
func (m *Machine) Do(at time.Duration, c Command) Result { return m.apply(at, c) }

func (m *Machine) apply(at time.Duration, c Command) Result {
	m.past(at)
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
		if c.Standing == nil {
			return Result{Err: "no holds"}
		}
		return m.prepare(at, *c.Standing)
	case "ready":
		return m.ready(c.Gang, c.Round)
	case "commit":
		return m.commit(at, c.Gang, c.Round)
	case "undo":
		return m.keeper.abort(at, c.Gang, c.Round)
	case "end":
		return m.keeper.end(at, c.Gang, c.Round)
	case "lapse":
		return m.lapse(at, c.Gang, c.Round)
	case "look":
		return m.Look()
	case "told":
		if c.Told == nil {
			return Result{Err: "nothing"}
		}
	}
	return m.step(at, c)
}

// state is what a snapshot holds.
type state struct {
	V      int           `json:"v"`
	Home   home          `json:"home"`
	Keeper keeper        `json:"keeper"`
	At     time.Duration `json:"at"`
}

// Snapshot is all of it.
func (m *Machine) Snapshot() ([]byte, error) {
	return json.Marshal(state{version, m.home, m.keeper, m.At})
}

// Restore takes a snapshot.
func (m *Machine) Restore(text []byte) error {
	s := state{Home: home{map[string]*Entry{}}, Keeper: keeper{map[string]Resource{}, nil, map[string]over{}}}
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("gangs: %w", err)
	}
	if s.V != version {
		return fmt.Errorf("gangs: a snapshot of version %d", s.V)
	}
	m.home, m.keeper, m.At = s.Home, s.Keeper, s.At
	return nil
}

// Look is what a planner needs of the group.
func (m *Machine) Look() Result {
	r := Result{OK: true, Standing: slices.Clone(m.Standing)}
	for _, id := range slices.Sorted(maps.Keys(m.Resources)) {
		r.Resources = append(r.Resources, m.Resources[id])
	}
	return r
}

// Open is the gangs that have not ended, or of which groups are still to be told, and what is held here, for a
// coordinator to go by while the machine goes on.
func (m *Machine) Open() *Machine {
	c := &Machine{home: home{map[string]*Entry{}}, keeper: keeper{nil, slices.Clone(m.Standing), nil}, At: m.At}
	for id, e := range m.Gangs {
		if e.State == Ended && len(e.Due) == 0 {
			continue
		}
		o := *e
		o.Votes, o.Fates, o.Due = slices.Clone(e.Votes), slices.Clone(e.Fates), slices.Clone(e.Due)
		c.Gangs[id] = &o
	}
	return c
}

// Taken is room of an encoder that a gang has.
type Taken struct {
	Gang string `json:"gang"`
	Hold
}

// Taken is what gangs have of encoders here until a moment, for dispatchers to leave alone; at most so much.
func (m *Machine) Taken(until time.Duration, most int) (all []Taken) {
	for _, s := range m.Standing {
		for _, h := range s.Holds {
			if h.From < until && len(all) < most && strings.HasPrefix(h.Resource, Encoder{}.Account()) {
				all = append(all, Taken{s.Gang, h})
			}
		}
	}
	return all
}

// Used is the slots that are held of a resource at a moment; of a gang's rounds only one will count, the larger is taken.
func (m *Machine) Used(resource string, at time.Duration) int {
	return int(used(m.Standing, resource, func(h Hold) float64 {
		if h.From <= at && at < h.Until {
			return float64(h.Slots)
		}
		return 0
	}))
}

// Entries is the gangs whose home this is, to be read only.
func (m *Machine) Entries() map[string]*Entry { return m.Gangs }

// Holding is what is held here, to be read only.
func (m *Machine) Holding() []Standing { return m.Standing }
