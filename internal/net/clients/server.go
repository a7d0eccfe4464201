// Package clients speaks to whoever connects to the program's listener: service clients
// with commands, the front that asks whether it is up, and instances with call-backs.
package clients

import (
	"bufio"
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
	"caperrelay/internal/wire"
)

// The patience with a peer on a connection.
const (
	idlePatience   = 2 * time.Minute        // between requests
	readPatience   = 5 * time.Second        // from a later request's first byte to its last
	writePatience  = 5 * time.Second        // for an answer
	lingerPatience = 500 * time.Millisecond // after this side's end, for the other's
	acceptPause    = 5 * time.Millisecond

	mostMore = 16 // requests that come behind one another before a connection ends all the same
)

// How long clients are answered once the process is told to end, by the protocol's page: it is killed no sooner than
// killed after the longest time that the settings leave a class, longest at most.
const (
	killed  = 700 * time.Millisecond
	longest = 3 * time.Second
	margin  = 200 * time.Millisecond // before that: for the answers' way, on a machine that is short of CPU
)

// patience is how long a peer that owes us something keeps its place: in any case, and while
// others want it. Whoever has a request sends it as soon as the connection is up.
type patience struct {
	first    time.Duration // for the whole of the first request
	mute     time.Duration // while others wait, for its first byte,
	halting  time.Duration // for the rest of a request
	lingerer time.Duration // and for ending its half
	last     time.Duration // for the rest of a request, or for ending its half, once this process's time is over
}

var usual = patience{
	first: 2 * time.Second, mute: 100 * time.Millisecond, halting: 500 * time.Millisecond, lingerer: 50 * time.Millisecond,
	last: 50 * time.Millisecond,
}

// Core is where commands and call-backs go.
type Core interface {
	Submit(*dispatch.Command)
	ClientGone(*dispatch.Command)
	HandleCallback(dispatch.Callback)
	// PersistCallback is called before the answer to a call-back; false: it must have none, so that the instance calls again.
	PersistCallback(dispatch.Callback) bool
}

// Server serves the listener.
type Server struct {
	core     Core
	classes  atomic.Pointer[map[string]decide.Class]
	counters func() string
	log      *slog.Logger
	reports  *loadreport.Reader // of instances; nil: none come
	patience patience
	slots    chan struct{} // one for each connection; bounds the descriptors used here
	books    *dispatch.Counters

	// callbacks is held for reading while a call-back is handed to the core, and for writing while the core yields.
	callbacks sync.RWMutex

	mu       sync.Mutex
	draining bool
	by       time.Time // commands are to be answered by then; zero: as their clients say
	over     bool      // then has come
	crowded  bool      // somebody waits for a connection: answers to clients close theirs
	conns    map[*conn]struct{}
	heir     Heir               // takes over; nil: nobody
	lent     int                // slots that connections of an older process still take
	expected map[string]*waiter // commands of that process whose client has not come yet
}

// Heir is the way to the process that takes over.
type Heir interface {
	// Pass hands it a connection.
	Pass(nc *net.TCPConn, p Passed)
	// Left says that one which was not passed has ended.
	Left()
}

// Passed is what goes with a connection that is passed.
type Passed struct {
	Answered bool           `json:"Answered,omitempty"` // something was asked on it before
	Instance bool           `json:"Instance,omitempty"` // by an instance
	Rest     []byte         `json:"Rest,omitempty"`     // what was read from it and not used
	Flood    bool           `json:"Flood,omitempty"`    // what came behind that was dropped
	ID       string         `json:"ID,omitempty"`       // the command that its client waits for,
	Request  *http1.Request `json:"Request,omitempty"`  // as it was read, unless it was handed over before
	Deadline time.Time      `json:"Deadline,omitzero"`  // of that
}

// New returns a server for at most so many connections.
func New(core Core, s decide.Settings, n wire.Names, most int, counters func() string, logger *slog.Logger) *Server {
	server := &Server{
		core: core, counters: counters, log: logger, patience: usual, slots: make(chan struct{}, most),
		conns: map[*conn]struct{}{}, expected: map[string]*waiter{}, books: new(dispatch.Counters),
	}
	server.Retune(s, n)
	return server
}

// ReadBy says who reads instances' load reports. It must come before Serve.
func (s *Server) ReadBy(r *loadreport.Reader) { s.reports = r }

