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

// fleet is dispatchers in virtual time, with a network and a list service between them that have faults.
type fleet struct {
	now      time.Time
	rng      *rand.Rand
	nodes    []*node
	service  dispatch.InstanceUpdate
	down     bool
	cut      func(a, b string) bool // messages are lost
	unserved func(string) bool      // cut off from the list service
	unseen   bool                   // the membership does not notice who dies or is stopped
	mail     []letter
	calls    int
}

type node struct {
	*State
	name, zone     string
	stopped, alive bool
	watch          bool
	told           Mark
	shows          Watch
	table          dispatch.InstanceList
	notes          []string
}

type letter struct {
	at   time.Time
	to   string
	open func(*node)
}

func newFleet(seed uint64, n, zones int) *fleet {
	f := &fleet{now: start, rng: rand.New(rand.NewPCG(seed, 1)), cut: func(string, string) bool { return false }, unserved: func(string) bool { return false }}
	for i := range n {
		d := &node{name: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones), alive: true}
		d.State = New(Config{Name: d.name, Zone: d.zone, Watchers: 2, FanOut: 4, Expected: n}, f.now)
		f.nodes = append(f.nodes, d)
	}
	f.publish(8)
	return f
}

// publish has the service's list be of so many encoders, at the next revision.
func (f *fleet) publish(encoders int) {
	f.service = dispatch.InstanceUpdate{Revision: f.service.Revision + 1, Complete: true}
	for i := range encoders {
		f.service.Instances = append(f.service.Instances, dispatch.Instance{ID: fmt.Sprint("s-", i), State: decide.Ready})
	}
	for _, d := range f.nodes {
		if d.watch && !f.unserved(d.name) {
			f.hear(d)
		}
	}
}

func (f *fleet) hear(d *node) {
	if !d.stopped && d.alive {
		d.Heard(f.now, f.service)
		f.act(d)
	}
}

func (f *fleet) post(from, to string, open func(*node)) {
	if !f.cut(from, to) {
		f.mail = append(f.mail, letter{f.now.Add(time.Duration(1+f.rng.IntN(20)) * time.Millisecond), to, open})
	}
}

func (f *fleet) act(d *node) {
	for _, a := range d.Did() {
		switch a := a.(type) {
		case Say:
			f.post(d.name, a.To, func(to *node) { to.Told(f.now, d.name, a.Told) })
		case Ack:
			f.post(d.name, a.To, func(to *node) { to.Acked(d.name, a.Source, a.Mark) })
		case Ask:
			f.post(d.name, a.To, func(to *node) { to.Asked(f.now, d.name) })
		case Keep:
			if d.watch = a.Watch; !a.Watch {
				continue
			}
			f.calls++
			if d.watch = !f.down && !f.unserved(d.name); d.watch {
				f.mail = append(f.mail, letter{f.now.Add(5 * time.Millisecond), d.name, func(d *node) { d.Heard(f.now, f.service) }})
			} else {
				f.mail = append(f.mail, letter{f.now.Add(5 * time.Millisecond), d.name, func(d *node) { d.Lost(f.now) }})
			}
		case Take:
			d.table.Update(a.InstanceUpdate)
			d.told = d.mark
		case Show:
			d.shows = a.Watch
		case Note:
			d.notes = append(d.notes, a.Text)
		}
	}
}

