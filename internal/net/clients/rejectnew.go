package clients

import (
	"net"
	"syscall"
)

// RejectNewConns makes a listener ignore new connection attempts, which are refused once it is closed. Connections whose
// handshake has begun are still accepted. Closing the listener at once would reset those not accepted yet, with the
// requests on them.
func RejectNewConns(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	const flags, syn, ack = 13, 0x02, 0x10         // in the TCP header, where the data of a TCP socket's filter begins
	stmt, jump := syscall.LsfStmt, syscall.LsfJump //lint:ignore SA1019 five lines are not worth a dependency on x/net
	program := []syscall.SockFilter{
		*stmt(syscall.BPF_LD|syscall.BPF_B|syscall.BPF_ABS, flags),
		*stmt(syscall.BPF_ALU|syscall.BPF_AND|syscall.BPF_K, syn|ack),
		*jump(syscall.BPF_JMP|syscall.BPF_JEQ|syscall.BPF_K, syn, 0, 1),
		*stmt(syscall.BPF_RET|syscall.BPF_K, 0),
		*stmt(syscall.BPF_RET|syscall.BPF_K, 0xffff),
	}
	var attachErr error
	//lint:ignore SA1019 see above
	err = raw.Control(func(fd uintptr) { attachErr = syscall.AttachLsf(int(fd), program) })
	if err != nil {
		return err
	}
	return attachErr
}
