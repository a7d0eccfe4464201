// Package gangs takes gangs from callers and has their members start: the sockets, clocks and goroutines around
// caperrelay/internal/gang, on the groups that a replicas.Host keeps.
package gangs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	gangv1 "caperrelay/proto/winglb/gang/v1"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/gang"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/replica"
)

const (
	busy      = 8 * time.Millisecond // between steps while a gang is under way
	idle      = 100 * time.Millisecond
	pingEvery = 400 * time.Millisecond
	sayWithin = 300 * time.Millisecond // a dispatcher to another
	askWithin = 2 * time.Second        // a group
	mostAsked = 256                    // commands and words under way
	looking   = 100 * time.Millisecond // between two looks at a gang that is awaited, where its home has no copy here
	awaitMost = 30 * time.Second
	heldAhead = time.Minute // that dispatchers tell each other of what is held: no job of another kind runs for longer
	mostHeld  = 1024        // that one tells
	mostText  = 512 << 10
)

// Partner lends slots at its sites.
type Partner struct {
	Name  string
	Sites []string
	Slots int     // at once; 0: no bound
	Share float64 // of its encoders' slots; 0: no bound
	Hours float64 // slot-hours in a day of UTC; 0: no bound
}

// Options of a server.
type Options struct {
	Name, Site string
	Peers      map[string]string // the other dispatchers' control addresses, by name
	Slots      map[string]float64
	Partners   []Partner
	Keys       func(peer string) credentials.TransportCredentials // nil: plain text
	Cold       time.Duration                                      // of an encoder, until it is warm
	Once       map[string]bool                                    // classes: whether a job must not run twice
	TellsStart bool                                               // encoders tell when a job begins to run
	Ahead      time.Duration                                      // put to the clock, for trials of clocks that are apart
}

// Core is the dispatcher's loop.
type Core interface {
	Submit(*dispatch.Command)
	ClientGone(*dispatch.Command)
	// CancelJob has an encoder drop what another dispatcher sent.
	CancelJob(instance, id string)
	// SetReservations says what is held of an encoder.
	SetReservations(id string, slots float64, spans []decide.Reservation)
}

// Server is a dispatcher's part in gangs.
type Server struct {
	gangv1.UnimplementedGangsServer
	gangv1.UnimplementedPeersServer
	o     Options
	host  replicas.Host
	core  Core
	log   *slog.Logger
	clock string // its name: of this process alone
	began time.Duration
	in    chan func()
	room  chan struct{} // for what is under way
	peers map[string]gangv1.PeersClient
	conns []*grpc.ClientConn

	// Members start in time whatever the groups' disks do: they have a loop of their own.
	starts  sync.Mutex // of s and sent; nothing is waited for under it
	s       *gang.Starter
	sent    map[string]*dispatch.Command
	stirred chan struct{} // that loop has something to look at

	// The coordinating loop's own.
	c       *gang.Coordinator
	homes   map[string]uint32 // of gangs that are coordinated here
	pinged  time.Duration
	leads   []uint32
	held    map[string][]gang.Taken // by dispatcher: what its groups hold
	spans   map[string]string       // by encoder: what the loop was told
	set     map[string]uint64       // accounts that were set from here: generations
	active  bool
	ends    context.CancelFunc
	stopped chan struct{}
	mu      sync.Mutex // of ends and stopped

	tables sync.Mutex // of what follows
	table  dispatch.InstanceList
	out    map[string]bool // left out by hand

	errors  atomic.Int64
	figures atomic.Pointer[string]
	once    atomic.Pointer[map[string]bool]
}

// New returns a server that does nothing before Open.
func New(o Options, host replicas.Host, core Core, logger *slog.Logger) (*Server, error) {
	clock := fmt.Sprintf("%s/%08x", o.Name, rand.Uint32())
	s := &Server{
		o: o, host: host, core: core, log: logger, clock: clock, began: time.Duration(time.Now().UnixNano()) + o.Ahead - replicas.Now(), in: make(chan func(), 1024), room: make(chan struct{}, mostAsked),
		peers: map[string]gangv1.PeersClient{}, c: gang.NewCoordinator(clock), s: gang.NewStarter(), out: map[string]bool{},
		sent: map[string]*dispatch.Command{}, stirred: make(chan struct{}, 1), homes: map[string]uint32{}, set: map[string]uint64{},
		held: map[string][]gang.Taken{}, spans: map[string]string{},
	}
	s.once.Store(&o.Once)
	for name, at := range o.Peers {
		creds := insecure.NewCredentials()
		if o.Keys != nil {
			creds = o.Keys(name)
		}
		conn, err := grpc.NewClient("passthrough:///"+at, grpc.WithTransportCredentials(creds), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostText)))
		if err != nil {
			return nil, fmt.Errorf("gangs: peer %s: %w", name, err)
		}
		s.conns, s.peers[name] = append(s.conns, conn), gangv1.NewPeersClient(conn)
	}
	return s, nil
}

