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

// handed is a job that must not run twice in the first dispatcher's hands, at the moment when its attempt asks to be sent.
func handed(t *testing.T, s [2]*Server, c [2]*core, h [2]*copies) (*dispatch.Command, *dispatch.Attempt) {
	h[0].term.Store(1)
	_, err := s[0].Promise(t.Context(), &promisev1.PromiseRequest{Id: "j", Job: &promisev1.Job{Class: "once", Payload: []byte("work"), WithinMs: 4000}})
	require.NoError(t, err)
	m := of(t, c[0].taken, "it is handed in")
	return m, &dispatch.Attempt{Command: m, Instance: "s-1", Deadline: m.Deadline}
}

// stall holds a dispatcher's proposals until let is closed, and has them lost then, or committed; over tells of each.
// Later ones are committed at once.
func stall(h *copies, lose bool, ops ...promise.Op) (asked, over, let chan bool) {
	asked, over, let = make(chan bool, 99), make(chan bool, 99), make(chan bool)
	f := func(c promise.Command, commit func() ([]byte, error)) ([]byte, error) {
		select {
		case <-let:
			return commit()
		default:
		}
		if !slices.Contains(ops, c.Op) {
			return commit()
		}
		asked <- true
		<-let
		defer func() { over <- true }()
		if lose {
			return nil, replica.ErrUnknown
		}
		return commit()
	}
	h.agree.Store(&f)
	return asked, over, let
}

// leaves has a dispatcher lose its lease, and waits until it has let go.
func leaves(t *testing.T, c *core, h *copies) {
	h.term.Store(0)
	of(t, c.abandoned, "it is left alone")
}

// intents is how many the table has of the job.
func intents(s *Server) (n int) {
	s.host.View(s.group("j"), replica.PromisesMachine, func(m replica.Machine) {
		if e := m.(*promise.Machine).Entry("j"); e != nil {
			n = len(e.Intents)
		}
	})
	return n
}

// begunAgain has the second dispatcher act, which is to have the job in hand before it is given up.
func begunAgain(t *testing.T, s [2]*Server, c [2]*core, h [2]*copies) {
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
	case <-c[1].taken:
	case e := <-ended:
		t.Fatalf("nothing went out, and it ended: %v", e)
	}
}

// Guards against giving a job up whose attempt still waited at its gate, in a process that lives, when the intent was
// committed: it had lost its lease by then, or left all to a newer process.
func TestIntentThatComesTooLateIsTakenBack(t *testing.T) {
	for name, ends := range map[string]func(*Server, *core, *copies, *dispatch.Command){
		"lease lost":    func(_ *Server, c *core, h *copies, _ *dispatch.Command) { leaves(t, c, h) },
		"newer process": func(s *Server, _ *core, _ *copies, m *dispatch.Command) { s.Yield(true); m.Client.HandOver(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c, h := pair(t)
			asked, over, let := stall(h[0], false, promise.OpIntent)
			m, a := handed(t, s, c, h)
			m.Gate.RequestSend(a)
			of(t, asked, "its intent is proposed")
			ends(s[0], c[0], h[0], m)
			close(let)
			of(t, over, "its intent is committed")
			begunAgain(t, s, c, h)
			require.Empty(t, c[0].passed, "nothing went out")
		})
	}
}

// Guards against an intent that stays for good where the word that its attempt never ran could not be committed at once: no
// majority answered, or the lease was lost before it could be proposed, or on the way, or once it was noted as begun.
func TestWordThatAnAttemptNeverRanIsRepeated(t *testing.T) {
	for _, name := range []string{"no majority", "lease lost on the way", "lease lost before", "lease lost once begun"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c, h := pair(t)
			m, a := handed(t, s, c, h)
			m.Gate.RequestSend(a)
			of(t, c[0].passed, "its intent is committed")
			asked, _, let := stall(h[0], true, promise.OpNeverRan, promise.OpReport)
			before := name == "lease lost before" || name == "lease lost once begun"
			if name == "lease lost once begun" {
				require.True(t, m.Gate.Begin(a))
			}
			if before {
				leaves(t, c[0], h[0])
			}
			m.Gate.NeverRan(a) // as of a connection that did not come up
			if !before {
				of(t, asked, "that it never ran is proposed")
			}
			if name == "lease lost on the way" {
				leaves(t, c[0], h[0])
			}
			close(let)
			if name == "no majority" {
				require.Eventually(t, func() bool { return intents(s[0]) == 0 }, 3*time.Second, time.Millisecond, "the intent stays")
			}
			begunAgain(t, s, c, h)
		})
	}
}

// Guards against an end as "may have run" of a job that never did: its end as refused overtook the word of its attempt.
func TestRefusedOnceItsAttemptIsKnownNotToHaveRun(t *testing.T) {
	for name, v := range map[string]dispatch.Verdict{"no encoder can do it": dispatch.Unusable, "turned away until its time was over": dispatch.Refused} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c, h := pair(t)
			m, a := handed(t, s, c, h)
			m.Gate.RequestSend(a)
			of(t, c[0].passed, "its intent is committed")
			asked, _, let := stall(h[0], true, promise.OpNeverRan)
			require.True(t, m.Gate.Begin(a))
			if v == dispatch.Refused {
				m.Client.(*hand).until = 0 // its time is over
			}
			m.Client.Answer(dispatch.Answer{Verdict: v}) // by the answer to its attempt, 400 or 503: the loop tells the gate next
			m.Gate.NeverRan(a)
			of(t, asked, "that it never ran is proposed")
			defer close(let) // and is under way for long
			r, err := s[0].Await(t.Context(), &promisev1.AwaitRequest{Id: "j", WaitMs: 20_000})
			require.NoError(t, err)
			require.Equal(t, promisev1.Kind_KIND_REFUSED, r.End.Kind, r.End.Reason)
		})
	}
}

// Guards against attempts that are followed until their deadlines though the group has it that they never ran: a job that is
// turned away again and again has many.
func TestWhatTheGroupKnowsIsFollowedNoMore(t *testing.T) {
	s, c, h := pair(t)
	m, a := handed(t, s, c, h)
	m.Gate.RequestSend(a)
	of(t, c[0].passed, "its intent is committed")
	m.Gate.NeverRan(a) // as of a connection that did not come up
	require.Eventually(t, func() bool {
		s[0].sends.mu.Lock()
		defer s[0].sends.mu.Unlock()
		return len(s[0].sends.all.All()) == 0
	}, 2*time.Second, time.Millisecond)
}

// Guards against word that an attempt was never sent which takes a later one's intent away: its class may be repeated by a
// reload in between, and the later one, by the same hand-in at the same instance, has gone out.
func TestReloadDoesNotMixTwoAttemptsAtOneInstance(t *testing.T) {
	s, c, h := pair(t)
	m, a := handed(t, s, c, h)
	m.Gate.RequestSend(a)
	of(t, c[0].passed, "its intent is committed")
	_, _, let := stall(h[0], true, promise.OpNeverRan)
	defer close(let)
	m.Gate.NeverRan(a)
	s[0].Retune(decide.Settings{Classes: []decide.Class{{Effect: decide.Safe, Deadline: 20 * time.Second}}}, wire.Names{Classes: []string{"once"}})
	m.Gate.RequestSend(&dispatch.Attempt{Command: m, Instance: a.Instance, Index: 1, Deadline: m.Deadline})
	select {
	case <-c[0].abandoned: // another hand-in has it
	case <-c[0].passed:
		require.Never(t, func() bool { return intents(s[0]) == 0 }, 2*time.Second, time.Millisecond, "it has gone out, and its intent is taken away")
	}
}
