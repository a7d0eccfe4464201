// Package plant simulates the workers of pipeline stages on loopback: they read the inputs in a job's body, know which
// outputs are bad, and report that in their results. It is used by tests and measurements.
package plant

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"time"

	"caperrelay/internal/net/pipelines"
	"caperrelay/internal/net/sock"
	"caperrelay/internal/rig"
)

// Worker is a simulated worker and its place.
type Worker struct {
	ID, Zone, Kind string
	Cell           int
}

// Run is one run of a stage, as recorded by its worker.
type Run struct {
	Worker Worker
	pipelines.Told
	Class        string
	Daemon       int       // that sent it
	Began, Ended time.Time // Ended is zero if it was killed or cancelled
	Outcome      pipelines.Outcome
}

// Cluster is a set of simulated workers. Work gives the duration of a run when it begins, Decide its outcome when its
// work is done.
type Cluster struct {
	Workers []Worker
	Work    func(Run) time.Duration
	Decide  func(Run) pipelines.Outcome

	mu      sync.Mutex
	runs    []*Run
	down    map[string]bool
	servers []*server
	client  http.Client
	done    chan struct{}
	wg      sync.WaitGroup
}

// New returns a cluster.
func New(workers []Worker) *Cluster {
	return &Cluster{
		Workers: workers, down: map[string]bool{}, done: make(chan struct{}), client: http.Client{Timeout: 2 * time.Second},
		Work:   func(Run) time.Duration { return 20 * time.Millisecond },
		Decide: func(Run) pipelines.Outcome { return pipelines.Outcome{} },
	}
}

// Close stops all servers and waits for pending callbacks.
func (p *Cluster) Close() {
	close(p.done)
	for _, d := range p.servers {
		d.close()
	}
	p.client.CloseIdleConnections()
	p.wg.Wait()
}

// Runs returns all runs so far.
func (p *Cluster) Runs() (all []Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		all = append(all, *r)
	}
	return all
}

// Down stops a worker's process, with all its runs, or starts it again. A stopped one accepts no connections.
func (p *Cluster) Down(worker string, down bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[worker] = down
	for _, d := range p.servers {
		if d.worker != worker {
			continue
		}
		if down {
			d.close()
		} else if err := d.open(); err != nil {
			return err
		}
	}
	return nil
}

// server is an HTTP server that can be stopped and restarted at the same address.
type server struct {
	worker, addr string
	handler      http.Handler
	listener     net.Listener
	httpServer   *http.Server
}

// open starts the server. The rig keeps the address reserved, so that nothing else takes it while the server is down.
func (d *server) open() (err error) {
	if d.listener, err = sock.Listen(d.addr); err != nil {
		return err
	}
	d.httpServer = &http.Server{Handler: d.handler, ReadHeaderTimeout: 5 * time.Second}
	go d.httpServer.Serve(d.listener)
	return nil
}

// close stops the server and closes its connections.
func (d *server) close() {
	d.httpServer.Close()
	d.listener.Close() // in case the server has not taken it yet
}

func (p *Cluster) listen(r *rig.Rig, worker string, h http.Handler) (string, error) {
	at, err := r.Reserve()
	if err != nil {
		return "", err
	}
	d := &server{worker: worker, addr: at, handler: h}
	if err := d.open(); err != nil {
		return "", err
	}
	p.servers = append(p.servers, d)
	return at, nil
}

var discovery = regexp.MustCompile(`(?m)^discovery = .*$`)

