// Package pipelines serves runs of pipelines: the gRPC service of every dispatcher, and the execution of stages by
// the dispatcher that owns a group. The decisions are in caperrelay/internal/rerun; stages run as promised jobs, so
// that the group's next owner finds those that an earlier one has started.
package pipelines

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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

const (
	pollEvery       = 20 * time.Millisecond
	proposeTimeout  = 2 * time.Second
	retryPause      = 50 * time.Millisecond
	remotePollPause = 300 * time.Millisecond // where this dispatcher has no replica of the group
	maxAwait        = time.Minute
	callTimeout     = 10 * time.Second
	maxCalls        = 1024 // Await calls in progress
	maxTasks        = 2048 // tasks in progress above which no new stage is started
	maxCandidates   = 256  // candidates listed for a rerun
	endRetention    = 10 * time.Minute
	maxSiteCapacity = 1 << 16   // largest capacity of one site, in reruns
	targetKey       = "target:" // prefix of parameters that set a stage's target
)

// noCandidates is the candidate list of a job that is promised only to be refused: it occupies the id, so that no
// dispatcher can have the job run.
var noCandidates = []string{"-"}

// Jobs is the promise service in this process, which runs the stages.
type Jobs interface {
	// Seen returns the log index that the group of an id is known to have reached. PromiseSeen promises a job for a
	// caller that had observed that index when it decided to; it fails with codes.Aborted if the promise with that id was removed since.
	Seen(ctx context.Context, id string) (uint64, error)
	PromiseSeen(ctx context.Context, q *promisev1.PromiseRequest, seen uint64) (*promisev1.PromiseResponse, error)
	Await(context.Context, *promisev1.AwaitRequest) (*promisev1.AwaitResponse, error)
	Forget(context.Context, *promisev1.ForgetRequest) (*promisev1.ForgetResponse, error)
}

// Options of a server.
type Options struct {
	Name    string // this dispatcher's name
	Policy  string // text of the policy file
	Version string
	Site    policy.Site
	// Slots is the number of jobs that a worker of each kind runs concurrently.
	Slots map[string]float64
}

// Server implements the pipeline service. It is safe for concurrent use.
type Server struct {
	pipelinev1.UnimplementedPipelinesServer
	o       Options
	host    replicas.Host
	jobs    Jobs
	log     *slog.Logger
	calls   chan struct{}
	Started atomic.Int64 // stages started by this dispatcher
	Reruns  atomic.Int64
	acting  atomic.Int64 // groups that this dispatcher owns

	mu             sync.Mutex
	changed        chan struct{}  // closed and replaced after each pass of the loop
	instancesKnown chan struct{}  // closed once discovery has listed instances
	listed         bool           // whether instancesKnown is closed
	capacities     map[string]int // capacity by zone.site, counting instances whose kind has known slots
	tasks          map[string]bool
	instances      dispatch.InstanceList
	wg             sync.WaitGroup
}

// New returns a server; the caller must call SetJobs, then Run.
func New(o Options, host replicas.Host, log *slog.Logger) *Server {
	return &Server{o: o, host: host, log: log, calls: make(chan struct{}, maxCalls), changed: make(chan struct{}), instancesKnown: make(chan struct{}), tasks: map[string]bool{}}
}

// SetJobs sets the service that runs the stages; call it before Run.
func (s *Server) SetJobs(jobs Jobs) { s.jobs = jobs }

// Listed handles an update of the instance list, which reruns select their workers from.
func (s *Server) Listed(l dispatch.InstanceUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.Update(l)
	capacities := map[string]float64{}
	for id, m := range s.instances.Instances() {
		if p := placeOf(id, m); m.State == decide.Ready && s.o.Slots[m.Kind] > 0 {
			capacities[p.Zone+"."+p.Site] += s.o.Slots[m.Kind] * cmp.Or(m.Size, 1)
		}
	}
	s.capacities = map[string]int{}
	for place, capacity := range capacities {
		s.capacities[place] = max(1, int(min(capacity, maxSiteCapacity)))
	}
	if !s.listed && len(s.instances.Instances()) > 0 {
		close(s.instancesKnown)
		s.listed = true
	}
}

