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

// testTimeout bounds each wait; no test that passes reaches it.
const testTimeout = 20 * time.Second

// scriptedServer is a server on a loopback socket that passes each request to a script.
type scriptedServer struct {
	net.Listener
	mu      sync.Mutex
	conns   []net.Conn
	scripts sync.WaitGroup // connections whose script is running
}

// listen starts a server. Its script writes the response and reports whether the connection stays open.
func listen(t *testing.T, script func(c net.Conn, q *http1.Request) bool) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &scriptedServer{Listener: l}
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

func (p *scriptedServer) stop() {
	p.Close()
	p.closeConns()
}

// closeConns closes the connections accepted so far and returns how many there were.
func (p *scriptedServer) closeConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	defer func() { p.conns = nil }()
	return len(p.conns)
}

func respond(c net.Conn, status int, h ...http1.Field) bool {
	_, err := c.Write(http1.AppendResponse(nil, status, h, nil))
	return err == nil
}

// testEnv is a program with a discovery server and one instance, s-1, whose requests the test handles.
type testEnv struct {
	t               *testing.T
	program         *Program
	instance        *scriptedServer
	discoveryServer *scriptedServer
	watches         chan net.Conn // each watch, once its header is written
	targets         chan string   // the target of each watch's request
	signals         chan os.Signal
	ended           chan error

	configure       func(discovery string) // rewrites the configuration
	settings        string                 // the settings in it; empty: defaultSettings
	variables       map[string]string
	log             slog.Handler // log handler for the programs; nil: discards
	reportUnchanged *atomic.Bool // the next watch gets an update without changes at once
}

// startDiscovery starts a discovery server and passes its watches to the test, which sends the updates, except the
// one for reportUnchanged.
func (env *testEnv) startDiscovery() *scriptedServer {
	return listen(env.t, func(c net.Conn, q *http1.Request) bool {
		env.targets <- q.Target
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		if env.reportUnchanged.CompareAndSwap(true, false) {
			fmt.Fprint(c, unchangedList)
		}
		env.watches <- c
		return true
	})
}

func member(address, phase string) string {
	return fmt.Sprintf(`{"id":"s-1","host_port":%q,"locality":"a","flavor":"m2","cell":0,"phase":%q,"size":1,"up_since_ms":0}`, address, phase)
}

const defaultSettings = `{"Balancers":1,"SlotNo":0,"Zone":0,"Zones":["a"],"Skus":["m2"],"GranularityUs":2000,"Discovery":"subscribe",
"Weights":"silent","WorthBy":"work","Domain":{"ClassKind":[-1,-1],"ClassStretch":[2.5,2],"ProgressUs":1000000,"TellsStart":true},
"LoadReport":{"Via":"silent"},"ObjectiveMix":{"Whole":1},"Tenants":[{"Name":"acme","QuotaPerS":1000}],
"Permissions":{"AttemptsCap":3,"OpenCap":100,"Cancelling":true,"ParallelTries":true,"Probes":true,"RetryAfter":true,
"MaxRetryAfterUs":2000000,"ConnIdleUs":30000000,"ConnectTimeoutUs":5000000},
"RequestClasses":[{"Name":"safe","Effect":"free","AimUs":20000000,"DeadlineUs":40000000,"Points":1},
{"Name":"once","Effect":"single_shot","AimUs":20000000,"DeadlineUs":40000000,"Points":5}],
"Rules":{"AnswerSlackUs":8000,"ColdFrom":0.2,"ColdUs":20000000,"DrainGraceUs":750000,"FallMultiple":3,"FallUs":1000000,"MustAskInUs":800000}}`

// start runs a program with an instance that runs the script.
func start(t *testing.T, script func(env *testEnv, c net.Conn, q *http1.Request) bool) *testEnv {
	return startWithAddress(t, "", script)
}

// startAccepting runs a program with an instance that accepts whatever it receives, and returns the IDs of that.
func startAccepting(t *testing.T) (*testEnv, <-chan string) {
	accepted := make(chan string, 9)
	env := start(t, func(env *testEnv, c net.Conn, q *http1.Request) bool {
		accepted <- id(q)
		return respond(c, 202)
	})
	return env, accepted
}

// startWithAddress is start with another address for the instance in the list, unless address is empty.
func startWithAddress(t *testing.T, address string, script func(env *testEnv, c net.Conn, q *http1.Request) bool) *testEnv {
	return startWith(t, "", address, script)
}

// startWith is startWithAddress with other settings, unless those are empty.
func startWith(t *testing.T, settings, address string, script func(env *testEnv, c net.Conn, q *http1.Request) bool) *testEnv {
	env := &testEnv{t: t}
	env.prepare(settings, address, script)
	env.run()
	env.await(func() bool { return env.program.Phase() == Serving })
	return env
}

