package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Checks that messages that arrive as fast as the loop processes them do not keep it from its timers and from
// deciding.
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
