package listservice

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"caperrelay/internal/net/http1"
)

const beat = 500 * time.Millisecond // of a watch while nothing changes

// Service is the service on sockets. Each caller has an address of its own, so that the ledger tells them apart.
type Service struct {
	mu      sync.Mutex
	queue   Queue
	down    bool
	lists   map[string]func() []byte // by caller: a list may differ from one to the next
	differ  map[string]func([]byte) []byte
	told    map[string]time.Time // when a caller first had its list since Begin
	calls   map[string]int
	began   time.Time
	woken   chan struct{} // closed when lists change
	doors   []net.Listener
	conns   map[net.Conn]struct{}
	watches int
	closed  bool
	wg      sync.WaitGroup
}

// New returns a service of a capacity, as the work that a call costs, and a patience.
func New(work, patience time.Duration) *Service {
	return &Service{
		queue: Queue{Work: work, Patience: patience}, lists: map[string]func() []byte{}, differ: map[string]func([]byte) []byte{}, told: map[string]time.Time{}, calls: map[string]int{},
		woken: make(chan struct{}), conns: map[net.Conn]struct{}{}, began: time.Now(),
	}
}

// Door opens the address at which a caller finds the service. list is what it is told: one JSON object.
func (s *Service) Door(caller string, list func() []byte) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.lists[caller] = list
	s.doors = append(s.doors, l)
	s.mu.Unlock()
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { s.serve(caller, c) })
		}
	})
	return l.Addr().String(), nil
}

// Differ has a caller told another list than its own from now on, made of what it would be told; nil: its own again.
func (s *Service) Differ(caller string, other func([]byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.differ[caller] = other
}

// Begin begins the ledger anew.
func (s *Service) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Ledger, s.began = Ledger{}, time.Now()
	clear(s.told)
	clear(s.calls)
}

// Capacity changes what a call costs.
func (s *Service) Capacity(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Work = work
}

// Down has the service die, with its watches and all that waits, or come back.
func (s *Service) Down(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down = yes; yes {
		s.queue.Forget(time.Now())
		for c := range s.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// Changed tells all watches the lists anew.
func (s *Service) Changed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.woken)
	s.woken = make(chan struct{})
}

// Ledger is what the service has seen since Begin.
func (s *Service) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Ledger
}

// Told is how many callers have had their list since Begin, and how long the last of them took.
func (s *Service) Told() (n int, last time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.told {
		last = max(last, at.Sub(s.began))
	}
	return len(s.told), last
}

// Watches is how many are open.
func (s *Service) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// CallsOf is how often a caller has called since Begin.
func (s *Service) CallsOf(caller string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[caller]
}

// Close ends the service.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Down(true)
	s.mu.Lock()
	for _, l := range s.doors {
		l.Close()
	}
	close(s.woken)
	s.woken = make(chan struct{})
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Service) serve(caller string, c net.Conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	closed := s.closed
	s.mu.Unlock()
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	if closed { // it came while the service ended
		return
	}
	br := bufio.NewReaderSize(c, http1.MaxLine)
	q, err := http1.ReadRequest(br, nil)
	if err != nil || !strings.HasPrefix(q.Target, "/catalog/members") {
		return
	}
	s.mu.Lock()
	s.calls[caller]++
	if s.down {
		s.queue.Refuse()
		s.mu.Unlock()
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	at, ok := s.queue.Arrive(time.Now())
	s.mu.Unlock()
	time.Sleep(time.Until(at))
	if !ok {
		c.Write(http1.AppendResponse(nil, 503, nil, nil))
		return
	}
	s.watch(caller, c)
}

func (s *Service) watch(caller string, c net.Conn) {
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watches--
		s.mu.Unlock()
	}()
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for fresh := true; ; {
		s.mu.Lock()
		woken, closed, list, differ := s.woken, s.closed, s.lists[caller], s.differ[caller]
		s.mu.Unlock()
		var text []byte
		if fresh {
			if text = list(); differ != nil {
				text = differ(text)
			}
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text); err != nil || closed {
			return
		}
		s.mu.Lock()
		if _, before := s.told[caller]; fresh && !before {
			s.told[caller] = time.Now()
		}
		s.mu.Unlock()
		select {
		case <-woken:
			fresh = true
		case <-tick.C:
			fresh = false
		}
	}
}
