package full

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"caperrelay/internal/accord"
	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/gang"
	"caperrelay/internal/keys"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/program"
	"caperrelay/internal/promise"
	"caperrelay/internal/replica"
	"caperrelay/internal/siteconf"
)

// machines is what each group of the record holds.
func machines(group uint32) replica.Mux {
	m := replica.Mux{replica.PromisesMachine: promise.New(), replica.GangsMachine: gang.New()}
	if group == replica.RootGroup {
		m[replica.RootMachine] = accord.New()
	}
	return m
}

// newReplicas makes this daemon's part of the record, which others call at the control listener.
func newReplicas(f *siteconf.File, register func(func(grpc.ServiceRegistrar))) (*replicas.Server, error) {
	r := f.Promises
	o := replicas.Options{
		Self: replica.Member{Name: f.Node.Name, Machine: r.Machine, Zone: r.Zone}, Dir: r.Dir, Address: f.Control.Listen, Peers: r.Peers, AddressOverrides: r.Through,
		Groups: r.Groups, Copies: r.Copies, RelocateAfter: time.Duration(r.Gone), Machines: withReruns(r.Groups, machines),
		Repair: r.Repair, Survivors: r.Survivors,
	}
	if t := f.Control.TLS; t != nil {
		pair, err := keys.Load(keys.Files{Certificate: t.Certificate, Key: t.Key, CA: t.ClientCA, AcceptedNames: t.Names})
		if err != nil {
			return nil, fmt.Errorf("control.tls: %w", err)
		}
		o.Dial = func(name string) credentials.TransportCredentials { return credentials.NewTLS(pair.ClientConfig(name)) }
	}
	s, err := replicas.New(o, slog.New(slog.DiscardHandler))
	if err == nil {
		register(s.Register)
	}
	return s, err
}

// replicasPart has the record live with the program.
func replicasPart(s *replicas.Server) program.NewPart {
	return func(core program.Core) (program.Part, error) {
		s.SetLogger(core.Log)
		return &record{s}, nil
	}
}

// record is the replicas as a part.
type record struct{ *replicas.Server }

func (*record) Name() string { return "replicas" }

func (r *record) Phase(ctx context.Context, p program.Phase) error {
	switch p {
	case program.Serving, program.Quiescing, program.Quiesced:
		r.Open(ctx)
	case program.Departing:
		r.StepDown()
	case program.HandedOver, program.Stopped: // the disk is the next process's
		r.Close()
	}
	return nil
}

func (*record) Listed(dispatch.InstanceUpdate) {}
func (*record) Cordoned([]string)              {}
func (*record) Reloaded(*config.Config)        {}

// Quiet: the others go on without this one.
func (*record) Quiet() bool { return true }

// Show is what the operators' call replicas prints.
func (r *record) Show(what string) string {
	if what != "replicas" {
		return ""
	}
	text, err := json.Marshal(r.Status())
	if err != nil {
		return ""
	}
	return string(text)
}
