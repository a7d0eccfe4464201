package dispatch

import (
	"hash/fnv"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/wire"
)

// The first stage takes in: commands from fronts and the name table's news. It only
// hands over; whatever goroutine read them may go on.

// Take hands a command in. From now on it is owed one answer.
func (l *Loop) Take(c *Command) {
	l.Books.holding.Add(1)
	l.post(func(l *Loop) { l.admit(c) })
}

// Lapse says that the service client has gone away: nothing more is owed. It counts at once for whatever has not been sent:
// the loop may be behind.
func (l *Loop) Lapse(c *Command) {
	c.left.Store(true)
	l.post(func(l *Loop) {
		if l.yielded {
			l.other.Left(c.ID)
		} else if h := l.ids[c.ID]; h != nil && h.Command == c {
			l.lapse(h)
		}
	})
}

// LapseElsewhere is the same, of a command that changes hands and whose client the older process
// saw leave.
func (l *Loop) LapseElsewhere(id string) {
	if c, ok := l.relieved.Load(id); ok {
		c.(*Command).left.Store(true)
	}
	l.post(func(l *Loop) {
		if l.yielded { // meanwhile, to a third process
			l.other.Left(id)
		} else if h := l.ids[id]; h != nil {
			l.lapse(h)
		}
	})
}

func (l *Loop) lapse(h *held) {
	if !h.answered {
		l.Books.Lapsed.Add(1)
		l.conclude(h)
		l.tell(decide.RequestLapsed{Request: h.request})
		l.forget(h)
	}
}

// List is what the name table tells: the whole table or what has changed of it.
type List struct {
	Revision int64    `json:"Revision"`
	Complete bool     `json:"Complete"`
	Members  []Member `json:"Members"`
}

// Member is one line of the name table.
type Member struct {
	ID      string             `json:"ID"`
	Address string             `json:"Address"`
	GRPC    string             `json:"GRPC"` // where it serves gRPC; empty: it does not
	Zone    string             `json:"Zone"`
	Kind    string             `json:"Kind"`
	Cell    int                `json:"Cell"`
	State   decide.WorkerState `json:"State"`
	Size    float64            `json:"Size"`
	Started time.Time          `json:"Started"` // zero: long ago
}

// line is one line of the name table in the settings' terms.
func (l *Loop) line(m Member, id uint32) decide.Worker {
	return decide.Worker{
		ID: id, Zone: l.zone(m.Zone), Kind: l.kind(m.Kind), Cell: m.Cell, Rating: m.Size,
		Started: wallTime(m.Started), State: m.State,
	}
}

// place is a name's number; one that the settings do not have comes after all others.
func place(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return len(names)
}

// Listed takes a list from the name table. Cached: it is from an earlier time.
func (l *Loop) Listed(list List, cached bool) {
	l.post(func(l *Loop) { l.listed(list, cached) })
}

func (l *Loop) listed(list List, cached bool) {
	var ws []decide.Worker
	for _, m := range list.Members {
		ws = append(ws, l.line(m, l.number(m.ID)))
	}
	l.prune(list)
	if list.Complete || cached {
		l.tell(decide.ListFull{Workers: ws, Cached: cached})
	} else {
		l.tell(decide.ListDelta{Workers: ws})
	}
}

// mostNumbers is how many instances are remembered before those gone are forgotten.
const mostNumbers = 4096

// prune forgets the numbers of instances that are gone. It guards against growth without
// end where machines come and go under new ids for months.
func (l *Loop) prune(list List) {
	if len(l.numbers) <= mostNumbers {
		return
	}
	state := map[string]decide.WorkerState{}
	for _, m := range list.Members {
		state[m.ID] = m.State
	}
	for id, n := range l.numbers {
		if s, told := state[id]; told && s == decide.Gone || !told && list.Complete {
			delete(l.numbers, id)
			delete(l.workers, n)
		}
	}
}

// Cordon says that people leave an instance out, or put it back.
func (l *Loop) Cordon(id string, out bool) {
	l.post(func(l *Loop) { l.tell(decide.Cordon{Worker: l.number(id), Out: out}) })
}

// Hold says what is held from now on of an instance that has so many slots, whoever sends what it is held for. Spans
// are in Unix time.
func (l *Loop) Hold(id string, slots float64, spans []decide.Span) {
	l.post(func(l *Loop) { l.tell(decide.Holds{Worker: l.number(id), Slots: slots, Spans: spans}) })
}

// ListLost says that the watch on the list, or the call for one, has failed, so long after the call; nobody: that reached
// none.
func (l *Loop) ListLost(nobody bool, after time.Duration) {
	l.post(func(l *Loop) { l.tell(decide.ListFailed{Nobody: nobody, After: after}) })
}

// number is the module's id of an instance, the same at every dispatcher, since the module
// has them share one order. It is the number that the instance bears on the simulator's wire,
// so that a day replayed there puts keys at the instances that held them here; for ids of
// another form it is a hash.
func (l *Loop) number(id string) uint32 {
	if n, ok := l.numbers[id]; ok {
		return n
	}
	n, ok := wire.WorkerNumber(id)
	if !ok {
		h := fnv.New32a()
		h.Write([]byte(id))
		n = h.Sum32()
	}
	for _, taken := l.workers[n]; taken; _, taken = l.workers[n] {
		n++
	}
	l.workers[n], l.numbers[id] = id, n
	return n
}
