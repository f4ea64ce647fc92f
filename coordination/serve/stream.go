package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// The objectives that an answer may miss.
const (
	lateFirst = "first" // of the first event
	latePause = "pause" // between events
)

// firstStall is the silence after a sending from which on another endpoint is
// looked for.
func (r *run) firstStall(plan *placement.Plan) time.Duration {
	if r.route.Kind != catalogue.Stream {
		return r.route.Objective
	}
	predicted := time.Duration(plan.PredictedFirstMs) * time.Millisecond
	return min(stallFirst+2*predicted, r.stallMost())
}

// stallAfter is the silence after an event from which on another endpoint is
// looked for: longer while the endpoint reads much in a pass.
func (r *run) stallAfter(plan *placement.Plan) time.Duration {
	return min(max(stallBetween, stallPauses*r.route.PauseObjective)+plan.Handle.MaxPassTime(r.service.Engine), r.stallMost())
}

// stallMost leaves time to go on elsewhere before the caller's patience ends.
func (r *run) stallMost() time.Duration {
	return time.Duration(float64(r.route.Patience) * stallShare)
}

// findOther secures another endpoint for a request whose present one is silent.
func (r *run) findOther() bool {
	if !r.mayRunAgain() {
		return false
	}
	plan := r.tryPlace()
	if plan == nil {
		return false
	}
	if !r.takeRepeat() {
		plan.Handle.Close()
		return false
	}
	r.next = plan
	return true
}

// deliverStream passes events on as they arrive.
func (r *run) deliverStream(ctx context.Context, plan *placement.Plan, response *Response, cancel context.CancelFunc) error {
	if !response.Signed {
		return errGarbled
	}
	events := make(chan event)
	ended := make(chan error, 1)
	go func() { ended <- readEvents(ctx, response.Body, events) }()
	stall := time.NewTimer(r.firstStall(plan))
	defer stall.Stop()
	started := false
	for {
		select {
		case e := <-events:
			if !e.follows(r.lastEvent) {
				return fmt.Errorf("%w: event %q after event %q", errGarbled, e.id, r.lastEvent)
			}
			now := time.Now()
			if !started {
				started = true
				r.noteStarted(plan, now)
			}
			if pause := now.Sub(r.lastAt); r.events > 0 && r.route.PauseObjective > 0 && pause > r.route.PauseObjective {
				r.noteLate(plan, latePause, pause)
			}
			r.lastAt = now
			if !r.begun {
				r.begin(response.Status, response.Header, -1)
			}
			if err := r.answer.Write(e.bytes); err != nil {
				return err
			}
			r.events++
			if e.id != "" {
				r.lastEvent = e.id
			}
			stall.Reset(r.stallAfter(plan))
		case err := <-ended:
			return r.streamEnded(response, err)
		case <-stall.C:
			if r.findOther() {
				cancel()
				return errStalled
			}
			stall.Reset(stallRetry)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// streamEnded reports nil when the stream is complete.
func (r *run) streamEnded(response *Response, err error) error {
	if err != nil {
		return err
	}
	if !r.begun {
		r.begin(response.Status, response.Header, -1)
	}
	return nil
}

func (r *run) noteStarted(plan *placement.Plan, now time.Time) {
	took, predicted := plan.Handle.MarkStarted()
	r.measurePrediction(took, predicted)
	if r.firstAt.IsZero() {
		r.firstAt = now
	}
	if waited := now.Sub(r.request.Arrived); r.late || r.events == 0 && waited > r.route.Objective {
		r.noteLate(plan, lateFirst, waited)
	}
	r.server.logger.Info().Str("request", r.request.ID).Str("endpoint", plan.Endpoints[0].ID).
		Int("helpers", len(plan.Endpoints)-1).Dur("took", took).Float64("predicted_ms", predicted).
		Bool("late", r.late).Msg("The first event arrived.")
}

// allowed is the time that an objective gives.
func (r *run) allowed(objective string) time.Duration {
	if objective == lateFirst {
		return r.route.Objective
	}
	return r.route.PauseObjective
}

// noteLate tells the others that this answer has missed an objective, so that
// they need not be careful of it any more.
func (r *run) noteLate(plan *placement.Plan, objective string, took time.Duration) {
	plan.Handle.MarkLate()
	if r.late {
		return
	}
	r.late = true
	r.server.logger.Info().Str("request", r.request.ID).Str("endpoint", plan.Endpoints[0].ID).Str("objective", objective).
		Dur("took", took).Dur("allowed", r.allowed(objective)).Int("events", r.events).Dur("pass", plan.Handle.MaxPassTime(r.service.Engine)).Msg("The answer is late.")
}
