// Package workersim simulates the workers of pipeline stages on loopback: they read the inputs in a job's body, know which
// outputs are bad, and report that in their results. It is used by tests and measurements.
package workersim

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
	pipelines.JobBody
	Class        string
	Daemon       int       // that sent it
	Began, Ended time.Time // Ended is zero if it was killed or cancelled
	Outcome      pipelines.Outcome
}

// Cluster is a set of simulated workers. WorkTime returns the duration of a run when it begins, OutcomeOf its outcome
// when its work is done.
type Cluster struct {
	Workers   []Worker
	WorkTime  func(Run) time.Duration
	OutcomeOf func(Run) pipelines.Outcome

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
		WorkTime:  func(Run) time.Duration { return 20 * time.Millisecond },
		OutcomeOf: func(Run) pipelines.Outcome { return pipelines.Outcome{} },
	}
}

// Close stops all servers and waits for pending callbacks.
func (c *Cluster) Close() {
	close(c.done)
	for _, s := range c.servers {
		s.close()
	}
	c.client.CloseIdleConnections()
	c.wg.Wait()
}

// Runs returns all runs so far.
func (c *Cluster) Runs() (all []Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runs {
		all = append(all, *r)
	}
	return all
}

// SetDown stops a worker's process or starts it again. A stopped one accepts no connections; its runs are reported as
// lost when their work time is over.
func (c *Cluster) SetDown(worker string, down bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[worker] = down
	for _, s := range c.servers {
		if s.worker != worker {
			continue
		}
		if down {
			s.close()
		} else if err := s.open(); err != nil {
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
func (s *server) open() (err error) {
	if s.listener, err = sock.Listen(s.addr); err != nil {
		return err
	}
	s.httpServer = &http.Server{Handler: s.handler, ReadHeaderTimeout: 5 * time.Second}
	go s.httpServer.Serve(s.listener)
	return nil
}

// close stops the server and closes its connections.
func (s *server) close() {
	s.httpServer.Close()
	s.listener.Close() // in case the server has not taken it yet
}

func (c *Cluster) listen(r *rig.Rig, worker string, h http.Handler) (string, error) {
	addr, err := r.Reserve()
	if err != nil {
		return "", err
	}
	s := &server{worker: worker, addr: addr, handler: h}
	if err := s.open(); err != nil {
		return "", err
	}
	c.servers = append(c.servers, s)
	return addr, nil
}

var discovery = regexp.MustCompile(`(?m)^discovery = .*$`)

// Attach configures a rig's daemons, which must not have started yet, to discover these workers instead of the rig's
// encoders, and to serve the pipelines of a policy file.
func (c *Cluster) Attach(r *rig.Rig, policy string) error {
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
		for _, w := range c.Workers {
			addr, err := c.listen(r, w.ID, c.workerHandler(w, n, r))
			if err != nil {
				return err
			}
			members = append(members, member{w.ID, addr, w.Zone, w.Kind, w.Cell, "in_service", 1})
		}
		text, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": members})
		if err != nil {
			return err
		}
		addr, err := c.listen(r, "", c.listHandler(text))
		if err != nil {
			return err
		}
		file, err := os.ReadFile(d.File())
		if err != nil {
			return err
		}
		if !discovery.Match(file) {
			return errors.New("workersim: the daemon's settings file has no discovery setting")
		}
		file = discovery.ReplaceAll(file, fmt.Appendf(nil, "discovery = %q", addr))
		file = fmt.Appendf(file, "\n[pipelines]\nfile = %q\n", policy)
		if err := os.WriteFile(d.File(), file, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// listHandler serves a constant instance list, and a watch on it.
func (c *Cluster) listHandler(text []byte) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/catalog/members" {
			http.NotFound(w, req)
			return
		}
		w.Write(text)
		if req.URL.Query().Get("stream") != "1" {
			return
		}
		w.Write([]byte("\n"))
		tick := time.NewTicker(500 * time.Millisecond)
		defer tick.Stop()
		for {
			w.(http.Flusher).Flush()
			select {
			case <-req.Context().Done():
				return
			case <-c.done:
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
func (c *Cluster) workerHandler(worker Worker, daemon int, r *rig.Rig) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Correlation-Id")
		if req.Method != "POST" || id == "" {
			w.WriteHeader(http.StatusOK)
			return
		}
		run := &Run{Worker: worker, Class: req.Header.Get("X-Service-Class"), Daemon: daemon, Began: time.Now()}
		body, err := io.ReadAll(io.LimitReader(req.Body, 1<<20))
		if err == nil {
			err = json.Unmarshal(body, &run.JobBody)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.mu.Lock()
		c.runs = append(c.runs, run)
		c.mu.Unlock()
		w.WriteHeader(http.StatusAccepted)
		c.wg.Go(func() { c.runJob(run, id, daemon, r) })
	})
}

func (c *Cluster) runJob(run *Run, id string, daemon int, r *rig.Rig) {
	c.sendCallback(r, daemon, map[string]any{"id": id, "from": run.Worker.ID, "state": "started"}, 1)
	select {
	case <-c.done:
		return
	case <-time.After(c.WorkTime(*run)):
	}
	c.mu.Lock()
	down := c.down[run.Worker.ID]
	c.mu.Unlock()
	if down { // the agent on the worker's machine notices that the process is gone
		c.sendCallback(r, daemon, map[string]any{"id": id, "from": run.Worker.ID, "state": "lost"}, 40)
		return
	}
	o := c.OutcomeOf(*run)
	c.mu.Lock()
	run.Ended, run.Outcome = time.Now(), o
	c.mu.Unlock()
	c.sendCallback(r, daemon, map[string]any{"id": id, "from": run.Worker.ID, "state": "done", "result": o}, 40)
}

// sendCallback posts a callback to a daemon: first to the one that sent the job, then to random ones until one accepts
// it.
func (c *Cluster) sendCallback(r *rig.Rig, daemon int, callback map[string]any, tries int) {
	body, _ := json.Marshal(callback) // cannot fail: plain data
	for n := range tries {
		to := daemon
		if n > 0 {
			to = rand.IntN(r.Daemons)
			select {
			case <-c.done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
		resp, err := c.client.Post("http://"+r.Daemon(to).Listen+"/_jobs/news", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		io.Copy(io.Discard, resp.Body)
		if resp.Body.Close(); resp.StatusCode/100 == 2 {
			return
		}
	}
}

// String describes a run for test output.
func (r Run) String() string {
	return fmt.Sprintf("%s %s@%d at %s %s", r.JobBody.Run, r.JobBody.Stage, r.Generation, r.Worker.ID, strings.TrimSpace(string(r.Outcome.Outcome)+" "+r.Outcome.Input))
}
