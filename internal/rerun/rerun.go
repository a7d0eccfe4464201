// Package rerun decides, in replicated state, what runs of pipelines do: which stage is to run, which output of which
// generation it uses, what is run again when one fails, when, at whose cost and after whose trial. It has no I/O and no
// clock: committed commands, each with its time, are all that changes it. docs/reruns-design.md weighs the choices.
package rerun

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
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
	ID       string            `json:"id"`
	Pipeline string            `json:"pipeline"`
	Policy   string            `json:"policy"` // version, from its beginning to its end
	Tenant   string            `json:"tenant,omitempty"`
	Params   map[string]string `json:"params,omitempty"`
	Began    time.Duration     `json:"began"`
	Until    time.Duration     `json:"until"`
	Stages   []*Stage          `json:"stages"`
	Uses     []int             `json:"uses,omitempty"` // of each rule
	Others   int               `json:"others,omitempty"`
	Reruns   int               `json:"reruns,omitempty"`
	Work     time.Duration     `json:"work,omitempty"` // of reruns that it began
	Answer   *Answer           `json:"answer,omitempty"`
	Story    []Line            `json:"story,omitempty"`

	p *policy.Pipeline
}

// Stage is one of a run's. Generations count from 1; 0 is none.
type Stage struct {
	Have   int64          `json:"have,omitempty"` // generation of its output that the run uses
	Over   int64          `json:"over,omitempty"` // generations up to this one do not count
	Of     []int64        `json:"of,omitempty"`   // generations of its inputs, by its needs, that are asked for
	Wants  bool           `json:"wants,omitempty"`
	Own    bool           `json:"own,omitempty"` // it has been asked for anew, by a rule of this run
	Ran    bool           `json:"ran,omitempty"` // of one that must not run twice: it may have
	Runs   int64          `json:"runs,omitempty"`
	At     policy.Place   `json:"at"`
	Made   time.Duration  `json:"made,omitempty"`
	Result string         `json:"result,omitempty"`
	Rule   int            `json:"rule,omitempty"`  // one above the rule by which it is asked for anew
	Bad    []policy.Place `json:"bad,omitempty"`   // where generations of it came to nothing, the last ones
	Sites  []policy.Place `json:"sites,omitempty"` // of which that is said often
	Next   *Next          `json:"next,omitempty"`  // since it failed
	Tried  *Tried         `json:"tried,omitempty"`
	Doubt  *Claim         `json:"doubt,omitempty"` // it runs for a second opinion on this
}

// Next is what is to be done since a stage failed.
type Next struct {
	Rule   int            `json:"rule"`
	Target int            `json:"target"`
	Bad    int64          `json:"bad"` // generation of the target's output that came to nothing
	Cause  policy.Cause   `json:"cause"`
	Failed policy.Place   `json:"failed"` // whom the rerun must not be at
	Print  string         `json:"print"`
	Phase  string         `json:"phase"` // claim, wait, trial
	At     time.Duration  `json:"at,omitempty"`
	Claim  *Claim         `json:"claim,omitempty"`
	Second bool           `json:"second,omitempty"` // the stage itself runs elsewhere first: is its claim true?
	Sites  []policy.Place `json:"sites,omitempty"`  // that the fingerprint told are bad
}

// Tried is a trial, or a place in its wake, whose verdict this stage's next end is.
type Tried struct {
	Print string `json:"print"`
	Key   string `json:"key"`
}

// Claim is that a worker calls an output bad.
type Claim struct {
	Worker string `json:"worker"`
	Key    string `json:"key"`
	Gen    int64  `json:"gen"`
}

// Output is what a stage makes, of one run or of all that share it.
type Output struct {
	Key    string           `json:"key"`
	Last   int64            `json:"last"`           // generation that was begun last
	Gen    int64            `json:"gen,omitempty"`  // that was made last
	Of     []int64          `json:"of,omitempty"`   // made of these
	At     policy.Place     `json:"at"`             // where
	Made   time.Duration    `json:"made,omitempty"` // when
	Result string           `json:"result,omitempty"`
	Turn   *Turn            `json:"turn,omitempty"`
	Wants  map[string]*Want `json:"wants,omitempty"` // by run
	Users  map[string]int64 `json:"users,omitempty"` // run and the generation that it was told
	Idle   time.Duration    `json:"idle,omitempty"`
	// Accrued: its first run has added to the budgets.
	Accrued bool `json:"accrued,omitempty"`
}

