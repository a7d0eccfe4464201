// Package prove has the measurements behind make prove-NAME: each runs in under a minute on four cores,
// prints one last line of figures, and fails when a bound breaks.
package prove

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"time"

	"caperrelay/internal/load"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/encoder"
	"caperrelay/internal/standin/ledger"
)

// Options of a measurement.
type Options struct {
	Command  func(role, file string) *exec.Cmd
	Progress io.Writer
}

var rules = ledger.Rules{DrainGrace: 750 * time.Millisecond, Slack: 50 * time.Millisecond}

// Plugin plays the plug-in's hard cases 1 to 3 with forty portal processes and two daemons, then one load
// by daemon, by plug-ins and by both, and the cost of a call.
func Plugin(o Options) error {
	say := func(format string, args ...any) { fmt.Fprintf(o.Progress, format+"\n", args...) }
	hard, err := hardCases(o, say)
	if err != nil {
		return err
	}
	ways, err := threeWays(o, say)
	if err != nil {
		return err
	}
	say("cost of a call")
	added, err := costOfACall()
	if err != nil {
		return err
	}
	small, err := memoryHeld(15)
	if err != nil {
		return err
	}
	large, err := memoryHeld(1000)
	if err != nil {
		return err
	}
	fmt.Printf("prove plugin: processes=40 daemons=2 worst_cold_ratio=%.2f fell=%d doubled_publish=%d lost=%d lease_reclaim_ms=%d first_cold_ms=%d warm_share=%.2f p99_plugin_ms=%.1f p99_daemon_ms=%.1f added_ns_per_call=%d added_allocs=%d kb_15=%d kb_1000=%d\n",
		hard.worst, hard.fell, hard.doubled, hard.lost, hard.reclaim.Milliseconds(), hard.first.Milliseconds(), hard.warm,
		ways["plug-in"].Quantile(99), ways["daemon"].Quantile(99), added.ns, added.allocs, small>>10, large>>10)
	var broken []string
	check := func(ok bool, what string, args ...any) {
		if !ok {
			broken = append(broken, fmt.Sprintf(what, args...))
		}
	}
	check(hard.worst < 3, "a cold encoder was pressed with %.2f times what it could do", hard.worst)
	check(hard.fell == 0, "%d encoders fell over", hard.fell)
	check(hard.doubled == 0, "%d publishes ran twice", hard.doubled)
	check(len(hard.broken) == 0, "%v", hard.broken)
	check(hard.lost == 0, "%d calls got no answer", hard.lost)
	check(hard.reclaim < 2*time.Second, "leases of a killed portal came free after %v", hard.reclaim)
	check(hard.first < 5*time.Second, "a cold encoder got its first work after %v", hard.first)
	check(hard.warm > 0.8, "once warm, encoders got %.2f of others' work", hard.warm)
	if len(broken) > 0 {
		return errors.New(strings.Join(broken, "; "))
	}
	return nil
}

type hardFigures struct {
	worst         float64
	fell, doubled int
	lost          int64
	reclaim       time.Duration
	first         time.Duration
	warm          float64 // attempts at encoders that were cold, once warm, against the others
	broken        []string
}

const cold = 4 * time.Second // of the encoders here, to see them warm, and taken up again, within the minute

// busy is a load that takes such a share of a fleet.
func busy(encoders, slots int, share float64) []load.Class {
	rate := float64(encoders*slots) * share
	return []load.Class{
		{Name: "preview", Rate: rate * 0.9 / 0.05, Work: 50 * time.Millisecond, Left: 5 * time.Second},
		{Name: "publish", Rate: rate * 0.1 / 0.2, Work: 200 * time.Millisecond, Once: true, Left: 10 * time.Second},
	}
}

func part(classes []load.Class, n float64) (all []load.Class) {
	for _, c := range classes {
		c.Rate *= n
		all = append(all, c)
	}
	return all
}

