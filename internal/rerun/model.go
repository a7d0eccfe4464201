package rerun

import (
	"time"

	"caperrelay/internal/rerun/policy"
)

// Kind is how a run of a pipeline ended.
type Kind string

// How a run ends.
const (
	Done        Kind = "done"
	Dead        Kind = "dead"
	NeedsPerson Kind = "needs_person" // a stage that must not run twice may have run, or the policy demands a person
	LateEnd     Kind = "late"
	CalledOff   Kind = "called_off"
)

// Answer is the one final answer of a run.
type Answer struct {
	Kind   Kind          `json:"kind"`
	Stage  string        `json:"stage,omitempty"` // that caused the end, unless the run is done
	Cause  policy.Cause  `json:"cause,omitempty"`
	Reason string        `json:"reason,omitempty"` // for people
	At     time.Duration `json:"at"`               // Unix time
	Work   time.Duration `json:"work"`             // total of the reruns that this run started
	Reruns int           `json:"reruns"`
	Result string        `json:"result,omitempty"` // of the last of its result stages
}

// HistoryLine is a line of a run's history.
type HistoryLine struct {
	At   time.Duration `json:"at"`
	Rule int           `json:"rule,omitempty"` // line in the policy file; 0: none
	Text string        `json:"text"`
}

// Run is one run of a pipeline.
type Run struct {
	ID           string            `json:"id"`
	Pipeline     string            `json:"pipeline"`
	Policy       string            `json:"policy"` // version, fixed when the run begins
	Tenant       string            `json:"tenant,omitempty"`
	Params       map[string]string `json:"params,omitempty"`
	Began        time.Duration     `json:"began"`
	Deadline     time.Duration     `json:"until"`
	Stages       []*Stage          `json:"stages"`
	RuleUses     []int             `json:"uses,omitempty"` // by rule
	OthersReruns int               `json:"others,omitempty"`
	Reruns       int               `json:"reruns,omitempty"`
	Work         time.Duration     `json:"work,omitempty"` // of reruns that this run started
	Answer       *Answer           `json:"answer,omitempty"`
	History      []HistoryLine     `json:"story,omitempty"`

	pipeline *policy.Pipeline
}

// Stage is the state of a stage within a run. Generations count from 1; 0 is none.
type Stage struct {
	UsedGen      int64          `json:"have,omitempty"` // generation of its output that the run uses
	StaleUpTo    int64          `json:"over,omitempty"` // generations up to this one are stale
	InputGens    []int64        `json:"of,omitempty"`   // generations of the inputs of the requested output, in the order of Needs
	Requested    bool           `json:"wants,omitempty"`
	ByRule       bool           `json:"own,omitempty"` // requested again by a rule of this run
	MayHaveRun   bool           `json:"ran,omitempty"` // a stage that must not run twice may have run
	Runs         int64          `json:"runs,omitempty"`
	Place        policy.Place   `json:"at"` // where the used output was made; during a rerun, the place to avoid
	MadeAt       time.Duration  `json:"made,omitempty"`
	Result       string         `json:"result,omitempty"`
	RuleNumber   int            `json:"rule,omitempty"`  // index plus one of the rule that requested the rerun
	FailedPlaces []policy.Place `json:"bad,omitempty"`   // where the latest generations failed
	SuspectSites []policy.Place `json:"sites,omitempty"` // that often make bad outputs of this stage
	Pending      *PendingRerun  `json:"next,omitempty"`  // rerun being prepared after a failure
	Trial        *TrialRef      `json:"tried,omitempty"`
	CheckedClaim *Claim         `json:"doubt,omitempty"` // claim on which this run of the stage is a second opinion
}

// PendingRerun is a rerun being prepared after a stage failed.
type PendingRerun struct {
	Rule          int            `json:"rule"`
	Target        int            `json:"target"`
	BadGen        int64          `json:"bad"` // failed generation of the target's output
	Cause         policy.Cause   `json:"cause"`
	FailedPlace   policy.Place   `json:"failed"` // that the rerun avoids
	Fingerprint   string         `json:"print"`
	Phase         RerunPhase     `json:"phase"`
	ResumeAt      time.Duration  `json:"at,omitempty"`
	Claim         *Claim         `json:"claim,omitempty"`
	Claimant      policy.Place   `json:"by"`               // place of the worker that claims a bad input
	Confirmed     bool           `json:"sure,omitempty"`   // claimed by two workers
	SecondOpinion bool           `json:"second,omitempty"` // rerun the stage itself at another worker first, to check its claim
	SuspectSites  []policy.Place `json:"sites,omitempty"`  // reported by the fingerprint
}

