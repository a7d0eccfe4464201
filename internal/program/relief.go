package program

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/clients"
	"caperrelay/internal/net/handover"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/sock"
)

// In a handover, a newer process takes over from an older one that serves the same address. The newer process
// connects to the older one's handover socket; docs/design.md says which process does what.

// Whatever the older process does, this one serves after freshListTimeout + handoverTimeout at the latest, 4 s
// from its start; the wait for the older process's list is part of the wait for discovery. On an overloaded
// machine the older process may be held up for a second or two: if this process stops waiting for it, the commands
// that it holds and the connections waiting in its listener are lost.
const (
	freshPatience = 2500 * time.Millisecond // for discovery, and for the older process's list, which is used if discovery sends none
	yieldPatience = 1500 * time.Millisecond // for the older process to hand over
	callAgain     = 20 * time.Millisecond   // before calling again a process that already has a newer one
)

// The kinds of message between the processes.
const (
	told       = "standing"   // from the older: a processState, and its listener
	ready      = "ready"      // from the newer: it is ready to serve
	command    = "command"    // from the older: a dispatch.HandedCommand
	yielded    = "yielded"    // from the older: a handoverState, after which it accepts nothing more
	connection = "connection" // from the older: a clients.Passed and its socket
	closed     = "closed"     // from the older: one of its connections has ended
	left       = "left"       // from the older: the ID of a command whose client has disconnected
	became     = "became"     // from the older: a dispatch.Fate
	cordoned   = "cordoned"   // from either: a cordonChange
	listed     = "listed"     // from either: a sharedList, as just received
	news       = "news"       // from either: a dispatch.News that matches no attempt there
)

// processState is the state that the older process sends first.
type standing struct {
	List       *dispatch.List `json:"List"`
	Discovery  string         `json:"Discovery"`  // the address that its list comes from
	Configured string         `json:"Configured"` // discovery's address in its configuration at its start; empty: an older version, which does not send it
	Quiesced   bool           `json:"Quiesced"`   // clients are sent away
	Cordons    []string       `json:"Cordons"`
}

// sameDiscovery reports whether the older process's list applies to a process whose configuration has discovery at
// the address configured. The older process's discovery may have been moved since its start, which the newer
// process's environment need not reflect; but where that environment names another discovery than the older
// process was started with, the newer process is meant to use another list.
func (s standing) listsFor(configured string) bool {
	return s.Configured == "" || s.Configured == configured || s.Discovery == configured
}

// sharedList is the complete list, with the address of the discovery that its revision refers to.
type listing struct {
	dispatch.List
	Discovery string `json:"Discovery"`
}

// handoverState is what the older process hands over, except for the commands.
type handed struct {
	dispatch.Handed
	Places int `json:"Places"` // connections that it still has
}

// callOlder connects to a process that serves the address and returns the list to begin with: that process's list
// is at least as recent as the one in the configuration. nil: there is no such process.
func (p *Program) meet(ctx context.Context) *dispatch.List {
	until := p.since.Add(freshPatience) // the phase has not changed yet
	for {
		link, err := handover.Call(p.path())
		if err != nil {
			return nil
		}
		r := &relief{Program: p, link: link, state: make(chan standing, 1), gone: make(chan struct{})}
		if p.standingOf(ctx, r, until) {
			break
		}
		if time.Now().After(until) {
			p.log.Warn("the process at the handover socket sends no state; starting without it")
			p.mute = true
			return nil
		}
		time.Sleep(callAgain) // another process is taking over there and will put its own socket in place of this one
	}
	list := p.before.List
	if p.before.listsFor(p.config.Discovery) {
		p.watcher.From(p.before.Discovery, list.Revision)
		p.mu.Lock()
		p.discovery = p.before.Discovery
		p.mu.Unlock()
	} else {
		p.before.List, list = nil, &p.config.Known
	}
	p.watcher.Subscribe() // now: a process that takes over waits for discovery, and its watch replaces the older one's
	p.resize()
	return list
}

