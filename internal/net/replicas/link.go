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
	maxQueuedMessages = 4096 // raft messages that wait for the stream
	maxQueuedBytes    = 128 << 20
	maxForwards       = 1024      // pending proposals on one link
	maxQueuedAnswers  = 1024      // that wait for the peer's stream
	chunkSize         = 256 << 10 // maximum size of a chunk, and about that of one stream message
	maxAssembledBytes = 80 << 20  // of one message received in chunks
	silenceTimeout    = 3 * time.Second
	connectTimeout    = time.Second
	redialMinDelay    = 50 * time.Millisecond
	redialMaxDelay    = time.Second
)

// link is the outgoing connection to another daemon: the queued messages and the stream that sends them.
type link struct {
	server        *Server
	name, address string
	sendReady     chan struct{}
	receivedAt    atomic.Int64 // last message or confirmation from the peer

	mu           sync.Mutex
	messages     []queuedMessage
	queuedBytes  int
	heartbeat    *replicav1.Beat
	ack          *replicav1.Pair
	hibernations []*replicav1.Calm
	bootstrap    *replicav1.Found
	proposals    []*replicav1.Proposal
	lastNumber   uint64
	forwards     map[uint64]forward
	up           bool
}

// forward is a proposal that was forwarded to the peer.
type forward struct {
	group uint32
	done  func([]byte, error)
}

type queuedMessage struct {
	group uint32
	m     *pb.Message
	size  int
}

func newLink(s *Server, name, at string) *link {
	return &link{server: s, name: name, address: at, sendReady: make(chan struct{}, 1), forwards: map[uint64]forward{}}
}

func (l *link) notifySender() {
	select {
	case l.sendReady <- struct{}{}:
	default:
	}
}

// send queues a group's raft message. Raft recovers from messages that are dropped here.
func (l *link) send(group uint32, m *pb.Message) {
	size := proto.Size(m)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up || len(l.messages) >= maxQueuedMessages || l.queuedBytes+size > maxQueuedBytes {
		l.server.counters.dropped++
		return
	}
	l.messages = append(l.messages, queuedMessage{group, m, size})
	l.queuedBytes += size
	l.notifySender()
}

// sendHeartbeat queues a heartbeat in place of one that has not been sent yet.
func (l *link) sendHeartbeat(b *replicav1.Beat, p replica.HeartbeatAck) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.heartbeat; o != nil && (o.Full && !b.Full || o.Led && !b.Led) { // keep the parts that only the replaced heartbeat has
		b = proto.Clone(b).(*replicav1.Beat)
		if !b.Full {
			b.Full, b.Known = o.Full, o.Known
		}
		if !b.Led {
			b.Led, b.Leads = o.Led, o.Leads
		}
	}
	l.heartbeat, l.ack = b, &replicav1.Pair{Boot: p.Boot, Number: p.Number, Epoch: p.Epoch}
	l.notifySender()
}

// clearQueue drops the queued messages of a node that has been retired.
func (l *link) clearQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messages, l.queuedBytes, l.hibernations, l.heartbeat, l.ack = nil, 0, nil, nil, nil
}

// sendHibernation queues a request to hibernate or an agreement. If a message is dropped, the leader's
// next request starts over.
func (l *link) sendHibernation(c replica.Hibernation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.up && len(l.hibernations) < maxQueuedMessages {
		l.hibernations = append(l.hibernations, &replicav1.Calm{Group: c.Group, Term: c.Term, Index: c.Index, Epoch: c.Epoch})
		l.notifySender()
	}
}

func (l *link) sendBootstrap(f *replicav1.Found) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bootstrap = f
	l.notifySender()
}

// propose forwards a command to the peer.
func (l *link) propose(group uint32, at time.Duration, cmd []byte, done func([]byte, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.up:
		done(nil, replica.ErrNoLeader)
	case len(l.forwards) >= maxForwards:
		done(nil, replica.ErrDropped)
	default:
		l.lastNumber++
		l.forwards[l.lastNumber] = forward{group, done}
		l.proposals = append(l.proposals, &replicav1.Proposal{Number: l.lastNumber, Group: group, Unix: int64(at), Command: cmd})
		l.notifySender()
	}
}

