package rerun

import (
	"encoding/json"
	"fmt"

	"caperrelay/internal/rerun/policy"
)

// Snapshot encodes the state.
func (m *Machine) Snapshot() ([]byte, error) { return json.Marshal(m.state) }

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(text []byte) error {
	next := New(m.config)
	next.faults = m.faults
	if err := json.Unmarshal(text, &next.state); err != nil {
		return fmt.Errorf("reruns: %w", err)
	}
	if next.state.V != Version {
		return fmt.Errorf("reruns: snapshot has version %d, want %d", next.state.V, Version)
	}
	for version, t := range next.state.Policies {
		p, err := policy.Parse("policy", []byte(t.Text), t.Site)
		if err != nil {
			return fmt.Errorf("reruns: policy version %s: %w", version, err)
		}
		next.policies[version] = p
	}
	for id, r := range next.state.Runs {
		pol := next.policies[r.Policy]
		if pol == nil || pol.Pipelines[r.Pipeline] == nil || len(pol.Pipelines[r.Pipeline].Stages) != len(r.Stages) {
			if r.Answer == nil {
				return fmt.Errorf("reruns: run %s has policy version %s, which is missing", id, r.Policy)
			}
			delete(next.state.Runs, id)
			continue
		}
		r.pipeline = pol.Pipelines[r.Pipeline]
		if r.Answer == nil {
			next.unfinished++
		}
		next.setTimer(r.Deadline, "run", id)
		if r.Answer != nil {
			next.setTimer(r.Answer.At+endedRetention, "ended", id)
		}
		for i, s := range r.Stages {
			if s.Pending != nil && s.Pending.Phase == BackingOff {
				next.setTimer(s.Pending.ResumeAt, "wait", trialID(r, i))
			}
		}
	}
	for key, o := range next.state.Outputs {
		if o.Requests == nil {
			o.Requests = map[string]*OutputRequest{}
		}
		if o.Users == nil {
			o.Users = map[string]int64{}
		}
		if o.Execution != nil {
			next.executions[key] = o
		}
		if o.Execution != nil && o.Execution.Phase == Started {
			next.setTimer(o.Execution.lateAt(), "turn", key)
		}
		if o.ForgetAt > 0 {
			next.setTimer(o.ForgetAt, "idle", key)
		}
	}
	for key := range next.state.SiteFailures {
		next.setTimer(next.state.At+1, "often", key)
	}
	for key, f := range next.state.Fingerprints {
		next.setTimer(max(f.ForgetAt, f.NotBefore), "print", key)
		next.setTimer(f.NotBefore, "print", key)
	}
	for key, c := range next.state.Claimants {
		next.setTimer(max(c.Since+claimRetention, c.DistrustedUntil), "claimant", key)
	}
	*m = *next
	return nil
}
