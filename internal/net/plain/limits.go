package plain

import (
	"context"
	"sync"
	"time"

	"caperrelay/internal/limits"
	"caperrelay/internal/routes"
)

// Limits is the state of a site's zones. Several goroutines may use it.
type Limits struct {
	mu    sync.Mutex
	start time.Time
	zones map[string]routes.Zone
	rates map[string]*limits.Rate
	conns map[string]*limits.Conns
}

// NewLimits makes a configuration's zones. Those that another had alike go on with what they know.
func NewLimits(c *routes.Config, before *Limits) (*Limits, error) {
	l := &Limits{start: time.Now(), zones: map[string]routes.Zone{}, rates: map[string]*limits.Rate{}, conns: map[string]*limits.Conns{}}
	if before != nil {
		before.mu.Lock()
		defer before.mu.Unlock()
		l.start = before.start
	}
	for _, z := range c.Zones {
		l.zones[z.Name] = z
		var err error
		switch same := before != nil && before.zones[z.Name] == z; {
		case same && z.Rate > 0:
			l.rates[z.Name] = before.rates[z.Name]
		case z.Rate > 0:
			l.rates[z.Name], err = limits.NewRate(z.Rate, z.MaxKeys)
		default: // what is under way leaves where it entered
			l.conns[z.Name], err = limits.NewConns(z.MaxKeys)
		}
		if err != nil {
			return nil, err
		}
	}
	return l, nil
}

// Enter asks for one request. It waits its turn, for as long as the context lets it; leave must be called once
// the request has ended, where it was let in.
func (l *Limits) Enter(ctx context.Context, all []routes.KeyedLimit) (leave func(), ok bool) {
	if len(all) == 0 {
		return func() {}, true
	}
	l.mu.Lock()
	now, wait := time.Since(l.start), time.Duration(0)
	var entered []routes.KeyedLimit
	leave = func() {
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
		leave()
	}
	return leave, ok
}
