// Package control is the daemon's side of the stream between daemons and plug-ins. It sends them the instance
// list, settings and cordons, assigns places, and grants leases on this daemon's part of the budget for cold
// encoders. The daemon's own attempts need the same leases.
package control

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/bits"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	controlv1 "caperrelay/proto/winglb/control/v1"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/lease"
	"caperrelay/internal/net/sock"
)

// Version of the protocol.
const Version = 1

const (
	maxNameBytes    = 128     // of a sender's name
	maxIDBytes      = 256     // of an instance's ID
	maxMessageBytes = 1 << 20 // of a message from a sender
	senderQueueSize = 512     // queued messages; a sender that falls further behind is disconnected
	hourUs          = 3600e6
)

// Options of a server.
type Options struct {
	Listen  string
	Daemon  int // number of this daemon, from 0
	Daemons int // number of daemons in the configuration
	Senders int // maximum number of senders at one time
	Silence time.Duration
	Life    time.Duration // duration of a lease
	// Slots of a warm encoder by kind; "" stands for all other kinds.
	Slots map[string]float64
	TLS   credentials.TransportCredentials // nil: plain text
	// RegisterMore registers other services at the same address; nil: none.
	RegisterMore func(grpc.ServiceRegistrar)
	// New marks a new deployment without earlier senders: places are assigned without a waiting time.
	New bool
}

// Core receives the daemon's own leases.
type Core interface{ AddLease(dispatch.Lease) }

// Server is the control service of a daemon.
type Server struct {
	controlv1.UnimplementedControlServer
	options Options
	core    Core
	log     *slog.Logger
	start   time.Time
	epoch   uint64

	mu           sync.Mutex
	address      string       // set by the first Open
	grpc         *grpc.Server // nil: not listening
	granter      *lease.Granter
	places       *lease.Places
	instances    dispatch.InstanceList
	settings     *controlv1.Settings
	cordons      []string
	uncordonedAt map[string]time.Duration // when an operator lifted a cordon, by instance
	senders      map[*sender]struct{}
	retryAt      map[string]time.Duration // when the daemon may request a lease again, by instance
	refused      atomic.Int64
}

type sender struct {
	key        string // name and boot number
	out        chan *controlv1.ToSender
	overflowed chan struct{} // closed when the queue is full
	once       sync.Once
}

// New returns a server. SetSettings and Open have to be called before it serves.
func New(o Options, s decide.Settings, core Core, logger *slog.Logger) (*Server, error) {
	if o.Daemons < 1 || o.Daemon < 0 || o.Daemon >= o.Daemons || o.Senders < o.Daemons || o.Silence <= 0 || o.Life <= 0 {
		return nil, fmt.Errorf("control: invalid options: daemon %d of %d, %d senders, silence %v, life %v", o.Daemon, o.Daemons, o.Senders, o.Silence, o.Life)
	}
	c := &Server{
		options: o, core: core, log: logger, start: time.Now(), epoch: uint64(time.Now().UnixNano()), senders: map[*sender]struct{}{}, uncordonedAt: map[string]time.Duration{},
		retryAt: map[string]time.Duration{}, settings: &controlv1.Settings{},
	}
	c.granter = lease.NewGranter(c.terms(s), 0)
	c.places = lease.NewPlaces(o.Daemon, o.Daemons, o.Senders, 0)
	if o.New {
		c.places.SkipWait()
	}
	return c, nil
}

// Open listens and serves. After a Close it may be called again; it grants no leases for a while then, as after
// the start.
func (c *Server) Open() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.grpc != nil {
		return nil
	}
	at := c.options.Listen
	if c.address != "" {
		at = c.address
		c.granter.Suspend(c.now())
	}
	// In a handover, both processes listen at the address for a moment.
	l, err := sock.Listen(at)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	receiving := &receivingCalls{}
	options := []grpc.ServerOption{
		grpc.InTapHandle(receiving.tap), grpc.StatsHandler(receiving),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(c.maxStreams()), grpc.ConnectionTimeout(5 * time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	}
	if c.options.TLS != nil {
		options = append(options, grpc.Creds(c.options.TLS))
	}
	c.address, c.grpc = l.Addr().String(), grpc.NewServer(options...)
	controlv1.RegisterControlServer(c.grpc, c)
	if c.options.RegisterMore != nil {
		c.options.RegisterMore(c.grpc)
	}
	go c.grpc.Serve(l)
	return nil
}

