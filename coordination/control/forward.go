package control

import (
	"context"

	"github.com/apricotspoke/apricotspoke/coordination/connections"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// forwardedHeader marks a call from another replica. The receiver answers it
// alone: it does not forward the call or ask other replicas.
const forwardedHeader = "apricotspoke-forwarded"

func forwarded(ctx context.Context) bool {
	return len(metadata.ValueFromIncomingContext(ctx, forwardedHeader)) > 0
}

// forward sends a call to the leader, once. It returns NotLeader if this
// replica cannot send the call. If the call itself fails, its outcome is
// unknown.
func forward[Q, R any](ctx context.Context, s *Service, request Q, call func(grpc.ClientConnInterface, context.Context, Q) (R, error)) (R, error) {
	var none R
	st := s.Replica.Status()
	if forwarded(ctx) || st.LeaderAddress == "" || st.Leader == st.ID {
		return none, fault.New(fault.NotLeader, "replica %s is not the leader and cannot forward the call", st.ID)
	}
	conn, err := s.Connections.Get(st.LeaderAddress)
	if err != nil {
		return none, fault.Wrap(err, fault.NotLeader, "could not connect to leader %s", st.LeaderAddress)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	response, err := call(conn, metadata.AppendToOutgoingContext(ctx, forwardedHeader, "1"), request)
	if err != nil {
		connections.ReplaceIfSilent(s.Connections, st.LeaderAddress, conn, err)
		return none, forwardError(err, st.LeaderAddress)
	}
	return response, nil
}

// forwardError keeps a typed error of the leader. It returns NotLeader if the
// process does not run the control role. After any other error, the outcome is
// unknown.
func forwardError(err error, address string) error {
	if typed := fault.FromStatus(err); typed != nil {
		return typed
	}
	if status.Code(err) == codes.Unimplemented {
		return fault.New(fault.NotLeader, "process %s does not run the control role", address)
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "the call to leader %s failed", address)
}
