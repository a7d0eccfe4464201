package clients

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/loadreport"
	"caperrelay/internal/wire"
)

// fakeCore holds each command until the test answers it.
type fakeCore struct {
	commands    chan *dispatch.Command
	clientsGone chan *dispatch.Command
	callbacks   chan dispatch.Callback
	persist     func(dispatch.Callback) bool // nil: every callback is persisted
}

func (c *fakeCore) Submit(cmd *dispatch.Command)             { c.commands <- cmd }
func (c *fakeCore) ClientGone(cmd *dispatch.Command)         { c.clientsGone <- cmd }
func (c *fakeCore) HandleCallback(n dispatch.Callback)       { c.callbacks <- n }
func (c *fakeCore) PersistCallback(n dispatch.Callback) bool { return c.persist == nil || c.persist(n) }

// nextCommand returns the next command submitted. The wait is bounded, so that a fault fails the test instead of
// hanging it.
func (c *fakeCore) nextCommand(t *testing.T) *dispatch.Command {
	select {
	case cmd := <-c.commands:
		return cmd
	case <-time.After(20 * time.Second):
		require.FailNow(t, "no command was submitted")
		return nil
	}
}

// waitCrowded waits until the server has no slot for another connection.
func waitCrowded(t *testing.T, s *Server) {
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.crowded
	}, 20*time.Second, time.Millisecond)
}

// waitForConn waits until f returns true for some connection.
func waitForConn(t *testing.T, s *Server, f func(*conn) bool) {
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return slices.ContainsFunc(slices.Collect(maps.Keys(s.conns)), f)
	}, 20*time.Second, time.Millisecond)
}

// failingListener fails at first, for lack of descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (s *failingListener) Accept() (net.Conn, error) {
	if s.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// newServer returns a server that does not serve yet, and the core that its commands go to.
func newServer(maxConns int) (*fakeCore, *Server) {
	c := &fakeCore{commands: make(chan *dispatch.Command, 9), clientsGone: make(chan *dispatch.Command, 9), callbacks: make(chan dispatch.Callback, 9)}
	return c, New(c, decide.Settings{Classes: []decide.Class{{Deadline: time.Minute}}}, wire.Names{Classes: []string{"safe"}},
		maxConns, func() string { return "" }, slog.New(slog.DiscardHandler))
}

// serve starts a server and returns a function that connects to it. The first calls of Accept fail.
func serve(t *testing.T, maxConns, failures int) (*fakeCore, *Server, func() net.Conn) {
	return serveWith(t, maxConns, failures, timeouts{firstRequest: time.Minute, firstByte: time.Minute, remainder: time.Minute, linger: time.Minute})
}

// serveWith is serve with other timeouts.
func serveWith(t *testing.T, maxConns, failures int, limits timeouts) (*fakeCore, *Server, func() net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c, s := newServer(maxConns)
	s.timeouts = limits
	wrapped := &failingListener{Listener: l}
	wrapped.failures.Store(int32(failures))
	ctx, cancel := context.WithCancel(context.Background())
	go s.Serve(ctx, wrapped)
	t.Cleanup(func() { cancel(); l.Close() })
	return c, s, func() net.Conn {
		nc, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(20 * time.Second))
		return nc
	}
}

func roundTrip(t *testing.T, c net.Conn, text string) *http1.Response {
	fmt.Fprint(c, text)
	p, err := http1.ReadResponse(bufio.NewReader(c), "POST")
	require.NoError(t, err)
	return p
}

const healthRequest = "GET /_health HTTP/1.1\r\n\r\n"

// The server survives a lack of descriptors, and goes on once there are some.
func TestAcceptRetriesWithoutDescriptors(t *testing.T) {
	_, _, dial := serve(t, 4, 3)
	require.Equal(t, 200, roundTrip(t, dial(), healthRequest).Status)
}

