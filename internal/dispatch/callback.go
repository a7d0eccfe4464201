package dispatch

import "caperrelay/decide"

// Callbacks name a command and an instance. They are assigned to the attempt that they report on.

// Callback is a callback of an instance about a job.
type Callback struct {
	ID     string         `json:"ID"`   // of the command
	From   string         `json:"From"` // of the instance
	State  JobState       `json:"State"`
	Share  float64        `json:"Share"`            // of a running job
	Result []byte         `json:"Result"`           // of a job that is done
	Report *decide.Report `json:"Report,omitempty"` // of the instance, if the callback ends the attempt
	Via    Origin         `json:"-"`
	// Connection identifies the connection on which the instance reported Returned, in this process; 0: not known.
	Connection uint64 `json:"-"`
}

// Origin is where a callback was received.
type Origin int

// The origins.
const (
	FromInstance Origin = iota // received from an instance directly
	FromOlderProcess
	FromNewerProcess
)

// JobState is the state of a job.
type JobState int

// The states of a job.
const (
	Started  JobState = iota
	Running           // Share is the progress
	Done              // Result is the result
	Errored           // the job failed
	Returned          // returned without having been started
	Lost              // the job was killed
)

// HandleCallback processes a callback. It may arrive before the instance's acceptance of the job, repeatedly, late, or for
// a command from before a restart.
func (l *Loop) HandleCallback(n Callback) { l.post(func(l *Loop) { l.handleCallback(n) }) }

func (l *Loop) handleCallback(n Callback) {
	a := l.openAttemptAt(n.ID, n.From)
	if a == nil {
		if l.onUnmatched != nil && !l.handedOver && l.onUnmatched(n) {
			return
		}
		if l.byID[n.ID] != nil || !l.otherProcess.ForwardCallback(n) {
			l.Counters.UnmatchedCallbacks.Add(1)
		}
		return
	}
	a.accepted = true // even if its response is still under way
	if n.Report != nil {
		a.report = n.Report
	}
	switch n.State {
	case Started:
		a.reportedRunning = true
		l.queueEvent(decide.JobStarted{Request: a.request, Attempt: a.Index})
		a.notifyStarted(true)
	case Running:
		a.reportedRunning = true
		l.queueEvent(decide.JobProgress{Request: a.request, Attempt: a.Index, Share: n.Share})
	case Done:
		l.attemptServed(a, Answer{Verdict: Served, Result: n.Result})
	case Errored:
		l.attemptFailed(a, n, decide.Errored)
	case Returned:
		l.attemptReturned(a, n)
	case Lost:
		l.attemptFailed(a, n, decide.Reset)
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
