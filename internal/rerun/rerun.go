// Package rerun is the replicated state machine of pipeline runs. It decides which stage runs, which generation of which
// output it uses, and what is rerun after a failure: when, charged to which budget, and after which trial rerun. It has
// no I/O and no clock: only committed commands, each with its time, change it. docs/reruns-design.md explains the
// design.
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

// Version is the format version of commands, messages and snapshots.
const Version = 1

const (
	maxRuns            = 1 << 13 // pipeline runs per group, ended ones included
	maxOutputs         = 1 << 16
	maxPolicies        = 16 // versions kept
	maxParams          = 144
	maxParamBytes      = 512 // bytes
	maxHistoryLines    = 96  // in the history of one run
	maxRequests        = 1 << 13
	maxLogLines        = 1 << 10
	maxWaitingTrials   = 1 << 13 // waiting for one verdict
	maxTracked         = 1 << 15 // fingerprints or claimants
	maxFailedPlaces    = 8       // kept per stage
	maxSites           = 64      // counted per stage and cause
	maxApprovals       = 3       // of a shared output: one is left after those of the claiming run and worker are excluded
	minSiteFailures    = 2       // before other sites are preferred
	endedRetention     = time.Hour
	outputRetention    = 24 * time.Hour // of an output that no run uses
	lateGrace          = time.Minute    // after its deadline, a stage run without a report counts as late
	maxFailedTrials    = 3              // failed trials in a row, after which all reruns waiting on the fingerprint are denied
	trialCooldown      = 5 * time.Minute
	claimRetention     = 10 * time.Minute // how long a claim that an input is bad is remembered
	initialTrust       = 2                // claims of a worker believed without a check by another worker; doubled after a confirmed one
	acceptedPerClaim   = 1                // runs in which the worker accepted its inputs, per additional claim believed
	crossCheckInterval = 8                // one claim in this many is checked by another worker whatever the trust
	maxTrust           = 64
	maxRefuted         = 2                // refuted claims, after which a worker is not believed
	defaultCapacity    = 8                // concurrent reruns per fingerprint where the capacity of the place is unknown
	minReturn          = 10 * time.Second // of unneeded work budget that a group returns to the root
)

// Config configures the machine of one group. It must be the same at all replicas.
type Config struct {
	Group, Groups uint32
	MaxRunning    int // maximum of stages running at once for this group's outputs; 0: 256
}

type storedPolicy struct {
	Text string      `json:"text"`
	Site policy.Site `json:"site"`
}

// state is the whole replicated state.
type state struct {
	V              int                       `json:"v"`
	At             time.Duration             `json:"at"`
	CurrentVersion string                    `json:"current,omitempty"`
	Versions       []string                  `json:"versions,omitempty"` // oldest first
	Policies       map[string]storedPolicy   `json:"policies"`
	Runs           map[string]*Run           `json:"runs"`
	Outputs        map[string]*Output        `json:"outputs"`
	Fingerprints   map[string]*Fingerprint   `json:"prints"`
	Claimants      map[string]*Claimant      `json:"claimants"`
	Accounts       map[string]*Account       `json:"accounts"`
	Pools          map[string]*Pool          `json:"pools"`
	Capacities     map[string]int            `json:"room"`
	SiteFailures   map[string][]SiteFailures `json:"often"` // by fingerprint without its place
	Outbox         map[uint32][]Message      `json:"out"`   // not confirmed yet by the other group
	LastSent       map[uint32]uint64         `json:"seq"`
	LastReceived   map[uint32]uint64         `json:"in"`
	LastOrder      uint64                    `json:"order"`
	Running        int                       `json:"running"`
}

// Machine holds the pipeline runs, outputs, fingerprints and accounts of one group. It is not safe for concurrent use.
type Machine struct {
	config        Config
	state         state
	policies      map[string]*policy.Policy
	localMessages []Message
	timers        timerHeap
	executions    map[string]*Output // outputs with an execution
	logLines      []LogLine
	unfinished    int  // runs without an answer
	budgetsGrew   bool // a budget has grown since executions waiting for it were last checked
	// Counted since the process started, for operators; not replicated.
	StagesStarted, Reruns int64

	faults Faults
}

