package gang

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heldGang returns a group with a held gang of two members, whose start is given by the clock "n0/1".
func heldGang(t *testing.T) (m *Machine, encoders []Encoder, start time.Duration) {
	m, start = New(), epoch+2*time.Second
	p := &Plan{Round: 1, Start: start, Clock: "n0/1", Encoders: []string{"s-0", "s-1"}, Dispatchers: []string{"n1", "n2"}}
	for i, id := range p.Encoders {
		x := Encoder{ID: id, Site: []string{"a", "b"}[i], Kind: "m2", Slots: 4, Gen: 1}
		encoders = append(encoders, x)
		m.apply(epoch, Command{Op: "set", Resource: &Resource{ID: x.Account(), Slots: 4, Gen: 1}})
		p.Holds = append(p.Holds, Hold{x.Account(), 0, 1, 1, start, start + time.Second})
	}
	one := Member{Slots: 1, Work: 500 * ms, Class: "live"}
	for _, c := range []Command{
		{Op: "submit", Spec: &Spec{ID: "g", Members: []Member{one, one}, LatestStart: start + time.Minute}},
		{Op: "plan", Gang: "g", Plan: p},
		{Op: "prepare", RoundHolds: &RoundHolds{Gang: "g", Round: 1, Holds: p.Holds, Clock: p.Clock}},
		{Op: "vote", Gang: "g", Round: 1},
		{Op: "commit", Gang: "g", Round: 1},
	} {
		r := m.apply(epoch, c)
		require.True(t, r.OK, r.Err)
	}
	return m, encoders, start
}

// messages returns the messages of a kind that a coordinator sends, by dispatcher.
func messages(c *Coordinator, kind MessageKind) map[string]Message {
	all := map[string]Message{}
	for _, a := range c.TakeActions() {
		if t, ok := a.(Send); ok && t.Kind == kind {
			all[t.To] = t.Message
		}
	}
	return all
}

// measure has a coordinator measure a dispatcher's clock that is ahead of its own.
func measure(c *Coordinator, now time.Duration, dispatcher, clock string, ahead, trip time.Duration) {
	c.HandleReply(now, now-trip, dispatcher, Message{}, Reply{Now: now - trip/2 + ahead, Clock: clock}, 0)
}

// Start times go by the planner's clock: two coordinators whose clocks differ by 200 ms give a dispatcher the same
// start. A coordinator that never measured the planner's clock has the gang planned again.
func TestStartUsesPlannersClock(t *testing.T) {
	m, encoders, start := heldGang(t)
	planner, next, uninformed := NewCoordinator("n0/1"), NewCoordinator("n3/1"), NewCoordinator("n4/1")
	at := start - 400*ms // by the planner's clock; n1's is 50 ms ahead, n2's 80 ms behind, n3's 200 ms ahead
	received := map[string]Message{}
	for _, c := range []*Coordinator{planner, next} {
		now, own := at, time.Duration(0)
		if c == next {
			own = 200 * ms
			measure(c, now+own, "n0", "n0/1", -own, 2*ms)
		}
		measure(c, now+own, "n1", "n1/1", 50*ms-own, 2*ms)
		measure(c, now+own, "n2", "n2/1", -80*ms-own, 2*ms)
		c.Step(now+own, 0, m, encoders)
		armMessages := messages(c, Arm)
		require.Len(t, armMessages, 2)
		for dispatcher, msg := range armMessages {
			require.Len(t, msg.Assignments, 1)
			if before, found := received[dispatcher]; found {
				require.LessOrEqual(t, (msg.At - before.At).Abs(), msg.ClockError+before.ClockError, dispatcher)
			}
			received[dispatcher] = msg
		}
	}
	require.InDelta(t, start+50*ms, received["n1"].At, float64(received["n1"].ClockError))
	require.InDelta(t, start-80*ms, received["n2"].At, float64(received["n2"].ClockError))
	uninformed.Step(at, 0, m, encoders)
	require.Contains(t, uninformed.TakeActions(), Propose{"0/drop/g/1/0/0//", 0, Command{Op: "drop", Gang: "g", Round: 1, Reason: "the clock that its start goes by is not known"}})
}

