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

// accords has the program go by settings and cordons that all dispatchers have agreed on. The file is what this one
// proposes; of what all must have alike it counts only as long as nothing was ever agreed.
type accords struct {
	path   string
	getenv func(string) string
	adjust func(*decide.Settings)
	server *accord.Server
	core   program.Core

	mu        sync.Mutex
	file      *siteconf.File // as last read without a fault
	fresh     bool           // it is to be read anew
	low, high []byte         // what to go by both; nil: nothing
	floor     bool
}

func newAccords(path string, f *siteconf.File, getenv func(string) string, adjust func(*decide.Settings)) (*accords, error) {
	a := &accords{path: path, file: f, getenv: getenv, adjust: adjust, floor: true}
	var err error
	a.server, err = accord.New(accord.Options{Name: f.Node.Name, File: filepath.Join(f.Promises.Dir, "accord.json")}, slog.Default())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	a.low, a.high = a.server.InitialVersions()
	if _, err := a.settings(); err != nil { // of a later program, or for another file
		a.low, a.high = nil, nil
	}
	return a, nil
}

// settings is the file with what is to be gone by. The lock is held, or nobody else has it yet.
func (a *accords) settings() (*siteconf.File, error) {
	s := a.file.Shared()
	var known []siteconf.Shared
	for _, text := range [][]byte{a.low, a.high} {
		if text != nil {
			one, err := siteconf.ReadShared(text)
			if err != nil {
				return nil, err
			}
			known = append(known, one)
		}
	}
	if len(known) > 0 {
		s = known[0]
	}
	if len(known) > 1 && string(a.low) != string(a.high) {
		var err error
		if s, err = siteconf.Stricter(known[0], known[1]); err != nil {
			return nil, err
		}
	}
	if a.floor {
		s = siteconf.Floor(s)
	}
	return a.file.With(s)
}

// platform is the text of what counts, in the platform's form.
func (a *accords) platform() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fresh {
		a.fresh = false
		f, err := siteconf.Load(a.path)
		if err != nil {
			return nil, err
		}
		a.file = f
		go a.server.Propose(context.Background(), f.Shared().Text())
	}
	f, err := a.settings()
	if err != nil {
		return nil, err
	}
	return f.Platform()
}

// OwnSettings is the settings of this dispatcher's own file.
func (a *accords) OwnSettings() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.file.Shared().Text()
}

// Check says whether this dispatcher could go by a version, alone and beside what is agreed. The file counts as it now
// is: who starts by it must be able to do the same.
func (a *accords) Check(text []byte) error {
	next, err := siteconf.ReadShared(text)
	if err != nil {
		return err
	}
	f, err := siteconf.Load(a.path)
	if err != nil {
		return err
	}
	if err := f.Lacks(next); err != nil {
		return err
	}
	all := []siteconf.Shared{next}
	if now := a.server.Agreed(); now != nil {
		before, err := siteconf.ReadShared(now)
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
		g, err := f.With(s)
		if err != nil {
			return err
		}
		c, err := config.LoadBy(a.getenv, a.adjust, g.Platform)
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

// Apply has the program go by it: with the file as it was read last, so that none is needed for it now.
func (a *accords) Apply(low, high []byte, floor bool, done func(error)) {
	a.mu.Lock()
	a.low, a.high, a.floor = low, high, floor
	a.mu.Unlock()
	a.core.Reload(done)
}

// SetCordons has the program leave instances out.
func (a *accords) SetCordons(ids []string, only bool) { a.core.Cordons.SetCordons(ids, only) }

// part has it live with the program.
func (a *accords) part(host replicas.Host) program.NewPart {
	return func(core program.Core) (program.Part, error) {
		a.core = core
		a.server.Attach(a, host, core.Log)
		core.Cordons.SetStore(a.server)
		return &accorded{a.server, a}, nil
	}
}

// accorded is the accord as a part.
type accorded struct {
	*accord.Server
	a *accords
}

func (*accorded) Name() string { return "accord" }

func (p *accorded) Phase(ctx context.Context, phase program.Phase) error {
	switch phase {
	case program.Serving, program.Quiescing, program.Quiesced:
		p.Open(ctx)
	case program.HandedOver, program.Stopped: // the next process is heard in this one's place
		p.Close()
	}
	return nil
}

// Asked: the file's settings are proposed to all.
func (p *accorded) Asked() {
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	p.a.fresh = true
}

func (*accorded) Listed(dispatch.InstanceUpdate) {}
func (*accorded) Cordoned([]string)              {}
func (*accorded) Reloaded(*config.Config)        {}

// Quiet: the others go on without this one.
func (*accorded) Quiet() bool { return true }

// Show is what the operators' call accord prints.
func (p *accorded) Show(what string) string {
	if what != "accord" {
		return ""
	}
	text, err := json.Marshal(p.Status())
	if err != nil {
		return ""
	}
	return string(text)
}
