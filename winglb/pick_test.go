package winglb

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/connectivity"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

// countingConn is a connection that counts calls of Connect.
type countingConn struct {
	balancer.SubConn
	connects int
}

func (c *countingConn) Connect() { c.connects++ }

// The picker uses the instance chosen for the attempt, but checks again that it may be sent: a process that was
// stopped in between must not use an expired lease or a draining encoder. It never picks a connection twice for one
// attempt, and never blocks.
func TestPickRechecksThatTheAttemptMayBeSent(t *testing.T) {
	f := &fleet{instances: map[string]*instance{"s-1": {"x:1", decide.Ready}}, cordoned: map[string]bool{}}
	c := &countingConn{}
	p := picker{&policy{subs: map[string]*encoderConn{"s-1": {conn: c, state: connectivity.Ready}}}}
	pick := func(change func(*attempt)) (*attempt, error) {
		a := &attempt{fleet: f, dispatched: &dispatch.Attempt{Command: &dispatch.Command{}}, instance: "s-1"}
		if change != nil {
			change(a)
		}
		r, err := p.Pick(balancer.PickInfo{Ctx: context.WithValue(t.Context(), attemptKey{}, a)})
		if err == nil {
			require.Same(t, c, r.SubConn)
		}
		return a, err
	}
	a, err := pick(nil)
	require.NoError(t, err)
	_, err = p.Pick(balancer.PickInfo{Ctx: context.WithValue(t.Context(), attemptKey{}, a)})
	require.ErrorIs(t, err, errResend, "transparent retry by grpc")
	require.Equal(t, decide.NotSent, a.outcome(err, nil), "it never ran")
	_, err = p.Pick(balancer.PickInfo{Ctx: t.Context()})
	require.ErrorIs(t, err, errNoAttempt)
	_, err = pick(func(a *attempt) { a.instance = "s-9" })
	require.ErrorIs(t, err, errUnknown)

	a, err = pick(func(a *attempt) { a.dispatched.SendUntil = time.Now().Add(-time.Millisecond) })
	require.ErrorIs(t, err, errNotAllowed, "the lease has expired")
	require.Equal(t, decide.NotSent, a.outcome(err, nil))
	_, err = pick(func(a *attempt) { a.dispatched.SendUntil = time.Now().Add(time.Hour) })
	require.NoError(t, err)
	f.cordoned["s-1"] = true
	_, err = pick(nil)
	require.ErrorIs(t, err, errNotAllowed, "cordoned")
	delete(f.cordoned, "s-1")
	f.instances["s-1"].state = decide.Draining
	_, err = pick(nil)
	require.ErrorIs(t, err, errNotAllowed, "draining")
	f.instances["s-1"].state = decide.Ready

	p.policy.subs["s-1"].state = connectivity.Idle
	_, err = pick(nil)
	require.ErrorIs(t, err, balancer.ErrNoSubConnAvailable)
	require.Equal(t, 1, c.connects)
	p.policy.subs["s-1"].state = connectivity.TransientFailure
	a, err = pick(nil)
	require.Error(t, err)
	require.Equal(t, decide.ConnectFailed, a.outcome(err, nil))
}
