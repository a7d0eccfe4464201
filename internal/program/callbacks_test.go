package program

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/clients"
	"caperrelay/internal/net/handover"
	"caperrelay/internal/net/http1"
)

// Guards against losing a result that an older process has acknowledged but not yet forwarded when it dies.
func TestAcknowledgedResultSurvivesOlderProcess(t *testing.T) {
	accepted := make(chan string, 9)
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		accepted <- id(q)
		return respond(c, 202)
	})
	<-env.watches
	pending, encoder := env.dial(), env.dial()
	env.sendCommand(pending, "c1", "once", "3000m")
	require.Equal(t, "c1", <-accepted)
	const body = `{"id":"c1","from":"s-1","state":"done","result":"r"}`
	call := fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	io.WriteString(encoder, call[:30]) // the older process reads it
	env.await(func() bool { return env.program.server.Connections() == 2 })
	older := env.startNewer()
	sendList(<-env.watches, 7, true, member(env.instance.Addr().String(), "in_service"))
	env.await(func() bool { return env.program.Phase() == Serving && older.program.Phase() == HandedOver })
	blocked, proceed := make(chan bool), make(chan bool)
	older.program.loop.ExportLearned(func(dispatch.HandoverState) { close(blocked); <-proceed })
	<-blocked
	io.WriteString(encoder, call[30:])
	require.Equal(t, 204, env.read(encoder).Status, "the encoder does not repeat the callback")
	older.program.mu.Lock()
	link := older.program.newer
	older.program.mu.Unlock()
	link.Close() // the older process loses its link
	env.await(func() bool { env.program.mu.Lock(); defer env.program.mu.Unlock(); return env.program.older == nil })
	close(proceed)
	p := env.read(pending)
	require.Equal(t, []any{200, "r"}, []any{p.Status, string(p.Body)})
}

// Guards against answering a callback whose result is queued behind the handover of all pending commands, and is
// lost with the older process.
func TestCallbackDuringHandoverIsForwarded(t *testing.T) {
	env, accepted := startAccepting(t)
	<-env.watches
	pending, encoder := env.dial(), env.dial()
	env.sendCommand(pending, "c1", "once", "30000m")
	require.Equal(t, "c1", <-accepted)
	newer, err := handover.Dial(env.program.socketPath())
	require.NoError(t, err)
	passed := make(chan clients.PassedConn, 9)
	go newer.Run(func(m handover.Message, f *os.File) {
		var p clients.PassedConn
		if m.Kind == msgConnection && m.Decode(&p) == nil && len(p.Received) > 0 {
			passed <- p
		}
		if f != nil {
			f.Close()
		}
	})
	block := func() chan bool {
		proceed := make(chan bool)
		env.program.loop.ExportLearned(func(dispatch.HandoverState) { <-proceed })
		return proceed
	}
	unblockFirst := block()
	newer.Send(msgReady, nil)
	newer.Send(msgCordon, cordonChange{"s-1", true}) // once this is applied, the loop has been asked to hand over
	env.await(func() bool {
		env.program.cordons.mu.Lock()
		defer env.program.cordons.mu.Unlock()
		return env.program.cordons.cordoned["s-1"]
	})
	unblockSecond := block()
	const body = `{"id":"c1","from":"s-1","state":"done","result":"r"}`
	const next = "GET /_health HTTP/1.1\r\n\r\n"
	io.WriteString(encoder, "POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n")
	_, err = io.ReadFull(encoder, make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))) // the older process reads it
	require.NoError(t, err)
	io.WriteString(encoder, chunk(body)+"0\r\n\r\n"+next)
	for range 3 { // meanwhile it reads the rest
		c := env.dial()
		io.WriteString(c, next)
		require.Equal(t, 200, env.read(c).Status)
	}
	close(unblockFirst)
	select {
	case p := <-passed:
		unread := bufio.NewReader(bytes.NewReader(p.Received))
		q, err := http1.ReadRequest(unread, nil)
		require.NoError(t, err)
		require.Equal(t, []any{"POST", "/_jobs/news", body, true}, []any{q.Method, q.Target, string(q.Body), q.Close})
		rest, _ := io.ReadAll(unread)
		require.Equal(t, next, string(rest))
	case <-time.After(testTimeout):
		t.Error("the callback was not forwarded to the newer process")
	}
	close(unblockSecond)
	newer.Close()
}

// Guards against an encoder's repeated callback "returned", of which the answer was lost, ending the attempt that the
// encoder has got since: the command then ran twice. The process that gets the repetition may be a newer one.
func TestRepeatedReturnDoesNotEndLaterAttempt(t *testing.T) {
	for name, takeOver := range map[string]bool{"same process": false, "newer process": true} {
		t.Run(name, func(t *testing.T) {
			accepted := make(chan string, 9)
			settings := strings.ReplaceAll(defaultSettings, `"AimUs":20000000`, `"AimUs":20000,"LateWorth":0.5`) // for a short pause between attempts
			env := startWith(t, settings, "", func(env *testEnv, c net.Conn, q *http1.Request) bool {
				accepted <- id(q)
				return respond(c, 202)
			})
			<-env.watches
			pending := env.dial()
			env.sendCommand(pending, "c1", "once", "30000m")
			require.Equal(t, "c1", <-accepted)
			require.Equal(t, 204, env.callback("c1", "s-1", "returned", ""))
			require.Equal(t, "c1", <-accepted)
			if takeOver {
				older := env.startNewer()
				sendList(<-env.watches, 7, true, member(env.instance.Addr().String(), "in_service"))
				env.await(func() bool { return env.program.Phase() == Serving && older.program.Phase() == HandedOver })
			}
			require.Equal(t, 204, env.callback("c1", "s-1", "returned", ""), "repeats the first, when the encoder has the second attempt")
			env.sendCommand(env.dial(), "c2", "safe", "30000m") // follows a third attempt of c1
			require.Equal(t, "c2", <-accepted, "the command runs already, and was sent once more")
			require.Equal(t, 204, env.callback("c1", "s-1", "done", "r"))
			p := env.read(pending)
			require.Equal(t, []any{200, "r"}, []any{p.Status, string(p.Body)})
		})
	}
}
