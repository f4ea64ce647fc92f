package routing

// OutstandingScorer returns the number of attempts at an endpoint, not a time.
// Only the fewest-outstanding baseline uses it.
type OutstandingScorer struct{}

// Name implements Scorer.
func (OutstandingScorer) Name() string { return "outstanding" }

// Cost implements Scorer.
func (OutstandingScorer) Cost(_ *Request, e *Endpoint) float64 { return float64(e.outstanding()) }
