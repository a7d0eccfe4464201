// Package members exchanges the instance list with other dispatchers: memberlist's gossip finds the live ones, and
// memberlist's messages carry the updates as JSON. The decisions are in caperrelay/internal/members.
package members

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/members"
)

const (
	tick           = 50 * time.Millisecond
	peerScanEvery  = 150 * time.Millisecond // between updates of the live peers, while they change
	seedEvery      = 2                      // every second join goes to a configured address: otherwise separate clusters would never merge
	joinMinPause   = 200 * time.Millisecond // between joins while fewer peers are known than the settings expect;
	joinMaxPause   = 2 * time.Second        // doubles with each join that found no new peer
	openRetryEvery = 100 * time.Millisecond // while an older process holds the address
	dialTimeout    = 2 * time.Second
	maxSends       = 64      // of lists in parallel; further ones are dropped and sent again when no ack arrives
	maxMessage     = 4 << 20 // bytes
	maxName        = 256     // bytes of a dispatcher's name
	maxDatagram    = 1100    // bytes of a datagram, including memberlist's own
	gossipEvery    = 100 * time.Millisecond
	// Full exchanges repair the peers' states that were lost during a partition; with the library's default of 30 s the
	// roles would stay inconsistent for that long.
	pushPullEvery = 2 * time.Second
)

// ListControl receives instance lists and starts and stops this dispatcher's own watch.
type ListControl interface {
	Watch(on bool)
	ApplyList(dispatch.InstanceUpdate)
}

// Options of a server.
type Options struct {
	members.Config
	Listen string
	// Join lists the addresses of other dispatchers.
	Join []string
	// Through maps names of dispatchers to the addresses at which they are reached from here, if these differ from their
	// own.
	Through map[string]string
	// Settings identifies the current settings.
	Settings string
}

// Server is this dispatcher as a member of the cluster. It is safe for concurrent use.
type Server struct {
	o            Options
	lists        ListControl
	log          *slog.Logger
	peersChanged atomic.Bool // the live peers may have changed
	sends        chan struct{}

	mu       sync.Mutex
	state    *members.State
	list     *memberlist.Memberlist // nil: not active
	nodes    map[string]*memberlist.Node
	watch    members.WatchStatus
	cancel   context.CancelFunc    // nil: stopped
	peerMeta map[string]parsedMeta // parsed metadata, by name of the peer

	joins, seenAtJoin int
	joinWait          time.Duration
	joinAt            time.Time
	joining           bool

	counts struct{ received, requested, forwarded, unreadable int64 }
}

// New returns a server that has not joined yet.
func New(o Options, lists ListControl, logger *slog.Logger) *Server {
	return &Server{o: o, lists: lists, log: logger, sends: make(chan struct{}, maxSends)}
}

// Open starts the server: it listens at once, or as soon as an older process has released the address. If it listens
// at once, it supplies the instance lists when Open returns.
func (s *Server) Open(ctx context.Context) {
	s.mu.Lock()
	if s.cancel != nil {
		s.mu.Unlock()
		return
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.mu.Unlock()
	err := s.open(ctx)
	go s.run(ctx, err)
}

// Close stops the server without a leave message, since the next process may already have the address. Peers detect
// that this one is gone.
func (s *Server) Close() {
	s.mu.Lock()
	cancel, list := s.cancel, s.list
	s.cancel, s.list = nil, nil
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if list != nil {
		list.Shutdown()
	}
}

// InForce reports whether instance lists come from this server.
func (s *Server) InForce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list != nil
}

// event applies a change to the state and carries out the resulting actions.
func (s *Server) event(f func(*members.State, time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		return
	}
	f(s.state, time.Now())
	s.runActions()
}

// Listed handles an update from this dispatcher's own watch.
func (s *Server) Listed(l dispatch.InstanceUpdate) {
	s.event(func(m *members.State, now time.Time) { m.WatchUpdate(now, l) })
}

// Alive records that the own watch is up.
func (s *Server) Alive() { s.event(func(m *members.State, now time.Time) { m.WatchAlive(now) }) }

// Lost records that the own watch has ended.
func (s *Server) Lost() { s.event(func(m *members.State, now time.Time) { m.WatchLost(now) }) }

// Moved records that discovery has another address.
func (s *Server) Moved() { s.event(func(m *members.State, _ time.Time) { m.DiscoveryMoved() }) }

// Retune replaces the identifier of the current settings.
func (s *Server) Retune(settings string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.o.Settings = settings; s.list != nil {
		go s.list.UpdateNode(dialTimeout)
	}
}

// openWhenFree opens the server as soon as the address is free; err is the result of the first attempt. It returns
// false if the context has ended.
func (s *Server) openWhenFree(ctx context.Context, err error) bool {
	every := time.NewTicker(openRetryEvery)
	defer every.Stop()
	for ; err != nil; err = s.open(ctx) {
		s.log.Debug("members: address not free", "listen", s.o.Listen, "err", err)
		select {
		case <-ctx.Done():
			return false
		case <-every.C:
		}
	}
	return ctx.Err() == nil
}

