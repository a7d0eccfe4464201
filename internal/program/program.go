// Package program puts the dispatcher's parts together and takes them from start to exit.
package program

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/clients"
	"caperrelay/internal/net/discovery"
	"caperrelay/internal/net/handover"
	"caperrelay/internal/net/loadreport"
	"caperrelay/internal/net/upstream"
	"caperrelay/internal/wire"
)

// Phase is a state of the program.
type Phase int32

// The phases, in their order. An operator can have the program leave quiescing and quiesced again,
// to serving; a newer process that dies has it leave yielded.
const (
	Starting  Phase = iota // parts are made, nothing is taken in
	Relieving              // an older process has been asked to yield
	Serving                // commands are taken in
	Quiescing              // clients are sent away: the front still sends, answers close connections
	Quiesced               // the front has moved on: idle connections are closed as well
	Yielded                // a newer process takes what comes: what is held is answered
	Departing              // told to end: as quiescing
	Draining               // told to end: as quiesced or yielded, until nothing is held
	Stopped                // nothing is held and nothing listens
)

func (p Phase) String() string {
	return [...]string{
		"starting", "relieving", "serving", "quiescing", "quiesced", "yielded", "departing", "draining", "stopped",
	}[p]
}

const (
	// The front goes on sending for up to 0.4 s after it was told no.
	departure = 600 * time.Millisecond
	// A service client's connection that has been idle for so long is closed then.
	quiet = 200 * time.Millisecond
	check = 10 * time.Millisecond
	// Who had begun to connect is through by then.
	barred = 2 * check

	reservedSockets = 64  // standard files, the poller, the listener, the name table, some to spare
	memoryShare     = 0.7 // of the limit that the heap may take before collecting harder
	collectAt       = 200 // percent of growth between collections while memory is plenty
)

// Program is one dispatcher process.
type Program struct {
	config  *config.Config
	log     *slog.Logger
	address string // set before the phase is Serving
	admin   string // likewise; empty: operators have no address
	loop    *dispatch.Loop
	pool    *upstream.Pool
	watcher *discovery.Watcher
	server  *clients.Server
	loads   *loadreport.Reader
	bounds  bounds
	cordons cordons
	fresh   chan struct{} // closed once discovery has told of the list
	// unreached: no call has reached discovery yet, so nothing that it has to tell can be known.
	unreached atomic.Bool
	parts     []Part
	keeper    Keeper // nil: cordons are in a file
	reloads   chan func(error)
	sharer    Sharer          // nil: the list comes from the own watch alone
	mute      bool            // who is at the door tells nothing
	telling   sync.Mutex      // of a list: one at a time
	ahead     ahead           // what another process has told beyond the own watch, under telling
	names     wire.Names      // in force, under telling
	context   context.Context // of the program's run
	failure   error           // why the program ended by itself, of the goroutine that runs it

	mu           sync.Mutex
	phase        Phase
	since        time.Time // of the phase
	ending       bool      // told to end while relieving
	last         time.Time // told to end: when all has to be answered; zero: not told
	barred       time.Time // since when nobody can connect any more
	listener     *net.TCPListener
	table        dispatch.InstanceList
	discovery    string
	older, newer *handover.Link  // the other processes, nil: none
	before       standing        // the older one's
	given        decide.Snapshot // to the newer one
	door         *handover.Door
}

// bounds is what the parts may use while this process is alone.
type bounds struct{ listener, pool int }

