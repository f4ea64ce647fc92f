package link

import (
	"context"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
	"github.com/apricotspoke/apricotspoke/trials/linkproxy"
	"google.golang.org/grpc"
)

const (
	awaitTimeout = 60 * time.Second       // far longer than a passing run takes
	shortCall    = 200 * time.Millisecond // after which a caller leaves
)

// echoServer answers each heartbeat message at once.
type echoServer struct{ wire.UnimplementedGateServer }

// Beat implements wire.GateServer.
func (echoServer) Beat(stream wire.Gate_BeatServer) error {
	for {
		beat, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := stream.Send(beat); err != nil {
			return err
		}
	}
}

// Inquire implements wire.GateServer.
func (echoServer) Inquire(context.Context, *wire.InquireRequest) (*wire.InquireResponse, error) {
	return &wire.InquireResponse{}, nil
}

// serveBehindProxy starts a server and a proxy to it.
func serveBehindProxy(t *testing.T) *faultproxy.Proxy {
	t.Helper()
	return linkproxy.Serve(t, func(string) *grpc.Server {
		server := NewServer(Security{})
		wire.RegisterGateServer(server, echoServer{})
		return server
	})
}

// Guards against a silent connection that is kept for good because its callers always leave
// before their calls time out.
func TestSilentConnectionOfShortCallersIsReplaced(t *testing.T) {
	t.Parallel()
	proxy := serveBehindProxy(t)
	pool := NewPool(Security{})
	t.Cleanup(pool.Close)
	call := func() error {
		conn, err := pool.Get(proxy.Address())
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		defer time.AfterFunc(shortCall, cancel).Stop()
		_, err = wire.NewGateClient(conn).Inquire(ctx, &wire.InquireRequest{})
		return err
	}
	err := call()
	for deadline := time.Now().Add(awaitTimeout); err != nil && time.Now().Before(deadline); {
		err = call() // the first call opens the connection, which may take longer
	}
	if err != nil {
		t.Fatal(err)
	}
	if proxy.BlackholeConnections(faultproxy.Both) == 0 {
		t.Fatal("no open connection")
	}
	calls := 0
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); calls++ {
		if call() == nil {
			return
		}
	}
	t.Errorf("all of %d calls failed although new connections work", calls)
}
