package gate

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	acquireTimeout       = time.Second // of one lease request
	acquireRetryInterval = 100 * time.Millisecond
	// renewalsPerLease is how often a lease is renewed within its validity.
	renewalsPerLease = 4
)

// Leases grants the lease of an endpoint to one gate at a time.
type Leases interface {
	Acquire(ctx context.Context, request *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error)
}

// leaseLoop acquires the lease and renews it until ctx ends.
func (g *Gate) leaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, g.acquireLease(ctx))
	}
}

// acquireLease sends one lease request and returns the delay before the next
// one.
func (g *Gate) acquireLease(ctx context.Context) time.Duration {
	endpoint := g.EndpointName()
	if endpoint == "" {
		return acquireRetryInterval
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	sentAt := time.Now()
	response, err := g.options.Leases.Acquire(ctx, &wire.GateLeaseRequest{
		Endpoint: endpoint, GateInstance: g.instance, GateAddress: g.options.Address,
	})
	if err != nil {
		return acquireRetryInterval
	}
	if !response.Held {
		return max(acquireRetryInterval, time.Duration(response.RetryAfterMs)*time.Millisecond)
	}
	valid := time.Duration(response.ValidMs) * time.Millisecond
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lease.held(time.Now()) {
		notify(g.reportDue)
	}
	g.lease.extend(response.Number, sentAt, valid)
	g.dispatchWaiting()
	return valid / renewalsPerLease
}
