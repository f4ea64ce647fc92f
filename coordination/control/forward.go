package control

import (
	"context"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// forwardedHeader marks a call that a follower passed on; it goes no further.
const forwardedHeader = "apricotspoke-forwarded"

func forwarded(ctx context.Context) bool {
	return len(metadata.ValueFromIncomingContext(ctx, forwardedHeader)) > 0
}

// forward passes a call on to the leader, once. A failure on the way leaves the
// outcome unknown unless the leader was never reached.
func forward[Q, R any](ctx context.Context, s *Service, request Q, call func(grpc.ClientConnInterface, context.Context, Q) (R, error)) (R, error) {
	var none R
	st := s.Replica.Status()
	if forwarded(ctx) || st.LeaderAddress == "" || st.Leader == st.ID {
		return none, fault.New(fault.NotLeader, "replica %s does not lead and knows no leader", st.ID)
	}
	conn, err := s.Dial(st.LeaderAddress)
	if err != nil {
		return none, fault.Wrap(err, fault.NotLeader, "leader %s cannot be reached", st.LeaderAddress)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	response, err := call(conn, metadata.AppendToOutgoingContext(ctx, forwardedHeader, "1"), request)
	if err != nil {
		return none, callFault(err, st.LeaderAddress)
	}
	return response, nil
}

// callFault keeps the typed failure of the leader, and calls all else unknown.
func callFault(err error, address string) error {
	if typed := fault.FromStatus(err); typed != nil {
		return typed
	}
	if status.Code(err) == codes.Unimplemented {
		return fault.New(fault.NotLeader, "process %s serves no control", address)
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "leader %s did not answer", address)
}
