package routing

import "github.com/apricotspoke/apricotspoke/protocol/prompt"

// PrefixScorer takes off the prefill time of the blocks that the endpoint is
// expected to hold. As the gain is in the same unit as the queue, a popular
// prefix makes no hot spot: a longer queue outweighs it.
type PrefixScorer struct{}

// Name implements Scorer.
func (PrefixScorer) Name() string { return "prefix" }

// Cost implements Scorer.
func (PrefixScorer) Cost(r *Request, e *Endpoint) float64 {
	reused := min(e.Cache.ExpectedReuse(r.PrefixBlocks)*prompt.BlockTokens, float64(r.PromptTokens))
	return -reused / e.prefillRate()
}
