package rerun

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caperrelay/internal/rerun/policy"
)

func stageOf(key string) string {
	parts := strings.Split(key, "/")
	return parts[2]
}

func worker(n int, siteName, zone string) *policy.Place {
	return &policy.Place{Worker: fmt.Sprint("w", n), Kind: "m2", Site: siteName, Zone: zone}
}

func runID(i int) string { return fmt.Sprint("r", i) }

// A thousand runs use one bad output. It is made again once, after one trial, and stages that had not begun yet run as
// usual.
func TestThousandRunsOnOneBadOutput(t *testing.T) {
	sim := newSimulation(t, 1, 5, 1000)
	sim.policy(policyFile("1", "100%", "10m", filmPipeline("tenant:100%", 2, "")))
	sim.outcome = func(sim *simulation, g Execute) Command {
		if stageOf(g.Key) == "encode" && g.InputGens[0] == 1 {
			return Command{Cause: policy.BadInput, Input: "ingest", Place: worker(sim.rng.IntN(50), "s2", "b")}
		}
		return Command{OK: true, Place: worker(1, "s1", "a")}
	}
	for i := range 1000 {
		sim.submit(runID(i), "film", fmt.Sprint("t", i%3), map[string]string{"asset": "jingle"})
	}
	sim.finish(200_000)
	require.Equal(t, map[Kind]int{Done: 1000}, sim.endKinds(1000, runID))
	require.Equal(t, map[int64]int{1: 1, 2: 1}, sim.started["s/film/ingest/jingle"])
	e, _ := sim.machines[GroupOfRun("r0", 5)].Explain("r0")
	require.NotEmpty(t, e.History)
	require.Contains(t, fmt.Sprint(e.History), "encode: bad_input ingest")
}

// Reruns across three stages: package reports encode as bad, and the rerun of encode reports ingest as bad. Everything
// downstream of each runs once more, elsewhere.
func TestRerunsPropagateUpstream(t *testing.T) {
	sim := newSimulation(t, 2, 4, 100)
	sim.policy(policyFile("1", "5%", "10m", filmPipeline("fleet", 2, "")))
	var restrictions []policy.Where
	sim.outcome = func(sim *simulation, g Execute) Command {
		if !g.First {
			restrictions = append(restrictions, g.Where)
		}
		at := worker(1, "s1", "a")
		switch s := stageOf(g.Key); {
		case s == "package" && g.InputGens[0] == 1:
			return Command{Cause: policy.BadInput, Input: "encode", Place: worker(2, "s1", "a")}
		case s == "encode" && g.Gen == 2:
			return Command{Cause: policy.BadInput, Input: "ingest", Place: worker(3, "s1", "a")}
		default:
			return Command{OK: true, Place: at}
		}
	}
	sim.submit("r0", "film", "t", map[string]string{"asset": "x"})
	sim.finish(1000)
	r := sim.run("r0")
	require.Equal(t, Done, r.Answer.Kind, "%+v", r.History)
	require.Len(t, sim.started["s/film/ingest/x"], 2)
	require.Len(t, sim.started["r/r0/encode"], 3)
	require.Len(t, sim.started["r/r0/package"], 2)
	require.Len(t, sim.started["r/r0/publish"], 1)
	require.Equal(t, []policy.Where{policy.OtherSite, policy.OtherSite, policy.OtherSite, ""}, restrictions, "only targets of rules are restricted; stages downstream use all workers of their class")
	require.Equal(t, 4, r.Answer.Reruns)
}

// A publish that may have run stops its pipeline, which then needs a person, with the known reason. One that certainly
// did not run is rerun.
func TestOnceStageIsNotRunTwice(t *testing.T) {
	publishRule := "[[pipeline.rerun]]\non=\"publish\"\nwhen='cause.kind == \"never_ran\"'\nrerun=\"self\"\nmost=2\nbudget=\"fleet\"\nelse=\"person\""
	for _, cause := range []policy.Cause{policy.MayHaveRun, policy.RanFailed, policy.BadInput, policy.Late, policy.CalledOff, policy.NeverRan} {
		sim := newSimulation(t, 3, 3, 100)
		sim.policy(policyFile("1", "5%", "10m", filmPipeline("fleet", 2, publishRule)))
		sim.outcome = func(sim *simulation, g Execute) Command {
			if stageOf(g.Key) == "publish" && g.Gen == 1 {
				return Command{Cause: cause, Input: "package", Place: worker(4, "s", "a")}
			}
			return Command{OK: true}
		}
		sim.submit("r0", "film", "t", map[string]string{"asset": "x"})
		sim.finish(1000)
		a := sim.run("r0").Answer
		if cause == policy.NeverRan {
			require.Equal(t, Done, a.Kind)
			require.Len(t, sim.started["r/r0/publish"], 2)
			continue
		}
		require.Equal(t, NeedsPerson, a.Kind, cause)
		require.Contains(t, a.Reason, "must not run twice")
		require.Equal(t, "publish", a.Stage)
		require.Len(t, sim.started["r/r0/publish"], 1)
	}
}

