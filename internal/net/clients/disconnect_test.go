package clients

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/readahead"
	"caperrelay/internal/wire"
)

const commandRequest = "POST /api HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Service-Class: safe\r\nContent-Length: 0\r\n\r\n"

// blockingSender blocks the loop in each send until the test resumes it.
type blockingSender struct {
	sent   chan *dispatch.Attempt
	resume chan struct{}
}

func (f *blockingSender) Send(a *dispatch.Attempt) { f.sent <- a; <-f.resume }
func (f *blockingSender) Cancel(*dispatch.Attempt) {}
func (f *blockingSender) Probe(string)             {}
func (f *blockingSender) CloseIdle(string)         {}
func (f *blockingSender) Subscribe()               {}

// blockedLoop returns a loop that sends to one encoder and blocks from the first send on.
func blockedLoop(t *testing.T) (*dispatch.Loop, *blockingSender) {
	f := &blockingSender{make(chan *dispatch.Attempt, 9), make(chan struct{})}
	l, err := dispatch.New(decide.Settings{
		DispatcherCount: 1, Granularity: time.Millisecond, Limits: decide.Limits{MaxAttempts: 3, Cancel: true},
		Classes: []decide.Class{{Aim: time.Minute, Deadline: time.Hour, Worth: 1, Kind: decide.Any}},
		Rules:   decide.Rules{Cold: time.Second, FallWindow: time.Second, SubscribeWithin: time.Second},
	}, wire.Names{Classes: []string{"safe"}}, f, f, dispatch.NoOtherProcess{}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	l.UpdateInstances(dispatch.InstanceUpdate{Instances: []dispatch.Instance{{ID: "s-1", State: decide.Ready}}}, true)
	go l.Run(t.Context())
	t.Cleanup(func() { close(f.resume) })
	return l, f
}

// disconnects are the ways a client disconnects: it closes its connection, or resets it.
var disconnects = map[string]func(net.Conn){
	"closes": func(c net.Conn) { c.Close() },
	"resets": func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
}

// signalingListener signals each call of Accept: by then, connections that it returned before are being served.
type signalingListener struct {
	net.Listener
	accepting chan bool
}

func (b *signalingListener) Accept() (net.Conn, error) {
	b.accepting <- true
	return b.Listener.Accept()
}

// A request that is read from a backlog after its client has disconnected is not submitted, however much the client
// has sent after it.
func TestDisconnectBeforeRequestIsRead(t *testing.T) {
	for name, leave := range disconnects {
		for _, pipelined := range []int{0, 1, 100, 300} { // requests
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			core, s := newServer(9)
			nc, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			_, err = fmt.Fprint(nc, commandRequest+strings.Repeat(commandRequest, pipelined))
			require.NoError(t, err)
			leave(nc)
			b := &signalingListener{l, make(chan bool, 9)}
			go s.Serve(t.Context(), b)
			<-b.accepting
			<-b.accepting
			require.Eventually(t, func() bool { return s.Connections() == 0 }, 20*time.Second, time.Millisecond)
			require.Empty(t, core.commands, "%s with %d pipelined requests", name, pipelined)
			require.Zero(t, counterValue(t, s, "closed_cut")+counterValue(t, s, "closed_unanswered"))
		}
	}
}

// A client that is still connected is served, even if it has sent many requests after the first one.
func TestPipelinedRequestsAreServed(t *testing.T) {
	for _, pipelined := range []int{0, 1, 100, 300} {
		core, _, dial := serve(t, 2, 0)
		nc := dial()
		_, err := fmt.Fprint(nc, commandRequest+strings.Repeat(commandRequest, pipelined))
		require.NoError(t, err)
		br := bufio.NewReader(nc)
		for range pipelined + 1 {
			core.nextCommand(t).Client.Answer(dispatch.Answer{Verdict: dispatch.Refused})
			p, err := http1.ReadResponse(br, "POST")
			require.NoError(t, err)
			require.Equal(t, []any{503, false}, []any{p.Status, p.Close})
		}
	}
}

// A client's disconnect stops an attempt that has not begun, although the loop is blocked.
func TestDisconnectStopsAttemptWhileLoopBlocks(t *testing.T) {
	for name, leave := range disconnects {
		l, f := blockedLoop(t)
		_, s, dial := serve(t, 2, 0)
		s.core = l
		c := dial()
		fmt.Fprint(c, commandRequest)
		a := <-f.sent
		require.False(t, a.Expired(time.Now()), name)
		leave(c)
		require.Eventually(t, func() bool { return a.Expired(time.Now()) }, 20*time.Second, time.Millisecond, name)
	}
}

// acceptedConn returns both ends of a connection.
func acceptedConn(t *testing.T) (serverEnd, client net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(20 * time.Second))
	serverEnd, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { serverEnd.Close() })
	return serverEnd, client
}

