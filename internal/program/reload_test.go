package program

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/net/http1"
)

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// customerEnv is a program with encoders of all kinds in the given customers' settings, and the requests that those
// received.
type customerEnv struct {
	*testEnv
	log       logBuffer
	discovery string // discovery's address in the configuration
	members   []object
	settings  object

	mu         sync.Mutex
	lastNumber int                         // number of the last command
	sent       map[string][]*http1.Request // requests by command
}

// startFor starts a program with one customer's settings and a fleet that serves all the given settings.
func startFor(t *testing.T, settings object, allSettings ...object) *customerEnv {
	h := &customerEnv{
		testEnv: &testEnv{t: t, watches: make(chan net.Conn, 9), targets: make(chan string, 9), reportUnchanged: new(atomic.Bool)},
		sent:    map[string][]*http1.Request{},
	}
	h.reportUnchanged.Store(true)
	for _, served := range allSettings {
		for i, kind := range served["Skus"].([]any) {
			zone := "elsewhere"
			if zones := served["Zones"].([]any); len(zones) > 0 {
				zone = zones[i%len(zones)].(string)
			}
			h.encoder(zone, kind.(string))
		}
	}
	h.testEnv.log = slog.NewTextHandler(&h.log, nil)
	h.discoveryServer = h.startDiscovery()
	h.discovery = h.discoveryServer.Addr().String()
	h.variables = map[string]string{"PROXY_CONFIG": t.TempDir() + "/config.json", "TMPDIR": t.TempDir()}
	h.writeConfig(settings)
	h.run()
	h.await(func() bool { return h.program.Phase() == Serving })
	return h
}

// encoder adds an encoder to the list. The prefix of a command's ID selects what the encoder does with it.
func (h *customerEnv) encoder(zone, kind string) {
	name := fmt.Sprint("s-", len(h.members)+1)
	e := listen(h.t, func(c net.Conn, q *http1.Request) bool {
		if q.Method != "POST" {
			return respond(c, 200)
		}
		h.mu.Lock()
		h.sent[id(q)] = append(h.sent[id(q)], q)
		h.mu.Unlock()
		switch action, _, _ := strings.Cut(id(q), "-"); action {
		case "break":
			return false
		case "full":
			return respond(c, 503, http1.Field{Name: "X-Unprocessed", Value: "1"})
		case "serve":
			h.callback(id(q), name, "done", "r")
		}
		return respond(c, 202)
	})
	h.t.Cleanup(func() {
		e.stop()
		e.scripts.Wait()
	})
	h.members = append(h.members, object{
		"id": name, "host_port": e.Addr().String(), "locality": zone, "flavor": kind, "cell": 1, "phase": "in_service", "size": 1, "up_since_ms": 0,
	})
}

// writeConfig writes the configuration with a customer's settings.
func (h *customerEnv) writeConfig(settings object) {
	h.settings = settings
	text, err := json.Marshal(object{
		"name": "n1", "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0", "discovery": h.discovery, "seed": "1f", "settings": settings,
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 512}, "known": object{"revision": 7, "complete": true, "members": h.members},
	})
	require.NoError(h.t, err)
	require.NoError(h.t, os.WriteFile(h.variables["PROXY_CONFIG"], text, 0o600))
}

// reload switches the program to another customer's settings, and to discovery at another address.
func (h *customerEnv) reload(settings object) {
	h.discovery = h.startDiscovery().Addr().String()
	h.writeConfig(settings)
	loads := h.operatorCounter("loads")
	h.signals <- syscall.SIGHUP
	h.await(func() bool { return h.operatorCounter("loads") != loads })
}

// request sends a command and returns the status of its response and the requests that encoders received for it.
// left may be empty: then the class's time applies.
func (h *customerEnv) request(action, class, left string) (status int, sent []*http1.Request) {
	h.mu.Lock()
	h.lastNumber++
	name := fmt.Sprintf("%s-%s-%d", action, class, h.lastNumber)
	h.mu.Unlock()
	c := h.connect()
	defer c.Close()
	fields := http1.Header{{Name: "X-Correlation-Id", Value: name}, {Name: "X-Service-Class", Value: class}, {Name: "X-Account", Value: "nobody"}}
	if left != "" {
		fields = append(fields, http1.Field{Name: "X-Time-Left", Value: left})
	}
	h.post(c, "/api", fields, "the work")
	status = h.read(c).Status
	h.mu.Lock()
	defer h.mu.Unlock()
	return status, slices.Clone(h.sent[name])
}

