package upstream

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
)

const response503 = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"

// sendAttempt sends an attempt on a new connection and has the encoder read it.
func (e *encoder) sendAttempt(p *Pool) (*dispatch.Attempt, *encoderConn) {
	a := attempt("s-1")
	a.NewConn = true
	p.Send(a)
	c := e.accept()
	c.read()
	return a, c
}

// A response that is malformed or too large ends its attempt as a reset, reported once, and closes the connection.
// The encoder is sent a cancellation, since it may believe that it has accepted the job.
func TestMalformedResponses(t *testing.T) {
	const head = "HTTP/1.1 202 Accepted\r\n"
	field := "X: " + strings.Repeat("x", 4000) + "\r\n"
	for name, answer := range map[string]string{
		"no HTTP":                   "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n",
		"no status":                 "HTTP/1.1 abc\r\n\r\n",
		"status below 100":          "HTTP/1.1 099 Low\r\n\r\n",
		"other version":             "HTTP/3.0 202 Accepted\r\n\r\n",
		"endless line":              head + "X: " + strings.Repeat("x", 2*http1.MaxLine),
		"endless head":              head + strings.Repeat(field, 8),
		"too many fields":           head + strings.Repeat("X: x\r\n", http1.MaxFields+1),
		"field without a name":      head + ": x\r\n\r\n",
		"zero byte":                 head + "X: a\x00b\r\n\r\n",
		"endless interim responses": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20),
		"huge length":               head + "Content-Length: 99999999999\r\n\r\n",
		"negative length":           head + "Content-Length: -1\r\n\r\n",
		"length out of range":       head + "Content-Length: 99999999999999999999999\r\n\r\n",
		"two lengths":               head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"length and chunks":         head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"unknown coding":            head + "Transfer-Encoding: gzip\r\n\r\n",
		"bad chunk":                 head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
		"huge chunk":                head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
		"endless chunks":            head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 80),
		"endless trailer":           head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat(field, 8),
		"endless body":              head + "\r\n" + strings.Repeat("x", http1.MaxBody+1),
	} {
		t.Run(name, func(t *testing.T) {
			e := listen(t)
			p, r := newScriptedPool(t, e, 9)
			_, c := e.sendAttempt(p)
			c.write(answer)
			require.Equal(t, decide.Reset, receive(t, r.ended))
			d := e.accept()
			d.expectCancel()
			d.write(response200)
			c.expectClosed()
			awaitIdle(t, p, 1)
			require.Equal(t, 1, openConns(p))
			require.Empty(t, r.ended)
			require.Empty(t, r.accepted)
		})
	}
}

// A truncated response is a reset, whether the connection ends by FIN or by RST. The encoder
// is sent a cancellation, since it may have been accepting the job. A connection that breaks before the first byte of
// a response needs none.
func TestTruncatedResponses(t *testing.T) {
	ends := map[string]func(*encoderConn){
		"FIN": func(c *encoderConn) { require.NoError(t, c.Close()) },
		"RST": (*encoderConn).reset,
	}
	for name, end := range ends {
		for text, cancelled := range map[string]bool{
			"": false, "H": true, "HTTP/1.1 20": true, "HTTP/1.1 202 Accepted\r\n": true,
			"HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\nab":              true,
			"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n5\r\na": true,
			"HTTP/1.1 100 Continue\r\n\r\n":                                     true,
		} {
			t.Run(name+" after "+text, func(t *testing.T) {
				e := listen(t)
				p, r := newScriptedPool(t, e, 9)
				_, c := e.sendAttempt(p)
				c.write(text)
				end(c)
				require.Equal(t, decide.Reset, receive(t, r.ended))
				if cancelled {
					d := e.accept()
					d.expectCancel()
					d.write(response200)
				}
				awaitIdle(t, p, map[bool]int{true: 1}[cancelled])
				e.expectNoConn()
				require.Empty(t, r.ended)
			})
		}
	}
}

// pausingObserver blocks the connection's goroutine after an attempt has been written until the test continues, so
// that a response stays unread.
type pausingObserver struct {
	recorder
	written, resume chan bool
}

func (p pausingObserver) AttemptSent(*dispatch.Attempt) {
	p.written <- true
	<-p.resume
}

// newPausingPool returns a pool that pauses after the last byte of each attempt.
func newPausingPool(t *testing.T, e *encoder) (*Pool, pausingObserver) {
	p, r := newScriptedPool(t, e, 9)
	observer := pausingObserver{r, make(chan bool, 9), make(chan bool, 9)}
	p.SetObserver(observer)
	return p, observer
}