// RerunPhase is the phase of a rerun being prepared.
type RerunPhase string

// Phases of a rerun, in order.
const (
	CheckingClaim RerunPhase = "claim"     // waits to learn whether the worker's claim of a bad input is believed
	BackingOff    RerunPhase = "wait"      // waits for its rule's backoff
	AwaitingTrial RerunPhase = "trial"     // waits for the verdicts of earlier trials
	CheckingInput RerunPhase = "challenge" // waits to learn whether other runs accepted the input
	AwaitingSites RerunPhase = "sites"     // waits for the sites that make bad outputs of the stage
)

// tracked reports whether the rerun is known to a fingerprint, as waiting there or as admitted.
func (p RerunPhase) tracked() bool {
	return p == AwaitingTrial || p == CheckingInput || p == AwaitingSites
}

// TrialRef is an admitted rerun whose verdict is the next outcome of this stage.
type TrialRef struct {
	Fingerprint string `json:"print"`
	Key         string `json:"key"`
}

// Claim is a worker's claim that an output is bad.
type Claim struct {
	Worker string `json:"worker"`
	Key    string `json:"key"`
	Gen    int64  `json:"gen"`
}

// Output is the output of a stage, of one run or of all that share it.
type Output struct {
	Key       string                    `json:"key"`
	LastGen   int64                     `json:"last"`          // last generation begun
	Gen       int64                     `json:"gen,omitempty"` // last generation made
	InputGens []int64                   `json:"of,omitempty"`  // generations of the inputs that it was made of
	Place     policy.Place              `json:"at"`
	MadeAt    time.Duration             `json:"made,omitempty"`
	Result    string                    `json:"result,omitempty"`
	Execution *Execution                `json:"turn,omitempty"`
	Requests  map[string]*OutputRequest `json:"wants,omitempty"` // by run
	Users     map[string]int64          `json:"users,omitempty"` // by run: the generation that was reported to it
	ForgetAt  time.Duration             `json:"idle,omitempty"`
	// Accrued: the first run has been added to the budgets.
	Accrued bool `json:"accrued,omitempty"`
	// Approvals: who accepted a shared output as an input. No two have the same run or the same worker.
	Approvals []Approval `json:"approved,omitempty"`
}

// Approval records that a run's stage, at a worker, accepted an output as its input.
type Approval struct {
	Run    string `json:"run"`
	Worker string `json:"worker"`
}

// Account is a group's part of a budget, in microseconds of work.
type Account struct {
	Balance   int64 `json:"balance"`
	Accrued   int64 `json:"accrued"` // total added by first runs
	Spent     int64 `json:"spent"`   // total spent on reruns
	Requested int64 `json:"asked,omitempty"`
	Spare     int64 `json:"spare,omitempty"` // initial balance of the budget's pool, by the policies
}

// Pool is the root group's part of a budget, from which groups request amounts.
type Pool struct {
	Balance  int64         `json:"balance"`
	Spare    int64         `json:"spare"` // initial balance
	Requests []poolRequest `json:"asking,omitempty"`
}

type poolRequest struct {
	Group  uint32 `json:"group"`
	Amount int64  `json:"amount"`
}

// OutputRequest is a run's request for an output: a generation above a given one, made of inputs of at least these generations.
type OutputRequest struct {
	Run          string            `json:"run"`
	Stage        int               `json:"stage"`
	Name         string            `json:"name"`
	Class        string            `json:"class"`
	Once         bool              `json:"once,omitempty"`
	Tenant       string            `json:"tenant,omitempty"`
	Params       map[string]string `json:"params,omitempty"`
	AboveGen     int64             `json:"over,omitempty"`
	InputGens    []int64           `json:"of,omitempty"`
	Inputs       []string          `json:"inputs,omitempty"` // output keys
	Work         time.Duration     `json:"work"`
	Within       time.Duration     `json:"within"` // of one stage run
	Deadline     time.Duration     `json:"until"`
	Where        policy.Where      `json:"where,omitempty"`
	FailedPlace  policy.Place      `json:"failed"`
	FailedPlaces []policy.Place    `json:"avoid,omitempty"`  // where earlier generations failed, to be avoided likewise
	SuspectSites []policy.Place    `json:"doubt,omitempty"`  // sites that often fail; others are preferred if there are any
	Accrue       []Share           `json:"accrue,omitempty"` // accounts that a first run adds to
	Charge       []string          `json:"charge,omitempty"` // accounts that a rerun is charged to
	Spare        time.Duration     `json:"spare,omitempty"`
}

