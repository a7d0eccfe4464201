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

// recorder records the pool's notifications.
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

// secondResponse triggers the second response and reports that it has been written.
var secondResponse = make(chan bool)

// newAutoPool returns a pool of at most the given number of connections, and encoders that answer by themselves and
// pass each request to the channel.
func newAutoPool(t *testing.T, maxConns int, ids ...string) (*Pool, recorder, chan *http1.Request) {
	rec, seen := recorder{make(chan decide.Outcome, 9), make(chan decide.Outcome, 9), make(chan *decide.Report, 9), make(chan *dispatch.Attempt, 9)}, make(chan *http1.Request, 9)
	p := NewPool(Limits{MaxConns: maxConns, ConnectTimeout: 10 * time.Second, IdleTimeout: time.Minute})
	p.SetObserver(rec)
	var l dispatch.InstanceUpdate
	for _, id := range ids {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		l.Instances = append(l.Instances, dispatch.Instance{ID: id, Address: ln.Addr().String(), State: decide.Ready})
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					for br := bufio.NewReader(c); ; {
						req, err := http1.ReadRequest(br, nil)
						if err != nil {
							return
						}
						req.Header = append(req.Header, http1.Field{Name: "From", Value: c.RemoteAddr().String()})
						seen <- req
						if req.Target == "/twice" { // a second response follows later
							c.Write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))
							<-secondResponse
							c.Write([]byte("HTTP/1.1 500 Spoilt\r\nContent-Length: 0\r\n\r\n"))
							secondResponse <- true
						} else if req.Target == "/take" {
							c.Write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))
						} else if req.Target == "/full" {
							c.Write([]byte("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nX-Backend-Load: TEXT x0=2.5\r\nContent-Length: 0\r\n\r\n"))
						} else if req.Target == "/_load" {
							c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"x0\":4}"))
						} else if req.Method != "POST" { // other attempts remain unanswered
							c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
						}
					}
				}()
			}
		}()
	}
	p.UpdateInstances(l)
	return p, rec, seen
}

func attempt(encoder string) *dispatch.Attempt {
	return &dispatch.Attempt{
		Command:  &dispatch.Command{ID: "c1", Payload: &http1.Request{Method: "POST", Target: "/api"}},
		Instance: encoder, Deadline: time.Now().Add(time.Minute),
	}
}

// The connection limit holds: idle connections to other encoders are closed to make room. If there are none, an
// attempt ends as not sent, which says nothing about the encoder.
func TestConnectionsAreBounded(t *testing.T) {
	p, r, seen := newAutoPool(t, 1, "s-1", "s-2")
	p.Probe("s-1")
	require.Equal(t, decide.OK, <-r.probed)
	<-seen
	require.Eventually(t, func() bool { return p.IdleConns() == 1 }, 20*time.Second, time.Millisecond)
	p.Probe("s-2") // closes the idle connection and replaces it
	require.Equal(t, decide.OK, <-r.probed)
	<-seen
	require.Eventually(t, func() bool { return p.IdleConns() == 1 }, 20*time.Second, time.Millisecond)
	p.Send(attempt("s-2"))
	<-seen
	p.Send(attempt("s-1"))
	require.Equal(t, decide.NotSent, <-r.ended)
}

// A connection that may have been dropped unnoticed is not used: a request written to it would end as a reset, and
// one that must not run twice could not be sent elsewhere.
func TestMaxIdleOfAttempt(t *testing.T) {
	for maxIdle, reused := range map[time.Duration]bool{time.Nanosecond: false, time.Hour: true} {
		p, r, seen := newAutoPool(t, 9, "s-1")
		p.Probe("s-1")
		require.Equal(t, decide.OK, <-r.probed)
		require.Eventually(t, func() bool { return p.IdleConns() == 1 }, 20*time.Second, time.Millisecond)
		a := attempt("s-1")
		a.MaxIdle = maxIdle
		p.Send(a)
		probed, sent := <-seen, <-seen
		require.Equal(t, reused, probed.Header.Get("From") == sent.Header.Get("From"))
	}
}

