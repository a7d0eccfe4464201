package promises

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/promise"
	"caperrelay/internal/replica"
	"caperrelay/internal/wire"
	promisev1 "caperrelay/proto/winglb/promise/v1"
)

// fakeHost is a dispatcher's view of one shared table, with or without the lease.
type fakeHost struct {
	*replicas.MemoryHost
	term    atomic.Uint64 // 0: no lease
	changed chan struct{}
	agree   atomic.Pointer[func(c promise.Command, commit func() ([]byte, error)) ([]byte, error)] // handles proposals; nil: they are committed
}

func (c *fakeHost) Propose(ctx context.Context, group uint32, machine byte, cmd []byte) ([]byte, error) {
	commit := func() ([]byte, error) { return c.MemoryHost.Propose(ctx, group, machine, cmd) }
	f := c.agree.Load()
	if f == nil {
		return commit()
	}
	var command promise.Command
	if err := json.Unmarshal(cmd, &command); err != nil {
		return nil, err
	}
	return (*f)(command, commit)
}

func (c *fakeHost) Lease(uint32) (uint64, time.Duration, bool) {
	t := c.term.Load()
	return t, replicas.Now() + 300*time.Millisecond, t > 0
}
func (c *fakeHost) Changed() <-chan struct{} { return c.changed }

// core is a loop that records its calls.
type core struct {
	submitted, abandoned, gone chan *dispatch.Command
	allowed                    chan func() bool
	denied                     chan *dispatch.Attempt
	callbacks                  chan dispatch.Callback
}

func (c *core) Submit(m *dispatch.Command)                     { c.submitted <- m }
func (c *core) ClientGone(m *dispatch.Command)                 { c.gone <- m }
func (c *core) Abandon(m *dispatch.Command)                    { c.abandoned <- m }
func (c *core) AllowSend(_ *dispatch.Attempt, may func() bool) { c.allowed <- may }
func (c *core) DenySend(a *dispatch.Attempt)                   { c.denied <- a }
func (c *core) HandleCallback(n dispatch.Callback)             { c.callbacks <- n }
func receive[T any](t *testing.T, c chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(20 * time.Second):
		t.Fatal(what)
	}
	return v
}

func pair(t *testing.T) (s [2]*Server, c [2]*core, h [2]*fakeHost) {
	table := replicas.NewMemoryHost(2, func(uint32) replica.Mux { return replica.Mux{replica.PromisesMachine: promise.New()} })
	for i := range s {
		h[i] = &fakeHost{MemoryHost: table, changed: make(chan struct{})}
		c[i] = &core{make(chan *dispatch.Command, 9), make(chan *dispatch.Command, 9), make(chan *dispatch.Command, 9), make(chan func() bool, 9), make(chan *dispatch.Attempt, 9), make(chan dispatch.Callback, 9)}
		s[i] = New(Options{StartWithin: time.Minute, Retention: time.Minute}, h[i], c[i], slog.New(slog.DiscardHandler))
		s[i].Retune(decide.Settings{Classes: []decide.Class{{Effect: decide.Unsafe, Deadline: 20 * time.Second}, {Deadline: time.Second}}}, wire.Names{Classes: []string{"once", "safe"}})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); s[i].Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
	}
	return s, c, h
}

func job(class string) *promisev1.Job { return &promisev1.Job{Class: class, Payload: []byte("work")} }

// A lease moves while a job of the former owner runs. The next owner does not send it again; the callback reaches
// the next owner and ends the promise, for clients of any dispatcher.
func TestLeaseMovesWhileAJobRuns(t *testing.T) {
	s, c, h := pair(t)
	h[0].term.Store(1)
	_, err := s[1].Promise(t.Context(), &promisev1.PromiseRequest{Id: "j", Job: job("once")})
	require.NoError(t, err)
	m := receive(t, c[0].submitted, "the lease holder submits the job")
	m.Gate.RequestSend(&dispatch.Attempt{Command: m, Instance: "s-1", Deadline: m.Deadline})
	may := receive(t, c[0].allowed, "its intent is committed")
	require.True(t, may())
	h[0].term.Store(0)
	require.Equal(t, m, receive(t, c[0].abandoned, "the job is abandoned"))
	m.Gate.RequestSend(&dispatch.Attempt{Command: m, Instance: "s-2", Index: 1, Deadline: m.Deadline})
	receive(t, c[0].denied, "no further attempt is sent")
	h[1].term.Store(2)
	require.Eventually(t, func() bool { return s[1].acting.Load() == 1 }, 20*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return !may() }, 20*time.Second, time.Millisecond, "an abandoned attempt must not be sent")
	r, err := s[0].Await(t.Context(), &promisev1.AwaitRequest{Id: "j", WaitMs: 1})
	require.NoError(t, err)
	require.Nil(t, r.End)
	require.Empty(t, c[1].submitted)
	require.False(t, s[1].HandleUnmatchedCallback(dispatch.Callback{ID: "another's", From: "s-1", State: dispatch.Done}))
	require.True(t, s[1].HandleUnmatchedCallback(dispatch.Callback{ID: m.ID, From: "s-3", State: dispatch.Done, Result: []byte("never sent there")}))
	require.True(t, s[1].HandleUnmatchedCallback(dispatch.Callback{ID: m.ID, From: "s-1", State: dispatch.Done, Result: []byte("result")}))
	for _, s := range s {
		r, err := s.Await(t.Context(), &promisev1.AwaitRequest{Id: "j", WaitMs: 20_000})
		require.NoError(t, err)
		require.Equal(t, promisev1.Kind_KIND_DONE, r.End.Kind)
		require.Equal(t, "result", string(r.End.Result))
	}
}

