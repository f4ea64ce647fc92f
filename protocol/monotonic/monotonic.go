// Package steady tells time for leases: it never goes back, and it counts the
// time in which the host was suspended.
package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a moment, as the time since the process first looked.
type Time time.Duration

var (
	monotonicStart = time.Now()
	bootStart      = bootTime()
)

// bootTime reads the clock that goes on while the host is suspended. Where the
// kernel lacks it the result is 0, and Now counts by the monotonic clock alone.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Now returns the larger of what the two clocks have counted.
func Now() Time {
	return Time(max(time.Since(monotonicStart), bootTime()-bootStart))
}

// Add returns the moment d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the time from other to t.
func (t Time) Sub(other Time) time.Duration { return time.Duration(t - other) }

// Since returns the time that has passed since t.
func Since(t Time) time.Duration { return Now().Sub(t) }
