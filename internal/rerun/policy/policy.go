package policy

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"caperrelay/internal/siteconf"
)

const (
	maxPipelines      = 64
	maxStages         = 64 // of one pipeline
	maxRules          = 64
	maxUses           = 16 // uses of one rule in one run of a pipeline
	maxOthersReruns   = 8
	maxNameBytes      = 64
	maxRuns           = 4096             // of all stages in one run of a pipeline
	maxConditionBytes = 1024             // bytes of a condition
	maxFileBytes      = 1 << 20          // bytes of a file
	maxAge            = 8760 * time.Hour // largest output age that conditions are sampled at
)

// Site is the settings that a policy is checked against: the classes that stages refer to, the zones and the tenants.
type Site struct {
	Classes map[string]Class `json:"Classes"`
	Zones   []string         `json:"Zones"`
	Tenants []string         `json:"Tenants"`
}

// Class is a class of the settings. It determines the workers of a stage.
type Class struct {
	Once bool   `json:"Once"` // must not run twice
	Kind string `json:"Kind"` // of worker; empty: any
}

// Policy is a loaded policy file. It is immutable.
type Policy struct {
	Version   string
	Fleet     float64       // share of the first runs' work that all reruns together may take
	Spare     time.Duration // work that each account starts with
	Pipelines map[string]*Pipeline
}

// Pipeline is the stages of a pipeline and its rerun rules.
type Pipeline struct {
	Name            string
	Within          time.Duration // of a run
	MaxOthersReruns int           // times that reruns of other pipeline runs may make stages of a run stale
	Stages          []*Stage      // in topological order
	Rules           []*Rule
	Bound           Bound
}

// Stage is one stage of a pipeline.
type Stage struct {
	Name, Class, Shared  string
	Work                 time.Duration // maximum work of one run, on one slot
	Within               time.Duration // time limit of one run, including waiting at workers
	Once                 bool          // must not run twice
	Result               bool          // named in the pipeline's result
	Needs                []int         // indices of stages
	Line                 int
	Upstream, Downstream []int // transitive
}

// Self and Input are targets of a rule other than a named stage.
const (
	Self  = -1
	Input = -2
)

// Rule defines a rerun when a stage fails.
type Rule struct {
	Line             int
	On               int
	When             *Condition
	Target           int // index of a stage upstream of On, or Self, or Input: the input named by the cause
	Where            Where
	MinWait, MaxWait time.Duration // backoff, doubled each time
	MaxUses          int
	Tenant           float64 // share of its tenant's first runs' work; 0: only the fleet's budget applies
	KeepOld          bool    // stages that succeeded with the old output keep it
	NeedsPerson      bool    // a run that is given up needs a person; otherwise it is dead
}

// Bound is the maximum cost of one run of a pipeline.
type Bound struct {
	Runs  []int // of each stage
	Total int
	Work  time.Duration
}

type fileConfig struct {
	Version   string           `toml:"version"`
	Budget    budgetConfig     `toml:"budget"`
	Pipelines []pipelineConfig `toml:"pipeline"`
}

type budgetConfig struct {
	Fleet siteconf.Percent  `toml:"fleet"`
	Spare siteconf.Duration `toml:"spare"`
}

type pipelineConfig struct {
	Name   string            `toml:"name"`
	Result []string          `toml:"result"`
	Within siteconf.Duration `toml:"within"`
	Work   siteconf.Duration `toml:"most_work"`
	Others int               `toml:"others"`
	Stages []stageConfig     `toml:"stage"`
	Rules  []ruleConfig      `toml:"rerun"`
}

type stageConfig struct {
	Name   string            `toml:"name"`
	Class  string            `toml:"class"`
	Work   siteconf.Duration `toml:"work"`
	Within siteconf.Duration `toml:"within"`
	Needs  []string          `toml:"needs"`
	Shared string            `toml:"shared"`
}

