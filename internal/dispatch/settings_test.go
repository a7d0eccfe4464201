package dispatch

import (
	"cmp"
	"flag"
	"fmt"
	"hash/fnv"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caperrelay/decide"
	"caperrelay/internal/wire"
)

// site is one customer's settings.
type site struct {
	decide.Settings
	wire.Names
}

// drawSite draws settings. The names of any two sites begin alike, so that each has one number at both.
func drawSite(t *rapid.T, of string, seed uint64) site {
	number := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(t, of+" "+name) }
	span := func(name string, from, to int) time.Duration {
		return time.Duration(number(name, from, to)) * time.Millisecond
	}
	share := func(name string) float64 { return float64(number(name, 0, 100)) / 100 }
	yes := func(name string) bool { return rapid.Bool().Draw(t, of+" "+name) }
	names := func(sort string, n int) (all []string) {
		for i := range n {
			all = append(all, fmt.Sprint(sort, i))
		}
		return all
	}
	s := site{Names: wire.Names{
		Classes: names("class", number("classes", 1, 3)), Tenants: names("tenant", number("tenants", 0, 4)),
		Zones: names("zone", number("zones", 0, 3)), Kinds: names("kind", number("kinds", 0, 2)),
	}}
	dispatchers := number("dispatchers", 1, 40)
	s.Settings = decide.Settings{
		Seed: seed, Dispatcher: number("slot", 0, dispatchers-1), Dispatchers: dispatchers, Zone: number("zone", 0, max(0, len(s.Zones)-1)),
		Granularity: span("granularity", 1, 4), OverShareWorth: share("over"), Subscribe: true, Pushed: yes("pushed"),
		TellsStart: yes("starts"), MarksRetries: yes("marks"), Progress: span("progress", 0, 300), Rated: yes("rated"), ReportsFree: yes("reports"),
		Limits: decide.Limits{
			Attempts: number("attempts", 1, 4), Open: number("open", 0, 12), Cancel: yes("cancel"), SecondCopies: yes("copies"), Probes: yes("probes"),
			RetryAfter: yes("after"), MaxRetryAfter: span("most after", 0, 900), ConnectTimeout: span("connect", 50, 900), ConnIdle: span("idle", 200, 9000),
		},
		Rules: decide.Rules{
			DrainGrace: span("grace", 50, 900), ColdFrom: 0.05 + 0.9*share("cold from"), Cold: span("cold", 0, 9000), FallMultiple: 1 + 2*share("fall"),
			FallWindow: span("window", 100, 2000), MustAskIn: span("ask", 300, 9000), GoneIsAdvice: yes("advice"),
		},
		Prices: decide.Prices{CrossZone: share("cross"), Waste: share("waste")},
	}
	if yes("budget") {
		s.Rules.Budget = &decide.AttemptBudget{Spare: float64(number("spare", 0, 3)), PerRequest: share("per request"), Span: span("budget span", 100, 2000)}
	}
	for range s.Names.Classes {
		s.Settings.Classes = append(s.Settings.Classes, decide.Class{
			Aim: span("aim", 10, 500), Stretch: 3 * share("stretch"), Deadline: span("deadline", 500, 4000), Worth: share("worth"), LateWorth: share("late"),
			Effect: decide.Effect(number("effect", 0, 2)), Scope: decide.Scope(number("scope", 0, 2)), Window: span("class window", 0, 2000),
			Kind: number("kind", -1, max(-1, len(s.Kinds)-1)),
		})
	}
	for range s.Names.Tenants {
		s.Settings.Tenants = append(s.Settings.Tenants, decide.Tenant{QuotaPerSecond: 20 * share("quota")})
	}
	return s
}

// play is a loop whose module is driven in virtual time, against workers whose answers follow from what they are sent.
type play struct {
	*Loop
	now     time.Duration
	members []Member
	budget  map[uint32]time.Duration
	tries   map[uint32]int
	due     []dueEvent
	told    []string // what the module did
}

type dueEvent struct {
	at time.Duration
	e  decide.Event
}

