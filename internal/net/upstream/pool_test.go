package upstream

import (
	"bufio"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/loadreport"
)

// recorder collects the pool's reports.
type recorder struct {
	ended    chan decide.Outcome
	probed   chan decide.Outcome
	loads    chan *decide.Report
	accepted chan *dispatch.Attempt
}

func (r recorder) AttemptEnded(_ *dispatch.Attempt, o decide.Outcome, _ time.Duration) { r.ended <- o }
func (r recorder) AttemptSent(*dispatch.Attempt)                                       {}
func (r recorder) AttemptAccepted(a *dispatch.Attempt)                                 { r.accepted <- a }
func (r recorder) AttemptUnusable(*dispatch.Attempt)                                   {}
func (r recorder) LoadReported(_ *dispatch.Attempt, l decide.Report)                   { r.loads <- &l }
func (r recorder) ProbeEnded(_ string, o decide.Outcome, l *decide.Report) {
	if r.probed <- o; l != nil {
		r.loads <- l
	}
}

// secondResponse has a second answer written, and tells that it is.
var secondResponse = make(chan bool)

// newAutoPool returns one of so many connections and encoders that show each request.
func newAutoPool(t *testing.T, most int, ids ...string) (*Pool, recorder, chan *http1.Request) {
	r, seen := recorder{make(chan decide.Outcome, 9), make(chan decide.Outcome, 9), make(chan *decide.Report, 9), make(chan *dispatch.Attempt, 9)}, make(chan *http1.Request, 9)
	p := NewPool(Limits{Connections: most, Connect: 10 * time.Second, Idle: time.Minute})
	p.ReportTo(r)
	var l dispatch.InstanceUpdate
	for _, id := range ids {
		in, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { in.Close() })
		l.Instances = append(l.Instances, dispatch.Instance{ID: id, Address: in.Addr().String(), State: decide.Ready})
		go func() {
			for {
				c, err := in.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					for br := bufio.NewReader(c); ; {
						q, err := http1.ReadRequest(br, nil)
						if err != nil {
							return
						}
						q.Header = append(q.Header, http1.Field{Name: "From", Value: c.RemoteAddr().String()})
						seen <- q
						if q.Target == "/twice" { // the second answer comes late
							c.Write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))
							<-secondResponse
							c.Write([]byte("HTTP/1.1 500 Spoilt\r\nContent-Length: 0\r\n\r\n"))
							secondResponse <- true
						} else if q.Target == "/take" {
							c.Write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))
						} else if q.Target == "/full" {
							c.Write([]byte("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nX-Backend-Load: TEXT x0=2.5\r\nContent-Length: 0\r\n\r\n"))
						} else if q.Target == "/_load" {
							c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"x0\":4}"))
						} else if q.Method != "POST" { // other attempts stay unanswered
							c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
						}
					}
				}()
			}
		}()
	}
	p.Listed(l)
	return p, r, seen
}

func attempt(encoder string) *dispatch.Attempt {
	return &dispatch.Attempt{
		Command:  &dispatch.Command{ID: "c1", Payload: &http1.Request{Method: "POST", Target: "/api"}},
		Instance: encoder, Deadline: time.Now().Add(time.Minute),
	}
}

// The bound on descriptors holds: idle connections elsewhere make room, and where there are
// none an attempt is told as never sent, which speaks against no encoder.
func TestConnectionsAreBounded(t *testing.T) {
	p, r, seen := newAutoPool(t, 1, "s-1", "s-2")
	p.Probe("s-1")
	require.Equal(t, decide.OK, <-r.probed)
	<-seen
	require.Eventually(t, func() bool { return p.Idle() == 1 }, 20*time.Second, time.Millisecond)
	p.Probe("s-2") // takes the place of the idle connection once that is closed
	require.Equal(t, decide.OK, <-r.probed)
	<-seen
	require.Eventually(t, func() bool { return p.Idle() == 1 }, 20*time.Second, time.Millisecond)
	p.Send(attempt("s-2"))
	<-seen
	p.Send(attempt("s-1"))
	require.Equal(t, decide.NotSent, <-r.ended)
}

// A connection that may have been dropped unseen is not used: what is written to it would
// end as a reset, and a request that must not run twice could go nowhere else.
func TestMaxIdleOfAttempt(t *testing.T) {
	for most, same := range map[time.Duration]bool{time.Nanosecond: false, time.Hour: true} {
		p, r, seen := newAutoPool(t, 9, "s-1")
		p.Probe("s-1")
		require.Equal(t, decide.OK, <-r.probed)
		require.Eventually(t, func() bool { return p.Idle() == 1 }, 20*time.Second, time.Millisecond)
		a := attempt("s-1")
		a.MaxIdle = most
		p.Send(a)
		probed, sent := <-seen, <-seen
		require.Equal(t, same, probed.Header.Get("From") == sent.Header.Get("From"))
	}
}

