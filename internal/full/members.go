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

// membersPart returns the constructor of the part that shares the instance list among dispatchers.
func membersPart(f *siteconf.File) program.NewPart {
	m := f.Members
	return func(core program.Core) (program.Part, error) {
		s := members.New(members.Options{
			Config: decisions.Config{Name: f.Node.Name, Zone: f.Node.Zone, Watchers: m.Watchers, FanOut: m.FanOut, Expected: f.Node.Of},
			Listen: m.Listen, Join: m.Join, Through: m.Through,
		}, core.Lists, core.Log)
		core.Lists.SetSharer(s)
		return &memberPart{s}, nil
	}
}

// memberPart runs the sharing of the instance list as a part of the program.
type memberPart struct{ *members.Server }

func (*memberPart) Name() string { return "members" }

func (a *memberPart) Phase(ctx context.Context, p program.Phase) error {
	switch p {
	case program.Starting, program.Serving, program.Quiescing, program.Quiesced:
		a.Open(ctx) // already at the start: a process that waits for its list must not query discovery itself
	case program.HandedOver, program.Stopped:
		a.Close()
	}
	return nil
}

// Listed does nothing: updates from discovery arrive through the sharer.
func (*memberPart) Listed(dispatch.InstanceUpdate) {}
func (*memberPart) Cordoned([]string)              {}

func (a *memberPart) Reloaded(c *config.Config) {
	a.Retune(fmt.Sprintf("%x", sha256.Sum256(c.Document))[:12])
}

// Quiet returns true: the other daemons continue without this one.
func (*memberPart) Quiet() bool { return true }

// Show returns the output of the operators' command members.
func (a *memberPart) Show(what string) string {
	if what != "members" {
		return ""
	}
	return a.View()
}