func (s *Server) propose(ctx context.Context, g uint32, c rerun.Command) (rerun.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	text, err := s.host.Propose(ctx, g, replica.RerunsMachine, c.Encode())
	if err != nil {
		return rerun.Result{}, err
	}
	return rerun.DecodeResult(text)
}

// Run owns groups while this dispatcher holds their leases, until the context ends.
func (s *Server) Run(ctx context.Context) {
	defer s.wg.Wait()
	every := time.NewTicker(pollEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C: // polls, since Changed supports one receiver only
		}
		acting := int64(0)
		for g := range s.host.Groups() {
			if _, until, ok := s.host.Lease(g); ok && replicas.Now() < until {
				s.runActions(ctx, g)
				acting++
			} else {
				s.host.View(g, replica.RerunsMachine, func(m replica.Machine) { m.(*rerun.Machine).TakeLogLines() })
			}
		}
		s.acting.Store(acting)
		s.mu.Lock()
		close(s.changed)
		s.changed = make(chan struct{})
		s.mu.Unlock()
	}
}

// runActions carries out a group's pending actions.
func (s *Server) runActions(ctx context.Context, g uint32) {
	var actions []rerun.Action
	var running []rerun.Execute
	var lines []rerun.LogLine
	policyKnown, capacitiesCurrent := false, false
	s.mu.Lock()
	capacities := s.capacities // replaced as a whole, never modified
	s.mu.Unlock()
	now := time.Duration(time.Now().UnixNano())
	if !s.host.View(g, replica.RerunsMachine, func(m replica.Machine) {
		r := m.(*rerun.Machine)
		actions, running, lines, policyKnown, capacitiesCurrent = r.Actions(), r.Running(""), r.TakeLogLines(), r.HasPolicy(s.o.Version), r.CapacitiesCurrent(capacities)
	}) {
		return
	}
	for _, l := range lines {
		s.log.Info("pipeline", "run", l.Run, "policy", l.Policy, "line", l.Rule, "text", l.Text)
	}
	if !policyKnown {
		s.startTask(fmt.Sprint("policy/", g), func() {
			r, err := s.propose(ctx, g, rerun.Command{Op: rerun.OpPolicy, Text: s.o.Policy, Site: &s.o.Site})
			if err == nil && !r.OK {
				s.log.Error("rerun policy rejected by the group", "group", g, "version", s.o.Version, "err", r.Why)
				wait(ctx, callTimeout)
			}
		})
	}
	if !capacitiesCurrent {
		s.startTask(fmt.Sprint("rooms/", g), func() { s.propose(ctx, g, rerun.Command{Op: rerun.OpCapacities, Capacities: capacities}) })
	}
	for _, t := range running {
		s.startTask(executionTask(t), func() { s.execute(ctx, g, t) })
	}
	for _, a := range actions {
		switch a := a.(type) {
		case rerun.Execute:
			if s.overloaded() {
				continue
			}
			s.startTask(executionTask(a), func() {
				r, err := s.propose(ctx, g, rerun.Command{Op: rerun.OpStart, Key: a.Key, Gen: a.Gen, Dispatcher: s.o.Name})
				if err == nil && r.OK {
					if s.Started.Add(1); !a.First {
						s.Reruns.Add(1)
					}
					s.execute(ctx, g, a)
				}
			})
		case rerun.Deliver:
			s.startTask(fmt.Sprintf("letters/%d/%d", g, a.To), func() {
				if r, err := s.propose(ctx, a.To, rerun.Command{Op: rerun.OpMessages, Group: g, Messages: a.Messages}); err == nil && r.Seq > 0 {
					s.propose(ctx, g, rerun.Command{Op: rerun.OpConfirmed, Group: a.To, Seq: r.Seq})
				}
			})
		case rerun.WaitUntil:
			if now >= a.At {
				s.startTask(fmt.Sprint("tick/", g), func() { s.propose(ctx, g, rerun.Command{Op: rerun.OpTick}) })
			}
		}
	}
}

