package fleetmodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
)

// TestDrawnDeployments: one of each way of cancelling, each with another day. What a policy is judged by must add up:
// nobody waits for an answer, nothing that must not is run twice, no share is beyond what there was, and the same
// number plays the same twice, or a loser could not be replayed.
func TestDrawnDeployments(t *testing.T) {
	random, least := 0.0, 0.0
	for _, n := range []int{0, 5, 10, 15} {
		d := Draw(11, n)
		d.Long = 6 * time.Second
		for _, p := range append(Baselines(), Module) {
			r := d.Play(p)
			what := fmt.Sprintf("deployment %d by %s: %v", n, p, d)
			require.Empty(t, r.Broken, what)
			require.Positive(t, r.Jobs, what)
			require.GreaterOrEqual(t, r.Tries, r.Jobs, what)
			require.Equal(t, r.Tries, r.Answers, what)
			require.True(t, r.Share >= 0 && r.Share <= 1, what)
			for _, c := range r.Classes {
				require.True(t, c >= 0 && c <= 1, what)
			}
			require.True(t, r.Wasted >= 0 && r.Wasted <= 1, what)
			require.Equal(t, r, d.Play(p), what)
			switch p {
			case Random:
				random += r.Share
			case Least:
				least += r.Share
			}
		}
	}
	require.Greater(t, least, random, "looking at one's own jobs must be of some use")
}

// scripted sends what it is told to, and calls off when told to.
type scripted struct {
	send  func(r decide.Request) []decide.Action
	wakes map[uint64][]decide.Action
	heard []string
}

func (s *scripted) Handle(now time.Duration, events []decide.Event) (out []decide.Action) {
	for _, e := range events {
		at := (now - dayStart).Round(100 * time.Millisecond)
		switch e := e.(type) {
		case decide.Request:
			out = append(out, s.send(e)...)
		case decide.TimerFired:
			out = append(out, s.wakes[e.Token]...)
		case decide.JobStarted:
			s.heard = append(s.heard, fmt.Sprintf("%v start %d", at, e.Request))
		case decide.AttemptEnded:
			s.heard = append(s.heard, fmt.Sprintf("%v end %d of %d", at, e.Outcome, e.Request))
		}
	}
	return out
}

// stage is one dispatcher and one encoder of one slot and two places in its queue; jobs take a second each.
func stage(cancel Cancel, spells ...Spell) (*world, *scripted) {
	d := Small(1, cancel, Calm, true)
	d.Settings.DispatcherCount, d.Depth = 1, 2
	d.Encoders = []Encoder{{Worker: decide.Worker{ID: 5, State: decide.Ready}, Slots: 1, Speed: 1, Spells: spells}}
	s := &scripted{wakes: map[uint64][]decide.Action{}}
	w := &world{d: d, now: dayStart, encoders: map[uint32]*encoder{}, trace: func(string, ...any) {}}
	w.encoders[5] = &encoder{Encoder: d.Encoders[0], w: w}
	w.rng, w.luck = rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(1, 2))
	w.nodes = []*node{{w: w, p: s, reqs: map[uint32]*request{}, ended: map[uint32]time.Duration{}, subscribed: true}}
	s.send = func(r decide.Request) []decide.Action { return []decide.Action{decide.Send{Request: r.ID, Worker: 5}} }
	return w, s
}

// job has one come at a time of the day.
func (w *world) job(at time.Duration) {
	w.after(at, func() {
		w.arrive(&job{at: w.now, class: 1, work: 1, worth: 1, due: w.now + 15*time.Second, last: w.now + 15*time.Second}, 9)
	})
}

func (w *world) until(at time.Duration) { w.run(dayStart + at) }

// TestHungEncoderStandsStill: what ran when it hung ends as much later, what comes meanwhile is neither begun nor
// refused before it wakes, and a slow spell stretches only what lies in it.
func TestHungEncoderStandsStill(t *testing.T) {
	w, s := stage(CancelNone, Spell{From: 500 * time.Millisecond, Until: 3 * time.Second}, Spell{From: 4 * time.Second, Until: 10 * time.Second, Rate: 0.5})
	for _, at := range []time.Duration{0, 1, 1, 1} { // one more than it has places for
		w.job(at * time.Second)
	}
	w.until(2900 * time.Millisecond)
	require.Equal(t, []string{"0s start 1"}, s.heard)
	w.until(20 * time.Second)
	require.Equal(t, []string{
		"0s start 1", fmt.Sprintf("3s end %d of 4", decide.Full), "3.5s end 0 of 1", "3.5s start 2", "5s end 0 of 2", "5s start 3", "7s end 0 of 3",
	}, s.heard)
}

