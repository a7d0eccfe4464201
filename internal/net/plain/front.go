// Package plain serves plain HTTP/1.1: it forwards requests to the pools that the routes select and relays
// the responses. Each request is a command of a separate dispatch loop, whose workers are the members of the
// pools. The balancing method of the pool orders the members; package decide handles retries and refusals.
//
// Request and response bodies are buffered in memory, at most 64 KiB each.
package plain

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/readahead"
	"caperrelay/internal/net/sock"
	"caperrelay/internal/pools"
	"caperrelay/internal/routes"
)

// Timeouts on client connections.
const (
	idleTimeout   = 75 * time.Second // between two requests
	readTimeout   = 60 * time.Second // to read a request
	writeTimeout  = 60 * time.Second // to write a response
	lingerTimeout = 500 * time.Millisecond
)

// maxReadAhead is the number of bytes by which all connections' buffers may have grown to hold what is sent behind a request.
const maxReadAhead = 4 << 20

// Front serves plain HTTP on one listener.
type Front struct {
	listen         string
	table          atomic.Pointer[routes.Table]
	core           Core
	pools          atomic.Pointer[Pools] // nil: package decide alone selects the member
	limits         atomic.Pointer[Limits]
	requestTimeout time.Duration // longest time for one request
	log            *slog.Logger
	readAhead      *readahead.Budget
	connSlots      chan struct{}
	lastID         atomic.Uint64
	idPrefix       uint64

	mu       sync.Mutex
	listener net.Listener      // nil: not listening
	address  string            // of the last listener
	conns    map[net.Conn]bool // true: a request is in progress
	closing  bool
	wg       sync.WaitGroup
}

// Core handles the requests; it is implemented by dispatch.Loop.
type Core interface {
	Submit(*dispatch.Command)
	ClientGone(*dispatch.Command)
}

// New returns a front that serves at most maxConns connections at once.
func New(address string, t *routes.Table, p *Pools, l *Limits, core Core, requestTimeout time.Duration, maxConns int, logger *slog.Logger) *Front {
	f := &Front{listen: address, core: core, requestTimeout: requestTimeout, log: logger, readAhead: readahead.NewBudget(maxReadAhead), connSlots: make(chan struct{}, maxConns), idPrefix: rand.Uint64(), conns: map[net.Conn]bool{}}
	f.SetRoutes(t, p, l)
	return f
}

// Address returns the address of the listener, or of the last one after Leave.
func (f *Front) Address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address
}

// SetRoutes replaces routes, pools and limits for all later requests.
func (f *Front) SetRoutes(t *routes.Table, p *Pools, l *Limits) {
	f.limits.Store(l)
	f.pools.Store(p)
	f.table.Store(t)
}

// Open listens and serves. After Leave it may be called again and reuses the address. During a handover the
// other process may listen on the same address for a short time.
func (f *Front) Open() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		return nil
	}
	l, err := sock.Listen(cmp.Or(f.address, f.listen))
	if err != nil {
		return err
	}
	f.listener, f.address, f.closing = l, l.Addr().String(), false
	go f.acceptLoop(l)
	return nil
}

