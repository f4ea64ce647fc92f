package routing

// queueFactor is the ratio of outstanding attempts to the admit limit at which
// an endpoint is full. A short queue at the gate keeps the endpoint busy
// between two reports.
const queueFactor = 2

// AdmitLimitFilter drops endpoints whose gate has queueFactor times its admit
// limit of attempts outstanding, including attempts of this entry that are not
// reported yet. The gate would refuse more.
type AdmitLimitFilter struct{}

// Name implements Filter.
func (AdmitLimitFilter) Name() string { return "admit_limit" }

// Keep implements Filter.
func (AdmitLimitFilter) Keep(_ *Request, e *Endpoint) bool {
	return e.outstanding() < uint64(e.Report.AdmitLimit)*queueFactor
}
