package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
)

type recordingSink struct {
	listed       chan dispatch.InstanceUpdate
	alive        chan struct{}
	silent, lost chan error
	ignored      chan error
}

func newSink() recordingSink {
	return recordingSink{make(chan dispatch.InstanceUpdate, 99), make(chan struct{}, 999), make(chan error, 99), make(chan error, 99), make(chan error, 99)}
}

func (s recordingSink) ListReceived(l dispatch.InstanceUpdate) { s.listed <- l }
func (s recordingSink) Heartbeat()                             { s.alive <- struct{}{} }
func (s recordingSink) WatchSilent(_ int, err error)           { s.silent <- err }
func (s recordingSink) ListIgnored(err error)                  { s.ignored <- err }

func (s recordingSink) WatchLost(err error, after time.Duration) { s.lost <- lostWatch{err, after} }

// lostWatch is the error that ended a watch and the time since its call.
type lostWatch struct {
	error
	after time.Duration
}

func (l lostWatch) Unwrap() error { return l.error }

func testSettings(dispatchers int, pushed bool) decide.Settings {
	return decide.Settings{DispatcherCount: dispatchers, ListPushed: pushed, Rules: decide.Rules{SubscribeWithin: 10 * time.Second, DrainGrace: 500 * time.Millisecond}}
}

const (
	responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	drainingList = `{"revision":43,"complete":false,"members":[{"id":"s-5","host_port":"h:1","locality":"a","flavor":"m2","cell":3,"phase":"terminating","size":1.0,"up_since_ms":2000}]}`
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// call is a call that discovery has received.
type call struct {
	net.Conn
	target, address string
	at              time.Time
}

// fakeDiscovery connects a watcher's calls to pipes, which work with a test's virtual time.
func fakeDiscovery(t *testing.T, w *Watcher) chan call {
	calls := make(chan call, 99)
	w.dial = func(_ context.Context, address string, _ time.Time) (net.Conn, error) {
		here, there := net.Pipe()
		t.Cleanup(func() { there.Close() })
		go func() {
			if q, err := http1.ReadRequest(bufio.NewReader(there), nil); err == nil {
				calls <- call{there, q.Target, address, time.Now()}
			}
		}()
		return here, nil
	}
	return calls
}

func runWatcher(t *testing.T, w *Watcher) recordingSink {
	s := newSink()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx, s)
	return s
}

// Every end of a watch is reported once, and the next watch continues from the last revision.
func TestEveryEndOfWatchIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	w := NewWatcher(l.Addr().String(), 41, testSettings(1, false))
	s := runWatcher(t, w)
	for i, text := range []string{
		responseHead + chunk(drainingList+"\n"),
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		responseHead + "3\r\n{x\n\r\n",
		responseHead + "3\r\n{}\n\r\n",
		responseHead + chunk(drainingList[:60]),
		"",
	} {
		w.Subscribe()
		c, err := l.Accept()
		require.NoError(t, err)
		q, err := http1.ReadRequest(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("/catalog/members?stream=1&index=", map[bool]int{true: 41, false: 43}[i == 0]), q.Target)
		fmt.Fprint(c, text)
		c.Close()
		require.Error(t, <-s.lost)
	}
	got := <-s.listed
	require.Equal(t, dispatch.Instance{ID: "s-5", Address: "h:1", Zone: "a", Kind: "m2", Cell: 3, State: decide.Draining,
		Size: 1, Started: time.UnixMilli(2000)}, got.Instances[0])
	require.Empty(t, s.listed)
	require.Empty(t, s.silent)
}

