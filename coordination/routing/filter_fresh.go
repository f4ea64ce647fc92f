package routing

import "time"

// staleAfter is the age from which a report no longer shows that a gate lives.
const staleAfter = 2 * time.Second

// FreshFilter drops endpoints whose last report is old: the gate or the link to
// it may be dead.
type FreshFilter struct{}

// Name implements Filter.
func (FreshFilter) Name() string { return "fresh" }

// Keep implements Filter.
func (FreshFilter) Keep(r *Request, e *Endpoint) bool { return r.Now.Sub(e.ReceivedAt) <= staleAfter }
