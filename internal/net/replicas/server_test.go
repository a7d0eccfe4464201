package replicas

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"caperrelay/internal/replica"
)

// recordingMachine is a machine that records all commands and answers the read "?".
type recordingMachine struct {
	Lines []string `json:"Lines"`
}

func (l *recordingMachine) Apply(_ uint64, _ time.Duration, cmd []byte) []byte {
	l.Lines = append(l.Lines, string(cmd))
	return fmt.Append(nil, len(l.Lines))
}
func (l *recordingMachine) Snapshot() ([]byte, error) { return json.Marshal(l) }
func (l *recordingMachine) Restore(text []byte) error {
	*l = recordingMachine{}
	return json.Unmarshal(text, l)
}

func (l *recordingMachine) Read(cmd []byte) ([]byte, bool) {
	return fmt.Append(nil, len(l.Lines)), string(cmd) == "?"
}

// cluster runs several daemons in one process, each with a listener and a store folder.
type cluster struct {
	testing.TB
	groups    uint32
	hosts     []*Server
	repair    func(*Options)
	listeners []net.Listener
	dirs      []string
}

func newCluster(t testing.TB, n int, groups uint32) *cluster {
	w := &cluster{TB: t, groups: groups, hosts: make([]*Server, n)}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		w.listeners = append(w.listeners, l)
		w.dirs = append(w.dirs, t.TempDir())
	}
	for i := range n {
		w.serve(i)
		w.open(i)
	}
	return w
}

// serve creates a host behind a listener.
func (w *cluster) serve(i int) {
	g := grpc.NewServer()
	peers := map[string]string{}
	for j, l := range w.listeners {
		if j != i {
			peers[fmt.Sprint("n", j)] = l.Addr().String()
		}
	}
	self := replica.Member{Name: fmt.Sprint("n", i), Machine: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i)}
	o := Options{
		Self: self, Dir: w.dirs[i], Peers: peers, Groups: w.groups, Copies: 3,
		Machines: func(uint32) replica.Mux { return replica.Mux{0: &recordingMachine{}} },
	}
	if w.repair != nil {
		w.repair(&o)
	}
	s, err := New(o, slog.New(slog.DiscardHandler))
	require.NoError(w, err)
	s.Register(g)
	w.hosts[i] = s
	go g.Serve(w.listeners[i])
	w.Cleanup(g.Stop)
}

func (w *cluster) open(i int) {
	w.hosts[i].Open(context.Background())
	w.Cleanup(w.hosts[i].Close)
}

// await polls until a condition holds.
func (w *cluster) await(what string, holds func() bool) {
	w.Helper()
	require.Eventually(w, holds, 40*time.Second, 10*time.Millisecond, what)
}

// propose repeats a command until it is confirmed; it may be applied twice.
func (w *cluster) propose(i int, group uint32, cmd string) {
	w.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	_, err := w.hosts[i].Propose(ctx, group, 0, []byte(cmd))
	for errors.Is(err, replica.ErrUnknown) && ctx.Err() == nil {
		_, err = w.hosts[i].Propose(ctx, group, 0, []byte(cmd))
	}
	require.NoError(w, err)
}

func (w *cluster) lines(i int, group uint32) (out []string) {
	w.hosts[i].View(group, 0, func(m replica.Machine) { out = slices.Clone(m.(*recordingMachine).Lines) })
	return slices.Compact(out)
}

// Three daemons bootstrap their groups. A command proposed at any daemon reaches all, including one that was down.
func TestCommandsReachAll(t *testing.T) {
	w := newCluster(t, 3, 4)
	for i := range 3 {
		w.propose(i, 1, fmt.Sprint("c", i))
	}
	want := []string{"c0", "c1", "c2"}
	for i := range 3 {
		w.await("all commands are applied", func() bool { return slices.Equal(w.lines(i, 1), want) })
	}
	w.hosts[2].Close()
	w.propose(0, 1, "c3")
	w.propose(1, 1, "c4")
	w.open(2)
	w.await("commands proposed meanwhile are applied", func() bool { return slices.Equal(w.lines(2, 1), append(want, "c3", "c4")) })
}

