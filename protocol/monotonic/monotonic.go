// Package monotonic is the clock for leases. It never goes back, and it includes the
// time for which the host was suspended, unlike Go's monotonic clock.
package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time, as the time since the process started.
type Time time.Duration

var (
	monotonicStart = time.Now()
	bootStart      = bootTime()
)

// bootTime reads CLOCK_BOOTTIME, which advances while the host is suspended. If the
// kernel lacks it, the result is 0 and Now uses Go's monotonic clock alone.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Now returns the larger of the times that have passed on the two clocks.
func Now() Time {
	return Time(max(time.Since(monotonicStart), bootTime()-bootStart))
}

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from other to t.
func (t Time) Sub(other Time) time.Duration { return time.Duration(t - other) }

// Since returns the duration since t.
func Since(t Time) time.Duration { return Now().Sub(t) }
