package decide

import "slices"

// gatedAttemptSent takes that an attempt has leave to go out. What its worker does is timed from now on, and so is the attempt where
// it counts for the budget of further ones.
func (d *Dispatcher) gatedAttemptSent(e Passed) {
	_, a := d.openAttempt(e.Request, e.Attempt)
	if a == nil || !a.gated {
		return
	}
	if i := slices.Index(d.extraAttempts, a.sentAt); a.extra && i >= 0 {
		d.extraAttempts = append(slices.Delete(d.extraAttempts, i, i+1), d.now)
	}
	a.gated, a.sentAt, a.lastReport = false, d.now, d.now
}
