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
	"time"
)

// front starts a dispatcher with a plain HTTP front for an nginx file; PORT in the file stands for the front's port.
func (p *play) front(conf string) string {
	listen, address := p.free(), p.free()
	_, port, _ := net.SplitHostPort(address)
	nginx := p.write("nginx.conf", strings.ReplaceAll(conf, "PORT", port))
	d := p.discovery(41)
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
[[front]]
listen = %q
nginx = %q
within = "10s"
`, listen, d.address, address, nginx))
	pr := p.start("n0", "exec bin/winglb serve --config "+file)
	p.ready(pr, listen, 15*time.Second)
	return address
}

// server is a server of a pool. It answers each request with a body that names it.
type server struct {
	p       *play
	address string
	mu      sync.Mutex
	got     []string // "METHOD TARGET" of each request
}

func (p *play) server() *server {
	s := &server{p: p}
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
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

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
	s := p.server()
	address := p.front(fmt.Sprintf(`events {}
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
