package daemon

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	linePatience = 20 * time.Millisecond // with whoever reads the log, once until it has caught up
	mostLines    = 1024                  // that wait for it; the next are lost, and how many is told
)

// lines hands a log's lines to a reader that may stand still, without waiting for it: the log is a pipe where another
// program keeps it, and one line in a full pipe held up everything, the operators' answers first.
type lines struct {
	to     io.Writer
	queue  chan line
	behind atomic.Bool // nobody waits until all is written
	lost   atomic.Int64
}

type line struct {
	text    []byte
	written chan struct{} // closed once it is
}

func newLines(to io.Writer) *lines {
	l := &lines{to: to, queue: make(chan line, mostLines)}
	go l.run()
	return l
}

// Write never fails. A line is written when it returns, unless the reader is behind.
func (l *lines) Write(text []byte) (int, error) {
	next := line{bytes.Clone(text), make(chan struct{})}
	select {
	case l.queue <- next:
	default:
		l.lost.Add(1)
		return len(text), nil
	}
	if !l.behind.Load() {
		select {
		case <-next.written:
		case <-time.After(linePatience):
			l.behind.Store(true)
		}
	}
	return len(text), nil
}

func (l *lines) run() {
	for next := range l.queue {
		l.to.Write(next.text) // whom could a fault be told?
		close(next.written)
		if len(l.queue) == 0 {
			l.behind.Store(false)
		}
		if n := l.lost.Swap(0); n > 0 {
			fmt.Fprintf(l.to, "winglb: %d lines of the log are lost: nobody read it\n", n)
		}
	}
}
