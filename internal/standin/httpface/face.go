// Package httpface puts stand-in encoders, and a stand-in discovery, on loopback sockets with the
// platform's protocol. Each dispatcher has a face of its own, since an encoder must know whom to call
// back.
//
// What a job is stands in the query of its target, which passes through the dispatcher unchanged:
// work_us (of one slot), class, once=1 where it must not run twice, and, where dispatchers share a face, via.
package httpface

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperrelay/internal/net/http1"
	"caperrelay/internal/standin/encoder"
	"caperrelay/internal/standin/host"
	"caperrelay/internal/standin/ledger"
)

const (
	tries     = 10 // of a call-back, until it is answered
	patience  = 5 * time.Second
	beat      = 500 * time.Millisecond // of a watch while nothing changes
	mostIdle  = 256                    // connections kept for call-backs
	backlog   = 1 << 14                // call-backs that may wait
	callers   = 32
	retryWait = 50 * time.Millisecond
)

// Face is how one dispatcher sees the fleet.
type Face struct {
	host       *host.Host
	dispatcher string
	callback   func() string
	shared     func(string) string
	tellStarts bool
	doors      []*door
	discovery  net.Listener
	calls      chan call
	idle       chan net.Conn
	done       chan struct{}
	wg         sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	made  int           // connections to encoders
	woken chan struct{} // closed at a change of the list
}

// Options of a face.
type Options struct {
	Dispatcher string        // its name, for the ledger
	Callback   func() string // its address, once it has one
	// Shared: one face serves all dispatchers, and a job's "via" says whose it is and so whom to call back.
	Shared     func(via string) string
	TellStarts bool // whether encoders tell of starts
	// Through is the address at which the dispatcher finds an encoder that listens at another; nil: the same.
	Through func(encoder, address string) (string, error)
}

// New opens a face's sockets.
func New(h *host.Host, o Options) (*Face, error) {
	f := &Face{
		host: h, dispatcher: o.Dispatcher, callback: o.Callback, shared: o.Shared, tellStarts: o.TellStarts, calls: make(chan call, backlog),
		idle: make(chan net.Conn, mostIdle), done: make(chan struct{}), conns: map[net.Conn]struct{}{}, woken: make(chan struct{}),
	}
	for _, e := range h.Encoders() {
		d := &door{face: f, encoder: e, conns: map[net.Conn]struct{}{}}
		if err := d.Open(); err != nil {
			f.Close()
			return nil, err
		}
		f.doors = append(f.doors, d)
		at, err := d.address, error(nil)
		if o.Through != nil {
			at, err = o.Through(e.ID(), at)
		}
		if err != nil {
			f.Close()
			return nil, err
		}
		e.Attach("http/"+o.Dispatcher, at, d)
	}
	var err error
	if f.discovery, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		f.Close()
		return nil, err
	}
	h.Watch(f.wake)
	f.wg.Go(func() { f.accept(f.discovery, f.serveDiscovery) })
	for range callers {
		f.wg.Go(f.call)
	}
	return f, nil
}

// Discovery is where the dispatcher asks for the list.
func (f *Face) Discovery() string { return f.discovery.Addr().String() }

// Close ends the face and all that runs for it.
func (f *Face) Close() {
	close(f.done)
	for _, d := range f.doors {
		d.Shut()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	f.mu.Lock()
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
	for {
		select {
		case c := <-f.idle:
			c.Close()
		default:
			return
		}
	}
}

// Connections is how many connections encoders took in all.
func (f *Face) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.made
}

func (f *Face) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.woken)
	f.woken = make(chan struct{})
}

func (f *Face) accept(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		if f.conns[c] = struct{}{}; l != f.discovery {
			f.made++
		}
		f.mu.Unlock()
		go func() {
			defer func() {
				c.Close()
				f.mu.Lock()
				delete(f.conns, c)
				f.mu.Unlock()
			}()
			serve(c)
		}()
	}
}

// door is one encoder's listener.
type door struct {
	face    *Face
	encoder *host.Encoder
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
}

