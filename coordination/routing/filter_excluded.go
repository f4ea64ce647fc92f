package routing

// ExcludedFilter drops endpoints that refused or failed an earlier attempt of
// this request.
type ExcludedFilter struct{}

// Name implements Filter.
func (ExcludedFilter) Name() string { return "excluded" }

// Keep implements Filter.
func (ExcludedFilter) Keep(r *Request, e *Endpoint) bool { return !r.excludes(e.Name()) }
