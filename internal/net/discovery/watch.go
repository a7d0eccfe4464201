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
	maxListBytes       = 4 << 20               // size limit of one list
	maxReportedEntries = 4                     // invalid entries of one list that are reported one by one
	callSpacing        = 20 * time.Millisecond // per dispatcher: interval over which the fleet's calls for the same cause are spread
	timerSlack         = 10 * time.Millisecond // a timer may fire this much early
)

// ErrUnreachable reports that a call did not reach discovery, so it caused no load there.
var ErrUnreachable = errors.New("discovery not reached")

// OlderListError reports that a list has a lower revision than an earlier one on the same watch.
type OlderListError struct{ Revision, Last int64 }

func (e *OlderListError) Error() string {
	return fmt.Sprintf("list: revision %d is older than revision %d received on the same watch", e.Revision, e.Last)
}

// Sink receives what discovery reports. Its methods are called from one goroutine, in order.
type Sink interface {
	// ListReceived receives a list as it was read.
	ListReceived(dispatch.InstanceUpdate)
	// Heartbeat reports that the watch is active and nothing has changed.
	Heartbeat()
	// WatchSilent reports that the watch, or the call that opens it, has timed out, for the nth time in a row from 1. It
	// is reopened immediately.
	WatchSilent(n int, err error)
	// WatchLost reports that the watch, or the call that opens it, has failed, and how long after the call started. The
	// list is unchanged.
	WatchLost(err error, after time.Duration)
	// ListIgnored reports that a list or an entry of one is ignored. The watch continues.
	ListIgnored(error)
}

// Watcher watches discovery's list for changes. Its [listclock.Clock] and Subscribe determine when it calls
// discovery.
type Watcher struct {
	clockStart   time.Time // zero of the clock's time
	subscribed   chan struct{}
	clockChanged chan struct{} // signalled when the time of the clock's next call may have changed
	dial         func(ctx context.Context, address string, deadline time.Time) (net.Conn, error)

	mu          sync.Mutex
	clock       *listclock.Clock
	address     string
	revision    int64
	callStarted time.Duration         // start time of the last call
	instances   dispatch.InstanceList // as last received; used by the watch's goroutine only
	cancelWatch context.CancelFunc    // ends the current watch
	paused      bool                  // the current watch was ended by Pause
	answered    bool                  // the call that opened the current watch succeeded
}

// NewWatcher returns a watcher that starts from the given revision.
func NewWatcher(address string, revision int64, s decide.Settings) *Watcher {
	return &Watcher{
		address: address, revision: revision, clockStart: time.Now(), subscribed: make(chan struct{}, 1), clockChanged: make(chan struct{}, 1),
		cancelWatch: func() {}, clock: listclock.New(clockSettings(s), 0), dial: dial,
	}
}

func dial(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
	return (&net.Dialer{Deadline: deadline}).DialContext(ctx, "tcp", address)
}

// SetStart sets the address and revision of the first watch. It must be called before Run.
func (w *Watcher) SetStart(address string, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.revision = address, revision
}

// UpdateSettings applies new settings.
func (w *Watcher) UpdateSettings(s decide.Settings) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock.UpdateSettings(clockSettings(s))
	signal(w.clockChanged)
}

// clockSettings derives the clock's settings. A pushed list comes from an agent on this machine, which has received
// it already; otherwise it comes from a service that many dispatchers call.
func clockSettings(s decide.Settings) listclock.Settings {
	t := listclock.Settings{Mode: listclock.Watched, MaxAge: s.Rules.SubscribeWithin, DrainGrace: s.Rules.DrainGrace, Spread: time.Duration(s.DispatcherCount) * callSpacing}
	if s.ListPushed {
		t.Mode = listclock.Pushed
	}
	return t
}

func (w *Watcher) now() time.Duration { return time.Since(w.clockStart) }

// sinceCall returns the time since the start of the last call.
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

// Subscribe requests a watch. It never blocks, and has no effect while a watch is active.
func (w *Watcher) Subscribe() { signal(w.subscribed) }

// ChangeAddress sets a new address of discovery. The watch there starts with the complete list, since revisions of different
// servers cannot be compared. The current watch continues until the clock permits the call to the new address.
func (w *Watcher) ChangeAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.revision = address, 0
	w.clock.AddressChanged(w.now())
	signal(w.clockChanged)
	if next, ok := w.clock.NextCall(); ok {
		time.AfterFunc(next-w.now(), w.leaveOldAddress)
	}
}

// AddressChangePending reports whether updates still come from an address that is no longer discovery's.
func (w *Watcher) AddressChangePending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.AddressChangePending()
}

