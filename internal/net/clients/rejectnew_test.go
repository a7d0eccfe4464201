package clients

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/net/sock"
)

// Connections from before the call are still accepted, later ones are not.
func TestRejectNewConns(t *testing.T) {
	l, err := sock.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	early, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer early.Close()
	require.NoError(t, RejectNewConns(l.(*net.TCPListener)))
	_, err = net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
	require.Error(t, err)
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	early.Write([]byte("x"))
	n, err := c.Read(make([]byte, 1))
	require.Equal(t, []any{1, nil}, []any{n, err})
}