// run lets so much time pass. The membership tells who lives and is reached, 300 ms late.
func (f *fleet) run(long time.Duration) {
	for end := f.now.Add(long); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		slices.SortStableFunc(f.mail, func(a, b letter) int { return a.at.Compare(b.at) })
		for len(f.mail) > 0 && !f.mail[0].at.After(f.now) {
			l := f.mail[0]
			f.mail = f.mail[1:]
			i := slices.IndexFunc(f.nodes, func(d *node) bool { return d.name == l.to })
			if d := f.nodes[i]; d.alive && d.stopped { // it reads once it is woken
				f.mail = append(f.mail, letter{f.now.Add(time.Second), l.to, l.open})
			} else if d.alive {
				l.open(d)
				f.act(d)
			}
		}
		turn := f.now.Sub(start) / (10 * time.Millisecond)
		for i, d := range f.nodes {
			if !d.alive || d.stopped || (int(turn)+i)%5 != 0 {
				continue
			}
			if (int(turn)+i)%30 == 0 {
				var all []Peer
				for _, p := range f.nodes {
					if p != d && (p.alive && !p.stopped || f.unseen) && !f.cut(p.name, d.name) {
						all = append(all, Peer{Name: p.name, Zone: p.zone, Watch: p.shows})
					}
				}
				d.Living(f.now, all)
			}
			if d.watch && f.unserved(d.name) {
				d.watch = false
				d.Lost(f.now)
			} else if d.watch && int(turn)%100 == 0 {
				d.Alive(f.now)
			}
			d.Tick(f.now)
			f.act(d)
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

func (f *fleet) agree(t require.TestingT) {
	for _, d := range f.nodes {
		if d.alive && !d.stopped {
			require.Equal(t, f.service.Revision, d.told.Revision, "%s (%v) %v", d.name, d.watch, d.notes)
			require.Len(t, d.table.Instances(), len(f.service.Instances), d.name)
		}
	}
}

// A few of each zone watch, all others are told by them, also of what changes; whoever dies is replaced.
func TestFewWatchAndAllAreTold(t *testing.T) {
	f := newFleet(1, 90, 3)
	f.run(3 * time.Second)
	f.agree(t)
	require.LessOrEqual(t, f.calls, 12)
	for _, zone := range []string{"z0", "z1", "z2"} {
		require.Equal(t, 2, f.watchers(zone))
	}
	f.publish(9)
	f.run(200 * time.Millisecond)
	f.agree(t)
	for _, d := range f.nodes {
		d.alive = !d.watch // all watchers die at once
	}
	f.run(3 * time.Second)
	f.publish(10)
	f.run(250 * time.Millisecond)
	f.agree(t)
	require.Equal(t, 2, f.watchers("z0"))
	require.LessOrEqual(t, f.calls, 24)
}

// Watchers that were killed were waited for as long as the membership had not noticed: those who missed their word asked
// each other, and each answer, which named the dead as its source, counted as a sign of life of theirs.
func TestDeadWatchersAreReplacedBeforeTheMembershipNotices(t *testing.T) {
	for seed := range uint64(20) {
		for _, size := range []int{8, 60} {
			f := newFleet(seed, size, 2)
			f.run(3 * time.Second)
			f.unseen = true
			for _, d := range f.nodes {
				d.alive = !d.watch || d.zone != "z0"
			}
			f.run(silentAfter + askEvery)
			require.Equal(t, 2, f.watchers("z0"), "seed %d, %d dispatchers", seed, size)
			f.publish(9)
			f.run(500 * time.Millisecond)
			f.agree(t)
		}
	}
}

// Whoever cannot reach the service is replaced, also by those it does not know to be worse; one that slept is told.
func TestWatchersThatCannot(t *testing.T) {
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
	f.unserved = func(name string) bool { return slices.Contains(off, name) }
	f.run(7 * time.Second)
	f.publish(3)
	f.run(300 * time.Millisecond)
	f.agree(t)
	for _, d := range f.nodes {
		d.stopped = false
	}
	f.unserved = func(string) bool { return false }
	f.run(5 * time.Second)
	f.agree(t)
	require.Equal(t, 2, f.watchers("z0"))
	require.Equal(t, 2, f.watchers("z1"))
	f.down = true
	for _, d := range f.nodes {
		if d.watch {
			d.watch = false
			d.Lost(f.now)
		}
	}
	before := f.calls
	f.run(10 * time.Second)
	require.Less(t, f.calls-before, 120, "an outage is not made worse by all of them in turn")
	f.down = false
	f.service.Revision++
	f.run(7 * time.Second)
	f.agree(t)
}

// Half a list, an empty one, one from the future and one of an impossible revision change nothing, and whoever tells
// them is not listened to; what two watchers say is believed.
func TestNonsenseIsNotBelieved(t *testing.T) {
	f := newFleet(3, 6, 1)
	f.run(3 * time.Second)
	d := f.nodes[0]
	good := Told{Source: "n1", Mark: Mark{0, 2}, Heard: f.now, Whole: true, Members: f.service.Instances}
	for i, spoil := range []func(*Told){
		func(w *Told) { w.Members = nil },
		func(w *Told) { w.Heard = f.now.Add(time.Minute) },
		func(w *Told) { w.Mark.Revision = 1 << 40 },
		func(w *Told) { w.Source = "" },
	} {
		bad := good
		spoil(&bad)
		from := fmt.Sprint("x", i)
		d.Told(f.now, from, bad)
		d.Told(f.now, from, good)
		require.Equal(t, Mark{0, 1}, d.mark, i)
		require.Len(t, d.notes, 0)
		f.act(d)
		require.Len(t, d.notes, 1, "one line")
		d.notes = nil
	}
	half := good
	half.Members = half.Members[:3]
	d.Told(f.now, "x8", half)
	d.Told(f.now, "x8", half)
	require.Equal(t, Mark{0, 1}, d.mark)
	f.act(d)
	require.Len(t, d.notes, 1)
	d.notes = nil
	half.Source = "n2"
	d.Told(f.now, "x8", half)
	require.Equal(t, Mark{0, 2}, d.mark, "another watcher says so too")
	d.Garbage(f.now, "n3", fmt.Errorf("garbage"))
	d.Garbage(f.now, "n3", fmt.Errorf("garbage"))
	f.act(d)
	require.Len(t, d.notes, 1)
}

// The list service is elsewhere, at lower revisions: only those that watch call there, and all go over to it at once.
func TestListServiceMoves(t *testing.T) {
	f := newFleet(5, 40, 2)
	f.service.Revision = 99
	f.publish(8)
	f.run(3 * time.Second)
	f.service.Revision = 2
	before := f.calls
	for _, d := range f.nodes {
		d.Moved()
		if d.wants { // its watch ends, and it calls at the new address
			d.Lost(f.now)
		} else {
			require.Contains(t, d.out, Action(Keep{false}), d.name)
		}
		f.act(d)
	}
	f.run(time.Second)
	f.agree(t)
	require.LessOrEqual(t, f.calls-before, 8)
	require.Equal(t, 2, f.watchers("z0"))
	for _, d := range f.nodes {
		require.False(t, d.moved && d.watch)
		require.EqualValues(t, 1, d.mark.Term, d.name)
	}
}

// A service that tells an older list is not believed at once; one that goes on doing so has begun anew.
func TestOlderListOfTheService(t *testing.T) {
	f := newFleet(4, 8, 1)
	f.service.Revision = 99
	f.publish(8)
	f.run(3 * time.Second)
	f.service.Revision = 4
	for _, d := range f.nodes {
		if d.watch {
			f.hear(d)
		}
	}
	f.run(time.Second)
	require.EqualValues(t, 100, f.nodes[0].mark.Revision)
	for range 30 {
		for _, d := range f.nodes {
			if d.watch {
				f.hear(d)
			}
		}
		f.run(time.Second)
	}
	f.agree(t)
	require.EqualValues(t, 1, f.nodes[0].mark.Term)
}

// Whatever dies, sleeps and is cut off meanwhile: once it is over all have the last list, by few watches.
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
			side, off, asleep := some("side"), some("off"), some("asleep")
			f.cut = func(a, b string) bool { return side(a) != side(b) }
			f.unserved = off
			for _, d := range f.nodes {
				d.stopped = asleep(d.name)
			}
			f.run(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond)
			f.publish(rapid.IntRange(5, 9).Draw(t, "encoders"))
		}
		f.cut, f.unserved = func(string, string) bool { return false }, func(string) bool { return false }
		for _, d := range f.nodes {
			d.stopped = false
		}
		f.run(45 * time.Second)
		f.publish(8)
		f.run(time.Second)
		f.agree(t)
		for _, d := range f.nodes {
			require.LessOrEqual(t, f.watchers(d.zone), 2)
			require.GreaterOrEqual(t, f.watchers(d.zone), 1)
		}
	})
}
