package plain

import (
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/pools"
	"caperrelay/internal/routes"
	"caperrelay/internal/wire"
)

// room is how many requests a member without max_conns is taken to serve at once.
const room = 512

// Pools is the state of all pools: whose turn it is. Several goroutines may use it.
type Pools struct {
	mu    sync.Mutex
	pools map[string]*pooled
	start time.Time
}

type pooled struct {
	*pools.Pool
	ids   []string
	byID  map[string]*pools.Member
	taken map[string]*pools.Member // by command
}

// memberID names a member as an instance of the loop's.
func memberID(pool, address string) string { return pool + "/" + address }

// NewPools compiles a configuration's pools.
func NewPools(c *routes.Config) (*Pools, error) {
	p := &Pools{pools: map[string]*pooled{}, start: time.Now()}
	for i := range c.Pools {
		h := fnv.New64a()
		h.Write([]byte(c.Pools[i].Name))
		made, err := pools.New(&c.Pools[i], h.Sum64())
		if err != nil {
			return nil, err
		}
		k := &pooled{Pool: made, byID: map[string]*pools.Member{}, taken: map[string]*pools.Member{}}
		for _, m := range made.Members() {
			id := memberID(made.Name, m.Address)
			k.ids = append(k.ids, id)
			k.byID[id] = m
		}
		p.pools[made.Name] = k
	}
	return p, nil
}

// Order is where a request goes: the member whose turn it is, then the others, backups last. It counts as
// taken by the command until Done.
func (p *Pools) Order(pool, command string, a pools.Criteria) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.pools[pool]
	if k == nil {
		return nil
	}
	now := time.Since(p.start)
	first, ok := k.Pick(now, a)
	if !ok {
		return []string{} // none is eligible
	}
	k.taken[command] = first
	order := []string{memberID(pool, first.Address)}
	for _, backup := range []bool{false, true} {
		for i, m := range k.Members() {
			if m != first && !m.Down && m.Backup == backup {
				order = append(order, k.ids[i])
			}
		}
	}
	return order
}

// Done says how a command ended at the member whose turn it was.
func (p *Pools) Done(pool, command string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.pools[pool]; k != nil {
		if m := k.taken[command]; m != nil {
			delete(k.taken, command)
			k.Pool.Done(time.Since(p.start), m, failed)
		}
	}
}

// Settings puts pools into the decision module's terms: each pool is a kind of worker, with a class for what
// may be repeated and one for what may not.
func Settings(c *routes.Config, within time.Duration) (decide.Settings, wire.Names, dispatch.InstanceUpdate) {
	s := decide.Settings{
		DispatcherCount: 1, Granularity: 2 * time.Millisecond, ReportsFreeSlots: true,
		Limits: decide.Limits{
			MaxAttempts: 3, MaxOpen: 20_000, Cancel: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second, ConnectTimeout: 2 * time.Second, ConnIdle: time.Minute,
		},
		Rules: decide.Rules{FallWindow: time.Second, Cold: time.Second, ColdFrom: 1, FallMultiple: 3, DrainGrace: 750 * time.Millisecond, SubscribeWithin: 10 * time.Second},
		Goal:  decide.Goal{Whole: 1},
	}
	n := wire.Names{Zones: []string{"here"}}
	l := dispatch.InstanceUpdate{Revision: 1, Complete: true}
	for kind, p := range c.Pools {
		n.Kinds = append(n.Kinds, p.Name)
		for _, effect := range []decide.Effect{decide.Safe, decide.Unsafe} {
			n.Classes = append(n.Classes, p.Name+map[decide.Effect]string{decide.Safe: repeatable, decide.Unsafe: once}[effect])
			s.Classes = append(s.Classes, decide.Class{Aim: time.Second, Stretch: 10, Deadline: within, Worth: 1, Effect: effect, Kind: kind})
		}
		for _, m := range p.Members {
			if !m.Down {
				l.Instances = append(l.Instances, dispatch.Instance{ID: memberID(p.Name, m.Address), Address: m.Address, Zone: "here", Kind: p.Name, State: decide.Ready, Size: 1})
			}
		}
	}
	return s, n, l
}

// Site is a listener with its routes, its pools and its loop.
type Site struct {
	Front   *Front
	Loop    *dispatch.Loop
	Servers *Servers
	within  time.Duration
	mu      sync.Mutex // one reload at a time
	rev     int64
}

// NewSite compiles a configuration and listens.
func NewSite(address string, c *routes.Config, within time.Duration, most int, logger *slog.Logger) (*Site, error) {
	t, p, err := compile(c)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	l, err := NewLimits(c, nil)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	s := &Site{Servers: NewServers(2*time.Second, 64), within: within, rev: 1}
	settings, names, list := Settings(c, within)
	if s.Loop, err = dispatch.New(settings, names, s.Servers, s.Servers, dispatch.NoOtherProcess{}, logger); err != nil {
		return nil, err
	}
	s.Servers.ReportTo(s.Loop)
	s.Servers.Listed(list)
	s.Loop.UpdateInstances(list, true)
	s.Front = New(address, t, p, l, s.Loop, within, most, logger)
	return s, nil
}

func compile(c *routes.Config) (*routes.Table, *Pools, error) {
	t, err := routes.Compile(c)
	if err != nil {
		return nil, nil, err
	}
	if len(c.Pools) == 0 {
		return nil, nil, errors.New("routes without a pool")
	}
	p, err := NewPools(c)
	return t, p, err
}

// Reload has the site go by other routes and pools; an error changes nothing. Requests under way end where
// they are; members that are no more get nothing new from the moment it returns. It waits for the loop.
func (s *Site) Reload(c *routes.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, p, err := compile(c)
	if err != nil {
		return err
	}
	l, err := NewLimits(c, s.Front.limits.Load())
	if err != nil {
		return err
	}
	settings, names, list := Settings(c, s.within)
	s.rev++
	list.Revision = s.rev
	if err := s.Loop.Reconfigure(settings, names); err != nil {
		return err
	}
	s.Servers.Listed(list)
	s.Loop.UpdateInstances(list, false)
	s.Front.Reroute(t, p, l)
	return nil
}
