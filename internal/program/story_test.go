package program

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/net/http1"
)

func id(q *http1.Request) string { return q.Header.Get("X-Correlation-Id") }

// The command goes on as it came, and the instance's result is the answer, though the
// call-backs come before the 202, twice, and from others.
func TestServedOnceWithTheInstancesResult(t *testing.T) {
	seen := make(chan *http1.Request, 9)
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool {
		seen <- q
		for _, state := range []string{"started", "done", "done"} {
			require.Equal(t, 204, w.news(id(q), "s-1", state, "the film"))
		}
		return answer(c, 202)
	})
	require.Equal(t, 204, w.news("of-an-earlier-life", "s-1", "done", "x"), "before a restart perhaps")
	c := w.dial()
	w.command(c, "c1", "once", "30000m")
	p := w.read(c)
	require.Equal(t, 200, p.Status)
	require.Equal(t, "the film", string(p.Body))
	q := <-seen
	require.Equal(t, []string{"POST", "/api?cut=1", "the work", "c1"}, []string{q.Method, q.Target, string(q.Body), id(q)})
	left, err := strconv.Atoi(strings.TrimSuffix(q.Header.Get("X-Time-Left"), "m"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 30000)
	require.Equal(t, 1, w.count("commands_answered"))
	w.await(func() bool { return w.count("attempts_ok") == 1 && w.count("news_for_no_attempt") == 2 })
}

// Word of another instance's job, perhaps of an attempt given up, ends nothing here.
func TestNewsFromElsewhereIsNotServed(t *testing.T) {
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool {
		w.news(id(q), "s-2", "done", "not ours")
		w.news(id(q), "s-1", "done", "ours")
		return answer(c, 202)
	})
	c := w.dial()
	w.command(c, "c1", "safe", "30000m")
	require.Equal(t, "ours", string(w.read(c).Body))
}

// A connection that breaks after the last byte is a reset: what must not run twice is not
// sent again, by anyone.
func TestBrokenBeforeThe202IsNotSentAgain(t *testing.T) {
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool { return false })
	c := w.dial()
	w.command(c, "c1", "once", "30000m")
	require.Equal(t, 502, w.read(c).Status)
	require.Equal(t, []int{1, 1}, []int{w.count("attempts_sent"), w.count("attempts_reset")})
}

// What never ran may be refused, and each way of saying so is told apart.
func TestOutcomesByStatus(t *testing.T) {
	t.Parallel()
	for name, status := range map[string]int{"attempts_full": 503, "attempts_errored": 500} {
		w := start(t, func(w *world, c net.Conn, q *http1.Request) bool {
			return answer(c, status, http1.Field{Name: "X-Unprocessed", Value: "1"})
		})
		c := w.dial()
		w.command(c, "c1", "once", "4000m")
		p := w.read(c)
		require.Equal(t, map[int]int{503: 503, 500: 502}[status], p.Status)
		require.GreaterOrEqual(t, w.count(name), 1)
	}
}

func TestRefusedConnectionsAreTold(t *testing.T) {
	t.Parallel()
	w := startAt(t, refusing(t), func(w *world, c net.Conn, q *http1.Request) bool { return false })
	c := w.dial()
	w.command(c, "c1", "once", "4000m")
	require.Equal(t, 503, w.read(c).Status)
	require.GreaterOrEqual(t, w.count("attempts_connect_failed"), 1)
	require.Zero(t, w.count("attempts_reset"))
}

// A silent instance tells nothing: the command is answered inside its time all the same,
// and what the instance may have is taken back.
func TestSilenceEndsInTimeAndIsTakenBack(t *testing.T) {
	t.Parallel()
	took := make(chan string, 9)
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool {
		took <- q.Method + " " + q.Target
		return true
	})
	c := w.dial()
	w.command(c, "c1", "safe", "4000m")
	require.Contains(t, []int{502, 503}, w.read(c).Status)
	require.Equal(t, "POST /api?cut=1", <-took)
	require.Equal(t, "DELETE /jobs/c1", <-took)
}