func set(o Options, encoders, slots int, classes []load.Class) (*rig.Rig, func(), error) {
	dir, err := os.MkdirTemp("", "winglb-prove-")
	if err != nil {
		return nil, nil, err
	}
	r, err := rig.New(rig.Options{Encoders: encoders, Slots: slots, Daemons: 2, Classes: classes, Command: o.Command, Dir: dir, Cold: cold, Output: os.Stderr, Tenants: []string{"ups"}})
	if err != nil {
		os.RemoveAll(dir)
		return nil, nil, err
	}
	end := func() {
		r.Close()
		os.RemoveAll(dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if err := r.StartAll(ctx); err != nil {
		end()
		return nil, nil, err
	}
	return r, end, nil
}

func portals(r *rig.Rig, n int, classes []load.Class, start time.Time, length time.Duration) (all []*rig.Process, err error) {
	for i := range n {
		p, err := r.StartPortal(rig.Plan{Name: fmt.Sprint("p", i), Daemons: r.Controls(), Seed: uint64(i + 100), Classes: part(classes, 1/float64(n)), Start: start, Length: length, Tenants: r.Tenants})
		if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	for _, p := range all {
		<-p.Ready
	}
	return all, nil
}

// hardCases is one play of 20 s: six of twelve encoders start cold at once, a portal is killed, a daemon
// dies and comes back, three encoders start cold again, and no daemon is there for 10 s.
func hardCases(o Options, say func(string, ...any)) (f hardFigures, err error) {
	classes := busy(12, 8, 0.45)
	say("40 portals, 2 daemons, 12 encoders")
	r, end, err := set(o, 12, 8, classes)
	if err != nil {
		return f, err
	}
	defer end()
	const length = 20 * time.Second
	start := time.Now().Add(2500 * time.Millisecond)
	procs, err := portals(r, 40, part(classes, 0.8), start, length)
	if err != nil {
		return f, err
	}
	report := load.NewReport()
	target := &load.HTTP{Address: func() string { return r.Daemon(0).Listen }}
	defer target.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		report.Run(context.Background(), start, load.Draw(7, 9*time.Second, part(classes, 0.2)), target)
	}()
	at := func(after time.Duration, what string) {
		time.Sleep(time.Until(start.Add(after)))
		say("%5.1f s  %s", after.Seconds(), what)
	}
	restart := func(from, to int) (time.Time, error) {
		now := time.Now()
		for _, e := range r.Host.Encoders()[from:to] {
			if err := e.Restart(); err != nil {
				return now, err
			}
		}
		return now, nil
	}
	at(time.Second, "six encoders start cold at once")
	began, err := restart(0, 6)
	if err != nil {
		return f, err
	}
	at(2*time.Second, "a portal is killed")
	killed := time.Now()
	procs[0].Kill()
	for f.reclaim == 0 {
		free := true
		for n := range 2 {
			d := r.Daemon(n)
			free = free && d.Figure("control.senders") == 39 && d.Figure("control.leases_orphaned") == 0
		}
		if time.Since(killed) > 5*time.Second || free {
			f.reclaim = time.Since(killed)
		}
		time.Sleep(2 * time.Millisecond)
	}
	at(4*time.Second, "a daemon is killed")
	r.Daemon(1).Kill()
	at(5500*time.Millisecond, "it comes back")
	if err := r.Daemon(1).Start(); err != nil {
		return f, err
	}
	at(9500*time.Millisecond, "three encoders start cold, and both daemons are killed")
	again, err := restart(0, 3)
	if err != nil {
		return f, err
	}
	time.Sleep(100 * time.Millisecond) // they tell of it
	r.Daemon(0).Kill()
	r.Daemon(1).Kill()
	at(19500*time.Millisecond, "both come back")
	for n := range 2 {
		if err := r.Daemon(n).Start(); err != nil {
			return f, err
		}
	}
	var told []rig.Told
	for i, p := range procs {
		t, ok := p.Wait()
		if ok {
			told = append(told, t)
		} else if i > 0 {
			return f, fmt.Errorf("%s has not told what became of its calls", p.Plan.Name)
		}
	}
	<-done
	sum, err := rig.Sum(told)
	if err != nil {
		return f, err
	}
	for name, c := range sum {
		say("  %s by plug-ins: %d sent, %d served, %d refused, %d failed", name, c.Sent, c.Verdicts[load.Served], c.Verdicts[load.Refused], c.Verdicts[load.Failed])
		f.lost += c.Sent - c.Verdicts[load.Served] - c.Verdicts[load.Refused] - c.Verdicts[load.Failed]
	}
	for _, t := range told { // an answer at the deadline is none
		for e, n := range t.Errors {
			if strings.Contains(e, "DeadlineExceeded") {
				f.lost += int64(n)
			} else {
				say("  %d x %s", n, e)
			}
		}
	}
	f.worst, f.fell = r.ColdRatio()
	for _, b := range r.Host.Ledger.Check(rules) {
		if f.broken = append(f.broken, b.String()); b.Rule == "dup" {
			f.doubled++
		}
	}
	first := func(e *encoder.Encoder, after time.Time) time.Duration {
		for _, a := range r.Host.Ledger.Attempts() {
			if a.Encoder == e.ID && a.Arrived.After(after) {
				return a.Arrived.Sub(after)
			}
		}
		return time.Hour
	}
	for _, e := range r.Host.Encoders()[:6] {
		e.Look(func(m *encoder.Encoder) { f.first = max(f.first, first(m, began)) })
	}
	var beside time.Duration
	for _, e := range r.Host.Encoders()[:3] {
		e.Look(func(m *encoder.Encoder) { beside = max(beside, first(m, again)) })
	}
	say("  without daemons the cold encoders got their first work within %v", beside.Round(time.Millisecond))
	// Warm again, before the second round: the six that were cold against the six that were not.
	was, others := 0, 0
	for _, a := range r.Host.Ledger.Attempts() {
		if t := a.Arrived.Sub(start); t > 8200*time.Millisecond && t < 9500*time.Millisecond {
			var n int
			if fmt.Sscanf(a.Encoder, "s-%d", &n); n <= 6 {
				was++
			} else {
				others++
			}
		}
	}
	f.warm = float64(was) / float64(max(1, others))
	return f, nil
}

const recorded = 20261201 // the load's seed

// threeWays sends one load by the daemons, by plug-ins, and half by each.
func threeWays(o Options, say func(string, ...any)) (map[string]*load.Figures, error) {
	classes := busy(8, 8, 0.4)
	previews := map[string]*load.Figures{}
	say("%-9s %-8s %7s %7s %7s %8s %8s %8s %12s", "way", "class", "sent", "served", "refused", "p50 ms", "p99 ms", "failed", "connections")
	for _, way := range []struct {
		name   string
		daemon float64
	}{{"daemon", 1}, {"plug-in", 0}, {"half", 0.5}} {
		r, end, err := set(o, 8, 8, classes)
		if err != nil {
			return nil, err
		}
		const length = 4 * time.Second
		start := time.Now().Add(1500 * time.Millisecond)
		var procs []*rig.Process
		const senders = 10 // the load is parted among; ten portals, or two daemons' clients in five parts each
		byDaemon := int(way.daemon * senders)
		for i := byDaemon; i < senders; i++ {
			p, err := r.StartPortal(rig.Plan{
				Name: fmt.Sprint("p", i), Daemons: r.Controls(), Seed: recorded, Classes: classes, Start: start, Length: length, Tenants: r.Tenants, From: i, Every: senders,
			})
			if err != nil {
				end()
				return nil, err
			}
			procs = append(procs, p)
		}
		for _, p := range procs {
			<-p.Ready
		}
		report := load.NewReport()
		var targets [2]*load.HTTP
		done := make(chan struct{}, 2)
		for n := range targets {
			targets[n] = &load.HTTP{Address: func() string { return r.Daemon(n).Listen }}
			go func() {
				all := load.Draw(recorded, length, classes, r.Tenants...)
				var jobs []load.Arrival
				for i := n; i < byDaemon; i += 2 {
					jobs = append(jobs, load.Part(all, i, senders)...)
				}
				report.Run(context.Background(), start, jobs, targets[n])
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		var told []rig.Told
		for _, p := range procs {
			t, _ := p.Wait()
			told = append(told, t)
		}
		sum, err := rig.Sum(told)
		if err != nil {
			end()
			return nil, err
		}
		connections := r.GRPC.Connections()
		for n := range targets {
			connections += targets[n].Dials() + r.HTTPConnections(n)
			targets[n].Close()
		}
		for _, c := range classes {
			f := report.Classes[c.Name]
			if f == nil {
				f = sum[c.Name]
			} else if s := sum[c.Name]; s != nil {
				f.Sent += s.Sent
				for i, n := range s.Verdicts {
					f.Verdicts[i] += n
				}
				f.Latency.Merge(s.Latency)
			}
			if f == nil {
				continue
			}
			say("%-9s %-8s %7d %7d %7d %8.1f %8.1f %8d %12d", way.name, c.Name, f.Sent, f.Verdicts[load.Served], f.Verdicts[load.Refused], f.Quantile(50), f.Quantile(99), f.Verdicts[load.Failed], connections)
			if c.Name == "preview" {
				previews[way.name] = f
			}
		}
		if broken := r.Host.Ledger.Check(rules); len(broken) > 0 {
			end()
			return nil, fmt.Errorf("%s: %v", way.name, broken)
		}
		end()
	}
	return previews, nil
}
