// Package replica decides what the replicas of a small consensus group do: which daemons hold it, what goes to whom and
// to the disk, what is applied, and who may act for it. The consensus itself is go.etcd.io/raft. It has no I/O and no
// clock: it is driven by events, each with its time, and returns what is to be done. docs/promises-design.md weighs
// the choices.
package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Root is the group that holds placement, versions of settings and cordons. Keys never fall to it.
const Root uint32 = 0

// The machines of a group, by the first byte of a command.
const (
	Promises byte = 0
	Gangs    byte = 1
	Reruns   byte = 2
	Roots    byte = 3
)

const (
	maxCommandBytes = 256 << 10 // bytes of one
	maxResultBytes  = 256 << 10
)

// Errors of proposals. Only ErrUnknown leaves open whether the command counts.
var (
	ErrNoLeader = errors.New("replica: the group has no leader")
	ErrDropped  = errors.New("replica: not taken in: too much is under way")
	ErrUnknown  = errors.New("replica: it is not known whether the command was taken in")
	ErrTooLarge = errors.New("replica: the command is too large")
	ErrNoGroup  = errors.New("replica: no such group")
)

// Machine is the replicated state of one group. It must be deterministic: committed commands alone change it. Apply's
// at is Unix time as its proposer read it, made monotone within the group, and the same at each replica; a result is
// at most 256 KiB. It need not be safe for more than one goroutine.
type Machine interface {
	Apply(index uint64, at time.Duration, cmd []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Reader is a machine that tells some things without the log. Read's ok false: the command is none that only reads. It
// must not change the machine, and must tell from a command's first bytes what it is: it is asked of each.
type Reader interface {
	Read(cmd []byte) (result []byte, ok bool)
}

// Mux is several machines side by side; the first byte of a command says whose it is.
type Mux map[byte]Machine

// Apply has the machine of a command take it. One without a machine changes nothing and has a result that says so.
func (m Mux) Apply(index uint64, at time.Duration, cmd []byte) []byte {
	if len(cmd) == 0 || m[cmd[0]] == nil {
		return []byte("no such machine")
	}
	return m[cmd[0]].Apply(index, at, cmd[1:])
}

// Read has the machine of a command that only reads answer it.
func (m Mux) Read(cmd []byte) ([]byte, bool) {
	if len(cmd) == 0 {
		return nil, false
	}
	if r, ok := m[cmd[0]].(Reader); ok {
		return r.Read(cmd[1:])
	}
	return nil, false
}

// Snapshot is all machines' own, by their numbers.
func (m Mux) Snapshot() ([]byte, error) {
	var out []byte
	for _, k := range slices.Sorted(maps.Keys(m)) {
		one, err := m[k].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("machine %d: %w", k, err)
		}
		out = protowire.AppendTag(out, protowire.Number(k)+1, protowire.BytesType)
		out = protowire.AppendBytes(out, one)
	}
	return out, nil
}

// Restore has each machine take its own. One that this program lacks is an error: its state would be lost unseen.
func (m Mux) Restore(text []byte) error {
	for len(text) > 0 {
		k, kind, n := protowire.ConsumeTag(text)
		if n < 0 || kind != protowire.BytesType || k > 256 {
			return fmt.Errorf("snapshot: it cannot be read")
		}
		one, size := protowire.ConsumeBytes(text[n:])
		if size < 0 {
			return fmt.Errorf("snapshot: it is cut off")
		}
		to := m[byte(k-1)]
		if to == nil {
			return fmt.Errorf("snapshot: there is no machine %d here", k-1)
		}
		if err := to.Restore(one); err != nil {
			return fmt.Errorf("machine %d: %w", k-1, err)
		}
		text = text[n+size:]
	}
	return nil
}

// GroupOf is the group of a key, from 1 to groups-1; the root group is none's. With one group all is the root's. It
// is a jump consistent hash, so that a deployment with more groups moves few keys.
func GroupOf(key string, groups uint32) uint32 {
	if groups <= 1 {
		return Root
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return 1 + jump(mix(h.Sum64()), groups-1)
}

// jump is Lamping and Veach's.
func jump(key uint64, buckets uint32) uint32 {
	b, j := int64(-1), int64(0)
	for j < int64(buckets) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(1<<31) / float64((key>>33)+1)))
	}
	return uint32(b)
}

// mix spreads a weak hash's bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// wrap puts a proposal's number and time before its command.
func wrap(ref uint64, at time.Duration, cmd []byte) []byte {
	out := make([]byte, 0, 17+len(cmd))
	out = binary.BigEndian.AppendUint64(out, ref)
	out = binary.BigEndian.AppendUint64(out, uint64(at))
	return append(out, cmd...)
}

// unwrap undoes wrap.
func unwrap(text []byte) (ref uint64, at time.Duration, cmd []byte, ok bool) {
	if len(text) < 16 {
		return 0, 0, nil, false
	}
	return binary.BigEndian.Uint64(text), time.Duration(binary.BigEndian.Uint64(text[8:])), text[16:], true
}
