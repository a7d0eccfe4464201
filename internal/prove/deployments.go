package prove

import (
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"

	"caperrelay/internal/fleetmodel"
)

// Deployments are what prove deployments plays.
type Deployments struct {
	Seed  uint64 // of the drawing
	Drawn int    // how many
	Only  int    // replay this one alone, -1 for all
	Tell  bool   // with what dispatchers log in the module's play
	Small bool   // instead, three dispatchers and ten encoders by ways of cancelling, days and start notes
}

// mostBehind is by what part of the worth the module may be behind the best baseline.
const mostBehind = 0.02

// shares are what each policy served of one deployment.
type shares struct {
	d      *fleetmodel.Deployment
	module fleetmodel.Result
	plain  []fleetmodel.Result // as fleetmodel.Baselines has them
	best   int
}

// ahead is what the module serves more than the best baseline.
func (s *shares) ahead() float64 { return s.module.Share - s.plain[s.best].Share }

func (s *shares) String() string {
	text := ""
	for i, p := range fleetmodel.Baselines() {
		text += fmt.Sprintf(" %s=%.3f", p, s.plain[i].Share)
	}
	m, b := s.module, s.plain[s.best]
	return fmt.Sprintf("%+.3f module=%.3f%s net=%.3f/%.3f", s.ahead(), m.Share, text, m.Net, b.Net)
}

func play(d *fleetmodel.Deployment) shares {
	s := shares{d: d, module: d.Play(fleetmodel.Module)}
	for i, p := range fleetmodel.Baselines() {
		s.plain = append(s.plain, d.Play(p))
		if s.plain[i].Share > s.plain[s.best].Share {
			s.best = i
		}
	}
	return s
}

// playAll plays deployments side by side.
func playAll(ds []*fleetmodel.Deployment) []shares {
	all := make([]shares, len(ds))
	turns := make(chan bool, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for i, d := range ds {
		running.Go(func() {
			turns <- true
			defer func() { <-turns }()
			all[i] = play(d)
		})
	}
	running.Wait()
	return all
}

// detail tells what came of a deployment, for whoever looks for why.
func detail(out io.Writer, s *shares) {
	fmt.Fprintf(out, "  %v\n", s.d)
	row := func(name fleetmodel.Policy, r fleetmodel.Result) {
		fmt.Fprintf(out, "  %-7s share=%.3f net=%.3f classes=%.2f jobs=%d sends=%d further=%d runs=%d doubled=%d full=%d refused=%d failed=%d called_off=%d wasted=%.2f fallen=%d %v\n",
			name, r.Share, r.Net, r.Classes, r.Jobs, r.Sends, r.Moved, r.Runs, r.Doubled, r.Full, r.Refused, r.Failed, r.Cancels, r.Wasted, r.Fallen, r.Broken)
	}
	for i, p := range fleetmodel.Baselines() {
		row(p, s.plain[i])
	}
	row(fleetmodel.Module, s.module)
}

// Run plays deployments drawn over what settings allow, the module beside plain baselines under the same jobs.
func (p Deployments) Run(o Options) error {
	if p.Small {
		return p.small(o)
	}
	if p.Only >= 0 {
		s := play(fleetmodel.Draw(p.Seed, p.Only))
		fmt.Printf("%d %v\n", p.Only, &s)
		detail(o.Progress, &s)
		if p.Tell {
			s.d.Trace(fleetmodel.Module, func(format string, args ...any) { fmt.Fprintf(o.Progress, format+"\n", args...) })
		}
		return nil
	}
	var ds []*fleetmodel.Deployment
	for n := range p.Drawn {
		ds = append(ds, fleetmodel.Draw(p.Seed, n))
	}
	behind, worst, sum, broken := 0, 0.0, 0.0, error(nil)
	for n, s := range playAll(ds) {
		fmt.Fprintf(o.Progress, "%2d %v %v\n", n, &s, s.d)
		a := s.ahead()
		if sum, worst = sum+a, min(worst, a); a < -mostBehind {
			behind++
		}
		if len(s.module.Broken) > 0 {
			broken = errors.Join(broken, fmt.Errorf("deployment %d: %s", n, s.module.Broken[0]))
		}
	}
	fmt.Printf("prove deployments: drawn=%d behind_best_baseline=%d worst_behind=%.3f mean_ahead=%.3f seed=%d\n", p.Drawn, behind, math.Abs(worst), sum/float64(max(1, p.Drawn)), p.Seed)
	if behind > 0 {
		broken = errors.Join(broken, fmt.Errorf("behind the best baseline by more than %.2f of the worth in %d of %d", mostBehind, behind, p.Drawn))
	}
	return broken
}

const smallSeeds = 4 // days of each cell

// small prints a table: the module's share against the best baseline's, each the mean of some seeds.
func (p Deployments) small(Options) error {
	var ds []*fleetmodel.Deployment
	for _, starts := range []bool{true, false} {
		for _, c := range []fleetmodel.Cancel{fleetmodel.CancelNone, fleetmodel.CancelQueued, fleetmodel.CancelAll, fleetmodel.CancelBarred} {
			for _, day := range []fleetmodel.Day{fleetmodel.Calm, fleetmodel.Hang, fleetmodel.Slow, fleetmodel.Burst} {
				for n := range uint64(smallSeeds) {
					ds = append(ds, fleetmodel.Small(p.Seed+n, c, day, starts))
				}
			}
		}
	}
	all := playAll(ds)
	for i := 0; i < len(all); i += smallSeeds {
		d, sums := all[i].d, make([]float64, 5)
		for _, s := range all[i : i+smallSeeds] {
			for k, v := range []float64{s.module.Share, s.plain[0].Share, s.plain[1].Share, s.plain[2].Share, float64(s.module.Doubled) / float64(s.module.Jobs)} {
				sums[k] += v / smallSeeds
			}
		}
		fmt.Printf("starts=%-5v cancel=%-6s %-5s module=%.3f random=%.3f two=%.3f least=%.3f ran_twice=%.3f\n", d.Settings.ReportsStart, d.Cancel, d.Day, sums[0], sums[1], sums[2], sums[3], sums[4])
	}
	return nil
}
