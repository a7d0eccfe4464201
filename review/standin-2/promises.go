package main

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"caperrelay/winglb"
)

// record is a deployment of dispatchers that keep a record together.
type record struct {
	listen, control []string
	procs           []*process
	encoders        []*encoder
}

// recordOf starts daemons with [promises], and encoders that run each job for a time.
func (p *play) recordOf(daemons, encoders int, runs time.Duration) *record {
	r := &record{}
	for range daemons {
		r.listen, r.control = append(r.listen, p.free()), append(r.control, p.free())
	}
	var list []member
	for n := range encoders {
		e := p.encoder(fmt.Sprintf("s-%08x", 0xa0+n), runs, r.listen)
		r.encoders, list = append(r.encoders, e), append(list, e.member())
	}
	d := p.discovery(41, list...)
	for n := range daemons {
		var peers []string
		for o := range daemons {
			if o != n {
				peers = append(peers, fmt.Sprintf("n%d = %q", o, r.control[o]))
			}
		}
		file := p.write(fmt.Sprintf("n%d.toml", n), fmt.Sprintf(`[node]
name = "n%d"
listen = %q
discovery = %q
number = %d
of = %d
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
[control]
listen = %q
senders = 64
new = true
[promises]
dir = %q
machine = "m%d"
groups = 4
[promises.peers]
%s
`, n, r.listen[n], d.address, n, daemons, r.control[n], filepath.Join(p.dir, fmt.Sprintf("record%d", n)), n, strings.Join(peers, "\n")))
		r.procs = append(r.procs, p.start(fmt.Sprintf("n%d", n), "exec bin/winglb serve --config "+file))
	}
	for n, pr := range r.procs {
		p.ready(pr, r.listen[n], 15*time.Second)
	}
	return r
}

// portal hands in one promised job as the page's example does: Promise, Await, Forget.
func (p *play) portal(ctx context.Context, c *winglb.Promises, id string) error {
	p.note("client: Promise %s", id)
	receipt, err := c.Promise(ctx, winglb.Promised{
		Job: winglb.Job{ID: id, Class: "publish", Tenant: "ups", Work: 100 * time.Millisecond}, Payload: []byte(id), Within: time.Hour, Keep: 24 * time.Hour,
	})
	if err != nil {
		return fmt.Errorf("promising: %w", err)
	}
	p.note("client: %s: receipt, group %d index %d", id, receipt.Group, receipt.Index)
	end, err := c.Await(ctx, id)
	if err != nil {
		return fmt.Errorf("awaiting: %w", err)
	}
	p.note("client: %s: end kind %d %q %q at %s", id, end.Kind, end.Result, end.Reason, end.Instance)
	if err := c.Forget(ctx, id); err != nil && status.Code(err) != codes.NotFound { // forgotten by an earlier try of the same call
		return fmt.Errorf("forgetting: %w", err)
	}
	p.note("client: %s: forgotten", id)
	return nil
}

// settle waits until each dispatcher takes jobs in for all groups.
func (p *play) settle(ctx context.Context, r *record) {
	for n := range r.control {
		c, err := winglb.NewPromises(winglb.Config{Daemons: []string{r.control[n]}})
		p.must(err, "client")
		for k := range 12 {
			p.must(p.portal(ctx, c, fmt.Sprintf("start%d-%d", n, k)), "the record has not begun")
		}
		c.Close()
	}
}

// clients returns clients that know the dispatchers at the addresses, each with a connection to the first.
func (p *play) clients(ctx context.Context, n int, name string, daemons []string) (all []*winglb.Promises) {
	var wg sync.WaitGroup
	for k := range n {
		c, err := winglb.NewPromises(winglb.Config{Daemons: daemons})
		p.must(err, "client")
		all = append(all, c)
		wg.Go(func() {
			if err := p.portal(ctx, c, fmt.Sprintf("%s-warm-%02d", name, k)); err != nil {
				p.note("client %d: %v", k, err)
			}
		})
	}
	wg.Wait()
	return all
}

// cutOff cuts the clients' way to a dispatcher for the 2 s that make prove-promise cuts one off for, and heals it.
func (p *play) cutOff(way *relay, name string) (healed chan struct{}) {
	healed = make(chan struct{})
	if !p.trouble {
		close(healed)
		return healed
	}
	p.note("the clients' way to %s is cut", name)
	way.cut(true)
	time.AfterFunc(2*time.Second, func() {
		p.note("the clients' way to %s is whole again", name)
		way.cut(false)
		close(healed)
	})
	return healed
}

