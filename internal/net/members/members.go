// Package members speaks to other dispatchers: who lives, by memberlist's gossip, and what they tell each other of the
// worker list, in JSON by memberlist's messages. What is done about it package caperrelay/internal/members decides.
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
	tick        = 50 * time.Millisecond
	lookEvery   = 150 * time.Millisecond // who lives, while that changes
	seedEvery   = 2                      // of such calls, one goes to an address of the file: else islands stay apart
	joinFirst   = 200 * time.Millisecond // between whole exchanges while not all that the settings count are seen,
	joinMost    = 2 * time.Second        // twice as long for each that told nothing new
	openEvery   = 100 * time.Millisecond // while an older process has the address
	dialWithin  = 2 * time.Second
	mostSends   = 64      // of lists, at once; more are told again when no confirmation comes
	mostMessage = 4 << 20 // bytes
	mostName    = 256     // bytes of a dispatcher's
	mostSmall   = 1100    // bytes of a datagram, with memberlist's own
	gossipEvery = 100 * time.Millisecond
	// What a cut has swallowed of the others' states is made up for by whole exchanges; the library's own 30 s would
	// leave roles apart for that long.
	wholeEvery = 2 * time.Second
)

// Lists is where lists go and how the own watch is begun and ended.
type Lists interface {
	Watch(on bool)
	Take(dispatch.InstanceUpdate)
}

// Options of a dispatcher among others.
type Options struct {
	members.Config
	Listen string
	// Join is where others are found.
	Join []string
	// Through has the addresses at which named ones are reached from here, where theirs are not.
	Through map[string]string
	// Settings names the settings that are in force.
	Settings string
}

// Server is this dispatcher among others. It is safe for use by several goroutines.
type Server struct {
	o     Options
	lists Lists
	log   *slog.Logger
	dirty atomic.Bool // who lives
	sends chan struct{}

	mu     sync.Mutex
	state  *members.State
	list   *memberlist.Memberlist // nil: not in force
	nodes  map[string]*memberlist.Node
	watch  members.WatchStatus
	cancel context.CancelFunc // nil: closed
	metas  map[string]shown   // as last read

	joins, seen int
	joinWait    time.Duration
	joinAt      time.Time
	joinOn      bool

	counts struct{ told, asked, passed, garbage int64 }
}

// New returns a dispatcher that is among no others yet.
func New(o Options, lists Lists, logger *slog.Logger) *Server {
	return &Server{o: o, lists: lists, log: logger, sends: make(chan struct{}, mostSends)}
}

// Open begins: it listens at once, or as soon as the address is free, which an older process may still have. Where it
// listens at once, it is in force when Open returns.
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

// Close ends it. Others find out by themselves: the address may be the next process's already.
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

// InForce tells whether lists come by way of it.
func (s *Server) InForce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list != nil
}

// event does something to the state and then what that decided.
func (s *Server) event(f func(*members.State, time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		return
	}
	f(s.state, time.Now())
	s.act()
}

// Listed takes what the own watch tells.
func (s *Server) Listed(l dispatch.InstanceUpdate) {
	s.event(func(m *members.State, now time.Time) { m.WatchUpdate(now, l) })
}

// Alive takes that the own watch is on.
func (s *Server) Alive() { s.event(func(m *members.State, now time.Time) { m.WatchAlive(now) }) }

// Lost takes the end of the own watch.
func (s *Server) Lost() { s.event(func(m *members.State, now time.Time) { m.WatchLost(now) }) }

// Moved says that the list service is elsewhere from now on.
func (s *Server) Moved() { s.event(func(m *members.State, _ time.Time) { m.DiscoveryMoved() }) }

// Retune takes the name of the settings that are in force from now on.
func (s *Server) Retune(settings string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.o.Settings = settings; s.list != nil {
		go s.list.UpdateNode(dialWithin)
	}
}

