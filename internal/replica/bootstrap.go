package replica

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
)

// BootstrapMessage is what daemons tell each other until all know what their groups begin with.
type BootstrapMessage struct {
	Member Member `json:"member"`
	Table  *Table `json:"table,omitempty"`  // that lasts on the sender's disk
	Active bool   `json:"active,omitempty"` // and that all of its members have on theirs
}

// Bootstrapper agrees on the table that the groups begin with. Nobody acts before all daemons of the file have met with
// empty stores and have the same table on their disks: from then on a daemon whose disk is lost is a newcomer, who
// never founds anything by himself. It is not safe for more than one goroutine.
type Bootstrapper struct {
	self        Member
	names       []string // all of the file
	groups      uint32
	copies      int
	table       *Table
	tableStored bool
	active      bool
	received    map[string]BootstrapMessage
}

// NewBootstrapper returns one. names are the other daemons of the file; table is what the store has, if any.
func NewBootstrapper(self Member, names []string, groups uint32, copies int, table *Table, active bool) *Bootstrapper {
	return &Bootstrapper{self: self, names: names, groups: groups, copies: copies, table: table, tableStored: table != nil, active: active, received: map[string]BootstrapMessage{}}
}

// Message is what the others are to be told.
func (f *Bootstrapper) Message() BootstrapMessage {
	t := BootstrapMessage{Member: f.self, Active: f.active}
	if f.tableStored {
		t.Table = f.table
	}
	return t
}

// Outdated tells whether what another tells says that the record was repaired without this daemon.
func (f *Bootstrapper) Outdated(t BootstrapMessage) bool {
	return f.table != nil && t.Active && t.Table != nil && t.Table.ID == f.table.ID && t.Table.Generation > f.table.Generation
}

// Receive takes what another tells. A table that is to be stored before anything else is told is returned; a conflict is
// a reason for the log.
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
		return nil, "" // it has not heard of a repair yet
	case f.table.ID != t.Table.ID:
		return nil, t.Member.Name + " has begun with other daemons, groups or copies than this one"
	case t.Active && f.tableStored:
		f.active = true
	}
	return f.advance(), ""
}

// TableStored takes that the table lasts.
func (f *Bootstrapper) TableStored() {
	f.tableStored = true
	for _, t := range f.received {
		f.active = f.active || t.Active && t.Table != nil && t.Table.ID == f.table.ID
	}
	f.advance()
}

// Start is to be called once at the start: it is what a daemon alone needs.
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

// Active is the table, once all have it.
func (f *Bootstrapper) Active() (Table, bool) {
	if !f.active {
		return Table{}, false
	}
	return *f.table, true
}

// Missing is who has not been heard yet.
func (f *Bootstrapper) Missing() (names []string) {
	for _, name := range f.names {
		if _, ok := f.received[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// Met is all that were heard.
func (f *Bootstrapper) Met() []string { return slices.Sorted(maps.Keys(f.received)) }

// newTable is the same at all who have heard the same.
func newTable(members []Member, groups uint32, copies int) *Table {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	t := &Table{Groups: groups, Copies: copies, Members: members}
	text, _ := json.Marshal(t)
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text))))
	h.Write(text)
	t.ID = mix(h.Sum64())
	return t
}
