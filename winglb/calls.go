package winglb

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"caperrelay/internal/dispatch"
)

// Domain and reasons of the ErrorInfo in statuses that the balancer itself gives.
const (
	Domain = "winglb"
	// ReasonRefused: turned away; it never ran, or may run again at will. RetryInfo says when to come back,
	// where there is advice.
	ReasonRefused = "REFUSED"
	// ReasonFailed: it may have run, and cannot be sent again.
	ReasonFailed = "FAILED"
	// ReasonUnusable: the class is unknown, or the id is in hand.
	ReasonUnusable = "UNUSABLE"
)

type jobKey struct{}

// WithJob says what calls with the context are about.
func WithJob(ctx context.Context, j Job) context.Context { return context.WithValue(ctx, jobKey{}, j) }

// jobOption carries a Job as a call option.
type jobOption struct {
	grpc.EmptyCallOption
	job Job
}

// CallJob says what one call is about; it wins over the context's.
func CallJob(j Job) grpc.CallOption { return jobOption{job: j} }

// jobOf is what a call is about, with what the configuration says for those that do not.
func (b *Balancer) jobOf(ctx context.Context, method string, options []grpc.CallOption) Job {
	j, _ := ctx.Value(jobKey{}).(Job)
	for _, o := range options {
		if o, ok := o.(jobOption); ok {
			j = o.job
		}
	}
	if j.Class == "" {
		if j.Class = b.config.Classes[method]; j.Class == "" {
			j.Class = b.config.Class
		}
	}
	if j.Tenant == "" {
		j.Tenant = b.config.Tenant
	}
	if j.ID == "" {
		j.ID = fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
	}
	return j
}

// unary takes a call as a command and waits for its one answer.
func (b *Balancer) unary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	c := &call{
		balancer: b, ctx: ctx, method: method, request: req, reply: reply, cc: cc, invoke: invoke, options: options,
		answer: make(chan dispatch.Answer, 1),
	}
	err := b.dispatch(ctx, c)
	c.finish(err)
	return err
}

func (b *Balancer) dispatch(ctx context.Context, c *call) error {
	cc := c.cc
	cc.Connect() // has the resolver begin
	select {
	case <-b.ready:
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-b.ended:
		return status.Error(codes.Canceled, errClosed.Error())
	}
	j := b.jobOf(ctx, c.method, c.options)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(b.control.deadline(j.Class))
	}
	cmd := &dispatch.Command{
		ID: j.ID, Class: j.Class, Tenant: j.Tenant, Key: keyNumber(j.Key), Work: j.Work, Slots: j.Slots, Retry: j.Repeat,
		Deadline: deadline, Payload: c, Client: c,
	}
	b.loop.Submit(cmd)
	select {
	case a := <-c.answer:
		return c.finalStatus(a)
	case <-ctx.Done():
		b.loop.ClientGone(cmd)
		select { // it may have been answered in time after all
		case a := <-c.answer:
			if a.Verdict == dispatch.Served {
				return c.finalStatus(a)
			}
		default:
		}
		return status.FromContextError(ctx.Err()).Err()
	case <-b.ended:
		return status.Error(codes.Canceled, errClosed.Error())
	}
}

// finalStatus makes the caller's status of an answer.
func (c *call) finalStatus(a dispatch.Answer) error {
	switch a.Verdict {
	case dispatch.Served:
		return c.deliver(a.Value.(*result))
	case dispatch.Refused:
		if err := c.lastError(); err != nil && a.RetryAfter == 0 {
			return err // an encoder has said why
		}
		s := status.New(codes.ResourceExhausted, "refused: trying again is harmless")
		info := &errdetails.ErrorInfo{Domain: Domain, Reason: ReasonRefused}
		if a.RetryAfter <= 0 {
			return withDetails(s, info)
		}
		return withDetails(s, info, &errdetails.RetryInfo{RetryDelay: durationpb.New(a.RetryAfter)})
	case dispatch.Unusable:
		if err := c.lastError(); err != nil {
			return err
		}
		return withDetails(status.New(codes.InvalidArgument, "the class is unknown, or the id is in hand"), &errdetails.ErrorInfo{Domain: Domain, Reason: ReasonUnusable})
	}
	if err := c.lastError(); err != nil {
		return err
	}
	return withDetails(status.New(codes.Aborted, "failed: it may have run"), &errdetails.ErrorInfo{Domain: Domain, Reason: ReasonFailed})
}

func withDetails(s *status.Status, info *errdetails.ErrorInfo, more ...*errdetails.RetryInfo) error {
	with, err := s.WithDetails(info)
	for _, m := range more {
		if err == nil {
			with, err = with.WithDetails(m)
		}
	}
	if err != nil {
		return s.Err()
	}
	return with.Err()
}

// stream refuses: what a stream has sent cannot be sent again, and no class says how far it got.
func (b *Balancer) stream(_ context.Context, _ *grpc.StreamDesc, _ *grpc.ClientConn, method string, _ grpc.Streamer, _ ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Errorf(codes.Unimplemented, "winglb: %s is a stream; only unary calls are balanced", method)
}
