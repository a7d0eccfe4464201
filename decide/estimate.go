package decide

import (
	"math"
	"slices"
	"time"
)

// Estimators of classes, workers, zones and connections, updated by events. They make no decisions.

// tally is the share of bad events among the last few.
type tally struct {
	Count float64 `json:"N"`
	Share float64 `json:"Share"`
}

// add counts an event; memory is the number of events that the share is taken over.
func (t *tally) add(bad bool, memory float64) {
	t.Count = min(t.Count+1, memory)
	t.Share -= t.Share / t.Count
	if bad {
		t.Share += 1 / t.Count
	}
}

// demand is an exponentially decaying count of requests, of one key or tenant.
type demand struct {
	Count float64       `json:"N"`
	Last  time.Duration `json:"Last"`
}

// at returns the count at a time; it decays by a factor of e within memory.
func (k demand) at(now, memory time.Duration) float64 {
	return k.Count * math.Exp(-(now-k.Last).Seconds()/max(memory.Seconds(), 1))
}

// increment counts one more request.
func (k *demand) increment(now, memory time.Duration) { k.Count, k.Last = 1+k.at(now, memory), now }

// aboveNoise returns the part of a count that exceeds its statistical noise, taken as its square root.
func aboveNoise(n float64) float64 { return max(0, n-math.Sqrt(max(0, n))) }

// average is a moving mean over the last averageSamples values.
type average struct{ mean, n float64 }

// averageSamples bounds the weight of the values seen before.
const averageSamples = 16.0

func (a *average) add(value float64) {
	a.n = min(a.n+1, averageSamples)
	a.mean += (value - a.mean) / a.n
}

// kindStat is what was learned of a kind of worker: the deviation of its log run times and their weight, its
// size, and the ceiling that its workers share.
type kindStat struct {
	LogDeviation float64 `json:"Dev"`
	Weight       float64 `json:"N"`
	Slots        float64 `json:"Slots"`
	Ceiling      float64 `json:"Ceiling"`
}

// countForZone counts, for its worker's zone, whether an attempt fared badly: it failed or was started late.
// One dispatcher has too few attempts at a worker to judge it by them, but enough in a zone to see what
// concerns the whole zone (packet loss, a partition, shifted traffic).
func (d *Dispatcher) countForZone(a *attempt, badly bool) {
	if a.zoneCounted {
		return
	}
	a.zoneCounted = true
	for _, z := range d.zones {
		if z != a.worker.zone {
			z.poorAttempts.Share *= 1 - 1/(4*zoneSamples) // so that a zone that was bad is tried again
		}
	}
	a.worker.zone.poorAttempts.add(badly, zoneSamples)
}

// recordConnEnd records what an attempt's outcome tells about the connection that it was sent on.
func (d *Dispatcher) recordConnEnd(r *request, a *attempt, o Outcome) {
	w := a.worker
	w.connsInUse--
	unanswered := !a.started && a.lastReport == a.sentAt
	// A cancellation before the aim only means that the job was moved.
	bad := unanswered && (o == Reset || o == TimedOut || o == Cancelled && d.now-a.sentAt > r.class.Aim)
	if bad || o == ConnectFailed || o == Cancelled {
		w.conns = max(w.connsInUse, w.conns-1)
	} else {
		w.connFreedAt = d.now
	}
	if (!unanswered || bad || o == OK) && o != ConnectFailed && o != NotSent {
		d.idleFailures[d.idleBucket(a.connIdle)].add(bad, idleTimeSamples)
	}
}

// recordReport records a worker's load report: its size while it has free slots, and the load from elsewhere
// where jobs of others may go unseen.
func (d *Dispatcher) recordReport(w *worker, report *Report) {
	if report != nil && report.Active >= 0 && d.hasUnseenLoad() {
		w.foreignSlots, w.foreignAt, w.foreignUnsent = 0, d.now, true
		used, _, _ := d.load(w)
		w.foreignSlots = max(0, report.Active-used)
	}
	// With little memory free, some active jobs may be waiting for memory while slots are free.
	if report == nil || report.Active < 0 || report.FreeSlots <= 0 || report.FreeMemory >= 0 && report.FreeMemory < 1 {
		return
	}
	w.learnedSize = math.Round(report.FreeSlots + report.Active)
	d.kind(w.Kind).Slots = max(d.kind(w.Kind).Slots, w.learnedSize)
}

// idleBucket returns the index in idleFailures for an idle time: up to 1/64 of the connections' lifetime, then
// by doublings.
func (d *Dispatcher) idleBucket(idle time.Duration) int {
	n := 0
	for t := d.settings.Limits.ConnIdle / 64; idle > t && n < len(d.idleFailures)-1; t *= 2 {
		n++
	}
	return n
}

// addRun adds a run, in seconds, to the class's mean.
func (c *class) addRun(run float64) {
	c.jobs = min(c.jobs+1, 4*speedSamples)
	c.meanRun += (run - c.meanRun) / c.jobs
}

// addDeviation adds a run to the class's mean log run, and its deviation from that to the speed of the worker
// and of its kind.
func (d *Dispatcher) addDeviation(c *class, w *worker, run float64) {
	c.meanLogRun += (math.Log(run) - c.meanLogRun) / c.jobs
	dev, k := math.Log(run)-c.meanLogRun, d.kind(w.Kind)
	w.logDeviation, w.deviationWeight = w.logDeviation*(1-1/speedSamples)+dev, w.deviationWeight*(1-1/speedSamples)+1
	k.LogDeviation, k.Weight = k.LogDeviation*(1-1/speedSamples)+dev, k.Weight*(1-1/speedSamples)+1
}

