package replica

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// recordingMachine is a machine that records all commands.
type recordingMachine struct {
	Lines []string `json:"Lines"`
}

func (b *recordingMachine) Apply(index uint64, at time.Duration, cmd []byte) []byte {
	b.Lines = append(b.Lines, fmt.Sprintf("%d@%d %s", index, at, cmd))
	return binary.BigEndian.AppendUint64(nil, index)
}
func (b *recordingMachine) Snapshot() ([]byte, error) { return json.Marshal(b) }
func (b *recordingMachine) Restore(text []byte) error {
	*b = recordingMachine{}
	return json.Unmarshal(text, b)
}

// disk is a daemon's durable state.
type disk struct {
	member  Member
	written uint64
	known   map[uint64]uint64
	groups  map[uint32]Stored
}

func (d *disk) clone() *disk {
	c := *d
	c.known, c.groups = maps.Clone(d.known), maps.Clone(d.groups)
	return &c
}

func (d *disk) write(w *Write) {
	d.written = w.Number
	if w.Known != nil {
		d.known = w.Known
	}
	for _, p := range w.Groups {
		s := d.groups[p.Group]
		s.Entries = slices.Clone(s.Entries)
		if p.HardState != nil {
			s.HardState = p.HardState
		}
		if p.Snapshot != nil {
			s.Snapshot = p.Snapshot
		}
		if p.Reset {
			s.Entries = nil
		}
		s.Entries = slices.DeleteFunc(s.Entries, func(e *pb.Entry) bool {
			return e.GetIndex() < p.KeepFrom || len(p.Entries) > 0 && e.GetIndex() >= p.Entries[0].GetIndex()
		})
		s.Entries = append(s.Entries, p.Entries...)
		d.groups[p.Group] = s
	}
}

// load returns the state that a daemon reads at its start, without entries that the snapshot covers.
func (d *disk) load() map[uint32]Stored {
	out := map[uint32]Stored{}
	for n, s := range d.groups {
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return e.GetIndex() <= s.Snapshot.GetMetadata().GetIndex() })
		out[n] = s
	}
	return out
}

// cluster simulates daemons in virtual time, each with its own clock.
type cluster struct {
	t            require.TestingT
	rng          *rand.Rand
	now          time.Duration
	table        Table
	nodes        []*daemon
	partitions   map[[2]int]bool
	lossRate     float64
	queue        []delivery
	confirmed    map[string]string // index of each confirmed command, by group and command
	leaseHolders map[uint32]leaseHolder
	retirements  int
	onSend       func(Send)
	dropSend     func(Send) bool
	boots        uint64
}

type leaseHolder struct {
	name  string
	term  uint64
	until time.Duration // in the simulation's time
}

type daemon struct {
	name        string
	rate        float64
	disk        *disk
	node        *Node         // nil: the daemon is down
	writeDelay  time.Duration // of its disk
	writeDoneAt time.Duration // of the write in flight
	write       *Write
	proposed    map[uint64]string
}

type delivery struct {
	at          time.Duration
	to, from    int
	group       uint32
	raft        *pb.Message
	heartbeat   *DaemonHeartbeat
	ack         HeartbeatAck
	hibernation *Hibernation
}

const testGroups = 4

func newCluster(t require.TestingT, seed uint64, daemons int) *cluster {
	w := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 1)), partitions: map[[2]int]bool{}, confirmed: map[string]string{}, leaseHolders: map[uint32]leaseHolder{}}
	var all []Member
	for i := range daemons {
		m := Member{Name: fmt.Sprint("n", i), Machine: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%3), Incarnation: uint32(w.rng.Uint32() | 1)}
		all = append(all, m)
		// Clock rates differ by up to the bound that the lease allows for.
		rate := 1 + (w.rng.Float64()-0.5)/MaxDriftDivisor*0.95
		w.nodes = append(w.nodes, &daemon{name: m.Name, rate: rate, disk: &disk{member: m, groups: map[uint32]Stored{}}, writeDelay: time.Millisecond})
	}
	w.table = *newTable(all, testGroups, 3)
	for i := range w.nodes {
		w.start(i, true)
	}
	return w
}

// clock returns a daemon's own time.
func (w *cluster) clock(d *daemon) time.Duration { return time.Duration(float64(w.now) * d.rate) }

