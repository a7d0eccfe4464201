package decide

import (
	"math"
	"slices"
	"time"
)

// Estimators: what the events so far tell of classes, workers, zones and connections. They choose nothing.

// tally is the share of bad events among the last few.
type tally struct {
	N     float64 `json:"N"`
	Share float64 `json:"Share"`
}

func (t *tally) add(bad bool, memory float64) {
	t.N = min(t.N+1, memory)
	t.Share -= t.Share / t.N
	if bad {
		t.Share += 1 / t.N
	}
}

// demand is how often a key or a tenant was asked for lately, fading.
type demand struct {
	N    float64       `json:"N"`
	Last time.Duration `json:"Last"`
}

func (k demand) at(now, memory time.Duration) float64 {
	return k.N * math.Exp(-(now-k.Last).Seconds()/max(memory.Seconds(), 1))
}

func (k *demand) bump(now, memory time.Duration) { k.N, k.Last = 1+k.at(now, memory), now }

// certain is the part of a count that is beyond what chance alone brings.
func certain(n float64) float64 { return max(0, n-math.Sqrt(max(0, n))) }

// average is a mean that follows the last few values.
type average struct{ mean, n float64 }

// averageMemory is how many of them.
const averageMemory = 16.0

func (a *average) add(value float64) {
	a.n = min(a.n+1, averageMemory)
	a.mean += (value - a.mean) / a.n
}

// kindStat is what is known of a kind of worker: run times against the mean, size, and the common ceiling.
type kindStat struct {
	Dev     float64 `json:"Dev"`
	N       float64 `json:"N"`
	Slots   float64 `json:"Slots"`
	Ceiling float64 `json:"Ceiling"`
}

// fared takes whether an attempt was started promptly, for its zone. One dispatcher meets a
// worker too seldom to learn of it; what strikes a zone (loss, cut, shifted traffic) it can tell.
func (d *Dispatcher) fared(a *attempt, badly bool) {
	if a.fared {
		return
	}
	a.fared = true
	for _, z := range d.zones {
		if z != a.w.zone {
			z.bad.Share *= 1 - 1/(4*zoneMemory) // what was bad is tried again
		}
	}
	a.w.zone.bad.add(badly, zoneMemory)
}

// judgeConn takes what the end of an attempt says of the connection that it went out on.
func (d *Dispatcher) judgeConn(r *request, a *attempt, o Outcome) {
	w := a.w
	w.open--
	silent := !a.started && a.note == a.sent
	bad := silent && (o == Reset || o == TimedOut || o == Cancelled && d.now-a.sent > r.c.Aim) // not just moved
	if bad || o == ConnectFailed || o == Cancelled {
		w.conns = max(w.open, w.conns-1)
	} else {
		w.freed = d.now
	}
	if (!silent || bad || o == OK) && o != ConnectFailed && o != Moot {
		d.ages[d.ageOf(a.idle)].add(bad, ageMemory)
	}
}

// report takes a worker's own figures: its size while it has room, where it tells what it holds besides.
func (d *Dispatcher) report(w *worker, p *Report) {
	if p != nil && p.Active >= 0 && d.unseen() {
		w.foreign, w.seen, w.news = 0, d.now, true
		used, _, _ := d.load(w)
		w.foreign = max(0, p.Active-used)
	}
	// With little memory free, what it holds may be waiting for memory beside a free slot.
	if p == nil || p.Active < 0 || p.FreeSlots <= 0 || p.FreeMemory >= 0 && p.FreeMemory < 1 {
		return
	}
	w.slots = math.Round(p.FreeSlots + p.Active)
	d.kind(w.Kind).Slots = max(d.kind(w.Kind).Slots, w.slots)
}

// ageOf is the place of an idle time among the tallies: under a 64th of what connections live,
// then by doublings.
func (d *Dispatcher) ageOf(idle time.Duration) int {
	n := 0
	for t := d.s.Limits.ConnIdle / 64; idle > t && n < len(d.ages)-1; t *= 2 {
		n++
	}
	return n
}

// took takes a run of so many seconds into the class's mean.
func (c *class) took(run float64) {
	c.jobs = min(c.jobs+1, 4*speedMemory)
	c.run += (run - c.run) / c.jobs
}

// deviates takes a run into the class's mean log, and how far it was from that into its worker's speed and the kind's.
func (d *Dispatcher) deviates(c *class, w *worker, run float64) {
	c.logRun += (math.Log(run) - c.logRun) / c.jobs
	dev, k := math.Log(run)-c.logRun, d.kind(w.Kind)
	w.dev, w.n = w.dev*(1-1/speedMemory)+dev, w.n*(1-1/speedMemory)+1
	k.Dev, k.N = k.Dev*(1-1/speedMemory)+dev, k.N*(1-1/speedMemory)+1
}

