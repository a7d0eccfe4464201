package workersim_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"caperrelay/internal/full"
	"caperrelay/internal/load"
	"caperrelay/internal/net/pipelines"
	"caperrelay/internal/rerun/policy"
	"caperrelay/internal/rerun/workersim"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/link"
	pipelinev1 "caperrelay/proto/winglb/pipeline/v1"
)

// The test binary serves as winglb-full in the rig's child processes.
func TestMain(m *testing.M) {
	if os.Getenv("WINGLB_RIG_ROLE") != "daemon" {
		os.Exit(m.Run())
	}
	if err := full.Serve(os.Getenv("WINGLB_RIG_FILE"), os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

const (
	daemons   = 3
	waitLimit = time.Minute // limit for expected events; no test waits for all of it
)

// testCluster holds daemons, workers, and one lecture whose first output of encode is bad. One stage run is held at the
// worker until it is released.
type testCluster struct {
	*testing.T
	*rig.Rig
	*workersim.Cluster
	net     *link.Net
	clients []pipelinev1.PipelinesClient
	heldRun chan workersim.Run // the run that is held
	release chan struct{}
}

func openCluster(t *testing.T, step string) *testCluster {
	s := &testCluster{T: t, net: link.New(1), heldRun: make(chan workersim.Run, 1), release: make(chan struct{})}
	t.Cleanup(s.net.Close)
	dir := t.TempDir()
	var err error
	s.Rig, err = rig.New(rig.Options{
		Encoders: 1, Slots: 8, Daemons: daemons, Promises: true, Net: s.net, Dir: dir, Tenants: []string{"ups"}, Lines: 1,
		Classes: []load.Class{{Name: "preview", Work: 20 * time.Millisecond, Left: time.Minute}, {Name: "publish", Once: true, Work: 20 * time.Millisecond, Left: time.Minute}},
		Command: func(role, file string) *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), "WINGLB_RIG_ROLE="+role, "WINGLB_RIG_FILE="+file)
			return cmd
		},
	})
	require.NoError(t, err)
	t.Cleanup(s.Rig.Close)
	var workers []workersim.Worker
	for i := range 4 {
		workers = append(workers, workersim.Worker{ID: fmt.Sprint("s-", i+1), Zone: []string{"a", "b"}[i%2], Kind: "m2", Cell: i / 2})
	}
	s.Cluster = workersim.New(workers)
	t.Cleanup(s.Cluster.Close)
	var once sync.Once
	s.WorkTime = func(run workersim.Run) time.Duration {
		if fmt.Sprint(run.Stage, "@", run.Generation) == step {
			once.Do(func() {
				s.heldRun <- run
				select {
				case <-s.release:
				case <-t.Context().Done():
				}
			})
		}
		return 20 * time.Millisecond
	}
	s.OutcomeOf = func(run workersim.Run) pipelines.Outcome {
		if run.Stage == "package" && run.Inputs[0].Generation == 1 {
			return pipelines.Outcome{Outcome: policy.BadInput, Input: "encode"}
		}
		return pipelines.Outcome{Text: "ok"}
	}
	file := filepath.Join(dir, "reruns.toml")
	require.NoError(t, os.WriteFile(file, []byte(workersim.LecturePolicy("3", "")), 0o600))
	require.NoError(t, s.Attach(s.Rig, file))
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	require.NoError(t, s.StartAll(ctx))
	for n := range daemons {
		conn, err := grpc.NewClient("passthrough:///"+s.Daemon(n).Control, grpc.WithTransportCredentials(insecure.NewCredentials()))
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		s.clients = append(s.clients, pipelinev1.NewPipelinesClient(conn))
	}
	s.retryUntil(func(ctx context.Context, c pipelinev1.PipelinesClient) error {
		_, err := c.Submit(ctx, &pipelinev1.SubmitRequest{Id: "lec", Pipeline: "lecture", Tenant: "ups"})
		return err
	})
	return s
}

// retryUntil retries a call at one daemon after the other, as some may be down.
func (s *testCluster) retryUntil(call func(context.Context, pipelinev1.PipelinesClient) error) {
	s.Helper()
	var err error
	for n, began := 0, time.Now(); time.Since(began) < waitLimit; n++ {
		ctx, cancel := context.WithTimeout(s.Context(), 2*time.Second)
		err = call(ctx, s.clients[n%daemons])
		if cancel(); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond) // between tries
	}
	s.Fatalf("%v: %v", err, s.Runs())
}

