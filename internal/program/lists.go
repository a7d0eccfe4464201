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
	Listed(dispatch.InstanceUpdate)
	Alive()
	Lost()
	// Moved reports that discovery has a new address.
	Moved()
}

// Lists is the interface of the program that a Sharer uses.
type Lists interface {
	// SetSharer sets the sharer that lists come through. It must be called before the program runs.
	SetSharer(Sharer)
	// Watch starts or stops this process's watch.
	Watch(on bool)
	// ApplyList applies a list.
	ApplyList(dispatch.InstanceUpdate)
}

type listControl struct{ p *Program }

func (l listControl) SetSharer(s Sharer)                     { l.p.sharer = s }
func (l listControl) ApplyList(list dispatch.InstanceUpdate) { l.p.receiveList(list) }

func (l listControl) Watch(on bool) {
	if on {
		l.p.watcher.Subscribe()
	} else {
		l.p.watcher.Pause()
	}
}

// loopDiscovery is discovery as the loop uses it. A sharer decides by itself when to watch.
type loopDiscovery struct{ program *Program }

func (s loopDiscovery) Subscribe() {
	if !s.program.shared() {
		s.program.watcher.Subscribe()
	}
}

func (p *Program) shared() bool { return p.sharer != nil && p.sharer.InForce() }

// ListReceived receives an update from the watch.
func (p *Program) ListReceived(l dispatch.InstanceUpdate) {
	switch {
	case !p.shared():
		p.receiveList(l)
	case !p.watcher.AddressChangePending(): // other dispatchers compare revisions, and those of the old address do not apply to the new one
		p.sharer.Listed(l)
	}
}

// otherList is a newer list from another process that this process's watch has not reached yet.
type otherList struct {
	revision     int64                 // 0: none
	address      string                // discovery's address
	receivedAt   time.Time             // when it was received
	watchList    dispatch.InstanceList // this process's watch's list, if the watch has sent a complete list that is older
	hasWatchList bool                  // watchList is in use
}

// watchLag is how long after another process has received a later list an older complete list may still arrive: as
// documented for operators, a change in discovery is known everywhere by then. If the watch is still behind,
// discovery has restarted its revisions.
const watchLag = 6 * time.Second

// receiveList applies a list from any source except another process at this address, and forwards it to those:
// what discovery sent one of them holds for all, whichever of them sends attempts.
func (p *Program) receiveList(l dispatch.InstanceUpdate) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	if a := &p.otherList; l.Complete && !p.superseded(l) {
		*a = otherList{}
	} else if l.Complete || a.hasWatchList {
		if a.watchList.Update(l); !a.hasWatchList {
			time.AfterFunc(watchLag, p.useWatchList)
		}
		a.hasWatchList = a.watchList.Revision() < a.revision
	}
	if l.Revision > p.otherList.revision || p.otherList.revision == 0 {
		p.applyList(l, false)
		p.forwardList(true, true)
	}
	select {
	case <-p.listReceived:
	default:
		close(p.listReceived)
	}
}

// superseded reports whether another process has received a later list than the complete list l. Applying l would
// revert that one, drains included, until this process's watch has sent it as well.
func (p *Program) superseded(l dispatch.InstanceUpdate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.Revision < p.otherList.revision && p.otherList.address == p.discovery && time.Since(p.otherList.receivedAt) < watchLag
}

// useWatchList applies the watch's list if the watch is still behind the other process's list.
func (p *Program) useWatchList() {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	if p.otherList.hasWatchList {
		l := p.otherList.watchList.Snapshot()
		p.otherList = otherList{}
		p.applyList(l, false)
		p.forwardList(true, true)
	}
}

// noteOtherList records another process's list, which an older list from this process's watch must not revert.
func (p *Program) noteOtherList(l dispatch.InstanceUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.otherList = otherList{revision: l.Revision, address: p.discovery, receivedAt: time.Now(), watchList: p.otherList.watchList, hasWatchList: p.otherList.hasWatchList}
}

// receiveOtherList applies another process's list if it is newer than ours. The watch continues from its own
// revision: incremental changes that it repeats would revert the list.
func (p *Program) receiveOtherList(l sharedList, fromOlder bool) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	p.mu.Lock()
	newer := l.Discovery == p.discovery && l.Revision > p.instances.Revision()
	p.mu.Unlock()
	if newer {
		p.noteOtherList(l.InstanceUpdate)
		p.applyList(l.InstanceUpdate, true)
		p.forwardList(!fromOlder, fromOlder)
	}
}

// useInitialList applies the list that is known before any watch, unless the older process has sent a newer one.
func (p *Program) useInitialList(l dispatch.InstanceUpdate) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	if p.otherList.revision > 0 {
		return
	}
	if p.applyList(l, true); p.olderState.List != nil {
		p.noteOtherList(l)
	}
}

// forwardList sends the current list to the other processes, if there are any.
func (p *Program) forwardList(older, newer bool) {
	if p.watcher.AddressChangePending() { // revisions of the old address do not apply to the new one
		return
	}
	p.mu.Lock()
	alone, l := p.older == nil && p.newer == nil, sharedList{Discovery: p.discovery}
	if !alone {
		l.InstanceUpdate = p.instances.Snapshot()
	}
	p.mu.Unlock()
	if !alone {
		otherProcesses{p}.send(msgList, l, older, newer)
	}
}

// Heartbeat is called when the watch works and nothing has changed.
func (p *Program) Heartbeat() {
	if p.shared() {
		p.sharer.Alive()
	}
}

// WatchSilent is called when the watch, or the call for one, has gone silent and is restarted. The sharer is notified,
// so that no other dispatcher relies on a watch that reports nothing.
func (p *Program) WatchSilent(n int, err error) {
	level := slog.LevelDebug
	if n == 1 {
		level = slog.LevelWarn
	}
	p.noteUnreachable(err)
	if p.log.Log(p.ctx, level, "discovery sends nothing; restarting the watch", "err", err); p.shared() {
		p.sharer.Lost()
	}
}

// noteUnreachable records whether a call that returned nothing has shown that discovery cannot be reached. With
// pushed lists any failure counts as unreachable: the local agent has no list.
func (p *Program) noteUnreachable(err error) {
	if errors.Is(err, discovery.ErrUnreachable) || p.config.Settings.ListPushed {
		p.discoveryUnreachable.Store(true)
	}
}

// ListIgnored is called when a list, or an entry of one, is ignored as invalid or older than the last.
func (p *Program) ListIgnored(err error) {
	p.log.Error("invalid instance list from discovery ignored", "err", err)
}

// WatchLost is called when a watch, or a call for one, has ended after the given time.
func (p *Program) WatchLost(err error, after time.Duration) {
	p.noteUnreachable(err)
	if p.shared() {
		p.log.Debug("watch on discovery lost", "err", err)
		p.sharer.Lost()
		return
	}
	p.log.Warn("watch on discovery lost", "err", err)
	p.loop.DiscoveryFailed(errors.Is(err, discovery.ErrUnreachable), after)
}
