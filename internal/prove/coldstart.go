package prove

import (
	"errors"
	"fmt"
	"os"
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

// coldFigures is what a cold start met.
type coldFigures struct{ last, floor, failed, calls float64 }

// ColdStart starts 300 daemons in one second with no list at all, against one list service that works through calls
// in turn and fails those that waited 1 s, at 100 and at 25 calls a second; the daemons are told neither.
func ColdStart(o Options) error {
	var all [2]coldFigures
	for i, work := range []time.Duration{10 * time.Millisecond, 40 * time.Millisecond} {
		f, err := coldStart(o, work)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Progress, "%3.0f calls a second: all have their list after %.1f s (floor %.1f), %.0f%% of %.2f calls each failed\n", 1/work.Seconds(), f.last, f.floor, 100*f.failed, f.calls)
		all[i] = f
	}
	fmt.Printf("prove coldstart: processes=%d alone_last_s_100=%.1f alone_floor_s_100=%.1f alone_failed_100=%.2f alone_last_s_25=%.1f alone_floor_s_25=%.1f alone_failed_25=%.2f\n",
		started, all[0].last, all[0].floor, all[0].failed, all[1].last, all[1].floor, all[1].failed)
	var broken error
	for _, f := range all {
		if f.last > mostOfFloor*f.floor {
			broken = errors.Join(broken, fmt.Errorf("the last list came after %.1f s, %.1f times the floor", f.last, f.last/f.floor))
		}
		if f.failed > mostFailed {
			broken = errors.Join(broken, fmt.Errorf("%.0f%% of the calls failed", 100*f.failed))
		}
	}
	return broken
}

func coldStart(o Options, work time.Duration) (f coldFigures, err error) {
	dir, err := os.MkdirTemp("", "winglb-prove-")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(dir)
	lists := listservice.New(work, listWaits)
	defer lists.Close()
	r, err := rig.New(rig.Options{
		Encoders: 2, Slots: 8, Daemons: started, Classes: []load.Class{{Name: "preview", Work: 20 * time.Millisecond, Left: time.Second}},
		Command: o.Command, Dir: dir, Tenants: []string{"ups"}, Lines: 1, Lean: true, Lists: lists,
	})
	if err != nil {
		return f, err
	}
	defer r.Close()
	lists.Begin()
	r.Each(0, started, func(d *rig.Daemon) { err = errors.Join(err, d.Start()) })
	if err != nil {
		return f, err
	}
	for deadline := time.Now().Add(60 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		n, last := lists.Told()
		if f.last = last.Seconds(); n == started {
			break
		}
		if time.Now().After(deadline) {
			return f, fmt.Errorf("only %d of %d daemons have their list after 60 s", n, started)
		}
	}
	l := lists.Ledger()
	f.floor, f.failed, f.calls = started*work.Seconds(), float64(l.Failed+l.Refused)/float64(l.Calls), float64(l.Calls)/started
	return f, nil
}