// awaitHeldRun waits for the run of the configured step, and returns it with the daemon that leads the lecture's group.
func (s *testCluster) awaitHeldRun() (run workersim.Run, leader int) {
	s.Helper()
	select {
	case run = <-s.heldRun:
	case <-time.After(waitLimit):
		s.Fatalf("the step was not reached: %v", s.Runs())
	}
	most := int64(0)
	for n := range daemons {
		if f := s.Daemon(n).Figure("pipelines.stages_started"); f > most {
			leader, most = n, f
		}
	}
	require.Positive(s, most)
	return run, leader
}

// awaitAnswer waits for the lecture's answer, and checks that no stage ran more often than allowed.
func (s *testCluster) awaitAnswer() *pipelinev1.Answer {
	s.Helper()
	var answer *pipelinev1.Answer
	for range 2 { // a repeated query gives the same answer
		s.retryUntil(func(ctx context.Context, c pipelinev1.PipelinesClient) error {
			a, err := c.Await(ctx, &pipelinev1.AwaitRequest{Id: "lec", WaitMs: 1000})
			if err != nil || a.Answer == nil {
				return fmt.Errorf("no answer yet: %w", err)
			}
			if answer != nil {
				require.Equal(s, answer.String(), a.Answer.String())
			}
			answer = a.Answer
			return nil
		})
	}
	gens := map[string]int64{}
	published := 0
	for _, run := range s.Runs() {
		if gens[run.Stage] = max(gens[run.Stage], run.Generation); run.Stage == "publish" {
			published++
		}
	}
	require.LessOrEqual(s, published, 1, "%v", s.Runs())
	require.LessOrEqual(s, gens["encode"], int64(3), "at most one more than the bad one requires: %v", s.Runs())
	if answer.Kind == "done" {
		require.Equal(s, 1, published, "%v", s.Runs())
		return answer
	}
	require.Equal(s, []string{"needs_person", "publish", "may_have_run"}, []string{answer.Kind, answer.Stage, answer.Cause}, "%v\n%v", answer, s.Runs())
	return answer
}

// Kills the machine that leads the lecture's group, with its disk, at each step, or the one whose dispatcher sent the
// run.
func TestLeaderMachineLostAtEachStep(t *testing.T) {
	for _, c := range []struct {
		step string
		sent bool // kill the one that sent the run
	}{{"encode@1", false}, {"package@1", false}, {"encode@2", false}, {"encode@2", true}, {"publish@1", false}, {"publish@1", true}} {
		t.Run(fmt.Sprint(c.step, map[bool]string{true: " and kill sender"}[c.sent]), func(t *testing.T) {
			s := openCluster(t, c.step)
			run, lost := s.awaitHeldRun()
			if c.sent {
				lost = run.Daemon
			}
			s.Daemon(lost).Kill()
			require.NoError(t, s.Daemon(lost).Forget())
			close(s.release)
			if a := s.awaitAnswer(); !strings.HasPrefix(c.step, "publish") {
				require.Equal(t, "done", a.Kind, "%v\n%v", a, s.Runs())
			}
		})
	}
}

// Cuts the leading dispatcher off from its group during a step, and reconnects it once the others have gone on: nothing
// runs twice, and reports that arrived in the meantime are not lost.
func TestLeaderCutOffFromItsGroup(t *testing.T) {
	for _, step := range []string{"encode@2", "publish@1"} {
		t.Run(step, func(t *testing.T) {
			s := openCluster(t, step)
			_, leader := s.awaitHeldRun()
			cut := func(yes bool) {
				for n := range daemons {
					if n != leader {
						s.net.Set(link.Way{From: fmt.Sprint("n", leader), To: fmt.Sprint("n", n)}, link.Weather{Cut: yes})
						s.net.Set(link.Way{From: fmt.Sprint("n", n), To: fmt.Sprint("n", leader)}, link.Weather{Cut: yes})
					}
				}
			}
			cut(true)
			s.retryUntil(func(context.Context, pipelinev1.PipelinesClient) error { // until another one leads
				if s.Daemon(leader).Figure("pipelines.groups_acted_for") > 0 {
					return fmt.Errorf("n%d still acts", leader)
				}
				return nil
			})
			close(s.release)
			s.retryUntil(func(context.Context, pipelinev1.PipelinesClient) error {
				for _, run := range s.Runs() {
					if fmt.Sprint(run.Stage, "@", run.Generation) == step && !run.Ended.IsZero() {
						return nil
					}
				}
				return fmt.Errorf("%s runs", step)
			})
			cut(false)
			require.Equal(t, "done", s.awaitAnswer().Kind, "%v", s.Runs())
		})
	}
}
