package dispatch

import (
	"fmt"
	"strings"
	"sync/atomic"

	"caperrelay/decide"
)

// Books counts what became of commands and attempts.
type Books struct {
	Taken, Lapsed, Sent, Probes, StrayNews atomic.Int64
	answers                                [numVerdicts]atomic.Int64
	outcomes                               [decide.Moot + 1]atomic.Int64
}

func (b *Books) answer(v Verdict)         { b.answers[v].Add(1) }
func (b *Books) outcome(o decide.Outcome) { b.outcomes[o].Add(1) }

var outcomeNames = [...]string{
	decide.OK: "ok", decide.Errored: "errored", decide.Full: "full", decide.TimedOut: "timed_out",
	decide.ConnectFailed: "connect_failed", decide.Reset: "reset", decide.Cancelled: "cancelled", decide.Moot: "moot",
}

// String lists the counters, one "name value" a line.
func (b *Books) String() string {
	var s strings.Builder
	line := func(name string, n *atomic.Int64) { fmt.Fprintf(&s, "%s %d\n", name, n.Load()) }
	line("commands_taken_in", &b.Taken)
	line("commands_answered", &b.answers[Served])
	line("commands_nacked", &b.answers[Nacked])
	line("commands_failed", &b.answers[Failed])
	line("commands_unusable", &b.answers[Unusable])
	line("commands_lapsed", &b.Lapsed)
	line("attempts_sent", &b.Sent)
	for o := range b.outcomes {
		line("attempts_"+outcomeNames[o], &b.outcomes[o])
	}
	line("probes_sent", &b.Probes)
	line("news_for_no_attempt", &b.StrayNews)
	return s.String()
}

// answer books a command's one final answer and hands it to the service client.
func (l *Loop) answer(h *held, a Answer) {
	l.Books.answer(a.Verdict)
	l.conclude(h)
	h.Client.Answer(a)
	l.forget(h)
}

// conclude marks a command as owed nothing more.
func (l *Loop) conclude(h *held) {
	h.answered = true
	l.holding.Add(-1)
}

// forget drops a command that is answered and has no attempt out.
func (l *Loop) forget(h *held) {
	if h.answered && h.out == 0 {
		delete(l.ids, h.ID)
		delete(l.requests, h.request)
	}
}
