// Package plain is the front for plain HTTP/1.1: requests that routes send to pools, answered as they
// come back. Each is a command of a loop of its own, whose workers are the pools' members; the choice of
// member, retries and refusals are the decision module's.
//
// Bodies are held whole for now, 64 KiB at most each way.
package plain

import (
	"bufio"
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
	"caperrelay/internal/net/sock"
	"caperrelay/internal/pools"
	"caperrelay/internal/routes"
)

// The patience with a client.
const (
	idlePatience  = 75 * time.Second // between requests
	readPatience  = 60 * time.Second // for a request
	writePatience = 60 * time.Second // for an answer
	lingerFor     = 500 * time.Millisecond
)

// Front serves one listener.
type Front struct {
	listen string
	table  atomic.Pointer[routes.Table]
	core   Core
	pools  atomic.Pointer[Pools] // nil: the module alone chooses
	limits atomic.Pointer[Limits]
	within time.Duration // of a request
	log    *slog.Logger
	slots  chan struct{}
	ids    atomic.Uint64
	boot   uint64

	mu       sync.Mutex
	listener net.Listener      // nil: it does not listen
	address  string            // once it has listened
	conns    map[net.Conn]bool // true: a request is under way
	away     bool
	wg       sync.WaitGroup
}

// Core is where requests go.
type Core interface {
	Submit(*dispatch.Command)
	ClientGone(*dispatch.Command)
}

// New returns a front for at most so many connections.
func New(address string, t *routes.Table, p *Pools, l *Limits, core Core, within time.Duration, most int, logger *slog.Logger) *Front {
	f := &Front{listen: address, core: core, within: within, log: logger, slots: make(chan struct{}, most), boot: rand.Uint64(), conns: map[net.Conn]bool{}}
	f.Reroute(t, p, l)
	return f
}

// Address is where it listens, or did last.
func (f *Front) Address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address
}

// Reroute has requests from now on go by other routes and pools.
func (f *Front) Reroute(t *routes.Table, p *Pools, l *Limits) {
	f.limits.Store(l)
	f.pools.Store(p)
	f.table.Store(t)
}

// Open listens and serves. It may be called again after Leave, for the same address. The process that takes
// over, or that this one took over from, may listen there too for a moment.
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
	f.listener, f.address, f.away = l, l.Addr().String(), false
	go f.serveAll(l)
	return nil
}

// serveAll accepts connections until the listener is closed.
func (f *Front) serveAll(l net.Listener) {
	for {
		f.slots <- struct{}{}
		nc, err := l.Accept()
		if err != nil {
			<-f.slots
			if errors.Is(err, net.ErrClosed) {
				return
			}
			f.log.Warn("accept", "err", err)
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
			<-f.slots
		})
	}
}

