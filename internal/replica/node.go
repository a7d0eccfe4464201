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

// The clock of groups. A follower that has confirmed a heartbeat gives nobody else its vote for ElectionTimeout less a
// tick, by its own clock; the leader acts for LeaseDuration after it sent that heartbeat, by its own. With clocks whose rates
// differ by less than one part in MaxDriftDivisor no two act at once.
const (
	Tick                    = 50 * time.Millisecond
	HeartbeatInterval       = 100 * time.Millisecond
	ElectionTimeout         = 600 * time.Millisecond // and up to twice that, by chance
	LeaseDuration           = 500 * time.Millisecond
	MaxDriftDivisor         = 20
	DaemonHeartbeatInterval = 100 * time.Millisecond // between daemons
	SilenceTimeout          = 2 * time.Second        // without a beat, a daemon counts as away
	RelocateTimeout         = 30 * time.Second       // and its replicas are moved
)

const (
	confChangeInterval = time.Second // in a group, between changes of who holds it
	electionTicks      = int(ElectionTimeout / Tick)
	maxTickCatchUp     = 2 * electionTicks // made up for at once
	maxProposals       = 4096              // proposals under way here
	maxLogBytes        = 4 << 20           // bytes of a log before it is cut
	maxLogEntries      = 4096
	keepEntries        = 512      // behind a snapshot, for followers that are a little late
	maxSnapshotBytes   = 64 << 20 // bytes
	snapshotInterval   = time.Second
	maxConcurrentMoves = 4 // groups led here that take in a new holder at once
	maxKnownStores     = 4096
	fullHeartbeatEvery = 10 // beats
	maxLearnerLag      = 64 // entries that a learner may lack when it becomes a voter
)

// It does not compile with a lease that would outlast a vote withheld.
const _ = uint64((ElectionTimeout-Tick)-(ElectionTimeout-Tick)/MaxDriftDivisor) - uint64(LeaseDuration)

// Node is one daemon's replicas. It is not safe for more than one goroutine.
type Node struct {
	cfg             Config
	id              uint64
	startedAt       time.Duration
	tickedAt        time.Duration
	heartbeatAt     time.Duration
	movedAt         time.Duration
	groups          map[uint32]*group
	ordered         []*group
	nameByHash      map[uint32]string // by hash
	peers           map[string]*peer
	known           map[uint64]uint64
	lastRef         uint64
	proposals       map[uint64]*group
	pending         []pendingWrite
	inFlight        *inFlightWrite
	written         uint64
	knownSavedAt    time.Duration
	scheduled       []*group
	heartbeatCount  uint64
	heartbeatNumber uint64 // of beats
	sentHeartbeats  [heartbeatHistory]sentHeartbeat
	sentLeads       map[uint32]uint64 // as last told
	out             Work
	stopped         bool
	steppingDown    bool // it is to lead nothing
}

// peer is another daemon.
type peer struct {
	member         Member
	boot           uint64
	receivedAt     time.Duration
	storeConfirmed bool // it knows of no later state of our store
	leads          map[uint32]uint64

	heartbeatNumber uint64 // of its last beat
	silent          bool
	epoch           uint64        // another each time that it was silent, or another process
	ackEpoch        uint64        // its own of us
	ackedSentAt     time.Duration // when the last of our beats went out that it has confirmed
}