// promiseTwice: clients are cut off from one dispatcher while they hand jobs in, and call another, as the plug-in does;
// each waits for its job's end and forgets it.
func promiseTwice(ctx context.Context, p *play) {
	r := p.recordOf(3, 3, 100*time.Millisecond)
	p.settle(ctx, r)
	first := p.relay(r.control[0])
	handedIn := 0
	for round := range 2 {
		name := fmt.Sprintf("round%d", round)
		all := p.clients(ctx, 40, name, []string{first.address, r.control[1], r.control[2]})
		healed := p.cutOff(first, "n0")
		var wg sync.WaitGroup
		for n, c := range all {
			handedIn++
			wg.Go(func() {
				if err := p.portal(ctx, c, fmt.Sprintf("%s-%02d", name, n)); err != nil {
					p.note("client: %s-%02d: %v", name, n, err)
				}
			})
		}
		wg.Wait()
		<-healed
		time.Sleep(4 * time.Second)
		for _, c := range all {
			c.Close()
		}
	}
	p.note("%d jobs of class publish handed in, each once", handedIn)
	for key, jobs := range ran(r.encoders...) {
		if len(jobs) > 1 {
			p.breaks("%s was handed in once and must not run twice, and ran %d times: %s", key, len(jobs), describe(jobs))
		}
	}
}

// endLost: clients are cut off from one dispatcher while they forget a promise, and call another; each then hands in
// the next job under the same id, awaits its end, and asks for the end once more after the cut.
func endLost(ctx context.Context, p *play) {
	r := p.recordOf(3, 3, 100*time.Millisecond)
	p.settle(ctx, r)
	first := p.relay(r.control[0])
	keep := func(c *winglb.Promises, id, payload string) (winglb.End, error) {
		receipt, err := c.Promise(ctx, winglb.Promised{
			Job: winglb.Job{ID: id, Class: "publish", Tenant: "ups", Work: 100 * time.Millisecond}, Payload: []byte(payload), Within: time.Hour, Keep: 24 * time.Hour,
		})
		if err != nil {
			return winglb.End{}, fmt.Errorf("promising: %w", err)
		}
		end, err := c.Await(ctx, id)
		p.note("client: %s (%s): receipt, index %d; end kind %d %q, %v", id, payload, receipt.Index, end.Kind, end.Result, err)
		return end, err
	}
	kept := 0
	for round := range 2 {
		name := fmt.Sprintf("round%d", round)
		all := p.clients(ctx, 40, name, []string{first.address, r.control[1], r.control[2]})
		id := func(n int) string { return fmt.Sprintf("%s-%02d", name, n) }
		var wg sync.WaitGroup
		for n, c := range all {
			wg.Go(func() {
				if _, err := keep(c, id(n), "first job"); err != nil {
					p.note("client: %s: %v", id(n), err)
				}
			})
		}
		wg.Wait()
		healed := p.cutOff(first, "n0")
		ends := make([]winglb.End, len(all))
		for n, c := range all {
			wg.Go(func() {
				p.note("client: Forget %s", id(n))
				err := c.Forget(ctx, id(n))
				if err == nil {
					p.note("client: %s: forgotten; the next job under that id", id(n))
					ends[n], err = keep(c, id(n), "second job")
				}
				if err != nil {
					p.note("client: %s: %v", id(n), err)
				}
			})
		}
		wg.Wait()
		<-healed
		time.Sleep(3 * time.Second)
		for n, c := range all {
			if ends[n].Kind == 0 {
				continue
			}
			kept++
			end, err := c.Await(ctx, id(n))
			if err == nil && end.Kind == ends[n].Kind && string(end.Result) == string(ends[n].Result) {
				continue
			}
			p.breaks("%s: its second job has the end kind %d %q, is to be kept for 24 h and was not forgotten; Await says kind %d %q, %v", id(n), ends[n].Kind, ends[n].Result, end.Kind, end.Result, err)
		}
		for _, c := range all {
			c.Close()
		}
	}
	p.note("%d ends of second jobs were told, each to be kept", kept)
	if kept == 0 {
		p.cannot("no second job has ended")
	}
}

func describe(jobs []*job) string {
	var out []string
	for _, j := range jobs {
		out = append(out, fmt.Sprintf("%s at %s", j.id, j.encoder))
	}
	return strings.Join(out, ", ")
}
