package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/listclock"
	"caperrelay/internal/net/http1"
)

const (
	maxListBytes = 4 << 20               // bytes of one list
	maxReportedEntries  = 4                     // faulty entries of one list that are told of, one by one
	callSpacing      = 20 * time.Millisecond // a dispatcher, at which the fleet's calls for one cause are spread; as in decide
	timerSlack     = 10 * time.Millisecond // by which a timer may be early
)

// ErrNobody says that a call has reached nobody: it has cost the service nothing.
var ErrNobody = errors.New("nobody reached")

// OlderListError says that a list is older than one before it on the same watch.
type OlderListError struct{ Revision, Last int64 }

func (e *OlderListError) Error() string {
	return fmt.Sprintf("list: revision %d behind %d on one watch", e.Revision, e.Last)
}

// Sink takes what discovery tells. Its calls come from one goroutine and in order.
type Sink interface {
	// Listed takes a list as it was read.
	Listed(dispatch.InstanceUpdate)
	// Alive: the watch is on, and nothing has changed.
	Alive()
	// Silent: the watch, or the call for one, has fallen silent, for the nth time in a row from 1, and is made anew
	// right now.
	Silent(n int, err error)
	// Lost: the watch, or the call for one, has failed, so long after the call was made. The list stays as it was.
	Lost(err error, after time.Duration)
	// Faulty: an entry of a list, or a list, is passed over. The watch goes on.
	Faulty(error)
}

// Watcher keeps a watch on the changes of discovery's list. When it calls goes by its [listclock.Clock], and by Subscribe.
type Watcher struct {
	start  time.Time // of the clock
	subscribed chan struct{}
	clockChanged chan struct{} // the clock tells another time than before
	dial   func(ctx context.Context, address string, by time.Time) (net.Conn, error)

	mu       sync.Mutex
	clock    *listclock.Clock
	address  string
	revision int64
	callStarted   time.Duration         // when the last call was made
	instances    dispatch.InstanceList // as told, of the watch's goroutine
	cancelWatch    context.CancelFunc    // ends the watch that is on
	paused   bool                  // the watch that is on was ended by Rest
	answered bool                  // the call for it succeeded
}

// NewWatcher watches from the given revision on, as the settings say.
func NewWatcher(address string, revision int64, s decide.Settings) *Watcher {
	return &Watcher{
		address: address, revision: revision, start: time.Now(), subscribed: make(chan struct{}, 1), clockChanged: make(chan struct{}, 1),
		cancelWatch: func() {}, clock: listclock.New(clockSettings(s), 0), dial: dial,
	}
}

func dial(ctx context.Context, address string, by time.Time) (net.Conn, error) {
	return (&net.Dialer{Deadline: by}).DialContext(ctx, "tcp", address)
}

// From has the first watch be at an address, from a revision on. It must come before Run.
func (w *Watcher) From(address string, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.revision = address, revision
}

// Retune has other settings count from now on.
func (w *Watcher) Retune(s decide.Settings) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock.UpdateSettings(clockSettings(s))
	signal(w.clockChanged)
}

// clockSettings is what the settings say of the list. A pushed one comes by an agent on this machine, which has been sent it;
// else by a service that many call.
func clockSettings(s decide.Settings) listclock.Settings {
	t := listclock.Settings{Mode: listclock.Watched, MaxAge: s.Rules.MustAskIn, DrainGrace: s.Rules.DrainGrace, Spread: time.Duration(s.DispatcherCount) * callSpacing}
	if s.ListPushed {
		t.Mode = listclock.Pushed
	}
	return t
}

func (w *Watcher) now() time.Duration { return time.Since(w.start) }

// sinceCall is how long ago the last call was made.
func (w *Watcher) sinceCall() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now() - w.callStarted
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Subscribe asks for a watch. It never blocks; while one is on, it does nothing.
func (w *Watcher) Subscribe() { signal(w.subscribed) }

// Move has the name table at another address from now on. The watch there begins with the whole table: revisions told
// by another peer say nothing of what this one has told. Until the clock has it begin, the watch that is on stays.
func (w *Watcher) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.revision = address, 0
	w.clock.AddressChanged(w.now())
	signal(w.clockChanged)
	if ask, ok := w.clock.NextCall(); ok {
		time.AfterFunc(ask-w.now(), w.leaveOldAddress)
	}
}

// Moving tells whether what is told still comes from an address that the name table has left.
func (w *Watcher) Moving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.AddressChangePending()
}