type ruleConfig struct {
	On     string `toml:"on"`
	When   string `toml:"when"`
	Rerun  string `toml:"rerun"`
	Where  string `toml:"where"`
	After  string `toml:"after"`
	Most   int    `toml:"most"`
	Budget string `toml:"budget"`
	Stale  string `toml:"stale"`
	Else   string `toml:"else"`
}

var (
	keywords  = strings.Fields("version budget fleet spare pipeline name result within most_work others stage class work needs shared rerun on when where after most stale else")
	unitHints = map[string]string{
		"fleet": `write "%s%%"`, "spare": `write "%[1]sm" or "%[1]ss"`, "within": `write "%[1]sm" or "%[1]sh"`, "most_work": `write "%[1]sm" or "%[1]sh"`,
		"work": `write "%[1]ss" or "%[1]sm"`, "after": `write "%[1]ss" or "%[1]ss..30s"`, "budget": `write "tenant:%s%%"`,
	}
)

// Load loads a policy file.
func Load(path string, site Site) (*Policy, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, site)
}

// Parse parses the text of a policy file. Its error for the first fault is a *siteconf.Error with line, key and fix.
func Parse(path string, text []byte, site Site) (*Policy, error) {
	if len(text) > maxFileBytes {
		return nil, &siteconf.Error{File: path, Text: fmt.Sprintf("%d bytes: at most %d", len(text), maxFileBytes)}
	}
	var f fileConfig
	doc, err := siteconf.ReadStrict(path, text, &f, unitHints, keywords)
	if err != nil {
		return nil, err
	}
	p := &Policy{Version: f.Version, Fleet: float64(f.Budget.Fleet), Spare: time.Duration(f.Budget.Spare), Pipelines: map[string]*Pipeline{}}
	switch {
	case f.Version == "" || len(f.Version) > maxNameBytes:
		return nil, doc.At("version", `missing or over %d bytes: write version = "1"; runs keep the version that they began under`, maxNameBytes)
	case f.Budget.Fleet == 0:
		return nil, doc.At("budget.fleet", `missing: write fleet = "5%%", the share of the first runs' work that all reruns together may take`)
	case len(f.Pipelines) == 0 || len(f.Pipelines) > maxPipelines:
		return nil, doc.At("pipeline", "%d: from 1 to %d [[pipeline]] are needed", len(f.Pipelines), maxPipelines)
	}
	stages, rules := 0, 0
	for i, t := range f.Pipelines {
		l := loader{doc: doc, prefix: fmt.Sprintf("pipeline[%d]", i), firstStage: stages, firstRule: rules, config: t, site: site}
		stages, rules = stages+len(t.Stages), rules+len(t.Rules)
		one, err := l.load()
		if err != nil {
			return nil, err
		}
		if p.Pipelines[one.Name] != nil {
			return nil, doc.At(l.prefix+".name", "%q is defined twice: give one of them another name", one.Name)
		}
		p.Pipelines[one.Name] = one
	}
	return p, nil
}

// loader loads one pipeline.
type loader struct {
	doc                   *siteconf.StrictFile
	prefix                string
	firstStage, firstRule int // index in the file of this pipeline's first stage and rule
	config                pipelineConfig
	site                  Site
	order                 []int // topological order of the stages in the file
	pipeline              *Pipeline
}

func (l *loader) errorAt(key, format string, args ...any) error {
	return l.doc.At(l.prefix+"."+key, format, args...)
}

func (l *loader) stageAt(i int) string { return fmt.Sprintf("pipeline.stage[%d]", l.firstStage+i) }
func (l *loader) ruleAt(i int) string  { return fmt.Sprintf("pipeline.rerun[%d]", l.firstRule+i) }

