package upstream

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/wire"
)

// shortWindow is less than the second after which the kernel tries a connection again.
const shortWindow = 900 * time.Millisecond

type noDiscovery struct{}

func (noDiscovery) Subscribe() {}

type waitingClient chan dispatch.Answer

func (c waitingClient) Answer(a dispatch.Answer) { c <- a }
func (waitingClient) HandOver(bool)              {}

// newKeyedLoop runs a loop whose only class is repeated within a window, with a pool for its attempts.
func newKeyedLoop(t *testing.T, window time.Duration) (*dispatch.Loop, *Pool) {
	p := NewPool(Limits{MaxConns: 9, ConnectTimeout: time.Minute, IdleTimeout: time.Minute})
	l, err := dispatch.New(decide.Settings{
		DispatcherCount: 1, Granularity: time.Millisecond, Limits: decide.Limits{MaxAttempts: 3, Cancel: true},
		Classes: []decide.Class{{Aim: time.Millisecond, Deadline: time.Hour, Worth: 1, LateWorth: 1, Kind: decide.Any, Effect: decide.Keyed, DedupWindow: window}},
		Rules:   decide.Rules{Cold: time.Second, FallWindow: time.Second, SubscribeWithin: time.Second},
	}, wire.Names{Classes: []string{"keyed"}}, p, noDiscovery{}, dispatch.NoOtherProcess{}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	p.SetObserver(l)
	go l.Run(t.Context())
	return l, p
}

// Guards against a repeat that is decided within the window in which encoders drop repeats, and written after it because
// its connection comes up late: its job then had its effect twice. In time it is still sent.
func TestRepeatIsNotSentAfterDedupWindow(t *testing.T) {
	for name, window := range map[string]time.Duration{"late connection": shortWindow, "prompt connection": time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, p := newKeyedLoop(t, window)
			late := window == shortWindow
			first, second := listen(t), listen(t)
			update := func(list dispatch.InstanceUpdate) {
				p.UpdateInstances(list)
				l.UpdateInstances(list, false)
			}
			update(first.update(decide.Ready))
			answers := make(waitingClient, 1)
			l.Submit(&dispatch.Command{
				ID: "c1", Class: "keyed", Deadline: time.Now().Add(time.Hour), Client: answers, Payload: &http1.Request{Method: "POST", Target: "/api"},
			})
			c := first.accept()
			c.read()
			windowEnd := time.Now().Add(window)
			c.write(response202)
			release := func() {}
			if late {
				release = second.blockConnects()
			}
			update(dispatch.InstanceUpdate{Instances: []dispatch.Instance{
				{ID: "s-1", State: decide.Draining}, {ID: "s-2", Address: second.Addr().String(), State: decide.Ready},
			}})
			l.HandleCallback(dispatch.Callback{ID: "c1", From: "s-1", State: dispatch.Lost})
			repeated := make(chan string, 1)
			if late {
				second.awaitDial()
				<-time.After(time.Until(windowEnd))
				release()
			}
			go func() {
				if nc, err := second.AcceptTCP(); err == nil {
					defer nc.Close()
					text := make([]byte, len("POST"))
					io.ReadFull(nc, text)
					repeated <- string(text)
				}
			}()
			select {
			case a := <-answers:
				require.Equal(t, dispatch.Answer{Verdict: dispatch.Failed}, a)
				require.True(t, late, "not repeated")
			case text := <-repeated:
				require.False(t, late, "repeated after the window: %q", text)
			case <-time.After(testTimeout):
				require.Fail(t, "neither answered nor repeated")
			}
		})
	}
}

// Guards against the last byte of a request coming after the time in which it must be sent, where its encoder is slow to
// read.
func TestLastByteIsSentInTime(t *testing.T) {
	e := listen(t)
	p, r := newScriptedPool(t, e, 9)
	c := e.smallBufferConn(p)
	a := largeAttempt()
	a.SendUntil = time.Now().Add(time.Second)
	p.Send(a)
	c.readByte()
	require.Equal(t, decide.ConnectFailed, receive(t, r.ended))
	_, err := http1.ReadRequest(c.br, nil)
	require.Error(t, err, "the encoder has got all of it")
}

// Guards against telling an encoder more time than is left, and against sending after the time for it, where the record
// of the attempt that is made before the first byte takes long.
func TestTimeIsReadAfterTheRecordOfAnAttempt(t *testing.T) {
	const recordTime = 300 * time.Millisecond
	e := listen(t)
	p, _ := newScriptedPool(t, e, 9)
	send := func(sendTime time.Duration) chan result {
		start := time.Now()
		ended := make(chan result, 1)
		p.start("s-1", &exchange{
			method: "POST", target: "/api", correlationID: "c1", newWork: true, deadline: start.Add(testTimeout),
			begin:      func() bool { <-time.After(recordTime); return true },
			sendBefore: func() time.Time { return start.Add(sendTime) },
			expired:    func(now time.Time) bool { return !now.Before(start.Add(sendTime)) },
			onDone:     func(e result) { ended <- e },
		})
		return ended
	}
	ended := send(testTimeout)
	c := e.accept()
	left, err := time.ParseDuration(c.read().Header.Get("X-Time-Left") + "s") // "m" is the unit of milliseconds there
	require.NoError(t, err)
	require.LessOrEqual(t, left, testTimeout-recordTime)
	c.write(response202)
	require.Equal(t, answered, receive(t, ended).progress)
	awaitIdle(t, p, 1)
	ended = send(recordTime / 2)
	require.Equal(t, notSent, receive(t, ended).progress)
	p.CloseIdle("s-1")
	c.expectClosed()
}
