package serve

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
)

const (
	// lossCheckInterval is the pause between two checks whether an endpoint is lost.
	lossCheckInterval = 250 * time.Millisecond
	// overdueIntervals is how many announcement intervals after its last announcement an
	// endpoint is overdue. Processes tell each other every second announcement that
	// changes nothing.
	overdueIntervals = 2.25
	// reachTimeout bounds one check whether an endpoint accepts connections.
	reachTimeout = 400 * time.Millisecond
)

// errEndpointLost marks an attempt whose endpoint is lost, and the attempt with it, though
// its connection has not been closed.
var errEndpointLost = errors.New("the endpoint is lost")

// lossOf returns the error of an attempt that was cancelled by endOnLoss or because its
// reservations have ended, nil for others.
func lossOf(ctx context.Context) error {
	if cause := context.Cause(ctx); errors.Is(cause, errEndpointLost) || isAbandoned(cause) {
		return cause
	}
	return nil
}

// endOnLoss cancels an attempt once its endpoint is lost, as it would keep the memory that
// is reserved for it at other endpoints until its deadline. It returns when ctx ends.
func (r *run) endOnLoss(ctx context.Context, e *directory.Endpoint, cancel context.CancelCauseFunc) {
	for wait.For(ctx, lossCheckInterval) {
		if r.server.directory.IsSuperseded(e) {
			cancel(fmt.Errorf("%w: another incarnation has taken its place", errEndpointLost))
			return
		}
		silent, overdue := r.silence(e)
		if overdue && !r.reaches(ctx, e) {
			cancel(fmt.Errorf("%w: it has announced nothing for %v and accepts no connection", errEndpointLost, silent))
			return
		}
	}
}

// silence returns the time since any process heard from an endpoint, as far as known, and
// whether its next announcement is overdue.
func (r *run) silence(e *directory.Endpoint) (silent time.Duration, overdue bool) {
	silent = r.server.directory.Silence(e)
	interval := r.server.settings.Load().AnnounceInterval
	return silent, interval > 0 && silent > time.Duration(overdueIntervals*float64(interval))
}

// reaches reports whether an endpoint accepts connections.
func (r *run) reaches(ctx context.Context, e *directory.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return r.server.upstream.Reaches(ctx, e)
}