// CountIn says in which books the ends of connections are counted. It must come before Serve.
func (s *Server) CountIn(b *dispatch.Counters) { s.books = b }

// count counts the end of a connection.
func (s *Server) count(e dispatch.ConnEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.books.CountConnEnd(e, !s.by.IsZero())
}

// Retune has commands read by other settings from now on.
func (s *Server) Retune(settings decide.Settings, n wire.Names) {
	classes := map[string]decide.Class{}
	for i, name := range n.Classes {
		classes[name] = settings.Classes[i]
	}
	s.classes.Store(&classes)
}

// Serve accepts connections until the listener is closed or its deadline has passed.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	var complained time.Time
	for s.room(ctx) {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.setCrowded(false)
			s.begin(nc)
			continue
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
			s.setCrowded(true)
			s.makeRoom(time.Now())
		}
		// Guards against a busy loop, and the program's end, while descriptors run short.
		<-s.slots
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if now := time.Now(); now.Sub(complained) >= time.Second {
			complained = now
			s.log.Error("accept", "err", err)
		}
		time.Sleep(acceptPause)
	}
}

// room takes a place for one more connection. While all are taken, one that can be spared
// makes room, else the next to be answered. It looks again and again: who says nothing can
// be spared after a while, and accepting must never wait for such a peer's patience.
func (s *Server) room(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.setCrowded(true)
	defer s.setCrowded(false)
	tick := time.NewTicker(acceptPause)
	defer tick.Stop()
	for !s.Yielded() {
		s.makeRoom(time.Now())
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

func (s *Server) setCrowded(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crowded = yes
}

func (s *Server) begin(nc net.Conn) { s.run(&conn{server: s, nc: nc, since: time.Now()}) }

func (s *Server) run(c *conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.run()
}

func (s *Server) ended(c *conn) {
	s.mu.Lock()
	switch ours := !c.passed && !c.gone; {
	case ours && c.parts:
		s.books.CountConnEnd(dispatch.Truncated, !s.by.IsZero())
	case ours && !c.answered:
		s.books.CountConnEnd(dispatch.Unanswered, !s.by.IsZero())
	}
	delete(s.conns, c)
	if s.heir != nil && !c.passed {
		s.heir.Left()
	}
	s.mu.Unlock()
	<-s.slots
}

// HoldCallbacks has each call-back that is read from now on wait until release is called, and returns once the core has
// those before. A process holds them while it yields: one that its core got after that would be answered, and lost if the
// process died before it had passed it on.
func (s *Server) HoldCallbacks() (release func()) {
	s.callbacks.Lock()
	return s.callbacks.Unlock
}

// Yield has each connection that stands between two requests go to the process that takes over,
// now and as their answers are written. Whoever serves the listener must have it end.
func (s *Server) Yield(to Heir) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heir = to
	for c := range s.conns {
		if c.state == waiting {
			c.nc.SetReadDeadline(past)
		}
	}
}

// Keep ends that: there is nobody to take over.
func (s *Server) Keep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heir = nil
}

// Yielded tells whether another process takes over.
func (s *Server) Yielded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heir != nil
}

