// Command portal is a complete example of a client with the plug-in: it requests a preview from time to time and
// shows how to treat each status.
//
//	WINGLB_DAEMONS=127.0.0.1:8100,127.0.0.1:8101 portal
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	jobv1 "caperrelay/proto/winglb/job/v1"

	"caperrelay/winglb"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "portal:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	config := winglb.FromEnv()
	config.Class = "preview" // default for calls that set none
	config.Logger = slog.Default()
	lb, err := winglb.New(config)
	if err != nil {
		return err
	}
	defer lb.Close()
	conn, err := grpc.NewClient("winglb:///encoders", lb.DialOptions()...)
	if err != nil {
		return err
	}
	defer conn.Close()
	jobs := jobv1.NewJobsClient(conn)
	for n := 0; ctx.Err() == nil; n++ {
		retryAfter, err := preview(ctx, jobs, fmt.Sprint("lecture-", n%10))
		if err != nil {
			fmt.Println(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(retryAfter, time.Second)):
		}
	}
	return nil
}

// preview requests one preview; retryAfter is the delay before a retry after a refusal.
func preview(ctx context.Context, jobs jobv1.JobsClient, lecture string) (retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	ctx = winglb.WithJob(ctx, winglb.Job{Class: "preview", Tenant: "ups", Key: lecture, Work: 100 * time.Millisecond})
	p, err := jobs.Run(ctx, &jobv1.RunRequest{Class: "preview", Tenant: "ups", Key: lecture, WorkUs: 100_000})
	if err == nil {
		fmt.Printf("%s: %d bytes from %s\n", lecture, len(p.Result), p.Instance)
		return 0, nil
	}
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			retryAfter = r.RetryDelay.AsDuration()
		}
	}
	switch status.Code(err) {
	case codes.ResourceExhausted: // refused: it never ran, or is safe to repeat
		return retryAfter, fmt.Errorf("%s: refused, again in %v", lecture, retryAfter)
	case codes.Aborted: // it may have run: do not repeat a call that must not run twice
		return 0, fmt.Errorf("%s: failed, and may have run: %w", lecture, err)
	}
	return retryAfter, fmt.Errorf("%s: %w", lecture, err)
}
