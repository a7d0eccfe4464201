// Package handover is the link between two processes at the same address while the newer one takes over from the
// older: lines of JSON on a Unix socket, along with open connections as file descriptors.
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

// Message is one line of JSON.
type Message struct {
	Kind string          `json:"Kind"`
	Body json.RawMessage `json:"Body,omitempty"`
	File bool            `json:"File,omitempty"` // an open socket is sent with it
}

// Decode decodes the body of a message.
func (m Message) Decode(body any) error { return json.Unmarshal(m.Body, body) }

const (
	maxLine      = 4 << 20
	maxQueue     = 8192                   // messages waiting to be written
	writeTimeout = 500 * time.Millisecond // for a process that does not read
)

// Link is the connection to the other process.
type Link struct {
	nc    *net.UnixConn
	files []*os.File // received and not yet assigned to their messages

	mu     sync.Mutex
	queue  chan outgoing // closed: no more messages are accepted
	closed bool
	done   chan struct{} // closed once the writer has ended
}

// outgoing is a message to be written; its socket, if any, is closed here afterwards.
type outgoing struct {
	text   []byte
	socket Socket
}

// Socket is a socket that can be sent with a message.
type Socket interface {
	syscall.Conn
	Close() error
}

func newLink(nc *net.UnixConn) *Link {
	l := &Link{nc: nc, queue: make(chan outgoing, maxQueue), done: make(chan struct{})}
	go l.write()
	return l
}

// Send queues a message; false: the link has ended. It never blocks: a process that lets the queue fill up is
// considered dead, and the link is closed.
func (l *Link) Send(kind string, body any) bool { return l.SendSocket(kind, body, nil) }

// SendSocket queues a message and a socket, and closes the socket here after sending.
func (l *Link) SendSocket(kind string, body any, s Socket) bool {
	text, err := json.Marshal(body)
	if err == nil {
		text, err = json.Marshal(Message{Kind: kind, Body: text, File: s != nil})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && !l.closed {
		select {
		case l.queue <- outgoing{append(text, '\n'), s}:
			return true
		default:
		}
	}
	l.nc.Close() // Run returns
	if s != nil {
		s.Close()
	}
	return false
}

// Close ends the link once all queued messages are written.
func (l *Link) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	<-l.done
}

func (l *Link) write() {
	defer close(l.done)
	defer l.nc.Close()
	for o := range l.queue {
		l.writeMessage(o)
		if o.socket != nil {
			o.socket.Close()
		}
	}
}

// writeMessage writes one message. On an error it closes the connection, which ends Run.
func (l *Link) writeMessage(o outgoing) {
	l.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
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

// Run passes each message to handle, with its file if it has one, until the link ends.
func (l *Link) Run(handle func(Message, *os.File)) {
	defer l.shutdown()
	lines := bufio.NewScanner(reader{l})
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var m Message
		if json.Unmarshal(lines.Bytes(), &m) != nil || m.File && len(l.files) == 0 {
			return // truncated, or from another program
		}
		var f *os.File
		if m.File {
			f, l.files = l.files[0], l.files[1:]
		}
		handle(m, f)
	}
}

func (l *Link) shutdown() {
	l.nc.Close()
	l.Close()
	for _, f := range l.files {
		f.Close()
	}
}

// reader reads a link's text and collects the files that are sent along with it. Those of a message arrive with
// its first byte, so they are there before the message is complete.
type reader struct{ *Link }

func (r reader) Read(p []byte) (int, error) {
	var control [64]byte
	n, b, _, _, err := r.nc.ReadMsgUnix(p, control[:])
	if b > 0 {
		messages, err := syscall.ParseSocketControlMessage(control[:b])
		if err != nil {
			return 0, err
		}
		for _, c := range messages {
			fds, err := syscall.ParseUnixRights(&c)
			if err != nil {
				return 0, err
			}
			for _, fd := range fds {
				r.files = append(r.files, os.NewFile(uintptr(fd), "handover-socket"))
			}
		}
	}
	if n == 0 && err == nil {
		return 0, errors.New("the other process has closed the handover link")
	}
	return n, err
}
