package gang

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runUntil runs a world with one gang of two members that must not run twice until it is in a state, and returns the dispatcher
// that sends the first.
func runUntil(t *testing.T, s State) (*simulation, *Entry, *daemon) {
	w := newSimulation(t, 3, 1, 4, 2)
	one := Member{Slots: 1, Work: 2 * time.Second, Class: "publish", Once: true}
	w.submit("g0", 10*time.Second, one, one)
	e := w.groups[0].Gangs["g0"]
	for range 1000 {
		if w.run(5 * ms); e.State == s {
			break
		}
	}
	require.Equal(t, s, e.State)
	return w, e, w.daemons[slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.name == e.Plan.Starters[0] })]
}

// Guards against a gang being given up as may have run whose dispatcher died between the word to go and the start, before it
// sent anything.
func TestGoneBeforeTheStartSentNothing(t *testing.T) {
	w, e, d := runUntil(t, Starting)
	require.Empty(t, w.runs)
	w.startProcess(d)
	w.run(15 * time.Second)
	require.Equal(t, Completed, e.Verdict, "%s; may have run: %v", e.Reason, e.MayHaveRun)
}

// Guards against a gang being dead after its start whose members were done: an encoder's word was acknowledged, and the
// dispatcher died before the home had it.
func TestAcknowledgedEndOfAMember(t *testing.T) {
	w, e, d := runUntil(t, Running)
	w.run(w.runs[Key("g0", e.Plan.Round, 0)].until - w.now - 5*ms)
	w.startProcess(d) // who began the member takes its end, and is gone
	w.run(20 * time.Second)
	require.Equal(t, Completed, e.Verdict, "dead: %v", e.Dead)
}