// twoResults is a pipeline in which publish, which must not run twice, and notify both use package; notify reports
// package as bad.
const twoResults = `[[pipeline]]
name="two"
result=["publish","notify"]
within="1h"
[[pipeline.stage]]
name="package"
class="light"
work="5s"
[[pipeline.stage]]
name="publish"
class="publish"
work="1s"
needs=["package"]
[[pipeline.stage]]
name="notify"
class="light"
work="1s"
needs=["package"]
[[pipeline.rerun]]
on="notify"
when='cause.kind == "bad_input"'
rerun="cause.input"
most=2
budget="fleet"
`

func rerunUnsafe(sim *simulation) {
	sim.policy(policyFile("1", "5%", "10m", twoResults))
	sim.duration = func(sim *simulation, g Execute) time.Duration {
		return map[string]time.Duration{"package": time.Second, "publish": time.Second, "notify": 3 * time.Second}[stageOf(g.Key)]
	}
	sim.outcome = func(sim *simulation, g Execute) Command {
		if stageOf(g.Key) == "notify" {
			return Command{Cause: policy.BadInput, Input: "package"}
		}
		return Command{OK: true}
	}
	sim.submit("r0", "two", "t", nil)
	sim.finish(1000)
}

func TestRerunUpstreamOfOnceStageNeedsPerson(t *testing.T) {
	sim := newSimulation(t, 4, 3, 100)
	rerunUnsafe(sim)
	a := sim.run("r0").Answer
	require.Equal(t, NeedsPerson, a.Kind)
	require.Contains(t, a.Reason, "notify says that package is spoilt, and publish, which must not run twice, has used it")
	require.Len(t, sim.started["r/r0/package"], 1)
}

// A worker reports every input as bad. Its first claims are believed; then other workers are asked, and it is no longer
// believed.
func TestWorkerWithFalseClaimsIsDistrusted(t *testing.T) {
	sim := newSimulation(t, 5, 4, 4)
	sim.policy(policyFile("1", "100%", "60m", filmPipeline("tenant:100%", 3, "")))
	falseClaims := 0
	sim.outcome = func(sim *simulation, g Execute) Command {
		at := worker(sim.rng.IntN(10), "s1", "a")
		if g.Where != "" && g.Where != policy.Anywhere && at.Worker == g.FailedPlace.Worker {
			at = worker(50, "s2", "b")
		}
		if stageOf(g.Key) == "package" && at.Worker == "w3" {
			falseClaims++
			return Command{Cause: policy.BadInput, Input: "encode", Place: at}
		}
		return Command{OK: true, Place: at}
	}
	for i := range 200 {
		sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
	}
	sim.finish(100_000)
	require.Equal(t, map[Kind]int{Done: 200}, sim.endKinds(200, runID), "false claims: %d", falseClaims)
	reruns := 0
	for key, gens := range sim.started {
		if stageOf(key) == "encode" {
			reruns += len(gens) - 1
		}
	}
	require.Greater(t, falseClaims, 5)
	require.LessOrEqual(t, reruns, 2, "false claims cause almost no upstream reruns")
}

// A worker that accepts most of its inputs is believed when it reports some as bad, which costs no second opinions; one
// that reports every third input regardless is still detected.
func TestHonestWorkerIsBelieved(t *testing.T) {
	for _, c := range []struct {
		name        string
		falseClaims bool
		atMost      int // second opinions; with false claims: claims that are believed per claimRetention
	}{{"honest", false, 8}, {"false claims", true, crossCheckInterval + 8}} { // plus the 8 executions that may run concurrently
		sim := newSimulation(t, 12, 4, 8)
		sim.policy(policyFile("1", "100%", "60m", filmPipeline("tenant:100%", 3, "")))
		seen, opinions := 0, 0
		sim.outcome = func(sim *simulation, g Execute) Command {
			at := worker(1, "s1", "a") // the only worker of the site with nearly all first runs
			if !g.First && g.Where != policy.Anywhere {
				at = worker(2+sim.rng.IntN(9), "s2", "b")
			}
			if stageOf(g.Key) != "package" || at.Worker != "w1" {
				if stageOf(g.Key) == "package" && !c.falseClaims && g.InputGens[0] == 1 && isBad(g.Key) { // a second worker confirms
					opinions++
					return Command{Cause: policy.BadInput, Input: "encode", Place: at}
				}
				return Command{OK: true, Place: at}
			}
			if seen++; !c.falseClaims && g.InputGens[0] == 1 && isBad(g.Key) || c.falseClaims && seen%3 == 0 {
				return Command{Cause: policy.BadInput, Input: "encode", Place: at}
			}
			return Command{OK: true, Place: at}
		}
		for i := range 240 {
			sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
			if i%20 == 19 { // second opinions are reruns, which run after first runs
				sim.finish(200_000)
			}
		}
		require.Equal(t, map[Kind]int{Done: 240}, sim.endKinds(240, runID), c.name)
		reruns := 0
		for key, gens := range sim.started {
			if stageOf(key) == "encode" {
				reruns += len(gens) - 1
			}
		}
		if !c.falseClaims {
			require.Greater(t, reruns, 40)
			require.LessOrEqual(t, opinions, c.atMost, "second opinions on %d true claims", reruns)
			continue
		}
		times := int((sim.now-startAt)/claimRetention) + 1
		require.LessOrEqual(t, reruns, times*c.atMost, "false claims believed, in %d periods of 10 min", times)
		require.Less(t, reruns, seen/3/2, "of all false claims")
	}
}

