package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/requestlog"
)

// The objectives that an answer may miss, as they are logged.
const (
	objectiveFirst = "first" // for the first event
	objectivePause = "pause" // between events
)

// errNoEventBeforeClose marks a stream of which nothing shows that it began before its
// connection was closed.
var errNoEventBeforeClose = fmt.Errorf("the connection was closed before the first event: %w", io.ErrUnexpectedEOF)

// firstStallTimeout is the silence before the first event, or before a plain
// answer, that counts as a stall.
func (r *run) firstStallTimeout(plan *placement.Plan) time.Duration {
	if r.route.Kind != catalogue.Stream {
		return r.route.Objective
	}
	predicted := time.Duration(plan.PredictedFirstMs) * time.Millisecond
	return min(firstStallBase+2*predicted, r.maxStallTimeout())
}

// pauseStallTimeout is the silence after an event that counts as a stall. It is
// longer while the engine's passes contain much prefill, as an endpoint may send
// nothing until a pass ends.
func (r *run) pauseStallTimeout(plan *placement.Plan) time.Duration {
	return min(max(minPauseStall, pauseStallFactor*r.route.PauseObjective)+plan.Handle.MaxPassTime(r.service.Engine), r.maxStallTimeout())
}

// maxStallTimeout bounds the stall timeouts of a stream, so that another endpoint can
// go on before the caller timeout. The stall timeout of a plain answer is the route's
// objective, without this bound.
func (r *run) maxStallTimeout() time.Duration {
	return time.Duration(float64(r.route.CallerTimeout) * maxStallShare)
}

// planFailover chooses the next endpoint for a stalled request, takes a permit for it and
// charges the retry. It returns false when the request can't go to another endpoint now.
func (r *run) planFailover(ctx context.Context) bool {
	if !r.mayRunAgain() || !r.partsAreClear() {
		return false
	}
	plan := r.tryPlace()
	if plan == nil || !r.takePermit(ctx, plan) {
		return false
	}
	if !r.takeRetry() {
		plan.Handle.Close()
		return false
	}
	r.nextPlan = plan
	return true
}

