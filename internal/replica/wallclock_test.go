package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Requires that a command proposed with a correct clock does not get the time of an earlier proposal whose clock was an
// hour ahead. Each proposal carries its proposer's time, and a group's time never decreases. KNOWN-RED.txt lists
// this test: it fails at present.
func TestOneClockAheadIsNotTheGroupsTime(t *testing.T) {
	w := newCluster(t, 31, 3)
	w.awaitLeaders(5 * time.Second)
	leader := w.nodes[w.indexOf(w.leader(1))]
	_, err := leader.node.Propose(w.clock(leader), 1, w.now+time.Hour, []byte("\x00ahead;"))
	require.NoError(t, err)
	w.run(time.Second)
	require.True(t, w.propose(1, "right;"))
	w.run(time.Second)

	lines := w.lines(w.indexOf(leader.name), 1)
	var index uint64
	var at time.Duration
	_, err = fmt.Sscanf(lines[len(lines)-1], "%d@%d right;", &index, &at)
	require.NoError(t, err, lines)
	require.Less(t, at, w.now+time.Minute, "the time of a command proposed with a correct clock")
}
