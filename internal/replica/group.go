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
