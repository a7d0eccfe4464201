package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperrelay/decide"
)

// Counters counts the outcomes of commands and attempts.
type Counters struct {
	Received, Cancelled, Sent, Probes, UnmatchedCallbacks atomic.Int64
	ambiguousCallbacks                                    atomic.Int64 // that may report on either of two attempts at their instance
	ConfigLoads, ConfigLoadErrors                         atomic.Int64 // configuration files accepted and rejected
	written                                               atomic.Int64 // attempts sent completely
	listed, avoided                                       atomic.Int64 // instances, as the decision module counts them
	pending                                               atomic.Int64 // commands received and not yet answered
	answers                                               [numVerdicts]atomic.Int64
	outcomes                                              [decide.NotSent + 1]atomic.Int64
	connEnds, connEndsAtShutdown                          [numConnEnds]atomic.Int64 // ends of client connections: all, and those during shutdown
	refusedAtShutdown                                     atomic.Int64              // commands refused without a decision because the process was shutting down

	mu      sync.Mutex
	classes []*classCounters // by class number; classes that are no longer in the settings stay
}

// ConnEnd is how this process closed a client's connection other than after an answer or while it was idle.
type ConnEnd int

// The kinds of ends.
const (
	Unanswered      ConnEnd = iota // no request on it was ever answered
	Truncated                      // during a request, without a complete answer
	RequestInFlight                // between two requests, the next of which had already been sent; its client sends it again
	numConnEnds
)

var connEndNames = [...]string{Unanswered: "unanswered", Truncated: "cut", RequestInFlight: "crossed"}

// CountConnEnd counts the end of a client's connection. shutdown is set while the process shuts down.
func (b *Counters) CountConnEnd(e ConnEnd, shutdown bool) {
	b.connEnds[e].Add(1)
	if shutdown {
		b.connEndsAtShutdown[e].Add(1)
	}
}

// CountShutdownRefusal counts a command that was refused without asking the decision module.
func (b *Counters) CountShutdownRefusal(class string) {
	b.Received.Add(1)
	b.refusedAtShutdown.Add(1)
	b.answers[Refused].Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.IndexFunc(b.classes, func(c *classCounters) bool { return c.name == class }); i >= 0 {
		b.classes[i].answers[Refused].Add(1)
	}
}

// classCounters counts the answers to the commands of one class.
type classCounters struct {
	name    string
	answers [numVerdicts]atomic.Int64
}

// addClasses adds counters for each new class. A class that an older process defined differently shares the
// counters of its namesake.
func (b *Counters) addClasses(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names[len(b.classes):] {
		name = baseName(name)
		counters := &classCounters{name: name}
		if i := slices.IndexFunc(b.classes, func(c *classCounters) bool { return c.name == name }); i >= 0 {
			counters = b.classes[i]
		}
		b.classes = append(b.classes, counters)
	}
}

func (b *Counters) countAnswer(class int, v Verdict) {
	b.answers[v].Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if class < len(b.classes) {
		b.classes[class].answers[v].Add(1)
	}
}

func (b *Counters) countOutcome(o decide.Outcome) { b.outcomes[o].Add(1) }

// counter is a named value.
type counter struct {
	name string
	n    int64
}

// operatorCounters returns the counters that operators monitor.
func (b *Counters) operatorCounters() (all []counter) {
	add := func(name string, n int64) { all = append(all, counter{"proxy." + name, n}) }
	b.mu.Lock()
	for i, c := range b.classes {
		if slices.Index(b.classes, c) < i {
			continue
		}
		add("passed."+c.name, c.answers[Served].Load())
		add("dropped."+c.name, c.answers[Refused].Load())
		add("bad_gateway."+c.name, c.answers[Failed].Load()+c.answers[Unusable].Load())
	}
	b.mu.Unlock()
	add("upstream_tries", b.written.Load())
	add("in_progress", b.pending.Load())
	add("known_encoders", b.listed.Load())
	add("skipped_encoders", b.avoided.Load())
	add("loads", b.ConfigLoads.Load())
	add("load_errors", b.ConfigLoadErrors.Load())
	for e, name := range connEndNames {
		add("closed_"+name, b.connEnds[e].Load())
		add("ending_"+name, b.connEndsAtShutdown[e].Load())
	}
	add("ending_refused", b.refusedAtShutdown.Load())
	return all
}

