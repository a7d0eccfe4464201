package orders

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
)

var depth = flag.Int("gang.depth", 9, "commands that the check goes")

// Each state within a depth, with messages in any order, late, twice and lost, whoever coordinates and wherever a group's
// copies are moved: no account is passed, what is to start is held everywhere, and no group commits or keeps what its
// gang's home has not. Faults put in are found, each by its name.
func TestCommitmentInEveryOrder(t *testing.T) {
	s := Explore(Sound, *depth)
	t.Logf("depth %d: %d states, in %d a gang is about to start", *depth, s.States, s.Going)
	require.Empty(t, s.Fault)
	require.NotZero(t, s.Going)
	for _, bug := range Mutants {
		s := Explore(bug, *depth)
		t.Logf("%s: %s, after %d states", bug, s.Fault, s.States)
		require.NotEmpty(t, s.Fault, bug)
	}
}
