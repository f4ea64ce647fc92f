package gate

import "time"

// leaseMargin is the part of a lease's validity that is left unused, so that
// clocks of unequal speed never overlap.
const leaseMargin = 0.1

// lease is the gate's right to dispatch. Times are monotonic.
type lease struct {
	number uint64
	until  time.Time
}

// extend takes a grant whose request was sent at sentAt.
func (l *lease) extend(number uint64, sentAt time.Time, valid time.Duration) {
	if number < l.number {
		return
	}
	until := sentAt.Add(valid - time.Duration(float64(valid)*leaseMargin))
	if number > l.number || until.After(l.until) {
		l.number, l.until = number, until
	}
}

func (l *lease) held(now time.Time) bool { return l.number > 0 && now.Before(l.until) }
