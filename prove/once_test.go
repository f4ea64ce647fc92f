//go:build prove

package prove

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
)

const bookingRounds = 8

// TestGateOrEndpointLostAroundBooking kills the gate, or turns the endpoint
// cold, at seeded moments around a booking that one or both entries carry. What
// is said not to have run did not, and nothing runs twice.
func TestGateOrEndpointLostAroundBooking(t *testing.T) {
	for _, c := range []struct {
		name   string
		fail   func(*fixture) error
		repair func(*fixture) error
	}{
		{"gate killed",
			func(f *fixture) error { return f.endpointNamed("booking").Agent.Kill() },
			func(f *fixture) error { return f.endpointNamed("booking").Agent.Start() }},
		{"gate frozen and woken",
			func(f *fixture) error { return f.endpointNamed("booking").Agent.Suspend() },
			func(f *fixture) error { return f.endpointNamed("booking").Agent.Resume() }},
		{"endpoint restarted, connections break",
			func(f *fixture) error { return f.endpointNamed("booking").Restart(f.t.Context(), true) }, nil},
		{"endpoint restarted, connections silent",
			func(f *fixture) error { return f.endpointNamed("booking").Restart(f.t.Context(), false) }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, false, engine("engine1", "dc1"), booking("dc3", "--service-ms=200"))
			f.bookDeadline = 8 * time.Second
			random := rand.New(rand.NewPCG(seed, 1))
			for round := range bookingRounds {
				visit := fmt.Sprintf("visit-%d", round)
				calls := f.bookOnce(visit, 1+round%2)
				delay := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
				sleep(delay)
				f.must(c.fail(f))
				if c.repair != nil {
					sleep(time.Duration(random.Int64N(int64(time.Second))))
					f.must(c.repair(f))
				}
				f.checkCalls(visit, calls())
				first, second := f.bookBoth(visit)
				f.checkBooking(visit, delay, first, second)
			}
			f.checkInvariants()
		})
	}
}

// bookOnce sends a booking through as many entries at the same moment, and
// returns a function that waits for their answers.
func (f *fixture) bookOnce(visit string, entries int) func() []caller.Result {
	results := make([]caller.Result, entries)
	var all sync.WaitGroup
	for i := range entries {
		all.Go(func() { results[i] = f.book(i, visit) })
	}
	return func() []caller.Result {
		all.Wait()
		return results
	}
}

// checkCalls holds the first answers, before any call is sent again, against the
// endpoint's own counter.
func (f *fixture) checkCalls(visit string, results []caller.Result) {
	f.t.Helper()
	runs := f.keyRuns(visit)
	notRun, succeeded := 0, 0
	for _, r := range results {
		if r.NotRun() {
			notRun++
		}
		if r.OK() {
			succeeded++
		}
	}
	f.t.Logf("%s: ran %d times; %d calls, %d told it had not run, %d succeeded", visit, runs, len(results), notRun, succeeded)
	if notRun == len(results) && runs > 0 || succeeded > 0 && runs != 1 || runs > 1 {
		f.t.Errorf("%s ran %d times; %d of %d calls were told it had not run, %d succeeded", visit, runs, notRun, len(results), succeeded)
	}
}
