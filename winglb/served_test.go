package winglb_test

import (
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"caperrelay/internal/load"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/ledger"
	"caperrelay/winglb"
)

// dial returns a balancer and a client connection to the rig's encoders.
func dial(t *testing.T, r *rig.Rig, name string) (*winglb.Balancer, *grpc.ClientConn) {
	lb, err := winglb.New(winglb.Config{Name: name, Daemons: r.Controls(), Logger: slog.New(slog.NewTextHandler(os.Stderr, nil))})
	require.NoError(t, err)
	t.Cleanup(lb.Close)
	conn, err := grpc.NewClient("winglb:///encoders", lb.DialOptions()...)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return lb, conn
}

// End to end: a daemon sends its list and settings, the plug-in sends calls, encoders answer each call once.
func TestCallsAreServed(t *testing.T) {
	r := startRig(t, rig.Options{Encoders: 4, Slots: 8, Daemons: 2})
	lb, conn := dial(t, r, "p")
	report := load.NewReport()
	jobs := load.Draw(1, time.Second, []load.Class{{Name: "preview", Rate: 800, Work: 20 * time.Millisecond, Left: 10 * time.Second}, publish}, "acme")
	t.Cleanup(func() { t.Log(lb.Counters()) })
	report.Run(t.Context(), time.Now(), jobs, load.NewGRPC(conn))
	total := report.Total()
	require.Zero(t, total.Verdicts[load.Failed], "%v", report.Errors())
	require.Greater(t, float64(total.Verdicts[load.Served]), 0.8*float64(len(jobs)))
	used := map[string]bool{}
	for _, a := range r.Host.Ledger.Attempts() {
		used[a.Encoder] = true
	}
	require.Len(t, used, 4, "calls reached too few encoders: grpc chose them, not package decide")
	require.Empty(t, r.Host.Ledger.Check(ledger.Rules{DrainGrace: 750 * time.Millisecond}))
}
