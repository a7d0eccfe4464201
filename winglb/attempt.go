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

// Metadata keys between plug-ins and encoders.
const (
	idKey          = "winglb-id"          // ID of the job, the same for all attempts
	senderKey      = "winglb-sender"      // name of the client
	unprocessedKey = "winglb-unprocessed" // trailer: "1" if the job was refused and never ran
)

// attempt is one RPC to one encoder. grpc's goroutines record its progress in it.
type attempt struct {
	fleet      *fleet
	dispatched *dispatch.Attempt
	instance   string
	cancel     context.CancelFunc

	picks          atomic.Int32 // times that the picker returned a connection
	unsendable     atomic.Bool  // the picker refused it: it may no longer be sent
	sent           atomic.Bool  // the request has been sent, so the job may run
	started        atomic.Bool  // the response header has arrived: the job runs
	endedByEncoder atomic.Bool  // the trailer has arrived
	cancelled      atomic.Bool
}

type attemptKey struct{}

// statsHandler records the progress of attempts from grpc's events.
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

// outcome classifies the end of an attempt; docs/plugin.md has the table.
func (a *attempt) outcome(err error, trailer metadata.MD) decide.Outcome {
	refused := false
	for _, v := range trailer.Get(unprocessedKey) {
		refused = refused || v == "1"
	}
	switch code := status.Code(err); {
	case err == nil:
		return decide.OK
	case refused:
		return decide.Full
	case a.unsendable.Load(): // drain, expired lease, or a transparent retry by grpc, stopped by the picker
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

// isUnusable reports whether the encoder's status means that no encoder can serve the call.
func (a *attempt) isUnusable(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.Unimplemented, codes.Unauthenticated, codes.PermissionDenied, codes.OutOfRange, codes.NotFound, codes.AlreadyExists, codes.FailedPrecondition:
		return a.endedByEncoder.Load()
	}
	return false
}

// call is a unary call of the client; the loop holds it as the payload of a command.
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

	mu         sync.Mutex
	encoderErr error // last status from an encoder
}

// result is the response of a successful attempt.
type result struct {
	reply           any
	header, trailer metadata.MD
	peer            peer.Peer
}

func (c *call) Answer(a dispatch.Answer) { c.answer <- a }
func (c *call) HandOver(bool)            {}

// lastError returns the last status from an encoder, nil if none has sent one.
func (c *call) lastError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.encoderErr
}

// attemptOptions returns the call options without those by which grpc writes into variables of the caller:
// deliver writes these once, from the successful attempt.
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

// deliver copies the response of an attempt to the caller's variables.
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

// finish runs the caller's OnFinish callbacks.
func (c *call) finish(err error) {
	for _, o := range c.options {
		if f, ok := o.(grpc.OnFinishCallOption); ok {
			f.OnFinish(err)
		}
	}
}

// newReply allocates a reply for one attempt: hedged attempts run concurrently.
func (c *call) newReply() any {
	if m, ok := c.reply.(proto.Message); ok {
		return m.ProtoReflect().New().Interface()
	}
	return reflect.New(reflect.TypeOf(c.reply).Elem()).Interface()
}

// run performs the RPC of an attempt, in its own goroutine.
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

// fleet sends the loop's attempts to encoders.
type fleet struct {
	balancer *Balancer

	mu        sync.Mutex
	instances map[string]*instance
	cordoned  map[string]bool
	attempts  map[*dispatch.Attempt]*attempt
}

// instance is an encoder as the daemons list it.
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

// Cancel ends an attempt by resetting its stream; the connection stays open for later attempts.
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

// Probe reports OK if the instance accepts new work: gRPC encoders have no probe request.
func (f *fleet) Probe(id string) {
	o := decide.ConnectFailed
	if f.accepts(id) {
		o = decide.OK
	}
	go f.loop().ProbeEnded(id, o, nil)
}

// CloseIdle does nothing: all calls to an encoder share one connection.
func (f *fleet) CloseIdle(string) {}

// accepts reports whether an instance may get new work now.
func (f *fleet) accepts(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.instances[id]
	return in != nil && in.state == decide.Ready && in.address != "" && !f.cordoned[id]
}

// maySend reports whether an attempt may be sent now. The picker calls it just before sending.
func (a *attempt) maySend(now time.Time) bool {
	return a.fleet.accepts(a.instance) && !a.dispatched.Expired(now)
}

var _ dispatch.Fleet = (*fleet)(nil)
