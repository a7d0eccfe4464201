package nametable

import (
	"cmp"
	"slices"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

// Table is the name table as told so far.
type Table struct {
	revision int64
	members  map[string]dispatch.Member
}

// Take brings the table up to date with what was told.
func (t *Table) Take(l dispatch.List) {
	if l.Complete || t.members == nil {
		t.members = map[string]dispatch.Member{}
	}
	t.revision = l.Revision
	for _, m := range l.Members {
		if t.members[m.ID] = m; m.State == decide.Gone {
			delete(t.members, m.ID)
		}
	}
}

// List is the whole table.
func (t *Table) List() dispatch.List {
	l := dispatch.List{Revision: t.revision, Complete: true}
	for _, m := range t.members {
		l.Members = append(l.Members, m)
	}
	slices.SortFunc(l.Members, func(a, b dispatch.Member) int { return cmp.Compare(a.ID, b.ID) })
	return l
}
