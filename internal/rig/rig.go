// Package rig sets up a whole installation on loopback: stand-in encoders with both faces, discovery,
// daemons and portals as real processes. The demo, the measurements and the tests of hard cases stand on
// it. Everything is bounded and ends with the rig.
package rig

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"caperrelay/internal/load"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/sock"
	"caperrelay/internal/standin/encoder"
	"caperrelay/internal/standin/grpcface"
	"caperrelay/internal/standin/host"
	"caperrelay/internal/standin/httpface"
	"caperrelay/internal/standin/ledger"
	"caperrelay/internal/standin/link"
	"caperrelay/internal/standin/listservice"
)

// Options of a rig.
type Options struct {
	Encoders, Slots, Daemons int
	Classes                  []load.Class
	Tenants                  []string
	Senders                  int
	Cold                     time.Duration // 0: as encoders usually take
	// Command starts one of our programs: role "daemon" with its file, or "portal" with its plan.
	Command func(role, file string) *exec.Cmd
	// Dir is for files; it must exist.
	Dir string
	// TLS is added to each daemon's [control], as it stands in the file.
	TLS string
	// Output takes what daemons and portals write to standard error; nil: nothing.
	Output *os.File
	// Lean: no plug-ins, so no control listener; more memory and sockets for the daemon.
	Lean bool
	// Ledger's size.
	Lines int
	// Lists is the one list service of all daemons; nil: each has one of its own, which bears everything.
	Lists *listservice.Service
	// Net leads all that daemons call through relays, from "n0", "n1" ... to "lists" and to encoders by their ids,
	// and call-backs of encoders that all daemons share, from "encoders"; nil: they call directly.
	Net *link.Net
	// Members has daemons tell each other of the list.
	Members bool
	// Snapshots has each keep a lasting snapshot, ten times a second.
	Snapshots bool
	// Promises has them keep a record together, on disks of their own.
	Promises bool
}

// Rig is an installation.
type Rig struct {
	Options
	Host    *host.Host
	GRPC    *grpcface.Face
	faces   []*httpface.Face
	daemons []*Daemon
	mu      sync.Mutex
	procs   map[*exec.Cmd]struct{}
	held    []int // sockets that keep addresses
	block   [2]byte
}

// Daemon is one dispatcher's process and its addresses, which stay the same over its lives.
type Daemon struct {
	rig             *Rig
	n               int
	Listen, Control string
	Admin           string // where operators call, with Members or Snapshots
	members         string
	file            string
	cmd             *exec.Cmd
	done            chan struct{}
}

