package prove

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/net/pipelines"
	"caperrelay/internal/rerun"
	"caperrelay/internal/rerun/policy"
	"caperrelay/internal/rerun/workersim"
	pipelinev1 "caperrelay/proto/winglb/pipeline/v1"
)

// stageRun is one at a worker, done or not.
func stageRun(run, stage string, done bool) workersim.Run {
	r := workersim.Run{Worker: workersim.Worker{ID: "s-1"}, JobBody: pipelines.JobBody{Run: run, Stage: stage}, Began: time.Unix(1, 0)}
	if done {
		r.Ended = r.Began.Add(time.Second)
	}
	return r
}

// Guards against a job that never reached a worker, or whose end was told, passing as one that may have run.
func TestPersonsAreSortedByWhatWorkersKnow(t *testing.T) {
	person := func(cause policy.Cause) *pipelinev1.Answer {
		return &pipelinev1.Answer{Kind: string(rerun.NeedsPerson), Stage: "publish", Cause: string(cause), Reason: "publish: late"}
	}
	answers := map[string]*pipelinev1.Answer{
		"run0": person(policy.Late), "run1": person(policy.MayHaveRun), "run2": person(policy.Late), "run3": person(policy.BadInput),
		"run4": person(policy.BadInput), "run5": {Kind: string(rerun.Done)}, "run6": person(policy.RanFailed), "run7": person(""),
	}
	runs := []workersim.Run{
		stageRun("run0", "package", true),
		stageRun("run1", "publish", true),
		stageRun("run2", "publish", false),
		stageRun("run3", "publish", true),
		stageRun("run5", "publish", true),
		stageRun("run6", "publish", true),
		stageRun("run7", "publish", false),
	}
	var k personKinds
	var told bytes.Buffer
	k.count(&told, runs, answers, map[string]rerun.Explained{})
	require.Equal(t, personKinds{never: []string{"run0", "run4"}, answered: []string{"run1", "run6"}, underWay: []string{"run2", "run7"}, recalled: []string{"run3"}}, k)
	require.Contains(t, told.String(), "run0 needs a person, never reached a worker: publish: late")
	require.Contains(t, told.String(), "run1 needs a person, answered by a worker: publish: may_have_run: publish: late; it came to s-1 by n0")
	require.Equal(t, "never_reached_x=2 answered_x=2 under_way_x=2 recalled_x=1", k.line("_x"))
}

// Guards against bounds that hold for one of the two policies only, or that do not say which runs break them.
func TestPersonsBreakAPlayInBothPolicies(t *testing.T) {
	sound := func() rerunPlay {
		p := rerunPlay{plays: 1}
		p.ours.finished, p.plain.finished, p.plain.wasted = rerunRuns, 1, 1
		return p
	}
	p := sound()
	require.NoError(t, p.broken())
	p.ours.persons.underWay, p.plain.persons.recalled = []string{"run1"}, []string{"run2"}
	require.NoError(t, p.broken())
	for _, part := range []func(*rerunPlay) *personKinds{
		func(p *rerunPlay) *personKinds { return &p.ours.persons },
		func(p *rerunPlay) *personKinds { return &p.plain.persons },
	} {
		p = sound()
		part(&p).never = []string{"run34"}
		require.ErrorContains(t, p.broken(), "run34")
		p = sound()
		part(&p).answered = []string{"run78"}
		require.ErrorContains(t, p.broken(), "run78")
	}
}

// Guards against a last line that is one play's, or that leaves a figure out of the sums.
func TestSumsOfPlays(t *testing.T) {
	one := rerunPlay{plays: 1}
	one.ours = rerunPart{
		rerunFigures: rerunFigures{
			finished: 1, person: 2, dead: 3, missing: 4, twice: 5, work: 6, wasted: 7, reruns: 8, least: 9, useless: 10, floods: 11, budget: 12, bound: 13, ended: 14, faults: 15,
			persons: personKinds{never: []string{"run1"}, answered: []string{"run2"}, underWay: []string{"run3"}, recalled: []string{"run4"}},
		},
		took: []time.Duration{2 * time.Second},
	}
	one.plain = one.ours
	other := one
	other.ours.took = []time.Duration{time.Second}
	var sums rerunPlay
	sums.add(one)
	sums.add(other)
	want := rerunPart{
		rerunFigures: rerunFigures{
			finished: 2, person: 4, dead: 6, missing: 8, twice: 10, work: 12, wasted: 14, reruns: 16, least: 18, useless: 20, floods: 22, budget: 24, bound: 26, ended: 28, faults: 30,
			persons: personKinds{never: []string{"run1", "run1"}, answered: []string{"run2", "run2"}, underWay: []string{"run3", "run3"}, recalled: []string{"run4", "run4"}},
			p99:     2 * time.Second,
		},
		took: []time.Duration{time.Second, 2 * time.Second},
	}
	require.Equal(t, want, sums.ours)
	require.Equal(t, 2, sums.plays)
	require.Equal(t, 2*rerunRuns-4, sums.can())
	require.Contains(t, sums.String(), "pipelines=240 ")
	require.Contains(t, sums.String(), " needs_person=4 never_reached=2 answered=2 under_way=2 recalled=2 ")
	require.Contains(t, sums.String(), " needs_person_retry_only=4 never_reached_retry_only=2 ")
}

func TestPlaysOutOfBounds(t *testing.T) {
	for _, r := range []Reruns{{Plays: 0, AtOnce: 1}, {Plays: 1, AtOnce: 0}, {Plays: 1, AtOnce: 1, Busy: -1}, {Plays: 1, AtOnce: 1, Busy: mostRerunBusy + 1}, {Plays: 1, AtOnce: mostRerunsAtOnce + 1}} {
		require.ErrorContains(t, r.Run(Options{}), "are possible", "%+v", r)
	}
}
