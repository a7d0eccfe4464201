package gang

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// The same verdict every time, unless told otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("20261202")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == "100" { // each is minutes of virtual time
		f.Value.Set("15")
	}
	os.Exit(m.Run())
}

const epoch = 1_700_000_000 * time.Second

// simulation is groups with their logs, coordinators that come and go, dispatchers with clocks of their own, encoders, and a
// network with faults, in virtual time. Daemon i leads group i and those whose daemons are down.
type simulation struct {
	t require.TestingT
	*rand.Rand
	now        time.Duration
	groups     []*Machine
	daemons    []*daemon
	encoders   []Encoder
	lenders    map[string]AccountLocation
	events     []event
	loss       float64
	cutLinks   map[[2]int]bool    // from one daemon to another
	runs       map[string]*jobRun // by key
	sent       map[string]int     // by gang and member: how often
	killed     map[string]bool    // gangs a dispatcher of which died around the start: nobody can call its members off
	stats      map[string]int
	worstSkew  time.Duration
	specs      map[string]Spec
	maxOverrun time.Duration // by which members run longer than they said, at most
	lentCap    int           // of slots lent, checked by what runs; 0: it is not
}

type daemon struct {
	n    int
	name string
	up   bool
	*Coordinator
	*Starter
	offset time.Duration
	rate   float64
	clock  string
}

type jobRun struct {
	gang      string
	round     uint64
	member    int
	encoder   string
	at, until time.Duration
	slots     int
}

type event struct {
	at time.Duration
	do func()
}

func (d *daemon) time(now time.Duration) time.Duration {
	return now + d.offset + time.Duration(float64(now-epoch)*d.rate)
}

func newSimulation(t require.TestingT, seed uint64, groups, daemons, encoders int) *simulation {
	w := &simulation{
		t: t, Rand: rand.New(rand.NewPCG(seed, 7)), now: epoch, lenders: map[string]AccountLocation{}, cutLinks: map[[2]int]bool{}, runs: map[string]*jobRun{},
		sent: map[string]int{}, killed: map[string]bool{}, stats: map[string]int{}, specs: map[string]Spec{},
	}
	for range groups {
		w.groups = append(w.groups, New())
	}
	for n := range daemons {
		d := &daemon{n: n, name: fmt.Sprint("n", n), rate: (w.Float64() - 0.5) * 1e-4}
		w.daemons = append(w.daemons, d)
		w.startProcess(d)
	}
	for i := range encoders {
		e := Encoder{ID: fmt.Sprint("s-", i), Site: []string{"a", "b"}[i%2], Kind: "m2", Slots: 4, Gen: 1, Group: uint32(i % groups), Partner: []string{"", "tuk"}[i%2]}
		w.encoders = append(w.encoders, e)
		w.apply(e.Group, Command{Op: "set", Resource: &Resource{ID: e.Account(), Slots: e.Slots, Gen: 1}})
	}
	w.lend(6, 1)
	return w
}

func (w *simulation) lend(slots int, gen uint64) {
	g := uint32(len(w.groups) - 1)
	w.lenders["tuk"] = AccountLocation{g}
	w.apply(g, Command{Op: "set", Resource: &Resource{ID: PartnerAccount("tuk"), Slots: slots, Gen: gen}})
}

// startProcess starts a daemon's process, whose clock goes on from the wall's: that was stepped by up to a fifth of a second.
func (w *simulation) startProcess(d *daemon) {
	w.stats["boots"]++
	d.clock, d.offset = fmt.Sprint(d.name, "/", w.stats["boots"]), time.Duration(w.Int64N(int64(400*ms)))-200*ms
	d.up, d.Coordinator, d.Starter = true, NewCoordinator(d.clock), NewStarter()
}

// apply applies a command: what a group's majority does at once.
func (w *simulation) apply(group uint32, c Command) Result { return w.applyAt(w.now, group, c) }

// applyAt applies one that is given its time by a daemon's clock.
func (w *simulation) applyAt(at time.Duration, group uint32, c Command) Result {
	m := w.groups[group]
	had := false
	if c.Op == "prepare" {
		_, had = m.find(c.RoundHolds.Gang, c.RoundHolds.Round)
	}
	r, err := Decode(m.Apply(0, at, c.Encode()))
	require.NoError(w.t, err)
	if c.Op == "prepare" && r.OK && !had {
		w.checkAccounts(m, c.RoundHolds.Gang, c.RoundHolds.Round)
	}
	return r
}

