package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/checker"
	"github.com/google/cel-go/common/ast"
	"github.com/google/cel-go/common/operators"

	"caperrelay/internal/siteconf"
)

const (
	maxCost        = 500       // of a condition, in CEL's units: a comparison costs about one
	maxStringBytes = 128       // of any string variable
	maxPoints      = 20_000    // at which a condition is evaluated when it is loaded
	otherString    = "\x00any" // a string that differs from all constants of the conditions
)

// Facts are the variables of a condition. All of them are part of the replicated state, so that all replicas decide the
// same.
type Facts struct {
	Kind       Cause
	Input      string        // stage whose output is bad or lost; empty if the cause names none
	Generation int64         // of that output
	Age        time.Duration // of that output
	RunTime    time.Duration // duration of the failed run
	At         Place         // place of the failed run
	Tenant     string
	Runs       int64         // of the stage so far, including this one
	Reruns     int64         // of all stages of the run so far
	RunAge     time.Duration // of the pipeline's run
	Left       time.Duration // until the run's deadline
}

// variable is a name that conditions may use.
type variable struct {
	name string
	kind *cel.Type
	get  func(*Facts) any
}

var variables = []variable{
	{"cause.kind", cel.StringType, func(f *Facts) any { return string(f.Kind) }},
	{"cause.input.stage", cel.StringType, func(f *Facts) any { return f.Input }},
	{"cause.input.generation", cel.IntType, func(f *Facts) any { return f.Generation }},
	{"cause.input.age", cel.DurationType, func(f *Facts) any { return f.Age }},
	{"cause.ran", cel.DurationType, func(f *Facts) any { return f.RunTime }},
	{"cause.worker", cel.StringType, func(f *Facts) any { return f.At.Worker }},
	{"cause.worker_kind", cel.StringType, func(f *Facts) any { return f.At.Kind }},
	{"cause.site", cel.StringType, func(f *Facts) any { return f.At.Site }},
	{"cause.zone", cel.StringType, func(f *Facts) any { return f.At.Zone }},
	{"run.tenant", cel.StringType, func(f *Facts) any { return f.Tenant }},
	{"run.age", cel.DurationType, func(f *Facts) any { return f.RunAge }},
	{"run.left", cel.DurationType, func(f *Facts) any { return f.Left }},
	{"run.reruns", cel.IntType, func(f *Facts) any { return f.Reruns }},
	{"stage.runs", cel.IntType, func(f *Facts) any { return f.Runs }},
}

// Condition is the compiled when of a rule.
type Condition struct {
	Text      string
	Cost      uint64 // upper bound
	program   cel.Program
	variables []string
	exact     bool // it only compares variables with constants, so that samplePoints can be exhaustive
	strings   []string
	// compared holds the strings that each variable is compared with.
	compared  map[string][]string
	ints      []int64
	durations []time.Duration
}

// environment is the CEL environment of all conditions. Macros are left out, to keep the cost bounded.
var environment = func() *cel.Env {
	options := []cel.EnvOption{
		cel.ParserExpressionSizeLimit(maxConditionBytes), cel.ParserRecursionLimit(32), cel.ClearMacros(),
		cel.ASTValidators(cel.ValidateDurationLiterals()),
	}
	for _, v := range variables {
		options = append(options, cel.Variable(v.name, v.kind))
	}
	env, err := cel.NewEnv(options...)
	if err != nil {
		panic(err) // only constants: any test finds it
	}
	return env
}()

// sizeEstimator gives the CEL cost estimator the maximum size of values.
type sizeEstimator struct{}

func (sizeEstimator) EstimateSize(node checker.AstNode) *checker.SizeEstimate {
	return &checker.SizeEstimate{Max: maxStringBytes}
}

func (sizeEstimator) EstimateCallCost(string, string, *checker.AstNode, []checker.AstNode) *checker.CallEstimate {
	return nil
}

