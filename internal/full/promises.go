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

// promisesPart has jobs handed in for good. They are kept at host, and come in at the control listener by register.
func promisesPart(f *siteconf.File, host replicas.Host, register func(func(grpc.ServiceRegistrar))) program.NewPart {
	o := promises.Options{StartWithin: time.Duration(f.Promises.Within), Retention: time.Duration(f.Promises.Keep), Dir: f.Promises.Dir}
	return func(core program.Core) (program.Part, error) {
		s := promises.New(o, host, core.Loop, core.Log)
		core.Loop.OnUnmatchedCallback(s.HandleUnmatchedCallback)
		core.Loop.PersistCallbacksWith(s.PersistCallback)
		register(func(r grpc.ServiceRegistrar) { promisev1.RegisterPromisesServer(r, s) })
		return &promising{Server: s}, nil
	}
}

// promising is the service of promises as a part.
type promising struct {
	*promises.Server
	mu     sync.Mutex
	cancel context.CancelFunc
	ended  chan struct{}
}

func (*promising) Name() string { return "promises" }

func (p *promising) Phase(ctx context.Context, phase program.Phase) error {
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
	case program.HandedOver, program.Departing, program.Stopped: // what runs is told of to whichever dispatcher is called
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

func (*promising) Listed(dispatch.InstanceUpdate) {}
func (*promising) Cordoned([]string)              {}
func (p *promising) Reloaded(c *config.Config)    { p.Retune(c.Settings, c.Names) }
