package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// group is one replica.
type group struct {
	number        uint32
	raw           *raft.RawNode
	log           *groupLog
	mux           Mux
	conf          *pb.ConfState
	applied       uint64
	lastTime      time.Duration // of the commands' times
	hardState     *pb.HardState // what a write has, or will have, on the disk
	pendingWrites int           // writes not done
	logBytes      int           // bytes applied since the last snapshot
	halted        bool
	scheduled     bool

	released      bool
	leader        bool
	term          uint64
	leaseIndex    uint64 // index that must be applied before the leader acts; MaxUint64: not known yet
	leaseUntil    time.Duration
	renewedAt     time.Duration
	reads         map[uint64]time.Duration
	confChangedAt time.Duration // when its holders last changed

	hibernating      bool
	hibernatingUnder string // whose beats hold it; empty: our own
	hibernateTerm    uint64
	hibernateAcks    map[uint64]uint64 // by follower: the epoch in which it confirmed
	activeAt         time.Duration     // when anything was last new
	hibernateAskedAt time.Duration

	transferTerm   uint64 // the term in which this node acts no more, for another is to lead; 0: none
	transferee     uint64
	transferAt     time.Duration // when the lease that was told last has ended
	transferSent   bool          // the heir has been told
	transferSentAt time.Duration
}

// groupLog is the log as the library reads it; snapshots are made when one is asked for.
type groupLog struct {
	*raft.MemoryStorage
	g          *group
	n          *Node
	snapshotAt time.Duration
}

func (l *groupLog) Snapshot() (*pb.Snapshot, error) {
	if l.n.tickedAt-l.snapshotAt < snapshotInterval && l.snapshotAt > 0 {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	s, err := l.g.snapshot()
	if err != nil {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	l.snapshotAt = max(1, l.n.tickedAt)
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
	if len(text) > maxSnapshotBytes {
		return nil, fmt.Errorf("a snapshot of %d bytes, more than %d", len(text), maxSnapshotBytes)
	}
	data := append(binary.BigEndian.AppendUint64(nil, uint64(g.lastTime)), text...)
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
		g.lastTime = time.Duration(binary.BigEndian.Uint64(data))
	}
	g.applied, g.conf = s.GetMetadata().GetIndex(), pb.EnsureConfState(s.GetMetadata().GetConfState())
	return nil
}

// InitialState is what a group of a table begins with at one of its holders; false: at who is none.
func InitialState(t Table, number uint32, self Member) (Stored, bool) {
	voters, among := []uint64(nil), false
	for _, m := range Place(number, t.Members, t.Copies) {
		voters = append(voters, m.ID())
		among = among || m.ID() == self.ID()
	}
	return Stored{
		HardState: &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))},
		Snapshot:  &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: &pb.ConfState{Voters: voters}, Index: new(uint64(1)), Term: new(uint64(1))}},
	}, among
}

// add makes a replica of what is stored of it.
func (n *Node) add(number uint32, s Stored) (*group, error) {
	g := &group{number: number, mux: n.cfg.Machines(number), conf: &pb.ConfState{}, hardState: s.HardState, leaseIndex: math.MaxUint64, reads: map[uint64]time.Duration{}}
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
	if s.HardState != nil {
		g.log.SetHardState(s.HardState)
	}
	if err := g.log.Append(s.Entries); err != nil {
		return nil, err
	}
	// The heartbeats that renew leases are those of reads; the library's own are for when no read can be asked for yet.
	raw, err := raft.NewRawNode(&raft.Config{
		ID: n.id, ElectionTick: electionTicks, HeartbeatTick: 3 * int(HeartbeatInterval/Tick), Storage: g.log, Applied: g.applied,
		AsyncStorageWrites: true, MaxSizePerMsg: 256 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: maxLogBytes,
		MaxInflightMsgs: 64, MaxInflightBytes: maxLogBytes, CheckQuorum: true, PreVote: true, Logger: raftLogger{}, DisableProposalForwarding: true,
		StepDownOnRemoval: true,
	})
	if err != nil {
		return nil, err
	}
	g.raw = raw
	n.groups[number] = g
	at, _ := slices.BinarySearchFunc(n.ordered, number, func(g *group, number uint32) int { return int(g.number) - int(number) })
	n.ordered = slices.Insert(n.ordered, at, g)
	return g, nil
}

// release lets a group take part once enough others vouch for this node's store and once nobody can lean on what this
// node promised before it ended: a lease is not on the disk.
func (n *Node) release(g *group, now time.Duration) bool {
	if g.released || n.stopped || g.halted {
		return g.released && !n.stopped && !g.halted
	}
	if n.cfg.NewStore {
		g.released = true
		return true
	}
	if now-n.startedAt < ElectionTimeout {
		return false
	}
	others, need := 0, len(g.conf.GetVoters())/2
	for _, id := range g.conf.GetVoters() {
		if p := n.peers[n.nameByHash[uint32(id>>32)]]; id != n.id && p != nil && p.storeConfirmed {
			others++
		}
	}
	g.released = others >= need
	return g.released
}

// apply has the machines take committed commands.
func (n *Node) apply(g *group, entries []*pb.Entry, now time.Duration) {
	for _, e := range entries {
		if e.GetIndex() <= g.applied {
			continue
		}
		g.logBytes += len(e.GetData()) + 64
		switch e.GetType() {
		case pb.EntryType_EntryConfChangeV2:
			var cc pb.ConfChangeV2
			if err := unmarshal(e.GetData(), &cc); err != nil {
				panic(err)
			}
			g.conf, g.confChangedAt = g.raw.ApplyConfChange(&cc), now
		case pb.EntryType_EntryConfChange:
			var cc pb.ConfChange
			if err := unmarshal(e.GetData(), &cc); err != nil {
				panic(err)
			}
			g.conf, g.confChangedAt = g.raw.ApplyConfChange(&cc), now
		default:
			if ref, at, cmd, ok := unwrap(e.GetData()); ok {
				g.lastTime = max(g.lastTime, at)
				result := g.mux.Apply(e.GetIndex(), g.lastTime, cmd)
				if n.proposals[ref] == g {
					n.addResult(Result{Ref: ref, Result: result})
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
	if err != nil || g.logBytes < maxLogBytes && g.applied-first < maxLogEntries {
		return
	}
	s, err := g.snapshot()
	if err != nil {
		n.note("group %d: the log is not cut: %v", g.number, err)
		return
	}
	g.logBytes = 0
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
	n.queue(pendingWrite{group: g, groupWrite: GroupWrite{Group: g.number, Snapshot: s, KeepFrom: keep}})
}
