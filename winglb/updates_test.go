package winglb_test

import (
	"context"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	jobv1 "caperrelay/proto/winglb/job/v1"

	"caperrelay/internal/rig"
	"caperrelay/winglb"
)

// A change of a daemon's settings, here a new class, reaches plug-ins without a restart.
func TestSettingsReachPlugIns(t *testing.T) {
	r := startRig(t, rig.Options{Encoders: 2, Slots: 2, Daemons: 1})
	_, conn := dial(t, r, "p")
	run := func(class string) codes.Code {
		ctx, cancel := context.WithTimeout(winglb.WithJob(t.Context(), winglb.Job{Class: class}), 10*time.Second)
		defer cancel()
		_, err := jobv1.NewJobsClient(conn).Run(ctx, &jobv1.RunRequest{WorkUs: 1000})
		return status.Code(err)
	}
	require.Equal(t, codes.OK, run("preview"))
	require.Equal(t, codes.InvalidArgument, run("caption"))
	text, err := os.ReadFile(r.Daemon(0).File())
	require.NoError(t, err)
	more := strings.Replace(string(text), "[[class]]", "[[class]]\nname = \"caption\"\neffect = \"repeat\"\naim = \"1s\"\ndeadline = \"5s\"\nworth = 1\n[[class]]", 1)
	require.NoError(t, os.WriteFile(r.Daemon(0).File(), []byte(more), 0o600))
	r.Daemon(0).Signal(syscall.SIGHUP)
	require.Eventually(t, func() bool { return run("caption") == codes.OK }, 10*time.Second, 5*time.Millisecond)
	require.Equal(t, codes.OK, run("preview"))
}

// A cordoned encoder gets no new calls from plug-ins, and is used again after the cordon is lifted: leases are granted
// for it, though it has no start time in the list.
func TestCordonsReachPlugIns(t *testing.T) {
	var total atomic.Int32
	total.Store(1)
	a, b := startEncoder(t, &total), startEncoder(t, &total)
	c, other := startControl(t, a.address, b.address), startControl(t, a.address, b.address)
	lb, err := winglb.New(winglb.Config{Name: "t", Daemons: []string{c.Address(), other.Address()}, Class: "preview"})
	require.NoError(t, err)
	defer lb.Close()
	conn, err := grpc.NewClient("winglb:///x", lb.DialOptions()...)
	require.NoError(t, err)
	defer conn.Close()
	require.Eventually(t, func() bool { return lb.Attached() == 2 }, 10*time.Second, time.Millisecond)
	run := func(n int) {
		for range n {
			_, err := jobv1.NewJobsClient(conn).Run(t.Context(), &jobv1.RunRequest{})
			require.NoError(t, err)
		}
	}
	run(1)
	other.Cordoned([]string{}) // it has no cordons, and must not undo those of the other daemon
	c.Cordoned([]string{"s-1"})
	other.Cordoned([]string{"s-9"})
	time.Sleep(50 * time.Millisecond) // until the cordons have arrived
	before := a.attempts.Load()
	run(20)
	require.Equal(t, before, a.attempts.Load())
	c.Cordoned(nil)
	require.Eventually(t, func() bool { run(1); return a.attempts.Load() > before }, 20*time.Second, time.Millisecond)
}

// Closing a plug-in ends its calls and detaches it from the daemon.
func TestClose(t *testing.T) {
	c := startControl(t)
	lb, err := winglb.New(winglb.Config{Name: "t", Daemons: []string{c.Address()}, Class: "preview"})
	require.NoError(t, err)
	conn, err := grpc.NewClient("winglb:///x", lb.DialOptions()...)
	require.NoError(t, err)
	defer conn.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := jobv1.NewJobsClient(conn).Run(context.Background(), &jobv1.RunRequest{})
		ended <- err
	}()
	require.Eventually(t, func() bool { return lb.Attached() == 1 }, 10*time.Second, time.Millisecond)
	lb.Close()
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the call did not end after Close")
	}
	require.Eventually(t, func() bool {
		for _, f := range c.Metrics() {
			if f.Name == "control.senders" {
				return f.Value == 0
			}
		}
		return false
	}, 10*time.Second, time.Millisecond)
	_, err = winglb.New(winglb.Config{})
	require.ErrorContains(t, err, "Daemons")
}
