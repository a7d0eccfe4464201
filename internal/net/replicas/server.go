package replicas

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	replicav1 "caperrelay/proto/winglb/replica/v1"

	"caperrelay/internal/replica"
)

const (
	version           = 1
	maxQueuedEvents   = 4096 // waiting for the loop
	maxEventsPerPass  = 512
	tickInterval      = replica.Tick / 2
	bootstrapInterval = 200 * time.Millisecond
	openRetryInterval = 100 * time.Millisecond // while another process has the store locked
	maxPeers          = 1024
	retryMinDelay     = 5 * time.Millisecond // between tries of a proposal while there is no leader
	retryMaxDelay     = 100 * time.Millisecond
	maxNameLength     = 128
)

// Options configures a Server.
type Options struct {
	Self             replica.Member // the incarnation comes from the store
	Dir              string
	Address          string            // where others reach this daemon, if their settings do not say
	Peers            map[string]string // addresses of all other daemons, by name
	AddressOverrides map[string]string // addresses used instead of those in Peers, by name
	Groups           uint32
	Copies           int
	// Repair is the generation of the table: how many repairs after the loss of a majority operators have ordered.
	// Survivors are the daemons left at the last one. See replica.Repair.
	Repair        uint32
	Survivors     []string
	RelocateAfter time.Duration // after this silence a daemon's replicas are moved; 0: replica.RelocateTimeout
	// Machines creates the machines of a group.
	Machines func(group uint32) replica.Mux
	// Dial returns the TLS credentials for a peer; nil: plain text.
	Dial func(name string) credentials.TransportCredentials
}

// Server is a host whose groups are replicated among several daemons. It is safe for concurrent use.
type Server struct {
	replicav1.UnimplementedReplicasServer
	opts      Options
	log       *slog.Logger
	events    chan func(now time.Duration)
	writeDone chan writeResult
	changed   chan struct{}
	table     atomic.Uint64 // fingerprint of the table; 0: not active yet

	mu           sync.Mutex // held by the loop during each pass
	cancel       context.CancelFunc
	linkCtx      context.Context // context of the links to peers; nil: not open
	stopped      chan struct{}
	store        *store
	bootstrapper *replica.Bootstrapper
	node         *replica.Node // nil: not started yet
	writing      bool
	peers        map[string]*link
	proposals    map[uint64]func([]byte, error)
	fault        string // why this daemon takes part in no group
	refused      string // why the last store was set aside
	counters     struct{ proposed, forwarded, read, retired, dropped int64 }
}

var _ Host = (*Server)(nil)

// writeResult is the outcome of a write.
type writeResult struct {
	number uint64 // of the batch
	err    error
}

// New returns a server that does not run yet.
func New(opts Options, logger *slog.Logger) (*Server, error) {
	names := []string{opts.Self.Name}
	for name := range opts.Peers {
		names = append(names, name)
	}
	if a, b := replica.NameCollision(names); a != "" {
		return nil, fmt.Errorf("replicas: the names %q and %q have the same hash: rename one of these daemons", a, b)
	}
	return &Server{
		opts: opts, log: logger, events: make(chan func(time.Duration), maxQueuedEvents), writeDone: make(chan writeResult, 1), changed: make(chan struct{}, 1),
		peers: map[string]*link{}, proposals: map[uint64]func([]byte, error){},
	}, nil
}

// SetLogger sets the logger; it must be called before Open.
func (s *Server) SetLogger(l *slog.Logger) { s.log = l }

// Register registers the service that peers call.
func (s *Server) Register(r grpc.ServiceRegistrar) { replicav1.RegisterReplicasServer(r, s) }

// Open starts the loop. It opens the store as soon as no earlier process has it locked.
func (s *Server) Open(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		return
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.stopped = make(chan struct{})
	go s.run(ctx, s.stopped)
}

// Close stops the loop and returns once the store is closed.
func (s *Server) Close() {
	s.mu.Lock()
	cancel, stopped := s.cancel, s.stopped
	s.cancel = nil
	s.mu.Unlock()
	if cancel != nil {
		cancel()
		<-stopped
	}
}

// StepDown transfers the leadership of all groups to other daemons, within about half a second, before this daemon stops.
// It does not block. Without it, the other daemons have to wait until this one counts as silent and its leases have
// expired.
func (s *Server) StepDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.node != nil {
		s.node.StepDown(Now())
	}
}

// Groups returns the configured number of groups.
func (s *Server) Groups() uint32 { return s.opts.Groups }

// Changed signals changes.
func (s *Server) Changed() <-chan struct{} { return s.changed }

