package full

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"

	"google.golang.org/grpc"

	"caperrelay/internal/config"
	"caperrelay/internal/net/pipelines"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/program"
	"caperrelay/internal/replica"
	"caperrelay/internal/rerun"
	"caperrelay/internal/rerun/policy"
	"caperrelay/internal/siteconf"
	pipelinev1 "caperrelay/proto/winglb/pipeline/v1"
	promisev1 "caperrelay/proto/winglb/promise/v1"
)

// withReruns adds the state machine of pipeline runs to those of each group.
func withReruns(groups uint32, of func(uint32) replica.Mux) func(uint32) replica.Mux {
	return func(g uint32) replica.Mux {
		m := of(g)
		m[replica.RerunsMachine] = rerun.New(rerun.Config{Group: g, Groups: groups})
		return m
	}
}

// Pipelines reads the rerun policy that a site's file names, and returns it with its text. The policy is nil if the file
// names none.
func Pipelines(f *siteconf.File) (*policy.Policy, string, error) {
	if f.Pipelines == nil {
		return nil, "", nil
	}
	text, err := os.ReadFile(f.Pipelines.File)
	if err != nil {
		return nil, "", fmt.Errorf("pipelines.file: %w", err)
	}
	p, err := policy.Parse(f.Pipelines.File, text, policySite(f))
	return p, string(text), err
}

func policySite(f *siteconf.File) policy.Site {
	site := policy.Site{Classes: map[string]policy.Class{}, Zones: f.Site.Zones}
	for _, c := range f.Classes {
		site.Classes[c.Name] = policy.Class{Once: c.Effect == "once", Kind: c.Kind}
	}
	for _, t := range f.Tenants {
		site.Tenants = append(site.Tenants, t.Name)
	}
	return site
}

// promiseCapture is a registrar that captures the promise service.
type promiseCapture struct{ jobs pipelines.Jobs }

// RegisterService stores the promise service and ignores all others.
func (c *promiseCapture) RegisterService(d *grpc.ServiceDesc, impl any) {
	if d.ServiceName == promisev1.Promises_ServiceDesc.ServiceName {
		c.jobs, _ = impl.(pipelines.Jobs)
	}
}

// pipelinesPart returns the constructor of the pipeline service. host stores the runs, their stages run as promised jobs,
// and the service is added to the control listener.
func pipelinesPart(f *siteconf.File, host replicas.Host, registered *serviceList) (program.NewPart, error) {
	p, text, err := Pipelines(f)
	if err != nil {
		return nil, err
	}
	o := pipelines.Options{Name: f.Node.Name, Policy: text, Version: p.Version, Site: policySite(f), Slots: f.Slots()}
	return func(core program.Core) (program.Part, error) {
		var found promiseCapture
		registered.register(&found)
		if found.jobs == nil {
			return nil, errors.New("pipelines: there is no service of promises")
		}
		s := pipelines.New(o, host, core.Log)
		s.SetJobs(found.jobs)
		registered.add(func(r grpc.ServiceRegistrar) { pipelinev1.RegisterPipelinesServer(r, s) })
		return &pipelinePart{Server: s}, nil
	}, nil
}

// pipelinePart runs the pipeline service as a part of the program.
type pipelinePart struct {
	*pipelines.Server
	mu     sync.Mutex
	cancel context.CancelFunc
	ended  chan struct{}
}

func (*pipelinePart) Name() string { return "pipelines" }

func (p *pipelinePart) Phase(ctx context.Context, phase program.Phase) error {
	switch phase {
	case program.Serving:
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cancel == nil {
			ctx, p.cancel = context.WithCancel(ctx)
			p.ended = make(chan struct{})
			go func(ended chan struct{}) { defer close(ended); p.Run(ctx) }(p.ended)
		}
	case program.HandedOver, program.Departing, program.Stopped: // the process or daemon that acts for the groups next continues the runs
		p.mu.Lock()
		cancel, ended := p.cancel, p.ended
		p.cancel = nil
		p.mu.Unlock()
		if cancel != nil {
			cancel()
			<-ended
		}
	}
	return nil
}

func (*pipelinePart) Cordoned([]string) {}

// Reloaded does nothing: a new policy takes effect at the daemon's next start.
func (*pipelinePart) Reloaded(*config.Config) {}

// Quiet returns true: the other daemons continue without this one.
func (*pipelinePart) Quiet() bool { return true }

// Show returns the output of the operators' command explain:RUN.
func (p *pipelinePart) Show(what string) string {
	id, ok := strings.CutPrefix(what, "explain:")
	if !ok {
		return ""
	}
	e, known := p.Explained(id)
	if !known {
		return fmt.Sprintf("no copy of run %q is here: ask another daemon", id)
	}
	text, err := json.MarshalIndent(e, "", " ")
	if err != nil {
		return err.Error()
	}
	return string(text)
}
