// Package linkproxy serves the links of a test behind fault proxies and lets connections
// fall silent.
package linkproxy

import (
	"context"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/connections"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"google.golang.org/grpc"
)

const (
	callTimeout  = 60 * time.Second      // far longer than a passing run takes
	callerStays  = 20 * time.Millisecond // after which a caller leaves
	maxCallers   = 40                    // that leave without an answer
	betweenCalls = time.Millisecond
)

// Serve starts the server that newServer returns behind a proxy, whose address it is given.
// Both run until the end of the test.
func Serve(t *testing.T, newServer func(address string) *grpc.Server) *faultproxy.Proxy {
	t.Helper()
	listener := loopback.Listen(t)
	proxy, err := faultproxy.New(listener.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	server := newServer(proxy.Address())
	go func() { _ = server.Serve(listener) }() // ends when the server is stopped
	t.Cleanup(func() {
		proxy.Close() // first, as a server waits for the handshakes of open connections
		server.Stop()
	})
	return proxy
}

// Silence makes a call on a pool's connection to a proxy, on which nothing arrives from then
// on. The call must wait until the connection is ready.
func Silence(t *testing.T, pool connections.Pool, proxy *faultproxy.Proxy, call func(context.Context, grpc.ClientConnInterface) error) {
	t.Helper()
	conn, err := pool.Get(proxy.Address())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	if err := call(ctx, conn); err != nil {
		t.Fatal(err)
	}
	if proxy.BlackholeConnections(faultproxy.Both) == 0 {
		t.Fatal("no open connection")
	}
}

// CheckReplacedByShortCallers makes calls of callers that leave early, and checks that they
// replace the silent connection to a proxy. A call returns whether it got an answer.
func CheckReplacedByShortCallers(t *testing.T, proxy *faultproxy.Proxy, call func(context.Context) bool) {
	t.Helper()
	before, unanswered := proxy.Accepted(), 0
	for proxy.Accepted() == before && unanswered < maxCallers {
		ctx, cancel := context.WithCancel(t.Context())
		leave := time.AfterFunc(callerStays, cancel)
		if !call(ctx) {
			unanswered++
		}
		leave.Stop()
		cancel()
		time.Sleep(betweenCalls)
	}
	if proxy.Accepted() == before {
		t.Errorf("the silent connection is kept after %d callers that left", unanswered)
	}
}