// Register has a listener serve gangs.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	gangv1.RegisterGangsServer(r, s)
	gangv1.RegisterPeersServer(r, s)
}

// Open begins.
func (s *Server) Open(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends != nil {
		return
	}
	ctx, s.ends = context.WithCancel(ctx)
	s.stopped = make(chan struct{})
	go func(stopped chan struct{}) {
		defer close(stopped)
		var both sync.WaitGroup
		both.Go(func() { s.run(ctx) })
		both.Go(func() { s.runStarts(ctx) })
		both.Wait()
	}(s.stopped)
}

// Close ends: another process goes on.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends != nil {
		s.ends()
		<-s.stopped
		s.ends = nil
	}
}

// now is Unix time by a clock that goes on steadily, also while the machine is suspended. A step of the wall clock counts
// from the next process on.
func (s *Server) now() time.Duration { return s.began + replicas.Now() }

// post has the loop do something. A loop that is far behind is waited for: it asks for a result once, and takes what has none
// for under way. It must not be called from there.
func (s *Server) post(ctx context.Context, do func()) {
	select {
	case s.in <- do:
		return
	default:
		s.errors.Add(1)
	}
	select {
	case s.in <- do:
	case <-ctx.Done():
	}
}

func (s *Server) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := idle
		if s.active {
			wait = busy
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case do := <-s.in:
			do()
		case <-timer.C:
			s.step(ctx)
		}
		for more := true; more; {
			select {
			case do := <-s.in:
				do()
			default:
				more = false
			}
		}
		s.act(ctx)
	}
}

// runStarts sends and calls off members when it is time.
func (s *Server) runStarts(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s.starts.Lock()
		wait := idle
		if at, some := s.s.Next(); some {
			wait = max(0, min(wait, at-s.now()))
		}
		s.starts.Unlock()
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-s.stirred:
		case <-timer.C:
		}
		s.starts.Lock()
		s.s.Tick(s.now())
		acts := s.s.Did()
		s.starts.Unlock()
		s.start(acts)
	}
}

// tellStarts has the starter take what is told once, however far its loop is behind.
func (s *Server) tellStarts(do func()) {
	s.starts.Lock()
	do()
	s.starts.Unlock()
	select {
	case s.stirred <- struct{}{}:
	default: // it will look anyway
	}
}

// word has the own starter take a word.
func (s *Server) word(w gang.Word) gang.Said {
	s.starts.Lock()
	said := s.s.Word(s.now(), w)
	s.starts.Unlock()
	s.tellStarts(func() {})
	said.Now, said.Clock, said.Site = s.now(), s.clock, s.o.Site
	return said
}

// group is the one that keeps a key's account, or a gang's home.
func (s *Server) group(key string) uint32 { return replica.GroupOf(key, s.host.Groups()) }

func (s *Server) home(id string) uint32 { return s.group("gang/" + id) }

// encoders is the list in the planner's terms.
func (s *Server) encoders() (all []gang.Encoder) {
	s.tables.Lock()
	defer s.tables.Unlock()
	for _, m := range s.table.Instances() {
		e := gang.Encoder{ID: m.ID, Site: m.Zone, Kind: m.Kind, Out: m.State != decide.Ready || s.out[m.ID], Slots: int(s.o.Slots[m.Kind]), Gen: 1}
		if !m.Started.IsZero() {
			e.Gen = uint64(m.Started.UnixMicro())
			e.Warm = time.Duration(m.Started.Add(s.o.Cold).UnixNano())
		}
		e.Group = s.group(e.Account())
		for _, p := range s.o.Partners {
			for _, site := range p.Sites {
				if site == m.Zone {
					e.Partner = p.Name
				}
			}
		}
		all = append(all, e)
	}
	return all
}

