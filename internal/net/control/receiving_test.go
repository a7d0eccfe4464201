package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/stats"
)

// Guards against calls whose message never ends keeping others out: the oldest gives way, and a call whose message has come
// is never cancelled.
func TestStalledCallsGiveWay(t *testing.T) {
	r := &receivingCalls{}
	begin := func() (context.Context, *receivingCall) {
		ctx, err := r.tap(t.Context(), nil)
		require.NoError(t, err)
		r.HandleRPC(ctx, &stats.Begin{})
		return ctx, ctx.Value(receivingCallKey{}).(*receivingCall)
	}
	received, _ := begin()
	r.HandleRPC(received, &stats.InPayload{})
	var all []context.Context
	for range maxReceiving {
		ctx, _ := begin()
		all = append(all, ctx)
		require.NoError(t, all[0].Err(), "none has waited for long")
	}
	begin()
	require.Error(t, all[0].Err())
	require.NoError(t, all[1].Err())
	r.calls[0].since = time.Now().Add(-stalledAfter)
	r.HandleRPC(all[2], &stats.End{})
	begin()
	require.Error(t, all[1].Err(), "it has waited for long")
	require.NoError(t, all[3].Err())
	require.NoError(t, received.Err())
	require.LessOrEqual(t, len(r.calls), maxReceiving)
}