// New makes a dispatcher, with parts beside those that each has.
func New(c *config.Config, logger *slog.Logger, parts ...NewPart) (*Program, error) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetGCPercent(collectAt)
	p := &Program{config: c, log: logger, fresh: make(chan struct{}), reloads: make(chan func(error), 4), cordons: cordons{out: map[string]bool{}, write: replace}, discovery: c.Discovery, names: c.Names, since: time.Now()}
	sockets := c.Limits.Sockets - reservedSockets
	p.bounds.pool = sockets * 2 / 5
	p.pool = upstream.NewPool(upstream.Limits{
		Connections: p.bounds.pool, Connect: c.Settings.Limits.ConnectTimeout, Idle: c.Settings.Limits.ConnIdle,
	})
	p.watcher = discovery.NewWatcher(c.Discovery, c.Known.Revision, c.Settings)
	p.bounds.listener = sockets - p.bounds.pool
	s := p.bound(c.Settings)
	var err error
	if p.loop, err = dispatch.New(s, c.Names, p.pool, subscriptions{p}, others{p}, logger); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p.pool.ReportTo(p.loop)
	p.loads = loadreport.New(c.Names.Reports, logger)
	p.pool.ReadBy(p.loads)
	p.server = clients.New(p.loop, s, c.Names, p.bounds.listener, p.counters, logger)
	p.server.ReadBy(p.loads)
	p.server.CountIn(&p.loop.Counters)
	if c.Admin != "" {
		p.parts = append(p.parts, &admin{program: p, address: c.Admin})
	}
	for _, n := range parts {
		t, err := n(Core{Loop: p.loop, Log: logger, Config: c, Lists: lists{p}, Cordons: agreed{p}, Reload: p.again})
		if err != nil {
			return nil, err
		}
		t.Reloaded(c)
		p.parts = append(p.parts, t)
	}
	p.resize()
	return p, nil
}

// Address is where the program listens, once it serves.
func (p *Program) Address() string { return p.address }

// Admin is where operators call, once it serves, if they have an address.
func (p *Program) Admin() string { return p.admin }

// Phase is the state that the program is in.
func (p *Program) Phase() Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase
}

// enter takes the program to a phase from one of others; false: it is in none of those.
func (p *Program) enter(next Phase, from ...Phase) bool {
	if !p.change(next, from) {
		return false
	}
	p.log.Info(next.String(), "held", p.loop.Pending()) // without the lock: the log may wait for whoever reads it
	p.each(func(t Part) {
		if err := t.Phase(p.context, next); err != nil {
			p.log.Error("part", "name", t.Name(), "phase", next.String(), "err", err)
		}
	})
	return true
}

func (p *Program) change(next Phase, from []Phase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(from, p.phase) {
		return false
	}
	p.phase, p.since = next, time.Now()
	p.server.Away(next > Serving)
	return true
}

// Run serves until a signal to end comes and nothing is held any more.
func (p *Program) Run(signals <-chan os.Signal) error {
	known := p.config.Known
	known.Complete = true
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.context = ctx
	if err := p.begin(ctx); err != nil {
		return err
	}
	if list := p.meet(ctx); list != nil {
		known.Revision, known.Instances = list.Revision, list.Instances
	} else {
		p.recall(p.leftOut())
	}
	p.known(known)
	go p.loop.Run(ctx)
	go p.watcher.Run(ctx, p)
	go p.obey(ctx, signals)
	for tick := time.NewTicker(check); p.Phase() != Stopped; <-tick.C {
		p.advance(ctx, time.Now())
	}
	p.leave()
	if p.listener != nil {
		p.listener.Close()
	}
	p.log.Info("counters at exit", p.loop.Counters.Attrs()...)
	return p.failure
}

// advance does what time brings about in a phase.
func (p *Program) advance(ctx context.Context, now time.Time) {
	p.mu.Lock()
	phase, since, last := p.phase, p.since, p.last
	p.mu.Unlock()
	if late := !last.IsZero() && now.After(last); late && (phase == Departing || phase == Draining) && !p.server.Yielded() {
		p.bar(now)
		p.server.Finish(now)
		p.loop.AnswerAll()
	}
	switch moved := now.Sub(since) >= departure; phase {
	case Starting, Relieving:
		p.relieve(ctx, now)
	case Quiescing:
		if moved {
			p.enter(Quiesced, Quiescing)
		}
	case Quiesced:
		p.server.CloseIdle(now.Add(-quiet))
	case Departing:
		if moved {
			p.enter(Draining, Departing)
		}
	case Draining:
		p.server.CloseIdle(now.Add(-quiet))
		// Give-ups that are on their way spare instances work for nobody; each ends within a second.
		if p.loop.Pending() == 0 && !p.pool.Busy() && p.server.Quiet() && !slices.ContainsFunc(p.parts, func(t Part) bool { return !t.Quiet() }) && p.bar(now) {
			p.enter(Stopped, Draining)
		}
	}
}

