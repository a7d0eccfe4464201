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

// Books counts what became of commands and attempts.
type Books struct {
	Taken, Lapsed, Sent, Probes, StrayNews atomic.Int64
	Loads, LoadErrors                      atomic.Int64 // configuration files taken and turned down
	written                                atomic.Int64 // attempts that went out whole
	listed, avoided                        atomic.Int64 // instances, as the module sees them
	holding                                atomic.Int64 // commands taken and not answered
	answers                                [numVerdicts]atomic.Int64
	outcomes                               [decide.Moot + 1]atomic.Int64
	ends, ending                           [numEnds]atomic.Int64 // of clients' connections, and of those the ones since the process was told to end
	late                                   atomic.Int64          // commands refused unasked: the process's time was over

	mu      sync.Mutex
	classes []*classBook // by class; one that the settings no longer have stays
}

// End is a way in which this process ends a client's connection, other than after an answer or between two requests.
type End int

// The ends.
const (
	Unanswered End = iota // nothing was ever answered on it
	Cut                   // under a request, without a whole answer
	Crossed               // between two requests, the next of which was on its way: its client sends it again
	numEnds
)

var endNames = [...]string{Unanswered: "unanswered", Cut: "cut", Crossed: "crossed"}

// Ended books the end of a client's connection; ending: the process has been told to end.
func (b *Books) Ended(e End, ending bool) {
	b.ends[e].Add(1)
	if ending {
		b.ending[e].Add(1)
	}
}

// Refused books a command that was refused before the module was asked.
func (b *Books) Refused(class string) {
	b.Taken.Add(1)
	b.late.Add(1)
	b.answers[Refused].Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.IndexFunc(b.classes, func(c *classBook) bool { return c.name == class }); i >= 0 {
		b.classes[i].answers[Refused].Add(1)
	}
}

// classBook is how the commands of one class were answered.
type classBook struct {
	name    string
	answers [numVerdicts]atomic.Int64
}

// open begins a book for each class that has none yet. One that an older process defined otherwise is in the same book.
func (b *Books) open(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names[len(b.classes):] {
		name = strings.TrimSuffix(name, former)
		book := &classBook{name: name}
		if i := slices.IndexFunc(b.classes, func(c *classBook) bool { return c.name == name }); i >= 0 {
			book = b.classes[i]
		}
		b.classes = append(b.classes, book)
	}
}

func (b *Books) answer(class int, v Verdict) {
	b.answers[v].Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if class < len(b.classes) {
		b.classes[class].answers[v].Add(1)
	}
}

func (b *Books) outcome(o decide.Outcome) { b.outcomes[o].Add(1) }

// figure is a counter by its name.
type figure struct {
	name string
	n    int64
}

// figures is what operators go by.
func (b *Books) figures() (all []figure) {
	line := func(name string, n int64) { all = append(all, figure{"proxy." + name, n}) }
	b.mu.Lock()
	for i, c := range b.classes {
		if slices.Index(b.classes, c) < i {
			continue
		}
		line("passed."+c.name, c.answers[Served].Load())
		line("dropped."+c.name, c.answers[Refused].Load())
		line("bad_gateway."+c.name, c.answers[Failed].Load()+c.answers[Unusable].Load())
	}
	b.mu.Unlock()
	line("upstream_tries", b.written.Load())
	line("in_progress", b.holding.Load())
	line("known_encoders", b.listed.Load())
	line("skipped_encoders", b.avoided.Load())
	line("loads", b.Loads.Load())
	line("load_errors", b.LoadErrors.Load())
	for e, name := range endNames {
		line("closed_"+name, b.ends[e].Load())
		line("ending_"+name, b.ending[e].Load())
	}
	line("ending_refused", b.late.Load())
	return all
}

// Figures lists what operators go by, one "proxy.name=value" a line.
func (b *Books) Figures() string {
	var s strings.Builder
	for _, f := range b.figures() {
		fmt.Fprintf(&s, "%s=%d\n", f.name, f.n)
	}
	return s.String()
}

var outcomeNames = [...]string{
	decide.OK: "ok", decide.Errored: "errored", decide.Full: "full", decide.TimedOut: "timed_out",
	decide.ConnectFailed: "connect_failed", decide.Reset: "reset", decide.Cancelled: "cancelled", decide.Moot: "moot",
}

// counters is all counters but the operators' figures.
func (b *Books) counters() (all []figure) {
	line := func(name string, n *atomic.Int64) { all = append(all, figure{name, n.Load()}) }
	line("commands_taken_in", &b.Taken)
	line("commands_answered", &b.answers[Served])
	line("commands_nacked", &b.answers[Refused])
	line("commands_failed", &b.answers[Failed])
	line("commands_unusable", &b.answers[Unusable])
	line("commands_lapsed", &b.Lapsed)
	line("attempts_sent", &b.Sent)
	for o := range b.outcomes {
		line("attempts_"+outcomeNames[o], &b.outcomes[o])
	}
	line("probes_sent", &b.Probes)
	line("news_for_no_attempt", &b.StrayNews)
	return all
}

// String lists all counters, one "name value" a line, and the operators' figures.
func (b *Books) String() string {
	var s strings.Builder
	for _, f := range b.counters() {
		fmt.Fprintf(&s, "%s %d\n", f.name, f.n)
	}
	s.WriteString(b.Figures())
	return s.String()
}

// Attrs is all of them for the log, each under its name.
func (b *Books) Attrs() (all []any) {
	for _, f := range append(b.counters(), b.figures()...) {
		all = append(all, f.name, f.n)
	}
	return all
}

// figuresEvery is how often what the module sees is noted for the operators' figures.
const figuresEvery = 200 * time.Millisecond

// notes keeps the operators' figures of the fleet up to date, from now on.
func (l *Loop) notes() {
	listed, avoided := l.mod.Fleet()
	l.Books.listed.Store(int64(listed))
	l.Books.avoided.Store(int64(avoided))
	l.timers.At(time.Now().Add(figuresEvery), l.notes)
}

// answer books a command's one final answer and hands it to the service client.
func (l *Loop) answer(h *held, a Answer) {
	l.Books.answer(h.class, a.Verdict)
	l.conclude(h)
	h.Client.Answer(a)
	l.forget(h)
}

// conclude marks a command as owed nothing more.
func (l *Loop) conclude(h *held) {
	h.answered = true
	for _, a := range h.attempts {
		a.vain.Store(true)
	}
	l.Books.holding.Add(-1)
}

// forget drops a command that is answered and has no attempt out.
func (l *Loop) forget(h *held) {
	if h.answered && h.out == 0 {
		delete(l.ids, h.ID)
		l.relieved.CompareAndDelete(h.ID, h.Command)
		delete(l.requests, h.request)
	}
}
