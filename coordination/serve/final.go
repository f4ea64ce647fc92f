package serve

import (
	"context"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/telemetry/requestlog"
)

// finish writes the final answer unless it was delivered, or aborts one that can't
// be completed, and records the outcome.
func (r *run) finish(ctx context.Context, err error) {
	if r.nextPlan != nil {
		r.nextPlan.Handle.Close()
	}
	switch {
	case err == nil:
	case r.headerWritten.Load():
		r.writer.Abort()
	case ctx.Err() != nil:
		err = fault.New(fault.Cancelled, "the caller closed the connection")
		r.writer.Abort()
	default:
		final := r.finalError(err)
		r.status = final.Kind.Status()
		r.writer.WriteError(final)
		err = final
	}
	r.recordOutcome(err)
}

// finalError turns a failure into the error that the caller gets. The error says that
// the request was not run only when no endpoint can have run an attempt.
func (r *run) finalError(err error) *fault.Error {
	var e *fault.Error
	if errors.As(err, &e) && (r.mayHaveRun == 0 || !e.Kind.NotRun()) {
		return e
	}
	if r.mayHaveRun == 0 && r.server.stop.isNear() {
		return fault.Wrap(err, fault.Overloaded, "this entry stops").WithRetryAfter(stopRetryAfter)
	}
	if r.mayHaveRun == 0 {
		return fault.Wrap(err, fault.Overloaded, "no endpoint accepted the request").WithRetryAfter(minRetryAfter)
	}
	if !time.Now().Before(r.deadline) {
		return fault.Wrap(err, fault.Timeout, "the endpoint did not respond in time")
	}
	return fault.Wrap(err, fault.EndpointFailed, "the endpoint's response ended early")
}

// recordOutcome counts and logs the outcome of the request.
func (r *run) recordOutcome(err error) {
	outcome := "served"
	if err != nil {
		outcome = string(fault.KindOf(err))
		if r.headerWritten.Load() && outcome != string(fault.Cancelled) {
			outcome = "broken_off"
		}
	}
	routeName := ""
	if r.route != nil {
		routeName = r.route.Name
	}
	first := time.Duration(0)
	if !r.firstByteAt.IsZero() {
		first = r.firstByteAt.Sub(r.request.Arrived)
	}
	r.measureAnswer(outcome, first)
	line := r.server.logger.Info()
	if err != nil {
		line = r.server.logger.Warn()
	}
	line.Str("request", r.request.ID).Str("route", routeName).Str("organisation", r.organisation).
		Uint64("version", r.catalogueVersion).Str("outcome", outcome).Int("status", r.status).Int("sends", r.attempts).
		Int("may_have_run", r.mayHaveRun).Int("events", r.eventsSent).Str("last_event", r.lastEventID).Bool("late", r.late).Dur("left", r.request.TimeLimit).Dur("first", first).
		Dur("whole", time.Since(r.request.Arrived)).Err(err).Msg(requestlog.Final)
}
