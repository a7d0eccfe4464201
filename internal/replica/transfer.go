package replica

import (
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// A leader that is to end, or that placement wants elsewhere, has another take over: it acts no more at once, waits
// until the lease that it last told of has ended, and only then tells its heir, whose voters need not wait. Commands are
// taken in meanwhile. Once the heir may have been told the old one never acts in that term again, for the word may be
// late: if nothing comes of it, it ends the term.

// transferring tells whether a heir may have been told.
func (g *group) transferring() bool { return g.transferTerm == g.term && g.transferSent }

// StepDown has this node lead nothing from now on: another takes over each group for which one is there. It goes on voting.
func (n *Node) StepDown(now time.Duration) {
	n.steppingDown = true
	for _, g := range n.ordered {
		n.guard(g, func() { n.startTransfer(g, now, nil) })
	}
}

// startTransfer has another voter lead that is there, is one of those that may, and lacks least; none: all stays as it is.
func (n *Node) startTransfer(g *group, now time.Duration, may func(id uint64) bool) {
	if !g.leader || g.transferTerm == g.term {
		return
	}
	heir, match := uint64(0), uint64(0)
	g.raw.WithProgress(func(id uint64, kind raft.ProgressType, pr tracker.Progress) {
		p := n.peers[n.nameByHash[uint32(id>>32)]]
		there := p != nil && p.member.ID() == id && now-p.receivedAt < ElectionTimeout
		if id != n.id && kind == raft.ProgressTypePeer && there && pr.State == tracker.StateReplicate && pr.Match > match && (may == nil || may(id)) {
			heir, match = id, pr.Match
		}
	})
	if heir == 0 {
		return
	}
	n.wake(g, now, 0)
	g.transferTerm, g.transferee, g.transferAt, g.transferSent, g.activeAt = g.term, heir, max(now, g.leaseUntil), false, now
	n.out.Changed = true
}

// advanceTransfer goes on with that.
func (n *Node) advanceTransfer(g *group, now time.Duration) {
	switch {
	case !g.leader:
	case g.transferTerm != g.term:
		if n.steppingDown {
			n.startTransfer(g, now, nil)
		}
	case !g.transferSent && now >= g.transferAt:
		g.transferSent, g.transferSentAt = true, now
		g.raw.TransferLeader(g.transferee) // the library sends what the heir lacks first
		n.schedule(g)
	case g.transferSent && now-g.transferSentAt >= ElectionTimeout:
		// As if one had spoken of a later term: whatever the heir still hears of this one comes to nothing, or to its
		// election.
		g.raw.Step(&pb.Message{Type: pb.MessageType_MsgAppResp.Enum(), From: new(g.transferee), To: new(n.id), Term: new(g.term + 1)})
		n.schedule(g)
	}
}
