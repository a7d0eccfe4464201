package rerun

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/rerun/policy"
)

// diamondPipeline is source > left, right > join > publish, with rules for bad and lost inputs.
const diamondPipeline = `[[pipeline]]
name="diamond"
result=["publish"]
within="1h"
[[pipeline.stage]]
name="source"
class="light"
work="10s"
[[pipeline.stage]]
name="left"
class="encode"
work="10s"
needs=["source"]
[[pipeline.stage]]
name="right"
class="encode"
work="10s"
needs=["source"]
[[pipeline.stage]]
name="join"
class="light"
work="5s"
needs=["left","right"]
[[pipeline.stage]]
name="publish"
class="publish"
work="1s"
needs=["join"]
[[pipeline.rerun]]
on="left"
when='cause.kind in ["bad_input", "output_lost"]'
rerun="cause.input"
where="other-site"
after="1s..8s"
most=2
budget="fleet"
[[pipeline.rerun]]
on="right"
when='cause.kind in ["bad_input", "output_lost"]'
rerun="cause.input"
where="other-site"
after="1s..8s"
most=2
budget="fleet"
[[pipeline.rerun]]
on="join"
when='cause.kind in ["bad_input", "output_lost"]'
rerun="cause.input"
where="other-site"
after="1s..8s"
most=2
budget="fleet"
`

func runDiamond(t *testing.T, outcome func(g Execute) Command) (*simulation, *Run) {
	sim := newSimulation(t, 21, 4, 100)
	sim.duplicate = 0.5 // ends and many messages arrive twice: only the first counts
	sim.policy(policyFile("7", "100%", "10m", diamondPipeline))
	sim.outcome = func(_ *simulation, g Execute) Command {
		c := outcome(g)
		if c.Place == nil {
			c.Place = worker(int(g.Gen), fmt.Sprint("s", g.Gen), "a")
		}
		return c
	}
	sim.submit("r0", "diamond", "t", nil)
	sim.finish(2000)
	return sim, sim.run("r0")
}

func (sim *simulation) generations() map[string]int {
	all := map[string]int{}
	for key, gens := range sim.started {
		all[stageOf(key)] = len(gens)
	}
	return all
}

// Both branches fail because of one input, at once or one after the other: it is made again once, as is each stage
// downstream.
func TestDiamond(t *testing.T) {
	for _, one := range []bool{false, true} {
		sim, r := runDiamond(t, func(g Execute) Command {
			if s := stageOf(g.Key); (s == "left" || s == "right" && !one) && g.InputGens[0] == 1 {
				return Command{Cause: policy.BadInput, Input: "source"}
			}
			return Command{OK: true}
		})
		require.Equal(t, Done, r.Answer.Kind, "%v", r.History)
		require.Equal(t, map[string]int{"source": 2, "left": 2, "right": 2, "join": 1, "publish": 1}, sim.generations(), "%v", r.History)
	}
}

// Guards against rerunning an input and everything downstream on the claim of a single worker, although another stage's
// worker accepted it.
func TestClaimOnInputAcceptedByAnotherStageIsChecked(t *testing.T) {
	for _, falseClaim := range []bool{true, false} {
		sim, r := runDiamond(t, func(g Execute) Command {
			if stageOf(g.Key) == "left" && g.InputGens[0] == 1 && (g.Gen == 1 || !falseClaim) {
				return Command{Cause: policy.BadInput, Input: "source", Place: worker(7+int(g.Gen), "s3", "b")}
			}
			return Command{OK: true}
		})
		require.Equal(t, Done, r.Answer.Kind, "%v", r.History)
		want := map[string]int{"source": 1, "left": 2, "right": 1, "join": 1, "publish": 1}
		if !falseClaim { // the second worker confirms
			want["source"], want["left"], want["right"] = 2, 3, 2
		}
		require.Equal(t, want, sim.generations(), "%v", r.History)
	}
}

// Guards against rerunning a shared input, and everything downstream in several runs, on the claim of a single worker,
// although the worker of another run accepted it.
func TestClaimOnSharedInputAcceptedByAnotherRunIsChecked(t *testing.T) {
	for _, falseClaim := range []bool{true, false} {
		sim := newSimulation(t, 22, 4, 100)
		sim.duplicate = 0.5
		sim.policy(policyFile("1", "100%", "60m", filmPipeline("fleet", 3, "")))
		sim.outcome = func(_ *simulation, g Execute) Command {
			if strings.HasPrefix(g.Key, "r/r1/encode") && g.InputGens[0] == 1 && (g.Gen == 1 || !falseClaim) {
				return Command{Cause: policy.BadInput, Input: "ingest", Place: worker(7+int(g.Gen), "s3", "b")}
			}
			return Command{OK: true, Place: worker(int(g.Gen), fmt.Sprint("s", g.Gen), "a")}
		}
		for i := range 2 {
			sim.submit(runID(i), "film", "t", map[string]string{"asset": "one"})
			sim.finish(2000)
		}
		history := sim.run("r1").History
		require.Equal(t, map[Kind]int{Done: 2}, sim.endKinds(2, runID), "%v", history)
		require.Len(t, sim.started["s/film/ingest/one"], map[bool]int{true: 1, false: 2}[falseClaim], "%v", history)
		require.Len(t, sim.started["r/r1/encode"], map[bool]int{true: 2, false: 3}[falseClaim], "%v", history)
	}
}

