package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/tap"
)

// A call whose first message has come in part only holds up to the memory of a whole message, on each of many streams and
// connections. The number of such calls is bounded over all connections. A call counts from the moment at which its message
// is read, so that one whose message is there does not count for long, however many calls come at once.

const (
	maxStalled     = 16                     // calls that have been receiving for stalledAfter
	stalledAfter   = 100 * time.Millisecond // beyond that a call gives way to new ones
	maxReceiving   = 48                     // calls in all; beyond that the oldest gives way
	receiveTimeout = 5 * time.Second        // for a first message
)

// receivingCalls holds the calls whose first message has not been received completely.
type receivingCalls struct {
	mu    sync.Mutex
	calls []*receivingCall // oldest first
}

type receivingCall struct {
	since  time.Time
	cancel context.CancelFunc // ends the call
	expiry *time.Timer
}

type receivingCallKey struct{}

// tap gives each call a context that can be cancelled.
func (r *receivingCalls) tap(ctx context.Context, _ *tap.Info) (context.Context, error) {
	ctx, cancel := context.WithCancel(ctx)
	return context.WithValue(ctx, receivingCallKey{}, &receivingCall{cancel: cancel}), nil
}

// begin adds a call. If there are too many, the oldest one is cancelled.
func (r *receivingCalls) begin(call *receivingCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	call.since = time.Now()
	call.expiry = time.AfterFunc(receiveTimeout, func() {
		if r.end(call) {
			call.cancel()
		}
	})
	r.calls = append(r.calls, call)
	oldest := r.calls[0]
	if len(r.calls) > maxReceiving || len(r.calls) > maxStalled && call.since.Sub(oldest.since) >= stalledAfter {
		r.remove(oldest)
		oldest.cancel()
	}
}

// end removes a call, whose message has been received or will not be; false: it had been removed.
func (r *receivingCalls) end(call *receivingCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remove(call)
}

func (r *receivingCalls) remove(call *receivingCall) bool {
	i := slices.Index(r.calls, call)
	if i < 0 {
		return false
	}
	r.calls = slices.Delete(r.calls, i, i+1)
	call.expiry.Stop()
	return true
}

// HandleRPC implements stats.Handler.
func (r *receivingCalls) HandleRPC(ctx context.Context, s stats.RPCStats) {
	call, ok := ctx.Value(receivingCallKey{}).(*receivingCall)
	if !ok {
		return
	}
	switch s.(type) {
	case *stats.Begin:
		r.begin(call)
	case *stats.InPayload, *stats.End:
		r.end(call)
	}
}

// TagRPC implements stats.Handler.
func (r *receivingCalls) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (r *receivingCalls) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (r *receivingCalls) HandleConn(context.Context, stats.ConnStats) {}
