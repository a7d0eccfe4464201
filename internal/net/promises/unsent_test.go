package promises

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/promise"
	"caperrelay/internal/replica"
	"caperrelay/internal/wire"
	promisev1 "caperrelay/proto/winglb/promise/v1"
)

// submitted returns a job that must not run twice, submitted to the first dispatcher, at the moment when its attempt
// requests to be sent.
func submitted(t *testing.T, s [2]*Server, c [2]*core, h [2]*fakeHost) (*dispatch.Command, *dispatch.Attempt) {
	h[0].term.Store(1)
	_, err := s[0].Promise(t.Context(), &promisev1.PromiseRequest{Id: "j", Job: &promisev1.Job{Class: "once", Payload: []byte("work"), WithinMs: 4000}})
	require.NoError(t, err)
	m := receive(t, c[0].submitted, "the job is submitted")
	return m, &dispatch.Attempt{Command: m, Instance: "s-1", Deadline: m.Deadline}
}

// stall holds a dispatcher's proposals until release is closed, and then loses or commits them; finished receives one value
// for each. Later proposals are committed at once.
func stall(h *fakeHost, lose bool, ops ...promise.Op) (asked, finished, release chan bool) {
	asked, finished, release = make(chan bool, 99), make(chan bool, 99), make(chan bool)
	f := func(c promise.Command, commit func() ([]byte, error)) ([]byte, error) {
		select {
		case <-release:
			return commit()
		default:
		}
		if !slices.Contains(ops, c.Op) {
			return commit()
		}
		asked <- true
		<-release
		defer func() { finished <- true }()
		if lose {
			return nil, replica.ErrUnknown
		}
		return commit()
	}
	h.agree.Store(&f)
	return asked, finished, release
}

// loseLease takes a dispatcher's lease away and waits until it has abandoned its job.
func loseLease(t *testing.T, c *core, h *fakeHost) {
	h.term.Store(0)
	receive(t, c.abandoned, "the job is abandoned")
}

// intents returns the number of the job's intents in the table.
func intents(s *Server) (n int) {
	s.host.View(s.group("j"), replica.PromisesMachine, func(m replica.Machine) {
		if e := m.(*promise.Machine).Entry("j"); e != nil {
			n = len(e.Intents)
		}
	})
	return n
}

// requireResubmitted gives the second dispatcher the lease and requires that it submits the job before it is given
// up.
func requireResubmitted(t *testing.T, s [2]*Server, c [2]*core, h [2]*fakeHost) {
	t.Helper()
	h[0].term.Store(0)
	h[1].term.Store(2)
	ended := make(chan *promisev1.End, 1)
	go func() {
		if r, err := s[1].Await(t.Context(), &promisev1.AwaitRequest{Id: "j", WaitMs: 20_000}); err == nil {
			ended <- r.End
		}
	}()
	select {
	case <-c[1].submitted:
	case e := <-ended:
		t.Fatalf("no attempt was sent, and the promise ended: %v", e)
	}
}

// Guards against giving up a job whose attempt was never sent: its intent was committed after the dispatcher had
// lost its lease, or had handed over to a newer process, while the attempt still waited at its gate.
func TestIntentCommittedTooLateIsWithdrawn(t *testing.T) {
	for name, ends := range map[string]func(*Server, *core, *fakeHost, *dispatch.Command){
		"lease lost": func(_ *Server, c *core, h *fakeHost, _ *dispatch.Command) { loseLease(t, c, h) },
		"newer process": func(s *Server, _ *core, _ *fakeHost, m *dispatch.Command) {
			s.SetYielding(true)
			m.Client.HandOver(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c, h := pair(t)
			asked, finished, release := stall(h[0], false, promise.OpIntent)
			m, a := submitted(t, s, c, h)
			m.Gate.RequestSend(a)
			receive(t, asked, "its intent is proposed")
			ends(s[0], c[0], h[0], m)
			close(release)
			receive(t, finished, "its intent is committed")
			requireResubmitted(t, s, c, h)
			require.Empty(t, c[0].allowed, "no attempt was sent")
		})
	}
}