// leaveOldAddress ends the watch at an address that is no longer discovery's.
func (w *Watcher) leaveOldAddress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock.AddressChangePending() {
		w.cancelWatch()
	}
}

// Pause ends the current watch and drops a pending subscription, because others report changes. The next Subscribe
// starts a new watch.
func (w *Watcher) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clearSubscription()
	w.clock.Pause(w.now())
	w.paused = true
	w.cancelWatch()
}

// clearSubscription drops a pending subscription.
func (w *Watcher) clearSubscription() {
	select {
	case <-w.subscribed:
	default:
	}
}

// Run serves subscriptions until the context ends. After a failure, the subscriber decides when to call again, and
// the clock sets the latest time; after a time-out or an address change, the clock alone decides.
func (w *Watcher) Run(ctx context.Context, sink Sink) {
	silences := 0 // consecutive time-outs
	for reopen := false; reopen || w.wait(ctx); {
		watchCtx, cancel := context.WithCancel(ctx)
		address, revision, ok := w.startCall(cancel, reopen)
		if reopen = false; !ok {
			cancel()
			continue
		}
		err := w.watch(watchCtx, sink, address, revision)
		cancel()
		if ctx.Err() != nil {
			return
		}
		end, answered := w.watchEnded(err)
		if answered {
			silences = 0
		}
		switch reopen = end == endSilent || end == endMoved; end {
		case endSilent:
			silences++
			sink.WatchSilent(silences, err)
		case endLost:
			sink.WatchLost(err, w.sinceCall())
		}
	}
}

// wait waits for a subscription or for the clock's next call. It returns false if the context has ended.
func (w *Watcher) wait(ctx context.Context) bool {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		w.mu.Lock()
		next, scheduled := w.clock.NextCall()
		w.mu.Unlock()
		if timer.Stop(); scheduled {
			timer.Reset(next - w.now())
		}
		select {
		case <-ctx.Done():
			return false
		case <-w.subscribed:
			return true
		case <-w.clockChanged:
		case <-timer.C:
			return true
		}
	}
}

// startCall records the start of a call and returns where to call. ok is false if the call must not be made because
// others report changes meanwhile.
func (w *Watcher) startCall(cancel context.CancelFunc, reopen bool) (address string, revision int64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reopen && w.paused {
		return "", 0, false
	}
	w.callStarted = w.now()
	w.clock.CallStarted(w.callStarted, 0, rand.Float64())
	w.cancelWatch, w.paused, w.answered = cancel, false, false
	return w.address, w.revision, true
}

// watchEndReason is the reason why a watch ended.
type watchEndReason int

const (
	endLost        watchEndReason = iota // failed; the subscriber decides when to call again
	endSilent                            // timed out; reopen now
	endMoved                             // address changed; call the new address now
	endMovePending                       // failed after the address changed; the clock decides when to call the new address
)

// watchEnded records the end of a watch and returns its reason.
func (w *Watcher) watchEnded(err error) (end watchEndReason, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused { // keep a subscription that was made since
		return endLost, w.answered
	}
	w.clearSubscription() // this watch has served any subscription made while it was active
	next, scheduled := w.clock.NextCall()
	due, addressChanged := scheduled && w.now() > next-timerSlack, w.clock.AddressChangePending()
	var timeout net.Error
	switch {
	case due && addressChanged:
		return endMoved, w.answered
	case due && errors.As(err, &timeout) && timeout.Timeout():
		return endSilent, w.answered
	}
	if w.clock.CallEnded(w.now()); addressChanged {
		return endMovePending, w.answered
	}
	return endLost, w.answered
}

// listReceived records a received list and the revision from which a later watch continues.
func (w *Watcher) listReceived(revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock.ListReceived(w.now()); !w.clock.AddressChangePending() {
		w.revision = revision
	}
}

// listIgnored records a list that was ignored.
func (w *Watcher) listIgnored() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock.ListIgnored(w.now())
}

// heartbeat records that nothing has changed.
func (w *Watcher) heartbeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock.Heartbeat(w.now())
}

// silenceDeadline returns the time at which the current call or watch counts as timed out.
func (w *Watcher) silenceDeadline() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, _ := w.clock.NextCall()
	return w.clockStart.Add(next)
}

