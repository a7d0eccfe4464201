package replicas

import (
	"time"

	"golang.org/x/sys/unix"
)

// clockStart is the reading of the lease clock at the start of the process.
var clockStart = boottime()

// boottime reads CLOCK_BOOTTIME, which goes on while the machine is suspended. Go's monotonic time does not, so a lease
// measured by it would last too long.
func boottime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // available on every supported kernel
	}
	return time.Duration(t.Nano())
}

// Now returns the time of the lease clock since the process began.
func Now() time.Duration { return boottime() - clockStart }