// A client that leaves lapses its command, and the job is given up.
func TestLeavingClientLapses(t *testing.T) {
	took := make(chan string, 9)
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool {
		took <- q.Method + " " + q.Target
		return answer(c, 202)
	})
	c := w.dial()
	w.command(c, "c1", "once", "30000m")
	require.Equal(t, "POST /api?cut=1", <-took)
	c.Close()
	require.Equal(t, "DELETE /jobs/c1", <-took)
	w.await(func() bool { return w.count("commands_lapsed") == 1 && w.program.loop.Pending() == 0 })
}

// The instance's machine closes idle connections: the next command sees it before a byte is
// written and takes a new connection, not a reset.
func TestStalePooledConnectionIsNotUsed(t *testing.T) {
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool {
		defer w.news(id(q), "s-1", "done", "r")
		return answer(c, 202)
	})
	for i := range 3 {
		c := w.dial()
		w.command(c, fmt.Sprint("c", i), "safe", "30000m")
		require.Equal(t, 200, w.read(c).Status)
		w.await(func() bool { return w.program.pool.Idle() > 0 })
		require.Positive(t, w.instance.cut())
	}
	require.Zero(t, w.count("attempts_reset"))
}

// Once the name table has told of a drain nothing new goes there, and what is lost with the
// watch is asked for again from the last revision.
func TestDrainingInstanceGetsNothingNew(t *testing.T) {
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool { return answer(c, 202) })
	require.Equal(t, "/catalog/members?stream=1&index=7", <-w.targets)
	line := `{"revision":9,"complete":false,"members":[` + member("", "terminating") + "]}\n"
	watch := <-w.watches
	fmt.Fprintf(watch, "%x\r\n%s\r\n", len(line), line)
	w.await(func() bool { return !w.program.pool.Takes("s-1") })
	c := w.dial()
	w.command(c, "c1", "safe", "500m")
	require.Equal(t, 503, w.read(c).Status)
	require.Zero(t, w.count("attempts_sent"))
	watch.Close()
	require.Equal(t, "/catalog/members?stream=1&index=9", <-w.targets)
}

// Discovery that ends every watch takes nothing from service, and once it is back its news
// counts.
func TestServesWhileDiscoveryIsOut(t *testing.T) {
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool {
		w.news(id(q), "s-1", "done", "r")
		return answer(c, 202)
	})
	for i := range 3 {
		<-w.watches
		w.table.cut()
		c := w.dial()
		w.command(c, fmt.Sprint("c", i), "safe", "30000m")
		require.Equal(t, 200, w.read(c).Status)
	}
	line := `{"revision":9,"complete":false,"members":[` + member("", "terminating") + "]}\n"
	fmt.Fprintf(<-w.watches, "%x\r\n%s\r\n", len(line), line)
	w.await(func() bool { return !w.program.pool.Takes("s-1") })
}

// SIGHUP ended the program. It has the file read anew: discovery is watched where the file
// says, whatever the variable of the start says, and its whole list counts. A file that
// cannot be read changes nothing.
func TestReloadMovesTheWatch(t *testing.T) {
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool { return answer(c, 202) })
	require.Equal(t, "/catalog/members?stream=1&index=7", <-w.targets)
	old := <-w.watches
	w.configure("nowhere")
	for range 3 { // the third finds room once the first has been obeyed
		w.signals <- syscall.SIGHUP
	}
	next := w.nameTable()
	w.configure(next.Addr().String())
	w.signals <- syscall.SIGHUP
	require.Equal(t, "/catalog/members?stream=1&index=0", <-w.targets)
	_, err := old.Read(make([]byte, 1))
	require.Error(t, err, "the old watch is ended")
	line := `{"revision":3,"complete":true,"members":[]}` + "\n"
	fmt.Fprintf(<-w.watches, "%x\r\n%s\r\n", len(line), line)
	w.await(func() bool { return !w.program.pool.Takes("s-1") })
	require.Equal(t, Serving, w.program.Phase())
	next.cut() // and what is lost is asked for there
	require.Equal(t, "/catalog/members?stream=1&index=3", <-w.targets)
}

