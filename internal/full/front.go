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

// FileSystem reads nginx files from the file system.
type FileSystem struct{}

// Read reads a file.
func (FileSystem) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Glob returns the files that match a pattern.
func (FileSystem) Glob(pattern string) ([]string, error) { return filepath.Glob(pattern) }

// ImportNginx converts an nginx file and the files that it includes to routes.
func ImportNginx(file string) (*routes.Config, *nginx.Report, error) {
	parsed, err := nginx.Parse(FileSystem{}, filepath.ToSlash(file))
	if err != nil {
		return nil, nil, err
	}
	return nginx.Import(parsed)
}

// ReadRoutes reads routes in the format that winglb import writes.
func ReadRoutes(file string) (*routes.Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c := &routes.Config{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(c); err != nil {
		var unknown *toml.StrictMissingError
		var decodeErr *toml.DecodeError
		if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
			row, _ := unknown.Errors[0].Position()
			return nil, fmt.Errorf("%s:%d: %v: no such key", file, row, unknown.Errors[0].Key())
		} else if errors.As(err, &decodeErr) {
			row, _ := decodeErr.Position()
			return nil, fmt.Errorf("%s:%d: %w", file, row, decodeErr)
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

// frontPart returns the constructor of a listener for plain HTTP.
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
		return &plainFront{config: f, site: s, log: log}, nil
	}
}

// plainFront runs a listener for plain HTTP as a part of the program. Its routes are read again at each reload.
type plainFront struct {
	config  siteconf.Front
	site    *plain.Site
	log     *slog.Logger
	running bool
	loaded  bool
}

func (*plainFront) Name() string { return "front" }

func (p *plainFront) Phase(ctx context.Context, phase program.Phase) error {
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

func (*plainFront) Listed(dispatch.InstanceUpdate) {}
func (*plainFront) Cordoned([]string)              {}

func (p *plainFront) Reloaded(*config.Config) {
	if !p.loaded { // the first call follows the construction, which has read the routes
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

func (p *plainFront) Quiet() bool { return p.site.Front.Quiet() }

func (p *plainFront) Figures() string {
	b := &p.site.Loop.Counters
	return fmt.Sprintf("proxy.front.taken=%d\nproxy.front.attempts=%d\nproxy.front.in_progress=%d\n", b.Received.Load(), b.Sent.Load(), p.site.Loop.Pending())
}