// await opens as soon as the address is free, after a first try that failed or not; false: the context has ended.
func (s *Server) await(ctx context.Context, err error) bool {
	every := time.NewTicker(openEvery)
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

// run takes part until the context ends, after a first try to open.
func (s *Server) run(ctx context.Context, opened error) {
	if !s.await(ctx, opened) {
		return
	}
	s.lists.Watch(false) // what was begun alone; roles are taken from now on
	looked := time.Time{}
	for every := time.NewTicker(tick); ; {
		select {
		case <-ctx.Done():
			every.Stop()
			return
		case <-every.C:
		}
		s.event(func(m *members.State, now time.Time) {
			if now.Sub(looked) >= lookEvery && s.dirty.Swap(false) {
				looked = now
				m.SetPeers(now, s.living())
			}
			m.Tick(now)
			s.rejoin(now)
		})
	}
}

// open joins the others.
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
	c.Delegate, c.Events, c.TCPTimeout, c.GossipInterval = (*delegate)(s), (*delegate)(s), dialWithin, gossipEvery
	c.PushPullInterval, c.EnableCompression = wholeEvery, false // it would cost each of many datagrams
	c.Logger = log.New(lines{s.log}, "", 0)
	base, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: n, Logger: c.Logger})
	if err != nil {
		return err
	}
	c.Transport = &through{base, s.o.Through}
	list, err := memberlist.Create(c)
	if err != nil {
		base.Shutdown()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil { // closed meanwhile
		go list.Shutdown()
		return nil
	}
	s.list, s.state, s.nodes = list, members.New(s.o.Config, time.Now()), map[string]*memberlist.Node{}
	s.metas, s.joinAt, s.joinWait = map[string]shown{}, time.Time{}, joinFirst
	s.log.Info("among other dispatchers", "listen", s.o.Listen)
	return nil
}

// rejoin exchanges all that is known with one other, while not all dispatchers are seen: at the start, and once a cut
// has healed that lasted until both sides took each other for dead. Hundreds that start at once must not all call the
// few addresses in their files again and again: every second call goes to any that is seen.
func (s *Server) rejoin(now time.Time) {
	if len(s.o.Join) == 0 || len(s.nodes)+1 >= s.o.Expected || s.joinOn || now.Before(s.joinAt) {
		return
	}
	at := s.o.Join[rand.IntN(len(s.o.Join))]
	if names := slices.Collect(maps.Keys(s.nodes)); len(names) > 0 && s.joins%seedEvery != 0 {
		n := s.nodes[names[rand.IntN(len(names))]]
		at = n.Name + "/" + cmp.Or(s.o.Through[n.Name], n.Address())
	}
	s.joins++
	if s.joinWait = min(joinMost, 2*s.joinWait); len(s.nodes) != s.seen || len(s.nodes) == 0 {
		s.seen, s.joinWait = len(s.nodes), joinFirst
	}
	s.joinOn, s.joinAt = true, now.Add(s.joinWait/2+rand.N(s.joinWait))
	list := s.list
	go func() {
		list.Join([]string{at}) // whom it did not reach is called again
		s.mu.Lock()
		defer s.mu.Unlock()
		s.joinOn = false
	}()
}

// meta is what a dispatcher shows of itself to all.
type meta struct {
	Zone     string              `json:"z"`
	Settings string              `json:"s,omitempty"`
	Watch    members.WatchStatus `json:"w,omitempty"`
}

// shown is a dispatcher's meta, read.
type shown struct {
	text string
	peer members.Peer
}

// living is all others that live.
func (s *Server) living() (all []members.Peer) {
	s.nodes = map[string]*memberlist.Node{}
	for _, n := range s.list.Members() {
		if n.Name == s.o.Name {
			continue
		}
		m, ok := s.metas[n.Name]
		if !ok || m.text != string(n.Meta) {
			var read meta
			if json.Unmarshal(n.Meta, &read) != nil {
				continue
			}
			watch := min(max(read.Watch, members.NotWatching), members.Failing)
			m = shown{string(n.Meta), members.Peer{Name: n.Name, Zone: read.Zone, Settings: read.Settings, Watch: watch}}
			s.metas[n.Name] = m
		}
		s.nodes[n.Name] = n
		all = append(all, m.peer)
	}
	maps.DeleteFunc(s.metas, func(name string, _ shown) bool { return s.nodes[name] == nil })
	return all
}

// message is what goes between dispatchers: what is told, a confirmation, or neither, which asks for the whole list.
type message struct {
	Told   *members.Update     `json:"told,omitempty"`
	Source string              `json:"source,omitempty"`
	Mark   members.ListVersion `json:"mark"`
}

