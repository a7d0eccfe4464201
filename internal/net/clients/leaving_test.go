package clients

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/wire"
)

const leavingCommand = "POST /api HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Service-Class: safe\r\nContent-Length: 0\r\n\r\n"

// slowFleet holds the loop up in each send until the test lets it go on.
type slowFleet struct {
	sent chan *dispatch.Attempt
	on   chan struct{}
}

func (f *slowFleet) Send(a *dispatch.Attempt) { f.sent <- a; <-f.on }
func (f *slowFleet) GiveUp(*dispatch.Attempt) {}
func (f *slowFleet) Probe(string)             {}
func (f *slowFleet) Release(string)           {}
func (f *slowFleet) Subscribe()               {}

// behind is a loop that sends to one encoder and stands still from the first send on.
func behind(t *testing.T) (*dispatch.Loop, *slowFleet) {
	f := &slowFleet{make(chan *dispatch.Attempt, 9), make(chan struct{})}
	l, err := dispatch.New(decide.Settings{
		Dispatchers: 1, Granularity: time.Millisecond, Limits: decide.Limits{Attempts: 3, Cancel: true},
		Classes: []decide.Class{{Aim: time.Minute, Deadline: time.Hour, Worth: 1, Kind: decide.Any}},
		Rules:   decide.Rules{Cold: time.Second, FallWindow: time.Second, MustAskIn: time.Second},
	}, wire.Names{Classes: []string{"safe"}}, f, f, dispatch.Alone{}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	l.Listed(dispatch.List{Members: []dispatch.Member{{ID: "s-1", State: decide.Ready}}}, true)
	go l.Run(t.Context())
	t.Cleanup(func() { close(f.on) })
	return l, f
}

// goes has a client leave: it closes its connection, or resets it.
var goes = map[string]func(net.Conn){
	"closes": func(c net.Conn) { c.Close() },
	"resets": func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
}

// A client's leaving stops an attempt that has not begun though the loop stands still.
func TestLeavingCountsWhileTheLoopStandsStill(t *testing.T) {
	for name, leave := range goes {
		l, f := behind(t)
		_, s, dial := serve(t, 2, 0)
		s.core = l
		c := dial()
		fmt.Fprint(c, leavingCommand)
		a := <-f.sent
		require.False(t, a.Expired(time.Now()), name)
		leave(c)
		require.Eventually(t, func() bool { return a.Expired(time.Now()) }, 20*time.Second, time.Millisecond, name)
	}
}
