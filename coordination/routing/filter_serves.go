package routing

// ServesFilter drops endpoints that do not serve the request's model or
// service.
type ServesFilter struct{}

// Name implements Filter.
func (ServesFilter) Name() string { return "serves" }

// Keep implements Filter.
func (ServesFilter) Keep(r *Request, e *Endpoint) bool { return e.serves(r) }
