package replica

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Timing of the groups. A follower that has confirmed a heartbeat grants no other candidate its vote for
// ElectionTimeout less one tick, by its own clock; the leader acts for LeaseDuration after it sent that heartbeat, by
// its own clock. While clock rates differ by less than one part in MaxDriftDivisor, no two nodes act for a group at
// once.
const (
	Tick                    = 50 * time.Millisecond
	HeartbeatInterval       = 100 * time.Millisecond
	ElectionTimeout         = 600 * time.Millisecond // randomized up to twice this
	LeaseDuration           = 500 * time.Millisecond
	MaxDriftDivisor         = 20
	DaemonHeartbeatInterval = 100 * time.Millisecond
	SilenceTimeout          = 2 * time.Second  // a daemon without heartbeats counts as unavailable
	RelocateTimeout         = 30 * time.Second // silence after which a daemon's replicas are moved to other daemons
)

const (
	confChangeInterval = time.Second // per group
	electionTicks      = int(ElectionTimeout / Tick)
	maxTickCatchUp     = 2 * electionTicks // ticks made up for at once
	maxProposals       = 4096              // pending on this node
	maxLogBytes        = 4 << 20           // log size at which it is compacted
	maxLogEntries      = 4096
	keepEntries        = 512 // kept behind a snapshot, for followers that lag slightly
	maxSnapshotBytes   = 64 << 20
	snapshotInterval   = time.Second
	maxConcurrentMoves = 4 // groups led here that have a learner at once
	maxKnownStores     = 4096
	fullHeartbeatEvery = 10 // heartbeats
	maxLearnerLag      = 64 // entries that a learner may lack when it becomes a voter
)

// Compilation fails if the lease could outlast the time for which a vote is withheld.
const _ = uint64((ElectionTimeout-Tick)-(ElectionTimeout-Tick)/MaxDriftDivisor) - uint64(LeaseDuration)

// Node holds one daemon's replicas. It is not safe for concurrent use.
type Node struct {
	cfg                 Config
	id                  uint64
	startedAt           time.Duration
	tickedAt            time.Duration
	heartbeatAt         time.Duration
	membershipCheckedAt time.Duration
	groups              map[uint32]*group
	ordered             []*group
	nameByHash          map[uint32]string
	peers               map[string]*peer
	knownStores         map[uint64]uint64
	lastRef             uint64
	proposals           map[uint64]*group
	pending             []pendingWrite
	inFlight            *inFlightWrite
	written             uint64
	knownSavedAt        time.Duration
	scheduled           []*group
	heartbeatCount      uint64
	heartbeatNumber     uint64 // of the last heartbeat sent
	sentHeartbeats      [heartbeatHistory]sentHeartbeat
	sentLeads           map[uint32]uint64
	out                 Work
	stopped             bool
	steppingDown        bool // StepDown was called: the node transfers every group that it leads or comes to lead
}

// peer is another daemon.
type peer struct {
	member         Member
	boot           uint64
	receivedAt     time.Duration
	storeConfirmed bool // it knows of no later state of this node's store
	leadTerms      map[uint32]uint64

	heartbeatNumber uint64 // of its last heartbeat
	silent          bool
	epoch           uint64        // changes whenever the peer is considered silent or has restarted
	ackEpoch        uint64        // the epoch that the peer last reported for this node
	ackedSentAt     time.Duration // when the latest of this node's heartbeats that it has acknowledged was sent
}

