package gang

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runUntil simulates one gang of two members that must not run twice until it reaches a state. It returns the
// dispatcher that sends the first member.
func runUntil(t *testing.T, s State) (*simulation, *Entry, *daemon) {
	sim := newSimulation(t, 3, 1, 4, 2)
	one := Member{Slots: 1, Work: 2 * time.Second, Class: "publish", Once: true}
	sim.submit("g0", 10*time.Second, one, one)
	e := sim.groups[0].Gangs["g0"]
	for range 1000 {
		if sim.run(5 * ms); e.State == s {
			break
		}
	}
	require.Equal(t, s, e.State)
	return sim, e, sim.daemons[slices.IndexFunc(sim.daemons, func(d *daemon) bool { return d.name == e.Plan.Dispatchers[0] })]
}

// A dispatcher restarts between the go message and the start, before it has sent anything. Its gang must not be given
// up because its members may have run.
func TestGoneBeforeTheStartSentNothing(t *testing.T) {
	sim, e, d := runUntil(t, Starting)
	require.Empty(t, sim.runs)
	sim.startProcess(d)
	sim.run(15 * time.Second)
	require.Equal(t, Completed, e.Verdict, "%s; may have run: %v", e.Reason, e.MayHaveRun)
}

// An encoder's report of a member's end is acknowledged, and the dispatcher dies before the gang's home receives it.
// The gang must not end as dead after its start.
func TestAcknowledgedEndOfAMember(t *testing.T) {
	sim, e, d := runUntil(t, Running)
	sim.run(sim.runs[JobID("g0", e.Plan.Round, 0)].until - sim.now - 5*ms)
	sim.startProcess(d) // the dispatcher that sent the member takes the report of its end and is gone
	sim.run(20 * time.Second)
	require.Equal(t, Completed, e.Verdict, "dead: %v", e.Dead)
}
