package dispatch

import (
	"time"

	"caperrelay/decide"
)

// Reports of instances about attempts are relayed to the decision module and to the client. Reports about an
// attempt that has ended are dropped: they may be late or repeated.

// AttemptEnded reports how an attempt ended, other than by a callback, and how long its connection had been idle
// before; 0 for a new connection.
func (l *Loop) AttemptEnded(a *Attempt, o decide.Outcome, connIdle time.Duration) {
	l.post(func(l *Loop) {
		switch {
		case l.handedOver:
			l.otherProcess.ForwardUpdate(AttemptUpdate{ID: a.Command.ID, Index: a.Index, CancelPending: a.cancelUnconfirmed.Load(), Outcome: o, ConnIdle: connIdle, Report: a.report})
		case !a.ended:
			a.connIdle = connIdle
			l.endAttempt(a, o)
		default:
			a.reportLateEnd(o)
		}
	})
}

// CancelPending reports that the fleet itself cancels an attempt, before it reports the attempt's end.
// CancelConfirmed follows when the instance has processed it.
func (a *Attempt) CancelPending() { a.cancelUnconfirmed.Store(true) }

// AttemptSent reports that an attempt has been sent completely.
func (l *Loop) AttemptSent(*Attempt) { l.Counters.written.Add(1) }

// AttemptAccepted reports that the instance has accepted an attempt and will report its end by a callback.
func (l *Loop) AttemptAccepted(a *Attempt) {
	l.post(func(l *Loop) {
		switch {
		case l.handedOver:
			l.otherProcess.ForwardUpdate(AttemptUpdate{ID: a.Command.ID, Index: a.Index, Accepted: true})
		case !a.ended:
			l.attemptAccepted(a)
		}
	})
}

func (l *Loop) attemptAccepted(a *Attempt) {
	a.accepted = true
	l.queueEvent(decide.AttemptAccepted{Request: a.request, Attempt: a.Index})
	a.notifyStarted(false)
}

// notifyStarted notifies a client that wants to know about its command's progress.
func (a *Attempt) notifyStarted(runs bool) {
	if s, ok := a.Command.Client.(StartObserver); ok {
		s.Started(a.Instance, runs)
	}
}

// AttemptUnusable reports that an instance cannot execute a command as submitted. No other instance could either, so it
// is answered at once. Faulty input from a client must not count against an instance's health, so for the
// decision module the attempt was never made.
func (l *Loop) AttemptUnusable(a *Attempt) {
	l.post(func(l *Loop) {
		switch {
		case l.handedOver:
			l.otherProcess.ForwardUpdate(AttemptUpdate{ID: a.Command.ID, Index: a.Index, Unusable: true})
		case !a.ended:
			l.attemptUnusable(a)
		default:
			a.reportLateEnd(decide.NotSent)
		}
	})
}

func (l *Loop) attemptUnusable(a *Attempt) {
	if p := l.byRequest[a.request]; !p.answered {
		l.answer(p, Answer{Verdict: Unusable})
	}
	l.endAttempt(a, decide.NotSent)
}

// ProbeEnded reports the result of a probe.
func (l *Loop) ProbeEnded(instance string, o decide.Outcome, report *decide.Report) {
	l.post(func(l *Loop) { l.queueEvent(decide.Probed{Worker: l.workerID(instance), Outcome: o, Report: report}) })
}

// attemptServed ends an attempt successfully. The first result of a command is its answer.
func (l *Loop) attemptServed(a *Attempt, answer Answer) {
	answer.Instance = a.Instance
	if p := l.byRequest[a.request]; !p.answered {
		l.answer(p, answer)
	}
	l.endAttempt(a, decide.OK)
}

// endAttempt records an attempt's one outcome.
func (l *Loop) endAttempt(a *Attempt, o decide.Outcome) {
	p := l.byRequest[a.request]
	l.timers.Stop(&a.deadlineTimer) // a timer that stays set would keep the command in memory until the deadline
	a.ended = true
	p.outstanding--
	o = l.settleGate(a, o)
	a.lateReports = lateReportsAfter(o)
	l.Counters.countOutcome(o)
	l.queueEvent(decide.AttemptEnded{Request: a.request, Attempt: a.Index, Outcome: o, RequestEnded: p.answered, ConnIdle: a.connIdle, Report: a.report})
	l.removeIfDone(p)
}

// AttemptStarted reports that the instance runs an attempt, if it reports that other than by a callback.
func (l *Loop) AttemptStarted(a *Attempt) {
	l.post(func(l *Loop) {
		if !a.ended {
			l.queueEvent(decide.JobStarted{Request: a.request, Attempt: a.Index})
			a.notifyStarted(true)
		}
	})
}

// LoadReported reports the instance's load figures that arrive with an attempt's end. It must be called before that
// end is reported.
func (l *Loop) LoadReported(a *Attempt, r decide.Report) { l.post(func(*Loop) { a.report = &r }) }

// AttemptServed reports that an attempt was served directly by its response, with this value.
func (l *Loop) AttemptServed(a *Attempt, value any) {
	l.post(func(l *Loop) {
		if !a.ended {
			l.attemptServed(a, Answer{Verdict: Served, Value: value})
		}
	})
}

func (l *Loop) refuseRequest(r decide.Refuse) {
	if p := l.byRequest[r.Request]; p != nil && !p.answered {
		l.answer(p, Answer{Verdict: Refused, RetryAfter: r.RetryAfter})
	}
}

func (l *Loop) failRequest(f decide.FailRequest) {
	p := l.byRequest[f.Request]
	if p == nil || p.answered {
		return
	}
	v := Failed
	if p.cannotHaveRun() { // the decision module does not track gates
		v = Refused
		for _, a := range p.attempts {
			if !a.ended {
				l.endAttempt(a, decide.NotSent)
			}
		}
	}
	l.answer(p, Answer{Verdict: v})
}
