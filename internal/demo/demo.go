// Package demo shows winglb at work on one machine: stand-in encoders, discovery, a daemon and portals as
// real processes, a small load, an encoder that starts cold and one that drains; then a lecture that is promised and
// finishes though the daemon that acts for it is removed with its directory.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"

	"caperrelay/internal/load"
	"caperrelay/internal/rerun"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/ledger"
)

// Options of a demo.
type Options struct {
	Seconds, Encoders, Portals int
	JSON                       bool
	Command                    func(role, file string) *exec.Cmd
}

// ClassSummary is what became of a class's jobs by one way.
type ClassSummary struct {
	Way     string `json:"Way"`
	Class   string `json:"Class"`
	Sent    int64  `json:"Sent"`
	Served  int64  `json:"Served"`
	Refused int64  `json:"Refused"`
	Lost    int64  `json:"Lost"`
	// P50 and P99 are in milliseconds.
	P50 float64 `json:"P50"`
	P99 float64 `json:"P99"`
}

// Summary is what a demo shows.
type Summary struct {
	Classes     []ClassSummary `json:"Classes"`
	WorstCold   float64        `json:"WorstCold"` // the highest pressure on a cold encoder, as a multiple of its capacity
	ColdBound   float64        `json:"ColdBound"` // that it stands
	Fell        int            `json:"Fell"`
	ColdServed  int            `json:"ColdServed"` // jobs that the encoder which started cold did while it was cold
	LateToDrain int            `json:"LateToDrain"`
	RanTwice    int            `json:"RanTwice"`
	Broken      []string       `json:"Broken"`
	Promised    Promised       `json:"Promised"`
}

