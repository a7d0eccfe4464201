package instances

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

// A connection that was busy when its encoder moved, went or was left out is closed once it rests, and the next attempt goes
// to the encoder as it is listed by then.
func TestBusyConnectionsOutliveNoMove(t *testing.T) {
	to := listen(t)
	restarted := func(e *encoder) dispatch.List {
		l := e.list(decide.Ready)
		l.Members[0].Started = time.Now()
		return l
	}
	for name, cross := range map[string]func(*Pool, *encoder) *encoder{
		"moved": func(p *Pool, _ *encoder) *encoder {
			p.Listed(to.list(decide.Ready))
			return to
		},
		"gone and back": func(p *Pool, e *encoder) *encoder {
			p.Listed(e.list(decide.Gone))
			p.Listed(e.list(decide.Ready))
			return e
		},
		"cordoned": func(p *Pool, e *encoder) *encoder {
			p.Cordon("s-1", true)
			p.Cordon("s-1", false)
			return e
		},
		"started anew": func(p *Pool, e *encoder) *encoder {
			p.Listed(restarted(e))
			return e
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := listen(t)
			p, r := dial(t, e, 9)
			p.Send(attempt("s-1"))
			c := e.accept()
			c.read()
			place := cross(p, e)
			c.write(accepted)
			next(t, r.taken)
			c.ends()
			p.Send(attempt("s-1"))
			place.accept().read()
		})
	}
}

// Idle connections are closed at once when the encoder's process is a new one, which knows none of them; those made
// since stay.
func TestIdleConnectionsToAnEarlierProcess(t *testing.T) {
	e := listen(t)
	p, r := dial(t, e, 9)
	old := e.serves(p, r)
	l := e.list(decide.Ready)
	l.Members[0].Started = time.Now()
	young := e.serves(p, r) // which closes the one before, being a fresh one
	old.ends()
	p.Listed(l)
	rests(t, p, 1)
	l.Members[0].Started = time.Now()
	p.Listed(l)
	young.ends()
	rests(t, p, 0)
}

// An exchange that was handed to an idle connection just before its encoder moved is not written to the old address.
func TestWorkHandedOverBeforeAMove(t *testing.T) {
	from, to := listen(t), listen(t)
	p, r := dial(t, from, 9)
	c := from.serves(p, r)
	a := attempt("s-1")
	moves := func(time.Time) bool { // asked directly before the first byte
		p.Listed(to.list(decide.Ready))
		return false
	}
	x := &exchange{method: "POST", target: "/api", id: "c1", deadline: a.Deadline, gated: true, expired: moves, done: func(e end) {
		o, _ := e.outcome()
		r.ended <- o
	}}
	p.start("s-1", x)
	require.Equal(t, decide.Moot, next(t, r.ended))
	c.ends()
}
