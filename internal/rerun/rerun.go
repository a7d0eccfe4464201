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
	maxRuns          = 1 << 13 // of pipelines that a group holds, those that have ended included
	maxOutputs       = 1 << 16
	maxPolicies      = 16 // versions that are kept
	maxParams        = 144
	maxParamBytes    = 512 // bytes
	maxHistoryLines  = 96  // of one run's story
	maxRequests      = 1 << 13
	maxLogLines      = 1 << 10
	maxWaitingTrials = 1 << 13 // that wait for one verdict
	maxTracked       = 1 << 15 // fingerprints, claimants
	maxFailedPlaces  = 8       // that are kept of where a stage came to nothing
	maxSites         = 64      // of which one thing is said
	maxApprovals     = 3       // of a shared output: one besides those of the run and of the worker that claim that it is bad
	minSiteFailures  = 2       // times that it is said of a site, until others are taken if there are any
	endedRetention   = time.Hour
	outputRetention  = 24 * time.Hour // without anybody who uses it
	lateGrace        = time.Minute    // past its time, a run of a stage of which nothing was heard counts as late
	maxFailedTrials  = 3              // trials, until all that wait for a fingerprint are told no
	trialCooldown    = 5 * time.Minute
	claimRetention   = 10 * time.Minute // a claim that an input is bad is remembered
	initialTrust     = 2                // claims of a worker that are believed though nobody else has looked; doubled once one has
	acceptedPerClaim = 1                // runs of it that were content with their inputs, for one claim more
	checkInterval    = 8                // the claim of a worker that another looks into whatever its trust
	maxTrust         = 64
	maxRefuted       = 2                // claims of a worker, until it is not believed
	defaultCapacity  = 8                // reruns at once for one fingerprint, where nobody told its place's room
	minReturn        = 10 * time.Second // of work that a group does not need, that it gives back
)

// Config is what a group's machine is told of itself. It must be the same at all replicas.
type Config struct {
	Group, Groups uint32
	Running       int // stages that run at once for this group's outputs; 0: 256
}

type storedPolicy struct {
	Text string      `json:"text"`
	Site policy.Site `json:"site"`
}

// state is all that is replicated.
type state struct {
	V              int                       `json:"v"`
	At             time.Duration             `json:"at"`
	CurrentVersion string                    `json:"current,omitempty"`
	Versions       []string                  `json:"versions,omitempty"` // the oldest first
	Policies       map[string]storedPolicy   `json:"policies"`
	Runs           map[string]*Run           `json:"runs"`
	Outputs        map[string]*Output        `json:"outputs"`
	Fingerprints   map[string]*Fingerprint   `json:"prints"`
	Claimants      map[string]*Claimant      `json:"claimants"`
	Accounts       map[string]*Account       `json:"accounts"`
	Pools          map[string]*Pool          `json:"pools"`
	Capacities     map[string]int            `json:"room"`
	SiteFailures   map[string][]SiteFailures `json:"often"` // by fingerprint without its place
	Outbox         map[uint32][]Message      `json:"out"`   // that other groups have not confirmed
	LastSent       map[uint32]uint64         `json:"seq"`
	LastReceived   map[uint32]uint64         `json:"in"`
	LastOrder      uint64                    `json:"order"`
	Running        int                       `json:"running"`
}

// Machine is one group's pipelines, outputs, fingerprints and accounts. It is not safe for more than one goroutine.
type Machine struct {
	config        Config
	state         state
	policies      map[string]*policy.Policy
	localMessages []Message
	timers        timerHeap
	executions    map[string]*Output // that have one
	logLines      []Told
	unfinished    int  // runs without an answer
	budgetsGrew   bool // a budget is, since turns that wait for it were looked at last
	// Counted since the start, for operators; not replicated.
	StagesStarted, Reruns int64

	faults Faults
}

