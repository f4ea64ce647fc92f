package fault

import (
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var grpcCodes = map[Kind]codes.Code{
	InvalidRequest:  codes.InvalidArgument,
	Unauthenticated: codes.Unauthenticated,
	NotFound:        codes.NotFound,
	Conflict:        codes.Aborted,
	NotLeader:       codes.Unavailable,
	NotCurrent:      codes.Unavailable,
}

// ToStatus encodes err as a gRPC status with the typed failure in its details, for
// responses that have no field for a failure.
func ToStatus(err error) error {
	if err == nil {
		return nil
	}
	e := From(err)
	code, ok := grpcCodes[e.Kind]
	if !ok {
		code = codes.Internal
	}
	st, detailErr := status.New(code, e.Error()).WithDetails(ToWire(e))
	if detailErr != nil {
		return status.Error(code, e.Error())
	}
	return st.Err()
}

// FromStatus returns the typed failure in the details of a gRPC status, or nil.
func FromStatus(err error) error {
	for _, detail := range status.Convert(err).Details() {
		if failure, ok := detail.(*wire.Failure); ok {
			return FromWire(failure)
		}
	}
	return nil
}
