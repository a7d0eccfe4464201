package load

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"caperrelay/internal/net/http1"
)

// HTTP sends jobs to a dispatcher by the platform's protocol, as its clients do: kept connections, one
// request at a time on each.
type HTTP struct {
	Address func() string

	mu    sync.Mutex
	idle  []net.Conn
	dials int
}

// Dials is how many connections were opened.
func (h *HTTP) Dials() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dials
}

// Close closes the kept connections.
func (h *HTTP) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.idle {
		c.Close()
	}
	h.idle = nil
}

func (h *HTTP) conn(ctx context.Context) (net.Conn, bool, error) {
	h.mu.Lock()
	if n := len(h.idle); n > 0 {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		h.mu.Unlock()
		return c, true, nil
	}
	h.dials++
	h.mu.Unlock()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", h.Address())
	return c, false, err
}

// Do sends one job and waits for its answer. Where a kept connection closed before the request was read it
// is sent once more, as the protocol has it.
func (h *HTTP) Do(ctx context.Context, a Arrival) (Verdict, error) {
	for {
		c, kept, err := h.conn(ctx)
		if err != nil {
			return Failed, err
		}
		p, err := h.ask(ctx, c, a)
		if err != nil {
			c.Close()
			if kept && ctx.Err() == nil {
				continue
			}
			return Failed, err
		}
		if p.Close {
			c.Close()
		} else {
			h.mu.Lock()
			h.idle = append(h.idle, c)
			h.mu.Unlock()
		}
		switch p.Status {
		case 200:
			return Served, nil
		case 429, 503:
			return Refused, nil
		}
		return Failed, fmt.Errorf("status %d", p.Status)
	}
}

func (h *HTTP) ask(ctx context.Context, c net.Conn, a Arrival) (*http1.Response, error) {
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })()
	once := ""
	if a.Once {
		once = "&once=1"
	}
	target := fmt.Sprintf("/api?work_us=%d&class=%s%s", a.Work.Microseconds(), a.Class, once)
	left := max(1, time.Until(deadline).Milliseconds())
	head := http1.Header{
		{Name: "Host", Value: "backend.local"}, {Name: "X-Correlation-Id", Value: a.ID}, {Name: "X-Service-Class", Value: a.Class},
		{Name: "X-Account", Value: a.Tenant}, {Name: "X-Time-Left", Value: fmt.Sprintf("%dm", left)},
	}
	if _, err := c.Write(http1.AppendRequest(nil, "POST", target, head, []byte("work"))); err != nil {
		return nil, err
	}
	return http1.ReadResponse(bufio.NewReaderSize(c, http1.MaxLine), "POST")
}