// requestState waits for the state of the process at the other end of a link, which becomes the older process. It
// returns false if the state has not arrived by the time until, or the link has ended; the link is then closed and
// has no effect.
func (p *Program) standingOf(ctx context.Context, r *relief, until time.Time) bool {
	p.mu.Lock()
	p.older = r.link
	p.mu.Unlock()
	go r.run(ctx)
	select {
	case p.before = <-r.state:
	case <-r.gone:
	case <-time.After(time.Until(until)):
	}
	if p.before.List != nil {
		return true
	}
	r.link.Close()
	<-r.gone // otherwise a late message could still take effect
	return false
}

// socketPath is the handover socket of the process that serves the address.
func (p *Program) path() string { return handover.Path(p.config.Dir, p.config.Listen) }

// resize sets the memory and connection limits: all processes at the address share the machine.
func (p *Program) resize() {
	p.mu.Lock()
	relieving, yielded := p.older != nil, p.server.Yielded()
	alone := !relieving && p.newer == nil
	p.mu.Unlock()
	memory, pool := 1.0, p.bounds.pool
	if !alone {
		memory = 0.5
	}
	if yielded { // no new work arrives, pending work only ends
		pool /= 4
	} else if relieving {
		pool -= pool / 4
	}
	debug.SetMemoryLimit(int64(memory * memoryShare * float64(p.config.Limits.MemoryMB) * (1 << 20)))
	p.pool.Bound(pool)
}

// listen opens the listener, unless it was handed over. Another process may listen at the address as well: the
// sockets share the port, for cases where its handover socket does not work.
func (p *Program) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		l, err := sock.Listen(p.config.Listen)
		if err != nil {
			return err
		}
		p.listener = l.(*net.TCPListener)
	}
	p.address = p.listener.Addr().String()
	return nil
}

// advanceStart takes the program towards serving: at once, or where an older process serves, once discovery has
// sent a list and the older process has handed over.
func (p *Program) relieve(ctx context.Context, now time.Time) {
	p.mu.Lock()
	phase, since, older := p.phase, p.since, p.older
	p.mu.Unlock()
	fresh := false
	select {
	case <-p.fresh:
		fresh = true
	default:
	}
	switch turn(phase, now.Sub(since), fresh, older != nil, p.mute, p.unreached.Load()) {
	case serves:
		p.serve(ctx)
	case asks:
		if p.enter(Relieving, Starting) {
			older.Tell(ready, nil)
		}
	}
}

// step is the next action of a process that starts.
type step int

const (
	waits step = iota
	asks       // asks the older process to hand over
	serves
)

// nextStep returns the next step after the time since in a phase. fresh: discovery has sent a list. older: an
// older process is connected. mute: one answered but sent no state; it may still be serving by a more recent list
// than the configuration's. unreachable: discovery cannot be reached. A process that starts alone has the
// configuration's list, which is as old as the previous process. Changes that discovery has had for longer than
// its propagation delay count as known to this process from its first moment, so it serves only once discovery has
// answered or cannot be reached.
func turn(phase Phase, since time.Duration, fresh, older, mute, unreachable bool) step {
	late := since >= freshPatience+yieldPatience
	switch {
	case phase == Relieving && (!older || since >= yieldPatience):
		return serves
	case phase == Starting && !older && (fresh || late || unreachable && !mute):
		return serves
	case phase == Starting && older && (fresh || since >= freshPatience):
		return asks
	}
	return waits
}

// serve starts accepting commands.
func (p *Program) serve(ctx context.Context) {
	if err := p.listen(); err != nil {
		p.failure = fmt.Errorf("listen: %w", err)
		p.enter(Stopped, Starting, Relieving)
		return
	}
	next := Serving
	if p.before.Quiesced {
		next = Quiescing
	}
	p.openDoor(ctx) // before the phase change, which tells others that this process can be called
	if !p.enter(next, Starting, Relieving) {
		return
	}
	go p.server.Serve(ctx, p.listener)
	p.mu.Lock()
	ending := p.ending
	p.mu.Unlock()
	if ending {
		p.end()
	}
}

