package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
)

type gate struct{ requested, neverRan []*Attempt }

func (g *gate) RequestSend(a *Attempt) { g.requested = append(g.requested, a) }
func (g *gate) Begin(*Attempt) bool    { return true }
func (g *gate) NeverRan(a *Attempt)    { g.neverRan = append(g.neverRan, a) }

// loopWithGatedCommand is loopWithCommand for a command with a gate.
func loopWithGatedCommand(t *testing.T) (*Loop, *fleet, *client, *gate) {
	f, c, g := &fleet{}, &client{}, &gate{}
	l := newTestLoop(t, f)
	l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Ready}, {ID: "s-2", State: decide.Ready}}}, true)
	l.Submit(&Command{ID: "p~1", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: c, Gate: g})
	l.runBatch()
	require.Len(t, g.requested, 1)
	require.Empty(t, f.sent, "nothing may be sent before the gate permits it")
	return l, f, c, g
}

// An attempt that is cancelled while it waits is not sent when the permission arrives, no instance is notified,
// and it counts as never sent.
func TestCancelledAttemptDoesNotPassGate(t *testing.T) {
	l, f, _, g := loopWithGatedCommand(t)
	a := g.requested[0]
	l.cancelAttempt(decide.Cancel{Request: a.request})
	l.AllowSend(a, func() bool { return true })
	l.runBatch()
	require.Empty(t, f.sent)
	require.Empty(t, f.cancelled)
	require.Equal(t, []*Attempt{a}, g.neverRan)

	l, f, _, g = loopWithGatedCommand(t)
	l.AllowSend(g.requested[0], func() bool { return false })
	l.runBatch()
	require.True(t, f.sent[0].Expired(time.Now()), "the sender must check the permission again")
	l.AttemptEnded(f.sent[0], decide.NotSent, 0)
	l.runBatch()
	require.Equal(t, f.sent, g.neverRan)
}

// Guards against the decision module counting the time at the gate as the instance's delay: it is notified which commands
// have a gate, and which attempts have passed.
func TestDecisionModuleIsToldOfGate(t *testing.T) {
	l, _, _, g := loopWithGatedCommand(t)
	a := g.requested[0]
	l.AllowSend(a, func() bool { return true })
	(<-l.inbox)(l)
	require.Equal(t, []decide.Event{decide.AttemptSent{Request: a.request, Attempt: 0}}, l.events)
	require.True(t, l.mod.Snapshot().Requests[0].Gated)
}

// A command that the decision module fails as too late is refused while all of its attempts wait at the gate: it
// has not run, and the gate is notified before the client. Once an attempt was let through, it may have run.
func TestFailedAtGateIsRefused(t *testing.T) {
	for _, passed := range []bool{false, true} {
		l, f, c, g := loopWithGatedCommand(t)
		if passed {
			l.AllowSend(g.requested[0], func() bool { return true })
			l.runBatch()
		}
		l.failRequest(decide.FailRequest{Request: g.requested[0].request})
		require.Len(t, c.answers, 1)
		require.Equal(t, map[bool]Verdict{false: Refused, true: Failed}[passed], c.answers[0].Verdict)
		require.Len(t, g.neverRan, map[bool]int{false: 1}[passed])
		l.AllowSend(g.requested[0], func() bool { return true })
		l.runBatch()
		require.Len(t, f.sent, map[bool]int{true: 1}[passed])
	}
}

// An abandoned attempt is not cancelled at its instance, and its callback goes to the handler of unmatched
// callbacks. A newer process does not receive the command, and nothing keeps waiting at the older process's gate.
func TestAbandonAndHandoverOfGatedCommands(t *testing.T) {
	l, f, c, g := loopWithGatedCommand(t)
	var unmatched []Callback
	l.OnUnmatchedCallback(func(n Callback) bool { unmatched = append(unmatched, n); return true })
	l.AllowSend(g.requested[0], func() bool { return true })
	l.runBatch()
	l.Abandon(f.sent[0].Command)
	l.runBatch()
	l.HandleCallback(Callback{ID: "p~1", From: "s-1", State: Done})
	l.runBatch()
	require.Empty(t, f.cancelled)
	require.Empty(t, c.answers)
	require.Empty(t, g.neverRan)
	require.Len(t, unmatched, 1)
	require.Zero(t, l.Pending())
	require.Empty(t, l.byRequest)

	l, f, _, g = loopWithGatedCommand(t)
	l.HandOver(func(h HandoverState) bool { require.Empty(t, h.Commands); return true })
	l.AllowSend(g.requested[0], func() bool { return true })
	l.runBatch()
	require.Empty(t, f.sent)
	require.Zero(t, l.Pending())
}

