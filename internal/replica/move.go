package replica

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// alive is all daemons that may hold replicas.
func (n *Node) alive(now, within time.Duration) []Member {
	all := []Member{n.c.Self}
	for _, p := range n.peers {
		if now-p.heard < within {
			all = append(all, p.member)
		}
	}
	return all
}

// move changes who holds a group by one: who is gone makes room for who has caught up.
func (n *Node) move(g *group, now time.Duration) {
	if !g.leader || g.passing == g.term || g.halted || g.applied < g.fresh || now-g.changed < moveEach || len(g.conf.GetVotersOutgoing()) > 0 {
		return
	}
	propose := func(changes ...*pb.ConfChangeSingle) {
		n.wake(g, now, 0)
		g.changed, g.stirred = now, now
		if err := g.raw.ProposeConfChange(&pb.ConfChangeV2{Changes: changes}); err == nil {
			n.touch(g)
		}
	}
	change := func(kind pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
		return &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(id)}
	}
	dead := func(id uint64, gone time.Duration) bool {
		if id == n.id {
			return false
		}
		p := n.peers[n.names[uint32(id>>32)]]
		if p == nil {
			return now-n.start >= gone
		}
		return p.member.ID() != id || now-p.heard >= gone
	}
	voters := g.conf.GetVoters()
	lost := slices.IndexFunc(voters, func(id uint64) bool { return dead(id, n.c.Gone) })
	surplus := uint64(0)
	want := Place(g.number, n.alive(now, n.c.Gone), n.c.Table.Copies)
	wanted := func(id uint64) bool { return slices.ContainsFunc(want, func(m Member) bool { return m.ID() == id }) }
	switch {
	case lost >= 0:
		surplus = voters[lost]
	case len(want) == n.c.Table.Copies && now-n.start >= n.c.Gone: // before, not all that live need have been heard
		for _, id := range voters {
			if id != n.id && !wanted(id) {
				surplus = id
			}
		}
	}
	if surplus == 0 && len(want) == n.c.Table.Copies && now-n.start >= n.c.Gone && !wanted(n.id) {
		n.pass(g, now, wanted) // who leads then moves it
		return
	}
	if learners := g.conf.GetLearners(); len(learners) > 0 {
		id := learners[0]
		if dead(id, SilentAfter) || !wanted(id) {
			propose(change(pb.ConfChangeType_ConfChangeRemoveNode, id))
			return
		}
		caught := false
		g.raw.WithProgress(func(of uint64, _ raft.ProgressType, pr tracker.Progress) {
			caught = caught || of == id && pr.RecentActive && pr.State == tracker.StateReplicate && pr.Match+nearlyThere >= g.applied
		})
		if !caught {
			return
		}
		up := change(pb.ConfChangeType_ConfChangeAddNode, id)
		if surplus != 0 && len(voters) >= n.c.Table.Copies {
			propose(up, change(pb.ConfChangeType_ConfChangeRemoveNode, surplus))
		} else {
			propose(up)
		}
		return
	}
	if surplus == 0 && len(voters) >= n.c.Table.Copies {
		if len(voters) > n.c.Table.Copies {
			for _, id := range voters {
				if id != n.id && !wanted(id) {
					propose(change(pb.ConfChangeType_ConfChangeRemoveNode, id))
					return
				}
			}
		}
		return
	}
	moving := 0
	for _, o := range n.order {
		if o.leader && len(o.conf.GetLearners()) > 0 {
			moving++
		}
	}
	if moving >= mostMoves {
		return
	}
	for _, m := range want {
		if id := m.ID(); !slices.Contains(voters, id) && !dead(id, SilentAfter) {
			propose(change(pb.ConfChangeType_ConfChangeAddLearnerNode, id))
			return
		}
	}
}
