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

// site is the settings of one site.
type site struct {
	decide.Settings
	wire.Names
}

// drawSite draws settings. The name lists of any two sites share a prefix, so that a name has the same number at
// both.
func drawSite(t *rapid.T, prefix string, seed uint64) site {
	number := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(t, prefix+" "+name) }
	span := func(name string, from, to int) time.Duration {
		return time.Duration(number(name, from, to)) * time.Millisecond
	}
	share := func(name string) float64 { return float64(number(name, 0, 100)) / 100 }
	yes := func(name string) bool { return rapid.Bool().Draw(t, prefix+" "+name) }
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
		Seed: seed, DispatcherIndex: number("slot", 0, dispatchers-1), DispatcherCount: dispatchers, Zone: number("zone", 0, max(0, len(s.Zones)-1)),
		Granularity: span("granularity", 1, 4), OverShareWorth: share("over"), Subscribe: true, ListPushed: yes("pushed"),
		ReportsStart: yes("starts"), RetriesMarked: yes("marks"), ProgressInterval: span("progress", 0, 300), Rated: yes("rated"), ReportsFreeSlots: yes("reports"),
		Limits: decide.Limits{
			MaxAttempts: number("attempts", 1, 4), MaxOpen: number("open", 0, 12), Cancel: yes("cancel"), ParallelAttempts: yes("copies"), Probes: yes("probes"),
			RetryAfter: yes("after"), MaxRetryAfter: span("most after", 0, 900), ConnectTimeout: span("connect", 50, 900), ConnIdle: span("idle", 200, 9000),
		},
		Rules: decide.Rules{
			DrainGrace: span("grace", 50, 900), ColdFrom: 0.05 + 0.9*share("cold from"), Cold: span("cold", 0, 9000), FallMultiple: 1 + 2*share("fall"),
			FallWindow: span("window", 100, 2000), MustAskIn: span("ask", 300, 9000), GoneIsAdvisory: yes("advice"),
		},
		Prices: decide.Prices{CrossZone: share("cross"), Waste: share("waste")},
	}
	if yes("budget") {
		s.Rules.Budget = &decide.AttemptBudget{Spare: float64(number("spare", 0, 3)), PerRequest: share("per request"), Window: span("budget span", 100, 2000)}
	}
	for range s.Names.Classes {
		s.Settings.Classes = append(s.Settings.Classes, decide.Class{
			Aim: span("aim", 10, 500), Stretch: 3 * share("stretch"), Deadline: span("deadline", 500, 4000), Worth: share("worth"), LateWorth: share("late"),
			Effect: decide.Effect(number("effect", 0, 2)), Scope: decide.Scope(number("scope", 0, 2)), DedupWindow: span("class window", 0, 2000),
			Kind: number("kind", -1, max(-1, len(s.Kinds)-1)),
		})
	}
	for range s.Names.Tenants {
		s.Settings.Tenants = append(s.Settings.Tenants, decide.Tenant{QuotaPerSecond: 20 * share("quota")})
	}
	return s
}

// simulation is a loop whose decision module is driven in virtual time, with workers whose outcomes are derived
// from the attempts.
type simulation struct {
	*Loop
	now       time.Duration
	instances []Instance
	budget    map[uint32]time.Duration
	attempts  map[uint32]int
	pending   []dueEvent
	actions   []string // the decision module's actions
}

type dueEvent struct {
	at time.Duration
	e  decide.Event
}

