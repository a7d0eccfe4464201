package plain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/net/http1"
	"caperrelay/internal/routes"
)

// server is a test server of a pool: it counts requests and responds by a script.
type server struct {
	net.Listener
	requests atomic.Int32
	conns    atomic.Int32
	mu       sync.Mutex
	last     *http1.Request
}

// startServer starts a server that responds with what script writes; nil: "ok NAME". If script returns false, the
// connection is closed.
func startServer(t *testing.T, name string, script func(c net.Conn, q *http1.Request) bool) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				for br := bufio.NewReaderSize(c, http1.MaxLine); ; {
					q, err := http1.ReadRequest(br, nil)
					if err != nil {
						return
					}
					s.requests.Add(1)
					s.mu.Lock()
					s.last = q
					s.mu.Unlock()
					if script == nil {
						c.Write(http1.AppendResponse(nil, 200, http1.Header{{Name: "X-Hop", Value: "a"}, {Name: "Connection", Value: "x-hop"}}, []byte("ok "+name)))
					} else if !script(c, q) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func (s *server) address() string { return s.Addr().String() }

// newSite starts a front for a configuration.
func newSite(t *testing.T, c *routes.Config) *Site {
	s, err := NewSite("127.0.0.1:0", c, 10*time.Second, 200, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Loop.Run(ctx)
	require.NoError(t, s.Front.Open())
	t.Cleanup(func() {
		s.Front.Leave()
		cancel()
		s.Servers.Close()
	})
	return s
}

// onePool returns a configuration that sends all requests to one pool.
func onePool(method string, members ...routes.Member) *routes.Config {
	return &routes.Config{
		Pools:   []routes.Pool{{Name: "p", Method: method, Key: "$request_uri", Members: members}},
		Servers: []routes.Server{{Listen: []routes.Listen{{Address: ":0"}}, Locations: []routes.Location{{Pattern: "/", Pass: "http://p"}}}},
	}
}

// listenAt sets the listen port of all servers to that of the front, which is known only once it listens.
func listenAt(c *routes.Config, s string) *routes.Config {
	_, port, _ := net.SplitHostPort(s)
	for i := range c.Servers {
		c.Servers[i].Listen = []routes.Listen{{Address: ":" + port}}
	}
	return c
}

type client struct {
	t  *testing.T
	nc net.Conn
	br *bufio.Reader
}

func dial(t *testing.T, s *Site) *client {
	nc, err := net.Dial("tcp", s.Front.Address())
	require.NoError(t, err)
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{t, nc, bufio.NewReader(nc)}
}

func (c *client) do(method, target, body string) *http1.Response {
	_, err := c.nc.Write(http1.AppendRequest(nil, method, target, http1.Header{{Name: "Host", Value: "x"}, {Name: "X-Keep", Value: "1"}, {Name: "Connection", Value: "X-Drop"}, {Name: "X-Drop", Value: "1"}}, []byte(body)))
	require.NoError(c.t, err)
	p, err := http1.ReadResponse(c.br, method)
	require.NoError(c.t, err)
	return p
}

func startSite(t *testing.T, c *routes.Config) *Site {
	s := newSite(t, c)
	require.NoError(t, s.Reload(listenAt(c, s.Front.Address())))
	return s
}

// Requests are split exactly by weight, backups get none, connections are reused, and hop-by-hop fields are not
// forwarded.
func TestWeights(t *testing.T) {
	a, b, c, d := startServer(t, "a", nil), startServer(t, "b", nil), startServer(t, "c", nil), startServer(t, "d", nil)
	s := startSite(t, onePool("", routes.Member{Address: a.address(), Weight: 5}, routes.Member{Address: b.address()}, routes.Member{Address: c.address()}, routes.Member{Address: d.address(), Backup: true}))
	k := dial(t, s)
	for range 350 {
		p := k.do("GET", "/x?y=%20z", "")
		require.Equal(t, 200, p.Status)
		require.False(t, p.Header.Present("X-Hop"))
	}
	require.Equal(t, []int32{250, 50, 50, 0}, []int32{a.requests.Load(), b.requests.Load(), c.requests.Load(), d.requests.Load()})
	require.EqualValues(t, 3, a.conns.Load()+b.conns.Load()+c.conns.Load())
	a.mu.Lock()
	defer a.mu.Unlock()
	require.Equal(t, "/x?y=%20z", a.last.Target)
	require.Equal(t, "1", a.last.Header.Get("X-Keep"))
	require.False(t, a.last.Header.Present("X-Drop"))
	require.Equal(t, "p", a.last.Header.Get("Host"))
}

// When a server closes the connection after it got a request, idempotent requests are retried elsewhere; others
// are answered 502 and reach no second server.
func TestNonIdempotentRequestsAreNotRetried(t *testing.T) {
	broken := startServer(t, "broken", func(net.Conn, *http1.Request) bool { return false })
	for method, want := range map[string]struct {
		status int
		others int32
	}{"GET": {200, 1}, "PUT": {200, 1}, "POST": {502, 0}, "PATCH": {502, 0}} {
		good := startServer(t, "good", nil)
		before := broken.requests.Load()
		s := startSite(t, onePool("", routes.Member{Address: broken.address(), Weight: 2}, routes.Member{Address: good.address()}))
		p := dial(t, s).do(method, "/", "b")
		require.Equal(t, want.status, p.Status, method)
		require.Equal(t, want.others, good.requests.Load(), method)
		require.EqualValues(t, 1, broken.requests.Load()-before, method)
	}
}

// No request of any method fails because a server is unreachable. If all primaries are, the backup serves; with
// no server left the answer is 502 or 503 without waiting for the deadline.
func TestUnreachableServers(t *testing.T) {
	gone := startServer(t, "gone", nil)
	gone.Close()
	good, backup := startServer(t, "good", nil), startServer(t, "backup", nil)
	s := startSite(t, onePool("", routes.Member{Address: gone.address(), Weight: 9}, routes.Member{Address: good.address()}, routes.Member{Address: backup.address(), Backup: true}))
	k := dial(t, s)
	for range 20 {
		require.Equal(t, 200, k.do("POST", "/", "b").Status)
	}
	require.Zero(t, backup.requests.Load())
	s = startSite(t, onePool("", routes.Member{Address: gone.address()}, routes.Member{Address: backup.address(), Backup: true}))
	k = dial(t, s)
	for range 5 {
		require.Equal(t, "ok backup", string(k.do("POST", "/", "b").Body))
	}
	s = startSite(t, onePool("", routes.Member{Address: gone.address()}, routes.Member{Address: gone.address()[:len(gone.address())-1] + "1", Down: true}))
	start := time.Now()
	p := dial(t, s).do("GET", "/", "")
	require.Contains(t, []int{502, 503}, p.Status)
	require.Less(t, time.Since(start), 8*time.Second)
}

// Bytes of a malformed, truncated or surplus response never reach another client, and the connection is not
// reused.
func TestMalformedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"garbage":       "I am no HTTP\r\n\r\n",
		"half a body":   "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"both lengths":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"a huge number": "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"bad chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
	} {
		bad := startServer(t, "bad", func(c net.Conn, _ *http1.Request) bool {
			io.WriteString(c, text)
			return false
		})
		s := startSite(t, onePool("", routes.Member{Address: bad.address()}))
		p := dial(t, s).do("POST", "/", "b")
		require.Equal(t, 502, p.Status, name)
	}
	n := atomic.Int32{}
	twice := startServer(t, "twice", func(c net.Conn, q *http1.Request) bool {
		me := fmt.Sprint("answer ", n.Add(1))
		c.Write(append(http1.AppendResponse(nil, 200, nil, []byte(me)), http1.AppendResponse(nil, 200, nil, []byte("for nobody"))...))
		return true
	})
	s := startSite(t, onePool("", routes.Member{Address: twice.address()}))
	k := dial(t, s)
	for i := range 10 {
		require.Equal(t, fmt.Sprint("answer ", i+1), string(k.do("POST", "/", "b").Body))
	}
	require.EqualValues(t, 10, twice.conns.Load(), "connections with surplus data are not reused")
}

