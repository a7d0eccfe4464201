package main

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/daemon"
)

// A faulty configuration makes the program exit at once with an error that names the key.
func TestFaultyConfigurationStopsTheProgram(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	require.ErrorContains(t, daemon.Run(os.Getenv), "PROXY_CONFIG")
}
