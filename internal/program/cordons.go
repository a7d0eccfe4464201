package program

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"caperrelay/internal/net/handover"
)

// cordons is which instances people leave out. It outlives the process: a file holds it. What is said counts before it
// is written, and nothing waits for the disk but who said it.
type cordons struct {
	write func(path string, text []byte) error // replaces the file; it may take any time

	mu      sync.Mutex // never held over a file, a log line or a peer
	out     map[string]bool
	unkept  bool         // another process has told of some, and writes them
	writing bool         // somebody does
	waits   []chan error // of those who want to know of the next file; each holds one
}

const (
	keepPatience = 500 * time.Millisecond // of an operator, with the disk
	mostWaits    = 64                     // for the disk; who comes beyond is told so
)

// cordoning is what processes tell each other of one.
type cordoning struct {
	ID  string `json:"ID"`
	Out bool   `json:"Out"`
}

// Keeper is where cordons are kept that are not this dispatcher's alone. Its part's LeftOut tells them at the start.
type Keeper interface {
	// Cordon leaves an instance out, or uses it again, everywhere; an error says how far that is not so. It may wait for
	// as long as a disk may.
	Cordon(id string, out bool) error
}

// Cordons is what a Keeper does.
type Cordons interface {
	// KeepBy has cordons go by way of it. It must come before the program runs.
	KeepBy(Keeper)
	// Leave leaves instances out; only: and uses all others again.
	Leave(ids []string, only bool)
}

type agreed struct{ p *Program }

func (a agreed) KeepBy(k Keeper) { a.p.keeper = k }

func (a agreed) Leave(ids []string, only bool) {
	p := a.p
	p.cordons.mu.Lock()
	defer p.cordons.mu.Unlock()
	var changes []cordoning
	for _, id := range ids {
		if !p.cordons.out[id] {
			changes = append(changes, cordoning{id, true})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.cordons.out)) {
		if only && !slices.Contains(ids, id) {
			changes = append(changes, cordoning{id, false})
		}
	}
	for _, c := range changes {
		p.leaveOut(c, nil)
	}
}

// Cordon leaves an instance out: from the yes on nothing new is sent there.
func (p *Program) Cordon(id string) error { return p.cordon(cordoning{id, true}, nil) }

// Uncordon uses it again.
func (p *Program) Uncordon(id string) error { return p.cordon(cordoning{id, false}, nil) }

// leaveOut does either here, and tells other processes but one. The lock is held.
func (p *Program) leaveOut(c cordoning, from *handover.Link) (ids []string) {
	if p.cordons.out[c.ID] = c.Out; !c.Out {
		delete(p.cordons.out, c.ID)
	}
	p.pool.Cordon(c.ID, c.Out)
	p.loop.Cordon(c.ID, c.Out)
	p.mu.Lock()
	for _, l := range []*handover.Link{p.older, p.newer} {
		if l != nil && l != from {
			l.Tell(cordoned, c)
		}
	}
	p.mu.Unlock()
	ids = slices.Sorted(maps.Keys(p.cordons.out))
	p.each(func(t Part) { t.Cordoned(ids) })
	return ids
}

// cordon does either. from is the process that told of it, nil: an operator here.
func (p *Program) cordon(c cordoning, from *handover.Link) error {
	if !p.pool.Knows(c.ID) && from == nil {
		return fmt.Errorf("%s is not known", c.ID)
	}
	if p.keeper != nil && from == nil {
		return p.keeper.Cordon(c.ID, c.Out)
	}
	p.cordons.mu.Lock()
	ids := p.leaveOut(c, from)
	var kept <-chan error
	if p.cordons.unkept = from != nil; from == nil { // else that process writes the file, or this one once that has gone
		kept = p.keep()
	}
	p.cordons.mu.Unlock()
	if p.log.Info("cordoned", "ids", ids); from != nil {
		return nil
	}
	err := errors.New("the disk does not answer")
	select {
	case err = <-kept:
	case <-time.After(keepPatience):
	}
	if err != nil {
		return fmt.Errorf("done, but the next process may not know: %w", err)
	}
	return nil
}

// keep has the file written as things stand, and returns where the outcome will be. The lock is held.
func (p *Program) keep() <-chan error {
	kept := make(chan error, 1)
	if len(p.cordons.waits) >= mostWaits { // the next file holds this too
		kept <- errors.New("the disk does not answer")
		return kept
	}
	p.cordons.waits = append(p.cordons.waits, kept)
	if !p.cordons.writing {
		p.cordons.writing = true
		go p.store()
	}
	return kept
}

func (p *Program) cordonsFile() string { return strings.TrimSuffix(p.path(), ".sock") + ".cordons" }

// keepAll has it written once another process has gone that may not have come to it.
func (p *Program) keepAll() {
	p.cordons.mu.Lock()
	defer p.cordons.mu.Unlock()
	if p.cordons.unkept && p.keeper == nil {
		p.keep()
	}
}

// store writes files until nobody waits for one.
func (p *Program) store() {
	for {
		p.cordons.mu.Lock()
		waits := p.cordons.waits
		if p.cordons.waits = nil; len(waits) == 0 {
			p.cordons.writing = false
			p.cordons.mu.Unlock()
			return
		}
		text, err := json.Marshal(slices.Sorted(maps.Keys(p.cordons.out)))
		p.cordons.mu.Unlock()
		if err == nil {
			err = p.cordons.write(p.cordonsFile(), text)
		}
		if err != nil {
			p.log.Error("cordons", "err", err)
		}
		for _, w := range waits {
			w <- err
		}
	}
}

// replace writes a file beside the old one and puts it in its place: who reads finds one of both. The name beside is
// nobody else's: two processes replace the same file while one takes over from the other.
func replace(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*.new")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

// leftOut is who was left out last: by the file, which is of this moment, or where the machine has lost that by a
// part that keeps it for longer.
func (p *Program) leftOut() (ids []string) {
	if _, err := os.Stat(p.cordonsFile()); p.keeper == nil && !errors.Is(err, os.ErrNotExist) {
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
