package rerun

import (
	"maps"
	"slices"
	"strings"
	"time"

	"caperrelay/internal/rerun/policy"
)

// handleOutput applies a message to an output.
func (m *Machine) handleOutput(msg *Message) {
	o := m.state.Outputs[msg.To]
	if o == nil {
		if msg.Kind == "leave" || msg.Request == nil {
			return
		}
		o = &Output{Key: msg.To, Requests: map[string]*OutputRequest{}, Users: map[string]int64{}}
		m.state.Outputs[msg.To] = o
	}
	if msg.Kind == "leave" {
		delete(o.Requests, msg.From)
		delete(o.Users, msg.From)
		if e := o.Execution; e != nil && e.Phase != Started && len(o.Requests) == 0 {
			m.cancelExecution(o)
		}
		m.releaseIdle(o)
		return
	}
	if len(o.Requests) >= maxRequests {
		m.send(Message{Kind: "fell", To: "r/" + msg.From, Stage: msg.Request.Stage, Gen: o.LastGen, Cause: policy.Refused, Text: "too many wait for this output"})
		return
	}
	if m.faults.AnyGeneration && msg.Request.AboveGen > 0 {
		msg.Request.AboveGen = o.LastGen
	}
	o.Requests[msg.From] = msg.Request
	m.serveRequests(o)
}

// cancelExecution cancels an execution that has not started and that no run waits for, and refunds its budgets.
func (m *Machine) cancelExecution(o *Output) {
	e := o.Execution
	if e.Phase == Queued && !e.First {
		for _, name := range e.Charge {
			a := m.state.Accounts[name]
			a.Balance += e.Work.Microseconds()
			a.Spent -= e.Work.Microseconds()
		}
	}
	o.LastGen = e.Gen - 1
	m.setExecution(o, nil)
}

func (m *Machine) setExecution(o *Output, e *Execution) {
	if o.Execution = e; e == nil {
		delete(m.executions, o.Key)
	} else {
		m.executions[o.Key] = o
	}
}

// releaseIdle deletes an output without users: that of a single run together with the run, a shared one after
// outputRetention.
func (m *Machine) releaseIdle(o *Output) {
	if len(o.Requests) == 0 && len(o.Users) == 0 && o.Execution == nil {
		if rest, own := strings.CutPrefix(o.Key, "r/"); own {
			id, _, _ := strings.Cut(rest, "/")
			if r := m.state.Runs[id]; r == nil || r.Answer != nil {
				delete(m.state.Outputs, o.Key)
			}
			return
		}
		o.ForgetAt = m.state.At + outputRetention
		m.setTimer(o.ForgetAt, "idle", o.Key)
	}
}

