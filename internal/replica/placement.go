package replica

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Member is a daemon that can hold replicas, as it describes itself.
type Member struct {
	Name    string `json:"name"`
	Machine string `json:"machine"` // daemons on one machine fail together
	Zone    string `json:"zone"`
	// Incarnation is drawn at random when the store is created: a daemon that returns without its disk is a different
	// member.
	Incarnation uint32 `json:"incarnation"`
}

// ID returns the member's raft ID in every group: the hash of the name and the incarnation.
func (m Member) ID() uint64 { return uint64(nameHash(m.Name))<<32 | uint64(m.Incarnation) }

func nameHash(name string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return uint32(mix(h.Sum64()))
}

// NameCollision returns two names that must not be used in one deployment because their hashes are equal; empty: there
// are none.
func NameCollision(names []string) (a, b string) {
	seen := map[uint32]string{}
	for _, n := range names {
		if other, ok := seen[nameHash(n)]; ok {
			return other, n
		}
		seen[nameHash(n)] = n
	}
	return "", ""
}

// Place returns the members that hold a group, in the order of a rendezvous hash: first those in different zones, then
// those on different machines, then any, so that a group has all its copies even where there are fewer zones than
// copies. Two replicas share a machine only if there are fewer machines than copies. A member that leaves moves only
// the groups that it held.
func Place(group uint32, members []Member, copies int) []Member {
	order := slices.Clone(members)
	weight := func(m Member) uint64 {
		h := fnv.New64a()
		h.Write(binary.BigEndian.AppendUint32([]byte(m.Name), group))
		return mix(h.Sum64())
	}
	slices.SortFunc(order, func(a, b Member) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name)) })
	var out []Member
	chosen := map[string]bool{}
	pick := func(allowed func(Member) bool) {
		for _, m := range order {
			if len(out) < copies && !chosen[m.Name] && allowed(m) {
				chosen[m.Name] = true
				out = append(out, m)
			}
		}
	}
	distinct := func(same func(a, b Member) bool) func(Member) bool {
		return func(m Member) bool { return !slices.ContainsFunc(out, func(o Member) bool { return same(o, m) }) }
	}
	sameMachine := func(a, b Member) bool { return a.Machine == b.Machine }
	pick(distinct(func(a, b Member) bool { return a.Zone == b.Zone || sameMachine(a, b) }))
	pick(distinct(sameMachine))
	pick(func(Member) bool { return true })
	return out
}
