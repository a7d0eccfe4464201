package prove

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperrelay/internal/load"
	"caperrelay/internal/rig"
)

// Memory has one daemon on one core serve 256 clients in a closed loop, with clients' patience of 1, 5 and
// 25 s: resident memory must not grow with it. It tells what CPU a request costs the daemon.
func Memory(o Options) error {
	var rss [3]int64
	var cpu, rate float64
	for i, patience := range []time.Duration{time.Second, 5 * time.Second, 25 * time.Second} {
		r, end, err := single(o, patience)
		if err != nil {
			return err
		}
		f, err := closedLoop(r, patience, 8*time.Second)
		end()
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Progress, "patience %3v: %6.0f requests/s, %3d MB resident, %5.1f us of CPU a request, %.1f%% served\n", patience, f.rate, f.rss>>20, f.cpu, 100*f.served)
		rss[i] = f.rss
		if i == 0 || f.cpu < cpu {
			cpu = f.cpu
		}
		rate = max(rate, f.rate)
	}
	fmt.Printf("prove memory: clients=256 encoders=64 rss_mb_1s=%d rss_mb_5s=%d rss_mb_25s=%d cpu_us_per_request=%.1f requests_per_s=%.0f\n", rss[0]>>20, rss[1]>>20, rss[2]>>20, cpu, rate)
	if grown := rss[2] - rss[0]; grown > max(rss[0]/4, 8<<20) {
		return errors.New("resident memory grows with clients' patience")
	}
	return nil
}

// single is one daemon over 64 encoders with room for all.
func single(o Options, patience time.Duration) (*rig.Rig, func(), error) {
	dir, err := os.MkdirTemp("", "winglb-prove-")
	if err != nil {
		return nil, nil, err
	}
	classes := []load.Class{{Name: "preview", Work: 20 * time.Millisecond, Left: patience}}
	r, err := rig.New(rig.Options{Encoders: 64, Slots: 8, Daemons: 1, Classes: classes, Command: o.Command, Dir: dir, Output: os.Stderr, Tenants: []string{"ups"}, Lines: 1, Lean: true})
	end := func() { os.RemoveAll(dir) }
	if err != nil {
		end()
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if err := r.StartAll(ctx); err != nil {
		r.Close()
		end()
		return nil, nil, err
	}
	return r, func() { r.Close(); end() }, nil
}

type loopFigures struct {
	rate, cpu, served float64
	rss               int64
}

// closedLoop has 256 clients ask one after another.
func closedLoop(r *rig.Rig, patience, length time.Duration) (f loopFigures, err error) {
	d := r.Daemon(0)
	target := &load.HTTP{Address: func() string { return d.Listen }}
	defer target.Close()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var done, served atomic.Int64
	var wg sync.WaitGroup
	for n := range 256 {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				job, stop := context.WithTimeout(context.Background(), patience)
				v, _ := target.Do(job, load.Arrival{ID: fmt.Sprintf("%d-%d", n, i), Class: "preview", Tenant: "ups", Work: 20 * time.Millisecond})
				stop()
				if done.Add(1); v == load.Served {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(length / 2)
	at, cpu := done.Load(), cpuOf(d.Pid())
	from := time.Now()
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		f.rss = max(f.rss, rssOf(d.Pid()))
	}
	n, used := done.Load()-at, cpuOf(d.Pid())-cpu
	f.rate = float64(n) / time.Since(from).Seconds()
	f.cpu = float64(used.Microseconds()) / float64(max(1, n))
	wg.Wait()
	d.Signal(syscall.SIGTERM) // in order, for a profile
	d.Wait()
	f.served = float64(served.Load()) / float64(done.Load())
	return f, nil
}

// cpuOf is the CPU time that a process has used.
func cpuOf(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // clock ticks, 100 a second on Linux
}

// rssOf is a process's resident memory.
func rssOf(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
