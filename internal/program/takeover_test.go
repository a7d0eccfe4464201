package program

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/net/handover"
	"caperrelay/internal/net/http1"
)

// A second program at the address takes over: once it has an up-to-date list it gets the listener and the
// connections, and pending commands of the older process complete, whichever of the two processes a callback
// reaches.
func TestNewProcessTakesOver(t *testing.T) {
	env, accepted := startAccepting(t)
	pending, used, unused, half, encoder := env.dial(), env.dial(), env.dial(), env.dial(), env.dial()
	env.sendCommand(pending, "c1", "once", "30000m")
	require.Equal(t, "c1", <-accepted)
	fmt.Fprint(used, "GET /_health HTTP/1.1\r\n\r\n")
	require.Equal(t, 200, env.read(used).Status)
	env.post(encoder, "/_jobs/news", nil, `{"id":"c0","from":"s-1","state":"running","share":0.4}`)
	require.Equal(t, 204, env.read(encoder).Status)
	const pieces = "POST /api HTTP/1.1\r\nX-Correlation-Id: c2\r\nX-Service-Class: safe\r\n\r\n"
	io.WriteString(half, pieces[:50])
	<-env.watches

	older := env.startNewer()
	second := <-env.watches
	env.await(func() bool { return env.program.Admin() != "" })
	require.Equal(t, "ERR starting\n", env.operatorCall("health"), "it cannot serve without an up-to-date list")
	require.Equal(t, Serving, older.program.Phase())
	sendList(second, 7, true, member(env.instance.Addr().String(), "in_service"))
	env.await(func() bool { return env.program.Phase() == Serving && older.program.Phase() == HandedOver })
	require.Equal(t, "OK\n", env.operatorCall("health"))
	require.Equal(t, older.program.Address(), env.program.Address())

	io.WriteString(half, pieces[50:]) // the older process reads it, and may accept nothing more
	require.Equal(t, "1", env.operatorCounter("in_progress"))
	older.signals <- syscall.SIGTERM
	again := env.dial()
	env.sendCommand(again, "c1", "safe", "30000m")
	require.Equal(t, 400, env.read(again).Status, "the ID is pending")
	env.post(encoder, "/_jobs/news", nil, `{"id":"c1","from":"s-1","state":"done","result":"r"}`)
	require.Equal(t, 204, env.read(encoder).Status)
	p := env.read(pending)
	require.Equal(t, []any{"r", false}, []any{string(p.Body), p.Close})
	require.NoError(t, <-older.ended)
	require.Equal(t, "c2", <-accepted)
	require.Equal(t, 204, env.callback("c2", "s-1", "done", "s"))
	require.Equal(t, "s", string(env.read(half).Body))
	for i, c := range []net.Conn{pending, used, unused, half, env.dial()} { // all connections belong to the newer process
		name := fmt.Sprint("d", i)
		env.sendCommand(c, name, "safe", "30000m")
		require.Equal(t, name, <-accepted)
		require.Equal(t, 204, env.callback(name, "s-1", "done", name))
		require.Equal(t, name, string(env.read(c).Body))
	}
	require.Equal(t, Serving, env.program.Phase())
}

// An attempt that no instance has confirmed when the older process hands over: that process forwards its outcome,
// and so does the next one if a third has taken over by then.
func TestUnconfirmedAttemptsDuringHandover(t *testing.T) {
	for confirmed, status := range map[bool]int{true: 200, false: 502} { // connection broken: the command may have run
		reply := make(chan bool)
		env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return <-reply && respond(c, 202) })
		<-env.watches
		c := env.dial()
		env.sendCommand(c, "c1", "once", "30000m")
		env.await(func() bool { return env.operatorCounter("upstream_tries") == "1" })
		for range 2 {
			env.startNewer()
			sendList(<-env.watches, 7, true, member(env.instance.Addr().String(), "in_service"))
			env.await(func() bool { return env.program.Phase() == Serving })
		}
		reply <- confirmed
		if confirmed {
			require.Equal(t, 204, env.callback("c1", "s-1", "done", "r"))
		}
		require.Equal(t, status, env.read(c).Status)
	}
}

