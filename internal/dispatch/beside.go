package dispatch

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/wire"
)

// A new process takes over from an older one by its loop relieving the older's: commands in hand
// change hands whole, with their attempts and with what the module knows. What stays with the
// older are sendings that no instance has confirmed: it passes on what becomes of them.

// Other is the way to the other processes. Its methods must not block; alone, they do nothing.
type Other interface {
	// Elsewhere takes a call-back that matches nothing here; false: there is nobody to be told.
	Elsewhere(News) bool
	// Became tells the newer process what has become of an attempt that was sent from here.
	Became(Fate)
	// Left tells it that the client of a command that changed hands has gone away.
	Left(id string)
}

// Alone is the way to the other processes of a loop that has none.
type Alone struct{}

// Elsewhere says that there is nobody to be told.
func (Alone) Elsewhere(News) bool { return false }

// Became does nothing.
func (Alone) Became(Fate) {}

// Left does nothing.
func (Alone) Left(string) {}

// Fate is what becomes of an attempt that went out from an older process.
type Fate struct {
	ID       string         `json:"ID"` // the command's
	N        int            `json:"N"`
	Taken    bool           `json:"Taken"` // by the instance, else it has ended:
	Unusable bool           `json:"Unusable"`
	Leaving  bool           `json:"Leaving"` // it has ended here, and the encoder may have it yet
	Outcome  decide.Outcome `json:"Outcome"`
	Kept     time.Duration  `json:"Kept"`
	Report   *decide.Report `json:"Report,omitempty"`
}

// Handed is all that one loop hands to another.
type Handed struct {
	Module   decide.Memory     `json:"Module"`
	Numbers  map[uint32]string `json:"Numbers"` // of instances, as the module knows them
	Commands []*HandedCommand  `json:"-"`       // each a message of its own
	Names    wire.Names        `json:"Names"`
	Classes  []decide.Class    `json:"Classes"` // by their numbers
}

// HandedCommand is a command that changes hands.
type HandedCommand struct {
	Command
	Payload  json.RawMessage      `json:"Payload"`
	Memory   decide.RequestMemory `json:"Memory"` // the module's, which Handed.Module leaves out
	Attempts []HandedAttempt      `json:"Attempts"`
}

// HandedAttempt is one attempt of it.
type HandedAttempt struct {
	Instance string    `json:"Instance"`
	Deadline time.Time `json:"Deadline"`
	Over     bool      `json:"Over"`
	Taken    bool      `json:"Taken"`
	Leaving  bool      `json:"Leaving"`
}

// Yield hands all that is in hand to another process, by way of to, which is called from the
// loop. From then on this one takes nothing; each command's client is told to pass on. Where to
// fails everything stays.
func (l *Loop) Yield(to func(Handed) bool) {
	l.post(func(l *Loop) {
		for len(l.events) > 0 {
			l.route()
		}
		given := Handed{Module: l.mod.Memory(), Numbers: l.workers, Names: l.names, Classes: l.settings.Classes}
		for _, r := range given.Module.Requests {
			if h := l.requests[r.ID]; h != nil && !h.answered && h.Gate == nil && !h.Held { // else its client is no connection
				given.Commands = append(given.Commands, h.handed(r))
			}
		}
		given.Module.Requests = nil
		if !to(given) {
			return
		}
		l.yielded = true
		for _, h := range l.requests {
			if !h.answered {
				l.Books.holding.Add(-1)
				h.Client.Pass(true)
			}
			for _, a := range h.attempts { // what becomes of them is the other's, also once that has died
				a.over = true
			}
		}
		clear(l.ids)
		clear(l.requests)
		l.relieved.Clear()
		l.timers.Clear()
		l.notes()
	})
}

func (h *held) handed(r decide.RequestMemory) *HandedCommand {
	payload, _ := json.Marshal(h.Payload) // plain data: it cannot fail
	c := &HandedCommand{Command: h.fields(), Payload: payload, Memory: r}
	for _, a := range h.attempts {
		c.Attempts = append(c.Attempts, HandedAttempt{a.Instance, a.Deadline, a.over, a.taken, a.leaving.Load()})
	}
	return c
}

// Learned tells what was learned, for a lasting snapshot. to must not block.
func (l *Loop) Learned(to func(Handed)) {
	l.post(func(l *Loop) {
		given := Handed{Module: l.mod.Memory().Advice(), Numbers: maps.Clone(l.workers), Names: l.names, Classes: l.settings.Classes}
		to(given)
	})
}

// Advise takes what an earlier process had learned before its machine was off, of classes that there are still.
func (l *Loop) Advise(given Handed) {
	l.post(func(l *Loop) {
		at := make([]int, len(given.Names.Classes))
		for i, name := range given.Names.Classes {
			at[i] = slices.Index(l.names.Classes, name)
		}
		l.tell(decide.Advise{Memory: l.ours(given, at)})
	})
}

