package full

import (
	"context"
	"crypto/sha256"
	"fmt"

	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
	decisions "caperrelay/internal/members"
	"caperrelay/internal/net/members"
	"caperrelay/internal/program"
	"caperrelay/internal/siteconf"
)

// membersPart has dispatchers tell each other of the worker list.
func membersPart(f *siteconf.File) program.NewPart {
	m := f.Members
	return func(core program.Core) (program.Part, error) {
		s := members.New(members.Options{
			Config: decisions.Config{Name: f.Node.Name, Zone: f.Node.Zone, Watchers: m.Watchers, FanOut: m.FanOut, Expected: f.Node.Of},
			Listen: m.Listen, Join: m.Join, Through: m.Through,
		}, core.Lists, core.Log)
		core.Lists.SetSharer(s)
		return &among{s}, nil
	}
}

// among is the dispatcher among others as a part.
type among struct{ *members.Server }

func (*among) Name() string { return "members" }

func (a *among) Phase(ctx context.Context, p program.Phase) error {
	switch p {
	case program.Starting, program.Serving, program.Quiescing, program.Quiesced:
		a.Open(ctx) // from the start on: a process that waits for its list is not to call for it by itself
	case program.HandedOver, program.Stopped:
		a.Close()
	}
	return nil
}

// The list service's own news come by way of Sharer.
func (*among) Listed(dispatch.InstanceUpdate) {}
func (*among) Cordoned([]string)              {}

func (a *among) Reloaded(c *config.Config) {
	a.Retune(fmt.Sprintf("%x", sha256.Sum256(c.Document))[:12])
}

// Quiet: the others go on without this one.
func (*among) Quiet() bool { return true }

// Show is what the operators' calls members and lists print.
func (a *among) Show(what string) string {
	if what != "members" {
		return ""
	}
	return a.View()
}