// Leave has no more connections taken; those between two requests end, others with their answer.
func (f *Front) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		f.listener.Close()
		f.listener = nil
	}
	f.away = true
	for nc, busy := range f.conns {
		if !busy {
			nc.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// Quiet tells whether no request is under way.
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

// enter notes whether a request is under way on a connection; false: it is to end.
func (f *Front) enter(nc net.Conn, busy bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[nc] = busy
	return busy || !f.away
}

func (f *Front) serve(nc net.Conn) {
	br := bufio.NewReaderSize(nc, http1.MaxLine)
	for {
		if nc.SetReadDeadline(time.Now().Add(idlePatience)) != nil || !f.enter(nc, false) {
			return
		}
		if _, err := br.Peek(1); err != nil {
			return
		}
		f.enter(nc, true)
		if nc.SetReadDeadline(time.Now().Add(readPatience)) != nil {
			return
		}
		q, err := http1.ReadRequest(br, func() error {
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
		case err != nil || !f.handle(nc, br, q):
			return
		}
	}
}

// linger reads on for a moment: closing over bytes unread would reset the connection, and the answer with it.
func linger(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok && tcp.CloseWrite() == nil && nc.SetReadDeadline(time.Now().Add(lingerFor)) == nil {
		io.CopyN(io.Discard, nc, 4*http1.MaxBody)
	}
}

// perHop are the fields that are one connection's own.
var perHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// onward is a head without what is one connection's own, and what its Connection field names.
func onward(h http1.Header) (out http1.Header) {
	var named []string
	for _, f := range h {
		if strings.EqualFold(f.Name, "Connection") {
			for n := range strings.SplitSeq(f.Value, ",") {
				named = append(named, strings.TrimSpace(n))
			}
		}
	}
	same := func(list []string, name string) bool {
		return slices.ContainsFunc(list, func(s string) bool { return strings.EqualFold(s, name) })
	}
	for _, f := range h {
		if !same(perHop, f.Name) && !same(named, f.Name) {
			out = append(out, f)
		}
	}
	return out
}

// handle serves one request; false: the connection is to end.
func (f *Front) handle(nc net.Conn, br *bufio.Reader, q *http1.Request) bool {
	if q.Header.Conflicts("Host") {
		return reply(nc, q, 400, nil, []byte("more than one Host\n"), true)
	}
	remote, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	local := nc.LocalAddr().String()
	d := f.table.Load().Decide(routes.Request{
		Listen: local, Host: q.Header.Get("Host"), Method: q.Method, Target: q.Target, Remote: remote, Header: q.Header.Get,
	})
	if d.Pool == "" {
		return answerHere(nc, q, d)
	}
	x := &Exchange{Method: q.Method, Target: d.URI, Host: d.Pool, Body: q.Body}
	set := func(name string) bool {
		return strings.EqualFold(name, "Host") || slices.ContainsFunc(d.Headers, func(h [2]string) bool { return strings.EqualFold(h[0], name) })
	}
	for _, h := range onward(q.Header) {
		if !set(h.Name) {
			x.Header = append(x.Header, h)
		}
	}
	for _, h := range d.Headers {
		value := clean(h[1])
		switch {
		case strings.EqualFold(h[0], "Host"):
			x.Host = value
		case value != "" && !slices.ContainsFunc(perHop, func(s string) bool { return strings.EqualFold(s, h[0]) }):
			x.Header = append(x.Header, http1.Field{Name: h[0], Value: value})
		}
	}
	within := time.Now().Add(f.within)
	if d.Timeout > 0 && d.Timeout < f.within {
		within = time.Now().Add(d.Timeout)
	}
	hold, cancelHold := context.WithDeadline(context.Background(), within)
	leave, ok := f.limits.Load().Enter(hold, d.Limits)
	cancelHold()
	if !ok {
		return reply(nc, q, 503, nil, []byte("too many requests\n"), q.Close)
	}
	defer leave()
	class := d.Pool + repeatable
	if !mayRepeat(q.Method) && !d.RetryNonIdempotent || d.Tries == 1 { // with one try there is no second anyway, and the failure is told at once
		class = d.Pool + once
	}
	x.began, x.deadline = time.Now(), within
	w := &waiter{answer: make(chan dispatch.Answer, 1)}
	cmd := &dispatch.Command{
		ID: strconv.FormatUint(f.boot, 36) + "-" + strconv.FormatUint(f.ids.Add(1), 36), Class: class, Payload: x, Client: w, Deadline: within,
	}
	if p := f.pools.Load(); p != nil {
		if cmd.Candidates = p.Order(d.Pool, cmd.ID, pools.Criteria{Key: d.Key, Remote: remote}); cmd.Candidates == nil {
			return reply(nc, q, 502, nil, []byte("no such pool\n"), q.Close)
		} else if len(cmd.Candidates) == 0 {
			return reply(nc, q, 502, nil, []byte("no server of the pool is up\n"), q.Close)
		}
		if d.Tries > 0 && d.Tries < len(cmd.Candidates) {
			cmd.Candidates = cmd.Candidates[:d.Tries]
		}
		x.done = func(instance string, failed bool) {
			if instance == cmd.Candidates[0] {
				p.Done(d.Pool, cmd.ID, failed)
			}
		}
		defer p.Done(d.Pool, cmd.ID, false)
	}
	f.core.Submit(cmd)
	// A client that goes away while it waits is owed nothing more.
	gone := make(chan struct{})
	stop := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(stop)
		nc.SetReadDeadline(time.Time{})
		if _, err := br.Peek(1); err != nil && ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(gone)
		}
	}()
	defer func() {
		cancel()
		nc.SetReadDeadline(time.Unix(1, 0)) // wakes the look
		<-stop
	}()
	select {
	case a := <-w.answer:
		return f.relay(nc, q, a, x)
	case <-gone:
		f.core.ClientGone(cmd)
		return false
	}
}

// mayRepeat tells whether a method may be sent again where it is not known to have run.
func mayRepeat(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE":
		return true
	}
	return false
}

