package rig_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/standin/link"
	"caperrelay/winglb"
)

// Guards against a call-back that is answered and lost: no majority answered when it came, and whom the encoder had told
// was killed before its word was committed. The encoder is to get no answer, and so calls again.
func TestEndTellsAgainAfterAKill(t *testing.T) {
	for name, called := range map[string]func(first int) int{
		"whoever acts": func(first int) int { return first },
		"another":      func(first int) int { return (first + 1) % five },
	} {
		t.Run(name, func(t *testing.T) {
			w := swear(t, true)
			first := w.owner()
			via := called(first)
			door := link.Way{From: "encoders", To: fmt.Sprint("n", via)}
			w.promise("j", "publish", time.Second, 20*time.Second, via)
			w.started("j")
			w.off(via, true)
			w.await("its end is told", func() bool { return w.Daemon(via).Figure("promise.unbooked") > 0 })
			w.net.Set(door, link.Weather{Cut: true}) // calls wait for the next process
			w.Daemon(via).Kill()
			w.off(via, false)
			require.NoError(t, w.Daemon(via).Start())
			w.await("it listens", func() bool { return w.Daemon(via).Figure("promise.unbooked") >= 0 })
			w.net.Set(door, link.Weather{})
			e := w.kept()["j"]
			require.Equal(t, winglb.EndDone, e.Kind, "%s; it ran %d times", e.Reason, w.ran("j"))
		})
	}
}