// deliverStream queues events for the caller as they arrive. It does not wait for the caller
// to take them, only for the budget, for bufferWait at most. A response that goes on with a stream that has begun must show that it does with
// the ID of its first event.
func (r *run) deliverStream(ctx context.Context, plan *placement.Plan, response *Response, cancel context.CancelFunc) error {
	if !response.Signed {
		return errInvalidResponse
	}
	events := make(chan event)
	ended := make(chan error, 1)
	body := &pacedBody{ctx, response.Body, r.out}
	go func() { ended <- readEvents(ctx, body, events, &r.server.bufferedBytes) }()
	stall := time.NewTimer(r.firstStallTimeout(plan))
	defer stall.Stop()
	continues := r.headerWritten.Load()
	for {
		select {
		case e := <-events:
			if err := r.queueEvent(ctx, plan, response, e, continues); err != nil {
				return err
			}
			stall.Reset(r.pauseStallTimeout(plan))
		case err := <-ended:
			return r.endStream(ctx, plan, response, err, continues)
		case <-stall.C:
			if left := time.Until(r.out.readSince().Add(r.pauseStallTimeout(plan))); left > 0 {
				stall.Reset(left) // the endpoint was not read for a part of the time
				continue
			}
			if r.planFailover(ctx) {
				cancel()
				return errStalled
			}
			stall.Reset(failoverRetryInterval)
		case <-r.out.failed:
			return r.out.failure()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// queueEvent checks an event and queues it for the caller.
func (r *run) queueEvent(ctx context.Context, plan *placement.Plan, response *Response, e event, continues bool) error {
	if err := r.checkEvent(response, &e, continues); err != nil {
		return err
	}
	r.recordEvent(plan, time.Now())
	if !r.headerWritten.Load() {
		r.writeHeader(response.Status, response.Header, -1)
	}
	if err := r.server.awaitBytes(ctx, len(e.bytes)); err != nil {
		return err
	}
	if err := r.out.push(e.bytes); err != nil {
		return err
	}
	r.eventsSent++
	if r.attemptEvents++; r.attemptEvents == eventsOfGoingAnswer {
		r.recordGoingOn()
	}
	if e.id != "" {
		r.lastEventID = e.id
	}
	return nil
}

// checkEvent returns an error for an event that can't be the next one of this answer.
func (r *run) checkEvent(response *Response, e *event, continues bool) error {
	switch {
	case continues && r.attemptEvents == 0 && e.id == "" && !e.isComment():
		return fmt.Errorf("%w: its first event has no ID", errInvalidResponse)
	case response.EndsWithClose && r.attemptEvents == 0 && e.isComment():
		return errNoEventBeforeClose
	case !e.follows(r.lastEventID):
		return fmt.Errorf("%w: event %q after event %q", errInvalidResponse, e.id, r.lastEventID)
	}
	return nil
}

// recordEvent records the time of an event. The time in which the endpoint was not read
// doesn't count as a pause.
func (r *run) recordEvent(plan *placement.Plan, now time.Time) {
	if r.attemptEvents == 0 {
		r.recordFirstEvent(plan, now)
	}
	from := later(r.lastEventAt, r.out.readSince())
	if pause := now.Sub(from); r.eventsSent > 0 && r.route.PauseObjective > 0 && pause > r.route.PauseObjective {
		r.recordLate(plan, objectivePause, pause)
	}
	r.lastEventAt = now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endStream returns the result of a stream whose body was read to its end or failed with err.
func (r *run) endStream(ctx context.Context, plan *placement.Plan, response *Response, err error, continues bool) error {
	if err == nil && r.attemptEvents < eventsOfGoingAnswer && r.endedUnder(ctx, plan) {
		err = io.ErrUnexpectedEOF // without a length, the end of the process looks like that of the answer
	}
	if err == nil && response.EndsWithClose && r.attemptEvents == 0 {
		err = errNoEventBeforeClose
	}
	if err == nil && continues && r.attemptEvents == 0 && !response.isStream() {
		err = fmt.Errorf("%w: it has no events", errInvalidResponse)
	}
	if err != nil && r.brokeOffUnread(ctx, err) {
		err = fmt.Errorf("%w: %w", errAbortedUnread, err)
	}
	return r.finishStream(response, err)
}

// brokeOffUnread reports whether a response that failed with err was aborted because it was
// left unread for the caller.
func (r *run) brokeOffUnread(ctx context.Context, err error) bool {
	for _, other := range []error{errCaller, errInvalidResponse, errBufferFull} {
		if errors.Is(err, other) {
			return false
		}
	}
	return ctx.Err() == nil && r.out.wasUnread()
}

// finishStream returns nil when the stream ended completely. It starts the answer
// of a stream without events.
func (r *run) finishStream(response *Response, err error) error {
	if err != nil {
		return err
	}
	if !r.headerWritten.Load() {
		r.writeHeader(response.Status, response.Header, -1)
	}
	return nil
}

// recordFirstEvent records when the first event of an attempt arrived. If the answer
// was already late in an earlier attempt, it marks the new plan as late too.
func (r *run) recordFirstEvent(plan *placement.Plan, now time.Time) {
	took, predicted := plan.Handle.MarkStarted()
	r.measurePrediction(took, predicted)
	if r.firstByteAt.IsZero() {
		r.firstByteAt = now
	}
	if waited := now.Sub(r.request.Arrived); r.late || r.eventsSent == 0 && waited > r.route.Objective {
		r.recordLate(plan, objectiveFirst, waited)
	}
	r.server.logger.Info().Str("request", r.request.ID).Str("endpoint", plan.Endpoints[0].ID).
		Int("helpers", len(plan.Endpoints)-1).Dur("took", took).Float64("predicted_ms", predicted).
		Bool("late", r.late).Msg("The first event arrived.")
}

// objectiveTime is the time that an objective allows.
func (r *run) objectiveTime(objective string) time.Duration {
	if objective == objectiveFirst {
		return r.route.Objective
	}
	return r.route.PauseObjective
}

// recordLate reports to the other entries that this answer has missed an
// objective, so that their placements no longer protect it. It logs only the first
// objective that an answer misses.
func (r *run) recordLate(plan *placement.Plan, objective string, took time.Duration) {
	plan.Handle.MarkLate()
	if r.late {
		return
	}
	r.late = true
	r.server.logger.Info().Str("request", r.request.ID).Str("endpoint", plan.Endpoints[0].ID).Str("objective", objective).
		Dur("took", took).Dur("allowed", r.objectiveTime(objective)).Int("events", r.eventsSent).Dur("pass", plan.Handle.MaxPassTime(r.service.Engine)).Msg(requestlog.Late)
}
