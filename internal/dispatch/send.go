package dispatch

import (
	"time"

	"caperrelay/decide"
)

// startAttempt starts an attempt. Its deadline is the command's, or earlier if the decision module says so.
func (l *Loop) startAttempt(s decide.Send, now time.Time) {
	h := l.byRequest[s.Request]
	if h == nil {
		return
	}
	a := &Attempt{
		Command: h.Command, Instance: l.instanceIDs[s.Worker], N: len(h.attempts), Deadline: h.Deadline,
		MostIdle: s.MostIdle, Fresh: s.Fresh, request: s.Request,
	}
	if s.Timeout > 0 {
		if t := now.Add(s.Timeout); t.Before(a.Deadline) {
			a.Deadline = t
		}
	}
	if t, ok := l.leases[s.Lease]; ok {
		a.Until = t.Until
		delete(l.leases, s.Lease)
		l.leaser.Spent(t)
	}
	h.attempts = append(h.attempts, a)
	h.outstanding++
	l.Books.Sent.Add(1)
	if h.clientGone.Load() { // the disconnect message is still queued
		l.cancelCommand(h)
	}
	if h.answered || !a.Deadline.After(now) || h.mayBeAt(a.Instance, a) {
		l.endAttempt(a, decide.Moot)
		return
	}
	l.timers.Start(&a.deadlineTimer, a.Deadline, func() { l.expireAttempt(a) })
	l.sendOrWait(a)
}

// mayBeAt reports whether an instance may still have an earlier attempt of the command. A second attempt could
// otherwise overtake the cancellation of the first.
func (h *pendingCommand) mayBeAt(instance string, but *Attempt) bool {
	for _, a := range h.attempts {
		if a != but && a.Instance == instance && (!a.ended || a.cancelUnconfirmed.Load()) {
			return true
		}
	}
	return false
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
	h := l.byRequest[c.Request]
	if h == nil || c.Attempt < 0 || c.Attempt >= len(h.attempts) || h.attempts[c.Attempt].ended {
		return
	}
	a := h.attempts[c.Attempt]
	l.cancelAtInstance(a)
	l.endAttempt(a, decide.Cancelled)
}

func (l *Loop) cancelAtInstance(a *Attempt) {
	if a.gateState == gateWaiting {
		return // no instance has it
	}
	a.cancelUnconfirmed.Store(true)
	l.fleet.GiveUp(a)
}

// TakeBack cancels a job at an instance that was sent by another dispatcher, which can no longer do so itself.
func (l *Loop) TakeBack(instance, id string) {
	l.post(func(l *Loop) { l.fleet.GiveUp(&Attempt{Command: &Command{ID: id}, Instance: instance}) })
}
