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

// The clock of groups. A follower that has confirmed a heartbeat gives nobody else its vote for ElectionAfter less a
// tick, by its own clock; the leader acts for LeaseFor after it sent that heartbeat, by its own. With clocks whose rates
// differ by less than one part in MostDrift no two act at once.
const (
	Tick          = 50 * time.Millisecond
	HeartbeatEach = 100 * time.Millisecond
	ElectionAfter = 600 * time.Millisecond // and up to twice that, by chance
	LeaseFor      = 500 * time.Millisecond
	MostDrift     = 20
	BeatEach      = 100 * time.Millisecond // between daemons
	SilentAfter   = 2 * time.Second        // without a beat, a daemon counts as away
	GoneAfter     = 30 * time.Second       // and its replicas are moved
)

const (
	moveEach      = time.Second // in a group, between changes of who holds it
	electionTicks = int(ElectionAfter / Tick)
	mostTicks     = 2 * electionTicks // made up for at once
	mostWaits     = 4096              // proposals under way here
	mostLog       = 4 << 20           // bytes of a log before it is cut
	mostEntries   = 4096
	keepEntries   = 512      // behind a snapshot, for followers that are a little late
	mostSnapshot  = 64 << 20 // bytes
	snapshotEach  = time.Second
	mostMoves     = 4 // groups led here that take in a new holder at once
	mostKnown     = 4096
	fullEach      = 10 // beats
	nearlyThere   = 64 // entries that a learner may lack when it becomes a voter
)

// It does not compile with a lease that would outlast a vote withheld.
const _ = uint64((ElectionAfter-Tick)-(ElectionAfter-Tick)/MostDrift) - uint64(LeaseFor)

// Node is one daemon's replicas. It is not safe for more than one goroutine.
type Node struct {
	c       Config
	id      uint64
	start   time.Duration
	ticked  time.Duration
	beaten  time.Duration
	moved   time.Duration
	groups  map[uint32]*group
	order   []*group
	names   map[uint32]string // by hash
	peers   map[string]*peer
	known   map[uint64]uint64
	refs    uint64
	waits   map[uint64]*group
	pending []pending
	flight  *flight
	written uint64
	knownAt time.Duration
	dirty   []*group
	beats   uint64
	number  uint64 // of beats
	sent    [sentBeats]sentBeat
	told    map[uint32]uint64 // as last told
	out     Work
	ended   bool
	yields  bool // it is to lead nothing
}

// peer is another daemon.
type peer struct {
	member  Member
	boot    uint64
	heard   time.Duration
	vouched bool // it knows of no later state of our store
	leads   map[uint32]uint64

	number    uint64 // of its last beat
	silent    bool
	epoch     uint64        // another each time that it was silent, or another process
	theirs    uint64        // its own of us
	confirmed time.Duration // when the last of our beats went out that it has confirmed
}

// New returns a node with what its store holds. Groups that the table gives it and that the store lacks begin as the
// table says: nothing was ever promised there.
func New(c Config, now time.Duration, stored map[uint32]Stored) (*Node, error) {
	if c.Gone == 0 {
		c.Gone = GoneAfter
	}
	n := &Node{
		c: c, id: c.Self.ID(), start: now, ticked: now, beaten: now - BeatEach, groups: map[uint32]*group{}, names: map[uint32]string{nameHash(c.Self.Name): c.Self.Name},
		peers: map[string]*peer{}, known: map[uint64]uint64{}, refs: c.Boot << 32, waits: map[uint64]*group{},
		written: c.Written,
	}
	for id, w := range c.Known {
		n.known[id] = w
	}
	for _, m := range c.Table.Members {
		n.names[nameHash(m.Name)] = m.Name
	}
	for number, s := range stored {
		if _, err := n.add(number, s); err != nil {
			return nil, fmt.Errorf("group %d: %w", number, err)
		}
	}
	if slices.ContainsFunc(c.Table.Members, func(m Member) bool { return m.ID() == n.id }) {
		for number := range c.Table.Groups {
			if s, ok := Begin(c.Table, number, c.Self); ok && n.groups[number] == nil {
				g, err := n.add(number, s)
				if err != nil {
					return nil, err
				}
				n.queue(pending{g: g, own: GroupWrite{Group: number, Hard: s.Hard, Snapshot: s.Snapshot}})
			}
		}
	}
	return n, nil
}