// A request that must use a new connection gets one, and the number of idle connections does not grow.
func TestNewConnectionReplacesIdleOne(t *testing.T) {
	p, r, seen := newAutoPool(t, 9, "s-1")
	p.Probe("s-1")
	require.Equal(t, decide.OK, <-r.probed)
	require.Eventually(t, func() bool { return p.IdleConns() == 1 }, 20*time.Second, time.Millisecond)
	a := attempt("s-1")
	a.NewConn, a.Command.Payload.(*http1.Request).Target = true, "/take"
	p.Send(a)
	<-r.accepted
	require.NotEqual(t, (<-seen).Header.Get("From"), (<-seen).Header.Get("From"))
	require.Eventually(t, func() bool { return p.IdleConns() == 1 && !p.Busy() }, 20*time.Second, time.Millisecond)
}

// A 202 is reported, so that the decision module can distinguish a working encoder from a silent connection.
func TestAcceptanceIsReported(t *testing.T) {
	p, r, _ := newAutoPool(t, 9, "s-1")
	a := attempt("s-1")
	a.Command.Payload.(*http1.Request).Target = "/take"
	p.Send(a)
	require.Equal(t, a, <-r.accepted)
	require.Empty(t, r.ended)
}

// A drain reported between the decision and the first byte prevents the send.
func TestDrainBeforeFirstByte(t *testing.T) {
	p, r, seen := newAutoPool(t, 9, "s-1")
	p.Probe("s-1")
	<-seen
	require.Equal(t, decide.OK, <-r.probed)
	p.UpdateInstances(dispatch.InstanceUpdate{Instances: []dispatch.Instance{{ID: "s-1", State: decide.Draining}}})
	p.Send(attempt("s-1"))
	require.Equal(t, decide.NotSent, <-r.ended)
	require.Empty(t, seen)
}

// An attempt that is cancelled before its 202 is cancelled by DELETE too, and confirmed only afterwards.
func TestCancelBefore202(t *testing.T) {
	p, r, seen := newAutoPool(t, 9, "s-1")
	a := attempt("s-1")
	p.Send(a)
	require.Equal(t, "POST", (<-seen).Method)
	p.Cancel(a)
	q := <-seen
	require.Equal(t, []string{"DELETE", "/jobs/c1"}, []string{q.Method, q.Target})
	require.Equal(t, decide.Reset, <-r.ended, "the loop ignores it, since it has cancelled the attempt")
}

// A silent encoder is not reported as a reset at the deadline: the loop reports the time-out first.
func TestSilentEncoderIsNotReportedAsReset(t *testing.T) {
	p, r, seen := newAutoPool(t, 9, "s-1")
	p.Probe("s-1")
	require.Equal(t, decide.OK, <-r.probed)
	require.Eventually(t, func() bool { return p.IdleConns() == 1 }, 20*time.Second, time.Millisecond)
	<-seen
	a := attempt("s-1")
	a.Deadline = time.Now().Add(time.Second)
	p.Send(a)
	require.Equal(t, "POST", (<-seen).Method)
	<-r.ended
	require.WithinRange(t, time.Now(), a.Deadline.Add(graceTime), a.Deadline.Add(time.Minute))
}

// Guards against sending an attempt that waited for its connection after another process has taken it over, cancelled
// it and sent it elsewhere, so that two copies run at once. Nothing that has not been started by the handover is written;
// what has been started continues.
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
	send("/late", func(time.Time) bool { p.CancelUnsent(); return false }) // its connection is established by now
	require.Equal(t, notSent, (<-ends).progress)
	send("/begun", nil)
	require.Equal(t, "/begun", (<-seen).Target)
	p.CancelUnsent()
	send("/take", nil)
	require.Equal(t, "/take", (<-seen).Target)
	require.Equal(t, answered, (<-ends).progress, "the earlier one has not ended")
}

func TestNothingIsSentToUnknownInstance(t *testing.T) {
	p, r, _ := newAutoPool(t, 9)
	p.Send(attempt("s-9"))
	require.Equal(t, decide.NotSent, <-r.ended)
}