// Requests that two parsers could read differently (request smuggling) are refused and reach no server.
func TestSmuggling(t *testing.T) {
	a := startServer(t, "a", nil)
	s := startSite(t, onePool("", routes.Member{Address: a.address()}))
	for name, text := range map[string]string{
		"both lengths":        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":         "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"folded":              "GET / HTTP/1.1\r\nHost: x\r\nX-A: 1\r\n 2\r\n\r\n",
		"space before colon":  "GET / HTTP/1.1\r\nHost: x\r\nContent-Length : 5\r\n\r\nhello",
		"chunk size":          "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
		"chunk size overflow": "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\n\r\n",
		"other coding":        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"two hosts":           "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
		"huge head":           "GET / HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 64<<10) + "\r\n\r\n",
		"no method":           " / HTTP/1.1\r\nHost: x\r\n\r\n",
		"negative length":     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
		"signed length":       "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +5\r\n\r\nhello",
	} {
		k := dial(t, s)
		io.WriteString(k.nc, text)
		p, err := http1.ReadResponse(k.br, "POST")
		require.NoError(t, err, name)
		require.Contains(t, []int{400, 413, 431, 501}, p.Status, name)
		_, err = k.br.ReadByte()
		require.Error(t, err, name+": the connection must be closed")
	}
	require.Zero(t, a.requests.Load())
	k := dial(t, s) // two pipelined requests are served in order
	io.WriteString(k.nc, "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhiGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	for range 2 {
		p, err := http1.ReadResponse(k.br, "GET")
		require.NoError(t, err)
		require.Equal(t, 200, p.Status)
	}
	require.EqualValues(t, 2, a.requests.Load())
}

