package replicas

import (
	"maps"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	replicav1 "caperrelay/proto/winglb/replica/v1"

	"caperrelay/internal/replica"
)

func memberToProto(m replica.Member) *replicav1.Member {
	return &replicav1.Member{Name: m.Name, Machine: m.Machine, Zone: m.Zone, Incarnation: m.Incarnation}
}

func memberFromProto(m *replicav1.Member) replica.Member {
	return replica.Member{Name: m.GetName(), Machine: m.GetMachine(), Zone: m.GetZone(), Incarnation: m.GetIncarnation()}
}

func bootstrapToProto(f replica.BootstrapMessage) *replicav1.Found {
	out := &replicav1.Found{Member: memberToProto(f.Member), Active: f.Active}
	if t := f.Table; t != nil {
		out.Table = &replicav1.Table{Id: t.ID, Groups: t.Groups, Copies: uint32(t.Copies), Generation: t.Generation}
		for _, m := range t.Members {
			out.Table.Members = append(out.Table.Members, memberToProto(m))
		}
	}
	return out
}

func bootstrapFromProto(f *replicav1.Found) replica.BootstrapMessage {
	out := replica.BootstrapMessage{Member: memberFromProto(f.GetMember()), Active: f.GetActive()}
	if t := f.GetTable(); t != nil {
		out.Table = &replica.Table{ID: t.GetId(), Groups: t.GetGroups(), Copies: int(t.GetCopies()), Generation: t.GetGeneration()}
		for _, m := range t.GetMembers() {
			out.Table.Members = append(out.Table.Members, memberFromProto(m))
		}
	}
	return out
}

func heartbeatToProto(b *replica.DaemonHeartbeat) *replicav1.Beat {
	out := &replicav1.Beat{Member: memberToProto(b.Member), Boot: b.Boot, Written: b.Written, Full: b.Full, Number: b.Number, Led: b.HasLeads}
	for _, id := range slices.Sorted(maps.Keys(b.Known)) {
		out.Known = append(out.Known, &replicav1.Known{Id: id, Written: b.Known[id]})
	}
	for _, g := range slices.Sorted(maps.Keys(b.Leads)) {
		out.Leads = append(out.Leads, &replicav1.Lead{Group: g, Term: b.Leads[g]})
	}
	return out
}

func heartbeatFromProto(b *replicav1.Beat) *replica.DaemonHeartbeat {
	out := &replica.DaemonHeartbeat{Member: memberFromProto(b.GetMember()), Boot: b.GetBoot(), Written: b.GetWritten(), Full: b.GetFull(), Number: b.GetNumber(), HasLeads: b.GetLed(), Known: map[uint64]uint64{}, Leads: map[uint32]uint64{}}
	for _, k := range b.GetKnown() {
		out.Known[k.GetId()] = k.GetWritten()
	}
	for _, l := range b.GetLeads() {
		out.Leads[l.GetGroup()] = l.GetTerm()
	}
	return out
}

// parseMessage decodes a raft message.
func parseMessage(data []byte) (*pb.Message, error) {
	m := &pb.Message{}
	return m, proto.Unmarshal(data, m)
}

var faults = map[error]replicav1.Fault{
	replica.ErrNoLeader: replicav1.Fault_FAULT_NO_LEADER, replica.ErrDropped: replicav1.Fault_FAULT_DROPPED, replica.ErrUnknown: replicav1.Fault_FAULT_UNKNOWN,
	replica.ErrTooLarge: replicav1.Fault_FAULT_TOO_LARGE, replica.ErrNoGroup: replicav1.Fault_FAULT_NO_GROUP,
}

// errorFromFault returns the error of a fault. An unknown fault may mean anything, so it becomes ErrUnknown.
func errorFromFault(f replicav1.Fault) error {
	if f == replicav1.Fault_FAULT_NONE {
		return nil
	}
	for err, fault := range faults {
		if fault == f {
			return err
		}
	}
	return replica.ErrUnknown
}

// wallClock returns the Unix time for commands.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }
