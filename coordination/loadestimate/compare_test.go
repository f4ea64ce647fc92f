package loadestimate

import (
	"fmt"
	"testing"
	"time"
)

// The load is 3, 25, 70 and 370 entries that share 3, 8, 24 and 120 endpoints of 6 slots and a
// queue of 24, at 1.05 of their capacity in one second and 0.7 in the next, with service times
// of 100 ms in the mean. Entries know the work of others by reports every 50, 200 and 800 ms,
// which arrive after 10 ms. The test guards against choices that overload one endpoint
// together, or that are less even than those of simpler policies. Figures are of several seeds
// together, as a single one has few rejections.
func TestEstimatedLoadIsNoWorseThanOtherPolicies(t *testing.T) {
	// Margins for the noise between seeds: 2 in 100 of the busiest endpoint, and two
	// rejections.
	const busiestMargin, rejectedMargin, avoidableMargin = 1.02, 2, 2 * playSample
	for _, size := range []playSize{{3, 3, 20 * time.Second, 8}, {25, 8, 10 * time.Second, 8}, {70, 24, 6 * time.Second, 8}, {370, 120, 2 * time.Second, 3}} {
		for _, interval := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d/%v", size.entries, interval), func(t *testing.T) {
				t.Parallel()
				got := size.run(t, interval, estimated)
				for _, by := range []policy{bestByReport, betterOfTwo, atRandom} {
					other := size.run(t, interval, by)
					if got.rejected > other.rejected+rejectedMargin {
						t.Errorf("%d arrivals were rejected, %d by %q", got.rejected, other.rejected, by.name)
					}
					if got.busiest > other.busiest*busiestMargin {
						t.Errorf("the busiest endpoint has %.2f of the mean, %.2f by %q", got.busiest, other.busiest, by.name)
					}
					if got.avoidable > other.avoidable+avoidableMargin {
						t.Errorf("for %v an endpoint rejected while another had room, %v by %q", got.avoidable, other.avoidable, by.name)
					}
				}
			})
		}
	}
}

type playSize struct {
	entries, endpoints int
	atLeast            time.Duration // one play; with old reports it lasts six of them
	seeds              int
}

// run plays all seeds, and returns and logs the sums, and the mean of the busiest endpoint.
func (s playSize) run(t *testing.T, interval time.Duration, by policy) playResult {
	var sum playResult
	for seed := range s.seeds {
		r := newPlay(uint64(seed+1), s.entries, s.endpoints, interval, by).run(max(s.atLeast, 6*interval))
		sum.arrivals += r.arrivals
		sum.rejected += r.rejected
		sum.busiest += r.busiest / float64(s.seeds)
		sum.avoidable += r.avoidable
	}
	t.Logf("| %d | %d | %s | %d of %d | %.2f | %.2f s |", s.entries, interval.Milliseconds(), by.name, sum.rejected, sum.arrivals, sum.busiest, sum.avoidable.Seconds())
	return sum
}
