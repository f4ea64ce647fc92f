package prove

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
)

const settleTimeout = time.Minute // until the outcome of a booking is known

// bookUntilSettled resends a booking until it succeeds or the entry answers that
// its outcome is unknown (502). After a refusal or "in progress" it sends again.
func (f *fixture) bookUntilSettled(entry int, bookingKey string) caller.Result {
	ctx, cancel := context.WithTimeout(f.t.Context(), settleTimeout)
	defer cancel()
	for {
		result := f.sendBooking(entry, bookingKey)
		if result.OK() || result.Status == http.StatusBadGateway || ctx.Err() != nil {
			return result
		}
		time.Sleep(retryInterval)
	}
}

// bookThroughBoth sends one booking through both entries at once until each has
// given its outcome.
func (f *fixture) bookThroughBoth(bookingKey string) (first, second caller.Result) {
	var both sync.WaitGroup
	both.Go(func() { first = f.bookUntilSettled(0, bookingKey) })
	both.Go(func() { second = f.bookUntilSettled(1, bookingKey) })
	both.Wait()
	return first, second
}
