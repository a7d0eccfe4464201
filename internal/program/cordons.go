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

// cordons is the set of cordoned instances. It outlives the process in a file. An order takes effect before it is
// written, and only the operator who gave it waits for the disk.
type cordons struct {
	write func(path string, text []byte) error // replaces the file; may block

	mu       sync.Mutex // never held during file access, logging or messages to a peer
	cordoned map[string]bool
	unsaved  bool         // the last change came from another process, which may end before it has written it
	writing  bool         // a writer goroutine runs
	waiters  []chan error // callers waiting for the next write; each has a buffer of one
}

const (
	cordonWriteTimeout = 500 * time.Millisecond // how long an operator waits for the disk
	maxCordonWaiters   = 64                     // callers waiting for the disk; further ones get an error
)

// cordonChange is the message between processes about one cordon.
type cordonChange struct {
	ID       string `json:"ID"`
	Cordoned bool   `json:"Out"`
}

// CordonStore stores cordons that are shared among dispatchers. The LeftOut method of its part returns them at the
// start.
type CordonStore interface {
	// Cordon sets or removes a cordon everywhere; an error says how far that failed. It may block for as long as a
	// disk may.
	Cordon(id string, out bool) error
}

// Cordons is the interface of the program that a part with a CordonStore uses.
type Cordons interface {
	// SetStore sets the store that cordons go through. It must be called before the program runs.
	SetStore(CordonStore)
	// SetCordons cordons the given instances; with only, it also removes all other cordons.
	SetCordons(ids []string, only bool)
}

type cordonControl struct{ p *Program }

func (a cordonControl) SetStore(k CordonStore) { a.p.cordonStore = k }

func (a cordonControl) SetCordons(ids []string, only bool) {
	p := a.p
	p.cordons.mu.Lock()
	defer p.cordons.mu.Unlock()
	var changes []cordonChange
	for _, id := range ids {
		if !p.cordons.cordoned[id] {
			changes = append(changes, cordonChange{id, true})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.cordons.cordoned)) {
		if only && !slices.Contains(ids, id) {
			changes = append(changes, cordonChange{id, false})
		}
	}
	for _, c := range changes {
		p.applyCordon(c, nil)
	}
}

// Cordon cordons an instance: once it returns nil, nothing new is sent there.
func (p *Program) Cordon(id string) error { return p.cordon(cordonChange{id, true}, nil) }

// Uncordon removes an instance's cordon.
func (p *Program) Uncordon(id string) error { return p.cordon(cordonChange{id, false}, nil) }

// applyCordon applies a change in this process and sends it to the other processes except from. The lock is held.
func (p *Program) applyCordon(c cordonChange, from *handover.Link) (ids []string) {
	if p.cordons.cordoned[c.ID] = c.Cordoned; !c.Cordoned {
		delete(p.cordons.cordoned, c.ID)
	}
	p.pool.Cordon(c.ID, c.Cordoned)
	p.loop.Cordon(c.ID, c.Cordoned)
	p.mu.Lock()
	for _, l := range []*handover.Link{p.older, p.newer} {
		if l != nil && l != from {
			l.Send(msgCordon, c)
		}
	}
	p.mu.Unlock()
	ids = slices.Sorted(maps.Keys(p.cordons.cordoned))
	p.eachPart(func(t Part) { t.Cordoned(ids) })
	return ids
}

// cordon applies a change. from is the process that sent it; nil: an operator of this process.
func (p *Program) cordon(c cordonChange, from *handover.Link) error {
	if !p.pool.Knows(c.ID) && from == nil {
		return fmt.Errorf("%s is not known", c.ID)
	}
	if p.cordonStore != nil && from == nil {
		return p.cordonStore.Cordon(c.ID, c.Cordoned)
	}
	p.cordons.mu.Lock()
	ids := p.applyCordon(c, from)
	var written <-chan error
	if p.cordons.unsaved = from != nil; from == nil { // otherwise that process writes the file, or this one once that process has ended
		written = p.queueWrite()
	}
	p.cordons.mu.Unlock()
	if p.log.Info("cordoned", "ids", ids); from != nil {
		return nil
	}
	err := errors.New("the disk does not answer")
	select {
	case err = <-written:
	case <-time.After(cordonWriteTimeout):
	}
	if err != nil {
		return fmt.Errorf("done, but the next process may not know: %w", err)
	}
	return nil
}

// queueWrite has the current set written and returns a channel for the outcome. The lock is held.
func (p *Program) queueWrite() <-chan error {
	written := make(chan error, 1)
	if len(p.cordons.waiters) >= maxCordonWaiters { // the next write includes this change too
		written <- errors.New("the disk does not answer")
		return written
	}
	p.cordons.waiters = append(p.cordons.waiters, written)
	if !p.cordons.writing {
		p.cordons.writing = true
		go p.runWriter()
	}
	return written
}

func (p *Program) cordonsFile() string {
	return strings.TrimSuffix(p.socketPath(), ".sock") + ".cordons"
}

// writeUnsaved writes the set once another process has ended that may not have written it.
func (p *Program) writeUnsaved() {
	p.cordons.mu.Lock()
	defer p.cordons.mu.Unlock()
	if p.cordons.unsaved && p.cordonStore == nil {
		p.queueWrite()
	}
}

// runWriter writes the file until no caller waits for it.
func (p *Program) runWriter() {
	for {
		p.cordons.mu.Lock()
		waiters := p.cordons.waiters
		if p.cordons.waiters = nil; len(waiters) == 0 {
			p.cordons.writing = false
			p.cordons.mu.Unlock()
			return
		}
		text, err := json.Marshal(slices.Sorted(maps.Keys(p.cordons.cordoned)))
		p.cordons.mu.Unlock()
		if err == nil {
			err = p.cordons.write(p.cordonsFile(), text)
		}
		if err != nil {
			p.log.Error("cordons", "err", err)
		}
		for _, w := range waiters {
			w <- err
		}
	}
}

// replaceFile writes a temporary file and renames it: readers find either the old or the new content. The
// temporary name is unique because two processes replace the same file during a handover.
func replaceFile(path string, text []byte) error {
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

// savedCordons returns the cordons of the previous process: from the file, which is the most recent, or, where the
// machine has lost that, from a part with longer-lived storage.
func (p *Program) savedCordons() (ids []string) {
	if _, err := os.Stat(p.cordonsFile()); p.cordonStore == nil && !errors.Is(err, os.ErrNotExist) {
		return p.readCordons()
	}
	p.eachPart(func(t Part) {
		if k, ok := t.(interface{ LeftOut() []string }); ok {
			ids = append(ids, k.LeftOut()...)
		}
	})
	return ids
}

// readCordons returns the cordons that an earlier process has written.
func (p *Program) readCordons() (ids []string) {
	text, err := os.ReadFile(p.cordonsFile())
	if err == nil {
		err = json.Unmarshal(text, &ids)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		p.log.Error("cordons", "err", err)
	}
	return ids
}

// restoreCordons applies the cordons of an earlier process or of a running older one.
func (p *Program) restoreCordons(ids []string) {
	p.cordons.mu.Lock()
	defer p.cordons.mu.Unlock()
	for _, id := range ids {
		p.cordons.cordoned[id] = true
		p.pool.Cordon(id, true)
		p.loop.Cordon(id, true)
	}
	all := slices.Sorted(maps.Keys(p.cordons.cordoned))
	p.eachPart(func(t Part) { t.Cordoned(all) })
}
