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

// OtherProcess connects the loop to the older and newer processes. Its methods must not block; without another process
// they do nothing.
type OtherProcess interface {
	// ForwardCallback forwards a callback that matches no attempt here. It returns false if there is no process to forward
	// it to.
	ForwardCallback(Callback) bool
	// ForwardUpdate forwards the outcome of an attempt that was sent from here to the newer process.
	ForwardUpdate(AttemptUpdate)
	// ForwardClientGone notifies the newer process that the client of a transferred command has disconnected.
	ForwardClientGone(id string)
}

// NoOtherProcess is the OtherProcess of a loop without another process.
type NoOtherProcess struct{}

// ForwardCallback returns false: there is no process to forward to.
func (NoOtherProcess) ForwardCallback(Callback) bool { return false }

// ForwardUpdate does nothing.
func (NoOtherProcess) ForwardUpdate(AttemptUpdate) {}

// ForwardClientGone does nothing.
func (NoOtherProcess) ForwardClientGone(string) {}

// AttemptUpdate is a change of an attempt that an older process sent.
type AttemptUpdate struct {
	ID            string         `json:"ID"` // of the command
	Index         int            `json:"N"`
	Accepted      bool           `json:"Taken"` // by the instance; otherwise the attempt has ended:
	Unusable      bool           `json:"Unusable"`
	CancelPending bool           `json:"Leaving"` // it has ended here, but the instance may still have it
	Outcome       decide.Outcome `json:"Outcome"`
	ConnIdle      time.Duration  `json:"Kept"`
	Report        *decide.Report `json:"Report,omitempty"`
}

// HandoverState is the state that one loop hands over to another.
type HandoverState struct {
	Module      decide.Snapshot      `json:"Module"`
	InstanceIDs map[uint32]string    `json:"Numbers"` // instance IDs by the decision module's worker IDs
	Commands    []*HandoverCommand   `json:"-"`       // each is sent as a separate message
	Names       wire.Names           `json:"Names"`
	Classes     []decide.Class       `json:"Classes"`            // indexed by class number; also earlier definitions that commands still have
	Departed    map[string]time.Time `json:"Departed,omitempty"` // IDs that are refused because their clients have left, until when
}

// HandoverCommand is a command that is handed over.
type HandoverCommand struct {
	Command
	Payload  json.RawMessage        `json:"Payload"`
	Snapshot decide.RequestSnapshot `json:"Memory"` // the decision module's state of the command; not contained in HandoverState.Module. Its key hides Command.Memory, which is not encoded
	Attempts []HandoverAttempt      `json:"Attempts"`
}

// HandoverAttempt is one attempt of a command that is handed over.
type HandoverAttempt struct {
	Instance      string    `json:"Instance"`
	Deadline      time.Time `json:"Deadline"`
	Ended         bool      `json:"Over"`
	Accepted      bool      `json:"Taken"`
	CancelPending bool      `json:"Leaving"`
	LateReports   int       `json:"LateReports"` // once it has ended; absent: any
}

