package program

import "errors"

// What operators ask for: the program is the desk of their peer. Nothing here waits for the
// decision loop.

// Health is nil once the program can serve.
func (p *Program) Health() error {
	switch p.Phase() {
	case Serving, Quiescing, Quiesced:
		return nil
	}
	return errors.New(p.Phase().String())
}

// Figures lists what operators go by.
func (p *Program) Figures() string {
	all := p.loop.Counters.OperatorCounters()
	p.each(func(t Part) { all += t.Figures() })
	return all
}

// counters is all of them, for the clients' address.
func (p *Program) counters() string {
	all := p.loop.Counters.String()
	p.each(func(t Part) { all += t.Figures() })
	return all
}

// Quiesce sends service clients away. What is held is answered, and call-backs are taken.
func (p *Program) Quiesce() error {
	if p.enter(Quiescing, Serving) || p.Phase() == Quiescing || p.Phase() == Quiesced {
		return nil
	}
	return errors.New(p.Phase().String())
}

// Resume takes service clients again.
func (p *Program) Resume() error {
	if p.enter(Serving, Quiescing, Quiesced) || p.Phase() == Serving {
		return nil
	}
	return errors.New(p.Phase().String())
}

// Show is what a part tells under a name; empty: none does.
func (p *Program) Show(what string) (text string) {
	p.each(func(t Part) {
		if s, ok := t.(interface{ Show(string) string }); ok && text == "" {
			text = s.Show(what)
		}
	})
	return text
}
