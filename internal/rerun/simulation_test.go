package rerun

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/rerun/policy"
)

var site = policy.Site{Classes: map[string]policy.Class{"light": {}, "encode": {}, "publish": {Once: true}}, Zones: []string{"a", "b"}}

// policyFile returns the text of a policy file.
func policyFile(version, fleet, spare string, more ...string) string {
	return fmt.Sprintf("version=%q\n[budget]\nfleet=%q\nspare=%q\n", version, fleet, spare) + strings.Join(more, "\n")
}

// filmPipeline is ingest (shared by asset) > encode > package > publish.
func filmPipeline(budget string, most int, more string) string {
	return fmt.Sprintf(`[[pipeline]]
name="film"
result=["publish"]
within="1h"
others=1
[[pipeline.stage]]
name="ingest"
class="light"
work="10s"
shared="asset"
[[pipeline.stage]]
name="encode"
class="encode"
work="10s"
needs=["ingest"]
[[pipeline.stage]]
name="package"
class="light"
work="5s"
needs=["encode"]
[[pipeline.stage]]
name="publish"
class="publish"
work="1s"
needs=["package"]
[[pipeline.rerun]]
on="encode"
when='cause.kind == "bad_input"'
rerun="cause.input"
where="other-site"
after="1s..8s"
most=%d
budget=%q
[[pipeline.rerun]]
on="package"
when='cause.kind in ["bad_input", "output_lost"]'
rerun="cause.input"
where="other-site"
after="1s..8s"
most=%d
budget=%q
[[pipeline.rerun]]
on="encode"
when='cause.kind == "failed" || cause.kind == "may_have_run" || cause.kind == "late"'
rerun="self"
where="other-worker"
most=%d
budget=%q
[[pipeline.rerun]]
on="ingest"
when='cause.kind == "failed" || cause.kind == "may_have_run"'
rerun="self"
most=%d
budget=%q
[[pipeline.rerun]]
on="package"
when='cause.kind == "failed" || cause.kind == "may_have_run"'
rerun="self"
most=%d
budget=%q
%s
`, most, budget, most, budget, most, budget, most, budget, most, budget, more)
}

// simulation runs groups in virtual time, with faulty leaders, messages between groups, and workers.
type simulation struct {
	t          require.TestingT
	rng        *rand.Rand
	now        time.Duration
	machines   []*Machine
	events     []event
	seq        int
	dead       map[string]bool           // dispatchers
	leaderTerm []int                     // by group; it names the leader
	started    map[string]map[int64]int  // by output key and generation
	startedBy  map[string]map[string]int // by run and stage: executions started because of the run
	neverRan   map[string]bool           // by key@gen: certainly not run
	reruns     int
	checks     int
	answers    map[string]Answer
	// outcome returns the result of an execution.
	outcome   func(sim *simulation, g Execute) Command
	duration  func(sim *simulation, g Execute) time.Duration
	duplicate float64
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

const startAt = 1_700_000_000 * time.Second

func newSimulation(t require.TestingT, seed uint64, groups uint32, running int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: startAt, dead: map[string]bool{}, leaderTerm: make([]int, groups), started: map[string]map[int64]int{},
		answers: map[string]Answer{}, startedBy: map[string]map[string]int{}, neverRan: map[string]bool{},
		outcome: func(*simulation, Execute) Command { return Command{OK: true} },
		duration: func(sim *simulation, g Execute) time.Duration {
			return g.Work/2 + time.Duration(sim.rng.Int64N(int64(g.Work/2)))
		},
	}
	for g := range groups {
		sim.machines = append(sim.machines, New(Config{Group: g, Groups: groups, MaxRunning: running}))
	}
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	sim.events = append(sim.events, event{sim.now + d, sim.seq, do})
}

func (sim *simulation) apply(group uint32, c Command) Result {
	r, err := DecodeResult(sim.machines[group].Apply(0, sim.now, c.Encode()))
	require.NoError(sim.t, err)
	return r
}

func (sim *simulation) policy(text string) {
	for g := range sim.machines {
		r := sim.apply(uint32(g), Command{Op: OpPolicy, Text: text, Site: &site})
		require.True(sim.t, r.OK, r.Why)
	}
}

