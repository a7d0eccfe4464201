package policy

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caperrelay/internal/siteconf"
)

var site = Site{
	Classes: map[string]Class{"ingest": {}, "encode": {Kind: "m2"}, "light": {}, "publish": {Once: true}},
	Zones:   []string{"a", "b"},
}

const lecture = `version = "7"
[budget]
fleet = "5%"
spare = "10m"
[[pipeline]]
name = "lecture"
result = ["publish"]
within = "2h"
[[pipeline.stage]]
name = "ingest"
class = "ingest"
work = "30s"
[[pipeline.stage]]
name = "encode"
class = "encode"
work = "2m"
needs = ["ingest"]
[[pipeline.stage]]
name = "captions"
class = "light"
work = "1m"
needs = ["ingest"]
[[pipeline.stage]]
name = "package"
class = "light"
work = "20s"
needs = ["encode", "captions"]
[[pipeline.stage]]
name = "publish"
class = "publish"
work = "5s"
needs = ["package"]
[[pipeline.rerun]]
on = "package"
when = 'cause.kind == "bad_input" && cause.input.age < duration("2h")'
rerun = "cause.input"
where = "other-site"
after = "2s..30s"
most = 2
budget = "tenant:3%"
stale = "rerun"
else = "dead"
[[pipeline.rerun]]
on = "encode"
when = 'cause.kind in ["failed", "late"] || cause.kind == "may_have_run"'
rerun = "self"
most = 1
budget = "fleet"
`

func TestBoundIsComputed(t *testing.T) {
	p, err := Parse("reruns.toml", []byte(lecture), site)
	require.NoError(t, err)
	b := p.Pipelines["lecture"]
	require.Equal(t, "pipeline lecture: at most 16 runs, 13m10s of work, within 2h0m0s: ingest 1 encode 4 captions 3 package 4 publish 4", b.String(), "the input of package may be either, and everything downstream of encode runs again")
}

