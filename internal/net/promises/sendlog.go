package promises

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"caperrelay/internal/promise"
)

// Files of a send log, next to the replica's own, and their format.
const (
	sendLogFile    = "sending.log"
	sendLockFile   = "sending.lock"
	sendLogVersion = 1
	bootIDFile     = "/proc/sys/kernel/random/boot_id"

	maxSendLog  = 1 << 20  // bytes after which the file is rewritten without obsolete lines
	maxReadBack = 64 << 20 // bytes of the largest file that is read at startup
)

var sendLogSums = crc32.MakeTable(crc32.Castagnoli)

// sendLogHeader is the first line. Lines are not synced, so a crash of the machine may lose some of them; they are
// valid only until the machine boots again.
type sendLogHeader struct {
	Version int    `json:"version"`
	Boot    string `json:"boot"`
}

// sendLogLine is the state of an attempt; the last line of an attempt is the valid one.
type sendLogLine struct {
	Job      string              `json:"job"`
	Instance string              `json:"instance"`
	Gen      uint64              `json:"gen"`
	Until    time.Duration       `json:"until"`
	State    promise.IntentState `json:"state"`
}

// sendLog records the state of the attempts of promised jobs, in memory and, while it is open, in a file that
// outlives the process: lines are written to the kernel but not synced. It is safe for concurrent use.
type sendLog struct {
	dir  string // empty: in memory only
	boot string
	log  *slog.Logger

	mu            sync.Mutex
	records       *promise.SendRecords
	lock          *os.File // held while this process owns the file
	file          *os.File // nil: closed, or given up after an error
	size          int64
	rewrittenSize int64 // size after the last rewrite
	broken        bool  // a line could not be written nor the file removed: no attempt that the file lists as unsent may begin
}

// newSendLog returns a send log that is not open yet.
func newSendLog(dir string, log *slog.Logger) *sendLog {
	boot, err := os.ReadFile(bootIDFile)
	if err != nil { // without it a reboot could not be detected
		dir = ""
	}
	return &sendLog{dir: dir, boot: strings.TrimSpace(string(boot)), log: log, records: promise.NewSendRecords()}
}

// open takes the file over from the previous process once that has released it; until then it does nothing.
func (l *sendLog) open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dir == "" || l.lock != nil {
		return
	}
	lock, err := os.OpenFile(filepath.Join(l.dir, sendLockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if errors.Is(err, fs.ErrNotExist) { // the replica creates the folder
		return
	}
	if err == nil {
		if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); errors.Is(err, syscall.EWOULDBLOCK) {
			lock.Close()
			return
		}
	}
	if err != nil {
		l.log.Error("send log not used", "err", err)
		l.dir = ""
		return
	}
	l.lock = lock
	earlier, err := l.readBack()
	if err != nil {
		l.log.Error("send log of the previous process not used; its attempts count as possibly sent", "err", err)
	}
	for _, sending := range earlier {
		l.records.Restore(sending)
	}
	l.records.Expire(unixNow())
	if err := l.rewrite(); err != nil {
		l.fail(err)
	}
}

// close releases the file to the next process. Attempts that were requested but not begun can no longer begin.
func (l *sendLog) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sending := range l.records.All() {
		l.records.Abandon(sending.Job, 0)
	}
	if l.lock == nil {
		return
	}
	if l.file != nil {
		l.file.Close()
	}
	l.lock.Close()
	l.file, l.lock, l.records = nil, nil, promise.NewSendRecords()
}

// readBack reads the file of the previous process. A file from before the last boot yields nothing.
func (l *sendLog) readBack() ([]promise.SendRecord, error) {
	path := filepath.Join(l.dir, sendLogFile)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err == nil && info.Size() > maxReadBack {
		err = fmt.Errorf("%s: file of %d bytes exceeds the size limit", sendLogFile, info.Size())
	}
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseSendLog(text, l.boot)
}

// parseSendLog reads a send log. An error in any line invalidates the whole file.
func parseSendLog(text []byte, boot string) ([]promise.SendRecord, error) {
	lines := bytes.SplitAfter(text, []byte("\n"))
	var header sendLogHeader
	if err := parseLine(lines[0], &header); err != nil {
		return nil, fmt.Errorf("%s: line 1: %w", sendLogFile, err)
	}
	if header.Version != sendLogVersion {
		return nil, fmt.Errorf("%s: unsupported version %d, want %d", sendLogFile, header.Version, sendLogVersion)
	}
	if header.Boot != boot {
		return nil, nil
	}
	type attempt struct {
		job, instance string
		gen           uint64
	}
	at := map[attempt]int{}
	var all []promise.SendRecord
	for n, line := range lines[1 : len(lines)-1] {
		var read sendLogLine
		if err := parseLine(line, &read); err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", sendLogFile, n+2, err)
		}
		sending := promise.SendRecord{Job: read.Job, Instance: read.Instance, Gen: read.Gen, Deadline: read.Until, State: read.State}
		key := attempt{read.Job, read.Instance, read.Gen}
		if i, known := at[key]; known {
			all[i] = sending
			continue
		}
		at[key] = len(all)
		all = append(all, sending)
	}
	if rest := lines[len(lines)-1]; len(rest) > 0 {
		return nil, fmt.Errorf("%s: last line truncated", sendLogFile)
	}
	return all, nil
}