func (s *Server) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// View calls f with a machine's state.
func (s *Server) View(group uint32, machine byte, f func(replica.Machine)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.node == nil {
		return false
	}
	m := s.node.View(group, machine)
	if m != nil {
		f(m)
	}
	return m != nil
}

// Lease reports whether this daemon may act for a group.
func (s *Server) Lease(group uint32) (term uint64, until time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.node == nil {
		return 0, 0, false
	}
	return s.node.Lease(Now(), group)
}

// Propose proposes a command through whichever daemon leads the group. While there is no leader it retries until the
// context ends.
func (s *Server) Propose(ctx context.Context, group uint32, machine byte, cmd []byte) ([]byte, error) {
	cmd = append([]byte{machine}, cmd...)
	at := wallClock()
	for wait := retryMinDelay; ; wait = min(retryMaxDelay, 2*wait) {
		result, err := s.propose(ctx, group, at, cmd)
		if err == nil || !errors.Is(err, replica.ErrNoLeader) {
			return result, err
		}
		t := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil, replica.ErrNoLeader
		case <-t.C:
		}
	}
}

// propose tries once.
func (s *Server) propose(ctx context.Context, group uint32, at time.Duration, cmd []byte) ([]byte, error) {
	done := make(chan answer, 1)
	event := func(now time.Duration) {
		s.proposeOrForward(now, group, at, cmd, true, func(r []byte, err error) { done <- answer{r, err} })
	}
	select {
	case s.events <- event:
	case <-ctx.Done():
		return nil, replica.ErrNoLeader
	}
	select {
	case a := <-done:
		return a.result, a.err
	case <-ctx.Done():
		return nil, replica.ErrUnknown
	}
}

type answer struct {
	result []byte
	err    error
}

// proposeOrForward proposes a command here, or forwards it to the leader. done is called once, from the loop or a link;
// it must not block.
func (s *Server) proposeOrForward(now time.Duration, group uint32, at time.Duration, cmd []byte, pass bool, done func([]byte, error)) {
	if group >= s.opts.Groups {
		done(nil, replica.ErrNoGroup)
		return
	}
	if s.node == nil {
		done(nil, replica.ErrNoLeader)
		return
	}
	// The clock is read again after the state, because this process may have been suspended in between.
	if result, until, ok := s.node.Read(now, group, cmd); ok && Now() < until {
		s.counters.read++
		done(result, nil)
		return
	}
	ref, err := s.node.Propose(now, group, at, cmd)
	switch {
	case err == nil:
		s.counters.proposed++
		s.proposals[ref] = done
	case errors.Is(err, replica.ErrNoLeader) && pass:
		if l := s.peers[s.node.Leader(group)]; l != nil {
			s.counters.forwarded++
			l.propose(group, at, cmd, done)
			return
		}
		done(nil, err)
	default:
		done(nil, err)
	}
}

