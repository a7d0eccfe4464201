// Package operators speaks to the people on call and their scripts, at an address of its own:
// each connection carries one line and gets one answer.
package operators

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	mostCallers    = 16               // their descriptors are among those that the program keeps back
	maxLine        = 256              // bytes of a call
	linePatience   = 10 * time.Second // with a line, while nobody else wants the place: people type
	answerPatience = time.Second
	lingerPatience = 100 * time.Millisecond // for the caller to see the answer before the connection ends
	acceptPause    = 5 * time.Millisecond
)

// past as a deadline wakes whoever reads from a connection.
var past = time.Unix(1, 0)

// Desk does what operators ask for. Its methods must not wait for any peer.
type Desk interface {
	Health() error            // nil once the program can serve
	Figures() string          // one a line
	Cordon(id string) error   // leaves an instance out
	Uncordon(id string) error // uses it again
	Quiesce() error           // sends service clients away
	Resume() error            // takes them again
	Show(what string) string  // what else this installation can tell; empty: nothing of that name
}

// Server serves the operators' listener.
type Server struct {
	desk  Desk
	log   *slog.Logger
	slots chan struct{}

	mu    sync.Mutex
	waits []net.Conn // whose line has not come, the longest first
}

// New returns a server.
func New(desk Desk, logger *slog.Logger) *Server {
	return &Server{desk: desk, log: logger, slots: make(chan struct{}, mostCallers)}
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Error("operators' address", "err", err)
			time.Sleep(acceptPause) // guards against a busy loop while descriptors run short
		default:
			s.room()
			nc.SetReadDeadline(time.Now().Add(linePatience)) // before anybody can shorten it
			s.mu.Lock()
			s.waits = append(s.waits, nc)
			s.mu.Unlock()
			go s.serve(nc)
		}
	}
}

// room takes a place for one more caller. Where there is none, whoever has waited longest with
// a line makes room: callers that say nothing must keep nobody out.
func (s *Server) room() {
	select {
	case s.slots <- struct{}{}:
		return
	default:
	}
	s.mu.Lock()
	if len(s.waits) > 0 {
		s.waits[0].SetReadDeadline(past)
	}
	s.mu.Unlock()
	s.slots <- struct{}{} // at the latest an answer's patience later
}

// heard takes a caller out of those whose line is awaited.
func (s *Server) heard(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.waits {
		if c == nc {
			s.waits = append(s.waits[:i:i], s.waits[i+1:]...)
			return
		}
	}
}

func (s *Server) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		<-s.slots
	}()
	text := s.answer(nc)
	if nc.SetDeadline(time.Now().Add(answerPatience)) != nil {
		return
	}
	if _, err := io.WriteString(nc, text); err != nil {
		return
	}
	// Closing over bytes unread would reset the connection, and the answer be lost with it.
	if tcp, ok := nc.(*net.TCPConn); ok && tcp.CloseWrite() == nil && nc.SetDeadline(time.Now().Add(lingerPatience)) == nil {
		io.Copy(io.Discard, io.LimitReader(nc, 64<<10))
	}
}

// answer reads a call and does it.
func (s *Server) answer(nc net.Conn) string {
	line, err := bufio.NewReaderSize(nc, maxLine).ReadSlice('\n')
	s.heard(nc)
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return "ERR the line is too long\n"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "ERR the call did not come in time\n"
	case err != nil:
		return "ERR no whole call came\n"
	}
	words := strings.Fields(string(line))
	if len(words) == 0 {
		return "ERR an empty call\n"
	}
	call, rest := words[0], words[1:]
	do := map[string]func() error{"health": s.desk.Health, "quiesce": s.desk.Quiesce, "resume": s.desk.Resume}[call]
	about := map[string]func(string) error{"cordon": s.desk.Cordon, "uncordon": s.desk.Uncordon}[call]
	switch {
	case call == "counters" && len(rest) == 0:
		return s.desk.Figures() + "END\n"
	case do != nil && len(rest) == 0:
		return verdict(do())
	case about != nil && len(rest) == 1:
		return verdict(about(rest[0]))
	case do != nil || about != nil || call == "counters":
		return "ERR wrong number of words\n"
	case len(rest) == 0:
		if text := s.desk.Show(call); text != "" {
			return text + "\nEND\n"
		}
	}
	return "ERR no such call: health, counters, cordon ID, uncordon ID, quiesce, resume\n"
}

func verdict(err error) string {
	if err != nil {
		return "ERR " + strings.ReplaceAll(err.Error(), "\n", " ") + "\n"
	}
	return "OK\n"
}
