package replica

import (
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Config configures a node.
type Config struct {
	Self          Member
	Table         Table
	Boot          uint64 // unique to this process
	Machines      func(group uint32) Mux
	RelocateAfter time.Duration // after this silence a daemon's replicas are moved; 0: RelocateTimeout
	// Written is the number of the last batch in the store; Known are the last known batch numbers of other stores, by
	// member ID.
	Written uint64
	Known   map[uint64]uint64
	// NewStore says that the store has just been created, so that no peer can know a later state of it.
	NewStore bool
}

// Table is the initial configuration of the groups.
type Table struct {
	ID      uint64   `json:"id"`
	Groups  uint32   `json:"groups"`
	Copies  int      `json:"copies"`
	Members []Member `json:"members,omitempty"`
	// Generation counts the repairs after the loss of a majority.
	Generation uint32 `json:"generation,omitempty"`
}

// Stored is a group's state in the store.
type Stored struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot // nil: none
	Entries   []*pb.Entry  // after the snapshot
}

// Write is one batch, with the changes of all groups, that must be durable before the messages that depend on it are
// sent.
type Write struct {
	Number uint64
	Groups []GroupWrite
	Known  map[uint64]uint64 // nil: unchanged
}

// GroupWrite is one group's part of a batch.
type GroupWrite struct {
	Group     uint32
	HardState *pb.HardState // nil: unchanged
	Entries   []*pb.Entry   // replace all entries from the first one's index on
	Snapshot  *pb.Snapshot  // nil: unchanged
	KeepFrom  uint64        // entries before this index are deleted; 0: none
	Reset     bool          // with Snapshot: delete all entries first
	Drop      bool          // delete the whole group
}

// Send is a message to another daemon: one of Raft, Heartbeat and Hibernation.
type Send struct {
	To          string
	Group       uint32
	Raft        *pb.Message
	Heartbeat   *DaemonHeartbeat // sent with Ack
	Ack         HeartbeatAck
	Hibernation *Hibernation
}

// DaemonHeartbeat is sent between daemons at a fixed interval.
type DaemonHeartbeat struct {
	Member  Member `json:"member"`
	Boot    uint64 `json:"boot"`
	Written uint64 `json:"written"` // number of the last batch in the sender's store
	// Known, in a Full heartbeat, are the last known batch numbers of other stores, by member ID.
	Known map[uint64]uint64 `json:"known,omitempty"`
	Full  bool              `json:"full,omitempty"`
	// Leads, if HasLeads is set, are the groups that the sender leads, with their terms; otherwise they are unchanged.
	Leads    map[uint32]uint64 `json:"leads,omitempty"`
	HasLeads bool              `json:"led,omitempty"`
	// Number increases with every heartbeat of a process.
	Number uint64 `json:"number"`
}

// Result is the outcome of a proposal made here.
type Result struct {
	Ref    uint64
	Result []byte
	Err    error
}

// Work is what the node's owner has to do.
type Work struct {
	Write   *Write // nil: none, or one is already in flight
	Sends   []Send
	Results []Result
	Changed bool
	// Retire, if not empty, is why the store cannot be trusted: this node must stop and rejoin with a new store.
	Retire string
	Notes  []string
}