func (s *Server) step(ctx context.Context) {
	now := s.now()
	all := s.encoders()
	if now-s.pinged > pingEvery {
		s.pinged = now
		s.tell(ctx, s.o.Name, gang.Word{}, 0)
		for name := range s.peers {
			s.tell(ctx, name, gang.Word{}, 0)
		}
	}
	s.hold(now, all)
	s.active, s.leads = false, nil
	states := map[string]int{}
	homes := map[string]uint32{}
	for g := range s.host.Groups() {
		_, until, ok := s.host.Lead(g)
		if !ok || replicas.Now() >= until {
			continue
		}
		var open *gang.Machine
		s.host.View(g, replica.Gangs, func(m replica.Machine) {
			k, ours := m.(*gang.Machine)
			if !ours {
				return
			}
			s.accounts(ctx, g, k, all)
			open = k.Open()
			for _, e := range k.Entries() {
				states[string(e.State)]++
				if e.State == gang.Ended {
					states[e.Verdict]++
				}
			}
		})
		if open == nil {
			continue
		}
		s.leads = append(s.leads, g)
		s.c.Step(now, g, open, all)
		for id := range open.Entries() {
			homes[id], s.active = g, true
		}
	}
	s.homes = homes
	s.tellFigures(states)
}

// taken is what is held at the groups that are led from here.
func (s *Server) taken(now time.Duration) (all []gang.Taken) {
	for _, g := range s.leads {
		s.host.View(g, replica.Gangs, func(m replica.Machine) {
			if k, ours := m.(*gang.Machine); ours {
				all = append(all, k.Taken(now+heldAhead, mostHeld-len(all))...)
			}
		})
	}
	return all
}

// accounts opens those of the groups that are led from here.
func (s *Server) accounts(ctx context.Context, g uint32, k *gang.Machine, all []gang.Encoder) {
	set := func(r gang.Resource) {
		if have, known := k.Resources[r.ID]; known && have.Gen >= r.Gen || s.set[r.ID] >= r.Gen {
			return
		}
		s.set[r.ID] = r.Gen
		s.propose(ctx, g, gang.Command{Op: "set", Resource: &r}, func(_ gang.Result, ok bool) {
			if !ok {
				delete(s.set, r.ID)
			}
		})
	}
	theirs := map[string]int{}
	for _, e := range all {
		theirs[e.Partner] += e.Slots
		if e.Group == g {
			set(gang.Resource{ID: e.Account(), Slots: e.Slots, Gen: e.Gen})
		}
	}
	for _, p := range s.o.Partners {
		id := gang.Lender(p.Name)
		if s.group(id) != g || theirs[p.Name] == 0 {
			continue
		}
		now, known := k.Resources[id]
		if !known {
			now = gang.Resource{ID: id, Most: p.Slots, Share: p.Share, Hours: p.Hours}
		}
		if next := now.Lent(theirs[p.Name]); !known || next.Slots != now.Slots {
			next.Gen++
			set(next)
		}
	}
}

// propose has a group take a command; done is called from the loop.
func (s *Server) propose(ctx context.Context, g uint32, c gang.Command, done func(gang.Result, bool)) {
	select {
	case s.room <- struct{}{}:
	default:
		done(gang.Result{}, false)
		return
	}
	go func() {
		r, err := s.ask(ctx, g, c)
		<-s.room
		s.post(context.Background(), func() { done(r, err == nil) }) // at most as many wait as there is room for, and one look
	}()
}

// ask has a group take a command.
func (s *Server) ask(ctx context.Context, g uint32, c gang.Command) (gang.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	text, err := s.host.Propose(ctx, g, replica.Gangs, c.Encode())
	if err != nil {
		return gang.Result{}, err
	}
	return gang.Decode(text)
}

// act does what the coordinator wants.
func (s *Server) act(ctx context.Context) {
	for _, a := range s.c.Did() {
		switch a := a.(type) {
		case gang.Propose:
			s.propose(ctx, a.Group, a.Command, func(r gang.Result, ok bool) { s.c.Answered(s.now(), a.Key, r, ok) })
		case gang.Look:
			s.look(ctx)
		case gang.Tell:
			s.tell(ctx, a.To, a.Word, s.homes[a.Gang])
		}
	}
}

