package routing

import "github.com/apricotspoke/apricotspoke/protocol/prompt"

// PrefixScorer subtracts the prefill time of the blocks that the endpoint is
// expected to have cached. A popular prefix does not overload one endpoint: the
// gain has the same unit as the cost of the queue, so a longer queue outweighs
// it.
type PrefixScorer struct{}

// Name implements Scorer.
func (PrefixScorer) Name() string { return "prefix" }

// Cost implements Scorer.
func (PrefixScorer) Cost(r *Request, e *Endpoint) float64 {
	reused := min(e.Cache.ExpectedReuse(r.PrefixBlocks)*prompt.BlockTokens, float64(r.PromptTokens))
	return -reused / e.prefillTokensPerSecond()
}
