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

// group is this node's replica of one group.
type group struct {
	number        uint32
	raw           *raft.RawNode
	log           *groupLog
	mux           Mux
	conf          *pb.ConfState
	applied       uint64
	lastTime      time.Duration // latest time of an applied command
	hardState     *pb.HardState // on disk, or in a queued write
	pendingWrites int           // queued or in-flight writes of this group
	logBytes      int           // bytes applied since the last snapshot
	halted        bool
	scheduled     bool

	released      bool
	leader        bool
	term          uint64
	leaseIndex    uint64 // log index that must be applied before the leader acts; MaxUint64: not known yet
	leaseUntil    time.Duration
	renewedAt     time.Duration
	reads         map[uint64]time.Duration // when each pending read index was requested, by request number
	confChangedAt time.Duration            // last membership change

	hibernating      bool
	hibernatingUnder string // the leader's daemon, whose heartbeats keep the group hibernating; empty: this node leads
	hibernateTerm    uint64
	hibernateAcks    map[uint64]uint64 // by follower: its epoch when it agreed to hibernate
	activeAt         time.Duration     // last activity of the group
	hibernateAskedAt time.Duration

	transferTerm   uint64 // the term in which this node has stopped acting in order to transfer leadership; 0: none
	transferee     uint64
	transferAt     time.Duration // when the last reported lease expires
	transferSent   bool          // MsgTimeoutNow may have been sent to the transferee
	transferSentAt time.Duration
}

// groupLog is the storage that raft reads; it makes snapshots on demand, at most one per snapshotInterval.
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

// snapshot returns a snapshot of the applied state.
func (g *group) snapshot() (*pb.Snapshot, error) {
	term, err := g.log.Term(g.applied)
	if err != nil {
		return nil, err
	}
	state, err := g.mux.Snapshot()
	if err != nil {
		return nil, err
	}
	if len(state) > maxSnapshotBytes {
		return nil, fmt.Errorf("snapshot of %d bytes exceeds the limit of %d", len(state), maxSnapshotBytes)
	}
	data := append(binary.BigEndian.AppendUint64(nil, uint64(g.lastTime)), state...)
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: g.conf, Index: new(g.applied), Term: new(term)}}, nil
}

// restore replaces the state by a snapshot's.
func (g *group) restore(s *pb.Snapshot) error {
	data := s.GetData()
	if len(data) > 0 {
		if len(data) < 8 {
			return errors.New("snapshot is truncated")
		}
		if err := g.mux.Restore(data[8:]); err != nil {
			return err
		}
		g.lastTime = time.Duration(binary.BigEndian.Uint64(data))
	}
	g.applied, g.conf = s.GetMetadata().GetIndex(), pb.EnsureConfState(s.GetMetadata().GetConfState())
	return nil
}

// InitialState returns the state that a group of the table starts with at each of its voters. It returns false if self
// is not one of them.
func InitialState(t Table, number uint32, self Member) (Stored, bool) {
	voters, isVoter := []uint64(nil), false
	for _, m := range Place(number, t.Members, t.Copies) {
		voters = append(voters, m.ID())
		isVoter = isVoter || m.ID() == self.ID()
	}
	return Stored{
		HardState: &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))},
		Snapshot:  &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: &pb.ConfState{Voters: voters}, Index: new(uint64(1)), Term: new(uint64(1))}},
	}, isVoter
}

// add creates this node's replica of a group from its stored state.
func (n *Node) add(number uint32, s Stored) (*group, error) {
	g := &group{number: number, mux: n.cfg.Machines(number), conf: &pb.ConfState{}, hardState: s.HardState, leaseIndex: math.MaxUint64, reads: map[uint64]time.Duration{}}
	g.log = &groupLog{MemoryStorage: raft.NewMemoryStorage(), g: g, n: n}
	if s.Snapshot != nil {
		if err := g.restore(s.Snapshot); err != nil {
			return nil, err
		}
		metadataOnly := &pb.Snapshot{Metadata: s.Snapshot.GetMetadata()}
		if err := g.log.ApplySnapshot(metadataOnly); err != nil {
			return nil, err
		}
	}
	if s.HardState != nil {
		g.log.SetHardState(s.HardState)
	}
	if err := g.log.Append(s.Entries); err != nil {
		return nil, err
	}
	// Leases are renewed by the heartbeats of read-index requests. Raft's own heartbeats only serve while no read can
	// be requested yet.
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

// release lets a group take part in raft once enough peers have confirmed that this node's store is current, and once
// no lease can depend any more on a heartbeat that this node confirmed before it restarted: leases are not stored on
// disk.
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
	confirmed, needed := 0, len(g.conf.GetVoters())/2
	for _, id := range g.conf.GetVoters() {
		if p := n.peers[n.nameByHash[uint32(id>>32)]]; id != n.id && p != nil && p.storeConfirmed {
			confirmed++
		}
	}
	g.released = confirmed >= needed
	return g.released
}

// apply applies committed entries.
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
			if ref, proposedAt, cmd, ok := unwrap(e.GetData()); ok {
				g.lastTime = max(g.lastTime, proposedAt)
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

// compact takes a snapshot and truncates the log once the log is long.
func (n *Node) compact(g *group) {
	first, err := g.log.FirstIndex()
	if err != nil || g.logBytes < maxLogBytes && g.applied-first < maxLogEntries {
		return
	}
	s, err := g.snapshot()
	if err != nil {
		n.note("group %d: log not compacted: %v", g.number, err)
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
