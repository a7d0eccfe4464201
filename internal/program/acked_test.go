package program

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/clients"
	"caperrelay/internal/net/handover"
	"caperrelay/internal/net/http1"
)

// Guards against an end being lost that an older process has acknowledged and not passed on yet when it dies.
func TestAcknowledgedEndOutlivesTheOlderProcess(t *testing.T) {
	took := make(chan string, 9)
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool {
		took <- id(q)
		return answer(c, 202)
	})
	<-w.watches
	held, ours := w.dial(), w.dial()
	w.command(held, "c1", "once", "3000m")
	require.Equal(t, "c1", <-took)
	const body = `{"id":"c1","from":"s-1","state":"done","result":"r"}`
	call := fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	io.WriteString(ours, call[:30]) // the older process reads it
	w.await(func() bool { return w.program.server.Connections() == 2 })
	older := w.beside()
	tellTable(<-w.watches, 7, true, member(w.instance.Addr().String(), "in_service"))
	w.await(func() bool { return w.program.Phase() == Serving && older.program.Phase() == Yielded })
	stands, goes := make(chan bool), make(chan bool)
	older.program.loop.ExportLearned(func(dispatch.HandoverState) { close(stands); <-goes })
	<-stands
	io.WriteString(ours, call[30:])
	require.Equal(t, 204, w.read(ours).Status, "the encoder does not call again")
	older.program.mu.Lock()
	link := older.program.newer
	older.program.mu.Unlock()
	link.Close() // it dies
	w.await(func() bool { w.program.mu.Lock(); defer w.program.mu.Unlock(); return w.program.older == nil })
	close(goes)
	p := w.read(held)
	require.Equal(t, []any{200, "r"}, []any{p.Status, string(p.Body)})
}

// Guards against a call-back being answered whose end stands behind the handing over of all that is in hand, and goes with the older process.
func TestCallbackThatCrossesTheYieldIsPassedOn(t *testing.T) {
	w, took := startAccepting(t)
	<-w.watches
	held, ours := w.dial(), w.dial()
	w.command(held, "c1", "once", "30000m")
	require.Equal(t, "c1", <-took)
	newer, err := handover.Call(w.program.path())
	require.NoError(t, err)
	passed := make(chan clients.Passed, 9)
	go newer.Run(func(m handover.Message, f *os.File) {
		var p clients.Passed
		if m.Kind == connection && m.Read(&p) == nil && len(p.Rest) > 0 {
			passed <- p
		}
		if f != nil {
			f.Close()
		}
	})
	hold := func() chan bool {
		goes := make(chan bool)
		w.program.loop.ExportLearned(func(dispatch.HandoverState) { <-goes })
		return goes
	}
	before := hold()
	newer.Tell(ready, nil)
	newer.Tell(cordoned, cordoning{"s-1", true}) // once that is heard the loop has been asked to yield
	w.await(func() bool {
		w.program.cordons.mu.Lock()
		defer w.program.cordons.mu.Unlock()
		return w.program.cordons.out["s-1"]
	})
	behind := hold()
	const body = `{"id":"c1","from":"s-1","state":"done","result":"r"}`
	const next = "GET /_health HTTP/1.1\r\n\r\n"
	io.WriteString(ours, "POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n")
	_, err = io.ReadFull(ours, make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))) // the older process reads it
	require.NoError(t, err)
	io.WriteString(ours, chunk(body)+"0\r\n\r\n"+next)
	for range 3 { // meanwhile it reads the rest
		c := w.dial()
		io.WriteString(c, next)
		require.Equal(t, 200, w.read(c).Status)
	}
	close(before)
	select {
	case p := <-passed:
		unread := bufio.NewReader(bytes.NewReader(p.Rest))
		q, err := http1.ReadRequest(unread, nil)
		require.NoError(t, err)
		require.Equal(t, []any{"POST", "/_jobs/news", body, true}, []any{q.Method, q.Target, string(q.Body), q.Close})
		rest, _ := io.ReadAll(unread)
		require.Equal(t, next, string(rest))
	case <-time.After(patience):
		t.Error("the call-back did not go to the newer process")
	}
	close(behind)
	newer.Close()
}
