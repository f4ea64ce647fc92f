package serve

import (
	"context"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

// measureAnswer counts a final answer by organisation and outcome.
func (r *run) measureAnswer(outcome string, first time.Duration) {
	m, labels := r.server.metrics, metrics.Labels{Organisation: r.organisation, Class: outcome}
	m.Count("serve_requests", labels)
	m.Time("serve_whole_ms", labels, time.Since(r.request.Arrived))
	if first > 0 {
		m.Time("serve_first_ms", labels, first)
	}
}

// measureWait adds how long a request waited for endpoints, or in vain.
func (r *run) measureWait(class string) {
	r.server.metrics.Time("serve_waited_ms", metrics.Labels{Class: class}, time.Since(r.request.Arrived))
}

// measurePrediction adds by how much a first event came later or sooner than
// was predicted.
func (r *run) measurePrediction(took time.Duration, predictedMs float64) {
	off, class := took-time.Duration(predictedMs*float64(time.Millisecond)), "later"
	if off < 0 {
		off, class = -off, "sooner"
	}
	r.server.metrics.Time("prediction_first_off_ms", metrics.Labels{Class: class}, off)
}

// measureAttempt counts an attempt by what became of it.
func (r *run) measureAttempt(ctx context.Context, err error) {
	var unsent *NotSentError
	class := "failed"
	switch {
	case err == nil:
		class = "whole"
	case isNotRun(err):
		class = "not_run"
	case errors.As(err, &unsent):
		class = "unreachable"
	case errors.Is(err, errStalled):
		class = "silent"
	case ctx.Err() != nil:
		class = "ended_by_caller"
	case errors.Is(err, errGarbled):
		class = "garbled"
	}
	r.server.metrics.Count("serve_attempts", metrics.Labels{Class: class})
}

// measureRepeat counts a repeat that was wanted: taken off the budget, as a
// stream that goes on or from its beginning, or refused by it.
func (r *run) measureRepeat(taken bool) {
	class := "from_the_beginning"
	switch {
	case !taken:
		class = "no_budget"
	case r.begun:
		class = "resumed"
	}
	r.server.metrics.Count("serve_repeats", metrics.Labels{Class: class})
}
