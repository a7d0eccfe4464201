package replica

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"
)

// renew has a leader ask whether the others still follow it: the library's reads do, by heartbeats that bear a mark.
func (n *Node) renew(g *group, now time.Duration) {
	if !g.leader || now-g.asked < HeartbeatEach {
		return
	}
	g.asked = now
	n.refs++
	g.asks[n.refs] = now
	if len(g.asks) > int(2*ElectionAfter/HeartbeatEach) {
		for ref, at := range g.asks {
			if now-at > ElectionAfter {
				delete(g.asks, ref)
			}
		}
	}
	g.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, n.refs))
}

// beat tells the other daemons that this one lives.
func (n *Node) beat(now time.Duration) {
	leads := map[uint32]uint64{}
	for _, g := range n.order {
		if g.leader && !g.gives() {
			leads[g.number] = g.term
		}
	}
	n.number++
	n.sent[n.number%sentBeats] = sentBeat{n.number, now}
	b := &Beat{Member: n.c.Self, Boot: n.c.Boot, Written: n.written, Number: n.number, Full: n.beats%fullEach == 0}
	if n.beats++; b.Full {
		b.Known = maps.Clone(n.known)
	}
	if b.Full || !maps.Equal(leads, n.told) {
		n.told, b.Leads, b.Led = leads, leads, true
	}
	for _, h := range slices.Sorted(maps.Keys(n.names)) {
		name := n.names[h]
		if name == n.c.Self.Name {
			continue
		}
		s := Send{To: name, Beat: b}
		if p := n.peers[name]; p != nil {
			s.Pair = Pair{Boot: p.boot, Number: p.number, Epoch: p.epoch}
		}
		n.out.Sends = append(n.out.Sends, s)
	}
}

// Meet says that there is another daemon, which may not have been heard yet.
func (n *Node) Meet(name string) { n.names[nameHash(name)] = name }

// Beaten takes another daemon's beat.
func (n *Node) Beaten(now time.Duration, b *Beat) {
	name := b.Member.Name
	if name == n.c.Self.Name || n.ended {
		return
	}
	n.Meet(name)
	p := n.peers[name]
	if p == nil {
		p = &peer{epoch: n.c.Boot << 16}
		n.peers[name] = p
	}
	switch {
	case p.boot == b.Boot && b.Number <= p.number:
		return // by a line that was lost meanwhile
	case p.boot != 0 && p.member.Incarnation != b.Member.Incarnation && now-p.heard < ElectionAfter:
		return // who had the name before may still act; with the same store there is no before
	case p.boot != b.Boot: // it waits to be told what is known of its store
		n.beats = 0
		n.rouse(p, now)
	}
	p.boot, p.number, p.member, p.heard, p.silent = b.Boot, b.Number, b.Member, now, false
	if b.Led {
		p.leads = b.Leads
		for _, g := range n.order {
			if g.quiet && g.under == name && p.leads[g.number] != g.quietTerm {
				n.wake(g, now, 0)
			}
		}
	}
	n.knows(b.Member.ID(), b.Written)
	for id, w := range b.Known {
		if id == n.id {
			if w > n.written {
				n.retire(fmt.Sprintf("%s has heard of %d batches in the store, which holds %d: it is an old copy", name, w, n.written))
				return
			}
			continue
		}
		n.knows(id, w)
	}
	p.vouched = p.vouched || b.Full
}

func (n *Node) knows(id, written uint64) {
	if _, there := n.known[id]; there || len(n.known) < mostKnown {
		n.known[id] = max(n.known[id], written)
	}
}
