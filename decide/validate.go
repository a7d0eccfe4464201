package decide

import (
	"errors"
	"fmt"
	"math"
)

// check returns an error for invalid settings.
func (s Settings) check() error {
	if len(s.Classes) == 0 || s.DispatcherCount < 1 || s.Limits.MaxAttempts < 1 {
		return errors.New("settings need at least one class, one dispatcher and one attempt")
	}
	if s.TimingClass < 0 || s.TimingClass >= len(s.Classes) || s.Classes[s.TimingClass].Removed {
		return fmt.Errorf("TimingClass %d is not the index of a class in use (%d classes)", s.TimingClass, len(s.Classes))
	}
	if len(s.Policies) != len(s.Classes) {
		return fmt.Errorf("%d policies for %d classes", len(s.Policies), len(s.Classes))
	}
	for i, p := range s.Policies {
		if err := p.check(); err != nil {
			return fmt.Errorf("policy of class %d: %w", i, err)
		}
	}
	if l := s.Leasing; l.Enabled && (!(l.Share > 0 && l.Share <= 1) || l.Turn >= max(1, l.Turns)) {
		return fmt.Errorf("leasing: Turn %d must be below Turns %d, and Share %v above 0 and at most 1", l.Turn, l.Turns, l.Share)
	}
	if s.Rules.Budget != nil {
		if err := s.Rules.Budget.check(); err != nil {
			return err
		}
	}
	return s.Goal.check()
}

// check returns an error for an invalid policy.
func (p Policy) check() error {
	if p.Followup != Fail && p.Followup != Default {
		return fmt.Errorf("unknown followup %q", p.Followup)
	}
	for i, b := range p.Blocks {
		if len(b.Workers) == 0 {
			return fmt.Errorf("block %d is empty", i)
		}
		if b.Strategy != Random && b.Strategy != BestFirst && b.Strategy != Platform {
			return fmt.Errorf("block %d: unknown strategy %q", i, b.Strategy)
		}
		t, ok := b.Invalidate.Threshold, false
		switch b.Invalidate.Rule {
		case CapacityUsed:
			ok = t > 0 && t <= 100
		case MaxConcurrentInvocations:
			ok = t >= 1
		case Overload:
			ok = true
		default:
			return fmt.Errorf("block %d: unknown invalidate rule %q", i, b.Invalidate.Rule)
		}
		if !ok {
			return fmt.Errorf("block %d: threshold %v is out of range for %s", i, t, b.Invalidate.Rule)
		}
	}
	return nil
}

// check returns an error for an invalid budget.
func (b *AttemptBudget) check() error {
	for _, v := range []float64{b.Spare, b.PerRequest} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return fmt.Errorf("attempt budget: %v must be a finite number, at least 0", v)
		}
	}
	if b.Window <= 0 {
		return fmt.Errorf("attempt budget: window %v must be positive", b.Window)
	}
	return nil
}

// check returns an error where the punctual part cannot be computed.
func (g Goal) check() error {
	if !(g.Punctual >= 0 && g.Punctual <= 1) || !(g.MissAllowed >= 0 && g.MissAllowed <= 1) {
		return fmt.Errorf("goal: Punctual %v and MissAllowed %v must be between 0 and 1", g.Punctual, g.MissAllowed)
	}
	if g.Punctual > 0 && g.MissAllowed == 0 {
		return errors.New("goal: Punctual has a weight but no MissAllowed")
	}
	return nil
}