// Guards against a third check of a claim that a second worker has confirmed, because that worker has made many claims
// itself.
func TestConfirmedClaimIsNotCheckedAgain(t *testing.T) {
	sim := newSimulation(t, 15, 4, 4)
	sim.policy(policyFile("1", "100%", "60m", filmPipeline("tenant:100%", 3, "")))
	first := 2 // two claims per worker are believed: those of the confirming worker, then those of the claiming one
	sim.outcome = func(sim *simulation, g Execute) Command {
		switch {
		case stageOf(g.Key) != "package" || g.InputGens[0] > 1:
			return Command{OK: true, Place: worker(9, "s1", "a")}
		case g.First:
			return Command{Cause: policy.BadInput, Input: "encode", Place: worker(first, "s1", "a")}
		}
		return Command{Cause: policy.BadInput, Input: "encode", Place: worker(2, "s1", "a")}
	}
	for i := range 5 {
		if i == 2 {
			first = 1
		}
		sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
		sim.finish(10_000)
	}
	require.Equal(t, map[Kind]int{Done: 5}, sim.endKinds(5, runID))
	require.Len(t, sim.started["r/r3/package"], 2, "believed")
	require.Len(t, sim.started["r/r4/package"], 3, "checked once: %v", sim.run("r4").History)
}

// isBad selects one key in four.
func isBad(key string) bool { return sha256.Sum256([]byte(key))[0]%4 == 0 }

// Reruns receive the sites whose outputs are all bad, and avoid them.
func TestFrequentlyFailingSitesAreAvoided(t *testing.T) {
	sim := newSimulation(t, 13, 4, 40)
	sim.policy(policyFile("1", "100%", "60m", filmPipeline("tenant:100%", 3, "")))
	informed, uninformed := 0, 0
	sim.outcome = func(sim *simulation, g Execute) Command {
		at := worker(sim.rng.IntN(20), fmt.Sprint("s", sim.rng.IntN(4)), "a")
		if stageOf(g.Key) == "encode" && !g.First {
			if slices.Contains(g.SuspectSites, policy.Place{Zone: "a", Site: "s0"}) {
				informed++
				at.Site = "s1"
			} else {
				uninformed++
			}
			require.NotContains(t, g.SuspectSites, policy.Place{Zone: "a", Site: "s1"})
		}
		if stageOf(g.Key) == "package" {
			if o := sim.machines[GroupOfRun(strings.Split(g.Key, "/")[1], 4)].state.Outputs[g.Inputs[0]]; o.Place.Site == "s0" {
				return Command{Cause: policy.BadInput, Input: "encode", Place: worker(sim.rng.IntN(90), "s2", "b")}
			}
		}
		return Command{OK: true, Place: at}
	}
	for i := range 200 {
		sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
	}
	sim.finish(200_000)
	require.Equal(t, map[Kind]int{Done: 200}, sim.endKinds(200, runID))
	require.Greater(t, informed, 5*uninformed, "%d reruns informed, %d not", informed, uninformed)
	for _, m := range sim.machines { // and the counts expire
		sim.now += 2 * claimRetention
		m.Apply(0, sim.now, Command{Op: OpTick}.Encode())
		require.Empty(t, m.state.SiteFailures)
	}
}

// Guards against reruns that avoid the site with most outputs, as it has most failures, and go to one whose few outputs
// are all bad.
func TestSitesAreRatedByFailureShare(t *testing.T) {
	sim := newSimulation(t, 16, 4, 40)
	sim.policy(policyFile("1", "100%", "60m", filmPipeline("tenant:100%", 3, "")))
	made, avoidedGoodSite, notAvoidedBadSite := 0, 0, 0
	sim.outcome = func(sim *simulation, g Execute) Command {
		switch id := strings.Split(g.Key, "/")[1]; stageOf(g.Key) {
		case "encode":
			site := "s0"
			if made++; g.First && made%20 == 0 {
				site = "s1"
			} else if !g.First {
				site = "s2"
				if made > 100 {
					avoidedGoodSite += map[bool]int{true: 1}[slices.Contains(g.SuspectSites, policy.Place{Zone: "a", Site: "s0"})]
					notAvoidedBadSite += map[bool]int{true: 1}[!slices.Contains(g.SuspectSites, policy.Place{Zone: "a", Site: "s1"})]
				}
			}
			return Command{OK: true, Place: worker(sim.rng.IntN(20), site, "a")}
		case "package":
			o := sim.machines[GroupOfRun(id, 4)].state.Outputs[g.Inputs[0]]
			if o.Place.Site == "s1" || o.Place.Site == "s0" && isBad(g.Key) {
				return Command{Cause: policy.BadInput, Input: "encode", Place: worker(sim.rng.IntN(90), "s2", "b")}
			}
		}
		return Command{OK: true, Place: worker(sim.rng.IntN(90), "s2", "b")}
	}
	for i := range 300 {
		sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
		if i%20 == 19 {
			sim.finish(200_000)
		}
	}
	require.Equal(t, map[Kind]int{Done: 300}, sim.endKinds(300, runID))
	require.Equal(t, []int{0, 0}, []int{avoidedGoodSite, notAvoidedBadSite}, "reruns that avoid s0, reruns sent to s1")
}

