package rig_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"caperrelay/internal/load"
	"caperrelay/internal/net/pipelines"
	"caperrelay/internal/rerun/policy"
	"caperrelay/internal/rerun/workersim"
	"caperrelay/internal/rig"
	pipelinev1 "caperrelay/proto/winglb/pipeline/v1"
)

// Three daemons, and a rendition that is spoilt at its first site: five runs share it and cannot package. The daemon that
// acts for it is killed while it is made anew. It is made anew once, at another site, and all are published, each once.
func TestSpoiltRendition(t *testing.T) {
	dir := t.TempDir()
	r, err := rig.New(rig.Options{
		Encoders: 1, Slots: 8, Daemons: 3, Promises: true, Dir: dir, Tenants: []string{"ups"}, Lines: 1,
		Classes: []load.Class{{Name: "preview", Work: 20 * time.Millisecond, Left: time.Minute}, {Name: "publish", Once: true, Work: 20 * time.Millisecond, Left: time.Minute}},
		Command: func(role, file string) *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), "WINGLB_RIG_ROLE="+role, "WINGLB_RIG_FILE="+file)
			return cmd
		},
	})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	var workers []workersim.Worker
	for i := range 4 {
		workers = append(workers, workersim.Worker{ID: fmt.Sprint("s-", i+1), Zone: []string{"a", "b"}[i%2], Kind: "m2", Cell: i / 2})
	}
	p := workersim.New(workers)
	t.Cleanup(p.Close)
	var mu sync.Mutex
	bad := workersim.Worker{} // where the first rendition was made
	again := make(chan workersim.Worker, 16)
	p.WorkTime = func(run workersim.Run) time.Duration {
		if run.Stage == "encode" && run.Generation > 1 {
			again <- run.Worker
			return time.Second
		}
		return 20 * time.Millisecond
	}
	p.OutcomeOf = func(run workersim.Run) pipelines.Outcome {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case run.Stage == "encode" && run.Generation == 1:
			bad = run.Worker
		case run.Stage == "package" && run.Inputs[0].Generation == 1:
			return pipelines.Outcome{Outcome: policy.BadInput, Input: "encode"}
		}
		return pipelines.Outcome{Text: "ok"}
	}
	file := filepath.Join(dir, "reruns.toml")
	require.NoError(t, os.WriteFile(file, []byte(workersim.LecturePolicy("1", "asset")), 0o600))
	require.NoError(t, p.Attach(r, file))
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	require.NoError(t, r.StartAll(ctx))
	var clients []pipelinev1.PipelinesClient
	for n := range r.Daemons {
		conn, err := grpc.NewClient("passthrough:///"+r.Daemon(n).Control, grpc.WithTransportCredentials(insecure.NewCredentials()))
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		clients = append(clients, pipelinev1.NewPipelinesClient(conn))
	}
	until := func(call func(pipelinev1.PipelinesClient) error) {
		t.Helper()
		for n := 0; ; n++ {
			err := call(clients[n%len(clients)])
			if err == nil {
				return
			}
			select {
			case <-ctx.Done():
				t.Fatalf("%v\n%v\n%v", err, p.Runs(), r.Daemon(1).Ask("counters"))
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	for i := range 5 {
		until(func(c pipelinev1.PipelinesClient) error {
			_, err := c.Submit(ctx, &pipelinev1.SubmitRequest{Id: fmt.Sprint("lec", i), Pipeline: "lecture", Tenant: "ups", Params: map[string]string{"asset": "cam1"}})
			return err
		})
	}
	anew := workersim.Worker{}
	select {
	case anew = <-again:
	case <-ctx.Done():
		t.Fatalf("nothing was made anew\n%v", p.Runs())
	}
	acting, most := 0, int64(-1)
	for n := range r.Daemons {
		if f := r.Daemon(n).Figure("pipelines.reruns_started"); f > most {
			acting, most = n, f
		}
	}
	require.Positive(t, most)
	r.Daemon(acting).Kill()
	ends := map[string]int{}
	for i := range 5 {
		until(func(c pipelinev1.PipelinesClient) error {
			call, cancel := context.WithTimeout(ctx, 2*time.Second) // the daemon that it asks may be the one that is dead
			defer cancel()
			a, err := c.Await(call, &pipelinev1.AwaitRequest{Id: fmt.Sprint("lec", i), WaitMs: 1000})
			if err == nil && a.Answer == nil {
				return fmt.Errorf("lec%d has no answer yet", i)
			}
			if err == nil {
				ends[a.Answer.Kind]++
			}
			if err == nil && a.Answer.Kind != "done" { // a publish of which, when the daemon was killed, nobody could know
				require.Equal(t, []string{"needs_person", "publish", "may_have_run"}, []string{a.Answer.Kind, a.Answer.Stage, a.Answer.Cause}, "%v\n%v", a.Answer, p.Runs())
			}
			return err
		})
	}
	count := map[string]map[int64]int{}
	for _, run := range p.Runs() {
		if count[run.Stage] == nil {
			count[run.Stage] = map[int64]int{}
		}
		count[run.Stage][run.Generation]++
	}
	require.Len(t, count["encode"], 2, "made anew once, however often the job of a generation was sent: %v", p.Runs())
	require.GreaterOrEqual(t, ends["done"], 4, "%v", p.Runs())
	once := map[string]int{}
	for _, run := range p.Runs() {
		if run.Stage == "publish" {
			once[run.JobBody.Run]++
			require.Equal(t, 1, once[run.JobBody.Run], "what must not run twice did: %v", p.Runs())
		}
	}
	require.NotEqual(t, []any{bad.Zone, bad.Cell}, []any{anew.Zone, anew.Cell}, "another site")
	text := ""
	until(func(c pipelinev1.PipelinesClient) error {
		e, err := c.Explain(ctx, &pipelinev1.ExplainRequest{Id: "lec0"})
		text = e.GetText()
		return err
	})
	require.Contains(t, text, "package: bad_input encode")
	require.Contains(t, text, `"policy":"1"`)
	require.Contains(t, r.Daemon((acting+1)%3).Ask("explain:lec0"), "bad_input encode")
}
