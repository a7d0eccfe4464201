package winglb

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	promisev1 "caperrelay/proto/winglb/promise/v1"
)

const (
	initialTimeout    = 400 * time.Millisecond // for the first daemon, which may hang, before the next is tried
	maxPromiseTimeout = 2 * time.Second        // upper limit of that timeout: a group may be without an owner for as long
	daemonWait        = 5 * time.Second        // how long a daemon may wait before it answers Await
	retryPause        = 20 * time.Millisecond
)

// Promised is a job that is submitted to be kept until it is done.
type Promised struct {
	Job // ID identifies the promise: submitting the same ID again is idempotent. Repeat is not used.
	// Payload is the request body for encoders and Target its URI; empty: /api.
	Payload []byte
	Target  string
	// Within is how long after the receipt the job may still be started, Keep how long its end is kept. 0: the daemons'
	// settings.
	Within, Keep time.Duration
	// Order lists the only encoders that may get the job, in order of preference; empty: the class decides.
	Order []string
}

// Receipt confirms that a majority of machines has stored a job on disk.
type Receipt struct {
	ID        string
	Group     uint32
	Index     uint64
	At, Until time.Time
}

// EndKind is the kind of a promise's end.
type EndKind int

// Kinds of outcomes.
const (
	EndDone    EndKind = iota + 1
	EndFailed          // it may have run
	EndRefused         // it never ran
)

// End is the final outcome of a promise, which has exactly one.
type End struct {
	Kind     EndKind
	Reason   string
	Result   []byte
	Instance string // that did the job
	At       time.Time
}

// Promises submits promised jobs to whichever daemon answers. It is safe for use by several goroutines.
type Promises struct {
	conns   []*grpc.ClientConn
	current atomic.Uint64 // counter, advanced on failures; modulo len(conns) it is the daemon to call next
}

// NewPromises returns a client of the daemons; it uses Daemons and TLS of the configuration. It must be closed.
func NewPromises(c Config) (*Promises, error) {
	if len(c.Daemons) == 0 {
		return nil, errors.New("winglb: Daemons: at least one control address is needed")
	}
	creds := insecure.NewCredentials()
	if c.TLS != nil {
		creds = credentials.NewTLS(c.TLS)
	}
	p := &Promises{}
	for _, a := range c.Daemons {
		conn, err := grpc.NewClient("passthrough:///"+a, grpc.WithTransportCredentials(creds), grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}, MinConnectTimeout: time.Second,
		}))
		if err != nil {
			p.Close()
			return nil, fmt.Errorf("winglb: %w", err)
		}
		p.conns = append(p.conns, conn)
	}
	return p, nil
}

// Close closes the connections.
func (p *Promises) Close() {
	for _, c := range p.conns {
		c.Close()
	}
}

// untilAnswered calls f at one daemon after another, with a growing time limit, until one answers, the context ends or
// an error comes that every daemon would return.
func (p *Promises) untilAnswered(ctx context.Context, within, most time.Duration, f func(context.Context, promisev1.PromisesClient) error) error {
	for ; ; within = min(2*within, most) {
		at := p.current.Load()
		try, cancel := context.WithTimeout(ctx, within)
		err := f(try, promisev1.NewPromisesClient(p.conns[at%uint64(len(p.conns))]))
		cancel()
		switch status.Code(err) {
		case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled, codes.Unimplemented:
		default:
			return err
		}
		if ctx.Err() != nil {
			return err
		}
		p.current.CompareAndSwap(at, at+1)
		timer := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}

// Promise submits a job. Without an error the job is promised: it will have exactly one end, even if a machine is
// lost. After an error it may be promised as well, unless the status is InvalidArgument, AlreadyExists (the ID belongs
// to another job) or ResourceExhausted: repeating the call finds out. Without a deadline it retries indefinitely.
func (p *Promises) Promise(ctx context.Context, j Promised) (Receipt, error) {
	q := &promisev1.PromiseRequest{Id: j.ID, Job: &promisev1.Job{
		Class: j.Class, Tenant: j.Tenant, Key: j.Key, Payload: j.Payload, WorkUs: uint64(max(0, j.Work.Microseconds())), Slots: j.Slots, Target: j.Target,
		WithinMs: uint64(max(0, j.Within.Milliseconds())), KeepMs: uint64(max(0, j.Keep.Milliseconds())), Order: j.Order,
	}}
	var r *promisev1.PromiseResponse
	err := p.untilAnswered(ctx, initialTimeout, maxPromiseTimeout, func(ctx context.Context, c promisev1.PromisesClient) (err error) {
		r, err = c.Promise(ctx, q)
		return err
	})
	if err != nil {
		return Receipt{}, err
	}
	t := r.Receipt
	return Receipt{ID: t.GetId(), Group: t.GetGroup(), Index: t.GetIndex(), At: time.UnixMicro(t.GetAtUnixUs()), Until: time.UnixMicro(t.GetUntilUnixUs())}, nil
}

// Await waits for the end of a promise, until the context ends. NotFound: no such promise is kept.
func (p *Promises) Await(ctx context.Context, id string) (End, error) {
	for {
		var r *promisev1.AwaitResponse
		err := p.untilAnswered(ctx, daemonWait+maxPromiseTimeout, daemonWait+maxPromiseTimeout, func(ctx context.Context, c promisev1.PromisesClient) (err error) {
			r, err = c.Await(ctx, &promisev1.AwaitRequest{Id: id, WaitMs: uint32(daemonWait.Milliseconds())})
			return err
		})
		if err != nil {
			return End{}, err
		}
		if e := r.End; e != nil {
			return End{Kind: EndKind(e.Kind), Reason: e.Reason, Result: e.Result, Instance: e.Instance, At: time.UnixMicro(e.AtUnixUs)}, nil
		}
	}
}

// Forget deletes a promise that has ended and frees its ID. NotFound: none is kept, perhaps because an earlier call
// succeeded. FailedPrecondition: the promise has not ended.
func (p *Promises) Forget(ctx context.Context, id string) error {
	return p.untilAnswered(ctx, initialTimeout, maxPromiseTimeout, func(ctx context.Context, c promisev1.PromisesClient) error {
		_, err := c.Forget(ctx, &promisev1.ForgetRequest{Id: id})
		return err
	})
}
