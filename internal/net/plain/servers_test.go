package plain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

// attemptEnds receives the outcomes of attempts.
type attemptEnds chan decide.Outcome

func (e attemptEnds) AttemptEnded(_ *dispatch.Attempt, o decide.Outcome, _ time.Duration) { e <- o }
func (attemptEnds) AttemptSent(*dispatch.Attempt)                                         {}
func (e attemptEnds) AttemptServed(*dispatch.Attempt, any)                                { e <- decide.OK }
func (attemptEnds) LoadReported(*dispatch.Attempt, decide.Report)                         {}

// leavingClient is a client whose connection is looked at directly before the first byte.
type leavingClient func() bool

func (leavingClient) Answer(dispatch.Answer) {}
func (leavingClient) HandOver(bool)          {}
func (c leavingClient) Disconnected() bool   { return c() }

// Guards against a request that is sent although its client has left, or its server has left the pool, while the connection
// was being opened.
func TestNothingIsSentThatWasGivenUpDuringTheDial(t *testing.T) {
	for name, disconnected := range map[string]func(*Servers) bool{
		"client gone":   func(*Servers) bool { return true },
		"member gone":   func(s *Servers) bool { s.SetMembers(dispatch.InstanceUpdate{}); return false },
		"nothing wrong": func(*Servers) bool { return false },
	} {
		to, ends := startServer(t, "a", nil), make(attemptEnds, 1)
		s := NewServers(time.Minute, 1)
		s.ReportTo(ends)
		s.SetMembers(dispatch.InstanceUpdate{Instances: []dispatch.Instance{{ID: "a", Address: to.address(), State: decide.Ready}}})
		s.Send(&dispatch.Attempt{
			Instance: "a", Deadline: time.Now().Add(time.Minute),
			Command: &dispatch.Command{Client: leavingClient(func() bool { return disconnected(s) }), Payload: &Exchange{Method: "GET", Target: "/"}},
		})
		want, requests := decide.NotSent, 0
		if name == "nothing wrong" {
			want, requests = decide.OK, 1
		}
		require.Equal(t, want, <-ends, name)
		require.EqualValues(t, requests, to.requests.Load(), name)
		s.Close()
	}
}