func (sim *simulation) submit(id, pipeline, tenant string, params map[string]string) {
	r := sim.apply(GroupOfRun(id, uint32(len(sim.machines))), Command{Op: OpSubmit, ID: id, Pipeline: pipeline, Tenant: tenant, Params: params})
	require.True(sim.t, r.OK, r.Why)
}

func (sim *simulation) run(id string) *Run {
	return sim.machines[GroupOfRun(id, uint32(len(sim.machines)))].Run(id)
}

func (sim *simulation) leader(g uint32) string { return fmt.Sprintf("d%d.%d", g, sim.leaderTerm[g]) }

// crash replaces the leader of a group. The outcome of the old leader's executions is unknown.
func (sim *simulation) crash(g uint32) {
	old := sim.leader(g)
	sim.dead[old] = true
	sim.leaderTerm[g]++
	sim.apply(g, Command{Op: OpTakeOver, Dispatcher: old})
	text, err := sim.machines[g].Snapshot()
	require.NoError(sim.t, err)
	next := New(sim.machines[g].config)
	next.faults = sim.machines[g].faults
	require.NoError(sim.t, next.Restore(text))
	again, err := next.Snapshot()
	require.NoError(sim.t, err)
	require.JSONEq(sim.t, string(text), string(again))
	sim.machines[g] = next
}

// step performs the actions of each group's leader, then advances to the next event or timer; false if nothing is left.
func (sim *simulation) step() bool {
	for moved := true; moved; {
		moved = false
		for g := range sim.machines {
			moved = sim.performActions(uint32(g)) || moved
		}
	}
	next := time.Duration(0)
	for _, m := range sim.machines {
		if at := m.NextTimer(); at > 0 && (next == 0 || at < next) && sim.unfinished() {
			next = at
		}
	}
	slices.SortFunc(sim.events, func(a, b event) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.seq - b.seq
	})
	if len(sim.events) > 0 && (next == 0 || sim.events[0].at <= next) {
		e := sim.events[0]
		sim.events = sim.events[1:]
		sim.now = max(sim.now, e.at)
		e.do()
		sim.check()
		return true
	}
	if next == 0 {
		return false
	}
	sim.now = max(sim.now, next)
	for g, m := range sim.machines {
		if at := m.NextTimer(); at > 0 && at <= sim.now {
			sim.apply(uint32(g), Command{Op: OpTick})
		}
	}
	sim.check()
	return true
}

func (sim *simulation) unfinished() bool {
	for _, m := range sim.machines {
		if _, open := m.Size(); open > 0 {
			return true
		}
	}
	return false
}

func (sim *simulation) performActions(g uint32) (moved bool) {
	for _, a := range sim.machines[g].Actions() {
		switch a := a.(type) {
		case Execute:
			moved = sim.startExecution(g, a) || moved
		case Deliver:
			top := a.Messages[len(a.Messages)-1].Seq
			if sim.rng.Float64() < sim.duplicate { // duplicate delivery, as if the first confirmation had been lost
				sim.apply(a.To, Command{Op: OpMessages, Group: g, Messages: a.Messages})
			}
			moved = true
			r := sim.apply(a.To, Command{Op: OpMessages, Group: g, Messages: a.Messages})
			require.LessOrEqual(sim.t, r.Seq, top)
			if r.Seq > 0 {
				sim.apply(g, Command{Op: OpConfirmed, Group: a.To, Seq: r.Seq})
			}
		}
	}
	return moved
}