// ours is another process's memory in this one's numbers, without commands. at is our number of each of its classes,
// -1: none.
func (l *Loop) ours(given Handed, at []int) decide.Memory {
	m := given.Module
	for i := range m.Workers {
		m.Workers[i].Worker = l.renumber(m.Workers[i].Worker, given)
	}
	known := make([]decide.ClassMemory, len(l.names.Classes))
	for i, c := range m.Classes[:min(len(m.Classes), len(at))] {
		if at[i] >= 0 && i < len(given.Classes) && given.Classes[i].SameJobs(l.settings.Classes[at[i]]) {
			known[at[i]] = c
		}
	}
	m.Classes, m.Tenants = known, nil // those are learned within seconds
	if !slices.Equal(l.names.Zones, given.Names.Zones) || !slices.Equal(l.names.Kinds, given.Names.Kinds) {
		m.Zones, m.Kinds = nil, nil
	}
	return m
}

// renumber is a worker of another process's memory by our numbers.
func (l *Loop) renumber(w decide.Worker, given Handed) decide.Worker {
	w.ID = l.number(given.Numbers[w.ID])
	w.Zone, w.Kind = l.zone(named(given.Names.Zones, w.Zone)), l.kind(named(given.Names.Kinds, w.Kind))
	return w
}

// Relieve takes all that another process has handed over. Each command must have its payload and
// its client again.
func (l *Loop) Relieve(given Handed) {
	for _, c := range given.Commands {
		l.relieved.Store(c.ID, &c.Command)
	}
	l.post(func(l *Loop) {
		at := l.learn(given)
		m := l.ours(given, at)
		for _, c := range given.Commands {
			if l.ids[c.ID] != nil { // taken here too, while both were in service
				c.Client.Answer(Answer{Verdict: Failed})
				l.relieved.CompareAndDelete(c.ID, &c.Command)
				continue
			}
			r := c.Memory
			r.ID, r.Class = l.newID(), at[r.Class]
			for i := range r.Attempts {
				r.Attempts[i].Worker = l.renumber(r.Attempts[i].Worker, given)
			}
			l.resume(c, r.ID, r.Class)
			m.Requests = append(m.Requests, r)
		}
		l.tell(decide.Relieve{Memory: m})
	})
}

// resume goes on with a command that another process had in hand.
func (l *Loop) resume(c *HandedCommand, request uint32, class int) {
	l.Books.Taken.Add(1)
	l.Books.holding.Add(1)
	h := &held{Command: &c.Command, class: class, request: request}
	l.ids[h.ID], l.requests[h.request] = h, h
	for n, t := range c.Attempts {
		a := &Attempt{
			Command: h.Command, Instance: t.Instance, N: n, Deadline: t.Deadline, request: h.request,
			over: t.Over, taken: t.Taken, elsewhere: !t.Over && !t.Taken,
		}
		h.attempts = append(h.attempts, a)
		a.leaving.Store(t.Leaving) // for good: the older process does not tell of the encoder's answer
		if !a.over {
			h.out++
			l.timers.Start(&a.deadline, a.Deadline, func() { l.expire(a) })
		}
	}
}

// Became takes what has become of an attempt that went out from an older process.
func (l *Loop) Became(f Fate) {
	l.post(func(l *Loop) {
		if l.yielded { // meanwhile, to a third process
			l.other.Became(f)
			return
		}
		h := l.ids[f.ID]
		if h == nil || f.N < 0 || f.N >= len(h.attempts) || h.attempts[f.N].over {
			return
		}
		a := h.attempts[f.N]
		if f.Leaving {
			a.Leaving()
		}
		switch a.elsewhere, a.kept, a.report = false, f.Kept, f.Report; {
		case f.Taken:
			l.taken(a)
		case f.Unusable:
			l.unusable(a)
		default:
			l.end(a, f.Outcome)
		}
	})
}

// Alone says that the older process has gone, and with it the connections of what it sent.
func (l *Loop) Alone() {
	l.post(func(l *Loop) {
		for _, h := range l.requests {
			for _, a := range h.attempts {
				if a.elsewhere && !a.over {
					l.end(a, decide.Reset)
				}
			}
		}
	})
}

// Resume says that the newer process has gone: this one takes what comes again, with what it had
// learned. What was in hand went with the other.
func (l *Loop) Resume(list List, given decide.Memory) {
	l.post(func(l *Loop) {
		mod, err := decide.New(l.settings)
		if err != nil {
			l.log.Error("resume", "err", err) // it was made of the same settings before
			return
		}
		l.mod, l.yielded = mod, false
		l.listed(list, true)
		l.tell(decide.Relieve{Memory: given})
	})
}
