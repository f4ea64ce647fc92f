package control

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/machine"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

const (
	maxOperationIDBytes = 128
	defaultHistoryLimit = 50 // changes
)

type operatorServer struct {
	wire.UnimplementedOperatorServer
	*Service
}

// authenticate compares the hash of the key in constant time.
func (s *Service) authenticate(key string) error {
	sum := sha256.Sum256([]byte(key))
	if subtle.ConstantTimeCompare(sum[:], s.OperatorKeyHash[:]) != 1 {
		return fault.New(fault.Unauthenticated, "the operator key is wrong; set --key or APRICOTSPOKE_OPERATOR_KEY")
	}
	return nil
}

// Apply applies an operator's change. A repeated operation id returns the
// result of the first call.
func (o *operatorServer) Apply(ctx context.Context, request *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	response, err := o.apply(ctx, request)
	if err != nil {
		return &wire.ApplyResponse{Failure: fault.ToWire(err)}, nil
	}
	return response, nil
}

func (o *operatorServer) apply(ctx context.Context, request *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	if err := o.authenticate(request.OperatorKey); err != nil {
		return nil, err
	}
	if !o.Replica.Status().IsLeader {
		return forward(ctx, o.Service, request, func(c grpc.ClientConnInterface, ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyResponse, error) {
			return wire.NewOperatorClient(c).Apply(ctx, r)
		})
	}
	if request.DryRun {
		return o.dryRun(ctx, request.Change)
	}
	if n := len(request.OperationId); n == 0 || n > maxOperationIDBytes {
		return nil, fault.New(fault.InvalidRequest, "the operation id has %d bytes, but must have 1 to %d", n, maxOperationIDBytes)
	}
	logged := proto.CloneOf(request)
	logged.OperatorKey = ""
	response, err := propose[*wire.ApplyResponse](ctx, o.Service, &wire.Command{Of: &wire.Command_Apply{Apply: logged}})
	if err != nil {
		return nil, err
	}
	if change := request.Change.GetChangeMember(); change != nil && response.Failure == nil {
		if err := o.changeMembers(ctx, change); err != nil {
			return nil, err
		}
	}
	return response, nil
}

// changeMembers adds the new replica before it removes the old one. Each step
// has no effect if it was already done, so a resent operation can repeat it.
func (o *operatorServer) changeMembers(ctx context.Context, change *wire.MemberChange) error {
	if change.AddId != "" {
		add := &wire.MemberChange{AddId: change.AddId, AddAddress: change.AddAddress}
		if err := o.Replica.ChangeMembers(ctx, add); err != nil {
			return err
		}
	}
	if change.RemoveId == "" {
		return nil
	}
	return o.Replica.ChangeMembers(ctx, &wire.MemberChange{RemoveId: change.RemoveId})
}

func (o *operatorServer) dryRun(ctx context.Context, change *wire.Change) (*wire.ApplyResponse, error) {
	if _, err := o.barrier(ctx); err != nil {
		return nil, err
	}
	view := o.Machine.Published().View
	if err := machine.CheckChange(view, change); err != nil {
		return nil, err
	}
	return &wire.ApplyResponse{Revision: view.Revision()}, nil
}

// Read returns the configuration after a quorum has confirmed this replica's
// leadership.
func (o *operatorServer) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadResponse, error) {
	if err := o.authenticate(request.OperatorKey); err != nil {
		return nil, fault.ToStatus(err)
	}
	response, err := o.read(ctx, request)
	if err != nil {
		return nil, fault.ToStatus(err)
	}
	return response, nil
}

func (o *operatorServer) read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadResponse, error) {
	if !o.Replica.Status().IsLeader {
		return forward(ctx, o.Service, request, func(c grpc.ClientConnInterface, ctx context.Context, r *wire.ReadRequest) (*wire.ReadResponse, error) {
			return wire.NewOperatorClient(c).Read(ctx, r)
		})
	}
	if _, err := o.barrier(ctx); err != nil {
		return nil, err
	}
	return &wire.ReadResponse{Config: o.Machine.Published().View.Config()}, nil
}

// History returns the latest changes of one organisation, or of all, in order
// of revision.
func (o *operatorServer) History(ctx context.Context, request *wire.HistoryRequest) (*wire.HistoryResponse, error) {
	if err := o.authenticate(request.OperatorKey); err != nil {
		return nil, fault.ToStatus(err)
	}
	response, err := o.history(ctx, request)
	if err != nil {
		return nil, fault.ToStatus(err)
	}
	return response, nil
}

func (o *operatorServer) history(ctx context.Context, request *wire.HistoryRequest) (*wire.HistoryResponse, error) {
	if !o.Replica.Status().IsLeader {
		return forward(ctx, o.Service, request, func(c grpc.ClientConnInterface, ctx context.Context, r *wire.HistoryRequest) (*wire.HistoryResponse, error) {
			return wire.NewOperatorClient(c).History(ctx, r)
		})
	}
	if _, err := o.barrier(ctx); err != nil {
		return nil, err
	}
	limit := int(request.Limit)
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	var deltas []*wire.ConfigDelta
	for _, delta := range o.Machine.Published().History {
		if request.Organisation == "" || affects(delta, request.Organisation) {
			deltas = append(deltas, delta)
		}
	}
	return &wire.HistoryResponse{Deltas: deltas[max(0, len(deltas)-limit):]}, nil
}

func affects(delta *wire.ConfigDelta, organisation string) bool {
	for _, contract := range delta.Contracts {
		if contract.Organisation == organisation {
			return true
		}
	}
	return false
}
