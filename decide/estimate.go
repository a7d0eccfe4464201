package decide

import (
	"math"
	"slices"
	"time"
)

// Estimators: what the events so far tell of classes, workers, zones and connections. They choose nothing.

// tally is the share of bad events among the last few.
type tally struct{ N, Share float64 }

func (t *tally) add(bad bool, memory float64) {
	t.N = min(t.N+1, memory)
	t.Share -= t.Share / t.N
	if bad {
		t.Share += 1 / t.N
	}
}

// demand is how often a key or a tenant was asked for lately, fading.
type demand struct {
	N    float64
	Last time.Duration
}

func (k demand) at(now, memory time.Duration) float64 {
	return k.N * math.Exp(-(now-k.Last).Seconds()/max(memory.Seconds(), 1))
}

func (k *demand) increment(now, memory time.Duration) { k.N, k.Last = 1+k.at(now, memory), now }

// aboveNoise is the part of a count that is beyond what chance alone brings.
func aboveNoise(n float64) float64 { return max(0, n-math.Sqrt(max(0, n))) }

// average is a mean that follows the last few values.
type average struct{ mean, n float64 }

// averageSamples is how many of them.
const averageSamples = 16.0

func (a *average) add(value float64) {
	a.n = min(a.n+1, averageSamples)
	a.mean += (value - a.mean) / a.n
}

// kindStat is what is known of a kind of worker: run times against the mean, size, and the common ceiling.
type kindStat struct{ Dev, N, Slots, Ceiling float64 }

// countForZone takes whether an attempt was started promptly, for its zone. One dispatcher meets a
// worker too seldom to learn of it; what strikes a zone (loss, cut, shifted traffic) it can tell.
func (d *Dispatcher) countForZone(a *attempt, badly bool) {
	if a.zoneCounted {
		return
	}
	a.zoneCounted = true
	for _, z := range d.zones {
		if z != a.worker.zone {
			z.poorAttempts.Share *= 1 - 1/(4*zoneSamples) // what was bad is tried again
		}
	}
	a.worker.zone.poorAttempts.add(badly, zoneSamples)
}

// recordConnEnd takes what the end of an attempt says of the connection that it went out on.
func (d *Dispatcher) recordConnEnd(r *request, a *attempt, o Outcome) {
	w := a.worker
	w.connsInUse--
	silent := !a.started && a.lastReport == a.sentAt
	bad := silent && (o == Reset || o == TimedOut || o == Cancelled && d.now-a.sentAt > r.class.Aim) // not just moved
	if bad || o == ConnectFailed || o == Cancelled {
		w.conns = max(w.connsInUse, w.conns-1)
	} else {
		w.connFreedAt = d.now
	}
	if (!silent || bad || o == OK) && o != ConnectFailed && o != Moot {
		d.idleFailures[d.idleBucket(a.connIdle)].add(bad, idleAgeSamples)
	}
}

// recordReport takes a worker's own figures: its size while it has room, where it tells what it holds besides.
func (d *Dispatcher) recordReport(w *worker, p *Report) {
	if p != nil && p.Active >= 0 && d.hasUnseenLoad() {
		w.foreignSlots, w.foreignAt, w.foreignUnsent = 0, d.now, true
		used, _, _ := d.load(w)
		w.foreignSlots = max(0, p.Active-used)
	}
	// With little memory free, what it holds may be waiting for memory beside a free slot.
	if p == nil || p.Active < 0 || p.FreeSlots <= 0 || p.FreeMemory >= 0 && p.FreeMemory < 1 {
		return
	}
	w.learnedSize = math.Round(p.FreeSlots + p.Active)
	d.kind(w.Kind).Slots = max(d.kind(w.Kind).Slots, w.learnedSize)
}

// idleBucket is the place of an idle time among the tallies: under a 64th of what connections live,
// then by doublings.
func (d *Dispatcher) idleBucket(idle time.Duration) int {
	n := 0
	for t := d.settings.Limits.ConnIdle / 64; idle > t && n < len(d.idleFailures)-1; t *= 2 {
		n++
	}
	return n
}

// addRun takes a run of so many seconds into the class's mean.
func (c *class) addRun(run float64) {
	c.jobs = min(c.jobs+1, 4*speedSamples)
	c.meanRun += (run - c.meanRun) / c.jobs
}

// addDeviation takes a run into the class's mean log, and how far it was from that into its worker's speed and the kind's.
func (d *Dispatcher) addDeviation(c *class, w *worker, run float64) {
	c.meanLogRun += (math.Log(run) - c.meanLogRun) / c.jobs
	dev, k := math.Log(run)-c.meanLogRun, d.kind(w.Kind)
	w.logDeviation, w.deviationWeight = w.logDeviation*(1-1/speedSamples)+dev, w.deviationWeight*(1-1/speedSamples)+1
	k.Dev, k.N = k.Dev*(1-1/speedSamples)+dev, k.N*(1-1/speedSamples)+1
}

