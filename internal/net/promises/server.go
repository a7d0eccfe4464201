// Package promises serves promised jobs, which are stored until they have ended: the gRPC service of every
// dispatcher, and the submission of jobs to the local dispatch loop by the dispatcher that owns a group. The
// decisions are in caperrelay/internal/promise.
package promises

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/promise"
	"caperrelay/internal/replica"
	"caperrelay/internal/wire"
	promisev1 "caperrelay/proto/winglb/promise/v1"
)

const (
	pollEvery       = 20 * time.Millisecond
	proposeTimeout  = 2 * time.Second       // after which the outcome of a proposal counts as unknown
	unsentScanEvery = 50 * time.Millisecond // between scans for attempts that never ran
	maxWaiting      = 1024                  // Await calls in progress
)

// Core is the dispatcher's loop, as this package uses it.
type Core interface {
	Submit(*dispatch.Command)
	ClientGone(*dispatch.Command)
	Abandon(*dispatch.Command)
	AllowSend(*dispatch.Attempt, func() bool)
	DenySend(*dispatch.Attempt)
	HandleCallback(dispatch.Callback)
}

// Options of a server.
type Options struct {
	// StartWithin and Retention are the defaults for jobs that set none.
	StartWithin, Retention time.Duration
	// Dir is the folder of the send log, which tells the next process which attempts were begun; empty: not stored.
	Dir string
}

// Server implements the promise service. It is safe for concurrent use.
type Server struct {
	promisev1.UnimplementedPromisesServer
	o          Options
	host       replicas.Host
	core       Core
	log        *slog.Logger
	classes    atomic.Pointer[map[string]decide.Class]
	awaitSlots chan struct{} // one slot for each Await call

	wakeup     chan struct{}
	mu         sync.Mutex
	tasks      []func()
	changed    chan struct{} // closed and replaced after each pass of the loop
	recordings map[reportKey]*recording
	index      map[uint32]uint64 // highest known log index of each group

	sends         *sendLog
	callbackSlots chan struct{} // one slot for each callback that is held open

	// Used by the loop alone.
	owners         []*promise.Owner
	submissions    map[submissionKey]*submission
	ctx            context.Context
	lastUnsentScan time.Duration // time of the last scan for attempts that never ran

	Promised, Intents, Recorded, Ends, Abandoned, DroppedRecordings atomic.Int64
	NeverSent, Unrecorded                                           atomic.Int64 // attempts reported as never sent; callbacks not answered because their commit took too long
	acting                                                          atomic.Int64 // groups that this dispatcher owns
	yielded                                                         atomic.Bool  // a newer process has taken over or is about to
}

// submissionKey identifies one submission.
type submissionKey struct {
	id     string
	number int
}

// submission is a job submitted to the dispatcher: it implements dispatch.Client and dispatch.Gate for its command.
type submission struct {
	server  *Server
	group   uint32
	id      string
	index   uint64 // of the receipt
	number  int
	startBy time.Duration // Unix time after which the job must not be started
	cmd     *dispatch.Command
	pending map[int]*dispatch.Attempt // attempts that wait for their intents to be committed; used by the loop alone
	sends   attempts
}

// New returns a server; the caller must run it.
func New(o Options, host replicas.Host, core Core, logger *slog.Logger) *Server {
	s := &Server{
		o: o, host: host, core: core, log: logger, awaitSlots: make(chan struct{}, maxWaiting), wakeup: make(chan struct{}, 1),
		changed: make(chan struct{}), index: map[uint32]uint64{}, submissions: map[submissionKey]*submission{},
		recordings: map[reportKey]*recording{}, sends: newSendLog(o.Dir, logger), callbackSlots: make(chan struct{}, maxUnanswered),
	}
	s.classes.Store(&map[string]decide.Class{})
	for range host.Groups() {
		s.owners = append(s.owners, promise.NewOwner(s.mayRepeat))
	}
	return s
}

// Retune replaces the settings.
func (s *Server) Retune(settings decide.Settings, n wire.Names) {
	classes := map[string]decide.Class{}
	for i, name := range n.Classes {
		if i < len(settings.Classes) && !settings.Classes[i].Removed {
			classes[name] = settings.Classes[i]
		}
	}
	s.classes.Store(&classes)
}

// mayRepeat reports whether jobs of a class may be repeated freely. Keyed classes may not: workers detect duplicates
// within one group and for a limited time only, which an owner that did not send the first attempt cannot ensure.
func (s *Server) mayRepeat(class string) bool {
	c, ok := (*s.classes.Load())[class]
	return ok && c.Effect == decide.Safe
}

func clock() promise.Clocks {
	return promise.Clocks{Mono: replicas.Now(), Unix: time.Duration(time.Now().UnixNano())}
}

// post queues a function for the loop. It never blocks: the queue is bounded by the number of submitted jobs.
func (s *Server) post(f func()) {
	s.mu.Lock()
	s.tasks = append(s.tasks, f)
	s.mu.Unlock()
	s.wake()
}

