package routing

import "github.com/apricotspoke/apricotspoke/protocol/wire"

// EndpointStateFilter drops endpoints that are draining or out of service.
type EndpointStateFilter struct{}

// Name implements Filter.
func (EndpointStateFilter) Name() string { return "endpoint_state" }

// Keep implements Filter.
func (EndpointStateFilter) Keep(r *Request, e *Endpoint) bool {
	return !e.Report.Leaving && r.View.EndpointState(e.Name()) == wire.EndpointState_ENDPOINT_STATE_IN
}
