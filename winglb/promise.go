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
	initialTimeout   = 400 * time.Millisecond // at one daemon, before another is asked: it may stand still
	maxPromiseTimeout = 2 * time.Second        // likewise, later: a group may be without an owner for as long
	daemonWait   = 5 * time.Second        // that a daemon waits
	retryPause = 20 * time.Millisecond
)

// Promised is a job that is handed in for good.
type Promised struct {
	Job // ID names it: the same id again is the same promise. Repeat is not used.
	// Payload is what encoders get, with Target what they are asked for; empty: /api.
	Payload []byte
	Target  string
	// Within: later than this after the receipt it is begun no more. Keep: how long its end is kept. 0: as the daemons
	// are set.
	Within, Keep time.Duration
	// Order is the only encoders that it may go to, the first before the next; none: as its class says.
	Order []string
}

// Receipt says that a majority of machines has a job on disk.
type Receipt struct {
	ID        string
	Group     uint32
	Index     uint64
	At, Until time.Time
}

// EndKind is how a promise ended.
type EndKind int

// The ends.
const (
	EndDone    EndKind = iota + 1
	EndFailed          // it may have run
	EndRefused         // it never ran
)

// End is the one end of a promise.
type End struct {
	Kind     EndKind
	Reason   string
	Result   []byte
	Instance string // that did it
	At       time.Time
}

// Promises hands jobs in for good, at whichever daemon answers. It is safe for use by several goroutines.
type Promises struct {
	conns []*grpc.ClientConn
	current    atomic.Uint64 // the daemon that answered last
}

// NewPromises uses Daemons and TLS of the configuration. It must be closed.
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

// Close ends the connections.
func (p *Promises) Close() {
	for _, c := range p.conns {
		c.Close()
	}
}

// untilAnswered calls f at one daemon after another, each for longer than the one before, until one answers, the context ends or
// what is wrong would be so anywhere.
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

// Promise hands a job in. Without an error it is promised: it will have its one end, whatever machine is lost. After
// an error it may be promised all the same, unless the status says InvalidArgument, AlreadyExists (the id is another
// job's) or ResourceExhausted: the same call again tells. Where the context has no deadline it tries for good.
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

// Await waits for a promise's end until the context ends. NotFound: no such promise is kept.
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

// Forget drops a promise that has ended; then its id is free. NotFound: none is kept, perhaps since a call before got
// through. FailedPrecondition: it has not ended.
func (p *Promises) Forget(ctx context.Context, id string) error {
	return p.untilAnswered(ctx, initialTimeout, maxPromiseTimeout, func(ctx context.Context, c promisev1.PromisesClient) error {
		_, err := c.Forget(ctx, &promisev1.ForgetRequest{Id: id})
		return err
	})
}
