package rerun

import (
	"maps"
	"slices"
	"strings"
	"time"

	"caperrelay/internal/rerun/policy"
)

// output has an output take a letter.
func (m *Machine) output(l *Letter) {
	o := m.s.Outputs[l.To]
	if o == nil {
		if l.Kind == "leave" || l.Want == nil {
			return
		}
		o = &Output{Key: l.To, Wants: map[string]*Want{}, Users: map[string]int64{}}
		m.s.Outputs[l.To] = o
	}
	if l.Kind == "leave" {
		delete(o.Wants, l.From)
		delete(o.Users, l.From)
		if t := o.Turn; t != nil && t.Phase != Started && len(o.Wants) == 0 {
			m.drop(o)
		}
		m.idle(o)
		return
	}
	if len(o.Wants) >= mostWants {
		m.send(Letter{Kind: "fell", To: "r/" + l.From, Stage: l.Want.Stage, Gen: o.Last, Cause: policy.Refused, Text: "too many wait for this output"})
		return
	}
	if m.faulty.AnyGeneration && l.Want.Over > 0 {
		l.Want.Over = o.Last
	}
	o.Wants[l.From] = l.Want
	m.serve(o)
}

// drop takes back a turn that nobody waits for any more and that has not started; what it has paid is given back.
func (m *Machine) drop(o *Output) {
	t := o.Turn
	if t.Phase == Queued && !t.First {
		for _, name := range t.Charge {
			a := m.s.Accounts[name]
			a.Balance += t.Work.Microseconds()
			a.Spent -= t.Work.Microseconds()
		}
	}
	o.Last = t.Gen - 1
	m.turn(o, nil)
}

func (m *Machine) turn(o *Output, t *Turn) {
	if o.Turn = t; t == nil {
		delete(m.turns, o.Key)
	} else {
		m.turns[o.Key] = o
	}
}

// idle forgets an output that nobody uses: a run's own with the run, a shared one after a while.
func (m *Machine) idle(o *Output) {
	if len(o.Wants) == 0 && len(o.Users) == 0 && o.Turn == nil {
		if rest, own := strings.CutPrefix(o.Key, "r/"); own {
			id, _, _ := strings.Cut(rest, "/")
			if r := m.s.Runs[id]; r == nil || r.Answer != nil {
				delete(m.s.Outputs, o.Key)
			}
			return
		}
		o.Idle = m.s.At + keepOutput
		m.wake(o.Idle, "idle", o.Key)
	}
}

// serve answers the wants that can be, and begins a turn for the others. One turn serves all that have the same output
// fail: whoever wants a generation over one that is made, or is being made, gets that.
func (m *Machine) serve(o *Output) {
	for _, id := range slices.Sorted(maps.Keys(o.Wants)) {
		w := o.Wants[id]
		if o.Gen > w.Over && covers(o.Of, w.Of) {
			delete(o.Wants, id)
			o.Users[id] = o.Gen
			m.send(Letter{Kind: "made", To: "r/" + id, Stage: w.Stage, Gen: o.Gen, Of: o.Of, At: o.At, Made: o.Made, Text: o.Result})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(o.Wants)) {
		w := o.Wants[id]
		if t := o.Turn; t != nil {
			if t.Phase != Started && !covers(t.Of, w.Of) && covers(w.Of, t.Of) { // not begun: it takes the newer inputs
				t.Of = w.Of
			}
			continue
		}
		if w.Over > o.Last { // lost with a group's state: generations go on above it
			o.Last = w.Over
		}
		o.Last++
		m.s.Order++
		m.turn(o, &Turn{Want: *w, Gen: o.Last, First: o.Last == 1, Phase: Paying, Order: m.s.Order})
		m.payTurn(o)
	}
}

// start takes that a dispatcher is about to have a turn run.
func (m *Machine) start(c *Command) Result {
	o := m.s.Outputs[c.Key]
	switch {
	case o == nil || o.Turn == nil || o.Turn.Gen != c.Gen:
		return no("no such turn")
	case o.Turn.Phase == Started && o.Turn.By == c.By:
		return Result{OK: true}
	case o.Turn.Phase != Queued:
		return no("not to be started")
	case m.s.Running >= m.c.Running:
		return no("as many run as may")
	case !o.Turn.First && m.queuedFirst():
		return no("first runs go first")
	}
	t := o.Turn
	t.Phase, t.By, t.Began = Started, c.By, m.s.At
	m.s.Running++
	if m.Begun++; !t.First {
		m.Reruns++
	}
	m.wake(t.over(), "turn", o.Key)
	m.send(Letter{Kind: "begun", To: "r/" + t.Run, Stage: t.Stage, Gen: t.Gen, OK: t.First})
	m.giveBack()
	return Result{OK: true}
}

// over is when a turn that has started is late: it is waited for no longer. What must not run twice has its job's end waited
// for: that tells whether it ran, and comes once the job's time is over.
func (t *Turn) over() time.Duration {
	switch {
	case t.Within > 0 && t.Once:
		return min(t.Began+t.Within, t.Until) + overdue
	case t.Within > 0:
		return min(t.Began+t.Within, t.Until+overdue)
	}
	return t.Until + overdue
}

func (m *Machine) queuedFirst() bool {
	for _, o := range m.turns {
		if o.Turn.Phase == Queued && o.Turn.First {
			return true
		}
	}
	return false
}

// end takes how a turn ended. Only the first word of it counts.
func (m *Machine) end(c *Command) Result {
	o := m.s.Outputs[c.Key]
	if o == nil || o.Turn == nil || o.Turn.Gen != c.Gen || o.Turn.Phase != Started {
		return no("no such turn runs")
	}
	if !c.OK && !c.Cause.Known() {
		return no("%q is no cause", c.Cause)
	}
	if len(c.Text) > 4*mostParam {
		c.Text = c.Text[:4*mostParam]
	}
	t, at := o.Turn, policy.Place{}
	if c.Place != nil {
		at = *c.Place
	}
	m.turn(o, nil)
	m.s.Running--
	if c.OK {
		o.Gen, o.Of, o.At, o.Made, o.Result, o.Approved = t.Gen, t.Of, at, m.s.At, c.Text, nil
		if len(t.Of) > 0 && at.Worker != "" {
			m.send(Letter{Kind: "content", To: "c/" + at.Worker, Text: t.Name})
			m.approve(t, at.Worker)
		}
		for _, id := range slices.Sorted(maps.Keys(o.Users)) {
			if o.Wants[id] == nil {
				m.send(Letter{Kind: "newer", To: "r/" + id, Key: o.Key, Gen: o.Gen, Of: o.Of, At: o.At, Made: o.Made})
			}
		}
	} else {
		for _, id := range slices.Sorted(maps.Keys(o.Wants)) {
			w := o.Wants[id]
			if w.Over >= t.Gen || !covers(t.Of, w.Of) && !w.Once { // it wants what was not tried yet
				continue
			}
			delete(o.Wants, id)
			m.send(Letter{Kind: "fell", To: "r/" + id, Stage: w.Stage, Gen: t.Gen, Cause: c.Cause, Input: c.Input, At: at, Ran: m.s.At - t.Began, Text: c.Text})
		}
	}
	m.serve(o)
	m.idle(o)
	m.settle()
	m.giveBack()
	return Result{OK: true}
}
