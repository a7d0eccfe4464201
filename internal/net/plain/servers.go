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

// Exchange is one request on its way to a pool's servers.
type Exchange struct {
	Method, Target, Host string
	Header               http1.Header
	Body                 []byte

	timedOut atomic.Bool // an attempt has
	began    time.Time
	deadline time.Time
	done     func(instance string, failed bool) // told how an attempt ended; may be nil
}

// late tells whether time ran out on it: an attempt's, or its own, shortly before which the module answers.
func (x *Exchange) late() bool {
	return x.timedOut.Load() || time.Until(x.deadline) < x.deadline.Sub(x.began)/8
}

// Reports takes what comes of attempts; a loop does.
type Reports interface {
	AttemptEnded(_ *dispatch.Attempt, _ decide.Outcome, kept time.Duration)
	AttemptSent(*dispatch.Attempt)
	AttemptServed(_ *dispatch.Attempt, value any)
	LoadReported(*dispatch.Attempt, decide.Report)
}

// Servers is the way to the members of all pools.
type Servers struct {
	reports Reports
	connect time.Duration
	most    int // idle connections kept to one

	mu      sync.Mutex
	address map[string]string // of a member by its id; one that is gone is not here
	idle    map[string][]*kept
	out     map[*dispatch.Attempt]*flight
	active  map[string]int
}

// kept is a connection between two requests.
type kept struct {
	net.Conn
	br    *bufio.Reader
	since time.Time
}

// flight is an attempt on its way.
type flight struct {
	cancel context.CancelFunc
	given  atomic.Bool
}

// NewServers returns a way to members that are yet to be listed.
func NewServers(connect time.Duration, mostIdle int) *Servers {
	return &Servers{connect: connect, most: mostIdle, address: map[string]string{}, idle: map[string][]*kept{}, out: map[*dispatch.Attempt]*flight{}, active: map[string]int{}}
}

// ReportTo says who takes reports. It must come before anything is sent.
func (s *Servers) ReportTo(r Reports) { s.reports = r }

// Listed takes all members that there are. Nothing new goes to others from now on.
func (s *Servers) Listed(l dispatch.InstanceUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.address)
	for _, m := range l.Instances {
		if m.State == decide.Ready {
			s.address[m.ID] = m.Address
		}
	}
	for id, all := range s.idle {
		if s.address[id] == "" {
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
	f := &flight{cancel: cancel}
	s.mu.Lock()
	s.out[a] = f
	s.active[a.Instance]++
	s.mu.Unlock()
	go func() {
		defer cancel()
		p, o, kept := s.exchange(ctx, a)
		s.mu.Lock()
		delete(s.out, a)
		s.mu.Unlock()
		if f.given.Load() {
			a.CancelConfirmed()
		}
		if o == decide.TimedOut {
			a.Command.Payload.(*Exchange).timedOut.Store(true)
		}
		x := a.Command.Payload.(*Exchange)
		if x.done != nil && o != decide.NotSent && !f.given.Load() {
			x.done(a.Instance, o != decide.OK)
		}
		s.mu.Lock()
		s.active[a.Instance]--
		n := s.active[a.Instance]
		s.mu.Unlock()
		s.reports.LoadReported(a, decide.Report{Active: float64(n + 1), Waiting: -1, FreeSlots: float64(max(0, room-n-1)), FreeMemory: -1})
		if o == decide.OK {
			s.reports.AttemptServed(a, p)
			return
		}
		s.reports.AttemptEnded(a, o, kept)
	}()
}

// Cancel ends an attempt by closing its connection: HTTP/1.1 has no other word for it.
func (s *Servers) Cancel(a *dispatch.Attempt) {
	s.mu.Lock()
	f := s.out[a]
	s.mu.Unlock()
	if f == nil {
		a.CancelConfirmed()
		return
	}
	f.given.Store(true)
	f.cancel()
}

// Probe does nothing: servers are judged by what they answer.
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

// Subscribe does nothing: members are listed as they change.
func (s *Servers) Subscribe() {}

// take is a connection to a member: a kept one that is still open, unless a fresh one is wanted, or a new one.
func (s *Servers) take(ctx context.Context, a *dispatch.Attempt) (*kept, time.Duration, error) {
	for {
		s.mu.Lock()
		address := s.address[a.Instance]
		all := s.idle[a.Instance]
		var k *kept
		if n := len(all); n > 0 && !a.NewConn {
			k, s.idle[a.Instance] = all[n-1], all[:n-1]
		}
		s.mu.Unlock()
		if address == "" {
			return nil, 0, errGone
		}
		if k == nil {
			d := net.Dialer{Timeout: s.connect}
			nc, err := d.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, 0, err
			}
			return &kept{Conn: nc, br: bufio.NewReaderSize(nc, http1.MaxLine)}, 0, nil
		}
		age := max(time.Since(k.since), 1)
		if a.MaxIdle > 0 && age > a.MaxIdle || k.br.Buffered() > 0 || k.SetDeadline(time.Time{}) != nil || sock.Peek(k.Conn) != sock.Empty {
			k.Close() // too old, closed, or it says what nobody asked for
			continue
		}
		return k, age, nil
	}
}

var errGone = errors.New("the member is no more")

// exchange sends a request and reads the answer. Whatever is not a whole answer has the connection closed:
// what is left on it must never be taken for another's.
func (s *Servers) exchange(ctx context.Context, a *dispatch.Attempt) (*http1.Response, decide.Outcome, time.Duration) {
	x := a.Command.Payload.(*Exchange)
	k, age, err := s.take(ctx, a)
	switch {
	case errors.Is(err, errGone):
		return nil, decide.NotSent, 0
	case err != nil:
		return nil, decide.ConnectFailed, 0
	}
	whole := false
	defer func() {
		if !whole {
			k.Close()
		}
	}()
	k.SetDeadline(a.Deadline)
	defer context.AfterFunc(ctx, func() { k.SetDeadline(time.Unix(1, 0)) })()
	head := append(http1.Header{{Name: "Host", Value: x.Host}}, x.Header...)
	text := http1.AppendRequest(nil, x.Method, x.Target, head, x.Body)
	if n, err := k.Write(text); err != nil && n < len(text) {
		return nil, decide.ConnectFailed, age
	}
	s.reports.AttemptSent(a)
	p, err := http1.ReadResponse(k.br, x.Method)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, decide.TimedOut, age
	case err != nil:
		return nil, decide.Reset, age
	}
	if !p.Close && k.br.Buffered() == 0 && ctx.Err() == nil {
		whole = s.keep(a.Instance, k)
	}
	return p, decide.OK, age
}

// keep puts a connection among the idle ones; false: there are enough.
func (s *Servers) keep(id string, k *kept) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[id]) >= s.most || s.address[id] == "" {
		return false
	}
	k.since = time.Now()
	s.idle[id] = append(s.idle[id], k)
	return true
}

// Close closes all idle connections.
func (s *Servers) Close() {
	s.Listed(dispatch.InstanceUpdate{Complete: true})
}

var _ dispatch.Fleet = (*Servers)(nil)
