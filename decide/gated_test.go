package decide

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestGatedAttemptIsNotTimedUntilItGoesOut guards against suspecting a worker of not starting an attempt that is still
// waiting for permission to be sent.
func TestGatedAttemptIsNotTimedUntilItGoesOut(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 40)
	h.now += 10 * ms
	req := h.newRequest(0, 2000*ms)
	req.Gated = true
	first := h.handle(req.Request)[0].(Send).Worker
	wait := func(steps int) {
		for range steps {
			h.now += 10 * ms
			h.handle(TimerFired{})
		}
	}
	wait(50)
	require.Len(t, req.attempts, 1, "attempt not sent yet")
	require.Zero(t, h.d.workers[first].failures)
	h.handle(AttemptSent{req.ID, 0})
	require.Len(t, req.attempts, 1, "attempt just sent")
	wait(50)
	require.Greater(t, len(req.attempts), 1, "the worker does not start it")
}
