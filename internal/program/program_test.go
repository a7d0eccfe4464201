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

// The command reaches the instance unchanged, and the instance's result is the response, though callbacks arrive
// before the 202, twice, and from other instances.
func TestServedOnceWithInstanceResult(t *testing.T) {
	seen := make(chan *http1.Request, 9)
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		seen <- q
		for _, state := range []string{"started", "done", "done"} {
			require.Equal(t, 204, env.callback(id(q), "s-1", state, "the film"))
		}
		return respond(c, 202)
	})
	require.Equal(t, 204, env.callback("of-an-earlier-life", "s-1", "done", "x"), "of an unknown job, perhaps from before a restart")
	c := env.dial()
	env.sendCommand(c, "c1", "once", "30000m")
	p := env.read(c)
	require.Equal(t, 200, p.Status)
	require.Equal(t, "the film", string(p.Body))
	q := <-seen
	require.Equal(t, []string{"POST", "/api?cut=1", "the work", "c1"}, []string{q.Method, q.Target, string(q.Body), id(q)})
	left, err := strconv.Atoi(strings.TrimSuffix(q.Header.Get("X-Time-Left"), "m"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 30000)
	require.Equal(t, 1, env.counter("commands_answered"))
	env.await(func() bool { return env.counter("attempts_ok") == 1 && env.counter("news_for_no_attempt") == 2 })
}

// A callback from another instance, perhaps of a cancelled attempt, does not end the command.
func TestCallbackOfOtherInstanceIsIgnored(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		env.callback(id(q), "s-2", "done", "not ours")
		env.callback(id(q), "s-1", "done", "ours")
		return respond(c, 202)
	})
	c := env.dial()
	env.sendCommand(c, "c1", "safe", "30000m")
	require.Equal(t, "ours", string(env.read(c).Body))
}

// A connection that breaks after the last byte counts as a reset: a command that must not run twice is not sent
// again, by anyone.
func TestBrokenBefore202IsNotRetried(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return false })
	c := env.dial()
	env.sendCommand(c, "c1", "once", "30000m")
	require.Equal(t, 502, env.read(c).Status)
	require.Equal(t, []int{1, 1}, []int{env.counter("attempts_sent"), env.counter("attempts_reset")})
}

// A 503 with X-Unprocessed counts as full, and the command may be refused. A 500 counts as errored, and the client
// gets a 502.
func TestOutcomesByStatus(t *testing.T) {
	t.Parallel()
	for name, status := range map[string]int{"attempts_full": 503, "attempts_errored": 500} {
		env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
			return respond(c, status, http1.Field{Name: "X-Unprocessed", Value: "1"})
		})
		c := env.dial()
		env.sendCommand(c, "c1", "once", "4000m")
		p := env.read(c)
		require.Equal(t, map[int]int{503: 503, 500: 502}[status], p.Status)
		require.GreaterOrEqual(t, env.counter(name), 1)
	}
}

func TestRefusedConnectionsAreCounted(t *testing.T) {
	t.Parallel()
	env := startWithAddress(t, refusingAddress(t), func(env *testEnv, c net.Conn, q *http1.Request) bool { return false })
	c := env.dial()
	env.sendCommand(c, "c1", "once", "4000m")
	require.Equal(t, 503, env.read(c).Status)
	require.GreaterOrEqual(t, env.counter("attempts_connect_failed"), 1)
	require.Zero(t, env.counter("attempts_reset"))
}

// With an instance that sends nothing the command is still answered within its time, and the instance's job is
// cancelled.
func TestSilentInstanceIsCancelledInTime(t *testing.T) {
	t.Parallel()
	accepted := make(chan string, 9)
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		accepted <- q.Method + " " + q.Target
		return true
	})
	c := env.dial()
	env.sendCommand(c, "c1", "safe", "4000m")
	require.Contains(t, []int{502, 503}, env.read(c).Status)
	require.Equal(t, "POST /api?cut=1", <-accepted)
	require.Equal(t, "DELETE /jobs/c1", <-accepted)
}

// When a client disconnects, its command is cancelled, and so is the job.
func TestClientDisconnectCancelsJob(t *testing.T) {
	accepted := make(chan string, 9)
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		accepted <- q.Method + " " + q.Target
		return respond(c, 202)
	})
	c := env.dial()
	env.sendCommand(c, "c1", "once", "30000m")
	require.Equal(t, "POST /api?cut=1", <-accepted)
	c.Close()
	require.Equal(t, "DELETE /jobs/c1", <-accepted)
	env.await(func() bool { return env.counter("commands_lapsed") == 1 && env.program.loop.Pending() == 0 })
}

