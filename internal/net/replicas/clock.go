package replicas

import (
	"time"

	"golang.org/x/sys/unix"
)

// clockStart is when the clock of leases did.
var clockStart = boottime()

// boottime goes on while the machine is suspended, which Go's own monotonic time does not: a lease must not.
func boottime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the kernel has had it for long
	}
	return time.Duration(t.Nano())
}

// Now is the clock of leases, since the process began.
func Now() time.Duration { return boottime() - clockStart }