func (d *door) Open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	d.listener, d.address = l, l.Addr().String()
	go d.face.accept(l, d.serve)
	return nil
}

// Shut resets all connections, as the end of a process does.
func (d *door) Shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		d.listener.Close()
		d.listener = nil
	}
	for c := range d.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// Leave does nothing: the protocol has only the list to tell of a drain.
func (d *door) Leave() {}

func (d *door) serve(c net.Conn) {
	d.mu.Lock()
	if d.listener == nil {
		d.mu.Unlock()
		return
	}
	d.conns[c] = struct{}{}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}()
	for br := bufio.NewReaderSize(c, http1.MaxLine); ; {
		q, err := http1.ReadRequest(br, nil)
		if err != nil {
			return
		}
		status, fields := d.handle(q)
		if status == 0 { // a hanging process says nothing
			continue
		}
		if _, err := c.Write(http1.AppendResponse(nil, status, fields, nil)); err != nil || q.Close {
			return
		}
	}
}

var unprocessed = http1.Header{{Name: "X-Unprocessed", Value: "1"}}

func (d *door) handle(q *http1.Request) (int, http1.Header) {
	hung := false
	d.encoder.Look(func(m *encoder.Encoder) { hung = m.State() == encoder.Hung })
	id := q.Header.Get("X-Correlation-Id")
	switch {
	case q.Method == "DELETE" && strings.HasPrefix(q.Target, "/jobs/"):
		if hung {
			return 0, nil
		}
		d.encoder.Cancel(strings.TrimPrefix(q.Target, "/jobs/"))
		return 200, nil
	case q.Method == "GET" && q.Target == "/ping":
		if hung {
			return 0, nil
		}
		return 200, nil
	case q.Method != "POST" || id == "":
		return 404, nil
	}
	v, err := visit(q)
	if err != nil {
		return 400, nil
	}
	v.Job, v.Sender = id, cmp.Or(v.Sender, d.face.dispatcher)
	from := d.encoder.ID()
	var line *ledger.Attempt
	known := make(chan struct{})
	v.Event = func(e encoder.Event) {
		switch e {
		case encoder.Started:
			if d.face.tellStarts {
				d.face.tell(call{id: id, via: v.Sender, from: from, state: "started"})
			}
		case encoder.Killed: // the machine's agent sees the process die
			d.face.tell(call{id: id, via: v.Sender, from: from, state: "lost"})
		case encoder.Ended:
			<-known // the line is there before this can be called, but for jobs that take no time
			d.face.tell(call{id: id, via: v.Sender, from: from, state: "done", line: line})
		}
	}
	reply, l := d.encoder.Arrive(v)
	line = l
	close(known)
	switch reply {
	case encoder.Accepted:
		return 202, nil
	case encoder.Full:
		return 503, unprocessed
	}
	return 0, nil
}

// visit reads what a job is.
func visit(q *http1.Request) (v host.Visit, err error) {
	_, query, _ := strings.Cut(q.Target, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return v, err
	}
	us, err := strconv.ParseUint(values.Get("work_us"), 10, 40)
	if err != nil {
		return v, fmt.Errorf("work_us: %w", err)
	}
	v.Work, v.Class, v.Once, v.Sender = time.Duration(us)*time.Microsecond, values.Get("class"), values.Get("once") == "1", values.Get("via")
	return v, nil
}

// call is one call-back.
type call struct {
	id, via, from, state string
	line                 *ledger.Attempt
}

func (f *Face) tell(c call) {
	select {
	case f.calls <- c:
	default: // a machine whose queue is full loses it, as a real one would
		if c.line != nil {
			f.host.Ledger.End(c.line, time.Now(), ledger.Unheard)
		}
	}
}

