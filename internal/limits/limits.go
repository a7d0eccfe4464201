// Package limits bounds what one client, or whatever a key names, may ask: so many requests a second by a
// leaky bucket (Turner, IEEE Communications 1986) with a burst that waits or not, and so many at one time.
// It does no I/O and reads no clock. Memory is bounded: of more keys than there is room for, those longest
// unseen are forgotten.
package limits

import (
	"container/list"
	"fmt"
	"math"
	"time"
)

// Rate is a zone of requests a second.
type Rate struct {
	perSecond float64
	maxKeys      int
	buckets   map[string]*list.Element
	lru      *list.List // of *bucket, the last seen first
}

type bucket struct {
	key    string
	excess float64 // requests above the rate
	last   time.Duration
}

// keyLimit bounds any zone.
const keyLimit = 10_000_000

// NewRate returns a zone for at most so many keys.
func NewRate(perSecond float64, most int) (*Rate, error) {
	if !(perSecond > 0) || math.IsInf(perSecond, 1) || most < 1 || most > keyLimit {
		return nil, fmt.Errorf("limits: %v requests a second for %d keys", perSecond, most)
	}
	return &Rate{perSecond: perSecond, maxKeys: most, buckets: map[string]*list.Element{}, lru: list.New()}, nil
}

// Keys is how many are remembered.
func (r *Rate) Keys() int { return len(r.buckets) }

// Burst is how far above the rate a place lets a key go.
type Burst struct {
	Burst   float64 // requests that may wait
	Delay   float64 // of those, how many need not
	NoDelay bool    // none need
}

// Take asks for one request now: wait is how long it is to be held, ok false that it is refused. A refused
// one costs the key nothing.
func (r *Rate) Take(now time.Duration, key string, b Burst) (wait time.Duration, ok bool) {
	e := r.buckets[key]
	if e == nil {
		for len(r.buckets) >= r.maxKeys {
			oldest := r.lru.Back()
			delete(r.buckets, oldest.Value.(*bucket).key)
			r.lru.Remove(oldest)
		}
		r.buckets[key] = r.lru.PushFront(&bucket{key: key, last: now})
		return 0, true
	}
	r.lru.MoveToFront(e)
	k := e.Value.(*bucket)
	passed := max(0, now-k.last).Seconds()
	excess := max(0, k.excess-passed*r.perSecond+1)
	// Rounding must not refuse the request that comes just when its turn is.
	if excess > b.Burst+1e-6 {
		return 0, false
	}
	k.excess, k.last = excess, max(now, k.last)
	if over := excess - b.Delay; !b.NoDelay && over > 1e-6 {
		return time.Duration(over / r.perSecond * float64(time.Second)), true
	}
	return 0, true
}

// Conns is a zone of requests at one time.
type Conns struct {
	maxKeys  int
	count map[string]int
}

// NewConns returns a zone for at most so many keys at one time.
func NewConns(most int) (*Conns, error) {
	if most < 1 || most > keyLimit {
		return nil, fmt.Errorf("limits: %d keys", most)
	}
	return &Conns{maxKeys: most, count: map[string]int{}}, nil
}

// Enter asks for one more of a key; each that is let in must Leave. With no room for another key it is refused.
func (c *Conns) Enter(key string, limit int) bool {
	n := c.count[key]
	if n >= limit || n == 0 && len(c.count) >= c.maxKeys {
		return false
	}
	c.count[key] = n + 1
	return true
}

// Leave ends one of a key.
func (c *Conns) Leave(key string) {
	if n := c.count[key]; n > 1 {
		c.count[key] = n - 1
	} else {
		delete(c.count, key)
	}
}

// Keys is how many have some now.
func (c *Conns) Keys() int { return len(c.count) }