func executionTask(t rerun.Execute) string { return fmt.Sprintf("turn/%s@%d", t.Key, t.Gen) }

// overloaded reports whether no new stage may be started here. Started ones and everything else continue: the groups
// bound their number.
func (s *Server) overloaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tasks) >= maxTasks
}

// startTask runs a task in a goroutine of its own, unless a task of that name is running.
func (s *Server) startTask(name string, do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[name] {
		return
	}
	s.tasks[name] = true
	s.wg.Go(func() {
		do()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.tasks, name)
	})
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// jobID is the id under which a generation's job is promised, the same at every dispatcher.
func jobID(key string, gen int64) string {
	sum := sha256.Sum256([]byte(key))
	return "pl." + hex.EncodeToString(sum[:16]) + "." + strconv.FormatInt(gen, 10)
}

// JobBody is the body of a stage's job, as its worker receives it.
type JobBody struct {
	Run        string            `json:"run"`
	Stage      string            `json:"stage"`
	Output     string            `json:"output"` // the output's key; it and the generation determine where to store the output
	Generation int64             `json:"generation"`
	Inputs     []Input           `json:"inputs,omitempty"`
	Params     map[string]string `json:"params,omitempty"`
}

// Input is an output of another stage.
type Input struct {
	Stage      string `json:"stage"`
	Output     string `json:"output"`
	Generation int64  `json:"generation"`
}

// Outcome is the result that a stage's worker returns. Any other text is a success with that text.
type Outcome struct {
	Outcome policy.Cause `json:"outcome"` // failed, bad_input or output_lost; empty or "ok": success
	Input   string       `json:"input,omitempty"`
	Text    string       `json:"text,omitempty"`
}

func stageOf(key string) string {
	parts := strings.Split(key, "/")
	return parts[min(2, len(parts)-1)]
}

// timeLeft is the remaining time of an execution, whichever dispatcher continues it.
func timeLeft(t rerun.Execute) time.Duration {
	left := time.Until(time.Unix(0, int64(t.Deadline)))
	if t.Within > 0 {
		left = min(left, t.Within, time.Until(time.Unix(0, int64(t.Began+t.Within))))
	}
	return left
}