// A request that needs a new connection has one, and none is kept more than before.
func TestNewConnectionReplacesIdleOne(t *testing.T) {
	p, r, seen := newAutoPool(t, 9, "s-1")
	p.Probe("s-1")
	require.Equal(t, decide.OK, <-r.probed)
	require.Eventually(t, func() bool { return p.Idle() == 1 }, 20*time.Second, time.Millisecond)
	a := attempt("s-1")
	a.NewConn, a.Command.Payload.(*http1.Request).Target = true, "/take"
	p.Send(a)
	<-r.accepted
	require.NotEqual(t, (<-seen).Header.Get("From"), (<-seen).Header.Get("From"))
	require.Eventually(t, func() bool { return p.Idle() == 1 && !p.Busy() }, 20*time.Second, time.Millisecond)
}

// A 202 is told, so that the module can tell an encoder at work from a silent connection.
func TestAcceptanceIsReported(t *testing.T) {
	p, r, _ := newAutoPool(t, 9, "s-1")
	a := attempt("s-1")
	a.Command.Payload.(*http1.Request).Target = "/take"
	p.Send(a)
	require.Equal(t, a, <-r.accepted)
	require.Empty(t, r.ended)
}

// A drain told between the decision and the first byte stops the send.
func TestDrainBeforeFirstByte(t *testing.T) {
	p, r, seen := newAutoPool(t, 9, "s-1")
	p.Probe("s-1")
	<-seen
	require.Equal(t, decide.OK, <-r.probed)
	p.Listed(dispatch.InstanceUpdate{Instances: []dispatch.Instance{{ID: "s-1", State: decide.Draining}}})
	p.Send(attempt("s-1"))
	require.Equal(t, decide.NotSent, <-r.ended)
	require.Empty(t, seen)
}

// An attempt given up before its 202 is taken back by DELETE too, and only then confirmed.
func TestCancelBefore202(t *testing.T) {
	p, r, seen := newAutoPool(t, 9, "s-1")
	a := attempt("s-1")
	p.Send(a)
	require.Equal(t, "POST", (<-seen).Method)
	p.Cancel(a)
	q := <-seen
	require.Equal(t, []string{"DELETE", "/jobs/c1"}, []string{q.Method, q.Target})
	require.Equal(t, decide.Reset, <-r.ended, "which the loop drops: it has given the attempt up")
}

// A silent encoder makes no reset at the deadline: the loop tells of the time-out first.
func TestSilentEncoderIsNotReportedAsReset(t *testing.T) {
	p, r, seen := newAutoPool(t, 9, "s-1")
	p.Probe("s-1")
	require.Equal(t, decide.OK, <-r.probed)
	require.Eventually(t, func() bool { return p.Idle() == 1 }, 20*time.Second, time.Millisecond)
	<-seen
	a := attempt("s-1")
	a.Deadline = time.Now().Add(time.Second)
	p.Send(a)
	require.Equal(t, "POST", (<-seen).Method)
	<-r.ended
	require.WithinRange(t, time.Now(), a.Deadline.Add(graceTime), a.Deadline.Add(time.Minute))
}

// An attempt that waited for its connection went out after another process had taken it over, given it up and sent it
// elsewhere: two copies at once. Nothing is written of what was not begun by then; what was is the encoder's.
func TestNothingIsSentAfterCancelUnsent(t *testing.T) {
	p, _, seen := newAutoPool(t, 9, "s-1")
	ends := make(chan result, 9)
	send := func(target string, expired func(time.Time) bool) {
		x := &exchange{method: "POST", target: target, correlationID: "c1", deadline: time.Now().Add(time.Minute), expired: expired,
			onDone: func(e result) { ends <- e }}
		p.mu.Lock()
		p.unaccepted[&dispatch.Attempt{}] = x
		p.mu.Unlock()
		p.start("s-1", x)
	}
	send("/late", func(time.Time) bool { p.Unsend(); return false }) // its connection is up by then
	require.Equal(t, notSent, (<-ends).progress)
	send("/begun", nil)
	require.Equal(t, "/begun", (<-seen).Target)
	p.Unsend()
	send("/take", nil)
	require.Equal(t, "/take", (<-seen).Target)
	require.Equal(t, answered, (<-ends).progress, "the one before goes on")
}

func TestNothingIsSentToUnknownInstance(t *testing.T) {
	p, r, _ := newAutoPool(t, 9)
	p.Send(attempt("s-9"))
	require.Equal(t, decide.NotSent, <-r.ended)
}

