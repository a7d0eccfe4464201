package dispatch

import (
	"maps"
	"slices"
	"time"
)

// A client that leaves has its command cancelled, but an instance may have run it, at least in part. If the command must
// not run twice, its ID is refused for a while: a client's library may send the same request again on a new connection.

const (
	departedRetention = time.Minute
	maxDepartedIDs    = 4096 // beyond that the oldest ones are dropped
)

// departedIDs holds the IDs of such commands. The zero value is empty.
type departedIDs struct {
	until map[string]time.Time
	order []string // oldest first
}

func (d *departedIDs) add(id string, until, now time.Time) {
	if d.until == nil {
		d.until = map[string]time.Time{}
	}
	if _, known := d.until[id]; known {
		d.order = slices.DeleteFunc(d.order, func(other string) bool { return other == id })
	}
	for len(d.order) > 0 && (len(d.order) >= maxDepartedIDs || !now.Before(d.until[d.order[0]])) {
		delete(d.until, d.order[0])
		d.order = d.order[1:]
	}
	d.until[id] = until
	d.order = append(d.order, id)
}

func (d *departedIDs) contains(id string, now time.Time) bool { return now.Before(d.until[id]) }

// merge adds the IDs of another process.
func (d *departedIDs) merge(until map[string]time.Time, now time.Time) {
	oldestFirst := slices.SortedFunc(maps.Keys(until), func(a, b string) int { return until[a].Compare(until[b]) })
	for _, id := range oldestFirst {
		d.add(id, until[id], now)
	}
}

// noteDeparted records the ID of a command whose client has left, unless the command may run again or has its own record of
// what was sent.
func (l *Loop) noteDeparted(p *pendingCommand) {
	if MayRetry(p.definition) || p.hasRecord() || !slices.ContainsFunc(p.attempts, (*Attempt).mayHaveRun) {
		return
	}
	now := time.Now()
	l.departed.add(p.ID, now.Add(departedRetention), now)
}

// mayHaveRun reports whether an instance may have run the attempt, or may still.
func (a *Attempt) mayHaveRun() bool { return !a.ended || !a.neverRan }

// hasRecord reports whether whoever submitted the command records its attempts, and sends none again.
func (c *Command) hasRecord() bool { return c.Gate != nil || c.Reserved }
