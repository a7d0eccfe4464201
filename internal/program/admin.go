package program

import (
	"context"
	"fmt"
	"net"

	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/operators"
)

// admin is the operators' address as a part: it listens from the start on, so that people can ask why the
// rest does not.
type admin struct {
	program *Program
	address string
	at      net.Listener
}

func (*admin) Name() string { return "admin_addr" }

func (a *admin) Phase(_ context.Context, p Phase) (err error) {
	switch p {
	case Starting:
		if a.at, err = net.Listen("tcp", a.address); err != nil {
			return err
		}
		a.program.admin = a.at.Addr().String()
		go operators.New(a.program, a.program.log).Serve(a.at)
	case Stopped:
		if a.at != nil {
			return a.at.Close()
		}
	}
	return nil
}

func (*admin) Listed(dispatch.InstanceUpdate) {}
func (*admin) Cordoned([]string)              {}
func (*admin) Reloaded(*config.Config)        {} // its address counts from the next start on
func (*admin) Quiet() bool                    { return true }
func (*admin) Figures() string                { return "" }

// begin tells all parts that the program starts; one that cannot is the program's end.
func (p *Program) begin(ctx context.Context) error {
	for _, t := range p.parts {
		if err := t.Phase(ctx, Starting); err != nil {
			return fmt.Errorf("%s: %w", t.Name(), err)
		}
	}
	return nil
}