// prepare starts the servers that a program talks to and writes its configuration.
func (env *testEnv) prepare(settings, address string, script func(env *testEnv, c net.Conn, q *http1.Request) bool) {
	env.settings, env.watches, env.targets, env.reportUnchanged = settings, make(chan net.Conn, 9), make(chan string, 9), new(atomic.Bool)
	env.reportUnchanged.Store(true)
	env.instance = listen(env.t, func(c net.Conn, q *http1.Request) bool { return script(env, c, q) })
	env.t.Cleanup(func() {
		env.instance.stop() // ends pending scripts
		env.instance.scripts.Wait()
	})
	env.discoveryServer = env.startDiscovery()
	file := env.t.TempDir() + "/config.json"
	env.configure = func(discovery string) {
		text := fmt.Sprintf(`{"name":"n1","listen":%q,"admin_addr":"127.0.0.1:0","discovery":%q,"seed":"1f","known":{"revision":7,"complete":true,"members":[%s]},"settings":%s}`,
			"127.0.0.1:0", discovery, member(cmp.Or(address, env.instance.Addr().String()), "in_service"), cmp.Or(env.settings, defaultSettings))
		require.NoError(env.t, os.WriteFile(file, []byte(text), 0o600))
	}
	env.configure(env.discoveryServer.Addr().String())
	env.variables = map[string]string{"PROXY_CONFIG": file, "TMPDIR": env.t.TempDir(), "PROXY_DISCOVERY": env.discoveryServer.Addr().String()}
}

// run starts the program.
func (env *testEnv) run() {
	c, err := config.Load(func(name string) string { return env.variables[name] })
	require.NoError(env.t, err)
	log := env.log
	if log == nil {
		log = slog.DiscardHandler
	}
	env.program, err = New(c, slog.New(log))
	require.NoError(env.t, err)
	env.signals, env.ended = make(chan os.Signal, 1), make(chan error, 1)
	p, signals, ended := env.program, env.signals, env.ended
	go func() { ended <- p.Run(signals) }()
	env.t.Cleanup(func() {
		select {
		case signals <- syscall.SIGTERM:
		default:
		}
	})
}

// startNewer starts a newer program at the same address. It returns a copy of the environment for the older
// program; env refers to the newer one from then on.
func (env *testEnv) startNewer() (older *testEnv) {
	before := *env
	env.run()
	return &before
}

// sendList sends an instance list with the given members on a watch.
func sendList(watch net.Conn, revision int, complete bool, members string) {
	text := fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`+"\n", revision, complete, members)
	fmt.Fprint(watch, chunk(text))
}

// unchangedList is the first update of a watch where nothing has changed since the list that it continues from.
var unchangedList = chunk(`{"revision":7,"complete":false,"members":[]}` + "\n")

// chunk encodes a text as one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// refusingAddress returns an address that refuses connections. A socket holds its port until the test's end,
// because another test could listen on a port that was just closed.
func refusingAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	a, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", a.(*syscall.SockaddrInet4).Port)
}

func (env *testEnv) await(cond func() bool) {
	env.t.Helper()
	require.Eventually(env.t, cond, testTimeout, 2*time.Millisecond)
}

// counter returns a counter's value.
func (env *testEnv) counter(name string) (n int) {
	for line := range strings.Lines(env.program.loop.Counters.String()) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			fmt.Sscan(rest, &n)
		}
	}
	return n
}

// operatorCall sends an operator's command and returns the response.
func (env *testEnv) operatorCall(line string) string {
	c, err := net.Dial("tcp", env.program.Admin())
	require.NoError(env.t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintln(c, line)
	text, err := io.ReadAll(c)
	require.NoError(env.t, err)
	return string(text)
}

// operatorCounter returns one of the operators' counters by its name.
func (env *testEnv) operatorCounter(name string) string {
	_, rest, _ := strings.Cut("\n"+env.operatorCall("counters"), "\nproxy."+name+"=")
	value, _, _ := strings.Cut(rest, "\n")
	return value
}

// dial opens a connection to the program, which is closed at the end of the test.
func (env *testEnv) dial() net.Conn {
	c := env.connect()
	env.t.Cleanup(func() { c.Close() })
	return c
}

func (env *testEnv) connect() net.Conn {
	c, err := net.Dial("tcp", env.program.Address())
	require.NoError(env.t, err)
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

func (env *testEnv) post(c net.Conn, target string, h http1.Header, body string) {
	_, err := c.Write(http1.AppendRequest(nil, "POST", target, h, []byte(body)))
	require.NoError(env.t, err)
}

// sendCommand sends a command with the given time left and does not wait for the response.
func (env *testEnv) sendCommand(c net.Conn, id, class, left string) {
	env.post(c, "/api?cut=1", http1.Header{{Name: "X-Correlation-Id", Value: id}, {Name: "X-Service-Class", Value: class},
		{Name: "X-Account", Value: "acme"}, {Name: "X-Time-Left", Value: left}, {Name: "Cookie", Value: "a=b; user=u1"},
		{Name: "X-Facts", Value: "slots=1,memory=0.5"}}, "the work")
}

func (env *testEnv) read(c net.Conn) *http1.Response {
	p, err := http1.ReadResponse(bufio.NewReader(c), "POST")
	require.NoError(env.t, err)
	return p
}

// callback posts a callback as the instance and returns the status. Scripts use it too, so its connection is not
// closed by the end of the test, which may come before their response.
func (env *testEnv) callback(id, from, state, result string) int {
	c := env.connect()
	defer c.Close()
	body, _ := json.Marshal(map[string]string{"id": id, "from": from, "state": state, "result": result})
	env.post(c, "/_jobs/news", nil, string(body))
	return env.read(c).Status
}

// readResponse reads one response from a connection.
func readResponse(c net.Conn) (*http1.Response, error) {
	return http1.ReadResponse(bufio.NewReader(c), "POST")
}
