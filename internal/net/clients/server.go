// Package clients serves the program's HTTP listener: clients that send commands, the front that checks its health,
// and instances that send callbacks.
package clients

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/loadreport"
	"caperrelay/internal/net/readahead"
	"caperrelay/internal/wire"
)

// Timeouts of a connection, the interval at which accepting and waiting for a slot are retried, and the limit of
// pipelined requests.
const (
	idleTimeout         = 2 * time.Minute        // between requests
	readTimeout         = 5 * time.Second        // from the first byte of a later request to its last
	writeTimeout        = 5 * time.Second        // to write an answer
	lingerTimeout       = 500 * time.Millisecond // from closing this side's half until the peer closes its own
	acceptRetryInterval = 5 * time.Millisecond

	maxReadAhead     = 4 << 20 // bytes by which all connections' buffers may have grown to hold what is sent behind a request
	maxExtraRequests = 16      // pipelined requests answered after a connection should have been closed
)

// How long clients are answered after the process has been told to end. By the protocol, it is killed no sooner than
// killDelay after the longest deadline in the settings, which counts for maxClassDeadline at most.
const (
	killDelay        = 700 * time.Millisecond
	maxClassDeadline = 3 * time.Second
	answerMargin     = 200 * time.Millisecond // before that, for the transfer of the answers on a machine that is short of CPU
)

// timeouts bounds how long a peer keeps its slot while the server waits for it: in any case, and while others wait
// for a slot. A client that has a request sends it as soon as it is connected.
type timeouts struct {
	firstRequest time.Duration // for the complete first request
	firstByte    time.Duration // while others wait for a slot: for its first byte
	remainder    time.Duration // while others wait for a slot: for the rest of a request
	linger       time.Duration // while others wait for a slot: for closing its half of the connection
	shutdown     time.Duration // after the answer deadline of a shutdown: for the rest of a request, or for closing its half
}

var defaultTimeouts = timeouts{
	firstRequest: 2 * time.Second, firstByte: 100 * time.Millisecond, remainder: 500 * time.Millisecond, linger: 50 * time.Millisecond,
	shutdown: 50 * time.Millisecond,
}

// Core processes commands and callbacks.
type Core interface {
	Submit(*dispatch.Command)
	ClientGone(*dispatch.Command)
	HandleCallback(dispatch.Callback)
	// PersistCallback is called before a callback is answered. If it returns false, the callback must not be
	// answered, so that the instance sends it again.
	PersistCallback(dispatch.Callback) bool
}

// Server serves the listener.
type Server struct {
	core         Core
	classes      atomic.Pointer[map[string]decide.Class]
	countersText func() string
	log          *slog.Logger
	reports      *loadreport.Reader // of instances' load reports; nil: there are none
	timeouts     timeouts
	readAhead    *readahead.Budget
	slots        chan struct{} // one for each connection; bounds the file descriptors used here
	connCounters *dispatch.Counters
	lastConnID   atomic.Uint64

	// callbacks is read-locked while a callback is passed to the core, and write-locked while the core hands over.
	callbacks sync.RWMutex

	mu           sync.Mutex
	draining     bool
	answerBy     time.Time // commands must be answered by then; zero: by their own deadlines
	pastAnswerBy bool      // that time has passed
	crowded      bool      // a connection waits for a slot: answers to clients close theirs
	conns        map[*conn]struct{}
	newer        ConnReceiver              // the process that takes over; nil: none
	lentSlots    int                       // slots still used by connections of an older process
	expected     map[string]*commandClient // by ID, commands taken over from that process whose client connection has not arrived yet
}

// ConnReceiver passes connections to the process that takes over.
type ConnReceiver interface {
	// Pass passes it a connection.
	Pass(nc *net.TCPConn, p PassedConn)
	// ConnEnded reports that a connection that was not passed has ended.
	ConnEnded()
}

// PassedConn is the state of a connection that is passed to another process.
type PassedConn struct {
	Answered     bool           `json:"Answered,omitempty"` // a request on it has been answered
	FromInstance bool           `json:"Instance,omitempty"` // its last request was a callback
	Received     []byte         `json:"Rest,omitempty"`     // bytes read from it and not yet processed
	Flooded      bool           `json:"Flood,omitempty"`    // bytes after those were dropped
	CommandID    string         `json:"ID,omitempty"`       // the command that its client waits for
	Request      *http1.Request `json:"Request,omitempty"`  // the request of that command, unless the command was handed over separately
	Deadline     time.Time      `json:"Deadline,omitzero"`  // of that command
}

// New returns a server for at most maxConns connections.
func New(core Core, settings decide.Settings, names wire.Names, maxConns int, counters func() string, logger *slog.Logger) *Server {
	server := &Server{
		core: core, countersText: counters, log: logger, timeouts: defaultTimeouts, readAhead: readahead.NewBudget(maxReadAhead), slots: make(chan struct{}, maxConns),
		conns: map[*conn]struct{}{}, expected: map[string]*commandClient{}, connCounters: new(dispatch.Counters),
	}
	server.UpdateSettings(settings, names)
	return server
}

