package routing

// Filter drops the endpoints that must not get a request.
type Filter interface {
	// Name is the filter's name in metrics.
	Name() string
	// Keep reports whether the endpoint may get the request.
	Keep(r *Request, e *Endpoint) bool
}

// Filters lists all filters in the order in which they run.
func Filters() []Filter {
	return []Filter{ServesFilter{}, DataCentreFilter{}, EndpointStateFilter{}, FreshFilter{}, ReadyFilter{},
		RoleFilter{}, MemoryFilter{}, AdmitLimitFilter{}, ExcludedFilter{}}
}
