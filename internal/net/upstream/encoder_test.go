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

// patience is how long a test waits for an event that has to come.
const patience = 10 * time.Second

const accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// encoder is one whose every step a test makes by hand, on a real socket.
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

// peer is the encoder's end of one connection.
type peer struct {
	*net.TCPConn
	t  *testing.T
	br *bufio.Reader
}

// accept returns the next connection.
func (e *encoder) accept() *peer {
	require.NoError(e.t, e.SetDeadline(time.Now().Add(patience)))
	c, err := e.AcceptTCP()
	require.NoError(e.t, err)
	e.t.Cleanup(func() { c.Close() })
	require.NoError(e.t, c.SetDeadline(time.Now().Add(patience)))
	return &peer{c, e.t, bufio.NewReader(c)}
}

// read returns the next request.
func (c *peer) read() *http1.Request {
	q, err := http1.ReadRequest(c.br, nil)
	require.NoError(c.t, err)
	return q
}

func (c *peer) write(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// ends waits until the dispatcher has closed the connection, and checks that it wrote nothing more.
func (c *peer) ends() {
	c.t.Helper()
	rest, err := io.ReadAll(c.br)
	require.Empty(c.t, string(rest))
	if err != nil {
		require.ErrorIs(c.t, err, syscall.ECONNRESET)
	}
}

// reset closes the connection by a RST.
func (c *peer) reset() {
	require.NoError(c.t, c.SetLinger(0))
	require.NoError(c.t, c.Close())
}

// jam has the encoder let no further connection come up: its queue is full. What it returns lets them come up; the kernel
// tries again each second.
func (e *encoder) jam() (release func()) {
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

// dialed waits until a connection to the encoder is on its way up.
func (e *encoder) dialed() {
	const synSent = "02"
	line := fmt.Sprintf(":%04X %s ", e.Addr().(*net.TCPAddr).Port, synSent)
	require.Eventually(e.t, func() bool {
		table, err := os.ReadFile("/proc/net/tcp")
		return err == nil && strings.Contains(string(table), line)
	}, patience, time.Millisecond)
}

// narrow puts an idle connection into the pool that holds only a few KiB on their way, so that a large request is still being
// written when the encoder has its first bytes. It returns the encoder's end.
func (e *encoder) narrow(p *Pool) *peer {
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
	in := p.endpoints["s-1"]
	c := &conn{
		pool: p, in: in, work: make(chan *exchange, 1), epoch: in.epoch, dialed: time.Now(), since: time.Now(),
		nc: nc, br: bufio.NewReaderSize(nc, http1.MaxLine),
	}
	p.conns++
	p.mu.Unlock()
	go p.run(c, &exchange{aborted: true, done: func(end) {}}) // it rests at once
	rests(e.t, p, 1)
	return e.accept()
}

// large is an attempt whose request fills more than a narrow connection holds.
func large() *dispatch.Attempt {
	a := attempt("s-1")
	a.Command.Payload.(*http1.Request).Body = make([]byte, http1.MaxBody)
	return a
}

func (c *peer) readByte() {
	_, err := c.br.ReadByte()
	require.NoError(c.t, err)
}

// nobody checks that no connection waits to be accepted: one of the test's own is the first.
func (e *encoder) nobody() {
	e.t.Helper()
	c, err := net.Dial("tcp", e.Addr().String())
	require.NoError(e.t, err)
	defer c.Close()
	require.Equal(e.t, c.LocalAddr().String(), e.accept().RemoteAddr().String(), "another came before")
}

// list is the list's line of an encoder.
func (e *encoder) list(state decide.WorkerState) dispatch.InstanceUpdate {
	return dispatch.InstanceUpdate{Instances: []dispatch.Instance{{ID: "s-1", Address: e.Addr().String(), State: state}}}
}

// dial returns a pool whose only encoder is scripted.
func dial(t *testing.T, e *encoder, most int) (*Pool, reports) {
	p, r, _ := pool(t, most)
	p.Listed(e.list(decide.Ready))
	return p, r
}

// serves has an attempt served on a connection that is then idle, and returns the encoder's end of it.
func (e *encoder) serves(p *Pool, r reports) *peer {
	idle := p.Idle()
	a := attempt("s-1")
	a.NewConn = idle > 0
	p.Send(a)
	c := e.accept()
	c.read()
	c.write(accepted)
	require.Equal(e.t, a, next(e.t, r.taken))
	rests(e.t, p, max(1, idle))
	return c
}

// next is what comes next on a channel, within the test's patience.
func next[T any](t *testing.T, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(patience):
		require.FailNow(t, "nothing came")
	}
	return value
}

// rests waits until so many connections are idle and none is busy.
func rests(t *testing.T, p *Pool, idle int) {
	t.Helper()
	require.Eventually(t, func() bool { return p.Idle() == idle && !p.Busy() }, patience, time.Millisecond)
}

// open is how many connections the pool counts.
func open(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}
