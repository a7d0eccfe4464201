package fleetmodel

import (
	"math"
	"slices"
	"time"

	"caperrelay/decide"
)

// thaw is when the encoder next does anything at all: now, but while it hangs.
func (e *encoder) thaw() time.Duration {
	for _, s := range e.Spells {
		if now := e.w.now - dayStart; s.Rate == 0 && now >= s.From && now < s.Until {
			return dayStart + s.Until
		}
	}
	return e.w.now
}

// soon does what a message brings once the encoder reads it, in order.
func (e *encoder) soon(do func()) {
	if at := e.thaw(); at > e.w.now {
		e.w.after(at-e.w.now, do)
		return
	}
	do()
}

// warmth is the part of its speed that the encoder has.
func (e *encoder) warmth() float64 {
	age := e.w.now - e.Started
	if e.Started == 0 || age >= e.Warm {
		return 1
	}
	return e.ColdFrom + (1-e.ColdFrom)*float64(age)/float64(e.Warm)
}

// finish is when work begun now ends, in seconds at the encoder's own speed: it stands still while the encoder hangs.
func (e *encoder) finish(left float64) time.Duration {
	t := (e.w.now - dayStart).Seconds()
	for _, s := range e.Spells {
		from, until := s.From.Seconds(), s.Until.Seconds()
		if until <= t {
			continue
		}
		if before := from - t; before > 0 {
			if left <= before {
				return dayStart + seconds(t+left)
			}
			left, t = left-before, from
		}
		if done := (until - t) * s.Rate; left <= done {
			return dayStart + seconds(t+left/s.Rate)
		} else {
			left, t = left-done, until
		}
	}
	return dayStart + seconds(t+left)
}

// take has an attempt arrive: it runs, waits in the queue, or is refused unseen.
func (e *encoder) take(a *attempt) {
	if e.down {
		a.outcome(decide.ConnectFailed)
		return
	}
	e.load(a)
	if a.off {
		return
	}
	if full := float64(len(e.queue)) >= e.w.d.Depth*e.Slots; e.draining || full && (len(e.queue) > 0 || !e.fits(a)) {
		e.w.result.Full++
		a.outcome(decide.Full)
		return
	}
	a.queued = true
	e.queue = append(e.queue, a)
	e.start()
}

// load counts work against what a cold encoder bears: over the rule's budget for a window it falls over for good.
func (e *encoder) load(a *attempt) {
	if e.warmth() >= 1 {
		e.got = nil
		return
	}
	rules, now := e.w.d.Settings.Rules, e.w.now
	e.got = append(e.got, work{now, a.r.j.work * e.w.d.Classes[a.r.j.class].Slots})
	e.got = slices.DeleteFunc(e.got, func(g work) bool { return g.at <= now-rules.FallWindow })
	sum := 0.0
	for _, g := range e.got {
		sum += g.work
	}
	// As many requests of mean work as the budget has, and some slack for chance.
	mean := e.w.d.mean()
	n := rules.FallMultiple * e.Slots * e.Speed * e.warmth() * rules.FallWindow.Seconds() / mean
	if sum/mean <= n+2*math.Sqrt(n)+2 {
		return
	}
	e.w.result.Fallen++
	e.fall()
}

// fall ends the encoder for good: what it has breaks off.
func (e *encoder) fall() {
	e.down = true
	for _, x := range append(slices.Clone(e.queue), e.run...) {
		x.over, x.queued = true, false
		x.outcome(decide.Reset)
	}
	e.queue, e.run, e.used, e.memory = nil, nil, 0, 0
}

// needs is what an attempt takes up: no more than all there is.
func (e *encoder) needs(a *attempt) (slots, memory float64) {
	c := e.w.d.Classes[a.r.j.class]
	return min(c.Slots, e.Slots), min(c.Memory, e.Slots)
}

// fits tells whether an attempt could run now.
func (e *encoder) fits(a *attempt) bool {
	slots, memory := e.needs(a)
	return e.used+slots <= e.Slots && e.memory+memory <= e.Slots+1e-9
}

// next takes what runs next out of the queue.
func (e *encoder) next() *attempt {
	at := 0
	for i, a := range e.queue {
		if e.w.d.Order == Backfill && e.fits(a) {
			at = i
			break
		}
		if first := e.queue[at]; e.w.d.Order == Priority && e.w.d.Classes[a.r.j.class].Priority < e.w.d.Classes[first.r.j.class].Priority {
			at = i
		}
	}
	if len(e.queue) == 0 || !e.fits(e.queue[at]) {
		return nil
	}
	a := e.queue[at]
	e.queue = slices.Delete(e.queue, at, at+1)
	return a
}