// With a consistent hash each target goes to the same server; responses given by the routes need no server.
func TestConsistentHashAndReturn(t *testing.T) {
	a, b, c := startServer(t, "a", nil), startServer(t, "b", nil), startServer(t, "c", nil)
	routed := onePool("consistent", routes.Member{Address: a.address()}, routes.Member{Address: b.address()}, routes.Member{Address: c.address()})
	routed.Servers[0].Locations = append(routed.Servers[0].Locations,
		routes.Location{Modifier: "=", Pattern: "/health", Steps: []routes.Step{{Action: "return", Args: []string{"200", "well"}}}},
		routes.Location{Modifier: "=", Pattern: "/moved", Steps: []routes.Step{{Action: "return", Args: []string{"301", "/there"}}}},
		routes.Location{Pattern: "/nowhere", Pass: "http://$arg_pool"})
	s := startSite(t, routed)
	k := dial(t, s)
	seen := map[string]string{}
	for range 3 {
		for n := range 30 {
			target := fmt.Sprint("/lecture/", n)
			got := string(k.do("GET", target, "").Body)
			if before, ok := seen[target]; ok {
				require.Equal(t, before, got)
			}
			seen[target] = got
		}
	}
	require.Greater(t, min(a.requests.Load(), b.requests.Load(), c.requests.Load()), int32(0))
	require.Equal(t, "well", string(k.do("GET", "/health", "").Body))
	p := k.do("GET", "/moved", "")
	require.Equal(t, []any{301, "/there"}, []any{p.Status, p.Header.Get("Location")})
	require.Equal(t, 502, k.do("GET", "/nowhere?pool=q", "").Status)
	require.Empty(t, k.do("HEAD", "/health", "").Body)
}

