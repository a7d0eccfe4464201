// Command standin plays the cases of this review: it starts the project's programs with the commands of the deploy
// file, and stands in for clients, encoders, servers and discovery. Its exit code is 1 if the rule of the case was
// broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// The exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name.
var cases = map[string]func(*bench) int{
	"returned": playReturned,
	"window":   playWindow,
	"front":    playFront,
}

func main() {
	runtime.LockOSThread() // the started programs are killed when this thread ends
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		os.Exit(failed)
	}
	b, err := newBench(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(failed)
	}
	code := failed
	func() {
		defer b.close()
		defer func() {
			switch e := recover().(type) {
			case nil:
			case cannotRun:
				b.note("the case could not run: %v", e.err)
			default:
				panic(e)
			}
		}()
		code = cases[os.Args[1]](b)
	}()
	os.Exit(code)
}
