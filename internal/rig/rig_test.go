package rig_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/full"
	"caperrelay/internal/load"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/ledger"
	"caperrelay/internal/standin/link"
	"caperrelay/internal/standin/listservice"
)

// The test's own program stands in for winglb-full in the rig's children.
func TestMain(m *testing.M) {
	switch os.Getenv("WINGLB_RIG_ROLE") {
	case "daemon":
	case "busy":
		rig.Spin()
	default:
		os.Exit(m.Run())
	}
	if err := full.Serve(os.Getenv("WINGLB_RIG_FILE"), os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

const (
	fleet    = 6
	patience = 60 * time.Second // with what must come; no story waits it out
)

// town is daemons as processes that share a list service, with relays between all.
type town struct {
	*testing.T
	*rig.Rig
	lists *listservice.Service
	net   *link.Net
}

func found(t *testing.T, work time.Duration) *town { return founded(t, fleet, work) }

// founded may have more: what it adds to the options.
func founded(t *testing.T, daemons int, work time.Duration, more ...func(*rig.Options)) *town {
	w := &town{T: t, lists: listservice.New(work, time.Second), net: link.New(1)}
	t.Cleanup(w.lists.Close)
	t.Cleanup(w.net.Close)
	var err error
	o := rig.Options{
		Encoders: 3, Slots: 4, Daemons: daemons, Classes: []load.Class{{Name: "preview", Work: time.Millisecond, Left: 20 * time.Second}, {Name: "publish", Once: true, Work: time.Millisecond, Left: 20 * time.Second}},
		Command: func(role, file string) *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), "WINGLB_RIG_ROLE="+role, "WINGLB_RIG_FILE="+file)
			return cmd
		},
		Dir: t.TempDir(), Tenants: []string{"ups"}, Lean: true, Lists: w.lists, Net: w.net,
	}
	for _, f := range more {
		f(&o)
	}
	w.Rig, err = rig.New(o)
	require.NoError(t, err)
	t.Cleanup(w.Rig.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(w.net.Timeline())
		}
	})
	return w
}

func (w *town) await(what string, yes func() bool) {
	w.Helper()
	for deadline := time.Now().Add(patience); !yes(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.Fatalf("%s: not after %v\n%s", what, patience, w.net.Timeline())
		}
	}
}

// told waits until so many daemons have had their list since the ledger began.
func (w *town) told(n int) {
	w.Helper()
	w.await(fmt.Sprint(n, " daemons are told"), func() bool { told, _ := w.lists.Told(); return told == n })
}

func (w *town) start(from, to int) {
	w.Each(from, to, func(d *rig.Daemon) {
		if err := d.Start(); err != nil {
			w.Error(err)
		}
	})
}

var jobs atomic.Int64

// job has a daemon do one, and returns the status; 0: the daemon is not there.
func (w *town) job(n int, class string) int {
	job := jobs.Add(1)
	q, err := http.NewRequest("POST", "http://"+w.Daemon(n).Listen+fmt.Sprintf("/api?via=n%d&work_us=1000&class=", n)+class+map[bool]string{true: "&once=1"}[class == "publish"], strings.NewReader("work"))
	require.NoError(w, err)
	q.Header.Set("X-Correlation-Id", fmt.Sprint("job-", job))
	q.Header.Set("X-Service-Class", class)
	q.Header.Set("X-Account", "ups")
	q.Header.Set("X-Time-Left", "2000m")
	p, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}).Do(q)
	if err != nil {
		return 0
	}
	p.Body.Close()
	return p.StatusCode
}

// serves waits until each daemon has a job done.
func (w *town) serves(from, to int) {
	w.Helper()
	for n := from; n < to; n++ {
		w.await(fmt.Sprintf("n%d serves", n), func() bool { return w.job(n, "preview") == 200 })
	}
}

func (w *town) rules() {
	w.Helper()
	require.Empty(w, w.Host.Ledger.Check(ledger.Rules{DrainGrace: 750 * time.Millisecond, Slack: 50 * time.Millisecond}))
}

// All daemons start while the list service is down, with no list at all: they ask until it is there, then serve. It
// dies under their watches and comes back, and a second cold start of most falls into that.
func TestColdStartWhileListsAreDown(t *testing.T) {
	w := found(t, 10*time.Millisecond)
	w.lists.Down(true)
	w.start(0, fleet)
	w.await("each has asked in vain", func() bool { return w.asked(0, fleet) })
	w.await("it refuses, knowing no encoder yet", func() bool {
		status := w.job(0, "publish")
		require.Contains(t, []int{0, 503}, status, "nothing but no connection, until it listens, and a refusal")
		return status == 503
	})
	w.lists.Down(false)
	w.told(fleet)
	w.serves(0, fleet)
	w.lists.Begin()
	w.lists.Down(true)
	w.Each(0, 4, (*rig.Daemon).Kill)
	w.start(0, 4)
	w.await("all ask again", func() bool { return w.asked(0, fleet) })
	w.lists.Down(false)
	w.told(fleet)
	w.serves(0, fleet)
	w.await("one watch each", func() bool { return w.lists.Watches() == fleet })
	w.rules()
}

func (w *town) asked(from, to int) bool {
	for n := from; n < to; n++ {
		if w.lists.CallsOf(fmt.Sprint("n", n)) == 0 {
			return false
		}
	}
	return true
}

// A daemon that is cut off from the list service, and one that is stopped, serve on by what they know; healed and
// woken they ask again and hear of the encoder that has been taken out meanwhile.
func TestCutOffAndAsleep(t *testing.T) {
	w := found(t, time.Millisecond)
	w.start(0, fleet)
	w.told(fleet)
	w.serves(0, fleet)
	known := func(n int, want int64) {
		t.Helper()
		w.await(fmt.Sprintf("n%d leaves %d out", n, want), func() bool { return w.Daemon(n).Figure("skipped_encoders") == want })
	}
	w.net.Cut(true, []string{"n0"}, []string{"lists"})
	require.NoError(t, w.Daemon(1).Stop())
	w.lists.Begin()
	w.Host.Encoders()[0].Drain()
	w.lists.Changed()
	for n := 2; n < fleet; n++ {
		known(n, 1)
	}
	require.Equal(t, 200, w.job(0, "preview"), "cut off, it serves by what it knows")
	w.await("the cut-off one asks again", func() bool {
		return w.Daemon(0).Figure("skipped_encoders") == 0 && w.net.Open(link.Way{From: "n0", To: "lists"}) > 0
	})
	w.net.Cut(false, []string{"n0"}, []string{"lists"})
	require.NoError(t, w.Daemon(1).Wake())
	known(0, 1)
	known(1, 1)
	w.serves(0, fleet)
	require.Equal(t, 1, w.net.Reset(link.Way{From: "n2", To: "lists"}), "one watch a daemon")
	w.await("its watch is on again", func() bool { return w.net.Open(link.Way{From: "n2", To: "lists"}) == 1 && w.lists.CallsOf("n2") == 1 })
}
