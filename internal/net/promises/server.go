// Package promises serves jobs that are handed in for good: the gRPC service of every dispatcher, and what the
// dispatcher that acts for a group does with its own loop. The decisions are in caperrelay/internal/promise.
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
	lookEvery   = 20 * time.Millisecond
	proposeFor  = 2 * time.Second       // until nothing is known of a proposal
	tellEvery   = 50 * time.Millisecond // between looks for attempts that never ran
	mostWaiting = 1024                  // calls that wait for an end
)

// Core is the dispatcher's loop.
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
	// Within and Keep count for jobs that bring none.
	Within, Keep time.Duration
	// Dir is where it is kept which attempts were begun, so that the next process knows; empty: nowhere.
	Dir string
}

// Server is safe for use by several goroutines.
type Server struct {
	promisev1.UnimplementedPromisesServer
	o       Options
	host    replicas.Host
	core    Core
	log     *slog.Logger
	classes atomic.Pointer[map[string]decide.Class]
	waiting chan struct{} // a place for each call that waits

	poke  chan struct{}
	mu    sync.Mutex
	inbox []func()
	moved chan struct{} // closed at each look
	books map[bookKey]*booking
	index map[uint32]uint64 // of groups, as far as they are known to be

	sends    *sendLog
	answered chan struct{} // a place for each call-back whose answer waits for its booking

	// Of the loop alone.
	owners []*promise.Owner
	hands  map[inHand]*hand
	ctx    context.Context
	told   time.Duration // when it was last looked for attempts that never ran

	Promised, Intents, Booked, Ends, Left, DroppedBooks atomic.Int64
	Unsent, Unkept                                      atomic.Int64 // attempts told as never sent; calls that must come again
	acting                                              atomic.Int64
	yielded                                             atomic.Bool
}

// inHand names one hand-in.
type inHand struct {
	id   string
	hand int
}

// hand is a job in the dispatcher's hands: the client and the gate of its command.
type hand struct {
	server *Server
	group  uint32
	id     string
	index  uint64 // of the receipt
	n      int
	until  time.Duration // Unix: when the job may be begun no more
	cmd    *dispatch.Command
	asks   map[int]*dispatch.Attempt // that wait for their intents; of the loop alone
	sends  attempts
}

// New returns a server; it must be run.
func New(o Options, host replicas.Host, core Core, logger *slog.Logger) *Server {
	s := &Server{
		o: o, host: host, core: core, log: logger, waiting: make(chan struct{}, mostWaiting), poke: make(chan struct{}, 1),
		moved: make(chan struct{}), index: map[uint32]uint64{}, hands: map[inHand]*hand{},
		books: map[bookKey]*booking{}, sends: newSendLog(o.Dir, logger), answered: make(chan struct{}, mostUnanswered),
	}
	s.classes.Store(&map[string]decide.Class{})
	for range host.Groups() {
		s.owners = append(s.owners, promise.NewOwner(s.repeats))
	}
	return s
}

// Retune has jobs go by other settings from now on.
func (s *Server) Retune(settings decide.Settings, n wire.Names) {
	classes := map[string]decide.Class{}
	for i, name := range n.Classes {
		if i < len(settings.Classes) && !settings.Classes[i].Removed {
			classes[name] = settings.Classes[i]
		}
	}
	s.classes.Store(&classes)
}

// repeats: repeats of a keyed class are dropped by a group of workers and for a while only, which an owner that did not
// send the first attempt cannot keep to.
func (s *Server) repeats(class string) bool {
	c, ok := (*s.classes.Load())[class]
	return ok && c.Effect == decide.Safe
}

func clock() promise.Clocks {
	return promise.Clocks{Mono: replicas.Now(), Unix: time.Duration(time.Now().UnixNano())}
}

// post has the loop do something. It never blocks: what waits here is bounded by the jobs in hand.
func (s *Server) post(f func()) {
	s.mu.Lock()
	s.inbox = append(s.inbox, f)
	s.mu.Unlock()
	s.wake()
}

