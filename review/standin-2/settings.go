package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// oldClass: publishes run; a new configuration makes their class one that may be repeated, and then the process is
// replaced by another one. The encoders are sound: each runs what it has taken for 6 s, and tells that it is done.
func oldClass(ctx context.Context, p *play) {
	const jobs = 3
	listen := p.free()
	var all []*encoder
	var list []member
	for n := range 3 {
		e := p.encoder(fmt.Sprintf("s-%08x", 0xf0+n), 6*time.Second, []string{listen})
		all, list = append(all, e), append(list, e.member())
	}
	d := p.discovery(41, list...)
	config := func(effect string) string {
		return p.write("n0.toml", fmt.Sprintf(`[node]
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
name = "publish"
effect = %q
aim = "4s"
stretch = 2.0
deadline = "20s"
worth = 5
[[tenant]]
name = "ups"
rate = "1000/s"
`, listen, d.address, effect))
	}
	file := config("once")
	pr := p.start("n0", "exec bin/winglb serve --config "+file)
	p.ready(pr, listen, 15*time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	for n := range jobs {
		wg.Go(func() {
			q, _ := http.NewRequest("POST", "http://"+listen+"/api", strings.NewReader("ab"))
			id := fmt.Sprintf("publish-%d", n)
			for _, h := range [][2]string{{"X-Correlation-Id", id}, {"X-Service-Class", "publish"}, {"X-Account", "ups"}, {"X-Time-Left", "20000m"}, {"Idempotency-Key", id}} {
				q.Header.Set(h[0], h[1])
			}
			r, err := (&http.Client{Timeout: 21 * time.Second}).Do(q)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				r.Body.Close()
				answers[id] = r.StatusCode
			}
			p.note("client: %s: %d, %v", id, answers[id], err)
		})
	}
	time.Sleep(time.Second)
	part := os.Getenv("PART") // for the claim: one of the two alone
	if p.trouble && part != "replacement" {
		config("repeat")
		p.note("SIGHUP: publish may be repeated from now on")
		p.must(pr.cmd.Process.Signal(syscall.SIGHUP), "SIGHUP")
		time.Sleep(time.Second)
	}
	if p.trouble && part != "sighup" {
		next := p.start("n0-next", "exec bin/winglb serve --config "+file)
		time.Sleep(3 * time.Second)
		if next.ended() {
			p.cannot("the newer process has ended: %v", next.err)
		}
		p.note("SIGTERM to the older process")
		p.must(pr.cmd.Process.Signal(syscall.SIGTERM), "SIGTERM")
	}
	wg.Wait()
	time.Sleep(time.Second)
	taken := map[string][]*job{}
	for _, e := range all {
		e.mu.Lock()
		for _, j := range e.jobs {
			taken[j.id] = append(taken[j.id], j)
		}
		e.mu.Unlock()
	}
	if len(taken) < jobs {
		p.cannot("%d of %d jobs reached an encoder", len(taken), jobs)
	}
	for id, js := range taken {
		p.note("%s: taken %d times (%s), answered %d", id, len(js), describe(js), answers[id])
		if len(js) > 1 {
			p.breaks("%s came as a request that must not run twice, no encoder handed it back, and it was sent %d times: %s", id, len(js), describe(js))
		}
		if answers[id] == 503 || answers[id] == 429 {
			p.breaks("%s was answered %d, trying again is harmless, while an encoder ran it", id, answers[id])
		}
	}
}
