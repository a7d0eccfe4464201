package members

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

var start = time.Unix(1_700_000_000, 0)

// fleet simulates dispatchers in virtual time, with a faulty network and a faulty discovery service.
type fleet struct {
	now             time.Time
	rng             *rand.Rand
	nodes           []*node
	service         dispatch.InstanceUpdate
	down            bool
	cut             func(a, b string) bool // drops messages
	cutOff          func(string) bool      // cut off from discovery
	membershipStuck bool                   // the membership does not notice dispatchers that die or are paused
	messages        []message
	calls           int
}

type node struct {
	*State
	name, zone     string
	stopped, alive bool
	watch          bool
	appliedVersion ListVersion
	status         WatchStatus
	table          dispatch.InstanceList
	logLines       []string
}

type message struct {
	at      time.Time
	to      string
	deliver func(*node)
}

func newFleet(seed uint64, n, zones int) *fleet {
	f := &fleet{now: start, rng: rand.New(rand.NewPCG(seed, 1)), cut: func(string, string) bool { return false }, cutOff: func(string) bool { return false }}
	for i := range n {
		d := &node{name: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones), alive: true}
		d.State = New(Config{Name: d.name, Zone: d.zone, Watchers: 2, FanOut: 4, Expected: n}, f.now)
		f.nodes = append(f.nodes, d)
	}
	f.publish(8)
	return f
}

// publish sets discovery's list to a number of encoders, with the next revision.
func (f *fleet) publish(encoders int) {
	f.service = dispatch.InstanceUpdate{Revision: f.service.Revision + 1, Complete: true}
	for i := range encoders {
		f.service.Instances = append(f.service.Instances, dispatch.Instance{ID: fmt.Sprint("s-", i), State: decide.Ready})
	}
	for _, d := range f.nodes {
		if d.watch && !f.cutOff(d.name) {
			f.deliverList(d)
		}
	}
}

func (f *fleet) deliverList(d *node) {
	if !d.stopped && d.alive {
		d.WatchUpdate(f.now, f.service)
		f.perform(d)
	}
}

func (f *fleet) send(from, to string, deliver func(*node)) {
	if !f.cut(from, to) {
		f.messages = append(f.messages, message{f.now.Add(time.Duration(1+f.rng.IntN(20)) * time.Millisecond), to, deliver})
	}
}

func (f *fleet) perform(d *node) {
	for _, a := range d.Actions() {
		switch a := a.(type) {
		case Send:
			f.send(d.name, a.To, func(to *node) { to.HandleUpdate(f.now, d.name, a.Update) })
		case Ack:
			f.send(d.name, a.To, func(to *node) { to.HandleAck(d.name, a.Source, a.Version) })
		case RequestList:
			f.send(d.name, a.To, func(to *node) { to.ListRequested(f.now, d.name) })
		case SetWatch:
			if d.watch = a.Watch; !a.Watch {
				continue
			}
			f.calls++
			if d.watch = !f.down && !f.cutOff(d.name); d.watch {
				f.messages = append(f.messages, message{f.now.Add(5 * time.Millisecond), d.name, func(d *node) { d.WatchUpdate(f.now, f.service) }})
			} else {
				f.messages = append(f.messages, message{f.now.Add(5 * time.Millisecond), d.name, func(d *node) { d.WatchLost(f.now) }})
			}
		case ApplyList:
			d.table.Update(a.InstanceUpdate)
			d.appliedVersion = d.version
		case ShowStatus:
			d.status = a.Watch
		case LogLine:
			d.logLines = append(d.logLines, a.Text)
		}
	}
}

// run lets time pass. The membership reports living and reachable dispatchers with a delay of 300 ms.
func (f *fleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		slices.SortStableFunc(f.messages, func(a, b message) int { return a.at.Compare(b.at) })
		for len(f.messages) > 0 && !f.messages[0].at.After(f.now) {
			l := f.messages[0]
			f.messages = f.messages[1:]
			i := slices.IndexFunc(f.nodes, func(d *node) bool { return d.name == l.to })
			if d := f.nodes[i]; d.alive && d.stopped { // it reads messages once it is resumed
				f.messages = append(f.messages, message{f.now.Add(time.Second), l.to, l.deliver})
			} else if d.alive {
				l.deliver(d)
				f.perform(d)
			}
		}
		step := f.now.Sub(start) / (10 * time.Millisecond)
		for i, d := range f.nodes {
			if !d.alive || d.stopped || (int(step)+i)%5 != 0 {
				continue
			}
			if (int(step)+i)%30 == 0 {
				var all []Peer
				for _, p := range f.nodes {
					if p != d && (p.alive && !p.stopped || f.membershipStuck) && !f.cut(p.name, d.name) {
						all = append(all, Peer{Name: p.name, Zone: p.zone, Watch: p.status})
					}
				}
				d.SetPeers(f.now, all)
			}
			if d.watch && f.cutOff(d.name) {
				d.watch = false
				d.WatchLost(f.now)
			} else if d.watch && int(step)%100 == 0 {
				d.WatchAlive(f.now)
			}
			d.Tick(f.now)
			f.perform(d)
		}
	}
}