// run is the server's loop; opened is the result of the first attempt to open.
func (s *Server) run(ctx context.Context, opened error) {
	if !s.openWhenFree(ctx, opened) {
		return
	}
	s.lists.Watch(false) // stops the watch started without peers; from now on it follows the role
	scanned := time.Time{}
	for every := time.NewTicker(tick); ; {
		select {
		case <-ctx.Done():
			every.Stop()
			return
		case <-every.C:
		}
		s.event(func(m *members.State, now time.Time) {
			if now.Sub(scanned) >= peerScanEvery && s.peersChanged.Swap(false) {
				scanned = now
				m.SetPeers(now, s.livingPeers())
			}
			m.Tick(now)
			s.rejoin(now)
		})
	}
}

// open starts memberlist.
func (s *Server) open(ctx context.Context) error {
	host, port, err := net.SplitHostPort(s.o.Listen)
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = s.o.Name, host, n, host, n
	c.Delegate, c.Events, c.TCPTimeout, c.GossipInterval = (*delegate)(s), (*delegate)(s), dialTimeout, gossipEvery
	c.PushPullInterval, c.EnableCompression = pushPullEvery, false // compression would cost time for each of many datagrams
	c.Logger = log.New(logWriter{s.log}, "", 0)
	base, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: n, Logger: c.Logger})
	if err != nil {
		return err
	}
	c.Transport = &mappedTransport{base, s.o.Through}
	list, err := memberlist.Create(c)
	if err != nil {
		base.Shutdown()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil { // closed in the meantime
		go list.Shutdown()
		return nil
	}
	s.list, s.state, s.nodes = list, members.New(s.o.Config, time.Now()), map[string]*memberlist.Node{}
	s.peerMeta, s.joinAt, s.joinWait = map[string]parsedMeta{}, time.Time{}, joinMinPause
	s.log.Info("members: listening", "listen", s.o.Listen)
	return nil
}

// rejoin does a full exchange with one peer while fewer dispatchers are known than expected: at the start, and after
// a partition that lasted until both sides declared each other dead. If hundreds start together, they must not all
// call the few configured addresses repeatedly, so every second join goes to any known peer.
func (s *Server) rejoin(now time.Time) {
	if len(s.o.Join) == 0 || len(s.nodes)+1 >= s.o.Expected || s.joining || now.Before(s.joinAt) {
		return
	}
	at := s.o.Join[rand.IntN(len(s.o.Join))]
	if names := slices.Collect(maps.Keys(s.nodes)); len(names) > 0 && s.joins%seedEvery != 0 {
		n := s.nodes[names[rand.IntN(len(names))]]
		at = n.Name + "/" + cmp.Or(s.o.Through[n.Name], n.Address())
	}
	s.joins++
	if s.joinWait = min(joinMaxPause, 2*s.joinWait); len(s.nodes) != s.seenAtJoin || len(s.nodes) == 0 {
		s.seenAtJoin, s.joinWait = len(s.nodes), joinMinPause
	}
	s.joining, s.joinAt = true, now.Add(s.joinWait/2+rand.N(s.joinWait))
	list := s.list
	go func() {
		list.Join([]string{at}) // a failed join is repeated later
		s.mu.Lock()
		defer s.mu.Unlock()
		s.joining = false
	}()
}

// meta is the metadata that a dispatcher publishes to all others.
type meta struct {
	Zone     string              `json:"z"`
	Settings string              `json:"s,omitempty"`
	Watch    members.WatchStatus `json:"w,omitempty"`
}

// parsedMeta is the parsed metadata of a peer.
type parsedMeta struct {
	text string
	peer members.Peer
}

// livingPeers returns all other live dispatchers.
func (s *Server) livingPeers() (all []members.Peer) {
	s.nodes = map[string]*memberlist.Node{}
	for _, n := range s.list.Members() {
		if n.Name == s.o.Name {
			continue
		}
		m, ok := s.peerMeta[n.Name]
		if !ok || m.text != string(n.Meta) {
			var read meta
			if json.Unmarshal(n.Meta, &read) != nil {
				continue
			}
			watch := min(max(read.Watch, members.NotWatching), members.Failing)
			m = parsedMeta{string(n.Meta), members.Peer{Name: n.Name, Zone: read.Zone, Settings: read.Settings, Watch: watch}}
			s.peerMeta[n.Name] = m
		}
		s.nodes[n.Name] = n
		all = append(all, m.peer)
	}
	maps.DeleteFunc(s.peerMeta, func(name string, _ parsedMeta) bool { return s.nodes[name] == nil })
	return all
}

// message is a message between dispatchers: an update, an acknowledgement (Source is set), or neither, which
// requests the whole list.
type message struct {
	Update  *members.Update     `json:"told,omitempty"`
	Source  string              `json:"source,omitempty"`
	Version members.ListVersion `json:"mark"`
}

