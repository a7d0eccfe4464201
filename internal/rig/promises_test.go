package rig_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"caperrelay/internal/promise"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/ledger"
	"caperrelay/internal/standin/link"
	"caperrelay/winglb"
)

// sworn is a town whose daemons keep promises together: all promises are of one group, of which each has a copy.
type sworn struct {
	*town
	promises *winglb.Promises
	began    time.Time

	mu  sync.Mutex
	all map[string]string // class by id
}

const (
	five = 5
	own  = -1 // encoders call back whoever sent the job
)

// swear starts one. Encoders call back whom the job names, where shared says so, else whoever sent it. More goes into the
// daemons' files.
func swear(t *testing.T, shared bool, more ...string) *sworn {
	t.Parallel() // stories wait, they do not work
	w := &sworn{town: founded(t, five, time.Millisecond, func(o *rig.Options) { o.Lean, o.Members = false, shared }), all: map[string]string{}, began: time.Now()}
	for n := range five {
		var peers, through []string
		for m := range five {
			if m == n {
				continue
			}
			at, err := w.net.TCP(link.Way{From: fmt.Sprint("n", n), To: fmt.Sprint("n", m)}, w.Daemon(m).Control)
			require.NoError(t, err)
			peers = append(peers, fmt.Sprintf("n%d = %q", m, w.Daemon(m).Control))
			through = append(through, fmt.Sprintf("n%d = %q", m, at))
		}
		f, err := os.OpenFile(w.Daemon(n).File(), os.O_APPEND|os.O_WRONLY, 0)
		require.NoError(t, err)
		_, err = fmt.Fprintf(f, "%s\n[promises]\ndir = %q\ngroups = 2\ncopies = %d\n[promises.peers]\n%s\n[promises.through]\n%s\n",
			strings.Join(more, "\n"), w.disk(n), five, strings.Join(peers, "\n"), strings.Join(through, "\n"))
		require.NoError(t, err)
		require.NoError(t, f.Close())
	}
	w.start(0, five)
	var err error
	w.promises, err = winglb.NewPromises(winglb.Config{Daemons: w.Controls()})
	require.NoError(t, err)
	t.Cleanup(w.promises.Close)
	w.owner()
	w.serves(0, five)
	return w
}

func (w *sworn) disk(n int) string { return filepath.Join(w.Dir, fmt.Sprintf("n%d.record", n)) }

// owner is who acts for the promises.
func (w *sworn) owner() (owner int) {
	w.Helper()
	w.await("one acts", func() bool {
		acting := 0
		for n := range five {
			if w.Daemon(n).Figure("promise.groups_acted_for") > 0 {
				owner = n
				acting++
			}
		}
		return acting == 1
	})
	return owner
}

// loses has a machine gone with its disk.
func (w *sworn) loses(n int) {
	w.Daemon(n).Kill()
	require.NoError(w, os.RemoveAll(w.disk(n)))
}

// promise hands a job in at any daemon; via is whom its encoder calls back, where encoders ask for that, and order the only
// encoders that it may go to.
func (w *sworn) promise(id, class string, work, within time.Duration, via int, order ...string) {
	w.Helper()
	w.mu.Lock()
	w.all[id] = class
	w.mu.Unlock()
	once := map[bool]string{true: "&once=1"}[class == "publish"]
	if via >= 0 {
		once += fmt.Sprint("&via=n", via)
	}
	ctx, cancel := context.WithTimeout(w.Context(), patience)
	defer cancel()
	_, err := w.promises.Promise(ctx, winglb.Promised{
		Job: winglb.Job{ID: id, Class: class, Tenant: "ups", Work: work}, Payload: []byte("work"), Within: within, Order: order,
		Target: fmt.Sprintf("/api?work_us=%d&class=%s%s", work.Microseconds(), class, once),
	})
	require.NoError(w, err)
}

// end waits for a promise's end.
func (w *sworn) end(id string) winglb.End {
	w.Helper()
	ctx, cancel := context.WithTimeout(w.Context(), patience)
	defer cancel()
	e, err := w.promises.Await(ctx, id)
	require.NoError(w, err, id)
	return e
}

// ran is how often a job did, by encoders' own word.
func (w *sworn) ran(id string) (n int) {
	for _, a := range w.Host.Ledger.Attempts() {
		if of, _, _, ok := promise.ReadWireID(a.Job); ok && of == id && !a.Started.IsZero() {
			n++
		}
	}
	return n
}

func (w *sworn) started(id string) {
	w.Helper()
	w.await(id+" runs", func() bool { return w.ran(id) > 0 })
}

// kept checks all that was promised: each has its end, the same when asked again, wherever; what must not run twice did
// not; what is told as done was, and what is told as refused was not.
func (w *sworn) kept() map[string]winglb.End {
	w.Helper()
	ends := map[string]winglb.End{}
	for id, class := range w.all {
		e := w.end(id)
		ends[id] = e
		require.Equal(w, e, w.end(id), id)
		n := w.ran(id)
		if class == "publish" {
			require.LessOrEqual(w, n, 1, id)
		}
		switch e.Kind {
		case winglb.EndDone:
			require.Positive(w, n, id)
		case winglb.EndRefused:
			require.Zero(w, n, id)
		}
	}
	require.Empty(w, w.Host.Ledger.Check(ledger.Rules{DrainGrace: 750 * time.Millisecond, Slack: 50 * time.Millisecond}))
	return ends
}

