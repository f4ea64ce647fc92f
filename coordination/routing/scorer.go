package routing

// Scorer returns the cost of sending a request to an endpoint. The costs of
// several scorers are added up, so they are in seconds, except that of
// OutstandingScorer, which is used alone.
type Scorer interface {
	Name() string
	Cost(r *Request, e *Endpoint) float64
}
