package snapshot

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	bolterrors "go.etcd.io/bbolt/errors"
	"pgregory.net/rapid"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

func write(t require.TestingT, path string, c *Content) {
	f, err := Open(path)
	require.NoError(t, err)
	require.NoError(t, f.Write(c))
	require.NoError(t, f.Close())
}

// A snapshot is read back as it was written. A missing one, one of another dispatcher, a locked file and a wrong checksum
// give errors.
func TestReadOwnSnapshot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snapshot")
	_, err := Read(path, "n1")
	require.ErrorIs(t, err, ErrNone)
	c := &Content{Node: "n1", Written: time.Now().UTC(), Cordons: []string{"s-1"}, List: dispatch.InstanceUpdate{Revision: 7, Complete: true, Instances: []dispatch.Instance{{ID: "s-1", State: decide.Ready}}}}
	write(t, path, c)
	got, err := Read(path, "n1")
	require.NoError(t, err)
	require.Equal(t, c, got)
	_, err = Read(path, "n2")
	require.ErrorContains(t, err, `of "n1"`)
	f, err := Open(path)
	require.NoError(t, err)
	_, err = Read(path, "n1")
	require.ErrorIs(t, err, bolterrors.ErrTimeout, "another process holds the lock")
	require.NoError(t, f.Close())

	next, err := json.Marshal(map[string]any{"Format": 2, "Node": "n1", "List": "of another form"})
	require.NoError(t, err)
	_, err = decode(append(make([]byte, 32), next...), "n1")
	require.ErrorContains(t, err, "sum")
}

// A damaged file never panics the program, and Open replaces it.
func TestDamagedFile(t *testing.T) {
	dir := t.TempDir()
	intact := filepath.Join(dir, "intact")
	write(t, intact, &Content{Node: "n1", Cordons: make([]string, 9000)})
	text, err := os.ReadFile(intact)
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		path := filepath.Join(dir, "damaged")
		damaged := append([]byte{}, text...)
		for range rapid.IntRange(0, 5).Draw(t, "writes") {
			at := rapid.IntRange(0, len(damaged)-1).Draw(t, "at")
			copy(damaged[at:], rapid.SliceOfN(rapid.Byte(), 1, 600).Draw(t, "bytes"))
		}
		damaged = damaged[:rapid.IntRange(0, len(damaged)).Draw(t, "length")]
		require.NoError(t, os.WriteFile(path, damaged, 0o600))
		Read(path, "n1")
		f, err := Open(path)
		if err == nil {
			err = f.Close()
		}
		require.NoError(t, err)
		os.Remove(path + ".bad")
	})
}
