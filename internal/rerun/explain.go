package rerun

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Explained is the description of a run for operators.
type Explained struct {
	Run      string            `json:"run"`
	Pipeline string            `json:"pipeline"`
	Policy   string            `json:"policy"`
	Tenant   string            `json:"tenant,omitempty"`
	Began    time.Duration     `json:"began"`
	Answer   *Answer           `json:"answer,omitempty"`
	WaitsFor []string          `json:"waits_for,omitempty"`
	Reruns   int               `json:"reruns"`
	Work     time.Duration     `json:"rerun_work"`
	History  []HistoryLine     `json:"story"`
	Stages   map[string]string `json:"stages"`
}

// waitingFor returns the first waiting stage of a run, and what each stage waits for.
func (m *Machine) waitingFor(r *Run) (stage string, all []string) {
	for i, s := range r.Stages {
		name := r.pipeline.Stages[i].Name
		switch n := s.Pending; {
		case n != nil && n.Phase == BackingOff:
			all = append(all, fmt.Sprintf("%s: %v until %s is run again", name, max(0, n.ResumeAt-m.state.At).Round(time.Millisecond), r.pipeline.Stages[n.Target].Name))
		case n != nil && n.Phase == AwaitingTrial:
			all = append(all, fmt.Sprintf("%s: the verdict of a rerun that went first, of %s", name, strings.TrimPrefix(n.Fingerprint, "f/")))
		case n != nil && n.Phase == CheckingInput:
			all = append(all, name+": whether others were content with its input")
		case n != nil && n.Phase == AwaitingSites:
			all = append(all, name+": which sites spoil what it makes")
		case n != nil:
			all = append(all, fmt.Sprintf("%s: whether its worker is believed", name))
		case s.Requested:
			text := "its output"
			if o := m.state.Outputs[r.OutputKey(i)]; o != nil && o.Execution != nil {
				switch o.Execution.Phase {
				case AwaitingBudget:
					text = "a budget: " + strings.Join(o.Execution.Charge, ", ")
				case Queued:
					text = "its turn"
				case Started:
					text = fmt.Sprintf("generation %d, which %s has had run for %v", o.Execution.Gen, o.Execution.Dispatcher, (m.state.At - o.Execution.Began).Round(time.Millisecond))
				}
			}
			all = append(all, name+": "+text)
		default:
			continue
		}
		stage = cmp.Or(stage, name)
	}
	return stage, all
}

// Explain describes a run: each rerun, the policy version and line that caused it, what it made stale, its cost, and
// what the run waits for; false if there is no such run.
func (m *Machine) Explain(id string) (e Explained, ok bool) {
	r := m.state.Runs[id]
	if r == nil {
		return e, false
	}
	e = Explained{
		Run: id, Pipeline: r.Pipeline, Policy: r.Policy, Tenant: r.Tenant, Began: r.Began, Answer: r.Answer, Reruns: r.Reruns, Work: r.Work,
		History: slices.Clone(r.History), Stages: map[string]string{},
	}
	if r.Answer == nil {
		_, e.WaitsFor = m.waitingFor(r)
	}
	for i, s := range r.Stages {
		text := "not made"
		if s.UsedGen > s.StaleUpTo {
			text = fmt.Sprintf("generation %d", s.UsedGen)
		} else if s.UsedGen > 0 {
			text = fmt.Sprintf("generation %d, stale", s.UsedGen)
		}
		if s.Place.Worker != "" {
			text += " at " + s.Place.Worker
		}
		e.Stages[r.pipeline.Stages[i].Name] = text
	}
	return e, true
}
