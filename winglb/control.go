package winglb

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	controlv1 "caperrelay/proto/winglb/control/v1"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/lease"
	"caperrelay/internal/wire"
)

const (
	maxDaemons         = 16
	protocolVersion    = 1
	initialSilence     = time.Second // used until a daemon has sent its own value
	minRetry           = 50 * time.Millisecond
	maxRetry           = 500 * time.Millisecond
	queueSize          = 256
	placeCheckInterval = time.Second
	maxMessageBytes    = 16 << 20
	maxInstances       = 1 << 16
)

// controlState holds what the daemons have sent: instance list, settings, cordons and leases. Each daemon has one
// goroutine.
type controlState struct {
	balancer *Balancer
	start    time.Time

	links []*link

	leases  sync.Mutex // separate from mu: the loop requests leases under it, and must not wait for a goroutine that calls the loop
	holder  *lease.Holder
	unspent map[lease.HeldLease]bool // granted, neither spent nor expired

	mu           sync.Mutex
	revision     int64 // of the instance list
	instances    map[string]*controlv1.Member
	settings     *controlv1.Settings
	settingsFrom int // the daemon that sent the settings
	parsed       decide.Settings
	names        wire.Names
	place        uint32 // this sender's number among all senders, from 1, assigned by a daemon; 0: none
	senders      uint32
	lastReceived time.Duration // last message of any daemon
	started      bool
	watchers     []func()
}

// link is the connection to one daemon.
type link struct {
	state   *controlState
	index   int
	address string
	queue   chan *controlv1.FromSender // nil: not attached; guarded by controlState.leases
	epoch   uint64                     // guarded by controlState.leases
	cordons []string                   // last received; kept while the daemon is not attached
}

func newControlState(b *Balancer) *controlState {
	s := &controlState{balancer: b, start: time.Now(), instances: map[string]*controlv1.Member{}, unspent: map[lease.HeldLease]bool{}, holder: lease.NewHolder(len(b.config.Daemons)), settingsFrom: -1}
	for n, a := range b.config.Daemons {
		s.links = append(s.links, &link{state: s, index: n, address: a})
	}
	return s
}

func (s *controlState) now() time.Duration { return time.Since(s.start) }

func (s *controlState) run() {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.balancer.ended
		cancel()
	}()
	for _, l := range s.links {
		go l.run(ctx)
	}
	go s.expirePlace(ctx)
}

// attachedCount returns the number of daemons attached now.
func (s *controlState) attachedCount() (n int) {
	s.leases.Lock()
	defer s.leases.Unlock()
	for _, l := range s.links {
		if l.queue != nil {
			n++
		}
	}
	return n
}

// deadline returns the default deadline of a class, for calls without one.
func (s *controlState) deadline(class string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, name := range s.names.Classes {
		if name == class && i < len(s.parsed.Classes) {
			return s.parsed.Classes[i].Deadline
		}
	}
	return time.Minute
}

// watch registers f to be called after each change of the instance list.
func (s *controlState) watch(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}

// members returns the instances that have an address.
func (s *controlState) members() (all []*controlv1.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.instances {
		if m.Address != "" {
			all = append(all, m)
		}
	}
	return all
}

// run keeps the stream to the daemon open, reconnecting with backoff, until the context ends.
func (l *link) run(ctx context.Context) {
	creds := credentials.TransportCredentials(insecure.NewCredentials())
	if l.state.balancer.config.TLS != nil {
		creds = credentials.NewTLS(l.state.balancer.config.TLS)
	}
	cc, err := grpc.NewClient("passthrough:///"+l.address, grpc.WithTransportCredentials(creds), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: minRetry, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRetry}, MinConnectTimeout: time.Second}))
	if err != nil {
		l.state.balancer.log.Error("cannot create the connection to a daemon", "address", l.address, "err", err)
		return
	}
	defer cc.Close()
	wait := minRetry
	for ctx.Err() == nil {
		began := time.Now()
		err := l.attach(ctx, cc)
		if ctx.Err() != nil {
			return
		}
		l.state.balancer.log.Warn("stream to daemon ended", "address", l.address, "err", err)
		if time.Since(began) > time.Second {
			wait = minRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, maxRetry)
	}
}

