package prove

import (
	"context"
	"net/http"
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
