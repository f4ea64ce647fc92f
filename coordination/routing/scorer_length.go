package routing

// LengthScorer steers short prompts away from endpoints that prefill long ones,
// and long prompts to endpoints that already have one, so that the other
// endpoints stay free.
type LengthScorer struct{}

// Name implements Scorer.
func (LengthScorer) Name() string { return "length" }

const (
	behindLongPenalty = 1.0  // cost of a short prompt per second of prefill queued with a long prompt
	shortOnlyPenalty  = 0.25 // cost of a long prompt at an endpoint without one, as a fraction of its own prefill time
)

// Cost implements Scorer.
func (LengthScorer) Cost(r *Request, e *Endpoint) float64 {
	long := e.hasLongPrefill(r.longThreshold)
	if r.PromptTokens <= r.longThreshold {
		if !long {
			return 0
		}
		return behindLongPenalty * float64(max(e.queuedTokens(), r.longThreshold)) / e.prefillTokensPerSecond()
	}
	if long || e.outstanding() == 0 {
		return 0
	}
	return shortOnlyPenalty * float64(r.PromptTokens) / e.prefillTokensPerSecond()
}

// hasLongPrefill reports whether a long prompt is expected among the attempts
// before their first token: a long prompt of this entry, or more queued tokens
// than the outstanding attempts could have if all their prompts were short.
func (e *Endpoint) hasLongPrefill(longThreshold uint64) bool {
	if e.InFlight.LongPrefills() > 0 {
		return true
	}
	load := e.Report.GetLoad()
	queued := max(load.GetQueuedPrefillTokens(), load.GetGatePrefillTokens())
	attempts := uint64(load.GetGateRunning()) + uint64(load.GetGateWaiting())
	return queued > longThreshold*max(1, attempts)
}