// maxStreams returns the limit of concurrent streams on a connection.
func (c *Server) maxStreams() uint32 {
	if c.options.RegisterMore != nil {
		return 256 // each waiting call takes one
	}
	return 4
}

func (c *Server) terms(s decide.Settings) lease.Terms {
	return lease.Terms{
		Life: c.options.Life, Window: s.Rules.FallWindow, Multiple: s.Rules.FallMultiple,
		ColdFrom: s.Rules.ColdFrom, Cold: s.Rules.Cold, Granters: c.options.Daemons,
	}
}

// Address returns the present or last listening address.
func (c *Server) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

// Close ends all streams without waiting for them.
func (c *Server) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.grpc != nil {
		go c.grpc.Stop()
		c.grpc = nil
	}
}

// now returns the time since the start, by the monotonic clock.
func (c *Server) now() time.Duration { return time.Since(c.start) }

// SetSettings gives new settings to the senders and the granter. document is the text of the settings.
func (c *Server) SetSettings(s decide.Settings, document []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.granter.SetTerms(c.now(), c.terms(s))
	c.settings = &controlv1.Settings{Revision: c.settings.Revision + 1, Document: document, Living: c.senderCount()}
	c.updateEncoders()
	c.broadcast(&controlv1.ToSender{Kind: &controlv1.ToSender_Settings{Settings: c.settings}})
}

// senderCount returns the number of senders, daemons included, rounded up to a power of two, since each change of
// the value makes all senders reconfigure.
func (c *Server) senderCount() uint32 {
	return 1 << bits.Len(uint(max(1, len(c.senders)+c.options.Daemons)-1))
}

// Listed applies an update of the instance list.
func (c *Server) Listed(l dispatch.InstanceUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances.Update(l)
	c.updateEncoders()
	c.broadcast(&controlv1.ToSender{Kind: &controlv1.ToSender_List{List: listMessage(l)}})
}

// updateEncoders passes the ready encoders to the granter, except those without a start time that were not uncordoned.
func (c *Server) updateEncoders() {
	now := c.now()
	var members []lease.Encoder
	for _, m := range c.instances.Snapshot().Instances {
		at, uncordoned := c.uncordonedAt[m.ID]
		if m.Started.IsZero() && !uncordoned || m.State != decide.Ready {
			continue
		}
		process, started := int64(0), at
		if !m.Started.IsZero() {
			process, started = m.Started.UnixMicro(), min(now, m.Started.Sub(c.start)) // capped at now, in case the system clock stepped
		}
		if uncordoned {
			started = max(started, at)
		}
		slots, ok := c.options.Slots[m.Kind]
		if !ok {
			slots = c.options.Slots[""]
		}
		if m.Size > 0 {
			slots *= m.Size
		}
		members = append(members, lease.Encoder{
			ID: m.ID, Process: process, Started: started, Slots: slots, AnyProcess: uncordoned,
		})
	}
	c.granter.SetEncoders(now, members)
}

// Cordoned sets the list of all cordoned instances.
func (c *Server) Cordoned(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for id, at := range c.uncordonedAt { // uncordoned long enough ago that the encoder is warm again
		if now-at > time.Hour {
			delete(c.uncordonedAt, id)
		}
	}
	for _, id := range c.cordons {
		if !slices.Contains(ids, id) {
			c.uncordonedAt[id] = now
		}
	}
	c.cordons = slices.Clone(ids)
	c.updateEncoders()
	c.broadcast(&controlv1.ToSender{Kind: &controlv1.ToSender_Cordons{Cordons: &controlv1.Cordons{Ids: c.cordons}}})
}

func (c *Server) broadcast(m *controlv1.ToSender) {
	for s := range c.senders {
		s.send(m)
	}
}

// send queues a message; if the queue is full, the sender is disconnected and has to attach again.
func (s *sender) send(m *controlv1.ToSender) {
	select {
	case s.out <- m:
	default:
		s.once.Do(func() { close(s.overflowed) })
	}
}

var protocolStates = map[decide.WorkerState]controlv1.State{
	decide.Ready: controlv1.State_STATE_READY, decide.Draining: controlv1.State_STATE_DRAINING, decide.Gone: controlv1.State_STATE_GONE,
}