// A flipped bit in the store is detected by a checksum: the daemon never acts by that store and rejoins as a new
// member, which receives everything again.
func TestBitFlipMakesNewMember(t *testing.T) {
	w := newCluster(t, 3, 2)
	for i := range 20 {
		w.propose(0, 1, fmt.Sprint("item-", i))
	}
	w.await("all commands are on n2", func() bool { return len(w.lines(2, 1)) == 20 })
	before := w.hosts[2].Status().Member
	w.hosts[2].Close()
	path := filepath.Join(w.dirs[2], storeFile)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	at := bytes.LastIndex(text, []byte("item-7"))
	require.Positive(t, at)
	for i := range len(text) - 6 { // in each copy that bbolt has of it
		if bytes.HasPrefix(text[i:], []byte("item-7")) {
			text[i+5] ^= 1
		}
	}
	require.NoError(t, os.WriteFile(path, text, 0o600))
	w.open(2)
	w.await("n2 is a new member", func() bool {
		m := w.hosts[2].Status().Member
		return m.Incarnation != 0 && m.Incarnation != before.Incarnation
	})
	require.Contains(t, w.hosts[2].Status().Refused, "checksum")
	w.await("n2 has all commands", func() bool { return len(w.lines(2, 1)) == 20 })
	w.await("n2 votes", func() bool {
		for i := range 3 {
			for _, g := range w.hosts[i].Status().Groups {
				old, now := fmt.Sprintf("n2/%08x", before.Incarnation), fmt.Sprintf("n2/%08x", w.hosts[2].Status().Member.Incarnation)
				if slices.Contains(g.Voters, old) || !slices.Contains(g.Voters, now) {
					return false
				}
			}
		}
		return true
	})
	_, err = os.Stat(filepath.Join(w.dirs[2], refusedFile))
	require.NoError(t, err)
}

// A store that is not a database, truncated, marked suspect or another daemon's is refused, and a locked one is waited
// for.
func TestUnusableStoresAreRefused(t *testing.T) {
	self := replica.Member{Name: "n1", Machine: "m", Zone: "z"}
	makeStore := func(dir string) []byte {
		s, _, refused, err := openStore(dir, self)
		require.NoError(t, err)
		require.Empty(t, refused)
		initial, _ := replica.InitialState(replica.Table{Groups: 1, Copies: 1, Members: []replica.Member{s.meta.Member}}, 0, s.meta.Member)
		for i := range 50 {
			require.NoError(t, s.save(&replica.Write{Number: uint64(i + 1), Groups: []replica.GroupWrite{{Group: 0, HardState: initial.HardState, Snapshot: initial.Snapshot}}}))
		}
		s.close()
		text, err := os.ReadFile(filepath.Join(dir, storeFile))
		require.NoError(t, err)
		return text
	}
	for name, corrupt := range map[string]func(dir string, text []byte) []byte{
		"not a database":   func(string, []byte) []byte { return []byte("x") },
		"truncated":        func(_ string, text []byte) []byte { return text[:8192] },
		"marked suspect":   func(dir string, text []byte) []byte { (&store{dir: dir}).markSuspect(os.ErrInvalid); return text },
		"another daemon's": func(_ string, text []byte) []byte { return text },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			text := makeStore(dir)
			first, _, refused, err := openStore(dir, self)
			require.NoError(t, err)
			require.Empty(t, refused, "the store is intact")
			require.EqualValues(t, 50, first.lastBatch.written)
			first.close()
			require.NoError(t, os.WriteFile(filepath.Join(dir, storeFile), corrupt(dir, text), 0o600))
			member := self
			if name == "another daemon's" {
				member.Name = "n2"
			}
			s, groups, refused, err := openStore(dir, member)
			require.NoError(t, err)
			defer s.close()
			require.NotEmpty(t, refused)
			require.Empty(t, groups)
			require.NotEqual(t, first.meta.Member.Incarnation, s.meta.Member.Incarnation)
		})
	}
	dir := t.TempDir()
	makeStore(dir)
	s, _, _, err := openStore(dir, self)
	require.NoError(t, err)
	defer s.close()
	_, _, _, err = openStore(dir, self)
	require.ErrorIs(t, err, errLocked, "a later process waits for the lock")
	require.True(t, strings.Contains(err.Error(), "another process"))
}