// TestCallOff: of a job that runs and one that is queued behind it, both called off after half a second, each way of
// cancelling ends what it says; the dispatcher hears the same of all, at once.
func TestCallOff(t *testing.T) {
	for cancel, want := range map[Cancel][]string{
		CancelNone:   {"2s start 3", "3s end 0 of 3"}, // both ran to their ends
		CancelQueued: {"1s start 3", "2s end 0 of 3"},
		CancelAll:    {"500ms start 3", "1.5s end 0 of 3"},
	} {
		w, s := stage(cancel)
		for range 3 {
			w.job(0)
		}
		s.wakes[1] = []decide.Action{decide.Cancel{Request: 1}, decide.Cancel{Request: 2}}
		w.after(500*time.Millisecond, func() { w.nodes[0].tell(decide.TimerFired{Token: 1}) })
		w.until(5 * time.Second)
		off := func(id int) string { return fmt.Sprintf("500ms end %d of %d", decide.Cancelled, id) }
		require.Equal(t, append([]string{"0s start 1", off(1), off(2)}, want...), s.heard, cancel)
		require.Empty(t, w.result.Broken)
	}
	w, s := stage(CancelBarred)
	w.job(0)
	s.wakes[1] = []decide.Action{decide.Cancel{Request: 1}}
	w.after(500*time.Millisecond, func() { w.nodes[0].tell(decide.TimerFired{Token: 1}) })
	w.until(time.Second)
	require.NotEmpty(t, w.result.Broken, "a call-off where the settings bar it")
}

// TestBrokenRulesAreSeen: a policy that sends what must not run twice anew after it has run, and answers nobody.
func TestBrokenRulesAreSeen(t *testing.T) {
	w, s := stage(CancelAll)
	s.send = func(r decide.Request) []decide.Action {
		return []decide.Action{decide.Send{Request: r.ID, Worker: 5}, decide.Send{Request: r.ID, Worker: 5}, decide.Refuse{Request: r.ID}}
	}
	w.job(0)
	w.until(time.Second)
	require.Len(t, w.result.Broken, 2, w.result.Broken)
	w, s = stage(CancelAll)
	s.send = func(decide.Request) []decide.Action { return nil }
	w.job(0)
	w.until(16 * time.Second)
	require.Len(t, w.result.Broken, 1)
	require.Zero(t, w.result.Answers)
}

// TestReplacedEncoder: what runs at one that drains ends well, what comes after its grace is refused and breaks the rule,
// the one in its place is slow while cold, and what still runs when the old one leaves breaks off.
func TestReplacedEncoder(t *testing.T) {
	w, s := stage(CancelNone)
	fresh := Encoder{Worker: decide.Worker{ID: 6, State: decide.Ready, Started: dayStart}, Slots: 1, Speed: 1, ColdFrom: 0.5, Warm: time.Hour}
	w.renew(w.encoders[5], fresh)
	w.d.Classes[1].Memory = 0.5
	w.job(0)
	w.job(4 * time.Second)
	w.after(4500*time.Millisecond, func() {
		s.send = func(r decide.Request) []decide.Action { return []decide.Action{decide.Send{Request: r.ID, Worker: 6}} }
	})
	w.job(5 * time.Second)
	w.until(10 * time.Second)
	require.Equal(t, []string{
		"0s start 1", "1s end 0 of 1", fmt.Sprintf("4s end %d of 2", decide.Full), "5s start 3", "7s end 0 of 3",
	}, s.heard)
	require.Len(t, w.result.Broken, 1, w.result.Broken)

	w, s = stage(CancelNone)
	w.after(0, func() { w.renew(w.encoders[5], fresh) })
	w.encoders[5].Spells = []Spell{{From: 500 * time.Millisecond, Until: time.Minute, Rate: 0.001}}
	w.d.Settings.Classes[1].Deadline = time.Minute
	w.after(0, func() { w.arrive(&job{at: w.now, class: 1, work: 1, due: w.now + time.Minute}, 9) })
	w.until(30 * time.Second)
	require.Equal(t, []string{"0s start 1", fmt.Sprintf("20s end %d of 1", decide.Reset)}, s.heard)
}

// TestFailingEncoder: while it fails its jobs end in errors, soon; before and after it serves.
func TestFailingEncoder(t *testing.T) {
	w, s := stage(CancelNone)
	w.encoders[5].Failing = Failing{From: 1500 * time.Millisecond, Until: 3 * time.Second, Part: 1}
	for _, at := range []time.Duration{0, 2, 4} {
		w.job(at * time.Second)
	}
	w.until(6 * time.Second)
	require.Equal(t, []string{
		"0s start 1", "1s end 0 of 1", "2s start 2", fmt.Sprintf("2.2s end %d of 2", decide.Errored), "4s start 3", "5s end 0 of 3",
	}, s.heard)
}
