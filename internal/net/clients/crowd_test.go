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

// callbackText is a call-back of an encoder.
func callbackText(id string) string {
	body := fmt.Sprintf(`{"id":%q,"from":"s-1","state":"done","result":"r"}`, id)
	return fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// tells sends a call-back and fails unless it is taken. The result tells whether the connection is to end.
func tells(t *testing.T, c *core, nc net.Conn, id string) (ends bool) {
	p := ask(t, nc, callbackText(id))
	require.Equal(t, 204, p.Status)
	require.Equal(t, dispatch.Callback{ID: id, From: "s-1", State: dispatch.Done, Result: []byte("r")}, <-c.told)
	return p.Close
}

// Idle clients that fill all places make room for one another; an encoder's connection stood longest between two calls and
// was the first to go. It keeps its place, and call-backs on new connections come in.
func TestIdleClientsMakeRoomBeforeEncoders(t *testing.T) {
	c, _, dial := serveWith(t, 8, 0, patience{first: time.Minute, mute: time.Minute, halting: time.Minute, lingerer: usual.lingerer})
	encoder := dial()
	require.False(t, tells(t, c, encoder, "first"))
	var idle []net.Conn
	for n := range 50 {
		client := dial()
		require.Equal(t, 200, ask(t, client, ready).Status)
		idle = append(idle, client)
		if n%10 == 9 {
			tells(t, c, dial(), fmt.Sprint("new", n))
			require.False(t, tells(t, c, encoder, fmt.Sprint("kept", n)))
		}
	}
	_, err := idle[0].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the longest idle client has made room")
}

// While somebody waits for a place each answer to a client ends its connection, but none to an encoder does.
func TestAnswersToEncodersKeepTheirConnections(t *testing.T) {
	c, s, dial := serve(t, 8, 0)
	encoder, client := dial(), dial()
	require.False(t, tells(t, c, encoder, "1"))
	require.Equal(t, 200, ask(t, client, ready).Status)
	until(t, s, func(c *conn) bool { return c.state == waiting && c.instance })
	until(t, s, func(c *conn) bool { return c.state == waiting && c.answered && !c.instance })
	s.setCrowded(true)
	require.False(t, tells(t, c, encoder, "2"))
	require.False(t, tells(t, c, encoder, "3"), "nor is it ended before its next call")
	require.True(t, ask(t, client, ready).Close)
}

// Where nobody else can be spared an encoder's connection makes room, too: whoever comes is told at least no.
func TestEncodersMakeRoomAtLast(t *testing.T) {
	c, _, dial := serve(t, 2, 0)
	encoder, held := dial(), dial()
	tells(t, c, encoder, "1")
	fmt.Fprint(held, leavingCommand)
	c.next(t)
	require.Equal(t, 200, ask(t, dial(), ready).Status)
	_, err := encoder.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// gated is a listener that counts how often it is asked, and waits for its gate first.
type gatedListener struct {
	net.Listener
	gate  chan struct{}
	asked atomic.Int64
}

func (g *gatedListener) Accept() (net.Conn, error) {
	g.asked.Add(1)
	<-g.gate
	return g.Listener.Accept()
}

// limit has this process open no descriptor more than it has.
func limit(t *testing.T) {
	f, err := os.Open(os.DevNull)
	require.NoError(t, err)
	next := f.Fd()
	require.NoError(t, f.Close())
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(next), Max: uint64(next)}))
}

// alone runs a test in a process of its own; true: this is it.
func alone(t *testing.T) bool {
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
	if !alone(t) {
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
	require.Equal(t, 200, ask(t, idle, ready).Status)
	until(t, s, func(c *conn) bool { return c.state == waiting && c.answered })
	spare, err := os.Open(os.DevNull)
	require.NoError(t, err)
	limit(t)
	before, since := g.asked.Load(), time.Now()
	close(g.gate)
	tells(t, c, encoder, "1")
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	until(t, s, func(c *conn) bool { return c.state == waiting && c.instance })
	s.mu.Lock()
	for c := range s.conns {
		c.state = handling // nobody can be spared
	}
	s.mu.Unlock()
	require.Eventually(t, func() bool { return g.asked.Load() > before+10 }, 20*time.Second, time.Millisecond)
	tries := g.asked.Load() - before
	require.GreaterOrEqual(t, time.Since(since), time.Duration(tries-3)*acceptPause, "%d tries", tries)
	require.NoError(t, spare.Close())
	tells(t, c, another, "2")
}

// A call-back that comes behind many clients who connect and say nothing is heard once those before it have had their moment.
func TestCallbacksComeInAmongMuteClients(t *testing.T) {
	c, _, dial := serveWith(t, 32, 0, usual)
	for range 200 {
		dial()
	}
	since := time.Now()
	tells(t, c, dial(), "1")
	t.Logf("heard after %v", time.Since(since))
	require.Less(t, time.Since(since), 5*time.Second)
}