// After a silence of any kind, a new call is made on a new connection at most 5 s after the last data, without
// a subscription, and again for as long as the silence lasts. Bytes that never complete a list do not count as an
// update.
func TestSilentWatchIsReplaced(t *testing.T) {
	for _, tt := range []struct {
		name        string
		dispatchers int
		pushed      bool
		text        []string      // sent one second apart
		from, to    time.Duration // after the last text
	}{
		{"nothing after the connection", 300, false, nil, 3 * time.Second, 5 * time.Second},
		{"nothing after the head", 300, false, []string{responseHead}, 3 * time.Second, 5 * time.Second},
		{"nothing after an empty line", 300, false, []string{responseHead, chunk("\n")}, 3 * time.Second, 5 * time.Second},
		{"half a line", 300, false, []string{responseHead + chunk("\n"), chunk(drainingList[:40])}, 3 * time.Second, 5 * time.Second},
		{"a list in small pieces", 300, false, append([]string{responseHead}, strings.Split(chunk("[")+strings.Repeat("\x00"+chunk(" "), 3), "\x00")...), time.Second, time.Second},
		{"whitespace without an end of line", 300, false, []string{responseHead, chunk(" "), chunk("\t"), chunk("\r"), chunk(" ")}, time.Second, time.Second},
		{"small fleet", 3, false, []string{responseHead, chunk("\n")}, 3 * time.Second, 3060 * time.Millisecond},
		{"agent's watch", 300, true, []string{responseHead, chunk("\n")}, 3 * time.Second, 3 * time.Second},
		{"agent", 300, true, nil, 250 * time.Millisecond, 250 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWatcher("h:1", 41, testSettings(tt.dispatchers, tt.pushed))
				calls := fakeDiscovery(t, w)
				s := runWatcher(t, w)
				w.Subscribe()
				c := <-calls
				for n := range 3 {
					last := c.at
					for i, text := range tt.text {
						if i > 0 {
							time.Sleep(time.Second)
						}
						_, err := c.Write([]byte(text))
						require.NoError(t, err)
						last = time.Now()
					}
					c = <-calls
					require.Equal(t, "/catalog/members?stream=1&index=41", c.target)
					require.GreaterOrEqual(t, c.at.Sub(last), tt.from, n)
					require.LessOrEqual(t, c.at.Sub(last), tt.to, n)
				}
				c.Write([]byte(responseHead + chunk(drainingList+"\n")))
				require.EqualValues(t, 43, (<-s.listed).Revision)
				require.Empty(t, s.lost)
			})
		})
	}
}

// If all dispatchers lose their watch to silence at once, their calls are spread, and none is made too late.
func TestCallsAfterFleetWideSilenceAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var all []time.Duration
		began := time.Now()
		calls := make(chan call, 999)
		for range 300 {
			w := NewWatcher("h:1", 41, testSettings(300, false))
			own := fakeDiscovery(t, w)
			runWatcher(t, w)
			w.Subscribe()
			go func() {
				c := <-own
				c.Write([]byte(responseHead + chunk("\n")))
				calls <- <-own
			}()
		}
		for range 300 {
			all = append(all, (<-calls).at.Sub(began))
		}
		slices.Sort(all)
		require.GreaterOrEqual(t, all[0], 3*time.Second)
		require.Less(t, all[299], 5*time.Second)
		for i := 60; i < 300; i++ {
			require.Greater(t, all[i]-all[i-60], 200*time.Millisecond, "60 calls within 200 ms")
		}
	})
}

// Lists come on one line or on several, in pieces of any size. Empty lines between them are heartbeats; other
// whitespace, the end of a list's last line and blank lines inside a list are not.
func TestIndentedLists(t *testing.T) {
	indented := strings.NewReplacer("{", "{\n\n  ", ",", ",\r\n\t  ", "[", "[\n ", "}", "\n}").Replace(drainingList)
	for _, tt := range []struct {
		name       string
		text       string
		lists      int
		heartbeats int // if sent byte by byte
	}{
		{"on one line", drainingList + "\n", 1, 0},
		{"no end of line", drainingList, 1, 0},
		{"indented", indented + "\n", 1, 0},
		{"whitespace first", " \t\r\n   " + indented + "\r\n\n", 1, 2},
		{"one after another", indented + indented + "\n" + drainingList, 3, 0},
		{"heartbeats", "\n \n\r\n" + indented, 1, 3},
	} {
		for _, size := range []int{1, 7, 4096} {
			t.Run(fmt.Sprint(tt.name, " by ", size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := NewWatcher("h:1", 41, testSettings(1, false))
					calls := fakeDiscovery(t, w)
					s := runWatcher(t, w)
					w.Subscribe()
					c := <-calls
					c.Write([]byte(responseHead))
					for piece := range slices.Chunk([]byte(tt.text), size) {
						c.Write([]byte(chunk(string(piece))))
						synctest.Wait()
						time.Sleep(10 * time.Millisecond) // virtual time: pieces arrive separately
					}
					require.Len(t, s.listed, tt.lists)
					for range tt.lists {
						require.Equal(t, "s-5", (<-s.listed).Instances[0].ID)
					}
					if size == 1 {
						require.Len(t, s.alive, tt.heartbeats)
					}
					require.Empty(t, s.lost)
				})
			})
		}
	}
}

