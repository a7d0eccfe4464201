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

// The test's own program stands in for the daemon where a story needs a process that ends.
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

// process is a daemon as a process of its own.
type process struct {
	*testing.T
	cmd     *exec.Cmd
	address string
	log     bytes.Buffer // to be read once it has ended
	told    time.Time
	ended   chan error
}

// launch starts a daemon whose instance goes by a script.
func launch(t *testing.T, settings string, script func(p *process, c net.Conn, q *http1.Request) bool) *process {
	p := &process{T: t, ended: make(chan error, 1)}
	instance := listen(t, func(c net.Conn, q *http1.Request) bool { return script(p, c, q) })
	table := listen(t, func(c net.Conn, q *http1.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"+unchanged)
		return true
	})
	// A socket that shares the port keeps it for the daemon, and refuses once that has gone.
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
		p.address, table.Addr(), member(instance.Addr().String(), "in_service"), settings)
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
	}, patience, 5*time.Millisecond)
	return p
}

// terminate tells the process to end, and kills it when the platform would.
func (p *process) terminate(after time.Duration) {
	p.told = time.Now()
	require.NoError(p, p.cmd.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(after, func() { p.cmd.Process.Kill() })
	p.Cleanup(func() { kill.Stop() })
}

// end waits for the process's own end, and returns its counters.
func (p *process) end() string {
	select {
	case err := <-p.ended:
		require.NoError(p, err, "it ended by itself, before it was killed: %s", p.log.String())
	case <-time.After(patience):
		require.FailNow(p, "it did not end")
	}
	return p.log.String()
}

// done tells of a job as the instance would.
func (p *process) done(id string) {
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		return // it has ended
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

// tally is what clients saw.
type tally struct{ sent, answered, refused, again, unanswered, cut atomic.Int64 }

// ask sends a batch of commands on a connection at once and reads their answers. used: something was answered on it before. false:
// the connection is to be used no more.
func (y *tally) ask(c net.Conn, br *bufio.Reader, used bool, batch ...[]byte) bool {
	if _, err := c.Write(bytes.Join(batch, nil)); err != nil && used {
		y.again.Add(1)
		return false
	}
	y.sent.Add(int64(len(batch)))
	for n := range batch {
		_, err := br.Peek(1)
		switch {
		case err != nil && used && n == 0: // it crossed the end of a connection between requests
			y.sent.Add(-int64(len(batch)))
			y.again.Add(1)
			return false
		case err != nil && n == 0:
			y.unanswered.Add(int64(len(batch)))
			return false
		case err != nil:
			y.cut.Add(int64(len(batch) - n))
			return false
		}
		a, err := http1.ReadResponse(br, "POST")
		switch {
		case err != nil:
			y.cut.Add(1)
			return false
		case a.Status == 503:
			y.refused.Add(1)
		default:
			y.answered.Add(1)
		}
		if a.Close && n == len(batch)-1 {
			return false
		}
	}
	return true
}

// Clients that send on as soon as they are answered, behind one another as well, on connections that they keep and on new ones up to
// the very end: each has an answer or a refusal, whole, before the process could be killed. Jobs that never end, and what
// waits for them, were cut off by that; newcomers that nobody had accepted were reset by the process's end.
func TestNobodyIsCutOffByTheEnd(t *testing.T) {
	hang := make(chan string, 99)
	p := launch(t, strings.ReplaceAll(usualSettings, `"TellsStart":true`, `"TellsStart":false`), func(p *process, c net.Conn, q *http1.Request) bool {
		switch hangs := strings.HasPrefix(id(q), "hangs"); {
		case hangs && q.Method == "POST":
			hang <- id(q)
		case q.Method == "POST":
			p.done(id(q))
		}
		return answer(c, 202)
	})
	var y tally
	var all sync.WaitGroup
	var asked sync.WaitGroup // each client has had an answer, or is asking what has none
	client := func(i int) {
		first := true
		for n := 0; ; n++ {
			c, err := net.Dial("tcp", p.address)
			if err != nil {
				return // refused: the front goes elsewhere
			}
			c.SetDeadline(time.Now().Add(patience))
			br, used := bufio.NewReader(c), false
			for ok := true; ok; n++ {
				var batch [][]byte
				for k := range 1 + i%3 {
					batch = append(batch, commandText(fmt.Sprintf("c%d-%d-%d", i, n, k), "safe"))
				}
				ok = y.ask(c, br, used, batch...)
				if used = true; first {
					first = false
					asked.Done()
				}
			}
			c.Close()
		}
	}
	for i := range 24 {
		asked.Add(1)
		all.Go(func() { client(i) })
	}
	asked.Wait()
	for i := range 6 { // never done, some never sent on
		all.Go(func() {
			c, err := net.Dial("tcp", p.address)
			if err != nil {
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			y.ask(c, bufio.NewReader(c), false, commandText(fmt.Sprint("hangs", i), []string{"safe", "once"}[i%2]))
		})
	}
	require.NotEmpty(t, <-hang)             // with all of its client's patience, before the process is told
	kept, err := net.Dial("tcp", p.address) // its next request is never whole
	require.NoError(t, err)
	defer kept.Close()
	kept.SetDeadline(time.Now().Add(patience))
	fmt.Fprint(kept, "GET /_health HTTP/1.1\r\n\r\n")
	br := bufio.NewReader(kept)
	a, err := http1.ReadResponse(br, "GET")
	require.NoError(t, err)
	require.Equal(t, 200, a.Status)
	half := commandText("half", "safe")
	_, err = kept.Write(half[:len(half)/2])
	require.NoError(t, err)
	all.Go(func() {
		y.ask(kept, br, false, nil)
	})
	p.terminate(longestKill + time.Second) // with some room for a machine that is short of CPU
	log := p.end()
	all.Wait()
	t.Logf("sent %d answered %d refused %d sent again %d", y.sent.Load(), y.answered.Load(), y.refused.Load(), y.again.Load())
	require.Equal(t, y.sent.Load(), y.answered.Load()+y.refused.Load())
	require.Zero(t, y.unanswered.Load()+y.cut.Load())
	require.Positive(t, y.answered.Load())
	require.Positive(t, y.refused.Load())
	for _, name := range []string{"ending_unanswered", "ending_cut", "closed_unanswered", "closed_cut"} {
		require.Contains(t, log, "proxy."+name+"=0")
	}
}

// longestKill is when the platform kills what was told to end, where a class has more than three seconds.
const longestKill = 3700 * time.Millisecond
