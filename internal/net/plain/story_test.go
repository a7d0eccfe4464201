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

// server is a stand-in for a pool's server: it counts what comes and answers by its script.
type server struct {
	net.Listener
	came  atomic.Int32
	conns atomic.Int32
	mu    sync.Mutex
	last  *http1.Request
}

// serve answers each request with what script writes; nil: "ok NAME". false ends the connection.
func serve(t *testing.T, name string, script func(c net.Conn, q *http1.Request) bool) *server {
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
					s.came.Add(1)
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

func (s *server) at() string { return s.Addr().String() }

// site starts a front for routes.
func site(t *testing.T, c *routes.Config) *Site {
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

// one is routes of one pool for all.
func one(method string, members ...routes.Member) *routes.Config {
	return &routes.Config{
		Pools:   []routes.Pool{{Name: "p", Method: method, Key: "$request_uri", Members: members}},
		Servers: []routes.Server{{Listen: []routes.Listen{{Address: ":0"}}, Locations: []routes.Location{{Pattern: "/", Pass: "http://p"}}}},
	}
}

// The routes of a test listen at any port: theirs is the front's.
func listening(c *routes.Config, s string) *routes.Config {
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

func (c *client) ask(method, target, body string) *http1.Response {
	_, err := c.nc.Write(http1.AppendRequest(nil, method, target, http1.Header{{Name: "Host", Value: "x"}, {Name: "X-Keep", Value: "1"}, {Name: "Connection", Value: "X-Drop"}, {Name: "X-Drop", Value: "1"}}, []byte(body)))
	require.NoError(c.t, err)
	p, err := http1.ReadResponse(c.br, method)
	require.NoError(c.t, err)
	return p
}

func begin(t *testing.T, c *routes.Config) *Site {
	s := site(t, c)
	require.NoError(t, s.Reload(listening(c, s.Front.Address())))
	return s
}

// Weights hold to the request through the decision module, backups get nothing, connections are kept, and
// what is one connection's own stays on it.
func TestWeightsThroughTheModule(t *testing.T) {
	a, b, c, d := serve(t, "a", nil), serve(t, "b", nil), serve(t, "c", nil), serve(t, "d", nil)
	s := begin(t, one("", routes.Member{Address: a.at(), Weight: 5}, routes.Member{Address: b.at()}, routes.Member{Address: c.at()}, routes.Member{Address: d.at(), Backup: true}))
	k := dial(t, s)
	for range 350 {
		p := k.ask("GET", "/x?y=%20z", "")
		require.Equal(t, 200, p.Status)
		require.False(t, p.Header.Present("X-Hop"))
	}
	require.Equal(t, []int32{250, 50, 50, 0}, []int32{a.came.Load(), b.came.Load(), c.came.Load(), d.came.Load()})
	require.EqualValues(t, 3, a.conns.Load()+b.conns.Load()+c.conns.Load())
	a.mu.Lock()
	defer a.mu.Unlock()
	require.Equal(t, "/x?y=%20z", a.last.Target)
	require.Equal(t, "1", a.last.Header.Get("X-Keep"))
	require.False(t, a.last.Header.Present("X-Drop"))
	require.Equal(t, "p", a.last.Header.Get("Host"))
}

// A server that breaks off after it had a request: what may be repeated goes elsewhere, what may not is
// answered 502 and comes to no second server.
func TestWhatMayHaveRunIsNotSentAgain(t *testing.T) {
	broken := serve(t, "broken", func(net.Conn, *http1.Request) bool { return false })
	for method, want := range map[string]struct {
		status int
		others int32
	}{"GET": {200, 1}, "PUT": {200, 1}, "POST": {502, 0}, "PATCH": {502, 0}} {
		good := serve(t, "good", nil)
		before := broken.came.Load()
		s := begin(t, one("", routes.Member{Address: broken.at(), Weight: 2}, routes.Member{Address: good.at()}))
		p := dial(t, s).ask(method, "/", "b")
		require.Equal(t, want.status, p.Status, method)
		require.Equal(t, want.others, good.came.Load(), method)
		require.EqualValues(t, 1, broken.came.Load()-before, method)
	}
}

// Servers that cannot be reached cost nobody his request, of whatever method; with all primaries so the backup
// serves; with none left the answer is 502 or 503 at once.
func TestUnreachableServers(t *testing.T) {
	gone := serve(t, "gone", nil)
	gone.Close()
	good, backup := serve(t, "good", nil), serve(t, "backup", nil)
	s := begin(t, one("", routes.Member{Address: gone.at(), Weight: 9}, routes.Member{Address: good.at()}, routes.Member{Address: backup.at(), Backup: true}))
	k := dial(t, s)
	for range 20 {
		require.Equal(t, 200, k.ask("POST", "/", "b").Status)
	}
	require.Zero(t, backup.came.Load())
	s = begin(t, one("", routes.Member{Address: gone.at()}, routes.Member{Address: backup.at(), Backup: true}))
	k = dial(t, s)
	for range 5 {
		require.Equal(t, "ok backup", string(k.ask("POST", "/", "b").Body))
	}
	s = begin(t, one("", routes.Member{Address: gone.at()}, routes.Member{Address: gone.at()[:len(gone.at())-1] + "1", Down: true}))
	start := time.Now()
	p := dial(t, s).ask("GET", "/", "")
	require.Contains(t, []int{502, 503}, p.Status)
	require.Less(t, time.Since(start), 8*time.Second)
}

// A server that answers garbage, half a body, or more than it was asked for never has its bytes reach another
// client, nor its connection used again.
func TestServersThatAnswerBadly(t *testing.T) {
	for name, text := range map[string]string{
		"garbage":       "I am no HTTP\r\n\r\n",
		"half a body":   "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"both lengths":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"a huge number": "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"bad chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
	} {
		bad := serve(t, "bad", func(c net.Conn, _ *http1.Request) bool {
			io.WriteString(c, text)
			return false
		})
		s := begin(t, one("", routes.Member{Address: bad.at()}))
		p := dial(t, s).ask("POST", "/", "b")
		require.Equal(t, 502, p.Status, name)
	}
	n := atomic.Int32{}
	twice := serve(t, "twice", func(c net.Conn, q *http1.Request) bool {
		me := fmt.Sprint("answer ", n.Add(1))
		c.Write(append(http1.AppendResponse(nil, 200, nil, []byte(me)), http1.AppendResponse(nil, 200, nil, []byte("for nobody"))...))
		return true
	})
	s := begin(t, one("", routes.Member{Address: twice.at()}))
	k := dial(t, s)
	for i := range 10 {
		require.Equal(t, fmt.Sprint("answer ", i+1), string(k.ask("POST", "/", "b").Body))
	}
	require.EqualValues(t, 10, twice.conns.Load(), "its connections are not used again")
}

// What two parties might read as different requests is refused, and reaches no server.
func TestSmuggling(t *testing.T) {
	a := serve(t, "a", nil)
	s := begin(t, one("", routes.Member{Address: a.at()}))
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
		require.Error(t, err, name+": the connection ends")
	}
	require.Zero(t, a.came.Load())
	k := dial(t, s) // two at once are two, in order
	io.WriteString(k.nc, "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhiGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	for range 2 {
		p, err := http1.ReadResponse(k.br, "GET")
		require.NoError(t, err)
		require.Equal(t, 200, p.Status)
	}
	require.EqualValues(t, 2, a.came.Load())
}

// A consistent hash sends a target to one server, through the module; answers of the routes need no server.
func TestHashAndOwnAnswers(t *testing.T) {
	a, b, c := serve(t, "a", nil), serve(t, "b", nil), serve(t, "c", nil)
	routed := one("consistent", routes.Member{Address: a.at()}, routes.Member{Address: b.at()}, routes.Member{Address: c.at()})
	routed.Servers[0].Locations = append(routed.Servers[0].Locations,
		routes.Location{Modifier: "=", Pattern: "/health", Steps: []routes.Step{{Action: "return", Args: []string{"200", "well"}}}},
		routes.Location{Modifier: "=", Pattern: "/moved", Steps: []routes.Step{{Action: "return", Args: []string{"301", "/there"}}}},
		routes.Location{Pattern: "/nowhere", Pass: "http://$arg_pool"})
	s := begin(t, routed)
	k := dial(t, s)
	seen := map[string]string{}
	for range 3 {
		for n := range 30 {
			target := fmt.Sprint("/lecture/", n)
			got := string(k.ask("GET", target, "").Body)
			if before, ok := seen[target]; ok {
				require.Equal(t, before, got)
			}
			seen[target] = got
		}
	}
	require.Greater(t, min(a.came.Load(), b.came.Load(), c.came.Load()), int32(0))
	require.Equal(t, "well", string(k.ask("GET", "/health", "").Body))
	p := k.ask("GET", "/moved", "")
	require.Equal(t, []any{301, "/there"}, []any{p.Status, p.Header.Get("Location")})
	require.Equal(t, 502, k.ask("GET", "/nowhere?pool=q", "").Status)
	require.Empty(t, k.ask("HEAD", "/health", "").Body)
}

// A member that is taken out in the middle of a long answer ends it and gets nothing new; faulty routes change
// nothing; the front comes back at its address after it left.
func TestReload(t *testing.T) {
	release := make(chan bool)
	a := serve(t, "a", func(c net.Conn, _ *http1.Request) bool {
		<-release
		c.Write(http1.AppendResponse(nil, 200, nil, []byte("late")))
		return true
	})
	b := serve(t, "b", nil)
	s := begin(t, one("", routes.Member{Address: a.at()}))
	long := dial(t, s)
	done := make(chan *http1.Response)
	go func() { done <- long.ask("POST", "/", "b") }()
	require.Eventually(t, func() bool { return a.came.Load() == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, s.Reload(listening(one("", routes.Member{Address: b.at()}), s.Front.Address())))
	k := dial(t, s)
	for range 20 {
		require.Equal(t, "ok b", string(k.ask("POST", "/", "b").Body))
	}
	require.Error(t, s.Reload(&routes.Config{}))
	require.Equal(t, "ok b", string(k.ask("GET", "/", "").Body))
	close(release)
	require.Equal(t, "late", string((<-done).Body))
	require.EqualValues(t, 1, a.came.Load())
	before := s.Front.Address()
	s.Front.Leave()
	require.Eventually(t, s.Front.Quiet, 10*time.Second, time.Millisecond)
	require.NoError(t, s.Front.Open())
	require.Equal(t, before, s.Front.Address())
	require.Equal(t, 200, dial(t, s).ask("GET", "/", "").Status)
}

// Limits and headers of the routes hold at the front: a burst beyond the rate is refused, at most so many at one
// time, and servers see the fields that were set.
func TestLimitsAndHeaders(t *testing.T) {
	release := make(chan bool)
	a := serve(t, "a", func(c net.Conn, q *http1.Request) bool {
		if q.Target == "/hold" {
			<-release
		}
		c.Write(http1.AppendResponse(nil, 200, nil, []byte(q.Header.Get("Host")+"|"+q.Header.Get("X-Real")+"|"+q.Header.Get("X-Keep"))))
		return true
	})
	c := one("", routes.Member{Address: a.at()})
	c.Zones = []routes.Zone{{Name: "r", Key: "$arg_k", Rate: 0.001, MaxKeys: 10}, {Name: "c", Key: "$host", MaxKeys: 10}}
	c.Servers[0].Locations = []routes.Location{
		{Pattern: "/", Pass: "http://p", Limits: []routes.Limit{{Zone: "r", Burst: 2, NoDelay: true}}, Headers: [][2]string{{"Host", "inner"}, {"X-Real", "$remote_addr"}, {"X-Keep", ""}}},
		{Pattern: "/hold", Pass: "http://p", Limits: []routes.Limit{{Zone: "c", MaxConcurrent: 2}}},
	}
	s := begin(t, c)
	k := dial(t, s)
	for n := range 5 {
		p := k.ask("GET", "/x?k=1", "")
		require.Equal(t, n < 3, p.Status == 200, n)
		if n == 0 {
			require.Equal(t, "inner|127.0.0.1|", string(p.Body))
		}
	}
	require.Equal(t, 200, k.ask("GET", "/x?k=2", "").Status, "another key")
	require.Equal(t, 200, k.ask("GET", "/x", "").Status, "none is not counted")
	require.NoError(t, s.Reload(listening(c, s.Front.Address())))
	require.Equal(t, 503, k.ask("GET", "/x?k=1", "").Status, "a reload forgets nothing")
	done := make(chan int, 2)
	before := a.came.Load()
	for range 2 {
		h := dial(t, s)
		go func() { done <- h.ask("GET", "/hold", "").Status }()
	}
	require.Eventually(t, func() bool { return a.came.Load() == before+2 }, 10*time.Second, time.Millisecond)
	require.Equal(t, 503, k.ask("GET", "/hold", "").Status)
	close(release)
	require.Equal(t, []int{200, 200}, []int{<-done, <-done})
	require.Equal(t, 200, k.ask("GET", "/hold", "").Status)
}

// HEAD has the length that the server gave and no body, and the next answer on the connection is the next's; a
// location's time ends what takes longer, with 504 for what may be lost.
func TestHeadAndTime(t *testing.T) {
	a := serve(t, "a", func(c net.Conn, q *http1.Request) bool {
		if q.Method == "HEAD" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nX-A: 1\r\n\r\n")
			return true
		}
		if q.Target != "/slow" {
			c.Write(http1.AppendResponse(nil, 200, nil, []byte("ok")))
		}
		return true
	})
	c := one("", routes.Member{Address: a.at()})
	c.Servers[0].Locations = append(c.Servers[0].Locations, routes.Location{Pattern: "/slow", Pass: "http://p", Timeout: "300ms"})
	s := begin(t, c)
	k := dial(t, s)
	p := k.ask("HEAD", "/", "")
	require.Equal(t, []any{200, "1234", "1"}, []any{p.Status, p.Header.Get("Content-Length"), p.Header.Get("X-A")})
	require.Equal(t, "ok", string(k.ask("GET", "/", "").Body))
	p = k.ask("POST", "/slow", "b")
	require.Equal(t, 504, p.Status)
	require.Equal(t, "ok", string(k.ask("GET", "/", "").Body))
}

// A location may say that a request goes to one server only, or that it may run twice whatever its method.
func TestTriesOfALocation(t *testing.T) {
	broken := serve(t, "broken", func(net.Conn, *http1.Request) bool { return false })
	good := serve(t, "good", nil)
	for target, want := range map[string]int{"/once": 502, "/again": 200, "/plain": 502} {
		c := one("", routes.Member{Address: broken.at(), Weight: 9}, routes.Member{Address: good.at()})
		c.Servers[0].Locations = append(c.Servers[0].Locations,
			routes.Location{Pattern: "/once", Pass: "http://p", Tries: 1, RetryNonIdempotent: true}, routes.Location{Pattern: "/again", Pass: "http://p", RetryNonIdempotent: true})
		require.Equal(t, want, dial(t, begin(t, c)).ask("POST", target, "b").Status, target)
	}
}

// A hundred thousand routes are reloaded under load: no request is lost, and each is answered by old or new.
func TestLargeReloadUnderLoad(t *testing.T) {
	a := serve(t, "a", nil)
	c := one("", routes.Member{Address: a.at()})
	s := begin(t, c)
	stop := make(chan bool)
	var wg sync.WaitGroup
	var asked, lost atomic.Int32
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
				if asked.Add(1); err != nil || p.Status != 200 {
					lost.Add(1)
					return
				}
			}
		})
	}
	for n := range 3 {
		large := one("", routes.Member{Address: a.at()})
		for i := range 100_000 {
			large.Servers[0].Locations = append(large.Servers[0].Locations, routes.Location{Pattern: fmt.Sprintf("/faculty/%d/%d/", i, n), Pass: "http://p"})
		}
		require.NoError(t, s.Reload(listening(large, s.Front.Address())))
	}
	require.NoError(t, s.Reload(listening(c, s.Front.Address())))
	require.Eventually(t, func() bool { return asked.Load() > 50 }, 20*time.Second, time.Millisecond)
	close(stop)
	wg.Wait()
	require.Zero(t, lost.Load(), "of %d", asked.Load())
}
