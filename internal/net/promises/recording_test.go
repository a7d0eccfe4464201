package promises

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/promise"
	"caperrelay/internal/replica"
	promisev1 "caperrelay/proto/winglb/promise/v1"
)

// slowHost is a host at which proposals of reports wait until the test releases them, or find no majority.
type slowHost struct {
	replicas.Host
	proposals  chan chan struct{} // of waiting proposals; nil: none waits
	noMajority atomic.Bool        // no majority answers
	waiting    atomic.Int64
}

func (h *slowHost) Propose(ctx context.Context, g uint32, machine byte, cmd []byte) ([]byte, error) {
	if strings.Contains(string(cmd), fmt.Sprintf("%q:%q", "op", promise.OpReport)) {
		if h.noMajority.Load() {
			h.waiting.Add(1)
			<-ctx.Done()
			return nil, replica.ErrUnknown
		}
		if h.proposals != nil {
			release := make(chan struct{})
			h.proposals <- release
			<-release
		}
	}
	return h.Host.Propose(ctx, g, machine, cmd)
}

// sendOnce sends a job that must not run twice and returns the callback that its instance will make.
func sendOnce(t *testing.T, s [2]*Server, c [2]*core, h [2]*fakeHost, id string) dispatch.Callback {
	h[0].term.Store(1)
	_, err := s[0].Promise(t.Context(), &promisev1.PromiseRequest{Id: id, Job: job("once")})
	require.NoError(t, err)
	m := receive(t, c[0].submitted, "the job is submitted")
	m.Gate.RequestSend(&dispatch.Attempt{Command: m, Instance: "s-1", Deadline: m.Deadline})
	require.True(t, receive(t, c[0].allowed, "its intent is committed")())
	return dispatch.Callback{ID: m.ID, From: "s-1", State: dispatch.Done, Result: []byte("result")}
}

// idleServer returns a dispatcher that owns no group and receives callbacks.
func idleServer(host replicas.Host, c *core) *Server {
	return New(Options{}, host, c, slog.New(slog.DiscardHandler))
}

// Guards against a callback that is answered, and so never repeated, before a majority has committed its report.
func TestCallbackIsAnsweredOnceRecorded(t *testing.T) {
	s, c, h := pair(t)
	host := &slowHost{Host: h[1], proposals: make(chan chan struct{})}
	callback := sendOnce(t, s, c, h, "j")
	called := idleServer(host, c[1])
	answered := make(chan bool, 2)
	for range 2 { // reported twice, it is proposed once
		go func() { answered <- called.PersistCallback(callback) }()
	}
	release := receive(t, host.proposals, "the report is proposed")
	require.Empty(t, answered)
	close(release)
	for range 2 {
		require.True(t, receive(t, answered, "it is answered"))
	}
	require.True(t, called.PersistCallback(callback), "the table has its end")
	require.True(t, called.PersistCallback(dispatch.Callback{ID: "another's", From: "s-1", State: dispatch.Done}))
	require.True(t, called.PersistCallback(dispatch.Callback{ID: callback.ID, From: "s-1", State: dispatch.Running}))
	host.proposals = nil
	unknown := strings.Replace(callback.ID, "j~", "k~", 1)
	require.True(t, called.PersistCallback(dispatch.Callback{ID: unknown, From: "s-1", State: dispatch.Done}), "no such promise: a repeated call would not help")
}

// Guards against callbacks that are answered although no majority has committed their reports, or that block
// everything else meanwhile.
func TestCallbacksAreNotAnsweredWithoutMajority(t *testing.T) {
	s, c, h := pair(t)
	host := &slowHost{Host: h[1]}
	host.noMajority.Store(true)
	callback := sendOnce(t, s, c, h, "j")
	called := idleServer(host, c[1])
	var all sync.WaitGroup
	var kept atomic.Int64
	began := time.Now()
	for i := range 10_000 {
		all.Go(func() {
			n := callback
			if i > 0 {
				n.ID = promise.WireID(fmt.Sprint("unknown-", i), 1, 1)
			}
			if called.PersistCallback(n) {
				kept.Add(1)
			}
		})
	}
	all.Wait()
	require.Zero(t, kept.Load())
	require.Less(t, time.Since(began), 20*time.Second)
	require.LessOrEqual(t, host.waiting.Load(), int64(maxUnanswered))
	host.noMajority.Store(false)
	require.Eventually(t, func() bool { return called.PersistCallback(callback) }, 20*time.Second, time.Millisecond)
	r, err := s[0].Await(t.Context(), &promisev1.AwaitRequest{Id: "j", WaitMs: 20_000})
	require.NoError(t, err)
	require.Equal(t, promisev1.Kind_KIND_DONE, r.End.Kind)
}
