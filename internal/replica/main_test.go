package replica

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs fewer rapid checks than the default hundred, because each simulates minutes; -rapid.checks overrides
// it.
func TestMain(m *testing.M) {
	flag.Set("rapid.checks", "30")
	flag.Parse()
	os.Exit(m.Run())
}
