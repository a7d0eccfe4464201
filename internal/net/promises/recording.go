package promises

import (
	"context"
	"fmt"
	"time"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/promise"
	"caperrelay/internal/replica"
)

const (
	recordRetryPause = 100 * time.Millisecond // before a command whose outcome is unknown is proposed again
	recordTimeout    = 10 * time.Minute
	maxRecordings    = 4096        // commands being committed; one more is dropped, and its job then counts as one that may have run
	recordWait       = time.Second // that an instance's callback is held open; after that the instance has to call again
	maxUnanswered    = 256         // callbacks held open; one more has to be made again at once
)

// reportKey identifies a report of an instance, however often it is sent.
type reportKey struct {
	id         string
	index      uint64
	submission int
	instance   string
	kind       promise.Kind
}

// recording is a report whose commit to the replicated table is in progress.
type recording struct{ committed chan struct{} } // closed once a majority has committed it, or the table already has the promise's end

// record commits what an instance reported, or what this process knows of an attempt, whichever dispatcher owns the
// group at that time. It returns nil if too many commits are in progress.
func (s *Server) record(g uint32, c promise.Command) *recording {
	key := reportKey{c.ID, c.Index, c.Submission, c.Instance, c.Kind}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.recordings[key]; b != nil {
		return b
	}
	if len(s.recordings) >= maxRecordings {
		s.DroppedRecordings.Add(1)
		return nil
	}
	b := &recording{committed: make(chan struct{})}
	s.recordings[key] = b
	go func() {
		if s.proposeUntilCommitted(g, c) {
			close(b.committed)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.recordings, key)
	}()
	return b
}

// proposeUntilCommitted proposes a command until the table has it. It returns false if it gave up or passed the
// report on to the newer process.
func (s *Server) proposeUntilCommitted(g uint32, c promise.Command) bool {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout) // continues after this dispatcher has lost the lease
	defer cancel()
	for {
		if s.hasEnded(c.ID, c.Index) {
			return true
		}
		if a, err := s.propose(ctx, g, c); err == nil {
			if a.OK {
				s.Recorded.Add(1)
			}
			s.wake()
			return true
		}
		if s.yielded.Load() { // the newer process holds the replica; the loop forwards the report to it
			s.core.HandleCallback(callbackOf(c))
			return false
		}
		select {
		case <-ctx.Done():
			s.DroppedRecordings.Add(1)
			return false
		case <-time.After(recordRetryPause):
		}
	}
}

// hasEnded reports whether the local replica has the end of a promise.
func (s *Server) hasEnded(id string, index uint64) (yes bool) {
	s.host.View(s.group(id), replica.PromisesMachine, func(m replica.Machine) {
		e := m.(*promise.Machine).Entry(id)
		yes = e != nil && e.Index == index && e.End != nil
	})
	return yes
}

// PersistCallback commits an instance's report on a promised job before the instance is answered: an instance that was answered
// does not call again, and its report would be lost with this process. It waits for recordWait at most; on false the
// instance has to call again. Reports that end nothing, and those on jobs that are not promised, need no commit.
func (s *Server) PersistCallback(n dispatch.Callback) bool {
	c, promised, ends := commandOf(n)
	if !promised || !ends || c.Kind == promise.Refused && s.isRepeatable(c.ID) {
		return true
	}
	select {
	case s.callbackSlots <- struct{}{}:
		defer func() { <-s.callbackSlots }()
	default:
		return false
	}
	if s.yielded.Load() { // the newer process holds the replica
		return false
	}
	b := s.record(s.group(c.ID), c)
	if b == nil {
		return false
	}
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-b.committed:
		return true
	case <-timer.C:
		s.Unrecorded.Add(1)
		s.log.Warn("report on a promised job not committed in time; its instance has to call again", "job", n.ID, "instance", n.From, "kind", c.Kind)
		return false
	}
}

// isRepeatable reports whether a promised job is known here and may safely run again: it may have been submitted to
// one instance more than once, so only the loop can tell which submission a refusal belongs to.
func (s *Server) isRepeatable(id string) (yes bool) {
	s.host.View(s.group(id), replica.PromisesMachine, func(m replica.Machine) {
		e := m.(*promise.Machine).Entry(id)
		yes = e != nil && s.mayRepeat(e.Job.Class)
	})
	return yes
}