// typical returns the geometric mean of the class's run times, its aim while none is known.
func (c *class) typical() time.Duration {
	if c.jobs == 0 {
		return c.Aim
	}
	if c.typicalRun == 0 || c.typicalOf != c.meanLogRun { // cached: it is called for each request and worker
		c.typicalRun, c.typicalOf = time.Duration(math.Exp(c.meanLogRun)*float64(time.Second)), c.meanLogRun
	}
	return c.typicalRun
}

// mean returns the class's mean run in seconds, its aim while none is known.
func (c *class) mean() float64 { return max(c.meanRun, c.typical().Seconds(), 1e-3) }

// cautiousMean returns the class's mean run in seconds, for the budget of cold workers: while few runs are known, a
// mean below the aim is weighted with the aim.
func (c *class) cautiousMean() float64 {
	return max(c.mean(), (speedPriorJobs*c.Aim.Seconds()+c.jobs*c.mean())/(speedPriorJobs+c.jobs))
}

// slowness returns the deviation of a worker's log run time from the mean, that of its kind while little is
// known of the worker.
func (d *Dispatcher) slowness(w *worker) float64 {
	k := d.kind(w.Kind)
	prior := min(speedPriorJobs, speedPriorPerWorker*float64(len(d.fleet))/float64(d.settings.DispatcherCount))
	return (w.logDeviation + prior*k.LogDeviation/(k.Weight+prior)) / max(w.deviationWeight+prior, 1e-9)
}

// arrivalsSince returns how many of the recorded requests arrived since a time. A binary search, since it runs
// for each pick at a cold worker.
func (d *Dispatcher) arrivalsSince(from time.Duration) int {
	i, _ := slices.BinarySearch(d.arrivals, from)
	return len(d.arrivals) - i
}

// kindSlowness returns the deviation of the log run time of a worker's kind from the mean. Where there are
// several kinds, a kind that little is known of is assumed to be slow.
func (d *Dispatcher) kindSlowness(w *worker) float64 {
	k, prior := d.kind(w.Kind), 0.0
	if d.severalKinds {
		prior = unknownKindSlowness * sizePriorJobs
	}
	return (k.LogDeviation + prior) / (k.Weight + sizePriorJobs)
}

// longestMeanRun returns the mean run, in seconds, of the class with the longest one.
func (d *Dispatcher) longestMeanRun() float64 {
	longest := 0.0
	for _, c := range d.activeClasses {
		longest = max(longest, c.mean())
	}
	return longest
}

// recordStart records the delay from an attempt's sending to its start.
func (d *Dispatcher) recordStart(a *attempt, delay time.Duration) {
	d.learnedSinceSort++
	d.startDelays.add(delay.Seconds())
	d.recordConnSetup(a, delay)
}

// meanStartDelay returns the recent mean delay from sending to start, over all workers.
func (d *Dispatcher) meanStartDelay() time.Duration {
	return time.Duration(d.startDelays.mean * float64(time.Second))
}

// recordConnSetup records the delay that an attempt on a new connection had beyond its worker's least.
func (d *Dispatcher) recordConnSetup(a *attempt, delay time.Duration) {
	if a.newConn {
		copy(d.connSetups[1:], d.connSetups[:])
		d.connSetups[0] = min(max(delay-a.worker.minStartDelay, 0), d.settings.Limits.ConnectTimeout)
	}
}

// agreedRate returns the requests per second that the tenants have agreed, over all dispatchers.
func (d *Dispatcher) agreedRate() (rate float64) {
	for _, t := range d.settings.Tenants {
		if !t.Removed {
			rate += t.QuotaPerSecond
		}
	}
	return rate
}

// meanTypicalRun returns the mean over all jobs of their classes' typical runs, in seconds; zeroJobs jobs of
// run time 0 are counted besides. 0 while nothing is known.
func (d *Dispatcher) meanTypicalRun(zeroJobs float64) float64 {
	run, jobs := 0.0, 0.0
	for _, c := range d.activeClasses {
		run, jobs = run+c.jobs*c.typical().Seconds(), jobs+c.jobs
	}
	return run / max(jobs+zeroJobs, 1)
}

// meanRunUpTo returns the mean run, in seconds, of the jobs in classes whose mean is within a limit; 0 while
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

// connSetup returns the delay that a new connection adds to the start of a job: the least of the last few,
// since queueing adds to some of them only. Without it, slow connecting would be taken for queueing everywhere.
func (d *Dispatcher) connSetup() time.Duration { return slices.Min(d.connSetups[:]) }

// foreignLoad returns the slots that a worker used for dispatchers that share no load with this one, by its
// last report, decaying as those jobs end. The more dispatchers there are, the larger the part
// of the load that peers do not report.
func (d *Dispatcher) foreignLoad(w *worker) float64 {
	return w.foreignSlots * math.Exp(-(d.now-w.foreignAt).Seconds()/d.longestMeanRun())
}

// inUse returns a worker's slots and memory in use, as far as they are known here.
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
