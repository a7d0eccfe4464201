package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

// setExpired replaces the check whether a waiting attempt may still be sent.
func setExpired(p *Pool, a *dispatch.Attempt, expired func(time.Time) bool) {
	p.mu.Lock()
	x := p.unaccepted[a]
	p.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expired = expired
}

// A connection that is established after its attempt has ended carries nothing of it, and the attempt's end is
// reported once. The connection is kept if it is usable, and closed if its encoder is gone or has a new address.
func TestConnectionEstablishedTooLate(t *testing.T) {
	expired := func(time.Time) bool { return true }
	elsewhere := listen(t)
	for name, tt := range map[string]struct {
		change func(*Pool, *encoder, *dispatch.Attempt)
		open   int
	}{
		"cancelled":                {func(p *Pool, _ *encoder, a *dispatch.Attempt) { p.Cancel(a) }, 1},
		"client gone":              {func(p *Pool, _ *encoder, a *dispatch.Attempt) { setExpired(p, a, expired) }, 1},
		"owned by another process": {func(p *Pool, _ *encoder, _ *dispatch.Attempt) { p.CancelUnsent() }, 1},
		"drain":                    {func(p *Pool, e *encoder, _ *dispatch.Attempt) { p.UpdateInstances(e.update(decide.Draining)) }, 1},
		"gone":                     {func(p *Pool, e *encoder, _ *dispatch.Attempt) { p.UpdateInstances(e.update(decide.Gone)) }, 0},
		"gone from a full list": {func(p *Pool, _ *encoder, _ *dispatch.Attempt) {
			p.UpdateInstances(dispatch.InstanceUpdate{Complete: true})
		}, 0},
		"gone and back": {func(p *Pool, e *encoder, _ *dispatch.Attempt) {
			p.UpdateInstances(e.update(decide.Gone))
			p.UpdateInstances(e.update(decide.Ready))
		}, 0},
		"moved":    {func(p *Pool, _ *encoder, _ *dispatch.Attempt) { p.UpdateInstances(elsewhere.update(decide.Ready)) }, 0},
		"cordoned": {func(p *Pool, _ *encoder, _ *dispatch.Attempt) { p.Cordon("s-1", true) }, 0},
		"restarted": {func(p *Pool, e *encoder, _ *dispatch.Attempt) {
			l := e.update(decide.Ready)
			l.Instances[0].Started = time.Now()
			p.UpdateInstances(l)
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
			tt.change(p, e, a)
			release()
			c := e.accept()
			require.Equal(t, decide.NotSent, receive(t, r.ended))
			awaitIdle(t, p, tt.open)
			require.Equal(t, tt.open, openConns(p))
			p.CloseIdle("s-1")
			c.expectClosed()
			require.Eventually(t, func() bool { return openConns(p) == 0 }, testTimeout, time.Millisecond)
			require.Empty(t, r.ended)
			require.Empty(t, r.accepted)
		})
	}
}

// A connection that is not established by the attempt's deadline or the connect timeout is abandoned, and nothing
// ran.
func TestConnectionNeverEstablished(t *testing.T) {
	for name, bound := range map[string]func(*Pool, *dispatch.Attempt){
		"deadline": func(_ *Pool, a *dispatch.Attempt) { a.Deadline = time.Now().Add(50 * time.Millisecond) },
		"limit":    func(p *Pool, _ *dispatch.Attempt) { p.SetTimeouts(50*time.Millisecond, time.Minute) },
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

// A cancellation whose encoder changes its address while the connection is being opened goes to the new address.
func TestCancellationFollowsAddressChange(t *testing.T) {
	from, to := listen(t), listen(t)
	release := from.blockConnects()
	p, _ := newScriptedPool(t, from, 9)
	p.start("s-1", &exchange{method: "DELETE", target: "/jobs/c1", deadline: time.Now().Add(time.Minute), onDone: func(result) {}})
	from.awaitDial()
	p.UpdateInstances(to.update(decide.Ready))
	release()
	from.accept().expectClosed()
	require.Equal(t, "DELETE", to.accept().read().Method)
}

// Nothing is sent after the attempt's deadline, whether the process was stopped just before the first byte or before
// the dial. That says nothing about the encoder.
func TestNothingIsSentAfterDeadline(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	ends := make(chan result, 1)
	deadline := time.Now().Add(time.Second)
	p.start("s-1", &exchange{
		method: "POST", target: "/api", correlationID: "c1", newWork: true, deadline: deadline,
		expired: func(time.Time) bool { // called once the connection is established
			<-time.After(time.Until(deadline)) // the process is stopped
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
