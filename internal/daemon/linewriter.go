package daemon

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	writeTimeout = 20 * time.Millisecond // for the reader of the log; waited once until the reader has caught up
	maxQueued    = 1024                  // queued lines; further ones are dropped, and their number is logged
)

// lineWriter writes log lines through a queue, so that a stalled reader of the log does not block the program. The log may be
// a pipe to another program, and one write to a full pipe blocked everything, the operators' answers first.
type lineWriter struct {
	out     io.Writer
	queue   chan logLine
	behind  atomic.Bool // Write does not wait until the queue is empty
	dropped atomic.Int64
}

type logLine struct {
	text    []byte
	written chan struct{} // closed once the line is written
}

func newLineWriter(to io.Writer) *lineWriter {
	l := &lineWriter{out: to, queue: make(chan logLine, maxQueued)}
	go l.run()
	return l
}

// Write never fails. The line is written when Write returns, unless the reader is behind.
func (l *lineWriter) Write(text []byte) (int, error) {
	next := logLine{bytes.Clone(text), make(chan struct{})}
	select {
	case l.queue <- next:
	default:
		l.dropped.Add(1)
		return len(text), nil
	}
	if !l.behind.Load() {
		select {
		case <-next.written:
		case <-time.After(writeTimeout):
			l.behind.Store(true)
		}
	}
	return len(text), nil
}

func (l *lineWriter) run() {
	for next := range l.queue {
		l.out.Write(next.text) // an error cannot be reported anywhere
		close(next.written)
		if len(l.queue) == 0 {
			l.behind.Store(false)
		}
		if n := l.dropped.Swap(0); n > 0 {
			fmt.Fprintf(l.out, "winglb: %d lines of the log are lost: nobody read it\n", n)
		}
	}
}