// A command that is handed over before it was sent is sent by the newer process with its client's idempotency key,
// byte for byte: without the key a retry would run twice.
func TestIdempotencyKeySurvivesHandover(t *testing.T) {
	seen := make(chan *http1.Request, 9)
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		seen <- q
		return respond(c, 202)
	})
	<-env.watches
	first, pending := env.dial(), env.dial()
	env.sendCommand(first, "c1", "once", "30000m")
	require.Equal(t, "c1", id(<-seen))
	const key = "caf\xe9 \xff"
	env.post(pending, "/api", http1.Header{{Name: "X-Correlation-Id", Value: "c2"}, {Name: "X-Service-Class", Value: "once"},
		{Name: "Idempotency-Key", Value: key}}, "the work")
	env.await(func() bool { return env.operatorCounter("in_progress") == "2" })
	env.startNewer()
	sendList(<-env.watches, 7, true, member(env.instance.Addr().String(), "in_service"))
	env.await(func() bool { return env.program.Phase() == Serving })
	require.Equal(t, 204, env.callback("c1", "s-1", "done", "r"))
	q := <-seen
	require.Equal(t, []string{"c2", key}, []string{id(q), q.Header.Get("Idempotency-Key")})
	require.Equal(t, 204, env.callback("c2", "s-1", "done", "s"))
	require.Equal(t, "s", string(env.read(pending).Body))
}

// Where the handover socket cannot be created, a second program still shares the address.
func TestNoHandoverSocket(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
	env.variables["TMPDIR"], env.variables["PROXY_LISTEN"] = "/nowhere", env.program.Address()
	older := env.startNewer()
	env.await(func() bool { return env.program.Phase() == Serving })
	require.Equal(t, older.program.Address(), env.program.Address())
	older.signals <- syscall.SIGTERM
	require.NoError(t, <-older.ended)
	c := env.dial()
	fmt.Fprint(c, "GET /_health HTTP/1.1\r\n\r\n")
	require.Equal(t, 200, env.read(c).Status)
}

// A cordoned instance gets nothing from the confirmation on, through changes of the list and of processes, until
// it is uncordoned.
func TestLeftOutByHand(t *testing.T) {
	accepted := make(chan string, 9)
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		accepted <- id(q)
		env.callback(id(q), "s-1", "done", "r")
		return respond(c, 202)
	})
	require.Equal(t, "ERR s-9 is not known\n", env.operatorCall("cordon s-9"))
	for range 2 {
		require.Equal(t, "OK\n", env.operatorCall("cordon s-1"))
	}
	refused := func(name string) {
		c := env.dial()
		env.sendCommand(c, name, "safe", "500m")
		require.Equal(t, 503, env.read(c).Status)
		require.Equal(t, "0", env.operatorCounter("upstream_tries"))
	}
	refused("c1")
	env.await(func() bool { return env.operatorCounter("skipped_encoders") == "1" })
	line := member(env.instance.Addr().String(), "in_service")
	sendList(<-env.watches, 8, false, strings.Replace(line, `"up_since_ms":0`, `"up_since_ms":1000`, 1))
	refused("c2")
	older := env.startNewer()
	sendList(<-env.watches, 9, true, line)
	env.await(func() bool { return env.program.Phase() == Serving })
	refused("c3")
	older.signals <- syscall.SIGTERM
	require.NoError(t, <-older.ended)
	env.signals <- syscall.SIGTERM // and across a stop of all processes: the file is there
	require.NoError(t, <-env.ended)
	env.reportUnchanged.Store(true)
	env.run()
	env.await(func() bool { return env.program.Phase() == Serving })
	refused("c4")
	require.Equal(t, "OK\n", env.operatorCall("uncordon s-1"))
	c := env.dial()
	env.sendCommand(c, "c5", "safe", "30000m")
	require.Equal(t, 200, env.read(c).Status)
	require.Equal(t, "c5", <-accepted)
	require.Empty(t, accepted)
}

// A newer process that dies before the older one has received SIGTERM leaves the older one in service.
func TestOlderServesAgainWhenNewerDies(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		env.callback(id(q), "s-1", "done", "r")
		return respond(c, 202)
	})
	<-env.watches
	link, err := handover.Dial(env.program.socketPath())
	require.NoError(t, err)
	read := make(chan string, 9)
	go link.Run(func(m handover.Message, f *os.File) {
		read <- m.Kind
		if f != nil {
			f.Close()
		}
	})
	require.Equal(t, msgState, <-read)
	link.Send(msgReady, nil)
	require.Equal(t, msgHandedOver, <-read)
	queued := env.dial() // in the accept queue of a listener that no process serves now
	env.sendCommand(queued, "c1", "safe", "30000m")
	link.Close()
	require.Equal(t, 200, env.read(queued).Status)
	require.Equal(t, Serving, env.program.Phase())
	env.startNewer()
	sendList(<-env.watches, 7, true, member(env.instance.Addr().String(), "in_service"))
	env.await(func() bool { return env.program.Phase() == Serving })
}

