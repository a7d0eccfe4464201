package lease

import "time"

// Places gives senders their turns: numbers below a bound that no two living senders share. Each keeper
// has a range of its own. It is not safe for more than one goroutine.
//
// A sender that has heard nothing of any keeper for KeepFor gives its place up; the keeper gives it to
// another only after FreeAfter, which is longer. A keeper that has just started gives none for as long:
// it does not know who has them.
type Places struct {
	from, to int
	assignsFrom    time.Duration
	now      time.Duration
	assigned  map[int]*assignment
}

type assignment struct {
	sender  string
	connected bool
	seen    time.Duration
}

// How long a sender keeps its place without word of any keeper, and a keeper without word of the sender.
const (
	KeepFor   = 20 * time.Second
	FreeAfter = 30 * time.Second
)

// NewPlaces returns the range of keeper i of n, of so many places in all.
func NewPlaces(i, n, all int, now time.Duration) *Places {
	return &Places{from: i * all / n, to: (i + 1) * all / n, assignsFrom: now + FreeAfter, now: now, assigned: map[int]*assignment{}}
}

// Take gives a sender a place. had is the place that it has already, from whichever keeper; -1: none. The
// answer is -1 where there is none to give now.
func (p *Places) Take(now time.Duration, sender string, had int) int {
	p.now = max(p.now, now)
	if had >= 0 {
		if had >= p.from && had < p.to {
			s := p.assigned[had]
			if s != nil && s.sender != sender {
				return -1 // two have it: the one that comes later gives it up
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

// Left says that a sender's stream has ended. It may live on.
func (p *Places) Left(now time.Duration, sender string) {
	p.now = max(p.now, now)
	for _, s := range p.assigned {
		if s.sender == sender {
			s.connected, s.seen = false, p.now
		}
	}
}

// Open ends the wait after the start: for a deployment that begins anew.
func (p *Places) Open() { p.assignsFrom = 0 }
