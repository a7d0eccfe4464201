package program

import (
	"errors"
	"log/slog"
	"time"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/discovery"
)

// Sharer stands between the watch on the name table and the program, where dispatchers tell each other of the list. It
// is in force while it says so; before and after, each dispatcher watches for itself.
type Sharer interface {
	// InForce tells whether the list comes by way of it.
	InForce() bool
	// Listed, Alive and Lost take what the own watch tells.
	Listed(dispatch.InstanceUpdate)
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
	Take(dispatch.InstanceUpdate)
}

type lists struct{ p *Program }

func (l lists) ShareBy(s Sharer)                  { l.p.sharer = s }
func (l lists) Take(list dispatch.InstanceUpdate) { l.p.told(list) }

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
func (p *Program) Listed(l dispatch.InstanceUpdate) {
	switch {
	case !p.shared():
		p.told(l)
	case !p.watcher.Moving(): // others go by revisions, and those of the old address say nothing at the new one
		p.sharer.Listed(l)
	}
}

// ahead is what another process's list has that the own watch has not told yet.
type ahead struct {
	revision int64                 // 0: nothing
	at       string                // the name table's address
	since    time.Time             // when it was heard
	behind   dispatch.InstanceList // as the own watch has it, where that tells a whole list of before
	holds    bool                  // there is such a table
}

// overtaken is how long a whole list may be on its way while another process has heard of a later one: by the operators' page
// all that discovery has to tell is known by then. If the watch has not come further, its table has begun anew.
const overtaken = 6 * time.Second

// told takes a list that counts, from wherever but another process. The other processes hear of it: what the name table
// tells one of them holds for all, whichever of them sends.
func (p *Program) told(l dispatch.InstanceUpdate) {
	p.telling.Lock()
	defer p.telling.Unlock()
	if a := &p.ahead; l.Complete && !p.overtook(l) {
		*a = ahead{}
	} else if l.Complete || a.holds {
		if a.behind.Update(l); !a.holds {
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

// overtook tells whether what another process has heard is later than a whole list. It would be taken back otherwise, drains
// included, until the own watch has told of it as well.
func (p *Program) overtook(l dispatch.InstanceUpdate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.Revision < p.ahead.revision && p.ahead.at == p.discovery && time.Since(p.ahead.since) < overtaken
}

// anew has the own watch's table count, if that has not come further meanwhile.
func (p *Program) anew() {
	p.telling.Lock()
	defer p.telling.Unlock()
	if p.ahead.holds {
		l := p.ahead.behind.Snapshot()
		p.ahead = ahead{}
		p.take(l, false)
		p.pass(true, true)
	}
}

// lead notes another process's list, which the own watch must not take back.
func (p *Program) lead(l dispatch.InstanceUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ahead = ahead{revision: l.Revision, at: p.discovery, since: time.Now(), behind: p.ahead.behind, holds: p.ahead.holds}
}

// heard takes another process's list, if it is newer than ours. The own watch goes on from where it was: changes that
// it tells once more would take the list back.
func (p *Program) heard(l listing, fromOlder bool) {
	p.telling.Lock()
	defer p.telling.Unlock()
	p.mu.Lock()
	newer := l.Discovery == p.discovery && l.Revision > p.table.Revision()
	p.mu.Unlock()
	if newer {
		p.lead(l.InstanceUpdate)
		p.take(l.InstanceUpdate, true)
		p.pass(!fromOlder, fromOlder)
	}
}

// known takes the list that there is before any watch, unless the older process has told of a newer one by now.
func (p *Program) known(l dispatch.InstanceUpdate) {
	p.telling.Lock()
	defer p.telling.Unlock()
	if p.ahead.revision > 0 {
		return
	}
	if p.take(l, true); p.before.List != nil {
		p.lead(l)
	}
}

// pass tells other processes, if there are any, of the list as it is.
func (p *Program) pass(older, newer bool) {
	if p.watcher.Moving() { // revisions of the old address say nothing at the new one
		return
	}
	p.mu.Lock()
	alone, l := p.older == nil && p.newer == nil, listing{Discovery: p.discovery}
	if !alone {
		l.InstanceUpdate = p.table.Snapshot()
	}
	p.mu.Unlock()
	if !alone {
		others{p}.tell(listed, l, older, newer)
	}
}

// Alive takes that the watch is on.
func (p *Program) Alive() {
	if p.shared() {
		p.sharer.Alive()
	}
}

// Silent takes that the watch, or the call for one, has fallen silent and is made anew. A sharer is told, lest others
// count on a watch that tells nothing.
func (p *Program) Silent(n int, err error) {
	level := slog.LevelDebug
	if n == 1 {
		level = slog.LevelWarn
	}
	p.notReached(err)
	if p.log.Log(p.context, level, "discovery silent", "err", err); p.shared() {
		p.sharer.Lost()
	}
}

// notReached notes whether a call that told nothing has shown that discovery cannot be reached. An agent that says nothing
// knows nothing.
func (p *Program) notReached(err error) {
	if errors.Is(err, discovery.ErrNobody) || p.config.Settings.ListPushed {
		p.unreached.Store(true)
	}
}

// Faulty takes that a list, or an entry of one, is passed over.
func (p *Program) Faulty(err error) {
	p.log.Error("list from discovery", "err", err)
}

// Lost takes the end of a watch, or of a call for one that was made so long before.
func (p *Program) Lost(err error, after time.Duration) {
	p.notReached(err)
	if p.shared() {
		p.log.Debug("watch on discovery lost", "err", err)
		p.sharer.Lost()
		return
	}
	p.log.Warn("watch on discovery lost", "err", err)
	p.loop.DiscoveryFailed(errors.Is(err, discovery.ErrNobody), after)
}
