package promise

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
)

var depthFlag = flag.Int("depth", 8, "of the exploration of the change of owner")

func TestOwnerChangeModel(t *testing.T) {
	for _, repeats := range []bool{false, true} {
		x := Explore(repeats, *depthFlag)
		t.Logf("model: repeats=%v states=%d depth=%d", repeats, x.States, x.Depth)
		require.Empty(t, x.Violation)
	}
}

func TestMutantsAreCaught(t *testing.T) {
	for _, m := range Mutants() {
		t.Logf("mutant: %s: %q after %d states and %d steps", m.Name, m.Violation, m.States, m.Depth)
		require.Equal(t, m.Expected, m.Violation, m.Name)
	}
}
