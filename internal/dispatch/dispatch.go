// Package dispatch carries commands through their stages: take in, admit, route, send,
// relay and book, each in a file of its own. It knows no protocol: fronts hand commands
// in and take answers, a [Fleet] reaches instances, a [NameTable] tells which there are.
//
// One goroutine, [Loop.Run], owns the decision module and all books. Everything else
// reaches it as a message, and it never waits for a peer.
package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/timing"
	"caperrelay/internal/wire"
)

// Command is one request of a service client.
type Command struct {
	ID       string        `json:"ID"` // correlation id, unique among the commands in hand
	Class    string        `json:"Class"`
	Tenant   string        `json:"Tenant"`
	Key      uint64        `json:"Key"`  // 0: none
	Work     time.Duration `json:"Work"` // expected, 0: not told
	Slots    float64       `json:"Slots"`
	Memory   float64       `json:"Memory"`
	Repeat   bool          `json:"Repeat"`
	Order    []string      `json:"Order"`    // the only instances that it may go to, the first before the next; nil: as its class says
	Held     bool          `json:"Held"`     // it is what slots are held for
	Patient  bool          `json:"Patient"`  // its client waits for its end until the deadline, however late
	Deadline time.Time     `json:"Deadline"` // when the service client stops waiting
	Payload  any           `json:"-"`        // what the instances' side needs to send it
	Client   Client        `json:"-"`
	Gate     Gate          `json:"-"` // nil: its attempts wait for nothing; else it stays with this process

	left atomic.Bool // its client has gone: no attempt of it begins any more
}

// fields is a copy of what a command says. It leaves out the mark of its client's leaving, which is set by other goroutines
// and stays with this process.
func (c *Command) fields() Command {
	return Command{
		ID: c.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key, Work: c.Work, Slots: c.Slots, Memory: c.Memory, Repeat: c.Repeat,
		Order: c.Order, Held: c.Held, Patient: c.Patient, Deadline: c.Deadline, Payload: c.Payload, Client: c.Client, Gate: c.Gate,
	}
}

// Client is who waits for a command's answer.
type Client interface {
	// Answer takes the one final answer. It must not block.
	Answer(Answer)
	// Pass says that the answer will be another process's, which needs the way to the client, and
	// unless it has been handed the command, that too. It must not block.
	Pass(handed bool)
}

// Starter is a client that is told, too, that an instance has taken the command, and that it runs it where instances tell.
type Starter interface {
	// Started is called from the loop, perhaps for each attempt. It must not block.
	Started(instance string, runs bool)
}

// Watched is a client whose connection can be looked at: it may have gone though nobody has come to calling Lapse yet.
type Watched interface {
	// Gone may be called from any goroutine, and must not block.
	Gone() bool
}

// gone tells whether a command's client has gone, by what is known here and by a look at it where it can be looked at.
func (c *Command) gone() bool {
	if c.left.Load() {
		return true
	}
	w, ok := c.Client.(Watched)
	if !ok || !w.Gone() {
		return false
	}
	c.left.Store(true)
	return true
}

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts.
const (
	Served   Verdict = iota
	Refused          // refused: trying again is harmless
	Failed           // promises nothing
	Unusable         // no instance can do it as it stands, and none has
	numVerdicts
)

// Answer is a command's final answer.
type Answer struct {
	Verdict    Verdict
	Result     []byte        // of a served command: what the instance gave for it
	RetryAfter time.Duration // of a refusal: 0 is no advice
	Value      any           // of a served command, where its result is no text
	Instance   string        // that served it
}

// Attempt is one sending of a command to an instance.
type Attempt struct {
	Command  *Command
	Instance string
	N        int // the command's attempts count from 0
	Deadline time.Time
	MostIdle time.Duration // a connection idle for longer is not to be used; 0: any may be
	Fresh    bool          // only a new one is to be used
	Until    time.Time     // not to be sent after; zero: it goes by no lease

	// The loop's own.
	request   uint32
	deadline  timing.Timer
	over      bool
	taken     bool          // by the instance
	elsewhere bool          // sent by an older process, which tells what becomes of it
	kept      time.Duration // as the fleet told with its end
	report    *decide.Report
	gate      gated
	never     bool        // it is over, and has not run
	left      bool        // it was abandoned or given up once it had passed its gate, which is still told if it has not run
	may       func() bool // nil: it waited at no gate
	leaving   atomic.Bool // given up, and the instance has not confirmed it yet
	vain      atomic.Bool // its command is owed nothing more
}