// compile compiles a condition. Its error says what is wrong and how to fix it.
func compile(text string) (*Condition, error) {
	if len(text) > maxConditionBytes {
		return nil, fmt.Errorf("%d bytes: at most %d; write several rules", len(text), maxConditionBytes)
	}
	checked, issues := environment.Compile(text)
	if issues != nil && issues.Err() != nil {
		e := issues.Errors()[0]
		hint := ""
		if _, rest, ok := strings.Cut(e.Message, "undeclared reference to '"); ok {
			wrong, _, _ := strings.Cut(rest, "'")
			if whole := dottedName(text, wrong); whole != "" {
				wrong = whole
			}
			var names []string
			for _, v := range variables {
				names = append(names, v.name)
			}
			hint = siteconf.SuggestNearest(wrong, names, "; the names are "+strings.Join(names, ", "))
		} else {
			hint = `; write for example cause.kind == "failed" && cause.ran < duration("10s")`
		}
		return nil, fmt.Errorf("column %d: %s%s", e.Location.Column()+1, strings.ReplaceAll(e.Message, "\n", " "), hint)
	}
	if checked.OutputType() != cel.BoolType {
		return nil, fmt.Errorf(`the condition must be a bool, not %s: write for example cause.kind == "failed"`, checked.OutputType())
	}
	cost, err := environment.EstimateCost(checked, sizeEstimator{})
	if err != nil {
		return nil, fmt.Errorf("its cost cannot be estimated: %w; write it more simply", err)
	}
	if cost.Max > maxCost {
		return nil, fmt.Errorf("it may cost %d, over %d: write it more simply, or as several rules", cost.Max, maxCost)
	}
	program, err := environment.Program(checked, cel.CostLimit(maxCost), cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		return nil, fmt.Errorf("%w; write it more simply", err)
	}
	c := &Condition{Text: text, Cost: cost.Max, program: program, compared: map[string][]string{}}
	c.exact = c.collect(ast.NavigateAST(checked.NativeRep()))
	slices.Sort(c.variables)
	c.variables = slices.Compact(c.variables)
	return c, nil
}

// dottedName returns the whole dotted name in a text that begins with a word.
func dottedName(text, word string) string {
	at := strings.Index(text, word)
	if at < 0 {
		return ""
	}
	end := at
	for end < len(text) && (text[end] == '.' || text[end] == '_' || text[end] >= 'a' && text[end] <= 'z') {
		end++
	}
	return text[at:end]
}

// collect gathers the variables and constants of a condition, and reports whether they determine it completely.
func (c *Condition) collect(e ast.NavigableExpr) bool {
	switch e.Kind() {
	case ast.LiteralKind:
		c.constant(e)
		return e.Type().String() == "bool"
	case ast.IdentKind:
		c.variables = append(c.variables, e.AsIdent())
		return e.Type().String() == "bool"
	case ast.CallKind:
		name, args := e.AsCall().FunctionName(), e.Children()
		all := true
		switch name {
		case operators.LogicalAnd, operators.LogicalOr, operators.LogicalNot:
			for _, a := range args {
				all = c.collect(a) && all
			}
			return all
		case operators.Equals, operators.NotEquals, operators.Less, operators.LessEquals, operators.Greater, operators.GreaterEquals, operators.In:
			named, constants, variable, before := 0, 0, "", len(c.strings)
			for _, a := range args {
				switch {
				case a.Kind() == ast.IdentKind:
					variable = a.AsIdent()
					c.variables = append(c.variables, variable)
					named++
				case c.constant(a):
					constants++
				default:
					c.collect(a)
				}
			}
			if named == 1 && constants == 1 {
				c.compared[variable] = append(c.compared[variable], c.strings[before:]...)
				return true
			}
			return false
		}
	}
	for _, a := range e.Children() {
		c.collect(a)
	}
	return false
}

// constant gathers a constant, and reports whether the expression is one.
func (c *Condition) constant(e ast.NavigableExpr) bool {
	switch e.Kind() {
	case ast.LiteralKind:
		switch v := e.AsLiteral().Value().(type) {
		case string:
			c.strings = append(c.strings, v)
		case int64:
			c.ints = append(c.ints, v)
		default:
			return e.Type().String() == "bool"
		}
		return true
	case ast.ListKind:
		for _, a := range e.Children() {
			if !c.constant(a) {
				return false
			}
		}
		return true
	case ast.CallKind:
		if args := e.Children(); e.AsCall().FunctionName() == "duration" && len(args) == 1 && args[0].Kind() == ast.LiteralKind {
			text, _ := args[0].AsLiteral().Value().(string)
			d, err := time.ParseDuration(text)
			c.durations = append(c.durations, d)
			return err == nil
		}
	}
	return false
}

