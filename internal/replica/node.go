package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
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

// Config is what a node is told.
type Config struct {
	Self     Member
	Table    Table
	Boot     uint64 // of this process, as no other
	Machines func(group uint32) Mux
	Gone     time.Duration // after which replicas are moved; 0: GoneAfter
	// Written is the number of the last batch that the store holds; Known what others' had written when last heard of.
	Written uint64
	Known   map[uint64]uint64
	// New says that the store has just been made: nobody can know more of it.
	New bool
}

// Table is what the groups began with.
type Table struct {
	ID      uint64   `json:"id"`
	Groups  uint32   `json:"groups"`
	Copies  int      `json:"copies"`
	Members []Member `json:"members,omitempty"`
	// Generation is how often a lost majority was given up.
	Generation uint32 `json:"generation,omitempty"`
}

// Stored is what a store holds of a group.
type Stored struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot // nil: none
	Entries  []*pb.Entry  // after it
}

// Write is what must last before its answers go out: all groups' in one batch.
type Write struct {
	Number uint64
	Groups []GroupWrite
	Known  map[uint64]uint64 // nil: as before
}

// GroupWrite is a group's part.
type GroupWrite struct {
	Group    uint32
	Hard     *pb.HardState // nil: as before
	Entries  []*pb.Entry   // take the place of all from the first's index on
	Snapshot *pb.Snapshot  // nil: as before
	Keep     uint64        // entries before this index go; 0: none do
	Reset    bool          // all entries go first
	Drop     bool          // the whole group goes
}

// Send is a message to another daemon.
type Send struct {
	To    string
	Group uint32
	Raft  *pb.Message
	Beat  *Beat // or this, and
	Pair  Pair
	Calm  *Calm // or this
}

// Beat is what daemons tell each other all the time.
type Beat struct {
	Member  Member `json:"member"`
	Boot    uint64 `json:"boot"`
	Written uint64 `json:"written"` // batches that its store holds
	// Known is, in Full ones, what others' stores were heard to hold, by ID.
	Known map[uint64]uint64 `json:"known,omitempty"`
	Full  bool              `json:"full,omitempty"`
	// Leads is, where Led, the groups that the sender leads, with their terms; else it is as before.
	Leads map[uint32]uint64 `json:"leads,omitempty"`
	Led   bool              `json:"led,omitempty"`
	// Number grows.
	Number uint64 `json:"number"`
}

// Result is of a proposal made here.
type Result struct {
	Ref    uint64
	Result []byte
	Err    error
}

// Work is what is to be done.
type Work struct {
	Write   *Write // nil: none, or one is under way
	Sends   []Send
	Results []Result
	Changed bool
	// Retire says that the store cannot be vouched for: this node must end and come back with a new one.
	Retire string
	Notes  []string
}

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

// group is one replica.
type group struct {
	number  uint32
	raw     *raft.RawNode
	log     *groupLog
	mux     Mux
	conf    *pb.ConfState
	applied uint64
	last    time.Duration // of the commands' times
	stored  *pb.HardState // what a write has, or will have, on the disk
	waiting int           // writes not done
	size    int           // bytes applied since the last snapshot
	halted  bool
	dirty   bool

	released bool
	leader   bool
	term     uint64
	fresh    uint64 // index that must be applied before the leader acts; MaxUint64: not known yet
	until    time.Duration
	asked    time.Duration
	asks     map[uint64]time.Duration
	changed  time.Duration // when its holders last changed

	quiet     bool
	under     string // whose beats hold it; empty: our own
	quietTerm uint64
	calm      map[uint64]uint64 // by follower: the epoch in which it confirmed
	stirred   time.Duration     // when anything was last new
	soothed   time.Duration

	passing  uint64 // the term in which this node acts no more, for another is to lead; 0: none
	heir     uint64
	passAt   time.Duration // when the lease that was told last has ended
	passed   bool          // the heir has been told
	passedAt time.Duration
}

