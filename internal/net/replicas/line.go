package replicas

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	replicav1 "caperrelay/proto/winglb/replica/v1"

	"caperrelay/internal/replica"
)

const (
	mostPackets   = 4096 // of groups, that wait for a line
	mostBytes     = 128 << 20
	mostForwards  = 1024      // proposals under way on a line
	mostAnswers   = 1024      // that wait for the other's line
	pieceSize     = 256 << 10 // of a message, and of what is told at once
	mostAssembled = 80 << 20  // bytes of one message in pieces
	silentFor     = 3 * time.Second
	callWithin    = time.Second
	redialFirst   = 50 * time.Millisecond
	redialMost    = time.Second
)

// line is to another daemon: what waits to be told, and the stream on which it is.
type line struct {
	s        *Server
	name, at string
	wake     chan struct{}
	heard    atomic.Int64 // when the other last confirmed

	mu       sync.Mutex
	packets  []envelope
	bytes    int
	beaten   *replicav1.Beat
	pair     *replicav1.Pair
	calms    []*replicav1.Calm
	told     *replicav1.Found
	outgoing []*replicav1.Proposal
	number   uint64
	forwards map[uint64]forward
	up       bool
}

// forward is a proposal that was passed on.
type forward struct {
	group uint32
	done  func([]byte, error)
}

type envelope struct {
	group uint32
	m     *pb.Message
	size  int
}

func newLine(s *Server, name, at string) *line {
	return &line{s: s, name: name, at: at, wake: make(chan struct{}, 1), forwards: map[uint64]forward{}}
}

func (l *line) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// send queues a group's message; the library makes up for one that is dropped.
func (l *line) send(group uint32, m *pb.Message) {
	size := proto.Size(m)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up || len(l.packets) >= mostPackets || l.bytes+size > mostBytes {
		l.s.counts.dropped++
		return
	}
	l.packets = append(l.packets, envelope{group, m, size})
	l.bytes += size
	l.rouse()
}

// beat has the latest one told.
func (l *line) beat(b *replicav1.Beat, p replica.Pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.beaten; o != nil && (o.Full && !b.Full || o.Led && !b.Led) { // what only the one before tells is not to be lost
		b = proto.Clone(b).(*replicav1.Beat)
		if !b.Full {
			b.Full, b.Known = o.Full, o.Known
		}
		if !b.Led {
			b.Led, b.Leads = o.Led, o.Leads
		}
	}
	l.beaten, l.pair = b, &replicav1.Pair{Boot: p.Boot, Number: p.Number, Epoch: p.Epoch}
	l.rouse()
}

// forget drops what a node would have told that is no more.
func (l *line) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.packets, l.bytes, l.calms, l.beaten, l.pair = nil, 0, nil, nil, nil
}

// calm tells of a group's calm; the one who asks asks again.
func (l *line) calm(c replica.Calm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.up && len(l.calms) < mostPackets {
		l.calms = append(l.calms, &replicav1.Calm{Group: c.Group, Term: c.Term, Index: c.Index, Epoch: c.Epoch})
		l.rouse()
	}
}

func (l *line) found(f *replicav1.Found) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = f
	l.rouse()
}

// propose passes a command on.
func (l *line) propose(group uint32, at time.Duration, cmd []byte, done func([]byte, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.up:
		done(nil, replica.ErrNoLeader)
	case len(l.forwards) >= mostForwards:
		done(nil, replica.ErrDropped)
	default:
		l.number++
		l.forwards[l.number] = forward{group, done}
		l.outgoing = append(l.outgoing, &replicav1.Proposal{Number: l.number, Group: group, Unix: int64(at), Command: cmd})
		l.rouse()
	}
}