// A complete response counts even if the connection is reset before the response is read. The next request uses
// another connection.
func TestResponseFollowedByReset(t *testing.T) {
	for answer, check := range map[string]func(*testing.T, pausingObserver, *dispatch.Attempt){
		response202: func(t *testing.T, r pausingObserver, a *dispatch.Attempt) {
			require.Equal(t, a, receive(t, r.accepted))
		},
		response503: func(t *testing.T, r pausingObserver, _ *dispatch.Attempt) {
			require.Equal(t, decide.Full, receive(t, r.ended))
		},
	} {
		e := listen(t)
		p, r := newPausingPool(t, e)
		a, c := e.sendAttempt(p)
		receive(t, r.written)
		c.write(answer)
		c.reset()
		r.resume <- true
		check(t, r, a)
		awaitIdle(t, p, 1)
		r.resume <- true
		p.Send(attempt("s-1"))
		e.accept().read()
		require.Empty(t, r.ended)
	}
}

// A reset after the request's last byte and before any response is reported as a reset: the job may be running.
func TestResetAfterLastByte(t *testing.T) {
	e := listen(t)
	p, r := newPausingPool(t, e)
	_, c := e.sendAttempt(p)
	receive(t, r.written)
	c.reset()
	r.resume <- true
	require.Equal(t, decide.Reset, receive(t, r.ended))
	require.Eventually(t, func() bool { return openConns(p) == 0 }, testTimeout, time.Millisecond)
	require.Empty(t, r.ended)
}

// An attempt that is cancelled while its response is unread is cancelled by DELETE too, and the response is
// discarded.
func TestCancelWithUnreadResponse(t *testing.T) {
	e := listen(t)
	p, r := newPausingPool(t, e)
	a, c := e.sendAttempt(p)
	receive(t, r.written)
	c.write(response202)
	p.Cancel(a)
	d := e.accept()
	d.expectCancel()
	r.resume <- true
	require.Equal(t, decide.Reset, receive(t, r.ended), "the loop ignores it")
	d.write(response200)
	awaitIdle(t, p, 1)
	require.Empty(t, r.accepted)
	require.Empty(t, r.ended)
}

// A response that never ends is awaited until the attempt's deadline. Then the attempt is cancelled, the connection
// is closed and one result is reported.
func TestEndlessResponseIsCancelled(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 202 Acc", "HTTP/1.1 202 Accepted\r\n\r\nbody", "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		e := listen(t)
		p, r := newScriptedPool(t, e, 9)
		a, c := e.sendAttempt(p)
		c.write(text)
		p.Cancel(a) // as the loop does at the deadline
		d := e.accept()
		d.expectCancel()
		d.write(response200)
		require.Equal(t, decide.Reset, receive(t, r.ended), "the loop ignores it")
		c.expectClosed()
		awaitIdle(t, p, 1)
		require.Equal(t, 1, openConns(p))
		e.expectNoConn()
		require.Empty(t, r.ended)
	}
}

// If the loop is blocked at the deadline, the pool ends the attempt itself a little later, even if the encoder keeps
// sending: the limit is a point in time, not a time between bytes.
func TestSlowResponseIsBoundedInTime(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	a := attempt("s-1")
	a.Deadline = time.Now().Add(500 * time.Millisecond)
	p.Send(a)
	c := e.accept()
	c.read()
	c.write("HTTP/1.1 202 Accepted\r\nX: ")
	trickle := time.NewTicker(20 * time.Millisecond)
	defer trickle.Stop()
	go func() {
		for range trickle.C {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
		}
	}()
	require.Equal(t, decide.Reset, receive(t, r.ended))
	require.WithinRange(t, time.Now(), a.Deadline.Add(graceTime), a.Deadline.Add(testTimeout))
	e.accept().expectCancel()
}

// A second response is discarded, whether it arrives with the first one or lies on the connection when the next
// request is due. The connection is closed, and the next request uses another.
func TestSecondResponseBeforeNextRequest(t *testing.T) {
	for name, second := range map[string]func(*encoderConn, *Pool){
		"with the first": func(c *encoderConn, p *Pool) {
			c.write(response202 + response503)
		},
		"between two requests": func(c *encoderConn, p *Pool) {
			c.write(response202)
			awaitIdle(c.t, p, 1)
			c.write(response503)
		},
		"half a response between two requests": func(c *encoderConn, p *Pool) {
			c.write(response202)
			awaitIdle(c.t, p, 1)
			c.write("HTTP/1.1 50")
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := listen(t)
			p, r := newScriptedPool(t, e, 9)
			a, c := e.sendAttempt(p)
			second(c, p)
			require.Equal(t, a, receive(t, r.accepted))
			b := attempt("s-1")
			p.Send(b)
			d := e.accept()
			d.read()
			d.write(response202)
			require.Equal(t, b, receive(t, r.accepted))
			c.expectClosed()
			require.Empty(t, r.ended)
		})
	}
}