// Holds reports whether the condition holds. A condition that cannot be evaluated does not hold and returns an error.
func (c *Condition) Holds(f Facts) (bool, error) {
	values := make(map[string]any, len(c.variables))
	for _, v := range variables {
		if slices.Contains(c.variables, v.name) {
			values[v.name] = v.get(&f)
		}
	}
	out, _, err := c.program.Eval(values)
	if err != nil {
		return false, err
	}
	holds, _ := out.Value().(bool)
	return holds, nil
}

// loadCondition compiles a rule's when and rejects conditions that can never hold or contradict the rule.
func (l *loader) loadCondition(r *Rule, text string, at func(string) string) (err error) {
	if r.When, err = compile(text); err != nil {
		return l.doc.At(at("when"), "%v", err)
	}
	on := l.pipeline.Stages[r.On]
	var needs []string
	for _, n := range on.Needs {
		needs = append(needs, l.pipeline.Stages[n].Name)
	}
	for _, k := range r.When.compared["cause.kind"] {
		if !Cause(k).Known() {
			return l.doc.At(at("when"), "%q is no cause%s", k, siteconf.SuggestNearest(k, causeNames(), "; the causes are "+strings.Join(causeNames(), ", ")))
		}
	}
	for _, s := range r.When.compared["cause.input.stage"] {
		if !slices.Contains(needs, s) {
			return l.doc.At(at("when"), "%q is no input of %q%s", s, on.Name, siteconf.SuggestNearest(s, needs, "; it needs "+cmp.Or(strings.Join(needs, ", "), "nothing")))
		}
	}
	var holds []Facts
	exhaustive := l.samplePoints(r.On, []*Condition{r.When}, func(f Facts) bool {
		if ok, _ := r.When.Holds(f); ok {
			holds = append(holds, f)
		}
		return true
	})
	if len(holds) == 0 {
		if exhaustive {
			return l.doc.At(at("when"), "it can never hold for a failure of %q: the causes are %s, and only bad_input and output_lost name an input, one of its needs (%s); correct it or remove the rule", on.Name, strings.Join(causeNames(), ", "), strings.Join(needs, ", "))
		}
		return l.doc.At(at("when"), "no failure was found for which it holds: compare each name with a constant, as in cause.kind == \"failed\"")
	}
	if r.Target == Input {
		for _, f := range holds {
			if f.Input == "" {
				return l.doc.At(at("rerun"), `it also holds for %q, which names no input: add cause.kind in ["bad_input", "output_lost"] to when`, f.Kind)
			}
		}
		if !slices.Contains(r.When.variables, "cause.kind") && !exhaustive {
			return l.doc.At(at("rerun"), `it might hold for a cause that names no input: add cause.kind in ["bad_input", "output_lost"] to when`)
		}
	}
	if on.Once {
		for _, f := range holds {
			if f.Kind.MayHaveTakenEffect() {
				return l.doc.At(at("when"), `%q must not run twice, and after %q it may have run: add cause.kind in ["never_ran", "refused"]; for all other causes a person decides`, on.Name, f.Kind)
			}
		}
	}
	return nil
}

func causeNames() (all []string) {
	for _, k := range Causes {
		all = append(all, string(k))
	}
	return all
}

