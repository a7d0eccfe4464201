package link

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	pieceSize    = 16 << 10
	mostSessions = 4096 // senders of datagrams on one way; the oldest makes room
	dialPatience = 5 * time.Second
)

// Way is from one party to another.
type Way struct{ From, To string }

func (w Way) String() string { return w.From + ">" + w.To }

// Change is a line of the timeline.
type Change struct {
	At   time.Duration // since the network began
	Way  Way
	What string
}

// Net is a network of relays. It is safe for use by several goroutines.
type Net struct {
	seed  uint64
	began time.Time

	mu       sync.Mutex
	weather  map[Way]Weather
	changed  chan struct{} // closed at each change
	pairs    map[Way]map[*pair]struct{}
	ends     []io.Closer
	made     uint64
	timeline []Change
	watch    func(Way, []byte)
	closed   bool
	wg       sync.WaitGroup
}

// New returns a network whose random numbers follow from a seed.
func New(seed uint64) *Net {
	return &Net{seed: seed, began: time.Now(), weather: map[Way]Weather{}, changed: make(chan struct{}), pairs: map[Way]map[*pair]struct{}{}}
}

// Set gives a direction other weather, from now on.
func (n *Net) Set(w Way, weather Weather) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.weather[w] = weather
	n.note(w, fmt.Sprintf("%+v", weather))
	close(n.changed)
	n.changed = make(chan struct{})
}

// Watch has f see each piece of a stream before it passes, or waits where its way is cut by then.
func (n *Net) Watch(f func(w Way, piece []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch = f
}

// Cut cuts both directions between two groups of parties, or heals them.
func (n *Net) Cut(yes bool, a, b []string) {
	for _, x := range a {
		for _, y := range b {
			n.Set(Way{x, y}, Weather{Cut: yes})
			n.Set(Way{y, x}, Weather{Cut: yes})
		}
	}
}

// Reset breaks all connections that one party has opened to another, as a machine that is back does, and returns
// how many there were.
func (n *Net) Reset(w Way) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.pairs[w] {
		p.reset()
	}
	n.note(w, fmt.Sprintf("reset of %d connections", len(n.pairs[w])))
	return len(n.pairs[w])
}

// Open is how many connections one party has open to another.
func (n *Net) Open(w Way) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pairs[w])
}

func (n *Net) note(w Way, what string) {
	n.timeline = append(n.timeline, Change{time.Since(n.began), w, what})
}

// Timeline is what has been done so far, a line each.
func (n *Net) Timeline() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var s strings.Builder
	for _, c := range n.timeline {
		fmt.Fprintf(&s, "%8.3f s  %s  %s\n", c.At.Seconds(), c.Way, c.What)
	}
	return s.String()
}

// Close ends all relays.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	for _, e := range n.ends {
		e.Close()
	}
	for _, ps := range n.pairs {
		for p := range ps {
			p.reset()
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	n.wg.Wait()
}

// direction is a new one of a way, with random numbers of its own.
func (n *Net) direction(w Way) *direction {
	h := fnv.New64a()
	io.WriteString(h, w.String())
	n.made++
	return &direction{rng: rand.New(rand.NewPCG(n.seed^h.Sum64(), n.made))}
}

// at is the weather of a way now, and what is closed when any weather changes.
func (n *Net) at(w Way) (Weather, <-chan struct{}, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.weather[w], n.changed, n.closed
}

// TCP opens the address at which one party finds another, whose own is target.
func (n *Net) TCP(w Way, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.streams(w, target, l)
	return l.Addr().String(), nil
}

// Both opens one address for connections and datagrams.
func (n *Net) Both(w Way, target string) (string, error) {
	there, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return "", err
	}
	for tries := 0; ; tries++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		at := l.Addr().(*net.TCPAddr)
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
		if err == nil {
			n.streams(w, target, l)
			n.packets(w, there, u)
			return at.String(), nil
		}
		l.Close()
		if tries == mostTries { // the port is free for connections only
			return "", err
		}
	}
}

const mostTries = 20

// streams relays what connects to a listener.
func (n *Net) streams(w Way, target string, l net.Listener) {
	n.mu.Lock()
	n.ends = append(n.ends, l)
	if n.pairs[w] == nil {
		n.pairs[w] = map[*pair]struct{}{}
	}
	n.mu.Unlock()
	n.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { n.relay(w, target, c.(*net.TCPConn)) })
		}
	})
}

// pair is one connection through a relay: the caller's half, and the other once it is up.
type pair struct {
	mu    sync.Mutex
	ends  []*net.TCPConn
	over  chan struct{} // closed once it is reset
	ended bool
}

func (p *pair) join(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		p.ends = append(p.ends, c)
	}
	return !p.ended
}

// reset breaks both halves.
func (p *pair) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	close(p.over)
	for _, c := range p.ends {
		c.SetLinger(0)
		c.Close()
	}
}

