// Package gangs is the gang service: the connections, clocks and goroutines around package caperrelay/internal/gang,
// which uses the replicated groups of a replicas.Host.
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
	"caperrelay/internal/promise"
	"caperrelay/internal/replica"
)

const (
	activeInterval     = 8 * time.Millisecond // between steps while gangs are open
	idleInterval       = 100 * time.Millisecond
	pingInterval       = 400 * time.Millisecond
	messageTimeout     = 300 * time.Millisecond // of a message to another dispatcher
	proposeTimeout     = 2 * time.Second        // of a command to a group
	maxOutstanding     = 256                    // commands and messages without an answer
	awaitInterval      = 100 * time.Millisecond // between queries about an awaited gang
	maxAwait           = 30 * time.Second
	reservationHorizon = time.Minute // how far ahead dispatchers report holds to each other: assumed longest run of other jobs
	maxReservations    = 1024        // that one dispatcher reports
	maxMessageSize     = 512 << 10
)

// Partner is a partner that lends slots of the encoders at its sites.
type Partner struct {
	Name  string
	Sites []string
	Slots int     // at one time; 0: unlimited
	Share float64 // of its encoders' slots; 0: unlimited
	Hours float64 // slot-hours per UTC day; 0: unlimited
}

// Options are the options of a server.
type Options struct {
	Name, Site  string
	Peers       map[string]string // control addresses of the other dispatchers, by name
	Slots       map[string]float64
	Partners    []Partner
	Credentials func(peer string) credentials.TransportCredentials // nil: plain text
	WarmUp      time.Duration                                      // how long an encoder takes to warm up
	OnceClasses map[string]bool                                    // by class: whether a job must not run twice
	TellsStart  bool                                               // encoders report when a job begins to run
	ClockOffset time.Duration                                      // added to the clock, to test clocks that differ
}

// Core is the dispatcher's loop.
type Core interface {
	Submit(*dispatch.Command)
	ClientGone(*dispatch.Command)
	// CancelJob has an encoder drop a job that another dispatcher sent.
	CancelJob(instance, id string)
	// SetReservations sets an encoder's slots and the reservations on them.
	SetReservations(id string, slots float64, spans []decide.Reservation)
}

// Server is a dispatcher's part of the gang service.
type Server struct {
	gangv1.UnimplementedGangsServer
	gangv1.UnimplementedPeersServer
	options     Options
	host        replicas.Host
	core        Core
	log         *slog.Logger
	clockName   string // unique to this process
	clockBase   time.Duration
	inbox       chan func()
	outstanding chan struct{} // semaphore for commands and messages without an answer
	peers       map[string]gangv1.PeersClient
	conns       []*grpc.ClientConn

	// The starter has a goroutine of its own, so that members start in time even if the groups' disks are slow.
	starterMu      sync.Mutex // guards starter and sent; must not be held while waiting
	starter        *gang.Starter
	sent           map[string]*dispatch.Command
	starterChanged chan struct{} // wakes the starter's goroutine

	// Used by the coordinator's loop only.
	coordinator         *gang.Coordinator
	homes               map[string]uint32 // gangs coordinated here, and their home groups
	pingTime            time.Duration
	ledGroups           []uint32
	reservations        map[string][]gang.Reservation // by dispatcher: holds in the groups that it leads
	appliedReservations map[string]string             // by encoder: the reservations that the dispatcher's loop has, as text
	setGenerations      map[string]uint64             // by account: the generation proposed from here
	active              bool
	cancel              context.CancelFunc
	stopped             chan struct{}
	mu                  sync.Mutex // guards cancel and stopped

	listMu    sync.Mutex // guards the fields below
	instances dispatch.InstanceList
	cordoned  map[string]bool // instance IDs

	overruns    atomic.Int64
	counters    atomic.Pointer[string]
	onceClasses atomic.Pointer[map[string]bool]
}

