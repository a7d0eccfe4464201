package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// settingsOfReturned are those of the wire page's example but for: one dispatcher, one zone, one kind; late answers of
// publish are worth something, as at the second operator's.
const settingsOfReturned = `{"Balancers":1,"SlotNo":0,"Zone":0,"Zones":["a"],"Skus":["m2"],"GranularityUs":2000,"Discovery":"subscribe",
"KindOfService":"jobs","Weights":"silent","WorthBy":"work","OverShareWorth":0.05,
"Domain":{"ClassKind":[-1,-1],"ClassPriority":[0,1],"ClassStretch":[2.5,2.0],"ProgressUs":1000000,"QueueOrder":"fifo","TellsStart":true},
"LoadReport":{"Fields":[],"Via":"silent"},"ObjectiveMix":{"Whole":0.4,"WorstClass":0.2,"WorstTenant":0.25,"WorstWindow":0.15},
"Deductions":{"CrossZone":0.1,"Handshake":0.02,"LateFail":0.031,"Probe":0.0013,"Waste":0.3},
"Permissions":{"AttemptsCap":3,"Cancelling":true,"ConnIdleUs":30000000,"ConnectTimeoutUs":120000,"CpuUsPerS":15000,"MaxRetryAfterUs":2000000,"MaxStreams":1,
"OpenCap":20000,"ParallelTries":true,"Probes":true,"RetryAfter":true},
"RequestClasses":[
{"AimUs":500000,"DeadlineUs":5000000,"Effect":"free","KeyScope":"all","LateWorth":0,"MemorySpanUs":5000000,"Name":"preview","Points":1,"Stream":false},
{"AimUs":2000000,"DeadlineUs":25000000,"Effect":"single_shot","KeyScope":"all","LateWorth":0.5,"MemorySpanUs":5000000,"Name":"publish","Points":5,"Stream":false}],
"Rules":{"AnswerSlackUs":8000,"ColdFrom":0.14,"ColdUs":24000000,"DrainGraceUs":750000,"FallMultiple":3,"FallUs":1000000,"MustAskInUs":10000000},
"Tenants":[{"Name":"acme","QuotaPerS":20,"Share":1}],"Tiers":["encoders"],"Layer":0}`

const (
	callTimeout  = 4 * time.Second        // of an encoder's call-back that is not answered; then it calls again
	maxCalls     = 10                     // of one call-back
	handBack     = 400 * time.Millisecond // after which the first publish at the second encoder is handed back unstarted
	longPublish  = 9 * time.Second        // run time of the publish that keeps the first encoder busy
	shortPublish = 5 * time.Second        // run time of the other
)

// encoder is a stand-in of an encoder with one slot and a queue. The record has each job that it begins to run.
type encoder struct {
	b       *bench
	id      string
	address string
	calls   *relay // to the dispatcher

	mu       sync.Mutex
	handsOne bool            // hand back the next job
	holds    map[string]bool // jobs taken and not ended, by id
	dropped  map[string]bool
	runs     map[string]int // times that each job began to run
	slot     chan struct{}
	runTime  map[string]time.Duration
	overlaps int  // attempts of a job that came while another one of it was here
	lost     bool // an answer to a call-back was lost
}

func newEncoder(b *bench, id, dispatcher string) *encoder {
	e := &encoder{b: b, id: id, calls: newRelay(dispatcher), holds: map[string]bool{}, dropped: map[string]bool{}, runs: map[string]int{}, slot: make(chan struct{}, 1), runTime: map[string]time.Duration{}}
	e.address = listen(e)
	return e
}

func (e *encoder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	io.Copy(io.Discard, q.Body)
	if q.URL.Path == "/ping" {
		return
	}
	if q.Method == http.MethodDelete {
		id := filepath.Base(q.URL.Path)
		e.b.note("%s: told to give up %s", e.id, id)
		e.mu.Lock()
		e.dropped[id] = true // a waiting job is dropped, a running one goes on
		e.mu.Unlock()
		return
	}
	id := q.Header.Get("X-Correlation-Id")
	e.mu.Lock()
	hand := e.handsOne
	e.handsOne = false
	if e.holds[id] {
		e.overlaps++
		e.b.note("%s: got %s while an attempt of it is here", e.id, id)
	}
	e.holds[id], e.dropped[id] = true, false
	e.mu.Unlock()
	e.b.note("%s: took %s (202)", e.id, id)
	w.WriteHeader(202)
	if hand {
		go e.handBack(id)
	} else {
		go e.work(id)
	}
}

// handBack hands a job back unstarted. In the troubled run the answer to that call-back is lost.
func (e *encoder) handBack(id string) {
	time.Sleep(handBack)
	e.mu.Lock()
	delete(e.holds, id)
	e.mu.Unlock()
	if e.b.trouble {
		e.calls.loseNext(func() {
			e.b.note("%s: the answer to its call-back is lost", e.id)
			e.mu.Lock()
			e.lost = true
			e.mu.Unlock()
		})
	}
	e.call(id, "returned", nil)
}

