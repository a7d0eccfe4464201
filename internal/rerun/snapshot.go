package rerun

import (
	"encoding/json"
	"fmt"

	"caperrelay/internal/rerun/policy"
)

// Snapshot is the state as a text.
func (m *Machine) Snapshot() ([]byte, error) { return json.Marshal(m.s) }

// Restore takes the state of a snapshot.
func (m *Machine) Restore(text []byte) error {
	next := New(m.c)
	next.faulty = m.faulty
	if err := json.Unmarshal(text, &next.s); err != nil {
		return fmt.Errorf("reruns: %w", err)
	}
	if next.s.V != Version {
		return fmt.Errorf("reruns: a snapshot of version %d, not %d", next.s.V, Version)
	}
	for version, t := range next.s.Policies {
		p, err := policy.Parse("policy", []byte(t.Text), t.Site)
		if err != nil {
			return fmt.Errorf("reruns: version %s: %w", version, err)
		}
		next.loaded[version] = p
	}
	for id, r := range next.s.Runs {
		pol := next.loaded[r.Policy]
		if pol == nil || pol.Pipelines[r.Pipeline] == nil || len(pol.Pipelines[r.Pipeline].Stages) != len(r.Stages) {
			if r.Answer == nil {
				return fmt.Errorf("reruns: run %s is of version %s, which is not there", id, r.Policy)
			}
			delete(next.s.Runs, id)
			continue
		}
		r.p = pol.Pipelines[r.Pipeline]
		if r.Answer == nil {
			next.open++
		}
		next.wake(r.Until, "run", id)
		if r.Answer != nil {
			next.wake(r.Answer.At+keepEnded, "ended", id)
		}
		for i, s := range r.Stages {
			if s.Next != nil && s.Next.Phase == Pausing {
				next.wake(s.Next.At, "wait", trialOf(r, i))
			}
		}
	}
	for key, o := range next.s.Outputs {
		if o.Wants == nil {
			o.Wants = map[string]*Want{}
		}
		if o.Users == nil {
			o.Users = map[string]int64{}
		}
		if o.Turn != nil {
			next.turns[key] = o
		}
		if o.Turn != nil && o.Turn.Phase == Started {
			next.wake(o.Turn.over(), "turn", key)
		}
		if o.Idle > 0 {
			next.wake(o.Idle, "idle", key)
		}
	}
	for key := range next.s.Often {
		next.wake(next.s.At+1, "often", key)
	}
	for key, p := range next.s.Prints {
		next.wake(max(p.Idle, p.Not), "print", key)
		next.wake(p.Not, "print", key)
	}
	for key, c := range next.s.Claimants {
		next.wake(max(c.Since+claimFor, c.Until), "claimant", key)
	}
	*m = *next
	return nil
}
