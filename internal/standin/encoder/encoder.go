// Package encoder is a model of one encoder: slots, a bounded queue, a cold start, and falling over
// when it is sent too much while cold. It does no I/O and reads no clock: callers give each call the
// time and ask when the next thing happens. Faces put it on sockets.
//
// All running jobs progress at one speed, so the model keeps a service clock: the work that a slot
// has done by now (virtual time as in Parekh and Gallager's fair queueing, 1993). A job ends when the
// clock has moved by its work, however the speed changed on the way.
package encoder

import (
	"container/heap"
	"math"
	"time"
)

// Spec is what an encoder is.
type Spec struct {
	ID, Zone, Kind string
	Slots          int           // jobs that run at once
	Queue          int           // further ones that wait
	Speed          float64       // seconds of work that a warm slot does in a second
	ColdFrom       float64       // share of its speed that it starts with
	ColdFor        time.Duration // until it is warm; the speed grows in a straight line
	FallMultiple   float64       // of its present capacity that it stands while cold,
	FallWindow     time.Duration // over this long
}

// Usual is an encoder of eight slots by the deployment's figures.
func Usual(id string) Spec {
	return Spec{
		ID: id, Zone: "a", Kind: "m2", Slots: 8, Queue: 32, Speed: 1,
		ColdFrom: 0.14, ColdFor: 24 * time.Second, FallMultiple: 3, FallWindow: time.Second,
	}
}

// Job is one attempt that arrives.
type Job struct {
	ID    string
	Work  time.Duration // of one slot, warm
	Slots float64       // 0: one
	Event func(Event)   // told what becomes of it, in the order of things; must not call the model
}

// Event is what becomes of a job that was accepted.
type Event int

// The events. All but Started are a job's last.
const (
	Started Event = iota
	Ended         // its work is done
	Killed        // the process died
	Dropped       // it was taken back
)

// Reply is what an arriving job meets.
type Reply int

// The replies.
const (
	Accepted Reply = iota
	Full           // turned away: it never ran
	Down           // nobody is there
	Mute           // a hanging process takes it and does nothing
)

// State is what the process does.
type State int

// The states.
const (
	Up State = iota
	Hung
	Crashed // or stopped; Restart ends it
	Fallen  // pushed over while cold: it stays down
)

func (s State) String() string { return [...]string{"up", "hung", "crashed", "fallen"}[s] }

type job struct {
	Job
	ends    float64 // by the service clock
	running bool
	over    bool
	index   int
}

// Encoder is one encoder. It is not safe for more than one goroutine.
type Encoder struct {
	Spec
	state    State
	draining bool
	started  time.Time // zero: long ago
	slow     float64   // times its work takes
	now      time.Time
	clock    float64 // seconds of work that a slot has done
	used     float64
	running  byEnd
	waiting  []*job
	jobs     map[string]*job
	arrived  []arrival // within the window
	pressure float64   // sum of those
	worst    float64
	lives    int
}

type arrival struct {
	at   time.Time
	work float64
}

// New returns an encoder that has been up long.
func New(s Spec) *Encoder {
	return &Encoder{Spec: s, slow: 1, jobs: map[string]*job{}, lives: 1}
}

// State is what the process does now.
func (e *Encoder) State() State { return e.state }

// Draining tells whether it wants nothing new.
func (e *Encoder) Draining() bool { return e.draining }

// Started is the start of its process, zero: long ago.
func (e *Encoder) Started() time.Time { return e.started }

// Lives counts its processes.
func (e *Encoder) Lives() int { return e.lives }

// Jobs is how many are accepted and not over.
func (e *Encoder) Jobs() int { return len(e.jobs) }

// Worst is the highest pressure ever, as a multiple of the capacity of that moment, over all times at
// which the encoder was cold.
func (e *Encoder) Worst() float64 { return e.worst }

// Warmth is the share of its speed that it has at a moment.
func (e *Encoder) Warmth(now time.Time) float64 {
	age := now.Sub(e.started)
	if e.started.IsZero() || age >= e.ColdFor {
		return 1
	}
	return e.ColdFrom + (1-e.ColdFrom)*max(0, age.Seconds())/e.ColdFor.Seconds()
}

// Capacity is the seconds of work that it can do in a second.
func (e *Encoder) Capacity(now time.Time) float64 {
	return float64(e.Slots) * e.Speed * e.Warmth(now) / e.slow
}

// Offer has a job arrive. What is turned away adds to the pressure too.
func (e *Encoder) Offer(now time.Time, j Job) Reply {
	e.Advance(now)
	if e.state == Crashed || e.state == Fallen {
		return Down
	}
	if j.Slots <= 0 {
		j.Slots = 1
	}
	e.press(now, j)
	switch {
	case e.state == Fallen:
		return Down
	case e.state == Hung:
		e.jobs[j.ID] = &job{Job: j, index: -1}
		return Mute
	case e.draining, e.jobs[j.ID] != nil, len(e.waiting) >= e.Queue && e.used+j.Slots > float64(e.Slots):
		return Full
	}
	k := &job{Job: j, index: -1}
	e.jobs[j.ID] = k
	e.waiting = append(e.waiting, k)
	e.fill()
	return Accepted
}

// press adds a job to the pressure, and has a cold encoder fall over that gets too much of it. A job
// presses with what a slot can do of it within the window: one that runs for long keeps one slot busy
// for that time, no more.
func (e *Encoder) press(now time.Time, j Job) {
	work := min(j.Work.Seconds()/e.Speed, e.FallWindow.Seconds()) * j.Slots
	e.arrived = append(e.arrived, arrival{now, work})
	e.pressure += work
	for len(e.arrived) > 0 && now.Sub(e.arrived[0].at) >= e.FallWindow {
		e.pressure -= e.arrived[0].work
		e.arrived = e.arrived[1:]
	}
	w := e.Warmth(now)
	if w >= 1 {
		return
	}
	ratio := e.pressure / (float64(e.Slots) * w * e.FallWindow.Seconds())
	e.worst = max(e.worst, ratio)
	if ratio > e.FallMultiple {
		e.stop(Fallen)
	}
}