// Account is what a group may spend of a budget: in microseconds of work.
type Account struct {
	Balance int64 `json:"balance"`
	Accrued int64 `json:"accrued"` // by first runs, ever
	Spent   int64 `json:"spent"`   // by reruns, ever
	Asked   int64 `json:"asked,omitempty"`
	Spare   int64 `json:"spare,omitempty"` // as the policies say that each account has from the start
}

// Pool is what the root has of a budget, for groups that ask.
type Pool struct {
	Balance int64    `json:"balance"`
	Spare   int64    `json:"spare"` // that it was given at its start
	Asking  []asking `json:"asking,omitempty"`
}

type asking struct {
	Group  uint32 `json:"group"`
	Amount int64  `json:"amount"`
}

// Want is that a run needs an output: a generation over one, of inputs of at least these generations.
type Want struct {
	Run    string            `json:"run"`
	Stage  int               `json:"stage"`
	Name   string            `json:"name"`
	Class  string            `json:"class"`
	Once   bool              `json:"once,omitempty"`
	Tenant string            `json:"tenant,omitempty"`
	Params map[string]string `json:"params,omitempty"`
	Over   int64             `json:"over,omitempty"`
	Of     []int64           `json:"of,omitempty"`
	Inputs []string          `json:"inputs,omitempty"` // keys
	Work   time.Duration     `json:"work"`
	Within time.Duration     `json:"within"` // of one run
	Until  time.Duration     `json:"until"`
	Where  policy.Where      `json:"where,omitempty"`
	Failed policy.Place      `json:"failed"`
	Avoid  []policy.Place    `json:"avoid,omitempty"`  // where earlier generations came to nothing, likewise
	Doubt  []policy.Place    `json:"doubt,omitempty"`  // sites of which the same is said often: others are taken if there are
	Accrue []Share           `json:"accrue,omitempty"` // accounts that a first run adds to
	Charge []string          `json:"charge,omitempty"` // accounts that a rerun takes from
	Spare  time.Duration     `json:"spare,omitempty"`
}

// Share is an account and the share of first runs' work that it gets.
type Share struct {
	Account string  `json:"account"`
	Of      float64 `json:"of"`
}

// Turn is the making of a generation.
type Turn struct {
	Want                // of who began it
	Gen   int64         `json:"gen"`
	First bool          `json:"first,omitempty"`
	Phase Phase         `json:"phase"`
	Order uint64        `json:"order"`
	By    string        `json:"by,omitempty"` // dispatcher
	Began time.Duration `json:"began,omitempty"`
}

// Phase is how far a turn is.
type Phase string

// The phases.
const (
	Paying  Phase = "pay"   // its budget is asked for
	Queued  Phase = "queue" // it may start
	Started Phase = "run"
)

// Print is a fingerprint: stage, cause and place of failures that may be one.
type Print struct {
	Trying  []string      `json:"trying,omitempty"` // runs whose verdicts are out
	Waiting []Letter      `json:"waiting,omitempty"`
	Room    int           `json:"room"` // at once; doubled by a good verdict
	Bad     int           `json:"bad,omitempty"`
	Not     time.Duration `json:"not,omitempty"` // before which no further trial begins
	Idle    time.Duration `json:"idle,omitempty"`
}

// Often is how often one thing was said of a site, of late.
type Often struct {
	Site policy.Place  `json:"site"` // zone and site alone
	N    int           `json:"n"`
	Last time.Duration `json:"last"`
}

// Claimant is a worker that called outputs bad.
type Claimant struct {
	Open    []Claim          `json:"open,omitempty"` // neither confirmed nor refuted
	Trust   int              `json:"trust"`          // how many may be open and are believed
	Since   time.Duration    `json:"since"`
	Refuted int              `json:"refuted,omitempty"`
	Claims  int              `json:"claims,omitempty"`
	Content map[string]int64 `json:"content,omitempty"` // by stage: its runs that were content with their inputs
	Until   time.Duration    `json:"until,omitempty"`   // it is not believed
}