func listMessage(l dispatch.InstanceUpdate) *controlv1.List {
	out := &controlv1.List{Revision: l.Revision, Complete: l.Complete}
	for _, m := range l.Instances {
		t := &controlv1.Member{Id: m.ID, Address: m.GRPC, Zone: m.Zone, Kind: m.Kind, Cell: int32(m.Cell), State: protocolStates[m.State], Size: m.Size}
		if !m.Started.IsZero() {
			t.StartedUs = m.Started.UnixMicro()
		}
		out.Members = append(out.Members, t)
	}
	return out
}

// join registers a sender and sends it the welcome.
func (c *Server) join(h *controlv1.Hello) (*sender, error) {
	switch {
	case h == nil:
		return nil, status.Error(codes.InvalidArgument, "the first message must be a hello")
	case h.Version != Version:
		return nil, status.Errorf(codes.FailedPrecondition, "version %d of the protocol is not spoken here, %d is", h.Version, Version)
	case h.Name == "" || len(h.Name) > maxNameBytes || h.Boot == 0 || h.Place > uint32(c.options.Senders):
		return nil, status.Error(codes.InvalidArgument, "hello: a name, a process and a place are needed")
	}
	s := &sender{key: h.Name + "/" + strconv.FormatUint(h.Boot, 16), out: make(chan *controlv1.ToSender, senderQueueSize), overflowed: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.senders) >= 2*c.options.Senders { // ended streams may not be removed yet
		return nil, status.Error(codes.ResourceExhausted, "as many senders are attached as may be")
	}
	place := c.places.Take(c.now(), s.key, int(h.Place)-1)
	c.senders[s] = struct{}{}
	if c.settings.Living != c.senderCount() {
		c.updateSenderCount(s) // the sender itself gets the settings with its welcome
	}
	s.send(&controlv1.ToSender{Kind: &controlv1.ToSender_Welcome{Welcome: &controlv1.Welcome{
		Place: uint32(place + 1), Senders: uint32(c.options.Senders), SilenceMs: uint32(c.options.Silence.Milliseconds()),
		Settings: c.settings, List: listMessage(c.instances.Snapshot()), Cordons: &controlv1.Cordons{Ids: c.cordons}, Epoch: c.epoch,
	}}})
	return s, nil
}

// updateSenderCount sends the sender count to all senders except one.
func (c *Server) updateSenderCount(but *sender) {
	c.settings = &controlv1.Settings{Revision: c.settings.Revision + 1, Document: c.settings.Document, Living: c.senderCount()}
	for s := range c.senders {
		if s != but {
			s.send(&controlv1.ToSender{Kind: &controlv1.ToSender_Settings{Settings: c.settings}})
		}
	}
}

func (c *Server) leave(s *sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.senders, s)
	c.places.Disconnected(c.now(), s.key)
	if c.settings.Living != c.senderCount() {
		c.updateSenderCount(nil)
	}
}

// Attach serves the stream of one sender. This goroutine writes; another one reads.
func (c *Server) Attach(stream grpc.BidiStreamingServer[controlv1.FromSender, controlv1.ToSender]) error {
	joined, ended := make(chan *sender, 1), make(chan error, 1)
	var lastReceived atomic.Int64
	lastReceived.Store(int64(c.now()))
	go func() {
		var s *sender
		for {
			m, err := stream.Recv()
			if err == nil {
				lastReceived.Store(int64(c.now()))
				if s == nil {
					if s, err = c.join(m.GetHello()); err == nil {
						joined <- s
					}
				} else {
					err = c.handle(s, m)
				}
			}
			if err != nil {
				ended <- err
				return
			}
		}
	}()
	var s *sender
	var out chan *controlv1.ToSender
	var slow chan struct{}
	beat := time.NewTicker(c.options.Silence / 4)
	defer beat.Stop()
	defer func() {
		if s == nil { // the reader may have joined it just now
			select {
			case s = <-joined:
			default:
				return
			}
		}
		c.leave(s)
	}()
	for {
		var m *controlv1.ToSender
		select {
		case s = <-joined:
			out, slow = s.out, s.overflowed
			c.log.Info("sender attached", "sender", s.key)
			continue
		case err := <-ended:
			if errors.Is(err, io.EOF) { // closed by the sender
				return nil
			}
			if code := status.Code(err); code == codes.InvalidArgument || code == codes.FailedPrecondition {
				c.refused.Add(1)
				c.log.Warn("sender refused", "err", err)
			}
			return err
		case m = <-out:
		case <-slow:
			return status.Error(codes.ResourceExhausted, "the sender does not read what it is told")
		case <-beat.C:
			if c.now()-time.Duration(lastReceived.Load()) > 2*c.options.Silence {
				return status.Error(codes.DeadlineExceeded, "the sender is silent")
			}
			m = &controlv1.ToSender{Kind: &controlv1.ToSender_Beat{Beat: &controlv1.Beat{}}}
		}
		if err := stream.Send(m); err != nil {
			return err
		}
	}
}