// Settings in the file counted from the next start on. At SIGHUP a class appears and one vanishes
// while a job of it runs, and nothing of a broken file counts.
func TestReloadTakesSettings(t *testing.T) {
	w, took := startAccepting(t)
	reload := func(text, figure, value string) {
		w.settings = text
		w.configure(w.table.Addr().String())
		w.signals <- syscall.SIGHUP
		w.await(func() bool { return w.figure(figure) == value })
	}
	held, c := w.dial(), w.dial()
	w.command(held, "c1", "safe", "30000m")
	require.Equal(t, "c1", <-took)
	reload(strings.Replace(usualSettings, `"DeadlineUs":40000000`, `"DeadlineUs":0`, 1), "load_errors", "1")
	reload(usualSettings[:len(usualSettings)/2], "load_errors", "2")
	w.command(c, "c2", "strict", "30000m")
	require.Equal(t, 400, w.read(c).Status)
	strict := strings.Replace(usualSettings, `{"Name":"safe","Effect":"free"`, `{"Name":"strict","Effect":"single_shot"`, 1)
	reload(strict, "loads", "1")
	require.Equal(t, 204, w.news("c1", "s-1", "done", "r"))
	require.Equal(t, "r", string(w.read(held).Body))
	w.command(c, "c3", "safe", "30000m")
	require.Equal(t, 400, w.read(c).Status)
	w.command(c, "c4", "strict", "30000m")
	require.Equal(t, "c4", <-took)
	require.Equal(t, 204, w.news("c4", "s-1", "lost", ""))
	require.Equal(t, 502, w.read(c).Status, "it must not run twice")
	require.Equal(t, []string{"1", "1", "2"}, []string{w.figure("passed.safe"), w.figure("bad_gateway.strict"), w.figure("load_errors")})
}

// Where lists are pushed the agent on the machine is watched as any name table: from the start on, again at
// once when a watch ends, and wherever a reload moves it. What it tells of a drain holds.
func TestPushedListsAreWatched(t *testing.T) {
	pushed := strings.Replace(usualSettings, `"subscribe"`, `"automatic"`, 1)
	w := startBy(t, pushed, "", func(w *world, c net.Conn, q *http1.Request) bool {
		w.news(id(q), "s-1", "done", "r")
		return answer(c, 202)
	})
	line := func(phase string) string { return member(w.instance.Addr().String(), phase) }
	sent := func(name string, status int) {
		c := w.dial()
		w.command(c, name, "safe", "500m")
		require.Equal(t, status, w.read(c).Status)
	}
	require.Equal(t, "/catalog/members?stream=1&index=7", <-w.targets)
	watch := <-w.watches
	sent("c1", 200)
	tellTable(watch, 9, false, line("terminating"))
	w.await(func() bool { return !w.program.pool.Takes("s-1") })
	sent("c2", 503)
	for range 3 {
		watch.Close()
		require.Equal(t, "/catalog/members?stream=1&index=9", <-w.targets)
		watch = <-w.watches
	}
	next := w.nameTable()
	w.configure(next.Addr().String())
	w.signals <- syscall.SIGHUP
	require.Equal(t, "/catalog/members?stream=1&index=0", <-w.targets)
	tellTable(<-w.watches, 3, true, strings.Replace(line("in_service"), `"up_since_ms":0`, `"up_since_ms":1000`, 1))
	w.await(func() bool { return w.program.pool.Takes("s-1") })
	sent("c3", 200)
}

