package dispatch

import (
	"cmp"
	"slices"

	"caperrelay/decide"
)

// Table is the instance list as received so far. It is not safe for concurrent use.
type Table struct {
	revision int64
	members  map[string]Member
}

// Take applies an update.
func (t *Table) Take(l List) {
	if l.Complete || t.members == nil {
		t.members = map[string]Member{}
	}
	t.revision = l.Revision
	for _, m := range l.Members {
		if t.members[m.ID] = m; m.State == decide.Gone {
			delete(t.members, m.ID)
		}
	}
}

// Revision returns the revision of the last update.
func (t *Table) Revision() int64 { return t.revision }

// Members returns the instances by ID. The map must not be modified.
func (t *Table) Members() map[string]Member { return t.members }

// List returns the complete list, ordered by ID.
func (t *Table) List() List {
	l := List{Revision: t.revision, Complete: true}
	for _, m := range t.members {
		l.Members = append(l.Members, m)
	}
	slices.SortFunc(l.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return l
}
