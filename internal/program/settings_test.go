package program

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caperrelay/internal/config"
	"caperrelay/internal/net/http1"
)

// object is a JSON object.
type object map[string]any

// drawSettings draws settings within the documented ranges, including absent optional keys.
func drawSettings(t *rapid.T) object {
	number := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(t, name) }
	share := func(name string) float64 { return rapid.Float64Range(0, 1).Draw(t, name) }
	flip := func(name string) bool { return rapid.Bool().Draw(t, name) }
	names := func(prefix string, n int) []string {
		all := make([]string, n)
		for i := range all {
			all[i] = fmt.Sprint(prefix, i)
		}
		return all
	}
	balancers, zones, kinds, classes := number("balancers", 1, 400), number("zones", 1, 4), number("kinds", 1, 3), number("classes", 1, 4)
	var requests []object
	var kind []int
	var stretch []float64
	for i := range classes {
		effect := rapid.SampledFrom([]string{"free", "guarded", "single_shot"}).Draw(t, "effect")
		c := object{
			"Name": fmt.Sprint("class", i), "Effect": effect, "AimUs": number("aim", 0, 100_000), "DeadlineUs": number("deadline", 40_000, 160_000),
			"Points": number("points", 0, 10), "LateWorth": share("late"), "MemorySpanUs": number("span", 0, 200_000),
		}
		if scope := rapid.SampledFrom([]string{"all", "zone", "cell", ""}).Draw(t, "scope"); scope != "" || effect == "guarded" {
			c["KeyScope"] = scope
			if scope == "" {
				c["KeyScope"] = "all"
			}
		}
		requests = append(requests, c)
		kind, stretch = append(kind, number("kind", -1, kinds-1)), append(stretch, 3*share("stretch"))
	}
	s := object{
		"Balancers": balancers, "SlotNo": number("slot", 0, balancers-1), "Zone": number("zone", 0, zones-1),
		"Zones": names("z", zones), "Skus": names("k", kinds), "RequestClasses": requests, "GranularityUs": number("granularity", 0, 4000),
		"Permissions": object{
			"AttemptsCap": number("attempts", 1, 4), "OpenCap": rapid.SampledFrom([]int{0, 1, 5, 20_000}).Draw(t, "open"),
			"Cancelling": flip("cancel"), "ParallelTries": flip("parallel"), "Probes": flip("probes"), "PeerMessages": flip("peers"),
			"RetryAfter": flip("retry after"), "MaxRetryAfterUs": number("most after", 0, 2_000_000),
			"ConnIdleUs": rapid.SampledFrom([]int{0, 15_000_000}).Draw(t, "idle"), "ConnectTimeoutUs": rapid.SampledFrom([]int{0, 120_000}).Draw(t, "connect"),
		},
		"Rules": object{
			"AnswerSlackUs": 8000, "DrainGraceUs": number("grace", 0, 1_500_000), "ColdFrom": 0.05 + 0.9*share("cold from"), "ColdUs": number("cold", 0, 24_000_000),
			"FallMultiple": 1 + 3*share("fall"), "FallUs": number("fall time", 0, 3_000_000), "MustAskInUs": number("must ask", 0, 10_000_000),
			"GoneIsAdvice": flip("advice"),
		},
		"Clients": object{"MarksRetry": flip("marks")}, "OverShareWorth": share("over"),
		"Deductions": object{"CrossZone": share("cross"), "Waste": share("waste"), "Probe": 0.002},
	}
	if flip("domain") {
		s["Domain"] = object{"ClassKind": kind, "ClassStretch": stretch[:number("stretches", 0, classes)], "ProgressUs": number("progress", 0, 50_000), "TellsStart": flip("starts")}
	}
	if d := rapid.SampledFrom([]string{"", "subscribe", "automatic"}).Draw(t, "discovery"); d != "" {
		s["Discovery"] = d
	}
	if v := rapid.SampledFrom([]string{"", "silent", "piggyback", "pull"}).Draw(t, "reports"); v != "" {
		s["LoadReport"] = object{"Via": v, "Fields": rapid.SampledFrom([][]string{nil, {"x0"}, {"x0", "avg_ms", "cpu"}, {"active", "waiting", "x0", "x1"}}).Draw(t, "fields")}
	}
	if w := rapid.SampledFrom([]string{"", "silent", "nominal"}).Draw(t, "weights"); w != "" {
		s["Weights"] = w
	}
	var tenants []object
	for i := range number("tenants", 0, 3) {
		tenants = append(tenants, object{"Name": fmt.Sprint("t", i), "QuotaPerS": 10 * share("quota")})
	}
	s["Tenants"] = tenants
	return s
}

// receivedAttempt is one command as an instance received it.
type receivedAttempt struct {
	instance   string
	n          int
	key        string
	neverRan   bool
	receivedAt time.Time
}

// scriptedFleet is a set of instances whose responses are a function of a command's ID and of how often it has
// arrived.
type scriptedFleet struct {
	mu       sync.Mutex
	attempts map[string][]receivedAttempt // by command, in order of arrival
	callback func(id, from, state string)
}

func (f *scriptedFleet) script(at string) func(c net.Conn, q *http1.Request) bool {
	return func(c net.Conn, q *http1.Request) bool {
		if q.Method != "POST" {
			return respond(c, 200)
		}
		f.mu.Lock()
		n := len(f.attempts[id(q)])
		h := fnv.New32a()
		fmt.Fprint(h, id(q), n, at)
		behaviour := h.Sum32() % 12
		f.attempts[id(q)] = append(f.attempts[id(q)], receivedAttempt{instance: at, n: n, key: q.Header.Get("Idempotency-Key"), neverRan: behaviour == 0, receivedAt: time.Now()})
		f.mu.Unlock()
		load := http1.Field{Name: "X-Backend-Load", Value: []string{"TEXT x0=1, inflight=3", "rubbish"}[behaviour%2]}
		switch behaviour {
		case 0:
			return respond(c, 503, http1.Field{Name: "X-Unprocessed", Value: "1"}, load)
		case 1:
			return respond(c, 500, load)
		case 2:
			return false // connection broken before the 202
		case 3:
			return true // sends nothing
		case 4:
			f.callback(id(q), at, "failed")
		case 5:
			f.callback(id(q), at, "lost")
		case 6: // accepted, and no callback follows
		default:
			f.callback(id(q), at, "started")
			f.callback(id(q), at, "done")
		}
		return respond(c, 202)
	}
}

// With any valid settings the program starts, each command has one final response, and neither commands that may
// have run nor instances that drain are sent to against the rules.
func TestAnySettings(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		require.NoError(t, flag.Set("rapid.checks", "25")) // each check serves two rounds of commands in real time
		defer flag.Set("rapid.checks", f.DefValue)
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSettings(rt)
		runTwoRounds(t, rt, s)
	})
}

const instanceCount, commandsPerRound = 4, 16

