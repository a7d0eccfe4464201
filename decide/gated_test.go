package decide

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an attempt that waits for leave to be sent being taken for one that its worker lets stand.
func TestGatedAttemptIsNotTimedUntilItGoesOut(t *testing.T) {
	h := newReadyHarness(t, testSettings(1, true, false, false), 40)
	h.now += 10 * ms
	req := h.newRequest(0, 2000*ms)
	req.Gated = true
	first := h.handle(req.Request)[0].(Send).Worker
	wait := func(steps int) {
		for range steps {
			h.now += 10 * ms
			h.handle(Wake{})
		}
	}
	wait(50)
	require.Len(t, req.attempts, 1, "no worker has it")
	require.Zero(t, h.d.workers[first].strikes)
	h.handle(Passed{req.ID, 0})
	require.Len(t, req.attempts, 1, "it has only just gone out")
	wait(50)
	require.Greater(t, len(req.attempts), 1, "now its worker lets it stand")
}
