package rig_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/net/handover"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/ledger"
)

const (
	memoryLimit     = 192 << 20 // of the rig's daemons with a control listener
	hostileClients  = 700       // more than the daemon's listener has slots for
	hostileDuration = 4 * time.Second
)

// statusOf returns a figure of a process's status, in bytes.
func statusOf(t *testing.T, pid int, name string) (n int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(text), name+":")
	require.True(t, found)
	_, err = fmt.Sscan(rest, &n)
	require.NoError(t, err)
	return n << 10
}

// peakMemory returns the most resident memory that a process has had, in bytes.
func peakMemory(t *testing.T, pid int) int64 { return statusOf(t, pid, "VmHWM") }

// hostile is what a client does on one connection until it fails or the context ends.
type hostile func(ctx context.Context, client int, c net.Conn) error

// attack has clients behave so for a while, each on a new connection whenever its last one has ended.
func attack(ctx context.Context, clients int, address string, behave hostile) *sync.WaitGroup {
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for ctx.Err() == nil {
				c, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { c.Close() })
				behave(ctx, n, c)
				stop()
				c.Close()
			}
		})
	}
	return &wg
}

// trickle writes a text byte by byte, slowly.
func trickle(ctx context.Context, c net.Conn, text string) error {
	for i := range len(text) {
		if _, err := io.WriteString(c, text[i:i+1]); err != nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

var hostileIDs atomic.Int64

func commandHead(length int) string {
	return fmt.Sprintf("POST /api?class=preview&work_us=3000000 HTTP/1.1\r\nHost: d\r\nX-Correlation-Id: hostile-%d\r\nX-Service-Class: preview\r\nX-Account: ups\r\nX-Time-Left: 5000m\r\nContent-Length: %d\r\n", hostileIDs.Add(1), length)
}

const largeBody = 64 << 10

// memoryAttacks are the ways in which clients may make a daemon hold memory.
var memoryAttacks = map[string]hostile{
	"half of a large request, then slowly": func(ctx context.Context, _ int, c net.Conn) error {
		if _, err := io.WriteString(c, commandHead(largeBody)+"\r\n"+strings.Repeat("x", largeBody-1000)); err != nil {
			return err
		}
		return trickle(ctx, c, strings.Repeat("x", 999))
	},
	"half of a chunked request, then slowly": func(ctx context.Context, _ int, c net.Conn) error {
		head := strings.Replace(commandHead(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
		if _, err := io.WriteString(c, head+"\r\n"+strings.Repeat("1;"+strings.Repeat("e", 1000)+"\r\nx\r\n", 60)); err != nil {
			return err
		}
		return trickle(ctx, c, strings.Repeat("1\r\nx\r\n", 200))
	},
	"very many short fields": func(ctx context.Context, _ int, c net.Conn) error {
		if _, err := io.WriteString(c, commandHead(0)+strings.Repeat("a:\r\n", 20_000)+"\r\n"); err != nil {
			return err
		}
		_, err := io.Copy(io.Discard, c)
		return err
	},
	"as many short fields as allowed, then slowly": func(ctx context.Context, _ int, c net.Conn) error {
		if _, err := io.WriteString(c, commandHead(0)+strings.Repeat("a:\r\n", 50)); err != nil {
			return err
		}
		return trickle(ctx, c, strings.Repeat("a:\r\n", 8))
	},
	"much behind a large request": func(ctx context.Context, _ int, c net.Conn) error {
		if _, err := io.WriteString(c, commandHead(largeBody)+"\r\n"+strings.Repeat("x", largeBody)+strings.Repeat("y", 500<<10)); err != nil {
			return err
		}
		_, err := io.Copy(io.Discard, c)
		return err
	},
}

// soundClients sends requests on new connections until the context ends, and returns how many were answered, with which
// statuses, and the longest wait.
func (w *town) soundClients(ctx context.Context, n int) func() (statuses map[int]int, longest time.Duration) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses, longest := map[int]int{}, time.Duration(0)
	for range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				id := fmt.Sprint("sound-", jobs.Add(1))
				status, took, _ := ask(w.Daemon(0), id, time.Millisecond, 2*time.Second)
				mu.Lock()
				statuses[status]++
				longest = max(longest, took)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return func() (map[int]int, time.Duration) { wg.Wait(); return statuses, longest }
}

func hostileTown(t *testing.T, more ...func(*rig.Options)) *town {
	w := founded(t, 1, time.Millisecond, append([]func(*rig.Options){func(o *rig.Options) { o.Lean = false }}, more...)...)
	w.start(0, 1)
	w.told(1)
	w.serves(0, 1)
	return w
}

// TestMemoryStaysWithinTheLimit guards against clients that make the daemon hold more memory than its settings allow, for
// which a platform kills it with all that it has in hand.
func TestMemoryStaysWithinTheLimit(t *testing.T) {
	for name, behave := range memoryAttacks {
		t.Run(name, func(t *testing.T) {
			w := hostileTown(t)
			ctx, end := context.WithTimeout(t.Context(), hostileDuration)
			defer end()
			sound := w.soundClients(ctx, 4)
			attack(ctx, hostileClients, w.Daemon(0).Listen, behave).Wait()
			statuses, longest := sound()
			peak := peakMemory(t, w.Daemon(0).Pid())
			t.Logf("peak %d MB, sound clients %v, longest %v", peak>>20, statuses, longest)
			require.Less(t, peak, int64(memoryLimit))
			w.serves(0, 1)
		})
	}
}

// TestMemoryOfTwoProcessesStaysWithinTheLimit guards against the two processes of a replacement, which share a machine,
// holding more memory than it has while clients send much behind large requests.
func TestMemoryOfTwoProcessesStaysWithinTheLimit(t *testing.T) {
	w := hostileTown(t)
	ctx, end := context.WithTimeout(t.Context(), hostileDuration)
	defer end()
	clients := attack(ctx, hostileClients, w.Daemon(0).Listen, memoryAttacks["much behind a large request"])
	time.Sleep(hostileDuration / 4) // so that clients hold all that they can
	older, err := w.Daemon(0).Beside()
	require.NoError(t, err)
	peak := int64(0)
	for ctx.Err() == nil { // pages of the program's file are shared
		both := statusOf(t, older.Pid(), "RssAnon") + statusOf(t, w.Daemon(0).Pid(), "RssAnon") + statusOf(t, older.Pid(), "RssFile")
		peak = max(peak, both)
		time.Sleep(5 * time.Millisecond)
	}
	clients.Wait()
	t.Logf("peak of both %d MB", peak>>20)
	require.Less(t, peak, int64(memoryLimit))
	w.serves(0, 1)
}

// flood keeps many requests under way on one connection, without pause, until the context ends. It returns how many were
// answered.
func flood(ctx context.Context, address string, request func(n int) string) (answered int) {
	attack(ctx, 1, address, func(_ context.Context, _ int, c net.Conn) error {
		const atOnce = 1000
		reader := bufio.NewReaderSize(c, http1.MaxLine)
		for {
			var batch strings.Builder
			for n := range atOnce {
				batch.WriteString(request(answered + n))
			}
			go io.WriteString(c, batch.String())
			for range atOnce {
				if _, err := http1.ReadResponse(reader, "POST"); err != nil {
					return err
				}
				answered++
			}
		}
	}).Wait()
	return answered
}

// TestFloodOfOneClientIsBorne guards against one client that sends small or unsound requests on one connection at full speed,
// also under ever new names, keeping others from being served or making the daemon grow.
func TestFloodOfOneClientIsBorne(t *testing.T) {
	for name, request := range map[string]func(n int) string{
		"unknown class": func(n int) string {
			return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: d\r\nX-Correlation-Id: u%d\r\nX-Service-Class: c%d\r\nContent-Length: 0\r\n\r\n", n, n)
		},
		"callbacks that match nothing": func(n int) string {
			body := fmt.Sprintf(`{"id":"u%d","from":"s-%d","state":"done","result":"x"}`, n, n)
			return fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nHost: d\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		},
		"figures": func(int) string { return "GET /_counters HTTP/1.1\r\nHost: d\r\n\r\n" },
		"new accounts and keys": func(n int) string {
			return fmt.Sprintf("POST /api?class=preview&work_us=1 HTTP/1.1\r\nHost: d\r\nX-Correlation-Id: n%d\r\nX-Service-Class: preview\r\nX-Account: a%d\r\nCookie: user=u%d\r\nX-Time-Left: 1m\r\nContent-Length: 0\r\n\r\n", n, n, n)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := hostileTown(t)
			ctx, end := context.WithTimeout(t.Context(), hostileDuration)
			defer end()
			sound := w.soundClients(ctx, 4)
			answered := flood(ctx, w.Daemon(0).Listen, request)
			statuses, longest := sound()
			peak := peakMemory(t, w.Daemon(0).Pid())
			t.Logf("%d answered, peak %d MB, sound clients %v, longest %v", answered, peak>>20, statuses, longest)
			require.Positive(t, answered)
			require.Less(t, peak, int64(memoryLimit))
			require.Positive(t, statuses[200])
			require.Zero(t, statuses[0], "no answer")
		})
	}
}

// publish writes a request that must not run twice, with bytes behind it.
func publish(t *testing.T, address, id string, work time.Duration, behind int) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	_, err = fmt.Fprintf(c, "POST /api?class=publish&once=1&work_us=%d HTTP/1.1\r\nHost: d\r\nX-Correlation-Id: %s\r\nX-Service-Class: publish\r\nX-Account: ups\r\nX-Time-Left: 20000m\r\nContent-Length: 0\r\n\r\n%s",
		work.Microseconds(), id, strings.Repeat("y", behind))
	require.NoError(t, err)
	return c
}

// arrivals returns when attempts of a job reached an encoder.
func (w *town) arrivals(job string) (all []time.Time) {
	for _, a := range w.Host.Ledger.Attempts() {
		if a.Job == job {
			all = append(all, a.Arrived)
		}
	}
	return all
}

// TestNothingIsSentForClientsThatLeft guards against requests of clients that closed their connections with much still unread
// being sent afterwards, once encoders have room.
func TestNothingIsSentForClientsThatLeft(t *testing.T) {
	const slots, leavers, grace = 12, 20, 100 * time.Millisecond
	w := hostileTown(t)
	var busy []net.Conn
	for n := range 2 * slots { // so that all encoders are full for a while
		busy = append(busy, publish(t, w.Daemon(0).Listen, fmt.Sprint("busy-", n), time.Second, 0))
	}
	left := map[string]time.Time{}
	for n := range leavers {
		id := fmt.Sprint("left-", n)
		c := publish(t, w.Daemon(0).Listen, id, time.Millisecond, []int{0, 4 << 10, 100 << 10, 500 << 10}[n%4])
		require.NoError(t, c.Close())
		left[id] = time.Now()
	}
	for _, c := range busy {
		_, err := http1.ReadResponse(bufio.NewReaderSize(c, http1.MaxLine), "POST")
		require.NoError(t, err)
		c.Close()
	}
	w.serves(0, 1)
	for id, at := range left {
		for _, arrived := range w.arrivals(id) {
			require.Less(t, arrived.Sub(at), grace, id)
		}
	}
}

// TestIDOfClientThatLeftRunsOnce guards against a request that must not run twice running again when its ID comes again after
// its client has left, also at the process that takes over.
func TestIDOfClientThatLeftRunsOnce(t *testing.T) {
	w := hostileTown(t)
	again := func(id string) int {
		c := publish(t, w.Daemon(0).Listen, id, time.Millisecond, 0)
		defer c.Close()
		p, err := http1.ReadResponse(bufio.NewReaderSize(c, http1.MaxLine), "POST")
		require.NoError(t, err)
		return p.Status
	}
	for _, replaced := range []bool{false, true} {
		id := fmt.Sprint("left-", replaced)
		c := publish(t, w.Daemon(0).Listen, id, 10*time.Second, 0)
		w.await("an encoder has it", func() bool { return len(w.arrivals(id)) == 1 })
		require.NoError(t, c.Close())
		w.await("it is taken back", func() bool {
			return slices.ContainsFunc(w.Host.Ledger.Attempts(), func(a ledger.Attempt) bool { return a.Job == id && a.Fate == ledger.Dropped })
		})
		if replaced {
			path := handover.Path(w.Dir, w.Daemon(0).Listen)
			before, err := os.Stat(path)
			require.NoError(t, err)
			older, err := w.Daemon(0).Beside()
			require.NoError(t, err)
			w.await("the newer process has taken over", func() bool {
				now, err := os.Stat(path)
				return err == nil && !os.SameFile(before, now)
			})
			older.Signal(syscall.SIGTERM)
			older.Wait()
			w.serves(0, 1)
		}
		require.Equal(t, 502, again(id), "it may have run")
		require.Len(t, w.arrivals(id), 1)
	}
	w.rules()
}
