package control

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/quota"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/fleet"
	"google.golang.org/grpc"
)

type quotasServer struct {
	wire.UnimplementedQuotasServer
	*Service
}

// Lease grants an entry its part of the limits of each contract that it asks
// for.
func (q *quotasServer) Lease(ctx context.Context, request *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	response, err := q.lease(ctx, request)
	if err != nil {
		return &wire.LeaseResponse{Failure: fault.ToWire(err)}, nil
	}
	return response, nil
}

func (q *quotasServer) lease(ctx context.Context, request *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	if request.Entry == "" || request.Sequence == 0 {
		return nil, fault.New(fault.InvalidRequest, "a lease request needs the entry's name and a sequence number of at least 1")
	}
	if !q.Replica.Status().IsLeader {
		return forward(ctx, q.Service, request, func(conn grpc.ClientConnInterface, ctx context.Context, r *wire.LeaseRequest) (*wire.LeaseResponse, error) {
			return wire.NewQuotasClient(conn).Lease(ctx, r)
		})
	}
	proof, err := q.proveLeadership(ctx)
	if err != nil {
		return nil, err
	}
	return q.grantQuotas(request, proof)
}

// grantQuotas grants the demands of an entry from the ledger of this
// leadership. Grants are valid for quota.LeaseTTL, counted from the last
// confirmation of the leadership, so that they expire before a later leader can
// grant the same quota. Requests that arrive out of order are refused.
func (q *quotasServer) grantQuotas(request *wire.LeaseRequest, proof leadershipProof) (*wire.LeaseResponse, error) {
	q.quotas.mu.Lock()
	defer q.quotas.mu.Unlock()
	now := time.Now()
	valid := proof.remaining(quota.LeaseTTL)
	if valid <= 0 {
		return nil, fault.New(fault.NotCurrent, "the leadership of this replica was not confirmed in time").WithRetryAfter(confirmInterval)
	}
	view := q.Machine.Published().View
	ledger := q.ledgerFor(proof, view)
	if !ledger.AcceptSequence(now, request) {
		return nil, fault.New(fault.InvalidRequest, "lease request %d of entry %q arrived after a later one", request.Sequence, request.Entry)
	}
	response := &wire.LeaseResponse{}
	for _, demand := range request.Demands {
		grant := ledger.Lease(now, request.Entry, demand, view.Contract(demand.Organisation))
		grant.ValidMs = uint32(valid.Milliseconds())
		response.Grants = append(response.Grants, grant)
	}
	return response, nil
}

// ledgerFor returns the ledger of this leadership, with an account for every
// contract. Contracts that exist when the leadership starts are not opened as
// new, because earlier leaders may have granted parts of them.
func (s *Service) ledgerFor(proof leadershipProof, view *fleet.View) *quota.Ledger {
	q := &s.quotas
	first := q.ledger == nil || !q.leaderSince.Equal(proof.since)
	if first {
		q.leaderSince = proof.since
		q.ledger = quota.NewLedger(proof.since)
	}
	if first || q.revision != view.Revision() {
		for _, contract := range view.Contracts() {
			q.ledger.AddContract(time.Now(), contract, !first)
		}
		q.revision = view.Revision()
	}
	return q.ledger
}