// typical is the geometric mean of the class's run time, its aim until known.
func (c *class) typical() time.Duration {
	if c.jobs == 0 {
		return c.Aim
	}
	if c.typicalRun == 0 || c.typicalOf != c.meanLogRun { // subscribeAt for each request and worker
		c.typicalRun, c.typicalOf = time.Duration(math.Exp(c.meanLogRun)*float64(time.Second)), c.meanLogRun
	}
	return c.typicalRun
}

// mean is the class's mean run in seconds, while unknown its aim.
func (c *class) mean() float64 { return max(c.meanRun, c.typical().Seconds(), 1e-3) }

// cautiousMean is the class's mean run in seconds as far as a rule depends on it: one that was short may not outweigh the aim.
func (c *class) cautiousMean() float64 {
	return max(c.mean(), (speedPriorJobs*c.Aim.Seconds()+c.jobs*c.mean())/(speedPriorJobs+c.jobs))
}

// slowness is a worker's log run time against the mean, its kind's where little is known.
func (d *Dispatcher) slowness(w *worker) float64 {
	k := d.kind(w.Kind)
	prior := min(speedPriorJobs, speedPriorPerWorker*float64(len(d.fleet))/float64(d.settings.Dispatchers))
	return (w.logDeviation + prior*k.Dev/(k.N+prior)) / max(w.deviationWeight+prior, 1e-9)
}

// arrivalsSince is how many requests came from a time on, of those that are remembered. It is asked for each pick at a cold worker.
func (d *Dispatcher) arrivalsSince(from time.Duration) int {
	i, _ := slices.BinarySearch(d.arrivals, from)
	return len(d.arrivals) - i
}

// kindSlowness is the log run time of a worker's kind against the mean. One of several that is not known may be slow.
func (d *Dispatcher) kindSlowness(w *worker) float64 {
	k, doubt := d.kind(w.Kind), 0.0
	if d.severalKinds {
		doubt = unknownKindSlowness * sizePriorJobs
	}
	return (k.Dev + doubt) / (k.N + sizePriorJobs)
}

// longestMeanRun is the mean run of the class that runs longest, in seconds.
func (d *Dispatcher) longestMeanRun() float64 {
	most := 0.0
	for _, c := range d.activeClasses {
		most = max(most, c.mean())
	}
	return most
}

// recordStart takes how long after its sending an attempt was started.
func (d *Dispatcher) recordStart(a *attempt, delay time.Duration) {
	d.learnedSinceSort++
	d.startDelays.add(delay.Seconds())
	d.recordConnSetup(a, delay)
}

// meanStartDelay is how long after its sending an attempt is started lately, wherever it went.
func (d *Dispatcher) meanStartDelay() time.Duration {
	return time.Duration(d.startDelays.mean * float64(time.Second))
}

func (d *Dispatcher) recordConnSetup(a *attempt, delay time.Duration) {
	if a.newConn {
		copy(d.connSetups[1:], d.connSetups[:])
		d.connSetups[0] = min(max(delay-a.worker.minStartDelay, 0), d.settings.Limits.ConnectTimeout)
	}
}

// agreedRate is how many requests a second the tenants have agreed, at all dispatchers together.
func (d *Dispatcher) agreedRate() (rate float64) {
	for _, t := range d.settings.Tenants {
		if !t.Left {
			rate += t.QuotaPerSecond
		}
	}
	return rate
}

// meanTypicalRun is the run of a job of whatever class, in seconds: the mean of what is typical of each, as if so many more jobs
// of no length had been seen. 0 while not known.
func (d *Dispatcher) meanTypicalRun(more float64) float64 {
	run, jobs := 0.0, 0.0
	for _, c := range d.activeClasses {
		run, jobs = run+c.jobs*c.typical().Seconds(), jobs+c.jobs
	}
	return run / max(jobs+more, 1)
}

// meanRunUpTo is the mean run in seconds of the jobs seen of those classes whose mean is no longer than a limit; 0 while
// not known.
func (d *Dispatcher) meanRunUpTo(limit float64) float64 {
	run, jobs := 0.0, 0.0
	for _, c := range d.activeClasses {
		if c.mean() <= limit {
			run, jobs = run+c.jobs*c.mean(), jobs+c.jobs
		}
	}
	return run / max(jobs, 1)
}

// connSetup is what a new connection adds to the start of a job: the least of the last few, since
// queues add to some only. Guards against taking slow connecting for queueing everywhere.
func (d *Dispatcher) connSetup() time.Duration { return slices.Min(d.connSetups[:]) }

// foreignLoad is what a worker held for dispatchers that tell nothing here, by its last report; it
// fades as their jobs end. The larger the fleet of dispatchers, the more of the load it is.
func (d *Dispatcher) foreignLoad(w *worker) float64 {
	return w.foreignSlots * math.Exp(-(d.now-w.foreignAt).Seconds()/d.longestMeanRun())
}

// inUse is a worker's slots and memory in use, as far as known here.
func (d *Dispatcher) inUse(w *worker) (slots, mem float64) {
	slots, mem = w.ownSlots+w.abandoned, w.ownMemory
	if w.peerLoad != nil {
		if slots += float64(w.peerLoad[0]) / 8; w.foreignSlots > 0 {
			slots += d.foreignLoad(w)
		}
		mem += float64(w.peerLoad[1]) / 8
	}
	return slots, mem
}
