package routing

// FirstTokenScorer predicts the time to the first token: the prefill of the
// queue ahead and of the prompt itself, and the wait for a slot.
type FirstTokenScorer struct{}

// Name implements Scorer.
func (FirstTokenScorer) Name() string { return "first_token" }

// slotReleaseTokens is the number of output tokens after which a running answer
// is expected to free its slot.
const slotReleaseTokens = 64

// prefillPassTokens is the number of prompt tokens that an engine prefills in
// one pass. A pass is not interrupted for a shorter prompt, so a new prompt
// waits for half a pass on average.
const prefillPassTokens = 2048

// Cost implements Scorer.
func (FirstTokenScorer) Cost(r *Request, e *Endpoint) float64 {
	load := e.Report.GetLoad()
	perToken := load.GetDecodeMsPerToken() / 1000
	cost := float64(e.aheadTokens(r.PromptTokens)+r.PromptTokens)/e.prefillTokensPerSecond() + perToken
	if e.queuedTokens() > 0 {
		cost += prefillPassTokens / 2 / e.prefillTokensPerSecond()
	}
	limit := uint64(max(1, e.Report.AdmitLimit))
	if outstanding := e.outstanding(); outstanding >= limit {
		cost += perToken * slotReleaseTokens * float64(outstanding-limit+1) / float64(limit)
	}
	return cost
}
