// Package full holds what winglb-full adds to the daemon: the TOML configuration and the optional parts that it enables.
package full

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/pprof"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"caperrelay/decide"
	"caperrelay/internal/config"
	"caperrelay/internal/daemon"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/keys"
	"caperrelay/internal/lease"
	"caperrelay/internal/net/control"
	"caperrelay/internal/program"
	"caperrelay/internal/siteconf"
)

// Site is a configuration and the optional parts that it enables.
type Site struct {
	File   *siteconf.File
	Config *config.Config
	Parts  []program.NewPart
}

// Load reads and checks a TOML file. Variables PROXY_* override it as they do for the platform's file.
func Load(path string, getenv func(string) string) (*Site, error) {
	f, err := siteconf.Load(path)
	if err != nil {
		return nil, err
	}
	adjust := func(s *decide.Settings) {
		if f.Control != nil { // the daemon's own sends to cold encoders need leases, too
			s.Leasing = decide.Leasing{Enabled: true, Turn: -1, Turns: f.Control.Senders, Share: lease.TurnsShare}
		}
	}
	read := func() ([]byte, error) {
		f, err := siteconf.Load(path)
		if err != nil {
			return nil, err
		}
		return f.PlatformJSON()
	}
	var agreed *accords
	if f.Promises != nil { // the dispatchers agree on the shared settings
		if agreed, err = newAccords(path, f, getenv, adjust); err != nil {
			return nil, err
		}
		read = agreed.platform
	}
	c, err := config.LoadFrom(getenv, adjust, read)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s := &Site{File: f, Config: c}
	registered := &serviceList{}
	if f.Control != nil {
		part, err := controlPart(f, registered.register)
		if err != nil {
			return nil, err
		}
		s.Parts = append(s.Parts, part)
	}
	if f.Promises != nil {
		host, err := newReplicas(f, registered.add)
		if err != nil {
			return nil, err
		}
		s.Parts = append(s.Parts, replicasPart(host), agreed.part(host), promisesPart(f, host, registered.add))
		if f.Pipelines != nil {
			part, err := pipelinesPart(f, host, registered)
			if err != nil {
				return nil, err
			}
			s.Parts = append(s.Parts, part)
		}
		if f.Gangs != nil {
			part, err := gangsPart(f, host, registered.add)
			if err != nil {
				return nil, err
			}
			s.Parts = append(s.Parts, part)
		}
	}
	if f.Snapshot != nil {
		s.Parts = append(s.Parts, snapshotPart(f))
	}
	if f.Members != nil {
		s.Parts = append(s.Parts, membersPart(f))
	}
	for _, w := range f.Fronts {
		s.Parts = append(s.Parts, frontPart(w))
	}
	return s, nil
}

// Serve runs a dispatcher with a TOML file until a signal ends it.
func Serve(path string, getenv func(string) string) error {
	signals := daemon.Signals()
	if file := getenv("WINGLB_CPU_PROFILE"); file != "" { // for profiling
		out, err := os.Create(file)
		if err != nil {
			return err
		}
		defer out.Close()
		if err := pprof.StartCPUProfile(out); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	s, err := Load(path, getenv)
	if err != nil {
		return err
	}
	logger, err := daemon.Logger(s.File.Log.Format, s.File.Log.Level)
	if err != nil {
		return err
	}
	p, err := s.New(logger.With("node", s.Config.Name, "pid", os.Getpid()))
	if err != nil {
		return err
	}
	return p.Run(signals)
}

// New returns the program of a site.
func (s *Site) New(logger *slog.Logger) (*program.Program, error) {
	return program.New(s.Config, logger, s.Parts...)
}

// serviceList collects the gRPC services that parts offer at the control listener.
type serviceList struct{ registrations []func(grpc.ServiceRegistrar) }

func (s *serviceList) add(f func(grpc.ServiceRegistrar)) {
	s.registrations = append(s.registrations, f)
}
func (s *serviceList) register(r grpc.ServiceRegistrar) {
	for _, f := range s.registrations {
		f(r)
	}
}

// controlPart returns the constructor of the control server, which serves plug-ins and other daemons.
func controlPart(f *siteconf.File, register func(grpc.ServiceRegistrar)) (program.NewPart, error) {
	c := f.Control
	o := control.Options{
		Listen: c.Listen, Daemon: f.Node.Number, Daemons: f.Node.Of, Senders: c.Senders, Silence: time.Duration(c.Silence),
		Life: time.Duration(c.Lease), Slots: f.Slots(), New: c.New, RegisterMore: register,
	}
	keyError := func() error { return nil }
	if t := c.TLS; t != nil {
		pair, err := keys.Load(keys.Files{Certificate: t.Certificate, Key: t.Key, CA: t.ClientCA, AcceptedNames: t.Names})
		if err != nil {
			return nil, fmt.Errorf("control.tls: %w", err)
		}
		o.TLS, keyError = credentials.NewTLS(pair.ServerConfig()), pair.ReloadError
	}
	return func(core program.Core) (program.Part, error) {
		s, err := control.New(o, core.Config.Settings, core.Loop, core.Log)
		if err != nil {
			return nil, err
		}
		core.Loop.SetLeaser(s)
		return &controlServer{Server: s, keyError: keyError, log: core.Log}, nil
	}, nil
}

// controlServer runs the control server as a part of the program.
type controlServer struct {
	*control.Server
	keyError       func() error // of the last reload of the key files
	log            *slog.Logger
	keyErrorLogged atomic.Bool
}

func (*controlServer) Name() string { return "control" }

func (c *controlServer) Phase(_ context.Context, p program.Phase) error {
	switch p {
	case program.Serving, program.Quiescing, program.Quiesced:
		return c.Open()
	case program.HandedOver, program.Stopped:
		c.Close()
	}
	return nil
}

func (c *controlServer) Reloaded(next *config.Config) { c.SetSettings(next.Settings, next.Document) }

// Quiet returns true: plug-ins continue without this daemon.
func (*controlServer) Quiet() bool { return true }

func (c *controlServer) Figures() string {
	var s strings.Builder
	for _, f := range c.Server.Metrics() {
		fmt.Fprintf(&s, "proxy.%s=%d\n", f.Name, f.Value)
	}
	n := 0
	if err := c.keyError(); err != nil {
		n = 1
		if !c.keyErrorLogged.Swap(true) {
			c.log.Error("key files not reloaded; the previous keys stay in use", "err", err)
		}
	} else {
		c.keyErrorLogged.Store(false)
	}
	fmt.Fprintf(&s, "proxy.control.keys_fault=%d\n", n)
	return s.String()
}

var _ dispatch.Leaser = (*control.Server)(nil)
