// Package operators serves the operators' commands on an address of its own: each connection carries one line and
// gets one answer.
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
	maxCallers    = 16               // each needs a file descriptor, which the program reserves
	maxLine       = 256              // bytes of a command line
	lineTimeout   = 10 * time.Second // to send a line, while no other caller needs the slot; long enough for a line typed by hand
	answerTimeout = time.Second
	lingerTimeout = 100 * time.Millisecond // for the caller to read the answer before the connection is closed
	acceptPause   = 5 * time.Millisecond
)

// pastDeadline, set as a deadline, interrupts a pending read.
var pastDeadline = time.Unix(1, 0)

// Handler carries out the operators' commands. Its methods must not wait for any peer.
type Handler interface {
	Health() error            // nil once the program can serve
	Figures() string          // counters, one a line
	Cordon(id string) error   // excludes an instance
	Uncordon(id string) error // includes it again
	Quiesce() error           // turns clients away
	Resume() error            // accepts clients again
	Show(what string) string  // text of another view that this installation offers; empty: no such view
}

// Server serves the operators' listener.
type Server struct {
	handler Handler
	log     *slog.Logger
	slots   chan struct{}

	mu      sync.Mutex
	waiting []net.Conn // callers whose line has not arrived, the longest waiting first
}

// New returns a server.
func New(handler Handler, logger *slog.Logger) *Server {
	return &Server{handler: handler, log: logger, slots: make(chan struct{}, maxCallers)}
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Error("accept at the operators' address failed", "err", err)
			time.Sleep(acceptPause) // avoids a busy loop while descriptors are exhausted
		default:
			s.acquireSlot()
			nc.SetReadDeadline(time.Now().Add(lineTimeout)) // before acquireSlot can shorten it
			s.mu.Lock()
			s.waiting = append(s.waiting, nc)
			s.mu.Unlock()
			go s.serve(nc)
		}
	}
}

// acquireSlot takes a slot for one more caller. If there is none, the caller that has waited longest without sending
// its line is disconnected: silent callers must not keep others out.
func (s *Server) acquireSlot() {
	select {
	case s.slots <- struct{}{}:
		return
	default:
	}
	s.mu.Lock()
	if len(s.waiting) > 0 {
		s.waiting[0].SetReadDeadline(pastDeadline)
	}
	s.mu.Unlock()
	s.slots <- struct{}{} // waits until a caller has been answered or has disconnected
}

// removeWaiting removes a caller from those whose line has not arrived.
func (s *Server) removeWaiting(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.waiting {
		if c == nc {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
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
	if nc.SetDeadline(time.Now().Add(answerTimeout)) != nil {
		return
	}
	if _, err := io.WriteString(nc, text); err != nil {
		return
	}
	// Closing with unread bytes would reset the connection, and the answer would be lost.
	if tcp, ok := nc.(*net.TCPConn); ok && tcp.CloseWrite() == nil && nc.SetDeadline(time.Now().Add(lingerTimeout)) == nil {
		io.Copy(io.Discard, io.LimitReader(nc, 64<<10))
	}
}

// answer reads a command, carries it out and returns the answer.
func (s *Server) answer(nc net.Conn) string {
	line, err := bufio.NewReaderSize(nc, maxLine).ReadSlice('\n')
	s.removeWaiting(nc)
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
	command, args := words[0], words[1:]
	action := map[string]func() error{"health": s.handler.Health, "quiesce": s.handler.Quiesce, "resume": s.handler.Resume}[command]
	instanceAction := map[string]func(string) error{"cordon": s.handler.Cordon, "uncordon": s.handler.Uncordon}[command]
	switch {
	case command == "counters" && len(args) == 0:
		return s.handler.Figures() + "END\n"
	case action != nil && len(args) == 0:
		return formatResult(action())
	case instanceAction != nil && len(args) == 1:
		return formatResult(instanceAction(args[0]))
	case action != nil || instanceAction != nil || command == "counters":
		return "ERR wrong number of words\n"
	case len(args) == 0:
		if text := s.handler.Show(command); text != "" {
			return text + "\nEND\n"
		}
	}
	return "ERR no such call: health, counters, cordon ID, uncordon ID, quiesce, resume\n"
}

func formatResult(err error) string {
	if err != nil {
		return "ERR " + strings.ReplaceAll(err.Error(), "\n", " ") + "\n"
	}
	return "OK\n"
}
