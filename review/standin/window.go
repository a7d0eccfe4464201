package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settingsOfWindow are those of a deployment with a keyed class whose repeats all encoders drop for 1.5 s.
const settingsOfWindow = `{"Balancers":1,"SlotNo":0,"Zone":0,"Zones":["a"],"Skus":["m2"],"GranularityUs":2000,"Discovery":"subscribe",
"KindOfService":"jobs","Weights":"silent","WorthBy":"work","OverShareWorth":0.05,
"Domain":{"ClassKind":[-1],"ClassPriority":[0],"ClassStretch":[1.75],"ProgressUs":2000000,"QueueOrder":"backfill","TellsStart":true},
"LoadReport":{"Fields":[],"Via":"silent"},"ObjectiveMix":{"Whole":0.4,"WorstClass":0.2,"WorstTenant":0.25,"WorstWindow":0.15},
"Deductions":{"Waste":0.3},
"Permissions":{"AttemptsCap":3,"Cancelling":true,"ConnIdleUs":30000000,"ConnectTimeoutUs":1500000,"CpuUsPerS":15000,"MaxRetryAfterUs":2000000,"MaxStreams":1,
"OpenCap":20000,"ParallelTries":false,"Probes":false,"RetryAfter":true},
"RequestClasses":[
{"AimUs":300000,"DeadlineUs":5000000,"Effect":"guarded","KeyScope":"all","LateWorth":0.5,"MemorySpanUs":1500000,"Name":"invoice","Points":10,"Stream":false}],
"Rules":{"AnswerSlackUs":8000,"ColdFrom":0.14,"ColdUs":24000000,"DrainGraceUs":1500000,"FallMultiple":3,"FallUs":1000000,"MustAskInUs":10000000},
"Tenants":[{"Name":"acme","QuotaPerS":20,"Share":1}],"Tiers":["workers"],"Layer":0}`

const (
	earlier    = "earlier-"              // keys of the invoices before begin with it
	memorySpan = 1500 * time.Millisecond // as in the settings
	slack      = 50 * time.Millisecond   // of each time limit
	lostAfter  = 900 * time.Millisecond  // after which the first worker's machine tells that the job was killed
	lateFrom   = 700 * time.Millisecond  // from then on connections to the other worker come up late,
	lateUntil  = 1400 * time.Millisecond // until then
)

// lateListener is a listener whose queue of connections can be filled: the handshake of one that comes meanwhile is
// repeated by its sender after a second.
type lateListener struct {
	net.Listener
	mu     sync.Mutex
	queued []net.Conn
	resume chan struct{} // closed once the queue may be emptied; nil: it is not kept full
	holds  chan struct{} // gets one while a connection is held
}

func newLateListener() *lateListener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	need(err)
	need(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	need(syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "late-listener")
	defer file.Close()
	l, err := net.FileListener(file)
	need(err)
	return &lateListener{Listener: l, holds: make(chan struct{}, 1)}
}

// Accept waits while the queue is kept full.
func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	resume := l.resume
	l.mu.Unlock()
	if resume != nil {
		l.holds <- struct{}{}
		<-resume
	}
	return c, err
}

// fill fills the queue until empty is called.
func (l *lateListener) fill() {
	l.mu.Lock()
	l.resume = make(chan struct{})
	l.mu.Unlock()
	for n := range 2 { // one is accepted and held, one stays in the queue
		c, err := net.DialTimeout("tcp", l.Addr().String(), 500*time.Millisecond)
		need(err)
		l.queued = append(l.queued, c)
		if n == 0 {
			<-l.holds
		}
	}
}

func (l *lateListener) empty() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.resume)
	l.resume = nil
	for _, c := range l.queued {
		c.Close()
	}
}

// memory is what all workers know of keys: they drop a repeat for memorySpan.
type memory struct {
	mu      sync.Mutex
	first   map[string]time.Time // when the first request with a key came
	effects map[string]int       // times that a job had its effect
	inTime  int                  // further attempts within the span
	late    int                  // and later than it and the slack
}

// worker is a stand-in of a conversion worker.
type worker struct {
	b          *bench
	id         string
	l          *lateListener
	dispatcher string
	memory     *memory
	got        chan string
}