// start begins what fits.
func (e *encoder) start() {
	if e.down {
		return
	}
	if at := e.thaw(); at > e.w.now {
		if !e.waking {
			e.waking = true
			e.w.after(at-e.w.now, func() { e.waking = false; e.start() })
		}
		return
	}
	for a := e.next(); a != nil; a = e.next() {
		e.begin(a)
	}
}

func (e *encoder) begin(a *attempt) {
	w, j := e.w, a.r.j
	a.queued, a.begun, a.from = false, true, w.now
	j.begun++
	slots, memory := e.needs(a)
	e.used, e.memory = e.used+slots, e.memory+memory
	e.run = append(e.run, a)
	long := j.work
	if j.key != 0 {
		if i := slices.Index(e.kept, j.key); i >= 0 {
			e.kept = slices.Delete(e.kept, i, i+1)
		} else if long += w.d.Fetch; len(e.kept) >= int(e.Slots) {
			e.kept = e.kept[1:]
		}
		e.kept = append(e.kept, j.key)
	}
	outcome, now := decide.OK, w.now-dayStart
	if f := e.Failing; now >= f.From && now < f.Until && w.luck.Float64() < f.Part {
		outcome, long = decide.Errored, long/5
	}
	a.ends = e.finish(long / e.Speed / e.warmth())
	n := a.r.n
	if w.d.Settings.ReportsStart {
		w.after(n.hop(e), func() {
			if !a.told {
				n.tell(decide.JobStarted{Request: a.r.id, Attempt: a.n})
			}
		})
	}
	if w.d.Settings.ProgressInterval > 0 {
		w.after(w.d.Settings.ProgressInterval, func() { e.progress(a) })
	}
	w.after(a.ends-w.now, func() {
		if !a.over {
			e.leave(a)
			a.outcome(outcome)
			e.start()
		}
	})
}

// leave frees what a running attempt held.
func (e *encoder) leave(a *attempt) {
	a.over = true
	slots, memory := e.needs(a)
	e.used, e.memory = e.used-slots, max(0, e.memory-memory)
	e.run = slices.DeleteFunc(e.run, func(x *attempt) bool { return x == a })
	e.w.spent += (e.w.now - a.from).Seconds() * e.w.d.Classes[a.r.j.class].Slots
}

// progress tells of a running attempt, and goes on.
func (e *encoder) progress(a *attempt) {
	if a.over || a.told {
		return
	}
	w, n := e.w, a.r.n
	if at := e.thaw(); at > w.now {
		w.after(at-w.now, func() { e.progress(a) })
		return
	}
	share := float64(w.now-a.from) / float64(a.ends-a.from)
	w.after(n.hop(e), func() {
		if !a.told {
			n.tell(decide.JobProgress{Request: a.r.id, Attempt: a.n, Share: share})
		}
	})
	w.after(w.d.Settings.ProgressInterval, func() { e.progress(a) })
}

// off takes a call-off as the deployment has it.
func (e *encoder) off(a *attempt) {
	how := e.w.d.Cancel
	if how == CancelNone {
		return
	}
	if a.queued {
		a.queued, a.over = false, true
		e.queue = slices.DeleteFunc(e.queue, func(x *attempt) bool { return x == a })
		e.start() // the head may have been what did not fit
	} else if a.begun && !a.over && how == CancelAll {
		e.leave(a)
		e.start()
	}
}

// report is what the encoder says of its load, some of it noisy; nil if it says nothing.
func (e *encoder) report(probed bool) *decide.Report {
	d := e.w.d
	if len(d.Fields) == 0 || d.Pull && !probed {
		return nil
	}
	r := &decide.Report{Active: -1, Waiting: -1, FreeSlots: -1, FreeMemory: -1}
	noisy := func(x float64) float64 { return max(0, math.Round(x*(1+0.1*e.w.rng.NormFloat64()))) }
	for _, f := range d.Fields {
		switch f {
		case "active":
			r.Active = noisy(float64(len(e.run) + len(e.queue)))
		case "waiting":
			r.Waiting = noisy(float64(len(e.queue)))
		case "x0":
			r.FreeSlots = e.Slots - e.used
		case "x1":
			r.FreeMemory = e.Slots - e.memory
		}
	}
	return r
}
