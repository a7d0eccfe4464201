package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	rounds      = 20                    // pairs of requests
	spoiltRound = 10                    // the round in which the server answers twice
	secondAfter = 15 * time.Millisecond // the second answer comes this much after the first one
	serverTime  = 80 * time.Millisecond // for a report
	betweenPair = 3 * time.Millisecond  // from one person's answer to the other's request
	pauseRounds = 200 * time.Millisecond
)

// reports is a stand-in of a campus server: it answers each request with the report of the person named in it.
type reports struct {
	b     *bench
	mu    sync.Mutex
	twice string // the person whose next report is sent twice
	conns int
	sent  bool // a second answer has been sent
}

func (s *reports) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		n := s.conns
		s.mu.Unlock()
		go s.serveConn(c, n)
	}
}

func (s *reports) hasSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

func (s *reports) serveConn(c net.Conn, n int) {
	defer c.Close()
	var writing sync.Mutex // one answer is written at a time
	for br := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, q.Body)
		person := q.URL.Query().Get("person")
		body := "report of " + person
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		s.mu.Lock()
		twice := s.twice == person
		if twice {
			s.twice = ""
		}
		s.mu.Unlock()
		time.Sleep(serverTime)
		writing.Lock()
		_, err = io.WriteString(c, answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if twice {
			s.b.note("server: connection %d: %s answered", n, person)
			time.AfterFunc(secondAfter, func() {
				writing.Lock()
				defer writing.Unlock()
				s.b.note("server: connection %d: second answer for %s", n, person)
				s.mu.Lock()
				s.sent = true
				s.mu.Unlock()
				io.WriteString(c, answer)
			})
		}
	}
}

const siteOfFront = `[node]
name = "n0"
listen = %q
discovery = %q
zone = "a"
[site]
zones = ["a"]
[[kind]]
name = "m2"
slots = 8
[[class]]
name = "preview"
effect = "repeat"
aim = "500ms"
deadline = "5s"
worth = 1
[[front]]
listen = %q
nginx = %q
within = "10s"
`

const nginxOfFront = `events { worker_connections 256; }
http {
  upstream reports { server %s; }
  server {
    listen %s;
    location / { proxy_pass http://reports; }
  }
}
`

// playFront has a server of a pool answer one request twice, the second time some milliseconds late.
func playFront(b *bench) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	need(err)
	server := &reports{b: b}
	go server.serve(l)
	dispatcher, front := freeAddress(), freeAddress()
	disc := listen(discovery([]member{}))
	nginx, site := filepath.Join(b.dir, "nginx.conf"), filepath.Join(b.dir, "site.toml")
	need(os.WriteFile(nginx, fmt.Appendf(nil, nginxOfFront, l.Addr(), front), 0o600))
	need(os.WriteFile(site, fmt.Appendf(nil, siteOfFront, dispatcher, disc, front, nginx), 0o600))
	p := b.start("n0", []string{"TMPDIR=" + b.dir}, "serve", "--config", site)
	ready(dispatcher)

	people := []*http.Client{{Transport: &http.Transport{}, Timeout: 20 * time.Second}, {Transport: &http.Transport{}, Timeout: 20 * time.Second}}
	ask := func(person int, name string) string {
		r, err := people[person].Get("http://" + front + "/report?person=" + name)
		if err != nil {
			b.note("%s: %v", name, err)
			return ""
		}
		defer r.Body.Close()
		body, _ := io.ReadAll(r.Body)
		b.note("%s is answered %d %q", name, r.StatusCode, body)
		if r.StatusCode != 200 {
			return ""
		}
		return string(body)
	}
	eventually(10*time.Second, "an answer through the front", func() bool { return ask(0, "first") != "" })
	foreign, served := 0, 0
	for round := range rounds {
		if b.trouble && round == spoiltRound {
			server.mu.Lock()
			server.twice = fmt.Sprint("ana-", round)
			server.mu.Unlock()
		}
		for person, name := range []string{fmt.Sprint("ana-", round), fmt.Sprint("ben-", round)} {
			got := ask(person, name)
			if rest, ok := strings.CutPrefix(got, "report of "); ok {
				if served++; rest != name {
					b.note("foreign: %s got %q", name, got)
					foreign++
				}
			}
			time.Sleep(betweenPair)
		}
		time.Sleep(pauseRounds)
	}
	b.logOf(p, "level=ERROR", "level=WARN")
	b.note("result: of %d answers with status 200, %d were another person's", served, foreign)
	switch {
	case foreign > 0:
		return broken
	case served >= 2*rounds-1 && server.hasSent() == b.trouble:
		return held
	}
	return failed
}
