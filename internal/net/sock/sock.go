// Package sock queries sockets in ways that the net package does not offer.
package sock

import (
	"net"
	"syscall"
)

// State is the state of a connection's receiving side.
type State int

// The states.
const (
	Empty  State = iota // open, nothing to read
	Data                // bytes to read
	Closed              // closed by the peer, or broken
)

// Peek returns the state of a connection without waiting or consuming anything. The connection's read deadline must
// not have passed.
func Peek(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Closed
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Empty
		case err == nil && n > 0:
			state = Data
		}
		return true
	})
	if err != nil {
		return Closed
	}
	return state
}

// PeerClosed reports whether the peer has closed the connection, or it is broken, provided that no unread bytes precede
// that. Unlike Peek it does not wait for a goroutine that is reading.
func PeerClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return ended || err != nil
}