// checkAccounts checks the accounts that a gang has just got room of, at each moment at which anything begins to be held.
func (w *simulation) checkAccounts(m *Machine, gang string, round uint64) {
	for _, mine := range m.RoundHolds {
		for _, h := range mine.Holds {
			for _, o := range m.RoundHolds {
				for _, at := range o.Holds {
					if mine.Gang != gang || mine.Round != round || at.Resource != h.Resource || at.From < h.From || at.From >= h.Until {
						continue
					}
					if n := m.UsedSlots(h.Resource, at.From); n > m.Resources[h.Resource].Slots {
						w.t.Errorf("%s: %d of %d slots", h.Resource, n, m.Resources[h.Resource].Slots)
						w.t.FailNow()
					}
				}
			}
		}
	}
}

func (w *simulation) schedule(after time.Duration, do func()) {
	w.events = append(w.events, event{w.now + after, do})
}

// send is a message from one daemon to another.
func (w *simulation) send(from, to *daemon, do func()) {
	if from == to || w.Float64() >= w.loss && !w.cutLinks[[2]int{from.n, to.n}] {
		w.schedule(time.Duration(1+w.IntN(8))*ms, func() {
			if to.up {
				do()
			}
		})
	}
}

func (w *simulation) leader(group int) *daemon {
	for i := range w.daemons {
		if d := w.daemons[(group+i)%len(w.daemons)]; d.up {
			return d
		}
	}
	return nil
}

func (w *simulation) runActions(d *daemon) {
	c := d.Coordinator
	for _, a := range c.TakeActions() {
		switch a := a.(type) {
		case Propose:
			lost := w.Float64() < w.loss // the word, or the answer
			w.schedule(time.Duration(1+w.IntN(6))*ms, func() {
				if lost && w.IntN(2) == 0 {
					w.schedule(200*ms, func() { c.HandleResult(d.time(w.now), a.Key, Result{}, false) })
					return
				}
				r := w.applyAt(d.time(w.now), a.Group, a.Command)
				w.schedule(time.Duration(1+w.IntN(6))*ms, func() { c.HandleResult(d.time(w.now), a.Key, r, !lost) })
			})
		case FetchView:
			v := View{Self: d.name, PartnerAccounts: w.lenders, Accounts: map[string]Resource{}}
			for _, m := range w.groups {
				maps.Copy(v.Accounts, m.Resources)
				text, _ := json.Marshal(m.RoundHolds)
				var s []RoundHolds
				json.Unmarshal(text, &s)
				v.RoundHolds = append(v.RoundHolds, s...)
			}
			for _, o := range w.daemons {
				if o.up {
					v.Starters = append(v.Starters, Dispatcher{o.name, []string{"a", "b"}[o.n%2]})
				}
			}
			w.schedule(3*ms, func() { c.SetView(d.time(w.now), v) })
		case Send:
			to, sent := w.daemons[slices.IndexFunc(w.daemons, func(o *daemon) bool { return o.name == a.To })], d.time(w.now)
			home := w.home(a.Gang)
			w.send(d, to, func() {
				said := to.Starter.Handle(to.time(w.now), a.Message)
				said.Clock = to.clock
				w.runStarterActions(to)
				w.send(to, d, func() { c.HandleReply(d.time(w.now), sent, a.To, a.Message, said, home) })
			})
		}
	}
}

func (w *simulation) home(gang string) uint32 {
	for g, m := range w.groups {
		if m.Gangs[gang] != nil {
			return uint32(g)
		}
	}
	return 0
}

