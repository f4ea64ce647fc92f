package callerhttp

import (
	"context"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// AttemptRunner runs single attempts for claims.
type AttemptRunner struct {
	relay  *relay.Relay
	bodies *BodyBudget
}

// NewAttemptRunner returns a runner.
func NewAttemptRunner(r *relay.Relay, bodies *BodyBudget) *AttemptRunner {
	return &AttemptRunner{relay: r, bodies: bodies}
}

// Choose implements claims.Runner.
func (o *AttemptRunner) Choose(job *relay.Job) (routing.Choice, error) { return o.relay.Choose(job) }

// Run implements claims.Runner.
func (o *AttemptRunner) Run(ctx context.Context, choice routing.Choice, attempt string, job *relay.Job) (*wire.Outcome, error) {
	hold := o.bodies.open()
	defer hold.close()
	sink := &wholeSink{hold: hold}
	end, _, err := o.relay.RunAt(ctx, choice, attempt, job, sink, func() {})
	if err != nil {
		return nil, err
	}
	return &wire.Outcome{Status: end.Status, ContentType: end.ContentType, Body: sink.body}, nil
}
