package rerun

import (
	"time"

	"caperrelay/internal/rerun/policy"
)

// Kind is how a run of a pipeline ended.
type Kind string

// The ends.
const (
	Done      Kind = "done"
	Dead      Kind = "dead"
	Person    Kind = "needs_person" // what must not run twice may have run, or the policy says so
	LateEnd   Kind = "late"
	CalledOff Kind = "called_off"
)

// Answer is a run's one final answer.
type Answer struct {
	Kind   Kind          `json:"kind"`
	Stage  string        `json:"stage,omitempty"` // because of which, unless it is done
	Cause  policy.Cause  `json:"cause,omitempty"`
	Reason string        `json:"reason,omitempty"` // what is known
	At     time.Duration `json:"at"`               // Unix time
	Work   time.Duration `json:"work"`             // that reruns it asked for took
	Reruns int           `json:"reruns"`
	Result string        `json:"result,omitempty"` // that the last of its result stages gave
}

// Line is one of a run's story.
type Line struct {
	At   time.Duration `json:"at"`
	Rule int           `json:"rule,omitempty"` // line of the policy's file; 0: none
	Text string        `json:"text"`
}

// Run is one run of a pipeline.
type Run struct {
	ID           string            `json:"id"`
	Pipeline     string            `json:"pipeline"`
	Policy       string            `json:"policy"` // version, from its beginning to its end
	Tenant       string            `json:"tenant,omitempty"`
	Params       map[string]string `json:"params,omitempty"`
	Began        time.Duration     `json:"began"`
	Deadline     time.Duration     `json:"until"`
	Stages       []*Stage          `json:"stages"`
	RuleUses     []int             `json:"uses,omitempty"` // of each rule
	OthersReruns int               `json:"others,omitempty"`
	Reruns       int               `json:"reruns,omitempty"`
	Work         time.Duration     `json:"work,omitempty"` // of reruns that it began
	Answer       *Answer           `json:"answer,omitempty"`
	History      []Line            `json:"story,omitempty"`

	pipeline *policy.Pipeline
}

// Stage is one of a run's. Generations count from 1; 0 is none.
type Stage struct {
	UsedGen      int64          `json:"have,omitempty"` // generation of its output that the run uses
	StaleUpTo    int64          `json:"over,omitempty"` // generations up to this one do not count
	InputGens    []int64        `json:"of,omitempty"`   // generations of its inputs, by its needs, that are asked for
	Requested    bool           `json:"wants,omitempty"`
	ByRule       bool           `json:"own,omitempty"` // it has been asked for anew, by a rule of this run
	MayHaveRun   bool           `json:"ran,omitempty"` // of one that must not run twice: it may have
	Runs         int64          `json:"runs,omitempty"`
	Place        policy.Place   `json:"at"`
	MadeAt       time.Duration  `json:"made,omitempty"`
	Result       string         `json:"result,omitempty"`
	RuleNumber   int            `json:"rule,omitempty"`  // one above the rule by which it is asked for anew
	FailedPlaces []policy.Place `json:"bad,omitempty"`   // where generations of it came to nothing, the last ones
	SuspectSites []policy.Place `json:"sites,omitempty"` // of which that is said often
	Pending      *PendingRerun  `json:"next,omitempty"`  // since it failed
	Trial        *TrialRef      `json:"tried,omitempty"`
	CheckedClaim *Claim         `json:"doubt,omitempty"` // it runs for a second opinion on this
}

// NextTimer is what is to be done since a stage failed.
type PendingRerun struct {
	Rule          int            `json:"rule"`
	Target        int            `json:"target"`
	BadGen        int64          `json:"bad"` // generation of the target's output that came to nothing
	Cause         policy.Cause   `json:"cause"`
	FailedPlace   policy.Place   `json:"failed"` // whom the rerun must not be at
	Fingerprint   string         `json:"print"`
	Phase         RerunPhase     `json:"phase"`
	ResumeAt      time.Duration  `json:"at,omitempty"`
	Claim         *Claim         `json:"claim,omitempty"`
	Claimant      policy.Place   `json:"by"`               // who claims
	Confirmed     bool           `json:"sure,omitempty"`   // two workers claim it
	SecondOpinion bool           `json:"second,omitempty"` // the stage itself runs elsewhere first: is its claim true?
	SuspectSites  []policy.Place `json:"sites,omitempty"`  // that the fingerprint told are bad
}

// RerunPhase is how far a rerun is on its way to be asked for.
type RerunPhase string

// The phases of a rerun, in their order.
const (
	CheckingClaim RerunPhase = "claim"     // whether the worker that calls an input bad is believed
	BackingOff    RerunPhase = "wait"      // its rule's time
	AwaitingTrial RerunPhase = "trial"     // the verdicts of reruns that went first
	CheckingInput RerunPhase = "challenge" // whether other runs were content with the input
	AwaitingSites RerunPhase = "sites"     // which sites spoil what the stage makes
)

// tracked tells whether a fingerprint knows of the rerun, as one that waits there or that it has let go.
func (p RerunPhase) tracked() bool {
	return p == AwaitingTrial || p == CheckingInput || p == AwaitingSites
}

// TrialRef is a trial, or a place in its wake, whose verdict this stage's next end is.
type TrialRef struct {
	Fingerprint string `json:"print"`
	Key         string `json:"key"`
}

// Claim is that a worker calls an output bad.
type Claim struct {
	Worker string `json:"worker"`
	Key    string `json:"key"`
	Gen    int64  `json:"gen"`
}

