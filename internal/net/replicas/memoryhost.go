// Package replicas holds replicas of the groups of package caperrelay/internal/replica: their disk, their stream to
// other daemons and the one loop that drives them.
package replicas

import (
	"context"
	"sync"
	"time"

	"caperrelay/internal/replica"
)

// Host is where commands go and state is read from. It is safe for use by several goroutines.
type Host interface {
	// Propose has a machine of a group take a command, on whichever daemon acts for it, and returns the result. Only an
	// error that is replica.ErrUnknown leaves open whether it was, or will be, taken.
	Propose(ctx context.Context, group uint32, machine byte, cmd []byte) (result []byte, err error)
	// Groups is their number, the root group included.
	Groups() uint32
	// View shows f what has been applied here; false: there is no replica here. f must not block.
	View(group uint32, machine byte, f func(replica.Machine)) bool
	// Lead tells whether this daemon acts for the group, and until when by its own clock since the process began.
	Lead(group uint32) (term uint64, until time.Duration, ok bool)
	// Changed tells that something was applied, or that leadership moved, since it last did.
	Changed() <-chan struct{}
}

// memoryLease is how long one that has nobody to lose its lease to says that it has it.
const memoryLease = time.Second

// Alone is a host with one copy of each group, in memory: for tests, and what replication is measured against.
type Alone struct {
	changed chan struct{}

	mu     sync.Mutex
	groups []replica.Mux
	index  []uint64
	last   []time.Duration
}

var _ Host = (*Alone)(nil)

// NewAlone returns one; machines makes a group's.
func NewAlone(groups uint32, machines func(group uint32) replica.Mux) *Alone {
	a := &Alone{changed: make(chan struct{}, 1), index: make([]uint64, groups), last: make([]time.Duration, groups)}
	for g := range groups {
		a.groups = append(a.groups, machines(g))
	}
	return a
}

// Propose applies the command.
func (a *Alone) Propose(_ context.Context, group uint32, machine byte, cmd []byte) ([]byte, error) {
	return a.ProposeAt(time.Duration(time.Now().UnixNano()), group, machine, cmd)
}

// ProposeAt is Propose at a given Unix time, for tests.
func (a *Alone) ProposeAt(at time.Duration, group uint32, machine byte, cmd []byte) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if group >= a.Groups() {
		return nil, replica.ErrNoGroup
	}
	a.index[group]++
	a.last[group] = max(a.last[group], at)
	result := a.groups[group].Apply(a.index[group], a.last[group], append([]byte{machine}, cmd...))
	select {
	case a.changed <- struct{}{}:
	default:
	}
	return result, nil
}

// Groups is their number.
func (a *Alone) Groups() uint32 { return uint32(len(a.groups)) }

// View shows a machine.
func (a *Alone) View(group uint32, machine byte, f func(replica.Machine)) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if group >= a.Groups() || a.groups[group][machine] == nil {
		return false
	}
	f(a.groups[group][machine])
	return true
}

// Lead says yes.
func (a *Alone) Lead(group uint32) (uint64, time.Duration, bool) {
	return 1, Now() + memoryLease, group < a.Groups()
}

// Changed tells of what was applied.
func (a *Alone) Changed() <-chan struct{} { return a.changed }
