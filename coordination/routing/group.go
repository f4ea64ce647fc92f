package routing

import "time"

// GroupCandidates lists the endpoints over which a prompt may be spread: none when one
// that serves the request could hold it alone, also if that one is full now.
func (r *Router) GroupCandidates(request *Request) []*Endpoint {
	var members []*Endpoint
	for _, e := range r.table.Snapshot().Endpoints {
		if !r.passes(request, e, false) {
			continue
		}
		if (MemoryFilter{}).Keep(request, e) {
			return nil
		}
		if r.passes(request, e, true) {
			members = append(members, e)
		}
	}
	return members
}

// passes applies the filters but that of memory; those of the moment only when
// asked to.
func (r *Router) passes(request *Request, e *Endpoint, moment bool) bool {
	for _, f := range r.filters {
		switch f.(type) {
		case MemoryFilter:
			continue
		case AdmitLimitFilter, ExcludedFilter:
			if !moment {
				continue
			}
		}
		if !f.Keep(request, e) {
			return false
		}
	}
	return true
}

// FreeTokens is the memory that the endpoint last reported as free.
func (e *Endpoint) FreeTokens() uint64 {
	load := e.Report.GetLoad()
	return load.GetMemoryTokensTotal() - min(load.GetMemoryTokensTotal(), load.GetMemoryTokensUsed())
}

// PrefillTime predicts how long the endpoint takes to prefill tokens.
func (e *Endpoint) PrefillTime(tokens uint64) time.Duration {
	return time.Duration(float64(tokens) / e.prefillRate() * float64(time.Second))
}