// Guards against a second opinion on a stage's input at a site where that stage's own outputs are bad, so that it has to
// run again.
func TestSecondOpinionsAvoidFailingSites(t *testing.T) {
	sim := newSimulation(t, 17, 4, 40)
	sim.policy(policyFile("1", "100%", "60m", filmPipeline("tenant:100%", 3, "")))
	bad := policy.Place{Zone: "a", Site: "s0"}
	avoidedBadSite, sentToBadSite := 0, 0
	sim.outcome = func(sim *simulation, g Execute) Command {
		id := strings.Split(g.Key, "/")[1]
		switch stageOf(g.Key) {
		case "encode":
			if g.First && sim.rng.IntN(3) == 0 { // a false claim
				return Command{Cause: policy.BadInput, Input: "ingest", Place: worker(99, "s3", "b")}
			}
			site := "s1"
			switch second := sim.run(id).Stages[1].CheckedClaim != nil; {
			case second && slices.Contains(g.SuspectSites, bad):
				avoidedBadSite++
			case second:
				sentToBadSite++
				site = "s0"
			case g.First:
				site = []string{"s0", "s1", "s2"}[sim.rng.IntN(3)]
			}
			return Command{OK: true, Place: worker(sim.rng.IntN(20), site, "a")}
		case "package":
			if sim.machines[GroupOfRun(id, 4)].state.Outputs[g.Inputs[0]].Place.Site == "s0" {
				return Command{Cause: policy.BadInput, Input: "encode", Place: worker(sim.rng.IntN(90), "s2", "b")}
			}
		}
		return Command{OK: true, Place: worker(sim.rng.IntN(90), "s2", "b")}
	}
	for i := range 200 {
		sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
		if i%20 == 19 {
			sim.finish(200_000)
		}
		if i == 39 { // the site has failed often by now
			avoidedBadSite, sentToBadSite = 0, 0
		}
	}
	require.Equal(t, map[Kind]int{Done: 200}, sim.endKinds(200, runID))
	require.Greater(t, avoidedBadSite, 20)
	require.Zero(t, sentToBadSite, "of %d", avoidedBadSite+sentToBadSite)
}

// All outputs of a site are lost: reruns for them start with a trial and then stay within its capacity.
func TestRerunsOfLostOutputsStayWithinCapacity(t *testing.T) {
	sim := newSimulation(t, 6, 4, 1000)
	sim.policy(policyFile("1", "100%", "60m", filmPipeline("tenant:100%", 3, "")))
	for g := range sim.machines {
		sim.apply(uint32(g), Command{Op: OpCapacities, Capacities: map[string]int{"a.s1": 6}})
	}
	running, most := map[string]bool{}, 0
	sim.outcome = func(sim *simulation, g Execute) Command {
		if stageOf(g.Key) == "package" && g.InputGens[0] == 1 {
			return Command{Cause: policy.OutputLost, Input: "encode"}
		}
		if stageOf(g.Key) == "encode" && !g.First {
			running[g.Key] = true
			most = max(most, len(running))
		}
		if stageOf(g.Key) == "package" {
			delete(running, strings.Replace(g.Key, "package", "encode", 1))
		}
		return Command{OK: true, Place: worker(1, "s1", "a")}
	}
	for i := range 300 {
		sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
	}
	sim.finish(200_000)
	require.Equal(t, map[Kind]int{Done: 300}, sim.endKinds(300, runID))
	require.LessOrEqual(t, most, 6)
	require.Equal(t, 600, sim.reruns, "one more run of each encode and its package, nothing else")
}

// Where an upstream stage stays bad, three trials show it, and all runs that wait for a verdict get their answer.
func TestWaitingRunsAreDeniedAfterFailedTrials(t *testing.T) {
	sim := newSimulation(t, 7, 4, 1000)
	sim.policy(policyFile("1", "100%", "60m", filmPipeline("tenant:100%", 1, "")))
	sim.outcome = func(sim *simulation, g Execute) Command {
		if stageOf(g.Key) == "package" {
			return Command{Cause: policy.BadInput, Input: "encode"}
		}
		return Command{OK: true, Place: worker(1, "s1", "a")}
	}
	for i := range 100 {
		sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
	}
	sim.finish(200_000)
	require.Equal(t, map[Kind]int{Dead: 100}, sim.endKinds(100, runID))
	require.LessOrEqual(t, sim.reruns, 2*maxFailedTrials)
}

// A new policy version halves the budget during runs: those keep their own version to the end.
func TestRunsKeepPolicyVersion(t *testing.T) {
	sim := newSimulation(t, 8, 4, 1000)
	sim.policy(policyFile("1", "50%", "30s", filmPipeline("tenant:50%", 2, "")))
	sim.outcome = func(sim *simulation, g Execute) Command {
		if stageOf(g.Key) == "package" && g.InputGens[0] == 1 && sim.rng.IntN(3) == 0 {
			return Command{Cause: policy.BadInput, Input: "encode"}
		}
		return Command{OK: true, Place: worker(1, "s1", "a")}
	}
	for i := range 40 {
		sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
	}
	for range 300 {
		sim.step()
	}
	sim.policy(policyFile("2", "25%", "30s", filmPipeline("tenant:25%", 2, "")))
	for i := 40; i < 80; i++ {
		sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
	}
	sim.finish(100_000)
	require.Zero(t, sim.endKinds(80, runID)[""])
	require.Equal(t, "1", sim.run("r0").Policy)
	require.Equal(t, "2", sim.run("r79").Policy)
	for g := range sim.machines {
		r := sim.apply(uint32(g), Command{Op: OpPolicy, Text: policyFile("2", "26%", "30s", filmPipeline("tenant:25%", 2, "")), Site: &site})
		require.False(t, r.OK, "a version has one text")
	}
}

