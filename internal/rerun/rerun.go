// Package rerun decides, in replicated state, what runs of pipelines do: which stage is to run, which output of which
// generation it uses, what is run again when one fails, when, at whose cost and after whose trial. It has no I/O and no
// clock: committed commands, each with its time, are all that changes it. docs/reruns-design.md weighs the choices.
package rerun

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"caperrelay/internal/replica"
	"caperrelay/internal/rerun/policy"
)

// Version of commands, letters and snapshots.
const Version = 1

const (
	mostRuns     = 1 << 13 // of pipelines that a group holds, those that have ended included
	mostOutputs  = 1 << 16
	mostPolicies = 16 // versions that are kept
	mostParams   = 144
	mostParam    = 512 // bytes
	mostLines    = 96  // of one run's story
	mostWants    = 1 << 13
	mostTold     = 1 << 10
	mostTries    = 1 << 13 // that wait for one verdict
	mostKept     = 1 << 15 // fingerprints, claimants
	mostPlaces   = 8       // that are kept of where a stage came to nothing
	mostSites    = 64      // of which one thing is said
	mostApproved = 3       // of a shared output: one besides those of the run and of the worker that claim that it is bad
	oftenFrom    = 2       // times that it is said of a site, until others are taken if there are any
	keepEnded    = time.Hour
	keepOutput   = 24 * time.Hour // without anybody who uses it
	overdue      = time.Minute    // past its time, a run of a stage of which nothing was heard counts as late
	badInRow     = 3              // trials, until all that wait for a fingerprint are told no
	cool         = 5 * time.Minute
	claimFor     = 10 * time.Minute // a claim that an input is bad is remembered
	trustFirst   = 2                // claims of a worker that are believed though nobody else has looked; doubled once one has
	trustEach    = 1                // runs of it that were content with their inputs, for one claim more
	lookEach     = 8                // the claim of a worker that another looks into whatever its trust
	trustMost    = 64
	refutedMost  = 2                // claims of a worker, until it is not believed
	usualRoom    = 8                // reruns at once for one fingerprint, where nobody told its place's room
	giveFrom     = 10 * time.Second // of work that a group does not need, that it gives back
)

// Config is what a group's machine is told of itself. It must be the same at all replicas.
type Config struct {
	Group, Groups uint32
	Running       int // stages that run at once for this group's outputs; 0: 256
}

type policyText struct {
	Text string      `json:"text"`
	Site policy.Site `json:"site"`
}

// state is all that is replicated.
type state struct {
	V         int                   `json:"v"`
	At        time.Duration         `json:"at"`
	Current   string                `json:"current,omitempty"`
	Versions  []string              `json:"versions,omitempty"` // the oldest first
	Policies  map[string]policyText `json:"policies"`
	Runs      map[string]*Run       `json:"runs"`
	Outputs   map[string]*Output    `json:"outputs"`
	Prints    map[string]*Print     `json:"prints"`
	Claimants map[string]*Claimant  `json:"claimants"`
	Accounts  map[string]*Account   `json:"accounts"`
	Pools     map[string]*Pool      `json:"pools"`
	Room      map[string]int        `json:"room"`
	Often     map[string][]Often    `json:"often"` // by fingerprint without its place
	Out       map[uint32][]Letter   `json:"out"`   // that other groups have not confirmed
	Seq       map[uint32]uint64     `json:"seq"`
	In        map[uint32]uint64     `json:"in"`
	Order     uint64                `json:"order"`
	Running   int                   `json:"running"`
}

// Machine is one group's pipelines, outputs, fingerprints and accounts. It is not safe for more than one goroutine.
type Machine struct {
	c      Config
	s      state
	loaded map[string]*policy.Policy
	local  []Letter
	due    dues
	turns  map[string]*Output // that have one
	lines  []Told
	open   int  // runs without an answer
	richer bool // a budget is, since turns that wait for it were looked at last
	// Counted since the start, for operators; not replicated.
	Begun, Reruns int64

	faulty Faults
}

