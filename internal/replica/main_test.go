package replica

import (
	"flag"
	"os"
	"testing"
)

// TestMain has fewer worlds than the library's hundred, each of which is minutes long; -rapid.checks asks for more.
func TestMain(m *testing.M) {
	flag.Set("rapid.checks", "30")
	flag.Parse()
	os.Exit(m.Run())
}
