package routing

// Filter drops endpoints that must not receive a request.
type Filter interface {
	// Name returns the filter's name in metrics.
	Name() string
	// Keep reports whether the endpoint may receive the request.
	Keep(r *Request, e *Endpoint) bool
}

// Filters returns all filters in the order in which they run.
func Filters() []Filter {
	return []Filter{ServesFilter{}, DataCentreFilter{}, EndpointStateFilter{}, FreshFilter{}, ReadyFilter{},
		RoleFilter{}, MemoryFilter{}, AdmitLimitFilter{}, ExcludedFilter{}}
}
