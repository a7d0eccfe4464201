package promises

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// openLog returns a send log that has taken over its folder's file.
func openLog(t *testing.T, dir string) *sendLog {
	l := newSendLog(dir, slog.New(slog.DiscardHandler))
	l.open()
	require.NotNil(t, l.lock)
	return l
}

// killed simulates a crash of the process: the kernel closes its files.
func (l *sendLog) killed() {
	l.file.Close()
	l.lock.Close()
}

func later() time.Duration { return unixNow() + time.Minute }

// Guards against a job that is sent again although its first byte had been sent, or given up although the previous
// process knew that it had not.
func TestNextProcessKnowsUnsentAttempts(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	l.request("asked~1~1", "s-1", 1, later())
	l.begin(l.request("begun~2~1", "s-1", 1, later()))
	returned := l.request("returned~3~1", "s-1", 1, later())
	l.begin(returned)
	l.neverRan(returned, 0)
	l.request("over~4~1", "s-1", 1, unixNow()-time.Hour)
	l.killed()
	for range 2 { // also if the next process is killed before it has reported anything
		l = openLog(t, dir)
		var jobs []string
		for _, sending := range l.unreported(0, true) {
			jobs = append(jobs, sending.Job)
		}
		require.ElementsMatch(t, []string{"asked~1~1", "returned~3~1"}, jobs)
		l.killed()
	}
}

// Guards against an attempt that is reported as never sent and sent later.
func TestNoAttemptBeginsAfterLogHandover(t *testing.T) {
	dir := t.TempDir()
	older := openLog(t, dir)
	waiting, begun := older.request("waits~1~1", "s-1", 1, later()), older.request("begun~2~1", "s-1", 1, later())
	require.True(t, older.begin(begun))
	newer := newSendLog(dir, slog.New(slog.DiscardHandler))
	newer.open()
	require.Nil(t, newer.lock, "the older process has it")
	older.close()
	newer.open()
	require.Len(t, newer.unreported(0, true), 1)
	require.False(t, older.begin(waiting))
	left := newer.request("left~3~1", "s-1", 1, later())
	newer.abandon("left~3~1", &attempts{}, 0)
	require.False(t, newer.begin(left))
}

// Guards against a send log that is invalid and is used all the same, or that prevents a start.
func TestDamagedSendLogIsIgnored(t *testing.T) {
	for name, spoil := range map[string]func([]byte) []byte{
		"cut off":            func(b []byte) []byte { return b[:len(b)-3] },
		"a flipped bit":      func(b []byte) []byte { b[len(b)/2] ^= 1; return b },
		"empty":              func([]byte) []byte { return nil },
		"of another kind":    func([]byte) []byte { return []byte("PK\x03\x04\n") },
		"of another version": func([]byte) []byte { return formatLine(sendLogHeader{Version: 2}) },
		"of another boot":    func([]byte) []byte { return formatLine(sendLogHeader{Version: 1, Boot: "before"}) },
	} {
		dir := t.TempDir()
		l := openLog(t, dir)
		l.request("asked~1~1", "s-1", 1, later())
		l.killed()
		path := filepath.Join(dir, sendLogFile)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, spoil(text), 0o600))
		l = openLog(t, dir)
		require.Empty(t, l.unreported(0, true), name)
		l.request("next~2~1", "s-1", 1, later())
		l.killed()
		require.Len(t, openLog(t, dir).unreported(0, true), 1, name)
	}
}

// Guards against a file that grows without bound.
func TestSendLogIsBounded(t *testing.T) {
	l := openLog(t, t.TempDir())
	for range 40_000 {
		l.begin(l.request("job~1~1", "s-1", 1, later()))
		l.abandon("job~1~1", &attempts{}, 0)
	}
	info, err := os.Stat(filepath.Join(l.dir, sendLogFile))
	require.NoError(t, err)
	require.Less(t, info.Size(), int64(maxSendLog+4096))
}

// Guards against a file that lists attempts as never sent because it could not record that they had begun.
func TestSendLogThatCannotBeWrittenIsRemoved(t *testing.T) {
	l := openLog(t, t.TempDir())
	sending := l.request("job~1~1", "s-1", 1, later())
	l.file.Close()
	require.True(t, l.begin(sending))
	require.NoFileExists(t, filepath.Join(l.dir, sendLogFile))
}
