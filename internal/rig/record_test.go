package rig_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	promisev1 "caperrelay/proto/winglb/promise/v1"

	"caperrelay/internal/net/replicas"
	"caperrelay/internal/replica"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/link"
)

func recording(o *rig.Options) { o.Promises = true }

// record is how the record stands at a daemon.
func (w *town) record(n int) (v replicas.Status) {
	json.Unmarshal([]byte(w.Daemon(n).Ask("replicas")), &v)
	return v
}

// voter is a daemon as it now votes.
func (w *town) voter(n int) string {
	m := w.record(n).Member
	return fmt.Sprintf("%s/%08x", m.Name, m.Incarnation)
}

// voters tells whether each group, as all daemons but some see it, has three voters and no learners, among them none
// of old.
func (w *town) settledWithout(old string, daemons []int) bool {
	seen := 0
	for _, n := range daemons {
		for _, g := range w.record(n).Groups {
			if slices.Contains(g.Voters, w.voter(n)) {
				seen++
				if len(g.Voters) != 3 || len(g.Learners) > 0 || slices.Contains(g.Voters, old) || g.Halted {
					return false
				}
			}
		}
	}
	return seen > 0
}

// promise hands a job in at a daemon; what it promises must be found anywhere later.
func (w *town) promise(n int, id string) (*promisev1.Receipt, error) {
	conn, err := grpc.NewClient("passthrough:///"+w.Daemon(n).Control, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(w, err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := promisev1.NewPromisesClient(conn).Promise(ctx, &promisev1.PromiseRequest{Id: id, Job: &promisev1.Job{Class: "preview", Tenant: "ups", WorkUs: 1000}})
	return r.GetReceipt(), err
}

// promised hands jobs in until each has a receipt.
func (w *town) promised(n int, prefix string, jobs int) {
	w.Helper()
	for i := range jobs {
		w.await(fmt.Sprintf("%s%d is promised at n%d", prefix, i, n), func() bool {
			_, err := w.promise(n, fmt.Sprint(prefix, i))
			return err == nil
		})
	}
}

// kept asks for promises at a daemon: none may be lost.
func (w *town) kept(n int, prefix string, jobs int) {
	w.Helper()
	conn, err := grpc.NewClient("passthrough:///"+w.Daemon(n).Control, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(w, err)
	defer conn.Close()
	for i := range jobs {
		w.await(fmt.Sprintf("%s%d is known at n%d", prefix, i, n), func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			r, err := promisev1.NewPromisesClient(conn).Await(ctx, &promisev1.AwaitRequest{Id: fmt.Sprint(prefix, i), WaitMs: 1})
			return err == nil && r.GetReceipt().GetId() != ""
		})
	}
}

// A machine is lost with its disk: promises go on meanwhile, its replicas are moved, and it comes back as a new member
// that learns and votes. Then another's disk has a bit flipped: that one does not vote by its old name either.
func TestMachineLostWithItsDisk(t *testing.T) {
	t.Parallel()
	w := founded(t, 4, time.Millisecond, recording)
	w.start(0, 4)
	w.serves(0, 4)
	w.promised(0, "before", 12)
	old := w.voter(3)
	w.Daemon(3).Kill()
	require.NoError(t, w.Daemon(3).Forget())
	w.promised(1, "meanwhile", 12)
	require.NoError(t, w.Daemon(3).Start())
	w.await("it is somebody else", func() bool { v := w.record(3).Member; return v.Incarnation != 0 && w.voter(3) != old })
	w.await("it has learnt and votes", func() bool {
		votes := slices.ContainsFunc(w.record(3).Groups, func(g replica.Status) bool { return slices.Contains(g.Voters, w.voter(3)) })
		return votes && w.settledWithout(old, all(4))
	})
	for n := range 4 {
		w.kept(n, "before", 12)
		w.kept(n, "meanwhile", 12)
	}

	old = w.voter(0)
	w.Daemon(0).Kill()
	path := filepath.Join(w.Daemon(0).Record(), "replicas.db")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	flipped := 0
	for i := range text {
		if strings.HasPrefix(string(text[i:min(len(text), i+6)]), "before") {
			text[i] ^= 4
			flipped++
		}
	}
	require.Positive(t, flipped)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	require.NoError(t, w.Daemon(0).Start())
	w.await("it does not vote by its old name", func() bool {
		v := w.record(0)
		return v.Refused != "" && w.voter(0) != old && w.settledWithout(old, all(4))
	})
	w.promised(0, "after", 6)
	for n := range 4 {
		w.kept(n, "before", 12)
	}
	w.rules()
}

// A leader hears the others and they do not hear it: it acts no more, another does, and nothing promised is lost.
func TestLeaderThatIsNotHeard(t *testing.T) {
	t.Parallel()
	w := founded(t, 3, time.Millisecond, recording)
	w.start(0, 3)
	w.serves(0, 3)
	w.promised(0, "before", 12)
	leader := slices.IndexFunc(all(3), func(n int) bool { return w.Daemon(n).Figure("replicas.leads") > 0 })
	require.GreaterOrEqual(t, leader, 0)
	name := func(n int) string { return fmt.Sprint("n", n) }
	others := all(3, leader)
	for _, n := range others {
		w.net.Set(link.Way{From: name(leader), To: name(n)}, link.Weather{Cut: true})
	}
	w.await("it acts for nothing", func() bool { return w.Daemon(leader).Figure("replicas.leads") == 0 })
	w.await("the others act for all", func() bool {
		return w.Daemon(others[0]).Figure("replicas.leads")+w.Daemon(others[1]).Figure("replicas.leads") == 6
	})
	w.promised(others[0], "meanwhile", 12)
	for _, n := range others {
		w.net.Set(link.Way{From: name(leader), To: name(n)}, link.Weather{})
	}
	for n := range 3 {
		w.kept(n, "before", 12)
		w.kept(n, "meanwhile", 12)
	}
	w.rules()
}
