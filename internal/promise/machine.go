// Package promise has the decisions about jobs that are handed in for good: the replicated table of them,
// [Machine], and what the one dispatcher that acts for them does, [Owner]. It does no I/O and asks no clock.
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

// Bounds of one group's table. They are the same at all replicas, or these would differ in what they refuse.
const (
	MaxID      = 96       // bytes of an id
	MaxName    = 128      // of a class, tenant or instance
	MaxTarget  = 2 << 10  // bytes of a target
	MaxPayload = 64 << 10 // bytes of a job's payload
	MaxResult  = 64 << 10 // and of its result; a longer one is not kept
	MaxReason  = 256
	MaxOrder   = 256      // instances that a job names
	MaxJobs    = 1 << 14  // that are promised and not forgotten
	MaxBytes   = 64 << 20 // of payloads and results in all
	MaxWithin  = 24 * time.Hour
	MaxKeep    = 7 * 24 * time.Hour
	MaxGone    = 1 << 15 // ids that are not kept any more, and not yet free for what was on its way
	maxIntents = 16      // of a job that have no end; of one that may repeat, the oldest makes room
)

// A proposal of which nothing was heard may be committed late: when the promise that it doubles has ended, and is
// forgotten. So an id that is dropped stays known for Late commits, and a proposal bears how far its proposer had seen
// when it was asked for: one from before the drop, or from longer ago, counts no more. Clocks have no part in it.
const Late = 1 << 16

// Version of commands and snapshots.
const Version = 1

// Job is what is promised to be done.
type Job struct {
	Class   string        `json:"class"`
	Tenant  string        `json:"tenant,omitempty"`
	Key     string        `json:"key,omitempty"`
	Work    time.Duration `json:"work,omitempty"` // expected; 0: not told
	Slots   float64       `json:"slots,omitempty"`
	Target  string        `json:"target,omitempty"` // that encoders are sent
	Order   []string      `json:"order,omitempty"`  // the only instances that it may go to, the first before the next; nil: as its class says
	Payload []byte        `json:"payload,omitempty"`
	Within  time.Duration `json:"within"` // from the receipt: later it is begun no more
	Keep    time.Duration `json:"keep"`   // how long its end is kept
}

// Check tells what is wrong with a job.
func (j *Job) Check() error {
	switch {
	case j.Class == "" || len(j.Class) > MaxName || len(j.Tenant) > MaxName || len(j.Key) > MaxName:
		return fmt.Errorf("a class is needed, and names have at most %d bytes", MaxName)
	case len(j.Payload) > MaxPayload:
		return fmt.Errorf("a payload has at most %d bytes", MaxPayload)
	case len(j.Target) > MaxTarget:
		return fmt.Errorf("a target has at most %d bytes", MaxTarget)
	case len(j.Order) > MaxOrder || slices.ContainsFunc(j.Order, func(id string) bool { return id == "" || len(id) > MaxName }):
		return fmt.Errorf("an order has at most %d names", MaxOrder)
	case j.Within <= 0 || j.Within > MaxWithin || j.Keep <= 0 || j.Keep > MaxKeep:
		return fmt.Errorf("it is to be done within %v and kept for up to %v", MaxWithin, MaxKeep)
	case j.Work < 0 || !(j.Slots >= 0):
		return fmt.Errorf("work and slots are not negative")
	}
	return nil
}

func (j *Job) digest() string {
	text, _ := json.Marshal(j) // plain data: it cannot fail, but for figures that Check refuses
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:12])
}

// CheckID tells what is wrong with an id. It goes into lines and targets that are written on.
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

// Receipt says that a job is promised. The same id has the same one for as long as it is kept.
type Receipt struct {
	ID    string        `json:"id"`
	Index uint64        `json:"index"` // at which it was committed
	At    time.Duration `json:"at"`    // Unix time
	Until time.Duration `json:"until"` // likewise: later it is begun no more
}

// Kind is how a promise ended.
type Kind string

// The ends.
const (
	Done    Kind = "done"
	Failed  Kind = "failed"
	Refused Kind = "refused" // it never ran
)

