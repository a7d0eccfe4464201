package prove

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"caperrelay/internal/rig"
)

// Reruns is how often, and beside what, the proof of reruns is played.
type Reruns struct {
	Plays  int // how many
	AtOnce int // so many of them at one time
	Busy   int // processes beside them that keep a processor busy each
}

// Bounds of a proof: it stays at a few hundred processes.
const mostRerunPlays, mostRerunsAtOnce, mostRerunBusy = 1000, 16, 64

// rerunFigures is what one of the two parts of a play came to, or that part of several plays.
type rerunFigures struct {
	finished, person, dead, missing, twice int
	persons                                personKinds
	p99                                    time.Duration
	work, wasted                           int // runs of stages at workers, and those of no use that the faults did not spoil themselves
	reruns, least, useless, floods         int // runs of generations over the first
	budget, bound, ended                   int
	faults                                 int
}

// rerunPart is one of the two parts of a play: the figures, and how long each pipeline that finished took.
type rerunPart struct {
	rerunFigures
	took []time.Duration
}

// add takes another play's part into the sums.
func (p *rerunPart) add(o rerunPart) {
	for _, f := range []struct {
		to *int
		by int
	}{
		{&p.finished, o.finished}, {&p.person, o.person}, {&p.dead, o.dead}, {&p.missing, o.missing}, {&p.twice, o.twice},
		{&p.work, o.work}, {&p.wasted, o.wasted}, {&p.reruns, o.reruns}, {&p.least, o.least}, {&p.useless, o.useless},
		{&p.floods, o.floods}, {&p.budget, o.budget}, {&p.bound, o.bound}, {&p.ended, o.ended}, {&p.faults, o.faults},
	} {
		*f.to += f.by
	}
	p.persons.add(o.persons)
	p.took = append(p.took, o.took...)
	p.settle()
}

// settle reckons what is no sum.
func (p *rerunPart) settle() {
	if slices.Sort(p.took); len(p.took) > 0 {
		p.p99 = p.took[len(p.took)*99/100]
	}
}

// rerunPlay is one play, or the sums of several.
type rerunPlay struct {
	plays       int
	ours, plain rerunPart
}

// playRerun plays both parts.
func playRerun(o Options) (p rerunPlay, err error) {
	if p.ours, err = reruns(o, false); err != nil {
		return p, err
	}
	p.plain, err = reruns(o, true)
	p.plays = 1
	return p, err
}

func (p *rerunPlay) add(o rerunPlay) {
	p.plays += o.plays
	p.ours.add(o.ours)
	p.plain.add(o.plain)
}

// can is how many pipelines can finish: without a person nobody can finish what may have been published.
func (p *rerunPlay) can() int { return p.plays*rerunRuns - p.ours.person }

// over is how many times the least the reruns were, and wasted the work of no use over that of plain repeats.
func (p *rerunPlay) over() float64 { return float64(p.ours.reruns) / float64(max(1, p.ours.least)) }
func (p *rerunPlay) wasted() float64 {
	return float64(p.ours.wasted) / float64(max(1, p.plain.wasted))
}

// String is the line of figures.
func (p *rerunPlay) String() string {
	return fmt.Sprintf("processes=%d pipelines=%d faults=%d can_finish=%d finished=%d needs_person=%d %v dead=%d useless_reruns=%d reruns_over_least=%.2f floods=%d budget_passed=%d doubled_unsafe=%d ended_not_once=%d bound_passed=%d work_over_retry_only=%.2f finished_retry_only=%d finish_p99_over_retry_only=%.2f needs_person_retry_only=%d %s",
		rerunDaemons, p.plays*rerunRuns, p.ours.faults, p.can(), p.ours.finished, p.ours.person, p.ours.persons, p.ours.dead, p.ours.useless, p.over(), p.ours.floods, p.ours.budget, p.ours.twice,
		p.ours.ended+p.ours.missing, p.ours.bound, p.wasted(), p.plain.finished, p.ours.p99.Seconds()/p.plain.p99.Seconds(), p.plain.person, p.plain.persons.line("_retry_only"))
}

// broken tells which rules and aims one play misses; nil: none.
func (p *rerunPlay) broken() (broken error) {
	for _, f := range []rerunFigures{p.ours.rerunFigures, p.plain.rerunFigures} {
		if f.floods+f.budget+f.twice+f.ended+f.missing+f.bound > 0 {
			broken = errors.Join(broken, fmt.Errorf("a rule does not hold: %+v", f))
		}
	}
	miss := func(missed bool, format string, args ...any) {
		if missed {
			broken = errors.Join(broken, fmt.Errorf(format, args...))
		}
	}
	miss(p.ours.finished <= p.plain.finished, "%d finished, %d by plain repeats", p.ours.finished, p.plain.finished)
	miss(float64(p.ours.finished) < rerunFinish*float64(p.can()), "%d of the %d that can finish do, the aim is %g of them", p.ours.finished, p.can(), rerunFinish)
	miss(p.over() > rerunOver, "%.2f times the least reruns, the aim is %g", p.over(), rerunOver)
	miss(p.wasted() > rerunWaste, "%.2f of the work that plain repeats waste, the aim is %g", p.wasted(), rerunWaste)
	miss(p.ours.person > rerunPersons, "%d need a person, though only two daemons died", p.ours.person)
	return errors.Join(broken, p.ours.persons.broken("reruns upstream"), p.plain.persons.broken("plain repeats"))
}

// Run has pipelines run through daemons as processes, with a site that spoils what it makes, a worker that calls every
// input bad, another that dies, and daemons that are killed; and the same with plain repeats of what failed. The bounds
// hold for each play; the last line has the sums of all.
func (r Reruns) Run(o Options) error {
	if r.Plays < 1 || r.Plays > mostRerunPlays || r.AtOnce < 1 || r.AtOnce > mostRerunsAtOnce || r.Busy < 0 || r.Busy > mostRerunBusy {
		return fmt.Errorf("1 to %d plays, 1 to %d at once and 0 to %d busy processes are possible", mostRerunPlays, mostRerunsAtOnce, mostRerunBusy)
	}
	stop, err := rig.Busy(r.Busy, o.Command)
	if err != nil {
		return err
	}
	defer stop()
	if r.Plays > 1 {
		return r.several(o)
	}
	p, err := playRerun(o)
	if err != nil {
		return err
	}
	fmt.Printf("prove rerun: %v\n", &p)
	return p.broken()
}

// several plays more than one, and prints each as it ends.
func (r Reruns) several(o Options) (broken error) {
	var (
		mu     sync.Mutex
		all    sync.WaitGroup
		sums   rerunPlay
		failed int
	)
	turns := make(chan struct{}, r.AtOnce)
	for n := range r.Plays {
		turns <- struct{}{}
		all.Go(func() {
			defer func() { <-turns }()
			var told bytes.Buffer // so that plays do not talk at once
			p, err := playRerun(Options{Command: o.Command, Progress: &told})
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(o.Progress, "play %d\n", n)
			io.Copy(o.Progress, &told)
			if err == nil {
				fmt.Printf("play=%d %v\n", n, &p)
				sums.add(p)
				err = p.broken()
			}
			if err != nil {
				failed++
				broken = errors.Join(broken, fmt.Errorf("play %d: %w", n, err))
			}
		})
	}
	all.Wait()
	fmt.Printf("prove rerun: plays=%d at_once=%d busy=%d plays_failed=%d %v\n", r.Plays, r.AtOnce, r.Busy, failed, &sums)
	return broken
}