// A member that is removed during a request finishes it and gets no new ones; an invalid configuration changes
// nothing; after Leave the front reopens at its address.
func TestReload(t *testing.T) {
	release := make(chan bool)
	a := startServer(t, "a", func(c net.Conn, _ *http1.Request) bool {
		<-release
		c.Write(http1.AppendResponse(nil, 200, nil, []byte("late")))
		return true
	})
	b := startServer(t, "b", nil)
	s := startSite(t, onePool("", routes.Member{Address: a.address()}))
	long := dial(t, s)
	done := make(chan *http1.Response)
	go func() { done <- long.do("POST", "/", "b") }()
	require.Eventually(t, func() bool { return a.requests.Load() == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, s.Reload(listenAt(onePool("", routes.Member{Address: b.address()}), s.Front.Address())))
	k := dial(t, s)
	for range 20 {
		require.Equal(t, "ok b", string(k.do("POST", "/", "b").Body))
	}
	require.Error(t, s.Reload(&routes.Config{}))
	require.Equal(t, "ok b", string(k.do("GET", "/", "").Body))
	close(release)
	require.Equal(t, "late", string((<-done).Body))
	require.EqualValues(t, 1, a.requests.Load())
	before := s.Front.Address()
	s.Front.Leave()
	require.Eventually(t, s.Front.Quiet, 10*time.Second, time.Millisecond)
	require.NoError(t, s.Front.Open())
	require.Equal(t, before, s.Front.Address())
	require.Equal(t, 200, dial(t, s).do("GET", "/", "").Status)
}

// The front applies the limits and headers of the routes: requests beyond burst or concurrency limit are refused,
// and servers get the headers that are set.
func TestLimitsAndHeaders(t *testing.T) {
	release := make(chan bool)
	a := startServer(t, "a", func(c net.Conn, q *http1.Request) bool {
		if q.Target == "/hold" {
			<-release
		}
		c.Write(http1.AppendResponse(nil, 200, nil, []byte(q.Header.Get("Host")+"|"+q.Header.Get("X-Real")+"|"+q.Header.Get("X-Keep"))))
		return true
	})
	c := onePool("", routes.Member{Address: a.address()})
	c.Zones = []routes.Zone{{Name: "r", Key: "$arg_k", Rate: 0.001, MaxKeys: 10}, {Name: "c", Key: "$host", MaxKeys: 10}}
	c.Servers[0].Locations = []routes.Location{
		{Pattern: "/", Pass: "http://p", Limits: []routes.Limit{{Zone: "r", Burst: 2, NoDelay: true}}, Headers: [][2]string{{"Host", "inner"}, {"X-Real", "$remote_addr"}, {"X-Keep", ""}}},
		{Pattern: "/hold", Pass: "http://p", Limits: []routes.Limit{{Zone: "c", MaxConcurrent: 2}}},
	}
	s := startSite(t, c)
	k := dial(t, s)
	for n := range 5 {
		p := k.do("GET", "/x?k=1", "")
		require.Equal(t, n < 3, p.Status == 200, n)
		if n == 0 {
			require.Equal(t, "inner|127.0.0.1|", string(p.Body))
		}
	}
	require.Equal(t, 200, k.do("GET", "/x?k=2", "").Status, "another key")
	require.Equal(t, 200, k.do("GET", "/x", "").Status, "an empty key is not limited")
	require.NoError(t, s.Reload(listenAt(c, s.Front.Address())))
	require.Equal(t, 503, k.do("GET", "/x?k=1", "").Status, "a reload keeps the rate state")
	done := make(chan int, 2)
	before := a.requests.Load()
	for range 2 {
		h := dial(t, s)
		go func() { done <- h.do("GET", "/hold", "").Status }()
	}
	require.Eventually(t, func() bool { return a.requests.Load() == before+2 }, 10*time.Second, time.Millisecond)
	require.Equal(t, 503, k.do("GET", "/hold", "").Status)
	close(release)
	require.Equal(t, []int{200, 200}, []int{<-done, <-done})
	require.Equal(t, 200, k.do("GET", "/hold", "").Status)
}

// The response to HEAD has the server's Content-Length and no body, and the connection stays usable. A request that
// exceeds the timeout of its location is answered 504.
func TestHeadAndTimeout(t *testing.T) {
	a := startServer(t, "a", func(c net.Conn, q *http1.Request) bool {
		if q.Method == "HEAD" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nX-A: 1\r\n\r\n")
			return true
		}
		if q.Target != "/slow" {
			c.Write(http1.AppendResponse(nil, 200, nil, []byte("ok")))
		}
		return true
	})
	c := onePool("", routes.Member{Address: a.address()})
	c.Servers[0].Locations = append(c.Servers[0].Locations, routes.Location{Pattern: "/slow", Pass: "http://p", Timeout: "300ms"})
	s := startSite(t, c)
	k := dial(t, s)
	p := k.do("HEAD", "/", "")
	require.Equal(t, []any{200, "1234", "1"}, []any{p.Status, p.Header.Get("Content-Length"), p.Header.Get("X-A")})
	require.Equal(t, "ok", string(k.do("GET", "/", "").Body))
	p = k.do("POST", "/slow", "b")
	require.Equal(t, 504, p.Status)
	require.Equal(t, "ok", string(k.do("GET", "/", "").Body))
}