// HandleUnmatchedCallback takes a callback that matches no command of this dispatcher: the dispatcher that receives it commits it. It
// returns whether the job is a promised one.
func (s *Server) HandleUnmatchedCallback(n dispatch.Callback) bool {
	c, promised, ends := commandOf(n)
	if promised && ends {
		s.record(s.group(c.ID), c)
	}
	return promised
}

// commandOf converts a callback to a command; ends is false if the callback reports no end.
func commandOf(n dispatch.Callback) (c promise.Command, promised, ends bool) {
	id, index, k, ok := promise.ReadWireID(n.ID)
	if !ok {
		return c, false, false
	}
	c = promise.Command{Op: promise.OpReport, ID: id, Index: index, Submission: k, Instance: n.From}
	switch n.State {
	case dispatch.Done:
		c.Kind, c.Result = promise.Done, n.Result
	case dispatch.Errored:
		c.Kind, c.Reason = promise.Failed, fmt.Sprintf("it failed at %s", n.From)
	case dispatch.Lost:
		c.Kind, c.Reason = promise.Failed, fmt.Sprintf("it was lost at %s", n.From)
	case dispatch.Returned:
		c.Kind = promise.Refused
	default:
		return c, true, false
	}
	if len(c.Result) > promise.MaxResult+1024 {
		c.Result = make([]byte, promise.MaxResult+1) // so that the end states that the result was too long
	}
	return c, true, true
}

// callbackOf is the inverse of commandOf.
func callbackOf(c promise.Command) dispatch.Callback {
	n := dispatch.Callback{ID: promise.WireID(c.ID, c.Index, c.Submission), From: c.Instance, State: dispatch.Done, Result: c.Result}
	switch c.Kind {
	case promise.Failed:
		n.State = dispatch.Lost
	case promise.Refused:
		n.State = dispatch.Returned
	}
	return n
}

// trackProposal starts tracking the sending of an attempt whose intent is about to be proposed, if its job must not
// run twice. For an OpNeverRan proposal it returns the attempt's send record, or nil if there is none.
func (s *Server) trackProposal(g uint32, c promise.Command) (record *promise.SendRecord) {
	switch c.Op {
	case promise.OpIntent:
		s.Intents.Add(1)
		if h := s.submissions[submissionKey{c.ID, c.Submission}]; h != nil && !s.mayRepeat(h.cmd.Class) {
			h.sends.set(c.Attempt, s.sends.request(h.cmd.ID, c.Instance, c.Gen, c.Deadline))
		}
	case promise.OpNeverRan:
		if h := s.submissions[submissionKey{c.ID, c.Submission}]; h != nil {
			return h.sends.get(c.Attempt)
		}
	case promise.OpEnd:
		if c.Reason == promise.MayHaveRun {
			s.log.Warn("promised job given up: it may have run", "job", c.ID, "receipt", c.Index, "intents", s.intents(g, c.ID))
		}
	}
	return nil
}

// intents returns, for the log, the attempts that the local replica lists as possibly sent.
func (s *Server) intents(g uint32, id string) (all []promise.Intent) {
	s.host.View(g, replica.PromisesMachine, func(m replica.Machine) {
		if e := m.(*promise.Machine).Entry(id); e != nil {
			all = append(all, e.Intents...)
		}
	})
	return all
}

// reportUnsent reports to the groups attempts that never ran although their intents are committed, so that their
// jobs are submitted again: those that this process withdrew and those that the previous process had not begun. last
// is set on the final call, which ignores the usual delay.
func (s *Server) reportUnsent(last bool) {
	now := replicas.Now()
	if now < s.lastUnsentScan+unsentScanEvery && !last {
		return
	}
	s.lastUnsentScan = now
	for _, record := range s.sends.unreported(now, last) {
		c, ok := record.NeverRanCommand()
		g := s.group(c.ID)
		intended, settled := false, !ok
		if ok { // without a local replica it is unknown which intents exist
			s.host.View(g, replica.PromisesMachine, func(m replica.Machine) { intended, settled = m.(*promise.Machine).HasIntent(&record) })
		}
		switch {
		case settled:
			s.sends.drop(record)
		case intended:
			s.NeverSent.Add(1)
			s.log.Info("attempt of a promised job was never sent; reporting it to the group", "job", record.Job, "instance", record.Instance)
			s.record(g, c)
		}
	}
}
