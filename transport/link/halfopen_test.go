package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"
)

// mutableConn is a connection whose writes are lost once it is muted.
type mutableConn struct {
	net.Conn
	muted *atomic.Bool
}

// Write implements net.Conn.
func (c mutableConn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// countingServer counts the open heartbeat streams.
type countingServer struct {
	echoServer
	open atomic.Int32
}

// Beat implements wire.GateServer.
func (s *countingServer) Beat(stream wire.Gate_BeatServer) error {
	s.open.Add(1)
	defer s.open.Add(-1)
	return s.echoServer.Beat(stream)
}

// Guards against streams of peers that are gone without closing them, which hold their
// goroutines and memory for good.
func TestServerEndsStreamsOfSilentPeers(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		listener := bufconn.Listen(1 << 16)
		server, gates := NewServer(Security{}), &countingServer{}
		wire.RegisterGateServer(server, gates)
		go func() { _ = server.Serve(listener) }() // ends when the server is stopped
		defer server.Stop()
		muted := &atomic.Bool{}
		conn, err := grpc.NewClient("passthrough:///peer", grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				c, err := listener.DialContext(ctx)
				return mutableConn{c, muted}, err
			}))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		stream, err := wire.NewGateClient(conn).Beat(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Send(&wire.BeatMessage{Sequence: 1}); err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Recv(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Hour)
		if gates.open.Load() != 1 {
			t.Errorf("%d streams are open, want that of the peer that answers", gates.open.Load())
		}
		muted.Store(true)
		time.Sleep(time.Minute)
		if gates.open.Load() != 0 {
			t.Error("the stream of a peer that has been silent for a minute is open")
		}
	})
}
