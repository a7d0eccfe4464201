package dispatch

import (
	"time"

	"caperrelay/decide"
)

// send starts an attempt. Its deadline is the command's, or sooner where the module says so.
func (l *Loop) send(s decide.Send, now time.Time) {
	h := l.requests[s.Request]
	if h == nil {
		return
	}
	a := &Attempt{
		Command: h.Command, Instance: l.workers[s.Worker], N: len(h.attempts), Deadline: h.Deadline,
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
	h.out++
	l.Books.Sent.Add(1)
	if h.left.Load() { // word of it is on its way to the loop
		l.lapse(h)
	}
	if h.answered || !a.Deadline.After(now) || h.at(a.Instance, a) {
		l.end(a, decide.Moot)
		return
	}
	l.timers.Start(&a.deadline, a.Deadline, func() { l.expire(a) })
	l.let(a)
}

// at tells whether an instance may still hold an earlier attempt of the command. It guards
// against a second one overtaking the word that the first is given up.
func (h *held) at(instance string, but *Attempt) bool {
	for _, a := range h.attempts {
		if a != but && a.Instance == instance && (!a.over || a.leaving.Load()) {
			return true
		}
	}
	return false
}

// expire ends an attempt at its deadline: nothing has come back.
func (l *Loop) expire(a *Attempt) {
	if !a.over {
		l.giveUp(a)
		l.end(a, decide.TimedOut)
	}
}

// cancel ends an attempt on the module's word.
func (l *Loop) cancel(c decide.Cancel) {
	h := l.requests[c.Request]
	if h == nil || c.Attempt < 0 || c.Attempt >= len(h.attempts) || h.attempts[c.Attempt].over {
		return
	}
	a := h.attempts[c.Attempt]
	l.giveUp(a)
	l.end(a, decide.Cancelled)
}

func (l *Loop) giveUp(a *Attempt) {
	if a.gate == waits {
		return // nobody has it
	}
	a.leaving.Store(true)
	l.fleet.GiveUp(a)
}

// TakeBack has an instance drop a job that another dispatcher has sent there, which cannot do so itself any more.
func (l *Loop) TakeBack(instance, id string) {
	l.post(func(l *Loop) { l.fleet.GiveUp(&Attempt{Command: &Command{ID: id}, Instance: instance}) })
}
