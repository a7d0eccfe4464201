package clients

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/dispatch"
)

// callbackRequest is a call-back of an encoder.
func callbackRequest(id string) string {
	body := fmt.Sprintf(`{"id":%q,"from":"s-1","state":"done","result":"r"}`, id)
	return fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// postCallback sends a call-back and fails unless it is taken. The result tells whether the connection is to end.
func postCallback(t *testing.T, c *fakeCore, nc net.Conn, id string) (ends bool) {
	p := roundTrip(t, nc, callbackRequest(id))
	require.Equal(t, 204, p.Status)
	require.Equal(t, dispatch.Callback{ID: id, From: "s-1", State: dispatch.Done, Result: []byte("r")}, <-c.callbacks)
	return p.Close
}

// Idle clients that fill all places make room for one another; an encoder's connection stood longest between two calls and
// was the first to go. It keeps its place, and call-backs on new connections come in.
func TestIdleClientsAreEvictedBeforeEncoders(t *testing.T) {
	c, _, dial := serveWith(t, 8, 0, timeouts{firstRequest: time.Minute, firstByte: time.Minute, remainder: time.Minute, linger: defaultTimeouts.linger})
	encoder := dial()
	require.False(t, postCallback(t, c, encoder, "first"))
	var idle []net.Conn
	for n := range 50 {
		client := dial()
		require.Equal(t, 200, roundTrip(t, client, healthRequest).Status)
		idle = append(idle, client)
		if n%10 == 9 {
			postCallback(t, c, dial(), fmt.Sprint("new", n))
			require.False(t, postCallback(t, c, encoder, fmt.Sprint("kept", n)))
		}
	}
	_, err := idle[0].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the longest idle client has made room")
}

// While somebody waits for a place each answer to a client ends its connection, but none to an encoder does.
func TestEncoderConnectionsStayOpenWhenCrowded(t *testing.T) {
	c, s, dial := serve(t, 8, 0)
	encoder, client := dial(), dial()
	require.False(t, postCallback(t, c, encoder, "1"))
	require.Equal(t, 200, roundTrip(t, client, healthRequest).Status)
	waitForConn(t, s, func(c *conn) bool { return c.state == waiting && c.instance })
	waitForConn(t, s, func(c *conn) bool { return c.state == waiting && c.answered && !c.instance })
	s.setCrowded(true)
	require.False(t, postCallback(t, c, encoder, "2"))
	require.False(t, postCallback(t, c, encoder, "3"), "nor is it ended before its next call")
	require.True(t, roundTrip(t, client, healthRequest).Close)
}

// Where nobody else can be spared an encoder's connection makes room, too: whoever comes is told at least no.
func TestIdleEncoderIsEvictedLast(t *testing.T) {
	c, _, dial := serve(t, 2, 0)
	encoder, held := dial(), dial()
	postCallback(t, c, encoder, "1")
	fmt.Fprint(held, commandRequest)
	c.nextCommand(t)
	require.Equal(t, 200, roundTrip(t, dial(), healthRequest).Status)
	_, err := encoder.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// gated is a listener that counts how often it is asked, and waits for its gate first.
type gatedListener struct {
	net.Listener
	gate    chan struct{}
	accepts atomic.Int64
}

func (g *gatedListener) Accept() (net.Conn, error) {
	g.accepts.Add(1)
	<-g.gate
	return g.Listener.Accept()
}

// forbidNewDescriptors has this process open no descriptor more than it has.
func forbidNewDescriptors(t *testing.T) {
	f, err := os.Open(os.DevNull)
	require.NoError(t, err)
	next := f.Fd()
	require.NoError(t, f.Close())
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(next), Max: uint64(next)}))
}

// inSubprocess runs a test in a process of its own; true: this is it.
func inSubprocess(t *testing.T) bool {
	if os.Getenv("WINGLB_ALONE") == t.Name() {
		return true
	}
	cmd := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$", "-test.count", "1")
	cmd.Env = append(os.Environ(), "WINGLB_ALONE="+t.Name())
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, "%s", out)
	return false
}

// With no descriptor left the listener neither spins nor waits for ever: an idle client's connection makes room for a
// call-back, and where nobody can be spared it goes on as soon as there is a descriptor again.
func TestOutOfDescriptors(t *testing.T) {
	if !inSubprocess(t) {
		return
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, s := newServer(9)
	g := &gatedListener{Listener: l, gate: make(chan struct{}, 1)}
	go s.Serve(t.Context(), g)
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		require.NoError(t, nc.SetDeadline(time.Now().Add(20*time.Second)))
		return nc
	}
	idle, encoder, another := dial(), dial(), dial()
	g.gate <- struct{}{}
	require.Equal(t, 200, roundTrip(t, idle, healthRequest).Status)
	waitForConn(t, s, func(c *conn) bool { return c.state == waiting && c.answered })
	spare, err := os.Open(os.DevNull)
	require.NoError(t, err)
	forbidNewDescriptors(t)
	before, since := g.accepts.Load(), time.Now()
	close(g.gate)
	postCallback(t, c, encoder, "1")
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	waitForConn(t, s, func(c *conn) bool { return c.state == waiting && c.instance })
	s.mu.Lock()
	for c := range s.conns {
		c.state = handling // nobody can be spared
	}
	s.mu.Unlock()
	require.Eventually(t, func() bool { return g.accepts.Load() > before+10 }, 20*time.Second, time.Millisecond)
	tries := g.accepts.Load() - before
	require.GreaterOrEqual(t, time.Since(since), time.Duration(tries-3)*acceptRetryInterval, "%d tries", tries)
	require.NoError(t, spare.Close())
	postCallback(t, c, another, "2")
}

// A call-back that comes behind many clients who connect and say nothing is heard once those before it have had their moment.
func TestCallbackAmongSilentClients(t *testing.T) {
	c, _, dial := serveWith(t, 32, 0, defaultTimeouts)
	for range 200 {
		dial()
	}
	since := time.Now()
	postCallback(t, c, dial(), "1")
	t.Logf("heard after %v", time.Since(since))
	require.Less(t, time.Since(since), 5*time.Second)
}
