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

// gives tells whether a heir may have been told.
func (g *group) gives() bool { return g.passing == g.term && g.passed }

// Yield has this node lead nothing from now on: another takes over each group for which one is there. It goes on voting.
func (n *Node) Yield(now time.Duration) {
	n.yields = true
	for _, g := range n.order {
		n.guard(g, func() { n.pass(g, now, nil) })
	}
}

// pass has another voter lead that is there, is one of those that may, and lacks least; none: all stays as it is.
func (n *Node) pass(g *group, now time.Duration, may func(id uint64) bool) {
	if !g.leader || g.passing == g.term {
		return
	}
	heir, match := uint64(0), uint64(0)
	g.raw.WithProgress(func(id uint64, kind raft.ProgressType, pr tracker.Progress) {
		p := n.peers[n.names[uint32(id>>32)]]
		there := p != nil && p.member.ID() == id && now-p.heard < ElectionAfter
		if id != n.id && kind == raft.ProgressTypePeer && there && pr.State == tracker.StateReplicate && pr.Match > match && (may == nil || may(id)) {
			heir, match = id, pr.Match
		}
	})
	if heir == 0 {
		return
	}
	n.wake(g, now, 0)
	g.passing, g.heir, g.passAt, g.passed, g.stirred = g.term, heir, max(now, g.until), false, now
	n.out.Changed = true
}

// hand goes on with that.
func (n *Node) hand(g *group, now time.Duration) {
	switch {
	case !g.leader:
	case g.passing != g.term:
		if n.yields {
			n.pass(g, now, nil)
		}
	case !g.passed && now >= g.passAt:
		g.passed, g.passedAt = true, now
		g.raw.TransferLeader(g.heir) // the library sends what the heir lacks first
		n.touch(g)
	case g.passed && now-g.passedAt >= ElectionAfter:
		// As if one had spoken of a later term: whatever the heir still hears of this one comes to nothing, or to its
		// election.
		g.raw.Step(&pb.Message{Type: pb.MessageType_MsgAppResp.Enum(), From: new(g.heir), To: new(n.id), Term: new(g.term + 1)})
		n.touch(g)
	}
}