// A read timeout may expire just as the request is complete. That must not be taken for a disconnect.
func TestReadTimeoutIsNoDisconnect(t *testing.T) {
	core, s := newServer(1)
	serverEnd, client := acceptedConn(t)
	c := &conn{server: s, nc: serverEnd, state: handling}
	c.setReader(nil)
	require.NoError(t, serverEnd.SetReadDeadline(pastDeadline))
	q, err := http1.ReadRequest(bufio.NewReader(strings.NewReader(commandRequest)), nil)
	require.NoError(t, err)
	go c.handleCommand(q, time.Time{})
	core.nextCommand(t).Client.Answer(dispatch.Answer{Verdict: dispatch.Refused})
	require.Equal(t, 503, roundTrip(t, client, "").Status)
}

// Guards against missing the disconnect of a client that floods the connection after its request, and sending its
// request seconds later. Whether the client stays or not, its request is cancelled once more has arrived than is read:
// it gets one answer, and no further one.
func TestFloodEndsItsRequest(t *testing.T) {
	flood := strings.Repeat("x", readahead.MaxBuffered+readahead.MaxDiscarded+http1.MaxBody)
	for _, stays := range []bool{true, false} {
		core, s, dial := serve(t, 2, 0)
		nc := dial()
		_, err := fmt.Fprint(nc, commandRequest)
		require.NoError(t, err)
		cmd := core.nextCommand(t)
		_, err = fmt.Fprint(nc, flood)
		require.NoError(t, err)
		if !stays {
			nc.Close()
		}
		select {
		case gone := <-core.clientsGone:
			require.Same(t, cmd, gone)
		case <-time.After(20 * time.Second):
			require.FailNow(t, "the command was not cancelled")
		}
		cmd.Client.Answer(dispatch.Answer{Verdict: dispatch.Served, Result: []byte("late")}) // the loop has not received the cancellation
		if stays {
			br := bufio.NewReader(nc)
			p, err := http1.ReadResponse(br, "POST")
			require.NoError(t, err)
			require.Equal(t, []any{413, true}, []any{p.Status, p.Close})
			_, err = br.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			nc.Close()
		}
		require.Eventually(t, func() bool { return s.Connections() == 0 }, 20*time.Second, time.Millisecond)
		require.Empty(t, core.commands)
		require.Empty(t, core.clientsGone)
		require.Zero(t, counterValue(t, s, "closed_cut"))
	}
}

