package nametable

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
)

// The patience with discovery. It is one service for all dispatchers: a call may wait in
// its queue, but a watch says something every 2 s, if only an empty line.
const (
	answerPatience = 5 * time.Second
	agentPatience  = time.Second             // with an agent on this machine, which answers at once or is down
	quietest       = 3200 * time.Millisecond // what is told counts as told after 6 s, heard or not
	jitter         = 400 * time.Millisecond  // of the first call after a move
	maxObject      = 4 << 20                 // one line of a watch
)

// ErrNobody says that a call has reached nobody: it has cost the service nothing.
var ErrNobody = errors.New("nobody reached")

// Sink takes what discovery tells. Its calls come from one goroutine and in order.
type Sink interface {
	// Listed takes a list as it was read.
	Listed(dispatch.List)
	// Alive: the watch is on, and nothing has changed.
	Alive()
	// Lost: the watch, or the call for one, has failed. The table stays as it was.
	Lost(error)
}

// Watcher keeps a watch on the name table's changes.
type Watcher struct {
	silence time.Duration // after which a watch counts as lost
	wanted  chan struct{}

	mu       sync.Mutex
	address  string
	revision int64
	leave    context.CancelFunc // ends the watch that is on
	moved    bool               // since that watch began
	patience time.Duration      // with a call's answer
}

// NewWatcher watches from the given revision on.
func NewWatcher(address string, revision int64) *Watcher {
	return &Watcher{
		address: address, revision: revision, silence: quietest, wanted: make(chan struct{}, 1), leave: func() {},
		patience: answerPatience,
	}
}

// From has the first watch be at an address, from a revision on. It must come before Run.
func (w *Watcher) From(address string, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.revision = address, revision
}

// AtAgent says whether the name table's peer is an agent on this machine, which has been sent the table, and
// no service that many call.
func (w *Watcher) AtAgent(yes bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.patience = answerPatience; yes {
		w.patience = agentPatience
	}
}

// Subscribe asks for a watch. It never blocks; while one is on, it does nothing.
func (w *Watcher) Subscribe() {
	select {
	case w.wanted <- struct{}{}:
	default:
	}
}

// Move has the name table at another address from now on. The watch there begins with the
// whole table: revisions told by another peer say nothing of what this one has told.
func (w *Watcher) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.revision, w.moved = address, 0, true
	w.leave()
	w.Subscribe()
}

// Rest ends the watch that is on, and what is asked for: others tell of changes. The next Subscribe begins one again.
func (w *Watcher) Rest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.wanted:
	default:
	}
	w.leave()
}

// Run serves subscriptions until the context ends. When to ask again after a loss is
// the decision of whoever subscribes.
func (w *Watcher) Run(ctx context.Context, sink Sink) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wanted:
		}
		on, leave := context.WithCancel(ctx)
		w.mu.Lock()
		address, revision, moved, patience := w.address, w.revision, w.moved, w.patience
		w.leave, w.moved = leave, false
		w.mu.Unlock()
		if moved { // all dispatchers are told at once; discovery works through calls in turn
			select {
			case <-on.Done():
			case <-time.After(rand.N(jitter)):
			}
		}
		err := w.watch(on, sink, address, revision, time.Now().Add(patience))
		leave()
		if ctx.Err() != nil {
			return
		}
		w.mu.Lock()
		moved = w.moved
		if !moved {
			select { // what was asked for while this watch was on is answered with it
			case <-w.wanted:
			default:
			}
		}
		w.mu.Unlock()
		if !moved { // else it was not lost: the next is wanted already
			sink.Lost(err)
		}
	}
}

// told keeps the revision from which a later watch goes on; false: the table has moved.
func (w *Watcher) told(revision int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.moved {
		w.revision = revision
	}
	return !w.moved
}

func (w *Watcher) watch(ctx context.Context, sink Sink, address string, revision int64, answered time.Time) error {
	dialer := net.Dialer{Deadline: answered}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNobody, err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := conn.SetDeadline(answered); err != nil {
		return err
	}
	target := "/catalog/members?stream=1&index=" + strconv.FormatInt(revision, 10)
	ask := http1.AppendRequest(nil, "GET", target, http1.Header{{Name: "Host", Value: address}}, nil)
	if _, err := conn.Write(ask); err != nil {
		return err
	}
	br := bufio.NewReaderSize(conn, http1.MaxLine)
	p, body, err := http1.ReadStream(br)
	if err != nil {
		return err
	}
	if p.Status != 200 {
		return fmt.Errorf("discovery answered %d", p.Status)
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 16<<10), maxObject)
	for {
		// Guards against a watch that has gone silent with its machine: a lost line would
		// otherwise leave draining instances in use.
		if err := conn.SetReadDeadline(time.Now().Add(w.silence)); err != nil {
			return err
		}
		if !lines.Scan() {
			if lines.Err() != nil {
				return lines.Err()
			}
			return errors.New("the watch ended")
		}
		if len(lines.Bytes()) == 0 {
			sink.Alive()
			continue
		}
		l, err := ParseList(lines.Bytes())
		if err != nil {
			return err
		}
		if !w.told(l.Revision) {
			return errors.New("the name table has moved")
		}
		sink.Listed(l)
	}
}
