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

// TestMain sets a fixed seed for rapid unless one is given, so that results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("20261202")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == "100" { // each check simulates minutes
		f.Value.Set("15")
	}
	os.Exit(m.Run())
}

const epoch = 1_700_000_000 * time.Second

// simulation has groups with their logs, coordinators that come and go, dispatchers with their own clocks, encoders
// and a faulty network, in virtual time. Daemon i leads group i and the groups of daemons that are down.
type simulation struct {
	t require.TestingT
	*rand.Rand
	now             time.Duration
	groups          []*Machine
	daemons         []*daemon
	encoders        []Encoder
	partnerAccounts map[string]AccountLocation
	events          []event
	loss            float64
	cutLinks        map[[2]int]bool    // from one daemon to another
	runs            map[string]*jobRun // by job ID
	sent            map[string]int     // number of starts by gang and member
	killed          map[string]bool    // gangs of which a dispatcher died around the start, so that its members cannot be called off
	stats           map[string]int
	worstSkew       time.Duration
	specs           map[string]Spec
	maxOverrun      time.Duration // maximum time that members run beyond their stated work
	cap             int           // limit for slots lent by partners, checked against running members; 0: not checked
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
	sim := &simulation{
		t: t, Rand: rand.New(rand.NewPCG(seed, 7)), now: epoch, partnerAccounts: map[string]AccountLocation{}, cutLinks: map[[2]int]bool{}, runs: map[string]*jobRun{},
		sent: map[string]int{}, killed: map[string]bool{}, stats: map[string]int{}, specs: map[string]Spec{},
	}
	for range groups {
		sim.groups = append(sim.groups, New())
	}
	for n := range daemons {
		d := &daemon{n: n, name: fmt.Sprint("n", n), rate: (sim.Float64() - 0.5) * 1e-4}
		sim.daemons = append(sim.daemons, d)
		sim.startProcess(d)
	}
	for i := range encoders {
		e := Encoder{ID: fmt.Sprint("s-", i), Site: []string{"a", "b"}[i%2], Kind: "m2", Slots: 4, Gen: 1, Group: uint32(i % groups), Partner: []string{"", "tuk"}[i%2]}
		sim.encoders = append(sim.encoders, e)
		sim.apply(e.Group, Command{Op: "set", Resource: &Resource{ID: e.Account(), Slots: e.Slots, Gen: 1}})
	}
	sim.lend(6, 1)
	return sim
}

func (sim *simulation) lend(slots int, gen uint64) {
	g := uint32(len(sim.groups) - 1)
	sim.partnerAccounts["tuk"] = AccountLocation{g}
	sim.apply(g, Command{Op: "set", Resource: &Resource{ID: PartnerAccount("tuk"), Slots: slots, Gen: gen}})
}

// startProcess starts a daemon's process. Its clock has a random offset of up to 200 ms.
func (sim *simulation) startProcess(d *daemon) {
	sim.stats["boots"]++
	d.clock, d.offset = fmt.Sprint(d.name, "/", sim.stats["boots"]), time.Duration(sim.Int64N(int64(400*ms)))-200*ms
	d.up, d.Coordinator, d.Starter = true, NewCoordinator(d.clock), NewStarter()
}

// apply applies a command as if the group's majority had it at once.
func (sim *simulation) apply(group uint32, c Command) Result { return sim.applyAt(sim.now, group, c) }

// applyAt applies a command with the time of a daemon's clock.
func (sim *simulation) applyAt(at time.Duration, group uint32, c Command) Result {
	m := sim.groups[group]
	existed := false
	if c.Op == "prepare" {
		_, existed = m.find(c.RoundHolds.Gang, c.RoundHolds.Round)
	}
	r, err := Decode(m.Apply(0, at, c.Encode()))
	require.NoError(sim.t, err)
	if c.Op == "prepare" && r.OK && !existed {
		sim.checkAccounts(m, c.RoundHolds.Gang, c.RoundHolds.Round)
	}
	return r
}