func (w *cluster) start(i int, newStore bool) {
	d := w.nodes[i]
	w.boots++
	node, err := New(Config{
		Self: d.disk.member, Table: w.table, Boot: w.boots, Written: d.disk.written, Known: d.disk.known, NewStore: newStore, RelocateAfter: 5 * time.Second,
		Machines: func(uint32) Mux { return Mux{0: &recordingMachine{}} },
	}, w.clock(d), d.disk.load())
	require.NoError(w.t, err)
	d.node, d.write, d.proposed = node, nil, map[uint64]string{}
	for _, o := range w.nodes {
		node.AddPeer(o.name)
	}
}

func (w *cluster) kill(i int) {
	w.nodes[i].node, w.nodes[i].write = nil, nil
	for g, h := range w.leaseHolders { // a daemon that is down holds no lease
		if h.name == w.nodes[i].name {
			w.leaseHolders[g] = leaseHolder{term: h.term}
		}
	}
}

// loseDisk restarts a daemon with an empty disk.
func (w *cluster) loseDisk(i int) {
	w.kill(i)
	m := w.nodes[i].disk.member
	m.Incarnation = w.rng.Uint32() | 1
	w.nodes[i].disk = &disk{member: m, groups: map[uint32]Stored{}}
	w.start(i, true)
}

func (w *cluster) indexOf(name string) int {
	return slices.IndexFunc(w.nodes, func(d *daemon) bool { return d.name == name })
}

// run advances the time.
func (w *cluster) run(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := w.now + d; w.now < end; w.now += step {
		queue := w.queue
		w.queue = nil
		for _, m := range queue {
			to := w.nodes[m.to]
			switch {
			case m.at > w.now:
				w.queue = append(w.queue, m)
			case to.node == nil || w.partitions[[2]int{m.from, m.to}]:
			case m.heartbeat != nil:
				to.node.HandleHeartbeat(w.clock(to), m.heartbeat)
				to.node.HandleHeartbeatAck(w.nodes[m.from].name, m.ack)
			case m.hibernation != nil:
				to.node.HandleHibernation(w.clock(to), w.nodes[m.from].name, *m.hibernation)
			default:
				to.node.Step(w.clock(to), m.group, m.raft)
			}
		}
		for i, d := range w.nodes {
			if d.node == nil {
				continue
			}
			d.node.Tick(w.clock(d))
			if d.write != nil && w.now >= d.writeDoneAt {
				d.disk.write(d.write)
				n := d.write.Number
				d.write = nil
				d.node.Persisted(w.clock(d), n)
			}
			w.takeWork(i)
		}
		w.checkLeases()
	}
}

func (w *cluster) takeWork(i int) {
	d := w.nodes[i]
	work := d.node.TakeWork(w.clock(d))
	if work.Write != nil {
		require.Nil(w.t, d.write)
		d.write, d.writeDoneAt = work.Write, w.now+d.writeDelay
	}
	for _, s := range work.Sends {
		if w.onSend != nil {
			w.onSend(s)
		}
		if w.rng.Float64() < w.lossRate || w.dropSend != nil && w.dropSend(s) {
			continue
		}
		m := delivery{at: w.now + time.Duration(w.rng.Int64N(int64(20*time.Millisecond))), to: w.indexOf(s.To), from: i, group: s.Group, heartbeat: s.Heartbeat, ack: s.Ack, hibernation: s.Hibernation}
		if s.Raft != nil {
			m.raft = proto.Clone(s.Raft).(*pb.Message)
		}
		w.queue = append(w.queue, m)
	}
	for _, r := range work.Results {
		if r.Err == nil {
			w.confirmed[d.proposed[r.Ref]] = fmt.Sprint(binary.BigEndian.Uint64(r.Result))
		}
	}
	for _, n := range work.Notes {
		w.t.Errorf("%s: %s", d.name, n)
	}
	if work.Retire != "" {
		w.retirements++
		w.loseDisk(i)
	}
}

