package program

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/config"
	"caperrelay/internal/net/http1"
)

// patience is how long a story waits for what must come; no story waits it out.
const patience = 20 * time.Second

// peer is a scripted peer on a loopback socket: it shows each request to its script.
type peer struct {
	net.Listener
	mu      sync.Mutex
	conns   []net.Conn
	scripts sync.WaitGroup // the connections whose script goes on
}

// listen starts a peer. Its script answers on the connection and tells whether it stays open.
func listen(t *testing.T, script func(c net.Conn, q *http1.Request) bool) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &peer{Listener: l}
	t.Cleanup(p.stop)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			p.scripts.Go(func() {
				defer c.Close()
				for br := bufio.NewReaderSize(c, http1.MaxLine); ; {
					if q, err := http1.ReadRequest(br, nil); err != nil || !script(c, q) {
						return
					}
				}
			})
		}
	}()
	return p
}

func (p *peer) stop() {
	p.Close()
	p.cut()
}

// cut closes the connections that have come so far and tells how many there were.
func (p *peer) cut() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	defer func() { p.conns = nil }()
	return len(p.conns)
}

func answer(c net.Conn, status int, h ...http1.Field) bool {
	_, err := c.Write(http1.AppendResponse(nil, status, h, nil))
	return err == nil
}

// world is a program with a name table and one instance, s-1, whose requests the story gets.
type world struct {
	t        *testing.T
	program  *Program
	instance *peer
	table    *peer
	watches  chan net.Conn // each watch, once its head is written
	targets  chan string   // what each watch asked for
	signals  chan os.Signal
	ended    chan error

	configure func(discovery string) // writes the configuration anew
	settings  string                 // for it
	variables map[string]string
	log       slog.Handler // of programs that are run; nil: none
	unchanged *atomic.Bool // the next watch is told at once that nothing has changed
}

// nameTable starts a name table, whose watches the story gets. What they are told is the story's, but for the first.
func (w *world) nameTable() *peer {
	return listen(w.t, func(c net.Conn, q *http1.Request) bool {
		w.targets <- q.Target
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		if w.unchanged.CompareAndSwap(true, false) {
			fmt.Fprint(c, unchanged)
		}
		w.watches <- c
		return true
	})
}

func member(address, phase string) string {
	return fmt.Sprintf(`{"id":"s-1","host_port":%q,"locality":"a","flavor":"m2","cell":0,"phase":%q,"size":1,"up_since_ms":0}`, address, phase)
}

const usualSettings = `{"Balancers":1,"SlotNo":0,"Zone":0,"Zones":["a"],"Skus":["m2"],"GranularityUs":2000,"Discovery":"subscribe",
"Weights":"silent","WorthBy":"work","Domain":{"ClassKind":[-1,-1],"ClassStretch":[2.5,2],"ProgressUs":1000000,"TellsStart":true},
"LoadReport":{"Via":"silent"},"ObjectiveMix":{"Whole":1},"Tenants":[{"Name":"acme","QuotaPerS":1000}],
"Permissions":{"AttemptsCap":3,"OpenCap":100,"Cancelling":true,"ParallelTries":true,"Probes":true,"RetryAfter":true,
"MaxRetryAfterUs":2000000,"ConnIdleUs":30000000,"ConnectTimeoutUs":5000000},
"RequestClasses":[{"Name":"safe","Effect":"free","AimUs":20000000,"DeadlineUs":40000000,"Points":1},
{"Name":"once","Effect":"single_shot","AimUs":20000000,"DeadlineUs":40000000,"Points":5}],
"Rules":{"AnswerSlackUs":8000,"ColdFrom":0.2,"ColdUs":20000000,"DrainGraceUs":750000,"FallMultiple":3,"FallUs":1000000,"MustAskInUs":800000}}`

// start runs a program with an instance of the given script.
func start(t *testing.T, script func(w *world, c net.Conn, q *http1.Request) bool) *world {
	return startAt(t, "", script)
}

// startAccepting runs a program with an instance that takes whatever it is sent, and tells the ids of that.
func startAccepting(t *testing.T) (*world, <-chan string) {
	took := make(chan string, 9)
	w := start(t, func(w *world, c net.Conn, q *http1.Request) bool {
		took <- id(q)
		return answer(c, 202)
	})
	return w, took
}

// startAt has the name table give another address for the instance, unless that is empty.
func startAt(t *testing.T, address string, script func(w *world, c net.Conn, q *http1.Request) bool) *world {
	return startBy(t, "", address, script)
}

// startBy goes by other settings, unless those are empty.
func startBy(t *testing.T, settings, address string, script func(w *world, c net.Conn, q *http1.Request) bool) *world {
	w := &world{t: t}
	w.prepare(settings, address, script)
	w.run()
	w.await(func() bool { return w.program.Phase() == Serving })
	return w
}

