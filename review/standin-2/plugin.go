package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	jobv1 "caperrelay/proto/winglb/job/v1"
	"caperrelay/winglb"
)

// grpcEncoder is an encoder with the gRPC protocol: it runs each call and answers.
type grpcEncoder struct {
	jobv1.UnimplementedJobsServer
	p       *play
	id      string
	address string
	runs    time.Duration
	server  *grpc.Server

	mu     sync.Mutex
	began  []time.Time
	broken int // jobs that were running when it ended
	over   chan struct{}
}

func (p *play) grpcEncoder(id string, runs time.Duration) *grpcEncoder {
	e := &grpcEncoder{p: p, id: id, runs: runs, server: grpc.NewServer(), over: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.must(err, "encoder")
	e.address = l.Addr().String()
	jobv1.RegisterJobsServer(e.server, e)
	go e.server.Serve(l)
	return e
}

func (e *grpcEncoder) Run(ctx context.Context, q *jobv1.RunRequest) (*jobv1.RunResponse, error) {
	e.mu.Lock()
	e.began = append(e.began, time.Now())
	e.mu.Unlock()
	e.p.note("%s: call %s begins", e.id, q.Key)
	select {
	case <-time.After(e.runs):
	case <-e.over:
		e.mu.Lock()
		e.broken++
		e.mu.Unlock()
		e.p.note("%s: call %s is lost with the encoder", e.id, q.Key)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &jobv1.RunResponse{Result: q.Payload, Instance: e.id}, nil
}

// end has the encoder's process end.
func (e *grpcEncoder) end() {
	e.p.note("%s ends", e.id)
	close(e.over)
	e.server.Stop()
}

// after counts the calls that began after a moment.
func (e *grpcEncoder) after(at time.Time) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.began {
		if b.After(at) {
			n++
		}
	}
	return n
}

func (e *grpcEncoder) member(phase string) member {
	return member{ID: e.id, HostPort: e.address, GRPC: e.address, Locality: "a", Flavor: "m2", Cell: 1, Phase: phase, Size: 1}
}

// staleList: discovery moves to another address by a new configuration; then an encoder drains, and ends 10 s later.
func staleList(ctx context.Context, p *play) {
	var encoders []*grpcEncoder
	var list []member
	for n := range 3 {
		e := p.grpcEncoder(fmt.Sprintf("s-%08x", 0xb0+n), 300*time.Millisecond)
		encoders, list = append(encoders, e), append(list, e.member("in_service"))
	}
	before, after := p.discovery(1041, list...), p.discovery(7, list...)
	text := make([]string, 2)
	var procs []*process
	var listen, control []string
	for n := range 2 {
		listen, control = append(listen, p.free()), append(control, p.free())
		text[n] = fmt.Sprintf(`[node]
name = "n%d"
listen = %q
discovery = DISCOVERY
number = %d
of = 2
zone = "a"
[limits]
cores = 1.0
memory = "192MB"
sockets = 1024
[site]
zones = ["a"]
[rules]
drain_grace = "750ms"
[[kind]]
name = "m2"
slots = 8
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
[control]
listen = %q
senders = 64
new = true
`, n, listen[n], n, control[n])
	}
	configure := func(d *discovery) (files []string) {
		for n, t := range text {
			files = append(files, p.write(fmt.Sprintf("n%d.toml", n), strings.ReplaceAll(t, "DISCOVERY", fmt.Sprintf("%q", d.address))))
		}
		return files
	}
	for n, file := range configure(before) {
		procs = append(procs, p.start(fmt.Sprintf("n%d", n), "exec bin/winglb serve --config "+file))
	}
	for n, pr := range procs {
		p.ready(pr, listen[n], 15*time.Second)
	}
	lb, err := winglb.New(winglb.Config{Name: "portal", Daemons: control, Class: "publish", Tenant: "ups"})
	p.must(err, "plug-in")
	defer lb.Close()
	conn, err := grpc.NewClient("winglb:///encoders", append(lb.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	p.must(err, "plug-in")
	defer conn.Close()
	calls, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; calls.Err() == nil; n++ {
			wg.Go(func() {
				one, done := context.WithTimeout(ctx, 5*time.Second)
				defer done()
				key := fmt.Sprintf("call-%d", n)
				r, err := jobv1.NewJobsClient(conn).Run(one, &jobv1.RunRequest{Class: "publish", Key: key, Payload: []byte(key)})
				p.note("portal: %s: at %s, %v", key, r.GetInstance(), err)
			})
			time.Sleep(50 * time.Millisecond)
		}
	})
	time.Sleep(5 * time.Second)
	service := before
	if p.trouble {
		p.note("a new configuration with another address of discovery, and SIGHUP to both dispatchers")
		configure(after)
		for _, pr := range procs {
			p.must(pr.cmd.Process.Signal(syscall.SIGHUP), "SIGHUP")
		}
		service = after
	}
	time.Sleep(5 * time.Second)
	for n := range procs {
		log, _ := os.ReadFile(filepath.Join(p.dir, fmt.Sprintf("n%d.log", n)))
		p.note("n%d's log:\n%s", n, log)
	}
	leaver := encoders[0] // the one that most calls go to
	for _, e := range encoders {
		if e.after(p.began) > leaver.after(p.began) {
			leaver = e
		}
	}
	p.note("%s begins to drain (discovery)", leaver.id)
	drains := time.Now()
	service.set(leaver.member("terminating"))
	time.Sleep(10 * time.Second)
	leaver.end()
	service.set(leaver.member("terminated"))
	wg.Wait()
	taken := 0
	for _, e := range encoders {
		taken += e.after(drains)
	}
	allowed := drains.Add(6*time.Second + 800*time.Millisecond) // a change counts as known 6 s later at the latest; grace 750 ms and 50 ms
	late := leaver.after(allowed)
	p.note("after the drain began the encoders took %d calls; the draining one took %d later than 6.8 s after it, and lost %d", taken, late, leaver.broken)
	if taken == 0 {
		p.cannot("no call reached an encoder")
	}
	if late > 0 {
		p.breaks("%s drains; it was sent %d new calls later than 6.8 s after discovery had that, and %d calls were lost when it ended", leaver.id, late, leaver.broken)
	}
}
