package rig_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// whole waits until daemons, as they are now, are all that votes, and each does.
func (w *sworn) whole(daemons ...int) {
	w.Helper()
	w.await(fmt.Sprint(daemons, " vote"), func() bool {
		var want []string
		for _, n := range daemons {
			want = append(want, w.voter(n))
		}
		slices.Sort(want)
		for _, n := range daemons {
			v := w.record(n)
			if len(v.Groups) == 0 {
				return false
			}
			for _, g := range v.Groups {
				if !g.Released || g.Halted || len(g.Learners) > 0 || !slices.Equal(g.Voters, want) {
					return false
				}
			}
		}
		return true
	})
}

// jobs hands some in, of each class, the encoders of which call back a daemon.
func (w *sworn) jobs(prefix string, via int) {
	w.Helper()
	for i := range 4 {
		w.promise(fmt.Sprint(prefix, "-", i), []string{"preview", "publish"}[i%2], 20*time.Millisecond, 30*time.Second, via)
	}
}

func (w *sworn) starts(daemons ...int) {
	w.Helper()
	for _, n := range daemons {
		require.NoError(w, w.Daemon(n).Start())
	}
}

// Two of five machines are lost in turn, each time the one that acts and with its disk, and come back as others in
// between; all that was promised on the way is kept.
func TestTwoOfFiveLostInTurn(t *testing.T) {
	w := swear(t, true)
	for round := range 2 {
		n := w.owner()
		w.jobs(fmt.Sprint("before-", round), (n+1)%five)
		old := w.voter(n)
		w.loses(n)
		w.jobs(fmt.Sprint("meanwhile-", round), (n+1)%five)
		w.starts(n)
		w.whole(all(five)...)
		require.NotEqual(t, old, w.voter(n))
	}
	w.kept()
}

// Three of five are lost, and people give them up as the page says. Then the three come back with their disks, a
// majority of old: they are not listened to, and come to the record as others.
func TestLostMajorityIsRepaired(t *testing.T) {
	w := swear(t, true)
	left, lost := []int{0, 1}, []int{2, 3, 4}
	w.jobs("before", 0)
	w.kept()
	w.await("who is left has heard of all", func() bool {
		applied := func(n int) uint64 { return w.record(n).Groups[1].Applied }
		return applied(0) == applied(w.owner()) && applied(1) == applied(0)
	})
	var old []string
	for _, n := range lost {
		old = append(old, w.voter(n))
		w.Daemon(n).Kill()
	}
	for _, n := range left {
		w.Daemon(n).Kill()
		text, err := os.ReadFile(w.Daemon(n).File())
		require.NoError(t, err)
		repaired := strings.Replace(string(text), "[promises]\n", "[promises]\nrepair = 1\nsurvivors = [\"n0\", \"n1\"]\n", 1)
		require.NotEqual(t, string(text), repaired)
		require.NoError(t, os.WriteFile(w.Daemon(n).File(), []byte(repaired), 0o600))
	}
	w.starts(left...)
	w.jobs("repaired", 0)
	w.starts(lost...)
	w.whole(all(five)...)
	for i, n := range lost {
		require.NotEqual(t, old[i], w.voter(n))
		require.NotEmpty(t, w.record(n).Refused)
	}
	w.jobs("after", 0)
	w.kept()
}

// The disk of whoever acts takes no more in the middle of receipts: another acts, and with room again it is who it was.
func TestDiskFullWhereItActs(t *testing.T) {
	w := swear(t, true)
	n := w.owner()
	w.jobs("before", (n+1)%five)
	before := w.voter(n)
	require.NoError(t, unix.Prlimit(w.Daemon(n).Pid(), unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 8 << 10, Max: unix.RLIM_INFINITY}, nil))
	w.jobs("meanwhile", (n+1)%five)
	w.await("it says so", func() bool { return w.record(n).Fault != "" })
	w.await("another acts", func() bool { return w.owner() != n })
	w.Daemon(n).Kill()
	w.starts(n)
	w.whole(all(five)...)
	require.Equal(t, before, w.voter(n))
	require.Empty(t, w.record(n).Refused)
	w.kept()
}

// A disk as it was a while ago is put back: its daemon does not vote by it and comes back as another.
func TestOldDiskIsPutBack(t *testing.T) {
	w := swear(t, true)
	n := (w.owner() + 1) % five
	db := filepath.Join(w.disk(n), "replicas.db")
	w.jobs("before", w.owner())
	w.Daemon(n).Kill()
	copied, err := os.ReadFile(db)
	require.NoError(t, err)
	w.starts(n)
	w.whole(all(five)...)
	written := w.Daemon(n).Figure("replicas.written")
	w.jobs("after", w.owner())
	w.kept()
	w.await("others have heard how much it holds", func() bool { return w.Daemon(n).Figure("replicas.written") > written+8 })
	<-time.After(2 * time.Second) // the page says: about one
	before := w.voter(n)
	w.Daemon(n).Kill()
	require.NoError(t, os.WriteFile(db, copied, 0o600))
	w.starts(n)
	w.whole(all(five)...)
	require.NotEqual(t, before, w.voter(n))
	require.Contains(t, w.record(n).Refused, "old copy")
	w.kept()
}

// While a lost daemon's replica is learnt anew, who acts is cut off from the newcomer, then from all but one.
func TestMovedDuringACut(t *testing.T) {
	w := swear(t, true)
	n := w.owner()
	m := (n + 1) % five
	w.jobs("before", (n+2)%five)
	w.loses(m)
	name := func(ns ...int) (all []string) {
		for _, n := range ns {
			all = append(all, fmt.Sprint("n", n))
		}
		return all
	}
	w.net.Cut(true, name(n), name(m))
	w.starts(m)
	w.jobs("meanwhile", (n+2)%five)
	w.net.Cut(true, name(n), name(all(five, n, (n+2)%five)...))
	w.await("another acts", func() bool {
		return slices.ContainsFunc(all(five, n), func(n int) bool { return w.Daemon(n).Figure("promise.groups_acted_for") > 0 })
	})
	w.jobs("cut", (n+2)%five)
	w.net.Cut(false, name(n), name(all(five, n)...))
	w.whole(all(five)...)
	w.kept()
	require.NotEmpty(t, w.net.Timeline())
}
