package winglb

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/attributes"
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/status"
)

// policyName is the name of the balancing policy in the service config.
const policyName = "winglb_follow"

func init() { balancer.Register(policyBuilder{}) }

// idAttribute is the attribute key for the instance ID of an endpoint.
type idAttribute struct{}

// resolverBuilder builds the resolver for a balancer's connection.
type resolverBuilder struct{ balancer *Balancer }

func (resolverBuilder) Scheme() string { return Scheme }

func (b *resolverBuilder) Build(_ resolver.Target, cc resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	r := &listResolver{balancer: b.balancer, cc: cc}
	b.balancer.control.watch(r.update)
	go func() {
		select {
		case <-b.balancer.ready:
			r.update()
		case <-b.balancer.ended:
		}
	}()
	return r, nil
}

// listResolver passes the instance list to grpc.
type listResolver struct {
	balancer *Balancer

	mu     sync.Mutex
	cc     resolver.ClientConn
	closed bool
}

func (r *listResolver) update() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	var s resolver.State
	for _, m := range r.balancer.control.members() {
		s.Endpoints = append(s.Endpoints, resolver.Endpoint{
			Addresses: []resolver.Address{{Addr: m.Address}}, Attributes: attributes.New(idAttribute{}, m.Id),
		})
	}
	r.cc.UpdateState(s) // its error can be ignored: calls get their errors from the picker
}

func (r *listResolver) ResolveNow(resolver.ResolveNowOptions) {}

func (r *listResolver) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// policyBuilder builds the balancing policy, which manages connections.
type policyBuilder struct{}

func (policyBuilder) Name() string { return policyName }

func (policyBuilder) Build(cc balancer.ClientConn, _ balancer.BuildOptions) balancer.Balancer {
	return &policy{cc: cc, subs: map[string]*encoderConn{}}
}

// encoderConn is the connection to one encoder.
type encoderConn struct {
	address string
	conn    balancer.SubConn
	state   connectivity.State
	err     error
	removed bool
}

// policy holds a connection for each encoder, opened at the first call to it and kept. grpc calls its methods one
// at a time, except Pick.
type policy struct {
	cc balancer.ClientConn

	mu     sync.RWMutex
	subs   map[string]*encoderConn
	closed bool
}

func (p *policy) UpdateClientConnState(s balancer.ClientConnState) error {
	p.mu.Lock()
	wanted := map[string]bool{}
	var old []*encoderConn
	for _, e := range s.ResolverState.Endpoints {
		id, _ := e.Attributes.Value(idAttribute{}).(string)
		for _, a := range e.Addresses {
			wanted[id] = true
			t := p.subs[id]
			if t != nil && t.address == a.Addr {
				continue
			}
			if t != nil {
				old = append(old, t)
			}
			t = &encoderConn{address: a.Addr, state: connectivity.Idle}
			//lint:ignore SA1019 each of these has one address
			conn, err := p.cc.NewSubConn([]resolver.Address{a}, balancer.NewSubConnOptions{StateListener: func(s balancer.SubConnState) { p.stateChanged(t, s) }})
			if err != nil {
				continue
			}
			t.conn = conn
			p.subs[id] = t
		}
	}
	for id, t := range p.subs {
		if !wanted[id] {
			old = append(old, t)
			delete(p.subs, id)
		}
	}
	for _, t := range old {
		t.removed = true
	}
	p.mu.Unlock()
	for _, t := range old {
		t.conn.Shutdown()
	}
	p.updatePicker()
	return nil
}

// updatePicker makes grpc retry the pick of calls that wait for a connection.
func (p *policy) updatePicker() {
	p.mu.RLock()
	state := connectivity.Idle
	for _, t := range p.subs {
		if t.state == connectivity.Ready {
			state = connectivity.Ready
			break
		}
	}
	closed := p.closed
	p.mu.RUnlock()
	if !closed {
		p.cc.UpdateState(balancer.State{ConnectivityState: state, Picker: picker{p}})
	}
}

func (p *policy) stateChanged(t *encoderConn, s balancer.SubConnState) {
	p.mu.Lock()
	t.state, t.err = s.ConnectivityState, s.ConnectionError
	p.mu.Unlock()
	if s.ConnectivityState != connectivity.Connecting {
		p.updatePicker()
	}
}

func (p *policy) ResolverError(error)                                        {}
func (p *policy) UpdateSubConnState(balancer.SubConn, balancer.SubConnState) {}
func (p *policy) ExitIdle()                                                  {}

func (p *policy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// picker returns the connection of the instance that was chosen for the attempt.
type picker struct{ policy *policy }

var (
	errNoAttempt  = status.Error(codes.Internal, "winglb: a call that no decision was made for")
	errNotAllowed = status.Error(codes.Aborted, "winglb: it may not be sent there any more")
	errResend     = status.Error(codes.Aborted, "winglb: the encoder has not processed it")
	errUnknown    = status.Error(codes.Unavailable, "winglb: no such encoder")
)

// Pick never blocks and makes no choice of its own.
func (k picker) Pick(info balancer.PickInfo) (balancer.PickResult, error) {
	a := attemptOf(info.Ctx)
	if a == nil {
		return balancer.PickResult{}, errNoAttempt
	}
	k.policy.mu.RLock()
	t := k.policy.subs[a.instance]
	var state connectivity.State
	var err error
	if t != nil {
		state, err = t.state, t.err
	}
	k.policy.mu.RUnlock()
	switch {
	case t == nil:
		return balancer.PickResult{}, errUnknown
	case !a.maySend(time.Now()):
		a.unsendable.Store(true)
		return balancer.PickResult{}, errNotAllowed
	case state == connectivity.Idle:
		t.conn.Connect()
		return balancer.PickResult{}, balancer.ErrNoSubConnAvailable
	case state == connectivity.Connecting:
		return balancer.PickResult{}, balancer.ErrNoSubConnAvailable
	case state != connectivity.Ready:
		return balancer.PickResult{}, status.Errorf(codes.Unavailable, "winglb: %s cannot be reached: %v", a.instance, err)
	}
	if a.picks.Add(1) > 1 { // grpc retries unprocessed requests by itself, but package decide decides on retries
		a.unsendable.Store(true)
		return balancer.PickResult{}, errResend
	}
	return balancer.PickResult{SubConn: t.conn}, nil
}

func attemptOf(ctx context.Context) *attempt {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	return a
}