// execute produces one generation of an output, or continues an execution that another dispatcher started, and reports the result
// to the group.
func (s *Server) execute(ctx context.Context, g uint32, t rerun.Execute) {
	id := jobID(t.Key, t.Gen)
	jobBody := JobBody{Run: t.Run, Stage: t.Name, Output: t.Key, Generation: t.Gen, Params: map[string]string{}}
	for i, key := range t.Inputs {
		jobBody.Inputs = append(jobBody.Inputs, Input{stageOf(key), key, t.InputGens[i]})
	}
	target := ""
	for k, v := range t.Params {
		if stage, is := strings.CutPrefix(k, targetKey); !is {
			jobBody.Params[k] = v
		} else if stage == t.Name {
			target = v
		}
	}
	body, _ := json.Marshal(jobBody) // plain data: this cannot fail
	if t.Began == 0 {                // started just now
		t.Began = time.Duration(time.Now().UnixNano())
	}
	if isNarrowed(t) { // a new process knows no instances yet, which must not count as none left
		select {
		case <-s.instancesKnown:
		case <-time.After(timeLeft(t)):
		case <-ctx.Done():
			return
		}
	}
	order, narrowed := s.candidates(t)
	end := rerun.Command{Op: rerun.OpEnd, Key: t.Key, Gen: t.Gen}
	refusedCause, why := policy.NeverRan, "" // for a job that is refused
	if narrowed && len(order) == 0 && timeLeft(t) >= time.Millisecond {
		order, refusedCause, why = noCandidates, policy.Refused, fmt.Sprintf("no worker of class %s is left by %s", t.Class, t.Where)
	}
	job := &promisev1.PromiseRequest{Id: id, Job: &promisev1.Job{
		Class: t.Class, Tenant: t.Tenant, Payload: body, WorkUs: uint64(t.Work.Microseconds()), Target: target, WithinMs: 1, KeepMs: uint64(endRetention.Milliseconds()), Order: order,
	}}
	for ; ctx.Err() == nil; wait(ctx, retryPause) {
		// The job's group must be observed before the execution is confirmed as current: another dispatcher may see the job
		// end and forget it while this one is delayed. Promised after that, it would run a second time.
		seen, err := s.jobs.Seen(ctx, id)
		if err != nil {
			continue
		}
		r, err := s.propose(ctx, g, rerun.Command{Op: rerun.OpCheckExecution, Key: t.Key, Gen: t.Gen})
		if err != nil {
			continue
		}
		if !r.OK {
			return
		}
		if left := timeLeft(t); why == "" && left >= time.Millisecond {
			job.Job.WithinMs = uint64(left.Milliseconds())
		} else if job.Job.WithinMs, job.Job.Order = 1, noCandidates; why == "" {
			// An earlier call may have promised the job although no answer arrived; that promise stays valid.
			why = "its time was over before it could be begun"
		}
		_, err = s.jobs.PromiseSeen(ctx, job, seen)
		code := status.Code(err)
		if err == nil || code == codes.AlreadyExists { // promised by an earlier owner, with its own candidate list
			break
		}
		if code == codes.InvalidArgument {
			end.Cause, end.Text = policy.Refused, status.Convert(err).Message()
			if t.Once { // refused by the settings here; another dispatcher with other settings may have promised it
				end.Cause = policy.MayHaveRun
			}
			s.reportEnd(ctx, g, end)
			return
		}
	}
	end, over := s.await(ctx, id, end)
	if !over {
		return // the next owner continues it
	}
	if !end.OK && end.Cause == policy.NeverRan {
		end.Cause, end.Text = refusedCause, cmp.Or(why, end.Text)
	}
	s.reportEnd(ctx, g, end)
	s.jobs.Forget(ctx, &promisev1.ForgetRequest{Id: id})
}

// await waits for a job's end; it returns false if this dispatcher stops first.
func (s *Server) await(ctx context.Context, id string, end rerun.Command) (rerun.Command, bool) {
	for ctx.Err() == nil {
		a, err := s.jobs.Await(ctx, &promisev1.AwaitRequest{Id: id, WaitMs: uint32(maxAwait.Milliseconds())})
		if status.Code(err) == codes.NotFound { // its end is no longer kept, or its group is lost
			end.Cause, end.Text = policy.MayHaveRun, "nothing is kept of it"
			return end, true
		}
		if err != nil || a.End == nil {
			wait(ctx, retryPause)
			continue
		}
		place := s.workerPlace(a.End.Instance)
		end.Place, end.Text = &place, a.End.Reason
		switch a.End.Kind {
		case promisev1.Kind_KIND_DONE:
			var o Outcome
			if json.Unmarshal(a.End.Result, &o) != nil { // plain text
				o = Outcome{Text: string(a.End.Result)}
			}
			end.OK, end.Text, end.Input = true, o.Text, o.Input
			if o.Outcome == policy.RanFailed || o.Outcome == policy.BadInput || o.Outcome == policy.OutputLost {
				end.OK, end.Cause = false, o.Outcome
			}
		case promisev1.Kind_KIND_REFUSED:
			end.Cause = policy.NeverRan
			if strings.HasPrefix(a.End.Reason, "no encoder can do it") {
				end.Cause = policy.Refused
			}
		default:
			if end.Cause = policy.RanFailed; strings.Contains(a.End.Reason, "may have run") || a.End.Reason == promise.MayHaveRun {
				end.Cause = policy.MayHaveRun
			}
		}
		return end, true
	}
	return end, false
}

// reportEnd reports the end of an execution to its group, until the group has it.
func (s *Server) reportEnd(ctx context.Context, g uint32, c rerun.Command) {
	for ctx.Err() == nil {
		if _, err := s.propose(ctx, g, c); err == nil {
			return
		}
		wait(ctx, retryPause)
	}
}

