package promises

import (
	"cmp"
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"caperrelay/internal/promise"
	"caperrelay/internal/replica"
	promisev1 "caperrelay/proto/winglb/promise/v1"
)

const (
	maxAwait        = time.Minute
	retryPause      = 50 * time.Millisecond
	remotePollPause = 200 * time.Millisecond // where this dispatcher has no replica
	callTimeout     = 10 * time.Second       // for calls without a deadline
)

// proposeWithRetry has a group agree on a client's command, retrying until it does: all of these commands are
// idempotent.
func (s *Server) proposeWithRetry(ctx context.Context, c promise.Command) (promise.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for unknown := false; ; {
		a, err := s.propose(ctx, s.group(c.ID), c)
		if err == nil {
			s.noteIndex(s.group(c.ID), a.Index)
			return a, nil
		}
		if errors.Is(err, replica.ErrTooLarge) {
			return a, status.Error(codes.InvalidArgument, "the job is too large")
		}
		unknown = unknown || errors.Is(err, replica.ErrUnknown)
		select {
		case <-ctx.Done():
			if unknown {
				return a, status.Error(codes.Unavailable, "it is not known whether the group has agreed: call again with the same id")
			}
			return a, status.Error(codes.Unavailable, "no majority answers: nothing is promised")
		case <-time.After(retryPause):
		}
	}
}

// statusOf converts a failed answer to a gRPC status.
func statusOf(a promise.Answer) error {
	code := map[promise.Code]codes.Code{
		promise.Malformed: codes.InvalidArgument, promise.TableFull: codes.ResourceExhausted, promise.IDTaken: codes.AlreadyExists,
		promise.NotFound: codes.NotFound, promise.TooLate: codes.Aborted, promise.NotEnded: codes.FailedPrecondition,
	}[a.Code]
	text := a.Text
	if text == "" {
		text = map[promise.Code]string{promise.NotFound: "no such promise is kept", promise.NotEnded: "it has not ended"}[a.Code]
	}
	if code == codes.OK {
		code = codes.Internal
	}
	return status.Errorf(code, "%s: %s", a.Code, text)
}

// Promise answers once a majority has the job on disk.
func (s *Server) Promise(ctx context.Context, q *promisev1.PromiseRequest) (*promisev1.PromiseResponse, error) {
	if _, err := s.job(q); err != nil {
		return nil, err
	}
	seen, err := s.Seen(ctx, q.Id)
	if err != nil {
		return nil, err
	}
	return s.PromiseSeen(ctx, q, seen)
}

// PromiseSeen is Promise for a caller that had observed the group of the id at that log index when it decided to
// promise the job: if the id was dropped after that index, the answer is codes.Aborted, however late the call
// arrives.
func (s *Server) PromiseSeen(ctx context.Context, q *promisev1.PromiseRequest, seen uint64) (*promisev1.PromiseResponse, error) {
	j, err := s.job(q)
	if err != nil {
		return nil, err
	}
	a, err := s.proposeWithRetry(ctx, promise.Command{Op: promise.OpPromise, ID: q.Id, Job: j, SeenIndex: seen})
	if err != nil {
		return nil, err
	}
	if !a.OK {
		return nil, statusOf(a)
	}
	s.Promised.Add(1)
	s.wake()
	return &promisev1.PromiseResponse{Receipt: s.receipt(a.Receipt)}, nil
}

// job converts and validates the requested job.
func (s *Server) job(q *promisev1.PromiseRequest) (*promise.Job, error) {
	if q.Job == nil {
		return nil, status.Error(codes.InvalidArgument, "a job is needed")
	}
	if _, ok := (*s.classes.Load())[q.Job.Class]; !ok {
		return nil, status.Errorf(codes.InvalidArgument, "there is no class %q", q.Job.Class)
	}
	j := &promise.Job{
		Class: q.Job.Class, Tenant: q.Job.Tenant, Key: q.Job.Key, Payload: q.Job.Payload, Slots: q.Job.Slots, Target: q.Job.Target, Candidates: q.Job.Order,
		Work: boundedDuration(q.Job.WorkUs, time.Microsecond), StartWithin: boundedDuration(q.Job.WithinMs, time.Millisecond), Retention: boundedDuration(q.Job.KeepMs, time.Millisecond),
	}
	if j.StartWithin == 0 {
		j.StartWithin = s.o.StartWithin
	}
	if j.Retention == 0 {
		j.Retention = s.o.Retention
	}
	if err := promise.CheckID(q.Id); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if err := cmp.Or(j.Check(), promise.CheckTarget(j.Target)); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return j, nil
}

