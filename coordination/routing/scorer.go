package routing

// Scorer gives the cost of sending a request to an endpoint, in seconds. Costs
// of several scorers are added.
type Scorer interface {
	Name() string
	Cost(r *Request, e *Endpoint) float64
}
