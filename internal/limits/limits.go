// Package limits restricts the requests of one client, or of whatever a key identifies: the rate by a leaky
// bucket (Turner, IEEE Communications 1986), with a burst that is delayed or not, and the number of concurrent
// requests. It does no I/O and reads no clock. Memory is bounded: when there are too many keys, the least
// recently seen are evicted.
package limits

import (
	"container/list"
	"fmt"
	"math"
	"time"
)

// Rate limits requests per second and key; nginx calls it a zone.
type Rate struct {
	perSecond float64
	maxKeys   int
	buckets   map[string]*list.Element
	lru       *list.List // of *bucket, most recently seen first
}

type bucket struct {
	key    string
	excess float64 // requests above the rate
	last   time.Duration
}

// keyLimit bounds the keys of any limiter.
const keyLimit = 10_000_000

// NewRate returns a limiter for at most this number of keys.
func NewRate(perSecond float64, maxKeys int) (*Rate, error) {
	if !(perSecond > 0) || math.IsInf(perSecond, 1) || maxKeys < 1 || maxKeys > keyLimit {
		return nil, fmt.Errorf("limits: invalid rate zone: %v requests per second, %d keys", perSecond, maxKeys)
	}
	return &Rate{perSecond: perSecond, maxKeys: maxKeys, buckets: map[string]*list.Element{}, lru: list.New()}, nil
}

// Keys returns the number of remembered keys.
func (r *Rate) Keys() int { return len(r.buckets) }

// Burst is the excess over the rate that a location allows for a key.
type Burst struct {
	Burst   float64 // requests allowed in excess of the rate
	Delay   float64 // of those, the number that is not delayed
	NoDelay bool    // none is delayed
}

// Take requests admission of one request now. wait is how long to delay it; ok is false if it is refused. A
// refused request does not count against the key.
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
	elapsed := max(0, now-k.last).Seconds()
	excess := max(0, k.excess-elapsed*r.perSecond+1)
	// Rounding must not refuse a request that arrives exactly when it is allowed.
	if excess > b.Burst+1e-6 {
		return 0, false
	}
	k.excess, k.last = excess, max(now, k.last)
	if delayed := excess - b.Delay; !b.NoDelay && delayed > 1e-6 {
		return time.Duration(delayed / r.perSecond * float64(time.Second)), true
	}
	return 0, true
}

// Conns limits concurrent requests per key; nginx calls it a zone.
type Conns struct {
	maxKeys int
	count   map[string]int
}

// NewConns returns a limiter for at most this number of keys at one time.
func NewConns(maxKeys int) (*Conns, error) {
	if maxKeys < 1 || maxKeys > keyLimit {
		return nil, fmt.Errorf("limits: invalid connection zone: %d keys", maxKeys)
	}
	return &Conns{maxKeys: maxKeys, count: map[string]int{}}, nil
}

// Enter requests admission of one more request of a key; each admitted request must Leave. A new key is refused
// if there is no room for it.
func (c *Conns) Enter(key string, limit int) bool {
	n := c.count[key]
	if n >= limit || n == 0 && len(c.count) >= c.maxKeys {
		return false
	}
	c.count[key] = n + 1
	return true
}

// Leave ends one request of a key.
func (c *Conns) Leave(key string) {
	if n := c.count[key]; n > 1 {
		c.count[key] = n - 1
	} else {
		delete(c.count, key)
	}
}

// Keys returns the number of keys with requests now.
func (c *Conns) Keys() int { return len(c.count) }
