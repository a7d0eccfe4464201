package dispatch

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
)

// processOne has the loop process the oldest queued message only.
func processOne(l *Loop) { (<-l.inbox)(l) }

// requireCancelledOnce fails unless exactly one command was cancelled without an answer, and nothing of it is
// kept.
func requireCancelledOnce(t *testing.T, l *Loop, c *client) {
	l.runBatch()
	require.EqualValues(t, 1, l.Counters.Cancelled.Load())
	require.Empty(t, c.answers)
	require.Empty(t, l.byRequest)
	require.Zero(t, l.Pending())
}

// Checks that a loop that is behind starts no attempts for clients that have disconnected: a disconnect counts
// before the loop processes its message, for an attempt that waits for a connection or at its gate, for a further
// attempt, and for a command that the loop has not processed yet.
func TestDisconnectCountsBeforeLoopProcessesIt(t *testing.T) {
	t.Run("during an attempt", func(t *testing.T) {
		l, f, c := loopWithCommand(t)
		require.False(t, f.sent[0].Expired(time.Now()))
		l.ClientGone(f.sent[0].Command)
		require.True(t, f.sent[0].Expired(time.Now()))
		l.AttemptEnded(f.sent[0], decide.NotSent, 0)
		requireCancelledOnce(t, l, c)
	})
	t.Run("between two attempts", func(t *testing.T) {
		l, f, c := loopWithCommand(t)
		l.AttemptEnded(f.sent[0], decide.Reset, 0)
		processOne(l)
		l.handleEvents()
		l.ClientGone(f.sent[0].Command)
		l.startAttempt(decide.Send{Request: f.sent[0].request, Worker: l.workerID("s-1")}, time.Now())
		for len(l.events) > 0 {
			l.handleEvents()
		}
		require.Len(t, f.sent, 1)
		require.EqualValues(t, 2, l.Counters.Sent.Load(), "the decision module requested it")
		requireCancelledOnce(t, l, c)
	})
	t.Run("before the loop processes the command", func(t *testing.T) {
		f, c := &fleet{}, &client{}
		l := newTestLoop(t, f)
		l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Ready}}}, true)
		cmd := &Command{ID: "c1", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: c}
		l.Submit(cmd)
		l.ClientGone(cmd)
		processOne(l)
		processOne(l)
		require.Empty(t, l.byRequest)
		requireCancelledOnce(t, l, c)
		require.Empty(t, f.sent)
	})
	t.Run("at the gate", func(t *testing.T) {
		l, f, c, g := loopWithGatedCommand(t)
		l.AllowSend(g.requested[0], func() bool { return true })
		l.ClientGone(g.requested[0].Command)
		processOne(l)
		require.Empty(t, f.sent)
		require.Equal(t, g.requested, g.neverRan)
		requireCancelledOnce(t, l, c)
	})
}

// A disconnect that the older process sees, of a client whose command was handed over, takes effect in the newer
// process at once as well.
func TestDisconnectSeenByOlderProcessCountsAtOnce(t *testing.T) {
	older, f, c := loopWithCommand(t)
	l, c2 := newTestLoop(t, f), &client{}
	var cmd *HandoverCommand
	older.HandOver(func(state HandoverState) bool {
		cmd = state.Commands[0]
		cmd.Client = c2
		l.TakeOver(state)
		return true
	})
	older.runBatch()
	require.Equal(t, []bool{true}, c.handedOver)
	l.ClientGoneByID("c1")
	require.True(t, (&Attempt{Command: &cmd.Command}).Expired(time.Now()))
	require.False(t, f.sent[0].Expired(time.Now()), "the older process keeps a disconnect flag of its own")
	l.UpdateAttempt(AttemptUpdate{ID: "c1", Outcome: decide.NotSent})
	requireCancelledOnce(t, l, c2)
	_, kept := l.takenOver.Load("c1")
	require.False(t, kept)
}

// The copy that is sent to another process contains all data of a command, without the disconnect flag, which
// this process may set concurrently.
func TestEncodableCopyOfCommand(t *testing.T) {
	c := &Command{Payload: "p", Client: &client{}, Gate: &gate{}, Candidates: []string{"s-1"}, Deadline: time.Now()}
	for v, i := reflect.ValueOf(c).Elem(), 0; i < v.NumField(); i++ {
		switch f := v.Field(i); f.Kind() {
		case reflect.String:
			f.SetString("x")
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Uint64:
			f.SetUint(1)
		case reflect.Int64:
			f.SetInt(1)
		case reflect.Float64:
			f.SetFloat(1)
		default:
			require.False(t, f.IsZero() && v.Type().Field(i).IsExported(), v.Type().Field(i).Name)
		}
	}
	got := c.encodableCopy()
	require.Equal(t, c, &got)
	want, err := json.Marshal(c)
	require.NoError(t, err)
	text, err := json.Marshal(&got)
	require.NoError(t, err)
	require.Equal(t, string(want), string(text))
	c.clientGone.Store(true)
	copied := c.encodableCopy()
	require.False(t, copied.clientGone.Load())
}