// SetReportReader sets the reader of instances' load reports. It must be called before Serve.
func (s *Server) SetReportReader(r *loadreport.Reader) { s.reports = r }

// SetCounters sets the counters for the ends of connections. It must be called before Serve.
func (s *Server) SetCounters(counters *dispatch.Counters) { s.connCounters = counters }

// countEnd counts the end of a connection.
func (s *Server) countEnd(e dispatch.ConnEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connCounters.CountConnEnd(e, !s.answerBy.IsZero())
}

// UpdateSettings replaces the settings that commands are parsed with.
func (s *Server) UpdateSettings(settings decide.Settings, names wire.Names) {
	classes := map[string]decide.Class{}
	for i, name := range names.Classes {
		classes[name] = settings.Classes[i]
	}
	s.classes.Store(&classes)
}

// Serve accepts connections until the listener is closed or its deadline has passed.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	var lastLogged time.Time
	for s.acquireSlot(ctx) {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.setCrowded(false)
			s.startConn(nc)
			continue
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
			s.setCrowded(true)
			s.evictOne(time.Now())
		}
		// Without the pause, running out of descriptors would cause a busy loop; without the retry, it would end the
		// program.
		<-s.slots
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if now := time.Now(); now.Sub(lastLogged) >= time.Second {
			lastLogged = now
			s.log.Error("accept", "err", err)
		}
		time.Sleep(acceptRetryInterval)
	}
}

// acquireSlot takes a slot for one more connection. While all are taken, an expendable connection is evicted,
// otherwise the next client connection closes after its answer. It checks repeatedly, because a silent connection
// becomes expendable only after a while, and accepting must never wait for the full timeout of such a peer.
func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.setCrowded(true)
	defer s.setCrowded(false)
	tick := time.NewTicker(acceptRetryInterval)
	defer tick.Stop()
	for !s.HandedOver() {
		s.evictOne(time.Now())
		select {
		case s.slots <- struct{}{}:
			return true
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
	}
	return false
}

func (s *Server) setCrowded(crowded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crowded = crowded
}

func (s *Server) startConn(nc net.Conn) {
	c := &conn{server: s, nc: nc, stateSince: time.Now()}
	c.setReader(nil)
	s.runConn(c)
}

func (s *Server) runConn(c *conn) {
	c.id = s.lastConnID.Add(1)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.run()
}

func (s *Server) connEnded(c *conn) {
	s.mu.Lock()
	switch closedHere := !c.passed && !c.peerGone; {
	case closedHere && c.unanswered:
		s.connCounters.CountConnEnd(dispatch.Truncated, !s.answerBy.IsZero())
	case closedHere && !c.answered:
		s.connCounters.CountConnEnd(dispatch.Unanswered, !s.answerBy.IsZero())
	}
	delete(s.conns, c)
	if s.newer != nil && !c.passed {
		s.newer.ConnEnded()
	}
	s.mu.Unlock()
	<-s.slots
}

// HoldCallbacks holds back each callback that is read from now on until release is called, and returns once the core
// has received those before. It is called during a handover: a callback that the core received later would be
// answered, and lost if the process died before forwarding it.
func (s *Server) HoldCallbacks() (release func()) {
	s.callbacks.Lock()
	return s.callbacks.Unlock
}

// HandOver passes each idle connection to the process that takes over, now and as further answers are written. The
// caller must end Serve.
func (s *Server) HandOver(newer ConnReceiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newer = newer
	for c := range s.conns {
		if c.state == waiting {
			c.nc.SetReadDeadline(pastDeadline)
		}
	}
}

// CancelHandover cancels the handover: no process takes over.
func (s *Server) CancelHandover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newer = nil
}

// HandedOver reports whether another process takes over.
func (s *Server) HandedOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newer != nil
}

