package upstream

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/net/http1"
)

const deleted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// tellOf starts a give-up, whose confirmation comes on the channel.
func tellOf(p *Pool) (confirmed chan bool) {
	confirmed = make(chan bool, 9)
	p.tell(&giveUp{
		encoder: "s-1", id: "c1", until: time.Now().Add(courtesy), tries: giveUpTries,
		confirm: func() { confirmed <- true },
	})
	return confirmed
}

// isGiveUp checks that a request is one.
func (c *peer) isGiveUp() {
	c.t.Helper()
	q := c.read()
	require.Equal(c.t, []string{"DELETE", "/jobs/c1"}, []string{q.Method, q.Target})
}

// A give-up is confirmed by the encoder's answer, whatever that is, and by nothing before.
func TestGiveUpIsConfirmedByItsAnswer(t *testing.T) {
	for _, answer := range []string{deleted, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"} {
		e := listen(t)
		p, _ := dial(t, e, 9)
		confirmed := tellOf(p)
		c := e.accept()
		c.isGiveUp()
		require.Empty(t, confirmed)
		c.write(answer)
		next(t, confirmed)
	}
}

// A give-up that breaks on a connection that the encoder closes in that moment goes out again, on a new one although others
// are idle; after that it is dropped, and never confirmed.
func TestBrokenGiveUpIsRepeatedOnce(t *testing.T) {
	e := listen(t)
	p, r := dial(t, e, 9)
	kept := e.serves(p, r)
	confirmed := tellOf(p)
	kept.isGiveUp()
	kept.reset()
	c := e.accept()
	c.isGiveUp()
	c.reset()
	rests(t, p, 0)
	require.Zero(t, open(p))
	require.Empty(t, confirmed)
}

// The second give-up does not go over another idle connection, which may be as dead as the first.
func TestRepeatedGiveUpTakesANewConnection(t *testing.T) {
	e := listen(t)
	p, r := dial(t, e, 9)
	p.Send(attempt("s-1"))
	one := e.accept()
	one.read()
	p.Send(attempt("s-1"))
	two := e.accept()
	two.read()
	for _, c := range []*peer{one, two} {
		c.write(accepted)
		next(t, r.taken)
		require.Eventually(t, func() bool { return p.Idle() > 0 }, patience, time.Millisecond)
	}
	rests(t, p, 2)
	confirmed := tellOf(p)
	two.isGiveUp() // the one used last
	two.reset()
	c := e.accept()
	c.isGiveUp()
	c.write(deleted)
	next(t, confirmed)
	one.ends()
}

// A give-up over connections that are refused, or that never come up, is dropped after two tries. The attempt is not confirmed
// as given up: an encoder that refuses may just be full.
func TestGiveUpThatReachesNobody(t *testing.T) {
	for name, shut := range map[string]func(*encoder){
		"refused":       func(e *encoder) { e.Close() },
		"never come up": func(e *encoder) { e.jam() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := listen(t)
			p, _ := dial(t, e, 9)
			p.Retune(time.Millisecond, time.Minute)
			shut(e)
			confirmed := tellOf(p)
			require.Eventually(t, func() bool { return !p.Busy() }, patience, time.Millisecond)
			require.Zero(t, open(p))
			require.Empty(t, confirmed)
		})
	}
}

// A give-up's connection may take longer to come up than one for new work: connections come up late under it too, and
// nothing else tells the encoder.
func TestGiveUpWaitsForItsConnection(t *testing.T) {
	e := listen(t)
	release := e.jam()
	p, _ := dial(t, e, 9)
	p.Retune(time.Millisecond, time.Minute)
	confirmed := make(chan end, 1)
	p.start("s-1", &exchange{
		method: "DELETE", target: "/jobs/c1", deadline: time.Now().Add(patience), patient: true, done: func(e end) { confirmed <- e },
	})
	e.dialed()
	release()
	c := e.accept()
	c.isGiveUp()
	c.write(deleted)
	require.Equal(t, answered, next(t, confirmed).stage)
}

// A give-up for which there is no connection to spare waits for one, and the pool is busy meanwhile.
func TestGiveUpWaitsForAPlace(t *testing.T) {
	e := listen(t)
	p, r := dial(t, e, 1)
	p.Send(attempt("s-1"))
	c := e.accept()
	c.read()
	confirmed := tellOf(p)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.pauses > 0
	}, patience, time.Millisecond)
	require.True(t, p.Busy())
	c.write(accepted)
	next(t, r.taken)
	c.isGiveUp()
	c.write(deleted)
	next(t, confirmed)
	rests(t, p, 1)
}

// A give-up to which the encoder's answer to the attempt comes across ends both: the answer is nobody's, and what follows
// goes out on another connection.
func TestGiveUpCrossesTheAnswer(t *testing.T) {
	e := listen(t)
	p, r := dial(t, e, 9)
	a := attempt("s-1")
	p.Send(a)
	c := e.accept()
	c.read()
	p.Cancel(a)
	d := e.accept()
	d.isGiveUp()
	_, _ = c.TCPConn.Write([]byte(accepted))
	require.Equal(t, decide.Reset, next(t, r.ended), "which the loop drops")
	d.write(deleted)
	rests(t, p, 1)
	require.Empty(t, r.taken)
	require.Empty(t, r.ended)
}

// An attempt that is given up while it is being written is taken back by DELETE: its encoder may have it whole.
func TestGiveUpOfWhatIsBeingWritten(t *testing.T) {
	e := listen(t)
	p, r := dial(t, e, 9)
	c := e.narrow(p)
	a := large()
	p.Send(a)
	c.readByte()
	p.Cancel(a)
	e.accept().isGiveUp()
	require.Equal(t, decide.ConnectFailed, next(t, r.ended), "which the loop drops")
	rest, _ := io.ReadAll(c.br)
	require.Less(t, len(rest), len(a.Command.Payload.(*http1.Request).Body))
}

// The pool is busy as long as a give-up waits for a connection to spare, so that a process that is to end sends it first.
func TestWaitingGiveUpKeepsThePoolBusy(t *testing.T) {
	p := NewPool(Limits{})
	told := make(chan bool)
	p.pause(func() { <-told })
	require.True(t, p.Busy())
	told <- true
	require.Eventually(t, func() bool { return !p.Busy() }, patience, time.Millisecond)
}
