package ctl

import (
	"context"
	"fmt"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/jessevdk/go-flags"
	"google.golang.org/grpc"
)

type liftArguments struct {
	Part uint64 `positional-arg-name:"PART" required:"yes" description:"Key of the part, as the list and the logs show it"`
}

func (a *app) registerQuarantine(parent *flags.Command) {
	addCommand(parent, "list", "List the quarantined parts of prompts", &struct{ command }{a.listQuarantine})
	lift := &positionalCommand[liftArguments]{}
	lift.command = func() error { return a.liftQuarantine(lift.Args.Part) }
	addCommand(parent, "lift", "Lift the quarantine of a part of prompts", lift)
}

// steer calls the leader of a control group that serves routes. The other processes answer
// that they do not lead.
func (a *app) steer(call func(ctx context.Context, client wire.SteeringClient) (*wire.SteeringAnswer, error)) (*wire.SteeringAnswer, error) {
	return callAnyConn(a, func(ctx context.Context, conn grpc.ClientConnInterface) (*wire.SteeringAnswer, error) {
		answer, err := call(ctx, wire.NewSteeringClient(conn))
		if err == nil {
			err = fault.FromWire(answer.Failure)
		}
		return answer, err
	})
}

// readState returns the newest state of a control group that serves routes.
func (a *app) readState() (*wire.CatalogueState, error) {
	answer, err := a.steer(func(ctx context.Context, client wire.SteeringClient) (*wire.SteeringAnswer, error) {
		return client.Read(ctx, &wire.SteeringRead{})
	})
	if err != nil {
		return nil, err
	}
	return answer.State, nil
}

func (a *app) listQuarantine() error {
	state, err := a.readState()
	if err != nil {
		return err
	}
	if a.options.Output == "json" {
		return a.printJSON(&wire.CatalogueState{Index: state.Index, Quarantined: state.Quarantined})
	}
	t := newTable(a.out, "PART", "SERVICE", "ID", "FINAL")
	for _, q := range state.Quarantined {
		t.row(q.Key, q.Service, q.Id, q.Final)
	}
	return t.flush()
}

func (a *app) liftQuarantine(part uint64) error {
	if a.options.DryRun {
		fmt.Fprintf(a.out, "The quarantine of part %d would be lifted.\n", part)
		return nil
	}
	read, err := a.readState()
	if err != nil {
		return err
	}
	change := &wire.QuarantineChange{Key: part, Lift: true, ByOperator: true, GivenAt: &read.Index}
	answer, err := a.steer(func(ctx context.Context, client wire.SteeringClient) (*wire.SteeringAnswer, error) {
		return client.Change(ctx, &wire.SteeringChange{Command: &wire.Command{Of: &wire.Command_Quarantine{Quarantine: change}}})
	})
	if err != nil {
		return err
	}
	if answer.Outcome.GetOvertaken() {
		return fault.New(fault.Conflict, "part %d was quarantined anew meanwhile", part)
	}
	fmt.Fprintf(a.out, "Part %d is not quarantined since index %d.\n", part, answer.Outcome.GetIndex())
	return nil
}