// A connection that the encoder closes by FIN or RST while it is idle carries nothing more. The closure is detected
// before a byte is written, the connection is replaced, and nothing is reported.
func TestIdleConnectionClosedByEncoder(t *testing.T) {
	for name, end := range map[string]func(*encoderConn){"FIN": func(c *encoderConn) { c.Close() }, "RST": (*encoderConn).reset} {
		t.Run(name, func(t *testing.T) {
			e := listen(t)
			p, r := newScriptedPool(t, e, 9)
			end(e.serveAttempt(p, r))
			p.Send(attempt("s-1"))
			e.accept().read()
			require.Empty(t, r.ended)
			require.Equal(t, 1, openConns(p))
		})
	}
}

// If an idle connection is closed after the check for staleness and before the first byte, the outcome depends on how
// far the request can have got: if it was not written completely it did not run, otherwise it is a reset, since the
// encoder may have read it.
func TestConnectionClosedDuringReuse(t *testing.T) {
	for name, tt := range map[string]struct {
		end  func(*encoderConn)
		want decide.Outcome
	}{
		"FIN": {func(c *encoderConn) { c.Close() }, decide.Reset},
		"RST": {(*encoderConn).reset, decide.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			e := listen(t)
			p, r := newScriptedPool(t, e, 9)
			c := e.serveAttempt(p, r)
			a := attempt("s-1")
			outcome := make(chan result, 1)
			p.start("s-1", &exchange{
				method: "POST", target: "/api", correlationID: "c1", deadline: a.Deadline, newWork: true, onDone: func(e result) { outcome <- e },
				expired: func(time.Time) bool { // called right before the first byte
					tt.end(c)
					return false
				},
			})
			end := receive(t, outcome)
			o, over := end.outcome()
			require.True(t, over)
			require.Equal(t, tt.want, o)
			require.Positive(t, end.connIdle, "the decision module must see that the connection was reused")
			require.Eventually(t, func() bool { return openConns(p) == 0 }, testTimeout, time.Millisecond)
		})
	}
}

// A request whose connection breaks before the last byte is written never ran, whatever the encoder answered before.
func TestConnectionClosedDuringWrite(t *testing.T) {
	for name, end := range map[string]func(*encoderConn){
		"RST":                  func(c *encoderConn) { c.reset() },
		"FIN with unread data": func(c *encoderConn) { c.Close() },
		"refused, then RST":    func(c *encoderConn) { c.write(response503); c.reset() },
		"accepted, then RST":   func(c *encoderConn) { c.write(response202); c.reset() },
		"half, then RST":       func(c *encoderConn) { c.write("HTTP/1.1 50"); c.reset() },
		"error, then FIN":      func(c *encoderConn) { c.write("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			e := listen(t)
			p, r := newScriptedPool(t, e, 9)
			c := e.smallBufferConn(p)
			p.Send(largeAttempt())
			c.readByte()
			end(c)
			require.Equal(t, decide.ConnectFailed, receive(t, r.ended))
			require.Eventually(t, func() bool { return openConns(p) == 0 }, testTimeout, time.Millisecond)
			require.Empty(t, r.ended)
		})
	}
}

// A response that arrives while the request is still being written is read afterwards: a refused request never ran.
func TestResponseDuringWrite(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	c := e.smallBufferConn(p)
	p.Send(largeAttempt())
	c.readByte()
	c.write(response503)
	require.NoError(t, c.br.UnreadByte())
	c.read()
	require.Equal(t, decide.Full, receive(t, r.ended))
	awaitIdle(t, p, 1)
	require.Empty(t, r.ended)
}

// An encoder that answers early and stops reading delays its attempt only until the deadline.
func TestResponseToUnreadRequest(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	c := e.smallBufferConn(p)
	a := largeAttempt()
	a.Deadline = time.Now().Add(time.Second)
	p.Send(a)
	c.readByte()
	c.write(response503)
	require.Equal(t, decide.ConnectFailed, receive(t, r.ended))
	require.WithinRange(t, time.Now(), a.Deadline.Add(graceTime), a.Deadline.Add(testTimeout))
	require.Eventually(t, func() bool { return openConns(p) == 0 }, testTimeout, time.Millisecond)
}
