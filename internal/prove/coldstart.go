package prove

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"caperrelay/internal/load"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/listservice"
)

// The bounds of a cold start: the last daemon has its list within so many times the work of one call each, and
// failed calls are at most such a part of all.
const (
	mostOfFloor = 2.2
	mostFailed  = 0.35
	started     = 300 // daemons
	listWaits   = time.Second
)

// The bounds where dispatchers tell each other: by so many calls in all, and by then all have it.
const (
	mostTalkCalls = 12
	talkWithin    = 3 * time.Second
	asking        = 100 * time.Millisecond // between rounds of questions to all, which cost as much as their work
)

// coldFigures is what a cold start met.
type coldFigures struct {
	last, floor, failed, calls float64
	watches                    int     // open in the end
	drained                    float64 // seconds after a drain was told until the last daemon knew
	watcher                    float64 // and after all watchers of a zone had been killed
}

// ColdStart starts 300 daemons in one second with no list at all, against one list service that works through calls
// in turn and fails those that waited 1 s, at 100 and at 25 calls a second; the daemons are told neither.
func ColdStart(o Options) error {
	var all [2]coldFigures
	for i, work := range []time.Duration{10 * time.Millisecond, 40 * time.Millisecond} {
		f, err := coldStart(o, scene{work: work})
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Progress, "%3.0f calls a second: all have their list after %.1f s (floor %.1f), %.0f%% of %.2f calls each failed\n", 1/work.Seconds(), f.last, f.floor, 100*f.failed, f.calls)
		all[i] = f
	}
	out, err := coldStart(o, scene{work: 10 * time.Millisecond, outage: 10 * time.Second})
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Progress, "alone, 100 calls a second, down for 10 s in the middle and back at half of that: all have their list %.1f s after it is back (floor %.1f), %.0f%% of what it took meanwhile failed\n", out.last, out.floor, 100*out.failed)
	talk, err := coldStart(o, scene{work: 40 * time.Millisecond, talking: true})
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Progress, "talking, 25 calls a second: all have their list after %.1f s by %.0f calls, %d watch; a drain is known to all after %.2f s, and after %.2f s with all watchers of a zone killed\n", talk.last, talk.calls, talk.watches, talk.drained, talk.watcher)
	fmt.Printf("prove coldstart: processes=%d alone_last_s_100=%.1f alone_floor_s_100=%.1f alone_failed_100=%.2f alone_last_s_25=%.1f alone_floor_s_25=%.1f alone_failed_25=%.2f talk_last_s_25=%.1f talk_calls_25=%.0f talk_drain_s=%.2f talk_drain_killed_s=%.2f outage_last_s=%.1f outage_floor_s=%.1f outage_failed=%.2f\n",
		started, all[0].last, all[0].floor, all[0].failed, all[1].last, all[1].floor, all[1].failed, talk.last, talk.calls, talk.drained, talk.watcher, out.last, out.floor, out.failed)
	var broken error
	for _, f := range append(all[:], out) {
		if f.last > mostOfFloor*f.floor {
			broken = errors.Join(broken, fmt.Errorf("the last list came after %.1f s, %.1f times the floor", f.last, f.last/f.floor))
		}
		if f.failed > mostFailed {
			broken = errors.Join(broken, fmt.Errorf("%.0f%% of the calls failed", 100*f.failed))
		}
	}
	if talk.last > talkWithin.Seconds() || talk.calls > mostTalkCalls {
		broken = errors.Join(broken, fmt.Errorf("talking, the last list came after %.1f s, by %.0f calls", talk.last, talk.calls))
	}
	if talk.drained > drainGrace.Seconds() {
		broken = errors.Join(broken, fmt.Errorf("a drain was known to all only after %.2f s", talk.drained))
	}
	return broken
}

// drainGrace is within what a drain that any daemon was told of is to hold at all.
const drainGrace = 750 * time.Millisecond

