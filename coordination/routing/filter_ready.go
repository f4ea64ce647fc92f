package routing

// ReadyFilter drops endpoints whose gate says that it would refuse: it lacks its
// lease or a current configuration, or the endpoint does not answer.
type ReadyFilter struct{}

// Name implements Filter.
func (ReadyFilter) Name() string { return "ready" }

// Keep implements Filter.
func (ReadyFilter) Keep(_ *Request, e *Endpoint) bool { return e.Report.Ready }
