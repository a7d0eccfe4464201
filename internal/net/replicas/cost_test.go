package replicas

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func cpu(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// awaitLeaders waits until each group has had a leader.
func (w *cluster) awaitLeaders() {
	w.Helper()
	seen := map[uint32]bool{}
	w.await("all groups have had a leader", func() bool {
		for _, s := range w.hosts {
			for g := range w.groups {
				if _, _, ok := s.Lease(g); ok {
					seen[g] = true
				}
			}
		}
		return len(seen) == int(w.groups)
	})
}

// hibernatingShare returns the share of replicas that hibernate.
func (w *cluster) hibernatingShare() float64 {
	n, all := 0, 0
	for _, s := range w.hosts {
		for _, g := range s.Status().Groups {
			if all++; g.Hibernating {
				n++
			}
		}
	}
	return float64(n) / float64(all)
}

// Measures the idle cost of ten daemons with up to a thousand groups, as a share of a core for each daemon.
func BenchmarkIdle(b *testing.B) {
	for _, groups := range []uint32{10, 100, 1000} {
		b.Run(fmt.Sprint("groups=", groups), func(b *testing.B) {
			w := newCluster(b, 10, groups)
			w.awaitLeaders()
			const settle, over = 10 * time.Second, 5 * time.Second
			<-time.After(settle)
			for b.Loop() {
				before, writes := cpu(b), w.writes()
				<-time.After(over)
				b.ReportMetric(100*float64(cpu(b)-before)/float64(over)/10, "%core/daemon")
				b.ReportMetric(100*w.hibernatingShare(), "%calm")
				b.ReportMetric(float64(w.writes()-writes)/over.Seconds()/10, "writes/s/daemon")
			}
		})
	}
}

// Measures batches per command, of two calls of fdatasync each, with 1 to 256 concurrent callers.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			w := newCluster(b, 3, 16)
			w.awaitLeaders()
			writes, n := w.writes(), 0
			began := time.Now()
			for b.Loop() {
				var all sync.WaitGroup
				for c := range callers {
					all.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
						defer cancel()
						_, err := w.hosts[c%3].Propose(ctx, 1+uint32(c)%15, 0, []byte("a command of some length, as a promise has"))
						require.NoError(b, err)
					})
				}
				all.Wait()
				n += callers
			}
			b.ReportMetric(float64(w.writes()-writes)/3/float64(n), "batches/command/daemon")
			b.ReportMetric(float64(n)/time.Since(began).Seconds(), "commands/s")
		})
	}
}

func (w *cluster) writes() (n int64) {
	for _, s := range w.hosts {
		s.mu.Lock()
		n += s.store.writes.Load()
		s.mu.Unlock()
	}
	return n
}
