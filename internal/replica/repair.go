package replica

import (
	"fmt"
	"math"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// termsPerGeneration is the range of terms reserved for each repair, so that all terms after a repair are larger than
// any before it.
const termsPerGeneration = 1 << 40

// Repaired returns the table after a repair. Its fingerprint differs, so messages of daemons that still have the old
// table are refused.
func (t Table) Repaired(generation uint32) Table {
	t.Generation, t.Members = generation, nil // its groups have been created already
	return t
}

// Fingerprint identifies the table and its generation; daemons with different fingerprints ignore each other's raft
// messages. It is never 0.
func (t Table) Fingerprint() uint64 { return max(1, t.ID^mix(uint64(t.Generation))) }

// Repair returns the write after which the groups of a store continue without daemons that are lost for good. survivors
// are the names of all remaining daemons. In each group that has lost its majority, the first survivor that holds it
// becomes the only voter, with all entries of its log, and the other survivors drop their replicas and join it again. A
// group whose majority survives is unchanged. It is the only repair there is and must be used only once the lost
// daemons are off: whatever they confirmed and no survivor has is lost.
func Repair(c Config, stored map[uint32]Stored, survivors []string, number uint64) (*Write, error) {
	n, err := New(c, 0, nil)
	if err != nil {
		return nil, err
	}
	for _, name := range survivors {
		n.AddPeer(name)
	}
	w := &Write{Number: number}
	for number, s := range stored {
		g, err := n.add(number, s)
		if err != nil {
			return nil, fmt.Errorf("group %d: %w", number, err)
		}
		n.guard(g, func() { n.apply(g, s.Entries, 0) })
		if g.halted {
			return nil, fmt.Errorf("group %d: its log cannot be applied", number)
		}
		first, remaining := math.MaxInt, 0
		for _, id := range g.conf.GetVoters() {
			if i := slices.Index(survivors, n.nameByHash[uint32(id>>32)]); i >= 0 {
				first, remaining = min(first, i), remaining+1
			}
		}
		switch {
		case remaining > len(g.conf.GetVoters())/2 && len(g.conf.GetVotersOutgoing()) == 0:
			continue
		case first == math.MaxInt || survivors[first] != c.Self.Name:
			w.Groups = append(w.Groups, GroupWrite{Group: number, Drop: true})
			continue
		}
		g.conf = &pb.ConfState{Voters: []uint64{n.id}}
		snapshot, err := g.snapshot()
		if err != nil {
			return nil, fmt.Errorf("group %d: %w", number, err)
		}
		term := uint64(c.Table.Generation)*termsPerGeneration + s.HardState.GetTerm()%termsPerGeneration
		w.Groups = append(w.Groups, GroupWrite{
			Group: number, Reset: true, Snapshot: snapshot,
			HardState: &pb.HardState{Term: new(term), Vote: new(uint64(0)), Commit: new(g.applied)},
		})
	}
	return w, nil
}
