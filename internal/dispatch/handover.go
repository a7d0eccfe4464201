package dispatch

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/wire"
)

// A new process takes over from an older one when its loop takes over the older loop's state: pending commands
// are transferred whole, with their attempts and the decision module's knowledge of them. Attempts that no
// instance has accepted yet stay on the older process's connections; it forwards their outcomes.

// Other connects the loop to the older and newer processes. Its methods must not block; without another process
// they do nothing.
type Other interface {
	// Elsewhere forwards a callback that matches no attempt here. It returns false if there is no process to forward
	// it to.
	Elsewhere(News) bool
	// Became forwards the outcome of an attempt that was sent from here to the newer process.
	Became(Fate)
	// Left notifies the newer process that the client of a transferred command has disconnected.
	Left(id string)
}

// Alone is the Other of a loop without another process.
type Alone struct{}

// Elsewhere returns false: there is no process to forward to.
func (Alone) Elsewhere(News) bool { return false }

// Became does nothing.
func (Alone) Became(Fate) {}

// Left does nothing.
func (Alone) Left(string) {}

// Fate is a change of an attempt that an older process sent.
type Fate struct {
	ID       string // of the command
	N        int
	Taken    bool // by the instance; otherwise the attempt has ended:
	Unusable bool
	Leaving  bool // cancelled, but the encoder may still have it
	Outcome  decide.Outcome
	Kept     time.Duration
	Report   *decide.Report `json:",omitempty"`
}

// Handed is the state that one loop hands over to another.
type Handed struct {
	Module   decide.Memory
	Numbers  map[uint32]string // instance IDs by the decision module's worker IDs
	Commands []*HandedCommand  `json:"-"` // each is sent as a separate message
	Names    wire.Names
	Classes  []decide.Class // indexed by class number
}

// HandedCommand is a command that is handed over.
type HandedCommand struct {
	Command
	Payload  json.RawMessage
	Memory   decide.RequestMemory // of the decision module; not contained in Handed.Module
	Attempts []HandedAttempt
}

// HandedAttempt is one attempt of a command that is handed over.
type HandedAttempt struct {
	Instance             string
	Deadline             time.Time
	Over, Taken, Leaving bool
}

// Yield hands over all pending commands to another process by calling to from the loop. Afterwards this loop
// accepts nothing, and each command's client is asked to pass on its connection. If to fails, nothing changes.
func (l *Loop) Yield(to func(Handed) bool) {
	l.post(func(l *Loop) {
		for len(l.events) > 0 {
			l.handleEvents()
		}
		given := Handed{Module: l.mod.Memory(), Numbers: l.instanceIDs, Names: l.allNames, Classes: l.settings.Classes}
		for _, r := range given.Module.Requests {
			if h := l.byRequest[r.ID]; h != nil && !h.answered && h.Gate == nil && !h.Held { // other clients have no connection that could be passed on
				given.Commands = append(given.Commands, h.export(r))
			}
		}
		given.Module.Requests = nil
		if !to(given) {
			return
		}
		l.handedOver = true
		for _, h := range l.byRequest {
			if !h.answered {
				l.Books.pending.Add(-1)
				h.Client.Pass(true)
			}
			for _, a := range h.attempts { // the newer process owns their outcomes, even after it has died
				a.ended = true
			}
		}
		clear(l.byID)
		clear(l.byRequest)
		l.takenOver.Clear()
		l.timers.Clear()
		l.sampleFleet()
	})
}

func (h *pendingCommand) export(r decide.RequestMemory) *HandedCommand {
	payload, _ := json.Marshal(h.Payload) // plain data: encoding cannot fail
	c := &HandedCommand{Command: h.encodableCopy(), Payload: payload, Memory: r}
	for _, a := range h.attempts {
		c.Attempts = append(c.Attempts, HandedAttempt{a.Instance, a.Deadline, a.ended, a.accepted, a.cancelUnconfirmed.Load()})
	}
	return c
}

// Learned passes the learned state to a function, for a persistent snapshot. The function must not block.
func (l *Loop) Learned(to func(Handed)) {
	l.post(func(l *Loop) {
		given := Handed{Module: l.mod.Memory().Advice(), Numbers: maps.Clone(l.instanceIDs), Names: l.allNames, Classes: l.settings.Classes}
		to(given)
	})
}

// Advise loads what an earlier process had learned before its machine was shut down, for the classes that still
// exist.
func (l *Loop) Advise(given Handed) {
	l.post(func(l *Loop) {
		at := make([]int, len(given.Names.Classes))
		for i, name := range given.Names.Classes {
			at[i] = slices.Index(l.allNames.Classes, name)
		}
		l.queueEvent(decide.Advise{Memory: l.translateMemory(given, at)})
	})
}

