package rerun

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"caperrelay/internal/rerun/policy"
)

// dues is what time brings about, by time.
type dues []due

type due struct {
	at        time.Duration
	kind, key string
}

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), cmp.Compare(d[i].kind, d[j].kind), cmp.Compare(d[i].key, d[j].key)) < 0
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func (m *Machine) wake(at time.Duration, kind, key string) {
	if at > 0 { // 0 is never
		heap.Push(&m.due, due{at, kind, key})
	}
}

// Next is when time brings something about; 0: never.
func (m *Machine) Next() time.Duration {
	if len(m.due) == 0 {
		return 0
	}
	return m.due[0].at
}

// time does what is due by now.
func (m *Machine) time() {
	for len(m.due) > 0 && m.due[0].at <= m.s.At {
		d := heap.Pop(&m.due).(due)
		switch d.kind {
		case "run":
			if r := m.s.Runs[d.key]; r != nil && r.Answer == nil && r.Until <= m.s.At {
				stage, waits := m.waits(r)
				m.finish(r, Answer{Kind: LateEnd, Stage: stage, Cause: policy.Late, Reason: "its time was over: " + cmp.Or(strings.Join(waits, "; "), "it waited for nothing")})
				for i, s := range r.Stages {
					if r.p.Stages[i].Once && s.Ran && s.Have <= s.Over { // nobody knows
						r.Answer.Kind, r.Answer.Stage = Person, r.p.Stages[i].Name
					}
				}
			}
		case "ended":
			if r := m.s.Runs[d.key]; r != nil && r.Answer != nil && r.Answer.At+keepEnded <= m.s.At {
				delete(m.s.Runs, d.key)
			}
		case "wait":
			id, number, _ := strings.Cut(d.key, "/")
			i := 0
			fmt.Sscan(number, &i)
			if r := m.s.Runs[id]; r != nil && r.Answer == nil && i < len(r.Stages) {
				if n := r.Stages[i].Next; n != nil && n.Phase == Pausing && n.At <= m.s.At {
					m.try(r, i)
				}
			}
		case "turn":
			if o := m.s.Outputs[d.key]; o != nil && o.Turn != nil && o.Turn.Phase == Started && o.Turn.over() <= m.s.At {
				m.end(&Command{Key: d.key, Gen: o.Turn.Gen, Cause: policy.Late})
			}
		case "idle":
			if o := m.s.Outputs[d.key]; o != nil && o.Idle <= m.s.At && len(o.Wants) == 0 && len(o.Users) == 0 && o.Turn == nil {
				delete(m.s.Outputs, d.key)
			}
		case "print":
			if p := m.s.Prints[d.key]; p != nil {
				if m.letGo(d.key, p); len(p.Trying)+len(p.Waiting) == 0 && p.Idle <= m.s.At && p.Not <= m.s.At {
					delete(m.s.Prints, d.key)
				}
			}
		case "often":
			last := time.Duration(0)
			for _, o := range m.s.Often[d.key] {
				last = max(last, o.Last)
			}
			if last+claimFor <= m.s.At {
				delete(m.s.Often, d.key)
			} else {
				m.wake(last+claimFor, "often", d.key)
			}
		case "claimant":
			if c := m.s.Claimants[d.key]; c != nil && c.Until <= m.s.At {
				delete(m.s.Claimants, d.key)
			} else if c != nil {
				m.wake(c.Until, "claimant", d.key)
			}
		}
		m.settle()
	}
}

// Action is something to be done by whoever leads the group.
type Action interface{ action() }

// The actions.
type (
	// Go has a turn run, once OpStart is committed: a stage's generation, by the class's workers, narrowed.
	Go struct {
		Key string
		Turn
	}
	// Deliver has letters be proposed to another group, and OpSent here once they are taken in.
	Deliver struct {
		To      uint32
		Letters []Letter
	}
	// WaitUntil has OpTick be proposed at a time.
	WaitUntil struct{ At time.Duration }
)

func (Go) action()        {}
func (Deliver) action()   {}
func (WaitUntil) action() {}

// Actions is what is to be done now: first runs before reruns, as many as may run at once.
func (m *Machine) Actions() (all []Action) {
	queued := m.such(func(t *Turn) bool { return t.Phase == Queued })
	room := m.c.Running - m.s.Running
	for _, first := range []bool{true, false} {
		for _, o := range queued {
			if o.Turn.First == first && room > 0 {
				all = append(all, Go{o.Key, *o.Turn})
				room--
			}
		}
	}
	for _, to := range slices.Sorted(maps.Keys(m.s.Out)) {
		if letters := m.s.Out[to]; len(letters) > 0 {
			all = append(all, Deliver{to, slices.Clone(letters[:min(len(letters), 128)])})
		}
	}
	if at := m.Next(); at > 0 {
		all = append(all, WaitUntil{at})
	}
	return all
}

// Running is the turns that a dispatcher, or any (""), has started and that have no end.
func (m *Machine) Running(by string) (all []Go) {
	for _, o := range m.such(func(t *Turn) bool { return t.Phase == Started && (by == "" || t.By == by) }) {
		all = append(all, Go{o.Key, *o.Turn})
	}
	return all
}

// Turns tells whether a turn is under way still.
func (m *Machine) Turns(key string, gen int64) bool {
	o := m.s.Outputs[key]
	return o != nil && o.Turn != nil && o.Turn.Gen == gen
}

// Run is a run, to be read only; nil: there is none.
func (m *Machine) Run(id string) *Run { return m.s.Runs[id] }

// Current is the version of the policy that counts for runs that begin now.
func (m *Machine) Current() string { return m.s.Current }

// Size is how many runs there are, and how many have no answer.
func (m *Machine) Size() (runs, open int) { return len(m.s.Runs), m.open }
