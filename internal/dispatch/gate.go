package dispatch

import (
	"slices"

	"caperrelay/decide"
)

// Attempts of a command with a [Gate] wait there until the permission to send them is committed. By then the
// decision module has already decided whether there is an attempt and which instance gets it; the loop does not
// wait.

// Gate is asked before an attempt of a command is sent. Its methods must not block, since the loop calls them.
type Gate interface {
	// RequestSend requests permission to send an attempt, which waits until [Loop.AllowSend] or [Loop.DenySend] is called with it.
	RequestSend(*Attempt)
	// Begin is called immediately before the first byte of an attempt. If it returns false, the attempt must not be
	// sent. It may be called by any goroutine.
	Begin(*Attempt) bool
	// NeverRan reports that an attempt that permission was requested for has ended without having run.
	NeverRan(*Attempt)
}

// gateState is the state of an attempt at its command's gate.
type gateState int

const (
	gateNone    gateState = iota // there is no gate, permission was not requested, or the attempt has ended
	gateWaiting                  // nothing has been sent
	gatePassed                   // it may run
)

// OnUnmatchedCallback registers a handler for callbacks that match no pending attempt. It returns false if it does not
// handle the callback. Handlers registered earlier are called first. It must be called before Run, and f must
// not block.
func (l *Loop) OnUnmatchedCallback(f func(Callback) bool) {
	if before := l.onUnmatched; before != nil {
		l.onUnmatched = func(n Callback) bool { return before(n) || f(n) }
		return
	}
	l.onUnmatched = f
}

// PersistCallbacksWith registers a function that persists callbacks before they are acknowledged; f may block briefly. It must
// be called before Run.
func (l *Loop) PersistCallbacksWith(f func(Callback) bool) { l.persist = f }

// PersistCallback is called before a callback is acknowledged, by its receiver. If it returns false, the callback must not
// be acknowledged, so that the instance repeats it.
func (l *Loop) PersistCallback(n Callback) bool { return l.persist == nil || l.persist(n) }

// sendOrWait sends an attempt, or has it wait at its gate.
func (l *Loop) sendOrWait(a *Attempt) {
	g := a.Command.Gate
	if g == nil {
		l.fleet.Send(a)
		return
	}
	a.gateState = gateWaiting
	g.RequestSend(a)
}

// AllowSend sends an attempt that waits at its gate, unless it has ended meanwhile, provided that permitted returns true.
// The sender calls permitted as late as possible; it must not block.
func (l *Loop) AllowSend(a *Attempt, permitted func() bool) {
	l.post(func(l *Loop) {
		if l.handedOver || a.ended || a.gateState != gateWaiting {
			return
		}
		if a.Command.clientGone.Load() { // the disconnect message is still queued
			l.cancelCommand(l.byRequest[a.request])
			l.endAttempt(a, decide.NotSent)
			return
		}
		a.gateState, a.permitted = gatePassed, permitted
		l.queueEvent(decide.AttemptSent{Request: a.request, Attempt: a.Index})
		l.fleet.Send(a)
	})
}

// DenySend ends an attempt that waits at its gate. It is never sent.
func (l *Loop) DenySend(a *Attempt) {
	l.post(func(l *Loop) {
		if !l.handedOver && !a.ended && a.gateState == gateWaiting {
			l.endAttempt(a, decide.NotSent)
		}
	})
}

// settleGate notifies the gate if an attempt has ended without having run. It returns the outcome for the
// decision module: an attempt that was never sent says nothing about an instance.
func (l *Loop) settleGate(a *Attempt, o decide.Outcome) decide.Outcome {
	if a.gateState == gateWaiting {
		o = decide.NotSent
	}
	if a.gateState != gateNone && o.NeverRan() {
		a.Command.Gate.NeverRan(a)
	}
	if a.gateState == gatePassed && (o == decide.Cancelled || o == decide.TimedOut) { // the fleet may still report that it was never sent
		a.gateReportDue = true
	}
	a.gateState, a.neverRan = gateNone, o.NeverRan()
	return o
}

// reportLateEnd notifies the gate if an attempt that was abandoned or cancelled earlier turns out not to have
// run.
func (a *Attempt) reportLateEnd(o decide.Outcome) {
	if a.gateReportDue && o.NeverRan() {
		a.Command.Gate.NeverRan(a)
	}
	a.gateReportDue = false
}

// cannotHaveRun reports whether nothing of a command with a gate can have run: all of its attempts wait there, or
// have ended without having run.
func (p *pendingCommand) cannotHaveRun() bool {
	return p.Gate != nil && !slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return a.ended && !a.neverRan || !a.ended && a.gateState != gateWaiting })
}

// Abandon drops a command whose attempts are no longer managed by this process. Nothing more is sent, not even
// cancellations: instances continue the attempts they have.
func (l *Loop) Abandon(c *Command) {
	l.post(func(l *Loop) {
		p := l.byID[c.ID]
		if l.handedOver || p == nil || p.Command != c {
			return
		}
		if !p.answered {
			l.Counters.Cancelled.Add(1)
			l.markAnswered(p)
		}
		for _, a := range p.attempts {
			if !a.ended {
				a.gateReportDue = a.gateState == gatePassed
				a.gateState = gateNone
				l.endAttempt(a, decide.Cancelled)
			}
		}
		l.queueEvent(decide.RequestCancelled{Request: p.request})
	})
}
