package replica

import (
	"errors"
	"maps"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// pending is a write that a group waits for.
type pending struct {
	g   *group
	m   *pb.Message // nil: of the group's own
	own GroupWrite
}

type flight struct {
	number uint64
	parts  []pending
}

// append takes what must last before its responses go out. What a crash may lose is put off until something must last.
func (n *Node) append(g *group, m *pb.Message) {
	if m.Term != nil {
		hard := &pb.HardState{Term: m.Term, Vote: m.Vote, Commit: m.Commit}
		if len(m.GetEntries()) == 0 && m.Snapshot == nil && g.waiting == 0 && hard.GetTerm() == g.stored.GetTerm() && hard.GetVote() == g.stored.GetVote() {
			g.log.SetHardState(hard)
			g.stored = hard
			n.respond(g, m)
			return
		}
		g.stored = hard
	} else if len(m.GetEntries()) == 0 && m.Snapshot == nil && g.waiting == 0 {
		n.respond(g, m)
		return
	}
	n.queue(pending{g: g, m: m})
}

func (n *Node) queue(p pending) {
	p.g.waiting++
	n.pending = append(n.pending, p)
}

func (n *Node) respond(g *group, m *pb.Message) {
	for _, r := range m.GetResponses() {
		n.send(g, r)
	}
}

// batch makes one write of all that waits for one.
func (n *Node) batch(now time.Duration) {
	if n.flight != nil || len(n.pending) == 0 || n.ended {
		return
	}
	w := &Write{Number: n.written + 1}
	for _, p := range n.pending {
		part := p.own
		if p.m != nil {
			part = GroupWrite{Group: p.g.number, Entries: p.m.GetEntries(), Hard: p.g.stored}
			if s := p.m.GetSnapshot(); !raft.IsEmptySnap(s) {
				part.Snapshot, part.Reset = s, true
			}
		}
		w.Groups = append(w.Groups, part)
	}
	if now-n.knownAt >= time.Second {
		n.knownAt, w.Known = now, maps.Clone(n.known)
	}
	n.flight = &flight{w.Number, n.pending}
	n.pending = nil
	n.out.Write = w
}

// Persisted takes that a write will last.
func (n *Node) Persisted(now time.Duration, number uint64) {
	if n.flight == nil || n.flight.number != number || n.ended {
		return
	}
	parts := n.flight.parts
	n.flight, n.written = nil, number
	for _, p := range parts {
		g := p.g
		g.waiting--
		if p.m == nil {
			continue
		}
		n.guard(g, func() {
			if s := p.m.GetSnapshot(); !raft.IsEmptySnap(s) {
				if err := g.restore(s); err != nil {
					panic(err)
				}
				if err := g.log.ApplySnapshot(&pb.Snapshot{Metadata: s.GetMetadata()}); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
					panic(err)
				}
				g.size = 0
				n.out.Changed = true
			}
			if p.m.Term != nil {
				g.log.SetHardState(&pb.HardState{Term: p.m.Term, Vote: p.m.Vote, Commit: p.m.Commit})
			}
			if err := g.log.Append(p.m.GetEntries()); err != nil {
				panic(err)
			}
			n.respond(g, p.m)
		})
		n.touch(g)
	}
}

// Failed takes that a write may not last: this node confirms nothing more and acts for nobody.
func (n *Node) Failed(why error) {
	if !n.ended {
		n.retire("")
		n.out.Retire = ""
		n.note("the store takes no more: %v", why)
	}
}
