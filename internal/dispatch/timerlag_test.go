package dispatch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Checks that the log shows when the loop runs late, as on a dispatcher short of processor time, but not repeatedly.
func TestLateLoopIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	n := timerLagLog{log: slog.New(slog.NewTextHandler(&out, nil))}
	due := time.Now()
	for range 5 {
		due = due.Add(time.Second)
		n.observe(due, due.Add(lagLogThreshold-time.Millisecond))
	}
	require.Empty(t, out.String())
	for range 5 {
		due = due.Add(time.Second)
		n.observe(due, due.Add(300*time.Millisecond))
	}
	require.Equal(t, 1, strings.Count(out.String(), "late=300ms"))
	due = due.Add(lagLogQuiet + time.Second)
	n.observe(due, due.Add(300*time.Millisecond))
	require.Equal(t, 2, strings.Count(out.String(), "late=300ms"))
}