// checkAccounts checks that the accounts of a gang's new holds are not overdrawn, each time that a hold begins.
func (sim *simulation) checkAccounts(m *Machine, gang string, round uint64) {
	for _, own := range m.RoundHolds {
		for _, h := range own.Holds {
			for _, o := range m.RoundHolds {
				for _, at := range o.Holds {
					if own.Gang != gang || own.Round != round || at.Resource != h.Resource || at.From < h.From || at.From >= h.Until {
						continue
					}
					if n := m.UsedSlots(h.Resource, at.From); n > m.Resources[h.Resource].Slots {
						sim.t.Errorf("%s: %d of %d slots", h.Resource, n, m.Resources[h.Resource].Slots)
						sim.t.FailNow()
					}
				}
			}
		}
	}
}

func (sim *simulation) schedule(after time.Duration, do func()) {
	sim.events = append(sim.events, event{sim.now + after, do})
}

// send delivers a message from one daemon to another.
func (sim *simulation) send(from, to *daemon, do func()) {
	if from == to || sim.Float64() >= sim.loss && !sim.cutLinks[[2]int{from.n, to.n}] {
		sim.schedule(time.Duration(1+sim.IntN(8))*ms, func() {
			if to.up {
				do()
			}
		})
	}
}

func (sim *simulation) leader(group int) *daemon {
	for i := range sim.daemons {
		if d := sim.daemons[(group+i)%len(sim.daemons)]; d.up {
			return d
		}
	}
	return nil
}

func (sim *simulation) runActions(d *daemon) {
	c := d.Coordinator
	for _, a := range c.TakeActions() {
		switch a := a.(type) {
		case Propose:
			lost := sim.Float64() < sim.loss // the command or the result
			sim.schedule(time.Duration(1+sim.IntN(6))*ms, func() {
				if lost && sim.IntN(2) == 0 {
					sim.schedule(200*ms, func() { c.HandleResult(d.time(sim.now), a.Key, Result{}, false) })
					return
				}
				r := sim.applyAt(d.time(sim.now), a.Group, a.Command)
				sim.schedule(time.Duration(1+sim.IntN(6))*ms, func() { c.HandleResult(d.time(sim.now), a.Key, r, !lost) })
			})
		case FetchView:
			v := View{Self: d.name, PartnerAccounts: sim.partnerAccounts, Accounts: map[string]Resource{}}
			for _, m := range sim.groups {
				maps.Copy(v.Accounts, m.Resources)
				text, _ := json.Marshal(m.RoundHolds)
				var s []RoundHolds
				json.Unmarshal(text, &s)
				v.RoundHolds = append(v.RoundHolds, s...)
			}
			for _, o := range sim.daemons {
				if o.up {
					v.Dispatchers = append(v.Dispatchers, Dispatcher{o.name, []string{"a", "b"}[o.n%2]})
				}
			}
			sim.schedule(3*ms, func() { c.SetView(d.time(sim.now), v) })
		case Send:
			to, sent := sim.daemons[slices.IndexFunc(sim.daemons, func(o *daemon) bool { return o.name == a.To })], d.time(sim.now)
			home := sim.home(a.Gang)
			sim.send(d, to, func() {
				reply := to.Starter.Handle(to.time(sim.now), a.Message)
				reply.Clock = to.clock
				sim.runStarterActions(to)
				sim.send(to, d, func() { c.HandleReply(d.time(sim.now), sent, a.To, a.Message, reply, home) })
			})
		}
	}
}

func (sim *simulation) home(gang string) uint32 {
	for g, m := range sim.groups {
		if m.Gangs[gang] != nil {
			return uint32(g)
		}
	}
	return 0
}

