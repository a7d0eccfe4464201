package plain

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/sock"
)

// Exchange is one request to a pool: the payload of its command.
type Exchange struct {
	Method, Target, Host string
	Header               http1.Header
	Body                 []byte

	attemptTimedOut atomic.Bool // an attempt timed out
	start           time.Time
	deadline        time.Time
	attemptDone     func(instance string, failed bool) // called when an attempt has ended, unless cancelled or NotSent; may be nil
}

// late reports whether an attempt timed out or the deadline of the request is near: package decide answers shortly
// before the deadline.
func (x *Exchange) late() bool {
	return x.attemptTimedOut.Load() || time.Until(x.deadline) < x.deadline.Sub(x.start)/8
}

// AttemptEvents receives the events of attempts; dispatch.Loop implements it.
type AttemptEvents interface {
	AttemptEnded(_ *dispatch.Attempt, _ decide.Outcome, idleFor time.Duration)
	AttemptSent(*dispatch.Attempt)
	AttemptServed(_ *dispatch.Attempt, value any)
	LoadReported(*dispatch.Attempt, decide.Report)
}

// Servers sends requests to the members of all pools.
type Servers struct {
	events         AttemptEvents
	connectTimeout time.Duration
	maxIdle        int // idle connections kept per member

	mu        sync.Mutex
	addresses map[string]string // by member ID; current members only
	idle      map[string][]*idleConn
	attempts  map[*dispatch.Attempt]*inFlight
	active    map[string]int
}

// idleConn is a connection that can be reused, with the time since it has been idle.
type idleConn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
}

// inFlight is an attempt in progress.
type inFlight struct {
	cancel    context.CancelFunc
	cancelled atomic.Bool
}

// NewServers returns Servers without members; SetMembers sets them.
func NewServers(connect time.Duration, maxIdle int) *Servers {
	return &Servers{connectTimeout: connect, maxIdle: maxIdle, addresses: map[string]string{}, idle: map[string][]*idleConn{}, attempts: map[*dispatch.Attempt]*inFlight{}, active: map[string]int{}}
}

// ReportTo sets the receiver of events. It must be called before the first Send.
func (s *Servers) ReportTo(r AttemptEvents) { s.events = r }

// SetMembers replaces the list of members. Servers that are not in it get no more requests.
func (s *Servers) SetMembers(l dispatch.InstanceUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.addresses)
	for _, m := range l.Instances {
		if m.State == decide.Ready {
			s.addresses[m.ID] = m.Address
		}
	}
	for id, all := range s.idle {
		if s.addresses[id] == "" {
			for _, k := range all {
				k.Close()
			}
			delete(s.idle, id)
		}
	}
}

// Send starts an attempt.
func (s *Servers) Send(a *dispatch.Attempt) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	f := &inFlight{cancel: cancel}
	s.mu.Lock()
	s.attempts[a] = f
	s.active[a.Instance]++
	s.mu.Unlock()
	go func() {
		defer cancel()
		p, o, idleFor := s.exchange(ctx, a)
		s.mu.Lock()
		delete(s.attempts, a)
		s.mu.Unlock()
		if f.cancelled.Load() {
			a.CancelConfirmed()
		}
		if o == decide.TimedOut {
			a.Command.Payload.(*Exchange).attemptTimedOut.Store(true)
		}
		x := a.Command.Payload.(*Exchange)
		if x.attemptDone != nil && o != decide.NotSent && !f.cancelled.Load() {
			x.attemptDone(a.Instance, o != decide.OK)
		}
		s.mu.Lock()
		s.active[a.Instance]--
		n := s.active[a.Instance]
		s.mu.Unlock()
		s.events.LoadReported(a, decide.Report{Active: float64(n + 1), Waiting: -1, FreeSlots: float64(max(0, assumedConcurrency-n-1)), FreeMemory: -1})
		if o == decide.OK {
			s.events.AttemptServed(a, p)
			return
		}
		s.events.AttemptEnded(a, o, idleFor)
	}()
}

// Cancel ends an attempt by closing its connection: HTTP/1.1 has no other means to cancel a request.
func (s *Servers) Cancel(a *dispatch.Attempt) {
	s.mu.Lock()
	f := s.attempts[a]
	s.mu.Unlock()
	if f == nil {
		a.CancelConfirmed()
		return
	}
	f.cancelled.Store(true)
	f.cancel()
}

