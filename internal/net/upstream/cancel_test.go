package upstream

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/net/http1"
)

const response200 = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// startCancellation starts a cancellation whose confirmation is sent to the returned channel.
func startCancellation(p *Pool) (confirmed chan bool) {
	confirmed = make(chan bool, 9)
	p.sendCancellation(&cancellation{
		encoder: "s-1", id: "c1", retryUntil: time.Now().Add(graceTime), triesLeft: cancelTries,
		confirm: func() { confirmed <- true },
	})
	return confirmed
}

// expectCancel checks that the next request is a cancellation.
func (c *encoderConn) expectCancel() {
	c.t.Helper()
	q := c.read()
	require.Equal(c.t, []string{"DELETE", "/jobs/c1"}, []string{q.Method, q.Target})
}

// A cancellation is confirmed by any response of the encoder, and by nothing before.
func TestCancellationConfirmedByResponse(t *testing.T) {
	for _, answer := range []string{response200, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"} {
		e := listen(t)
		p, _ := newScriptedPool(t, e, 9)
		confirmed := startCancellation(p)
		c := e.accept()
		c.expectCancel()
		require.Empty(t, confirmed)
		c.write(answer)
		receive(t, confirmed)
	}
}

// A cancellation whose connection is closed by the encoder at that moment is sent again on a new connection, even if
// others are idle. After that it is dropped and never confirmed.
func TestFailedCancellationIsRetriedOnce(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	idle := e.serveAttempt(p, r)
	confirmed := startCancellation(p)
	idle.expectCancel()
	idle.reset()
	c := e.accept()
	c.expectCancel()
	c.reset()
	awaitIdle(t, p, 0)
	require.Zero(t, openConns(p))
	require.Empty(t, confirmed)
}

// The second cancellation does not use another idle connection, which may be broken as well.
func TestRetriedCancellationUsesNewConnection(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	p.Send(attempt("s-1"))
	one := e.accept()
	one.read()
	p.Send(attempt("s-1"))
	two := e.accept()
	two.read()
	for _, c := range []*encoderConn{one, two} {
		c.write(response202)
		receive(t, r.accepted)
		require.Eventually(t, func() bool { return p.IdleConns() > 0 }, testTimeout, time.Millisecond)
	}
	awaitIdle(t, p, 2)
	confirmed := startCancellation(p)
	two.expectCancel() // the most recently used one
	two.reset()
	c := e.accept()
	c.expectCancel()
	c.write(response200)
	receive(t, confirmed)
	one.expectClosed()
}

// A cancellation whose connections are refused or never established is dropped after two tries. It is not confirmed,
// since an encoder that refuses connections may just be overloaded.
func TestUndeliverableCancellation(t *testing.T) {
	for name, block := range map[string]func(*encoder){
		"refused":       func(e *encoder) { e.Close() },
		"never come up": func(e *encoder) { e.blockConnects() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := listen(t)
			p, _ := newScriptedPool(t, e, 9)
			p.SetTimeouts(time.Millisecond, time.Minute)
			block(e)
			confirmed := startCancellation(p)
			require.Eventually(t, func() bool { return !p.Busy() }, testTimeout, time.Millisecond)
			require.Zero(t, openConns(p))
			require.Empty(t, confirmed)
		})
	}
}

// The connect timeout of new work does not apply to a cancellation: connections are also established late under load,
// and nothing else notifies the encoder.
func TestCancellationWaitsForItsConnection(t *testing.T) {
	e := listen(t)
	release := e.blockConnects()
	p, _ := newScriptedPool(t, e, 9)
	p.SetTimeouts(time.Millisecond, time.Minute)
	confirmed := make(chan result, 1)
	p.start("s-1", &exchange{
		method: "DELETE", target: "/jobs/c1", deadline: time.Now().Add(testTimeout), connectUntilDeadline: true, onDone: func(e result) { confirmed <- e },
	})
	e.awaitDial()
	release()
	c := e.accept()
	c.expectCancel()
	c.write(response200)
	require.Equal(t, answered, receive(t, confirmed).progress)
}

// A cancellation without a free connection waits for one, and the pool is busy meanwhile.
func TestCancellationWaitsForFreeConnection(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 1)
	p.Send(attempt("s-1"))
	c := e.accept()
	c.read()
	confirmed := startCancellation(p)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.pendingRetries > 0
	}, testTimeout, time.Millisecond)
	require.True(t, p.Busy())
	c.write(response202)
	receive(t, r.accepted)
	c.expectCancel()
	c.write(response200)
	receive(t, confirmed)
	awaitIdle(t, p, 1)
}

// If a cancellation crosses the encoder's response to the attempt, the response is discarded, and what follows uses
// another connection.
func TestCancelCrossesResponse(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	a := attempt("s-1")
	p.Send(a)
	c := e.accept()
	c.read()
	p.Cancel(a)
	d := e.accept()
	d.expectCancel()
	_, _ = c.TCPConn.Write([]byte(response202))
	require.Equal(t, decide.Reset, receive(t, r.ended), "the loop ignores it")
	d.write(response200)
	awaitIdle(t, p, 1)
	require.Empty(t, r.accepted)
	require.Empty(t, r.ended)
}

// An attempt that is cancelled while it is being written is cancelled by DELETE, since the encoder may have all of
// it.
func TestCancelDuringWrite(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	c := e.smallBufferConn(p)
	a := largeAttempt()
	p.Send(a)
	c.readByte()
	p.Cancel(a)
	e.accept().expectCancel()
	require.Equal(t, decide.ConnectFailed, receive(t, r.ended), "the loop ignores it")
	rest, _ := io.ReadAll(c.br)
	require.Less(t, len(rest), len(a.Command.Payload.(*http1.Request).Body))
}

// The pool is busy while a cancellation waits for a free connection, so that a process that is about to end sends it
// first.
func TestWaitingCancellationKeepsPoolBusy(t *testing.T) {
	p := NewPool(Limits{})
	release := make(chan bool)
	p.retryLater(func() { <-release })
	require.True(t, p.Busy())
	release <- true
	require.Eventually(t, func() bool { return !p.Busy() }, testTimeout, time.Millisecond)
}
