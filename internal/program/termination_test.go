package program

import (
	"bufio"
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/config"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/sock"
)

// The test binary also runs as the program where a test needs a process of its own that ends.
func TestMain(m *testing.M) {
	if os.Getenv("WINGLB_ENDING") == "" {
		os.Exit(m.Run())
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM)
	c, err := config.Load(os.Getenv)
	if err == nil {
		var p *Program
		if p, err = New(c, slog.New(slog.NewTextHandler(os.Stderr, nil))); err == nil {
			err = p.Run(signals)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// programProcess is the program in a process of its own.
type programProcess struct {
	*testing.T
	cmd          *exec.Cmd
	address      string
	log          bytes.Buffer // to be read only after the process has ended
	terminatedAt time.Time
	ended        chan error
}

// launch starts the program whose instance runs a script.
func launch(t *testing.T, settings string, script func(p *programProcess, c net.Conn, q *http1.Request) bool) *programProcess {
	p := &programProcess{T: t, ended: make(chan error, 1)}
	instance := listen(t, func(c net.Conn, q *http1.Request) bool { return script(p, c, q) })
	discoveryServer := listen(t, func(c net.Conn, q *http1.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"+unchangedList)
		return true
	})
	// A socket that shares the port reserves it for the program, and refuses connections once that has ended.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { syscall.Close(fd) })
	require.NoError(t, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, sock.ReusePort, 1))
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	at, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	p.address = fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	file := t.TempDir() + "/config.json"
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1f","known":{"revision":7,"complete":true,"members":[%s]},"settings":%s}`,
		p.address, discoveryServer.Addr(), member(instance.Addr().String(), "in_service"), settings)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), "WINGLB_ENDING=1", "PROXY_CONFIG="+file, "TMPDIR="+t.TempDir())
	p.cmd.Stderr = &p.log
	require.NoError(t, p.cmd.Start())
	go func() { p.ended <- p.cmd.Wait() }()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	require.Eventually(t, func() bool {
		a, err := http.Get("http://" + p.address + "/_health")
		if err == nil {
			a.Body.Close()
		}
		return err == nil && a.StatusCode == 200
	}, testTimeout, 5*time.Millisecond)
	return p
}

// terminate sends SIGTERM, and kills the process after the given time.
func (p *programProcess) terminate(after time.Duration) {
	p.terminatedAt = time.Now()
	require.NoError(p, p.cmd.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(after, func() { p.cmd.Process.Kill() })
	p.Cleanup(func() { kill.Stop() })
}

// waitForExit waits for the process to end by itself, and returns its log with the final counters.
func (p *programProcess) waitForExit() string {
	select {
	case err := <-p.ended:
		require.NoError(p, err, "the process did not end by itself before it was killed: %s", p.log.String())
	case <-time.After(testTimeout):
		require.FailNow(p, "the process did not end")
	}
	return p.log.String()
}

// postResult posts a job's result as the instance would.
func (p *programProcess) postResult(id string) {
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		return // the process has ended
	}
	defer c.Close()
	body := fmt.Sprintf(`{"id":%q,"from":"s-1","state":"done","result":"r"}`, id)
	c.Write(http1.AppendRequest(nil, "POST", "/_jobs/news", nil, []byte(body)))
	http1.ReadResponse(bufio.NewReader(c), "POST")
}

func commandText(id, class string) []byte {
	return http1.AppendRequest(nil, "POST", "/api", http1.Header{{Name: "X-Correlation-Id", Value: id}, {Name: "X-Service-Class", Value: class},
		{Name: "X-Account", Value: "acme"}, {Name: "X-Time-Left", Value: "30000m"}}, []byte("the work"))
}

// clientCounts counts the commands of all clients by outcome.
type clientCounts struct{ sent, answered, refused, retried, unanswered, cut atomic.Int64 }

