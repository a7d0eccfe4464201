package dispatch

import (
	"time"

	"caperrelay/decide"
)

// Reports of instances about attempts are relayed to the decision module and to the client. Reports about an
// attempt that has ended are dropped: they may be late or repeated.

// Ended reports how an attempt ended, other than by a callback, and how long its connection had been idle
// before; 0 for a new connection.
func (l *Loop) Ended(a *Attempt, o decide.Outcome, connIdle time.Duration) {
	l.post(func(l *Loop) {
		switch {
		case l.handedOver:
			l.otherProcess.Became(Fate{ID: a.Command.ID, N: a.N, Leaving: a.cancelUnconfirmed.Load(), Outcome: o, Kept: connIdle, Report: a.report})
		case !a.ended:
			a.connIdle = connIdle
			l.endAttempt(a, o)
		default:
			a.reportLateEnd(o)
		}
	})
}

// Leaving reports that the fleet itself cancels an attempt, before it reports the attempt's end. Confirmed
// follows when the instance has processed it.
func (a *Attempt) Leaving() { a.cancelUnconfirmed.Store(true) }

// Written reports that an attempt has been sent completely.
func (l *Loop) Written(*Attempt) { l.Books.written.Add(1) }

// Taken reports that the instance has accepted an attempt with status 202.
func (l *Loop) Taken(a *Attempt) {
	l.post(func(l *Loop) {
		switch {
		case l.handedOver:
			l.otherProcess.Became(Fate{ID: a.Command.ID, N: a.N, Taken: true})
		case !a.ended:
			l.attemptAccepted(a)
		}
	})
}

func (l *Loop) attemptAccepted(a *Attempt) {
	a.accepted = true
	l.queueEvent(decide.AttemptAccepted{Request: a.request, Attempt: a.N})
	a.notifyStarted(false)
}

// notifyStarted notifies a client that wants to know about its command's progress.
func (a *Attempt) notifyStarted(runs bool) {
	if s, ok := a.Command.Client.(Starter); ok {
		s.Started(a.Instance, runs)
	}
}

// Unusable reports that an instance cannot execute a command as submitted. No other instance could either, so it
// is answered at once. Faulty input from a client must not count against an instance's health, so for the
// decision module the attempt was never made.
func (l *Loop) Unusable(a *Attempt) {
	l.post(func(l *Loop) {
		switch {
		case l.handedOver:
			l.otherProcess.Became(Fate{ID: a.Command.ID, N: a.N, Unusable: true})
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

// Probed reports the result of a probe.
func (l *Loop) Probed(instance string, o decide.Outcome, report *decide.Report) {
	l.post(func(l *Loop) { l.queueEvent(decide.Probed{Worker: l.workerID(instance), Outcome: o, Report: report}) })
}

// News is a callback of an instance about a job.
type News struct {
	ID     string         `json:"ID"`   // of the command
	From   string         `json:"From"` // of the instance
	State  NewsState      `json:"State"`
	Share  float64        `json:"Share"`            // of a running job
	Result []byte         `json:"Result"`           // of a job that is done
	Report *decide.Report `json:"Report,omitempty"` // of the instance, if the callback ends the attempt
	Via    Process        `json:"-"`
}

// Process is where a callback was received.
type Process int

// The processes.
const (
	This Process = iota // received from an instance directly
	OlderProcess
	NewerProcess
)

// NewsState is the state of a job.
type NewsState int

// The states of a job.
const (
	Started  NewsState = iota
	Running            // Share is the progress
	Done               // Result is the result
	Errored            // the job failed
	Returned           // returned without having been started
	Lost               // the job was killed
)

// News processes a callback. It may arrive before the instance's acceptance of the job, repeatedly, late, or for
// a command from before a restart.
func (l *Loop) News(n News) { l.post(func(l *Loop) { l.handleCallback(n) }) }

func (l *Loop) handleCallback(n News) {
	a := l.openAttemptAt(n.ID, n.From)
	if a == nil {
		if l.onUnmatched != nil && !l.handedOver && l.onUnmatched(n) {
			return
		}
		if l.byID[n.ID] != nil || !l.otherProcess.Elsewhere(n) {
			l.Books.StrayNews.Add(1)
		}
		return
	}
	if n.Report != nil {
		a.report = n.Report
	}
	switch n.State {
	case Started:
		l.queueEvent(decide.JobStarted{Request: a.request, Attempt: a.N})
		a.notifyStarted(true)
	case Running:
		l.queueEvent(decide.JobProgress{Request: a.request, Attempt: a.N, Share: n.Share})
	case Done:
		l.attemptServed(a, Answer{Verdict: Served, Result: n.Result})
	case Errored:
		l.endAttempt(a, decide.Errored)
	case Returned:
		l.endAttempt(a, decide.Full)
	case Lost:
		l.endAttempt(a, decide.Reset)
	}
}

// openAttemptAt returns the open attempt of a command at an instance, or nil.
func (l *Loop) openAttemptAt(id, instance string) *Attempt {
	p := l.byID[id]
	if p == nil {
		return nil
	}
	for _, a := range p.attempts {
		if a.Instance == instance && !a.ended {
			return a
		}
	}
	return nil
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
	l.Books.countOutcome(o)
	l.queueEvent(decide.AttemptEnded{Request: a.request, Attempt: a.N, Outcome: o, RequestEnded: p.answered, ConnIdle: a.connIdle, Report: a.report})
	l.removeIfDone(p)
}

// Began reports that the instance runs an attempt, if it reports that other than by a callback.
func (l *Loop) Began(a *Attempt) {
	l.post(func(l *Loop) {
		if !a.ended {
			l.queueEvent(decide.JobStarted{Request: a.request, Attempt: a.N})
			a.notifyStarted(true)
		}
	})
}

// Loaded reports the instance's load figures that arrive with an attempt's end. It must be called before that
// end is reported.
func (l *Loop) Loaded(a *Attempt, r decide.Report) { l.post(func(*Loop) { a.report = &r }) }

// Finished reports that an attempt was served directly by its response, with this value.
func (l *Loop) Finished(a *Attempt, value any) {
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
	if p.neverSent() { // the decision module does not track gates
		v = Refused
		for _, a := range p.attempts {
			if !a.ended {
				l.endAttempt(a, decide.NotSent)
			}
		}
	}
	l.answer(p, Answer{Verdict: v})
}
