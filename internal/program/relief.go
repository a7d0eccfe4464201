package program

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/handover"
)

// Relief is how one process takes over from another that serves the same address. The newer
// calls at the older's door; docs/design.md says who does what.

const (
	answerPatience = time.Second             // with the older process, for each of its answers
	freshPatience  = 3500 * time.Millisecond // with discovery, before the older's list must do
)

// soReusePort is not in the syscall package on all systems.
const soReusePort = 0xf

// meet calls at the door of a process that serves the address, and returns its list: it is at
// least as fresh as the one in the configuration. nil: there is none.
func (p *Program) meet(ctx context.Context) *dispatch.List {
	link, err := handover.Call(p.path())
	if err != nil {
		return nil
	}
	state := make(chan handover.Message, 1)
	p.mu.Lock()
	p.older = link
	p.mu.Unlock()
	go func() {
		link.Run(func(m handover.Message, f *os.File) { p.fromOlder(ctx, m, f, state) })
		p.olderGone()
	}()
	select {
	case p.before = <-state:
	case <-time.After(answerPatience):
	}
	if p.before.List == nil {
		p.log.Print("what answers at the door hands nothing over")
		link.Close()
		return nil
	}
	p.watcher.From(p.before.Discovery, p.before.List.Revision)
	p.mu.Lock()
	p.discovery = p.before.Discovery
	p.mu.Unlock()
	p.resize()
	return p.before.List
}

// path is where the door is of whoever serves the address.
func (p *Program) path() string { return handover.Path(p.config.Dir, p.config.Listen) }

// resize has this process use what it may, for memory, connections to instances and commands: all
// of the machine is there for both together.
func (p *Program) resize() {
	p.mu.Lock()
	relieving, yielded := p.older != nil, p.server.Yielded()
	alone := !relieving && p.newer == nil
	p.mu.Unlock()
	memory, pool, open := 1.0, p.bounds.pool, p.bounds.open
	if !alone {
		memory = 0.5
	}
	if yielded { // there is nothing to come, only to end
		pool /= 4
	} else if relieving {
		pool -= pool / 4
		open -= min(p.loop.Elsewhere(), open/2)
	}
	debug.SetMemoryLimit(int64(memory * memoryShare * float64(p.config.Limits.MemoryMB) * (1 << 20)))
	p.pool.Bound(pool)
	p.loop.Room(open)
}

// listen opens the listener, unless it was handed over. Another process may listen at the address
// beside this one: it is the way where its door is of no use.
func (p *Program) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
			err2 := c.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
			})
			return cmp.Or(err, err2)
		}}
		l, err := shared.Listen(context.Background(), "tcp", p.config.Listen)
		if err != nil {
			return err
		}
		p.listener = l.(*net.TCPListener)
	}
	p.address = p.listener.Addr().String()
	return nil
}

// relieve takes the program towards serving: at once, or where an older process serves, once
// discovery has spoken and the older has yielded.
func (p *Program) relieve(ctx context.Context, now time.Time) {
	p.mu.Lock()
	phase, since, older := p.phase, p.since, p.older
	p.mu.Unlock()
	late := now.Sub(since) >= freshPatience
	select {
	case <-p.fresh:
		late = true
	default:
	}
	switch {
	case older == nil || phase == Relieving && now.Sub(since) >= answerPatience:
		p.serve(ctx)
	case phase == Starting && late && p.enter(Relieving, Starting):
		older.Tell(handover.Message{Kind: handover.Ready})
	}
}

// serve begins to take commands in.
func (p *Program) serve(ctx context.Context) {
	next := Serving
	if p.before.Quiesced {
		next = Quiescing
	}
	if !p.enter(next, Starting, Relieving) {
		return
	}
	go p.server.Serve(ctx, p.listener)
	p.openDoor(ctx)
	p.mu.Lock()
	ending := p.ending
	p.mu.Unlock()
	if ending {
		p.end()
	}
}

// openDoor lets a newer process call.
func (p *Program) openDoor(ctx context.Context) {
	door, err := handover.Open(p.path())
	if err != nil {
		p.log.Printf("no door for a newer process: %v", err)
		return
	}
	p.mu.Lock()
	p.door = door
	p.mu.Unlock()
	go func() {
		for {
			link, err := door.Accept()
			if err != nil {
				return
			}
			go p.greet(ctx, link)
		}
	}()
}

// greet serves a newer process, one at a time.
func (p *Program) greet(ctx context.Context, link *handover.Link) {
	p.mu.Lock()
	taken := p.newer != nil
	if !taken {
		p.newer = link
	}
	list := p.table.List()
	quiesced := p.phase == Quiescing || p.phase == Quiesced
	discovery := p.discovery
	p.mu.Unlock()
	if taken {
		link.Close()
		return
	}
	p.resize()
	link.Pass(handover.Message{Kind: handover.State, List: &list, Discovery: discovery, Quiesced: quiesced}, kept{p.listener})
	link.Run(func(m handover.Message, f *os.File) {
		switch m.Kind {
		case handover.Ready:
			p.yield(link)
		case handover.News:
			if m.News != nil {
				m.News.Via = dispatch.NewerProcess
				p.loop.News(*m.News)
			}
		}
		if f != nil {
			f.Close()
		}
	})
	p.newerGone(ctx)
}