// Output is what a stage makes, of one run or of all that share it.
type Output struct {
	Key       string           `json:"key"`
	LastGen   int64            `json:"last"`           // generation that was begun last
	Gen       int64            `json:"gen,omitempty"`  // that was made last
	InputGens []int64          `json:"of,omitempty"`   // made of these
	Place     policy.Place     `json:"at"`             // where
	MadeAt    time.Duration    `json:"made,omitempty"` // when
	Result    string           `json:"result,omitempty"`
	Execution *Turn            `json:"turn,omitempty"`
	Requests  map[string]*Want `json:"wants,omitempty"` // by run
	Users     map[string]int64 `json:"users,omitempty"` // run and the generation that it was told
	ForgetAt  time.Duration    `json:"idle,omitempty"`
	// Accrued: its first run has added to the budgets.
	Accrued bool `json:"accrued,omitempty"`
	// Approved: who was content with it as an input, where it is shared. No two are of one run or one worker.
	Approvals []Approval `json:"approved,omitempty"`
}

// Approval is that a run's stage was content with an output, which its worker had as an input.
type Approval struct {
	Run    string `json:"run"`
	Worker string `json:"worker"`
}

// Account is what a group may spend of a budget: in microseconds of work.
type Account struct {
	Balance   int64 `json:"balance"`
	Accrued   int64 `json:"accrued"` // by first runs, ever
	Spent     int64 `json:"spent"`   // by reruns, ever
	Requested int64 `json:"asked,omitempty"`
	Spare     int64 `json:"spare,omitempty"` // as the policies say that each account has from the start
}

// Pool is what the root has of a budget, for groups that ask.
type Pool struct {
	Balance  int64         `json:"balance"`
	Spare    int64         `json:"spare"` // that it was given at its start
	Requests []poolRequest `json:"asking,omitempty"`
}

type poolRequest struct {
	Group  uint32 `json:"group"`
	Amount int64  `json:"amount"`
}

// Want is that a run needs an output: a generation over one, of inputs of at least these generations.
type Want struct {
	Run      string            `json:"run"`
	Stage    int               `json:"stage"`
	Name     string            `json:"name"`
	Class    string            `json:"class"`
	Once     bool              `json:"once,omitempty"`
	Tenant   string            `json:"tenant,omitempty"`
	Params   map[string]string `json:"params,omitempty"`
	AboveGen int64             `json:"over,omitempty"`
	Of       []int64           `json:"of,omitempty"`
	Inputs   []string          `json:"inputs,omitempty"` // keys
	Work     time.Duration     `json:"work"`
	Within   time.Duration     `json:"within"` // of one run
	Until    time.Duration     `json:"until"`
	Where    policy.Where      `json:"where,omitempty"`
	Failed   policy.Place      `json:"failed"`
	Avoid    []policy.Place    `json:"avoid,omitempty"`  // where earlier generations came to nothing, likewise
	Doubt    []policy.Place    `json:"doubt,omitempty"`  // sites of which the same is said often: others are taken if there are
	Accrue   []Share           `json:"accrue,omitempty"` // accounts that a first run adds to
	Charge   []string          `json:"charge,omitempty"` // accounts that a rerun takes from
	Spare    time.Duration     `json:"spare,omitempty"`
}

// Share is an account and the share of first runs' work that it gets.
type Share struct {
	Account  string  `json:"account"`
	Fraction float64 `json:"of"`
}

// Turn is the making of a generation.
type Turn struct {
	Want                 // of who began it
	Gen   int64          `json:"gen"`
	First bool           `json:"first,omitempty"`
	Phase ExecutionPhase `json:"phase"`
	Order uint64         `json:"order"`
	By    string         `json:"by,omitempty"` // dispatcher
	Began time.Duration  `json:"began,omitempty"`
}

// ExecutionPhase is how far a turn is.
type ExecutionPhase string

// The phases.
const (
	AwaitingBudget ExecutionPhase = "pay"   // its budget is asked for
	Queued         ExecutionPhase = "queue" // it may start
	Started        ExecutionPhase = "run"
)

// Fingerprint is a fingerprint: stage, cause and place of failures that may be one.
type Fingerprint struct {
	Trials       []string      `json:"trying,omitempty"` // runs whose verdicts are out
	Waiting      []Message     `json:"waiting,omitempty"`
	MaxTrials    int           `json:"room"` // at once; doubled by a good verdict
	FailedTrials int           `json:"bad,omitempty"`
	NotBefore    time.Duration `json:"not,omitempty"` // before which no further trial begins
	ForgetAt     time.Duration `json:"idle,omitempty"`
}

// SiteFailures is how often one thing was said of a site, of late.
type SiteFailures struct {
	Site        policy.Place  `json:"site"` // zone and site alone
	Failures    int           `json:"n"`
	Accepted    int           `json:"fine,omitempty"` // outputs of it since that a stage was content with
	LastFailure time.Duration `json:"last"`
}

// Claimant is a worker that called outputs bad.
type Claimant struct {
	OpenClaims      []Claim          `json:"open,omitempty"` // neither confirmed nor refuted
	Trust           int              `json:"trust"`          // how many may be open and are believed
	Since           time.Duration    `json:"since"`
	Refuted         int              `json:"refuted,omitempty"`
	Claims          int              `json:"claims,omitempty"`
	Accepted        map[string]int64 `json:"content,omitempty"` // by stage: its runs that were content with their inputs
	DistrustedUntil time.Duration    `json:"until,omitempty"`   // it is not believed
}

// Message is what one object tells another, in this group or another one. Between groups letters are numbered and taken
// in once, in their order.
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
	Request      *Want          `json:"want,omitempty"`
	Worker       string         `json:"worker,omitempty"`
	SuspectSites []policy.Place `json:"sites,omitempty"`
}

// Faults switches a rule off, for the tests that must notice.
type Faults struct{ AnyGeneration, GrantTwice, NoTrial, Unsafe bool }