// Confirmed says that the instance knows the attempt as given up, or never will.
func (a *Attempt) Confirmed() { a.leaving.Store(false) }

// Fleet is the way to the instances. Its methods must not block; what comes of them
// is told by the Loop's methods.
type Fleet interface {
	// Send starts an attempt.
	Send(*Attempt)
	// GiveUp ends an attempt that is out: the instance is told as far as it may have it.
	// The fleet calls Confirmed once that is done.
	GiveUp(*Attempt)
	// Probe checks an instance.
	Probe(instance string)
	// Release closes the idle connections to an instance.
	Release(instance string)
}

// Expired tells whether an attempt is not to be sent any more: its command is answered or its client has gone, be it while it
// waited for a connection and nothing is called off, or the lease that it goes by has ended. A client has gone as soon as Lapse
// is called, however far behind the loop is, and as soon as its connection shows it. Whoever sends looks as late as possible: the process may have been stopped for a
// while.
func (a *Attempt) Expired(now time.Time) bool {
	return a.vain.Load() || !a.Until.IsZero() && !now.Before(a.Until) || a.may != nil && !a.may() || a.Command.gone()
}

// Begin must be called before an attempt's first byte goes out, and before the last look at whether it has Expired; false: it
// must not be sent.
func (a *Attempt) Begin() bool { return a.Command.Gate == nil || a.Command.Gate.Begin(a) }

// NameTable tells of the instances, after Subscribe, by Loop.Listed and Loop.ListLost.
type NameTable interface{ Subscribe() }

// Loop is the owner of the decision module.
type Loop struct {
	mod      *decide.Dispatcher
	settings decide.Settings
	names    wire.Names // all that are numbered
	own      wire.Names // of those, the ones that the settings have
	fleet    Fleet
	table    NameTable
	other    Other
	log      *slog.Logger
	in       chan message
	events   []decide.Event // of the batch at hand

	ids      map[string]*held // commands in hand by correlation id
	relieved sync.Map         // and those of them that another process had in hand, each a *Command, for any goroutine
	requests map[uint32]*held // and by the module's
	lastID   uint32
	yielded  bool // to a newer process

	workers map[uint32]string // instance ids by the module's
	numbers map[string]uint32
	timers  timing.Queue
	leaser  Leaser // nil: nobody leases
	leases  map[uint64]Lease
	leaseID uint64
	strays  func(News) bool // nil: nobody asks for them
	keeper  func(News) bool // nil: nobody keeps what instances tell
	late    lateness
	Books   Books
}

// held is a command in hand: until it is answered and its attempts have ended.
type held struct {
	*Command
	class    int
	request  uint32
	attempts []*Attempt
	out      int
	answered bool
}

// message is something that the loop is told.
type message func(*Loop)

// inbox is how many messages may wait before senders have to.
const inbox = 8192

// New returns a loop for a dispatcher that holds nothing.
func New(s decide.Settings, n wire.Names, fleet Fleet, table NameTable, other Other, logger *slog.Logger) (*Loop, error) {
	l := &Loop{
		fleet: fleet, table: table, other: other, log: logger, in: make(chan message, inbox),
		ids: map[string]*held{}, requests: map[uint32]*held{}, workers: map[uint32]string{}, numbers: map[string]uint32{},
		late: lateness{log: logger},
	}
	s, all := l.fit(s, n)
	mod, err := decide.New(s)
	if err != nil {
		return nil, err
	}
	l.mod, l.settings, l.names, l.own = mod, s, all.Names, n
	l.Books.open(n.Classes)
	return l, nil
}

// Holding is how many commands are taken and not answered.
func (l *Loop) Holding() int64 { return l.Books.holding.Load() }

// Run serves until the context ends.
func (l *Loop) Run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	l.notes()
	for {
		alarm.Reset(l.timers.Wait(time.Now()))
		select {
		case <-ctx.Done():
			return
		case m := <-l.in:
			m(l)
		case <-alarm.C:
		}
		l.batch()
	}
}

// batch takes what else has come by now and is due, and has the module decide on all of it at
// one time: an outcome that came with a timer must be seen with it. What comes meanwhile is for the next.
func (l *Loop) batch() {
	for range len(l.in) {
		m := <-l.in
		m(l)
	}
	l.timers.Fire(time.Now())
	for len(l.events) > 0 { // what ends at once, such as a send that is not made, is news too
		l.route()
	}
}

// tell queues an event for the module.
func (l *Loop) tell(e decide.Event) { l.events = append(l.events, e) }

// post hands the loop a message.
func (l *Loop) post(m message) { l.in <- m }
