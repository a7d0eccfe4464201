package full

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/promises"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/program"
	"caperrelay/internal/siteconf"
	promisev1 "caperrelay/proto/winglb/promise/v1"
)

// promisesPart returns the constructor of the promise service. host stores the jobs; register adds the service to the
// control listener.
func promisesPart(f *siteconf.File, host replicas.Host, register func(func(grpc.ServiceRegistrar))) program.NewPart {
	o := promises.Options{StartWithin: time.Duration(f.Promises.Within), Retention: time.Duration(f.Promises.Keep), Dir: f.Promises.Dir}
	return func(core program.Core) (program.Part, error) {
		s := promises.New(o, host, core.Loop, core.Log)
		core.Loop.OnUnmatchedCallback(s.HandleUnmatchedCallback)
		core.Loop.PersistCallbacksWith(s.PersistCallback)
		register(func(r grpc.ServiceRegistrar) { promisev1.RegisterPromisesServer(r, s) })
		return &promisePart{Server: s}, nil
	}
}

// promisePart runs the promise service as a part of the program.
type promisePart struct {
	*promises.Server
	mu     sync.Mutex
	cancel context.CancelFunc
	ended  chan struct{}
}

func (*promisePart) Name() string { return "promises" }

func (p *promisePart) Phase(ctx context.Context, phase program.Phase) error {
	if phase == program.Serving || phase == program.HandedOver {
		p.SetYielding(phase == program.HandedOver)
	}
	switch phase {
	case program.Serving:
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cancel == nil {
			ctx, p.cancel = context.WithCancel(ctx)
			p.ended = make(chan struct{})
			go func() { defer close(p.ended); p.Run(ctx) }()
		}
	case program.HandedOver, program.Departing, program.Stopped: // encoders report running jobs to whichever dispatcher they reach
		p.mu.Lock()
		cancel, ended := p.cancel, p.ended
		p.cancel = nil
		p.mu.Unlock()
		if cancel != nil {
			cancel()
			<-ended
		}
	}
	return nil
}

func (*promisePart) Listed(dispatch.InstanceUpdate) {}
func (*promisePart) Cordoned([]string)              {}
func (p *promisePart) Reloaded(c *config.Config)    { p.Retune(c.Settings, c.Names) }
