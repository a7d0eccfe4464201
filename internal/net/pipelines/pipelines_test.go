package pipelines

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/promise"
	"caperrelay/internal/replica"
	"caperrelay/internal/rerun"
	"caperrelay/internal/rerun/policy"
	pipelinev1 "caperrelay/proto/winglb/pipeline/v1"
	promisev1 "caperrelay/proto/winglb/promise/v1"
)

const oneStage = `version = "1"
[budget]
fleet = "5%"
[[pipeline]]
name = "one"
result = ["publish"]
within = "1h"
[[pipeline.stage]]
name = "publish"
class = "publish"
work = "1s"
`

// jobs is the promise table without dispatchers, with workers that finish at once.
type jobs struct {
	t      *testing.T
	host   *replicas.MemoryHost
	ran    atomic.Int64
	before func() // called before the next promise is applied
	down   func() bool
	asked  []*promisev1.PromiseRequest

	owner sync.Mutex // held by the table's owner: a repeated intent is no second run and has the same answer
}

func (j *jobs) do(c promise.Command) promise.Answer {
	text, err := j.host.Propose(j.t.Context(), 0, replica.PromisesMachine, c.Bytes())
	require.NoError(j.t, err)
	a, err := promise.ReadAnswer(text)
	require.NoError(j.t, err)
	return a
}

func (j *jobs) Seen(_ context.Context, id string) (uint64, error) {
	return j.do(promise.Command{Op: promise.OpRead, ID: id}).Index, nil
}

func (j *jobs) PromiseSeen(_ context.Context, q *promisev1.PromiseRequest, seen uint64) (*promisev1.PromiseResponse, error) {
	if before := j.before; before != nil {
		j.before = nil
		before()
	}
	j.owner.Lock()
	defer j.owner.Unlock()
	j.asked = append(j.asked, q)
	if j.down != nil && j.down() {
		return nil, status.Error(codes.Unavailable, "no majority answers: nothing is promised")
	}
	a := j.do(promise.Command{Op: promise.OpPromise, ID: q.Id, SeenIndex: seen, Job: &promise.Job{
		Class: q.Job.Class, Candidates: q.Job.Order, Payload: q.Job.Payload, StartWithin: time.Duration(q.Job.WithinMs) * time.Millisecond, Retention: time.Hour,
	}})
	switch {
	case a.Code == promise.TooLate:
		return nil, status.Error(codes.Aborted, a.Text)
	case a.Code == promise.IDTaken:
		return nil, status.Error(codes.AlreadyExists, a.Text)
	case !a.OK:
		return nil, status.Error(codes.Internal, a.Text)
	}
	if len(q.Job.Order) == 1 && q.Job.Order[0] == noCandidates[0] {
		j.do(promise.Command{Op: promise.OpEnd, ID: q.Id, Index: a.Receipt.Index, Kind: promise.Refused, Reason: "turned away until its time was over"})
	} else if j.do(promise.Command{Op: promise.OpIntent, ID: q.Id, Index: a.Receipt.Index, Submission: 1, Instance: "s-1"}).OK {
		j.ran.Add(1)
		j.do(promise.Command{Op: promise.OpReport, ID: q.Id, Index: a.Receipt.Index, Submission: 1, Instance: "s-1", Kind: promise.Done, Result: []byte("published")})
	}
	return &promisev1.PromiseResponse{}, nil
}

func (j *jobs) Await(_ context.Context, q *promisev1.AwaitRequest) (*promisev1.AwaitResponse, error) {
	a := j.do(promise.Command{Op: promise.OpRead, ID: q.Id})
	if !a.OK {
		return nil, status.Error(codes.NotFound, "no such promise is kept")
	}
	r := &promisev1.AwaitResponse{}
	if a.End != nil {
		r.End = &promisev1.End{Kind: map[promise.Kind]promisev1.Kind{promise.Done: promisev1.Kind_KIND_DONE, promise.Refused: promisev1.Kind_KIND_REFUSED}[a.End.Kind], Reason: a.End.Reason, Result: a.End.Result, Instance: a.End.By}
	}
	return r, nil
}