// New returns a node with the state of its store. Groups that the table assigns to it and that the store lacks start
// from the table's initial state: this member has never voted or confirmed anything there.
func New(c Config, now time.Duration, stored map[uint32]Stored) (*Node, error) {
	if c.RelocateAfter == 0 {
		c.RelocateAfter = RelocateTimeout
	}
	n := &Node{
		cfg: c, id: c.Self.ID(), startedAt: now, tickedAt: now, heartbeatAt: now - DaemonHeartbeatInterval, groups: map[uint32]*group{}, nameByHash: map[uint32]string{nameHash(c.Self.Name): c.Self.Name},
		peers: map[string]*peer{}, knownStores: map[uint64]uint64{}, lastRef: c.Boot << 32, proposals: map[uint64]*group{},
		written: c.Written,
	}
	for id, w := range c.Known {
		n.knownStores[id] = w
	}
	for _, m := range c.Table.Members {
		n.nameByHash[nameHash(m.Name)] = m.Name
	}
	for number, s := range stored {
		if _, err := n.add(number, s); err != nil {
			return nil, fmt.Errorf("group %d: %w", number, err)
		}
	}
	if slices.ContainsFunc(c.Table.Members, func(m Member) bool { return m.ID() == n.id }) {
		for number := range c.Table.Groups {
			if s, ok := InitialState(c.Table, number, c.Self); ok && n.groups[number] == nil {
				g, err := n.add(number, s)
				if err != nil {
					return nil, err
				}
				n.queue(pendingWrite{group: g, groupWrite: GroupWrite{Group: number, HardState: s.HardState, Snapshot: s.Snapshot}})
			}
		}
	}
	return n, nil
}

// Tick advances the time. It must be called at least once per Tick interval.
func (n *Node) Tick(now time.Duration) {
	if n.stopped {
		return
	}
	ticks := int((now - n.tickedAt) / Tick)
	n.tickedAt += time.Duration(ticks) * Tick
	n.checkHibernating(now)
	for _, g := range n.ordered {
		if ticks > 0 && !g.hibernating && n.release(g, now) {
			n.guard(g, func() {
				for range min(ticks, maxTickCatchUp) {
					g.raw.Tick()
				}
				n.renewLease(g, now)
				n.requestHibernation(g, now)
				n.advanceTransfer(g, now)
			})
			n.schedule(g)
		}
	}
	if now-n.heartbeatAt >= DaemonHeartbeatInterval {
		n.heartbeatAt = now
		n.sendHeartbeats(now)
	}
	if now-n.membershipCheckedAt >= confChangeInterval {
		n.membershipCheckedAt = now
		for _, g := range n.ordered {
			n.guard(g, func() { n.changeMembers(g, now) })
		}
	}
}

// retire stops this node: pending proposals end with ErrUnknown and leases are given up. why, if not empty, tells the
// owner to set the store aside.
func (n *Node) retire(why string) {
	n.stopped = true
	n.out.Retire = why
	for ref := range n.proposals {
		n.addResult(Result{Ref: ref, Err: ErrUnknown})
	}
	for _, g := range n.ordered {
		g.leader, g.leaseUntil = false, 0
	}
	n.out.Changed = true
}

// Step handles a raft message from another daemon.
func (n *Node) Step(now time.Duration, group uint32, m *pb.Message) {
	if n.stopped || m == nil || m.GetTo() != n.id || raft.IsLocalMsg(m.GetType()) {
		return
	}
	switch m.GetType() {
	case pb.MessageType_MsgProp, pb.MessageType_MsgTransferLeader, pb.MessageType_MsgForgetLeader, pb.MessageType_MsgReadIndex:
		return // local requests, which other daemons have no reason to send
	}
	g := n.groups[group]
	if g == nil {
		if group >= n.cfg.Table.Groups || m.GetType() != pb.MessageType_MsgApp && m.GetType() != pb.MessageType_MsgHeartbeat && m.GetType() != pb.MessageType_MsgSnap {
			return
		}
		var err error
		if g, err = n.add(group, Stored{}); err != nil {
			n.note("group %d: %v", group, err)
			return
		}
		g.released = true // a new replica has confirmed nothing yet
	}
	if !n.release(g, now) {
		return
	}
	if s := g.raw.BasicStatus(); m.GetType() == pb.MessageType_MsgTimeoutNow && (s.Lead != m.GetFrom() || s.GetTerm() != m.GetTerm()) {
		return // MsgTimeoutNow makes voters ignore the lease, so only the holder of the lease may send it
	}
	// The message may be a heartbeat that is confirmed below, so its sender must not be considered silent before the
	// lease that the confirmation extends expires.
	if p := n.peers[n.nameByHash[uint32(m.GetFrom()>>32)]]; p != nil && p.member.ID() == m.GetFrom() && !p.silent && now-p.receivedAt < ElectionTimeout {
		p.receivedAt = now
	}
	if last, err := g.log.LastIndex(); m.GetType() == pb.MessageType_MsgHeartbeat && err == nil && m.GetCommit() > last && g.pendingWrites == 0 && m.GetTerm() >= g.hardState.GetTerm() {
		n.retire(fmt.Sprintf("group %d: this node confirmed entries up to %d, but its store ends at %d", group, m.GetCommit(), last))
		return
	}
	n.guard(g, func() { g.raw.Step(m) })
	n.schedule(g)
	if g.hibernating && g.hibernatingUnder != "" {
		entries := m.GetEntries()
		if g.raw.BasicStatus().GetTerm() != g.hibernateTerm || m.GetType() == pb.MessageType_MsgSnap || len(entries) > 0 && entries[len(entries)-1].GetIndex() > g.applied {
			n.wake(g, now, 0)
		}
	}
}

