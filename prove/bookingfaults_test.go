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

// TestGateOrEndpointLostAroundBooking kills or suspends the gate, or restarts the
// endpoint, at seeded moments while one or both entries send a booking. If every
// call is answered as not run, the booking has not run; if one succeeds, it ran
// once; no booking runs twice.
func TestGateOrEndpointLostAroundBooking(t *testing.T) {
	for _, c := range []struct {
		name   string
		fail   func(*fixture) error
		repair func(*fixture) error
	}{
		{"gate killed",
			func(f *fixture) error { return f.endpointNamed("booking").Agent.Kill() },
			func(f *fixture) error { return f.endpointNamed("booking").Agent.Start() }},
		{"gate suspended and resumed",
			func(f *fixture) error { return f.endpointNamed("booking").Agent.Suspend() },
			func(f *fixture) error { return f.endpointNamed("booking").Agent.Resume() }},
		{"endpoint restarted, connections break",
			func(f *fixture) error { return f.endpointNamed("booking").Restart(f.t.Context(), true) }, nil},
		{"endpoint restarted, connections silent",
			func(f *fixture) error { return f.endpointNamed("booking").Restart(f.t.Context(), false) }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, false, engineOptions("engine1", "dc1"), bookingOptions("dc3", "--service-ms=200"))
			f.bookingDeadline = 8 * time.Second
			random := rand.New(rand.NewPCG(seed, 1))
			for round := range bookingRounds {
				bookingKey := fmt.Sprintf("visit-%d", round)
				calls := f.startBookingCalls(bookingKey, 1+round%2)
				delay := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
				sleep(delay)
				f.must(c.fail(f))
				if c.repair != nil {
					sleep(time.Duration(random.Int64N(int64(time.Second))))
					f.must(c.repair(f))
				}
				f.checkCalls(bookingKey, calls())
				first, second := f.bookThroughBoth(bookingKey)
				f.checkBooking(bookingKey, delay, first, second)
			}
			f.checkInvariants()
		})
	}
}

// startBookingCalls sends a booking through the given number of entries at once
// and returns a function that waits for the answers.
func (f *fixture) startBookingCalls(bookingKey string, entries int) func() []caller.Result {
	results := make([]caller.Result, entries)
	var all sync.WaitGroup
	for i := range entries {
		all.Go(func() { results[i] = f.sendBooking(i, bookingKey) })
	}
	return func() []caller.Result {
		all.Wait()
		return results
	}
}

// checkCalls compares the first answers, before any call is sent again, with the
// endpoint's own count of runs.
func (f *fixture) checkCalls(bookingKey string, results []caller.Result) {
	f.t.Helper()
	runs := f.keyRuns(bookingKey)
	notRun, succeeded := 0, 0
	for _, r := range results {
		if r.NotRun() {
			notRun++
		}
		if r.OK() {
			succeeded++
		}
	}
	f.t.Logf("%s: ran %d times; %d calls, of which %d were answered as not run, %d succeeded", bookingKey, runs, len(results), notRun, succeeded)
	if notRun == len(results) && runs > 0 || succeeded > 0 && runs != 1 || runs > 1 {
		f.t.Errorf("%s ran %d times; %d of %d calls were answered as not run, %d succeeded", bookingKey, runs, notRun, len(results), succeeded)
	}
}
