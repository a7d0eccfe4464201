package dispatch

import "time"

// The decision module's clock is the time since the Unix epoch, so that start times in the instance list can be
// compared with it. The system clock is read once and continued monotonically: a step of the system clock must
// not move deadlines.
var clockStart = time.Now()

func moduleTime(t time.Time) time.Duration {
	return time.Duration(clockStart.UnixNano()) + t.Sub(clockStart)
}

// sinceEpoch converts a wall-clock time, as other machines report it, to the decision module's clock.
func sinceEpoch(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Duration(t.UnixNano())
}