// After an address change, the fleet's calls are spread over 3 s, and the watch at the old address continues to
// report until then. The end of that watch is not reported as a loss. An agent is called at once.
func TestAddressChangesAreSpread(t *testing.T) {
	for _, ends := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := NewWatcher("h:1", 41, testSettings(300, false))
			calls := fakeDiscovery(t, w)
			s := runWatcher(t, w)
			w.Subscribe()
			c := <-calls
			c.Write([]byte(responseHead))
			synctest.Wait()
			began := time.Now()
			w.ChangeAddress("h:2")
			c.Write([]byte(chunk(drainingList)))
			require.EqualValues(t, 43, (<-s.listed).Revision)
			require.True(t, w.AddressChangePending(), "the revision is the old address's")
			if ends {
				c.Close()
			}
			next := <-calls
			require.False(t, w.AddressChangePending())
			require.Equal(t, []string{"h:2", "/catalog/members?stream=1&index=0"}, []string{next.address, next.target})
			require.Less(t, next.at.Sub(began), 3*time.Second)
			require.Empty(t, s.lost)
			require.Empty(t, s.silent)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		w := NewWatcher("h:1", 41, testSettings(300, true))
		calls := fakeDiscovery(t, w)
		runWatcher(t, w)
		c := <-calls // an agent is called at the start without a subscription
		c.Write([]byte(responseHead))
		synctest.Wait()
		began := time.Now()
		w.ChangeAddress("h:2")
		require.Equal(t, began, (<-calls).at)
	})
}

// The interval between subscriptions may be longer than a list stays valid: the clock calls before it expires. While
// others report changes it does not, and a watch requested right after a pause is started.
func TestClockCallsWithoutSubscription(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWatcher("h:1", 41, testSettings(300, false))
		calls := fakeDiscovery(t, w)
		s := runWatcher(t, w)
		w.Subscribe()
		for range 3 {
			c := <-calls
			c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
			require.Error(t, <-s.lost)
			next := <-calls
			require.GreaterOrEqual(t, next.at.Sub(c.at), 4*time.Second)
			require.LessOrEqual(t, next.at.Sub(c.at), 5*time.Second)
			next.Close()
			require.Error(t, <-s.lost)
			next = <-calls
			next.Write([]byte(responseHead + chunk("\n")))
			synctest.Wait()
			next.Close() // a watch that ends is not a failed call
			require.Error(t, <-s.lost)
			ended := time.Now()
			next = <-calls
			require.LessOrEqual(t, next.at.Sub(ended), 5*time.Second)
			w.Pause()
			require.Error(t, <-s.lost)
			time.Sleep(time.Hour)
			synctest.Wait()
			require.Empty(t, calls)
			w.Subscribe()
			<-calls
			w.Pause()
			w.Subscribe()
			require.Error(t, <-s.lost)
		}
	})
}

// A list without an end is not read without limit.
func TestListSizeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWatcher("h:1", 41, testSettings(1, false))
		calls := fakeDiscovery(t, w)
		s := runWatcher(t, w)
		w.Subscribe()
		c := <-calls
		fmt.Fprint(c, responseHead, chunk("["))
		for err := error(nil); err == nil; {
			_, err = fmt.Fprint(c, chunk(strings.Repeat(" ", 64<<10)))
		}
		require.ErrorContains(t, <-s.lost, "list exceeds")
	})
}