func (s *Server) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Run owns groups while this dispatcher holds their leases, until the context ends.
func (s *Server) Run(ctx context.Context) {
	s.ctx = ctx
	every := time.NewTicker(pollEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			for g, o := range s.owners {
				o.SetLease(clock(), 0, 0, false)
				s.runActions(uint32(g), o)
			}
			s.reportUnsent(true)
			s.sends.close()
			return
		case <-s.host.Changed():
		case <-s.wakeup:
		case <-every.C:
		}
		s.mu.Lock()
		do := s.tasks
		s.tasks = nil
		s.mu.Unlock()
		for _, f := range do {
			f()
		}
		s.sends.open()
		s.reportUnsent(false)
		acting := int64(0)
		for g, o := range s.owners {
			if uint32(g) == replica.RootGroup && len(s.owners) > 1 {
				continue // no key maps to it
			}
			c := clock()
			term, until, ok := s.host.Lease(uint32(g))
			o.SetLease(c, term, until, ok)
			if ok && s.host.View(uint32(g), replica.PromisesMachine, func(m replica.Machine) { o.Update(c, m.(*promise.Machine)) }) {
				acting++
			}
			s.runActions(uint32(g), o)
		}
		s.acting.Store(acting)
		s.mu.Lock()
		close(s.changed)
		s.changed = make(chan struct{})
		s.mu.Unlock()
	}
}

// runActions carries out an owner's actions.
func (s *Server) runActions(g uint32, o *promise.Owner) {
	for _, a := range o.Actions() {
		switch a := a.(type) {
		case promise.Propose:
			record := s.trackProposal(g, a.Command)
			ctx := s.ctx
			go func() {
				answer, err := s.propose(ctx, g, a.Command)
				if record != nil && err == nil && answer.OK {
					s.sends.confirmed(record)
				}
				s.post(func() { o.ProposalDone(clock(), a.Seq, answer, err != nil); s.runActions(g, o) })
			}()
		case promise.Record:
			s.record(g, a.Command)
		case promise.Submit:
			s.submit(g, a)
		case promise.AllowSend:
			if h := s.submissions[submissionKey{a.ID, a.Submission}]; h != nil && h.pending[a.Attempt] != nil {
				if sending := h.sends.get(a.Attempt); sending != nil {
					s.sends.committed(sending)
				}
				s.core.AllowSend(h.pending[a.Attempt], func() bool { return replicas.Now() < a.Until })
				delete(h.pending, a.Attempt)
			}
		case promise.DenySend:
			if h := s.submissions[submissionKey{a.ID, a.Submission}]; h != nil && h.pending[a.Attempt] != nil {
				s.core.DenySend(h.pending[a.Attempt])
				delete(h.pending, a.Attempt)
			}
		case promise.Abandon:
			if h := s.dropSubmission(a.ID, a.Submission); h != nil {
				s.Abandoned.Add(1)
				s.core.Abandon(h.cmd)
			}
		case promise.EndReported:
			if h := s.dropSubmission(a.ID, a.Submission); h != nil {
				s.core.HandleCallback(dispatch.Callback{ID: h.cmd.ID, From: a.End.By, State: dispatch.Done, Result: a.End.Result})
				s.core.ClientGone(h.cmd) // cancels the remaining attempts
			}
		}
	}
}

// dropSubmission removes a submission: none of its attempts that has not begun is sent any more.
func (s *Server) dropSubmission(id string, n int) *submission {
	h := s.submissions[submissionKey{id, n}]
	if delete(s.submissions, submissionKey{id, n}); h != nil {
		s.sends.abandon(h.cmd.ID, &h.sends, replicas.Now())
	}
	return h
}

// propose has a group agree on a command and returns the result.
func (s *Server) propose(ctx context.Context, g uint32, c promise.Command) (promise.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.host.Propose(ctx, g, replica.PromisesMachine, c.Bytes())
	if err != nil {
		return promise.Answer{}, err
	}
	return promise.ReadAnswer(result)
}

// Quiet reports whether no commit of a report is pending.
func (s *Server) Quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.recordings) == 0
}

// SetYielding states whether a newer process is taking over.
func (s *Server) SetYielding(yes bool) { s.yielded.Store(yes) }

// submit submits a job to the dispatcher.
func (s *Server) submit(g uint32, a promise.Submit) {
	class, ok := (*s.classes.Load())[a.Job.Class]
	h := &submission{server: s, group: g, id: a.ID, index: a.Index, number: a.Submission, startBy: time.Duration(time.Now().UnixNano()) + a.TimeLeft, pending: map[int]*dispatch.Attempt{}}
	left := a.TimeLeft
	if ok {
		left = min(left, class.Deadline)
	}
	h.cmd = &dispatch.Command{
		ID: promise.WireID(a.ID, a.Index, a.Submission), Class: a.Job.Class, Tenant: a.Job.Tenant, Key: keyNumber(a.Job.Key), Work: a.Job.Work, Slots: a.Job.Slots, Candidates: a.Job.Candidates,
		Retry: a.Retry, UntilDeadline: true, Deadline: time.Now().Add(left), Client: h, Gate: h,
		Payload: &http1.Request{
			Method: "POST", Target: cmp.Or(a.Job.Target, "/api"), Body: a.Job.Payload, Header: http1.Header{{Name: "Idempotency-Key", Value: a.ID}},
		},
	}
	s.submissions[submissionKey{a.ID, a.Submission}] = h
	s.core.Submit(h.cmd)
}

