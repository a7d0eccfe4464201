// Package pipelines serves runs of pipelines: the gRPC service of every dispatcher, and what the dispatcher that acts
// for a group does about its runs. The decisions are in caperrelay/internal/rerun; stages run as promised jobs, so that
// whoever acts next finds those that an earlier one has begun.
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
	lookEvery  = 20 * time.Millisecond
	proposeFor = 2 * time.Second
	pause      = 50 * time.Millisecond
	farPause   = 300 * time.Millisecond // where this dispatcher has no copy of the group
	mostAwait  = time.Minute
	callWithin = 10 * time.Second
	mostCalls  = 1024 // that wait
	mostBusy   = 2048 // things under way for the groups, until no new stage is started
	mostOrder  = 256  // workers that a rerun is narrowed to
	keepEnd    = 10 * time.Minute
	mostOut    = 1 << 16   // reruns at one site
	targetKey  = "target:" // parameters that are stages' targets begin so
)

// nowhere is the order of a job that is promised to be refused: its id is taken by that, so that nobody can have it run.
var nowhere = []string{"-"}

// Jobs is where stages run: the service of promises, in this process.
type Jobs interface {
	// Seen is how far the group of an id is known to be, and PromiseSeen promises a job for who knew that it was to be
	// when he had seen that much: codes.Aborted if the id was dropped since.
	Seen(ctx context.Context, id string) (uint64, error)
	PromiseSeen(ctx context.Context, q *promisev1.PromiseRequest, seen uint64) (*promisev1.PromiseResponse, error)
	Await(context.Context, *promisev1.AwaitRequest) (*promisev1.AwaitResponse, error)
	Forget(context.Context, *promisev1.ForgetRequest) (*promisev1.ForgetResponse, error)
}

// Options of a server.
type Options struct {
	Name    string // of this dispatcher
	Policy  string // the file's text
	Version string
	Site    policy.Site
	// Slots is how many jobs a worker of each kind runs at once.
	Slots map[string]float64
}

// Server is safe for use by several goroutines.
type Server struct {
	pipelinev1.UnimplementedPipelinesServer
	o       Options
	host    replicas.Host
	jobs    Jobs
	log     *slog.Logger
	calls   chan struct{}
	Started atomic.Int64 // stages, here
	Reruns  atomic.Int64
	acting  atomic.Int64

	mu      sync.Mutex
	moved   chan struct{}  // closed at each look
	known   chan struct{}  // closed once the name table has told of workers
	listed  bool           // likewise
	rooms   map[string]int // what sites take at once, by zone.site, of those of which all kinds' slots are known
	busy    map[string]bool
	members dispatch.InstanceList
	wg      sync.WaitGroup
}

// New returns a server; it must be run. jobs is told later, by Use.
func New(o Options, host replicas.Host, log *slog.Logger) *Server {
	return &Server{o: o, host: host, log: log, calls: make(chan struct{}, mostCalls), moved: make(chan struct{}), known: make(chan struct{}), busy: map[string]bool{}}
}

// Use tells where stages run; before Run.
func (s *Server) Use(jobs Jobs) { s.jobs = jobs }

// Listed takes the name table's news, by which reruns are narrowed.
func (s *Server) Listed(l dispatch.InstanceUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Update(l)
	rooms := map[string]float64{}
	for id, m := range s.members.Instances() {
		if p := placeOf(id, m); m.State == decide.Ready && s.o.Slots[m.Kind] > 0 {
			rooms[p.Zone+"."+p.Site] += s.o.Slots[m.Kind] * cmp.Or(m.Size, 1)
		}
	}
	s.rooms = map[string]int{}
	for place, room := range rooms {
		s.rooms[place] = max(1, int(min(room, mostOut)))
	}
	if !s.listed && len(s.members.Instances()) > 0 {
		close(s.known)
		s.listed = true
	}
}

func (s *Server) propose(ctx context.Context, g uint32, c rerun.Command) (rerun.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeFor)
	defer cancel()
	text, err := s.host.Propose(ctx, g, replica.RerunsMachine, c.Encode())
	if err != nil {
		return rerun.Result{}, err
	}
	return rerun.DecodeResult(text)
}

