package dispatch

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/wire"
)

// fleet records what it is asked to do. The loop under test is run step by step, without a goroutine.
type fleet struct {
	sent, cancelled []*Attempt
	updates         []AttemptUpdate
	disconnected    []string
}

func (f *fleet) Send(a *Attempt)               { f.sent = append(f.sent, a) }
func (f *fleet) Cancel(a *Attempt)             { f.cancelled = append(f.cancelled, a) }
func (f *fleet) Probe(string)                  {}
func (f *fleet) CloseIdle(string)              {}
func (f *fleet) Subscribe()                    {}
func (f *fleet) ForwardCallback(Callback) bool { return false }
func (f *fleet) ForwardUpdate(t AttemptUpdate) { f.updates = append(f.updates, t) }
func (f *fleet) ForwardClientGone(id string)   { f.disconnected = append(f.disconnected, id) }

type client struct {
	answers    []Answer
	handedOver []bool
}

func (c *client) Answer(a Answer)      { c.answers = append(c.answers, a) }
func (c *client) HandOver(handed bool) { c.handedOver = append(c.handedOver, handed) }

type retryClient struct {
	client
	mayRetry bool
}

func (r *retryClient) MayRetry() bool { return r.mayRetry }

// loopWithCommand returns a loop that has received one command of a safe class and sent it to s-1.
func loopWithCommand(t *testing.T) (*Loop, *fleet, *client) {
	f, c := &fleet{}, &client{}
	l := newTestLoop(t, f)
	l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Ready}}}, true)
	l.Submit(&Command{ID: "c1", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: c})
	l.runBatch()
	require.Len(t, f.sent, 1)
	return l, f, c
}

func newTestLoop(t *testing.T, f *fleet) *Loop {
	l, err := New(decide.Settings{
		DispatcherCount: 1, Granularity: time.Millisecond, Limits: decide.Limits{MaxAttempts: 3, Cancel: true},
		Classes: []decide.Class{{Aim: time.Minute, Deadline: time.Hour, Worth: 1, Kind: decide.Any}},
		Rules:   decide.Rules{Cold: time.Second, FallWindow: time.Second, MustAskIn: time.Second},
	}, wire.Names{Classes: []string{"safe"}}, f, f, f, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return l
}

// The result of a cancelled attempt is not served, and nothing is counted twice.
func TestLateAndRepeatedCallbacksAreCountedOnce(t *testing.T) {
	l, f, c := loopWithCommand(t)
	l.cancelAttempt(decide.Cancel{Request: f.sent[0].request})
	require.Equal(t, f.sent, f.cancelled)
	l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Done, Result: []byte("late")})
	l.AttemptEnded(f.sent[0], decide.Reset, 0)
	l.events = nil
	l.runBatch()
	require.Empty(t, c.answers)
	require.EqualValues(t, []int64{1, 0, 1}, []int64{l.Counters.outcomes[decide.Cancelled].Load(), l.Counters.outcomes[decide.Reset].Load(), l.Counters.UnmatchedCallbacks.Load()})
}

// A command has at most one attempt at an instance at a time: a second one waits until the instance has
// confirmed the cancellation of the first, which is sent on a separate connection.
func TestNoSecondAttemptBeforeCancelIsConfirmed(t *testing.T) {
	l, f, _ := loopWithCommand(t)
	s := decide.Send{Request: f.sent[0].request, Worker: l.workerID("s-1")}
	l.cancelAttempt(decide.Cancel{Request: s.Request})
	l.startAttempt(s, time.Now())
	require.Len(t, f.sent, 1)
	require.EqualValues(t, 1, l.Counters.outcomes[decide.NotSent].Load())
	f.sent[0].CancelConfirmed()
	l.startAttempt(s, time.Now())
	require.Len(t, f.sent, 2)
}

// A cancellation that is in transit during a handover, or an attempt whose response breaks off after the handover, keeps
// the newer process from a second attempt at that instance, for good: it is not notified of the confirmation.
func TestNoSecondAttemptAfterHandoverOfUnconfirmedCancel(t *testing.T) {
	for name, cancel := range map[string]struct{ before, after func(older *Loop, a *Attempt) }{
		"cancelled before": {before: func(older *Loop, a *Attempt) { older.cancelAttempt(decide.Cancel{Request: a.request}) }},
		"broken response after": {after: func(older *Loop, a *Attempt) {
			a.CancelPending()
			older.AttemptEnded(a, decide.Reset, 0)
		}},
	} {
		older, f, _ := loopWithCommand(t)
		l, first := newTestLoop(t, f), f.sent[0]
		older.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Draining}}}, true) // so that the older process does not send it again
		older.runBatch()
		if cancel.before != nil {
			cancel.before(older, first)
		}
		older.HandOver(func(state HandoverState) bool {
			state.Commands[0].Client = &client{}
			l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Ready}, {ID: "s-2", State: decide.Ready}}}, true)
			l.TakeOver(state)
			return true
		})
		older.runBatch()
		if cancel.after != nil {
			cancel.after(older, first)
			older.runBatch()
			l.UpdateAttempt(f.updates[0])
		}
		l.runBatch()
		l.timers.Fire(time.Now().Add(time.Minute)) // longer than any cancellation takes
		request := l.byID["c1"].request
		for _, id := range []string{"s-1", "s-2"} { // s-2 possibly a second time
			l.startAttempt(decide.Send{Request: request, Worker: l.workerID(id)}, time.Now())
		}
		require.Len(t, f.sent, 2, name)
		require.Equal(t, "s-2", f.sent[1].Instance, name)
	}
}

