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

// textOf is a log that a test reads while it is written.
type textOf struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *textOf) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *textOf) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// house is a program with encoders of every kind that some customers name, and what came to those.
type house struct {
	*world
	log       textOf
	discovery string // in the configuration
	members   []object
	settings  object

	mu   sync.Mutex
	last int                         // number of a command
	sent map[string][]*http1.Request // by command
}

// open starts a program by one customer's settings, in a fleet that serves all of those given.
func open(t *testing.T, by object, served ...object) *house {
	h := &house{
		world: &world{t: t, watches: make(chan net.Conn, 9), targets: make(chan string, 9), unchanged: new(atomic.Bool)},
		sent:  map[string][]*http1.Request{},
	}
	h.unchanged.Store(true)
	for _, settings := range served {
		for i, kind := range settings["Skus"].([]any) {
			zone := "elsewhere"
			if zones := settings["Zones"].([]any); len(zones) > 0 {
				zone = zones[i%len(zones)].(string)
			}
			h.encoder(zone, kind.(string))
		}
	}
	h.world.log = slog.NewTextHandler(&h.log, nil)
	h.table = h.nameTable()
	h.discovery = h.table.Addr().String()
	h.variables = map[string]string{"PROXY_CONFIG": t.TempDir() + "/config.json", "TMPDIR": t.TempDir()}
	h.give(by)
	h.run()
	h.await(func() bool { return h.program.Phase() == Serving })
	return h
}

// encoder adds one to the list. What it does with a command goes by the start of its id.
func (h *house) encoder(zone, kind string) {
	name := fmt.Sprint("s-", len(h.members)+1)
	e := listen(h.t, func(c net.Conn, q *http1.Request) bool {
		if q.Method != "POST" {
			return answer(c, 200)
		}
		h.mu.Lock()
		h.sent[id(q)] = append(h.sent[id(q)], q)
		h.mu.Unlock()
		switch what, _, _ := strings.Cut(id(q), "-"); what {
		case "break":
			return false
		case "full":
			return answer(c, 503, http1.Field{Name: "X-Unprocessed", Value: "1"})
		case "serve":
			h.news(id(q), name, "done", "r")
		}
		return answer(c, 202)
	})
	h.t.Cleanup(func() {
		e.stop()
		e.scripts.Wait()
	})
	h.members = append(h.members, object{
		"id": name, "host_port": e.Addr().String(), "locality": zone, "flavor": kind, "cell": 1, "phase": "in_service", "size": 1, "up_since_ms": 0,
	})
}

// give writes the configuration with a customer's settings.
func (h *house) give(settings object) {
	h.settings = settings
	text, err := json.Marshal(object{
		"name": "n1", "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0", "discovery": h.discovery, "seed": "1f", "settings": settings,
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 512}, "known": object{"revision": 7, "complete": true, "members": h.members},
	})
	require.NoError(h.t, err)
	require.NoError(h.t, os.WriteFile(h.variables["PROXY_CONFIG"], text, 0o600))
}

// reload has the program go by another customer's settings, and by discovery at another address.
func (h *house) reload(settings object) {
	h.discovery = h.nameTable().Addr().String()
	h.give(settings)
	loads := h.figure("loads")
	h.signals <- syscall.SIGHUP
	h.await(func() bool { return h.figure("loads") != loads })
}