// End is the one end of a promise.
type End struct {
	Kind   Kind          `json:"kind"`
	Reason string        `json:"reason,omitempty"`
	Result []byte        `json:"result,omitempty"`
	By     string        `json:"by,omitempty"` // the instance that did it
	At     time.Duration `json:"at"`           // Unix time
}

// Intent says that an attempt may be sent, or was.
type Intent struct {
	Gen      uint64        `json:"gen"`
	Hand     int           `json:"hand"`
	N        int           `json:"n"`
	Instance string        `json:"instance"`
	Until    time.Duration `json:"until"`          // Unix time of the attempt's deadline
	Lost     string        `json:"lost,omitempty"` // why no result of it will come
}

// Entry is a line of the table.
type Entry struct {
	Receipt
	Job     Job      `json:"job"` // without its payload once it has ended
	Digest  string   `json:"digest"`
	Hands   int      `json:"hands"` // the highest number that an intent bore
	Intents []Intent `json:"intents,omitempty"`
	Ran     bool     `json:"ran,omitempty"` // it may have, by an intent that made room
	End     *End     `json:"end,omitempty"`
}

func (e *Entry) bytes() int {
	n := len(e.Job.Payload) + len(e.Job.Target)
	for _, id := range e.Job.Order {
		n += len(id)
	}
	if e.End != nil {
		n += len(e.End.Result)
	}
	return n
}

func (e *Entry) expires() time.Duration { return e.End.At + e.Job.Keep }

// Op is what a command does.
type Op string

// The commands.
const (
	OpPromise Op = "promise"
	OpOwn     Op = "own"    // an owner of a later generation acts from here on
	OpIntent  Op = "intent" // of the owner
	OpOver    Op = "over"   // of the owner: an attempt never ran
	OpEnd     Op = "end"    // of the owner: failed or refused
	OpWord    Op = "word"   // of an instance, by whichever dispatcher it told
	OpForget  Op = "forget"
	OpLook    Op = "look" // changes nothing: a read in the order of all else
)

// Command is what is committed.
type Command struct {
	V        int           `json:"v"`
	Op       Op            `json:"op"`
	Gen      uint64        `json:"gen,omitempty"` // of the owner that proposes it
	ID       string        `json:"id,omitempty"`
	Index    uint64        `json:"index,omitempty"` // of the receipt that it is about
	Seen     uint64        `json:"seen,omitempty"`  // of a promise: the group's index when it was asked for
	Job      *Job          `json:"job,omitempty"`
	Hand     int           `json:"hand,omitempty"`
	N        int           `json:"n,omitempty"`
	Instance string        `json:"instance,omitempty"`
	Until    time.Duration `json:"until,omitempty"`
	Kind     Kind          `json:"kind,omitempty"`
	Reason   string        `json:"reason,omitempty"`
	Result   []byte        `json:"result,omitempty"`
}

// Bytes is the command as it is proposed.
func (c Command) Bytes() []byte {
	c.V = Version
	text, _ := json.Marshal(c) // plain data: it cannot fail, but for figures that Check refuses
	return text
}

// Answer is what a command came to.
type Answer struct {
	OK      bool     `json:"ok"`
	Index   uint64   `json:"index"`         // of the command
	Why     Why      `json:"why,omitempty"` // it was not done
	Text    string   `json:"text,omitempty"`
	Receipt *Receipt `json:"receipt,omitempty"`
	End     *End     `json:"end,omitempty"`
}

// Why is a reason for a refusal.
type Why string

// The reasons.
const (
	Malformed Why = "malformed"
	Full      Why = "full"    // the table is
	Another   Why = "another" // the id is another job's
	Unknown   Why = "unknown" // no such receipt
	Stale     Why = "stale"   // of an owner whose time is over
	Ended     Why = "ended"   // it has its end already
	Open      Why = "open"    // it has none yet
	TooLate   Why = "late"    // the proposal was under way for too long, or the id was dropped a moment ago
)

// ReadAnswer reads what Apply gave.
func ReadAnswer(text []byte) (a Answer, err error) {
	err = json.Unmarshal(text, &a)
	return a, err
}