// Clients that hold as many connections as they may, each with a command that waits, still learn at once that
// there is no room: none of them finds no connection left to be told on.
func TestClientsAreLeftAConnection(t *testing.T) {
	w := startBy(t, strings.Replace(usualSettings, `"OpenCap":100`, `"OpenCap":20000`, 1), "",
		func(w *world, c net.Conn, q *http1.Request) bool { return answer(c, 202) })
	most := w.program.config.Limits.Sockets / clientsPart
	refused := make(chan int, most)
	for i := range most {
		c := w.dial()
		w.command(c, fmt.Sprint("c", i), "safe", "30000m")
		go func() {
			if p, err := http1.ReadResponse(bufio.NewReader(c), "POST"); err == nil {
				refused <- p.Status
			}
		}()
	}
	require.Equal(t, 503, <-refused)
	w.await(func() bool { return w.figure("in_progress") == strconv.Itoa(most-most/8) })
	require.Less(t, w.program.server.Connections(), w.program.bounds.listener)
}

// SIGTERM loses nothing: what is held is answered, new connections and call-backs still
// come, and the program ends by itself.
func TestTerminationAnswersWhatIsHeld(t *testing.T) {
	w, took := startAccepting(t)
	held, idle, ours := w.dial(), w.dial(), w.dial()
	// An instance that keeps its connection and goes on telling of a job given up delays nothing.
	w.post(ours, "/_jobs/news", nil, `{"id":"c0","from":"s-1","state":"running","share":0.4}`)
	require.Equal(t, 204, w.read(ours).Status)
	w.command(held, "c1", "safe", "30000m")
	require.Equal(t, "c1", <-took)
	w.signals <- syscall.SIGTERM
	w.await(func() bool { return w.program.Phase() == Departing })
	late := w.dial() // its command waits for the instance's one slot
	w.command(late, "c2", "safe", "30000m")
	for i, c := range []net.Conn{held, late} {
		if i > 0 {
			require.Equal(t, "c2", <-took)
		}
		require.Equal(t, 204, w.news(fmt.Sprint("c", i+1), "s-1", "done", "r"))
		p := w.read(c)
		require.Equal(t, []any{"r", true}, []any{string(p.Body), p.Close})
	}
	told, err := io.ReadAll(idle)
	require.NoError(t, err, "closed once the front has moved on")
	require.Contains(t, string(told), " 503 ", "it never asked: a request that crossed may be tried again")
	select {
	case err := <-w.ended:
		require.NoError(t, err)
	case <-time.After(patience):
		t.Fatal("it did not end")
	}
}

// Told to send clients away, the program went on saying yes to the front. It says no, takes what
// crosses and what instances tell, closes what is idle, and once told to, serves as before.
func TestQuiesceAndResume(t *testing.T) {
	w, took := startAccepting(t)
	health := func() int {
		c := w.connect()
		defer c.Close()
		fmt.Fprint(c, "GET /_health HTTP/1.1\r\n\r\n")
		return w.read(c).Status
	}
	require.Equal(t, 200, health())
	held, idle, ours := w.dial(), w.dial(), w.dial()
	w.post(ours, "/_jobs/news", nil, `{"id":"c0","from":"s-1","state":"running","share":0.4}`)
	require.Equal(t, 204, w.read(ours).Status)
	w.command(held, "c1", "safe", "30000m")
	require.Equal(t, "c1", <-took)
	for range 2 {
		require.Equal(t, "OK\n", w.call("quiesce"))
		require.Equal(t, 503, health())
	}
	require.Equal(t, "OK\n", w.call("health"), "it could serve")
	_, err := io.ReadAll(idle)
	require.NoError(t, err, "closed")
	require.Equal(t, Quiesced, w.program.Phase())
	require.Equal(t, "1", w.figure("in_progress"))
	w.post(ours, "/_jobs/news", nil, `{"id":"c1","from":"s-1","state":"done","result":"r"}`)
	require.Equal(t, 204, w.read(ours).Status, "an instance's connection stays")
	p := w.read(held)
	require.Equal(t, []any{"r", true}, []any{string(p.Body), p.Close})
	require.Equal(t, "OK\n", w.call("resume"))
	require.Equal(t, 200, health())
	again := w.dial()
	w.command(again, "c2", "safe", "30000m")
	require.Equal(t, "c2", <-took)
	require.Equal(t, 204, w.news("c2", "s-1", "done", "r"))
	require.False(t, w.read(again).Close)
	require.Equal(t, []string{"2", "2", "0"}, []string{w.figure("passed.safe"), w.figure("upstream_tries"), w.figure("bad_gateway.safe")})
}

