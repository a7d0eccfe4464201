package program

import (
	"context"
	"fmt"
	"net"

	"caperrelay/internal/config"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/operators"
)

// admin is the operators' address as a part: it listens from the start on, so that operators can ask why the
// program does not serve.
type admin struct {
	program  *Program
	address  string
	listener net.Listener
}

func (*admin) Name() string { return "admin_addr" }

func (a *admin) Phase(_ context.Context, p Phase) (err error) {
	switch p {
	case Starting:
		if a.listener, err = net.Listen("tcp", a.address); err != nil {
			return err
		}
		a.program.admin = a.listener.Addr().String()
		go operators.New(a.program, a.program.log).Serve(a.listener)
	case Stopped:
		if a.listener != nil {
			return a.listener.Close()
		}
	}
	return nil
}

func (*admin) Listed(dispatch.InstanceUpdate) {}
func (*admin) Cordoned([]string)              {}
func (*admin) Reloaded(*config.Config)        {} // its address takes effect at the next start
func (*admin) Quiet() bool                    { return true }
func (*admin) Figures() string                { return "" }

// startParts notifies all parts that the program starts; an error from one ends the program.
func (p *Program) startParts(ctx context.Context) error {
	for _, t := range p.parts {
		if err := t.Phase(ctx, Starting); err != nil {
			return fmt.Errorf("%s: %w", t.Name(), err)
		}
	}
	return nil
}