func runTwoRounds(t *testing.T, rt *rapid.T, s object) {
	f := &scriptedFleet{attempts: map[string][]receivedAttempt{}}
	zones, kinds := s["Zones"].([]string), s["Skus"].([]string)
	var members []object
	for i := range instanceCount {
		name := fmt.Sprint("s-", i)
		in := listen(t, f.script(name))
		defer in.stop()
		members = append(members, object{
			"id": name, "host_port": in.Addr().String(), "locality": zones[i%len(zones)], "flavor": kinds[i%len(kinds)], "cell": i % 2, "phase": "in_service",
			"size": 1, "up_since_ms": 0,
		})
	}
	watches := make(chan net.Conn, 99)
	discoveryServer := listen(t, func(c net.Conn, q *http1.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"+chunk(`{"revision":1,"complete":false,"members":[]}`+"\n"))
		watches <- c
		return true
	})
	defer discoveryServer.stop()
	text, err := json.Marshal(object{
		"name": "n1", "listen": "127.0.0.1:0", "discovery": discoveryServer.Addr().String(), "seed": "1f", "settings": s,
		"known": object{"revision": 1, "complete": true, "members": members},
	})
	require.NoError(rt, err)
	dir := t.TempDir()
	require.NoError(rt, os.WriteFile(dir+"/config.json", text, 0o600))
	c, err := config.Load(func(name string) string {
		return map[string]string{"PROXY_CONFIG": dir + "/config.json", "TMPDIR": dir}[name]
	})
	require.NoError(rt, err)
	p, err := New(c, slog.New(slog.DiscardHandler))
	require.NoError(rt, err)
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- p.Run(signals) }()
	env := &testEnv{t: t, program: p}
	f.callback = func(id, from, state string) { env.callback(id, from, state, "of "+id) }
	env.await(func() bool { return p.Phase() == Serving })

	classes := s["RequestClasses"].([]object)
	status := make([]int, 2*commandsPerRound)
	round := func(from int) {
		var all sync.WaitGroup
		for i := from; i < from+commandsPerRound; i++ {
			all.Go(func() {
				c := env.connect()
				defer c.Close()
				class := classes[i%len(classes)]
				env.post(c, "/api", http1.Header{
					{Name: "X-Correlation-Id", Value: fmt.Sprint("c", i)}, {Name: "X-Service-Class", Value: class["Name"].(string)},
					{Name: "X-Account", Value: fmt.Sprint("t", i%3)}, {Name: "X-Time-Left", Value: strconv.Itoa(class["DeadlineUs"].(int)) + "u"},
					{Name: "Idempotency-Key", Value: fmt.Sprint("key of ", i)}, {Name: "Cookie", Value: fmt.Sprint("user=u", i%2)},
				}, "the work")
				a := env.read(c)
				if status[i] = a.Status; a.Status == 200 && string(a.Body) != fmt.Sprint("of c", i) {
					status[i] = -1
				}
			})
		}
		all.Wait()
	}
	round(0)
	watch := <-watches
	members[0]["phase"] = "terminating"
	line, err := json.Marshal(object{"revision": 2, "complete": false, "members": members[:1]})
	require.NoError(rt, err)
	fmt.Fprintf(watch, "%x\r\n%s\n\r\n", len(line)+1, line)
	env.await(func() bool { return !p.pool.Available("s-0") })
	round(commandsPerRound)
	signals <- syscall.SIGTERM
	f.check(rt, s, members, status)
}

// check compares what instances received and clients were answered with the rules.
func (f *scriptedFleet) check(t *rapid.T, s object, members []object, status []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	classes, maxAttempts := s["RequestClasses"].([]object), s["Permissions"].(object)["AttemptsCap"].(int)
	for i, answered := range status {
		name, class := fmt.Sprint("c", i), classes[i%len(classes)]
		all := f.attempts[name]
		require.Contains(t, []int{200, 400, 502, 503}, answered, "status of %s", name)
		require.LessOrEqual(t, len(all), maxAttempts, "attempts of %s", name)
		var ran *receivedAttempt // the first attempt that may have run
		for _, a := range all {
			require.Equal(t, fmt.Sprint("key of ", i), a.key)
			require.False(t, i >= commandsPerRound && a.instance == "s-0", "%s was sent to a draining instance", name)
			if ran != nil && class["Effect"] == "single_shot" {
				t.Fatalf("%s was sent again, to %s, though %s may have run it", name, a.instance, ran.instance)
			}
			if ran != nil && class["Effect"] == "guarded" {
				group := map[string]string{"zone": "locality", "cell": "cell"}[class["KeyScope"].(string)]
				groupOf := func(instance string) any { n, _ := strconv.Atoi(instance[2:]); return members[n][group] }
				require.Equal(t, groupOf(ran.instance), groupOf(a.instance), "%s was retried outside its group", name)
			}
			if !a.neverRan && ran == nil {
				ran = &a
			}
		}
		if harmless := class["Effect"] == "free" || class["Effect"] == "guarded" && class["KeyScope"] == "all"; ran != nil && !harmless {
			require.NotEqual(t, 503, answered, "%s was refused although %s may have run it", name, ran.instance)
		}
	}
}