// New returns an empty machine.
func New(c Config) *Machine {
	c.Running = cmp.Or(c.Running, 256)
	m := &Machine{c: c}
	m.fresh()
	return m
}

func (m *Machine) fresh() {
	m.s = state{
		V: Version, Policies: map[string]policyText{}, Runs: map[string]*Run{}, Outputs: map[string]*Output{}, Prints: map[string]*Print{}, Claimants: map[string]*Claimant{},
		Accounts: map[string]*Account{}, Pools: map[string]*Pool{}, Room: map[string]int{}, Often: map[string][]Often{},
		Out: map[uint32][]Letter{}, Seq: map[uint32]uint64{}, In: map[uint32]uint64{},
	}
	m.loaded, m.due, m.turns, m.open = map[string]*policy.Policy{}, nil, map[string]*Output{}, 0
}

// settle has objects read each other's letters until there are none.
func (m *Machine) settle() {
	for len(m.local) > 0 || m.richer {
		if len(m.local) == 0 {
			m.richer = false
			m.pay()
			continue
		}
		l := m.local[0]
		m.local = m.local[1:]
		m.read(&l)
	}
}

// group is where an object is. What is one run's own is where the run is, and budgets' pools are at the root.
func (m *Machine) group(key string) uint32 {
	if strings.HasPrefix(key, "b/") {
		return replica.Root
	}
	if rest, own := strings.CutPrefix(key, "r/"); own {
		id, _, _ := strings.Cut(rest, "/")
		key = "r/" + id
	}
	if strings.HasPrefix(key, "f/") { // those of one stage and cause are together, whatever the place
		key = family(key)
	}
	return replica.GroupOf(key, m.c.Groups)
}

// fingerprint is the key of what failures of one stage, cause and place have in common.
func fingerprint(pipeline, stage string, cause policy.Cause, at policy.Place) string {
	return fmt.Sprintf("f/%s/%s/%s/%s.%s", pipeline, stage, cause, at.Zone, at.Site)
}

// family is a fingerprint without its place.
func family(print string) string { return print[:max(0, strings.LastIndexByte(print, '/'))] }

// shared tells whether the key of an output is of one that several runs use.
func shared(key string) bool { return strings.HasPrefix(key, "s/") }

// GroupOfRun is the group of a run of a pipeline.
func GroupOfRun(id string, groups uint32) uint32 { return replica.GroupOf("r/"+id, groups) }

// Roomy tells whether places are known to take about as many reruns at once: within a quarter.
func (m *Machine) Roomy(rooms map[string]int) bool {
	for place, room := range rooms {
		if old := m.s.Room[place]; 4*max(room-old, old-room) > old && len(m.s.Room) < mostKept {
			return false
		}
	}
	return true
}

// Knows tells whether a version of the policy was told.
func (m *Machine) Knows(version string) bool { return m.loaded[version] != nil }

// Key is the key of a stage's output.
func (r *Run) Key(i int) string {
	s := r.p.Stages[i]
	if s.Shared != "" {
		return "s/" + r.Pipeline + "/" + s.Name + "/" + r.Params[s.Shared]
	}
	return "r/" + r.ID + "/" + s.Name
}

func (m *Machine) tell(r *Run, rule int, format string, args ...any) {
	l := Line{At: m.s.At, Text: fmt.Sprintf(format, args...)}
	if rule >= 0 {
		l.Rule = r.p.Rules[rule].Line
	}
	if len(r.Story) == mostLines { // the beginning tells more than the middle
		r.Story = slices.Delete(r.Story, mostLines/2, mostLines/2+1)
	}
	r.Story = append(r.Story, l)
	if len(m.lines) < mostTold {
		m.lines = append(m.lines, Told{r.ID, r.Policy, l})
	}
}

// Told is a line of a run's story as it came up.
type Told struct {
	Run, Policy string
	Line
}

// Lines takes what has come up here since the last call, for the log.
func (m *Machine) Lines() []Told {
	all := m.lines
	m.lines = nil
	return all
}

// valid tells whether the run has what a stage makes.
func (r *Run) valid(i int) bool { s := r.Stages[i]; return s.Have > s.Over && s.Next == nil }