func (j *jobs) Forget(_ context.Context, q *promisev1.ForgetRequest) (*promisev1.ForgetResponse, error) {
	j.do(promise.Command{Op: promise.OpForget, ID: q.Id})
	return &promisev1.ForgetResponse{}, nil
}

// Two dispatchers have the same execution, as while the lease on its group moves. However late one promises the job,
// after the other one has seen it end and has forgotten it, it runs once.
func TestExecutionAtTwoDispatchersRunsOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// late acts as the delayed dispatcher; run has the other one do the whole execution.
		late func(j *jobs, late *Server, execution rerun.Execute, run func())
		ran  int64
		ends string
	}{
		{"checked before the end and promises after it", func(_ *jobs, late *Server, execution rerun.Execute, run func()) {
			run()
			late.execute(t.Context(), 0, execution)
		}, 1, "done"},
		{"its promise is in progress meanwhile", func(j *jobs, late *Server, execution rerun.Execute, run func()) {
			j.before = run
			late.execute(t.Context(), 0, execution)
		}, 1, "done"},
		{"both promise, and one awaits late", func(j *jobs, late *Server, execution rerun.Execute, run func()) {
			j.before = func() { go run() }
			late.execute(t.Context(), 0, execution)
		}, 1, "done"},
		{"no worker left in one view: counts only if the job was not promised", func(j *jobs, late *Server, execution rerun.Execute, run func()) {
			execution.First, execution.Where, execution.FailedPlace = false, policy.OtherSite, policy.Place{Worker: "s-9", Site: "1"}
			j.before = run
			late.execute(t.Context(), 0, execution)
		}, 1, "done"},
		{"no worker left, and the job cannot be promised afterwards", func(j *jobs, late *Server, execution rerun.Execute, run func()) {
			execution.First, execution.Where, execution.FailedPlace = false, policy.OtherSite, policy.Place{Worker: "s-9", Site: "1"}
			late.execute(t.Context(), 0, execution)
			run()
		}, 0, "dead"},
	} {
		t.Run(c.name, func(t *testing.T) {
			host := replicas.NewMemoryHost(1, func(uint32) replica.Mux {
				return replica.Mux{replica.PromisesMachine: promise.New(), replica.RerunsMachine: rerun.New(rerun.Config{Groups: 1})}
			})
			j := &jobs{t: t, host: host}
			o := Options{Name: "d1", Site: policy.Site{Classes: map[string]policy.Class{"publish": {Once: true}}}}
			a, b := New(o, host, slog.New(slog.DiscardHandler)), New(o, host, slog.New(slog.DiscardHandler))
			a.SetJobs(j)
			b.SetJobs(j)
			b.Listed(dispatch.InstanceUpdate{Complete: true, Instances: []dispatch.Instance{{ID: "s-9", Cell: 1, State: decide.Ready}}})
			for _, command := range []rerun.Command{
				{Op: rerun.OpPolicy, Text: oneStage, Site: &o.Site}, {Op: rerun.OpSubmit, ID: "lec", Pipeline: "one"}, {Op: rerun.OpStart, Key: "r/lec/publish", Gen: 1, Dispatcher: "d1"},
			} {
				r, err := a.propose(t.Context(), 0, command)
				require.NoError(t, err)
				require.True(t, r.OK, r.Why)
			}
			var execution rerun.Execute
			host.View(0, replica.RerunsMachine, func(m replica.Machine) { execution = m.(*rerun.Machine).Running("")[0] })
			c.late(j, b, execution, func() { a.execute(t.Context(), 0, execution) })
			require.Equal(t, c.ran, j.ran.Load(), "runs of the job")
			answer, err := a.propose(t.Context(), 0, rerun.Command{Op: rerun.OpRead, ID: "lec"})
			require.NoError(t, err)
			text, _ := json.Marshal(answer)
			require.NotNil(t, answer.Answer, "%s", text)
			require.Equal(t, c.ends, string(answer.Answer.Kind), "%s", text)
		})
	}
}

