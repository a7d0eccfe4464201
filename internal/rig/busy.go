package rig

import (
	"crypto/sha256"
	"os/exec"
	"syscall"
)

// Busy starts n processes, by a command for the role "busy", that keep a processor busy each: what else runs on a
// machine. They have the usual priority, and end with stop or with this process.
func Busy(n int, command func(role, file string) *exec.Cmd) (stop func(), err error) {
	var all []*exec.Cmd
	stop = func() {
		for _, cmd := range all {
			cmd.Process.Kill()
		}
		for _, cmd := range all {
			cmd.Wait()
		}
	}
	for range n {
		cmd := command("busy", "-")
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			stop()
			return nil, err
		}
		all = append(all, cmd)
	}
	return stop, nil
}

// Spin is what a busy process does: for ever.
func Spin() {
	var sum [sha256.Size]byte
	for {
		sum = sha256.Sum256(sum[:])
	}
}
