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

// gangsPart has jobs taken whose members start together. host keeps them, and they come in at the control listener.
func gangsPart(f *siteconf.File, host replicas.Host, register func(func(grpc.ServiceRegistrar))) (program.NewPart, error) {
	o := gangs.Options{Name: f.Node.Name, Site: f.Node.Zone, Peers: map[string]string{}, Slots: f.Slots(), WarmUp: time.Duration(f.Rules.Cold), TellsStart: f.Site.TellsStart, OnceClasses: map[string]bool{}}
	o.ClockOffset = time.Duration(f.Gangs.Clock)
	for name, at := range f.Promises.Peers {
		o.Peers[name] = at
	}
	for name, at := range f.Promises.Through {
		o.Peers[name] = at
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
		return &ganging{s}, nil
	}, nil
}

// ganging is the service of gangs as a part.
type ganging struct{ *gangs.Server }

func (*ganging) Name() string { return "gangs" }

func (p *ganging) Phase(ctx context.Context, phase program.Phase) error {
	switch phase {
	case program.Serving, program.Quiescing, program.Quiesced:
		p.Open(ctx)
	case program.HandedOver, program.Stopped:
		p.Close()
	}
	return nil
}

// Reloaded takes which classes there are.
func (p *ganging) Reloaded(c *config.Config) {
	once := map[string]bool{}
	for i, name := range c.Names.Classes {
		if !c.Settings.Classes[i].Removed {
			once[name] = c.Settings.Classes[i].Effect != decide.Safe
		}
	}
	p.SetClasses(once)
}

// Quiet: others coordinate and tell members; what was sent from here is in the loop's hands.
func (*ganging) Quiet() bool { return true }
