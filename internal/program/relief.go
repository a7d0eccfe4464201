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

// Relief is how one process takes over from another that serves the same address. The newer
// calls at the older's door; docs/design.md says who does what.

// Whatever the older does, or does not, this one serves after freshPatience + yieldPatience at the latest, 4 s from
// its start: the wait for the older's list is part of that for discovery. A machine short of time holds the older up for
// a second or two: whoever is given up on then loses what it holds, and what waits in its listener.
const (
	freshPatience = 2500 * time.Millisecond // with discovery, and with the older's list, which must do then
	yieldPatience = 1500 * time.Millisecond // with the older, to yield
	callAgain     = 20 * time.Millisecond   // after a process that has a newer one already
)

// What the processes tell each other, by kind of message.
const (
	told       = "standing"   // the older: a standing, and its listener
	ready      = "ready"      // the newer: it could serve
	command    = "command"    // the older: a dispatch.HandoverCommand
	yielded    = "yielded"    // the older: a handed, after which it takes nothing more
	connection = "connection" // the older: a clients.Passed and its socket
	closed     = "closed"     // the older: one of its connections has ended
	left       = "left"       // the older: the id of a command whose client has left
	became     = "became"     // the older: a dispatch.AttemptUpdate
	cordoned   = "cordoned"   // either: a cordoning
	listed     = "listed"     // either: a listing, as it has just been told
	news       = "news"       // either: a dispatch.Callback that matches nothing there
)

// standing is what the older process goes by.
type standing struct {
	List       *dispatch.InstanceUpdate `json:"List"`
	Discovery  string                   `json:"Discovery"`  // where its list comes from
	Configured string                   `json:"Configured"` // where its configuration had it come from when it started; empty: an older version, which does not tell
	Quiesced   bool                     `json:"Quiesced"`   // clients are sent away
	Cordons    []string                 `json:"Cordons"`
}

// listsFor tells whether its list is the one of a process whose configuration has discovery at an address. It may have been moved
// since its start, which the newer process's environment need not say; but where that names another discovery than it was started
// with, the newer one is meant to go by another list.
func (s standing) listsFor(configured string) bool {
	return s.Configured == "" || s.Configured == configured || s.Discovery == configured
}

// listing is the whole list, and whose revision it has.
type listing struct {
	dispatch.InstanceUpdate
	Discovery string `json:"Discovery"`
}

// handed is all that it hands over, but for commands.
type handed struct {
	dispatch.HandoverState
	Places int `json:"Places"` // connections that it has yet
}

// meet calls at the door of a process that serves the address, and returns the list to begin with: that process's is at
// least as fresh as the one in the configuration. nil: there is none.
func (p *Program) meet(ctx context.Context) *dispatch.InstanceUpdate {
	until := p.since.Add(freshPatience) // nothing has changed the phase yet
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
			p.log.Warn("what answers at the door hands nothing over")
			p.mute = true
			return nil
		}
		time.Sleep(callAgain) // another process is taking over there, and will open its own door in place of this one
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
	p.watcher.Subscribe() // now: what takes over waits for discovery, and takes the place of another watch
	p.resize()
	return list
}

// standingOf has the process at the other end of a link tell how it stands, and be this one's older from now on. false: it
// has not by then, or has ended the link; it is closed and of no effect.
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
	<-r.gone // or a late word of it could still count
	return false
}

// path is where the door is of whoever serves the address.
func (p *Program) path() string { return handover.Path(p.config.Dir, p.config.Listen) }

// resize has this process use what it may: the machine is there for all of them together.
func (p *Program) resize() {
	p.mu.Lock()
	relieving, yielded := p.older != nil, p.server.Yielded()
	alone := !relieving && p.newer == nil
	p.mu.Unlock()
	memory, pool := 1.0, p.bounds.pool
	if !alone {
		memory = 0.5
	}
	if yielded { // there is nothing to come, only to end
		pool /= 4
	} else if relieving {
		pool -= pool / 4
	}
	debug.SetMemoryLimit(int64(memory * memoryShare * float64(p.config.Limits.MemoryMB) * (1 << 20)))
	p.pool.Bound(pool)
}

// listen opens the listener, unless it was handed over. Another process may listen at the address
// beside this one: it is the way where its door is of no use.
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

// relieve takes the program towards serving: at once, or where an older process serves, once
// discovery has spoken and the older has yielded.
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

// step is what a process that takes over does next.
type step int

const (
	waits step = iota
	asks       // the older to yield
	serves
)

// turn says which, after so long in a phase. fresh: discovery has told. older: such a process is connected; mute: it
// was, and told nothing, and may serve on by a list that the configuration's is older than. unreached: discovery cannot be
// reached.
//
// A process that starts alone has the configuration's list, which is as old as the process before it. What discovery has had
// for longer than its delay counts as known to this process too, from its first moment: it serves only once it has been told,
// or cannot be.
func turn(phase Phase, since time.Duration, fresh, older, mute, unreached bool) step {
	late := since >= freshPatience+yieldPatience
	switch {
	case phase == Relieving && (!older || since >= yieldPatience):
		return serves
	case phase == Starting && !older && (fresh || late || unreached && !mute):
		return serves
	case phase == Starting && older && (fresh || since >= freshPatience):
		return asks
	}
	return waits
}

// serve begins to take commands in.
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
	p.openDoor(ctx) // before the phase, by which others tell that this one can be called
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

