package dispatch

import (
	"maps"
	"slices"
	"time"

	"caperrelay/decide"
)

// admit registers a command and passes it to the decision module. Commands that the module cannot be asked about
// are answered here: one whose ID is already pending, since its callbacks could not be told apart, one whose class is not
// in the settings, and one whose ID may have run for a client that has left.
func (l *Loop) admit(c *Command) {
	if l.handedOver { // it was queued during the handover
		l.Counters.pending.Add(-1)
		c.Client.HandOver(false)
		return
	}
	l.Counters.Received.Add(1)
	if c.clientGone.Load() { // the client disconnected while the command was queued
		l.Counters.pending.Add(-1)
		l.Counters.Cancelled.Add(1)
		return
	}
	class := indexOrLen(l.allNames.Classes, c.Class)
	unknown := class == len(l.allNames.Classes) || l.settings.Classes[class].Removed
	if l.byID[c.ID] != nil || unknown {
		l.Counters.pending.Add(-1)
		l.Counters.countAnswer(class, Unusable)
		c.Client.Answer(Answer{Verdict: Unusable})
		return
	}
	if !c.hasRecord() && l.departed.contains(c.ID, time.Now()) {
		l.Counters.pending.Add(-1)
		l.Counters.countAnswer(class, Failed)
		c.Client.Answer(Answer{Verdict: Failed})
		return
	}
	p := &pendingCommand{Command: c, class: class, definition: l.settings.Classes[class], request: l.newRequestID()}
	l.byID[c.ID], l.byRequest[p.request] = p, p
	var candidates []uint32
	for _, id := range c.Candidates {
		candidates = append(candidates, l.workerID(id))
	}
	l.queueEvent(decide.Request{
		ID: p.request, Class: class, Tenant: indexOrLen(l.allNames.Tenants, c.Tenant), Key: c.Key, Budget: max(0, time.Until(c.Deadline)),
		Work: c.Work, Slots: c.Slots, Memory: c.Memory, Retry: c.Retry, Candidates: candidates, Reserved: c.Reserved, UntilDeadline: c.UntilDeadline, Gated: c.Gate != nil,
	})
}

// RetryChecker is a client that reports whether its command may be retried even if it may have run, by the settings
// at the time it was received.
type RetryChecker interface{ MayRetry() bool }

// MayRetry reports whether commands of a class may be retried even if they may have run.
func MayRetry(c decide.Class) bool {
	return c.Effect == decide.Safe || c.Effect == decide.Keyed && c.Scope == decide.ScopeAll
}

// AnswerAll answers all pending commands, because the process may be killed from now on, which would leave their
// clients without an answer. Commands that have no attempts yet or that the client may retry are refused, all
// others fail, and all attempts are cancelled.
func (l *Loop) AnswerAll() {
	l.post(func(l *Loop) {
		for _, r := range slices.Sorted(maps.Keys(l.byRequest)) {
			p := l.byRequest[r]
			if p.answered {
				continue
			}
			v := Failed
			if r, ok := p.Client.(RetryChecker); len(p.attempts) == 0 || ok && r.MayRetry() {
				v = Refused
			}
			l.queueEvent(decide.RequestCancelled{Request: r})
			l.answer(p, Answer{Verdict: v})
		}
	})
}

// newRequestID returns a request ID that no pending command has.
func (l *Loop) newRequestID() uint32 {
	for l.lastID++; l.lastID == 0 || l.byRequest[l.lastID] != nil; l.lastID++ {
	}
	return l.lastID
}
