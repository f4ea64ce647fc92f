package routing

// DataCentreFilter drops endpoints in data centres that an operator has taken
// out of service.
type DataCentreFilter struct{}

// Name implements Filter.
func (DataCentreFilter) Name() string { return "data_centre" }

// Keep implements Filter.
func (DataCentreFilter) Keep(r *Request, e *Endpoint) bool {
	return !r.View.DataCentreOut(e.Report.DataCentre)
}
