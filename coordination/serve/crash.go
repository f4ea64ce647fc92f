package serve

import (
	"context"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// eventsOfGoingAnswer is the number of events of one attempt after which its answer counts
// as going on: the endpoint has lived through the beginning of the answer.
const eventsOfGoingAnswer = 2

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 8

// loggedParts returns the first shared parts of the prompt, for a log line.
func (r *run) loggedParts() []string {
	parts := r.request.SharedParts
	return parts[:min(len(parts), maxLoggedParts)]
}

// endedUnder reports whether the process of an attempt's endpoint ended before the answer
// of the attempt went on. A connection that was cut while the endpoint runs on, an endpoint
// that drains and one that does not answer at all are no such case.
func (r *run) endedUnder(ctx context.Context, plan *placement.Plan) bool {
	e := plan.Endpoints[0]
	if r.attemptEvents >= eventsOfGoingAnswer || !r.isReady(e.Key) {
		return false
	}
	return r.server.upstream.HasEnded(ctx, e)
}

// isReady reports whether the directory knows an endpoint incarnation as ready.
func (r *run) isReady(key uint64) bool {
	for _, e := range r.server.directory.Endpoints(r.service.Name) {
		if e.Key == key {
			return e.Condition == wire.EndpointCondition_ENDPOINT_CONDITION_READY
		}
	}
	return false
}