// Each error of a policy file is one line with file, line, key and fix.
func TestErrorsNameLineKeyAndFix(t *testing.T) {
	const rule, when = `on = "package"`, `when = 'cause.kind == "bad_input" && cause.input.age < duration("2h")'`
	for _, c := range []struct {
		from, to string
		line     string // where the error is reported, after the change
		want     []string
	}{
		{`version = "7"`, ``, ``, []string{"version", `write version = "1"`}},
		{`fleet = "5%"`, `fleet = 5`, `fleet = 5`, []string{"budget.fleet", `write "5%"`}},
		{`fleet = "5%"`, ``, `[budget]`, []string{"budget.fleet", "missing"}},
		{`within = "2h"`, `within = 2`, `within = 2`, []string{"within", `"2h"`}},
		{`within = "2h"`, `wihtin = "2h"`, `wihtin = "2h"`, []string{"pipeline.wihtin", `write "within"`}},
		{`within = "2h"`, `within = "2h"` + "\nmost_work = \"5m\"", `most_work = "5m"`, []string{"most_work", "13m10s"}},
		{`result = ["publish"]`, `result = ["pubish"]`, `result = ["pubish"]`, []string{"result", `write "publish"`}},
		{`result = ["publish"]`, `result = ["package"]`, `[[pipeline.stage]]`, []string{"pipeline.stage[4]", `"publish" is never used`}},
		{`class = "encode"`, `class = "encde"`, `class = "encde"`, []string{"pipeline.stage[1].class", `write "encode"`}},
		{`work = "2m"`, `work = 120`, `work = 120`, []string{"work", `"120s"`}},
		{`work = "2m"`, `work = "2m"` + "\nwithin = \"1m\"", `within = "1m"`, []string{"stage[1].within", "from its work, 2m0s"}},
		{`work = "2m"`, ``, `[[pipeline.stage]]`, []string{"stage[1].work", "missing"}},
		{`needs = ["package"]`, `needs = ["packge"]`, `needs = ["packge"]`, []string{"stage[4].needs", `write "package"`}},
		{`work = "30s"`, `work = "30s"` + "\nneeds = [\"package\"]", `needs`, []string{"needs", "a cycle: ", "ingest needs package", "remove one"}},
		{`name = "captions"`, `name = "encode"`, `name = "encode"`, []string{"stage[2].name", "twice"}},
		{`work = "5s"`, `work = "5s"` + "\nshared = \"asset\"", `shared = "asset"`, []string{"stage[4].shared", "must not run twice"}},
		{`work = "2m"`, `work = "2m"` + "\nshared = \"asset\"", `shared = "asset"`, []string{"stage[1].shared", `needs "ingest"`}},
		{rule, `on = "pakage"`, `on = "pakage"`, []string{"pipeline.rerun[0].on", `write "package"`}},
		{when, `when = 'cause.knd == "bad_input"'`, `when =`, []string{"rerun[0].when", "column", `write "cause.kind"`}},
		{when, `when = 'cause.kind == 3'`, `when =`, []string{"when", "no matching overload", "write for example"}},
		{when, `when = 'cause.kind'`, `when =`, []string{"when", "must be a bool, not string"}},
		{when, `when = 'cause.kind == "bad_inptu"'`, `when =`, []string{"when", "no cause", `write "bad_input"`}},
		{when, `when = 'cause.input.age < duration("2 hours") && cause.kind == "bad_input"'`, `when =`, []string{"when", "duration"}},
		{when, `when = 'cause.kind == "late" && cause.input.age > duration("1h")'`, `when =`, []string{"when", "can never hold", "remove the rule"}},
		{when, `when = 'cause.kind == "bad_input" && cause.input.stage == "ingest"'`, `when =`, []string{"when", `no input of "package"`}},
		{when, `when = 'cause.kind == "bad_input" && cause.input.age < duration("1h") && cause.input.age > duration("2h")'`, `when =`, []string{"when", "can never hold"}},
		{when, `when = 'cause.kind == "bad_input" && run.age > duration("3h")'`, `when =`, []string{"when", "can never hold"}},
		{when, `when = 'cause.kind == "bad_input" || cause.kind == "late"'`, `rerun = "cause.input"`, []string{"rerun[0].rerun", `"late"`, "names no input"}},
		{when, `when = 'cause.kind == "bad_input" && cause.worker.contains(cause.zone) && cause.site.contains(run.tenant) && cause.zone.contains(cause.worker) && run.tenant.contains(cause.site)'`, `when =`, []string{"when", "cost", "more simply"}},
		{when, `when = '` + strings.Repeat(`cause.kind == "bad_input" || `, 60) + `false'`, `when =`, []string{"when", "bytes", "several rules"}},
		{`rerun = "cause.input"`, `rerun = "publish"`, `rerun = "publish"`, []string{"rerun[0].rerun", "not above", "encode"}},
		{`where = "other-site"`, `where = "othersite"`, `where =`, []string{"where", `write "other-site"`}},
		{`where = "other-site"`, `where = "other-kind"`, `where =`, []string{"where", `allows only kind "m2"`, "other-worker"}},
		{`after = "2s..30s"`, `after = "30s..2s"`, `after =`, []string{"after", "shorter time first"}},
		{`after = "2s..30s"`, `after = "2s..3h"`, `after =`, []string{"after", "longer than"}},
		{`after = "2s..30s"`, `after = 2`, `after = 2`, []string{"after", `"2s"`}},
		{"most = 2\n", "", `[[pipeline.rerun]]`, []string{"rerun[0].most", "no bound", "most = 2"}},
		{"most = 2\n", "most = 200\n", `most = 200`, []string{"most", "16"}},
		{`budget = "tenant:3%"`, `budget = "3%"`, `budget =`, []string{"budget", `"tenant:3%"`}},
		{`budget = "tenant:3%"`, `budget = "tenant:0%"`, `budget =`, []string{"budget", "no rerun could ever run"}},
		{`stale = "rerun"`, `stale = "reuse"`, `stale =`, []string{"stale", `"keep"`}},
		{`else = "dead"`, `else = "die"`, `else =`, []string{"else", `"person"`}},
		{`rerun = "self"`, `rerun = "cause.input"`, `rerun = "cause.input"`, []string{"rerun[1].rerun", "names no input"}},
		{`on = "encode"`, `on = "publish"`, `when = 'cause.kind in`, []string{"rerun[1].when", "must not run twice", `["never_ran", "refused"]`}},
		{`on = "encode"` + "\nwhen = 'cause.kind in", `on = "package"` + "\nwhen = 'cause.kind in [\"bad_input\"] || cause.kind in", `when = 'cause.kind in ["bad_input"]`, []string{"rerun[1].when", "contradicts the rule of line 33", "bad_input"}},
	} {
		t.Run(c.to, func(t *testing.T) {
			require.Contains(t, lecture, c.from)
			text := strings.Replace(lecture, c.from, c.to, 1)
			_, err := Parse("reruns.toml", []byte(text), site)
			var fault *siteconf.Error
			require.ErrorAs(t, err, &fault)
			require.Equal(t, "reruns.toml", fault.File)
			require.NotContains(t, err.Error(), "\n")
			for _, w := range c.want {
				require.ErrorContains(t, err, w)
			}
			if c.line != "" {
				require.Contains(t, strings.Split(text, "\n")[max(0, fault.Line-1)], c.line, "line %d: %v", fault.Line, err)
			}
		})
	}
	twice := lecture + lecture[strings.Index(lecture, "[[pipeline.rerun]]"):strings.LastIndex(lecture, "[[pipeline.rerun]]")]
	_, err := Parse("reruns.toml", []byte(twice), site)
	require.ErrorContains(t, err, "says the same")
	one := site
	one.Zones = []string{"a"}
	_, err = Parse("reruns.toml", []byte(strings.Replace(lecture, "other-site", "other-zone", 1)), one)
	require.ErrorContains(t, err, "there is one zone")
}

