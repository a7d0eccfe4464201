package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// front starts a dispatcher with a plain HTTP front for an nginx file; PORT in the file stands for the front's port.
func (p *play) front(conf string, encoders ...*encoder) (address, listen string, pr *process) {
	listen, address = p.free(), p.free()
	_, port, _ := net.SplitHostPort(address)
	nginx := p.write("nginx.conf", strings.ReplaceAll(conf, "PORT", port))
	var list []member
	for _, e := range encoders {
		e.callers = []string{listen}
		list = append(list, e.member())
	}
	d := p.discovery(41, list...)
	file := p.write("n0.toml", fmt.Sprintf(`[node]
name = "n0"
listen = %q
discovery = %q
number = 0
of = 1
zone = "a"
[limits]
cores = 1.0
memory = "192MB"
sockets = 1024
[site]
zones = ["a"]
[[kind]]
name = "m2"
slots = 8
[[class]]
name = "preview"
effect = "repeat"
aim = "500ms"
stretch = 2.0
deadline = "5s"
worth = 1
[[class]]
name = "publish"
effect = "once"
aim = "4s"
stretch = 2.0
deadline = "20s"
worth = 5
[[tenant]]
name = "ups"
rate = "1000/s"
[[front]]
listen = %q
nginx = %q
within = "10s"
`, listen, d.address, address, nginx))
	pr = p.start("n0", "exec bin/winglb serve --config "+file)
	p.ready(pr, listen, 15*time.Second)
	return address, listen, pr
}

// server is a server of a pool. It answers each request with a body that names it.
type server struct {
	p       *play
	address string
	twice   func(*http.Request) time.Duration // when the answer is sent a second time; 0: never
	mu      sync.Mutex
	got     []string // "METHOD TARGET" of each request
}

func (p *play) server(twice func(*http.Request) time.Duration) *server {
	s := &server{p: p, twice: twice}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.must(err, "server")
	s.address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	var writing sync.Mutex
	for br := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(br)
		if err != nil {
			if err != io.EOF {
				s.p.note("server: cannot read a request: %v", err)
			}
			return
		}
		io.Copy(io.Discard, q.Body)
		line := q.Method + " " + q.RequestURI
		s.mu.Lock()
		s.got = append(s.got, line)
		s.mu.Unlock()
		s.p.note("server: got %s", line)
		time.Sleep(10 * time.Millisecond)
		body := "answer to " + line
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		writing.Lock()
		_, err = io.WriteString(c, text)
		writing.Unlock()
		if err != nil {
			return
		}
		if after := s.twice(q); after > 0 {
			time.AfterFunc(after, func() {
				s.p.note("server: answers %s a second time", line)
				writing.Lock()
				defer writing.Unlock()
				io.WriteString(c, text)
			})
		}
	}
}

func never(*http.Request) time.Duration { return 0 }

// get makes a request on a connection, and returns the status and the body.
func get(c net.Conn, br *bufio.Reader, method, target string) (int, string, error) {
	c.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: www.campus.example\r\n\r\n", method, target); err != nil {
		return 0, "", err
	}
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return r.StatusCode, string(body), err
}