// A dispatcher restarts with its clock stepped by 200 ms, and the new measurement is less exact than the old one. The
// old one is dropped, and all dispatchers are armed again. The same holds for a step without a restart.
func TestDispatcherClockStep(t *testing.T) {
	m, encoders, start := heldGang(t)
	for _, clock := range []string{"n1/2", "n1/1"} {
		c := NewCoordinator("n0/1")
		now := start - 500*ms
		for _, dispatcher := range []string{"n1", "n2"} {
			measure(c, now, dispatcher, dispatcher+"/1", 0, ms)
		}
		c.Step(now, 0, m, encoders)
		for dispatcher, msg := range messages(c, Arm) {
			c.HandleReply(now+ms, now, dispatcher, msg, Reply{Now: now, Clock: dispatcher + "/1", Members: []MemberReply{{Member: msg.Assignments[0].Member, Armed: true}}}, 0)
		}
		require.Len(t, c.armed["g/1"], 2)
		measure(c, now+20*ms, "n1", clock, 200*ms, 30*ms)
		require.Empty(t, c.armed["g/1"])
		require.EqualValues(t, 1, c.Stats.ClockJumps)
		c.Step(now+20*ms, 0, m, encoders)
		msg := messages(c, Arm)["n1"]
		require.InDelta(t, start+200*ms, msg.At, float64(msg.ClockError))
		require.GreaterOrEqual(t, msg.ClockError, 15*ms)

		// The reply to a message from before the step arms no member.
		msg.offset, msg.ClockError = 0, ms
		c.HandleReply(now+25*ms, now, "n1", msg, Reply{Now: now + 212*ms, Clock: clock, Members: []MemberReply{{Armed: true}}}, 0)
		require.Empty(t, c.armed["g/1"])
	}
}

// A starter that receives a go message with a different start than it was armed for does not start: a clock was
// stepped in between.
func TestGoWithDifferentStart(t *testing.T) {
	for _, shift := range []time.Duration{0, 4 * ms, 40 * ms, -200 * ms} {
		s := NewStarter()
		msg := Message{Kind: Arm, Gang: "g", Round: 1, At: epoch + 500*ms, ClockError: 3 * ms, Skew: 250 * ms, Assignments: []Assignment{{Member: 1, Encoder: "s-1"}}}
		require.True(t, s.Handle(epoch, msg).Members[0].Armed)
		msg.Kind, msg.At = Go, msg.At+shift
		reply := s.Handle(epoch+10*ms, msg).Members[0]
		s.Tick(epoch + 500*ms)
		if shift.Abs() <= 6*ms {
			require.Equal(t, Unknown, reply.Status)
			require.Len(t, s.TakeActions(), 1)
			continue
		}
		require.Equal(t, NeverRan, reply.Status)
		require.Empty(t, s.TakeActions())
	}
}

// Guards against a new leader, which takes over after the start time, ending gangs as not started, with members that may
// have run, before it has queried the dispatchers, which know that no member was sent.
func TestNewLeaderQueriesDispatchersBeforeSettling(t *testing.T) {
	for _, calledOff := range []bool{false, true} { // whether the previous leader had called the gang off
		m, encoders, start := heldGang(t)
		for i := range m.Gangs["g"].Spec.Members {
			m.Gangs["g"].Spec.Members[i].Once = true
		}
		starters := map[string]*Starter{"n1": NewStarter(), "n2": NewStarter()}
		for i, name := range []string{"n1", "n2"} {
			starters[name].Handle(start-500*ms, Message{Kind: Arm, Gang: "g", Round: 1, At: start, Skew: 250 * ms, Assignments: []Assignment{{Member: i}}})
		}
		require.True(t, m.apply(start-200*ms, Command{Op: "go", Gang: "g", Round: 1, Armed: []string{"n1", "n2"}, At: start - 200*ms}).OK)
		if calledOff { // its go message was lost
			require.True(t, m.apply(start+400*ms, Command{Op: "off", Gang: "g", Round: 1, At: start + 400*ms}).OK)
		}
		next := NewCoordinator("n3/1")
		now := start + SettleDelay + 100*ms
		for _, name := range []string{"n0", "n1", "n2"} {
			measure(next, now, name, name+"/1", 0, 2*ms)
		}
		var later []func()
		for range 100 { // proposals are committed at once, messages are answered after 10 ms
			next.Step(now, 0, m, encoders)
			due := later
			later = nil
			for _, a := range next.TakeActions() {
				switch a := a.(type) {
				case Propose:
					next.HandleResult(now, a.Key, m.apply(now, a.Command), true)
				case Send:
					sent, reply := now, starters[a.To].Handle(now, a.Message)
					later = append(later, func() { next.HandleReply(now, sent, a.To, a.Message, reply, 0) })
				}
			}
			for _, do := range due {
				do()
			}
			now += 10 * ms
		}
		e := m.Gangs["g"]
		require.Empty(t, e.MayHaveRun, "off %v: %s %s: %s", calledOff, e.State, e.Verdict, e.Reason)
		require.Equal(t, Waiting, e.State, "it is planned again")
	}
}
