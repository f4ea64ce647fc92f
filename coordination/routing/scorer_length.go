package routing

// LengthScorer steers short prompts away from endpoints that prefill long ones,
// and long prompts to endpoints that already have one, so that the other
// endpoints stay free.
type LengthScorer struct{}

// Name implements Scorer.
func (LengthScorer) Name() string { return "length" }

const (
	behindLongPenalty = 1.0  // for a short prompt: seconds per second of prefill in a queue with a long prompt; the queue counts as at least the threshold
	shortOnlyPenalty  = 0.25 // for a long prompt: fraction of its own prefill time, at busy endpoints that have no long prompt
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

// hasLongPrefill reports whether a long prompt is likely to wait for prefill:
// this entry has sent one, or the last report has more queued tokens than the
// reported attempts could have with short prompts only.
func (e *Endpoint) hasLongPrefill(longThreshold uint64) bool {
	if e.InFlight.LongPrefills() > 0 {
		return true
	}
	load := e.Report.GetLoad()
	queued := max(load.GetQueuedPrefillTokens(), load.GetGatePrefillTokens())
	attempts := uint64(load.GetGateRunning()) + uint64(load.GetGateWaiting())
	return queued > longThreshold*max(1, attempts)
}
