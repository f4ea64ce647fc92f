package routing

import "time"

// GroupCandidates returns the endpoints over which the prompt of a request may
// be split. It returns none if the total memory of a single endpoint is large
// enough for the request, even if that endpoint is full now.
func (r *Router) GroupCandidates(request *Request) []*Endpoint {
	var members []*Endpoint
	for _, e := range r.table.Snapshot().Endpoints {
		if !r.passesFilters(request, e, false) {
			continue
		}
		if (MemoryFilter{}).Keep(request, e) {
			return nil
		}
		if r.passesFilters(request, e, true) {
			members = append(members, e)
		}
	}
	return members
}

// passesFilters applies all filters but MemoryFilter. AdmitLimitFilter and
// ExcludedFilter, whose results change from one moment to the next, are only
// applied if includeTransient is set.
func (r *Router) passesFilters(request *Request, e *Endpoint, includeTransient bool) bool {
	for _, f := range r.filters {
		switch f.(type) {
		case MemoryFilter:
			continue
		case AdmitLimitFilter, ExcludedFilter:
			if !includeTransient {
				continue
			}
		}
		if !f.Keep(request, e) {
			return false
		}
	}
	return true
}

// FreeTokens returns the free memory in tokens, as last reported.
func (e *Endpoint) FreeTokens() uint64 {
	load := e.Report.GetLoad()
	return load.GetMemoryTokensTotal() - min(load.GetMemoryTokensTotal(), load.GetMemoryTokensUsed())
}

// PrefillTime predicts how long the endpoint takes to prefill a number of
// tokens.
func (e *Endpoint) PrefillTime(tokens uint64) time.Duration {
	return time.Duration(float64(tokens) / e.prefillTokensPerSecond() * float64(time.Second))
}
