// Package readahead reads what a peer sends behind a request that is still being processed. The end of a connection follows
// all bytes sent before it, so a disconnect is noticed only by reading these. What is kept and what is read is bounded, on
// each connection and over all.
package readahead

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"

	"caperrelay/internal/net/http1"
	"caperrelay/internal/net/sock"
)

// Bounds of what a peer may send behind a request.
const (
	MaxBuffered  = http1.MaxBody // bytes that are kept
	MaxDiscarded = 1 << 20       // bytes that are read and discarded beyond that
)

// ErrGone reports that the peer has disconnected.
var ErrGone = errors.New("client has disconnected")

// ErrFlood reports that the peer has sent more than is read to notice a disconnect.
var ErrFlood = errors.New("too many bytes after a request")

// Budget bounds the memory by which the buffers of many connections have grown. It is safe for concurrent use.
type Budget struct{ free atomic.Int64 }

// NewBudget returns a budget of that many bytes.
func NewBudget(size int) *Budget {
	b := &Budget{}
	b.free.Store(int64(size))
	return b
}

// take takes n bytes; false: there are not as many left.
func (b *Budget) take(n int) bool {
	if b.free.Add(-int64(n)) >= 0 {
		return true
	}
	b.free.Add(int64(n))
	return false
}

// force takes n bytes even if there are not as many left.
func (b *Budget) force(n int) { b.free.Add(-int64(n)) }

func (b *Budget) give(n int) { b.free.Add(int64(n)) }

// Reader is a connection's buffered reader. Only Discarded may be called by other goroutines than the one that reads.
type Reader struct {
	*bufio.Reader
	conn      net.Conn
	budget    *Budget
	taken     int // bytes of the budget
	discarded atomic.Int64
	onDiscard func()
}

// New returns a reader of a connection that begins with the bytes that were received on it before. onDiscard is called
// before bytes are discarded for the first time, and may be nil.
func New(conn net.Conn, received []byte, budget *Budget, onDiscard func()) *Reader {
	r := &Reader{conn: conn, budget: budget, onDiscard: onDiscard}
	size := max(http1.MaxLine, len(received))
	if r.taken = size - http1.MaxLine; r.taken > 0 {
		budget.force(r.taken) // the bytes are there already
	}
	r.setBuffer(received, size)
	return r
}

// prefixed reads bytes that were received before, then the connection.
type prefixed struct {
	received []byte
	conn     net.Conn
}

func (p *prefixed) Read(b []byte) (int, error) {
	if len(p.received) == 0 {
		return p.conn.Read(b)
	}
	n := copy(b, p.received)
	if p.received = p.received[n:]; len(p.received) == 0 {
		p.received = nil // frees its memory
	}
	return n, nil
}

// setBuffer sets a buffer of the given size that holds the received bytes.
func (r *Reader) setBuffer(received []byte, size int) {
	r.Reader = bufio.NewReaderSize(&prefixed{received, r.conn}, size)
	r.Peek(len(received))
}

// Unread returns the bytes that are buffered. They are valid until the next read.
func (r *Reader) Unread() []byte {
	unread, _ := r.Peek(r.Buffered())
	return unread
}

// Discarded returns how many bytes were read and discarded; after that no further request can be read.
func (r *Reader) Discarded() int { return int(r.discarded.Load()) }

// Yield lets other connections' goroutines run if more has been received: a peer that sends without pause would otherwise
// have its goroutine run on, each time until it is preempted.
func (r *Reader) Yield() {
	if r.Buffered() > 0 {
		runtime.Gosched()
	}
}

// Shrink gives a buffer that has grown back, if what it holds fits into one of the usual size.
func (r *Reader) Shrink() {
	if r.taken > 0 && r.Buffered() <= http1.MaxLine {
		r.setBuffer(bytes.Clone(r.Unread()), http1.MaxLine)
		r.Release()
	}
}

// Release returns what was taken from the budget. It is called once the buffer is no longer used.
func (r *Reader) Release() {
	if r.taken > 0 {
		r.budget.give(r.taken)
		r.taken = 0
	}
}

// CheckPeer checks, without waiting, that the peer is still connected. It returns ErrGone or ErrFlood otherwise. The read
// deadline must not have passed.
func (r *Reader) CheckPeer() error {
	for sock.Peek(r.conn) == sock.Data {
		if err := r.readMore(); err != nil {
			return err
		}
	}
	if sock.Peek(r.conn) == sock.Closed {
		return ErrGone
	}
	return nil
}

// WatchPeer waits until the read deadline, for which it returns nil, or the end of the connection, for which it returns
// ErrGone or ErrFlood.
func (r *Reader) WatchPeer() error {
	for {
		if err := r.readMore(); errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// readMore waits for more bytes. It buffers them as long as there is room, and discards further ones.
func (r *Reader) readMore() error {
	_, err := r.Peek(r.Buffered() + 1)
	switch size := r.Size(); {
	case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case !errors.Is(err, bufio.ErrBufferFull):
		return ErrGone
	case size < MaxBuffered && r.budget.take(size):
		r.taken += size
		r.setBuffer(bytes.Clone(r.Unread()), 2*size)
		return nil
	}
	return r.discard()
}

// discard reads and discards bytes once the buffer is full. The amount is bounded, since a peer could otherwise cause any
// amount of work.
func (r *Reader) discard() error {
	if r.Discarded() >= MaxDiscarded {
		return ErrFlood
	}
	if r.discarded.Load() == 0 && r.onDiscard != nil {
		r.onDiscard()
	}
	n, err := DiscardSome(r.conn, MaxDiscarded-r.Discarded())
	r.discarded.Add(int64(n))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrGone
	}
	return err
}

// Sizes of the buffers that bytes are discarded with.
const (
	waitBufferSize = 512 // while waiting, since most peers send nothing more
	bulkBufferSize = 32 << 10
)

var bulkBuffers = sync.Pool{New: func() any { return new([bulkBufferSize]byte) }}

// DiscardSome waits for bytes of a peer, discards them and further ones that have arrived, and returns their number: about
// limit at most. A peer that sends much costs few calls, one that sends nothing little memory.
func DiscardSome(c net.Conn, limit int) (int, error) {
	var buf [waitBufferSize]byte
	n, err := c.Read(buf[:])
	if n < len(buf) || n >= limit || err != nil || sock.Peek(c) != sock.Data {
		return n, err
	}
	bulk := bulkBuffers.Get().(*[bulkBufferSize]byte)
	defer bulkBuffers.Put(bulk)
	more, err := c.Read(bulk[:min(len(bulk), limit-n)])
	return n + more, err
}