// workerPlace returns the place of a worker.
func (s *Server) workerPlace(worker string) policy.Place {
	s.mu.Lock()
	defer s.mu.Unlock()
	return placeOf(worker, s.instances.Instances()[worker])
}

func placeOf(worker string, m dispatch.Instance) policy.Place {
	p := policy.Place{Worker: worker, Kind: m.Kind, Zone: m.Zone}
	if m.ID != "" {
		p.Site = strconv.Itoa(m.Cell)
	}
	return p
}

// isNarrowed reports whether an execution is restricted to some of the workers of its class.
func isNarrowed(t rerun.Execute) bool {
	return !t.First && t.Where != "" && t.Where != policy.Anywhere && t.FailedPlace.Worker != ""
}

// candidates returns the workers that a rerun may use; false: those that the class allows. It starts from the ready
// workers of the class's kind, always excludes the place of the last failure, and excludes places of earlier
// failures and suspect sites as long as others are left.
func (s *Server) candidates(t rerun.Execute) (order []string, narrowed bool) {
	if !isNarrowed(t) {
		return nil, false
	}
	kind := s.o.Site.Classes[t.Class].Kind
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for id, m := range s.instances.Instances() {
		at, rank := placeOf(id, m), 0
		if m.State != decide.Ready || kind != "" && kind != m.Kind || !t.Where.Allows(t.FailedPlace, at) {
			continue
		}
		if !slices.ContainsFunc(t.FailedPlaces, func(p policy.Place) bool { return !t.Where.Allows(p, at) }) {
			rank = 1
			if !slices.ContainsFunc(t.SuspectSites, func(p policy.Place) bool { return p.Zone == at.Zone && p.Site == at.Site }) {
				rank = 2
			}
		}
		if rank > best {
			order, best = nil, rank
		}
		if rank == best {
			order = append(order, id)
		}
	}
	slices.Sort(order)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order[:min(len(order), maxCandidates)], true
}

// Submit answers once a majority has the run on disk.
func (s *Server) Submit(ctx context.Context, q *pipelinev1.SubmitRequest) (*pipelinev1.SubmitResponse, error) {
	if err := promise.CheckID(q.Id); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	params := map[string]string{}
	for k, v := range q.Params {
		if strings.HasPrefix(k, targetKey) {
			return nil, status.Errorf(codes.InvalidArgument, "a parameter must not begin with %q", targetKey)
		}
		params[k] = v
	}
	for k, v := range q.Targets {
		if err := promise.CheckTarget(v); err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "stage %q: %v", k, err)
		}
		params[targetKey+k] = v
	}
	r, err := s.proposeWithRetry(ctx, q.Id, rerun.Command{Op: rerun.OpSubmit, ID: q.Id, Pipeline: q.Pipeline, Tenant: q.Tenant, Params: params})
	switch {
	case err != nil:
		return nil, err
	case r.OK:
		return &pipelinev1.SubmitResponse{}, nil
	case strings.Contains(r.Why, "is full"):
		return nil, status.Error(codes.ResourceExhausted, r.Why)
	case strings.Contains(r.Why, "is another"):
		return nil, status.Error(codes.AlreadyExists, r.Why)
	case strings.Contains(r.Why, "no policy yet"):
		return nil, status.Error(codes.Unavailable, r.Why)
	}
	return nil, status.Error(codes.InvalidArgument, r.Why)
}

// proposeWithRetry has a run's group agree on a command, retrying until it does: all of these commands are
// idempotent.
func (s *Server) proposeWithRetry(ctx context.Context, id string, c rerun.Command) (rerun.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		r, err := s.propose(ctx, rerun.GroupOfRun(id, s.host.Groups()), c)
		if err == nil {
			return r, nil
		}
		if errors.Is(err, replica.ErrTooLarge) {
			return r, status.Error(codes.InvalidArgument, "it is too large")
		}
		wait(ctx, retryPause)
		if ctx.Err() != nil {
			return r, status.Error(codes.Unavailable, "no majority answers: call again with the same id")
		}
	}
}

