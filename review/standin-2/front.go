package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// front starts a dispatcher with a plain HTTP front for an nginx file; PORT in the file stands for the front's port.
func (p *play) front(conf string) (address string, pr *process, file string) {
	listen, address := p.free(), p.free()
	_, port, _ := net.SplitHostPort(address)
	nginx := p.write("nginx.conf", strings.ReplaceAll(conf, "PORT", port))
	d := p.discovery(41)
	file = p.write("n0.toml", fmt.Sprintf(`[node]
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
[[front]]
listen = %q
nginx = %q
within = "10s"
`, listen, d.address, address, nginx))
	pr = p.start("n0", "exec bin/winglb serve --config "+file)
	p.ready(pr, listen, 15*time.Second)
	return address, pr, file
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

// frontReplaced: the dispatcher's process is replaced by another one while clients open connections all the time.
func frontReplaced(ctx context.Context, p *play) {
	s := p.server(never)
	address, pr, file := p.front(fmt.Sprintf(`events {}
http {
    upstream app { server %s; }
    server { listen 127.0.0.1:PORT; location / { proxy_pass http://app; } }
}
`, s.address))
	over, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var refused, answered, lost atomic.Int64
	for k := range 24 {
		wg.Go(func() {
			for n := 0; over.Err() == nil; n++ {
				c, err := net.Dial("tcp", address)
				if err != nil {
					refused.Add(1)
					time.Sleep(10 * time.Millisecond)
					continue
				}
				target := fmt.Sprintf("/r-%d-%d", k, n)
				status, body, err := get(c, bufio.NewReader(c), "GET", target)
				c.Close()
				if err == nil {
					answered.Add(1)
					if body != "answer to GET "+target {
						p.note("client: %s: %d %q", target, status, body)
					}
					continue
				}
				lost.Add(1)
				p.note("client: %s: no answer: %v", target, err)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		for n := range 8 {
			next := p.start(fmt.Sprintf("n0-%d", n), "exec bin/winglb serve --config "+file)
			time.Sleep(4 * time.Second)
			p.note("SIGTERM to the older process")
			pr.cmd.Process.Signal(syscall.SIGTERM)
			time.Sleep(2 * time.Second)
			pr = next
		}
	} else {
		time.Sleep(48 * time.Second)
	}
	cancel()
	wg.Wait()
	p.note("answered %d, refused %d, lost %d", answered.Load(), refused.Load(), lost.Load())
	fmt.Printf("answered %d, refused %d, lost %d\n", answered.Load(), refused.Load(), lost.Load())
	if lost.Load() > 0 {
		p.breaks("%d requests on accepted connections got no answer, of %d", lost.Load(), answered.Load())
	}
}
