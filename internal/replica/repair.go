package replica

import (
	"fmt"
	"math"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// termsPerGeneration are set aside for each repair: whatever terms the old had, those after it are larger.
const termsPerGeneration = 1 << 40

// Repaired is the table of a record that goes on without those who were lost: all that the old ones say is refused.
func (t Table) Repaired(generation uint32) Table {
	t.Generation, t.Members = generation, nil // what began with it has begun
	return t
}

// Fingerprint is the name by which daemons of the same record, and of the same repair of it, know each other; never 0.
func (t Table) Fingerprint() uint64 { return max(1, t.ID^mix(uint64(t.Generation))) }

// Repair has the groups of a store go on without those daemons that are lost for good. survivors are all others, by
// name; of a group's survivors the first there keeps it alone, with all that is in its log, and the others come to it
// anew. A group whose majority survives stays as it is. It is the one repair, and must be used only once the lost ones
// are off: what they confirmed and no survivor has is gone.
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
		first, left := math.MaxInt, 0
		for _, id := range g.conf.GetVoters() {
			if at := slices.Index(survivors, n.nameByHash[uint32(id>>32)]); at >= 0 {
				first, left = min(first, at), left+1
			}
		}
		switch {
		case left > len(g.conf.GetVoters())/2 && len(g.conf.GetVotersOutgoing()) == 0:
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
