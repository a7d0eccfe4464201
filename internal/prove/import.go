package prove

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bufio"

	"github.com/HdrHistogram/hdrhistogram-go"

	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/plain"
	"caperrelay/internal/nginx"
	"caperrelay/internal/pools"
	"caperrelay/internal/routes"
	"caperrelay/internal/standin/nginxmeaning"
)

// text is one file, for the parser.
type text string

func (t text) Read(string) ([]byte, error) { return []byte(t), nil }
func (text) Glob(string) ([]string, error) { return nil, errors.New("no other files") }

// Import compares imported routes and pools with the stand-in of nginx's meaning, and measures the matching and
// the front.
func Import(o Options) error {
	r := rand.New(rand.NewPCG(20261201, 2))
	const configs, each = 300, 200
	sameRoute, samePool, silent := 0, 0, 0
	for range configs {
		all := nginxmeaning.Draw(r)
		parsed, err := nginx.Parse(text(nginxmeaning.File(all)), "nginx.conf")
		if err != nil {
			return err
		}
		c, report, err := nginx.Import(parsed)
		if err != nil {
			return err
		}
		for _, l := range report.Lines {
			if l.State == "" || l.State != nginx.Carried && l.Note == "" {
				silent++
			}
		}
		t, err := routes.Compile(c)
		if err != nil {
			return err
		}
		for range each {
			raw := nginxmeaning.Target(r)
			d := t.Decide(routes.Request{Listen: ":80", Host: "x", Method: "GET", Target: raw, Remote: "127.0.0.1"})
			path, ok := nginxmeaning.Decoded(raw)
			if !ok {
				if d.Status == 400 {
					sameRoute, samePool = sameRoute+1, samePool+1
				}
				continue
			}
			want, redirect, _ := nginxmeaning.Chosen(all, path)
			name, pool, uri := "", "", ""
			if want != nil {
				if name = want.Name(); !redirect && want.Pass != "" {
					pool, uri = nginxmeaning.Upstream(want, raw, path, "")
				}
			}
			if d.Location == name && (d.Status == 301) == redirect {
				sameRoute++
			}
			if d.Pool == pool && d.URI == uri {
				samePool++
			}
		}
	}
	const requests = configs * each
	fmt.Fprintf(o.Progress, "%d requests over %d files: %d alike in route, %d in pool and URI\n", requests, configs, sameRoute, samePool)
	hashed, worst, leaks, err := poolsLikeMeaning(r)
	if err != nil {
		return err
	}
	ns := map[int]int64{}
	for _, n := range []int{10, 1000, 100_000} {
		if ns[n], err = matching(n); err != nil {
			return err
		}
		fmt.Fprintf(o.Progress, "%7d routes: %d ns a match\n", n, ns[n])
	}
	direct, front, lost, err := throughFront()
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Progress, "%-8s %10s %8s %8s\n", "way", "requests/s", "p50 us", "p99 us")
	for _, w := range []struct {
		name string
		f    flow
	}{{"direct", direct}, {"front", front}} {
		fmt.Fprintf(o.Progress, "%-8s %10.0f %8d %8d\n", w.name, w.f.rate, w.f.latency.ValueAtQuantile(50), w.f.latency.ValueAtQuantile(99))
	}
	fmt.Printf("prove import: configs=%d requests=%d same_route=%d same_pool=%d hash_same_server=%d/%d worst_share_error=%.4f backup_leaks=%d lost=%d directives_silent=%d match_ns_10=%d match_ns_1k=%d match_ns_100k=%d front_per_s=%.0f direct_per_s=%.0f front_p99_us=%d\n",
		configs, requests, sameRoute, samePool, hashed, hashKeys, worst, leaks, lost, silent, ns[10], ns[1000], ns[100_000], front.rate, direct.rate, front.latency.ValueAtQuantile(99))
	if sameRoute != requests || samePool != requests || hashed != hashKeys || worst > 0.02 || leaks > 0 || lost > 0 || silent > 0 {
		return errors.New("imported routes or pools do not do what the file meant")
	}
	return nil
}

const hashKeys = 10_000

// poolsLikeMeaning compares pools with the meaning: hashes' servers, shares by weight, and backups.
func poolsLikeMeaning(r *rand.Rand) (hashed int, worst float64, leaks int, err error) {
	addresses, weights := []string{"10.0.0.1:80", "10.0.0.2:81", "10.0.0.3:80", "10.0.0.4:82", "10.0.0.5:80"}, []int{1, 3, 2, 1, 5}
	var members []routes.Member
	for i, a := range addresses {
		members = append(members, routes.Member{Address: a, Weight: weights[i]})
	}
	p, err := pools.New(&routes.Pool{Name: "p", Method: "consistent", Key: "$uri", Members: members}, 1)
	if err != nil {
		return 0, 0, 0, err
	}
	for n := range hashKeys {
		key := fmt.Sprintf("/l/%d/%x", n, r.Uint32())
		m, ok := p.Pick(0, pools.Criteria{Key: key})
		if ok && m.Address == nginxmeaning.Ring(addresses, weights, key) {
			hashed++
		}
	}
	for _, weights := range [][]int{{5, 1, 1}, {1, 1, 1}, {7, 3, 3, 1}, {100, 1}, {13, 11, 2, 2, 1}} {
		c := routes.Pool{Name: "w"}
		total := 0
		for i, w := range weights {
			c.Members = append(c.Members, routes.Member{Address: fmt.Sprintf("10.0.1.%d:80", i), Weight: w})
			total += w
		}
		c.Members = append(c.Members, routes.Member{Address: "10.0.2.1:80", Weight: 50, Backup: true})
		p, err := pools.New(&c, 1)
		if err != nil {
			return 0, 0, 0, err
		}
		count := map[string]int{}
		for n := range 10_000 {
			m, ok := p.Pick(time.Duration(n)*time.Millisecond, pools.Criteria{})
			if !ok {
				return 0, 0, 0, errors.New("no member")
			}
			if count[m.Address]++; m.Backup {
				leaks++
			}
			p.Done(time.Duration(n)*time.Millisecond, m, false)
		}
		for i, w := range weights {
			worst = max(worst, math.Abs(float64(count[c.Members[i].Address])/10_000-float64(w)/float64(total)))
		}
	}
	return hashed, worst, leaks, nil
}