// Machine is one group's table. It is not safe for more than one goroutine.
type Machine struct {
	index uint64 // of the last command
	owner uint64 // the highest generation of an owner
	jobs  map[string]*Entry
	open  []*Entry // without an end, by index; some that have one meanwhile
	dead  int      // how many of open those are
	ended expiry
	bytes int
	gone  map[string]uint64 // ids by the index at which they were dropped
	order []gone            // likewise, the first first

	faulty Faults
}

// Faults switches a rule off, for the tests that must notice.
type Faults struct{ AnyGen, EndTwice, AnyIntent bool }

// New returns an empty table.
func New() *Machine { return &Machine{jobs: map[string]*Entry{}, gone: map[string]uint64{}} }

type gone struct {
	ID    string `json:"id"`
	Index uint64 `json:"index"`
}

// expiry is a heap of entries that have ended.
type expiry []*Entry

func (x expiry) Len() int { return len(x) }
func (x expiry) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(x[i].expires(), x[j].expires()), cmp.Compare(x[i].Index, x[j].Index)) < 0
}
func (x expiry) Swap(i, j int) { x[i], x[j] = x[j], x[i] }
func (x *expiry) Push(e any)   { *x = append(*x, e.(*Entry)) }
func (x *expiry) Pop() any {
	last := (*x)[len(*x)-1]
	*x = (*x)[:len(*x)-1]
	return last
}