// New returns a server, which is inactive until Open.
func New(o Options, host replicas.Host, core Core, logger *slog.Logger) (*Server, error) {
	clock := fmt.Sprintf("%s/%08x", o.Name, rand.Uint32())
	s := &Server{
		options: o, host: host, core: core, log: logger, clockName: clock, clockBase: time.Duration(time.Now().UnixNano()) + o.ClockOffset - replicas.Now(), inbox: make(chan func(), 1024), outstanding: make(chan struct{}, maxOutstanding),
		peers: map[string]gangv1.PeersClient{}, coordinator: gang.NewCoordinator(clock), starter: gang.NewStarter(), cordoned: map[string]bool{},
		sent: map[string]*dispatch.Command{}, starterChanged: make(chan struct{}, 1), homes: map[string]uint32{}, setGenerations: map[string]uint64{},
		reservations: map[string][]gang.Reservation{}, appliedReservations: map[string]string{},
	}
	s.onceClasses.Store(&o.OnceClasses)
	for name, at := range o.Peers {
		creds := insecure.NewCredentials()
		if o.Credentials != nil {
			creds = o.Credentials(name)
		}
		conn, err := grpc.NewClient("passthrough:///"+at, grpc.WithTransportCredentials(creds), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)))
		if err != nil {
			return nil, fmt.Errorf("gangs: peer %s: %w", name, err)
		}
		s.conns, s.peers[name] = append(s.conns, conn), gangv1.NewPeersClient(conn)
	}
	return s, nil
}

// Register registers the gang services with a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	gangv1.RegisterGangsServer(r, s)
	gangv1.RegisterPeersServer(r, s)
}

// Open starts the server's goroutines.
func (s *Server) Open(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		return
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.stopped = make(chan struct{})
	go func(stopped chan struct{}) {
		defer close(stopped)
		var loops sync.WaitGroup
		loops.Go(func() { s.run(ctx) })
		loops.Go(func() { s.runStarter(ctx) })
		loops.Wait()
	}(s.stopped)
}

// Close stops the server's goroutines, since another process takes over.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
		<-s.stopped
		s.cancel = nil
	}
}

// now returns Unix time by a monotonic clock that also runs while the machine is suspended. A step of the system clock
// takes effect in the next process only.
func (s *Server) now() time.Duration { return s.clockBase + replicas.Now() }

// post runs a function in the coordinator's loop. If the loop is behind, post blocks: the coordinator proposes a
// command once and considers it outstanding until its result arrives, so results must not be dropped. It must not be
// called from the loop.
func (s *Server) post(ctx context.Context, do func()) {
	select {
	case s.inbox <- do:
		return
	default:
		s.overruns.Add(1)
	}
	select {
	case s.inbox <- do:
	case <-ctx.Done():
	}
}

func (s *Server) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := idleInterval
		if s.active {
			wait = activeInterval
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case do := <-s.inbox:
			do()
		case <-timer.C:
			s.step(ctx)
		}
		for more := true; more; {
			select {
			case do := <-s.inbox:
				do()
			default:
				more = false
			}
		}
		s.runActions(ctx)
	}
}

// runStarter runs the starter: it sends and cancels members when due.
func (s *Server) runStarter(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s.starterMu.Lock()
		wait := idleInterval
		if at, found := s.starter.NextDue(); found {
			wait = max(0, min(wait, at-s.now()))
		}
		s.starterMu.Unlock()
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-s.starterChanged:
		case <-timer.C:
		}
		s.starterMu.Lock()
		s.starter.Tick(s.now())
		actions := s.starter.TakeActions()
		s.starterMu.Unlock()
		s.runStarterActions(actions)
	}
}

// updateStarter updates the starter at once, however far its goroutine is behind, since some events are reported only
// once.
func (s *Server) updateStarter(do func()) {
	s.starterMu.Lock()
	do()
	s.starterMu.Unlock()
	select {
	case s.starterChanged <- struct{}{}:
	default: // already woken
	}
}

