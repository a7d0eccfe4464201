package load

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	jobv1 "caperrelay/proto/winglb/job/v1"

	"caperrelay/winglb"
)

// GRPC sends jobs through a client's connection, which a plug-in balances.
type GRPC struct{ Client jobv1.JobsClient }

// NewGRPC returns the target of a connection.
func NewGRPC(cc grpc.ClientConnInterface) *GRPC { return &GRPC{jobv1.NewJobsClient(cc)} }

// Do sends one job and waits for its answer.
func (g *GRPC) Do(ctx context.Context, a Arrival) (Verdict, error) {
	ctx = winglb.WithJob(ctx, winglb.Job{Class: a.Class, Tenant: a.Tenant, ID: a.ID})
	_, err := g.Client.Run(ctx, &jobv1.RunRequest{Class: a.Class, Tenant: a.Tenant, WorkUs: uint64(a.Work.Microseconds())})
	switch status.Code(err) {
	case codes.OK:
		return Served, nil
	case codes.ResourceExhausted:
		return Refused, nil
	}
	return Failed, err
}