// A restriction excludes workers and never adds any.
func TestWhereOnlyExcludesWorkers(t *testing.T) {
	failed := Place{"w1", "m2", "c1", "a"}
	allowed := func(w Where) (n []bool) {
		for _, at := range []Place{failed, {"w2", "m2", "c1", "a"}, {"w3", "m3", "c1", "a"}, {"w4", "m2", "c2", "a"}, {"w5", "m2", "c1", "b"}} {
			n = append(n, w.Allows(failed, at))
		}
		return n
	}
	require.Equal(t, []bool{true, true, true, true, true}, allowed(Anywhere))
	require.Equal(t, []bool{false, true, true, true, true}, allowed(OtherWorker))
	require.Equal(t, []bool{false, false, true, false, false}, allowed(OtherKind))
	require.Equal(t, []bool{false, false, false, true, true}, allowed(OtherSite))
	require.Equal(t, []bool{false, false, false, false, true}, allowed(OtherZone))
}

// drawPipeline returns the text of a random pipeline.
func drawPipeline(t *rapid.T) string {
	n := rapid.IntRange(1, 7).Draw(t, "stages")
	var s strings.Builder
	fmt.Fprintf(&s, "version=\"1\"\n[budget]\nfleet=\"5%%\"\n[[pipeline]]\nname=\"p\"\nwithin=\"1h\"\nresult=[")
	for i := range n {
		fmt.Fprintf(&s, "\"s%d\",", i)
	}
	s.WriteString("]\n")
	needs := make([][]int, n)
	for i := range n {
		fmt.Fprintf(&s, "[[pipeline.stage]]\nname=\"s%d\"\nclass=\"light\"\nwork=\"1s\"\nneeds=[", i)
		for j := range i {
			if rapid.Bool().Draw(t, "need") {
				fmt.Fprintf(&s, "\"s%d\",", j)
				needs[i] = append(needs[i], j)
			}
		}
		s.WriteString("]\n")
	}
	for range rapid.IntRange(0, 4).Draw(t, "rules") {
		on := rapid.IntRange(0, n-1).Draw(t, "on")
		cause := rapid.SampledFrom([]Cause{RanFailed, BadInput, OutputLost, Late, MayHaveRun}).Draw(t, "cause")
		target := "self"
		if cause.NamesInput() && len(needs[on]) > 0 {
			target = "cause.input"
		} else if cause.NamesInput() {
			continue
		}
		if fmt.Fprintf(&s, "[[pipeline.rerun]]\non=\"s%d\"\nwhen='cause.kind == %q && run.reruns == %d'\n", on, cause, rapid.IntRange(0, 20).Draw(t, "reruns")); true {
			fmt.Fprintf(&s, "rerun=%q\nmost=%d\nbudget=\"fleet\"\nstale=%q\n", target, rapid.IntRange(1, 3).Draw(t, "most"), rapid.SampledFrom([]string{"rerun", "keep"}).Draw(t, "stale"))
		}
	}
	return s.String()
}

