package control

import (
	"context"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/machine"
	"google.golang.org/grpc"
)

type claimsServer struct {
	wire.UnimplementedClaimsServer
	*Service
}

// Claim grants an idempotency key to one attempt. The grant is committed by a
// quorum.
func (c *claimsServer) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	response, err := c.claim(ctx, request)
	if err != nil {
		return &wire.ClaimResponse{Failure: fault.ToWire(err)}, nil
	}
	return response, nil
}

func (c *claimsServer) claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	if err := machine.CheckClaim(request); err != nil {
		return nil, err
	}
	if !c.Replica.Status().IsLeader {
		return forward(ctx, c.Service, request, func(conn grpc.ClientConnInterface, ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error) {
			return wire.NewClaimsClient(conn).Claim(ctx, r)
		})
	}
	return propose[*wire.ClaimResponse](ctx, c.Service, &wire.Command{Of: &wire.Command_Claim{Claim: request}})
}

// Settle records the result of a claimed attempt. It is idempotent.
func (c *claimsServer) Settle(ctx context.Context, request *wire.SettleRequest) (*wire.SettleResponse, error) {
	response, err := c.settle(ctx, request)
	if err != nil {
		return &wire.SettleResponse{Failure: fault.ToWire(err)}, nil
	}
	return response, nil
}

func (c *claimsServer) settle(ctx context.Context, request *wire.SettleRequest) (*wire.SettleResponse, error) {
	if !c.Replica.Status().IsLeader {
		return forward(ctx, c.Service, request, func(conn grpc.ClientConnInterface, ctx context.Context, r *wire.SettleRequest) (*wire.SettleResponse, error) {
			return wire.NewClaimsClient(conn).Settle(ctx, r)
		})
	}
	return propose[*wire.SettleResponse](ctx, c.Service, &wire.Command{Of: &wire.Command_Settle{Settle: request}})
}