// runStarterActions has encoders take what a dispatcher sends, and drop what it gives up.
func (w *simulation) runStarterActions(d *daemon) {
	s := d.Starter
	for _, a := range s.TakeActions() {
		var p jobRun
		if a.Kind != Launch {
			w.schedule(ms, func() {
				if r := w.runs[a.Key]; r != nil {
					r.until = min(r.until, w.now)
				}
			})
			continue
		}
		part := s.members[a.Key]
		p = jobRun{gang: part.gang, round: part.round, member: part.Member, encoder: a.Encoder, slots: a.Member.Slots}
		i := slices.IndexFunc(w.encoders, func(e Encoder) bool { return e.ID == a.Encoder })
		w.schedule(2*ms, func() {
			used := 0
			for _, r := range w.runs {
				if r.encoder == p.encoder && r.until > w.now {
					used += r.slots
				}
			}
			require.LessOrEqual(w.t, used, w.encoders[i].Slots)
			if w.encoders[i].Excluded || used+p.slots > w.encoders[i].Slots {
				w.stats["refused"]++
				w.schedule(2*ms, func() { s.MemberEnded(d.time(w.now), a.Key, NeverRan, "refused") })
				return
			}
			work := a.Member.Work
			if w.maxOverrun > 0 && w.IntN(3) == 0 {
				work += time.Duration(w.Int64N(int64(w.maxOverrun)))
			}
			p.at, p.until = w.now, w.now+work
			w.runs[a.Key] = &p
			w.sent[fmt.Sprint(p.gang, "/", p.member)]++
			w.schedule(2*ms, func() { s.MemberStarted(d.time(w.now), a.Key) })
			w.schedule(work+2*ms, func() { s.MemberEnded(d.time(w.now), a.Key, Done, "") })
		})
	}
}

func (w *simulation) run(long time.Duration) {
	for end := w.now + long; w.now < end; w.now += 5 * ms {
		due := w.events
		w.events = nil
		slices.SortStableFunc(due, func(a, b event) int { return int(a.at - b.at) })
		for _, p := range due {
			if p.at <= w.now {
				p.do()
			} else {
				w.events = append(w.events, p)
			}
		}
		for g, m := range w.groups {
			if d := w.leader(g); d != nil {
				d.Coordinator.Step(d.time(w.now), uint32(g), m, w.encoders)
				w.runActions(d)
			}
		}
		for _, d := range w.daemons {
			if d.up {
				d.Starter.Tick(d.time(w.now))
				w.runStarterActions(d)
			}
		}
		w.check()
	}
}

// lent is the slots of partners' encoders that are in use.
func (w *simulation) lent() (n int) {
	for _, r := range w.runs {
		i := slices.IndexFunc(w.encoders, func(e Encoder) bool { return e.ID == r.encoder })
		if w.encoders[i].Partner != "" && r.at <= w.now && r.until > w.now {
			n += r.slots
		}
	}
	return n
}

// check looks for starts by halves: half a second and what clocks may be off after the first member's start, all run, or
// have been done, or none does.
func (w *simulation) check() {
	if n := w.lent(); w.lentCap > 0 && n > w.lentCap {
		w.t.Errorf("%d slots are used, and %d are lent", n, w.lentCap)
		w.t.FailNow()
	}
	first := map[string]*jobRun{}
	for _, r := range w.runs {
		id := fmt.Sprint(r.gang, "/", r.round)
		if f := first[id]; f == nil || r.at < f.at {
			first[id] = r
		}
	}
	for _, f := range first {
		if w.now-f.at < 560*ms || w.killed[f.gang] {
			continue
		}
		n, last := 0, f.at
		for _, r := range w.runs {
			if r.gang == f.gang && r.round == f.round {
				n++
				last = max(last, r.at)
			}
		}
		switch all := len(w.specs[f.gang].Members); {
		case n == all:
			w.worstSkew = max(w.worstSkew, last-f.at)
			if last-f.at > w.specs[f.gang].Skew {
				w.t.Errorf("%s: members start %v apart", f.gang, last-f.at)
			}
		default:
			for _, r := range w.runs {
				if r.gang == f.gang && r.round == f.round && r.until > f.at+560*ms {
					w.t.Errorf("%s round %d: %d of %d run", f.gang, f.round, n, all)
					w.t.FailNow()
				}
			}
		}
	}
	for _, r := range w.runs {
		if w.specs[r.gang].Members[r.member].Once && w.sent[fmt.Sprint(r.gang, "/", r.member)] > 1 {
			w.t.Errorf("%s: member %d ran twice", r.gang, r.member)
			w.t.FailNow()
		}
	}
}

