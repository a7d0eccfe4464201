package rig_test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/rig"
)

// Guards against busy processes that outlive the proof which started them.
func TestBusyProcessesEnd(t *testing.T) {
	var all []*exec.Cmd
	stop, err := rig.Busy(2, func(role, file string) *exec.Cmd {
		require.Equal(t, "busy", role)
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "WINGLB_RIG_ROLE="+role, "WINGLB_RIG_FILE="+file)
		all = append(all, cmd)
		return cmd
	})
	require.NoError(t, err)
	require.Len(t, all, 2)
	for _, cmd := range all {
		require.NoError(t, cmd.Process.Signal(syscall.Signal(0)))
	}
	stop()
	for _, cmd := range all {
		require.Equal(t, "signal: killed", cmd.ProcessState.String()) // by stop, not by itself
	}
}