// Join configures a rig's daemons, which must not have started yet, to discover these workers instead of the rig's
// encoders, and to serve the pipelines of a policy file.
func (p *Cluster) Join(r *rig.Rig, policy string) error {
	for n := range r.Daemons {
		d := r.Daemon(n)
		type member struct {
			ID      string  `json:"id"`
			Address string  `json:"host_port"`
			Zone    string  `json:"locality"`
			Kind    string  `json:"flavor"`
			Cell    int     `json:"cell"`
			Phase   string  `json:"phase"`
			Size    float64 `json:"size"`
		}
		var members []member
		for _, w := range p.Workers {
			at, err := p.listen(r, w.ID, p.workerHandler(w, n, r))
			if err != nil {
				return err
			}
			members = append(members, member{w.ID, at, w.Zone, w.Kind, w.Cell, "in_service", 1})
		}
		text, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": members})
		if err != nil {
			return err
		}
		at, err := p.listen(r, "", p.listHandler(text))
		if err != nil {
			return err
		}
		file, err := os.ReadFile(d.File())
		if err != nil {
			return err
		}
		if !discovery.Match(file) {
			return errors.New("plant: the daemon's file names no discovery")
		}
		file = discovery.ReplaceAll(file, fmt.Appendf(nil, "discovery = %q", at))
		file = fmt.Appendf(file, "\n[pipelines]\nfile = %q\n", policy)
		if err := os.WriteFile(d.File(), file, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// listHandler serves a constant instance list, and a watch on it.
func (p *Cluster) listHandler(text []byte) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != "/catalog/members" {
			http.NotFound(w, q)
			return
		}
		w.Write(text)
		if q.URL.Query().Get("stream") != "1" {
			return
		}
		w.Write([]byte("\n"))
		tick := time.NewTicker(500 * time.Millisecond)
		defer tick.Stop()
		for {
			w.(http.Flusher).Flush()
			select {
			case <-q.Context().Done():
				return
			case <-p.done:
				return
			case <-tick.C:
				if _, err := w.Write([]byte("\n")); err != nil {
					return
				}
			}
		}
	})
}

// workerHandler serves a worker to one daemon.
func (p *Cluster) workerHandler(worker Worker, daemon int, r *rig.Rig) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Correlation-Id")
		if q.Method != "POST" || id == "" {
			w.WriteHeader(http.StatusOK)
			return
		}
		run := &Run{Worker: worker, Class: q.Header.Get("X-Service-Class"), Daemon: daemon, Began: time.Now()}
		body, err := io.ReadAll(io.LimitReader(q.Body, 1<<20))
		if err == nil {
			err = json.Unmarshal(body, &run.Told)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.runs = append(p.runs, run)
		p.mu.Unlock()
		w.WriteHeader(http.StatusAccepted)
		p.wg.Go(func() { p.runJob(run, id, daemon, r) })
	})
}

func (p *Cluster) runJob(run *Run, id string, daemon int, r *rig.Rig) {
	p.sendCallback(r, daemon, map[string]any{"id": id, "from": run.Worker.ID, "state": "started"}, 1)
	select {
	case <-p.done:
		return
	case <-time.After(p.Work(*run)):
	}
	p.mu.Lock()
	down := p.down[run.Worker.ID]
	p.mu.Unlock()
	if down { // the agent on the worker's machine notices that the process is gone
		p.sendCallback(r, daemon, map[string]any{"id": id, "from": run.Worker.ID, "state": "lost"}, 40)
		return
	}
	o := p.Decide(*run)
	p.mu.Lock()
	run.Ended, run.Outcome = time.Now(), o
	p.mu.Unlock()
	p.sendCallback(r, daemon, map[string]any{"id": id, "from": run.Worker.ID, "state": "done", "result": o}, 40)
}

// sendCallback posts a callback to a daemon: first to the one that sent the job, then to random ones until one accepts
// it.
func (p *Cluster) sendCallback(r *rig.Rig, daemon int, news map[string]any, tries int) {
	body, _ := json.Marshal(news) // cannot fail: plain data
	for n := range tries {
		at := daemon
		if n > 0 {
			at = rand.IntN(r.Daemons)
			select {
			case <-p.done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
		a, err := p.client.Post("http://"+r.Daemon(at).Listen+"/_jobs/news", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		io.Copy(io.Discard, a.Body)
		if a.Body.Close(); a.StatusCode/100 == 2 {
			return
		}
	}
}

// String describes a run for test output.
func (r Run) String() string {
	return fmt.Sprintf("%s %s@%d at %s %s", r.Told.Run, r.Told.Stage, r.Generation, r.Worker.ID, strings.TrimSpace(string(r.Outcome.Outcome)+" "+r.Outcome.Input))
}