// Propose proposes a command to a group that this node leads. The result arrives in Work under the returned ref.
func (n *Node) Propose(now time.Duration, group uint32, unix time.Duration, cmd []byte) (ref uint64, err error) {
	g := n.groups[group]
	switch {
	case group >= n.cfg.Table.Groups:
		return 0, ErrNoGroup
	case len(cmd) > maxCommandBytes:
		return 0, ErrTooLarge
	case g == nil || !g.leader || n.stopped || g.halted || g.transferring():
		return 0, ErrNoLeader
	case len(n.proposals) >= maxProposals:
		return 0, ErrDropped
	}
	n.lastRef++
	err = ErrNoLeader
	n.wake(g, now, 0)
	g.activeAt = now
	n.guard(g, func() { err = g.raw.Propose(wrap(n.lastRef, unix, cmd)) })
	n.schedule(g)
	if err != nil {
		return 0, ErrDropped
	}
	n.proposals[n.lastRef] = g
	return n.lastRef, nil
}

// Leader returns the daemon that leads a group, as far as known here; empty: none.
func (n *Node) Leader(group uint32) (name string) {
	if g := n.groups[group]; g != nil && g.leader && !g.transferring() {
		return n.cfg.Self.Name
	}
	latestTerm := uint64(0)
	for _, p := range n.peers {
		if term, ok := p.leadTerms[group]; ok && term > latestTerm && n.tickedAt-p.receivedAt < SilenceTimeout {
			latestTerm, name = term, p.member.Name
		}
	}
	return name
}

// Lease reports whether this node may act for a group, and until when.
func (n *Node) Lease(now time.Duration, group uint32) (term uint64, until time.Duration, ok bool) {
	g := n.groups[group]
	if g == nil || !g.leader || n.stopped || g.halted || g.leaseUntil <= now || g.applied < g.leaseIndex || g.transferTerm == g.term {
		return 0, 0, false
	}
	return g.term, g.leaseUntil, true
}

// Read answers a read-only command if this node holds the group's lease: then no other node can have committed anything
// that is not applied here. The answer is valid if the clock, read after this call, is before until.
func (n *Node) Read(now time.Duration, group uint32, cmd []byte) (result []byte, until time.Duration, ok bool) {
	_, until, ok = n.Lease(now, group)
	if !ok {
		return nil, 0, false
	}
	result, ok = n.groups[group].mux.Read(cmd)
	return result, until, ok
}

// guard confines a panic of the raft library, which panics on inconsistent logs, to its group: the group halts here.
func (n *Node) guard(g *group, f func()) {
	if g.halted {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			g.halted, g.leader = true, false
			n.note("group %d halted on this node: %v", g.number, r)
			n.failProposals(g)
		}
	}()
	f()
}