// With random faults, crashes and duplicated messages, each run has one answer, bounds and budgets hold, and no stage
// that must not run twice does (simulation.check and simulation.startExecution check at each step).
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { randomFaults(t, Faults{}) })
}

func randomFaults(t *rapid.T, faulty Faults) {
	sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), uint32(rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "groups")), rapid.IntRange(2, 40).Draw(t, "running"))
	for _, m := range sim.machines {
		m.faults = faulty
	}
	sim.duplicate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
	publishRule := "[[pipeline.rerun]]\non=\"publish\"\nwhen='cause.kind in [\"never_ran\", \"refused\"]'\nrerun=\"self\"\nmost=2\nbudget=\"fleet\"\nelse=\"person\""
	sim.policy(policyFile("1", rapid.SampledFrom([]string{"5%", "100%"}).Draw(t, "fleet"), rapid.SampledFrom([]string{"20s", "10m"}).Draw(t, "spare"), filmPipeline("tenant:20%", 2, publishRule), twoResults))
	faults := rapid.IntRange(0, 40).Draw(t, "faults")
	sim.outcome = func(sim *simulation, g Execute) Command {
		at := worker(sim.rng.IntN(6), fmt.Sprint("s", sim.rng.IntN(3)), []string{"a", "b"}[sim.rng.IntN(2)])
		if sim.rng.IntN(100) >= faults {
			return Command{OK: true, Place: at}
		}
		c := Command{Cause: policy.Causes[sim.rng.IntN(len(policy.Causes))], Place: at}
		if len(g.Inputs) > 0 {
			c.Input = stageOf(g.Inputs[sim.rng.IntN(len(g.Inputs))])
		}
		return c
	}
	n := rapid.IntRange(1, 25).Draw(t, "runs")
	assets := rapid.IntRange(1, n).Draw(t, "assets")
	for i := range n {
		if i%5 == 4 {
			sim.submit(runID(i), "two", "u", nil)
		} else {
			sim.submit(runID(i), "film", fmt.Sprint("t", i%2), map[string]string{"asset": fmt.Sprint("a", i%assets)})
		}
	}
	crash := rapid.IntRange(0, 30).Draw(t, "crash") // per thousand steps
	for range 60_000 {
		if !sim.unfinished() || !sim.step() {
			break
		}
		if sim.rng.IntN(1000) < crash {
			sim.crash(uint32(sim.rng.IntN(len(sim.machines))))
		}
	}
	sim.finish(0)
	for i := range n {
		if _, known := sim.answers[runID(i)]; !known {
			e, _ := sim.machines[GroupOfRun(runID(i), uint32(len(sim.machines)))].Explain(runID(i))
			require.Fail(t, "run has no answer", "%s after %v, %d events left: %+v", runID(i), sim.now-startAt, len(sim.events), e)
		}
	}
}

// Disabling any of the safety rules is detected.
func TestMutantsAreCaught(t *testing.T) {
	caught := func(f func(require.TestingT)) (yes bool) {
		failed := &recordingT{}
		defer func() {
			if r := recover(); r != nil && r != any(failed) {
				panic(r)
			}
			yes = failed.failed
		}()
		f(failed)
		return failed.failed
	}
	shared := func(t require.TestingT, faulty Faults) {
		sim := newSimulation(t, 1, 4, 1000)
		for _, m := range sim.machines {
			m.faults = faulty
		}
		sim.policy(policyFile("1", "100%", "1h", filmPipeline("fleet", 2, "")))
		verdictPossible := false // from the first run of encode on
		sim.outcome = func(sim *simulation, g Execute) Command {
			if stageOf(g.Key) == "encode" && g.InputGens[0] == 1 {
				return Command{Cause: policy.BadInput, Input: "ingest"}
			}
			verdictPossible = verdictPossible || stageOf(g.Key) == "encode"
			return Command{OK: true, Place: worker(1, "s1", "a")}
		}
		sim.duration = func(sim *simulation, g Execute) time.Duration {
			if stageOf(g.Key) == "ingest" && !g.First {
				return time.Minute
			}
			return time.Second
		}
		for i := range 20 {
			sim.submit(runID(i), "film", "t", map[string]string{"asset": "x"})
		}
		for range 4000 {
			if !sim.unfinished() || !sim.step() {
				break
			}
			most := 0
			for _, m := range sim.machines {
				for _, p := range m.state.Fingerprints {
					most = max(most, len(p.Admitted))
				}
			}
			if !verdictPossible {
				require.LessOrEqual(t, most, 1, "trial skipped")
			}
		}
		require.LessOrEqual(t, len(sim.started["s/film/ingest/x"]), 2, "generation not compared: one bad output is made again once")
	}
	grants := func(t require.TestingT, faulty Faults) {
		sim := newSimulation(t, 1, 4, 1000)
		sim.duplicate = 1
		for _, m := range sim.machines {
			m.faults = faulty
		}
		sim.policy(policyFile("1", "1%", "1m", filmPipeline("fleet", 2, "")))
		sim.outcome = func(sim *simulation, g Execute) Command {
			if stageOf(g.Key) == "package" && g.InputGens[0] == 1 {
				return Command{Cause: policy.BadInput, Input: "encode"}
			}
			return Command{OK: true}
		}
		for i := range 20 {
			sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
		}
		sim.finish(5000)
	}
	for _, c := range []struct {
		name     string
		faulty   Faults
		scenario func(require.TestingT, Faults)
	}{
		{"generation not compared", Faults{AnyGeneration: true, NoTrial: true}, shared},
		{"trial skipped", Faults{NoTrial: true}, shared},
		{"budget granted twice", Faults{GrantTwice: true}, grants},
		{"unsafe rerun", Faults{RerunOnceStages: true}, func(t require.TestingT, f Faults) {
			sim := newSimulation(t, 4, 3, 100)
			for _, m := range sim.machines {
				m.faults = f
			}
			rerunUnsafe(sim)
		}},
	} {
		require.False(t, caught(func(t require.TestingT) { c.scenario(t, Faults{}) }), "%s: with the rule enabled", c.name)
		require.True(t, caught(func(t require.TestingT) { c.scenario(t, c.faulty) }), "%s: not detected", c.name)
		fmt.Println("rerun mutant caught:", c.name)
	}
}

