package sock

import (
	"cmp"
	"context"
	"net"
	"syscall"
)

// ReusePort is SO_REUSEPORT, which is not in the syscall package on all systems.
const ReusePort = 0xf

// Listen listens at a TCP address that another process may listen at too: the one that takes over, or that
// was taken over from.
func Listen(address string) (net.Listener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		err2 := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, ReusePort, 1) })
		return cmp.Or(err, err2)
	}}
	shared.SetMultipathTCP(false) // its sockets take no filter
	return shared.Listen(context.Background(), "tcp", address)
}
