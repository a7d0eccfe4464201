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

// The files of a send log, beside the record's own, and their form.
const (
	sendLogFile    = "sending.log"
	sendLockFile   = "sending.lock"
	sendLogVersion = 1
	bootIDFile     = "/proc/sys/kernel/random/boot_id"

	mostSendLog  = 1 << 20  // bytes after which what counts no more is left out
	mostReadBack = 64 << 20 // bytes that are read at a start
)

var sendLogSums = crc32.MakeTable(crc32.Castagnoli)

// sendLogHeader is the first line. What the kernel had not written to the disk is lost with the machine, so that the lines
// count only while the machine that wrote them is up.
type sendLogHeader struct {
	Version int    `json:"version"`
	Boot    string `json:"boot"`
}

// sendLogLine is how far an attempt has come: the last line of one counts.
type sendLogLine struct {
	Job      string              `json:"job"`
	Instance string              `json:"instance"`
	Gen      uint64              `json:"gen"`
	Until    time.Duration       `json:"until"`
	State    promise.IntentState `json:"state"`
}

// sendLog keeps what this process knows of the attempts of promised jobs, in memory and, while it is open, in a file that
// outlives the process: what is written has left the process, though it is not synced. It is safe for concurrent use.
type sendLog struct {
	dir  string // empty: memory alone
	boot string
	log  *slog.Logger

	mu     sync.Mutex
	all    *promise.SendRecords
	lock   *os.File // held while the file is this process's
	file   *os.File // nil: closed, or given up after a fault
	size   int64
	kept   int64 // its size when it was last rewritten
	broken bool  // a line could not be written, nor the file removed: nothing may begin that it calls unsent
}

// newSendLog returns one that is not open yet.
func newSendLog(dir string, log *slog.Logger) *sendLog {
	boot, err := os.ReadFile(bootIDFile)
	if err != nil { // without it nobody could tell whether the machine was off meanwhile
		dir = ""
	}
	return &sendLog{dir: dir, boot: strings.TrimSpace(string(boot)), log: log, all: promise.NewSendRecords()}
}

// open takes the file over from the process before, once that has let go of it; before that it does nothing.
func (l *sendLog) open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dir == "" || l.lock != nil {
		return
	}
	lock, err := os.OpenFile(filepath.Join(l.dir, sendLockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if errors.Is(err, fs.ErrNotExist) { // the record makes the folder
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
		l.log.Error("send log of the process before not used: its attempts count as perhaps sent", "err", err)
	}
	for _, sending := range earlier {
		l.all.Restore(sending)
	}
	l.all.Expire(unixNow())
	if err := l.rewrite(); err != nil {
		l.fail(err)
	}
}

// close gives the file to the next process. Nothing that was asked for and not begun begins any more.
func (l *sendLog) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sending := range l.all.All() {
		l.all.Abandon(sending.Job, 0)
	}
	if l.lock == nil {
		return
	}
	if l.file != nil {
		l.file.Close()
	}
	l.lock.Close()
	l.file, l.lock, l.all = nil, nil, promise.NewSendRecords()
}