// New sets up encoders and discovery. Daemons are started apart.
func New(o Options) (*Rig, error) {
	o.Senders, o.Lines = cmp.Or(o.Senders, 64), cmp.Or(o.Lines, 1<<20)
	specs := host.Fleet(o.Encoders, o.Slots)
	for i := range specs {
		specs[i].ColdFor = cmp.Or(o.Cold, specs[i].ColdFor)
	}
	// Over the first block of loopback, which others use, and below the last; a rig in another process has another.
	block := [2]byte{byte(1 + rand.N(250)), byte(rand.N(250))}
	r := &Rig{block: block, Options: o, Host: host.New(specs, ledger.New(o.Lines)), procs: map[*exec.Cmd]struct{}{}}
	var once []string
	for _, c := range o.Classes {
		if c.Once {
			once = append(once, c.Name)
		}
	}
	var err error
	if r.GRPC, err = grpcface.New(r.Host, once...); err != nil {
		return nil, err
	}
	for n := range o.Daemons {
		d := &Daemon{rig: r, n: n, file: filepath.Join(o.Dir, fmt.Sprintf("n%d.toml", n))}
		for _, a := range []*string{&d.Listen, &d.Control} {
			if *a, err = r.Reserve(); err != nil {
				r.Close()
				return nil, err
			}
		}
		if o.Members || o.Snapshots || o.Promises {
			d.members, d.Admin = r.own(n, 7946), r.own(n, 7947)
		}
		r.daemons = append(r.daemons, d)
	}
	for n, d := range r.daemons {
		name := fmt.Sprintf("n%d", n)
		face, err := r.face(d, name)
		if err != nil {
			r.Close()
			return nil, err
		}
		discovery := face.Discovery()
		if o.Lists != nil {
			discovery, err = o.Lists.Door(name, face.List)
		}
		if err == nil {
			discovery, err = r.through(name, "lists", discovery)
		}
		if err != nil {
			r.Close()
			return nil, err
		}
		among, err := r.among(d)
		record := ""
		if err == nil {
			record, err = r.record(d)
		}
		if err == nil {
			err = os.WriteFile(d.file, []byte(r.config(d, discovery)+among+record), 0o600)
		}
		if err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

// own is a loopback address that is one daemon's alone, so that its port is free whatever others use.
func (r *Rig) own(n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.block[0], int(r.block[1])+n/250, 1+n%250, port)
}

// Members0 is where daemons find the first one, not through any relay.
func (r *Rig) Members0() string { return r.own(0, 7946) }

// joins is how many daemons are in the files as those to join: more among hundreds, who call them all at once.
func (r *Rig) joins() int { return max(4, r.Daemons/25) }

// among is what a daemon's file says of the others.
func (r *Rig) among(d *Daemon) (string, error) {
	if !r.Members {
		return "", nil
	}
	var join, through []string
	for n := range r.Daemons {
		if n == d.n {
			continue
		}
		at, err := r.own(n, 7946), error(nil)
		if r.Net != nil {
			if at, err = r.Net.Both(link.Way{From: fmt.Sprintf("n%d", d.n), To: fmt.Sprintf("n%d", n)}, at); err != nil {
				return "", err
			}
			through = append(through, fmt.Sprintf("n%d = %q", n, at))
		}
		if n < r.joins() {
			join = append(join, fmt.Sprintf("%q", fmt.Sprintf("n%d/%s", n, at)))
		}
	}
	return fmt.Sprintf("[members]\nlisten = %q\njoin = [%s]\n[members.through]\n%s\n", d.members, strings.Join(join, ", "), strings.Join(through, "\n")), nil
}

// face is how a daemon sees the encoders. Daemons that tell each other of the list have one for all: its addresses
// must mean the same to each.
func (r *Rig) face(d *Daemon, name string) (*httpface.Face, error) {
	o := httpface.Options{
		Dispatcher: name, Callback: func() string { return d.Listen }, TellStarts: true,
		Through: func(encoder, address string) (string, error) { return r.through(name, encoder, address) },
	}
	if r.Members {
		if len(r.faces) > 0 {
			return r.faces[0], nil
		}
		doors := map[string]string{}
		for n, d := range r.daemons {
			via, err := fmt.Sprintf("n%d", n), error(nil)
			if doors[via], err = r.through("encoders", via, d.Listen); err != nil {
				return nil, err
			}
		}
		o = httpface.Options{Dispatcher: "any", TellStarts: true, Shared: func(via string) string { return doors[via] }}
	}
	face, err := httpface.New(r.Host, o)
	if err == nil {
		r.faces = append(r.faces, face)
	}
	return face, err
}

// through is the address at which one party finds another.
func (r *Rig) through(from, to, address string) (string, error) {
	if r.Net == nil {
		return address, nil
	}
	return r.Net.TCP(link.Way{From: from, To: to}, address)
}

// Each does something to the daemons from one number up to another, all at once.
func (r *Rig) Each(from, to int, do func(*Daemon)) {
	var all sync.WaitGroup
	for _, d := range r.daemons[from:to] {
		all.Go(func() { do(d) })
	}
	all.Wait()
}

// Reserve keeps an address on loopback for as long as the rig lives, for listeners that share it.
func (r *Rig) Reserve() (string, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	r.held = append(r.held, fd)
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, sock.ReusePort, 1); err != nil {
		return "", err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	a, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("127.0.0.1:%d", a.(*syscall.SockaddrInet4).Port), nil
}

// config is a daemon's file.
func (r *Rig) config(d *Daemon, discovery string) string {
	var s strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&s, format+"\n", args...) }
	line("[node]\nname = %q\nlisten = %q\ndiscovery = %q\nnumber = %d\nof = %d\nzone = %q\nadmin = %q", fmt.Sprintf("n%d", d.n), d.Listen, discovery, d.n, r.Daemons, r.Zone(d.n), d.Admin)
	if r.Lean {
		line("[limits]\ncores = 1\nmemory = \"512MB\"\nsockets = 4096")
	} else {
		line("[limits]\ncores = 1\nmemory = \"192MB\"\nsockets = 1024")
	}
	line("[site]\nzones = [\"a\", \"b\"]")
	if r.Cold > 0 {
		line("[rules]\ncold = %q", r.Cold)
	}
	line("[log]\nlevel = \"warn\"")
	if !r.Lean || r.Promises {
		line("[control]\nlisten = %q\nsenders = %d\nnew = true\n%s", d.Control, r.Senders, r.TLS)
	}
	if r.Snapshots {
		line("[snapshot]\nfile = %q\nevery = \"100ms\"", d.Snapshot())
	}
	line("[[kind]]\nname = \"m2\"\nslots = %d", r.Slots)
	for _, c := range r.Classes {
		effect := "repeat"
		if c.Once {
			effect = "once"
		}
		aim := max(10*c.Work, 200*time.Millisecond)
		line("[[class]]\nname = %q\neffect = %q\naim = %q\nstretch = 2.0\ndeadline = %q\nworth = %d", c.Name, effect, aim, max(c.Left, aim), 1+4*map[bool]int{true: 1}[c.Once])
	}
	for _, t := range r.Tenants {
		line("[[tenant]]\nname = %q\nrate = \"1000/s\"", t)
	}
	return s.String()
}

// Zone is where a daemon stands.
func (r *Rig) Zone(n int) string { return []string{"a", "b"}[n%2] }

