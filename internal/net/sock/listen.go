package sock

import (
	"cmp"
	"context"
	"net"
	"syscall"
)

// ReusePort is SO_REUSEPORT, which the syscall package lacks on some systems.
const ReusePort = 0xf

// Listen listens at a TCP address that another process may listen at, too, as the older and the newer process of a
// handover do.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		err2 := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, ReusePort, 1) })
		return cmp.Or(err, err2)
	}}
	config.SetMultipathTCP(false) // MPTCP sockets don't support socket filters
	return config.Listen(context.Background(), "tcp", address)
}
