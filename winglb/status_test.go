package winglb_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	jobv1 "caperrelay/proto/winglb/job/v1"

	"caperrelay/internal/net/control"
	"caperrelay/internal/standin/teller"
	"caperrelay/winglb"
)

// startControl runs a daemon's control server in this process, with a list of encoders at these addresses.
func startControl(t *testing.T, addresses ...string) *control.Server {
	c, err := teller.New(addresses...)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// scriptedEncoder is an encoder that fails the first attempt of a test as its payload says, and serves later ones.
type scriptedEncoder struct {
	jobv1.UnimplementedJobsServer
	server   *grpc.Server
	address  string
	attempts atomic.Int32 // attempts that reached the handler of this encoder
	total    *atomic.Int32
	conns    *cuttableListener
}

// cuttableListener keeps the accepted connections, so that a test can close them.
type cuttableListener struct {
	net.Listener
	accepted chan net.Conn
}

func (c *cuttableListener) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err == nil {
		c.accepted <- nc
	}
	return nc, err
}

func startEncoder(t *testing.T, total *atomic.Int32) *scriptedEncoder {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedEncoder{server: grpc.NewServer(), address: l.Addr().String(), total: total, conns: &cuttableListener{l, make(chan net.Conn, 99)}}
	jobv1.RegisterJobsServer(s.server, s)
	go s.server.Serve(s.conns)
	t.Cleanup(s.server.Stop)
	return s
}