// look gathers what all groups hold.
func (s *Server) look(ctx context.Context) {
	v := gang.View{Self: s.o.Name, Lenders: map[string]gang.LenderAt{}, Accounts: map[string]gang.Resource{}}
	for _, p := range s.o.Partners {
		v.Lenders[p.Name] = gang.LenderAt{Group: s.group(gang.Lender(p.Name))}
	}
	v.Starters = s.c.Lives(s.now())
	go func() {
		for g := range s.host.Groups() {
			var r gang.Result
			took := s.host.View(g, replica.Gangs, func(m replica.Machine) {
				if k, ours := m.(*gang.Machine); ours {
					r = k.Look()
				}
			})
			if !took {
				var err error
				if r, err = s.ask(ctx, g, gang.Command{Op: "look"}); err != nil {
					continue // its encoders are not known, and nothing is planned there
				}
			}
			for _, x := range r.Resources {
				v.Accounts[x.ID] = x
			}
			v.Standing = append(v.Standing, r.Standing...)
		}
		s.post(context.Background(), func() { s.c.Viewed(s.now(), v) })
	}()
}

// tell tells a dispatcher a word, perhaps this one.
func (s *Server) tell(ctx context.Context, to string, w gang.Word, home uint32) {
	sent := s.now()
	if to == s.o.Name {
		said := s.word(w)
		s.held[to] = s.taken(sent)
		s.c.Said(s.now(), sent, to, w, said, home)
		return
	}
	peer := s.peers[to]
	if peer == nil {
		return
	}
	select {
	case s.room <- struct{}{}:
	default:
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, sayWithin)
		defer cancel()
		text, _ := json.Marshal(w) // plain data: it cannot fail
		sent := s.now()
		r, err := peer.Tell(ctx, &gangv1.TellRequest{Word: text})
		came := s.now()
		<-s.room
		var said gang.Said
		if err != nil || json.Unmarshal(r.GetSaid(), &said) != nil {
			return
		}
		s.post(ctx, func() { // it is told again
			if w.Kind == "" {
				s.held[to] = said.Held
			}
			s.c.Said(came, sent, to, w, said, home)
		})
	}()
}

// Tell takes another dispatcher's word.
func (s *Server) Tell(ctx context.Context, q *gangv1.TellRequest) (*gangv1.TellResponse, error) {
	var w gang.Word
	if len(q.GetWord()) > mostText || json.Unmarshal(q.GetWord(), &w) != nil {
		return nil, status.Error(codes.InvalidArgument, "not a word")
	}
	said := s.word(w)
	if w.Kind == "" { // asked for the clock alone
		answer := make(chan []gang.Taken, 1)
		s.post(ctx, func() { answer <- s.taken(s.now()) })
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case said.Held = <-answer:
		}
		said.Now = s.now()
	}
	text, _ := json.Marshal(said)
	return &gangv1.TellResponse{Said: text}, nil
}

// start sends and calls off members.
func (s *Server) start(acts []gang.Act) {
	for _, a := range acts {
		switch a.Do {
		case gang.Launch:
			m := a.Member
			cmd := &dispatch.Command{
				ID: a.Key, Class: m.Class, Key: m.Key, Work: m.Work, Slots: float64(m.Slots), Candidates: []string{a.Encoder}, Reserved: true,
				Deadline: time.Now().Add(2*m.Work + 5*time.Second),
				Payload: &http1.Request{Method: "POST", Target: m.Target, Body: m.Payload, Header: http1.Header{
					{Name: "X-Correlation-Id", Value: a.Key}, {Name: "X-Service-Class", Value: m.Class},
				}},
			}
			cmd.Client = &client{s, a.Key}
			s.starts.Lock()
			s.sent[a.Key] = cmd
			s.starts.Unlock()
			s.core.Submit(cmd)
		case gang.GiveUp:
			s.starts.Lock()
			cmd := s.sent[a.Key]
			delete(s.sent, a.Key)
			s.starts.Unlock()
			if cmd != nil {
				s.core.ClientGone(cmd)
			}
		case gang.TakeBack:
			s.core.CancelJob(a.Encoder, a.Key)
		}
	}
}

// client is a member as the loop knows it.
type client struct {
	*Server
	key string
}

// Started says that its encoder has it, and runs it where encoders tell.
func (c *client) Started(_ string, runs bool) {
	if runs || !c.o.TellsStart {
		c.tellStarts(func() { c.s.Began(c.now(), c.key) })
	}
}

