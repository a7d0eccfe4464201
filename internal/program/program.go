// Package program assembles a dispatcher from its components and runs it from start to exit, including the
// handover between an older and a newer process at the same address.
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

// The phases, in their order. An operator can take the program from Quiescing and Quiesced back to Serving; if the
// newer process dies, the program goes from HandedOver back to Serving.
const (
	Starting   Phase = iota // parts are created, no commands are accepted
	TakingOver              // an older process has been asked to hand over
	Serving                 // commands are accepted
	Quiescing               // health checks fail and responses close connections: the front still sends requests, and responses close connections
	Quiesced                // the front has switched away: idle connections are closed as well
	HandedOver              // a newer process accepts new work; this one answers pending commands
	Departing               // termination requested: health checks fail and responses close connections
	Draining                // termination requested: as Quiesced or HandedOver, until no commands are pending
	Stopped                 // no commands are pending and nothing listens
)

// String returns the name that operators and logs see; "relieving" (TakingOver) and "yielded" (HandedOver) are
// fixed for them.
func (p Phase) String() string {
	return [...]string{
		"starting", "relieving", "serving", "quiescing", "quiesced", "yielded", "departing", "draining", "stopped",
	}[p]
}

const (
	// The front keeps sending requests for up to 0.4 s after a failed health check; the rest is a margin.
	frontSwitchDelay = 600 * time.Millisecond
	// While quiesced or draining, a client's connection that has been idle for this long is closed.
	idleGrace    = 200 * time.Millisecond
	pollInterval = 10 * time.Millisecond
	// Connections whose handshake had begun when refusal started are accepted within this time.
	handshakeGrace = 2 * pollInterval

	reservedSockets = 64  // standard files, the poller, the listener, discovery and a margin
	memoryShare     = 0.7 // share of the memory limit that the heap may take before the collector runs harder
	collectAt       = 200 // percent of heap growth between collections while there is plenty of memory
)

// Program is one dispatcher process.
type Program struct {
	config       *config.Config
	log          *slog.Logger
	address      string // set before the phase is Serving
	admin        string // likewise; empty: there is no operators' address
	loop         *dispatch.Loop
	pool         *upstream.Pool
	watcher      *discovery.Watcher
	server       *clients.Server
	loads        *loadreport.Reader
	connLimits   connLimits
	cordons      cordons
	listReceived chan struct{} // closed once discovery has sent a list
	// discoveryUnreachable: no call has reached discovery yet, so its current list cannot be known.
	discoveryUnreachable atomic.Bool
	parts                []Part
	cordonStore          CordonStore // nil: cordons are kept in a file
	reloadRequests       chan func(error)
	sharer               Sharer          // nil: the list comes only from this process's watch
	olderSilent          bool            // an older process answered the handover call but sent no state
	listMu               sync.Mutex      // serializes list updates
	otherList            otherList       // the list from another process that this process's watch has not reached yet; guarded by listMu
	names                wire.Names      // the names in force; guarded by listMu
	ctx                  context.Context // of Run
	runErr               error           // why the program ended by itself; used only by the goroutine of Run

	mu               sync.Mutex
	phase            Phase
	phaseSince       time.Time // start of the phase
	endRequested     bool      // termination was requested while taking over
	answerBy         time.Time // after a termination request: the time by which every command has to be answered; zero: none
	refusedSince     time.Time // since when new connections are refused
	listener         *net.TCPListener
	instances        dispatch.InstanceList
	discovery        string
	older, newer     *handover.Link  // the other processes; nil: none
	olderState       processState    // the state sent by the older process
	handedSnapshot   decide.Snapshot // decision state sent to the newer process
	handoverListener *handover.Listener
}

// connLimits is how many connections the components may use while no other process runs at the address.
type connLimits struct{ listener, pool int }