// serveRequests answers the requests that it can, and begins an execution for the others. One execution serves all runs
// for which the same generation failed: any later generation, made or being made, satisfies them.
func (m *Machine) serveRequests(o *Output) {
	for _, id := range slices.Sorted(maps.Keys(o.Requests)) {
		req := o.Requests[id]
		if o.Gen > req.AboveGen && coversInputs(o.InputGens, req.InputGens) {
			delete(o.Requests, id)
			o.Users[id] = o.Gen
			m.send(Message{Kind: "made", To: "r/" + id, Stage: req.Stage, Gen: o.Gen, InputGens: o.InputGens, Place: o.Place, MadeAt: o.MadeAt, Text: o.Result})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(o.Requests)) {
		req := o.Requests[id]
		if e := o.Execution; e != nil {
			if e.Phase != Started && !coversInputs(e.InputGens, req.InputGens) && coversInputs(req.InputGens, e.InputGens) { // not started: switch to the newer inputs
				e.InputGens = req.InputGens
			}
			continue
		}
		if req.AboveGen > o.LastGen { // generations lost with the group's state: continue above them
			o.LastGen = req.AboveGen
		}
		o.LastGen++
		m.state.LastOrder++
		m.setExecution(o, &Execution{OutputRequest: *req, Gen: o.LastGen, First: o.LastGen == 1, Phase: AwaitingBudget, Order: m.state.LastOrder})
		m.chargeBudgets(o)
	}
}

// start records that a dispatcher is about to start an execution.
func (m *Machine) start(c *Command) Result {
	o := m.state.Outputs[c.Key]
	switch {
	case o == nil || o.Execution == nil || o.Execution.Gen != c.Gen:
		return refuse("no such turn")
	case o.Execution.Phase == Started && o.Execution.Dispatcher == c.Dispatcher:
		return Result{OK: true}
	case o.Execution.Phase != Queued:
		return refuse("not to be started")
	case m.state.Running >= m.config.MaxRunning:
		return refuse("as many run as may")
	case !o.Execution.First && m.firstRunQueued():
		return refuse("first runs go first")
	}
	e := o.Execution
	e.Phase, e.Dispatcher, e.Began = Started, c.Dispatcher, m.state.At
	m.state.Running++
	if m.StagesStarted++; !e.First {
		m.Reruns++
	}
	m.setTimer(e.lateAt(), "turn", o.Key)
	m.send(Message{Kind: "begun", To: "r/" + e.Run, Stage: e.Stage, Gen: e.Gen, OK: e.First})
	m.returnBudgets()
	return Result{OK: true}
}

// lateAt returns when a started execution counts as late. For a stage that must not run twice, the end of its job is
// awaited: that shows whether it ran, and arrives only after the job's deadline.
func (e *Execution) lateAt() time.Duration {
	switch {
	case e.Within > 0 && e.Once:
		return min(e.Began+e.Within, e.Deadline) + lateGrace
	case e.Within > 0:
		return min(e.Began+e.Within, e.Deadline+lateGrace)
	}
	return e.Deadline + lateGrace
}

func (m *Machine) firstRunQueued() bool {
	for _, o := range m.executions {
		if o.Execution.Phase == Queued && o.Execution.First {
			return true
		}
	}
	return false
}

// end records the end of an execution. Only the first report counts.
func (m *Machine) end(c *Command) Result {
	o := m.state.Outputs[c.Key]
	if o == nil || o.Execution == nil || o.Execution.Gen != c.Gen || o.Execution.Phase != Started {
		return refuse("no such turn runs")
	}
	if !c.OK && !c.Cause.Known() {
		return refuse("%q is no cause", c.Cause)
	}
	if len(c.Text) > 4*maxParamBytes {
		c.Text = c.Text[:4*maxParamBytes]
	}
	e, at := o.Execution, policy.Place{}
	if c.Place != nil {
		at = *c.Place
	}
	m.setExecution(o, nil)
	m.state.Running--
	if c.OK {
		o.Gen, o.InputGens, o.Place, o.MadeAt, o.Result, o.Approvals = e.Gen, e.InputGens, at, m.state.At, c.Text, nil
		if len(e.InputGens) > 0 && at.Worker != "" {
			m.send(Message{Kind: "content", To: "c/" + at.Worker, Text: e.Name})
			m.sendApprovals(e, at.Worker)
		}
		for _, id := range slices.Sorted(maps.Keys(o.Users)) {
			if o.Requests[id] == nil {
				m.send(Message{Kind: "newer", To: "r/" + id, Key: o.Key, Gen: o.Gen, InputGens: o.InputGens, Place: o.Place, MadeAt: o.MadeAt})
			}
		}
	} else {
		for _, id := range slices.Sorted(maps.Keys(o.Requests)) {
			req := o.Requests[id]
			if req.AboveGen >= e.Gen || !coversInputs(e.InputGens, req.InputGens) && !req.Once { // it requests an attempt that was not made yet
				continue
			}
			delete(o.Requests, id)
			m.send(Message{Kind: "fell", To: "r/" + id, Stage: req.Stage, Gen: e.Gen, Cause: c.Cause, Input: c.Input, Place: at, RunTime: m.state.At - e.Began, Text: c.Text})
		}
	}
	m.serveRequests(o)
	m.releaseIdle(o)
	m.deliverLocal()
	m.returnBudgets()
	return Result{OK: true}
}
