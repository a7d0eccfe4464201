package lease

import "time"

// Places assigns senders their places in the order of turns: numbers below a bound, of which no two living
// senders share one. Each granter has its own range. It is not safe for concurrent use.
//
// A sender that has had no message from any granter for KeepFor gives up its place; the granter reassigns it
// only after FreeAfter, which is longer. A granter that has just started assigns none for that long, since it
// does not know which places are taken.
type Places struct {
	from, to    int
	assignsFrom time.Duration
	now         time.Duration
	assigned    map[int]*assignment
}

type assignment struct {
	sender    string
	connected bool
	seen      time.Duration
}

// How long a sender keeps its place without a message from any granter, and a granter without one from the
// sender.
const (
	KeepFor   = 20 * time.Second
	FreeAfter = 30 * time.Second
)

// NewPlaces returns the range of granter i of n, with all places in total.
func NewPlaces(i, n, total int, now time.Duration) *Places {
	return &Places{from: i * total / n, to: (i + 1) * total / n, assignsFrom: now + FreeAfter, now: now, assigned: map[int]*assignment{}}
}

// Take assigns a place to a sender. had is the place it already has from any granter, or -1. The result is -1 if
// no place can be assigned now.
func (p *Places) Take(now time.Duration, sender string, had int) int {
	p.now = max(p.now, now)
	if had >= 0 {
		if had >= p.from && had < p.to {
			s := p.assigned[had]
			if s != nil && s.sender != sender {
				return -1 // two senders have it: the later one gives it up
			}
			p.assigned[had] = &assignment{sender, true, p.now}
		}
		return had
	}
	for n, s := range p.assigned {
		if s.sender == sender {
			s.connected, s.seen = true, p.now
			return n
		}
	}
	if p.now < p.assignsFrom {
		return -1
	}
	for n := p.from; n < p.to; n++ {
		s := p.assigned[n]
		if s == nil || !s.connected && p.now-s.seen >= FreeAfter {
			p.assigned[n] = &assignment{sender, true, p.now}
			return n
		}
	}
	return -1
}

// Disconnected reports that a sender's stream has ended. The sender may still be alive.
func (p *Places) Disconnected(now time.Duration, sender string) {
	p.now = max(p.now, now)
	for _, s := range p.assigned {
		if s.sender == sender {
			s.connected, s.seen = false, p.now
		}
	}
}

// SkipWait ends the waiting period after the start, for a deployment that starts from scratch.
func (p *Places) SkipWait() { p.assignsFrom = 0 }