// Answer takes its end.
func (c *client) Answer(a dispatch.Answer) {
	fate, why := gang.MayRun, "failed"
	switch a.Verdict {
	case dispatch.Served:
		fate, why = gang.Done, ""
	case dispatch.Refused:
		fate, why = gang.NeverRan, "refused"
	case dispatch.Unusable:
		fate, why = gang.NeverRan, "no encoder can do it as it stands"
	}
	c.tellStarts(func() {
		delete(c.sent, c.key)
		c.s.Over(c.now(), c.key, fate, why)
	})
}

// HandOver says that another process has it: what becomes of it is not known here.
func (c *client) HandOver(bool) {
	c.tellStarts(func() {
		delete(c.sent, c.key)
		c.s.Over(c.now(), c.key, gang.MayRun, "it changed hands")
	})
}

// Stray takes a call of an encoder that matches nothing in the loop's hand: a process before this one may have sent the member.
func (s *Server) Stray(n dispatch.Callback) bool {
	s.starts.Lock()
	_, ours := s.s.Of(n.ID)
	s.starts.Unlock()
	fate, why := gang.MayRun, "failed"
	switch n.State {
	case dispatch.Done:
		fate, why = gang.Done, ""
	case dispatch.Errored, dispatch.Lost, dispatch.Returned:
	default:
		return ours
	}
	if ours {
		s.tellStarts(func() { s.s.Over(s.now(), n.ID, fate, why) })
	}
	return ours
}

// Submit takes a gang.
func (s *Server) Submit(ctx context.Context, q *gangv1.SubmitRequest) (*gangv1.Gang, error) {
	us := func(n uint64) time.Duration { return time.Duration(min(n, 1<<53)) * time.Microsecond }
	spec := gang.Spec{
		ID: q.GetId(), NotBefore: us(q.GetNotBeforeUs()), LatestStart: us(q.GetLatestStartUs()), Skew: us(q.GetSkewUs()), After: gang.After(q.GetAfter()),
	}
	if strings.ContainsAny(spec.ID, "/?#% \r\n") { // it becomes part of jobs' ids
		return nil, status.Error(codes.InvalidArgument, "id: letters, digits and -_. only")
	}
	for i, m := range q.GetMembers() {
		once, known := (*s.once.Load())[m.GetClass()]
		if !known {
			return nil, status.Errorf(codes.InvalidArgument, "member %d: class %q is not known", i, m.GetClass())
		}
		spec.Members = append(spec.Members, gang.Member{
			Site: m.GetSite(), Kind: m.GetKind(), Slots: int(max(1, m.GetSlots())), Work: us(m.GetWorkUs()), Key: m.GetKey(), Class: m.GetClass(),
			Once: once, Target: m.GetTarget(), Payload: m.GetPayload(),
		})
	}
	if _, err := spec.Check(s.now()); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return s.answer(ctx, spec.ID, gang.Command{Op: "submit", Spec: &spec})
}

// Cancel calls one off.
func (s *Server) Cancel(ctx context.Context, q *gangv1.CancelRequest) (*gangv1.Gang, error) {
	return s.answer(ctx, q.GetId(), gang.Command{Op: "cancel", Gang: q.GetId()})
}

func (s *Server) answer(ctx context.Context, id string, c gang.Command) (*gangv1.Gang, error) {
	r, err := s.ask(ctx, s.home(id), c)
	switch {
	case errors.Is(err, context.Canceled):
		return nil, status.Error(codes.Canceled, err.Error())
	case err != nil: // a submission may be repeated: the same id is the same gang
		return nil, status.Error(codes.Unavailable, err.Error())
	case r.Gone:
		return nil, status.Error(codes.NotFound, r.Err)
	case r.Full:
		return nil, status.Error(codes.ResourceExhausted, r.Err)
	case r.Entry == nil:
		return nil, status.Error(codes.InvalidArgument, r.Err)
	}
	return told(r.Entry), nil
}

// told is a gang as callers are told of it.
func told(e *gang.Entry) *gangv1.Gang {
	g := &gangv1.Gang{Id: e.Spec.ID, State: string(e.State), Verdict: e.Verdict, Why: e.Why, Plans: uint32(e.Plans), Moves: uint32(e.Moves)}
	if e.Plan != nil {
		g.StartUs, g.Encoders = uint64(e.Plan.Start/time.Microsecond), e.Plan.Encoders
	}
	for _, i := range e.MayRun {
		g.MayHaveRun = append(g.MayHaveRun, uint32(i))
	}
	for _, i := range e.Dead {
		g.Dead = append(g.Dead, uint32(i))
	}
	if e.Decided > 0 {
		g.WaitedUs = uint64((e.Decided - e.Age) / time.Microsecond)
	}
	return g
}

