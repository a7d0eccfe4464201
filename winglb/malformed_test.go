package winglb_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	controlv1 "caperrelay/proto/winglb/control/v1"
	jobv1 "caperrelay/proto/winglb/job/v1"

	"caperrelay/decide"
	"caperrelay/internal/keys"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/authority"
	"caperrelay/internal/standin/teller"
	"caperrelay/winglb"
)

// attach opens a control stream without a plug-in.
func attach(t *testing.T, address string) grpc.BidiStreamingClient[controlv1.FromSender, controlv1.ToSender] {
	cc, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { cc.Close() })
	s, err := controlv1.NewControlClient(cc).Attach(t.Context())
	require.NoError(t, err)
	return s
}

func hello(change func(*controlv1.Hello)) *controlv1.FromSender {
	h := &controlv1.Hello{Name: "p", Boot: 1, Version: 1}
	if change != nil {
		change(h)
	}
	return &controlv1.FromSender{Kind: &controlv1.FromSender_Hello{Hello: h}}
}

// A malformed message ends its stream with a clear error and affects no other stream.
func TestMalformedMessagesEndTheirStreamOnly(t *testing.T) {
	var total atomic.Int32
	e := startEncoder(t, &total)
	c := startControl(t, e.address)
	good := attach(t, c.Address())
	require.NoError(t, good.Send(hello(func(h *controlv1.Hello) { h.Name = "good" })))
	m, err := good.Recv()
	require.NoError(t, err)
	require.EqualValues(t, 1, m.GetWelcome().GetPlace())
	go func() {
		for good.Send(&controlv1.FromSender{Kind: &controlv1.FromSender_Beat{Beat: &controlv1.Beat{}}}) == nil {
			time.Sleep(50 * time.Millisecond)
		}
	}()
	want := func(change func(*controlv1.Want)) *controlv1.FromSender {
		w := &controlv1.Want{Seq: 1, Instance: "s-1", WorkUs: 1000}
		change(w)
		return &controlv1.FromSender{Kind: &controlv1.FromSender_Want{Want: w}}
	}
	for name, bad := range map[string]struct {
		messages []*controlv1.FromSender
		code     codes.Code
	}{
		"no hello":             {[]*controlv1.FromSender{want(func(*controlv1.Want) {})}, codes.InvalidArgument},
		"empty":                {[]*controlv1.FromSender{{}}, codes.InvalidArgument},
		"nameless":             {[]*controlv1.FromSender{hello(func(h *controlv1.Hello) { h.Name = "" })}, codes.InvalidArgument},
		"no process":           {[]*controlv1.FromSender{hello(func(h *controlv1.Hello) { h.Boot = 0 })}, codes.InvalidArgument},
		"a place too high":     {[]*controlv1.FromSender{hello(func(h *controlv1.Hello) { h.Place = 1 << 31 })}, codes.InvalidArgument},
		"another version":      {[]*controlv1.FromSender{hello(func(h *controlv1.Hello) { h.Version = 99 })}, codes.FailedPrecondition},
		"two hellos":           {[]*controlv1.FromSender{hello(nil), hello(nil)}, codes.InvalidArgument},
		"empty later":          {[]*controlv1.FromSender{hello(nil), {}}, codes.InvalidArgument},
		"want of no work":      {[]*controlv1.FromSender{hello(nil), want(func(w *controlv1.Want) { w.WorkUs = 1 << 60 })}, codes.InvalidArgument},
		"want of nothing":      {[]*controlv1.FromSender{hello(nil), want(func(w *controlv1.Want) { w.Instance = "" })}, codes.InvalidArgument},
		"want of none":         {[]*controlv1.FromSender{hello(nil), {Kind: &controlv1.FromSender_Want{}}}, codes.InvalidArgument},
		"done without a lease": {[]*controlv1.FromSender{hello(nil), {Kind: &controlv1.FromSender_Done{}}}, codes.OK}, // encoded as an empty message, which names no lease
	} {
		t.Run(name, func(t *testing.T) {
			s := attach(t, c.Address())
			for _, m := range bad.messages {
				if s.Send(m) != nil {
					break
				}
			}
			if bad.code == codes.OK {
				s.CloseSend()
			}
			var err error
			for err == nil {
				_, err = s.Recv()
			}
			if bad.code == codes.OK {
				require.ErrorIs(t, err, io.EOF)
			} else {
				require.Equal(t, bad.code, status.Code(err), "%v", err)
			}
			require.NotEmpty(t, status.Convert(err).Message())
		})
	}
	// Bytes that are not HTTP/2.
	nc, err := net.Dial("tcp", c.Address())
	require.NoError(t, err)
	fmt.Fprint(nc, "GET / HTTP/1.1\r\n\r\n")
	nc.Close()
	c.Listed(teller.Members(2, decide.Draining, e.address))
	for received := false; !received; {
		m, err := good.Recv()
		require.NoError(t, err)
		received = m.GetList() != nil && m.GetList().Members[0].State == controlv1.State_STATE_DRAINING
	}
}

// faultyDaemon is a daemon that answers each hello with an invalid message.
type faultyDaemon struct {
	controlv1.UnimplementedControlServer
	messages []*controlv1.ToSender
	attached atomic.Int32
}

func (d *faultyDaemon) Attach(s grpc.BidiStreamingServer[controlv1.FromSender, controlv1.ToSender]) error {
	if _, err := s.Recv(); err != nil {
		return err
	}
	s.Send(d.messages[int(d.attached.Add(1)-1)%len(d.messages)])
	<-s.Context().Done()
	return nil
}

// The plug-in detaches from a daemon that sends invalid messages, and goes on with another one.
func TestPlugInDetachesFromADaemonThatSendsInvalidMessages(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &faultyDaemon{messages: []*controlv1.ToSender{
		{},
		{Kind: &controlv1.ToSender_Beat{}},
		{Kind: &controlv1.ToSender_Welcome{}},
		{Kind: &controlv1.ToSender_Welcome{Welcome: &controlv1.Welcome{SilenceMs: 500, Senders: 8, Settings: &controlv1.Settings{Document: []byte("{")}, List: &controlv1.List{}}}},
		{Kind: &controlv1.ToSender_Welcome{Welcome: &controlv1.Welcome{SilenceMs: 500, Senders: 8, Settings: &controlv1.Settings{Document: []byte("{}")}, List: &controlv1.List{}}}},
	}}
	server := grpc.NewServer()
	controlv1.RegisterControlServer(server, d)
	go server.Serve(l)
	t.Cleanup(server.Stop)
	var total atomic.Int32
	c := startControl(t, startEncoder(t, &total).address)
	lb, err := winglb.New(winglb.Config{Name: "p", Daemons: []string{l.Addr().String(), c.Address()}, Class: "preview"})
	require.NoError(t, err)
	defer lb.Close()
	conn, err := grpc.NewClient("winglb:///x", lb.DialOptions()...)
	require.NoError(t, err)
	defer conn.Close()
	require.Eventually(t, func() bool { return int(d.attached.Load()) > len(d.messages) }, 20*time.Second, 5*time.Millisecond)
	_, err = jobv1.NewJobsClient(conn).Run(t.Context(), &jobv1.RunRequest{})
	require.NoError(t, err)
	require.Equal(t, 1, lb.Attached())
}

// With TLS, only a plug-in whose certificate has one of the configured names can attach.
func TestCertificateWithAnotherNameIsRejected(t *testing.T) {
	dir := t.TempDir()
	a, err := authority.New(dir, "ca")
	require.NoError(t, err)
	cert, key, err := a.Issue("daemon", time.Now().Add(time.Hour))
	require.NoError(t, err)
	r := startRig(t, rig.Options{Encoders: 2, Slots: 2, Daemons: 1, TLS: fmt.Sprintf("[control.tls]\ncertificate = %q\nkey = %q\nclient_ca = %q\nnames = [\"portal\"]", cert, key, a.CA)})
	client := func(name string) *winglb.Balancer {
		cert, key, err := a.Issue(name, time.Now().Add(time.Hour))
		require.NoError(t, err)
		p, err := keys.Load(keys.Files{Certificate: cert, Key: key, CA: a.CA})
		require.NoError(t, err)
		lb, err := winglb.New(winglb.Config{Name: name, Daemons: r.Controls(), TLS: p.ClientConfig("daemon"), Class: "preview"})
		require.NoError(t, err)
		t.Cleanup(lb.Close)
		return lb
	}
	portal, rejected := client("portal"), client("guest")
	require.Eventually(t, func() bool { return portal.Attached() == 1 }, 10*time.Second, 5*time.Millisecond)
	conn, err := grpc.NewClient("winglb:///x", rejected.DialOptions()...)
	require.NoError(t, err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = jobv1.NewJobsClient(conn).Run(ctx, &jobv1.RunRequest{WorkUs: 1000})
	require.Equal(t, codes.DeadlineExceeded, status.Code(err))
	require.Zero(t, rejected.Attached())
	require.EqualValues(t, 1, r.Daemon(0).Figure("control.senders"))
}