var errChecksum = errors.New("checksum mismatch")

func parseLine(line []byte, into any) error {
	sum, text, ok := bytes.Cut(bytes.TrimSuffix(line, []byte("\n")), []byte(" "))
	if !ok || string(sum) != sumOf(text) {
		return errChecksum
	}
	return json.Unmarshal(text, into)
}

func sumOf(text []byte) string { return fmt.Sprintf("%08x", crc32.Checksum(text, sendLogSums)) }

func formatLine(v any) []byte {
	text, _ := json.Marshal(v) // plain data: this cannot fail
	return fmt.Appendf(nil, "%s %s\n", sumOf(text), text)
}

func formatRecord(s *promise.SendRecord) []byte {
	return formatLine(sendLogLine{Job: s.Job, Instance: s.Instance, Gen: s.Gen, Until: s.Deadline, State: s.State})
}

// rewrite replaces the file by one with the current records only.
func (l *sendLog) rewrite() error {
	text := formatLine(sendLogHeader{Version: sendLogVersion, Boot: l.boot})
	for _, sending := range l.records.All() {
		text = append(text, formatRecord(&sending)...)
	}
	path := filepath.Join(l.dir, sendLogFile)
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	if _, err = file.Write(text); err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		file.Close()
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size, l.rewrittenSize = file, int64(len(text)), int64(len(text))
	return nil
}

// write appends the state of an attempt.
func (l *sendLog) write(s *promise.SendRecord) {
	if l.file == nil {
		return
	}
	n, err := l.file.Write(formatRecord(s))
	if err != nil {
		l.fail(err)
		return
	}
	if l.size += int64(n); l.size < max(maxSendLog, 2*l.rewrittenSize) {
		return
	}
	l.records.Expire(unixNow())
	if err := l.rewrite(); err != nil {
		l.fail(err)
	}
}

// fail gives the file up: it is no longer complete, so the next process must not find it.
func (l *sendLog) fail(err error) {
	l.log.Error("send log given up; attempts of this process count as possibly sent once it has ended", "err", err)
	if l.file != nil {
		l.file.Close()
	}
	l.file = nil
	if err := os.Remove(filepath.Join(l.dir, sendLogFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		l.broken = true
		l.log.Error("send log not removed; promised jobs that must not run twice are not sent", "err", err)
	}
}

// request records that an intent is about to be proposed.
func (l *sendLog) request(job, instance string, gen uint64, until time.Duration) *promise.SendRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	sending, fresh := l.records.Request(job, instance, gen, until)
	if fresh {
		l.write(sending)
	}
	return sending
}

// begin must be called before an attempt's first byte is sent; on false it must not be sent.
func (l *sendLog) begin(s *promise.SendRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if begun := s.State == promise.Started; begun || l.broken || !l.records.Begin(s) {
		return begun
	}
	l.write(s)
	return !l.broken
}

// neverRan records that an attempt has ended without having run.
func (l *sendLog) neverRan(s *promise.SendRecord, mono time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.State != promise.NeverSent {
		l.records.NeverRan(s, mono)
		l.write(s)
	}
}

// committed records that a group has an attempt's intent.
func (l *sendLog) committed(s *promise.SendRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records.Committed(s)
}

// confirmed records that a group knows that an attempt never ran.
func (l *sendLog) confirmed(s *promise.SendRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records.Confirmed(s)
}

// abandon prevents any further attempt of a submission from beginning.
func (l *sendLog) abandon(job string, tracked *attempts, mono time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records.Abandon(job, mono) // the file already lists requested attempts as not begun
	tracked.each(func(sending *promise.SendRecord) {
		if sending.State == promise.Requested { // its record was dropped after its deadline
			l.records.NeverRan(sending, mono)
		}
	})
}

// allUnsent reports whether attempts are tracked and none of them has run or can still run.
func (l *sendLog) allUnsent(tracked *attempts) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	followed, unsent := 0, 0
	tracked.each(func(sending *promise.SendRecord) {
		if followed++; sending.State == promise.NeverSent {
			unsent++
		}
	})
	return followed > 0 && followed == unsent
}

// attempts holds the tracked attempts of one submission, by number. It is safe for concurrent use.
type attempts struct{ byNumber sync.Map }

func (a *attempts) set(n int, sending *promise.SendRecord) { a.byNumber.Store(n, sending) }

func (a *attempts) each(f func(*promise.SendRecord)) {
	a.byNumber.Range(func(_, sending any) bool {
		f(sending.(*promise.SendRecord))
		return true
	})
}

// get returns an attempt's send record, or nil if it is not tracked.
func (a *attempts) get(n int) *promise.SendRecord {
	sending, _ := a.byNumber.Load(n)
	known, _ := sending.(*promise.SendRecord)
	return known
}

// unreported returns the attempts that never ran and whose groups are due to be notified; now: without the usual
// delay.
func (l *sendLog) unreported(mono time.Duration, now bool) (due []promise.SendRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records.Expire(unixNow())
	if now {
		mono = math.MaxInt64 / 2
	}
	for _, sending := range l.records.DueReports(mono) {
		due = append(due, *sending)
	}
	return due
}

// drop removes an attempt's record.
func (l *sendLog) drop(s promise.SendRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records.Drop(&s)
}

func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }
