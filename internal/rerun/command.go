package rerun

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"caperrelay/internal/rerun/policy"
)

// Op is the operation of a command.
type Op string

// Operations of commands.
const (
	OpPolicy         Op = "policy" // sets the policy for runs that begin from now on
	OpSubmit         Op = "submit"
	OpStart          Op = "start" // a dispatcher is about to start an execution, exclusively
	OpCheckExecution Op = "turn"  // read only: whether an execution has started and not ended
	OpEnd            Op = "end"   // of an execution
	OpMessages       Op = "letters"
	OpConfirmed      Op = "sent" // messages are confirmed
	OpCallOff        Op = "call_off"
	OpCapacities     Op = "room"      // concurrent reruns that places can take
	OpTick           Op = "tick"      // time has passed
	OpRead           Op = "look"      // linearizable read of a run
	OpTakeOver       Op = "take_over" // ends the executions of a dispatcher that is gone, with unknown outcome
)

// Command is an entry of the replicated log.
type Command struct {
	V          int               `json:"v"`
	Op         Op                `json:"op"`
	ID         string            `json:"id,omitempty"`
	Pipeline   string            `json:"pipeline,omitempty"`
	Tenant     string            `json:"tenant,omitempty"`
	Params     map[string]string `json:"params,omitempty"`
	Text       string            `json:"text,omitempty"`
	Site       *policy.Site      `json:"site,omitempty"`
	Key        string            `json:"key,omitempty"`
	Gen        int64             `json:"gen,omitempty"`
	Dispatcher string            `json:"by,omitempty"`
	OK         bool              `json:"ok,omitempty"`
	Cause      policy.Cause      `json:"cause,omitempty"`
	Input      string            `json:"input,omitempty"`
	Place      *policy.Place     `json:"place,omitempty"`
	RunTime    time.Duration     `json:"ran,omitempty"`
	Group      uint32            `json:"group,omitempty"`
	Messages   []Message         `json:"letters,omitempty"`
	Seq        uint64            `json:"seq,omitempty"`
	Capacities map[string]int    `json:"rooms,omitempty"` // by zone.site
}

// Encode encodes the command for a proposal.
func (c Command) Encode() []byte {
	c.V = Version
	text, _ := json.Marshal(c) // cannot fail: plain data
	return text
}

// Result is the result of a command.
type Result struct {
	OK     bool    `json:"ok"`
	Why    string  `json:"why,omitempty"`
	Seq    uint64  `json:"seq,omitempty"` // last message applied
	Answer *Answer `json:"answer,omitempty"`
	// Explained is set by OpRead.
	Explained *Explained `json:"explained,omitempty"`
}

// DecodeResult decodes the result returned by Apply.
func DecodeResult(text []byte) (r Result, err error) {
	err = json.Unmarshal(text, &r)
	return r, err
}

// Apply applies a committed command. at is Unix time and never decreases.
func (m *Machine) Apply(_ uint64, at time.Duration, cmd []byte) []byte {
	m.state.At = max(m.state.At, at)
	var c Command
	r := Result{Why: "it cannot be read"}
	if err := json.Unmarshal(cmd, &c); err == nil && c.V != Version {
		r.Why = fmt.Sprintf("version %d is not spoken here, %d is", c.V, Version)
	} else if err == nil {
		m.fireTimers()
		r = m.step(&c)
		m.deliverLocal()
	}
	text, _ := json.Marshal(r)
	return text
}

func refuse(format string, args ...any) Result { return Result{Why: fmt.Sprintf(format, args...)} }