// Letter is what one object tells another, in this group or another one. Between groups letters are numbered and taken
// in once, in their order.
type Letter struct {
	Seq    uint64         `json:"seq,omitempty"`
	Kind   string         `json:"kind"`
	To     string         `json:"to"` // key of the object
	From   string         `json:"from,omitempty"`
	Stage  int            `json:"stage,omitempty"`
	Gen    int64          `json:"gen,omitempty"`
	Of     []int64        `json:"of,omitempty"`
	At     policy.Place   `json:"at"`
	Made   time.Duration  `json:"made,omitempty"`
	Key    string         `json:"key,omitempty"`
	Cause  policy.Cause   `json:"cause,omitempty"`
	Input  string         `json:"input,omitempty"`
	Ran    time.Duration  `json:"ran,omitempty"`
	Text   string         `json:"text,omitempty"`
	OK     bool           `json:"ok,omitempty"`
	Amount int64          `json:"amount,omitempty"`
	Spare  int64          `json:"spare,omitempty"`
	Group  uint32         `json:"group,omitempty"`
	Want   *Want          `json:"want,omitempty"`
	Worker string         `json:"worker,omitempty"`
	Sites  []policy.Place `json:"sites,omitempty"`
}

// Faults switches a rule off, for the tests that must notice.
type Faults struct{ AnyGeneration, GrantTwice, NoTrial, Unsafe bool }

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

// Op is what a command does.
type Op string

// The commands.
const (
	OpPolicy   Op = "policy" // counts for runs that begin from now on
	OpSubmit   Op = "submit"
	OpStart    Op = "start" // a dispatcher is about to have a turn run: nobody else may
	OpTurn     Op = "turn"  // changes nothing: whether a turn has been started and has no end
	OpEnd      Op = "end"   // of a turn
	OpLetters  Op = "letters"
	OpSent     Op = "sent" // letters are confirmed
	OpCallOff  Op = "call_off"
	OpRoom     Op = "room"      // reruns that places take at once
	OpTick     Op = "tick"      // time has passed
	OpLook     Op = "look"      // changes nothing: a read in the order of all else
	OpTakeOver Op = "take_over" // runs of a dispatcher that is gone: nobody knows what became of them
)

// Command is what is committed.
type Command struct {
	V        int               `json:"v"`
	Op       Op                `json:"op"`
	ID       string            `json:"id,omitempty"`
	Pipeline string            `json:"pipeline,omitempty"`
	Tenant   string            `json:"tenant,omitempty"`
	Params   map[string]string `json:"params,omitempty"`
	Text     string            `json:"text,omitempty"`
	Site     *policy.Site      `json:"site,omitempty"`
	Key      string            `json:"key,omitempty"`
	Gen      int64             `json:"gen,omitempty"`
	By       string            `json:"by,omitempty"`
	OK       bool              `json:"ok,omitempty"`
	Cause    policy.Cause      `json:"cause,omitempty"`
	Input    string            `json:"input,omitempty"`
	Place    *policy.Place     `json:"place,omitempty"`
	Ran      time.Duration     `json:"ran,omitempty"`
	Group    uint32            `json:"group,omitempty"`
	Letters  []Letter          `json:"letters,omitempty"`
	Seq      uint64            `json:"seq,omitempty"`
	Rooms    map[string]int    `json:"rooms,omitempty"` // by zone.site
}

// Bytes is the command as it is proposed.
func (c Command) Bytes() []byte {
	c.V = Version
	text, _ := json.Marshal(c) // plain data: it cannot fail
	return text
}

// Result is what a command came to.
type Result struct {
	OK     bool    `json:"ok"`
	Why    string  `json:"why,omitempty"`
	Seq    uint64  `json:"seq,omitempty"` // letters that are taken in up to
	Answer *Answer `json:"answer,omitempty"`
	// Explained is the whole story, of a look.
	Explained *Explained `json:"explained,omitempty"`
}

// ReadResult reads what Apply gave.
func ReadResult(text []byte) (r Result, err error) {
	err = json.Unmarshal(text, &r)
	return r, err
}

// Apply steps the machine by a committed command. at is Unix time, and never less than before.
func (m *Machine) Apply(_ uint64, at time.Duration, cmd []byte) []byte {
	m.s.At = max(m.s.At, at)
	var c Command
	r := Result{Why: "it cannot be read"}
	if err := json.Unmarshal(cmd, &c); err == nil && c.V != Version {
		r.Why = fmt.Sprintf("version %d is not spoken here, %d is", c.V, Version)
	} else if err == nil {
		m.time()
		r = m.step(&c)
		m.settle()
	}
	text, _ := json.Marshal(r)
	return text
}

