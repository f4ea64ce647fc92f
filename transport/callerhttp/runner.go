package callerhttp

import (
	"context"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// OnceRunner runs single attempts for claims.
type OnceRunner struct {
	relay  *relay.Relay
	bodies *Bodies
}

// NewOnceRunner returns a runner.
func NewOnceRunner(r *relay.Relay, bodies *Bodies) *OnceRunner {
	return &OnceRunner{relay: r, bodies: bodies}
}

// Choose implements claims.Runner.
func (o *OnceRunner) Choose(job *relay.Job) (routing.Choice, error) { return o.relay.Choose(job) }

// Run implements claims.Runner.
func (o *OnceRunner) Run(ctx context.Context, choice routing.Choice, attempt string, job *relay.Job) (*wire.Outcome, error) {
	hold := o.bodies.open()
	defer hold.close()
	sink := &wholeSink{hold: hold}
	end, _, err := o.relay.RunAt(ctx, choice, attempt, job, sink, func() {})
	if err != nil {
		return nil, err
	}
	return &wire.Outcome{Status: end.Status, ContentType: end.ContentType, Body: sink.body}, nil
}
