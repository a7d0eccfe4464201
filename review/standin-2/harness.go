// Command standin-2 plays the cases review/6 and later: it starts the project's programs as processes, and the
// stand-ins (clients, servers, encoders, discovery, a relay) in itself.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"caperrelay/internal/net/sock"
)

// errCase is a reason why a case could not run.
type errCase struct{ error }

// play is one run of a case.
type play struct {
	trouble bool
	dir     string // temporary
	root    string // of the repository
	began   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	procs  []*process
	broken []string
}

// note writes a line to record.txt.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (p *play) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.note("BROKEN: %s", text)
	p.mu.Lock()
	p.broken = append(p.broken, text)
	p.mu.Unlock()
}

// cannot ends the case with exit code 2.
func (p *play) cannot(format string, args ...any) {
	panic(errCase{fmt.Errorf(format, args...)})
}

func (p *play) must(err error, what string) {
	if err != nil {
		p.cannot("%s: %v", what, err)
	}
}

// process is one of the project's programs.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	name string
}

// start runs a command of the deploy file from the repository's root, with a log of its own in the temporary folder.
func (p *play) start(name, command string, env ...string) *process {
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.must(err, "log")
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.root, log, log
	cmd.Env = append(append(os.Environ(), "TMPDIR="+p.dir), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.must(cmd.Start(), name)
	log.Close()
	pr := &process{cmd: cmd, done: make(chan struct{}), name: name}
	go func() { pr.err = cmd.Wait(); close(pr.done) }()
	p.mu.Lock()
	p.procs = append(p.procs, pr)
	p.mu.Unlock()
	p.note("process %s started, pid %d", name, cmd.Process.Pid)
	return pr
}

func (pr *process) ended() bool {
	select {
	case <-pr.done:
		return true
	default:
		return false
	}
}

// end kills all processes that were started.
func (p *play) end() {
	for _, pr := range p.procs {
		if !pr.ended() {
			pr.cmd.Process.Signal(syscall.SIGCONT)
			pr.cmd.Process.Kill()
		}
		<-pr.done
	}
}

// ready waits until a dispatcher serves.
func (p *play) ready(pr *process, address string, within time.Duration) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if pr.ended() {
			p.cannot("%s has ended: %v\n%s", pr.name, pr.err, p.tail(pr.name))
		}
		if r, err := quick.Get("http://" + address + "/_health"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				p.note("process %s serves", pr.name)
				return
			}
		}
	}
	p.cannot("%s does not serve\n%s", pr.name, p.tail(pr.name))
}

func (p *play) tail(name string) string {
	text, _ := os.ReadFile(filepath.Join(p.dir, name+".log"))
	return string(text[max(0, len(text)-1500):])
}

var quick = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// free returns a loopback address whose port is kept for the programs of this run: a socket that shares its port, as theirs
// do, is bound to it and does not listen, so that nobody else is given the port before they listen or while they restart.
func (p *play) free() string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	p.must(err, "port")
	p.must(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, sock.ReusePort, 1), "port")
	p.must(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), "port")
	at, err := syscall.Getsockname(fd)
	p.must(err, "port")
	return fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port) // the socket is closed by the end of this process
}

func (p *play) write(name, text string) string {
	path := filepath.Join(p.dir, name)
	p.must(os.WriteFile(path, []byte(text), 0o600), name)
	return path
}

// member is an entry of discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	GRPC     string  `json:"grpc,omitempty"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// discovery is a list service.
type discovery struct {
	address string
	mu      sync.Mutex
	rev     int64
	all     map[string]member
	last    map[string]int64 // revision of a member's last change
	changed chan struct{}
}

func (p *play) discovery(rev int64, all ...member) *discovery {
	d := &discovery{rev: rev, all: map[string]member{}, last: map[string]int64{}, changed: make(chan struct{})}
	for _, m := range all {
		d.all[m.ID], d.last[m.ID] = m, rev
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.must(err, "discovery")
	d.address = l.Addr().String()
	go http.Serve(l, d)
	return d
}

// set changes a member.
func (d *discovery) set(m member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	d.all[m.ID], d.last[m.ID] = m, d.rev
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) text(from int64, complete bool) (string, int64, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := []member{}
	for id, m := range d.all {
		if complete || d.last[id] > from {
			members = append(members, m)
		}
	}
	text, _ := json.Marshal(map[string]any{"revision": d.rev, "complete": complete, "members": members})
	return string(text) + "\n", d.rev, d.changed
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/catalog/members" {
		http.NotFound(w, q)
		return
	}
	text, rev, changed := d.text(0, true)
	io.WriteString(w, text)
	if q.URL.Query().Get("stream") != "1" {
		return
	}
	for {
		w.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-changed:
			text, rev, changed = d.text(rev, false)
			io.WriteString(w, text)
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
		}
	}
}

// relay passes TCP connections on. While it is cut it holds all bytes, in both directions, and passes them on
// afterwards, as TCP does once a network is whole again.
type relay struct {
	address string
	mu      sync.Mutex
	open    chan struct{} // closed while it is not cut
}

func (p *play) relay(to string) *relay {
	r := &relay{open: make(chan struct{})}
	close(r.open)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.must(err, "relay")
	r.address = l.Addr().String()
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r.wait()
				b, err := net.Dial("tcp", to)
				if err != nil {
					a.Close()
					return
				}
				go r.pass(a, b)
				r.pass(b, a)
			}()
		}
	}()
	return r
}

