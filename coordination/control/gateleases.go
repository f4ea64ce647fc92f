package control

import (
	"context"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/machine"
	"google.golang.org/grpc"
)

const (
	gateLeaseTime = 3 * time.Second
	// A takeover waits a tenth longer, since clocks differ in speed.
	gateTakeoverAfter = gateLeaseTime + gateLeaseTime/10
	gateBusyRetry     = 100 * time.Millisecond
)

// gateLease is what a leader knows of a lease beyond its record in the log.
type gateLease struct {
	renewedAt time.Time
	proposing bool
	// unsettled is set while a proposal may still be committed later. Until the
	// next one is, no renewal is granted from the record.
	unsettled bool
}

// gateLeases holds the renewals that one leadership has seen.
type gateLeases struct {
	mu          sync.Mutex
	leaderSince time.Time
	byEndpoint  map[string]*gateLease
}

func newGateLeases() *gateLeases {
	return &gateLeases{byEndpoint: make(map[string]*gateLease)}
}

func (g *gateLeases) of(endpoint string, leaderSince time.Time) *gateLease {
	if !g.leaderSince.Equal(leaderSince) {
		g.leaderSince = leaderSince
		g.byEndpoint = make(map[string]*gateLease)
	}
	lease, ok := g.byEndpoint[endpoint]
	if !ok {
		lease = &gateLease{}
		g.byEndpoint[endpoint] = lease
	}
	return lease
}

type gateLeasesServer struct {
	wire.UnimplementedGateLeasesServer
	*Service
}

// Acquire takes or renews the lease of an endpoint for a gate instance.
func (g *gateLeasesServer) Acquire(ctx context.Context, request *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error) {
	response, err := g.acquire(ctx, request)
	if err != nil {
		return &wire.GateLeaseResponse{Failure: fault.ToWire(err)}, nil
	}
	return response, nil
}

func (g *gateLeasesServer) acquire(ctx context.Context, request *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error) {
	if err := machine.CheckGateLease(request); err != nil {
		return nil, err
	}
	if !g.Replica.Status().IsLeader {
		return forward(ctx, g.Service, request, func(conn grpc.ClientConnInterface, ctx context.Context, r *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error) {
			return wire.NewGateLeasesClient(conn).Acquire(ctx, r)
		})
	}
	led, err := g.leadership(ctx)
	if err != nil {
		return nil, err
	}
	decision := g.decide(request, led)
	switch {
	case decision.wait > 0:
		return &wire.GateLeaseResponse{RetryAfterMs: roundUpMs(decision.wait)}, nil
	case decision.propose:
		return g.proposeLease(ctx, request, led)
	}
	return g.held(decision.number, led)
}

type leaseDecision struct {
	wait    time.Duration
	propose bool
	number  uint64 // of the lease that was renewed
}

// decide applies the takeover rule: another instance takes over only after this
// leader has led, and has seen no renewal, for longer than a lease lasts.
func (g *gateLeasesServer) decide(request *wire.GateLeaseRequest, led leadership) leaseDecision {
	g.gates.mu.Lock()
	defer g.gates.mu.Unlock()
	lease := g.gates.of(request.Endpoint, led.since)
	record := g.Machine.Published().Leases[request.Endpoint]
	if lease.proposing {
		return leaseDecision{wait: gateBusyRetry}
	}
	if record != nil && !lease.unsettled && record.GateInstance == request.GateInstance && record.GateAddress == request.GateAddress {
		lease.renewedAt = time.Now()
		return leaseDecision{number: record.Number}
	}
	if record != nil && record.GateInstance != request.GateInstance || lease.unsettled {
		quietSince := led.since
		if lease.renewedAt.After(quietSince) {
			quietSince = lease.renewedAt
		}
		if wait := gateTakeoverAfter - time.Since(quietSince); wait > 0 {
			return leaseDecision{wait: wait}
		}
	}
	lease.proposing = true
	return leaseDecision{propose: true}
}

func (g *gateLeasesServer) proposeLease(ctx context.Context, request *wire.GateLeaseRequest, led leadership) (*wire.GateLeaseResponse, error) {
	response, err := propose[*wire.GateLeaseResponse](ctx, g.Service, &wire.Command{Of: &wire.Command_GateLease{GateLease: request}})
	g.gates.mu.Lock()
	lease := g.gates.of(request.Endpoint, led.since)
	lease.proposing = false
	lease.unsettled = err != nil
	lease.renewedAt = time.Now()
	g.gates.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if response.Failure != nil {
		return response, nil
	}
	return g.held(response.Number, led)
}

// held grants the time that is left of a lease counted from the moment at which
// a quorum last confirmed this leader, so that the next leader's wait covers it.
func (g *gateLeasesServer) held(number uint64, led leadership) (*wire.GateLeaseResponse, error) {
	valid := led.remaining(gateLeaseTime)
	if valid <= 0 {
		return nil, fault.New(fault.NotCurrent, "the leader was not confirmed in time").After(gateBusyRetry)
	}
	return &wire.GateLeaseResponse{Held: true, Number: number, ValidMs: uint32(valid.Milliseconds())}, nil
}

func roundUpMs(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
