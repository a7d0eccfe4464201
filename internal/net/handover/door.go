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

// maxPath is the longest path that the address of a Unix socket holds.
const maxPath = len(syscall.RawSockaddrUnix{}.Path) - 1

const callPatience = time.Second

// Path is where the process that serves an address has its door.
func Path(dir, address string) string {
	return filepath.Join(dir, "winglb-"+url.PathEscape(address)+".sock")
}

// short calls f with a path that fits into an address: what is too long goes by way of the folder.
func short(path string, f func(string) error) error {
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

// Door is where a newer process calls.
type Door struct{ l *net.UnixListener }

// Open opens the door at a path, in place of whatever is there: an older process's, or what one
// that died has left.
func Open(path string) (*Door, error) {
	fresh := path + ".new"
	if err := os.RemoveAll(fresh); err != nil {
		return nil, err
	}
	d := &Door{}
	err := short(fresh, func(name string) (err error) {
		d.l, err = net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, err
	}
	d.l.SetUnlinkOnClose(false) // by then it may be another's
	if err = os.Chmod(fresh, 0o600); err == nil {
		err = os.Rename(fresh, path)
	}
	if err != nil {
		d.l.Close()
		return nil, err
	}
	return d, nil
}

// Accept waits for a newer process.
func (d *Door) Accept() (*Link, error) {
	nc, err := d.l.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return newLink(nc), nil
}

// Close closes the door. Its path stays: it may be another's.
func (d *Door) Close() { d.l.Close() }

// Call calls at the door of an older process. An error says that none answers.
func Call(path string) (*Link, error) {
	var nc net.Conn
	err := short(path, func(name string) (err error) {
		dialer := net.Dialer{Deadline: time.Now().Add(callPatience)}
		nc, err = dialer.Dial("unix", name)
		return err
	})
	if err != nil {
		return nil, err
	}
	return newLink(nc.(*net.UnixConn)), nil
}
