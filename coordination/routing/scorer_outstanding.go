package routing

// OutstandingScorer counts the attempts at an endpoint. It serves the
// fewest-outstanding baseline.
type OutstandingScorer struct{}

// Name implements Scorer.
func (OutstandingScorer) Name() string { return "outstanding" }

// Cost implements Scorer.
func (OutstandingScorer) Cost(_ *Request, e *Endpoint) float64 { return float64(e.outstanding()) }
