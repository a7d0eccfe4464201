package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Messages that came as fast as the loop took them kept it from its timers and from every decision.
func TestTimersFireWhileMessagesKeepComing(t *testing.T) {
	l := loop(t, &fleet{})
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
