package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Messages that arrived as fast as the loop processed them kept it from its timers and from every decision.
func TestTimersFireUnderConstantMessages(t *testing.T) {
	l := newTestLoop(t, &fleet{})
	const enough = 10 * inboxSize
	taken, atFire := 0, 0
	l.timers.At(time.Now(), func() { atFire = taken })
	var another message
	another = func(l *Loop) {
		if taken++; taken < enough {
			l.inbox <- another
		}
	}
	l.inbox <- another
	l.runBatch()
	require.Less(t, atFire, inboxSize)
}