// The bytes buffered and read of a flood are bounded, and an answer that is available by then is still written.
func TestFloodIsBounded(t *testing.T) {
	core, s := newServer(1)
	serverEnd, client := acceptedConn(t)
	c := &conn{server: s, nc: serverEnd, state: handling}
	c.setReader(nil)
	go io.Copy(client, endlessReader{})
	require.ErrorIs(t, c.reader.WatchPeer(), readahead.ErrFlood)
	require.LessOrEqual(t, c.reader.Size(), readahead.MaxBuffered)
	require.LessOrEqual(t, c.reader.Discarded(), readahead.MaxDiscarded+4<<10)
	w := &commandClient{cmd: &dispatch.Command{ID: "1"}, answer: make(chan outcome, 1)}
	w.answer <- outcome{Answer: dispatch.Answer{Verdict: dispatch.Refused}}
	go c.awaitAnswer(w)
	p, err := http1.ReadResponse(bufio.NewReader(client), "POST")
	require.NoError(t, err)
	require.Equal(t, 503, p.Status)
	require.Empty(t, core.clientsGone)
}

// endlessReader is a reader without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Disconnected depends neither on the goroutine that watches the connection nor on the loop: on a machine short of
// CPU both may run long after an attempt.
func TestDisconnectedWhileReading(t *testing.T) {
	for name, leave := range disconnects {
		serverEnd, client := acceptedConn(t)
		w := &commandClient{cmd: &dispatch.Command{ID: "1"}, answer: make(chan outcome, 1), nc: serverEnd}
		w.cmd.Client = w
		a := &dispatch.Attempt{Command: w.cmd}
		reads := make(chan error)
		go func() {
			_, err := serverEnd.Read(make([]byte, 1))
			reads <- err
			_, err = serverEnd.Read(make([]byte, 1))
			reads <- err
		}()
		require.False(t, a.Expired(time.Now()), name)
		client.Write([]byte("x"))
		require.NoError(t, <-reads)
		require.False(t, a.Expired(time.Now()), name)
		serverEnd.SetReadDeadline(pastDeadline)
		require.ErrorIs(t, <-reads, os.ErrDeadlineExceeded)
		require.False(t, a.Expired(time.Now()), "an expired deadline is no disconnect")
		leave(client)
		require.Eventually(t, func() bool { return a.Expired(time.Now()) }, 20*time.Second, time.Millisecond, name)
	}
	w := &commandClient{cmd: &dispatch.Command{ID: "1"}, answer: make(chan outcome, 1)}
	require.False(t, w.Disconnected(), "the connection has not been received from an older process yet")
}

// The newer process notices that a client has disconnected while its connection was being passed: its command is not
// sent, whether it was submitted before or not.
func TestDisconnectDuringHandover(t *testing.T) {
	for name, leave := range disconnects {
		core, s := newServer(9)
		serverEnd, client := acceptedConn(t)
		cmd := &dispatch.Command{ID: "1"}
		s.ExpectConn(cmd, false)
		leave(client)
		s.TakeOverConn(serverEnd, PassedConn{Answered: true, CommandID: "1"})
		select {
		case gone := <-core.clientsGone:
			require.Same(t, cmd, gone, name)
		case <-time.After(20 * time.Second):
			require.FailNow(t, "the disconnect was not noticed", name)
		}
		serverEnd, client = acceptedConn(t)
		q, err := http1.ReadRequest(bufio.NewReader(strings.NewReader(commandRequest)), nil)
		require.NoError(t, err)
		leave(client)
		s.TakeOverConn(serverEnd, PassedConn{Answered: true, CommandID: "1", Request: q, Deadline: time.Now().Add(time.Minute)})
		require.Eventually(t, func() bool { return s.Connections() == 0 }, 20*time.Second, time.Millisecond)
		require.Empty(t, core.commands, name)
	}
}

// If the older process dies, the connections that it has not passed are lost. Guards against still sending
// their commands, though nobody can be answered: they are cancelled.
func TestConnectionsLostWithOlderProcess(t *testing.T) {
	core, s := newServer(9)
	cmd := &dispatch.Command{ID: "1"}
	s.ExpectConn(cmd, false)
	s.ReclaimAllSlots()
	require.Len(t, core.clientsGone, 1)
	require.Same(t, cmd, <-core.clientsGone)
	s.ReclaimAllSlots()
	require.Empty(t, core.clientsGone)
}