// act does what was decided.
func (s *Server) act() {
	for _, a := range s.state.Actions() {
		switch a := a.(type) {
		case members.Send:
			if !a.Heartbeat {
				s.counts.passed++
			}
			s.send(a.To, message{Told: &a.Update})
		case members.Ack:
			s.send(a.To, message{Source: a.Source, Mark: a.Version})
		case members.RequestList:
			s.counts.asked++
			s.send(a.To, message{})
		case members.SetWatch:
			s.lists.Watch(a.Watch)
		case members.ApplyList:
			s.lists.Take(a.InstanceUpdate)
		case members.ShowStatus:
			s.watch = a.Watch
			s.log.Info("members: list service", "watch", a.Watch.String())
			go s.list.UpdateNode(dialWithin)
		case members.LogLine:
			if a.Peer != "" {
				s.log.Warn("members: "+a.Text, "peer", a.Peer)
			} else {
				s.log.Warn("members: " + a.Text)
			}
		}
	}
}

// send sends a message: small ones as a datagram, whose loss is made up for by whoever waits for it.
func (s *Server) send(to string, m message) {
	node, list := s.nodes[to], s.list
	if node == nil {
		return
	}
	text, err := json.Marshal(m)
	text = append([]byte(s.o.Name+"\n"), text...)
	if err != nil || len(text) > mostMessage {
		s.log.Error("members: not sent", "bytes", len(text), "err", err)
		return
	}
	if len(text) <= mostSmall && (m.Told == nil || m.Told.Heartbeat) {
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

// received takes a message: its sender's name in a line of its own, so that what cannot be read has one too.
func (s *Server) received(text []byte) {
	var m message
	err := errors.New("a message of too many bytes")
	name, rest, _ := bytes.Cut(text, []byte("\n"))
	if len(text) <= mostMessage {
		err = json.Unmarshal(rest, &m)
	}
	from := string(name[:min(len(name), mostName)])
	s.event(func(state *members.State, now time.Time) {
		switch {
		case from == s.o.Name || s.nodes[from] == nil && err != nil:
			s.counts.garbage++
		case err != nil:
			s.counts.garbage++
			state.UnreadableMessage(now, from, fmt.Errorf("what it tells cannot be read (%w)", err))
		case m.Told != nil:
			s.counts.told++
			state.HandleUpdate(now, from, *m.Told)
		case m.Source != "":
			state.HandleAck(from, m.Source, m.Mark)
		default:
			state.ListRequested(now, from)
		}
	})
}

// View is how things stand, as JSON; "": it is not in force.
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

// Figures is what operators go by.
func (s *Server) Figures() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		return ""
	}
	v := s.state.View(time.Now())
	return fmt.Sprintf("proxy.members.peers=%d\nproxy.members.watches=%d\nproxy.members.term=%d\nproxy.members.revision=%d\nproxy.members.age_ms=%d\nproxy.members.told=%d\nproxy.members.asked=%d\nproxy.members.passed=%d\nproxy.members.garbage=%d\n",
		len(v.Peers), map[bool]int{true: 1}[s.watch == members.Watching], v.Term, v.Revision, v.Age.Milliseconds(), s.counts.told, s.counts.asked, s.counts.passed, s.counts.garbage)
}

// delegate is memberlist's side of a server. Some of its methods are called with memberlist's locks held.
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
func (d *delegate) NotifyJoin(*memberlist.Node)   { d.dirty.Store(true) }
func (d *delegate) NotifyLeave(*memberlist.Node)  { d.dirty.Store(true) }
func (d *delegate) NotifyUpdate(*memberlist.Node) { d.dirty.Store(true) }

// through reaches named ones at other addresses than their own.
type through struct {
	*memberlist.NetTransport
	at map[string]string
}

func (t *through) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = cmp.Or(t.at[a.Name], a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

func (t *through) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	a.Addr = cmp.Or(t.at[a.Name], a.Addr)
	return t.NetTransport.DialAddressTimeout(a, within)
}

// lines takes the library's log.
type lines struct{ *slog.Logger }

var _ io.Writer = lines{}

func (l lines) Write(text []byte) (int, error) {
	l.Debug("members: " + string(slices.DeleteFunc(slices.Clone(text), func(b byte) bool { return b == '\n' })))
	return len(text), nil
}
