package decide

import "slices"

// gatedAttemptSent records that a gated attempt is sent now: its worker's response, and its place in the window
// of the budget for further attempts, are timed from now on.
func (d *Dispatcher) gatedAttemptSent(e AttemptSent) {
	_, a := d.openAttempt(e.Request, e.Attempt)
	if a == nil || !a.gated {
		return
	}
	if i := slices.Index(d.extraAttempts, a.sentAt); a.extra && i >= 0 {
		d.extraAttempts = append(slices.Delete(d.extraAttempts, i, i+1), d.now)
	}
	a.gated, a.sentAt, a.lastReport = false, d.now, d.now
}
