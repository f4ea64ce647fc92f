package serve

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/requestlog"
)

// place returns a plan with a permit to send it, and waits for one until the placement
// deadline while no endpoint has capacity. After that, and at once if all endpoints wait for a
// permit for longer or the queue sheds the request, the error is Overloaded with a
// Retry-After. Where the routes of the service differ in priority, waiting requests are
// placed in the order of the queue; elsewhere each tries on its own.
func (r *run) place(ctx context.Context) (*placement.Plan, error) {
	if plan := r.nextPlan; plan != nil {
		r.nextPlan = nil
		if r.awaitConflicts(ctx, plan) {
			return plan, nil
		}
	}
	until := r.placementDeadline()
	turn := r.joinQueue(ctx, until)
	defer turn.leave()
	for {
		changed := r.server.scheduler.WorkEnded()
		plan := r.placeInTurn(turn)
		if plan != nil && !r.awaitConflicts(ctx, plan) {
			continue
		}
		if plan != nil && r.takePermit(ctx, plan) {
			turn.markSent()
			return plan, nil
		}
		if plan != nil && r.permitDenials < maxPermitDenials {
			continue // other endpoints may have capacity
		}
		if turn.isShed() || time.Now().After(until) || r.waitsForPermits(until) {
			if !turn.refuse() {
				continue
			}
			return nil, r.noCapacity(turn)
		}
		if r.isOverdue() && !turn.hasBegun() {
			// A nil channel is never ready, so a late request only polls. Requests that
			// can still meet their objective wait for the change and are placed first.
			changed = nil
		}
		if !r.waitForChange(ctx, changed, turn) {
			return nil, ctx.Err()
		}
	}
}

// awaitConflicts waits until the other entries have received the event of a plan
// that may conflict with theirs, and reports whether the plan is still valid. If
// another entry has chosen the same endpoints at the same time, all parts of the
// plan would wait behind that entry's, so the plan is dropped. A request that has
// lost a plan in this way and is already late keeps its next plan without waiting.
func (r *run) awaitConflicts(ctx context.Context, plan *placement.Plan) bool {
	if !plan.AwaitConflicts {
		return true
	}
	if r.isOverdue() && r.hadConflict {
		plan.Handle.EndConflictWindow()
		// Another change of plan would be sent to the other entries, for a request
		// that is late in any case.
		return true
	}
	wait.For(ctx, conflictWindow)
	conflict := plan.Handle.EndConflictWindow()
	if conflict {
		r.hadConflict = true
		plan.Handle.Close()
		r.server.logger.Info().Str("request", r.request.ID).Str("endpoint", plan.Endpoints[0].ID).Int("helpers", len(plan.Endpoints)-1).
			Msg("The plan conflicts with another entry's and is dropped.")
	}
	return !conflict
}

// takePermit takes a permit for the main endpoint of a plan. Without one it drops the
// plan, and the endpoint isn't chosen until its next permit may be asked for. Helpers have
// no rate limit; what the scheduler knows of the arrivals at a cold one suffices for their
// few parts.
func (r *run) takePermit(ctx context.Context, plan *placement.Plan) bool {
	e, scheduler := plan.Endpoints[0], r.server.scheduler
	coldness, perSecond := scheduler.Coldness(e), scheduler.PermitRate(e, r.service)
	if perSecond == placement.Unlimited {
		return true
	}
	if !scheduler.StartPermit(e.Key) {
		plan.Handle.Close()
		return false
	}
	granted, retryAfter := r.server.permits.Take(ctx, e, scheduler.ColdRate(e, r.service))
	scheduler.EndPermit(e.Key, retryAfter)
	r.measurePermit(granted)
	r.server.logger.Info().Str("request", r.request.ID).Str("endpoint", e.ID).Float64("per_second", perSecond).
		Str("coldness", string(coldness)).Bool("granted", granted).Dur("retry_after", retryAfter).Msg("A permit was asked for.")
	if !granted {
		r.permitDenials++
		plan.Handle.Close()
	}
	return granted
}

// waitsForPermits reports whether the answer has not begun and all endpoints wait for a
// permit until after the given time.
func (r *run) waitsForPermits(until time.Time) bool {
	if r.headerWritten.Load() {
		return false
	}
	state := r.server.stateCache.State()
	wait, all := r.server.scheduler.PermitWait(r.server.directory.Endpoints(r.service.Name), r.placementRequest(state))
	return all && time.Now().Add(wait).After(until)
}

