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

// assumedConcurrency is the number of concurrent requests that a member is assumed to serve; its
// max_conns does not change it.
const assumedConcurrency = 512

// Pools holds the balancing state of all pools. It is safe for concurrent use.
type Pools struct {
	mu    sync.Mutex
	pools map[string]*poolState
	start time.Time
}

// poolState is the balancing state of one pool.
type poolState struct {
	*pools.Pool
	ids    []string
	byID   map[string]*pools.Member
	picked map[string]*pools.Member // by command ID
}

// memberID returns the instance ID of a member in the loop.
func memberID(pool, address string) string { return pool + "/" + address }

// NewPools compiles the pools of a configuration.
func NewPools(c *routes.Config) (*Pools, error) {
	p := &Pools{pools: map[string]*poolState{}, start: time.Now()}
	for i := range c.Pools {
		h := fnv.New64a()
		h.Write([]byte(c.Pools[i].Name))
		compiled, err := pools.New(&c.Pools[i], h.Sum64())
		if err != nil {
			return nil, err
		}
		k := &poolState{Pool: compiled, byID: map[string]*pools.Member{}, picked: map[string]*pools.Member{}}
		for _, m := range compiled.Members() {
			id := memberID(compiled.Name, m.Address)
			k.ids = append(k.ids, id)
			k.byID[id] = m
		}
		p.pools[compiled.Name] = k
	}
	return p, nil
}

// Candidates returns the members for a request in order of preference: the one that the balancing method picks,
// then the others, backups last. The pick counts as in use by the command until Done.
func (p *Pools) Candidates(pool, command string, a pools.Criteria) []string {
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
	k.picked[command] = first
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

// Done reports how a command ended at the member that Candidates picked.
func (p *Pools) Done(pool, command string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.pools[pool]; k != nil {
		if m := k.picked[command]; m != nil {
			delete(k.picked, command)
			k.Pool.Done(time.Since(p.start), m, failed)
		}
	}
}

// LoopSettings translates pools into settings of package decide: each pool is a kind of worker, with one class for
// requests that may be repeated and one for those that may not.
func LoopSettings(c *routes.Config, requestTimeout time.Duration) (decide.Settings, wire.Names, dispatch.InstanceUpdate) {
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
			n.Classes = append(n.Classes, p.Name+map[decide.Effect]string{decide.Safe: repeatableSuffix, decide.Unsafe: onceSuffix}[effect])
			s.Classes = append(s.Classes, decide.Class{Aim: time.Second, Stretch: 10, Deadline: requestTimeout, Worth: 1, Effect: effect, Kind: kind})
		}
		for _, m := range p.Members {
			if !m.Down {
				l.Instances = append(l.Instances, dispatch.Instance{ID: memberID(p.Name, m.Address), Address: m.Address, Zone: "here", Kind: p.Name, State: decide.Ready, Size: 1})
			}
		}
	}
	return s, n, l
}

// Site is a front with its servers and its dispatch loop.
type Site struct {
	Front          *Front
	Loop           *dispatch.Loop
	Servers        *Servers
	requestTimeout time.Duration
	mu             sync.Mutex // one reload at a time
	revision       int64
}

// NewSite compiles a configuration. Front.Open starts to listen.
func NewSite(address string, c *routes.Config, requestTimeout time.Duration, maxConns int, logger *slog.Logger) (*Site, error) {
	t, p, err := compile(c)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	l, err := NewLimits(c, nil)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	s := &Site{Servers: NewServers(2*time.Second, 64), requestTimeout: requestTimeout, revision: 1}
	settings, names, list := LoopSettings(c, requestTimeout)
	if s.Loop, err = dispatch.New(settings, names, s.Servers, s.Servers, dispatch.NoOtherProcess{}, logger); err != nil {
		return nil, err
	}
	s.Servers.ReportTo(s.Loop)
	s.Servers.SetMembers(list)
	s.Loop.UpdateInstances(list, true)
	s.Front = New(address, t, p, l, s.Loop, requestTimeout, maxConns, logger)
	return s, nil
}

// compile checks a configuration and returns its routes and pools.
func compile(c *routes.Config) (*routes.Table, *Pools, error) {
	t, err := routes.Compile(c)
	if err != nil {
		return nil, nil, err
	}
	if len(c.Pools) == 0 {
		return nil, nil, errors.New("the routes define no pool")
	}
	p, err := NewPools(c)
	return t, p, err
}

// Reload replaces the configuration; on an error nothing changes. Requests in progress end at the servers that have
// them; removed members get no new requests once it has returned. It waits for the loop.
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
	settings, names, list := LoopSettings(c, s.requestTimeout)
	s.revision++
	list.Revision = s.revision
	if err := s.Loop.Reconfigure(settings, names); err != nil {
		return err
	}
	s.Servers.SetMembers(list)
	s.Loop.UpdateInstances(list, false)
	s.Front.SetRoutes(t, p, l)
	return nil
}