// checkLeases checks that no two daemons act for a group at once, in the simulation's time.
func (w *cluster) checkLeases() {
	for _, d := range w.nodes {
		if d.node == nil {
			continue
		}
		for g := range uint32(testGroups) {
			term, until, ok := d.node.Lease(w.clock(d), g)
			if !ok {
				continue
			}
			h := w.leaseHolders[g]
			if h.name != d.name {
				require.Less(w.t, h.until, w.now, "group %d: %s holds the lease and %s acts", g, h.name, d.name)
				require.Greater(w.t, term, h.term)
				applied := fmt.Sprint(w.lines(w.indexOf(d.name), g), "\n") // must hold all that was confirmed before
				for cmd := range w.confirmed {
					if of, line, _ := strings.Cut(cmd, " "); of == fmt.Sprint(g) {
						require.Contains(w.t, applied, " "+line, "group %d: %s acts without a confirmed command", g, d.name)
					}
				}
			}
			w.leaseHolders[g] = leaseHolder{d.name, term, time.Duration(float64(until) / d.rate)}
		}
	}
}

// leader returns the daemon that acts for a group; empty: none.
func (w *cluster) leader(g uint32) string {
	for _, d := range w.nodes {
		if d.node != nil {
			if _, _, ok := d.node.Lease(w.clock(d), g); ok {
				return d.name
			}
		}
	}
	return ""
}

// awaitHibernation advances the time until all groups hibernate.
func (w *cluster) awaitHibernation() {
	for end := w.now + 20*time.Second; w.now < end; w.run(50 * time.Millisecond) {
		awake := slices.ContainsFunc(w.nodes, func(d *daemon) bool {
			return slices.ContainsFunc(d.node.ordered, func(g *group) bool { return !g.hibernating })
		})
		if !awake {
			return
		}
	}
	require.Fail(w.t, "not all groups hibernate")
}

// propose proposes a command at the group's leader; false: there is none.
func (w *cluster) propose(g uint32, cmd string) bool {
	for i, d := range w.nodes {
		if d.node == nil {
			continue
		}
		if ref, err := d.node.Propose(w.clock(d), g, w.now, append([]byte{0}, cmd...)); err == nil {
			d.proposed[ref] = fmt.Sprint(g, " ", cmd)
			w.takeWork(i)
			return true
		}
	}
	return false
}

func (w *cluster) lines(i int, g uint32) []string {
	if w.nodes[i].node == nil {
		return nil
	}
	m := w.nodes[i].node.View(g, 0)
	if m == nil {
		return nil
	}
	return m.(*recordingMachine).Lines
}

// checkAgreement checks that all replicas have applied the same commands, as far as each has got.
func (w *cluster) checkAgreement() {
	for g := range uint32(testGroups) {
		longest := w.longest(g)
		for i := range w.nodes {
			l := w.lines(i, g)
			require.True(w.t, slices.Equal(longest[:len(l)], l), "group %d at n%d: %v, longest: %v", g, i, l, longest)
		}
	}
}

func (w *cluster) longest(g uint32) (longest []string) {
	for i := range w.nodes {
		if l := w.lines(i, g); len(l) > len(longest) {
			longest = l
		}
	}
	return longest
}

// checkConfirmed checks that no confirmed command is lost; all daemons must be up.
func (w *cluster) checkConfirmed() {
	w.checkAgreement()
	for g := range uint32(testGroups) {
		longest := w.longest(g)
		for cmd, index := range w.confirmed {
			if of, text, _ := strings.Cut(cmd, " "); of == fmt.Sprint(g) {
				require.True(w.t, slices.ContainsFunc(longest, func(l string) bool {
					return strings.HasPrefix(l, index+"@") && strings.HasSuffix(l, " "+text)
				}), "%s at %s: %v", cmd, index, longest)
			}
		}
	}
}

// awaitLeaders advances the time until each group has a leader that may act.
func (w *cluster) awaitLeaders(within time.Duration) {
	for end := w.now + within; w.now < end; w.run(20 * time.Millisecond) {
		n := 0
		for g := range uint32(testGroups) {
			for _, d := range w.nodes {
				if d.node != nil {
					if _, _, ok := d.node.Lease(w.clock(d), g); ok {
						n++
					}
				}
			}
		}
		if n == testGroups {
			return
		}
	}
	require.Fail(w.t, "not all groups have a leader", "%v", w.now)
}