// placeInTurn returns a plan, or nil when no endpoint has capacity now or others are ahead in
// the queue.
func (r *run) placeInTurn(turn *turn) *placement.Plan {
	if turn == nil {
		return r.choosePlan()
	}
	return turn.take()
}

// capacity examines the endpoints for this request.
func (r *run) capacity() placement.Capacity {
	state := r.server.stateCache.State()
	return r.server.scheduler.Capacity(r.server.directory.Endpoints(r.service.Name), r.placementRequest(state))
}

// noCapacity logs how full the endpoints are and returns an Overloaded error with
// a Retry-After.
func (r *run) noCapacity(turn *turn) error {
	r.measureWait("no_room")
	capacity := turn.withQueue(r.capacity())
	after := r.retryAfter(capacity)
	line := r.server.logger.Warn().Str("request", r.request.ID).Str("service", r.service.Name)
	if best := capacity.BestPlan; best != nil {
		line = line.Str("best", best.Endpoints[0].ID).Int("best_helpers", len(best.Endpoints)-1).
			Float64("best_first_ms", best.PredictedFirstMs).Float64("best_score", best.Score)
	}
	line.Int("endpoints", capacity.Endpoints).Int("candidates", capacity.Candidates).Int("answers", capacity.Answers).
		Int("least_answers", capacity.LeastAnswers).Bool("out_of_permits", capacity.OutOfPermits).Dur("room_in", capacity.Wait).Dur("retry_after", after).Dur("waited", time.Since(r.request.Arrived)).
		Int("prompt", r.request.PromptTokens).Msg(requestlog.NoRoom)
	return r.noCapacityError(capacity, after)
}

func (r *run) noCapacityError(capacity placement.Capacity, after time.Duration) error {
	if capacity.OutOfPermits {
		return fault.New(fault.Overloaded, "the rate limits of all endpoints of service %s are used up", r.service.Name).WithRetryAfter(after)
	}
	return fault.New(fault.Overloaded, "no endpoint of service %s has capacity", r.service.Name).WithRetryAfter(after)
}

// retryAfter returns the Retry-After of a request that no endpoint has capacity for: the
// time until there may be capacity, spread over the refused callers, and at most the
// request's time left divided by retryAfterDivisor. It is never below minRetryAfter.
func (r *run) retryAfter(capacity placement.Capacity) time.Duration {
	now := time.Now()
	earliest, latest, gap := r.retryWindow(capacity, now)
	return r.server.retries.assign(earliest, latest, gap).Sub(now)
}

// retryWindow returns the first and the last time to which a refused caller may be told to
// come back, and the time between two callers.
func (r *run) retryWindow(capacity placement.Capacity, now time.Time) (earliest, latest time.Time, gap time.Duration) {
	earliest = now.Add(max(capacity.Wait, minRetryAfter))
	latest = now.Add(max(r.deadline.Sub(now)/retryAfterDivisor, minRetryAfter))
	gap = capacity.ServiceInterval * time.Duration(max(1, r.server.settings.Load().EntryCount()))
	return earliest, latest, gap
}

// placementDeadline is until when the request waits for an endpoint with capacity. It
// counts from admission, so that a wait for the state doesn't shorten it. A
// request without an answer yet is refused early with a Retry-After; an answer
// that has started waits for as long as its deadline allows.
func (r *run) placementDeadline() time.Time {
	if r.headerWritten.Load() {
		return r.deadline.Add(-minAttemptTime)
	}
	until := r.admittedAt.Add(r.route.Objective / capacityWaitDivisor)
	allKnown := r.server.endpointsKnownAt()
	callerLimit := r.request.Arrived.Add(time.Duration(callerTimeoutShare * float64(r.route.CallerTimeout)))
	if allKnown.After(until) && callerLimit.After(until) {
		return earlier(allKnown, callerLimit)
	}
	return until
}

