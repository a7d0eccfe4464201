// Command winglb is the real dispatcher: it takes commands from service clients and has instances do
// them, as the decision module says. It is kept lean: what needs more than the platform's days allow is
// in winglb-full beside it, which this program becomes for any sub-command but a bare serve.
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

// execFull becomes the program with all sub-commands; it returns only where that cannot be.
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