// ExpectConn returns the client of a command that an older process has handed over and whose connection will follow.
func (s *Server) ExpectConn(cmd *dispatch.Command, closeAfter bool) dispatch.Client {
	w := &commandClient{cmd: cmd, closeAfter: closeAfter, answer: make(chan outcome, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected[cmd.ID] = w
	return w
}

// TakeOverConn serves a connection that an older process has passed. It uses the slot that was lent to that process for it.
func (s *Server) TakeOverConn(nc net.Conn, p PassedConn) {
	s.mu.Lock()
	w := s.expected[p.CommandID]
	delete(s.expected, p.CommandID)
	lent := s.lentSlots > 0
	if lent {
		s.lentSlots--
	}
	s.mu.Unlock()
	if !lent {
		select {
		case s.slots <- struct{}{}:
		default:
			go s.rejectConn(nc, p, w)
			return
		}
	}
	c := &conn{server: s, nc: nc, stateSince: time.Now(), answered: p.Answered, fromInstance: p.FromInstance, flooded: p.Flooded}
	c.setReader(p.Received)
	switch {
	case p.Request != nil:
		c.state, c.firstTask = handling, func() bool { return c.handleCommand(p.Request, p.Deadline) }
	case w != nil:
		c.state, c.firstTask = handling, func() bool { return c.awaitAnswer(w) }
	case p.CommandID != "": // the command has been lost
		c.state, c.firstTask = handling, func() bool { return c.writeAnswer(dispatch.Answer{Verdict: dispatch.Failed}, true) }
	}
	c.unanswered = c.firstTask != nil
	s.runConn(c)
}

// rejectConn closes a connection for which there is no slot, after answering its request, if any.
func (s *Server) rejectConn(nc net.Conn, p PassedConn, w *commandClient) {
	c := &conn{server: s, nc: nc, stateSince: time.Now(), answered: p.Answered}
	c.setReader(nil)
	verdict := dispatch.Failed
	if p.Request != nil { // it was never submitted
		verdict = dispatch.Refused
	}
	if w != nil {
		s.core.ClientGone(w.cmd)
	}
	if p.CommandID != "" || p.Request != nil {
		c.writeAnswer(dispatch.Answer{Verdict: verdict}, true)
	}
	c.linger()
	nc.Close()
}

// LendSlots lends n slots to an older process for the connections that it still holds.
func (s *Server) LendSlots(n int) {
	for range n {
		select {
		case s.slots <- struct{}{}:
			s.mu.Lock()
			s.lentSlots++
			s.mu.Unlock()
		default:
			return
		}
	}
}

// ReclaimSlot takes back one slot from the older process. It returns false if none is lent.
func (s *Server) ReclaimSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lentSlots == 0 {
		return false
	}
	s.lentSlots--
	<-s.slots
	if s.newer != nil {
		s.newer.ConnEnded()
	}
	return true
}

// ReclaimAllSlots takes back all lent slots: the older process has ended, and with it the connections that have not been
// passed. The commands of those have no client any more.
func (s *Server) ReclaimAllSlots() {
	for s.ReclaimSlot() {
	}
	s.mu.Lock()
	lost := slices.Collect(maps.Values(s.expected))
	clear(s.expected)
	s.mu.Unlock()
	for _, w := range lost {
		s.core.ClientGone(w.cmd)
	}
}

// Connections returns the number of connections, including those of an older process.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.lentSlots
}

// SetDraining sets whether clients are sent away. If so, health checks fail and each answer to a client closes its
// connection; the listener still accepts.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	s.draining = draining
	s.mu.Unlock()
}

// BeginShutdown starts the shutdown and returns the time by which all commands are answered, which is before the process may be
// killed. Commands that arrive later are refused without asking the core.
func (s *Server) BeginShutdown(toldAt time.Time) time.Time {
	var longest time.Duration
	for _, c := range *s.classes.Load() {
		longest = max(longest, c.Deadline)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answerBy.IsZero() {
		s.answerBy = toldAt.Add(min(longest, maxClassDeadline) + killDelay - answerMargin)
	}
	return s.answerBy
}

// CloseUnserved is called once answerBy has passed: requests still being received are refused, and connections
// without a request are closed. It is called repeatedly until none is left.
func (s *Server) CloseUnserved(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newer != nil {
		return
	}
	s.pastAnswerBy = true
	for c := range s.conns {
		awaiting := (c.state == waiting || c.state == reading) && !c.fromInstance
		if lingerExpired := c.state == lingering && now.Sub(c.stateSince) >= s.timeouts.shutdown; (awaiting || lingerExpired) && !c.evicted {
			c.evict()
		}
	}
}

// answerDeadline returns the time by which commands must be answered if the process shuts down, and whether it has
// passed.
func (s *Server) answerDeadline() (deadline time.Time, passed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerBy, s.pastAnswerBy && s.newer == nil
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && s.newer == nil
}

// CloseIdle closes the clients' connections that have been idle since before the given time. Later ones may have been
// opened for a request that is on its way.
func (s *Server) CloseIdle(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == waiting && c.stateSince.Before(before) && !c.fromInstance {
			c.evict()
		}
	}
}

// Drained reports whether no request is being processed and no client is connected. Idle connections of instances don't
// count: abandoned jobs may run on for a while, and their callbacks must not delay the end of the process.
func (s *Server) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state != waiting || !c.fromInstance {
			return false
		}
	}
	return true
}

// evictOne evicts the most expendable connection, if there is one and none is already about to end. An encoder's
// connection is evicted only if no other slot will be free shortly.
func (s *Server) evictOne(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var victim *conn
	slotSoon := false
	for c := range s.conns {
		slotSoon = slotSoon || c.state == lingering
		if c.evicted && (c.state == waiting || c.state == lingering) {
			return
		}
		if r := c.retention(now); !c.evicted && r < inUse && (victim == nil || r < victim.retention(now) ||
			r == victim.retention(now) && c.stateSince.Before(victim.stateSince)) {
			victim = c
		}
	}
	if victim != nil && !(slotSoon && victim.retention(now) == idleEncoder) {
		victim.evict()
	}
}
