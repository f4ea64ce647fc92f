package routing

// ReadyFilter drops endpoints whose gate reports that it would refuse attempts:
// the gate lacks its lease or a current configuration, or the endpoint does not
// answer.
type ReadyFilter struct{}

// Name implements Filter.
func (ReadyFilter) Name() string { return "ready" }

// Keep implements Filter.
func (ReadyFilter) Keep(_ *Request, e *Endpoint) bool { return e.Report.Ready }
