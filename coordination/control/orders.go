package control

import (
	"context"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
)

type orderReportsServer struct {
	wire.UnimplementedOrderReportsServer
	*Service
}

// Done records the result of an order. It is idempotent.
func (o *orderReportsServer) Done(ctx context.Context, request *wire.OrderDoneRequest) (*wire.OrderDoneResponse, error) {
	response, err := o.done(ctx, request)
	if err != nil {
		return &wire.OrderDoneResponse{Failure: fault.ToWire(err)}, nil
	}
	return response, nil
}

func (o *orderReportsServer) done(ctx context.Context, request *wire.OrderDoneRequest) (*wire.OrderDoneResponse, error) {
	if !o.Replica.Status().IsLeader {
		return forward(ctx, o.Service, request, func(conn grpc.ClientConnInterface, ctx context.Context, r *wire.OrderDoneRequest) (*wire.OrderDoneResponse, error) {
			return wire.NewOrderReportsClient(conn).Done(ctx, r)
		})
	}
	return propose[*wire.OrderDoneResponse](ctx, o.Service, &wire.Command{Of: &wire.Command_OrderDone{OrderDone: request}})
}