func newPlay(t *rapid.T, s site, members []Member) *play {
	f := &fleet{}
	l, err := New(s.Settings, s.Names, f, f, f, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return &play{Loop: l, now: time.Hour, members: members, budget: map[uint32]time.Duration{}, tries: map[uint32]int{}}
}

// list tells the module the whole list, as the settings in force have the names.
func (p *play) list() {
	var lines []decide.Worker
	for _, m := range p.members {
		w := p.toWorker(m, p.workerID(m.ID))
		if w.Started > 0 {
			w.Started = p.now - sinceEpoch(m.Started)
		}
		lines = append(lines, w)
	}
	slices.SortFunc(lines, func(a, b decide.Worker) int { return cmp.Compare(a.ID, b.ID) })
	p.handle(decide.ListFull{Workers: lines})
}

func (p *play) in(after time.Duration, e decide.Event) {
	p.due = append(p.due, dueEvent{p.now + after, e})
	slices.SortStableFunc(p.due, func(a, b dueEvent) int { return cmp.Compare(a.at, b.at) })
}

func (p *play) handle(events ...decide.Event) {
	for _, a := range p.mod.Handle(p.now, events) {
		p.told = append(p.told, fmt.Sprintf("%v %T %+v", p.now, a, a))
		switch a := a.(type) {
		case decide.WakeMe:
			p.in(a.After, decide.Wake{Token: a.Token})
		case decide.Send:
			n := p.tries[a.Request]
			p.tries[a.Request]++
			h := fnv.New32a()
			fmt.Fprint(h, a.Request, n, p.instanceIDs[a.Worker])
			what, takes := h.Sum32()%8, time.Duration(20+h.Sum32()/8%200)*time.Millisecond
			if what < 5 {
				p.in(takes/8, decide.JobStarted{Request: a.Request, Attempt: n})
			}
			p.in(takes, decide.AttemptEnded{Request: a.Request, Attempt: n, Outcome: []decide.Outcome{
				decide.OK, decide.OK, decide.OK, decide.OK, decide.Errored, decide.Full, decide.Reset, decide.ConnectFailed}[what], Over: what < 4})
		}
	}
}

// until plays on to a moment.
func (p *play) until(moment time.Duration) {
	for len(p.due) > 0 && p.due[0].at <= moment {
		next := p.due[0]
		p.due = p.due[1:]
		p.now = next.at
		p.handle(next.e)
	}
	p.now = moment
}

// A dispatcher that is reloaded from any settings to any others decides as one that has been started with those, fed with the same
// list and the same requests: nothing of the first is left in what it decides.
func TestReloadedDecidesAsStarted(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		require.NoError(t, flag.Set("rapid.checks", "500"))
		defer flag.Set("rapid.checks", f.DefValue)
	}
	rapid.Check(t, func(rt *rapid.T) {
		before, after := drawSite(rt, "before", 1), drawSite(rt, "after", 2)
		var members []Member
		for i := range rapid.IntRange(1, 8).Draw(rt, "workers") {
			m := Member{
				ID: fmt.Sprint("s-", i), Zone: fmt.Sprint("zone", rapid.IntRange(0, 3).Draw(rt, "zone")), Kind: fmt.Sprint("kind", rapid.IntRange(0, 2).Draw(rt, "kind")),
				Cell: i % 2, State: decide.Ready, Size: float64(1 + i%3),
			}
			if rapid.Bool().Draw(rt, "cold") {
				m.Started = time.Unix(0, 0).Add(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "age")) * time.Millisecond)
			}
			members = append(members, m)
		}
		reloaded, started := newPlay(rt, before, members), newPlay(rt, after, members)
		reloaded.list()
		require.NoError(rt, reloaded.reconfigure(reloaded.mapSettings(after.Settings, after.Names)))
		reloaded.told = nil
		for _, p := range []*play{reloaded, started} {
			p.list()
		}
		for id := range uint32(rapid.IntRange(1, 30).Draw(rt, "requests")) {
			moment := started.now + time.Duration(rapid.IntRange(0, 120).Draw(rt, "gap"))*time.Millisecond
			class := rapid.IntRange(0, len(after.Names.Classes)-1).Draw(rt, "class")
			q := decide.Request{
				ID: id + 1, Class: class, Tenant: rapid.IntRange(0, len(after.Names.Tenants)).Draw(rt, "tenant"), Key: uint64(rapid.IntRange(0, 3).Draw(rt, "key")),
				Budget: after.Settings.Classes[class].Deadline * time.Duration(rapid.IntRange(30, 100).Draw(rt, "budget")) / 100, Slots: 1, Memory: 0.5,
			}
			for _, p := range []*play{reloaded, started} {
				p.until(moment)
				p.handle(q)
			}
		}
		for _, p := range []*play{reloaded, started} {
			p.until(p.now + 5*time.Second)
		}
		for i, told := range started.told {
			require.Less(rt, i, len(reloaded.told), "it ended after %v", reloaded.told)
			require.Equal(rt, told, reloaded.told[i], "action %d", i)
		}
		require.Len(rt, reloaded.told, len(started.told))
	})
}

