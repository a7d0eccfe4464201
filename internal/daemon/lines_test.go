package daemon

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A log that nobody reads held up whoever wrote a line, under the lock that operators' answers need: a process that took
// over was never ready. Nothing waits for it; what the pipe and the queue hold comes, and how much does not is told.
func TestLogThatNobodyReads(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	defer w.Close()
	l := newLines(w)
	const all = 20_000 // far beyond what a pipe and the queue hold
	for i := range all {
		fmt.Fprintf(l, "line %d\n", i)
	}
	next, lost, got := 0, 0, bufio.NewScanner(r)
	for next < all && lost == 0 && got.Scan() {
		if _, err := fmt.Sscanf(got.Text(), "winglb: %d lines", &lost); err == nil {
			break
		}
		require.Equal(t, fmt.Sprint("line ", next), got.Text())
		next++
	}
	require.Positive(t, lost)
	go fmt.Fprintln(l, "after")
	for got.Scan() && got.Text() != "after" {
		require.True(t, strings.HasPrefix(got.Text(), "line "))
	}
	require.Equal(t, "after", got.Text())
}
