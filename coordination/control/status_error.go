package control

import (
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var codeOf = map[fault.Kind]codes.Code{
	fault.InvalidRequest:  codes.InvalidArgument,
	fault.Unauthenticated: codes.Unauthenticated,
	fault.NotFound:        codes.NotFound,
	fault.Conflict:        codes.Aborted,
	fault.NotLeader:       codes.Unavailable,
	fault.NotCurrent:      codes.Unavailable,
}

// StatusError turns an error into a gRPC status that carries the typed failure.
func StatusError(err error) error {
	e := fault.From(err)
	code, ok := codeOf[e.Kind]
	if !ok {
		code = codes.Internal
	}
	st, detailErr := status.New(code, e.Error()).WithDetails(fault.ToWire(e))
	if detailErr != nil {
		return status.Error(code, e.Error())
	}
	return st.Err()
}

// FailureOf returns the typed failure that a gRPC status carries, or nil.
func FailureOf(err error) *wire.Failure {
	for _, detail := range status.Convert(err).Details() {
		if failure, ok := detail.(*wire.Failure); ok {
			return failure
		}
	}
	return nil
}