// leaveOldAddress ends the watch at an address that the name table has left.
func (w *Watcher) leaveOldAddress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock.AddressChangePending() {
		w.cancelWatch()
	}
}

// Rest ends the watch that is on, and what is asked for: others tell of changes. The next Subscribe begins one again.
func (w *Watcher) Rest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clearSubscription()
	w.clock.Pause(w.now())
	w.paused = true
	w.cancelWatch()
}

// clearSubscription drops what was asked for.
func (w *Watcher) clearSubscription() {
	select {
	case <-w.subscribed:
	default:
	}
}

// Run serves subscriptions until the context ends. When to ask again after a loss is the decision of whoever
// subscribes, and at the latest the clock's; after silence, and after a move, it is the clock's alone.
func (w *Watcher) Run(ctx context.Context, sink Sink) {
	silent := 0 // calls and watches in a row
	for again := false; again || w.wait(ctx); {
		on, leave := context.WithCancel(ctx)
		address, revision, ok := w.startCall(leave, again)
		if again = false; !ok {
			leave()
			continue
		}
		err := w.watch(on, sink, address, revision)
		leave()
		if ctx.Err() != nil {
			return
		}
		how, answered := w.watchEnded(err)
		if answered {
			silent = 0
		}
		switch again = how == endSilent || how == endMoved; how {
		case endSilent:
			silent++
			sink.Silent(silent, err)
		case endLost:
			sink.Lost(err, w.sinceCall())
		}
	}
}

// wait waits until a watch is wanted, or the clock says so; false: the context has ended.
func (w *Watcher) wait(ctx context.Context) bool {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		w.mu.Lock()
		ask, goes := w.clock.NextCall()
		w.mu.Unlock()
		if alarm.Stop(); goes {
			alarm.Reset(ask - w.now())
		}
		select {
		case <-ctx.Done():
			return false
		case <-w.subscribed:
			return true
		case <-w.clockChanged:
		case <-alarm.C:
			return true
		}
	}
}

// startCall tells the clock of a call, and says where; false: it is not to be made, since others tell of changes meanwhile.
func (w *Watcher) startCall(leave context.CancelFunc, again bool) (address string, revision int64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if again && w.paused {
		return "", 0, false
	}
	w.callStarted = w.now()
	w.clock.CallStarted(w.callStarted, 0, rand.Float64())
	w.cancelWatch, w.paused, w.answered = leave, false, false
	return w.address, w.revision, true
}

// watchEnd is how a watch ended.
type watchEnd int

const (
	endLost  watchEnd = iota // and others say when to ask again
	endSilent                // it fell silent: it is opened anew now
	endMoved                // for another address, now
	endMovePending               // its address was left anyway, and the clock says when to call the other
)

// watchEnded takes the end of a watch.
func (w *Watcher) watchEnded(err error) (how watchEnd, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused { // what was asked for since then stands
		return endLost, w.answered
	}
	w.clearSubscription() // what was asked for while the watch was on is answered with it
	ask, goes := w.clock.NextCall()
	due, moving := goes && w.now() > ask-timerSlack, w.clock.AddressChangePending()
	var timeout net.Error
	switch {
	case due && moving:
		return endMoved, w.answered
	case due && errors.As(err, &timeout) && timeout.Timeout():
		return endSilent, w.answered
	}
	if w.clock.CallEnded(w.now()); moving {
		return endMovePending, w.answered
	}
	return endLost, w.answered
}

// listReceived keeps the revision from which a later watch goes on.
func (w *Watcher) listReceived(revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock.ListReceived(w.now()); !w.clock.AddressChangePending() {
		w.revision = revision
	}
}

// listIgnored tells the clock that what came was no news.
func (w *Watcher) listIgnored() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock.ListIgnored(w.now())
}

// heartbeat tells the clock that nothing has changed.
func (w *Watcher) heartbeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock.Heartbeat(w.now())
}

// silenceDeadline is when what is open has been silent for too long.
func (w *Watcher) silenceDeadline() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	ask, _ := w.clock.NextCall()
	return w.start.Add(ask)
}