// fill starts what waits while there are slots.
func (e *Encoder) fill() {
	for len(e.waiting) > 0 && e.state == Up {
		k := e.waiting[0]
		if e.used > 0 && e.used+k.Slots > float64(e.Slots) {
			return
		}
		e.waiting = e.waiting[1:]
		k.running, k.ends = true, e.clock+k.Work.Seconds()
		e.used += k.Slots
		heap.Push(&e.running, k)
		k.tell(Started)
	}
}

func (k *job) tell(v Event) {
	if k.Event != nil {
		k.Event(v)
	}
}

// rate integrates the speed of a slot from the model's time to a moment.
func (e *Encoder) served(until time.Time) float64 {
	if e.state != Up || !until.After(e.now) {
		return 0
	}
	warm := e.started.Add(e.ColdFor)
	span := until.Sub(e.now).Seconds()
	sum := 0.0
	if !e.started.IsZero() && e.now.Before(warm) {
		to := until
		if to.After(warm) {
			to = warm
		}
		cold := to.Sub(e.now).Seconds()
		sum += cold * (e.Warmth(e.now) + e.Warmth(to)) / 2
		span -= cold
	}
	return (sum + span) * e.Speed / e.slow
}

// Next is when the next job ends, if nothing else happens; false: none will.
func (e *Encoder) Next() (time.Time, bool) {
	if len(e.running) == 0 || e.state != Up {
		return time.Time{}, false
	}
	need := max(0, e.running[0].ends-e.clock) * e.slow / e.Speed // in seconds at full warmth
	if at := e.started.Add(e.ColdFor); !e.started.IsZero() && e.now.Before(at) {
		w, slope := e.Warmth(e.now), (1-e.ColdFrom)/e.ColdFor.Seconds()
		t := need / w
		if slope > 0 { // w t + slope t^2 / 2 = need
			t = (math.Sqrt(w*w+2*slope*need) - w) / slope
		}
		left := at.Sub(e.now).Seconds()
		if t > left {
			t = left + need - left*(w+1)/2
		}
		need = t
	}
	return e.now.Add(time.Duration(math.Ceil(need*1e9)) + 1), true // not before: rounding must not stop the clock short
}

// Advance takes the model to a moment: what ends by then ends, at its own time.
func (e *Encoder) Advance(now time.Time) {
	if e.now.IsZero() {
		e.now = now
	}
	for {
		at, some := e.Next()
		if !some || at.After(now) {
			break
		}
		e.clock += e.served(at)
		e.now = at
		k := e.running[0]
		e.clock = max(e.clock, k.ends)
		e.end(k, Ended)
		e.fill()
	}
	if now.After(e.now) {
		e.clock += e.served(now)
		e.now = now
	}
}

// end takes a job out.
func (e *Encoder) end(k *job, v Event) {
	if k.running {
		heap.Remove(&e.running, k.index)
		if e.used -= k.Slots; len(e.running) == 0 {
			e.used = 0
		}
	}
	delete(e.jobs, k.ID)
	k.over = true
	k.tell(v)
}

// Cancel takes a job back; false: it is not here.
func (e *Encoder) Cancel(now time.Time, id string) bool {
	e.Advance(now)
	k := e.jobs[id]
	if k == nil {
		return false
	}
	for i, w := range e.waiting {
		if w == k {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			break
		}
	}
	e.end(k, Dropped)
	e.fill()
	return true
}

// Slow has all work take so many times as long from now on; 1: as usual.
func (e *Encoder) Slow(now time.Time, times float64) {
	e.Advance(now)
	e.slow = max(times, 1e-3)
}

// Drain has it turn away what is new; what it has it finishes.
func (e *Encoder) Drain(now time.Time) {
	e.Advance(now)
	e.draining = true
}

// Hang has the process take what comes and do nothing, until Wake, Crash or Restart.
func (e *Encoder) Hang(now time.Time) {
	e.Advance(now)
	if e.state == Up {
		e.state = Hung
	}
}

// Wake has a hanging process go on. What it took meanwhile is lost.
func (e *Encoder) Wake(now time.Time) {
	e.Advance(now)
	if e.state == Hung {
		e.state = Up
		e.fill()
	}
}

// Crash has the process die.
func (e *Encoder) Crash(now time.Time) {
	e.Advance(now)
	e.stop(Crashed)
}

// Restart starts the process anew, cold.
func (e *Encoder) Restart(now time.Time) {
	e.Advance(now)
	e.stop(Crashed)
	e.state, e.draining, e.started, e.slow = Up, false, now, 1
	e.arrived, e.pressure = nil, 0
	e.lives++
}

func (e *Encoder) stop(s State) {
	e.state = s
	e.waiting = nil
	for _, k := range e.jobs {
		e.end(k, Killed)
	}
}

// byEnd is a heap of running jobs.
type byEnd []*job

func (h byEnd) Len() int           { return len(h) }
func (h byEnd) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h byEnd) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *byEnd) Push(x any)        { k := x.(*job); k.index = len(*h); *h = append(*h, k) }
func (h *byEnd) Pop() any {
	old := *h
	k := old[len(old)-1]
	old[len(old)-1] = nil
	*h, k.index = old[:len(old)-1], -1
	return k
}