// noteIndex records the log index that a group is known to have reached.
func (s *Server) noteIndex(g uint32, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index[g] = max(s.index[g], index)
}

// Seen returns the log index that the group of an id is known to have reached.
func (s *Server) Seen(ctx context.Context, id string) (uint64, error) {
	g := s.group(id)
	s.host.View(g, replica.PromisesMachine, func(m replica.Machine) { s.noteIndex(g, m.(*promise.Machine).Index()) })
	s.mu.Lock()
	index := s.index[g]
	s.mu.Unlock()
	if index > 0 {
		return index, nil
	}
	a, err := s.proposeWithRetry(ctx, promise.Command{Op: promise.OpRead, ID: id})
	return a.Index, err
}

// boundedDuration is n units of time; values beyond the limit stay beyond it, without overflow.
func boundedDuration(n uint64, unit time.Duration) time.Duration {
	return time.Duration(min(n, uint64(promise.MaxRetention/unit)+1)) * unit
}

func (s *Server) receipt(r *promise.Receipt) *promisev1.Receipt {
	return &promisev1.Receipt{Id: r.ID, Group: s.group(r.ID), Index: r.Index, AtUnixUs: r.At.Microseconds(), UntilUnixUs: r.StartBy.Microseconds()}
}

var kinds = map[promise.Kind]promisev1.Kind{
	promise.Done: promisev1.Kind_KIND_DONE, promise.Failed: promisev1.Kind_KIND_FAILED, promise.Refused: promisev1.Kind_KIND_REFUSED,
}

// Await waits for an end. The answer is a linearizable read.
func (s *Server) Await(ctx context.Context, q *promisev1.AwaitRequest) (*promisev1.AwaitResponse, error) {
	if err := promise.CheckID(q.Id); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	select {
	case s.awaitSlots <- struct{}{}:
		defer func() { <-s.awaitSlots }()
	default:
		return nil, status.Error(codes.ResourceExhausted, "as many calls wait as may")
	}
	until := time.Now().Add(min(time.Duration(q.WaitMs)*time.Millisecond, maxAwait))
	for {
		s.waitForEnd(ctx, q.Id, until)
		a, err := s.proposeWithRetry(ctx, promise.Command{Op: promise.OpRead, ID: q.Id})
		switch {
		case err != nil:
			return nil, err
		case !a.OK:
			return nil, statusOf(a)
		case a.End == nil && time.Now().Before(until) && ctx.Err() == nil:
			select { // the local replica may lag behind
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
			continue
		}
		r := &promisev1.AwaitResponse{Receipt: s.receipt(a.Receipt)}
		if e := a.End; e != nil {
			r.End = &promisev1.End{Kind: kinds[e.Kind], Reason: e.Reason, Result: e.Result, Instance: e.By, AtUnixUs: e.At.Microseconds()}
		}
		return r, nil
	}
}

// waitForEnd waits until the local replica, if there is one, has the promise's end or no such promise, or until the
// time is up.
func (s *Server) waitForEnd(ctx context.Context, id string, until time.Time) {
	for time.Now().Before(until) {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		open := false
		wait := min(time.Until(until), time.Second)
		if !s.host.View(s.group(id), replica.PromisesMachine, func(m replica.Machine) {
			e := m.(*promise.Machine).Entry(id)
			open = e != nil && e.End == nil
		}) {
			changed, wait = nil, min(wait, remotePollPause)
		} else if !open {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil || changed == nil {
			return
		}
	}
}

// Forget removes a promise that has ended.
func (s *Server) Forget(ctx context.Context, q *promisev1.ForgetRequest) (*promisev1.ForgetResponse, error) {
	a, err := s.proposeWithRetry(ctx, promise.Command{Op: promise.OpForget, ID: q.Id})
	if err == nil && !a.OK {
		err = statusOf(a)
	}
	if err != nil {
		return nil, err
	}
	return &promisev1.ForgetResponse{}, nil
}
