package program

import "errors"

// The operators' commands, in addition to Cordon and Uncordon. Nothing here waits for the decision loop.

// Health returns nil once the program can serve.
func (p *Program) Health() error {
	switch p.Phase() {
	case Serving, Quiescing, Quiesced:
		return nil
	}
	return errors.New(p.Phase().String())
}

// Figures returns the counters shown to operators, one per line.
func (p *Program) Figures() string {
	all := p.loop.Counters.OperatorCounters()
	p.eachPart(func(t Part) { all += t.Figures() })
	return all
}

// counters returns all counters, for the counters path of the clients' listener.
func (p *Program) counters() string {
	all := p.loop.Counters.String()
	p.eachPart(func(t Part) { all += t.Figures() })
	return all
}

// Quiesce makes health checks fail and responses close connections. Pending commands are answered, and callbacks are still accepted.
func (p *Program) Quiesce() error {
	if p.enter(Quiescing, Serving) || p.Phase() == Quiescing || p.Phase() == Quiesced {
		return nil
	}
	return errors.New(p.Phase().String())
}

// Resume accepts clients again.
func (p *Program) Resume() error {
	if p.enter(Serving, Quiescing, Quiesced) || p.Phase() == Serving {
		return nil
	}
	return errors.New(p.Phase().String())
}

// Show returns the text that a part has under a name; empty: none has one.
func (p *Program) Show(name string) (text string) {
	p.eachPart(func(t Part) {
		if s, ok := t.(interface{ Show(string) string }); ok && text == "" {
			text = s.Show(name)
		}
	})
	return text
}