// New creates a program with the given additional parts.
func New(c *config.Config, logger *slog.Logger, parts ...NewPart) (*Program, error) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetGCPercent(collectAt)
	p := &Program{config: c, log: logger, listReceived: make(chan struct{}), reloadRequests: make(chan func(error), 4), cordons: cordons{cordoned: map[string]bool{}, write: replaceFile}, discovery: c.Discovery, names: c.Names, phaseSince: time.Now()}
	sockets := c.Limits.Sockets - reservedSockets
	p.connLimits.pool = sockets * 2 / 5
	p.pool = upstream.NewPool(upstream.Limits{
		MaxConns: p.connLimits.pool, ConnectTimeout: c.Settings.Limits.ConnectTimeout, IdleTimeout: c.Settings.Limits.ConnIdle,
	})
	p.watcher = discovery.NewWatcher(c.Discovery, c.Known.Revision, c.Settings)
	p.connLimits.listener = sockets - p.connLimits.pool
	s := p.limitOpen(c.Settings)
	var err error
	if p.loop, err = dispatch.New(s, c.Names, p.pool, loopDiscovery{p}, otherProcesses{p}, logger); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p.pool.SetObserver(p.loop)
	p.loads = loadreport.New(c.Names.Reports, logger)
	p.pool.SetLoadReader(p.loads)
	p.server = clients.New(p.loop, s, c.Names, p.connLimits.listener, p.counters, logger)
	p.server.SetReportReader(p.loads)
	p.server.SetCounters(&p.loop.Counters)
	if c.Admin != "" {
		p.parts = append(p.parts, &admin{program: p, address: c.Admin})
	}
	for _, create := range parts {
		t, err := create(Core{Loop: p.loop, Log: logger, Config: c, Lists: listControl{p}, Cordons: cordonControl{p}, Reload: p.requestReload})
		if err != nil {
			return nil, err
		}
		t.Reloaded(c)
		p.parts = append(p.parts, t)
	}
	p.resize()
	return p, nil
}

// Address is the address that clients connect to, once the program serves.
func (p *Program) Address() string { return p.address }

// Admin is the operators' address once the program serves; empty: none.
func (p *Program) Admin() string { return p.admin }

// Phase returns the phase that the program is in.
func (p *Program) Phase() Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase
}

// enter moves the program to phase next if it is in one of the phases from, and reports whether it was.
func (p *Program) enter(next Phase, from ...Phase) bool {
	if !p.setPhase(next, from) {
		return false
	}
	p.log.Info(next.String(), "held", p.loop.Pending()) // without the lock: logging may block on a slow reader
	p.eachPart(func(t Part) {
		if err := t.Phase(p.ctx, next); err != nil {
			p.log.Error("part", "name", t.Name(), "phase", next.String(), "err", err)
		}
	})
	return true
}

func (p *Program) setPhase(next Phase, from []Phase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(from, p.phase) {
		return false
	}
	p.phase, p.phaseSince = next, time.Now()
	p.server.SetDraining(next > Serving)
	return true
}

// Run serves until a termination signal arrives and no commands are pending.
func (p *Program) Run(signals <-chan os.Signal) error {
	known := p.config.Known
	known.Complete = true
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.ctx = ctx
	if err := p.startParts(ctx); err != nil {
		return err
	}
	if list := p.callOlder(ctx); list != nil {
		known.Revision, known.Instances = list.Revision, list.Instances
	} else {
		p.restoreCordons(p.savedCordons())
	}
	p.useInitialList(known)
	go p.loop.Run(ctx)
	go p.watcher.Run(ctx, p)
	go p.handleSignals(ctx, signals)
	for tick := time.NewTicker(pollInterval); p.Phase() != Stopped; <-tick.C {
		p.advance(ctx, time.Now())
	}
	p.closeLinks()
	if p.listener != nil {
		p.listener.Close()
	}
	p.log.Info("counters at exit", p.loop.Counters.Attrs()...)
	return p.runErr
}

// advance makes the phase changes that are due at now.
func (p *Program) advance(ctx context.Context, now time.Time) {
	p.mu.Lock()
	phase, since, last := p.phase, p.phaseSince, p.answerBy
	p.mu.Unlock()
	if late := !last.IsZero() && now.After(last); late && (phase == Departing || phase == Draining) && !p.server.HandedOver() {
		p.refuseConnections(now)
		p.server.CloseUnserved(now)
		p.loop.AnswerAll()
	}
	switch moved := now.Sub(since) >= frontSwitchDelay; phase {
	case Starting, TakingOver:
		p.advanceStart(ctx, now)
	case Quiescing:
		if moved {
			p.enter(Quiesced, Quiescing)
		}
	case Quiesced:
		p.server.CloseIdle(now.Add(-idleGrace))
	case Departing:
		if moved {
			p.enter(Draining, Departing)
		}
	case Draining:
		p.server.CloseIdle(now.Add(-idleGrace))
		// Cancellations under way spare instances useless work; each ends within a second.
		if p.loop.Pending() == 0 && !p.pool.Busy() && p.server.Drained() && !slices.ContainsFunc(p.parts, func(t Part) bool { return !t.Quiet() }) && p.refuseConnections(now) {
			p.enter(Stopped, Draining)
		}
	}
}

