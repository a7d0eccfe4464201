package program

import (
	"errors"
	"log/slog"
	"time"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/discovery"
)

// Sharer stands between the watch on discovery and the program where dispatchers share instance lists with each
// other. While it is not in force, each dispatcher uses its own watch.
type Sharer interface {
	// InForce reports whether lists come through the sharer.
	InForce() bool
	// Listed, Alive and Lost receive the events of this process's watch.
	Listed(dispatch.List)
	Alive()
	Lost()
	// Moved reports that discovery has a new address.
	Moved()
}

// Lists is the interface of the program that a Sharer uses.
type Lists interface {
	// ShareBy sets the sharer that lists come through. It must be called before the program runs.
	ShareBy(Sharer)
	// Watch starts or stops this process's watch.
	Watch(on bool)
	// Take applies a list.
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

// loopDiscovery is discovery as the loop uses it. A sharer decides by itself when to watch.
type subscriptions struct{ p *Program }

func (s subscriptions) Subscribe() {
	if !s.p.shared() {
		s.p.watcher.Subscribe()
	}
}

func (p *Program) shared() bool { return p.sharer != nil && p.sharer.InForce() }

// Listed receives an update from the watch.
func (p *Program) Listed(l dispatch.List) {
	switch {
	case !p.shared():
		p.told(l)
	case !p.watcher.Moving(): // other dispatchers compare revisions, and those of the old address do not apply to the new one
		p.sharer.Listed(l)
	}
}

// otherList is a newer list from another process that this process's watch has not reached yet.
type ahead struct {
	revision int64          // 0: none
	at       string         // discovery's address
	since    time.Time      // when it was received
	behind   dispatch.Table // this process's watch's list, if the watch has sent a complete list that is older
	holds    bool           // behind is in use
}

// watchLag is how long a complete list may be under way after another process has received a later one: as
// documented for operators, a change in discovery is known everywhere by then. If the watch is still behind,
// discovery has restarted its revisions.
const overtaken = 6 * time.Second

// receiveList applies a list from any source except another process at this address, and forwards it to those:
// what discovery sent one of them holds for all, whichever of them sends attempts.
func (p *Program) told(l dispatch.List) {
	p.telling.Lock()
	defer p.telling.Unlock()
	if a := &p.ahead; l.Complete && !p.overtook(l) {
		*a = ahead{}
	} else if l.Complete || a.holds {
		if a.behind.Take(l); !a.holds {
			time.AfterFunc(overtaken, p.anew)
		}
		a.holds = a.behind.Revision() < a.revision
	}
	if l.Revision > p.ahead.revision || p.ahead.revision == 0 {
		p.take(l, false)
		p.pass(true, true)
	}
	select {
	case <-p.fresh:
	default:
		close(p.fresh)
	}
}

// superseded reports whether another process has received a later list than the complete list l. Applying l would
// revert that one, drains included, until this process's watch has sent it as well.
func (p *Program) overtook(l dispatch.List) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.Revision < p.ahead.revision && p.ahead.at == p.discovery && time.Since(p.ahead.since) < overtaken
}

// useWatchList applies the watch's list if the watch is still behind the other process's list.
func (p *Program) anew() {
	p.telling.Lock()
	defer p.telling.Unlock()
	if p.ahead.holds {
		l := p.ahead.behind.List()
		p.ahead = ahead{}
		p.take(l, false)
		p.pass(true, true)
	}
}

// noteOtherList records another process's list, which an older list from this process's watch must not revert.
func (p *Program) lead(l dispatch.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ahead = ahead{revision: l.Revision, at: p.discovery, since: time.Now(), behind: p.ahead.behind, holds: p.ahead.holds}
}

// receiveOtherList applies another process's list if it is newer than ours. The watch continues from its own
// revision: incremental changes that it repeats would revert the list.
func (p *Program) heard(l listing, fromOlder bool) {
	p.telling.Lock()
	defer p.telling.Unlock()
	p.mu.Lock()
	newer := l.Discovery == p.discovery && l.Revision > p.table.Revision()
	p.mu.Unlock()
	if newer {
		p.lead(l.List)
		p.take(l.List, true)
		p.pass(!fromOlder, fromOlder)
	}
}

// useInitialList applies the list that is known before any watch, unless the older process has sent a newer one.
func (p *Program) known(l dispatch.List) {
	p.telling.Lock()
	defer p.telling.Unlock()
	if p.ahead.revision > 0 {
		return
	}
	if p.take(l, true); p.before.List != nil {
		p.lead(l)
	}
}

// forwardList sends the current list to the other processes, if there are any.
func (p *Program) pass(older, newer bool) {
	if p.watcher.Moving() { // revisions of the old address do not apply to the new one
		return
	}
	p.mu.Lock()
	alone, l := p.older == nil && p.newer == nil, listing{Discovery: p.discovery}
	if !alone {
		l.List = p.table.List()
	}
	p.mu.Unlock()
	if !alone {
		others{p}.tell(listed, l, older, newer)
	}
}

// Alive is called when the watch has made contact.
func (p *Program) Alive() {
	if p.shared() {
		p.sharer.Alive()
	}
}

// Silent is called when the watch, or the call for one, has gone silent and is restarted. The sharer is notified,
// so that no other dispatcher relies on a watch that reports nothing.
func (p *Program) Silent(n int, err error) {
	level := slog.LevelDebug
	if n == 1 {
		level = slog.LevelWarn
	}
	p.notReached(err)
	if p.log.Log(p.context, level, "discovery sends nothing; restarting the watch", "err", err); p.shared() {
		p.sharer.Lost()
	}
}

// noteUnreachable records whether a call that returned nothing has shown that discovery cannot be reached. A local
// agent that sends nothing has no list.
func (p *Program) notReached(err error) {
	if errors.Is(err, discovery.ErrNobody) || p.config.Settings.Pushed {
		p.unreached.Store(true)
	}
}

// Faulty is called when a list, or an entry of one, is ignored as invalid.
func (p *Program) Faulty(err error) {
	p.log.Error("invalid instance list from discovery ignored", "err", err)
}

// Lost is called when a watch, or a call for one, has ended after the given time.
func (p *Program) Lost(err error, after time.Duration) {
	p.notReached(err)
	if p.shared() {
		p.log.Debug("watch on discovery lost", "err", err)
		p.sharer.Lost()
		return
	}
	p.log.Warn("watch on discovery lost", "err", err)
	p.loop.ListLost(errors.Is(err, discovery.ErrNobody), after)
}