// A process that already has a newer one turns callers away, and the newer one opens its own socket a moment
// later. Guards against a process that starts in that moment giving up: it would serve alone by its
// configuration's list, and a request whose callback reached it was never answered.
// With 300 ms more before the socket is opened it happens each time.
func TestRefusedNewerProcessCallsAgain(t *testing.T) {
	env := &testEnv{t: t}
	env.prepare("", "", func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
	socket, err := handover.Listen(handover.Path(env.variables["TMPDIR"], "127.0.0.1:0"))
	require.NoError(t, err)
	calls := make(chan *handover.Link, 1)
	go func() {
		for {
			link, err := socket.Accept()
			if err != nil {
				return
			}
			calls <- link
		}
	}()
	env.run()
	(<-calls).Close()
	select {
	case link := <-calls:
		socket.Close()
		link.Close()
	case <-time.After(testTimeout):
		require.Fail(t, "the process does not call again")
	}
	env.await(func() bool { return env.program.Phase() == Serving }) // alone, since no process answers any more
}

// Guards against a moment without a handover socket, if the older process closes its socket when it has handed
// over.
func TestHandoverSocketStaysOpen(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
	newer, err := handover.Dial(env.program.socketPath())
	require.NoError(t, err)
	go newer.Run(func(_ handover.Message, f *os.File) {
		if f != nil {
			f.Close()
		}
	})
	newer.Send(msgReady, nil)
	env.await(func() bool { return env.program.Phase() == HandedOver })
	next, err := handover.Dial(env.program.socketPath())
	require.NoError(t, err)
	next.Run(func(m handover.Message, _ *os.File) { require.Fail(t, "unexpected message", m.Kind) }) // returns, since the link is closed
	next.Close()
	newer.Close()
	env.await(func() bool { return env.program.Phase() == Serving })
}

// Whatever file is at the socket's path, stale or half written, a program starts, and the next one finds its
// socket.
func TestHandoverSocketReplacesStaleFiles(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 30)) // longer than a socket address holds
	require.NoError(t, os.Mkdir(dir, 0o700))
	env.variables["TMPDIR"] = dir
	path := handover.Path(dir, "127.0.0.1:0")
	for _, stale := range []string{path, path + ".new"} {
		require.NoError(t, os.WriteFile(stale, []byte("{"), 0o600))
	}
	env.reportUnchanged.Store(true)
	env.run()
	env.await(func() bool { return env.program.Phase() == Serving })
	older := env.startNewer()
	for range 3 {
		sendList(<-env.watches, 7, true, member(env.instance.Addr().String(), "in_service"))
	}
	env.await(func() bool { return env.program.Phase() == Serving && older.program.Phase() == HandedOver })
}

// Guards against the older process failing on an attempt that no instance had confirmed when the newer process
// died.
func TestUnconfirmedAttemptSurvivesNewerProcess(t *testing.T) {
	reply := make(chan bool)
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		if id(q) == "c1" {
			return <-reply
		}
		env.callback(id(q), "s-1", "done", "r")
		return respond(c, 202)
	})
	env.sendCommand(env.dial(), "c1", "once", "30000m")
	env.await(func() bool { return env.operatorCounter("upstream_tries") == "1" })
	link, err := handover.Dial(env.program.socketPath())
	require.NoError(t, err)
	accepted := make(chan string, 99)
	go link.Run(func(m handover.Message, f *os.File) {
		accepted <- m.Kind
		if f != nil {
			f.Close()
		}
	})
	link.Send(msgReady, nil)
	for kind := ""; kind != msgHandedOver; kind = <-accepted {
	}
	link.Close()
	env.await(func() bool { return env.program.Phase() == Serving })
	reply <- false // the connection breaks
	c := env.dial()
	env.sendCommand(c, "c2", "safe", "30000m")
	require.Equal(t, 200, env.read(c).Status)
}

