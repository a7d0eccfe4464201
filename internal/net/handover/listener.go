package handover

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// maxPath is the length of the longest path that a Unix socket address holds.
const maxPath = len(syscall.RawSockaddrUnix{}.Path) - 1

const dialTimeout = time.Second

// Path returns the path of the handover socket of the process that serves an address.
func Path(dir, address string) string {
	return filepath.Join(dir, "winglb-"+url.PathEscape(address)+".sock")
}

// withShortPath calls f with a form of path that fits into a socket address: a longer one is opened through a file
// descriptor of its directory.
func withShortPath(path string, f func(string) error) error {
	if len(path) <= maxPath {
		return f(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return f(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// Listener accepts connections from newer processes.
type Listener struct{ socket *net.UnixListener }

// Listen opens a handover socket at a path, replacing whatever is there, such as the socket of an older process or
// one left by a process that died.
func Listen(path string) (*Listener, error) {
	temp := path + ".new"
	if err := os.RemoveAll(temp); err != nil {
		return nil, err
	}
	d := &Listener{}
	err := withShortPath(temp, func(name string) (err error) {
		d.socket, err = net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, err
	}
	d.socket.SetUnlinkOnClose(false) // by then it may belong to another process
	if err = os.Chmod(temp, 0o600); err == nil {
		err = os.Rename(temp, path)
	}
	if err != nil {
		d.socket.Close()
		return nil, err
	}
	return d, nil
}

// Accept waits for a newer process.
func (d *Listener) Accept() (*Link, error) {
	nc, err := d.socket.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return newLink(nc), nil
}

// Close stops listening. The path stays: it may belong to another process.
func (d *Listener) Close() { d.socket.Close() }

// Dial connects to an older process's handover socket. An error means that no process answers.
func Dial(path string) (*Link, error) {
	var nc net.Conn
	err := withShortPath(path, func(name string) (err error) {
		dialer := net.Dialer{Deadline: time.Now().Add(dialTimeout)}
		nc, err = dialer.Dial("unix", name)
		return err
	})
	if err != nil {
		return nil, err
	}
	return newLink(nc.(*net.UnixConn)), nil
}