// runStarterActions has encoders run the members that a dispatcher sends, and drop those that it cancels.
func (sim *simulation) runStarterActions(d *daemon) {
	s := d.Starter
	for _, a := range s.TakeActions() {
		var p jobRun
		if a.Kind != Launch {
			sim.schedule(ms, func() {
				if r := sim.runs[a.Key]; r != nil {
					r.until = min(r.until, sim.now)
				}
			})
			continue
		}
		member := s.members[a.Key]
		p = jobRun{gang: member.gang, round: member.round, member: member.Member, encoder: a.Encoder, slots: a.Member.Slots}
		i := slices.IndexFunc(sim.encoders, func(e Encoder) bool { return e.ID == a.Encoder })
		sim.schedule(2*ms, func() {
			used := 0
			for _, r := range sim.runs {
				if r.encoder == p.encoder && r.until > sim.now {
					used += r.slots
				}
			}
			require.LessOrEqual(sim.t, used, sim.encoders[i].Slots)
			if sim.encoders[i].Excluded || used+p.slots > sim.encoders[i].Slots {
				sim.stats["refused"]++
				sim.schedule(2*ms, func() { s.MemberEnded(d.time(sim.now), a.Key, NeverRan, "refused") })
				return
			}
			work := a.Member.Work
			if sim.maxOverrun > 0 && sim.IntN(3) == 0 {
				work += time.Duration(sim.Int64N(int64(sim.maxOverrun)))
			}
			p.at, p.until = sim.now, sim.now+work
			sim.runs[a.Key] = &p
			sim.sent[fmt.Sprint(p.gang, "/", p.member)]++
			sim.schedule(2*ms, func() { s.MemberStarted(d.time(sim.now), a.Key) })
			sim.schedule(work+2*ms, func() { s.MemberEnded(d.time(sim.now), a.Key, Done, "") })
		})
	}
}

func (sim *simulation) run(duration time.Duration) {
	for end := sim.now + duration; sim.now < end; sim.now += 5 * ms {
		due := sim.events
		sim.events = nil
		slices.SortStableFunc(due, func(a, b event) int { return int(a.at - b.at) })
		for _, p := range due {
			if p.at <= sim.now {
				p.do()
			} else {
				sim.events = append(sim.events, p)
			}
		}
		for g, m := range sim.groups {
			if d := sim.leader(g); d != nil {
				d.Coordinator.Step(d.time(sim.now), uint32(g), m, sim.encoders)
				sim.runActions(d)
			}
		}
		for _, d := range sim.daemons {
			if d.up {
				d.Starter.Tick(d.time(sim.now))
				sim.runStarterActions(d)
			}
		}
		sim.check()
	}
}

// lent returns the slots of partners' encoders that are in use.
func (sim *simulation) lent() (n int) {
	for _, r := range sim.runs {
		i := slices.IndexFunc(sim.encoders, func(e Encoder) bool { return e.ID == r.encoder })
		if sim.encoders[i].Partner != "" && r.at <= sim.now && r.until > sim.now {
			n += r.slots
		}
	}
	return n
}

// check fails if a gang has started only in part: 560 ms after the first member's start (500 ms and the error of
// clocks), either all members run or have ended, or none runs.
func (sim *simulation) check() {
	if n := sim.lent(); sim.cap > 0 && n > sim.cap {
		sim.t.Errorf("%d slots are used, and %d are lent", n, sim.cap)
		sim.t.FailNow()
	}
	first := map[string]*jobRun{}
	for _, r := range sim.runs {
		id := fmt.Sprint(r.gang, "/", r.round)
		if f := first[id]; f == nil || r.at < f.at {
			first[id] = r
		}
	}
	for _, f := range first {
		if sim.now-f.at < 560*ms || sim.killed[f.gang] {
			continue
		}
		n, last := 0, f.at
		for _, r := range sim.runs {
			if r.gang == f.gang && r.round == f.round {
				n++
				last = max(last, r.at)
			}
		}
		switch all := len(sim.specs[f.gang].Members); {
		case n == all:
			sim.worstSkew = max(sim.worstSkew, last-f.at)
			if last-f.at > sim.specs[f.gang].Skew {
				sim.t.Errorf("%s: members start %v apart", f.gang, last-f.at)
			}
		default:
			for _, r := range sim.runs {
				if r.gang == f.gang && r.round == f.round && r.until > f.at+560*ms {
					sim.t.Errorf("%s round %d: %d of %d run", f.gang, f.round, n, all)
					sim.t.FailNow()
				}
			}
		}
	}
	for _, r := range sim.runs {
		if sim.specs[r.gang].Members[r.member].Once && sim.sent[fmt.Sprint(r.gang, "/", r.member)] > 1 {
			sim.t.Errorf("%s: member %d ran twice", r.gang, r.member)
			sim.t.FailNow()
		}
	}
}

