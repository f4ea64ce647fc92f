package routing

// FirstTokenScorer predicts the time to the first token: the queue ahead and
// the prompt itself at the endpoint's prefill rate, and the wait for a slot.
type FirstTokenScorer struct{}

// Name implements Scorer.
func (FirstTokenScorer) Name() string { return "first_token" }

// slotTokens is the answer length after which a slot is expected to be free.
const slotTokens = 64

// stepTokens is how many prompt tokens an engine computes in one step, which is
// not broken off for a shorter prompt.
const stepTokens = 2048

// Cost implements Scorer.
func (FirstTokenScorer) Cost(r *Request, e *Endpoint) float64 {
	load := e.Report.GetLoad()
	perToken := load.GetDecodeMsPerToken() / 1000
	cost := float64(e.aheadTokens(r.PromptTokens)+r.PromptTokens)/e.prefillRate() + perToken
	if e.queuedTokens() > 0 {
		cost += stepTokens / 2 / e.prefillRate()
	}
	limit := uint64(max(1, e.Report.AdmitLimit))
	if outstanding := e.outstanding(); outstanding >= limit {
		cost += perToken * slotTokens * float64(outstanding-limit+1) / float64(limit)
	}
	return cost
}