// The instance's machine closes idle connections: the next command detects that before a byte is written and uses
// a new connection, so it is not a reset.
func TestStalePooledConnectionIsNotUsed(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		defer env.callback(id(q), "s-1", "done", "r")
		return respond(c, 202)
	})
	for i := range 3 {
		c := env.dial()
		env.sendCommand(c, fmt.Sprint("c", i), "safe", "30000m")
		require.Equal(t, 200, env.read(c).Status)
		env.await(func() bool { return env.program.pool.IdleConns() > 0 })
		require.Positive(t, env.instance.closeConns())
	}
	require.Zero(t, env.counter("attempts_reset"))
}

// Once discovery has reported a drain, nothing new is sent to that instance, and a watch that breaks resumes at
// the last revision.
func TestDrainingInstanceGetsNothingNew(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
	require.Equal(t, "/catalog/members?stream=1&index=7", <-env.targets)
	line := `{"revision":9,"complete":false,"members":[` + member("", "terminating") + "]}\n"
	watch := <-env.watches
	fmt.Fprintf(watch, "%x\r\n%s\r\n", len(line), line)
	env.await(func() bool { return !env.program.pool.Available("s-1") })
	c := env.dial()
	env.sendCommand(c, "c1", "safe", "500m")
	require.Equal(t, 503, env.read(c).Status)
	require.Zero(t, env.counter("attempts_sent"))
	watch.Close()
	require.Equal(t, "/catalog/members?stream=1&index=9", <-env.targets)
}

// If discovery ends every watch, all instances stay in service, and updates apply again once it is back.
func TestServesDuringDiscoveryOutage(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		env.callback(id(q), "s-1", "done", "r")
		return respond(c, 202)
	})
	for i := range 3 {
		<-env.watches
		env.discoveryServer.closeConns()
		c := env.dial()
		env.sendCommand(c, fmt.Sprint("c", i), "safe", "30000m")
		require.Equal(t, 200, env.read(c).Status)
	}
	line := `{"revision":9,"complete":false,"members":[` + member("", "terminating") + "]}\n"
	fmt.Fprintf(<-env.watches, "%x\r\n%s\r\n", len(line), line)
	env.await(func() bool { return !env.program.pool.Available("s-1") })
}

// Guards against SIGHUP ending the program. It rereads the file: discovery is watched at the address in the file,
// whatever the environment variable said at the start, and its complete list applies. A file that cannot be read
// changes nothing.
func TestReloadMovesWatch(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
	require.Equal(t, "/catalog/members?stream=1&index=7", <-env.targets)
	old := <-env.watches
	env.configure("nowhere")
	for range 3 { // the third is queued once the first has been handled
		env.signals <- syscall.SIGHUP
	}
	next := env.startDiscovery()
	env.configure(next.Addr().String())
	env.signals <- syscall.SIGHUP
	require.Equal(t, "/catalog/members?stream=1&index=0", <-env.targets)
	_, err := old.Read(make([]byte, 1))
	require.Error(t, err, "the old watch is closed")
	line := `{"revision":3,"complete":true,"members":[]}` + "\n"
	fmt.Fprintf(<-env.watches, "%x\r\n%s\r\n", len(line), line)
	env.await(func() bool { return !env.program.pool.Available("s-1") })
	require.Equal(t, Serving, env.program.Phase())
	next.closeConns() // a broken watch resumes there
	require.Equal(t, "/catalog/members?stream=1&index=3", <-env.targets)
}

// Guards against settings that take effect only at the next start. At SIGHUP one class appears and another is
// removed while a job of it runs, and a broken file has no effect at all.
func TestReloadAppliesSettings(t *testing.T) {
	env, accepted := startAccepting(t)
	reload := func(text, counter, value string) {
		env.settings = text
		env.configure(env.discoveryServer.Addr().String())
		env.signals <- syscall.SIGHUP
		env.await(func() bool { return env.operatorCounter(counter) == value })
	}
	pending, c := env.dial(), env.dial()
	env.sendCommand(pending, "c1", "safe", "30000m")
	require.Equal(t, "c1", <-accepted)
	reload(strings.Replace(defaultSettings, `"DeadlineUs":40000000`, `"DeadlineUs":0`, 1), "load_errors", "1")
	reload(defaultSettings[:len(defaultSettings)/2], "load_errors", "2")
	env.sendCommand(c, "c2", "strict", "30000m")
	require.Equal(t, 400, env.read(c).Status)
	strict := strings.Replace(defaultSettings, `{"Name":"safe","Effect":"free"`, `{"Name":"strict","Effect":"single_shot"`, 1)
	reload(strict, "loads", "1")
	require.Equal(t, 204, env.callback("c1", "s-1", "done", "r"))
	require.Equal(t, "r", string(env.read(pending).Body))
	env.sendCommand(c, "c3", "safe", "30000m")
	require.Equal(t, 400, env.read(c).Status)
	env.sendCommand(c, "c4", "strict", "30000m")
	require.Equal(t, "c4", <-accepted)
	require.Equal(t, 204, env.callback("c4", "s-1", "lost", ""))
	require.Equal(t, 502, env.read(c).Status, "it must not run twice")
	require.Equal(t, []string{"1", "1", "2"}, []string{env.operatorCounter("passed.safe"), env.operatorCounter("bad_gateway.strict"), env.operatorCounter("load_errors")})
}

