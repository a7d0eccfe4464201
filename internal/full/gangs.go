package full

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"caperrelay/decide"
	"caperrelay/internal/config"
	"caperrelay/internal/keys"
	"caperrelay/internal/net/gangs"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/program"
	"caperrelay/internal/siteconf"
)

// gangsPart returns the constructor of the gang service. host stores the gangs; register adds the service to the control
// listener.
func gangsPart(f *siteconf.File, host replicas.Host, register func(func(grpc.ServiceRegistrar))) (program.NewPart, error) {
	o := gangs.Options{Name: f.Node.Name, Site: f.Node.Zone, Peers: map[string]string{}, Slots: f.Slots(), WarmUp: time.Duration(f.Rules.Cold), TellsStart: f.Site.TellsStart, OnceClasses: map[string]bool{}}
	o.ClockOffset = time.Duration(f.Gangs.Clock)
	for name, address := range f.Promises.Peers {
		o.Peers[name] = address
	}
	for name, address := range f.Promises.Through {
		o.Peers[name] = address
	}
	for _, c := range f.Classes {
		o.OnceClasses[c.Name] = c.Effect == "once"
	}
	for _, p := range f.Gangs.Partners {
		o.Partners = append(o.Partners, gangs.Partner{Name: p.Name, Sites: p.Sites, Slots: p.Slots, Share: float64(p.Share), Hours: p.Hours})
	}
	if t := f.Control.TLS; t != nil {
		pair, err := keys.Load(keys.Files{Certificate: t.Certificate, Key: t.Key, CA: t.ClientCA, AcceptedNames: t.Names})
		if err != nil {
			return nil, fmt.Errorf("control.tls: %w", err)
		}
		o.Credentials = func(name string) credentials.TransportCredentials { return credentials.NewTLS(pair.ClientConfig(name)) }
	}
	return func(core program.Core) (program.Part, error) {
		s, err := gangs.New(o, host, core.Loop, core.Log)
		if err != nil {
			return nil, err
		}
		register(s.Register)
		core.Loop.OnUnmatchedCallback(s.HandleUnmatchedCallback)
		return &gangPart{s}, nil
	}, nil
}

// gangPart runs the gang service as a part of the program.
type gangPart struct{ *gangs.Server }

func (*gangPart) Name() string { return "gangs" }

func (p *gangPart) Phase(ctx context.Context, phase program.Phase) error {
	switch phase {
	case program.Serving, program.Quiescing, program.Quiesced:
		p.Open(ctx)
	case program.HandedOver, program.Stopped:
		p.Close()
	}
	return nil
}

// Reloaded passes on which classes there are and which of them must not run twice.
func (p *gangPart) Reloaded(c *config.Config) {
	once := map[string]bool{}
	for i, name := range c.Names.Classes {
		if !c.Settings.Classes[i].Removed {
			once[name] = c.Settings.Classes[i].Effect != decide.Safe
		}
	}
	p.SetClasses(once)
}

// Quiet returns true: other daemons coordinate the gangs, and the loop accounts for what was sent from here.
func (*gangPart) Quiet() bool { return true }