// No confirmed command is lost and no two leaders act at once while daemons crash, lose their disks, are partitioned in
// one direction and lose messages, with clocks that drift.
func TestNoConfirmedCommandIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(t, rapid.Uint64().Draw(t, "seed"), 5)
		w.awaitLeaders(10 * time.Second)
		lost := -1 // one disk at a time, until its replicas have been restored
		n := 0
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			i, j := rapid.IntRange(0, 4).Draw(t, "daemon"), rapid.IntRange(0, 4).Draw(t, "other daemon")
			switch action := rapid.IntRange(0, 10).Draw(t, "action"); {
			case action == 10: // the leader of a group transfers it
				if leader := w.indexOf(w.leader(uint32(i % testGroups))); leader >= 0 {
					d := w.nodes[leader]
					d.node.startTransfer(d.node.groups[uint32(i%testGroups)], w.clock(d), nil)
				}
			case action == 8: // nobody receives from the leader of a group
				if leader := w.indexOf(w.leader(uint32(i % testGroups))); leader >= 0 {
					for k := range w.nodes {
						w.partitions[[2]int{leader, k}] = true
					}
				}
			case action == 9: // the leader is cut off, and the followers that have confirmed its lease restart
				if leader := w.indexOf(w.leader(uint32(i % testGroups))); leader >= 0 {
					for k := range w.nodes {
						w.partitions[[2]int{leader, k}], w.partitions[[2]int{k, leader}] = true, true
					}
					for k := range w.nodes {
						if k != leader && w.nodes[k].node != nil {
							w.kill(k)
							w.start(k, false)
						}
					}
				}
			case action == 7:
				w.run(2500 * time.Millisecond) // groups start to hibernate
			case action == 0 && w.nodes[i].node != nil:
				w.kill(i)
			case action == 1 && w.nodes[i].node == nil:
				w.start(i, false)
			case action == 2 && lost < 0:
				lost = i
				w.loseDisk(i)
			case action == 3 && i != j:
				w.partitions[[2]int{i, j}] = true
			case action == 4:
				clear(w.partitions)
			case action == 5:
				w.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
			default:
				w.nodes[i].writeDelay = time.Duration(rapid.IntRange(1, 200).Draw(t, "disk")) * time.Millisecond
			}
			for range rapid.IntRange(1, 10).Draw(t, "commands") {
				w.propose(uint32(n%testGroups), fmt.Sprintf("c%d;", n))
				n++
				w.run(time.Duration(rapid.IntRange(5, 300).Draw(t, "ms")) * time.Millisecond)
			}
			w.checkAgreement()
		}
		clear(w.partitions)
		w.lossRate = 0
		for i, d := range w.nodes {
			if d.writeDelay = time.Millisecond; d.node == nil {
				w.start(i, false)
			}
		}
		w.awaitLeaders(20 * time.Second)
		for g := range uint32(testGroups) {
			require.True(t, w.propose(g, "last;"))
		}
		w.run(time.Second)
		w.checkConfirmed()
	})
}

// A daemon that restarts without its disk is a new member: it becomes a learner, then a voter, in the groups that it
// held.
func TestLostDiskMakesNewMember(t *testing.T) {
	w := newCluster(t, 7, 5)
	w.awaitLeaders(5 * time.Second)
	for i := range 40 {
		w.propose(uint32(i%testGroups), fmt.Sprintf("c%d;", i))
		w.run(20 * time.Millisecond)
	}
	before := w.nodes[1].disk.member.ID()
	w.loseDisk(1)
	now := w.nodes[1].disk.member.ID()
	w.run(20 * time.Second)
	w.awaitLeaders(5 * time.Second)
	held := 0
	for _, d := range w.nodes {
		for _, g := range d.node.ordered {
			if g.leader {
				require.NotContains(t, g.conf.GetVoters(), before)
				require.Len(t, g.conf.GetVoters(), 3)
				require.Empty(t, g.conf.GetLearners())
				if slices.Contains(g.conf.GetVoters(), now) {
					held++
				}
			}
		}
	}
	require.Positive(t, held)
	w.checkConfirmed()
}

// A daemon restarts with an old copy of its disk. A peer tells it so; it does not vote and rejoins as a new member.
func TestOldStoreCopyIsRetired(t *testing.T) {
	w := newCluster(t, 9, 3)
	w.awaitLeaders(5 * time.Second)
	old := w.nodes[2].disk.clone()
	for i := range 40 {
		w.propose(uint32(i%testGroups), fmt.Sprintf("c%d;", i))
		w.run(50 * time.Millisecond)
	}
	w.kill(2)
	w.nodes[2].disk = old
	w.start(2, false)
	w.run(10 * time.Second)
	require.Equal(t, 1, w.retirements)
	require.NotEqual(t, old.member, w.nodes[2].disk.member)
	w.awaitLeaders(5 * time.Second)
	w.checkConfirmed()
}