func (l *loader) load() (*Pipeline, error) {
	t := l.config
	switch {
	case t.Name == "" || len(t.Name) > maxNameBytes:
		return nil, l.errorAt("name", `missing or over %d bytes: write name = "lecture"`, maxNameBytes)
	case len(t.Stages) == 0 || len(t.Stages) > maxStages:
		return nil, l.errorAt("stage", "%d: from 1 to %d [[pipeline.stage]] are needed", len(t.Stages), maxStages)
	case len(t.Rules) > maxRules:
		return nil, l.errorAt("rerun", "%d: at most %d", len(t.Rules), maxRules)
	case t.Within <= 0:
		return nil, l.errorAt("within", `missing: write within = "2h", after which a run ends in any case`)
	case t.Others < 0 || t.Others > maxOthersReruns:
		return nil, l.errorAt("others", "%d: from 0 to %d times that other pipelines' reruns may make this one's stages stale", t.Others, maxOthersReruns)
	}
	l.pipeline = &Pipeline{Name: t.Name, Within: time.Duration(t.Within), MaxOthersReruns: t.Others}
	for _, step := range []func() error{l.loadStages, l.sortStages, l.checkResults, l.checkShared, l.loadRules, l.checkContradictions, l.computeBound} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return l.pipeline, nil
}

// stageIndex returns the index in the file of a named stage; -1 if there is none.
func (l *loader) stageIndex(name string) int {
	return slices.IndexFunc(l.config.Stages, func(s stageConfig) bool { return s.Name == name })
}

func (l *loader) stageNames() (all []string) {
	for _, s := range l.config.Stages {
		all = append(all, s.Name)
	}
	return all
}

func (l *loader) loadStages() error {
	for i, s := range l.config.Stages {
		at := l.stageAt(i)
		class, known := l.site.Classes[s.Class]
		var classes []string
		for name := range l.site.Classes {
			classes = append(classes, name)
		}
		slices.Sort(classes)
		switch {
		case s.Name == "" || len(s.Name) > maxNameBytes || strings.ContainsAny(s.Name, " /@"):
			return l.doc.At(at+".name", `%q: write a name of up to %d bytes without spaces, "/" and "@"`, s.Name, maxNameBytes)
		case s.Name == "self" || s.Name == "cause.input":
			return l.doc.At(at+".name", "%q has a special meaning in rules: give it another name", s.Name)
		case l.stageIndex(s.Name) != i:
			return l.doc.At(at+".name", "%q is defined twice: give one of them another name", s.Name)
		case s.Class == "":
			return l.doc.At(at+".class", "missing: write the class of commands by which its workers are chosen, one of %s", strings.Join(classes, ", "))
		case !known:
			return l.doc.At(at+".class", "%q is no [[class]]%s", s.Class, siteconf.SuggestNearest(s.Class, classes, ": write one of "+strings.Join(classes, ", ")))
		case s.Work <= 0:
			return l.doc.At(at+".work", `missing: write work = "2m", what one run of it takes at most`)
		}
		if s.Within > 0 && (s.Within < s.Work || time.Duration(s.Within) > l.pipeline.Within) {
			return l.doc.At(at+".within", "%v: write from its work, %v, to the pipeline's within, %v", time.Duration(s.Within), time.Duration(s.Work), l.pipeline.Within)
		}
		for _, n := range s.Needs {
			if l.stageIndex(n) < 0 {
				return l.doc.At(at+".needs", "%q is no stage of %q%s", n, l.config.Name, siteconf.SuggestNearest(n, l.stageNames(), "; remove it"))
			}
		}
		l.pipeline.Stages = append(l.pipeline.Stages, &Stage{
			Name: s.Name, Class: s.Class, Shared: s.Shared, Work: time.Duration(s.Work), Within: cmp.Or(time.Duration(s.Within), l.pipeline.Within), Once: class.Once, Line: l.doc.Line(at),
		})
	}
	return nil
}

