package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 10 * time.Second

const response202 = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// encoder is a real listener whose every step is controlled by the test.
type encoder struct {
	*net.TCPListener
	t *testing.T
}

func listen(t *testing.T) *encoder {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return &encoder{l.(*net.TCPListener), t}
}

// encoderConn is the encoder's side of one connection.
type encoderConn struct {
	*net.TCPConn
	t  *testing.T
	br *bufio.Reader
}

func (e *encoder) accept() *encoderConn {
	require.NoError(e.t, e.SetDeadline(time.Now().Add(testTimeout)))
	c, err := e.AcceptTCP()
	require.NoError(e.t, err)
	e.t.Cleanup(func() { c.Close() })
	require.NoError(e.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &encoderConn{c, e.t, bufio.NewReader(c)}
}

func (c *encoderConn) read() *http1.Request {
	q, err := http1.ReadRequest(c.br, nil)
	require.NoError(c.t, err)
	return q
}

func (c *encoderConn) write(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// expectClosed waits until the dispatcher has closed the connection, and checks that it wrote nothing more.
func (c *encoderConn) expectClosed() {
	c.t.Helper()
	rest, err := io.ReadAll(c.br)
	require.Empty(c.t, string(rest))
	if err != nil {
		require.ErrorIs(c.t, err, syscall.ECONNRESET)
	}
}

// reset closes the connection by RST.
func (c *encoderConn) reset() {
	require.NoError(c.t, c.SetLinger(0))
	require.NoError(c.t, c.Close())
}

// blockConnects fills the encoder's accept queue, so that no further connection is established. The returned function
// lets them complete; the kernel retries every second.
func (e *encoder) blockConnects() (release func()) {
	raw, err := e.SyscallConn()
	require.NoError(e.t, err)
	require.NoError(e.t, raw.Control(func(fd uintptr) { require.NoError(e.t, syscall.Listen(int(fd), 0)) }))
	c, err := net.Dial("tcp", e.Addr().String())
	require.NoError(e.t, err)
	return func() {
		e.accept().Close()
		c.Close()
	}
}

// awaitDial waits until a connection to the encoder is being established.
func (e *encoder) awaitDial() {
	const synSent = "02"
	line := fmt.Sprintf(":%04X %s ", e.Addr().(*net.TCPAddr).Port, synSent)
	require.Eventually(e.t, func() bool {
		table, err := os.ReadFile("/proc/net/tcp")
		return err == nil && strings.Contains(string(table), line)
	}, testTimeout, time.Millisecond)
}

// smallBufferConn adds an idle connection with buffers of a few KiB to the pool, so that a large request is still
// being written when the encoder has received its first bytes. It returns the encoder's side.
func (e *encoder) smallBufferConn(p *Pool) *encoderConn {
	const small = 4 << 10
	set := func(raw syscall.RawConn, option int) {
		require.NoError(e.t, raw.Control(func(fd uintptr) {
			require.NoError(e.t, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, small))
		}))
	}
	raw, err := e.SyscallConn()
	require.NoError(e.t, err)
	set(raw, syscall.SO_RCVBUF)
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		set(raw, syscall.SO_SNDBUF)
		return nil
	}}
	nc, err := dialer.Dial("tcp", e.Addr().String())
	require.NoError(e.t, err)
	p.mu.Lock()
	ep := p.endpoints["s-1"]
	c := &conn{
		pool: p, endpoint: ep, exchanges: make(chan *exchange, 1), epoch: ep.epoch, dialStarted: time.Now(), idleSince: time.Now(),
		nc: nc, br: bufio.NewReaderSize(nc, http1.MaxLine),
	}
	p.connCount++
	p.mu.Unlock()
	go p.serveConn(c, &exchange{aborted: true, onDone: func(result) {}}) // becomes idle at once
	awaitIdle(e.t, p, 1)
	return e.accept()
}

// largeAttempt returns an attempt whose request exceeds the buffers of a smallBufferConn.
func largeAttempt() *dispatch.Attempt {
	a := attempt("s-1")
	a.Command.Payload.(*http1.Request).Body = make([]byte, http1.MaxBody)
	return a
}

func (c *encoderConn) readByte() {
	_, err := c.br.ReadByte()
	require.NoError(c.t, err)
}

// expectNoConn checks that no connection waits to be accepted, by opening one and accepting it as the first.
func (e *encoder) expectNoConn() {
	e.t.Helper()
	c, err := net.Dial("tcp", e.Addr().String())
	require.NoError(e.t, err)
	defer c.Close()
	require.Equal(e.t, c.LocalAddr().String(), e.accept().RemoteAddr().String(), "another connection was waiting")
}

// update returns an update of the instance list that lists the encoder in a state.
func (e *encoder) update(state decide.WorkerState) dispatch.InstanceUpdate {
	return dispatch.InstanceUpdate{Instances: []dispatch.Instance{{ID: "s-1", Address: e.Addr().String(), State: state}}}
}

// newScriptedPool returns a pool whose only encoder is controlled by the test.
func newScriptedPool(t *testing.T, e *encoder, maxConns int) (*Pool, recorder) {
	p, r, _ := newAutoPool(t, maxConns)
	p.UpdateInstances(e.update(decide.Ready))
	return p, r
}

// serveAttempt serves an attempt on a connection that is idle afterwards, and returns the encoder's side of it.
func (e *encoder) serveAttempt(p *Pool, r recorder) *encoderConn {
	idle := p.IdleConns()
	a := attempt("s-1")
	a.NewConn = idle > 0
	p.Send(a)
	c := e.accept()
	c.read()
	c.write(response202)
	require.Equal(e.t, a, receive(e.t, r.accepted))
	awaitIdle(e.t, p, max(1, idle))
	return c
}

// receive returns the next value from a channel, or fails the test after testTimeout.
func receive[T any](t *testing.T, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(testTimeout):
		require.FailNow(t, "no value received in time")
	}
	return value
}

// awaitIdle waits until the given number of connections is idle and none is busy.
func awaitIdle(t *testing.T, p *Pool, idle int) {
	t.Helper()
	require.Eventually(t, func() bool { return p.IdleConns() == idle && !p.Busy() }, testTimeout, time.Millisecond)
}

// openConns returns the number of connections that the pool counts.
func openConns(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount
}
