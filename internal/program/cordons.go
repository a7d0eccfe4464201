package program

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"

	"caperrelay/internal/net/handover"
)

// cordons is which instances people leave out. It outlives the process: a file holds it.
type cordons struct {
	mu  sync.Mutex
	out map[string]bool
}

// cordoning is what processes tell each other of one.
type cordoning struct {
	ID  string
	Out bool
}

// Cordon leaves an instance out: from the yes on nothing new is sent there.
func (p *Program) Cordon(id string) error { return p.cordon(cordoning{id, true}, nil) }

// Uncordon uses it again.
func (p *Program) Uncordon(id string) error { return p.cordon(cordoning{id, false}, nil) }

// cordon does either. from is the process that told of it, nil: an operator here.
func (p *Program) cordon(c cordoning, from *handover.Link) error {
	if !p.pool.Knows(c.ID) && from == nil {
		return fmt.Errorf("%s is not known", c.ID)
	}
	p.cordons.mu.Lock()
	defer p.cordons.mu.Unlock()
	before := p.cordons.out[c.ID]
	if p.cordons.out[c.ID] = c.Out; !c.Out {
		delete(p.cordons.out, c.ID)
	}
	if err := p.store(); err != nil {
		if p.cordons.out[c.ID] = before; !before {
			delete(p.cordons.out, c.ID)
		}
		return err
	}
	p.pool.Cordon(c.ID, c.Out)
	p.loop.Cordon(c.ID, c.Out)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range []*handover.Link{p.older, p.newer} {
		if l != nil && l != from {
			l.Tell(cordoned, c)
		}
	}
	ids := slices.Sorted(maps.Keys(p.cordons.out))
	p.each(func(t Part) { t.Cordoned(ids) })
	p.log.Info("cordoned", "ids", ids)
	return nil
}

func (p *Program) cordonsFile() string { return strings.TrimSuffix(p.path(), ".sock") + ".cordons" }

// store writes the file beside the old one and puts it in its place: who reads finds one of both.
func (p *Program) store() error {
	text, err := json.Marshal(slices.Sorted(maps.Keys(p.cordons.out)))
	if err != nil {
		return err
	}
	fresh := p.cordonsFile() + ".new"
	if err := os.WriteFile(fresh, text, 0o600); err != nil {
		return err
	}
	return os.Rename(fresh, p.cordonsFile())
}

// leftOut is who was left out last: by the file, which is of this moment, or where the machine has lost that by a
// part that keeps it for longer.
func (p *Program) leftOut() (ids []string) {
	if _, err := os.Stat(p.cordonsFile()); !errors.Is(err, os.ErrNotExist) {
		return p.stored()
	}
	p.each(func(t Part) {
		if k, ok := t.(interface{ LeftOut() []string }); ok {
			ids = append(ids, k.LeftOut()...)
		}
	})
	return ids
}

// stored is what an earlier process has left.
func (p *Program) stored() (ids []string) {
	text, err := os.ReadFile(p.cordonsFile())
	if err == nil {
		err = json.Unmarshal(text, &ids)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		p.log.Error("cordons", "err", err)
	}
	return ids
}

// recall takes up what an earlier process has left, or an older one tells.
func (p *Program) recall(ids []string) {
	p.cordons.mu.Lock()
	defer p.cordons.mu.Unlock()
	for _, id := range ids {
		p.cordons.out[id] = true
		p.pool.Cordon(id, true)
		p.loop.Cordon(id, true)
	}
	all := slices.Sorted(maps.Keys(p.cordons.out))
	p.each(func(t Part) { t.Cordoned(all) })
}
