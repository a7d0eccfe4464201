package replica

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

// Groups in which nothing happens cost nothing: their replicas take no ticks and send no heartbeats. The beats between
// daemons stand for those. A follower that has confirmed to be calm gives nobody its vote while the leader's daemon is
// heard, for its election clock stands still, and for ElectionTimeout more. It wakes when that daemon is silent for so
// long, has begun anew, or leads the group no more by its own word. Whoever has taken a daemon for silent says so in
// its confirmations of beats by another epoch, so that they count for no group that was calm before.

const (
	hibernateAfter           = time.Second // without anything new
	hibernateRequestInterval = time.Second // that it is asked for
	// While this much of a lease is left, beats are enough; with less, heartbeats must do.
	minLeaseLeft     = LeaseDuration / 2
	heartbeatHistory = 32 // whose times are kept
)

// HeartbeatAck is what a beat says to one daemon alone: which of its beats was heard last.
type HeartbeatAck struct {
	Boot   uint64 // of the process that is spoken to
	Number uint64
	Epoch  uint64
}

// Hibernation asks a follower to be calm, or confirms that it is.
type Hibernation struct {
	Group uint32
	Term  uint64
	Index uint64 // at which all logs end
	Epoch uint64 // of who confirms; 0: it is asked for
}

// isIdle tells whether nothing is under way in a group that this node leads.
func (n *Node) isIdle(g *group) bool {
	s := g.raw.BasicStatus()
	if g.scheduled || g.pendingWrites > 0 || len(g.conf.GetLearners()) > 0 || len(g.conf.GetVotersOutgoing()) > 0 || g.applied != s.GetCommit() || len(g.conf.GetVoters()) < 2 {
		return false
	}
	all, alike := 0, 0
	g.raw.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if all++; pr.Match == g.applied && (id == n.id || pr.State == tracker.StateReplicate) {
			alike++
		}
	})
	return all == alike
}

// requestHibernation asks the followers of a group to be calm once nothing has happened for a while.
func (n *Node) requestHibernation(g *group, now time.Duration) {
	if !g.leader || g.transferTerm == g.term || g.leaseUntil <= now || g.applied < g.leaseIndex || now-g.activeAt < hibernateAfter || now-g.hibernateAskedAt < hibernateRequestInterval {
		return
	}
	if g.hibernateAskedAt = now; !n.isIdle(g) {
		return
	}
	clear(g.hibernateAcks)
	for _, id := range g.conf.GetVoters() {
		if id == n.id {
			continue
		}
		name := n.nameByHash[uint32(id>>32)]
		if p := n.peers[name]; p == nil || p.member.ID() != id || now-p.receivedAt > SilenceTimeout {
			return
		}
		n.out.Sends = append(n.out.Sends, Send{To: name, Hibernation: &Hibernation{Group: g.number, Term: g.term, Index: g.applied}})
	}
}

// HandleHibernation takes what another daemon says of a group's calm.
func (n *Node) HandleHibernation(now time.Duration, from string, c Hibernation) {
	g, p := n.groups[c.Group], n.peers[from]
	if g == nil || p == nil || n.stopped || g.halted || !g.released {
		return
	}
	id, s := p.member.ID(), g.raw.BasicStatus()
	last, err := g.log.LastIndex()
	if err != nil || g.scheduled || g.pendingWrites > 0 || s.GetTerm() != c.Term || s.GetCommit() != c.Index || g.applied != c.Index || last != c.Index {
		return
	}
	if c.Epoch == 0 {
		if s.RaftState == raft.StateFollower && s.Lead == id && now-p.receivedAt < ElectionTimeout {
			g.hibernating, g.hibernatingUnder, g.hibernateTerm = true, from, c.Term
			n.out.Sends = append(n.out.Sends, Send{To: from, Hibernation: &Hibernation{Group: g.number, Term: c.Term, Index: c.Index, Epoch: p.epoch}})
		}
		return
	}
	if !g.leader || g.transferTerm == g.term || g.term != c.Term || !slices.Contains(g.conf.GetVoters(), id) || !n.isIdle(g) {
		return
	}
	if g.hibernateAcks == nil {
		g.hibernateAcks = map[uint64]uint64{}
	}
	if g.hibernateAcks[id] = c.Epoch; len(g.hibernateAcks) == len(g.conf.GetVoters())-1 {
		g.hibernating, g.hibernatingUnder = true, ""
	}
}

// wake has a group take part in the usual way again. ticks are made up for by a follower whose leader has been silent.
func (n *Node) wake(g *group, now time.Duration, ticks int) {
	if !g.hibernating {
		return
	}
	g.hibernating, g.hibernatingUnder, g.activeAt = false, "", now
	clear(g.hibernateAcks)
	n.guard(g, func() {
		for range ticks {
			g.raw.Tick()
		}
	})
	n.schedule(g)
}

// checkHibernating wakes what was calm under daemons that are silent, and what beats do not hold any more.
func (n *Node) checkHibernating(now time.Duration) {
	for _, p := range n.peers {
		if now-p.receivedAt >= ElectionTimeout && !p.silent {
			p.silent = true
			n.peerSilent(p, now)
		}
	}
	for _, g := range n.ordered {
		if !g.hibernating || !g.leader {
			continue
		}
		if g.leaseUntil = max(g.leaseUntil, n.heartbeatLease(g, now)); g.leaseUntil-now < minLeaseLeft {
			n.wake(g, now, 0)
		}
	}
}

// peerSilent takes a daemon for silent.
func (n *Node) peerSilent(p *peer, now time.Duration) {
	p.epoch++
	for _, g := range n.ordered {
		if g.hibernating && g.hibernatingUnder == p.member.Name {
			n.wake(g, now, electionTicks-1) // it has waited
		}
	}
}

// heartbeatLease is until when a calm group's leader acts by what was confirmed of its beats; 0: it must ask again.
func (n *Node) heartbeatLease(g *group, now time.Duration) time.Duration {
	voters := g.conf.GetVoters()
	heard := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		if id == n.id {
			heard = append(heard, now)
			continue
		}
		p := n.peers[n.nameByHash[uint32(id>>32)]]
		if epoch, ok := g.hibernateAcks[id]; p == nil || !ok || p.ackEpoch != epoch || p.member.ID() != id {
			return 0 // it may be awake, and have voted
		}
		heard = append(heard, p.ackedSentAt)
	}
	slices.Sort(heard)
	return heard[(len(heard)-1)/2] + LeaseDuration
}

// HandleHeartbeatAck takes what another daemon says of our beats.
func (n *Node) HandleHeartbeatAck(from string, c HeartbeatAck) {
	p := n.peers[from]
	if p == nil || n.stopped || c.Boot != n.cfg.Boot {
		return
	}
	p.ackEpoch = c.Epoch
	if at := n.sentHeartbeats[c.Number%heartbeatHistory]; at.number == c.Number && at.number > 0 {
		p.ackedSentAt = max(p.ackedSentAt, at.at)
	}
}

// sentHeartbeat is when a beat went out.
type sentHeartbeat struct {
	number uint64
	at     time.Duration
}
