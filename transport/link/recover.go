package link

import (
	"context"
	"runtime/debug"

	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var logger = logs.For("link")

// recoverUnary turns a panic of a handler into an error of its call. Otherwise one message
// of a faulty peer could end the process and all its requests.
func recoverUnary(ctx context.Context, q any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (response any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = panicError(info.FullMethod, cause)
		}
	}()
	return handler(ctx, q)
}

// recoverStream is recoverUnary for streaming calls.
func recoverStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = panicError(info.FullMethod, cause)
		}
	}()
	return handler(server, stream)
}

// panicError logs a panic with its stack and returns the error of the call.
func panicError(method string, cause any) error {
	logger.Error().Str("method", method).Any("cause", cause).Bytes("stack", debug.Stack()).
		Msg("The handler of a call panicked; report this log entry as a bug.")
	return status.Errorf(codes.Internal, "%s failed with an internal error; see the log of the process", method)
}