// sendBatch writes a batch of commands to a connection at once and reads their responses. used: a response has
// already been read from the connection. It returns false if the connection must not be used again.
func (t *clientCounts) sendBatch(c net.Conn, br *bufio.Reader, used bool, batch ...[]byte) bool {
	if _, err := c.Write(bytes.Join(batch, nil)); err != nil && used {
		t.retried.Add(1)
		return false
	}
	t.sent.Add(int64(len(batch)))
	for n := range batch {
		_, err := br.Peek(1)
		switch {
		case err != nil && used && n == 0: // the request crossed the regular close of an idle connection
			t.sent.Add(-int64(len(batch)))
			t.retried.Add(1)
			return false
		case err != nil && n == 0:
			t.unanswered.Add(int64(len(batch)))
			return false
		case err != nil:
			t.cut.Add(int64(len(batch) - n))
			return false
		}
		a, err := http1.ReadResponse(br, "POST")
		switch {
		case err != nil:
			t.cut.Add(1)
			return false
		case a.Status == 503:
			t.refused.Add(1)
		default:
			t.answered.Add(1)
		}
		if a.Close && n == len(batch)-1 {
			return false
		}
	}
	return true
}

// Clients send as soon as they are answered, pipelined as well, on kept and new connections up to the very end:
// each request gets a complete response or a 503 before the process could be killed. Guards against two faults:
// jobs that never end, and commands waiting for them, were cut off by the kill; and connections that had not been
// accepted were reset when the process ended.
func TestTerminationAnswersEveryRequest(t *testing.T) {
	hang := make(chan string, 99)
	p := launch(t, strings.ReplaceAll(defaultSettings, `"TellsStart":true`, `"TellsStart":false`), func(p *programProcess, c net.Conn, q *http1.Request) bool {
		switch hangs := strings.HasPrefix(id(q), "hangs"); {
		case hangs && q.Method == "POST":
			hang <- id(q)
		case q.Method == "POST":
			p.postResult(id(q))
		}
		return respond(c, 202)
	})
	var counts clientCounts
	var all sync.WaitGroup
	var firstBatches sync.WaitGroup // of clients that have not yet ended theirs
	client := func(i int) {
		first := true
		for n := 0; ; n++ {
			c, err := net.Dial("tcp", p.address)
			if err != nil {
				return // refused: the front uses another dispatcher
			}
			c.SetDeadline(time.Now().Add(testTimeout))
			br, used := bufio.NewReader(c), false
			for ok := true; ok; n++ {
				var batch [][]byte
				for k := range 1 + i%3 {
					batch = append(batch, commandText(fmt.Sprintf("c%d-%d-%d", i, n, k), "safe"))
				}
				ok = counts.sendBatch(c, br, used, batch...)
				if used = true; first {
					first = false
					firstBatches.Done()
				}
			}
			c.Close()
		}
	}
	for i := range 24 {
		firstBatches.Add(1)
		all.Go(func() { client(i) })
	}
	firstBatches.Wait()
	for i := range 6 { // jobs that never end; commands of class once are never retried
		all.Go(func() {
			c, err := net.Dial("tcp", p.address)
			if err != nil {
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			counts.sendBatch(c, bufio.NewReader(c), false, commandText(fmt.Sprint("hangs", i), []string{"safe", "once"}[i%2]))
		})
	}
	require.NotEmpty(t, <-hang)             // an instance has received one before SIGTERM
	kept, err := net.Dial("tcp", p.address) // its next request is never complete
	require.NoError(t, err)
	defer kept.Close()
	kept.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(kept, "GET /_health HTTP/1.1\r\n\r\n")
	br := bufio.NewReader(kept)
	a, err := http1.ReadResponse(br, "GET")
	require.NoError(t, err)
	require.Equal(t, 200, a.Status)
	half := commandText("half", "safe")
	_, err = kept.Write(half[:len(half)/2])
	require.NoError(t, err)
	all.Go(func() {
		counts.sendBatch(kept, br, false, nil)
	})
	p.terminate(maxKillDelay + time.Second) // with a margin for an overloaded machine
	log := p.waitForExit()
	all.Wait()
	t.Logf("sent %d answered %d refused %d retried %d", counts.sent.Load(), counts.answered.Load(), counts.refused.Load(), counts.retried.Load())
	require.Equal(t, counts.sent.Load(), counts.answered.Load()+counts.refused.Load())
	require.Zero(t, counts.unanswered.Load()+counts.cut.Load())
	require.Positive(t, counts.answered.Load())
	require.Positive(t, counts.refused.Load())
	for _, name := range []string{"ending_unanswered", "ending_cut", "closed_unanswered", "closed_cut"} {
		require.Contains(t, log, "proxy."+name+"=0")
	}
}

// maxKillDelay is the time after SIGTERM at which the platform kills the process where a class has a deadline over
// three seconds.
const maxKillDelay = 3700 * time.Millisecond
