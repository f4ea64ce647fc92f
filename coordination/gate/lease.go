package gate

import "time"

// leaseMargin is the fraction of the validity of a lease that the gate leaves
// unused, so that two gates never hold the lease at once when their clocks run
// at different speeds.
const leaseMargin = 0.1

// lease is the right of the gate to dispatch to its endpoint. Times are
// monotonic.
type lease struct {
	number    uint64
	expiresAt time.Time
}

// extend applies a grant whose request was sent at sentAt. Grants of an earlier
// lease are ignored.
func (l *lease) extend(number uint64, sentAt time.Time, valid time.Duration) {
	if number < l.number {
		return
	}
	until := sentAt.Add(valid - time.Duration(float64(valid)*leaseMargin))
	if number > l.number || until.After(l.expiresAt) {
		l.number, l.expiresAt = number, until
	}
}

func (l *lease) held(now time.Time) bool { return l.number > 0 && now.Before(l.expiresAt) }
