package serve

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// eventsOfGoingAnswer is the number of events of one attempt after which its answer
	// counts as going on: the endpoint has lived through the beginning of the answer.
	eventsOfGoingAnswer = 2
	// maxLoggedParts bounds the parts of a prompt in one log line.
	maxLoggedParts = 8
	// trialRetryAfter is the Retry-After of a request with a part of which another request
	// is the trial. It is about the time in which an answer begins.
	trialRetryAfter = 500 * time.Millisecond
	// quarantineRetryAfter is the Retry-After of a request with a quarantined part. It is
	// longer than callers have left, so that those that repeat the request do so as late
	// and as seldom as they may.
	quarantineRetryAfter = 30 * time.Second
)

// partsUnclearError reports that a request was not sent, as a part of its prompt has become
// suspect since it was placed.
type partsUnclearError struct{ part uint64 }

func (e *partsUnclearError) Error() string {
	return fmt.Sprintf("part %x of the prompt may end endpoints, and another request tries it", e.part)
}

// awaitParts returns nil once the parts of the prompt allow the request to be sent. While
// one is suspect, the request needs a lease, and waits for it as long as it waits for room.
func (r *run) awaitParts(ctx context.Context) error {
	until := r.placementDeadline()
	for {
		standing, part := r.server.parts.Check(r.suspectKeys())
		switch {
		case standing == quarantine.Clear, standing == quarantine.Unclear && r.lease != nil:
			return nil
		case standing == quarantine.Quarantined:
			return r.refuseParts(part)
		case standing == quarantine.Postponed:
			return errPartTried()
		}
		lease, retryAfter := r.server.parts.Take(ctx, r.service.Name, r.suspectKeys(), time.Until(r.deadline))
		r.logLease(part, lease != nil, retryAfter)
		if lease != nil {
			r.lease = lease
			continue // the answer may have told that the part is quarantined
		}
		if time.Now().After(until) {
			return errPartTried()
		}
		if !wait.For(ctx, retryAfter) {
			return ctx.Err()
		}
	}
}

// errPartTried returns the error for a prompt with a suspect part that other requests try.
func errPartTried() error {
	return fault.New(fault.Overloaded, "a part of the prompt may end endpoints, and another request tries it").WithRetryAfter(trialRetryAfter)
}

// refuseParts returns the error for a prompt with a quarantined part.
func (r *run) refuseParts(part uint64) error {
	r.server.logger.Warn().Str("request", r.request.ID).Uint64("part", part).Str("id", r.partID(part)).
		Strs("shared_parts", r.loggedParts()).Msg("A request is refused, as a part of its prompt ends endpoints.")
	if part == r.requestKey {
		return fault.New(fault.PromptQuarantined, "this request, whoever sends it, ends the endpoints of service %s", r.service.Name).WithRetryAfter(quarantineRetryAfter)
	}
	return fault.New(fault.PromptQuarantined, "part %q of the prompt ends the endpoints of service %s", r.partID(part), r.service.Name).WithRetryAfter(quarantineRetryAfter)
}

// suspectKeys returns the keys under which the quarantine knows the request: those of its
// shared parts and its own.
func (r *run) suspectKeys() []uint64 { return append(slices.Clip(r.parts), r.requestKey) }

// partID returns the caller's ID of a part, or the path if the key is that of the request.
func (r *run) partID(key uint64) string {
	if key == r.requestKey {
		return r.request.Path
	}
	for _, id := range r.request.SharedParts {
		if quarantine.Key(r.service.Name, id) == key {
			return id
		}
	}
	return ""
}

func (r *run) logLease(part uint64, granted bool, retryAfter time.Duration) {
	r.server.logger.Info().Str("request", r.request.ID).Uint64("part", part).Str("id", r.partID(part)).
		Bool("granted", granted).Dur("retry_after", retryAfter).Msg("A lease for a request with a suspect part was asked for.")
}

// checkParts checks the parts again right before the request is sent.
func (r *run) checkParts() error {
	standing, part := r.server.parts.Check(r.suspectKeys())
	switch {
	case standing == quarantine.Quarantined:
		return r.refuseParts(part)
	case standing == quarantine.Postponed, standing == quarantine.Unclear && r.lease == nil:
		return &partsUnclearError{part: part}
	}
	return nil
}

// partsAreClear reports whether the request may be sent a second time beside an attempt
// that still runs.
func (r *run) partsAreClear() bool {
	standing, _ := r.server.parts.Check(r.suspectKeys())
	return standing == quarantine.Clear
}

// endLease ends the lease after an attempt.
func (r *run) endLease() {
	if r.lease != nil {
		r.lease.End()
		r.lease = nil
	}
}

// recordGoingOn records that the answer of the current attempt goes on.
func (r *run) recordGoingOn() {
	if !r.goesOn {
		r.goesOn = true
		r.server.parts.RecordSound(r.parts)
		r.server.parts.RecordRequestSound(r.requestKey)
	}
}

// recordEnd records that the endpoint of an attempt ended under it, if it did.
func (r *run) recordEnd(ctx context.Context, plan *placement.Plan) bool {
	ended := r.endedUnder(ctx, plan)
	if ended {
		r.server.parts.RecordEnd(quarantine.End{
			Service: r.service.Name, Parts: r.request.SharedParts, Request: r.requestKey, Path: r.request.Path,
			Endpoint: plan.Endpoints[0].Key, SentAt: r.sentAt, Lease: r.lease,
		})
	}
	return ended
}

// endedUnder reports whether the process of an attempt's endpoint ended before the answer
// of the attempt went on. A connection that was cut while the endpoint runs on, an endpoint
// that drains and one that does not answer at all are no such case.
func (r *run) endedUnder(ctx context.Context, plan *placement.Plan) bool {
	e := plan.Endpoints[0]
	if r.goesOn || !r.isReady(e.Key) {
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

// loggedParts returns the first shared parts of the prompt, for a log line.
func (r *run) loggedParts() []string {
	parts := r.request.SharedParts
	return parts[:min(len(parts), maxLoggedParts)]
}
