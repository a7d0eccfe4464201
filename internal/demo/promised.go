package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"caperrelay/internal/load"
	"caperrelay/internal/net/pipelines"
	"caperrelay/internal/rerun"
	"caperrelay/internal/rerun/policy"
	"caperrelay/internal/rerun/workersim"
	"caperrelay/internal/rig"
	pipelinev1 "caperrelay/proto/winglb/pipeline/v1"
)

const (
	promisedDaemons = 3
	promisedWithin  = 15 * time.Second // of the whole story
)

// Promised is what became of a lecture that was handed in for good, and whose dispatcher's machine was lost.
type Promised struct {
	Removed   string   `json:"Removed"`   // the daemon that acted for it, killed with its directory
	Answer    string   `json:"Answer"`    // done, or what else
	Published int      `json:"Published"` // times, by the workers' own word
	Seconds   float64  `json:"Seconds"`
	Story     []string `json:"Story"`
}

// promised hands a lecture in for good, takes the daemon that acts for it away with its directory while its spoilt
// rendition is made anew, and waits for its end at the others.
func promised(ctx context.Context, o Options, progress io.Writer) (p Promised, err error) {
	ctx, cancel := context.WithTimeout(ctx, promisedWithin)
	defer cancel()
	dir, err := os.MkdirTemp("", "winglb-demo-")
	if err != nil {
		return p, err
	}
	defer os.RemoveAll(dir)
	fmt.Fprintf(progress, "\nstarting %d daemons that keep what is promised, and 4 workers at 2 sites\n", promisedDaemons)
	r, err := rig.New(rig.Options{
		Encoders: 1, Slots: 8, Daemons: promisedDaemons, Promises: true, Dir: dir, Tenants: []string{"ups"}, Lines: 1, Command: o.Command,
		Classes: []load.Class{{Name: "preview", Work: 100 * time.Millisecond, Left: time.Minute}, {Name: "publish", Once: true, Work: 100 * time.Millisecond, Left: time.Minute}},
	})
	if err != nil {
		return p, err
	}
	defer r.Close()
	var workers []workersim.Worker
	for i := range 4 {
		workers = append(workers, workersim.Worker{ID: fmt.Sprint("s-", i+1), Zone: []string{"a", "b"}[i%2], Kind: "m2"})
	}
	w := workersim.New(workers)
	defer w.Close()
	anew := make(chan workersim.Run, 16)
	w.WorkTime = func(run workersim.Run) time.Duration {
		if run.Stage == "encode" && run.Generation > 1 {
			select {
			case anew <- run:
			default:
			}
			return time.Second
		}
		return 100 * time.Millisecond
	}
	w.OutcomeOf = func(run workersim.Run) pipelines.Outcome {
		if run.Stage == "package" && run.Inputs[0].Generation == 1 {
			return pipelines.Outcome{Outcome: policy.BadInput, Input: "encode", Text: "frame 1204 cannot be read"}
		}
		return pipelines.Outcome{}
	}
	file := filepath.Join(dir, "reruns.toml")
	if err := errors.Join(os.WriteFile(file, []byte(workersim.LecturePolicy("demo", "")), 0o600), w.Attach(r, file)); err != nil {
		return p, err
	}
	if err := r.StartAll(ctx); err != nil {
		return p, err
	}
	var clients []pipelinev1.PipelinesClient
	for n := range r.Daemons {
		conn, err := grpc.NewClient("passthrough:///"+r.Daemon(n).Control, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return p, err
		}
		defer conn.Close()
		clients = append(clients, pipelinev1.NewPipelinesClient(conn))
	}
	// until asks one daemon after the other, as any client may.
	until := func(call func(context.Context, pipelinev1.PipelinesClient) (bool, error)) error {
		for n := 0; ; n++ {
			one, done := context.WithTimeout(ctx, 2*time.Second)
			ok, err := call(one, clients[n%len(clients)])
			if done(); ok {
				return nil
			}
			select {
			case <-ctx.Done():
				return errors.Join(ctx.Err(), err)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	if err := until(func(ctx context.Context, c pipelinev1.PipelinesClient) (bool, error) {
		_, err := c.Submit(ctx, &pipelinev1.SubmitRequest{Id: "lecture-1", Pipeline: "lecture", Tenant: "ups"})
		return err == nil, err
	}); err != nil {
		return p, err
	}
	began := time.Now()
	step := func(format string, args ...any) {
		fmt.Fprintf(progress, "%5.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	step("lecture-1 is promised: a majority has it on disk")
	select {
	case run := <-anew:
		step("package called its rendition spoilt: it is made anew at %s, in another site", run.Worker.ID)
	case <-ctx.Done():
		return p, fmt.Errorf("demo: nothing was made anew: %v", w.Runs())
	}
	lost, most := 0, int64(0)
	for n := range r.Daemons {
		if started := r.Daemon(n).Figure("pipelines.reruns_started"); started > most {
			lost, most = n, started
		}
	}
	d := r.Daemon(lost)
	p.Removed = fmt.Sprint("n", lost)
	d.Kill()
	if err := d.Forget(); err != nil {
		return p, err
	}
	step("%s, which has that run, is killed and its directory removed", p.Removed)
	if err := until(func(ctx context.Context, c pipelinev1.PipelinesClient) (bool, error) {
		a, err := c.Await(ctx, &pipelinev1.AwaitRequest{Id: "lecture-1", WaitMs: 1000})
		if err == nil && a.Answer != nil {
			p.Answer = a.Answer.Kind
		}
		return p.Answer != "", err
	}); err != nil {
		return p, fmt.Errorf("demo: lecture-1 has no end: %w: %v", err, w.Runs())
	}
	p.Seconds = time.Since(began).Seconds()
	step("lecture-1 is %s", p.Answer)
	if err := until(func(ctx context.Context, c pipelinev1.PipelinesClient) (bool, error) {
		e, err := c.Explain(ctx, &pipelinev1.ExplainRequest{Id: "lecture-1"})
		var x rerun.Explained
		if err == nil {
			err = json.Unmarshal([]byte(e.Text), &x)
		}
		for _, l := range x.History {
			if l.Rule > 0 {
				l.Text += fmt.Sprintf(" (line %d of version %s)", l.Rule, x.Policy)
			}
			p.Story = append(p.Story, l.Text)
		}
		return err == nil, err
	}); err != nil {
		return p, err
	}
	for _, run := range w.Runs() {
		if run.Stage == "publish" {
			p.Published++
		}
	}
	return p, nil
}
