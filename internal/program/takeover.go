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
	freshListTimeout  = 2500 * time.Millisecond // for discovery, and for the older process's list, which is used if discovery sends none
	handoverTimeout   = 1500 * time.Millisecond // for the older process to hand over
	callRetryInterval = 20 * time.Millisecond   // before calling again a process that already has a newer one
)

// The kinds of message between the processes.
const (
	msgState         = "standing"   // from the older: a processState, and its listener
	msgReady         = "ready"      // from the newer: it is ready to serve
	msgCommand       = "command"    // from the older: a dispatch.HandoverCommand
	msgHandedOver    = "yielded"    // from the older: a handoverState, after which it accepts nothing more
	msgConnection    = "connection" // from the older: a clients.PassedConn and its socket
	msgConnClosed    = "closed"     // from the older: one of its connections has ended
	msgClientGone    = "left"       // from the older: the ID of a command whose client has disconnected
	msgAttemptUpdate = "became"     // from the older: a dispatch.AttemptUpdate
	msgCordon        = "cordoned"   // from either: a cordonChange
	msgList          = "listed"     // from either: a sharedList, as just received
	msgCallback      = "news"       // from either: a dispatch.Callback that matches no attempt in the sending process
)

// processState is the state that the older process sends first.
type processState struct {
	List       *dispatch.InstanceUpdate `json:"List"`
	Discovery  string                   `json:"Discovery"`  // the address that its list comes from
	Configured string                   `json:"Configured"` // discovery's address in its configuration at its start; empty: an older version, which does not send it
	Quiesced   bool                     `json:"Quiesced"`   // clients are sent away
	Cordons    []string                 `json:"Cordons"`
}

// sameDiscovery reports whether the older process's list applies to a process whose configuration has discovery at
// the address configured. The older process's discovery may have been moved since its start, which the newer
// process's environment need not reflect; but where that environment names another discovery than the older
// process was started with, the newer process is meant to use another list.
func (s processState) sameDiscovery(configured string) bool {
	return s.Configured == "" || s.Configured == configured || s.Discovery == configured
}

// sharedList is the complete list, with the address of the discovery that its revision refers to.
type sharedList struct {
	dispatch.InstanceUpdate
	Discovery string `json:"Discovery"`
}

// handoverState is what the older process hands over, except for the commands.
type handoverState struct {
	dispatch.HandoverState
	Connections int `json:"Places"` // connections that it still has
}

// callOlder connects to a process that serves the address and returns the list to begin with: that process's list
// is at least as recent as the one in the configuration. nil: there is no such process.
func (p *Program) callOlder(ctx context.Context) *dispatch.InstanceUpdate {
	until := p.phaseSince.Add(freshListTimeout) // the phase has not changed yet
	for {
		link, err := handover.Dial(p.socketPath())
		if err != nil {
			return nil
		}
		r := &takeover{Program: p, link: link, state: make(chan processState, 1), ended: make(chan struct{})}
		if p.requestState(ctx, r, until) {
			break
		}
		if time.Now().After(until) {
			p.log.Warn("the process at the handover socket sends no state; starting without it")
			p.olderSilent = true
			return nil
		}
		time.Sleep(callRetryInterval) // another process is taking over there and will put its own socket in place of this one
	}
	list := p.olderState.List
	if p.olderState.sameDiscovery(p.config.Discovery) {
		p.watcher.SetStart(p.olderState.Discovery, list.Revision)
		p.mu.Lock()
		p.discovery = p.olderState.Discovery
		p.mu.Unlock()
	} else {
		p.olderState.List, list = nil, &p.config.Known
	}
	p.watcher.Subscribe() // now: a process that takes over waits for discovery, and its watch replaces the older one's
	p.resize()
	return list
}

// requestState waits for the state of the process at the other end of a link, which becomes the older process. It
// returns false if the state has not arrived by the time until, or the link has ended; the link is then closed and
// has no effect.
func (p *Program) requestState(ctx context.Context, r *takeover, until time.Time) bool {
	p.mu.Lock()
	p.older = r.link
	p.mu.Unlock()
	go r.run(ctx)
	select {
	case p.olderState = <-r.state:
	case <-r.ended:
	case <-time.After(time.Until(until)):
	}
	if p.olderState.List != nil {
		return true
	}
	r.link.Close()
	<-r.ended // otherwise a late message could still take effect
	return false
}

