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

// stateMachines returns the state machines of a group of the replicated record.
func stateMachines(group uint32) replica.Mux {
	m := replica.Mux{replica.PromisesMachine: promise.New(), replica.GangsMachine: gang.New()}
	if group == replica.RootGroup {
		m[replica.RootMachine] = accord.New()
	}
	return m
}

// newReplicas returns this daemon's replicas of the record. register adds their service to the control listener.
func newReplicas(f *siteconf.File, register func(func(grpc.ServiceRegistrar))) (*replicas.Server, error) {
	r := f.Promises
	o := replicas.Options{
		Self: replica.Member{Name: f.Node.Name, Machine: r.Machine, Zone: r.Zone}, Dir: r.Dir, Address: f.Control.Listen, Peers: r.Peers, AddressOverrides: r.Through,
		Groups: r.Groups, Copies: r.Copies, RelocateAfter: time.Duration(r.Gone), Machines: withReruns(r.Groups, stateMachines),
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

// replicasPart returns the constructor of the part that runs the replicas.
func replicasPart(s *replicas.Server) program.NewPart {
	return func(core program.Core) (program.Part, error) {
		s.SetLogger(core.Log)
		return &replicaPart{s}, nil
	}
}

// replicaPart runs the replicas as a part of the program.
type replicaPart struct{ *replicas.Server }

func (*replicaPart) Name() string { return "replicas" }

func (r *replicaPart) Phase(ctx context.Context, p program.Phase) error {
	switch p {
	case program.Serving, program.Quiescing, program.Quiesced:
		r.Open(ctx)
	case program.Departing:
		r.StepDown()
	case program.HandedOver, program.Stopped: // the next process uses the disk
		r.Close()
	}
	return nil
}

func (*replicaPart) Listed(dispatch.InstanceUpdate) {}
func (*replicaPart) Cordoned([]string)              {}
func (*replicaPart) Reloaded(*config.Config)        {}

// Quiet returns true: the other daemons continue without this one.
func (*replicaPart) Quiet() bool { return true }

// Show returns the output of the operators' command replicas.
func (r *replicaPart) Show(what string) string {
	if what != "replicas" {
		return ""
	}
	text, err := json.Marshal(r.Status())
	if err != nil {
		return ""
	}
	return string(text)
}
