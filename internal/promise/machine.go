// Package promise implements promised jobs, which are submitted once and kept until they are done: the replicated table of a
// group's jobs, [Machine], and the logic of the one dispatcher that acts for the group, [Owner]. It does no I/O and reads no clock.
package promise

import (
	"bytes"
	"cmp"
	"container/heap"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits of one group's table. They must be the same on all replicas: otherwise these would refuse different commands.
const (
	MaxID          = 96       // bytes of an ID
	MaxName        = 128      // bytes of a class, tenant or instance name
	MaxTarget      = 2 << 10  // bytes of a target
	MaxPayload     = 64 << 10 // bytes of a job's payload
	MaxResult      = 64 << 10 // bytes of a job's result; a longer one is not stored
	MaxReason      = 256
	MaxCandidates  = 256      // instances in a job's list of candidates
	MaxJobs        = 1 << 14  // jobs in the table, ended ones included
	MaxBytes       = 64 << 20 // bytes of all payloads, targets, candidates and results
	MaxStartWithin = 24 * time.Hour
	MaxRetention   = 7 * 24 * time.Hour
	MaxForgotten   = 1 << 15 // IDs that were removed and cannot be used again yet
	maxIntents     = 16      // intents of one job that has not ended; further ones replace the oldest
)

// A proposal whose outcome is unknown may be committed late, when the promise that it duplicates has already ended and been removed.
// A removed ID is therefore remembered for MaxProposalLag commits, and a proposal carries the group's index at the time it was made: a
// proposal from before the removal, or older than MaxProposalLag commits, is refused. This does not depend on any clock.
const MaxProposalLag = 1 << 16

// Version is the format version of commands and snapshots.
const Version = 1

// Job describes a job that is promised to be done.
type Job struct {
	Class       string        `json:"class"`
	Tenant      string        `json:"tenant,omitempty"`
	Key         string        `json:"key,omitempty"`
	Work        time.Duration `json:"work,omitempty"` // expected run time; 0: unknown
	Slots       float64       `json:"slots,omitempty"`
	Target      string        `json:"target,omitempty"` // sent to the encoder
	Candidates  []string      `json:"order,omitempty"`  // the only instances that may run it, in order of preference; nil: chosen by class
	Payload     []byte        `json:"payload,omitempty"`
	StartWithin time.Duration `json:"within"` // time after the receipt by which it must start
	Retention   time.Duration `json:"keep"`   // how long its end is kept
}

// Check reports what is invalid in a job.
func (j *Job) Check() error {
	switch {
	case j.Class == "" || len(j.Class) > MaxName || len(j.Tenant) > MaxName || len(j.Key) > MaxName:
		return fmt.Errorf("a class is needed, and names have at most %d bytes", MaxName)
	case len(j.Payload) > MaxPayload:
		return fmt.Errorf("a payload has at most %d bytes", MaxPayload)
	case len(j.Target) > MaxTarget:
		return fmt.Errorf("a target has at most %d bytes", MaxTarget)
	case len(j.Candidates) > MaxCandidates || slices.ContainsFunc(j.Candidates, func(id string) bool { return id == "" || len(id) > MaxName }):
		return fmt.Errorf("an order has at most %d names", MaxCandidates)
	case j.StartWithin <= 0 || j.StartWithin > MaxStartWithin || j.Retention <= 0 || j.Retention > MaxRetention:
		return fmt.Errorf("it is to be done within %v and kept for up to %v", MaxStartWithin, MaxRetention)
	case j.Work < 0 || !(j.Slots >= 0):
		return fmt.Errorf("work and slots are not negative")
	}
	return nil
}

func (j *Job) digest() string {
	text, _ := json.Marshal(j) // Marshal fails only for NaN and infinities, which Check rejects
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:12])
}

