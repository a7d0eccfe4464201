package replica

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
)

// BootstrapMessage is what daemons send each other until all have agreed on the table that the groups start from.
type BootstrapMessage struct {
	Member Member `json:"member"`
	Table  *Table `json:"table,omitempty"`  // the table that the sender has stored on its disk
	Active bool   `json:"active,omitempty"` // the sender knows that all members of the table have stored it
}

// Bootstrapper agrees on the table that the groups start from. No daemon acts before all configured daemons have
// contacted each other with empty stores and have the same table on their disks. From then on, a daemon whose disk is
// lost joins as a new member and never bootstraps a table by itself. It is not safe for concurrent use.
type Bootstrapper struct {
	self        Member
	names       []string // all other configured daemons
	groups      uint32
	copies      int
	table       *Table
	tableStored bool
	active      bool
	received    map[string]BootstrapMessage
}

// NewBootstrapper returns a bootstrapper. names are the other configured daemons; table is the stored table, nil if
// there is none.
func NewBootstrapper(self Member, names []string, groups uint32, copies int, table *Table, active bool) *Bootstrapper {
	return &Bootstrapper{self: self, names: names, groups: groups, copies: copies, table: table, tableStored: table != nil, active: active, received: map[string]BootstrapMessage{}}
}

// Message returns the message to send to the other daemons.
func (f *Bootstrapper) Message() BootstrapMessage {
	t := BootstrapMessage{Member: f.self, Active: f.active}
	if f.tableStored {
		t.Table = f.table
	}
	return t
}

// Outdated reports whether a peer's message shows that the groups were repaired without this daemon.
func (f *Bootstrapper) Outdated(t BootstrapMessage) bool {
	return f.table != nil && t.Active && t.Table != nil && t.Table.ID == f.table.ID && t.Table.Generation > f.table.Generation
}

// Receive handles a peer's message. It returns a table that must be stored before the next message is sent, and, if the
// peer's table conflicts with this daemon's, a description for the log.
func (f *Bootstrapper) Receive(t BootstrapMessage) (store *Table, conflict string) {
	if t.Member.Name == f.self.Name {
		return nil, ""
	}
	f.received[t.Member.Name] = t
	switch {
	case t.Table == nil:
	case f.table == nil:
		f.table = t.Table
		return f.table, ""
	case f.table.ID == t.Table.ID && f.table.Generation > t.Table.Generation:
		return nil, "" // the peer does not know of a repair yet
	case f.table.ID != t.Table.ID:
		return nil, t.Member.Name + " has a table with other daemons, groups or copies than this daemon's"
	case t.Active && f.tableStored:
		f.active = true
	}
	return f.advance(), ""
}

// TableStored reports that the table has been written to disk.
func (f *Bootstrapper) TableStored() {
	f.tableStored = true
	for _, t := range f.received {
		f.active = f.active || t.Active && t.Table != nil && t.Table.ID == f.table.ID
	}
	f.advance()
}

// Start must be called once at start-up. It returns the table to store if this is the only daemon.
func (f *Bootstrapper) Start() (store *Table) { return f.advance() }

func (f *Bootstrapper) advance() (store *Table) {
	if f.table == nil {
		all := []Member{f.self}
		for _, name := range f.names {
			t, ok := f.received[name]
			if !ok {
				return nil
			}
			all = append(all, t.Member)
		}
		f.table = newTable(all, f.groups, f.copies)
		return f.table
	}
	if !f.tableStored || f.active {
		return nil
	}
	for _, m := range f.table.Members {
		if t := f.received[m.Name]; m.Name != f.self.Name && (t.Table == nil || t.Table.ID != f.table.ID) || m.Name == f.self.Name && m != f.self {
			return nil
		}
	}
	f.active = true
	return nil
}

// Active returns the table once all members have stored it.
func (f *Bootstrapper) Active() (Table, bool) {
	if !f.active {
		return Table{}, false
	}
	return *f.table, true
}

// Missing returns the configured daemons from which no message has been received yet.
func (f *Bootstrapper) Missing() (names []string) {
	for _, name := range f.names {
		if _, ok := f.received[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// Contacted returns the names of all daemons from which a message has been received.
func (f *Bootstrapper) Contacted() []string { return slices.Sorted(maps.Keys(f.received)) }

// newTable returns the table of these members. All daemons that know the same members compute the same table.
func newTable(members []Member, groups uint32, copies int) *Table {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	t := &Table{Groups: groups, Copies: copies, Members: members}
	encoded, _ := json.Marshal(t)
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(encoded))))
	h.Write(encoded)
	t.ID = mix(h.Sum64())
	return t
}
