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
	ID       string         `json:"ID"` // of the command
	N        int            `json:"N"`
	Taken    bool           `json:"Taken"` // by the instance; otherwise the attempt has ended:
	Unusable bool           `json:"Unusable"`
	Leaving  bool           `json:"Leaving"` // it has ended here, but the encoder may still have it
	Outcome  decide.Outcome `json:"Outcome"`
	Kept     time.Duration  `json:"Kept"`
	Report   *decide.Report `json:"Report,omitempty"`
}

// Handed is the state that one loop hands over to another.
type Handed struct {
	Module   decide.Snapshot   `json:"Module"`
	Numbers  map[uint32]string `json:"Numbers"` // instance IDs by the decision module's worker IDs
	Commands []*HandedCommand  `json:"-"`       // each is sent as a separate message
	Names    wire.Names        `json:"Names"`
	Classes  []decide.Class    `json:"Classes"` // indexed by class number
}

// HandedCommand is a command that is handed over.
type HandedCommand struct {
	Command
	Payload  json.RawMessage        `json:"Payload"`
	Memory   decide.RequestSnapshot `json:"Memory"` // of the decision module; not contained in Handed.Module
	Attempts []HandedAttempt        `json:"Attempts"`
}

// HandedAttempt is one attempt of a command that is handed over.
type HandedAttempt struct {
	Instance string    `json:"Instance"`
	Deadline time.Time `json:"Deadline"`
	Over     bool      `json:"Over"`
	Taken    bool      `json:"Taken"`
	Leaving  bool      `json:"Leaving"`
}

