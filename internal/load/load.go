// Package load makes a load and measures what becomes of it: arrivals drawn ahead from a seed, sent when
// they are due whatever became of those before, so that what is slow is not asked less often.
package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is one class of a load.
type Class struct {
	Name string        `json:"Name"`
	Rate float64       `json:"Rate"` // a second
	Work time.Duration `json:"Work"` // on average; each job's is drawn
	Once bool          `json:"Once"`
	Left time.Duration `json:"Left"` // until the client stops waiting
}

// Arrival is one job.
type Arrival struct {
	At     time.Duration // from the start
	ID     string
	Class  string
	Tenant string
	Work   time.Duration
	Once   bool
	Left   time.Duration
}

// Draw is a load: Poisson arrivals, work log-normal about its mean with a quarter's deviation, cut at three
// times the mean.
func Draw(seed uint64, length time.Duration, classes []Class, tenants ...string) (all []Arrival) {
	for n, c := range classes {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		for at := time.Duration(0); c.Rate > 0; {
			if at += time.Duration(r.ExpFloat64() / c.Rate * float64(time.Second)); at >= length {
				break
			}
			work := min(float64(c.Work)*math.Exp(r.NormFloat64()/4-1.0/32), 3*float64(c.Work))
			a := Arrival{At: at, ID: fmt.Sprintf("%x-%s-%d", seed, c.Name, len(all)), Class: c.Name, Work: time.Duration(work), Once: c.Once, Left: c.Left}
			if len(tenants) > 0 {
				a.Tenant = tenants[r.IntN(len(tenants))]
			}
			all = append(all, a)
		}
	}
	return all
}

// Part is every so many of a load's jobs from one on: a load is one, whoever sends which of it.
func Part(all []Arrival, from, every int) (part []Arrival) {
	for i, a := range all {
		if i%every == from {
			part = append(part, a)
		}
	}
	return part
}

// Verdict is how a job ended for its client.
type Verdict int

// The verdicts.
const (
	Served Verdict = iota
	Refused
	Failed
	verdicts
)

// Target takes jobs.
type Target interface {
	Do(context.Context, Arrival) (Verdict, error)
}

// Figures is what became of a class.
type Figures struct {
	Sent     int64
	Verdicts [verdicts]int64
	Latency  *hdrhistogram.Histogram // microseconds, of those served
}

// Report is what became of a load.
type Report struct {
	mu      sync.Mutex
	Classes map[string]*Figures
	errors  map[string]int
}

// Total is the sums over all classes.
func (r *Report) Total() (t Figures) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Latency = histogram()
	for _, f := range r.Classes {
		t.Sent += f.Sent
		for i, n := range f.Verdicts {
			t.Verdicts[i] += n
		}
		t.Latency.Merge(f.Latency)
	}
	return t
}

// Errors is how often each error came.
func (r *Report) Errors() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for k, n := range r.errors {
		out[k] = n
	}
	return out
}

// Quantile is a class's latency, in milliseconds.
func (f *Figures) Quantile(q float64) float64 { return float64(f.Latency.ValueAtQuantile(q)) / 1000 }

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
}

// NewReport returns an empty one.
func NewReport() *Report { return &Report{Classes: map[string]*Figures{}, errors: map[string]int{}} }

// mostErrors bounds the different errors that are kept.
const mostErrors = 64

func (r *Report) note(a Arrival, v Verdict, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.Classes[a.Class]
	if f == nil {
		f = &Figures{Latency: histogram()}
		r.Classes[a.Class] = f
	}
	f.Sent++
	if f.Verdicts[v]++; v == Served {
		f.Latency.RecordValue(max(1, took.Microseconds()))
	}
	if err != nil && (len(r.errors) < mostErrors || r.errors[err.Error()] > 0) {
		r.errors[err.Error()]++
	}
}

// Run sends a load to a target, each job when it is due from start on. Latency counts from then, not from
// when the job could be sent. It returns once all have ended.
func (r *Report) Run(ctx context.Context, start time.Time, load []Arrival, to Target) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, a := range order(load) {
		due := start.Add(a.At)
		if wait := time.Until(due); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil {
			return
		}
		wg.Go(func() {
			job, cancel := context.WithDeadline(ctx, due.Add(a.Left))
			defer cancel()
			v, err := to.Do(job, a)
			r.note(a, v, err, time.Since(due))
		})
	}
}
