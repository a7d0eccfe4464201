package fleetmodel

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const dayStart = time.Hour // of the virtual clock

// job is one thing that a client wants done, in one or more tries; the same for all policies.
type job struct {
	at         time.Duration
	node       int
	class      int
	tenant     int
	key        uint64
	work, hint float64
	over       bool // beyond its tenant's share
	rng        *rand.Rand

	worth     float64
	last, due time.Duration // full worth until last, late worth until due
	begun     int           // runs at encoders
	got       float64       // of the worth
}

// draw is a place in cumulative weights.
func draw(r *rand.Rand, sums []float64) int {
	i, _ := slices.BinarySearch(sums, r.Float64()*sums[len(sums)-1])
	return i
}

// jobs are the requests of a day, by their times.
func (d *Deployment) jobs() []*job {
	r := dice{rand.New(rand.NewPCG(d.Seed^0x9e3779b97f4a7c15, uint64(d.Number)))}
	var nodes, classes, keys, tenants []float64
	add := func(to *[]float64, w float64) {
		if n := len(*to); n > 0 {
			w += (*to)[n-1]
		}
		*to = append(*to, w)
	}
	for range d.Settings.DispatcherCount {
		add(&nodes, math.Exp(d.Skew*r.NormFloat64()))
	}
	for _, c := range d.Classes {
		add(&classes, c.Part)
	}
	for i := range d.Keys {
		add(&keys, math.Pow(float64(i+1), -0.95))
	}
	for _, t := range d.Settings.Tenants {
		add(&tenants, t.QuotaPerSecond*r.between(0.7, 1.3))
	}
	saved, told := make([]float64, len(tenants)), make([]time.Duration, len(tenants))
	for i, t := range d.Settings.Tenants {
		saved[i] = 4 * t.QuotaPerSecond
	}
	rate := d.Load * d.capacity() / d.demand()
	var all []*job
	for at := time.Duration(0); ; {
		now := rate
		if x := at.Seconds() / d.Long.Seconds(); x > 0.35 && x < 0.6 {
			now *= d.Peak
		}
		if at += seconds(r.ExpFloat64() / now); at > d.Long {
			return all
		}
		j := &job{at: dayStart + at, node: draw(r.Rand, nodes), class: draw(r.Rand, classes)}
		c, k := d.Classes[j.class], d.Settings.Classes[j.class]
		j.work = r.work(c.Mean, c.Sigma)
		if r.yes(d.Hints) {
			j.hint = r.work(j.work, d.Blur)
		}
		if d.Keys > 0 {
			j.key = uint64(draw(r.Rand, keys))*0x9e3779b97f4a7c15 | 1
		}
		j.worth = k.Worth
		if d.ByWork {
			j.worth *= j.work
		}
		if len(tenants) > 0 {
			j.tenant = draw(r.Rand, tenants)
			q := d.Settings.Tenants[j.tenant].QuotaPerSecond
			saved[j.tenant] = min(4*q, saved[j.tenant]+q*(at-told[j.tenant]).Seconds())
			told[j.tenant] = at
			if saved[j.tenant] < 1 {
				j.over = true
				j.worth *= d.Settings.OverShareWorth
			} else {
				saved[j.tenant]--
			}
		}
		j.due = j.at + seconds(d.Patience*k.Deadline.Seconds())
		j.last = min(j.due, j.at+k.Aim+seconds(k.Stretch*j.work))
		j.rng = rand.New(rand.NewPCG(d.Seed, uint64(len(all))))
		all = append(all, j)
	}
}