// attach serves one stream until it ends or the daemon has sent nothing for too long.
func (l *link) attach(ctx context.Context, cc *grpc.ClientConn) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := initialSilence
	silent := time.AfterFunc(2*initialSilence, func() { cancel(errors.New("no message from the daemon within the silence limit")) })
	defer silent.Stop()
	stream, err := controlv1.NewControlClient(cc).Attach(ctx)
	if err != nil {
		return err
	}
	s := l.state
	s.mu.Lock()
	place := s.place
	s.mu.Unlock()
	if err := stream.Send(&controlv1.FromSender{Kind: &controlv1.FromSender_Hello{Hello: &controlv1.Hello{
		Name: s.balancer.config.Name, Boot: s.balancer.boot, Version: protocolVersion, Place: place,
	}}}); err != nil {
		return err
	}
	fail := func(err error) error {
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
			return cause
		}
		return err
	}
	out := make(chan *controlv1.FromSender, queueSize)
	defer l.detached()
	for first := true; ; first = false {
		m, err := stream.Recv()
		if err != nil {
			return fail(err)
		}
		silent.Reset(silence)
		if first {
			w := m.GetWelcome()
			if w == nil || w.SilenceMs == 0 || w.Senders == 0 || w.Settings == nil || w.List == nil {
				return errors.New("first message of the daemon is not a complete welcome")
			}
			silence = time.Duration(w.SilenceMs) * time.Millisecond
			if err := l.handleWelcome(w, out); err != nil {
				return err
			}
			go func() { // ends with the stream
				beat := time.NewTicker(silence / 4)
				defer beat.Stop()
				for {
					m := &controlv1.FromSender{Kind: &controlv1.FromSender_Beat{Beat: &controlv1.Beat{}}}
					select {
					case <-ctx.Done():
						return
					case <-beat.C:
					case m = <-out:
					}
					if stream.Send(m) != nil {
						return
					}
				}
			}()
			continue
		}
		if err := l.handle(m); err != nil {
			return err
		}
	}
}

func (l *link) detached() {
	s := l.state
	s.leases.Lock()
	defer s.leases.Unlock()
	l.queue = nil
	s.holder.Down(l.index)
}

// handleWelcome applies a daemon's first message.
func (l *link) handleWelcome(w *controlv1.Welcome, out chan *controlv1.FromSender) error {
	s := l.state
	s.leases.Lock()
	l.queue, l.epoch = out, w.Epoch
	s.holder.Up(l.index, w.Epoch)
	s.leases.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived = s.now()
	force := s.senders != w.Senders
	s.senders = w.Senders
	if w.Place != s.place && (w.Place > 0 || s.place > 0 && l.ownsPlace(s.place)) {
		s.place, force = w.Place, true
	}
	if err := s.applySettings(l.index, w.Settings, force); err != nil {
		return err
	}
	if err := s.updateInstances(w.List); err != nil {
		return err
	}
	l.setCordons(w.Cordons)
	return nil
}

// ownsPlace reports whether this daemon assigns a place: only that daemon can give it to another sender.
func (l *link) ownsPlace(place uint32) bool {
	n, all := len(l.state.links), int(l.state.senders)
	p := int(place) - 1
	return p >= l.index*all/n && p < (l.index+1)*all/n
}

// handle applies a message after the welcome.
func (l *link) handle(m *controlv1.ToSender) error {
	s := l.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived = s.now()
	switch k := m.Kind.(type) {
	case *controlv1.ToSender_Beat:
	case *controlv1.ToSender_List:
		return s.updateInstances(k.List)
	case *controlv1.ToSender_Settings:
		return s.applySettings(l.index, k.Settings, false)
	case *controlv1.ToSender_Cordons:
		l.setCordons(k.Cordons)
	case *controlv1.ToSender_Grant:
		if k.Grant == nil {
			return errors.New("empty grant")
		}
		s.leases.Lock()
		h, ok := s.holder.Granted(s.now(), l.index, k.Grant.Epoch, lease.Grant{
			Seq: k.Grant.Seq, ID: k.Grant.Lease, Valid: time.Duration(k.Grant.ValidMs) * time.Millisecond, RetryAfter: time.Duration(k.Grant.AgainMs) * time.Millisecond,
		})
		if ok {
			s.unspent[h] = true
			// The picker sends nothing with an expired lease. Returning it frees its budget for other senders before
			// the lease expires by the granter's clock.
			time.AfterFunc(time.Until(s.start.Add(h.Until))+time.Millisecond, func() { s.leaseExpired(h) })
		}
		s.leases.Unlock()
		if ok && s.started {
			go s.balancer.loop.AddLease(dispatch.Lease{
				Instance: h.Instance, Process: h.Process, Work: h.Work, Until: s.start.Add(h.Until), Ref: h,
			})
		}
	default:
		return fmt.Errorf("unknown kind of message %T", m.Kind)
	}
	return nil
}