// handle processes a message of a sender that has joined.
func (c *Server) handle(s *sender, m *controlv1.FromSender) error {
	switch k := m.Kind.(type) {
	case *controlv1.FromSender_Beat:
	case *controlv1.FromSender_Want:
		w := k.Want
		if w == nil || w.Seq == 0 || w.Instance == "" || len(w.Instance) > maxIDBytes || w.WorkUs > hourUs {
			return status.Error(codes.InvalidArgument, "want: a number, an instance and its work are needed")
		}
		c.mu.Lock()
		g := c.granter.Ask(c.now(), s.key, lease.Request{Seq: w.Seq, Instance: w.Instance, Process: w.StartedUs, Work: float64(w.WorkUs) / 1e6})
		c.mu.Unlock()
		s.send(&controlv1.ToSender{Kind: &controlv1.ToSender_Grant{Grant: &controlv1.Grant{
			Seq: g.Seq, Epoch: c.epoch, Lease: g.ID, ValidMs: uint32(g.Valid.Milliseconds()), AgainMs: uint32(min(g.RetryAfter, time.Minute).Milliseconds()),
		}}})
	case *controlv1.FromSender_Done:
		if k.Done == nil {
			return status.Error(codes.InvalidArgument, "done: empty")
		}
		if k.Done.Epoch == c.epoch {
			c.mu.Lock()
			c.granter.Settle(c.now(), s.key, k.Done.Lease, k.Done.Spent)
			c.mu.Unlock()
		}
	case *controlv1.FromSender_Hello:
		return status.Error(codes.InvalidArgument, "a second hello")
	default:
		return status.Error(codes.InvalidArgument, "a message of no known kind")
	}
	return nil
}

// selfKey is the key of the daemon's own leases.
const selfKey = "daemon"

// Request requests a lease for the daemon itself.
func (c *Server) Request(instance string, process int64, work float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.retryAt[instance] > now {
		return
	}
	requested := time.Now()
	g := c.granter.Ask(now, selfKey, lease.Request{Instance: instance, Process: process, Work: work})
	if g.ID == 0 {
		if len(c.retryAt) > 4096 {
			clear(c.retryAt)
		}
		c.retryAt[instance] = now + min(g.RetryAfter, 2*time.Second)
		return
	}
	// In a goroutine: the loop is the caller, and must not wait for itself.
	until := requested.Add(g.Valid)
	go c.core.AddLease(dispatch.Lease{Instance: instance, Process: process, Work: work, Until: until, Ref: g.ID})
	time.AfterFunc(time.Until(until)+time.Millisecond, func() { // an expired lease is not used any more
		c.mu.Lock()
		defer c.mu.Unlock()
		c.granter.Settle(c.now(), selfKey, g.ID, false)
	})
}

// Spent records that the daemon has used a lease.
func (c *Server) Spent(l dispatch.Lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := l.Ref.(uint64); ok {
		c.granter.Settle(c.now(), selfKey, id, true)
	}
}

// Metric is a metric.
type Metric struct {
	Name  string
	Value int64
}

// Metrics returns the metrics of the control service.
func (c *Server) Metrics() []Metric {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.granter.Stats
	attached := map[string]bool{selfKey: true}
	for s := range c.senders {
		attached[s.key] = true
	}
	orphans := c.granter.Orphans(c.now(), func(key string) bool { return attached[key] })
	return []Metric{
		{"control.senders", int64(len(c.senders))}, {"control.refused", c.refused.Load()},
		{"control.leases_asked", int64(s.Asked)}, {"control.leases_granted", int64(s.Granted)}, {"control.leases_denied", int64(s.Denied)},
		{"control.leases_spent", int64(s.Spent)}, {"control.leases_returned", int64(s.Returned)}, {"control.leases_expired", int64(s.Expired)},
		{"control.leases_orphaned", int64(orphans)},
	}
}

var _ dispatch.Leaser = (*Server)(nil)
