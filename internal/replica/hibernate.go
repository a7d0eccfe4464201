package replica

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

// Idle groups hibernate: their replicas take no ticks and send no raft heartbeats; the heartbeats between daemons
// replace them. A follower that has agreed to hibernate grants no vote while heartbeats of the leader's daemon arrive,
// since its election clock stands still, and for ElectionTimeout after that. It wakes when that daemon has been silent
// for ElectionTimeout, has restarted, or no longer lists the group among those that it leads. A daemon that has
// considered a peer silent acknowledges the peer's heartbeats with a new epoch, so that they extend no lease of a group
// that hibernated before.

const (
	hibernateAfter           = time.Second // of inactivity
	hibernateRequestInterval = time.Second // between requests to the followers of a group
	// A hibernating group whose lease has less than this left wakes, so that raft heartbeats renew the lease.
	minLeaseLeft     = LeaseDuration / 2
	heartbeatHistory = 32 // heartbeats whose send times are kept
)

// HeartbeatAck accompanies a heartbeat and acknowledges the latest heartbeat received from the daemon that it is
// sent to.
type HeartbeatAck struct {
	Boot   uint64 // of that daemon's process
	Number uint64
	Epoch  uint64
}

// Hibernation asks a follower to hibernate, or is its agreement.
type Hibernation struct {
	Group uint32
	Term  uint64
	Index uint64 // log index that every replica has reached
	Epoch uint64 // of the follower that agrees; 0: a request
}

// isIdle reports whether nothing is pending in a group that this node leads.
func (n *Node) isIdle(g *group) bool {
	s := g.raw.BasicStatus()
	if g.scheduled || g.pendingWrites > 0 || len(g.conf.GetLearners()) > 0 || len(g.conf.GetVotersOutgoing()) > 0 || g.applied != s.GetCommit() || len(g.conf.GetVoters()) < 2 {
		return false
	}
	total, caughtUp := 0, 0
	g.raw.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if total++; pr.Match == g.applied && (id == n.id || pr.State == tracker.StateReplicate) {
			caughtUp++
		}
	})
	return total == caughtUp
}

// requestHibernation asks the followers of a group to hibernate after a time of inactivity.
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

// HandleHibernation handles a peer's request to hibernate or its agreement.
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

// wake ends a group's hibernation. A follower whose leader has been silent takes the given number of ticks at once, for
// the time that it has already waited.
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

// checkHibernating wakes the groups whose leader's daemon is silent, and those led here whose lease daemon heartbeats
// no longer extend.
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

// peerSilent starts a new epoch for a peer that is considered silent or has restarted, and wakes the groups that
// hibernate under it.
func (n *Node) peerSilent(p *peer, now time.Duration) {
	p.epoch++
	for _, g := range n.ordered {
		if g.hibernating && g.hibernatingUnder == p.member.Name {
			n.wake(g, now, electionTicks-1) // an election timeout has nearly passed already
		}
	}
}

// heartbeatLease returns until when the leader of a hibernating group may act, by the daemon heartbeats that have been
// acknowledged; 0 if a follower's agreement no longer holds.
func (n *Node) heartbeatLease(g *group, now time.Duration) time.Duration {
	voters := g.conf.GetVoters()
	confirmed := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		if id == n.id {
			confirmed = append(confirmed, now)
			continue
		}
		p := n.peers[n.nameByHash[uint32(id>>32)]]
		if epoch, ok := g.hibernateAcks[id]; p == nil || !ok || p.ackEpoch != epoch || p.member.ID() != id {
			return 0 // it may have woken and voted
		}
		confirmed = append(confirmed, p.ackedSentAt)
	}
	slices.Sort(confirmed)
	return confirmed[(len(confirmed)-1)/2] + LeaseDuration
}

// HandleHeartbeatAck handles a peer's acknowledgement of this node's heartbeats.
func (n *Node) HandleHeartbeatAck(from string, c HeartbeatAck) {
	p := n.peers[from]
	if p == nil || n.stopped || c.Boot != n.cfg.Boot {
		return
	}
	p.ackEpoch = c.Epoch
	if sent := n.sentHeartbeats[c.Number%heartbeatHistory]; sent.number == c.Number && sent.number > 0 {
		p.ackedSentAt = max(p.ackedSentAt, sent.at)
	}
}

// sentHeartbeat is the time at which a heartbeat was sent.
type sentHeartbeat struct {
	number uint64
	at     time.Duration
}