// The idempotency key, by which encoders recognize a retry, is sent unchanged with every attempt, and none is made
// up.
func TestIdempotencyKeyIsSentWithEveryAttempt(t *testing.T) {
	p, _, seen := newAutoPool(t, 9, "s-1", "s-2")
	const key = "\"5c0f 6e1a\"; caf\xe9"
	for _, h := range []http1.Header{{{Name: "idempotency-key", Value: key}, {Name: "Cookie", Value: "user=1"}}, nil} {
		for _, id := range []string{"s-1", "s-2"} {
			a := attempt(id)
			a.Command.Payload.(*http1.Request).Header = h
			p.Send(a)
			q := <-seen
			require.Equal(t, h != nil, q.Header.Present("Idempotency-Key"))
			require.Equal(t, h.Get("Idempotency-Key"), q.Header.Get("Idempotency-Key"))
			require.False(t, q.Header.Present("Cookie"))
		}
	}
}

// A response that ends an attempt may carry a load report, and so may the answer to a probe, which uses the path that
// returns one.
func TestLoadReportsOfResponsesAndProbes(t *testing.T) {
	p, r, seen := newAutoPool(t, 9, "s-1")
	p.SetLoadReader(loadreport.New([]string{"x0"}, slog.New(slog.DiscardHandler)))
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

// Guards against reading a second response some milliseconds after the first as the response to the next request on that
// connection: here as an error of a request that the encoder had accepted. Once this has been seen, a connection is
// reused only after it has settled.
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
		require.Eventually(t, func() bool { return p.IdleConns() == n && !p.Busy() }, 20*time.Second, time.Millisecond)
	}
	send("/twice")
	idle(1)
	secondResponse <- true
	<-secondResponse // it lies unread on the idle connection
	send("/take")
	idle(1)
	for range 9 { // from now on, whenever it arrives
		send("/twice")
		send("/take")
		secondResponse <- true
		<-secondResponse
	}
	require.Empty(t, r.ended)
}

// Guards against the first late second response, which no encoder has shown before, being read as the response to a request
// that must not run twice: as a refusal, after which that would be sent again.
func TestLateSecondResponseIsNotReadForSettledAttempt(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	p.settle = time.Minute
	first := e.serveAttempt(p, r)
	a := attempt("s-1")
	a.Settled = true
	p.Send(a)
	c := e.accept()
	c.read()
	first.write("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
	c.write(response202)
	require.Equal(t, a, receive(t, r.accepted))
	require.Empty(t, r.ended)
}

// The most recently used idle connection is taken; if some encoder sends unsolicited data, the most recently used one
// that has settled.
func TestSettledConnectionsArePreferred(t *testing.T) {
	const settle = defaultSettle
	now := time.Now()
	for _, tt := range []struct {
		idle        []time.Duration // idle times of the idle connections
		maxIdle     time.Duration
		unsolicited time.Duration // time ago; 0: never
		taken       int           // index of the connection taken; -1: a new one
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
		ep := &endpoint{}
		for _, d := range tt.idle {
			ep.idle = append(ep.idle, &conn{idleSince: now.Add(-d)})
		}
		if tt.unsolicited > 0 {
			ep.lastUnsolicited = now.Add(-tt.unsolicited)
		}
		want := append([]*conn{nil}, ep.idle...)
		if tt.unsolicited == 0 && tt.maxIdle == 0 && len(ep.idle) > 0 {
			quiet := &endpoint{idle: slices.Clone(ep.idle)}
			require.Same(t, ep.idle[len(ep.idle)-1], quiet.takeIdle(&exchange{correlationID: "c1"}, settle, false, now))
			careful := &endpoint{idle: slices.Clone(ep.idle)}
			var settled *conn
			for i, d := range tt.idle {
				if d >= settle {
					settled = ep.idle[i]
				}
			}
			require.Same(t, settled, careful.takeIdle(&exchange{correlationID: "c1", settled: true}, settle, false, now))
		}
		// The same applies to a cancellation or a probe, which has no correlation ID: a late response would be taken
		// for its own.
		other := &endpoint{idle: slices.Clone(ep.idle), lastUnsolicited: ep.lastUnsolicited}
		require.Same(t, want[tt.taken+1], other.takeIdle(&exchange{method: "DELETE", maxIdle: tt.maxIdle}, settle, true, now), "%+v", tt)
		c := ep.takeIdle(&exchange{correlationID: "c1", maxIdle: tt.maxIdle}, settle, true, now)
		require.Same(t, want[tt.taken+1], c, "%+v", tt)
		require.Len(t, ep.idle, max(0, len(tt.idle)-1)+map[bool]int{true: 1}[c == nil && len(tt.idle) > 0])
	}
}