func no(format string, args ...any) Result { return Result{Why: fmt.Sprintf(format, args...)} }

func (m *Machine) step(c *Command) Result {
	switch c.Op {
	case OpPolicy:
		return m.policy(c)
	case OpSubmit:
		return m.submit(c)
	case OpStart:
		return m.start(c)
	case OpTurn:
		if o := m.s.Outputs[c.Key]; o == nil || o.Turn == nil || o.Turn.Gen != c.Gen || o.Turn.Phase != Started {
			return no("no such turn runs")
		}
		return Result{OK: true}
	case OpEnd:
		return m.end(c)
	case OpLetters:
		for _, l := range c.Letters {
			if l.Seq == m.s.In[c.Group]+1 || m.faulty.GrantTwice && l.Kind == "grant" {
				m.s.In[c.Group] = max(l.Seq, m.s.In[c.Group])
				m.local = append(m.local, l)
			}
		}
		return Result{OK: true, Seq: m.s.In[c.Group]}
	case OpSent:
		m.s.Out[c.Group] = slices.DeleteFunc(m.s.Out[c.Group], func(l Letter) bool { return l.Seq <= c.Seq })
		return Result{OK: true}
	case OpCallOff:
		if r := m.s.Runs[c.ID]; r != nil && r.Answer == nil {
			m.finish(r, Answer{Kind: CalledOff, Reason: "called off"})
		} else if r == nil {
			return no("no run %q", c.ID)
		}
		return Result{OK: true}
	case OpRoom:
		for place, room := range c.Rooms {
			if len(m.s.Room) < mostKept && len(place) <= mostParam {
				m.s.Room[place] = max(1, room)
			}
		}
		return Result{OK: true}
	case OpTick:
		return Result{OK: true}
	case OpLook:
		e, ok := m.Explain(c.ID)
		if !ok {
			return no("no run %q", c.ID)
		}
		return Result{OK: true, Answer: e.Answer, Explained: &e}
	case OpTakeOver:
		for _, t := range m.Running(c.By) {
			m.end(&Command{Key: t.Key, Gen: t.Gen, Cause: policy.MayHaveRun})
		}
		return Result{OK: true}
	}
	return no("no such command")
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

// family is a fingerprint without its place.
func family(print string) string { return print[:max(0, strings.LastIndexByte(print, '/'))] }

// GroupOfRun is the group of a run of a pipeline.
func GroupOfRun(id string, groups uint32) uint32 { return replica.GroupOf("r/"+id, groups) }

func (m *Machine) send(l Letter) { m.post(m.group(l.To), l) }

func (m *Machine) post(to uint32, l Letter) {
	if to == m.c.Group {
		m.local = append(m.local, l)
		return
	}
	m.s.Seq[to]++
	l.Seq = m.s.Seq[to]
	m.s.Out[to] = append(m.s.Out[to], l)
}

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

func (m *Machine) policy(c *Command) Result {
	if c.Site == nil {
		return no("without a site")
	}
	p, err := policy.Parse("policy", []byte(c.Text), *c.Site)
	if err != nil {
		return no("%v", err)
	}
	if before, known := m.s.Policies[p.Version]; known {
		if before.Text != c.Text {
			return no("version %q is another text: give it another version", p.Version)
		}
	} else {
		m.s.Policies[p.Version], m.loaded[p.Version] = policyText{c.Text, *c.Site}, p
		m.s.Versions = append(m.s.Versions, p.Version)
	}
	m.s.Current = p.Version
	used := map[string]bool{p.Version: true}
	for _, r := range m.s.Runs {
		used[r.Policy] = true
	}
	for len(m.s.Versions) > mostPolicies {
		i := slices.IndexFunc(m.s.Versions, func(v string) bool { return !used[v] })
		if i < 0 {
			break
		}
		delete(m.s.Policies, m.s.Versions[i])
		delete(m.loaded, m.s.Versions[i])
		m.s.Versions = slices.Delete(m.s.Versions, i, i+1)
	}
	return Result{OK: true}
}

func (m *Machine) submit(c *Command) Result {
	if r := m.s.Runs[c.ID]; r != nil { // asked again: whoever asked did not hear
		if r.Pipeline != c.Pipeline || r.Tenant != c.Tenant || !maps.Equal(r.Params, c.Params) {
			return no("run %q is another", c.ID)
		}
		return Result{OK: true, Answer: r.Answer}
	}
	pol := m.loaded[m.s.Current]
	switch {
	case c.ID == "" || len(c.ID) > 96 || strings.ContainsAny(c.ID, "/ ~?#%"):
		return no("a run's id has 1 to 96 bytes, without / ? # %% ~ and spaces")
	case pol == nil:
		return no("there is no policy yet")
	case pol.Pipelines[c.Pipeline] == nil:
		return no("version %q has no pipeline %q", pol.Version, c.Pipeline)
	case len(m.s.Runs) >= mostRuns || len(m.s.Outputs) >= mostOutputs:
		return no("the group holds %d runs and %d outputs: it is full", len(m.s.Runs), len(m.s.Outputs))
	case len(c.Tenant) > mostParam || len(c.Params) > mostParams:
		return no("too many parameters, or too long")
	}
	for k, v := range c.Params {
		if len(k) > mostParam || len(v) > mostParam {
			return no("too many parameters, or too long")
		}
	}
	p := pol.Pipelines[c.Pipeline]
	for _, s := range p.Stages {
		if s.Shared != "" && (c.Params[s.Shared] == "" || strings.ContainsAny(c.Params[s.Shared], "/ ")) {
			return no("stage %q is shared by the parameter %q, which must be given, without / and spaces", s.Name, s.Shared)
		}
	}
	r := &Run{
		ID: c.ID, Pipeline: c.Pipeline, Policy: pol.Version, Tenant: c.Tenant, Params: c.Params,
		Began: m.s.At, Until: m.s.At + p.Within, Uses: make([]int, len(p.Rules)), p: p,
	}
	for range p.Stages {
		r.Stages = append(r.Stages, &Stage{})
	}
	m.s.Runs[c.ID] = r
	m.open++
	m.wake(r.Until, "run", r.ID)
	m.advance(r)
	return Result{OK: true}
}

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
		if s.Next != nil && s.Next.Phase == "trial" {
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

// read has an object take a letter.
func (m *Machine) read(l *Letter) {
	switch l.Kind {
	case "want", "leave":
		m.output(l)
	case "try", "verdict":
		m.print(l)
	case "claim", "opinion", "content":
		m.claimant(l)
	case "ask", "give":
		m.pool(l)
	case "grant":
		a := m.s.Accounts[l.To]
		if a == nil {
			return
		}
		a.Balance += l.Amount
		a.Asked = max(0, a.Asked-l.Amount)
		m.richer = true
	default:
		if r := m.s.Runs[strings.TrimPrefix(l.To, "r/")]; r != nil && r.Answer == nil {
			m.told(r, l)
		}
	}
}

// told has a run take a letter.
func (m *Machine) told(r *Run, l *Letter) {
	if l.Stage < 0 || l.Stage >= len(r.Stages) {
		return
	}
	s := r.Stages[l.Stage]
	switch l.Kind {
	case "begun": // its turn may start from now on, and began because of this run
		if r.p.Stages[l.Stage].Once {
			s.Ran = true
		}
		if !l.OK {
			r.Reruns++
			r.Work += r.p.Stages[l.Stage].Work
			m.tell(r, s.Rule-1, "%s runs again as generation %d, %v of work", r.p.Stages[l.Stage].Name, l.Gen, r.p.Stages[l.Stage].Work)
		}
	case "made":
		if !s.Wants || l.Gen <= s.Over || !covers(l.Of, s.Of) {
			return
		}
		s.Wants, s.Have, s.At, s.Made, s.Result = false, l.Gen, l.At, l.Made, l.Text
		s.Runs++
		m.verdict(r, s, true, false)
		if s.Doubt != nil {
			m.send(Letter{Kind: "opinion", To: "c/" + s.Doubt.Worker, Key: s.Doubt.Key, Gen: s.Doubt.Gen, OK: false})
			s.Doubt = nil
		}
		s.Own, s.Rule = false, 0
		m.advance(r)
	case "newer": // by somebody else's rerun, whose policy may count stages otherwise
		for i := range r.Stages {
			if r.Key(i) == l.Key {
				l.Stage = i
				m.others(r, l)
			}
		}
	case "fell":
		if !s.Wants || l.Gen <= s.Over {
			return
		}
		s.Wants = false
		s.Runs++
		m.failed(r, l)
	case "go":
		if n := s.Next; n != nil && n.Phase == "trial" {
			n.Sites = l.Sites
			m.rerun(r, l.Stage)
		}
	case "no":
		if n := s.Next; n != nil && n.Phase == "trial" {
			n.Phase = ""
			m.give(r, l.Stage, n, "reruns for this stage, cause and place were tried and came to nothing")
		}
	case "believed":
		if n := s.Next; n != nil && n.Phase == "claim" {
			m.verdict(r, s, false, !l.OK)
			if !l.OK {
				n.Second, n.Target, n.Bad, n.Failed = true, l.Stage, s.Over, l.At
				m.tell(r, n.Rule, "%s: %s; another worker is asked first", l.Text, r.p.Stages[l.Stage].Name)
			}
			m.wait(r, l.Stage)
		}
	}
}

// covers tells whether an output is made of inputs of at least these generations.
func covers(of, wanted []int64) bool {
	if len(of) != len(wanted) {
		return false
	}
	for i := range of {
		if of[i] < wanted[i] {
			return false
		}
	}
	return true
}

// others takes that an output which a run uses was made anew for another run. Its stages go stale by that so often as
// the pipeline says, and never one that must not run twice; past it the old output is kept.
func (m *Machine) others(r *Run, l *Letter) {
	s := r.Stages[l.Stage]
	if l.Gen <= s.Have || s.Have == 0 || s.Wants || s.Next != nil || r.Others >= r.p.Others {
		return
	}
	for _, b := range r.p.Stages[l.Stage].Below {
		if r.p.Stages[b].Once && r.Stages[b].Ran {
			return
		}
	}
	r.Others++
	s.Have, s.At, s.Made = l.Gen, l.At, l.Made
	m.tell(r, -1, "another run had %s made anew: generation %d is used", r.p.Stages[l.Stage].Name, l.Gen)
	m.stale(r, r.p.Stages[l.Stage].Below, 0)
	m.advance(r)
}

// stale has stages be made anew.
func (m *Machine) stale(r *Run, stages []int, rule int) {
	for _, i := range stages {
		s := r.Stages[i]
		if s.Have > s.Over {
			m.tell(r, rule-1, "generation %d of %s is stale", s.Have, r.p.Stages[i].Name)
		}
		if s.Wants { // what has not started yet does not
			m.send(Letter{Kind: "leave", To: r.Key(i), From: r.ID})
		}
		s.Over, s.Wants = max(s.Over, s.Have), false
		if s.Have > 0 || rule > 0 {
			s.Rule = rule
		}
	}
}

// facts is what a rule's condition may ask for.
func (m *Machine) facts(r *Run, l *Letter) policy.Facts {
	f := policy.Facts{
		Kind: l.Cause, Ran: l.Ran, At: l.At, Tenant: r.Tenant, Runs: r.Stages[l.Stage].Runs, Reruns: int64(r.Reruns), RunAge: m.s.At - r.Began, Left: max(0, r.Until-m.s.At),
	}
	if i := r.p.Stage(l.Input); i >= 0 && l.Cause.NamesInput() {
		f.Input, f.Generation, f.Age = l.Input, r.Stages[i].Have, max(0, m.s.At-r.Stages[i].Made)
	}
	return f
}

// failed has a run decide on what is done since a run of a stage came to nothing.
func (m *Machine) failed(r *Run, l *Letter) {
	i, s, stage := l.Stage, r.Stages[l.Stage], r.p.Stages[l.Stage]
	s.Over = max(s.Over, l.Gen)
	input := r.p.Stage(l.Input)
	// That another input is bad, or that a second opinion is the same, tells nothing of what was tried.
	blamed := s.Tried == nil || s.Doubt == nil && (!l.Cause.NamesInput() || !slices.Contains(stage.Needs, input) || strings.HasSuffix(s.Tried.Key, "/"+stage.Name) || r.Key(input) == s.Tried.Key)
	if !blamed || l.Cause != policy.BadInput || l.At.Worker == "" { // else once it is known whether its worker is believed
		m.verdict(r, s, false, !blamed)
	}
	if l.Cause.NamesInput() && !slices.Contains(stage.Needs, input) { // what is no input of it cannot be its cause
		l.Cause, l.Input, l.Text = policy.RanFailed, "", "it names an input that it does not have"
	}
	text := fmt.Sprintf("%s: %s", stage.Name, l.Cause)
	if l.Input != "" {
		text += " " + l.Input
	}
	if l.At.Worker != "" {
		text += " at " + l.At.Worker
	}
	m.tell(r, -1, "%s", text)
	if stage.Once {
		if l.Cause.Ran() && !m.faulty.Unsafe {
			m.finish(r, Answer{Kind: Person, Stage: stage.Name, Cause: l.Cause, Reason: fmt.Sprintf("%s; it must not run twice", cmp.Or(l.Text, text))})
			return
		}
		s.Ran = false // that is certain
	}
	if d := s.Doubt; d != nil { // a second opinion
		if s.Doubt = nil; l.Cause == policy.BadInput && r.Key(input) == d.Key {
			m.send(Letter{Kind: "opinion", To: "c/" + d.Worker, Key: d.Key, Gen: d.Gen, OK: true})
		}
	}
	f := m.facts(r, l)
	for k, rule := range r.p.Rules {
		if rule.On != i {
			continue
		}
		if holds, err := rule.When.Holds(f); err != nil {
			m.tell(r, k, "the condition could not be reckoned: %v", err)
		} else if holds {
			m.use(r, k, input, l)
			return
		}
	}
	m.finish(r, Answer{Kind: Dead, Stage: stage.Name, Cause: l.Cause, Reason: text + ", and no rule is about that"})
}

// use has a rule be used.
func (m *Machine) use(r *Run, k, input int, l *Letter) {
	s, rule, stage := r.Stages[l.Stage], r.p.Rules[k], r.p.Stages[l.Stage]
	n := &Next{Rule: k, Target: rule.Target, Bad: l.Gen, Cause: l.Cause, Failed: l.At}
	switch rule.Target {
	case policy.Self:
		n.Target = l.Stage
	case policy.Input:
		n.Target = input
	}
	if n.Target != l.Stage {
		n.Bad, n.Failed = r.Stages[n.Target].Have, r.Stages[n.Target].At
	}
	n.Print = fmt.Sprintf("f/%s/%s/%s/%s.%s", r.Pipeline, r.p.Stages[n.Target].Name, l.Cause, n.Failed.Zone, n.Failed.Site)
	if r.Uses[k] >= rule.Most {
		m.give(r, l.Stage, n, fmt.Sprintf("%s, and the rule of line %d was used %d times", l.Cause, rule.Line, rule.Most))
		return
	}
	if n.Target != l.Stage && !rule.Keep && !m.faulty.Unsafe {
		for _, a := range r.p.Affected(rule, n.Target) {
			if r.p.Stages[a].Once && r.Stages[a].Ran {
				m.finish(r, Answer{Kind: Person, Stage: r.p.Stages[a].Name, Cause: l.Cause,
					Reason: fmt.Sprintf("%s says that %s is spoilt, and %s, which must not run twice, has used it", r.p.Stages[l.Stage].Name, r.p.Stages[n.Target].Name, r.p.Stages[a].Name)})
				return
			}
		}
	}
	r.Uses[k]++
	s.Next = n
	if l.Cause == policy.BadInput && l.At.Worker != "" {
		n.Phase, n.Claim = "claim", &Claim{l.At.Worker, r.Key(input), r.Stages[input].Have}
		m.send(Letter{Kind: "claim", To: "c/" + l.At.Worker, From: r.ID, Stage: l.Stage, Key: n.Claim.Key, Gen: n.Claim.Gen, At: l.At, Text: stage.Name})
		return
	}
	m.wait(r, l.Stage)
}

// wait has a rerun wait its rule's time, spread by the run's name.
func (m *Machine) wait(r *Run, i int) {
	n := r.Stages[i].Next
	rule := r.p.Rules[n.Rule]
	after := min(rule.To, rule.From<<min(r.Uses[n.Rule]-1, 16))
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", r.ID, i, r.Uses[n.Rule])
	after = after/2 + time.Duration(mix(h.Sum64())%uint64(after/2+1))
	n.Phase, n.At = "wait", m.s.At+after
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
	n.Phase = "trial"
	m.send(Letter{Kind: "try", To: n.Print, From: r.ID, Stage: i, Key: r.Key(n.Target)})
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
