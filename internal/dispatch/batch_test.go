package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Messages that arrived as fast as the loop processed them kept it from its timers and from every decision.
func TestTimersFireUnderConstantMessages(t *testing.T) {
	l := newTestLoop(t, &fleet{})
	const total = 10 * inboxSize
	processed, atFire := 0, 0
	l.timers.At(time.Now(), func() { atFire = processed })
	var next message
	next = func(l *Loop) {
		if processed++; processed < total {
			l.inbox <- next
		}
	}
	l.inbox <- next
	l.runBatch()
	require.Less(t, atFire, inboxSize)
}