// samplePoints evaluates conditions at all points where they can differ: each cause with each input that it can name,
// and values below, at and above each constant. It reports whether the points were exhaustive.
func (l *loader) samplePoints(on int, conditions []*Condition, visit func(Facts) bool) (exhaustive bool) {
	exhaustive = true
	var uses, texts []string
	ints, times := []int64{1}, []time.Duration{0}
	for _, c := range conditions {
		exhaustive = exhaustive && c.exact
		uses, texts = append(uses, c.variables...), append(texts, c.strings...)
		for _, n := range c.ints {
			ints = append(ints, n-1, n, n+1)
		}
		for _, t := range c.durations {
			times = append(times, t-1, t, t+1)
		}
	}
	ints, times, texts = unique(ints), unique(times), unique(append(texts, otherString))
	used := func(name string) bool { return slices.Contains(uses, name) }
	points := []Facts{}
	for _, k := range Causes {
		if !k.NamesInput() {
			points = append(points, Facts{Kind: k})
			continue
		}
		for _, n := range l.pipeline.Stages[on].Needs {
			points = append(points, Facts{Kind: k, Input: l.pipeline.Stages[n].Name, Generation: 1})
		}
	}
	for i := range points {
		points[i].Runs, points[i].Left = 1, l.pipeline.Within
	}
	limit := int64(maxRuns)
	vary := func(name string, n int, set func(*Facts, int) bool) {
		if !used(name) || !exhaustive {
			return
		}
		if len(points)*n > maxPoints {
			exhaustive = false
			return
		}
		var next []Facts
		for _, f := range points {
			for i := range n {
				if g := f; set(&g, i) {
					next = append(next, g)
				}
			}
			if f.Input == "" && strings.HasPrefix(name, "cause.input.") { // the variable does not apply
				next = append(next, f)
			}
		}
		points = next
	}
	inRange := func(t, limit time.Duration) bool { return t >= 0 && t <= limit }
	vary("cause.input.generation", len(ints), func(f *Facts, i int) bool {
		f.Generation = ints[i]
		return f.Input != "" && ints[i] >= 1 && ints[i] <= limit
	})
	vary("cause.input.age", len(times), func(f *Facts, i int) bool { f.Age = times[i]; return f.Input != "" && inRange(times[i], maxAge) })
	vary("cause.ran", len(times), func(f *Facts, i int) bool { f.RunTime = times[i]; return inRange(times[i], l.pipeline.Within) })
	vary("run.age", len(times), func(f *Facts, i int) bool { f.RunAge = times[i]; return inRange(times[i], l.pipeline.Within) })
	vary("run.left", len(times), func(f *Facts, i int) bool { f.Left = times[i]; return inRange(times[i], l.pipeline.Within) })
	ranges := append([]int64{0}, ints...)
	vary("run.reruns", len(ranges), func(f *Facts, i int) bool { f.Reruns = ranges[i]; return ranges[i] >= 0 && ranges[i] <= limit })
	vary("stage.runs", len(ints), func(f *Facts, i int) bool { f.Runs = ints[i]; return ints[i] >= 1 && ints[i] <= limit })
	for name, field := range map[string]func(*Facts) *string{
		"cause.worker": func(f *Facts) *string { return &f.At.Worker }, "cause.worker_kind": func(f *Facts) *string { return &f.At.Kind },
		"cause.site": func(f *Facts) *string { return &f.At.Site }, "cause.zone": func(f *Facts) *string { return &f.At.Zone },
		"run.tenant": func(f *Facts) *string { return &f.Tenant },
	} {
		vary(name, len(texts), func(f *Facts, i int) bool { *field(f) = texts[i]; return true })
	}
	for _, f := range points {
		if !visit(f) {
			break
		}
	}
	return exhaustive
}

func unique[T cmp.Ordered](all []T) []T {
	slices.Sort(all)
	return slices.Compact(all)
}

// checkContradictions rejects pairs of rules that hold for the same failure, where their order alone would decide.
func (l *loader) checkContradictions() error {
	for i, b := range l.pipeline.Rules {
		for j, a := range l.pipeline.Rules[:i] {
			if a.On != b.On {
				continue
			}
			var both *Facts
			l.samplePoints(a.On, []*Condition{a.When, b.When}, func(f Facts) bool {
				first, _ := a.When.Holds(f)
				second, _ := b.When.Holds(f)
				if first && second {
					both = &f
				}
				return both == nil
			})
			if both == nil {
				continue
			}
			example := fmt.Sprintf("cause.kind == %q", both.Kind)
			if both.Input != "" {
				example += fmt.Sprintf(" with cause.input.stage == %q", both.Input)
			}
			if l.sameButCondition(i, j) {
				return l.doc.At(l.ruleAt(i)+".when", "the rule of line %d says the same for %s: remove one of them", a.Line, example)
			}
			return l.doc.At(l.ruleAt(i)+".when", "it contradicts the rule of line %d: both hold for %s; narrow one of them", a.Line, example)
		}
	}
	return nil
}

// sameButCondition reports whether two rules differ only in their conditions.
func (l *loader) sameButCondition(i, j int) bool {
	a, b := l.config.Rules[i], l.config.Rules[j]
	a.When = b.When
	return a == b
}