// frontClients sends requests from n clients until the context ends; each answer of 200 must be to the request that was sent.
func (p *play) frontClients(ctx context.Context, n int, address, target string, want func(sent string) string) (answers *atomic.Int64, wg *sync.WaitGroup) {
	answers, wg = &atomic.Int64{}, &sync.WaitGroup{}
	for k := range n {
		wg.Go(func() {
			var c net.Conn
			var br *bufio.Reader
			for i := 0; ctx.Err() == nil; i++ {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", address); err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					br = bufio.NewReader(c)
				}
				sent := fmt.Sprintf(target, k, i)
				status, body, err := get(c, br, "GET", sent)
				p.note("client %d: GET %s: %d %q %v", k, sent, status, body, err)
				if err != nil {
					c.Close()
					c = nil
				} else if answers.Add(1); status == 200 && body != want(sent) {
					p.breaks("client %d asked for %s and got %q", k, sent, body)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if c != nil {
				c.Close()
			}
		})
	}
	return answers, wg
}

// frontSplit: a bad client asks for a target that holds the end of a request line and another request, percent-encoded.
func frontSplit(ctx context.Context, p *play) {
	s := p.server(never)
	address, _, _ := p.front(fmt.Sprintf(`events {}
http {
    upstream app { server %s; }
    server {
        listen 127.0.0.1:PORT;
        server_name www.campus.example;
        location / { try_files $uri /app?q=$uri; }
        location = /app { proxy_pass http://app; }
        location /internal/ { return 403; }
    }
}
`, s.address))
	over, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	answers, wg := p.frontClients(over, 6, address, "/lecture-%d-%d", func(sent string) string { return "answer to GET /app?q=" + sent })
	if p.trouble {
		inner := " HTTP/1.1\r\nHost: app\r\n\r\nPOST /internal/publish HTTP/1.1\r\nContent-Length: 0\r\nX-Rest: "
		bad := "/x" + strings.ReplaceAll(strings.ReplaceAll(url.QueryEscape(inner), "+", "%20"), "%2F", "/")
		for over.Err() == nil {
			c, err := net.Dial("tcp", address)
			p.must(err, "front")
			status, body, err := get(c, bufio.NewReader(c), "GET", bad)
			p.note("bad client: GET %s: %d %q %v", bad, status, body, err)
			c.Close()
			time.Sleep(300 * time.Millisecond)
		}
	}
	wg.Wait()
	p.note("%d answers to the other clients", answers.Load())
	if answers.Load() < 100 {
		p.cannot("the front has answered %d requests only", answers.Load())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.got {
		if !strings.HasPrefix(line, "GET /app?q=") {
			p.breaks("the server got %q, which no client sent", line)
		}
	}
}

// frontTwice: a server answers one in ten of its requests twice, the second time some milliseconds later.
func frontTwice(ctx context.Context, p *play) {
	var n atomic.Int64
	s := p.server(func(*http.Request) time.Duration {
		if p.trouble && n.Add(1)%10 == 0 {
			return 3 * time.Millisecond
		}
		return 0
	})
	address, _, _ := p.front(fmt.Sprintf(`events {}
http {
    upstream app { server %s; }
    server {
        listen 127.0.0.1:PORT;
        location / { proxy_pass http://app; }
    }
}
`, s.address))
	over, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	answers, wg := p.frontClients(over, 6, address, "/lecture-%d-%d", func(sent string) string { return "answer to GET " + sent })
	wg.Wait()
	p.note("%d answers", answers.Load())
	if answers.Load() < 100 {
		p.cannot("the front has answered %d requests only", answers.Load())
	}
}

// memory returns a process's resident memory in MB, as the platform sees it.
func memory(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb := 0
	fmt.Sscan(rest, &kb)
	return kb / 1024
}

// frontLoop: an operator's new nginx file has two named locations that lead to each other; one request comes there.
// The platform kills a dispatcher that goes over its limit on memory.
func frontLoop(ctx context.Context, p *play) {
	const limit = 192 // MB, [limits] memory
	s := p.server(never)
	conf := func(fallback string) string {
		return fmt.Sprintf(`events {}
http {
    upstream app { server %s; }
    server {
        listen 127.0.0.1:PORT;
        location /lecture/ { proxy_pass http://app; }
        location /archive/ { try_files $uri @app; }
        location @app { proxy_pass http://app; }
        location @old { try_files $uri %s; }
    }
}
`, s.address, fallback)
	}
	looped := strings.Replace(conf("@app"), "location @app { proxy_pass http://app; }", "location @app { try_files $uri @old; }", 1)
	e := p.encoder("s-000000e0", 400*time.Millisecond, nil)
	address, listen, pr := p.front(conf("@app"), e)
	_, port, _ := net.SplitHostPort(address)
	over, cancel := context.WithTimeout(ctx, 14*time.Second)
	defer cancel()
	var killed atomic.Bool
	var most atomic.Int64
	go func() { // the platform
		for over.Err() == nil && !pr.ended() {
			mb := int64(memory(pr.cmd.Process.Pid))
			most.Store(max(most.Load(), mb))
			if mb > limit && !killed.Swap(true) {
				p.note("platform: n0 holds %d MB, over its limit of %d: killed", mb, limit)
				pr.cmd.Process.Kill()
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	answers, wg := p.frontClients(over, 3, address, "/lecture/%d-%d", func(sent string) string { return "answer to GET " + sent })
	var served, lost atomic.Int64
	for k := range 4 { // clients of the dispatcher itself
		wg.Go(func() {
			for n := 0; over.Err() == nil && !pr.ended(); n++ {
				q, _ := http.NewRequest("POST", "http://"+listen+"/api", strings.NewReader("ab"))
				id := fmt.Sprintf("publish-%d-%d", k, n)
				for _, h := range [][2]string{{"X-Correlation-Id", id}, {"X-Service-Class", "publish"}, {"X-Account", "ups"}, {"X-Time-Left", "20000m"}} {
					q.Header.Set(h[0], h[1])
				}
				r, err := (&http.Client{Timeout: 21 * time.Second}).Do(q)
				p.note("client: POST /api %s: %v", id, err)
				if err == nil {
					r.Body.Close()
					served.Add(1)
				} else if !errors.Is(err, syscall.ECONNREFUSED) {
					lost.Add(1)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if p.trouble {
		p.write("nginx.conf", strings.ReplaceAll(looped, "PORT", port))
	}
	p.note("SIGHUP, with a loop in the file: %v", p.trouble)
	p.must(pr.cmd.Process.Signal(syscall.SIGHUP), "SIGHUP")
	time.Sleep(time.Second)
	log, _ := os.ReadFile(filepath.Join(p.dir, "n0.log"))
	p.note("n0's log:\n%s", log)
	c, err := net.Dial("tcp", address)
	p.must(err, "front")
	defer c.Close()
	status, body, err := get(c, bufio.NewReader(c), "GET", "/archive/1")
	p.note("one client: GET /archive/1: %d %q %v", status, body, err)
	wg.Wait()
	p.note("front: %d answers; dispatcher: %d answers, %d requests in hand were lost; most memory %d MB", answers.Load(), served.Load(), lost.Load(), most.Load())
	if killed.Load() || pr.ended() {
		p.breaks("one GET had the dispatcher go over its %d MB (%d MB), or end by itself; %d requests that it had taken were lost", limit, most.Load(), lost.Load())
	} else if err != nil {
		p.breaks("GET /archive/1 got no answer: %v", err)
	}
	if served.Load() == 0 {
		p.cannot("no request was served")
	}
}