// New returns an empty machine.
func New(c Config) *Machine {
	c.Running = cmp.Or(c.Running, 256)
	m := &Machine{config: c}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.state = state{
		V: Version, Policies: map[string]storedPolicy{}, Runs: map[string]*Run{}, Outputs: map[string]*Output{}, Fingerprints: map[string]*Fingerprint{}, Claimants: map[string]*Claimant{},
		Accounts: map[string]*Account{}, Pools: map[string]*Pool{}, Capacities: map[string]int{}, SiteFailures: map[string][]SiteFailures{},
		Outbox: map[uint32][]Message{}, LastSent: map[uint32]uint64{}, LastReceived: map[uint32]uint64{},
	}
	m.policies, m.timers, m.executions, m.unfinished = map[string]*policy.Policy{}, nil, map[string]*Output{}, 0
}

// settle has objects read each other's letters until there are none.
func (m *Machine) deliverLocal() {
	for len(m.localMessages) > 0 || m.budgetsGrew {
		if len(m.localMessages) == 0 {
			m.budgetsGrew = false
			m.chargeWaiting()
			continue
		}
		l := m.localMessages[0]
		m.localMessages = m.localMessages[1:]
		m.handle(&l)
	}
}

// group is where an object is. What is one run's own is where the run is, and budgets' pools are at the root.
func (m *Machine) groupOf(key string) uint32 {
	if strings.HasPrefix(key, "b/") {
		return replica.Root
	}
	if rest, own := strings.CutPrefix(key, "r/"); own {
		id, _, _ := strings.Cut(rest, "/")
		key = "r/" + id
	}
	if strings.HasPrefix(key, "f/") { // those of one stage and cause are together, whatever the place
		key = withoutPlace(key)
	}
	return replica.GroupOf(key, m.config.Groups)
}

// fingerprint is the key of what failures of one stage, cause and place have in common.
func fingerprint(pipeline, stage string, cause policy.Cause, at policy.Place) string {
	return fmt.Sprintf("f/%s/%s/%s/%s.%s", pipeline, stage, cause, at.Zone, at.Site)
}

// family is a fingerprint without its place.
func withoutPlace(print string) string { return print[:max(0, strings.LastIndexByte(print, '/'))] }

// shared tells whether the key of an output is of one that several runs use.
func isShared(key string) bool { return strings.HasPrefix(key, "s/") }

// GroupOfRun is the group of a run of a pipeline.
func GroupOfRun(id string, groups uint32) uint32 { return replica.GroupOf("r/"+id, groups) }

// Roomy tells whether places are known to take about as many reruns at once: within a quarter.
func (m *Machine) Roomy(rooms map[string]int) bool {
	for place, room := range rooms {
		if old := m.state.Capacities[place]; 4*max(room-old, old-room) > old && len(m.state.Capacities) < maxTracked {
			return false
		}
	}
	return true
}

// Knows tells whether a version of the policy was told.
func (m *Machine) Knows(version string) bool { return m.policies[version] != nil }

// OutputKey is the key of a stage's output.
func (r *Run) OutputKey(i int) string {
	s := r.pipeline.Stages[i]
	if s.Shared != "" {
		return "s/" + r.Pipeline + "/" + s.Name + "/" + r.Params[s.Shared]
	}
	return "r/" + r.ID + "/" + s.Name
}

func (m *Machine) addHistory(r *Run, rule int, format string, args ...any) {
	l := Line{At: m.state.At, Text: fmt.Sprintf(format, args...)}
	if rule >= 0 {
		l.Rule = r.pipeline.Rules[rule].Line
	}
	if len(r.History) == maxHistoryLines { // the beginning tells more than the middle
		r.History = slices.Delete(r.History, maxHistoryLines/2, maxHistoryLines/2+1)
	}
	r.History = append(r.History, l)
	if len(m.logLines) < maxLogLines {
		m.logLines = append(m.logLines, Told{r.ID, r.Policy, l})
	}
}

// Told is a line of a run's story as it came up.
type Told struct {
	Run, Policy string
	Line
}

// Lines takes what has come up here since the last call, for the log.
func (m *Machine) Lines() []Told {
	all := m.logLines
	m.logLines = nil
	return all
}

// valid tells whether the run has what a stage makes.
func (r *Run) valid(i int) bool { s := r.Stages[i]; return s.UsedGen > s.StaleUpTo && s.Pending == nil }

