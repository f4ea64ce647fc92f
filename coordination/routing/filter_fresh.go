package routing

import "time"

// staleAfter is the age above which a report no longer shows that its gate is
// alive.
const staleAfter = 2 * time.Second

// FreshFilter drops endpoints whose last report is too old: the gate or the
// connection to it may have failed.
type FreshFilter struct{}

// Name implements Filter.
func (FreshFilter) Name() string { return "fresh" }

// Keep implements Filter.
func (FreshFilter) Keep(r *Request, e *Endpoint) bool { return r.Now.Sub(e.ReceivedAt) <= staleAfter }