// groupLog is the log as the library reads it; snapshots are made when one is asked for.
type groupLog struct {
	*raft.MemoryStorage
	g    *group
	n    *Node
	made time.Duration
}

func (l *groupLog) Snapshot() (*pb.Snapshot, error) {
	if l.n.ticked-l.made < snapshotEach && l.made > 0 {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	s, err := l.g.snapshot()
	if err != nil {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	l.made = max(1, l.n.ticked)
	return s, nil
}

// snapshot is of what is applied.
func (g *group) snapshot() (*pb.Snapshot, error) {
	term, err := g.log.Term(g.applied)
	if err != nil {
		return nil, err
	}
	text, err := g.mux.Snapshot()
	if err != nil {
		return nil, err
	}
	if len(text) > mostSnapshot {
		return nil, fmt.Errorf("a snapshot of %d bytes, more than %d", len(text), mostSnapshot)
	}
	data := append(binary.BigEndian.AppendUint64(nil, uint64(g.last)), text...)
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: g.conf, Index: new(g.applied), Term: new(term)}}, nil
}

// restore takes one.
func (g *group) restore(s *pb.Snapshot) error {
	data := s.GetData()
	if len(data) > 0 {
		if len(data) < 8 {
			return errors.New("a snapshot that is cut off")
		}
		if err := g.mux.Restore(data[8:]); err != nil {
			return err
		}
		g.last = time.Duration(binary.BigEndian.Uint64(data))
	}
	g.applied, g.conf = s.GetMetadata().GetIndex(), pb.EnsureConfState(s.GetMetadata().GetConfState())
	return nil
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

// Begin is what a group of a table begins with at one of its holders; false: at who is none.
func Begin(t Table, number uint32, self Member) (Stored, bool) {
	voters, among := []uint64(nil), false
	for _, m := range Place(number, t.Members, t.Copies) {
		voters = append(voters, m.ID())
		among = among || m.ID() == self.ID()
	}
	return Stored{
		Hard:     &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))},
		Snapshot: &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: &pb.ConfState{Voters: voters}, Index: new(uint64(1)), Term: new(uint64(1))}},
	}, among
}

// add makes a replica of what is stored of it.
func (n *Node) add(number uint32, s Stored) (*group, error) {
	g := &group{number: number, mux: n.c.Machines(number), conf: &pb.ConfState{}, stored: s.Hard, fresh: math.MaxUint64, asks: map[uint64]time.Duration{}}
	g.log = &groupLog{MemoryStorage: raft.NewMemoryStorage(), g: g, n: n}
	if s.Snapshot != nil {
		if err := g.restore(s.Snapshot); err != nil {
			return nil, err
		}
		light := &pb.Snapshot{Metadata: s.Snapshot.GetMetadata()}
		if err := g.log.ApplySnapshot(light); err != nil {
			return nil, err
		}
	}
	if s.Hard != nil {
		g.log.SetHardState(s.Hard)
	}
	if err := g.log.Append(s.Entries); err != nil {
		return nil, err
	}
	// The heartbeats that renew leases are those of reads; the library's own are for when no read can be asked for yet.
	raw, err := raft.NewRawNode(&raft.Config{
		ID: n.id, ElectionTick: electionTicks, HeartbeatTick: 3 * int(HeartbeatEach/Tick), Storage: g.log, Applied: g.applied,
		AsyncStorageWrites: true, MaxSizePerMsg: 256 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: mostLog,
		MaxInflightMsgs: 64, MaxInflightBytes: mostLog, CheckQuorum: true, PreVote: true, Logger: quiet{}, DisableProposalForwarding: true,
		StepDownOnRemoval: true,
	})
	if err != nil {
		return nil, err
	}
	g.raw = raw
	n.groups[number] = g
	at, _ := slices.BinarySearchFunc(n.order, number, func(g *group, number uint32) int { return int(g.number) - int(number) })
	n.order = slices.Insert(n.order, at, g)
	return g, nil
}

