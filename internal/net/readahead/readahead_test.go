package readahead

import (
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/net/http1"
)

// connection returns a reader of a connection, and the peer's end.
func connection(t *testing.T, budget *Budget) (*Reader, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return New(c, nil, budget, nil), peer
}

// Guards against many clients that send much behind their requests making the process hold more memory than its limit:
// beyond the budget, bytes are discarded, and the end of the connection is still noticed.
func TestBuffersOfAllConnectionsAreBounded(t *testing.T) {
	const size = 3 * MaxBuffered
	budget := NewBudget(size)
	var readers []*Reader
	grown := 0
	for range 8 {
		r, peer := connection(t, budget)
		_, err := peer.Write([]byte(strings.Repeat("x", 2*MaxBuffered)))
		require.NoError(t, err)
		require.NoError(t, peer.Close())
		require.ErrorIs(t, r.WatchPeer(), ErrGone)
		require.Positive(t, r.Discarded())
		readers, grown = append(readers, r), grown+r.Size()-http1.MaxLine
	}
	require.Positive(t, grown)
	require.LessOrEqual(t, grown, size)
	for _, r := range readers {
		r.Release()
	}
	require.True(t, budget.take(size), "all has been given back")
}

// A buffer that has grown is given back once what it holds has been read, and loses nothing.
func TestShrinkKeepsWhatIsUnread(t *testing.T) {
	budget := NewBudget(MaxBuffered)
	r, peer := connection(t, budget)
	text := strings.Repeat("x", 20<<10) + "rest"
	_, err := peer.Write([]byte(text))
	require.NoError(t, err)
	for r.Buffered() < len(text) {
		require.NoError(t, r.readMore())
	}
	r.Shrink()
	require.Greater(t, r.Size(), http1.MaxLine, "it does not fit yet")
	_, err = r.Discard(20 << 10)
	require.NoError(t, err)
	r.Shrink()
	require.Equal(t, http1.MaxLine, r.Size())
	require.Equal(t, "rest", string(r.Unread()))
	_, err = peer.Write([]byte("more"))
	require.NoError(t, err)
	require.NoError(t, r.conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	next, err := r.Peek(8)
	require.NoError(t, err)
	require.Equal(t, "restmore", string(next))
	require.True(t, budget.take(MaxBuffered))
}

// countingConn counts the calls of Read.
type countingConn struct {
	*net.TCPConn
	reads int
}

func (c *countingConn) Read(b []byte) (int, error) {
	c.reads++
	return c.TCPConn.Read(b)
}

// Guards against clients that send much to be discarded taking the processor from others, by one call for each 512 bytes.
func TestDiscardingMuchTakesFewReads(t *testing.T) {
	const much = 256 << 10
	r, peer := connection(t, NewBudget(0))
	go peer.Write(make([]byte, much))
	c := &countingConn{TCPConn: r.conn.(*net.TCPConn)}
	for left := much; left > 0; {
		n, err := DiscardSome(c, left)
		require.NoError(t, err)
		left -= n
	}
	require.Less(t, c.reads, much/waitBufferSize/4)
	_, err := peer.Write(make([]byte, waitBufferSize+100))
	require.NoError(t, err)
	for left := waitBufferSize + 100; left > 0; {
		n, err := DiscardSome(c, left)
		require.NoError(t, err)
		require.LessOrEqual(t, n, left)
		left -= n
	}
}

// Guards against a peer that sends without pause keeping the processor from other connections until it is preempted.
func TestYieldLetsOthersRun(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	r, peer := connection(t, NewBudget(0))
	_, err := peer.Write([]byte("next request"))
	require.NoError(t, err)
	_, err = r.Peek(1)
	require.NoError(t, err)
	var othersRan atomic.Bool
	go othersRan.Store(true)
	for range 100 { // the scheduler may choose this goroutine again
		r.Yield()
	}
	require.True(t, othersRan.Load())
}