// Guards against an intent that is never withdrawn because the report that its attempt never ran could not be
// committed at once: there was no majority, or the lease was lost before it was proposed, while it was, or after the
// attempt was recorded as begun.
func TestNeverRanReportIsRetried(t *testing.T) {
	for _, name := range []string{"no majority", "lease lost on the way", "lease lost before", "lease lost once begun"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c, h := pair(t)
			m, a := submitted(t, s, c, h)
			m.Gate.RequestSend(a)
			receive(t, c[0].allowed, "its intent is committed")
			asked, _, release := stall(h[0], true, promise.OpNeverRan, promise.OpReport)
			before := name == "lease lost before" || name == "lease lost once begun"
			if name == "lease lost once begun" {
				require.True(t, m.Gate.Begin(a))
			}
			if before {
				loseLease(t, c[0], h[0])
			}
			m.Gate.NeverRan(a) // as after a failed connection
			if !before {
				receive(t, asked, "that it never ran is proposed")
			}
			if name == "lease lost on the way" {
				loseLease(t, c[0], h[0])
			}
			close(release)
			if name == "no majority" {
				require.Eventually(t, func() bool { return intents(s[0]) == 0 }, 3*time.Second, time.Millisecond, "the intent stays")
			}
			requireResubmitted(t, s, c, h)
		})
	}
}

// A job that never ran must not end as "may have run" when its refusal arrives before the report on its attempt.
func TestRefusedOnceItsAttemptIsKnownNotToHaveRun(t *testing.T) {
	for name, v := range map[string]dispatch.Verdict{"no encoder can do it": dispatch.Unusable, "turned away until its time was over": dispatch.Refused} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c, h := pair(t)
			m, a := submitted(t, s, c, h)
			m.Gate.RequestSend(a)
			receive(t, c[0].allowed, "its intent is committed")
			asked, _, release := stall(h[0], true, promise.OpNeverRan)
			require.True(t, m.Gate.Begin(a))
			if v == dispatch.Refused {
				m.Client.(*submission).startBy = 0 // its deadline has passed
			}
			m.Client.Answer(dispatch.Answer{Verdict: v}) // by the answer to its attempt, 400 or 503; the loop notifies the gate next
			m.Gate.NeverRan(a)
			receive(t, asked, "that it never ran is proposed")
			defer close(release) // the proposal stays in progress meanwhile
			r, err := s[0].Await(t.Context(), &promisev1.AwaitRequest{Id: "j", WaitMs: 20_000})
			require.NoError(t, err)
			require.Equal(t, promisev1.Kind_KIND_REFUSED, r.End.Kind, r.End.Reason)
		})
	}
}

// Guards against attempts that are tracked until their deadlines although the group knows that they never ran: a job
// that is refused again and again has many.
func TestConfirmedAttemptsAreNoLongerTracked(t *testing.T) {
	s, c, h := pair(t)
	m, a := submitted(t, s, c, h)
	m.Gate.RequestSend(a)
	receive(t, c[0].allowed, "its intent is committed")
	m.Gate.NeverRan(a) // as after a failed connection
	require.Eventually(t, func() bool {
		s[0].sends.mu.Lock()
		defer s[0].sends.mu.Unlock()
		return len(s[0].sends.records.All()) == 0
	}, 2*time.Second, time.Millisecond)
}

// Guards against a report that an attempt was never sent which removes a later attempt's intent: a reload makes its
// class repeatable in between, and the later attempt, of the same submission at the same instance, has been sent.
func TestReloadDoesNotMixTwoAttemptsAtOneInstance(t *testing.T) {
	s, c, h := pair(t)
	m, a := submitted(t, s, c, h)
	m.Gate.RequestSend(a)
	receive(t, c[0].allowed, "its intent is committed")
	_, _, release := stall(h[0], true, promise.OpNeverRan)
	defer close(release)
	m.Gate.NeverRan(a)
	s[0].Retune(decide.Settings{Classes: []decide.Class{{Effect: decide.Safe, Deadline: 20 * time.Second}}}, wire.Names{Classes: []string{"once"}})
	m.Gate.RequestSend(&dispatch.Attempt{Command: m, Instance: a.Instance, Index: 1, Deadline: m.Deadline})
	select {
	case <-c[0].abandoned: // another submission has it
	case <-c[0].allowed:
		require.Never(t, func() bool { return intents(s[0]) == 0 }, 2*time.Second, time.Millisecond, "it was sent, and its intent was removed")
	}
}
