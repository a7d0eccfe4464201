package program

import (
	"errors"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/nametable"
)

// Sharer stands between the watch on the name table and the program, where dispatchers tell each other of the list. It
// is in force while it says so; before and after, each dispatcher watches for itself.
type Sharer interface {
	// InForce tells whether the list comes by way of it.
	InForce() bool
	// Listed, Alive and Lost take what the own watch tells.
	Listed(dispatch.List)
	Alive()
	Lost()
	// Moved says that the name table is at another address from now on.
	Moved()
}

// Lists is what a Sharer does.
type Lists interface {
	// ShareBy has lists come by way of it. It must come before the program runs.
	ShareBy(Sharer)
	// Watch begins the own watch, or ends it.
	Watch(on bool)
	// Take takes a list that counts.
	Take(dispatch.List)
}

type lists struct{ p *Program }

func (l lists) ShareBy(s Sharer)        { l.p.sharer = s }
func (l lists) Take(list dispatch.List) { l.p.told(list) }

func (l lists) Watch(on bool) {
	if on {
		l.p.watcher.Subscribe()
	} else {
		l.p.watcher.Rest()
	}
}

// subscriptions is the name table as the loop asks it. A sharer knows by itself when to watch.
type subscriptions struct{ p *Program }

func (s subscriptions) Subscribe() {
	if !s.p.shared() {
		s.p.watcher.Subscribe()
	}
}

func (p *Program) shared() bool { return p.sharer != nil && p.sharer.InForce() }

// Listed takes the name table's news.
func (p *Program) Listed(l dispatch.List) {
	if p.shared() {
		p.sharer.Listed(l)
		return
	}
	p.told(l)
}

// told takes a list that counts, from wherever.
func (p *Program) told(l dispatch.List) {
	p.telling.Lock()
	defer p.telling.Unlock()
	p.take(l, false)
	select {
	case <-p.fresh:
	default:
		close(p.fresh)
	}
}

// Alive takes that the watch is on.
func (p *Program) Alive() {
	if p.shared() {
		p.sharer.Alive()
	}
}

// Lost takes the end of a watch.
func (p *Program) Lost(err error) {
	if p.shared() {
		p.log.Debug("name table lost", "err", err)
		p.sharer.Lost()
		return
	}
	p.log.Warn("name table lost", "err", err)
	p.loop.ListLost(errors.Is(err, nametable.ErrNobody))
}
