// Package replica runs the replicas of many small raft groups: it places them on daemons, decides which messages to
// send and what to write to disk, applies committed commands, and grants the leader's lease. Consensus itself is
// go.etcd.io/raft. The package does no I/O and reads no clock: it is driven by events, each with its time, and returns
// the work to be done. docs/promises-design.md discusses the design.
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

// RootGroup is the group that holds placement, versions of settings and cordons. No key maps to it.
const RootGroup uint32 = 0

// IDs of a group's machines: the first byte of a command.
const (
	PromisesMachine byte = 0
	GangsMachine    byte = 1
	RerunsMachine   byte = 2
	RootMachine     byte = 3
)

const (
	maxCommandBytes = 256 << 10 // per command
	maxResultBytes  = 256 << 10
)

// Errors of proposals. Only ErrUnknown leaves open whether the command was or will be applied.
var (
	ErrNoLeader = errors.New("replica: the group has no leader")
	ErrDropped  = errors.New("replica: not taken in: too much is under way")
	ErrUnknown  = errors.New("replica: it is not known whether the command was taken in")
	ErrTooLarge = errors.New("replica: the command is too large")
	ErrNoGroup  = errors.New("replica: no such group")
)

// Machine is the replicated state of one group. It must be deterministic: only committed commands change it. Apply's at
// is the proposer's Unix time, made monotonic within the group and the same at each replica; a result is at most 256
// KiB. It need not be safe for concurrent use.
type Machine interface {
	Apply(index uint64, at time.Duration, cmd []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Reader is a machine that answers read-only commands without a log entry. Read returns ok false for any other command.
// It must not change the machine, and must recognize a read by the command's first bytes, because it is called for
// every command.
type Reader interface {
	Read(cmd []byte) (result []byte, ok bool)
}

// Mux combines several machines; the first byte of a command selects one.
type Mux map[byte]Machine

// Apply applies a command to its machine. A command for an unknown machine changes nothing and returns a result that says
// so.
func (m Mux) Apply(index uint64, at time.Duration, cmd []byte) []byte {
	if len(cmd) == 0 || m[cmd[0]] == nil {
		return []byte("no such machine")
	}
	return m[cmd[0]].Apply(index, at, cmd[1:])
}

// Read answers a read-only command by its machine.
func (m Mux) Read(cmd []byte) ([]byte, bool) {
	if len(cmd) == 0 {
		return nil, false
	}
	if r, ok := m[cmd[0]].(Reader); ok {
		return r.Read(cmd[1:])
	}
	return nil, false
}

// Snapshot returns the snapshots of all machines, by their IDs.
func (m Mux) Snapshot() ([]byte, error) {
	var out []byte
	for _, k := range slices.Sorted(maps.Keys(m)) {
		data, err := m[k].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("machine %d: %w", k, err)
		}
		out = protowire.AppendTag(out, protowire.Number(k)+1, protowire.BytesType)
		out = protowire.AppendBytes(out, data)
	}
	return out, nil
}

// Restore restores each machine from its part. A part for a machine that this program lacks is an error, since its
// state would be lost silently.
func (m Mux) Restore(snapshot []byte) error {
	for len(snapshot) > 0 {
		k, kind, n := protowire.ConsumeTag(snapshot)
		if n < 0 || kind != protowire.BytesType || k > 256 {
			return fmt.Errorf("snapshot: malformed")
		}
		data, size := protowire.ConsumeBytes(snapshot[n:])
		if size < 0 {
			return fmt.Errorf("snapshot: truncated")
		}
		machine := m[byte(k-1)]
		if machine == nil {
			return fmt.Errorf("snapshot: unknown machine %d", k-1)
		}
		if err := machine.Restore(data); err != nil {
			return fmt.Errorf("machine %d: %w", k-1, err)
		}
		snapshot = snapshot[n+size:]
	}
	return nil
}

// GroupOf returns the group of a key, from 1 to groups-1; no key maps to the root group unless it is the only one. It
// is a jump consistent hash, so that a deployment with more groups moves few keys.
func GroupOf(key string, groups uint32) uint32 {
	if groups <= 1 {
		return RootGroup
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return 1 + jump(mix(h.Sum64()), groups-1)
}

// jump is the jump consistent hash of Lamping and Veach.
func jump(key uint64, buckets uint32) uint32 {
	b, j := int64(-1), int64(0)
	for j < int64(buckets) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(1<<31) / float64((key>>33)+1)))
	}
	return uint32(b)
}

// mix is a finalizer that spreads a weak hash's bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// wrap prefixes a command with its proposal's reference and time.
func wrap(ref uint64, at time.Duration, cmd []byte) []byte {
	out := make([]byte, 0, 17+len(cmd))
	out = binary.BigEndian.AppendUint64(out, ref)
	out = binary.BigEndian.AppendUint64(out, uint64(at))
	return append(out, cmd...)
}

// unwrap reverses wrap.
func unwrap(data []byte) (ref uint64, at time.Duration, cmd []byte, ok bool) {
	if len(data) < 16 {
		return 0, 0, nil, false
	}
	return binary.BigEndian.Uint64(data), time.Duration(binary.BigEndian.Uint64(data[8:])), data[16:], true
}