// refuseConnections refuses new connections and reports whether those whose handshake had begun before have been
// accepted.
func (p *Program) refuseConnections(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newer != nil { // the newer process accepts them
		return true
	}
	if p.refusedSince.IsZero() {
		p.refusedSince = now
		if err := clients.RejectNewConns(p.listener); err != nil {
			p.log.Debug("cannot refuse new connections on the listener", "err", err)
		}
	}
	return now.Sub(p.refusedSince) >= handshakeGrace
}

// handleSignals handles signals and reload requests: SIGHUP rereads the configuration, in every phase; any other
// signal ends the program.
func (p *Program) handleSignals(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case done := <-p.reloadRequests:
			done(p.reload())
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.eachPart(func(t Part) {
					// Asked notifies a part that an operator has asked for a reload by SIGHUP.
					if h, ok := t.(interface{ Asked() }); ok {
						h.Asked()
					}
				})
				p.reload()
			} else {
				p.terminate()
			}
		}
	}
}

// clientsDivisor: clients use at most 1/clientsDivisor of their descriptors for requests, as documented for
// operators; they are taken to have as many as this program's limit. A request for which none is free is rejected
// unread.
const clientsDivisor = 3

// limitOpen lowers the limit of open commands to what the connections allow. Each open command keeps a connection,
// and some must stay free: here, so that callbacks can arrive, without which no pending command would ever end;
// and at the clients, so that requests can be refused. Package decide refuses requests beyond the limit.
func (p *Program) limitOpen(s decide.Settings) decide.Settings {
	clients := p.config.Limits.Sockets / clientsDivisor
	if open := min(clients-clients/8, p.connLimits.listener-p.connLimits.listener/6); s.Limits.MaxOpen <= 0 || s.Limits.MaxOpen > open {
		s.Limits.MaxOpen = open
	}
	return s
}

// requestReload has the configuration reloaded and passes the outcome to done.
func (p *Program) requestReload(done func(error)) {
	select {
	case p.reloadRequests <- done:
	default:
		go done(errors.New("the program has reloads to do already"))
	}
}

// reload applies the configuration file as it is now. A faulty file changes nothing.
func (p *Program) reload() error {
	next, err := p.config.Reload()
	if err == nil {
		err = p.loop.Reconfigure(p.limitOpen(next.Settings), next.Names) // package decide may reject the settings
	}
	if err != nil {
		p.loop.Counters.ConfigLoadErrors.Add(1)
		p.log.Error("configuration not reloaded", "err", err)
		return err
	}
	p.updateNames(next.Names)
	p.server.UpdateSettings(next.Settings, next.Names)
	p.loads.SetFields(next.Names.Reports)
	p.watcher.UpdateSettings(next.Settings)
	p.pool.SetTimeouts(next.Settings.Limits.ConnectTimeout, next.Settings.Limits.ConnIdle)
	if keys := p.config.KeysChangedAtRestart(next); len(keys) > 0 {
		p.log.Warn("configuration changes that take effect at the next start", "keys", keys)
	}
	p.loop.Counters.ConfigLoads.Add(1)
	p.log.Info("configuration reloaded", "discovery", next.Discovery, "classes", next.Names.Classes)
	p.config.SetInForce(next)
	p.eachPart(func(t Part) { t.Reloaded(next) })
	p.mu.Lock()
	moved := next.Discovery != p.discovery
	p.discovery = next.Discovery
	p.mu.Unlock()
	if moved {
		p.watcher.ChangeAddress(next.Discovery)
		if p.sharer != nil {
			p.sharer.Moved()
		}
	}
	return nil
}

// updateNames passes the list to the loop again where the settings name other zones or kinds of encoder: the list
// refers to them by name.
func (p *Program) updateNames(names wire.Names) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	was := p.names
	if p.names = names; slices.Equal(was.Zones, names.Zones) && slices.Equal(was.Kinds, names.Kinds) {
		return
	}
	p.mu.Lock()
	l := p.instances.Snapshot()
	p.mu.Unlock()
	p.loop.UpdateInstances(l, true)
}

// terminate ends the program gracefully.
func (p *Program) terminate() {
	p.mu.Lock()
	p.endRequested = true // while taking over: the older process may have handed over already
	p.answerBy = p.server.BeginShutdown(time.Now())
	p.mu.Unlock()
	_ = p.enter(Stopped, Starting) || p.enter(Departing, Serving, Quiescing, Quiesced) || p.enter(Draining, HandedOver)
}

// applyList applies a list, to the pool first, which checks each send.
func (p *Program) applyList(l dispatch.InstanceUpdate, cached bool) {
	p.mu.Lock()
	p.instances.Update(l)
	p.mu.Unlock()
	p.pool.UpdateInstances(l)
	p.eachPart(func(t Part) { t.Listed(l) })
	p.loop.UpdateInstances(l, cached)
}
