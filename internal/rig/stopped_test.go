package rig_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"caperrelay/internal/rig"
)

// A daemon that is stopped for stoppedFor of each period has a fifth of its processor time.
const (
	period     = 100 * time.Millisecond
	stoppedFor = 80 * time.Millisecond
)

// pulse stops and continues a daemon until the context is done.
func pulse(ctx context.Context, t *testing.T, d *rig.Daemon) {
	for ctx.Err() == nil {
		assert.NoError(t, d.Stop())
		time.Sleep(stoppedFor)
		assert.NoError(t, d.Wake())
		time.Sleep(period - stoppedFor)
	}
}

// ask sends a daemon a request that takes its encoder so long, on a connection of its own.
func ask(d *rig.Daemon, id string, work, left time.Duration) (status int, took time.Duration, err error) {
	q, err := http.NewRequest("POST", fmt.Sprintf("http://%s/api?class=preview&work_us=%d", d.Listen, work.Microseconds()), strings.NewReader("work"))
	if err != nil {
		return 0, 0, err
	}
	q.Header.Set("X-Correlation-Id", id)
	q.Header.Set("X-Service-Class", "preview")
	q.Header.Set("X-Account", "ups")
	q.Header.Set("X-Time-Left", fmt.Sprintf("%dm", left.Milliseconds()))
	begun := time.Now()
	p, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}).Do(q)
	if err != nil {
		return 0, time.Since(begun), err
	}
	return p.StatusCode, time.Since(begun), p.Body.Close()
}

// TestAnsweredWhenShortOfProcessorTime guards against requests that get no final answer, or get it late, at dispatchers that
// run for a fifth of the time and hold more requests than all encoders can take.
func TestAnsweredWhenShortOfProcessorTime(t *testing.T) {
	const (
		daemons, clients, requests = 3, 100, 6
		work                       = 100 * time.Millisecond
		left                       = 2 * time.Second
	)
	w := found(t, time.Millisecond)
	w.start(0, daemons)
	w.told(daemons)
	w.serves(0, daemons)
	ctx, end := context.WithCancel(t.Context())
	var pulses, load sync.WaitGroup
	for n := range daemons {
		pulses.Go(func() { pulse(ctx, t, w.Daemon(n)) })
		for c := range clients {
			load.Go(func() {
				for r := range requests {
					id := fmt.Sprintf("short-%d-%d-%d", n, c, r)
					status, took, err := ask(w.Daemon(n), id, work, left)
					assert.NoError(t, err, "%s after %v: no answer", id, took)
					assert.Contains(t, []int{0, http.StatusOK, http.StatusServiceUnavailable, http.StatusGatewayTimeout}, status, id)
					assert.Less(t, took, left+2*period, id)
				}
			})
		}
	}
	load.Wait()
	end()
	pulses.Wait()
	require.False(t, t.Failed())
	w.rules()
}
