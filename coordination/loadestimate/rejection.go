package loadestimate

import "time"

// rejectionDuration is how long a rejection raises the estimate. A load report that shows
// the endpoint as full arrives within two intervals of 150 ms.
const rejectionDuration = 300 * time.Millisecond

// Rejection raises the estimated load of an endpoint that rejected a request as full. The
// zero value raises nothing.
type Rejection struct{ until time.Time }

// Record records a rejection.
func (r *Rejection) Record(now time.Time) { r.until = now.Add(rejectionDuration) }

// Active reports whether a rejection still raises the estimate.
func (r *Rejection) Active(now time.Time) bool { return now.Before(r.until) }

// Correct returns a load that is raised towards full, the load at which the endpoint
// rejects. The correction fades linearly, as the endpoint finishes work meanwhile.
func (r *Rejection) Correct(load, full float64, now time.Time) float64 {
	if load >= full || !r.Active(now) {
		return load
	}
	left := min(1, float64(r.until.Sub(now))/float64(rejectionDuration))
	return load + (full-load)*left
}