// Guards against a handover cutting off a command with reserved slots, such as a member of a gang: the newer
// process waited for a client connection, which such a command does not have, and cancelled it when the older process
// exited. Its instance's callbacks go to the handlers of unmatched callbacks.
func TestReservedCommandsAreNotHandedOver(t *testing.T) {
	f, c := &fleet{}, &client{}
	l := newTestLoop(t, f)
	var unmatched []string
	l.OnUnmatchedCallback(func(n Callback) bool { return n.ID == "p~1" })
	l.OnUnmatchedCallback(func(n Callback) bool { unmatched = append(unmatched, n.ID); return true })
	l.UpdateInstances(InstanceUpdate{Instances: []Instance{{ID: "s-1", State: decide.Ready}}}, true)
	l.Submit(&Command{ID: "gang-g-1-0", Class: "safe", Deadline: time.Now().Add(time.Hour), Client: c, Reserved: true})
	l.HandleCallback(Callback{ID: "p~1", From: "s-1", State: Done})
	l.HandleCallback(Callback{ID: "gang-h-1-0", From: "s-1", State: Done})
	l.runBatch()
	require.Equal(t, []string{"gang-h-1-0"}, unmatched)
	require.Len(t, f.sent, 1)
	l.HandOver(func(h HandoverState) bool { require.Empty(t, h.Commands); return true })
	l.runBatch()
	require.Empty(t, f.cancelled)
	require.Equal(t, []bool{true}, c.handedOver)
	require.Zero(t, l.Pending())
}

// Guards against a gate that is never notified of an attempt that was abandoned or cancelled when it was about
// to be sent, and then was not sent or was returned by the instance.
func TestGateIsNotifiedOfAbandonedAttemptThatNeverRan(t *testing.T) {
	abandon := func(l *Loop, a *Attempt) { l.Abandon(a.Command) }
	cancel := func(l *Loop, a *Attempt) { l.cancelAttempt(decide.Cancel{Request: a.request}) }
	for o, notified := range map[decide.Outcome]bool{decide.NotSent: true, decide.Full: true, decide.ConnectFailed: true, decide.Reset: false, decide.Errored: false, decide.TimedOut: false} {
		for _, end := range []func(*Loop, *Attempt){abandon, cancel, (*Loop).expireAttempt} {
			l, f, c, g := loopWithGatedCommand(t)
			l.AllowSend(g.requested[0], func() bool { return true })
			l.runBatch()
			end(l, f.sent[0])
			for range 2 { // the gate is notified once, however often the attempt ends
				l.AttemptEnded(f.sent[0], o, 0)
				l.runBatch()
			}
			require.Len(t, g.neverRan, map[bool]int{true: 1}[notified], "outcome %d", o)
			require.Empty(t, c.answers)
		}
	}
}

// Guards against an attempt passing its gate, or its first byte, after the time in which its command may be sent again.
// That holds for an earlier attempt too that is still unsent.
func TestAttemptExpiresWithTheTimeToSendIt(t *testing.T) {
	l, f, _, g := loopWithGatedCommand(t)
	first, now := g.requested[0], time.Now()
	l.startAttempt(decide.Send{Request: first.request, Worker: l.workerID("s-3"), SendWithin: time.Minute}, now)
	for _, a := range []*Attempt{first, g.requested[1]} {
		l.AllowSend(a, func() bool { return true })
		l.runBatch()
		require.Contains(t, f.sent, a)
		require.False(t, a.Expired(now.Add(time.Minute-1)))
		require.True(t, a.Expired(now.Add(time.Minute)))
	}
	second := g.requested[1]
	second.SendUntil = now.Add(time.Second)
	require.Equal(t, second.SendUntil, second.SendBefore(), "the end of its lease is earlier")
	l.startAttempt(decide.Send{Request: first.request, Worker: l.workerID("s-4")}, now)
	require.False(t, first.Expired(now.Add(time.Minute)), "no earlier attempt has run")
}
