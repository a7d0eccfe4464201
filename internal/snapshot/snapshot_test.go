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

// What was written is read again; nothing, another dispatcher's and another program's are errors, and no more.
func TestReadsItsOwn(t *testing.T) {
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
	require.ErrorIs(t, err, bolterrors.ErrTimeout, "another process has it")
	require.NoError(t, f.Close())

	next, err := json.Marshal(map[string]any{"Format": 2, "Node": "n1", "List": "of another form"})
	require.NoError(t, err)
	_, err = decode(append(make([]byte, 32), next...), "n1")
	require.ErrorContains(t, err, "sum")
}

// A file that is torn, or is anything else, never ends the program, and a new one takes its place.
func TestAnyFileIsSurvived(t *testing.T) {
	dir := t.TempDir()
	whole := filepath.Join(dir, "whole")
	write(t, whole, &Content{Node: "n1", Cordons: make([]string, 9000)})
	text, err := os.ReadFile(whole)
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		path := filepath.Join(dir, "torn")
		torn := append([]byte{}, text...)
		for range rapid.IntRange(0, 5).Draw(t, "writes") {
			at := rapid.IntRange(0, len(torn)-1).Draw(t, "at")
			copy(torn[at:], rapid.SliceOfN(rapid.Byte(), 1, 600).Draw(t, "bytes"))
		}
		torn = torn[:rapid.IntRange(0, len(torn)).Draw(t, "length")]
		require.NoError(t, os.WriteFile(path, torn, 0o600))
		Read(path, "n1")
		f, err := Open(path)
		if err == nil {
			err = f.Close()
		}
		require.NoError(t, err)
		os.Remove(path + ".bad")
	})
}