// At the limit an idle connection is evicted. If none is idle, the next answer closes its connection, since a
// connection kept alive would shut out those that wait.
func TestNewConnectionsGetSlots(t *testing.T) {
	c, s, dial := serve(t, 2, 0)
	idle := dial()
	require.Equal(t, 200, roundTrip(t, idle, healthRequest).Status)
	command := "POST /api HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Service-Class: safe\r\nContent-Length: 0\r\n\r\n"
	first := dial()
	fmt.Fprintf(first, command, "1")
	pending := c.nextCommand(t)
	second := dial()
	fmt.Fprintf(second, command, "2")
	c.nextCommand(t)
	_, err := idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	third := dial()
	fmt.Fprint(third, healthRequest)
	waitCrowded(t, s)
	pending.Client.Answer(dispatch.Answer{Verdict: dispatch.Refused, RetryAfter: 1500500 * time.Microsecond})
	p, err := http1.ReadResponse(bufio.NewReader(first), "POST")
	require.NoError(t, err)
	require.Equal(t, []any{503, "1.501", true}, []any{p.Status, p.Header.Get("Retry-After"), p.Close})
	p, err = http1.ReadResponse(bufio.NewReader(third), "GET")
	require.NoError(t, err)
	require.Equal(t, 200, p.Status)
}

// The connection that takes the last slot has not sent a request yet. Guards against
// taking it for idle and closing it at once, with the request on it.
func TestNewConnectionKeepsLastSlot(t *testing.T) {
	_, s, dial := serve(t, 1, 0)
	newConn := dial()
	waitCrowded(t, s)
	require.Equal(t, 200, roundTrip(t, newConn, healthRequest).Status)
}

// Guards against peers that send nothing, or stop in the middle of a request, holding all slots for ten seconds and
// blocking all others: they are evicted with an answer.
func TestSilentPeersAreEvicted(t *testing.T) {
	for sent, want := range map[string]state{"": waiting, healthRequest[:9]: reading} {
		_, s, dial := serve(t, 1, 0)
		silentConn := dial()
		fmt.Fprint(silentConn, sent)
		waitCrowded(t, s)
		waitForConn(t, s, func(c *conn) bool { return c.state == want })
		s.evictOne(time.Now().Add(time.Hour)) // when its timeout has expired
		require.Equal(t, 503, roundTrip(t, silentConn, "").Status)
		require.Equal(t, 200, roundTrip(t, dial(), healthRequest).Status)
	}
}

// Silent peers are answered with 408 on time-out even if slots are free.
func TestSilentPeersTimeOut(t *testing.T) {
	_, _, dial := serveWith(t, 9, 0, timeouts{firstRequest: time.Millisecond})
	silentConn, stalledConn := dial(), dial()
	fmt.Fprint(stalledConn, healthRequest[:9])
	for _, c := range []net.Conn{silentConn, stalledConn} {
		p := roundTrip(t, c, "")
		require.Equal(t, []any{408, true}, []any{p.Status, p.Close})
	}
}

// All fields that the decision module reads of a command must reach it.
func TestCommandFields(t *testing.T) {
	c, _, dial := serve(t, 2, 0)
	before := time.Now()
	fmt.Fprint(dial(), "POST /api HTTP/1.1\r\nx-correlation-id: 9b\r\nX-Service-Class: safe\r\nX-Time-Left: 480000u\r\n"+
		"Cookie: a=b; user=7f3a\r\nX-Repeat: 1\r\nX-Weight-Hint: 2.5m\r\nX-Facts: slots=2, memory=0.5,other=x\r\n\r\n")
	cmd := c.nextCommand(t)
	require.WithinRange(t, cmd.Deadline, before.Add(480*time.Millisecond), time.Now().Add(480*time.Millisecond))
	require.NotZero(t, cmd.Key)
	require.Equal(t, []any{"9b", true, 2500 * time.Microsecond, 2.0, 0.5}, []any{cmd.ID, cmd.Retry, cmd.Work, cmd.Slots, cmd.Memory})
}

// An instance's load report is read from its callbacks, also by parseFast, and an invalid report does not affect the
// callback.
func TestLoadReportsInCallbacks(t *testing.T) {
	c, s, dial := serve(t, 2, 0)
	s.SetReportReader(loadreport.New([]string{"x0", "avg_ms"}, slog.New(slog.DiscardHandler)))
	for load, want := range map[string]float64{`{"avg_ms":87.483,"cpu":0.136,"x0":6.04}`: 6.04, `{"x0": 2, "more": {"x0": 9}}`: 2, `{"x0":"}"}`: -1, `7`: -1} {
		body := `{"from":"s-1","id":"c1","load":` + load + `,"result":"r","state":"done"}`
		text := fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		require.Equal(t, 204, roundTrip(t, dial(), text).Status)
		n := <-c.callbacks
		require.Equal(t, "r", string(n.Result))
		if want < 0 {
			require.Nil(t, n.Report, load)
		} else {
			require.Equal(t, want, n.Report.FreeSlots, load)
		}
	}
}

// A result is served as the instance sent it. A callback with state "done" but without a result counts as a failure.
func TestCallbackResults(t *testing.T) {
	c, _, dial := serve(t, 2, 0)
	for result, want := range map[string]dispatch.Callback{
		`,"result":"a\u00e9"`:  {State: dispatch.Done, Result: []byte("aé")},
		`,"result":""`:         {State: dispatch.Done, Result: []byte{}},
		`,"result":{"a": [1]}`: {State: dispatch.Done, Result: []byte(`{"a": [1]}`)},
		`,"result":null`:       {State: dispatch.Errored, Result: []byte("null")},
		``:                     {State: dispatch.Errored},
	} {
		body := `{"id":"c1","from":"s-1","state":"done"` + result + `}`
		text := fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		require.Equal(t, 204, roundTrip(t, dial(), text).Status)
		want.ID, want.From = "c1", "s-1"
		require.Equal(t, want, <-c.callbacks)
	}
}

// counterValue returns one of the server's counters.
func counterValue(t *testing.T, s *Server, name string) (n int) {
	_, rest, ok := strings.Cut(s.connCounters.OperatorCounters(), "proxy."+name+"=")
	require.True(t, ok, name)
	fmt.Sscan(rest, &n)
	return n
}

// Guards against answering only the first of several pipelined requests while draining, and resetting the others:
// all are answered.
func TestPipelinedRequestsAreAnsweredWhileDraining(t *testing.T) {
	_, s, dial := serve(t, 2, 0)
	s.SetDraining(true)
	c := dial()
	fmt.Fprint(c, healthRequest+healthRequest+healthRequest)
	br := bufio.NewReader(c)
	for n := range 3 {
		p, err := http1.ReadResponse(br, "GET")
		require.NoError(t, err)
		require.Equal(t, []any{503, n == 2}, []any{p.Status, p.Close})
	}
	_, err := br.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against unread bytes that reset a connection at its close: the answer arrives even if they follow the request.
func TestAnswerSurvivesTrailingBytes(t *testing.T) {
	_, _, dial := serve(t, 2, 0)
	c := dial()
	go fmt.Fprint(c, "GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n"+strings.Repeat("more", 1<<15))
	br := bufio.NewReader(c)
	p, err := http1.ReadResponse(br, "GET")
	require.NoError(t, err)
	require.Equal(t, 200, p.Status)
	_, err = br.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// A request may arrive while its keep-alive connection is being closed. That is counted, since the client has to send
// it again.
func TestRequestInFlightAtCloseIsCounted(t *testing.T) {
	_, s, dial := serve(t, 2, 0)
	c := dial()
	require.Equal(t, 200, roundTrip(t, c, healthRequest).Status)
	waitForConn(t, s, func(c *conn) bool { return c.state == waiting })
	s.CloseIdle(time.Now().Add(time.Hour))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	fmt.Fprint(c, healthRequest)
	require.Eventually(t, func() bool { return counterValue(t, s, "closed_crossed") == 1 }, 20*time.Second, time.Millisecond)
	require.Zero(t, counterValue(t, s, "ending_crossed"))
}

// Guards against waiting at termination for commands for as long as their clients do, and being killed with some of
// them unanswered. They end in time; later commands are refused without asking the core, and peers that have sent
// no request or a part of one are answered, too.
func TestShutdownAnswersInTime(t *testing.T) {
	c, s, dial := serve(t, 9, 0)
	toldAt := time.Now()
	answerBy := s.BeginShutdown(toldAt)
	require.Equal(t, toldAt.Add(3500*time.Millisecond), answerBy)
	require.Equal(t, answerBy, s.BeginShutdown(toldAt.Add(time.Second)), "second call")
	command := "POST /api HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Service-Class: safe\r\nContent-Length: 0\r\n\r\n"
	pending := dial()
	fmt.Fprintf(pending, command, "1")
	require.Equal(t, answerBy, c.nextCommand(t).Deadline)
	silentConn, stalledConn, idleConn := dial(), dial(), dial()
	fmt.Fprint(stalledConn, healthRequest[:9])
	waitForConn(t, s, func(c *conn) bool { return c.state == reading })
	require.Equal(t, 200, roundTrip(t, idleConn, healthRequest).Status)
	waitForConn(t, s, func(c *conn) bool { return c.state == waiting && c.answered })
	require.Eventually(t, func() bool { return s.Connections() == 4 }, 20*time.Second, time.Millisecond)
	s.CloseUnserved(time.Now())
	for _, c := range []net.Conn{silentConn, stalledConn} {
		p := roundTrip(t, c, "")
		require.Equal(t, []any{503, true}, []any{p.Status, p.Close})
	}
	_, err := idleConn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, 503, roundTrip(t, dial(), fmt.Sprintf(command, "2")).Status)
	require.Equal(t, 1, counterValue(t, s, "ending_refused"))
	for _, name := range []string{"unanswered", "cut"} {
		require.Zero(t, counterValue(t, s, "ending_"+name))
	}
}

// Connections from the older process are answered even if there is no slot for them or their command was lost with
// that process. Guards against closing them without an answer.
func TestPassedConnectionsAreAnswered(t *testing.T) {
	for _, test := range []struct {
		maxConns, status int
		p                PassedConn
	}{
		{0, 503, PassedConn{Answered: true, CommandID: "1", Request: &http1.Request{Method: "POST", Target: "/api"}}},
		{0, 502, PassedConn{Answered: true, CommandID: "1"}},
		{1, 502, PassedConn{Answered: true, CommandID: "1"}},
	} {
		s := New(&fakeCore{}, decide.Settings{}, wire.Names{}, test.maxConns, nil, slog.New(slog.DiscardHandler))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		nc, err := l.Accept()
		require.NoError(t, err)
		s.TakeOverConn(nc, test.p)
		require.Equal(t, test.status, roundTrip(t, c, "").Status)
	}
}

// A client that expects 100 Continue is served even if the connection's last answer is some seconds old. Guards against
// answering it 408.
func TestContinueAfterIdleTime(t *testing.T) {
	c, s, dial := serve(t, 2, 0)
	idleConn := dial()
	require.Equal(t, 200, roundTrip(t, idleConn, healthRequest).Status)
	waitForConn(t, s, func(c *conn) bool { return c.state == waiting && c.nc.SetWriteDeadline(pastDeadline) == nil })
	fmt.Fprint(idleConn, "POST /api HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Service-Class: safe\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx")
	c.nextCommand(t)
}

// Guards against missing a disconnect after pipelined requests and sending the command seconds later. However much a client
// has sent, its disconnect is noticed. A client that stays gets its answer, and the answers to the pipelined requests
// unless some of their bytes were dropped.
func TestDisconnectAfterPipelinedRequests(t *testing.T) {
	command := "POST /api HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Service-Class: safe\r\nContent-Length: 0\r\n\r\n"
	for _, pipelined := range []int{0, 1, 100, 300, 3000} { // requests
		for _, disconnect := range []bool{true, false} {
			c, s, dial := serve(t, 2, 0)
			nc := dial()
			_, err := fmt.Fprint(nc, command+strings.Repeat(command, pipelined))
			require.NoError(t, err)
			first := c.nextCommand(t)
			if disconnect {
				nc.Close()
				select {
				case gone := <-c.clientsGone:
					require.Same(t, first, gone)
				case <-time.After(20 * time.Second):
					require.FailNow(t, "the disconnect was not noticed", "%d pipelined requests", pipelined)
				}
				require.Empty(t, c.commands)
				continue
			}
			if pipelined == 3000 {
				waitForConn(t, s, func(c *conn) bool { return c.flooded })
			}
			first.Client.Answer(dispatch.Answer{Verdict: dispatch.Refused})
			br := bufio.NewReader(nc)
			p, err := http1.ReadResponse(br, "POST")
			require.NoError(t, err)
			require.Equal(t, 503, p.Status)
			if require.Equal(t, pipelined == 3000, p.Close); p.Close {
				_, err = br.ReadByte()
				require.ErrorIs(t, err, io.EOF)
				continue
			}
			for range pipelined {
				c.nextCommand(t).Client.Answer(dispatch.Answer{Verdict: dispatch.Refused})
				p, err = http1.ReadResponse(br, "POST")
				require.NoError(t, err)
				require.Equal(t, 503, p.Status)
			}
		}
	}
}
