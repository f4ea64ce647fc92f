package routing

// DataCentreFilter drops endpoints of data centres that operators have taken
// out: these get no new work.
type DataCentreFilter struct{}

// Name implements Filter.
func (DataCentreFilter) Name() string { return "data_centre" }

// Keep implements Filter.
func (DataCentreFilter) Keep(r *Request, e *Endpoint) bool {
	return !r.View.DataCentreOut(e.Report.DataCentre)
}
