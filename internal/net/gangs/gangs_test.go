package gangs

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	gangv1 "caperrelay/proto/winglb/gang/v1"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/gang"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/replica"
)

// sharedHost is one host as seen by several daemons, each of which leads some of the groups.
type sharedHost struct {
	*replicas.MemoryHost
	index, count uint32
}

func (h sharedHost) Lease(g uint32) (uint64, time.Duration, bool) {
	term, until, ok := h.MemoryHost.Lease(g)
	return term, until, ok && g%h.count == h.index
}

// fakeLoop runs all members immediately, except at an encoder that refuses.
type fakeLoop struct {
	mu              sync.Mutex
	refuse          string
	begun           map[string]time.Time
	ended           map[string]string
	maxReservations map[string]int // by encoder: maximum number of reservations set at one time
}

func (l *fakeLoop) Submit(c *dispatch.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Candidates[0] == l.refuse {
		c.Client.Answer(dispatch.Answer{Verdict: dispatch.Refused})
		return
	}
	l.begun[c.ID] = time.Now()
	c.Client.(interface{ Started(string, bool) }).Started(c.Candidates[0], true)
	time.AfterFunc(c.Work, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.ended[c.ID] == "" {
			l.ended[c.ID] = "done"
			c.Client.Answer(dispatch.Answer{Verdict: dispatch.Served})
		}
	})
}

func (l *fakeLoop) ClientGone(c *dispatch.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended[c.ID] == "" {
		l.ended[c.ID] = "cancelled"
	}
}

func (l *fakeLoop) CancelJob(string, string) {}

func (l *fakeLoop) SetReservations(id string, _ float64, spans []decide.Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxReservations[id] = max(l.maxReservations[id], len(spans))
}

// Three daemons with real connections: a gang over two sites starts together; when a member of another gang is
// refused, the other member is cancelled before it ends; and a gang that needs more than a partner lends is not
// planned.
func TestGangsOverSockets(t *testing.T) {
	const n = 3
	host := replicas.NewMemoryHost(3, func(uint32) replica.Mux { return replica.Mux{replica.GangsMachine: gang.New()} })
	loop := &fakeLoop{begun: map[string]time.Time{}, ended: map[string]string{}, maxReservations: map[string]int{}}
	var listeners []net.Listener
	sites := map[string]string{}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners, sites[fmt.Sprint("n", i)] = append(listeners, l), []string{"a", "b"}[i%2]
	}
	list := dispatch.InstanceUpdate{Complete: true}
	for i := range 4 {
		list.Instances = append(list.Instances, dispatch.Instance{ID: fmt.Sprint("s-", i), Zone: []string{"a", "b"}[i%2], Kind: "m2", State: decide.Ready})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var client gangv1.GangsClient
	for i := range n {
		name := fmt.Sprint("n", i)
		o := Options{Name: name, Site: sites[name], Slots: map[string]float64{"m2": 4}, OnceClasses: map[string]bool{"live": true}, Peers: map[string]string{}, TellsStart: true,
			Partners: []Partner{{Name: "tuk", Sites: []string{"b"}, Slots: 3}}}
		for j, l := range listeners {
			if j != i {
				o.Peers[fmt.Sprint("n", j)] = l.Addr().String()
			}
		}
		s, err := New(o, sharedHost{host, uint32(i), n}, loop, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		g := grpc.NewServer()
		s.Register(g)
		go g.Serve(listeners[i])
		s.Listed(list)
		s.Open(ctx)
		t.Cleanup(func() { s.Close(); g.Stop() })
		client = gangv1.NewGangsClient(s.conns[0])
	}
	submit := func(id string, slots uint32) *gangv1.Gang {
		latest := uint64(time.Now().Add(4 * time.Second).UnixMicro())
		_, err := client.Submit(ctx, &gangv1.SubmitRequest{Id: id, LatestStartUs: latest, Members: []*gangv1.Member{
			{Site: "a", Slots: slots, Class: "live", WorkUs: 600_000}, {Site: "b", Slots: slots, Class: "live", WorkUs: 600_000},
		}})
		require.NoError(t, err)
		g, err := client.Await(ctx, &gangv1.AwaitRequest{Id: id})
		require.NoError(t, err)
		return g
	}
	g := submit("one", 3)
	require.Equal(t, gang.Completed, g.GetVerdict(), g)
	loop.mu.Lock()
	require.Len(t, loop.begun, 2)
	require.Less(t, loop.begun["gang-one-1-0"].Sub(loop.begun["gang-one-1-1"]).Abs(), 250*time.Millisecond)
	require.Equal(t, 1, loop.maxReservations[g.GetEncoders()[0]], "the loops did not get the reservation")
	loop.refuse = g.GetEncoders()[1]
	clear(loop.begun)
	loop.mu.Unlock()

	g = submit("two", 1)
	require.Equal(t, gang.NotStarted, g.GetVerdict(), g)
	require.Equal(t, []uint32{0}, g.GetMayHaveRun(), g)
	loop.mu.Lock()
	require.Len(t, loop.begun, 1)
	require.Equal(t, "cancelled", loop.ended["gang-two-1-0"])
	loop.mu.Unlock()

	_, err := client.Lend(ctx, &gangv1.LendRequest{Partner: "tuk", Slots: 2})
	require.NoError(t, err)
	g = submit("three", 3)
	require.Equal(t, gang.NotStarted, g.GetVerdict(), g)
	require.Equal(t, "no room in its window", g.GetWhy())
}

// Guards against dropping a member's end, which the dispatcher's loop reports only once, while the starter's goroutine
// is behind: the gang would count as dead after its start.
func TestMemberEndIsKeptWhileStarterLoopIsBehind(t *testing.T) {
	host := replicas.NewMemoryHost(1, func(uint32) replica.Mux { return replica.Mux{replica.GangsMachine: gang.New()} })
	s, err := New(Options{Name: "n1", TellsStart: true}, host, &fakeLoop{}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	start, key := s.now()+time.Hour, gang.JobID("g", 1, 0)
	assignments := []gang.Assignment{{Encoder: "s-0", Spec: gang.Member{Class: "live", Slots: 1, Work: time.Second}}}
	for _, kind := range []gang.MessageKind{gang.Arm, gang.Go} {
		s.starter.Handle(start-time.Second, gang.Message{Kind: kind, Gang: "g", Round: 1, At: start, Skew: 250 * time.Millisecond, Assignments: assignments})
	}
	s.starter.Tick(start) // sends the member
	for range 4096 {
		s.updateStarter(func() {}) // no goroutine receives the wakeups
	}
	c := &client{s, key}
	c.Started("s-0", true)
	c.Answer(dispatch.Answer{Verdict: dispatch.Served})
	reply := s.starter.Handle(start+time.Second/10, gang.Message{Kind: gang.Run, Gang: "g", Round: 1, Assignments: assignments})
	require.Equal(t, gang.Done, reply.Members[0].Status)
}

// Guards against a slow loop that drops the result of a proposal: the coordinator would consider the command outstanding
// forever and never propose it again.
func TestResultsWaitForSlowLoop(t *testing.T) {
	host := replicas.NewMemoryHost(1, func(uint32) replica.Mux { return replica.Mux{replica.GangsMachine: gang.New()} })
	s, err := New(Options{Name: "n1"}, host, &fakeLoop{}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	for range cap(s.inbox) {
		s.inbox <- func() {}
	}
	overruns, done := s.overruns.Load(), false
	s.propose(t.Context(), 0, gang.Command{Op: "look"}, func(gang.Result, bool) { done = true })
	for s.overruns.Load() == overruns { // until propose has found the inbox full
		runtime.Gosched()
	}
	for !done {
		select {
		case do := <-s.inbox:
			do()
		case <-time.After(5 * time.Second):
			t.Fatal("no result of the proposal")
		}
	}
}

// Guards against losing a callback about a member that an earlier process sent.
func TestCallbackOfMemberSentByEarlierProcess(t *testing.T) {
	host := replicas.NewMemoryHost(1, func(uint32) replica.Mux { return replica.Mux{replica.GangsMachine: gang.New()} })
	s, err := New(Options{Name: "n1"}, host, &fakeLoop{}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	run := gang.Message{Kind: gang.Run, Gang: "g", Round: 1, Assignments: []gang.Assignment{{Encoder: "s-0"}}}
	require.Equal(t, gang.Began, s.handleMessage(run).Members[0].Status)
	require.Empty(t, s.starter.TakeActions(), "the encoder must keep running it")
	require.False(t, s.HandleUnmatchedCallback(dispatch.Callback{ID: gang.JobID("g", 2, 0), From: "s-0", State: dispatch.Done}))
	require.True(t, s.HandleUnmatchedCallback(dispatch.Callback{ID: gang.JobID("g", 1, 0), From: "s-0", State: dispatch.Running}))
	require.Equal(t, gang.Began, s.handleMessage(run).Members[0].Status)
	require.True(t, s.HandleUnmatchedCallback(dispatch.Callback{ID: gang.JobID("g", 1, 0), From: "s-0", State: dispatch.Done}))
	require.Equal(t, gang.Done, s.handleMessage(run).Members[0].Status)
	run.Kind = gang.Go // a member that is not known to run is still dropped
	run.Gang = "h"
	require.Equal(t, gang.MayHaveRun, s.handleMessage(run).Members[0].Status)
	require.Len(t, s.starter.TakeActions(), 1)
}

// Guards against a member's target, or the ID that is part of its job's, ending a line of a request to an encoder.
func TestTargetsOfMembersKeepToTheirLine(t *testing.T) {
	s := &Server{}
	s.SetClasses(map[string]bool{"live": true})
	for id, target := range map[string]string{"g": "/x HTTP/1.1\r\n\r\nDELETE /jobs/other", "g2": "/a b", "g\x0b": "/x", "g\x7f": "/x", "g\t": "/x"} {
		_, err := s.Submit(t.Context(), &gangv1.SubmitRequest{Id: id, Members: []*gangv1.Member{{Class: "live", Target: target}}})
		require.Equal(t, codes.InvalidArgument, status.Code(err), "%q %q", id, target)
		require.NotContains(t, err.Error(), "slots", "refused for what it is")
		require.NotContains(t, err.Error(), "work of")
	}
}
