package replica

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// livePeers returns this daemon and all peers from which a heartbeat arrived within the given time.
func (n *Node) livePeers(now, within time.Duration) []Member {
	all := []Member{n.cfg.Self}
	for _, p := range n.peers {
		if now-p.receivedAt < within {
			all = append(all, p.member)
		}
	}
	return all
}

// changeMembers makes at most one membership change of a group: a learner is added and, once it has caught up, replaces
// a voter that is lost or that placement no longer wants.
func (n *Node) changeMembers(g *group, now time.Duration) {
	if !g.leader || g.transferTerm == g.term || g.halted || g.applied < g.leaseIndex || now-g.confChangedAt < confChangeInterval || len(g.conf.GetVotersOutgoing()) > 0 {
		return
	}
	propose := func(changes ...*pb.ConfChangeSingle) {
		n.wake(g, now, 0)
		g.confChangedAt, g.activeAt = now, now
		if err := g.raw.ProposeConfChange(&pb.ConfChangeV2{Changes: changes}); err == nil {
			n.schedule(g)
		}
	}
	change := func(kind pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
		return &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(id)}
	}
	isLost := func(id uint64, gone time.Duration) bool {
		if id == n.id {
			return false
		}
		p := n.peers[n.nameByHash[uint32(id>>32)]]
		if p == nil {
			return now-n.startedAt >= gone
		}
		return p.member.ID() != id || now-p.receivedAt >= gone
	}
	voters := g.conf.GetVoters()
	lost := slices.IndexFunc(voters, func(id uint64) bool { return isLost(id, n.cfg.RelocateAfter) })
	toReplace := uint64(0)
	want := Place(g.number, n.livePeers(now, n.cfg.RelocateAfter), n.cfg.Table.Copies)
	wanted := func(id uint64) bool { return slices.ContainsFunc(want, func(m Member) bool { return m.ID() == id }) }
	switch {
	case lost >= 0:
		toReplace = voters[lost]
	case len(want) == n.cfg.Table.Copies && now-n.startedAt >= n.cfg.RelocateAfter: // before that, some live daemons may not have sent a heartbeat yet
		for _, id := range voters {
			if id != n.id && !wanted(id) {
				toReplace = id
			}
		}
	}
	if toReplace == 0 && len(want) == n.cfg.Table.Copies && now-n.startedAt >= n.cfg.RelocateAfter && !wanted(n.id) {
		n.startTransfer(g, now, wanted) // the new leader then replaces this node
		return
	}
	if learners := g.conf.GetLearners(); len(learners) > 0 {
		id := learners[0]
		if isLost(id, SilenceTimeout) || !wanted(id) {
			propose(change(pb.ConfChangeType_ConfChangeRemoveNode, id))
			return
		}
		caughtUp := false
		g.raw.WithProgress(func(member uint64, _ raft.ProgressType, pr tracker.Progress) {
			caughtUp = caughtUp || member == id && pr.RecentActive && pr.State == tracker.StateReplicate && pr.Match+maxLearnerLag >= g.applied
		})
		if !caughtUp {
			return
		}
		promotion := change(pb.ConfChangeType_ConfChangeAddNode, id)
		if toReplace != 0 && len(voters) >= n.cfg.Table.Copies {
			propose(promotion, change(pb.ConfChangeType_ConfChangeRemoveNode, toReplace))
		} else {
			propose(promotion)
		}
		return
	}
	if toReplace == 0 && len(voters) >= n.cfg.Table.Copies {
		if len(voters) > n.cfg.Table.Copies {
			for _, id := range voters {
				if id != n.id && !wanted(id) {
					propose(change(pb.ConfChangeType_ConfChangeRemoveNode, id))
					return
				}
			}
		}
		return
	}
	moves := 0
	for _, o := range n.ordered {
		if o.leader && len(o.conf.GetLearners()) > 0 {
			moves++
		}
	}
	if moves >= maxConcurrentMoves {
		return
	}
	for _, m := range want {
		if id := m.ID(); !slices.Contains(voters, id) && !isLost(id, SilenceTimeout) {
			propose(change(pb.ConfChangeType_ConfChangeAddLearnerNode, id))
			return
		}
	}
}