// Checks that an attempt that still waits for its connection expires when its client disconnects or its command is
// answered, even where cancellation is disabled.
func TestAttemptExpiresWithItsCommand(t *testing.T) {
	for name, finish := range map[string]func(*Loop, *Attempt){
		"disconnected": func(l *Loop, a *Attempt) { l.ClientGone(a.Command) },
		"answered":     func(l *Loop, a *Attempt) { l.failRequest(decide.FailRequest{Request: a.request}) },
	} {
		l, f, _ := loopWithCommand(t)
		s := l.settings
		s.Limits.Cancel = false
		require.NoError(t, l.mod.Reconfigure(s))
		require.False(t, f.sent[0].Expired(time.Now()), name)
		finish(l, f.sent[0])
		l.runBatch()
		require.Empty(t, f.cancelled, name)
		require.True(t, f.sent[0].Expired(time.Now()), name)
	}
}

// Nothing of a command remains once it is answered, cancelled or past its deadline.
func TestNothingRemainsOfFinishedCommand(t *testing.T) {
	for name, finish := range map[string]func(*Loop, *Attempt){
		"served":       func(l *Loop, a *Attempt) { l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Done}) },
		"disconnected": func(l *Loop, a *Attempt) { l.ClientGone(a.Command) },
		"timed out":    func(l *Loop, a *Attempt) { l.expireAttempt(a); l.failRequest(decide.FailRequest{Request: a.request}) },
	} {
		l, f, c := loopWithCommand(t)
		finish(l, f.sent[0])
		l.runBatch()
		require.Empty(t, l.byID, name)
		require.Empty(t, l.byRequest, name)
		require.Zero(t, l.Pending(), name)
		require.Len(t, c.answers, map[string]int{"served": 1, "disconnected": 0, "timed out": 1}[name], name)
	}
}

// At shutdown no command is left waiting: those that may be retried safely or were never sent are refused, all
// others fail, and their attempts are cancelled.
func TestShutdownAnswersAllCommands(t *testing.T) {
	for repeats, want := range map[bool]Verdict{true: Refused, false: Failed} {
		f, c := &fleet{}, &retryClient{mayRetry: repeats}
		l := newTestLoop(t, f)
		l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Ready}}}, true)
		l.Submit(&Command{ID: "c1", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: c})
		l.runBatch()
		require.Len(t, f.sent, 1)
		l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Draining}}}, true)
		waiting := &client{}
		l.Submit(&Command{ID: "c2", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: waiting})
		l.runBatch()
		for range 2 {
			l.AnswerAll()
			l.runBatch()
		}
		require.Equal(t, []Answer{{Verdict: want}}, c.answers)
		require.Equal(t, []Verdict{Refused}, []Verdict{waiting.answers[0].Verdict})
		require.Equal(t, f.sent, f.cancelled)
		require.Empty(t, l.byRequest)
		require.Zero(t, l.Pending())
	}
}

// The newer process continues what is handed over: each outcome is counted there once, including that of an
// attempt no instance had accepted yet, whether the older process reports it or exits.
func TestHandover(t *testing.T) {
	for name, then := range map[string]func(l *Loop){
		"attempts_ok": func(l *Loop) {
			l.UpdateAttempt(AttemptUpdate{ID: "c1", Accepted: true})
			l.OlderProcessGone() // then the older process's connection is no longer needed
			l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Done})
		},
		"attempts_errored": func(l *Loop) { l.UpdateAttempt(AttemptUpdate{ID: "c1", Outcome: decide.Errored}) },
		"attempts_reset":   func(l *Loop) { l.OlderProcessGone() },
	} {
		older, f, c := loopWithCommand(t)
		l, c2 := newTestLoop(t, f), &client{}
		older.HandOver(func(state HandoverState) bool {
			text, err := json.Marshal(state)
			require.NoError(t, err)
			cmds := state.Commands
			state = HandoverState{}
			require.NoError(t, json.Unmarshal(text, &state))
			for _, cmd := range cmds {
				text, err := json.Marshal(cmd)
				require.NoError(t, err)
				cmd = &HandoverCommand{}
				require.NoError(t, json.Unmarshal(text, cmd))
				cmd.Client = c2
				state.Commands = append(state.Commands, cmd)
			}
			l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Ready}}}, true)
			l.TakeOver(state)
			return true
		})
		older.Submit(&Command{ID: "c2", Class: "safe", Client: c})
		older.runBatch()
		older.AttemptEnded(f.sent[0], decide.Reset, 0)
		older.ClientGone(f.sent[0].Command)
		older.runBatch()
		require.Equal(t, []bool{true, false}, c.handedOver, "a command still queued must be passed on as a whole")
		require.Empty(t, c.answers)
		require.Zero(t, older.Pending())
		require.Equal(t, []AttemptUpdate{{ID: "c1", Outcome: decide.Reset}}, f.updates)
		require.Equal(t, []string{"c1"}, f.disconnected)
		l.runBatch()
		require.EqualValues(t, 1, l.Pending())
		l.Submit(&Command{ID: "c1", Class: "safe", Client: c})
		l.runBatch()
		require.Equal(t, []Answer{{Verdict: Unusable}}, c.answers, "a command with the same ID is already pending")
		for range 2 {
			then(l)
			l.runBatch()
		}
		require.Contains(t, l.Counters.String(), name+" 1\n")
		require.Equal(t, name == "attempts_ok", len(c2.answers) == 1 && c2.answers[0].Verdict == Served)
	}
}

