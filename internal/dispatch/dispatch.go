// Package dispatch runs commands through the stages submission, admission, decision, sending, relaying and
// counting, each in its own file. It does not implement any protocol: fronts submit commands and receive answers,
// a [Fleet] reaches the instances, and a [Discovery] lists them.
//
// One goroutine, [Loop.Run], owns the decision module and all state. Everything else reaches it as a message,
// and it never waits for the network.
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

// Command is one request of a client.
type Command struct {
	ID            string        `json:"ID"` // correlation ID, unique among the pending commands
	Class         string        `json:"Class"`
	Tenant        string        `json:"Tenant"`
	Key           uint64        `json:"Key"`  // 0: none
	Work          time.Duration `json:"Work"` // expected; 0: unknown
	Slots         float64       `json:"Slots"`
	Memory        float64       `json:"Memory"`
	Retry         bool          `json:"Repeat"`
	Candidates    []string      `json:"Order"`    // the only instances it may be sent to, in order of preference; nil: any that its class allows
	Reserved      bool          `json:"Held"`     // instance slots are reserved for it
	UntilDeadline bool          `json:"Patient"`  // its client waits for the result until the deadline, however late
	Deadline      time.Time     `json:"Deadline"` // when the client stops waiting
	Payload       any           `json:"-"`        // what the fleet needs to send it
	Client        Client        `json:"-"`
	Gate          Gate          `json:"-"` // nil: attempts are sent without waiting; otherwise the command stays with this process

	clientGone atomic.Bool               // the client has disconnected; no further attempt may begin
	sendBefore atomic.Pointer[time.Time] // no attempt may be sent later, since instances drop repeats only until then; nil: no limit
}

// encodableCopy returns a copy of the command's data without clientGone, which other goroutines set and which is
// meaningful in this process only.
func (c *Command) encodableCopy() Command {
	return Command{
		ID: c.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key, Work: c.Work, Slots: c.Slots, Memory: c.Memory, Retry: c.Retry,
		Candidates: c.Candidates, Reserved: c.Reserved, UntilDeadline: c.UntilDeadline, Deadline: c.Deadline, Payload: c.Payload, Client: c.Client, Gate: c.Gate,
	}
}

// Client receives a command's answer.
type Client interface {
	// Answer receives the one final answer. It must not block.
	Answer(Answer)
	// HandOver reports that another process will answer and needs the connection to the client. If
	// commandTransferred is false, that process has not received the command and needs it as well. It must not block.
	HandOver(commandTransferred bool)
}

// StartObserver is a client that is also notified when an instance has accepted the command, and when it starts to run
// if instances report that.
type StartObserver interface {
	// Started is called from the loop, possibly once per attempt. It must not block.
	Started(instance string, runs bool)
}

// DisconnectChecker is a client whose connection can be checked: it may have closed before anybody has called ClientGone.
type DisconnectChecker interface {
	// Disconnected may be called from any goroutine and must not block.
	Disconnected() bool
}

// checkClientGone reports whether the command's client has disconnected. It checks the connection if that is
// possible.
func (c *Command) checkClientGone() bool {
	if c.clientGone.Load() {
		return true
	}
	w, ok := c.Client.(DisconnectChecker)
	if !ok || !w.Disconnected() {
		return false
	}
	c.clientGone.Store(true)
	return true
}

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts.
const (
	Served   Verdict = iota
	Refused          // a retry is harmless
	Failed           // it may or may not have run
	Unusable         // no instance can execute the command as submitted, and none has
	numVerdicts
)

// Answer is a command's final answer.
type Answer struct {
	Verdict    Verdict
	Result     []byte        // of a served command: the instance's result
	RetryAfter time.Duration // of a refusal; 0: no advice
	Value      any           // of a served command whose result is not text
	Instance   string        // that served the command
}

// Attempt is one sending of a command to an instance.
type Attempt struct {
	Command   *Command
	Instance  string
	Index     int // index among the command's attempts, from 0
	Deadline  time.Time
	MaxIdle   time.Duration // longest permitted idle time of a reused connection; 0: no limit
	NewConn   bool          // must use a new connection
	Settled   bool          // must not use a connection on which a late response to its last request may still come
	SendUntil time.Time     // the end of its lease; zero: not bound by a lease

	// Private to the loop.
	request           uint32
	deadlineTimer     timing.Timer
	ended             bool
	accepted          bool          // by the instance
	sentByOlder       bool          // sent by an older process, which reports its outcome
	reportedRunning   bool          // the instance has reported its start or its progress
	lateReports       lateReports   // once it has ended
	returnedOn        uint64        // the connection on which the instance returned it; 0: not known
	connIdle          time.Duration // as the fleet reported with the outcome
	report            *decide.Report
	gateState         gateState
	neverRan          bool        // it has ended without having run
	gateReportDue     bool        // cancelled or abandoned after passing its gate: NeverRan must still be called if the fleet reports that it did not run
	permitted         func() bool // nil: it did not wait at a gate
	cancelUnconfirmed atomic.Bool // cancelled, but the instance has not confirmed that yet
	obsolete          atomic.Bool // its command needs no answer any more
}

// CancelConfirmed reports that the instance has processed the cancellation of the attempt, or never will.
func (a *Attempt) CancelConfirmed() { a.cancelUnconfirmed.Store(false) }

