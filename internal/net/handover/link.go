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

	"caperrelay/internal/dispatch"
)

// Kind says what a message is about.
type Kind string

// The kinds, in the order in which they come first.
const (
	State      Kind = "state"      // the older: its listener, and what it goes by
	Ready      Kind = "ready"      // the newer: it could serve
	Yielded    Kind = "yielded"    // the older takes nothing more; what it still holds
	Connection Kind = "connection" // the older: one that stands between two requests
	Left       Kind = "left"       // the older: one of its connections has ended
	Taken      Kind = "taken"      // the older: a command that was on its way when it yielded
	Ended      Kind = "ended"      // the older: a command is in its hands no more
	Load       Kind = "load"       // the older: what it occupies of instances
	News       Kind = "news"       // either: a call-back that matches nothing there
)

// Message is one line. Which of its parts count goes by its kind.
type Message struct {
	Kind      Kind
	Quiesced  bool             `json:",omitempty"` // State: clients are sent away
	Discovery string           `json:",omitempty"` // State: where the list comes from
	List      *dispatch.List   `json:",omitempty"` // State: as last told
	Memory    *dispatch.Memory `json:",omitempty"` // Yielded: what was learned
	IDs       []string         `json:",omitempty"` // Yielded: commands in hand
	ID        string           `json:",omitempty"` // Taken, Ended
	Places    int              `json:",omitempty"` // Yielded: connections still held
	Answered  bool             `json:",omitempty"` // Connection: something was asked on it before
	Instance  bool             `json:",omitempty"` // Connection: by an instance
	Load      []byte           `json:",omitempty"` // Load: in the module's terms
	News      *dispatch.News   `json:",omitempty"`
	File      bool             `json:",omitempty"` // an open socket goes with it
}

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
	Message
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

// Tell sends a message. It never waits: whoever lets so much pile up is taken for dead.
func (l *Link) Tell(m Message) { l.Pass(m, nil) }

// Pass sends a message and a socket, which is the other process's from now on.
func (l *Link) Pass(m Message, s Socket) {
	m.File = s != nil
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		select {
		case l.queue <- outgoing{m, s}:
			return
		default:
			l.nc.Close()
		}
	}
	if s != nil {
		s.Close()
	}
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
	text, err := json.Marshal(o.Message)
	if err != nil {
		l.nc.Close()
		return
	}
	text = append(text, '\n')
	l.nc.SetWriteDeadline(time.Now().Add(writePatience))
	if o.socket != nil {
		raw, err := o.socket.SyscallConn()
		if err == nil {
			err = raw.Control(func(fd uintptr) {
				_, _, err = l.nc.WriteMsgUnix(text[:1], syscall.UnixRights(int(fd)), nil)
			})
		}
		if text = text[1:]; err != nil {
			l.nc.Close()
			return
		}
	}
	if _, err := l.nc.Write(text); err != nil {
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