func (r *relay) wait() {
	r.mu.Lock()
	open := r.open
	r.mu.Unlock()
	<-open
}

func (r *relay) pass(from, to net.Conn) {
	pieces := make(chan []byte, 1024)
	go func() {
		defer to.Close()
		for text := range pieces {
			r.wait()
			if _, err := to.Write(text); err != nil {
				from.Close()
			}
		}
	}()
	defer close(pieces)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			pieces <- bytes.Clone(buf[:n])
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) cut(yes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if yes {
		r.open = make(chan struct{})
	} else {
		close(r.open)
	}
}

// job is a job that an encoder took.
type job struct {
	id, key, encoder string
	at               time.Time
	done             bool
	dropped          bool
}

// encoder is an encoder with the HTTP protocol: it answers 202, runs the job and calls back.
type encoder struct {
	p       *play
	id      string
	address string
	runs    time.Duration
	callers []string // dispatchers' listeners

	mu   sync.Mutex
	jobs []*job
}

func (p *play) encoder(id string, runs time.Duration, callers []string) *encoder {
	e := &encoder{p: p, id: id, runs: runs, callers: callers}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.must(err, "encoder")
	e.address = l.Addr().String()
	go http.Serve(l, e)
	return e
}

func (e *encoder) member() member {
	return member{ID: e.id, HostPort: e.address, Locality: "a", Flavor: "m2", Cell: 1, Phase: "in_service", Size: 1}
}

func (e *encoder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	io.Copy(io.Discard, q.Body)
	e.p.note("%s: got %s %s", e.id, q.Method, q.RequestURI)
	if q.Method == "DELETE" {
		id := strings.TrimPrefix(q.URL.Path, "/jobs/")
		e.mu.Lock()
		for _, j := range e.jobs {
			if j.id == id && !j.done {
				j.dropped = true
			}
		}
		e.mu.Unlock()
		e.p.note("%s: DELETE %s", e.id, id)
		w.WriteHeader(200)
		return
	}
	if q.Method != "POST" || q.Header.Get("X-Correlation-Id") == "" {
		http.NotFound(w, q)
		return
	}
	j := &job{id: q.Header.Get("X-Correlation-Id"), key: q.Header.Get("Idempotency-Key"), encoder: e.id, at: time.Now()}
	e.mu.Lock()
	e.jobs = append(e.jobs, j)
	e.mu.Unlock()
	e.p.note("%s: took job %s (key %s)", e.id, j.id, j.key)
	w.WriteHeader(202)
	go e.run(j)
}

func (e *encoder) run(j *job) {
	time.Sleep(e.runs)
	e.mu.Lock()
	dropped := j.dropped
	j.done = !dropped
	e.mu.Unlock()
	if dropped {
		return
	}
	e.p.note("%s: ran job %s", e.id, j.id)
	e.tell(map[string]any{"id": j.id, "from": e.id, "state": "done", "result": "result of " + j.id})
}

// tell makes a call-back until it is answered, ten times at most.
func (e *encoder) tell(what map[string]any) {
	text, _ := json.Marshal(what)
	for n := range 10 {
		r, err := quick.Post("http://"+e.callers[n%len(e.callers)]+"/_jobs/news", "application/json", strings.NewReader(string(text)))
		if err == nil {
			r.Body.Close()
			if r.StatusCode == 200 || r.StatusCode == 204 {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// ran returns the jobs that ran to their end, by Idempotency-Key.
func ran(all ...*encoder) map[string][]*job {
	out := map[string][]*job{}
	for _, e := range all {
		e.mu.Lock()
		for _, j := range e.jobs {
			if j.done {
				out[j.key] = append(out[j.key], j)
			}
		}
		e.mu.Unlock()
	}
	return out
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER, from the root of the repository; TROUBLE=0 leaves the disruption out")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (code int) {
	root, err := os.Getwd()
	if err == nil {
		_, err = os.Stat(filepath.Join(root, "bin", "winglb"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return 2
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return 2
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return 2
	}
	defer os.RemoveAll(dir)
	p := &play{trouble: os.Getenv("TROUBLE") != "0", dir: dir, root: root, began: time.Now(), record: bufio.NewWriter(out)}
	p.note("case %s, with the disruption: %v", name, p.trouble)
	defer func() {
		r := recover()
		p.end()
		var c errCase
		switch err, _ := r.(error); {
		case errors.As(err, &c):
			p.note("could not run: %v", c)
			code = 2
		case r != nil:
			p.note("could not run: %v", r)
			code = 2
		case len(p.broken) > 0:
			code = 1
		}
		p.note("exit %d", code)
		p.mu.Lock()
		p.record.Flush()
		p.mu.Unlock()
		fmt.Printf("%s: exit %d, broken %d times\n", name, code, len(p.broken))
		for _, b := range p.broken[:min(len(p.broken), 3)] {
			fmt.Println(" ", b)
		}
		if code == 2 {
			fmt.Println("  could not run:", r)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 105*time.Second)
	defer cancel()
	cases[name](ctx, p)
	return 0
}

var cases = map[string]func(context.Context, *play){
	"promise-twice": promiseTwice, // review/6
	"old-class":     oldClass,     // review/7
	"end-lost":      endLost,      // review/8
	"front-split":   frontSplit,   // review/9
	"stale-list":    staleList,    // review/10
}
