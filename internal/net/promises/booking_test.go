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

// slow is a host at which an instance's word waits until the test lets it go, or finds no majority.
type slow struct {
	replicas.Host
	words   chan chan struct{} // of proposals that wait; nil: none does
	no      atomic.Bool        // majority
	waiting atomic.Int64
}

func (h *slow) Propose(ctx context.Context, g uint32, machine byte, cmd []byte) ([]byte, error) {
	if strings.Contains(string(cmd), fmt.Sprintf("%q:%q", "op", promise.OpReport)) {
		if h.no.Load() {
			h.waiting.Add(1)
			<-ctx.Done()
			return nil, replica.ErrUnknown
		}
		if h.words != nil {
			goOn := make(chan struct{})
			h.words <- goOn
			<-goOn
		}
	}
	return h.Host.Propose(ctx, g, machine, cmd)
}

// sentOnce has a job that must not run twice sent, and returns what its instance will say of it.
func sentOnce(t *testing.T, s [2]*Server, c [2]*core, h [2]*copies, id string) dispatch.Callback {
	h[0].term.Store(1)
	_, err := s[0].Promise(t.Context(), &promisev1.PromiseRequest{Id: id, Job: job("once")})
	require.NoError(t, err)
	m := of(t, c[0].taken, "it is handed in")
	m.Gate.RequestSend(&dispatch.Attempt{Command: m, Instance: "s-1", Deadline: m.Deadline})
	require.True(t, of(t, c[0].passed, "its intent is committed")())
	return dispatch.Callback{ID: m.ID, From: "s-1", State: dispatch.Done, Result: []byte("result")}
}

// another is a dispatcher that acts for nobody and is called by instances.
func another(host replicas.Host, c *core) *Server {
	return New(Options{}, host, c, slog.New(slog.DiscardHandler))
}

// Guards against a call that is answered, and never made again, before a majority has what it told.
func TestCallIsAnsweredOnceItsWordIsKept(t *testing.T) {
	s, c, h := pair(t)
	host := &slow{Host: h[1], words: make(chan chan struct{})}
	news := sentOnce(t, s, c, h, "j")
	called := another(host, c[1])
	answered := make(chan bool, 2)
	for range 2 { // told twice, it is proposed once
		go func() { answered <- called.Keep(news) }()
	}
	goOn := of(t, host.words, "its word is proposed")
	require.Empty(t, answered)
	close(goOn)
	for range 2 {
		require.True(t, of(t, answered, "it is answered"))
	}
	require.True(t, called.Keep(news), "the record knows its end")
	require.True(t, called.Keep(dispatch.Callback{ID: "another's", From: "s-1", State: dispatch.Done}))
	require.True(t, called.Keep(dispatch.Callback{ID: news.ID, From: "s-1", State: dispatch.Running}))
	host.words = nil
	unknown := strings.Replace(news.ID, "j~", "k~", 1)
	require.True(t, called.Keep(dispatch.Callback{ID: unknown, From: "s-1", State: dispatch.Done}), "no such promise: to call again helps nobody")
}

// Guards against calls that are answered though no majority has what they told, or that hold up all else meanwhile.
func TestCallsAreNotAnsweredWithoutAMajority(t *testing.T) {
	s, c, h := pair(t)
	host := &slow{Host: h[1]}
	host.no.Store(true)
	news := sentOnce(t, s, c, h, "j")
	called := another(host, c[1])
	var all sync.WaitGroup
	var kept atomic.Int64
	began := time.Now()
	for i := range 10_000 {
		all.Go(func() {
			n := news
			if i > 0 {
				n.ID = promise.WireID(fmt.Sprint("unknown-", i), 1, 1)
			}
			if called.Keep(n) {
				kept.Add(1)
			}
		})
	}
	all.Wait()
	require.Zero(t, kept.Load())
	require.Less(t, time.Since(began), 20*time.Second)
	require.LessOrEqual(t, host.waiting.Load(), int64(mostUnanswered))
	host.no.Store(false)
	require.Eventually(t, func() bool { return called.Keep(news) }, 20*time.Second, time.Millisecond)
	r, err := s[0].Await(t.Context(), &promisev1.AwaitRequest{Id: "j", WaitMs: 20_000})
	require.NoError(t, err)
	require.Equal(t, promisev1.Kind_KIND_DONE, r.End.Kind)
}