// advance asks for each output that can be asked for now, and ends the run once it has all that it is for.
func (m *Machine) advance(r *Run) {
	if r.Answer != nil {
		return
	}
	all, result := true, ""
	for i, s := range r.Stages {
		stage := r.p.Stages[i]
		if r.valid(i) {
			if stage.Result {
				result = s.Result
			}
			continue
		}
		all = false
		ready := s.Next == nil && !s.Wants
		var of []int64
		var inputs []string
		for _, n := range stage.Needs {
			ready = ready && r.valid(n)
			of, inputs = append(of, r.Stages[n].Have), append(inputs, r.Key(n))
		}
		if !ready {
			continue
		}
		if stage.Once && s.Ran && !m.faulty.Unsafe {
			m.finish(r, Answer{Kind: Person, Stage: stage.Name, Reason: fmt.Sprintf("%s must not run twice and has been run with inputs that no longer count", stage.Name)})
			return
		}
		s.Wants, s.Of = true, of
		w := &Want{
			Run: r.ID, Stage: i, Name: stage.Name, Class: stage.Class, Once: stage.Once, Tenant: r.Tenant, Params: r.Params,
			Over: s.Over, Of: of, Inputs: inputs, Work: stage.Work, Within: stage.Within, Until: r.Until, Failed: s.At, Spare: m.loaded[r.Policy].Spare,
		}
		m.account(r, s, w)
		m.send(Letter{Kind: "want", To: r.Key(i), From: r.ID, Want: w})
	}
	if all {
		m.finish(r, Answer{Kind: Done, Result: result})
	}
}

// account says which budgets a run of a stage adds to, and which it takes from if it is a rerun.
func (m *Machine) account(r *Run, s *Stage, w *Want) {
	fleet := m.loaded[r.Policy].Fleet
	w.Accrue, w.Charge = []Share{{"fleet", fleet}}, []string{"fleet"}
	for _, rule := range r.p.Rules {
		if a := tenantAccount(r.Tenant, rule.Tenant); rule.Tenant > 0 && !slices.ContainsFunc(w.Accrue, func(s Share) bool { return s.Account == a }) {
			w.Accrue = append(w.Accrue, Share{a, rule.Tenant})
		}
	}
	if s.Rule > 0 {
		rule := r.p.Rules[s.Rule-1]
		if rule.Tenant > 0 {
			w.Charge = append(w.Charge, tenantAccount(r.Tenant, rule.Tenant))
		}
		if s.Own {
			w.Where, w.Avoid, w.Doubt = rule.Where, slices.Clone(s.Bad), slices.Clone(s.Sites)
		}
		if s.Doubt != nil && w.Where == policy.Anywhere { // a second opinion is another's
			w.Where = policy.OtherWorker
		}
	}
}

func tenantAccount(tenant string, share float64) string {
	return fmt.Sprintf("tenant:%s:%g%%", tenant, share*100)
}

// finish gives a run its one answer, and lets go of all that it holds or waits for.
func (m *Machine) finish(r *Run, a Answer) {
	if r.Answer != nil {
		return
	}
	a.At, a.Reruns, a.Work = m.s.At, r.Reruns, r.Work
	r.Answer = &a
	m.open--
	m.tell(r, -1, "%s: %s", a.Kind, cmp.Or(a.Reason, "all that it is for is made"))
	for i, s := range r.Stages {
		m.verdict(r, s, a.Kind == Done, a.Kind != Done && a.Kind != Dead)
		if s.Next != nil && s.Next.Phase.onTrial() {
			m.send(Letter{Kind: "verdict", To: s.Next.Print, From: trialOf(r, i), Text: "none"})
		}
		m.send(Letter{Kind: "leave", To: r.Key(i), From: r.ID})
		s.Next, s.Wants = nil, false
	}
	m.wake(m.s.At+keepEnded, "ended", r.ID)
}

func trialOf(r *Run, stage int) string { return fmt.Sprintf("%s/%d", r.ID, stage) }