// handleMessage has the local starter process a message.
func (s *Server) handleMessage(msg gang.Message) gang.Reply {
	s.starterMu.Lock()
	reply := s.starter.Handle(s.now(), msg)
	s.starterMu.Unlock()
	s.updateStarter(func() {})
	reply.Now, reply.Clock, reply.Site = s.now(), s.clockName, s.options.Site
	return reply
}

// groupOf returns the group that keeps a key's account or is a gang's home.
func (s *Server) groupOf(key string) uint32 { return replica.GroupOf(key, s.host.Groups()) }

func (s *Server) homeOf(id string) uint32 { return s.groupOf("gang/" + id) }

// encoders returns the instance list as the planner sees it.
func (s *Server) encoders() (all []gang.Encoder) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	for _, m := range s.instances.Instances() {
		e := gang.Encoder{ID: m.ID, Site: m.Zone, Kind: m.Kind, Excluded: m.State != decide.Ready || s.cordoned[m.ID], Slots: int(s.options.Slots[m.Kind]), Gen: 1}
		if !m.Started.IsZero() {
			e.Gen = uint64(m.Started.UnixMicro())
			e.WarmAt = time.Duration(m.Started.Add(s.options.WarmUp).UnixNano())
		}
		e.Group = s.groupOf(e.Account())
		for _, p := range s.options.Partners {
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
	if now-s.pingTime > pingInterval {
		s.pingTime = now
		s.sendMessage(ctx, s.options.Name, gang.Message{}, 0)
		for name := range s.peers {
			s.sendMessage(ctx, name, gang.Message{}, 0)
		}
	}
	s.applyReservations(now, all)
	s.active, s.ledGroups = false, nil
	states := map[string]int{}
	homes := map[string]uint32{}
	for g := range s.host.Groups() {
		_, until, ok := s.host.Lease(g)
		if !ok || replicas.Now() >= until {
			continue
		}
		var open *gang.Machine
		s.host.View(g, replica.GangsMachine, func(m replica.Machine) {
			machine, ok := m.(*gang.Machine)
			if !ok {
				return
			}
			s.setAccounts(ctx, g, machine, all)
			open = machine.OpenGangs()
			for _, e := range machine.Entries() {
				states[string(e.State)]++
				if e.State == gang.Ended {
					states[e.Verdict]++
				}
			}
		})
		if open == nil {
			continue
		}
		s.ledGroups = append(s.ledGroups, g)
		s.coordinator.Step(now, g, open, all)
		for id := range open.Entries() {
			homes[id], s.active = g, true
		}
	}
	s.homes = homes
	s.updateCounters(states)
}

// ownReservations returns the holds in the groups that this dispatcher leads.
func (s *Server) ownReservations(now time.Duration) (all []gang.Reservation) {
	for _, g := range s.ledGroups {
		s.host.View(g, replica.GangsMachine, func(m replica.Machine) {
			if machine, ok := m.(*gang.Machine); ok {
				all = append(all, machine.Reservations(now+reservationHorizon, maxReservations-len(all))...)
			}
		})
	}
	return all
}

// setAccounts opens or updates the accounts of a group that this dispatcher leads.
func (s *Server) setAccounts(ctx context.Context, g uint32, machine *gang.Machine, all []gang.Encoder) {
	set := func(r gang.Resource) {
		if existing, known := machine.Resources[r.ID]; known && existing.Gen >= r.Gen || s.setGenerations[r.ID] >= r.Gen {
			return
		}
		s.setGenerations[r.ID] = r.Gen
		s.propose(ctx, g, gang.Command{Op: "set", Resource: &r}, func(_ gang.Result, ok bool) {
			if !ok {
				delete(s.setGenerations, r.ID)
			}
		})
	}
	partnerSlots := map[string]int{}
	for _, e := range all {
		partnerSlots[e.Partner] += e.Slots
		if e.Group == g {
			set(gang.Resource{ID: e.Account(), Slots: e.Slots, Gen: e.Gen})
		}
	}
	for _, p := range s.options.Partners {
		id := gang.PartnerAccount(p.Name)
		if s.groupOf(id) != g || partnerSlots[p.Name] == 0 {
			continue
		}
		current, known := machine.Resources[id]
		if !known {
			current = gang.Resource{ID: id, MaxSlots: p.Slots, Share: p.Share, SlotHours: p.Hours}
		}
		if next := current.ForEncoderSlots(partnerSlots[p.Name]); !known || next.Slots != current.Slots {
			next.Gen++
			set(next)
		}
	}
}

// propose proposes a command to a group; done is called in the coordinator's loop.
func (s *Server) propose(ctx context.Context, g uint32, c gang.Command, done func(gang.Result, bool)) {
	select {
	case s.outstanding <- struct{}{}:
	default:
		done(gang.Result{}, false)
		return
	}
	go func() {
		r, err := s.apply(ctx, g, c)
		<-s.outstanding
		s.post(context.Background(), func() { done(r, err == nil) }) // not dropped: at most maxOutstanding results and one view can wait
	}()
}

// apply has a group apply a command and returns the result.
func (s *Server) apply(ctx context.Context, g uint32, c gang.Command) (gang.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	text, err := s.host.Propose(ctx, g, replica.GangsMachine, c.Encode())
	if err != nil {
		return gang.Result{}, err
	}
	return gang.Decode(text)
}

// runActions carries out the coordinator's actions.
func (s *Server) runActions(ctx context.Context) {
	for _, a := range s.coordinator.TakeActions() {
		switch a := a.(type) {
		case gang.Propose:
			s.propose(ctx, a.Group, a.Command, func(r gang.Result, ok bool) { s.coordinator.HandleResult(s.now(), a.Key, r, ok) })
		case gang.FetchView:
			s.fetchView(ctx)
		case gang.Send:
			s.sendMessage(ctx, a.To, a.Message, s.homes[a.Gang])
		}
	}
}

// fetchView queries all groups for their accounts and holds.
func (s *Server) fetchView(ctx context.Context) {
	v := gang.View{Self: s.options.Name, PartnerAccounts: map[string]gang.AccountLocation{}, Accounts: map[string]gang.Resource{}}
	for _, p := range s.options.Partners {
		v.PartnerAccounts[p.Name] = gang.AccountLocation{Group: s.groupOf(gang.PartnerAccount(p.Name))}
	}
	v.Dispatchers = s.coordinator.LiveDispatchers(s.now())
	go func() {
		for g := range s.host.Groups() {
			var r gang.Result
			local := s.host.View(g, replica.GangsMachine, func(m replica.Machine) {
				if machine, ok := m.(*gang.Machine); ok {
					r = machine.Query()
				}
			})
			if !local {
				var err error
				if r, err = s.apply(ctx, g, gang.Command{Op: "look"}); err != nil {
					continue // its accounts stay unknown, so nothing is planned at its encoders
				}
			}
			for _, x := range r.Resources {
				v.Accounts[x.ID] = x
			}
			v.RoundHolds = append(v.RoundHolds, r.RoundHolds...)
		}
		s.post(context.Background(), func() { s.coordinator.SetView(s.now(), v) })
	}()
}

// sendMessage sends a message to a dispatcher, possibly this one.
func (s *Server) sendMessage(ctx context.Context, to string, msg gang.Message, home uint32) {
	sent := s.now()
	if to == s.options.Name {
		reply := s.handleMessage(msg)
		s.reservations[to] = s.ownReservations(sent)
		s.coordinator.HandleReply(s.now(), sent, to, msg, reply, home)
		return
	}
	peer := s.peers[to]
	if peer == nil {
		return
	}
	select {
	case s.outstanding <- struct{}{}:
	default:
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, messageTimeout)
		defer cancel()
		text, _ := json.Marshal(msg) // cannot fail for plain data
		sent := s.now()
		r, err := peer.Tell(ctx, &gangv1.TellRequest{Word: text})
		received := s.now()
		<-s.outstanding
		var reply gang.Reply
		if err != nil || json.Unmarshal(r.GetSaid(), &reply) != nil {
			return
		}
		s.post(ctx, func() { // may be dropped: the message is repeated
			if msg.Kind == "" {
				s.reservations[to] = reply.Reservations
			}
			s.coordinator.HandleReply(received, sent, to, msg, reply, home)
		})
	}()
}

