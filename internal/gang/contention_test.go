package gang

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxWait is the stated limit: the oldest undecided gang has its holds within this time if there is room in its window
// and nothing fails. It is the sum of the pause after a failed round, one round, and the messages of both.
const maxWait = 500*ms + prepareTimeout + 200*ms

// Forty gangs that need slots of both sites are submitted at once, and twenty more one by one while those run. All are
// completed, and none waits for longer than the limit once it is the oldest.
func TestOldestGangIsHeldWithinBound(t *testing.T) {
	sim := newSimulation(t, 1, 3, 4, 6)
	submitted := 0
	submit := func() {
		members := []Member{{Site: "a"}, {Site: "b"}, {}}[:2+submitted%2]
		for i := range members {
			members[i].Kind, members[i].Class, members[i].Slots, members[i].Work = "m2", "live", 1+sim.IntN(3), time.Duration(400+sim.IntN(800))*ms
		}
		sim.submit(fmt.Sprint("g", submitted), 10*time.Minute, members...)
		submitted++
	}
	for range 40 {
		submit()
	}
	oldest, since, worst := "", sim.now, time.Duration(0)
	for n := 0; sim.open() > 0 && n < 4000; n++ {
		if sim.run(25 * ms); n%10 == 0 && submitted < 60 {
			submit()
		}
		all := slices.DeleteFunc(sim.entries(), func(e *Entry) bool { return e.HeldAt > 0 || e.State == Ended })
		if len(all) == 0 {
			oldest = ""
			continue
		}
		e := slices.MinFunc(all, func(a, b *Entry) int {
			return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
		})
		if e.Spec.ID != oldest {
			oldest, since = e.Spec.ID, sim.now
		}
		worst = max(worst, sim.now-since)
		require.LessOrEqual(t, sim.now-since, maxWait, "%s: %s: %s", e.Spec.ID, e.State, e.Reason)
	}
	for _, e := range sim.entries() {
		require.Equal(t, Completed, e.Verdict, "%s: %s", e.Spec.ID, e.Reason)
	}
	t.Log("all done after", sim.now-epoch, "the oldest waits at most", worst)
}

// ready succeeds once all earlier holds have ended, even if their planned time is over. If a partner now lends less,
// the older of two gangs that start at the same time is ready and the younger is not.
func TestReadyChecksThatSlotsAreFree(t *testing.T) {
	m, at := New(), epoch+10*time.Second
	lend := func(slots int, gen uint64) {
		m.apply(epoch, Command{Op: "set", Resource: &Resource{ID: "p/tuk", Slots: slots, Gen: gen}})
	}
	hold := func(gang string, submittedAt time.Duration, slots int, from, until time.Duration) {
		require.True(t, m.apply(epoch, Command{Op: "prepare", RoundHolds: &RoundHolds{Gang: gang, Round: 1, SubmittedAt: submittedAt, Holds: []Hold{{"p/tuk", 0, 1, slots, from, until}}}}).OK)
		require.True(t, m.apply(epoch, Command{Op: "commit", Gang: gang, Round: 1}).OK)
	}
	ready := func(gang string) bool { return m.apply(epoch, Command{Op: "ready", Gang: gang, Round: 1}).OK }
	lend(4, 1)
	hold("before", 1, 3, at-time.Second, at)
	hold("older", 2, 2, at, at+time.Second)
	hold("younger", 3, 2, at, at+time.Second)
	require.True(t, ready("before"))
	require.False(t, ready("older"), "3 of 4 slots are still in use")
	m.apply(epoch, Command{Op: "end", Gang: "before", Round: 1})
	require.True(t, ready("older"))
	require.True(t, ready("younger"))
	lend(3, 2)
	require.True(t, ready("older"))
	require.False(t, ready("younger"), "the younger gang gives way")
	require.False(t, ready("nobody"))
}