// Probe does nothing: servers are judged by their responses to requests.
func (s *Servers) Probe(string) {}

// CloseIdle closes the idle connections to a member.
func (s *Servers) CloseIdle(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.idle[id] {
		k.Close()
	}
	delete(s.idle, id)
}

// Subscribe does nothing: SetMembers is called on each change.
func (s *Servers) Subscribe() {}

// connection returns an idle connection to the member that is still open, or dials one. If the attempt asks for a
// new connection, it always dials.
func (s *Servers) connection(ctx context.Context, a *dispatch.Attempt) (*idleConn, time.Duration, error) {
	for {
		s.mu.Lock()
		address := s.addresses[a.Instance]
		all := s.idle[a.Instance]
		var k *idleConn
		if n := len(all); n > 0 && !a.NewConn {
			k, s.idle[a.Instance] = all[n-1], all[:n-1]
		}
		s.mu.Unlock()
		if address == "" {
			return nil, 0, errNotMember
		}
		if k == nil {
			d := net.Dialer{Timeout: s.connectTimeout}
			nc, err := d.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, 0, err
			}
			return &idleConn{Conn: nc, br: bufio.NewReaderSize(nc, http1.MaxLine)}, 0, nil
		}
		age := max(time.Since(k.idleSince), 1)
		if a.MaxIdle > 0 && age > a.MaxIdle || k.br.Buffered() > 0 || k.SetDeadline(time.Time{}) != nil || sock.Peek(k.Conn) != sock.Empty {
			k.Close() // too old, closed, or with data that no request asked for
			continue
		}
		return k, age, nil
	}
}

var errNotMember = errors.New("server is no longer a member of the pool")

// exchange sends a request and reads the response. Unless the response is complete the connection is closed:
// leftover bytes must never be taken for the response to another request.
func (s *Servers) exchange(ctx context.Context, a *dispatch.Attempt) (*http1.Response, decide.Outcome, time.Duration) {
	x := a.Command.Payload.(*Exchange)
	k, age, err := s.connection(ctx, a)
	switch {
	case errors.Is(err, errNotMember):
		return nil, decide.NotSent, 0
	case err != nil:
		return nil, decide.ConnectFailed, 0
	}
	reusable := false
	defer func() {
		if !reusable {
			k.Close()
		}
	}()
	if !s.maySend(a) { // asked last, since the dial may have taken long
		reusable = s.putIdle(a.Instance, k)
		return nil, decide.NotSent, 0
	}
	k.SetDeadline(a.Deadline)
	defer context.AfterFunc(ctx, func() { k.SetDeadline(time.Unix(1, 0)) })()
	head := append(http1.Header{{Name: "Host", Value: x.Host}}, x.Header...)
	text := http1.AppendRequest(nil, x.Method, x.Target, head, x.Body)
	if n, err := k.Write(text); err != nil && n < len(text) {
		return nil, decide.ConnectFailed, age
	}
	s.events.AttemptSent(a)
	p, err := http1.ReadResponse(k.br, x.Method)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, decide.TimedOut, age
	case err != nil:
		return nil, decide.Reset, age
	}
	if !p.Close && k.br.Buffered() == 0 && ctx.Err() == nil {
		reusable = s.putIdle(a.Instance, k)
	}
	return p, decide.OK, age
}

// maySend reports whether an attempt may still be sent.
func (s *Servers) maySend(a *dispatch.Attempt) bool {
	if a.Expired(time.Now()) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[a.Instance] != ""
}

// putIdle keeps a connection for reuse. It returns false if the member has enough idle ones or is gone.
func (s *Servers) putIdle(id string, k *idleConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[id]) >= s.maxIdle || s.addresses[id] == "" {
		return false
	}
	k.idleSince = time.Now()
	s.idle[id] = append(s.idle[id], k)
	return true
}

// Close closes all idle connections.
func (s *Servers) Close() {
	s.SetMembers(dispatch.InstanceUpdate{Complete: true})
}

var _ dispatch.Fleet = (*Servers)(nil)
