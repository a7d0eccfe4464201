package gang

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heldGang is a group in which a gang of two members is held, planned by the clock "n0/1".
func heldGang(t *testing.T) (m *Machine, encoders []Encoder, start time.Duration) {
	m, start = New(), epoch+2*time.Second
	p := &Plan{Round: 1, Start: start, Clock: "n0/1", Encoders: []string{"s-0", "s-1"}, Starters: []string{"n1", "n2"}}
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

// messages are those of a kind that a coordinator tells, by dispatcher.
func messages(c *Coordinator, kind MessageKind) map[string]Message {
	all := map[string]Message{}
	for _, a := range c.TakeActions() {
		if t, ok := a.(Send); ok && t.Kind == kind {
			all[t.To] = t.Message
		}
	}
	return all
}

// measure has a coordinator learn of a dispatcher's clock, which is so far ahead of its own.
func measure(c *Coordinator, now time.Duration, who, clock string, ahead, trip time.Duration) {
	c.HandleReply(now, now-trip, who, Message{}, Reply{Now: now - trip/2 + ahead, Clock: clock}, 0)
}

// Whoever coordinates goes by the clock that a start was planned by: two whose clocks are 200 ms apart name the same
// moment to a dispatcher. One that never measured that clock has the gang planned anew.
func TestStartUsesPlannersClock(t *testing.T) {
	m, encoders, start := heldGang(t)
	planner, next, stranger := NewCoordinator("n0/1"), NewCoordinator("n3/1"), NewCoordinator("n4/1")
	at := start - 400*ms // by the planner's clock; n1's is 50 ms ahead of it, n2's 80 behind, and n3's 200 ahead
	named := map[string]Message{}
	for _, c := range []*Coordinator{planner, next} {
		now, own := at, time.Duration(0)
		if c == next {
			own = 200 * ms
			measure(c, now+own, "n0", "n0/1", -own, 2*ms)
		}
		measure(c, now+own, "n1", "n1/1", 50*ms-own, 2*ms)
		measure(c, now+own, "n2", "n2/1", -80*ms-own, 2*ms)
		c.Step(now+own, 0, m, encoders)
		told := messages(c, Arm)
		require.Len(t, told, 2)
		for who, w := range told {
			require.Len(t, w.Assignments, 1)
			if before, was := named[who]; was {
				require.LessOrEqual(t, (w.At - before.At).Abs(), w.ClockError+before.ClockError, who)
			}
			named[who] = w
		}
	}
	require.InDelta(t, start+50*ms, named["n1"].At, float64(named["n1"].ClockError))
	require.InDelta(t, start-80*ms, named["n2"].At, float64(named["n2"].ClockError))
	stranger.Step(at, 0, m, encoders)
	require.Contains(t, stranger.TakeActions(), Propose{"0/drop/g/1/0/0//", 0, Command{Op: "drop", Gang: "g", Round: 1, Reason: "the clock that its start goes by is not known"}})
}

// A dispatcher comes anew with its clock stepped by 200 ms, and is measured worse than before: the old measure is dropped,
// whoever was ready by it is asked again, and where only its clock was put to another time, too.
func TestDispatcherClockStep(t *testing.T) {
	m, encoders, start := heldGang(t)
	for _, clock := range []string{"n1/2", "n1/1"} {
		c := NewCoordinator("n0/1")
		now := start - 500*ms
		for _, who := range []string{"n1", "n2"} {
			measure(c, now, who, who+"/1", 0, ms)
		}
		c.Step(now, 0, m, encoders)
		for who, w := range messages(c, Arm) {
			c.HandleReply(now+ms, now, who, w, Reply{Now: now, Clock: who + "/1", Members: []MemberReply{{Member: w.Assignments[0].Member, Armed: true}}}, 0)
		}
		require.Len(t, c.armed["g/1"], 2)
		measure(c, now+20*ms, "n1", clock, 200*ms, 30*ms)
		require.Empty(t, c.armed["g/1"])
		require.EqualValues(t, 1, c.Stats.ClockJumps)
		c.Step(now+20*ms, 0, m, encoders)
		w := messages(c, Arm)["n1"]
		require.InDelta(t, start+200*ms, w.At, float64(w.ClockError))
		require.GreaterOrEqual(t, w.ClockError, 15*ms)

		// A word that was sent before makes nobody ready.
		w.offset, w.ClockError = 0, ms
		c.HandleReply(now+25*ms, now, "n1", w, Reply{Now: now + 212*ms, Clock: clock, Members: []MemberReply{{Armed: true}}}, 0)
		require.Empty(t, c.armed["g/1"])
	}
}

// A starter that is told to go at another time than it was made ready for does not start: one of the clocks was put to
// another time in between.
func TestGoWithDifferentStart(t *testing.T) {
	for _, by := range []time.Duration{0, 4 * ms, 40 * ms, -200 * ms} {
		s := NewStarter()
		w := Message{Kind: Arm, Gang: "g", Round: 1, At: epoch + 500*ms, ClockError: 3 * ms, Skew: 250 * ms, Assignments: []Assignment{{Member: 1, Encoder: "s-1"}}}
		require.True(t, s.Handle(epoch, w).Members[0].Armed)
		w.Kind, w.At = Go, w.At+by
		said := s.Handle(epoch+10*ms, w).Members[0]
		s.Tick(epoch + 500*ms)
		if by.Abs() <= 6*ms {
			require.Equal(t, Unknown, said.Status)
			require.Len(t, s.TakeActions(), 1)
			continue
		}
		require.Equal(t, NeverRan, said.Status)
		require.Empty(t, s.TakeActions())
	}
}

// Guards against a leader that takes a home over late ending a gang whose members must not run twice as not started, they may
// have run, before it has heard of its dispatchers, which know that none was sent.
func TestNewLeaderQueriesDispatchersBeforeSettling(t *testing.T) {
	for _, off := range []bool{false, true} { // whether the leader before it had called the gang off
		m, encoders, start := heldGang(t)
		for i := range m.Gangs["g"].Spec.Members {
			m.Gangs["g"].Spec.Members[i].Once = true
		}
		starters := map[string]*Starter{"n1": NewStarter(), "n2": NewStarter()}
		for i, name := range []string{"n1", "n2"} {
			starters[name].Handle(start-500*ms, Message{Kind: Arm, Gang: "g", Round: 1, At: start, Skew: 250 * ms, Assignments: []Assignment{{Member: i}}})
		}
		require.True(t, m.apply(start-200*ms, Command{Op: "go", Gang: "g", Round: 1, Armed: []string{"n1", "n2"}, At: start - 200*ms}).OK)
		if off { // its word to go reached nobody
			require.True(t, m.apply(start+400*ms, Command{Op: "off", Gang: "g", Round: 1, At: start + 400*ms}).OK)
		}
		next := NewCoordinator("n3/1")
		now := start + SettleDelay + 100*ms
		for _, name := range []string{"n0", "n1", "n2"} {
			measure(next, now, name, name+"/1", 0, 2*ms)
		}
		var later []func()
		for range 100 { // what is proposed is committed at once, what is told is answered 10 ms later
			next.Step(now, 0, m, encoders)
			due := later
			later = nil
			for _, a := range next.TakeActions() {
				switch a := a.(type) {
				case Propose:
					next.HandleResult(now, a.Key, m.apply(now, a.Command), true)
				case Send:
					sent, said := now, starters[a.To].Handle(now, a.Message)
					later = append(later, func() { next.HandleReply(now, sent, a.To, a.Message, said, 0) })
				}
			}
			for _, do := range due {
				do()
			}
			now += 10 * ms
		}
		e := m.Gangs["g"]
		require.Empty(t, e.MayHaveRun, "off %v: %s %s: %s", off, e.State, e.Verdict, e.Reason)
		require.Equal(t, Waiting, e.State, "it is planned anew")
	}
}
