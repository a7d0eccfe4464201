package workersim

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/load"
	"caperrelay/internal/rig"
)

// Guards against another process taking a stopped worker's address, so that the worker cannot come back.
func TestAddressOfADeadWorkerIsKept(t *testing.T) {
	r, err := rig.New(rig.Options{Encoders: 1, Slots: 1, Daemons: 1, Promises: true, Dir: t.TempDir(), Classes: []load.Class{{Name: "preview"}}})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	p := New([]Worker{{ID: "s-1", Zone: "a", Kind: "m2"}})
	t.Cleanup(p.Close)
	require.NoError(t, p.Attach(r, "reruns.toml"))
	require.NoError(t, p.SetDown("s-1", true))
	for _, d := range p.servers {
		if d.worker != "s-1" {
			continue
		}
		_, err := net.Dial("tcp", d.addr)
		require.Error(t, err)
		other, err := net.Listen("tcp", d.addr)
		if err == nil {
			other.Close()
		}
		require.Error(t, err, "another process can listen at the worker's address")
	}
	require.NoError(t, p.SetDown("s-1", false))
	for _, d := range p.servers {
		c, err := net.Dial("tcp", d.addr)
		require.NoError(t, err)
		c.Close()
	}
}