// work runs a job in the slot and tells of it.
func (e *encoder) work(id string) {
	e.slot <- struct{}{}
	defer func() { <-e.slot }()
	e.mu.Lock()
	if e.dropped[id] {
		delete(e.holds, id)
		e.mu.Unlock()
		e.b.note("%s: dropped %s, which it had not begun", e.id, id)
		return
	}
	e.runs[id]++
	run := e.runTime[id]
	e.mu.Unlock()
	e.b.note("%s: began to run %s", e.id, id)
	e.call(id, "started", nil)
	for end := time.Now().Add(run); ; {
		left := time.Until(end)
		if left <= 0 {
			break
		}
		time.Sleep(min(left, time.Second))
		if left > time.Second {
			go e.call(id, "running", map[string]any{"share": 1 - (left-time.Second).Seconds()/run.Seconds()})
		}
	}
	e.b.note("%s: has done %s", e.id, id)
	e.mu.Lock()
	delete(e.holds, id)
	e.mu.Unlock()
	e.call(id, "done", map[string]any{"result": "published " + id + " by " + e.id})
}

// call makes a call-back, again and again until it is answered.
func (e *encoder) call(id, state string, more map[string]any) {
	object := map[string]any{"id": id, "from": e.id, "state": state}
	for k, v := range more {
		object[k] = v
	}
	body, _ := json.Marshal(object)
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 1; n <= maxCalls; n++ {
		r, err := client.Post("http://"+e.calls.address+"/_jobs/news", "application/json", bytes.NewReader(body))
		if err == nil {
			r.Body.Close()
			if state != "running" {
				e.b.note("%s: call %d, %s of %s: answered %d", e.id, n, state, id, r.StatusCode)
			}
			return
		}
		e.b.note("%s: call %d, %s of %s: no answer", e.id, n, state, id)
	}
}

func (e *encoder) began(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// hasLost reports whether the answer to a call-back of the encoder was lost.
func (e *encoder) hasLost() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lost
}

// publish sends one request and returns the answer's status and body.
func publish(b *bench, dispatcher, id string) (int, string) {
	q, err := http.NewRequest("POST", "http://"+dispatcher+"/api", bytes.NewReader([]byte("lecture "+id)))
	need(err)
	for k, v := range map[string]string{"X-Correlation-Id": id, "X-Service-Class": "publish", "X-Account": "acme", "X-Time-Left": "25000m"} {
		q.Header.Set(k, v)
	}
	b.note("client: sends %s", id)
	r, err := (&http.Client{Timeout: 40 * time.Second}).Do(q)
	if err != nil {
		b.note("client: %s: %v", id, err)
		return 0, ""
	}
	defer r.Body.Close()
	body, _ := io.ReadAll(r.Body)
	b.note("client: %s is answered %d %q", id, r.StatusCode, body)
	return r.StatusCode, string(body)
}

// playReturned has an encoder hand a publish back unstarted, and the answer to that call-back lost. The encoder calls
// again, as the protocol says, at a time when it has taken a second attempt of the same request.
func playReturned(b *bench) int {
	dispatcher := freeAddress()
	encoders := []*encoder{newEncoder(b, "s-00000001", dispatcher), newEncoder(b, "s-00000002", dispatcher)}
	var members []member
	for _, e := range encoders {
		members = append(members, member{ID: e.id, HostPort: e.address, Locality: "a", Flavor: "m2", Phase: "in_service", Size: 1})
	}
	disc := listen(discovery(members))
	known, err := json.Marshal(members)
	need(err)
	config := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":%s},"settings":%s}`,
		dispatcher, disc, known, settingsOfReturned)
	file := filepath.Join(b.dir, "config.json")
	need(os.WriteFile(file, []byte(config), 0o600))
	p := b.start("n1", []string{"PROXY_NAME=n1", "PROXY_LISTEN=" + dispatcher, "PROXY_DISCOVERY=" + disc, "PROXY_CONFIG=" + file, "TMPDIR=" + b.dir})
	ready(dispatcher)

	const first, second = "00000000000000a1", "00000000000000b2"
	for _, e := range encoders {
		e.runTime[first], e.runTime[second] = longPublish, shortPublish
	}
	var clients sync.WaitGroup
	clients.Go(func() { publish(b, dispatcher, first) })
	var busy, other *encoder
	eventually(10*time.Second, "the first publish runs", func() bool {
		for i, e := range encoders {
			if e.began(first) > 0 {
				busy, other = e, encoders[1-i]
			}
		}
		return busy != nil
	})
	time.Sleep(200 * time.Millisecond)
	other.mu.Lock()
	other.handsOne = true
	other.mu.Unlock()
	status := 0
	clients.Go(func() { status, _ = publish(b, dispatcher, second) })
	clients.Wait()
	time.Sleep(callTimeout + 2*shortPublish) // what still runs or is still called

	runs := busy.began(second) + other.began(second)
	overlaps := busy.overlaps + other.overlaps
	b.logOf(p, "level=ERROR", "level=WARN", "counters at exit")
	b.note("result: %s, a publish, began to run %d times; attempts at an encoder that had one of it: %d; answer to the client: %d", second, runs, overlaps, status)
	switch {
	case runs > 1 || overlaps > 0:
		return broken
	case runs <= 1 && other.hasLost() == b.trouble && (b.trouble || status == 200):
		return held
	}
	return failed
}