// Classes and tenants are identified by name: reordering, removing, restoring or adding some does not renumber
// those of pending commands, and each name keeps its counts.
func TestReloadKeepsNumbersOfNames(t *testing.T) {
	l, f, c := loopWithCommand(t)
	names := func(n ...string) {
		s := l.settings
		s.Classes, s.Tenants = nil, nil
		for range n {
			s.Classes = append(s.Classes, decide.Class{Aim: time.Minute, Deadline: time.Hour, Worth: 1, Kind: decide.Any})
		}
		require.NoError(t, l.reconfigure(l.mapSettings(s, wire.Names{Classes: n})))
	}
	take := func(id, class string) *client {
		c := &client{}
		l.Submit(&Command{ID: id, Class: class, Deadline: time.Now().Add(time.Hour), Client: c})
		l.runBatch()
		return c
	}
	names("new", "other")
	require.Equal(t, []Answer{{Verdict: Unusable}}, take("c2", "safe").answers, "the class was removed")
	l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Done})
	l.runBatch()
	require.Equal(t, Served, c.answers[0].Verdict, "a pending command must continue")
	require.Contains(t, l.Counters.OperatorCounters(), "proxy.passed.safe=1\n")
	take("c3", "new")
	l.HandleCallback(Callback{ID: "c3", From: "s-1", State: Done})
	l.runBatch()
	names("other", "safe")
	take("c4", "safe")
	l.HandleCallback(Callback{ID: "c4", From: "s-1", State: Done})
	l.runBatch()
	require.Len(t, f.sent, 3)
	for _, counter := range []string{"passed.safe=2", "bad_gateway.safe=1", "passed.new=1", "passed.other=0"} {
		require.Contains(t, l.Counters.OperatorCounters(), "proxy."+counter+"\n")
	}
	s := l.settings
	s.Limits.MaxAttempts = 0
	require.Error(t, l.reconfigure(l.mapSettings(s, l.allNames)))
	require.Equal(t, 3, l.settings.Limits.MaxAttempts, "rejected settings must not apply")
}

// Names that are not in the settings get an index past all that are.
func TestUnknownNamesIndexPastTheEnd(t *testing.T) {
	require.Equal(t, []int{1, 2}, []int{indexOrLen([]string{"a", "b"}, "b"), indexOrLen([]string{"a", "b"}, "c")})
}

// Operators know instances by their IDs in discovery.
func TestLogNamesInstanceIDs(t *testing.T) {
	l, _, _ := loopWithCommand(t)
	known := fmt.Sprintf("worker %d suspected", l.workerID("s-1"))
	require.Equal(t, "instance s-1 suspected", l.withInstanceIDs(known))
	require.Equal(t, "worker 99999999999 is not ours", l.withInstanceIDs("worker 99999999999 is not ours"))
}

// Checks that the timer of an attempt's deadline is removed when the attempt ends. It references the whole command:
// if it stays until the deadline, memory use grows with the request rate times the clients' time limit.
func TestNoTimersRemainOfEndedCommands(t *testing.T) {
	f := &fleet{}
	l := newTestLoop(t, f)
	l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Ready}}}, true)
	l.runBatch()
	idle := l.timers.Len()
	for i := range 500 {
		l.Submit(&Command{ID: fmt.Sprint("c", i), Class: "safe", Deadline: time.Now().Add(time.Hour), Client: &client{}})
		l.runBatch()
		require.Len(t, f.sent, i+1)
		l.HandleCallback(Callback{ID: fmt.Sprint("c", i), From: "s-1", State: Done})
		l.runBatch()
	}
	require.Empty(t, l.byRequest)
	require.LessOrEqual(t, l.timers.Len(), idle+1, "timers of ended commands are kept, besides the decision module's timer")
}