// Where lists are pushed, the local agent is watched like any discovery service: from the start, again as soon as
// a watch ends, and at the new address after a reload. Its drains apply.
func TestPushedListsAreWatched(t *testing.T) {
	pushed := strings.Replace(defaultSettings, `"subscribe"`, `"automatic"`, 1)
	env := startWith(t, pushed, "", func(env *testEnv, c net.Conn, q *http1.Request) bool {
		env.callback(id(q), "s-1", "done", "r")
		return respond(c, 202)
	})
	line := func(phase string) string { return member(env.instance.Addr().String(), phase) }
	sent := func(name string, status int) {
		c := env.dial()
		env.sendCommand(c, name, "safe", "500m")
		require.Equal(t, status, env.read(c).Status)
	}
	require.Equal(t, "/catalog/members?stream=1&index=7", <-env.targets)
	watch := <-env.watches
	sent("c1", 200)
	sendList(watch, 9, false, line("terminating"))
	env.await(func() bool { return !env.program.pool.Available("s-1") })
	sent("c2", 503)
	for range 3 {
		watch.Close()
		require.Equal(t, "/catalog/members?stream=1&index=9", <-env.targets)
		watch = <-env.watches
	}
	next := env.startDiscovery()
	env.configure(next.Addr().String())
	env.signals <- syscall.SIGHUP
	require.Equal(t, "/catalog/members?stream=1&index=0", <-env.targets)
	sendList(<-env.watches, 3, true, strings.Replace(line("in_service"), `"up_since_ms":0`, `"up_since_ms":1000`, 1))
	env.await(func() bool { return env.program.pool.Available("s-1") })
	sent("c3", 200)
}

