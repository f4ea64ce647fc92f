package relay

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// resendingGate is a gate whose connection ends before the attempt is written. Like gRPC, its
// stream is opened again, without what could not be sent, unless its context was asked for.
type resendingGate struct {
	wire.GateClient
	grpc.ClientStream
	committed chan struct{}
	ctx       context.Context
}

func (g *resendingGate) Gate(string) (wire.GateClient, error) { return g, nil }

func (g *resendingGate) Attempt(ctx context.Context, _ ...grpc.CallOption) (wire.Gate_AttemptClient, error) {
	g.ctx = ctx
	return g, nil
}

func (g *resendingGate) Resume(context.Context, *wire.ResumeRequest, ...grpc.CallOption) (wire.Gate_ResumeClient, error) {
	return nil, status.Error(codes.NotFound, "unknown attempt")
}

func (g *resendingGate) Cancel(context.Context, *wire.CancelRequest, ...grpc.CallOption) (*wire.CancelResponse, error) {
	return &wire.CancelResponse{}, nil
}

func (g *resendingGate) Send(*wire.AttemptUp) error { return io.EOF }

func (g *resendingGate) Context() context.Context {
	select {
	case <-g.committed:
	default:
		close(g.committed)
	}
	return g.ctx
}

func (g *resendingGate) Recv() (*wire.AttemptDown, error) {
	select {
	case <-g.committed:
		return nil, status.Error(codes.Unavailable, "the connection ended")
	case <-g.ctx.Done():
		return nil, g.ctx.Err()
	}
}

// Guards against an attempt that gRPC sends again in part, for whose rest the gate waits until
// the caller's deadline.
func TestAttemptIsNotSentAgainInPart(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		a := Start(ctx, &resendingGate{committed: make(chan struct{})}, Origin{}, &wire.AttemptOpen{}, []byte("body"))
		defer a.Close()
		if _, err := ForwardAnswer(a, Origin{}, nil, nil); fault.KindOf(err) != fault.EndpointFailed {
			t.Errorf("ends with %v", err)
		}
	})
}
