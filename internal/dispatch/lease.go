package dispatch

import (
	"time"

	"caperrelay/decide"
)

// Leaser obtains leases of the budget for cold instances. Its methods must not block; granted leases are
// reported through [Loop.AddLease].
type Leaser interface {
	// Request requests a lease.
	Request(instance string, process int64, work float64)
	// Spent reports that a lease has been used.
	Spent(Lease)
}

// Lease permits the loop to send one job with the given work to an instance that has just started.
type Lease struct {
	Instance string
	Process  int64   // the instance's start, in microseconds of Unix time
	Work     float64 // slot seconds
	Until    time.Time
	Ref      any // opaque, for the leaser
}

// maxLeases bounds the stored leases; unused ones that have expired are removed when it is reached.
const maxLeases = 4096

// SetLeaser sets the leaser. It must be called before Run.
func (l *Loop) SetLeaser(leaser Leaser) { l.leaser = leaser }

// AddLease stores a granted lease.
func (l *Loop) AddLease(t Lease) {
	l.post(func(l *Loop) {
		now := time.Now()
		if !t.Until.After(now) || l.handedOver {
			return
		}
		if len(l.leases) >= maxLeases {
			for id, other := range l.leases {
				if !other.Until.After(now) {
					delete(l.leases, id)
				}
			}
			if len(l.leases) >= maxLeases {
				return
			}
		}
		if l.leases == nil {
			l.leases = map[uint64]Lease{}
		}
		l.leaseID++
		l.leases[l.leaseID] = t
		l.queueEvent(decide.Lease{
			ID: l.leaseID, Worker: l.workerID(t.Instance), Started: time.Duration(t.Process) * time.Microsecond, Work: t.Work,
			Until: moduleTime(t.Until),
		})
	})
}
