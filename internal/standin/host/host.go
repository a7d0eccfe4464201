// Package host runs a fleet of model encoders in real time and keeps their ledger. Faces put it on
// sockets; scenarios trouble it.
package host

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"caperrelay/internal/standin/encoder"
	"caperrelay/internal/standin/ledger"
)

// Host is a fleet of encoders. It is safe for use by several goroutines.
type Host struct {
	Ledger *ledger.Ledger

	mu       sync.Mutex
	encoders []*Encoder
	byID     map[string]*Encoder
	watchers []func() // of the fleet's list
	revision int64
}

// Encoder is one of them.
type Encoder struct {
	host  *Host
	mu    sync.Mutex
	model *encoder.Encoder
	alarm *time.Timer
	// Addresses by face ("http", "grpc"), once it is on sockets.
	addresses map[string]string
	doors     []Door
}

// Door is an encoder's socket of one face. It is shut while the process is down.
type Door interface {
	// Shut closes the listener and resets its connections.
	Shut()
	// Open listens again, at the same address.
	Open() error
	// Leave has callers told that nothing new is wanted, where the protocol can.
	Leave()
}

// New returns a host of such encoders, all up and warm.
func New(specs []encoder.Spec, l *ledger.Ledger) *Host {
	h := &Host{Ledger: l, byID: map[string]*Encoder{}, revision: 1}
	for _, s := range specs {
		e := &Encoder{host: h, model: encoder.New(s), addresses: map[string]string{}}
		e.alarm = time.AfterFunc(time.Hour, e.ring)
		h.encoders = append(h.encoders, e)
		h.byID[s.ID] = e
	}
	return h
}

// Fleet makes so many usual encoders, s-1 and on, in two zones, with so many slots each.
func Fleet(n, slots int) (specs []encoder.Spec) {
	for i := range n {
		s := encoder.Usual(fmt.Sprintf("s-%d", i+1))
		s.Slots, s.Zone = slots, []string{"a", "b"}[i%2]
		s.Queue = 4 * slots
		specs = append(specs, s)
	}
	return specs
}

// Encoders is all of them.
func (h *Host) Encoders() []*Encoder { return h.encoders }

// Encoder is one by its id, nil if there is none.
func (h *Host) Encoder(id string) *Encoder { return h.byID[id] }

// Close stops the clocks. Doors are closed by whoever opened them.
func (h *Host) Close() {
	for _, e := range h.encoders {
		e.alarm.Stop()
	}
}

// Watch has f called after each change of the list. It must not block.
func (h *Host) Watch(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, f)
}

func (h *Host) changed() {
	h.mu.Lock()
	h.revision++
	watchers := slices.Clone(h.watchers)
	h.mu.Unlock()
	for _, f := range watchers {
		f()
	}
}

// Revision counts the changes of the list.
func (h *Host) Revision() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision
}

// Line is an encoder as discovery tells it.
type Line struct {
	encoder.Spec
	Addresses map[string]string
	Draining  bool
	Started   time.Time
}

// Lines is the list, as discovery has it: what crashed stays on it, since nobody told.
func (h *Host) Lines() (all []Line) {
	for _, e := range h.encoders {
		e.mu.Lock()
		addresses := map[string]string{}
		for face, a := range e.addresses {
			addresses[face] = a
		}
		all = append(all, Line{e.model.Spec, addresses, e.model.Draining(), e.model.Started()})
		e.mu.Unlock()
	}
	return all
}

// Attach puts the encoder on a socket.
func (e *Encoder) Attach(face, address string, d Door) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addresses[face] = address
	e.doors = append(e.doors, d)
}

// ID is the encoder's.
func (e *Encoder) ID() string { return e.model.ID }

// Visit is what a face knows of an attempt.
type Visit struct {
	Job, Sender, Class string
	Once               bool
	Work               time.Duration
	Slots              float64
	// Event is told what becomes of it; it must not block.
	Event func(encoder.Event)
}

// Arrive has an attempt arrive. The line of the ledger is the face's to end with Done or Unheard where
// the work is done; other ends are noted here.
func (e *Encoder) Arrive(v Visit) (encoder.Reply, *ledger.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	l := e.host.Ledger
	was := e.model.State()
	line := l.Arrive(ledger.Attempt{
		Job: v.Job, Sender: v.Sender, Class: v.Class, Once: v.Once, Encoder: e.model.ID, Life: e.model.Lives(),
		Cold: e.model.Warmth(now) < 1, Arrived: now, Work: v.Work,
	})
	r := e.model.Offer(now, encoder.Job{ID: v.Job, Work: v.Work, Slots: v.Slots, Event: func(ev encoder.Event) {
		at := time.Now()
		switch ev {
		case encoder.Started:
			l.Start(line, at)
		case encoder.Killed:
			l.End(line, at, ledger.Killed)
		case encoder.Dropped:
			l.End(line, at, ledger.Dropped)
		}
		v.Event(ev)
	}})
	switch {
	case r == encoder.Full:
		l.End(line, now, ledger.Refused)
	case r == encoder.Down:
		l.End(line, now, ledger.Killed)
		if was != encoder.Fallen && e.model.State() == encoder.Fallen {
			go e.shut()
		}
	}
	e.rearm()
	return r, line
}

// Cancel takes an attempt back.
func (e *Encoder) Cancel(job string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.rearm()
	return e.model.Cancel(time.Now(), job)
}

func (e *Encoder) ring() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Advance(time.Now())
	e.rearm()
}

func (e *Encoder) rearm() {
	if at, some := e.model.Next(); some {
		e.alarm.Reset(max(0, time.Until(at)))
	}
}

// Look calls f with the model.
func (e *Encoder) Look(f func(*encoder.Encoder)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.model)
}

func (e *Encoder) shut() {
	e.mu.Lock()
	doors := slices.Clone(e.doors)
	e.mu.Unlock()
	for _, d := range doors {
		d.Shut()
	}
}

// Crash has the process die: its connections are reset and new ones refused.
func (e *Encoder) Crash() {
	e.Look(func(m *encoder.Encoder) { m.Crash(time.Now()) })
	e.shut()
}

// Restart starts the process anew, cold, and has the list tell.
func (e *Encoder) Restart() error {
	e.shut()
	e.Look(func(m *encoder.Encoder) { m.Restart(time.Now()) })
	e.mu.Lock()
	doors := slices.Clone(e.doors)
	e.mu.Unlock()
	for _, d := range doors {
		if err := d.Open(); err != nil {
			return fmt.Errorf("%s: %w", e.ID(), err)
		}
	}
	e.host.changed()
	return nil
}

// Drain has the encoder turn away what is new, and the list tell.
func (e *Encoder) Drain() {
	e.Look(func(m *encoder.Encoder) { m.Drain(time.Now()) })
	e.mu.Lock()
	doors := slices.Clone(e.doors)
	e.mu.Unlock()
	for _, d := range doors {
		d.Leave()
	}
	e.host.changed()
}

// Hang has the process stop, with its connections open.
func (e *Encoder) Hang() { e.Look(func(m *encoder.Encoder) { m.Hang(time.Now()) }) }

// Wake has a hanging process go on.
func (e *Encoder) Wake() {
	e.Look(func(m *encoder.Encoder) { m.Wake(time.Now()) })
	e.ring()
}

// Slow has work take so many times as long.
func (e *Encoder) Slow(times float64) {
	e.Look(func(m *encoder.Encoder) { m.Slow(time.Now(), times) })
	e.ring()
}