// The classes of a pool.
const (
	repeatable = "/repeat"
	once       = "/once"
)

// waiter is a command's client.
type waiter struct{ answer chan dispatch.Answer }

func (w *waiter) Answer(a dispatch.Answer) { w.answer <- a }
func (w *waiter) HandOver(bool)            {}

// relay hands an answer to the client.
func (f *Front) relay(nc net.Conn, q *http1.Request, a dispatch.Answer, x *Exchange) bool {
	switch a.Verdict {
	case dispatch.Served:
		p := a.Value.(*http1.Response)
		if q.Method == "HEAD" || p.Status == 304 {
			return replyHead(nc, p, q.Close)
		}
		return reply(nc, q, p.Status, onward(p.Header), p.Body, q.Close)
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

// answerHere gives the answer that the routes themselves have.
func answerHere(nc net.Conn, q *http1.Request, d routes.Decision) bool {
	switch {
	case d.Status == 444: // nginx's own: nothing is said
		return false
	case d.Status >= 300 && d.Status < 400 && d.Text != "":
		return reply(nc, q, d.Status, http1.Header{{Name: "Location", Value: clean(d.Text)}}, nil, q.Close)
	case d.Status < 200:
		return reply(nc, q, 500, nil, nil, q.Close)
	}
	text := d.Text
	if text == "" && d.Status >= 400 {
		text = fmt.Sprintf("%d\n", d.Status)
	}
	return reply(nc, q, d.Status, http1.Header{{Name: "Content-Type", Value: "text/plain"}}, []byte(text), q.Close)
}

// clean keeps a value from ending its line.
func clean(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return -1
		}
		return r
	}, s)
}

// replyHead writes an answer that has no body, with the length that the server gave for the one it would have.
func replyHead(nc net.Conn, p *http1.Response, end bool) bool {
	h := onward(p.Header)
	if end {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	text := http1.AppendResponse(nil, p.Status, h, nil)
	length := ""
	if n, err := strconv.ParseUint(p.Header.Get("Content-Length"), 10, 62); err == nil {
		length = fmt.Sprintf("Content-Length: %d\r\n", n)
	}
	text = bytes.Replace(text, []byte("Content-Length: 0\r\n"), []byte(length), 1)
	if nc.SetWriteDeadline(time.Now().Add(writePatience)) != nil {
		return false
	}
	_, err := nc.Write(text)
	return err == nil && !end
}

// reply writes an answer; false: the connection is to end.
func reply(nc net.Conn, q *http1.Request, status int, h http1.Header, body []byte, end bool) bool {
	if end {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	if nc.SetWriteDeadline(time.Now().Add(writePatience)) != nil {
		return false
	}
	text := http1.AppendResponse(nil, status, h, body)
	if q.Method == "HEAD" || status == 304 {
		text = text[:len(text)-len(body)]
	}
	_, err := nc.Write(text)
	return err == nil && !end
}
