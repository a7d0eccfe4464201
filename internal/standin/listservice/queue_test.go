package listservice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Calls are answered in turn; one that has waited too long fails, and those behind it wait for its work all the same.
func TestCallsInTurn(t *testing.T) {
	q := Queue{Work: 400 * time.Millisecond, Patience: time.Second}
	now := time.Unix(1000, 0)
	for i, want := range []struct {
		after time.Duration
		ok    bool
	}{{400, true}, {800, true}, {1200, true}, {1000, false}, {1000, false}} {
		at, ok := q.Arrive(now)
		require.Equal(t, want.after*time.Millisecond, at.Sub(now), i)
		require.Equal(t, want.ok, ok, i)
	}
	now = now.Add(1100 * time.Millisecond) // 900 ms of work are left
	at, ok := q.Arrive(now)
	require.True(t, ok)
	require.Equal(t, 1300*time.Millisecond, at.Sub(now))
	q.Forget(now)
	at, _ = q.Arrive(now)
	require.Equal(t, 400*time.Millisecond, at.Sub(now))
	require.Equal(t, []int{7, 2, 6}, []int{q.Ledger.Calls, q.Ledger.Failed, int(q.Ledger.Busiest + 1)})
	require.Equal(t, 800*time.Millisecond, q.Ledger.Wasted)
}
