package routing

// LengthScorer keeps short prompts off endpoints that prefill long ones, and
// gathers long prompts where long ones already are, so that the rest stay free.
type LengthScorer struct{}

// Name implements Scorer.
func (LengthScorer) Name() string { return "length" }

const (
	longPenalty = 1.0  // seconds for a short prompt per second of long prefill ahead
	freePenalty = 0.25 // share of a long prompt's own prefill, for an endpoint without long ones
)

// Cost implements Scorer.
func (LengthScorer) Cost(r *Request, e *Endpoint) float64 {
	long := e.hasLongPrefill(r.boundary)
	if r.PromptTokens <= r.boundary {
		if !long {
			return 0
		}
		return longPenalty * float64(max(e.queuedTokens(), r.boundary)) / e.prefillRate()
	}
	if long || e.outstanding() == 0 {
		return 0
	}
	return freePenalty * float64(r.PromptTokens) / e.prefillRate()
}

// hasLongPrefill reports whether a long prompt is expected among those before
// their first token: one of this entry's own, or a queue too long for the
// number of attempts if all were short.
func (e *Endpoint) hasLongPrefill(boundary uint64) bool {
	if e.InFlight.LongPrefills() > 0 {
		return true
	}
	load := e.Report.GetLoad()
	queued := max(load.GetQueuedPrefillTokens(), load.GetGatePrefillTokens())
	attempts := uint64(load.GetGateRunning()) + uint64(load.GetGateWaiting())
	return queued > boundary*max(1, attempts)
}