var workerStates = map[controlv1.State]decide.WorkerState{
	controlv1.State_STATE_READY: decide.Ready, controlv1.State_STATE_DRAINING: decide.Draining, controlv1.State_STATE_GONE: decide.Gone,
}

// updateInstances applies an update of the instance list, from whichever daemon sends it first.
func (s *controlState) updateInstances(l *controlv1.List) error {
	if l == nil || len(l.Members) > maxInstances {
		return errors.New("instance list missing or too long")
	}
	for _, m := range l.Members {
		if m == nil || m.Id == "" {
			return errors.New("instance list has a member without an id")
		}
		if _, ok := workerStates[m.State]; !ok {
			return fmt.Errorf("member %q has the unknown state %v", m.Id, m.State)
		}
	}
	if s.started && l.Revision <= s.revision {
		return nil // already received from another daemon
	}
	if l.Complete {
		clear(s.instances)
	}
	s.revision = l.Revision
	update := dispatch.InstanceUpdate{Revision: l.Revision, Complete: l.Complete}
	f := s.balancer.fleet
	f.mu.Lock()
	if l.Complete {
		for _, in := range f.instances {
			in.state = decide.Gone
		}
	}
	for _, m := range l.Members {
		if s.instances[m.Id] = m; m.State == controlv1.State_STATE_GONE {
			delete(s.instances, m.Id)
		}
		f.instances[m.Id] = &instance{address: m.Address, state: workerStates[m.State]}
		line := dispatch.Instance{ID: m.Id, Address: m.Address, GRPC: m.Address, Zone: m.Zone, Kind: m.Kind, Cell: int(m.Cell), State: workerStates[m.State], Size: m.Size}
		if m.StartedUs > 0 {
			line.Started = time.UnixMicro(m.StartedUs)
		}
		if m.Address != "" {
			update.Instances = append(update.Instances, line)
		}
	}
	for id, in := range f.instances {
		if in.state == decide.Gone && s.instances[id] == nil {
			delete(f.instances, id)
		}
	}
	f.mu.Unlock()
	s.startLoop()
	s.balancer.loop.UpdateInstances(update, false)
	for _, f := range s.watchers {
		go f()
	}
	return nil
}

// startLoop starts the loop once the first list and settings have been received.
func (s *controlState) startLoop() {
	if s.started {
		return
	}
	s.started = true
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.balancer.ended
		cancel()
	}()
	go s.balancer.loop.Run(ctx)
	close(s.balancer.ready)
}

// setCordons applies the cordons of one daemon. An instance is excluded while any daemon lists it: a daemon that
// did not get the operator's order must not undo it.
func (l *link) setCordons(c *controlv1.Cordons) {
	if c == nil {
		return
	}
	s := l.state
	f := s.balancer.fleet
	l.cordons = c.Ids
	next := map[string]bool{}
	for _, k := range s.links {
		for _, id := range k.cordons {
			next[id] = true
		}
	}
	f.mu.Lock()
	before := f.cordoned
	f.cordoned = next
	f.mu.Unlock()
	for id := range before {
		if !next[id] {
			s.balancer.loop.Cordon(id, false)
		}
	}
	for id := range next {
		if !before[id] {
			s.balancer.loop.Cordon(id, true)
		}
	}
}

// applySettings applies settings that differ from the present ones. While daemons disagree, the settings received
// last win.
func (s *controlState) applySettings(from int, next *controlv1.Settings, force bool) error {
	if next == nil {
		return errors.New("settings missing")
	}
	same := s.settings != nil && string(s.settings.Document) == string(next.Document)
	if same && s.settings.Living == next.Living && !force {
		return nil
	}
	if !same {
		parsed, names, err := wire.ParseSettings(next.Document)
		if err != nil {
			return err
		}
		s.parsed, s.names = parsed, names
	}
	s.settings, s.settingsFrom = next, from
	return s.reconfigure()
}