// A location may limit a request to one try, or allow retries of non-idempotent methods.
func TestRetrySettingsOfLocation(t *testing.T) {
	broken := startServer(t, "broken", func(net.Conn, *http1.Request) bool { return false })
	good := startServer(t, "good", nil)
	for target, want := range map[string]int{"/once": 502, "/again": 200, "/plain": 502} {
		c := onePool("", routes.Member{Address: broken.address(), Weight: 9}, routes.Member{Address: good.address()})
		c.Servers[0].Locations = append(c.Servers[0].Locations,
			routes.Location{Pattern: "/once", Pass: "http://p", Tries: 1, RetryNonIdempotent: true}, routes.Location{Pattern: "/again", Pass: "http://p", RetryNonIdempotent: true})
		require.Equal(t, want, dial(t, startSite(t, c)).do("POST", target, "b").Status, target)
	}
}

// Configurations of 100,000 routes are reloaded under load; no request may fail: each is answered by the
// old or the new routes.
func TestLargeReloadUnderLoad(t *testing.T) {
	a := startServer(t, "a", nil)
	c := onePool("", routes.Member{Address: a.address()})
	s := startSite(t, c)
	stop := make(chan bool)
	var wg sync.WaitGroup
	var sent, failed atomic.Int32
	for range 4 {
		k := dial(t, s)
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				io.WriteString(k.nc, "GET /faculty/3/x HTTP/1.1\r\nHost: x\r\n\r\n")
				p, err := http1.ReadResponse(k.br, "GET")
				if sent.Add(1); err != nil || p.Status != 200 {
					failed.Add(1)
					return
				}
			}
		})
	}
	for n := range 3 {
		large := onePool("", routes.Member{Address: a.address()})
		for i := range 100_000 {
			large.Servers[0].Locations = append(large.Servers[0].Locations, routes.Location{Pattern: fmt.Sprintf("/faculty/%d/%d/", i, n), Pass: "http://p"})
		}
		require.NoError(t, s.Reload(listenAt(large, s.Front.Address())))
	}
	require.NoError(t, s.Reload(listenAt(c, s.Front.Address())))
	require.Eventually(t, func() bool { return sent.Load() > 50 }, 20*time.Second, time.Millisecond)
	close(stop)
	wg.Wait()
	require.Zero(t, failed.Load(), "of %d", sent.Load())
}