// Await waits for another state.
func (s *Server) Await(ctx context.Context, q *gangv1.AwaitRequest) (*gangv1.Gang, error) {
	every := time.NewTicker(looking)
	defer every.Stop()
	for until := time.Now().Add(awaitMost); ; {
		g, err := s.answer(ctx, q.GetId(), gang.Command{Op: "ask", Gang: q.GetId()})
		if err != nil && status.Code(err) != codes.Unavailable {
			return nil, err
		}
		seen := q.GetSeen()
		if g != nil && (g.State == string(gang.Ended) || seen != "" && g.State != seen) || time.Now().After(until) {
			return g, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-every.C:
		}
	}
}

// Lend changes what a partner lends.
func (s *Server) Lend(ctx context.Context, q *gangv1.LendRequest) (*gangv1.LendResponse, error) {
	id := gang.Lender(q.GetPartner())
	g := s.group(id)
	for range 3 {
		r, err := s.ask(ctx, g, gang.Command{Op: "look"})
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		slots := 0
		for _, e := range s.encoders() {
			if e.Partner == q.GetPartner() {
				slots += e.Slots
			}
		}
		next := gang.Resource{ID: id, Most: int(q.GetSlots()), Share: q.GetShare(), Hours: q.GetHours()}.Lent(slots)
		for _, x := range r.Resources {
			if x.ID == id {
				next.Gen = x.Gen + 1
			}
		}
		if next.Gen == 0 {
			return nil, status.Errorf(codes.NotFound, "%q lends nothing", q.GetPartner())
		}
		if r, err = s.ask(ctx, g, gang.Command{Op: "set", Resource: &next}); err == nil && r.OK {
			return &gangv1.LendResponse{}, nil
		}
	}
	return nil, status.Error(codes.Aborted, "others change it as well")
}

// Retune takes which classes there are, and whether a job of each must not run twice.
func (s *Server) Retune(once map[string]bool) { s.once.Store(&once) }

// Listed takes the name table's news.
func (s *Server) Listed(l dispatch.InstanceUpdate) {
	s.tables.Lock()
	defer s.tables.Unlock()
	s.table.Update(l)
}

// Cordoned takes all that are left out by hand.
func (s *Server) Cordoned(ids []string) {
	s.tables.Lock()
	defer s.tables.Unlock()
	clear(s.out)
	for _, id := range ids {
		s.out[id] = true
	}
}

func (s *Server) tellFigures(states map[string]int) {
	var b strings.Builder
	for _, name := range []gang.State{gang.Waiting, gang.Preparing, gang.Held, gang.Going, gang.Off, gang.Running, gang.Ended} {
		fmt.Fprintf(&b, "proxy.gangs.%s=%d\n", name, states[string(name)])
	}
	for _, name := range []string{gang.Completed, gang.NotStarted, gang.DeadAfter, gang.Cancelled} {
		fmt.Fprintf(&b, "proxy.gangs.%s=%d\n", name, states[name])
	}
	s.starts.Lock()
	t := s.s.Stats
	s.starts.Unlock()
	fmt.Fprintf(&b, "proxy.gangs.members_sent=%d\nproxy.gangs.members_late=%d\nproxy.gangs.members_called_off=%d\nproxy.gangs.members_left_alone=%d\n", t.Launched, t.Late, t.GivenUp, t.Alone)
	fmt.Fprintf(&b, "proxy.gangs.wounds=%d\nproxy.gangs.clock_error_us=%d\nproxy.gangs.clock_jumps=%d\nproxy.gangs.clock_off_ms=%d\nproxy.gangs.overruns=%d\n",
		s.c.Stats.Wounds, s.c.Stats.WorstError.Microseconds(), s.c.Stats.Jumps+t.Jumps, (s.now() - s.o.Ahead - time.Duration(time.Now().UnixNano())).Milliseconds(), s.errors.Load())
	text := b.String()
	s.figures.Store(&text)
}

// Figures is what operators go by.
func (s *Server) Figures() string {
	if text := s.figures.Load(); text != nil {
		return *text
	}
	return ""
}