func (e *worker) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	io.Copy(io.Discard, q.Body)
	if q.Method == http.MethodDelete {
		return
	}
	id, key := q.Header.Get("X-Correlation-Id"), q.Header.Get("Idempotency-Key")
	m := e.memory
	m.mu.Lock()
	first, known := m.first[key]
	since := time.Since(first)
	repeat := known && since < memorySpan
	if !known {
		m.first[key] = time.Now()
	}
	if repeat {
		m.inTime++
	} else if known && since > memorySpan+slack {
		m.late++
	}
	if !repeat {
		m.effects[key]++
	}
	n := m.effects[key]
	m.mu.Unlock()
	switch {
	case repeat:
		e.b.note("%s: took %s with key %s, %v after the first: a repeat, dropped", e.id, id, key, since.Round(time.Millisecond))
	case known:
		e.b.note("%s: took %s with key %s, %v after the first: it is not remembered any more and runs, effect %d", e.id, id, key, since.Round(time.Millisecond), n)
	default:
		e.b.note("%s: took %s with key %s and runs it, effect %d", e.id, id, key, n)
	}
	w.Header().Set("Connection", "close") // so that each attempt comes on a connection of its own
	w.WriteHeader(202)
	go func() {
		e.call(id, "started", nil)
		if !known && strings.HasPrefix(key, earlier) {
			time.Sleep(100 * time.Millisecond)
			e.call(id, "done", map[string]any{"result": "invoice " + key})
			return
		}
		if !known {
			e.got <- e.id
			time.Sleep(lostAfter)
			e.call(id, "lost", nil)
			return
		}
		time.Sleep(200 * time.Millisecond)
		e.call(id, "done", map[string]any{"result": "invoice " + key})
	}()
}

func (e *worker) call(id, state string, more map[string]any) {
	object := map[string]any{"id": id, "from": e.id, "state": state}
	for k, v := range more {
		object[k] = v
	}
	body, _ := json.Marshal(object)
	for range maxCalls {
		r, err := http.Post("http://"+e.dispatcher+"/_jobs/news", "application/json", bytes.NewReader(body))
		if err == nil {
			r.Body.Close()
			e.b.note("%s: %s of %s: answered %d", e.id, state, id, r.StatusCode)
			return
		}
	}
}

// playWindow has a keyed job killed at its worker, and the connection for its repeat come up late.
func playWindow(b *bench) int {
	dispatcher := freeAddress()
	m := &memory{first: map[string]time.Time{}, effects: map[string]int{}}
	got := make(chan string, 9)
	var members []member
	workers := map[string]*worker{}
	for _, id := range []string{"s-00000001", "s-00000002"} {
		e := &worker{b: b, id: id, l: newLateListener(), dispatcher: dispatcher, memory: m, got: got}
		go http.Serve(e.l, e)
		workers[id] = e
		members = append(members, member{ID: id, HostPort: e.l.Addr().String(), Locality: "a", Flavor: "m2", Phase: "in_service", Size: 1})
	}
	disc := listen(discovery(members))
	known, err := json.Marshal(members)
	need(err)
	config := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":%s},"settings":%s}`,
		dispatcher, disc, known, settingsOfWindow)
	file := filepath.Join(b.dir, "config.json")
	need(os.WriteFile(file, []byte(config), 0o600))
	p := b.start("n1", []string{"PROXY_NAME=n1", "PROXY_LISTEN=" + dispatcher, "PROXY_DISCOVERY=" + disc, "PROXY_CONFIG=" + file, "TMPDIR=" + b.dir})
	ready(dispatcher)

	send := func(id, key string) int {
		q, err := http.NewRequest("POST", "http://"+dispatcher+"/api", bytes.NewReader([]byte("invoice")))
		need(err)
		for k, v := range map[string]string{"X-Correlation-Id": id, "X-Service-Class": "invoice", "X-Account": "acme", "X-Time-Left": "5000m", "Idempotency-Key": key} {
			q.Header.Set(k, v)
		}
		b.note("client: sends the invoice with key %s", key)
		r, err := (&http.Client{Timeout: 20 * time.Second}).Do(q)
		if err != nil {
			b.note("client: %v", err)
			return 0
		}
		defer r.Body.Close()
		body, _ := io.ReadAll(r.Body)
		b.note("client: is answered %d %q", r.StatusCode, body)
		return r.StatusCode
	}
	for n := range 4 {
		if send(fmt.Sprintf("00000000000000a%d", n), fmt.Sprint(earlier, n)) != 200 {
			giveUp("an earlier invoice was not served")
		}
	}
	const key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	status := make(chan int, 1)
	go func() { status <- send("00000000000000c3", key) }()
	first := ""
	select {
	case first = <-got:
	case <-time.After(10 * time.Second):
		giveUp("no worker got the job")
	}
	began := time.Now()
	for id, e := range workers {
		if id != first && b.trouble {
			time.Sleep(time.Until(began.Add(lateFrom)))
			e.l.fill()
			b.note("%s: connections come up late from now on", id)
			time.Sleep(time.Until(began.Add(lateUntil)))
			e.l.empty()
			b.note("%s: connections come up at once again", id)
		}
	}
	answer := <-status
	time.Sleep(time.Second)
	b.logOf(p, "level=ERROR", "level=WARN")
	m.mu.Lock()
	defer m.mu.Unlock()
	b.note("result: the invoice had its effect %d times; further attempts later than the span: %d; answer %d", m.effects[key], m.late, answer)
	switch {
	case m.effects[key] > 1 && m.late > 0:
		return broken
	case b.trouble && m.inTime > 0: // no connection was late
		return failed
	case m.effects[key] == 1:
		return held
	}
	return failed
}
