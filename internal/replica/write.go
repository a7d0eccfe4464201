package replica

import (
	"errors"
	"maps"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// pendingWrite is a write that a group waits for.
type pendingWrite struct {
	group      *group
	message    *pb.Message // raft's storage message; nil: groupWrite is written instead
	groupWrite GroupWrite
}

type inFlightWrite struct {
	number uint64
	parts  []pendingWrite
}

// append handles a storage message of raft, whose responses are sent once it is durable. A change that a crash may
// lose, such as a new commit index, is written only with the next change that must be durable, and its
// responses are sent at once.
func (n *Node) append(g *group, m *pb.Message) {
	if m.Term != nil {
		hard := &pb.HardState{Term: m.Term, Vote: m.Vote, Commit: m.Commit}
		if len(m.GetEntries()) == 0 && m.Snapshot == nil && g.pendingWrites == 0 && hard.GetTerm() == g.hardState.GetTerm() && hard.GetVote() == g.hardState.GetVote() {
			g.log.SetHardState(hard)
			g.hardState = hard
			n.respond(g, m)
			return
		}
		g.hardState = hard
	} else if len(m.GetEntries()) == 0 && m.Snapshot == nil && g.pendingWrites == 0 {
		n.respond(g, m)
		return
	}
	n.queue(pendingWrite{group: g, message: m})
}

func (n *Node) queue(p pendingWrite) {
	p.group.pendingWrites++
	n.pending = append(n.pending, p)
}

func (n *Node) respond(g *group, m *pb.Message) {
	for _, r := range m.GetResponses() {
		n.send(g, r)
	}
}

// buildWrite combines all pending writes into one batch.
func (n *Node) buildWrite(now time.Duration) {
	if n.inFlight != nil || len(n.pending) == 0 || n.stopped {
		return
	}
	w := &Write{Number: n.written + 1}
	for _, p := range n.pending {
		part := p.groupWrite
		if p.message != nil {
			part = GroupWrite{Group: p.group.number, Entries: p.message.GetEntries(), HardState: p.group.hardState}
			if s := p.message.GetSnapshot(); !raft.IsEmptySnap(s) {
				part.Snapshot, part.Reset = s, true
			}
		}
		w.Groups = append(w.Groups, part)
	}
	if now-n.knownSavedAt >= time.Second {
		n.knownSavedAt, w.Known = now, maps.Clone(n.knownStores)
	}
	n.inFlight = &inFlightWrite{w.Number, n.pending}
	n.pending = nil
	n.out.Write = w
}

// Persisted reports that a batch is durable.
func (n *Node) Persisted(now time.Duration, number uint64) {
	if n.inFlight == nil || n.inFlight.number != number || n.stopped {
		return
	}
	parts := n.inFlight.parts
	n.inFlight, n.written = nil, number
	for _, p := range parts {
		g := p.group
		g.pendingWrites--
		if p.message == nil {
			continue
		}
		n.guard(g, func() {
			if s := p.message.GetSnapshot(); !raft.IsEmptySnap(s) {
				if err := g.restore(s); err != nil {
					panic(err)
				}
				if err := g.log.ApplySnapshot(&pb.Snapshot{Metadata: s.GetMetadata()}); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
					panic(err)
				}
				g.logBytes = 0
				n.out.Changed = true
			}
			if p.message.Term != nil {
				g.log.SetHardState(&pb.HardState{Term: p.message.Term, Vote: p.message.Vote, Commit: p.message.Commit})
			}
			if err := g.log.Append(p.message.GetEntries()); err != nil {
				panic(err)
			}
			n.respond(g, p.message)
		})
		n.schedule(g)
	}
}

// WriteFailed reports that a batch may not be durable: this node confirms nothing more and gives up its leases.
func (n *Node) WriteFailed(why error) {
	if !n.stopped {
		n.retire("")
		n.out.Retire = ""
		n.note("the store accepts no more writes: %v", why)
	}
}