// Share is an account and its share of the work of first runs.
type Share struct {
	Account  string  `json:"account"`
	Fraction float64 `json:"of"`
}

// Execution is an execution of a stage, which makes one generation of its output.
type Execution struct {
	OutputRequest                // the request that started it
	Gen           int64          `json:"gen"`
	First         bool           `json:"first,omitempty"`
	Phase         ExecutionPhase `json:"phase"`
	Order         uint64         `json:"order"`
	Dispatcher    string         `json:"by,omitempty"` // dispatcher
	Began         time.Duration  `json:"began,omitempty"`
}

// ExecutionPhase is the phase of an execution.
type ExecutionPhase string

// Phases of an execution.
const (
	AwaitingBudget ExecutionPhase = "pay"   // waits for its budgets
	Queued         ExecutionPhase = "queue" // may start
	Started        ExecutionPhase = "run"
)

// Fingerprint is the stage, cause and place shared by failures that may have a common reason.
type Fingerprint struct {
	Admitted     []string      `json:"trying,omitempty"` // admitted reruns, by run and stage, whose verdicts are outstanding
	Waiting      []Message     `json:"waiting,omitempty"`
	MaxAdmitted  int           `json:"room"` // maximum of Admitted; doubled by a good verdict
	FailedTrials int           `json:"bad,omitempty"`
	NotBefore    time.Duration `json:"not,omitempty"` // no further trial starts before this
	ForgetAt     time.Duration `json:"idle,omitempty"`
}

// SiteFailures counts the recent failures of one stage and cause at a site.
type SiteFailures struct {
	Site        policy.Place  `json:"site"` // zone and site only
	Failures    int           `json:"n"`
	Accepted    int           `json:"fine,omitempty"` // outputs made there that were accepted since
	LastFailure time.Duration `json:"last"`
}

// Claimant is the record of a worker that has claimed outputs to be bad.
type Claimant struct {
	OpenClaims      []Claim          `json:"open,omitempty"` // neither confirmed nor refuted
	Trust           int              `json:"trust"`          // number of open claims that are believed
	Since           time.Duration    `json:"since"`
	Refuted         int              `json:"refuted,omitempty"`
	Claims          int              `json:"claims,omitempty"`
	Accepted        map[string]int64 `json:"content,omitempty"` // by stage: runs in which the worker accepted its inputs
	DistrustedUntil time.Duration    `json:"until,omitempty"`
}

// Message is a message between objects, in this group or between groups. Messages between groups are numbered and
// applied once, in order.
type Message struct {
	Seq          uint64         `json:"seq,omitempty"`
	Kind         string         `json:"kind"`
	To           string         `json:"to"` // key of the object
	From         string         `json:"from,omitempty"`
	Stage        int            `json:"stage,omitempty"`
	Gen          int64          `json:"gen,omitempty"`
	InputGens    []int64        `json:"of,omitempty"`
	Place        policy.Place   `json:"at"`
	MadeAt       time.Duration  `json:"made,omitempty"`
	Key          string         `json:"key,omitempty"`
	Cause        policy.Cause   `json:"cause,omitempty"`
	Input        string         `json:"input,omitempty"`
	RunTime      time.Duration  `json:"ran,omitempty"`
	Text         string         `json:"text,omitempty"`
	OK           bool           `json:"ok,omitempty"`
	Amount       int64          `json:"amount,omitempty"`
	Spare        int64          `json:"spare,omitempty"`
	Group        uint32         `json:"group,omitempty"`
	Request      *OutputRequest `json:"want,omitempty"`
	Worker       string         `json:"worker,omitempty"`
	SuspectSites []policy.Place `json:"sites,omitempty"`
}

// Faults disables safety rules, for tests that must detect it. AnyGeneration makes requests ask for a generation above
// the last one, GrantTwice applies repeated budget grants again, NoTrial admits reruns without a trial, and
// RerunOnceStages reruns stages that must not run twice.
type Faults struct{ AnyGeneration, GrantTwice, NoTrial, RerunOnceStages bool }