// Tell handles a message from another dispatcher.
func (s *Server) Tell(ctx context.Context, q *gangv1.TellRequest) (*gangv1.TellResponse, error) {
	var msg gang.Message
	if len(q.GetWord()) > maxMessageSize || json.Unmarshal(q.GetWord(), &msg) != nil {
		return nil, status.Error(codes.InvalidArgument, "not a word")
	}
	reply := s.handleMessage(msg)
	if msg.Kind == "" { // asks for the clock and the holds only
		answer := make(chan []gang.Reservation, 1)
		s.post(ctx, func() { answer <- s.ownReservations(s.now()) })
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case reply.Reservations = <-answer:
		}
		reply.Now = s.now()
	}
	text, _ := json.Marshal(reply)
	return &gangv1.TellResponse{Said: text}, nil
}

// runStarterActions sends and cancels members.
func (s *Server) runStarterActions(actions []gang.StarterAction) {
	for _, a := range actions {
		switch a.Kind {
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
			s.starterMu.Lock()
			s.sent[a.Key] = cmd
			s.starterMu.Unlock()
			s.core.Submit(cmd)
		case gang.CancelSent:
			s.starterMu.Lock()
			cmd := s.sent[a.Key]
			delete(s.sent, a.Key)
			s.starterMu.Unlock()
			if cmd != nil {
				s.core.ClientGone(cmd)
			}
		case gang.CancelJob:
			s.core.CancelJob(a.Encoder, a.Key)
		}
	}
}

