package dispatch

import (
	"slices"
	"time"

	"caperrelay/decide"
)

// startAttempt starts an attempt. Its deadline is the command's, or earlier if the decision module says so.
func (l *Loop) startAttempt(s decide.Send, now time.Time) {
	p := l.byRequest[s.Request]
	if p == nil {
		return
	}
	a := &Attempt{
		Command: p.Command, Instance: l.instanceIDs[s.Worker], Index: len(p.attempts), Deadline: p.Deadline,
		MaxIdle: s.MaxIdle, NewConn: s.NewConn, Settled: s.SettledConn, request: s.Request,
	}
	if s.Timeout > 0 {
		if t := now.Add(s.Timeout); t.Before(a.Deadline) {
			a.Deadline = t
		}
	}
	if t, ok := l.leases[s.Lease]; ok {
		a.SendUntil = t.Until
		delete(l.leases, s.Lease)
		l.leaser.Spent(t)
	}
	p.limitSending(s.SendWithin, now)
	p.attempts = append(p.attempts, a)
	p.outstanding++
	l.Counters.Sent.Add(1)
	if p.clientGone.Load() { // the disconnect message is still queued
		l.cancelCommand(p)
	}
	if p.answered || !a.Deadline.After(now) || p.mayBeAt(a.Instance, a) || !l.settings.Limits.ParallelAttempts && p.awaitsCancel() {
		l.endAttempt(a, decide.NotSent)
		return
	}
	l.timers.Start(&a.deadlineTimer, a.Deadline, func() { l.expireAttempt(a) })
	l.sendOrWait(a)
}

// limitSending sets the time in which all attempts of a command that are not sent yet must be sent; 0: no limit.
func (c *Command) limitSending(within time.Duration, now time.Time) {
	if within <= 0 {
		c.sendBefore.Store(nil)
		return
	}
	limit := now.Add(within)
	c.sendBefore.Store(&limit)
}

// mayBeAt reports whether an instance may still have an earlier attempt of the command. A second attempt could
// otherwise overtake the cancellation of the first.
func (p *pendingCommand) mayBeAt(instance string, except *Attempt) bool {
	for _, a := range p.attempts {
		if a != except && a.Instance == instance && (!a.ended || a.cancelUnconfirmed.Load()) {
			return true
		}
	}
	return false
}

// awaitsCancel reports whether an instance that has accepted an attempt may not have been told yet that it is cancelled.
// One that has not accepted it is told by the end of the connection, at once.
func (p *pendingCommand) awaitsCancel() bool {
	return slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return a.ended && a.accepted && a.cancelUnconfirmed.Load() })
}

// expireAttempt ends an attempt that has had no result by its deadline.
func (l *Loop) expireAttempt(a *Attempt) {
	if !a.ended {
		l.cancelAtInstance(a)
		l.endAttempt(a, decide.TimedOut)
	}
}

// cancelAttempt cancels an attempt at the decision module's request.
func (l *Loop) cancelAttempt(c decide.Cancel) {
	p := l.byRequest[c.Request]
	if p == nil || c.Attempt < 0 || c.Attempt >= len(p.attempts) || p.attempts[c.Attempt].ended {
		return
	}
	a := p.attempts[c.Attempt]
	l.cancelAtInstance(a)
	l.endAttempt(a, decide.Cancelled)
}

func (l *Loop) cancelAtInstance(a *Attempt) {
	if a.gateState == gateWaiting {
		return // no instance has it
	}
	a.cancelUnconfirmed.Store(true)
	l.fleet.Cancel(a)
}

// CancelJob cancels a job at an instance that was sent by another dispatcher, which can no longer do so itself.
func (l *Loop) CancelJob(instance, id string) {
	l.post(func(l *Loop) { l.fleet.Cancel(&Attempt{Command: &Command{ID: id}, Instance: instance}) })
}