// Run acts for groups while this dispatcher has their leases, until the context ends.
func (s *Server) Run(ctx context.Context) {
	defer s.wg.Wait()
	every := time.NewTicker(lookEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C: // not by Changed, which has one taker
		}
		acting := int64(0)
		for g := range s.host.Groups() {
			if _, until, ok := s.host.Lease(g); ok && replicas.Now() < until {
				s.act(ctx, g)
				acting++
			} else {
				s.host.View(g, replica.RerunsMachine, func(m replica.Machine) { m.(*rerun.Machine).TakeLogLines() })
			}
		}
		s.acting.Store(acting)
		s.mu.Lock()
		close(s.moved)
		s.moved = make(chan struct{})
		s.mu.Unlock()
	}
}

// act does what a group wants done.
func (s *Server) act(ctx context.Context, g uint32) {
	var actions []rerun.Action
	var running []rerun.Execute
	var lines []rerun.LogLine
	knows, roomy := false, false
	s.mu.Lock()
	rooms := s.rooms // replaced, never changed
	s.mu.Unlock()
	now := time.Duration(time.Now().UnixNano())
	if !s.host.View(g, replica.RerunsMachine, func(m replica.Machine) {
		r := m.(*rerun.Machine)
		actions, running, lines, knows, roomy = r.Actions(), r.Running(""), r.TakeLogLines(), r.HasPolicy(s.o.Version), r.CapacitiesCurrent(rooms)
	}) {
		return
	}
	for _, l := range lines {
		s.log.Info("pipeline", "run", l.Run, "policy", l.Policy, "line", l.Rule, "text", l.Text)
	}
	if !knows {
		s.once(fmt.Sprint("policy/", g), func() {
			r, err := s.propose(ctx, g, rerun.Command{Op: rerun.OpPolicy, Text: s.o.Policy, Site: &s.o.Site})
			if err == nil && !r.OK {
				s.log.Error("policy of reruns not taken", "group", g, "version", s.o.Version, "err", r.Why)
				wait(ctx, callWithin)
			}
		})
	}
	if !roomy {
		s.once(fmt.Sprint("rooms/", g), func() { s.propose(ctx, g, rerun.Command{Op: rerun.OpCapacities, Capacities: rooms}) })
	}
	for _, t := range running {
		s.once(turnName(t), func() { s.turn(ctx, g, t) })
	}
	for _, a := range actions {
		switch a := a.(type) {
		case rerun.Execute:
			if s.full() {
				continue
			}
			s.once(turnName(a), func() {
				r, err := s.propose(ctx, g, rerun.Command{Op: rerun.OpStart, Key: a.Key, Gen: a.Gen, Dispatcher: s.o.Name})
				if err == nil && r.OK {
					if s.Started.Add(1); !a.First {
						s.Reruns.Add(1)
					}
					s.turn(ctx, g, a)
				}
			})
		case rerun.Deliver:
			s.once(fmt.Sprintf("letters/%d/%d", g, a.To), func() {
				if r, err := s.propose(ctx, a.To, rerun.Command{Op: rerun.OpMessages, Group: g, Messages: a.Messages}); err == nil && r.Seq > 0 {
					s.propose(ctx, g, rerun.Command{Op: rerun.OpConfirmed, Group: a.To, Seq: r.Seq})
				}
			})
		case rerun.WaitUntil:
			if now >= a.At {
				s.once(fmt.Sprint("tick/", g), func() { s.propose(ctx, g, rerun.Command{Op: rerun.OpTick}) })
			}
		}
	}
}

func turnName(t rerun.Execute) string { return fmt.Sprintf("turn/%s@%d", t.Key, t.Gen) }

// full tells whether no new stage is to be started here. What has been, and all else, goes on: the groups bound it.
func (s *Server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.busy) >= mostBusy
}

// once does something in a goroutine of its own, unless it is being done.
func (s *Server) once(name string, do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[name] {
		return
	}
	s.busy[name] = true
	s.wg.Go(func() {
		do()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, name)
	})
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// jobID is what a generation's job is promised as: the same whoever acts.
func jobID(key string, gen int64) string {
	sum := sha256.Sum256([]byte(key))
	return "pl." + hex.EncodeToString(sum[:16]) + "." + strconv.FormatInt(gen, 10)
}