// A job that may repeat is submitted again by the next owner, as a retry, and an end that was reported to another
// dispatcher cancels that submission.
func TestNextOwnerRepeats(t *testing.T) {
	s, c, h := pair(t)
	h[0].term.Store(1)
	_, err := s[0].Promise(t.Context(), &promisev1.PromiseRequest{Id: "j", Job: job("safe")})
	require.NoError(t, err)
	first := receive(t, c[0].submitted, "the job is submitted")
	first.Gate.RequestSend(&dispatch.Attempt{Command: first, Instance: "s-1", Deadline: first.Deadline})
	receive(t, c[0].allowed, "its intent is committed")
	h[0].term.Store(0)
	receive(t, c[0].abandoned, "the job is abandoned")
	h[1].term.Store(2)
	again := receive(t, c[1].submitted, "the job is submitted again")
	require.True(t, again.Retry)
	require.NotEqual(t, first.ID, again.ID)
	require.True(t, s[0].HandleUnmatchedCallback(dispatch.Callback{ID: first.ID, From: "s-1", State: dispatch.Done, Result: []byte("result")}))
	require.Equal(t, again.ID, receive(t, c[1].callbacks, "the loop gets the callback").ID)
	require.Equal(t, again, receive(t, c[1].gone, "and cancels the command"))
}

func TestStatuses(t *testing.T) {
	s, _, _ := pair(t) // no dispatcher has the lease: promises stay open
	at := t.Context()
	code := func(err error) codes.Code { return status.Code(err) }
	promise := func(id string, j *promisev1.Job) (*promisev1.PromiseResponse, error) {
		return s[0].Promise(at, &promisev1.PromiseRequest{Id: id, Job: j})
	}
	for _, id := range []string{"", "a b", "a~b", "a/b"} {
		_, err := promise(id, job("once"))
		require.Equal(t, codes.InvalidArgument, code(err), id)
	}
	_, err := promise("j", job("unknown"))
	require.Equal(t, codes.InvalidArgument, code(err))
	_, err = promise("j", &promisev1.Job{Class: "once", WithinMs: 1 << 62})
	require.Equal(t, codes.InvalidArgument, code(err))
	first, err := promise("j", job("once"))
	require.NoError(t, err)
	again, err := s[1].Promise(at, &promisev1.PromiseRequest{Id: "j", Job: job("once")})
	require.NoError(t, err)
	require.Equal(t, first.Receipt.Index, again.Receipt.Index)
	_, err = promise("j", job("safe"))
	require.Equal(t, codes.AlreadyExists, code(err))
	_, err = s[0].Forget(at, &promisev1.ForgetRequest{Id: "j"})
	require.Equal(t, codes.FailedPrecondition, code(err))
	_, err = s[0].Forget(at, &promisev1.ForgetRequest{Id: "other"})
	require.Equal(t, codes.NotFound, code(err))
	_, err = s[0].Await(at, &promisev1.AwaitRequest{Id: "other", WaitMs: 60_000})
	require.Equal(t, codes.NotFound, code(err))
}

// Guards against a client's target ending the request line to an encoder, which would read a further request. A target
// with any other text is promised.
func TestTargetsKeepToTheirLine(t *testing.T) {
	s, _, _ := pair(t)
	promise := func(id, target string) error {
		j := job("once")
		j.Target = target
		_, err := s[0].Promise(t.Context(), &promisev1.PromiseRequest{Id: id, Job: j})
		return err
	}
	for _, target := range []string{"/api HTTP/1.1\r\n\r\nDELETE /jobs/other", "/a b", "/a\n", "/a\r", "/a\x00", "/a\x7f", "/a\t"} {
		require.Equal(t, codes.InvalidArgument, status.Code(promise("bad", target)), "%q", target)
	}
	for i, target := range []string{"", "/api?a=%20b&c=+", "/ecuación", "http://x/api"} {
		require.NoError(t, promise(fmt.Sprint("good", i), target), "%q", target)
	}
}
