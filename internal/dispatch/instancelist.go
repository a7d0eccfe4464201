package dispatch

import (
	"cmp"
	"slices"

	"caperrelay/decide"
)

// InstanceList is the instance list as received so far. It is not safe for concurrent use.
type InstanceList struct {
	revision  int64
	instances map[string]Instance
}

// Update applies an update.
func (t *InstanceList) Update(l InstanceUpdate) {
	if l.Complete || t.instances == nil {
		t.instances = map[string]Instance{}
	}
	t.revision = l.Revision
	for _, m := range l.Instances {
		if t.instances[m.ID] = m; m.State == decide.Gone {
			delete(t.instances, m.ID)
		}
	}
}

// Revision returns the revision of the last update.
func (t *InstanceList) Revision() int64 { return t.revision }

// Instances returns the instances by ID. The map must not be modified.
func (t *InstanceList) Instances() map[string]Instance { return t.instances }

// Snapshot returns the complete list, ordered by ID.
func (t *InstanceList) Snapshot() InstanceUpdate {
	l := InstanceUpdate{Revision: t.revision, Complete: true}
	for _, m := range t.instances {
		l.Instances = append(l.Instances, m)
	}
	slices.SortFunc(l.Instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return l
}