type recordingT struct{ failed bool }

func (f *recordingT) Errorf(string, ...any) { f.failed = true }
func (f *recordingT) FailNow()              { panic(f) }

// timestamps matches fields that depend on time alone.
var timestamps = regexp.MustCompile(`"(at|made|began|since|idle|not|until|ran)":\d+,?|"story":\[[^\]]*\],?`)

// Explores all interleavings of messages, ends and timers for two runs, of two groups, that use one bad output of a
// third group: the output is made again once, and both runs are done.
func TestAllInterleavingsOfOneSharedRerun(t *testing.T) {
	const depth, mostLost = 40, 1
	groups := uint32(4)
	find := func(g uint32) string {
		for i := 0; ; i++ {
			if id := fmt.Sprint("q", i); GroupOfRun(id, groups) == g {
				return id
			}
		}
	}
	a, b := find(1), find(2)
	asset := ""
	for i := 0; asset == ""; i++ {
		if m := New(Config{Groups: groups}); m.groupOf(fmt.Sprint("s/film/ingest/x", i)) == 3 {
			asset = fmt.Sprint("x", i)
		}
	}
	sim := newSimulation(t, 1, groups, 100)
	sim.policy(policyFile("1", "100%", "1h", filmPipeline("fleet", 2, "")))
	key := "s/film/ingest/" + asset
	sim.outcome = func(sim *simulation, g Execute) Command {
		if stageOf(g.Key) == "encode" && g.InputGens[0] == 1 {
			return Command{Cause: policy.BadInput, Input: "ingest"}
		}
		return Command{OK: true, Place: worker(1, "s1", "a")}
	}
	sim.submit(a, "film", "t", map[string]string{"asset": asset})
	sim.submit(b, "film", "t", map[string]string{"asset": asset})
	for sim.run(a).Stages[1].Pending == nil || sim.run(b).Stages[1].Pending == nil { // until both report it as bad
		require.True(t, sim.step())
	}
	type node struct {
		ms      []*Machine
		now     time.Duration
		running []Execute // at the workers
		lost    int       // lost confirmations
		where   []uint32
	}
	begin := node{now: sim.now}
	for _, m := range sim.machines {
		begin.ms = append(begin.ms, clone(m))
	}
	seen := map[[32]byte]bool{}
	ends, deepest, transitions, cut := 0, 0, 0, 0
	copyOf := func(n node, g ...uint32) node {
		c := node{ms: slices.Clone(n.ms), now: n.now, lost: n.lost, running: slices.Clone(n.running), where: slices.Clone(n.where)}
		for _, i := range g {
			c.ms[i] = clone(n.ms[i])
		}
		return c
	}
	apply := func(n *node, g uint32, c Command) Result {
		r, err := DecodeResult(n.ms[g].Apply(0, n.now, c.Encode()))
		require.NoError(t, err)
		return r
	}
	var visit func(n node, d int)
	visit = func(n node, d int) {
		h := sha256.New()
		for _, m := range n.ms {
			text, err := json.Marshal(m.state)
			require.NoError(t, err)
			h.Write(timestamps.ReplaceAll(text, nil)) // time does not affect what follows
		}
		for _, g := range n.running {
			fmt.Fprint(h, g.Key, g.Gen, ";")
		}
		fmt.Fprint(h, n.lost)
		sum := [32]byte(h.Sum(nil))
		if seen[sum] {
			return
		}
		seen[sum] = true
		deepest = max(deepest, d)
		if d == depth {
			cut++
			return
		}
		if o := n.ms[3].state.Outputs[key]; o != nil {
			require.LessOrEqual(t, o.LastGen, int64(2), "one rerun")
		}
		moved := false
		explore := func(c node) {
			moved = true
			transitions++
			visit(c, d+1)
		}
		for g := range groups {
			for _, act := range n.ms[g].Actions() {
				switch act := act.(type) {
				case Execute:
					if stageOf(act.Key) == "package" || stageOf(act.Key) == "publish" {
						continue // beyond the rerun that is tested
					}
					c := copyOf(n, g)
					require.True(t, apply(&c, g, Command{Op: OpStart, Key: act.Key, Gen: act.Gen, Dispatcher: "d"}).OK)
					c.running, c.where = append(c.running, act), append(c.where, g)
					explore(c)
				case Deliver:
					c := copyOf(n, g, act.To) // applied and confirmed,
					r := apply(&c, act.To, Command{Op: OpMessages, Group: g, Messages: act.Messages[:1]})
					apply(&c, g, Command{Op: OpConfirmed, Group: act.To, Seq: r.Seq})
					explore(c)
					if n.lost < mostLost { // or applied, and the confirmation is lost
						c = copyOf(n, act.To)
						c.lost++
						apply(&c, act.To, Command{Op: OpMessages, Group: g, Messages: act.Messages[:1]})
						explore(c)
					}
				}
			}
		}
		for i, run := range n.running {
			c := copyOf(n, n.where[i])
			c.running, c.where = slices.Delete(slices.Clone(n.running), i, i+1), slices.Delete(slices.Clone(n.where), i, i+1)
			end := Command{Op: OpEnd, Key: run.Key, Gen: run.Gen, OK: true, Place: worker(1, "s1", "a")}
			require.True(t, apply(&c, n.where[i], end).OK)
			require.False(t, apply(&c, n.where[i], end).OK, "duplicate report")
			explore(c)
		}
		for g := range groups { // advance the time, only while a rule's backoff is next
			if m := n.ms[g]; len(m.timers) > 0 && m.timers[0].kind == "wait" {
				at := m.NextTimer()
				c := copyOf(n, g)
				c.now = max(c.now, at)
				apply(&c, g, Command{Op: OpTick})
				explore(c)
			}
		}
		if !moved {
			ends++
			for _, id := range []string{a, b} {
				r := n.ms[GroupOfRun(id, groups)].Run(id)
				require.EqualValues(t, 2, r.Stages[1].InputGens[0], "encode is made of the new output")
				require.True(t, r.valid(1))
			}
			require.EqualValues(t, 2, n.ms[3].state.Outputs[key].LastGen)
		}
	}
	visit(begin, 0)
	require.Positive(t, ends)
	fmt.Printf("rerun interleavings: %d states, %d transitions, depth %d, %d ends, %d cut\n", len(seen), transitions, deepest, ends, cut)
}