func (s *Server) wake() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// Run acts for groups while this dispatcher has their leases, until the context ends.
func (s *Server) Run(ctx context.Context) {
	s.ctx = ctx
	every := time.NewTicker(lookEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			for g, o := range s.owners {
				o.SetLease(clock(), 0, 0, false)
				s.carry(uint32(g), o)
			}
			s.tellUnsent(true)
			s.sends.close()
			return
		case <-s.host.Changed():
		case <-s.poke:
		case <-every.C:
		}
		s.mu.Lock()
		do := s.inbox
		s.inbox = nil
		s.mu.Unlock()
		for _, f := range do {
			f()
		}
		s.sends.open()
		s.tellUnsent(false)
		acting := int64(0)
		for g, o := range s.owners {
			if uint32(g) == replica.RootGroup && len(s.owners) > 1 {
				continue // no key falls to it
			}
			c := clock()
			term, until, ok := s.host.Lease(uint32(g))
			o.SetLease(c, term, until, ok)
			if ok && s.host.View(uint32(g), replica.PromisesMachine, func(m replica.Machine) { o.Update(c, m.(*promise.Machine)) }) {
				acting++
			}
			s.carry(uint32(g), o)
		}
		s.acting.Store(acting)
		s.mu.Lock()
		close(s.moved)
		s.moved = make(chan struct{})
		s.mu.Unlock()
	}
}

// carry does what an owner wants.
func (s *Server) carry(g uint32, o *promise.Owner) {
	for _, a := range o.Actions() {
		switch a := a.(type) {
		case promise.Propose:
			over := s.proposing(g, a.Command)
			ctx := s.ctx
			go func() {
				answer, err := s.propose(ctx, g, a.Command)
				if over != nil && err == nil && answer.OK {
					s.sends.over(over)
				}
				s.post(func() { o.ProposalDone(clock(), a.Seq, answer, err != nil); s.carry(g, o) })
			}()
		case promise.Record:
			s.book(g, a.Command)
		case promise.Submit:
			s.begin(g, a)
		case promise.AllowSend:
			if h := s.hands[inHand{a.ID, a.Submission}]; h != nil && h.asks[a.Attempt] != nil {
				if sending := h.sends.get(a.Attempt); sending != nil {
					s.sends.committed(sending)
				}
				s.core.AllowSend(h.asks[a.Attempt], func() bool { return replicas.Now() < a.Until })
				delete(h.asks, a.Attempt)
			}
		case promise.DenySend:
			if h := s.hands[inHand{a.ID, a.Submission}]; h != nil && h.asks[a.Attempt] != nil {
				s.core.DenySend(h.asks[a.Attempt])
				delete(h.asks, a.Attempt)
			}
		case promise.Abandon:
			if h := s.drop(a.ID, a.Submission); h != nil {
				s.Left.Add(1)
				s.core.Abandon(h.cmd)
			}
		case promise.EndReported:
			if h := s.drop(a.ID, a.Submission); h != nil {
				s.core.HandleCallback(dispatch.Callback{ID: h.cmd.ID, From: a.End.By, State: dispatch.Done, Result: a.End.Result})
				s.core.ClientGone(h.cmd) // other copies have no use any more
			}
		}
	}
}

// drop takes a hand-in out of the loop's hands: nothing of it that was not begun is sent any more.
func (s *Server) drop(id string, n int) *hand {
	h := s.hands[inHand{id, n}]
	if delete(s.hands, inHand{id, n}); h != nil {
		s.sends.leave(h.cmd.ID, &h.sends, replicas.Now())
	}
	return h
}

// propose has a group agree on a command, and tells what it came to.
func (s *Server) propose(ctx context.Context, g uint32, c promise.Command) (promise.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeFor)
	defer cancel()
	result, err := s.host.Propose(ctx, g, replica.PromisesMachine, c.Bytes())
	if err != nil {
		return promise.Answer{}, err
	}
	return promise.ReadAnswer(result)
}

// Quiet tells whether nothing waits to be booked.
func (s *Server) Quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.books) == 0
}

// Yield says that a newer process takes over, or that it has gone.
func (s *Server) Yield(yes bool) { s.yielded.Store(yes) }

