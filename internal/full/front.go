package full

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/plain"
	"caperrelay/internal/nginx"
	"caperrelay/internal/program"
	"caperrelay/internal/routes"
	"caperrelay/internal/siteconf"
)

// Disk reads an nginx file and what it includes.
type Disk struct{}

// Read reads a file.
func (Disk) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Glob finds files.
func (Disk) Glob(pattern string) ([]string, error) { return filepath.Glob(pattern) }

// ImportNginx reads an nginx file.
func ImportNginx(file string) (*routes.Config, *nginx.Report, error) {
	all, err := nginx.Parse(Disk{}, filepath.ToSlash(file))
	if err != nil {
		return nil, nil, err
	}
	return nginx.Import(all)
}

// ReadRoutes reads routes as winglb import writes them.
func ReadRoutes(file string) (*routes.Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c := &routes.Config{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(c); err != nil {
		var unknown *toml.StrictMissingError
		var wrong *toml.DecodeError
		if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
			row, _ := unknown.Errors[0].Position()
			return nil, fmt.Errorf("%s:%d: %v: no such key", file, row, unknown.Errors[0].Key())
		} else if errors.As(err, &wrong) {
			row, _ := wrong.Position()
			return nil, fmt.Errorf("%s:%d: %w", file, row, wrong)
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return c, nil
}

func readFront(f siteconf.Front) (*routes.Config, error) {
	if f.Nginx != "" {
		c, _, err := ImportNginx(f.Nginx)
		return c, err
	}
	return ReadRoutes(f.Routes)
}

// frontPart makes a listener for plain HTTP a part of the program.
func frontPart(f siteconf.Front) program.NewPart {
	return func(core program.Core) (program.Part, error) {
		c, err := readFront(f)
		if err != nil {
			return nil, err
		}
		log := core.Log.With("front", f.Listen)
		s, err := plain.NewSite(f.Listen, c, time.Duration(f.Within), f.Clients, log)
		if err != nil {
			return nil, err
		}
		return &front{config: f, site: s, log: log}, nil
	}
}

// front is a site as a part. Its routes are read anew at each reload.
type front struct {
	config  siteconf.Front
	site    *plain.Site
	log     *slog.Logger
	running bool
	loaded  bool
}

func (*front) Name() string { return "front" }

func (p *front) Phase(ctx context.Context, phase program.Phase) error {
	switch phase {
	case program.Serving:
		if !p.running {
			p.running = true
			go p.site.Loop.Run(ctx)
		}
		return p.site.Front.Open()
	case program.Quiescing, program.HandedOver, program.Departing, program.Draining:
		p.site.Front.Leave()
	case program.Stopped:
		p.site.Front.Leave()
		p.site.Servers.Close()
	}
	return nil
}

func (*front) Listed(dispatch.InstanceUpdate) {}
func (*front) Cordoned([]string)              {}

func (p *front) Reloaded(*config.Config) {
	if !p.loaded { // the first is what it was made of
		p.loaded = true
		return
	}
	go func() {
		c, err := readFront(p.config)
		if err == nil {
			err = p.site.Reload(c)
		}
		if err != nil {
			p.log.Error("routes not reloaded", "err", err)
			return
		}
		p.log.Info("routes reloaded", "servers", len(c.Servers), "pools", len(c.Pools))
	}()
}

func (p *front) Quiet() bool { return p.site.Front.Quiet() }

func (p *front) Figures() string {
	b := &p.site.Loop.Counters
	return fmt.Sprintf("proxy.front.taken=%d\nproxy.front.attempts=%d\nproxy.front.in_progress=%d\n", b.Received.Load(), b.Sent.Load(), p.site.Loop.Pending())
}