// endpointsKnownAt is when this process has surely heard from all endpoints since its start.
func (s *Server) endpointsKnownAt() time.Time {
	return s.startedAt.Add(time.Duration(startupIntervals * float64(s.settings.Load().AnnounceInterval)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// isOverdue reports whether the objective of the next event has been missed.
func (r *run) isOverdue() bool { return r.objectiveLeft() < 0 }

// objectiveLeft is the time left until the next event misses its objective: that
// for the first event, or that for the pause since the last event.
func (r *run) objectiveLeft() time.Duration {
	if r.eventsSent > 0 && r.route.PauseObjective > 0 {
		return time.Until(r.lastEventAt.Add(r.route.PauseObjective))
	}
	return time.Until(r.request.Arrived.Add(r.route.Objective))
}

// choosePlan returns a plan, or nil when no endpoint has capacity now or the state is
// not current.
func (r *run) choosePlan() *placement.Plan {
	if !r.server.StateIsCurrent() {
		return nil
	}
	state := r.server.stateCache.State()
	plan := r.server.scheduler.Choose(r.server.directory.Endpoints(r.service.Name), r.placementRequest(state))
	if plan != nil {
		r.measureWait("placed")
		r.logPlan(plan, state)
	}
	return plan
}

// waitForChange waits until changed is closed, for capacityPollInterval at most. A request
// with a turn in a queue also waits for a decision about it, and at most until the queue
// offers capacity to further requests. It returns false when ctx has ended.
func (r *run) waitForChange(ctx context.Context, changed <-chan struct{}, turn *turn) bool {
	timer := time.NewTimer(turn.pause())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-turn.decided():
	case <-timer.C:
	}
	return true
}

// placementRequest describes the request to the scheduler. Its TimeLimit and
// CallerTimeout are what is left of those of the request and of the route.
func (r *run) placementRequest(state *catalogue.State) *placement.Request {
	q := r.request
	d := &placement.Request{
		Service:       r.service,
		DataCentre:    r.server.settings.Load().DataCentre,
		Objective:     r.route.Objective,
		ObjectiveLeft: r.objectiveLeft(),
		TimeLimit:     time.Until(r.deadline),
		CallerTimeout: r.callerTimeoutLeft(),
		Credit:        plainCredit,
		Excluded: func(e *directory.Endpoint) bool {
			return r.exclusion(e, state) != placement.NoReason
		},
	}
	if engine := r.service.Engine; engine != nil {
		d.PromptTokens = q.PromptTokens
		d.OutputTokens = expectedOutputTokens(q, engine)
		d.PauseObjective = r.route.PauseObjective
		d.Credit = r.credit(engine)
		d.HasPriorities = r.ranked
		d.ReservedStart = r.server.settings.Load().reservedStart()
	}
	return d
}

// Reasons for which a run excludes an endpoint, beside that it drains.
const (
	wasTried      placement.Reason = "was tried"
	memoryRefused placement.Reason = "refused memory lately"
	outOfService  placement.Reason = "out of service"
)

// exclusion returns why the request isn't sent to an endpoint, whatever its load.
func (r *run) exclusion(e *directory.Endpoint, state *catalogue.State) placement.Reason {
	switch {
	case r.tried[e.Key]:
		return wasTried
	case !state.InService(e.DataCentre):
		return outOfService
	case e.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_READY:
		return placement.Draining
	case r.refusedMemoryLately(e.Key):
		return memoryRefused
	}
	return placement.NoReason
}

// callerTimeoutLeft is the time left until the caller gives up waiting for the first
// byte. After the header it is the whole caller timeout, from which the silence since
// the last event is not subtracted.
func (r *run) callerTimeoutLeft() time.Duration {
	if r.headerWritten.Load() {
		return r.route.CallerTimeout
	}
	return time.Until(r.request.Arrived.Add(r.route.CallerTimeout))
}

// expectedOutputTokens returns the caller's estimate of the output, or the
// service's mean output, within the caller's limit.
func expectedOutputTokens(q *Request, engine *catalogue.Engine) int {
	expected := int(engine.MeanOutputTokens)
	if q.OutputTokensHint > 0 {
		expected = q.OutputTokensHint
	}
	if q.MaxOutputTokens > 0 {
		expected = min(expected, q.MaxOutputTokens)
	}
	return expected
}

// logPlan logs a plan with what the scheduler based it on.
func (r *run) logPlan(p *placement.Plan, state *catalogue.State) {
	age, _ := r.server.stateCache.Age()
	r.server.logger.Info().Str("request", r.request.ID).Str("route", r.route.Name).
		Str("endpoint", p.Endpoints[0].ID).Strs("helpers", endpointIDs(p.Endpoints[1:])).Int("prompt", r.request.PromptTokens).
		Int("answers", p.ActiveAnswers).Float64("backlog_ms", p.BacklogMs).Float64("predicted_first_ms", p.PredictedFirstMs).Float64("score", p.Score).Float64("loss", p.Loss).
		Str("runner_up", p.RunnerUp).Float64("runner_up_score", p.RunnerUpScore).Int("candidates", p.Candidates).
		Uint64("version", state.Version()).Dur("state_age", age).Dur("waited", time.Since(r.request.Arrived)).
		Msg(requestlog.Chosen)
}

func endpointIDs(endpoints []*directory.Endpoint) []string {
	ids := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		ids = append(ids, e.ID)
	}
	return ids
}
