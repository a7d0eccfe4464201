// Package winglb balances a gRPC client's calls over encoders by the decisions of the winglb dispatcher,
// inside the client's process:
//
//	lb, err := winglb.New(winglb.Config{Name: "portal-1", Daemons: []string{"10.0.0.4:8100", "10.0.0.5:8100"}})
//	...
//	defer lb.Close()
//	conn, err := grpc.NewClient("winglb:///pool", lb.DialOptions()...)
//
// Calls on conn go to encoders as the decision module says, which also retries them, sends second copies
// and refuses what has no use. What a call is about comes with its context ([WithJob]). docs/plugin.md
// tells what each status says of a call: whether it never ran, may have run, or ran.
package winglb

import (
	"cmp"
	"crypto/tls"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"caperrelay/internal/dispatch"
)

// Scheme is that of targets: winglb:///POOL.
const Scheme = "winglb"

// Config says who this client is and where the daemons are.
type Config struct {
	// Name stands in daemons' figures and encoders' logs; empty: the program's name.
	Name string
	// Daemons is the control address (host:port) of every daemon of the deployment.
	Daemons []string
	// TLS for the daemons; nil: plain text. Encoders' is Credentials.
	TLS *tls.Config
	// Credentials for encoders; nil: plain text.
	Credentials credentials.TransportCredentials
	// Class and Tenant of calls whose context names none. Classes gives them by method, as
	// "/package.Service/Method".
	Class, Tenant string
	Classes       map[string]string
	// Logger takes what people on call should see; nil: nothing is written.
	Logger *slog.Logger
}

// Job is what a call is about.
type Job struct {
	Class  string
	Tenant string
	// Key is what the call is about, such as a recording, where encoders keep what it needs.
	Key string
	// Work expected, of one slot; 0: not known.
	Work time.Duration
	// Slots that it takes; 0: one.
	Slots float64
	// ID names the job; empty: one is made. Calls in hand at one time must not share one.
	ID string
	// Repeat marks the caller's own later try.
	Repeat bool
}

// Balancer is the plug-in of one client connection.
type Balancer struct {
	config Config
	log    *slog.Logger
	boot   uint64

	loop   *dispatch.Loop
	fleet  *fleet
	control  *controlState
	ended  chan struct{}
	close  sync.Once
	ready chan struct{} // closed once a daemon has told settings and list
}

// New returns a balancer that begins to call the daemons. It must be closed.
func New(c Config) (*Balancer, error) {
	if len(c.Daemons) == 0 {
		return nil, errors.New("winglb: Daemons: at least one control address is needed")
	}
	if len(c.Daemons) > maxDaemons {
		return nil, fmt.Errorf("winglb: Daemons: %d are more than %d", len(c.Daemons), maxDaemons)
	}
	if c.Name = cmp.Or(c.Name, programName()); len(c.Name) > 128 {
		return nil, errors.New("winglb: Name: longer than 128 bytes")
	}
	if c.Credentials == nil {
		c.Credentials = insecure.NewCredentials()
	}
	b := &Balancer{config: c, log: c.Logger, boot: max(1, rand.Uint64()), ended: make(chan struct{}), ready: make(chan struct{})}
	if b.log == nil {
		b.log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	b.fleet = newFleet(b)
	b.control = newControlState(b)
	b.control.run()
	return b, nil
}

// FromEnv reads WINGLB_NAME, WINGLB_DAEMONS (addresses, comma between), WINGLB_CLASS and WINGLB_TENANT.
func FromEnv() Config {
	c := Config{Name: os.Getenv("WINGLB_NAME"), Class: os.Getenv("WINGLB_CLASS"), Tenant: os.Getenv("WINGLB_TENANT")}
	for a := range strings.SplitSeq(os.Getenv("WINGLB_DAEMONS"), ",") {
		if a = strings.TrimSpace(a); a != "" {
			c.Daemons = append(c.Daemons, a)
		}
	}
	return c
}

func programName() string {
	name := os.Args[0]
	return name[strings.LastIndexByte(name, '/')+1:]
}

// DialOptions is what a client's connection needs. One balancer is for one connection.
func (b *Balancer) DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithResolvers(&resolverBuilder{b}),
		grpc.WithChainUnaryInterceptor(b.unary),
		grpc.WithChainStreamInterceptor(b.stream),
		grpc.WithStatsHandler(statsHandler{}),
		grpc.WithTransportCredentials(b.config.Credentials),
		grpc.WithDisableRetry(),         // attempts are the module's
		grpc.WithDisableServiceConfig(), // and so is the balancing: a resolver may not say otherwise
		grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"` + policyName + `":{}}]}`),
		grpc.WithIdleTimeout(0), // or the connection would forget its encoders
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}, MinConnectTimeout: time.Second,
		}),
	}
}

// Close ends the balancer. Calls in hand end as cancelled.
func (b *Balancer) Close() { b.close.Do(func() { close(b.ended) }) }

// Counters lists what became of calls and attempts, one "name value" a line.
func (b *Balancer) Counters() string {
	select {
	case <-b.ready:
		return b.loop.Counters.String()
	default:
		return ""
	}
}

// Attached is how many daemons tell this client now.
func (b *Balancer) Attached() int { return b.control.attachedCount() }

// keyNumber is a key as the module knows it.
func keyNumber(key string) uint64 {
	if key == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return max(1, h.Sum64())
}