// sortStages sorts the stages topologically, and rejects cycles.
func (l *loader) sortStages() error {
	state := make([]int, len(l.config.Stages)) // 1: being visited, 2: done
	var path []string
	var visit func(i int) error
	visit = func(i int) error {
		s := l.config.Stages[i]
		path = append(path, s.Name)
		defer func() { path = path[:len(path)-1] }()
		if state[i] == 2 {
			return nil
		}
		if state[i] == 1 {
			cycle := path[slices.Index(path, s.Name):]
			return l.doc.At(l.stageAt(i)+".needs", "a cycle: %s; remove one of these needs", strings.Join(cycle, " needs "))
		}
		state[i] = 1
		for _, n := range s.Needs {
			if err := visit(l.stageIndex(n)); err != nil {
				return err
			}
		}
		state[i] = 2
		l.order = append(l.order, i)
		return nil
	}
	for i := range l.config.Stages {
		if err := visit(i); err != nil {
			return err
		}
	}
	sorted := make([]*Stage, len(l.order))
	for to, i := range l.order {
		sorted[to] = l.pipeline.Stages[i]
	}
	l.pipeline.Stages = sorted
	for to, i := range l.order {
		s := sorted[to]
		for _, name := range l.config.Stages[i].Needs {
			n := l.pipeline.Stage(name)
			if !slices.Contains(s.Needs, n) {
				s.Needs = append(s.Needs, n)
			}
			for _, upstream := range append([]int{n}, sorted[n].Upstream...) {
				if !slices.Contains(s.Upstream, upstream) {
					s.Upstream = append(s.Upstream, upstream)
				}
			}
		}
		slices.Sort(s.Needs)
		slices.Sort(s.Upstream)
		for _, upstream := range s.Upstream {
			sorted[upstream].Downstream = append(sorted[upstream].Downstream, to)
		}
	}
	return nil
}

// Stage returns the index of a named stage; -1 if there is none.
func (p *Pipeline) Stage(name string) int {
	return slices.IndexFunc(p.Stages, func(s *Stage) bool { return s.Name == name })
}

// checkResults rejects stages that no result depends on.
func (l *loader) checkResults() error {
	if len(l.config.Result) == 0 {
		return l.errorAt("result", `missing: write result = ["publish"], the stages that the pipeline is for`)
	}
	wanted := map[int]bool{}
	for _, name := range l.config.Result {
		i := l.pipeline.Stage(name)
		if i < 0 {
			return l.errorAt("result", "%q is no stage%s", name, siteconf.SuggestNearest(name, l.stageNames(), "; remove it"))
		}
		l.pipeline.Stages[i].Result, wanted[i] = true, true
		for _, upstream := range l.pipeline.Stages[i].Upstream {
			wanted[upstream] = true
		}
	}
	for i := range l.config.Stages {
		if name := l.config.Stages[i].Name; !wanted[l.pipeline.Stage(name)] {
			return l.doc.At(l.stageAt(i), "%q is never used: no stage in result needs it; make a stage need it, name it in result, or remove it", name)
		}
	}
	return nil
}

// checkShared rejects shared stages that depend on stages that are not shared.
func (l *loader) checkShared() error {
	for i, t := range l.config.Stages {
		if t.Shared == "" {
			continue
		}
		s := l.pipeline.Stages[l.pipeline.Stage(t.Name)]
		if s.Once {
			return l.doc.At(l.stageAt(i)+".shared", "%q must not run twice, so other runs cannot have its output made again: remove shared", t.Name)
		}
		for _, n := range s.Needs {
			if l.pipeline.Stages[n].Shared != t.Shared {
				return l.doc.At(l.stageAt(i)+".shared", "it needs %q, which is not shared by %q: its output would not be the same for all; share that too", l.pipeline.Stages[n].Name, t.Shared)
			}
		}
	}
	return nil
}

