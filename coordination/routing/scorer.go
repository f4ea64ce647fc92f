package routing

// Scorer returns the cost of sending a request to an endpoint, in seconds. The
// costs of several scorers are added up.
type Scorer interface {
	Name() string
	Cost(r *Request, e *Endpoint) float64
}