func (m *Machine) step(c *Command) Result {
	switch c.Op {
	case OpPolicy:
		return m.setPolicy(c)
	case OpSubmit:
		return m.submit(c)
	case OpStart:
		return m.start(c)
	case OpCheckExecution:
		if o := m.state.Outputs[c.Key]; o == nil || o.Execution == nil || o.Execution.Gen != c.Gen || o.Execution.Phase != Started {
			return refuse("no such turn runs")
		}
		return Result{OK: true}
	case OpEnd:
		return m.end(c)
	case OpMessages:
		for _, msg := range c.Messages {
			if msg.Seq == m.state.LastReceived[c.Group]+1 || m.faults.GrantTwice && msg.Kind == "grant" {
				m.state.LastReceived[c.Group] = max(msg.Seq, m.state.LastReceived[c.Group])
				m.localMessages = append(m.localMessages, msg)
			}
		}
		return Result{OK: true, Seq: m.state.LastReceived[c.Group]}
	case OpConfirmed:
		m.state.Outbox[c.Group] = slices.DeleteFunc(m.state.Outbox[c.Group], func(msg Message) bool { return msg.Seq <= c.Seq })
		return Result{OK: true}
	case OpCallOff:
		if r := m.state.Runs[c.ID]; r != nil && r.Answer == nil {
			m.finish(r, Answer{Kind: CalledOff, Reason: "called off"})
		} else if r == nil {
			return refuse("no run %q", c.ID)
		}
		return Result{OK: true}
	case OpCapacities:
		for place, room := range c.Capacities {
			if len(m.state.Capacities) < maxTracked && len(place) <= maxParamBytes {
				m.state.Capacities[place] = max(1, room)
			}
		}
		return Result{OK: true}
	case OpTick:
		return Result{OK: true}
	case OpRead:
		e, ok := m.Explain(c.ID)
		if !ok {
			return refuse("no run %q", c.ID)
		}
		return Result{OK: true, Answer: e.Answer, Explained: &e}
	case OpTakeOver:
		for _, t := range m.Running(c.Dispatcher) {
			m.end(&Command{Key: t.Key, Gen: t.Gen, Cause: policy.MayHaveRun})
		}
		return Result{OK: true}
	}
	return refuse("no such command")
}

func (m *Machine) setPolicy(c *Command) Result {
	if c.Site == nil {
		return refuse("without a site")
	}
	p, err := policy.Parse("policy", []byte(c.Text), *c.Site)
	if err != nil {
		return refuse("%v", err)
	}
	if before, known := m.state.Policies[p.Version]; known {
		if before.Text != c.Text {
			return refuse("version %q is another text: give it another version", p.Version)
		}
	} else {
		m.state.Policies[p.Version], m.policies[p.Version] = storedPolicy{c.Text, *c.Site}, p
		m.state.Versions = append(m.state.Versions, p.Version)
	}
	m.state.CurrentVersion = p.Version
	used := map[string]bool{p.Version: true}
	for _, r := range m.state.Runs {
		used[r.Policy] = true
	}
	for len(m.state.Versions) > maxPolicies {
		i := slices.IndexFunc(m.state.Versions, func(v string) bool { return !used[v] })
		if i < 0 {
			break
		}
		delete(m.state.Policies, m.state.Versions[i])
		delete(m.policies, m.state.Versions[i])
		m.state.Versions = slices.Delete(m.state.Versions, i, i+1)
	}
	return Result{OK: true}
}

func (m *Machine) submit(c *Command) Result {
	if r := m.state.Runs[c.ID]; r != nil { // a repeated request: the client may have missed the reply
		if r.Pipeline != c.Pipeline || r.Tenant != c.Tenant || !maps.Equal(r.Params, c.Params) {
			return refuse("run %q is another", c.ID)
		}
		return Result{OK: true, Answer: r.Answer}
	}
	pol := m.policies[m.state.CurrentVersion]
	switch {
	case c.ID == "" || len(c.ID) > 96 || strings.ContainsAny(c.ID, "/ ~?#%"):
		return refuse("a run's id has 1 to 96 bytes, without / ? # %% ~ and spaces")
	case pol == nil:
		return refuse("there is no policy yet")
	case pol.Pipelines[c.Pipeline] == nil:
		return refuse("version %q has no pipeline %q", pol.Version, c.Pipeline)
	case len(m.state.Runs) >= maxRuns || len(m.state.Outputs) >= maxOutputs:
		return refuse("the group holds %d runs and %d outputs: it is full", len(m.state.Runs), len(m.state.Outputs))
	case len(c.Tenant) > maxParamBytes || len(c.Params) > maxParams:
		return refuse("too many parameters, or too long")
	}
	for k, v := range c.Params {
		if len(k) > maxParamBytes || len(v) > maxParamBytes {
			return refuse("too many parameters, or too long")
		}
	}
	p := pol.Pipelines[c.Pipeline]
	for _, s := range p.Stages {
		if s.Shared != "" && (c.Params[s.Shared] == "" || strings.ContainsAny(c.Params[s.Shared], "/ ")) {
			return refuse("stage %q is shared by the parameter %q, which must be given, without / and spaces", s.Name, s.Shared)
		}
	}
	r := &Run{
		ID: c.ID, Pipeline: c.Pipeline, Policy: pol.Version, Tenant: c.Tenant, Params: c.Params,
		Began: m.state.At, Deadline: m.state.At + p.Within, RuleUses: make([]int, len(p.Rules)), pipeline: p,
	}
	for range p.Stages {
		r.Stages = append(r.Stages, &Stage{})
	}
	m.state.Runs[c.ID] = r
	m.unfinished++
	m.setTimer(r.Deadline, "run", r.ID)
	m.advance(r)
	return Result{OK: true}
}