// HandOver hands over all pending commands to another process by calling transfer from the loop. Afterwards this loop
// accepts nothing, and each command's client is asked to pass on its connection. If transfer fails, nothing changes.
func (l *Loop) HandOver(transfer func(HandoverState) bool) {
	l.post(func(l *Loop) {
		for len(l.events) > 0 {
			l.handleEvents()
		}
		state := HandoverState{Module: l.mod.Snapshot(), InstanceIDs: l.instanceIDs, Names: l.allNames, Departed: l.departed.until}
		classes := l.classTable()
		for _, r := range state.Module.Requests {
			if p := l.byRequest[r.ID]; p != nil && !p.answered && p.Gate == nil && !p.Reserved { // other clients have no connection that could be passed on
				r.Class = classes.numberOf(p.Class, p.definition)
				state.Commands = append(state.Commands, p.export(r))
			}
		}
		state.Module.Requests, state.Names.Classes, state.Classes = nil, classes.names, classes.classes
		if !transfer(state) {
			return
		}
		l.handedOver = true
		for _, p := range l.byRequest {
			if !p.answered {
				l.Counters.pending.Add(-1)
				p.Client.HandOver(true)
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

func (p *pendingCommand) export(r decide.RequestSnapshot) *HandoverCommand {
	payload, _ := json.Marshal(p.Payload) // plain data: encoding cannot fail
	c := &HandoverCommand{Command: p.encodableCopy(), Payload: payload, Snapshot: r}
	for _, a := range p.attempts {
		c.Attempts = append(c.Attempts, HandoverAttempt{a.Instance, a.Deadline, a.ended, a.accepted, a.cancelUnconfirmed.Load(), int(a.lateReports)})
	}
	return c
}

// ExportLearned passes the learned state to a function, for a persistent snapshot. The function must not block.
func (l *Loop) ExportLearned(save func(HandoverState)) {
	l.post(func(l *Loop) {
		state := HandoverState{Module: l.mod.Snapshot().LongLived(), InstanceIDs: maps.Clone(l.instanceIDs), Names: l.allNames, Classes: l.settings.Classes}
		save(state)
	})
}

// ImportLearned loads what an earlier process had learned before its machine was shut down, for the classes that still
// exist.
func (l *Loop) ImportLearned(state HandoverState) {
	l.post(func(l *Loop) {
		classNumbers := make([]int, len(state.Names.Classes))
		for i, name := range state.Names.Classes {
			classNumbers[i] = slices.Index(l.allNames.Classes, name)
		}
		l.queueEvent(decide.WarmStart{Snapshot: l.translateSnapshot(state, classNumbers)})
	})
}

// translateSnapshot converts the snapshot of another process's decision module, without its requests, to the
// numbers in use here. classNumbers has this loop's number for each of its classes, or -1.
func (l *Loop) translateSnapshot(state HandoverState, classNumbers []int) decide.Snapshot {
	m := state.Module
	learned, size := l.sameWorkloads(state, classNumbers), len(l.allNames.Classes)
	m.Workers = slices.Clone(m.Workers)
	for i := range m.Workers {
		w := &m.Workers[i]
		w.Worker = l.translateWorker(w.Worker, state)
		w.ClassErrors, w.ClassBars = renumberClasses(w.ClassErrors, learned, size), renumberClasses(w.ClassBars, learned, size)
	}
	m.Classes, m.Tenants = renumberClasses(m.Classes, learned, size), nil // tenants' state is relearned within seconds
	if !slices.Equal(l.allNames.Zones, state.Names.Zones) || !slices.Equal(l.allNames.Kinds, state.Names.Kinds) {
		m.Zones, m.Kinds = nil, nil
	}
	return m
}

// sameWorkloads returns those of the class numbers of which the other process's class describes the same workload as
// here, and -1 for the others: what was learned of their jobs does not hold here.
func (l *Loop) sameWorkloads(state HandoverState, classNumbers []int) []int {
	same := slices.Repeat([]int{-1}, len(classNumbers))
	for i, n := range classNumbers[:min(len(classNumbers), len(state.Classes))] {
		if n >= 0 && state.Classes[i].SameWorkload(l.settings.Classes[n]) {
			same[i] = n
		}
	}
	return same
}

// translateWorker converts a worker in another process's snapshot to the numbers in use here.
func (l *Loop) translateWorker(w decide.Worker, state HandoverState) decide.Worker {
	w.ID = l.workerID(state.InstanceIDs[w.ID])
	w.Zone, w.Kind = l.zoneNumber(nameAt(state.Names.Zones, w.Zone)), l.kindNumber(nameAt(state.Names.Kinds, w.Kind))
	return w
}

// TakeOver takes over the state of another process. Each command must have its payload and its client set again.
func (l *Loop) TakeOver(state HandoverState) {
	for _, c := range state.Commands {
		l.takenOver.Store(c.ID, &c.Command)
	}
	l.post(func(l *Loop) {
		l.departed.merge(state.Departed, time.Now())
		classNumbers, err := l.mergeClasses(state)
		if err != nil {
			l.log.Error("cannot merge the older process's classes into the settings", "err", err)
			classNumbers = nil
		}
		m := l.translateSnapshot(state, classNumbers)
		for _, c := range state.Commands {
			if l.byID[c.ID] != nil || c.Snapshot.Class < 0 || c.Snapshot.Class >= len(classNumbers) { // also received here while both processes were serving, or its class is not known
				c.Client.Answer(Answer{Verdict: Failed})
				l.takenOver.CompareAndDelete(c.ID, &c.Command)
				continue
			}
			r := l.translateRequest(c, state, classNumbers)
			l.resumeCommand(c, r.ID, r.Class)
			m.Requests = append(m.Requests, r)
		}
		l.queueEvent(decide.Restore{Snapshot: m})
	})
}

// translateRequest converts the decision module's state of a command that is taken over to the numbers in use here.
func (l *Loop) translateRequest(c *HandoverCommand, state HandoverState, classNumbers []int) decide.RequestSnapshot {
	r := c.Snapshot
	r.ID, r.Class, r.Tenant = l.newRequestID(), classNumbers[r.Class], indexOrLen(l.allNames.Tenants, c.Tenant)
	r.Candidates = nil
	for _, id := range c.Candidates {
		r.Candidates = append(r.Candidates, l.workerID(id))
	}
	r.Attempts = slices.Clone(r.Attempts)
	for i := range r.Attempts {
		r.Attempts[i].Worker = l.translateWorker(r.Attempts[i].Worker, state)
	}
	return r
}

// resumeCommand continues a command that was taken over.
func (l *Loop) resumeCommand(c *HandoverCommand, request uint32, class int) {
	l.Counters.Received.Add(1)
	l.Counters.pending.Add(1)
	p := &pendingCommand{Command: &c.Command, class: class, definition: l.settings.Classes[class], request: request}
	l.byID[p.ID], l.byRequest[p.request] = p, p
	for n, t := range c.Attempts {
		a := &Attempt{
			Command: p.Command, Instance: t.Instance, Index: n, Deadline: t.Deadline, request: p.request,
			ended: t.Ended, accepted: t.Accepted, sentByOlder: !t.Ended && !t.Accepted, lateReports: lateReports(t.LateReports),
		}
		p.attempts = append(p.attempts, a)
		a.cancelUnconfirmed.Store(t.CancelPending) // for good: the older process does not forward the instance's confirmation
		if !a.ended {
			p.outstanding++
			l.timers.Start(&a.deadlineTimer, a.Deadline, func() { l.expireAttempt(a) })
		}
	}
}

// takenOverCommand returns the pending command with this ID that was taken over, or nil. An older process's messages name a
// command by its ID only, which a later command here may have as well.
func (l *Loop) takenOverCommand(id string) *pendingCommand {
	p := l.byID[id]
	if c, ok := l.takenOver.Load(id); !ok || p == nil || p.Command != c {
		return nil
	}
	return p
}

// UpdateAttempt processes a change of an attempt that an older process sent.
func (l *Loop) UpdateAttempt(f AttemptUpdate) {
	l.post(func(l *Loop) {
		if l.handedOver { // handed over to a third process meanwhile
			l.otherProcess.ForwardUpdate(f)
			return
		}
		p := l.takenOverCommand(f.ID)
		if p == nil || f.Index < 0 || f.Index >= len(p.attempts) || p.attempts[f.Index].ended {
			return
		}
		a := p.attempts[f.Index]
		if f.CancelPending {
			a.CancelPending()
		}
		switch a.sentByOlder, a.connIdle, a.report = false, f.ConnIdle, f.Report; {
		case f.Accepted:
			l.attemptAccepted(a)
		case f.Unusable:
			l.attemptUnusable(a)
		default:
			l.endAttempt(a, f.Outcome)
		}
	})
}

// OlderProcessGone reports that the older process has exited, which closed the connections of the attempts it sent.
func (l *Loop) OlderProcessGone() {
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
func (l *Loop) Resume(list InstanceUpdate, snapshot decide.Snapshot) {
	l.post(func(l *Loop) {
		mod, err := decide.New(l.settings)
		if err != nil {
			l.log.Error("resume", "err", err) // cannot happen: the same settings were accepted before
			return
		}
		l.mod, l.handedOver = mod, false
		l.updateInstances(list, true)
		l.queueEvent(decide.Restore{Snapshot: snapshot})
	})
}
