package rig_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	decisions "caperrelay/internal/accord"
	"caperrelay/internal/net/accord"
	"caperrelay/internal/replica"
	"caperrelay/internal/rig"
)

// accord is how a daemon goes by what is agreed, by its own word.
func (w *town) accord(n int) (v accord.Status) {
	json.Unmarshal([]byte(w.Daemon(n).Ask("accord")), &v)
	return v
}

// agreeing is a town of daemons that keep a record together and have agreed on their first settings.
func agreeing(t *testing.T, daemons int) *town {
	w := founded(t, daemons, time.Millisecond, func(o *rig.Options) { o.Lean, o.Promises = false, true })
	w.start(0, daemons)
	w.serves(0, daemons)
	w.acting(1, all(daemons)...)
	return w
}

// acting waits until daemons act on a version alone.
func (w *town) acting(version uint64, daemons ...int) {
	w.Helper()
	for _, n := range daemons {
		w.await(fmt.Sprintf("n%d acts on version %d alone", n, version), func() bool {
			a := w.accord(n).Effective
			return a.Low == version && a.High == version && !a.Floor
		})
	}
}

// off cuts a daemon off from all others, or ends that.
func (w *town) off(n int, cut bool) {
	var others []string
	for _, o := range all(w.Daemons, n) {
		others = append(others, fmt.Sprint("n", o))
	}
	w.net.Cut(cut, []string{fmt.Sprint("n", n)}, others)
}

// out waits until daemons leave out exactly these, and know it as agreed.
func (w *town) out(ids []string, daemons ...int) {
	w.Helper()
	for _, n := range daemons {
		w.await(fmt.Sprintf("n%d leaves %v out", n, ids), func() bool {
			v := w.accord(n)
			return slices.Equal(v.Cordons, ids) && len(v.LocalCordons) == 0 && w.Daemon(n).Figure("skipped_encoders") == int64(len(ids))
		})
	}
}

// A cordon given at one daemon counts at all. One that is cut off leaves out for itself and puts nothing back; healed, it
// has the others agree. Who was lost knows all of it at its start, and no file in $TMPDIR has a part in that.
func TestCordonsAreAgreed(t *testing.T) {
	w := agreeing(t, 3)
	first, second := w.Host.Encoders()[0].ID(), w.Host.Encoders()[1].ID()
	require.Equal(t, "OK\n", w.Daemon(0).Ask("cordon "+first))
	w.out([]string{first}, 0, 1, 2)

	w.off(2, true)
	w.await("n2 is on the floor", func() bool { return w.accord(2).Effective.Floor })
	require.Contains(t, w.Daemon(2).Ask("cordon "+second), "ERR done here")
	require.Contains(t, w.Daemon(2).Ask("uncordon "+first), "ERR not done")
	require.Equal(t, []string{first, second}, w.accord(2).Cordons)
	require.EqualValues(t, 2, w.Daemon(2).Figure("skipped_encoders"))
	require.Equal(t, 200, w.job(2, "preview"), "it serves all the same")
	require.Equal(t, []string{first}, w.accord(0).Cordons)
	w.Daemon(2).Kill()
	require.NoError(t, w.Daemon(2).Start())
	w.await("n2 still leaves both out", func() bool { return w.Daemon(2).Figure("skipped_encoders") == 2 })

	w.off(2, false)
	w.out([]string{first, second}, 0, 1, 2)
	require.Equal(t, "OK\n", w.Daemon(1).Ask("uncordon "+first))
	w.out([]string{second}, 0, 1, 2)
	left, err := filepath.Glob(filepath.Join(w.Dir, "*.cordons"))
	require.NoError(t, err)
	require.Empty(t, left)

	w.edit(0, "[log]", "[attempts]\nmost = 2\n[log]")
	took := w.agrees(0, 2, 0, 1, 2)
	t.Logf("all of 3 act on a version after %v", took.Round(time.Millisecond))
	w.consistent(contradiction(w.steps(0, 1, 2), nil), 3)
	w.rules()
}

// contradiction is for how long two daemons' rules contradicted each other at most, by what each has told of its steps.
// What one went by while it stood still counts for nothing: still is from when until when, by daemon.
func contradiction(steps map[int][]accord.Step, still map[int][2]time.Time) (worst time.Duration) {
	type span struct {
		decisions.EffectiveVersions
		from, to int64
	}
	spans := map[int][]span{}
	now := time.Now().UnixMicro()
	for n, all := range steps {
		for i, s := range all {
			to := now
			if i+1 < len(all) {
				to = all[i+1].At
			}
			one := []span{{s.EffectiveVersions, s.At, to}}
			if q, ok := still[n]; ok {
				one = []span{{s.EffectiveVersions, s.At, min(to, q[0].UnixMicro())}, {s.EffectiveVersions, max(s.At, q[1].UnixMicro()), to}}
			}
			spans[n] = append(spans[n], one...)
		}
	}
	for a, mine := range spans {
		for b, others := range spans {
			if a >= b {
				continue
			}
			run := int64(0) // spans are in order: those that touch are one
			end := int64(-1)
			for _, x := range mine {
				for _, y := range others {
					from, to := max(x.from, y.from), min(x.to, y.to)
					if from >= to || !decisions.Conflict(x.EffectiveVersions, y.EffectiveVersions) {
						continue
					}
					if from != end {
						run = 0
					}
					run, end = run+to-from, to
					worst = max(worst, time.Duration(run)*time.Microsecond)
				}
			}
		}
	}
	return worst
}

// edit changes a daemon's file.
func (w *town) edit(n int, from, to string) {
	w.Helper()
	text, err := os.ReadFile(w.Daemon(n).File())
	require.NoError(w, err)
	require.Contains(w, string(text), from)
	require.NoError(w, os.WriteFile(w.Daemon(n).File(), []byte(strings.Replace(string(text), from, to, 1)), 0o600))
}

// asks has a daemon propose its file.
func (w *town) asks(n int) { w.Daemon(n).Signal(syscall.SIGHUP) }

// root is who acts for the root group.
func (w *town) root(among ...int) (leader int) {
	w.Helper()
	w.await("one acts for the root group", func() bool {
		for _, n := range among {
			for _, g := range w.record(n).Groups {
				if g.Group == replica.RootGroup && g.Leader == fmt.Sprint("n", n) {
					leader = n
					return true
				}
			}
		}
		return false
	})
	return leader
}

const extra = "[[class]]\nname = \"extra\"\neffect = \"repeat\"\naim = \"200ms\"\nstretch = 2.0\ndeadline = \"20s\"\nworth = 1\n"

// agrees has a daemon propose its file, waits until daemons act on the version that becomes of it, and returns how long
// the last took.
func (w *town) agrees(by int, version uint64, daemons ...int) time.Duration {
	w.Helper()
	began := time.Now()
	w.asks(by)
	w.acting(version, daemons...)
	last := began.UnixMicro()
	for _, n := range daemons {
		for _, s := range w.accord(n).Steps {
			if s.Low == version && s.High == version && !s.Floor {
				last = max(last, s.At)
			}
		}
	}
	return time.UnixMicro(last).Sub(began)
}

// steps is what each daemon has told of what it went by.
func (w *town) steps(daemons ...int) map[int][]accord.Step {
	all := map[int][]accord.Step{}
	for _, n := range daemons {
		all[n] = w.accord(n).Steps
	}
	return all
}

func (w *town) consistent(worst time.Duration, daemons int) {
	w.Helper()
	bound := 0.0
	for n := range daemons {
		bound = max(bound, w.accord(n).ConflictBound)
	}
	w.Logf("contradiction_ms_max=%.1f bound_ms=%.0f stated_ms=%d", float64(worst.Microseconds())/1000, bound, decisions.ConflictBound.Milliseconds())
	require.Less(w, worst, decisions.ConflictBound)
}

// A daemon's next process takes over while one instance is left out and a version is agreed that its file does not have:
// it goes by both, and by what is agreed later; the process before is told of cordons to its end.
func TestAccordIsHandedOver(t *testing.T) {
	w := agreeing(t, 3)
	first, second := w.Host.Encoders()[0].ID(), w.Host.Encoders()[1].ID()
	require.Equal(t, "OK\n", w.Daemon(0).Ask("cordon "+first))
	w.edit(0, "[log]", "[attempts]\nmost = 2\n[log]")
	w.agrees(0, 2, 0, 1, 2)
	w.out([]string{first}, 0, 1, 2)
	d := w.Daemon(1)
	host, port, err := net.SplitHostPort(d.Admin)
	require.NoError(t, err)
	next := net.JoinHostPort(host, "1"+port) // the first process has the other to its end
	w.edit(1, d.Admin, next)
	before, err := d.Beside()
	require.NoError(t, err)
	d.Admin = next
	w.await("the next process has taken over", func() bool { return w.accord(1).Leased })
	require.Equal(t, uint64(2), w.accord(1).Steps[0].Low, "it begins with what was agreed")
	before.Signal(syscall.SIGTERM)
	before.Wait()
	w.acting(2, 1)
	w.out([]string{first}, 1)
	require.Equal(t, "OK\n", w.Daemon(1).Ask("cordon "+second))
	w.out([]string{first, second}, 0, 1, 2)
	w.serves(0, 3)
	w.consistent(contradiction(w.steps(0, 1, 2), nil), 3)
	w.rules()
}

// A version that one daemon cannot take, as its file lacks a class, is refused with its reason. Mended, it is agreed.
// Then one is cut off in the middle of a change: it serves by the floor, the others agree without it, and healed it goes
// by what they have agreed.
func TestVersionsAreAgreed(t *testing.T) {
	w := agreeing(t, five)
	class := "[[class]]\nname = \"preview\""
	for _, n := range all(five, 2) {
		w.edit(n, class, extra+class)
	}
	w.asks(0)
	w.await("it is refused", func() bool {
		past := w.accord(4).Outcomes
		return len(past) > 0 && past[len(past)-1].Number == 2
	})
	why := w.accord(4).Outcomes
	require.Contains(t, why[len(why)-1].Why, "n2: ")
	require.Contains(t, why[len(why)-1].Why, `class "extra"`)
	w.acting(1, all(five)...)
	require.NotEqual(t, 200, w.job(4, "extra"))
	w.edit(2, class, extra+class)
	took := w.agrees(0, 3, all(five)...)
	t.Logf("all of %d act on a version after %v", five, took.Round(time.Millisecond))
	require.Equal(t, 200, w.job(4, "extra"))

	w.edit(1, "[log]", "[attempts]\nmost = 2\n[log]")
	w.asks(1)
	w.await("the change is under way, or over", func() bool { v := w.accord(1); return v.Pending == 4 || v.Agreed == 4 })
	w.off(3, true)
	w.acting(4, all(five, 3)...)
	w.await("n3 is on the floor", func() bool { return w.accord(3).Effective.Floor })
	require.Equal(t, 200, w.job(3, "preview"), "it serves all the same")
	w.off(3, false)
	w.acting(4, 3)
	w.consistent(contradiction(w.steps(all(five)...), nil), five)
	w.rules()
}

// One stands still for longer than its lease while the others change; then whoever acts for the root group is killed
// between check and act. Who wakes, and who starts by an older file, goes by what is agreed.
func TestVersionsWhileOthersSleepAndDie(t *testing.T) {
	w := agreeing(t, five)
	for n := range five {
		w.edit(n, "[log]", "[attempts]\nmost = 3\n[log]")
	}
	leader := w.root(all(five)...)
	asleep, by := (leader+1)%five, (leader+2)%five
	still := map[int][2]time.Time{}
	slept := time.Now()
	require.NoError(t, w.Daemon(asleep).Stop())
	w.edit(by, "most = 3", "most = 2")
	took := w.agrees(by, 2, all(five, asleep)...)
	t.Logf("with one asleep the others act on a version after %v", took.Round(time.Millisecond))
	still[asleep] = [2]time.Time{slept, time.Now()}
	require.NoError(t, w.Daemon(asleep).Wake())
	w.acting(2, asleep)
	require.Contains(t, w.Daemon(asleep).Counters(), "proxy.accord.pauses=1\n")

	leader = w.root(all(five)...)
	by = (leader + 2) % five
	text, err := os.ReadFile(w.Daemon(by).File())
	require.NoError(t, err)
	most := "most = 2"
	if !strings.Contains(string(text), most) {
		most = "most = 3"
	}
	w.edit(by, most, "most = 1")
	before := w.steps(leader)[leader]
	w.asks(by)
	w.await("it is being checked, or further", func() bool { v := w.accord(by); return v.Pending == 3 || v.Agreed == 3 })
	w.Daemon(leader).Kill()
	killed := time.Now()
	w.acting(3, all(five, leader)...)
	t.Logf("with the root's leader killed the others act on a version %v later", time.Since(killed).Round(time.Millisecond))
	steps := w.steps(all(five, leader)...)
	require.NoError(t, w.Daemon(leader).Start())
	if leader != asleep { // of one that was both, the sleep is the longer
		still[leader] = [2]time.Time{killed, time.Now()}
	}
	w.acting(3, leader)
	require.Equal(t, uint64(3), w.accord(leader).Agreed)
	after := w.accord(leader).Steps
	require.True(t, after[0].Floor, "it starts on the floor of what it knew")
	require.NotZero(t, after[0].Low)
	if leader != asleep {
		steps[leader] = append(before, after...)
	}
	w.consistent(contradiction(steps, still), five)
	w.rules()
}
