package nametable

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
)

type sink struct {
	listed chan dispatch.List
	lost   chan error
}

func (s sink) Listed(l dispatch.List) { s.listed <- l }
func (s sink) Alive()                 {}
func (s sink) Lost(err error)         { s.lost <- err }

// Whatever way a watch ends, it is told once, and the next one goes on from the last revision.
func TestEveryEndOfAWatchIsTold(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := sink{make(chan dispatch.List, 9), make(chan error, 9)}
	w := NewWatcher(l.Addr().String(), 41)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx, s)
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := `{"revision":43,"complete":false,"members":[{"id":"s-5","host_port":"h:1","locality":"a","flavor":"m2","cell":3,"phase":"terminating","size":1.0,"up_since_ms":2000}]}` + "\n"
	for i, story := range []struct {
		text   string
		silent bool // the connection stays open
	}{
		{fmt.Sprintf("%s%x\r\n%s\r\n", head, len(line), line), false},
		{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false},
		{head + "3\r\n{x\n\r\n", false},
		{head + "3\r\n{}\n\r\n", false},
		{"", false},
		{head + "1\r\n\n\r\n", true},
	} {
		if story.silent { // only there, or a slow machine would make the others silent too
			w.silence = 50 * time.Millisecond
		}
		w.Subscribe()
		c, err := l.Accept()
		require.NoError(t, err)
		q, err := http1.ReadRequest(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("/catalog/members?stream=1&index=", map[bool]int{true: 41, false: 43}[i == 0]), q.Target)
		fmt.Fprint(c, story.text)
		if !story.silent {
			c.Close()
		}
		require.Error(t, <-s.lost)
		c.Close()
	}
	got := <-s.listed
	require.Equal(t, dispatch.Member{ID: "s-5", Address: "h:1", Zone: "a", Kind: "m2", Cell: 3, State: decide.Draining,
		Size: 1, Started: time.UnixMilli(2000)}, got.Members[0])
	require.Empty(t, s.listed)
}

// An agent on the machine answers at once or is down: silence there is no queue to wait in. Once it speaks again
// what was missed comes first.
func TestSilentAgentIsAskedAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := sink{make(chan dispatch.List, 9), make(chan error, 9)}
	w, service := NewWatcher(l.Addr().String(), 41), NewWatcher(l.Addr().String(), 41)
	w.AtAgent(true)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	waits := sink{make(chan dispatch.List, 9), make(chan error, 9)}
	go w.Run(ctx, s)
	go service.Run(ctx, waits)
	for _, watcher := range []*Watcher{service, w} {
		watcher.Subscribe()
		silent, err := l.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { silent.Close() })
	}
	require.ErrorIs(t, <-s.lost, os.ErrDeadlineExceeded)
	require.Empty(t, waits.lost, "a service may have many to answer first")
	w.Subscribe()
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	q, err := http1.ReadRequest(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, "/catalog/members?stream=1&index=41", q.Target)
	line := `{"revision":44,"complete":false,"members":[]}` + "\n"
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
	require.EqualValues(t, 44, (<-s.listed).Revision)
}
