package dispatch

import (
	"time"

	"caperrelay/decide"
)

// The relay stage takes what instances say of attempts, to the module and to the
// service client. Word of an attempt that has ended is dropped: it may be late or repeated.

// Ended says how an attempt ended, other than by a call-back, and how long the connection
// that it went out on had been idle before, 0 for a new one.
func (l *Loop) Ended(a *Attempt, o decide.Outcome, kept time.Duration) {
	l.post(func(l *Loop) {
		switch {
		case l.yielded:
			l.other.Became(Fate{ID: a.Command.ID, N: a.N, Leaving: a.leaving.Load(), Outcome: o, Kept: kept, Report: a.report})
		case !a.over:
			a.kept = kept
			l.end(a, o)
		default:
			a.neverAfter(o)
		}
	})
}

// Leaving says that the fleet gives an attempt up by itself, before it tells of its end. Confirmed follows once the instance
// knows.
func (a *Attempt) Leaving() { a.leaving.Store(true) }

// Written says that an attempt has gone out whole.
func (l *Loop) Written(*Attempt) { l.Books.written.Add(1) }

// Taken says that the instance has an attempt: its 202 came.
func (l *Loop) Taken(a *Attempt) {
	l.post(func(l *Loop) {
		switch {
		case l.yielded:
			l.other.Became(Fate{ID: a.Command.ID, N: a.N, Taken: true})
		case !a.over:
			l.taken(a)
		}
	})
}

func (l *Loop) taken(a *Attempt) {
	a.taken = true
	l.tell(decide.Taken{Request: a.request, Attempt: a.N})
	a.started(false)
}

// started tells a client that wants to know how far its command is.
func (a *Attempt) started(runs bool) {
	if s, ok := a.Command.Client.(Starter); ok {
		s.Started(a.Instance, runs)
	}
}

// Unusable says that an instance can't use a command as it stands: another could not either,
// so it is answered at once. What a service client sends must not count against an instance's
// health: for the module the attempt was never made.
func (l *Loop) Unusable(a *Attempt) {
	l.post(func(l *Loop) {
		switch {
		case l.yielded:
			l.other.Became(Fate{ID: a.Command.ID, N: a.N, Unusable: true})
		case !a.over:
			l.unusable(a)
		default:
			a.neverAfter(decide.Moot)
		}
	})
}

func (l *Loop) unusable(a *Attempt) {
	if h := l.requests[a.request]; !h.answered {
		l.answer(h, Answer{Verdict: Unusable})
	}
	l.end(a, decide.Moot)
}

// Probed is the answer to a probe.
func (l *Loop) Probed(instance string, o decide.Outcome, report *decide.Report) {
	l.post(func(l *Loop) { l.tell(decide.Probed{Worker: l.number(instance), Outcome: o, Report: report}) })
}

// News is what an instance tells of a job by call-back.
type News struct {
	// ID is the command's, From the instance's.
	ID     string         `json:"ID"`
	From   string         `json:"From"`
	State  NewsState      `json:"State"`
	Share  float64        `json:"Share"`            // of a running job
	Result []byte         `json:"Result"`           // of one that is done
	Report *decide.Report `json:"Report,omitempty"` // of the instance, with word that ends an attempt
	Via    Process        `json:"-"`
}

// Process is where word of an instance came from.
type Process int

// The processes.
const (
	This Process = iota // an instance told this one
	OlderProcess
	NewerProcess
)

// NewsState is what has become of a job.
type NewsState int

// The states of a job.
const (
	Started  NewsState = iota
	Running            // Share is done
	Done               // Result is its result
	Errored            // it failed
	Returned           // handed back unstarted
	Lost               // it was killed
)

// News takes a call-back. It may come before the word that the instance took the job, more
// than once, late, or for a command of before a restart.
func (l *Loop) News(n News) { l.post(func(l *Loop) { l.news(n) }) }

func (l *Loop) news(n News) {
	a := l.outAt(n.ID, n.From)
	if a == nil {
		if l.strays != nil && !l.yielded && l.strays(n) {
			return
		}
		if l.ids[n.ID] != nil || !l.other.Elsewhere(n) {
			l.Books.StrayNews.Add(1)
		}
		return
	}
	if n.Report != nil {
		a.report = n.Report
	}
	switch n.State {
	case Started:
		l.tell(decide.JobStarted{Request: a.request, Attempt: a.N})
		a.started(true)
	case Running:
		l.tell(decide.JobProgress{Request: a.request, Attempt: a.N, Share: n.Share})
	case Done:
		l.served(a, Answer{Verdict: Served, Result: n.Result})
	case Errored:
		l.end(a, decide.Errored)
	case Returned:
		l.end(a, decide.Full)
	case Lost:
		l.end(a, decide.Reset)
	}
}

// outAt is the attempt of a command that is out at an instance, if there is one.
func (l *Loop) outAt(id, instance string) *Attempt {
	h := l.ids[id]
	if h == nil {
		return nil
	}
	for _, a := range h.attempts {
		if a.Instance == instance && !a.over {
			return a
		}
	}
	return nil
}

// served ends an attempt well. The first result of a command is its answer.
func (l *Loop) served(a *Attempt, with Answer) {
	with.Instance = a.Instance
	if h := l.requests[a.request]; !h.answered {
		l.answer(h, with)
	}
	l.end(a, decide.OK)
}

// end takes an attempt's one outcome.
func (l *Loop) end(a *Attempt, o decide.Outcome) {
	h := l.requests[a.request]
	l.timers.Stop(&a.deadline) // or it would keep the command until then
	a.over = true
	h.out--
	o = l.never(a, o)
	l.Books.outcome(o)
	l.tell(decide.AttemptEnded{Request: a.request, Attempt: a.N, Outcome: o, Over: h.answered, Kept: a.kept, Report: a.report})
	l.forget(h)
}

// Began says that the instance runs an attempt, where it tells so by itself and not by a call-back.
func (l *Loop) Began(a *Attempt) {
	l.post(func(l *Loop) {
		if !a.over {
			l.tell(decide.JobStarted{Request: a.request, Attempt: a.N})
			a.started(true)
		}
	})
}

// Loaded takes an instance's own figures, which come with an attempt's end. It is called before that is told.
func (l *Loop) Loaded(a *Attempt, r decide.Report) { l.post(func(*Loop) { a.report = &r }) }

// Finished says that an attempt was served by an answer to it, and with what.
func (l *Loop) Finished(a *Attempt, value any) {
	l.post(func(l *Loop) {
		if !a.over {
			l.served(a, Answer{Verdict: Served, Value: value})
		}
	})
}

func (l *Loop) refuse(r decide.Refuse) {
	if h := l.requests[r.Request]; h != nil && !h.answered {
		l.answer(h, Answer{Verdict: Refused, RetryAfter: r.RetryAfter})
	}
}

func (l *Loop) fail(f decide.FailRequest) {
	h := l.requests[f.Request]
	if h == nil || h.answered {
		return
	}
	v := Failed
	if h.unsent() { // the module knows of no gates
		v = Refused
		for _, a := range h.attempts {
			if !a.over {
				l.end(a, decide.Moot)
			}
		}
	}
	l.answer(h, Answer{Verdict: v})
}
