package replica

import (
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// A leader transfers its leadership when its daemon stops or when placement wants the leader elsewhere. It stops acting
// at once, waits until its last lease has expired, and only then has raft send MsgTimeoutNow to the transferee, whose
// voters ignore the lease. Until then it still accepts commands. Once MsgTimeoutNow may have been sent, the old leader
// never acts in that term again, because the message may arrive late; if no election follows, it ends the term.

// transferring reports whether MsgTimeoutNow may have been sent.
func (g *group) transferring() bool { return g.transferTerm == g.term && g.transferSent }

// StepDown makes this node give up all leadership: each group for which another voter is available is transferred to
// it. The node still votes.
func (n *Node) StepDown(now time.Duration) {
	n.steppingDown = true
	for _, g := range n.ordered {
		n.guard(g, func() { n.startTransfer(g, now, nil) })
	}
}

// startTransfer starts a transfer to the available voter with the longest matching log among those that allowed
// accepts; nil accepts all. Without such a voter nothing changes.
func (n *Node) startTransfer(g *group, now time.Duration, allowed func(id uint64) bool) {
	if !g.leader || g.transferTerm == g.term {
		return
	}
	transferee, match := uint64(0), uint64(0)
	g.raw.WithProgress(func(id uint64, kind raft.ProgressType, pr tracker.Progress) {
		p := n.peers[n.nameByHash[uint32(id>>32)]]
		available := p != nil && p.member.ID() == id && now-p.receivedAt < ElectionTimeout
		if id != n.id && kind == raft.ProgressTypePeer && available && pr.State == tracker.StateReplicate && pr.Match > match && (allowed == nil || allowed(id)) {
			transferee, match = id, pr.Match
		}
	})
	if transferee == 0 {
		return
	}
	n.wake(g, now, 0)
	g.transferTerm, g.transferee, g.transferAt, g.transferSent, g.activeAt = g.term, transferee, max(now, g.leaseUntil), false, now
	n.out.Changed = true
}

// advanceTransfer continues a transfer.
func (n *Node) advanceTransfer(g *group, now time.Duration) {
	switch {
	case !g.leader:
	case g.transferTerm != g.term:
		if n.steppingDown {
			n.startTransfer(g, now, nil)
		}
	case !g.transferSent && now >= g.transferAt:
		g.transferSent, g.transferSentAt = true, now
		g.raw.TransferLeader(g.transferee) // raft first sends the entries that the transferee lacks
		n.schedule(g)
	case g.transferSent && now-g.transferSentAt >= ElectionTimeout:
		// Simulates a response of a later term: a MsgTimeoutNow that the transferee still receives for this term is
		// then ignored, or leads to a regular election.
		g.raw.Step(&pb.Message{Type: pb.MessageType_MsgAppResp.Enum(), From: new(g.transferee), To: new(n.id), Term: new(g.term + 1)})
		n.schedule(g)
	}
}