// next returns the stream messages to send now; nil: none. A raft message that is too large for one is sent in chunks.
func (l *link) next() (all []*replicav1.ToPeer, err error) {
	l.mu.Lock()
	packets, size := l.messages, 0
	l.messages, l.queuedBytes = nil, 0
	out := &replicav1.ToPeer{Beat: l.heartbeat, Pair: l.ack, Found: l.bootstrap}
	proposals, hibernations := l.proposals, l.hibernations
	l.heartbeat, l.ack, l.bootstrap, l.proposals, l.hibernations = nil, nil, nil, nil, nil
	l.mu.Unlock()
	flush := func(more int) {
		if size > 0 && size+more > chunkSize || out.Chunk != nil {
			all = append(all, out)
			out, size = &replicav1.ToPeer{}, 0
		}
	}
	for _, p := range packets {
		data, err := proto.Marshal(p.m)
		if err != nil {
			return nil, err
		}
		flush(len(data))
		for len(data) > chunkSize {
			out.Chunk = &replicav1.Chunk{Group: p.group, Part: data[:chunkSize]}
			data = data[chunkSize:]
			flush(0)
			if len(data) <= chunkSize {
				out.Chunk = &replicav1.Chunk{Group: p.group, Part: data, Last: true}
				flush(0)
				data = nil
			}
		}
		if data != nil {
			out.Packets = append(out.Packets, &replicav1.Packet{Group: p.group, Message: data})
			size += len(data)
		}
	}
	for _, p := range proposals {
		flush(len(p.Command))
		out.Proposals = append(out.Proposals, p)
		size += len(p.Command)
	}
	out.Calms = hibernations // after the raft messages that they depend on
	if out.Beat != nil || out.Found != nil || len(out.Packets) > 0 || len(out.Proposals) > 0 || len(hibernations) > 0 {
		all = append(all, out)
	}
	return all, nil
}

// run keeps the stream to the peer open, with a backoff between attempts.
func (l *link) run(ctx context.Context) {
	for wait := redialMinDelay; ctx.Err() == nil; wait = min(redialMaxDelay, 2*wait) {
		began := time.Now()
		err := l.call(ctx)
		l.streamLost()
		if time.Since(began) > redialMaxDelay {
			wait = redialMinDelay
		}
		l.server.log.Debug("replicas: connection lost", "peer", l.name, "at", l.address, "err", err)
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
	}
	l.streamLost()
}

// streamLost fails all forwarded proposals when the stream is lost: with ErrNoLeader those not sent, with ErrUnknown the
// others, which the peer may have accepted.
func (l *link) streamLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up, l.messages, l.queuedBytes, l.hibernations = false, nil, 0, nil
	unsent := map[uint64]bool{}
	for _, p := range l.proposals { // not sent yet
		unsent[p.Number] = true
	}
	l.proposals = nil
	for n, f := range l.forwards {
		delete(l.forwards, n)
		if unsent[n] {
			f.done(nil, replica.ErrNoLeader)
		} else {
			f.done(nil, replica.ErrUnknown)
		}
	}
}

// abandonForwards fails with ErrUnknown the proposals forwarded for groups that the peer does not lead. The peer may have
// accepted them.
func (l *link) abandonForwards(leads func(group uint32) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[uint32]bool{}
	for n, f := range l.forwards {
		leading, ok := known[f.group]
		if !ok {
			leading = leads(f.group)
			known[f.group] = leading
		}
		if !leading {
			delete(l.forwards, n)
			f.done(nil, replica.ErrUnknown)
		}
	}
}

// call opens one stream and runs it until it fails.
func (l *link) call(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	creds := insecure.NewCredentials()
	if l.server.opts.Dial != nil {
		creds = l.server.opts.Dial(l.name)
	}
	conn, err := grpc.NewClient("passthrough:///"+l.address, grpc.WithTransportCredentials(creds), grpc.WithConnectParams(grpc.ConnectParams{
		Backoff: backoff.Config{BaseDelay: redialMinDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: redialMaxDelay}, MinConnectTimeout: connectTimeout,
	}))
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := replicav1.NewReplicasClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	hello := &replicav1.ToPeer{Hello: &replicav1.Hello{Version: version, Name: l.server.opts.Self.Name, Address: l.server.opts.Address}}
	if err := stream.Send(hello); err != nil {
		return err
	}
	l.receivedAt.Store(int64(Now()))
	failed := make(chan error, 1)
	go func() {
		for {
			m, err := stream.Recv()
			if err != nil {
				failed <- err
				return
			}
			l.receivedAt.Store(int64(Now()))
			l.markUp()
			l.handleAnswers(m)
		}
	}()
	// Send blocks while the stream accepts nothing, so another goroutine checks that the peer still acknowledges messages.
	go func() {
		ticker := time.NewTicker(silenceTimeout / 4)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if Now()-time.Duration(l.receivedAt.Load()) > silenceTimeout {
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
		case err := <-failed:
			return err
		case <-l.sendReady:
		}
		all, err := l.next()
		if err != nil {
			return err
		}
		for _, m := range all {
			m.Table = l.server.table.Load()
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	}
}

func (l *link) markUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up = true
}