// Yield hands over all pending commands to another process by calling transfer from the loop. Afterwards this loop
// accepts nothing, and each command's client is asked to pass on its connection. If transfer fails, nothing changes.
func (l *Loop) Yield(transfer func(Handed) bool) {
	l.post(func(l *Loop) {
		for len(l.events) > 0 {
			l.handleEvents()
		}
		state := Handed{Module: l.mod.Snapshot(), Numbers: l.instanceIDs, Names: l.allNames, Classes: l.settings.Classes}
		for _, r := range state.Module.Requests {
			if p := l.byRequest[r.ID]; p != nil && !p.answered && p.Gate == nil && !p.Held { // other clients have no connection that could be passed on
				state.Commands = append(state.Commands, p.export(r))
			}
		}
		state.Module.Requests = nil
		if !transfer(state) {
			return
		}
		l.handedOver = true
		for _, p := range l.byRequest {
			if !p.answered {
				l.Books.pending.Add(-1)
				p.Client.Pass(true)
			}
			for _, a := range p.attempts { // the newer process owns their outcomes, even after it has died
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

func (p *pendingCommand) export(r decide.RequestSnapshot) *HandedCommand {
	payload, _ := json.Marshal(p.Payload) // plain data: encoding cannot fail
	c := &HandedCommand{Command: p.encodableCopy(), Payload: payload, Memory: r}
	for _, a := range p.attempts {
		c.Attempts = append(c.Attempts, HandedAttempt{a.Instance, a.Deadline, a.ended, a.accepted, a.cancelUnconfirmed.Load()})
	}
	return c
}

// Learned passes the learned state to a function, for a persistent snapshot. The function must not block.
func (l *Loop) Learned(save func(Handed)) {
	l.post(func(l *Loop) {
		state := Handed{Module: l.mod.Snapshot().LongLived(), Numbers: maps.Clone(l.instanceIDs), Names: l.allNames, Classes: l.settings.Classes}
		save(state)
	})
}

// Advise loads what an earlier process had learned before its machine was shut down, for the classes that still
// exist.
func (l *Loop) Advise(state Handed) {
	l.post(func(l *Loop) {
		classNumbers := make([]int, len(state.Names.Classes))
		for i, name := range state.Names.Classes {
			classNumbers[i] = slices.Index(l.allNames.Classes, name)
		}
		l.queueEvent(decide.WarmStart{Snapshot: l.translateMemory(state, classNumbers)})
	})
}

// translateMemory converts another process's memory, without its requests, to the numbers in use here. classNumbers has
// this loop's number for each of its classes, or -1.
func (l *Loop) translateMemory(state Handed, classNumbers []int) decide.Snapshot {
	m := state.Module
	for i := range m.Workers {
		m.Workers[i].Worker = l.translateWorker(m.Workers[i].Worker, state)
	}
	known := make([]decide.ClassSnapshot, len(l.allNames.Classes))
	for i, c := range m.Classes[:min(len(m.Classes), len(classNumbers))] {
		if classNumbers[i] >= 0 && i < len(state.Classes) && state.Classes[i].SameWorkload(l.settings.Classes[classNumbers[i]]) {
			known[classNumbers[i]] = c
		}
	}
	m.Classes, m.Tenants = known, nil // tenants' state is relearned within seconds
	if !slices.Equal(l.allNames.Zones, state.Names.Zones) || !slices.Equal(l.allNames.Kinds, state.Names.Kinds) {
		m.Zones, m.Kinds = nil, nil
	}
	return m
}

// translateWorker converts a worker in another process's memory to the numbers in use here.
func (l *Loop) translateWorker(w decide.Worker, state Handed) decide.Worker {
	w.ID = l.workerID(state.Numbers[w.ID])
	w.Zone, w.Kind = l.zoneNumber(nameAt(state.Names.Zones, w.Zone)), l.kindNumber(nameAt(state.Names.Kinds, w.Kind))
	return w
}

// Relieve takes over the state of another process. Each command must have its payload and its client set again.
func (l *Loop) Relieve(state Handed) {
	for _, c := range state.Commands {
		l.takenOver.Store(c.ID, &c.Command)
	}
	l.post(func(l *Loop) {
		classNumbers := l.mergeClasses(state)
		m := l.translateMemory(state, classNumbers)
		for _, c := range state.Commands {
			if l.byID[c.ID] != nil { // also received here while both processes were serving
				c.Client.Answer(Answer{Verdict: Failed})
				l.takenOver.CompareAndDelete(c.ID, &c.Command)
				continue
			}
			r := c.Memory
			r.ID, r.Class = l.newRequestID(), classNumbers[r.Class]
			for i := range r.Attempts {
				r.Attempts[i].Worker = l.translateWorker(r.Attempts[i].Worker, state)
			}
			l.resumeCommand(c, r.ID, r.Class)
			m.Requests = append(m.Requests, r)
		}
		l.queueEvent(decide.Restore{Snapshot: m})
	})
}

// resumeCommand continues a command that was taken over.
func (l *Loop) resumeCommand(c *HandedCommand, request uint32, class int) {
	l.Books.Taken.Add(1)
	l.Books.pending.Add(1)
	p := &pendingCommand{Command: &c.Command, class: class, request: request}
	l.byID[p.ID], l.byRequest[p.request] = p, p
	for n, t := range c.Attempts {
		a := &Attempt{
			Command: p.Command, Instance: t.Instance, N: n, Deadline: t.Deadline, request: p.request,
			ended: t.Over, accepted: t.Taken, sentByOlder: !t.Over && !t.Taken,
		}
		p.attempts = append(p.attempts, a)
		a.cancelUnconfirmed.Store(t.Leaving) // for good: the older process does not forward the encoder's confirmation
		if !a.ended {
			p.outstanding++
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
		p := l.byID[f.ID]
		if p == nil || f.N < 0 || f.N >= len(p.attempts) || p.attempts[f.N].ended {
			return
		}
		a := p.attempts[f.N]
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
		for _, p := range l.byRequest {
			for _, a := range p.attempts {
				if a.sentByOlder && !a.ended {
					l.endAttempt(a, decide.Reset)
				}
			}
		}
	})
}

// Resume reports that the newer process has exited: this one accepts commands again, with what the newer one had
// learned. The commands that were pending there are lost.
func (l *Loop) Resume(list List, memory decide.Snapshot) {
	l.post(func(l *Loop) {
		mod, err := decide.New(l.settings)
		if err != nil {
			l.log.Error("resume", "err", err) // cannot happen: the same settings were accepted before
			return
		}
		l.mod, l.handedOver = mod, false
		l.updateInstances(list, true)
		l.queueEvent(decide.Restore{Snapshot: memory})
	})
}