// begin hands a job in.
func (s *Server) begin(g uint32, a promise.Submit) {
	class, ok := (*s.classes.Load())[a.Job.Class]
	h := &hand{server: s, group: g, id: a.ID, index: a.Index, n: a.Submission, until: time.Duration(time.Now().UnixNano()) + a.TimeLeft, asks: map[int]*dispatch.Attempt{}}
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
	s.hands[inHand{a.ID, a.Submission}] = h
	s.core.Submit(h.cmd)
}

// keyNumber is a key as the module knows it, the same as of commands by HTTP.
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

// on has the loop go on with a hand's owner.
func (h *hand) on(f func(promise.Clocks, *promise.Owner)) {
	h.server.post(func() {
		o := h.server.owners[h.group]
		f(clock(), o)
		h.server.carry(h.group, o)
	})
}

// Answer takes the dispatcher's answer.
func (h *hand) Answer(a dispatch.Answer) {
	v := promise.MayHaveFailed
	switch a.Verdict {
	case dispatch.Served:
		v = promise.Served
	case dispatch.Refused:
		v = promise.Rejected
	case dispatch.Unusable:
		v = promise.Impossible
	}
	h.on(func(c promise.Clocks, o *promise.Owner) {
		h.server.drop(h.id, h.n)
		if v == promise.MayHaveFailed && h.server.sends.allUnsent(&h.sends) { // given up before its first byte
			v = promise.Rejected
		}
		o.Answered(c, h.id, h.index, h.n, v, a.Instance, a.Result, a.RetryAfter, h.until-c.Unix)
	})
}

// HandOver says that a newer process takes over: it has its own.
func (h *hand) HandOver(bool) {
	h.on(func(promise.Clocks, *promise.Owner) { h.server.drop(h.id, h.n) })
}

// RequestSend has an attempt wait until its intent is committed.
func (h *hand) RequestSend(a *dispatch.Attempt) {
	at, until := time.Now(), a.Deadline
	h.on(func(c promise.Clocks, o *promise.Owner) {
		if h.server.hands[inHand{h.id, h.n}] != h {
			h.server.core.DenySend(a)
			return
		}
		h.asks[a.Index] = a
		o.RequestSend(c, h.id, h.n, a.Index, a.Instance, c.Unix+until.Sub(at))
	})
}

// Begin notes that an attempt's first byte is next, if it still may be sent.
func (h *hand) Begin(a *dispatch.Attempt) bool {
	sending := h.sends.get(a.Index)
	return sending == nil || h.server.sends.begin(sending)
}

// NeverRan says that an attempt has not run.
func (h *hand) NeverRan(a *dispatch.Attempt) {
	h.on(func(c promise.Clocks, o *promise.Owner) {
		delete(h.asks, a.Index)
		if sending := h.sends.get(a.Index); sending != nil {
			h.server.sends.neverRan(sending, c.Mono)
		}
		o.NeverRan(h.id, h.n, a.Index)
	})
}

func (s *Server) group(id string) uint32 { return replica.GroupOf(id, s.host.Groups()) }

var (
	_ dispatch.Gate   = (*hand)(nil)
	_ dispatch.Client = (*hand)(nil)
	_ Core            = (*dispatch.Loop)(nil)
)

// Figures is what operators go by.
func (s *Server) Figures() string {
	var jobs, open, bytes int
	for g := range s.host.Groups() {
		s.host.View(g, replica.PromisesMachine, func(m replica.Machine) {
			j, o, b := m.(*promise.Machine).Size()
			jobs, open, bytes = jobs+j, open+o, bytes+b
		})
	}
	s.mu.Lock()
	books := len(s.books)
	s.mu.Unlock()
	return fmt.Sprintf("proxy.promise.kept=%d\nproxy.promise.open=%d\nproxy.promise.bytes=%d\nproxy.promise.groups_acted_for=%d\nproxy.promise.receipts=%d\nproxy.promise.intents=%d\nproxy.promise.booked=%d\nproxy.promise.left=%d\nproxy.promise.unbooked=%d\nproxy.promise.books_dropped=%d\nproxy.promise.never_sent=%d\nproxy.promise.calls_unkept=%d\n",
		jobs, open, bytes, s.acting.Load(), s.Promised.Load(), s.Intents.Load(), s.Booked.Load(), s.Left.Load(), books, s.DroppedBooks.Load(), s.Unsent.Load(), s.Unkept.Load())
}