// class is one request class of a settings document.
type class struct {
	Name       string  `json:"Name"`
	Effect     string  `json:"Effect"`
	KeyScope   string  `json:"KeyScope"`
	DeadlineUs float64 `json:"DeadlineUs"`
	AimUs      float64 `json:"AimUs"`
	LateWorth  float64 `json:"LateWorth"`
}

func classesOf(t *testing.T, settings object) (all []class) {
	text, err := json.Marshal(settings["RequestClasses"])
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &all))
	return all
}

func permissions(settings object) object { return settings["Permissions"].(map[string]any) }

// checkSettings checks by the program's behaviour that it uses its customer's settings and no others.
func (h *customerEnv) checkSettings(foreign ...string) {
	own := classesOf(h.t, h.settings)
	for _, name := range foreign {
		status, sent := h.request("serve", name, "")
		require.Equal(h.t, 400, status, "a class of another customer: %s", name)
		require.Empty(h.t, sent)
	}
	for _, c := range own {
		h.checkServed(c)
	}
	h.checkOpenLimit(slices.MaxFunc(own, func(a, b class) int { // the class whose commands wait longest
		return int(a.LateWorth*1e9 + a.AimUs - b.LateWorth*1e9 - b.AimUs)
	}))
	for _, c := range own {
		h.checkBroken(c)
		h.checkRefused(c)
	}
	report := h.settings["LoadReport"].(map[string]any)
	require.Equal(h.t, report["Via"] != "silent" && len(report["Fields"].([]any)) > 0, h.program.loads.Enabled(), "load reports")
	longest := slices.MaxFunc(own, func(a, b class) int { return int(a.DeadlineUs - b.DeadlineUs) }).DeadlineUs
	now := time.Now()
	by := h.program.server.BeginShutdown(now)
	require.Equal(h.t, min(time.Duration(longest)*time.Microsecond, 3*time.Second)+500*time.Millisecond, by.Sub(now), "answered after SIGTERM by")
}

// checkServed: a command without a time of its own gets the class's, and is served.
func (h *customerEnv) checkServed(c class) {
	for n := 0; ; n++ { // on an overloaded machine commands of the shortest classes are late
		status, sent := h.request("serve", c.Name, "")
		for _, q := range sent {
			left, err := strconv.Atoi(strings.TrimSuffix(q.Header.Get("X-Time-Left"), "m"))
			require.NoError(h.t, err)
			require.LessOrEqual(h.t, left, int(c.DeadlineUs/1000), "%s: time left that an encoder receives", c.Name)
			if status == 200 {
				require.Greater(h.t, left, int(c.DeadlineUs/1000/3), "%s: time left that an encoder receives", c.Name)
				return
			}
		}
		require.Less(h.t, n, 40, "%s is not served: %d", c.Name, status)
	}
}

// checkOpenLimit: as many commands are open as the settings allow, and clients beyond that get a Retry-After as
// configured.
func (h *customerEnv) checkOpenLimit(c class) {
	const many = 40
	allowed := min(many, int(permissions(h.settings)["OpenCap"].(float64)))
	refused := make(chan string, many)
	held := h.program.loop.Pending()
	var clients []net.Conn
	for i := range many {
		client := h.connect()
		clients = append(clients, client)
		h.post(client, "/api", http1.Header{{Name: "X-Correlation-Id", Value: fmt.Sprint("hold-", i)}, {Name: "X-Service-Class", Value: c.Name},
			{Name: "X-Time-Left", Value: "60000m"}}, "the work")
	}
	for _, client := range clients {
		go func() {
			if answer, err := readResponse(client); err == nil && answer.Status == 503 {
				refused <- answer.Header.Get("Retry-After")
			}
		}()
	}
	for range many - allowed {
		after := <-refused
		seconds, err := strconv.ParseFloat(after, 64)
		require.Equal(h.t, permissions(h.settings)["RetryAfter"], err == nil, "Retry-After: %q", after)
		require.LessOrEqual(h.t, seconds, permissions(h.settings)["MaxRetryAfterUs"].(float64)/1e6)
	}
	h.await(func() bool { return h.program.loop.Pending() == held+int64(allowed) })
	for _, client := range clients {
		client.Close()
	}
	h.await(func() bool { return h.program.loop.Pending() == held })
}