// Expect returns the client of a command that an older process has handed over and whose
// connection is on its way.
func (s *Server) Expect(cmd *dispatch.Command, end bool) dispatch.Client {
	w := &waiter{cmd: cmd, end: end, answer: make(chan word, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected[cmd.ID] = w
	return w
}

// Adopt serves a connection that an older process has passed. The slot that it took there is its
// slot here.
func (s *Server) Adopt(nc net.Conn, p Passed) {
	s.mu.Lock()
	w := s.expected[p.ID]
	delete(s.expected, p.ID)
	lent := s.lent > 0
	if lent {
		s.lent--
	}
	s.mu.Unlock()
	if !lent {
		select {
		case s.slots <- struct{}{}:
		default:
			go s.turnAway(nc, p, w)
			return
		}
	}
	c := &conn{server: s, nc: nc, since: time.Now(), answered: p.Answered, instance: p.Instance, rest: p.Rest, flood: p.Flood}
	switch {
	case p.Request != nil:
		c.state, c.first = handling, func() bool { return c.command(p.Request, p.Deadline) }
	case w != nil:
		c.state, c.first = handling, func() bool { return c.wait(w) }
	case p.ID != "": // what was in hand is lost
		c.state, c.first = handling, func() bool { return c.relay(dispatch.Answer{Verdict: dispatch.Failed}, true) }
	}
	c.parts = c.first != nil
	s.run(c)
}

// turnAway ends a connection for which there is no place here, with an answer where one is owed.
func (s *Server) turnAway(nc net.Conn, p Passed, w *waiter) {
	c := &conn{server: s, nc: nc, since: time.Now(), answered: p.Answered, br: bufio.NewReader(nc)}
	verdict := dispatch.Failed
	if p.Request != nil { // nobody has taken it
		verdict = dispatch.Refused
	}
	if w != nil {
		s.core.ClientGone(w.cmd)
	}
	if p.ID != "" || p.Request != nil {
		c.relay(dispatch.Answer{Verdict: verdict}, true)
	}
	c.linger()
	nc.Close()
}

// Lend leaves an older process so many slots for the connections that it still holds.
func (s *Server) Lend(n int) {
	for range n {
		select {
		case s.slots <- struct{}{}:
			s.mu.Lock()
			s.lent++
			s.mu.Unlock()
		default:
			return
		}
	}
}

// Returned takes a slot back from the older process; false: it has none any more.
func (s *Server) Returned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lent == 0 {
		return false
	}
	s.lent--
	<-s.slots
	if s.heir != nil {
		s.heir.Left()
	}
	return true
}

// ReturnAll takes back what is left of the older process's slots: it has gone, and with it the connections that have not come.
// Nobody waits for the requests of those any more.
func (s *Server) ReturnAll() {
	for s.Returned() {
	}
	s.mu.Lock()
	lost := slices.Collect(maps.Values(s.expected))
	clear(s.expected)
	s.mu.Unlock()
	for _, w := range lost {
		s.core.ClientGone(w.cmd)
	}
}

// Connections is how many connections there are, with those of an older process.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.lent
}

// Away says whether service clients are sent away: then the front is told no, and each answer
// closes its connection. The listener goes on.
func (s *Server) Away(yes bool) {
	s.mu.Lock()
	s.draining = yes
	s.mu.Unlock()
}

// End says that the process has been told to end: whatever is asked from now on is answered before it may be killed, and
// is refused unasked after the moment that End returns.
func (s *Server) End(told time.Time) time.Time {
	var most time.Duration
	for _, c := range *s.classes.Load() {
		most = max(most, c.Deadline)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.by.IsZero() {
		s.by = told.Add(min(most, longest) + killed - margin)
	}
	return s.by
}

// Finish has that moment come: requests that are on their way are refused, and connections without any are ended. It is
// called again until none is left.
func (s *Server) Finish(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heir != nil {
		return
	}
	s.over = true
	for c := range s.conns {
		asks := (c.state == waiting || c.state == reading) && !c.instance
		if told := c.state == lingering && now.Sub(c.since) >= s.patience.last; (asks || told) && !c.evicted {
			c.evict()
		}
	}
}

// last is by when a command must have its answer, if the process has been told to end, and whether it is too late for that.
func (s *Server) last() (by time.Time, over bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.by, s.over && s.heir == nil
}

func (s *Server) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && s.heir == nil
}

// CloseIdle ends the connections of service clients that have stood between requests since
// before a moment. Younger ones may just have been opened for a request that is on its way.
func (s *Server) CloseIdle(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == waiting && c.since.Before(before) && !c.instance {
			c.evict()
		}
	}
}

// Quiet tells whether no request is under way and no service client is connected. Instances
// may be: jobs given up may go on for a while, and what they tell must not delay the end.
func (s *Server) Quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state != waiting || !c.instance {
			return false
		}
	}
	return true
}

// makeRoom ends the connection that can best be spared, if there is one and none is about to end already. An encoder's goes
// only where no other place will be free within a moment.
func (s *Server) makeRoom(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var spared *conn
	soon := false
	for c := range s.conns {
		soon = soon || c.state == lingering
		if c.evicted && (c.state == waiting || c.state == lingering) {
			return
		}
		if u := c.use(now); !c.evicted && u < inUse && (spared == nil || u < spared.use(now) ||
			u == spared.use(now) && c.since.Before(spared.since)) {
			spared = c
		}
	}
	if spared != nil && !(soon && spared.use(now) == kept) {
		spared.evict()
	}
}
