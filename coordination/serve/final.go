package serve

import (
	"context"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// finish gives the final answer unless it was delivered, and accounts for it.
func (r *run) finish(ctx context.Context, err error) {
	if r.next != nil {
		r.next.Handle.Close()
	}
	switch {
	case err == nil:
	case r.begun:
		r.answer.Abort()
	case ctx.Err() != nil:
		err = fault.New(fault.Cancelled, "the caller left")
		r.answer.Abort()
	default:
		final := r.final(err)
		r.status = final.Kind.Status()
		r.answer.WriteError(final)
		err = final
	}
	r.account(err)
}

// final turns a failure into the answer of our own. "Not run" is only said when
// no sending can have run.
func (r *run) final(err error) *fault.Error {
	var e *fault.Error
	if errors.As(err, &e) && (r.mayHaveRun == 0 || !e.Kind.NotRun()) {
		return e
	}
	if r.mayHaveRun == 0 {
		return fault.Wrap(err, fault.Overloaded, "no endpoint took the request").After(roomWait)
	}
	if !time.Now().Before(r.limit) {
		return fault.Wrap(err, fault.Timeout, "the endpoint did not answer in time")
	}
	return fault.Wrap(err, fault.EndpointFailed, "the endpoint's answer broke off")
}

func (r *run) account(err error) {
	outcome := "served"
	if err != nil {
		outcome = string(fault.KindOf(err))
		if r.begun {
			outcome = "broken_off"
		}
	}
	routeName := ""
	if r.route != nil {
		routeName = r.route.Name
	}
	first := time.Duration(0)
	if !r.firstAt.IsZero() {
		first = r.firstAt.Sub(r.request.Arrived)
	}
	r.measureAnswer(outcome, first)
	line := r.server.logger.Info()
	if err != nil {
		line = r.server.logger.Warn()
	}
	line.Str("request", r.request.ID).Str("route", routeName).Str("organisation", r.organisation).
		Uint64("version", r.version).Str("outcome", outcome).Int("status", r.status).Int("sends", r.sends).
		Int("may_have_run", r.mayHaveRun).Int("events", r.events).Str("last_event", r.lastEvent).Bool("late", r.late).Dur("left", r.request.TimeLimit).Dur("first", first).
		Dur("whole", time.Since(r.request.Arrived)).Err(err).Msg("The request has its final answer.")
}
