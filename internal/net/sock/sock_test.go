package sock

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connPair returns both ends of a connection.
func connPair(t *testing.T) (ours, theirs *net.TCPConn) {
	l, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	other, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { other.Close() })
	return c.(*net.TCPConn), other.(*net.TCPConn)
}

// Peek returns the state of a connection and consumes nothing: neither bytes nor the end of the stream.
func TestPeek(t *testing.T) {
	reset := func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}
	for name, test := range map[string]struct {
		action func(*net.TCPConn)
		want   State
	}{
		"nothing":          {func(*net.TCPConn) {}, Empty},
		"a byte":           {func(c *net.TCPConn) { c.Write([]byte("x")) }, Data},
		"a byte, then FIN": {func(c *net.TCPConn) { c.Write([]byte("x")); c.Close() }, Data},
		"FIN":              {func(c *net.TCPConn) { c.Close() }, Closed},
		"half closed":      {func(c *net.TCPConn) { c.CloseWrite() }, Closed},
		"RST":              {reset, Closed},
		"RST over a byte":  {func(c *net.TCPConn) { c.Write([]byte("x")); reset(c) }, Data},
		"reads ended":      {func(c *net.TCPConn) { c.CloseRead() }, Empty},
	} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := connPair(t)
			test.action(theirs)
			require.Equal(t, test.want, Peek(ours))
			require.Equal(t, test.want, Peek(ours))
			if test.want == Data {
				var b [2]byte
				n, err := ours.Read(b[:])
				require.NoError(t, err)
				require.Equal(t, "x", string(b[:n]))
			}
		})
	}
}

// Connections that cannot be examined count as closed, so that they are not used.
func TestPeekUnusableConnections(t *testing.T) {
	ours, _ := connPair(t)
	require.NoError(t, ours.SetReadDeadline(time.Unix(1, 0)))
	require.Equal(t, Closed, Peek(ours))
	require.NoError(t, ours.Close())
	require.Equal(t, Closed, Peek(ours))
	one, other := net.Pipe()
	defer other.Close()
	defer one.Close()
	require.Equal(t, Closed, Peek(one))
}

// Two listeners share an address. Once one of them is closed, all connections go to the other.
func TestAddressIsShared(t *testing.T) {
	first, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	second, err := Listen(first.Addr().String())
	require.NoError(t, err)
	defer second.Close()
	require.NoError(t, first.Close())
	for range 9 {
		c, err := net.Dial("tcp", second.Addr().String())
		require.NoError(t, err)
		other, err := second.Accept()
		require.NoError(t, err)
		require.NoError(t, other.Close())
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.NoError(t, c.Close())
	}
}
