package rig_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"caperrelay/internal/members"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/link"
)

// view is what a daemon tells of itself and the others.
func (w *town) view(n int) (v members.View) {
	json.Unmarshal([]byte(w.Daemon(n).Ask("members")), &v)
	return v
}

// watchers are the daemons of a zone that watch, by their own word.
func (w *town) watchers(zone string) (all []int) {
	for n := range w.Daemons {
		if w.Zone(n) == zone && w.view(n).Watch == members.Watching.String() {
			all = append(all, n)
		}
	}
	return all
}

// settled waits until each zone has its two watchers, and nobody else has a watch open.
func (w *town) settled() {
	w.Helper()
	w.await("two watchers a zone", func() bool {
		return len(w.watchers("a")) == 2 && len(w.watchers("b")) == 2 && w.lists.Watches() == 4
	})
}

// leaves waits until daemons leave so many encoders out.
func (w *town) leaves(want int64, daemons ...int) {
	w.Helper()
	for _, n := range daemons {
		w.await(fmt.Sprintf("n%d leaves %d out", n, want), func() bool { return w.Daemon(n).Figure("skipped_encoders") == want })
	}
}

func (w *town) drain(encoder int) {
	w.Host.Encoders()[encoder].Drain()
	w.lists.Changed()
}

func all(n int, but ...int) (rest []int) {
	for i := range n {
		if !slices.Contains(but, i) {
			rest = append(rest, i)
		}
	}
	return rest
}

const town8 = 8

func talking(o *rig.Options) { o.Members = true }

// eight is a town whose daemons have started at once with no list, and serve.
func eight(t *testing.T) *town {
	w := founded(t, town8, time.Millisecond, talking)
	w.start(0, town8)
	w.serves(0, town8)
	w.settled()
	return w
}

// Eight daemons start at once with no list: two a zone watch, the others are told by them. All watchers of a zone are
// killed, and one of the other zone is stopped, which wakes believing that it watches: a drain is told all the same.
func TestPeersTellEachOther(t *testing.T) {
	w := eight(t)
	require.LessOrEqual(t, w.lists.Ledger().Calls, 12)
	w.drain(0)
	w.leaves(1, all(town8)...)

	killed := w.watchers("a")
	asleep := w.watchers("b")[0]
	for _, n := range killed {
		w.Daemon(n).Kill()
	}
	require.NoError(t, w.Daemon(asleep).Stop())
	w.await("others take over", func() bool { return len(w.watchers("a")) == 2 && len(w.watchers("b")) == 2 })
	w.drain(1)
	w.leaves(2, all(town8, append(killed, asleep)...)...)
	require.NoError(t, w.Daemon(asleep).Wake())
	w.leaves(2, asleep)
	for _, n := range killed {
		require.NoError(t, w.Daemon(n).Start())
	}
	w.serves(0, town8)
	w.settled()
	w.leaves(2, all(town8)...)
	w.rules()
}

// A watcher is cut off from the list service only, another from its peers only; then the zones from each other, while a
// drain is told on one side.
func TestMembersCutOff(t *testing.T) {
	w := eight(t)
	name := func(n int) string { return fmt.Sprint("n", n) }
	off := w.watchers("a")[0]
	w.net.Cut(true, []string{name(off)}, []string{"lists"})
	w.net.Reset(link.Way{From: name(off), To: "lists"})
	w.await("it is replaced, and told", func() bool {
		return len(w.watchers("a")) == 2 && !slices.Contains(w.watchers("a"), off)
	})
	w.drain(0)
	w.leaves(1, all(town8)...)
	w.net.Cut(false, []string{name(off)}, []string{"lists"})

	alone := w.watchers("b")[0]
	var others []string
	for _, n := range all(town8, alone) {
		others = append(others, name(n))
	}
	w.net.Cut(true, []string{name(alone)}, others)
	w.await("another takes over", func() bool { return len(w.watchers("b")) == 3 })
	w.drain(1)
	w.leaves(2, all(town8)...) // the one alone too: it watches for itself
	w.net.Cut(false, []string{name(alone)}, others)
	w.settled()

	// zone b hears of nothing while it is cut off from the list service and from a, and all of it once that heals
	var a, b []string
	for n := range town8 {
		if w.Zone(n) == "a" {
			a = append(a, name(n))
		} else {
			b = append(b, name(n))
		}
	}
	w.net.Cut(true, b, append(a, "lists"))
	w.drain(2)
	w.leaves(3, 0, 2, 4, 6)
	for _, n := range []int{1, 3, 5, 7} {
		require.EqualValues(t, 2, w.Daemon(n).Figure("skipped_encoders"))
	}
	w.net.Cut(false, b, append(a, "lists"))
	w.leaves(3, all(town8)...)
	w.settled()
	w.rules()
}