// Guards against two processes replacing the cordon file through the same temporary name: one process
// renamed the other's temporary file, whose change was lost. Cordons set at either process during a handover apply at both, however
// quickly they follow, and are in the file.
func TestCordonsAtBothProcessesDuringHandover(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
	line := member(env.instance.Addr().String(), "in_service")
	all := line
	for _, other := range []string{"s-2", "s-3"} {
		all += "," + strings.Replace(line, "s-1", other, 1)
	}
	sendList(<-env.watches, 8, true, all)
	env.await(func() bool { return env.program.pool.Knows("s-3") })
	older := env.startNewer()
	newest := <-env.watches
	env.await(func() bool { return env.program.pool.Knows("s-3") })
	results := make(chan error, 9)
	for id, p := range map[string]*Program{"s-1": older.program, "s-2": older.program, "s-3": env.program} {
		go func() {
			for range 100 {
				if err := errors.Join(p.Cordon(id), p.Uncordon(id)); err != nil {
					results <- err
					return
				}
			}
			results <- p.Cordon(id)
		}()
	}
	for range 3 {
		require.NoError(t, <-results)
	}
	sendList(newest, 9, true, all)
	env.await(func() bool { return env.program.Phase() == Serving && older.program.Phase() == HandedOver })
	for _, p := range []*Program{older.program, env.program} {
		env.await(func() bool { return !p.pool.Available("s-1") && !p.pool.Available("s-2") && !p.pool.Available("s-3") })
	}
	older.signals <- syscall.SIGTERM
	require.NoError(t, <-older.ended)
	env.await(func() bool {
		return env.cordonsWritten() && slices.Equal(env.program.readCordons(), []string{"s-1", "s-2", "s-3"})
	})
}

// cordonsWritten reports whether this process has no cordons left to write and no older process runs.
func (env *testEnv) cordonsWritten() bool {
	env.program.mu.Lock()
	alone := env.program.older == nil
	env.program.mu.Unlock()
	env.program.cordons.mu.Lock()
	defer env.program.cordons.mu.Unlock()
	return alone && !env.program.cordons.writing
}

// Guards against a cordon that waits for the disk before it applies, and a newer process that waits for that. It
// applies at once, at both processes, while the disk does not answer; the operator gets an error that says so.
func TestCordonDoesNotWaitForDisk(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
	<-env.watches
	answers, writes := make(chan bool), make(chan string, 9)
	env.program.cordons.write = func(path string, text []byte) error {
		writes <- string(text)
		<-answers
		return replaceFile(path, text)
	}
	results := make(chan string, 1)
	go func() { results <- env.operatorCall("cordon s-1") }()
	require.Equal(t, `["s-1"]`, <-writes)
	require.False(t, env.program.pool.Available("s-1"))
	older := env.startNewer()
	sendList(<-env.watches, 8, true, member(env.instance.Addr().String(), "in_service"))
	env.await(func() bool { return env.program.Phase() == Serving && older.program.Phase() == HandedOver })
	require.False(t, env.program.pool.Available("s-1"))
	require.Contains(t, <-results, "ERR done, but the next process may not know")
	close(answers)
	env.await(func() bool { return older.cordonsWritten() && len(env.program.readCordons()) == 1 })
}

// Guards against an update that reached only one of two processes: the other's own watch may report it seconds
// later. It applies to both, and a repeat on the own watch does not revert it.
func TestDrainReportedToEitherProcess(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
	first := <-env.watches
	up, down := member(env.instance.Addr().String(), "in_service"), member(env.instance.Addr().String(), "terminating")
	older := env.startNewer()
	second := <-env.watches
	env.await(func() bool { return env.program.pool.Available("s-1") })
	sendList(first, 9, false, down)
	env.await(func() bool { return !env.program.pool.Available("s-1") })
	sendList(second, 8, false, up) // an older revision
	env.await(func() bool { return env.program.Phase() == Serving && older.program.Phase() == HandedOver })
	require.False(t, env.program.pool.Available("s-1"))
	sendList(second, 10, false, up)
	env.await(func() bool { return env.program.pool.Available("s-1") && older.program.pool.Available("s-1") })
	sendList(second, 11, false, down)
	env.await(func() bool { return !env.program.pool.Available("s-1") && !older.program.pool.Available("s-1") })
}