// Guards against rerunning a shared input on a claim that another run's worker contradicted while the claim was pending.
func TestAcceptanceAfterAClaimCounts(t *testing.T) {
	sim := newSimulation(t, 23, 4, 100)
	sim.policy(policyFile("1", "100%", "60m", filmPipeline("fleet", 3, "")))
	sim.duration = func(_ *simulation, g Execute) time.Duration {
		if g.Key == "r/r0/encode" {
			return g.Work/2 + 400*time.Millisecond // the claimed rerun's backoff is at least half a second
		}
		return g.Work / 2
	}
	sim.outcome = func(_ *simulation, g Execute) Command {
		if g.Key == "r/r1/encode" && g.Gen == 1 {
			return Command{Cause: policy.BadInput, Input: "ingest", Place: worker(8, "s3", "b")}
		}
		return Command{OK: true, Place: worker(int(g.Gen), fmt.Sprint("s", g.Gen), "a")}
	}
	for i := range 2 {
		sim.submit(runID(i), "film", "t", map[string]string{"asset": "one"})
	}
	sim.finish(2000)
	require.Equal(t, map[Kind]int{Done: 2}, sim.endKinds(2, runID))
	require.Len(t, sim.started["s/film/ingest/one"], 1, "%v", sim.run("r1").History)
}

// The output being made again loses its own input in the meantime, or is lost as soon as it exists.
func TestOutputLostDuringRerun(t *testing.T) {
	sim, r := runDiamond(t, func(g Execute) Command {
		switch s := stageOf(g.Key); {
		case s == "join" && g.InputGens[0] == 1:
			return Command{Cause: policy.BadInput, Input: "left"}
		case s == "left" && g.Gen == 2: // its input is lost during the rerun
			return Command{Cause: policy.OutputLost, Input: "source"}
		}
		return Command{OK: true}
	})
	require.Equal(t, Done, r.Answer.Kind, "%v", r.History)
	require.Equal(t, map[string]int{"source": 2, "left": 3, "right": 2, "join": 2, "publish": 1}, sim.generations(), "%v", r.History)

	sim, r = runDiamond(t, func(g Execute) Command {
		if stageOf(g.Key) == "join" && g.InputGens[0] < 3 {
			return Command{Cause: policy.OutputLost, Input: "left"}
		}
		return Command{OK: true}
	})
	require.Equal(t, Done, r.Answer.Kind, "%v", r.History)
	require.Equal(t, map[string]int{"source": 1, "left": 3, "right": 1, "join": 3, "publish": 1}, sim.generations(), "%v", r.History)

	sim, r = runDiamond(t, func(g Execute) Command { // lost every time: there is a final answer, within the rule's limit
		if stageOf(g.Key) == "join" {
			return Command{Cause: policy.OutputLost, Input: "left"}
		}
		return Command{OK: true}
	})
	require.Equal(t, Dead, r.Answer.Kind)
	require.Equal(t, "join", r.Answer.Stage)
	require.LessOrEqual(t, sim.generations()["left"], 3)
}

// Explain reports for each rerun the policy version and line, what became stale and the cost, and what the run waits
// for.
func TestExplain(t *testing.T) {
	sim := newSimulation(t, 22, 4, 100)
	text := policyFile("7", "100%", "10m", diamondPipeline)
	sim.policy(text)
	sim.outcome = func(_ *simulation, g Execute) Command {
		if stageOf(g.Key) == "join" && g.InputGens[0] == 1 {
			return Command{Cause: policy.BadInput, Input: "left", Place: worker(5, "s5", "a")}
		}
		return Command{OK: true, Place: worker(1, "s1", "a")}
	}
	sim.submit("r0", "diamond", "t", nil)
	explain := func() Explained {
		r := sim.apply(GroupOfRun("r0", 4), Command{Op: OpRead, ID: "r0"})
		require.True(t, r.OK)
		return *r.Explained
	}
	waited := map[string]bool{}
	for explain().Answer == nil {
		for _, line := range explain().WaitsFor {
			for _, what := range []string{"until left is run again", "which d", "whether its worker is believed", "verdict of a rerun that went first"} {
				waited[what] = waited[what] || strings.Contains(line, what)
			}
		}
		require.True(t, sim.step())
	}
	require.True(t, waited["until left is run again"])
	require.True(t, waited["which d"], "names the dispatcher")
	e := explain()
	require.Equal(t, "7", e.Policy)
	require.Equal(t, 2, e.Reruns, "left, join, and nothing else: %v", e.History)
	require.Equal(t, 15*time.Second, e.Work)
	line := 1 + strings.Count(text[:strings.LastIndex(text, "[[pipeline.rerun]]")], "\n")
	var rules []string
	for _, l := range e.History {
		if l.Rule > 0 {
			require.Equal(t, line, l.Rule, l.Text)
			rules = append(rules, l.Text)
		}
	}
	require.Equal(t, []string{"generation 1 of left is stale", "left runs again as generation 2, 10s of work", "join runs again as generation 2, 5s of work"}, rules)
}
