package serve

import (
	"context"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

// measureAnswer counts a final answer by organisation and outcome, and records its
// times.
func (r *run) measureAnswer(outcome string, first time.Duration) {
	m, labels := r.server.metrics, metrics.Labels{Organisation: r.organisation, Class: outcome}
	m.Count("serve_requests", labels)
	m.ObserveDuration("serve_whole_ms", labels, time.Since(r.request.Arrived))
	if first > 0 {
		m.ObserveDuration("serve_first_ms", labels, first)
	}
}

// measureWait records the time from the arrival of a request until a plan was chosen
// or, with class no_room, until the request was refused. Each plan counts, also after
// a failed attempt, for a stalled attempt, and after a plan that was dropped because
// of a conflict. The time therefore includes earlier attempts and the wait for a
// current state.
func (r *run) measureWait(class string) {
	r.server.metrics.ObserveDuration("serve_waited_ms", metrics.Labels{Class: class}, time.Since(r.request.Arrived))
}

// measurePrediction records by how much a first event came later or sooner than
// predicted.
func (r *run) measurePrediction(took time.Duration, predictedMs float64) {
	off, class := took-time.Duration(predictedMs*float64(time.Millisecond)), "later"
	if off < 0 {
		off, class = -off, "sooner"
	}
	r.server.metrics.ObserveDuration("prediction_first_off_ms", metrics.Labels{Class: class}, off)
}

// measureAttempt counts an attempt by its result. The class is whole for a success,
// silent for errStalled, garbled for errInvalidResponse, abandoned when the reservations
// ended before the attempt, aborted_unread for errAbortedUnread, and ended_by_caller also when
// the deadline has passed. An attempt that failed at its memory reservation is not
// counted.
func (r *run) measureAttempt(ctx context.Context, err error) {
	var notSent *NotSentError
	class := "failed"
	switch {
	case err == nil:
		class = "whole"
	case isNotRun(err):
		class = "not_run"
	case errors.As(err, &notSent):
		class = "unreachable"
	case errors.Is(err, errStalled):
		class = "silent"
	case isAbandoned(err):
		class = "abandoned"
	case ctx.Err() != nil, errors.Is(err, errCaller):
		class = "ended_by_caller"
	case errors.Is(err, errAbortedUnread):
		class = "aborted_unread"
	case errors.Is(err, errInvalidResponse):
		class = "garbled"
	}
	r.server.metrics.Count("serve_attempts", metrics.Labels{Class: class})
}

// measureLimitedSend counts an attempt whose endpoint has a rate limit, as main endpoint
// or as helper.
func (r *run) measureLimitedSend(plan *placement.Plan) {
	for i, e := range plan.Endpoints {
		perSecond := r.server.scheduler.RateLimit(e.Key)
		if perSecond == placement.Unlimited {
			continue
		}
		class := "main"
		if i > 0 {
			class = "helper"
		}
		r.server.metrics.Count("serve_limited_sends", metrics.Labels{Class: class})
		r.server.logger.Info().Str("request", r.request.ID).Str("endpoint", e.ID).Str("as", class).
			Float64("per_second", perSecond).Int("send", r.attempts).Msg("A request is sent to an endpoint with a rate limit.")
	}
}

// measurePermit counts a permit that was asked for.
func (r *run) measurePermit(granted bool) {
	class := "denied"
	if granted {
		class = "granted"
	}
	r.server.metrics.Count("serve_permits", metrics.Labels{Class: class})
}

// measureRetry counts a retry that was due in serve_repeats: one that resumes a
// stream, one that starts from the beginning, or one that the retry budget refused.
func (r *run) measureRetry(taken bool) {
	class := "from_the_beginning"
	switch {
	case !taken:
		class = "no_budget"
	case r.headerWritten.Load():
		class = "resumed"
	}
	r.server.metrics.Count("serve_repeats", metrics.Labels{Class: class})
}