// Await waits for a run's answer.
func (s *Server) Await(ctx context.Context, q *pipelinev1.AwaitRequest) (*pipelinev1.AwaitResponse, error) {
	select {
	case s.calls <- struct{}{}:
		defer func() { <-s.calls }()
	default:
		return nil, status.Error(codes.ResourceExhausted, "as many calls wait as may")
	}
	until := time.Now().Add(min(time.Duration(q.WaitMs)*time.Millisecond, maxAwait))
	group := rerun.GroupOfRun(q.Id, s.host.Groups())
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		open := false
		here := s.host.View(group, replica.RerunsMachine, func(m replica.Machine) {
			r := m.(*rerun.Machine).Run(q.Id)
			open = r != nil && r.Answer == nil
		})
		if !here || !open || !time.Now().Before(until) {
			r, err := s.proposeWithRetry(ctx, q.Id, rerun.Command{Op: rerun.OpRead, ID: q.Id})
			switch {
			case err != nil:
				return nil, err
			case !r.OK:
				return nil, status.Error(codes.NotFound, r.Why)
			case r.Answer != nil:
				a := r.Answer
				return &pipelinev1.AwaitResponse{Answer: &pipelinev1.Answer{
					Kind: string(a.Kind), Stage: a.Stage, Cause: string(a.Cause), Reason: a.Reason, Result: a.Result, Reruns: uint32(a.Reruns), WorkUs: uint64(a.Work.Microseconds()),
				}}, nil
			case !time.Now().Before(until) || ctx.Err() != nil:
				return &pipelinev1.AwaitResponse{}, nil
			}
			wait(ctx, min(remotePollPause, time.Until(until)))
			continue
		}
		select {
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		case <-changed:
		case <-time.After(time.Until(until)):
		}
	}
}

// Explain returns the description of a run.
func (s *Server) Explain(ctx context.Context, q *pipelinev1.ExplainRequest) (*pipelinev1.ExplainResponse, error) {
	r, err := s.proposeWithRetry(ctx, q.Id, rerun.Command{Op: rerun.OpRead, ID: q.Id})
	if err != nil {
		return nil, err
	}
	if !r.OK {
		return nil, status.Error(codes.NotFound, r.Why)
	}
	text, err := json.Marshal(r.Explained)
	return &pipelinev1.ExplainResponse{Text: string(text)}, err
}

// CallOff cancels a run.
func (s *Server) CallOff(ctx context.Context, q *pipelinev1.CallOffRequest) (*pipelinev1.CallOffResponse, error) {
	r, err := s.proposeWithRetry(ctx, q.Id, rerun.Command{Op: rerun.OpCallOff, ID: q.Id})
	if err == nil && !r.OK {
		err = status.Error(codes.NotFound, r.Why)
	}
	return &pipelinev1.CallOffResponse{}, err
}

// Explained returns the description of a run from the local replica; false: this dispatcher has none.
func (s *Server) Explained(id string) (e rerun.Explained, ok bool) {
	s.host.View(rerun.GroupOfRun(id, s.host.Groups()), replica.RerunsMachine, func(m replica.Machine) { e, ok = m.(*rerun.Machine).Explain(id) })
	return e, ok
}

// Figures returns the counters, one a line.
func (s *Server) Figures() string {
	runs, open := 0, 0
	for g := range s.host.Groups() {
		s.host.View(g, replica.RerunsMachine, func(m replica.Machine) {
			r, o := m.(*rerun.Machine).Size()
			runs, open = runs+r, open+o
		})
	}
	return fmt.Sprintf("proxy.pipelines.groups_acted_for=%d\nproxy.pipelines.runs_here=%d\nproxy.pipelines.open_here=%d\nproxy.pipelines.stages_started=%d\nproxy.pipelines.reruns_started=%d\n",
		s.acting.Load(), runs, open, s.Started.Load(), s.Reruns.Load())
}