// scene is one cold start.
type scene struct {
	work    time.Duration // that a call costs the list service
	outage  time.Duration // it dies in the middle for so long, and comes back at half its capacity
	talking bool
}

func coldStart(o Options, c scene) (f coldFigures, err error) {
	work, talking := c.work, c.talking
	dir, err := os.MkdirTemp("", "winglb-prove-")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(dir)
	lists := listservice.New(work, listWaits)
	defer lists.Close()
	r, err := rig.New(rig.Options{
		Encoders: 4, Slots: 8, Members: talking, Daemons: started, Classes: []load.Class{{Name: "preview", Work: 20 * time.Millisecond, Left: time.Second}},
		Command: o.Command, Dir: dir, Tenants: []string{"ups"}, Lines: 1, Lean: true, Lists: lists,
	})
	if err != nil {
		return f, err
	}
	defer r.Close()
	gone := map[int]bool{}
	lists.Begin()
	began := time.Now()
	r.Each(0, started, func(d *rig.Daemon) { err = errors.Join(err, d.Start()) })
	if err != nil {
		return f, err
	}
	all := func(what string, yes func(n int) bool) (float64, error) {
		done := make([]bool, started)
		for from, left := time.Now(), started; ; time.Sleep(asking) {
			r.Each(0, started, func(d *rig.Daemon) {
				if n := d.Number(); !done[n] {
					done[n] = yes(n)
				}
			})
			if left = 0; !slices.Contains(done, false) {
				return time.Since(from).Seconds(), nil
			}
			for _, d := range done {
				left += map[bool]int{false: 1}[d]
			}
			if time.Since(from) > 60*time.Second {
				return 0, fmt.Errorf("%s: %d of %d daemons not after 60 s", what, left, started)
			}
		}
	}
	if c.outage > 0 {
		for n := 0; n < started/6; n, _ = lists.Told() {
			time.Sleep(10 * time.Millisecond)
		}
		had, _ := lists.Told()
		lists.Down(true)
		time.Sleep(c.outage)
		lists.Capacity(2 * work)
		lists.Begin() // those who had it have lost their watch, and call again with all others
		lists.Down(false)
		began, work = time.Now(), 2*work
		fmt.Fprintf(o.Progress, "  %d had their list when it died\n", had)
	}
	if talking {
		_, err = all("a list", func(n int) bool { return r.Daemon(n).Figure("known_encoders") == 4 })
		f.last = time.Since(began).Seconds()
	} else {
		for deadline := began.Add(60 * time.Second); err == nil; time.Sleep(50 * time.Millisecond) {
			n, last := lists.Told()
			if f.last = last.Seconds(); n == started {
				break
			}
			if time.Now().After(deadline) {
				err = fmt.Errorf("only %d of %d daemons have their list after 60 s", n, started)
			}
		}
	}
	if err != nil {
		return f, err
	}
	l := lists.Ledger()
	f.floor, f.failed, f.calls = started*work.Seconds(), float64(l.Failed+l.Refused)/float64(l.Calls), float64(l.Calls)/started
	if !talking {
		return f, nil
	}
	f.calls = float64(l.Calls)
	time.Sleep(2 * time.Second) // roles change once all are seen; this is a measurement
	f.watches = lists.Watches()
	leaves := func(want int64) func(int) bool {
		return func(n int) bool { return r.Daemon(n).Figure("skipped_encoders") == want || gone[n] }
	}
	r.Host.Encoders()[0].Drain()
	lists.Changed()
	if f.drained, err = all("a drain", leaves(1)); err != nil {
		return f, err
	}
	for n := range started {
		if r.Zone(n) == "a" && r.Daemon(n).Figure("members.watches") == 1 {
			gone[n] = true
			r.Daemon(n).Kill()
		}
	}
	r.Host.Encoders()[1].Drain()
	lists.Changed()
	f.watcher, err = all("a drain after all watchers of a zone died", leaves(2))
	return f, err
}