// client is the client of a member's command in the dispatcher's loop.
type client struct {
	*Server
	key string
}

// Started records that an encoder has the member; it counts as running unless encoders report that separately.
func (c *client) Started(_ string, runs bool) {
	if runs || !c.options.TellsStart {
		c.updateStarter(func() { c.starter.MemberStarted(c.now(), c.key) })
	}
}

// Answer records the member's end.
func (c *client) Answer(a dispatch.Answer) {
	memberStatus, reason := gang.MayHaveRun, "failed"
	switch a.Verdict {
	case dispatch.Served:
		memberStatus, reason = gang.Done, ""
	case dispatch.Refused:
		memberStatus, reason = gang.NeverRan, "refused"
	case dispatch.Unusable:
		memberStatus, reason = gang.NeverRan, "no encoder can do it as it stands"
	}
	c.updateStarter(func() {
		delete(c.sent, c.key)
		c.starter.MemberEnded(c.now(), c.key, memberStatus, reason)
	})
}

// HandOver records that another process has taken the member over: its outcome is unknown here.
func (c *client) HandOver(bool) {
	c.updateStarter(func() {
		delete(c.sent, c.key)
		c.starter.MemberEnded(c.now(), c.key, gang.MayHaveRun, "it changed hands")
	})
}

// HandleUnmatchedCallback handles a callback that matches no attempt of the dispatcher's loop: an earlier process may have sent the
// member. It reports whether the member is known here.
func (s *Server) HandleUnmatchedCallback(n dispatch.Callback) bool {
	s.starterMu.Lock()
	_, known := s.starter.GangOf(n.ID)
	s.starterMu.Unlock()
	memberStatus, reason := gang.MayHaveRun, "failed"
	switch n.State {
	case dispatch.Done:
		memberStatus, reason = gang.Done, ""
	case dispatch.Errored, dispatch.Lost, dispatch.Returned:
	default:
		return known
	}
	if known {
		s.updateStarter(func() { s.starter.MemberEnded(s.now(), n.ID, memberStatus, reason) })
	}
	return known
}

