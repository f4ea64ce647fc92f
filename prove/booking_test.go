package prove

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
)

const settleLimit = time.Minute

// bookUntilSettled resends a booking until its outcome is known: a success, or
// that it is unknown. Refusals and "in progress" are asked again.
func (f *fixture) bookUntilSettled(entry int, visit string) caller.Result {
	ctx, cancel := context.WithTimeout(f.t.Context(), settleLimit)
	defer cancel()
	for {
		result := f.book(entry, visit)
		if result.OK() || result.Status == http.StatusBadGateway || ctx.Err() != nil {
			return result
		}
		time.Sleep(resendPause)
	}
}

// bookBoth sends one booking through both entries at the same moment until its
// outcome is known to each.
func (f *fixture) bookBoth(visit string) (first, second caller.Result) {
	var both sync.WaitGroup
	both.Go(func() { first = f.bookUntilSettled(0, visit) })
	both.Go(func() { second = f.bookUntilSettled(1, visit) })
	both.Wait()
	return first, second
}