// Whatever the sequence of rule uses, no stage runs more often than its bound.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawPipeline(t)
		pol, err := Parse("p.toml", []byte(text), site)
		if err != nil && (strings.Contains(err.Error(), "contradicts") || strings.Contains(err.Error(), "says the same")) {
			t.Skip("two rules for one failure")
		}
		require.NoError(t, err, text)
		p := pol.Pipelines["p"]
		runs, made := make([]int, len(p.Stages)), make([]int, len(p.Stages))
		of := make([]map[int]int, len(p.Stages))
		sweep := func(dirty func(int) bool) {
			for i, s := range p.Stages {
				inputs := map[int]int{}
				changed := of[i] == nil
				for _, n := range s.Needs {
					inputs[n] = made[n]
					changed = changed || of[i][n] != made[n]
				}
				if changed && dirty(i) {
					of[i] = inputs
					runs[i]++
					made[i]++
				}
			}
		}
		sweep(func(int) bool { return true })
		uses := make([]int, len(p.Rules))
		for range rapid.IntRange(0, 30).Draw(t, "uses") {
			if len(p.Rules) == 0 {
				break
			}
			k := rapid.IntRange(0, len(p.Rules)-1).Draw(t, "rule")
			r := p.Rules[k]
			if uses[k] == r.MaxUses {
				continue
			}
			uses[k]++
			target := rapid.SampledFrom(p.targets(r)).Draw(t, "target")
			runs[target]++
			made[target]++
			for _, n := range p.Stages[target].Needs {
				of[target][n] = made[n]
			}
			affected := p.Affected(r, target)
			sweep(func(i int) bool { return slices.Contains(affected, i) })
		}
		all := 0
		for i, n := range runs {
			require.LessOrEqual(t, n, p.Bound.Runs[i], "%s\n%s", p, text)
			all += n
		}
		require.LessOrEqual(t, all, p.Bound.Total)
		require.Equal(t, time.Duration(p.Bound.Total)*time.Second, p.Bound.Work)
	})
}

// A condition costs no more than its limit, and one that cannot be evaluated does not hold.
func TestConditionsAreBounded(t *testing.T) {
	c, err := compile(`cause.worker.contains(run.tenant) || cause.zone + cause.site == "ab" && 10 / stage.runs > 3`)
	require.NoError(t, err)
	require.False(t, c.exact)
	long := strings.Repeat("x", maxStringBytes)
	holds, err := c.Holds(Facts{At: Place{Worker: long, Zone: long, Site: long}, Tenant: long[1:] + "y", Runs: 1})
	require.NoError(t, err)
	require.False(t, holds)
	c, err = compile(`10 / run.reruns > 3`)
	require.NoError(t, err)
	holds, err = c.Holds(Facts{})
	require.Error(t, err)
	require.False(t, holds)
	_, err = compile(`[1,2,3].exists(x, x > 2)`)
	require.Error(t, err, "macros are left out")
}

// The examples of the user documentation are valid.
func TestDocumentedExamples(t *testing.T) {
	text, err := os.ReadFile("../../../docs/reruns.md")
	require.NoError(t, err)
	parts := strings.Split(string(text), "```toml\n")[1:]
	require.NotEmpty(t, parts)
	for _, part := range parts {
		example, _, _ := strings.Cut(part, "```")
		if !strings.Contains(example, "[[pipeline]]") {
			continue
		}
		_, err := Parse("reruns.md", []byte(example), site)
		require.NoError(t, err)
	}
}

// No text causes a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(lecture))
	f.Add([]byte("[[pipeline.stage]]\nname=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if p, err := Parse("f", text, site); err == nil {
			for _, one := range p.Pipelines {
				require.NotEmpty(t, one.String())
			}
		}
	})
}