// Tick takes the time. It is to be called at least once in Tick.
func (n *Node) Tick(now time.Duration) {
	if n.ended {
		return
	}
	ticks := int((now - n.ticked) / Tick)
	n.ticked += time.Duration(ticks) * Tick
	n.listen(now)
	for _, g := range n.order {
		if ticks > 0 && !g.quiet && n.release(g, now) {
			n.guard(g, func() {
				for range min(ticks, mostTicks) {
					g.raw.Tick()
				}
				n.renew(g, now)
				n.soothe(g, now)
				n.hand(g, now)
			})
			n.touch(g)
		}
	}
	if now-n.beaten >= BeatEach {
		n.beaten = now
		n.beat(now)
	}
	if now-n.moved >= moveEach {
		n.moved = now
		for _, g := range n.order {
			n.guard(g, func() { n.move(g, now) })
		}
	}
}

// retire ends this node.
func (n *Node) retire(why string) {
	n.ended = true
	n.out.Retire = why
	for ref := range n.waits {
		n.result(Result{Ref: ref, Err: ErrUnknown})
	}
	for _, g := range n.order {
		g.leader, g.until = false, 0
	}
	n.out.Changed = true
}

// Step takes another daemon's message.
func (n *Node) Step(now time.Duration, group uint32, m *pb.Message) {
	if n.ended || m == nil || m.GetTo() != n.id || raft.IsLocalMsg(m.GetType()) {
		return
	}
	switch m.GetType() {
	case pb.MessageType_MsgProp, pb.MessageType_MsgTransferLeader, pb.MessageType_MsgForgetLeader, pb.MessageType_MsgReadIndex:
		return // not between daemons: a proposal that nobody waits for
	}
	g := n.groups[group]
	if g == nil {
		if group >= n.c.Table.Groups || m.GetType() != pb.MessageType_MsgApp && m.GetType() != pb.MessageType_MsgHeartbeat && m.GetType() != pb.MessageType_MsgSnap {
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
	if p := n.peers[n.names[uint32(m.GetFrom()>>32)]]; p != nil && p.member.ID() == m.GetFrom() && !p.silent && now-p.heard < ElectionAfter {
		p.heard = now
	}
	if last, err := g.log.LastIndex(); m.GetType() == pb.MessageType_MsgHeartbeat && err == nil && m.GetCommit() > last && g.waiting == 0 && m.GetTerm() >= g.stored.GetTerm() {
		n.retire(fmt.Sprintf("group %d: entries up to %d were confirmed from here, and the store holds %d", group, m.GetCommit(), last))
		return
	}
	n.guard(g, func() { g.raw.Step(m) })
	n.touch(g)
	if g.quiet && g.under != "" {
		entries := m.GetEntries()
		if g.raw.BasicStatus().GetTerm() != g.quietTerm || m.GetType() == pb.MessageType_MsgSnap || len(entries) > 0 && entries[len(entries)-1].GetIndex() > g.applied {
			n.wake(g, now, 0)
		}
	}
}

// Propose has the leader take a command. The result comes under the ref that it returns.
func (n *Node) Propose(now time.Duration, group uint32, unix time.Duration, cmd []byte) (ref uint64, err error) {
	g := n.groups[group]
	switch {
	case group >= n.c.Table.Groups:
		return 0, ErrNoGroup
	case len(cmd) > mostCommand:
		return 0, ErrTooLarge
	case g == nil || !g.leader || n.ended || g.halted || g.gives():
		return 0, ErrNoLeader
	case len(n.waits) >= mostWaits:
		return 0, ErrDropped
	}
	n.refs++
	err = ErrNoLeader
	n.wake(g, now, 0)
	g.stirred = now
	n.guard(g, func() { err = g.raw.Propose(wrap(n.refs, unix, cmd)) })
	n.touch(g)
	if err != nil {
		return 0, ErrDropped
	}
	n.waits[n.refs] = g
	return n.refs, nil
}

// Leader is who acts for a group as far as known here; empty: nobody.
func (n *Node) Leader(group uint32) (name string) {
	if g := n.groups[group]; g != nil && g.leader && !g.gives() {
		return n.c.Self.Name
	}
	best := uint64(0)
	for _, p := range n.peers {
		if term, leads := p.leads[group]; leads && term > best && n.ticked-p.heard < SilentAfter {
			best, name = term, p.member.Name
		}
	}
	return name
}

// Lead tells whether this node acts for a group, and until when.
func (n *Node) Lead(now time.Duration, group uint32) (term uint64, until time.Duration, ok bool) {
	g := n.groups[group]
	if g == nil || !g.leader || n.ended || g.halted || g.until <= now || g.applied < g.fresh || g.passing == g.term {
		return 0, 0, false
	}
	return g.term, g.until, true
}

// Read answers a command that only reads where this node acts for the group: nobody else can have agreed on anything
// that is not applied here. The answer counts while the clock, read after this, is before until.
func (n *Node) Read(now time.Duration, group uint32, cmd []byte) (result []byte, until time.Duration, ok bool) {
	_, until, ok = n.Lead(now, group)
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
			n.drop(g)
		}
	}()
	f()
}