// Told is what a stage's worker is told in the body of its job.
type Told struct {
	Run        string            `json:"run"`
	Stage      string            `json:"stage"`
	Output     string            `json:"output"` // its key: where it is to be put is by that and the generation
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

// Outcome is what a stage's worker gives as its job's result. A result of another form is a success with that text.
type Outcome struct {
	Outcome policy.Cause `json:"outcome"` // failed, bad_input or output_lost; empty or "ok": it went well
	Input   string       `json:"input,omitempty"`
	Text    string       `json:"text,omitempty"`
}

func stageOf(key string) string {
	parts := strings.Split(key, "/")
	return parts[min(2, len(parts)-1)]
}

// left is the time that a turn has yet, whoever takes it up.
func left(t rerun.Execute) time.Duration {
	left := time.Until(time.Unix(0, int64(t.Deadline)))
	if t.Within > 0 {
		left = min(left, t.Within, time.Until(time.Unix(0, int64(t.Began+t.Within))))
	}
	return left
}

// turn has a generation made, or takes up the making of it, and tells the group how that ended.
func (s *Server) turn(ctx context.Context, g uint32, t rerun.Execute) {
	id := jobID(t.Key, t.Gen)
	told := Told{Run: t.Run, Stage: t.Name, Output: t.Key, Generation: t.Gen, Params: map[string]string{}}
	for i, key := range t.Inputs {
		told.Inputs = append(told.Inputs, Input{stageOf(key), key, t.InputGens[i]})
	}
	target := ""
	for k, v := range t.Params {
		if stage, is := strings.CutPrefix(k, targetKey); !is {
			told.Params[k] = v
		} else if stage == t.Name {
			target = v
		}
	}
	body, _ := json.Marshal(told) // plain data: it cannot fail
	if t.Began == 0 {             // it has just been started
		t.Began = time.Duration(time.Now().UnixNano())
	}
	if narrows(t) { // a process that has just begun knows of no workers, which must not count as none left
		select {
		case <-s.known:
		case <-time.After(left(t)):
		case <-ctx.Done():
			return
		}
	}
	order, narrowed := s.narrow(t)
	end := rerun.Command{Op: rerun.OpEnd, Key: t.Key, Gen: t.Gen}
	never, why := policy.NeverRan, "" // where its job is refused
	if narrowed && len(order) == 0 && left(t) >= time.Millisecond {
		order, never, why = nowhere, policy.Refused, fmt.Sprintf("no worker of class %s is left by %s", t.Class, t.Where)
	}
	job := &promisev1.PromiseRequest{Id: id, Job: &promisev1.Job{
		Class: t.Class, Tenant: t.Tenant, Payload: body, WorkUs: uint64(t.Work.Microseconds()), Target: target, WithinMs: 1, KeepMs: uint64(keepEnd.Milliseconds()), Order: order,
	}}
	for ; ctx.Err() == nil; wait(ctx, pause) {
		// What was known of the job's group before the turn is known to be under way: another dispatcher may have it end,
		// and forget its job, while this one is held up. Promised then, it would run a second time.
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
		if left := left(t); why == "" && left >= time.Millisecond {
			job.Job.WithinMs = uint64(left.Milliseconds())
		} else if job.Job.WithinMs, job.Job.Order = 1, nowhere; why == "" { // perhaps it was promised before, unheard: that counts
			why = "its time was over before it could be begun"
		}
		_, err = s.jobs.PromiseSeen(ctx, job, seen)
		code := status.Code(err)
		if err == nil || code == codes.AlreadyExists { // promised by whoever acted before, whose list was another
			break
		}
		if code == codes.InvalidArgument {
			end.Cause, end.Text = policy.Refused, status.Convert(err).Message()
			if t.Once { // by the settings here; those of another that took it up may be others
				end.Cause = policy.MayHaveRun
			}
			s.end(ctx, g, end)
			return
		}
	}
	end, over := s.await(ctx, id, end)
	if !over {
		return // whoever acts next takes it up
	}
	if !end.OK && end.Cause == policy.NeverRan {
		end.Cause, end.Text = never, cmp.Or(why, end.Text)
	}
	s.end(ctx, g, end)
	s.jobs.Forget(ctx, &promisev1.ForgetRequest{Id: id})
}

// await waits for a job's end; false: this dispatcher ends first.
func (s *Server) await(ctx context.Context, id string, end rerun.Command) (rerun.Command, bool) {
	for ctx.Err() == nil {
		a, err := s.jobs.Await(ctx, &promisev1.AwaitRequest{Id: id, WaitMs: uint32(mostAwait.Milliseconds())})
		if status.Code(err) == codes.NotFound { // its end was kept no longer, or its group is lost
			end.Cause, end.Text = policy.MayHaveRun, "nothing is kept of it"
			return end, true
		}
		if err != nil || a.End == nil {
			wait(ctx, pause)
			continue
		}
		place := s.place(a.End.Instance)
		end.Place, end.Text = &place, a.End.Reason
		switch a.End.Kind {
		case promisev1.Kind_KIND_DONE:
			var o Outcome
			if json.Unmarshal(a.End.Result, &o) != nil { // a text of its own
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

// end tells a group how a turn ended, until it has heard.
func (s *Server) end(ctx context.Context, g uint32, c rerun.Command) {
	for ctx.Err() == nil {
		if _, err := s.propose(ctx, g, c); err == nil {
			return
		}
		wait(ctx, pause)
	}
}

// place is where a worker stands.
func (s *Server) place(worker string) policy.Place {
	s.mu.Lock()
	defer s.mu.Unlock()
	return placeOf(worker, s.members.Instances()[worker])
}

func placeOf(worker string, m dispatch.Instance) policy.Place {
	p := policy.Place{Worker: worker, Kind: m.Kind, Zone: m.Zone}
	if m.ID != "" {
		p.Site = strconv.Itoa(m.Cell)
	}
	return p
}

// narrows tells whether a turn may not go to all workers of its class.
func narrows(t rerun.Execute) bool {
	return !t.First && t.Where != "" && t.Where != policy.Anywhere && t.FailedPlace.Worker != ""
}

// narrow is the workers that a rerun may go to; false: it is as the class says. It takes away from those that the
// class allows, ready ones of its kind: those of the place where it failed last always, and where it failed before or
// sites that often do as long as others are left.
func (s *Server) narrow(t rerun.Execute) (order []string, narrowed bool) {
	if !narrows(t) {
		return nil, false
	}
	kind := s.o.Site.Classes[t.Class].Kind
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for id, m := range s.members.Instances() {
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
	return order[:min(len(order), mostOrder)], true
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
		params[targetKey+k] = v
	}
	r, err := s.ask(ctx, q.Id, rerun.Command{Op: rerun.OpSubmit, ID: q.Id, Pipeline: q.Pipeline, Tenant: q.Tenant, Params: params})
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

// ask has a run's group agree on a command, again and again: each is such that twice does no harm.
func (s *Server) ask(ctx context.Context, id string, c rerun.Command) (rerun.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	for {
		r, err := s.propose(ctx, rerun.GroupOfRun(id, s.host.Groups()), c)
		if err == nil {
			return r, nil
		}
		if errors.Is(err, replica.ErrTooLarge) {
			return r, status.Error(codes.InvalidArgument, "it is too large")
		}
		wait(ctx, pause)
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
	until := time.Now().Add(min(time.Duration(q.WaitMs)*time.Millisecond, mostAwait))
	group := rerun.GroupOfRun(q.Id, s.host.Groups())
	for {
		s.mu.Lock()
		moved := s.moved
		s.mu.Unlock()
		open := false
		here := s.host.View(group, replica.RerunsMachine, func(m replica.Machine) {
			r := m.(*rerun.Machine).Run(q.Id)
			open = r != nil && r.Answer == nil
		})
		if !here || !open || !time.Now().Before(until) {
			r, err := s.ask(ctx, q.Id, rerun.Command{Op: rerun.OpRead, ID: q.Id})
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
			wait(ctx, min(farPause, time.Until(until)))
			continue
		}
		select {
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		case <-moved:
		case <-time.After(time.Until(until)):
		}
	}
}

// Explain tells of a run.
func (s *Server) Explain(ctx context.Context, q *pipelinev1.ExplainRequest) (*pipelinev1.ExplainResponse, error) {
	r, err := s.ask(ctx, q.Id, rerun.Command{Op: rerun.OpRead, ID: q.Id})
	if err != nil {
		return nil, err
	}
	if !r.OK {
		return nil, status.Error(codes.NotFound, r.Why)
	}
	text, err := json.Marshal(r.Explained)
	return &pipelinev1.ExplainResponse{Text: string(text)}, err
}

// CallOff takes a run back.
func (s *Server) CallOff(ctx context.Context, q *pipelinev1.CallOffRequest) (*pipelinev1.CallOffResponse, error) {
	r, err := s.ask(ctx, q.Id, rerun.Command{Op: rerun.OpCallOff, ID: q.Id})
	if err == nil && !r.OK {
		err = status.Error(codes.NotFound, r.Why)
	}
	return &pipelinev1.CallOffResponse{}, err
}

// Explained is a run as this dispatcher's own copy of its group has it; false: there is none here.
func (s *Server) Explained(id string) (e rerun.Explained, ok bool) {
	s.host.View(rerun.GroupOfRun(id, s.host.Groups()), replica.RerunsMachine, func(m replica.Machine) { e, ok = m.(*rerun.Machine).Explain(id) })
	return e, ok
}

// Figures is what operators go by.
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