// next is what is to be told now; nil: nothing. Messages that are too large for one come in pieces of their own.
func (l *line) next() (all []*replicav1.ToPeer, err error) {
	l.mu.Lock()
	packets, size := l.packets, 0
	l.packets, l.bytes = nil, 0
	out := &replicav1.ToPeer{Beat: l.beaten, Pair: l.pair, Found: l.told}
	proposals, calms := l.outgoing, l.calms
	l.beaten, l.pair, l.told, l.outgoing, l.calms = nil, nil, nil, nil, nil
	l.mu.Unlock()
	flush := func(more int) {
		if size > 0 && size+more > pieceSize || out.Chunk != nil {
			all = append(all, out)
			out, size = &replicav1.ToPeer{}, 0
		}
	}
	for _, p := range packets {
		text, err := proto.Marshal(p.m)
		if err != nil {
			return nil, err
		}
		flush(len(text))
		for len(text) > pieceSize {
			out.Chunk = &replicav1.Chunk{Group: p.group, Part: text[:pieceSize]}
			text = text[pieceSize:]
			flush(0)
			if len(text) <= pieceSize {
				out.Chunk = &replicav1.Chunk{Group: p.group, Part: text, Last: true}
				flush(0)
				text = nil
			}
		}
		if text != nil {
			out.Packets = append(out.Packets, &replicav1.Packet{Group: p.group, Message: text})
			size += len(text)
		}
	}
	for _, p := range proposals {
		flush(len(p.Command))
		out.Proposals = append(out.Proposals, p)
		size += len(p.Command)
	}
	out.Calms = calms // after what they stand on
	if out.Beat != nil || out.Found != nil || len(out.Packets) > 0 || len(out.Proposals) > 0 || len(calms) > 0 {
		all = append(all, out)
	}
	return all, nil
}

// run calls the other again and again.
func (l *line) run(ctx context.Context) {
	for wait := redialFirst; ctx.Err() == nil; wait = min(redialMost, 2*wait) {
		began := time.Now()
		err := l.call(ctx)
		l.down()
		if time.Since(began) > redialMost {
			wait = redialFirst
		}
		l.s.log.Debug("replicas: line lost", "peer", l.name, "at", l.at, "err", err)
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
	}
	l.down()
}

// down gives up what was passed on: the other may have taken it in.
func (l *line) down() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up, l.packets, l.bytes, l.calms = false, nil, 0, nil
	never := map[uint64]bool{}
	for _, p := range l.outgoing { // it has not left
		never[p.Number] = true
	}
	l.outgoing = nil
	for n, f := range l.forwards {
		delete(l.forwards, n)
		if never[n] {
			f.done(nil, replica.ErrNoLeader)
		} else {
			f.done(nil, replica.ErrUnknown)
		}
	}
}

// strand gives up what was passed on for groups that the other does not lead: it may have taken it in.
func (l *line) strand(leads func(group uint32) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[uint32]bool{}
	for n, f := range l.forwards {
		yes, ok := known[f.group]
		if !ok {
			yes = leads(f.group)
			known[f.group] = yes
		}
		if !yes {
			delete(l.forwards, n)
			f.done(nil, replica.ErrUnknown)
		}
	}
}

// call is one stream's life.
func (l *line) call(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	creds := insecure.NewCredentials()
	if l.s.o.Dial != nil {
		creds = l.s.o.Dial(l.name)
	}
	conn, err := grpc.NewClient("passthrough:///"+l.at, grpc.WithTransportCredentials(creds), grpc.WithConnectParams(grpc.ConnectParams{
		Backoff: backoff.Config{BaseDelay: redialFirst, Multiplier: 2, Jitter: 0.2, MaxDelay: redialMost}, MinConnectTimeout: callWithin,
	}))
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := replicav1.NewReplicasClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	hello := &replicav1.ToPeer{Hello: &replicav1.Hello{Version: version, Name: l.s.o.Self.Name, Address: l.s.o.Address}}
	if err := stream.Send(hello); err != nil {
		return err
	}
	l.heard.Store(int64(Now()))
	lost := make(chan error, 1)
	go func() {
		for {
			m, err := stream.Recv()
			if err != nil {
				lost <- err
				return
			}
			l.heard.Store(int64(Now()))
			l.open()
			l.answered(m)
		}
	}()
	// A stream that takes nothing blocks Send: another goroutine looks at whether the other still confirms.
	go func() {
		every := time.NewTicker(silentFor / 4)
		defer every.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-every.C:
				if Now()-time.Duration(l.heard.Load()) > silentFor {
					cancel()
					return
				}
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-lost:
			return err
		case <-l.wake:
		}
		all, err := l.next()
		if err != nil {
			return err
		}
		for _, m := range all {
			m.Table = l.s.table.Load()
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	}
}

