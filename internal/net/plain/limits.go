package plain

import (
	"context"
	"sync"
	"time"

	"caperrelay/internal/limits"
	"caperrelay/internal/routes"
)

// Limits holds the state of the limit zones of a site. It is safe for concurrent use.
type Limits struct {
	mu    sync.Mutex
	start time.Time
	zones map[string]routes.Zone
	rates map[string]*limits.Rate
	conns map[string]*limits.Conns
}

// NewLimits creates the zones of a configuration. Rate zones that are unchanged from previous keep their state.
func NewLimits(c *routes.Config, previous *Limits) (*Limits, error) {
	l := &Limits{start: time.Now(), zones: map[string]routes.Zone{}, rates: map[string]*limits.Rate{}, conns: map[string]*limits.Conns{}}
	if previous != nil {
		previous.mu.Lock()
		defer previous.mu.Unlock()
		l.start = previous.start
	}
	for _, z := range c.Zones {
		l.zones[z.Name] = z
		var err error
		switch unchanged := previous != nil && previous.zones[z.Name] == z; {
		case unchanged && z.Rate > 0:
			l.rates[z.Name] = previous.rates[z.Name]
		case z.Rate > 0:
			l.rates[z.Name], err = limits.NewRate(z.Rate, z.MaxKeys)
		default: // requests in progress release the zone that they entered
			l.conns[z.Name], err = limits.NewConns(z.MaxKeys)
		}
		if err != nil {
			return nil, err
		}
	}
	return l, nil
}

// Acquire applies the limits to one request. It waits as long as the rate limits demand or until the context
// ends. If ok, release must be called when the request has ended.
func (l *Limits) Acquire(ctx context.Context, all []routes.KeyedLimit) (release func(), ok bool) {
	if len(all) == 0 {
		return func() {}, true
	}
	l.mu.Lock()
	now, wait := time.Since(l.start), time.Duration(0)
	var entered []routes.KeyedLimit
	release = func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, x := range entered {
			l.conns[x.Zone].Leave(x.Key)
		}
	}
	ok = true
	for _, x := range all {
		if r := l.rates[x.Zone]; r != nil && ok {
			w, in := r.Take(now, x.Key, limits.Burst{Burst: x.Burst, Delay: x.Delay, NoDelay: x.NoDelay})
			if !x.DryRun {
				ok, wait = in, max(wait, w)
			}
		} else if c := l.conns[x.Zone]; c != nil && ok {
			if ok = c.Enter(x.Key, x.MaxConcurrent); ok {
				entered = append(entered, x)
			}
		}
	}
	l.mu.Unlock()
	if ok && wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			ok = false
		}
	}
	if !ok {
		release()
	}
	return release, ok
}
