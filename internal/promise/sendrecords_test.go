package promise

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against dropping an attempt as known to the group while its intent may still be committed: nobody would report it.
func TestConfirmedKeepsRecordWhileIntentMayCommit(t *testing.T) {
	for name, forgets := range map[string]bool{"committed": true, "not heard to be": false, "proposed twice": false, "begun": false} {
		s := NewSendRecords()
		sending, _ := s.Request("j~1~1", "s-1", 1, time.Hour)
		if name == "proposed twice" {
			s.Request("j~1~1", "s-1", 1, time.Hour)
		}
		if name != "not heard to be" {
			s.Committed(sending)
		}
		if name == "begun" {
			require.True(t, s.Begin(sending))
		} else {
			s.NeverRan(sending, 0)
		}
		s.Confirmed(sending)
		require.Equal(t, forgets, len(s.All()) == 0, name)
	}
}
