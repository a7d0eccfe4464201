// Package program puts the dispatcher's parts together and takes them from start to exit.
package program

import (
	"context"
	"fmt"
	"log"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/clients"
	"caperrelay/internal/net/instances"
	"caperrelay/internal/net/nametable"
)

// Phase is a state of the program.
type Phase int32

// The phases, in their order.
const (
	Starting  Phase = iota // parts are made, nothing listens
	Serving                // commands are taken in
	Departing              // told to end: the front still sends, answers close connections
	Draining               // the front has moved on: what is held is answered
	Stopped                // nothing is held and nothing listens
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "departing", "draining", "stopped"}[p]
}

const (
	// The front goes on sending for up to 0.4 s after a planned restart has begun.
	departure = 600 * time.Millisecond
	// A service client's connection that has been idle for so long is closed then.
	quiet = 200 * time.Millisecond
	check = 10 * time.Millisecond

	reservedSockets = 64  // standard files, the poller, the listener, the name table, some to spare
	memoryShare     = 0.7 // of the limit that the heap may take before collecting harder
	collectAt       = 200 // percent of growth between collections while memory is plenty
)

// Program is one dispatcher process.
type Program struct {
	config  *config.Config
	log     *log.Logger
	phase   atomic.Int32
	address string // set before the phase is Serving
	loop    *dispatch.Loop
	pool    *instances.Pool
	watcher *nametable.Watcher
	server  *clients.Server
}

// New makes the parts of a dispatcher.
func New(c *config.Config, logger *log.Logger) (*Program, error) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(memoryShare * float64(c.Limits.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(collectAt)
	p := &Program{config: c, log: logger}
	sockets := c.Limits.Sockets - reservedSockets
	p.pool = instances.NewPool(instances.Limits{
		Connections: sockets * 2 / 5, Connect: c.Settings.Limits.ConnectTimeout, Idle: c.Settings.Limits.ConnIdle,
	})
	p.watcher = nametable.NewWatcher(c.Discovery, c.Known.Revision)
	// Each command held keeps a connection. Some must stay free, or no call-back could come
	// in and nothing held would ever end: the module refuses what goes beyond.
	listener := sockets - sockets*2/5
	s := c.Settings
	if open := listener - listener/6; s.Limits.Open <= 0 || s.Limits.Open > open {
		s.Limits.Open = open
	}
	var err error
	if p.loop, err = dispatch.New(s, p.pool, p.watcher, logger); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p.pool.ReportTo(p.loop)
	p.server = clients.New(p.loop, s, c.Names, listener, p.loop.Books.String, logger)
	return p, nil
}

// Address is where the program listens, once it serves.
func (p *Program) Address() string { return p.address }

// Phase is the state that the program is in.
func (p *Program) Phase() Phase { return Phase(p.phase.Load()) }

func (p *Program) enter(next Phase) {
	p.phase.Store(int32(next))
	p.log.Printf("%s, %d commands held", next, p.loop.Holding())
}

// Run serves until a signal to end comes and nothing is held any more.
func (p *Program) Run(signals <-chan os.Signal) error {
	p.enter(Starting)
	l, err := net.Listen("tcp", p.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	known := p.config.Known
	known.Complete = true
	p.pool.Listed(known)
	p.loop.Listed(known, p.config.Names, true)
	go p.loop.Run(ctx)
	go p.watcher.Run(ctx, p)
	p.address = l.Addr().String()
	go p.server.Serve(ctx, l)
	end := make(chan struct{})
	go p.obey(ctx, signals, end)
	p.enter(Serving)

	<-end
	p.enter(Departing)
	p.server.Drain()
	time.Sleep(departure)

	p.enter(Draining)
	for tick := time.NewTicker(check); ; <-tick.C {
		p.server.CloseIdle(time.Now().Add(-quiet))
		// Give-ups that are on their way spare instances work for nobody; each ends within a second.
		if p.loop.Holding() == 0 && !p.pool.Busy() && p.server.Quiet() {
			break
		}
	}
	l.Close()
	p.enter(Stopped)
	p.log.Printf("counters at exit:\n%s", p.loop.Books.String())
	return nil
}

// obey takes signals: SIGHUP reads the configuration anew, in every phase, any other closes end.
func (p *Program) obey(ctx context.Context, signals <-chan os.Signal, end chan<- struct{}) {
	ending := false
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				p.reload()
			case !ending:
				ending = true
				close(end)
			}
		}
	}
}

// reload takes the configuration file as it is now. A faulty one changes nothing.
func (p *Program) reload() {
	next, err := p.config.Reload()
	if err != nil {
		p.log.Printf("configuration not reloaded: %v", err)
		return
	}
	if keys := p.config.AtRestart(next); len(keys) > 0 {
		p.log.Printf("configuration: %s count from the next start on", strings.Join(keys, ", "))
	}
	p.log.Printf("configuration reloaded, discovery at %s", next.Discovery)
	if next.Discovery != p.config.Discovery {
		p.config.Discovery = next.Discovery
		p.watcher.Move(next.Discovery)
	}
}

// Listed takes the name table's news: the pool first, which guards each send.
func (p *Program) Listed(l dispatch.List) {
	p.pool.Listed(l)
	p.loop.Listed(l, p.config.Names, false)
}

// Lost takes the end of a watch.
func (p *Program) Lost(err error) {
	p.log.Printf("name table: %v", err)
	p.loop.ListLost()
}
