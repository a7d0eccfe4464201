package replica

import (
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Config is what a node is told.
type Config struct {
	Self          Member
	Table         Table
	Boot          uint64 // of this process, as no other
	Machines      func(group uint32) Mux
	RelocateAfter time.Duration // after which replicas are moved; 0: RelocateTimeout
	// Written is the number of the last batch that the store holds; Known what others' had written when last heard of.
	Written uint64
	Known   map[uint64]uint64
	// NewStore says that the store has just been made: nobody can know more of it.
	NewStore bool
}

// Table is what the groups began with.
type Table struct {
	ID      uint64   `json:"id"`
	Groups  uint32   `json:"groups"`
	Copies  int      `json:"copies"`
	Members []Member `json:"members,omitempty"`
	// Generation is how often a lost majority was given up.
	Generation uint32 `json:"generation,omitempty"`
}

// Stored is what a store holds of a group.
type Stored struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot // nil: none
	Entries   []*pb.Entry  // after it
}

// Write is what must last before its answers go out: all groups' in one batch.
type Write struct {
	Number uint64
	Groups []GroupWrite
	Known  map[uint64]uint64 // nil: as before
}

// GroupWrite is a group's part.
type GroupWrite struct {
	Group     uint32
	HardState *pb.HardState // nil: as before
	Entries   []*pb.Entry   // take the place of all from the first's index on
	Snapshot  *pb.Snapshot  // nil: as before
	KeepFrom  uint64        // entries before this index go; 0: none do
	Reset     bool          // all entries go first
	Drop      bool          // the whole group goes
}

// Send is a message to another daemon.
type Send struct {
	To          string
	Group       uint32
	Raft        *pb.Message
	Heartbeat   *DaemonHeartbeat // or this, and
	Ack         HeartbeatAck
	Hibernation *Hibernation // or this
}

// DaemonHeartbeat is what daemons tell each other all the time.
type DaemonHeartbeat struct {
	Member  Member `json:"member"`
	Boot    uint64 `json:"boot"`
	Written uint64 `json:"written"` // batches that its store holds
	// Known is, in Full ones, what others' stores were heard to hold, by ID.
	Known map[uint64]uint64 `json:"known,omitempty"`
	Full  bool              `json:"full,omitempty"`
	// Leads is, where Led, the groups that the sender leads, with their terms; else it is as before.
	Leads    map[uint32]uint64 `json:"leads,omitempty"`
	HasLeads bool              `json:"led,omitempty"`
	// Number grows.
	Number uint64 `json:"number"`
}

// Result is of a proposal made here.
type Result struct {
	Ref    uint64
	Result []byte
	Err    error
}

// Work is what is to be done.
type Work struct {
	Write   *Write // nil: none, or one is under way
	Sends   []Send
	Results []Result
	Changed bool
	// Retire says that the store cannot be vouched for: this node must end and come back with a new one.
	Retire string
	Notes  []string
}
