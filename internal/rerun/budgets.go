package rerun

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// account is a group's part of a budget.
func (m *Machine) accountOf(name string, spare time.Duration) *Account {
	a := m.s.Accounts[name]
	if a == nil {
		a = &Account{}
		m.s.Accounts[name] = a
	}
	a.Spare = max(a.Spare, spare.Microseconds())
	return a
}

// payTurn has a turn go on once its budgets allow it: a first run adds to them, a rerun takes from all or none.
func (m *Machine) payTurn(o *Output) {
	t := o.Turn
	if t.First {
		for _, s := range t.Accrue {
			if o.Accrued { // by a turn that never started
				break
			}
			a := m.accountOf(s.Account, t.Spare)
			n := int64(s.Of * float64(t.Work.Microseconds()))
			a.Balance += n
			a.Accrued += n
		}
		t.Phase, o.Accrued, m.richer = Queued, true, true
		return
	}
	need := t.Work.Microseconds()
	short := false
	for _, name := range t.Charge {
		a := m.accountOf(name, t.Spare)
		if a.Balance < need {
			short = true
			if more := need - a.Balance; a.Asked == 0 {
				a.Asked = more
				m.send(Letter{Kind: "ask", To: "b/" + name, Group: m.c.Group, Amount: more, Spare: a.Spare})
			}
		}
	}
	if short {
		return
	}
	for _, name := range t.Charge {
		a := m.s.Accounts[name]
		a.Balance -= need
		a.Spent += need
	}
	t.Phase = Queued
}

// pay looks at all turns that wait for their budgets, the oldest first.
func (m *Machine) pay() {
	for _, o := range m.such(func(t *Turn) bool { return t.Phase == Paying }) {
		m.payTurn(o)
	}
}

// such is the outputs whose turns are such, in the order in which those came up.
func (m *Machine) such(such func(*Turn) bool) (all []*Output) {
	for _, o := range m.turns {
		if such(o.Turn) {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b *Output) int { return cmp.Compare(a.Turn.Order, b.Turn.Order) })
	return all
}

// pool has the root's part of a budget take a letter. Groups are granted whole amounts, in their order: what is granted
// and what is here are never more than was given to it.
func (m *Machine) pool(l *Letter) {
	p := m.s.Pools[l.To]
	if p == nil {
		if len(m.s.Pools) >= mostKept {
			return
		}
		p = &Pool{Balance: l.Spare, Spare: l.Spare}
		m.s.Pools[l.To] = p
	}
	if l.Kind == "give" {
		p.Balance += l.Amount
	} else {
		p.Asking = append(p.Asking, asking{l.Group, l.Amount})
	}
	for len(p.Asking) > 0 && p.Balance >= p.Asking[0].Amount {
		a := p.Asking[0]
		p.Asking = p.Asking[1:]
		p.Balance -= a.Amount
		m.post(a.Group, Letter{Kind: "grant", To: strings.TrimPrefix(l.To, "b/"), Amount: a.Amount})
	}
}

// giveBack has a group give the root what it has over of budgets that none of its turns waits for.
func (m *Machine) giveBack() {
	waits := map[string]bool{}
	for _, o := range m.such(func(t *Turn) bool { return t.Phase == Paying }) {
		for _, name := range o.Turn.Charge {
			waits[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.s.Accounts)) {
		if a := m.s.Accounts[name]; !waits[name] && a.Asked == 0 && a.Balance >= giveFrom.Microseconds() {
			m.send(Letter{Kind: "give", To: "b/" + name, Amount: a.Balance, Spare: a.Spare})
			a.Balance = 0
		}
	}
}