// A long log is compacted, and a daemon that was down meanwhile receives a snapshot.
func TestLaggingReplicaReceivesSnapshot(t *testing.T) {
	w := newCluster(t, 11, 3)
	w.awaitLeaders(5 * time.Second)
	w.kill(0)
	w.awaitLeaders(5 * time.Second)
	for i := range 2 * maxLogEntries / 100 * 4 {
		for k := range 100 {
			if k%testGroups == 0 {
				w.propose(0, fmt.Sprintf("c%d.%d;", i, k))
			}
		}
		w.run(5 * time.Millisecond)
	}
	w.run(time.Second)
	require.Less(t, len(w.nodes[1].disk.groups[0].Entries), 2*maxLogEntries)
	w.start(0, false)
	w.run(3 * time.Second)
	require.Equal(t, w.lines(1, 0), w.lines(0, 0))
	w.checkConfirmed()
}

// Hibernating groups send no raft messages and still have a leader. A leader that dies is replaced, and one that is cut
// off acts no longer than its lease.
func TestHibernatingGroups(t *testing.T) {
	w := newCluster(t, 13, 3)
	w.awaitLeaders(5 * time.Second)
	w.awaitHibernation()
	sent := 0
	w.onSend = func(s Send) {
		if s.Raft != nil {
			sent++
		}
	}
	for range 100 {
		w.run(50 * time.Millisecond)
		for g := range uint32(testGroups) {
			require.NotEmpty(t, w.leader(g), "there is a leader all the time")
		}
	}
	require.Zero(t, sent)
	require.True(t, w.propose(1, "c1;"))
	w.run(200 * time.Millisecond)
	for i := range w.nodes {
		require.Len(t, w.lines(i, 1), 1)
	}
	w.awaitHibernation()
	i := w.indexOf(w.leader(2))
	w.kill(i)
	w.awaitLeaders(10 * time.Second)
	w.start(i, false)
	w.run(5 * time.Second)
	i = w.indexOf(w.leader(2))
	for j := range w.nodes {
		w.partitions[[2]int{i, j}] = true
	}
	w.run(LeaseDuration + DaemonHeartbeatInterval)
	require.NotEqual(t, w.nodes[i].name, w.leader(2))
	w.awaitLeaders(5 * time.Second)
	w.checkConfirmed()
}

// Guards against two leaders at once after a restart. Follower A cannot receive from the leader and keeps asking for
// votes; follower B, whose confirmations hold the leader's lease, restarts and has forgotten them. B must grant no vote
// until that lease has expired.
func TestRestartedVoterWaitsForLease(t *testing.T) {
	for seed := range uint64(25) {
		w := newCluster(t, 100+seed, 3)
		w.awaitLeaders(5 * time.Second)
		for g := range uint32(testGroups) {
			w.propose(g, "c;")
		}
		w.run(200 * time.Millisecond)
		leader := w.indexOf(w.leader(1))
		unreachable, other := (leader+1)%3, (leader+2)%3
		w.partitions[[2]int{leader, unreachable}] = true
		w.run(1500 * time.Millisecond) // without new entries, so that its log is up to date
		require.Equal(t, w.nodes[leader].name, w.leader(1))
		w.kill(other)
		w.start(other, false)
		w.partitions[[2]int{leader, other}] = true
		w.run(3 * time.Second) // checks the leases at each step
		w.awaitLeaders(10 * time.Second)
	}
}

// Guards against a lease that rests on an outdated agreement to hibernate. Follower A receives nothing from the
// leader until A considers the leader silent; then A receives from the leader again, and follower B does not. A's
// acknowledgements must not extend the earlier lease.
func TestSilenceEndsHibernation(t *testing.T) {
	for seed := range uint64(3) {
		w := newCluster(t, 200+seed, 3)
		w.awaitLeaders(5 * time.Second)
		w.awaitHibernation()
		leader := w.indexOf(w.leader(1))
		first, second := (leader+1)%3, (leader+2)%3
		w.partitions[[2]int{leader, first}] = true
		w.run(ElectionTimeout + 200*time.Millisecond)
		delete(w.partitions, [2]int{leader, first})
		w.partitions[[2]int{leader, second}] = true
		w.run(3 * time.Second)
		clear(w.partitions)
		w.awaitLeaders(10 * time.Second)
	}
}