// The machine that acts is lost with its disk right after it gave receipts, and the next while jobs run. The
// call-back of one reaches another dispatcher, which books it; that of the other is lost with the machine.
func TestPromisesOutliveMachines(t *testing.T) {
	w := swear(t, true)
	first := w.owner()
	via := (first + 1) % five
	for i := range 5 {
		w.promise(fmt.Sprint("safe-", i), "preview", 5*time.Millisecond, time.Minute, via)
		w.promise(fmt.Sprint("once-", i), "publish", 5*time.Millisecond, 3*time.Second, via)
	}
	w.loses(first)
	second := w.owner()
	third := (second + 1) % five
	if third == first {
		third = (second + 2) % five
	}
	w.promise("heard", "publish", time.Second, 20*time.Second, third)
	w.promise("unheard", "publish", time.Second, 4*time.Second, second)
	for _, id := range []string{"heard", "unheard"} {
		w.started(id)
	}
	w.loses(second)
	ends := w.kept()
	require.Equal(t, winglb.EndDone, ends["heard"].Kind)
	require.Equal(t, winglb.EndFailed, ends["unheard"].Kind)
	require.Equal(t, promise.MayHaveRun, ends["unheard"].Reason)
	for i := range 5 {
		require.Equal(t, winglb.EndDone, ends[fmt.Sprint("safe-", i)].Kind)
	}
}

// The machine is lost after intents were committed, while all encoders stand still; the next after the ends were told.
func TestPromisesAfterIntentAndEnd(t *testing.T) {
	w := swear(t, true)
	first := w.owner()
	via := (first + 1) % five
	for _, e := range w.Host.Encoders() {
		e.Hang()
	}
	w.promise("once", "publish", 5*time.Millisecond, 4*time.Second, via)
	w.promise("safe", "preview", 5*time.Millisecond, time.Minute, via)
	w.await("intents", func() bool { return w.Daemon(first).Figure("promise.intents") >= 2 })
	w.loses(first)
	w.owner()
	for _, e := range w.Host.Encoders() {
		e.Wake()
	}
	ends := w.kept()
	require.Equal(t, winglb.EndDone, ends["safe"].Kind)
	w.loses(w.owner())
	require.Equal(t, ends, w.kept(), "ends stay")
	require.NoError(t, w.promises.Forget(t.Context(), "safe"))
	_, err := w.promises.Await(t.Context(), "safe")
	require.Equal(t, codes.NotFound, status.Code(err))
}

// The dispatcher that acts is stopped in the middle of jobs that come in, for longer than its lease, and wakes: it sends
// nothing of what it had.
func TestOwnerThatSleepsSendsNothing(t *testing.T) {
	w := swear(t, false)
	first := w.owner()
	const askers, each = 8, 12
	var given, done sync.WaitGroup
	given.Add(askers)
	for k := range askers {
		done.Go(func() {
			for i := range each {
				if i == each/2 {
					given.Done()
				}
				w.promise(fmt.Sprintf("j-%d-%d", k, i), []string{"preview", "publish"}[i%2], 2*time.Millisecond, 4*time.Second, own)
			}
		})
	}
	given.Wait() // all are about in the middle
	require.NoError(t, w.Daemon(first).Stop())
	w.await("another acts", func() bool {
		for n := range five {
			if n != first && w.Daemon(n).Figure("promise.groups_acted_for") > 0 {
				return true
			}
		}
		return false
	})
	done.Wait()
	woken := time.Now()
	require.NoError(t, w.Daemon(first).Wake())
	w.kept()
	require.NotEqual(t, first, w.owner())
	for _, a := range w.Host.Ledger.Attempts() {
		if _, _, _, ok := promise.ReadWireID(a.Job); ok && a.Sender == fmt.Sprint("n", first) {
			require.True(t, a.Arrived.Before(woken), "%s came to %s %v after its sender woke", a.Job, a.Encoder, a.Arrived.Sub(woken))
		}
	}
}

// The acting dispatcher's process is replaced while jobs run, twice: the newer one does not have them in hand, and their
// call-backs end them all the same.
func TestPromisesWhileAProcessIsReplaced(t *testing.T) {
	w := swear(t, false)
	for round := range 2 {
		d := w.Daemon(w.owner())
		for i := range 4 {
			w.promise(fmt.Sprintf("j-%d-%d", round, i), "publish", 2*time.Second, 20*time.Second, own)
		}
		w.started(fmt.Sprintf("j-%d-3", round))
		before, err := d.Beside()
		require.NoError(t, err)
		ends := w.kept()
		for id, e := range ends {
			require.Equal(t, winglb.EndDone, e.Kind, id)
		}
		require.Positive(t, d.Figure("promise.booked"), "the newer process was called back")
		before.Signal(syscall.SIGTERM)
		before.Wait()
	}
}

// Nothing that the acting dispatcher says reaches the others, while it hears them: another takes over, and what was
// promised is kept on either side of that.
func TestLeaderCutOffOneWay(t *testing.T) {
	w := swear(t, false)
	first := w.owner()
	for i := range 4 {
		w.promise(fmt.Sprint("before-", i), []string{"preview", "publish"}[i%2], 300*time.Millisecond, 20*time.Second, own)
	}
	w.started("before-1")
	for n := range five {
		if n != first {
			w.net.Set(link.Way{From: fmt.Sprint("n", first), To: fmt.Sprint("n", n)}, link.Weather{Cut: true})
		}
	}
	w.await("another acts", func() bool {
		return w.Daemon(first).Figure("promise.groups_acted_for") == 0 && w.owner() != first
	})
	for i := range 4 {
		w.promise(fmt.Sprint("during-", i), []string{"preview", "publish"}[i%2], 2*time.Millisecond, 20*time.Second, own)
	}
	w.end("during-0")
	for n := range five {
		if n != first {
			w.net.Set(link.Way{From: fmt.Sprint("n", first), To: fmt.Sprint("n", n)}, link.Weather{})
		}
	}
	ends := w.kept()
	require.Equal(t, winglb.EndDone, ends["before-1"].Kind, "the one cut off is told, and books it once it can")
}