// Submit submits a gang.
func (s *Server) Submit(ctx context.Context, q *gangv1.SubmitRequest) (*gangv1.Gang, error) {
	us := func(n uint64) time.Duration { return time.Duration(min(n, 1<<53)) * time.Microsecond }
	spec := gang.Spec{
		ID: q.GetId(), NotBefore: us(q.GetNotBeforeUs()), LatestStart: us(q.GetLatestStartUs()), Skew: us(q.GetSkewUs()), OnDeath: gang.DeathPolicy(q.GetAfter()),
	}
	if !http1.IsVisible(spec.ID) || strings.ContainsAny(spec.ID, "/?#%") { // the ID becomes part of job IDs
		return nil, status.Error(codes.InvalidArgument, "id: letters, digits and -_. only")
	}
	for i, m := range q.GetMembers() {
		once, known := (*s.onceClasses.Load())[m.GetClass()]
		if !known {
			return nil, status.Errorf(codes.InvalidArgument, "member %d: class %q is not known", i, m.GetClass())
		}
		if err := promise.CheckTarget(m.GetTarget()); err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "member %d: %v", i, err)
		}
		spec.Members = append(spec.Members, gang.Member{
			Site: m.GetSite(), Kind: m.GetKind(), Slots: int(max(1, m.GetSlots())), Work: us(m.GetWorkUs()), Key: m.GetKey(), Class: m.GetClass(),
			Once: once, Target: m.GetTarget(), Payload: m.GetPayload(),
		})
	}
	if _, err := spec.Validate(s.now()); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return s.applyToGang(ctx, spec.ID, gang.Command{Op: "submit", Spec: &spec})
}

// Cancel cancels a gang.
func (s *Server) Cancel(ctx context.Context, q *gangv1.CancelRequest) (*gangv1.Gang, error) {
	return s.applyToGang(ctx, q.GetId(), gang.Command{Op: "cancel", Gang: q.GetId()})
}

func (s *Server) applyToGang(ctx context.Context, id string, c gang.Command) (*gangv1.Gang, error) {
	r, err := s.apply(ctx, s.homeOf(id), c)
	switch {
	case errors.Is(err, context.Canceled):
		return nil, status.Error(codes.Canceled, err.Error())
	case err != nil: // the client may repeat a submission: the same ID means the same gang
		return nil, status.Error(codes.Unavailable, err.Error())
	case r.NotFound:
		return nil, status.Error(codes.NotFound, r.Err)
	case r.Full:
		return nil, status.Error(codes.ResourceExhausted, r.Err)
	case r.Entry == nil:
		return nil, status.Error(codes.InvalidArgument, r.Err)
	}
	return toProto(r.Entry), nil
}

// toProto returns a gang's status for clients.
func toProto(e *gang.Entry) *gangv1.Gang {
	g := &gangv1.Gang{Id: e.Spec.ID, State: string(e.State), Verdict: e.Verdict, Why: e.Reason, Plans: uint32(e.Plans), Moves: uint32(e.Moves)}
	if e.Plan != nil {
		g.StartUs, g.Encoders = uint64(e.Plan.Start/time.Microsecond), e.Plan.Encoders
	}
	for _, i := range e.MayHaveRun {
		g.MayHaveRun = append(g.MayHaveRun, uint32(i))
	}
	for _, i := range e.Dead {
		g.Dead = append(g.Dead, uint32(i))
	}
	if e.HeldAt > 0 {
		g.WaitedUs = uint64((e.HeldAt - e.SubmittedAt) / time.Microsecond)
	}
	return g
}