// A process that takes over serves within 4 s, whatever the older one does: sends nothing, ends, or does not hand
// over.
func TestServesInTimeWhateverOlderDoes(t *testing.T) {
	require.LessOrEqual(t, freshListTimeout+handoverTimeout, 4*time.Second)
	for _, test := range []struct {
		phase                     Phase
		since                     time.Duration
		fresh, older, olderSilent bool
		unreachable               bool
		next                      step
	}{
		{Starting, 0, false, false, false, false, stepWait}, // no older process, and the list may be old
		{Starting, 0, true, false, false, false, stepServe},
		{Starting, 0, false, false, false, true, stepServe}, // discovery is unreachable
		{Starting, freshListTimeout, false, false, false, false, stepWait},
		{Starting, freshListTimeout + handoverTimeout, false, false, false, false, stepServe},
		{Starting, 0, false, true, false, false, stepWait},
		{Starting, 0, false, true, false, true, stepWait},
		{Starting, 0, true, true, false, false, stepAskHandover},
		{Starting, freshListTimeout, false, true, false, false, stepAskHandover},
		{Starting, 0, false, false, true, false, stepWait}, // no state received: the older process's list is unknown
		{Starting, 0, false, false, true, true, stepWait},
		{Starting, 0, true, false, true, false, stepServe},
		{Starting, freshListTimeout, false, false, true, false, stepWait},
		{Starting, freshListTimeout + handoverTimeout, false, false, true, false, stepServe},
		{TakingOver, 0, true, true, false, false, stepWait},
		{TakingOver, 0, true, false, false, false, stepServe}, // the older process has ended
		{TakingOver, handoverTimeout, true, true, false, false, stepServe},
	} {
		require.Equal(t, test.next, nextStep(test.phase, test.since, test.fresh, test.older, test.olderSilent, test.unreachable), "%+v", test)
	}
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
	<-env.watches
	env.program.handoverListener.Close()
	silent, err := handover.Listen(env.program.socketPath()) // accepts connections and sends nothing
	require.NoError(t, err)
	defer silent.Close()
	env.startNewer()
	sendList(<-env.watches, 8, true, member(env.instance.Addr().String(), "terminating"))
	env.await(func() bool { return env.program.Phase() == Serving })
	require.False(t, env.program.pool.Available("s-1"), "by the current list, not by the configuration's")
}

// Guards against giving up on an older process that its machine holds up for over a second, which lost the
// connections waiting there. It is waited for, and hands over as usual.
func TestSlowOlderProcessHandsOver(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		env.callback(id(q), "s-1", "done", "r")
		return respond(c, 202)
	})
	<-env.watches
	c := env.dial()
	env.program.cordons.mu.Lock() // its reply to the newer process waits for this lock
	older := env.startNewer()
	time.AfterFunc(1500*time.Millisecond, older.program.cordons.mu.Unlock)
	sendList(<-env.watches, 8, true, member(env.instance.Addr().String(), "in_service"))
	env.await(func() bool { return env.program.Phase() == Serving && older.program.Phase() == HandedOver })
	older.signals <- syscall.SIGTERM
	require.NoError(t, <-older.ended)
	env.sendCommand(c, "c1", "safe", "30000m")
	require.Equal(t, 200, env.read(c).Status)
}

// Guards against a complete list that was under way for longer than another process's update with a drain: it
// reverted the drain, and the draining instance was sent to, until the watch reported the drain as well. The list
// applies only if the watch gets no further, since discovery has then restarted its revisions.
func TestLateCompleteListKeepsDrain(t *testing.T) {
	for _, watchCatchesUp := range []bool{true, false} {
		env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool { return respond(c, 202) })
		first := <-env.watches
		up, down := member(env.instance.Addr().String(), "in_service"), member(env.instance.Addr().String(), "terminating")
		env.startNewer()
		second := <-env.watches
		env.await(func() bool { return env.program.pool.Available("s-1") })
		sendList(first, 9, false, down)
		env.await(func() bool { return !env.program.pool.Available("s-1") })
		sendList(second, 8, true, up)
		env.await(func() bool { return env.program.Phase() == Serving }) // the list has been read by then
		require.False(t, env.program.pool.Available("s-1"))
		if watchCatchesUp {
			sendList(second, 9, false, down)
			env.await(func() bool {
				env.program.listMu.Lock()
				defer env.program.listMu.Unlock()
				return !env.program.otherList.hasWatchList
			})
		}
		env.program.useWatchList()
		require.Equal(t, !watchCatchesUp, env.program.pool.Available("s-1"))
		sendList(second, 10, false, up)
		env.await(func() bool { return env.program.pool.Available("s-1") })
	}
}