// readBack reads what the process before has left. A file of another start of the machine says nothing.
func (l *sendLog) readBack() ([]promise.SendRecord, error) {
	path := filepath.Join(l.dir, sendLogFile)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err == nil && info.Size() > mostReadBack {
		err = fmt.Errorf("%s: %d bytes are more than is read", sendLogFile, info.Size())
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

// parseSendLog reads a send log. One fault anywhere, and nothing of it is believed.
func parseSendLog(text []byte, boot string) ([]promise.SendRecord, error) {
	lines := bytes.SplitAfter(text, []byte("\n"))
	var header sendLogHeader
	if err := parseLine(lines[0], &header); err != nil {
		return nil, fmt.Errorf("%s: line 1: %w", sendLogFile, err)
	}
	if header.Version != sendLogVersion {
		return nil, fmt.Errorf("%s: version %d is not read here, %d is", sendLogFile, header.Version, sendLogVersion)
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
		return nil, fmt.Errorf("%s: its last line is cut off", sendLogFile)
	}
	return all, nil
}

var errLine = errors.New("its checksum does not fit")

func parseLine(line []byte, into any) error {
	sum, text, ok := bytes.Cut(bytes.TrimSuffix(line, []byte("\n")), []byte(" "))
	if !ok || string(sum) != sumOf(text) {
		return errLine
	}
	return json.Unmarshal(text, into)
}

func sumOf(text []byte) string { return fmt.Sprintf("%08x", crc32.Checksum(text, sendLogSums)) }

func formatLine(of any) []byte {
	text, _ := json.Marshal(of) // plain data: it cannot fail
	return fmt.Appendf(nil, "%s %s\n", sumOf(text), text)
}

func lineOf(s *promise.SendRecord) []byte {
	return formatLine(sendLogLine{Job: s.Job, Instance: s.Instance, Gen: s.Gen, Until: s.Deadline, State: s.State})
}

// rewrite puts a file in place that has what counts now.
func (l *sendLog) rewrite() error {
	text := formatLine(sendLogHeader{Version: sendLogVersion, Boot: l.boot})
	for _, sending := range l.all.All() {
		text = append(text, lineOf(&sending)...)
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
	l.file, l.size, l.kept = file, int64(len(text)), int64(len(text))
	return nil
}

// write adds how far an attempt has come.
func (l *sendLog) write(s *promise.SendRecord) {
	if l.file == nil {
		return
	}
	n, err := l.file.Write(lineOf(s))
	if err != nil {
		l.fail(err)
		return
	}
	if l.size += int64(n); l.size < max(mostSendLog, 2*l.kept) {
		return
	}
	l.all.Expire(unixNow())
	if err := l.rewrite(); err != nil {
		l.fail(err)
	}
}

// fail gives the file up: what it says holds no longer, so it must not be found by the next process.
func (l *sendLog) fail(err error) {
	l.log.Error("send log given up: attempts of this process count as perhaps sent once it has ended", "err", err)
	if l.file != nil {
		l.file.Close()
	}
	l.file = nil
	if err := os.Remove(filepath.Join(l.dir, sendLogFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		l.broken = true
		l.log.Error("send log not removed: promised jobs that must not run twice are not sent", "err", err)
	}
}

// ask notes that an intent is about to be proposed.
func (l *sendLog) ask(job, instance string, gen uint64, until time.Duration) *promise.SendRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	sending, fresh := l.all.Request(job, instance, gen, until)
	if fresh {
		l.write(sending)
	}
	return sending
}

// begin must be called before an attempt's first byte goes out; false: it must not be sent.
func (l *sendLog) begin(s *promise.SendRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if begun := s.State == promise.Started; begun || l.broken || !l.all.Begin(s) {
		return begun
	}
	l.write(s)
	return !l.broken
}

// neverRan notes that an attempt has ended without having run.
func (l *sendLog) neverRan(s *promise.SendRecord, mono time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.State != promise.NeverSent {
		l.all.NeverRan(s, mono)
		l.write(s)
	}
}

// committed notes that a group has an attempt's intent.
func (l *sendLog) committed(s *promise.SendRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all.Committed(s)
}

// over notes that a group has it that an attempt never ran.
func (l *sendLog) over(s *promise.SendRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all.Confirmed(s)
}

// leave has nothing more of a hand-in begun.
func (l *sendLog) leave(job string, of *attempts, mono time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all.Abandon(job, mono) // of what was asked for and not begun the file says no less
	of.each(func(sending *promise.SendRecord) {
		if sending.State == promise.Requested { // it was forgotten after its deadline
			l.all.NeverRan(sending, mono)
		}
	})
}

// allUnsent tells whether attempts are followed and none of them has run, or will.
func (l *sendLog) allUnsent(of *attempts) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	followed, unsent := 0, 0
	of.each(func(sending *promise.SendRecord) {
		if followed++; sending.State == promise.NeverSent {
			unsent++
		}
	})
	return followed > 0 && followed == unsent
}

// attempts is those of one hand-in whose sending is followed, by their numbers. It is safe for concurrent use.
type attempts struct{ byNumber sync.Map }

func (a *attempts) set(n int, sending *promise.SendRecord) { a.byNumber.Store(n, sending) }

func (a *attempts) each(f func(*promise.SendRecord)) {
	a.byNumber.Range(func(_, sending any) bool {
		f(sending.(*promise.SendRecord))
		return true
	})
}

// get is an attempt; nil: its sending is not followed.
func (a *attempts) get(n int) *promise.SendRecord {
	sending, _ := a.byNumber.Load(n)
	known, _ := sending.(*promise.SendRecord)
	return known
}

// untold is the attempts of which groups are to be told that they never ran: now, or all of them.
func (l *sendLog) untold(mono time.Duration, all bool) (due []promise.SendRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all.Expire(unixNow())
	if all {
		mono = math.MaxInt64 / 2
	}
	for _, sending := range l.all.DueReports(mono) {
		due = append(due, *sending)
	}
	return due
}

// drop forgets an attempt.
func (l *sendLog) drop(s promise.SendRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all.Drop(&s)
}

func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }
