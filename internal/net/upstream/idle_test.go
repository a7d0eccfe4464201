package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

// A connection that was busy when its encoder changed its address, was removed, was cordoned or restarted is closed when it
// becomes idle, and the next attempt goes to the encoder as listed then.
func TestOutdatedBusyConnectionsAreClosed(t *testing.T) {
	other := listen(t)
	restarted := func(e *encoder) dispatch.InstanceUpdate {
		l := e.update(decide.Ready)
		l.Instances[0].Started = time.Now()
		return l
	}
	for name, change := range map[string]func(*Pool, *encoder) *encoder{
		"moved": func(p *Pool, _ *encoder) *encoder {
			p.UpdateInstances(other.update(decide.Ready))
			return other
		},
		"gone and back": func(p *Pool, e *encoder) *encoder {
			p.UpdateInstances(e.update(decide.Gone))
			p.UpdateInstances(e.update(decide.Ready))
			return e
		},
		"cordoned": func(p *Pool, e *encoder) *encoder {
			p.Cordon("s-1", true)
			p.Cordon("s-1", false)
			return e
		},
		"restarted": func(p *Pool, e *encoder) *encoder {
			p.UpdateInstances(restarted(e))
			return e
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := listen(t)
			p, r := newScriptedPool(t, e, 9)
			p.Send(attempt("s-1"))
			c := e.accept()
			c.read()
			target := change(p, e)
			c.write(response202)
			receive(t, r.accepted)
			c.expectClosed()
			p.Send(attempt("s-1"))
			target.accept().read()
		})
	}
}

// Idle connections are closed at once when the encoder's process is a new one, which does not have them. Those opened
// since are kept.
func TestIdleConnectionsToEarlierProcess(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	before := e.serveAttempt(p, r)
	l := e.update(decide.Ready)
	l.Instances[0].Started = time.Now()
	after := e.serveAttempt(p, r) // replaces the previous one, since it must be a new connection
	before.expectClosed()
	p.UpdateInstances(l)
	awaitIdle(t, p, 1)
	l.Instances[0].Started = time.Now()
	p.UpdateInstances(l)
	after.expectClosed()
	awaitIdle(t, p, 0)
}

// An exchange that was assigned to an idle connection just before its encoder changed its address is not written to
// the old address.
func TestExchangeQueuedBeforeAddressChange(t *testing.T) {
	from, to := listen(t), listen(t)
	p, r := newScriptedPool(t, from, 9)
	c := from.serveAttempt(p, r)
	a := attempt("s-1")
	moves := func(time.Time) bool { // called right before the first byte
		p.UpdateInstances(to.update(decide.Ready))
		return false
	}
	x := &exchange{method: "POST", target: "/api", correlationID: "c1", deadline: a.Deadline, newWork: true, expired: moves, onDone: func(e result) {
		o, _ := e.outcome()
		r.ended <- o
	}}
	p.start("s-1", x)
	require.Equal(t, decide.NotSent, receive(t, r.ended))
	c.expectClosed()
}

// A connection that makes room for another is closed before the other is opened: the limit on connections, and so on
// descriptors, is never exceeded, even when many are replaced at once.
func TestEvictedConnectionIsClosedFirst(t *testing.T) {
	const maxConns = 40
	e := listen(t)
	p, r := newScriptedPool(t, e, maxConns)
	var peers []*encoderConn
	for range maxConns {
		p.Send(attempt("s-1"))
		c := e.accept()
		c.read()
		peers = append(peers, c)
	}
	for _, c := range peers {
		c.write(response202)
		receive(t, r.accepted)
	}
	awaitIdle(t, p, maxConns)
	other := listen(t)
	p.UpdateInstances(dispatch.InstanceUpdate{Instances: []dispatch.Instance{{ID: "s-2", Address: other.Addr().String(), State: decide.Ready}}})
	for i := range maxConns {
		p.mu.Lock()
		oldest := p.endpoints["s-1"].idle[0].nc
		p.mu.Unlock()
		p.Send(attempt("s-2"))
		require.ErrorIs(t, oldest.SetDeadline(time.Time{}), net.ErrClosed)
		require.LessOrEqual(t, openConns(p), maxConns)
		require.Equal(t, maxConns-1-i, p.IdleConns())
	}
	for _, c := range peers {
		c.expectClosed()
	}
}

// A lowered connection limit applies to busy connections too: those above it are closed when they become idle.
func TestLimitAppliesToBusyConnections(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 3)
	var peers []*encoderConn
	for range 3 {
		p.Send(attempt("s-1"))
		c := e.accept()
		c.read()
		peers = append(peers, c)
	}
	p.SetMaxConns(1)
	require.Equal(t, 3, openConns(p))
	for _, c := range peers {
		c.write(response202)
		receive(t, r.accepted)
	}
	awaitIdle(t, p, 1)
	require.Equal(t, 1, openConns(p))
}

// A connection that has been idle for the permitted time carries nothing more, even if its own timer has not closed
// it yet.
func TestConnectionIdleTooLongIsNotUsed(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	c := e.serveAttempt(p, r)
	p.SetTimeouts(time.Minute, time.Nanosecond) // its timer runs by the previous limit
	p.Send(attempt("s-1"))
	c.expectClosed()
	e.accept().read()
}

// If a connection's idle time ends at the moment at which it is assigned work or closed, only one of the two happens,
// and no work is lost.
func TestIdleTimeoutRacesWithNewWork(t *testing.T) {
	p := NewPool(Limits{MaxConns: 9, IdleTimeout: time.Minute})
	ep := &endpoint{id: "s-1", address: "127.0.0.1:1", state: decide.Ready}
	p.endpoints[ep.id] = ep
	expired := make(chan time.Time, 1)
	newIdle := func() *conn {
		nc, peer := net.Pipe()
		t.Cleanup(func() { peer.Close() })
		c := &conn{pool: p, endpoint: ep, exchanges: make(chan *exchange, 1), nc: nc}
		p.mu.Lock()
		p.connCount++
		p.mu.Unlock()
		p.putIdle(c)
		expired <- time.Now()
		return c
	}
	for range 100 { // either may be seen first
		c, work := newIdle(), &exchange{deadline: time.Now().Add(time.Minute)}
		p.start("s-1", work)
		x, ok := c.next(expired)
		require.True(t, ok)
		require.Same(t, work, x)
		p.connEnded(c)
		select {
		case <-expired:
		default:
		}
		c = newIdle()
		p.CloseIdle("s-1")
		_, ok = c.next(expired)
		require.False(t, ok)
		p.connEnded(c)
		select {
		case <-expired:
		default:
		}
		c = newIdle()
		_, ok = c.next(expired)
		require.False(t, ok)
		p.connEnded(c)
		require.Equal(t, []int{0, 0}, []int{p.IdleConns(), openConns(p)})
	}
}
