package rig_test

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/net/accord"
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
			a := w.accord(n).Acts
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
			return slices.Equal(v.Cordons, ids) && len(v.Mine) == 0 && w.Daemon(n).Figure("skipped_encoders") == int64(len(ids))
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
	w.await("n2 is on the floor", func() bool { return w.accord(2).Acts.Floor })
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
	w.rules()
}