// openDoor lets a newer process call, in place of whoever had the door before.
func (p *Program) openDoor(ctx context.Context) {
	door, err := handover.Open(p.path())
	if err != nil {
		p.log.Error("no door for a newer process", "err", err)
		return
	}
	p.mu.Lock()
	before := p.door
	p.door = door
	p.mu.Unlock()
	if before != nil {
		before.Close()
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

// greet serves a newer process, one at a time. While this one takes over itself, or has handed over, the newer one is turned
// away: it calls again.
func (p *Program) greet(ctx context.Context, link *handover.Link) {
	p.cordons.mu.Lock() // whoever is left out later is told of later
	p.mu.Lock()
	taken := p.newer != nil || p.phase == Starting || p.phase == Relieving || p.phase == Yielded
	if !taken {
		p.newer = link
	}
	list := p.table.Snapshot()
	quiesced := p.phase == Quiescing || p.phase == Quiesced
	discovery := p.discovery
	p.mu.Unlock()
	if !taken {
		link.Pass(told, standing{&list, discovery, p.config.Discovery, quiesced, slices.Sorted(maps.Keys(p.cordons.out))}, kept{p.listener})
	}
	p.cordons.mu.Unlock()
	if taken {
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
			var n dispatch.Callback
			if m.Read(&n) == nil {
				n.Via = dispatch.FromNewerProcess
				p.loop.HandleCallback(n)
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

// yield leaves all that is in hand and all that comes to the newer process.
func (p *Program) yield(link *handover.Link) {
	release := p.server.HoldCallbacks()
	p.loop.HandOver(func(given dispatch.HandoverState) bool {
		defer release()
		p.pool.Unsend() // before the other process can give one up: this one may stand still here
		for _, c := range given.Commands {
			if !link.Tell(command, c) {
				return false
			}
		}
		if !link.Tell(yielded, handed{given, p.server.Connections()}) {
			return false
		}
		p.server.Yield(heir{link})
		p.listener.SetDeadline(time.Unix(1, 0)) // the socket is shared, this is not
		p.mu.Lock()
		p.given = given.Module
		p.mu.Unlock()                                  // its door stays, and turns callers away, until the newer one's is in its place
		p.enter(Yielded, Serving, Quiescing, Quiesced) // unless it has been told to end
		return true
	})
}

// heir passes connections to the newer process.
type heir struct{ *handover.Link }

func (h heir) Pass(nc *net.TCPConn, p clients.Passed) { h.Link.Pass(connection, p, nc) }
func (h heir) Left()                                  { h.Tell(closed, nil) }

// newerGone takes everything up again, unless this process is ending.
func (p *Program) newerGone(ctx context.Context) {
	p.keepAll()
	p.mu.Lock()
	p.newer = nil
	list, given := p.table.Snapshot(), p.given
	p.mu.Unlock()
	if p.server.Yielded() {
		p.server.Keep()
		p.loop.Resume(list, given)
	}
	p.resize()
	if p.enter(Serving, Yielded) {
		p.log.Info("the newer process has gone")
		p.listener.SetDeadline(time.Time{})
		go p.server.Serve(ctx, p.listener)
		p.openDoor(ctx)
	}
}

// relief takes what the older process tells.
type relief struct {
	*Program
	link     *handover.Link
	state    chan standing // how the older stands
	gone     chan struct{} // closed once the link has ended
	met      bool          // the older has told how it stands
	commands []*dispatch.HandoverCommand
}

// run takes what comes until the link ends.
func (r *relief) run(ctx context.Context) {
	defer close(r.gone)
	r.link.Run(func(m handover.Message, f *os.File) {
		if err := r.take(ctx, m, f); err != nil {
			r.log.Error("from the older process", "kind", m.Kind, "err", err)
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
		c, q := &dispatch.HandoverCommand{}, &http1.Request{}
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
		r.loop.TakeOver(h.HandoverState)
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
		r.loop.ClientGoneByID(id)
	case became:
		var fate dispatch.AttemptUpdate
		if err := m.Read(&fate); err != nil {
			return err
		}
		r.loop.UpdateAttempt(fate)
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
		var n dispatch.Callback
		if err := m.Read(&n); err != nil {
			return err
		}
		n.Via = dispatch.FromOlderProcess
		r.loop.HandleCallback(n)
	}
	return nil
}

// olderGone is the end of the older process: all is this one's.
func (p *Program) olderGone() {
	p.keepAll()
	p.mu.Lock()
	p.older = nil
	p.mu.Unlock()
	p.server.ReturnAll()
	p.loop.OlderProcessGone()
	p.resize()
	p.log.Info("the older process has gone")
}

// leave ends the links, once all that was told is written.
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

// others is the way from the loop to the other processes.
type others struct{ *Program }

func (o others) tell(kind string, body any, older, newer bool) (told bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if older && o.older != nil {
		o.older.Tell(kind, body)
		told = true
	}
	if newer && o.newer != nil {
		o.newer.Tell(kind, body)
		told = true
	}
	return told
}

// ForwardCallback passes news on to the processes that it did not come from.
func (o others) ForwardCallback(n dispatch.Callback) bool {
	return o.tell(news, n, n.Via != dispatch.FromOlderProcess, n.Via != dispatch.FromNewerProcess)
}

func (o others) ForwardUpdate(f dispatch.AttemptUpdate) { o.tell(became, f, false, true) }
func (o others) ForwardClientGone(id string)            { o.tell(left, id, false, true) }

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
