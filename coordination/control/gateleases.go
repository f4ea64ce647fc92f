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
	gateLeaseDuration = 3 * time.Second // counted from the last confirmation of the leadership
	// Clocks differ in speed, so a takeover waits a tenth longer than a lease
	// lasts.
	gateTakeoverDelay  = gateLeaseDuration + gateLeaseDuration/10
	gateBusyRetryAfter = 100 * time.Millisecond // for gates, while a proposal for the lease is in progress or the leadership is not confirmed
)

// gateLease is what the leader knows of a lease in addition to its record in
// the log.
type gateLease struct {
	renewedAt time.Time
	proposing bool // a proposal for the lease is in progress
	// outcomeUnknown is set if the last proposal may still be committed later.
	// Renewals are not granted from the record until another proposal is
	// committed.
	outcomeUnknown bool
}

// gateLeases holds the renewals granted during one leadership.
type gateLeases struct {
	mu          sync.Mutex
	leaderSince time.Time
	byEndpoint  map[string]*gateLease
}

func newGateLeases() *gateLeases {
	return &gateLeases{byEndpoint: make(map[string]*gateLease)}
}

// forEndpoint returns the state of an endpoint's lease in the leadership that
// began at leaderSince, and creates it if needed. It drops the states of any
// other leadership; the records in the log stay. The caller must hold mu.
func (g *gateLeases) forEndpoint(endpoint string, leaderSince time.Time) *gateLease {
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

// Acquire acquires or renews the lease of an endpoint for a gate instance.
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
	proof, err := g.proveLeadership(ctx)
	if err != nil {
		return nil, err
	}
	decision := g.decide(request, proof)
	switch {
	case decision.wait > 0:
		return &wire.GateLeaseResponse{RetryAfterMs: roundUpMs(decision.wait)}, nil
	case decision.propose:
		return g.proposeLease(ctx, request, proof)
	}
	return g.grantLease(decision.number, proof)
}

// leaseDecision is the answer to a lease request: wait, propose the lease to the
// log, or renew it.
type leaseDecision struct {
	wait    time.Duration
	propose bool
	number  uint64 // of the renewed lease
}

// decide applies the takeover rule: another instance may take the lease only if
// this replica has led for gateTakeoverDelay and has granted no renewal in that
// time. The same holds for any instance after a proposal with an unknown
// outcome.
func (g *gateLeasesServer) decide(request *wire.GateLeaseRequest, proof leadershipProof) leaseDecision {
	g.gateLeases.mu.Lock()
	defer g.gateLeases.mu.Unlock()
	lease := g.gateLeases.forEndpoint(request.Endpoint, proof.since)
	record := g.Machine.Published().Leases[request.Endpoint]
	if lease.proposing {
		return leaseDecision{wait: gateBusyRetryAfter}
	}
	if record != nil && !lease.outcomeUnknown && record.GateInstance == request.GateInstance && record.GateAddress == request.GateAddress {
		lease.renewedAt = time.Now()
		return leaseDecision{number: record.Number}
	}
	if record != nil && record.GateInstance != request.GateInstance || lease.outcomeUnknown {
		quietSince := proof.since
		if lease.renewedAt.After(quietSince) {
			quietSince = lease.renewedAt
		}
		if wait := gateTakeoverDelay - time.Since(quietSince); wait > 0 {
			return leaseDecision{wait: wait}
		}
	}
	lease.proposing = true
	return leaseDecision{propose: true}
}

func (g *gateLeasesServer) proposeLease(ctx context.Context, request *wire.GateLeaseRequest, proof leadershipProof) (*wire.GateLeaseResponse, error) {
	response, err := propose[*wire.GateLeaseResponse](ctx, g.Service, &wire.Command{Of: &wire.Command_GateLease{GateLease: request}})
	g.gateLeases.mu.Lock()
	lease := g.gateLeases.forEndpoint(request.Endpoint, proof.since)
	lease.proposing = false
	lease.outcomeUnknown = err != nil
	lease.renewedAt = time.Now()
	g.gateLeases.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if response.Failure != nil {
		return response, nil
	}
	return g.grantLease(response.Number, proof)
}

// grantLease grants the lease for the time left, counted from the last
// confirmation of this leadership by a quorum. The wait of the next leader
// before a takeover therefore covers the grant.
func (g *gateLeasesServer) grantLease(number uint64, proof leadershipProof) (*wire.GateLeaseResponse, error) {
	valid := proof.remaining(gateLeaseDuration)
	if valid <= 0 {
		return nil, fault.New(fault.NotCurrent, "the leadership of this replica was not confirmed in time").WithRetryAfter(gateBusyRetryAfter)
	}
	return &wire.GateLeaseResponse{Held: true, Number: number, ValidMs: uint32(valid.Milliseconds())}, nil
}

func roundUpMs(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