func (l *link) handleAnswers(m *replicav1.FromPeer) {
	for _, a := range m.GetAnswers() {
		l.mu.Lock()
		f, ok := l.forwards[a.GetNumber()]
		delete(l.forwards, a.GetNumber())
		l.mu.Unlock()
		if ok {
			f.done(a.GetResult(), errorFromFault(a.GetFault()))
		}
	}
}

// inbound is the receiving side of another daemon's stream.
type inbound struct {
	server    *Server
	name      string
	answers   chan *replicav1.Answer
	assembled []byte
}

// sendAnswers confirms what was received and sends the answers to proposals.
func (e *inbound) sendAnswers(ctx context.Context, stream grpc.BidiStreamingServer[replicav1.ToPeer, replicav1.FromPeer], received chan struct{}) error {
	for {
		m := &replicav1.FromPeer{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-e.answers:
			m.Answers = append(m.Answers, a)
		case <-received:
		}
		if err := stream.Send(m); err != nil {
			return err
		}
	}
}

// receive passes a message of the peer to the loop.
func (e *inbound) receive(ctx context.Context, m *replicav1.ToPeer) error {
	s := e.server
	type groupMessage struct {
		group uint32
		m     *pb.Message
	}
	var messages []groupMessage
	for _, p := range m.GetPackets() {
		r, err := parseMessage(p.GetMessage())
		if err != nil {
			return fmt.Errorf("a message of group %d cannot be read: %w", p.GetGroup(), err)
		}
		messages = append(messages, groupMessage{p.GetGroup(), r})
	}
	if c := m.GetChunk(); c != nil {
		if len(e.assembled)+len(c.GetPart()) > maxAssembledBytes {
			return fmt.Errorf("a message of more than %d bytes", maxAssembledBytes)
		}
		if e.assembled = append(e.assembled, c.GetPart()...); c.GetLast() {
			r, err := parseMessage(e.assembled)
			if e.assembled = nil; err != nil {
				return fmt.Errorf("a message of group %d cannot be read: %w", c.GetGroup(), err)
			}
			messages = append(messages, groupMessage{c.GetGroup(), r})
		}
	}
	if b, found := m.GetBeat(), m.GetFound(); b != nil || found != nil || len(messages) > 0 || len(m.GetCalms()) > 0 {
		s.enqueue(ctx, func(now time.Duration) {
			if found != nil && found.GetMember().GetName() == e.name {
				s.handleBootstrap(found)
			}
			if s.node == nil {
				return
			}
			if m.GetTable() != s.table.Load() {
				if b != nil {
					s.answerOtherTable(e.name)
				}
				return
			}
			if b != nil && b.GetMember().GetName() == e.name {
				s.node.HandleHeartbeat(now, heartbeatFromProto(b))
				if p := m.GetPair(); p != nil {
					s.node.HandleHeartbeatAck(e.name, replica.HeartbeatAck{Boot: p.GetBoot(), Number: p.GetNumber(), Epoch: p.GetEpoch()})
				}
			}
			for _, p := range messages {
				s.node.Step(now, p.group, p.m)
			}
			for _, c := range m.GetCalms() {
				s.node.HandleHibernation(now, e.name, replica.Hibernation{Group: c.GetGroup(), Term: c.GetTerm(), Index: c.GetIndex(), Epoch: c.GetEpoch()})
			}
		})
	}
	for _, p := range m.GetProposals() {
		if m.GetTable() != s.table.Load() {
			select {
			case e.answers <- &replicav1.Answer{Number: p.GetNumber(), Fault: replicav1.Fault_FAULT_NO_LEADER}:
			default:
			}
			continue
		}
		s.enqueue(ctx, func(now time.Duration) {
			s.proposeOrForward(now, p.GetGroup(), time.Duration(p.GetUnix()), p.GetCommand(), false, func(result []byte, err error) {
				a := &replicav1.Answer{Number: p.GetNumber(), Result: result}
				if err != nil {
					if a.Fault = faults[err]; a.Fault == replicav1.Fault_FAULT_NONE {
						a.Fault = replicav1.Fault_FAULT_UNKNOWN
					}
				}
				select {
				case e.answers <- a:
				default: // the peer does not read: it will consider the connection lost
				}
			})
		})
	}
	return nil
}
