package program

import (
	"context"
	"log/slog"

	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
)

// Part is a peer that lives with the program: a front of its own, or another way to tell and be told. It
// is made and registered outside; the program tells it what happens. Its methods must not block.
type Part interface {
	// Name is for the log.
	Name() string
	// Phase takes the program's phase, at the start and after each change. An error at Starting ends the
	// program; later ones are logged. A part whose address the next process shares listens from Serving on
	// and lets go at Yielded: that is its handing over. At Stopped it ends.
	Phase(context.Context, Phase) error
	// Listed takes the name table's news.
	Listed(dispatch.InstanceUpdate)
	// Cordoned takes all instances that people leave out.
	Cordoned(ids []string)
	// Reloaded takes the configuration that counts from now on, the first one included.
	Reloaded(*config.Config)
	// Quiet tells whether nothing is under way that the program's end would lose.
	Quiet() bool
	// Figures is what operators go by, one "name=value" a line.
	Figures() string
}

// Core is what a part may use of the program.
type Core struct {
	Loop *dispatch.Loop
	Log  *slog.Logger
	// Config is the one that the program starts with.
	Config *config.Config
	Lists  Lists
	// Cordons are the instances that people leave out.
	Cordons Cordons
	// Reload has the configuration taken anew, as a SIGHUP does but for what parts do at that, and tells of the outcome
	// once the program runs. It does not block.
	Reload func(done func(error))
}

// NewPart makes a part.
type NewPart func(Core) (Part, error)

// each calls f with every part.
func (p *Program) each(f func(Part)) {
	for _, t := range p.parts {
		f(t)
	}
}
