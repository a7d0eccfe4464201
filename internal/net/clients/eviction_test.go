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

// callbackRequest returns an encoder's callback request.
func callbackRequest(id string) string {
	body := fmt.Sprintf(`{"id":%q,"from":"s-1","state":"done","result":"r"}`, id)
	return fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// postCallback sends a callback, fails the test unless it is accepted, and reports whether the connection is to be
// closed.
func postCallback(t *testing.T, c *fakeCore, nc net.Conn, id string) (closes bool) {
	p := roundTrip(t, nc, callbackRequest(id))
	require.Equal(t, 204, p.Status)
	require.Equal(t, dispatch.Callback{ID: id, From: "s-1", State: dispatch.Done, Result: []byte("r")}, <-c.callbacks)
	return p.Close
}

// When idle clients hold all slots, they are evicted, and an encoder's connection is kept although it has been idle
// longest. Guards against evicting it first. Callbacks on new connections are accepted, too.
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
	require.ErrorIs(t, err, io.EOF, "the connection that has been idle longest is evicted")
}

// While a connection waits for a slot, each answer to a client closes its connection, and no answer to an encoder
// does.
func TestEncoderConnectionsStayOpenWhenCrowded(t *testing.T) {
	c, s, dial := serve(t, 8, 0)
	encoder, client := dial(), dial()
	require.False(t, postCallback(t, c, encoder, "1"))
	require.Equal(t, 200, roundTrip(t, client, healthRequest).Status)
	waitForConn(t, s, func(c *conn) bool { return c.state == waiting && c.fromInstance })
	waitForConn(t, s, func(c *conn) bool { return c.state == waiting && c.answered && !c.fromInstance })
	s.setCrowded(true)
	require.False(t, postCallback(t, c, encoder, "2"))
	require.False(t, postCallback(t, c, encoder, "3"), "nor is it closed before its next callback")
	require.True(t, roundTrip(t, client, healthRequest).Close)
}

// If no other connection is expendable, an encoder's idle connection is evicted, so that a new one gets an answer at
// least.
func TestIdleEncoderIsEvictedLast(t *testing.T) {
	c, _, dial := serve(t, 2, 0)
	encoder, busy := dial(), dial()
	postCallback(t, c, encoder, "1")
	fmt.Fprint(busy, commandRequest)
	c.nextCommand(t)
	require.Equal(t, 200, roundTrip(t, dial(), healthRequest).Status)
	_, err := encoder.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// gatedListener counts calls of Accept; each waits until the gate lets it pass.
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

// forbidNewDescriptors keeps this process from opening more file descriptors than it has.
func forbidNewDescriptors(t *testing.T) {
	f, err := os.Open(os.DevNull)
	require.NoError(t, err)
	next := f.Fd()
	require.NoError(t, f.Close())
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(next), Max: uint64(next)}))
}

// inSubprocess runs the test in a process of its own. It returns true in that process.
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

// Without free descriptors the listener neither spins nor blocks forever: an idle client's connection is evicted for
// a callback, and if no connection is expendable the listener goes on as soon as a descriptor is free.
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
	idle, encoder, later := dial(), dial(), dial()
	g.gate <- struct{}{}
	require.Equal(t, 200, roundTrip(t, idle, healthRequest).Status)
	waitForConn(t, s, func(c *conn) bool { return c.state == waiting && c.answered })
	reserved, err := os.Open(os.DevNull)
	require.NoError(t, err)
	forbidNewDescriptors(t)
	callsBefore, since := g.accepts.Load(), time.Now()
	close(g.gate)
	postCallback(t, c, encoder, "1")
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	waitForConn(t, s, func(c *conn) bool { return c.state == waiting && c.fromInstance })
	s.mu.Lock()
	for c := range s.conns {
		c.state = handling // no connection is expendable
	}
	s.mu.Unlock()
	require.Eventually(t, func() bool { return g.accepts.Load() > callsBefore+10 }, 20*time.Second, time.Millisecond)
	attempts := g.accepts.Load() - callsBefore
	require.GreaterOrEqual(t, time.Since(since), time.Duration(attempts-3)*acceptRetryInterval, "%d attempts", attempts)
	require.NoError(t, reserved.Close())
	postCallback(t, c, later, "2")
}

// A callback that arrives after many clients that connect and send nothing is processed once those before it are
// evicted.
func TestCallbackAmongSilentClients(t *testing.T) {
	c, _, dial := serveWith(t, 32, 0, defaultTimeouts)
	for range 200 {
		dial()
	}
	since := time.Now()
	postCallback(t, c, dial(), "1")
	t.Logf("processed after %v", time.Since(since))
	require.Less(t, time.Since(since), 5*time.Second)
}