func (l *loader) loadRules() error {
	for i, t := range l.config.Rules {
		at := func(key string) string { return l.ruleAt(i) + "." + key }
		r := &Rule{Line: l.doc.Line(l.ruleAt(i)), On: l.pipeline.Stage(t.On), Where: Where(t.Where), MaxUses: t.Most, KeepOld: t.Stale == "keep", NeedsPerson: t.Else == "person"}
		var wheres []string
		for _, w := range WhereValues {
			wheres = append(wheres, string(w))
		}
		switch {
		case t.On == "":
			return l.doc.At(at("on"), "missing: write the stage whose failure it applies to, one of %s", strings.Join(l.stageNames(), ", "))
		case r.On < 0:
			return l.doc.At(at("on"), "%q is no stage%s", t.On, siteconf.SuggestNearest(t.On, l.stageNames(), ": write one of "+strings.Join(l.stageNames(), ", ")))
		case t.When == "":
			return l.doc.At(at("when"), `missing: write when = 'cause.kind == "failed"'`)
		case t.Most == 0:
			return l.doc.At(at("most"), "missing: a run would have no bound; write most = 2, from 1 to %d", maxUses)
		case t.Most < 0 || t.Most > maxUses:
			return l.doc.At(at("most"), "%d: write from 1 to %d times", t.Most, maxUses)
		case !slices.Contains([]string{"", "rerun", "keep"}, t.Stale):
			return l.doc.At(at("stale"), `%q: write "rerun" (what used the old output runs again) or "keep"`, t.Stale)
		case !slices.Contains([]string{"", "dead", "person"}, t.Else):
			return l.doc.At(at("else"), `%q: write "dead" or "person"`, t.Else)
		case t.Where != "" && !slices.Contains(WhereValues, r.Where):
			return l.doc.At(at("where"), "%q%s", t.Where, siteconf.SuggestNearest(t.Where, wheres, ": write one of "+strings.Join(wheres, ", ")))
		}
		if r.Where == "" {
			r.Where = Anywhere
		}
		var err error
		if r.MinWait, r.MaxWait, err = parseWait(t.After); err != nil {
			return l.doc.At(at("after"), "%v", err)
		}
		if r.MaxWait > l.pipeline.Within {
			return l.doc.At(at("after"), "%v is longer than the pipeline's within, %v: such a wait would exceed the run", r.MaxWait, l.pipeline.Within)
		}
		if r.Tenant, err = parseBudget(t.Budget); err != nil {
			return l.doc.At(at("budget"), "%v", err)
		}
		switch t.Rerun {
		case "":
			return l.doc.At(at("rerun"), `missing: write rerun = "self", "cause.input" or a stage that %q needs`, t.On)
		case "self", t.On:
			r.Target = Self
		case "cause.input":
			if r.Target = Input; len(l.pipeline.Stages[r.On].Needs) == 0 {
				return l.doc.At(at("rerun"), `%q has no input: write rerun = "self"`, t.On)
			}
		default:
			if r.Target = l.pipeline.Stage(t.Rerun); !slices.Contains(l.pipeline.Stages[r.On].Upstream, r.Target) {
				var upstream []string
				for _, n := range l.pipeline.Stages[r.On].Upstream {
					upstream = append(upstream, l.pipeline.Stages[n].Name)
				}
				return l.doc.At(at("rerun"), `%q is not above %q, so rerunning it does not help: write "self", "cause.input"%s`, t.Rerun, t.On, orOneOf(upstream))
			}
		}
		if err := l.checkWhere(r, at); err != nil {
			return err
		}
		if err := l.loadCondition(r, t.When, at); err != nil {
			return err
		}
		l.pipeline.Rules = append(l.pipeline.Rules, r)
	}
	return nil
}

func orOneOf(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return " or one of " + strings.Join(names, ", ")
}

// targets returns all stages that a rule may rerun first.
func (p *Pipeline) targets(r *Rule) []int {
	switch r.Target {
	case Self:
		return []int{r.On}
	case Input:
		return p.Stages[r.On].Needs
	}
	return []int{r.Target}
}

// checkWhere rejects restrictions that leave no worker, given the settings.
func (l *loader) checkWhere(r *Rule, at func(string) string) error {
	for _, i := range l.pipeline.targets(r) {
		class := l.site.Classes[l.pipeline.Stages[i].Class]
		if r.Where == OtherKind && class.Kind != "" {
			return l.doc.At(at("where"), `class %q allows only kind %q, so no worker of another kind can run it: write "other-worker" or "other-site"`, l.pipeline.Stages[i].Class, class.Kind)
		}
		if r.Where == OtherZone && len(l.site.Zones) < 2 {
			return l.doc.At(at("where"), `there is one zone: write "other-worker" or "other-site"`)
		}
	}
	return nil
}