// matching is the time of a decision among so many routes: hosts and prefixes, half of each.
func matching(n int) (int64, error) {
	c := &routes.Config{Pools: []routes.Pool{{Name: "p", Members: []routes.Member{{Address: "127.0.0.1:1"}}}}}
	hosts := max(1, n/20)
	for h := range hosts {
		s := routes.Server{Listen: []routes.Listen{{Address: ":80"}}, Names: []string{fmt.Sprintf("h%d.campus.example", h), fmt.Sprintf("*.w%d.example", h)}}
		for l := range max(1, n/hosts-1) {
			s.Locations = append(s.Locations, routes.Location{Pattern: fmt.Sprintf("/faculty/%d/course/%d/", l%7, l), Pass: "http://p"})
		}
		c.Servers = append(c.Servers, s)
	}
	t, err := routes.Compile(c)
	if err != nil {
		return 0, err
	}
	r := rand.New(rand.NewPCG(1, 1))
	asks := make([]routes.Request, 4096)
	for i := range asks {
		l := r.IntN(19)
		asks[i] = routes.Request{Listen: ":80", Host: fmt.Sprintf("h%d.campus.example", r.IntN(hosts)), Method: "GET", Target: fmt.Sprintf("/faculty/%d/course/%d/x?y=z", l%7, l), Remote: "10.0.0.1"}
	}
	best := int64(math.MaxInt64)
	for range 5 {
		start := time.Now()
		for i := range 40_960 {
			t.Decide(asks[i%len(asks)])
		}
		best = min(best, time.Since(start).Nanoseconds()/40_960)
	}
	return best, nil
}

type flow struct {
	rate    float64
	latency *hdrhistogram.Histogram
}

// throughFront sends requests to three stand-in servers, directly in turns and by way of the front.
func throughFront() (direct, front flow, lost int64, err error) {
	var addresses []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return direct, front, 0, err
		}
		defer l.Close()
		go answering(l)
		addresses = append(addresses, l.Addr().String())
	}
	c := &routes.Config{Pools: []routes.Pool{{Name: "p"}}}
	for _, a := range addresses {
		c.Pools[0].Members = append(c.Pools[0].Members, routes.Member{Address: a})
	}
	c.Servers = []routes.Server{{Listen: []routes.Listen{{Address: ":1"}}, Locations: []routes.Location{{Pattern: "/", Pass: "http://p"}}}}
	s, err := plain.NewSite("127.0.0.1:0", c, 10*time.Second, 200, slog.New(slog.DiscardHandler))
	if err != nil {
		return direct, front, 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Loop.Run(ctx)
	if err := s.Front.Open(); err != nil {
		return direct, front, 0, err
	}
	defer s.Front.Leave()
	defer s.Servers.Close()
	at, err := netip.ParseAddrPort(s.Front.Address())
	if err != nil {
		return direct, front, 0, err
	}
	c.Servers[0].Listen[0].Address = fmt.Sprintf(":%d", at.Port())
	if err := s.Reload(c); err != nil {
		return direct, front, 0, err
	}
	var gone atomic.Int64
	direct = flowing(addresses, &gone)
	front = flowing([]string{s.Front.Address()}, &gone)
	return direct, front, gone.Load(), nil
}

func answering(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for br := bufio.NewReaderSize(c, http1.MaxLine); ; {
				if _, err := http1.ReadRequest(br, nil); err != nil {
					return
				}
				if _, err := c.Write(http1.AppendResponse(nil, 200, nil, []byte(strings.Repeat("x", 200)))); err != nil {
					return
				}
			}
		}()
	}
}

// flowing has 32 clients ask in a closed loop for 3 s.
func flowing(addresses []string, lost *atomic.Int64) (f flow) {
	f.latency = hdrhistogram.New(1, 60e6, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	until := time.Now().Add(3 * time.Second)
	for n := range 32 {
		wg.Go(func() {
			mine := hdrhistogram.New(1, 60e6, 3)
			defer func() {
				mu.Lock()
				f.latency.Merge(mine)
				mu.Unlock()
			}()
			c, err := net.Dial("tcp", addresses[n%len(addresses)])
			if err != nil {
				lost.Add(1)
				return
			}
			defer c.Close()
			br := bufio.NewReaderSize(c, http1.MaxLine)
			for time.Now().Before(until) {
				start := time.Now()
				c.SetDeadline(start.Add(10 * time.Second))
				io.WriteString(c, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
				p, err := http1.ReadResponse(br, "GET")
				if err != nil || p.Status != 200 || len(p.Body) != 200 {
					lost.Add(1)
					return
				}
				mine.RecordValue(time.Since(start).Microseconds())
			}
		})
	}
	wg.Wait()
	f.rate = float64(f.latency.TotalCount()) / 3
	return f
}