func (w *Watcher) watch(ctx context.Context, sink Sink, address string, revision int64) error {
	conn, err := w.dial(ctx, address, w.silenceDeadline())
	if localShortage(err) {
		return fmt.Errorf("no descriptor for a call: %w", err)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNobody, err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := conn.SetWriteDeadline(w.silenceDeadline()); err != nil {
		return err
	}
	target := "/catalog/members?stream=1&index=" + strconv.FormatInt(revision, 10)
	ask := http1.AppendRequest(nil, "GET", target, http1.Header{{Name: "Host", Value: address}}, nil)
	if _, err := conn.Write(ask); err != nil {
		return err
	}
	br := bufio.NewReaderSize(monitoredConn{conn, w}, http1.MaxLine)
	p, body, err := http1.ReadStream(br)
	if err != nil {
		return err
	}
	if p.Status != 200 {
		return fmt.Errorf("discovery answered %d", p.Status)
	}
	w.mu.Lock()
	w.answered = true
	w.mu.Unlock()
	return w.readLists(sink, body)
}

// localShortage tells whether this machine or process had too little for a call: that says nothing of whom it was for.
func localShortage(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// readLists reads lists until the watch ends. Each is a JSON value, on one line or on many.
func (w *Watcher) readLists(sink Sink, body io.Reader) error {
	in := &listReader{in: body, w: w, sink: sink, empty: true}
	last := int64(math.MinInt64)
	for values := json.NewDecoder(in); ; {
		var text json.RawMessage
		if err := values.Decode(&text); errors.Is(err, io.EOF) {
			return errors.New("the watch ended")
		} else if err != nil {
			return err
		}
		l, faulty, err := readList(text)
		if err != nil {
			return err
		}
		rest, err := io.ReadAll(values.Buffered())
		if err != nil {
			return err
		}
		if l.Revision < last {
			w.listIgnored()
			in.listEnded(rest)
			sink.Faulty(&OlderListError{Revision: l.Revision, Last: last})
			continue
		}
		last = l.Revision
		w.listReceived(last)
		in.listEnded(rest)
		reportFaulty(sink, faulty)
		l = keepUnreadable(l, faulty, w.instances.Instances())
		w.instances.Update(l)
		sink.Listed(l)
	}
}

// reportFaulty tells of the entries of a list that are passed over, the first ones one by one.
func reportFaulty(sink Sink, faulty []*EntryError) {
	for _, f := range faulty[:min(len(faulty), maxReportedEntries)] {
		sink.Faulty(f)
	}
	if more := len(faulty) - maxReportedEntries; more > 0 {
		sink.Faulty(fmt.Errorf("list: %d more members that cannot be read", more))
	}
}

// monitoredConn tells the clock of each sign of life on a connection, and goes by its patience.
type monitoredConn struct {
	net.Conn
	w *Watcher
}

func (s monitoredConn) Read(p []byte) (int, error) {
	// Guards against a watch that has gone silent with its machine: a lost line would otherwise leave draining
	// instances in use.
	if err := s.SetReadDeadline(s.w.silenceDeadline()); err != nil {
		return 0, err
	}
	n, err := s.Conn.Read(p)
	if n > 0 {
		s.w.mu.Lock()
		s.w.clock.DataReceived(s.w.now())
		s.w.mu.Unlock()
	}
	return n, err
}

// listReader passes a watch's body on without what stands between lists, and tells the empty lines there, which are the
// beat of the watch. Blanks inside a list, or on the line that it ends on, are none.
type listReader struct {
	in    io.Reader
	w     *Watcher
	sink  Sink
	size  int  // of the list that has begun; 0: none has
	empty bool // nothing has come on the line that is being read
}

func (o *listReader) Read(p []byte) (int, error) {
	for {
		n, err := o.in.Read(p)
		text := o.filter(p[:n])
		if o.size > maxListBytes {
			return 0, fmt.Errorf("a list of over %d bytes", maxListBytes)
		}
		if len(text) > 0 || err != nil {
			return copy(p, text), err
		}
	}
}

// listEnded says that a list is whole, and what came with it of the next.
func (o *listReader) listEnded(rest []byte) {
	o.size, o.empty = 0, false
	o.filter(rest)
}

// filter returns what is not between lists.
func (o *listReader) filter(text []byte) []byte {
	if o.size > 0 {
		o.size += len(text)
		return text
	}
	text, beats := o.skipBetween(text)
	if beats {
		o.w.heartbeat()
		o.sink.Alive()
	}
	if len(text) > 0 {
		o.w.mu.Lock()
		o.w.clock.ListStarted(o.w.now())
		o.w.mu.Unlock()
	}
	o.size = len(text)
	return text
}

// skipBetween returns the text from the next list on, and whether an empty line stands before it.
func (o *listReader) skipBetween(text []byte) (rest []byte, beats bool) {
	for i, c := range text {
		switch c {
		case '\n':
			beats = beats || o.empty
			o.empty = true
		case ' ', '\t', '\r':
		default:
			return text[i:], beats
		}
	}
	return nil, beats
}