// No command causes a panic, and each refusal has a reason.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"v":1,"op":"letters","letters":[{"seq":1,"kind":"want","to":"x"},{"seq":2,"kind":"made","to":"r/r","stage":9}]}`))
	f.Add([]byte(`{"v":1,"op":"letters","letters":[{"seq":1,"kind":"grant","to":"x"}]}`))
	f.Fuzz(func(t *testing.T, cmd []byte) {
		m := New(Config{Groups: 1})
		m.Apply(1, startAt, Command{Op: OpPolicy, Text: policyFile("1", "5%", "10m", filmPipeline("fleet", 2, "")), Site: &site}.Encode())
		m.Apply(2, startAt, Command{Op: OpSubmit, ID: "r", Pipeline: "film", Params: map[string]string{"asset": "x"}}.Encode())
		r, err := DecodeResult(m.Apply(3, startAt, cmd))
		require.NoError(t, err)
		require.True(t, r.OK || r.Why != "")
		_, err = m.Snapshot()
		require.NoError(t, err)
	})
}

// Both inputs are bad, and package reports one at a time: that the other one is bad is no verdict on the first one's
// rerun, so that no run waiting for that verdict is denied.
func TestOtherBadInputIsNoTrialVerdict(t *testing.T) {
	sim := newSimulation(t, 9, 4, 1000)
	stage := func(name, needs string) string {
		return fmt.Sprintf("[[pipeline.stage]]\nname=%q\nclass=\"light\"\nwork=\"5s\"\nneeds=[%s]\n", name, needs)
	}
	sim.policy(policyFile("1", "100%", "60m", "[[pipeline]]\nname=\"pair\"\nresult=[\"package\"]\nwithin=\"1h\"\n"+stage("high", "")+stage("low", "")+stage("package", `"high","low"`)+
		"[[pipeline.rerun]]\non=\"package\"\nwhen='cause.kind == \"bad_input\"'\nrerun=\"cause.input\"\nmost=3\nbudget=\"fleet\"\n"))
	sim.outcome = func(sim *simulation, g Execute) Command {
		if stageOf(g.Key) == "package" {
			for i, name := range []string{"high", "low"} {
				if g.InputGens[i] == 1 {
					return Command{Cause: policy.BadInput, Input: name}
				}
			}
		}
		return Command{OK: true, Place: worker(1, "s1", "a")}
	}
	for i := range 20 {
		sim.submit(runID(i), "pair", "t", nil)
	}
	sim.finish(50_000)
	require.Equal(t, map[Kind]int{Done: 20}, sim.endKinds(20, runID))
	require.Equal(t, 20*4, sim.reruns)
}

