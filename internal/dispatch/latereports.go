package dispatch

import "caperrelay/decide"

// A callback names the command and the instance, not the attempt, and an instance repeats it until it has an answer. If
// an instance has had several attempts of a command, a callback may therefore report on an earlier one.

// lateReports is what an instance may still report on an attempt that has ended here.
type lateReports int

const (
	anyReport     lateReports = iota // it may still have the attempt, or repeat any report on it
	returnedAgain                    // it has returned the attempt, and may repeat that
	noReport                         // it never had the attempt
)

// lateReportsAfter returns what may still be reported on an attempt that has ended with an outcome other than by a
// callback.
func lateReportsAfter(o decide.Outcome) lateReports {
	if o.NeverRan() {
		return noReport
	}
	return anyReport
}

// mayReportOnEarlier returns what a callback may report on attempts at the instance of a that have ended, or
// noReport if it reports on a.
func (p *pendingCommand) mayReportOnEarlier(n Callback, a *Attempt) lateReports {
	found := noReport
	for _, earlier := range p.attempts[:a.Index] {
		if earlier.Instance == a.Instance && earlier.mayBeReportedBy(n) {
			found = min(found, earlier.lateReports)
		}
	}
	return found
}

// mayBeReportedBy reports whether a callback of its instance may report on an attempt that has ended.
func (a *Attempt) mayBeReportedBy(n Callback) bool {
	switch a.lateReports {
	case noReport:
		return false
	case returnedAgain:
		// An instance uses a connection again only once it has read the answer to its last callback there, which it
		// does not repeat then.
		answered := n.Connection != 0 && n.Connection == a.returnedOn
		return n.State == Returned && !answered
	}
	return true
}

// attemptReturned ends an attempt that its instance has returned without having started it. Where an earlier attempt at
// that instance may be meant, the attempt is not taken for one that never ran.
func (l *Loop) attemptReturned(a *Attempt, n Callback) {
	switch l.byRequest[a.request].mayReportOnEarlier(n, a) {
	case noReport:
		l.endAttempt(a, decide.Full)
		a.lateReports, a.returnedOn = returnedAgain, n.Connection
	case returnedAgain:
		if a.reportedRunning { // what has started is not returned
			l.Counters.UnmatchedCallbacks.Add(1)
			return
		}
		l.attemptMaybeReturned(a)
	case anyReport:
		l.attemptMaybeReturned(a)
	}
}

// attemptMaybeReturned has the decision module decide on an attempt that may have been returned.
func (l *Loop) attemptMaybeReturned(a *Attempt) {
	l.Counters.ambiguousCallbacks.Add(1)
	l.queueEvent(decide.MaybeReturned{Request: a.request, Attempt: a.Index})
}

// attemptFailed ends an attempt that its instance reports to have failed. Where an earlier attempt at that instance may
// be meant, this one may still be there and is cancelled.
func (l *Loop) attemptFailed(a *Attempt, n Callback, o decide.Outcome) {
	if l.byRequest[a.request].mayReportOnEarlier(n, a) != noReport {
		l.Counters.ambiguousCallbacks.Add(1)
		l.cancelAtInstance(a)
	}
	l.endAttempt(a, o)
}
