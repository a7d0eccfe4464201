package dispatch

import (
	"log/slog"
	"time"
)

// A loop is late when the module's timer fires so long after it was due: requests are then answered late as well.
const lateNotice = 250 * time.Millisecond

// lateQuiet is for how long a loop must have been in time before it is logged that it is late again.
const lateQuiet = 10 * time.Second

// lateness logs that a loop is behind its timer: once until it has been in time for a while.
type lateness struct {
	log  *slog.Logger
	last time.Time // when it was late
}

// fired takes that the module's timer fired, and when it was due.
func (n *lateness) fired(due, now time.Time) {
	late := now.Sub(due)
	if late < lateNotice {
		return
	}
	if n.last.IsZero() || now.Sub(n.last) >= lateQuiet {
		n.log.Warn("short of processor time: the decisions' timer fired late", "late", late.Round(time.Millisecond))
	}
	n.last = now
}
