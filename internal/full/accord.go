package full

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"

	"caperrelay/decide"
	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/accord"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/program"
	"caperrelay/internal/siteconf"
)

// accords makes the program use the shared settings and the cordons that all dispatchers have agreed on. This dispatcher
// proposes the shared settings of its file and uses them directly only until a first version is agreed.
type accords struct {
	path   string
	getenv func(string) string
	adjust func(*decide.Settings)
	server *accord.Server
	core   program.Core

	mu         sync.Mutex
	file       *siteconf.File // as last read successfully
	rereadFile bool           // the file must be read again
	low, high  []byte         // the versions in force; nil: none
	restricted bool           // use the restricted settings: it is not known which version is in force
}

func newAccords(path string, f *siteconf.File, getenv func(string) string, adjust func(*decide.Settings)) (*accords, error) {
	a := &accords{path: path, file: f, getenv: getenv, adjust: adjust, restricted: true}
	var err error
	a.server, err = accord.New(accord.Options{Name: f.Node.Name, File: filepath.Join(f.Promises.Dir, "accord.json")}, slog.Default())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	a.low, a.high = a.server.InitialVersions()
	if _, err := a.settings(); err != nil { // from a later program, or not valid with this file
		a.low, a.high = nil, nil
	}
	return a, nil
}

// settings returns the file with the shared settings in force. The caller holds mu, or has not shared a yet.
func (a *accords) settings() (*siteconf.File, error) {
	s := a.file.Shared()
	var versions []siteconf.Shared
	for _, text := range [][]byte{a.low, a.high} {
		if text != nil {
			version, err := siteconf.DecodeShared(text)
			if err != nil {
				return nil, err
			}
			versions = append(versions, version)
		}
	}
	if len(versions) > 0 {
		s = versions[0]
	}
	if len(versions) > 1 && string(a.low) != string(a.high) {
		var err error
		if s, err = siteconf.Stricter(versions[0], versions[1]); err != nil {
			return nil, err
		}
	}
	if a.restricted {
		s = siteconf.Restricted(s)
	}
	return a.file.WithShared(s)
}

// platform returns the configuration in force in the platform's JSON form.
func (a *accords) platform() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rereadFile {
		a.rereadFile = false
		f, err := siteconf.Load(a.path)
		if err != nil {
			return nil, err
		}
		a.file = f
		go a.server.Propose(context.Background(), f.Shared().Encode())
	}
	f, err := a.settings()
	if err != nil {
		return nil, err
	}
	return f.PlatformJSON()
}

// OwnSettings returns the shared settings of this dispatcher's file.
func (a *accords) OwnSettings() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.file.Shared().Encode()
}

// Check returns an error if this dispatcher cannot use a version, alone or combined with the agreed one. It checks with the
// file as it is on disk, as a dispatcher that starts with it must be able to use the version, too.
func (a *accords) Check(text []byte) error {
	next, err := siteconf.DecodeShared(text)
	if err != nil {
		return err
	}
	f, err := siteconf.Load(a.path)
	if err != nil {
		return err
	}
	if err := f.CheckClasses(next); err != nil {
		return err
	}
	all := []siteconf.Shared{next}
	if agreed := a.server.Agreed(); agreed != nil {
		before, err := siteconf.DecodeShared(agreed)
		if err != nil {
			return err
		}
		both, err := siteconf.Stricter(before, next)
		if err != nil {
			return err
		}
		all = append(all, both)
	}
	for _, s := range all {
		g, err := f.WithShared(s)
		if err != nil {
			return err
		}
		c, err := config.LoadFrom(a.getenv, a.adjust, g.PlatformJSON)
		if err != nil {
			return err
		}
		if _, err := decide.New(c.Settings); err != nil {
			return err
		}
		if _, _, err := Pipelines(g); err != nil {
			return err
		}
	}
	return nil
}

// Apply makes the program use the versions. It uses the file as last read, so that the file need not be readable now.
func (a *accords) Apply(low, high []byte, floor bool, done func(error)) {
	a.mu.Lock()
	a.low, a.high, a.restricted = low, high, floor
	a.mu.Unlock()
	a.core.Reload(done)
}

// SetCordons cordons instances in the program.
func (a *accords) SetCordons(ids []string, only bool) { a.core.Cordons.SetCordons(ids, only) }

// part returns the constructor of the program's part.
func (a *accords) part(host replicas.Host) program.NewPart {
	return func(core program.Core) (program.Part, error) {
		a.core = core
		a.server.Attach(a, host, core.Log)
		core.Cordons.SetStore(a.server)
		return &accordPart{a.server, a}, nil
	}
}

// accordPart runs the accord server as a part of the program.
type accordPart struct {
	*accord.Server
	accords *accords
}

func (*accordPart) Name() string { return "accord" }

func (p *accordPart) Phase(ctx context.Context, phase program.Phase) error {
	switch phase {
	case program.Serving, program.Quiescing, program.Quiesced:
		p.Open(ctx)
	case program.HandedOver, program.Stopped: // the next process takes part instead
		p.Close()
	}
	return nil
}

// Asked makes the next reload read the file and propose its shared settings to all dispatchers.
func (p *accordPart) Asked() {
	p.accords.mu.Lock()
	defer p.accords.mu.Unlock()
	p.accords.rereadFile = true
}

func (*accordPart) Listed(dispatch.InstanceUpdate) {}
func (*accordPart) Cordoned([]string)              {}
func (*accordPart) Reloaded(*config.Config)        {}

// Quiet returns true: the other daemons continue without this one.
func (*accordPart) Quiet() bool { return true }

// Show returns the output of the operators' command accord.
func (p *accordPart) Show(what string) string {
	if what != "accord" {
		return ""
	}
	text, err := json.Marshal(p.Status())
	if err != nil {
		return ""
	}
	return string(text)
}