// advance asks for each output that can be asked for now, and ends the run once it has all that it is for.
func (m *Machine) advance(r *Run) {
	if r.Answer != nil {
		return
	}
	all, result := true, ""
	for i, s := range r.Stages {
		stage := r.pipeline.Stages[i]
		if r.valid(i) {
			if stage.Result {
				result = s.Result
			}
			continue
		}
		all = false
		ready := s.Pending == nil && !s.Requested
		var of []int64
		var inputs []string
		for _, n := range stage.Needs {
			ready = ready && r.valid(n)
			of, inputs = append(of, r.Stages[n].UsedGen), append(inputs, r.OutputKey(n))
		}
		if !ready {
			continue
		}
		if stage.Once && s.MayHaveRun && !m.faults.Unsafe {
			m.finish(r, Answer{Kind: Person, Stage: stage.Name, Reason: fmt.Sprintf("%s must not run twice and has been run with inputs that no longer count", stage.Name)})
			return
		}
		s.Requested, s.InputGens = true, of
		w := &Want{
			Run: r.ID, Stage: i, Name: stage.Name, Class: stage.Class, Once: stage.Once, Tenant: r.Tenant, Params: r.Params,
			AboveGen: s.StaleUpTo, Of: of, Inputs: inputs, Work: stage.Work, Within: stage.Within, Until: r.Deadline, Failed: s.Place, Spare: m.policies[r.Policy].Spare,
		}
		m.setBudgets(r, s, w)
		m.send(Message{Kind: "want", To: r.OutputKey(i), From: r.ID, Request: w})
	}
	if all {
		m.finish(r, Answer{Kind: Done, Result: result})
	}
}