// CheckID reports what is invalid in an ID, which becomes part of log lines and targets.
func CheckID(id string) error {
	if id == "" || len(id) > MaxID {
		return fmt.Errorf("an id has 1 to %d bytes", MaxID)
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || strings.IndexByte("/?#%~", c) >= 0 {
			return fmt.Errorf("an id is of visible ASCII without / ? # %% ~")
		}
	}
	return nil
}

// CheckTarget reports what is invalid in a target, which becomes part of a request line. It is checked where a job is
// received, not by the machine: replicas of different builds must decide alike on what is already in the log.
func CheckTarget(target string) error {
	for _, c := range []byte(target) {
		if c <= ' ' || c == 127 {
			return fmt.Errorf("a target has no spaces or control characters")
		}
	}
	return nil
}

// Receipt confirms that a job is promised. An ID keeps the same receipt for as long as its job is stored.
type Receipt struct {
	ID      string        `json:"id"`
	Index   uint64        `json:"index"` // of the commit
	At      time.Duration `json:"at"`    // Unix time of the commit
	StartBy time.Duration `json:"until"` // Unix time after which the job is not started
}

// Kind says how a promise ended.
type Kind string

// Kinds of ends.
const (
	Done    Kind = "done"
	Failed  Kind = "failed"
	Refused Kind = "refused" // it never ran
)

// End is the final outcome of a promise. A promise has exactly one.
type End struct {
	Kind   Kind          `json:"kind"`
	Reason string        `json:"reason,omitempty"`
	Result []byte        `json:"result,omitempty"`
	By     string        `json:"by,omitempty"` // the instance that ran it
	At     time.Duration `json:"at"`           // Unix time
}

// Intent records that an attempt may be sent or has been sent.
type Intent struct {
	Gen        uint64        `json:"gen"`
	Submission int           `json:"hand"`
	Attempt    int           `json:"n"`
	Instance   string        `json:"instance"`
	Deadline   time.Duration `json:"until"`          // Unix time of the attempt's deadline
	Failure    string        `json:"lost,omitempty"` // why the attempt will not give a result
}

// Entry is the table's record of one job.
type Entry struct {
	Receipt
	Job            Job      `json:"job"` // without its payload once it has ended
	Digest         string   `json:"digest"`
	LastSubmission int      `json:"hands"` // the highest submission number of an intent
	Intents        []Intent `json:"intents,omitempty"`
	MayHaveRun     bool     `json:"ran,omitempty"` // an intent that was replaced may have run
	End            *End     `json:"end,omitempty"`
}

func (e *Entry) bytes() int {
	n := len(e.Job.Payload) + len(e.Job.Target)
	for _, id := range e.Job.Candidates {
		n += len(id)
	}
	if e.End != nil {
		n += len(e.End.Result)
	}
	return n
}

func (e *Entry) expires() time.Duration { return e.End.At + e.Job.Retention }

// Op is the operation of a command.
type Op string

// Operations.
const (
	OpPromise       Op = "promise"
	OpTakeOwnership Op = "own"    // an owner with a newer generation takes over
	OpIntent        Op = "intent" // by the owner
	OpNeverRan      Op = "over"   // by the owner: an attempt never ran
	OpEnd           Op = "end"    // by the owner: the job failed or was refused
	OpReport        Op = "word"   // a report by an instance, proposed by any dispatcher that received it
	OpForget        Op = "forget"
	OpRead          Op = "look" // a read in the order of the log; changes nothing
)

