package winglb_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/load"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/ledger"
)

// Failures around the plug-in, at a small size; make prove-plugin has them at full size. Each test causes its failure
// and checks the rules on the encoders' log of received attempts.

var rules = ledger.Rules{DrainGrace: 750 * time.Millisecond, Slack: 50 * time.Millisecond}

// scenario is a run of portals, which are client processes with the plug-in, with an equal part of the load each, and one HTTP client of the first daemon.
type scenario struct {
	*rig.Rig
	t       *testing.T
	start   time.Time
	length  time.Duration
	portals []*rig.Process
	daemon  *load.Report
	done    chan struct{}
}

func startScenario(t *testing.T, r *rig.Rig, portals int, length time.Duration) *scenario {
	p := &scenario{Rig: r, t: t, start: time.Now().Add(time.Second), length: length, daemon: load.NewReport(), done: make(chan struct{})}
	var part []load.Class
	for _, c := range r.Classes {
		c.Rate /= float64(portals + 1)
		part = append(part, c)
	}
	for n := range portals {
		q, err := r.StartPortal(rig.Plan{Name: fmt.Sprint("p", n), Daemons: r.Controls(), Seed: uint64(n + 10), Classes: part, Start: p.start, Length: length})
		require.NoError(t, err)
		p.portals = append(p.portals, q)
	}
	for _, q := range p.portals {
		<-q.Ready
	}
	target := &load.HTTP{Address: func() string { return r.Daemon(0).Listen }}
	t.Cleanup(target.Close)
	ctx := t.Context()
	go func() {
		defer close(p.done)
		p.daemon.Run(ctx, p.start, load.Draw(1, length, part), target)
	}()
	return p
}

// waitUntil waits until a time after the start of the scenario.
func (p *scenario) waitUntil(after time.Duration) { time.Sleep(time.Until(p.start.Add(after))) }

// end waits for all portals and the daemon's client, and checks the rules that hold in every scenario. It returns the
// sums of the reports of the portals that were not killed.
func (p *scenario) end() map[string]*load.Figures {
	var reports []rig.Told
	for _, q := range p.portals {
		if t, ok := q.Wait(); ok {
			reports = append(reports, t)
		}
	}
	<-p.done
	require.Empty(p.t, p.Host.Ledger.Check(rules))
	highest, overloaded := p.ColdRatio()
	p.t.Logf("highest load ratio of a cold encoder %.2f, %d overloaded", highest, overloaded)
	require.Zero(p.t, overloaded)
	require.Less(p.t, highest, 3.0)
	sum, err := rig.Sum(reports)
	require.NoError(p.t, err)
	for name, f := range sum {
		p.t.Logf("%s: %d sent, %v served, refused, failed", name, f.Sent, f.Verdicts)
	}
	return sum
}

// restart restarts encoders, which are cold then, and returns the time.
func (p *scenario) restart(ids ...int) time.Time {
	now := time.Now()
	for _, n := range ids {
		require.NoError(p.t, p.Host.Encoders()[n].Restart())
	}
	return now
}

// firstWork returns when an encoder first got work after a point in time; zero: never.
func (p *scenario) firstWork(n int, after time.Time) time.Time {
	id := p.Host.Encoders()[n].ID()
	for _, a := range p.Host.Ledger.Attempts() {
		if a.Encoder == id && a.Arrived.After(after) {
			return a.Arrived
		}
	}
	return time.Time{}
}

func loadClasses(encoders, slots int, share float64) []load.Class {
	rate := float64(encoders*slots) * share
	return []load.Class{
		{Name: "preview", Rate: rate * 0.9 / 0.04, Work: 40 * time.Millisecond, Left: 5 * time.Second},
		{Name: "publish", Rate: rate * 0.1 / 0.15, Work: 150 * time.Millisecond, Once: true, Left: 10 * time.Second},
	}
}

// Encoders that start cold at the same time under load, shared by many processes and two daemons, are not
// overloaded, and get work.
func TestColdEncodersSurvive(t *testing.T) {
	r := startRig(t, rig.Options{Encoders: 6, Slots: 4, Daemons: 2, Classes: loadClasses(6, 4, 0.5), Cold: 4 * time.Second})
	p := startScenario(t, r, 6, 7*time.Second)
	p.waitUntil(2 * time.Second)
	began := p.restart(0, 1, 2)
	sum := p.end()
	for n := range 3 {
		first := p.firstWork(n, began)
		require.False(t, first.IsZero(), "encoder %d was never used", n)
		require.Less(t, first.Sub(began), 5*time.Second)
	}
	require.NotEmpty(t, sum)
}

// One daemon is killed and restarted, then both are down for a while. The cold budget holds, and calls are
// still served.
func TestDaemonsKilledAndRestarted(t *testing.T) {
	r := startRig(t, rig.Options{Encoders: 6, Slots: 4, Daemons: 2, Classes: loadClasses(6, 4, 0.4), Cold: 4 * time.Second})
	p := startScenario(t, r, 6, 8*time.Second)
	p.waitUntil(1 * time.Second)
	p.restart(0, 1)
	p.waitUntil(1500 * time.Millisecond)
	r.Daemon(1).Kill()
	p.waitUntil(2500 * time.Millisecond)
	require.NoError(t, r.Daemon(1).Start())
	p.waitUntil(4 * time.Second)
	p.restart(2, 3)
	p.waitUntil(4500 * time.Millisecond)
	r.Daemon(1).Kill()
	r.Daemon(0).Kill() // its HTTP clients lose their requests; the portals lose none
	p.waitUntil(6500 * time.Millisecond)
	require.NoError(t, r.Daemon(0).Start())
	require.NoError(t, r.Daemon(1).Start())
	sum := p.end()
	preview := sum["preview"]
	require.Greater(t, float64(preview.Verdicts[load.Served]), 0.8*float64(preview.Sent), "calls were not served while no daemon was up")
}

// A portal's process is killed while it has calls in progress and holds leases.
func TestPortalKilled(t *testing.T) {
	r := startRig(t, rig.Options{Encoders: 4, Slots: 4, Daemons: 2, Classes: loadClasses(4, 4, 0.4), Cold: 20 * time.Second})
	p := startScenario(t, r, 4, 5*time.Second)
	p.waitUntil(500 * time.Millisecond)
	p.restart(0, 1)
	p.waitUntil(2 * time.Second)
	killed := time.Now()
	p.portals[0].Kill()
	for _, e := range r.Host.Encoders() { // its calls free their slots when the connection closes
		require.Eventually(t, func() bool { return openAttempts(r, e.ID(), "p0") == 0 }, 2*time.Second, 5*time.Millisecond)
	}
	for n := range 2 {
		require.Eventually(t, func() bool {
			return r.Daemon(n).Figure("control.senders") == 3 && r.Daemon(n).Figure("control.leases_orphaned") == 0
		}, time.Until(killed.Add(3*time.Second)), 10*time.Millisecond)
	}
	p.end()
}

// openAttempts returns the number of a sender's attempts at an encoder that have not ended.
func openAttempts(r *rig.Rig, encoder, sender string) (n int) {
	for _, a := range r.Host.Ledger.Attempts() {
		if a.Encoder == encoder && a.Sender == sender && a.Fate == ledger.Open {
			n++
		}
	}
	return n
}

// An encoder drains while one daemon is stopped with its streams open. The other daemon sends the update to
// all portals in time.
func TestDrainReachesPortalsWhileADaemonIsStopped(t *testing.T) {
	r := startRig(t, rig.Options{Encoders: 4, Slots: 4, Daemons: 2, Classes: loadClasses(4, 4, 0.4)})
	p := startScenario(t, r, 4, 5*time.Second)
	p.waitUntil(time.Second)
	drain := func(n int) {
		e := r.Host.Encoders()[n]
		e.Drain()
		r.Host.Ledger.Told(e.ID(), time.Now())
	}
	drain(0)
	p.waitUntil(2 * time.Second)
	r.Daemon(1).Signal(syscall.SIGSTOP)
	p.waitUntil(2200 * time.Millisecond)
	drain(1)
	p.waitUntil(4 * time.Second)
	r.Daemon(1).Signal(syscall.SIGCONT)
	p.end()
}

// An encoder hangs, another sends GOAWAY under load, and a portal that was stopped for a while continues with
// expired leases.
func TestEncoderHangsGoAwayAndPausedPortal(t *testing.T) {
	r := startRig(t, rig.Options{Encoders: 5, Slots: 4, Daemons: 2, Classes: loadClasses(5, 4, 0.4), Cold: 20 * time.Second})
	p := startScenario(t, r, 5, 7*time.Second)
	p.waitUntil(time.Second)
	require.NoError(t, r.GRPC.GoAway("s-2"))
	p.waitUntil(1500 * time.Millisecond)
	r.Host.Encoders()[0].Hang()
	p.waitUntil(2 * time.Second)
	p.restart(3, 4)
	p.waitUntil(2500 * time.Millisecond)
	p.portals[0].Pause()
	p.waitUntil(4500 * time.Millisecond)
	p.portals[0].Continue()
	p.waitUntil(5 * time.Second)
	r.Host.Encoders()[0].Wake()
	sum := p.end()
	preview := sum["preview"]
	require.Greater(t, float64(preview.Verdicts[load.Served]), 0.8*float64(preview.Sent))
}

// A daemon's process is replaced under load: no client or plug-in sees a failure, and the leases of both processes
// together stay within the daemon's part of the budget.
func TestDaemonIsReplaced(t *testing.T) {
	r := startRig(t, rig.Options{Encoders: 4, Slots: 4, Daemons: 1, Classes: loadClasses(4, 4, 0.4), Cold: 20 * time.Second})
	p := startScenario(t, r, 3, 6*time.Second)
	p.waitUntil(time.Second)
	p.restart(0, 1)
	p.waitUntil(1500 * time.Millisecond)
	old, err := r.Daemon(0).Beside()
	require.NoError(t, err)
	p.waitUntil(3 * time.Second)
	require.EqualValues(t, 3, r.Daemon(0).Figure("control.senders"), "the plug-ins are attached to the new process")
	old.Signal(syscall.SIGTERM)
	old.Wait()
	sum := p.end()
	// A publish that was running at an encoder when that was restarted is lost, whoever sent it; nothing else is.
	killed := map[string]int64{}
	for _, a := range r.Host.Ledger.Attempts() {
		if a.Once && a.Fate == ledger.Killed {
			killed[a.Sender]++
		}
	}
	require.Zero(t, sum["preview"].Verdicts[load.Failed])
	require.LessOrEqual(t, sum["publish"].Verdicts[load.Failed], killed["p0"]+killed["p1"]+killed["p2"])
	total := p.daemon.Total()
	require.LessOrEqual(t, total.Verdicts[load.Failed], killed["n0"], "%v", p.daemon.Errors())
	for _, f := range []*load.Figures{sum["preview"], &total} { // some may be refused: half of the encoders are cold
		require.Greater(t, float64(f.Verdicts[load.Served]), 0.9*float64(f.Sent))
	}
}
