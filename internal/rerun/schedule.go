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

// timerHeap is a heap of timers, ordered by time.
type timerHeap []timer

type timer struct {
	at        time.Duration
	kind, key string
}

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].kind, h[j].kind), cmp.Compare(h[i].key, h[j].key)) < 0
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (m *Machine) setTimer(at time.Duration, kind, key string) {
	if at > 0 { // 0: never
		heap.Push(&m.timers, timer{at, kind, key})
	}
}

// NextTimer returns when the next timer fires; 0: never.
func (m *Machine) NextTimer() time.Duration {
	if len(m.timers) == 0 {
		return 0
	}
	return m.timers[0].at
}

// fireTimers fires all timers that are due.
func (m *Machine) fireTimers() {
	for len(m.timers) > 0 && m.timers[0].at <= m.state.At {
		d := heap.Pop(&m.timers).(timer)
		switch d.kind {
		case "run":
			if r := m.state.Runs[d.key]; r != nil && r.Answer == nil && r.Deadline <= m.state.At {
				stage, waits := m.waitingFor(r)
				m.finish(r, Answer{Kind: LateEnd, Stage: stage, Cause: policy.Late, Reason: "its time was over: " + cmp.Or(strings.Join(waits, "; "), "it waited for nothing")})
				for i, s := range r.Stages {
					if r.pipeline.Stages[i].Once && s.MayHaveRun && s.UsedGen <= s.StaleUpTo { // it may have run
						r.Answer.Kind, r.Answer.Stage = NeedsPerson, r.pipeline.Stages[i].Name
					}
				}
			}
		case "ended":
			if r := m.state.Runs[d.key]; r != nil && r.Answer != nil && r.Answer.At+endedRetention <= m.state.At {
				delete(m.state.Runs, d.key)
			}
		case "wait":
			id, number, _ := strings.Cut(d.key, "/")
			i := 0
			fmt.Sscan(number, &i)
			if r := m.state.Runs[id]; r != nil && r.Answer == nil && i < len(r.Stages) {
				if n := r.Stages[i].Pending; n != nil && n.Phase == BackingOff && n.ResumeAt <= m.state.At {
					m.requestTrial(r, i)
				}
			}
		case "turn":
			if o := m.state.Outputs[d.key]; o != nil && o.Execution != nil && o.Execution.Phase == Started && o.Execution.lateAt() <= m.state.At {
				m.end(&Command{Key: d.key, Gen: o.Execution.Gen, Cause: policy.Late})
			}
		case "idle":
			if o := m.state.Outputs[d.key]; o != nil && o.ForgetAt <= m.state.At && len(o.Requests) == 0 && len(o.Users) == 0 && o.Execution == nil {
				delete(m.state.Outputs, d.key)
			}
		case "print":
			if f := m.state.Fingerprints[d.key]; f != nil {
				if m.admitWaiting(d.key, f); len(f.Admitted)+len(f.Waiting) == 0 && f.ForgetAt <= m.state.At && f.NotBefore <= m.state.At {
					delete(m.state.Fingerprints, d.key)
				}
			}
		case "often":
			last := time.Duration(0)
			for _, o := range m.state.SiteFailures[d.key] {
				last = max(last, o.LastFailure)
			}
			if last+claimRetention <= m.state.At {
				delete(m.state.SiteFailures, d.key)
			} else {
				m.setTimer(last+claimRetention, "often", d.key)
			}
		case "claimant":
			if c := m.state.Claimants[d.key]; c != nil && c.DistrustedUntil <= m.state.At {
				delete(m.state.Claimants, d.key)
			} else if c != nil {
				m.setTimer(c.DistrustedUntil, "claimant", d.key)
			}
		}
		m.deliverLocal()
	}
}

// Action is something that the group's leader has to do.
type Action interface{ action() }

// Actions of a group's leader.
type (
	// Execute runs an execution once OpStart is committed: a generation of a stage, by the workers of its class, less those
	// excluded by the rule.
	Execute struct {
		Key string
		Execution
	}
	// Deliver proposes messages to another group, and OpConfirmed to this group once they are applied.
	Deliver struct {
		To       uint32
		Messages []Message
	}
	// WaitUntil proposes OpTick at the given time.
	WaitUntil struct{ At time.Duration }
)

func (Execute) action()   {}
func (Deliver) action()   {}
func (WaitUntil) action() {}

// Actions returns what is to be done now: first runs before reruns, up to the maximum that may run at once.
func (m *Machine) Actions() (all []Action) {
	queued := m.executionsWhere(func(e *Execution) bool { return e.Phase == Queued })
	capacity := m.config.MaxRunning - m.state.Running
	for _, first := range []bool{true, false} {
		for _, o := range queued {
			if o.Execution.First == first && capacity > 0 {
				all = append(all, Execute{o.Key, *o.Execution})
				capacity--
			}
		}
	}
	for _, to := range slices.Sorted(maps.Keys(m.state.Outbox)) {
		if messages := m.state.Outbox[to]; len(messages) > 0 {
			all = append(all, Deliver{to, slices.Clone(messages[:min(len(messages), 128)])})
		}
	}
	if at := m.NextTimer(); at > 0 {
		all = append(all, WaitUntil{at})
	}
	return all
}

// Running returns the executions that a dispatcher, or any (""), has started and that have not ended.
func (m *Machine) Running(by string) (all []Execute) {
	for _, o := range m.executionsWhere(func(e *Execution) bool { return e.Phase == Started && (by == "" || e.Dispatcher == by) }) {
		all = append(all, Execute{o.Key, *o.Execution})
	}
	return all
}

// Executing reports whether an execution has not ended.
func (m *Machine) Executing(key string, gen int64) bool {
	o := m.state.Outputs[key]
	return o != nil && o.Execution != nil && o.Execution.Gen == gen
}

// Run returns a run, to be read only; nil if there is none.
func (m *Machine) Run(id string) *Run { return m.state.Runs[id] }

// CurrentVersion returns the policy version for runs that begin now.
func (m *Machine) CurrentVersion() string { return m.state.CurrentVersion }

// Size returns the number of runs, and of those without an answer.
func (m *Machine) Size() (runs, unfinished int) { return len(m.state.Runs), m.unfinished }