func (l *line) open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up = true
}

func (l *line) answered(m *replicav1.FromPeer) {
	for _, a := range m.GetAnswers() {
		l.mu.Lock()
		f, ok := l.forwards[a.GetNumber()]
		delete(l.forwards, a.GetNumber())
		l.mu.Unlock()
		if ok {
			f.done(a.GetResult(), faultIn(a.GetFault()))
		}
	}
}

// ear is another daemon's line to this one.
type ear struct {
	s     *Server
	name  string
	out   chan *replicav1.Answer
	parts []byte
}

// answer confirms and answers.
func (e *ear) answer(ctx context.Context, stream grpc.BidiStreamingServer[replicav1.ToPeer, replicav1.FromPeer], heard chan struct{}) error {
	for {
		m := &replicav1.FromPeer{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-e.out:
			m.Answers = append(m.Answers, a)
		case <-heard:
		}
		if err := stream.Send(m); err != nil {
			return err
		}
	}
}

// take has the loop take what the other tells.
func (e *ear) take(ctx context.Context, m *replicav1.ToPeer) error {
	s := e.s
	type one struct {
		group uint32
		m     *pb.Message
	}
	var all []one
	for _, p := range m.GetPackets() {
		r, err := packet(p.GetMessage())
		if err != nil {
			return fmt.Errorf("a message of group %d cannot be read: %w", p.GetGroup(), err)
		}
		all = append(all, one{p.GetGroup(), r})
	}
	if c := m.GetChunk(); c != nil {
		if len(e.parts)+len(c.GetPart()) > mostAssembled {
			return fmt.Errorf("a message of more than %d bytes", mostAssembled)
		}
		if e.parts = append(e.parts, c.GetPart()...); c.GetLast() {
			r, err := packet(e.parts)
			if e.parts = nil; err != nil {
				return fmt.Errorf("a message of group %d cannot be read: %w", c.GetGroup(), err)
			}
			all = append(all, one{c.GetGroup(), r})
		}
	}
	if b, f := m.GetBeat(), m.GetFound(); b != nil || f != nil || len(all) > 0 || len(m.GetCalms()) > 0 {
		s.event(ctx, func(now time.Duration) {
			if f != nil && f.GetMember().GetName() == e.name {
				s.founding(f)
			}
			if s.node == nil {
				return
			}
			if m.GetTable() != s.table.Load() {
				if b != nil {
					s.stranger(e.name)
				}
				return
			}
			if b != nil && b.GetMember().GetName() == e.name {
				s.node.Beaten(now, beatIn(b))
				if p := m.GetPair(); p != nil {
					s.node.Paired(e.name, replica.Pair{Boot: p.GetBoot(), Number: p.GetNumber(), Epoch: p.GetEpoch()})
				}
			}
			for _, p := range all {
				s.node.Step(now, p.group, p.m)
			}
			for _, c := range m.GetCalms() {
				s.node.Calmed(now, e.name, replica.Calm{Group: c.GetGroup(), Term: c.GetTerm(), Index: c.GetIndex(), Epoch: c.GetEpoch()})
			}
		})
	}
	for _, p := range m.GetProposals() {
		if m.GetTable() != s.table.Load() {
			select {
			case e.out <- &replicav1.Answer{Number: p.GetNumber(), Fault: replicav1.Fault_FAULT_NO_LEADER}:
			default:
			}
			continue
		}
		s.event(ctx, func(now time.Duration) {
			s.take(now, p.GetGroup(), time.Duration(p.GetUnix()), p.GetCommand(), false, func(result []byte, err error) {
				a := &replicav1.Answer{Number: p.GetNumber(), Result: result}
				if err != nil {
					if a.Fault = faults[err]; a.Fault == replicav1.Fault_FAULT_NONE {
						a.Fault = replicav1.Fault_FAULT_UNKNOWN
					}
				}
				select {
				case e.out <- a:
				default: // it does not read: it will take the line for lost
				}
			})
		})
	}
	return nil
}