// reconfigure gives the loop its settings, derived from the daemons' settings, the place and the sender counts.
func (s *controlState) reconfigure() error {
	d := s.parsed
	d.Seed = s.balancer.boot
	// An approximate index, drawn from the boot number, spreads the senders' preferences over the encoders.
	d.DispatcherCount = int(max(2, s.settings.Living))
	d.DispatcherIndex = int(s.balancer.boot % uint64(d.DispatcherCount))
	d.Leasing = decide.Leasing{Enabled: true, Turn: int(s.place) - 1, Turns: int(max(1, s.senders)), Share: lease.TurnsShare}
	// A call reports no progress; its header, where encoders send one early, marks its start. No load reports
	// reach this process.
	d.ProgressInterval, d.ReportsFreeSlots, d.Limits.PeerMessages, d.Limits.Probes = 0, false, false, false
	d.Subscribe = false // the daemons send updates
	d.Limits.ConnIdle = time.Hour
	if d.Limits.ConnectTimeout <= 0 {
		d.Limits.ConnectTimeout = time.Second
	}
	if !s.started && s.balancer.loop == nil {
		loop, err := dispatch.New(d, s.names, s.balancer.fleet, s, dispatch.NoOtherProcess{}, s.balancer.log)
		if err != nil {
			return err
		}
		loop.SetLeaser(s)
		s.balancer.loop = loop
		return nil
	}
	if s.started {
		names := s.names
		go func() { // waits for the loop, which may be requesting a lease
			if err := s.balancer.loop.Reconfigure(d, names); err != nil {
				s.balancer.log.Error("settings not applied", "err", err)
			}
		}()
	}
	return nil
}

// expirePlace clears this sender's number when no daemon has sent a message for lease.KeepFor: it may be assigned to another
// sender after that.
func (s *controlState) expirePlace(ctx context.Context) {
	for tick := time.NewTicker(placeCheckInterval); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
		s.mu.Lock()
		if s.place > 0 && s.now()-s.lastReceived > lease.KeepFor {
			s.place = 0
			if err := s.reconfigure(); err != nil {
				s.balancer.log.Error("settings not applied", "err", err)
			}
		}
		s.mu.Unlock()
	}
}

// Request asks a daemon for a lease.
func (s *controlState) Request(instance string, process int64, work float64) {
	s.leases.Lock()
	defer s.leases.Unlock()
	us := uint64(math.Ceil(work * 1e6))
	k, w, ok := s.holder.Ask(s.now(), instance, process, float64(us)/1e6)
	if !ok {
		return
	}
	s.links[k].send(&controlv1.FromSender{Kind: &controlv1.FromSender_Want{Want: &controlv1.Want{
		Seq: w.Seq, Instance: instance, StartedUs: process, WorkUs: us,
	}}})
}

// Spent reports a used lease to the daemon that granted it.
func (s *controlState) Spent(l dispatch.Lease) {
	h, ok := l.Ref.(lease.HeldLease)
	if !ok {
		return
	}
	s.leases.Lock()
	defer s.leases.Unlock()
	s.returnLease(h, true)
}

// leaseExpired returns a lease that expired unspent.
func (s *controlState) leaseExpired(h lease.HeldLease) {
	s.leases.Lock()
	defer s.leases.Unlock()
	s.returnLease(h, false)
}

// returnLease reports the end of a lease, once, to the daemon that granted it.
func (s *controlState) returnLease(h lease.HeldLease, spent bool) {
	if !s.unspent[h] {
		return
	}
	delete(s.unspent, h)
	if k := s.links[h.Granter]; k.epoch == h.Epoch {
		k.send(&controlv1.FromSender{Kind: &controlv1.FromSender_Done{Done: &controlv1.Done{Epoch: h.Epoch, Lease: h.ID, Spent: spent}}})
	}
}

// send queues a message, or drops it if the queue is full: a lost request or return only delays further grants.
func (l *link) send(m *controlv1.FromSender) {
	if l.queue != nil {
		select {
		case l.queue <- m:
		default:
		}
	}
}

// Subscribe does nothing: daemons send the instance list without a subscription.
func (s *controlState) Subscribe() {}