// release lets a group take part once enough others vouch for this node's store and once nobody can lean on what this
// node promised before it ended: a lease is not on the disk.
func (n *Node) release(g *group, now time.Duration) bool {
	if g.released || n.ended || g.halted {
		return g.released && !n.ended && !g.halted
	}
	if n.c.New {
		g.released = true
		return true
	}
	if now-n.start < ElectionAfter {
		return false
	}
	others, need := 0, len(g.conf.GetVoters())/2
	for _, id := range g.conf.GetVoters() {
		if p := n.peers[n.names[uint32(id>>32)]]; id != n.id && p != nil && p.vouched {
			others++
		}
	}
	g.released = others >= need
	return g.released
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

// renew has a leader ask whether the others still follow it: the library's reads do, by heartbeats that bear a mark.
func (n *Node) renew(g *group, now time.Duration) {
	if !g.leader || now-g.asked < HeartbeatEach {
		return
	}
	g.asked = now
	n.refs++
	g.asks[n.refs] = now
	if len(g.asks) > int(2*ElectionAfter/HeartbeatEach) {
		for ref, at := range g.asks {
			if now-at > ElectionAfter {
				delete(g.asks, ref)
			}
		}
	}
	g.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, n.refs))
}

// beat tells the other daemons that this one lives.
func (n *Node) beat(now time.Duration) {
	leads := map[uint32]uint64{}
	for _, g := range n.order {
		if g.leader && !g.gives() {
			leads[g.number] = g.term
		}
	}
	n.number++
	n.sent[n.number%sentBeats] = sentBeat{n.number, now}
	b := &Beat{Member: n.c.Self, Boot: n.c.Boot, Written: n.written, Number: n.number, Full: n.beats%fullEach == 0}
	if n.beats++; b.Full {
		b.Known = maps.Clone(n.known)
	}
	if b.Full || !maps.Equal(leads, n.told) {
		n.told, b.Leads, b.Led = leads, leads, true
	}
	for _, h := range slices.Sorted(maps.Keys(n.names)) {
		name := n.names[h]
		if name == n.c.Self.Name {
			continue
		}
		s := Send{To: name, Beat: b}
		if p := n.peers[name]; p != nil {
			s.Pair = Pair{Boot: p.boot, Number: p.number, Epoch: p.epoch}
		}
		n.out.Sends = append(n.out.Sends, s)
	}
}

// Meet says that there is another daemon, which may not have been heard yet.
func (n *Node) Meet(name string) { n.names[nameHash(name)] = name }

// Beaten takes another daemon's beat.
func (n *Node) Beaten(now time.Duration, b *Beat) {
	name := b.Member.Name
	if name == n.c.Self.Name || n.ended {
		return
	}
	n.Meet(name)
	p := n.peers[name]
	if p == nil {
		p = &peer{epoch: n.c.Boot << 16}
		n.peers[name] = p
	}
	switch {
	case p.boot == b.Boot && b.Number <= p.number:
		return // by a line that was lost meanwhile
	case p.boot != 0 && p.member.Incarnation != b.Member.Incarnation && now-p.heard < ElectionAfter:
		return // who had the name before may still act; with the same store there is no before
	case p.boot != b.Boot: // it waits to be told what is known of its store
		n.beats = 0
		n.rouse(p, now)
	}
	p.boot, p.number, p.member, p.heard, p.silent = b.Boot, b.Number, b.Member, now, false
	if b.Led {
		p.leads = b.Leads
		for _, g := range n.order {
			if g.quiet && g.under == name && p.leads[g.number] != g.quietTerm {
				n.wake(g, now, 0)
			}
		}
	}
	n.knows(b.Member.ID(), b.Written)
	for id, w := range b.Known {
		if id == n.id {
			if w > n.written {
				n.retire(fmt.Sprintf("%s has heard of %d batches in the store, which holds %d: it is an old copy", name, w, n.written))
				return
			}
			continue
		}
		n.knows(id, w)
	}
	p.vouched = p.vouched || b.Full
}

