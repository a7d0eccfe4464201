package replica

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"
)

// renewLease asks raft for a read index, which makes followers confirm the leader by heartbeats that carry the
// request's number.
func (n *Node) renewLease(g *group, now time.Duration) {
	if !g.leader || now-g.renewedAt < HeartbeatInterval {
		return
	}
	g.renewedAt = now
	n.lastRef++
	g.reads[n.lastRef] = now
	if len(g.reads) > int(2*ElectionTimeout/HeartbeatInterval) {
		for ref, at := range g.reads {
			if now-at > ElectionTimeout {
				delete(g.reads, ref)
			}
		}
	}
	g.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, n.lastRef))
}

// sendHeartbeats sends a daemon heartbeat to all peers.
func (n *Node) sendHeartbeats(now time.Duration) {
	leads := map[uint32]uint64{}
	for _, g := range n.ordered {
		if g.leader && !g.transferring() {
			leads[g.number] = g.term
		}
	}
	n.heartbeatNumber++
	n.sentHeartbeats[n.heartbeatNumber%heartbeatHistory] = sentHeartbeat{n.heartbeatNumber, now}
	b := &DaemonHeartbeat{Member: n.cfg.Self, Boot: n.cfg.Boot, Written: n.written, Number: n.heartbeatNumber, Full: n.heartbeatCount%fullHeartbeatEvery == 0}
	if n.heartbeatCount++; b.Full {
		b.Known = maps.Clone(n.knownStores)
	}
	if b.Full || !maps.Equal(leads, n.sentLeads) {
		n.sentLeads, b.Leads, b.HasLeads = leads, leads, true
	}
	for _, h := range slices.Sorted(maps.Keys(n.nameByHash)) {
		name := n.nameByHash[h]
		if name == n.cfg.Self.Name {
			continue
		}
		s := Send{To: name, Heartbeat: b}
		if p := n.peers[name]; p != nil {
			s.Ack = HeartbeatAck{Boot: p.boot, Number: p.heartbeatNumber, Epoch: p.epoch}
		}
		n.out.Sends = append(n.out.Sends, s)
	}
}

// AddPeer adds another daemon, from which nothing need have been received yet.
func (n *Node) AddPeer(name string) { n.nameByHash[nameHash(name)] = name }

// HandleHeartbeat handles another daemon's heartbeat.
func (n *Node) HandleHeartbeat(now time.Duration, b *DaemonHeartbeat) {
	name := b.Member.Name
	if name == n.cfg.Self.Name || n.stopped {
		return
	}
	n.AddPeer(name)
	p := n.peers[name]
	if p == nil {
		p = &peer{epoch: n.cfg.Boot << 16}
		n.peers[name] = p
	}
	switch {
	case p.boot == b.Boot && b.Number <= p.heartbeatNumber:
		return // delayed on a connection that has since been lost
	case p.boot != 0 && p.member.Incarnation != b.Member.Incarnation && now-p.receivedAt < ElectionTimeout:
		return // another daemon with this name may still hold a lease; a restart with the same store cannot
	case p.boot != b.Boot: // a restarted peer waits for a full heartbeat to confirm its store
		n.heartbeatCount = 0
		n.peerSilent(p, now)
	}
	p.boot, p.heartbeatNumber, p.member, p.receivedAt, p.silent = b.Boot, b.Number, b.Member, now, false
	if b.HasLeads {
		p.leadTerms = b.Leads
		for _, g := range n.ordered {
			if g.hibernating && g.hibernatingUnder == name && p.leadTerms[g.number] != g.hibernateTerm {
				n.wake(g, now, 0)
			}
		}
	}
	n.recordWritten(b.Member.ID(), b.Written)
	for id, written := range b.Known {
		if id == n.id {
			if written > n.written {
				n.retire(fmt.Sprintf("%s knows of %d batches written to this store, which holds %d: the store is an old copy", name, written, n.written))
				return
			}
			continue
		}
		n.recordWritten(id, written)
	}
	p.storeConfirmed = p.storeConfirmed || b.Full
}

func (n *Node) recordWritten(id, written uint64) {
	if _, ok := n.knownStores[id]; ok || len(n.knownStores) < maxKnownStores {
		n.knownStores[id] = max(n.knownStores[id], written)
	}
}