// A restarted daemon sends no raft message before a peer has confirmed that its store is current.
func TestUnconfirmedStoreSendsNothing(t *testing.T) {
	w := newCluster(t, 17, 3)
	w.awaitLeaders(5 * time.Second)
	w.propose(1, "c;")
	w.run(time.Second)
	w.kill(2)
	w.start(2, false)
	n, self := w.nodes[2].node, w.nodes[2].disk.member
	vote := &pb.Message{Type: pb.MessageType_MsgPreVote.Enum(), From: new(w.nodes[0].disk.member.ID()), To: new(self.ID()), Term: new(uint64(99)), LogTerm: new(uint64(98)), Index: new(uint64(999))}
	sends := func(at time.Duration) bool {
		n.Step(at, 1, vote)
		return slices.ContainsFunc(n.TakeWork(at).Sends, func(s Send) bool { return s.Raft != nil })
	}
	at := w.clock(w.nodes[2])
	for range 100 {
		at += Tick
		n.Tick(at)
		require.False(t, sends(at))
	}
	n.HandleHeartbeat(at, &DaemonHeartbeat{Member: w.nodes[0].disk.member, Boot: 77, Number: 1, Full: true, Known: map[uint64]uint64{self.ID(): w.nodes[2].disk.written}})
	require.True(t, sends(at))
}

// A daemon that steps down transfers its groups at once; commands are accepted except for a short time, and no two
// leaders act at once. If the transferee does not receive MsgTimeoutNow, the group is without a leader no longer than
// an election takes.
func TestStepDown(t *testing.T) {
	for seed := range uint64(20) {
		w := newCluster(t, 300+seed, 3)
		w.awaitLeaders(5 * time.Second)
		leader := w.indexOf(w.leader(1))
		d := w.nodes[leader]
		if seed%4 == 3 { // MsgTimeoutNow is lost; responses with the later term are not
			w.run(time.Second)
			w.dropSend = func(s Send) bool { return s.Raft != nil && s.Raft.GetType() == pb.MessageType_MsgTimeoutNow }
		}
		d.node.StepDown(w.clock(d))
		require.NotEqual(t, d.name, w.leader(1), "it leads no more")
		refused := 0
		for i := range 60 {
			if !w.propose(1, fmt.Sprintf("c%d;", i)) {
				refused++
			}
			w.run(20 * time.Millisecond)
		}
		if w.dropSend == nil {
			require.NotEmpty(t, w.leader(1))
			require.Less(t, refused, 20, "of 60 in 1.2 s, 500 ms of which pass before the transfer")
		}
		w.dropSend = nil
		for end := w.now + 10*time.Second; w.now < end && (w.leader(1) == "" || w.leader(1) == d.name); { // the daemon that stepped down may be elected again
			w.run(20 * time.Millisecond)
		}
		require.NotContains(t, []string{"", d.name}, w.leader(1))
		w.run(time.Second)
		w.checkConfirmed()
	}
}

// A daemon returns after its replicas have been moved. Placement wants it again, also in groups whose leader is a
// replacement that placement no longer wants.
func TestLeaderOutsidePlacementIsMoved(t *testing.T) {
	for seed := range uint64(4) {
		w := newCluster(t, 400+seed, 5)
		w.awaitLeaders(5 * time.Second)
		w.kill(0)
		w.run(20 * time.Second)
		for g := range uint32(testGroups) { // make the replacements lead
			for i, d := range w.nodes {
				if i > 0 && d.node.groups[g] != nil && !slices.Contains(voters(w.table, g), d.node.id) && w.leader(g) != "" {
					l := w.nodes[w.indexOf(w.leader(g))]
					l.node.startTransfer(l.node.groups[g], w.clock(l), func(id uint64) bool { return id == d.node.id })
					w.run(2 * time.Second)
				}
			}
		}
		w.start(0, false)
		w.run(40 * time.Second)
		for g := range uint32(testGroups) {
			l := w.nodes[w.indexOf(w.leader(g))].node
			require.ElementsMatch(t, voters(w.table, g), l.groups[g].conf.GetVoters(), "group %d, led by %s", g, l.cfg.Self.Name)
		}
		w.checkConfirmed()
	}
}

func voters(t Table, g uint32) (ids []uint64) {
	for _, m := range Place(g, t.Members, t.Copies) {
		ids = append(ids, m.ID())
	}
	return ids
}