// Guards against a process that starts alone and sends by its configuration's list before it has asked discovery,
// to encoders that have gone since: changes that discovery has had for long count as known from its first moment.
// It does not listen until discovery has answered.
func TestDoesNotServeByStaleList(t *testing.T) {
	sent := make(chan string, 9)
	env := &testEnv{t: t}
	env.prepare("", "", func(env *testEnv, c net.Conn, q *http1.Request) bool {
		sent <- id(q)
		return respond(c, 202)
	})
	env.reportUnchanged.Store(false)
	env.run()
	watch := <-env.watches // it has asked and has no reply yet
	require.Equal(t, Starting, env.program.Phase())
	require.True(t, env.program.pool.Available("s-1"), "by the configuration's list")
	require.Nil(t, env.program.listener, "no client can connect")
	sendList(watch, 8, false, member(env.instance.Addr().String(), "terminated"))
	env.await(func() bool { return env.program.Phase() == Serving })
	require.False(t, env.program.pool.Available("s-1"))
	c := env.dial()
	env.sendCommand(c, "c1", "safe", "500m")
	require.Equal(t, 503, env.read(c).Status)
	require.Empty(t, sent)
}

// An unreachable discovery does not delay the start, and one that sends nothing delays it by 4 s at most: the
// configuration's list is then all there is.
func TestServesWithoutDiscovery(t *testing.T) {
	t.Parallel()
	for _, silent := range []bool{false, true} {
		env := &testEnv{t: t}
		env.prepare("", "", func(env *testEnv, c net.Conn, q *http1.Request) bool {
			env.callback(id(q), "s-1", "done", "r")
			return respond(c, 202)
		})
		env.reportUnchanged.Store(false)
		if !silent {
			env.variables["PROXY_DISCOVERY"] = refusingAddress(t)
		}
		began := time.Now()
		env.run()
		env.await(func() bool { return env.program.Phase() == Serving })
		if !silent {
			require.Less(t, time.Since(began), freshListTimeout, "an unreachable discovery is not waited for")
		}
		c := env.dial()
		env.sendCommand(c, "c1", "safe", "30000m")
		require.Equal(t, 200, env.read(c).Status)
	}
}

// Guards against a process whose configuration names another discovery than that of the older process using that
// one's address and list for as long as it ran. It watches its own, and what drains there gets nothing.
func TestTakesOverWithItsOwnDiscovery(t *testing.T) {
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		env.callback(id(q), "s-1", "done", "r")
		return respond(c, 202)
	})
	require.Equal(t, "/catalog/members?stream=1&index=7", <-env.targets)
	first := <-env.watches
	sendList(first, 30, false, member(env.instance.Addr().String(), "in_service"))
	env.await(func() bool { return env.program.listRevision() == 30 })
	own := env.startDiscovery()
	env.variables["PROXY_DISCOVERY"] = own.Addr().String()
	older := env.startNewer()
	require.Equal(t, "/catalog/members?stream=1&index=7", <-env.targets, "the revision in its own configuration")
	second := <-env.watches
	require.Equal(t, own.Addr().String(), second.LocalAddr().String())
	sendList(second, 8, false, member(env.instance.Addr().String(), "terminating"))
	env.await(func() bool { return env.program.Phase() == Serving && older.program.Phase() == HandedOver })
	require.False(t, env.program.pool.Available("s-1"))
	require.True(t, older.program.pool.Available("s-1"), "it uses its own discovery")
	sendList(first, 31, false, member(env.instance.Addr().String(), "in_service"))
	sendList(second, 9, false, strings.Replace(member(env.instance.Addr().String(), "in_service"), `"up_since_ms":0`, `"up_since_ms":1000`, 1))
	env.await(func() bool { return env.program.pool.Available("s-1") })
	c := env.dial()
	env.sendCommand(c, "c1", "safe", "30000m")
	require.Equal(t, 200, env.read(c).Status)
}

// listRevision is the revision of the list that the program has.
func (p *Program) listRevision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instances.Revision()
}
