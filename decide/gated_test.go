package decide

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an attempt that waits for leave to be sent being taken for one that its worker lets stand.
func TestGatedAttemptIsNotTimedUntilItGoesOut(t *testing.T) {
	w := newReadyHarness(t, testSettings(1, true, false, false), 40)
	w.now += 10 * ms
	j := w.newRequest(0, 2000*ms)
	j.Gated = true
	first := w.handle(j.Request)[0].(Send).Worker
	wait := func(steps int) {
		for range steps {
			w.now += 10 * ms
			w.handle(Wake{})
		}
	}
	wait(50)
	require.Len(t, j.attempts, 1, "no worker has it")
	require.Zero(t, w.d.workers[first].strikes)
	w.handle(Passed{j.ID, 0})
	require.Len(t, j.attempts, 1, "it has only just gone out")
	wait(50)
	require.Greater(t, len(j.attempts), 1, "now its worker lets it stand")
}
