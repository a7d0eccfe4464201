package dispatch

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
)

// turn has the loop take the message that has waited longest, and no other.
func turn(l *Loop) { (<-l.inbox)(l) }

// lapsedOnce fails unless one command has lapsed, unanswered, and nothing of it is kept.
func lapsedOnce(t *testing.T, l *Loop, c *client) {
	l.runBatch()
	require.EqualValues(t, 1, l.Books.Lapsed.Load())
	require.Empty(t, c.answers)
	require.Empty(t, l.byRequest)
	require.Zero(t, l.Holding())
}

// A loop that was behind began attempts for clients that had gone: their leaving counts before the loop hears of it, for an
// attempt that waits for its connection, at its gate, for a further one and for a command that the loop has not seen.
func TestLeavingCountsBeforeTheLoopHearsOfIt(t *testing.T) {
	t.Run("under an attempt", func(t *testing.T) {
		l, f, c := begin(t)
		require.False(t, f.sent[0].Expired(time.Now()))
		l.Lapse(f.sent[0].Command)
		require.True(t, f.sent[0].Expired(time.Now()))
		l.Ended(f.sent[0], decide.Moot, 0)
		lapsedOnce(t, l, c)
	})
	t.Run("between two attempts", func(t *testing.T) {
		l, f, c := begin(t)
		l.Ended(f.sent[0], decide.Reset, 0)
		turn(l)
		l.handleEvents()
		l.Lapse(f.sent[0].Command)
		l.startAttempt(decide.Send{Request: f.sent[0].request, Worker: l.workerID("s-1")}, time.Now())
		for len(l.events) > 0 {
			l.handleEvents()
		}
		require.Len(t, f.sent, 1)
		require.EqualValues(t, 2, l.Books.Sent.Load(), "it was asked for")
		lapsedOnce(t, l, c)
	})
	t.Run("before the loop has the command", func(t *testing.T) {
		f, c := &fleet{}, &client{}
		l := loop(t, f)
		l.Listed(List{Members: []Member{{ID: "s-1", State: decide.Ready}}}, true)
		cmd := &Command{ID: "c1", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: c}
		l.Take(cmd)
		l.Lapse(cmd)
		turn(l)
		turn(l)
		require.Empty(t, l.byRequest)
		lapsedOnce(t, l, c)
		require.Empty(t, f.sent)
	})
	t.Run("at the gate", func(t *testing.T) {
		l, f, c, g := gatedBegin(t)
		l.Pass(g.asked[0], func() bool { return true })
		l.Lapse(g.asked[0].Command)
		turn(l)
		require.Empty(t, f.sent)
		require.Equal(t, g.asked, g.never)
		lapsedOnce(t, l, c)
	})
}

// The older process saw a client leave whose command had changed hands: that counts in the newer one at once, too.
func TestLeavingElsewhereCountsAtOnce(t *testing.T) {
	older, f, c := begin(t)
	l, c2 := loop(t, f), &client{}
	var cmd *HandedCommand
	older.Yield(func(given Handed) bool {
		cmd = given.Commands[0]
		cmd.Client = c2
		l.Relieve(given)
		return true
	})
	older.runBatch()
	require.Equal(t, []bool{true}, c.passed)
	l.LapseElsewhere("c1")
	require.True(t, (&Attempt{Command: &cmd.Command}).Expired(time.Now()))
	require.False(t, f.sent[0].Expired(time.Now()), "the older process has its own mark")
	l.Became(Fate{ID: "c1", Outcome: decide.Moot})
	lapsedOnce(t, l, c2)
	_, kept := l.takenOver.Load("c1")
	require.False(t, kept)
}

// What goes to another process is all that a command says, and not the mark, which this one may set meanwhile.
func TestFieldsOfACommand(t *testing.T) {
	c := &Command{Payload: "p", Client: &client{}, Gate: &gate{}, Order: []string{"s-1"}, Deadline: time.Now()}
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