func (n *Node) note(format string, args ...any) {
	if len(n.out.Notes) < 256 {
		n.out.Notes = append(n.out.Notes, fmt.Sprintf(format, args...))
	}
}

func (n *Node) addResult(r Result) {
	delete(n.proposals, r.Ref)
	n.out.Results = append(n.out.Results, r)
}

// failProposals ends the pending proposals of a group with ErrUnknown, as a later leader may still commit them.
func (n *Node) failProposals(g *group) {
	for ref, proposer := range n.proposals {
		if proposer == g {
			n.addResult(Result{Ref: ref, Err: ErrUnknown})
		}
	}
}

// TakeWork returns the work that has accumulated.
func (n *Node) TakeWork(now time.Duration) Work {
	for len(n.scheduled) > 0 {
		g := n.scheduled[0]
		n.scheduled = n.scheduled[1:]
		g.scheduled = false
		n.guard(g, func() { n.handleReady(g, now) })
	}
	n.buildWrite(now)
	out := n.out
	n.out = Work{}
	return out
}

// handleReady processes what raft has ready for a group.
func (n *Node) handleReady(g *group, now time.Duration) {
	for g.raw.HasReady() && !n.stopped {
		rd := g.raw.Ready()
		if rd.SoftState != nil || rd.HardState != nil {
			n.updateLeadership(g)
		}
		for _, s := range rd.ReadStates {
			n.extendLease(g, s)
		}
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				n.append(g, m)
			case raft.LocalApplyThread:
				n.apply(g, m.GetEntries(), now)
				for _, r := range m.GetResponses() {
					g.raw.Step(r)
				}
			default:
				n.send(g, m)
			}
		}
	}
}

func (n *Node) schedule(g *group) {
	if !g.scheduled {
		g.scheduled = true
		n.scheduled = append(n.scheduled, g)
	}
}

func (n *Node) send(g *group, m *pb.Message) {
	if m.GetTo() == n.id {
		g.raw.Step(m)
		n.schedule(g)
		return
	}
	name := n.nameByHash[uint32(m.GetTo()>>32)]
	if name == "" || len(n.out.Sends) > 1<<16 {
		return
	}
	n.out.Sends = append(n.out.Sends, Send{To: name, Group: g.number, Raft: m})
	if m.GetType() == pb.MessageType_MsgSnap { // if it is lost, the follower rejects what comes next, and another snapshot is sent
		g.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		n.schedule(g)
	}
}

// updateLeadership handles a change of leadership or term.
func (n *Node) updateLeadership(g *group) {
	s := g.raw.BasicStatus()
	leader := s.RaftState == raft.StateLeader
	if leader == g.leader && (!leader || s.GetTerm() == g.term) {
		return
	}
	if g.leader {
		n.failProposals(g)
	}
	g.leader, g.term, g.leaseUntil, g.leaseIndex, g.renewedAt, g.hibernating, g.activeAt = leader, s.GetTerm(), 0, math.MaxUint64, 0, false, n.tickedAt
	g.transferTerm, g.transferSent = 0, false
	clear(g.hibernateAcks)
	clear(g.reads)
	n.out.Changed = true
}

// extendLease handles a read state: a majority has confirmed heartbeats that were sent at or after the read request, so
// the lease runs from the time of the request.
func (n *Node) extendLease(g *group, s raft.ReadState) {
	if len(s.RequestCtx) != 8 {
		return
	}
	ref := binary.BigEndian.Uint64(s.RequestCtx)
	requestedAt, ok := g.reads[ref]
	if !ok || !g.leader {
		return
	}
	for other, otherAt := range g.reads {
		if otherAt <= requestedAt {
			delete(g.reads, other)
		}
	}
	if g.leaseIndex == math.MaxUint64 {
		g.leaseIndex = s.Index
	}
	if g.leaseUntil == 0 {
		n.out.Changed = true
	}
	g.leaseUntil = max(g.leaseUntil, requestedAt+LeaseDuration)
}