func (w *simulation) submit(id string, window time.Duration, members ...Member) {
	s := Spec{ID: id, Members: members, NotBefore: w.now, LatestStart: w.now + window}
	r := w.apply(uint32(len(id)+int(id[len(id)-1]))%uint32(len(w.groups)), Command{Op: "submit", Spec: &s})
	require.True(w.t, r.OK, r.Err)
	w.specs[id] = r.Entry.Spec
}

func (w *simulation) entries() (all []*Entry) {
	for _, m := range w.groups {
		for _, e := range m.Gangs {
			all = append(all, e)
		}
	}
	return all
}

func (w *simulation) open() (n int) {
	for _, e := range w.entries() {
		if e.State != Ended || len(e.Unconfirmed) > 0 {
			n++
		}
	}
	return n
}

// Whatever is lost, cut, killed, drained or lent less: no account is passed, no gang runs by halves beyond half a second,
// members that must not run twice do not, and every gang ends, with nothing left held.
func TestAllMembersStartTogetherOrNone(t *testing.T) {
	total, worst := map[string]int{}, time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 3, 4, 6)
		w.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		trouble := rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "trouble")
		gen := uint64(1)
		for i := range 14 {
			var members []Member
			for range 2 + w.IntN(3) {
				members = append(members, Member{Site: []string{"a", "b", ""}[w.IntN(3)], Kind: "m2", Slots: 1 + w.IntN(3), Work: time.Duration(500+w.IntN(1500)) * ms, Class: "live", Once: w.IntN(2) == 0})
			}
			w.submit(fmt.Sprint("g", i), time.Duration(3+w.IntN(12))*time.Second, members...)
			for range 10 {
				w.run(50 * ms)
				if w.Float64() >= trouble {
					continue
				}
				d := w.daemons[w.IntN(len(w.daemons))]
				switch w.IntN(5) {
				case 0: // its members run on where they are: nobody can call them off
					for _, e := range w.entries() {
						if e.Plan != nil && slices.Contains(e.Plan.Starters, d.name) && w.now > e.Plan.Start-300*ms {
							w.killed[e.Spec.ID] = true
						}
					}
					w.startProcess(d)
				case 1, 2:
					w.cutLinks[[2]int{d.n, w.IntN(4)}] = true
				case 3:
					w.cutLinks = map[[2]int]bool{}
				case 4:
					x := &w.encoders[w.IntN(len(w.encoders))]
					if x.Excluded = !x.Excluded; w.IntN(3) == 0 {
						gen++
						w.lend(3+w.IntN(4), gen)
					}
				}
			}
		}
		w.loss, w.cutLinks = 0, map[[2]int]bool{}
		for range 60 {
			if w.run(500 * ms); w.open() == 0 {
				break
			}
		}
		for _, e := range w.entries() {
			if e.State != Ended || len(e.Unconfirmed) > 0 {
				t.Fatalf("%s: %s, due %v: %s", e.Spec.ID, e.State, e.Unconfirmed, e.Reason)
			}
			total[e.Verdict]++
			total["moves"] += e.Moves
			total["plans"] += e.Plans
			for _, r := range w.runs {
				if r.gang == e.Spec.ID && e.Verdict == Completed && r.until != r.at+e.Spec.Members[r.member].Work && r.round == e.Round {
					t.Fatalf("%s is done, and member %d was cut short", e.Spec.ID, r.member)
				}
			}
		}
		for g, m := range w.groups {
			m.expire(w.now)
			require.Empty(t, m.RoundHolds, g)
		}
		for k, n := range w.stats {
			total[k] += n
		}
		worst = max(worst, w.worstSkew)
	})
	t.Log(total, "worst skew", worst)
	for _, what := range []string{Completed, NotStarted, "moves", "refused"} {
		require.NotZero(t, total[what], what)
	}
}

