// This file has the rules on further attempts of a request, and what is done when one has ended.

package decide

import "time"

// repeatable reports whether the class's effect permits a further attempt after those that may have run.
func (d *Dispatcher) repeatable(r *request) bool {
	return !r.anyAttempt(func(a *attempt) bool {
		return !a.neverRan && (r.class.Effect == Unsafe || r.class.Effect == Keyed && d.now-a.sentAt >= r.class.DedupWindow)
	})
}

// outsideDedupGroup reports whether a worker is not in the group of another that drops repeats of its requests.
func outsideDedupGroup(c *class, first, other *worker) bool {
	return c.Effect == Keyed && (c.Scope == ScopeZone && first.Zone != other.Zone || c.Scope == ScopeCell && first.Cell != other.Cell)
}

// dedupTimeLeft returns the time in which workers still drop repeats of a Keyed request; 0: no limit, as no attempt of
// it may have run.
func (d *Dispatcher) dedupTimeLeft(r *request) (left time.Duration) {
	if r.class.Effect != Keyed {
		return 0
	}
	for _, a := range r.attempts {
		if rest := a.sentAt + r.class.DedupWindow - d.now; !a.neverRan && (left == 0 || rest < left) {
			left = rest
		}
	}
	return left
}

// sendForbidden reports whether a request must not be sent to any worker: by its limit on attempts, its deadline, the
// limit on parallel attempts or the budget of further ones.
func (d *Dispatcher) sendForbidden(r *request) bool {
	return r.done || r.streaming || r.sentAttempts() >= d.settings.Limits.MaxAttempts || d.now >= r.deadline ||
		r.outstanding > 0 && !d.settings.Limits.ParallelAttempts || r.sentAttempts() > 0 && !d.withinBudget()
}

// withinBudget reports whether the budget allows one more attempt beyond a first (a move, retry or copy) in any
// window that ends now. Where no rule sets a budget, the package's own keeps retries from becoming most of the
// load.
func (d *Dispatcher) withinBudget() bool {
	d.extraAttempts, d.arrivals = dropBefore(d.extraAttempts, d.now-d.budget.Window), dropBefore(d.arrivals, d.now-d.budget.Window+1)
	return float64(len(d.extraAttempts)+1) <= d.budget.Spare+d.budget.PerRequest*float64(len(d.arrivals))
}

// exhausted reports whether a request has no permitted attempt left, so that it is answered at once. One that
// ended in errors at two workers would fail anywhere, and must not use up the budget of others.
func (d *Dispatcher) exhausted(r *request) bool {
	return r.sentAttempts() >= d.settings.Limits.MaxAttempts || r.errors > 1 || !d.repeatable(r)
}

// retryOrAnswer holds a request whose attempts have all ended for a further one if that is permitted, else
// answers it.
func (d *Dispatcher) retryOrAnswer(r *request) {
	if d.exhausted(r) || r.sentAttempts() > 0 && !d.withinBudget() {
		d.answerFinal(r)
		return
	}
	d.enqueue(r, true)
}

// maybeReturned handles a worker's report that may be about an attempt or repeat one about an earlier attempt. A
// request that may be repeated is cancelled there, to be sent elsewhere. Any other stays: its attempt may be running, and
// ends with its next report or its deadline.
func (d *Dispatcher) maybeReturned(id uint32, n int) {
	r, a := d.openAttempt(id, n)
	if a == nil || !d.settings.Limits.Cancel || !d.repeatable(r) {
		return
	}
	d.barClass(a.worker, r.Class, r.class.Aim)
	d.emit(Cancel{Request: id, Attempt: n})
}