// Clients that hold as many connections as they may, each with a waiting command, still learn at once that the
// limit is reached: a connection is left for each refusal.
func TestClientsKeepAFreeConnection(t *testing.T) {
	env := startWith(t, strings.Replace(defaultSettings, `"OpenCap":100`, `"OpenCap":20000`, 1), "",
		func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
	maxConns := env.program.config.Limits.Sockets / clientsDivisor
	refused := make(chan int, maxConns)
	for i := range maxConns {
		c := env.dial()
		env.sendCommand(c, fmt.Sprint("c", i), "safe", "30000m")
		go func() {
			if p, err := http1.ReadResponse(bufio.NewReader(c), "POST"); err == nil {
				refused <- p.Status
			}
		}()
	}
	require.Equal(t, 503, <-refused)
	env.await(func() bool { return env.operatorCounter("in_progress") == strconv.Itoa(maxConns-maxConns/8) })
	require.Less(t, env.program.server.Connections(), env.program.connLimits.listener)
}

// SIGTERM loses nothing: pending commands are answered, new connections and callbacks are still accepted, and the
// program ends by itself.
func TestTerminationAnswersPendingCommands(t *testing.T) {
	env, accepted := startAccepting(t)
	pending, idle, encoder := env.dial(), env.dial(), env.dial()
	// An instance that keeps its connection and goes on reporting a cancelled job does not delay the end.
	env.post(encoder, "/_jobs/news", nil, `{"id":"c0","from":"s-1","state":"running","share":0.4}`)
	require.Equal(t, 204, env.read(encoder).Status)
	env.sendCommand(pending, "c1", "safe", "30000m")
	require.Equal(t, "c1", <-accepted)
	env.signals <- syscall.SIGTERM
	env.await(func() bool { return env.program.Phase() == Departing })
	late := env.dial() // its command waits for the instance's single slot
	env.sendCommand(late, "c2", "safe", "30000m")
	for i, c := range []net.Conn{pending, late} {
		if i > 0 {
			require.Equal(t, "c2", <-accepted)
		}
		require.Equal(t, 204, env.callback(fmt.Sprint("c", i+1), "s-1", "done", "r"))
		p := env.read(c)
		require.Equal(t, []any{"r", true}, []any{string(p.Body), p.Close})
	}
	text, err := io.ReadAll(idle)
	require.NoError(t, err, "closed once the front has switched away")
	require.Contains(t, string(text), " 503 ", "the client sent nothing: a request under way may be retried")
	select {
	case err := <-env.ended:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		t.Fatal("the program did not end")
	}
}

// After quiesce, health checks fail, requests under way and callbacks are accepted, idle connections are closed, and after resume the program serves as before.
func TestQuiesceAndResume(t *testing.T) {
	env, accepted := startAccepting(t)
	health := func() int {
		c := env.connect()
		defer c.Close()
		fmt.Fprint(c, "GET /_health HTTP/1.1\r\n\r\n")
		return env.read(c).Status
	}
	require.Equal(t, 200, health())
	pending, idle, encoder := env.dial(), env.dial(), env.dial()
	env.post(encoder, "/_jobs/news", nil, `{"id":"c0","from":"s-1","state":"running","share":0.4}`)
	require.Equal(t, 204, env.read(encoder).Status)
	env.sendCommand(pending, "c1", "safe", "30000m")
	require.Equal(t, "c1", <-accepted)
	for range 2 {
		require.Equal(t, "OK\n", env.operatorCall("quiesce"))
		require.Equal(t, 503, health())
	}
	require.Equal(t, "OK\n", env.operatorCall("health"), "the program could serve")
	_, err := io.ReadAll(idle)
	require.NoError(t, err, "closed")
	require.Equal(t, Quiesced, env.program.Phase())
	require.Equal(t, "1", env.operatorCounter("in_progress"))
	env.post(encoder, "/_jobs/news", nil, `{"id":"c1","from":"s-1","state":"done","result":"r"}`)
	require.Equal(t, 204, env.read(encoder).Status, "an instance's connection stays")
	p := env.read(pending)
	require.Equal(t, []any{"r", true}, []any{string(p.Body), p.Close})
	require.Equal(t, "OK\n", env.operatorCall("resume"))
	require.Equal(t, 200, health())
	again := env.dial()
	env.sendCommand(again, "c2", "safe", "30000m")
	require.Equal(t, "c2", <-accepted)
	require.Equal(t, 204, env.callback("c2", "s-1", "done", "r"))
	require.False(t, env.read(again).Close)
	require.Equal(t, []string{"2", "2", "0"}, []string{env.operatorCounter("passed.safe"), env.operatorCounter("upstream_tries"), env.operatorCounter("bad_gateway.safe")})
}

// Malformed input gets a plain error response, and the program goes on.
func TestMalformedInput(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
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
		c := env.dial()
		fmt.Fprint(c, text)
		require.Equal(t, status, env.read(c).Status, text[:min(len(text), 80)])
	}
	require.Zero(t, env.counter("commands_taken_in"))
}

// A command that an instance rejects as unusable is not retried elsewhere, and the next command still goes to that
// instance: a faulty client must not lower the trust in an instance.
func TestUnusableCommandDoesNotCountAgainstInstance(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		if id(q) != "c9" {
			return respond(c, 400)
		}
		env.callback(id(q), "s-1", "done", "r")
		return respond(c, 202)
	})
	for i := range 3 {
		c := env.dial()
		env.sendCommand(c, fmt.Sprint("c", i), "safe", "30000m")
		require.Equal(t, 400, env.read(c).Status)
	}
	require.Equal(t, []int{3, 3}, []int{env.counter("attempts_sent"), env.counter("commands_unusable")})
	c := env.dial()
	env.sendCommand(c, "c9", "once", "30000m")
	require.Equal(t, 200, env.read(c).Status)
}

// The ID of a pending command cannot be used a second time, since callbacks could not be told apart.
func TestDuplicateIDFails(t *testing.T) {
	env, accepted := startAccepting(t)
	first, second := env.dial(), env.dial()
	env.sendCommand(first, "c1", "safe", "30000m")
	<-accepted
	env.sendCommand(second, "c1", "safe", "30000m")
	require.Equal(t, 400, env.read(second).Status)
	require.Equal(t, 204, env.callback("c1", "s-1", "done", "r"))
	require.Equal(t, 200, env.read(first).Status)
}