// parseWait parses "2s..30s", or "2s", or nothing: one second to thirty.
func parseWait(text string) (from, to time.Duration, err error) {
	if text == "" {
		return time.Second, 30 * time.Second, nil
	}
	a, b, two := strings.Cut(text, "..")
	if !two {
		b = a
	}
	for _, part := range []struct {
		text string
		into *time.Duration
	}{{a, &from}, {b, &to}} {
		var d siteconf.Duration
		if err := d.UnmarshalText([]byte(strings.TrimSpace(part.text))); err != nil {
			return 0, 0, err
		}
		*part.into = time.Duration(d)
	}
	if to < from || from < 10*time.Millisecond || to > 24*time.Hour {
		return 0, 0, fmt.Errorf(`%q: write the shorter time first, such as "2s..30s", from "10ms" to "24h"`, text)
	}
	return from, to, nil
}

// parseBudget parses "tenant:3%" or "fleet".
func parseBudget(text string) (float64, error) {
	switch share, tenant := strings.CutPrefix(text, "tenant:"); {
	case text == "fleet":
		return 0, nil
	case tenant:
		var p siteconf.Percent
		if err := p.UnmarshalText([]byte(share)); err != nil {
			return 0, err
		} else if p == 0 {
			return 0, fmt.Errorf(`0%%: no rerun could ever run; write "tenant:3%%" or remove the rule`)
		}
		return float64(p), nil
	case text == "":
		return 0, fmt.Errorf(`missing: write budget = "tenant:3%%", or "fleet"`)
	}
	return 0, fmt.Errorf(`%s: write "tenant:3%%" (of its tenant's first runs) or "fleet"`, strconv.Quote(text))
}

// Affected returns the stages that may run again by one use of a rule with a given target: the target and everything
// downstream of it; where old outputs are kept, only the target, the failed stage, and what lies between.
func (p *Pipeline) Affected(r *Rule, target int) (all []int) {
	for i, s := range p.Stages {
		downstream := i == target || slices.Contains(s.Upstream, target)
		if downstream && (!r.KeepOld || i == target || i == r.On || slices.Contains(p.Stages[r.On].Upstream, i)) {
			all = append(all, i)
		}
	}
	return all
}

// computeBound computes the maximum cost of one run: each stage once, once more for each use of a rule that can reach
// it, and once more for each rerun by other runs of what it uses.
func (l *loader) computeBound() error {
	p := l.pipeline
	b := Bound{Runs: make([]int, len(p.Stages))}
	for i := range p.Stages {
		b.Runs[i] = 1
	}
	for _, r := range p.Rules {
		reachable := map[int]bool{}
		for _, t := range p.targets(r) {
			for _, i := range p.Affected(r, t) {
				reachable[i] = true
			}
		}
		for i := range reachable {
			b.Runs[i] += r.MaxUses
		}
	}
	for i, s := range p.Stages {
		if s.Shared != "" || slices.ContainsFunc(s.Upstream, func(a int) bool { return p.Stages[a].Shared != "" }) {
			b.Runs[i] += p.MaxOthersReruns
		}
		b.Total += b.Runs[i]
		b.Work += time.Duration(b.Runs[i]) * s.Work
	}
	p.Bound = b
	switch {
	case b.Total > maxRuns:
		return l.errorAt("name", "a run could take %d runs of stages, over %d: lower the most of its rules", b.Total, maxRuns)
	case l.config.Work > 0 && b.Work > time.Duration(l.config.Work):
		return l.errorAt("most_work", "a run could take %v of work: lower the most of its rules, or write most_work = %q", b.Work, b.Work)
	}
	return nil
}

// String describes the bound for operators.
func (p *Pipeline) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "pipeline %s: at most %d runs, %v of work, within %v:", p.Name, p.Bound.Total, p.Bound.Work, p.Within)
	for i, stage := range p.Stages {
		fmt.Fprintf(&s, " %s %d", stage.Name, p.Bound.Runs[i])
	}
	return s.String()
}