// ask sends a command and returns the status of its answer and what came of it to the encoders. The time that it leaves may be the class's.
func (h *house) ask(what, class, left string) (status int, sent []*http1.Request) {
	h.mu.Lock()
	h.last++
	name := fmt.Sprintf("%s-%s-%d", what, class, h.last)
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

// goesBy shows by what the program does that it goes by its customer's settings and by nobody else's.
func (h *house) goesBy(strange ...string) {
	own := classesOf(h.t, h.settings)
	for _, name := range strange {
		status, sent := h.ask("serve", name, "")
		require.Equal(h.t, 400, status, "a class of another customer: %s", name)
		require.Empty(h.t, sent)
	}
	for _, c := range own {
		h.serves(c)
	}
	h.holds(slices.MaxFunc(own, func(a, b class) int { // the one whose commands wait longest
		return int(a.LateWorth*1e9 + a.AimUs - b.LateWorth*1e9 - b.AimUs)
	}))
	for _, c := range own {
		h.breaks(c)
		h.refuses(c)
	}
	report := h.settings["LoadReport"].(map[string]any)
	require.Equal(h.t, report["Via"] != "silent" && len(report["Fields"].([]any)) > 0, h.program.loads.Any(), "load reports")
	longest := slices.MaxFunc(own, func(a, b class) int { return int(a.DeadlineUs - b.DeadlineUs) }).DeadlineUs
	told := time.Now()
	by := h.program.server.End(told)
	require.Equal(h.t, min(time.Duration(longest)*time.Microsecond, 3*time.Second)+500*time.Millisecond, by.Sub(told), "answered after SIGTERM by")
}

// serves: a command without a time of its own has the class's, and is served.
func (h *house) serves(c class) {
	for n := 0; ; n++ { // on a machine that is short of time the shortest are late
		status, sent := h.ask("serve", c.Name, "")
		for _, q := range sent {
			left, err := strconv.Atoi(strings.TrimSuffix(q.Header.Get("X-Time-Left"), "m"))
			require.NoError(h.t, err)
			require.LessOrEqual(h.t, left, int(c.DeadlineUs/1000), "%s: time that an encoder is told", c.Name)
			if status == 200 {
				require.Greater(h.t, left, int(c.DeadlineUs/1000/3), "%s: time that an encoder is told", c.Name)
				return
			}
		}
		require.Less(h.t, n, 40, "%s is not served: %d", c.Name, status)
	}
}

// holds: as many commands are held as the settings allow, and who comes beyond is told when to come again as they say.
func (h *house) holds(c class) {
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
			if answer, err := readAnswer(client); err == nil && answer.Status == 503 {
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

// shortLeft is the time of clients whose commands come to nothing.
const shortLeft = "300m"

// breaks: what broke off after it was sent goes out again as far as the class's effect lets it, and its answer says no less.
func (h *house) breaks(c class) {
	for n := 0; ; n++ {
		status, tries := h.ask("break", c.Name, shortLeft)
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

// refuses: what every encoder hands back has no more attempts than the settings allow.
func (h *house) refuses(c class) {
	status, sent := h.ask("full", c.Name, shortLeft)
	require.Equal(h.t, 503, status)
	require.LessOrEqual(h.t, len(sent), int(permissions(h.settings)["AttemptsCap"].(float64)), c.Name)
}

// A program that is reloaded from one customer's settings to another's goes on as one that was started with those: the names, times,
// limits and effects of the first are gone, also from what it tells.
func TestReloadFromCustomerToCustomer(t *testing.T) {
	all := customers(t)
	for _, from := range slices.Sorted(maps.Keys(all)) {
		for _, to := range slices.Sorted(maps.Keys(all)) {
			t.Run(from+" to "+to, func(t *testing.T) {
				before, after := all[from], all[to]
				h := open(t, before, before, after)
				if from != to {
					for _, c := range classesOf(t, before) {
						h.serves(c)
					}
					require.Contains(t, <-h.targets, "index=7")
					h.reload(after)
					require.Equal(t, "/catalog/members?stream=1&index=0", <-h.targets, "discovery of the second")
				}
				strange := slices.DeleteFunc(namesOf(before), func(name string) bool { return slices.Contains(namesOf(after), name) })
				h.goesBy(slices.DeleteFunc(strange, func(name string) bool {
					return !slices.ContainsFunc(classesOf(t, before), func(c class) bool { return c.Name == name })
				})...)
				told := h.log.String()
				if from != to {
					_, told, _ = strings.Cut(told, "configuration reloaded")
				}
				for _, word := range words(told) {
					require.NotContains(t, strange, word, "the log of now")
				}
			})
		}
	}
}

// Settings that know other zones or kinds of encoder were held against a list that had been read by the names of before: classes
// that need a kind which those did not name found no encoder until discovery told of each anew, which it may never do.
func TestReloadReadsTheListAnew(t *testing.T) {
	all := customers(t)
	h := open(t, all["quito-lectures"], all["quito-lectures"], all["ballot-stills"])
	h.give(all["ballot-stills"]) // discovery stays where it is, and has nothing to tell
	h.signals <- syscall.SIGHUP
	h.await(func() bool { return h.figure("loads") == "1" })
	h.serves(classesOf(t, all["ballot-stills"])[0])
}