// Guards against a second opinion that clears an input counting as a good verdict on reruns for its place, so that two
// of these run before there is a real verdict.
func TestSecondOpinionIsNoTrialVerdict(t *testing.T) {
	sim := newSimulation(t, 14, 4, 1000)
	sim.policy(policyFile("1", "100%", "60m", filmPipeline("tenant:100%", 3, "")))
	first, verdict, out, most, opinions := map[string]string{"r0": "s2", "r1": "s2"}, false, map[string]bool{}, 0, 0
	sim.outcome = func(sim *simulation, g Execute) Command {
		id := strings.Split(g.Key, "/")[1]
		encode := strings.Replace(g.Key, "package", "encode", 1)
		switch stage := stageOf(g.Key); {
		case stage == "encode" && g.Gen == 1:
			return Command{OK: true, Place: worker(1, cmp.Or(first[id], "s1"), "a")}
		case stage == "encode" && id > "r2" && !verdict:
			out[g.Key] = true
			most = max(most, len(out))
		case stage == "package" && id <= "r2" && g.Gen == 1: // the third false claim is checked first
			return Command{Cause: policy.BadInput, Input: "encode", Place: worker(3, "s3", "b")}
		case stage == "package" && id > "r2" && g.InputGens[0] == 1:
			return Command{Cause: policy.BadInput, Input: "encode", Place: worker(10+sim.rng.IntN(90), "s3", "b")}
		case stage == "package" && id > "r2":
			verdict = true
			delete(out, encode)
		case stage == "package" && id == "r2":
			opinions++
		}
		return Command{OK: true, Place: worker(2, "s4", "b")}
	}
	for i := range 9 {
		if i == 2 || i == 3 {
			sim.finish(10_000)
		}
		sim.submit(runID(i), "film", "t", map[string]string{"asset": runID(i)})
	}
	sim.finish(10_000)
	require.Equal(t, map[Kind]int{Done: 9}, sim.endKinds(9, runID))
	require.Len(t, sim.started["r/r2/encode"], 1)
	require.Equal(t, 1, opinions)
	require.Equal(t, 1, most, "concurrent reruns before the first verdict")
}

// A stage without any report is late after its own time limit, not its pipeline's, and runs again.
func TestStageIsLate(t *testing.T) {
	sim := newSimulation(t, 10, 3, 100)
	sim.policy(policyFile("1", "100%", "60m", strings.Replace(filmPipeline("fleet", 1, ""), "class=\"encode\"\nwork=\"10s\"", "class=\"encode\"\nwork=\"10s\"\nwithin=\"30s\"", 1)))
	sim.duration = func(sim *simulation, g Execute) time.Duration {
		if stageOf(g.Key) == "encode" && g.Gen == 1 {
			return time.Hour
		}
		return time.Second
	}
	sim.submit("r0", "film", "t", map[string]string{"asset": "x"})
	sim.finish(1000)
	r := sim.run("r0")
	require.Equal(t, Done, r.Answer.Kind, "%v", r.History)
	require.Less(t, r.Answer.At-r.Began, time.Minute)
	require.Len(t, sim.started["r/r0/encode"], 2)
}

// Guards against ending a stage that must not run twice, as late, before the end of its job, which comes with
// the job's deadline or a second later plus the time of the replicated log. It is late if nothing was reported a minute
// after that.
func TestOnceStageWaitsForJobEnd(t *testing.T) {
	publishRule := "[[pipeline.rerun]]\non=\"publish\"\nwhen='cause.kind == \"never_ran\"'\nrerun=\"self\"\nmost=2\nbudget=\"fleet\"\nelse=\"person\""
	for _, c := range []struct {
		name  string
		takes time.Duration
		ends  Command
		want  Kind
		cause policy.Cause
	}{
		{"done as its time ends", 30*time.Second + 100*time.Millisecond, Command{OK: true, Text: "published"}, Done, ""},
		{"not sent before its deadline", 30*time.Second + 200*time.Millisecond, Command{Cause: policy.NeverRan, Text: "its time was over before it could be done"}, Done, ""},
		{"may have run", 31*time.Second + 500*time.Millisecond, Command{Cause: policy.MayHaveRun, Text: "may have run"}, NeedsPerson, policy.MayHaveRun},
		{"no report", time.Hour, Command{OK: true}, NeedsPerson, policy.Late},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 11, 3, 100)
			sim.policy(policyFile("1", "100%", "60m", strings.Replace(filmPipeline("fleet", 1, publishRule), "work=\"1s\"", "work=\"1s\"\nwithin=\"30s\"", 1)))
			first := func(g Execute) bool { return stageOf(g.Key) == "publish" && g.Gen == 1 }
			sim.duration = func(sim *simulation, g Execute) time.Duration {
				if first(g) {
					return c.takes
				}
				return time.Second
			}
			sim.outcome = func(sim *simulation, g Execute) Command {
				if first(g) {
					return c.ends
				}
				return Command{OK: true}
			}
			sim.submit("r0", "film", "t", map[string]string{"asset": "x"})
			sim.finish(1000)
			a := sim.run("r0").Answer
			require.Equal(t, c.want, a.Kind, "%+v", a)
			require.Equal(t, c.cause, a.Cause)
			require.Less(t, a.At-sim.run("r0").Began, 2*time.Minute)
		})
	}
}
