package daemon

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A log pipe that nobody reads must not block writers. It once did, under the lock that operators' answers need, so that
// a process taking over was never ready. The lines that fit into the pipe and the queue arrive, and the number of dropped
// lines is logged.
func TestUnreadLogDoesNotBlock(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	defer w.Close()
	l := newLineWriter(w)
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
