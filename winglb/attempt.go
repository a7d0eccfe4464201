package winglb

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

// Metadata between plug-ins and encoders.
const (
	idKey          = "winglb-id"          // the job's, the same for all attempts
	senderKey      = "winglb-sender"      // who sends it
	unprocessedKey = "winglb-unprocessed" // trailer: "1" where the job was turned away and never ran
)

// attempt is one RPC to one encoder. grpc's goroutines note in it how far it came.
type attempt struct {
	fleet    *fleet
	dispatched       *dispatch.Attempt
	instance string
	cancel   context.CancelFunc

	picks   atomic.Int32 // by the picker, of a connection
	unsendable    atomic.Bool  // the picker found that it may not be sent any more
	sent     atomic.Bool  // its message has gone out: from here on it may run
	started   atomic.Bool  // the encoder's header came: the job runs
	endedByEncoder atomic.Bool  // the encoder itself ended it
	cancelled atomic.Bool
}

type attemptKey struct{}

// statsHandler hears from grpc how far attempts come.
type statsHandler struct{}

func (statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (statsHandler) HandleConn(context.Context, stats.ConnStats)                       {}
func (statsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	a, ok := ctx.Value(attemptKey{}).(*attempt)
	if !ok {
		return
	}
	switch s.(type) {
	case *stats.OutPayload:
		if !a.sent.Swap(true) {
			a.fleet.loop().AttemptSent(a.dispatched)
		}
	case *stats.InHeader:
		if !a.started.Swap(true) {
			a.fleet.loop().AttemptStarted(a.dispatched)
		}
	case *stats.InTrailer:
		a.endedByEncoder.Store(true)
	}
}

// outcome is what the end of an attempt says; docs/plugin.md has the table.
func (a *attempt) outcome(err error, trailer metadata.MD) decide.Outcome {
	turnedAway := false
	for _, v := range trailer.Get(unprocessedKey) {
		turnedAway = turnedAway || v == "1"
	}
	switch code := status.Code(err); {
	case err == nil:
		return decide.OK
	case turnedAway:
		return decide.Full
	case a.unsendable.Load(): // by the picker, of a drain or an ended lease; or grpc would have sent it again
		return decide.NotSent
	case !a.sent.Load():
		if a.cancelled.Load() {
			return decide.NotSent
		}
		return decide.ConnectFailed
	case a.endedByEncoder.Load() && code == codes.DeadlineExceeded:
		return decide.TimedOut
	case a.endedByEncoder.Load():
		return decide.Errored
	case code == codes.DeadlineExceeded || code == codes.Canceled:
		return decide.TimedOut
	}
	return decide.Reset
}

// isUnusable tells whether the encoder says that none could do the call as it stands.
func (a *attempt) isUnusable(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.Unimplemented, codes.Unauthenticated, codes.PermissionDenied, codes.OutOfRange, codes.NotFound, codes.AlreadyExists, codes.FailedPrecondition:
		return a.endedByEncoder.Load()
	}
	return false
}

// call is one call of the client's, a command of the loop.
type call struct {
	balancer *Balancer
	ctx      context.Context
	method   string
	request  any
	reply    any
	cc       *grpc.ClientConn
	invoke   grpc.UnaryInvoker
	options  []grpc.CallOption
	answer   chan dispatch.Answer

	mu   sync.Mutex
	encoderErr error // of the encoder that answered last
}

// result is what an attempt that was served brought.
type result struct {
	reply           any
	header, trailer metadata.MD
	peer            peer.Peer
}

func (c *call) Answer(a dispatch.Answer) { c.answer <- a }
func (c *call) HandOver(bool)            {}

// lastError is the status that an encoder itself gave last, nil if none has.
func (c *call) lastError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.encoderErr
}

// options apart: what grpc would write into variables of the caller's is written once, of the attempt
// that served.
func (c *call) attemptOptions() (rest []grpc.CallOption) {
	for _, o := range c.options {
		switch o.(type) {
		case grpc.HeaderCallOption, grpc.TrailerCallOption, grpc.PeerCallOption, grpc.OnFinishCallOption:
		default:
			rest = append(rest, o)
		}
	}
	return rest
}

// deliver hands the caller what an attempt brought.
func (c *call) deliver(r *result) error {
	for _, o := range c.options {
		switch o := o.(type) {
		case grpc.HeaderCallOption:
			*o.HeaderAddr = r.header
		case grpc.TrailerCallOption:
			*o.TrailerAddr = r.trailer
		case grpc.PeerCallOption:
			*o.PeerAddr = r.peer
		}
	}
	if to, ok := c.reply.(proto.Message); ok {
		proto.Reset(to)
		proto.Merge(to, r.reply.(proto.Message))
		return nil
	}
	to := reflect.ValueOf(c.reply)
	if to.Kind() != reflect.Pointer {
		return status.Error(codes.Internal, "winglb: the reply is no pointer")
	}
	to.Elem().Set(reflect.ValueOf(r.reply).Elem())
	return nil
}

