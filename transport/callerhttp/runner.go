package callerhttp

import (
	"context"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// AttemptRunner implements claims.Runner: it runs single attempts of non-repeatable
// requests through the relay.
type AttemptRunner struct {
	relay  *relay.Relay
	budget *BodyBudget
}

// NewAttemptRunner returns an AttemptRunner that counts the answers it buffers against
// the budget.
func NewAttemptRunner(r *relay.Relay, budget *BodyBudget) *AttemptRunner {
	return &AttemptRunner{relay: r, budget: budget}
}

// Choose implements claims.Runner.
func (r *AttemptRunner) Choose(job *relay.Job) (routing.Choice, error) { return r.relay.Choose(job) }

// Run implements claims.Runner. The budget limits the answer only while it is received: its
// bytes are returned to the budget when Run returns, although the outcome still holds them.
func (r *AttemptRunner) Run(ctx context.Context, choice routing.Choice, attempt string, job *relay.Job) (*wire.Outcome, error) {
	memory := r.budget.newReservation()
	defer memory.close()
	sink := &bufferedSink{memory: memory}
	end, _, err := r.relay.RunAt(ctx, choice, attempt, job, sink, func() {})
	if err != nil {
		return nil, err
	}
	return &wire.Outcome{Status: end.Status, ContentType: end.ContentType, Body: sink.body}, nil
}