func (s *scriptedEncoder) Run(ctx context.Context, q *jobv1.RunRequest) (*jobv1.RunResponse, error) {
	s.attempts.Add(1)
	if s.total.Add(1) == 1 {
		switch behaviour := string(q.Payload); behaviour {
		case "full":
			grpc.SetTrailer(ctx, metadata.Pairs("winglb-unprocessed", "1"))
			return nil, status.Error(codes.ResourceExhausted, "full")
		case "busy without the trailer":
			return nil, status.Error(codes.ResourceExhausted, "busy")
		case "internal":
			return nil, status.Error(codes.Internal, "broke")
		case "unavailable by the handler":
			return nil, status.Error(codes.Unavailable, "mine")
		case "invalid":
			return nil, status.Error(codes.InvalidArgument, "no such lecture")
		case "cut":
			(<-s.conns.accepted).Close()
			<-ctx.Done()
			return nil, ctx.Err()
		case "cut after the header":
			grpc.SendHeader(ctx, nil)
			time.Sleep(20 * time.Millisecond)
			(<-s.conns.accepted).Close()
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	return &jobv1.RunResponse{Result: []byte("done")}, nil
}

// Each row of the table in docs/plugin.md: what the encoder or the connection does at a call's first attempt, and
// for each class the status and how many attempts reach a handler.
func TestStatusTable(t *testing.T) {
	for _, row := range []struct {
		behaviour        string
		preview, publish codes.Code
		previewRuns      int32 // attempts that reach a handler
		publishRuns      int32
	}{
		{"serve", codes.OK, codes.OK, 1, 1},
		{"full", codes.OK, codes.OK, 2, 2},                                    // never ran: sent to another encoder
		{"busy without the trailer", codes.OK, codes.ResourceExhausted, 2, 1}, // may have run
		{"internal", codes.OK, codes.Internal, 2, 1},                          // may have run
		{"unavailable by the handler", codes.OK, codes.Unavailable, 2, 1},     // may have run: the status is the handler's
		{"invalid", codes.InvalidArgument, codes.InvalidArgument, 1, 1},       // no encoder can serve it
		{"cut", codes.OK, codes.Aborted, 2, 1},                                // may have run
		{"cut after the header", codes.OK, codes.Aborted, 2, 1},               // ran in part
		{"refused connection", codes.OK, codes.OK, 1, 1},                      // never ran
		{"accepted and reset", codes.OK, codes.OK, 1, 1},                      // never ran: no stream was made
		{"goaway before it is processed", codes.OK, codes.OK, 1, 1},           // never ran, by the GOAWAY's last stream ID
		{"stream refused", codes.OK, codes.OK, 1, 1},                          // never ran, by REFUSED_STREAM
	} {
		for class, want := range map[string]struct {
			code codes.Code
			runs int32
		}{"preview": {row.preview, row.previewRuns}, "publish": {row.publish, row.publishRuns}} {
			t.Run(row.behaviour+"/"+class, func(t *testing.T) {
				var total atomic.Int32
				a, b := startEncoder(t, &total), startEncoder(t, &total)
				addresses := []string{a.address, b.address}
				switch row.behaviour {
				case "refused connection":
					a.server.Stop()
				case "accepted and reset", "goaway before it is processed", "stream refused":
					addresses[0] = startRawEncoder(t, row.behaviour)
				}
				c := startControl(t, addresses...)
				lb, err := winglb.New(winglb.Config{Name: "t", Daemons: []string{c.Address()}, Class: class})
				require.NoError(t, err)
				defer lb.Close()
				conn, err := grpc.NewClient("winglb:///x", lb.DialOptions()...)
				require.NoError(t, err)
				defer conn.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
				defer cancel()
				var header, trailer metadata.MD
				p, err := jobv1.NewJobsClient(conn).Run(ctx, &jobv1.RunRequest{Payload: []byte(row.behaviour)}, grpc.Header(&header), grpc.Trailer(&trailer))
				require.Equal(t, want.code, status.Code(err), "%v\n%s", err, lb.Counters())
				require.Equal(t, want.runs, total.Load(), lb.Counters())
				if err == nil {
					require.Equal(t, "done", string(p.Result))
					require.NotEmpty(t, header)
				}
			})
		}
	}
}

// If no encoder is usable, the call is refused early, with the reason and a retry delay.
func TestRefusalCarriesRetryInfo(t *testing.T) {
	c := startControl(t) // no encoder at all
	lb, err := winglb.New(winglb.Config{Name: "t", Daemons: []string{c.Address()}, Class: "preview"})
	require.NoError(t, err)
	defer lb.Close()
	conn, err := grpc.NewClient("winglb:///x", lb.DialOptions()...)
	require.NoError(t, err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	start := time.Now()
	_, err = jobv1.NewJobsClient(conn).Run(ctx, &jobv1.RunRequest{})
	require.Equal(t, codes.ResourceExhausted, status.Code(err), "%v", err)
	require.Less(t, time.Since(start), 15*time.Second, "the refusal came late")
	var info *errdetails.ErrorInfo
	var retry *errdetails.RetryInfo
	for _, d := range status.Convert(err).Details() {
		switch d := d.(type) {
		case *errdetails.ErrorInfo:
			info = d
		case *errdetails.RetryInfo:
			retry = d
		}
	}
	require.Equal(t, winglb.ReasonRefused, info.GetReason())
	require.Positive(t, retry.GetRetryDelay().AsDuration())

	_, err = jobv1.NewJobsClient(conn).Run(winglb.WithJob(ctx, winglb.Job{Class: "unheard of"}), &jobv1.RunRequest{})
	require.Equal(t, codes.InvalidArgument, status.Code(err))
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, "/x/y")
	require.Nil(t, stream)
	require.Equal(t, codes.Unimplemented, status.Code(err))
	require.True(t, strings.Contains(lb.Counters(), "commands_nacked 1"), lb.Counters())
}

// startRawEncoder listens as an encoder that fails at the level of TCP or HTTP/2, without a handler.
func startRawEncoder(t *testing.T, behaviour string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if behaviour == "accepted and reset" {
				nc.(*net.TCPConn).SetLinger(0)
				nc.Close()
				continue
			}
			go func() {
				defer nc.Close()
				if _, err := io.ReadFull(nc, make([]byte, len(http2.ClientPreface))); err != nil {
					return
				}
				f := http2.NewFramer(nc, nc)
				f.WriteSettings()
				for {
					frame, err := f.ReadFrame()
					if err != nil {
						return
					}
					switch frame := frame.(type) {
					case *http2.SettingsFrame:
						if !frame.IsAck() {
							f.WriteSettingsAck()
						}
					case *http2.HeadersFrame:
						if behaviour == "stream refused" {
							f.WriteRSTStream(frame.StreamID, http2.ErrCodeRefusedStream)
						} else {
							f.WriteGoAway(0, http2.ErrCodeNo, nil)
						}
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}