// Whatever comes in, the answer is plain and the program goes on.
func TestMalformedInput(t *testing.T) {
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool { return answer(c, 202) })
	cmd := "POST /api HTTP/1.1\r\nX-Correlation-Id: a\r\n"
	for text, status := range map[string]int{
		"nonsense\r\n\r\n":                                        400,
		"GET /nowhere HTTP/1.1\r\n\r\n":                           404,
		"GET /api HTTP/1.1\r\n\r\n":                               405,
		"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n":     413,
		"GET /" + strings.Repeat("x", 9000) + " HTTP/1.1\r\n\r\n": 431,
		"POST /_jobs/news HTTP/1.1\r\nContent-Length: 1\r\n\r\n{": 400,
		cmd + "\r\n": 400,
		cmd + "X-Service-Class: safe\r\nX-Time-Left: soon\r\n\r\n":                        400,
		cmd + "X-Service-Class: safe\r\nX-Time-Left: NaNm\r\n\r\n":                        400,
		cmd + "X-Service-Class: safe\r\nX-Time-Left:\r\n\r\n":                             400,
		cmd + "X-Service-Class: safe\r\nX-Correlation-Id: b\r\n\r\n":                      400,
		cmd + "X-Service-Class: safe\r\nX-Service-Class: once\r\n\r\n":                    400,
		"POST /api?a#x HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Service-Class: safe\r\n\r\n":  400,
		cmd + "X-Service-Class: safe\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n": 400,
		cmd + "X-Service-Class: safe\r\nX-Facts: slots=-1\r\n\r\n":                        400,
		"POST /api HTTP/1.1\r\nX-Correlation-Id: a/b\r\nX-Service-Class: safe\r\n\r\n":    400,
		"GET /_health HTTP/1.1\r\n\r\n":                                                   200,
		"GET /_counters HTTP/1.1\r\n\r\n":                                                 200,
	} {
		c := w.dial()
		fmt.Fprint(c, text)
		require.Equal(t, status, w.read(c).Status, text[:min(len(text), 80)])
	}
	require.Zero(t, w.count("commands_taken_in"))
}

// What an instance cannot use is tried nowhere else, and the next command goes there all the
// same: a bad client must not cost an instance its trust.
func TestUnusableCommandSpeaksAgainstNoInstance(t *testing.T) {
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool {
		if id(q) != "c9" {
			return answer(c, 400)
		}
		w.news(id(q), "s-1", "done", "r")
		return answer(c, 202)
	})
	for i := range 3 {
		c := w.dial()
		w.command(c, fmt.Sprint("c", i), "safe", "30000m")
		require.Equal(t, 400, w.read(c).Status)
	}
	require.Equal(t, []int{3, 3}, []int{w.count("attempts_sent"), w.count("commands_unusable")})
	c := w.dial()
	w.command(c, "c9", "once", "30000m")
	require.Equal(t, 200, w.read(c).Status)
}

// An id in hand can't be taken a second time: call-backs could not be told apart.
func TestSecondUseOfAnIDFails(t *testing.T) {
	w, took := startAccepting(t)
	first, second := w.dial(), w.dial()
	w.command(first, "c1", "safe", "30000m")
	<-took
	w.command(second, "c1", "safe", "30000m")
	require.Equal(t, 400, w.read(second).Status)
	require.Equal(t, 204, w.news("c1", "s-1", "done", "r"))
	require.Equal(t, 200, w.read(first).Status)
}