// New returns an empty machine.
func New(c Config) *Machine {
	c.MaxRunning = cmp.Or(c.MaxRunning, 256)
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

// deliverLocal delivers messages between objects of this group until there are none.
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

// groupOf returns the group that holds an object. What belongs to one run is in the run's group; budget pools are in the
// root group.
func (m *Machine) groupOf(key string) uint32 {
	if strings.HasPrefix(key, "b/") {
		return replica.RootGroup
	}
	if rest, own := strings.CutPrefix(key, "r/"); own {
		id, _, _ := strings.Cut(rest, "/")
		key = "r/" + id
	}
	if strings.HasPrefix(key, "f/") { // fingerprints of one stage and cause share a group, whatever the place
		key = withoutPlace(key)
	}
	return replica.GroupOf(key, m.config.Groups)
}

// fingerprint returns the key shared by failures of one stage with one cause at one place.
func fingerprint(pipeline, stage string, cause policy.Cause, at policy.Place) string {
	return fmt.Sprintf("f/%s/%s/%s/%s.%s", pipeline, stage, cause, at.Zone, at.Site)
}

// withoutPlace returns a fingerprint's key without its place.
func withoutPlace(key string) string { return key[:max(0, strings.LastIndexByte(key, '/'))] }

// isShared reports whether an output's key is that of an output used by several runs.
func isShared(key string) bool { return strings.HasPrefix(key, "s/") }

// GroupOfRun returns the group of a pipeline run.
func GroupOfRun(id string, groups uint32) uint32 { return replica.GroupOf("r/"+id, groups) }

// CapacitiesCurrent reports whether the known rerun capacities of places are within a quarter of the given ones.
func (m *Machine) CapacitiesCurrent(rooms map[string]int) bool {
	for place, room := range rooms {
		if old := m.state.Capacities[place]; 4*max(room-old, old-room) > old && len(m.state.Capacities) < maxTracked {
			return false
		}
	}
	return true
}

// HasPolicy reports whether a version of the policy is loaded.
func (m *Machine) HasPolicy(version string) bool { return m.policies[version] != nil }

// OutputKey returns the key of a stage's output.
func (r *Run) OutputKey(i int) string {
	s := r.pipeline.Stages[i]
	if s.Shared != "" {
		return "s/" + r.Pipeline + "/" + s.Name + "/" + r.Params[s.Shared]
	}
	return "r/" + r.ID + "/" + s.Name
}

func (m *Machine) addHistory(r *Run, rule int, format string, args ...any) {
	l := HistoryLine{At: m.state.At, Text: fmt.Sprintf(format, args...)}
	if rule >= 0 {
		l.Rule = r.pipeline.Rules[rule].Line
	}
	if len(r.History) == maxHistoryLines { // keep the beginning, which is more informative than the middle
		r.History = slices.Delete(r.History, maxHistoryLines/2, maxHistoryLines/2+1)
	}
	r.History = append(r.History, l)
	if len(m.logLines) < maxLogLines {
		m.logLines = append(m.logLines, LogLine{r.ID, r.Policy, l})
	}
}

// LogLine is a history line of a run, to be logged.
type LogLine struct {
	Run, Policy string
	HistoryLine
}

// TakeLogLines returns and clears the history lines added since the last call, for the log.
func (m *Machine) TakeLogLines() []LogLine {
	all := m.logLines
	m.logLines = nil
	return all
}

// valid reports whether the run has a current output of a stage.
func (r *Run) valid(i int) bool { s := r.Stages[i]; return s.UsedGen > s.StaleUpTo && s.Pending == nil }

// advance requests every output whose inputs are valid, and ends the run once all outputs are made.
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
		var gens []int64
		var inputs []string
		for _, n := range stage.Needs {
			ready = ready && r.valid(n)
			gens, inputs = append(gens, r.Stages[n].UsedGen), append(inputs, r.OutputKey(n))
		}
		if !ready {
			continue
		}
		if stage.Once && s.MayHaveRun && !m.faults.RerunOnceStages {
			m.finish(r, Answer{Kind: NeedsPerson, Stage: stage.Name, Reason: fmt.Sprintf("%s must not run twice and has been run with inputs that no longer count", stage.Name)})
			return
		}
		s.Requested, s.InputGens = true, gens
		req := &OutputRequest{
			Run: r.ID, Stage: i, Name: stage.Name, Class: stage.Class, Once: stage.Once, Tenant: r.Tenant, Params: r.Params,
			AboveGen: s.StaleUpTo, InputGens: gens, Inputs: inputs, Work: stage.Work, Within: stage.Within, Deadline: r.Deadline, FailedPlace: s.Place, Spare: m.policies[r.Policy].Spare,
		}
		m.setBudgets(r, s, req)
		m.send(Message{Kind: "want", To: r.OutputKey(i), From: r.ID, Request: req})
	}
	if all {
		m.finish(r, Answer{Kind: Done, Result: result})
	}
}

