package routing

// queueFactor is how many times its admit limit an endpoint may have
// outstanding, so that a short queue hides the time between reports.
const queueFactor = 2

// AdmitLimitFilter drops endpoints whose gate already has its limit and as many
// again waiting, this entry's newest attempts included: the gate would refuse.
type AdmitLimitFilter struct{}

// Name implements Filter.
func (AdmitLimitFilter) Name() string { return "admit_limit" }

// Keep implements Filter.
func (AdmitLimitFilter) Keep(_ *Request, e *Endpoint) bool {
	return e.outstanding() < uint64(e.Report.AdmitLimit)*queueFactor
}
