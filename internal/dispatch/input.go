package dispatch

import (
	"hash/fnv"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/wire"
)

// Input to the loop: commands from fronts and updates of the instance list. These methods only queue a message,
// so the calling goroutine can go on.

// Submit submits a command. From then on it gets exactly one answer.
func (l *Loop) Submit(c *Command) {
	l.Counters.pending.Add(1)
	l.post(func(l *Loop) { l.admit(c) })
}

// ClientGone reports that the client has disconnected, so no answer is needed. Attempts that have not been sent yet
// are stopped at once, even if the loop is behind.
func (l *Loop) ClientGone(c *Command) {
	c.clientGone.Store(true)
	l.post(func(l *Loop) {
		if l.handedOver {
			l.otherProcess.ForwardClientGone(c.ID)
		} else if p := l.byID[c.ID]; p != nil && p.Command == c {
			l.cancelCommand(p)
		}
	})
}

// ClientGoneByID reports that the client of a taken-over command has disconnected, as seen by the older process.
func (l *Loop) ClientGoneByID(id string) {
	if c, ok := l.takenOver.Load(id); ok {
		c.(*Command).clientGone.Store(true)
	}
	l.post(func(l *Loop) {
		if l.handedOver { // handed over to a third process meanwhile
			l.otherProcess.ForwardClientGone(id)
		} else if p := l.takenOverCommand(id); p != nil {
			l.cancelCommand(p)
		}
	})
}

func (l *Loop) cancelCommand(p *pendingCommand) {
	if !p.answered {
		l.Counters.Cancelled.Add(1)
		l.noteDeparted(p)
		l.markAnswered(p)
		l.queueEvent(decide.RequestCancelled{Request: p.request})
		l.removeIfDone(p)
	}
}

// InstanceUpdate is an update from discovery: the complete instance list, or the changed entries only.
type InstanceUpdate struct {
	Revision  int64      `json:"Revision"`
	Complete  bool       `json:"Complete"`
	Instances []Instance `json:"Members"`
}

// Instance is one entry of the instance list.
type Instance struct {
	ID      string             `json:"ID"`
	Address string             `json:"Address"`
	GRPC    string             `json:"GRPC"` // address of its gRPC service; empty: none
	Zone    string             `json:"Zone"`
	Kind    string             `json:"Kind"`
	Cell    int                `json:"Cell"`
	State   decide.WorkerState `json:"State"`
	Size    float64            `json:"Size"`
	Started time.Time          `json:"Started"` // zero: long ago
}

// toWorker converts an instance list entry to the decision module's form.
func (l *Loop) toWorker(m Instance, id uint32) decide.Worker {
	return decide.Worker{
		ID: id, Zone: l.zoneNumber(m.Zone), Kind: l.kindNumber(m.Kind), Cell: m.Cell, Rating: m.Size,
		Started: sinceEpoch(m.Started), State: m.State,
	}
}

// indexOrLen returns the index of a name, or len(names) if it is not in the list.
func indexOrLen(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return len(names)
}

// UpdateInstances processes an instance list from discovery. If cached is set, the list is from an earlier time.
func (l *Loop) UpdateInstances(list InstanceUpdate, cached bool) {
	l.post(func(l *Loop) { l.updateInstances(list, cached) })
}

func (l *Loop) updateInstances(list InstanceUpdate, cached bool) {
	var ws []decide.Worker
	for _, m := range list.Instances {
		ws = append(ws, l.toWorker(m, l.workerID(m.ID)))
	}
	l.prune(list)
	if list.Complete || cached {
		l.queueEvent(decide.ListFull{Workers: ws, Cached: cached})
	} else {
		l.queueEvent(decide.ListDelta{Workers: ws})
	}
}

// maxWorkerIDs is the number of instances remembered before those that are gone are removed.
const maxWorkerIDs = 4096

// prune removes the worker IDs of instances that are gone. Otherwise the tables would grow without bound where
// machines are replaced under new IDs for months.
func (l *Loop) prune(list InstanceUpdate) {
	if len(l.workerIDs) <= maxWorkerIDs {
		return
	}
	state := map[string]decide.WorkerState{}
	for _, m := range list.Instances {
		state[m.ID] = m.State
	}
	for id, n := range l.workerIDs {
		if s, listed := state[id]; listed && s == decide.Gone || !listed && list.Complete {
			delete(l.workerIDs, id)
			delete(l.instanceIDs, n)
		}
	}
}

// Cordon reports that an operator cordons or uncordons an instance.
func (l *Loop) Cordon(id string, out bool) {
	l.post(func(l *Loop) { l.queueEvent(decide.Cordon{Worker: l.workerID(id), Cordoned: out}) })
}

// SetReservations sets the time spans, in Unix time, during which slots of an instance are reserved, whichever dispatcher
// sends the commands they are reserved for. slots is the instance's number of slots.
func (l *Loop) SetReservations(id string, slots float64, spans []decide.Reservation) {
	l.post(func(l *Loop) {
		l.queueEvent(decide.WorkerReservations{Worker: l.workerID(id), Slots: slots, Reservations: spans})
	})
}

// DiscoveryFailed reports that the watch on the instance list, or a request for it, has failed; elapsed is the time from
// the call to the failure. unreachable: no server could be reached.
func (l *Loop) DiscoveryFailed(unreachable bool, elapsed time.Duration) {
	l.post(func(l *Loop) { l.queueEvent(decide.ListFailed{Unreachable: unreachable, Elapsed: elapsed}) })
}

// workerID returns the decision module's ID of an instance. It is the same at every dispatcher, since the module
// has dispatchers share one order. It is the number that the instance has in the simulator's protocol, so that
// replayed traffic assigns keys to the same instances here; an instance ID of another form is hashed.
func (l *Loop) workerID(id string) uint32 {
	if n, ok := l.workerIDs[id]; ok {
		return n
	}
	n, ok := wire.WorkerNumber(id)
	if !ok {
		h := fnv.New32a()
		h.Write([]byte(id))
		n = h.Sum32()
	}
	for _, taken := l.instanceIDs[n]; taken; _, taken = l.instanceIDs[n] {
		n++
	}
	l.instanceIDs[n], l.workerIDs[id] = id, n
	return n
}
