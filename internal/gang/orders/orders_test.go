package orders

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
)

var depth = flag.Int("gang.depth", 9, "depth of the check, in commands")

// Checks all states within a depth. Messages come in any order, late, twice or never, with any number of coordinators,
// and groups move between machines. No account may be overdrawn, a gang that is about to start must hold its slots in
// all groups, and no group may commit or keep holds that the gang's home has not. Each injected fault must be found.
func TestCommitProtocolInAllOrders(t *testing.T) {
	s := Explore(NoFault, *depth)
	t.Logf("depth %d: %d states, in %d a gang is about to start", *depth, s.States, s.Starting)
	require.Empty(t, s.Violation)
	require.NotZero(t, s.Starting)
	for _, mutant := range Mutants {
		s := Explore(mutant, *depth)
		t.Logf("%s: %s, after %d states", mutant, s.Violation, s.States)
		require.NotEmpty(t, s.Violation, mutant)
	}
}