// prepare starts the peers of a program and writes its configuration.
func (w *world) prepare(settings, address string, script func(w *world, c net.Conn, q *http1.Request) bool) {
	w.settings, w.watches, w.targets, w.unchanged = settings, make(chan net.Conn, 9), make(chan string, 9), new(atomic.Bool)
	w.unchanged.Store(true)
	w.instance = listen(w.t, func(c net.Conn, q *http1.Request) bool { return script(w, c, q) })
	w.t.Cleanup(func() {
		w.instance.stop() // whatever a story left held ends
		w.instance.scripts.Wait()
	})
	w.table = w.nameTable()
	file := w.t.TempDir() + "/config.json"
	w.configure = func(discovery string) {
		text := fmt.Sprintf(`{"name":"n1","listen":%q,"admin_addr":"127.0.0.1:0","discovery":%q,"seed":"1f","known":{"revision":7,"complete":true,"members":[%s]},"settings":%s}`,
			"127.0.0.1:0", discovery, member(cmp.Or(address, w.instance.Addr().String()), "in_service"), cmp.Or(w.settings, usualSettings))
		require.NoError(w.t, os.WriteFile(file, []byte(text), 0o600))
	}
	w.configure(w.table.Addr().String())
	w.variables = map[string]string{"PROXY_CONFIG": file, "TMPDIR": w.t.TempDir(), "PROXY_DISCOVERY": w.table.Addr().String()}
}

// run starts the program.
func (w *world) run() {
	c, err := config.Load(func(name string) string { return w.variables[name] })
	require.NoError(w.t, err)
	log := w.log
	if log == nil {
		log = slog.DiscardHandler
	}
	w.program, err = New(c, slog.New(log))
	require.NoError(w.t, err)
	w.signals, w.ended = make(chan os.Signal, 1), make(chan error, 1)
	p, signals, ended := w.program, w.signals, w.ended
	go func() { ended <- p.Run(signals) }()
	w.t.Cleanup(func() {
		select {
		case signals <- syscall.SIGTERM:
		default:
		}
	})
}

// beside starts another program beside the one at hand, which it returns the new one for; the
// world's is the new one then.
func (w *world) beside() (older *world) {
	before := *w
	w.run()
	return &before
}

// tellTable has a watch tell a list of the one instance.
func tellTable(watch net.Conn, revision int, complete bool, line string) {
	text := fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`+"\n", revision, complete, line)
	fmt.Fprint(watch, chunk(text))
}

// unchanged is what a watch is told first where nothing has changed since the list that it goes on from.
var unchanged = chunk(`{"revision":7,"complete":false,"members":[]}` + "\n")

// chunk is a text as one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// refusing returns an address that refuses connections. A socket holds its port until the
// test's end: a port just closed could be opened by another test.
func refusing(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	a, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", a.(*syscall.SockaddrInet4).Port)
}

func (w *world) await(what func() bool) {
	w.t.Helper()
	require.Eventually(w.t, what, patience, 2*time.Millisecond)
}

// count is a counter's value.
func (w *world) count(name string) (n int) {
	for line := range strings.Lines(w.program.loop.Counters.String()) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			fmt.Sscan(rest, &n)
		}
	}
	return n
}

// call makes an operator's call and returns the answer.
func (w *world) call(line string) string {
	c, err := net.Dial("tcp", w.program.Admin())
	require.NoError(w.t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintln(c, line)
	text, err := io.ReadAll(c)
	require.NoError(w.t, err)
	return string(text)
}

// figure is one of the operators' figures, by its name.
func (w *world) figure(name string) string {
	_, rest, _ := strings.Cut("\n"+w.call("counters"), "\nproxy."+name+"=")
	value, _, _ := strings.Cut(rest, "\n")
	return value
}

// dial opens a connection to the program; the test's end closes it.
func (w *world) dial() net.Conn {
	c := w.connect()
	w.t.Cleanup(func() { c.Close() })
	return c
}

func (w *world) connect() net.Conn {
	c, err := net.Dial("tcp", w.program.Address())
	require.NoError(w.t, err)
	c.SetDeadline(time.Now().Add(patience))
	return c
}

func (w *world) post(c net.Conn, target string, h http1.Header, body string) {
	_, err := c.Write(http1.AppendRequest(nil, "POST", target, h, []byte(body)))
	require.NoError(w.t, err)
}

// command sends a command that leaves so much time and does not wait for its answer.
func (w *world) command(c net.Conn, id, class, left string) {
	w.post(c, "/api?cut=1", http1.Header{{Name: "X-Correlation-Id", Value: id}, {Name: "X-Service-Class", Value: class},
		{Name: "X-Account", Value: "acme"}, {Name: "X-Time-Left", Value: left}, {Name: "Cookie", Value: "a=b; user=u1"},
		{Name: "X-Facts", Value: "slots=1,memory=0.5"}}, "the work")
}

func (w *world) read(c net.Conn) *http1.Response {
	p, err := http1.ReadResponse(bufio.NewReader(c), "POST")
	require.NoError(w.t, err)
	return p
}

// news sends a call-back as the instance and returns the status. Scripts call it too, whose
// connections must not end with the story: it may end before they have their answer.
func (w *world) news(id, from, state, result string) int {
	c := w.connect()
	defer c.Close()
	body, _ := json.Marshal(map[string]string{"id": id, "from": from, "state": state, "result": result})
	w.post(c, "/_jobs/news", nil, string(body))
	return w.read(c).Status
}

// readAnswer reads one answer from a connection.
func readAnswer(c net.Conn) (*http1.Response, error) {
	return http1.ReadResponse(bufio.NewReader(c), "POST")
}
