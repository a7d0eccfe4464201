package prove

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"caperrelay/winglb"
)

const (
	paceAsks    = 400 // receipts that are timed one after another, nothing else going on
	paceCallers = 64
	paceWarm    = time.Second
	paceFor     = 4 * time.Second
)

// paceFigures are of a calm town: how long a receipt takes and what it could not take less than, and how many are given
// a second when many ask at once.
type paceFigures struct {
	receipts, floors []time.Duration
	rate             float64
}

// pace measures. The floor is one round trip of the same service that promises nothing (a class that there is not) and
// one fsync of a job's size, each taken next to a receipt, so that whatever else goes on meets both.
func pace(o Options, say func(string, ...any), daemons, copies int) (f paceFigures, err error) {
	s, end, err := swear(o, say, daemons, copies)
	if err != nil {
		return f, err
	}
	defer end()
	file, err := os.Create(filepath.Join(s.dir, "floor"))
	if err != nil {
		return f, err
	}
	defer file.Close()
	job := winglb.Promised{Job: winglb.Job{Class: "preview", Tenant: "ups", Work: time.Millisecond}, Payload: make([]byte, 256), Within: promiseWithin, Target: "/api?work_us=1000&class=preview"}
	ask := func(at *winglb.Promises, id, class string) (time.Duration, error) {
		ctx, cancel := context.WithTimeout(context.Background(), promiseCall)
		defer cancel()
		j := job
		j.ID, j.Class = id, class
		began := time.Now()
		_, err := at.Promise(ctx, j)
		return time.Since(began), err
	}
	for i := -paceAsks / 8; i < paceAsks; i++ {
		at := s.calls[(i+paceAsks)%len(s.calls)]
		trip, err := ask(at, "never", "no such class")
		if status.Code(err) != codes.InvalidArgument {
			return f, fmt.Errorf("a job of no class: %w", err)
		}
		began := time.Now()
		if _, err := file.Write(make([]byte, 512)); err != nil {
			return f, err
		}
		if err := file.Sync(); err != nil {
			return f, err
		}
		floor := trip + time.Since(began)
		took, err := ask(at, fmt.Sprint("calm", i+paceAsks), "preview")
		if err != nil {
			return f, err
		}
		if i >= 0 { // what came before made connections
			f.receipts, f.floors = append(f.receipts, took), append(f.floors, floor)
		}
	}
	var given atomic.Int64
	over, cancel := context.WithTimeout(context.Background(), paceWarm+paceFor)
	defer cancel()
	var all sync.WaitGroup
	for k := range paceCallers {
		all.Go(func() {
			for i := 0; over.Err() == nil; i++ {
				if _, err := ask(s.calls[k%len(s.calls)], fmt.Sprintf("r%d-%d", k, i), "preview"); err == nil {
					given.Add(1)
				}
			}
		})
	}
	time.Sleep(paceWarm)
	before, from := given.Load(), time.Now()
	<-over.Done()
	f.rate = float64(given.Load()-before) / time.Since(from).Seconds()
	all.Wait()
	say("%d dispatchers, %d copies, nothing wrong: %.0f receipts a second by %d callers; alone one takes %.1f ms, p99 %.1f ms, where one fsync and one round trip take %.1f ms, p99 %.1f ms",
		daemons, copies, f.rate, paceCallers, millis(quantile(f.receipts, 0.5)), millis(quantile(f.receipts, 0.99)), millis(quantile(f.floors, 0.5)), millis(quantile(f.floors, 0.99)))
	return f, nil
}