// setBudgets sets the accounts that a first run of a stage accrues to, and those that a rerun is charged to.
func (m *Machine) setBudgets(r *Run, s *Stage, req *OutputRequest) {
	fleet := m.policies[r.Policy].Fleet
	req.Accrue, req.Charge = []Share{{"fleet", fleet}}, []string{"fleet"}
	for _, rule := range r.pipeline.Rules {
		if a := tenantAccount(r.Tenant, rule.Tenant); rule.Tenant > 0 && !slices.ContainsFunc(req.Accrue, func(s Share) bool { return s.Account == a }) {
			req.Accrue = append(req.Accrue, Share{a, rule.Tenant})
		}
	}
	if s.RuleNumber > 0 {
		rule := r.pipeline.Rules[s.RuleNumber-1]
		if rule.Tenant > 0 {
			req.Charge = append(req.Charge, tenantAccount(r.Tenant, rule.Tenant))
		}
		if s.ByRule {
			req.Where, req.FailedPlaces, req.SuspectSites = rule.Where, slices.Clone(s.FailedPlaces), slices.Clone(s.SuspectSites)
		}
		if s.CheckedClaim != nil && req.Where == policy.Anywhere { // a second opinion needs another worker
			req.Where = policy.OtherWorker
		}
	}
}

func tenantAccount(tenant string, share float64) string {
	return fmt.Sprintf("tenant:%s:%g%%", tenant, share*100)
}

// finish sets a run's final answer, and releases everything it holds or waits for.
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

// reportVerdict reports the outcome of a trial to its fingerprint; none: the outcome says nothing about the trial.
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

// startBackoff delays a rerun by its rule's backoff, with jitter derived from the run's ID.
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

// requestTrial asks the fingerprint whether a rerun may go, as a trial or after a successful one.
func (m *Machine) requestTrial(r *Run, i int) {
	n := r.Stages[i].Pending
	if r.disputed(i) {
		m.requestSecondOpinion(r, i, acceptedElsewhere)
	}
	n.Phase = AwaitingTrial
	m.send(Message{Kind: "try", To: n.Fingerprint, From: r.ID, Stage: i, Key: r.OutputKey(n.Target)})
}

// requestSites queries the sites that make bad outputs of this stage, before it is rerun itself or runs for a second
// opinion on an input. The place of its failure says nothing about those sites.
func (m *Machine) requestSites(r *Run, i int) {
	n := r.Stages[i].Pending
	if n.Phase = AwaitingSites; n.SecondOpinion {
		n.SuspectSites = nil // they make its input bad, and the input is not rerun
	}
	m.send(Message{Kind: "where", To: fingerprint(r.Pipeline, r.pipeline.Stages[i].Name, policy.BadInput, policy.Place{}), From: r.ID, Stage: i})
}

// mergeSites returns the union of both lists.
func mergeSites(all, more []policy.Place) []policy.Place {
	for _, site := range more {
		if !slices.Contains(all, site) {
			all = append(all, site)
		}
	}
	return all
}

// startRerun reruns the target of a rule and whatever used its old output.
func (m *Machine) startRerun(r *Run, i int) {
	s := r.Stages[i]
	n, rule := s.Pending, r.pipeline.Rules[s.Pending.Rule]
	s.Pending = nil
	s.Trial = &TrialRef{n.Fingerprint, r.OutputKey(n.Target)}
	s.RuleNumber = n.Rule + 1
	target := r.Stages[n.Target]
	if n.Target != i && (target.StaleUpTo >= n.BadGen || target.UsedGen > n.BadGen) { // already rerun because of another stage's failure
		m.advance(r)
		return
	}
	if n.SecondOpinion {
		s.CheckedClaim = n.Claim
	} else if n.Target != i {
		m.markStale(r, slices.DeleteFunc(r.pipeline.Affected(rule, n.Target), func(a int) bool { return a == n.Target }), n.Rule+1)
	}
	if target.UsedGen > target.StaleUpTo && target.UsedGen <= n.BadGen {
		m.addHistory(r, n.Rule, "generation %d of %s is stale", target.UsedGen, r.pipeline.Stages[n.Target].Name)
	}
	target.StaleUpTo, target.Requested, target.ByRule, target.RuleNumber, target.Place = max(target.StaleUpTo, n.BadGen), false, true, n.Rule+1, n.FailedPlace
	target.SuspectSites = n.SuspectSites
	if i := slices.Index(target.FailedPlaces, n.FailedPlace); i < 0 && n.FailedPlace.Worker != "" {
		target.FailedPlaces = append(target.FailedPlaces[max(0, len(target.FailedPlaces)+1-maxFailedPlaces):], n.FailedPlace)
	}
	if n.Target == i && !n.SecondOpinion { // the stage's previous output, if any, is stale, as is everything downstream
		m.markStale(r, slices.DeleteFunc(r.pipeline.Affected(rule, i), func(a int) bool { return a == i }), n.Rule+1)
	}
	m.advance(r)
}

// giveUp ends the run because no rerun can help any more: its rule is exhausted or its trials failed.
func (m *Machine) giveUp(r *Run, i int, n *PendingRerun, why string) {
	kind := Dead
	if r.pipeline.Rules[n.Rule].NeedsPerson {
		kind = NeedsPerson
	}
	m.finish(r, Answer{Kind: kind, Stage: r.pipeline.Stages[i].Name, Cause: n.Cause, Reason: why})
}
