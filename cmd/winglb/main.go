// Command winglb is the dispatcher daemon: it takes requests from clients and dispatches them to encoders by the
// decisions of package decide. It is kept small; for any sub-command except a plain serve it executes winglb-full
// from the same folder.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"caperrelay/internal/daemon"
)

func main() {
	if len(os.Args) > 2 || len(os.Args) == 2 && os.Args[1] != "serve" {
		fail(execFull())
	}
	if err := daemon.Run(os.Getenv); err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "winglb:", err)
	os.Exit(1)
}

// execFull replaces this process by winglb-full. It returns only on failure.
func execFull() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), "winglb-full")
	err = syscall.Exec(path, append([]string{"winglb"}, os.Args[1:]...), os.Environ())
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s is in winglb-full, which is not beside this program; build both with make build", os.Args[1])
	}
	return err
}