func (sim *simulation) submit(id string, window time.Duration, members ...Member) {
	s := Spec{ID: id, Members: members, NotBefore: sim.now, LatestStart: sim.now + window}
	r := sim.apply(uint32(len(id)+int(id[len(id)-1]))%uint32(len(sim.groups)), Command{Op: "submit", Spec: &s})
	require.True(sim.t, r.OK, r.Err)
	sim.specs[id] = r.Entry.Spec
}

func (sim *simulation) entries() (all []*Entry) {
	for _, m := range sim.groups {
		for _, e := range m.Gangs {
			all = append(all, e)
		}
	}
	return all
}

func (sim *simulation) open() (n int) {
	for _, e := range sim.entries() {
		if e.State != Ended || len(e.Unconfirmed) > 0 {
			n++
		}
	}
	return n
}

// With lost messages, cut links, killed daemons, drained encoders and partners that lend less: no account is
// overdrawn, no gang runs in part for more than half a second, no member runs twice that must not, and every gang ends
// without leaving holds.
func TestAllMembersStartTogetherOrNone(t *testing.T) {
	total, worst := map[string]int{}, time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 3, 4, 6)
		sim.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		trouble := rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "trouble")
		gen := uint64(1)
		for i := range 14 {
			var members []Member
			for range 2 + sim.IntN(3) {
				members = append(members, Member{Site: []string{"a", "b", ""}[sim.IntN(3)], Kind: "m2", Slots: 1 + sim.IntN(3), Work: time.Duration(500+sim.IntN(1500)) * ms, Class: "live", Once: sim.IntN(2) == 0})
			}
			sim.submit(fmt.Sprint("g", i), time.Duration(3+sim.IntN(12))*time.Second, members...)
			for range 10 {
				sim.run(50 * ms)
				if sim.Float64() >= trouble {
					continue
				}
				d := sim.daemons[sim.IntN(len(sim.daemons))]
				switch sim.IntN(5) {
				case 0: // its running members cannot be called off
					for _, e := range sim.entries() {
						if e.Plan != nil && slices.Contains(e.Plan.Dispatchers, d.name) && sim.now > e.Plan.Start-300*ms {
							sim.killed[e.Spec.ID] = true
						}
					}
					sim.startProcess(d)
				case 1, 2:
					sim.cutLinks[[2]int{d.n, sim.IntN(4)}] = true
				case 3:
					sim.cutLinks = map[[2]int]bool{}
				case 4:
					x := &sim.encoders[sim.IntN(len(sim.encoders))]
					if x.Excluded = !x.Excluded; sim.IntN(3) == 0 {
						gen++
						sim.lend(3+sim.IntN(4), gen)
					}
				}
			}
		}
		sim.loss, sim.cutLinks = 0, map[[2]int]bool{}
		for range 60 {
			if sim.run(500 * ms); sim.open() == 0 {
				break
			}
		}
		for _, e := range sim.entries() {
			if e.State != Ended || len(e.Unconfirmed) > 0 {
				t.Fatalf("%s: %s, unconfirmed %v: %s", e.Spec.ID, e.State, e.Unconfirmed, e.Reason)
			}
			total[e.Verdict]++
			total["moves"] += e.Moves
			total["plans"] += e.Plans
			for _, r := range sim.runs {
				if r.gang == e.Spec.ID && e.Verdict == Completed && r.until != r.at+e.Spec.Members[r.member].Work && r.round == e.Round {
					t.Fatalf("%s is done, and member %d was cut short", e.Spec.ID, r.member)
				}
			}
		}
		for g, m := range sim.groups {
			m.expire(sim.now)
			require.Empty(t, m.RoundHolds, g)
		}
		for k, n := range sim.stats {
			total[k] += n
		}
		worst = max(worst, sim.worstSkew)
	})
	t.Log(total, "worst skew", worst)
	for _, what := range []string{Completed, NotStarted, "moves", "refused"} {
		require.NotZero(t, total[what], what)
	}
}

