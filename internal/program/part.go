package program

import (
	"context"
	"log/slog"

	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
)

// Part is an optional component that runs with the program, such as a front of its own or another channel for
// instance lists. It is created and registered outside this package, and the program notifies it of changes. Its
// methods must not block.
type Part interface {
	// Name identifies the part in the log.
	Name() string
	// Phase receives the program's phase, at the start and after each change. An error at Starting ends the
	// program; later ones are logged. A part whose address the next process shares listens from Serving on and
	// closes its listener at HandedOver, which is its handover. At Stopped it ends.
	Phase(context.Context, Phase) error
	// Listed receives each update of the instance list.
	Listed(dispatch.InstanceUpdate)
	// Cordoned receives the IDs of all cordoned instances.
	Cordoned(ids []string)
	// Reloaded receives the configuration in force, including the first one.
	Reloaded(*config.Config)
	// Quiet reports whether the part has no work that would be lost if the program ended.
	Quiet() bool
	// Figures returns the counters shown to operators, one "name=value" per line.
	Figures() string
}

// Core is what a part may use of the program.
type Core struct {
	Loop *dispatch.Loop
	Log  *slog.Logger
	// Config is the configuration that the program starts with.
	Config *config.Config
	Lists  Lists
	// Cordons changes the set of cordoned instances.
	Cordons Cordons
	// Reload rereads the configuration as a SIGHUP does, except for what parts do on a SIGHUP, and calls done with
	// the outcome once the program runs. It does not block.
	Reload func(done func(error))
}

// NewPart creates a part.
type NewPart func(Core) (Part, error)

// eachPart calls f with every part.
func (p *Program) eachPart(f func(Part)) {
	for _, t := range p.parts {
		f(t)
	}
}