// Apply steps the table by a committed command. at is Unix time, and never less than before.
func (m *Machine) Apply(index uint64, at time.Duration, cmd []byte) []byte {
	m.index = index
	m.expire(at)
	var c Command
	a := Answer{Why: Malformed}
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

// looks is how a command that only reads begins, as [Command.Bytes] has it.
var looks = fmt.Appendf(nil, `{"v":%d,"op":%q`, Version, OpLook)

// Read answers a look without the log.
func (m *Machine) Read(cmd []byte) (result []byte, ok bool) {
	var c Command
	if !bytes.HasPrefix(cmd, looks) || json.Unmarshal(cmd, &c) != nil || c.Op != OpLook {
		return nil, false
	}
	a := Answer{Why: Unknown}
	if e := m.jobs[c.ID]; e != nil {
		a = e.answer()
	}
	a.Index = m.index
	text, _ := json.Marshal(a)
	return text, true
}

func (m *Machine) expire(at time.Duration) {
	for len(m.order) > 0 && m.order[0].Index+Late < m.index {
		if m.gone[m.order[0].ID] == m.order[0].Index {
			delete(m.gone, m.order[0].ID)
		}
		m.order = m.order[1:]
	}
	for len(m.ended) > 0 && m.ended[0].expires() <= at && len(m.order) < MaxGone {
		m.drop(heap.Pop(&m.ended).(*Entry))
	}
}

func (m *Machine) drop(e *Entry) {
	delete(m.jobs, e.ID)
	m.bytes -= e.bytes()
	m.gone[e.ID] = m.index
	m.order = append(m.order, gone{e.ID, m.index})
}

func (m *Machine) step(index uint64, at time.Duration, c *Command) Answer {
	switch c.Op {
	case OpPromise:
		return m.promise(index, at, c)
	case OpOwn:
		if c.Gen <= m.owner {
			return Answer{OK: c.Gen == m.owner, Why: Stale}
		}
		m.owner = c.Gen
		return Answer{OK: true}
	}
	e := m.jobs[c.ID]
	if e == nil || c.Index != e.Index && slices.Contains([]Op{OpIntent, OpOver, OpEnd, OpWord}, c.Op) {
		return Answer{Why: Unknown}
	}
	switch c.Op {
	case OpLook:
		return e.answer()
	case OpForget:
		if e.End == nil {
			return Answer{Why: Open, Receipt: &e.Receipt}
		}
		if len(m.order) >= MaxGone {
			return Answer{Why: Full, Text: "too many were forgotten of late: it goes by itself when its retention ends"}
		}
		heap.Remove(&m.ended, slices.Index(m.ended, e))
		m.drop(e)
		return Answer{OK: true}
	case OpWord:
		return m.word(at, e, c)
	case OpIntent, OpOver, OpEnd:
		if c.Gen != m.owner && !m.faulty.AnyGen {
			return Answer{Why: Stale}
		}
	default:
		return Answer{Why: Malformed, Text: "no such command"}
	}
	if e.End != nil && !m.faulty.EndTwice {
		return Answer{Why: Ended, End: e.End}
	}
	switch c.Op {
	case OpIntent:
		if len(c.Instance) > MaxName {
			return Answer{Why: Malformed, Text: "an instance's name is too long"}
		}
		for _, in := range e.Intents { // committed before, though nobody heard of it
			if in.Gen == c.Gen && in.Hand == c.Hand && in.N == c.N && in.Instance == c.Instance {
				return Answer{OK: true}
			}
		}
		if len(e.Intents) == maxIntents {
			e.Intents, e.Ran = slices.Delete(e.Intents, 0, 1), true
		}
		e.Intents = append(e.Intents, Intent{Gen: c.Gen, Hand: c.Hand, N: c.N, Instance: c.Instance, Until: c.Until})
		e.Hands = max(e.Hands, c.Hand)
	case OpOver:
		e.Intents = slices.DeleteFunc(e.Intents, func(in Intent) bool { return in.Gen == c.Gen && in.Hand == c.Hand && in.N == c.N })
	case OpEnd:
		if c.Kind != Failed && c.Kind != Refused {
			return Answer{Why: Malformed, Text: "an owner ends what failed or is refused"}
		}
		end := &End{Kind: c.Kind, Reason: c.Reason, At: at}
		if end.Kind == Refused && (len(e.Intents) > 0 || e.Ran) { // not as far as this table knows
			end.Kind, end.Reason = Failed, "an attempt may have run; then: "+end.Reason
		}
		m.end(e, end)
	}
	return Answer{OK: true, Receipt: &e.Receipt}
}

func (e *Entry) answer() Answer {
	if e.End == nil {
		return Answer{OK: true, Why: Open, Receipt: &e.Receipt}
	}
	return Answer{OK: true, Receipt: &e.Receipt, End: e.End}
}

func (m *Machine) promise(index uint64, at time.Duration, c *Command) Answer {
	if c.Job == nil {
		return Answer{Why: Malformed, Text: "without a job"}
	}
	if err := cmp.Or(CheckID(c.ID), c.Job.Check()); err != nil {
		return Answer{Why: Malformed, Text: err.Error()}
	}
	digest := c.Job.digest()
	if e := m.jobs[c.ID]; e != nil {
		if e.Digest != digest {
			return Answer{Why: Another, Text: "the id is another job's"}
		}
		return Answer{OK: true, Receipt: &e.Receipt}
	}
	if dropped, ok := m.gone[c.ID]; c.Seen+Late < index || ok && c.Seen < dropped {
		return Answer{Why: TooLate, Text: "it was under way for too long, or the id was forgotten a moment ago"}
	}
	e := &Entry{Receipt: Receipt{ID: c.ID, Index: index, At: at, Until: at + c.Job.Within}, Job: *c.Job, Digest: digest}
	if len(m.jobs) >= MaxJobs || m.bytes+e.bytes() > MaxBytes {
		return Answer{Why: Full, Text: fmt.Sprintf("the group holds %d promises and %d bytes of them", len(m.jobs), m.bytes)}
	}
	m.jobs[c.ID] = e
	m.open = append(m.open, e)
	m.bytes += e.bytes()
	return Answer{OK: true, Receipt: &e.Receipt}
}

// word takes what an instance tells of an attempt. It is a fact, whoever acts by now.
func (m *Machine) word(at time.Duration, e *Entry, c *Command) Answer {
	if e.End != nil && !m.faulty.EndTwice {
		return Answer{Why: Ended, End: e.End}
	}
	i := slices.IndexFunc(e.Intents, func(in Intent) bool { return in.Hand == c.Hand && in.Instance == c.Instance })
	if i < 0 {
		return Answer{Why: Unknown, Text: "no such attempt was to be sent"}
	}
	switch c.Kind {
	case Done:
		end := &End{Kind: Done, Result: c.Result, By: c.Instance, At: at}
		if len(c.Result) > MaxResult {
			end.Result, end.Reason = nil, fmt.Sprintf("the result, of %d bytes, is longer than what is kept", len(c.Result))
		}
		m.end(e, end)
	case Failed:
		e.Intents[i].Lost = cut(cmp.Or(c.Reason, "it failed"))
	case Refused: // handed back unstarted
		e.Intents = slices.Delete(e.Intents, i, i+1)
	default:
		return Answer{Why: Malformed, Text: "word of no known kind"}
	}
	return Answer{OK: true, Receipt: &e.Receipt}
}

func cut(reason string) string { return reason[:min(len(reason), MaxReason)] }

func (m *Machine) end(e *Entry, end *End) {
	again := e.End != nil
	m.bytes -= e.bytes()
	end.Reason = cut(end.Reason)
	e.End, e.Intents, e.Job.Payload = end, nil, nil
	m.bytes += e.bytes()
	if again {
		return
	}
	heap.Push(&m.ended, e)
	if m.dead++; m.dead > 64 && m.dead > len(m.open)/2 {
		m.open = slices.DeleteFunc(m.open, func(e *Entry) bool { return e.End != nil })
		m.dead = 0
	}
}

// Index is that of the last command.
func (m *Machine) Index() uint64 { return m.index }

// Owner is the generation of whoever acts.
func (m *Machine) Owner() uint64 { return m.owner }

// Entry is a job's line, to be read only; nil: there is none.
func (m *Machine) Entry(id string) *Entry { return m.jobs[id] }

// Open calls f with each job that has no end, by the order of their receipts and from one of these on, until it says
// false.
func (m *Machine) Open(from uint64, f func(*Entry) bool) {
	at, _ := slices.BinarySearchFunc(m.open, from, func(e *Entry, from uint64) int { return cmp.Compare(e.Index, from) })
	for _, e := range m.open[at:] {
		if e.End == nil && !f(e) {
			return
		}
	}
}

// Size is how many jobs are in the table, how many of them have no end, and the bytes of all.
func (m *Machine) Size() (jobs, open, bytes int) { return len(m.jobs), len(m.open) - m.dead, m.bytes }

type state struct {
	V     int      `json:"v"`
	Index uint64   `json:"index"`
	Owner uint64   `json:"owner"`
	Jobs  []*Entry `json:"jobs"` // by index
	Gone  []gone   `json:"gone,omitempty"`
}

// Snapshot is the table as a text.
func (m *Machine) Snapshot() ([]byte, error) {
	s := state{V: Version, Index: m.index, Owner: m.owner, Gone: m.order}
	for _, e := range m.jobs {
		s.Jobs = append(s.Jobs, e)
	}
	slices.SortFunc(s.Jobs, func(a, b *Entry) int { return cmp.Compare(a.Index, b.Index) })
	return json.Marshal(s)
}

// Restore takes the table of a snapshot.
func (m *Machine) Restore(text []byte) error {
	var s state
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("promises: %w", err)
	}
	if s.V != Version {
		return fmt.Errorf("promises: a snapshot of version %d, not %d", s.V, Version)
	}
	fresh := Machine{index: s.Index, owner: s.Owner, jobs: map[string]*Entry{}, gone: map[string]uint64{}, order: s.Gone, faulty: m.faulty}
	for _, g := range s.Gone {
		fresh.gone[g.ID] = g.Index
	}
	for _, e := range s.Jobs {
		fresh.jobs[e.ID] = e
		if fresh.bytes += e.bytes(); e.End == nil {
			fresh.open = append(fresh.open, e)
		} else {
			fresh.ended = append(fresh.ended, e)
		}
	}
	heap.Init(&fresh.ended)
	*m = fresh
	return nil
}

// WireID is what instances know one hand-in of a job by. It differs from hand-in to hand-in, and from promise to promise
// of one id: what an earlier one has left at an instance must not be taken for a later one's.
func WireID(id string, index uint64, hand int) string {
	return id + "~" + strconv.FormatUint(index, 10) + "~" + strconv.Itoa(hand)
}

// ReadWireID takes one apart; false: it is no promised job's.
func ReadWireID(text string) (id string, index uint64, hand int, ok bool) {
	parts := strings.Split(text, "~")
	if len(parts) != 3 || CheckID(parts[0]) != nil {
		return "", 0, 0, false
	}
	index, err := strconv.ParseUint(parts[1], 10, 64)
	if err == nil {
		hand, err = strconv.Atoi(parts[2])
	}
	return parts[0], index, hand, err == nil && hand > 0
}