// What encoders know a repeat by goes with every attempt as it came, and nothing is made up where none came.
func TestIdempotencyKeyIsSentWithEveryAttempt(t *testing.T) {
	p, _, seen := newAutoPool(t, 9, "s-1", "s-2")
	const key = "\"5c0f 6e1a\"; caf\xe9"
	for _, h := range []http1.Header{{{Name: "idempotency-key", Value: key}, {Name: "Cookie", Value: "user=1"}}, nil} {
		for _, id := range []string{"s-1", "s-2"} {
			a := attempt(id)
			a.Command.Payload.(*http1.Request).Header = h
			p.Send(a)
			q := <-seen
			require.Equal(t, h != nil, q.Header.Given("Idempotency-Key"))
			require.Equal(t, h.Get("Idempotency-Key"), q.Header.Get("Idempotency-Key"))
			require.False(t, q.Header.Given("Cookie"))
		}
	}
}

// An answer that ends an attempt brings its load report, and so does a probe, which goes the way that has one.
func TestLoadReportsOfResponsesAndProbes(t *testing.T) {
	p, r, seen := newAutoPool(t, 9, "s-1")
	p.ReadBy(loadreport.New([]string{"x0"}, slog.New(slog.DiscardHandler)))
	a := attempt("s-1")
	a.Command.Payload.(*http1.Request).Target = "/full"
	p.Send(a)
	require.Equal(t, decide.Full, <-r.ended)
	require.Equal(t, 2.5, (<-r.loads).FreeSlots)
	<-seen
	p.Probe("s-1")
	require.Equal(t, "/_load", (<-seen).Target)
	require.Equal(t, decide.OK, <-r.probed)
	require.Equal(t, 4.0, (<-r.loads).FreeSlots)
}

// A second answer, some milliseconds behind the first, was read as the answer to the next request on that connection: here as
// an error of a request that the encoder had taken. Where that was seen once, a connection is used again only after a rest.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	p, r, seen := newAutoPool(t, 9, "s-1")
	p.settle = time.Minute
	send := func(target string) {
		a := attempt("s-1")
		a.Command.Payload.(*http1.Request).Target = target
		p.Send(a)
		require.Equal(t, target, (<-seen).Target)
		require.Equal(t, a, <-r.accepted)
	}
	idle := func(n int) {
		require.Eventually(t, func() bool { return p.Idle() == n && !p.Busy() }, 20*time.Second, time.Millisecond)
	}
	send("/twice")
	idle(1)
	secondResponse <- true
	<-secondResponse // it lies on the connection at rest
	send("/take")
	idle(1)
	for range 9 { // from now on, however soon
		send("/twice")
		send("/take")
		secondResponse <- true
		<-secondResponse
	}
	require.Empty(t, r.ended)
}

// Of connections at rest the one used last is taken; where some encoder talks unasked, the one used last that has settled.
func TestSettledConnectionsArePreferred(t *testing.T) {
	const settle = defaultSettle
	now := time.Now()
	for _, one := range []struct {
		rested   []time.Duration // of the idle ones
		mostIdle time.Duration
		talked   time.Duration // ago; 0: never
		took     int           // -1: a new one
	}{
		{nil, 0, 0, -1},
		{[]time.Duration{time.Second, 2 * settle, 0}, 0, 0, 1},
		{[]time.Duration{time.Second, 2 * settle}, 0, 0, 1},
		{[]time.Duration{settle / 2, settle / 4}, 0, 0, 0},
		{[]time.Duration{settle / 2}, 0, time.Second, -1},
		{[]time.Duration{settle / 2}, 0, unsolicitedWindow, 0},
		{[]time.Duration{time.Second, settle / 2}, 2 * time.Second, time.Second, 0},
		{[]time.Duration{time.Second, settle / 2}, settle, 0, 1},
		{[]time.Duration{time.Second, settle / 2}, settle, time.Second, -1},
		{[]time.Duration{time.Second, settle / 2}, settle / 4, 0, -1},
	} {
		in := &endpoint{}
		for _, d := range one.rested {
			in.idle = append(in.idle, &conn{idleSince: now.Add(-d)})
		}
		if one.talked > 0 {
			in.lastUnsolicited = now.Add(-one.talked)
		}
		all := append([]*conn{nil}, in.idle...)
		if one.talked == 0 && one.mostIdle == 0 && len(in.idle) > 0 {
			calm := &endpoint{idle: slices.Clone(in.idle)}
			require.Same(t, in.idle[len(in.idle)-1], calm.takeIdle(&exchange{correlationID: "c1"}, settle, false, now))
		}
		// A give-up or a probe, which bears no id, goes by the same: what an encoder says late would be taken for its answer.
		word := &endpoint{idle: slices.Clone(in.idle), lastUnsolicited: in.lastUnsolicited}
		require.Same(t, all[one.took+1], word.takeIdle(&exchange{method: "DELETE", maxIdle: one.mostIdle}, settle, true, now), "%+v", one)
		c := in.takeIdle(&exchange{correlationID: "c1", maxIdle: one.mostIdle}, settle, true, now)
		require.Same(t, all[one.took+1], c, "%+v", one)
		require.Len(t, in.idle, max(0, len(one.rested)-1)+map[bool]int{true: 1}[c == nil && len(one.rested) > 0])
	}
}
