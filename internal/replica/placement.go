package replica

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Member is a daemon that can hold replicas, as it tells of itself.
type Member struct {
	Name    string `json:"name"`
	Machine string `json:"machine"` // what fails together
	Zone    string `json:"zone"`
	// Incarnation is drawn when its store is made, and is another when that is lost: who comes back without its disk
	// is somebody else.
	Incarnation uint32 `json:"incarnation"`
}

// ID is its replicas' number in every group: the name's hash and the incarnation.
func (m Member) ID() uint64 { return uint64(nameHash(m.Name))<<32 | uint64(m.Incarnation) }

func nameHash(name string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return uint32(mix(h.Sum64()))
}

// NameCollision tells of two names that must not be among the same daemons; empty: there are none.
func NameCollision(names []string) (a, b string) {
	seen := map[uint32]string{}
	for _, n := range names {
		if other, there := seen[nameHash(n)]; there {
			return other, n
		}
		seen[nameHash(n)] = n
	}
	return "", ""
}

// Place is who holds a group: the first by rendezvous hash whose zones differ, then whose machines do, then any, so
// that a group has its copies even where there are fewer zones than copies. Two replicas share a machine only when
// there are fewer machines than copies. One that leaves moves only the groups that it held.
func Place(group uint32, members []Member, copies int) []Member {
	order := slices.Clone(members)
	weight := func(m Member) uint64 {
		h := fnv.New64a()
		h.Write(binary.BigEndian.AppendUint32([]byte(m.Name), group))
		return mix(h.Sum64())
	}
	slices.SortFunc(order, func(a, b Member) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name)) })
	var out []Member
	taken := map[string]bool{}
	pick := func(may func(Member) bool) {
		for _, m := range order {
			if len(out) < copies && !taken[m.Name] && may(m) {
				taken[m.Name] = true
				out = append(out, m)
			}
		}
	}
	shares := func(same func(a, b Member) bool) func(Member) bool {
		return func(m Member) bool { return !slices.ContainsFunc(out, func(o Member) bool { return same(o, m) }) }
	}
	machine := func(a, b Member) bool { return a.Machine == b.Machine }
	pick(shares(func(a, b Member) bool { return a.Zone == b.Zone || machine(a, b) }))
	pick(shares(machine))
	pick(func(Member) bool { return true })
	return out
}
