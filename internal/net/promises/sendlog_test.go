package promises

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// opened is a send log that has taken its folder's file over.
func opened(t *testing.T, dir string) *sendLog {
	l := newSendLog(dir, slog.New(slog.DiscardHandler))
	l.open()
	require.NotNil(t, l.lock)
	return l
}

// killed has a process end without a word: the kernel lets go of its files.
func (l *sendLog) killed() {
	l.file.Close()
	l.lock.Close()
}

func later() time.Duration { return unixNow() + time.Minute }

// Guards against a job that is sent again though its first byte had gone out, or given up though the process before knew
// that it had not.
func TestNextProcessKnowsWhatWasNeverSent(t *testing.T) {
	dir := t.TempDir()
	l := opened(t, dir)
	l.ask("asked~1~1", "s-1", 1, later())
	l.begin(l.ask("begun~2~1", "s-1", 1, later()))
	returned := l.ask("returned~3~1", "s-1", 1, later())
	l.begin(returned)
	l.neverRan(returned, 0)
	l.ask("over~4~1", "s-1", 1, unixNow()-time.Hour)
	l.killed()
	for range 2 { // also where the next process is killed before it has told anybody
		l = opened(t, dir)
		var jobs []string
		for _, sending := range l.untold(0, true) {
			jobs = append(jobs, sending.Job)
		}
		require.ElementsMatch(t, []string{"asked~1~1", "returned~3~1"}, jobs)
		l.killed()
	}
}

// Guards against an attempt that is told as never sent and is sent all the same.
func TestNothingBeginsOnceTheLogIsAnothers(t *testing.T) {
	dir := t.TempDir()
	older := opened(t, dir)
	waits, begun := older.ask("waits~1~1", "s-1", 1, later()), older.ask("begun~2~1", "s-1", 1, later())
	require.True(t, older.begin(begun))
	newer := newSendLog(dir, slog.New(slog.DiscardHandler))
	newer.open()
	require.Nil(t, newer.lock, "the older process has it")
	older.close()
	newer.open()
	require.Len(t, newer.untold(0, true), 1)
	require.False(t, older.begin(waits))
	left := newer.ask("left~3~1", "s-1", 1, later())
	newer.leave("left~3~1", &attempts{}, 0)
	require.False(t, newer.begin(left))
}

// Guards against a send log that cannot be vouched for and is believed, or stops a start.
func TestDamagedSendLogSaysNothing(t *testing.T) {
	for name, spoil := range map[string]func([]byte) []byte{
		"cut off":            func(b []byte) []byte { return b[:len(b)-3] },
		"a flipped bit":      func(b []byte) []byte { b[len(b)/2] ^= 1; return b },
		"empty":              func([]byte) []byte { return nil },
		"of another kind":    func([]byte) []byte { return []byte("PK\x03\x04\n") },
		"of another version": func([]byte) []byte { return formatLine(sendLogHeader{Version: 2}) },
		"of another boot":    func([]byte) []byte { return formatLine(sendLogHeader{Version: 1, Boot: "before"}) },
	} {
		dir := t.TempDir()
		l := opened(t, dir)
		l.ask("asked~1~1", "s-1", 1, later())
		l.killed()
		path := filepath.Join(dir, sendLogFile)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, spoil(text), 0o600))
		l = opened(t, dir)
		require.Empty(t, l.untold(0, true), name)
		l.ask("next~2~1", "s-1", 1, later())
		l.killed()
		require.Len(t, opened(t, dir).untold(0, true), 1, name)
	}
}

// Guards against a file that grows for as long as the process lives.
func TestSendLogIsBounded(t *testing.T) {
	l := opened(t, t.TempDir())
	for range 40_000 {
		l.begin(l.ask("job~1~1", "s-1", 1, later()))
		l.leave("job~1~1", &attempts{}, 0)
	}
	info, err := os.Stat(filepath.Join(l.dir, sendLogFile))
	require.NoError(t, err)
	require.Less(t, info.Size(), int64(mostSendLog+4096))
}

// Guards against attempts that are called never sent by a file which could not take that they were begun.
func TestSendLogThatCannotBeWrittenIsRemoved(t *testing.T) {
	l := opened(t, t.TempDir())
	sending := l.ask("job~1~1", "s-1", 1, later())
	l.file.Close()
	require.True(t, l.begin(sending))
	require.NoFileExists(t, filepath.Join(l.dir, sendLogFile))
}