// openHandover opens the handover socket, in place of that of the process before.
func (p *Program) openDoor(ctx context.Context) {
	door, err := handover.Open(p.path())
	if err != nil {
		p.log.Error("cannot open the handover socket for a newer process", "err", err)
		return
	}
	p.mu.Lock()
	previous := p.door
	p.door = door
	p.mu.Unlock()
	if previous != nil {
		previous.Close()
	}
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

// serveNewer serves a newer process, one at a time. While this process takes over itself, or has handed over,
// callers are turned away; they call again.
func (p *Program) greet(ctx context.Context, link *handover.Link) {
	p.cordons.mu.Lock() // so that later cordons are sent as later messages
	p.mu.Lock()
	refused := p.newer != nil || p.phase == Starting || p.phase == Relieving || p.phase == Yielded
	if !refused {
		p.newer = link
	}
	list := p.table.List()
	quiesced := p.phase == Quiescing || p.phase == Quiesced
	discovery := p.discovery
	p.mu.Unlock()
	if !refused {
		link.Pass(told, standing{&list, discovery, p.config.Discovery, quiesced, slices.Sorted(maps.Keys(p.cordons.out))}, kept{p.listener})
	}
	p.cordons.mu.Unlock()
	if refused {
		link.Close()
		return
	}
	p.resize()
	link.Run(func(m handover.Message, f *os.File) {
		switch m.Kind {
		case ready:
			p.yield(link)
		case cordoned:
			var c cordoning
			if m.Read(&c) == nil {
				p.cordon(c, link)
			}
		case listed:
			var l listing
			if m.Read(&l) == nil {
				p.heard(l, false)
			}
		case news:
			var n dispatch.News
			if m.Read(&n) == nil {
				n.Via = dispatch.NewerProcess
				p.loop.News(n)
			}
		}
		if f != nil {
			f.Close()
		}
	})
	p.newerGone(ctx)
}

// sharedListener is a socket that is shared with the other process, so that sending it does not close it here.
type kept struct{ *net.TCPListener }

func (kept) Close() error { return nil }

// handOver hands over all pending commands and all new work to the newer process.
func (p *Program) yield(link *handover.Link) {
	release := p.server.HoldCallbacks()
	p.loop.Yield(func(state dispatch.Handed) bool {
		defer release()
		p.pool.Unsend() // before the other process can cancel one: this process may be suspended here
		for _, c := range state.Commands {
			if !link.Tell(command, c) {
				return false
			}
		}
		if !link.Tell(yielded, handed{state, p.server.Connections()}) {
			return false
		}
		p.server.Yield(heir{link})
		p.listener.SetDeadline(time.Unix(1, 0)) // the socket is shared, this deadline is not
		p.mu.Lock()
		p.given = state.Module
		p.mu.Unlock()                                  // the handover socket stays, turning callers away, until the newer process has its own in that place
		p.enter(Yielded, Serving, Quiescing, Quiesced) // unless it has been told to end
		return true
	})
}

// heir passes connections to the newer process.
type heir struct{ *handover.Link }

func (h heir) Pass(nc *net.TCPConn, p clients.Passed) { h.Link.Pass(connection, p, nc) }
func (h heir) Left()                                  { h.Tell(closed, nil) }

// newerGone takes everything back, unless this process is ending.
func (p *Program) newerGone(ctx context.Context) {
	p.keepAll()
	p.mu.Lock()
	p.newer = nil
	list, given := p.table.List(), p.given
	p.mu.Unlock()
	if p.server.Yielded() {
		p.server.Keep()
		p.loop.Resume(list, given)
	}
	p.resize()
	if p.enter(Serving, Yielded) {
		p.log.Info("the newer process has ended")
		p.listener.SetDeadline(time.Time{})
		go p.server.Serve(ctx, p.listener)
		p.openDoor(ctx)
	}
}

// takeover handles the messages of the older process.
type relief struct {
	*Program
	link     *handover.Link
	state    chan standing // the older process's state
	gone     chan struct{} // closed once the link has ended
	met      bool          // the older process's state has arrived
	commands []*dispatch.HandedCommand
}

// run handles messages until the link ends.
func (r *relief) run(ctx context.Context) {
	defer close(r.gone)
	r.link.Run(func(m handover.Message, f *os.File) {
		if err := r.take(ctx, m, f); err != nil {
			r.log.Error("invalid message from the older process", "kind", m.Kind, "err", err)
		}
		if f != nil {
			f.Close()
		}
	})
	if r.met {
		r.olderGone()
		return
	}
	r.mu.Lock()
	r.older = nil
	r.mu.Unlock()
}

func (r *relief) take(ctx context.Context, m handover.Message, f *os.File) error {
	switch m.Kind {
	case told:
		var s standing
		if err := errors.Join(m.Read(&s), r.inherit(f)); err != nil {
			return err
		}
		r.recall(s.Cordons)
		r.met = true
		select {
		case r.state <- s:
		default:
		}
	case command:
		c, q := &dispatch.HandedCommand{}, &http1.Request{}
		if err := m.Read(c); err != nil {
			return err
		}
		if err := json.Unmarshal(c.Payload, q); err != nil {
			return err
		}
		c.Command.Payload, c.Client = q, r.server.Expect(&c.Command, q.Close)
		r.commands = append(r.commands, c)
	case yielded:
		var h handed
		if err := m.Read(&h); err != nil {
			return err
		}
		h.Commands, r.commands = r.commands, nil
		r.server.Lend(h.Places)
		r.loop.Relieve(h.Handed)
		r.resize()
		r.serve(ctx)
	case connection:
		var p clients.Passed
		if err := m.Read(&p); err != nil {
			return err
		}
		nc, err := net.FileConn(f)
		if err != nil {
			return err
		}
		r.server.Adopt(nc, p)
	case closed:
		r.server.Returned()
	case left:
		var id string
		if err := m.Read(&id); err != nil {
			return err
		}
		r.loop.LapseElsewhere(id)
	case became:
		var update dispatch.Fate
		if err := m.Read(&update); err != nil {
			return err
		}
		r.loop.Became(update)
	case cordoned:
		var c cordoning
		if err := m.Read(&c); err != nil {
			return err
		}
		return r.cordon(c, r.link)
	case listed:
		var l listing
		if err := m.Read(&l); err != nil {
			return err
		}
		r.heard(l, true)
	case news:
		var n dispatch.News
		if err := m.Read(&n); err != nil {
			return err
		}
		n.Via = dispatch.OlderProcess
		r.loop.News(n)
	}
	return nil
}

// olderGone is called when the older process has ended: this process owns everything now.
func (p *Program) olderGone() {
	p.keepAll()
	p.mu.Lock()
	p.older = nil
	p.mu.Unlock()
	p.server.ReturnAll()
	p.loop.Alone()
	p.resize()
	p.log.Info("the older process has ended")
}

// closeLinks ends the links once all queued messages are written.
func (p *Program) leave() {
	p.mu.Lock()
	door, links := p.door, []*handover.Link{p.older, p.newer}
	p.mu.Unlock()
	if door != nil {
		door.Close()
	}
	for _, l := range links {
		if l != nil {
			l.Close()
		}
	}
}

// others forwards events of the loop to the other processes.
type others struct{ *Program }

func (o others) tell(kind string, body any, older, newer bool) (sent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if older && o.older != nil {
		o.older.Tell(kind, body)
		sent = true
	}
	if newer && o.newer != nil {
		o.newer.Tell(kind, body)
		sent = true
	}
	return sent
}

// Elsewhere forwards a callback to the processes that it did not come from.
func (o others) Elsewhere(n dispatch.News) bool {
	return o.tell(news, n, n.Via != dispatch.OlderProcess, n.Via != dispatch.NewerProcess)
}

func (o others) Became(f dispatch.Fate) { o.tell(became, f, false, true) }
func (o others) Left(id string)         { o.tell(left, id, false, true) }

// takeListener takes over the listener of the older process.
func (p *Program) inherit(f *os.File) error {
	if f == nil {
		return errors.New("the older process sent no listener")
	}
	l, err := net.FileListener(f)
	if err != nil {
		return err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return errors.New("the older process's listener is not a TCP listener")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = tcp
	return nil
}