// OperatorCounters lists the operators' counters, one "proxy.name=value" per line.
func (b *Counters) OperatorCounters() string {
	var s strings.Builder
	for _, f := range b.operatorCounters() {
		fmt.Fprintf(&s, "%s=%d\n", f.name, f.n)
	}
	return s.String()
}

var outcomeNames = [...]string{
	decide.OK: "ok", decide.Errored: "errored", decide.Full: "full", decide.TimedOut: "timed_out",
	decide.ConnectFailed: "connect_failed", decide.Reset: "reset", decide.Cancelled: "cancelled", decide.NotSent: "moot",
}

// internalCounters returns the counters that are not among the operators' (operatorCounters).
func (b *Counters) internalCounters() (all []counter) {
	add := func(name string, n *atomic.Int64) { all = append(all, counter{name, n.Load()}) }
	add("commands_taken_in", &b.Received)
	add("commands_answered", &b.answers[Served])
	add("commands_nacked", &b.answers[Refused])
	add("commands_failed", &b.answers[Failed])
	add("commands_unusable", &b.answers[Unusable])
	add("commands_lapsed", &b.Cancelled)
	add("attempts_sent", &b.Sent)
	for o := range b.outcomes {
		add("attempts_"+outcomeNames[o], &b.outcomes[o])
	}
	add("probes_sent", &b.Probes)
	add("news_for_no_attempt", &b.UnmatchedCallbacks)
	add("ambiguous_callbacks", &b.ambiguousCallbacks)
	return all
}

// String lists all counters, one "name value" per line, followed by the operators' counters.
func (b *Counters) String() string {
	var s strings.Builder
	for _, f := range b.internalCounters() {
		fmt.Fprintf(&s, "%s %d\n", f.name, f.n)
	}
	s.WriteString(b.OperatorCounters())
	return s.String()
}

// Attrs returns all counters as log attributes.
func (b *Counters) Attrs() (all []any) {
	for _, f := range append(b.internalCounters(), b.operatorCounters()...) {
		all = append(all, f.name, f.n)
	}
	return all
}

// fleetSampleInterval is the interval at which the decision module's instance counts are sampled for the
// operators' counters.
const fleetSampleInterval = 200 * time.Millisecond

// sampleFleet updates the instance counts now and at every interval.
func (l *Loop) sampleFleet() {
	listed, avoided := l.mod.WorkerCounts()
	l.Counters.listed.Store(int64(listed))
	l.Counters.avoided.Store(int64(avoided))
	l.timers.At(time.Now().Add(fleetSampleInterval), l.sampleFleet)
}

// answer counts a command's one final answer and sends it to the client.
func (l *Loop) answer(p *pendingCommand, a Answer) {
	l.Counters.countAnswer(p.class, a.Verdict)
	l.markAnswered(p)
	p.Client.Answer(a)
	l.removeIfDone(p)
}

// markAnswered records that a command needs no answer any more.
func (l *Loop) markAnswered(p *pendingCommand) {
	p.answered = true
	for _, a := range p.attempts {
		a.obsolete.Store(true)
	}
	l.Counters.pending.Add(-1)
}

// removeIfDone removes a command that is answered and has no outstanding attempt.
func (l *Loop) removeIfDone(p *pendingCommand) {
	if p.answered && p.outstanding == 0 {
		delete(l.byID, p.ID)
		l.takenOver.CompareAndDelete(p.ID, p.Command)
		delete(l.byRequest, p.request)
	}
}