func (sim *simulation) startExecution(g uint32, a Execute) bool {
	by := sim.leader(g)
	if !sim.apply(g, Command{Op: OpStart, Key: a.Key, Gen: a.Gen, Dispatcher: by}).OK {
		return false
	}
	if sim.started[a.Key] == nil {
		sim.started[a.Key] = map[int64]int{}
	}
	if a.Once {
		for gen := range sim.started[a.Key] {
			require.True(sim.t, sim.neverRan[fmt.Sprint(a.Key, "@", gen)], "once stage ran twice: %s generation %d after %d", a.Key, a.Gen, gen)
		}
	}
	sim.started[a.Key][a.Gen]++
	require.Equal(sim.t, 1, sim.started[a.Key][a.Gen], "a generation is started once")
	if !a.First {
		sim.reruns++
	}
	if sim.startedBy[a.Run] == nil {
		sim.startedBy[a.Run] = map[string]int{}
	}
	sim.startedBy[a.Run][a.Name]++
	c := sim.outcome(sim, a)
	c.Op, c.Key, c.Gen = OpEnd, a.Key, a.Gen
	if !c.OK && !c.Cause.MayHaveTakenEffect() {
		sim.neverRan[fmt.Sprint(a.Key, "@", a.Gen)] = true
	}
	sim.after(sim.duration(sim, a), func() {
		if sim.dead[by] {
			return // its dispatcher is gone
		}
		sim.apply(g, c)
		if sim.rng.Float64() < sim.duplicate { // duplicate report
			require.False(sim.t, sim.apply(g, c).OK, "a stage is answered once")
		}
	})
	return true
}

// check verifies the invariants.
func (sim *simulation) check() {
	if sim.checks++; sim.unfinished() && len(sim.startedBy) > 100 && sim.checks%100 > 0 { // with many runs, only every hundredth time
		return
	}
	for _, m := range sim.machines {
		for id, r := range m.state.Runs {
			if r.Answer != nil {
				if before, known := sim.answers[id]; known {
					require.Equal(sim.t, before, *r.Answer, "answer changed")
				}
				sim.answers[id] = *r.Answer
			}
		}
	}
	spent, has, given := map[string]int64{}, map[string]int64{}, map[string]int64{}
	for _, m := range sim.machines {
		for name, a := range m.state.Accounts {
			require.GreaterOrEqual(sim.t, a.Balance, int64(0))
			spent[name] += a.Spent
			has[name] += a.Balance
			given[name] += a.Accrued
		}
		for key, p := range m.state.Pools {
			name := strings.TrimPrefix(key, "b/")
			require.GreaterOrEqual(sim.t, p.Balance, int64(0))
			has[name] += p.Balance
			given[name] += p.Spare
		}
		for _, p := range m.state.Fingerprints {
			if !m.faults.NoTrial {
				require.LessOrEqual(sim.t, len(p.Admitted), max(defaultCapacity, 32), "too many concurrent reruns")
			}
		}
	}
	for name := range spent {
		require.LessOrEqual(sim.t, spent[name], given[name], "budget exceeded: %s", name)
		require.LessOrEqual(sim.t, spent[name]+has[name], given[name], "%s was granted twice", name)
	}
	for id, stages := range sim.startedBy {
		if r := sim.run(id); r != nil {
			for i, s := range r.pipeline.Stages {
				require.LessOrEqual(sim.t, stages[s.Name], r.pipeline.Bound.Runs[i], "bound exceeded: %s of %s", s.Name, id)
			}
		}
	}
}

// finish steps until all runs have answers, or the number of steps is reached.
func (sim *simulation) finish(steps int) {
	for range steps {
		if !sim.unfinished() || !sim.step() {
			break
		}
	}
	sim.checks = 99
	sim.check()
}

func (sim *simulation) endKinds(n int, id func(int) string) map[Kind]int {
	kinds := map[Kind]int{}
	for i := range n {
		kinds[sim.answers[id(i)].Kind]++
	}
	return kinds
}

// clone returns an independent machine with the same state.
func clone(m *Machine) *Machine {
	text, _ := json.Marshal(m.state)
	n := New(m.config)
	n.faults, n.policies = m.faults, m.policies
	json.Unmarshal(text, &n.state)
	for id, r := range n.state.Runs {
		r.pipeline = m.state.Runs[id].pipeline
	}
	for key, o := range n.state.Outputs {
		if o.Requests == nil {
			o.Requests = map[string]*OutputRequest{}
		}
		if o.Users == nil {
			o.Users = map[string]int64{}
		}
		if o.Execution != nil {
			n.executions[key] = o
		}
	}
	n.timers, n.unfinished = slices.Clone(m.timers), m.unfinished
	return n
}