// socketPath is the handover socket of the process that serves the address.
func (p *Program) socketPath() string { return handover.Path(p.config.Dir, p.config.Listen) }

// resize sets the memory and connection limits: all processes at the address share the machine.
func (p *Program) resize() {
	p.mu.Lock()
	takingOver, handedOver := p.older != nil, p.server.HandedOver()
	alone := !takingOver && p.newer == nil
	p.mu.Unlock()
	memory, pool := 1.0, p.connLimits.pool
	if !alone {
		memory = 0.5
	}
	if handedOver { // no new work arrives, pending work only ends
		pool /= 4
	} else if takingOver {
		pool -= pool / 4
	}
	debug.SetMemoryLimit(int64(memory * memoryShare * float64(p.config.Limits.MemoryMB) * (1 << 20)))
	p.pool.SetMaxConns(pool)
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
func (p *Program) advanceStart(ctx context.Context, now time.Time) {
	p.mu.Lock()
	phase, since, older := p.phase, p.phaseSince, p.older
	p.mu.Unlock()
	fresh := false
	select {
	case <-p.listReceived:
		fresh = true
	default:
	}
	switch nextStep(phase, now.Sub(since), fresh, older != nil, p.olderSilent, p.discoveryUnreachable.Load()) {
	case stepServe:
		p.serve(ctx)
	case stepAskHandover:
		if p.enter(TakingOver, Starting) {
			older.Send(msgReady, nil)
		}
	}
}

// step is the next action of a process that starts.
type step int

const (
	stepWait        step = iota
	stepAskHandover      // asks the older process to hand over
	stepServe
)

// nextStep returns the next step after the time since in a phase. fresh: discovery has sent a list. older: an
// older process is connected. olderSilent: one answered but sent no state; it may still be serving by a more recent list
// than the configuration's. unreachable: discovery cannot be reached. A process that starts alone has the
// configuration's list, which may date from the previous process's start. Changes that discovery has had for longer than
// its propagation delay count as known to this process from its first moment, so it serves only once discovery has
// answered or cannot be reached.
func nextStep(phase Phase, since time.Duration, fresh, older, olderSilent, unreachable bool) step {
	late := since >= freshListTimeout+handoverTimeout
	switch {
	case phase == TakingOver && (!older || since >= handoverTimeout):
		return stepServe
	case phase == Starting && !older && (fresh || late || unreachable && !olderSilent):
		return stepServe
	case phase == Starting && older && (fresh || since >= freshListTimeout):
		return stepAskHandover
	}
	return stepWait
}

// serve starts accepting commands.
func (p *Program) serve(ctx context.Context) {
	if err := p.listen(); err != nil {
		p.runErr = fmt.Errorf("listen: %w", err)
		p.enter(Stopped, Starting, TakingOver)
		return
	}
	next := Serving
	if p.olderState.Quiesced {
		next = Quiescing
	}
	p.openHandover(ctx) // before the phase change, which tells others that this process can be called
	if !p.enter(next, Starting, TakingOver) {
		return
	}
	go p.server.Serve(ctx, p.listener)
	p.mu.Lock()
	ending := p.endRequested
	p.mu.Unlock()
	if ending {
		p.terminate()
	}
}

// openHandover opens the handover socket, in place of that of the process before.
func (p *Program) openHandover(ctx context.Context) {
	socket, err := handover.Listen(p.socketPath())
	if err != nil {
		p.log.Error("cannot open the handover socket for a newer process", "err", err)
		return
	}
	p.mu.Lock()
	previous := p.handoverListener
	p.handoverListener = socket
	p.mu.Unlock()
	if previous != nil {
		previous.Close()
	}
	go func() {
		for {
			link, err := socket.Accept()
			if err != nil {
				return
			}
			go p.serveNewer(ctx, link)
		}
	}()
}

// serveNewer serves a newer process, one at a time. While this process takes over itself, or has handed over,
// callers are turned away; they call again.
func (p *Program) serveNewer(ctx context.Context, link *handover.Link) {
	p.cordons.mu.Lock() // so that later cordons are sent as later messages
	p.mu.Lock()
	refused := p.newer != nil || p.phase == Starting || p.phase == TakingOver || p.phase == HandedOver
	if !refused {
		p.newer = link
	}
	list := p.instances.Snapshot()
	quiesced := p.phase == Quiescing || p.phase == Quiesced
	discovery := p.discovery
	p.mu.Unlock()
	if !refused {
		link.SendSocket(msgState, processState{&list, discovery, p.config.Discovery, quiesced, slices.Sorted(maps.Keys(p.cordons.cordoned))}, sharedListener{p.listener})
	}
	p.cordons.mu.Unlock()
	if refused {
		link.Close()
		return
	}
	p.resize()
	go debug.FreeOSMemory() // the newer process needs what this one has collected and not returned
	link.Run(func(m handover.Message, f *os.File) {
		switch m.Kind {
		case msgReady:
			p.handOver(link)
		case msgCordon:
			var c cordonChange
			if m.Decode(&c) == nil {
				p.cordon(c, link)
			}
		case msgList:
			var l sharedList
			if m.Decode(&l) == nil {
				p.receiveOtherList(l, false)
			}
		case msgCallback:
			var n dispatch.Callback
			if m.Decode(&n) == nil {
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

// sharedListener is a socket that is shared with the other process, so that sending it does not close it here.
type sharedListener struct{ *net.TCPListener }

func (sharedListener) Close() error { return nil }

// releaseMemoryAfter is the time after a handover in which connections are passed on. Then the memory that they used is
// returned to the system: the newer process needs it, and this one allocates too little for a collection of its own.
const releaseMemoryAfter = 250 * time.Millisecond

// handOver hands over all pending commands and all new work to the newer process.
func (p *Program) handOver(link *handover.Link) {
	release := p.server.HoldCallbacks()
	p.loop.HandOver(func(state dispatch.HandoverState) bool {
		defer release()
		p.pool.CancelUnsent() // before the other process can cancel one: this process may be suspended here
		for _, c := range state.Commands {
			if !link.Send(msgCommand, c) {
				return false
			}
		}
		if !link.Send(msgHandedOver, handoverState{state, p.server.Connections()}) {
			return false
		}
		p.server.HandOver(connReceiver{link})
		p.listener.SetDeadline(time.Unix(1, 0)) // the socket is shared, this deadline is not
		p.mu.Lock()
		p.handedSnapshot = state.Module
		p.mu.Unlock()                                     // the handover socket stays, turning callers away, until the newer process has its own in that place
		p.enter(HandedOver, Serving, Quiescing, Quiesced) // unless termination has begun
		time.AfterFunc(releaseMemoryAfter, debug.FreeOSMemory)
		return true
	})
}

// connReceiver passes connections to the newer process.
type connReceiver struct{ *handover.Link }

func (h connReceiver) Pass(nc *net.TCPConn, p clients.PassedConn) {
	h.Link.SendSocket(msgConnection, p, nc)
}
func (h connReceiver) ConnEnded() { h.Send(msgConnClosed, nil) }

// newerGone takes everything back, unless this process is ending.
func (p *Program) newerGone(ctx context.Context) {
	p.writeUnsaved()
	p.mu.Lock()
	p.newer = nil
	list, snapshot := p.instances.Snapshot(), p.handedSnapshot
	p.mu.Unlock()
	if p.server.HandedOver() {
		p.server.CancelHandover()
		p.loop.Resume(list, snapshot)
	}
	p.resize()
	if p.enter(Serving, HandedOver) {
		p.log.Info("the newer process has ended")
		p.listener.SetDeadline(time.Time{})
		go p.server.Serve(ctx, p.listener)
		p.openHandover(ctx)
	}
}

// takeover handles the messages of the older process.
type takeover struct {
	*Program
	link          *handover.Link
	state         chan processState // the older process's state
	ended         chan struct{}     // closed once the link has ended
	stateReceived bool              // the older process's state has arrived
	commands      []*dispatch.HandoverCommand
}

// run handles messages until the link ends.
func (r *takeover) run(ctx context.Context) {
	defer close(r.ended)
	r.link.Run(func(m handover.Message, f *os.File) {
		if err := r.handle(ctx, m, f); err != nil {
			r.log.Error("message from the older process not handled", "kind", m.Kind, "err", err)
		}
		if f != nil {
			f.Close()
		}
	})
	if r.stateReceived {
		r.olderGone()
		return
	}
	r.mu.Lock()
	r.older = nil
	r.mu.Unlock()
}

func (r *takeover) handle(ctx context.Context, m handover.Message, f *os.File) error {
	switch m.Kind {
	case msgState:
		var s processState
		if err := errors.Join(m.Decode(&s), r.takeListener(f)); err != nil {
			return err
		}
		r.restoreCordons(s.Cordons)
		r.stateReceived = true
		select {
		case r.state <- s:
		default:
		}
	case msgCommand:
		c, q := &dispatch.HandoverCommand{}, &http1.Request{}
		if err := m.Decode(c); err != nil {
			return err
		}
		if err := json.Unmarshal(c.Payload, q); err != nil {
			return err
		}
		c.Payload = nil // the command, which stays, is a part of c
		c.Command.Payload, c.Client = q, r.server.ExpectConn(&c.Command, q.Close)
		r.commands = append(r.commands, c)
	case msgHandedOver:
		var h handoverState
		if err := m.Decode(&h); err != nil {
			return err
		}
		h.Commands, r.commands = r.commands, nil
		r.server.LendSlots(h.Connections)
		r.loop.TakeOver(h.HandoverState)
		r.resize()
		r.serve(ctx)
	case msgConnection:
		var p clients.PassedConn
		if err := m.Decode(&p); err != nil {
			return err
		}
		nc, err := net.FileConn(f)
		if err != nil {
			return err
		}
		r.server.TakeOverConn(nc, p)
	case msgConnClosed:
		r.server.ReclaimSlot()
	case msgClientGone:
		var id string
		if err := m.Decode(&id); err != nil {
			return err
		}
		r.loop.ClientGoneByID(id)
	case msgAttemptUpdate:
		var update dispatch.AttemptUpdate
		if err := m.Decode(&update); err != nil {
			return err
		}
		r.loop.UpdateAttempt(update)
	case msgCordon:
		var c cordonChange
		if err := m.Decode(&c); err != nil {
			return err
		}
		return r.cordon(c, r.link)
	case msgList:
		var l sharedList
		if err := m.Decode(&l); err != nil {
			return err
		}
		r.receiveOtherList(l, true)
	case msgCallback:
		var n dispatch.Callback
		if err := m.Decode(&n); err != nil {
			return err
		}
		n.Via = dispatch.FromOlderProcess
		r.loop.HandleCallback(n)
	}
	return nil
}

// olderGone is called when the older process has ended: this process owns everything now.
func (p *Program) olderGone() {
	p.writeUnsaved()
	p.mu.Lock()
	p.older = nil
	p.mu.Unlock()
	p.server.ReclaimAllSlots()
	p.loop.OlderProcessGone()
	p.resize()
	p.log.Info("the older process has ended")
}

// closeLinks ends the links once all queued messages are written.
func (p *Program) closeLinks() {
	p.mu.Lock()
	socket, links := p.handoverListener, []*handover.Link{p.older, p.newer}
	p.mu.Unlock()
	if socket != nil {
		socket.Close()
	}
	for _, l := range links {
		if l != nil {
			l.Close()
		}
	}
}

// otherProcesses forwards events of the loop to the other processes.
type otherProcesses struct{ *Program }

func (o otherProcesses) send(kind string, body any, older, newer bool) (sent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if older && o.older != nil {
		o.older.Send(kind, body)
		sent = true
	}
	if newer && o.newer != nil {
		o.newer.Send(kind, body)
		sent = true
	}
	return sent
}

// ForwardCallback forwards a callback to the processes that it did not come from.
func (o otherProcesses) ForwardCallback(n dispatch.Callback) bool {
	return o.send(msgCallback, n, n.Via != dispatch.FromOlderProcess, n.Via != dispatch.FromNewerProcess)
}

func (o otherProcesses) ForwardUpdate(f dispatch.AttemptUpdate) {
	o.send(msgAttemptUpdate, f, false, true)
}
func (o otherProcesses) ForwardClientGone(id string) { o.send(msgClientGone, id, false, true) }

// takeListener takes over the listener of the older process.
func (p *Program) takeListener(f *os.File) error {
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
