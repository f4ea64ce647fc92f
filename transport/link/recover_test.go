package link

import (
	"context"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// panickingServer panics in each call.
type panickingServer struct {
	wire.UnimplementedOperatorServer
	wire.UnimplementedMeshServer
}

func (panickingServer) Read(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	panic("unexpected")
}

func (panickingServer) Exchange(wire.Mesh_ExchangeServer) error { panic("unexpected") }

func TestHandlerPanicEndsOnlyItsCall(t *testing.T) {
	listener := loopback.Listen(t)
	server := NewServer(Security{})
	wire.RegisterOperatorServer(server, panickingServer{})
	wire.RegisterMeshServer(server, panickingServer{})
	go func() { _ = server.Serve(listener) }() // returns when the server is stopped
	t.Cleanup(server.Stop)
	conn, err := Dial(listener.Addr().String(), Security{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	for range 2 {
		if _, err := wire.NewOperatorClient(conn).Read(t.Context(), &wire.ReadRequest{}, grpc.WaitForReady(true)); status.Code(err) != codes.Internal {
			t.Errorf("call: %v", err)
		}
		stream, err := wire.NewMeshClient(conn).Exchange(t.Context(), grpc.WaitForReady(true))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Recv(); status.Code(err) != codes.Internal {
			t.Errorf("stream: %v", err)
		}
	}
}
