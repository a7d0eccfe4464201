package dispatch

import (
	"cmp"
	"slices"

	"caperrelay/decide"
)

// Table is the name table as told so far. It is not safe for more than one goroutine.
type Table struct {
	revision int64
	members  map[string]Member
}

// Take brings the table up to date with what was told.
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

// Revision is that of what was told last.
func (t *Table) Revision() int64 { return t.revision }

// Members is the table by id, to be read only.
func (t *Table) Members() map[string]Member { return t.members }

// List is the whole table.
func (t *Table) List() List {
	l := List{Revision: t.revision, Complete: true}
	for _, m := range t.members {
		l.Members = append(l.Members, m)
	}
	slices.SortFunc(l.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return l
}
