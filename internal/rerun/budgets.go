package rerun

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// budgetAccount returns the group's account of a budget, created if needed.
func (m *Machine) budgetAccount(name string, spare time.Duration) *Account {
	a := m.state.Accounts[name]
	if a == nil {
		a = &Account{}
		m.state.Accounts[name] = a
	}
	a.Spare = max(a.Spare, spare.Microseconds())
	return a
}

// chargeBudgets queues an execution once its budgets allow: a first run adds to them, a rerun is charged to all or none.
func (m *Machine) chargeBudgets(o *Output) {
	t := o.Execution
	if t.First {
		for _, s := range t.Accrue {
			if o.Accrued { // by an execution that never started
				break
			}
			a := m.budgetAccount(s.Account, t.Spare)
			n := int64(s.Fraction * float64(t.Work.Microseconds()))
			a.Balance += n
			a.Accrued += n
		}
		t.Phase, o.Accrued, m.budgetsGrew = Queued, true, true
		return
	}
	need := t.Work.Microseconds()
	short := false
	for _, name := range t.Charge {
		a := m.budgetAccount(name, t.Spare)
		if a.Balance < need {
			short = true
			if more := need - a.Balance; a.Requested == 0 {
				a.Requested = more
				m.send(Message{Kind: "ask", To: "b/" + name, Group: m.config.Group, Amount: more, Spare: a.Spare})
			}
		}
	}
	if short {
		return
	}
	for _, name := range t.Charge {
		a := m.state.Accounts[name]
		a.Balance -= need
		a.Spent += need
	}
	t.Phase = Queued
}

// chargeWaiting retries all executions that wait for their budgets, oldest first.
func (m *Machine) chargeWaiting() {
	for _, o := range m.executionsWhere(func(t *Turn) bool { return t.Phase == AwaitingBudget }) {
		m.chargeBudgets(o)
	}
}

// executionsWhere returns the outputs whose executions satisfy a predicate, in the order in which the executions began.
func (m *Machine) executionsWhere(such func(*Turn) bool) (all []*Output) {
	for _, o := range m.executions {
		if such(o.Execution) {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b *Output) int { return cmp.Compare(a.Execution.Order, b.Execution.Order) })
	return all
}

// handlePool applies a message to the root's part of a budget. Groups are granted whole amounts in the order of their
// requests: amounts granted plus the balance never exceed what the pool received.
func (m *Machine) handlePool(l *Message) {
	p := m.state.Pools[l.To]
	if p == nil {
		if len(m.state.Pools) >= maxTracked {
			return
		}
		p = &Pool{Balance: l.Spare, Spare: l.Spare}
		m.state.Pools[l.To] = p
	}
	if l.Kind == "give" {
		p.Balance += l.Amount
	} else {
		p.Requests = append(p.Requests, poolRequest{l.Group, l.Amount})
	}
	for len(p.Requests) > 0 && p.Balance >= p.Requests[0].Amount {
		a := p.Requests[0]
		p.Requests = p.Requests[1:]
		p.Balance -= a.Amount
		m.sendTo(a.Group, Message{Kind: "grant", To: strings.TrimPrefix(l.To, "b/"), Amount: a.Amount})
	}
}

// returnBudgets returns the balances of budgets that no execution waits for to the root.
func (m *Machine) returnBudgets() {
	waits := map[string]bool{}
	for _, o := range m.executionsWhere(func(t *Turn) bool { return t.Phase == AwaitingBudget }) {
		for _, name := range o.Execution.Charge {
			waits[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.state.Accounts)) {
		if a := m.state.Accounts[name]; !waits[name] && a.Requested == 0 && a.Balance >= minReturn.Microseconds() {
			m.send(Message{Kind: "give", To: "b/" + name, Amount: a.Balance, Spare: a.Spare})
			a.Balance = 0
		}
	}
}