// Command is an entry of the replicated log.
type Command struct {
	V          int           `json:"v"`
	Op         Op            `json:"op"`
	Gen        uint64        `json:"gen,omitempty"` // of the owner that proposes it
	ID         string        `json:"id,omitempty"`
	Index      uint64        `json:"index,omitempty"` // of the receipt
	SeenIndex  uint64        `json:"seen,omitempty"`  // for OpPromise: the group's index when the proposal was made
	Job        *Job          `json:"job,omitempty"`
	Submission int           `json:"hand,omitempty"`
	Attempt    int           `json:"n,omitempty"`
	Instance   string        `json:"instance,omitempty"`
	Deadline   time.Duration `json:"until,omitempty"`
	Kind       Kind          `json:"kind,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	Result     []byte        `json:"result,omitempty"`
}

// Bytes encodes the command.
func (c Command) Bytes() []byte {
	c.V = Version
	text, _ := json.Marshal(c) // Marshal fails only for NaN and infinities, which Check rejects
	return text
}

// Answer is the result of a command.
type Answer struct {
	OK      bool     `json:"ok"`
	Index   uint64   `json:"index"`         // of the command
	Code    Code     `json:"why,omitempty"` // why OK is false; with OK it is NotEnded if the job has not ended, and is otherwise to be ignored
	Text    string   `json:"text,omitempty"`
	Receipt *Receipt `json:"receipt,omitempty"`
	End     *End     `json:"end,omitempty"`
}

// Code is a status code.
type Code string

// Status codes.
const (
	Malformed    Code = "malformed"
	TableFull    Code = "full"    // the table is full
	IDTaken      Code = "another" // the ID belongs to another job
	NotFound     Code = "unknown" // there is no such receipt
	StaleOwner   Code = "stale"   // the owner has been replaced
	AlreadyEnded Code = "ended"   // the job has ended already
	NotEnded     Code = "open"    // the job has not ended
	TooLate      Code = "late"    // the proposal was delayed for too long, or the ID was removed recently
)

// ReadAnswer decodes a result of Apply or Read.
func ReadAnswer(text []byte) (a Answer, err error) {
	err = json.Unmarshal(text, &a)
	return a, err
}

// Machine is one group's table. It is not safe for concurrent use.
type Machine struct {
	index          uint64 // of the last command
	owner          uint64 // the highest generation of an owner
	jobs           map[string]*Entry
	openJobs       []*Entry // jobs without an end, by index; may contain some that have ended since
	endedInOpen    int      // number of entries in openJobs that have ended
	ended          expiryHeap
	bytes          int
	forgotten      map[string]uint64 // removed IDs with the index of their removal
	forgottenOrder []forgottenID     // the same in order of removal

	faults Faults
}

// Faults disables rules, so that tests can check that each is needed.
type Faults struct{ IgnoreGeneration, AllowSecondEnd, IgnoreIntentOwner bool }

// New returns an empty table.
func New() *Machine { return &Machine{jobs: map[string]*Entry{}, forgotten: map[string]uint64{}} }

type forgottenID struct {
	ID    string `json:"id"`
	Index uint64 `json:"index"`
}

// expiryHeap is a heap of ended entries, ordered by the end of their retention.
type expiryHeap []*Entry

func (x expiryHeap) Len() int { return len(x) }
func (x expiryHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(x[i].expires(), x[j].expires()), cmp.Compare(x[i].Index, x[j].Index)) < 0
}
func (x expiryHeap) Swap(i, j int) { x[i], x[j] = x[j], x[i] }
func (x *expiryHeap) Push(e any)   { *x = append(*x, e.(*Entry)) }
func (x *expiryHeap) Pop() any {
	last := (*x)[len(*x)-1]
	*x = (*x)[:len(*x)-1]
	return last
}

// Apply executes a committed command. at is Unix time and never decreases.
func (m *Machine) Apply(index uint64, at time.Duration, cmd []byte) []byte {
	m.index = index
	m.expire(at)
	var c Command
	a := Answer{Code: Malformed}
	if err := json.Unmarshal(cmd, &c); err != nil {
		a.Text = "it cannot be read"
	} else if c.V != Version {
		a.Text = fmt.Sprintf("version %d is not spoken here, %d is", c.V, Version)
	} else {
		a = m.step(index, at, &c)
	}
	a.Index = index
	text, _ := json.Marshal(a)
	return text
}

// readPrefix is the prefix of an encoded read command, see [Command.Bytes].
var readPrefix = fmt.Appendf(nil, `{"v":%d,"op":%q`, Version, OpRead)

// Read answers a read command without the log.
func (m *Machine) Read(cmd []byte) (result []byte, ok bool) {
	var c Command
	if !bytes.HasPrefix(cmd, readPrefix) || json.Unmarshal(cmd, &c) != nil || c.Op != OpRead {
		return nil, false
	}
	a := Answer{Code: NotFound}
	if e := m.jobs[c.ID]; e != nil {
		a = e.answer()
	}
	a.Index = m.index
	text, _ := json.Marshal(a)
	return text, true
}

func (m *Machine) expire(at time.Duration) {
	for len(m.forgottenOrder) > 0 && m.forgottenOrder[0].Index+MaxProposalLag < m.index {
		if m.forgotten[m.forgottenOrder[0].ID] == m.forgottenOrder[0].Index {
			delete(m.forgotten, m.forgottenOrder[0].ID)
		}
		m.forgottenOrder = m.forgottenOrder[1:]
	}
	for len(m.ended) > 0 && m.ended[0].expires() <= at && len(m.forgottenOrder) < MaxForgotten {
		m.forget(heap.Pop(&m.ended).(*Entry))
	}
}

func (m *Machine) forget(e *Entry) {
	delete(m.jobs, e.ID)
	m.bytes -= e.bytes()
	m.forgotten[e.ID] = m.index
	m.forgottenOrder = append(m.forgottenOrder, forgottenID{e.ID, m.index})
}

func (m *Machine) step(index uint64, at time.Duration, c *Command) Answer {
	switch c.Op {
	case OpPromise:
		return m.promise(index, at, c)
	case OpTakeOwnership:
		if c.Gen <= m.owner {
			return Answer{OK: c.Gen == m.owner, Code: StaleOwner}
		}
		m.owner = c.Gen
		return Answer{OK: true}
	}
	e := m.jobs[c.ID]
	if e == nil || c.Index != e.Index && slices.Contains([]Op{OpIntent, OpNeverRan, OpEnd, OpReport}, c.Op) {
		return Answer{Code: NotFound}
	}
	switch c.Op {
	case OpRead:
		return e.answer()
	case OpForget:
		if e.End == nil {
			return Answer{Code: NotEnded, Receipt: &e.Receipt}
		}
		if len(m.forgottenOrder) >= MaxForgotten {
			return Answer{Code: TableFull, Text: "too many were forgotten of late: it goes by itself when its retention ends"}
		}
		heap.Remove(&m.ended, slices.Index(m.ended, e))
		m.forget(e)
		return Answer{OK: true}
	case OpReport:
		return m.report(at, e, c)
	case OpIntent, OpNeverRan, OpEnd:
		if c.Gen != m.owner && !m.faults.IgnoreGeneration {
			return Answer{Code: StaleOwner}
		}
	default:
		return Answer{Code: Malformed, Text: "no such command"}
	}
	if e.End != nil && !m.faults.AllowSecondEnd {
		return Answer{Code: AlreadyEnded, End: e.End}
	}
	switch c.Op {
	case OpIntent:
		if len(c.Instance) > MaxName {
			return Answer{Code: Malformed, Text: "an instance's name is too long"}
		}
		for _, in := range e.Intents { // committed before, but the proposer did not learn of it
			if in.Gen == c.Gen && in.Submission == c.Submission && in.Attempt == c.Attempt && in.Instance == c.Instance {
				return Answer{OK: true}
			}
		}
		if len(e.Intents) == maxIntents {
			e.Intents, e.MayHaveRun = slices.Delete(e.Intents, 0, 1), true
		}
		e.Intents = append(e.Intents, Intent{Gen: c.Gen, Submission: c.Submission, Attempt: c.Attempt, Instance: c.Instance, Deadline: c.Deadline})
		e.LastSubmission = max(e.LastSubmission, c.Submission)
	case OpNeverRan:
		e.Intents = slices.DeleteFunc(e.Intents, func(in Intent) bool {
			return in.Gen == c.Gen && in.Submission == c.Submission && in.Attempt == c.Attempt
		})
	case OpEnd:
		if c.Kind != Failed && c.Kind != Refused {
			return Answer{Code: Malformed, Text: "an owner ends what failed or is refused"}
		}
		end := &End{Kind: c.Kind, Reason: c.Reason, At: at}
		if end.Kind == Refused && (len(e.Intents) > 0 || e.MayHaveRun) { // by this table's knowledge it may have run
			end.Kind, end.Reason = Failed, "an attempt may have run; then: "+end.Reason
		}
		m.end(e, end)
	}
	return Answer{OK: true, Receipt: &e.Receipt}
}

func (e *Entry) answer() Answer {
	if e.End == nil {
		return Answer{OK: true, Code: NotEnded, Receipt: &e.Receipt}
	}
	return Answer{OK: true, Receipt: &e.Receipt, End: e.End}
}

func (m *Machine) promise(index uint64, at time.Duration, c *Command) Answer {
	if c.Job == nil {
		return Answer{Code: Malformed, Text: "without a job"}
	}
	if err := cmp.Or(CheckID(c.ID), c.Job.Check()); err != nil {
		return Answer{Code: Malformed, Text: err.Error()}
	}
	digest := c.Job.digest()
	if e := m.jobs[c.ID]; e != nil {
		if e.Digest != digest {
			return Answer{Code: IDTaken, Text: "the id is another job's"}
		}
		return Answer{OK: true, Receipt: &e.Receipt}
	}
	if dropped, ok := m.forgotten[c.ID]; c.SeenIndex+MaxProposalLag < index || ok && c.SeenIndex < dropped {
		return Answer{Code: TooLate, Text: "it was under way for too long, or the id was forgotten a moment ago"}
	}
	e := &Entry{Receipt: Receipt{ID: c.ID, Index: index, At: at, StartBy: at + c.Job.StartWithin}, Job: *c.Job, Digest: digest}
	if len(m.jobs) >= MaxJobs || m.bytes+e.bytes() > MaxBytes {
		return Answer{Code: TableFull, Text: fmt.Sprintf("the group holds %d promises and %d bytes of them", len(m.jobs), m.bytes)}
	}
	m.jobs[c.ID] = e
	m.openJobs = append(m.openJobs, e)
	m.bytes += e.bytes()
	return Answer{OK: true, Receipt: &e.Receipt}
}

// report applies an instance's report on an attempt. It is accepted regardless of the current
// owner.
func (m *Machine) report(at time.Duration, e *Entry, c *Command) Answer {
	if e.End != nil && !m.faults.AllowSecondEnd {
		return Answer{Code: AlreadyEnded, End: e.End}
	}
	i := slices.IndexFunc(e.Intents, func(in Intent) bool { return in.Submission == c.Submission && in.Instance == c.Instance })
	if i < 0 {
		return Answer{Code: NotFound, Text: "no such attempt was to be sent"}
	}
	switch c.Kind {
	case Done:
		end := &End{Kind: Done, Result: c.Result, By: c.Instance, At: at}
		if len(c.Result) > MaxResult {
			end.Result, end.Reason = nil, fmt.Sprintf("the result, of %d bytes, is longer than what is kept", len(c.Result))
		}
		m.end(e, end)
	case Failed:
		e.Intents[i].Failure = truncate(cmp.Or(c.Reason, "it failed"))
	case Refused: // returned without having been started
		e.Intents = slices.Delete(e.Intents, i, i+1)
	default:
		return Answer{Code: Malformed, Text: "word of no known kind"}
	}
	return Answer{OK: true, Receipt: &e.Receipt}
}

func truncate(reason string) string { return reason[:min(len(reason), MaxReason)] }

func (m *Machine) end(e *Entry, end *End) {
	endedBefore := e.End != nil
	m.bytes -= e.bytes()
	end.Reason = truncate(end.Reason)
	e.End, e.Intents, e.Job.Payload = end, nil, nil
	m.bytes += e.bytes()
	if endedBefore {
		return
	}
	heap.Push(&m.ended, e)
	if m.endedInOpen++; m.endedInOpen > 64 && m.endedInOpen > len(m.openJobs)/2 {
		m.openJobs = slices.DeleteFunc(m.openJobs, func(e *Entry) bool { return e.End != nil })
		m.endedInOpen = 0
	}
}

// Index returns the index of the last command.
func (m *Machine) Index() uint64 { return m.index }

// Owner returns the generation of the current owner.
func (m *Machine) Owner() uint64 { return m.owner }

// Entry returns the record of a job, which must not be modified, or nil if there is none.
func (m *Machine) Entry(id string) *Entry { return m.jobs[id] }

// EachOpen calls f with each job that has not ended, in the order of the receipts and starting at index from, until f
// returns false.
func (m *Machine) EachOpen(from uint64, f func(*Entry) bool) {
	at, _ := slices.BinarySearchFunc(m.openJobs, from, func(e *Entry, from uint64) int { return cmp.Compare(e.Index, from) })
	for _, e := range m.openJobs[at:] {
		if e.End == nil && !f(e) {
			return
		}
	}
}

// Size returns the number of jobs in the table, the number of those without an end, and the bytes of all.
func (m *Machine) Size() (jobs, open, bytes int) {
	return len(m.jobs), len(m.openJobs) - m.endedInOpen, m.bytes
}

type state struct {
	V         int           `json:"v"`
	Index     uint64        `json:"index"`
	Owner     uint64        `json:"owner"`
	Jobs      []*Entry      `json:"jobs"` // by index
	Forgotten []forgottenID `json:"gone,omitempty"`
}

// Snapshot encodes the table.
func (m *Machine) Snapshot() ([]byte, error) {
	s := state{V: Version, Index: m.index, Owner: m.owner, Forgotten: m.forgottenOrder}
	for _, e := range m.jobs {
		s.Jobs = append(s.Jobs, e)
	}
	slices.SortFunc(s.Jobs, func(a, b *Entry) int { return cmp.Compare(a.Index, b.Index) })
	return json.Marshal(s)
}

// Restore replaces the table by that of a snapshot.
func (m *Machine) Restore(text []byte) error {
	var s state
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("promises: %w", err)
	}
	if s.V != Version {
		return fmt.Errorf("promises: a snapshot of version %d, not %d", s.V, Version)
	}
	fresh := Machine{index: s.Index, owner: s.Owner, jobs: map[string]*Entry{}, forgotten: map[string]uint64{}, forgottenOrder: s.Forgotten, faults: m.faults}
	for _, g := range s.Forgotten {
		fresh.forgotten[g.ID] = g.Index
	}
	for _, e := range s.Jobs {
		fresh.jobs[e.ID] = e
		if fresh.bytes += e.bytes(); e.End == nil {
			fresh.openJobs = append(fresh.openJobs, e)
		} else {
			fresh.ended = append(fresh.ended, e)
		}
	}
	heap.Init(&fresh.ended)
	*m = fresh
	return nil
}

// WireID returns the ID under which instances know one submission of a job. It differs between submissions, and between promises that
// use the same ID one after the other, so that an instance's leftover state of an earlier one is not taken for that of a later one.
func WireID(id string, index uint64, submission int) string {
	return id + "~" + strconv.FormatUint(index, 10) + "~" + strconv.Itoa(submission)
}

// ReadWireID parses a wire ID; ok is false if it belongs to no promised job.
func ReadWireID(text string) (id string, index uint64, submission int, ok bool) {
	parts := strings.Split(text, "~")
	if len(parts) != 3 || CheckID(parts[0]) != nil {
		return "", 0, 0, false
	}
	index, err := strconv.ParseUint(parts[1], 10, 64)
	if err == nil {
		submission, err = strconv.Atoi(parts[2])
	}
	return parts[0], index, submission, err == nil && submission > 0
}
