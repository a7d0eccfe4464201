// Package grpcface puts stand-in encoders on loopback sockets as gRPC servers of the job service,
// winglb.job.v1.Jobs: what a plug-in sends its calls to.
package grpcface

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	jobv1 "caperrelay/proto/winglb/job/v1"

	"caperrelay/internal/standin/encoder"
	"caperrelay/internal/standin/host"
	"caperrelay/internal/standin/ledger"
)

// The metadata that plug-ins send and encoders answer with; docs/plugin.md tells them.
const (
	idKey          = "winglb-id"
	senderKey      = "winglb-sender"
	unprocessedKey = "winglb-unprocessed"
)

// Face is the gRPC side of a fleet.
type Face struct {
	doors []*door
	once  map[string]bool
}

// New opens a server for each encoder. once has the classes whose jobs must not run twice.
func New(h *host.Host, once ...string) (*Face, error) {
	f := &Face{once: map[string]bool{}}
	for _, c := range once {
		f.once[c] = true
	}
	for _, e := range h.Encoders() {
		d := &door{face: f, encoder: e, ledger: h.Ledger}
		if err := d.Open(); err != nil {
			f.Close()
			return nil, err
		}
		f.doors = append(f.doors, d)
		e.Attach("grpc", d.address, d)
	}
	return f, nil
}

// Close ends all servers.
func (f *Face) Close() {
	for _, d := range f.doors {
		d.Shut()
	}
}

// GoAway has one encoder's server send GOAWAY on all connections and take new ones at once, as a
// server does that limits their age. What runs goes on.
func (f *Face) GoAway(id string) error {
	for _, d := range f.doors {
		if d.encoder.ID() == id {
			d.Leave()
			return d.Open()
		}
	}
	return errors.New("no such encoder")
}

// Connections is how many connections were accepted in all.
func (f *Face) Connections() (n int) {
	for _, d := range f.doors {
		d.mu.Lock()
		n += d.accepted
		d.mu.Unlock()
	}
	return n
}

// door is one encoder's server.
type door struct {
	jobv1.UnimplementedJobsServer
	face    *Face
	encoder *host.Encoder
	ledger  *ledger.Ledger
	address string

	mu       sync.Mutex
	server   *grpc.Server
	leaving  []*grpc.Server
	accepted int
}

// counting counts what a listener accepts.
type counting struct {
	net.Listener
	door *door
}

func (c counting) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err == nil {
		c.door.mu.Lock()
		c.door.accepted++
		c.door.mu.Unlock()
	}
	return nc, err
}

func (d *door) Open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil {
		return nil
	}
	at := d.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", at)
	for n := 0; err != nil && d.address != "" && n < 50; n++ { // the listener of a server that leaves closes soon
		time.Sleep(2 * time.Millisecond)
		l, err = net.Listen("tcp", at)
	}
	if err != nil {
		return err
	}
	d.address = l.Addr().String()
	d.server = grpc.NewServer(grpc.ConnectionTimeout(5 * time.Second))
	jobv1.RegisterJobsServer(d.server, d)
	go d.server.Serve(counting{l, d})
	return nil
}

func (d *door) Shut() {
	d.mu.Lock()
	all := append(d.leaving, d.server)
	d.server, d.leaving = nil, nil
	d.mu.Unlock()
	for _, s := range all {
		if s != nil {
			s.Stop()
		}
	}
}

// Leave sends GOAWAY.
func (d *door) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.server; s != nil {
		d.leaving, d.server = append(d.leaving, s), nil
		go s.GracefulStop()
	}
}

// Run does one job as the model says.
func (d *door) Run(ctx context.Context, q *jobv1.RunRequest) (*jobv1.RunResponse, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	first := func(key string) string {
		if v := md.Get(key); len(v) > 0 {
			return v[0]
		}
		return ""
	}
	id := first(idKey)
	if id == "" || q.WorkUs > uint64(time.Hour.Microseconds()) {
		return nil, status.Error(codes.InvalidArgument, "a job needs an id and its work")
	}
	events := make(chan encoder.Event, 2)
	r, line := d.encoder.Arrive(host.Visit{
		Job: id, Sender: first(senderKey), Class: q.Class, Once: d.face.once[q.Class],
		Work: time.Duration(q.WorkUs) * time.Microsecond, Slots: q.Slots, Event: func(e encoder.Event) { events <- e },
	})
	switch r {
	case encoder.Full:
		grpc.SetTrailer(ctx, metadata.Pairs(unprocessedKey, "1"))
		return nil, status.Error(codes.ResourceExhausted, "full")
	case encoder.Down:
		<-ctx.Done() // the connection is being reset
		return nil, ctx.Err()
	}
	for {
		select {
		case <-ctx.Done():
			if !d.encoder.Cancel(id) {
				d.ledger.End(line, time.Now(), ledger.Unheard)
			}
			return nil, ctx.Err()
		case e := <-events:
			switch e {
			case encoder.Started:
				if err := grpc.SendHeader(ctx, nil); err != nil { // says that it runs
					d.encoder.Cancel(id)
					return nil, err
				}
			case encoder.Ended:
				d.ledger.End(line, time.Now(), ledger.Done)
				return &jobv1.RunResponse{Result: append([]byte("done "), q.Payload...), Instance: d.encoder.ID()}, nil
			default:
				return nil, status.Error(codes.Unavailable, "the process died")
			}
		}
	}
}