// acceptLoop accepts connections until the listener is closed.
func (f *Front) acceptLoop(l net.Listener) {
	for {
		f.connSlots <- struct{}{}
		nc, err := l.Accept()
		if err != nil {
			<-f.connSlots
			if errors.Is(err, net.ErrClosed) {
				return
			}
			f.log.Warn("accepting an HTTP connection failed", "err", err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		f.mu.Lock()
		f.conns[nc] = false
		f.mu.Unlock()
		f.wg.Go(func() {
			f.serve(nc)
			nc.Close()
			f.mu.Lock()
			delete(f.conns, nc)
			f.mu.Unlock()
			<-f.connSlots
		})
	}
}

// Leave stops listening. Idle connections are closed at once, others after their current response.
func (f *Front) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		f.listener.Close()
		f.listener = nil
	}
	f.closing = true
	for nc, busy := range f.conns {
		if !busy {
			nc.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// Quiet reports whether no request is in progress.
func (f *Front) Quiet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, busy := range f.conns {
		if busy {
			return false
		}
	}
	return true
}

// setBusy records whether a request is in progress on a connection. It returns false if the connection must close.
func (f *Front) setBusy(nc net.Conn, busy bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[nc] = busy
	return busy || !f.closing
}

func (f *Front) serve(nc net.Conn) {
	r := readahead.New(nc, nil, f.readAhead, nil)
	defer func() { r.Release() }()
	for {
		r.Yield()
		r.Shrink()
		if nc.SetReadDeadline(time.Now().Add(idleTimeout)) != nil || !f.setBusy(nc, false) {
			return
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		f.setBusy(nc, true)
		if nc.SetReadDeadline(time.Now().Add(readTimeout)) != nil {
			return
		}
		q, err := http1.ReadRequest(r.Reader, func() error {
			_, err := io.WriteString(nc, "HTTP/1.1 100 Continue\r\n\r\n")
			return err
		})
		var bad *http1.MalformedError
		switch {
		case errors.As(err, &bad):
			reply(nc, &http1.Request{}, bad.Status, nil, []byte(bad.Text+"\n"), true)
			linger(nc)
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			reply(nc, &http1.Request{}, 408, nil, nil, true)
			return
		case err != nil || !f.handle(nc, r, q):
			return
		}
	}
}

// linger discards input for a short time: closing with unread bytes would reset the connection and lose the response.
func linger(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok && tcp.CloseWrite() == nil && nc.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		io.CopyN(io.Discard, nc, 4*http1.MaxBody)
	}
}

// hopByHop lists the header fields that are not forwarded.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// endToEnd returns the header without hop-by-hop fields and without those that its Connection field names.
func endToEnd(h http1.Header) (out http1.Header) {
	var named []string
	for _, f := range h {
		if strings.EqualFold(f.Name, "Connection") {
			for n := range strings.SplitSeq(f.Value, ",") {
				named = append(named, strings.TrimSpace(n))
			}
		}
	}
	contains := func(list []string, name string) bool {
		return slices.ContainsFunc(list, func(s string) bool { return strings.EqualFold(s, name) })
	}
	for _, f := range h {
		if !contains(hopByHop, f.Name) && !contains(named, f.Name) {
			out = append(out, f)
		}
	}
	return out
}

// handle serves one request. It returns false if the connection must close.
func (f *Front) handle(nc net.Conn, r *readahead.Reader, q *http1.Request) bool {
	if q.Header.Conflicts("Host") {
		return reply(nc, q, 400, nil, []byte("more than one Host\n"), true)
	}
	remote, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	local := nc.LocalAddr().String()
	d := f.table.Load().Decide(routes.Request{
		Listen: local, Host: q.Header.Get("Host"), Method: q.Method, Target: q.Target, Remote: remote, Header: q.Header.Get,
	})
	if d.Pool == "" {
		return replyFromRoutes(nc, q, d)
	}
	x := &Exchange{Method: q.Method, Target: d.URI, Host: d.Pool, Body: q.Body}
	overridden := func(name string) bool {
		return strings.EqualFold(name, "Host") || slices.ContainsFunc(d.Headers, func(h [2]string) bool { return strings.EqualFold(h[0], name) })
	}
	for _, h := range endToEnd(q.Header) {
		if !overridden(h.Name) {
			x.Header = append(x.Header, h)
		}
	}
	for _, h := range d.Headers {
		value := stripControls(h[1])
		switch {
		case strings.EqualFold(h[0], "Host"):
			x.Host = value
		case value != "" && !slices.ContainsFunc(hopByHop, func(s string) bool { return strings.EqualFold(s, h[0]) }):
			x.Header = append(x.Header, http1.Field{Name: h[0], Value: value})
		}
	}
	deadline := time.Now().Add(f.requestTimeout)
	if d.Timeout > 0 && d.Timeout < f.requestTimeout {
		deadline = time.Now().Add(d.Timeout)
	}
	limitCtx, cancelLimitCtx := context.WithDeadline(context.Background(), deadline)
	release, ok := f.limits.Load().Acquire(limitCtx, d.Limits)
	cancelLimitCtx()
	if !ok {
		return reply(nc, q, 503, nil, []byte("too many requests\n"), q.Close)
	}
	defer release()
	class := d.Pool + repeatableSuffix
	if !idempotent(q.Method) && !d.RetryNonIdempotent || d.Tries == 1 { // with a single try, a failure is reported without a retry
		class = d.Pool + onceSuffix
	}
	x.start, x.deadline = time.Now(), deadline
	w := &waiter{answer: make(chan dispatch.Answer, 1), nc: nc}
	cmd := &dispatch.Command{
		ID: strconv.FormatUint(f.idPrefix, 36) + "-" + strconv.FormatUint(f.lastID.Add(1), 36), Class: class, Payload: x, Client: w, Deadline: deadline,
	}
	if p := f.pools.Load(); p != nil {
		if cmd.Candidates = p.Candidates(d.Pool, cmd.ID, pools.Criteria{Key: d.Key, Remote: remote}); cmd.Candidates == nil {
			return reply(nc, q, 502, nil, []byte("no such pool\n"), q.Close)
		} else if len(cmd.Candidates) == 0 {
			return reply(nc, q, 502, nil, []byte("no server of the pool is up\n"), q.Close)
		}
		if d.Tries > 0 && d.Tries < len(cmd.Candidates) {
			cmd.Candidates = cmd.Candidates[:d.Tries]
		}
		x.attemptDone = func(instance string, failed bool) {
			if instance == cmd.Candidates[0] {
				p.Done(d.Pool, cmd.ID, failed)
			}
		}
		defer p.Done(d.Pool, cmd.ID, false)
	}
	if nc.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	if err := r.CheckPeer(); err != nil { // the client may have left while its request waited its turn
		return endGone(nc, q, err)
	}
	f.core.Submit(cmd)
	return f.awaitAnswer(nc, r, q, cmd, x)
}

// awaitAnswer waits for the answer of a command and writes it. If the client closes the connection while it waits, the
// command is cancelled.
func (f *Front) awaitAnswer(nc net.Conn, r *readahead.Reader, q *http1.Request, cmd *dispatch.Command, x *Exchange) bool {
	w := cmd.Client.(*waiter)
	clientGone := make(chan error, 1)
	go func() { clientGone <- r.WatchPeer() }()
	select {
	case a := <-w.answer:
		nc.SetReadDeadline(time.Unix(1, 0)) // ends WatchPeer
		err := <-clientGone
		q.Close = q.Close || err != nil || r.Discarded() > 0
		return f.relay(nc, q, a, x)
	case err := <-clientGone:
		f.core.ClientGone(cmd)
		return endGone(nc, q, err)
	}
}

// endGone closes a connection whose client has disconnected, or has sent so much behind its request that a disconnect could
// go unnoticed.
func endGone(nc net.Conn, q *http1.Request, err error) bool {
	if errors.Is(err, readahead.ErrFlood) {
		reply(nc, q, 413, nil, []byte("too much behind the request\n"), true)
		linger(nc)
	}
	return false
}

// idempotent reports whether a request with this method may be sent again when it may have run.
func idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE":
		return true
	}
	return false
}