// runActions carries out the state's actions.
func (s *Server) runActions() {
	for _, a := range s.state.Actions() {
		switch a := a.(type) {
		case members.Send:
			if !a.Heartbeat {
				s.counts.forwarded++
			}
			s.send(a.To, message{Update: &a.Update})
		case members.Ack:
			s.send(a.To, message{Source: a.Source, Version: a.Version})
		case members.RequestList:
			s.counts.requested++
			s.send(a.To, message{})
		case members.SetWatch:
			s.lists.Watch(a.Watch)
		case members.ApplyList:
			s.lists.ApplyList(a.InstanceUpdate)
		case members.ShowStatus:
			s.watch = a.Watch
			s.log.Info("members: discovery", "watch", a.Watch.String())
			go s.list.UpdateNode(dialTimeout)
		case members.LogLine:
			if a.Peer != "" {
				s.log.Warn("members: "+a.Text, "peer", a.Peer)
			} else {
				s.log.Warn("members: " + a.Text)
			}
		}
	}
}

// send sends a message, a small one without instances as a datagram: if that is lost, the state machine repeats it.
func (s *Server) send(to string, m message) {
	node, list := s.nodes[to], s.list
	if node == nil {
		return
	}
	text, err := json.Marshal(m)
	text = append([]byte(s.o.Name+"\n"), text...)
	if err != nil || len(text) > maxMessage {
		s.log.Error("members: message not sent", "bytes", len(text), "err", err)
		return
	}
	if len(text) <= maxDatagram && (m.Update == nil || m.Update.Heartbeat) {
		list.SendBestEffort(node, text)
		return
	}
	select {
	case s.sends <- struct{}{}:
	default:
		return
	}
	go func() {
		err := list.SendReliable(node, text)
		if <-s.sends; err != nil {
			s.event(func(m *members.State, now time.Time) { m.SendFailed(now, to) })
		}
	}()
}

// received handles a message. The sender's name comes first, in a line of its own, so that it is known even if the
// rest cannot be parsed.
func (s *Server) received(text []byte) {
	var m message
	err := errors.New("message too large")
	name, rest, _ := bytes.Cut(text, []byte("\n"))
	if len(text) <= maxMessage {
		err = json.Unmarshal(rest, &m)
	}
	from := string(name[:min(len(name), maxName)])
	s.event(func(state *members.State, now time.Time) {
		switch {
		case from == s.o.Name || s.nodes[from] == nil && err != nil:
			s.counts.unreadable++
		case err != nil:
			s.counts.unreadable++
			state.UnreadableMessage(now, from, fmt.Errorf("unreadable message: %w", err))
		case m.Update != nil:
			s.counts.received++
			state.HandleUpdate(now, from, *m.Update)
		case m.Source != "":
			state.HandleAck(from, m.Source, m.Version)
		default:
			state.ListRequested(now, from)
		}
	})
}

// View returns the state as JSON, or "" if the server is not active.
func (s *Server) View() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		return ""
	}
	text, err := json.Marshal(s.state.View(time.Now()))
	if err != nil {
		return ""
	}
	return string(text)
}

// Figures returns the counters, one a line.
func (s *Server) Figures() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		return ""
	}
	v := s.state.View(time.Now())
	return fmt.Sprintf("proxy.members.peers=%d\nproxy.members.watches=%d\nproxy.members.term=%d\nproxy.members.revision=%d\nproxy.members.age_ms=%d\nproxy.members.told=%d\nproxy.members.asked=%d\nproxy.members.passed=%d\nproxy.members.garbage=%d\n",
		len(v.Peers), map[bool]int{true: 1}[s.watch == members.Watching], v.Term, v.Revision, v.Age.Milliseconds(), s.counts.received, s.counts.requested, s.counts.forwarded, s.counts.unreadable)
}

// delegate implements memberlist's callbacks. Some are called with memberlist's locks held.
type delegate Server

func (d *delegate) NodeMeta(limit int) []byte {
	s := (*Server)(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err := json.Marshal(meta{Zone: s.o.Zone, Settings: s.o.Settings, Watch: s.watch})
	if err != nil || len(text) > limit {
		return nil
	}
	return text
}

func (d *delegate) NotifyMsg(text []byte)         { (*Server)(d).received(slices.Clone(text)) }
func (*delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (*delegate) LocalState(bool) []byte          { return nil }
func (*delegate) MergeRemoteState([]byte, bool)   {}
func (d *delegate) NotifyJoin(*memberlist.Node)   { d.peersChanged.Store(true) }
func (d *delegate) NotifyLeave(*memberlist.Node)  { d.peersChanged.Store(true) }
func (d *delegate) NotifyUpdate(*memberlist.Node) { d.peersChanged.Store(true) }

// mappedTransport reaches named peers at configured addresses instead of their own.
type mappedTransport struct {
	*memberlist.NetTransport
	addresses map[string]string
}

func (t *mappedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = cmp.Or(t.addresses[a.Name], a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

func (t *mappedTransport) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	a.Addr = cmp.Or(t.addresses[a.Name], a.Addr)
	return t.NetTransport.DialAddressTimeout(a, within)
}

// logWriter forwards the library's log.
type logWriter struct{ *slog.Logger }

var _ io.Writer = logWriter{}

func (l logWriter) Write(text []byte) (int, error) {
	l.Debug("members: " + string(slices.DeleteFunc(slices.Clone(text), func(b byte) bool { return b == '\n' })))
	return len(text), nil
}