// Guards against decoded text of a target reaching a server as a further request, or a client as a further header line.
func TestDecodedLineEndsStayInTheirLine(t *testing.T) {
	var got sync.Map
	a := startServer(t, "a", func(c net.Conn, q *http1.Request) bool {
		got.Store(q.Target, q.Header)
		c.Write(http1.AppendResponse(nil, 200, nil, []byte(q.Target)))
		return true
	})
	c := onePool("", routes.Member{Address: a.address()})
	c.Servers[0].Locations = []routes.Location{
		{Pattern: "/try", Steps: []routes.Step{{Action: "rewrite", Args: []string{"^([^!]*)$", "/app?q=$1", "last"}}}},
		{Pattern: "/app", Pass: "http://p"},
		{Pattern: "/pass", Pass: "http://p$uri", Headers: [][2]string{{"X-Path", "$uri"}}},
		{Pattern: "/away", Steps: []routes.Step{{Action: "return", Args: []string{"302", "https://x.example$uri"}}}},
	}
	s := startSite(t, c)
	k := dial(t, s)
	const inner = "%20HTTP/1.1%0D%0AHost:%20p%0D%0A%0D%0APOST%20/internal%20HTTP/1.1%0D%0AContent-Length:%200%0D%0AX-Rest:%20"
	for _, target := range []string{"/app?q=/try" + inner, "/pass" + inner} {
		sent := strings.TrimPrefix(target, "/app?q=")
		p := k.do("GET", sent, "")
		require.Equal(t, 200, p.Status)
		require.Equal(t, target, string(p.Body))
		h, arrived := got.Load(target)
		require.True(t, arrived)
		require.False(t, h.(http1.Header).Present("X-Rest"))
	}
	require.EqualValues(t, 2, a.requests.Load(), "one for each request of the client")
	p := k.do("GET", "/away%0D%0AX-Rest:%20a", "")
	require.Equal(t, 302, p.Status)
	require.False(t, p.Header.Present("X-Rest"))
	require.Equal(t, "/app?q=/try", string(k.do("GET", "/try", "").Body), "the connection goes on")
}

// Guards against requests of a client that has left being sent afterwards, because bytes behind a request hid the end of
// the connection: one that waits its turn, the one behind it, and one that a server has.
func TestClientThatLeftWithBytesUnreadIsNoticed(t *testing.T) {
	cancelled := make(chan bool, 1)
	a := startServer(t, "a", func(c net.Conn, q *http1.Request) bool {
		if q.Target == "/held" {
			c.Read(make([]byte, 1)) // until the front closes the connection
			cancelled <- true
			return false
		}
		c.Write(http1.AppendResponse(nil, 200, nil, nil))
		return true
	})
	c := onePool("", routes.Member{Address: a.address()})
	c.Zones = []routes.Zone{{Name: "r", Key: "all", Rate: 4, MaxKeys: 1}}
	c.Servers[0].Locations = []routes.Location{
		{Pattern: "/held", Pass: "http://p"}, {Pattern: "/", Pass: "http://p", Limits: []routes.Limit{{Zone: "r", Burst: 10}}},
	}
	s := startSite(t, c)
	for _, behind := range []string{"GET /behind HTTP/1.1\r\nHost: x\r\n\r\n", strings.Repeat("y", 200<<10)} {
		a.requests.Store(0)
		require.Equal(t, 200, dial(t, s).do("GET", "/first", "").Status)
		k := dial(t, s)
		_, err := io.WriteString(k.nc, "POST /waits HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"+behind)
		require.NoError(t, err)
		require.NoError(t, k.nc.Close())
		require.Equal(t, 200, dial(t, s).do("GET", "/last", "").Status) // its turn comes after that of the one that left
		require.Eventually(t, s.Front.Quiet, 10*time.Second, time.Millisecond)
		require.EqualValues(t, 2, a.requests.Load())

		k = dial(t, s)
		_, err = io.WriteString(k.nc, "GET /held HTTP/1.1\r\nHost: x\r\n\r\n"+behind)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return a.requests.Load() == 3 }, 10*time.Second, time.Millisecond)
		require.NoError(t, k.nc.Close())
		select {
		case <-cancelled:
		case <-time.After(10 * time.Second):
			require.FailNow(t, "the server still has the request")
		}
	}
	k := dial(t, s) // a client that stays has both of its requests answered
	_, err := io.WriteString(k.nc, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	for range 2 {
		p, err := http1.ReadResponse(k.br, "GET")
		require.NoError(t, err)
		require.Equal(t, 200, p.Status)
	}
}