// translateMemory converts another process's memory, without its requests, to the numbers in use here. at has
// this loop's number for each of its classes, or -1.
func (l *Loop) translateMemory(given Handed, at []int) decide.Memory {
	m := given.Module
	for i := range m.Workers {
		m.Workers[i].Worker = l.translateWorker(m.Workers[i].Worker, given)
	}
	known := make([]decide.ClassMemory, len(l.allNames.Classes))
	for i, c := range m.Classes[:min(len(m.Classes), len(at))] {
		if at[i] >= 0 && i < len(given.Classes) && given.Classes[i].SameJobs(l.settings.Classes[at[i]]) {
			known[at[i]] = c
		}
	}
	m.Classes, m.Tenants = known, nil // tenants' state is relearned within seconds
	if !slices.Equal(l.allNames.Zones, given.Names.Zones) || !slices.Equal(l.allNames.Kinds, given.Names.Kinds) {
		m.Zones, m.Kinds = nil, nil
	}
	return m
}

// translateWorker converts a worker in another process's memory to the numbers in use here.
func (l *Loop) translateWorker(w decide.Worker, given Handed) decide.Worker {
	w.ID = l.workerID(given.Numbers[w.ID])
	w.Zone, w.Kind = l.zoneNumber(nameAt(given.Names.Zones, w.Zone)), l.kindNumber(nameAt(given.Names.Kinds, w.Kind))
	return w
}

// Relieve takes over the state of another process. Each command must have its payload and its client set again.
func (l *Loop) Relieve(given Handed) {
	for _, c := range given.Commands {
		l.takenOver.Store(c.ID, &c.Command)
	}
	l.post(func(l *Loop) {
		at := l.mergeClasses(given)
		m := l.translateMemory(given, at)
		for _, c := range given.Commands {
			if l.byID[c.ID] != nil { // also received here while both processes were serving
				c.Client.Answer(Answer{Verdict: Failed})
				l.takenOver.CompareAndDelete(c.ID, &c.Command)
				continue
			}
			r := c.Memory
			r.ID, r.Class = l.newRequestID(), at[r.Class]
			for i := range r.Attempts {
				r.Attempts[i].Worker = l.translateWorker(r.Attempts[i].Worker, given)
			}
			l.resumeCommand(c, r.ID, r.Class)
			m.Requests = append(m.Requests, r)
		}
		l.queueEvent(decide.Relieve{Memory: m})
	})
}

// resumeCommand continues a command that was taken over.
func (l *Loop) resumeCommand(c *HandedCommand, request uint32, class int) {
	l.Books.Taken.Add(1)
	l.Books.pending.Add(1)
	h := &pendingCommand{Command: &c.Command, class: class, request: request}
	l.byID[h.ID], l.byRequest[h.request] = h, h
	for n, t := range c.Attempts {
		a := &Attempt{
			Command: h.Command, Instance: t.Instance, N: n, Deadline: t.Deadline, request: h.request,
			ended: t.Over, accepted: t.Taken, sentByOlder: !t.Over && !t.Taken,
		}
		h.attempts = append(h.attempts, a)
		a.cancelUnconfirmed.Store(t.Leaving) // for good: the older process does not forward the encoder's confirmation
		if !a.ended {
			h.outstanding++
			l.timers.Start(&a.deadlineTimer, a.Deadline, func() { l.expireAttempt(a) })
		}
	}
}

// Became processes a change of an attempt that an older process sent.
func (l *Loop) Became(f Fate) {
	l.post(func(l *Loop) {
		if l.handedOver { // handed over to a third process meanwhile
			l.otherProcess.Became(f)
			return
		}
		h := l.byID[f.ID]
		if h == nil || f.N < 0 || f.N >= len(h.attempts) || h.attempts[f.N].ended {
			return
		}
		a := h.attempts[f.N]
		if f.Leaving {
			a.Leaving()
		}
		switch a.sentByOlder, a.connIdle, a.report = false, f.Kept, f.Report; {
		case f.Taken:
			l.attemptAccepted(a)
		case f.Unusable:
			l.attemptUnusable(a)
		default:
			l.endAttempt(a, f.Outcome)
		}
	})
}

// Alone reports that the older process has exited, which closed the connections of the attempts it sent.
func (l *Loop) Alone() {
	l.post(func(l *Loop) {
		for _, h := range l.byRequest {
			for _, a := range h.attempts {
				if a.sentByOlder && !a.ended {
					l.endAttempt(a, decide.Reset)
				}
			}
		}
	})
}

// Resume reports that the newer process has exited: this one accepts commands again, with what the newer one had
// learned. The commands that were pending there are lost.
func (l *Loop) Resume(list List, given decide.Memory) {
	l.post(func(l *Loop) {
		mod, err := decide.New(l.settings)
		if err != nil {
			l.log.Error("resume", "err", err) // cannot happen: the same settings were accepted before
			return
		}
		l.mod, l.handedOver = mod, false
		l.updateInstances(list, true)
		l.queueEvent(decide.Relieve{Memory: given})
	})
}