// call makes call-backs, each until it is answered.
func (f *Face) call() {
	for {
		select {
		case <-f.done:
			return
		case c := <-f.calls:
			fate := ledger.Unheard
			for n := range tries {
				if n > 0 {
					select {
					case <-f.done:
						return
					case <-time.After(time.Duration(n) * retryWait):
					}
				}
				if f.callOnce(c) == nil {
					fate = ledger.Done
					break
				}
			}
			if c.line != nil {
				f.host.Ledger.End(c.line, time.Now(), fate)
			}
		}
	}
}

func (f *Face) callOnce(c call) error {
	body, err := json.Marshal(map[string]any{"id": c.id, "from": c.from, "state": c.state, "result": "done by " + c.from})
	if err != nil {
		return err
	}
	var conn net.Conn
	if f.shared != nil { // each time to another
		if conn, err = net.DialTimeout("tcp", f.shared(c.via), patience); err != nil {
			return err
		}
		defer conn.Close()
	} else {
		select {
		case conn = <-f.idle:
		default:
			if conn, err = net.DialTimeout("tcp", f.callback(), patience); err != nil {
				return err
			}
		}
	}
	conn.SetDeadline(time.Now().Add(patience))
	h := http1.Header{{Name: "Host", Value: "dispatcher"}}
	if _, err := conn.Write(http1.AppendRequest(nil, "POST", "/_jobs/news", h, body)); err != nil {
		conn.Close()
		return err
	}
	p, err := http1.ReadResponse(bufio.NewReaderSize(conn, http1.MaxLine), "POST")
	if err != nil {
		conn.Close()
		return err
	}
	if p.Close || f.shared != nil {
		conn.Close()
	} else {
		select {
		case f.idle <- conn:
		default:
			conn.Close()
		}
	}
	if p.Status != 200 && p.Status != 204 {
		return errors.New("not taken")
	}
	return nil
}

// serveDiscovery answers with the list, or a watch on it.
func (f *Face) serveDiscovery(c net.Conn) {
	for br := bufio.NewReaderSize(c, http1.MaxLine); ; {
		q, err := http1.ReadRequest(br, nil)
		if err != nil {
			return
		}
		path, query, _ := strings.Cut(q.Target, "?")
		values, err := url.ParseQuery(query)
		switch {
		case path != "/catalog/members" || err != nil:
			c.Write(http1.AppendResponse(nil, 404, nil, nil))
		case values.Get("stream") == "1":
			f.watch(c)
			return
		default:
			c.Write(http1.AppendResponse(nil, 200, nil, f.List()))
		}
	}
}

func (f *Face) watch(c net.Conn) {
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	tick := time.NewTicker(beat)
	defer tick.Stop()
	text := []byte(nil)
	for fresh := true; ; {
		f.mu.Lock()
		woken := f.woken
		f.mu.Unlock()
		if text = nil; fresh { // the whole list each time: simple, and allowed
			text = f.List()
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text); err != nil {
			return
		}
		select {
		case <-f.done:
			return
		case <-woken:
			fresh = true
		case <-tick.C:
			fresh = false
		}
	}
}

// Member is one line of discovery's answer. GRPC is an addition of ours: where the encoder serves gRPC.
type Member struct {
	ID      string  `json:"id"`
	Address string  `json:"host_port"`
	GRPC    string  `json:"grpc,omitempty"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Size    float64 `json:"size"`
	UpSince float64 `json:"up_since_ms"`
}

// List is what discovery tells the dispatcher, as text.
func (f *Face) List() []byte {
	list := struct {
		Revision int64    `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}{f.host.Revision(), true, []Member{}}
	for _, l := range f.host.Lines() {
		m := Member{ID: l.ID, Address: l.Addresses["http/"+f.dispatcher], GRPC: l.Addresses["grpc"], Zone: l.Zone, Kind: l.Kind, Phase: "in_service", Size: 1}
		if l.Draining {
			m.Phase = "terminating"
		}
		if !l.Started.IsZero() {
			m.UpSince = float64(l.Started.UnixMicro()) / 1000
		}
		list.Members = append(list.Members, m)
	}
	text, _ := json.Marshal(list) // plain data: it cannot fail
	return text
}