// startedRun returns a host on which a run's only stage, which must not run twice, was started that long ago, and a
// server that continues it.
func startedRun(t *testing.T, ago time.Duration) (*jobs, *Server, rerun.Execute) {
	host := replicas.NewMemoryHost(1, func(uint32) replica.Mux {
		return replica.Mux{replica.PromisesMachine: promise.New(), replica.RerunsMachine: rerun.New(rerun.Config{Groups: 1})}
	})
	j := &jobs{t: t, host: host}
	o := Options{Name: "d1", Site: policy.Site{Classes: map[string]policy.Class{"publish": {Once: true}}}}
	s := New(o, host, slog.New(slog.DiscardHandler))
	s.SetJobs(j)
	for _, c := range []rerun.Command{
		{Op: rerun.OpPolicy, Text: strings.Replace(oneStage, `work = "1s"`, "work = \"1s\"\nwithin = \"30s\"", 1), Site: &o.Site},
		{Op: rerun.OpSubmit, ID: "lec", Pipeline: "one"}, {Op: rerun.OpStart, Key: "r/lec/publish", Gen: 1, Dispatcher: "gone"},
	} {
		text, err := host.ProposeAt(time.Duration(time.Now().Add(-ago).UnixNano()), 0, replica.RerunsMachine, c.Encode())
		require.NoError(t, err)
		r, err := rerun.DecodeResult(text)
		require.NoError(t, err)
		require.True(t, r.OK, r.Why)
	}
	var execution rerun.Execute
	host.View(0, replica.RerunsMachine, func(m replica.Machine) { execution = m.(*rerun.Machine).Running("")[0] })
	return j, s, execution
}

// A stage continued after its dispatcher died must get only its remaining time: otherwise it runs on long after its
// deadline.
func TestContinuedExecutionHasRemainingTime(t *testing.T) {
	j, s, execution := startedRun(t, 20*time.Second)
	s.execute(t.Context(), 0, execution)
	require.Len(t, j.asked, 1)
	require.LessOrEqual(t, j.asked[0].Job.WithinMs, uint64(10_000))
	require.EqualValues(t, 1, j.ran.Load())
}

// Guards against a stage whose job could not be promised in time counting as one that may have run.
func TestExecutionNotPromisedInTimeNeverRan(t *testing.T) {
	j, s, execution := startedRun(t, 30*time.Second-30*time.Millisecond)
	j.down = func() bool { return len(j.asked) == 1 } // until its deadline
	s.execute(t.Context(), 0, execution)
	require.Zero(t, j.ran.Load())
	r, err := s.propose(t.Context(), 0, rerun.Command{Op: rerun.OpRead, ID: "lec"})
	require.NoError(t, err)
	require.NotNil(t, r.Answer)
	require.Equal(t, policy.NeverRan, r.Answer.Cause, "%+v", r.Answer)
}

// Guards against started stages whose jobs no dispatcher promises or awaits because the owner is overloaded: they
// missed their deadlines. Only new stages have to wait.
func TestStartedExecutionsContinueUnderOverload(t *testing.T) {
	j, s, _ := startedRun(t, 0)
	s.o.Version = "1"
	for i := range maxTasks {
		s.tasks[fmt.Sprint("turn/", i)] = true
	}
	r, err := s.propose(t.Context(), 0, rerun.Command{Op: rerun.OpSubmit, ID: "new", Pipeline: "one"})
	require.NoError(t, err)
	require.True(t, r.OK, r.Why)
	s.runActions(t.Context(), 0)
	s.wg.Wait()
	require.EqualValues(t, 1, j.ran.Load())
	require.Zero(t, s.Started.Load())
	clear(s.tasks)
	s.runActions(t.Context(), 0)
	s.wg.Wait()
	require.EqualValues(t, 2, j.ran.Load())
	require.EqualValues(t, 1, s.Started.Load())
}

