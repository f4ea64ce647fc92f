package gate

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	acquireTimeout = time.Second
	acquirePause   = 100 * time.Millisecond
	// acquireParts is how many times a lease is renewed within its validity.
	acquireParts = 4
)

// Leases grants the lease of an endpoint to one gate at a time.
type Leases interface {
	Acquire(ctx context.Context, request *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error)
}

// leaseLoop acquires the lease and keeps it.
func (g *Gate) leaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, g.acquire(ctx))
	}
}

// acquire asks once and returns the time until the next try.
func (g *Gate) acquire(ctx context.Context) time.Duration {
	endpoint := g.EndpointName()
	if endpoint == "" {
		return acquirePause
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	sentAt := time.Now()
	response, err := g.options.Leases.Acquire(ctx, &wire.GateLeaseRequest{
		Endpoint: endpoint, GateInstance: g.instance, GateAddress: g.options.Address,
	})
	if err != nil {
		return acquirePause
	}
	if !response.Held {
		return max(acquirePause, time.Duration(response.RetryAfterMs)*time.Millisecond)
	}
	valid := time.Duration(response.ValidMs) * time.Millisecond
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lease.held(time.Now()) {
		notify(g.changed)
	}
	g.lease.extend(response.Number, sentAt, valid)
	g.pump()
	return valid / acquireParts
}
