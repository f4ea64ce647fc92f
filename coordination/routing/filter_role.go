package routing

const rolePrefill = "prefill"

// RoleFilter drops engines of the prefill role, which generate no answers.
type RoleFilter struct{}

// Name implements Filter.
func (RoleFilter) Name() string { return "role" }

// Keep implements Filter.
func (RoleFilter) Keep(_ *Request, e *Endpoint) bool { return e.Report.Role != rolePrefill }