// shortTimeLeft is X-Time-Left of commands that no encoder serves.
const shortTimeLeft = "300m"

// checkBroken: a command whose connection broke after it was sent is retried only as far as the class's effect
// allows, and its status is 502 if it may have run.
func (h *customerEnv) checkBroken(c class) {
	for n := 0; ; n++ {
		status, tries := h.request("break", c.Name, shortTimeLeft)
		sent := len(tries)
		require.LessOrEqual(h.t, sent, int(permissions(h.settings)["AttemptsCap"].(float64)), c.Name)
		if harmless := c.Effect == "free" || c.Effect == "guarded" && c.KeyScope == "all"; !harmless && sent > 0 {
			require.Equal(h.t, 502, status, "%s may have run", c.Name)
		}
		if c.Effect == "single_shot" {
			require.LessOrEqual(h.t, sent, 1, "%s must not run twice", c.Name)
		}
		if sent > 0 {
			return
		}
		require.Less(h.t, n, 40, "%s is not sent: %d", c.Name, status)
	}
}

// checkRefused: a command that every encoder refuses has no more attempts than the settings allow.
func (h *customerEnv) checkRefused(c class) {
	status, sent := h.request("full", c.Name, shortTimeLeft)
	require.Equal(h.t, 503, status)
	require.LessOrEqual(h.t, len(sent), int(permissions(h.settings)["AttemptsCap"].(float64)), c.Name)
}

// A program that is reloaded from one customer's settings to another's behaves like one that was started with
// those: the names, times, limits and effects of the first no longer appear, not even in the log.
func TestReloadBetweenCustomers(t *testing.T) {
	all := customers(t)
	for _, from := range slices.Sorted(maps.Keys(all)) {
		for _, to := range slices.Sorted(maps.Keys(all)) {
			t.Run(from+" to "+to, func(t *testing.T) {
				before, after := all[from], all[to]
				h := startFor(t, before, before, after)
				if from != to {
					for _, c := range classesOf(t, before) {
						h.checkServed(c)
					}
					require.Contains(t, <-h.targets, "index=7")
					h.reload(after)
					require.Equal(t, "/catalog/members?stream=1&index=0", <-h.targets, "discovery of the second customer")
				}
				foreign := slices.DeleteFunc(namesOf(before), func(name string) bool { return slices.Contains(namesOf(after), name) })
				h.checkSettings(slices.DeleteFunc(foreign, func(name string) bool {
					return !slices.ContainsFunc(classesOf(t, before), func(c class) bool { return c.Name == name })
				})...)
				logged := h.log.String()
				if from != to {
					_, logged, _ = strings.Cut(logged, "configuration reloaded")
				}
				for _, word := range words(logged) {
					require.NotContains(t, foreign, word, "the log since the reload")
				}
			})
		}
	}
}

// Guards against a list interpreted by the previous settings after a reload that names other zones or kinds of
// encoder: classes that need a kind which those did not name found no encoder until discovery sent each instance again,
// which it may never do.
func TestReloadReinterpretsList(t *testing.T) {
	all := customers(t)
	h := startFor(t, all["quito-lectures"], all["quito-lectures"], all["ballot-stills"])
	h.writeConfig(all["ballot-stills"]) // discovery keeps its address and sends nothing
	h.signals <- syscall.SIGHUP
	h.await(func() bool { return h.operatorCounter("loads") == "1" })
	h.checkServed(classesOf(t, all["ballot-stills"])[0])
}