// kept is a socket that is shared with the other process, not given away.
type kept struct{ *net.TCPListener }

func (kept) Close() error { return nil }

// yield leaves all that comes to the newer process.
func (p *Program) yield(link *handover.Link) {
	p.loop.Yield(func(m dispatch.Memory, ids []string) {
		link.Tell(handover.Message{Kind: handover.Yielded, Memory: &m, IDs: ids, Places: p.server.Connections()})
		p.server.Yield(heir{link})
		p.listener.SetDeadline(time.Unix(1, 0)) // the socket is shared, this is not
		p.enter(Yielded, Serving, Quiescing, Quiesced)
		go p.resize()
	})
	p.mu.Lock()
	p.door.Close()
	p.mu.Unlock()
}

// heir passes connections to the newer process.
type heir struct{ *handover.Link }

func (h heir) Pass(nc *net.TCPConn, answered, instance bool) {
	h.Link.Pass(handover.Message{Kind: handover.Connection, Answered: answered, Instance: instance}, nc)
}

func (h heir) Left() { h.Tell(handover.Message{Kind: handover.Left}) }

// newerGone takes everything up again, unless this process is ending.
func (p *Program) newerGone(ctx context.Context) {
	p.mu.Lock()
	p.newer = nil
	p.mu.Unlock()
	if p.server.Yielded() {
		p.server.Keep()
		p.loop.Resume()
	}
	p.resize()
	if p.enter(Serving, Yielded) {
		p.log.Print("the newer process has gone")
		p.listener.SetDeadline(time.Time{})
		go p.server.Serve(ctx, p.listener)
		p.openDoor(ctx)
	}
}

// fromOlder takes what the older process tells.
func (p *Program) fromOlder(ctx context.Context, m handover.Message, f *os.File, state chan<- handover.Message) {
	defer func() {
		if f != nil {
			f.Close()
		}
	}()
	switch m.Kind {
	case handover.State:
		if err := p.inherit(f); err != nil {
			p.log.Printf("the listener handed over: %v", err)
			return
		}
		select {
		case state <- m:
		default:
		}
	case handover.Yielded:
		if m.Memory != nil {
			p.loop.Relieve(*m.Memory, m.IDs)
		}
		p.server.Lend(m.Places)
		p.resize()
		p.serve(ctx)
	case handover.Connection:
		if nc, err := net.FileConn(f); err == nil {
			p.server.Adopt(nc, m.Answered, m.Instance)
		}
	case handover.Left:
		p.server.Returned()
	case handover.Taken:
		p.loop.TookElsewhere(m.ID)
	case handover.Ended:
		p.loop.EndedElsewhere(m.ID)
	case handover.Load:
		p.loop.LoadElsewhere(m.Load)
	case handover.News:
		if m.News != nil {
			m.News.Via = dispatch.OlderProcess
			p.loop.News(*m.News)
		}
	}
}

// olderGone is the end of the older process: all is this one's.
func (p *Program) olderGone() {
	p.mu.Lock()
	p.older = nil
	p.mu.Unlock()
	p.server.ReturnAll()
	p.loop.Alone()
	p.resize()
	p.log.Print("the older process has gone")
}

// leave ends the links, once all that was told is written.
func (p *Program) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.door != nil {
		p.door.Close()
	}
	for _, l := range []*handover.Link{p.older, p.newer} {
		if l != nil {
			l.Close()
		}
	}
}

// others is the way from the loop to the other processes.
type others struct{ *Program }

func (o others) tell(m handover.Message, older, newer bool) (told bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if older && o.older != nil {
		o.older.Tell(m)
		told = true
	}
	if newer && o.newer != nil {
		o.newer.Tell(m)
		told = true
	}
	return told
}

// News goes on to the processes that it did not come from.
func (o others) News(n dispatch.News) bool {
	return o.tell(handover.Message{Kind: handover.News, News: &n}, n.Via != dispatch.OlderProcess, n.Via != dispatch.NewerProcess)
}

func (o others) Took(id string)  { o.tell(handover.Message{Kind: handover.Taken, ID: id}, false, true) }
func (o others) Ended(id string) { o.tell(handover.Message{Kind: handover.Ended, ID: id}, false, true) }
func (o others) Load(b []byte)   { o.tell(handover.Message{Kind: handover.Load, Load: b}, false, true) }

// inherit takes the listener of the older process.
func (p *Program) inherit(f *os.File) error {
	if f == nil {
		return errors.New("none came")
	}
	l, err := net.FileListener(f)
	if err != nil {
		return err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return errors.New("no TCP")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = tcp
	return nil
}