func (w *Watcher) watch(ctx context.Context, sink Sink, address string, revision int64) error {
	conn, err := w.dial(ctx, address, w.silenceDeadline())
	if localShortage(err) {
		return fmt.Errorf("local resource shortage, discovery not called: %w", err)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := conn.SetWriteDeadline(w.silenceDeadline()); err != nil {
		return err
	}
	target := "/catalog/members?stream=1&index=" + strconv.FormatInt(revision, 10)
	request := http1.AppendRequest(nil, "GET", target, http1.Header{{Name: "Host", Value: address}}, nil)
	if _, err := conn.Write(request); err != nil {
		return err
	}
	br := bufio.NewReaderSize(monitoredConn{conn, w}, http1.MaxLine)
	response, body, err := http1.ReadStream(br)
	if err != nil {
		return err
	}
	if response.Status != 200 {
		return fmt.Errorf("discovery answered with HTTP status %d", response.Status)
	}
	w.mu.Lock()
	w.answered = true
	w.mu.Unlock()
	return w.readLists(sink, body)
}

// localShortage reports whether a call failed for lack of resources of this machine or process, which says nothing
// about discovery.
func localShortage(err error) bool {
	for _, errno := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// readLists reads lists until the watch ends. Each is a JSON value, on one line or on several.
func (w *Watcher) readLists(sink Sink, body io.Reader) error {
	lists := &listReader{body: body, w: w, sink: sink, lineEmpty: true}
	last := int64(math.MinInt64)
	for values := json.NewDecoder(lists); ; {
		var list json.RawMessage
		if err := values.Decode(&list); errors.Is(err, io.EOF) {
			return errors.New("watch closed by discovery")
		} else if err != nil {
			return err
		}
		update, invalid, err := readList(list)
		if err != nil {
			return err
		}
		rest, err := io.ReadAll(values.Buffered())
		if err != nil {
			return err
		}
		if update.Revision < last {
			w.listIgnored()
			lists.listEnded(rest)
			sink.ListIgnored(&OlderListError{Revision: update.Revision, Last: last})
			continue
		}
		last = update.Revision
		w.listReceived(last)
		lists.listEnded(rest)
		reportInvalid(sink, invalid)
		update = keepUnreadable(update, invalid, w.instances.Instances())
		w.instances.Update(update)
		sink.ListReceived(update)
	}
}

// reportInvalid reports the invalid entries of a list, only the first ones individually.
func reportInvalid(sink Sink, invalid []*EntryError) {
	for _, f := range invalid[:min(len(invalid), maxReportedEntries)] {
		sink.ListIgnored(f)
	}
	if more := len(invalid) - maxReportedEntries; more > 0 {
		sink.ListIgnored(fmt.Errorf("list: %d more invalid members", more))
	}
}

// monitoredConn records any received data with the clock, and applies the clock's deadline to reads.
type monitoredConn struct {
	net.Conn
	w *Watcher
}

func (s monitoredConn) Read(p []byte) (int, error) {
	// Detects a watch whose server has failed silently: a missed update would leave draining instances in use.
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

// listReader passes on the body of a watch without the whitespace between lists, and reports empty lines there, which
// are the watch's heartbeats. Blank lines inside a list, or the end of its last line, are no heartbeats.
type listReader struct {
	body      io.Reader
	w         *Watcher
	sink      Sink
	size      int  // bytes of the current list; 0: between lists
	lineEmpty bool // the current line has no text so far
}

func (o *listReader) Read(p []byte) (int, error) {
	for {
		n, err := o.body.Read(p)
		text := o.filter(p[:n])
		if o.size > maxListBytes {
			return 0, fmt.Errorf("list exceeds %d bytes", maxListBytes)
		}
		if len(text) > 0 || err != nil {
			return copy(p, text), err
		}
	}
}

// listEnded records that a list is complete. rest is the data after it that has been read already.
func (o *listReader) listEnded(rest []byte) {
	o.size, o.lineEmpty = 0, false
	o.filter(rest)
}

// filter returns the text without what is between lists.
func (o *listReader) filter(text []byte) []byte {
	if o.size > 0 {
		o.size += len(text)
		return text
	}
	text, heartbeat := o.skipBetween(text)
	if heartbeat {
		o.w.heartbeat()
		o.sink.Heartbeat()
	}
	if len(text) > 0 {
		o.w.mu.Lock()
		o.w.clock.ListStarted(o.w.now())
		o.w.mu.Unlock()
	}
	o.size = len(text)
	return text
}

// skipBetween returns the text from the start of the next list, and whether an empty line precedes it.
func (o *listReader) skipBetween(text []byte) (rest []byte, heartbeat bool) {
	for i, c := range text {
		switch c {
		case '\n':
			heartbeat = heartbeat || o.lineEmpty
			o.lineEmpty = true
		case ' ', '\t', '\r':
		default:
			return text[i:], heartbeat
		}
	}
	return nil, heartbeat
}
