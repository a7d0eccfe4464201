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
	bookPause      = 100 * time.Millisecond // before a booking of which nothing is known is proposed again
	bookFor        = 10 * time.Minute
	mostBooks      = 4096        // bookings under way; one more is dropped, and its job then may have run
	keepWithin     = time.Second // that an instance waits for the answer to its call, until it has to call again
	mostUnanswered = 256         // calls that wait so; one more has to call again at once
)

// bookKey names what an instance tells, however often.
type bookKey struct {
	id       string
	index    uint64
	hand     int
	instance string
	kind     promise.Kind
}

// booking is a fact on its way into the record.
type booking struct{ kept chan struct{} } // closed once a majority has it, or the record knows better

// book has it committed what an instance told, or what this process knows of an attempt, whoever acts by then; nil: too
// much is under way.
func (s *Server) book(g uint32, c promise.Command) *booking {
	key := bookKey{c.ID, c.Index, c.Submission, c.Instance, c.Kind}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.books[key]; b != nil {
		return b
	}
	if len(s.books) >= mostBooks {
		s.DroppedBooks.Add(1)
		return nil
	}
	b := &booking{kept: make(chan struct{})}
	s.books[key] = b
	go func() {
		if s.commit(g, c) {
			close(b.kept)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.books, key)
	}()
	return b
}

// commit proposes a booking until it is known that the record has it; false: it is given up, or passed on.
func (s *Server) commit(g uint32, c promise.Command) bool {
	ctx, cancel := context.WithTimeout(context.Background(), bookFor) // also once this dispatcher acts no more
	defer cancel()
	for {
		if s.ended(c.ID, c.Index) {
			return true
		}
		if a, err := s.propose(ctx, g, c); err == nil {
			if a.OK {
				s.Booked.Add(1)
			}
			s.wake()
			return true
		}
		if s.yielded.Load() { // the record is the newer process's, which the loop passes it on to
			s.core.HandleCallback(news(c))
			return false
		}
		select {
		case <-ctx.Done():
			s.DroppedBooks.Add(1)
			return false
		case <-time.After(bookPause):
		}
	}
}

// ended tells whether the copy here has the end of a promise.
func (s *Server) ended(id string, index uint64) (yes bool) {
	s.host.View(s.group(id), replica.PromisesMachine, func(m replica.Machine) {
		e := m.(*promise.Machine).Entry(id)
		yes = e != nil && e.Index == index && e.End != nil
	})
	return yes
}

// Keep has an instance's word of a promised job committed before the instance is answered: one that is answered does not
// call again, and its word would be lost with this process. It waits for that for keepWithin at most; false: the instance
// is to call again. Word that ends nothing, and of jobs that are not promised, need not be kept.
func (s *Server) Keep(n dispatch.Callback) bool {
	c, promised, ends := wordOf(n)
	if !promised || !ends || c.Kind == promise.Refused && s.repeatsHere(c.ID) {
		return true
	}
	select {
	case s.answered <- struct{}{}:
		defer func() { <-s.answered }()
	default:
		return false
	}
	if s.yielded.Load() { // the newer process has the record
		return false
	}
	b := s.book(s.group(c.ID), c)
	if b == nil {
		return false
	}
	timer := time.NewTimer(keepWithin)
	defer timer.Stop()
	select {
	case <-b.kept:
		return true
	case <-timer.C:
		s.Unkept.Add(1)
		s.log.Warn("word of a promised job not kept in time: its instance has to call again", "job", n.ID, "instance", n.From, "kind", c.Kind)
		return false
	}
}

// repeatsHere tells whether a promised job is known here and may run again at will: its hand-in may have been to one
// instance more than once, so what that hands back is told apart by the loop alone.
func (s *Server) repeatsHere(id string) (yes bool) {
	s.host.View(s.group(id), replica.PromisesMachine, func(m replica.Machine) {
		e := m.(*promise.Machine).Entry(id)
		yes = e != nil && s.repeats(e.Job.Class)
	})
	return yes
}

// Stray takes a call of an instance that matches nothing in hand here: whoever it reaches books it.
func (s *Server) Stray(n dispatch.Callback) bool {
	c, promised, ends := wordOf(n)
	if promised && ends {
		s.book(s.group(c.ID), c)
	}
	return promised
}

// wordOf is what an instance tells, as a command; ends is false where it tells of no end.
func wordOf(n dispatch.Callback) (c promise.Command, promised, ends bool) {
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
		c.Result = make([]byte, promise.MaxResult+1) // so that it is said that it was too long
	}
	return c, true, true
}

// news is what an instance told, of which a command was made.
func news(c promise.Command) dispatch.Callback {
	n := dispatch.Callback{ID: promise.WireID(c.ID, c.Index, c.Submission), From: c.Instance, State: dispatch.Done, Result: c.Result}
	switch c.Kind {
	case promise.Failed:
		n.State = dispatch.Lost
	case promise.Refused:
		n.State = dispatch.Returned
	}
	return n
}

// proposing follows the sending of an attempt whose intent is about to be proposed, where its job must not run twice. Where it
// is to be proposed that one never ran it gives what is known of that; nil: nothing.
func (s *Server) proposing(g uint32, c promise.Command) (over *promise.SendRecord) {
	switch c.Op {
	case promise.OpIntent:
		s.Intents.Add(1)
		if h := s.hands[inHand{c.ID, c.Submission}]; h != nil && !s.repeats(h.cmd.Class) {
			h.sends.set(c.Attempt, s.sends.ask(h.cmd.ID, c.Instance, c.Gen, c.Deadline))
		}
	case promise.OpNeverRan:
		if h := s.hands[inHand{c.ID, c.Submission}]; h != nil {
			return h.sends.get(c.Attempt)
		}
	case promise.OpEnd:
		if c.Reason == promise.MayHaveRun {
			s.log.Warn("promised job given up: it may have run", "job", c.ID, "receipt", c.Index, "intents", s.intents(g, c.ID))
		}
	}
	return nil
}

// intents is what the copy here has of the attempts that may have been sent, for the log.
func (s *Server) intents(g uint32, id string) (all []promise.Intent) {
	s.host.View(g, replica.PromisesMachine, func(m replica.Machine) {
		if e := m.(*promise.Machine).Entry(id); e != nil {
			all = append(all, e.Intents...)
		}
	})
	return all
}

// tellUnsent tells groups of attempts that never ran though their intents are committed, so that their jobs are begun
// again: those that this process withdrew, or that the one before had not begun. last: it is not called again.
func (s *Server) tellUnsent(last bool) {
	now := replicas.Now()
	if now < s.told+tellEvery && !last {
		return
	}
	s.told = now
	for _, sending := range s.sends.untold(now, last) {
		c, ok := sending.NeverRanCommand()
		g := s.group(c.ID)
		intended, settled := false, !ok
		if ok { // without a copy here it cannot be known whose intent there is
			s.host.View(g, replica.PromisesMachine, func(m replica.Machine) { intended, settled = m.(*promise.Machine).HasIntent(&sending) })
		}
		switch {
		case settled:
			s.sends.drop(sending)
		case intended:
			s.Unsent.Add(1)
			s.log.Info("promised job's attempt was never sent: its group is told", "job", sending.Job, "instance", sending.Instance)
			s.book(g, c)
		}
	}
}