func (n *Node) knows(id, written uint64) {
	if _, there := n.known[id]; there || len(n.known) < mostKnown {
		n.known[id] = max(n.known[id], written)
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

// View is a group's machine; nil: there is none here.
func (n *Node) View(group uint32, machine byte) Machine {
	if g := n.groups[group]; g != nil && !g.halted {
		return g.mux[machine]
	}
	return nil
}

// Known is whose stores are known to hold how many batches.
func (n *Node) Known() map[uint64]uint64 { return n.known }

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

// apply has the machines take committed commands.
func (n *Node) apply(g *group, entries []*pb.Entry, now time.Duration) {
	for _, e := range entries {
		if e.GetIndex() <= g.applied {
			continue
		}
		g.size += len(e.GetData()) + 64
		switch e.GetType() {
		case pb.EntryType_EntryConfChangeV2:
			var cc pb.ConfChangeV2
			if err := unmarshal(e.GetData(), &cc); err != nil {
				panic(err)
			}
			g.conf, g.changed = g.raw.ApplyConfChange(&cc), now
		case pb.EntryType_EntryConfChange:
			var cc pb.ConfChange
			if err := unmarshal(e.GetData(), &cc); err != nil {
				panic(err)
			}
			g.conf, g.changed = g.raw.ApplyConfChange(&cc), now
		default:
			if ref, at, cmd, ok := unwrap(e.GetData()); ok {
				g.last = max(g.last, at)
				result := g.mux.Apply(e.GetIndex(), g.last, cmd)
				if n.waits[ref] == g {
					n.result(Result{Ref: ref, Result: result})
				}
			}
		}
		g.applied = e.GetIndex()
	}
	n.out.Changed = n.out.Changed || len(entries) > 0
	n.compact(g)
}

// compact cuts a long log.
func (n *Node) compact(g *group) {
	first, err := g.log.FirstIndex()
	if err != nil || g.size < mostLog && g.applied-first < mostEntries {
		return
	}
	s, err := g.snapshot()
	if err != nil {
		n.note("group %d: the log is not cut: %v", g.number, err)
		return
	}
	g.size = 0
	if _, err := g.log.CreateSnapshot(g.applied, g.conf, nil); err != nil {
		return
	}
	keep := g.applied
	if keep > keepEntries {
		keep -= keepEntries
	}
	if keep > first {
		if err := g.log.Compact(keep - 1); err != nil {
			return
		}
	}
	n.queue(pending{g: g, own: GroupWrite{Group: g.number, Snapshot: s, Keep: keep}})
}

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

// Status is a group as operators see it.
type Status struct {
	Group    uint32   `json:"group"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Applied  uint64   `json:"applied"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners,omitempty"`
	Released bool     `json:"released"`
	Halted   bool     `json:"halted,omitempty"`
	Calm     bool     `json:"calm,omitempty"`
}

// Status is of all groups that are held here.
func (n *Node) Status() (all []Status) {
	names := func(ids []uint64) (out []string) {
		for _, id := range ids {
			out = append(out, fmt.Sprintf("%s/%08x", n.names[uint32(id>>32)], uint32(id)))
		}
		slices.Sort(out)
		return out
	}
	for _, g := range n.order {
		s := g.raw.BasicStatus()
		all = append(all, Status{
			Group: g.number, Leader: n.names[uint32(s.Lead>>32)], Term: s.GetTerm(), Applied: g.applied,
			Voters: names(g.conf.GetVoters()), Learners: names(g.conf.GetLearners()), Released: g.released, Halted: g.halted, Calm: g.quiet,
		})
	}
	return all
}

// Counts are figures of a node.
func (n *Node) Counts(now time.Duration) (groups, leads, halted int, written uint64) {
	for _, g := range n.order {
		if _, _, ok := n.Lead(now, g.number); ok {
			leads++
		}
		if g.halted {
			halted++
		}
	}
	return len(n.order), leads, halted, n.written
}