// finish tells the caller's callbacks how the call ended.
func (c *call) finish(err error) {
	for _, o := range c.options {
		if f, ok := o.(grpc.OnFinishCallOption); ok {
			f.OnFinish(err)
		}
	}
}

// newReply is a reply of its own for an attempt: copies run beside each other.
func (c *call) newReply() any {
	if m, ok := c.reply.(proto.Message); ok {
		return m.ProtoReflect().New().Interface()
	}
	return reflect.New(reflect.TypeOf(c.reply).Elem()).Interface()
}

// run carries an attempt out, in a goroutine of its own.
func (a *attempt) run(ctx context.Context, c *call) {
	defer a.cancel()
	r := &result{reply: c.newReply()}
	options := append(c.attemptOptions(), grpc.Header(&r.header), grpc.Trailer(&r.trailer), grpc.Peer(&r.peer), grpc.WaitForReady(false))
	ctx = context.WithValue(ctx, attemptKey{}, a)
	ctx = metadata.AppendToOutgoingContext(ctx, idKey, a.dispatched.Command.ID, senderKey, c.balancer.config.Name)
	err := c.invoke(ctx, c.method, c.request, r.reply, c.cc, options...)
	a.fleet.remove(a)
	if a.cancelled.Load() {
		a.dispatched.CancelConfirmed()
	}
	o := a.outcome(err, r.trailer)
	if err != nil && a.endedByEncoder.Load() && o != decide.Full {
		c.mu.Lock()
		c.encoderErr = err
		c.mu.Unlock()
	}
	switch {
	case o == decide.OK:
		a.fleet.loop().AttemptServed(a.dispatched, r)
	case o == decide.Errored && a.isUnusable(err):
		a.fleet.loop().AttemptUnusable(a.dispatched)
	default:
		a.fleet.loop().AttemptEnded(a.dispatched, o, 0)
	}
}

var errClosed = errors.New("winglb: the balancer is closed")

// fleet is the way from the loop to the encoders.
type fleet struct {
	balancer *Balancer

	mu        sync.Mutex
	instances map[string]*instance
	cordoned  map[string]bool
	attempts       map[*dispatch.Attempt]*attempt
}

// instance is an encoder as daemons tell it.
type instance struct {
	address string
	state   decide.WorkerState
}

func newFleet(b *Balancer) *fleet {
	return &fleet{balancer: b, instances: map[string]*instance{}, cordoned: map[string]bool{}, attempts: map[*dispatch.Attempt]*attempt{}}
}

func (f *fleet) loop() *dispatch.Loop { return f.balancer.loop }

// Send starts an attempt.
func (f *fleet) Send(d *dispatch.Attempt) {
	c := d.Command.Payload.(*call)
	ctx, cancel := context.WithDeadline(c.ctx, d.Deadline)
	a := &attempt{fleet: f, dispatched: d, instance: d.Instance, cancel: cancel}
	f.mu.Lock()
	f.attempts[d] = a
	f.mu.Unlock()
	go a.run(ctx, c)
}

// Cancel ends an attempt: its stream is reset, on the connection that a later attempt would use too.
func (f *fleet) Cancel(d *dispatch.Attempt) {
	f.mu.Lock()
	a := f.attempts[d]
	f.mu.Unlock()
	if a == nil {
		d.CancelConfirmed()
		return
	}
	a.cancelled.Store(true)
	a.cancel()
}

func (f *fleet) remove(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, a.dispatched)
}

// Probe says that a connection can be had; encoders that speak gRPC have no other probe.
func (f *fleet) Probe(id string) {
	o := decide.ConnectFailed
	if f.accepts(id) {
		o = decide.OK
	}
	go f.loop().ProbeEnded(id, o, nil)
}

// CloseIdle does nothing: an encoder's one connection carries all calls.
func (f *fleet) CloseIdle(string) {}

// accepts tells whether an instance may be sent new work now.
func (f *fleet) accepts(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.instances[id]
	return in != nil && in.state == decide.Ready && in.address != "" && !f.cordoned[id]
}

// maySend tells whether an attempt may be sent now: asked as late as possible.
func (a *attempt) maySend(now time.Time) bool {
	return a.fleet.accepts(a.instance) && !a.dispatched.Expired(now)
}

var _ dispatch.Fleet = (*fleet)(nil)