// Datagrams are lost, doubled and late, and connections slow, while a second cold start falls into the first at a list
// service that takes one call at a time; then a dispatcher is told an older list than the others.
func TestMembersInBadWeather(t *testing.T) {
	w := founded(t, town8, 40*time.Millisecond, talking)
	for i := range town8 {
		for j := range town8 {
			if i != j {
				w.net.Set(link.Way{From: fmt.Sprint("n", i), To: fmt.Sprint("n", j)}, link.Weather{
					Delay: 2 * time.Millisecond, Tail: 3 * time.Millisecond, Loss: 0.2, Duplicate: 0.1, Reorder: 0.1,
				})
			}
		}
	}
	w.start(0, town8)
	w.await("some have it", func() bool { n, _ := w.lists.Told(); return n > 0 })
	w.Each(0, 5, (*rig.Daemon).Kill)
	w.start(0, 5)
	w.serves(0, town8)
	w.settled()
	w.drain(0)
	w.leaves(1, all(town8)...)

	// the service answers one of the watchers as from an older copy, and that one's watch begins anew
	behind := w.watchers("a")[0]
	w.lists.Differ(fmt.Sprint("n", behind), func(text []byte) []byte {
		var l map[string]any
		require.NoError(t, json.Unmarshal(text, &l))
		l["revision"] = 0
		for _, m := range l["members"].([]any) {
			m.(map[string]any)["phase"] = "in_service"
		}
		old, err := json.Marshal(l)
		require.NoError(t, err)
		return old
	})
	w.net.Reset(link.Way{From: fmt.Sprint("n", behind), To: "lists"})
	w.drain(1)
	w.leaves(2, all(town8)...)
	w.serves(0, town8)
	w.rules()
}

// A stranger among them tells garbage, half a list and a revision from the future; then the list service itself tells
// some an older list. All keep the last good one.
func TestNobodyIsMisled(t *testing.T) {
	w := eight(t)
	c := memberlist.DefaultLocalConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertisePort, c.LogOutput = "stranger", "127.0.0.1", 0, 0, os.Stderr
	if !testing.Verbose() {
		c.LogOutput = devNull{}
	}
	stranger, err := memberlist.Create(c)
	require.NoError(t, err)
	t.Cleanup(func() { stranger.Shutdown() })
	own := w.Members0()
	_, err = stranger.Join([]string{"n0/" + own})
	require.NoError(t, err)
	v := w.view(0)
	list := fmt.Sprintf(`{"told":{"Source":"stranger","Mark":{"Term":0,"Revision":%d},"Heard":%q,"Whole":true,"Members":[`, v.Revision+1, time.Now().Format(time.RFC3339Nano))
	for i, text := range []string{
		"stranger\n{", "\n", strings.Repeat("x", 4000), "stranger\n" + list + "]}}", "stranger\n" + list + `{"ID":"s-77"}]}}`,
		"stranger\n" + strings.Replace(list, fmt.Sprint(v.Revision+1), "888888888888", 1) + "]}}",
	} {
		for _, n := range stranger.Members() {
			if n.Name != "stranger" {
				require.NoError(t, stranger.SendReliable(n, []byte(text)), i)
			}
		}
	}
	w.await("it is not listened to", func() bool { return slices.Contains(w.view(0).Distrusted, "stranger") })
	w.drain(0)
	w.leaves(1, all(town8)...)
	require.EqualValues(t, 3, w.Daemon(0).Figure("known_encoders"))
	w.rules()
}

// All machines go off together. Back without a list service they serve by their snapshots, and leave out whom people
// left out; one whose snapshot is torn, or another program's, starts as ever.
func TestSnapshots(t *testing.T) {
	w := founded(t, 4, time.Millisecond, func(o *rig.Options) { o.Snapshots = true })
	w.start(0, 4)
	w.told(4)
	w.serves(0, 4)
	id := w.Host.Encoders()[0].ID()
	for n := range 4 {
		require.Equal(t, "OK\n", w.Daemon(n).Ask("cordon "+id))
		before := w.Daemon(n).Figure("snapshot.written")
		w.await("a snapshot of it", func() bool { return w.Daemon(n).Figure("snapshot.written") > before+1 })
	}
	w.lists.Down(true)
	w.Each(0, 4, (*rig.Daemon).Kill)
	lost, err := filepath.Glob(filepath.Join(w.Dir, "*.cordons"))
	require.NoError(t, err)
	require.NotEmpty(t, lost)
	for _, path := range lost { // with the machine's temporary files
		require.NoError(t, os.Remove(path))
	}
	text, err := os.ReadFile(w.Daemon(1).Snapshot())
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(w.Daemon(1).Snapshot(), text[:6000], 0o600))
	require.NoError(t, os.WriteFile(w.Daemon(2).Snapshot(), []byte("of another program"), 0o600))
	require.NoError(t, os.WriteFile(w.Daemon(3).Snapshot(), text, 0o600)) // n1's
	w.lists.Begin()
	w.start(0, 4)
	w.serves(0, 1)
	w.leaves(1, 0)
	w.await("each has asked in vain", func() bool { return w.asked(0, 4) })
	for n := 1; n < 4; n++ {
		require.Equal(t, 503, w.job(n, "preview"), "it knows no encoder")
	}
	w.lists.Down(false)
	w.serves(0, 4)
	for n := range 4 {
		before := w.Daemon(n).Figure("snapshot.written")
		w.await("it writes a snapshot again", func() bool { return w.Daemon(n).Figure("snapshot.written") > before })
	}
	w.rules()
}

type devNull struct{}

func (devNull) Write(b []byte) (int, error) { return len(b), nil }