func newSimulation(t *rapid.T, s site, instances []Instance) *simulation {
	f := &fleet{}
	l, err := New(s.Settings, s.Names, f, f, f, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return &simulation{Loop: l, now: time.Hour, instances: instances, budget: map[uint32]time.Duration{}, attempts: map[uint32]int{}}
}

// list passes the complete instance list to the module, with the names as numbered by the current settings.
func (p *simulation) list() {
	var lines []decide.Worker
	for _, m := range p.instances {
		w := p.toWorker(m, p.workerID(m.ID))
		if w.Started > 0 {
			w.Started = p.now - sinceEpoch(m.Started)
		}
		lines = append(lines, w)
	}
	slices.SortFunc(lines, func(a, b decide.Worker) int { return cmp.Compare(a.ID, b.ID) })
	p.handle(decide.ListFull{Workers: lines})
}

func (p *simulation) schedule(after time.Duration, e decide.Event) {
	p.pending = append(p.pending, dueEvent{p.now + after, e})
	slices.SortStableFunc(p.pending, func(a, b dueEvent) int { return cmp.Compare(a.at, b.at) })
}

func (p *simulation) handle(events ...decide.Event) {
	for _, a := range p.mod.Handle(p.now, events) {
		p.actions = append(p.actions, fmt.Sprintf("%v %T %+v", p.now, a, a))
		switch a := a.(type) {
		case decide.SetTimer:
			p.schedule(a.After, decide.TimerFired{Token: a.Token})
		case decide.Send:
			n := p.attempts[a.Request]
			p.attempts[a.Request]++
			h := fnv.New32a()
			fmt.Fprint(h, a.Request, n, p.instanceIDs[a.Worker])
			kind, duration := h.Sum32()%8, time.Duration(20+h.Sum32()/8%200)*time.Millisecond
			if kind < 5 {
				p.schedule(duration/8, decide.JobStarted{Request: a.Request, Attempt: n})
			}
			p.schedule(duration, decide.AttemptEnded{Request: a.Request, Attempt: n, Outcome: []decide.Outcome{
				decide.OK, decide.OK, decide.OK, decide.OK, decide.Errored, decide.Full, decide.Reset, decide.ConnectFailed}[kind], RequestEnded: kind < 4})
		}
	}
}

// runUntil advances the simulation to a moment.
func (p *simulation) runUntil(moment time.Duration) {
	for len(p.pending) > 0 && p.pending[0].at <= moment {
		next := p.pending[0]
		p.pending = p.pending[1:]
		p.now = next.at
		p.handle(next.e)
	}
	p.now = moment
}

// A dispatcher reloaded from any settings to any others makes the same decisions as one started with the latter,
// given the same list and requests: nothing of the first settings remains.
func TestReloadedDecidesLikeStarted(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		require.NoError(t, flag.Set("rapid.checks", "500"))
		defer flag.Set("rapid.checks", f.DefValue)
	}
	rapid.Check(t, func(rt *rapid.T) {
		before, after := drawSite(rt, "before", 1), drawSite(rt, "after", 2)
		var instances []Instance
		for i := range rapid.IntRange(1, 8).Draw(rt, "workers") {
			m := Instance{
				ID: fmt.Sprint("s-", i), Zone: fmt.Sprint("zone", rapid.IntRange(0, 3).Draw(rt, "zone")), Kind: fmt.Sprint("kind", rapid.IntRange(0, 2).Draw(rt, "kind")),
				Cell: i % 2, State: decide.Ready, Size: float64(1 + i%3),
			}
			if rapid.Bool().Draw(rt, "cold") {
				m.Started = time.Unix(0, 0).Add(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "age")) * time.Millisecond)
			}
			instances = append(instances, m)
		}
		reloaded, started := newSimulation(rt, before, instances), newSimulation(rt, after, instances)
		reloaded.list()
		require.NoError(rt, reloaded.reconfigure(reloaded.mapSettings(after.Settings, after.Names)))
		reloaded.actions = nil
		for _, p := range []*simulation{reloaded, started} {
			p.list()
		}
		for id := range uint32(rapid.IntRange(1, 30).Draw(rt, "requests")) {
			moment := started.now + time.Duration(rapid.IntRange(0, 120).Draw(rt, "gap"))*time.Millisecond
			class := rapid.IntRange(0, len(after.Names.Classes)-1).Draw(rt, "class")
			q := decide.Request{
				ID: id + 1, Class: class, Tenant: rapid.IntRange(0, len(after.Names.Tenants)).Draw(rt, "tenant"), Key: uint64(rapid.IntRange(0, 3).Draw(rt, "key")),
				Budget: after.Settings.Classes[class].Deadline * time.Duration(rapid.IntRange(30, 100).Draw(rt, "budget")) / 100, Slots: 1, Memory: 0.5,
			}
			for _, p := range []*simulation{reloaded, started} {
				p.runUntil(moment)
				p.handle(q)
			}
		}
		for _, p := range []*simulation{reloaded, started} {
			p.runUntil(p.now + 5*time.Second)
		}
		for i, want := range started.actions {
			require.Less(rt, i, len(reloaded.actions), "no further actions after %v", reloaded.actions)
			require.Equal(rt, want, reloaded.actions[i], "action %d", i)
		}
		require.Len(rt, reloaded.actions, len(started.actions))
	})
}