// New returns a node with what its store holds. Groups that the table gives it and that the store lacks begin as the
// table says: nothing was ever promised there.
func New(c Config, now time.Duration, stored map[uint32]Stored) (*Node, error) {
	if c.RelocateAfter == 0 {
		c.RelocateAfter = RelocateTimeout
	}
	n := &Node{
		cfg: c, id: c.Self.ID(), startedAt: now, tickedAt: now, heartbeatAt: now - DaemonHeartbeatInterval, groups: map[uint32]*group{}, nameByHash: map[uint32]string{nameHash(c.Self.Name): c.Self.Name},
		peers: map[string]*peer{}, known: map[uint64]uint64{}, lastRef: c.Boot << 32, proposals: map[uint64]*group{},
		written: c.Written,
	}
	for id, w := range c.Known {
		n.known[id] = w
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

// Tick takes the time. It is to be called at least once in Tick.
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
	if now-n.movedAt >= confChangeInterval {
		n.movedAt = now
		for _, g := range n.ordered {
			n.guard(g, func() { n.changeMembers(g, now) })
		}
	}
}

// retire ends this node.
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

// Step takes another daemon's message.
func (n *Node) Step(now time.Duration, group uint32, m *pb.Message) {
	if n.stopped || m == nil || m.GetTo() != n.id || raft.IsLocalMsg(m.GetType()) {
		return
	}
	switch m.GetType() {
	case pb.MessageType_MsgProp, pb.MessageType_MsgTransferLeader, pb.MessageType_MsgForgetLeader, pb.MessageType_MsgReadIndex:
		return // not between daemons: a proposal that nobody waits for
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
		g.released = true // it has promised nothing yet
	}
	if !n.release(g, now) {
		return
	}
	if s := g.raw.BasicStatus(); m.GetType() == pb.MessageType_MsgTimeoutNow && (s.Lead != m.GetFrom() || s.GetTerm() != m.GetTerm()) {
		return // votes are then given without regard to the lease, so only who had it may say this
	}
	// A heartbeat is confirmed, so its sender is not to be taken for silent sooner than a lease by it ends.
	if p := n.peers[n.nameByHash[uint32(m.GetFrom()>>32)]]; p != nil && p.member.ID() == m.GetFrom() && !p.silent && now-p.receivedAt < ElectionTimeout {
		p.receivedAt = now
	}
	if last, err := g.log.LastIndex(); m.GetType() == pb.MessageType_MsgHeartbeat && err == nil && m.GetCommit() > last && g.pendingWrites == 0 && m.GetTerm() >= g.hardState.GetTerm() {
		n.retire(fmt.Sprintf("group %d: entries up to %d were confirmed from here, and the store holds %d", group, m.GetCommit(), last))
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

// Propose has the leader take a command. The result comes under the ref that it returns.
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

// Leader is who acts for a group as far as known here; empty: nobody.
func (n *Node) Leader(group uint32) (name string) {
	if g := n.groups[group]; g != nil && g.leader && !g.transferring() {
		return n.cfg.Self.Name
	}
	best := uint64(0)
	for _, p := range n.peers {
		if term, leads := p.leads[group]; leads && term > best && n.tickedAt-p.receivedAt < SilenceTimeout {
			best, name = term, p.member.Name
		}
	}
	return name
}

// Lease tells whether this node acts for a group, and until when.
func (n *Node) Lease(now time.Duration, group uint32) (term uint64, until time.Duration, ok bool) {
	g := n.groups[group]
	if g == nil || !g.leader || n.stopped || g.halted || g.leaseUntil <= now || g.applied < g.leaseIndex || g.transferTerm == g.term {
		return 0, 0, false
	}
	return g.term, g.leaseUntil, true
}

// Read answers a command that only reads where this node acts for the group: nobody else can have agreed on anything
// that is not applied here. The answer counts while the clock, read after this, is before until.
func (n *Node) Read(now time.Duration, group uint32, cmd []byte) (result []byte, until time.Duration, ok bool) {
	_, until, ok = n.Lease(now, group)
	if !ok {
		return nil, 0, false
	}
	result, ok = n.groups[group].mux.Read(cmd)
	return result, until, ok
}

// guard keeps the library's panics, which it has for logs that contradict themselves, to their group.
func (n *Node) guard(g *group, f func()) {
	if g.halted {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			g.halted, g.leader = true, false
			n.note("group %d takes no further part here: %v", g.number, r)
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

// failProposals gives up what was proposed by a leader that is none any more: its successor may take it in.
func (n *Node) failProposals(g *group) {
	for ref, of := range n.proposals {
		if of == g {
			n.addResult(Result{Ref: ref, Err: ErrUnknown})
		}
	}
}

// TakeWork takes the work that has come up.
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

// handleReady does what the library has for a group.
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
				n.persist(g, m)
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
	if m.GetType() == pb.MessageType_MsgSnap { // what follows it is refused if it was lost, and another is sent
		g.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		n.schedule(g)
	}
}

// updateLeadership takes a change of who leads.
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

// extendLease takes that a majority has confirmed heartbeats that were sent when the read was asked for, or later.
func (n *Node) extendLease(g *group, s raft.ReadState) {
	if len(s.RequestCtx) != 8 {
		return
	}
	ref := binary.BigEndian.Uint64(s.RequestCtx)
	at, ok := g.reads[ref]
	if !ok || !g.leader {
		return
	}
	for other, when := range g.reads {
		if when <= at {
			delete(g.reads, other)
		}
	}
	if g.leaseIndex == math.MaxUint64 {
		g.leaseIndex = s.Index
	}
	if g.leaseUntil == 0 {
		n.out.Changed = true
	}
	g.leaseUntil = max(g.leaseUntil, at+LeaseDuration)
}
