// Package handover speaks to the other process of the same dispatcher, while a new one takes over
// from one that serves: by lines of JSON on a Unix socket, with open connections beside them.
package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Message is one line.
type Message struct {
	Kind string          `json:"Kind"`
	Body json.RawMessage `json:"Body,omitempty"`
	File bool            `json:"File,omitempty"` // an open socket goes with it
}

// Read reads what a message is about.
func (m Message) Read(body any) error { return json.Unmarshal(m.Body, body) }

const (
	maxLine       = 4 << 20
	maxQueue      = 8192                   // messages that wait to be written
	writePatience = 500 * time.Millisecond // with a process that does not read
)

// Link is the connection to the other process.
type Link struct {
	nc    *net.UnixConn
	files []*os.File // that have come, for the messages that they go with

	mu    sync.Mutex
	queue chan outgoing // closed: nothing more is told
	ended bool
	done  chan struct{} // closed once nothing more is written
}

// outgoing is a message to be written; the socket that goes with it is closed here after that.
type outgoing struct {
	text   []byte
	socket Socket
}

// Socket is what can go with a message.
type Socket interface {
	syscall.Conn
	Close() error
}

func newLink(nc *net.UnixConn) *Link {
	l := &Link{nc: nc, queue: make(chan outgoing, maxQueue), done: make(chan struct{})}
	go l.write()
	return l
}

// Tell sends a message; false: the link has ended. It never waits: whoever lets so much pile up
// is taken for dead.
func (l *Link) Tell(kind string, body any) bool { return l.Pass(kind, body, nil) }

// Pass sends a message and a socket, which is the other process's from now on.
func (l *Link) Pass(kind string, body any, s Socket) bool {
	text, err := json.Marshal(body)
	if err == nil {
		text, err = json.Marshal(Message{Kind: kind, Body: text, File: s != nil})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && !l.ended {
		select {
		case l.queue <- outgoing{append(text, '\n'), s}:
			return true
		default:
		}
	}
	l.nc.Close() // its reader finds out
	if s != nil {
		s.Close()
	}
	return false
}

// Close ends the link once what was told is written.
func (l *Link) Close() {
	l.mu.Lock()
	if !l.ended {
		l.ended = true
		close(l.queue)
	}
	l.mu.Unlock()
	<-l.done
}

func (l *Link) write() {
	defer close(l.done)
	defer l.nc.Close()
	for o := range l.queue {
		l.send(o)
		if o.socket != nil {
			o.socket.Close()
		}
	}
}

// send writes one message. What cannot be written ends the link, and its reader finds out.
func (l *Link) send(o outgoing) {
	l.nc.SetWriteDeadline(time.Now().Add(writePatience))
	if o.socket != nil {
		raw, err := o.socket.SyscallConn()
		if err == nil {
			err2 := raw.Control(func(fd uintptr) {
				_, _, err = l.nc.WriteMsgUnix(o.text[:1], syscall.UnixRights(int(fd)), nil)
			})
			err = errors.Join(err, err2)
		}
		if o.text = o.text[1:]; err != nil {
			l.nc.Close()
			return
		}
	}
	if _, err := l.nc.Write(o.text); err != nil {
		l.nc.Close()
	}
}

// Run hands each message to take, with its file if one goes with it, until the link ends.
func (l *Link) Run(take func(Message, *os.File)) {
	defer l.end()
	lines := bufio.NewScanner(reader{l})
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var m Message
		if json.Unmarshal(lines.Bytes(), &m) != nil || m.File && len(l.files) == 0 {
			return // half written, or by some other program
		}
		var f *os.File
		if m.File {
			f, l.files = l.files[0], l.files[1:]
		}
		take(m, f)
	}
}

func (l *Link) end() {
	l.nc.Close()
	l.Close()
	for _, f := range l.files {
		f.Close()
	}
}

// reader reads a link's text and keeps the files that come beside it. Those of a message come
// with its first byte, so that they are there by the time it is whole.
type reader struct{ *Link }

func (r reader) Read(p []byte) (int, error) {
	var beside [64]byte
	n, b, _, _, err := r.nc.ReadMsgUnix(p, beside[:])
	if b > 0 {
		controls, err := syscall.ParseSocketControlMessage(beside[:b])
		if err != nil {
			return 0, err
		}
		for _, c := range controls {
			fds, err := syscall.ParseUnixRights(&c)
			if err != nil {
				return 0, err
			}
			for _, fd := range fds {
				r.files = append(r.files, os.NewFile(uintptr(fd), "handed over"))
			}
		}
	}
	if n == 0 && err == nil {
		return 0, errors.New("the other process has ended")
	}
	return n, err
}