// enqueue has the loop call f. It returns false if ctx has ended.
func (s *Server) enqueue(ctx context.Context, f func(now time.Duration)) bool {
	select {
	case s.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// run is the loop.
func (s *Server) run(ctx context.Context, stopped chan struct{}) {
	defer close(stopped)
	for !s.openStore() {
		t := time.NewTimer(openRetryInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
	s.mu.Lock()
	s.linkCtx = ctx
	for name, at := range s.opts.Peers {
		s.connect(ctx, name, at)
	}
	s.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	bootstrapSentAt := Now() - bootstrapInterval
	for {
		var first func(time.Duration)
		var done *writeResult
		ticked := false
		select {
		case <-ctx.Done():
			s.shutDown()
			return
		case f := <-s.events:
			first = f
		case e := <-s.writeDone:
			done = &e
		case <-ticker.C:
			ticked = true
		}
		s.mu.Lock()
		now := Now()
		if first != nil {
			first(now)
		}
		for range maxEventsPerPass {
			if len(s.events) == 0 {
				break
			}
			(<-s.events)(now)
		}
		if done != nil {
			s.finishWrite(now, *done)
		}
		if s.node != nil {
			s.node.Tick(now)
		}
		if now-bootstrapSentAt >= bootstrapInterval {
			bootstrapSentAt = now
			s.sendBootstrap()
		}
		if ticked {
			s.abandonForwards()
		}
		s.doWork(now)
		s.mu.Unlock()
	}
}

// openStore opens the store. It returns false if the store is locked or cannot be read now.
func (s *Server) openStore() bool {
	st, groups, refused, err := openStore(s.opts.Dir, s.opts.Self)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if text := err.Error(); text != s.fault {
			s.fault = text
			s.log.Warn("replicas: cannot open the store", "dir", s.opts.Dir, "err", err)
		}
		return false
	}
	if refused != "" {
		s.counters.retired++
		s.refused = refused
		s.log.Error("replicas: the store cannot be trusted; this daemon rejoins as a new member", "why", refused)
	}
	s.fault, s.store = "", st
	if t := st.meta.Table; t != nil && st.meta.Active && s.opts.Repair > t.Generation {
		if groups, err = s.repair(groups); err != nil {
			s.fault = err.Error()
			s.log.Error("replicas: repair failed", "err", err)
			return true
		}
		st = s.store
	}
	var names []string
	for name := range s.opts.Peers {
		names = append(names, name)
	}
	slices.Sort(names)
	s.bootstrapper = replica.NewBootstrapper(st.meta.Member, names, s.opts.Groups, s.opts.Copies, st.meta.Table, st.meta.Active)
	s.storeTable(s.bootstrapper.Start())
	s.startNode(groups)
	return true
}

// repair continues without a lost majority. A daemon that is not among the survivors sets its store aside and starts
// with an empty one.
func (s *Server) repair(groups map[uint32]replica.Stored) (map[uint32]replica.Stored, error) {
	if !slices.Contains(s.opts.Survivors, s.opts.Self.Name) {
		s.store.close()
		if err := setAside(s.opts.Dir); err != nil {
			return nil, err
		}
		st, err := createStore(s.opts.Dir, s.opts.Self)
		s.store, s.refused = st, "this daemon is not among the survivors"
		return nil, err
	}
	t := s.store.meta.Table.Repaired(s.opts.Repair)
	w, err := replica.Repair(replica.Config{Self: s.store.meta.Member, Table: t, Machines: s.opts.Machines}, groups, s.opts.Survivors, s.store.lastBatch.written+1)
	if err != nil {
		return nil, err
	}
	if err := s.store.save(w); err != nil {
		return nil, err
	}
	s.store.meta.Table = &t
	if err := s.store.writeMeta(); err != nil {
		return nil, err
	}
	for _, p := range w.Groups {
		if delete(groups, p.Group); !p.Drop {
			groups[p.Group] = replica.Stored{HardState: p.HardState, Snapshot: p.Snapshot}
		}
	}
	s.log.Warn("replicas: continuing without the lost majority", "generation", t.Generation, "groups", len(w.Groups))
	return groups, nil
}

// storeTable writes the table to the store.
func (s *Server) storeTable(t *replica.Table) {
	if t == nil || s.store == nil {
		return
	}
	s.store.meta.Table = t
	if err := s.store.writeMeta(); err != nil {
		s.storeFailed(err)
		return
	}
	s.bootstrapper.TableStored()
}

// startNode creates the node once all members have stored the table.
func (s *Server) startNode(groups map[uint32]replica.Stored) {
	t, ok := s.bootstrapper.Active()
	if !ok || s.node != nil || s.fault != "" {
		return
	}
	newStore := s.store.meta.Starts == 1
	if !s.store.meta.Active {
		s.store.meta.Active = true
		if err := s.store.writeMeta(); err != nil {
			s.storeFailed(err)
			return
		}
	}
	node, err := replica.New(replica.Config{
		Self: s.store.meta.Member, Table: t, Boot: uint64(rand.Uint32()), Machines: s.opts.Machines, RelocateAfter: s.opts.RelocateAfter,
		Written: s.store.lastBatch.written, Known: s.store.meta.Known, NewStore: newStore,
	}, Now(), groups)
	if err != nil {
		s.fault = err.Error()
		s.log.Error("replicas: cannot start the node", "err", err)
		return
	}
	if t.Groups != s.opts.Groups {
		s.log.Warn("replicas: the number of groups cannot be changed", "file", s.opts.Groups, "groups", t.Groups)
	}
	for name := range s.peers {
		node.AddPeer(name)
	}
	s.node = node
	s.table.Store(t.Fingerprint())
	s.notifyChanged()
	s.log.Info("replicas: node started", "groups", len(node.Status()), "incarnation", fmt.Sprintf("%08x", s.store.meta.Member.Incarnation))
}

// abandonForwards ends the proposals forwarded to daemons that no longer lead their groups: a stalled daemon does not
// answer, while the caller could retry with the new leader.
func (s *Server) abandonForwards() {
	if s.node == nil {
		return
	}
	for name, l := range s.peers {
		l.abandonForwards(func(group uint32) bool { return s.node.Leader(group) == name })
	}
}

// sendBootstrap sends the bootstrap message to all peers while this daemon's node has not started.
func (s *Server) sendBootstrap() {
	if s.bootstrapper == nil || s.node != nil || s.store == nil {
		return
	}
	for _, l := range s.peers {
		l.sendBootstrap(bootstrapToProto(s.bootstrapper.Message()))
	}
}

// handleBootstrap handles a peer's bootstrap message; the peer's node may not have started.
func (s *Server) handleBootstrap(f *replicav1.Found) {
	if s.bootstrapper == nil || s.store == nil || s.fault != "" {
		return
	}
	msg := bootstrapFromProto(f)
	if s.bootstrapper.Outdated(msg) {
		s.retire("the groups were repaired without this daemon")
		return
	}
	t, conflict := s.bootstrapper.Receive(msg)
	if conflict != "" && s.fault == "" {
		s.log.Error("replicas: " + conflict)
	}
	s.storeTable(t)
	if l := s.peers[msg.Member.Name]; l != nil && s.node != nil && (!msg.Active || msg.Table != nil && msg.Table.Generation < s.store.meta.Table.Generation) {
		l.sendBootstrap(bootstrapToProto(s.bootstrapper.Message()))
	}
	s.startNode(nil)
}

// answerOtherTable answers a peer whose table differs, or predates a repair.
func (s *Server) answerOtherTable(name string) {
	if l := s.peers[name]; l != nil && s.node != nil {
		l.sendBootstrap(bootstrapToProto(s.bootstrapper.Message()))
	}
}

// connect starts the link to another daemon.
func (s *Server) connect(ctx context.Context, name, address string) {
	if s.peers[name] != nil || name == s.opts.Self.Name || len(s.peers) >= maxPeers {
		return
	}
	at := cmp.Or(s.opts.AddressOverrides[name], s.opts.Peers[name], address)
	if at == "" {
		return
	}
	l := newLink(s, name, at)
	s.peers[name] = l
	if s.node != nil {
		s.node.AddPeer(name)
	}
	go l.run(ctx)
}

// doWork carries out the node's work.
func (s *Server) doWork(now time.Duration) {
	if s.node == nil {
		return
	}
	w := s.node.TakeWork(now)
	var lastHeartbeat *replica.DaemonHeartbeat
	var heartbeat *replicav1.Beat
	for _, m := range w.Sends {
		l := s.peers[m.To]
		switch {
		case l == nil:
		case m.Heartbeat != nil:
			if m.Heartbeat != lastHeartbeat {
				lastHeartbeat, heartbeat = m.Heartbeat, heartbeatToProto(m.Heartbeat)
			}
			l.sendHeartbeat(heartbeat, m.Ack)
		case m.Hibernation != nil:
			l.sendHibernation(*m.Hibernation)
		default:
			l.send(m.Group, m.Raft)
		}
	}
	for _, r := range w.Results {
		if done := s.proposals[r.Ref]; done != nil {
			delete(s.proposals, r.Ref)
			done(r.Result, r.Err)
		}
	}
	for _, n := range w.Notes {
		s.log.Error("replicas: " + n)
	}
	if w.Changed {
		s.notifyChanged()
	}
	if w.Retire != "" {
		s.retire(w.Retire)
		return
	}
	if w.Write != nil {
		st := s.store
		s.writing = true
		go func() { // one at a time: the node returns no other write before this one is done
			s.writeDone <- writeResult{w.Write.Number, st.save(w.Write)}
		}()
	}
}

// finishWrite handles the outcome of a write.
func (s *Server) finishWrite(now time.Duration, e writeResult) {
	s.writing = false
	if e.err != nil {
		s.storeFailed(e.err)
		return
	}
	if s.node != nil {
		s.node.Persisted(now, e.number)
	}
}

// storeFailed handles a failed write, which may or may not be durable: this daemon confirms nothing more until it is
// restarted.
func (s *Server) storeFailed(err error) {
	s.fault = err.Error()
	s.store.markSuspect(err)
	s.log.Error("replicas: write to the store failed; this daemon neither votes nor leads until it is restarted", "err", err)
	if s.node != nil {
		s.node.WriteFailed(err)
	}
}

// retire discards the store and rejoins as a new member.
func (s *Server) retire(why string) {
	s.log.Error("replicas: the store is set aside; this daemon rejoins as a new member", "why", why)
	if s.writing {
		<-s.writeDone
		s.writing = false
	}
	s.store.close()
	for _, l := range s.peers {
		l.clearQueue()
	}
	s.node, s.bootstrapper, s.store = nil, nil, nil
	s.table.Store(0)
	s.counters.retired++
	s.refused = why
	if err := setAside(s.opts.Dir); err != nil {
		s.fault = err.Error()
		s.log.Error("replicas: cannot set the store aside", "err", err)
		return
	}
	st, err := createStore(s.opts.Dir, s.opts.Self)
	if err != nil {
		s.fault = err.Error()
		s.log.Error("replicas: cannot create a new store", "err", err)
		return
	}
	s.store = st
	// The other daemons run already, so this one waits for their table and never bootstraps one.
	s.bootstrapper = replica.NewBootstrapper(st.meta.Member, []string{""}, s.opts.Groups, s.opts.Copies, nil, false)
}

// shutDown ends the loop.
func (s *Server) shutDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing {
		<-s.writeDone
		s.writing = false
	}
	for ref, done := range s.proposals {
		delete(s.proposals, ref)
		done(nil, replica.ErrUnknown)
	}
	for len(s.events) > 0 {
		(<-s.events)(Now())
	}
	if s.store != nil {
		s.store.close()
	}
	s.node, s.bootstrapper, s.store, s.linkCtx = nil, nil, nil, nil
	clear(s.peers)
	s.table.Store(0)
	s.notifyChanged()
}

// Exchange serves another daemon's stream.
func (s *Server) Exchange(stream grpc.BidiStreamingServer[replicav1.ToPeer, replicav1.FromPeer]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	switch {
	case hello == nil || hello.Name == "" || len(hello.Name) > maxNameLength:
		return status.Error(codes.InvalidArgument, "the first message must have a hello")
	case hello.Version != version:
		return status.Errorf(codes.FailedPrecondition, "version %d of the protocol is not spoken here, %d is", hello.Version, version)
	}
	lifetime := s.linkContext(hello)
	if lifetime == nil {
		return status.Error(codes.Unavailable, "no replicas are held by this process")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	peer := &inbound{server: s, name: hello.Name, answers: make(chan *replicav1.Answer, maxQueuedAnswers)}
	failed := make(chan error, 2)
	received := make(chan struct{}, 1)
	go func() { failed <- peer.sendAnswers(ctx, stream, received) }()
	go func() {
		err := error(nil)
		for m := first; err == nil; {
			if err = peer.receive(ctx, m); err == nil {
				select {
				case received <- struct{}{}:
				default:
				}
				m, err = stream.Recv()
			}
		}
		failed <- err
	}()
	select {
	case err := <-failed:
		return err
	case <-lifetime.Done():
		return status.Error(codes.Unavailable, "no replicas are held by this process any more")
	}
}

// linkContext returns a context that lasts while this process has the store; nil if it does not have it. It also
// connects to a caller that the settings do not list.
func (s *Server) linkContext(h *replicav1.Hello) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.store == nil || s.linkCtx == nil {
		return nil
	}
	s.connect(s.linkCtx, h.GetName(), h.GetAddress())
	return s.linkCtx
}

// Status is the host's status for operators.
type Status struct {
	Member  replica.Member   `json:"member"`
	Table   string           `json:"table,omitempty"`
	Missing []string         `json:"missing,omitempty"` // configured daemons not contacted yet, before the groups start
	Fault   string           `json:"fault,omitempty"`
	Refused string           `json:"refused,omitempty"`
	Groups  []replica.Status `json:"groups,omitempty"`
}

// Status returns the host's status.
func (s *Server) Status() (v Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.Fault, v.Refused, v.Member = s.fault, s.refused, s.opts.Self
	if s.store != nil {
		v.Member = s.store.meta.Member
	}
	if s.node != nil {
		v.Table, v.Groups = fmt.Sprintf("%016x", s.table.Load()), s.node.Status()
	} else if s.bootstrapper != nil {
		v.Missing = s.bootstrapper.Missing()
	}
	return v
}

// Figures returns the metrics.
func (s *Server) Figures() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	groups, leads, halted, written, faulty := 0, 0, 0, uint64(0), 0
	if s.node != nil {
		groups, leads, halted, written = s.node.Counters(Now())
	}
	if s.fault != "" {
		faulty = 1
	}
	writes := int64(0)
	if s.store != nil {
		writes = s.store.writes.Load()
	}
	return fmt.Sprintf("proxy.replicas.groups=%d\nproxy.replicas.leads=%d\nproxy.replicas.halted=%d\nproxy.replicas.written=%d\nproxy.replicas.writes=%d\nproxy.replicas.fault=%d\nproxy.replicas.retired=%d\nproxy.replicas.proposed=%d\nproxy.replicas.forwarded=%d\nproxy.replicas.read=%d\n",
		groups, leads, halted, written, writes, faulty, s.counters.retired, s.counters.proposed, s.counters.forwarded, s.counters.read)
}