// The committed hold of a late member is extended until its gang ends, while an uncommitted hold expires. A partner's
// slot-hours are limited for each day, also for holds that span midnight.
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

// Members run up to a second longer than stated, with clocks up to 400 ms apart: no gang starts on slots that are
// still in use, so running members do not exceed what a partner lends, and all gangs start.
func TestLateMembersStayWithinPartnerLimit(t *testing.T) {
	planCount := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 3, 4, 6)
		sim.maxOverrun, sim.cap = time.Second, 6
		for i := range 9 {
			var members []Member
			for j := range 2 + sim.IntN(2) {
				members = append(members, Member{Site: []string{"a", "b"}[(i+j)%2], Kind: "m2", Slots: 1 + sim.IntN(3), Work: time.Duration(300+sim.IntN(1000)) * ms, Class: "live"})
			}
			sim.submit(fmt.Sprint("g", i), time.Minute, members...)
		}
		for range 200 {
			if sim.run(500 * ms); sim.open() == 0 {
				break
			}
		}
		for _, e := range sim.entries() {
			require.Equal(t, Completed, e.Verdict, "%s: %s", e.Spec.ID, e.Reason)
			planCount += e.Plans
		}
	})
	t.Log("plans made:", planCount)
}

// Guards against a gang that never starts because two members with equal work share a merged hold at one encoder that
// has room for both.
func TestEqualMembersAtOneEncoder(t *testing.T) {
	sim := newSimulation(t, 3, 1, 4, 2)
	one := Member{Slots: 1, Work: 500 * ms, Class: "live"}
	sim.submit("g0", 10*time.Second, one, one, one)
	sim.run(12 * time.Second)
	e := sim.groups[0].Gangs["g0"]
	require.Equal(t, Completed, e.Verdict, "%s, %d plans: %s", e.State, e.Plans, e.Reason)
	require.Equal(t, []string{"s-0", "s-0", "s-0"}, e.Plan.Encoders)
}

// Guards against a restarted dispatcher that has the encoder cancel a running member, sent by the previous process, as
// unknown, which kills the gang.
func TestGangSurvivesDispatcherRestart(t *testing.T) {
	sim := newSimulation(t, 3, 1, 4, 2)
	one := Member{Slots: 1, Work: 4 * time.Second, Class: "live"}
	sim.submit("g0", 10*time.Second, one, one)
	e := sim.groups[0].Gangs["g0"]
	for range 100 {
		if sim.run(50 * ms); e.State == Running {
			break
		}
	}
	require.Equal(t, Running, e.State)
	sim.run(500 * ms)
	d := sim.daemons[slices.IndexFunc(sim.daemons, func(d *daemon) bool { return d.name == e.Plan.Dispatchers[0] })]
	sim.startProcess(d)
	sim.run(4 * time.Second)
	for i, name := range e.Plan.Dispatchers { // the encoder reports to the process that now has the address
		if name == d.name {
			d.MemberEnded(d.time(sim.now), JobID("g0", e.Plan.Round, i), Done, "")
		}
	}
	sim.run(time.Second)
	for _, r := range sim.runs {
		require.Equal(t, 4*time.Second, r.until-r.at, "it was cut short")
	}
	require.Equal(t, Completed, e.Verdict, "%s: dead %v", e.State, e.Dead)
}