// bar has nobody connect any more, and tells whether those who had begun to by then are through.
func (p *Program) bar(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newer != nil { // it takes them
		return true
	}
	if p.barred.IsZero() {
		p.barred = now
		if err := clients.Bar(p.listener); err != nil {
			p.log.Debug("listener not barred", "err", err)
		}
	}
	return now.Sub(p.barred) >= barred
}

// obey takes signals: SIGHUP reads the configuration anew, in every phase, any other ends the program.
func (p *Program) obey(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case done := <-p.reloads:
			done(p.reload())
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.each(func(t Part) {
					if h, ok := t.(interface{ Asked() }); ok {
						h.Asked()
					}
				})
				p.reload()
			} else {
				p.end()
			}
		}
	}
}

// clientsPart is which part of the descriptors service clients hold for requests at most, by the operators'
// page. One that finds them all held is turned away unheard.
const clientsPart = 3

// bound has settings hold as many commands as there is room for. Each keeps a connection, and some
// must stay free: here, or no call-back could come in and nothing held would ever end, and at the clients, or
// nobody could be told no. The module refuses what goes beyond.
func (p *Program) bound(s decide.Settings) decide.Settings {
	clients := p.config.Limits.Sockets / clientsPart
	if open := min(clients-clients/8, p.bounds.listener-p.bounds.listener/6); s.Limits.MaxOpen <= 0 || s.Limits.MaxOpen > open {
		s.Limits.MaxOpen = open
	}
	return s
}

// again has the configuration taken anew.
func (p *Program) again(done func(error)) {
	select {
	case p.reloads <- done:
	default:
		go done(errors.New("the program has reloads to do already"))
	}
}

// reload takes the configuration file as it is now. A faulty one changes nothing.
func (p *Program) reload() error {
	next, err := p.config.Reload()
	if err == nil {
		err = p.loop.Reconfigure(p.bound(next.Settings), next.Names) // the module has the last word
	}
	if err != nil {
		p.loop.Counters.ConfigLoadErrors.Add(1)
		p.log.Error("configuration not reloaded", "err", err)
		return err
	}
	p.named(next.Names)
	p.server.Retune(next.Settings, next.Names)
	p.loads.Retune(next.Names.Reports)
	p.watcher.Retune(next.Settings)
	p.pool.Retune(next.Settings.Limits.ConnectTimeout, next.Settings.Limits.ConnIdle)
	if keys := p.config.AtRestart(next); len(keys) > 0 {
		p.log.Warn("configuration: counts from the next start on", "keys", keys)
	}
	p.loop.Counters.ConfigLoads.Add(1)
	p.log.Info("configuration reloaded", "discovery", next.Discovery, "classes", next.Names.Classes)
	p.config.Running(next)
	p.each(func(t Part) { t.Reloaded(next) })
	p.mu.Lock()
	moved := next.Discovery != p.discovery
	p.discovery = next.Discovery
	p.mu.Unlock()
	if moved {
		p.watcher.Move(next.Discovery)
		if p.sharer != nil {
			p.sharer.Moved()
		}
	}
	return nil
}

// named has the loop read the list anew where the settings name other zones or kinds of encoder: the list has them by their names.
func (p *Program) named(names wire.Names) {
	p.telling.Lock()
	defer p.telling.Unlock()
	was := p.names
	if p.names = names; slices.Equal(was.Zones, names.Zones) && slices.Equal(was.Kinds, names.Kinds) {
		return
	}
	p.mu.Lock()
	l := p.table.Snapshot()
	p.mu.Unlock()
	p.loop.UpdateInstances(l, true)
}

// end has the program end in order.
func (p *Program) end() {
	p.mu.Lock()
	p.ending = true // while relieving: the older process may have yielded already
	p.last = p.server.End(time.Now())
	p.mu.Unlock()
	_ = p.enter(Stopped, Starting) || p.enter(Departing, Serving, Quiescing, Quiesced) || p.enter(Draining, Yielded)
}

// take takes a list: the pool first, which guards each send.
func (p *Program) take(l dispatch.InstanceUpdate, cached bool) {
	p.mu.Lock()
	p.table.Update(l)
	p.mu.Unlock()
	p.pool.Listed(l)
	p.each(func(t Part) { t.Listed(l) })
	p.loop.UpdateInstances(l, cached)
}