// Fleet is the connection to the instances. Its methods must not block; results are reported through methods of
// Loop.
type Fleet interface {
	// Send starts an attempt.
	Send(*Attempt)
	// Cancel cancels an outstanding attempt. The instance is notified if it may have received it. The fleet calls
	// CancelConfirmed when that is done.
	Cancel(*Attempt)
	// Probe checks an instance's health.
	Probe(instance string)
	// CloseIdle closes the idle connections to an instance.
	CloseIdle(instance string)
}

// SendBefore returns the time before which an attempt must have been sent completely: the end of its lease, or of the
// time in which instances drop repeats of its command. The latter may be set or changed while the attempt waits.
// Zero: no limit.
func (a *Attempt) SendBefore() time.Time {
	limit := a.Command.sendBefore.Load()
	if limit == nil || !a.SendUntil.IsZero() && a.SendUntil.Before(*limit) {
		return a.SendUntil
	}
	return *limit
}

// Expired reports whether an attempt must no longer be sent: its command has been answered (which may happen
// while the attempt waits for a connection, even where cancellation is disabled), its client has disconnected,
// or the time before which it must be sent is over. A client counts as disconnected as soon as ClientGone is called or its
// connection is seen to be closed, however far the loop is behind. The sender calls this as late as possible,
// since the process may have been stopped for a while.
func (a *Attempt) Expired(now time.Time) bool {
	limit := a.SendBefore()
	return a.obsolete.Load() || !limit.IsZero() && !now.Before(limit) || a.permitted != nil && !a.permitted() || a.Command.checkClientGone()
}

// Begin must be called before the first byte of an attempt is sent, and before the last check of Expired. If it
// returns false, the attempt must not be sent.
func (a *Attempt) Begin() bool { return a.Command.Gate == nil || a.Command.Gate.Begin(a) }

// Discovery is the source of the instance list. After Subscribe it reports through Loop.UpdateInstances and
// Loop.DiscoveryFailed.
type Discovery interface{ Subscribe() }

// Loop owns the decision module.
type Loop struct {
	mod             *decide.Dispatcher
	settings        decide.Settings
	allNames        wire.Names // all names that have a number
	configuredNames wire.Names // the subset that is in the current settings
	fleet           Fleet
	discovery       Discovery
	otherProcess    OtherProcess
	log             *slog.Logger
	inbox           chan message
	events          []decide.Event // of the current batch

	byID       map[string]*pendingCommand // pending commands by correlation ID
	takenOver  sync.Map                   // the subset that was taken over from another process, as *Command; read by any goroutine
	byRequest  map[uint32]*pendingCommand // pending commands by the decision module's request ID
	departed   departedIDs
	lastID     uint32
	handedOver bool // to a newer process

	instanceIDs map[uint32]string // by the decision module's worker ID
	workerIDs   map[string]uint32
	timers      timing.Queue
	leaser      Leaser // nil: leases are not used
	leases      map[uint64]Lease
	leaseID     uint64
	onUnmatched func(Callback) bool // nil: no handler for unmatched callbacks
	persist     func(Callback) bool // nil: callbacks are not persisted
	timerLag    timerLagLog
	Counters    Counters
}

// pendingCommand is a command that is unanswered or has outstanding attempts.
type pendingCommand struct {
	*Command
	class       int
	definition  decide.Class // of its class, as it was when the command was received
	request     uint32
	attempts    []*Attempt
	outstanding int
	answered    bool
}

// message is a call to be run by the loop.
type message func(*Loop)

// inboxSize is the number of messages that may be queued before senders block.
const inboxSize = 8192

// New returns a loop without any commands.
func New(s decide.Settings, n wire.Names, fleet Fleet, discovery Discovery, otherProcess OtherProcess, logger *slog.Logger) (*Loop, error) {
	l := &Loop{
		fleet: fleet, discovery: discovery, otherProcess: otherProcess, log: logger, inbox: make(chan message, inboxSize),
		byID: map[string]*pendingCommand{}, byRequest: map[uint32]*pendingCommand{}, instanceIDs: map[uint32]string{}, workerIDs: map[string]uint32{},
		timerLag: timerLagLog{log: logger},
	}
	s, all := l.mapSettings(s, n)
	mod, err := decide.New(s)
	if err != nil {
		return nil, err
	}
	l.mod, l.settings, l.allNames, l.configuredNames = mod, s, all.Names, n
	l.Counters.addClasses(n.Classes)
	return l, nil
}

// Pending returns the number of commands that have been received and not yet answered.
func (l *Loop) Pending() int64 { return l.Counters.pending.Load() }

// Run serves until the context ends.
func (l *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	l.sampleFleet()
	for {
		timer.Reset(l.timers.Wait(time.Now()))
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			m(l)
		case <-timer.C:
		}
		l.runBatch()
	}
}

// runBatch collects the messages that have arrived and the timers that are due, and has the module decide on all
// of them at once: an outcome that arrives together with a timer must be considered with it. Messages that
// arrive meanwhile wait for the next batch.
func (l *Loop) runBatch() {
	for range len(l.inbox) {
		m := <-l.inbox
		m(l)
	}
	l.timers.Fire(time.Now())
	for len(l.events) > 0 { // actions that end immediately, such as a send that is not made, produce further events
		l.handleEvents()
	}
}

// queueEvent queues an event for the decision module.
func (l *Loop) queueEvent(e decide.Event) { l.events = append(l.events, e) }

// post sends the loop a message.
func (l *Loop) post(m message) { l.inbox <- m }
