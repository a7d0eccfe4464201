package program

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/dispatch"
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
	older.program.loop.Learned(func(dispatch.Handed) { close(stands); <-goes })
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
