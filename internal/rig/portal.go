package rig

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc"

	"caperrelay/internal/load"
	"caperrelay/winglb"
)

// Plan is what a portal's process does.
type Plan struct {
	Name    string        `json:"Name"`
	Daemons []string      `json:"Daemons"`
	Seed    uint64        `json:"Seed"`
	Classes []load.Class  `json:"Classes"`
	Tenants []string      `json:"Tenants"`
	Start   time.Time     `json:"Start"`
	Length  time.Duration `json:"Length"`
	// From and Every: of one load that several send, this one's part; Every 0 is all of it.
	From  int `json:"From"`
	Every int `json:"Every"`
}

// Told is what a portal's process says at its end.
type Told struct {
	Name     string               `json:"Name"`
	Classes  map[string]ClassTold `json:"Classes"`
	Errors   map[string]int       `json:"Errors"`
	Counters string               `json:"Counters"`
}

// ClassTold is what became of a class.
type ClassTold struct {
	Sent    int64  `json:"Sent"`
	Served  int64  `json:"Served"`
	Refused int64  `json:"Refused"`
	Failed  int64  `json:"Failed"`
	Latency []byte `json:"Latency"` // an HDR histogram
}

// Portal runs a plan: what a portal's process does. It writes a line "ready" once daemons have told it
// what it needs, and what became of its calls at the end.
func Portal(file string, out io.Writer) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var p Plan
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	lb, err := winglb.New(winglb.Config{Name: p.Name, Daemons: p.Daemons})
	if err != nil {
		return err
	}
	defer lb.Close()
	conn, err := grpc.NewClient("winglb:///encoders", lb.DialOptions()...)
	if err != nil {
		return err
	}
	defer conn.Close()
	for lb.Attached() < len(p.Daemons) && time.Now().Before(p.Start) {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintln(out, "ready")
	r := load.NewReport()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	jobs := load.Draw(p.Seed, p.Length, p.Classes, p.Tenants...)
	if p.Every > 0 {
		jobs = load.Part(jobs, p.From, p.Every)
	}
	r.Run(ctx, p.Start, jobs, load.NewGRPC(conn))
	told := Told{Name: p.Name, Classes: map[string]ClassTold{}, Errors: r.Errors(), Counters: lb.Counters()}
	for name, f := range r.Classes {
		text, err := f.Latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return err
		}
		told.Classes[name] = ClassTold{f.Sent, f.Verdicts[load.Served], f.Verdicts[load.Refused], f.Verdicts[load.Failed], text}
	}
	return json.NewEncoder(out).Encode(told)
}

// Process is a portal's process.
type Process struct {
	Plan  Plan
	cmd   *exec.Cmd
	done  chan struct{}
	Ready chan struct{} // closed once it is, or has ended
	told  chan Told
}

// StartPortal starts a portal's process.
func (r *Rig) StartPortal(p Plan) (*Process, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(r.Dir, p.Name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	in, out, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	q := &Process{Plan: p, Ready: make(chan struct{}), told: make(chan Told, 1)}
	q.cmd, q.done, err = r.start("portal", file, out)
	out.Close()
	if err != nil {
		in.Close()
		return nil, err
	}
	go func() {
		defer in.Close()
		lines := bufio.NewReader(in)
		lines.ReadString('\n')
		close(q.Ready)
		var t Told
		if json.NewDecoder(lines).Decode(&t) == nil {
			q.told <- t
		}
		close(q.told)
	}()
	return q, nil
}

// Wait waits for the end and returns what the portal tells; false: it was killed.
func (q *Process) Wait() (Told, bool) {
	t, ok := <-q.told
	<-q.done
	return t, ok
}

// Kill ends the process at once.
func (q *Process) Kill() {
	q.cmd.Process.Kill()
	<-q.done
}

// Pause stops the process, as a debugger or a machine out of breath does; Continue has it go on.
func (q *Process) Pause() { q.cmd.Process.Signal(syscall.SIGSTOP) }

// Continue has a paused process go on.
func (q *Process) Continue() { q.cmd.Process.Signal(syscall.SIGCONT) }

// Sum adds up what portals told.
func Sum(all []Told) (map[string]*load.Figures, error) {
	sum := map[string]*load.Figures{}
	for _, t := range all {
		for name, c := range t.Classes {
			h, err := hdrhistogram.Decode(c.Latency)
			if err != nil {
				return nil, err
			}
			f := sum[name]
			if f == nil {
				f = &load.Figures{Latency: hdrhistogram.New(h.LowestTrackableValue(), h.HighestTrackableValue(), int(h.SignificantFigures()))}
				sum[name] = f
			}
			f.Sent += c.Sent
			for i, n := range []int64{c.Served, c.Refused, c.Failed} {
				f.Verdicts[i] += n
			}
			f.Latency.Merge(h)
		}
	}
	return sum, nil
}
