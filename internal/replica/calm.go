package replica

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

// Groups in which nothing happens cost nothing: their replicas take no ticks and send no heartbeats. The beats between
// daemons stand for those. A follower that has confirmed to be calm gives nobody its vote while the leader's daemon is
// heard, for its election clock stands still, and for ElectionAfter more. It wakes when that daemon is silent for so
// long, has begun anew, or leads the group no more by its own word. Whoever has taken a daemon for silent says so in
// its confirmations of beats by another epoch, so that they count for no group that was calm before.

const (
	calmAfter = time.Second // without anything new
	calmEach  = time.Second // that it is asked for
	// While this much of a lease is left, beats are enough; with less, heartbeats must do.
	leastLease = LeaseFor / 2
	sentBeats  = 32 // whose times are kept
)

// Pair is what a beat says to one daemon alone: which of its beats was heard last.
type Pair struct {
	Boot   uint64 // of the process that is spoken to
	Number uint64
	Epoch  uint64
}

// Calm asks a follower to be calm, or confirms that it is.
type Calm struct {
	Group uint32
	Term  uint64
	Index uint64 // at which all logs end
	Epoch uint64 // of who confirms; 0: it is asked for
}

// still tells whether nothing is under way in a group that this node leads.
func (n *Node) still(g *group) bool {
	s := g.raw.BasicStatus()
	if g.dirty || g.waiting > 0 || len(g.conf.GetLearners()) > 0 || len(g.conf.GetVotersOutgoing()) > 0 || g.applied != s.GetCommit() || len(g.conf.GetVoters()) < 2 {
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

// soothe asks the followers of a group to be calm once nothing has happened for a while.
func (n *Node) soothe(g *group, now time.Duration) {
	if !g.leader || g.passing == g.term || g.until <= now || g.applied < g.fresh || now-g.stirred < calmAfter || now-g.soothed < calmEach {
		return
	}
	if g.soothed = now; !n.still(g) {
		return
	}
	clear(g.calm)
	for _, id := range g.conf.GetVoters() {
		if id == n.id {
			continue
		}
		name := n.names[uint32(id>>32)]
		if p := n.peers[name]; p == nil || p.member.ID() != id || now-p.heard > SilentAfter {
			return
		}
		n.out.Sends = append(n.out.Sends, Send{To: name, Calm: &Calm{Group: g.number, Term: g.term, Index: g.applied}})
	}
}

// Calmed takes what another daemon says of a group's calm.
func (n *Node) Calmed(now time.Duration, from string, c Calm) {
	g, p := n.groups[c.Group], n.peers[from]
	if g == nil || p == nil || n.ended || g.halted || !g.released {
		return
	}
	id, s := p.member.ID(), g.raw.BasicStatus()
	last, err := g.log.LastIndex()
	if err != nil || g.dirty || g.waiting > 0 || s.GetTerm() != c.Term || s.GetCommit() != c.Index || g.applied != c.Index || last != c.Index {
		return
	}
	if c.Epoch == 0 {
		if s.RaftState == raft.StateFollower && s.Lead == id && now-p.heard < ElectionAfter {
			g.quiet, g.under, g.quietTerm = true, from, c.Term
			n.out.Sends = append(n.out.Sends, Send{To: from, Calm: &Calm{Group: g.number, Term: c.Term, Index: c.Index, Epoch: p.epoch}})
		}
		return
	}
	if !g.leader || g.passing == g.term || g.term != c.Term || !slices.Contains(g.conf.GetVoters(), id) || !n.still(g) {
		return
	}
	if g.calm == nil {
		g.calm = map[uint64]uint64{}
	}
	if g.calm[id] = c.Epoch; len(g.calm) == len(g.conf.GetVoters())-1 {
		g.quiet, g.under = true, ""
	}
}

// wake has a group take part in the usual way again. ticks are made up for by a follower whose leader has been silent.
func (n *Node) wake(g *group, now time.Duration, ticks int) {
	if !g.quiet {
		return
	}
	g.quiet, g.under, g.stirred = false, "", now
	clear(g.calm)
	n.guard(g, func() {
		for range ticks {
			g.raw.Tick()
		}
	})
	n.touch(g)
}

// listen wakes what was calm under daemons that are silent, and what beats do not hold any more.
func (n *Node) listen(now time.Duration) {
	for _, p := range n.peers {
		if now-p.heard >= ElectionAfter && !p.silent {
			p.silent = true
			n.rouse(p, now)
		}
	}
	for _, g := range n.order {
		if !g.quiet || !g.leader {
			continue
		}
		if g.until = max(g.until, n.beatenLease(g, now)); g.until-now < leastLease {
			n.wake(g, now, 0)
		}
	}
}

// rouse takes a daemon for silent.
func (n *Node) rouse(p *peer, now time.Duration) {
	p.epoch++
	for _, g := range n.order {
		if g.quiet && g.under == p.member.Name {
			n.wake(g, now, electionTicks-1) // it has waited
		}
	}
}

// beatenLease is until when a calm group's leader acts by what was confirmed of its beats; 0: it must ask again.
func (n *Node) beatenLease(g *group, now time.Duration) time.Duration {
	voters := g.conf.GetVoters()
	heard := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		if id == n.id {
			heard = append(heard, now)
			continue
		}
		p := n.peers[n.names[uint32(id>>32)]]
		if epoch, ok := g.calm[id]; p == nil || !ok || p.theirs != epoch || p.member.ID() != id {
			return 0 // it may be awake, and have voted
		}
		heard = append(heard, p.confirmed)
	}
	slices.Sort(heard)
	return heard[(len(heard)-1)/2] + LeaseFor
}

// Paired takes what another daemon says of our beats.
func (n *Node) Paired(from string, c Pair) {
	p := n.peers[from]
	if p == nil || n.ended || c.Boot != n.c.Boot {
		return
	}
	p.theirs = c.Epoch
	if at := n.sent[c.Number%sentBeats]; at.number == c.Number && at.number > 0 {
		p.confirmed = max(p.confirmed, at.at)
	}
}

// sentBeat is when a beat went out.
type sentBeat struct {
	number uint64
	at     time.Duration
}