// Zones and kinds that the settings do not name were taken for ones that the settings of before named, at a reload: two encoders of one
// unnamed zone could be told apart, and two of different zones not.
func TestZonesOfBeforeAreUnknown(t *testing.T) {
	f := &fleet{}
	l, err := New(decide.Settings{
		Dispatchers: 1, Limits: decide.Limits{Attempts: 1}, Classes: []decide.Class{{Aim: time.Second, Deadline: time.Second, Kind: 1}},
	}, wire.Names{Classes: []string{"a"}, Zones: []string{"east", "west"}, Kinds: []string{"old", "new"}}, f, f, f, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	at := func(zone, kind string) [2]int {
		w := l.toWorker(Member{Zone: zone, Kind: kind}, 1)
		return [2]int{w.Zone, w.Kind}
	}
	require.Equal(t, [2]int{1, 1}, at("west", "new"))
	require.Equal(t, at("north", "older"), at("south", "oldest"))

	s := l.settings
	s.Classes, s.Zone = []decide.Class{{Aim: time.Second, Deadline: time.Second, Kind: 0}}, 0
	require.NoError(t, l.reconfigure(l.mapSettings(s, wire.Names{Classes: []string{"a"}, Kinds: []string{"new"}}))) // without zones
	require.Equal(t, at("east", "new"), at("west", "new"), "all are in the one place")
	require.Equal(t, l.settings.Zone, at("east", "new")[0], "which is the dispatcher's")
	require.Equal(t, l.settings.Classes[0].Kind, at("east", "new")[1])
	require.Equal(t, at("east", "old"), at("east", "older"), "the settings name neither")

	s.Zone = 1
	require.NoError(t, l.reconfigure(l.mapSettings(s, wire.Names{Classes: []string{"a"}, Kinds: []string{"new"}, Zones: []string{"north", "west"}})))
	require.Equal(t, l.settings.Zone, at("west", "new")[0])
	require.Equal(t, at("east", "new"), at("south", "new"))
	require.NotEqual(t, at("east", "new"), at("north", "new"))
}

// Settings of more tenants than are kept numbered were taken at the start, and every reload of them was turned down, one that only
// moves discovery included. What counts is the names that the settings have no more.
func TestManyTenantsMayBeReloaded(t *testing.T) {
	f := &fleet{}
	l := loop(t, f)
	reload := func(of string, n int) error {
		s, names := l.settings, wire.Names{Classes: []string{"safe"}}
		s.Tenants = make([]decide.Tenant, n)
		for i := range n {
			names.Tenants = append(names.Tenants, fmt.Sprint(of, i))
		}
		return l.reconfigure(l.mapSettings(s, names))
	}
	for range 3 {
		require.NoError(t, reload("first ", 3*maxRetiredNames))
	}
	require.Error(t, reload("second ", 5), "so many names have left")
	require.NoError(t, reload("first ", 2*maxRetiredNames))
	require.Len(t, l.allNames.Tenants, 3*maxRetiredNames)
}

// A command in hand keeps its class where it changes hands to a process whose settings have another class of that name: what must not
// run twice by the older one's was sent again by the newer one's, though it might have run.
func TestTakenOverCommandKeepsItsClass(t *testing.T) {
	older, f, _ := begin(t)
	strict := older.settings
	strict.Classes = slices.Clone(strict.Classes)
	strict.Classes[0].Effect = decide.Unsafe
	require.NoError(t, older.reconfigure(older.mapSettings(strict, older.allNames)))
	older.Take(&Command{ID: "c2", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: &client{}})
	older.News(News{ID: "c1", From: "s-1", State: Done})
	older.runBatch()
	require.Len(t, f.sent, 2)

	l, c := loop(t, &fleet{}), &client{}
	l.Listed(List{Members: []Member{{ID: "s-1", State: decide.Ready}, {ID: "s-2", State: decide.Ready}}}, true)
	older.Yield(func(given Handed) bool {
		for _, cmd := range given.Commands {
			cmd.Client = c
		}
		l.Relieve(given)
		return true
	})
	older.runBatch()
	l.runBatch()
	l.Became(Fate{ID: "c2", Outcome: decide.Reset})
	l.runBatch()
	require.Equal(t, []Answer{{Verdict: Failed}}, c.answers, "it may have run")
	own := &client{}
	l.Take(&Command{ID: "c3", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: own})
	l.runBatch()
	l.Ended(l.byRequest[l.lastID].attempts[0], decide.Reset, 0)
	l.runBatch()
	require.Empty(t, own.answers, "what has come since goes by the own settings")
	require.Contains(t, l.Books.Figures(), "proxy.bad_gateway.safe=1\n")
	require.NotContains(t, l.Books.Figures(), "former")
}

// What an older process learned of a class counts only where the class is the same here.
func TestOtherJobsTeachNothing(t *testing.T) {
	given := func(deadline time.Duration) Handed {
		older := loop(t, &fleet{})
		s := older.settings
		s.Classes = slices.Clone(s.Classes)
		s.Classes[0].Deadline = deadline
		require.NoError(t, older.reconfigure(older.mapSettings(s, older.allNames)))
		h := Handed{Module: older.mod.Memory(), Numbers: older.instanceIDs, Names: older.allNames, Classes: older.settings.Classes}
		h.Module.Classes[0] = decide.ClassMemory{Run: 9, LogRun: 2, Jobs: 50, Budget: deadline}
		return h
	}
	for name, teach := range map[string]func(*Loop, Handed){"handed over": (*Loop).Relieve, "of a snapshot": (*Loop).Advise} {
		learned := func(h Handed) decide.ClassMemory {
			l := loop(t, &fleet{})
			teach(l, h)
			l.runBatch()
			return l.mod.Memory().Classes[indexOrLen(l.allNames.Classes, "safe")]
		}
		require.Positive(t, learned(given(time.Hour)).Jobs, name)
		require.Zero(t, learned(given(time.Minute)).Jobs, name)
		require.Zero(t, learned(given(time.Minute)).Budget, name)
	}
}

// Zones of a command's attempts changed hands by the older process's numbers: after a reload there, a repeat that is dropped in one zone
// alone could go to another. They go by their names.
func TestZonesChangeHandsByName(t *testing.T) {
	settings := func(zones ...string) (decide.Settings, wire.Names) {
		return decide.Settings{
			Dispatchers: 1, Granularity: time.Millisecond, Limits: decide.Limits{Attempts: 3, Cancel: true},
			Classes: []decide.Class{{Aim: time.Minute, Deadline: time.Hour, Worth: 1, Kind: decide.Any, Effect: decide.Keyed, Scope: decide.ScopeZone, Window: time.Hour}},
			Rules:   decide.Rules{Cold: time.Second, FallWindow: time.Second, MustAskIn: time.Second},
		}, wire.Names{Classes: []string{"keyed"}, Zones: zones}
	}
	begin := func(f *fleet, zones ...string) *Loop {
		s, n := settings(zones...)
		l, err := New(s, n, f, f, f, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		return l
	}
	f := &fleet{}
	older := begin(f, "elsewhere")
	require.NoError(t, older.reconfigure(older.mapSettings(settings("east", "west"))))
	older.Listed(List{Members: []Member{{ID: "s-1", Zone: "east", State: decide.Ready}}}, true)
	older.Take(&Command{ID: "c1", Class: "keyed", Deadline: time.Now().Add(time.Hour), Client: &client{}})
	older.runBatch()
	require.Len(t, f.sent, 1)

	took := &fleet{}
	l := begin(took, "east", "west", "south")
	l.Listed(List{Complete: true, Members: []Member{{ID: "s-2", Zone: "west", State: decide.Ready}}}, true)
	older.Yield(func(given Handed) bool {
		for _, cmd := range given.Commands {
			cmd.Client = &client{}
		}
		l.Relieve(given)
		return true
	})
	older.runBatch()
	l.runBatch()
	l.Became(Fate{ID: "c1", Outcome: decide.Reset})
	l.runBatch()
	require.Empty(t, took.sent, "its zone is the other one")
}

// A class that an older process does not know begins here as it does at a start.
func TestUnknownClassBeginsAsAtAStart(t *testing.T) {
	s := loop(t, &fleet{}).settings
	s.Classes = append(slices.Clone(s.Classes), s.Classes[0])
	fresh, err := New(s, wire.Names{Classes: []string{"other", "safe"}}, &fleet{}, &fleet{}, &fleet{}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	before := fresh.mod.Memory().Classes[0]
	older, _, _ := begin(t)
	older.Yield(func(given Handed) bool {
		given.Commands = nil
		fresh.Relieve(given)
		return true
	})
	older.runBatch()
	fresh.runBatch()
	require.Equal(t, before, fresh.mod.Memory().Classes[0])
}