// keyNumber converts a key to the number that package decide uses, as for commands over HTTP.
func keyNumber(key string) uint64 {
	if key == "" {
		return 0
	}
	n, ok := wire.KeyNumber(key)
	if !ok {
		f := fnv.New64a()
		f.Write([]byte(key))
		n = f.Sum64()
	}
	return max(n, 1)
}

// withOwner calls f in the loop with the submission's owner and carries out the resulting actions.
func (h *submission) withOwner(f func(promise.Clocks, *promise.Owner)) {
	h.server.post(func() {
		o := h.server.owners[h.group]
		f(clock(), o)
		h.server.runActions(h.group, o)
	})
}

// Answer implements dispatch.Client.
func (h *submission) Answer(a dispatch.Answer) {
	v := promise.MayHaveFailed
	switch a.Verdict {
	case dispatch.Served:
		v = promise.Served
	case dispatch.Refused:
		v = promise.Rejected
	case dispatch.Unusable:
		v = promise.Impossible
	}
	h.withOwner(func(c promise.Clocks, o *promise.Owner) {
		h.server.dropSubmission(h.id, h.number)
		if v == promise.MayHaveFailed && h.server.sends.allUnsent(&h.sends) { // given up before the first byte was sent
			v = promise.Rejected
		}
		o.Answered(c, h.id, h.index, h.number, v, a.Instance, a.Result, a.RetryAfter, h.startBy-c.Unix)
	})
}

// HandOver implements dispatch.Client. The newer process submits the job itself.
func (h *submission) HandOver(bool) {
	h.withOwner(func(promise.Clocks, *promise.Owner) { h.server.dropSubmission(h.id, h.number) })
}

// RequestSend holds an attempt back until its intent is committed.
func (h *submission) RequestSend(a *dispatch.Attempt) {
	at, until := time.Now(), a.Deadline
	h.withOwner(func(c promise.Clocks, o *promise.Owner) {
		if h.server.submissions[submissionKey{h.id, h.number}] != h {
			h.server.core.DenySend(a)
			return
		}
		h.pending[a.Index] = a
		o.RequestSend(c, h.id, h.number, a.Index, a.Instance, c.Unix+until.Sub(at))
	})
}

// Begin records that an attempt's first byte is about to be sent, and reports whether it still may be.
func (h *submission) Begin(a *dispatch.Attempt) bool {
	sending := h.sends.get(a.Index)
	return sending == nil || h.server.sends.begin(sending)
}

// NeverRan records that an attempt has not run.
func (h *submission) NeverRan(a *dispatch.Attempt) {
	h.withOwner(func(c promise.Clocks, o *promise.Owner) {
		delete(h.pending, a.Index)
		if sending := h.sends.get(a.Index); sending != nil {
			h.server.sends.neverRan(sending, c.Mono)
		}
		o.NeverRan(h.id, h.number, a.Index)
	})
}

func (s *Server) group(id string) uint32 { return replica.GroupOf(id, s.host.Groups()) }

var (
	_ dispatch.Gate   = (*submission)(nil)
	_ dispatch.Client = (*submission)(nil)
	_ Core            = (*dispatch.Loop)(nil)
)

// Figures returns the counters, one a line.
func (s *Server) Figures() string {
	var jobs, open, bytes int
	for g := range s.host.Groups() {
		s.host.View(g, replica.PromisesMachine, func(m replica.Machine) {
			j, o, b := m.(*promise.Machine).Size()
			jobs, open, bytes = jobs+j, open+o, bytes+b
		})
	}
	s.mu.Lock()
	pending := len(s.recordings)
	s.mu.Unlock()
	return fmt.Sprintf("proxy.promise.kept=%d\nproxy.promise.open=%d\nproxy.promise.bytes=%d\nproxy.promise.groups_acted_for=%d\nproxy.promise.receipts=%d\nproxy.promise.intents=%d\nproxy.promise.booked=%d\nproxy.promise.left=%d\nproxy.promise.unbooked=%d\nproxy.promise.books_dropped=%d\nproxy.promise.never_sent=%d\nproxy.promise.calls_unkept=%d\n",
		jobs, open, bytes, s.acting.Load(), s.Promised.Load(), s.Intents.Load(), s.Recorded.Load(), s.Abandoned.Load(), pending, s.DroppedRecordings.Load(), s.NeverSent.Load(), s.Unrecorded.Load())
}