// Checks that after a reload, zones and kinds that are not in the settings are not mistaken for ones in the previous
// settings: two instances of one unnamed zone could be treated as different, and two of different zones as the same.
func TestZonesOfPreviousSettingsAreUnknown(t *testing.T) {
	f := &fleet{}
	l, err := New(decide.Settings{
		DispatcherCount: 1, Limits: decide.Limits{MaxAttempts: 1}, Classes: []decide.Class{{Aim: time.Second, Deadline: time.Second, Kind: 1}},
	}, wire.Names{Classes: []string{"a"}, Zones: []string{"east", "west"}, Kinds: []string{"old", "new"}}, f, f, f, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	at := func(zone, kind string) [2]int {
		w := l.toWorker(Instance{Zone: zone, Kind: kind}, 1)
		return [2]int{w.Zone, w.Kind}
	}
	require.Equal(t, [2]int{1, 1}, at("west", "new"))
	require.Equal(t, at("north", "older"), at("south", "oldest"))

	s := l.settings
	s.Classes, s.Zone = []decide.Class{{Aim: time.Second, Deadline: time.Second, Kind: 0}}, 0
	require.NoError(t, l.reconfigure(l.mapSettings(s, wire.Names{Classes: []string{"a"}, Kinds: []string{"new"}}))) // without zones
	require.Equal(t, at("east", "new"), at("west", "new"), "without zones all are in one zone")
	require.Equal(t, l.settings.Zone, at("east", "new")[0], "that zone must be the dispatcher's")
	require.Equal(t, l.settings.Classes[0].Kind, at("east", "new")[1])
	require.Equal(t, at("east", "old"), at("east", "older"), "neither kind is in the settings")

	s.Zone = 1
	require.NoError(t, l.reconfigure(l.mapSettings(s, wire.Names{Classes: []string{"a"}, Kinds: []string{"new"}, Zones: []string{"north", "west"}})))
	require.Equal(t, l.settings.Zone, at("west", "new")[0])
	require.Equal(t, at("east", "new"), at("south", "new"))
	require.NotEqual(t, at("east", "new"), at("north", "new"))
}

// Checks that settings with more tenants than the limit on numbered names, which are accepted at the start, can also
// be reloaded, for example with another discovery address only. Only names that are no longer in the settings
// count against the limit.
func TestSettingsWithManyTenantsCanBeReloaded(t *testing.T) {
	f := &fleet{}
	l := newTestLoop(t, f)
	reload := func(prefix string, n int) error {
		s, names := l.settings, wire.Names{Classes: []string{"safe"}}
		s.Tenants = make([]decide.Tenant, n)
		for i := range n {
			names.Tenants = append(names.Tenants, fmt.Sprint(prefix, i))
		}
		return l.reconfigure(l.mapSettings(s, names))
	}
	for range 3 {
		require.NoError(t, reload("first ", 3*maxRetiredNames))
	}
	require.Error(t, reload("second ", 5), "too many names were removed")
	require.NoError(t, reload("first ", 2*maxRetiredNames))
	require.Len(t, l.allNames.Tenants, 3*maxRetiredNames)
}

// Checks that a pending command keeps its class when it is handed over to a process whose settings define that name
// differently. Otherwise a command that must not run twice under the older definition could be sent again under the
// newer one, though it may have run.
func TestCommandKeepsClassAcrossHandover(t *testing.T) {
	older, f, _ := loopWithCommand(t)
	strict := older.settings
	strict.Classes = slices.Clone(strict.Classes)
	strict.Classes[0].Effect = decide.Unsafe
	require.NoError(t, older.reconfigure(older.mapSettings(strict, older.allNames)))
	older.Submit(&Command{ID: "c2", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: &client{}})
	older.HandleCallback(Callback{ID: "c1", From: "s-1", State: Done})
	older.runBatch()
	require.Len(t, f.sent, 2)

	l, c := newTestLoop(t, &fleet{}), &client{}
	l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Ready}, {ID: "s-2", State: decide.Ready}}}, true)
	older.HandOver(func(state HandoverState) bool {
		for _, cmd := range state.Commands {
			cmd.Client = c
		}
		l.TakeOver(state)
		return true
	})
	older.runBatch()
	l.runBatch()
	l.UpdateAttempt(AttemptUpdate{ID: "c2", Outcome: decide.Reset})
	l.runBatch()
	require.Equal(t, []Answer{{Verdict: Failed}}, c.answers, "the command may have run")
	own := &client{}
	l.Submit(&Command{ID: "c3", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: own})
	l.runBatch()
	l.AttemptEnded(l.byRequest[l.lastID].attempts[0], decide.Reset, 0)
	l.runBatch()
	require.Empty(t, own.answers, "later commands must use this process's settings")
	require.Contains(t, l.Counters.OperatorCounters(), "proxy.bad_gateway.safe=1\n")
	require.NotContains(t, l.Counters.OperatorCounters(), "former")
}

