package dispatch

import (
	"log/slog"
	"time"
)

// lagLogThreshold is the delay of the decision module's timer from which the loop counts as late: requests are
// then answered late as well.
const lagLogThreshold = 250 * time.Millisecond

// lagLogQuiet is how long the loop must have been on time before it is logged again that it is late.
const lagLogQuiet = 10 * time.Second

// timerLagLog logs that the loop is behind its timer, once until it has been on time for a while.
type timerLagLog struct {
	log      *slog.Logger
	lastLate time.Time // of the last late timer
}

// observe records that the decision module's timer fired, and when it was due.
func (n *timerLagLog) observe(due, now time.Time) {
	late := now.Sub(due)
	if late < lagLogThreshold {
		return
	}
	if n.lastLate.IsZero() || now.Sub(n.lastLate) >= lagLogQuiet {
		n.log.Warn("decision timer fired late: the process is short of CPU time", "late", late.Round(time.Millisecond))
	}
	n.lastLate = now
}
