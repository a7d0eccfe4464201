package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
)

type gate struct{ asked, never []*Attempt }

func (g *gate) Ask(a *Attempt)      { g.asked = append(g.asked, a) }
func (g *gate) Begin(*Attempt) bool { return true }
func (g *gate) Never(a *Attempt)    { g.never = append(g.never, a) }

// gatedBegin is begin with a command that has a gate.
func gatedBegin(t *testing.T) (*Loop, *fleet, *client, *gate) {
	f, c, g := &fleet{}, &client{}, &gate{}
	l := loop(t, f)
	l.Listed(List{Members: []Member{{ID: "s-1", State: decide.Ready}, {ID: "s-2", State: decide.Ready}}}, true)
	l.Take(&Command{ID: "p~1", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: c, Gate: g})
	l.runBatch()
	require.Len(t, g.asked, 1)
	require.Empty(t, f.sent, "nothing goes out before its intent counts")
	return l, f, c, g
}

// One that is given up while it waits is not sent when the word comes, no instance is told, and it counts as never sent.
func TestNothingPassesTheGateLate(t *testing.T) {
	l, f, _, g := gatedBegin(t)
	a := g.asked[0]
	l.cancelAttempt(decide.Cancel{Request: a.request})
	l.Pass(a, func() bool { return true })
	l.runBatch()
	require.Empty(t, f.sent)
	require.Empty(t, f.givenUp)
	require.Equal(t, []*Attempt{a}, g.never)

	l, f, _, g = gatedBegin(t)
	l.Pass(g.asked[0], func() bool { return false })
	l.runBatch()
	require.True(t, f.sent[0].Expired(time.Now()), "whoever sends looks again")
	l.Ended(f.sent[0], decide.Moot, 0)
	l.runBatch()
	require.Equal(t, f.sent, g.never)
}

// Guards against the module taking the time at the gate for an instance's: it is told which commands have one, and who passed.
func TestModuleKnowsOfTheGate(t *testing.T) {
	l, _, _, g := gatedBegin(t)
	a := g.asked[0]
	l.Pass(a, func() bool { return true })
	(<-l.inbox)(l)
	require.Equal(t, []decide.Event{decide.Passed{Request: a.request, Attempt: 0}}, l.events)
	require.True(t, l.mod.Memory().Requests[0].Gated)
}

// What the module gives up as late is no failure while all of it waits at the gate: it has not run, and the gate hears of
// that before the client does. Once one is let through, nobody knows.
func TestGivenUpAtTheGateHasNotRun(t *testing.T) {
	for _, passed := range []bool{false, true} {
		l, f, c, g := gatedBegin(t)
		if passed {
			l.Pass(g.asked[0], func() bool { return true })
			l.runBatch()
		}
		l.failRequest(decide.FailRequest{Request: g.asked[0].request})
		require.Len(t, c.answers, 1)
		require.Equal(t, map[bool]Verdict{false: Refused, true: Failed}[passed], c.answers[0].Verdict)
		require.Len(t, g.never, map[bool]int{false: 1}[passed])
		l.Pass(g.asked[0], func() bool { return true })
		l.runBatch()
		require.Len(t, f.sent, map[bool]int{true: 1}[passed])
	}
}

// What is abandoned is not taken back from its instance, and its call-back goes to whoever asks for strays. A newer
// process is not handed it, and nothing waits on at the gate of the older one.
func TestAbandonedAndYielded(t *testing.T) {
	l, f, c, g := gatedBegin(t)
	var strays []News
	l.StraysTo(func(n News) bool { strays = append(strays, n); return true })
	l.Pass(g.asked[0], func() bool { return true })
	l.runBatch()
	l.Abandon(f.sent[0].Command)
	l.runBatch()
	l.News(News{ID: "p~1", From: "s-1", State: Done})
	l.runBatch()
	require.Empty(t, f.givenUp)
	require.Empty(t, c.answers)
	require.Empty(t, g.never)
	require.Len(t, strays, 1)
	require.Zero(t, l.Holding())
	require.Empty(t, l.byRequest)

	l, f, _, g = gatedBegin(t)
	l.Yield(func(h Handed) bool { require.Empty(t, h.Commands); return true })
	l.Pass(g.asked[0], func() bool { return true })
	l.runBatch()
	require.Empty(t, f.sent)
	require.Zero(t, l.Holding())
}

// Guards against a member of a gang being cut short by a take-over: the newer process waited for a client's connection for it,
// which it has none, and called it off with the older process's end. What its encoder tells goes to whoever asks for it.
func TestHeldCommandsStayWithTheirEncoder(t *testing.T) {
	f, c := &fleet{}, &client{}
	l := loop(t, f)
	var strays []string
	l.StraysTo(func(n News) bool { return n.ID == "p~1" })
	l.StraysTo(func(n News) bool { strays = append(strays, n.ID); return true })
	l.Listed(List{Members: []Member{{ID: "s-1", State: decide.Ready}}}, true)
	l.Take(&Command{ID: "gang-g-1-0", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: c, Held: true})
	l.News(News{ID: "p~1", From: "s-1", State: Done})
	l.News(News{ID: "gang-h-1-0", From: "s-1", State: Done})
	l.runBatch()
	require.Equal(t, []string{"gang-h-1-0"}, strays)
	require.Len(t, f.sent, 1)
	l.Yield(func(h Handed) bool { require.Empty(t, h.Commands); return true })
	l.runBatch()
	require.Empty(t, f.givenUp)
	require.Equal(t, []bool{true}, c.passed)
	require.Zero(t, l.Holding())
}

// Guards against an attempt that was abandoned or given up while it was about to be sent, was not sent then or was handed back, and
// whose gate never hears of that.
func TestAbandonedAttemptThatNeverRanIsTold(t *testing.T) {
	abandon := func(l *Loop, a *Attempt) { l.Abandon(a.Command) }
	cancel := func(l *Loop, a *Attempt) { l.cancelAttempt(decide.Cancel{Request: a.request}) }
	for o, told := range map[decide.Outcome]bool{decide.Moot: true, decide.Full: true, decide.ConnectFailed: true, decide.Reset: false, decide.Errored: false, decide.TimedOut: false} {
		for _, end := range []func(*Loop, *Attempt){abandon, cancel, (*Loop).expireAttempt} {
			l, f, c, g := gatedBegin(t)
			l.Pass(g.asked[0], func() bool { return true })
			l.runBatch()
			end(l, f.sent[0])
			for range 2 { // told once, however often it ends
				l.Ended(f.sent[0], o, 0)
				l.runBatch()
			}
			require.Len(t, g.never, map[bool]int{true: 1}[told], "outcome %d", o)
			require.Empty(t, c.answers)
		}
	}
}
