package dispatch

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
)

// loopWithReturnedAttempt returns a loop with one command, c1, whose attempt at the only instance was returned on connection
// 1, and which has sent it there again.
func loopWithReturnedAttempt(t *testing.T, effect decide.Effect, window time.Duration) (*Loop, *fleet, *client) {
	f, c := &fleet{}, &client{}
	l := newTestLoop(t, f)
	l.settings.Classes = slices.Clone(l.settings.Classes)
	class := &l.settings.Classes[0]
	class.Effect, class.DedupWindow, class.Aim, class.LateWorth = effect, window, time.Millisecond, 1 // a short aim, for short pauses between attempts
	require.NoError(t, l.mod.Reconfigure(l.settings))
	l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Ready}}}, true)
	l.Submit(&Command{ID: "c1", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: c})
	l.runBatch()
	require.Len(t, f.sent, 1)
	l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Returned, Connection: 1})
	awaitSent(t, l, f, 2)
	return l, f, c
}

// awaitSent runs a loop until it has sent n attempts.
func awaitSent(t *testing.T, l *Loop, f *fleet, n int) {
	t.Helper()
	require.Eventually(t, func() bool { l.runBatch(); return len(f.sent) == n }, 20*time.Second, time.Millisecond)
}

// Guards against a repeated callback that tells of a returned attempt ending the attempt that was sent to the same
// instance afterwards, whereupon a command that must not run twice was sent a third time.
func TestRepeatedReturnDoesNotEndLaterAttempt(t *testing.T) {
	for name, step := range map[string]struct {
		effect  decide.Effect
		window  time.Duration
		between func(*Loop)
	}{
		"unsafe":                {effect: decide.Unsafe},
		"unsafe, running":       {effect: decide.Unsafe, between: func(l *Loop) { l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Started}) }},
		"keyed, window is over": {effect: decide.Keyed, window: time.Nanosecond},
	} {
		l, f, c := loopWithReturnedAttempt(t, step.effect, step.window)
		if step.between != nil {
			step.between(l)
		}
		l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Returned, Connection: 2})
		l.runBatch()
		require.False(t, f.sent[1].ended, name)
		require.Empty(t, f.cancelled, name)
		l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Done, Result: []byte("r")})
		l.runBatch()
		require.Equal(t, []Answer{{Verdict: Served, Result: []byte("r"), Instance: "s-1"}}, c.answers, name)
		require.Len(t, f.sent, 2, name)
	}
}

// Guards against the same where the later attempt was handed over to another process, which an older process may tell of
// the repeated callback.
func TestRepeatedReturnDoesNotEndLaterAttemptOfNewerProcess(t *testing.T) {
	older, f, _ := loopWithReturnedAttempt(t, decide.Unsafe, 0)
	older.AttemptAccepted(f.sent[1])
	older.runBatch()
	l := newTestLoop(t, f)
	l.settings = older.settings
	require.NoError(t, l.mod.Reconfigure(l.settings))
	older.HandOver(func(state HandoverState) bool {
		text, err := json.Marshal(state.Commands[0])
		require.NoError(t, err)
		command := &HandoverCommand{}
		require.NoError(t, json.Unmarshal(text, command))
		command.Client = &client{}
		state.Commands[0] = command
		l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Ready}}}, true)
		l.TakeOver(state)
		return true
	})
	older.runBatch()
	l.runBatch()
	l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Returned, Via: FromOlderProcess})
	l.runBatch()
	require.False(t, l.byID["c1"].attempts[1].ended)
}

// A command that its only instance returns again, on a connection on which it has read the answer to its last callback,
// is still served.
func TestCommandReturnedAgainIsServed(t *testing.T) {
	l, f, c := loopWithReturnedAttempt(t, decide.Unsafe, 0)
	l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Returned, Connection: 1})
	awaitSent(t, l, f, 3)
	l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Done})
	l.runBatch()
	require.Equal(t, Served, c.answers[0].Verdict)
}

// A command that may be repeated is sent again when either of its attempts may have been returned, but not to an instance
// that may still have the later one.
func TestRepeatableCommandIsCancelledWhereItMayHaveBeenReturned(t *testing.T) {
	for effect, window := range map[decide.Effect]time.Duration{decide.Safe: 0, decide.Keyed: time.Hour} {
		l, f, c := loopWithReturnedAttempt(t, effect, window)
		l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Returned, Connection: 2})
		l.runBatch()
		require.Equal(t, f.sent[1:], f.cancelled)
		require.True(t, l.byID["c1"].mayBeAt("s-1", nil), "the cancellation is not confirmed")
		f.sent[1].CancelConfirmed()
		awaitSent(t, l, f, 3)
		l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Done})
		l.runBatch()
		require.Equal(t, Served, c.answers[0].Verdict)
	}
}

// Guards against a late callback on an attempt that was cancelled ending the next one at that instance, which still has
// it and must not get a third.
func TestLateFailureOfCancelledAttempt(t *testing.T) {
	for _, state := range []JobState{Errored, Lost} {
		l, f, _ := loopWithCommand(t)
		l.cancelAttempt(decide.Cancel{Request: f.sent[0].request})
		f.sent[0].CancelConfirmed()
		l.startAttempt(decide.Send{Request: f.sent[0].request, Worker: l.workerID("s-1")}, time.Now())
		require.Len(t, f.sent, 2)
		l.HandleCallback(Callback{ID: "c1", From: "s-1", State: state})
		l.runBatch()
		require.Equal(t, f.sent, f.cancelled)
		require.True(t, l.byID["c1"].mayBeAt("s-1", nil))
	}
}

// Guards against a second copy where copies are not allowed: an attempt that ends by a callback on an earlier one may
// still run, and its cancellation may take longer to reach its instance than the next attempt takes to reach another.
func TestNoCopyBeforeCancelIsConfirmed(t *testing.T) {
	for parallel, sent := range map[bool]int{false: 2, true: 3} {
		l, f, _ := loopWithCommand(t)
		l.settings.Limits.ParallelAttempts = parallel
		l.cancelAttempt(decide.Cancel{Request: f.sent[0].request})
		f.sent[0].CancelConfirmed()
		l.startAttempt(decide.Send{Request: f.sent[0].request, Worker: l.workerID("s-1")}, time.Now())
		l.HandleCallback(Callback{ID: "c1", From: "s-1", State: Lost})
		l.runBatch()
		toOther := decide.Send{Request: f.sent[0].request, Worker: l.workerID("s-2")}
		l.startAttempt(toOther, time.Now())
		require.Len(t, f.sent, sent)
		f.sent[1].CancelConfirmed()
		l.startAttempt(toOther, time.Now())
		require.Len(t, f.sent, 3)
	}
}