// account says which budgets a run of a stage adds to, and which it takes from if it is a rerun.
func (m *Machine) setBudgets(r *Run, s *Stage, w *Want) {
	fleet := m.policies[r.Policy].Fleet
	w.Accrue, w.Charge = []Share{{"fleet", fleet}}, []string{"fleet"}
	for _, rule := range r.pipeline.Rules {
		if a := tenantAccount(r.Tenant, rule.Tenant); rule.Tenant > 0 && !slices.ContainsFunc(w.Accrue, func(s Share) bool { return s.Account == a }) {
			w.Accrue = append(w.Accrue, Share{a, rule.Tenant})
		}
	}
	if s.RuleNumber > 0 {
		rule := r.pipeline.Rules[s.RuleNumber-1]
		if rule.Tenant > 0 {
			w.Charge = append(w.Charge, tenantAccount(r.Tenant, rule.Tenant))
		}
		if s.ByRule {
			w.Where, w.Avoid, w.Doubt = rule.Where, slices.Clone(s.FailedPlaces), slices.Clone(s.SuspectSites)
		}
		if s.CheckedClaim != nil && w.Where == policy.Anywhere { // a second opinion is another's
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
	a.At, a.Reruns, a.Work = m.state.At, r.Reruns, r.Work
	r.Answer = &a
	m.unfinished--
	m.addHistory(r, -1, "%s: %s", a.Kind, cmp.Or(a.Reason, "all that it is for is made"))
	for i, s := range r.Stages {
		m.reportVerdict(r, s, a.Kind == Done, a.Kind != Done && a.Kind != Dead)
		if s.Pending != nil && s.Pending.Phase.tracked() {
			m.send(Message{Kind: "verdict", To: s.Pending.Fingerprint, From: trialID(r, i), Text: "none"})
		}
		m.send(Message{Kind: "leave", To: r.OutputKey(i), From: r.ID})
		s.Pending, s.Requested = nil, false
	}
	m.setTimer(m.state.At+endedRetention, "ended", r.ID)
}

func trialID(r *Run, stage int) string { return fmt.Sprintf("%s/%d", r.ID, stage) }

// verdict tells what became of a trial.
func (m *Machine) reportVerdict(r *Run, s *Stage, good, none bool) {
	if s.Trial == nil {
		return
	}
	text := ""
	if none {
		text = "none"
	}
	m.send(Message{Kind: "verdict", To: s.Trial.Fingerprint, From: trialID(r, slices.Index(r.Stages, s)), Key: s.Trial.Key, OK: good, Text: text})
	s.Trial = nil
}

// wait has a rerun wait its rule's time, spread by the run's name.
func (m *Machine) startBackoff(r *Run, i int) {
	n := r.Stages[i].Pending
	rule := r.pipeline.Rules[n.Rule]
	after := min(rule.MaxWait, rule.MinWait<<min(r.RuleUses[n.Rule]-1, 16))
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", r.ID, i, r.RuleUses[n.Rule])
	after = after/2 + time.Duration(mix(h.Sum64())%uint64(after/2+1))
	n.Phase, n.ResumeAt = BackingOff, m.state.At+after
	m.setTimer(n.ResumeAt, "wait", trialID(r, i))
}

func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// try has a rerun ask whether it may go first, or in a good verdict's wake.
func (m *Machine) requestTrial(r *Run, i int) {
	n := r.Stages[i].Pending
	if r.disputed(i) {
		m.requestSecondOpinion(r, i, acceptedElsewhere)
	}
	n.Phase = AwaitingTrial
	m.send(Message{Kind: "try", To: n.Fingerprint, From: r.ID, Stage: i, Key: r.OutputKey(n.Target)})
}

// requestSites has a stage that runs again by itself, or for a second opinion on an input, first be told of the sites that spoil what
// it makes: where it came to nothing tells nothing of those.
func (m *Machine) requestSites(r *Run, i int) {
	n := r.Stages[i].Pending
	if n.Phase = AwaitingSites; n.SecondOpinion {
		n.SuspectSites = nil // they spoil its input, which is not made anew
	}
	m.send(Message{Kind: "where", To: fingerprint(r.Pipeline, r.pipeline.Stages[i].Name, policy.BadInput, policy.Place{}), From: r.ID, Stage: i})
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
func (m *Machine) startRerun(r *Run, i int) {
	s := r.Stages[i]
	n, rule := s.Pending, r.pipeline.Rules[s.Pending.Rule]
	s.Pending = nil
	s.Trial = &TrialRef{n.Fingerprint, r.OutputKey(n.Target)}
	s.RuleNumber = n.Rule + 1
	t := r.Stages[n.Target]
	if n.Target != i && (t.StaleUpTo >= n.BadGen || t.UsedGen > n.BadGen) { // another stage's failure had it made anew already
		m.advance(r)
		return
	}
	if n.SecondOpinion {
		s.CheckedClaim = n.Claim
	} else if n.Target != i {
		m.markStale(r, slices.DeleteFunc(r.pipeline.Affected(rule, n.Target), func(a int) bool { return a == n.Target }), n.Rule+1)
	}
	if t.UsedGen > t.StaleUpTo && t.UsedGen <= n.BadGen {
		m.addHistory(r, n.Rule, "generation %d of %s is stale", t.UsedGen, r.pipeline.Stages[n.Target].Name)
	}
	t.StaleUpTo, t.Requested, t.ByRule, t.RuleNumber, t.Place = max(t.StaleUpTo, n.BadGen), false, true, n.Rule+1, n.FailedPlace
	t.SuspectSites = n.SuspectSites
	if i := slices.Index(t.FailedPlaces, n.FailedPlace); i < 0 && n.FailedPlace.Worker != "" {
		t.FailedPlaces = append(t.FailedPlaces[max(0, len(t.FailedPlaces)+1-maxFailedPlaces):], n.FailedPlace)
	}
	if n.Target == i && !n.SecondOpinion { // what it made before, if anything, is stale with all below it
		m.markStale(r, slices.DeleteFunc(r.pipeline.Affected(rule, i), func(a int) bool { return a == i }), n.Rule+1)
	}
	m.advance(r)
}

// give gives a rule up.
func (m *Machine) giveUp(r *Run, i int, n *PendingRerun, why string) {
	kind := Dead
	if r.pipeline.Rules[n.Rule].NeedsPerson {
		kind = Person
	}
	m.finish(r, Answer{Kind: kind, Stage: r.pipeline.Stages[i].Name, Cause: n.Cause, Reason: why})
}
