package replica

import (
	"fmt"
	"slices"
	"time"
)

// View returns a machine of a group; nil if this node does not hold it.
func (n *Node) View(group uint32, machine byte) Machine {
	if g := n.groups[group]; g != nil && !g.halted {
		return g.mux[machine]
	}
	return nil
}

// Known returns the last known batch numbers of other stores, by member ID.
func (n *Node) Known() map[uint64]uint64 { return n.knownStores }

// Status is a group's status for operators.
type Status struct {
	Group       uint32   `json:"group"`
	Leader      string   `json:"leader"`
	Term        uint64   `json:"term"`
	Applied     uint64   `json:"applied"`
	Voters      []string `json:"voters"`
	Learners    []string `json:"learners,omitempty"`
	Released    bool     `json:"released"`
	Halted      bool     `json:"halted,omitempty"`
	Hibernating bool     `json:"calm,omitempty"`
}

// Status returns the status of all groups held here.
func (n *Node) Status() (all []Status) {
	names := func(ids []uint64) (out []string) {
		for _, id := range ids {
			out = append(out, fmt.Sprintf("%s/%08x", n.nameByHash[uint32(id>>32)], uint32(id)))
		}
		slices.Sort(out)
		return out
	}
	for _, g := range n.ordered {
		s := g.raw.BasicStatus()
		all = append(all, Status{
			Group: g.number, Leader: n.nameByHash[uint32(s.Lead>>32)], Term: s.GetTerm(), Applied: g.applied,
			Voters: names(g.conf.GetVoters()), Learners: names(g.conf.GetLearners()), Released: g.released, Halted: g.halted, Hibernating: g.hibernating,
		})
	}
	return all
}

// Counters returns the node's counters.
func (n *Node) Counters(now time.Duration) (groups, leads, halted int, written uint64) {
	for _, g := range n.ordered {
		if _, _, ok := n.Lease(now, g.number); ok {
			leads++
		}
		if g.halted {
			halted++
		}
	}
	return len(n.ordered), leads, halted, n.written
}