// Await waits until a gang has ended or its state differs from the one that the client has seen.
func (s *Server) Await(ctx context.Context, q *gangv1.AwaitRequest) (*gangv1.Gang, error) {
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for until := time.Now().Add(maxAwait); ; {
		g, err := s.applyToGang(ctx, q.GetId(), gang.Command{Op: "ask", Gang: q.GetId()})
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
		case <-ticker.C:
		}
	}
}

// Lend changes how much a partner lends.
func (s *Server) Lend(ctx context.Context, q *gangv1.LendRequest) (*gangv1.LendResponse, error) {
	id := gang.PartnerAccount(q.GetPartner())
	g := s.groupOf(id)
	for range 3 {
		r, err := s.apply(ctx, g, gang.Command{Op: "look"})
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		slots := 0
		for _, e := range s.encoders() {
			if e.Partner == q.GetPartner() {
				slots += e.Slots
			}
		}
		next := gang.Resource{ID: id, MaxSlots: int(q.GetSlots()), Share: q.GetShare(), SlotHours: q.GetHours()}.ForEncoderSlots(slots)
		for _, x := range r.Resources {
			if x.ID == id {
				next.Gen = x.Gen + 1
			}
		}
		if next.Gen == 0 {
			return nil, status.Errorf(codes.NotFound, "%q lends nothing", q.GetPartner())
		}
		if r, err = s.apply(ctx, g, gang.Command{Op: "set", Resource: &next}); err == nil && r.OK {
			return &gangv1.LendResponse{}, nil
		}
	}
	return nil, status.Error(codes.Aborted, "others change it as well")
}

// SetClasses sets the classes, and for each whether a job must not run twice.
func (s *Server) SetClasses(once map[string]bool) { s.onceClasses.Store(&once) }

// Listed updates the instance list.
func (s *Server) Listed(l dispatch.InstanceUpdate) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.instances.Update(l)
}

// Cordoned sets the cordoned instances.
func (s *Server) Cordoned(ids []string) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	clear(s.cordoned)
	for _, id := range ids {
		s.cordoned[id] = true
	}
}

func (s *Server) updateCounters(states map[string]int) {
	var b strings.Builder
	for _, name := range []gang.State{gang.Waiting, gang.Preparing, gang.Held, gang.Starting, gang.StartFailed, gang.Running, gang.Ended} {
		fmt.Fprintf(&b, "proxy.gangs.%s=%d\n", name, states[string(name)])
	}
	for _, name := range []string{gang.Completed, gang.NotStarted, gang.DiedAfterStart, gang.Cancelled} {
		fmt.Fprintf(&b, "proxy.gangs.%s=%d\n", name, states[name])
	}
	s.starterMu.Lock()
	t := s.starter.Stats
	s.starterMu.Unlock()
	fmt.Fprintf(&b, "proxy.gangs.members_sent=%d\nproxy.gangs.members_late=%d\nproxy.gangs.members_called_off=%d\nproxy.gangs.members_left_alone=%d\n", t.Launched, t.Late, t.CalledOff, t.Unconfirmed)
	fmt.Fprintf(&b, "proxy.gangs.wounds=%d\nproxy.gangs.clock_error_us=%d\nproxy.gangs.clock_jumps=%d\nproxy.gangs.clock_off_ms=%d\nproxy.gangs.overruns=%d\n",
		s.coordinator.Stats.Preempted, s.coordinator.Stats.MaxClockError.Microseconds(), s.coordinator.Stats.ClockJumps+t.ClockJumps, (s.now() - s.options.ClockOffset - time.Duration(time.Now().UnixNano())).Milliseconds(), s.overruns.Load())
	text := b.String()
	s.counters.Store(&text)
}

// Figures returns the operators' counters.
func (s *Server) Figures() string {
	if text := s.counters.Load(); text != nil {
		return *text
	}
	return ""
}
