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
	e := o.Execution
	if e.First {
		for _, s := range e.Accrue {
			if o.Accrued { // by an execution that never started
				break
			}
			a := m.budgetAccount(s.Account, e.Spare)
			n := int64(s.Fraction * float64(e.Work.Microseconds()))
			a.Balance += n
			a.Accrued += n
		}
		e.Phase, o.Accrued, m.budgetsGrew = Queued, true, true
		return
	}
	need := e.Work.Microseconds()
	short := false
	for _, name := range e.Charge {
		a := m.budgetAccount(name, e.Spare)
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
	for _, name := range e.Charge {
		a := m.state.Accounts[name]
		a.Balance -= need
		a.Spent += need
	}
	e.Phase = Queued
}

// chargeWaiting retries all executions that wait for their budgets, oldest first.
func (m *Machine) chargeWaiting() {
	for _, o := range m.executionsWhere(func(e *Execution) bool { return e.Phase == AwaitingBudget }) {
		m.chargeBudgets(o)
	}
}

// executionsWhere returns the outputs whose executions satisfy a predicate, in the order in which the executions began.
func (m *Machine) executionsWhere(match func(*Execution) bool) (all []*Output) {
	for _, o := range m.executions {
		if match(o.Execution) {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b *Output) int { return cmp.Compare(a.Execution.Order, b.Execution.Order) })
	return all
}

// handlePool applies a message to the root's part of a budget. Groups are granted whole amounts in the order of their
// requests: amounts granted plus the balance never exceed what the pool received.
func (m *Machine) handlePool(msg *Message) {
	p := m.state.Pools[msg.To]
	if p == nil {
		if len(m.state.Pools) >= maxTracked {
			return
		}
		p = &Pool{Balance: msg.Spare, Spare: msg.Spare}
		m.state.Pools[msg.To] = p
	}
	if msg.Kind == "give" {
		p.Balance += msg.Amount
	} else {
		p.Requests = append(p.Requests, poolRequest{msg.Group, msg.Amount})
	}
	for len(p.Requests) > 0 && p.Balance >= p.Requests[0].Amount {
		a := p.Requests[0]
		p.Requests = p.Requests[1:]
		p.Balance -= a.Amount
		m.sendTo(a.Group, Message{Kind: "grant", To: strings.TrimPrefix(msg.To, "b/"), Amount: a.Amount})
	}
}

// returnBudgets returns the balances of budgets that no execution waits for to the root.
func (m *Machine) returnBudgets() {
	waits := map[string]bool{}
	for _, o := range m.executionsWhere(func(e *Execution) bool { return e.Phase == AwaitingBudget }) {
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