// Run runs a demo. An error means that it could not run, or that a rule broke.
func Run(o Options) error {
	if o.Seconds < 4 || o.Seconds > 120 || o.Encoders < 3 || o.Encoders > 64 || o.Portals < 0 || o.Portals > 40 {
		return errors.New("demo: 4 to 120 seconds, 3 to 64 encoders, 0 to 40 portals")
	}
	dir, err := os.MkdirTemp("", "winglb-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	progress := io.Writer(os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	slots := float64(o.Encoders * 8)
	classes := []load.Class{
		{Name: "preview", Rate: slots, Work: 100 * time.Millisecond, Left: 5 * time.Second},
		{Name: "publish", Rate: slots / 20, Work: 400 * time.Millisecond, Once: true, Left: 20 * time.Second},
	}
	fmt.Fprintf(progress, "starting %d encoders, discovery, 1 daemon, %d portals\n", o.Encoders, o.Portals)
	r, err := rig.New(rig.Options{Encoders: o.Encoders, Slots: 8, Daemons: 1, Classes: classes, Tenants: []string{"ups", "espe"}, Command: o.Command, Dir: dir, Output: os.Stderr})
	if err != nil {
		return err
	}
	defer r.Close()
	up, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	if err := r.StartAll(up); err != nil {
		return err
	}
	length := time.Duration(o.Seconds) * time.Second
	start := time.Now().Add(time.Second)
	share := func(n int) (part []load.Class) {
		for _, c := range classes {
			c.Rate /= 2 * float64(n)
			part = append(part, c)
		}
		return part
	}
	var portals []*rig.Process
	for n := range o.Portals {
		p, err := r.StartPortal(rig.Plan{
			Name: fmt.Sprintf("portal-%d", n+1), Daemons: r.Controls(), Seed: uint64(n + 2), Classes: share(o.Portals), Tenants: r.Tenants, Start: start, Length: length,
		})
		if err != nil {
			return err
		}
		portals = append(portals, p)
	}
	report := load.NewReport()
	target := &load.HTTP{Address: func() string { return r.Daemon(0).Listen }}
	defer target.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		report.Run(ctx, start, load.Draw(1, length, share(1), r.Tenants...), target)
	}()
	cold, drained := r.Host.Encoders()[0], r.Host.Encoders()[1]
	var coldAt time.Time
	step := func(at time.Duration, what string, do func() error) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(at))):
		}
		fmt.Fprintf(progress, "%5.1f s  %s\n", at.Seconds(), what)
		return do()
	}
	if err := step(0, "the load begins: half through the daemon, half through the plug-ins", func() error { return nil }); err != nil {
		return err
	}
	if err := step(length/4, cold.ID()+" is started anew, cold", func() error { coldAt = time.Now(); return cold.Restart() }); err != nil {
		return err
	}
	if err := step(length/2, drained.ID()+" drains", func() error {
		drained.Drain()
		r.Host.Ledger.Told(drained.ID(), time.Now())
		return nil
	}); err != nil {
		return err
	}
	if err := step(length, "the load ends", func() error { return nil }); err != nil {
		return err
	}
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	var told []rig.Told
	for _, p := range portals {
		t, ok := p.Wait()
		if !ok {
			return fmt.Errorf("%s has not told what became of its calls", p.Plan.Name)
		}
		told = append(told, t)
	}
	sum, err := rig.Sum(told)
	if err != nil {
		return err
	}
	s := Summary{ColdBound: 3}
	add := func(way string, all map[string]*load.Figures) {
		for _, c := range classes {
			if f := all[c.Name]; f != nil {
				s.Classes = append(s.Classes, ClassSummary{way, c.Name, f.Sent, f.Verdicts[load.Served], f.Verdicts[load.Refused], f.Verdicts[load.Failed], f.Quantile(50), f.Quantile(99)})
			}
		}
	}
	add("daemon", report.Classes)
	add("plug-in", sum)
	s.WorstCold, s.Fell = r.ColdRatio()
	for _, a := range r.Host.Ledger.Attempts() {
		if a.Encoder == cold.ID() && a.Arrived.After(coldAt) && a.Fate == ledger.Done {
			s.ColdServed++
		}
	}
	for _, b := range r.Host.Ledger.Check(ledger.Rules{DrainGrace: 750 * time.Millisecond, Slack: 50 * time.Millisecond}) {
		switch s.Broken = append(s.Broken, b.String()); b.Rule {
		case "dup":
			s.RanTwice++
		case "drain":
			s.LateToDrain++
		}
	}
	if s.Promised, err = promised(ctx, o, progress); err != nil {
		return err
	}
	if p := s.Promised; p.Answer != string(rerun.Done) || p.Published != 1 {
		s.Broken = append(s.Broken, fmt.Sprintf("the promised lecture is %s, and was published %d times", p.Answer, p.Published))
	}
	return s.print(o, cold.ID(), drained.ID())
}

func (s Summary) print(o Options, cold, drained string) error {
	if o.JSON {
		text, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(text))
	} else {
		fmt.Printf("\n%-8s  %-8s %7s %7s %8s %7s %9s %9s\n", "way", "class", "sent", "served", "refused", "failed", "p50 ms", "p99 ms")
		for _, c := range s.Classes {
			fmt.Printf("%-8s  %-8s %7d %7d %8d %7d %9.1f %9.1f\n", c.Way, c.Class, c.Sent, c.Served, c.Refused, c.Lost, c.P50, c.P99)
		}
		fmt.Printf("\n%s, started cold: %d jobs done, pressure at most %.2f times what it could do (it stands %.0f)\n", cold, s.ColdServed, s.WorstCold, s.ColdBound)
		fmt.Printf("%s, draining: %d jobs came later than 750 ms after it was told\n", drained, s.LateToDrain)
		fmt.Printf("jobs that must not run twice and did: %d; encoders that fell over: %d\n", s.RanTwice, s.Fell)
		fmt.Printf("the promised lecture, whose daemon %s was removed with its directory: %s after %.1f s, published %d times\n", s.Promised.Removed, s.Promised.Answer, s.Promised.Seconds, s.Promised.Published)
		for _, line := range s.Promised.Story {
			fmt.Printf("    %s\n", line)
		}
	}
	if len(s.Broken) > 0 || s.Fell > 0 {
		return fmt.Errorf("demo: %d rules broken, %d encoders fell over: %v", len(s.Broken), s.Fell, s.Broken)
	}
	return nil
}