// What an older process learned of a class counts only if the class describes the same workload here.
func TestLearnedStateOfOtherClassDefinitionIsIgnored(t *testing.T) {
	state := func(deadline time.Duration) HandoverState {
		older := newTestLoop(t, &fleet{})
		s := older.settings
		s.Classes = slices.Clone(s.Classes)
		s.Classes[0].Deadline = deadline
		require.NoError(t, older.reconfigure(older.mapSettings(s, older.allNames)))
		h := HandoverState{Module: older.mod.Snapshot(), InstanceIDs: older.instanceIDs, Names: older.allNames, Classes: older.settings.Classes}
		h.Module.Classes[0] = decide.ClassSnapshot{MeanRun: 9, MeanLogRun: 2, Jobs: 50, MaxBudget: deadline}
		return h
	}
	for name, load := range map[string]func(*Loop, HandoverState){"handed over": (*Loop).TakeOver, "from a snapshot": (*Loop).ImportLearned} {
		learned := func(h HandoverState) decide.ClassSnapshot {
			l := newTestLoop(t, &fleet{})
			load(l, h)
			l.runBatch()
			return l.mod.Snapshot().Classes[indexOrLen(l.allNames.Classes, "safe")]
		}
		require.Positive(t, learned(state(time.Hour)).Jobs, name)
		require.Zero(t, learned(state(time.Minute)).Jobs, name)
		require.Zero(t, learned(state(time.Minute)).MaxBudget, name)
	}
}

// Checks that the zones of a command's attempts are matched by name at a handover. With the older process's numbers,
// a retry that is deduplicated within one zone only could go to another zone after a reload there.
func TestZonesAreHandedOverByName(t *testing.T) {
	settings := func(zones ...string) (decide.Settings, wire.Names) {
		return decide.Settings{
			DispatcherCount: 1, Granularity: time.Millisecond, Limits: decide.Limits{MaxAttempts: 3, Cancel: true},
			Classes: []decide.Class{{Aim: time.Minute, Deadline: time.Hour, Worth: 1, Kind: decide.Any, Effect: decide.Keyed, Scope: decide.ScopeZone, DedupWindow: time.Hour}},
			Rules:   decide.Rules{Cold: time.Second, FallWindow: time.Second, MustAskIn: time.Second},
		}, wire.Names{Classes: []string{"keyed"}, Zones: zones}
	}
	newLoop := func(f *fleet, zones ...string) *Loop {
		s, n := settings(zones...)
		l, err := New(s, n, f, f, f, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		return l
	}
	f := &fleet{}
	older := newLoop(f, "elsewhere")
	require.NoError(t, older.reconfigure(older.mapSettings(settings("east", "west"))))
	older.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", Zone: "east", State: decide.Ready}}}, true)
	older.Submit(&Command{ID: "c1", Class: "keyed", Deadline: time.Now().Add(time.Hour), Client: &client{}})
	older.runBatch()
	require.Len(t, f.sent, 1)

	newerFleet := &fleet{}
	l := newLoop(newerFleet, "east", "west", "south")
	l.UpdateInstances(InstanceUpdate{Complete: true, Instances: []Instance{{ID: "s-2", Zone: "west", State: decide.Ready}}}, true)
	older.HandOver(func(state HandoverState) bool {
		for _, cmd := range state.Commands {
			cmd.Client = &client{}
		}
		l.TakeOver(state)
		return true
	})
	older.runBatch()
	l.runBatch()
	l.UpdateAttempt(AttemptUpdate{ID: "c1", Outcome: decide.Reset})
	l.runBatch()
	require.Empty(t, newerFleet.sent, "the only instance is in another zone")
}

// A class that an older process does not have begins here as after a start.
func TestUnknownClassStartsFresh(t *testing.T) {
	s := newTestLoop(t, &fleet{}).settings
	s.Classes = append(slices.Clone(s.Classes), s.Classes[0])
	fresh, err := New(s, wire.Names{Classes: []string{"other", "safe"}}, &fleet{}, &fleet{}, &fleet{}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	before := fresh.mod.Snapshot().Classes[0]
	older, _, _ := loopWithCommand(t)
	older.HandOver(func(state HandoverState) bool {
		state.Commands = nil
		fresh.TakeOver(state)
		return true
	})
	older.runBatch()
	fresh.runBatch()
	require.Equal(t, before, fresh.mod.Snapshot().Classes[0])
}
