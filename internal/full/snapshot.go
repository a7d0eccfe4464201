package full

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/program"
	"caperrelay/internal/siteconf"
	"caperrelay/internal/snapshot"
)

// snapshotPart returns the constructor of the part that writes snapshots and restores the last one at the start.
func snapshotPart(f *siteconf.File) program.NewPart {
	o := f.Snapshot
	return func(core program.Core) (program.Part, error) {
		s := &snapshotWriter{path: o.File, node: f.Node.Name, every: time.Duration(o.Every), loop: core.Loop, log: core.Log}
		last, err := snapshot.Read(o.File, f.Node.Name)
		switch age := time.Duration(0); {
		case errors.Is(err, snapshot.ErrNone):
		case err != nil:
			core.Log.Warn("snapshot not used", "file", o.File, "err", err)
		default:
			if age = time.Since(last.Written); age < 0 || age > time.Duration(o.Keep) {
				core.Log.Warn("snapshot not used", "file", o.File, "err", fmt.Sprintf("it is %v old", age.Round(time.Second)))
				break
			}
			core.Log.Info("snapshot restored", "age", age.Round(time.Millisecond), "encoders", len(last.List.Instances))
			s.last = last
			if len(core.Config.Known.Instances) == 0 {
				core.Config.Known.Instances = last.List.Instances
			}
		}
		return s, nil
	}
}

// snapshotWriter writes snapshots as a part of the program. It writes in the background, so that nothing waits for the disk.
type snapshotWriter struct {
	path, node string
	every      time.Duration
	loop       *dispatch.Loop
	log        *slog.Logger
	last       *snapshot.Content // read at the start and not restored yet; nil: none
	written    atomic.Int64

	mu      sync.Mutex
	table   dispatch.InstanceList
	cordons []string
	cancel  context.CancelFunc
	ended   chan struct{}
}

func (*snapshotWriter) Name() string { return "snapshot" }

func (s *snapshotWriter) Phase(ctx context.Context, p program.Phase) error {
	switch p {
	case program.Serving, program.Quiescing, program.Quiesced:
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.cancel == nil {
			if s.last != nil {
				s.loop.ImportLearned(s.last.Learned)
				s.last = nil
			}
			ctx, s.cancel = context.WithCancel(ctx)
			s.ended = make(chan struct{})
			go s.run(ctx, s.ended)
		}
	case program.HandedOver, program.Stopped:
		s.mu.Lock()
		cancel, ended := s.cancel, s.ended
		s.cancel = nil
		s.mu.Unlock()
		if cancel != nil {
			cancel()
			<-ended // the file is closed for the next process
		}
	}
	return nil
}

func (s *snapshotWriter) run(ctx context.Context, ended chan struct{}) {
	defer close(ended)
	ticker := time.NewTicker(s.every)
	defer ticker.Stop()
	var file *snapshot.File
	defer func() {
		if file != nil {
			file.Close()
		}
	}()
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		err := error(nil)
		if file == nil {
			file, err = snapshot.Open(s.path)
		}
		if err == nil {
			err = s.write(ctx, file)
		}
		if err != nil && !failed {
			s.log.Warn("snapshot not written", "file", s.path, "err", err)
		}
		failed = err != nil
	}
}

func (s *snapshotWriter) write(ctx context.Context, file *snapshot.File) error {
	learned := make(chan dispatch.HandoverState, 1)
	s.loop.ExportLearned(func(h dispatch.HandoverState) { learned <- h })
	c := &snapshot.Content{Node: s.node, Written: time.Now()}
	select {
	case <-ctx.Done():
		return nil
	case c.Learned = <-learned:
	}
	s.mu.Lock()
	c.List, c.Cordons = s.table.Snapshot(), s.cordons
	s.mu.Unlock()
	if err := file.Write(c); err != nil {
		return err
	}
	s.written.Add(1)
	return nil
}

func (s *snapshotWriter) Listed(l dispatch.InstanceUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Update(l)
}

func (s *snapshotWriter) Cordoned(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cordons = ids
}

// LeftOut returns the cordons in the last snapshot.
func (s *snapshotWriter) LeftOut() []string {
	if s.last == nil {
		return nil
	}
	return s.last.Cordons
}

func (*snapshotWriter) Reloaded(*config.Config) {}
func (*snapshotWriter) Quiet() bool             { return true }
func (s *snapshotWriter) Figures() string {
	return fmt.Sprintf("proxy.snapshot.written=%d\n", s.written.Load())
}
