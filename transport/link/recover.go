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

// recoverUnary ends a call whose handler panics, instead of the process: one
// message of a broken peer must not take all requests down.
func recoverUnary(ctx context.Context, q any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (response any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = panicked(info.FullMethod, cause)
		}
	}()
	return handler(ctx, q)
}

// recoverStream is recoverUnary for streams.
func recoverStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = panicked(info.FullMethod, cause)
		}
	}()
	return handler(server, stream)
}

func panicked(method string, cause any) error {
	logger.Error().Str("method", method).Any("cause", cause).Bytes("stack", debug.Stack()).
		Msg("A call could not be handled; report this line.")
	return status.Errorf(codes.Internal, "%s could not be handled", method)
}