// Two of three daemons are lost, and the third continues alone with all commands after a repair. When the lost ones
// return with their disks, they hold the old majority between them; they must be ignored and rejoin as new members.
func TestRepairFencesOldMajority(t *testing.T) {
	w := newCluster(t, 3, 3)
	for i := range 6 {
		w.propose(i%3, 1+uint32(i%2), fmt.Sprint("c", i))
	}
	w.await("n0 has all commands", func() bool { return len(w.lines(0, 1)) == 3 && len(w.lines(0, 2)) == 3 })
	old := map[string]bool{}
	for i := range 3 {
		old[fmt.Sprint(w.hosts[i].Status().Member)] = true
		w.hosts[i].Close()
	}
	w.listeners[0].Close()
	at, err := net.Listen("tcp", w.listeners[0].Addr().String())
	require.NoError(t, err)
	w.listeners[0] = at
	w.repair = func(o *Options) { o.Repair, o.Survivors = 1, []string{"n0"} }
	w.serve(0)
	w.open(0)
	w.propose(0, 1, "alone")
	require.Equal(t, []string{"c0", "c2", "c4", "alone"}, w.lines(0, 1))
	w.await("n0 leads, in a term larger than all earlier ones", func() bool {
		term, _, ok := w.hosts[0].Lease(1)
		return ok && term > 1<<40
	})
	w.open(1)
	w.open(2)
	w.await("n1 and n2 are new members", func() bool {
		for i := range 3 {
			if v := w.hosts[i].Status(); len(v.Groups) != 3 || i > 0 && old[fmt.Sprint(v.Member)] {
				return false
			}
		}
		return len(w.lines(1, 1)) == 4 && len(w.lines(2, 1)) == 4
	})
	w.await("all are voters", func() bool {
		for _, g := range w.hosts[0].Status().Groups {
			if len(g.Voters) != 3 {
				return false
			}
		}
		return true
	})
	w.hosts[0].Close()
	w.propose(1, 1, "on")
	w.await("n1 has all commands", func() bool {
		return slices.Equal([]string{"c0", "c2", "c4", "alone", "on"}, w.lines(1, 1)) // it need not be the leader
	})
}

// A daemon whose disk fails confirms nothing more and the others continue; after a restart it is a new member.
func TestFailingDisk(t *testing.T) {
	w := newCluster(t, 3, 2)
	w.propose(0, 1, "c0")
	w.await("n2 has the command", func() bool { return len(w.lines(2, 1)) == 1 })
	before := w.hosts[2].Status().Member
	w.hosts[2].mu.Lock()
	require.NoError(t, w.hosts[2].store.db.Close())
	w.hosts[2].mu.Unlock()
	for i := range 10 {
		w.propose(i%2, 1, fmt.Sprint("d", i))
	}
	w.await("n2 reports the fault", func() bool { return w.hosts[2].Status().Fault != "" })
	for g := range w.groups {
		_, _, acts := w.hosts[2].Lease(g)
		require.False(t, acts)
	}
	w.hosts[2].Close()
	w.open(2)
	w.await("n2 has all commands as a new member", func() bool {
		return w.hosts[2].Status().Member.Incarnation != before.Incarnation && len(w.lines(2, 1)) == 11
	})
}

// A leader stalls with a forwarded proposal while its connections stay open. The caller must be answered before the
// leader resumes.
func TestForwardToStalledLeader(t *testing.T) {
	w := newCluster(t, 3, 2)
	w.awaitLeaders()
	leader := slices.IndexFunc(w.hosts, func(s *Server) bool { _, _, ok := s.Lease(1); return ok })
	other := (leader + 1) % 3
	w.propose(other, 1, "before")
	w.hosts[leader].mu.Lock() // the loop needs it for each pass
	defer w.hosts[leader].mu.Unlock()
	w.propose(other, 1, "meanwhile")
	w.await("the command is applied", func() bool { return slices.Contains(w.lines(other, 1), "meanwhile") })
}

// A read-only command is answered by the leader without a log entry, also when it was forwarded, and sees all that was
// confirmed before it.
func TestReadsDoNotUseLog(t *testing.T) {
	w := newCluster(t, 3, 2)
	w.awaitLeaders()
	for n := 1; n <= 20; n++ {
		w.propose(n%3, 1, fmt.Sprint("c", n))
		at := (n + 1) % 3
		out, err := w.hosts[at].Propose(t.Context(), 1, 0, []byte("?"))
		require.NoError(t, err)
		count := 0
		fmt.Sscan(string(out), &count)
		require.GreaterOrEqual(t, count, n)
	}
	for i := range w.hosts {
		require.NotContains(t, w.lines(i, 1), "?")
	}
}

// A daemon that is about to stop transfers its leadership while it is still running.
func TestStepDownTransfersLeadership(t *testing.T) {
	w := newCluster(t, 3, 4)
	w.awaitLeaders()
	for i := range w.hosts {
		w.propose(i, 1, "before")
	}
	w.hosts[0].StepDown()
	w.await("n0 leads no group, and the others lead all", func() bool {
		for g := range w.groups {
			_, _, mine := w.hosts[0].Lease(g)
			_, _, one := w.hosts[1].Lease(g)
			_, _, two := w.hosts[2].Lease(g)
			if mine || !one && !two {
				return false
			}
		}
		return true
	})
	w.propose(0, 1, "after")
}