// verdict tells what became of a trial.
func (m *Machine) verdict(r *Run, s *Stage, good, none bool) {
	if s.Tried == nil {
		return
	}
	text := ""
	if none {
		text = "none"
	}
	m.send(Letter{Kind: "verdict", To: s.Tried.Print, From: trialOf(r, slices.Index(r.Stages, s)), Key: s.Tried.Key, OK: good, Text: text})
	s.Tried = nil
}

// wait has a rerun wait its rule's time, spread by the run's name.
func (m *Machine) wait(r *Run, i int) {
	n := r.Stages[i].Next
	rule := r.p.Rules[n.Rule]
	after := min(rule.To, rule.From<<min(r.Uses[n.Rule]-1, 16))
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", r.ID, i, r.Uses[n.Rule])
	after = after/2 + time.Duration(mix(h.Sum64())%uint64(after/2+1))
	n.Phase, n.At = Pausing, m.s.At+after
	m.wake(n.At, "wait", trialOf(r, i))
}

func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// try has a rerun ask whether it may go first, or in a good verdict's wake.
func (m *Machine) try(r *Run, i int) {
	n := r.Stages[i].Next
	if r.disputed(i) {
		m.askAnother(r, i, anotherWasContent)
	}
	n.Phase = OnTrial
	m.send(Letter{Kind: "try", To: n.Print, From: r.ID, Stage: i, Key: r.Key(n.Target)})
}

// askSites has a stage that runs again by itself, or for a second opinion on an input, first be told of the sites that spoil what
// it makes: where it came to nothing tells nothing of those.
func (m *Machine) askSites(r *Run, i int) {
	n := r.Stages[i].Next
	if n.Phase = AskingSites; n.Second {
		n.Sites = nil // they spoil its input, which is not made anew
	}
	m.send(Letter{Kind: "where", To: fingerprint(r.Pipeline, r.p.Stages[i].Name, policy.BadInput, policy.Place{}), From: r.ID, Stage: i})
}

// mergeSites is all of both, once.
func mergeSites(all, more []policy.Place) []policy.Place {
	for _, site := range more {
		if !slices.Contains(all, site) {
			all = append(all, site)
		}
	}
	return all
}

// rerun has the target of a rule, and what used its old output, be made anew.
func (m *Machine) rerun(r *Run, i int) {
	s := r.Stages[i]
	n, rule := s.Next, r.p.Rules[s.Next.Rule]
	s.Next = nil
	s.Tried = &Tried{n.Print, r.Key(n.Target)}
	s.Rule = n.Rule + 1
	t := r.Stages[n.Target]
	if n.Target != i && (t.Over >= n.Bad || t.Have > n.Bad) { // another stage's failure had it made anew already
		m.advance(r)
		return
	}
	if n.Second {
		s.Doubt = n.Claim
	} else if n.Target != i {
		m.stale(r, slices.DeleteFunc(r.p.Affected(rule, n.Target), func(a int) bool { return a == n.Target }), n.Rule+1)
	}
	if t.Have > t.Over && t.Have <= n.Bad {
		m.tell(r, n.Rule, "generation %d of %s is stale", t.Have, r.p.Stages[n.Target].Name)
	}
	t.Over, t.Wants, t.Own, t.Rule, t.At = max(t.Over, n.Bad), false, true, n.Rule+1, n.Failed
	t.Sites = n.Sites
	if i := slices.Index(t.Bad, n.Failed); i < 0 && n.Failed.Worker != "" {
		t.Bad = append(t.Bad[max(0, len(t.Bad)+1-mostPlaces):], n.Failed)
	}
	if n.Target == i && !n.Second { // what it made before, if anything, is stale with all below it
		m.stale(r, slices.DeleteFunc(r.p.Affected(rule, i), func(a int) bool { return a == i }), n.Rule+1)
	}
	m.advance(r)
}

// give gives a rule up.
func (m *Machine) give(r *Run, i int, n *Next, why string) {
	kind := Dead
	if r.p.Rules[n.Rule].Person {
		kind = Person
	}
	m.finish(r, Answer{Kind: kind, Stage: r.p.Stages[i].Name, Cause: n.Cause, Reason: why})
}