func (f *fleet) watchers(zone string) (n int) {
	for _, d := range f.nodes {
		if d.watch && d.alive && d.zone == zone {
			n++
		}
	}
	return n
}

func (f *fleet) requireAgreement(t require.TestingT) {
	for _, d := range f.nodes {
		if d.alive && !d.stopped {
			require.Equal(t, f.service.Revision, d.appliedVersion.Revision, "%s (%v) %v", d.name, d.watch, d.logLines)
			require.Len(t, d.table.Instances(), len(f.service.Instances), d.name)
		}
	}
}

// Checks that a few dispatchers of each zone watch, that all others receive every update, and that dead watchers are replaced.
func TestFewWatchersInformAll(t *testing.T) {
	f := newFleet(1, 90, 3)
	f.run(3 * time.Second)
	f.requireAgreement(t)
	require.LessOrEqual(t, f.calls, 12)
	for _, zone := range []string{"z0", "z1", "z2"} {
		require.Equal(t, 2, f.watchers(zone))
	}
	f.publish(9)
	f.run(200 * time.Millisecond)
	f.requireAgreement(t)
	for _, d := range f.nodes {
		d.alive = !d.watch // all watchers die at once
	}
	f.run(3 * time.Second)
	f.publish(10)
	f.run(250 * time.Millisecond)
	f.requireAgreement(t)
	require.Equal(t, 2, f.watchers("z0"))
	require.LessOrEqual(t, f.calls, 24)
}

// Requires that killed watchers are replaced before the membership notices: a response that names a dead watcher as its
// source must not count as a heartbeat of that watcher.
func TestDeadWatchersAreReplacedBeforeTheMembershipNotices(t *testing.T) {
	for seed := range uint64(20) {
		for _, size := range []int{8, 60} {
			f := newFleet(seed, size, 2)
			f.run(3 * time.Second)
			f.membershipStuck = true
			for _, d := range f.nodes {
				d.alive = !d.watch || d.zone != "z0"
			}
			f.run(watcherTimeout + requestInterval)
			require.Equal(t, 2, f.watchers("z0"), "seed %d, %d dispatchers", seed, size)
			f.publish(9)
			f.run(500 * time.Millisecond)
			f.requireAgreement(t)
		}
	}
}

// Checks that watchers without a connection to discovery are replaced, and that one that was suspended gets the newer list.
func TestWatchersWithoutDiscoveryAreReplaced(t *testing.T) {
	f := newFleet(2, 30, 2)
	f.run(3 * time.Second)
	var off []string
	for _, d := range f.nodes {
		if d.watch && d.zone == "z0" {
			off = append(off, d.name)
		} else if d.watch {
			d.stopped = true
		}
	}
	f.cutOff = func(name string) bool { return slices.Contains(off, name) }
	f.run(7 * time.Second)
	f.publish(3)
	f.run(300 * time.Millisecond)
	f.requireAgreement(t)
	for _, d := range f.nodes {
		d.stopped = false
	}
	f.cutOff = func(string) bool { return false }
	f.run(5 * time.Second)
	f.requireAgreement(t)
	require.Equal(t, 2, f.watchers("z0"))
	require.Equal(t, 2, f.watchers("z1"))
	f.down = true
	for _, d := range f.nodes {
		if d.watch {
			d.watch = false
			d.WatchLost(f.now)
		}
	}
	before := f.calls
	f.run(10 * time.Second)
	require.Less(t, f.calls-before, 120, "an outage is not made worse by all of them in turn")
	f.down = false
	f.service.Revision++
	f.run(7 * time.Second)
	f.requireAgreement(t)
}