// A committed hold whose members are late goes on until its gang has ended; one that was never committed ends with its
// time; and what a partner lends is bounded by slot-hours of each day, over midnight too.
func TestHoldsOfLateMembers(t *testing.T) {
	m := New()
	midnight := startOfDay(epoch) + 24*time.Hour
	at := midnight - time.Hour
	m.apply(at, Command{Op: "set", Resource: &Resource{ID: "p/tuk", Slots: 4, SlotHours: 3, Gen: 1}})
	prepare := func(at time.Duration, gang string, slots int, from, until time.Duration) Result {
		return m.apply(at, Command{Op: "prepare", RoundHolds: &RoundHolds{Gang: gang, Round: 1, Holds: []Hold{{"p/tuk", 0, 1, slots, from, until}}}})
	}
	require.True(t, prepare(at, "a", 2, midnight-30*time.Minute, midnight+time.Hour).OK, "one slot-hour, then two")
	require.True(t, prepare(at, "b", 2, midnight+90*time.Minute, midnight+2*time.Hour).OK, "and one more")
	require.True(t, prepare(at, "c", 1, midnight+3*time.Hour, midnight+4*time.Hour).Full, "the day has no more")
	require.True(t, prepare(at, "c", 1, midnight+25*time.Hour, midnight+26*time.Hour).OK, "the next one has")
	m.apply(at, Command{Op: "commit", Gang: "a", Round: 1})
	late := midnight + 100*time.Minute // a's members still run
	require.True(t, prepare(late, "d", 3, late+time.Millisecond, late+time.Minute).Full)
	require.Equal(t, 4, m.UsedSlots("p/tuk", late+time.Millisecond), "a and b")
	m.apply(midnight+3*time.Hour, Command{Op: "end", Gang: "a", Round: 1})
	require.Equal(t, 0, m.UsedSlots("p/tuk", midnight+3*time.Hour))
}

// Members run longer than they said by up to a second, with clocks 400 ms apart: nothing starts on room that is not free
// yet, so what a partner lends is not passed by what runs either, and all gangs start.
func TestLateMembersStayWithinPartnerLimit(t *testing.T) {
	waits := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 3, 4, 6)
		w.maxOverrun, w.lentCap = time.Second, 6
		for i := range 9 {
			var members []Member
			for j := range 2 + w.IntN(2) {
				members = append(members, Member{Site: []string{"a", "b"}[(i+j)%2], Kind: "m2", Slots: 1 + w.IntN(3), Work: time.Duration(300+w.IntN(1000)) * ms, Class: "live"})
			}
			w.submit(fmt.Sprint("g", i), time.Minute, members...)
		}
		for range 200 {
			if w.run(500 * ms); w.open() == 0 {
				break
			}
		}
		for _, e := range w.entries() {
			require.Equal(t, Completed, e.Verdict, "%s: %s", e.Spec.ID, e.Reason)
			waits += e.Plans
		}
	})
	t.Log("plans made:", waits)
}

// Guards against a gang never starting because two of its members, alike in work, have one hold at an encoder that has room
// for both.
func TestEqualMembersAtOneEncoder(t *testing.T) {
	w := newSimulation(t, 3, 1, 4, 2)
	one := Member{Slots: 1, Work: 500 * ms, Class: "live"}
	w.submit("g0", 10*time.Second, one, one, one)
	w.run(12 * time.Second)
	e := w.groups[0].Gangs["g0"]
	require.Equal(t, Completed, e.Verdict, "%s, %d plans: %s", e.State, e.Plans, e.Reason)
	require.Equal(t, []string{"s-0", "s-0", "s-0"}, e.Plan.Encoders)
}

// Guards against members being cut short, and their gang being dead after its start, because the dispatcher that sent one
// began anew while that ran: the process after it had the encoder drop what it did not know.
func TestGangSurvivesDispatcherRestart(t *testing.T) {
	w := newSimulation(t, 3, 1, 4, 2)
	one := Member{Slots: 1, Work: 4 * time.Second, Class: "live"}
	w.submit("g0", 10*time.Second, one, one)
	e := w.groups[0].Gangs["g0"]
	for range 100 {
		if w.run(50 * ms); e.State == Running {
			break
		}
	}
	require.Equal(t, Running, e.State)
	w.run(500 * ms)
	d := w.daemons[slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.name == e.Plan.Starters[0] })]
	w.startProcess(d)
	w.run(4 * time.Second)
	for i, name := range e.Plan.Starters { // their encoder tells whoever has that address now
		if name == d.name {
			d.MemberEnded(d.time(w.now), Key("g0", e.Plan.Round, i), Done, "")
		}
	}
	w.run(time.Second)
	for _, r := range w.runs {
		require.Equal(t, 4*time.Second, r.until-r.at, "it was cut short")
	}
	require.Equal(t, Completed, e.Verdict, "%s: dead %v", e.State, e.Dead)
}
