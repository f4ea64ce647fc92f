package link

import (
	"context"
	"net"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// brittle panics in every call.
type brittle struct {
	wire.UnimplementedOperatorServer
	wire.UnimplementedMeshServer
}

func (brittle) Read(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	panic("unexpected")
}

func (brittle) Exchange(wire.Mesh_ExchangeServer) error { panic("unexpected") }

func TestAPanicOfAHandlerEndsItsCallOnly(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(Security{})
	wire.RegisterOperatorServer(server, brittle{})
	wire.RegisterMeshServer(server, brittle{})
	go func() { _ = server.Serve(listener) }() // ends when it is stopped
	t.Cleanup(server.Stop)
	conn, err := Dial(listener.Addr().String(), Security{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	for range 2 {
		if _, err := wire.NewOperatorClient(conn).Read(t.Context(), &wire.ReadRequest{}); status.Code(err) != codes.Internal {
			t.Errorf("call: %v", err)
		}
		stream, err := wire.NewMeshClient(conn).Exchange(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Recv(); status.Code(err) != codes.Internal {
			t.Errorf("stream: %v", err)
		}
	}
}