func (n *Net) relay(w Way, target string, near *net.TCPConn) {
	p := &pair{ends: []*net.TCPConn{near}, over: make(chan struct{})}
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		near.Close()
		return
	}
	n.pairs[w][p] = struct{}{}
	there, back := n.direction(w), n.direction(Way{w.To, w.From})
	n.mu.Unlock()
	defer func() {
		p.reset()
		n.mu.Lock()
		delete(n.pairs[w], p)
		n.mu.Unlock()
	}()
	// While its direction is cut a connection does not come up. The caller's kernel has one all the same, which
	// stays silent: no relay without rights of its own can swallow the first packet.
	if !n.pass(w, p) {
		return
	}
	far, err := net.DialTimeout("tcp", target, dialPatience)
	if err != nil {
		return // as a reset: nobody is there
	}
	if !p.join(far.(*net.TCPConn)) {
		far.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { n.pump(w, p, there, near, far.(*net.TCPConn)) })
	both.Go(func() { n.pump(Way{w.To, w.From}, p, back, far.(*net.TCPConn), near) })
	both.Wait()
}

// pass waits until a direction is not cut; false: the connection has been reset, or the network has ended.
func (n *Net) pass(w Way, p *pair) bool {
	for {
		weather, changed, closed := n.at(w)
		if closed {
			return false
		}
		if !weather.Cut {
			return true
		}
		select {
		case <-changed:
		case <-p.over:
			return false
		}
	}
}

// pump carries one direction of a connection. Its end passes on as it came, behind all that was sent before.
func (n *Net) pump(w Way, p *pair, d *direction, from, to *net.TCPConn) {
	buf := make([]byte, pieceSize)
	for {
		size, err := from.Read(buf)
		weather, _, _ := n.at(w)
		timer := time.NewTimer(time.Until(d.piece(weather, time.Now(), size)))
		select {
		case <-timer.C:
		case <-p.over:
			timer.Stop()
			return
		}
		n.mu.Lock()
		watch := n.watch
		n.mu.Unlock()
		if watch != nil {
			watch(w, buf[:size])
		}
		if !n.pass(w, p) {
			return
		}
		if size > 0 {
			if _, werr := to.Write(buf[:size]); werr != nil {
				p.reset()
				return
			}
		}
		if err == io.EOF {
			to.CloseWrite()
			return
		} else if err != nil {
			p.reset()
			return
		}
	}
}

// UDP opens the address at which one party sends datagrams to another, whose own is target. Answers come back from
// the same address, by the weather of the way back.
func (n *Net) UDP(w Way, target string) (string, error) {
	there, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return "", err
	}
	l, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	n.packets(w, there, l)
	return l.LocalAddr().String(), nil
}

// packets relays the datagrams that come to a socket.
func (n *Net) packets(w Way, target *net.UDPAddr, l *net.UDPConn) {
	n.mu.Lock()
	n.ends = append(n.ends, l)
	out, back := n.direction(w), n.direction(Way{w.To, w.From})
	n.mu.Unlock()
	n.wg.Go(func() { n.datagrams(w, l, target, out, back) })
}

// session is one sender on a way.
type session struct {
	from string
	*net.UDPConn
}

func (n *Net) datagrams(w Way, l *net.UDPConn, target *net.UDPAddr, out, back *direction) {
	var sessions []session
	defer func() {
		for _, s := range sessions {
			s.Close()
		}
	}()
	var backs sync.Mutex // one direction for all that comes back
	buf := make([]byte, 64<<10)
	for {
		size, sender, err := l.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		from := sender.String()
		i := slices.IndexFunc(sessions, func(s session) bool { return s.from == from })
		if i < 0 {
			c, err := net.DialUDP("udp", nil, target)
			if err != nil {
				continue
			}
			if len(sessions) >= mostSessions {
				sessions[0].Close()
				sessions = slices.Delete(sessions, 0, 1)
			}
			i, sessions = len(sessions), append(sessions, session{from, c})
			n.wg.Go(func() {
				answer := make([]byte, 64<<10)
				for {
					size, err := c.Read(answer)
					if err != nil {
						return
					}
					backs.Lock()
					n.send(Way{w.To, w.From}, back, answer[:size], func(b []byte) { l.WriteToUDPAddrPort(b, sender) })
					backs.Unlock()
				}
			})
		}
		c := sessions[i]
		n.send(w, out, buf[:size], func(b []byte) { c.Write(b) })
	}
}

// send lets the copies of a datagram leave, each in its time.
func (n *Net) send(w Way, d *direction, datagram []byte, write func([]byte)) {
	weather, _, _ := n.at(w)
	now := time.Now()
	for _, at := range d.datagram(weather, now, len(datagram)) {
		if !at.After(now) {
			write(datagram)
			continue
		}
		b := slices.Clone(datagram)
		time.AfterFunc(at.Sub(now), func() { write(b) })
	}
}
