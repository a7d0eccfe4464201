package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench holds the processes and the record of one case.
type bench struct {
	trouble bool
	dir     string // temporary folder
	run     string // the run command of the deploy file
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	programs []*program
}

// cannotRun is the panic value by which a case gives up.
type cannotRun struct{ err error }

// giveUp ends the case: it could not run.
func giveUp(format string, args ...any) { panic(cannotRun{fmt.Errorf(format, args...)}) }

// need ends the case if there is an error.
func need(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

var runCommand = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

func newBench(record string, trouble bool) (*bench, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	found := runCommand.FindSubmatch(text)
	if found == nil {
		return nil, errors.New("deploy/balancer.toml: no run command")
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &bench{trouble: trouble, dir: dir, run: string(found[1]), began: time.Now(), record: file}
	b.note("trouble: %v", trouble)
	return b, nil
}

// note writes a line of the record, with the time since the start of the case.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all programs and removes the temporary folder.
func (b *bench) close() {
	for _, p := range b.programs {
		p.kill()
	}
	b.note("end")
	b.record.Close()
	os.RemoveAll(b.dir)
}

// program is a started process of the project.
type program struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts the run command of the deploy file with further arguments and variables. Its log goes to the temporary
// folder; the last lines are copied to the record when it is killed.
func (b *bench) start(name string, variables []string, args ...string) *program {
	log, err := os.Create(filepath.Join(b.dir, name+".log"))
	need(err)
	defer log.Close()
	cmd := exec.Command("/bin/sh", append([]string{"-c", b.run + ` "$@"`, "sh"}, args...)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), variables...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	need(cmd.Start())
	p := &program{name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	b.programs = append(b.programs, p)
	b.note("%s: started, %s %s", name, b.run, strings.Join(args, " "))
	return p
}

func (p *program) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// kill kills the program and waits for its end.
func (p *program) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// logOf copies those lines of a program's log to the record that contain one of the words.
func (b *bench) logOf(p *program, words ...string) {
	text, _ := os.ReadFile(filepath.Join(b.dir, p.name+".log"))
	for line := range strings.Lines(string(text)) {
		for _, w := range words {
			if strings.Contains(line, w) {
				b.note("log of %s: %s", p.name, strings.TrimSpace(line))
				break
			}
		}
	}
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	need(err)
	defer l.Close()
	return l.Addr().String()
}

// listen serves HTTP on a free loopback port and returns its address.
func listen(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	need(err)
	go http.Serve(l, h)
	return l.Addr().String()
}

// eventually waits until ok holds, and ends the case if it does not within the time.
func eventually(within time.Duration, what string, ok func() bool) {
	for until := time.Now().Add(within); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			giveUp("not within %v: %s", within, what)
		}
	}
}

// ready waits until a dispatcher answers health checks with 200.
func ready(address string) {
	eventually(30*time.Second, "health of "+address, func() bool {
		r, err := http.Get("http://" + address + "/_health")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == 200
	})
}

// member is an entry of discovery's list.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMs int64   `json:"up_since_ms"`
}

// discovery serves a list that does not change.
func discovery(members []member) http.Handler {
	list, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": members})
	need(err)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Write(append(list, '\n'))
		if q.URL.Query().Get("stream") != "1" {
			return
		}
		beat := time.NewTicker(2 * time.Second)
		defer beat.Stop()
		for {
			w.(http.Flusher).Flush()
			select {
			case <-q.Context().Done():
				return
			case <-beat.C:
			}
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		}
	})
}

// relay passes connections on to an address. While losing is set, what comes back from there is dropped: whoever sent a
// request hears nothing.
type relay struct {
	address string
	mu      sync.Mutex
	losing  bool
	onLoss  func()
}

func newRelay(to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	need(err)
	r := &relay{address: l.Addr().String()}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(near, to)
		}
	}()
	return r
}

func (r *relay) serve(near net.Conn, to string) {
	defer near.Close()
	far, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer far.Close()
	gone := make(chan struct{}) // closed once the sender has closed its connection
	go func() {
		defer close(gone)
		defer far.Close()
		io.Copy(far, near)
	}()
	back := bufio.NewReader(far)
	buf := make([]byte, 64<<10)
	for {
		n, err := back.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		lost := r.losing
		if lost {
			r.losing = false // one answer
			r.onLoss()
		}
		r.mu.Unlock()
		if lost {
			<-gone // silent until then
			return
		}
		if _, err := near.Write(buf[:n]); err != nil {
			return
		}
	}
}

// loseNext has the next answer lost; onLoss is called then.
func (r *relay) loseNext(onLoss func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.losing, r.onLoss = true, onLoss
}