func (n *Node) note(format string, args ...any) {
	if len(n.out.Notes) < 256 {
		n.out.Notes = append(n.out.Notes, fmt.Sprintf(format, args...))
	}
}

func (n *Node) result(r Result) {
	delete(n.waits, r.Ref)
	n.out.Results = append(n.out.Results, r)
}

// drop gives up what was proposed by a leader that is none any more: its successor may take it in.
func (n *Node) drop(g *group) {
	for ref, of := range n.waits {
		if of == g {
			n.result(Result{Ref: ref, Err: ErrUnknown})
		}
	}
}

// Did takes the work that has come up.
func (n *Node) Did(now time.Duration) Work {
	for len(n.dirty) > 0 {
		g := n.dirty[0]
		n.dirty = n.dirty[1:]
		g.dirty = false
		n.guard(g, func() { n.ready(g, now) })
	}
	n.batch(now)
	out := n.out
	n.out = Work{}
	return out
}

// ready does what the library has for a group.
func (n *Node) ready(g *group, now time.Duration) {
	for g.raw.HasReady() && !n.ended {
		rd := g.raw.Ready()
		if rd.SoftState != nil || rd.HardState != nil {
			n.led(g)
		}
		for _, s := range rd.ReadStates {
			n.confirmed(g, s)
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

func (n *Node) touch(g *group) {
	if !g.dirty {
		g.dirty = true
		n.dirty = append(n.dirty, g)
	}
}

func (n *Node) send(g *group, m *pb.Message) {
	if m.GetTo() == n.id {
		g.raw.Step(m)
		n.touch(g)
		return
	}
	name := n.names[uint32(m.GetTo()>>32)]
	if name == "" || len(n.out.Sends) > 1<<16 {
		return
	}
	n.out.Sends = append(n.out.Sends, Send{To: name, Group: g.number, Raft: m})
	if m.GetType() == pb.MessageType_MsgSnap { // what follows it is refused if it was lost, and another is sent
		g.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		n.touch(g)
	}
}

// led takes a change of who leads.
func (n *Node) led(g *group) {
	s := g.raw.BasicStatus()
	leader := s.RaftState == raft.StateLeader
	if leader == g.leader && (!leader || s.GetTerm() == g.term) {
		return
	}
	if g.leader {
		n.drop(g)
	}
	g.leader, g.term, g.until, g.fresh, g.asked, g.quiet, g.stirred = leader, s.GetTerm(), 0, math.MaxUint64, 0, false, n.ticked
	g.passing, g.passed = 0, false
	clear(g.calm)
	clear(g.asks)
	n.out.Changed = true
}

// confirmed takes that a majority has confirmed heartbeats that were sent when the read was asked for, or later.
func (n *Node) confirmed(g *group, s raft.ReadState) {
	if len(s.RequestCtx) != 8 {
		return
	}
	ref := binary.BigEndian.Uint64(s.RequestCtx)
	at, ok := g.asks[ref]
	if !ok || !g.leader {
		return
	}
	for other, when := range g.asks {
		if when <= at {
			delete(g.asks, other)
		}
	}
	if g.fresh == math.MaxUint64 {
		g.fresh = s.Index
	}
	if g.until == 0 {
		n.out.Changed = true
	}
	g.until = max(g.until, at+LeaseFor)
}
