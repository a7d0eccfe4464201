package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

// setExpired replaces what tells whether an attempt that waits is still to be sent.
func setExpired(p *Pool, a *dispatch.Attempt, expired func(time.Time) bool) {
	p.mu.Lock()
	x := p.unaccepted[a]
	p.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expired = expired
}

// A connection that comes up once its attempt is no more carries nothing of it, and the attempt's end is told once. The
// connection is kept where it is of use, and closed where its encoder has gone or moved.
func TestConnectionEstablishedTooLate(t *testing.T) {
	gone := func(time.Time) bool { return true }
	elsewhere := listen(t)
	for name, one := range map[string]struct {
		cross func(*Pool, *encoder, *dispatch.Attempt)
		kept  int
	}{
		"given up":              {func(p *Pool, _ *encoder, a *dispatch.Attempt) { p.Cancel(a) }, 1},
		"client gone":           {func(p *Pool, _ *encoder, a *dispatch.Attempt) { setExpired(p, a, gone) }, 1},
		"another process's":     {func(p *Pool, _ *encoder, _ *dispatch.Attempt) { p.Unsend() }, 1},
		"drain":                 {func(p *Pool, e *encoder, _ *dispatch.Attempt) { p.Listed(e.update(decide.Draining)) }, 1},
		"gone":                  {func(p *Pool, e *encoder, _ *dispatch.Attempt) { p.Listed(e.update(decide.Gone)) }, 0},
		"gone from a full list": {func(p *Pool, _ *encoder, _ *dispatch.Attempt) { p.Listed(dispatch.InstanceUpdate{Complete: true}) }, 0},
		"gone and back": {func(p *Pool, e *encoder, _ *dispatch.Attempt) {
			p.Listed(e.update(decide.Gone))
			p.Listed(e.update(decide.Ready))
		}, 0},
		"moved":    {func(p *Pool, _ *encoder, _ *dispatch.Attempt) { p.Listed(elsewhere.update(decide.Ready)) }, 0},
		"cordoned": {func(p *Pool, _ *encoder, _ *dispatch.Attempt) { p.Cordon("s-1", true) }, 0},
		"started anew": {func(p *Pool, e *encoder, _ *dispatch.Attempt) {
			l := e.update(decide.Ready)
			l.Instances[0].Started = time.Now()
			p.Listed(l)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := listen(t)
			release := e.blockConnects()
			p, r := newScriptedPool(t, e, 9)
			a := attempt("s-1")
			p.Send(a)
			e.awaitDial()
			one.cross(p, e, a)
			release()
			c := e.accept()
			require.Equal(t, decide.NotSent, receive(t, r.ended))
			awaitIdle(t, p, one.kept)
			require.Equal(t, one.kept, openConns(p))
			p.CloseIdle("s-1")
			c.expectClosed()
			require.Eventually(t, func() bool { return openConns(p) == 0 }, testTimeout, time.Millisecond)
			require.Empty(t, r.ended)
			require.Empty(t, r.accepted)
		})
	}
}

// A connection that is still not up at the attempt's deadline, or where it has to be, is given up, and nothing ran.
func TestConnectionNeverEstablished(t *testing.T) {
	for name, bound := range map[string]func(*Pool, *dispatch.Attempt){
		"deadline": func(_ *Pool, a *dispatch.Attempt) { a.Deadline = time.Now().Add(50 * time.Millisecond) },
		"limit":    func(p *Pool, _ *dispatch.Attempt) { p.Retune(50*time.Millisecond, time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := listen(t)
			e.blockConnects()
			p, r := newScriptedPool(t, e, 9)
			a := attempt("s-1")
			bound(p, a)
			p.Send(a)
			require.Equal(t, decide.ConnectFailed, receive(t, r.ended))
			require.Eventually(t, func() bool { return openConns(p) == 0 }, testTimeout, time.Millisecond)
			require.Empty(t, r.ended)
		})
	}
}

// A give-up whose encoder moves while its connection comes up goes to the new address.
func TestCancellationFollowsAddressChange(t *testing.T) {
	from, to := listen(t), listen(t)
	release := from.blockConnects()
	p, _ := newScriptedPool(t, from, 9)
	p.start("s-1", &exchange{method: "DELETE", target: "/jobs/c1", deadline: time.Now().Add(time.Minute), onDone: func(result) {}})
	from.awaitDial()
	p.Listed(to.update(decide.Ready))
	release()
	from.accept().expectClosed()
	require.Equal(t, "DELETE", to.accept().read().Method)
}

// Nothing is begun once the attempt's deadline has passed, be it that the process stood still just before the first byte or
// before the dial. It speaks against no encoder.
func TestNothingIsSentAfterDeadline(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	ends := make(chan result, 1)
	deadline := time.Now().Add(time.Second)
	p.start("s-1", &exchange{
		method: "POST", target: "/api", correlationID: "c1", newWork: true, deadline: deadline,
		expired: func(time.Time) bool { // asked once the connection is up
			<-time.After(time.Until(deadline)) // the process stands still
			return false
		},
		onDone: func(e result) { ends <- e },
	})
	c := e.accept()
	require.Equal(t, notSent, receive(t, ends).progress)
	awaitIdle(t, p, 1)
	p.CloseIdle("s-1")
	c.expectClosed()

	a := attempt("s-1")
	a.Deadline = time.Now()
	p.Send(a)
	require.Equal(t, decide.NotSent, receive(t, r.ended))
	require.Eventually(t, func() bool { return openConns(p) == 0 }, testTimeout, time.Millisecond)
}