// typical is the geometric mean of the class's run time, its aim until known.
func (c *class) typical() time.Duration {
	if c.jobs == 0 {
		return c.Aim
	}
	if c.usual == 0 || c.usualOf != c.logRun { // asked for each request and worker
		c.usual, c.usualOf = time.Duration(math.Exp(c.logRun)*float64(time.Second)), c.logRun
	}
	return c.usual
}

// mean is the class's mean run in seconds, while unknown its aim.
func (c *class) mean() float64 { return max(c.run, c.typical().Seconds(), 1e-3) }

// wary is the class's mean run in seconds as far as a rule depends on it: one that was short may not outweigh the aim.
func (c *class) wary() float64 {
	return max(c.mean(), (speedPrior*c.Aim.Seconds()+c.jobs*c.mean())/(speedPrior+c.jobs))
}

// slowness is a worker's log run time against the mean, its kind's where little is known.
func (d *Dispatcher) slowness(w *worker) float64 {
	k := d.kind(w.Kind)
	prior := min(speedPrior, speedSeen*float64(len(d.fleet))/float64(d.s.Dispatchers))
	return (w.dev + prior*k.Dev/(k.N+prior)) / max(w.n+prior, 1e-9)
}

// takenSince is how many requests came from a time on, of those that are remembered. It is asked for each pick at a cold worker.
func (d *Dispatcher) takenSince(from time.Duration) int {
	i, _ := slices.BinarySearch(d.taken, from)
	return len(d.taken) - i
}

// kindSlowness is the log run time of a worker's kind against the mean. One of several that is not known may be slow.
func (d *Dispatcher) kindSlowness(w *worker) float64 {
	k, doubt := d.kind(w.Kind), 0.0
	if d.manyKinds {
		doubt = slowPrior * sizePrior
	}
	return (k.Dev + doubt) / (k.N + sizePrior)
}

// longest is the mean run of the class that runs longest, in seconds.
func (d *Dispatcher) longest() float64 {
	most := 0.0
	for _, c := range d.current {
		most = max(most, c.mean())
	}
	return most
}

// sawStart takes how long after its sending an attempt was started.
func (d *Dispatcher) sawStart(a *attempt, delay time.Duration) {
	d.learned++
	d.starts.add(delay.Seconds())
	d.sawSetup(a, delay)
}

// usualStart is how long after its sending an attempt is started lately, wherever it went.
func (d *Dispatcher) usualStart() time.Duration {
	return time.Duration(d.starts.mean * float64(time.Second))
}

func (d *Dispatcher) sawSetup(a *attempt, delay time.Duration) {
	if a.fresh {
		copy(d.setups[1:], d.setups[:])
		d.setups[0] = min(max(delay-a.w.lead, 0), d.s.Limits.ConnectTimeout)
	}
}

// agreed is how many requests a second the tenants have agreed, at all dispatchers together.
func (d *Dispatcher) agreed() (rate float64) {
	for _, t := range d.s.Tenants {
		if !t.Left {
			rate += t.QuotaPerSecond
		}
	}
	return rate
}

// usual is the run of a job of whatever class, in seconds: the mean of what is typical of each, as if so many more jobs
// of no length had been seen. 0 while not known.
func (d *Dispatcher) usual(more float64) float64 {
	run, jobs := 0.0, 0.0
	for _, c := range d.current {
		run, jobs = run+c.jobs*c.typical().Seconds(), jobs+c.jobs
	}
	return run / max(jobs+more, 1)
}

// usualUpTo is the mean run in seconds of the jobs seen of those classes whose mean is no longer than a limit; 0 while
// not known.
func (d *Dispatcher) usualUpTo(limit float64) float64 {
	run, jobs := 0.0, 0.0
	for _, c := range d.current {
		if c.mean() <= limit {
			run, jobs = run+c.jobs*c.mean(), jobs+c.jobs
		}
	}
	return run / max(jobs, 1)
}

// setup is what a new connection adds to the start of a job: the least of the last few, since
// queues add to some only. Guards against taking slow connecting for queueing everywhere.
func (d *Dispatcher) setup() time.Duration { return slices.Min(d.setups[:]) }

// foreign is what a worker held for dispatchers that tell nothing here, by its last report; it
// fades as their jobs end. The larger the fleet of dispatchers, the more of the load it is.
func (d *Dispatcher) foreign(w *worker) float64 {
	return w.foreign * math.Exp(-(d.now-w.seen).Seconds()/d.longest())
}

// inUse is a worker's slots and memory in use, as far as known here.
func (d *Dispatcher) inUse(w *worker) (slots, mem float64) {
	slots, mem = w.own+w.ghost, w.mem
	if w.peers != nil {
		if slots += float64(w.peers[0]) / 8; w.foreign > 0 {
			slots += d.foreign(w)
		}
		mem += float64(w.peers[1]) / 8
	}
	return slots, mem
}
