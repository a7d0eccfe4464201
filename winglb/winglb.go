// Package winglb is a plug-in for gRPC clients: it balances their calls over encoders inside the client's process,
// by the decisions of the winglb dispatcher:
//
//	lb, err := winglb.New(winglb.Config{Name: "portal-1", Daemons: []string{"10.0.0.4:8100", "10.0.0.5:8100"}})
//	...
//	defer lb.Close()
//	conn, err := grpc.NewClient("winglb:///pool", lb.DialOptions()...)
//
// For calls on conn, package decide chooses encoders, retries, hedges, and refuses calls that are not worth sending.
// The parameters of a call come with its context ([WithJob]). docs/plugin.md lists what each status means: the call
// never ran, may have run, or ran.
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

// Scheme is the target scheme: winglb:///POOL.
const Scheme = "winglb"

// Config identifies the client and lists the daemons.
type Config struct {
	// Name appears in the daemons' metrics and the encoders' logs; empty: the program's name.
	Name string
	// Daemons is the control address (host:port) of every daemon of the deployment.
	Daemons []string
	// TLS for connections to the daemons; nil: plain text. Connections to encoders use Credentials.
	TLS *tls.Config
	// Credentials for encoders; nil: plain text.
	Credentials credentials.TransportCredentials
	// Class is used for calls whose Job has no class and whose method is not in Classes, and Tenant for calls whose Job
	// has no tenant. Classes maps methods, as "/package.Service/Method", to classes.
	Class, Tenant string
	Classes       map[string]string
	// Logger receives messages for operators; nil: nothing is logged.
	Logger *slog.Logger
}

// Job holds the parameters of a call.
type Job struct {
	Class  string
	Tenant string
	// Key names the data that the call works on, such as a recording, which encoders may have cached.
	Key string
	// Work is the expected time in one slot; 0: not known.
	Work time.Duration
	// Slots that the job occupies; 0: one.
	Slots float64
	// ID identifies the job; empty: one is generated. Concurrent calls must not share an ID.
	ID string
	// Repeat marks a retry by the caller.
	Repeat bool
}

// Balancer is the plug-in of one client connection.
type Balancer struct {
	config Config
	log    *slog.Logger
	boot   uint64

	loop    *dispatch.Loop
	fleet   *fleet
	control *controlState
	ended   chan struct{}
	close   sync.Once
	ready   chan struct{} // closed once a daemon has sent settings and the instance list
}

// New returns a balancer and starts to connect to the daemons. It must be closed.
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

// FromEnv reads WINGLB_NAME, WINGLB_DAEMONS (addresses, separated by commas), WINGLB_CLASS and WINGLB_TENANT.
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

// DialOptions returns the options for the client's connection. A balancer serves one connection only.
func (b *Balancer) DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithResolvers(&resolverBuilder{b}),
		grpc.WithChainUnaryInterceptor(b.unary),
		grpc.WithChainStreamInterceptor(b.stream),
		grpc.WithStatsHandler(statsHandler{}),
		grpc.WithTransportCredentials(b.config.Credentials),
		grpc.WithDisableRetry(),         // package decide retries
		grpc.WithDisableServiceConfig(), // resolvers must not change the balancing policy
		grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"` + policyName + `":{}}]}`),
		grpc.WithIdleTimeout(0), // an idle connection would drop its encoders
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}, MinConnectTimeout: time.Second,
		}),
	}
}

// Close stops the balancer. Calls in progress end as cancelled.
func (b *Balancer) Close() { b.close.Do(func() { close(b.ended) }) }

// Counters lists the outcomes of calls and attempts, one "name value" per line.
func (b *Balancer) Counters() string {
	select {
	case <-b.ready:
		return b.loop.Counters.String()
	default:
		return ""
	}
}

// Attached returns the number of daemons that this client is attached to.
func (b *Balancer) Attached() int { return b.control.attachedCount() }

// keyNumber hashes a key to the number that package decide uses; 0: no key.
func keyNumber(key string) uint64 {
	if key == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return max(1, h.Sum64())
}