// A rerun avoids places of earlier failures and suspect sites while others are left, and always the place of the
// last failure. A server that knows no instances yet does not conclude that none is left.
func TestCandidates(t *testing.T) {
	s := New(Options{Site: policy.Site{Classes: map[string]policy.Class{"light": {Kind: "m2"}}}}, nil, slog.New(slog.DiscardHandler))
	at := func(id string, cell int) policy.Place {
		return policy.Place{Worker: id, Kind: "m2", Zone: "a", Site: strconv.Itoa(cell)}
	}
	execution := rerun.Execute{Execution: rerun.Execution{OutputRequest: rerun.OutputRequest{Class: "light", Where: policy.OtherSite, FailedPlace: at("w1", 1)}}}
	select {
	case <-s.instancesKnown:
		t.Fatal("no instances were listed yet")
	default:
	}
	l := dispatch.InstanceUpdate{Complete: true}
	for i, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
		l.Instances = append(l.Instances, dispatch.Instance{ID: id, Kind: "m2", Zone: "a", Cell: i + 1, State: decide.Ready})
	}
	s.Listed(l)
	<-s.instancesKnown
	for _, c := range []struct {
		failed, suspect []policy.Place
		want            []string
	}{
		{nil, nil, []string{"w2", "w3", "w4", "w5"}},
		{[]policy.Place{at("w2", 2)}, nil, []string{"w3", "w4", "w5"}},
		{[]policy.Place{at("w2", 2)}, []policy.Place{{Zone: "a", Site: "3"}}, []string{"w4", "w5"}},
		{[]policy.Place{at("w2", 2), at("w4", 4), at("w5", 5)}, []policy.Place{{Zone: "a", Site: "3"}}, []string{"w3"}},
		{[]policy.Place{at("w2", 2), at("w3", 3), at("w4", 4), at("w5", 5)}, nil, []string{"w2", "w3", "w4", "w5"}},
	} {
		execution.FailedPlaces, execution.SuspectSites = c.failed, c.suspect
		order, narrowed := s.candidates(execution)
		require.True(t, narrowed)
		require.ElementsMatch(t, c.want, order)
	}
	execution.First = true
	_, narrowed := s.candidates(execution)
	require.False(t, narrowed)
}

// The owner of a group keeps it informed of the sites' capacities, computed from the instance list and the kinds'
// slots; small changes are not proposed.
func TestSiteCapacities(t *testing.T) {
	host := replicas.NewMemoryHost(1, func(uint32) replica.Mux {
		return replica.Mux{replica.PromisesMachine: promise.New(), replica.RerunsMachine: rerun.New(rerun.Config{Groups: 1})}
	})
	o := Options{Name: "d1", Policy: oneStage, Version: "1", Site: policy.Site{Classes: map[string]policy.Class{"publish": {Once: true}}}, Slots: map[string]float64{"m2": 4}}
	s := New(o, host, slog.New(slog.DiscardHandler))
	list := func(workers int) {
		l := dispatch.InstanceUpdate{Complete: true, Instances: []dispatch.Instance{{ID: "x", Kind: "unknown", Zone: "b", State: decide.Ready}}}
		for i := range workers {
			l.Instances = append(l.Instances, dispatch.Instance{ID: fmt.Sprint("w", i), Kind: "m2", Zone: "a", Cell: 1, Size: 1.5, State: decide.Ready})
		}
		s.Listed(l)
		s.runActions(t.Context(), 0)
		s.wg.Wait()
	}
	capacities := func() (capacities map[string]int) {
		host.View(0, replica.RerunsMachine, func(m replica.Machine) {
			var state struct {
				Room map[string]int `json:"Room"`
			}
			text, err := m.(*rerun.Machine).Snapshot()
			require.NoError(t, err)
			require.NoError(t, json.Unmarshal(text, &state))
			capacities = state.Room
		})
		return capacities
	}
	list(10)
	require.Equal(t, map[string]int{"a.1": 60}, capacities())
	list(9)
	require.Equal(t, map[string]int{"a.1": 60}, capacities())
	list(5)
	require.Equal(t, map[string]int{"a.1": 30}, capacities())
}

// Guards against the target of a stage ending the request line to an encoder.
func TestTargetsOfStagesKeepToTheirLine(t *testing.T) {
	_, err := (&Server{}).Submit(t.Context(), &pipelinev1.SubmitRequest{Id: "run", Targets: map[string]string{"cut": "/x HTTP/1.1\r\n\r\nDELETE /jobs/other"}})
	require.Equal(t, codes.InvalidArgument, status.Code(err))
	require.ErrorContains(t, err, "cut")
}
