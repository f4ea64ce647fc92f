package serve

import (
	"context"
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// place waits for endpoints with room.
func (r *run) place(ctx context.Context) (*placement.Plan, error) {
	if plan := r.next; plan != nil {
		r.next = nil
		if r.settle(ctx, plan) {
			return plan, nil
		}
	}
	until := r.holdUntil()
	for {
		changed := r.server.book.WorkEnded()
		plan := r.tryPlace()
		if plan != nil && r.settle(ctx, plan) {
			return plan, nil
		}
		if plan != nil {
			continue
		}
		if time.Now().After(until) {
			return nil, r.noRoom()
		}
		if r.isOverdue() {
			changed = nil // those that may still be in time go first
		}
		if !r.pause(ctx, changed) {
			return nil, ctx.Err()
		}
	}
}

// settle waits until a plan that may cross others is known to the other entries, and
// reports whether it still stands. One that crossed another entry's choice of
// the same endpoints would wait behind it with all its parts.
func (r *run) settle(ctx context.Context, plan *placement.Plan) bool {
	if !plan.AwaitConflicts {
		return true
	}
	if r.isOverdue() && r.crossed {
		plan.Handle.EndConflictWindow()
		return true // another round would cost all entries more than this one gains
	}
	wait.For(ctx, settleTime)
	crossed := plan.Handle.EndConflictWindow()
	if crossed {
		r.crossed = true
		plan.Handle.Close()
		r.server.logger.Info().Str("request", r.request.ID).Str("endpoint", plan.Endpoints[0].ID).Int("helpers", len(plan.Endpoints)-1).
			Msg("The choice crossed another entry's and is made anew.")
	}
	return !crossed
}

// noRoom is the refusal of a request that found no endpoint.
func (r *run) noRoom() error {
	r.measureWait("no_room")
	state := r.server.current.State()
	room := r.server.book.Capacity(r.server.directory.Endpoints(r.service.Name), r.demand(state))
	after := r.comeBack(room)
	line := r.server.logger.Warn().Str("request", r.request.ID).Str("service", r.service.Name)
	if best := room.BestPlan; best != nil {
		line = line.Str("best", best.Endpoints[0].ID).Int("best_helpers", len(best.Endpoints)-1).
			Float64("best_first_ms", best.PredictedFirstMs).Float64("best_score", best.Score)
	}
	line.Int("endpoints", room.Endpoints).Int("candidates", room.Candidates).Int("answers", room.Answers).
		Int("least_answers", room.LeastAnswers).Dur("room_in", room.Wait).Dur("retry_after", after).Dur("waited", time.Since(r.request.Arrived)).
		Int("prompt", r.request.PromptTokens).Msg("No endpoint has room.")
	return fault.New(fault.Overloaded, "no endpoint of service %s has room", r.service.Name).After(after)
}

// comeBack returns after which time the caller is told to come back.
func (r *run) comeBack(room placement.Capacity) time.Duration {
	now := time.Now()
	earliest := now.Add(max(room.Wait, roomWait))
	latest := now.Add(max(r.limit.Sub(now)/callerShare, roomWait))
	gap := room.ServiceInterval * time.Duration(max(1, r.server.settings.Load().EntryCount()))
	return r.server.returns.promise(earliest, latest, gap).Sub(now)
}

// holdUntil is how long the request waits for room, from the moment at which it
// could be placed at all. A caller is told early when to come back; an answer that
// has begun waits as long as there is time.
func (r *run) holdUntil() time.Time {
	if r.begun {
		return r.limit.Add(-leastLeft)
	}
	until := r.admittedAt.Add(r.route.Objective / holdShare)
	// A process that has just started may know a part of the endpoints only.
	known := r.server.startedAt.Add(time.Duration(announceShare * float64(r.server.settings.Load().AnnounceInterval)))
	bearable := r.request.Arrived.Add(time.Duration(patienceShare * float64(r.route.Patience)))
	if known.After(until) && bearable.After(until) {
		return earlier(known, bearable)
	}
	return until
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// isOverdue reports whether the objective of the next event has passed.
func (r *run) isOverdue() bool { return r.nextLeft() < 0 }

// nextLeft is the time left to the objective of the next event: of the first
// one, or of the pause after the last one.
func (r *run) nextLeft() time.Duration {
	if r.events > 0 && r.route.PauseObjective > 0 {
		return time.Until(r.lastAt.Add(r.route.PauseObjective))
	}
	return time.Until(r.request.Arrived.Add(r.route.Objective))
}

// tryPlace returns a plan when endpoints have room just now.
func (r *run) tryPlace() *placement.Plan {
	if !r.server.StateIsCurrent() {
		return nil
	}
	state := r.server.current.State()
	plan := r.server.book.Choose(r.server.directory.Endpoints(r.service.Name), r.demand(state))
	if plan != nil {
		r.measureWait("placed")
		r.logPlan(plan, state)
	}
	return plan
}

// pause waits for a step, a change or the end of ctx, which it reports as false.
func (r *run) pause(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(holdStep)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

func (r *run) demand(state *catalogue.State) *placement.Request {
	q := r.request
	d := &placement.Request{
		Service:       r.service,
		DataCentre:    r.server.settings.Load().DataCentre,
		Objective:     r.route.Objective,
		ObjectiveLeft: r.nextLeft(),
		TimeLimit:     time.Until(r.limit),
		CallerTimeout: r.patienceLeft(),
		Credit:        plainCredit,
		Excluded: func(e *directory.Endpoint) bool {
			return r.tried[e.Key] || e.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_READY || !state.InService(e.DataCentre)
		},
	}
	if engine := r.service.Engine; engine != nil {
		d.PromptTokens = q.PromptTokens
		d.OutputTokens = outputTokens(q, engine)
		d.PauseObjective = r.route.PauseObjective
		d.Credit = math.Pow(max(1, enginemodel.PrefillMs(engine, q.PromptTokens, 1)), creditExponent) * math.Pow(urgencyRatio, -float64(r.priority))
	}
	return d
}

// patienceLeft is how long the caller will wait for the next byte.
func (r *run) patienceLeft() time.Duration {
	if r.begun {
		return r.route.Patience
	}
	return time.Until(r.request.Arrived.Add(r.route.Patience))
}

// outputTokens is the expected output: the caller's estimate, or the usual one.
func outputTokens(q *Request, engine *catalogue.Engine) int {
	expected := int(engine.UsualAnswer)
	if q.OutputTokensHint > 0 {
		expected = q.OutputTokensHint
	}
	if q.MaxOutputTokens > 0 {
		expected = min(expected, q.MaxOutputTokens)
	}
	return expected
}

func (r *run) logPlan(p *placement.Plan, state *catalogue.State) {
	age, _ := r.server.current.Age()
	r.server.logger.Info().Str("request", r.request.ID).Str("route", r.route.Name).
		Str("endpoint", p.Endpoints[0].ID).Strs("helpers", identities(p.Endpoints[1:])).Int("prompt", r.request.PromptTokens).
		Int("answers", p.ActiveAnswers).Float64("backlog_ms", p.BacklogMs).Float64("predicted_first_ms", p.PredictedFirstMs).Float64("score", p.Score).Float64("loss", p.Loss).
		Str("runner_up", p.RunnerUp).Float64("runner_up_score", p.RunnerUpScore).Int("candidates", p.Candidates).
		Uint64("version", state.Version()).Dur("state_age", age).Dur("waited", time.Since(r.request.Arrived)).
		Msg("Endpoints were chosen.")
}

func identities(endpoints []*directory.Endpoint) []string {
	ids := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		ids = append(ids, e.ID)
	}
	return ids
}