// Checks that a list that lacks half of the instances, an empty one, one from the future and one of an impossible revision change
// nothing and that their senders are ignored, and that what two watchers report is accepted.
func TestImplausibleListsAreRejected(t *testing.T) {
	f := newFleet(3, 6, 1)
	f.run(3 * time.Second)
	d := f.nodes[0]
	good := Update{Source: "n1", Version: ListVersion{0, 2}, ReceivedAt: f.now, Complete: true, Instances: f.service.Instances}
	for i, corrupt := range []func(*Update){
		func(w *Update) { w.Instances = nil },
		func(w *Update) { w.ReceivedAt = f.now.Add(time.Minute) },
		func(w *Update) { w.Version.Revision = 1 << 40 },
		func(w *Update) { w.Source = "" },
	} {
		invalid := good
		corrupt(&invalid)
		from := fmt.Sprint("x", i)
		d.HandleUpdate(f.now, from, invalid)
		d.HandleUpdate(f.now, from, good)
		require.Equal(t, ListVersion{0, 1}, d.version, i)
		require.Len(t, d.logLines, 0)
		f.perform(d)
		require.Len(t, d.logLines, 1, "logged once")
		d.logLines = nil
	}
	half := good
	half.Instances = half.Instances[:3]
	d.HandleUpdate(f.now, "x8", half)
	d.HandleUpdate(f.now, "x8", half)
	require.Equal(t, ListVersion{0, 1}, d.version)
	f.perform(d)
	require.Len(t, d.logLines, 1)
	d.logLines = nil
	half.Source = "n2"
	d.HandleUpdate(f.now, "x8", half)
	require.Equal(t, ListVersion{0, 2}, d.version, "another watcher reports it, too")
	d.UnreadableMessage(f.now, "n3", fmt.Errorf("garbage"))
	d.UnreadableMessage(f.now, "n3", fmt.Errorf("garbage"))
	f.perform(d)
	require.Len(t, d.logLines, 1)
}

// Checks that only watchers connect when discovery moves to a server with lower revisions, and that all accept its list at once.
func TestDiscoveryMoves(t *testing.T) {
	f := newFleet(5, 40, 2)
	f.service.Revision = 99
	f.publish(8)
	f.run(3 * time.Second)
	f.service.Revision = 2
	before := f.calls
	for _, d := range f.nodes {
		d.DiscoveryMoved()
		if d.shouldWatch { // its watch ends, and it connects to the new address
			d.WatchLost(f.now)
		} else {
			require.Contains(t, d.actions, Action(SetWatch{false}), d.name)
		}
		f.perform(d)
	}
	f.run(time.Second)
	f.requireAgreement(t)
	require.LessOrEqual(t, f.calls-before, 8)
	require.Equal(t, 2, f.watchers("z0"))
	for _, d := range f.nodes {
		require.False(t, d.addressChanged && d.watch)
		require.EqualValues(t, 1, d.version.Term, d.name)
	}
}

// Checks that an older list of discovery is not accepted at once, but is once discovery goes on reporting it.
func TestOlderListFromDiscovery(t *testing.T) {
	f := newFleet(4, 8, 1)
	f.service.Revision = 99
	f.publish(8)
	f.run(3 * time.Second)
	f.service.Revision = 4
	for _, d := range f.nodes {
		if d.watch {
			f.deliverList(d)
		}
	}
	f.run(time.Second)
	require.EqualValues(t, 100, f.nodes[0].version.Revision)
	for range 30 {
		for _, d := range f.nodes {
			if d.watch {
				f.deliverList(d)
			}
		}
		f.run(time.Second)
	}
	f.requireAgreement(t)
	require.EqualValues(t, 1, f.nodes[0].version.Term)
}

// Checks that after any deaths, pauses and partitions all dispatchers have the last list and only a few watch.
func TestAnyFaultsHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "dispatchers")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), n, rapid.IntRange(1, 3).Draw(t, "zones"))
		for range rapid.IntRange(0, 6).Draw(t, "steps") {
			some := func(what string) func(string) bool {
				who := map[string]bool{}
				for _, i := range rapid.SliceOfN(rapid.IntRange(0, n-1), 0, n).Draw(t, what) {
					who[f.nodes[i].name] = true
				}
				return func(name string) bool { return who[name] }
			}
			side, cutOff, paused := some("side"), some("off"), some("paused")
			f.cut = func(a, b string) bool { return side(a) != side(b) }
			f.cutOff = cutOff
			for _, d := range f.nodes {
				d.stopped = paused(d.name)
			}
			f.run(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond)
			f.publish(rapid.IntRange(5, 9).Draw(t, "encoders"))
		}
		f.cut, f.cutOff = func(string, string) bool { return false }, func(string) bool { return false }
		for _, d := range f.nodes {
			d.stopped = false
		}
		f.run(45 * time.Second)
		f.publish(8)
		f.run(time.Second)
		f.requireAgreement(t)
		for _, d := range f.nodes {
			require.LessOrEqual(t, f.watchers(d.zone), 2)
			require.GreaterOrEqual(t, f.watchers(d.zone), 1)
		}
	})
}