// start runs one of our programs.
func (r *Rig) start(role, file string, stdout *os.File) (*exec.Cmd, chan struct{}, error) {
	cmd := r.Command(role, file)
	cmd.Stderr = r.Output
	cmd.Stdout = stdout
	// Children must not outlive a rig that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(cmd.Environ(), "TMPDIR="+r.Dir)
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	done := make(chan struct{})
	r.mu.Lock()
	r.procs[cmd] = struct{}{}
	r.mu.Unlock()
	go func() {
		cmd.Wait()
		r.mu.Lock()
		delete(r.procs, cmd)
		r.mu.Unlock()
		close(done)
	}()
	return cmd, done, nil
}

// Daemon is one of them.
func (r *Rig) Daemon(n int) *Daemon { return r.daemons[n] }

// Controls is all daemons' addresses for plug-ins.
func (r *Rig) Controls() (all []string) {
	for _, d := range r.daemons {
		all = append(all, d.Control)
	}
	return all
}

// HTTPConnections is how many connections encoders took from a daemon.
func (r *Rig) HTTPConnections(n int) int { return r.faces[n].Connections() }

// StartAll starts all daemons and waits until they serve.
func (r *Rig) StartAll(ctx context.Context) error {
	for _, d := range r.daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		if err := d.Ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the daemon's process.
func (d *Daemon) Start() (err error) {
	d.cmd, d.done, err = d.rig.start("daemon", d.file, nil)
	return err
}

// Ready waits until the daemon serves.
func (d *Daemon) Ready(ctx context.Context) error {
	for {
		if p, err := d.get("/_health"); err == nil && p.Status == 200 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("daemon %d does not serve: %w", d.n, ctx.Err())
		case <-d.done:
			return fmt.Errorf("daemon %d has ended", d.n)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Kill ends the daemon's process at once, as a crash does.
func (d *Daemon) Kill() {
	d.cmd.Process.Kill()
	<-d.done
}

// Stop has the daemon's process stand still, as on a machine that is suspended; Wake ends that.
func (d *Daemon) Stop() error { return d.cmd.Process.Signal(syscall.SIGSTOP) }

// Wake has it go on.
func (d *Daemon) Wake() error { return d.cmd.Process.Signal(syscall.SIGCONT) }

// Number is its place among all.
func (d *Daemon) Number() int { return d.n }

// Snapshot is the file of its lasting snapshot.
func (d *Daemon) Snapshot() string { return d.file + ".snapshot" }

// File is its configuration.
func (d *Daemon) File() string { return d.file }

// Wait waits for its end.
func (d *Daemon) Wait() { <-d.done }

// Pid is its process.
func (d *Daemon) Pid() int { return d.cmd.Process.Pid }

// Signal sends its process a signal.
func (d *Daemon) Signal(s os.Signal) { d.cmd.Process.Signal(s) }

// Ask makes an operator's call, and returns its answer without its last line; empty: the daemon does not answer.
func (d *Daemon) Ask(call string) string {
	c, err := net.DialTimeout("tcp", d.Admin, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintln(c, call); err != nil {
		return ""
	}
	text, err := io.ReadAll(c)
	if err != nil {
		return ""
	}
	return strings.TrimSuffix(string(text), "END\n")
}

// get asks the daemon's listener.
func (d *Daemon) get(target string) (*http1.Response, error) {
	c, err := net.DialTimeout("tcp", d.Listen, time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write(http1.AppendRequest(nil, "GET", target, http1.Header{{Name: "Host", Value: "d"}}, nil)); err != nil {
		return nil, err
	}
	return http1.ReadResponse(bufio.NewReaderSize(c, http1.MaxLine), "GET")
}

// Figure is one of the daemon's figures; -1: it has none of that name, or does not answer.
func (d *Daemon) Figure(name string) int64 {
	p, err := d.get("/_counters")
	if err != nil {
		return -1
	}
	_, rest, found := strings.Cut("\n"+string(p.Body), "\nproxy."+name+"=")
	if !found {
		return -1
	}
	n := int64(-1)
	fmt.Sscan(rest, &n)
	return n
}

// Close ends all processes that the rig started, and its sockets.
func (r *Rig) Close() {
	r.mu.Lock()
	for cmd := range r.procs {
		cmd.Process.Kill()
	}
	r.mu.Unlock()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		left := len(r.procs)
		r.mu.Unlock()
		if left == 0 {
			break
		}
	}
	if r.GRPC != nil {
		r.GRPC.Close()
	}
	for _, f := range r.faces {
		f.Close()
	}
	r.Host.Close()
	for _, fd := range r.held {
		syscall.Close(fd)
	}
}

// Cold is the pressure on cold encoders: the worst ratio of all, and how many fell over.
func (r *Rig) ColdRatio() (worst float64, fell int) {
	for _, e := range r.Host.Encoders() {
		e.Look(func(m *encoder.Encoder) {
			worst = max(worst, m.Worst())
			if m.State() == encoder.Fallen {
				fell++
			}
		})
	}
	return worst, fell
}

// Counters is all of the daemon's counters, as text.
func (d *Daemon) Counters() string {
	p, err := d.get("/_counters")
	if err != nil {
		return err.Error()
	}
	return string(p.Body)
}

// Beside starts another process of the daemon, which takes over; it returns the one before, which goes on
// until it is told to end.
func (d *Daemon) Beside() (before *Daemon, err error) {
	old := *d
	return &old, d.Start()
}
