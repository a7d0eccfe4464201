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

// withReruns adds runs of pipelines to what each group of the record holds.
func withReruns(groups uint32, of func(uint32) replica.Mux) func(uint32) replica.Mux {
	return func(g uint32) replica.Mux {
		m := of(g)
		m[replica.RerunsMachine] = rerun.New(rerun.Config{Group: g, Groups: groups})
		return m
	}
}

// Pipelines reads the policy of reruns that a site's file names; nil: it names none.
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

// captured is the service of promises, as it is served at the control listener.
type captured struct{ jobs pipelines.Jobs }

// RegisterService keeps it.
func (c *captured) RegisterService(d *grpc.ServiceDesc, impl any) {
	if d.ServiceName == promisev1.Promises_ServiceDesc.ServiceName {
		c.jobs, _ = impl.(pipelines.Jobs)
	}
}

// pipelinesPart has runs of pipelines taken. host keeps them, their stages run as promised jobs, and they come in at the
// control listener.
func pipelinesPart(f *siteconf.File, host replicas.Host, beside *services) (program.NewPart, error) {
	p, text, err := Pipelines(f)
	if err != nil {
		return nil, err
	}
	o := pipelines.Options{Name: f.Node.Name, Policy: text, Version: p.Version, Site: policySite(f), Slots: f.Slots()}
	return func(core program.Core) (program.Part, error) {
		var found captured
		beside.register(&found)
		if found.jobs == nil {
			return nil, errors.New("pipelines: there is no service of promises")
		}
		s := pipelines.New(o, host, core.Log)
		s.SetJobs(found.jobs)
		beside.add(func(r grpc.ServiceRegistrar) { pipelinev1.RegisterPipelinesServer(r, s) })
		return &pipelining{Server: s}, nil
	}, nil
}

// pipelining is the service of pipelines as a part.
type pipelining struct {
	*pipelines.Server
	mu     sync.Mutex
	cancel context.CancelFunc
	ended  chan struct{}
}

func (*pipelining) Name() string { return "pipelines" }

func (p *pipelining) Phase(ctx context.Context, phase program.Phase) error {
	switch phase {
	case program.Serving:
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cancel == nil {
			ctx, p.cancel = context.WithCancel(ctx)
			p.ended = make(chan struct{})
			go func(ended chan struct{}) { defer close(ended); p.Run(ctx) }(p.ended)
		}
	case program.HandedOver, program.Departing, program.Stopped: // whoever acts next takes up what runs
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

func (*pipelining) Cordoned([]string) {}

// Reloaded: a new policy counts from the daemon's next start on.
func (*pipelining) Reloaded(*config.Config) {}

// Quiet: the others go on without this one.
func (*pipelining) Quiet() bool { return true }

// Show is what the operators' call explain:RUN prints.
func (p *pipelining) Show(what string) string {
	id, is := strings.CutPrefix(what, "explain:")
	if !is {
		return ""
	}
	e, ok := p.Explained(id)
	if !ok {
		return fmt.Sprintf("no copy of run %q is here: ask another daemon", id)
	}
	text, err := json.MarshalIndent(e, "", " ")
	if err != nil {
		return err.Error()
	}
	return string(text)
}