// Suffixes of the two classes of a pool.
const (
	repeatableSuffix = "/repeat"
	onceSuffix       = "/once"
)

// waiter receives the answer of a command; it implements the client interface of package dispatch.
type waiter struct {
	answer chan dispatch.Answer
	nc     net.Conn
}

func (w *waiter) Answer(a dispatch.Answer) { w.answer <- a }
func (w *waiter) HandOver(bool)            {}

// Disconnected checks the connection itself, because the goroutine that watches it may not have run since the disconnect.
func (w *waiter) Disconnected() bool { return sock.PeerClosed(w.nc) }

// relay writes the answer of a command to the client.
func (f *Front) relay(nc net.Conn, q *http1.Request, a dispatch.Answer, x *Exchange) bool {
	switch a.Verdict {
	case dispatch.Served:
		p := a.Value.(*http1.Response)
		if q.Method == "HEAD" || p.Status == 304 {
			return replyHead(nc, p, q.Close)
		}
		return reply(nc, q, p.Status, endToEnd(p.Header), p.Body, q.Close)
	case dispatch.Refused:
		var h http1.Header
		if a.RetryAfter > 0 {
			h = http1.Header{{Name: "Retry-After", Value: strconv.Itoa(int((a.RetryAfter + time.Second - 1) / time.Second))}}
		}
		if x.late() {
			return reply(nc, q, 504, h, []byte("no server answered in time\n"), q.Close)
		}
		return reply(nc, q, 503, h, []byte("no server can take it now\n"), q.Close)
	case dispatch.Unusable:
		return reply(nc, q, 502, nil, []byte("no such pool\n"), q.Close)
	}
	if x.late() {
		return reply(nc, q, 504, nil, []byte("no server answered in time\n"), q.Close)
	}
	return reply(nc, q, 502, nil, []byte("no server answered\n"), q.Close)
}

// replyFromRoutes writes a response that the routes give without a pool.
func replyFromRoutes(nc net.Conn, q *http1.Request, d routes.Decision) bool {
	switch {
	case d.Status == 444: // nginx: close without a response
		return false
	case d.Status >= 300 && d.Status < 400 && d.Text != "":
		return reply(nc, q, d.Status, http1.Header{{Name: "Location", Value: stripControls(d.Text)}}, nil, q.Close)
	case d.Status < 200:
		return reply(nc, q, 500, nil, nil, q.Close)
	}
	text := d.Text
	if text == "" && d.Status >= 400 {
		text = fmt.Sprintf("%d\n", d.Status)
	}
	return reply(nc, q, d.Status, http1.Header{{Name: "Content-Type", Value: "text/plain"}}, []byte(text), q.Close)
}

// stripControls removes control characters, so that a value cannot end its header line.
func stripControls(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return -1
		}
		return r
	}, s)
}

// replyHead writes a response without a body and keeps the Content-Length that the server sent.
func replyHead(nc net.Conn, p *http1.Response, end bool) bool {
	h := endToEnd(p.Header)
	if end {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	text := http1.AppendResponse(nil, p.Status, h, nil)
	length := ""
	if n, err := strconv.ParseUint(p.Header.Get("Content-Length"), 10, 62); err == nil {
		length = fmt.Sprintf("Content-Length: %d\r\n", n)
	}
	text = bytes.Replace(text, []byte("Content-Length: 0\r\n"), []byte(length), 1)
	if nc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	_, err := nc.Write(text)
	return err == nil && !end
}

// reply writes a response. It returns false if the connection must close.
func reply(nc net.Conn, q *http1.Request, status int, h http1.Header, body []byte, end bool) bool {
	if end {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	if nc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	text := http1.AppendResponse(nil, status, h, body)
	if q.Method == "HEAD" || status == 304 {
		text = text[:len(text)-len(body)]
	}
	_, err := nc.Write(text)
	return err == nil && !end
}
