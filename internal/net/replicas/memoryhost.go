// Package replicas hosts the replicas of the groups of package caperrelay/internal/replica: it has their disk store,
// the streams to other daemons, and the loop that drives the node.
package replicas

import (
	"context"
	"sync"
	"time"

	"caperrelay/internal/replica"
)

// Host accepts commands and gives access to the replicated state. It is safe for concurrent use.
type Host interface {
	// Propose has a machine of a group apply a command, through whichever daemon leads the group, and returns the
	// result. Only the error replica.ErrUnknown leaves open whether the command was or will be applied.
	Propose(ctx context.Context, group uint32, machine byte, cmd []byte) (result []byte, err error)
	// Groups returns the number of groups, including the root group.
	Groups() uint32
	// View calls f with the machine's state as applied here; it returns false if there is no replica here. f must not
	// block.
	View(group uint32, machine byte, f func(replica.Machine)) bool
	// Lease reports whether this daemon may act for the group, and until when by the lease clock Now.
	Lease(group uint32) (term uint64, until time.Duration, ok bool)
	// Changed signals that something was applied, or that leadership moved, since the last signal.
	Changed() <-chan struct{}
}

// memoryLease is the lease duration that a host without peers reports.
const memoryLease = time.Second

// MemoryHost is a host with one copy of each group, in memory. It is used in tests, and as the baseline when the
// cost of replication is measured.
type MemoryHost struct {
	changed chan struct{}

	mu     sync.Mutex
	groups []replica.Mux
	index  []uint64
	last   []time.Duration
}

var _ Host = (*MemoryHost)(nil)

// NewMemoryHost returns a host in memory; machines creates the machines of a group.
func NewMemoryHost(groups uint32, machines func(group uint32) replica.Mux) *MemoryHost {
	a := &MemoryHost{changed: make(chan struct{}, 1), index: make([]uint64, groups), last: make([]time.Duration, groups)}
	for g := range groups {
		a.groups = append(a.groups, machines(g))
	}
	return a
}

// Propose applies the command.
func (a *MemoryHost) Propose(_ context.Context, group uint32, machine byte, cmd []byte) ([]byte, error) {
	return a.ProposeAt(time.Duration(time.Now().UnixNano()), group, machine, cmd)
}

// ProposeAt is Propose at a given Unix time, for tests.
func (a *MemoryHost) ProposeAt(at time.Duration, group uint32, machine byte, cmd []byte) ([]byte, error) {
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

// Groups returns the number of groups.
func (a *MemoryHost) Groups() uint32 { return uint32(len(a.groups)) }

// View calls f with a machine's state.
func (a *MemoryHost) View(group uint32, machine byte, f func(replica.Machine)) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if group >= a.Groups() || a.groups[group][machine] == nil {
		return false
	}
	f(a.groups[group][machine])
	return true
}

// Lease always grants the lease.
func (a *MemoryHost) Lease(group uint32) (uint64, time.Duration, bool) {
	return 1, Now() + memoryLease, group < a.Groups()
}

// Changed signals that something was applied.
func (a *MemoryHost) Changed() <-chan struct{} { return a.changed }
